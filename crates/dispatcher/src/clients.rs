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
use bytes::{Bytes, BytesMut};
use cherrypass::time::{Span, Time};
use crossbeam_channel::{unbounded, Receiver, Sender};
use nix::errno::Errno;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// What is read at once, which an open visit may keep.
pub const PIECE: usize = 8 * 1024;
/// Who has sent nothing whole by then is owed an end.
const MUTE: Span = Span::millis(2_000);
/// A message that has begun comes whole within this.
const HALF: Span = Span::millis(1_500);
/// Clients close what they don't use after 4 s; what stands longer is not used again.
const IDLE: Span = Span::millis(4_500);
/// How often connections are looked after.
const LOOK: Span = Span::millis(250);
/// A connection this new may still be about to ask: it doesn't make room for others.
const NEW: Span = Span::millis(250);
/// How long a newcomer waits for room before it is turned away, and how often it is looked for.
const ROOM_WAIT: Span = Span::millis(400);
const ROOM_LOOK: Span = Span::millis(2);
/// How many connections are served for one look, and what stands for the listener among them.
const EVENTS: usize = 64;
const LISTENER: u64 = u64::MAX;

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
                Err(_) => return self.line.end(Code::WriteFailed),
            }
        }
        if self.slow.is_none() {
            let (mailbox, late) = unbounded();
            let (line, spent) = (self.line.clone(), spent.clone());
            if spawn("slow", move || write_slowly(&line, late, &spent)).is_err() {
                return self.line.end(Code::NoThread);
            }
            self.slow = Some(mailbox);
        }
        if let Some(slow) = &self.slow {
            let _ = slow.send(Late { answer, written, _waiting: self.waiting.hold(1) });
        }
    }
}

/// A newcomer that waits for a place.
struct Newcomer {
    stream: TcpStream,
    from: SocketAddr,
    since: Time,
}

/// Takes connections in and reads them until the process ends.
pub fn listen(listener: TcpListener, most: usize, patience: Span, router: Sender<Input>) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
    epoll.add(&listener, EpollEvent::new(EpollFlags::EPOLLIN, LISTENER))?;
    let (taken, newcomer, next, failing) = Default::default();
    let mut clients = Clients { listener, epoll, most, patience, router, taken, newcomer, next, failing };
    clients.run()
}

struct Clients {
    listener: TcpListener,
    epoll: Epoll,
    most: usize,
    patience: Span,
    router: Sender<Input>,
    taken: BTreeMap<u64, Client>,
    newcomer: Option<Newcomer>,
    next: u64,
    failing: bool,
}

impl Clients {
    fn run(&mut self) -> io::Result<()> {
        let mut events = [EpollEvent::empty(); EVENTS];
        let mut look = clock::now() + LOOK;
        loop {
            let until = if self.newcomer.is_some() { ROOM_LOOK } else { look - clock::now() };
            let found = match self.epoll.wait(&mut events, EpollTimeout::from((until.0 / 1000 + 1) as u16)) {
                Err(Errno::EINTR) => 0,
                found => found?,
            };
            for event in &events[..found] {
                match event.data() {
                    LISTENER => self.accept()?,
                    number => {
                        let turn = self.taken.get_mut(&number).map(|client| client.turn(&self.router));
                        match turn {
                            Some(Err(Code::Stopped)) => return Ok(()),
                            Some(Err(code)) => self.close(number, code),
                            Some(Ok(())) | None => {}
                        }
                    }
                }
            }
            self.make_room()?;
            let now = clock::now();
            if now >= look {
                look = now + LOOK;
                let ends = |client: &Client| Some((client.line.clone(), client.fault(now)?));
                let ending: Vec<_> = self.taken.values().filter_map(ends).collect();
                ending.into_iter().for_each(|(line, code)| line.end(code));
            }
        }
    }

    /// Takes what waits at the listener, until there is no place for one.
    fn accept(&mut self) -> io::Result<()> {
        while self.newcomer.is_none() {
            match self.listener.accept() {
                Ok((stream, from)) if self.taken.len() < self.most => self.take(stream, from),
                Ok((stream, from)) => {
                    self.newcomer = Some(Newcomer { stream, from, since: clock::now() });
                    self.epoll.modify(&self.listener, &mut EpollEvent::new(EpollFlags::empty(), LISTENER))?;
                }
                Err(error) if is_wait(&error) => return Ok(()),
                // Guards against a loop that burns the core while no descriptor is to be had.
                Err(error) => {
                    if !self.failing {
                        tracing::warn!("accept fails: {error}");
                    }
                    self.failing = true;
                    std::thread::sleep(Duration::from_millis(5));
                    return Ok(());
                }
            }
            self.failing = false;
        }
        Ok(())
    }

    fn take(&mut self, stream: TcpStream, from: SocketAddr) {
        let number = self.next;
        self.next += 1;
        let client = Client::new(ClientId(number), stream, from);
        let set_up = client.line.set_up(Some(clock::duration(self.patience)));
        let event = EpollEvent::new(EpollFlags::EPOLLIN, number);
        if set_up.is_err() || self.epoll.add(&*client.line, event).is_err() {
            client.ended(Code::Reset);
            return;
        }
        self.taken.insert(number, client);
    }

    /// Guards against connections that say nothing, or no more, and leave no room for those that ask: the longest
    /// mute and then the longest unused makes room for a newcomer, which waits for that, but not for long.
    fn make_room(&mut self) -> io::Result<()> {
        let Some(newcomer) = &self.newcomer else { return Ok(()) };
        let now = clock::now();
        if self.taken.len() >= self.most && now <= newcomer.since + ROOM_WAIT {
            // One that has ended makes room as soon as its end was read.
            let standing = || self.taken.values().filter(|client| !client.line.is_ended());
            if standing().count() >= self.most {
                let unused = standing().filter_map(|client| Some((client.unused_for(now)?, client)));
                let unused = unused.filter(|(span, _)| *span > NEW);
                let longest = unused.max_by_key(|(span, client)| (!client.asked, *span));
                longest.into_iter().for_each(|(_, client)| client.line.end(Code::RoomNeeded));
            }
            return Ok(());
        }
        let Some(Newcomer { stream, from, .. }) = self.newcomer.take() else { return Ok(()) };
        if self.taken.len() < self.most {
            self.take(stream, from);
        } else {
            let number = ClientId(self.next);
            self.next += 1;
            Client::new(number, stream, from).ended(Code::TooManyClients);
        }
        Ok(self.epoll.modify(&self.listener, &mut EpollEvent::new(EpollFlags::EPOLLIN, LISTENER))?)
    }

    fn close(&mut self, number: u64, code: Code) {
        let Some(client) = self.taken.remove(&number) else { return };
        let _ = self.epoll.delete(&*client.line);
        client.ended(code);
        if client.asked {
            let _ = self.router.send(Input::Client(client.id, FromClient::Closed));
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
    /// The number of the last message.
    last: u32,
    visits: u64,
}

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
            last: 0,
            visits: 0,
        }
    }

    fn unused_for(&self, now: Time) -> Option<Span> {
        (self.busy.amount() == 0).then(|| now - self.line.heard())
    }

    /// Why it is to end. Guards against connections that stay mute, break off in a message or are not used.
    fn fault(&self, now: Time) -> Option<Code> {
        let mute = (!self.asked).then(|| now - self.opened);
        let half = self.line.half_for(now);
        let unused = self.unused_for(now).filter(|_| half.is_none());
        let at_most = |span: Option<Span>, most: Span, code| span.filter(|span| *span > most).map(|_| code);
        at_most(half, HALF, Code::HalfMessage).or(at_most(mute, MUTE, Code::Mute)).or(at_most(
            unused,
            IDLE,
            Code::Idle,
        ))
    }

    fn ended(&self, code: Code) {
        self.line.end(code);
        let (client, code, visits) = (self.id.0, self.line.code().word(), self.visits);
        tracing::info!(
            client,
            code,
            visits,
            "client {client} {} closed: {code} after {visits} visits",
            self.from
        );
    }

    /// Reads one piece of what has come and tells of all whole messages, so that who sends much waits its turn.
    fn turn(&mut self, router: &Sender<Input>) -> Result<(), Code> {
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
        let tell = |what| router.send(Input::Client(self.id, what)).map_err(|_| Code::Stopped);
        if !messages.is_empty() && !std::mem::replace(&mut self.asked, true) {
            tell(FromClient::Opened { line: self.line.clone() })?;
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
        for message in messages {
            match message {
                Message::Visit(id, asked) => {
                    self.visits += 1;
                    tell(FromClient::Visit { id, asked, at, busy: self.busy.hold(1) })?;
                }
                Message::Bad(id, field) => tell(FromClient::Bad { id, field })?,
                Message::Status(id) => tell(FromClient::Status { id })?,
                Message::Withdraw(ids) => tell(FromClient::Withdrawn { ids })?,
                Message::Unknown => {}
            }
        }
        Ok(())
    }
}

fn write_slowly(line: &Line, late: Receiver<Late>, spent: &Spent) {
    while let Some(Late { answer, written, _waiting }) = mailbox::next(&late) {
        if let Err(error) = line.write(&answer.bytes(), written) {
            line.end(if is_wait(&error) { Code::SlowReader } else { Code::WriteFailed });
            return;
        }
        answer.written(spent);
    }
}
