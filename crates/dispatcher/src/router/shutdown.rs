//! Shuts the process down: serves requests for a grace period, then closes connections once they are unused.
use super::state::{Router, Timer};
use crate::clients::Stage;
use crate::clock;
use cherrypass::ids::VisitId;
use cherrypass::time::{Span, Time};

/// How long after SIGTERM requests may still arrive: 0.6 s by the protocol, and a margin for latency.
const STOPPING_GRACE: Span = Span::millis(1_000);
/// After SIGTERM the process is killed no sooner than the longest deadline, limited to this, plus 0.7 s.
const MAX_STOPPING_DEADLINE: Span = Span::millis(3_000);
const LAST_ANSWERS_MARGIN: Span = Span::millis(400);
const LAST_WRITES_MARGIN: Span = Span::millis(200);
const CLOSING_CHECK_INTERVAL: Span = Span::millis(20);

impl Router {
    /// Begins the shutdown, once.
    pub(super) fn stop(&mut self) {
        let now = clock::now();
        if self.stopping_since.is_none() {
            tracing::info!(visits = self.visits.len(), "stopping: {} visits open", self.visits.len());
            self.stopping_since = Some(now);
            self.shutdown.advance_to(Stage::Stopping);
            self.timers.push((now + STOPPING_GRACE).min(self.last_answers_at(now)), Timer::CloseConnections);
        }
    }

    /// When visits still open after SIGTERM are given up.
    pub(super) fn last_answers_at(&self, now: Time) -> Time {
        self.stopping_since.unwrap_or(now)
            + self.config.longest_deadline().min(MAX_STOPPING_DEADLINE)
            + LAST_ANSWERS_MARGIN
    }

    /// Closes connections that are not in use, and ends the process once none is left; requests are served
    /// until then. Visits that are still open shortly before the process may be killed are given up, so that
    /// they get an answer.
    pub(super) fn close_connections(&mut self, now: Time) {
        self.shutdown.advance_to(Stage::Closing);
        let unread: usize = self.clients.values().map(|client| client.outlet.queued()).sum();
        let last_answers_at = self.last_answers_at(now);
        if now > last_answers_at {
            self.give_up_open_visits();
        }
        if self.visits.is_empty() && unread == 0 && self.shutdown.is_all_closed()
            || now > last_answers_at + LAST_WRITES_MARGIN
        {
            self.log_latencies();
            tracing::info!("stopped: {} visits open, {unread} answers unread", self.visits.len());
            self.is_done = true;
        } else {
            self.timers.push(now + CLOSING_CHECK_INTERVAL, Timer::CloseConnections);
        }
    }

    fn give_up_open_visits(&mut self) {
        let open: Vec<VisitId> = self.visits.keys().copied().collect();
        open.into_iter().for_each(|visit| self.engine.finish_unserved(visit));
        self.carry_out_decisions();
    }
}
