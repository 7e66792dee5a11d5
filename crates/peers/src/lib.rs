//! Runs the fleet protocols of `cherrypass-fleet` on a UDP socket, a timer and the store. One thread reads
//! the socket, another runs the event loop. The dispatcher sends its messages with [`Peers::send`] and
//! receives those of the fleet through the callback given to [`Peers::start`].
#![forbid(unsafe_code)]

mod clock;
mod control;
pub mod delivery;
#[cfg(feature = "faults")]
pub mod disk;
#[cfg(feature = "driven")]
pub mod driven;
pub mod error;
mod event_loop;
mod events;
pub mod link;
mod rejection_log;
mod rollout_store;

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
use delivery::{Delivery, DeliveryEvent, LogRead};
use event_loop::{Backlog, EventLoop, Input, Peer, Role, SendDatagram};
use events::{Events, Log};
use rejection_log::RejectionLog;
use rollout_store::RolloutStore;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of members of a fleet, and of its followers.
pub const MAX_MEMBERS: usize = rollout::MAX_MEMBERS;
pub const MAX_FOLLOWERS: usize = 1_024;
/// Maximum encoded size of one member in a message: id and incarnation at ten bytes each; in the feed also a
/// number.
const MEMBER_BYTES: usize = 20;
const FEED_MEMBER_BYTES: usize = 30;
/// Maximum encoded size of the rest of such a message: numbers, ballots, steps and the reason of a halt.
const OTHER_BYTES: usize = 1_024;
const _: () = assert!(MAX_MEMBERS * MEMBER_BYTES + OTHER_BYTES <= link::MAX_PAYLOAD_BYTES);
const _: () = assert!(MAX_MEMBERS * FEED_MEMBER_BYTES + OTHER_BYTES <= link::MAX_PAYLOAD_BYTES);
/// Maximum number of dispatcher messages that may wait for the event loop.
const MAX_WAITING_DISPATCHER_MESSAGES: usize = 16 << 10;
const THREAD_STACK_BYTES: usize = 512 << 10;

/// What this dispatcher found out about a host from its own hand-offs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    pub host: HostId,
    /// Start time of the host as given by the host list; identical at all dispatchers.
    pub started_at: Option<UnixTime>,
    pub kind: FindingKind,
    /// Number of hand-offs that support the finding.
    pub evidence: u32,
    /// Age of the latest of them; zero where the finding holds now and nothing more is known.
    pub age: Span,
}

/// A message from the dispatcher to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum ToFleet {
    /// What the dispatcher would use of a limit; has to be repeated at least every 10 s while it lasts.
    Demand { key: LimitKey, amount: f64 },
    /// The `FromFleet::Part` of this key and number is in force. Until this is confirmed, the member lends
    /// nothing.
    AllowanceApplied { key: LimitKey, number: u64 },
    /// Peak use within the last second. Only written to the event log.
    PeakUse { key: LimitKey, amount: f64 },
    /// A finding based only on own hand-offs; sent again when there is new evidence.
    Finding(Finding),
    /// The earlier finding about this host no longer holds.
    Recovery(HostId),
    /// Own hand-offs to a host succeeded although others reported it as failing.
    VerdictRefuted(HostId),
    /// The host list has this host in service.
    HostListed { host: HostId, started_at: Option<UnixTime>, used_by: UsedBy },
    /// The host is draining or no longer listed.
    HostUnlisted(HostId),
    /// Traffic figures of the last period, for the rollout.
    Figures(Figures),
    /// Verdict thresholds of the rules in force: how many dispatchers must report the same about a host, and
    /// which fraction of those at the location.
    VerdictThresholds { reporters: u8, location_fraction: f64 },
    /// `FromFleet::Rules` of this number can't be applied; the previous rules stay in force.
    RulesRejected { number: u64, reason: String },
    /// A host was ejected, because of reports (`told` in the event log) or own evidence. Only logged.
    HostEjected { host: HostId, by_reports: bool },
    /// A host was readmitted. Only written to the event log.
    HostReadmitted { host: HostId },
    /// An operator order to the rollout.
    Order(Order),
    /// Changes read from the change log. Only used where delivery is configured.
    LogRead(LogRead),
    /// Stops the event loop, like `Peers::stop` but without waiting.
    Stop,
}

/// A message from the fleet to the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum FromFleet {
    /// This dispatcher's allowance of a limit: `amount` until `until`, then `after` without a further
    /// message. The dispatcher answers with `ToFleet::Taken` and the same number once it is in force.
    Allowance { key: LimitKey, number: u64, amount: f64, until: Instant, after: f64 },
    /// Other dispatchers report that a host is failing or has restarted; expires at `until`. `weight` is
    /// relative to own evidence and below 1, `age` the maximum age of the underlying evidence.
    Verdict {
        host: HostId,
        started_at: Option<UnixTime>,
        kind: FindingKind,
        weight: f64,
        until: Instant,
        age: Span,
        reporters: u8,
    },
    /// The verdict on this host no longer holds.
    WithdrawVerdict { host: HostId },
    /// Rules in force here from now on. Number 0 with an empty text: only those of the operator file.
    Rules { number: u64, text: Arc<str> },
    /// A message of the delivery of the change log.
    Delivery(DeliveryEvent),
}

/// A configured member of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub name: String,
    /// Address that this process sends to.
    pub address: SocketAddr,
    pub location: LocationId,
}

/// A configured follower: receives the feed, takes part in no decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Follower {
    pub name: String,
    pub address: SocketAddr,
}

/// Settings of a fleet as seen by one process.
#[derive(Clone, Debug)]
pub struct Settings {
    pub fleet: String,
    /// Name of this process; one of the members or followers.
    pub own_name: String,
    pub listen: SocketAddr,
    pub members: Vec<Member>,
    pub followers: Vec<Follower>,
    /// Locations by name, for orders that name them.
    pub locations: BTreeMap<String, LocationId>,
    /// File of the event log; without it no events are collected.
    pub events: Option<PathBuf>,
    /// Address of the control listener; has to be on loopback.
    pub control: Option<SocketAddr>,
    /// Newest message form to read and write; the newest known one by default. Each pair of members uses the
    /// newest form that both support.
    pub newest_form: Option<u8>,
    /// Interval of the periodic timer.
    pub timer_interval: Span,
    pub seed: u64,
    pub protocols: node::Settings,
    /// Without it, each process reads the change log itself.
    pub delivery: Option<delivery::Settings>,
}

impl Settings {
    /// Default settings without members.
    pub fn new(fleet: &str, me: &str, listen: SocketAddr) -> Settings {
        Settings {
            fleet: fleet.to_owned(),
            own_name: me.to_owned(),
            listen,
            members: Vec::new(),
            followers: Vec::new(),
            locations: BTreeMap::new(),
            events: None,
            control: None,
            newest_form: None,
            timer_interval: Span::millis(50),
            seed: 0,
            protocols: node::Settings::default(),
            delivery: None,
        }
    }

    /// Checks the settings for errors that prevent a start.
    pub fn check(&self) -> Result<(), Error> {
        if !(1..=link::MAX_NAME_BYTES).contains(&self.fleet.len()) {
            return Err(Error::InvalidName { most: link::MAX_NAME_BYTES });
        }
        let members = self.members.iter().map(|member| &member.name);
        let names: Vec<&String> =
            members.chain(self.followers.iter().map(|follower| &follower.name)).collect();
        let counts = [
            ("members", self.members.len(), MAX_MEMBERS),
            ("followers", self.followers.len(), MAX_FOLLOWERS),
        ];
        if let Some((what, found, most)) = counts.into_iter().find(|(_, found, most)| found > most) {
            return Err(Error::TooManyListed { what, found, most });
        }
        let mut seen = BTreeSet::new();
        if let Some(twice) = names.iter().find(|name| !seen.insert(MemberId::of(name))) {
            return Err(Error::DuplicateName { name: twice.to_string() });
        }
        // A process that only receives change log records need not be listed.
        let carriers = self.delivery.iter().flat_map(|delivery| &delivery.carriers);
        let unlisted = carriers.clone().find(|name| !self.members.iter().any(|member| member.name == **name));
        if let Some(name) = unlisted
            .or((!names.contains(&&self.own_name) && self.delivery.is_none()).then_some(&self.own_name))
        {
            return Err(Error::NotListed { name: name.clone() });
        }
        let (least, most) = (link::OLDEST_FORM, link::NEWEST_FORM);
        if let Some(found) = self.newest_form.filter(|form| !(least..=most).contains(form)) {
            return Err(Error::UnsupportedForm { found, least, most });
        }
        if !(Span::millis(10)..=Span::millis(1_000)).contains(&self.timer_interval) {
            let found = format!("{} ms", self.timer_interval.0 / 1000);
            return Err(Error::InvalidValue { what: "the timer", found, wanted: "give 10 to 1000 ms" });
        }
        if let Some(at) = self.control.filter(|at| !at.ip().is_loopback()) {
            return Err(Error::NotLoopback { at });
        }
        let own = MemberId::of(&self.own_name);
        let ids: Vec<MemberId> = self.members.iter().map(|member| MemberId::of(&member.name)).collect();
        if let Some(limits) = self.protocols.limits.as_ref().filter(|_| ids.contains(&own)) {
            limits::Settings { interval: self.timer_interval, ..limits.clone() }.check(own, &ids)?;
        }
        if let Some(verdicts) = &self.protocols.verdicts {
            verdicts.check()?;
        }
        Ok(())
    }
}

/// What the event loop needs from its environment, with or without threads.
struct Environment {
    rollout_store: RolloutStore,
    stored_records: Vec<Record>,
    log: Log,
    notify_dispatcher: Box<dyn Fn(FromFleet) + Send>,
    send_datagram: SendDatagram,
    own_inputs: Sender<Input>,
    backlog: Arc<Backlog>,
}

/// Builds the event loop without threads and sockets; `settings` has been checked.
fn assemble(settings: Settings, environment: Environment) -> Result<EventLoop, Error> {
    let clock = Clock::start();
    let (me, incarnation) = (MemberId::of(&settings.own_name), Incarnation(clock.start_unix));
    let own = settings.members.iter().find(|member| member.name == settings.own_name);
    let location = own.map(|own| own.location).unwrap_or_default();
    let listed: Vec<(MemberId, LocationId)> =
        settings.members.iter().map(|member| (MemberId::of(&member.name), member.location)).collect();
    let followers: Vec<MemberId> =
        settings.followers.iter().map(|follower| MemberId::of(&follower.name)).collect();
    let events =
        Events::open(settings.events.as_deref(), &settings.own_name, clock, environment.log.clone())?;
    let peers = peers_of(&settings, me);
    let seed = settings.seed ^ incarnation.0;
    let max_incarnation_lead = settings.protocols.members.max_incarnation_lead;
    let now = clock.now();
    let role = match own {
        Some(_) => {
            let (records, every) = (environment.stored_records, settings.timer_interval);
            Role::Member(Box::new(FleetNode::new(
                settings.protocols,
                me,
                incarnation,
                &listed,
                &followers,
                records,
                every,
                seed,
                now,
            )))
        }
        None if !followers.contains(&me) => Role::Unlisted,
        None => {
            let ids: Vec<MemberId> = listed.iter().map(|(id, _)| *id).collect();
            let feed = feed::Settings { interval: settings.timer_interval, ..settings.protocols.feed };
            Role::Follower(Box::new(feed::Follower::new(feed, me, incarnation, &ids, now)))
        }
    };
    let delivery = settings.delivery.map(|delivery| Delivery::start(delivery, me, seed ^ 5, now));
    Ok(EventLoop {
        role,
        delivery,
        fleet: settings.fleet,
        me,
        incarnation,
        location,
        form: settings.newest_form.unwrap_or(link::NEWEST_FORM),
        max_incarnation_lead,
        peers,
        send_datagram: environment.send_datagram,
        clock,
        events,
        rollout_store: environment.rollout_store,
        log: environment.log,
        notify_dispatcher: environment.notify_dispatcher,
        own_inputs: environment.own_inputs,
        backlog: environment.backlog,
        rejections: RejectionLog::default(),
        allowances: BTreeMap::new(),
        last_allowance_number: 0,
    })
}

/// All other members and followers by id.
fn peers_of(settings: &Settings, me: MemberId) -> BTreeMap<MemberId, Peer> {
    let members = settings.members.iter().map(|member| (&member.name, member.address, member.location));
    let followers =
        settings.followers.iter().map(|follower| (&follower.name, follower.address, LocationId::default()));
    let all = members.chain(followers);
    let mut peers: BTreeMap<MemberId, Peer> =
        all.map(|(name, at, location)| (MemberId::of(name), Peer::new(name, at, location))).collect();
    peers.remove(&me);
    peers
}

/// Sends dispatcher messages to the fleet, from any thread.
#[derive(Clone)]
pub struct PeersSender {
    inputs: Sender<Input>,
    backlog: Arc<Backlog>,
}

impl PeersSender {
    /// Never blocks. Drops the message if too many are waiting; periodic messages make up for that.
    pub fn send(&self, what: ToFleet) {
        if self.backlog.dispatcher_messages.fetch_add(1, Relaxed) < MAX_WAITING_DISPATCHER_MESSAGES
            || matches!(what, ToFleet::Stop)
        {
            let _ = self.inputs.send(Input::FromDispatcher(what));
        } else {
            self.backlog.dispatcher_messages.fetch_sub(1, Relaxed);
        }
    }
}

/// A running member of a fleet. Dropping it leaves the fleet in order.
pub struct Peers {
    sender: PeersSender,
    socket: UdpSocket,
    server: Option<Arc<tiny_http::Server>>,
    threads: Vec<JoinHandle<()>>,
    control: Option<JoinHandle<()>>,
}

impl Peers {
    /// `notify` is called on the event loop's thread and must not block; `log` receives lines for the operator.
    pub fn start(
        settings: Settings,
        store: Option<Arc<Store>>,
        notify: impl Fn(FromFleet) + Send + 'static,
        log: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<Peers, Error> {
        settings.check()?;
        let log: Log = Arc::new(log);
        let listen = |error| Error::Listen { at: settings.listen, error };
        let socket = UdpSocket::bind(settings.listen).map_err(listen)?;
        // A full send buffer must not delay decisions: a datagram that can't be sent at once is dropped.
        socket.set_write_timeout(Some(Duration::from_millis(1))).map_err(listen)?;
        let (reading, waking) = (socket.try_clone().map_err(listen)?, socket.try_clone().map_err(listen)?);
        let server = settings.control.map(|at| {
            let server = tiny_http::Server::http(at);
            server.map(Arc::new).map_err(|error| Error::Control { at, error: error.to_string() })
        });
        let server = server.transpose()?;
        let (to, inputs) = crossbeam_channel::unbounded();
        let backlog = Arc::new(Backlog::default());
        let (every, locations) = (settings.timer_interval, settings.locations.clone());
        let has_rollout = settings.protocols.rollout.is_some()
            && settings.members.iter().any(|member| member.name == settings.own_name);
        let (rollout_store, stored_records) = RolloutStore::open(store.filter(|_| has_rollout), &log);
        let environment = Environment {
            rollout_store,
            stored_records,
            log,
            notify_dispatcher: Box::new(notify),
            send_datagram: Box::new(move |bytes, to| drop(socket.send_to(bytes, to))),
            own_inputs: to.clone(),
            backlog: backlog.clone(),
        };
        let run = assemble(settings, environment)?;
        // From here on, dropping `own` stops the threads already started if a later one fails to start.
        let mut own = Peers {
            sender: PeersSender { inputs: to, backlog },
            socket: waking,
            server,
            threads: Vec::new(),
            control: None,
        };
        let spawn = |name: &str, work: Box<dyn FnOnce() + Send>| {
            let builder = std::thread::Builder::new().name(name.to_owned()).stack_size(THREAD_STACK_BYTES);
            builder.spawn(work).map_err(Error::Thread)
        };
        own.threads.push(spawn("fleet", Box::new(move || run.run(&inputs, every)))?);
        let (to, backlog) = (own.sender.inputs.clone(), own.sender.backlog.clone());
        own.threads.push(spawn(
            "fleet-link",
            Box::new(move || event_loop::receive_datagrams(&reading, &to, &backlog)),
        )?);
        if let Some(server) = own.server.clone() {
            let to = own.sender.inputs.clone();
            let work = Box::new(move || control::serve(server, to, locations));
            own.control = Some(spawn("fleet-control", work)?);
        }
        Ok(own)
    }

    /// See [`PeersSender::send`].
    pub fn send(&self, what: ToFleet) {
        self.sender.send(what);
    }

    /// A sender for use on other threads.
    pub fn sender(&self) -> PeersSender {
        self.sender.clone()
    }

    /// The bound address of the UDP socket.
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
        let _ = self.sender.inputs.send(Input::Stop);
        if let Some(server) = &self.server {
            server.unblock();
        }
        for thread in std::mem::take(&mut self.threads) {
            // The event loop is joined first; the receiver ends once the flag is set.
            let _ = thread.join();
            self.sender.backlog.has_ended.store(true, Relaxed);
            self.wake_reader();
        }
        // The control thread may be blocked reading a request body: wait at most 0.5 s for it.
        for _ in 0..50 {
            match self.control.take_if(|control| control.is_finished()) {
                Some(control) => drop(control.join()),
                None if self.control.is_some() => std::thread::sleep(Duration::from_millis(10)),
                None => break,
            }
        }
    }
}
