//! Runs the delivery of changes in virtual time (docs/fleet-delivery.md): the product's carriers and
//! followers, a change log at configured rates, and phases with faults.
use crate::settings::{DeliveryPhase, DeliveryRun};
use crate::subsystems;
use crate::traffic::Amount;
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_dispatcher::carried_changes;
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::{
    Carrier, ChangeNumber, DeliveryMessage, Effect, Follower, Record, Settings,
};
use cherrypass_fleet::simulation::{Network, Node};
use cherrypass_peers::link::{self, Envelope};
use hdrhistogram::Histogram;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Start time of all processes, in microseconds of Unix time.
const START_TIME_US: u64 = 1_700_000_000_000_000;
/// Message kind of the delivery on the link.
const DELIVERY_KIND: u8 = 5;
/// Timer rounds between a reader's requests to the log; an answer arrives one round later.
const FOLLOWER_POLL_ROUNDS: u64 = 5;
const CARRIER_POLL_ROUNDS: u64 = 1;
/// Upper bound of the delay histogram: ten minutes.
const MAX_DELAY_MS: u64 = 600_000;

/// The change log with the publication time of each record, and the delays of deliveries.
struct Log {
    now: Cell<Time>,
    records: RefCell<Vec<(Time, Record)>>,
    delays: RefCell<Histogram<u64>>,
}

impl Log {
    /// Records that a follower received a change.
    fn record_received(&self, number: u64) {
        let published = usize::try_from(number).ok().and_then(|index| {
            self.records.borrow().get(index.saturating_sub(1)).map(|(published, _)| *published)
        });
        if let Some(published) = published {
            let delay_ms = (self.now.get() - published).0 / 1000;
            self.delays.borrow_mut().saturating_record(delay_ms.max(1));
        }
    }
}

enum Role {
    Carrier(Box<Carrier>),
    Follower(Box<Follower>),
}

/// A carrier or follower with its traffic counters.
struct Process {
    role: Role,
    own: MemberId,
    incarnation: Incarnation,
    log: Rc<Log>,
    sent: Amount,
    received: Amount,
    known_up_to: Option<Time>,
    reads_log: bool,
    /// The last change delivered to a follower or read by a carrier.
    last_change: u64,
    /// The pending request to the log: when it was sent, and how many records the log had then.
    pending: Option<(Time, usize)>,
}

#[derive(Clone)]
struct Datagram {
    incarnation: Incarnation,
    message: DeliveryMessage,
    bytes: usize,
}

impl Process {
    fn datagram(&self, message: DeliveryMessage) -> Datagram {
        let payload = postcard::to_stdvec(&message).unwrap_or_default();
        let envelope = Envelope {
            newest_form: link::NEWEST_FORM,
            fleet: subsystems::FLEET_NAME,
            sender: self.own,
            incarnation: self.incarnation,
            location: Some(link::LocationByte::of(LocationId::default())),
            kind: DELIVERY_KIND,
            payload: &payload,
        };
        let bytes = link::encode(link::NEWEST_FORM, &envelope).map_or(0, |bytes| bytes.len());
        Datagram { incarnation: self.incarnation, message, bytes }
    }

    /// Handles the answer to the previous round's request to the log.
    fn handle_log_answer(&mut self) {
        let Some((requested_at, count)) = self.pending.take() else { return };
        let log = self.log.clone();
        let records = log.records.borrow();
        match &mut self.role {
            Role::Carrier(carrier) => {
                let new = records[..count].iter().enumerate().skip(self.last_change as usize);
                new.for_each(|(index, (_, record))| {
                    carrier.add_change(ChangeNumber(index as u64 + 1), record.clone());
                });
                carrier.note_log_answer(requested_at);
            }
            Role::Follower(follower) => {
                (self.last_change + 1..=count as u64).for_each(|number| log.record_received(number));
                follower.note_log_read(ChangeNumber(count as u64), Some(requested_at));
            }
        }
        self.last_change = self.last_change.max(count as u64);
    }

    fn handle_effect(&mut self, effect: Effect) -> Option<(MemberId, Datagram)> {
        match effect {
            Effect::Send { to, message } => {
                let datagram = self.datagram(message);
                self.sent = self.sent + Amount { messages: 1.0, bytes: datagram.bytes as f64 };
                return Some((to, datagram));
            }
            Effect::Deliver { first, records } => {
                self.last_change = first.0 + records.len() as u64 - 1;
                (first.0..=self.last_change).for_each(|number| self.log.record_received(number));
            }
            Effect::ReadLog(reads) => self.reads_log = reads,
            Effect::KnownUpTo(at) => self.known_up_to = Some(at),
            Effect::Log(_) => {}
        }
        None
    }
}

impl Node for Process {
    type Message = Datagram;

    fn receive(&mut self, now: Time, from: MemberId, datagram: Datagram) {
        self.received = self.received + Amount { messages: 1.0, bytes: datagram.bytes as f64 };
        match &mut self.role {
            Role::Carrier(carrier) => carrier.receive(now, from, datagram.incarnation, datagram.message),
            Role::Follower(follower) => follower.receive(now, from, datagram.message),
        }
    }

    fn tick(&mut self, now: Time) {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.tick(now),
            Role::Follower(follower) => follower.tick(now),
        }
    }

    fn next_message(&mut self, _: Time) -> Option<(MemberId, Datagram)> {
        loop {
            let effect = match &mut self.role {
                Role::Carrier(carrier) => carrier.next_effect()?,
                Role::Follower(follower) => follower.next_effect()?,
            };
            if let Some(message) = self.handle_effect(effect) {
                return Some(message);
            }
        }
    }
}

/// Result of a phase; amounts are per second.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DeliveryPhaseResult {
    pub name: String,
    pub seconds: f64,
    /// Bytes in and out of the mean and of the busiest follower, and the mean one's messages.
    pub follower_bytes: f64,
    #[serde(rename = "follower_bytes_most")]
    pub follower_bytes_max: f64,
    pub follower_messages: f64,
    /// Bytes out of the mean and of the busiest carrier, and the mean one's messages.
    pub carrier_bytes_out: f64,
    #[serde(rename = "carrier_bytes_out_most")]
    pub carrier_bytes_out_max: f64,
    pub carrier_messages: f64,
    /// Followers of the busiest carrier at the end of the phase.
    #[serde(rename = "carried_most")]
    pub max_followers_per_carrier: usize,
    /// Delays from the log to followers of changes received in this phase.
    pub delay_p50_ms: u64,
    pub delay_p99_ms: u64,
    pub delay_max_ms: u64,
    /// Followers that could not prove to have all purges older than `MAX_UNPROVEN_AGE`: the most at once, and
    /// how long there was any.
    #[serde(rename = "unproven_most")]
    pub max_unproven: usize,
    pub unproven_s: f64,
    /// Most followers reading the log themselves at once.
    #[serde(rename = "reading_most")]
    pub max_log_readers: usize,
}

/// Result for one size.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DeliveryResult {
    pub followers: usize,
    pub carriers: usize,
    pub phases: Vec<DeliveryPhaseResult>,
    /// Heap bytes per follower at the start, and of all processes at the end per follower, including messages
    /// in flight.
    pub follower_heap_bytes: f64,
    pub end_heap_bytes: f64,
    /// Wall-clock microseconds per simulated second and follower, including carriers and the simulated
    /// network.
    #[serde(rename = "micros_each_s")]
    pub micros_per_follower_second: f64,
}

/// A follower whose proof is older than this may have missed a purge; the operator's bound.
const MAX_UNPROVEN_AGE: Span = Span::millis(1_100);

struct Simulation<'a> {
    settings: &'a DeliveryRun,
    network: Network<Process>,
    log: Rc<Log>,
    carriers: Vec<MemberId>,
    followers: Vec<MemberId>,
    /// Whether the log is down in this phase.
    is_log_down: bool,
    due_records: [f64; 2],
    round: u64,
    start_count: u64,
}

/// Runs one size through its phases; `allocated` returns the bytes on the heap.
pub fn run(settings: &DeliveryRun, seed: u64, allocated: &dyn Fn() -> usize) -> DeliveryResult {
    let mut network = Network::new(seed, subsystems::TIMER_INTERVAL);
    network.link.loss_rate = settings.loss_rate;
    network.link.delay = settings.delay_ms.map(Span::millis);
    let delays = Histogram::new_with_bounds(1, MAX_DELAY_MS, 2).unwrap_or_else(|_| unreachable!());
    let log =
        Log { now: Cell::new(network.now), records: RefCell::new(Vec::new()), delays: RefCell::new(delays) };
    let member_ids =
        |kind: &str, count: usize| (0..count).map(|n| MemberId::of(&format!("{kind}{n}"))).collect();
    let mut simulation = Simulation {
        settings,
        network,
        log: Rc::new(log),
        carriers: member_ids("c", settings.carriers),
        followers: member_ids("d", settings.followers),
        is_log_down: false,
        due_records: [0.0; 2],
        round: 0,
        start_count: 0,
    };
    simulation.carriers.clone().into_iter().for_each(|id| simulation.start(id));
    let before = allocated();
    simulation.followers.clone().into_iter().for_each(|id| simulation.start(id));
    let follower_heap = allocated().saturating_sub(before);
    let start = Instant::now();
    let phases: Vec<DeliveryPhaseResult> =
        settings.phases.iter().map(|phase| simulation.run_phase(phase)).collect();
    let seconds: f64 = phases.iter().map(|phase| phase.seconds).sum();
    let per_follower = 1.0 / settings.followers as f64;
    DeliveryResult {
        followers: settings.followers,
        carriers: settings.carriers,
        phases,
        follower_heap_bytes: follower_heap as f64 * per_follower,
        end_heap_bytes: allocated().saturating_sub(before) as f64 * per_follower,
        micros_per_follower_second: start.elapsed().as_secs_f64() * 1e6 * per_follower / seconds,
    }
}

impl Simulation<'_> {
    fn start(&mut self, own: MemberId) {
        self.start_count += 1;
        let incarnation = Incarnation(START_TIME_US + self.start_count);
        let (log, carriers) = (self.log.clone(), &self.carriers);
        let last = log.records.borrow().len() as u64;
        let (rate, seed) = (self.network.rng.gen_range(0.995..1.005), self.network.rng.gen());
        let settings =
            Settings { max_followers: self.settings.max_followers_per_carrier, ..Settings::default() };
        self.network.start(own, rate, |now| {
            let known = ChangeNumber(last);
            let role = match carriers.contains(&own) {
                true => Role::Carrier(Box::new(Carrier::new(settings, known))),
                false => Role::Follower(Box::new(Follower::new(settings, own, carriers, known, seed, now))),
            };
            let (sent, received) = (Amount::default(), Amount::default());
            let (known_up_to, reads_log, pending) = (None, false, None);
            Process {
                role,
                own,
                incarnation,
                log,
                sent,
                received,
                known_up_to,
                reads_log,
                last_change: last,
                pending,
            }
        });
    }

    fn run_phase(&mut self, phase: &DeliveryPhase) -> DeliveryPhaseResult {
        self.begin_phase(phase);
        self.reset_counters();
        let rounds = (phase.seconds / subsystems::TIMER_INTERVAL.as_seconds()) as u64;
        let (mut max_unproven, mut unproven_rounds, mut max_log_readers) = (0, 0, 0);
        for _ in 0..rounds {
            self.run_round();
            let unproven = self.count_followers(|process, clock| {
                process.known_up_to.is_none_or(|time| clock - time > MAX_UNPROVEN_AGE)
            });
            max_unproven = max_unproven.max(unproven);
            unproven_rounds += u64::from(unproven > 0);
            max_log_readers = max_log_readers.max(self.count_followers(|process, _| process.reads_log));
        }
        let result = self.result(phase, (max_unproven, unproven_rounds, max_log_readers));
        self.end_phase(phase);
        result
    }

    fn begin_phase(&mut self, phase: &DeliveryPhase) {
        for id in first_fraction(&self.carriers, phase.carriers_down) {
            self.network.kill(id);
        }
        let partitioned = first_fraction(&self.followers, phase.followers_partitioned);
        for (follower, carrier) in pairs(&partitioned, &self.carriers) {
            self.network.cut.extend([(follower, carrier), (carrier, follower)]);
        }
        for id in first_fraction(&self.followers, phase.followers_restarted) {
            self.start(id);
        }
        self.is_log_down = phase.is_log_down;
    }

    fn end_phase(&mut self, phase: &DeliveryPhase) {
        for id in first_fraction(&self.carriers, phase.carriers_down) {
            self.start(id);
        }
        self.network.cut.clear();
        self.is_log_down = false;
    }

    fn reset_counters(&mut self) {
        for id in self.network.ids() {
            self.network.call(id, |process, _| (process.sent, process.received) = Default::default());
        }
        self.log.delays.borrow_mut().reset();
    }

    fn run_round(&mut self) {
        self.round += 1;
        self.append_due_records();
        self.poll_log();
        let log = self.log.clone();
        self.network.run(subsystems::TIMER_INTERVAL, |network| log.now.set(network.now));
    }

    /// Appends a round's worth of records to the log.
    fn append_due_records(&mut self) {
        let round_s = subsystems::TIMER_INTERVAL.as_seconds();
        let rates = [self.settings.purges_per_s, self.settings.configurations_per_day / 86_400.0];
        for (kind, rate) in rates.into_iter().enumerate() {
            self.due_records[kind] += rate * round_s;
            while self.due_records[kind] >= 1.0 {
                self.due_records[kind] -= 1.0;
                let record = self.new_record(kind == 0);
                self.log.records.borrow_mut().push((self.network.now, record));
            }
        }
    }

    fn new_record(&mut self, is_purge: bool) -> Record {
        let seq = self.log.records.borrow().len() + 1;
        let change = if is_purge {
            let object: u64 = self.network.rng.gen();
            let time = (START_TIME_US + self.network.now.0) / 1000;
            json!({ "seq": seq, "invalidate": { "object": format!("{object:016x}"), "time": time } })
        } else {
            json!({ "seq": seq, "configuration": "x".repeat(self.settings.configuration_bytes) })
        };
        carried_changes::encode(&change).into()
    }

    fn poll_log(&mut self) {
        let (carriers, count) = (self.carriers.clone(), self.log.records.borrow().len());
        let (is_log_down, round) = (self.is_log_down, self.round);
        for (index, id) in carriers.iter().chain(&self.followers).enumerate() {
            let every = if index < carriers.len() { CARRIER_POLL_ROUNDS } else { FOLLOWER_POLL_ROUNDS };
            self.network.call(*id, |process, now| {
                process.handle_log_answer();
                let is_reader = process.reads_log || matches!(process.role, Role::Carrier(_));
                let is_due = (round + index as u64).is_multiple_of(every);
                process.pending = (is_reader && is_due && !is_log_down).then_some((now, count));
            });
        }
    }

    fn count_followers(&self, predicate: impl Fn(&Process, Time) -> bool) -> usize {
        let matches = |id: &&MemberId| {
            self.network
                .node(**id)
                .zip(self.network.clock(**id))
                .is_some_and(|(process, clock)| predicate(process, clock))
        };
        self.followers.iter().filter(matches).count()
    }

    fn result(
        &self,
        phase: &DeliveryPhase,
        (max_unproven, rounds, max_log_readers): (usize, u64, usize),
    ) -> DeliveryPhaseResult {
        let per_s = 1.0 / phase.seconds;
        let followers: Vec<&Process> =
            self.followers.iter().filter_map(|id| self.network.node(*id)).collect();
        let carriers: Vec<&Process> = self.carriers.iter().filter_map(|id| self.network.node(*id)).collect();
        let bytes = |process: &&Process| (process.sent.bytes + process.received.bytes) * per_s;
        let messages = |process: &&Process| (process.sent.messages + process.received.messages) * per_s;
        let bytes_out = |process: &&Process| process.sent.bytes * per_s;
        let follower_count = |process: &&Process| match &process.role {
            Role::Carrier(carrier) => carrier.followers(),
            Role::Follower(_) => 0,
        };
        let delays = self.log.delays.borrow();
        DeliveryPhaseResult {
            name: phase.name.clone(),
            seconds: phase.seconds,
            follower_bytes: mean(followers.iter().map(bytes)),
            follower_bytes_max: followers.iter().map(bytes).fold(0.0, f64::max),
            follower_messages: mean(followers.iter().map(messages)),
            carrier_bytes_out: mean(carriers.iter().map(bytes_out)),
            carrier_bytes_out_max: carriers.iter().map(bytes_out).fold(0.0, f64::max),
            carrier_messages: mean(carriers.iter().map(messages)),
            max_followers_per_carrier: carriers.iter().map(follower_count).max().unwrap_or(0),
            delay_p50_ms: delays.value_at_quantile(0.5),
            delay_p99_ms: delays.value_at_quantile(0.99),
            delay_max_ms: delays.max(),
            max_unproven,
            unproven_s: rounds as f64 * subsystems::TIMER_INTERVAL.as_seconds(),
            max_log_readers,
        }
    }
}

fn first_fraction(all: &[MemberId], fraction: f64) -> Vec<MemberId> {
    all.iter().take((fraction * all.len() as f64).round() as usize).copied().collect()
}

fn pairs<'a>(
    first: &'a [MemberId],
    second: &'a [MemberId],
) -> impl Iterator<Item = (MemberId, MemberId)> + 'a {
    first.iter().flat_map(move |a| second.iter().map(move |b| (*a, *b)))
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0_u32, 0.0), |(count, sum), value| (count + 1, sum + value));
    sum / f64::from(count.max(1))
}
