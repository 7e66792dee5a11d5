//! Updates of the fill limits, by finished fills and once a second.
use crate::calls::Decision;
use crate::state::DecisionEngine;
use crate::time::Time;

/// A latency sample's weight is the time since the previous one over this, within bounds.
const FULL_WEIGHT_SECONDS: f64 = 4.0;

/// How much a latency sample counts for each fill limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PathShares {
    /// For the location's link and the parents.
    pub parents: f64,
    pub origin: f64,
}

/// Latency of one fill, finished or so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillSample {
    /// Logarithm of its ratio to the target latency.
    pub log_latency: f64,
    pub weight: f64,
    pub shares: PathShares,
}

impl DecisionEngine {
    /// Adjusts the fill limits by one fill's latency. Rare samples weigh more, so that small and large
    /// dispatchers adapt at about the same speed.
    pub(crate) fn update_fill_limits(&mut self, now: Time, sample: FillSample) {
        let shares = sample.shares;
        let limiters = [(&mut self.fill_limiter, shares.parents), (&mut self.origin_limiter, shares.origin)];
        for (limiter, share) in limiters.into_iter().filter(|(_, share)| *share > 0.0) {
            let weight = ((now - limiter.updated_at).as_seconds() / FULL_WEIGHT_SECONDS).clamp(0.05, 0.1);
            limiter.updated_at = now;
            limiter.log_latency_ratio.push(sample.log_latency, weight * share * sample.weight);
            limiter.adjust(limiter.expected_fills, self.settings.location_share_count(), weight * share);
        }
    }

    /// Guards against fills that hang: overdue ones count before they end.
    pub(crate) fn record_overdue_fills(&mut self, now: Time) {
        let mut samples = Vec::new();
        for sent in self.in_flight.values().filter(|sent| sent.fill_probability > 0.0) {
            let latency_ratio = (now - sent.sent_at).as_seconds() / self.target_seconds(sent.class);
            let origin = self.origin_blame(sent);
            if latency_ratio > 1.0 {
                samples.push(FillSample {
                    log_latency: latency_ratio.ln(),
                    weight: sent.fill_probability,
                    shares: PathShares { parents: 1.0 - origin, origin },
                });
            }
        }
        for sample in samples {
            self.update_fill_limits(now, sample);
        }
    }

    /// The limit at the origin follows what is typically in flight there, so that load on a slow origin drops
    /// at once.
    pub(crate) fn update_max_origin_limit(&mut self) {
        let sharers = self.settings.location_share_count();
        let origin = &mut self.origin_limiter;
        if !origin.exceeds_max_latency() {
            origin.typical_fills.push(origin.expected_fills, 0.1);
            origin.max_limit =
                2.0 * origin.typical_fills.value + (origin.typical_fills.value / sharers).sqrt();
        }
    }

    /// Adjusts the fill limits once a second, and logs when one begins or ceases to restrict fills.
    pub(crate) fn adjust_fill_limits(&mut self) {
        let sharers = self.settings.location_share_count();
        for (limiter, subject) in
            [(&mut self.fill_limiter, "fills"), (&mut self.origin_limiter, "origin fills")]
        {
            let is_restricting = std::mem::take(&mut limiter.restricted_count) > 0;
            // Old samples fade, since a restrictive limit leaves few new ones.
            limiter.log_latency_ratio.value -=
                0.1 * (limiter.log_latency_ratio.value - limiter.max_latency_ratio.ln()).max(0.0);
            let in_flight = if is_restricting { limiter.limit } else { limiter.expected_fills };
            limiter.adjust(in_flight, sharers, 0.1);
            if std::mem::replace(&mut limiter.is_restricting, is_restricting) != is_restricting {
                self.decisions.push_back(Decision::Log(limiter.state_line(subject)));
            }
        }
    }
}
