//! Carriers, followers and a change log on the simulated network. After every round each follower is checked
//! against the log: no gap, no repeat, no foreign change, and all changes up to the time that it claims to
//! know.
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::{
    Carrier, ChangeNumber, DeliveryMessage, Effect, Follower, Record, Settings,
};
use cherrypass_fleet::simulation::{Network, Node};
use rand::Rng;
use std::collections::BTreeMap;

/// The interval of the periodic timer, and the latency of the log.
pub const TIMER_INTERVAL: Span = Span::millis(50);

/// The change log: a change's number is its index, from 1.
#[derive(Default)]
pub struct Log {
    written: Vec<(Time, Record)>,
}

impl Log {
    pub fn write(&mut self, now: Time, record: Record) {
        self.written.push((now, record));
    }

    pub fn newest(&self) -> u64 {
        self.written.len() as u64
    }

    /// The number of changes at a time.
    fn at(&self, time: Time) -> usize {
        self.written.partition_point(|(written, _)| *written <= time)
    }
}

enum Role {
    Carrier(Box<Carrier>),
    Follower(Box<Follower>),
}

/// A process, with what was delivered to it and what it claims to know.
pub struct Process {
    role: Role,
    incarnation: Incarnation,
    /// The last change known at its start.
    start: u64,
    pub delivered: Vec<Record>,
    pub known: Option<Time>,
    pub reads_log: bool,
    pub longest_message: usize,
    /// A pending read of the log: when it was requested, and the number of changes then.
    pending: Option<(Time, usize)>,
    rate: f64,
}

impl Process {
    pub fn follower(&self) -> Option<&Follower> {
        match &self.role {
            Role::Follower(follower) => Some(follower),
            Role::Carrier(_) => None,
        }
    }

    pub fn carrier(&self) -> Option<&Carrier> {
        match &self.role {
            Role::Carrier(carrier) => Some(carrier),
            Role::Follower(_) => None,
        }
    }

    /// The last change it has.
    pub fn last(&self) -> u64 {
        self.start + self.delivered.len() as u64
    }

    /// Handles an answer of the log with its first `count` changes, requested at `asked`.
    fn read(&mut self, log: &Log, asked: Time, count: usize) {
        match &mut self.role {
            Role::Carrier(carrier) => {
                for (index, (_, record)) in log.written[..count].iter().enumerate().skip(self.start as usize)
                {
                    carrier.add_change(ChangeNumber(index as u64 + 1), record.clone());
                }
                self.start = self.start.max(count as u64);
                carrier.note_log_answer(asked);
            }
            Role::Follower(follower) => {
                let last = (self.start as usize + self.delivered.len()).min(count);
                self.delivered.extend(log.written[last..count].iter().map(|(_, record)| record.clone()));
                follower.note_log_read(ChangeNumber(count as u64), Some(asked));
            }
        }
    }

    fn apply(&mut self, effect: Effect) -> Option<(MemberId, (Incarnation, DeliveryMessage))> {
        match effect {
            Effect::Send { to, message } => {
                let bytes = postcard::to_stdvec(&message).unwrap().len();
                self.longest_message = self.longest_message.max(bytes);
                return Some((to, (self.incarnation, message)));
            }
            Effect::Deliver { first, records } => {
                assert_eq!(first.0, self.last() + 1, "a gap or a repeat");
                self.delivered.extend(records);
            }
            Effect::ReadLog(reads) => self.reads_log = reads,
            Effect::KnownUpTo(at) => {
                assert!(self.known.is_none_or(|known| known < at), "the known time must increase");
                self.known = Some(at);
            }
            Effect::Log(_) => {}
        }
        None
    }
}

impl Node for Process {
    type Message = (Incarnation, DeliveryMessage);

    fn receive(&mut self, now: Time, from: MemberId, (incarnation, message): (Incarnation, DeliveryMessage)) {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.receive(now, from, incarnation, message),
            Role::Follower(follower) => follower.receive(now, from, message),
        }
    }

    fn tick(&mut self, now: Time) {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.tick(now),
            Role::Follower(follower) => follower.tick(now),
        }
    }

    fn next_message(&mut self, _: Time) -> Option<(MemberId, Self::Message)> {
        loop {
            let effect = match &mut self.role {
                Role::Carrier(carrier) => carrier.next_effect()?,
                Role::Follower(follower) => follower.next_effect()?,
            };
            if let Some(message) = self.apply(effect) {
                return Some(message);
            }
        }
    }
}

/// All processes, with the log.
pub struct Bed {
    pub network: Network<Process>,
    pub log: Log,
    pub settings: Settings,
    pub carriers: Vec<MemberId>,
    pub followers: Vec<MemberId>,
    /// Processes that can't reach the log.
    pub without_log: Vec<MemberId>,
    /// Bytes per change.
    pub record_bytes: usize,
    pub changes_per_round: f64,
    pending_changes: f64,
    runs: BTreeMap<MemberId, u64>,
}

impl Bed {
    pub fn new(seed: u64, settings: Settings, carriers: usize, followers: usize) -> Bed {
        let ids =
            |kind: &str, count: usize| (0..count).map(|n| MemberId::of(&format!("{kind}{n}"))).collect();
        let mut bed = Bed {
            network: Network::new(seed, TIMER_INTERVAL),
            log: Log::default(),
            settings,
            carriers: ids("carrier", carriers),
            followers: ids("follower", followers),
            without_log: Vec::new(),
            record_bytes: 20,
            changes_per_round: 3.8,
            pending_changes: 0.0,
            runs: BTreeMap::new(),
        };
        for id in bed.carriers.clone().into_iter().chain(bed.followers.clone()) {
            bed.start(id, 0);
        }
        bed
    }

    pub fn ids(&self) -> Vec<MemberId> {
        self.carriers.iter().chain(&self.followers).copied().collect()
    }

    /// Starts or restarts a process that knows the changes up to `known`.
    pub fn start(&mut self, id: MemberId, known: u64) {
        let run = self.runs.entry(id).or_default();
        *run += 1;
        let (incarnation, settings, carriers) =
            (Incarnation(*run), self.settings.clone(), self.carriers.clone());
        let is_carrier = carriers.contains(&id);
        let (rate, seed) = (self.network.rng.gen_range(0.99..1.01), self.network.rng.gen());
        self.network.start(id, rate, |now| {
            let last = ChangeNumber(known);
            let role = match is_carrier {
                true => Role::Carrier(Box::new(Carrier::new(settings, last))),
                false => Role::Follower(Box::new(Follower::new(settings, id, &carriers, last, seed, now))),
            };
            Process {
                role,
                incarnation,
                start: known,
                delivered: Vec::new(),
                known: None,
                reads_log: false,
                longest_message: 0,
                pending: None,
                rate,
            }
        });
    }

    /// Runs for a span while the log grows. A reader sends a request each round and gets the answer in the
    /// next one.
    pub fn run(&mut self, span: Span) {
        let end = self.network.now + span;
        while self.network.now < end {
            self.grow();
            self.read_log();
            let log = &self.log;
            self.network.run(TIMER_INTERVAL, |_| {});
            for id in self.followers.iter().chain(&self.carriers) {
                check(&self.network, log, *id);
            }
        }
    }

    fn grow(&mut self) {
        self.pending_changes += self.changes_per_round;
        while self.pending_changes >= 1.0 {
            self.pending_changes -= 1.0;
            let mut record = vec![0; self.record_bytes];
            self.network.rng.fill(&mut record[..]);
            let number = self.log.newest() + 1;
            record[..8].copy_from_slice(&number.to_le_bytes());
            self.log.write(self.network.now, record.into());
        }
    }

    fn read_log(&mut self) {
        for id in self.ids() {
            if self.network.is_paused(id) {
                continue;
            }
            let is_reader = |process: &Process| process.carrier().is_some() || process.reads_log;
            let reaches = !self.without_log.contains(&id);
            let (log, count) = (&self.log, self.log.at(self.network.now));
            self.network.call(id, |process, now| {
                if let Some((asked, count)) = process.pending.take() {
                    process.read(log, asked, count);
                }
                process.pending = (reaches && is_reader(process)).then_some((now, count));
            });
        }
    }

    /// Shuts a process down in order.
    pub fn leave(&mut self, id: MemberId) {
        self.network.call(id, |process, _| match &mut process.role {
            Role::Carrier(carrier) => carrier.shut_down(),
            Role::Follower(follower) => follower.shut_down(),
        });
        self.network.kill(id);
    }
}

/// Checks a follower's changes against the log: all of them are the log's, and none is missing up to the time
/// it claims to know.
fn check(network: &Network<Process>, log: &Log, id: MemberId) {
    let Some((process, clock)) = network.node(id).zip(network.clock(id)) else { return };
    if process.follower().is_none() {
        return;
    }
    let start = process.start as usize;
    let wanted = &log.written[start..start + process.delivered.len()];
    if let (Some(last), Some((_, wanted))) = (process.delivered.last(), wanted.last()) {
        assert_eq!(last, wanted, "differs from the log");
    }
    let Some(known) = process.known else { return };
    let truly = network.now - (clock - known).times(1.0 / process.rate);
    let there = log.at(truly - Span(1)) as u64;
    assert!(
        process.last() >= there,
        "{id:?} has {} of the {there} changes it claims to know",
        process.last()
    );
}
