//! The machine's monotonic clock as a number that all processes of a run share.
use crate::error::{io_error, Error};
use nix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant};

/// A time of the machine's monotonic clock, in microseconds.
pub type Micros = u64;

/// Converts instants of this process to machine-wide times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base_instant: Instant,
    base_us: Micros,
}

impl Clock {
    /// Fails if the monotonic clock can't be read.
    pub fn start() -> Result<Clock, Error> {
        let read = clock_gettime(ClockId::CLOCK_MONOTONIC);
        let read = read.map_err(|error| io_error("the monotonic clock")(error.into()))?;
        Ok(Clock { base_instant: Instant::now(), base_us: Duration::from(read).as_micros() as Micros })
    }

    pub fn now(&self) -> Micros {
        self.micros(Instant::now())
    }

    /// Converts an instant of this process.
    pub fn micros(&self, at: Instant) -> Micros {
        let after = at.saturating_duration_since(self.base_instant).as_micros() as Micros;
        let before = self.base_instant.saturating_duration_since(at).as_micros() as Micros;
        (self.base_us + after).saturating_sub(before)
    }
}
