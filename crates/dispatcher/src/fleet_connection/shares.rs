//! Passes this member's shares of limits to the module.
use super::state::{module_time, FleetConnection, Share};
use cherrypass::calls::SharedLimit;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::HostId;
use cherrypass_operator::fleet::Limits;
use cherrypass_peers::{LimitKey, ToFleet};
use std::time::Instant;

pub(super) fn shared_limit(key: LimitKey) -> SharedLimit {
    match key {
        LimitKey::Origin => SharedLimit::Origin,
        LimitKey::Retries => SharedLimit::Retries,
        LimitKey::ColdHost(host) => SharedLimit::ColdStart(host),
    }
}

/// The limits of the whole fleet that are set.
pub(super) fn fleet_limits(limits: &Limits) -> impl Iterator<Item = LimitKey> {
    let totals = [(LimitKey::Origin, limits.origin), (LimitKey::Retries, limits.retries_per_s)];
    totals.into_iter().filter(|(_, total)| total.is_some()).map(|(key, _)| key)
}

impl FleetConnection {
    /// Before anything is served: sets the shares of all limits to zero until the fleet allots more. An
    /// earlier run of this process may have lent its share to others, or its hand-offs may still be using it.
    pub fn set_initial_shares(&mut self, engine: &mut DecisionEngine) {
        let Some(limits) = &self.fleet.limits else { return };
        fleet_limits(limits).for_each(|key| self.set_initial_share(engine, key, 0.0));
    }

    /// Sets the share that applies until the fleet allots one.
    fn set_initial_share(&mut self, engine: &mut DecisionEngine, key: LimitKey, amount: f64) {
        self.shares.entry(key).or_insert(Share { amount, until: Instant::now(), after: amount });
        self.apply_share(engine, key);
    }

    /// Sets the share of a cold host for which the fleet has not allotted one to the floor, which no other
    /// member can have. The fleet may know too many hosts to allot shares for this one.
    pub(super) fn init_cold_share(&mut self, engine: &mut DecisionEngine, host: HostId) {
        let key = LimitKey::ColdHost(host);
        let shares_cold_budgets = self.fleet.limits.as_ref().is_some_and(|limits| limits.shares_cold_budgets);
        if shares_cold_budgets && !self.shares.contains_key(&key) {
            self.set_initial_share(engine, key, self.floor);
        }
    }

    /// The fleet has allotted a share.
    pub(super) fn share_allotted(
        &mut self,
        engine: &mut DecisionEngine,
        key: LimitKey,
        number: u64,
        share: Share,
    ) {
        // Nothing is kept for hosts that are gone.
        if matches!(key, LimitKey::ColdHost(host) if !engine.is_listed(host)) {
            return;
        }
        self.shares.insert(key, share);
        self.apply_share(engine, key);
        (self.send)(ToFleet::AllowanceApplied { key, number });
    }

    /// Passes all shares to the module.
    pub(super) fn apply_shares(&self, engine: &mut DecisionEngine) {
        self.shares.keys().for_each(|key| self.apply_share(engine, *key));
    }

    /// Passes a share to the module.
    fn apply_share(&self, engine: &mut DecisionEngine, key: LimitKey) {
        if let Some(Share { amount, until, after }) = self.shares.get(&key) {
            let scale = self.scale(key);
            engine.set_allowance(shared_limit(key), scale * amount, module_time(*until), scale * after);
        }
    }

    /// The ratio of a limit by the rules in force to that of the file, by which the fleet allots shares.
    fn scale(&self, key: LimitKey) -> f64 {
        let (Some(file), rules) = (&self.fleet.limits, &self.rules.fleet.limits) else { return 1.0 };
        let (new, old) = match key {
            LimitKey::Origin => (rules.origin, file.origin),
            LimitKey::Retries => (rules.retries_per_s, file.retries_per_s),
            LimitKey::ColdHost(_) => (None, None),
        };
        new.zip(old).map_or(1.0, |(new, old)| new / old)
    }
}
