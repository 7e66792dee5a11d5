//! Suspected members: they are probed, and declared dead unless they refute in time.
use super::messages::Body;
use super::state::{Members, Suspicion};
use super::table::MemberState;
use cherrypass::time::{Span, Time};

/// Suspects checked in one tick; the rest follow in the next.
const MAX_SUSPECT_CHECKS: usize = 16;

impl Members {
    /// Suspects a member that is considered alive, unless the own links are the likelier cause.
    pub(super) fn suspect(&mut self, now: Time, i: usize) {
        let claim = self.table.claim(i);
        if self.links_degraded || claim.state != MemberState::Alive {
            return;
        }
        self.merge(now, i, claim.with(MemberState::Suspect), true);
        if let Some(suspicion) = self.suspicions.get_mut(&i) {
            (suspicion.is_own, suspicion.next_check) = (true, now);
        }
    }

    /// Time to refute a suspicion: enough for the gossip and the refutation to spread, and at least twice the
    /// timeout of a probe.
    pub(super) fn refutation_time(&self) -> Span {
        let [base, doubling] = self.settings.suspicion_rounds;
        let in_rounds = self.settings.interval.times(base + doubling * self.log2_members());
        in_rounds.max(self.links.timeout(2.0 * self.settings.phi_thresholds[2], None, &self.settings))
    }

    /// Probes suspects, and declares those dead that have not refuted in time.
    pub(super) fn check_suspicions(&mut self, now: Time) {
        let refutation_time = self.refutation_time();
        self.declare_dead(now, refutation_time);
        for (i, is_own) in self.due_suspect_checks(now) {
            let next =
                if is_own { self.settings.retry_interval.times(2.0) } else { refutation_time.times(0.25) };
            self.suspicions.entry(i).and_modify(|s| s.next_check = now + next);
            let sequence = self.next_sequence();
            self.send(self.table.entries[i].id, Body::Ping { sequence }, None);
            if is_own {
                self.probe_through_others(sequence, i, 1);
            }
        }
    }

    /// Declares the suspects dead whose time to refute is over.
    fn declare_dead(&mut self, now: Time, refutation_time: Span) {
        // Nobody is declared dead while refutations could not arrive.
        let is_connected = !self.links_degraded && now - self.last_heard <= self.settings.interval.times(2.0);
        if !is_connected {
            return;
        }
        let is_expired = |suspicion: &Suspicion| now - suspicion.since > refutation_time;
        let expired: Vec<usize> =
            self.suspicions.iter().filter(|(_, s)| is_expired(s)).map(|(i, _)| *i).collect();
        for i in expired {
            self.merge(now, i, self.table.claim(i).with(MemberState::Dead), true);
        }
    }

    /// The suspects to check now, and whether this member raised the suspicion.
    fn due_suspect_checks(&self, now: Time) -> Vec<(usize, bool)> {
        let is_due = |s: &Suspicion| now >= s.next_check && (s.is_own || !self.links_degraded);
        let due = self.suspicions.iter().filter(|(_, s)| is_due(s));
        due.map(|(i, s)| (*i, s.is_own)).take(MAX_SUSPECT_CHECKS).collect()
    }

    pub(super) fn restart_suspicions(&mut self, now: Time) {
        let next_check = now + self.refutation_time().times(0.5);
        for suspicion in self.suspicions.values_mut() {
            (suspicion.since, suspicion.next_check) = (now, next_check.min(suspicion.next_check.max(now)));
        }
    }
}
