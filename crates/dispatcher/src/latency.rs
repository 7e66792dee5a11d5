//! What the dispatcher itself takes: times from a visit's last byte in to its hand-off out, from an answer in
//! to the answer out, and how late timers fire, in buckets a quarter of a power of two wide.
use cherrypass::time::Span;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering::Relaxed};

const BUCKETS_PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 128;

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
        let place = ((span.0.max(1) as f64).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.buckets[place.min(BUCKETS - 1)].fetch_add(1, Relaxed);
        self.max.fetch_max(span.0, Relaxed);
    }

    /// The typical time, the worst hundredth and the worst, of all since the last call.
    pub fn summarize(&self) -> String {
        let counts: Vec<u32> = self.buckets.iter().map(|bucket| bucket.swap(0, Relaxed)).collect();
        let seen: u32 = counts.iter().sum();
        let part = |part: f64| {
            let mut left = f64::from(seen) * part;
            let place = counts.iter().position(|count| {
                left -= f64::from(*count);
                left <= 0.0
            });
            place.map_or(0.0, |place| ((place + 1) as f64 / BUCKETS_PER_DOUBLING).exp2() / 1000.0)
        };
        let most = self.max.swap(0, Relaxed) as f64 / 1000.0;
        format!("{:.2}/{:.2}/{most:.1} ms ({seen})", part(0.5), part(0.99))
    }
}

#[derive(Debug, Default)]
pub struct Latencies {
    pub inbound: Histogram,
    pub outbound: Histogram,
    pub timers: Histogram,
    pub mailbox: Histogram,
    pub max_unread_bytes: AtomicUsize,
    pub max_open_visits: AtomicUsize,
}
