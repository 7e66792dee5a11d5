//! Visits without a final answer, and their hand-offs in flight.
use crate::cached_copies::CachedCopyId;
use crate::calls::{HandOffEnd, Outcome, Visit};
use crate::containers::TimerKey;
use crate::ids::{ClassId, HostId};
use crate::time::Time;

/// A hand-off that may have been executed.
#[derive(Clone, Copy, Debug)]
pub struct PossibleRun {
    pub sent_at: Time,
    pub host: HostId,
}

/// A visit without a final answer.
#[derive(Debug)]
pub struct OpenVisit {
    pub visit: Visit,
    pub hand_offs: u8,
    pub in_flight: u32,
    pub is_popular: bool,
    pub arrived_at: Time,
    /// The last hand-off asked for a cached copy only, and the cache has none.
    pub has_cache_missed: bool,
    /// The parent was asked for a cached copy only and has none either.
    pub has_parent_missed: bool,
    /// The first hand-off that may have been executed.
    pub first_possible_run: Option<PossibleRun>,
    /// Hosts and sources that failed this visit, which it is not sent to again.
    pub failed_hosts: Vec<HostId>,
    /// Hand-offs that ended in a fast error, held until it is known whether hosts or the visit are at fault.
    pub unattributed_errors: Vec<SentHandOff>,
    pub deadline_timer: TimerKey,
}

impl OpenVisit {
    pub fn new(visit: Visit, is_popular: bool, arrived_at: Time, deadline_timer: TimerKey) -> OpenVisit {
        OpenVisit {
            visit,
            hand_offs: 0,
            in_flight: 0,
            is_popular,
            arrived_at,
            has_cache_missed: false,
            has_parent_missed: false,
            first_possible_run: None,
            failed_hosts: Vec::new(),
            unattributed_errors: Vec::new(),
            deadline_timer,
        }
    }

    /// Records that a hand-off has ended without the final answer.
    pub(crate) fn record_end(&mut self, sent: &SentHandOff, end: &HandOffEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let is_first_run = self.first_possible_run.is_none_or(|run| sent.sent_at < run.sent_at);
        if !end.outcome.is_not_executed() && is_first_run {
            self.first_possible_run = Some(PossibleRun { sent_at: sent.sent_at, host: sent.host });
        }
        self.has_parent_missed = end.outcome == Outcome::Miss && sent.is_cached_only;
        self.has_cache_missed =
            self.has_parent_missed || end.outcome == Outcome::Miss && sent.source.is_none();
        if !self.has_cache_missed && end.outcome != Outcome::NotSent {
            let source = sent.source.filter(|_| end.is_source_at_fault());
            self.failed_hosts.push(source.unwrap_or(sent.host));
        }
    }
}

/// A hand-off in flight.
#[derive(Clone, Copy, Debug)]
pub struct SentHandOff {
    pub sent_at: Time,
    /// `sent_at` if the hand-off counts as a trial of an open breaker, else the earliest time: hand-offs sent
    /// for want of another host are no trials.
    pub trial_sent_at: Time,
    pub host: HostId,
    pub source: Option<HostId>,
    pub class: ClassId,
    pub copy: CachedCopyId,
    /// Whether the part was known to be cached at the host.
    pub was_cached: bool,
    /// Whether it likely fills a part that is not known to be cached.
    pub is_first_fill: bool,
    /// Estimated probability that it needs a fill.
    pub fill_probability: f64,
    /// Estimated probability that it reaches the origin.
    pub origin_probability: f64,
    /// Whether the source was asked for a cached copy only.
    pub is_cached_only: bool,
}

impl SentHandOff {
    /// Its host and its source.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = HostId> {
        [Some(self.host), self.source].into_iter().flatten()
    }
}
