//! The router: owns the decision module, the open visits and the hand-offs in flight. It turns messages into
//! calls of the module and carries out the module's decisions.
use crate::attempt_log::{AttemptLog, EndedAttempt};
use crate::cancellation::CancelToken;
use crate::capacity::{Gauge, HostCapacity, Reservation};
use crate::change_clock::ChangeClock;
use crate::change_log::MAX_ANNOUNCEMENT_DELAY;
use crate::clients::{Outlet, Shutdown, Stage, ToClient, READ_BYTES};
use crate::clock;
use crate::config::Config;
use crate::connection::CloseReason;
use crate::durable_state::{RestoredPurges, StateRecorder};
use crate::fleet_connection::FleetConnection;
use crate::host_list::{AppliedUpdate, Clocks, HostList};
use crate::host_messages::{HandOff, HostMailbox, SendState, ToHost};
use crate::hosts::Hosts;
use crate::ids::{ClientId, HandOffId, HostActorId, ProbeId, Txn};
use crate::inbox::{Change, FromClient, FromHost, Input, ListedHost};
use crate::latency::Latencies;
use crate::mailbox;
use crate::msgpack::{self, Parts, VisitRequest};
use crate::resp::Answer;
use bytes::Bytes;
use cherrypass::calls::*;
use cherrypass::containers::TimerQueue;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::*;
use cherrypass::settings::Effect;
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_keep::purges::Purge;
use cherrypass_keep::visits::{InDoubtVisit, WriteAhead, WriteResult};
use crossbeam_channel::{Receiver, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// Visits that a client may have open on one connection.
const MAX_OPEN_VISITS_PER_CLIENT: usize = 32;
/// Answers that a client may leave unread.
const MAX_UNREAD_ANSWERS_PER_CLIENT: usize = 4 * MAX_OPEN_VISITS_PER_CLIENT;
/// How far a request's time limit may exceed its class's deadline, for latency and rounding.
const TIME_LIMIT_MARGIN: Span = Span::millis(50);
const SWEEP_INTERVAL: Span = Span::millis(250);
/// A wait that overruns by this much means that the process was suspended; it then waits up to `MAX_CATCH_UP`
/// for the change log.
const SUSPENSION_THRESHOLD: Span = Span::millis(500);
const MAX_CATCH_UP: Span = Span::millis(150);
const SWEEPS_PER_REPORT: u32 = 40;
/// How many client messages are handled before other sources are checked.
const CLIENT_MESSAGES_PER_TURN: usize = 16;
/// How long after SIGTERM requests may still arrive: 0.6 s by the protocol, and a margin for latency.
const STOPPING_GRACE: Span = Span::millis(1_000);
/// After SIGTERM the process is killed no sooner than the longest deadline, limited to this, plus 0.7 s.
const MAX_STOPPING_DEADLINE: Span = Span::millis(3_000);
const LAST_ANSWERS_MARGIN: Span = Span::millis(400);
const LAST_WRITES_MARGIN: Span = Span::millis(200);
const CLOSING_CHECK_INTERVAL: Span = Span::millis(20);

/// What a timer triggers.
enum Timer {
    /// The decision module asked to be called.
    Wake,
    AnswerTimeout(HandOffId),
    ConnectTimeout(HandOffId),
    /// The hand-off must not be sent any more if it has not been started.
    LatestStart(HandOffId),
    ProbeTimeout(ProbeId),
    Sweep,
    CloseConnections,
}

/// A client connection.
struct Client {
    outlet: Outlet,
    /// Open visits by request id.
    open_visits: BTreeMap<u32, VisitId>,
    /// Bytes of answers that are not written yet.
    unread_bytes: Gauge,
}

/// A visit that has no final answer yet.
struct OpenVisit {
    client: ClientId,
    request_id: u32,
    class: ClassId,
    request: VisitRequest,
    received_at: Time,
    /// When the event was read that the next hand-off follows on.
    last_event_at: Time,
    hand_off_count: u8,
    in_use: Reservation,
    cancel: CancelToken,
}

impl OpenVisit {
    /// What identifies the visit across retries.
    fn key(&self) -> &[u8] {
        self.request.dedup_key.as_ref().unwrap_or(&self.request.txn)
    }
}

/// A hand-off that has not ended.
struct PendingHandOff {
    host: HostId,
    mailbox: HostMailbox,
    decided_at: Time,
    sent_at: Time,
    /// When the event was read that led to the hand-off.
    triggered_at: Time,
    send_state: SendState,
    fill: Option<Fill>,
    /// The outcome with which the hand-off ends once its cancel has been sent.
    cancelled_as: Option<Outcome>,
    /// The hand-off to send once its record is stored.
    awaiting_record: Option<Box<HandOff>>,
}

/// A listed host.
struct HostEntry {
    name: String,
    address: SocketAddr,
    started: Option<Time>,
    mailbox: HostMailbox,
}

/// The actor that connects clients and hosts to the decision module.
pub struct Router {
    config: Config,
    engine: DecisionEngine,
    /// From hosts, the change log and signals; and from clients.
    mailboxes: [Receiver<Input>; 2],
    host_actors: Hosts,
    /// Memory held by open visits, and by answers that are not written yet.
    open_visit_bytes: usize,
    unread_bytes: Gauge,
    timers: TimerQueue<Timer>,
    clients: BTreeMap<ClientId, Client>,
    visits: BTreeMap<VisitId, OpenVisit>,
    /// Transaction ids of open visits.
    txns: BTreeMap<Txn, ClientId>,
    hand_offs: BTreeMap<HandOffId, PendingHandOff>,
    hosts: BTreeMap<HostId, HostEntry>,
    list: HostList,
    /// Load probes without an answer.
    probes: BTreeMap<ProbeId, HostId>,
    last_probe_id: u64,
    next_visit_id: u32,
    /// When shutdown began.
    stopping_since: Option<Time>,
    shutdown: Arc<Shutdown>,
    pub latencies: Arc<Latencies>,
    sweep_count: u32,
    is_done: bool,
    recorder: Option<StateRecorder>,
    /// The connection to other dispatchers, if any are configured.
    fleet_connection: Option<FleetConnection>,
    attempt_log: AttemptLog,
    change_clock: ChangeClock,
    /// All changes that the change log had at this time are applied.
    changelog_read_at: Time,
    is_changelog_silent: bool,
}

impl VisitRequest {
    /// The memory that an open visit counts for; it may keep the whole buffer alive that it was read into.
    fn retained_bytes(&self) -> usize {
        self.body.len().max(READ_BYTES)
    }
}

impl Router {
    /// Creates the router and starts the host actors, which answer through `sender`.
    pub fn new(
        config: Config,
        sender: Sender<Input>,
        mailboxes: [Receiver<Input>; 2],
        shutdown: Arc<Shutdown>,
    ) -> std::io::Result<Router> {
        let now = clock::now();
        let capacity = HostCapacity::new(config.host_connections.max_connections, config.max_answer_bytes);
        let engine = DecisionEngine::new(config.settings.clone(), config.seed, now);
        let mut timers = TimerQueue::default();
        timers.push(now + SWEEP_INTERVAL, Timer::Sweep);
        let host_actors = Hosts::start(config.host_connections, capacity, sender)?;
        let settings = &config.settings;
        let list =
            HostList::new(settings.cold_cache.ramp.max(settings.cold_parent.ramp), settings.has_weights);
        Ok(Router {
            config,
            engine,
            mailboxes,
            host_actors,
            open_visit_bytes: 0,
            unread_bytes: Gauge::default(),
            timers,
            clients: BTreeMap::new(),
            visits: BTreeMap::new(),
            txns: BTreeMap::new(),
            hand_offs: BTreeMap::new(),
            hosts: BTreeMap::new(),
            list,
            probes: BTreeMap::new(),
            last_probe_id: 0,
            next_visit_id: 0,
            stopping_since: None,
            shutdown,
            latencies: Arc::default(),
            sweep_count: 0,
            is_done: false,
            recorder: None,
            fleet_connection: None,
            attempt_log: AttemptLog::default(),
            change_clock: ChangeClock::default(),
            changelog_read_at: now,
            is_changelog_silent: false,
        })
    }

    /// Starts persisting purges and visits, and applies the state that was persisted before.
    pub fn set_recorder(&mut self, (recorder, restored): (StateRecorder, RestoredPurges)) {
        let now = clock::now();
        match restored {
            RestoredPurges::Purges(purges) => {
                purges.iter().for_each(|purge| self.change_clock.observe(now, purge.issued_at));
                purges.iter().for_each(|purge| self.apply_purge(now, purge));
            }
            RestoredPurges::Unknown { groups } => {
                (0..groups).for_each(|group| self.engine.record_purge(now, GroupId(group), None, Span::ZERO));
            }
        }
        self.recorder = Some(recorder);
    }

    /// Applies the changes known at startup. All timestamps are observed first, as each may help to date the
    /// others.
    pub fn apply_known_changes(&mut self, changes: Vec<Change>) {
        changes.iter().for_each(|change| self.observe_timestamps(change));
        changes.into_iter().for_each(|change| self.apply_change(change));
    }

    /// Feeds the timestamps of a change to the change log's clock.
    fn observe_timestamps(&mut self, change: &Change) {
        let now = clock::now();
        match change {
            Change::Purge(purge) => self.change_clock.observe(now, purge.issued_at),
            Change::HostList { hosts, .. } => {
                let started = hosts.iter().filter_map(|host| host.started);
                started.for_each(|started| self.change_clock.observe(now, started));
            }
        }
    }

    /// Starts sharing limits and findings about hosts with other dispatchers.
    pub fn set_fleet_connection(&mut self, mut fleet_connection: FleetConnection) {
        fleet_connection.set_initial_shares(&mut self.engine);
        self.fleet_connection = Some(fleet_connection);
    }

    fn apply_purge(&mut self, now: Time, purge: &Purge) {
        if let Some(recorder) = &self.recorder {
            recorder.record_purge(purge);
        }
        // The wall clock is not used: if it were ahead, copies older than the purge would be served.
        let age = self.change_clock.min_age(now, purge.issued_at);
        match purge.object {
            Some(object) => {
                tracing::info!(
                    change = purge.change_number,
                    "purge: object {:016x}, received {} ms after it was made",
                    object.0,
                    age.0 / 1000
                )
            }
            None => tracing::info!(
                change = purge.change_number,
                "purge: group {}, received {} ms after it was made",
                purge.group.0,
                age.0 / 1000
            ),
        }
        self.engine.record_purge(now, purge.group, purge.object, age);
        let visits = &self.visits;
        let is_concerned = |id: &HandOffId| {
            let request = visits.get(&id.0).map(|open| &open.request);
            request.is_some_and(|request| match purge.object {
                Some(object) => request.object == object,
                None => request.group == purge.group,
            })
        };
        let stale = self.hand_offs.iter().filter(|(id, out)| out.fill.is_some() && is_concerned(id));
        self.redecide_unsent(stale.map(|(id, _)| *id).collect());
    }

    /// Runs until shutdown is complete.
    pub fn run(&mut self) {
        self.carry_out_decisions();
        while !self.is_done {
            let now = clock::now();
            let wait = clock::to_std(self.timers.next_due().map_or(SWEEP_INTERVAL, |at| at - now));
            let wait = self
                .fleet_connection
                .as_ref()
                .map_or(wait, |fleet_connection| wait.min(fleet_connection.until_next_exchange()));
            let input = mailbox::recv_timeout(&self.mailboxes, wait);
            if clock::now() > now + Span(wait.as_micros() as u64) + SUSPENSION_THRESHOLD {
                self.catch_up();
            }
            if let Some(input) = input {
                self.handle(input);
                self.carry_out_decisions();
            }
            // Handles the messages that have queued up, only some of the clients', so that a full mailbox
            // delays neither timers nor hosts.
            for (index, most) in [(0, usize::MAX), (1, CLIENT_MESSAGES_PER_TURN)] {
                let queued = self.mailboxes[index].len().min(most);
                for _ in 0..queued {
                    let Ok(input) = self.mailboxes[index].try_recv() else { break };
                    self.handle(input);
                    self.carry_out_decisions();
                }
            }
            self.run_timers();
            if let Some(fleet_connection) = self
                .fleet_connection
                .as_mut()
                .filter(|fleet_connection| fleet_connection.until_next_exchange().is_zero())
            {
                fleet_connection.exchange(&mut self.engine);
            }
            self.carry_out_decisions();
        }
    }

    /// After the process was suspended, applies the changes made meanwhile before anything is sent again, so
    /// that queued requests don't miss purges and drains. The wait is short, as the requests' deadlines are
    /// running.
    fn catch_up(&mut self) {
        let since = clock::now();
        let until = since + MAX_CATCH_UP;
        tracing::warn!("process was suspended: waiting for the change log before sending anything");
        loop {
            let now = clock::now();
            if now >= until
                || self.changelog_read_at >= since
                || self.fleet_connection.as_ref().is_some_and(FleetConnection::has_carriers)
            {
                return;
            }
            // Only hosts, the change log and signals; clients wait.
            if let Ok(input) = self.mailboxes[0].recv_timeout(clock::to_std(until - now)) {
                self.handle(input);
            }
        }
    }

    fn run_timers(&mut self) {
        let now = clock::now();
        while let Some(at) = self.timers.next_due().filter(|at| *at <= now) {
            let Some(timer) = self.timers.pop(now) else { return };
            self.latencies.timers.record(now - at);
            match timer {
                Timer::Wake => self.engine.tick(clock::now()),
                Timer::AnswerTimeout(id) => {
                    // The visit's time is over, so no further hand-off can overtake the cancel.
                    self.cancel_hand_off(id, Outcome::TimedOut);
                    if let Some(outcome) = self.hand_offs.get(&id).and_then(|out| out.cancelled_as) {
                        self.end_hand_off(id, outcome, None, now);
                    }
                }
                Timer::ConnectTimeout(id) => {
                    if let Some(out) =
                        self.hand_offs.get(&id).filter(|out| out.send_state.written_at().is_none())
                    {
                        let _ = out.mailbox.send(ToHost::ConnectTimeout(id));
                    }
                }
                Timer::LatestStart(id) => self.expire_unsent(id),
                Timer::ProbeTimeout(probe) => self.end_probe(probe, Report::default()),
                Timer::Sweep => self.sweep(now),
                Timer::CloseConnections => self.close_connections(now),
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Client(id, message) => self.handle_client(id, message),
            Input::HandOff(id, FromHost::CancelSent { at }) => {
                if let Some(outcome) = self.hand_offs.get(&id).and_then(|out| out.cancelled_as) {
                    self.end_hand_off(id, outcome, None, at);
                }
            }
            Input::HandOff(id, FromHost::Ended { outcome, answer, at }) => {
                self.end_hand_off(id, outcome, answer, at)
            }
            Input::ProbeEnded(probe, report) => self.end_probe(probe, report),
            Input::Change(change) => self.apply_change(change),
            Input::ChangeLogReadUpTo(at) => {
                self.changelog_read_at = self.changelog_read_at.max(at);
                self.check_changelog();
            }
            Input::HostReset(actor) => self.host_reset(actor),
            Input::HandOffRecordStored(id, result) => self.record_stored(id, result),
            Input::Fleet(message) => {
                if let Some(fleet_connection) = &mut self.fleet_connection {
                    fleet_connection.handle(&mut self.engine, message);
                }
            }
            Input::Stop => {
                let now = clock::now();
                if self.stopping_since.is_none() {
                    tracing::info!(visits = self.visits.len(), "stopping: {} visits open", self.visits.len());
                    self.stopping_since = Some(now);
                    self.shutdown.advance_to(Stage::Stopping);
                    self.timers
                        .push((now + STOPPING_GRACE).min(self.last_answers_at(now)), Timer::CloseConnections);
                }
            }
        }
    }

    fn handle_client(&mut self, client: ClientId, message: FromClient) {
        match message {
            // The close may have overtaken earlier messages of the connection.
            FromClient::Opened { connection } if connection.is_shut_down() => {}
            FromClient::Opened { connection } => {
                let outlet = Outlet::new(connection);
                let (open_visits, unread_bytes) = Default::default();
                self.clients.insert(client, Client { outlet, open_visits, unread_bytes });
            }
            FromClient::Visit { id, request, received_at, in_use, cancel } => {
                if cancel.is_live() {
                    self.open_visit(client, id, *request, received_at, (in_use, cancel));
                }
            }
            FromClient::Malformed { id, field } => {
                self.send_to_client(client, msgpack::bad_request(id, field), None, None)
            }
            FromClient::Status { id } => {
                let parts = msgpack::status(id, !self.hosts.is_empty());
                self.send_to_client(client, parts, None, None);
            }
            FromClient::Withdraw { ids } => {
                let Some(known) = self.clients.get_mut(&client) else { return };
                let withdrawn: Vec<VisitId> =
                    ids.iter().filter_map(|id| known.open_visits.remove(id)).collect();
                withdrawn.into_iter().for_each(|visit| self.abandon_visit(visit));
            }
            FromClient::Closing => {
                let open = self.clients.get(&client).into_iter().flat_map(|known| known.open_visits.values());
                open.copied()
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|visit| self.engine.finish_unserved(visit));
            }
            FromClient::Closed => {
                let Some(known) = self.clients.remove(&client) else { return };
                known.open_visits.into_values().for_each(|visit| self.abandon_visit(visit));
            }
        }
    }

    /// Closes a visit whose client has left.
    fn abandon_visit(&mut self, visit: VisitId) {
        self.close_visit(visit, false);
        self.engine.close_visit(visit);
    }

    fn close_visit(&mut self, visit: VisitId, is_served: bool) -> Option<OpenVisit> {
        let open = self.visits.remove(&visit)?;
        if let Some(recorder) = &mut self.recorder {
            recorder.close_visit(visit, is_served);
        }
        self.open_visit_bytes -= open.request.retained_bytes();
        self.txns.remove(&Txn::parse(&open.request.txn));
        Some(open)
    }

    /// Checks a request and passes it to the module as a visit.
    fn open_visit(
        &mut self,
        client: ClientId,
        id: u32,
        request: VisitRequest,
        received_at: Time,
        (in_use, cancel): (Reservation, CancelToken),
    ) {
        let Some(known) = self.clients.get_mut(&client) else { return };
        let names = &self.config.names.classes;
        let class = names.iter().position(|name| name.as_bytes() == &request.class[..]);
        let found = class.and_then(|place| Some((place, self.config.settings.classes.get(place)?)));
        // A client that violates the protocol loses its connection and all open visits.
        let txn = Txn::parse(&request.txn);
        let owner = self.txns.get(&txn);
        let violation = match owner {
            _ if known.open_visits.len() >= MAX_OPEN_VISITS_PER_CLIENT => Some(CloseReason::TooManyOpen),
            Some(owner) if *owner == client => Some(CloseReason::IdInUse),
            _ => None,
        };
        if let Some(reason) = violation {
            known.outlet.connection.shut_down_write(reason);
            return;
        }
        let bad_field = match found {
            None => Some("method"),
            // A second visit with the same id could get the first one's answers.
            Some(_) if owner.is_some() => Some("txn"),
            Some((place, _))
                if request.time_limit > self.config.class_deadlines[place] + TIME_LIMIT_MARGIN =>
            {
                Some("limit")
            }
            Some((_, class))
                if matches!(class.effect, Effect::Deduplicated { .. }) && request.dedup_key.is_none() =>
            {
                Some("unique")
            }
            Some((_, class)) if !class.is_write && !request.body.is_empty() => Some("body"),
            Some(_) => None,
        };
        let Some((class, _)) = found.filter(|_| bad_field.is_none()) else {
            self.send_to_client(client, msgpack::bad_request(id, bad_field.unwrap_or("method")), None, None);
            return;
        };
        if self.open_visit_bytes + request.retained_bytes() > self.config.max_visit_bytes {
            self.fleet_connection.iter_mut().for_each(FleetConnection::count_refused);
            self.send_to_client(client, msgpack::refused(id, Span::ZERO), None, Some(in_use));
            return;
        }
        self.open_visit_bytes += request.retained_bytes();
        let visit = VisitId(self.next_visit_id);
        self.next_visit_id = self.next_visit_id.wrapping_add(1);
        known.open_visits.insert(id, visit);
        self.txns.insert(txn, client);
        let call = Visit {
            id: visit,
            class: ClassId(class as u16),
            object: request.object,
            group: request.group,
            part: request.block,
            kilobytes: None,
            deadline: received_at + request.time_limit,
        };
        let open = OpenVisit {
            client,
            request_id: id,
            class: ClassId(class as u16),
            request,
            received_at,
            last_event_at: received_at,
            hand_off_count: 0,
            in_use,
            cancel,
        };
        let earlier = self
            .recorder
            .as_ref()
            .and_then(|recorder| recorder.visits.earlier_try(clock::to_unix(received_at), open.key()));
        self.visits.insert(visit, open);
        self.latencies.max_open_visits.fetch_max(self.visits.len(), Relaxed);
        self.latencies.mailbox.record(clock::now() - received_at);
        self.engine.visit_arrived(received_at, call);
        if let Some((sent, host)) = earlier {
            self.engine.note_earlier_attempt(visit, clock::from_unix(sent), host);
        }
    }

    fn send_to_client(
        &mut self,
        client: ClientId,
        parts: Parts,
        answer_read: Option<(Time, Reservation)>,
        in_use: Option<Reservation>,
    ) {
        let Some(known) = self.clients.get_mut(&client) else { return };
        let (answered_at, answer_room) = answer_read.unzip();
        let mut answer = ToClient { parts, answered_at, answer_room, unread_bytes: None, in_use };
        let weight = answer.weight();
        answer.unread_bytes = Some([known.unread_bytes.reserve(weight), self.unread_bytes.reserve(weight)]);
        let total_unread = self.unread_bytes.amount();
        self.latencies.max_unread_bytes.fetch_max(total_unread, Relaxed);
        known.outlet.send(answer, &self.latencies);
        // Clients that don't read are disconnected; over the total limit, the one with the most unread bytes.
        if known.outlet.queued() > MAX_UNREAD_ANSWERS_PER_CLIENT {
            known.outlet.connection.shut_down_write(CloseReason::SlowReader);
        }
        if total_unread > self.config.max_unread_bytes {
            if let Some(worst) = self.clients.values().max_by_key(|client| client.unread_bytes.amount()) {
                worst.outlet.connection.shut_down_write(CloseReason::SlowReader);
            }
        }
    }

    /// Sends the final answer of a visit, unless its client has left.
    fn finish_visit(
        &mut self,
        visit: VisitId,
        parts: impl FnOnce(u32) -> Parts,
        answer_read: Option<(Time, Reservation)>,
    ) {
        let Some(open) = self.close_visit(visit, answer_read.is_some()) else { return };
        if let (Some(fleet_connection), Some((at, _))) = (&mut self.fleet_connection, &answer_read) {
            fleet_connection.count_served(&self.engine, open.class, *at - open.received_at);
        }
        if let Some(known) = self.clients.get_mut(&open.client) {
            known.open_visits.remove(&open.request_id);
        }
        self.send_to_client(open.client, parts(open.request_id), answer_read, Some(open.in_use));
    }

    /// Ends a hand-off: logs it, answers the client if the visit was served, and tells the module.
    fn end_hand_off(
        &mut self,
        id: HandOffId,
        outcome: Outcome,
        answer: Option<(Answer, Reservation)>,
        at: Time,
    ) {
        let Some(out) = self.hand_offs.remove(&id) else { return };
        if let Some(written) = out.send_state.written_at() {
            self.latencies.inbound.record(written - out.triggered_at);
        }
        let HandOffId(visit, number) = id;
        let open = self.visits.get(&visit);
        self.attempt_log.log(&EndedAttempt {
            id,
            request: open.map(|open| &open.request.txn[..]),
            host: self.hosts.get(&out.host).map_or("a removed host", |known| &known.name),
            request_time: open.map(|open| (open.received_at, open.request.time_limit)),
            decided_at: out.decided_at,
            written_at: out.send_state.written_at(),
            ended_at: at,
            outcome,
            fill: out.fill,
        });
        if let Some(recorder) = &mut self.recorder {
            recorder.visits.hand_off_ended(visit, outcome.is_not_executed());
        }
        let is_served = outcome == Outcome::Served;
        let end = HandOffEnd {
            visit,
            number,
            outcome,
            note: answer.as_ref().map_or(Note::Unspecified, |(answer, _)| answer.note),
            duration: at - out.sent_at,
            report: answer.as_ref().map(|(answer, _)| answer.report).unwrap_or_default(),
            is_final: is_served || !self.visits.contains_key(&visit),
        };
        if let Some((answer, reservation)) = answer.filter(|_| is_served) {
            answer.created.into_iter().for_each(|created| self.observe_copy_time(at, created));
            self.finish_visit(
                visit,
                |id| msgpack::served(id, answer.body, answer.client_copy_current),
                Some((at, reservation)),
            );
        }
        self.engine.hand_off_ended(at, end);
    }

    /// Feeds a copy's creation time, which the origin stamps with the same clock as the change log, to the
    /// change log's clock. Times in the future of the wall clock are ignored, as a host's answers may be
    /// wrong.
    fn observe_copy_time(&mut self, now: Time, created: UnixTime) {
        if created <= clock::wall_now() {
            self.change_clock.observe(now, created);
        }
    }

    /// Cancels a hand-off; a later answer to it is dropped. For the module it ends only once the cancel has
    /// been sent, so that the next hand-off cannot overtake the cancel and run a second time.
    fn cancel_hand_off(&mut self, id: HandOffId, outcome: Outcome) {
        let Some(out) = self.hand_offs.get_mut(&id).filter(|out| out.cancelled_as.is_none()) else { return };
        let is_revoked = out.send_state.revoke();
        let _ = out.mailbox.send(ToHost::Cancel(id));
        if is_revoked {
            let reported_outcome = if outcome == Outcome::TimedOut { Outcome::Expired } else { outcome };
            self.end_hand_off(id, reported_outcome, None, clock::now());
        } else {
            out.cancelled_as = Some(outcome);
        }
    }

    /// Ends a hand-off that has not been started by its latest start, without blaming the host. Attempts that
    /// wait for a connection don't all arrive late once it is up.
    fn expire_unsent(&mut self, id: HandOffId) {
        if let Some(out) = self.hand_offs.get(&id).filter(|out| out.send_state.revoke()) {
            let _ = out.mailbox.send(ToHost::Cancel(id));
            self.end_hand_off(id, Outcome::Expired, None, clock::now());
        }
    }

    /// Carries out the decisions that the module has made.
    fn carry_out_decisions(&mut self) {
        let now = clock::now();
        while let Some(decision) = self.engine.next_decision(now) {
            match decision {
                Decision::HandOff { visit, host, times_out_at, send_before, fill } => {
                    self.start_hand_off(now, visit, host, [times_out_at, send_before], fill)
                }
                Decision::Cancel { visit, number } => {
                    self.cancel_hand_off(HandOffId(visit, number), Outcome::Cancelled)
                }
                Decision::Refuse { visit, retry_after } => {
                    self.fleet_connection.iter_mut().for_each(FleetConnection::count_refused);
                    self.finish_visit(visit, |id| msgpack::refused(id, retry_after), None);
                }
                Decision::Fail { visit } => {
                    self.fleet_connection.iter_mut().for_each(FleetConnection::count_failed);
                    self.finish_visit(visit, msgpack::failed, None);
                }
                Decision::Wake { after } => self.timers.push(now + after, Timer::Wake),
                Decision::Probe { host } => self.send_probe(now, host),
                Decision::Log(line) => tracing::info!("module: {line}"),
            }
        }
    }

    fn send_probe(&mut self, now: Time, host: HostId) {
        let Some(known) = self.hosts.get(&host) else { return };
        self.last_probe_id += 1;
        let probe = ProbeId(self.last_probe_id);
        let _ = known.mailbox.send(ToHost::Probe(probe));
        self.probes.insert(probe, host);
        self.timers.push(now + self.config.host_connections.connect_timeout, Timer::ProbeTimeout(probe));
    }

    /// Passes on a host's load, or nothing if it did not answer within the connect limit.
    fn end_probe(&mut self, probe: ProbeId, report: Report) {
        if let Some(host) = self.probes.remove(&probe) {
            self.engine.probe_answered(clock::now(), host, report);
        }
    }

    fn start_hand_off(
        &mut self,
        now: Time,
        visit: VisitId,
        host: HostId,
        [until, latest]: [Time; 2],
        fill: Option<Fill>,
    ) {
        let Some(open) = self.visits.get_mut(&visit) else { return };
        self.fleet_connection.iter_mut().for_each(FleetConnection::count_hand_off);
        let id = HandOffId(visit, HandOffNumber(open.hand_off_count));
        open.hand_off_count = open.hand_off_count.saturating_add(1);
        if !open.cancel.is_live() {
            self.close_visit(visit, false);
            self.engine
                .hand_off_ended(now, HandOffEnd { is_final: true, ..never_sent_end(id, Outcome::Expired) });
            return;
        }
        let triggered_at = std::mem::replace(&mut open.last_event_at, now);
        let request = &open.request;
        let writes =
            self.config.settings.classes.get(usize::from(open.class.0)).is_some_and(|class| class.is_write);
        let source = fill.filter(|fill| fill.source != host).and_then(|fill| self.hosts.get(&fill.source));
        let hand_off = HandOff {
            id,
            txn: request.txn.clone(),
            fields: hand_off_fields(request, fill, source.map(|known| &known.name[..])),
            body: request.body.clone(),
            client_tag: request.cached_tag.clone(),
            expects_copy: fill.is_some() && !writes,
            fills_miss: source.is_some() && fill.is_some_and(|fill| !fill.cached_only),
            deadline: until,
            latest_start: latest,
            cancel: open.cancel.clone(),
            send_state: SendState::default(),
        };
        let send_state = hand_off.send_state.clone();
        let Some((mailbox, host_name)) =
            self.hosts.get(&host).map(|known| (known.mailbox.clone(), &known.name))
        else {
            self.engine.hand_off_ended(now, never_sent_end(id, Outcome::ConnectFailed));
            return;
        };
        let mut record = None;
        if let Some(recorder) = self.recorder.as_mut().filter(|recorder| recorder.records_hand_offs()) {
            let effect =
                self.config.settings.classes.get(usize::from(open.class.0)).map(|class| class.effect);
            let in_doubt_visit = InDoubtVisit {
                class_name: String::from_utf8_lossy(&open.request.class).into_owned(),
                sent_at: clock::to_unix(now).0,
                host: host.0,
                host_name: host_name.clone(),
                repeat_window: None,
            };
            let effect = effect.unwrap_or(Effect::Idempotent);
            if let WriteAhead::Required(to_store) =
                recorder.visits.register_hand_off(visit, open.key(), effect, in_doubt_visit)
            {
                recorder.write_hand_off_record(id, to_store);
                record = Some(Box::new(hand_off.clone()));
            }
        }
        let awaits_record = record.is_some();
        self.hand_offs.insert(
            id,
            PendingHandOff {
                host,
                mailbox,
                decided_at: now,
                sent_at: now,
                triggered_at,
                send_state,
                fill,
                cancelled_as: None,
                awaiting_record: record,
            },
        );
        self.timers.push(until, Timer::AnswerTimeout(id));
        if latest < until {
            self.timers.push(latest, Timer::LatestStart(id));
        }
        if !awaits_record {
            self.send_hand_off(id, hand_off, now);
        }
    }

    /// Sends a hand-off to its host, whose response time counts from `at`.
    fn send_hand_off(&mut self, id: HandOffId, hand_off: HandOff, at: Time) {
        let Some(out) = self.hand_offs.get_mut(&id) else { return };
        if out.mailbox.send(ToHost::HandOff(hand_off)) {
            out.sent_at = at;
            self.timers.push(at + self.config.host_connections.connect_timeout, Timer::ConnectTimeout(id));
        } else {
            self.end_hand_off(id, Outcome::ConnectFailed, None, clock::now());
        }
    }

    /// The store has accepted or rejected a hand-off's record. The hand-off may have been cancelled
    /// meanwhile.
    fn record_stored(&mut self, id: HandOffId, result: WriteResult) {
        let Some(recorder) = &mut self.recorder else { return };
        let may_be_sent = recorder.visits.record_result(id.0, result);
        let Some(hand_off) = self.hand_offs.get_mut(&id).and_then(|out| out.awaiting_record.take()) else {
            return;
        };
        if may_be_sent {
            self.send_hand_off(id, *hand_off, clock::now());
        } else {
            // Not the host's fault, and another record would be rejected too: the visit is given up at once.
            self.end_hand_off(id, Outcome::Expired, None, clock::now());
            self.engine.finish_unserved(id.0);
        }
    }

    /// A host's process may have ended. A host that was listed again meanwhile has a new actor id.
    fn host_reset(&mut self, actor: HostActorId) {
        let known = self.hosts.iter().find(|(_, known)| known.mailbox.id == actor);
        let Some((&id, known)) = known else { return };
        let name = &known.name[..];
        tracing::info!(
            host = name,
            "host {:x} is {name}: its connections were reset, its process may be new",
            id.0
        );
        self.engine.connection_lost(clock::now(), id);
    }

    /// Applies a change of the change log.
    pub fn apply_change(&mut self, change: Change) {
        self.observe_timestamps(&change);
        let now = clock::now();
        match change {
            Change::HostList { is_complete, hosts } => self.apply_list(now, hosts, is_complete),
            Change::Purge(purge) => self.apply_purge(now, &purge),
        }
    }

    fn apply_list(&mut self, now: Time, listed: Vec<ListedHost>, is_full: bool) {
        let clocks = Clocks { now, wall: clock::wall_now(), change_clock: &self.change_clock };
        let AppliedUpdate { hosts, displaced, faults } = self.list.apply(&clocks, listed, is_full);
        for (name, fault) in faults {
            tracing::warn!(host = &name[..], "list: host {name}: {fault}");
        }
        let started: BTreeMap<HostId, Option<UnixTime>> =
            hosts.iter().map(|host| (host.listing.host, host.started)).collect();
        let entries: Vec<Listing> =
            hosts.iter().map(|host| host.listing).chain(displaced.iter().copied()).collect();
        let kept: BTreeSet<HostId> = hosts.iter().map(|host| host.listing.host).collect();
        let missing = self.hosts.keys().filter(|id| is_full && !kept.contains(id)).copied();
        let gone: Vec<HostId> = missing.chain(displaced.iter().map(|displaced| displaced.host)).collect();
        let changed = self.changed_sources(&entries, &gone);
        gone.into_iter().for_each(|id| self.remove_host(id));
        hosts.into_iter().for_each(|host| self.update_host(host));
        self.engine.update_hosts(now, &entries, is_full);
        let fills_from_changed =
            |out: &PendingHandOff| out.fill.is_some_and(|fill| changed.contains(&fill.source));
        let stale = self.hand_offs.iter().filter(|(_, out)| fills_from_changed(out));
        self.redecide_unsent(stale.map(|(id, _)| *id).collect());
        if let Some(fleet_connection) = &mut self.fleet_connection {
            for entry in &entries {
                fleet_connection.host_listed(
                    &mut self.engine,
                    entry,
                    started.get(&entry.host).copied().flatten(),
                );
            }
        }
    }

    /// The hosts that are no longer valid as sources of fills: they are draining or gone, or their process is
    /// new.
    fn changed_sources(&self, entries: &[Listing], gone: &[HostId]) -> BTreeSet<HostId> {
        let is_new = |entry: &Listing| {
            self.hosts.get(&entry.host).is_some_and(|known| known.started < entry.started_at)
        };
        let changed = entries.iter().filter(|entry| entry.phase != Phase::Ready || is_new(entry));
        changed.map(|entry| entry.host).chain(gone.iter().copied()).collect()
    }

    /// Ends those of these hand-offs that have not been started, so that they are decided again. They were
    /// decided before a purge or a change of their source.
    fn redecide_unsent(&mut self, stale: Vec<HandOffId>) {
        for id in stale {
            let Some(out) = self.hand_offs.get(&id).filter(|out| out.send_state.revoke()) else { continue };
            let _ = out.mailbox.send(ToHost::Cancel(id));
            self.end_hand_off(id, Outcome::NotSent, None, clock::now());
        }
    }

    /// Removes a host; its actor ends by itself once no hand-off is in flight.
    fn remove_host(&mut self, id: HostId) {
        if let Some(known) = self.hosts.remove(&id) {
            self.fleet_connection
                .iter_mut()
                .for_each(|fleet_connection| fleet_connection.host_unlisted(id, true));
            let _ = known.mailbox.send(ToHost::Remove);
        }
    }

    fn update_host(&mut self, host: ListedHost) {
        let ListedHost { listing, name, address, .. } = host;
        let (id, since) = (listing.host, listing.started_at);
        tracing::info!(host = &name[..], phase = ?listing.phase, "list: host {:x} is {name}, {:?}, weight {:.1}", id.0, listing.phase, listing.weight);
        let known = self.hosts.get(&id);
        let (Some(address), false) = (address, listing.phase == Phase::Gone) else {
            self.remove_host(id);
            return;
        };
        // A restarted process gets a new actor, whether or not its address has changed.
        if let Some(known) = known.filter(|known| known.address == address && known.started >= since) {
            let _ = known.mailbox.send(ToHost::SetDraining(listing.phase == Phase::Draining));
            return;
        }
        self.remove_host(id);
        let mailbox = self.host_actors.add(&name, address);
        self.hosts.insert(id, HostEntry { name, address, started: since, mailbox });
    }

    fn sweep(&mut self, now: Time) {
        self.timers.push(now + SWEEP_INTERVAL, Timer::Sweep);
        self.host_actors.sweep(now);
        self.update_start_times(now);
        self.check_changelog();
        self.sweep_count += 1;
        if self.sweep_count.is_multiple_of(SWEEPS_PER_REPORT) {
            if let Some(recorder) = &mut self.recorder {
                recorder.remove_expired();
            }
            self.log_latencies();
        }
    }

    /// Limits the age of copies while the change log is silent, as it may have purges to tell. Drains can't
    /// be guarded against: any host may be draining.
    fn check_changelog(&mut self) {
        // With carriers the fleet proves that no change is missing.
        if self.fleet_connection.as_ref().is_some_and(FleetConnection::has_carriers) {
            return;
        }
        let silent_for = clock::now() - self.changelog_read_at;
        let is_silent =
            silent_for + SWEEP_INTERVAL >= MAX_ANNOUNCEMENT_DELAY + self.config.settings.purge_obey_time;
        if std::mem::replace(&mut self.is_changelog_silent, is_silent) == is_silent {
            return;
        }
        self.engine.set_log_silent(is_silent.then_some(MAX_ANNOUNCEMENT_DELAY));
        let ms = silent_for.0 / 1000;
        if is_silent {
            // Hand-offs that have not been sent were decided without the limit.
            let fills = self.hand_offs.iter().filter(|(_, out)| out.fill.is_some());
            self.redecide_unsent(fills.map(|(id, _)| *id).collect());
            tracing::warn!(
                "changelog silent for {ms} ms: only copies are accepted that no missed purge can concern"
            );
        } else {
            tracing::info!("changelog answers again: the age of copies is limited by known purges only");
        }
    }

    fn update_start_times(&mut self, now: Time) {
        let clocks = Clocks { now, wall: clock::wall_now(), change_clock: &self.change_clock };
        for (id, since) in self.list.redate(&clocks) {
            self.engine.correct_start(id, since);
            self.hosts.get_mut(&id).into_iter().for_each(|known| known.started = Some(since));
            self.fleet_connection
                .iter_mut()
                .for_each(|fleet_connection| fleet_connection.start_redated(id, since));
        }
    }

    fn log_latencies(&mut self) {
        let latencies = &self.latencies;
        tracing::info!(
            "spent: in {} out {} mailbox {} timers {}; open {} unread {} kB clients {}",
            latencies.inbound.summarize(),
            latencies.outbound.summarize(),
            latencies.mailbox.summarize(),
            latencies.timers.summarize(),
            latencies.max_open_visits.swap(0, Relaxed),
            latencies.max_unread_bytes.swap(0, Relaxed) / 1024,
            self.clients.len()
        );
    }

    /// When visits still open after SIGTERM are given up.
    fn last_answers_at(&self, now: Time) -> Time {
        self.stopping_since.unwrap_or(now)
            + self.config.longest_deadline().min(MAX_STOPPING_DEADLINE)
            + LAST_ANSWERS_MARGIN
    }

    /// Closes connections that are not in use, and ends the process once none is left; requests are served
    /// until then. Visits that are still open shortly before the process may be killed are given up, so that
    /// they get an answer.
    fn close_connections(&mut self, now: Time) {
        self.shutdown.advance_to(Stage::Closing);
        let unread: usize = self.clients.values().map(|client| client.outlet.queued()).sum();
        let last = self.last_answers_at(now);
        if now > last {
            let open: Vec<VisitId> = self.visits.keys().copied().collect();
            open.into_iter().for_each(|visit| self.engine.finish_unserved(visit));
            self.carry_out_decisions();
        }
        if self.visits.is_empty() && unread == 0 && self.shutdown.is_all_closed()
            || now > last + LAST_WRITES_MARGIN
        {
            self.log_latencies();
            tracing::info!("stopped: {} visits open, {unread} answers unread", self.visits.len());
            self.is_done = true;
        } else {
            self.timers.push(now + CLOSING_CHECK_INTERVAL, Timer::CloseConnections);
        }
    }
}

/// The end of a hand-off that was not sent.
fn never_sent_end(HandOffId(visit, number): HandOffId, outcome: Outcome) -> HandOffEnd {
    let (note, took) = (Note::Unspecified, Span::ZERO);
    HandOffEnd { visit, number, outcome, note, duration: took, report: Report::default(), is_final: false }
}

/// Encodes the fields of a hand-off. Ages are rounded down to milliseconds, so that no older copy is
/// accepted.
fn hand_off_fields(request: &VisitRequest, fill: Option<Fill>, source: Option<&str>) -> String {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let mut fields = String::with_capacity(160);
    let _ = write!(fields, "c={},k={},p={}", text(&request.class), text(&request.item), request.block);
    if let Some(key) = &request.dedup_key {
        let _ = write!(fields, ",i={}", text(key));
    }
    if let Some(tag) = &request.cached_tag {
        let _ = write!(fields, ",seen={}", text(tag));
    }
    if let Some(fill) = fill {
        if let Some(source) = source {
            let _ = write!(fields, ",from={source}");
        }
        if fill.rank > 0 {
            let _ = write!(fields, ",rank={}", fill.rank);
        }
        if fill.max_age > Span::ZERO {
            let _ = write!(fields, ",oldest={}", (fill.max_age.0 / 1000).max(1));
        }
        let modes = [
            (fill.may_join, "collapse"),
            (fill.cached_only, "only-if-cached"),
            (fill.refresh_stale, "refresh"),
        ];
        let modes: Vec<&str> = modes.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !modes.is_empty() {
            let _ = write!(fields, ",mode={}", modes.join("+"));
        }
    }
    fields
}

#[cfg(test)]
mod tests;
