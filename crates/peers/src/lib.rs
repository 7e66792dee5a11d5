//! The fleet's decisions on sockets, timers and the store: one UDP socket, one thread that reads it and one that
//! decides. What a dispatcher finds out goes in by [`Peers::send`], what holds for it comes out by the call it
//! gave at the start.
#![forbid(unsafe_code)]

mod clock;
mod control;
pub mod delivery;
#[cfg(feature = "faults")]
pub mod disk;
#[cfg(feature = "driven")]
pub mod driven;
pub mod error;
mod events;
mod keep;
pub mod link;
mod refusals;
mod run;

pub use error::Error;

use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, UnixTime};
use cherrypass_fleet::common::{Incarnation, MemberId};
pub use cherrypass_fleet::delivery::{ChangeNumber, LogId};
pub use cherrypass_fleet::limits::LimitKey;
use cherrypass_fleet::node::FleetNode;
use cherrypass_fleet::rollout::Record;
pub use cherrypass_fleet::rollout::{Figures, Order};
pub use cherrypass_fleet::verdicts::{FindingKind, UsedBy};
use cherrypass_fleet::{feed, limits, node, rollout};
use cherrypass_store::store::Store;
use clock::Clock;
use crossbeam_channel::Sender;
use delivery::{Delivered, Delivery, LogRead};
use events::{Events, Log};
use keep::Keeper;
use refusals::Refusals;
use run::{Input, Out, Peer, Role, Run, Waiting};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Members of one fleet at most; and of the followers.
pub const MEMBERS: usize = rollout::MAX_MEMBERS;
pub const FOLLOWERS: usize = 1_024;
/// What a message names of each member at most: an id and a run in ten bytes each; in the feed a number too.
const NAMED: usize = 20;
const PLACED: usize = 30;
/// What else such a message holds: numbers, ballots, steps, and the reason of a halt.
const BESIDE: usize = 1_024;
const _: () = assert!(MEMBERS * NAMED + BESIDE <= link::PAYLOAD_MOST);
const _: () = assert!(MEMBERS * PLACED + BESIDE <= link::PAYLOAD_MOST);
/// What the dispatcher told and the fleet's thread has not taken yet, at most.
const TOLD_MOST: usize = 16 << 10;
/// Of each thread.
const STACK: usize = 512 << 10;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    pub host: HostId,
    /// The host's start as the list gives it, the same at all dispatchers.
    pub since: Option<UnixTime>,
    pub kind: FindingKind,
    /// Hand-offs that speak for it.
    pub evidence: u32,
    /// How long ago the last of them did; zero where it stands now and no more is known.
    pub age: Span,
}

/// What the dispatcher tells the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum ToFleet {
    /// What it would use of a limit if it could; to be told again at least every 10 s while it lasts.
    Wants {
        key: LimitKey,
        amount: f64,
    },
    /// The `FromFleet::Part` of this key and number is in force. Untold, this member lends nothing of what it keeps.
    Taken {
        key: LimitKey,
        number: u64,
    },
    /// The most it used within the last second; for the event log alone.
    Used {
        key: LimitKey,
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
        since: Option<UnixTime>,
        used_by: UsedBy,
    },
    /// The host is draining or gone.
    Unlisted(HostId),
    Counted(Figures),
    /// `FromFleet::Rules` of this number can't be taken; the old ones stay in force.
    /// How many must say the same of a host, and which part of the location's dispatchers, by the rules in force.
    Weighed {
        tellers: u8,
        part: f64,
    },
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
    /// What was read of the change log; only where the delivery is on.
    LogRead(LogRead),
    /// As `Peers::stop`, without waiting.
    Stop,
}

/// What the fleet tells the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum FromFleet {
    /// Its part of a limit: `amount` until a point in time, from then on `after` without any further call. Answered
    /// by `ToFleet::Taken` with its number once it is in force.
    Part { key: LimitKey, number: u64, amount: f64, until: Instant, after: f64 },
    /// Others found a host bad, or that it just started; void from `until` on. `weight` is below 1, own evidence's.
    /// `age`: of the oldest evidence it rests on, at most.
    Hearsay {
        host: HostId,
        since: Option<UnixTime>,
        kind: FindingKind,
        weight: f64,
        until: Instant,
        age: Span,
        tellers: u8,
    },
    /// What was told of a host's being bad counts no more.
    Withdraw { host: HostId },
    /// Rules in force here from now on; number 0 and no text: those of the operators' file alone.
    Rules { number: u64, text: Arc<str> },
    /// Changes of the change log, and what is known of them.
    Delivered(Delivered),
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
    /// This process: one of the members, or of the followers.
    pub me: String,
    pub listen: SocketAddr,
    pub members: Vec<Member>,
    pub followers: Vec<Follower>,
    /// Names of locations, for orders.
    pub locations: BTreeMap<String, LocationId>,
    /// JSON lines for whoever judges a run; none, no cost.
    pub events: Option<PathBuf>,
    /// On loopback: status, and orders to the rollout.
    pub control: Option<SocketAddr>,
    /// The newest form of messages to write and to be written to; without it the newest that is known. To each member
    /// goes the newest that both have.
    pub form: Option<u8>,
    /// The periodic timer.
    pub every: Span,
    pub seed: u64,
    pub rooms: node::Settings,
    /// Absent: each reads the change log itself.
    pub delivery: Option<delivery::Set>,
}

impl Set {
    pub fn of(fleet: &str, me: &str, listen: SocketAddr) -> Set {
        Set {
            fleet: fleet.to_owned(),
            me: me.to_owned(),
            listen,
            members: Vec::new(),
            followers: Vec::new(),
            locations: BTreeMap::new(),
            events: None,
            control: None,
            form: None,
            every: Span::millis(50),
            seed: 0,
            rooms: node::Settings::default(),
            delivery: None,
        }
    }

    pub fn check(&self) -> Result<(), Error> {
        if !(1..=link::NAME_MOST).contains(&self.fleet.len()) {
            return Err(Error::Name { most: link::NAME_MOST });
        }
        let members = self.members.iter().map(|member| &member.name);
        let names: Vec<&String> = members.chain(self.followers.iter().map(|one| &one.name)).collect();
        let counts =
            [("members", self.members.len(), MEMBERS), ("followers", self.followers.len(), FOLLOWERS)];
        if let Some((what, found, most)) = counts.into_iter().find(|(_, found, most)| found > most) {
            return Err(Error::TooMany { what, found, most });
        }
        let mut seen = BTreeSet::new();
        if let Some(twice) = names.iter().find(|name| !seen.insert(MemberId::of(name))) {
            return Err(Error::Twice { name: twice.to_string() });
        }
        // Whoever only takes the delivery of changes needs no place in a list.
        let carriers = self.delivery.iter().flat_map(|delivery| &delivery.carriers);
        let unlisted = carriers.clone().find(|name| !self.members.iter().any(|one| one.name == **name));
        if let Some(name) =
            unlisted.or((!names.contains(&&self.me) && self.delivery.is_none()).then_some(&self.me))
        {
            return Err(Error::NotListed { name: name.clone() });
        }
        let (least, most) = (link::OLDEST, link::NEWEST);
        if let Some(found) = self.form.filter(|form| !(least..=most).contains(form)) {
            return Err(Error::Form { found, least, most });
        }
        if !(Span::millis(10)..=Span::millis(1_000)).contains(&self.every) {
            let found = format!("{} ms", self.every.0 / 1000);
            return Err(Error::Value { what: "the timer", found, wanted: "give 10 to 1000 ms" });
        }
        if let Some(at) = self.control.filter(|at| !at.ip().is_loopback()) {
            return Err(Error::NotLoopback { at });
        }
        let own = MemberId::of(&self.me);
        let ids: Vec<MemberId> = self.members.iter().map(|member| MemberId::of(&member.name)).collect();
        if let Some(limits) = self.rooms.limits.as_ref().filter(|_| ids.contains(&own)) {
            limits::Settings { interval: self.every, ..limits.clone() }.check(own, &ids)?;
        }
        if let Some(verdicts) = &self.rooms.verdicts {
            verdicts.check()?;
        }
        Ok(())
    }
}

/// What a member at work is given by whoever runs it.
struct Outside {
    keeper: Keeper,
    kept: Vec<Record>,
    log: Log,
    tell: Box<dyn Fn(FromFleet) + Send>,
    out: Out,
    own: Sender<Input>,
    waiting: Arc<Waiting>,
}

/// The rooms with all that is round them but threads and sockets; `set` has been checked.
fn assemble(set: Set, outside: Outside) -> Result<Run, Error> {
    let clock = Clock::start();
    let (me, incarnation) = (MemberId::of(&set.me), Incarnation(clock.unix));
    let own = set.members.iter().find(|member| member.name == set.me);
    let location = own.map(|own| own.location).unwrap_or_default();
    let listed: Vec<(MemberId, LocationId)> =
        set.members.iter().map(|member| (MemberId::of(&member.name), member.location)).collect();
    let followers: Vec<MemberId> = set.followers.iter().map(|one| MemberId::of(&one.name)).collect();
    let events = Events::open(set.events.as_deref(), &set.me, clock, outside.log.clone())?;
    let peers = peers_of(&set, me);
    let seed = set.seed ^ incarnation.0;
    let ahead = set.rooms.members.max_incarnation_lead;
    let now = clock.now();
    let role = match own {
        Some(_) => {
            let (kept, every) = (outside.kept, set.every);
            Role::Member(Box::new(FleetNode::new(
                set.rooms,
                me,
                incarnation,
                &listed,
                &followers,
                kept,
                every,
                seed,
                now,
            )))
        }
        None if !followers.contains(&me) => Role::Unlisted,
        None => {
            let ids: Vec<MemberId> = listed.iter().map(|(id, _)| *id).collect();
            let feed = feed::Settings { interval: set.every, ..set.rooms.feed };
            Role::Follower(Box::new(feed::Follower::new(feed, me, incarnation, &ids, now)))
        }
    };
    let delivery = set.delivery.map(|set| Delivery::start(set, me, seed ^ 5, now));
    Ok(Run {
        role,
        delivery,
        fleet: set.fleet,
        me,
        incarnation,
        location,
        form: set.form.unwrap_or(link::NEWEST),
        ahead,
        peers,
        out: outside.out,
        clock,
        events,
        keeper: outside.keeper,
        log: outside.log,
        tell: outside.tell,
        own: outside.own,
        waiting: outside.waiting,
        refusals: Refusals::default(),
        parts: BTreeMap::new(),
        number: 0,
    })
}

/// All others by their ids.
fn peers_of(set: &Set, me: MemberId) -> BTreeMap<MemberId, Peer> {
    let members = set.members.iter().map(|one| (&one.name, one.address, one.location));
    let followers = set.followers.iter().map(|one| (&one.name, one.address, LocationId::default()));
    let all = members.chain(followers);
    let mut peers: BTreeMap<MemberId, Peer> =
        all.map(|(name, at, place)| (MemberId::of(name), Peer::new(name, at, place))).collect();
    peers.remove(&me);
    peers
}

/// Tells the fleet, from any thread.
#[derive(Clone)]
pub struct ToPeers {
    to: Sender<Input>,
    waiting: Arc<Waiting>,
}

impl ToPeers {
    /// Never waits; where too much waits already it is let go, and told again by what is told periodically.
    pub fn send(&self, what: ToFleet) {
        if self.waiting.told.fetch_add(1, Relaxed) < TOLD_MOST || matches!(what, ToFleet::Stop) {
            let _ = self.to.send(Input::Told(what));
        } else {
            self.waiting.told.fetch_sub(1, Relaxed);
        }
    }
}

/// A member of a fleet at work. Dropping it leaves the fleet in order.
pub struct Peers {
    sender: ToPeers,
    socket: UdpSocket,
    server: Option<Arc<tiny_http::Server>>,
    threads: Vec<JoinHandle<()>>,
    control: Option<JoinHandle<()>>,
}

impl Peers {
    /// `tell` is called on the fleet's thread and must not wait; `log` takes lines for the operators.
    pub fn start(
        set: Set,
        store: Option<Arc<Store>>,
        tell: impl Fn(FromFleet) + Send + 'static,
        log: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<Peers, Error> {
        set.check()?;
        let log: Log = Arc::new(log);
        let listen = |error| Error::Listen { at: set.listen, error };
        let socket = UdpSocket::bind(set.listen).map_err(listen)?;
        // Guards against a full socket that holds up decisions: what can't be sent at once is lost, as on the way.
        socket.set_write_timeout(Some(Duration::from_millis(1))).map_err(listen)?;
        let (reading, waking) = (socket.try_clone().map_err(listen)?, socket.try_clone().map_err(listen)?);
        let server = set.control.map(|at| {
            let server = tiny_http::Server::http(at);
            server.map(Arc::new).map_err(|error| Error::Control { at, error: error.to_string() })
        });
        let server = server.transpose()?;
        let (to, inputs) = crossbeam_channel::unbounded();
        let waiting = Arc::new(Waiting::default());
        let (every, locations) = (set.every, set.locations.clone());
        let rolls = set.rooms.rollout.is_some() && set.members.iter().any(|member| member.name == set.me);
        let (keeper, kept) = Keeper::open(store.filter(|_| rolls), &log);
        let outside = Outside {
            keeper,
            kept,
            log,
            tell: Box::new(tell),
            out: Box::new(move |bytes, to| drop(socket.send_to(bytes, to))),
            own: to.clone(),
            waiting: waiting.clone(),
        };
        let run = assemble(set, outside)?;
        // From here on a thread that can't be started ends those that were.
        let mut own = Peers {
            sender: ToPeers { to, waiting },
            socket: waking,
            server,
            threads: Vec::new(),
            control: None,
        };
        let spawn = |name: &str, work: Box<dyn FnOnce() + Send>| {
            let builder = std::thread::Builder::new().name(name.to_owned()).stack_size(STACK);
            builder.spawn(work).map_err(Error::Thread)
        };
        own.threads.push(spawn("fleet", Box::new(move || run.run(&inputs, every)))?);
        let (to, waiting) = (own.sender.to.clone(), own.sender.waiting.clone());
        own.threads.push(spawn("fleet-link", Box::new(move || run::read(&reading, &to, &waiting)))?);
        if let Some(server) = own.server.clone() {
            let to = own.sender.to.clone();
            let work = Box::new(move || control::serve(server, to, locations));
            own.control = Some(spawn("fleet-control", work)?);
        }
        Ok(own)
    }

    /// As `ToPeers::send`.
    pub fn send(&self, what: ToFleet) {
        self.sender.send(what);
    }

    /// For threads that don't own this.
    pub fn sender(&self) -> ToPeers {
        self.sender.clone()
    }

    /// Where it listens, its port settled.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Leaves the fleet in order and ends the threads.
    pub fn stop(self) {}

    fn wake_reader(&self) {
        let Some(mut at) = self.address() else { return };
        if at.ip().is_unspecified() {
            let v4 = at.is_ipv4();
            at.set_ip(if v4 { Ipv4Addr::LOCALHOST.into() } else { Ipv6Addr::LOCALHOST.into() });
        }
        let _ = self.socket.send_to(&[], at);
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        let _ = self.sender.to.send(Input::Stop);
        if let Some(server) = &self.server {
            server.unblock();
        }
        for thread in std::mem::take(&mut self.threads) {
            // The fleet's thread comes first and says that it has ended.
            let _ = thread.join();
            self.sender.waiting.ended.store(true, Relaxed);
            self.wake_reader();
        }
        // One that waits for the rest of an order is left to end by itself.
        for _ in 0..50 {
            match self.control.take_if(|control| control.is_finished()) {
                Some(control) => drop(control.join()),
                None if self.control.is_some() => std::thread::sleep(Duration::from_millis(10)),
                None => break,
            }
        }
    }
}
