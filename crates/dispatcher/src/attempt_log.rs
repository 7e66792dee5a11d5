//! Log lines that follow one request by its id: every attempt at debug level, and at the default level those that took most
//! of the request's time.
use crate::ids::HandOffId;
use cherrypass::calls::{Fill, Outcome};
use cherrypass::time::{Span, Time};

/// An attempt that took at least this part of its request's whole time is logged at the default level.
const SLOW_FRACTION: f64 = 0.5;
/// Of those so many a second; the rest are counted.
const SLOW_LINES_PER_SECOND: u32 = 10;
const SECOND: Span = Span::millis(1_000);

/// What is known of an attempt at its end.
pub struct EndedAttempt<'a> {
    pub id: HandOffId,
    /// The client's id of the request; none once the request has its final answer.
    pub request: Option<&'a [u8]>,
    pub host: &'a str,
    /// The client's whole time, counted from when the request came.
    pub request_time: Option<(Time, Span)>,
    pub decided: Time,
    pub written: Option<Time>,
    pub ended: Time,
    pub outcome: Outcome,
    pub fill: Option<Fill>,
}

impl EndedAttempt<'_> {
    fn is_slow(&self) -> bool {
        self.request_time.is_some_and(|(_, whole)| self.ended - self.decided >= whole.times(SLOW_FRACTION))
    }

    fn describe(&self) -> String {
        let request = self.request.map_or("that has its answer".into(), String::from_utf8_lossy);
        let ms = |at: Time| at.0 as i64 / 1000 - self.decided.0 as i64 / 1000;
        let since_came = self.request_time.map_or("".to_owned(), |(came, whole)| {
            format!(" {} ms after it came with {} ms left", -ms(came), whole.0 / 1000)
        });
        let written =
            self.written.map_or("never written".to_owned(), |at| format!("written after {} ms", ms(at)));
        let oldest = self.fill.map_or("no copy".to_owned(), |fill| match fill.oldest.0 {
            0 => "a copy of any age".to_owned(),
            oldest => format!("a copy of at most {} ms", oldest / 1000),
        });
        format!(
            "attempt {}/{} of request {request} at {}: decided{since_came}, for {oldest}, {written}, {:?} after {} ms",
            self.id.0 .0,
            self.id.1 .0,
            self.host,
            self.outcome,
            ms(self.ended)
        )
    }
}

/// Writes the lines, slow ones at a bounded rate.
#[derive(Debug, Default)]
pub struct AttemptLog {
    second_started: Time,
    lines: u32,
    suppressed: u32,
}

impl AttemptLog {
    pub fn log(&mut self, attempt: &EndedAttempt) {
        if attempt.is_slow() && self.may_write(attempt.ended) {
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
