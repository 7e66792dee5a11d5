//! Messages to the host actors, from the router and from the hosts' connections.
use crate::cancellation::{CancelToken, Liveness};
use crate::capacity::Reservation;
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::connection::{CloseReason, Connection};
use crate::ids::{ConnectionId, HandOffId, HostActorId, ProbeId};
use crate::resp::{self, Answer};
use bytes::Bytes;
use cherrypass::time::Time;
use crossbeam_channel::Sender;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// How far a hand-off has been sent, shared between the router and the writing threads. A hand-off that was
/// not completely written cannot have run.
#[derive(Clone, Debug, Default)]
pub struct SendState(Arc<AtomicU64>);

const UNSENT: u64 = 0;
const STARTED: u64 = 1;
const REVOKED: u64 = u64::MAX;

impl SendState {
    /// Claims the hand-off for writing its first byte; false if it was revoked.
    pub fn start(&self) -> bool {
        self.0.compare_exchange(UNSENT, STARTED, Relaxed, Relaxed).is_ok()
    }

    /// Records that the hand-off was written completely.
    pub fn mark_written(&self) {
        self.0.store(clock::now().0, Relaxed);
    }

    /// Prevents the hand-off from being sent; false if sending has already started.
    pub fn revoke(&self) -> bool {
        self.0.compare_exchange(UNSENT, REVOKED, Relaxed, Relaxed).is_ok()
    }

    pub fn is_revoked(&self) -> bool {
        self.0.load(Relaxed) == REVOKED
    }

    /// When the hand-off was written completely, if it was.
    pub fn written_at(&self) -> Option<Time> {
        Some(self.0.load(Relaxed)).filter(|at| ![UNSENT, STARTED, REVOKED].contains(at)).map(Time)
    }
}

/// An attempt of a visit, to be sent to a host.
#[derive(Clone, Debug)]
pub struct HandOff {
    pub id: HandOffId,
    /// The client's id of the visit, which identifies the hand-off on the wire.
    pub txn: Bytes,
    /// The encoded fields except the time left for the answer, which is added when the hand-off is sent.
    pub fields: String,
    pub body: Bytes,
    /// The tag of the copy that the client has cached.
    pub client_tag: Option<Bytes>,
    /// Whether the answer is a cached copy; the answer to a write is not, even through a cache.
    pub expects_copy: bool,
    /// Whether the host may answer with a miss: it has no source to fill from, or one that gives only what it holds.
    pub can_miss: bool,
    /// Deadline for the answer.
    pub deadline: Time,
    /// When the client stops waiting; the visit is not handed off again after that.
    pub visit_deadline: Time,
    /// Sending must not start after this.
    pub latest_start: Time,
    pub cancel: CancelToken,
    pub send_state: SendState,
}

/// Why a hand-off must not be sent when its turn comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// It is too late, its client has left, or it was revoked.
    Expired,
    /// It was decided by a list or purges that may be outdated.
    Outdated,
    /// Its client may have left: too much that it has written is unread.
    ClientUnread,
}

/// A hand-off that failed [`HandOff::start`] when its turn came.
pub struct UnstartedHandOff {
    pub hand_off: Box<HandOff>,
    pub reason: NotStarted,
}

impl HandOff {
    /// Claims the hand-off for sending, and returns when. Every hand-off passes this check right before its first
    /// byte, however long it waited for a connection, a record or a slow host. The clock is read last, so that a
    /// stop of the process during the other checks is noticed.
    pub fn start(&self, lease: &ChangeLogLease) -> Result<Time, NotStarted> {
        match self.cancel.check() {
            Liveness::Live => {}
            Liveness::Cancelled => return Err(NotStarted::Expired),
            Liveness::Unknown => return Err(NotStarted::ClientUnread),
        }
        let now = clock::now();
        if now >= self.latest_start {
            return Err(NotStarted::Expired);
        }
        if !lease.is_valid(now) {
            return Err(NotStarted::Outdated);
        }
        self.send_state.start().then_some(now).ok_or(NotStarted::Expired)
    }

    /// The encoded request up to its body.
    pub fn head(&self, now: Time) -> Bytes {
        let wait = ((self.deadline - now).0 / 1000).max(1);
        resp::hand_off_head(&self.txn, &format!("{},w={wait}", self.fields), self.body.len())
    }
}

/// A message to one host's actor.
pub enum ToHost {
    HandOff(HandOff),
    Cancel(HandOffId),
    /// Ask the host for its load.
    Probe(ProbeId),
    /// The connect timeout of the hand-off's connection has passed.
    ConnectTimeout(HandOffId),
    /// Whether the host is draining and must get no new hand-offs.
    SetDraining(bool),
    /// The host is no longer listed.
    Remove,
    Connected(ConnectionId, Arc<Connection>),
    /// A cancel was written.
    CancelSent(ConnectionId, HandOffId, Time),
    NotStarted(ConnectionId, UnstartedHandOff),
    Answer(ConnectionId, Answer, Reservation, Time),
    Closed(ConnectionId, CloseReason, Time),
}

/// A message to the thread that runs all host actors. A single thread serves them all, so that long lists of
/// hosts don't cost a thread each.
pub enum HostThreadMessage {
    AddHost(Box<NewHost>),
    ToHost(HostActorId, ToHost),
    Sweep(Time),
}

/// A host for which the thread creates an actor.
pub struct NewHost {
    pub name: String,
    pub address: SocketAddr,
    pub mailbox: HostMailbox,
    pub registration: Reservation,
}

/// The sending side of a host actor's mailbox.
#[derive(Clone, Debug)]
pub struct HostMailbox {
    pub id: HostActorId,
    pub messages: Sender<HostThreadMessage>,
}

impl HostMailbox {
    /// Sends a message; false once the hosts' thread has ended.
    pub fn send(&self, message: ToHost) -> bool {
        self.messages.send(HostThreadMessage::ToHost(self.id, message)).is_ok()
    }
}
