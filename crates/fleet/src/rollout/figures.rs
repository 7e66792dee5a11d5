//! Tests whether dispatchers with a new version do worse: difference in differences over time windows, by
//! Welch's t-test.
//!
//! Visits of one dispatcher in one window are not independent, so a window is one value, however many visits
//! it had. From each value its dispatcher's mean before the version is subtracted (dispatchers differ), then
//! the mean of the dispatchers without the version in the same window (load varies for all). The rest is
//! compared after against before. Autocorrelated windows count for fewer (first order).
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// A dispatcher's counts over a second, or over a window of seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    pub visits: u64,
    /// Served within their target latency.
    pub in_time: u64,
    pub refused: u64,
    pub failed: u64,
    pub hand_offs: u64,
    /// Hosts that were newly ejected.
    pub ejected: u64,
}

impl Figures {
    /// Adds other counts to these.
    pub fn add(&mut self, more: Figures) {
        self.visits = self.visits.saturating_add(more.visits);
        self.in_time = self.in_time.saturating_add(more.in_time);
        self.refused = self.refused.saturating_add(more.refused);
        self.failed = self.failed.saturating_add(more.failed);
        self.hand_offs = self.hand_offs.saturating_add(more.hand_offs);
        self.ejected = self.ejected.saturating_add(more.ejected);
    }

    /// Limits counts received from another member to plausible values: no part exceeds the whole.
    pub fn clamped(mut self) -> Figures {
        self.visits = self.visits.min(1_000_000_000);
        for part in [&mut self.in_time, &mut self.refused, &mut self.failed] {
            *part = (*part).min(self.visits);
        }
        self.hand_offs = self.hand_offs.min(self.visits.saturating_mul(100));
        self.ejected = self.ejected.min(10_000);
        self
    }

    /// The value of a measure; higher is worse.
    fn value(&self, measure: Measure) -> f64 {
        let share = |part: u64| part as f64 / self.visits.max(1) as f64;
        match measure {
            Measure::Late => 1.0 - share(self.in_time),
            Measure::Refused => share(self.refused),
            Measure::Failed => share(self.failed),
            Measure::HandOffs => share(self.hand_offs),
            Measure::Ejected => self.ejected as f64,
        }
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    Late,
    Refused,
    Failed,
    HandOffs,
    Ejected,
}

/// All measures.
pub const MEASURES: [Measure; 5] =
    [Measure::Late, Measure::Refused, Measure::Failed, Measure::HandOffs, Measure::Ejected];

impl Measure {
    /// The name as it appears in the reason of a halt.
    pub fn name(self) -> &'static str {
        match self {
            Measure::Late => "visits past their target latency",
            Measure::Refused => "visits refused",
            Measure::Failed => "visits failed",
            Measure::HandOffs => "hand-offs per visit",
            Measure::Ejected => "hosts ejected per window",
        }
    }

    /// The worsening that is tolerated: shares of visits, hand-offs per visit, hosts per window.
    fn tolerance(self) -> f64 {
        match self {
            Measure::Late | Measure::Refused | Measure::Failed => 0.01,
            Measure::HandOffs => 0.05,
            Measure::Ejected => 0.2,
        }
    }

    /// The least standard deviation that is assumed for a window: windows without any variation are no
    /// certainty.
    fn min_deviation(self) -> f64 {
        match self {
            Measure::Late | Measure::Refused | Measure::Failed => 0.003,
            Measure::HandOffs => 0.01,
            Measure::Ejected => 0.2,
        }
    }
}

/// A closed window: its counts, and the version that was in force during all of it, if one was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowFigures {
    pub number: Option<u64>,
    pub figures: Figures,
}

/// One dispatcher's windows by their index in time.
pub type Windows = BTreeMap<u64, WindowFigures>;

/// Drops surplus windows: the oldest ones before a stage, and the oldest ones since.
pub fn prune<T>(windows: &mut BTreeMap<u64, T>, since: u64, before: usize, after: usize) {
    while windows.range(..since).count() > before {
        windows.pop_first();
    }
    while windows.range(since..).count() > after {
        let Some(first) = windows.range(since..).next().map(|(index, _)| *index) else { return };
        windows.remove(&first);
    }
}

/// The result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Comparison {
    /// There are too few windows.
    TooFewWindows,
    /// The number of windows since the version, and the least p-value of all measures.
    NotWorse {
        windows: usize,
        p: f64,
    },
    Worse {
        measure: Measure,
        by: f64,
        p: f64,
    },
}

/// Count, mean and variance of values.
struct Sample {
    count: f64,
    mean: f64,
    variance: f64,
}

fn sample(values: &[f64], min_deviation: f64) -> Sample {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    Sample { count, mean, variance: variance.max(min_deviation * min_deviation) }
}

/// First-order autocorrelation of both samples about their own means; at least 0.
fn autocorrelation(samples: [&[f64]; 2]) -> f64 {
    let (mut with_next, mut own, mut n) = (0.0, 0.0, 0.0);
    for values in samples {
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        with_next += values.windows(2).map(|pair| (pair[0] - mean) * (pair[1] - mean)).sum::<f64>();
        own += values.iter().map(|x| (x - mean).powi(2)).sum::<f64>();
        n += values.len() as f64;
    }
    // The plain estimate is too low by about (1 + 3 r) / n.
    let plain = if own > 0.0 { with_next / own } else { 0.0 };
    (plain + (1.0 + 3.0 * plain.max(0.0)) / n).clamp(0.0, 0.9)
}

/// The probability of a worsening at least as great as the observed one if the true one is the tolerance.
pub fn p_value(before: &[f64], after: &[f64], measure: Measure) -> f64 {
    let rho = autocorrelation([before, after]);
    let effective_share = (1.0 - rho) / (1.0 + rho);
    let (a, b) = (sample(before, measure.min_deviation()), sample(after, measure.min_deviation()));
    let (va, vb) = (a.variance / (a.count * effective_share), b.variance / (b.count * effective_share));
    let error = (va + vb).sqrt();
    let t = (b.mean - a.mean - measure.tolerance()) / error;
    let freedom = (va + vb).powi(2)
        / (va * va / (a.count * effective_share - 1.0).max(1.0)
            + vb * vb / (b.count * effective_share - 1.0).max(1.0));
    match StudentsT::new(0.0, 1.0, freedom.max(1.0)) {
        Ok(student) if t.is_finite() => student.sf(t),
        _ => 1.0,
    }
}

/// The mean of the dispatchers' values before the version, and window by window the mean deviation from their
/// own. Weights are fixed, so that a dispatcher that is missing in a window does not shift the mean; windows
/// with less than half the weight are omitted.
fn deviations(group: &[&Windows], since: u64, measure: Measure) -> (f64, BTreeMap<u64, f64>) {
    let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    let (mut total_weight, mut means) = (0.0, 0.0);
    for windows in group {
        let before: Vec<&WindowFigures> =
            windows.range(..since).map(|(_, w)| w).filter(|w| w.figures.visits > 0).collect();
        let visits: f64 = before.iter().map(|w| w.figures.visits as f64).sum();
        if before.is_empty() {
            continue;
        }
        let (weight, mean) = if measure == Measure::Ejected {
            (1.0, before.iter().map(|w| w.figures.value(measure)).sum::<f64>() / before.len() as f64)
        } else {
            let sum: f64 = before.iter().map(|w| w.figures.value(measure) * w.figures.visits as f64).sum();
            (visits / before.len() as f64, sum / visits)
        };
        total_weight += weight;
        means += weight * mean;
        for (index, window) in windows.iter().filter(|(_, w)| w.figures.visits > 0) {
            let entry = sums.entry(*index).or_default();
            entry.0 += weight * (window.figures.value(measure) - mean);
            entry.1 += weight;
        }
    }
    sums.retain(|_, (_, weight)| *weight >= 0.5 * total_weight);
    let series = sums.into_iter().map(|(index, (sum, weight))| (index, sum / weight)).collect();
    (if total_weight > 0.0 { means / total_weight } else { 0.0 }, series)
}

/// Least windows before the version and since.
pub const MIN_WINDOWS_BEFORE: usize = 8;
pub const MIN_WINDOWS_SINCE: usize = 4;
/// Least windows since the version to find it not worse: with fewer, only severe harm would show.
pub const MIN_WINDOWS_TO_PASS: usize = 2 * MIN_WINDOWS_SINCE;

/// Compares `with`, which have the version since the window `since`, to `without`, which do not have it. If
/// `without` is empty, `with` is compared to itself before. `alpha` is the rate of false alarms of this
/// comparison, over all measures.
pub fn compare(with: &[&Windows], without: &[&Windows], since: u64, alpha: f64) -> Comparison {
    let mut worst = (1.0, Measure::Late, 0.0);
    let mut windows = usize::MAX;
    for measure in MEASURES {
        let ((mean, a), (other_mean, b)) =
            (deviations(with, since, measure), deviations(without, since, measure));
        // A common influence changes shares in proportion to their size.
        let scale = match measure {
            Measure::Late | Measure::Refused | Measure::Failed => {
                ((mean + 0.001) / (other_mean + 0.001)).clamp(0.25, 4.0)
            }
            Measure::HandOffs | Measure::Ejected => 1.0,
        };
        let difference = |index: &u64, value: &f64| match b.get(index) {
            Some(other) => Some(value - scale * other),
            None => without.is_empty().then_some(*value),
        };
        let before: Vec<f64> =
            a.range(..since).filter_map(|(index, value)| difference(index, value)).collect();
        let after: Vec<f64> =
            a.range(since..).filter_map(|(index, value)| difference(index, value)).collect();
        windows = windows.min(after.len());
        if before.len() < MIN_WINDOWS_BEFORE || after.len() < MIN_WINDOWS_SINCE {
            return Comparison::TooFewWindows;
        }
        let p = p_value(&before, &after, measure);
        if p < worst.0 {
            let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
            worst = (p, measure, mean(&after) - mean(&before));
        }
    }
    if worst.0 < alpha / MEASURES.len() as f64 {
        return Comparison::Worse { measure: worst.1, by: worst.2, p: worst.0 };
    }
    Comparison::NotWorse { windows, p: worst.0 }
}
