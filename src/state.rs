//! State of the decision module, and the basic queries on it.
use crate::allowance::{Allowance, Usage};
use crate::cached_copies::{CachedCopies, CachedCopyId};
use crate::calls::{Decision, SharedLimit, Visit};
use crate::containers::{rendezvous, MovingAverage, TimerQueue, TokenBucket};
use crate::fill_limiter::FillLimiter;
pub use crate::host::Host;
use crate::ids::{ClassId, HandOffNumber, HostId, VisitId};
use crate::popularity::Popularity;
use crate::purges::Purges;
use crate::settings::{ClassSettings, Settings};
use crate::time::{Span, Time};
use crate::unread_changes::UnreadChanges;
use crate::visits::{OpenVisit, SentHandOff};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// How long a served copy counts as cached, and demand for an object is remembered.
pub(crate) const STATS_RETENTION: Span = Span::millis(30_000);

/// Averages over the visits of a class.
#[derive(Debug, Default)]
pub struct ClassStats {
    pub transfer_seconds: MovingAverage,
    /// Size of answers, where visits tell it.
    pub kilobytes: MovingAverage,
}

/// Numbers of the entries that requests leave behind in the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSize {
    /// Objects of which the demand is counted.
    pub objects: usize,
    /// Copies at caches.
    pub copies: usize,
    pub timers: usize,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub enum Timer {
    Deadline(VisitId),
    DecayCounts,
    EverySecond,
    /// The report of other dispatchers on a host may have expired.
    PeerReport(HostId),
}

/// The decision module of one dispatcher.
pub struct DecisionEngine {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) visits: BTreeMap<VisitId, OpenVisit>,
    pub(crate) in_flight: BTreeMap<(VisitId, HandOffNumber), SentHandOff>,
    pub(crate) popularity: Popularity,
    pub(crate) purges: Purges,
    /// Maximum age of copies while purges may have been missed: the time in which a purge has to be obeyed.
    pub(crate) unverified_max_age: Option<Span>,
    pub(crate) unread_changes: UnreadChanges,
    pub(crate) cached_copies: CachedCopies,
    pub(crate) class_stats: Vec<ClassStats>,
    /// Average seconds of work of a hand-off to a cache.
    pub(crate) mean_cache_work: MovingAverage,
    pub(crate) timers: TimerQueue<Timer>,
    pub(crate) undecided: VecDeque<VisitId>,
    pub(crate) decisions: VecDeque<Decision>,
    /// Visits that wait until the next tick for a fill of this dispatcher.
    pub(crate) awaiting_fill: Vec<VisitId>,
    pub(crate) retry_budget: TokenBucket,
    pub(crate) probe_budget: TokenBucket,
    pub(crate) last_tick_at: Time,
    pub(crate) fill_limiter: FillLimiter,
    pub(crate) origin_limiter: FillLimiter,
    /// This dispatcher's allowances of shared limits.
    pub(crate) allowances: BTreeMap<SharedLimit, Allowance>,
    pub(crate) origin_usage: Usage,
    pub(crate) retry_usage: Usage,
}

impl DecisionEngine {
    pub(crate) fn with_settings(settings: Settings, seed: u64) -> DecisionEngine {
        DecisionEngine {
            class_stats: settings.classes.iter().map(|_| ClassStats::default()).collect(),
            mean_cache_work: Default::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: Default::default(),
            visits: Default::default(),
            in_flight: Default::default(),
            popularity: Popularity::new(settings.state_limits.objects),
            purges: Default::default(),
            unverified_max_age: None,
            unread_changes: Default::default(),
            cached_copies: CachedCopies::new(settings.state_limits.copies),
            timers: Default::default(),
            undecided: Default::default(),
            decisions: Default::default(),
            awaiting_fill: Default::default(),
            retry_budget: Default::default(),
            probe_budget: Default::default(),
            last_tick_at: Default::default(),
            fill_limiter: Default::default(),
            origin_limiter: Default::default(),
            allowances: Default::default(),
            origin_usage: Default::default(),
            retry_usage: Default::default(),
            settings,
        }
    }

    /// How much is remembered of requests.
    pub fn state_size(&self) -> StateSize {
        StateSize {
            objects: self.popularity.object_count(),
            copies: self.cached_copies.len(),
            timers: self.timers.len(),
        }
    }

    /// Whether the host is in the list and not gone.
    pub fn is_listed(&self, id: HostId) -> bool {
        self.hosts.get(&id).is_some_and(|host| !host.is_gone())
    }

    pub(crate) fn is_cache(&self, host: &Host) -> bool {
        !self.is_parent(host) && !self.is_origin(host) && host.entry.location == self.settings.location
    }

    pub(crate) fn is_parent(&self, host: &Host) -> bool {
        Some(host.entry.kind) == self.settings.parent_kind
    }

    pub(crate) fn is_origin(&self, host: &Host) -> bool {
        Some(host.entry.kind) == self.settings.origin_kind
    }

    /// Ready hosts that satisfy `predicate`, in rendezvous order for a key.
    pub(crate) fn hosts_by_hash(&self, key: u64, predicate: impl Fn(&Host) -> bool) -> Vec<HostId> {
        let listed = self.hosts.values().filter(|h| h.is_ready() && predicate(h));
        let value = |h: &Host| rendezvous(key, h.entry.host, self.hash_weight(h));
        let mut order: Vec<(f64, HostId)> = listed.map(|h| (value(h), h.entry.host)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, host)| host).collect()
    }

    fn hash_weight(&self, host: &Host) -> f64 {
        Some(host.entry.weight)
            .filter(|weight| self.settings.has_stable_weights && *weight > 0.0)
            .unwrap_or(1.0)
    }

    pub(crate) fn class_settings(&self, id: ClassId) -> Option<&ClassSettings> {
        self.settings.classes.get(usize::from(id.0))
    }

    /// Other ready hosts of the same role: parents for a parent, else this location's caches.
    pub(crate) fn peers(&self, id: HostId) -> impl Iterator<Item = &Host> {
        let is_parent = self.hosts.get(&id).is_some_and(|h| self.is_parent(h));
        let is_peer = move |h: &Host| if is_parent { self.is_parent(h) } else { self.is_cache(h) };
        self.hosts.values().filter(move |h| h.entry.host != id && h.is_ready() && is_peer(h))
    }

    /// Whether another hand-off of this dispatcher is likely filling the part at that cache.
    pub(crate) fn is_fill_in_flight(&self, now: Time, visit: &Visit, cache: HostId) -> bool {
        let copy = self.cached_copies.get(&CachedCopyId::of(visit, cache));
        copy.is_some_and(|copy| copy.fills_in_flight > 0) && !self.is_known_cached(now, visit, cache)
    }

    /// Whether one more fits into the remaining capacity `room`. Fractions below one admit with that
    /// probability, so that the shares of many dispatchers hold in total.
    pub(crate) fn admits(&mut self, room: f64) -> bool {
        room >= 1.0 || room > 0.0 && self.rng.gen_bool(room)
    }

    /// Whether a cache recently served a part, after its own start and after the part's last purge.
    pub(crate) fn is_known_cached(&self, now: Time, visit: &Visit, cache: HostId) -> bool {
        let copy = self.cached_copies.get(&CachedCopyId::of(visit, cache));
        let invalid_until = self.purges.latest(visit.group, visit.object);
        let invalid_until = invalid_until.max(self.hosts.get(&cache).and_then(|h| h.entry.started_at));
        copy.and_then(|c| c.confirmed_at)
            .is_some_and(|at| now < at + STATS_RETENTION && Some(at) > invalid_until)
    }

    pub(crate) fn log(&mut self, line: String) {
        self.decisions.push_back(Decision::Log(line));
    }
}
