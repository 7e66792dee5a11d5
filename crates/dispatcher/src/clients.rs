//! Clients: one thread that takes them in and reads them all, and what is to go to each. Guards against connections
//! that each cost a thread: hundreds that say nothing, at hundreds of dispatchers, use up a machine's threads.
use crate::bounds::{Gauge, Held};
use crate::clock;
use crate::ids::ClientId;
use crate::inbox::{FromClient, Input};
use crate::line::{is_wait, spawn, Code, Line};
use crate::mailbox;
use crate::msgpack::{self, Message, Parts};
use crate::spent::Spent;
use crate::wanted::{Wanted, Withdraw};
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
pub const PIECE: usize = 8 * 1024;
/// Who has sent nothing whole by then is owed an end: within 3 s, by the page for service.
const MUTE: Span = Span::millis(2_000);
/// A message that has begun comes whole within this, and the connection ends where nothing is open on it. Past the
/// second what is open has its final answer, so that the end comes within the same 3 s.
const HALF: [Span; 2] = [Span::millis(1_500), Span::millis(2_500)];
/// Clients close what they don't use after 4 s, by the protocol page; what stands longer is not used again.
const IDLE: Span = Span::millis(4_500);
/// Rests after accepts that fail for a shortage begin with this, and it is borne for so long.
const REST_LEAST: Span = Span::millis(5);
const SHORTAGE_BORNE: Span = Span::millis(1_000);
/// How often connections are looked after, and how often once the process is to end.
const LOOK: Span = Span::millis(250);
const LAST_LOOK: Span = Span::millis(20);
/// A connection this new may still be about to ask: it doesn't make room for others.
const NEW: Span = Span::millis(250);
/// How long a newcomer waits for room before it is turned away, and how often it is looked for.
const ROOM_WAIT: Span = Span::millis(400);
const ROOM_LOOK: Span = Span::millis(2);
/// So long what still comes on a connection is taken in, unused, after this side has ended it (a request that crosses
/// the end is on its way for 50 ms at most, by the protocol page); so many bytes, which no such request has; and so
/// many connections at once.
const LINGER: Span = Span::millis(300);
const LINGER_BYTES: usize = 4 * msgpack::MESSAGE_MOST;
const LINGER_MOST: usize = 16;
/// So many newcomers wait for room at once at the most, and no more than a part of those that have it: descriptors for
/// them are among those that clients and hosts leave.
const NEWCOMERS_MOST: usize = 16;
const NEWCOMERS_PART: usize = 8;
/// Where the machine gives out fewer descriptors than the limits tell, so many are left to the change log and to hosts.
const SPARE: usize = 8;
/// How many connections are served for one look, and what stands for the listener among them.
const EVENTS: usize = 64;
const LISTENER: u64 = u64::MAX;

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Serving,
    /// It ends soon, and serves on what comes.
    Stopping,
    /// Each connection ends once nothing is owed on it.
    Leaving,
}

/// What the router and the thread of clients tell each other of the process's end.
#[derive(Debug, Default)]
pub struct Front {
    stage: AtomicU8,
    left: AtomicBool,
}

impl Front {
    pub fn go_to(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Relaxed);
    }

    fn has_come_to(&self, stage: Stage) -> bool {
        self.stage.load(Relaxed) >= stage as u8
    }

    /// Whether no connection stands any more, at the last look since leaving.
    pub fn is_empty(&self) -> bool {
        self.left.load(Relaxed)
    }
}

pub struct ToClient {
    pub parts: Parts,
    /// When the host's answer came that this passes on.
    pub answered: Option<Time>,
    /// The host's answer that this passes on takes room until it is written.
    pub held: Option<Held>,
    /// So does any answer at its client and in all until it is written.
    pub unread: Option<[Held; 2]>,
    /// Until then the visit's connection is in use.
    pub busy: Option<Held>,
}

impl ToClient {
    /// What it counts for while it is not read; a body may keep the whole buffer that it was read into.
    pub fn weight(&self) -> usize {
        self.length().max(if self.held.is_some() { PIECE } else { 0 })
    }

    fn length(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    fn bytes(&self) -> [&[u8]; 3] {
        self.parts.each_ref().map(|part| &part[..])
    }

    fn written(&self, spent: &Spent) {
        if let Some(answered) = self.answered {
            spent.outward.push(clock::now() - answered);
        }
    }
}

/// What is to go to one client.
pub struct Outlet {
    pub line: Arc<Line>,
    /// A thread of its own, once there was a need for it, and how many answers wait for that.
    slow: Option<Sender<Late>>,
    waiting: Gauge,
}

/// An answer of which so much is written already.
struct Late {
    answer: ToClient,
    written: usize,
    _waiting: Held,
}

impl Outlet {
    /// How many answers are not written yet.
    pub fn waiting(&self) -> usize {
        self.waiting.amount()
    }

    pub fn new(line: Arc<Line>) -> Outlet {
        Outlet { line, slow: None, waiting: Gauge::default() }
    }

    /// Writes what the machine takes at once, and never waits. Guards against a client that reads slowly and
    /// holds the others up: the rest, and what comes until that is written, goes to a thread of its own.
    pub fn send(&mut self, answer: ToClient, spent: &Arc<Spent>) {
        let mut written = 0;
        if self.waiting() == 0 {
            match self.line.write_now(&answer.bytes()) {
                Ok(n) if n == answer.length() => return answer.written(spent),
                Ok(n) => written = n,
                Err(_) => return self.line.finish(Code::WriteFailed),
            }
        }
        if self.slow.is_none() {
            let (mailbox, late) = unbounded();
            let (line, spent) = (self.line.clone(), spent.clone());
            if spawn("slow", move || write_slowly(&line, late, &spent)).is_err() {
                return self.line.finish(Code::NoThread);
            }
            self.slow = Some(mailbox);
        }
        if let Some(slow) = &self.slow {
            let _ = slow.send(Late { answer, written, _waiting: self.waiting.hold(1) });
        }
    }
}

/// A newcomer that waits for a place, unread.
struct Newcomer {
    client: Client,
    since: Time,
    /// Something has come from it.
    asks: bool,
}

/// A connection that this side has ended, until its other side has ended too.
struct Lingering {
    line: Arc<Line>,
    until: Time,
    bytes: usize,
}

/// What the thread of clients tells: requests by a mailbox that is bounded, ends by one that is not.
pub struct Tell {
    pub requests: Sender<Input>,
    pub ends: Sender<Input>,
}

/// Takes connections in and reads them until the process ends.
pub fn listen(
    listener: TcpListener,
    most: usize,
    patience: Span,
    tell: Tell,
    front: Arc<Front>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
    epoll.add(&listener, EpollEvent::new(EpollFlags::EPOLLIN, LISTENER))?;
    let (taken, lingering, newcomers, next, waiting) = Default::default();
    let (resting, failing) = (None, None);
    let mut clients = Clients {
        listener,
        epoll,
        most,
        patience,
        tell,
        front,
        taken,
        lingering,
        newcomers,
        next,
        waiting,
        resting,
        failing,
    };
    clients.run()
}

struct Clients {
    listener: TcpListener,
    epoll: Epoll,
    most: usize,
    patience: Span,
    tell: Tell,
    front: Arc<Front>,
    taken: BTreeMap<u64, Client>,
    lingering: BTreeMap<u64, Lingering>,
    /// In the order in which they came.
    newcomers: VecDeque<Newcomer>,
    next: u64,
    /// Of whom messages are read and not told yet, in turn. Guards against one who sends much and holds the others up,
    /// or the news that they have gone: he alone is not read from while the router has much to do.
    waiting: VecDeque<u64>,
    /// Until when the listener rests, for want of descriptors.
    resting: Option<Time>,
    failing: Option<Failing>,
}

/// Accepts that fail, one after another.
struct Failing {
    since: Time,
    /// The next rest for a shortage.
    rest: Span,
    /// The log has told of it.
    told: bool,
}

/// What an accept that failed says.
enum AcceptFailure {
    /// The process has no descriptor left.
    NoDescriptor,
    /// The machine has none, or no memory for it, just now.
    Shortage,
    /// The connection ended, or its network did, before it was taken: all others are as they were.
    ConnectionLost,
}

impl AcceptFailure {
    fn of(error: &io::Error) -> AcceptFailure {
        match error.raw_os_error() {
            Some(libc::EMFILE) => AcceptFailure::NoDescriptor,
            Some(libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => AcceptFailure::Shortage,
            _ => AcceptFailure::ConnectionLost,
        }
    }
}

/// Readable, and its other side's end even behind bytes that are not read yet.
fn reads() -> EpollFlags {
    EpollFlags::EPOLLIN | EpollFlags::EPOLLRDHUP
}

impl Clients {
    fn run(&mut self) -> io::Result<()> {
        let mut events = [EpollEvent::empty(); EVENTS];
        let mut look = clock::now() + LOOK;
        loop {
            let soon = !self.newcomers.is_empty() || !self.waiting.is_empty();
            let until = if soon { ROOM_LOOK } else { look - clock::now() };
            let until = self.resting.map_or(until, |resting| until.min(resting - clock::now()));
            let found = match self.epoll.wait(&mut events, EpollTimeout::from((until.0 / 1000 + 1) as u16)) {
                Err(Errno::EINTR) => 0,
                found => found?,
            };
            let gone = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
            for event in events[..found].iter().filter(|event| event.events().intersects(gone)) {
                if let Some(client) = self.taken.get_mut(&event.data()) {
                    client.line.leave();
                    client.untold.clear();
                }
                self.newcomer_left(event.data());
            }
            for event in &events[..found] {
                match event.data() {
                    LISTENER => self.accept()?,
                    number if self.lingering.contains_key(&number) => self.pass_over(number),
                    number if self.taken.contains_key(&number) => drop(self.turn(number)),
                    number => self.newcomer_asks(number),
                }
            }
            if self.tell_in_turn().is_err() {
                return Ok(());
            }
            self.make_room();
            let now = clock::now();
            self.end_rest(now)?;
            if now >= look {
                let leaving = self.front.has_come_to(Stage::Leaving);
                look = now + if self.front.has_come_to(Stage::Stopping) { LAST_LOOK } else { LOOK };
                self.look_after(now, leaving)?;
            }
        }
    }

    fn end_rest(&mut self, now: Time) -> io::Result<()> {
        match self.resting.take_if(|until| now >= *until) {
            Some(_) => self.hear_listener(true),
            None => Ok(()),
        }
    }

    fn look_after(&mut self, now: Time, leaving: bool) -> io::Result<()> {
        let over = |(number, lingering): (&u64, &Lingering)| (now >= lingering.until).then_some(*number);
        let over: Vec<u64> = self.lingering.iter().filter_map(over).collect();
        over.into_iter().for_each(|number| self.let_go(number));
        if leaving {
            self.accept()?;
        }
        let ends = |(number, client): (&u64, &Client)| Some((*number, client.fault(now, leaving)?));
        let ending: Vec<_> = self.taken.iter().filter_map(ends).collect();
        for (number, code) in ending {
            match self.taken.get_mut(&number) {
                Some(client) if code == Code::HalfMessage && client.is_used() => {
                    client.end_soon(now, &self.tell)
                }
                _ => self.end_resting(number, code),
            }
        }
        let standing = self.taken.len() + self.lingering.len() + self.newcomers.len();
        if leaving {
            self.front.left.store(standing == 0, Relaxed);
        }
        Ok(())
    }

    /// Ends a connection on which nothing is open, unless something has just come on it: guards against an end that
    /// closes over a request which was there.
    fn end_resting(&mut self, number: u64, code: Code) {
        let Some(client) = self.taken.get(&number) else { return };
        let heard = client.line.heard();
        if self.turn(number) && self.taken.get(&number).is_some_and(|client| client.line.heard() == heard) {
            self.close(number, code);
        }
    }

    /// Reads one piece of what has come and tells of all whole messages; whether the connection stands.
    fn turn(&mut self, number: u64) -> bool {
        let Some(client) = self.taken.get_mut(&number) else { return false };
        if client.line.is_ended() {
            let code = client.line.code();
            self.close(number, code);
            return false;
        }
        if !client.untold.is_empty() {
            return true;
        }
        if let Err(code) = client.turn() {
            self.close(number, code);
            return false;
        }
        if !client.untold.is_empty() {
            self.waiting.push_back(number);
        }
        true
    }

    /// Tells what was read, a message of each client in turn, until the router has enough; whoever is left over is not
    /// read from meanwhile.
    fn tell_in_turn(&mut self) -> Result<(), Code> {
        while let Some(number) = self.waiting.pop_front() {
            let Some(client) = self.taken.get_mut(&number) else { continue };
            if client.line.has_left() {
                client.untold.clear();
            }
            if let Some(what) = client.untold.pop_front() {
                match self.tell.requests.try_send(Input::Client(client.id, what)) {
                    Ok(()) => {}
                    Err(TrySendError::Full(Input::Client(_, what))) => {
                        client.untold.push_front(what);
                        self.waiting.push_front(number);
                        break;
                    }
                    Err(_) => return Err(Code::Stopped),
                }
            }
            if client.untold.is_empty() {
                client.hold(false, &self.epoll);
            } else {
                self.waiting.push_back(number);
            }
        }
        for number in &self.waiting {
            self.taken.get_mut(number).into_iter().for_each(|client| client.hold(true, &self.epoll));
        }
        Ok(())
    }

    fn hear_listener(&self, hear: bool) -> io::Result<()> {
        let flags = if hear { EpollFlags::EPOLLIN } else { EpollFlags::empty() };
        Ok(self.epoll.modify(&self.listener, &mut EpollEvent::new(flags, LISTENER))?)
    }

    /// Takes what waits at the listener, so much of it that those taken before are read in between. Guards against a crowd there, which holds the machine's sockets like
    /// connections that were taken, and lets who asks wait behind those that say nothing.
    fn accept(&mut self) -> io::Result<()> {
        let mut took = false;
        for _ in 0..EVENTS {
            if self.resting.is_some() {
                return Ok(());
            }
            match self.listener.accept() {
                Ok((stream, from)) => {
                    let client = Client::new(ClientId(self.next), stream, from);
                    self.next += 1;
                    self.take(client);
                }
                Err(error) if is_wait(&error) => return Ok(()),
                Err(error) => match AcceptFailure::of(&error) {
                    // The next one that waits is another connection.
                    AcceptFailure::ConnectionLost => continue,
                    AcceptFailure::NoDescriptor => return self.rest_without_descriptors(&error),
                    AcceptFailure::Shortage => return self.rest_for_shortage(&error),
                },
            }
            self.failing = None;
            took = true;
        }
        // Guards against a loop that burns the core where each accept fails, for whatever reason.
        if took {
            Ok(())
        } else {
            self.rest(REST_LEAST)
        }
    }

    /// The machine lacks something for a moment: asked again soon, and later each time. Where it goes on lacking it, that
    /// is like the process's own want of descriptors.
    fn rest_for_shortage(&mut self, error: &io::Error) -> io::Result<()> {
        let now = clock::now();
        let failing = self.failing.get_or_insert(Failing { since: now, rest: REST_LEAST, told: false });
        if now - failing.since > SHORTAGE_BORNE {
            return self.rest_without_descriptors(error);
        }
        let rest = failing.rest;
        failing.rest = (rest + rest).min(LOOK);
        self.rest(rest)
    }

    fn rest(&mut self, rest: Span) -> io::Result<()> {
        self.resting = Some(clock::now() + rest);
        self.hear_listener(false)
    }

    /// No descriptor is to be had, against what the limits tell. Guards against a loop that burns the core, and against
    /// idle clients that hold what the change log and hosts need: the first time so many places less are given out.
    fn rest_without_descriptors(&mut self, error: &io::Error) -> io::Result<()> {
        let now = clock::now();
        let failing = self.failing.get_or_insert(Failing { since: now, rest: LOOK, told: false });
        if !std::mem::replace(&mut failing.told, true) {
            tracing::warn!("accept fails: {error}");
            self.most = self.most.min(self.taken.len().saturating_sub(SPARE)).max(1);
        }
        while let Some(newcomer) = self.newcomers.pop_front() {
            self.refuse(newcomer.client);
        }
        while let Some(number) = self.lingering.keys().next().copied() {
            self.let_go(number);
        }
        self.rest(LOOK)
    }

    /// Gives it a place, or lets it wait for one. Past the bound on those that wait, one that has said nothing goes,
    /// the one that had the most time for that.
    fn take(&mut self, client: Client) {
        let number = client.id.0;
        let set_up = client.line.set_up(Some(clock::duration(self.patience)));
        if set_up.is_err() || self.epoll.add(&*client.line, EpollEvent::new(reads(), number)).is_err() {
            client.ended(Code::Reset);
            return;
        }
        if self.taken.len() < self.most && self.newcomers.is_empty() {
            self.taken.insert(number, client);
            return;
        }
        self.newcomers.push_back(Newcomer { client, since: clock::now(), asks: false });
        if self.newcomers.len() > (self.most / NEWCOMERS_PART).clamp(1, NEWCOMERS_MOST) {
            let mute = self.newcomers.iter().position(|newcomer| !newcomer.asks);
            let first = self.newcomers.remove(mute.unwrap_or(0));
            first.into_iter().for_each(|newcomer| self.refuse(newcomer.client));
        }
    }

    fn newcomer(&self, number: u64) -> Option<usize> {
        self.newcomers.iter().position(|newcomer| newcomer.client.id.0 == number)
    }

    /// It is not read before it has a place.
    fn newcomer_asks(&mut self, number: u64) {
        let Some(newcomer) = self.newcomer(number).map(|place| &mut self.newcomers[place]) else { return };
        newcomer.asks = true;
        newcomer.client.hold(true, &self.epoll);
    }

    fn newcomer_left(&mut self, number: u64) {
        let Some(newcomer) = self.newcomer(number).and_then(|place| self.newcomers.remove(place)) else {
            return;
        };
        newcomer.client.line.leave();
        newcomer.client.ended(Code::ClosedByPeer);
    }

    /// Has newcomers in, those that ask before those that don't; who has waited for long is turned away.
    fn make_room(&mut self) {
        let now = clock::now();
        while self.taken.len() + self.newcomers.len() > self.most && self.evict(now) {}
        while self.taken.len() < self.most {
            let asks = self.newcomers.iter().position(|newcomer| newcomer.asks);
            let Some(Newcomer { mut client, .. }) = self.newcomers.remove(asks.unwrap_or(0)) else { return };
            client.hold(false, &self.epoll);
            self.taken.insert(client.id.0, client);
        }
        while self.newcomers.front().is_some_and(|newcomer| now > newcomer.since + ROOM_WAIT) {
            let first = self.newcomers.pop_front();
            first.into_iter().for_each(|newcomer| self.refuse(newcomer.client));
        }
    }

    /// Guards against connections that say nothing, or no more, and leave no room for those that ask: the longest
    /// mute and then the longest unused makes room for a newcomer, which waits for that, but not for long. Whether one
    /// has gone.
    fn evict(&mut self, now: Time) -> bool {
        let unused = self.taken.values().filter_map(|client| Some((client.unused_for(now)?, client)));
        let unused = unused.filter(|(span, _)| *span > NEW);
        let longest = unused.max_by_key(|(span, client)| (!client.asked, *span));
        let Some(number) = longest.map(|(_, client)| client.id.0) else { return false };
        self.end_resting(number, Code::RoomNeeded);
        !self.taken.contains_key(&number)
    }

    /// Answers what a newcomer without a place has asked, and ends its connection.
    fn refuse(&mut self, mut client: Client) {
        if client.turn().is_ok() {
            for what in std::mem::take(&mut client.untold) {
                if let FromClient::Visit { id, .. } = what {
                    let parts = msgpack::turned_back(id, Span::ZERO);
                    let _ = client.line.write_now(&parts.each_ref().map(|part| &part[..]));
                }
            }
        }
        let number = client.id.0;
        client.ended(Code::TooManyClients);
        client.hold(false, &self.epoll);
        if !client.line.peer_left() {
            self.linger(number, client.line.clone());
        }
    }

    fn close(&mut self, number: u64, code: Code) {
        let Some(client) = self.taken.remove(&number) else { return };
        client.ended(code);
        if client.asked {
            let _ = self.tell.ends.send(Input::Client(client.id, FromClient::Closed));
        }
        let event = &mut EpollEvent::new(EpollFlags::EPOLLIN, number);
        if client.line.peer_left() || client.held && self.epoll.modify(&*client.line, event).is_err() {
            let _ = self.epoll.delete(&*client.line);
        } else {
            self.linger(number, client.line.clone());
        }
    }

    fn linger(&mut self, number: u64, line: Arc<Line>) {
        self.lingering.insert(number, Lingering { line, until: clock::now() + LINGER, bytes: 0 });
        if self.lingering.len() > LINGER_MOST {
            self.lingering.keys().next().copied().into_iter().for_each(|first| self.let_go(first));
        }
        self.pass_over(number);
    }

    /// Looked after no more, whoever holds it still.
    fn let_go(&mut self, number: u64) {
        if let Some(lingering) = self.lingering.remove(&number) {
            let _ = self.epoll.delete(&*lingering.line);
        }
    }

    fn pass_over(&mut self, number: u64) {
        let Some(lingering) = self.lingering.get_mut(&number) else { return };
        let passed = lingering.line.pass_over(&mut [0; PIECE]);
        lingering.bytes += passed.unwrap_or(0);
        if passed.is_none() || lingering.bytes > LINGER_BYTES {
            self.let_go(number);
        }
    }
}

/// The reading side of one connection.
struct Client {
    id: ClientId,
    from: SocketAddr,
    line: Arc<Line>,
    opened: Time,
    /// Visits that are open, and answers to them that are not written yet.
    busy: Gauge,
    asked: bool,
    buffer: BytesMut,
    /// Messages that were read, and whether reading rests for that.
    untold: VecDeque<FromClient>,
    held: bool,
    /// Requests that may be open, by their numbers.
    open: BTreeMap<u32, Withdraw>,
    /// The number of the last message.
    last: u32,
    visits: u64,
    /// What is open was told to end.
    ending: bool,
}

/// From so many on, requests that are over are forgotten.
const OPEN_KEPT: usize = 64;

impl Client {
    fn new(id: ClientId, stream: TcpStream, from: SocketAddr) -> Client {
        Client {
            id,
            from,
            line: Arc::new(Line::new(stream)),
            opened: clock::now(),
            busy: Gauge::default(),
            asked: false,
            buffer: BytesMut::new(),
            untold: VecDeque::new(),
            held: false,
            open: BTreeMap::new(),
            last: 0,
            visits: 0,
            ending: false,
        }
    }

    /// Whether it is not read from, but for its end.
    fn hold(&mut self, held: bool, epoll: &Epoll) {
        if std::mem::replace(&mut self.held, held) != held {
            let flags = if held { EpollFlags::EPOLLRDHUP } else { reads() };
            let _ = epoll.modify(&*self.line, &mut EpollEvent::new(flags, self.id.0));
        }
    }

    /// Whether something is open on it, or read and not told.
    fn is_used(&self) -> bool {
        self.busy.amount() > 0 || !self.untold.is_empty()
    }

    fn unused_for(&self, now: Time) -> Option<Span> {
        (!self.is_used()).then(|| now - self.line.heard())
    }

    /// Why it is to end. Guards against connections that stay mute, break off in a message or are not used.
    fn fault(&self, now: Time, leaving: bool) -> Option<Code> {
        if self.line.is_ended() {
            return Some(self.line.code());
        }
        let mute = (!self.asked).then(|| now - self.opened);
        let half = self.line.half_for(now);
        let unused = self.unused_for(now).filter(|_| half.is_none());
        let at_most = |span: Option<Span>, most: Span, code| span.filter(|span| *span > most).map(|_| code);
        let rests = leaving && unused.is_some() && mute.is_none_or(|span| span > NEW);
        at_most(half, HALF[0], Code::HalfMessage)
            .or(at_most(mute, MUTE, Code::Mute))
            .or(at_most(unused, IDLE, Code::Idle))
            .or(rests.then_some(Code::Stopped))
    }

    /// What is open on it gets its final answer, once it has stood in mid-message for long.
    fn end_soon(&mut self, now: Time, tell: &Tell) {
        let long = self.line.half_for(now).is_some_and(|span| span > HALF[1]);
        if long && !std::mem::replace(&mut self.ending, true) {
            let _ = tell.ends.send(Input::Client(self.id, FromClient::Ending));
        }
    }

    fn ended(&self, code: Code) {
        self.line.finish(code);
        let (client, code, visits) = (self.id.0, self.line.code().word(), self.visits);
        tracing::info!(
            client,
            code,
            visits,
            "client {client} {} closed: {code} after {visits} visits",
            self.from
        );
    }

    /// Reads one piece of what has come, so that who sends much waits its turn, and takes all whole messages.
    fn turn(&mut self) -> Result<(), Code> {
        let line = self.line.clone();
        let _until_marked = line.reading();
        let Some(at) = self.line.read_now(&mut self.buffer, PIECE)? else { return Ok(()) };
        let mut messages = Vec::new();
        while let Some(message) = msgpack::next(&mut self.buffer)? {
            messages.push(message);
        }
        self.line.left_over(&self.buffer, !messages.is_empty());
        if self.buffer.is_empty() {
            // Guards against large messages whose room stays with connections that stand.
            self.buffer = BytesMut::new();
        }
        if messages.is_empty() || self.line.has_left() {
            return Ok(());
        }
        // Guards against an answer that could be taken for another message's. What came together with such a
        // message is not taken either.
        for message in &messages {
            if let Message::Visit(id, _) | Message::Bad(id, _) | Message::Status(id) = message {
                if *id <= self.last {
                    return Err(Code::IdNotUp);
                }
                self.last = *id;
            }
        }
        if !std::mem::replace(&mut self.asked, true) {
            self.untold.push_back(FromClient::Opened { line: self.line.clone() });
        }
        for message in messages {
            match message {
                Message::Visit(id, asked) => {
                    self.visits += 1;
                    let (busy, wanted) = (self.busy.hold(1), Wanted::new(self.line.clone(), id));
                    if self.open.len() >= OPEN_KEPT {
                        self.open.retain(|_, withdraw| withdraw.is_open());
                    }
                    self.open.insert(id, wanted.withdraw());
                    self.untold.push_back(FromClient::Visit { id, asked, at, busy, wanted });
                }
                Message::Bad(id, field) => self.untold.push_back(FromClient::Bad { id, field }),
                Message::Status(id) => self.untold.push_back(FromClient::Status { id }),
                Message::Withdraw(ids) => {
                    ids.iter().filter_map(|id| self.open.get(id)).for_each(Withdraw::now);
                    self.untold.push_back(FromClient::Withdrawn { ids });
                }
                Message::Unknown => {}
            }
        }
        Ok(())
    }
}

fn write_slowly(line: &Line, late: Receiver<Late>, spent: &Spent) {
    while let Some(Late { answer, written, _waiting }) = mailbox::next(&late) {
        if let Err(error) = line.write(&answer.bytes(), written) {
            line.finish(if is_wait(&error) { Code::SlowReader } else { Code::WriteFailed });
            return;
        }
        answer.written(spent);
    }
}
