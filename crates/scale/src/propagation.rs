//! Records when each change was published and how long it took to reach followers.
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Purge = 0,
    Configuration = 1,
    List = 2,
}

/// Upper bound of the histograms, in microseconds.
const MAX_DELAY_US: u64 = 3_600_000_000;

struct Change {
    kind: ChangeKind,
    published_us: u64,
    max_delay_us: AtomicU64,
    receivers: AtomicU32,
}

/// Publication times and delivery delays of all changes of a run; the first change has number 1.
pub struct Propagation {
    start: Instant,
    changes: Mutex<Vec<std::sync::Arc<Change>>>,
    delays: [Mutex<Histogram<u64>>; 3],
}

/// Delivery delays of one kind of change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Delays {
    pub deliveries: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
    /// From publication until the last follower had the change: median and maximum.
    #[serde(rename = "last_of_all_p50_ms")]
    pub last_follower_p50_ms: f64,
    #[serde(rename = "last_of_all_max_ms")]
    pub last_follower_max_ms: f64,
    pub changes: u64,
    #[serde(rename = "complete")]
    pub complete_changes: u64,
}

fn histogram() -> Histogram<u64> {
    // Constant, valid bounds.
    Histogram::new_with_bounds(1, MAX_DELAY_US, 3).unwrap_or_else(|_| unreachable!("constant bounds"))
}

impl Default for Propagation {
    fn default() -> Propagation {
        let delays = [(); 3].map(|()| Mutex::new(histogram()));
        Propagation { start: Instant::now(), changes: Mutex::default(), delays }
    }
}

impl Propagation {
    fn elapsed_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn changes(&self) -> std::sync::MutexGuard<'_, Vec<std::sync::Arc<Change>>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the next change is published now.
    pub fn record_published(&self, kind: ChangeKind) {
        let (published_us, max_delay_us, receivers) =
            (self.elapsed_us(), AtomicU64::new(0), AtomicU32::new(0));
        self.changes().push(std::sync::Arc::new(Change { kind, published_us, max_delay_us, receivers }));
    }

    /// Records that a follower has received the change of this number.
    pub fn record_received(&self, number: u64) {
        let change = self.changes().get((number as usize).wrapping_sub(1)).cloned();
        let Some(change) = change else { return };
        let delay_us = self.elapsed_us().saturating_sub(change.published_us).clamp(1, MAX_DELAY_US);
        change.max_delay_us.fetch_max(delay_us, Relaxed);
        change.receivers.fetch_add(1, Relaxed);
        let delays = &self.delays[change.kind as usize];
        delays.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(delay_us);
    }

    /// Publication time of each change.
    pub fn published_at(&self) -> Vec<Instant> {
        self.changes().iter().map(|change| self.start + Duration::from_micros(change.published_us)).collect()
    }

    pub fn change_count(&self) -> usize {
        self.changes().len()
    }

    /// Delays of deliveries since the previous call, and completion times of the changes from index `from`
    /// on; a change is complete once `followers` followers have it. Resets the deliveries.
    pub fn delays(&self, kind: ChangeKind, from: usize, followers: u32) -> Delays {
        let mut delays = self.delays[kind as usize].lock().unwrap_or_else(PoisonError::into_inner);
        let ms = |micros: u64| micros as f64 / 1e3;
        let (mut completion, mut changes, mut complete_changes) = (histogram(), 0, 0);
        for change in self.changes().iter().skip(from).filter(|change| change.kind == kind) {
            changes += 1;
            if change.receivers.load(Relaxed) >= followers {
                complete_changes += 1;
                completion.saturating_record(change.max_delay_us.load(Relaxed));
            }
        }
        let result = Delays {
            deliveries: delays.len(),
            p50_ms: ms(delays.value_at_quantile(0.5)),
            p99_ms: ms(delays.value_at_quantile(0.99)),
            max_ms: ms(delays.max()),
            last_follower_p50_ms: ms(completion.value_at_quantile(0.5)),
            last_follower_max_ms: ms(completion.max()),
            changes,
            complete_changes,
        };
        delays.reset();
        result
    }
}
