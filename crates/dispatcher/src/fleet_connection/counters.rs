//! Counts visits and hand-offs for the comparison of a rollout.
use super::state::FleetConnection;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::ClassId;
use cherrypass::time::Span;

impl FleetConnection {
    /// Counts a hand-off.
    pub fn count_hand_off(&mut self) {
        self.counters.hand_offs += 1;
    }

    /// Counts a visit that was served.
    pub fn count_served(&mut self, engine: &DecisionEngine, class: ClassId, duration: Span) {
        self.counters.visits += 1;
        self.counters.in_time += u64::from(duration.as_seconds() <= engine.target_seconds(class));
    }

    /// Counts a visit that was refused.
    pub fn count_refused(&mut self) {
        self.counters.visits += 1;
        self.counters.refused += 1;
    }

    /// Counts a visit that failed.
    pub fn count_failed(&mut self) {
        self.counters.visits += 1;
        self.counters.failed += 1;
    }
}
