//! Points in time and durations, in microseconds, as distinct types.
//!
//! [`Time`] comes from a monotonic clock and is meaningful within one process only. [`UnixTime`] is used on
//! wires and in files. This module does not convert between the two: the code that reads both clocks does.
use std::ops::{Add, Sub};

/// A point in time of the process's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// Microseconds since 1970, as used on wires and in files. Its clock may be wrong and may jump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UnixTime(pub u64);

/// A non-negative duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Span(pub u64);

impl UnixTime {
    pub const fn millis(ms: u64) -> UnixTime {
        UnixTime(ms.saturating_mul(1000))
    }

    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }
}

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

macro_rules! point_in_time {
    ($point:ty) => {
        impl Add<Span> for $point {
            type Output = $point;
            fn add(self, span: Span) -> $point {
                Self(self.0.saturating_add(span.0))
            }
        }

        impl Sub<Span> for $point {
            type Output = $point;
            fn sub(self, span: Span) -> $point {
                Self(self.0.saturating_sub(span.0))
            }
        }

        /// Time elapsed since `earlier`, or zero if `earlier` is the later point.
        impl Sub for $point {
            type Output = Span;
            fn sub(self, earlier: $point) -> Span {
                Span(self.0.saturating_sub(earlier.0))
            }
        }
    };
}

point_in_time!(Time);
point_in_time!(UnixTime);

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
