//! Linear fits of measurements over the number of dispatchers.
use serde::{Deserialize, Serialize};

/// `at(n) = base + slope * n`, by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
}

impl Line {
    /// Fits a line to (size, value) points; a single point gives a constant.
    pub fn fit(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (size, value) = (mean(|point| point.0), mean(|point| point.1));
        let variance: f64 = points.iter().map(|point| (point.0 - size).powi(2)).sum();
        let covariance: f64 = points.iter().map(|point| (point.0 - size) * (point.1 - value)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        Line { base: value - slope * size, slope }
    }

    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// The size at which the line reaches `value`; `None` if it never does.
    pub fn size_reaching(&self, value: f64) -> Option<f64> {
        let size = (value - self.base) / self.slope;
        (self.slope > 0.0 && size.is_finite()).then_some(size.max(0.0))
    }
}
