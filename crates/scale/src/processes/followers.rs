//! A process of followers: each takes changes as a dispatcher does, with the product's fleet code (`DrivenMember`)
//! and log client (`changes::follow`), over its own socket. It has no clients, host connections or decision
//! module.
use super::clock::{Clock, Micros};
use super::link::{Link, LinkFault};
use super::notes::{Event, Note, Notes};
use crate::error::{io_error, Error};
use crate::real;
use crate::subsystems;
use cherrypass::ids::LocationId;
use cherrypass::time::Span;
use cherrypass_dispatcher::carried_changes;
use cherrypass_dispatcher::change_log::{self, FollowOptions};
use cherrypass_dispatcher::change_log_lease::ChangeLogLease;
use cherrypass_dispatcher::inbox::{Change, Input};
use cherrypass_fleet::delivery::{LogId, Settings as DeliveryParameters};
use cherrypass_peers::delivery::{DeliveryEvent, Settings as Delivery};
use cherrypass_peers::driven::DrivenMember;
use cherrypass_peers::{ChangeNumber, FromFleet, Member, Settings, ToFleet};
use crossbeam_channel::{never, unbounded, Receiver, Sender};
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Sleep between two rounds over all sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
const MAX_CHANGE_BYTES: usize = 1 << 20;
const STACK_BYTES: usize = 256 << 10;
/// A follower sends no attempts that would need the lease, so it never has to expire.
const LEASE: Span = Span::millis(86_400_000);
const TRAFFIC_NOTE_INTERVAL_US: Micros = 1_000_000;

/// A carrier's name and address.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Carrier {
    pub name: String,
    pub address: SocketAddr,
}

/// Parameters of a process of followers, passed as a JSON file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowersConfig {
    /// Number of the first follower, and how many there are.
    pub first: usize,
    pub count: usize,
    pub carriers: Vec<Carrier>,
    pub log_name: String,
    #[serde(rename = "followers_a_carrier")]
    pub max_followers_per_carrier: usize,
    pub fallback_ms: u64,
    /// Address of the change log.
    #[serde(rename = "log")]
    pub log_address: SocketAddr,
    /// The last change known at the start.
    #[serde(rename = "known")]
    pub known_change: u64,
    pub zones: Vec<String>,
    pub faults: Vec<LinkFault>,
    #[serde(rename = "notes")]
    pub notes_file: PathBuf,
    pub seed: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Follower {
    number: usize,
    driven: DrivenMember,
    link: Arc<Mutex<Link>>,
    /// From its log client thread, to the fleet code and to the router.
    to_fleet: Receiver<ToFleet>,
    router: Receiver<Input>,
    /// From the fleet code, to its log client thread.
    from_fleet: Receiver<DeliveryEvent>,
    to_thread: Sender<DeliveryEvent>,
}

impl Follower {
    fn start(
        config: &FollowersConfig,
        number: usize,
        clock: Clock,
        faults: Arc<[LinkFault]>,
    ) -> Result<Follower, Error> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = UdpSocket::bind(address).map_err(|error| Error::AddressInUse {
            listener: "a follower",
            address,
            error,
        })?;
        socket.set_nonblocking(true).map_err(io_error("a follower's socket"))?;
        let address = socket.local_addr().map_err(io_error("a follower's address"))?;
        let seed = config.seed ^ number as u64;
        let link = Arc::new(Mutex::new(Link::new(Arc::new(socket), faults, seed)));
        let send_link = link.clone();
        let out = move |bytes: &[u8], to| lock(&send_link).send(clock.now(), to, bytes);
        let (to_follower, from_fleet) = unbounded();
        let on_event = move |event| {
            if let FromFleet::Delivery(delivered) = event {
                let _ = to_follower.send(delivered);
            }
        };
        let driven = DrivenMember::start(fleet_settings(config, number, address), out, on_event, |_| {})?;
        let (to_thread, delivered) = unbounded();
        let (fleet_sender, to_fleet) = unbounded();
        let (router_sender, router) = unbounded();
        let delivery = carried_changes::Delivery {
            from_fleet: delivered,
            to_fleet: Box::new(move |message| drop(fleet_sender.send(message))),
            is_carrier: false,
        };
        let following = FollowOptions {
            address: config.log_address,
            new_addresses: never(),
            names: real::change_names(&config.zones),
            last_change: config.known_change,
            max_change_bytes: MAX_CHANGE_BYTES,
            seed,
            router: router_sender,
            lease: ChangeLogLease::new(LEASE),
            delivery: Some(delivery),
        };
        let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
        thread.spawn(move || change_log::follow(following)).map_err(io_error("a follower's thread"))?;
        Ok(Follower { number, driven, link, to_fleet, router, from_fleet, to_thread })
    }

    /// Handles received datagrams and timers, and writes notes.
    fn poll(&mut self, clock: Clock, buffer: &mut [u8], notes: &mut Notes) -> Result<(), Error> {
        lock(&self.link).receive(clock.now(), buffer);
        loop {
            let received = lock(&self.link).next_received(clock.now());
            let Some((bytes, from)) = received else { break };
            self.driven.handle_datagram(&bytes, from);
        }
        while let Ok(message) = self.to_fleet.try_recv() {
            self.driven.handle_dispatcher_message(message);
        }
        if Instant::now() >= self.driven.next_tick() {
            self.driven.tick();
        }
        let at = clock.now();
        while let Ok(delivered) = self.from_fleet.try_recv() {
            if let DeliveryEvent::ReadLogDirectly(reads) = delivered {
                notes.add(&self.note(at, Event::ReadsLog(reads)))?;
            }
            let _ = self.to_thread.send(delivered);
        }
        while let Ok(input) = self.router.try_recv() {
            if let Some(event) = event_of(&input, clock) {
                notes.add(&self.note(at, event))?;
            }
        }
        Ok(())
    }

    fn note(&self, at: Micros, event: Event) -> Note {
        Note { follower: self.number, at_us: at, event }
    }

    fn take_traffic(&self, at: Micros) -> Note {
        let mut link = lock(&self.link);
        let (messages, bytes) = (std::mem::take(&mut link.messages), std::mem::take(&mut link.bytes));
        self.note(at, Event::Traffic { messages, bytes })
    }
}

fn fleet_settings(config: &FollowersConfig, number: usize, address: SocketAddr) -> Settings {
    let member = |carrier: &Carrier| Member {
        name: carrier.name.clone(),
        address: carrier.address,
        location: LocationId(0),
    };
    let mut settings = Settings::new(subsystems::FLEET_NAME, &format!("f{number}"), address);
    settings.members = config.carriers.iter().map(member).collect();
    (settings.timer_interval, settings.seed) = (subsystems::TIMER_INTERVAL, config.seed ^ number as u64);
    let protocol = DeliveryParameters {
        log: LogId::of(&config.log_name),
        max_followers: config.max_followers_per_carrier,
        fallback_delay: cherrypass::time::Span::millis(config.fallback_ms),
        ..DeliveryParameters::default()
    };
    let carriers = config.carriers.iter().map(|carrier| carrier.name.clone()).collect();
    settings.delivery = Some(Delivery { carriers, last_change: ChangeNumber(config.known_change), protocol });
    settings
}

/// The event to note for an input of the dispatcher's router.
fn event_of(input: &Input, clock: Clock) -> Option<Event> {
    match input {
        Input::Change(Change::Purge(purge)) => Some(Event::Took(purge.change_number)),
        Input::Fleet(FromFleet::Delivery(DeliveryEvent::CompleteUpTo(at))) => {
            Some(Event::KnownUpTo(clock.micros(*at)))
        }
        _ => None,
    }
}

/// Runs followers until standard input closes, which also happens when the parent process dies.
pub fn run(config_file: &Path) -> Result<(), Error> {
    let text =
        std::fs::read_to_string(config_file).map_err(io_error("a configuration file for followers"))?;
    let config: FollowersConfig = serde_json::from_str(&text)
        .map_err(|error| io_error("a configuration file for followers")(error.into()))?;
    let is_stopping = Arc::new(AtomicBool::new(false));
    let stop_flag = is_stopping.clone();
    std::thread::spawn(move || {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        stop_flag.store(true, Relaxed);
    });
    let clock = Clock::start()?;
    let mut notes = Notes::create(&config.notes_file)?;
    let faults: Arc<[LinkFault]> = config.faults.clone().into();
    let mut followers = Vec::new();
    for number in config.first..config.first + config.count {
        notes.add(&Note { follower: number, at_us: clock.now(), event: Event::Started })?;
        followers.push(Follower::start(&config, number, clock, faults.clone())?);
    }
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut last_traffic = clock.now();
    while !is_stopping.load(Relaxed) {
        for follower in &mut followers {
            follower.poll(clock, &mut buffer, &mut notes)?;
        }
        if clock.now() >= last_traffic + TRAFFIC_NOTE_INTERVAL_US {
            last_traffic = clock.now();
            followers.iter().try_for_each(|follower| notes.add(&follower.take_traffic(last_traffic)))?;
        }
        notes.flush()?;
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
