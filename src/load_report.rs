//! A load figure with the time at which it was reported.
use crate::time::{Span, Time};

#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    pub reported_at: Time,
    pub load: f64,
}

impl LoadReport {
    /// The load, unless the report is `validity` old or older.
    pub fn current(self, now: Time, validity: Span) -> Option<f64> {
        Some(self.load).filter(|_| now < self.reported_at + validity)
    }
}
