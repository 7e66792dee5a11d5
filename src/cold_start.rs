//! Budgets of hosts whose process has just started.
use crate::calls::{Outcome, SharedLimit};
use crate::containers::TokenBucket;
use crate::ids::HostId;
use crate::state::DecisionEngine;
use crate::time::{Span, Time};
use crate::visits::SentHandOff;

/// Share of the permitted cold budget that is used.
const COLD_BUDGET_FRACTION: f64 = 0.75;
/// Share of a window within which an attempt to a cold host has to be sent.
const COLD_SEND_WINDOW_FRACTION: f64 = 0.1;

/// Work that a cold host may be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdBudget {
    /// Seconds of transfer time a second.
    pub rate: f64,
    /// Length of the window that the bound applies to.
    pub window_seconds: f64,
}

impl DecisionEngine {
    /// Budget of this dispatcher for a cold host: a part of `overload_factor` x present capacity, which rises
    /// linearly from the initial share. Guards rule 4.
    pub(crate) fn cold_budget(&self, now: Time, id: HostId) -> Option<ColdBudget> {
        let total = self.total_cold_budget(now, id)?;
        Some(ColdBudget { rate: self.cold_allowance(now, id, total.rate), ..total })
    }

    /// Budget of all dispatchers together, by the host's age half a window ago, since the bound applies to
    /// the beginning of a window.
    pub(crate) fn total_cold_budget(&self, now: Time, id: HostId) -> Option<ColdBudget> {
        let host = self.hosts.get(&id)?;
        let rules = if self.is_parent(host) { self.settings.cold_parent } else { self.settings.cold_cache };
        let age = host.process_age(now).filter(|age| *age < rules.ramp)?;
        let (window, ramp) = (rules.overload_window.as_seconds(), rules.ramp.as_seconds());
        let capacity_share = rules.initial_share
            + (1.0 - rules.initial_share) * (age.as_seconds() - window / 2.0).max(0.0) / ramp;
        let rate = COLD_BUDGET_FRACTION * rules.overload_factor * capacity_share * self.capacity(host);
        Some(ColdBudget { rate, window_seconds: window })
    }

    /// This dispatcher's part of a cold host's budget: its allowance, else an equal share.
    fn cold_allowance(&self, now: Time, id: HostId, total: f64) -> f64 {
        let is_parent = self.hosts.get(&id).is_some_and(|host| self.is_parent(host));
        let senders = if is_parent { self.settings.dispatchers } else { self.settings.location_dispatchers };
        let allowance = self.allowances.get(&SharedLimit::ColdStart(id));
        allowance.map_or(total / f64::from(senders.max(1)), |allowance| total * allowance.amount_at(now))
    }

    /// Hosts that are cold.
    pub fn cold_hosts(&self, now: Time) -> impl Iterator<Item = HostId> + '_ {
        self.hosts.keys().copied().filter(move |id| self.cold_budget(now, *id).is_some())
    }

    /// A host reset its connections or refused a new one, so a new process may answer next. Guards against
    /// overloading a new, cold process before the list shows it. A host that closed its connections for
    /// another reason gets a cold host's budget meanwhile.
    pub fn connection_lost(&mut self, now: Time, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.connection_lost_at.is_none() {
            host.cold_bucket = TokenBucket::empty(now);
        }
        host.connection_lost_at = Some(now);
    }

    /// Returns the work charged to cold hosts for an attempt that was never sent.
    pub(crate) fn refund_unsent(&mut self, sent: &SentHandOff, outcome: Outcome) {
        if !matches!(outcome, Outcome::Expired | Outcome::NotSent) {
            return;
        }
        let work = self.cold_cost(sent.class);
        for id in sent.hosts() {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.refund_cold_budget(sent.sent_at, work);
            }
        }
    }

    /// Until when a hand-off may be sent, given the latest time for its visit. Guards against attempts that
    /// wait for connections and then reach a cold host within one window.
    pub(crate) fn latest_send(&self, now: Time, sent: &SentHandOff, latest: Time) -> Time {
        let budgets = sent.hosts().filter_map(|id| self.total_cold_budget(now, id));
        budgets.fold(latest, |at, budget| {
            at.min(now + Span::seconds(COLD_SEND_WINDOW_FRACTION * budget.window_seconds))
        })
    }
}
