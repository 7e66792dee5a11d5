//! A change log server for measurements: serves numbered changes over HTTP/1.1 long polls from one thread, at
//! configured rates. Simulated and real dispatchers use separate addresses so that their traffic is counted
//! separately.
use crate::error::{io_error, Error};
use crate::propagation::{ChangeKind, Propagation};
use crate::settings::ChangeLoad;
use crate::traffic::{Amount, Direction, PeerKind};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest poll wait; also the wait of a request without `timeout`.
const MAX_POLL_WAIT: Duration = Duration::from_millis(5_000);
/// Interval at which expired polls are answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const DAY_S: f64 = 86_400.0;
const MAX_REQUEST_BYTES: usize = 8 << 10;
const MAX_EVENTS: usize = 256;
/// Event tokens below this belong to listeners, the others to connections.
const LISTENER_COUNT: u64 = 2;

/// State shared by the server's thread and the run.
pub struct Shared {
    pub propagation: Propagation,
    /// While set, the server closes its listeners and connections.
    pub is_down: AtomicBool,
    /// Set once changes are to be published at their rates; before that only the initial list is.
    pub is_publishing: AtomicBool,
    is_stopping: AtomicBool,
    /// Indexed by peer kind, direction, and then message or byte count.
    counts: [[[AtomicU64; 2]; 2]; 2],
    connection_count: AtomicU64,
}

/// Requests received and answers sent so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct LogTraffic {
    pub requests: Amount,
    pub answers: Amount,
}

impl Shared {
    fn count(&self, peer: PeerKind, direction: Direction, bytes: usize) {
        let [messages, sum] = &self.counts[peer as usize][direction as usize];
        messages.fetch_add(1, Relaxed);
        sum.fetch_add(bytes as u64, Relaxed);
    }

    pub fn traffic(&self, peer: PeerKind) -> LogTraffic {
        let amount = |direction: Direction| {
            let [messages, bytes] = &self.counts[peer as usize][direction as usize];
            Amount { messages: messages.load(Relaxed) as f64, bytes: bytes.load(Relaxed) as f64 }
        };
        LogTraffic { requests: amount(Direction::In), answers: amount(Direction::Out) }
    }

    pub fn connection_count(&self) -> u64 {
        self.connection_count.load(Relaxed)
    }
}

/// A running change log server; it stops when this is dropped.
pub struct ChangeLog {
    pub shared: Arc<Shared>,
    /// The addresses for simulated and for real dispatchers, indexed by `PeerKind`.
    pub addresses: [SocketAddr; 2],
    /// The first change in the form of a configuration's `known` key.
    pub known: Value,
    thread: Option<JoinHandle<()>>,
}

/// Thread name, used to find the server's processor time.
pub const THREAD_NAME: &str = "change-log";

impl ChangeLog {
    /// `first_port` is the first of two consecutive ports to listen on; `None` takes free ones.
    pub fn start(
        first_port: Option<u16>,
        load: &ChangeLoad,
        zone: &str,
        seed: u64,
    ) -> Result<ChangeLog, Error> {
        let bind = |index: u16| {
            let address = SocketAddr::from(([127, 0, 0, 1], first_port.map_or(0, |first| first + index)));
            TcpListener::bind(address).map_err(|error| Error::AddressInUse {
                listener: "the change log",
                address,
                error,
            })
        };
        let listeners = [bind(0)?, bind(1)?];
        let address = |listener: &TcpListener| listener.local_addr().map_err(io_error("the change log"));
        let addresses = [address(&listeners[0])?, address(&listeners[1])?];
        let shared = Arc::new(Shared {
            propagation: Propagation::default(),
            is_down: AtomicBool::new(false),
            is_publishing: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            counts: Default::default(),
            connection_count: AtomicU64::new(0),
        });
        let mut log = LogServer::new(shared.clone(), listeners, addresses, load, zone, seed)
            .map_err(io_error("the change log"))?;
        log.publish_list(0..load.hosts);
        let known = serde_json::from_str(&log.answer_body(0)).unwrap_or(Value::Null);
        let builder = std::thread::Builder::new().name(THREAD_NAME.to_owned());
        let thread = builder.spawn(move || log.run()).map_err(io_error("the change log's thread"))?;
        Ok(ChangeLog { shared, addresses, known, thread: Some(thread) })
    }
}

impl Drop for ChangeLog {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Connection {
    stream: TcpStream,
    peer: PeerKind,
    received: Vec<u8>,
    unsent: Vec<u8>,
    /// The last change the client has, and the deadline of its poll.
    poll: Option<(usize, Instant)>,
}

/// A kind of change with its rate and the time of its next publication.
#[derive(Clone, Copy)]
struct ChangeSource {
    kind: ChangeKind,
    per_s: f64,
    next_due: Option<Instant>,
}

struct LogServer {
    shared: Arc<Shared>,
    epoll: Epoll,
    listeners: Option<[TcpListener; 2]>,
    addresses: [SocketAddr; 2],
    connections: BTreeMap<u64, Connection>,
    next_token: u64,
    changes: Vec<String>,
    sources: [ChangeSource; 3],
    load: ChangeLoad,
    zone: String,
    rng: Pcg64Mcg,
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Parses a request: the last change the client has, and how long it waits for more.
fn parse_request(request: &[u8]) -> Option<(usize, Duration)> {
    let text = std::str::from_utf8(request).ok()?;
    let number_after = |key: &str| -> Option<u64> {
        let rest = text.split_once(key)?.1;
        rest[..rest.find(|c: char| !c.is_ascii_digit())?].parse().ok()
    };
    let wait = number_after("timeout=").map_or(MAX_POLL_WAIT, Duration::from_millis).min(MAX_POLL_WAIT);
    Some((number_after("since=")? as usize, wait))
}

impl LogServer {
    fn new(
        shared: Arc<Shared>,
        listeners: [TcpListener; 2],
        addresses: [SocketAddr; 2],
        load: &ChangeLoad,
        zone: &str,
        seed: u64,
    ) -> io::Result<LogServer> {
        let rates = [
            (ChangeKind::Purge, load.purges_per_s),
            (ChangeKind::Configuration, load.configurations_per_day / DAY_S),
            (ChangeKind::List, load.list_changes_per_day / DAY_S),
        ];
        let mut log = LogServer {
            shared,
            epoll: Epoll::new(EpollCreateFlags::empty())?,
            listeners: None,
            addresses,
            connections: BTreeMap::new(),
            next_token: LISTENER_COUNT,
            changes: Vec::new(),
            sources: rates.map(|(kind, per_s)| ChangeSource { kind, per_s, next_due: None }),
            load: load.clone(),
            zone: zone.to_owned(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        log.listen(listeners)?;
        Ok(log)
    }

    fn listen(&mut self, listeners: [TcpListener; 2]) -> io::Result<()> {
        for (token, listener) in listeners.iter().enumerate() {
            listener.set_nonblocking(true)?;
            self.epoll.add(listener, EpollEvent::new(EpollFlags::EPOLLIN, token as u64))?;
        }
        self.listeners = Some(listeners);
        Ok(())
    }

    fn run(mut self) {
        let mut events = [EpollEvent::empty(); MAX_EVENTS];
        while !self.shared.is_stopping.load(Relaxed) {
            self.apply_outage();
            let wait = EpollTimeout::try_from(self.wait_time()).unwrap_or(EpollTimeout::ZERO);
            let ready = self.epoll.wait(&mut events, wait).unwrap_or(0);
            for event in &events[..ready] {
                match event.data() {
                    listener if listener < LISTENER_COUNT => self.accept(listener as usize),
                    token => self.read_request(token),
                }
            }
            if self.publish_due() || ready == 0 {
                self.answer_due_polls();
            }
        }
    }

    /// Time to the next change, at most `CHECK_INTERVAL`.
    fn wait_time(&self) -> Duration {
        let next = self.sources.iter().filter_map(|source| source.next_due).min();
        let wait = next.map_or(CHECK_INTERVAL, |next| {
            next.saturating_duration_since(Instant::now()).min(CHECK_INTERVAL)
        });
        // `epoll` takes whole milliseconds; a wait rounded down to zero would busy-loop.
        wait.max(Duration::from_millis(1))
    }

    /// Closes all sockets while the log is down, and listens on the same addresses again afterwards.
    fn apply_outage(&mut self) {
        let is_down = self.shared.is_down.load(Relaxed);
        if is_down && self.listeners.is_some() {
            self.listeners = None;
            self.connections.clear();
        } else if !is_down && self.listeners.is_none() {
            let [simulated, real] = self.addresses.map(TcpListener::bind);
            if let (Ok(simulated), Ok(real)) = (simulated, real) {
                let _ = self.listen([simulated, real]);
            }
        }
    }

    fn accept(&mut self, index: usize) {
        let peer = if index == 0 { PeerKind::Simulated } else { PeerKind::Real };
        while let Some(Ok((stream, _))) = self.listeners.as_ref().map(|both| both[index].accept()) {
            let _ = stream.set_nodelay(true);
            let token = self.next_token;
            let event = EpollEvent::new(EpollFlags::EPOLLIN, token);
            if stream.set_nonblocking(true).is_err() || self.epoll.add(&stream, event).is_err() {
                continue;
            }
            self.next_token += 1;
            self.shared.connection_count.fetch_add(1, Relaxed);
            let (received, unsent, poll) = (Vec::new(), Vec::new(), None);
            self.connections.insert(token, Connection { stream, peer, received, unsent, poll });
        }
    }

    fn read_request(&mut self, token: u64) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let mut bytes = [0; 4096];
        let is_closed = loop {
            match connection.stream.read(&mut bytes) {
                Ok(0) => break true,
                Ok(length) => connection.received.extend_from_slice(&bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
        };
        if is_closed || connection.received.len() > MAX_REQUEST_BYTES {
            self.connections.remove(&token);
            return;
        }
        let end = connection.received.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
        let Some(end) = end else { return };
        self.shared.count(connection.peer, Direction::In, end);
        let request: Vec<u8> = connection.received.drain(..end).collect();
        let Some((since, wait)) = parse_request(&request) else {
            self.connections.remove(&token);
            return;
        };
        connection.poll = Some((since, Instant::now() + wait));
        if since < self.changes.len() {
            self.answer(token, since);
        }
    }

    fn answer_body(&self, since: usize) -> String {
        let results = self.changes[since.min(self.changes.len())..].join(",");
        format!("{{\"seq\":{},\"results\":[{results}]}}", self.changes.len())
    }

    fn answer(&mut self, token: u64, since: usize) {
        let body = self.answer_body(since);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.poll = None;
        self.shared.count(connection.peer, Direction::Out, head.len() + body.len());
        connection.unsent.extend_from_slice(head.as_bytes());
        connection.unsent.extend_from_slice(body.as_bytes());
        self.send(token);
    }

    fn send(&mut self, token: u64) {
        let Some(Connection { stream, unsent, .. }) = self.connections.get_mut(&token) else { return };
        while !unsent.is_empty() {
            match stream.write(unsent) {
                Ok(length) => drop(unsent.drain(..length)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return drop(self.connections.remove(&token)),
            }
        }
    }

    /// Answers polls that have expired or have new changes, and sends what is left of earlier answers.
    fn answer_due_polls(&mut self) {
        let (now, last) = (Instant::now(), self.changes.len());
        let is_due = |(since, until): &(usize, Instant)| *since < last || *until <= now;
        let all = self.connections.iter();
        let due: Vec<(u64, Option<usize>)> = all
            .filter(|(_, connection)| {
                !connection.unsent.is_empty() || connection.poll.as_ref().is_some_and(is_due)
            })
            .map(|(token, connection)| (*token, connection.poll.filter(is_due).map(|(since, _)| since)))
            .collect();
        for (token, since) in due {
            match since {
                Some(since) => self.answer(token, since),
                None => self.send(token),
            }
        }
    }

    fn random_interval(&mut self, per_s: f64) -> Option<Duration> {
        let uniform: f64 = self.rng.gen_range(f64::EPSILON..1.0);
        (per_s > 0.0).then(|| Duration::from_secs_f64((-uniform.ln() / per_s).min(1e6)))
    }

    /// Publishes all due changes; returns whether there was any.
    fn publish_due(&mut self) -> bool {
        if !self.shared.is_publishing.load(Relaxed) {
            return false;
        }
        let (now, mut has_published) = (Instant::now(), false);
        for index in 0..self.sources.len() {
            let ChangeSource { kind, per_s, next_due } = self.sources[index];
            let mut due = match next_due {
                Some(due) => due,
                None => match self.random_interval(per_s) {
                    Some(interval) => now + interval,
                    None => continue,
                },
            };
            while due <= now {
                has_published = true;
                self.publish(kind);
                due += self.random_interval(per_s).unwrap_or(CHECK_INTERVAL);
            }
            self.sources[index].next_due = Some(due);
        }
        has_published
    }

    fn publish(&mut self, kind: ChangeKind) {
        match kind {
            ChangeKind::Purge => {
                let object = format!("{:016x}", self.rng.gen::<u64>());
                self.append_change(kind, "invalidate", &json!({ "object": object, "time": unix_time_ms() }));
            }
            ChangeKind::Configuration => {
                let text = "x".repeat(self.load.configuration_bytes);
                self.append_change(kind, "configuration", &json!({ "text": text }));
            }
            ChangeKind::List => {
                let host = self.rng.gen_range(0..self.load.hosts.max(1));
                self.publish_list(host..host + 1);
            }
        }
    }

    fn publish_list(&mut self, hosts: std::ops::Range<usize>) {
        let full = self.changes.is_empty();
        let servers: Vec<Value> = hosts
            .map(|host| {
                json!({ "id": format!("host-{host}"), "addr": "127.0.0.1:9", "zone": self.zone, "kind": "small",
                        "cell": 0, "state": "in_service", "weight": 20.0, "started_ms": 0 })
            })
            .collect();
        self.append_change(
            ChangeKind::List,
            "fleet",
            &json!({ "version": 1, "full": full, "servers": servers }),
        );
    }

    fn append_change(&mut self, kind: ChangeKind, key: &str, change: &Value) {
        self.shared.propagation.record_published(kind);
        self.changes.push(format!("{{\"seq\":{},\"{key}\":{change}}}", self.changes.len() + 1));
    }
}
