//! Watches how long the change log has been silent, and limits the age of copies meanwhile.
use super::state::{Router, SWEEP_INTERVAL};
use crate::change_log::MAX_ANNOUNCEMENT_DELAY;
use crate::clock;
use crate::fleet_connection::FleetConnection;
use cherrypass::time::{Span, Time};

/// How long the process waits for the change log once its lease has expired.
const MAX_CATCH_UP: Span = Span::millis(150);

impl Router {
    /// All changes that the change log had at this time are applied.
    pub(super) fn changelog_read(&mut self, at: Time) {
        self.changelog_read_at = self.changelog_read_at.max(at);
        self.lease.prove(at);
        self.check_changelog();
    }

    /// Limits the age of copies while the change log is silent, as it may have purges to tell. Drains can't
    /// be guarded against: any host may be draining, and only sending to none would be safe.
    pub(super) fn check_changelog(&mut self) {
        // With carriers the fleet proves that no change is missing.
        if self.fleet_connection.as_ref().is_some_and(FleetConnection::has_carriers) {
            return;
        }
        let silent_for = clock::now() - self.changelog_read_at;
        let is_silent =
            silent_for + SWEEP_INTERVAL >= MAX_ANNOUNCEMENT_DELAY + self.config.settings.purge_obey_time;
        if std::mem::replace(&mut self.is_changelog_silent, is_silent) == is_silent {
            return;
        }
        self.engine.set_log_silent(is_silent.then_some(MAX_ANNOUNCEMENT_DELAY));
        let ms = silent_for.0 / 1000;
        if is_silent {
            // Hand-offs that have not been sent were decided without the limit.
            let fills = self.hand_offs.iter().filter(|(_, pending)| pending.fill.is_some());
            self.redecide_unsent(fills.map(|(id, _)| *id).collect());
            tracing::warn!(
                "changelog silent for {ms} ms: only copies are accepted that no missed purge can concern"
            );
        } else {
            tracing::info!("changelog answers again: the age of copies is limited by known purges only");
        }
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
