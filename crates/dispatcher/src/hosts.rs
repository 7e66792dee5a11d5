//! Hosts (caches, parents, origin): each an actor with a pool of connections, and for each connection a
//! thread that connects and writes and one that reads.
use crate::bounds::{Held, Room};
use crate::clock;
use crate::config::Reach;
use crate::ids::{HandOffId, LineId};
use crate::line::{spawn, Code, Line};
use crate::mailbox;
use crate::resp::{self, Answer, Begun};
use crate::router::Input;
use bytes::{Bytes, BytesMut};
use cherrypass::calls::Outcome;
use cherrypass::time::{Span, Time};
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

const PIECE: usize = 16 * 1024;
/// A connection with less than this part of its most out takes one more before another is opened.
const LIGHT: usize = 8;
const FULL: std::time::Duration = std::time::Duration::from_millis(1);

/// How far a hand-off has got on its way out: when it was wholly written, before which it can't have run.
#[derive(Clone, Debug, Default)]
pub struct Way(Arc<AtomicU64>);

const WAITS: u64 = 0;
const BEGUN: u64 = 1;
const OFF: u64 = u64::MAX;

impl Way {
    /// Guards against a hand-off that is written late, after its visit's final answer: one that is called off
    /// before its first byte stays unwritten.
    pub fn begin(&self) -> bool {
        self.0.compare_exchange(WAITS, BEGUN, Relaxed, Relaxed).is_ok()
    }

    fn written(&self) {
        self.0.store(clock::now().0, Relaxed);
    }

    /// Whether this came before the first byte, so that the hand-off never goes out.
    pub fn call_off(&self) -> bool {
        self.0.compare_exchange(WAITS, OFF, Relaxed, Relaxed).is_ok()
    }

    fn is_off(&self) -> bool {
        self.0.load(Relaxed) == OFF
    }

    pub fn written_at(&self) -> Option<Time> {
        Some(self.0.load(Relaxed)).filter(|at| ![WAITS, BEGUN, OFF].contains(at)).map(Time)
    }
}

/// A hand-off as it goes out.
#[derive(Clone, Debug)]
pub struct HandOff {
    pub id: HandOffId,
    /// The client's id of the visit, which names the hand-off on the wire.
    pub txn: Bytes,
    pub fields: String,
    pub body: Bytes,
    /// The client told of a copy that it holds.
    pub seen: bool,
    /// Until when an answer may come.
    pub until: Time,
    pub way: Way,
}

/// What hosts tell the router of a hand-off.
pub enum FromHost {
    /// The host was told that no answer is wanted any more, or its connection has ended.
    GivenUp {
        at: Time,
    },
    Ended {
        outcome: Outcome,
        answer: Option<(Answer, Held)>,
        at: Time,
    },
}

pub enum ToHost {
    HandOff(HandOff),
    NeverMind(HandOffId),
    /// The hand-off's connection had to be up by now.
    ConnectLimit(HandOffId),
    Sweep(Time),
    Retire,
    Up(LineId, Arc<Line>),
    GivenUp(LineId, HandOffId, Time),
    Answered(LineId, Answer, Held, Time),
    Spoilt(LineId, Bytes, Time),
    Closed(LineId, Time),
}

enum ToLine {
    HandOff(HandOff),
    NeverMind(HandOffId, Bytes),
    End,
}

struct Out {
    id: HandOffId,
    seen: bool,
    until: Time,
    way: Way,
}

struct Pooled {
    mailbox: Sender<ToLine>,
    line: Option<Arc<Line>>,
    /// Hand-offs that wait for the connection to come up.
    pending: VecDeque<HandOff>,
    out: BTreeMap<Bytes, Out>,
    /// Ids given up, and until when a late answer to them may come.
    given_up: BTreeMap<Bytes, Time>,
    /// Those of which the host is not told yet.
    untold: Vec<HandOffId>,
    used: Time,
    ending: bool,
}

impl Pooled {
    fn may_take(&self, txn: &Bytes, streams: usize) -> bool {
        // Guards against an answer to a hand-off given up that is taken for one of the same visit's next.
        let taken = self.out.contains_key(txn) || self.given_up.contains_key(txn);
        !self.ending && !taken && self.out.len() < streams
    }

    fn end(&mut self, code: Code) {
        self.ending = true;
        if let Some(line) = &self.line {
            line.end(code);
        }
        let _ = self.mailbox.send(ToLine::End);
    }
}

pub struct Host {
    name: String,
    address: SocketAddr,
    reach: Reach,
    room: Room,
    own: Sender<ToHost>,
    router: Sender<Input>,
    lines: BTreeMap<LineId, Pooled>,
    next: u64,
    retired: bool,
    _joined: Held,
}

impl Host {
    /// Starts a host's actor and returns its mailbox.
    pub fn start(
        name: &str,
        address: SocketAddr,
        reach: Reach,
        room: Room,
        router: Sender<Input>,
    ) -> std::io::Result<Sender<ToHost>> {
        let (own, mailbox) = unbounded();
        let lines = BTreeMap::new();
        let name = name.to_owned();
        let _joined = room.join();
        let (next, retired) = (0, false);
        let mut host =
            Host { name, address, reach, room, own: own.clone(), router, lines, next, retired, _joined };
        spawn("host", move || host.run(mailbox))?;
        Ok(own)
    }

    fn run(&mut self, mailbox: Receiver<ToHost>) {
        while let Some(message) = mailbox::next(&mailbox) {
            self.take(message);
            if self.retired {
                self.end_unused();
                if self.lines.is_empty() {
                    return;
                }
            }
        }
    }

    fn take(&mut self, message: ToHost) {
        match message {
            ToHost::HandOff(hand_off) => self.hand_off(hand_off),
            ToHost::NeverMind(id) => self.never_mind(id),
            ToHost::ConnectLimit(id) => {
                let waits = |p: &Pooled| p.pending.iter().any(|hand_off| hand_off.id == id);
                if let Some(pooled) = self.lines.values_mut().find(|p| waits(p)) {
                    pooled.pending.retain(|hand_off| hand_off.id != id);
                    pooled.out.retain(|_, out| out.id != id);
                    self.ended(id, Outcome::ConnectFailed, None, clock::now());
                }
            }
            ToHost::Sweep(now) => self.sweep(now),
            ToHost::Retire => self.retired = true,
            ToHost::Up(line, shared) => {
                let Some(pooled) = self.lines.get_mut(&line) else { return };
                if pooled.ending {
                    shared.end(Code::HostGone);
                }
                pooled.line = Some(shared);
                for hand_off in pooled.pending.drain(..) {
                    let _ = pooled.mailbox.send(ToLine::HandOff(hand_off));
                }
            }
            ToHost::GivenUp(line, id, at) => {
                if let Some(pooled) = self.lines.get_mut(&line) {
                    pooled.untold.retain(|untold| *untold != id);
                    let _ = self.router.send(Input::HandOff(id, FromHost::GivenUp { at }));
                }
            }
            ToHost::Answered(line, answer, held, at) => self.answered(line, answer, held, at),
            ToHost::Spoilt(line, txn, at) => {
                let pooled = self.lines.get_mut(&line);
                if let Some(out) = pooled.and_then(|pooled| pooled.out.remove(&txn)) {
                    self.ended(out.id, Outcome::Error, None, at);
                }
            }
            ToHost::Closed(line, at) => {
                let Some(pooled) = self.lines.remove(&line) else { return };
                for id in pooled.untold {
                    let _ = self.router.send(Input::HandOff(id, FromHost::GivenUp { at }));
                }
                for out in pooled.out.into_values() {
                    // What was not wholly written can't have run.
                    let ran = out.way.written_at().is_some();
                    let outcome = if ran { Outcome::Reset } else { Outcome::ConnectFailed };
                    self.ended(out.id, outcome, None, at);
                }
            }
        }
    }

    /// What is still out at a host that has gone may end well; each has its time-out.
    fn end_unused(&mut self) {
        let unused = self.lines.values_mut().filter(|pooled| !pooled.ending && pooled.out.is_empty());
        unused.for_each(|pooled| pooled.end(Code::HostGone));
    }

    fn ended(&self, id: HandOffId, outcome: Outcome, answer: Option<(Answer, Held)>, at: Time) {
        let _ = self.router.send(Input::HandOff(id, FromHost::Ended { outcome, answer, at }));
    }

    /// The connection with the least out, or a new one where that has its part and this host's share permits.
    /// Answers on one connection don't hold each other up, and each connection costs two threads.
    fn hand_off(&mut self, hand_off: HandOff) {
        let streams = self.reach.streams;
        let free = self.lines.iter().filter(|(_, pooled)| pooled.may_take(&hand_off.txn, streams));
        let best = free.min_by_key(|(_, pooled)| {
            (pooled.out.len(), pooled.line.is_none(), std::cmp::Reverse(pooled.used))
        });
        let best = best.map(|(line, pooled)| (*line, pooled.out.len()));
        let line = match best {
            Some((line, load)) if load < (streams / LIGHT).max(1) => Some(line),
            other => self.open().or(other.map(|(line, _)| line)),
        };
        let Some(pooled) = line.and_then(|line| self.lines.get_mut(&line)) else {
            self.ended(hand_off.id, Outcome::ConnectFailed, None, clock::now());
            return;
        };
        let (id, seen, until) = (hand_off.id, hand_off.seen, hand_off.until);
        let out = Out { id, seen, until, way: hand_off.way.clone() };
        pooled.out.insert(hand_off.txn.clone(), out);
        if pooled.line.is_some() {
            let _ = pooled.mailbox.send(ToLine::HandOff(hand_off));
        } else {
            pooled.pending.push_back(hand_off);
        }
    }

    fn open(&mut self) -> Option<LineId> {
        if self.retired || self.lines.len() >= self.room.share() {
            return None;
        }
        let line = LineId(self.next);
        self.next += 1;
        let (mailbox, messages) = unbounded();
        let speaker = Speaker {
            line,
            name: self.name.clone(),
            address: self.address,
            limit: self.reach.connect_limit,
            host: self.own.clone(),
            room: self.room.clone(),
        };
        let own = mailbox.clone();
        if spawn("line", move || speaker.run(own, messages)).is_err() {
            log::warn!("host {} line {} closed: {}", self.name, line.0, Code::NoThread.word());
            return None;
        }
        let pooled = Pooled {
            mailbox,
            line: None,
            pending: VecDeque::new(),
            out: BTreeMap::new(),
            given_up: BTreeMap::new(),
            untold: Vec::new(),
            used: clock::now(),
            ending: false,
        };
        self.lines.insert(line, pooled);
        Some(line)
    }

    fn never_mind(&mut self, id: HandOffId) {
        for pooled in self.lines.values_mut() {
            let Some((txn, until)) =
                pooled.out.iter().find(|(_, out)| out.id == id).map(|(txn, out)| (txn.clone(), out.until))
            else {
                continue;
            };
            let off = pooled.out.remove(&txn).is_some_and(|out| out.way.is_off());
            pooled.used = clock::now();
            pooled.pending.retain(|hand_off| hand_off.id != id);
            if !off {
                let _ = pooled.mailbox.send(ToLine::NeverMind(id, resp::never_mind(&txn)));
                pooled.untold.push(id);
                pooled.given_up.insert(txn, until.max(clock::now()));
            }
            return;
        }
    }

    fn answered(&mut self, line: LineId, answer: Answer, held: Held, at: Time) {
        let Some(pooled) = self.lines.get_mut(&line) else { return };
        pooled.used = at;
        let Some(out) = pooled.out.remove(&answer.id) else {
            // An answer to what was given up, or to nothing: dropped by its id.
            pooled.given_up.remove(&answer.id);
            return;
        };
        // A copy that the client holds can only be the one where the client told of it.
        if answer.keep && !out.seen {
            self.ended(out.id, Outcome::Error, None, at);
        } else {
            self.ended(out.id, answer.outcome, Some((answer, held)), at);
        }
    }

    /// Closes what was idle for most of the time after which the host would close it.
    fn sweep(&mut self, now: Time) {
        let idle = self.reach.idle.times(0.8);
        for pooled in self.lines.values_mut() {
            pooled.given_up.retain(|_, until| now < *until + idle);
            if !pooled.ending && pooled.out.is_empty() && pooled.line.is_some() && now - pooled.used > idle {
                pooled.end(Code::Idle);
            }
        }
    }
}

/// The writing side of one connection, which also opens it and sees it to its end.
struct Speaker {
    line: LineId,
    name: String,
    address: SocketAddr,
    limit: Span,
    host: Sender<ToHost>,
    room: Room,
}

impl Speaker {
    fn run(self, own: Sender<ToLine>, messages: Receiver<ToLine>) {
        let mut sent = 0;
        let code = match TcpStream::connect_timeout(&self.address, clock::duration(self.limit)) {
            Ok(stream) => self.serve(Arc::new(Line::new(stream)), own, messages, &mut sent),
            Err(error) => Code::of_connect(&error),
        };
        log::info!("host {} line {} closed: {} after {sent} hand-offs", self.name, self.line.0, code.word());
        let _ = self.host.send(ToHost::Closed(self.line, clock::now()));
    }

    fn serve(
        &self,
        line: Arc<Line>,
        own: Sender<ToLine>,
        messages: Receiver<ToLine>,
        sent: &mut u64,
    ) -> Code {
        let _ = line.set_up(None, None);
        let (reads, host, id, room) = (line.clone(), self.host.clone(), self.line, self.room.clone());
        let reader = spawn("reads", move || {
            reads.end(read(id, &reads, &host, &room));
            let _ = own.send(ToLine::End);
        });
        let Ok(reader) = reader else {
            line.end(Code::NoThread);
            return line.code();
        };
        let _ = self.host.send(ToHost::Up(self.line, line.clone()));
        while let Some(message) = mailbox::next(&messages) {
            let written = match message {
                ToLine::HandOff(hand_off) if !hand_off.way.begin() => Ok(()),
                ToLine::HandOff(hand_off) => {
                    let head = resp::want(&hand_off.txn, &hand_off.fields, hand_off.body.len());
                    let written = line.write(&[&head, &hand_off.body, resp::END]);
                    if written.is_ok() {
                        *sent += 1;
                        hand_off.way.written();
                    }
                    written
                }
                ToLine::NeverMind(id, message) => {
                    let written = line.write(&[&message]);
                    if written.is_ok() {
                        let _ = self.host.send(ToHost::GivenUp(self.line, id, clock::now()));
                    }
                    written
                }
                ToLine::End => break,
            };
            if written.is_err() {
                line.end(Code::WriteFailed);
                break;
            }
        }
        line.end(Code::Idle);
        let _ = reader.join();
        line.code()
    }
}

fn read(id: LineId, line: &Line, host: &Sender<ToHost>, room: &Room) -> Code {
    let mut buffer = BytesMut::new();
    let mut wanted = PIECE;
    loop {
        // Guards against answers that come faster than they can be passed on.
        while room.is_full() {
            std::thread::sleep(FULL);
        }
        if let Err(code) = line.read(&mut buffer, wanted) {
            return code;
        }
        let at = clock::now();
        wanted = loop {
            let told = match resp::next(&mut buffer) {
                Ok(Begun::Answer(answer)) => {
                    let held = room.hold(answer.body.len().max(PIECE));
                    ToHost::Answered(id, answer, held, at)
                }
                Ok(Begun::Spoilt(txn)) => ToHost::Spoilt(id, txn, at),
                Ok(Begun::Short(more)) => break more.max(PIECE),
                Err(code) => return code,
            };
            if host.send(told).is_err() {
                return Code::Stopped;
            }
        };
    }
}
