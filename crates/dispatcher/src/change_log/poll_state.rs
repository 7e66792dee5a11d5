//! What earlier polls tell about the change log: adapts time limits and delays, and logs changes of state.
use super::pending_poll::PollLimits;
use super::time_limits::{
    CATCH_UP_WAIT, MAX_RETRY_DELAY, MIN_RESPONSE_TIMEOUT, MIN_RETRY_DELAY, POLL_WAIT, RESPONSE_DEADLINE,
    RESPONSE_TIMEOUT_DECAY, SLOW_POLL_WAIT, STALL_THRESHOLD,
};
use crate::change_decoding::ChangeLogError;
use cherrypass::time::Span;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::io::ErrorKind;

/// How many late answers in a row show that the log is slow.
const OVERDUE_IF_SLOW: u32 = 2;

/// The state of the polls so far.
pub(super) struct PollState {
    retry_delay: Span,
    response_timeout: Span,
    is_failing: bool,
    /// Whether answers come later than the limits of a quick log.
    is_slow: bool,
    /// Polls that were not answered within the limits since a quick answer.
    overdue_in_a_row: u32,
    /// Whether the log's last change is older than the last known one.
    is_behind: bool,
    /// Whether the log tells known changes again.
    is_repeating: bool,
    has_stalled: bool,
    /// Number of the last change that was invalid.
    known_invalid: Option<u64>,
}

impl Default for PollState {
    fn default() -> PollState {
        PollState {
            retry_delay: MIN_RETRY_DELAY,
            response_timeout: MIN_RESPONSE_TIMEOUT,
            is_failing: false,
            is_slow: false,
            overdue_in_a_row: 0,
            is_behind: false,
            is_repeating: false,
            has_stalled: false,
            known_invalid: None,
        }
    }
}

impl PollState {
    /// Forgets what was learned of the log's speed, as it has moved.
    pub(super) fn address_changed(&mut self) {
        self.retry_delay = MIN_RETRY_DELAY;
        self.note_failure();
    }

    pub(super) fn known_invalid(&self) -> Option<u64> {
        self.known_invalid
    }

    /// The time limits of the next poll. After a failure, or with an expired lease, the answer is wanted at once.
    pub(super) fn limits(&self, is_lease_valid: bool) -> PollLimits {
        let wait = match is_lease_valid {
            true if self.is_slow => SLOW_POLL_WAIT,
            true if !self.is_failing && !self.has_stalled && self.overdue_in_a_row == 0 => POLL_WAIT,
            _ => CATCH_UP_WAIT,
        };
        PollLimits { wait, response_timeout: self.response_timeout }
    }

    /// Notes that an answer did not begin within the limits. Returns whether that shows now that the log is slow: the
    /// first late answer may be due to its connection.
    pub(super) fn note_overdue(&mut self) -> bool {
        self.overdue_in_a_row += 1;
        let is_slow = self.overdue_in_a_row >= OVERDUE_IF_SLOW;
        is_slow && !std::mem::replace(&mut self.is_slow, is_slow)
    }

    /// Notes how long after its request a complete answer began.
    pub(super) fn note_answer_time(&mut self, answer_time: Span, limits: PollLimits) {
        let is_quick = answer_time <= limits.wait + MIN_RESPONSE_TIMEOUT;
        // On a slow log an answer that comes within the wait has changes, and its delay is not known.
        if is_quick && (!limits.is_for_slow_log() || answer_time >= limits.wait) {
            self.is_slow = false;
            self.overdue_in_a_row = 0;
        }
    }

    /// Notes that an answer broke off or that the log was not reached: what was learned of its speed is void.
    pub(super) fn note_failure(&mut self) {
        self.is_slow = false;
        self.overdue_in_a_row = 0;
    }

    pub(super) fn note_duration(&mut self, duration: Span) {
        self.has_stalled = duration > STALL_THRESHOLD;
    }

    /// Notes whether the answer began with known changes.
    pub(super) fn note_repeated(&mut self, repeated: Option<u64>, last_change: u64) {
        if let Some(number) = repeated.filter(|_| !self.is_repeating) {
            tracing::warn!(
                change = last_change,
                "changelog tells change {number} again, after {last_change}: ignored"
            );
        }
        self.is_repeating = repeated.is_some();
    }

    /// Notes the number of the log's last change.
    pub(super) fn note_sequence(&mut self, seq: Option<u64>, since: u64) {
        let was_behind = self.is_behind;
        self.is_behind = seq.is_some_and(|seq| seq < since);
        if self.is_behind && !was_behind {
            let seq = seq.unwrap_or_default();
            tracing::warn!(
                change = since,
                "changelog is at change {seq}, behind {since}: no changes until it catches up"
            );
        }
    }

    /// Notes whether the poll failed.
    pub(super) fn note_result(&mut self, fault: Option<&ChangeLogError>, last_change: u64) {
        self.response_timeout = if fault.is_none() {
            self.response_timeout.times(RESPONSE_TIMEOUT_DECAY).max(MIN_RESPONSE_TIMEOUT)
        } else {
            (self.response_timeout + self.response_timeout).min(RESPONSE_DEADLINE)
        };
        if let Some(ChangeLogError::InvalidChange(number, _)) = fault {
            self.known_invalid = Some(*number);
        }
        match fault {
            Some(fault) if !self.is_failing => tracing::warn!(
                change = last_change,
                "changelog fails: {fault}; the list as of change {last_change} stays in force"
            ),
            None if self.is_failing => {
                tracing::info!(change = last_change, "changelog back at change {last_change}")
            }
            _ => {}
        }
        self.is_failing = fault.is_some();
        // Prevents a busy loop, also if answers arrive at once and have no changes.
        self.retry_delay = if self.is_failing {
            (self.retry_delay + self.retry_delay).min(MAX_RETRY_DELAY)
        } else {
            MIN_RETRY_DELAY
        };
    }

    /// How long to wait before the next poll, if at all.
    pub(super) fn retry_delay(
        &self,
        fault: Option<&ChangeLogError>,
        since_poll: Span,
        random: &mut Pcg64Mcg,
    ) -> Option<Span> {
        // After a connect timeout the next connection is already being established.
        let has_waited =
            matches!(fault, Some(ChangeLogError::Unreachable(error)) if error.kind() == ErrorKind::TimedOut);
        let needs_delay = self.is_failing && !has_waited || since_poll < Span::millis(2);
        needs_delay.then(|| self.retry_delay.times(random.gen_range(0.5..1.0)))
    }
}
