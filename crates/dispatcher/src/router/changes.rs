//! Applies the changes of the change log.
use super::state::Router;
use crate::clock;
use crate::ids::HandOffId;
use crate::inbox::Change;
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_keep::purges::Purge;

impl Router {
    /// Feeds the timestamps of a change to the change log's clock.
    pub(super) fn observe_timestamps(&mut self, change: &Change) {
        let now = clock::now();
        match change {
            Change::Purge(purge) => self.change_clock.observe(now, purge.issued_at),
            Change::HostList { hosts, .. } => {
                let started = hosts.iter().filter_map(|host| host.started);
                started.for_each(|started| self.change_clock.observe(now, started));
            }
        }
    }

    /// Applies a change of the change log.
    pub fn apply_change(&mut self, change: Change) {
        self.observe_timestamps(&change);
        let now = clock::now();
        match change {
            Change::HostList { is_complete, hosts } => self.apply_list(now, hosts, is_complete),
            Change::Purge(purge) => self.apply_purge(now, &purge),
        }
    }

    /// Puts a purge in force.
    pub(super) fn apply_purge(&mut self, now: Time, purge: &Purge) {
        if let Some(recorder) = &self.recorder {
            recorder.record_purge(purge);
        }
        // The wall clock is not used: if it were ahead, copies older than the purge would be served.
        let age = self.change_clock.min_age(now, purge.issued_at);
        log_purge(purge, age);
        self.engine.record_purge(now, purge.group, purge.object, age);
        self.redecide_purged(purge);
    }

    /// Decides the fills that a purge concerns again if they have not been sent.
    fn redecide_purged(&mut self, purge: &Purge) {
        let visits = &self.visits;
        let is_concerned = |id: &HandOffId| {
            let request = visits.get(&id.0).map(|open| &open.request);
            request.is_some_and(|request| match purge.object {
                Some(object) => request.object == object,
                None => request.group == purge.group,
            })
        };
        let stale = self.hand_offs.iter().filter(|(id, pending)| pending.fill.is_some() && is_concerned(id));
        self.redecide_unsent(stale.map(|(id, _)| *id).collect());
    }

    /// Feeds a copy's creation time, which the origin stamps with the same clock as the change log, to the
    /// change log's clock. Times in the future of the wall clock are ignored, as a host's answers may be
    /// wrong.
    pub(super) fn observe_copy_time(&mut self, now: Time, created: UnixTime) {
        if created <= clock::wall_now() {
            self.change_clock.observe(now, created);
        }
    }
}

fn log_purge(purge: &Purge, age: Span) {
    match purge.object {
        Some(object) => {
            tracing::info!(
                change = purge.change_number,
                "purge: object {:016x}, received {} ms after it was made",
                object.0,
                age.0 / 1000
            )
        }
        None => tracing::info!(
            change = purge.change_number,
            "purge: group {}, received {} ms after it was made",
            purge.group.0,
            age.0 / 1000
        ),
    }
}
