//! Polls of the change log that are not answered yet, and their time limits.
use super::time_limits::{MAX_ANSWER_DELAY, POLL_WAIT, RESPONSE_DEADLINE, TRANSFER_TIMEOUT};
use crate::clock;
use cherrypass::time::{Span, Time};
use std::net::TcpStream;
use std::time::Instant;

/// The time limits of a poll.
#[derive(Clone, Copy)]
pub(super) struct PollLimits {
    /// The wait requested of the log.
    pub(super) wait: Span,
    /// Time after the requested wait until the answer has to begin.
    pub(super) response_timeout: Span,
}

impl PollLimits {
    pub(super) fn is_for_slow_log(&self) -> bool {
        self.wait > POLL_WAIT
    }

    /// How long after the request the answer has to begin. On a slow log the next poll begins at the end of the wait.
    fn patience(&self) -> Span {
        if self.is_for_slow_log() {
            self.wait
        } else {
            (self.wait + self.response_timeout).min(RESPONSE_DEADLINE)
        }
    }
}

/// A poll that was requested and is not answered yet.
pub(super) struct PendingPoll {
    pub(super) stream: TcpStream,
    /// The last known change when it was requested.
    pub(super) since: u64,
    pub(super) started: PollStart,
    pub(super) requested_at: Time,
    pub(super) limits: PollLimits,
    /// Whether the answer did not begin within the limits.
    pub(super) is_overdue: bool,
}

/// When a poll began, before a connection was established for it.
#[derive(Clone, Copy)]
pub(super) struct PollStart {
    pub(super) at: Time,
    pub(super) instant: Instant,
}

impl PollStart {
    pub(super) fn now() -> PollStart {
        PollStart { at: clock::now(), instant: Instant::now() }
    }
}

impl PendingPoll {
    /// When the answer should have begun, so that another poll is due.
    pub(super) fn overdue_at(&self) -> Time {
        self.requested_at + self.limits.patience()
    }

    /// The end of the wait that was asked for: an answer without changes tells that the log had none by then.
    pub(super) fn end_of_wait(&self) -> Time {
        self.requested_at + self.limits.wait
    }

    /// When it may be given up for another poll.
    pub(super) fn may_be_given_up_at(&self) -> Time {
        self.end_of_wait() + MAX_ANSWER_DELAY
    }

    /// When an answer that begins now has to be complete.
    pub(super) fn end_deadline(&self, now: Time) -> Time {
        if self.is_overdue || self.limits.is_for_slow_log() {
            now + TRANSFER_TIMEOUT
        } else {
            self.requested_at + RESPONSE_DEADLINE
        }
    }
}
