//! Tells the module whether there may be purges that are not known here.
use super::state::FleetConnection;
use crate::clock;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass_operator::fleet::UnprovenCopies;
use std::time::Instant;

impl FleetConnection {
    /// All changes of the log up to `at` are known.
    pub(super) fn changes_known_up_to(&mut self, engine: &mut DecisionEngine, at: Instant) {
        self.known_up_to = self.known_up_to.max(Some(at));
        self.update_proof(engine);
    }

    /// Tells the module whether there may be purges that are not known here.
    pub(super) fn update_proof(&mut self, engine: &mut DecisionEngine) {
        let (Some(delivery), Some(known_up_to)) = (&self.fleet.delivery, self.known_up_to) else { return };
        let is_unproven = known_up_to.elapsed() > clock::to_std(delivery.max_proof_age);
        engine.set_purges_unverified(is_unproven && delivery.unproven == UnprovenCopies::Strict);
        if std::mem::replace(&mut self.is_unproven, is_unproven) != is_unproven {
            let age_ms = known_up_to.elapsed().as_millis();
            match is_unproven {
                true => tracing::warn!("delivery: purges of the last {age_ms} ms may be unknown"),
                false => tracing::info!("delivery: all purges are known up to {age_ms} ms ago"),
            }
        }
    }

    /// Whether carriers deliver changes and so prove which purges are known.
    pub fn has_carriers(&self) -> bool {
        self.fleet.delivery.is_some()
    }
}
