//! Histograms of the dispatcher's own latency, with four buckets per power of two.
use cherrypass::time::Span;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering::Relaxed};

const BUCKETS_PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 128;

/// A histogram of durations.
#[derive(Debug)]
pub struct Histogram {
    buckets: [AtomicU32; BUCKETS],
    max: AtomicU64,
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram { buckets: [const { AtomicU32::new(0) }; BUCKETS], max: AtomicU64::new(0) }
    }
}

impl Histogram {
    pub fn record(&self, span: Span) {
        let bucket = ((span.0.max(1) as f64).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.buckets[bucket.min(BUCKETS - 1)].fetch_add(1, Relaxed);
        self.max.fetch_max(span.0, Relaxed);
    }

    /// Formats the median, the 99th percentile, the maximum and the count since the last call, and resets
    /// them.
    pub fn summarize(&self) -> String {
        let counts: Vec<u32> = self.buckets.iter().map(|bucket| bucket.swap(0, Relaxed)).collect();
        let total: u32 = counts.iter().sum();
        let percentile = |fraction: f64| {
            let mut left = f64::from(total) * fraction;
            let bucket = counts.iter().position(|count| {
                left -= f64::from(*count);
                left <= 0.0
            });
            bucket.map_or(0.0, |bucket| ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2() / 1000.0)
        };
        let max = self.max.swap(0, Relaxed) as f64 / 1000.0;
        format!("{:.2}/{:.2}/{max:.1} ms ({total})", percentile(0.5), percentile(0.99))
    }
}

/// Latencies and peak loads of one dispatcher.
#[derive(Debug, Default)]
pub struct Latencies {
    /// From a visit's last byte read to its hand-off written.
    pub inbound: Histogram,
    /// From a host's answer read to the answer written to the client.
    pub outbound: Histogram,
    /// How late timers fire.
    pub timers: Histogram,
    /// How long visits wait in the router's mailbox.
    pub mailbox: Histogram,
    pub max_unread_bytes: AtomicUsize,
    pub max_open_visits: AtomicUsize,
}
