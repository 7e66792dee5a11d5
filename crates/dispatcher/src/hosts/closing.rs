//! Closes connections to a host, and handles those that have closed.
use super::host::Host;
use super::pool::PooledConnection;
use crate::clock;
use crate::config::HostConnectionLimits;
use crate::connection::{CloseReason, Connection};
use crate::ids::{ConnectionId, HandOffId};
use crate::inbox::{FromHost, Input};
use cherrypass::calls::Outcome;
use cherrypass::time::Time;

/// Share of the connect timeout without a byte after which a late answer has stopped.
const MAX_SILENCE_SHARE: f64 = 0.5;

impl Host {
    /// Reports the hand-offs of a connection that has closed.
    pub(super) fn connection_closed(&mut self, id: ConnectionId, reason: CloseReason, at: Time) {
        let Some(pooled) = self.pool.remove(&id) else { return };
        self.connection_lost(&pooled, reason);
        self.log_closed(id, reason, pooled.hand_off_count);
        for id in pooled.unsent_cancels {
            let _ = self.shared.router.send(Input::HandOff(id, FromHost::CancelSent { at }));
        }
        for pending in pooled.in_flight.into_values() {
            // A hand-off that was not completely written can't have run.
            let may_have_run = pending.send_state.written_at().is_some();
            let outcome = if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed };
            self.report_end(pending.id, outcome, None, at);
        }
    }

    fn log_closed(&self, id: ConnectionId, reason: CloseReason, hand_offs: u64) {
        let (name, line, code) = (&self.name, id.0, reason.code());
        tracing::info!(
            host = &name[..],
            line,
            code,
            hand_offs,
            "host {name} connection {line} closed: {code} after {hand_offs} hand-offs"
        );
    }

    /// Handles the loss of a connection. If the host's process may have ended and no connection that was up
    /// at the time is left, the router is notified, and hand-offs that wait for a connection are decided again,
    /// as they were decided for the old process.
    fn connection_lost(&mut self, lost: &PooledConnection, reason: CloseReason) {
        let last_read_at = lost.connection.as_ref().map(|connection| connection.last_read_at());
        let was_beside = |other: &PooledConnection| match (other.up_since, last_read_at) {
            (Some(up_since), Some(last_read_at)) => other.is_usable() && up_since <= last_read_at,
            (up_since, _) => other.is_usable() && up_since.is_some(),
        };
        // Nothing is known of a process that was never reached but what is listed.
        let may_be_new = !self.is_removed && self.was_up && reason.may_be_process_end();
        if !may_be_new || self.pool.values().any(was_beside) {
            return;
        }
        let _ = self.shared.router.send(Input::HostReset(self.mailbox.id));
        self.return_waiting();
    }

    /// Returns the hand-offs that wait for a connection to the router.
    fn return_waiting(&mut self) {
        let mut waiting = Vec::new();
        for pooled in self.pool.values_mut() {
            let ids: Vec<HandOffId> = pooled.waiting.drain(..).map(|waits| waits.id).collect();
            pooled.in_flight.retain(|_, pending| !ids.contains(&pending.id));
            waiting.extend(ids);
        }
        waiting.into_iter().for_each(|id| self.report_end(id, Outcome::NotSent, None, clock::now()));
    }

    /// Closes connections without hand-offs in flight if the host was removed or they are being retired.
    /// Hand-offs in flight may still be answered; each has its timeout.
    pub(super) fn close_unused(&mut self) {
        let removed = Some(CloseReason::HostRemoved).filter(|_| self.is_removed);
        let unused =
            self.pool.values_mut().filter(|pooled| !pooled.is_closing && pooled.in_flight.is_empty());
        for pooled in unused {
            if let Some(reason) = pooled.retire_reason.or(removed) {
                pooled.close(reason);
            }
        }
    }

    /// Closes stalled connections, and idle ones before the host closes them.
    pub(super) fn sweep(&mut self, now: Time) {
        let idle = self.shared.limits.idle_timeout.times(0.8);
        for pooled in self.pool.values_mut() {
            pooled.used_ids.retain(|_, used| now < used.visit_deadline);
            let Some(connection) = pooled.connection.as_ref().filter(|_| !pooled.is_closing) else {
                continue;
            };
            // An incomplete answer that stalls or trickles blocks all answers after it.
            if is_answer_stalled(connection, now, &self.shared.limits) {
                pooled.close(CloseReason::MessageTimeout);
            } else if pooled.in_flight.is_empty() && now - pooled.last_used > idle {
                pooled.close(CloseReason::Idle);
            }
        }
    }
}

/// Whether an incomplete answer takes longer than the connect timeout, and has stopped or comes too slowly to be complete
/// in time. One that goes on at a sound pace is waited for: its hand-off has its own deadline.
fn is_answer_stalled(connection: &Connection, now: Time, limits: &HostConnectionLimits) -> bool {
    let Some(partial_for) = connection.partial_for(now).filter(|span| *span > limits.connect_timeout) else {
        return false;
    };
    let late_seconds = partial_for.as_seconds() - limits.connect_timeout.as_seconds();
    let has_stopped = now - connection.last_read_at() > limits.connect_timeout.times(MAX_SILENCE_SHARE);
    has_stopped || (connection.partial_bytes() as f64) < limits.min_answer_pace * late_seconds
}
