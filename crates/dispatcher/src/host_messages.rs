//! What hosts' actors are sent, by the router, by their connections and by themselves.
use crate::cancellation::CancelToken;
use crate::capacity::Reservation;
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

/// How far a hand-off has got on its way out: when it was wholly written, before which it can't have run.
#[derive(Clone, Debug, Default)]
pub struct SendState(Arc<AtomicU64>);

const UNSENT: u64 = 0;
const STARTED: u64 = 1;
const REVOKED: u64 = u64::MAX;

impl SendState {
    /// Guards against a hand-off that is written late, after its visit's final answer: one that is called off
    /// before its first byte stays unwritten.
    pub fn start(&self) -> bool {
        self.0.compare_exchange(UNSENT, STARTED, Relaxed, Relaxed).is_ok()
    }

    pub fn mark_written(&self) {
        self.0.store(clock::now().0, Relaxed);
    }

    /// Whether this came before the first byte, so that the hand-off never goes out.
    pub fn revoke(&self) -> bool {
        self.0.compare_exchange(UNSENT, REVOKED, Relaxed, Relaxed).is_ok()
    }

    pub fn is_revoked(&self) -> bool {
        self.0.load(Relaxed) == REVOKED
    }

    pub fn written_at(&self) -> Option<Time> {
        Some(self.0.load(Relaxed)).filter(|at| ![UNSENT, STARTED, REVOKED].contains(at)).map(Time)
    }
}

/// A hand-off as it goes out.
#[derive(Clone, Debug)]
pub struct HandOff {
    pub id: HandOffId,
    /// The client's id of the visit, which names the hand-off on the wire.
    pub txn: Bytes,
    /// All but how long an answer is waited for, which counts from when it goes out.
    pub fields: String,
    pub body: Bytes,
    /// The tag of the copy that the client holds.
    pub client_tag: Option<Bytes>,
    /// What answers it is a copy; a write's answer is none, also where it goes through a cache.
    pub expects_copy: bool,
    /// A miss is filled, from a source that gives what it lacks too.
    pub fills_miss: bool,
    /// Until when an answer may come.
    pub until: Time,
    /// It never begins past this.
    pub latest_start: Time,
    pub cancel: CancelToken,
    pub send_state: SendState,
}

impl HandOff {
    /// Whether its first byte goes out now; from then on it can't be called off unwritten. The one place that says so,
    /// for first, further, recorded and delayed ones: guards against what goes out though its time passed, or its
    /// client left, while it waited for a connection, a record or a slow host.
    pub fn start(&self, now: Time) -> bool {
        now < self.latest_start && self.cancel.check_live() && self.send_state.start()
    }

    pub fn head(&self, now: Time) -> Bytes {
        let wait = ((self.until - now).0 / 1000).max(1);
        resp::hand_off_head(&self.txn, &format!("{},w={wait}", self.fields), self.body.len())
    }
}

pub enum ToHost {
    HandOff(HandOff),
    Cancel(HandOffId),
    /// How busy is it?
    Probe(ProbeId),
    /// The hand-off's connection had to be up by now.
    ConnectTimeout(HandOffId),
    /// Whether it drains, and so takes nothing new.
    SetDraining(bool),
    Remove,
    Connected(ConnectionId, Arc<Connection>),
    CancelSent(ConnectionId, HandOffId, Time),
    /// It was not to begin any more when its turn came.
    NotStarted(ConnectionId, HandOffId),
    Answer(ConnectionId, Answer, Reservation, Time),
    Closed(ConnectionId, CloseReason, Time),
}

/// What the thread of all hosts is sent. It is one, however long the list: guards against fleets in which each
/// dispatcher keeps a thread for each host that it may never send to.
pub enum HostThreadMessage {
    AddHost(Box<NewHost>),
    ToHost(HostActorId, ToHost),
    Sweep(Time),
}

/// A host that begins, its actor made by the thread itself.
pub struct NewHost {
    pub name: String,
    pub address: SocketAddr,
    pub mailbox: HostMailbox,
    pub registration: Reservation,
}

/// A host's mailbox.
#[derive(Clone, Debug)]
pub struct HostMailbox {
    pub id: HostActorId,
    pub messages: Sender<HostThreadMessage>,
}

impl HostMailbox {
    /// Whether it was taken: it is until the thread of all hosts has ended.
    pub fn send(&self, message: ToHost) -> bool {
        self.messages.send(HostThreadMessage::ToHost(self.id, message)).is_ok()
    }
}
