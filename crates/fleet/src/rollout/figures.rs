//! Whether dispatchers with a new version do worse: differences in differences of windows, Welch's t on them.
//!
//! Visits of one dispatcher and one window share their fate, so a window is one value, however many visits it
//! had. From each value its dispatcher's mean before the version is taken (dispatchers differ), then the mean
//! of those without the version in the same window (bursts and the day's swing are common). What is left is
//! compared after against before. Windows that resemble their predecessors count for fewer (first-order
//! autocorrelation).
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// What a dispatcher counted in a second, or in a window of seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    pub visits: u64,
    /// Settled within their quoted time.
    pub in_time: u64,
    pub turned_back: u64,
    pub written_off: u64,
    pub hand_offs: u64,
    /// Hosts that were newly shut out.
    pub shut_out: u64,
}

impl Figures {
    pub fn add(&mut self, more: Figures) {
        self.visits = self.visits.saturating_add(more.visits);
        self.in_time = self.in_time.saturating_add(more.in_time);
        self.turned_back = self.turned_back.saturating_add(more.turned_back);
        self.written_off = self.written_off.saturating_add(more.written_off);
        self.hand_offs = self.hand_offs.saturating_add(more.hand_offs);
        self.shut_out = self.shut_out.saturating_add(more.shut_out);
    }

    /// No part is more than the whole, whatever a peer says.
    pub fn sane(mut self) -> Figures {
        self.visits = self.visits.min(1_000_000_000);
        for part in [&mut self.in_time, &mut self.turned_back, &mut self.written_off] {
            *part = (*part).min(self.visits);
        }
        self.hand_offs = self.hand_offs.min(self.visits.saturating_mul(100));
        self.shut_out = self.shut_out.min(10_000);
        self
    }

    /// Higher is worse.
    fn value(&self, measure: Measure) -> f64 {
        let share = |part: u64| part as f64 / self.visits.max(1) as f64;
        match measure {
            Measure::Late => 1.0 - share(self.in_time),
            Measure::TurnedBack => share(self.turned_back),
            Measure::WrittenOff => share(self.written_off),
            Measure::HandOffs => share(self.hand_offs),
            Measure::ShutOut => self.shut_out as f64,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    Late,
    TurnedBack,
    WrittenOff,
    HandOffs,
    ShutOut,
}

pub const MEASURES: [Measure; 5] =
    [Measure::Late, Measure::TurnedBack, Measure::WrittenOff, Measure::HandOffs, Measure::ShutOut];

impl Measure {
    pub fn name(self) -> &'static str {
        match self {
            Measure::Late => "visits past their quoted time",
            Measure::TurnedBack => "visits turned back",
            Measure::WrittenOff => "visits written off",
            Measure::HandOffs => "hand-offs a visit",
            Measure::ShutOut => "hosts shut out a window",
        }
    }

    /// What is borne without a halt: shares, hand-offs a visit, hosts a window.
    fn borne(self) -> f64 {
        match self {
            Measure::Late | Measure::TurnedBack | Measure::WrittenOff => 0.01,
            Measure::HandOffs => 0.05,
            Measure::ShutOut => 0.2,
        }
    }

    /// The least deviation of one window that is believed: all-zero windows prove no certainty.
    fn least_deviation(self) -> f64 {
        match self {
            Measure::Late | Measure::TurnedBack | Measure::WrittenOff => 0.003,
            Measure::HandOffs => 0.01,
            Measure::ShutOut => 0.2,
        }
    }
}

/// A closed window: the version that was in force all through it, if one was, and its figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counted {
    pub number: Option<u64>,
    pub figures: Figures,
}

/// One dispatcher's windows by their place in time.
pub type Windows = BTreeMap<u64, Counted>;

/// Drops what is too much of windows: of those before a stage the oldest, of those since the oldest.
pub fn prune<T>(windows: &mut BTreeMap<u64, T>, since: u64, before: usize, after: usize) {
    while windows.range(..since).count() > before {
        windows.pop_first();
    }
    while windows.range(since..).count() > after {
        let Some(first) = windows.range(since..).next().map(|(place, _)| *place) else { return };
        windows.remove(&first);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// Too few windows to tell.
    Few,
    /// Windows since, and the least p of all measures.
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

struct Sample {
    n: f64,
    mean: f64,
    square: f64,
}

fn sample(values: &[f64], least: f64) -> Sample {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let square = values.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    Sample { n, mean, square: square.max(least * least) }
}

/// How much a window resembles the one before it, of both samples about their own means; never below 0.
fn resemblance(samples: [&[f64]; 2]) -> f64 {
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

/// The chance of such a worsening, or a greater one, if the true one is what is borne.
pub fn chance(before: &[f64], after: &[f64], measure: Measure) -> f64 {
    let rho = resemblance([before, after]);
    let worth = (1.0 - rho) / (1.0 + rho);
    let (a, b) = (sample(before, measure.least_deviation()), sample(after, measure.least_deviation()));
    let (va, vb) = (a.square / (a.n * worth), b.square / (b.n * worth));
    let error = (va + vb).sqrt();
    let t = (b.mean - a.mean - measure.borne()) / error;
    let freedom =
        (va + vb).powi(2) / (va * va / (a.n * worth - 1.0).max(1.0) + vb * vb / (b.n * worth - 1.0).max(1.0));
    match StudentsT::new(0.0, 1.0, freedom.max(1.0)) {
        Ok(student) if t.is_finite() => student.sf(t),
        _ => 1.0,
    }
}

/// The means over dispatchers of what is above their own means, window by window. Weights are fixed, so that
/// one that is not heard for a window doesn't shift the mean; windows of less than half the weight are left
/// out.
fn course(group: &[&Windows], since: u64, measure: Measure) -> (f64, BTreeMap<u64, f64>) {
    let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    let (mut all, mut means) = (0.0, 0.0);
    for windows in group {
        let before: Vec<&Counted> =
            windows.range(..since).map(|(_, w)| w).filter(|w| w.figures.visits > 0).collect();
        let visits: f64 = before.iter().map(|w| w.figures.visits as f64).sum();
        if before.is_empty() {
            continue;
        }
        let (weight, mean) = if measure == Measure::ShutOut {
            (1.0, before.iter().map(|w| w.figures.value(measure)).sum::<f64>() / before.len() as f64)
        } else {
            let sum: f64 = before.iter().map(|w| w.figures.value(measure) * w.figures.visits as f64).sum();
            (visits / before.len() as f64, sum / visits)
        };
        all += weight;
        means += weight * mean;
        for (place, counted) in windows.iter().filter(|(_, w)| w.figures.visits > 0) {
            let entry = sums.entry(*place).or_default();
            entry.0 += weight * (counted.figures.value(measure) - mean);
            entry.1 += weight;
        }
    }
    sums.retain(|_, (_, weight)| *weight >= 0.5 * all);
    let course = sums.into_iter().map(|(place, (sum, weight))| (place, sum / weight)).collect();
    (if all > 0.0 { means / all } else { 0.0 }, course)
}

/// Least windows before and since.
pub const BEFORE: usize = 8;
pub const SINCE: usize = 4;

/// `with` has the version since the window `since`, `without` has not (may be empty: then against themselves
/// alone). `spend` is the chance of a false alarm for this look at all measures.
pub fn judge(with: &[&Windows], without: &[&Windows], since: u64, spend: f64) -> Finding {
    let mut least = (1.0, Measure::Late, 0.0);
    let mut windows = usize::MAX;
    for measure in MEASURES {
        let ((mean, a), (other_mean, b)) = (course(with, since, measure), course(without, since, measure));
        // What is common moves shares in proportion to what they are.
        let scale = match measure {
            Measure::Late | Measure::TurnedBack | Measure::WrittenOff => {
                ((mean + 0.001) / (other_mean + 0.001)).clamp(0.25, 4.0)
            }
            Measure::HandOffs | Measure::ShutOut => 1.0,
        };
        let left = |place: &u64, value: &f64| match b.get(place) {
            Some(other) => Some(value - scale * other),
            None => without.is_empty().then_some(*value),
        };
        let before: Vec<f64> = a.range(..since).filter_map(|(place, value)| left(place, value)).collect();
        let after: Vec<f64> = a.range(since..).filter_map(|(place, value)| left(place, value)).collect();
        windows = windows.min(after.len());
        if before.len() < BEFORE || after.len() < SINCE {
            return Finding::Few;
        }
        let p = chance(&before, &after, measure);
        if p < least.0 {
            let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
            least = (p, measure, mean(&after) - mean(&before));
        }
    }
    if least.0 < spend / MEASURES.len() as f64 {
        return Finding::Worse { measure: least.1, by: least.2, p: least.0 };
    }
    Finding::NotWorse { windows, p: least.0 }
}
