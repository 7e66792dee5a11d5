//! Limit on concurrent fills that adapts to their latency.
use crate::containers::MovingAverage;
use crate::gradient::next_limit;
use crate::load_report::LoadReport;
use crate::time::Time;

/// Assumed share of fills that reach the origin, before any is known.
pub(crate) const ORIGIN_RATE_START: f64 = 0.3;
const FILL_LIMIT_MIN: f64 = 0.1;

/// Limits concurrent fills by the latency of the path behind the caches: the location's link and the parents,
/// or the origin.
#[derive(Debug, Default)]
pub struct FillLimiter {
    /// Sum of the fill probabilities of hand-offs in flight.
    pub expected_fills: f64,
    /// Average of `expected_fills` while latency is within `max_latency_ratio`.
    pub typical_fills: MovingAverage,
    pub max_limit: f64,
    pub limit: f64,
    /// Permitted ratio of fill latency to the class's target latency.
    pub max_latency_ratio: f64,
    /// Average logarithm of the ratio of fill latency to the class's target latency.
    pub log_latency_ratio: MovingAverage,
    /// Time of the last latency sample.
    pub updated_at: Time,
    /// Share of fills that reach the origin.
    pub origin_rate: MovingAverage,
    /// Load of the location's link that a cache last reported.
    pub reported_link_load: Option<LoadReport>,
    /// Hand-offs since the last update that were restricted to cached copies.
    pub restricted_count: u32,
    pub is_restricting: bool,
}

impl FillLimiter {
    pub fn new(limit: f64, max_limit: f64, max_latency_ratio: f64) -> FillLimiter {
        let log_latency_ratio = MovingAverage { value: max_latency_ratio.ln(), sample_count: 0 };
        FillLimiter { limit, max_limit, max_latency_ratio, log_latency_ratio, ..FillLimiter::default() }
    }

    /// Adjusts the limit by the average latency.
    pub fn adjust(&mut self, in_flight: f64, sharers: f64, weight: f64) {
        let excess = self.log_latency_ratio.value.exp() / self.max_latency_ratio;
        self.limit = next_limit(self.limit, excess, in_flight, sharers, weight)
            .min(self.max_limit)
            .max(FILL_LIMIT_MIN);
    }

    pub fn exceeds_max_latency(&self) -> bool {
        self.log_latency_ratio.value > self.max_latency_ratio.ln()
    }

    /// Log line for a change of `is_restricting`.
    pub fn state_line(&self, subject: &str) -> String {
        let state = if self.is_restricting { "restricted" } else { "no longer restricted" };
        let (limit, latency, link) = (
            self.limit,
            self.log_latency_ratio.value.exp(),
            self.reported_link_load.map_or(0.0, |report| report.load),
        );
        format!(
            "{subject} {state}: limit {limit:.1}, {latency:.1} of the target latency, link load {link:.1}"
        )
    }
}
