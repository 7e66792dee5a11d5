//! Discrete-event simulation of several dispatchers and their hosts in virtual time.
//!
//! Requests are spread unevenly over dispatchers, hosts have slots and a queue, and cache misses are random.
//! It records the attempts that reached each host and the result of each request. If connections are
//! simulated, an attempt reaches its host only once its dispatcher's connection is up.
use cherrypass::calls::*;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::*;
use cherrypass::settings::*;
use cherrypass::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Virtual start time in microseconds, like all times here.
pub const START: u64 = 1_000_000_000;
pub const STEP: u64 = 10_000;
/// Answer time of misses and errors, which take no work.
const IMMEDIATE_ANSWER: u64 = 2_000;
/// Time between two wakes of a dispatcher.
const WAKE_INTERVAL: u64 = 5 * STEP;
/// How long an unused connection is kept.
const IDLE_TIMEOUT: u64 = 12_000_000;
/// How long a dispatcher waits for a connection.
const CONNECT_TIMEOUT: u64 = 1_500_000;

/// A class of requests.
pub struct Class {
    /// Seconds of work.
    pub mean_work: f64,
    pub traffic_share: f64,
    /// Standard deviation of the logarithm of sizes.
    pub size_spread: f64,
    pub deadline: u64,
    /// Kilobytes a second of work, if requests announce their size.
    pub announced_kb_per_s: Option<f64>,
}

/// A client's request and its result.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    pub class: usize,
    pub object: u64,
    /// Its work relative to the class's mean.
    pub relative_size: f64,
    pub is_served: bool,
    /// When it arrived first.
    pub arrived_at: u64,
    retries_left: u8,
}

/// An attempt that reached a host.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub host: HostId,
    pub work: f64,
    /// Whether its dispatcher knew of the host's start by then, or counts as knowing.
    pub is_start_known: bool,
}

/// A host with slots for concurrent work and a queue.
pub struct SimulatedHost {
    pub slots: usize,
    /// Factor by which work takes longer.
    pub slowdown: f64,
    /// It neither answers nor refuses.
    pub is_unreachable: bool,
    /// Share of attempts that end in a fast error.
    pub error_rate: f64,
    busy_slots: usize,
    queue: VecDeque<AttemptKey>,
}

/// Dispatcher, visit and number of the attempt.
type AttemptKey = (usize, VisitId, u8);

/// An attempt that reached its host.
struct Attempt {
    host: HostId,
    /// The id by which its dispatcher knows the host, also if another process has its address now.
    listed_as: HostId,
    /// Its process vanished, and it is never answered.
    is_lost: bool,
    decided_at: u64,
    work: f64,
    /// Hosts that still have to work on it, the present one first.
    route: VecDeque<HostId>,
    is_in_service: bool,
    result: (Outcome, Note),
}

/// An attempt that has not reached its host: it waits for a connection, or was sent on one that the host no
/// longer has.
struct PendingAttempt {
    target: HostId,
    fill: Option<Fill>,
    request: usize,
    decided_at: u64,
}

/// A dispatcher's connection to a host.
struct Connection {
    up_at: u64,
    /// Whether its dispatcher knows that it is up.
    is_up: bool,
    last_used_at: u64,
    /// The host vanished and came back as a new process: the first attempt on it is answered by a reset.
    is_stale: bool,
}

/// A scheduled event.
enum Event {
    StageDone(AttemptKey),
    Retry(usize, usize),
    /// The connection that an attempt waits for is up.
    ConnectionReady(AttemptKey),
    /// A pending attempt ends with this outcome.
    PendingEnds(AttemptKey, Outcome),
    /// An attempt on a stale connection is answered by a reset.
    StaleReset(AttemptKey),
    /// A dispatcher's connection to a host is up, or may have reached its idle timeout.
    ConnectionUp(usize, HostId),
    IdleTimeout(usize, HostId),
    /// A dispatcher reads the change log up to a change logged at `logged_at`; ignored if it restarted since.
    LogUpdate {
        dispatcher: usize,
        logged_at: u64,
    },
}

/// The simulated dispatchers, hosts, connections and change log.
pub struct Simulation {
    pub settings: Settings,
    pub entries: Vec<Listing>,
    pub hosts: BTreeMap<HostId, SimulatedHost>,
    pub rng: Pcg64Mcg,
    pub classes: Vec<Class>,
    pub object_count: f64,
    /// Miss rates of caches and of parents.
    pub miss_rates: [f64; 2],
    /// How often a client retries a refused request.
    pub retries: u8,
    pub requests: Vec<ClientRequest>,
    pub arrivals: Vec<Arrival>,
    /// Whether a start counts as known once it is in the change log, even if the dispatcher has not read it.
    pub starts_known_by_log: bool,
    /// Longest time until a new connection is up; `None` for attempts that arrive immediately, without
    /// connections.
    pub max_connect_time: Option<u64>,
    /// Hosts' starts as each dispatcher last read them.
    known_starts: Vec<BTreeMap<HostId, Option<Time>>>,
    /// When each host's process was restarted, and when the change log recorded it.
    started_at: BTreeMap<HostId, u64>,
    logged_at: BTreeMap<HostId, u64>,
    /// Hosts in the change log since the simulation began.
    changed_hosts: BTreeSet<HostId>,
    /// Id of the process that has the address of an earlier one.
    replacements: BTreeMap<HostId, HostId>,
    connections: BTreeMap<(usize, HostId), Connection>,
    pending: BTreeMap<AttemptKey, PendingAttempt>,
    /// Each with the time of its next wake.
    dispatchers: Vec<(DecisionEngine, u64)>,
    dispatchers_started_at: Vec<u64>,
    /// Cumulative traffic shares of the dispatchers.
    cumulative_traffic: Vec<f64>,
    visits: BTreeMap<(usize, VisitId), (usize, u8)>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    events: BTreeMap<(u64, u64), Event>,
    next_sequence: u64,
    request_backlog: f64,
}

/// A ready host's list entry.
pub fn listing(id: u64, kind: u16, weight: f64, started_at: Option<Time>) -> Listing {
    Listing {
        host: HostId(id),
        location: LocationId(u16::from(kind > 0)),
        kind: KindId(kind),
        cell: CellId(0),
        weight,
        started_at,
        phase: Phase::Ready,
    }
}

impl Simulation {
    /// A simulation whose hosts have `slots_per_weight` slots for each unit of weight.
    pub fn new(
        mut settings: Settings,
        entries: Vec<Listing>,
        slots_per_weight: f64,
        classes: Vec<Class>,
        seed: u64,
    ) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut sum = 0.0;
        let mut share = |_| {
            sum += 1.0 / rng.gen_range(0.1..1.0f64);
            sum
        };
        let shares = (0..settings.dispatchers).map(&mut share).collect();
        let slots = |entry: &Listing| (entry.weight * slots_per_weight).round().max(1.0) as usize;
        let host = |entry: &Listing| SimulatedHost {
            slots: slots(entry),
            slowdown: 1.0,
            is_unreachable: false,
            error_rate: 0.0,
            busy_slots: 0,
            queue: VecDeque::new(),
        };
        let hosts = entries.iter().map(|entry| (entry.host, host(entry))).collect();
        settings.transfer_kb_per_s = classes.iter().find_map(|class| class.announced_kb_per_s).unwrap_or(0.0);
        let mut simulation = Simulation {
            settings,
            entries,
            hosts,
            rng,
            classes,
            object_count: 2_000.0,
            miss_rates: [0.35, 0.0],
            retries: 0,
            requests: Vec::new(),
            arrivals: Vec::new(),
            starts_known_by_log: false,
            max_connect_time: None,
            known_starts: Vec::new(),
            started_at: BTreeMap::new(),
            logged_at: BTreeMap::new(),
            changed_hosts: BTreeSet::new(),
            replacements: BTreeMap::new(),
            connections: BTreeMap::new(),
            pending: BTreeMap::new(),
            dispatchers: Vec::new(),
            dispatchers_started_at: Vec::new(),
            cumulative_traffic: shares,
            visits: BTreeMap::new(),
            attempts: BTreeMap::new(),
            events: BTreeMap::new(),
            next_sequence: 0,
            request_backlog: 0.0,
        };
        simulation.logged_at = simulation.entries.iter().map(|entry| (entry.host, START)).collect();
        for _ in 0..simulation.settings.dispatchers {
            let (engine, known_starts) = simulation.new_dispatcher(START);
            simulation.dispatchers.push((engine, START));
            simulation.known_starts.push(known_starts);
            simulation.dispatchers_started_at.push(START);
        }
        simulation
    }

    fn new_dispatcher(&mut self, now: u64) -> (DecisionEngine, BTreeMap<HostId, Option<Time>>) {
        let mut engine = DecisionEngine::new(self.settings.clone(), self.rng.gen(), Time(now));
        let listed: Vec<Listing> = self.entries.iter().map(|entry| self.as_listed(*entry)).collect();
        engine.update_hosts(Time(now), &listed, true);
        (engine, self.entries.iter().map(|entry| (entry.host, entry.started_at)).collect())
    }

    /// An entry as dispatchers see it: without the weight if the settings say that weights are not given.
    fn as_listed(&self, entry: Listing) -> Listing {
        Listing { weight: if self.settings.has_weights { entry.weight } else { 0.0 }, ..entry }
    }

    /// Restarts a dispatcher: its attempts are reset, and it knows the present list only.
    pub fn restart_dispatcher(&mut self, now: u64, dispatcher: usize) {
        let (engine, known_starts) = self.new_dispatcher(now);
        self.dispatchers[dispatcher] = (engine, now);
        self.known_starts[dispatcher] = known_starts;
        self.dispatchers_started_at[dispatcher] = now;
        let open: Vec<AttemptKey> = self.attempts.keys().filter(|key| key.0 == dispatcher).copied().collect();
        open.into_iter().for_each(|key| drop(self.remove_attempt(now, key)));
        self.visits.retain(|key, _| key.0 != dispatcher);
        self.pending.retain(|key, _| key.0 != dispatcher);
        self.connections.retain(|key, _| key.0 != dispatcher);
    }

    /// Gives a dispatcher the present list entry of a host.
    pub fn update_dispatcher(&mut self, now: u64, dispatcher: usize, id: HostId) {
        let Some(entry) = self.entries.iter().find(|entry| entry.host == id).copied() else { return };
        // An address belongs to one process: dispatchers treat the old id at this address as gone.
        let renamed = self.replacements.iter().find(|(_, new)| **new == id).map(|(old, _)| *old);
        let old = self.entries.iter().find(|entry| Some(entry.host) == renamed);
        let old = old.map(|entry| Listing { phase: Phase::Gone, ..*entry });
        let listings: Vec<Listing> =
            old.into_iter().chain([entry]).map(|entry| self.as_listed(entry)).collect();
        self.dispatchers[dispatcher].0.update_hosts(Time(now), &listings, false);
        let before = self.known_starts[dispatcher].insert(id, entry.started_at);
        if before != Some(entry.started_at) || entry.phase == Phase::Gone {
            self.close_connection(now, dispatcher, id);
        }
        self.apply_decisions(now, dispatcher);
    }

    /// Closes a dispatcher's connection to a process that is gone: attempts that wait for it are not sent.
    fn close_connection(&mut self, now: u64, dispatcher: usize, target: HostId) {
        self.connections.remove(&(dispatcher, target));
        let waiting =
            self.pending.iter().filter(|(key, attempt)| key.0 == dispatcher && attempt.target == target);
        let waiting: Vec<AttemptKey> = waiting.map(|(key, _)| *key).collect();
        for key in waiting {
            self.end_attempt(now, key, (Outcome::Expired, Note::Unspecified));
        }
    }

    /// Restarts a host's process and updates the list, but not the dispatchers.
    pub fn restart_listed_host(&mut self, now: u64, id: HostId) {
        self.restart_host(now, id);
        self.entries.iter_mut().filter(|entry| entry.host == id).for_each(|e| e.started_at = Some(Time(now)));
    }

    /// Restarts a host's process without updating the list. Connections to the previous process are reset,
    /// and so are the attempts on them.
    pub fn restart_host(&mut self, now: u64, id: HostId) {
        self.started_at.insert(id, now);
        let is_open =
            |connection: &Connection| connection.is_up && now < connection.last_used_at + IDLE_TIMEOUT;
        let affected = self.connections.iter().filter(|(key, connection)| key.1 == id && is_open(connection));
        let affected: Vec<usize> = affected.map(|(key, _)| key.0).collect();
        for dispatcher in affected {
            self.reset_connection(now, dispatcher, id);
        }
        let affected: Vec<AttemptKey> =
            self.attempts.iter().filter(|(_, attempt)| attempt.host == id).map(|(key, _)| *key).collect();
        for key in affected {
            self.end_attempt(now, key, (Outcome::Reset, Note::Unspecified));
        }
    }

    /// The same with a new id at the old one's address; the old id stays listed for now.
    pub fn replace_host(&mut self, now: u64, old: HostId, new: HostId) {
        self.restart_host(now, old);
        let slots = self.hosts[&old].slots;
        let host = SimulatedHost {
            slots,
            slowdown: 1.0,
            is_unreachable: false,
            error_rate: 0.0,
            busy_slots: 0,
            queue: VecDeque::new(),
        };
        self.hosts.insert(new, host);
        self.started_at.insert(new, now);
        self.replacements.insert(old, new);
    }

    /// A host stops answering: its attempts stay in flight, and new connections never come up.
    pub fn make_unreachable(&mut self, id: HostId) {
        let is_affected = |attempt: &&mut Attempt| attempt.host == id || attempt.route.front() == Some(&id);
        self.attempts
            .values_mut()
            .filter(is_affected)
            .for_each(|attempt| (attempt.is_lost, attempt.is_in_service) = (true, false));
        let host = self.hosts.get_mut(&id).unwrap();
        (host.is_unreachable, host.busy_slots) = (true, 0);
        host.queue.clear();
    }

    /// The host is back as a new process without the connections of the previous one.
    pub fn return_as_new_process(&mut self, now: u64, id: HostId) {
        self.started_at.insert(id, now);
        self.hosts.get_mut(&id).unwrap().is_unreachable = false;
        let known = self.connections.iter_mut().filter(|(key, connection)| key.1 == id && connection.is_up);
        known.for_each(|(_, connection)| connection.is_stale = true);
    }

    /// Adds these starts to the change log; each dispatcher reads them after a random time of up to `within`.
    pub fn log_starts(&mut self, now: u64, ids: &[HostId], within: u64) {
        for id in ids {
            let renamed = self.replacements.iter().find(|(_, new)| *new == id).map(|(old, _)| *old);
            if let Some(old) = renamed.filter(|_| !self.logged_at.contains_key(id)) {
                let entry = self.entries.iter().find(|entry| entry.host == old).copied().unwrap();
                self.entries.push(Listing { host: *id, ..entry });
            }
            let since = Some(Time(self.started_at[id]));
            self.entries
                .iter_mut()
                .filter(|entry| entry.host == *id)
                .for_each(|entry| entry.started_at = since);
            self.logged_at.insert(*id, now);
        }
        self.schedule_log_updates(now, ids, within);
    }

    /// Adds the removal of these hosts to the change log.
    pub fn log_removals(&mut self, now: u64, ids: &[HostId], within: u64) {
        let gone = self.entries.iter_mut().filter(|entry| ids.contains(&entry.host));
        gone.for_each(|entry| entry.phase = Phase::Gone);
        self.schedule_log_updates(now, ids, within);
    }

    fn schedule_log_updates(&mut self, now: u64, ids: &[HostId], within: u64) {
        self.changed_hosts.extend(ids);
        for dispatcher in 0..self.dispatchers.len() {
            let read_at = now + self.rng.gen_range(0..=within);
            self.schedule(read_at, Event::LogUpdate { dispatcher, logged_at: now });
        }
    }

    fn apply_log(&mut self, now: u64, dispatcher: usize) {
        let changed: Vec<HostId> = self.changed_hosts.iter().copied().collect();
        changed.into_iter().for_each(|id| self.update_dispatcher(now, dispatcher, id));
        self.apply_decisions(now, dispatcher);
    }

    /// A new connection is up, unless the host does not answer.
    fn connection_up(&mut self, now: u64, dispatcher: usize, target: HostId) {
        let is_unreachable = self.hosts[&self.host_at(target)].is_unreachable;
        let connection = self
            .connections
            .get_mut(&(dispatcher, target))
            .filter(|connection| connection.up_at <= now && !connection.is_up);
        let Some(connection) = connection else { return };
        if is_unreachable {
            self.connections.remove(&(dispatcher, target));
            return;
        }
        connection.is_up = true;
        let until = connection.last_used_at + IDLE_TIMEOUT;
        self.schedule(until, Event::IdleTimeout(dispatcher, target));
    }

    /// Closes a connection that reached its idle timeout.
    fn close_if_idle(&mut self, now: u64, dispatcher: usize, target: HostId) {
        let Some(until) = self
            .connections
            .get(&(dispatcher, target))
            .map(|connection| connection.last_used_at + IDLE_TIMEOUT)
        else {
            return;
        };
        if now < until {
            return self.schedule(until, Event::IdleTimeout(dispatcher, target));
        }
        self.connections.remove(&(dispatcher, target));
    }

    /// Resets a dispatcher's connection to a host.
    fn reset_connection(&mut self, now: u64, dispatcher: usize, target: HostId) {
        self.connections.remove(&(dispatcher, target));
        self.dispatchers[dispatcher].0.connection_lost(Time(now), target);
        self.apply_decisions(now, dispatcher);
    }

    /// Advances by one step: adds requests at the given rate, and runs all events that are due.
    pub fn step(&mut self, now: u64, requests_per_s: f64) {
        self.request_backlog += requests_per_s * STEP as f64 / 1e6;
        while self.request_backlog >= 1.0 {
            self.request_backlog -= 1.0;
            self.add_request(now);
        }
        while let Some(first) = self.events.first_entry().filter(|first| first.key().0 <= now) {
            match first.remove() {
                Event::StageDone(key) => self.finish_stage(now, key),
                Event::Retry(dispatcher, request) => self.send_visit(now, dispatcher, request),
                Event::ConnectionReady(key) => self.connection_ready(now, key),
                Event::PendingEnds(key, outcome) if self.pending.contains_key(&key) => {
                    self.end_attempt(now, key, (outcome, Note::Unspecified));
                }
                Event::StaleReset(key) => self.reset_stale_connection(now, key),
                Event::ConnectionUp(dispatcher, target) => self.connection_up(now, dispatcher, target),
                Event::IdleTimeout(dispatcher, target) => self.close_if_idle(now, dispatcher, target),
                Event::LogUpdate { dispatcher, logged_at: logged }
                    if self.dispatchers_started_at[dispatcher] < logged =>
                {
                    self.apply_log(now, dispatcher)
                }
                Event::PendingEnds(..) | Event::LogUpdate { .. } => {}
            }
        }
        for dispatcher in 0..self.dispatchers.len() {
            if now >= self.dispatchers[dispatcher].1 {
                self.dispatchers[dispatcher].0.tick(Time(now));
                self.dispatchers[dispatcher].1 = now + WAKE_INTERVAL;
                self.apply_decisions(now, dispatcher);
            }
        }
    }

    fn add_request(&mut self, now: u64) {
        let all = *self.cumulative_traffic.last().unwrap();
        let position = self.rng.gen_range(0.0..all);
        let dispatcher = self.cumulative_traffic.partition_point(|sum| *sum < position);
        let mut position =
            self.rng.gen_range(0.0..self.classes.iter().map(|class| class.traffic_share).sum());
        let mut class = 0;
        while class + 1 < self.classes.len() && position >= self.classes[class].traffic_share {
            position -= self.classes[class].traffic_share;
            class += 1;
        }
        // Few objects get most of the requests; the size depends on the object alone.
        let object = (self.object_count * self.rng.gen_range(0.0..1.0f64).powi(3)) as u64 * 8 + class as u64;
        let spread = self.classes[class].size_spread;
        let mut object_rng = Pcg64Mcg::seed_from_u64(object ^ 0x9e37_79b9);
        let normal = (0..12).map(|_| object_rng.gen_range(0.0..1.0f64)).sum::<f64>() - 6.0;
        let size = (spread * normal - spread * spread / 2.0).exp();
        self.requests.push(ClientRequest {
            class,
            object,
            relative_size: size,
            is_served: false,
            arrived_at: now,
            retries_left: self.retries,
        });
        self.send_visit(now, dispatcher, self.requests.len() - 1);
    }

    fn send_visit(&mut self, now: u64, dispatcher: usize, request: usize) {
        let (client_request, class) = (self.requests[request], &self.classes[self.requests[request].class]);
        self.next_sequence += 1;
        let id = VisitId(self.next_sequence as u32);
        let visit = Visit {
            id,
            class: ClassId(client_request.class as u16),
            object: ObjectId(client_request.object),
            group: GroupId(0),
            part: 0,
            kilobytes: class
                .announced_kb_per_s
                .map(|pace| pace * class.mean_work * client_request.relative_size),
            deadline: Time(now + class.deadline),
        };
        self.visits.insert((dispatcher, id), (request, 0));
        self.dispatchers[dispatcher].0.visit_arrived(Time(now), visit);
        self.apply_decisions(now, dispatcher);
    }

    fn apply_decisions(&mut self, now: u64, dispatcher: usize) {
        while let Some(decision) = self.dispatchers[dispatcher].0.next_decision(Time(now)) {
            match decision {
                Decision::HandOff { visit, host, fill, send_before, .. } => {
                    self.send_attempt(now, (dispatcher, visit), (host, fill), send_before);
                }
                Decision::Cancel { visit, number } => {
                    self.end_attempt(
                        now,
                        (dispatcher, visit, number.0),
                        (Outcome::Cancelled, Note::Unspecified),
                    );
                }
                Decision::Refuse { visit, retry_after } => {
                    let Some((request, _)) = self.visits.remove(&(dispatcher, visit)) else { continue };
                    if self.requests[request].retries_left > 0 {
                        self.requests[request].retries_left -= 1;
                        self.schedule(now + retry_after.0, Event::Retry(dispatcher, request));
                    }
                }
                Decision::Fail { visit } => drop(self.visits.remove(&(dispatcher, visit))),
                Decision::Wake { .. } | Decision::Probe { .. } | Decision::Log(_) => {}
            }
        }
    }

    /// Sends an attempt, immediately or when its connection is up, and never after `latest`.
    fn send_attempt(
        &mut self,
        now: u64,
        (dispatcher, visit): (usize, VisitId),
        to: (HostId, Option<Fill>),
        latest: Time,
    ) {
        let Some((request, number)) = self.visits.get_mut(&(dispatcher, visit)) else { return };
        let (target, fill) = to;
        let (key, request) = ((dispatcher, visit, *number), *request);
        *number += 1;
        let attempt = PendingAttempt { target, fill, request, decided_at: now };
        let Some(late) = self.max_connect_time else { return self.attempt_arrives(now, key, attempt) };
        let Some(connection) =
            self.connections.get_mut(&(dispatcher, target)).filter(|connection| connection.is_up)
        else {
            return self.wait_for_connection(now, key, attempt, (late, latest));
        };
        connection.last_used_at = now;
        if connection.is_stale {
            self.pending.insert(key, attempt);
            return self.schedule(now + IMMEDIATE_ANSWER, Event::StaleReset(key));
        }
        self.attempt_arrives(now, key, attempt);
    }

    /// Waits for the connection that is being opened, or opens one.
    fn wait_for_connection(
        &mut self,
        now: u64,
        key: AttemptKey,
        attempt: PendingAttempt,
        (late, latest): (u64, Time),
    ) {
        let connection = (key.0, attempt.target);
        if !self.connections.contains_key(&connection) {
            let up = now + self.rng.gen_range(0..=late);
            self.connections.insert(
                connection,
                Connection { up_at: up, is_up: false, last_used_at: up, is_stale: false },
            );
            self.schedule(up, Event::ConnectionUp(key.0, attempt.target));
        }
        let up = self.connections[&connection].up_at;
        self.pending.insert(key, attempt);
        if latest.0 < up {
            return self.schedule(latest.0, Event::PendingEnds(key, Outcome::Expired));
        }
        self.schedule(up, Event::ConnectionReady(key));
    }

    fn connection_ready(&mut self, now: u64, key: AttemptKey) {
        let Some((target, decided)) =
            self.pending.get(&key).map(|attempt| (attempt.target, attempt.decided_at))
        else {
            return;
        };
        if self.hosts[&self.host_at(target)].is_unreachable {
            self.connections.remove(&(key.0, target));
            let until = now.max(decided + CONNECT_TIMEOUT);
            return self.schedule(until, Event::PendingEnds(key, Outcome::ConnectFailed));
        }
        let attempt = self.pending.remove(&key).unwrap();
        self.attempt_arrives(now, key, attempt);
    }

    /// The host that has the address of `target` now.
    fn host_at(&self, target: HostId) -> HostId {
        self.replacements.get(&target).copied().unwrap_or(target)
    }

    /// Resets an attempt sent on a connection that the host no longer has, and all others on that connection.
    fn reset_stale_connection(&mut self, now: u64, key: AttemptKey) {
        let Some(target) = self.pending.get(&key).map(|attempt| attempt.target) else { return };
        if self.connections.get(&(key.0, target)).is_some_and(|connection| connection.is_stale) {
            self.reset_connection(now, key.0, target);
        }
        let affected = self
            .attempts
            .iter()
            .filter(|(other, attempt)| other.0 == key.0 && attempt.listed_as == target && attempt.is_lost);
        let affected: Vec<AttemptKey> = affected.map(|(key, _)| *key).chain([key]).collect();
        for key in affected {
            self.end_attempt(now, key, (Outcome::Reset, Note::Unspecified));
        }
    }

    /// An attempt reaches its host.
    fn attempt_arrives(&mut self, now: u64, key: AttemptKey, attempt: PendingAttempt) {
        let PendingAttempt { target, fill, request, decided_at: decided } = attempt;
        let (client_request, dispatcher, host) = (self.requests[request], key.0, self.host_at(target));
        let work = self.classes[client_request.class].mean_work * client_request.relative_size;
        let source = fill.map(|fill| fill.source).filter(|source| *source != target);
        let is_miss = fill.is_some() && self.rng.gen_bool(self.miss_rates[0]);
        let needs_origin = self.rng.gen_bool(self.miss_rates[1]);
        let is_cached_only = fill.is_some_and(|fill| fill.cached_only);
        let origin = self.entries.iter().find(|entry| Some(entry.kind) == self.settings.origin_kind);
        let origin = origin.map(|entry| entry.host).filter(|id| needs_origin && Some(*id) != source);
        let source = source.filter(|_| is_miss);
        for target in [Some(target), source].into_iter().flatten() {
            let (host, is_start_known) = (self.host_at(target), self.is_start_known(dispatcher, target));
            self.arrivals.push(Arrival { at: now, host, work, is_start_known });
        }
        let source = source.map(|source| self.host_at(source));
        let mut route: VecDeque<HostId> = VecDeque::new();
        let end = match source {
            _ if self.rng.gen_bool(self.hosts[&host].error_rate) => (Outcome::Error, Note::Unspecified),
            None if is_miss => (Outcome::Miss, Note::Hit),
            Some(_) if is_cached_only && needs_origin => (Outcome::Miss, Note::SourceMiss),
            Some(source) => {
                route.extend(origin.into_iter().chain([source, host]));
                let is_origin_fill = origin.is_some();
                (Outcome::Served, if is_origin_fill { Note::FilledByOrigin } else { Note::Filled })
            }
            None => {
                route.push_back(host);
                (Outcome::Served, Note::Hit)
            }
        };
        let is_unreachable = self.hosts[&host].is_unreachable;
        let attempt = Attempt {
            host,
            listed_as: target,
            is_lost: is_unreachable,
            decided_at: decided,
            work,
            route,
            is_in_service: false,
            result: end,
        };
        self.attempts.insert(key, attempt);
        if is_unreachable {
            return;
        }
        self.enter_host(now, key);
    }

    fn is_start_known(&self, dispatcher: usize, target: HostId) -> bool {
        if self.starts_known_by_log {
            let logged = self.logged_at.get(&self.host_at(target));
            return logged.is_some() && logged >= self.started_at.get(&self.host_at(target));
        }
        let listed = self.entries.iter().find(|entry| entry.host == target).and_then(|e| e.started_at);
        self.known_starts[dispatcher].get(&target).is_some_and(|since| *since == listed)
    }

    /// Takes a slot at the next host of the route, queues for one, or answers the attempt at its end.
    fn enter_host(&mut self, now: u64, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key).filter(|attempt| !attempt.is_lost) else { return };
        let Some(at) = attempt.route.front() else {
            return self.schedule(now + IMMEDIATE_ANSWER, Event::StageDone(key));
        };
        let host = self.hosts.get_mut(at).unwrap();
        if host.is_unreachable {
            return;
        }
        if host.busy_slots >= host.slots {
            return host.queue.push_back(key);
        }
        host.busy_slots += 1;
        attempt.is_in_service = true;
        let service_time = attempt.work * host.slowdown * self.rng.gen_range(0.9..1.1) * 1e6;
        self.schedule(now + service_time as u64, Event::StageDone(key));
    }

    fn finish_stage(&mut self, now: u64, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key).filter(|attempt| !attempt.is_lost) else { return };
        let Some(at) = attempt.route.front().copied().filter(|_| attempt.is_in_service) else {
            let end = attempt.result;
            return self.end_attempt(now, key, end);
        };
        if self.hosts[&at].is_unreachable {
            return;
        }
        attempt.is_in_service = false;
        attempt.route.pop_front();
        let (more, end) = (!attempt.route.is_empty(), attempt.result);
        self.release_slot(now, at);
        if more {
            self.enter_host(now, key);
        } else {
            self.end_attempt(now, key, end);
        }
    }

    fn release_slot(&mut self, now: u64, at: HostId) {
        let host = self.hosts.get_mut(&at).unwrap();
        host.busy_slots -= 1;
        if let Some(next) = host.queue.pop_front() {
            self.enter_host(now, next);
        }
    }

    /// Removes an attempt from the host or queue it is in.
    fn remove_attempt(&mut self, now: u64, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(&key)?;
        if let Some(at) = attempt.route.front() {
            if attempt.is_in_service {
                self.release_slot(now, *at);
            } else {
                self.hosts.get_mut(at).unwrap().queue.retain(|waiting| *waiting != key);
            }
        }
        Some(attempt)
    }

    fn end_attempt(&mut self, now: u64, key: AttemptKey, (outcome, note): (Outcome, Note)) {
        let waited = self.pending.remove(&key).map(|attempt| attempt.decided_at);
        let attempt =
            self.remove_attempt(now, key).map(|attempt| (attempt.decided_at, Some(attempt.listed_as)));
        let Some((decided_at, target)) = attempt.or(waited.map(|decided| (decided, None))) else { return };
        let (dispatcher, visit, number) = key;
        let answered = target.filter(|_| !matches!(outcome, Outcome::Cancelled | Outcome::Reset));
        let connection = answered.and_then(|target| self.connections.get_mut(&(dispatcher, target)));
        connection.into_iter().for_each(|connection| connection.last_used_at = now);
        let mut is_final = false;
        if outcome == Outcome::Served {
            if let Some((request, _)) = self.visits.remove(&(dispatcher, visit)) {
                (self.requests[request].is_served, is_final) = (true, true);
            }
        }
        let (number, duration) = (HandOffNumber(number), Span(now - decided_at));
        let end = HandOffEnd { visit, number, outcome, note, duration, report: Report::default(), is_final };
        self.dispatchers[dispatcher].0.hand_off_ended(Time(now), end);
        self.apply_decisions(now, dispatcher);
    }

    fn schedule(&mut self, at: u64, what: Event) {
        self.next_sequence += 1;
        self.events.insert((at, self.next_sequence), what);
    }
}
