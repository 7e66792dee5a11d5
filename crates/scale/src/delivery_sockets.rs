//! The delivery of changes on loopback: hollow carriers and followers by the product's own code (`Driven`), a socket each,
//! on a few threads, and a change log that is written here. A check of what virtual time tells.
use crate::error::{doing, Error};
use crate::rooms;
use crate::settings::DeliveryPlay;
use cherrypass::ids::LocationId;
use cherrypass_dispatcher::carried_changes;
use cherrypass_fleet::delivery::Set as Room;
use cherrypass_peers::delivery::{Delivered, LogChange, LogRead, Set as Delivery};
use cherrypass_peers::driven::Driven;
use cherrypass_peers::{ChangeNumber, FromFleet, Member, Set, ToFleet};
use crossbeam_channel::{unbounded, Receiver, Sender};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Carriers have read what is in the log within this time: about what a poll leaves between two answers.
const LOG_READ: Duration = Duration::from_millis(40);
/// A thread's rest between two looks at its sockets.
const REST: Duration = Duration::from_millis(1);
const DATAGRAM_MOST: usize = 64 << 10;
const FOLLOWER_THREADS: usize = 3;

/// What one size came to; amounts are of the mean follower, a second, counted with the bytes of datagrams.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OnSockets {
    pub followers: usize,
    pub carriers: usize,
    pub seconds: f64,
    pub bytes: f64,
    pub messages: f64,
    pub delay_p50_ms: u64,
    pub delay_p99_ms: u64,
    pub delay_max_ms: u64,
    /// Followers that have all changes of two seconds before the end.
    pub complete: usize,
    /// Those that read the log themselves at any time.
    pub reading: usize,
}

/// What all of a play share.
#[derive(Default)]
struct Shared {
    ended: AtomicBool,
    counts: AtomicBool,
    messages: AtomicU64,
    bytes: AtomicU64,
    reading: AtomicU64,
    written: Mutex<Vec<Instant>>,
    delays: Mutex<Vec<u64>>,
}

fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn count(&self, is_follower: bool, bytes: usize) {
        if is_follower && self.counts.load(Relaxed) {
            self.messages.fetch_add(1, Relaxed);
            self.bytes.fetch_add(bytes as u64, Relaxed);
        }
    }

    fn came(&self, first: u64, count: usize) {
        if !self.counts.load(Relaxed) {
            return;
        }
        let written = held(&self.written);
        let from = usize::try_from(first).unwrap_or(usize::MAX).saturating_sub(1);
        let new = written.iter().skip(from).take(count).map(|at| at.elapsed().as_millis() as u64);
        held(&self.delays).extend(new);
    }
}

/// One process without a process.
struct Hollow {
    driven: Driven,
    socket: Arc<UdpSocket>,
    is_follower: bool,
    /// What a carrier reads of the log.
    log: Receiver<LogRead>,
}

impl Hollow {
    /// Does what is due.
    fn work(&mut self, shared: &Shared, bytes: &mut [u8]) {
        while let Ok((length, from)) = self.socket.recv_from(bytes) {
            shared.count(self.is_follower, length);
            self.driven.datagram(&bytes[..length], from);
        }
        while let Ok(read) = self.log.try_recv() {
            self.driven.told(ToFleet::LogRead(read));
        }
        if Instant::now() >= self.driven.due() {
            self.driven.woken();
        }
    }
}

fn bind() -> Result<(Arc<UdpSocket>, SocketAddr), Error> {
    let at = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket =
        UdpSocket::bind(at).map_err(|error| Error::InUse { what: "a hollow follower", at, error })?;
    socket.set_nonblocking(true).map_err(doing("a hollow follower's socket"))?;
    let at = socket.local_addr().map_err(doing("a hollow follower's address"))?;
    Ok((Arc::new(socket), at))
}

struct Play {
    shared: Arc<Shared>,
    logs: Vec<Sender<LogRead>>,
    threads: Vec<JoinHandle<()>>,
    last: Vec<Arc<AtomicU64>>,
}

impl Drop for Play {
    /// Nothing is left running, however the play ends.
    fn drop(&mut self) {
        self.shared.ended.store(true, Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

impl Play {
    fn start(form: &DeliveryPlay, seed: u64) -> Result<Play, Error> {
        let bound = (0..form.carriers).map(|_| bind()).collect::<Result<Vec<_>, _>>()?;
        let member = |(place, (_, address)): (usize, &(Arc<UdpSocket>, SocketAddr))| Member {
            name: format!("c{place}"),
            address: *address,
            location: LocationId(0),
        };
        let members: Vec<Member> = bound.iter().enumerate().map(member).collect();
        let room = Room { followers: form.followers_a_carrier, ..Room::default() };
        let carriers = members.iter().map(|one| one.name.clone()).collect();
        let delivery = Delivery { carriers, last: ChangeNumber(0), room };
        let mut play =
            Play { shared: Arc::default(), logs: Vec::new(), threads: Vec::new(), last: Vec::new() };
        let mut groups: Vec<Vec<Hollow>> = (0..=FOLLOWER_THREADS).map(|_| Vec::new()).collect();
        for place in 0..form.carriers + form.followers {
            let is_follower = place >= form.carriers;
            let name = if is_follower { format!("d{place}") } else { format!("c{place}") };
            let (socket, address) = if is_follower { bind()? } else { bound[place].clone() };
            let mut set = Set::of(rooms::FLEET, &name, address);
            (set.members, set.delivery) = (members.clone(), Some(delivery.clone()));
            (set.every, set.seed) = (rooms::EVERY, seed ^ place as u64);
            let hollow = play.hollow(set, socket, is_follower)?;
            groups[if is_follower { 1 + place % FOLLOWER_THREADS } else { 0 }].push(hollow);
        }
        for (number, group) in groups.into_iter().enumerate() {
            play.spawn(number, group)?;
        }
        Ok(play)
    }

    fn hollow(&mut self, set: Set, socket: Arc<UdpSocket>, is_follower: bool) -> Result<Hollow, Error> {
        let (sends, counted, told) = (socket.clone(), self.shared.clone(), self.shared.clone());
        let out = move |bytes: &[u8], to| {
            counted.count(is_follower, bytes.len());
            let _ = sends.send_to(bytes, to);
        };
        let last = Arc::new(AtomicU64::new(0));
        if is_follower {
            self.last.push(last.clone());
        }
        let tell = move |what| match what {
            FromFleet::Delivered(Delivered::Changes { first, records }) => {
                last.store(first.0 + records.len() as u64 - 1, Relaxed);
                told.came(first.0, records.len());
            }
            FromFleet::Delivered(Delivered::ReadLog(true)) => drop(told.reading.fetch_add(1, Relaxed)),
            _ => {}
        };
        let (to, log) = unbounded();
        if !is_follower {
            self.logs.push(to);
        }
        Ok(Hollow { driven: Driven::start(set, out, tell, |_| {})?, socket, is_follower, log })
    }

    fn spawn(&mut self, number: usize, mut group: Vec<Hollow>) -> Result<(), Error> {
        let shared = self.shared.clone();
        let work = move || {
            let mut bytes = vec![0; DATAGRAM_MOST];
            while !shared.ended.load(Relaxed) {
                group.iter_mut().for_each(|one| one.work(&shared, &mut bytes));
                std::thread::sleep(REST);
            }
        };
        let thread = std::thread::Builder::new().name(format!("delivery-{number}")).spawn(work);
        self.threads.push(thread.map_err(doing("a thread"))?);
        Ok(())
    }

    /// Writes the log at its rates for so long, and has carriers read it.
    fn pass(&self, form: &DeliveryPlay, seconds: f64) {
        let begun = Instant::now();
        let before = held(&self.shared.written).len();
        while begun.elapsed().as_secs_f64() < seconds {
            let asked = Instant::now();
            std::thread::sleep(LOG_READ);
            let mut changes = Vec::new();
            let mut written = held(&self.shared.written);
            let due = before + (form.purges_per_s * begun.elapsed().as_secs_f64()) as usize;
            while written.len() < due {
                written.push(Instant::now());
                changes.push(change(written.len() as u64));
            }
            let last = ChangeNumber(written.len() as u64);
            drop(written);
            for log in &self.logs {
                let _ = log.send(LogRead { changes: changes.clone(), last, asked: Some(asked) });
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

/// Plays one size: some seconds until all are carried, then those that are counted.
pub fn play(form: &DeliveryPlay, settle_s: f64, seconds: f64, seed: u64) -> Result<OnSockets, Error> {
    let play = Play::start(form, seed)?;
    play.pass(form, settle_s);
    play.shared.counts.store(true, Relaxed);
    play.pass(form, seconds);
    play.shared.counts.store(false, Relaxed);
    let wanted = held(&play.shared.written).len() as f64 - 2.0 * form.purges_per_s;
    let complete = play.last.iter().filter(|last| last.load(Relaxed) as f64 >= wanted).count();
    let mut delays = Histogram::<u64>::new_with_bounds(1, 600_000, 2).unwrap_or_else(|_| unreachable!());
    held(&play.shared.delays).iter().for_each(|delay_ms| delays.saturating_record((*delay_ms).max(1)));
    let each = 1.0 / (form.followers as f64 * seconds);
    Ok(OnSockets {
        followers: form.followers,
        carriers: form.carriers,
        seconds,
        bytes: play.shared.bytes.load(Relaxed) as f64 * each,
        messages: play.shared.messages.load(Relaxed) as f64 * each,
        delay_p50_ms: delays.value_at_quantile(0.5),
        delay_p99_ms: delays.value_at_quantile(0.99),
        delay_max_ms: delays.max(),
        complete,
        reading: play.shared.reading.load(Relaxed) as usize,
    })
}
