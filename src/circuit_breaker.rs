//! Circuit breaker of a host: ejection and its trial hand-offs.
use crate::calls::EjectionCause;
use crate::time::{Span, Time};

/// Successful trials in a row after which a host is readmitted.
pub(crate) const TRIALS_TO_RECOVER: u32 = 3;

/// Shortest and longest interval between trials of an ejected host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialIntervals {
    pub first: Span,
    pub longest: Span,
}

/// An open circuit breaker: its host is ejected and gets trial hand-offs only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenBreaker {
    pub opened_at: Time,
    pub next_trial_at: Time,
    pub trial_interval: Span,
    /// Successful trials in a row.
    pub trials_passed: u32,
    pub cause: EjectionCause,
    /// Number of own hand-offs that support it.
    pub evidence_count: u32,
    /// Time of the last hand-off that supports it.
    pub last_evidence_at: Time,
}

impl OpenBreaker {
    /// Shortens the trial interval to at most `interval`, also for the next trial.
    pub fn cap_trial_interval(&mut self, now: Time, interval: Span) {
        self.trial_interval = self.trial_interval.min(interval);
        self.next_trial_at = self.next_trial_at.min(now + self.trial_interval);
    }

    /// Records the end of a trial. A failure doubles the trial interval, within `intervals`.
    pub fn record_trial(&mut self, now: Time, has_failed: bool, intervals: TrialIntervals) {
        self.trials_passed = if has_failed { 0 } else { self.trials_passed + 1 };
        self.trial_interval = if has_failed {
            (self.trial_interval + self.trial_interval).min(intervals.longest)
        } else {
            intervals.first
        };
        self.next_trial_at = if has_failed { now + self.trial_interval } else { now };
        if has_failed {
            (self.cause, self.evidence_count, self.last_evidence_at) =
                (EjectionCause::Failing, self.evidence_count.saturating_add(1), now);
        }
    }
}
