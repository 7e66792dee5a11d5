//! Bookkeeping of hand-offs in flight: counts, and cancellation.
use crate::calls::Decision;
use crate::ids::{ClassId, HandOffNumber, HostId, VisitId};
use crate::settings::Effect;
use crate::state::DecisionEngine;
use crate::time::Time;
use crate::visits::{PossibleRun, SentHandOff};

impl DecisionEngine {
    /// Drops a visit whose client has left or has its final answer, and cancels its hand-offs in flight.
    pub fn close_visit(&mut self, id: VisitId) {
        let Some(open) = self.visits.remove(&id) else { return };
        self.timers.cancel(open.deadline_timer);
        if !self.settings.can_cancel {
            return;
        }
        let in_flight = self.in_flight.range((id, HandOffNumber(0))..=(id, HandOffNumber(u8::MAX)));
        self.decisions.extend(in_flight.map(|(&(visit, number), _)| Decision::Cancel { visit, number }));
    }

    /// Cancels the idempotent hand-offs in flight at a host that is not expected to answer.
    pub(crate) fn cancel_in_flight(&mut self, id: HostId) {
        let is_idempotent = |class: ClassId| {
            self.class_settings(class).is_some_and(|class| class.effect == Effect::Idempotent)
        };
        let cancelled = self
            .in_flight
            .iter()
            .filter(|(_, s)| self.settings.can_cancel && s.host == id && is_idempotent(s.class));
        let cancels: Vec<_> =
            cancelled.map(|(&(visit, number), _)| Decision::Cancel { visit, number }).collect();
        self.decisions.extend(cancels);
    }

    /// Notes that an earlier attempt of a visit that has just arrived was sent to `host` at `at` and may have
    /// been executed. Guards against a repeat outside the group that deduplicates it, after a restart of the
    /// dispatcher.
    pub fn note_earlier_attempt(&mut self, id: VisitId, at: Time, host: HostId) {
        if let Some(open) = self.visits.get_mut(&id) {
            open.first_possible_run = Some(PossibleRun { sent_at: at, host });
        }
    }

    /// Adds (1) or removes (-1) a hand-off in the counts of its host, and its expected fill in those of its
    /// source, its part and both fill limits.
    pub(crate) fn count_in_flight(&mut self, sent: &SentHandOff, change: i32) {
        if let Some(host) = self.hosts.get_mut(&sent.host) {
            if host.in_flight == 0 {
                host.waiting_since = sent.sent_at;
            }
            host.in_flight = host.in_flight.saturating_add_signed(change);
        }
        if sent.is_first_fill {
            self.cached_copies.count_fill(sent.copy, change);
        }
        let change = f64::from(change);
        self.fill_limiter.expected_fills =
            (self.fill_limiter.expected_fills + change * sent.fill_probability).max(0.0);
        self.origin_limiter.expected_fills =
            (self.origin_limiter.expected_fills + change * sent.origin_probability).max(0.0);
        if let Some(source) = sent.source.and_then(|id| self.hosts.get_mut(&id)) {
            source.expected_fills = (source.expected_fills + change * sent.fill_probability).max(0.0);
        }
        self.record_usage(sent, change > 0.0);
        if change > 0.0 && self.hosts.get(&sent.host).is_some_and(|host| self.is_cache(host)) {
            self.mean_cache_work.push(self.transfer_seconds(sent.class), 0.01);
        }
    }

    /// Charges a hand-off to the cold budgets of its host and source, and postpones their next trials.
    pub(crate) fn charge_hosts(&mut self, now: Time, sent: &SentHandOff) {
        let work = self.cold_cost(sent.class);
        for id in sent.hosts() {
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            host.cold_bucket.level -= work;
            if let Some(breaker) = host.breaker.as_mut().filter(|breaker| now >= breaker.next_trial_at) {
                breaker.next_trial_at = now + breaker.trial_interval;
            }
        }
    }
}
