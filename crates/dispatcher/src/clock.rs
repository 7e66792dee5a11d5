//! The system's Unix clock, and how long to wait for a point in time.
use cherrypass::time::{Span, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub fn now() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(since.as_micros() as u64)
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
