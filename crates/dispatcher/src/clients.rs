//! Clients: the listener, and for each connection a thread that reads and, once it has asked, one that writes.
use crate::bounds::{Gauge, Held};
use crate::clock;
use crate::ids::ClientId;
use crate::line::{spawn, Code, Line};
use crate::mailbox;
use crate::msgpack::{self, Asked, Message, Parts};
use crate::router::Input;
use crate::spent::Spent;
use bytes::BytesMut;
use cherrypass::time::{Span, Time};
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// What is read at once, which an open visit may keep.
pub const PIECE: usize = 8 * 1024;
/// Who has sent nothing whole by then is owed an end.
const MUTE: Span = Span::millis(2_000);
/// A message that has begun comes whole within this.
const HALF: Span = Span::millis(1_500);
/// Clients close what they don't use after 4 s; what stands longer is not used again.
const IDLE: Span = Span::millis(5_000);
/// How often a connection that brings nothing is looked at.
const LOOK: Duration = Duration::from_millis(500);
/// A connection this new may still be about to ask: it doesn't make room for others.
const NEW: Span = Span::millis(250);
/// How long a newcomer waits for room before it is turned away, and how often it is looked for.
const ROOM_WAIT: Span = Span::millis(400);
const ROOM_LOOK: Duration = Duration::from_millis(2);

/// What clients tell the router; a visit with the time of its last byte.
pub enum FromClient {
    Opened { mailbox: Sender<ToClient>, line: Arc<Line> },
    Visit { id: u32, asked: Box<Asked>, at: Time, busy: Held },
    Bad { id: u32, field: &'static str },
    Status { id: u32 },
    Withdrawn { ids: Vec<u32> },
    Closed,
}

pub struct ToClient {
    pub parts: Parts,
    /// When the host's answer came that this passes on.
    pub answered: Option<Time>,
    /// The host's answer that this passes on takes room until it is written.
    pub held: Option<Held>,
    /// So does any answer at its client and in all until it is written.
    pub unread: Option<[Held; 3]>,
    /// Until then the visit's connection is in use.
    pub busy: Option<Held>,
}

impl ToClient {
    /// What it counts for while it is not read; a body may keep the whole buffer that it was read into.
    pub fn weight(&self) -> usize {
        let held = if self.held.is_some() { PIECE } else { 0 };
        self.parts.iter().map(|part| part.len()).sum::<usize>().max(held)
    }
}

/// A connection as the listener sees it, for as long as its reader lives.
struct Place {
    line: Arc<Line>,
    /// Visits that are open, and answers to them that are not written yet.
    busy: Gauge,
    /// When something last came.
    used: AtomicU64,
    asked: AtomicBool,
}

impl Place {
    fn new(line: Arc<Line>) -> Place {
        let used = AtomicU64::new(clock::now().0);
        Place { line, busy: Gauge::default(), used, asked: AtomicBool::new(false) }
    }

    fn unused_for(&self, now: Time) -> Option<Span> {
        (self.busy.amount() == 0).then(|| now - Time(self.used.load(Relaxed)))
    }
}

/// All places for clients. Guards against connections that say nothing, or no more, and leave no room for
/// those that ask: the longest mute and then the longest unused makes room.
struct Places {
    most: usize,
    taken: Vec<Weak<Place>>,
}

impl Places {
    fn is_full(&mut self) -> bool {
        if self.taken.len() >= self.most {
            self.taken.retain(|place| place.strong_count() > 0);
        }
        self.taken.len() >= self.most
    }

    /// Waits until there is room, but not for long: a newcomer that is not taken waits as well.
    fn make_room(&mut self) -> bool {
        let begun = clock::now();
        while self.is_full() {
            let now = clock::now();
            if now > begun + ROOM_WAIT {
                return false;
            }
            let standing = self.taken.iter().filter_map(Weak::upgrade).filter(|place| !place.line.is_ended());
            let unused = standing.filter_map(|place| Some((place.unused_for(now)?, place)));
            let unused = unused.filter(|(span, _)| *span > NEW);
            if let Some((_, place)) = unused.max_by_key(|(span, p)| (!p.asked.load(Relaxed), *span)) {
                place.line.end(Code::RoomNeeded);
            }
            std::thread::sleep(ROOM_LOOK);
        }
        true
    }
}

/// Takes connections in until the process ends.
pub fn listen(listener: TcpListener, most: usize, patience: Span, spent: Arc<Spent>, router: Sender<Input>) {
    let mut places = Places { most, taken: Vec::new() };
    let mut failing = false;
    for number in 0.. {
        let (stream, from) = match listener.accept() {
            Ok(found) => found,
            // Guards against a loop that burns the core while no descriptor is to be had.
            Err(error) => {
                if !failing {
                    log::warn!("accept fails: {error}");
                }
                failing = true;
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
        };
        failing = false;
        let place = Arc::new(Place::new(Arc::new(Line::new(stream))));
        let client = Client { id: ClientId(number), from, place, patience };
        if !places.make_room() {
            client.ended(Code::TooManyClients, 0);
            continue;
        }
        places.taken.push(Arc::downgrade(&client.place));
        let (router, spent, line) = (router.clone(), spent.clone(), client.place.line.clone());
        if spawn("client", move || client.run(spent, &router)).is_err() {
            log::info!("client {number} {from} closed: {}", Code::NoThread.word());
            line.end(Code::NoThread);
        }
    }
}

/// The reading side of one connection, which sees it to its end.
struct Client {
    id: ClientId,
    from: SocketAddr,
    place: Arc<Place>,
    patience: Span,
}

impl Client {
    fn ended(&self, code: Code, visits: u64) {
        let line = &self.place.line;
        line.end(code);
        log::info!("client {} {} closed: {} after {visits} visits", self.id.0, self.from, line.code().word());
    }

    fn run(self, spent: Arc<Spent>, router: &Sender<Input>) {
        let tell = |what| router.send(Input::Client(self.id, what)).map_err(|_| Code::Stopped);
        let (mut visits, mut writer) = (0, None);
        let mut buffer = BytesMut::new();
        let limits = (Some(LOOK), Some(clock::duration(self.patience)));
        let set_up = self.place.line.set_up(limits.0, limits.1).map_err(|_| Code::Reset);
        let end = set_up.and_then(|()| self.next(&mut buffer)).and_then(|messages| {
            let (mailbox, answers) = unbounded();
            let line = self.place.line.clone();
            let writes = line.clone();
            writer =
                Some(spawn("answers", move || write(&writes, answers, &spent)).map_err(|_| Code::NoThread)?);
            tell(FromClient::Opened { mailbox, line })?;
            self.take_all(buffer, messages, &mut visits, &tell)
        });
        self.place.line.end(end.err().unwrap_or(Code::ClosedByPeer));
        if let Some(writer) = writer {
            let _ = tell(FromClient::Closed);
            let _ = writer.join();
        }
        self.ended(Code::ClosedByPeer, visits);
    }

    /// Reads until there is a whole message, and returns all whole ones. Guards against connections that stay
    /// mute, break off in a message or are not used any more.
    fn next(&self, buffer: &mut BytesMut) -> Result<Vec<Message>, Code> {
        let mut begun = clock::now();
        loop {
            let fresh = buffer.is_empty();
            let came = self.place.line.read(buffer, PIECE)?;
            let now = clock::now();
            if came {
                begun = if fresh { now } else { begun };
                let mut messages = Vec::new();
                while let Some(message) = msgpack::next(buffer)? {
                    messages.push(message);
                }
                if !messages.is_empty() {
                    self.place.used.store(now.0, Relaxed);
                    return Ok(messages);
                }
            }
            if !buffer.is_empty() && now - begun > HALF {
                return Err(Code::HalfMessage);
            }
            let unused = self.place.unused_for(now);
            if !self.place.asked.load(Relaxed) && unused.is_some_and(|span| span > MUTE) {
                return Err(Code::Mute);
            }
            if buffer.is_empty() && unused.is_some_and(|span| span > IDLE) {
                return Err(Code::Idle);
            }
        }
    }

    fn take_all(
        &self,
        mut buffer: BytesMut,
        mut messages: Vec<Message>,
        visits: &mut u64,
        tell: &impl Fn(FromClient) -> Result<(), Code>,
    ) -> Result<(), Code> {
        let mut last = 0;
        self.place.asked.store(true, Relaxed);
        loop {
            // Guards against an answer that could be taken for another message's. What came together with such
            // a message is not taken either.
            for message in &messages {
                if let Message::Visit(id, _) | Message::Bad(id, _) | Message::Status(id) = message {
                    if *id <= last {
                        return Err(Code::IdNotUp);
                    }
                    last = *id;
                }
            }
            let at = Time(self.place.used.load(Relaxed));
            for message in messages {
                match message {
                    Message::Visit(id, asked) => {
                        *visits += 1;
                        tell(FromClient::Visit { id, asked, at, busy: self.place.busy.hold(1) })?;
                    }
                    Message::Bad(id, field) => tell(FromClient::Bad { id, field })?,
                    Message::Status(id) => tell(FromClient::Status { id })?,
                    Message::Withdraw(ids) => tell(FromClient::Withdrawn { ids })?,
                    Message::Unknown => {}
                }
            }
            messages = self.next(&mut buffer)?;
        }
    }
}

fn write(line: &Line, answers: Receiver<ToClient>, spent: &Spent) {
    while let Some(answer) = mailbox::next(&answers) {
        let [head, body, tail] = &answer.parts;
        if let Err(error) = line.write(&[head, body, tail]) {
            use std::io::ErrorKind::{TimedOut, WouldBlock};
            let slow = matches!(error.kind(), WouldBlock | TimedOut);
            line.end(if slow { Code::SlowReader } else { Code::WriteFailed });
            return;
        }
        if let Some(answered) = answer.answered {
            spent.outward.push(clock::now() - answered);
        }
    }
}
