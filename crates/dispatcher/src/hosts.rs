//! Host actors (caches, parents, origin). Each writes to a pool of connections; one thread runs all actors,
//! and another one ([`crate::host_connections`]) reads the connections.
use crate::capacity::{HostCapacity, Reservation};
use crate::clock;
use crate::config::HostConnectionLimits;
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

/// A connection takes more hand-offs up to its maximum divided by this before another one is opened.
const LIGHT_LOAD_DIVISOR: usize = 8;
/// Grace for late answers on the network: only after it may the id of a cancelled hand-off be reused.
const LATE_ANSWER_MARGIN: Span = Span::millis(100);

/// Handle to the thread that runs all host actors.
pub struct Hosts {
    messages: Sender<HostThreadMessage>,
    next_id: u64,
    capacity: HostCapacity,
}

/// State shared by all host actors.
#[derive(Clone)]
struct Shared {
    limits: HostConnectionLimits,
    capacity: HostCapacity,
    connections: Arc<HostConnections>,
    router: Sender<Input>,
}

impl Hosts {
    /// Starts the threads of the host actors and of their connections.
    pub fn start(
        limits: HostConnectionLimits,
        capacity: HostCapacity,
        router: Sender<Input>,
    ) -> std::io::Result<Hosts> {
        let (messages, mailbox) = unbounded();
        let connections = HostConnections::start(capacity.clone(), limits.connect_timeout)?;
        let shared = Shared { limits, capacity: capacity.clone(), connections, router };
        spawn("hosts", move || run(&mailbox, &shared))?;
        Ok(Hosts { messages, next_id: 0, capacity })
    }

    /// Adds a host and returns its mailbox.
    pub fn add(&mut self, name: &str, address: SocketAddr) -> HostMailbox {
        let id = HostActorId(self.next_id);
        self.next_id += 1;
        let mailbox = HostMailbox { id, messages: self.messages.clone() };
        let host = NewHost {
            name: name.to_owned(),
            address,
            mailbox: mailbox.clone(),
            registration: self.capacity.add_host(),
        };
        let _ = self.messages.send(HostThreadMessage::AddHost(Box::new(host)));
        mailbox
    }

    /// Has the connections checked for timeouts.
    pub fn sweep(&self, now: Time) {
        let _ = self.messages.send(HostThreadMessage::Sweep(now));
    }
}

/// Runs all host actors until their mailbox is closed.
fn run(mailbox: &Receiver<HostThreadMessage>, shared: &Shared) {
    let mut hosts: BTreeMap<HostActorId, Box<Host>> = BTreeMap::new();
    while let Some(message) = mailbox::recv(mailbox) {
        match message {
            HostThreadMessage::AddHost(host) => {
                hosts.insert(host.mailbox.id, Box::new(Host::new(*host, shared.clone())));
            }
            HostThreadMessage::ToHost(actor, message) => {
                if matches!(message, ToHost::HandOff(_)) {
                    free_connection_for(&mut hosts, actor);
                }
                match (hosts.get_mut(&actor), message) {
                    (Some(host), message) => {
                        host.handle(message);
                        host.close_unused();
                        if host.is_removed && host.pool.is_empty() {
                            hosts.remove(&actor);
                        }
                    }
                    (None, ToHost::HandOff(HandOff { id, .. })) => {
                        let (outcome, at) = (Outcome::ConnectFailed, clock::now());
                        let ended = FromHost::Ended { outcome, answer: None, at };
                        let _ = shared.router.send(Input::HandOff(id, ended));
                    }
                    (None, _) => {}
                }
            }
            HostThreadMessage::Sweep(now) => {
                shared.connections.time_out_connects(now);
                hosts.values_mut().for_each(|host| {
                    host.sweep(now);
                    host.close_unused();
                });
            }
        }
    }
}

/// Closes the connection that has been idle longest if the host has none and all are in use, so that
/// connections follow the traffic when there are more hosts than connections. Visits that alternate between
/// more hosts than that open a connection each.
fn free_connection_for(hosts: &mut BTreeMap<HostActorId, Box<Host>>, actor: HostActorId) {
    let Some(host) = hosts.get(&actor) else { return };
    let has_connection = host.pool.values().any(|pooled| pooled.is_usable());
    if has_connection || host.is_removed || host.shared.capacity.reserve_connection().is_some() {
        return;
    }
    let idle = hosts.values_mut().flat_map(|host| host.pool.values_mut()).filter(|pooled| pooled.is_idle());
    if let Some(longest) = idle.min_by_key(|pooled| pooled.last_used) {
        longest.close(CloseReason::Evicted);
    }
}

/// A message to write to a connection.
enum Outgoing {
    HandOff(HandOff),
    Cancel(HandOffId, Bytes),
    Probe(ProbeId),
}

impl Outgoing {
    /// Claims the message for sending. Returns the hand-off that must not be sent any more.
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
            Outgoing::Probe(probe) => write(&[resp::probe_request(*probe).as_bytes()]),
        }
    }
}

/// A message for a connection's slow writer thread.
enum QueuedWrite {
    Whole(Outgoing),
    /// The rest of a message that was partly written.
    Remainder(Outgoing, Vec<u8>),
}

/// A hand-off assigned to a connection and not answered yet.
struct PendingHandOff {
    id: HandOffId,
    /// The transaction id as it appears on the wire.
    txn: Bytes,
    client_tag: Option<Bytes>,
    expects_copy: bool,
    /// See [`HandOff::fills_miss`].
    fills_miss: bool,
    /// An earlier hand-off of the same request was answered on this connection.
    is_repeat: bool,
    deadline: Time,
    send_state: SendState,
}

/// A connection of a host's pool.
struct PooledConnection {
    connection: Option<Arc<Connection>>,
    /// When the connection was established.
    up_since: Option<Time>,
    /// The thread that writes all messages once one could not be written without blocking.
    slow_writer: Option<Sender<QueuedWrite>>,
    hand_off_count: u64,
    /// Hand-offs that wait for the connection to be established.
    waiting: VecDeque<HandOff>,
    in_flight: BTreeMap<Txn, PendingHandOff>,
    /// Cancelled ids, and until when a late answer to them is possible.
    cancelled: BTreeMap<Txn, Time>,
    /// Ids answered on this connection that may be handed off again: until when, and whether the answer was a
    /// miss.
    answered: BTreeMap<Txn, (Time, bool)>,
    /// Cancelled hand-offs whose cancel has not been written yet.
    unsent_cancels: Vec<HandOffId>,
    last_used: Time,
    /// If set, the connection takes no more hand-offs and closes with this reason once none is in flight.
    retire_reason: Option<CloseReason>,
    is_closing: bool,
    _reservation: Option<Reservation>,
}

impl PooledConnection {
    /// Whether a hand-off with this id may be sent on the connection.
    fn accepts(&self, txn: Txn, streams: usize) -> bool {
        // A late answer to a cancelled hand-off must not be taken for one to the visit's next hand-off, nor
        // must a duplicate of an earlier answer; duplicates of a miss can be told apart.
        let answered = self.answered.get(&txn).is_some_and(|(_, miss)| !miss);
        let in_use = self.in_flight.contains_key(&txn) || self.cancelled.contains_key(&txn) || answered;
        self.is_usable() && !in_use && self.in_flight.len() < streams
    }

    /// Whether the connection may take more hand-offs.
    fn is_usable(&self) -> bool {
        !self.is_closing && self.retire_reason.is_none()
    }

    fn is_idle(&self) -> bool {
        !self.is_closing && self.connection.is_some() && self.in_flight.is_empty()
    }

    /// Closes the connection. One that is still connecting keeps its reservation until the connect ends, as
    /// it keeps its descriptor.
    fn close(&mut self, reason: CloseReason) {
        self.is_closing = true;
        if let Some(connection) = &self.connection {
            self._reservation = None;
            connection.shut_down(reason);
        }
    }
}

/// A host's actor.
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
    /// Whether a connection to the host was ever established.
    was_up: bool,
    _registration: Reservation,
}

impl Host {
    fn new(NewHost { name, address, mailbox, registration }: NewHost, shared: Shared) -> Host {
        Host {
            name,
            address,
            shared,
            mailbox,
            pool: BTreeMap::new(),
            next_id: 0,
            probe: None,
            is_draining: false,
            is_removed: false,
            was_up: false,
            _registration: registration,
        }
    }

    fn handle(&mut self, message: ToHost) {
        match message {
            ToHost::HandOff(hand_off) => self.hand_off(hand_off),
            ToHost::Cancel(id) => self.cancel(id),
            ToHost::Probe(probe) => {
                self.probe = Some(probe);
                let is_up = |p: &PooledConnection| p.is_usable() && p.connection.is_some();
                match self.pool.iter().find(|(_, pooled)| is_up(pooled)).map(|(id, _)| *id) {
                    Some(id) => self.write(id, Outgoing::Probe(probe)),
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
            ToHost::SetDraining(is_draining) => {
                self.is_draining = is_draining;
                self.revoke_unsent();
            }
            ToHost::Remove => {
                self.is_removed = true;
                self.revoke_unsent();
            }
            ToHost::Connected(id, connection) => {
                let Some(pooled) = self.pool.get_mut(&id) else { return };
                if pooled.is_closing {
                    connection.shut_down(CloseReason::HostRemoved);
                }
                pooled.connection = Some(connection);
                pooled.up_since = Some(clock::now());
                self.was_up = true;
                for hand_off in std::mem::take(&mut pooled.waiting) {
                    self.write(id, Outgoing::HandOff(hand_off));
                }
                if let Some(probe) = self.probe {
                    self.write(id, Outgoing::Probe(probe));
                }
            }
            ToHost::CancelSent(connection, id, at) => self.cancel_sent(connection, id, at),
            ToHost::NotStarted(connection, id) => self.not_started(connection, id),
            ToHost::Answer(connection, answer, reservation, at) => {
                self.handle_answer(connection, answer, reservation, at)
            }
            ToHost::Closed(id, reason, at) => {
                let Some(pooled) = self.pool.remove(&id) else { return };
                self.connection_lost(&pooled, reason);
                let (name, sent, code) = (&self.name, pooled.hand_off_count, reason.code());
                let line = id.0;
                tracing::info!(
                    host = &name[..],
                    line,
                    code,
                    hand_offs = sent,
                    "host {name} connection {line} closed: {code} after {sent} hand-offs"
                );
                for id in pooled.unsent_cancels {
                    let _ = self.shared.router.send(Input::HandOff(id, FromHost::CancelSent { at }));
                }
                for out in pooled.in_flight.into_values() {
                    // A hand-off that was not completely written can't have run.
                    let may_have_run = out.send_state.written_at().is_some();
                    let outcome = if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed };
                    self.report_end(out.id, outcome, None, at);
                }
            }
        }
    }

    /// Handles the loss of a connection. If the host's process may have ended and no connection that was up
    /// at the time is left, the router is notified, and hand-offs that wait for a connection are decided again,
    /// as they were decided for the old process.
    fn connection_lost(&mut self, lost: &PooledConnection, reason: CloseReason) {
        let last_read_at = lost.connection.as_ref().map(|connection| connection.last_read_at());
        let was_beside = |other: &PooledConnection| match (other.up_since, last_read_at) {
            (Some(up_since), Some(last_read_at)) => other.is_usable() && up_since <= last_read_at,
            (up_since, _) => other.is_usable() && up_since.is_some(),
        };
        // Nothing is known of a process that was never reached but what is listed.
        let may_be_new = !self.is_removed && self.was_up && reason.may_be_process_end();
        if !may_be_new || self.pool.values().any(was_beside) {
            return;
        }
        let _ = self.shared.router.send(Input::HostReset(self.mailbox.id));
        let mut waiting = Vec::new();
        for pooled in self.pool.values_mut() {
            let ids: Vec<HandOffId> = pooled.waiting.drain(..).map(|waits| waits.id).collect();
            pooled.in_flight.retain(|_, out| !ids.contains(&out.id));
            waiting.extend(ids);
        }
        waiting.into_iter().for_each(|id| self.report_end(id, Outcome::NotSent, None, clock::now()));
    }

    /// Closes connections without hand-offs in flight if the host was removed or they are being retired.
    /// Hand-offs in flight may still be answered; each has its timeout.
    fn close_unused(&mut self) {
        let removed = Some(CloseReason::HostRemoved).filter(|_| self.is_removed);
        let unused =
            self.pool.values_mut().filter(|pooled| !pooled.is_closing && pooled.in_flight.is_empty());
        for pooled in unused {
            if let Some(reason) = pooled.retire_reason.or(removed) {
                pooled.close(reason);
            }
        }
    }

    /// Revokes the hand-offs that have not been sent to a draining or removed host, where they could wait
    /// past the grace of the drain. They don't count as failures of the host.
    fn revoke_unsent(&mut self) {
        if !self.is_draining && !self.is_removed {
            return;
        }
        let mut revoked = Vec::new();
        for pooled in self.pool.values_mut() {
            pooled.waiting.clear();
            pooled.in_flight.retain(|_, out| {
                let is_revoked = out.send_state.revoke();
                revoked.extend(is_revoked.then_some(out.id));
                !is_revoked
            });
        }
        revoked.into_iter().for_each(|id| self.report_end(id, Outcome::Expired, None, clock::now()));
    }

    fn report_end(&self, id: HandOffId, outcome: Outcome, answer: Option<(Answer, Reservation)>, at: Time) {
        let _ = self.shared.router.send(Input::HandOff(id, FromHost::Ended { outcome, answer, at }));
    }

    /// Assigns a hand-off to the connection with the fewest in flight, or to a new one if that is loaded and
    /// the host's share of connections allows it.
    fn hand_off(&mut self, hand_off: HandOff) {
        if self.is_draining || self.is_removed {
            self.report_end(hand_off.id, Outcome::Expired, None, clock::now());
            return;
        }
        let streams = self.shared.limits.streams_per_connection;
        let txn = Txn::parse(&hand_off.txn);
        let free = self.pool.iter().filter(|(_, pooled)| pooled.accepts(txn, streams));
        let best = free.min_by_key(|(_, pooled)| {
            (pooled.in_flight.len(), pooled.connection.is_none(), std::cmp::Reverse(pooled.last_used))
        });
        let best = best.map(|(id, pooled)| (*id, pooled.in_flight.len()));
        let connection = match best {
            Some((id, load)) if load < (streams / LIGHT_LOAD_DIVISOR).max(1) => Some(id),
            other => self.open_connection().or(other.map(|(id, _)| id)),
        };
        let Some(pooled) = connection.and_then(|id| self.pool.get_mut(&id)) else {
            // A lack of connections doesn't count as a failure of the host.
            self.report_end(hand_off.id, Outcome::Expired, None, clock::now());
            return;
        };
        let HandOff { id, expects_copy, fills_miss, deadline, .. } = hand_off;
        let is_repeat = pooled.answered.contains_key(&txn);
        pooled.in_flight.insert(
            txn,
            PendingHandOff {
                id,
                txn: hand_off.txn.clone(),
                client_tag: hand_off.client_tag.clone(),
                expects_copy,
                fills_miss,
                is_repeat,
                deadline,
                send_state: hand_off.send_state.clone(),
            },
        );
        match connection.filter(|_| pooled.connection.is_some()) {
            Some(id) => self.write(id, Outgoing::HandOff(hand_off)),
            None => pooled.waiting.push_back(hand_off),
        }
    }

    /// Writes a message without blocking. If it doesn't fit the socket buffer, a slow writer thread takes
    /// over for the rest and all later messages.
    fn write(&mut self, id: ConnectionId, message: Outgoing) {
        let Some(pooled) = self.pool.get_mut(&id) else { return };
        let Some(connection) = pooled.connection.clone() else { return };
        pooled.hand_off_count += u64::from(matches!(message, Outgoing::HandOff(_)));
        if let Some(slow_writer) = &pooled.slow_writer {
            let _ = slow_writer.send(QueuedWrite::Whole(message));
            return;
        }
        if let Some(hand_off) = message.start(clock::now()) {
            self.not_started(id, hand_off);
            return;
        }
        let written = message.with_parts(|parts| {
            let written = connection.try_write(parts)?;
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
                let (host, own) = (self.mailbox.clone(), connection.clone());
                if spawn("slow", move || write_slowly(id, &own, &host, messages)).is_err() {
                    connection.shut_down(CloseReason::NoThread);
                }
            }
            (Err(_), _) => connection.shut_down(CloseReason::WriteFailed),
        }
    }

    /// A hand-off's cancel was written.
    fn cancel_sent(&mut self, connection: ConnectionId, id: HandOffId, at: Time) {
        if let Some(pooled) = self.pool.get_mut(&connection) {
            pooled.unsent_cancels.retain(|cancelled| *cancelled != id);
            let _ = self.shared.router.send(Input::HandOff(id, FromHost::CancelSent { at }));
        }
    }

    /// A hand-off was not sent, as it could not be started when its turn came.
    fn not_started(&mut self, connection: ConnectionId, id: HandOffId) {
        let Some(pooled) = self.pool.get_mut(&connection) else { return };
        let mut revoked = pooled.in_flight.extract_if(.., |_, out| out.id == id && out.send_state.revoke());
        if revoked.next().is_some() {
            drop(revoked);
            self.report_end(id, Outcome::Expired, None, clock::now());
        }
    }

    fn open_connection(&mut self) -> Option<ConnectionId> {
        let usable = self.pool.values().filter(|pooled| pooled.is_usable()).count();
        if self.is_removed || usable >= self.shared.capacity.connections_per_host() {
            return None;
        }
        let reservation = self.shared.capacity.reserve_connection()?;
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.shared.connections.open(self.address, &self.mailbox, id);
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
            _reservation: Some(reservation),
        };
        self.pool.insert(id, pooled);
        Some(id)
    }

    fn cancel(&mut self, id: HandOffId) {
        let now = clock::now();
        let found = self.pool.iter_mut().find_map(|(connection, pooled)| {
            let txn = *pooled.in_flight.iter().find(|(_, out)| out.id == id)?.0;
            Some((*connection, pooled.in_flight.remove(&txn)?, txn, pooled))
        });
        let Some((connection, out, txn, pooled)) = found else { return };
        pooled.last_used = now;
        pooled.waiting.retain(|hand_off| hand_off.id != id);
        if out.send_state.is_revoked() {
            return;
        }
        pooled.unsent_cancels.push(id);
        pooled.cancelled.insert(txn, out.deadline.max(now));
        // A silent connection would look the least loaded; it must not get new hand-offs.
        let is_silent = |connection: &Arc<Connection>| {
            out.send_state.written_at().is_some_and(|at| connection.last_read_at() < at)
        };
        if now >= out.deadline && pooled.connection.as_ref().is_some_and(is_silent) {
            pooled.retire_reason = Some(CloseReason::Silent);
        }
        self.write(connection, Outgoing::Cancel(id, resp::cancel_request(&out.txn)));
    }

    fn handle_answer(
        &mut self,
        connection: ConnectionId,
        answer: Answer,
        reservation: Reservation,
        at: Time,
    ) {
        let Some(pooled) = self.pool.get_mut(&connection) else { return };
        pooled.last_used = at;
        if let Some(number) =
            self.probe.take_if(|number| resp::probe_tag(*number).as_bytes() == &answer.id[..])
        {
            let _ = self.shared.router.send(Input::ProbeEnded(number, answer.report));
            return;
        }
        let txn = Txn::parse(&answer.id);
        // A miss on a repeated hand-off that fills is a duplicate of the earlier miss: a host with a source
        // to fill from doesn't answer with one.
        let is_duplicate =
            |out: &PendingHandOff| out.is_repeat && out.fills_miss && answer.outcome == Outcome::Miss;
        let is_expected =
            pooled.in_flight.get(&txn).is_some_and(|out| out.txn == answer.id && !is_duplicate(out));
        let Some(out) = is_expected.then(|| pooled.in_flight.remove(&txn)).flatten() else {
            // An answer to a cancelled or unknown hand-off is dropped.
            pooled.cancelled.remove(&txn);
            return;
        };
        if answer.outcome != Outcome::Served {
            pooled.answered.insert(txn, (out.deadline, answer.outcome == Outcome::Miss));
        }
        // An answer may confirm the client's copy only by naming the tag that the client sent, and a copy
        // must name its tag. Other answers reach no client, nor does anything after them on this connection.
        let is_served = answer.outcome == Outcome::Served;
        let is_other_copy =
            answer.client_copy_current && (out.client_tag.is_none() || out.client_tag != answer.tag);
        if is_other_copy || is_served && out.expects_copy && answer.tag.is_none() {
            pooled.close(CloseReason::UnusableAnswer);
            self.report_end(out.id, Outcome::Error, None, at);
        } else {
            self.report_end(out.id, answer.outcome, Some((answer, reservation)), at);
        }
    }

    /// Closes stalled connections, and idle ones before the host closes them.
    fn sweep(&mut self, now: Time) {
        let idle = self.shared.limits.idle_timeout.times(0.8);
        for pooled in self.pool.values_mut() {
            pooled.cancelled.retain(|_, until| now < *until + LATE_ANSWER_MARGIN);
            pooled.answered.retain(|_, (until, _)| now < *until);
            let Some(connection) = pooled.connection.as_ref().filter(|_| !pooled.is_closing) else {
                continue;
            };
            // An incomplete answer that stalls or trickles blocks all answers after it.
            if connection.partial_for(now).is_some_and(|span| span > self.shared.limits.connect_timeout) {
                pooled.close(CloseReason::MessageTimeout);
            } else if pooled.in_flight.is_empty() && now - pooled.last_used > idle {
                pooled.close(CloseReason::Idle);
            }
        }
    }
}

/// Writes queued messages as fast as the host reads them.
fn write_slowly(
    id: ConnectionId,
    connection: &Connection,
    host: &HostMailbox,
    messages: Receiver<QueuedWrite>,
) {
    while let Some(queued) = mailbox::recv(&messages) {
        let (message, written) = match queued {
            QueuedWrite::Remainder(message, rest) => (message, connection.write(&[&rest], 0)),
            QueuedWrite::Whole(message) => {
                if let Some(hand_off) = message.start(clock::now()) {
                    let _ = host.send(ToHost::NotStarted(id, hand_off));
                    continue;
                }
                let written = message.with_parts(|parts| connection.write(parts, 0));
                (message, written)
            }
        };
        if written.is_err() {
            connection.shut_down(CloseReason::WriteFailed);
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
