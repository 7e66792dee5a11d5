//! Settings of the shared limits, and their validation.
use crate::common::MemberId;
use cherrypass::ids::HostId;
use cherrypass::time::Span;
use serde::{Deserialize, Serialize};

/// Largest relative rate error of a member's clock.
pub const CLOCK_DRIFT: f64 = 0.01;
/// Upper bound on leases and drains, in settings and in messages of peers.
pub(super) const MAX_SPAN: Span = Span::millis(600_000);

/// A limited resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LimitKey {
    /// Concurrent hand-offs at the origin.
    Origin,
    /// Repeated hand-offs per second.
    Retries,
    /// Fraction of the load that a cold host may receive; the total is 1.
    ColdHost(HostId),
}

/// Settings of the fleet-wide limits. All members must have the same values.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Concurrent hand-offs at the origin, fleet-wide; `None`: not limited.
    pub origin: Option<f64>,
    /// Repeated hand-offs per second, fleet-wide; `None`: not limited.
    pub retries_per_s: Option<f64>,
    /// Whether the load of cold hosts is limited fleet-wide.
    pub limits_cold_hosts: bool,
    pub lease: Span,
    /// Fraction of a member's share that it never lends.
    pub floor_fraction: f64,
    /// Longest duration of a hand-off at the origin. Hand-offs begun under a lease may outlast it by this
    /// much.
    pub drain: Span,
    /// For rates: the burst, as the time in which the rate allows that many.
    pub window: Span,
    /// Interval of the caller's periodic timer, which calls `Limits::tick`.
    pub interval: Span,
    /// Most loan requests per key in one round.
    pub max_requests_per_key: u32,
    /// Approximate number of loan requests for all keys in one round; the remaining keys wait for the next
    /// round. Bounds the traffic when very many hosts are cold at once.
    pub max_requests: u32,
    /// Most cold hosts tracked for own demand, and again as many for requests of other members.
    pub max_cold_hosts: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            origin: None,
            retries_per_s: None,
            limits_cold_hosts: false,
            lease: Span::millis(2_000),
            floor_fraction: 0.04,
            drain: Span::millis(1_000),
            window: Span::millis(1_000),
            interval: Span::millis(50),
            max_requests_per_key: 32,
            max_requests: 2_048,
            max_cold_hosts: 1_024,
        }
    }
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    #[error("a limit of {0} is not a number above 0: correct it, or leave the limit out")]
    Total(f64),
    #[error("a floor of {0} is outside 0 to 1: give the fraction of a member's share that it never lends")]
    Floor(f64),
    #[error(
        "a lease of {0:?} at a timer interval of {1:?}: give at least ten intervals, and at most ten minutes"
    )]
    Lease(Span, Span),
    #[error("a drain or window of {0:?}: give at most ten minutes, the longest duration of a hand-off")]
    Drain(Span),
    #[error("this process is not in the list of members: add it, or correct its name")]
    NotListed,
}

impl SettingsError {
    pub fn code(&self) -> &'static str {
        match self {
            SettingsError::Total(_) => "limit-whole",
            SettingsError::Floor(_) => "limit-floor",
            SettingsError::Lease(..) => "limit-lease",
            SettingsError::Drain(_) => "limit-drain",
            SettingsError::NotListed => "limit-not-listed",
        }
    }
}

impl Settings {
    /// Checks what `Limits::new` expects. With other values the limits still hold, but grant little or
    /// nothing.
    pub fn check(&self, own: MemberId, listed: &[MemberId]) -> Result<(), SettingsError> {
        for total in [self.origin, self.retries_per_s].into_iter().flatten() {
            if !(total > 0.0 && total.is_finite()) {
                return Err(SettingsError::Total(total));
            }
        }
        if !(0.0..=1.0).contains(&self.floor_fraction) {
            return Err(SettingsError::Floor(self.floor_fraction));
        }
        if self.lease > MAX_SPAN || self.lease.0 < self.interval.0.saturating_mul(10) {
            return Err(SettingsError::Lease(self.lease, self.interval));
        }
        if let Some(long) = [self.drain, self.window].into_iter().find(|span| *span > MAX_SPAN) {
            return Err(SettingsError::Drain(long));
        }
        if !listed.contains(&own) {
            return Err(SettingsError::NotListed);
        }
        Ok(())
    }

    /// The fleet-wide total; `None` where the key is not limited.
    pub(super) fn total(&self, key: LimitKey) -> Option<f64> {
        match key {
            LimitKey::Origin => self.origin,
            LimitKey::Retries => self.retries_per_s,
            LimitKey::ColdHost(_) => self.limits_cold_hosts.then_some(1.0),
        }
        .filter(|total| total.is_finite() && *total > 0.0)
    }

    /// Smallest amount that is of use: one hand-off.
    pub(super) fn unit(&self, key: LimitKey) -> f64 {
        match key {
            LimitKey::Origin | LimitKey::Retries => 1.0,
            LimitKey::ColdHost(_) => 0.0,
        }
    }

    /// How long hand-offs begun earlier may still be running, with an allowance for clock drift.
    pub(super) fn drain(&self, key: LimitKey) -> Span {
        let drain = if key == LimitKey::Origin { self.drain } else { self.window };
        drain.min(MAX_SPAN).times(1.0 + 2.0 * CLOCK_DRIFT)
    }
}
