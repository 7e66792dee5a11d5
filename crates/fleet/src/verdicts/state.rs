//! One dispatcher's state of shared verdicts: the hosts, its own findings, the reports of others and the
//! verdicts in force.
use super::settings::Settings;
use super::types::{Effect, FindingKind, Topic, UsedBy};
use crate::common::{Incarnation, MemberId};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::Time;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// A listed host.
#[derive(Debug)]
pub(super) struct Host {
    pub since: Option<Incarnation>,
    pub used_by: UsedBy,
    /// Nothing is published about it before: set by an own withdrawal.
    pub publish_after: Time,
    /// Reports of others are ignored before: set when own hand-offs contradicted them.
    pub ignored_until: Time,
    /// A verdict took it out of use: until then a single report of a restart is enough.
    pub recently_out_until: Time,
    /// Another dispatcher reported its recovery: earlier findings do not count.
    pub recovered_at: Option<Time>,
    /// This dispatcher has published that it is unhealthy and has not withdrawn that.
    pub is_published: bool,
}

/// A finding of this dispatcher.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnFinding {
    pub since: Option<Incarnation>,
    pub kind: FindingKind,
    pub evidence: u32,
    /// When the latest hand-off supported it.
    pub evidence_at: Time,
    /// When it is published next, and whether it was before.
    pub next_publish: Time,
    pub is_published: bool,
}

/// What a dispatcher reports about a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedFinding {
    pub since: Option<Incarnation>,
    pub kind: FindingKind,
    pub evidence: u32,
}

/// The latest report of a dispatcher on one topic of a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub sequence: u64,
    /// `None`: withdrawn, and remembered so that an older message does not undo that.
    pub finding: Option<ReportedFinding>,
    pub until: Time,
}

/// Another dispatcher and its reports.
#[derive(Debug)]
pub(super) struct Reporter {
    pub location: LocationId,
    pub incarnation: Incarnation,
    /// Dead, or shut down.
    pub is_gone: bool,
    pub reports: BTreeMap<(HostId, Topic), Report>,
    /// It reported too many hosts at once: its reports do not count before.
    pub discounted_until: Time,
}

/// A verdict that was reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Verdict {
    pub since: Option<Incarnation>,
    pub kind: FindingKind,
    pub weight: f64,
    pub until: Time,
    pub reporters: u8,
}

/// A verdict in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveVerdict {
    /// The order in which verdicts came into force, for `withdraw_above_half`.
    pub order: u64,
    pub verdict: Verdict,
}

/// One dispatcher's state of shared verdicts.
pub struct Verdicts {
    pub(super) settings: Settings,
    pub(super) own: MemberId,
    pub(super) location: LocationId,
    pub(super) incarnation: Incarnation,
    pub(super) rng: Pcg64Mcg,
    pub(super) hosts: BTreeMap<HostId, Host>,
    /// Number of hosts by the group of their users.
    pub(super) group_sizes: BTreeMap<UsedBy, usize>,
    pub(super) own_findings: BTreeMap<(HostId, Topic), OwnFinding>,
    pub(super) reporters: BTreeMap<MemberId, Reporter>,
    pub(super) verdicts: BTreeMap<(HostId, Topic), ActiveVerdict>,
    pub(super) links_degraded: bool,
    /// Evidence from before this time is not published.
    pub(super) links_degraded_until: Time,
    pub(super) sequence: u64,
    pub(super) last_order: u64,
    pub(super) last_logged: Option<Time>,
    pub(super) effects: VecDeque<Effect>,
}

impl Verdicts {
    pub fn new(
        settings: Settings,
        own: MemberId,
        own_location: LocationId,
        incarnation: Incarnation,
        seed: u64,
        now: Time,
    ) -> Verdicts {
        Verdicts {
            settings,
            own,
            location: own_location,
            incarnation,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            group_sizes: BTreeMap::new(),
            own_findings: BTreeMap::new(),
            reporters: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            links_degraded: false,
            links_degraded_until: now,
            sequence: 0,
            last_order: 0,
            last_logged: None,
            effects: VecDeque::new(),
        }
    }

    /// The next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Queues a log line, at most one in a hold time.
    pub(super) fn log(&mut self, now: Time, line: String) {
        if self.last_logged.is_none_or(|at| now >= at + self.settings.hold_time) {
            self.last_logged = Some(now);
            self.effects.push_back(Effect::Log(line));
        }
    }
}
