//! Calls of the dispatcher, passed on to the component that they are for.
use super::state::FleetNode;
use crate::common::Incarnation;
use crate::limits::LimitKey;
use crate::rollout;
use crate::verdicts::{Finding, UsedBy};
use cherrypass::ids::HostId;
use cherrypass::time::Time;

impl FleetNode {
    /// Periodic work of all components.
    pub fn tick(&mut self, now: Time) {
        if let Some(limits) = &mut self.limits {
            limits.tick(now);
        }
        if self.stepped_down {
            return;
        }
        self.members.tick(now);
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.tick(now);
        }
        // Lets the feed send in this tick what verdicts publish in it.
        while let Some(effect) = self.next_verdicts_effect(now) {
            self.effects.push_back(effect);
        }
        if let Some(feed) = &mut self.feed {
            feed.tick(now);
        }
        if let Some(rollout) = &mut self.rollout {
            rollout.tick(now);
        }
    }

    /// Begins an orderly shutdown.
    pub fn leave(&mut self, now: Time) {
        self.members.leave(now);
    }

    /// Sets what the dispatcher would use of a limit if it could; has to be repeated at least every 10 s.
    pub fn set_demand(&mut self, now: Time, key: LimitKey, amount: f64) {
        if let Some(limits) = &mut self.limits {
            limits.set_demand(now, key, amount);
        }
    }

    /// Confirms that the last allowance returned for this key is in force.
    pub fn confirm_applied(&mut self, now: Time, key: LimitKey) {
        if let Some(limits) = &mut self.limits {
            limits.confirm_applied(now, key);
        }
    }

    /// See `Verdicts::report_finding`.
    pub fn report_finding(&mut self, now: Time, finding: Finding) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.report_finding(now, finding);
        }
    }

    /// See `Verdicts::report_recovery`.
    pub fn report_recovery(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.report_recovery(now, host);
        }
    }

    /// See `Verdicts::set_thresholds`.
    pub fn set_verdict_thresholds(&mut self, now: Time, reporters: u8, location_fraction: f64) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.set_thresholds(now, reporters, location_fraction);
        }
    }

    /// See `Verdicts::refute`.
    pub fn refute_verdict(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.refute(now, host);
        }
    }

    /// See `Verdicts::update_host`.
    pub fn update_host(&mut self, now: Time, host: HostId, since: Option<Incarnation>, used_by: UsedBy) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.update_host(now, host, since, used_by);
        }
    }

    /// See `Verdicts::remove_host`.
    pub fn remove_host(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.remove_host(now, host);
        }
    }

    /// Passes the dispatcher's figures of a period to the rollout.
    pub fn report_figures(&mut self, now: Time, figures: rollout::Figures) {
        if let Some(rollout) = &mut self.rollout {
            rollout.add_figures(now, figures);
        }
    }

    /// Carries out an operator's order; `None` if the rollout is off.
    pub fn order(&mut self, now: Time, order: rollout::Order) -> Option<Result<(), rollout::OrderError>> {
        Some(self.rollout.as_mut()?.order(now, order))
    }

    /// Reports that the rules of this number can't be used.
    pub fn reject_rules(&mut self, now: Time, number: u64, why: &str) {
        if let Some(rollout) = &mut self.rollout {
            rollout.version_rejected(now, number, why);
        }
    }

    /// Reports that a record was stored, or could not be.
    pub fn confirm_stored(&mut self, now: Time, ticket: u64, is_stored: bool) {
        if let Some(rollout) = &mut self.rollout {
            rollout.record_written(now, ticket, is_stored);
        }
    }
}
