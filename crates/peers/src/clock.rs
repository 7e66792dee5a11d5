//! The fleet's monotonic clock. It advances while the process is stopped, but not while the machine is
//! suspended.
use cherrypass::time::{Span, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time at the start. Not zero, so that the protocols can subtract spans from it.
const START_TIME: Time = Time(3_600_000_000);

/// Environment variable with the rate of this clock against real time, for tests of whole processes.
#[cfg(feature = "faults")]
pub const RATE_VARIABLE: &str = "CHERRYPASS_CLOCK_RATE";

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at the start in microseconds.
    pub start_unix: u64,
    rate: f64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), start_unix: unix.as_micros() as u64, rate: configured_rate() }
    }

    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    fn real_time_since_start(&self, at: Time) -> Duration {
        // `Time` values that mean "never" are beyond the range of `Instant`; they are capped at one year.
        const MAX_MICROS: u64 = 365 * 86_400 * 1_000_000;
        Duration::from_micros(((at - START_TIME).0 as f64 / self.rate).min(MAX_MICROS as f64) as u64)
    }

    pub fn instant(&self, at: Time) -> Instant {
        self.started + self.real_time_since_start(at)
    }

    pub fn time(&self, at: Instant) -> Time {
        START_TIME + Span(at.saturating_duration_since(self.started).as_micros() as u64).times(self.rate)
    }

    /// Unix time in microseconds, extrapolated from the start; later steps of the system clock have no
    /// effect.
    pub fn unix(&self, at: Time) -> u64 {
        self.start_unix + self.real_time_since_start(at).as_micros() as u64
    }
}

#[cfg(not(feature = "faults"))]
fn configured_rate() -> f64 {
    1.0
}

#[cfg(feature = "faults")]
fn configured_rate() -> f64 {
    let configured = std::env::var(RATE_VARIABLE).ok().and_then(|rate| rate.parse().ok());
    configured.filter(|rate| (0.5..=2.0).contains(rate)).unwrap_or(1.0)
}
