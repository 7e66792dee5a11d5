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
    /// See [`HandOff::fills_miss`].
    pub(super) fills_miss: bool,
    /// An earlier hand-off of the same request was answered on this connection.
    pub(super) is_repeat: bool,
    pub(super) deadline: Time,
    pub(super) send_state: SendState,
}

impl PendingHandOff {
    pub(super) fn new(hand_off: &HandOff, is_repeat: bool) -> PendingHandOff {
        PendingHandOff {
            id: hand_off.id,
            txn: hand_off.txn.clone(),
            client_tag: hand_off.client_tag.clone(),
            expects_copy: hand_off.expects_copy,
            fills_miss: hand_off.fills_miss,
            is_repeat,
            deadline: hand_off.deadline,
            send_state: hand_off.send_state.clone(),
        }
    }
}

/// A hand-off that was answered and may be handed off again.
pub(super) struct AnsweredHandOff {
    /// When the hand-off's deadline ends.
    pub(super) until: Time,
    pub(super) is_miss: bool,
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
    /// Cancelled ids, and until when a late answer to them is possible.
    pub(super) cancelled: BTreeMap<Txn, Time>,
    /// Ids answered on this connection that may be handed off again.
    pub(super) answered: BTreeMap<Txn, AnsweredHandOff>,
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
            cancelled: BTreeMap::new(),
            answered: BTreeMap::new(),
            unsent_cancels: Vec::new(),
            last_used: clock::now(),
            retire_reason: None,
            is_closing: false,
            _reservation: Some(reservation),
        }
    }

    /// Whether a hand-off with this id may be sent on the connection.
    pub(super) fn accepts(&self, txn: Txn, streams: usize) -> bool {
        // A late answer to a cancelled hand-off must not be taken for one to the visit's next hand-off, nor
        // must a duplicate of an earlier answer; duplicates of a miss can be told apart.
        let answered = self.answered.get(&txn).is_some_and(|answered| !answered.is_miss);
        let in_use = self.in_flight.contains_key(&txn) || self.cancelled.contains_key(&txn) || answered;
        self.is_usable() && !in_use && self.in_flight.len() < streams
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
