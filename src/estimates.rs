//! Estimates: the work of requests, the limits and capacity of hosts, and what a hand-off will need.
use crate::cached_copies::CachedCopyId;
use crate::calls::{Fill, UNCACHED_FILL_RANK};
use crate::fill_limiter::ORIGIN_RATE_START;
use crate::host::Host;
use crate::ids::{ClassId, HostId};
use crate::state::DecisionEngine;
use crate::time::Time;
use crate::visits::{OpenVisit, SentHandOff};

// Concurrency limits of hosts.
const HOST_LIMIT_START: f64 = 12.0;
const HOST_LIMIT_PER_TRANSFER: f64 = 2.0;
/// Factor of the square root of a limit that is added to it.
const HOST_LIMIT_SLACK: f64 = 0.7;
// Capacity of hosts.
const UNKNOWN_LOAD_MARGIN: f64 = 0.6;
const LOAD_ESTIMATE_MIN: f64 = 0.2;
// Miss rates before any is known.
/// Assumed miss rate of parts not known to be cached.
const UNCACHED_MISS_RATE_START: f64 = 0.7;
/// Assumed miss rate of parts known to be cached.
const CACHED_MISS_RATE_START: f64 = 0.1;

impl DecisionEngine {
    /// Mean transfer time of a class in seconds: by size where visits tell it, else by answer times. Before
    /// any is known the target latency is used, which is longer.
    pub(crate) fn transfer_seconds(&self, id: ClassId) -> f64 {
        let (Some(class), Some(stats)) = (self.class_settings(id), self.class_stats.get(usize::from(id.0)))
        else {
            return 1.0;
        };
        if stats.kilobytes.sample_count > 0 && self.settings.transfer_kb_per_s > 0.0 {
            return stats.kilobytes.value / self.settings.transfer_kb_per_s;
        }
        stats.transfer_seconds.value_or(class.target_latency.as_seconds())
    }

    /// Work charged for a hand-off to a cold host: its own, or that of the mean hand-off to a cache if that
    /// is more. Guards against overload by the mere number of small requests. The cost: they alone get less.
    pub(crate) fn cold_cost(&self, id: ClassId) -> f64 {
        self.transfer_seconds(id).max(self.mean_cache_work.value)
    }

    /// Target latency of a class's mean visit, in seconds.
    pub fn target_seconds(&self, id: ClassId) -> f64 {
        self.class_settings(id).map_or(1.0, |class| {
            class.target_latency.as_seconds() + class.target_stretch * self.transfer_seconds(id)
        })
    }

    /// Hand-offs in flight at a host over its limit.
    pub(crate) fn utilization(&self, id: HostId) -> f64 {
        self.hosts.get(&id).map_or(f64::MAX, |h| f64::from(h.in_flight) / self.limit(h))
    }

    /// The limit on hand-offs in flight at a host. It is capped by what the listed weight can serve in time,
    /// since the gradient finds no limit for a host that was always overloaded.
    pub(crate) fn limit(&self, host: &Host) -> f64 {
        let has_weights = self.settings.has_weights;
        let total = if has_weights { HOST_LIMIT_PER_TRANSFER * host.entry.weight } else { HOST_LIMIT_START };
        let share = total / self.settings.location_share_count();
        let start = if has_weights { share + HOST_LIMIT_SLACK * share.sqrt() } else { share };
        let max = if has_weights { start } else { f64::INFINITY };
        Some(host.latency_gradient.limit).filter(|limit| *limit > 0.0).map_or(start, |limit| limit.min(max))
    }

    /// A host's capacity in transfers: as listed, else estimated by what its peers carry, less a margin.
    pub(crate) fn capacity(&self, host: &Host) -> f64 {
        if self.settings.has_weights {
            return host.entry.weight;
        }
        let peers = || self.peers(host.entry.host);
        if let (true, Some(transfers)) = (self.is_parent(host), self.settings.all_links_transfers()) {
            return transfers / (peers().count() + 1) as f64;
        }
        let senders = if self.is_parent(host) {
            f64::from(self.settings.dispatchers)
        } else {
            self.settings.location_share_count()
        };
        let carried = peers().map(|h| h.completed_work_rate.value).sum::<f64>();
        // Reported loads scale what is carried up to full capacity; for peers without a report a fixed margin
        // is assumed.
        let load = |h: &Host| {
            h.reported_load
                .map_or(1.0 / UNKNOWN_LOAD_MARGIN, |report| report.load.clamp(LOAD_ESTIMATE_MIN, 1.0))
        };
        let total_load = peers().map(load).sum::<f64>();
        (carried * senders / total_load.max(LOAD_ESTIMATE_MIN)).max(1.0)
    }

    /// Expected fills at the origin plus the hand-offs that go there directly.
    pub(crate) fn origin_in_flight(&self) -> f64 {
        let origins = self.hosts.values().filter(|host| self.is_origin(host));
        self.origin_limiter.expected_fills + origins.map(|host| f64::from(host.in_flight)).sum::<f64>()
    }

    /// Share of the blame that the origin has for a fill without a note: all of it if it is the slower part
    /// of the path, else none.
    pub(crate) fn origin_blame(&self, sent: &SentHandOff) -> f64 {
        f64::from(
            !sent.is_cached_only
                && sent.origin_probability > 0.0
                && self.origin_limiter.log_latency_ratio.value > self.fill_limiter.log_latency_ratio.value,
        )
    }

    /// A hand-off that is about to be sent, with the probabilities that it needs a fill and that the fill
    /// reaches the origin.
    pub(crate) fn estimate_hand_off(
        &self,
        now: Time,
        open: &OpenVisit,
        host: HostId,
        fill: Option<Fill>,
    ) -> SentHandOff {
        let visit = &open.visit;
        let was_cached = self.is_known_cached(now, visit, host);
        let source = fill.map(|fill| fill.source).filter(|source| *source != host);
        let joins_fill = self.settings.joins_fills && self.is_fill_in_flight(now, visit, host);
        let is_certain = open.has_cache_missed || fill.is_some_and(|fill| fill.rank == UNCACHED_FILL_RANK);
        let miss_probability = if is_certain { 1.0 } else { self.miss_rate(host, was_cached) };
        let fill_probability = if source.is_none() || joins_fill { 0.0 } else { miss_probability };
        let is_cached_only = fill.is_some_and(|fill| fill.cached_only);
        let is_to_origin = source.and_then(|id| self.hosts.get(&id)).is_some_and(|h| self.is_origin(h));
        let origin_rate = if open.has_parent_missed || is_to_origin {
            1.0
        } else {
            self.origin_limiter.origin_rate.value_or(ORIGIN_RATE_START)
        };
        let is_trial = self.hosts.get(&host).is_none_or(|h| h.is_trial_due(now));
        SentHandOff {
            sent_at: now,
            trial_sent_at: if is_trial { now } else { Time::default() },
            host,
            source,
            class: visit.class,
            copy: CachedCopyId::of(visit, host),
            was_cached,
            is_first_fill: !was_cached && fill_probability > 0.0,
            fill_probability,
            origin_probability: if is_cached_only { 0.0 } else { fill_probability * origin_rate },
            is_cached_only,
        }
    }

    fn miss_rate(&self, id: HostId, was_cached: bool) -> f64 {
        let start = if was_cached { CACHED_MISS_RATE_START } else { UNCACHED_MISS_RATE_START };
        self.hosts.get(&id).map_or(start, |h| h.miss_rates.of_parts(was_cached).value_or(start))
    }
}
