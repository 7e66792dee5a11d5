//! Limits the age of copies while the change log has purges to tell that may not have been read.
use super::state::{Router, Timer};
use crate::change_log::MAX_ANNOUNCEMENT_DELAY;
use crate::clock;
use crate::fleet_connection::FleetConnection;
use crate::inbox::AnnouncedChanges;
use cherrypass::time::{Span, Time};

/// How long the process waits for the change log once its lease has expired.
const MAX_CATCH_UP: Span = Span::millis(150);

impl Router {
    /// With carriers the fleet proves that no change is missing.
    fn has_carriers(&self) -> bool {
        self.fleet_connection.as_ref().is_some_and(FleetConnection::has_carriers)
    }

    /// All changes that the change log had at this time are applied.
    pub(super) fn changelog_read(&mut self, at: Time) {
        self.note_changes_read(at);
        self.lease.prove(at);
        self.check_unread_changes();
    }

    /// Tells the module that all changes up to this time are known.
    pub(super) fn note_changes_read(&mut self, at: Time) {
        if !self.has_carriers() {
            self.engine.changes_read(at, MAX_ANNOUNCEMENT_DELAY);
        }
    }

    /// The change log has changes that may not have been read.
    pub(super) fn changes_announced(&mut self, changes: AnnouncedChanges) {
        if !self.has_carriers() {
            let obeyed_from = self.engine.changes_announced(changes.noted_at, changes.announced_at);
            self.timers.push(obeyed_from, Timer::ChangesAnnounced);
        }
    }

    /// Purges that the change log has announced have to be obeyed from now on, unless they were read meanwhile. Drains
    /// can't be guarded against: any host may be draining, and only sending to none would be safe.
    pub(super) fn apply_announced_changes(&mut self) {
        self.check_unread_changes();
        if self.is_copy_age_limited {
            self.redecide_unsent_fills();
        }
    }

    /// Notes whether the age of copies is limited by purges that may not have been read.
    pub(super) fn check_unread_changes(&mut self) {
        let now = clock::now();
        let unread = self.engine.unread_purges_up_to(now);
        if std::mem::replace(&mut self.is_copy_age_limited, unread.is_some()) == unread.is_some() {
            return;
        }
        if let Some(up_to) = unread {
            let ms = (now - up_to).0 / 1000;
            tracing::warn!(
                "changelog: purges of up to {ms} ms ago may be unread: only copies are accepted that none of them can concern"
            );
            self.redecide_unsent_fills();
        } else {
            tracing::info!("changelog answers again: the age of copies is limited by known purges only");
        }
    }

    /// Has fills decided again that have not been sent, as they were decided without the limit on the age of copies.
    fn redecide_unsent_fills(&mut self) {
        let fills = self.hand_offs.iter().filter(|(_, pending)| pending.fill.is_some());
        self.redecide_unsent(fills.map(|(id, _)| *id).collect());
    }

    /// Applies the changes that were missed while the process was stopped, or did not get to run, before anything is
    /// sent again. What was decided before and has not been started is decided again. The wait is short, as the
    /// requests' deadlines are running; a log that can't be read meanwhile counts as silent.
    pub(super) fn catch_up(&mut self, since: Time) {
        let unsent = self.hand_offs.keys().copied().collect();
        self.redecide_unsent(unsent);
        let until = self.end_of_catch_up(since);
        tracing::warn!("process was suspended: waiting for the change log before sending anything");
        loop {
            let now = clock::now();
            if self.lease.is_valid(now) {
                tracing::info!(
                    "changelog was read {} ms after the process continued",
                    (now - since).0 / 1000
                );
                return;
            }
            if now >= until {
                self.lease.grant(now);
                tracing::warn!("changelog was not read within {} ms: going on", (now - since).0 / 1000);
                return;
            }
            // Only hosts, the change log and signals; clients wait.
            if let Ok(input) = self.mailboxes[0].recv_timeout(clock::to_std(until - now)) {
                self.handle(input);
            }
        }
    }

    /// When to go on without the change log; during shutdown in time for the last answers.
    fn end_of_catch_up(&self, since: Time) -> Time {
        let until = since + MAX_CATCH_UP;
        self.stopping_since.map_or(until, |_| until.min(self.last_answers_at(since)))
    }
}
