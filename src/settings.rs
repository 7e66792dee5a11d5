//! Settings of an instance, fixed when it starts.
use crate::ids::{KindId, LocationId};
use crate::time::Span;

/// Hosts that share one memory of the requests they have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Location,
    Cell,
}

/// What running a request more than once does, which decides whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Hosts of `group` drop a repeat that arrives within `retention` of the first attempt.
    Deduplicated {
        group: Group,
        retention: Span,
    },
    AtMostOnce,
}

/// Settings of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    pub effect: Effect,
    /// Target latency, without the time that grows with the size of the answer.
    pub target_latency: Span,
    /// Seconds added to the target latency for each second of transfer time.
    pub target_stretch: f64,
    /// How long a cached copy counts as fresh; zero where copies do not expire.
    pub fresh_for: Span,
    /// How long past its fresh time a copy may be served where it is not filled again.
    pub stale_for: Span,
    /// Whether requests change data, and so have to run at the origin.
    pub is_write: bool,
}

/// How load on a freshly started host is limited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// Share of its full capacity that a host has when it starts.
    pub initial_share: f64,
    /// Time from its start until it has its full capacity.
    pub ramp: Span,
    /// The host fails when it is sent more than this multiple of its present capacity within
    /// `overload_window`.
    pub overload_factor: f64,
    pub overload_window: Span,
}

/// Limits on what the decision module remembers. They follow from the memory that it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateLimits {
    /// Objects of which the demand is counted.
    pub objects: usize,
    /// Copies that are known to be at a cache.
    pub copies: usize,
}

impl StateLimits {
    /// The most of each, so that what walks them all takes some milliseconds at most.
    pub const MAX: StateLimits = StateLimits { objects: 65_536, copies: 65_536 };
}

impl Default for StateLimits {
    fn default() -> StateLimits {
        StateLimits::MAX
    }
}

/// All settings that the decision module reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Dispatchers at all locations.
    pub dispatchers: u32,
    /// The location of this dispatcher.
    pub location: LocationId,
    /// Dispatchers at this location.
    pub location_dispatchers: u32,
    pub classes: Vec<ClassSettings>,
    pub parent_kind: Option<KindId>,
    pub origin_kind: Option<KindId>,
    /// Whether the list of hosts gives their capacity as a weight.
    pub has_weights: bool,
    /// Whether these weights are constant, so that they can be used for hashing.
    pub has_stable_weights: bool,
    /// Kilobytes a second of one transfer at full speed; 0 where it is not configured.
    pub transfer_kb_per_s: f64,
    /// Kilobytes a second of each location's link.
    pub location_link_kb_per_s: Vec<f64>,
    /// Whether requests may go to parents and the origin without a cache.
    pub may_bypass_caches: bool,
    /// Whether a cache lets a request wait for a fill of the same part that is already in flight.
    pub joins_fills: bool,
    /// Whether the notes of answers distinguish fills from a parent's cache and from the origin.
    pub reports_fill_source: bool,
    /// Whether hand-offs can be cancelled.
    pub can_cancel: bool,
    /// Whether hosts answer load probes.
    pub can_probe: bool,
    pub max_hand_offs: u8,
    /// Upper bound of the retry-after time of a refusal.
    pub max_retry_after: Span,
    pub cold_cache: ColdStart,
    pub cold_parent: ColdStart,
    /// Time within which hosts drop copies that were purged.
    pub purge_drop_time: Span,
    /// Time within which a purge has to be obeyed.
    pub purge_obey_time: Span,
    pub state_limits: StateLimits,
}

impl Settings {
    /// How long after a purge an older copy may still be found at a host.
    pub fn purge_retention(&self) -> Span {
        self.purge_drop_time + self.purge_obey_time
    }

    /// Number of dispatchers that share this location's hosts and link.
    pub fn location_share_count(&self) -> f64 {
        f64::from(self.location_dispatchers)
    }

    /// Transfers at full speed that this location's link carries, if its capacity is configured.
    pub fn location_link_transfers(&self) -> Option<f64> {
        self.transfers(*self.location_link_kb_per_s.get(usize::from(self.location.0))?)
    }

    /// Transfers at full speed that the links of all locations carry together.
    pub fn all_links_transfers(&self) -> Option<f64> {
        self.transfers(self.location_link_kb_per_s.iter().sum())
    }

    fn transfers(&self, kb_per_second: f64) -> Option<f64> {
        Some(kb_per_second / self.transfer_kb_per_s).filter(|n| n.is_finite() && *n > 0.0)
    }
}
