//! What the dispatcher may use of a limit: the retained part of the own share, and leases.
use super::limit::{Lease, Limit, Reduction, DEMAND_HEADROOM, MIN_LOAN_FRACTION};
use super::messages::Allowance;
use super::settings::LimitKey;
use super::state::{Guard, Limits};
use cherrypass::time::Time;

/// The own share of a limit.
struct Share {
    amount: f64,
    floor: f64,
    /// The part that may be used now.
    usable: f64,
    /// The size of one hand-off.
    unit: f64,
}

impl Limits {
    /// What the dispatcher may use. For a key without state, the default.
    pub fn allowance(&self, now: Time, key: LimitKey) -> Allowance {
        let default = || {
            let amount = self
                .settings
                .total(key)
                .map_or(f64::MAX, |total| self.usable_share(now, key, total * self.share_fraction));
            Allowance { amount, until: now, after: amount }
        };
        self.limits.get(&key).and_then(|limit| limit.allowance).unwrap_or_else(default)
    }

    /// Confirms that the last allowance returned for this key is in force at the dispatcher.
    pub fn confirm_applied(&mut self, _now: Time, key: LimitKey) {
        if let Some(limit) = self.limits.get_mut(&key) {
            limit.is_applied |= !limit.has_new_allowance;
        }
    }

    /// Updates the retained part of the own share, and the allowance that follows from it.
    pub(super) fn update_allowance(&mut self, now: Time, key: LimitKey) {
        let Some(amount) = self.limits.get(&key).map(|limit| limit.total * self.share_fraction) else {
            return;
        };
        let share = Share {
            amount,
            floor: amount * self.settings.floor_fraction,
            usable: self.usable_share(now, key, amount),
            unit: self.settings.unit(key),
        };
        let drain = self.drain(key);
        let min_lease_end = now + self.settings.interval.times(3.0);
        let Some(limit) = self.limits.get_mut(&key) else { return };
        limit.apply_due_reduction(now);
        limit.update_retained(&share);
        let is_usable = |lease: &&Lease| lease.until > min_lease_end && !self.stepped_down;
        limit.set_allowance(now, is_usable);
        // Reduce first, lend afterwards: a reduction counts only after the dispatcher has confirmed it and
        // the hand-offs begun before have ended.
        if self.disabled_guard == Some(Guard::ReduceBeforeLending) {
            limit.in_use_max = limit.retained;
        } else if limit.is_applied && limit.retained < limit.in_use_max && limit.reduction.is_none() {
            limit.reduction = Some(Reduction { level: limit.retained, at: now + drain });
        }
    }
}

impl Limit {
    fn apply_due_reduction(&mut self, now: Time) {
        if let Some(reduction) = self.reduction.filter(|reduction| now >= reduction.at) {
            self.in_use_max = reduction.level;
            self.reduction = None;
        }
    }

    /// Adapts the retained part of the share to the demand; small reductions are left out.
    fn update_retained(&mut self, share: &Share) {
        let lent = self.total_lent();
        let demand = if self.borrowers.is_empty() {
            share.amount
        } else {
            (self.effective_demand(share.unit) * DEMAND_HEADROOM).min(share.amount)
        };
        let goal = demand.max(share.floor).min(share.usable).min((share.amount - lent).max(0.0));
        let is_reduction = goal < self.retained - share.amount * MIN_LOAN_FRACTION;
        if goal > self.retained || is_reduction || share.usable == 0.0 {
            self.retained = goal;
        }
        if self.reduction.is_some_and(|reduction| reduction.level < self.retained) {
            self.reduction = None;
        }
        self.in_use_max = self.in_use_max.max(self.retained);
    }

    /// Sets the allowance to the retained part and the usable leases; reports it if it has changed.
    fn set_allowance(&mut self, now: Time, is_usable: impl Fn(&&Lease) -> bool) {
        let usable = || self.lenders.values().filter_map(|lender| lender.lease.as_ref()).filter(&is_usable);
        let after = self.retained;
        let amount = after + usable().map(|lease| lease.amount).sum::<f64>();
        let until = usable().map(|lease| lease.until).min().unwrap_or(now);
        let is_same = |last: &Allowance| {
            (last.amount, last.after) == (amount, after) && (amount == after || last.until == until)
        };
        if !self.allowance.as_ref().is_some_and(is_same) {
            self.is_applied &= self.allowance.is_some_and(|last| last.after == after);
            self.allowance = Some(Allowance { amount, until, after });
            self.has_new_allowance = true;
        }
    }
}
