//! Points in time and spans between them, in microseconds; the two don't mix.
use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Span(pub u64);

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn millis(ms: u64) -> Span {
        Span(ms * 1000)
    }

    pub fn seconds(s: f64) -> Span {
        Span((s * 1e6).max(0.0) as u64)
    }

    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).max(0.0) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// The span from an earlier point to a later one; zero where the order is the other way round.
impl Sub<Time> for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
