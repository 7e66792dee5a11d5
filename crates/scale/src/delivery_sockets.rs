//! Runs the delivery of changes on loopback to validate the results of virtual time: simulated carriers and
//! followers by the product's own code (`DrivenMember`), one socket each, on a few threads, with a change log in
//! memory.
use crate::error::{io_error, Error};
use crate::settings::DeliveryRun;
use crate::subsystems;
use cherrypass::ids::LocationId;
use cherrypass_dispatcher::carried_changes;
use cherrypass_fleet::delivery::Settings as DeliveryParameters;
use cherrypass_peers::delivery::{DeliveryEvent, LogChange, LogRead, Settings as Delivery};
use cherrypass_peers::driven::DrivenMember;
use cherrypass_peers::{ChangeNumber, FromFleet, Member, Settings, ToFleet};
use crossbeam_channel::{unbounded, Receiver, Sender};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which carriers read the log; comparable to a poll's round trip.
const LOG_READ_INTERVAL: Duration = Duration::from_millis(40);
/// Sleep between two rounds over a thread's sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
const FOLLOWER_THREADS: usize = 3;

/// Result for one size; traffic is per second of the mean follower, in bytes of datagrams.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SocketDeliveryResult {
    pub followers: usize,
    pub carriers: usize,
    pub seconds: f64,
    pub bytes: f64,
    pub messages: f64,
    pub delay_p50_ms: u64,
    pub delay_p99_ms: u64,
    pub delay_max_ms: u64,
    /// Followers that had all changes published up to two seconds before the end.
    #[serde(rename = "complete")]
    pub complete_followers: usize,
    /// How often a follower began to read the log itself.
    #[serde(rename = "reading")]
    pub log_read_starts: usize,
}

/// State shared by all threads of a run.
#[derive(Default)]
struct Shared {
    is_stopping: AtomicBool,
    is_counting: AtomicBool,
    messages: AtomicU64,
    bytes: AtomicU64,
    log_read_starts: AtomicU64,
    published: Mutex<Vec<Instant>>,
    delays: Mutex<Vec<u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn count(&self, is_follower: bool, bytes: usize) {
        if is_follower && self.is_counting.load(Relaxed) {
            self.messages.fetch_add(1, Relaxed);
            self.bytes.fetch_add(bytes as u64, Relaxed);
        }
    }

    fn record_received(&self, first: u64, count: usize) {
        if !self.is_counting.load(Relaxed) {
            return;
        }
        let published = lock(&self.published);
        let from = usize::try_from(first).unwrap_or(usize::MAX).saturating_sub(1);
        let new = published.iter().skip(from).take(count).map(|at| at.elapsed().as_millis() as u64);
        lock(&self.delays).extend(new);
    }
}

/// A carrier or follower driven by a shared thread.
struct SimulatedProcess {
    driven: DrivenMember,
    socket: Arc<UdpSocket>,
    is_follower: bool,
    /// Changes read from the log, for a carrier.
    log: Receiver<LogRead>,
}

impl SimulatedProcess {
    /// Handles received datagrams, log reads and timers.
    fn poll(&mut self, shared: &Shared, bytes: &mut [u8]) {
        while let Ok((length, from)) = self.socket.recv_from(bytes) {
            shared.count(self.is_follower, length);
            self.driven.handle_datagram(&bytes[..length], from);
        }
        while let Ok(read) = self.log.try_recv() {
            self.driven.handle_dispatcher_message(ToFleet::LogRead(read));
        }
        if Instant::now() >= self.driven.next_tick() {
            self.driven.tick();
        }
    }
}

fn bind() -> Result<(Arc<UdpSocket>, SocketAddr), Error> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = UdpSocket::bind(address).map_err(|error| Error::AddressInUse {
        listener: "a simulated process",
        address,
        error,
    })?;
    socket.set_nonblocking(true).map_err(io_error("a simulated process's socket"))?;
    let address = socket.local_addr().map_err(io_error("a simulated process's address"))?;
    Ok((Arc::new(socket), address))
}

struct SocketRun {
    shared: Arc<Shared>,
    log_senders: Vec<Sender<LogRead>>,
    threads: Vec<JoinHandle<()>>,
    last_changes: Vec<Arc<AtomicU64>>,
}

impl Drop for SocketRun {
    /// Stops and joins all threads, however the run ends.
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

impl SocketRun {
    fn start(settings: &DeliveryRun, seed: u64) -> Result<SocketRun, Error> {
        let bound = (0..settings.carriers).map(|_| bind()).collect::<Result<Vec<_>, _>>()?;
        let member = |(index, (_, address)): (usize, &(Arc<UdpSocket>, SocketAddr))| Member {
            name: format!("c{index}"),
            address: *address,
            location: LocationId(0),
        };
        let members: Vec<Member> = bound.iter().enumerate().map(member).collect();
        let protocol = DeliveryParameters {
            max_followers: settings.max_followers_per_carrier,
            ..DeliveryParameters::default()
        };
        let carriers = members.iter().map(|process| process.name.clone()).collect();
        let delivery = Delivery { carriers, last_change: ChangeNumber(0), protocol };
        let mut run = SocketRun {
            shared: Arc::default(),
            log_senders: Vec::new(),
            threads: Vec::new(),
            last_changes: Vec::new(),
        };
        let mut groups: Vec<Vec<SimulatedProcess>> = (0..=FOLLOWER_THREADS).map(|_| Vec::new()).collect();
        for index in 0..settings.carriers + settings.followers {
            let is_follower = index >= settings.carriers;
            let name = if is_follower { format!("d{index}") } else { format!("c{index}") };
            let (socket, address) = if is_follower { bind()? } else { bound[index].clone() };
            let mut settings = Settings::new(subsystems::FLEET_NAME, &name, address);
            (settings.members, settings.delivery) = (members.clone(), Some(delivery.clone()));
            (settings.timer_interval, settings.seed) = (subsystems::TIMER_INTERVAL, seed ^ index as u64);
            let simulated = run.start_process(settings, socket, is_follower)?;
            groups[if is_follower { 1 + index % FOLLOWER_THREADS } else { 0 }].push(simulated);
        }
        for (number, group) in groups.into_iter().enumerate() {
            run.spawn(number, group)?;
        }
        Ok(run)
    }

    fn start_process(
        &mut self,
        settings: Settings,
        socket: Arc<UdpSocket>,
        is_follower: bool,
    ) -> Result<SimulatedProcess, Error> {
        let (send_socket, send_shared, event_shared) =
            (socket.clone(), self.shared.clone(), self.shared.clone());
        let out = move |bytes: &[u8], to| {
            send_shared.count(is_follower, bytes.len());
            let _ = send_socket.send_to(bytes, to);
        };
        let last_change = Arc::new(AtomicU64::new(0));
        if is_follower {
            self.last_changes.push(last_change.clone());
        }
        let on_event = move |event| match event {
            FromFleet::Delivery(DeliveryEvent::Changes { first, records }) => {
                last_change.store(first.0 + records.len() as u64 - 1, Relaxed);
                event_shared.record_received(first.0, records.len());
            }
            FromFleet::Delivery(DeliveryEvent::ReadLogDirectly(true)) => {
                event_shared.log_read_starts.fetch_add(1, Relaxed);
            }
            _ => {}
        };
        let (log_sender, log) = unbounded();
        if !is_follower {
            self.log_senders.push(log_sender);
        }
        Ok(SimulatedProcess {
            driven: DrivenMember::start(settings, out, on_event, |_| {})?,
            socket,
            is_follower,
            log,
        })
    }

    fn spawn(&mut self, number: usize, mut group: Vec<SimulatedProcess>) -> Result<(), Error> {
        let shared = self.shared.clone();
        let poll_loop = move || {
            let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
            while !shared.is_stopping.load(Relaxed) {
                group.iter_mut().for_each(|process| process.poll(&shared, &mut bytes));
                std::thread::sleep(POLL_INTERVAL);
            }
        };
        let thread = std::thread::Builder::new().name(format!("delivery-{number}")).spawn(poll_loop);
        self.threads.push(thread.map_err(io_error("a delivery thread"))?);
        Ok(())
    }

    /// Appends to the log at its rates for `seconds`, and passes the changes to the carriers.
    fn publish(&self, settings: &DeliveryRun, seconds: f64) {
        let start = Instant::now();
        let before = lock(&self.shared.published).len();
        while start.elapsed().as_secs_f64() < seconds {
            let requested_at = Instant::now();
            std::thread::sleep(LOG_READ_INTERVAL);
            let mut changes = Vec::new();
            let mut published = lock(&self.shared.published);
            let due = before + (settings.purges_per_s * start.elapsed().as_secs_f64()) as usize;
            while published.len() < due {
                published.push(Instant::now());
                changes.push(change(published.len() as u64));
            }
            let last = ChangeNumber(published.len() as u64);
            drop(published);
            for log in &self.log_senders {
                let _ = log.send(LogRead {
                    changes: changes.clone(),
                    last_change: last,
                    requested_at: Some(requested_at),
                });
            }
        }
    }
}

fn change(number: u64) -> LogChange {
    let object = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let purge = json!({ "seq": number,
        "invalidate": { "object": format!("{object:016x}"), "time": 1_764_576_000_000_u64 + number } });
    LogChange { number: ChangeNumber(number), record: carried_changes::encode(&purge).into() }
}

/// Runs one size: `settle_s` until all followers have a carrier, then `seconds` that are counted.
pub fn run(
    settings: &DeliveryRun,
    settle_s: f64,
    seconds: f64,
    seed: u64,
) -> Result<SocketDeliveryResult, Error> {
    let run = SocketRun::start(settings, seed)?;
    run.publish(settings, settle_s);
    run.shared.is_counting.store(true, Relaxed);
    run.publish(settings, seconds);
    run.shared.is_counting.store(false, Relaxed);
    let expected = lock(&run.shared.published).len() as f64 - 2.0 * settings.purges_per_s;
    let complete = run.last_changes.iter().filter(|last| last.load(Relaxed) as f64 >= expected).count();
    let mut delays = Histogram::<u64>::new_with_bounds(1, 600_000, 2).unwrap_or_else(|_| unreachable!());
    lock(&run.shared.delays).iter().for_each(|delay_ms| delays.saturating_record((*delay_ms).max(1)));
    let per_follower = 1.0 / (settings.followers as f64 * seconds);
    Ok(SocketDeliveryResult {
        followers: settings.followers,
        carriers: settings.carriers,
        seconds,
        bytes: run.shared.bytes.load(Relaxed) as f64 * per_follower,
        messages: run.shared.messages.load(Relaxed) as f64 * per_follower,
        delay_p50_ms: delays.value_at_quantile(0.5),
        delay_p99_ms: delays.value_at_quantile(0.99),
        delay_max_ms: delays.max(),
        complete_followers: complete,
        log_read_starts: run.shared.log_read_starts.load(Relaxed) as usize,
    })
}
