//! A process of followers: each takes the log's changes as a dispatcher does, by the product's own code of the fleet
//! (`Driven`) and of the thread that follows the log (`changes::follow`), over a socket of its own. It has no clients,
//! no connections to hosts and no module.
use super::clock::{Clock, Micros};
use super::link::{Link, LinkFault};
use super::notes::{Event, Note, Notes};
use crate::error::{doing, Error};
use crate::real;
use crate::rooms;
use cherrypass::ids::LocationId;
use cherrypass_dispatcher::carried_changes;
use cherrypass_dispatcher::change_log::{self, FollowOptions};
use cherrypass_dispatcher::inbox::{Change, Input};
use cherrypass_fleet::delivery::{LogId, Set as Room};
use cherrypass_peers::delivery::{Delivered, Set as Delivery};
use cherrypass_peers::driven::Driven;
use cherrypass_peers::{ChangeNumber, FromFleet, Member, Set, ToFleet};
use crossbeam_channel::{never, unbounded, Receiver, Sender};
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The rest between two looks at all sockets.
const REST: Duration = Duration::from_millis(1);
const DATAGRAM_MOST: usize = 64 << 10;
/// A change's bytes at most.
const CHANGE_MOST: usize = 1 << 20;
const STACK_BYTES: usize = 256 << 10;
const TRAFFIC_EVERY_US: Micros = 1_000_000;

/// A carrier as followers know it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Carrier {
    pub name: String,
    pub address: SocketAddr,
}

/// What a process of followers is told, as a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Orders {
    /// The first follower's number, and how many there are.
    pub first: usize,
    pub count: usize,
    pub carriers: Vec<Carrier>,
    pub log_name: String,
    pub followers_a_carrier: usize,
    pub fallback_ms: u64,
    /// Where the log is read.
    pub log: SocketAddr,
    /// The last change that is known at the start.
    pub known: u64,
    pub zones: Vec<String>,
    pub faults: Vec<LinkFault>,
    pub notes: PathBuf,
    pub seed: u64,
}

fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Follower {
    number: usize,
    driven: Driven,
    link: Arc<Mutex<Link>>,
    /// What its thread that follows the log tells the fleet, and the router.
    to_fleet: Receiver<ToFleet>,
    router: Receiver<Input>,
    /// What the fleet tells it.
    from_fleet: Receiver<Delivered>,
    to_thread: Sender<Delivered>,
}

impl Follower {
    fn start(
        orders: &Orders,
        number: usize,
        clock: Clock,
        faults: Arc<[LinkFault]>,
    ) -> Result<Follower, Error> {
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = UdpSocket::bind(at).map_err(|error| Error::InUse { what: "a follower", at, error })?;
        socket.set_nonblocking(true).map_err(doing("a follower's socket"))?;
        let address = socket.local_addr().map_err(doing("a follower's address"))?;
        let seed = orders.seed ^ number as u64;
        let link = Arc::new(Mutex::new(Link::new(Arc::new(socket), faults, seed)));
        let sends = link.clone();
        let out = move |bytes: &[u8], to| held(&sends).send(clock.now(), to, bytes);
        let (tell, from_fleet) = unbounded();
        let tell = move |what| {
            if let FromFleet::Delivered(delivered) = what {
                let _ = tell.send(delivered);
            }
        };
        let driven = Driven::start(set(orders, number, address), out, tell, |_| {})?;
        let (to_thread, delivered) = unbounded();
        let (tell_fleet, to_fleet) = unbounded();
        let (tell_router, router) = unbounded();
        let delivery = carried_changes::Delivery {
            from_fleet: delivered,
            to_fleet: Box::new(move |what| drop(tell_fleet.send(what))),
            is_carrier: false,
        };
        let following = FollowOptions {
            address: orders.log,
            new_addresses: never(),
            names: real::names(&orders.zones),
            last_change: orders.known,
            max_change_bytes: CHANGE_MOST,
            seed,
            router: tell_router,
            delivery: Some(delivery),
        };
        let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
        thread.spawn(move || change_log::follow(following)).map_err(doing("a follower's thread"))?;
        Ok(Follower { number, driven, link, to_fleet, router, from_fleet, to_thread })
    }

    /// Does what is due.
    fn work(&mut self, clock: Clock, buffer: &mut [u8], notes: &mut Notes) -> Result<(), Error> {
        held(&self.link).receive(clock.now(), buffer);
        loop {
            let came = held(&self.link).next(clock.now());
            let Some((bytes, from)) = came else { break };
            self.driven.datagram(&bytes, from);
        }
        while let Ok(what) = self.to_fleet.try_recv() {
            self.driven.told(what);
        }
        if Instant::now() >= self.driven.due() {
            self.driven.woken();
        }
        let at = clock.now();
        while let Ok(delivered) = self.from_fleet.try_recv() {
            if let Delivered::ReadLog(reads) = delivered {
                notes.add(&self.note(at, Event::ReadsLog(reads)))?;
            }
            let _ = self.to_thread.send(delivered);
        }
        while let Ok(input) = self.router.try_recv() {
            if let Some(event) = event(&input, clock) {
                notes.add(&self.note(at, event))?;
            }
        }
        Ok(())
    }

    fn note(&self, at: Micros, event: Event) -> Note {
        Note { follower: self.number, at, event }
    }

    fn traffic(&self, at: Micros) -> Note {
        let mut link = held(&self.link);
        let (messages, bytes) = (std::mem::take(&mut link.messages), std::mem::take(&mut link.bytes));
        self.note(at, Event::Traffic { messages, bytes })
    }
}

fn set(orders: &Orders, number: usize, address: SocketAddr) -> Set {
    let member =
        |one: &Carrier| Member { name: one.name.clone(), address: one.address, location: LocationId(0) };
    let mut set = Set::of(rooms::FLEET, &format!("f{number}"), address);
    set.members = orders.carriers.iter().map(member).collect();
    (set.every, set.seed) = (rooms::EVERY, orders.seed ^ number as u64);
    let room = Room {
        log: LogId::of(&orders.log_name),
        followers: orders.followers_a_carrier,
        fallback: cherrypass::time::Span::millis(orders.fallback_ms),
        ..Room::default()
    };
    let carriers = orders.carriers.iter().map(|one| one.name.clone()).collect();
    set.delivery = Some(Delivery { carriers, last: ChangeNumber(orders.known), room });
    set
}

/// What the dispatcher's router would do with it, as far as it is noted.
fn event(input: &Input, clock: Clock) -> Option<Event> {
    match input {
        Input::Change(Change::Purge(purge)) => Some(Event::Took(purge.change_number)),
        Input::Fleet(FromFleet::Delivered(Delivered::KnownUpTo(at))) => Some(Event::KnownUpTo(clock.of(*at))),
        _ => None,
    }
}

/// Runs followers by a file of orders until standard input ends, which the run's own end brings about in any case.
pub fn run(orders: &Path) -> Result<(), Error> {
    let text = std::fs::read_to_string(orders).map_err(doing("a file of orders"))?;
    let orders: Orders =
        serde_json::from_str(&text).map_err(|error| doing("a file of orders")(error.into()))?;
    let ended = Arc::new(AtomicBool::new(false));
    let ends = ended.clone();
    std::thread::spawn(move || {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        ends.store(true, Relaxed);
    });
    let clock = Clock::start()?;
    let mut notes = Notes::create(&orders.notes)?;
    let faults: Arc<[LinkFault]> = orders.faults.clone().into();
    let mut followers = Vec::new();
    for number in orders.first..orders.first + orders.count {
        notes.add(&Note { follower: number, at: clock.now(), event: Event::Started })?;
        followers.push(Follower::start(&orders, number, clock, faults.clone())?);
    }
    let mut buffer = vec![0; DATAGRAM_MOST];
    let mut counted = clock.now();
    while !ended.load(Relaxed) {
        for follower in &mut followers {
            follower.work(clock, &mut buffer, &mut notes)?;
        }
        if clock.now() >= counted + TRAFFIC_EVERY_US {
            counted = clock.now();
            followers.iter().try_for_each(|one| notes.add(&one.traffic(counted)))?;
        }
        notes.flush()?;
        std::thread::sleep(REST);
    }
    Ok(())
}
