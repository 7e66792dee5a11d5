//! Assigns hand-offs to the connections of a host, and cancels or revokes them.
use super::host::Host;
use super::outgoing::Outgoing;
use super::pool::{HandOffKey, PendingHandOff, PooledConnection};
use crate::clock;
use crate::connection::{CloseReason, Connection};
use crate::host_messages::{HandOff, NotStarted, UnstartedHandOff};
use crate::ids::{ConnectionId, HandOffId};
use crate::inbox::{FromHost, Input};
use crate::resp;
use cherrypass::calls::Outcome;
use cherrypass::time::Time;
use std::cmp::Reverse;
use std::sync::Arc;

/// A connection takes more hand-offs up to its maximum divided by this before another one is opened.
const LIGHT_LOAD_DIVISOR: usize = 8;

impl Host {
    /// Assigns a hand-off to the connection with the fewest in flight, or to a new one if that is loaded and
    /// the host's share of connections allows it.
    pub(super) fn hand_off(&mut self, hand_off: HandOff) {
        if self.is_draining || self.is_removed {
            self.report_end(hand_off.id, Outcome::Expired, None, clock::now());
            return;
        }
        let key = HandOffKey::from(&hand_off);
        let connection = self.connection_for(key);
        let Some(pooled) = connection.and_then(|id| self.pool.get_mut(&id)) else {
            // A lack of connections doesn't count as a failure of the host.
            self.report_end(hand_off.id, Outcome::Expired, None, clock::now());
            return;
        };
        pooled.in_flight.insert(key.txn, PendingHandOff::new(&hand_off));
        match connection.filter(|_| pooled.connection.is_some()) {
            Some(id) => self.write(id, Outgoing::HandOff(hand_off)),
            None => pooled.waiting.push_back(hand_off),
        }
    }

    /// The connection with the fewest hand-offs in flight, or a new one if that is loaded.
    fn connection_for(&mut self, key: HandOffKey) -> Option<ConnectionId> {
        let streams = self.shared.limits.streams_per_connection;
        let free = self.pool.iter().filter(|(_, pooled)| pooled.accepts(key, streams));
        let best = free.min_by_key(|(_, pooled)| {
            (pooled.in_flight.len(), pooled.connection.is_none(), Reverse(pooled.last_used))
        });
        let best = best.map(|(id, pooled)| (*id, pooled.in_flight.len()));
        match best {
            Some((id, load)) if load < (streams / LIGHT_LOAD_DIVISOR).max(1) => Some(id),
            loaded => self.open_connection(Some(key)).or(loaded.map(|(id, _)| id)),
        }
    }

    /// Opens a connection if the host's share allows it. Those that can't be used again for the id of the hand-off
    /// to be sent don't count: a visit may be handed off again to a host that has a single connection.
    pub(super) fn open_connection(&mut self, key: Option<HandOffKey>) -> Option<ConnectionId> {
        let is_counted = |pooled: &&PooledConnection| {
            pooled.is_usable() && key.is_none_or(|key| pooled.can_tell_apart(key))
        };
        let usable = self.pool.values().filter(is_counted).count();
        if self.is_removed || usable >= self.shared.capacity.connections_per_host() {
            return None;
        }
        let reservation = self.shared.capacity.reserve_connection()?;
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.shared.connections.open(self.address, &self.mailbox, id);
        self.pool.insert(id, PooledConnection::new(reservation));
        Some(id)
    }

    pub(super) fn cancel(&mut self, id: HandOffId) {
        let now = clock::now();
        let in_flight = self.pool.iter_mut().find_map(|(connection, pooled)| {
            let txn = *pooled.in_flight.iter().find(|(_, pending)| pending.id == id)?.0;
            Some((*connection, pooled.in_flight.remove(&txn)?, txn, pooled))
        });
        let Some((connection, pending, txn, pooled)) = in_flight else { return };
        pooled.last_used = now;
        pooled.waiting.retain(|hand_off| hand_off.id != id);
        if pending.send_state.is_revoked() {
            return;
        }
        pooled.unsent_cancels.push(id);
        pooled.mark_used(txn, &pending, Outcome::Cancelled);
        // A silent connection would look the least loaded; it must not get new hand-offs.
        let is_silent = |connection: &Arc<Connection>| {
            pending.send_state.written_at().is_some_and(|at| connection.last_read_at() < at)
        };
        if now >= pending.deadline && pooled.connection.as_ref().is_some_and(is_silent) {
            pooled.retire_reason = Some(CloseReason::Silent);
        }
        self.write(connection, Outgoing::Cancel(id, resp::cancel_request(&pending.txn)));
    }

    /// A hand-off's cancel was written.
    pub(super) fn cancel_sent(&mut self, connection: ConnectionId, id: HandOffId, at: Time) {
        if let Some(pooled) = self.pool.get_mut(&connection) {
            pooled.unsent_cancels.retain(|cancelled| *cancelled != id);
            let _ = self.shared.router.send(Input::HandOff(id, FromHost::CancelSent { at }));
        }
    }

    /// A hand-off was not sent, as it could not be started when its turn came. An outdated one is decided again; one
    /// whose client has unread input goes back to the router, which sends it again.
    pub(super) fn not_started(&mut self, connection: ConnectionId, unstarted: UnstartedHandOff) {
        let Some(pooled) = self.pool.get_mut(&connection) else { return };
        let UnstartedHandOff { hand_off, reason } = unstarted;
        let id = hand_off.id;
        let is_held_back = reason == NotStarted::ClientUnread;
        let mut ended = pooled
            .in_flight
            .extract_if(.., |_, pending| pending.id == id && (is_held_back || pending.send_state.revoke()));
        if ended.next().is_none() {
            return;
        }
        drop(ended);
        match reason {
            NotStarted::Expired => self.report_end(id, Outcome::Expired, None, clock::now()),
            NotStarted::Outdated => self.report_end(id, Outcome::NotSent, None, clock::now()),
            NotStarted::ClientUnread => {
                let _ = self.shared.router.send(Input::HandOff(id, FromHost::HeldBack(hand_off)));
            }
        }
    }

    /// The hand-off's connection was not established in time.
    pub(super) fn time_out_connect(&mut self, id: HandOffId) {
        self.shared.connections.time_out_connects(clock::now());
        let waits = |pooled: &PooledConnection| pooled.waiting.iter().any(|hand_off| hand_off.id == id);
        if let Some(pooled) = self.pool.values_mut().find(|pooled| waits(pooled)) {
            pooled.waiting.retain(|hand_off| hand_off.id != id);
            pooled.in_flight.retain(|_, pending| pending.id != id);
            self.report_end(id, Outcome::ConnectFailed, None, clock::now());
        }
    }

    /// Revokes the hand-offs that have not been sent to a draining or removed host, where they could wait
    /// past the grace of the drain. They don't count as failures of the host.
    pub(super) fn revoke_unsent(&mut self) {
        if !self.is_draining && !self.is_removed {
            return;
        }
        let mut revoked = Vec::new();
        for pooled in self.pool.values_mut() {
            pooled.waiting.clear();
            pooled.in_flight.retain(|_, pending| {
                let is_revoked = pending.send_state.revoke();
                revoked.extend(is_revoked.then_some(pending.id));
                !is_revoked
            });
        }
        revoked.into_iter().for_each(|id| self.report_end(id, Outcome::Expired, None, clock::now()));
    }
}
