//! Staged rollout of rules with automatic halts.
//!
//! The state of the rollout is one replicated register, a `Step`, changed by majority consensus (Paxos): a
//! proposer asks all members for promises under a new ballot, takes over the highest step that any of them
//! accepted, changes it and has the result accepted. So any member can continue a rollout, and two that drive
//! it at the same time can't split it. Members answer only after their state is on disk (`Effect::Store`,
//! `record_written`).
//!
//! A step by which more dispatchers get the version needs the acceptance of all listed members, each of which
//! refuses once it knows of a halt. So a halt at any member ends promotion even if no other member has heard
//! of it: only a step that this member had accepted before may still be chosen, and no dispatcher that knows
//! of the halt puts the version in force because of it.
//!
//! A member that starts takes part only once it knows what enough others know (catching up), so a store that
//! lost its latest records or all of them does no harm while fewer than the configured number of stores do so
//! at the same time.
mod figures;
mod register;
mod runner;
mod version;

pub use figures::{compare, p_value, prune, Comparison, Figures, Measure, WindowFigures, Windows};
pub use version::{AfterHalt, OrderError, Plan, Version, VersionId};

use crate::common::{Incarnation, MemberId};
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use register::Attempt;
use runner::Peer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The largest number of members: a message names each of them with its run and must fit into one datagram. A
/// fleet with more is refused when it is set up.
pub const MAX_MEMBERS: usize = 1_024;
/// Longest reason of a halt, in characters.
const MAX_REASON_CHARS: usize = 160;
/// A ballot or step number that is this far ahead is rejected as invalid.
const MAX_NUMBER_JUMP: u64 = 1 << 20;

/// Settings of the rollout.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How often members send their status.
    pub hello_interval: Span,
    /// A member with the version that has not been heard for this long causes a halt.
    pub silence_limit: Span,
    /// The time without a runner after which another member takes over.
    pub runner_timeout: Span,
    /// The timeout of an attempt to change the step, and the interval of its messages.
    pub attempt_timeout: Span,
    pub resend_interval: Span,
    /// How long an order waits for the acceptances that it needs.
    pub order_timeout: Span,
    /// How long after a stage's hold its figures may still be too few, or a dispatcher may still be without
    /// the version.
    pub stage_overtime: Span,
    /// The length of the windows, and how many are kept from before a stage and since.
    pub window: Span,
    pub max_windows: [usize; 2],
    /// The probability that a harmless version is halted for its figures, over the whole rollout.
    pub false_halt_rate: f64,
    /// How many members may have lost the latest records of their store at the same time.
    pub max_faulty_stores: usize,
    /// Promotion needs all listed members; otherwise those that have the version or would get it, and a
    /// majority of all.
    pub promotion_needs_all: bool,
    /// How long to wait before a failed store is tried again.
    pub store_rest: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            hello_interval: Span::seconds(1.0),
            silence_limit: Span::seconds(10.0),
            runner_timeout: Span::seconds(5.0),
            attempt_timeout: Span::seconds(4.0),
            resend_interval: Span::millis(250),
            order_timeout: Span::seconds(60.0),
            stage_overtime: Span::seconds(120.0),
            window: Span::seconds(5.0),
            max_windows: [36, 48],
            false_halt_rate: 0.005,
            max_faulty_stores: 1,
            promotion_needs_all: true,
            store_rest: Span::seconds(5.0),
        }
    }
}

/// The phase of a rollout. Its lower-case name is written to the status and the events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The version is in force everywhere.
    #[default]
    Full,
    /// The version is being rolled out.
    Rolling,
    /// Halted: dispatchers that have the version keep it.
    Halted,
    /// Rolled back: the base is in force everywhere again.
    Back,
}

/// The state of the rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Counts the changes of the step.
    pub at: u64,
    pub version: VersionId,
    /// The version that was in force everywhere before.
    pub base: VersionId,
    /// Counts resumes; a halt applies to one run.
    pub run: u32,
    /// 0: a part of the first location; k: the first k locations.
    pub stage: u16,
    /// The stage in which an operator resumed the rollout; it has no windows before the version to compare
    /// with.
    pub resumed: Option<u16>,
    pub phase: Phase,
}

impl Step {
    /// Whether more dispatchers may get the version by this step.
    pub fn promotes(&self) -> bool {
        matches!(self.phase, Phase::Rolling | Phase::Full) && self.at > 0
    }

    /// The version number and run, to which a halt applies.
    fn key(&self) -> (u64, u32) {
        (self.version.number, self.run)
    }
}

/// A halt of one version and run; the first one is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    pub number: u64,
    pub run: u32,
    pub by: MemberId,
    pub why: String,
}

/// A ballot of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: MemberId,
    /// Ensures that a process that lost its ballots can't use one again.
    pub incarnation: Incarnation,
}

impl Default for Ballot {
    fn default() -> Ballot {
        Ballot { round: 0, proposer: MemberId(0), incarnation: Incarnation(0) }
    }
}

/// All that a member keeps on disk besides the documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Of several states the one with the highest count is the latest.
    pub count: u64,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Step)>,
    /// The latest step known to be accepted by a majority.
    pub chosen: Step,
    pub halt: Option<Halt>,
    /// The latest runs of members that caught up after a start: answers of earlier runs are void.
    pub incarnations: BTreeMap<MemberId, Incarnation>,
    pub in_force: VersionId,
    /// Restarts of the process since it put the version in force.
    pub starts: u8,
}

/// A record on disk. Only the latest state and the documents that it names are needed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    State(Box<State>),
    Document(Version),
}

/// A member's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    incarnation: Incarnation,
    /// Whether it takes part, and whether it runs the rollout.
    is_able: bool,
    is_runner: bool,
    step: Step,
    halt: Option<Halt>,
    in_force: u64,
    starts: u8,
    /// The run of the receiver's process, and the number of its last window that was received.
    windows_seen: (Incarnation, u64),
    /// Windows with their numbers and the time since each was closed.
    windows: Vec<(u64, Span, WindowFigures)>,
}

/// A message between members. Encoded by position (postcard): the order of variants and fields must not
/// change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    Hello(Box<Hello>),
    /// Requests a document.
    RequestDocument(VersionId),
    Document(Version),
    /// Asks for the receiver's state, after a start.
    CatchUp(Incarnation),
    /// The answer to `CatchUp`.
    CatchUpAnswer {
        to: Incarnation,
        /// Whether the sender has caught up itself.
        has_caught_up: bool,
        state: Box<State>,
    },
    /// Asks for a promise not to accept lower ballots.
    Prepare(Ballot),
    Promise {
        ballot: Ballot,
        incarnation: Incarnation,
        accepted: Option<(Ballot, Step)>,
        incarnations: BTreeMap<MemberId, Incarnation>,
    },
    /// Asks to accept a step.
    Accept(Ballot, Step),
    Accepted {
        ballot: Ballot,
        incarnation: Incarnation,
        incarnations: BTreeMap<MemberId, Incarnation>,
    },
    /// Rejects a ballot because of a higher one or of a halt.
    Refuse {
        ballot: Ballot,
        higher: Ballot,
        halt: Option<Halt>,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: RolloutMessage,
    },
    /// Write and sync a record, then call `record_written` with the ticket. There is one at a time.
    Store {
        ticket: u64,
        record: Record,
    },
    /// Put these rules in force (number 0 without a text: those of the operators' file alone), or call
    /// `version_rejected`.
    ApplyRules {
        number: u64,
        text: String,
    },
    Log(String),
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Starts the rollout of a version.
    Start(Version),
    Halt,
    /// Continues a halted rollout.
    Resume,
    /// Rolls the latest version back.
    Back,
}

/// A member's view of the rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub step: Step,
    /// The step this member accepted and does not know to be chosen: it may still be, halted or not.
    pub unconfirmed_step: Option<Step>,
    pub stages: u16,
    pub halt: Option<Halt>,
    pub in_force: u64,
    /// The member that runs the rollout, as far as known here.
    pub runner: Option<MemberId>,
    /// Whether this member takes part: it has caught up and its store can be written.
    pub is_able: bool,
    /// What an order or the next stage waits for, in one line; at most 8 members are named.
    pub waiting_for: Option<String>,
}

/// What is done once the state is on disk.
#[derive(Clone, Debug)]
enum Deferred {
    Send(MemberId, RolloutMessage),
    Ack { to: MemberId, ballot: Ballot, step: Step },
    ApplyRules(VersionId),
}

/// A change of the step.
#[derive(Clone, Debug, PartialEq)]
enum Change {
    Start(VersionId),
    /// From this step to the next stage.
    Promote(Step),
    Halt(Halt),
    Resume(u64),
    RollBack(u64),
}

/// A member's part in the rollout.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: Settings,
    own: MemberId,
    incarnation: Incarnation,
    listed: BTreeMap<MemberId, LocationId>,
    rng: Pcg64Mcg,
    state: State,
    documents: BTreeMap<VersionId, Version>,
    // Disk.
    unsaved_documents: Vec<VersionId>,
    is_dirty: bool,
    /// The ticket being written, with the document's id, and what waits for this record and for the next one.
    record_in_flight: Option<(u64, Option<VersionId>)>,
    awaiting_record: Vec<Deferred>,
    awaiting_next_record: Vec<Deferred>,
    is_store_ok: bool,
    store_retry_at: Time,
    // Catching up: who answered, and whether that member had caught up itself; none once done.
    catch_up_answers: Option<BTreeMap<MemberId, bool>>,
    next_catch_up: Time,
    // The proposer.
    attempt: Option<Attempt>,
    pending_change: Option<(Change, Time)>,
    /// Whether the pending change is an order: it is not replaced by one of the runner's own changes, except
    /// for a halt.
    is_order_pending: bool,
    highest_round: u64,
    next_attempt_at: Time,
    requested_documents: BTreeSet<VersionId>,
    // The runner, and what members report to it.
    peers: BTreeMap<MemberId, Peer>,
    runner: Option<(MemberId, Time)>,
    running_since: Option<Time>,
    take_over_at: Time,
    next_hello: Time,
    /// The index of the next member in turn for a status.
    next_hello_peer: usize,
    hello_to_all: bool,
    step_learned: Time,
    stage_visits: u64,
    comparisons: u32,
    /// The window at which the next comparison is due.
    next_comparison: u64,
    has_passed: bool,
    waiting_for: Option<String>,
    /// The version and run that this dispatcher could not put in force.
    rejected_version: Option<(u64, u32)>,
    /// The version the dispatcher was last instructed to put in force; `state.in_force` may still wait for
    /// the disk.
    active: VersionId,
    // Own figures.
    open_window: (WindowFigures, Time),
    closed_windows: BTreeMap<u64, (Time, WindowFigures)>,
    next_window: u64,
    stage_first_window: u64,
    inbox: VecDeque<RolloutMessage>,
    effects: VecDeque<Effect>,
}

impl Rollout {
    /// `members`: all listed members with their locations, this one among them. `records`: records from the
    /// store, in any order.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        settings: Settings,
        own: MemberId,
        own_location: LocationId,
        incarnation: Incarnation,
        members: &[(MemberId, LocationId)],
        records: Vec<Record>,
        seed: u64,
        now: Time,
    ) -> Rollout {
        let mut listed: BTreeMap<MemberId, LocationId> = members.iter().copied().take(MAX_MEMBERS).collect();
        listed.insert(own, own_location);
        let (mut state, mut documents) = (State::default(), BTreeMap::new());
        for record in records {
            match record {
                Record::State(stored) if stored.count >= state.count => state = *stored,
                Record::State(_) => {}
                Record::Document(version) => {
                    documents.insert(version.id(), version);
                }
            }
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let take_over_at =
            now + settings.runner_timeout + settings.runner_timeout.times(rng.gen_range(0.0..1.0));
        let mut rollout = Rollout {
            peers: listed.keys().filter(|id| **id != own).map(|id| (*id, Peer::default())).collect(),
            highest_round: state.promised.round,
            open_window: (WindowFigures::default(), now),
            settings,
            own,
            incarnation,
            listed,
            rng,
            state,
            documents,
            unsaved_documents: Vec::new(),
            is_dirty: false,
            record_in_flight: None,
            awaiting_record: Vec::new(),
            awaiting_next_record: Vec::new(),
            is_store_ok: true,
            store_retry_at: now,
            catch_up_answers: Some(BTreeMap::new()),
            next_catch_up: now,
            attempt: None,
            pending_change: None,
            is_order_pending: false,
            next_attempt_at: now,
            requested_documents: BTreeSet::new(),
            runner: None,
            running_since: None,
            take_over_at,
            next_hello: now,
            next_hello_peer: 0,
            hello_to_all: false,
            step_learned: now,
            stage_visits: 0,
            comparisons: 0,
            next_comparison: 0,
            has_passed: false,
            waiting_for: None,
            rejected_version: None,
            active: VersionId::default(),
            closed_windows: BTreeMap::new(),
            next_window: 1,
            stage_first_window: 1,
            inbox: VecDeque::new(),
            effects: VecDeque::new(),
        };
        rollout.prune_documents();
        let in_force = rollout.state.in_force;
        if in_force.number > 0 {
            if in_force == rollout.state.chosen.version && rollout.state.chosen.phase == Phase::Rolling {
                rollout.state.starts = rollout.state.starts.saturating_add(1);
                rollout.is_dirty = true;
            }
            rollout.put_in_force(in_force);
        }
        rollout.try_finish_catch_up(now);
        rollout
    }

    /// Handles an operator's order. It completes once the members it needs have answered: see `status`.
    pub fn order(&mut self, now: Time, order: Order) -> Result<(), OrderError> {
        let step = self.latest();
        let number = step.version.number;
        if order == Order::Halt {
            if self.rolling_step().is_none() {
                return Err(OrderError::NothingUnderWay);
            }
            self.halt(now, "ordered".to_owned());
            self.flush(now);
            return Ok(());
        }
        if let Order::Start(version) = &order {
            version.check(&self.listed)?;
            if version.number <= number {
                return Err(OrderError::Older { given: version.number, last: number });
            }
        }
        let change = match order {
            Order::Start(_) if !matches!(step.phase, Phase::Full | Phase::Back) => {
                return Err(OrderError::VersionUnderWay(number))
            }
            Order::Resume if step.phase != Phase::Halted => return Err(OrderError::NotHalted(number)),
            Order::Back if number == 0 || step.phase == Phase::Back => return Err(OrderError::NoWayBack),
            _ if !self.is_store_ok => return Err(OrderError::StoreUnavailable),
            _ if self.catch_up_answers.is_some() => return Err(OrderError::NotCaughtUp),
            Order::Start(version) => {
                let id = version.id();
                self.documents.insert(id, version);
                self.unsaved_documents.push(id);
                Change::Start(id)
            }
            Order::Resume => Change::Resume(number),
            Order::Back | Order::Halt => Change::RollBack(number),
        };
        self.attempt = None;
        self.pending_change = Some((change, now));
        self.is_order_pending = true;
        self.flush(now);
        Ok(())
    }

    /// Adds this dispatcher's counts of the last second.
    pub fn add_figures(&mut self, now: Time, figures: Figures) {
        self.open_window.0.figures.add(figures.clamped());
        self.close_window(now);
    }

    /// The version could not be put in force; the one before stays. Counts as a halt.
    pub fn version_rejected(&mut self, now: Time, number: u64, why: &str) {
        if self.active.number != number || number == 0 {
            return;
        }
        let step = self.state.chosen;
        self.rejected_version = Some((number, step.run));
        let fallback = if step.base.number == number { VersionId::default() } else { step.base };
        let why: String = why.chars().filter(|c| !c.is_control()).take(MAX_REASON_CHARS).collect();
        self.log(format!(
            "rules {number} could not be put in force, {} stay in force: {why}",
            fallback.number
        ));
        self.state.in_force = fallback;
        self.open_window.0.number = None;
        self.active = fallback;
        self.state.starts = 0;
        self.is_dirty = true;
        if step.version.number == number && step.phase == Phase::Rolling {
            self.halt(now, format!("could not be put in force: {why}"));
        }
        self.flush(now);
    }

    /// Handles a message of another member.
    pub fn receive(&mut self, now: Time, from: MemberId, message: RolloutMessage) {
        if from != self.own && self.listed.contains_key(&from) {
            self.handle(now, from, message);
            self.flush(now);
        }
    }

    /// Another member's status, from the failure detector.
    pub fn set_member_alive(&mut self, _now: Time, who: MemberId, alive: bool) {
        if let Some(peer) = self.peers.get_mut(&who) {
            peer.is_dead = !alive;
        }
    }

    /// The record is on disk (`is_written`), or could not be written.
    pub fn record_written(&mut self, now: Time, ticket: u64, is_written: bool) {
        let Some((_, document)) = self.record_in_flight.take_if(|(out, _)| *out == ticket) else { return };
        if !is_written {
            if self.is_store_ok {
                self.log(
                    "rollout: the store can't be written; this dispatcher takes no part until it can"
                        .to_owned(),
                );
            }
            self.is_store_ok = false;
            self.store_retry_at = now + self.settings.store_rest;
            let unwritten = std::mem::take(&mut self.awaiting_record);
            self.awaiting_next_record.extend(unwritten);
            self.awaiting_next_record.retain(|deferred| matches!(deferred, Deferred::ApplyRules(_)));
            match document {
                Some(id) => self.unsaved_documents.push(id),
                None => self.is_dirty = true,
            }
            return;
        }
        if document.is_none() {
            if !self.is_store_ok {
                self.log("rollout: the store can be written again".to_owned());
            }
            self.is_store_ok = true;
            for deferred in std::mem::take(&mut self.awaiting_record) {
                self.complete(deferred);
            }
        }
        self.flush(now);
    }

    /// The periodic timer.
    pub fn tick(&mut self, now: Time) {
        self.close_window(now);
        self.catch_up(now);
        self.drive_attempt(now);
        self.drive_rollout(now);
        self.send_hellos(now);
        self.flush(now);
    }

    /// The next effect. Call until there is none after each call.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// This member's view of the rollout.
    pub fn status(&self) -> Status {
        let step = self.state.chosen;
        Status {
            step,
            unconfirmed_step: self
                .state
                .accepted
                .map(|(_, step)| step)
                .filter(|accepted| accepted.at > step.at),
            stages: self.documents.get(&step.version).map_or(0, Version::stages),
            halt: self.state.halt.clone().filter(|halt| (halt.number, halt.run) == step.key()),
            in_force: self.active.number,
            runner: self.running_since.map(|_| self.own).or(self.runner.map(|(id, _)| id)),
            is_able: self.is_able(),
            waiting_for: self.waiting_for.clone(),
        }
    }

    /// The state, for checks.
    pub fn state(&self) -> &State {
        &self.state
    }

    fn is_able(&self) -> bool {
        self.is_store_ok && self.catch_up_answers.is_none()
    }

    fn majority(&self) -> usize {
        self.listed.len() / 2 + 1
    }

    /// The latest step known here, chosen or only accepted.
    fn latest(&self) -> Step {
        let accepted = self.state.accepted.map(|(_, step)| step).unwrap_or_default();
        if accepted.at > self.state.chosen.at {
            accepted
        } else {
            self.state.chosen
        }
    }

    /// The step that is being rolled out, as far as known here.
    fn rolling_step(&self) -> Option<Step> {
        [self.latest(), self.state.chosen].into_iter().find(|step| step.phase == Phase::Rolling)
    }

    /// Whether a halt of the step's version and run is known.
    fn is_halted(&self, step: &Step) -> bool {
        self.state.halt.as_ref().is_some_and(|halt| (halt.number, halt.run) == step.key())
    }

    fn log(&mut self, line: String) {
        self.effects.push_back(Effect::Log(line));
    }

    /// Sends a message; those to this member itself are queued.
    fn send(&mut self, to: MemberId, message: RolloutMessage) {
        if to == self.own {
            self.inbox.push_back(message);
        } else {
            self.effects.push_back(Effect::Send { to, message });
        }
    }

    /// At the end of each call: handles messages to itself, then writes the next record if there is one.
    fn flush(&mut self, now: Time) {
        while let Some(message) = self.inbox.pop_front() {
            self.handle(now, self.own, message);
        }
        if self.record_in_flight.is_some() || (!self.is_store_ok && now < self.store_retry_at) {
            return;
        }
        let ticket = self.state.count + 1;
        if let Some(id) = self.unsaved_documents.pop() {
            // Every unsaved document is in `documents` (`prune_documents`).
            if let Some(version) = self.documents.get(&id) {
                self.state.count = ticket;
                self.record_in_flight = Some((ticket, Some(id)));
                let record = Record::Document(version.clone());
                self.effects.push_back(Effect::Store { ticket, record });
            }
        } else if self.is_dirty || !self.is_store_ok || !self.awaiting_next_record.is_empty() {
            self.is_dirty = false;
            self.state.count = ticket;
            self.record_in_flight = Some((ticket, None));
            self.awaiting_record.append(&mut self.awaiting_next_record);
            let record = Record::State(Box::new(self.state.clone()));
            self.effects.push_back(Effect::Store { ticket, record });
        }
    }

    /// Completes what waited for the disk.
    fn complete(&mut self, deferred: Deferred) {
        match deferred {
            Deferred::Send(to, message) => self.send(to, message),
            Deferred::ApplyRules(id) => {
                if id == self.state.in_force {
                    self.put_in_force(id);
                }
            }
            Deferred::Ack { to, ballot, step } => {
                // Guards against a halt that arrived during the write: it must not be overtaken by a
                // promotion.
                let is_refused = ballot < self.state.promised || (step.promotes() && self.is_halted(&step));
                let message = if is_refused {
                    self.refusal(ballot)
                } else {
                    let incarnations = self.state.incarnations.clone();
                    RolloutMessage::Accepted { ballot, incarnation: self.incarnation, incarnations }
                };
                self.send(to, message);
            }
        }
    }

    fn put_in_force(&mut self, id: VersionId) {
        let text = self.documents.get(&id).map(|version| version.text.clone());
        if id.number == 0 || text.is_some() {
            let (number, text) = (id.number, text.unwrap_or_default());
            self.active = id;
            if self.open_window.0.number != Some(number) {
                self.open_window.0.number = None;
            }
            self.effects.push_back(Effect::ApplyRules { number, text });
        }
    }

    /// Drops documents that are no longer named.
    fn prune_documents(&mut self) {
        let state = &self.state;
        let mut named = vec![state.chosen.version, state.chosen.base, state.in_force];
        named.extend(state.accepted.iter().flat_map(|(_, step)| [step.version, step.base]));
        named.extend(self.attempt.iter().flat_map(|attempt| attempt.named_versions()));
        if let Some((Change::Start(id), _)) = &self.pending_change {
            named.push(*id);
        }
        self.documents.retain(|id, _| named.contains(id));
        self.unsaved_documents.retain(|id| named.contains(id));
    }
}
