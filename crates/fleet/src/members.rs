//! Membership and failure detection. The operators' file lists the members; each member probes the others in
//! turn, gossips what it learns, and suspects a silent member, which may refute that before it is declared
//! dead.
//!
//! Follows SWIM (Das, Gupta, Motivala 2002) with timeouts from phi accrual (Hayashibara et al. 2004) and the
//! local health of Lifeguard (Dadgar, Phillips, Currey 2018). Design, bounds and measurements:
//! docs/fleet-members.md.
mod links;
mod table;

use crate::common::{Incarnation, MemberId};
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use links::Links;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use table::Table;
pub use table::{Claim, MemberState};

/// Listed members beyond this number are ignored.
pub const MAX_MEMBERS: usize = 4096;
/// Claims in a chunk of the table, and claims read from one message.
const CHUNK_CLAIMS: usize = 256;
const MAX_CLAIMS_READ: usize = 512;
/// Gossiped claims that a message carries.
const MAX_GOSSIPED_CLAIMS: usize = 24;
/// Bounds on relayed probes, timed-out probes whose late answer still counts, queued messages and log lines.
const MAX_RELAYED_PROBES: usize = 256;
const MAX_LATE_PROBES: usize = 64;
const MAX_QUEUED_MESSAGES: usize = 8192;
const MAX_QUEUED_LOG_LINES: usize = 64;
/// Extra synchronizations after a start, and after other events that may have lost many claims.
const EXTRA_SYNCS: u32 = 8;
/// Claims with a greater count are rejected, as their subject could not refute them any more.
const MAX_REFUTATIONS: u32 = 1 << 30;
/// Suspects checked in one tick; the rest follow in the next.
const MAX_SUSPECT_CHECKS: usize = 16;

/// Settings of the failure detector.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval in which a member probes one other.
    pub interval: Span,
    /// Time between two sends of the same probe.
    pub retry_interval: Span,
    /// Lower and upper bound of the mean response time from which timeouts are computed.
    pub mean_response_bounds: [Span; 2],
    /// The phi of silence at which others are asked to probe, a helper reports silence, a member is
    /// suspected, and a probe is abandoned.
    pub phi_thresholds: [f64; 4],
    /// How many others are asked to probe a silent member.
    pub indirect_probes: usize,
    /// Time to refute a suspicion, in rounds: a base, and an addition for each doubling of the members.
    pub suspicion_rounds: [f64; 2],
    /// How often a claim is sent on, for each doubling of the members.
    pub gossip_factor: u32,
    /// A member that is not alive is probed once in this many rounds.
    pub dead_probe_rounds: u64,
    /// Whole tables are compared with one other member once in this many rounds.
    pub sync_rounds: u64,
    /// A longer gap between two ticks counts as a pause of this process, after which silence is measured
    /// from the start.
    pub max_pause: Span,
    /// How far another member's incarnation may be ahead of this one's clock.
    pub max_incarnation_lead: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Span::millis(250),
            retry_interval: Span::millis(100),
            mean_response_bounds: [Span::millis(20), Span::millis(500)],
            phi_thresholds: [2.0, 4.0, 8.0, 12.0],
            indirect_probes: 3,
            suspicion_rounds: [4.0, 1.5],
            gossip_factor: 4,
            dead_probe_rounds: 4,
            sync_rounds: 40,
            max_pause: Span::millis(500),
            max_incarnation_lead: Span(24 * 3_600_000_000),
        }
    }
}

/// Why settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    #[error("the probe interval and the time between two probes must be 10 ms to 60 s")]
    Intervals,
    #[error("the bounds of the mean response time must be in ascending order, above 0 and at most 10 s")]
    ResponseBounds,
    #[error("the four phi thresholds must be in ascending order, above 0 and at most 50")]
    Phi,
    #[error("the time to refute a suspicion must be 1 to 1,000 rounds, and 0 to 1,000 for each doubling")]
    SuspicionRounds,
    #[error(
        "a pause must be at least 100 ms, two ticks of the timer: with less, every tick counts as a pause"
    )]
    Pause,
}

impl SettingsError {
    pub fn code(&self) -> &'static str {
        match self {
            SettingsError::Intervals => "members-times",
            SettingsError::ResponseBounds => "members-gap",
            SettingsError::Phi => "members-phi",
            SettingsError::SuspicionRounds => "members-wait",
            SettingsError::Pause => "members-still",
        }
    }
}

impl Settings {
    /// Validates settings, before `Members::new`.
    pub fn check(&self) -> Result<(), SettingsError> {
        let is_valid_interval = |span: Span| (Span::millis(10)..=Span::millis(60_000)).contains(&span);
        let [base, doubling] = self.suspicion_rounds;
        let [first, .., last] = self.phi_thresholds;
        let rules = [
            (
                is_valid_interval(self.interval) && is_valid_interval(self.retry_interval),
                SettingsError::Intervals,
            ),
            (
                Span::ZERO < self.mean_response_bounds[0]
                    && self.mean_response_bounds[0] <= self.mean_response_bounds[1],
                SettingsError::ResponseBounds,
            ),
            (self.mean_response_bounds[1] <= Span::millis(10_000), SettingsError::ResponseBounds),
            (
                first > 0.0 && last <= 50.0 && self.phi_thresholds.windows(2).all(|two| two[0] < two[1]),
                SettingsError::Phi,
            ),
            ((1.0..=1e3).contains(&base) && (0.0..=1e3).contains(&doubling), SettingsError::SuspicionRounds),
            (self.max_pause >= Span::millis(100), SettingsError::Pause),
        ];
        rules.into_iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, error)| Err(error))
    }
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's claim about itself.
    pub claim: Claim,
    pub body: Body,
    pub claims: Vec<(MemberId, Claim)>,
}

/// Content of a message, beside the gossiped claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Ping {
        sequence: u32,
    },
    Ack {
        sequence: u32,
    },
    /// Asks the receiver to probe `target`.
    PingRequest {
        sequence: u32,
        target: MemberId,
    },
    /// Result of a `PingRequest`.
    PingResult {
        sequence: u32,
        target: MemberId,
        is_reachable: bool,
    },
    /// Checksum of the sender's table.
    Digest {
        digest: u64,
    },
    /// The answer where the tables are equal.
    DigestMatches,
    /// The answer where they differ: the sender's claims about all members from one id to another.
    Chunk {
        first: MemberId,
        last: MemberId,
    },
    /// Only the gossiped claims.
    Gossip,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: Message,
    },
    Changed {
        who: MemberId,
        state: MemberState,
        incarnation: Incarnation,
    },
    /// Whether this member's own links are degraded: most of its probes have no answer.
    LinksDegraded(bool),
    /// A newer process runs under the same name; this one sends nothing more.
    SteppedDown,
    Log(String),
}

/// A probe that has not been answered yet.
struct Probe {
    target: usize,
    sequence: u32,
    /// When it was first sent, and when it is sent again.
    sent: Time,
    resend_at: Time,
    /// Whether others were asked to probe, one of them answered, and one reported silence.
    is_indirect: bool,
    has_helper_answer: bool,
    is_reported_silent: bool,
}

/// A probe on behalf of another member.
struct RelayedProbe {
    requester: MemberId,
    /// Its sequence number at the requester, and here.
    requester_sequence: u32,
    sequence: u32,
    target: usize,
    sent: Time,
    resend_at: Time,
}

struct Suspicion {
    since: Time,
    /// Raised by this member itself.
    is_own: bool,
    next_check: Time,
}

/// One member's view of the membership.
pub struct Members {
    settings: Settings,
    own: usize,
    started: Time,
    last_tick: Time,
    /// When the last message of any member came.
    last_heard: Time,
    rng: Pcg64Mcg,
    table: Table,
    links: Links,
    probes: Vec<Probe>,
    /// Abandoned probes: sequence number, target and time of the first send.
    late_probes: VecDeque<(u32, usize, Time)>,
    relayed_probes: Vec<RelayedProbe>,
    suspicions: BTreeMap<usize, Suspicion>,
    /// Members still to be probed in this cycle.
    probe_queue: Vec<usize>,
    next_round: Time,
    rounds: u64,
    sequence: u32,
    /// Whether the table was compared with another member's since the start.
    is_synced: bool,
    /// Extra synchronizations still to do.
    extra_syncs: u32,
    links_degraded: bool,
    links_degraded_reported: bool,
    stepped_down: bool,
    stepped_down_reported: bool,
    last_rejection_logged: Option<Time>,
    messages: VecDeque<(MemberId, Message)>,
    log_lines: VecDeque<String>,
}

impl Members {
    /// `own` should be listed; otherwise it counts as listed in location 0.
    pub fn new(
        settings: Settings,
        own: MemberId,
        incarnation: Incarnation,
        listed: &[(MemberId, LocationId)],
        seed: u64,
        now: Time,
    ) -> Members {
        let mut all: Vec<_> = listed.iter().copied().filter(|(id, _)| *id != own).collect();
        all.truncate(MAX_MEMBERS - 1);
        let location = listed.iter().find(|(id, _)| *id == own).map_or(LocationId(0), |(_, at)| *at);
        all.push((own, location));
        let mut table = Table::new(&all, now);
        let own = table.find(own).unwrap_or_default();
        table.merge(own, Claim { incarnation, refutations: 0, state: MemberState::Alive }, true);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let next_round = now + settings.interval.times(rng.gen_range(0.0..1.0));
        let rounds = rng.gen_range(0..settings.sync_rounds.max(1));
        Members {
            settings,
            own,
            started: now,
            last_tick: now,
            last_heard: now,
            rng,
            table,
            links: Links::default(),
            probes: Vec::new(),
            late_probes: VecDeque::new(),
            relayed_probes: Vec::new(),
            suspicions: BTreeMap::new(),
            probe_queue: Vec::new(),
            next_round,
            rounds,
            sequence: 0,
            is_synced: false,
            extra_syncs: EXTRA_SYNCS,
            links_degraded: false,
            links_degraded_reported: false,
            stepped_down: false,
            stepped_down_reported: false,
            last_rejection_logged: None,
            messages: VecDeque::new(),
            log_lines: VecDeque::new(),
        }
    }

    /// All listed members, including this one.
    pub fn listed(&self) -> impl Iterator<Item = (MemberId, LocationId)> + '_ {
        self.table.entries.iter().map(|entry| (entry.id, entry.location))
    }

    /// State of a member; `None` if it is not listed.
    pub fn state(&self, id: MemberId) -> Option<MemberState> {
        self.table.find(id).map(|i| self.table.claim(i).state)
    }

    /// The newest known incarnation of a member, if any.
    pub fn incarnation(&self, id: MemberId) -> Option<Incarnation> {
        let claim = self.table.claim(self.table.find(id)?);
        (claim != Claim::NONE).then_some(claim.incarnation)
    }

    /// Whether this member's own links are degraded.
    pub fn are_links_degraded(&self) -> bool {
        self.links_degraded
    }

    /// Notes a message of any kind. False if it has to be ignored: its sender is not listed, its incarnation
    /// is outdated or too far in the future, or this process has stepped down.
    pub fn accept(&mut self, now: Time, from: MemberId, incarnation: Incarnation) -> bool {
        let Some(i) = self.table.find(from).filter(|_| !self.stepped_down) else { return false };
        let claim = Claim { incarnation, refutations: 0, state: MemberState::Alive };
        if !self.is_plausible(now, i, claim) || incarnation < self.table.claim(i).incarnation {
            return false;
        }
        if i == self.own {
            self.handle_own_claim(now, claim);
            return false;
        }
        self.merge(now, i, claim, true);
        self.table.entries[i].last_heard = now;
        self.last_heard = now;
        true
    }

    /// Handles a membership message.
    pub fn receive(&mut self, now: Time, from: MemberId, message: Message) {
        let Some(i) = self.table.find(from).filter(|_| !self.stepped_down) else { return };
        if !self.accept(now, from, message.claim.incarnation) {
            // Tells an older process under the same name about the newer one.
            if i != self.own && message.claim.incarnation < self.table.claim(i).incarnation {
                self.send(from, Body::Gossip, Some(i));
            }
            return;
        }
        self.merge_if_plausible(now, i, message.claim, true);
        let gossip = !matches!(message.body, Body::Chunk { .. });
        for &(who, claim) in message.claims.iter().take(MAX_CLAIMS_READ) {
            if let Some(j) = self.table.find(who) {
                self.merge_if_plausible(now, j, claim, gossip);
            }
        }
        if self.stepped_down {
            return;
        }
        // Prevents two members from answering each other forever, as when both find their links degraded.
        let mut has_answered = message.body == Body::Gossip;
        match message.body {
            Body::Ping { sequence } => {
                self.send(from, Body::Ack { sequence }, None);
                has_answered = true;
            }
            Body::PingRequest { sequence, target } => self.handle_ping_request(now, from, sequence, target),
            Body::Ack { sequence } => self.handle_ack(now, i, sequence),
            Body::PingResult { sequence, target, is_reachable } => {
                self.handle_ping_result(now, sequence, target, is_reachable);
            }
            Body::Digest { digest } => self.handle_digest(from, digest),
            Body::DigestMatches => self.is_synced = true,
            Body::Chunk { first, last } => {
                self.is_synced = true;
                self.send_newer(from, first, last, &message.claims);
            }
            Body::Gossip => {}
        }
        // The sender is not considered alive here: lets it refute that.
        if !has_answered && !matches!(self.table.claim(i).state, MemberState::Alive | MemberState::Left) {
            self.send(from, Body::Gossip, None);
        }
    }

    /// Periodic work: probes, timeouts and suspicions.
    pub fn tick(&mut self, now: Time) {
        if now - self.last_tick > self.settings.max_pause {
            self.handle_pause(now);
        }
        self.last_tick = now;
        if self.is_inactive() {
            return;
        }
        if now >= self.next_round {
            self.next_round = now.max(self.next_round + self.settings.interval);
            self.start_round(now);
        }
        self.check_probes(now);
        self.check_relayed_probes(now);
        self.check_suspicions(now);
    }

    /// Begins an orderly shutdown: notifies some members, stops probing, and keeps answering.
    pub fn leave(&mut self, now: Time) {
        if self.is_inactive() {
            return;
        }
        let own = self.table.claim(self.own);
        self.table.merge(
            self.own,
            Claim { refutations: own.refutations + 1, state: MemberState::Left, ..own },
            true,
        );
        (self.probes, self.relayed_probes) = (Vec::new(), Vec::new());
        self.suspicions.clear();
        self.last_tick = now;
        for i in self.pick_random(8, &[], |state| state == MemberState::Alive) {
            self.send(self.table.entries[i].id, Body::Gossip, Some(self.own));
        }
    }

    /// The next effect to carry out; further ones follow after later calls.
    pub fn next_effect(&mut self) -> Option<Effect> {
        if self.stepped_down {
            self.messages.clear();
            let is_first = !std::mem::replace(&mut self.stepped_down_reported, true);
            return is_first.then_some(Effect::SteppedDown);
        }
        if self.links_degraded != self.links_degraded_reported {
            self.links_degraded_reported = self.links_degraded;
            return Some(Effect::LinksDegraded(self.links_degraded));
        }
        if let Some((who, state, incarnation)) = self.table.next_change(self.own) {
            return Some(Effect::Changed { who, state, incarnation });
        }
        if let Some((to, message)) = self.messages.pop_front() {
            return Some(Effect::Send { to, message });
        }
        self.log_lines.pop_front().map(Effect::Log)
    }

    fn is_inactive(&self) -> bool {
        self.stepped_down || self.table.claim(self.own).state == MemberState::Left
    }

    fn log(&mut self, line: String) {
        if self.log_lines.len() < MAX_QUEUED_LOG_LINES {
            self.log_lines.push_back(line);
        }
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn log2_members(&self) -> f64 {
        (self.table.entries.len() as f64 + 1.0).log2()
    }

    /// Up to `max` random other members that fit.
    fn pick_random(
        &mut self,
        max: usize,
        excluded: &[usize],
        fits: impl Fn(MemberState) -> bool,
    ) -> Vec<usize> {
        let entries = self.table.entries.iter().enumerate();
        let fit = entries.filter(|(i, e)| *i != self.own && !excluded.contains(i) && fits(e.claim.state));
        let mut indices: Vec<usize> = fit.map(|(i, _)| i).collect();
        let (picked, _) = indices.partial_shuffle(&mut self.rng, max);
        picked.to_vec()
    }

    /// Sends a message with gossiped claims, the claim about the receiver where that is not alive, and the
    /// claim about one more member.
    fn send(&mut self, to: MemberId, body: Body, about: Option<usize>) {
        let times = (f64::from(self.settings.gossip_factor) * self.log2_members()).ceil() as u32;
        let links_degraded = self.links_degraded;
        let fits = |state| !links_degraded || !matches!(state, MemberState::Suspect | MemberState::Dead);
        let mut claims = self.table.next_updates(MAX_GOSSIPED_CLAIMS, times, fits);
        let receiver = self.table.find(to).filter(|i| self.table.claim(*i).state != MemberState::Alive);
        for i in receiver.into_iter().chain(about) {
            let claim = (self.table.entries[i].id, self.table.claim(i));
            if claim.1 != Claim::NONE && fits(claim.1.state) && !claims.contains(&claim) {
                claims.push(claim);
            }
        }
        self.enqueue(to, body, claims);
    }

    fn enqueue(&mut self, to: MemberId, body: Body, claims: Vec<(MemberId, Claim)>) {
        if self.messages.len() < MAX_QUEUED_MESSAGES {
            let claim = self.table.claim(self.own);
            self.messages.push_back((to, Message { claim, body, claims }));
        }
    }

    /// Rejects claims that no newer one could ever replace, as sent by a faulty peer or one with a wrong
    /// clock.
    fn is_plausible(&mut self, now: Time, i: usize, claim: Claim) -> bool {
        let clock = self.table.claim(self.own).incarnation.0.saturating_add((now - self.started).0);
        let newest = clock.saturating_add(self.settings.max_incarnation_lead.0);
        if claim.incarnation.0 <= newest
            && claim.refutations <= MAX_REFUTATIONS
            && claim.state != MemberState::Unknown
        {
            return true;
        }
        if self.last_rejection_logged.is_none_or(|at| now - at > Span::millis(10_000)) {
            self.last_rejection_logged = Some(now);
            let (id, ahead) = (self.table.entries[i].id.0, self.settings.max_incarnation_lead.as_seconds());
            self.log(format!(
                "members: ignored a claim about {id:x} with incarnation {} (at most {ahead} s ahead of this clock is \
                 allowed) and {} refutations; compare the clocks of the machines",
                claim.incarnation.0, claim.refutations
            ));
        }
        false
    }

    fn merge_if_plausible(&mut self, now: Time, i: usize, claim: Claim, gossip: bool) {
        if self.is_plausible(now, i, claim) {
            self.merge(now, i, claim, gossip);
        }
    }

    fn merge(&mut self, now: Time, i: usize, claim: Claim, gossip: bool) {
        if i == self.own {
            return self.handle_own_claim(now, claim);
        }
        let before = self.table.claim(i).state;
        if !self.table.merge(i, claim, gossip) {
            return;
        }
        if before == MemberState::Dead && claim.state == MemberState::Alive {
            // Possibly one of many, as after a network partition.
            self.extra_syncs = EXTRA_SYNCS;
        }
        if claim.state == MemberState::Suspect {
            let next_check = now + self.refutation_time().times(0.5);
            self.suspicions.insert(i, Suspicion { since: now, is_own: false, next_check });
            return;
        }
        self.suspicions.remove(&i);
        if claim.state >= MemberState::Dead {
            self.probes.retain(|probe| probe.target != i);
            self.relayed_probes.retain(|probe| probe.target != i);
        }
    }

    /// Handles a claim about this process: of a newer process under the same name, or one to refute.
    fn handle_own_claim(&mut self, now: Time, claim: Claim) {
        let own = self.table.claim(self.own);
        if claim.incarnation > own.incarnation {
            self.stepped_down = true;
        } else if claim.incarnation == own.incarnation && claim > own && claim.state != MemberState::Alive {
            self.table.merge(self.own, Claim { refutations: claim.refutations + 1, ..own }, true);
            // Sent to some members at once, as the time to refute is limited.
            for i in self.pick_random(self.settings.indirect_probes, &[], |state| state == MemberState::Alive)
            {
                self.send(self.table.entries[i].id, Body::Gossip, None);
            }
            self.last_heard = now;
        }
    }

    fn start_round(&mut self, now: Time) {
        self.rounds += 1;
        if !self.is_synced {
            for i in self.pick_random(self.settings.indirect_probes, &[], |_| true) {
                self.send_digest(i);
            }
        } else if self.is_sync_due() {
            for i in self.pick_random(1, &[], |state| state == MemberState::Alive) {
                self.send_digest(i);
            }
        }
        if self.rounds.is_multiple_of(self.settings.dead_probe_rounds.max(1)) {
            for i in
                self.pick_random(1, &[], |state| !matches!(state, MemberState::Alive | MemberState::Suspect))
            {
                let sequence = self.next_sequence();
                self.send(self.table.entries[i].id, Body::Ping { sequence }, None);
            }
        }
        let Some(target) = self.next_probe_target() else { return };
        let (sequence, resend_at) = (self.next_sequence(), now + self.settings.retry_interval);
        let (is_indirect, has_helper_answer, is_reported_silent) = (false, false, false);
        self.probes.push(Probe {
            target,
            sequence,
            sent: now,
            resend_at,
            is_indirect,
            has_helper_answer,
            is_reported_silent,
        });
        self.send(self.table.entries[target].id, Body::Ping { sequence }, None);
    }

    /// Frequently after a start, a pause, degraded links or the return of a dead member, otherwise rarely.
    fn is_sync_due(&mut self) -> bool {
        let is_extra = self.extra_syncs > 0 && self.rounds.is_multiple_of(2);
        self.extra_syncs -= u32::from(is_extra);
        is_extra || self.rounds.is_multiple_of(self.settings.sync_rounds.max(1))
    }

    fn send_digest(&mut self, i: usize) {
        let digest = self.table.digest();
        self.send(self.table.entries[i].id, Body::Digest { digest }, None);
    }

    /// Cycles through the members alive, in a new random order each time.
    fn next_probe_target(&mut self) -> Option<usize> {
        for _ in 0..2 {
            while let Some(i) = self.probe_queue.pop() {
                let is_probed = self.probes.iter().any(|probe| probe.target == i);
                if self.table.claim(i).state == MemberState::Alive && !is_probed {
                    return Some(i);
                }
            }
            self.probe_queue = self.pick_random(usize::MAX, &[], |state| state == MemberState::Alive);
        }
        None
    }

    fn check_probes(&mut self, now: Time) {
        let mut probes = std::mem::take(&mut self.probes);
        probes.retain_mut(|probe| self.check_probe(now, probe));
        probes.append(&mut self.probes);
        self.probes = probes;
    }

    /// Sends a probe again, asks others to probe, suspects the target or abandons the probe. False when it
    /// has ended.
    fn check_probe(&mut self, now: Time, probe: &mut Probe) -> bool {
        let entry = &self.table.entries[probe.target];
        let (id, silence) = (entry.id, now - probe.sent.max(entry.last_heard));
        let [indirect_after, _, suspect_after, abandon_after] = self
            .settings
            .phi_thresholds
            .map(|phi| self.links.timeout(phi, Some(&entry.response_times), &self.settings));
        if silence > suspect_after && probe.is_reported_silent {
            self.links.record_outcome(true);
            self.update_links_degraded();
            let claim = self.table.claim(probe.target);
            if !self.links_degraded && claim.state == MemberState::Alive {
                self.merge(now, probe.target, claim.with(MemberState::Suspect), true);
                let mark_own = |s: &mut Suspicion| (s.is_own, s.next_check) = (true, now);
                self.suspicions.get_mut(&probe.target).map(mark_own);
            }
            self.abandon(probe);
            return false;
        }
        if now - probe.sent > abandon_after {
            self.links.record_outcome(probe.has_helper_answer);
            self.update_links_degraded();
            self.abandon(probe);
            return false;
        }
        if now >= probe.resend_at {
            probe.resend_at = now + self.settings.retry_interval;
            self.send(id, Body::Ping { sequence: probe.sequence }, None);
            if now - probe.sent > indirect_after {
                let max = if probe.is_indirect { 1 } else { self.settings.indirect_probes };
                probe.is_indirect = true;
                self.probe_through_others(probe.sequence, probe.target, max);
            }
        }
        true
    }

    fn abandon(&mut self, probe: &Probe) {
        self.late_probes.push_back((probe.sequence, probe.target, probe.sent));
        if self.late_probes.len() > MAX_LATE_PROBES {
            self.late_probes.pop_front();
        }
    }

    fn probe_through_others(&mut self, sequence: u32, target_index: usize, max: usize) {
        let target = self.table.entries[target_index].id;
        for i in self.pick_random(max, &[target_index], |state| state == MemberState::Alive) {
            self.send(self.table.entries[i].id, Body::PingRequest { sequence, target }, Some(target_index));
        }
    }

    fn update_links_degraded(&mut self) {
        let Some(degraded) = self.links.are_degraded().filter(|degraded| *degraded != self.links_degraded)
        else {
            return;
        };
        self.links_degraded = degraded;
        if !degraded {
            // Refutations may have been lost meanwhile.
            self.restart_suspicions(self.last_tick);
            self.extra_syncs = EXTRA_SYNCS;
        }
    }

    fn handle_ack(&mut self, now: Time, i: usize, sequence: u32) {
        if let Some(at) = self.probes.iter().position(|probe| probe.target == i && probe.sequence == sequence)
        {
            let probe = self.probes.swap_remove(at);
            self.links.record_response(
                now - probe.sent,
                &mut self.table.entries[i].response_times,
                &self.settings,
            );
            self.links.record_outcome(true);
            self.update_links_degraded();
        } else if let Some(at) =
            self.late_probes.iter().position(|&(late, target, _)| target == i && late == sequence)
        {
            let sent = self.late_probes.remove(at).map_or(now, |late| late.2);
            self.links.record_response(now - sent, &mut self.table.entries[i].response_times, &self.settings);
        }
        if let Some(at) =
            self.relayed_probes.iter().position(|probe| probe.target == i && probe.sequence == sequence)
        {
            let probe = self.relayed_probes.swap_remove(at);
            let target = self.table.entries[i].id;
            let body = Body::PingResult { sequence: probe.requester_sequence, target, is_reachable: true };
            self.send(probe.requester, body, Some(i));
        }
    }

    /// Probes a third member on behalf of another.
    fn handle_ping_request(
        &mut self,
        now: Time,
        requester: MemberId,
        requester_sequence: u32,
        target: MemberId,
    ) {
        let Some(i) = self.table.find(target).filter(|_| !self.is_inactive()) else { return };
        if i == self.own {
            return self.send(requester, Body::Ack { sequence: requester_sequence }, None);
        }
        let is_same = |probe: &RelayedProbe| {
            probe.requester == requester
                && probe.requester_sequence == requester_sequence
                && probe.target == i
        };
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || self.relayed_probes.iter().any(is_same) {
            return;
        }
        let (sequence, resend_at) = (self.next_sequence(), now + self.settings.retry_interval);
        self.relayed_probes.push(RelayedProbe {
            requester,
            requester_sequence,
            sequence,
            target: i,
            sent: now,
            resend_at,
        });
        self.send(target, Body::Ping { sequence }, None);
    }

    fn check_relayed_probes(&mut self, now: Time) {
        let mut probes = std::mem::take(&mut self.relayed_probes);
        probes.retain_mut(|probe| {
            let entry = &self.table.entries[probe.target];
            let (target, is_reachable) = (entry.id, entry.last_heard > probe.sent);
            let timeout = self.links.timeout(
                self.settings.phi_thresholds[1],
                Some(&entry.response_times),
                &self.settings,
            );
            if is_reachable || now - probe.sent > timeout {
                // With degraded links this member's own view of silence is worthless.
                if is_reachable || !self.links_degraded {
                    let body = Body::PingResult { sequence: probe.requester_sequence, target, is_reachable };
                    self.send(probe.requester, body, Some(probe.target));
                }
                return false;
            }
            if now >= probe.resend_at {
                probe.resend_at = now + self.settings.retry_interval;
                self.send(target, Body::Ping { sequence: probe.sequence }, None);
            }
            true
        });
        self.relayed_probes = probes;
    }

    /// Handles the result of a probe through another member.
    fn handle_ping_result(&mut self, now: Time, sequence: u32, target: MemberId, is_reachable: bool) {
        let found =
            |probe: &Probe| probe.sequence == sequence && self.table.entries[probe.target].id == target;
        let Some(at) = self.probes.iter().position(found) else { return };
        if !is_reachable {
            (self.probes[at].has_helper_answer, self.probes[at].is_reported_silent) = (true, true);
            return;
        }
        let probe = self.probes.swap_remove(at);
        self.links.record_response(
            now - probe.sent,
            &mut self.table.entries[probe.target].response_times,
            &self.settings,
        );
        self.links.record_outcome(true);
        self.update_links_degraded();
    }

    /// Time to refute a suspicion: enough for the gossip and the refutation to spread, and at least twice the
    /// timeout of a probe.
    fn refutation_time(&self) -> Span {
        let [base, doubling] = self.settings.suspicion_rounds;
        let in_rounds = self.settings.interval.times(base + doubling * self.log2_members());
        in_rounds.max(self.links.timeout(2.0 * self.settings.phi_thresholds[2], None, &self.settings))
    }

    /// Probes suspects, and declares those dead that have not refuted in time.
    fn check_suspicions(&mut self, now: Time) {
        let refutation_time = self.refutation_time();
        // Nobody is declared dead while refutations could not arrive.
        let is_connected = !self.links_degraded && now - self.last_heard <= self.settings.interval.times(2.0);
        let suspicions = self.suspicions.iter();
        let expired =
            suspicions.filter(|(_, s)| is_connected && now - s.since > refutation_time).map(|(i, _)| *i);
        for i in expired.collect::<Vec<_>>() {
            self.merge(now, i, self.table.claim(i).with(MemberState::Dead), true);
        }
        let checks: Vec<(usize, bool)> = {
            let due = self
                .suspicions
                .iter()
                .filter(|(_, s)| now >= s.next_check && (s.is_own || !self.links_degraded));
            due.map(|(i, s)| (*i, s.is_own)).take(MAX_SUSPECT_CHECKS).collect()
        };
        for (i, is_own) in checks {
            let next =
                if is_own { self.settings.retry_interval.times(2.0) } else { refutation_time.times(0.25) };
            self.suspicions.entry(i).and_modify(|s| s.next_check = now + next);
            let sequence = self.next_sequence();
            self.send(self.table.entries[i].id, Body::Ping { sequence }, None);
            if is_own {
                self.probe_through_others(sequence, i, 1);
            }
        }
    }

    fn restart_suspicions(&mut self, now: Time) {
        let next_check = now + self.refutation_time().times(0.5);
        for suspicion in self.suspicions.values_mut() {
            (suspicion.since, suspicion.next_check) = (now, next_check.min(suspicion.next_check.max(now)));
        }
    }

    /// This process was paused: silence during the pause says nothing about other members.
    fn handle_pause(&mut self, now: Time) {
        let span = (now - self.last_tick).as_seconds();
        self.log(format!(
            "members: this process was paused for {span:.1} s; silence of other members is measured from now on"
        ));
        self.probes.clear();
        self.late_probes.clear();
        self.relayed_probes.clear();
        self.links.clear_outcomes();
        self.restart_suspicions(now);
        self.last_heard = now;
        self.extra_syncs = EXTRA_SYNCS;
    }

    fn handle_digest(&mut self, from: MemberId, digest: u64) {
        if digest == self.table.digest() {
            return self.send(from, Body::DigestMatches, None);
        }
        let known: Vec<_> = self.table.claims_between(MemberId(0), MemberId(u64::MAX)).collect();
        let chunks = known.chunks(CHUNK_CLAIMS);
        let last_chunk = chunks.len().saturating_sub(1);
        let mut first = MemberId(0);
        for (k, chunk) in chunks.enumerate() {
            let end = chunk.last().map_or(first, |(id, _)| *id);
            let last = if k == last_chunk { MemberId(u64::MAX) } else { end };
            self.enqueue(from, Body::Chunk { first, last }, chunk.to_vec());
            first = MemberId(last.0.saturating_add(1));
        }
    }

    /// Sends the claims that are newer here than in another member's chunk.
    fn send_newer(&mut self, to: MemberId, first: MemberId, last: MemberId, theirs: &[(MemberId, Claim)]) {
        let theirs: BTreeMap<MemberId, Claim> = theirs.iter().take(MAX_CLAIMS_READ).copied().collect();
        let known = self.table.claims_between(first, last);
        let newer = known.filter(|(id, claim)| theirs.get(id).is_none_or(|theirs| theirs < claim));
        let newer: Vec<_> = newer.take(CHUNK_CLAIMS).collect();
        if !newer.is_empty() {
            self.enqueue(to, Body::Gossip, newer);
        }
    }
}
