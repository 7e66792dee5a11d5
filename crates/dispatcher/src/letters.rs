//! What hosts' actors are sent, by the router, by their connections and by themselves.
use crate::bounds::Held;
use crate::clock;
use crate::ids::{HandOffId, HostNo, LineId, ProbeNo};
use crate::line::{Code, Line};
use crate::resp::{self, Answer};
use crate::wanted::Wanted;
use bytes::Bytes;
use cherrypass::time::Time;
use crossbeam_channel::Sender;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// How far a hand-off has got on its way out: when it was wholly written, before which it can't have run.
#[derive(Clone, Debug, Default)]
pub struct Way(Arc<AtomicU64>);

const WAITS: u64 = 0;
const BEGUN: u64 = 1;
const OFF: u64 = u64::MAX;

impl Way {
    /// Guards against a hand-off that is written late, after its visit's final answer: one that is called off
    /// before its first byte stays unwritten.
    pub fn begin(&self) -> bool {
        self.0.compare_exchange(WAITS, BEGUN, Relaxed, Relaxed).is_ok()
    }

    pub fn written(&self) {
        self.0.store(clock::now().0, Relaxed);
    }

    /// Whether this came before the first byte, so that the hand-off never goes out.
    pub fn call_off(&self) -> bool {
        self.0.compare_exchange(WAITS, OFF, Relaxed, Relaxed).is_ok()
    }

    pub fn is_off(&self) -> bool {
        self.0.load(Relaxed) == OFF
    }

    pub fn written_at(&self) -> Option<Time> {
        Some(self.0.load(Relaxed)).filter(|at| ![WAITS, BEGUN, OFF].contains(at)).map(Time)
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
    pub seen: Option<Bytes>,
    /// What answers it is a copy; a write's answer is none, also where it goes through a cache.
    pub copy: bool,
    /// A miss is filled, from a source that gives what it lacks too.
    pub fills: bool,
    /// Until when an answer may come.
    pub until: Time,
    /// It never begins past this.
    pub latest: Time,
    pub wanted: Wanted,
    pub way: Way,
}

impl HandOff {
    /// Whether its first byte goes out now; from then on it can't be called off unwritten. The one place that says so,
    /// for first, further, recorded and delayed ones: guards against what goes out though its time passed, or its
    /// client left, while it waited for a connection, a record or a slow host.
    pub fn begin(&self, now: Time) -> bool {
        now < self.latest && self.wanted.look() && self.way.begin()
    }

    pub fn head(&self, now: Time) -> Bytes {
        let wait = ((self.until - now).0 / 1000).max(1);
        resp::want(&self.txn, &format!("{},w={wait}", self.fields), self.body.len())
    }
}

pub enum ToHost {
    HandOff(HandOff),
    NeverMind(HandOffId),
    /// How busy is it?
    Probe(ProbeNo),
    /// The hand-off's connection had to be up by now.
    ConnectLimit(HandOffId),
    /// Whether it drains, and so takes nothing new.
    Drains(bool),
    Retire,
    Up(LineId, Arc<Line>),
    GivenUp(LineId, HandOffId, Time),
    /// It was not to begin any more when its turn came.
    Unsent(LineId, HandOffId),
    Answered(LineId, Answer, Held, Time),
    Closed(LineId, Code, Time),
}

/// What the thread of all hosts is sent. It is one, however long the list: guards against fleets in which each
/// dispatcher keeps a thread for each host that it may never send to.
pub enum Letter {
    Join(Box<Newcomer>),
    For(HostNo, ToHost),
    Sweep(Time),
}

/// A host that begins, its actor made by the thread itself.
pub struct Newcomer {
    pub name: String,
    pub address: SocketAddr,
    pub own: Mailbox,
    pub joined: Held,
}

/// A host's mailbox.
#[derive(Clone, Debug)]
pub struct Mailbox {
    pub number: HostNo,
    pub letters: Sender<Letter>,
}

impl Mailbox {
    /// Whether it was taken: it is until the thread of all hosts has ended.
    pub fn send(&self, message: ToHost) -> bool {
        self.letters.send(Letter::For(self.number, message)).is_ok()
    }
}
