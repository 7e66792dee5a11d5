//! Puts the rules of the fleet's rollout in force.
use super::state::FleetConnection;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::HostId;
use cherrypass_operator::rules::{self, Rules};
use cherrypass_peers::ToFleet;

impl FleetConnection {
    /// Puts rules in force, or rejects them if they are invalid. Number 0 means that there are none.
    pub(super) fn handle_rules(&mut self, engine: &mut DecisionEngine, number: u64, text: &str) {
        if number == 0 {
            return self.apply_rules(engine, Rules::default());
        }
        match rules::decode(text, &self.fleet) {
            Ok(rules) => self.apply_rules(engine, rules),
            Err(error) => {
                tracing::warn!("rules {number} are rejected ({}): {error}", error.code());
                (self.send)(ToFleet::RulesRejected { number, reason: error.to_string() });
            }
        }
    }

    /// Puts rules in force.
    fn apply_rules(&mut self, engine: &mut DecisionEngine, rules: Rules) {
        self.rules = rules;
        self.apply_shares(engine);
        if let Some(file) = &self.fleet.verdicts {
            let rules = &self.rules.fleet.verdicts;
            let reporters = rules.min_reporters.unwrap_or(file.min_reporters) as u8;
            (self.send)(ToFleet::VerdictThresholds {
                reporters,
                location_fraction: rules.min_reporting_fraction.unwrap_or(file.min_reporting_fraction),
            });
        }
        if !self.rules.fleet.verdicts.uses_findings {
            let hosts: Vec<HostId> = self.reported_hosts.keys().copied().collect();
            hosts.into_iter().for_each(|host| self.withdraw_report(engine, host));
        }
    }
}
