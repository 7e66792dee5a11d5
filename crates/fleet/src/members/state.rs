//! One member's view of the membership: its data, and what the caller reads of it.
use super::links::Links;
use super::messages::{Effect, Message};
use super::settings::Settings;
use super::table::{Claim, MemberState, Table};
use crate::common::{Incarnation, MemberId};
use cherrypass::ids::LocationId;
use cherrypass::time::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Listed members beyond this number are ignored.
pub const MAX_MEMBERS: usize = 4096;
/// Bound on queued log lines.
const MAX_QUEUED_LOG_LINES: usize = 64;
/// Extra synchronizations after a start, and after other events that may have lost many claims.
pub(super) const EXTRA_SYNCS: u32 = 8;

/// A probe that has not been answered yet.
pub(super) struct Probe {
    pub target: usize,
    pub sequence: u32,
    /// When it was first sent, and when it is sent again.
    pub sent: Time,
    pub resend_at: Time,
    /// Whether others were asked to probe, one of them answered, and one reported silence.
    pub is_indirect: bool,
    pub has_helper_answer: bool,
    pub is_reported_silent: bool,
}

/// A probe that was abandoned; a late answer still counts.
pub(super) struct LateProbe {
    pub sequence: u32,
    pub target: usize,
    /// When it was first sent.
    pub sent: Time,
}

/// A probe on behalf of another member.
pub(super) struct RelayedProbe {
    pub requester: MemberId,
    /// Its sequence number at the requester, and here.
    pub requester_sequence: u32,
    pub sequence: u32,
    pub target: usize,
    pub sent: Time,
    pub resend_at: Time,
}

/// A member that is suspected to be dead.
pub(super) struct Suspicion {
    pub since: Time,
    /// Raised by this member itself.
    pub is_own: bool,
    pub next_check: Time,
}

/// One member's view of the membership.
pub struct Members {
    pub(super) settings: Settings,
    pub(super) own: usize,
    pub(super) started: Time,
    pub(super) last_tick: Time,
    /// When the last message of any member came.
    pub(super) last_heard: Time,
    pub(super) rng: Pcg64Mcg,
    pub(super) table: Table,
    pub(super) links: Links,
    pub(super) probes: Vec<Probe>,
    pub(super) late_probes: VecDeque<LateProbe>,
    pub(super) relayed_probes: Vec<RelayedProbe>,
    pub(super) suspicions: BTreeMap<usize, Suspicion>,
    /// Members still to be probed in this cycle.
    pub(super) probe_queue: Vec<usize>,
    pub(super) next_round: Time,
    pub(super) rounds: u64,
    pub(super) sequence: u32,
    /// Whether the table was compared with another member's since the start.
    pub(super) is_synced: bool,
    /// Extra synchronizations still to do.
    pub(super) extra_syncs: u32,
    pub(super) links_degraded: bool,
    pub(super) links_degraded_reported: bool,
    pub(super) stepped_down: bool,
    pub(super) stepped_down_reported: bool,
    pub(super) last_rejection_logged: Option<Time>,
    pub(super) messages: VecDeque<(MemberId, Message)>,
    pub(super) log_lines: VecDeque<String>,
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
        let mut table = Table::new(&members_with_own(listed, own), now);
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

    pub(super) fn is_inactive(&self) -> bool {
        self.stepped_down || self.table.claim(self.own).state == MemberState::Left
    }

    pub(super) fn log(&mut self, line: String) {
        if self.log_lines.len() < MAX_QUEUED_LOG_LINES {
            self.log_lines.push_back(line);
        }
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    pub(super) fn log2_members(&self) -> f64 {
        (self.table.entries.len() as f64 + 1.0).log2()
    }
}

/// The listed members up to the bound, with this one among them.
fn members_with_own(listed: &[(MemberId, LocationId)], own: MemberId) -> Vec<(MemberId, LocationId)> {
    let mut members: Vec<_> = listed.iter().copied().filter(|(id, _)| *id != own).collect();
    members.truncate(MAX_MEMBERS - 1);
    let location = listed.iter().find(|(id, _)| *id == own).map_or(LocationId(0), |(_, at)| *at);
    members.push((own, location));
    members
}
