//! What an instance remembers of hosts, objects, bands, visits and hand-offs: plain fields only.
use crate::calls::{Decision, Fill, Listing, Phase, Visit};
use crate::containers::{Bucket, DueTimes, Gradient, Mean};
use crate::ids::{BandId, GroupId, HandOffNo, HostId, ObjectId, VisitId};
use crate::popularity::Popularity;
use crate::settings::Settings;
use crate::time::{Span, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// An open circuit breaker: when the next trial visit may go, and how many trials in a row went well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shut {
    pub since: Time,
    pub next_trial: Time,
    pub rest: Span,
    pub passed: u32,
}

#[derive(Debug)]
pub struct Host {
    pub entry: Listing,
    pub in_flight: u32,
    pub heard: Time,
    pub waiting_since: Time,
    pub gap: Mean,
    pub bad: Mean,
    pub shut: Option<Shut>,
    pub cold: Bucket,
    pub carried: Mean,
    pub settled_work: f64,
    pub load: Gradient,
    /// Logarithm of what part of the quoted time hits take.
    pub late: Mean,
    /// Fills that are likely out at this source.
    pub fills: f64,
    /// Share of fills among answers: for parts it was not seen to hold, and for those it was.
    pub misses: [Mean; 2],
}

impl Host {
    pub fn new(entry: Listing, now: Time) -> Host {
        Host {
            entry,
            in_flight: 0,
            heard: now,
            waiting_since: now,
            gap: Mean::default(),
            bad: Mean::default(),
            shut: None,
            cold: Bucket::default(),
            carried: Mean::default(),
            settled_work: 0.0,
            load: Gradient::default(),
            late: Mean::default(),
            fills: 0.0,
            misses: Default::default(),
        }
    }

    pub fn is_ready(&self) -> bool {
        self.entry.phase == Phase::Ready
    }

    pub fn is_gone(&self) -> bool {
        self.entry.phase == Phase::Gone
    }

    /// How unlikely the present silence is, given the gaps before (as if they were exponential).
    pub fn phi(&self, now: Time, least_gap: f64) -> f64 {
        let gap = self.gap.or(1.0).max(least_gap);
        self.silence(now).as_seconds() / gap * std::f64::consts::LOG10_E
    }

    pub fn silence(&self, now: Time) -> Span {
        now - self.heard.max(self.waiting_since)
    }
}

/// What this dispatcher knows of one part of an object at one cache.
#[derive(Debug, Default)]
pub struct Copy {
    pub settled: Option<Time>,
    /// Hand-offs out that likely fill it, and visits that wait behind them.
    pub leads: u32,
    pub followers: Vec<VisitId>,
}

pub type CopyId = (ObjectId, u32, HostId);

#[derive(Debug, Default)]
pub struct BandSeen {
    pub sending: Mean,
    pub kilobytes: Mean,
}

#[derive(Debug)]
pub struct Open {
    pub visit: Visit,
    pub hand_offs: u8,
    pub out: u32,
    pub popular: bool,
    /// The last hand-off only looked, and the cache lacks the object.
    pub looked: bool,
    /// Until when it may wait behind a fill that is under way.
    pub patience: Time,
    /// The first hand-off that may have run: when it was sent and where to.
    pub may_have_run: Option<(Time, HostId)>,
    pub avoid: Vec<HostId>,
}

impl Open {
    pub fn new(visit: Visit, popular: bool, patience: Time) -> Open {
        Open {
            visit,
            hand_offs: 0,
            out: 0,
            popular,
            looked: false,
            patience,
            may_have_run: None,
            avoid: Vec::new(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: Time,
    pub host: HostId,
    pub source: Option<HostId>,
    pub band: BandId,
    pub copy: CopyId,
    pub known: bool,
    pub leads: bool,
    /// How likely the hand-off was held to need a fill.
    pub fill_share: f64,
}

/// What all fills of this dispatcher have in common: its location's link and the ways to the origin.
#[derive(Debug, Default)]
pub struct Gate {
    pub fills: f64,
    pub most: f64,
    pub limit: f64,
    /// Logarithm of what part of the quoted time fills take.
    pub late: Mean,
    /// How full the location's link was last reported.
    pub link: Option<(Time, f64)>,
    pub looks: u32,
    pub holds_back: bool,
}

/// When objects and whole groups were last purged.
#[derive(Debug, Default)]
pub struct Purges {
    objects: BTreeMap<ObjectId, Time>,
    groups: BTreeMap<GroupId, Time>,
}

impl Purges {
    pub fn note(&mut self, group: GroupId, object: Option<ObjectId>, at: Time) {
        let known = match object {
            Some(object) => self.objects.entry(object).or_insert(at),
            None => self.groups.entry(group).or_insert(at),
        };
        *known = (*known).max(at);
    }

    pub fn last(&self, group: GroupId, object: ObjectId) -> Option<Time> {
        self.objects.get(&object).max(self.groups.get(&group)).copied()
    }

    pub fn forget(&mut self, before: Time) {
        self.objects.retain(|_, at| *at >= before);
        self.groups.retain(|_, at| *at >= before);
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Due {
    HardLimit(VisitId),
    Release(VisitId),
    Halve,
    Second,
}

/// What is to become of a visit now.
pub enum Choice {
    HandOff(HostId, Option<Fill>),
    Wait,
    GiveUp,
}

pub struct Brain {
    pub(crate) set: Settings,
    pub(crate) chance: Pcg64Mcg,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) visits: BTreeMap<VisitId, Open>,
    pub(crate) sent: BTreeMap<(VisitId, HandOffNo), Sent>,
    pub(crate) popularity: Popularity,
    pub(crate) purges: Purges,
    pub(crate) copies: BTreeMap<CopyId, Copy>,
    pub(crate) bands: Vec<BandSeen>,
    pub(crate) due: DueTimes<Due>,
    pub(crate) waiting: VecDeque<VisitId>,
    pub(crate) ready: VecDeque<Decision>,
    pub(crate) further: Bucket,
    pub(crate) last_woken: Time,
    pub(crate) gate: Gate,
}

impl Brain {
    pub(crate) fn empty(set: Settings, seed: u64) -> Brain {
        Brain {
            bands: set.bands.iter().map(|_| BandSeen::default()).collect(),
            set,
            chance: Pcg64Mcg::seed_from_u64(seed),
            hosts: Default::default(),
            visits: Default::default(),
            sent: Default::default(),
            popularity: Default::default(),
            purges: Default::default(),
            copies: Default::default(),
            due: Default::default(),
            waiting: Default::default(),
            ready: Default::default(),
            further: Default::default(),
            last_woken: Default::default(),
            gate: Default::default(),
        }
    }
}
