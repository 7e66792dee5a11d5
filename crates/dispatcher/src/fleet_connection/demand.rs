//! Sends the demand for shared limits, and their usage, to the fleet.
use super::shares::{fleet_limits, shared_limit};
use super::state::FleetConnection;
use cherrypass::calls::LimitUsage;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::HostId;
use cherrypass::time::Time;
use cherrypass_peers::{LimitKey, ToFleet};
use std::collections::{BTreeSet, VecDeque};

/// Demand is averaged over this many exchanges, which take a second.
pub(super) const DEMAND_WINDOW: usize = 4;

/// Aggregates a quantity over the recent exchanges: the maximum for the origin's concurrency, the mean for
/// rates.
fn aggregate(key: LimitKey, recent: &VecDeque<LimitUsage>, quantity: fn(&LimitUsage) -> f64) -> f64 {
    match key {
        LimitKey::Origin => recent.iter().map(quantity).fold(0.0, f64::max),
        _ => recent.iter().map(quantity).sum::<f64>() / recent.len() as f64,
    }
}

impl FleetConnection {
    /// Sends the demand for each limit, and once a second its usage.
    pub(super) fn send_demand(&mut self, engine: &mut DecisionEngine, now: Time) {
        let Some(limits) = &self.fleet.limits else { return };
        let mut keys: BTreeSet<LimitKey> = fleet_limits(limits).collect();
        if limits.shares_cold_budgets {
            let cold: Vec<HostId> = engine.cold_hosts(now).collect();
            cold.iter().for_each(|host| self.init_cold_share(engine, *host));
            keys.extend(cold.into_iter().map(LimitKey::ColdHost));
        }
        self.recent_demand.retain(|key, _| keys.contains(key));
        let sends_usage = self.exchanges.is_multiple_of(DEMAND_WINDOW);
        for key in keys {
            let recent = self.recent_demand.entry(key).or_default();
            recent.push_back(engine.take_limit_usage(now, shared_limit(key)));
            if recent.len() > DEMAND_WINDOW {
                recent.pop_front();
            }
            let max = if matches!(key, LimitKey::ColdHost(_)) { 1.0 } else { f64::MAX };
            let demanded = aggregate(key, recent, |usage| usage.demanded);
            (self.send)(ToFleet::Demand { key, amount: demanded.min(max) });
            if sends_usage {
                let used = aggregate(key, recent, |usage| usage.used);
                (self.send)(ToFleet::PeakUse { key, amount: used });
            }
        }
    }
}
