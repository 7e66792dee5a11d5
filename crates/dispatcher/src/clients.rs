//! Client connections. One thread accepts and reads all of them, so that idle connections don't cost threads;
//! answers are written by the router, or by a thread per slow reader.
use crate::cancellation::{CancelHandle, CancelToken};
use crate::capacity::{Gauge, Reservation};
use crate::clock;
use crate::connection::{is_timeout, spawn, CloseReason, Connection};
use crate::ids::ClientId;
use crate::inbox::{FromClient, Input};
use crate::latency::Latencies;
use crate::mailbox;
use crate::msgpack::{self, Message, Parts};
use bytes::{Bytes, BytesMut};
use cherrypass::time::{Span, Time};
use crossbeam_channel::{unbounded, Receiver, Sender, TrySendError};
use nix::errno::Errno;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};
use std::sync::Arc;

/// Size of one read. An open visit may keep the whole buffer alive.
pub const READ_BYTES: usize = 8 * 1024;
/// A connection that has sent no complete message by then is closed, so that it ends within 3 s.
const FIRST_MESSAGE_TIMEOUT: Span = Span::millis(2_000);
/// A connection whose message stays incomplete is closed after the first timeout if it has no open visits.
/// After the second its open visits are answered, so that it closes within 3 s.
const PARTIAL_MESSAGE_TIMEOUTS: [Span; 2] = [Span::millis(1_500), Span::millis(2_500)];
/// By the protocol clients close unused connections after 4 s.
const IDLE_TIMEOUT: Span = Span::millis(4_500);
/// First pause of accepting after a system shortage; and how long one may last before it is treated like a
/// lack of descriptors.
const MIN_ACCEPT_PAUSE: Span = Span::millis(5);
const MAX_SHORTAGE: Span = Span::millis(1_000);
/// How often connections are checked, normally and during shutdown.
const SWEEP_INTERVAL: Span = Span::millis(250);
const STOPPING_SWEEP_INTERVAL: Span = Span::millis(20);
/// A connection unused for less than this may be about to send a request and is not evicted.
const MIN_EVICTION_AGE: Span = Span::millis(250);
/// How long a client is queued for a place before it is refused, and how often the queue is checked.
const QUEUE_TIMEOUT: Span = Span::millis(400);
const QUEUE_POLL_INTERVAL: Span = Span::millis(2);
/// Limits on discarding the input of connections that this side has shut down: time, bytes and connections.
/// By the protocol a request that crosses the shutdown arrives within 50 ms.
const LINGER_TIMEOUT: Span = Span::millis(300);
const MAX_LINGER_BYTES: usize = 4 * msgpack::MAX_MESSAGE_BYTES;
const MAX_LINGERING: usize = 16;
/// Limits of the queue: an absolute one, and a queued client per so many allowed clients. Queued clients use
/// descriptors beyond those reserved for clients and hosts.
const MAX_QUEUED: usize = 16;
const CLIENTS_PER_QUEUED: usize = 8;
/// Descriptors left to the change log and hosts when fewer are available than the limits promise.
const SPARE_DESCRIPTORS: usize = 8;
/// How many events one wait returns at most, and the listener's epoll key.
const EVENTS_PER_WAIT: usize = 64;
const LISTENER: u64 = u64::MAX;

/// The stage of the process's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Serving,
    /// Shutdown has begun; requests are still served.
    Stopping,
    /// Each connection is closed once it is not in use.
    Closing,
}

/// Shutdown state shared by the router and the client thread.
#[derive(Debug, Default)]
pub struct Shutdown {
    stage: AtomicU8,
    all_closed: AtomicBool,
}

impl Shutdown {
    /// Advances to a stage; never goes back.
    pub fn advance_to(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Relaxed);
    }

    fn has_reached(&self, stage: Stage) -> bool {
        self.stage.load(Relaxed) >= stage as u8
    }

    /// Whether all connections were closed at the last check since `Closing`.
    pub fn is_all_closed(&self) -> bool {
        self.all_closed.load(Relaxed)
    }
}

/// An answer to write to a client.
pub struct ToClient {
    pub parts: Parts,
    /// When the host's answer was read, if this passes one on.
    pub answered_at: Option<Time>,
    /// The memory taken by the host's answer until it is written.
    pub answer_room: Option<Reservation>,
    /// The unread bytes counted for the client and in total until the answer is written.
    pub unread_bytes: Option<[Reservation; 2]>,
    /// Keeps the connection in use until the answer is written.
    pub in_use: Option<Reservation>,
}

impl ToClient {
    /// The bytes counted while the answer is unread; a body may keep the whole buffer alive that it was read
    /// into.
    pub fn weight(&self) -> usize {
        self.length().max(if self.answer_room.is_some() { READ_BYTES } else { 0 })
    }

    fn length(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    fn bytes(&self) -> [&[u8]; 3] {
        self.parts.each_ref().map(|part| &part[..])
    }

    fn record_latency(&self, latencies: &Latencies) {
        if let Some(answered_at) = self.answered_at {
            latencies.outbound.record(clock::now() - answered_at);
        }
    }
}

/// The writing side of a client connection.
pub struct Outlet {
    pub connection: Arc<Connection>,
    /// The thread that writes once an answer could not be written without blocking, and the answers queued
    /// for it.
    slow_writer: Option<Sender<QueuedAnswer>>,
    queued: Gauge,
}

/// An answer of which the first `written` bytes have been written.
struct QueuedAnswer {
    answer: ToClient,
    written: usize,
    _queued: Reservation,
}

impl Outlet {
    /// The number of answers not written yet.
    pub fn queued(&self) -> usize {
        self.queued.amount()
    }

    pub fn new(connection: Arc<Connection>) -> Outlet {
        Outlet { connection, slow_writer: None, queued: Gauge::default() }
    }

    /// Writes an answer without blocking, so that a slow reader doesn't delay other clients: what the socket
    /// doesn't take, and answers after it, go to a slow writer thread.
    pub fn send(&mut self, answer: ToClient, latencies: &Arc<Latencies>) {
        let mut written = 0;
        if self.queued() == 0 {
            match self.connection.try_write(&answer.bytes()) {
                Ok(n) if n == answer.length() => return answer.record_latency(latencies),
                Ok(n) => written = n,
                Err(_) => return self.connection.shut_down_write(CloseReason::WriteFailed),
            }
        }
        if self.slow_writer.is_none() {
            let (sender, queued) = unbounded();
            let (connection, latencies) = (self.connection.clone(), latencies.clone());
            if spawn("slow", move || write_slowly(&connection, queued, &latencies)).is_err() {
                return self.connection.shut_down_write(CloseReason::NoThread);
            }
            self.slow_writer = Some(sender);
        }
        if let Some(slow_writer) = &self.slow_writer {
            let _ = slow_writer.send(QueuedAnswer { answer, written, _queued: self.queued.reserve(1) });
        }
    }
}

/// A client that waits for a place and is not read from.
struct QueuedClient {
    client: Client,
    queued_at: Time,
    /// Whether the client has sent something.
    has_sent: bool,
}

/// A connection that this side has shut down, until the peer closes it too.
struct Lingering {
    connection: Arc<Connection>,
    until: Time,
    bytes: usize,
}

/// The router's channels: a bounded one for requests, an unbounded one for closed connections.
pub struct RouterSenders {
    pub requests: Sender<Input>,
    pub closed: Sender<Input>,
}

/// Accepts and reads client connections until the process ends.
pub fn listen(
    listener: TcpListener,
    max_clients: usize,
    write_timeout: Span,
    router: RouterSenders,
    shutdown: Arc<Shutdown>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
    epoll.add(&listener, EpollEvent::new(EpollFlags::EPOLLIN, LISTENER))?;
    let (admitted, lingering, queue, next_id, unforwarded) = Default::default();
    let (accept_paused_until, accept_failures) = (None, None);
    let mut clients = Clients {
        listener,
        epoll,
        max_clients,
        write_timeout,
        router,
        shutdown,
        admitted,
        lingering,
        queue,
        next_id,
        unforwarded,
        accept_paused_until,
        accept_failures,
    };
    clients.run()
}

struct Clients {
    listener: TcpListener,
    epoll: Epoll,
    max_clients: usize,
    write_timeout: Span,
    router: RouterSenders,
    shutdown: Arc<Shutdown>,
    admitted: BTreeMap<u64, Client>,
    lingering: BTreeMap<u64, Lingering>,
    /// In order of arrival.
    queue: VecDeque<QueuedClient>,
    next_id: u64,
    /// Clients with messages that the router's queue could not take yet, served in turn. Only these are not
    /// read from while the router is busy, so that a client that sends much delays neither others nor the
    /// news that they left.
    unforwarded: VecDeque<u64>,
    /// Until when accepting is paused for lack of resources.
    accept_paused_until: Option<Time>,
    accept_failures: Option<AcceptFailures>,
}

/// A series of failed accepts.
struct AcceptFailures {
    since: Time,
    /// The next pause for a shortage.
    next_pause: Span,
    is_logged: bool,
}

/// Why an accept failed.
enum AcceptError {
    /// The process is out of descriptors.
    NoDescriptor,
    /// The system is out of descriptors or memory.
    SystemShortage,
    /// The connection was lost before it was accepted; others are not affected.
    ConnectionLost,
}

impl AcceptError {
    fn from_io(error: &io::Error) -> AcceptError {
        match error.raw_os_error() {
            Some(libc::EMFILE) => AcceptError::NoDescriptor,
            Some(libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => AcceptError::SystemShortage,
            _ => AcceptError::ConnectionLost,
        }
    }
}

/// Readability, and a close by the peer even behind unread bytes.
fn read_flags() -> EpollFlags {
    EpollFlags::EPOLLIN | EpollFlags::EPOLLRDHUP
}

impl Clients {
    fn run(&mut self) -> io::Result<()> {
        let mut events = [EpollEvent::empty(); EVENTS_PER_WAIT];
        let mut sweep_at = clock::now() + SWEEP_INTERVAL;
        loop {
            let is_polling = !self.queue.is_empty() || !self.unforwarded.is_empty();
            let wait = if is_polling { QUEUE_POLL_INTERVAL } else { sweep_at - clock::now() };
            let wait = self.accept_paused_until.map_or(wait, |resume_at| wait.min(resume_at - clock::now()));
            let found = match self.epoll.wait(&mut events, EpollTimeout::from((wait.0 / 1000 + 1) as u16)) {
                Err(Errno::EINTR) => 0,
                found => found?,
            };
            let closed = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
            for event in events[..found].iter().filter(|event| event.events().intersects(closed)) {
                if let Some(client) = self.admitted.get_mut(&event.data()) {
                    client.connection.mark_peer_closed();
                    client.unforwarded.clear();
                }
                self.queued_client_closed(event.data());
            }
            for event in &events[..found] {
                match event.data() {
                    LISTENER => self.accept()?,
                    key if self.lingering.contains_key(&key) => self.discard_input(key),
                    key if self.admitted.contains_key(&key) => drop(self.read(key)),
                    key => self.queued_client_sent(key),
                }
            }
            if self.forward_messages().is_err() {
                return Ok(());
            }
            self.admit_queued();
            let now = clock::now();
            self.resume_accepting(now)?;
            if now >= sweep_at {
                let is_closing = self.shutdown.has_reached(Stage::Closing);
                sweep_at = now
                    + if self.shutdown.has_reached(Stage::Stopping) {
                        STOPPING_SWEEP_INTERVAL
                    } else {
                        SWEEP_INTERVAL
                    };
                self.sweep(now, is_closing)?;
            }
        }
    }

    fn resume_accepting(&mut self, now: Time) -> io::Result<()> {
        match self.accept_paused_until.take_if(|until| now >= *until) {
            Some(_) => self.poll_listener(true),
            None => Ok(()),
        }
    }

    /// Closes connections that exceed a timeout, and during shutdown those not in use.
    fn sweep(&mut self, now: Time, is_closing: bool) -> io::Result<()> {
        let is_expired = |(key, lingering): (&u64, &Lingering)| (now >= lingering.until).then_some(*key);
        let expired: Vec<u64> = self.lingering.iter().filter_map(is_expired).collect();
        expired.into_iter().for_each(|key| self.end_linger(key));
        if is_closing {
            self.accept()?;
        }
        let to_close =
            |(key, client): (&u64, &Client)| Some((*key, client.reason_to_close(now, is_closing)?));
        let closing: Vec<_> = self.admitted.iter().filter_map(to_close).collect();
        for (key, reason) in closing {
            match self.admitted.get_mut(&key) {
                Some(client) if reason == CloseReason::MessageTimeout && client.is_in_use() => {
                    client.finish_open_visits(now, &self.router)
                }
                _ => self.close_unused(key, reason),
            }
        }
        let open_count = self.admitted.len() + self.lingering.len() + self.queue.len();
        if is_closing {
            self.shutdown.all_closed.store(open_count == 0, Relaxed);
        }
        Ok(())
    }

    /// Closes an unused connection, unless a last read finds that a request has just arrived.
    fn close_unused(&mut self, key: u64, reason: CloseReason) {
        let Some(client) = self.admitted.get(&key) else { return };
        let last_read_at = client.connection.last_read_at();
        if self.read(key)
            && self.admitted.get(&key).is_some_and(|client| client.connection.last_read_at() == last_read_at)
        {
            self.close(key, reason);
        }
    }

    /// Reads once from a client. Returns whether the connection is still open.
    fn read(&mut self, key: u64) -> bool {
        let Some(client) = self.admitted.get_mut(&key) else { return false };
        if client.connection.is_shut_down() {
            let reason = client.connection.close_reason();
            self.close(key, reason);
            return false;
        }
        if !client.unforwarded.is_empty() {
            return true;
        }
        if let Err(reason) = client.read() {
            self.close(key, reason);
            return false;
        }
        if !client.unforwarded.is_empty() {
            self.unforwarded.push_back(key);
        }
        true
    }

    /// Forwards messages to the router, one of each client in turn, until its queue is full. Clients with
    /// messages left are not read from meanwhile.
    fn forward_messages(&mut self) -> Result<(), CloseReason> {
        while let Some(key) = self.unforwarded.pop_front() {
            let Some(client) = self.admitted.get_mut(&key) else { continue };
            if client.connection.is_closed() {
                client.unforwarded.clear();
            }
            if let Some(message) = client.unforwarded.pop_front() {
                match self.router.requests.try_send(Input::Client(client.id, message)) {
                    Ok(()) => {}
                    Err(TrySendError::Full(Input::Client(_, message))) => {
                        client.unforwarded.push_front(message);
                        self.unforwarded.push_front(key);
                        break;
                    }
                    Err(_) => return Err(CloseReason::ShuttingDown),
                }
            }
            if client.unforwarded.is_empty() {
                client.pause_reading(false, &self.epoll);
            } else {
                self.unforwarded.push_back(key);
            }
        }
        for key in &self.unforwarded {
            self.admitted.get_mut(key).into_iter().for_each(|client| client.pause_reading(true, &self.epoll));
        }
        Ok(())
    }

    /// Turns the listener's events on or off.
    fn poll_listener(&self, is_on: bool) -> io::Result<()> {
        let flags = if is_on { EpollFlags::EPOLLIN } else { EpollFlags::empty() };
        Ok(self.epoll.modify(&self.listener, &mut EpollEvent::new(flags, LISTENER))?)
    }

    /// Accepts pending connections, a limited number so that others are read in between. Connections left in
    /// the backlog would use the system's sockets all the same, and clients with requests would wait behind
    /// idle ones.
    fn accept(&mut self) -> io::Result<()> {
        let mut has_accepted = false;
        for _ in 0..EVENTS_PER_WAIT {
            if self.accept_paused_until.is_some() {
                return Ok(());
            }
            match self.listener.accept() {
                Ok((stream, address)) => {
                    let client = Client::new(ClientId(self.next_id), stream, address);
                    self.next_id += 1;
                    self.admit_or_queue(client);
                }
                Err(error) if is_timeout(&error) => return Ok(()),
                Err(error) => match AcceptError::from_io(&error) {
                    // Goes on with the next pending connection.
                    AcceptError::ConnectionLost => continue,
                    AcceptError::NoDescriptor => return self.pause_without_descriptors(&error),
                    AcceptError::SystemShortage => return self.pause_for_shortage(&error),
                },
            }
            self.accept_failures = None;
            has_accepted = true;
        }
        // Avoids a busy loop while every accept fails.
        if has_accepted {
            Ok(())
        } else {
            self.pause_accepting(MIN_ACCEPT_PAUSE)
        }
    }

    /// Pauses accepting after a system shortage, with a growing delay. A lasting shortage is treated like a
    /// lack of descriptors.
    fn pause_for_shortage(&mut self, error: &io::Error) -> io::Result<()> {
        let now = clock::now();
        let failures = self.accept_failures.get_or_insert(AcceptFailures {
            since: now,
            next_pause: MIN_ACCEPT_PAUSE,
            is_logged: false,
        });
        if now - failures.since > MAX_SHORTAGE {
            return self.pause_without_descriptors(error);
        }
        let pause = failures.next_pause;
        failures.next_pause = (pause + pause).min(SWEEP_INTERVAL);
        self.pause_accepting(pause)
    }

    fn pause_accepting(&mut self, pause: Span) -> io::Result<()> {
        self.accept_paused_until = Some(clock::now() + pause);
        self.poll_listener(false)
    }

    /// Pauses accepting when the process is out of descriptors. The first time the number of clients is
    /// reduced, so that idle clients don't hold the descriptors that the change log and hosts need.
    fn pause_without_descriptors(&mut self, error: &io::Error) -> io::Result<()> {
        let now = clock::now();
        let failures = self.accept_failures.get_or_insert(AcceptFailures {
            since: now,
            next_pause: SWEEP_INTERVAL,
            is_logged: false,
        });
        if !std::mem::replace(&mut failures.is_logged, true) {
            tracing::warn!("accept fails: {error}; fewer clients are admitted");
            self.max_clients =
                self.max_clients.min(self.admitted.len().saturating_sub(SPARE_DESCRIPTORS)).max(1);
        }
        while let Some(queued) = self.queue.pop_front() {
            self.refuse(queued.client);
        }
        while let Some(key) = self.lingering.keys().next().copied() {
            self.end_linger(key);
        }
        self.pause_accepting(SWEEP_INTERVAL)
    }

    /// Admits a new client or queues it. If the queue is too long, the oldest client that has sent nothing is
    /// refused, or else the oldest.
    fn admit_or_queue(&mut self, client: Client) {
        let key = client.id.0;
        let configured = client.connection.configure(Some(clock::to_std(self.write_timeout)));
        if configured.is_err()
            || self.epoll.add(&*client.connection, EpollEvent::new(read_flags(), key)).is_err()
        {
            client.close(CloseReason::Reset);
            return;
        }
        if self.admitted.len() < self.max_clients && self.queue.is_empty() {
            self.admitted.insert(key, client);
            return;
        }
        self.queue.push_back(QueuedClient { client, queued_at: clock::now(), has_sent: false });
        if self.queue.len() > (self.max_clients / CLIENTS_PER_QUEUED).clamp(1, MAX_QUEUED) {
            let silent = self.queue.iter().position(|queued| !queued.has_sent);
            let first = self.queue.remove(silent.unwrap_or(0));
            first.into_iter().for_each(|queued| self.refuse(queued.client));
        }
    }

    /// The position of a client in the queue.
    fn queue_position(&self, key: u64) -> Option<usize> {
        self.queue.iter().position(|queued| queued.client.id.0 == key)
    }

    /// A queued client has sent something; it is not read before it is admitted.
    fn queued_client_sent(&mut self, key: u64) {
        let Some(queued) = self.queue_position(key).map(|place| &mut self.queue[place]) else { return };
        queued.has_sent = true;
        queued.client.pause_reading(true, &self.epoll);
    }

    fn queued_client_closed(&mut self, key: u64) {
        let Some(queued) = self.queue_position(key).and_then(|place| self.queue.remove(place)) else {
            return;
        };
        queued.client.connection.mark_peer_closed();
        queued.client.close(CloseReason::ClosedByPeer);
    }

    /// Admits queued clients, those that have sent something first, and refuses those that have waited too
    /// long.
    fn admit_queued(&mut self) {
        let now = clock::now();
        while self.admitted.len() + self.queue.len() > self.max_clients && self.evict(now) {}
        while self.admitted.len() < self.max_clients {
            let with_request = self.queue.iter().position(|queued| queued.has_sent);
            let Some(QueuedClient { mut client, .. }) = self.queue.remove(with_request.unwrap_or(0)) else {
                return;
            };
            client.pause_reading(false, &self.epoll);
            self.admitted.insert(client.id.0, client);
        }
        while self.queue.front().is_some_and(|queued| now > queued.queued_at + QUEUE_TIMEOUT) {
            let first = self.queue.pop_front();
            first.into_iter().for_each(|queued| self.refuse(queued.client));
        }
    }

    /// Closes the connection that has been unused longest, preferring those that never sent a message.
    /// Returns whether one was closed.
    fn evict(&mut self, now: Time) -> bool {
        let unused = self.admitted.values().filter_map(|client| Some((client.unused_for(now)?, client)));
        let unused = unused.filter(|(span, _)| *span > MIN_EVICTION_AGE);
        let longest = unused.max_by_key(|(span, client)| (!client.has_sent, *span));
        let Some(key) = longest.map(|(_, client)| client.id.0) else { return false };
        self.close_unused(key, CloseReason::Evicted);
        !self.admitted.contains_key(&key)
    }

    /// Refuses the requests of a client that got no place, and closes its connection.
    fn refuse(&mut self, mut client: Client) {
        if client.read().is_ok() {
            for message in std::mem::take(&mut client.unforwarded) {
                if let FromClient::Visit { id, .. } = message {
                    let parts = msgpack::refused(id, Span::ZERO);
                    let _ = client.connection.try_write(&parts.each_ref().map(|part| &part[..]));
                }
            }
        }
        let key = client.id.0;
        client.close(CloseReason::TooManyClients);
        client.pause_reading(false, &self.epoll);
        if !client.connection.is_peer_closed() {
            self.linger(key, client.connection.clone());
        }
    }

    fn close(&mut self, key: u64, reason: CloseReason) {
        let Some(client) = self.admitted.remove(&key) else { return };
        client.close(reason);
        if client.has_sent {
            let _ = self.router.closed.send(Input::Client(client.id, FromClient::Closed));
        }
        let event = &mut EpollEvent::new(EpollFlags::EPOLLIN, key);
        if client.connection.is_peer_closed()
            || client.is_paused && self.epoll.modify(&*client.connection, event).is_err()
        {
            let _ = self.epoll.delete(&*client.connection);
        } else {
            self.linger(key, client.connection.clone());
        }
    }

    fn linger(&mut self, key: u64, connection: Arc<Connection>) {
        self.lingering.insert(key, Lingering { connection, until: clock::now() + LINGER_TIMEOUT, bytes: 0 });
        if self.lingering.len() > MAX_LINGERING {
            self.lingering.keys().next().copied().into_iter().for_each(|first| self.end_linger(first));
        }
        self.discard_input(key);
    }

    /// Stops discarding a connection's input.
    fn end_linger(&mut self, key: u64) {
        if let Some(lingering) = self.lingering.remove(&key) {
            let _ = self.epoll.delete(&*lingering.connection);
        }
    }

    fn discard_input(&mut self, key: u64) {
        let Some(lingering) = self.lingering.get_mut(&key) else { return };
        let discarded = lingering.connection.discard(&mut [0; READ_BYTES]);
        lingering.bytes += discarded.unwrap_or(0);
        if discarded.is_none() || lingering.bytes > MAX_LINGER_BYTES {
            self.end_linger(key);
        }
    }
}

/// The reading side of a client connection.
struct Client {
    id: ClientId,
    address: SocketAddr,
    connection: Arc<Connection>,
    opened_at: Time,
    /// Counts open visits, and answers to them that are not written yet.
    in_use: Gauge,
    has_sent: bool,
    buffer: BytesMut,
    /// Messages read and not forwarded yet, and whether reading is paused for that.
    unforwarded: VecDeque<FromClient>,
    is_paused: bool,
    /// Requests that may be open, by id.
    open_requests: BTreeMap<u32, CancelHandle>,
    /// The id of the last message.
    last_id: u32,
    visit_count: u64,
    /// Whether the router was asked to finish the open visits.
    is_closing: bool,
}

/// With this many open requests, finished ones are removed.
const PRUNE_OPEN_AT: usize = 64;

impl Client {
    fn new(id: ClientId, stream: TcpStream, address: SocketAddr) -> Client {
        Client {
            id,
            address,
            connection: Arc::new(Connection::new(stream)),
            opened_at: clock::now(),
            in_use: Gauge::default(),
            has_sent: false,
            buffer: BytesMut::new(),
            unforwarded: VecDeque::new(),
            is_paused: false,
            open_requests: BTreeMap::new(),
            last_id: 0,
            visit_count: 0,
            is_closing: false,
        }
    }

    /// Pauses or resumes reading; a close by the peer is noticed either way.
    fn pause_reading(&mut self, pause: bool, epoll: &Epoll) {
        if std::mem::replace(&mut self.is_paused, pause) != pause {
            let flags = if pause { EpollFlags::EPOLLRDHUP } else { read_flags() };
            let _ = epoll.modify(&*self.connection, &mut EpollEvent::new(flags, self.id.0));
        }
    }

    /// Whether visits are open, or messages not forwarded.
    fn is_in_use(&self) -> bool {
        self.in_use.amount() > 0 || !self.unforwarded.is_empty()
    }

    fn unused_for(&self, now: Time) -> Option<Span> {
        (!self.is_in_use()).then(|| now - self.connection.last_read_at())
    }

    /// Why the connection should be closed, if it should.
    fn reason_to_close(&self, now: Time, is_shutting_down: bool) -> Option<CloseReason> {
        if self.connection.is_shut_down() {
            return Some(self.connection.close_reason());
        }
        let silent = (!self.has_sent).then(|| now - self.opened_at);
        let partial = self.connection.partial_for(now);
        let unused = self.unused_for(now).filter(|_| partial.is_none());
        let exceeds =
            |span: Option<Span>, limit: Span, reason| span.filter(|span| *span > limit).map(|_| reason);
        let may_close =
            is_shutting_down && unused.is_some() && silent.is_none_or(|span| span > MIN_EVICTION_AGE);
        exceeds(partial, PARTIAL_MESSAGE_TIMEOUTS[0], CloseReason::MessageTimeout)
            .or(exceeds(silent, FIRST_MESSAGE_TIMEOUT, CloseReason::Silent))
            .or(exceeds(unused, IDLE_TIMEOUT, CloseReason::Idle))
            .or(may_close.then_some(CloseReason::ShuttingDown))
    }

    /// Has the open visits answered once a message has been incomplete for too long.
    fn finish_open_visits(&mut self, now: Time, router: &RouterSenders) {
        let is_overdue =
            self.connection.partial_for(now).is_some_and(|span| span > PARTIAL_MESSAGE_TIMEOUTS[1]);
        if is_overdue && !std::mem::replace(&mut self.is_closing, true) {
            let _ = router.closed.send(Input::Client(self.id, FromClient::Closing));
        }
    }

    /// Shuts down the writing direction and logs the close.
    fn close(&self, reason: CloseReason) {
        self.connection.shut_down_write(reason);
        let (client, code, visits) = (self.id.0, self.connection.close_reason().code(), self.visit_count);
        tracing::info!(
            client,
            code,
            visits,
            "client {client} {} closed: {code} after {visits} visits",
            self.address
        );
    }

    /// Reads once, so that a client that sends much waits its turn, and decodes all complete messages.
    fn read(&mut self) -> Result<(), CloseReason> {
        let connection = self.connection.clone();
        let _reads_locked = connection.lock_reads();
        let Some(received_at) = self.connection.try_read(&mut self.buffer, READ_BYTES)? else {
            return Ok(());
        };
        let mut messages = Vec::new();
        while let Some(message) = msgpack::next(&mut self.buffer)? {
            messages.push(message);
        }
        self.connection.messages_taken(&self.buffer, !messages.is_empty());
        if self.buffer.is_empty() {
            // Releases the memory of large messages on idle connections.
            self.buffer = BytesMut::new();
        }
        if messages.is_empty() || self.connection.is_closed() {
            return Ok(());
        }
        // Ids must increase, so that no answer can be taken for that of another message. No message of this
        // read is processed otherwise.
        for message in &messages {
            if let Message::Visit(id, _) | Message::Malformed(id, _) | Message::Status(id) = message {
                if *id <= self.last_id {
                    return Err(CloseReason::IdNotIncreasing);
                }
                self.last_id = *id;
            }
        }
        if !std::mem::replace(&mut self.has_sent, true) {
            self.unforwarded.push_back(FromClient::Opened { connection: self.connection.clone() });
        }
        for message in messages {
            match message {
                Message::Visit(id, request) => {
                    self.visit_count += 1;
                    let (in_use, cancel) =
                        (self.in_use.reserve(1), CancelToken::new(self.connection.clone(), id));
                    if self.open_requests.len() >= PRUNE_OPEN_AT {
                        self.open_requests.retain(|_, handle| handle.is_open());
                    }
                    self.open_requests.insert(id, cancel.handle());
                    self.unforwarded.push_back(FromClient::Visit {
                        id,
                        request,
                        received_at,
                        in_use,
                        cancel,
                    });
                }
                Message::Malformed(id, field) => {
                    self.unforwarded.push_back(FromClient::Malformed { id, field })
                }
                Message::Status(id) => self.unforwarded.push_back(FromClient::Status { id }),
                Message::Withdraw(ids) => {
                    ids.iter().filter_map(|id| self.open_requests.get(id)).for_each(CancelHandle::cancel);
                    self.unforwarded.push_back(FromClient::Withdraw { ids });
                }
                Message::Unknown => {}
            }
        }
        Ok(())
    }
}

/// Writes queued answers as fast as the client reads them.
fn write_slowly(connection: &Connection, queued: Receiver<QueuedAnswer>, latencies: &Latencies) {
    while let Some(QueuedAnswer { answer, written, _queued }) = mailbox::recv(&queued) {
        if let Err(error) = connection.write(&answer.bytes(), written) {
            connection.shut_down_write(if is_timeout(&error) {
                CloseReason::SlowReader
            } else {
                CloseReason::WriteFailed
            });
            return;
        }
        answer.record_latency(latencies);
    }
}
