//! Logs the attempts of requests: all of them at debug level, and at info level those that took most of the
//! request's time.
use crate::ids::HandOffId;
use cherrypass::calls::{Fill, Outcome};
use cherrypass::time::{Span, Time};

/// An attempt that takes at least this fraction of its request's time limit is logged at info level.
const SLOW_FRACTION: f64 = 0.5;
/// Further slow attempts within a second are only counted.
const SLOW_LINES_PER_SECOND: u32 = 10;
const SECOND: Span = Span::millis(1_000);

/// A finished attempt.
pub struct EndedAttempt<'a> {
    pub id: HandOffId,
    /// The client's id of the request; none once the request has been answered.
    pub request: Option<&'a [u8]>,
    pub host: &'a str,
    /// When the request arrived, and its time limit.
    pub request_time: Option<(Time, Span)>,
    pub decided_at: Time,
    pub written_at: Option<Time>,
    pub ended_at: Time,
    pub outcome: Outcome,
    pub fill: Option<Fill>,
}

impl EndedAttempt<'_> {
    fn is_slow(&self) -> bool {
        self.request_time
            .is_some_and(|(_, limit)| self.ended_at - self.decided_at >= limit.times(SLOW_FRACTION))
    }

    fn describe(&self) -> String {
        let request = self.request.map_or("already answered".into(), String::from_utf8_lossy);
        let ms = |at: Time| at.0 as i64 / 1000 - self.decided_at.0 as i64 / 1000;
        let since_request = self.request_time.map_or("".to_owned(), |(received_at, limit)| {
            format!(" {} ms after it arrived with {} ms left", -ms(received_at), limit.0 / 1000)
        });
        let written =
            self.written_at.map_or("never written".to_owned(), |at| format!("written after {} ms", ms(at)));
        let oldest = self.fill.map_or("no copy".to_owned(), |fill| match fill.max_age.0 {
            0 => "a copy of any age".to_owned(),
            oldest => format!("a copy of at most {} ms", oldest / 1000),
        });
        format!(
            "attempt {}/{} of request {request} at {}: decided{since_request}, for {oldest}, {written}, {} after {} ms",
            self.id.0 .0,
            self.id.1 .0,
            self.host,
            outcome_text(self.outcome),
            ms(self.ended_at)
        )
    }
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "refused",
        Outcome::TimedOut => "timed out",
        Outcome::ConnectFailed => "connection failed",
        Outcome::Reset => "connection reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Expired => "expired",
        Outcome::Miss => "no cached copy",
        Outcome::NotSent => "not sent",
    }
}

/// Logs attempts, slow ones at a limited rate.
#[derive(Debug, Default)]
pub struct AttemptLog {
    second_started: Time,
    lines: u32,
    suppressed: u32,
}

impl AttemptLog {
    pub fn log(&mut self, attempt: &EndedAttempt) {
        if attempt.is_slow() && self.may_write(attempt.ended_at) {
            tracing::info!("{}", attempt.describe());
        } else {
            tracing::debug!("{}", attempt.describe());
        }
    }

    fn may_write(&mut self, now: Time) -> bool {
        if now >= self.second_started + SECOND {
            if self.suppressed > 0 {
                tracing::info!("{} more attempts took most of their request's time", self.suppressed);
            }
            *self = AttemptLog { second_started: now, ..AttemptLog::default() };
        }
        let may = self.lines < SLOW_LINES_PER_SECOND;
        self.lines += u32::from(may);
        self.suppressed += u32::from(!may);
        may
    }
}
