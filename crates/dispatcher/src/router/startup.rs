//! Sets up the router before it runs: the persisted state, the known changes and the fleet.
use super::state::Router;
use crate::clock;
use crate::durable_state::{RestoredPurges, StateRecorder};
use crate::fleet_connection::FleetConnection;
use crate::inbox::Change;
use cherrypass::ids::GroupId;
use cherrypass::time::Span;

impl Router {
    /// Starts persisting purges and visits, and applies the state that was persisted before.
    pub fn set_recorder(&mut self, (recorder, restored): (StateRecorder, RestoredPurges)) {
        let now = clock::now();
        match restored {
            RestoredPurges::Purges(purges) => {
                purges.iter().for_each(|purge| self.change_clock.observe(now, purge.issued_at));
                purges.iter().for_each(|purge| self.apply_purge(now, purge));
            }
            RestoredPurges::Unknown { groups } => {
                (0..groups).for_each(|group| self.engine.record_purge(now, GroupId(group), None, Span::ZERO));
            }
        }
        self.recorder = Some(recorder);
    }

    /// Applies the changes known at startup. All timestamps are observed first, as each may help to date the
    /// others.
    pub fn apply_known_changes(&mut self, changes: Vec<Change>) {
        changes.iter().for_each(|change| self.observe_timestamps(change));
        changes.into_iter().for_each(|change| self.apply_change(change));
    }

    /// Starts sharing limits and findings about hosts with other dispatchers.
    pub fn set_fleet_connection(&mut self, mut fleet_connection: FleetConnection) {
        fleet_connection.set_initial_shares(&mut self.engine);
        self.fleet_connection = Some(fleet_connection);
    }
}
