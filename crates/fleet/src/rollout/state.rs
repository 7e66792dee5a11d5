//! A member's part in the rollout: its data, and what follows from it alone.
use super::calls::{Effect, Status};
use super::figures::{WindowFigures, Windows};
use super::messages::RolloutMessage;
use super::settings::Settings;
use super::step::{Ballot, Halt, Phase, Record, State, Step};
use super::version::{Version, VersionId};
use crate::common::{Incarnation, MemberId};
use cherrypass::ids::LocationId;
use cherrypass::time::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The largest number of members: a message names each of them with its run and must fit into one datagram. A
/// fleet with more is refused when it is set up.
pub const MAX_MEMBERS: usize = 1_024;
/// Longest reason of a halt, in characters.
pub(super) const MAX_REASON_CHARS: usize = 160;
/// A ballot or step number that is this far ahead is rejected as invalid.
pub(super) const MAX_NUMBER_JUMP: u64 = 1 << 20;

/// What is done once the state is on disk.
#[derive(Clone, Debug)]
pub(super) enum Deferred {
    Send(MemberId, RolloutMessage),
    Ack { to: MemberId, ballot: Ballot, step: Step },
    ApplyRules(VersionId),
}

/// A change of the step.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Change {
    Start(VersionId),
    /// From this step to the next stage.
    Promote(Step),
    Halt(Halt),
    Resume(u64),
    RollBack(u64),
}

/// A change that this member wants to make.
#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    pub change: Change,
    pub since: Time,
    /// Whether it is an order: it is not replaced by one of the runner's own changes, except for a halt.
    pub is_order: bool,
}

/// A record that is being written.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordInFlight {
    pub ticket: u64,
    /// The id, for a document.
    pub document: Option<VersionId>,
}

/// The window of figures that is not complete yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenWindow {
    pub window: WindowFigures,
    pub started: Time,
}

/// A complete window of this member's own figures.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosedWindow {
    pub window: WindowFigures,
    /// The middle of its time.
    pub middle: Time,
}

/// Another member that runs the rollout.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownRunner {
    pub id: MemberId,
    pub last_heard: Time,
}

/// An attempt to have a step accepted under one ballot.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub ballot: Ballot,
    pub change: Option<Change>,
    pub started: Time,
    pub last_sent: Time,
    /// Who has answered, with the run of its process.
    pub promises: BTreeMap<MemberId, Incarnation>,
    pub highest_accepted: Option<(Ballot, Step)>,
    pub incarnations: BTreeMap<MemberId, Incarnation>,
    /// The proposed step, once a majority has promised.
    pub value: Option<Step>,
    pub acceptances: BTreeMap<MemberId, Incarnation>,
}

impl Attempt {
    /// The versions that the proposed step names.
    pub(super) fn named_versions(&self) -> Vec<VersionId> {
        self.value.iter().flat_map(|step| [step.version, step.base]).collect()
    }

    /// Whether a halt voids the attempt.
    pub(super) fn is_promoting(&self) -> bool {
        match self.value {
            Some(step) => step.promotes(),
            None => matches!(self.change, Some(Change::Promote(_)) | None),
        }
    }

    /// The valid ones of these answers: those of processes that have been restarted since are void. Guards
    /// against a member that promised, lost the promise in a crash and answered another ballot, while this
    /// one still counts on it.
    pub(super) fn valid_answers(&self, answers: &BTreeMap<MemberId, Incarnation>) -> BTreeSet<MemberId> {
        let current =
            |id: &MemberId, inc: &Incarnation| self.incarnations.get(id).is_none_or(|known| known <= inc);
        answers.iter().filter(|(id, inc)| current(id, inc)).map(|(id, _)| *id).collect()
    }
}

/// What is known of another member.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub(super) last_heard: Option<Time>,
    pub(super) incarnation: Incarnation,
    pub(super) in_force: u64,
    pub(super) starts: u8,
    /// Restarts seen since this member runs the rollout, in its present run.
    pub(super) restarts: u8,
    pub(super) is_dead: bool,
    /// The number of its last window that was received.
    pub(super) windows_seen: u64,
    pub(super) windows: Windows,
    /// The number of this member's last window that the other has received.
    pub(super) own_windows_seen: u64,
}

/// A member's part in the rollout.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub(super) settings: Settings,
    pub(super) own: MemberId,
    pub(super) incarnation: Incarnation,
    pub(super) listed: BTreeMap<MemberId, LocationId>,
    pub(super) rng: Pcg64Mcg,
    pub(super) state: State,
    pub(super) documents: BTreeMap<VersionId, Version>,
    // Disk.
    pub(super) unsaved_documents: Vec<VersionId>,
    pub(super) is_dirty: bool,
    /// The record being written, and what waits for it and for the next one.
    pub(super) record_in_flight: Option<RecordInFlight>,
    pub(super) awaiting_record: Vec<Deferred>,
    pub(super) awaiting_next_record: Vec<Deferred>,
    pub(super) is_store_ok: bool,
    pub(super) store_retry_at: Time,
    // Catching up: who answered, and whether that member had caught up itself; none once done.
    pub(super) catch_up_answers: Option<BTreeMap<MemberId, bool>>,
    pub(super) next_catch_up: Time,
    // The proposer.
    pub(super) attempt: Option<Attempt>,
    pub(super) pending_change: Option<PendingChange>,
    pub(super) highest_round: u64,
    pub(super) next_attempt_at: Time,
    pub(super) requested_documents: BTreeSet<VersionId>,
    // The runner, and what members report to it.
    pub(super) peers: BTreeMap<MemberId, Peer>,
    pub(super) runner: Option<KnownRunner>,
    pub(super) running_since: Option<Time>,
    pub(super) take_over_at: Time,
    pub(super) next_hello: Time,
    /// The index of the next member in turn for a status.
    pub(super) next_hello_peer: usize,
    pub(super) hello_to_all: bool,
    pub(super) step_learned: Time,
    pub(super) stage_visits: u64,
    pub(super) comparisons: u32,
    /// The window at which the next comparison is due.
    pub(super) next_comparison: u64,
    pub(super) has_passed: bool,
    pub(super) waiting_for: Option<String>,
    /// The version and run that this dispatcher could not put in force.
    pub(super) rejected_version: Option<(u64, u32)>,
    /// The version the dispatcher was last instructed to put in force; `state.in_force` may still wait for
    /// the disk.
    pub(super) active: VersionId,
    // Own figures.
    pub(super) open_window: OpenWindow,
    pub(super) closed_windows: BTreeMap<u64, ClosedWindow>,
    pub(super) next_window: u64,
    pub(super) stage_first_window: u64,
    pub(super) inbox: VecDeque<RolloutMessage>,
    pub(super) effects: VecDeque<Effect>,
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
        let (state, documents) = restore(records);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let take_over_at =
            now + settings.runner_timeout + settings.runner_timeout.times(rng.gen_range(0.0..1.0));
        let mut rollout = Rollout {
            peers: listed.keys().filter(|id| **id != own).map(|id| (*id, Peer::default())).collect(),
            highest_round: state.promised.round,
            open_window: OpenWindow { window: WindowFigures::default(), started: now },
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
        rollout.restore_rules_in_force();
        rollout.try_finish_catch_up(now);
        rollout
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
            runner: self.running_since.map(|_| self.own).or(self.runner.map(|runner| runner.id)),
            is_able: self.is_able(),
            waiting_for: self.waiting_for.clone(),
        }
    }

    /// The state, for checks.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Another member's status, from the failure detector.
    pub fn set_member_alive(&mut self, _now: Time, who: MemberId, alive: bool) {
        if let Some(peer) = self.peers.get_mut(&who) {
            peer.is_dead = !alive;
        }
    }

    pub(super) fn is_able(&self) -> bool {
        self.is_store_ok && self.catch_up_answers.is_none()
    }

    pub(super) fn majority(&self) -> usize {
        self.listed.len() / 2 + 1
    }

    /// The latest step known here, chosen or only accepted.
    pub(super) fn latest(&self) -> Step {
        let accepted = self.state.accepted.map(|(_, step)| step).unwrap_or_default();
        if accepted.at > self.state.chosen.at {
            accepted
        } else {
            self.state.chosen
        }
    }

    /// The step that is being rolled out, as far as known here.
    pub(super) fn rolling_step(&self) -> Option<Step> {
        [self.latest(), self.state.chosen].into_iter().find(|step| step.phase == Phase::Rolling)
    }

    /// Whether a halt of the step's version and run is known.
    pub(super) fn is_halted(&self, step: &Step) -> bool {
        self.state.halt.as_ref().is_some_and(|halt| (halt.number, halt.run) == step.key())
    }

    pub(super) fn log(&mut self, line: String) {
        self.effects.push_back(Effect::Log(line));
    }

    /// Sends a message; those to this member itself are queued.
    pub(super) fn send(&mut self, to: MemberId, message: RolloutMessage) {
        if to == self.own {
            self.inbox.push_back(message);
        } else {
            self.effects.push_back(Effect::Send { to, message });
        }
    }

    pub(super) fn is_order_pending(&self) -> bool {
        self.pending_change.as_ref().is_some_and(|pending| pending.is_order)
    }

    /// Keeps a change of the runner's own to be made.
    pub(super) fn set_pending_change(&mut self, now: Time, change: Change) {
        self.pending_change = Some(PendingChange { change, since: now, is_order: false });
    }
}

/// The latest state and all documents of these records.
fn restore(records: Vec<Record>) -> (State, BTreeMap<VersionId, Version>) {
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
    (state, documents)
}
