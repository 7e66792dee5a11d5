//! Timer queue, moving averages, token buckets and rendezvous hashing.
use crate::ids::HostId;
use crate::time::Time;
use std::collections::BTreeMap;

/// Identifies an item of a [`TimerQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey(Time, u64);

/// Items ordered by due time, then by insertion.
#[derive(Debug)]
pub struct TimerQueue<T> {
    entries: BTreeMap<TimerKey, T>,
    next_sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { entries: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<T> TimerQueue<T> {
    pub fn push(&mut self, at: Time, item: T) -> TimerKey {
        let key = TimerKey(at, self.next_sequence);
        self.entries.insert(key, item);
        self.next_sequence += 1;
        key
    }

    /// Takes an item out before it is due. Nothing happens if it was taken out before.
    pub fn cancel(&mut self, key: TimerKey) {
        self.entries.remove(&key);
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Due time of the first item.
    pub fn next_due(&self) -> Option<Time> {
        self.entries.first_key_value().map(|(TimerKey(at, _), _)| *at)
    }

    /// Takes the first item out if it is due.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let first = self.entries.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}

/// An exponentially weighted moving average that starts as the arithmetic mean of the first samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingAverage {
    pub value: f64,
    /// Number of samples.
    pub sample_count: u32,
}

impl MovingAverage {
    pub fn push(&mut self, x: f64, weight: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        self.value += (x - self.value) * weight.max(1.0 / f64::from(self.sample_count));
    }

    /// The average, or `default` before the first sample.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.sample_count == 0 {
            default
        } else {
            self.value
        }
    }
}

/// Current latency against the best one seen, both as averages of logarithms, and the concurrency limit
/// derived from them.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyGradient {
    pub limit: f64,
    pub current: MovingAverage,
    pub best_log: Option<f64>,
}

impl LatencyGradient {
    /// Adds a sample. From `min_samples` on the best latency is tracked, which rises by `drift` with each
    /// sample so that it follows lasting changes.
    pub fn push(&mut self, x: f64, weight: f64, min_samples: u32, drift: f64) {
        self.current.push(x.max(1e-6).ln(), weight);
        if self.current.sample_count >= min_samples {
            let best = self.best_log.map_or(f64::MAX, |best| best + drift);
            self.best_log = Some(best.min(self.current.value));
        }
    }

    /// Best latency ratio seen, 1 before there is one.
    pub fn best(&self) -> f64 {
        self.best_log.map_or(1.0, f64::exp)
    }

    /// Ratio of the current latency to the best one.
    pub fn slowdown(&self) -> f64 {
        self.best_log.map_or(1.0, |best| (self.current.value - best).exp())
    }
}

/// A token bucket. Its level may be negative: tokens can be charged in advance.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    pub level: f64,
    refilled_at: Time,
    /// Start of the budget: tokens taken earlier were charged to another one.
    pub started_at: Time,
}

impl TokenBucket {
    /// A bucket that starts empty at `at`.
    pub fn empty(at: Time) -> TokenBucket {
        TokenBucket { level: 0.0, refilled_at: at, started_at: at }
    }

    /// Adds the tokens for the time since the last refill, up to `max`, and returns the level.
    pub fn refill(&mut self, now: Time, per_second: f64, max: f64) -> f64 {
        let gained = per_second * (now - self.refilled_at).as_seconds();
        self.level = (self.level + gained).min(max);
        self.refilled_at = now;
        self.level
    }

    pub fn try_take(&mut self, amount: f64) -> bool {
        let is_enough = self.level >= amount;
        if is_enough {
            self.level -= amount;
        }
        is_enough
    }
}

/// Finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Weighted rendezvous hash: a key belongs to the host with the highest value.
pub fn rendezvous(key: u64, host: HostId, weight: f64) -> f64 {
    let bits = mix(mix(key.wrapping_add(0x9e37_79b9_7f4a_7c15)) ^ mix(host.0 ^ 0x5851_f42d_4c95_7f2d));
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}
