//! A connection of a host's pool, with the hand-offs assigned to it.
use super::outgoing::QueuedWrite;
use crate::capacity::Reservation;
use crate::clock;
use crate::connection::{CloseReason, Connection};
use crate::host_messages::{HandOff, SendState};
use crate::ids::{HandOffId, Txn};
use bytes::Bytes;
use cherrypass::calls::Outcome;
use cherrypass::time::Time;
use crossbeam_channel::Sender;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// How many used ids a connection remembers. Past that it is retired, so that their memory is bounded whatever time
/// clients give their requests.
pub const MAX_USED_IDS: usize = 512;

/// A hand-off assigned to a connection and not answered yet.
pub(super) struct PendingHandOff {
    pub(super) id: HandOffId,
    /// The transaction id as it appears on the wire.
    pub(super) txn: Bytes,
    pub(super) client_tag: Option<Bytes>,
    pub(super) expects_copy: bool,
    /// See [`HandOff::can_miss`].
    pub(super) can_miss: bool,
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
            can_miss: hand_off.can_miss,
            deadline: hand_off.deadline,
            visit_deadline: hand_off.visit_deadline,
            send_state: hand_off.send_state.clone(),
        }
    }
}

/// An id whose hand-offs on a connection have all ended without the visit being served.
pub(super) struct UsedId {
    /// The visit is not handed off again after this.
    pub(super) visit_deadline: Time,
    /// Whether all of them were answered by a miss that was possible. A second copy of one is a miss too, which ends no
    /// hand-off that can't be answered by one.
    pub(super) has_only_missed: bool,
}

/// What decides which connections a hand-off may be sent on.
#[derive(Clone, Copy)]
pub(super) struct HandOffKey {
    pub(super) txn: Txn,
    pub(super) can_miss: bool,
}

impl From<&HandOff> for HandOffKey {
    fn from(hand_off: &HandOff) -> HandOffKey {
        HandOffKey { txn: Txn::parse(&hand_off.txn), can_miss: hand_off.can_miss }
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
    /// Ids that were sent on this connection. A late answer to such a hand-off, or a second copy of its answer, must
    /// not end a further hand-off with the same id.
    pub(super) used_ids: BTreeMap<Txn, UsedId>,
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

    /// Whether the answers to a hand-off can be told from those to earlier ones with its id on this connection.
    pub(super) fn can_tell_apart(&self, key: HandOffKey) -> bool {
        self.used_ids.get(&key.txn).is_none_or(|used| used.has_only_missed && !key.can_miss)
    }

    /// Whether a hand-off may be sent on the connection once fewer are in flight.
    pub(super) fn is_usable_for(&self, key: HandOffKey) -> bool {
        self.is_usable() && !self.in_flight.contains_key(&key.txn) && self.can_tell_apart(key)
    }

    /// Whether a hand-off may be sent on the connection now.
    pub(super) fn accepts(&self, key: HandOffKey, streams: usize) -> bool {
        self.is_usable_for(key) && self.in_flight.len() < streams
    }

    /// Notes that a hand-off, which may have been sent, has ended without the visit being served.
    pub(super) fn mark_used(&mut self, txn: Txn, ended: &PendingHandOff, outcome: Outcome) {
        let visit_deadline = ended.visit_deadline;
        let has_missed = outcome == Outcome::Miss && ended.can_miss;
        let used = self.used_ids.entry(txn).or_insert(UsedId { visit_deadline, has_only_missed: true });
        used.has_only_missed &= has_missed;
        if self.used_ids.len() >= MAX_USED_IDS {
            self.retire_reason.get_or_insert(CloseReason::IdsUsedUp);
        }
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
