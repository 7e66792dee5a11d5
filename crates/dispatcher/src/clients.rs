//! Clients: one thread that takes them in and reads them all, and what is to go to each. Guards against connections
//! that each cost a thread: hundreds that say nothing, at hundreds of dispatchers, use up a machine's threads.
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

/// What is read at once, which an open visit may keep.
pub const READ_BYTES: usize = 8 * 1024;
/// Who has sent nothing whole by then is owed an end: within 3 s, by the page for service.
const FIRST_MESSAGE_TIMEOUT: Span = Span::millis(2_000);
/// A message that has begun comes whole within this, and the connection ends where nothing is open on it. Past the
/// second what is open has its final answer, so that the end comes within the same 3 s.
const PARTIAL_MESSAGE_TIMEOUTS: [Span; 2] = [Span::millis(1_500), Span::millis(2_500)];
/// Clients close what they don't use after 4 s, by the protocol page; what stands longer is not used again.
const IDLE_TIMEOUT: Span = Span::millis(4_500);
/// Rests after accepts that fail for a shortage begin with this, and it is borne for so long.
const MIN_ACCEPT_PAUSE: Span = Span::millis(5);
const MAX_SHORTAGE: Span = Span::millis(1_000);
/// How often connections are looked after, and how often once the process is to end.
const SWEEP_INTERVAL: Span = Span::millis(250);
const STOPPING_SWEEP_INTERVAL: Span = Span::millis(20);
/// A connection this new may still be about to ask: it doesn't make room for others.
const MIN_EVICTION_AGE: Span = Span::millis(250);
/// How long a newcomer waits for room before it is turned away, and how often it is looked for.
const QUEUE_TIMEOUT: Span = Span::millis(400);
const QUEUE_POLL_INTERVAL: Span = Span::millis(2);
/// So long what still comes on a connection is taken in, unused, after this side has ended it (a request that crosses
/// the end is on its way for 50 ms at most, by the protocol page); so many bytes, which no such request has; and so
/// many connections at once.
const LINGER_TIMEOUT: Span = Span::millis(300);
const MAX_LINGER_BYTES: usize = 4 * msgpack::MAX_MESSAGE_BYTES;
const MAX_LINGERING: usize = 16;
/// So many newcomers wait for room at once at the most, and no more than a part of those that have it: descriptors for
/// them are among those that clients and hosts leave.
const MAX_QUEUED: usize = 16;
const CLIENTS_PER_QUEUED: usize = 8;
/// Where the machine gives out fewer descriptors than the limits tell, so many are left to the change log and to hosts.
const SPARE_DESCRIPTORS: usize = 8;
/// How many connections are served for one look, and what stands for the listener among them.
const EVENTS_PER_WAIT: usize = 64;
const LISTENER: u64 = u64::MAX;

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Serving,
    /// It ends soon, and serves on what comes.
    Stopping,
    /// Each connection ends once nothing is owed on it.
    Closing,
}

/// What the router and the thread of clients tell each other of the process's end.
#[derive(Debug, Default)]
pub struct Shutdown {
    stage: AtomicU8,
    all_closed: AtomicBool,
}

impl Shutdown {
    pub fn advance_to(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Relaxed);
    }

    fn has_reached(&self, stage: Stage) -> bool {
        self.stage.load(Relaxed) >= stage as u8
    }

    /// Whether no connection stands any more, at the last look since leaving.
    pub fn is_all_closed(&self) -> bool {
        self.all_closed.load(Relaxed)
    }
}

pub struct ToClient {
    pub parts: Parts,
    /// When the host's answer came that this passes on.
    pub answered_at: Option<Time>,
    /// The host's answer that this passes on takes room until it is written.
    pub answer_room: Option<Reservation>,
    /// So does any answer at its client and in all until it is written.
    pub unread: Option<[Reservation; 2]>,
    /// Until then the visit's connection is in use.
    pub in_use: Option<Reservation>,
}

impl ToClient {
    /// What it counts for while it is not read; a body may keep the whole buffer that it was read into.
    pub fn weight(&self) -> usize {
        self.length().max(if self.answer_room.is_some() { READ_BYTES } else { 0 })
    }

    fn length(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    fn bytes(&self) -> [&[u8]; 3] {
        self.parts.each_ref().map(|part| &part[..])
    }

    fn record_latency(&self, spent: &Latencies) {
        if let Some(answered) = self.answered_at {
            spent.outbound.record(clock::now() - answered);
        }
    }
}

/// What is to go to one client.
pub struct Outlet {
    pub connection: Arc<Connection>,
    /// A thread of its own, once there was a need for it, and how many answers wait for that.
    slow_writer: Option<Sender<QueuedAnswer>>,
    queued: Gauge,
}

/// An answer of which so much is written already.
struct QueuedAnswer {
    answer: ToClient,
    written: usize,
    _queued: Reservation,
}

impl Outlet {
    /// How many answers are not written yet.
    pub fn queued(&self) -> usize {
        self.queued.amount()
    }

    pub fn new(line: Arc<Connection>) -> Outlet {
        Outlet { connection: line, slow_writer: None, queued: Gauge::default() }
    }

    /// Writes what the machine takes at once, and never waits. Guards against a client that reads slowly and
    /// holds the others up: the rest, and what comes until that is written, goes to a thread of its own.
    pub fn send(&mut self, answer: ToClient, spent: &Arc<Latencies>) {
        let mut written = 0;
        if self.queued() == 0 {
            match self.connection.try_write(&answer.bytes()) {
                Ok(n) if n == answer.length() => return answer.record_latency(spent),
                Ok(n) => written = n,
                Err(_) => return self.connection.shut_down_write(CloseReason::WriteFailed),
            }
        }
        if self.slow_writer.is_none() {
            let (mailbox, late) = unbounded();
            let (line, spent) = (self.connection.clone(), spent.clone());
            if spawn("slow", move || write_slowly(&line, late, &spent)).is_err() {
                return self.connection.shut_down_write(CloseReason::NoThread);
            }
            self.slow_writer = Some(mailbox);
        }
        if let Some(slow) = &self.slow_writer {
            let _ = slow.send(QueuedAnswer { answer, written, _queued: self.queued.reserve(1) });
        }
    }
}

/// A newcomer that waits for a place, unread.
struct QueuedClient {
    client: Client,
    since: Time,
    /// Something has come from it.
    has_sent: bool,
}

/// A connection that this side has ended, until its other side has ended too.
struct Lingering {
    connection: Arc<Connection>,
    until: Time,
    bytes: usize,
}

/// What the thread of clients tells: requests by a mailbox that is bounded, ends by one that is not.
pub struct RouterSenders {
    pub requests: Sender<Input>,
    pub closed: Sender<Input>,
}

/// Takes connections in and reads them until the process ends.
pub fn listen(
    listener: TcpListener,
    most: usize,
    patience: Span,
    tell: RouterSenders,
    front: Arc<Shutdown>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
    epoll.add(&listener, EpollEvent::new(EpollFlags::EPOLLIN, LISTENER))?;
    let (taken, lingering, newcomers, next, waiting) = Default::default();
    let (resting, failing) = (None, None);
    let mut clients = Clients {
        listener,
        epoll,
        max_clients: most,
        write_timeout: patience,
        router: tell,
        shutdown: front,
        admitted: taken,
        lingering,
        queue: newcomers,
        next_id: next,
        unforwarded: waiting,
        accept_paused_until: resting,
        accept_failures: failing,
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
    /// In the order in which they came.
    queue: VecDeque<QueuedClient>,
    next_id: u64,
    /// Of whom messages are read and not told yet, in turn. Guards against one who sends much and holds the others up,
    /// or the news that they have gone: he alone is not read from while the router has much to do.
    unforwarded: VecDeque<u64>,
    /// Until when the listener rests, for want of descriptors.
    accept_paused_until: Option<Time>,
    accept_failures: Option<AcceptFailures>,
}

/// Accepts that fail, one after another.
struct AcceptFailures {
    since: Time,
    /// The next rest for a shortage.
    next_pause: Span,
    /// The log has told of it.
    is_logged: bool,
}

/// What an accept that failed says.
enum AcceptError {
    /// The process has no descriptor left.
    NoDescriptor,
    /// The machine has none, or no memory for it, just now.
    SystemShortage,
    /// The connection ended, or its network did, before it was taken: all others are as they were.
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

/// Readable, and its other side's end even behind bytes that are not read yet.
fn read_flags() -> EpollFlags {
    EpollFlags::EPOLLIN | EpollFlags::EPOLLRDHUP
}

impl Clients {
    fn run(&mut self) -> io::Result<()> {
        let mut events = [EpollEvent::empty(); EVENTS_PER_WAIT];
        let mut look = clock::now() + SWEEP_INTERVAL;
        loop {
            let soon = !self.queue.is_empty() || !self.unforwarded.is_empty();
            let until = if soon { QUEUE_POLL_INTERVAL } else { look - clock::now() };
            let until = self.accept_paused_until.map_or(until, |resting| until.min(resting - clock::now()));
            let found = match self.epoll.wait(&mut events, EpollTimeout::from((until.0 / 1000 + 1) as u16)) {
                Err(Errno::EINTR) => 0,
                found => found?,
            };
            let gone = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
            for event in events[..found].iter().filter(|event| event.events().intersects(gone)) {
                if let Some(client) = self.admitted.get_mut(&event.data()) {
                    client.connection.mark_peer_closed();
                    client.unforwarded.clear();
                }
                self.queued_client_closed(event.data());
            }
            for event in &events[..found] {
                match event.data() {
                    LISTENER => self.accept()?,
                    number if self.lingering.contains_key(&number) => self.discard_input(number),
                    number if self.admitted.contains_key(&number) => drop(self.read(number)),
                    number => self.queued_client_sent(number),
                }
            }
            if self.forward_messages().is_err() {
                return Ok(());
            }
            self.admit_queued();
            let now = clock::now();
            self.resume_accepting(now)?;
            if now >= look {
                let leaving = self.shutdown.has_reached(Stage::Closing);
                look = now
                    + if self.shutdown.has_reached(Stage::Stopping) {
                        STOPPING_SWEEP_INTERVAL
                    } else {
                        SWEEP_INTERVAL
                    };
                self.sweep(now, leaving)?;
            }
        }
    }

    fn resume_accepting(&mut self, now: Time) -> io::Result<()> {
        match self.accept_paused_until.take_if(|until| now >= *until) {
            Some(_) => self.poll_listener(true),
            None => Ok(()),
        }
    }

    fn sweep(&mut self, now: Time, leaving: bool) -> io::Result<()> {
        let over = |(number, lingering): (&u64, &Lingering)| (now >= lingering.until).then_some(*number);
        let over: Vec<u64> = self.lingering.iter().filter_map(over).collect();
        over.into_iter().for_each(|number| self.end_linger(number));
        if leaving {
            self.accept()?;
        }
        let ends = |(number, client): (&u64, &Client)| Some((*number, client.reason_to_close(now, leaving)?));
        let ending: Vec<_> = self.admitted.iter().filter_map(ends).collect();
        for (number, code) in ending {
            match self.admitted.get_mut(&number) {
                Some(client) if code == CloseReason::MessageTimeout && client.is_in_use() => {
                    client.finish_open_visits(now, &self.router)
                }
                _ => self.close_unused(number, code),
            }
        }
        let standing = self.admitted.len() + self.lingering.len() + self.queue.len();
        if leaving {
            self.shutdown.all_closed.store(standing == 0, Relaxed);
        }
        Ok(())
    }

    /// Ends a connection on which nothing is open, unless something has just come on it: guards against an end that
    /// closes over a request which was there.
    fn close_unused(&mut self, number: u64, code: CloseReason) {
        let Some(client) = self.admitted.get(&number) else { return };
        let heard = client.connection.last_read_at();
        if self.read(number)
            && self.admitted.get(&number).is_some_and(|client| client.connection.last_read_at() == heard)
        {
            self.close(number, code);
        }
    }

    /// Reads one piece of what has come and tells of all whole messages; whether the connection stands.
    fn read(&mut self, number: u64) -> bool {
        let Some(client) = self.admitted.get_mut(&number) else { return false };
        if client.connection.is_shut_down() {
            let code = client.connection.close_reason();
            self.close(number, code);
            return false;
        }
        if !client.unforwarded.is_empty() {
            return true;
        }
        if let Err(code) = client.read() {
            self.close(number, code);
            return false;
        }
        if !client.unforwarded.is_empty() {
            self.unforwarded.push_back(number);
        }
        true
    }

    /// Tells what was read, a message of each client in turn, until the router has enough; whoever is left over is not
    /// read from meanwhile.
    fn forward_messages(&mut self) -> Result<(), CloseReason> {
        while let Some(number) = self.unforwarded.pop_front() {
            let Some(client) = self.admitted.get_mut(&number) else { continue };
            if client.connection.is_closed() {
                client.unforwarded.clear();
            }
            if let Some(what) = client.unforwarded.pop_front() {
                match self.router.requests.try_send(Input::Client(client.id, what)) {
                    Ok(()) => {}
                    Err(TrySendError::Full(Input::Client(_, what))) => {
                        client.unforwarded.push_front(what);
                        self.unforwarded.push_front(number);
                        break;
                    }
                    Err(_) => return Err(CloseReason::ShuttingDown),
                }
            }
            if client.unforwarded.is_empty() {
                client.pause_reading(false, &self.epoll);
            } else {
                self.unforwarded.push_back(number);
            }
        }
        for number in &self.unforwarded {
            self.admitted
                .get_mut(number)
                .into_iter()
                .for_each(|client| client.pause_reading(true, &self.epoll));
        }
        Ok(())
    }

    fn poll_listener(&self, hear: bool) -> io::Result<()> {
        let flags = if hear { EpollFlags::EPOLLIN } else { EpollFlags::empty() };
        Ok(self.epoll.modify(&self.listener, &mut EpollEvent::new(flags, LISTENER))?)
    }

    /// Takes what waits at the listener, so much of it that those taken before are read in between. Guards against a crowd there, which holds the machine's sockets like
    /// connections that were taken, and lets who asks wait behind those that say nothing.
    fn accept(&mut self) -> io::Result<()> {
        let mut took = false;
        for _ in 0..EVENTS_PER_WAIT {
            if self.accept_paused_until.is_some() {
                return Ok(());
            }
            match self.listener.accept() {
                Ok((stream, from)) => {
                    let client = Client::new(ClientId(self.next_id), stream, from);
                    self.next_id += 1;
                    self.admit_or_queue(client);
                }
                Err(error) if is_timeout(&error) => return Ok(()),
                Err(error) => match AcceptError::from_io(&error) {
                    // The next one that waits is another connection.
                    AcceptError::ConnectionLost => continue,
                    AcceptError::NoDescriptor => return self.pause_without_descriptors(&error),
                    AcceptError::SystemShortage => return self.pause_for_shortage(&error),
                },
            }
            self.accept_failures = None;
            took = true;
        }
        // Guards against a loop that burns the core where each accept fails, for whatever reason.
        if took {
            Ok(())
        } else {
            self.pause_accepting(MIN_ACCEPT_PAUSE)
        }
    }

    /// The machine lacks something for a moment: asked again soon, and later each time. Where it goes on lacking it, that
    /// is like the process's own want of descriptors.
    fn pause_for_shortage(&mut self, error: &io::Error) -> io::Result<()> {
        let now = clock::now();
        let failing = self.accept_failures.get_or_insert(AcceptFailures {
            since: now,
            next_pause: MIN_ACCEPT_PAUSE,
            is_logged: false,
        });
        if now - failing.since > MAX_SHORTAGE {
            return self.pause_without_descriptors(error);
        }
        let rest = failing.next_pause;
        failing.next_pause = (rest + rest).min(SWEEP_INTERVAL);
        self.pause_accepting(rest)
    }

    fn pause_accepting(&mut self, rest: Span) -> io::Result<()> {
        self.accept_paused_until = Some(clock::now() + rest);
        self.poll_listener(false)
    }

    /// No descriptor is to be had, against what the limits tell. Guards against a loop that burns the core, and against
    /// idle clients that hold what the change log and hosts need: the first time so many places less are given out.
    fn pause_without_descriptors(&mut self, error: &io::Error) -> io::Result<()> {
        let now = clock::now();
        let failing = self.accept_failures.get_or_insert(AcceptFailures {
            since: now,
            next_pause: SWEEP_INTERVAL,
            is_logged: false,
        });
        if !std::mem::replace(&mut failing.is_logged, true) {
            tracing::warn!("accept fails: {error}");
            self.max_clients =
                self.max_clients.min(self.admitted.len().saturating_sub(SPARE_DESCRIPTORS)).max(1);
        }
        while let Some(newcomer) = self.queue.pop_front() {
            self.refuse(newcomer.client);
        }
        while let Some(number) = self.lingering.keys().next().copied() {
            self.end_linger(number);
        }
        self.pause_accepting(SWEEP_INTERVAL)
    }

    /// Gives it a place, or lets it wait for one. Past the bound on those that wait, one that has said nothing goes,
    /// the one that had the most time for that.
    fn admit_or_queue(&mut self, client: Client) {
        let number = client.id.0;
        let set_up = client.connection.configure(Some(clock::duration(self.write_timeout)));
        if set_up.is_err()
            || self.epoll.add(&*client.connection, EpollEvent::new(read_flags(), number)).is_err()
        {
            client.close(CloseReason::Reset);
            return;
        }
        if self.admitted.len() < self.max_clients && self.queue.is_empty() {
            self.admitted.insert(number, client);
            return;
        }
        self.queue.push_back(QueuedClient { client, since: clock::now(), has_sent: false });
        if self.queue.len() > (self.max_clients / CLIENTS_PER_QUEUED).clamp(1, MAX_QUEUED) {
            let mute = self.queue.iter().position(|newcomer| !newcomer.has_sent);
            let first = self.queue.remove(mute.unwrap_or(0));
            first.into_iter().for_each(|newcomer| self.refuse(newcomer.client));
        }
    }

    fn queue_position(&self, number: u64) -> Option<usize> {
        self.queue.iter().position(|newcomer| newcomer.client.id.0 == number)
    }

    /// It is not read before it has a place.
    fn queued_client_sent(&mut self, number: u64) {
        let Some(newcomer) = self.queue_position(number).map(|place| &mut self.queue[place]) else { return };
        newcomer.has_sent = true;
        newcomer.client.pause_reading(true, &self.epoll);
    }

    fn queued_client_closed(&mut self, number: u64) {
        let Some(newcomer) = self.queue_position(number).and_then(|place| self.queue.remove(place)) else {
            return;
        };
        newcomer.client.connection.mark_peer_closed();
        newcomer.client.close(CloseReason::ClosedByPeer);
    }

    /// Has newcomers in, those that ask before those that don't; who has waited for long is turned away.
    fn admit_queued(&mut self) {
        let now = clock::now();
        while self.admitted.len() + self.queue.len() > self.max_clients && self.evict(now) {}
        while self.admitted.len() < self.max_clients {
            let asks = self.queue.iter().position(|newcomer| newcomer.has_sent);
            let Some(QueuedClient { mut client, .. }) = self.queue.remove(asks.unwrap_or(0)) else { return };
            client.pause_reading(false, &self.epoll);
            self.admitted.insert(client.id.0, client);
        }
        while self.queue.front().is_some_and(|newcomer| now > newcomer.since + QUEUE_TIMEOUT) {
            let first = self.queue.pop_front();
            first.into_iter().for_each(|newcomer| self.refuse(newcomer.client));
        }
    }

    /// Guards against connections that say nothing, or no more, and leave no room for those that ask: the longest
    /// mute and then the longest unused makes room for a newcomer, which waits for that, but not for long. Whether one
    /// has gone.
    fn evict(&mut self, now: Time) -> bool {
        let unused = self.admitted.values().filter_map(|client| Some((client.unused_for(now)?, client)));
        let unused = unused.filter(|(span, _)| *span > MIN_EVICTION_AGE);
        let longest = unused.max_by_key(|(span, client)| (!client.has_sent, *span));
        let Some(number) = longest.map(|(_, client)| client.id.0) else { return false };
        self.close_unused(number, CloseReason::Evicted);
        !self.admitted.contains_key(&number)
    }

    /// Answers what a newcomer without a place has asked, and ends its connection.
    fn refuse(&mut self, mut client: Client) {
        if client.read().is_ok() {
            for what in std::mem::take(&mut client.unforwarded) {
                if let FromClient::Visit { id, .. } = what {
                    let parts = msgpack::refused(id, Span::ZERO);
                    let _ = client.connection.try_write(&parts.each_ref().map(|part| &part[..]));
                }
            }
        }
        let number = client.id.0;
        client.close(CloseReason::TooManyClients);
        client.pause_reading(false, &self.epoll);
        if !client.connection.is_peer_closed() {
            self.linger(number, client.connection.clone());
        }
    }

    fn close(&mut self, number: u64, code: CloseReason) {
        let Some(client) = self.admitted.remove(&number) else { return };
        client.close(code);
        if client.has_sent {
            let _ = self.router.closed.send(Input::Client(client.id, FromClient::Closed));
        }
        let event = &mut EpollEvent::new(EpollFlags::EPOLLIN, number);
        if client.connection.is_peer_closed()
            || client.is_paused && self.epoll.modify(&*client.connection, event).is_err()
        {
            let _ = self.epoll.delete(&*client.connection);
        } else {
            self.linger(number, client.connection.clone());
        }
    }

    fn linger(&mut self, number: u64, line: Arc<Connection>) {
        self.lingering
            .insert(number, Lingering { connection: line, until: clock::now() + LINGER_TIMEOUT, bytes: 0 });
        if self.lingering.len() > MAX_LINGERING {
            self.lingering.keys().next().copied().into_iter().for_each(|first| self.end_linger(first));
        }
        self.discard_input(number);
    }

    /// Looked after no more, whoever holds it still.
    fn end_linger(&mut self, number: u64) {
        if let Some(lingering) = self.lingering.remove(&number) {
            let _ = self.epoll.delete(&*lingering.connection);
        }
    }

    fn discard_input(&mut self, number: u64) {
        let Some(lingering) = self.lingering.get_mut(&number) else { return };
        let passed = lingering.connection.discard(&mut [0; READ_BYTES]);
        lingering.bytes += passed.unwrap_or(0);
        if passed.is_none() || lingering.bytes > MAX_LINGER_BYTES {
            self.end_linger(number);
        }
    }
}

/// The reading side of one connection.
struct Client {
    id: ClientId,
    address: SocketAddr,
    connection: Arc<Connection>,
    opened_at: Time,
    /// Visits that are open, and answers to them that are not written yet.
    in_use: Gauge,
    has_sent: bool,
    buffer: BytesMut,
    /// Messages that were read, and whether reading rests for that.
    unforwarded: VecDeque<FromClient>,
    is_paused: bool,
    /// Requests that may be open, by their numbers.
    open_requests: BTreeMap<u32, CancelHandle>,
    /// The number of the last message.
    last_id: u32,
    visits: u64,
    /// What is open was told to end.
    is_closing: bool,
}

/// From so many on, requests that are over are forgotten.
const PRUNE_OPEN_AT: usize = 64;

impl Client {
    fn new(id: ClientId, stream: TcpStream, from: SocketAddr) -> Client {
        Client {
            id,
            address: from,
            connection: Arc::new(Connection::new(stream)),
            opened_at: clock::now(),
            in_use: Gauge::default(),
            has_sent: false,
            buffer: BytesMut::new(),
            unforwarded: VecDeque::new(),
            is_paused: false,
            open_requests: BTreeMap::new(),
            last_id: 0,
            visits: 0,
            is_closing: false,
        }
    }

    /// Whether it is not read from, but for its end.
    fn pause_reading(&mut self, held: bool, epoll: &Epoll) {
        if std::mem::replace(&mut self.is_paused, held) != held {
            let flags = if held { EpollFlags::EPOLLRDHUP } else { read_flags() };
            let _ = epoll.modify(&*self.connection, &mut EpollEvent::new(flags, self.id.0));
        }
    }

    /// Whether something is open on it, or read and not told.
    fn is_in_use(&self) -> bool {
        self.in_use.amount() > 0 || !self.unforwarded.is_empty()
    }

    fn unused_for(&self, now: Time) -> Option<Span> {
        (!self.is_in_use()).then(|| now - self.connection.last_read_at())
    }

    /// Why it is to end. Guards against connections that stay mute, break off in a message or are not used.
    fn reason_to_close(&self, now: Time, leaving: bool) -> Option<CloseReason> {
        if self.connection.is_shut_down() {
            return Some(self.connection.close_reason());
        }
        let mute = (!self.has_sent).then(|| now - self.opened_at);
        let half = self.connection.partial_for(now);
        let unused = self.unused_for(now).filter(|_| half.is_none());
        let at_most = |span: Option<Span>, most: Span, code| span.filter(|span| *span > most).map(|_| code);
        let rests = leaving && unused.is_some() && mute.is_none_or(|span| span > MIN_EVICTION_AGE);
        at_most(half, PARTIAL_MESSAGE_TIMEOUTS[0], CloseReason::MessageTimeout)
            .or(at_most(mute, FIRST_MESSAGE_TIMEOUT, CloseReason::Silent))
            .or(at_most(unused, IDLE_TIMEOUT, CloseReason::Idle))
            .or(rests.then_some(CloseReason::ShuttingDown))
    }

    /// What is open on it gets its final answer, once it has stood in mid-message for long.
    fn finish_open_visits(&mut self, now: Time, tell: &RouterSenders) {
        let long = self.connection.partial_for(now).is_some_and(|span| span > PARTIAL_MESSAGE_TIMEOUTS[1]);
        if long && !std::mem::replace(&mut self.is_closing, true) {
            let _ = tell.closed.send(Input::Client(self.id, FromClient::Closing));
        }
    }

    fn close(&self, code: CloseReason) {
        self.connection.shut_down_write(code);
        let (client, code, visits) = (self.id.0, self.connection.close_reason().code(), self.visits);
        tracing::info!(
            client,
            code,
            visits,
            "client {client} {} closed: {code} after {visits} visits",
            self.address
        );
    }

    /// Reads one piece of what has come, so that who sends much waits its turn, and takes all whole messages.
    fn read(&mut self) -> Result<(), CloseReason> {
        let line = self.connection.clone();
        let _until_marked = line.lock_reads();
        let Some(at) = self.connection.try_read(&mut self.buffer, READ_BYTES)? else { return Ok(()) };
        let mut messages = Vec::new();
        while let Some(message) = msgpack::next(&mut self.buffer)? {
            messages.push(message);
        }
        self.connection.messages_taken(&self.buffer, !messages.is_empty());
        if self.buffer.is_empty() {
            // Guards against large messages whose room stays with connections that stand.
            self.buffer = BytesMut::new();
        }
        if messages.is_empty() || self.connection.is_closed() {
            return Ok(());
        }
        // Guards against an answer that could be taken for another message's. What came together with such a
        // message is not taken either.
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
                Message::Visit(id, asked) => {
                    self.visits += 1;
                    let (busy, wanted) =
                        (self.in_use.reserve(1), CancelToken::new(self.connection.clone(), id));
                    if self.open_requests.len() >= PRUNE_OPEN_AT {
                        self.open_requests.retain(|_, withdraw| withdraw.is_open());
                    }
                    self.open_requests.insert(id, wanted.handle());
                    self.unforwarded.push_back(FromClient::Visit {
                        id,
                        request: asked,
                        received_at: at,
                        in_use: busy,
                        cancel: wanted,
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

fn write_slowly(line: &Connection, late: Receiver<QueuedAnswer>, spent: &Latencies) {
    while let Some(QueuedAnswer { answer, written, _queued: _waiting }) = mailbox::recv(&late) {
        if let Err(error) = line.write(&answer.bytes(), written) {
            line.shut_down_write(if is_timeout(&error) {
                CloseReason::SlowReader
            } else {
                CloseReason::WriteFailed
            });
            return;
        }
        answer.record_latency(spent);
    }
}
