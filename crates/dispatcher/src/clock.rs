//! The process's monotonic and wall clocks. All durations (deadlines, delays, windows, ages) are measured on
//! the monotonic clock, which never steps; the wall clock serves log lines and records that outlast the
//! process. The change log's timestamps are interpreted by [`crate::change_clock`].
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_keep::boot_time::BootTime;
use nix::time::{clock_gettime, ClockId};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic time at which the process starts; not zero, so that earlier points in time can be
/// represented.
const START: Time = Time(365 * 86_400 * 1_000_000);

struct ProcessStart {
    instant: Instant,
    unix: UnixTime,
}

fn process_start() -> &'static ProcessStart {
    static BEGIN: OnceLock<ProcessStart> = OnceLock::new();
    BEGIN.get_or_init(|| ProcessStart { instant: Instant::now(), unix: wall_now() })
}

/// The current monotonic time.
pub fn now() -> Time {
    START + Span(process_start().instant.elapsed().as_micros() as u64)
}

/// Converts an instant of the standard library's monotonic clock.
pub fn from_instant(instant: Instant) -> Time {
    let start = process_start().instant;
    START + Span(instant.saturating_duration_since(start).as_micros() as u64)
        - Span(start.saturating_duration_since(instant).as_micros() as u64)
}

pub fn to_std(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// The current time of the system's wall clock.
pub fn wall_now() -> UnixTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime(since.as_micros() as u64)
}

/// Unix time for records that outlast the process: the wall clock at process start plus the monotonic time
/// since. Steps of the wall clock while the process runs don't affect when records expire.
pub fn unix_now() -> UnixTime {
    to_unix(now())
}

/// Converts a monotonic time as [`unix_now`] does.
pub fn to_unix(time: Time) -> UnixTime {
    let start = process_start().unix;
    if time >= START {
        start + (time - START)
    } else {
        start - (START - time)
    }
}

/// Converts a Unix time of this process; one in the future becomes the current time.
pub fn from_unix(unix: UnixTime) -> Time {
    let now = now();
    now - (to_unix(now) - unix)
}

/// The time since the machine's boot, for records that a later process dates by it; None where it is not known.
pub fn boot_now() -> Option<BootTime> {
    static BOOT: OnceLock<Option<u128>> = OnceLock::new();
    let boot = (*BOOT.get_or_init(read_boot_id))?;
    let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(BootTime { boot, micros: Duration::from(since_boot).as_micros() as u64 })
}

/// The random id that the system gives each boot.
fn read_boot_id() -> Option<u128> {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    u128::from_str_radix(&text.trim().replace('-', ""), 16).ok()
}
