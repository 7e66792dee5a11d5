//! The fleet's decisions on sockets, timers and the store: one UDP socket, one thread that reads it and one that
//! decides. What a dispatcher finds out goes in by [`Peers::send`], what holds for it comes out by the call it
//! gave at the start.
#![forbid(unsafe_code)]

pub mod clock;
#[cfg(feature = "faults")]
pub mod disk;
pub mod error;
pub mod events;
pub mod link;

pub use error::Error;

use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use cherrypass_store::store::Store;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What holds for all dispatchers in sum. Amounts are in its own unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// Hand-offs out at the origin at once.
    Origin,
    /// Repeated hand-offs a second.
    Further,
    /// Part of a host's cold budget; the whole of it is 1.
    Cold(HostId),
}

/// What was found out about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    ShutOut,
    Slow,
    JustStarted,
    /// It can't be reached from this location.
    CutOff,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    pub host: HostId,
    /// The host's start as the list gives it, the same at all dispatchers.
    pub since: Option<Time>,
    pub kind: Kind,
    /// Hand-offs that speak for it.
    pub evidence: u32,
    /// How long ago the last of them did; zero where it stands now and no more is known.
    pub age: Span,
}

/// Who sends visits to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UsedBy {
    /// A cache: the dispatchers of its location.
    Location(LocationId),
    /// A parent or the origin: all.
    All,
}

/// What was counted since the last time this was told; to be told each second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub visits: u64,
    /// Settled within their quoted time.
    pub in_time: u64,
    pub turned_back: u64,
    pub written_off: u64,
    pub hand_offs: u64,
    /// Hosts that were newly shut out.
    pub shut_out: u64,
}

/// An order to the rollout of rules.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Start { number: u64, document: String },
    Halt,
    Resume,
    Back,
}

/// What the dispatcher tells the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum ToFleet {
    /// What it would use of a limit if it could; to be told again at least every 10 s while it lasts.
    Wants {
        key: Key,
        amount: f64,
    },
    /// The `FromFleet::Part` of this key and number is in force. Untold, this member lends nothing of what it keeps.
    Taken {
        key: Key,
        number: u64,
    },
    /// The most it used within the last second; for the event log alone.
    Used {
        key: Key,
        amount: f64,
    },
    /// Its own module holds this, by its own hand-offs alone; to be told again as evidence comes.
    Found(Finding),
    /// It holds the host to be bad no more.
    Cleared(HostId),
    /// Own hand-offs to a host went well after it was told to be bad.
    Refuted(HostId),
    /// The list's word on a host that is ready.
    Listed {
        host: HostId,
        since: Option<Time>,
        used_by: UsedBy,
    },
    /// The host is draining or gone.
    Unlisted(HostId),
    Counted(Figures),
    /// `FromFleet::Rules` of this number can't be taken; the old ones stay in force.
    NotTaken {
        number: u64,
        why: String,
    },
    /// The module has shut a host out, by what others told or by its own evidence; for the event log alone.
    Shut {
        host: HostId,
        told: bool,
    },
    /// It has taken a host back in; for the event log alone.
    Back {
        host: HostId,
    },
    Order(Order),
    /// As `Peers::stop`, without waiting.
    Stop,
}

/// What the fleet tells the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum FromFleet {
    /// Its part of a limit: `amount` until a point in time, from then on `after` without any further call. Answered
    /// by `ToFleet::Taken` with its number once it is in force.
    Part { key: Key, number: u64, amount: f64, until: Instant, after: f64 },
    /// Others found a host bad, or that it just started; void from `until` on. `weight` is below 1, own evidence's.
    /// `age`: of the oldest evidence it rests on, at most.
    Hearsay {
        host: HostId,
        since: Option<Time>,
        kind: Kind,
        weight: f64,
        until: Instant,
        age: Span,
        tellers: u8,
    },
    /// What was told of a host's being bad counts no more.
    Withdraw { host: HostId },
    /// Rules in force here from now on; number 0 and no text: those of the operators' file alone.
    Rules { number: u64, text: Arc<str> },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub name: String,
    /// Where this process sends to.
    pub address: SocketAddr,
    pub location: LocationId,
}

/// Takes the feed, has no say.
#[derive(Clone, Debug, PartialEq)]
pub struct Follower {
    pub name: String,
    pub address: SocketAddr,
}

/// What a fleet is told at its start.
#[derive(Clone, Debug)]
pub struct Set {
    pub fleet: String,
    /// This process: one of the members.
    pub me: String,
    pub listen: SocketAddr,
    pub members: Vec<Member>,
    pub followers: Vec<Follower>,
    /// JSON lines for whoever judges a run; none, no cost.
    pub events: Option<PathBuf>,
    /// On loopback: status, and orders to the rollout.
    pub control: Option<SocketAddr>,
    /// The form of messages to write; without it the newest that all listed members were seen to read.
    pub form: Option<u8>,
    /// The periodic timer.
    pub every: Duration,
    pub seed: u64,
}

impl Set {
    pub fn of(fleet: &str, me: &str, listen: SocketAddr) -> Set {
        Set {
            fleet: fleet.to_owned(),
            me: me.to_owned(),
            listen,
            members: Vec::new(),
            followers: Vec::new(),
            events: None,
            control: None,
            form: None,
            every: Duration::from_millis(50),
            seed: 0,
        }
    }
}

/// A member of a fleet at work. Dropping it leaves the fleet in order.
pub struct Peers {
    to: crossbeam_channel::Sender<ToFleet>,
}

impl Peers {
    /// `tell` is called on the fleet's thread and must not wait; `log` takes lines for the operators.
    pub fn start(
        set: Set,
        store: Option<Arc<Store>>,
        tell: impl Fn(FromFleet) + Send + 'static,
        log: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<Peers, Error> {
        let _ = (set, store, tell, log);
        let (to, _) = crossbeam_channel::bounded(1);
        Ok(Peers { to })
    }

    /// Never waits; where too much waits already it is let go, and told again by what is told periodically.
    pub fn send(&self, what: ToFleet) {
        let _ = self.to.try_send(what);
    }

    /// Leaves the fleet in order and ends the threads.
    pub fn stop(self) {}
}
