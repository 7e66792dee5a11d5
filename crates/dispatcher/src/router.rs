//! The module's actor, the only owner of the module, of open visits and of hand-offs: turns messages into
//! calls, pulls decisions, and sends them out. It decides nothing itself.
use crate::attempt_log::{AttemptLog, EndedAttempt};
use crate::cancellation::CancelToken;
use crate::capacity::{Gauge, HostCapacity, Reservation};
use crate::change_clock::ChangeClock;
use crate::changes::TOLD_AT_LATEST;
use crate::clients::{Outlet, Shutdown, Stage, ToClient, READ_BYTES};
use crate::clock;
use crate::config::Config;
use crate::connection::CloseReason;
use crate::host_messages::{HandOff, HostMailbox, SendState, ToHost};
use crate::hosts::Hosts;
use crate::ids::{ClientId, HandOffId, HostActorId, ProbeId, Txn};
use crate::inbox::{Change, FromClient, FromHost, Input, Listed};
use crate::keeping::{Keeper, Replayed};
use crate::latency::Latencies;
use crate::list::{Applied, Clocks, List};
use crate::mailbox;
use crate::msgpack::{self, Parts, VisitRequest};
use crate::resp::Answer;
use crate::sharing::Sharing;
use bytes::Bytes;
use cherrypass::brain::Brain;
use cherrypass::calls::*;
use cherrypass::containers::DueTimes;
use cherrypass::ids::*;
use cherrypass::settings::Effect;
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_keep::purges::Purge;
use cherrypass_keep::visits::{Before, MayHaveRun, Taken};
use crossbeam_channel::{Receiver, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// The most visits that a client may have open on one connection.
const MAX_OPEN_VISITS_PER_CLIENT: usize = 32;
/// And the most answers that it may leave unread.
const MAX_UNREAD_ANSWERS_PER_CLIENT: usize = 4 * MAX_OPEN_VISITS_PER_CLIENT;
/// By so much a limit may pass its band's deadline, for the way and for rounding.
const TIME_LIMIT_MARGIN: Span = Span::millis(50);
const SWEEP_INTERVAL: Span = Span::millis(250);
/// A wait that ends so much late means that the process stood still; so long it hears the change log at the most then.
const SUSPENSION_THRESHOLD: Span = Span::millis(500);
const MAX_CATCH_UP: Span = Span::millis(150);
const SWEEPS_PER_REPORT: u32 = 40;
/// How many messages of clients are taken before others are looked for.
const CLIENT_MESSAGES_PER_TURN: usize = 16;
/// For so long after SIGTERM requests may still come: 0.6 s by the protocol page, and as much again for the way.
const STOPPING_GRACE: Span = Span::millis(1_000);
/// After SIGTERM it may be killed no sooner than the longest deadline, counted as so much at most, and 0.7 s.
const MAX_KILL_DELAY: Span = Span::millis(3_000);
const LAST_ANSWERS_MARGIN: Span = Span::millis(400);
const LAST_WRITES_MARGIN: Span = Span::millis(200);
const CLOSING_CHECK_INTERVAL: Span = Span::millis(20);

enum Timer {
    Wake,
    AnswerTimeout(HandOffId),
    ConnectTimeout(HandOffId),
    /// It does not begin any more.
    LatestStart(HandOffId),
    ProbeTimeout(ProbeId),
    Sweep,
    CloseConnections,
}

struct Client {
    outlet: Outlet,
    open_visits: BTreeMap<u32, VisitId>,
    /// Bytes of answers given and not written yet.
    unread_bytes: Gauge,
}

struct OpenVisit {
    client: ClientId,
    request_id: u32,
    band: BandId,
    request: VisitRequest,
    received_at: Time,
    last_event_at: Time,
    hand_off_count: u8,
    in_use: Reservation,
    cancel: CancelToken,
}

impl OpenVisit {
    /// What names the visit in all its tries.
    fn key(&self) -> &[u8] {
        self.request.dedup_key.as_ref().unwrap_or(&self.request.txn)
    }
}

struct PendingHandOff {
    host: HostId,
    mailbox: HostMailbox,
    decided_at: Time,
    sent_at: Time,
    triggered_at: Time,
    send_state: SendState,
    fill: Option<Fill>,
    /// As what it ends once its host is told that no answer is wanted any more.
    cancelled_as: Option<Outcome>,
    /// What goes out once its record is on disk.
    awaiting_record: Option<Box<HandOff>>,
}

struct HostEntry {
    name: String,
    address: SocketAddr,
    started: Option<Time>,
    mailbox: HostMailbox,
}

pub struct Router {
    config: Config,
    brain: Brain,
    /// Of hosts, the change log and signals; and of clients.
    mailboxes: [Receiver<Input>; 2],
    host_actors: Hosts,
    /// What open visits keep, and what answers that are not written yet do.
    open_visit_bytes: usize,
    unread_bytes: Gauge,
    timers: DueTimes<Timer>,
    clients: BTreeMap<ClientId, Client>,
    visits: BTreeMap<VisitId, OpenVisit>,
    /// The clients' own ids of open visits.
    txns: BTreeMap<Txn, ClientId>,
    hand_offs: BTreeMap<HandOffId, PendingHandOff>,
    hosts: BTreeMap<HostId, HostEntry>,
    list: List,
    /// Hosts that were asked how busy they are.
    probes: BTreeMap<ProbeId, HostId>,
    last_probe_id: u64,
    next_visit_id: u32,
    /// When SIGTERM came.
    stopping_since: Option<Time>,
    /// What the thread of clients is told of the end, and tells.
    shutdown: Arc<Shutdown>,
    pub latencies: Arc<Latencies>,
    sweep_count: u32,
    is_done: bool,
    keeper: Option<Keeper>,
    /// Where other dispatchers are known.
    sharing: Option<Sharing>,
    attempt_log: AttemptLog,
    change_clock: ChangeClock,
    /// All that the change log had then is known.
    changelog_read_at: Time,
    is_changelog_silent: bool,
}

impl VisitRequest {
    /// What an open visit counts for: it may keep the whole buffer that it was read into.
    fn retained_bytes(&self) -> usize {
        self.body.len().max(READ_BYTES)
    }
}

impl Router {
    pub fn new(
        config: Config,
        own: Sender<Input>,
        mailboxes: [Receiver<Input>; 2],
        front: Arc<Shutdown>,
    ) -> std::io::Result<Router> {
        let now = clock::now();
        let room = HostCapacity::new(config.reach.connections, config.held);
        let brain = Brain::start(config.settings.clone(), config.seed, now);
        let mut due = DueTimes::default();
        due.put(now + SWEEP_INTERVAL, Timer::Sweep);
        let actors = Hosts::start(config.reach, room, own)?;
        let set = &config.settings;
        let list = List::new(set.cold_cache.ramp.max(set.cold_parent.ramp), set.weights_told);
        Ok(Router {
            config,
            brain,
            mailboxes,
            host_actors: actors,
            open_visit_bytes: 0,
            unread_bytes: Gauge::default(),
            timers: due,
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
            shutdown: front,
            latencies: Arc::default(),
            sweep_count: 0,
            is_done: false,
            keeper: None,
            sharing: None,
            attempt_log: AttemptLog::default(),
            change_clock: ChangeClock::default(),
            changelog_read_at: now,
            is_changelog_silent: false,
        })
    }

    /// From here on what must last is kept, and the module hears of what was known before.
    pub fn set_keeper(&mut self, (keeper, replayed): (Keeper, Replayed)) {
        let now = clock::now();
        match replayed {
            Replayed::Purges(purges) => {
                purges.iter().for_each(|purge| self.change_clock.heard(now, purge.at));
                purges.iter().for_each(|purge| self.apply_purge(now, purge));
            }
            Replayed::Unknown { groups } => {
                (0..groups).for_each(|group| self.brain.purged(now, GroupId(group), None, Span::ZERO));
            }
        }
        self.keeper = Some(keeper);
    }

    /// The changes that are known at the start, each of which may date the others.
    pub fn apply_known_changes(&mut self, changes: Vec<Change>) {
        changes.iter().for_each(|change| self.observe_timestamps(change));
        changes.into_iter().for_each(|change| self.apply_change(change));
    }

    /// The clock of the change log goes by all that it says of times.
    fn observe_timestamps(&mut self, change: &Change) {
        let now = clock::now();
        match change {
            Change::Purge(purge) => self.change_clock.heard(now, purge.at),
            Change::List { hosts, .. } => {
                let started = hosts.iter().filter_map(|host| host.started);
                started.for_each(|started| self.change_clock.heard(now, started));
            }
        }
    }

    /// From here on limits and what is found of hosts are shared.
    pub fn set_sharing(&mut self, mut sharing: Sharing) {
        sharing.begin(&mut self.brain);
        self.sharing = Some(sharing);
    }

    fn apply_purge(&mut self, now: Time, purge: &Purge) {
        if let Some(keeper) = &self.keeper {
            keeper.purged(purge);
        }
        // Not by the wall clock: one that is ahead would have older copies served.
        let age = self.change_clock.age(now, purge.at);
        match purge.object {
            Some(object) => {
                tracing::info!(
                    change = purge.change,
                    "purge: object {:016x}, heard {} ms after it",
                    object.0,
                    age.0 / 1000
                )
            }
            None => tracing::info!(
                change = purge.change,
                "purge: group {}, heard {} ms after it",
                purge.group.0,
                age.0 / 1000
            ),
        }
        self.brain.purged(now, purge.group, purge.object, age);
        let visits = &self.visits;
        let asks = |id: &HandOffId| {
            let asked = visits.get(&id.0).map(|open| &open.request);
            asked.is_some_and(|asked| match purge.object {
                Some(object) => asked.object == object,
                None => asked.group == purge.group,
            })
        };
        let stale = self.hand_offs.iter().filter(|(id, out)| out.fill.is_some() && asks(id));
        self.redecide_unsent(stale.map(|(id, _)| *id).collect());
    }

    /// Runs until the process is to end.
    pub fn run(&mut self) {
        self.carry_out_decisions();
        while !self.is_done {
            let now = clock::now();
            let wait = clock::duration(self.timers.first().map_or(SWEEP_INTERVAL, |at| at - now));
            let wait = self.sharing.as_ref().map_or(wait, |sharing| wait.min(sharing.wait()));
            let input = mailbox::recv_timeout(&self.mailboxes, wait);
            if clock::now() > now + Span(wait.as_micros() as u64) + SUSPENSION_THRESHOLD {
                self.catch_up();
            }
            if let Some(input) = input {
                self.handle(input);
                self.carry_out_decisions();
            }
            // What has come meanwhile is taken together, of clients a part at a time; neither due times nor what
            // hosts tell wait for a full mailbox.
            for (place, most) in [(0, usize::MAX), (1, CLIENT_MESSAGES_PER_TURN)] {
                let waiting = self.mailboxes[place].len().min(most);
                for _ in 0..waiting {
                    let Ok(input) = self.mailboxes[place].try_recv() else { break };
                    self.handle(input);
                    self.carry_out_decisions();
                }
            }
            self.run_timers();
            if let Some(sharing) = self.sharing.as_mut().filter(|sharing| sharing.wait().is_zero()) {
                sharing.round(&mut self.brain);
            }
            self.carry_out_decisions();
        }
    }

    /// The process has stood still: what the change log told meanwhile is heard before anything is sent again. Guards rules 3
    /// and 5 against requests that waited as well and are read first; for a short time only, as their deadlines run.
    fn catch_up(&mut self) {
        let since = clock::now();
        let until = since + MAX_CATCH_UP;
        tracing::warn!("stood still: what the change log told is heard first");
        loop {
            let now = clock::now();
            if now >= until
                || self.changelog_read_at >= since
                || self.sharing.as_ref().is_some_and(Sharing::has_carriers)
            {
                return;
            }
            // Of hosts, the change log and signals; clients wait.
            if let Ok(input) = self.mailboxes[0].recv_timeout(clock::duration(until - now)) {
                self.handle(input);
            }
        }
    }

    fn run_timers(&mut self) {
        let now = clock::now();
        while let Some(at) = self.timers.first().filter(|at| *at <= now) {
            let Some(due) = self.timers.pop(now) else { return };
            self.latencies.timers.record(now - at);
            match due {
                Timer::Wake => self.brain.woken(clock::now()),
                Timer::AnswerTimeout(id) => {
                    // The visit's time is over: nothing follows on this that could be a second copy.
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
                Timer::ProbeTimeout(number) => self.end_probe(number, Report::default()),
                Timer::Sweep => self.sweep(now),
                Timer::CloseConnections => self.close_connections(now),
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Client(id, what) => self.handle_client(id, what),
            Input::HandOff(id, FromHost::CancelSent { at }) => {
                if let Some(outcome) = self.hand_offs.get(&id).and_then(|out| out.cancelled_as) {
                    self.end_hand_off(id, outcome, None, at);
                }
            }
            Input::HandOff(id, FromHost::Ended { outcome, answer, at }) => {
                self.end_hand_off(id, outcome, answer, at)
            }
            Input::ProbeEnded(number, report) => self.end_probe(number, report),
            Input::Changed(change) => self.apply_change(change),
            Input::LogKnown(at) => {
                self.changelog_read_at = self.changelog_read_at.max(at);
                self.check_changelog();
            }
            Input::HostReset(number) => self.host_reset(number),
            Input::Recorded(id, taken) => self.record_stored(id, taken),
            Input::Fleet(what) => {
                if let Some(sharing) = &mut self.sharing {
                    sharing.take(&mut self.brain, what);
                }
            }
            Input::Stop => {
                let now = clock::now();
                if self.stopping_since.is_none() {
                    tracing::info!(visits = self.visits.len(), "stopping: {} visits open", self.visits.len());
                    self.stopping_since = Some(now);
                    self.shutdown.advance_to(Stage::Stopping);
                    self.timers
                        .put((now + STOPPING_GRACE).min(self.last_answers_at(now)), Timer::CloseConnections);
                }
            }
        }
    }

    fn handle_client(&mut self, client: ClientId, what: FromClient) {
        match what {
            // Its end is told past the messages before it.
            FromClient::Opened { connection: line } if line.is_shut_down() => {}
            FromClient::Opened { connection: line } => {
                let outlet = Outlet::new(line);
                let (open, unread) = Default::default();
                self.clients.insert(client, Client { outlet, open_visits: open, unread_bytes: unread });
            }
            FromClient::Visit { id, request: asked, received_at: at, in_use: busy, cancel: wanted } => {
                if wanted.is_live() {
                    self.open_visit(client, id, *asked, at, (busy, wanted));
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
                let gone: Vec<VisitId> = ids.iter().filter_map(|id| known.open_visits.remove(id)).collect();
                gone.into_iter().for_each(|visit| self.abandon_visit(visit));
            }
            FromClient::Closing => {
                let open = self.clients.get(&client).into_iter().flat_map(|known| known.open_visits.values());
                open.copied().collect::<Vec<_>>().into_iter().for_each(|visit| self.brain.give_up(visit));
            }
            FromClient::Closed => {
                let Some(known) = self.clients.remove(&client) else { return };
                known.open_visits.into_values().for_each(|visit| self.abandon_visit(visit));
            }
        }
    }

    fn abandon_visit(&mut self, visit: VisitId) {
        self.close_visit(visit, false);
        self.brain.left(visit);
    }

    fn close_visit(&mut self, visit: VisitId, settled: bool) -> Option<OpenVisit> {
        let open = self.visits.remove(&visit)?;
        if let Some(keeper) = &mut self.keeper {
            keeper.closed(visit, settled);
        }
        self.open_visit_bytes -= open.request.retained_bytes();
        self.txns.remove(&Txn::parse(&open.request.txn));
        Some(open)
    }

    fn open_visit(
        &mut self,
        client: ClientId,
        id: u32,
        asked: VisitRequest,
        at: Time,
        (busy, wanted): (Reservation, CancelToken),
    ) {
        let Some(known) = self.clients.get_mut(&client) else { return };
        let names = &self.config.names.bands;
        let band = names.iter().position(|name| name.as_bytes() == &asked.class[..]);
        let found = band.and_then(|place| Some((place, self.config.settings.bands.get(place)?)));
        // Guards against a client that keeps to no bounds: it pays for that itself, with all that it has open.
        let txn = Txn::parse(&asked.txn);
        let twin = self.txns.get(&txn);
        let breach = match twin {
            _ if known.open_visits.len() >= MAX_OPEN_VISITS_PER_CLIENT => Some(CloseReason::TooManyOpen),
            Some(twin) if *twin == client => Some(CloseReason::IdInUse),
            _ => None,
        };
        if let Some(code) = breach {
            known.outlet.connection.shut_down_write(code);
            return;
        }
        let fault = match found {
            None => Some("method"),
            // Guards against answers that could be taken for another visit's, and against hand-offs kept for ever.
            Some(_) if twin.is_some() => Some("txn"),
            Some((place, _)) if asked.time_limit > self.config.limits[place] + TIME_LIMIT_MARGIN => {
                Some("limit")
            }
            Some((_, band))
                if matches!(band.effect, Effect::Deduplicated { .. }) && asked.dedup_key.is_none() =>
            {
                Some("unique")
            }
            Some((_, band)) if !band.writes && !asked.body.is_empty() => Some("body"),
            Some(_) => None,
        };
        let Some((band, _)) = found.filter(|_| fault.is_none()) else {
            self.send_to_client(client, msgpack::bad_request(id, fault.unwrap_or("method")), None, None);
            return;
        };
        if self.open_visit_bytes + asked.retained_bytes() > self.config.kept {
            self.sharing.iter_mut().for_each(Sharing::turned_back);
            self.send_to_client(client, msgpack::refused(id, Span::ZERO), None, Some(busy));
            return;
        }
        self.open_visit_bytes += asked.retained_bytes();
        let visit = VisitId(self.next_visit_id);
        self.next_visit_id = self.next_visit_id.wrapping_add(1);
        known.open_visits.insert(id, visit);
        self.txns.insert(txn, client);
        let call = Visit {
            id: visit,
            band: BandId(band as u16),
            object: asked.object,
            group: asked.group,
            part: asked.block,
            kilobytes: None,
            deadline: at + asked.time_limit,
        };
        let open = OpenVisit {
            client,
            request_id: id,
            band: BandId(band as u16),
            request: asked,
            received_at: at,
            last_event_at: at,
            hand_off_count: 0,
            in_use: busy,
            cancel: wanted,
        };
        let before =
            self.keeper.as_ref().and_then(|keeper| keeper.visits.arrived(clock::unix_at(at), open.key()));
        self.visits.insert(visit, open);
        self.latencies.max_open_visits.fetch_max(self.visits.len(), Relaxed);
        self.latencies.mailbox.record(clock::now() - at);
        self.brain.arrived(at, call);
        if let Some((sent, host)) = before {
            self.brain.ran_before(visit, clock::from_unix(sent), host);
        }
    }

    fn send_to_client(
        &mut self,
        client: ClientId,
        parts: Parts,
        from: Option<(Time, Reservation)>,
        busy: Option<Reservation>,
    ) {
        let Some(known) = self.clients.get_mut(&client) else { return };
        let (answered, held) = from.unzip();
        let mut answer =
            ToClient { parts, answered_at: answered, answer_room: held, unread: None, in_use: busy };
        let weight = answer.weight();
        answer.unread = Some([known.unread_bytes.reserve(weight), self.unread_bytes.reserve(weight)]);
        let all = self.unread_bytes.amount();
        self.latencies.max_unread_bytes.fetch_max(all, Relaxed);
        known.outlet.send(answer, &self.latencies);
        // Guards against clients that don't read: past the bounds the one that owes most pays for it alone.
        if known.outlet.queued() > MAX_UNREAD_ANSWERS_PER_CLIENT {
            known.outlet.connection.shut_down_write(CloseReason::SlowReader);
        }
        if all > self.config.unread {
            if let Some(worst) = self.clients.values().max_by_key(|client| client.unread_bytes.amount()) {
                worst.outlet.connection.shut_down_write(CloseReason::SlowReader);
            }
        }
    }

    /// The final answer of a visit, unless it has left.
    fn finish_visit(
        &mut self,
        visit: VisitId,
        parts: impl FnOnce(u32) -> Parts,
        from: Option<(Time, Reservation)>,
    ) {
        let Some(open) = self.close_visit(visit, from.is_some()) else { return };
        if let (Some(sharing), Some((at, _))) = (&mut self.sharing, &from) {
            sharing.settled(&self.brain, open.band, *at - open.received_at);
        }
        if let Some(known) = self.clients.get_mut(&open.client) {
            known.open_visits.remove(&open.request_id);
        }
        self.send_to_client(open.client, parts(open.request_id), from, Some(open.in_use));
    }

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
            host: self.hosts.get(&out.host).map_or("a host that has gone", |known| &known.name),
            request_time: open.map(|open| (open.received_at, open.request.time_limit)),
            decided: out.decided_at,
            written: out.send_state.written_at(),
            ended: at,
            outcome,
            fill: out.fill,
        });
        if let Some(keeper) = &mut self.keeper {
            keeper.visits.ended(visit, outcome.never_ran());
        }
        let settled = outcome == Outcome::Settled;
        let end = Ended {
            visit,
            number,
            outcome,
            note: answer.as_ref().map_or(Note::Untold, |(answer, _)| answer.note),
            took: at - out.sent_at,
            report: answer.as_ref().map(|(answer, _)| answer.report).unwrap_or_default(),
            last: settled || !self.visits.contains_key(&visit),
        };
        if let Some((answer, held)) = answer.filter(|_| settled) {
            answer.created.into_iter().for_each(|born| self.observe_copy_time(at, born));
            self.finish_visit(
                visit,
                |id| msgpack::served(id, answer.body, answer.client_copy_current),
                Some((at, held)),
            );
        }
        self.brain.ended(at, end);
    }

    /// The origin's stamp on a copy tells the time as the change log's stamps do. One in the future of this machine's wall
    /// clock is not taken: a host may spoil its answers.
    fn observe_copy_time(&mut self, now: Time, born: UnixTime) {
        if born <= clock::wall() {
            self.change_clock.heard(now, born);
        }
    }

    /// Calls a hand-off off; what may still come of it is dropped. It ends for the module once its host is
    /// told: guards against a next hand-off that overtakes the call-off on its way, and so is a second copy.
    fn cancel_hand_off(&mut self, id: HandOffId, outcome: Outcome) {
        let Some(out) = self.hand_offs.get_mut(&id).filter(|out| out.cancelled_as.is_none()) else { return };
        let off = out.send_state.revoke();
        let _ = out.mailbox.send(ToHost::Cancel(id));
        if off {
            let never_ran = if outcome == Outcome::TimedOut { Outcome::Moot } else { outcome };
            self.end_hand_off(id, never_ran, None, clock::now());
        } else {
            out.cancelled_as = Some(outcome);
        }
    }

    /// What has not begun to go out by now never does, by no fault of its host: guards against attempts that wait for
    /// connections and come together once these are up.
    fn expire_unsent(&mut self, id: HandOffId) {
        if let Some(out) = self.hand_offs.get(&id).filter(|out| out.send_state.revoke()) {
            let _ = out.mailbox.send(ToHost::Cancel(id));
            self.end_hand_off(id, Outcome::Moot, None, clock::now());
        }
    }

    fn carry_out_decisions(&mut self) {
        let now = clock::now();
        while let Some(decision) = self.brain.next(now) {
            match decision {
                Decision::HandOff { visit, host, until, latest, fill } => {
                    self.start_hand_off(now, visit, host, [until, latest], fill)
                }
                Decision::Cancel { visit, number } => {
                    self.cancel_hand_off(HandOffId(visit, number), Outcome::Cancelled)
                }
                Decision::TurnBack { visit, retry_after } => {
                    self.sharing.iter_mut().for_each(Sharing::turned_back);
                    self.finish_visit(visit, |id| msgpack::refused(id, retry_after), None);
                }
                Decision::WriteOff { visit } => {
                    self.sharing.iter_mut().for_each(Sharing::written_off);
                    self.finish_visit(visit, msgpack::failed, None);
                }
                Decision::Wake { after } => self.timers.put(now + after, Timer::Wake),
                Decision::Probe { host } => self.send_probe(now, host),
                Decision::Log(line) => tracing::info!("module: {line}"),
            }
        }
    }

    fn send_probe(&mut self, now: Time, host: HostId) {
        let Some(known) = self.hosts.get(&host) else { return };
        self.last_probe_id += 1;
        let number = ProbeId(self.last_probe_id);
        let _ = known.mailbox.send(ToHost::Probe(number));
        self.probes.insert(number, host);
        self.timers.put(now + self.config.reach.connect_limit, Timer::ProbeTimeout(number));
    }

    /// What a host told, or nothing within the time for a connection to come up.
    fn end_probe(&mut self, number: ProbeId, report: Report) {
        if let Some(host) = self.probes.remove(&number) {
            self.brain.probed(clock::now(), host, report);
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
        self.sharing.iter_mut().for_each(Sharing::handed_off);
        let id = HandOffId(visit, HandOffNo(open.hand_off_count));
        open.hand_off_count = open.hand_off_count.saturating_add(1);
        if !open.cancel.is_live() {
            self.close_visit(visit, false);
            self.brain.ended(now, Ended { last: true, ..never_sent_end(id, Outcome::Moot) });
            return;
        }
        let read = std::mem::replace(&mut open.last_event_at, now);
        let asked = &open.request;
        let writes = self.config.settings.bands.get(usize::from(open.band.0)).is_some_and(|band| band.writes);
        let source = fill.filter(|fill| fill.source != host).and_then(|fill| self.hosts.get(&fill.source));
        let hand_off = HandOff {
            id,
            txn: asked.txn.clone(),
            fields: hand_off_fields(asked, fill, source.map(|known| &known.name[..])),
            body: asked.body.clone(),
            client_tag: asked.cached_tag.clone(),
            expects_copy: fill.is_some() && !writes,
            fills_miss: source.is_some() && fill.is_some_and(|fill| !fill.held),
            until,
            latest_start: latest,
            cancel: open.cancel.clone(),
            send_state: SendState::default(),
        };
        let way = hand_off.send_state.clone();
        let Some((mailbox, host_name)) =
            self.hosts.get(&host).map(|known| (known.mailbox.clone(), &known.name))
        else {
            self.brain.ended(now, never_sent_end(id, Outcome::ConnectFailed));
            return;
        };
        let mut record = None;
        if let Some(keeper) = self.keeper.as_mut().filter(|keeper| keeper.records_hand_offs()) {
            let effect = self.config.settings.bands.get(usize::from(open.band.0)).map(|band| band.effect);
            let told = MayHaveRun {
                band: String::from_utf8_lossy(&open.request.class).into_owned(),
                at: clock::unix_at(now).0,
                host: host.0,
                host_name: host_name.clone(),
                memory: None,
            };
            let effect = effect.unwrap_or(Effect::Idempotent);
            if let Before::Record(found) = keeper.visits.hand_off(visit, open.key(), effect, told) {
                keeper.record(id, found);
                record = Some(Box::new(hand_off.clone()));
            }
        }
        let waits = record.is_some();
        self.hand_offs.insert(
            id,
            PendingHandOff {
                host,
                mailbox,
                decided_at: now,
                sent_at: now,
                triggered_at: read,
                send_state: way,
                fill,
                cancelled_as: None,
                awaiting_record: record,
            },
        );
        self.timers.put(until, Timer::AnswerTimeout(id));
        if latest < until {
            self.timers.put(latest, Timer::LatestStart(id));
        }
        if !waits {
            self.send_hand_off(id, hand_off, now);
        }
    }

    /// A hand-off goes to its host; its time counts from then. Without a record that is the round's own time: guards
    /// against a stall of this process that looks like a host's faster answers before it.
    fn send_hand_off(&mut self, id: HandOffId, hand_off: HandOff, at: Time) {
        let Some(out) = self.hand_offs.get_mut(&id) else { return };
        if out.mailbox.send(ToHost::HandOff(hand_off)) {
            out.sent_at = at;
            self.timers.put(at + self.config.reach.connect_limit, Timer::ConnectTimeout(id));
        } else {
            self.end_hand_off(id, Outcome::ConnectFailed, None, clock::now());
        }
    }

    /// A hand-off's record is on disk, or it was refused. One that was called off meanwhile is not there any more.
    fn record_stored(&mut self, id: HandOffId, taken: Taken) {
        let Some(keeper) = &mut self.keeper else { return };
        let may_go = keeper.visits.taken(id.0, taken);
        let Some(hand_off) = self.hand_offs.get_mut(&id).and_then(|out| out.awaiting_record.take()) else {
            return;
        };
        if may_go {
            self.send_hand_off(id, *hand_off, clock::now());
        } else {
            // Not the host's fault, and another would be refused alike: the visit is given up at once.
            self.end_hand_off(id, Outcome::Moot, None, clock::now());
            self.brain.give_up(id.0);
        }
    }

    /// A host that was listed anew meanwhile has another number.
    fn host_reset(&mut self, number: HostActorId) {
        let known = self.hosts.iter().find(|(_, known)| known.mailbox.id == number);
        let Some((&id, known)) = known else { return };
        let name = &known.name[..];
        tracing::info!(host = name, "host {:x} is {name}: its connections ended, it may be new", id.0);
        self.brain.cut(clock::now(), id);
    }

    pub fn apply_change(&mut self, change: Change) {
        self.observe_timestamps(&change);
        let now = clock::now();
        match change {
            Change::List { whole, hosts } => self.apply_list(now, hosts, whole),
            Change::Purge(purge) => self.apply_purge(now, &purge),
        }
    }

    fn apply_list(&mut self, now: Time, told: Vec<Listed>, whole: bool) {
        let clocks = Clocks { now, wall: clock::wall(), change_clock: &self.change_clock };
        let Applied { hosts, lost, faults } = self.list.apply(&clocks, told, whole);
        for (name, fault) in faults {
            tracing::warn!(host = &name[..], "list: host {name}: {fault}");
        }
        let started: BTreeMap<HostId, Option<UnixTime>> =
            hosts.iter().map(|host| (host.listing.host, host.started)).collect();
        let entries: Vec<Listing> =
            hosts.iter().map(|host| host.listing).chain(lost.iter().copied()).collect();
        let kept: BTreeSet<HostId> = hosts.iter().map(|host| host.listing.host).collect();
        let missing = self.hosts.keys().filter(|id| whole && !kept.contains(id)).copied();
        let gone: Vec<HostId> = missing.chain(lost.iter().map(|lost| lost.host)).collect();
        let void = self.changed_sources(&entries, &gone);
        gone.into_iter().for_each(|id| self.remove_host(id));
        hosts.into_iter().for_each(|host| self.update_host(host));
        self.brain.listed(now, &entries, whole);
        let fills = |out: &PendingHandOff| out.fill.is_some_and(|fill| void.contains(&fill.source));
        let stale = self.hand_offs.iter().filter(|(_, out)| fills(out));
        self.redecide_unsent(stale.map(|(id, _)| *id).collect());
        if let Some(sharing) = &mut self.sharing {
            for entry in &entries {
                sharing.listed(&mut self.brain, entry, started.get(&entry.host).copied().flatten());
            }
        }
    }

    /// Hosts that are no longer what they were when they were chosen to fill from: they leave, or a later start tells
    /// that the process is another one.
    fn changed_sources(&self, entries: &[Listing], gone: &[HostId]) -> BTreeSet<HostId> {
        let is_new =
            |entry: &Listing| self.hosts.get(&entry.host).is_some_and(|known| known.started < entry.since);
        let void = entries.iter().filter(|entry| entry.phase != Phase::Ready || is_new(entry));
        void.map(|entry| entry.host).chain(gone.iter().copied()).collect()
    }

    /// Of these hand-offs what has not begun to go out never does, and is nobody's fault: guards against one that goes
    /// out as it was decided before what was told since, of a purge or of its source.
    fn redecide_unsent(&mut self, stale: Vec<HandOffId>) {
        for id in stale {
            let Some(out) = self.hand_offs.get(&id).filter(|out| out.send_state.revoke()) else { continue };
            let _ = out.mailbox.send(ToHost::Cancel(id));
            self.end_hand_off(id, Outcome::Unsent, None, clock::now());
        }
    }

    /// Nothing is kept for a host that has gone; its actor ends by itself once nothing is out there.
    fn remove_host(&mut self, id: HostId) {
        if let Some(known) = self.hosts.remove(&id) {
            self.sharing.iter_mut().for_each(|sharing| sharing.unlisted(id, true));
            let _ = known.mailbox.send(ToHost::Remove);
        }
    }

    fn update_host(&mut self, host: Listed) {
        let Listed { listing, name, address, .. } = host;
        let (id, since) = (listing.host, listing.since);
        tracing::info!(host = &name[..], phase = ?listing.phase, "list: host {:x} is {name}, {:?}, weight {:.1}", id.0, listing.phase, listing.weight);
        let known = self.hosts.get(&id);
        let (Some(address), false) = (address, listing.phase == Phase::Gone) else {
            self.remove_host(id);
            return;
        };
        // A process that started anew has new connections, wherever it listens.
        if let Some(known) = known.filter(|known| known.address == address && known.started >= since) {
            let _ = known.mailbox.send(ToHost::SetDraining(listing.phase == Phase::Draining));
            return;
        }
        self.remove_host(id);
        let mailbox = self.host_actors.add(&name, address);
        self.hosts.insert(id, HostEntry { name, address, started: since, mailbox });
    }

    fn sweep(&mut self, now: Time) {
        self.timers.put(now + SWEEP_INTERVAL, Timer::Sweep);
        self.host_actors.sweep(now);
        self.update_start_times(now);
        self.check_changelog();
        self.sweep_count += 1;
        if self.sweep_count.is_multiple_of(SWEEPS_PER_REPORT) {
            if let Some(keeper) = &mut self.keeper {
                keeper.sweep();
            }
            self.log_latencies();
        }
    }

    /// Guards rule 5 while the change log is not heard. Of drains that it may tell meanwhile nothing can be guarded: any host
    /// may drain, and only to send to none would be safe.
    fn check_changelog(&mut self) {
        // Changes that come by carriers are proven by the fleet.
        if self.sharing.as_ref().is_some_and(Sharing::has_carriers) {
            return;
        }
        let silent_for = clock::now() - self.changelog_read_at;
        let is_unheard = silent_for + SWEEP_INTERVAL >= TOLD_AT_LATEST + self.config.settings.purge_grace;
        if std::mem::replace(&mut self.is_changelog_silent, is_unheard) == is_unheard {
            return;
        }
        self.brain.unheard(is_unheard.then_some(TOLD_AT_LATEST));
        let ms = silent_for.0 / 1000;
        if is_unheard {
            // What waits to go out was decided without that bound.
            let fills = self.hand_offs.iter().filter(|(_, out)| out.fill.is_some());
            self.redecide_unsent(fills.map(|(id, _)| *id).collect());
            tracing::warn!(
                "changelog not heard for {ms} ms: copies are asked for that no purge since can bind"
            );
        } else {
            tracing::info!("changelog heard again: copies of any age will do but for purges that are known");
        }
    }

    fn update_start_times(&mut self, now: Time) {
        let clocks = Clocks { now, wall: clock::wall(), change_clock: &self.change_clock };
        for (id, since) in self.list.redate(&clocks) {
            self.brain.redated(id, since);
            self.hosts.get_mut(&id).into_iter().for_each(|known| known.started = Some(since));
            self.sharing.iter_mut().for_each(|sharing| sharing.redated(id, since));
        }
    }

    fn log_latencies(&mut self) {
        let spent = &self.latencies;
        tracing::info!(
            "spent: in {} out {} mailbox {} timers {}; open {} unread {} kB clients {}",
            spent.inbound.summarize(),
            spent.outbound.summarize(),
            spent.mailbox.summarize(),
            spent.timers.summarize(),
            spent.max_open_visits.swap(0, Relaxed),
            spent.max_unread_bytes.swap(0, Relaxed) / 1024,
            self.clients.len()
        );
    }

    /// By then what is still open after SIGTERM is given up.
    fn last_answers_at(&self, now: Time) -> Time {
        self.stopping_since.unwrap_or(now) + self.config.longest().min(MAX_KILL_DELAY) + LAST_ANSWERS_MARGIN
    }

    /// Has each connection ended once nothing is owed on it, and the process once none is left; until then it serves
    /// on what comes. Guards against an end from outside: what would still be open then is given up in time to be told.
    fn close_connections(&mut self, now: Time) {
        self.shutdown.advance_to(Stage::Closing);
        let unread: usize = self.clients.values().map(|client| client.outlet.queued()).sum();
        let last = self.last_answers_at(now);
        if now > last {
            let open: Vec<VisitId> = self.visits.keys().copied().collect();
            open.into_iter().for_each(|visit| self.brain.give_up(visit));
            self.carry_out_decisions();
        }
        if self.visits.is_empty() && unread == 0 && self.shutdown.is_all_closed()
            || now > last + LAST_WRITES_MARGIN
        {
            self.log_latencies();
            tracing::info!("stopped: {} visits open, {unread} answers unread", self.visits.len());
            self.is_done = true;
        } else {
            self.timers.put(now + CLOSING_CHECK_INTERVAL, Timer::CloseConnections);
        }
    }
}

fn never_sent_end(HandOffId(visit, number): HandOffId, outcome: Outcome) -> Ended {
    let (note, took) = (Note::Untold, Span::ZERO);
    Ended { visit, number, outcome, note, took, report: Report::default(), last: false }
}

/// The fields of a hand-off; the module's times become milliseconds, rounded so that no older copy will do.
fn hand_off_fields(asked: &VisitRequest, fill: Option<Fill>, source: Option<&str>) -> String {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let mut fields = String::with_capacity(160);
    let _ = write!(fields, "c={},k={},p={}", text(&asked.class), text(&asked.item), asked.block);
    if let Some(unique) = &asked.dedup_key {
        let _ = write!(fields, ",i={}", text(unique));
    }
    if let Some(cached) = &asked.cached_tag {
        let _ = write!(fields, ",seen={}", text(cached));
    }
    if let Some(fill) = fill {
        if let Some(source) = source {
            let _ = write!(fields, ",from={source}");
        }
        if fill.rank > 0 {
            let _ = write!(fields, ",rank={}", fill.rank);
        }
        if fill.oldest > Span::ZERO {
            let _ = write!(fields, ",oldest={}", (fill.oldest.0 / 1000).max(1));
        }
        let modes = [(fill.join, "collapse"), (fill.held, "only-if-cached"), (fill.renew, "refresh")];
        let modes: Vec<&str> = modes.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !modes.is_empty() {
            let _ = write!(fields, ",mode={}", modes.join("+"));
        }
    }
    fields
}

#[cfg(test)]
mod tests;
