//! Limits shared by several dispatchers. Without allowances none of them is in force, and a dispatcher
//! decides on its own.
use crate::allowance::{Allowance, Usage};
use crate::calls::{LimitUsage, SharedLimit};
use crate::containers::TokenBucket;
use crate::fill_limiter::ORIGIN_RATE_START;
use crate::state::DecisionEngine;
use crate::time::Time;
use crate::visits::SentHandOff;

/// Larger amounts are cut to this, which no dispatcher can use up.
const MAX_ALLOWANCE: f64 = 1e9;

impl DecisionEngine {
    /// Counts a hand-off in the use of shared limits, if there are any.
    pub(crate) fn record_usage(&mut self, sent: &SentHandOff, is_start: bool) {
        if self.allowances.is_empty() || !is_start {
            return;
        }
        let work = self.cold_cost(sent.class);
        for id in sent.hosts() {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.cold_usage.used += work;
            }
        }
        self.origin_usage.used = self.origin_usage.used.max(self.origin_in_flight());
        if sent.is_cached_only {
            self.origin_usage.refused +=
                sent.fill_probability * self.origin_limiter.origin_rate.value_or(ORIGIN_RATE_START);
        }
    }

    /// Sets this dispatcher's part of a shared limit: `amount` until `until`, then `after` without a further
    /// call. Amounts that are negative, infinite or not a number are ignored.
    pub fn set_allowance(&mut self, shared: SharedLimit, amount: f64, until: Time, after: f64) {
        if [amount, after].iter().any(|value| !(0.0..=f64::MAX).contains(value)) {
            return;
        }
        let hosts = &self.hosts;
        // Drops allowances of hosts that are gone. The allowance of a host that is not listed yet is kept.
        self.allowances
            .retain(|limit, _| !matches!(limit, SharedLimit::ColdStart(id) if !hosts.contains_key(id)));
        let bucket = self
            .allowances
            .get(&shared)
            .map_or(TokenBucket::empty(self.last_tick_at), |allowance| allowance.bucket);
        let (amount, after) = (amount.min(MAX_ALLOWANCE), after.min(MAX_ALLOWANCE));
        self.allowances.insert(shared, Allowance { amount, until, amount_after: after, bucket });
    }

    /// Whether a retry fits into this dispatcher's own retry budget and into its part of the shared one.
    pub(crate) fn may_retry(&mut self, now: Time) -> bool {
        if !self.retry_budget.try_take(1.0) {
            return false;
        }
        let Some(allowance) = self.allowances.get_mut(&SharedLimit::Retries) else { return true };
        let amount = allowance.amount_at(now);
        allowance.bucket.refill(now, amount, amount);
        let is_admitted = self.take_token(SharedLimit::Retries, amount);
        let count = if is_admitted { &mut self.retry_usage.used } else { &mut self.retry_usage.refused };
        *count += 1.0;
        is_admitted
    }

    /// Whether one more hand-off may go to the origin, where that limit is shared; `probability` says how
    /// likely this one reaches it.
    pub(crate) fn admits_to_origin(&mut self, now: Time, probability: f64) -> bool {
        let Some(allowance) = self.allowances.get_mut(&SharedLimit::Origin) else { return true };
        let amount = allowance.amount_at(now);
        allowance.bucket.refill(now, amount, amount);
        let in_flight = self.origin_in_flight();
        let is_admitted = if amount < 1.0 {
            in_flight < amount && self.take_token(SharedLimit::Origin, amount)
        } else {
            in_flight + 1.0 <= amount
        };
        self.origin_usage.refused += if is_admitted { 0.0 } else { probability };
        is_admitted
    }

    /// Takes a token from a part's bucket. A level below one is a probability, spent whether or not it
    /// admits: guards against many small parts that each round up to one.
    fn take_token(&mut self, shared: SharedLimit, amount: f64) -> bool {
        let Some(allowance) = self.allowances.get_mut(&shared) else { return true };
        if amount >= 1.0 {
            return allowance.bucket.try_take(1.0);
        }
        let probability = std::mem::take(&mut allowance.bucket.level);
        self.admits(probability)
    }

    /// The use of a shared limit since the last query, and the use there would have been had nothing been
    /// refused. Counted from the first allowance on.
    pub fn take_limit_usage(&mut self, now: Time, shared: SharedLimit) -> LimitUsage {
        let total_target =
            self.settings.classes.iter().map(|class| class.target_latency.as_seconds()).sum::<f64>();
        let fill_seconds = self.origin_limiter.log_latency_ratio.value.exp() * total_target
            / self.settings.classes.len().max(1) as f64;
        let in_flight = self.origin_in_flight();
        let total = match shared {
            SharedLimit::ColdStart(id) => {
                self.total_cold_budget(now, id).map_or(f64::INFINITY, |budget| budget.rate)
            }
            _ => 1.0,
        };
        let usage = match shared {
            SharedLimit::Origin => &mut self.origin_usage,
            SharedLimit::Retries => &mut self.retry_usage,
            SharedLimit::ColdStart(id) => match self.hosts.get_mut(&id) {
                Some(host) => &mut host.cold_usage,
                None => return LimitUsage::default(),
            },
        };
        let seconds = (now - usage.measured_since).as_seconds().max(0.001);
        let Usage { used, refused, .. } =
            std::mem::replace(usage, Usage { measured_since: now, ..Usage::default() });
        if shared == SharedLimit::Origin {
            // Each refused hand-off would have been in flight for as long as a fill by the origin takes.
            self.origin_usage.used = in_flight;
            return LimitUsage { used, demanded: used + refused / seconds * fill_seconds };
        }
        let used = (used / seconds / total).max(0.0);
        LimitUsage { used, demanded: used + refused / seconds / total }
    }
}
