//! The process's two clocks. All spans (deadlines, graces, waits, windows, ages) are counted on the monotonic one, which never
//! steps; the wall clock is read for log lines, and for records that outlast the process. What the change log says of times
//! goes by neither, but by [`crate::change_clock`].
use cherrypass::time::{Span, Time, UnixTime};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the monotonic clock shows at the start, so that points before it can be told.
const START: Time = Time(365 * 86_400 * 1_000_000);

struct ProcessStart {
    instant: Instant,
    unix: UnixTime,
}

fn process_start() -> &'static ProcessStart {
    static BEGIN: OnceLock<ProcessStart> = OnceLock::new();
    BEGIN.get_or_init(|| ProcessStart { instant: Instant::now(), unix: wall() })
}

/// Now, by the monotonic clock.
pub fn now() -> Time {
    START + Span(process_start().instant.elapsed().as_micros() as u64)
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Now, by the machine's wall clock, whatever that has been set to.
pub fn wall() -> UnixTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime(since.as_micros() as u64)
}

/// Unix time for records that outlast the process: the wall clock at the start, and the monotonic one since. Guards against
/// records that end early, or never, since the wall clock was stepped while the process ran.
pub fn unix() -> UnixTime {
    unix_at(now())
}

/// The same of a point in time.
pub fn unix_at(time: Time) -> UnixTime {
    let start = process_start().unix;
    if time >= START {
        start + (time - START)
    } else {
        start - (START - time)
    }
}

/// The way back, for what an earlier process recorded. What is still to come by this wall clock counts as now.
pub fn from_unix(unix: UnixTime) -> Time {
    let now = now();
    now - (unix_at(now) - unix)
}
