//! Hosts (caches, parents, origin): each an actor that writes to a pool of connections, all of them on one thread;
//! another one (`lines`) reads them.
use crate::capacity::{HostCapacity, Reservation};
use crate::clock;
use crate::config::Reach;
use crate::connection::{spawn, CloseReason, Connection};
use crate::host_connections::HostConnections;
use crate::host_messages::{HandOff, HostMailbox, HostThreadMessage, NewHost, SendState, ToHost};
use crate::ids::{ConnectionId, HandOffId, HostActorId, ProbeId, Txn};
use crate::inbox::{FromHost, Input};
use crate::mailbox;
use crate::resp::{self, Answer};
use bytes::Bytes;
use cherrypass::calls::Outcome;
use cherrypass::time::{Span, Time};
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// A connection with less than this part of its most out takes one more before another is opened.
const LIGHT_LOAD_DIVISOR: usize = 8;
/// Past a visit's time its id may not come again, but for the time on the way.
const LATE_ANSWER_MARGIN: Span = Span::millis(100);

/// All hosts' actors.
pub struct Hosts {
    messages: Sender<HostThreadMessage>,
    next_id: u64,
    capacity: HostCapacity,
}

/// What all hosts' actors have in common.
#[derive(Clone)]
struct Shared {
    reach: Reach,
    capacity: HostCapacity,
    connections: Arc<HostConnections>,
    router: Sender<Input>,
}

impl Hosts {
    pub fn start(reach: Reach, room: HostCapacity, router: Sender<Input>) -> std::io::Result<Hosts> {
        let (letters, mailbox) = unbounded();
        let wires = HostConnections::start(room.clone(), reach.connect_limit)?;
        let common = Shared { reach, capacity: room.clone(), connections: wires, router };
        spawn("hosts", move || run(&mailbox, &common))?;
        Ok(Hosts { messages: letters, next_id: 0, capacity: room })
    }

    /// One more host, and its mailbox.
    pub fn add(&mut self, name: &str, address: SocketAddr) -> HostMailbox {
        let number = HostActorId(self.next_id);
        self.next_id += 1;
        let own = HostMailbox { id: number, messages: self.messages.clone() };
        let host = NewHost {
            name: name.to_owned(),
            address,
            mailbox: own.clone(),
            registration: self.capacity.add_host(),
        };
        let _ = self.messages.send(HostThreadMessage::AddHost(Box::new(host)));
        own
    }

    pub fn sweep(&self, now: Time) {
        let _ = self.messages.send(HostThreadMessage::Sweep(now));
    }
}

fn run(mailbox: &Receiver<HostThreadMessage>, common: &Shared) {
    let mut hosts: BTreeMap<HostActorId, Box<Host>> = BTreeMap::new();
    while let Some(letter) = mailbox::recv(mailbox) {
        match letter {
            HostThreadMessage::AddHost(host) => {
                hosts.insert(host.mailbox.id, Box::new(Host::new(*host, common.clone())));
            }
            HostThreadMessage::ToHost(number, message) => {
                if matches!(message, ToHost::HandOff(_)) {
                    free_connection_for(&mut hosts, number);
                }
                match (hosts.get_mut(&number), message) {
                    (Some(host), message) => {
                        host.handle(message);
                        host.close_unused();
                        if host.is_removed && host.pool.is_empty() {
                            hosts.remove(&number);
                        }
                    }
                    (None, ToHost::HandOff(HandOff { id, .. })) => {
                        let (outcome, at) = (Outcome::ConnectFailed, clock::now());
                        let ended = FromHost::Ended { outcome, answer: None, at };
                        let _ = common.router.send(Input::HandOff(id, ended));
                    }
                    (None, _) => {}
                }
            }
            HostThreadMessage::Sweep(now) => {
                common.connections.time_out_connects(now);
                hosts.values_mut().for_each(|host| {
                    host.sweep(now);
                    host.close_unused();
                });
            }
        }
    }
}

/// Guards against a list longer than the connections allowed: a host that has none takes the place of the one that
/// has been idle longest, so that they go where the visits go. Harms where visits go round more hosts than that: each then opens one.
fn free_connection_for(hosts: &mut BTreeMap<HostActorId, Box<Host>>, number: HostActorId) {
    let Some(host) = hosts.get(&number) else { return };
    let has_one = host.pool.values().any(|pooled| pooled.is_usable());
    if has_one || host.is_removed || host.shared.capacity.reserve_connection().is_some() {
        return;
    }
    let idle = hosts.values_mut().flat_map(|host| host.pool.values_mut()).filter(|pooled| pooled.is_idle());
    if let Some(longest) = idle.min_by_key(|pooled| pooled.last_used) {
        longest.close(CloseReason::Evicted);
    }
}

enum Outgoing {
    HandOff(HandOff),
    Cancel(HandOffId, Bytes),
    Probe(ProbeId),
}

impl Outgoing {
    /// The hand-off that is not to go out any more.
    fn start(&self, now: Time) -> Option<HandOffId> {
        match self {
            Outgoing::HandOff(hand_off) if !hand_off.start(now) => Some(hand_off.id),
            _ => None,
        }
    }

    fn with_parts<T>(&self, write: impl FnOnce(&[&[u8]]) -> T) -> T {
        match self {
            Outgoing::HandOff(hand_off) => write(&[&hand_off.head(clock::now()), &hand_off.body, resp::CRLF]),
            Outgoing::Cancel(_, message) => write(&[message]),
            Outgoing::Probe(number) => write(&[resp::probe_request(*number).as_bytes()]),
        }
    }
}

/// A message for the thread of a connection's own.
enum QueuedWrite {
    Whole(Outgoing),
    /// What is left of one that has begun.
    Remainder(Outgoing, Vec<u8>),
}

struct PendingHandOff {
    id: HandOffId,
    /// As what it stands on the wire.
    txn: Bytes,
    client_tag: Option<Bytes>,
    expects_copy: bool,
    /// A miss is filled, from a source that gives what it lacks too.
    fills_miss: bool,
    /// An earlier one of the same request was answered on this connection.
    is_repeat: bool,
    until: Time,
    send_state: SendState,
}

struct PooledConnection {
    connection: Option<Arc<Connection>>,
    /// When it came up.
    up_since: Option<Time>,
    /// Once the machine has not taken a message at once, a thread of its own writes.
    slow_writer: Option<Sender<QueuedWrite>>,
    hand_off_count: u64,
    /// Hand-offs that wait for the connection to come up.
    waiting: VecDeque<HandOff>,
    in_flight: BTreeMap<Txn, PendingHandOff>,
    /// Ids given up, and until when a late answer to them may come.
    cancelled: BTreeMap<Txn, Time>,
    /// Ids of requests that were answered here, and may be asked again: until when, and whether with a miss.
    answered: BTreeMap<Txn, (Time, bool)>,
    /// Those of which the host is not told yet.
    unsent_cancels: Vec<HandOffId>,
    last_used: Time,
    /// Takes nothing more, and ends so once nothing is out on it.
    retire_reason: Option<CloseReason>,
    is_closing: bool,
    _reservation: Option<Reservation>,
}

impl PooledConnection {
    fn accepts(&self, txn: Txn, streams: usize) -> bool {
        // Guards against an answer to a hand-off given up that is taken for one of the same visit's next.
        // Nor is the second copy of an answer taken for the next one's; of a miss it can be told apart.
        let answered = self.answered.get(&txn).is_some_and(|(_, miss)| !miss);
        let taken = self.in_flight.contains_key(&txn) || self.cancelled.contains_key(&txn) || answered;
        self.is_usable() && !taken && self.in_flight.len() < streams
    }

    /// Whether it may take something still.
    fn is_usable(&self) -> bool {
        !self.is_closing && self.retire_reason.is_none()
    }

    fn is_idle(&self) -> bool {
        !self.is_closing && self.connection.is_some() && self.in_flight.is_empty()
    }

    /// Its place is free once its descriptor is about to be: one on its way up has it until it is up or given up.
    fn close(&mut self, code: CloseReason) {
        self.is_closing = true;
        if let Some(line) = &self.connection {
            self._reservation = None;
            line.shut_down(code);
        }
    }
}

struct Host {
    name: String,
    address: SocketAddr,
    shared: Shared,
    mailbox: HostMailbox,
    pool: BTreeMap<ConnectionId, PooledConnection>,
    next_id: u64,
    /// The last probe, until it is answered.
    probe: Option<ProbeId>,
    is_draining: bool,
    is_removed: bool,
    /// Whether a connection to it ever came up.
    was_up: bool,
    _registration: Reservation,
}

impl Host {
    fn new(NewHost { name, address, mailbox: own, registration: joined }: NewHost, common: Shared) -> Host {
        Host {
            name,
            address,
            shared: common,
            mailbox: own,
            pool: BTreeMap::new(),
            next_id: 0,
            probe: None,
            is_draining: false,
            is_removed: false,
            was_up: false,
            _registration: joined,
        }
    }

    fn handle(&mut self, message: ToHost) {
        match message {
            ToHost::HandOff(hand_off) => self.hand_off(hand_off),
            ToHost::Cancel(id) => self.cancel(id),
            ToHost::Probe(number) => {
                self.probe = Some(number);
                let up = |p: &PooledConnection| p.is_usable() && p.connection.is_some();
                match self.pool.iter().find(|(_, pooled)| up(pooled)).map(|(line, _)| *line) {
                    Some(line) => self.write(line, Outgoing::Probe(number)),
                    None if self.pool.values().any(PooledConnection::is_usable) => {}
                    None => drop(self.open_connection()),
                }
            }
            ToHost::ConnectTimeout(id) => {
                self.shared.connections.time_out_connects(clock::now());
                let waits = |p: &PooledConnection| p.waiting.iter().any(|hand_off| hand_off.id == id);
                if let Some(pooled) = self.pool.values_mut().find(|p| waits(p)) {
                    pooled.waiting.retain(|hand_off| hand_off.id != id);
                    pooled.in_flight.retain(|_, out| out.id != id);
                    self.report_end(id, Outcome::ConnectFailed, None, clock::now());
                }
            }
            ToHost::SetDraining(drains) => {
                self.is_draining = drains;
                self.revoke_unsent();
            }
            ToHost::Remove => {
                self.is_removed = true;
                self.revoke_unsent();
            }
            ToHost::Connected(line, shared) => {
                let Some(pooled) = self.pool.get_mut(&line) else { return };
                if pooled.is_closing {
                    shared.shut_down(CloseReason::HostRemoved);
                }
                pooled.connection = Some(shared);
                pooled.up_since = Some(clock::now());
                self.was_up = true;
                for hand_off in std::mem::take(&mut pooled.waiting) {
                    self.write(line, Outgoing::HandOff(hand_off));
                }
                if let Some(number) = self.probe {
                    self.write(line, Outgoing::Probe(number));
                }
            }
            ToHost::CancelSent(line, id, at) => self.cancel_sent(line, id, at),
            ToHost::NotStarted(line, id) => self.not_started(line, id),
            ToHost::Answer(line, answer, held, at) => self.handle_answer(line, answer, held, at),
            ToHost::Closed(line, code, at) => {
                let Some(pooled) = self.pool.remove(&line) else { return };
                self.connection_lost(&pooled, code);
                let (name, sent, code) = (&self.name, pooled.hand_off_count, code.code());
                let line = line.0;
                tracing::info!(
                    host = &name[..],
                    line,
                    code,
                    hand_offs = sent,
                    "host {name} line {line} closed: {code} after {sent} hand-offs"
                );
                for id in pooled.unsent_cancels {
                    let _ = self.shared.router.send(Input::HandOff(id, FromHost::CancelSent { at }));
                }
                for out in pooled.in_flight.into_values() {
                    // What was not wholly written can't have run.
                    let ran = out.send_state.written_at().is_some();
                    let outcome = if ran { Outcome::Reset } else { Outcome::ConnectFailed };
                    self.report_end(out.id, outcome, None, at);
                }
            }
        }
    }

    /// A connection has ended. By the host's side, with none left that stood beside it, it may be its process that has:
    /// what waits for a new connection was decided for the one before, and is decided anew.
    fn connection_lost(&mut self, ended: &PooledConnection, code: CloseReason) {
        let heard = ended.connection.as_ref().map(|line| line.last_read_at());
        let beside = |other: &PooledConnection| match (other.up_since, heard) {
            (Some(up), Some(heard)) => other.is_usable() && up <= heard,
            (up, _) => other.is_usable() && up.is_some(),
        };
        // Of a process that was never reached all that is known comes from the list.
        let may_be_new = !self.is_removed && self.was_up && code.may_be_process_end();
        if !may_be_new || self.pool.values().any(beside) {
            return;
        }
        let _ = self.shared.router.send(Input::HostReset(self.mailbox.id));
        let mut waiting = Vec::new();
        for pooled in self.pool.values_mut() {
            let ids: Vec<HandOffId> = pooled.waiting.drain(..).map(|waits| waits.id).collect();
            pooled.in_flight.retain(|_, out| !ids.contains(&out.id));
            waiting.extend(ids);
        }
        waiting.into_iter().for_each(|id| self.report_end(id, Outcome::Unsent, None, clock::now()));
    }

    /// What is still out at a host that has gone, or on a worn connection, may end well; each has its time-out.
    fn close_unused(&mut self) {
        let gone = Some(CloseReason::HostRemoved).filter(|_| self.is_removed);
        let unused =
            self.pool.values_mut().filter(|pooled| !pooled.is_closing && pooled.in_flight.is_empty());
        for pooled in unused {
            if let Some(code) = pooled.retire_reason.or(gone) {
                pooled.close(code);
            }
        }
    }

    /// Guards against a hand-off that waits for its connection, or behind a slow one, past the grace after a drain was
    /// told: what has not begun to go out never does, and is no fault of the host.
    fn revoke_unsent(&mut self) {
        if !self.is_draining && !self.is_removed {
            return;
        }
        let mut off = Vec::new();
        for pooled in self.pool.values_mut() {
            pooled.waiting.clear();
            pooled.in_flight.retain(|_, out| {
                let goes = !out.send_state.revoke();
                off.extend((!goes).then_some(out.id));
                goes
            });
        }
        off.into_iter().for_each(|id| self.report_end(id, Outcome::Moot, None, clock::now()));
    }

    fn report_end(&self, id: HandOffId, outcome: Outcome, answer: Option<(Answer, Reservation)>, at: Time) {
        let _ = self.shared.router.send(Input::HandOff(id, FromHost::Ended { outcome, answer, at }));
    }

    /// The connection with the least out, or a new one where that has its part and this host's share permits.
    /// Answers on one connection don't hold each other up, and each connection costs a thread.
    fn hand_off(&mut self, hand_off: HandOff) {
        if self.is_draining || self.is_removed {
            self.report_end(hand_off.id, Outcome::Moot, None, clock::now());
            return;
        }
        let streams = self.shared.reach.streams;
        let txn = Txn::parse(&hand_off.txn);
        let free = self.pool.iter().filter(|(_, pooled)| pooled.accepts(txn, streams));
        let best = free.min_by_key(|(_, pooled)| {
            (pooled.in_flight.len(), pooled.connection.is_none(), std::cmp::Reverse(pooled.last_used))
        });
        let best = best.map(|(line, pooled)| (*line, pooled.in_flight.len()));
        let line = match best {
            Some((line, load)) if load < (streams / LIGHT_LOAD_DIVISOR).max(1) => Some(line),
            other => self.open_connection().or(other.map(|(line, _)| line)),
        };
        let Some(pooled) = line.and_then(|line| self.pool.get_mut(&line)) else {
            // That all places are in use is no fault of this host.
            self.report_end(hand_off.id, Outcome::Moot, None, clock::now());
            return;
        };
        let HandOff { id, expects_copy: copy, fills_miss: fills, until, .. } = hand_off;
        let (wire, seen, way) =
            (hand_off.txn.clone(), hand_off.client_tag.clone(), hand_off.send_state.clone());
        let again = pooled.answered.contains_key(&txn);
        pooled.in_flight.insert(
            txn,
            PendingHandOff {
                id,
                txn: wire,
                client_tag: seen,
                expects_copy: copy,
                fills_miss: fills,
                is_repeat: again,
                until,
                send_state: way,
            },
        );
        match line.filter(|_| pooled.connection.is_some()) {
            Some(line) => self.write(line, Outgoing::HandOff(hand_off)),
            None => pooled.waiting.push_back(hand_off),
        }
    }

    /// Writes what the machine takes at once; a thread of its own writes the rest, and from then on all.
    fn write(&mut self, id: ConnectionId, message: Outgoing) {
        let Some(pooled) = self.pool.get_mut(&id) else { return };
        let Some(line) = pooled.connection.clone() else { return };
        pooled.hand_off_count += u64::from(matches!(message, Outgoing::HandOff(_)));
        if let Some(slow) = &pooled.slow_writer {
            let _ = slow.send(QueuedWrite::Whole(message));
            return;
        }
        if let Some(stale) = message.start(clock::now()) {
            self.not_started(id, stale);
            return;
        }
        let written = message.with_parts(|parts| {
            let written = line.try_write(parts)?;
            let whole = written == parts.iter().map(|part| part.len()).sum::<usize>();
            Ok::<_, std::io::Error>(if whole { Vec::new() } else { parts.concat().split_off(written) })
        });
        match (written, &message) {
            (Ok(rest), Outgoing::HandOff(hand_off)) if rest.is_empty() => hand_off.send_state.mark_written(),
            (Ok(rest), Outgoing::Cancel(hand_off, _)) if rest.is_empty() => {
                self.cancel_sent(id, *hand_off, clock::now());
            }
            (Ok(rest), Outgoing::Probe(_)) if rest.is_empty() => {}
            (Ok(rest), _) => {
                let (mailbox, messages) = unbounded();
                let _ = mailbox.send(QueuedWrite::Remainder(message, rest));
                pooled.slow_writer = Some(mailbox);
                let (host, own) = (self.mailbox.clone(), line.clone());
                if spawn("slow", move || write_slowly(id, &own, &host, messages)).is_err() {
                    line.shut_down(CloseReason::NoThread);
                }
            }
            (Err(_), _) => line.shut_down(CloseReason::WriteFailed),
        }
    }

    /// The host is told that no answer to this is wanted any more.
    fn cancel_sent(&mut self, line: ConnectionId, id: HandOffId, at: Time) {
        if let Some(pooled) = self.pool.get_mut(&line) {
            pooled.unsent_cancels.retain(|untold| *untold != id);
            let _ = self.shared.router.send(Input::HandOff(id, FromHost::CancelSent { at }));
        }
    }

    /// Its turn came too late, unless it was called off before: it never ran.
    fn not_started(&mut self, line: ConnectionId, id: HandOffId) {
        let Some(pooled) = self.pool.get_mut(&line) else { return };
        let mut off = pooled.in_flight.extract_if(.., |_, out| out.id == id && out.send_state.revoke());
        if off.next().is_some() {
            drop(off);
            self.report_end(id, Outcome::Moot, None, clock::now());
        }
    }

    fn open_connection(&mut self) -> Option<ConnectionId> {
        let standing = self.pool.values().filter(|pooled| pooled.is_usable()).count();
        if self.is_removed || standing >= self.shared.capacity.connections_per_host() {
            return None;
        }
        let place = self.shared.capacity.reserve_connection()?;
        let line = ConnectionId(self.next_id);
        self.next_id += 1;
        self.shared.connections.open(self.address, &self.mailbox, line);
        let pooled = PooledConnection {
            connection: None,
            up_since: None,
            slow_writer: None,
            hand_off_count: 0,
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            answered: BTreeMap::new(),
            unsent_cancels: Vec::new(),
            last_used: clock::now(),
            retire_reason: None,
            is_closing: false,
            _reservation: Some(place),
        };
        self.pool.insert(line, pooled);
        Some(line)
    }

    fn cancel(&mut self, id: HandOffId) {
        let now = clock::now();
        let found = self.pool.iter_mut().find_map(|(line, pooled)| {
            let txn = *pooled.in_flight.iter().find(|(_, out)| out.id == id)?.0;
            Some((*line, pooled.in_flight.remove(&txn)?, txn, pooled))
        });
        let Some((line, out, txn, pooled)) = found else { return };
        pooled.last_used = now;
        pooled.waiting.retain(|hand_off| hand_off.id != id);
        if out.send_state.is_revoked() {
            return;
        }
        pooled.unsent_cancels.push(id);
        pooled.cancelled.insert(txn, out.until.max(now));
        // Guards against a connection on which nothing comes any more: what is on it won't be answered, and it
        // would look the least busy.
        let mute =
            |line: &Arc<Connection>| out.send_state.written_at().is_some_and(|at| line.last_read_at() < at);
        if now >= out.until && pooled.connection.as_ref().is_some_and(mute) {
            pooled.retire_reason = Some(CloseReason::Silent);
        }
        self.write(line, Outgoing::Cancel(id, resp::cancel_request(&out.txn)));
    }

    fn handle_answer(&mut self, line: ConnectionId, answer: Answer, held: Reservation, at: Time) {
        let Some(pooled) = self.pool.get_mut(&line) else { return };
        pooled.last_used = at;
        if let Some(number) =
            self.probe.take_if(|number| resp::probe_tag(*number).as_bytes() == &answer.id[..])
        {
            let _ = self.shared.router.send(Input::ProbeEnded(number, answer.report));
            return;
        }
        let txn = Txn::parse(&answer.id);
        // Guards against a second copy of the miss before, which would be taken for this one's end while it runs: who
        // is told where to fill from has no miss of its own to tell.
        let copied =
            |out: &PendingHandOff| out.is_repeat && out.fills_miss && answer.outcome == Outcome::Miss;
        let named = pooled.in_flight.get(&txn).is_some_and(|out| out.txn == answer.id && !copied(out));
        let Some(out) = named.then(|| pooled.in_flight.remove(&txn)).flatten() else {
            // An answer to what was given up, or to nothing: dropped by its id.
            pooled.cancelled.remove(&txn);
            return;
        };
        if answer.outcome != Outcome::Settled {
            pooled.answered.insert(txn, (out.until, answer.outcome == Outcome::Miss));
        }
        // A copy that the client holds can only be the one where the answer names the one that the client told of.
        // Guards also against bytes of which it is not told what they are: neither reaches a client, nor does what
        // comes behind them.
        let settled = answer.outcome == Outcome::Settled;
        let other = answer.client_copy_current && (out.client_tag.is_none() || out.client_tag != answer.tag);
        if other || settled && out.expects_copy && answer.tag.is_none() {
            pooled.close(CloseReason::UnusableAnswer);
            self.report_end(out.id, Outcome::Error, None, at);
        } else {
            self.report_end(out.id, answer.outcome, Some((answer, held)), at);
        }
    }

    /// Closes what was idle for most of the time after which the host would close it.
    fn sweep(&mut self, now: Time) {
        let idle = self.shared.reach.idle.times(0.8);
        for pooled in self.pool.values_mut() {
            pooled.cancelled.retain(|_, until| now < *until + LATE_ANSWER_MARGIN);
            pooled.answered.retain(|_, (until, _)| now < *until);
            let Some(line) = pooled.connection.as_ref().filter(|_| !pooled.is_closing) else { continue };
            // Guards against an answer that stops short or drips: nothing behind it can come through.
            if line.partial_for(now).is_some_and(|span| span > self.shared.reach.connect_limit) {
                pooled.close(CloseReason::MessageTimeout);
            } else if pooled.in_flight.is_empty() && now - pooled.last_used > idle {
                pooled.close(CloseReason::Idle);
            }
        }
    }
}

/// Writes the rest of a message and all that come after it, as fast as the host takes them.
fn write_slowly(id: ConnectionId, line: &Connection, host: &HostMailbox, messages: Receiver<QueuedWrite>) {
    while let Some(late) = mailbox::recv(&messages) {
        let (message, written) = match late {
            QueuedWrite::Remainder(message, rest) => (message, line.write(&[&rest], 0)),
            QueuedWrite::Whole(message) => {
                if let Some(stale) = message.start(clock::now()) {
                    let _ = host.send(ToHost::NotStarted(id, stale));
                    continue;
                }
                let written = message.with_parts(|parts| line.write(parts, 0));
                (message, written)
            }
        };
        if written.is_err() {
            line.shut_down(CloseReason::WriteFailed);
            return;
        }
        match message {
            Outgoing::HandOff(hand_off) => hand_off.send_state.mark_written(),
            Outgoing::Probe(_) => {}
            Outgoing::Cancel(hand_off, _) => {
                let _ = host.send(ToHost::CancelSent(id, hand_off, clock::now()));
            }
        }
    }
}
