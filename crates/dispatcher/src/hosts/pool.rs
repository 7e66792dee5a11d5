//! A connection of a host's pool, with the hand-offs assigned to it.
use super::outgoing::QueuedWrite;
use crate::capacity::Reservation;
use crate::clock;
use crate::connection::{CloseReason, Connection};
use crate::host_messages::{HandOff, SendState};
use crate::ids::{HandOffId, Txn};
use bytes::Bytes;
use cherrypass::time::Time;
use crossbeam_channel::Sender;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A hand-off assigned to a connection and not answered yet.
pub(super) struct PendingHandOff {
    pub(super) id: HandOffId,
    /// The transaction id as it appears on the wire.
    pub(super) txn: Bytes,
    pub(super) client_tag: Option<Bytes>,
    pub(super) expects_copy: bool,
    pub(super) deadline: Time,
    /// See [`HandOff::visit_deadline`].
    pub(super) visit_deadline: Time,
    pub(super) send_state: SendState,
}

impl PendingHandOff {
    pub(super) fn new(hand_off: &HandOff) -> PendingHandOff {
        PendingHandOff {
            id: hand_off.id,
            txn: hand_off.txn.clone(),
            client_tag: hand_off.client_tag.clone(),
            expects_copy: hand_off.expects_copy,
            deadline: hand_off.deadline,
            visit_deadline: hand_off.visit_deadline,
            send_state: hand_off.send_state.clone(),
        }
    }
}

/// A connection of a host's pool.
pub(super) struct PooledConnection {
    pub(super) connection: Option<Arc<Connection>>,
    /// When the connection was established.
    pub(super) up_since: Option<Time>,
    /// The thread that writes all messages once one could not be written without blocking.
    pub(super) slow_writer: Option<Sender<QueuedWrite>>,
    pub(super) hand_off_count: u64,
    /// Hand-offs that wait for the connection to be established.
    pub(super) waiting: VecDeque<HandOff>,
    pub(super) in_flight: BTreeMap<Txn, PendingHandOff>,
    /// Ids whose hand-off on this connection has ended without the visit being served, each until the visit's
    /// deadline. A late answer to such a hand-off, or a second copy of its answer, can't be told from the answer
    /// to a further hand-off with the same id, so the connection is not used for one.
    pub(super) used_ids: BTreeMap<Txn, Time>,
    /// Cancelled hand-offs whose cancel has not been written yet.
    pub(super) unsent_cancels: Vec<HandOffId>,
    pub(super) last_used: Time,
    /// If set, the connection takes no more hand-offs and closes with this reason once none is in flight.
    pub(super) retire_reason: Option<CloseReason>,
    pub(super) is_closing: bool,
    _reservation: Option<Reservation>,
}

impl PooledConnection {
    /// A connection that is being established.
    pub(super) fn new(reservation: Reservation) -> PooledConnection {
        PooledConnection {
            connection: None,
            up_since: None,
            slow_writer: None,
            hand_off_count: 0,
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
            used_ids: BTreeMap::new(),
            unsent_cancels: Vec::new(),
            last_used: clock::now(),
            retire_reason: None,
            is_closing: false,
            _reservation: Some(reservation),
        }
    }

    /// Whether a hand-off with this id may be sent on the connection once fewer are in flight.
    pub(super) fn is_usable_for(&self, txn: Txn) -> bool {
        self.is_usable() && !self.in_flight.contains_key(&txn) && !self.used_ids.contains_key(&txn)
    }

    /// Whether a hand-off with this id may be sent on the connection now.
    pub(super) fn accepts(&self, txn: Txn, streams: usize) -> bool {
        self.is_usable_for(txn) && self.in_flight.len() < streams
    }

    /// Notes that a hand-off, which may have been sent, has ended without the visit being served.
    pub(super) fn mark_used(&mut self, txn: Txn, visit_deadline: Time) {
        self.used_ids.insert(txn, visit_deadline);
    }

    /// Whether the connection may take more hand-offs.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_closing && self.retire_reason.is_none()
    }

    pub(super) fn is_idle(&self) -> bool {
        !self.is_closing && self.connection.is_some() && self.in_flight.is_empty()
    }

    /// Closes the connection. One that is still connecting keeps its reservation until the connect ends, as
    /// it keeps its descriptor.
    pub(super) fn close(&mut self, reason: CloseReason) {
        self.is_closing = true;
        if let Some(connection) = &self.connection {
            self._reservation = None;
            connection.shut_down(reason);
        }
    }
}
