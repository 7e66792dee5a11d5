//! The delivery of changes in virtual time (docs/fleet-delivery.md): carriers and followers by the product's own room, a
//! change log at the operators' rates, and what the phases of a bad day cost each of them.
use crate::rooms;
use crate::settings::{DeliveryPhase, DeliveryPlay};
use crate::traffic::Amount;
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_dispatcher::carried_changes;
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::{Carrier, ChangeNumber, Effect, Follower, Record, Said, Set};
use cherrypass_fleet::made::{Network, Node};
use cherrypass_peers::link::{self, Envelope};
use hdrhistogram::Histogram;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// The start of all processes, in microseconds of Unix time.
const BEGUN: u64 = 1_700_000_000_000_000;
/// The delivery's number on the link.
const KIND: u8 = 5;
/// Who reads the log asks it once in so many rounds of the timer; the answer is there a round later.
const LOG_ROUNDS: u64 = 5;
const CARRIER_LOG_ROUNDS: u64 = 1;
/// Delays are counted up to ten minutes, in milliseconds.
const DELAY_MOST_MS: u64 = 600_000;

/// The change log as it truly is, and what is measured of its way.
struct Log {
    now: Cell<Time>,
    written: RefCell<Vec<(Time, Record)>>,
    delays: RefCell<Histogram<u64>>,
}

impl Log {
    /// A follower took a change.
    fn came(&self, number: u64) {
        let written = usize::try_from(number).ok().and_then(|place| {
            self.written.borrow().get(place.saturating_sub(1)).map(|(written, _)| *written)
        });
        if let Some(written) = written {
            let delay_ms = (self.now.get() - written).0 / 1000;
            self.delays.borrow_mut().saturating_record(delay_ms.max(1));
        }
    }
}

enum Role {
    Carrier(Box<Carrier>),
    Follower(Box<Follower>),
}

/// One process, with what it sent and got.
struct Place {
    role: Role,
    own: MemberId,
    incarnation: Incarnation,
    log: Rc<Log>,
    sent: Amount,
    got: Amount,
    known: Option<Time>,
    reads_log: bool,
    /// The last change that it was given; a carrier's was read.
    last: u64,
    /// When the log was asked, and how much it had then.
    asked: Option<(Time, usize)>,
}

#[derive(Clone)]
struct Datagram {
    incarnation: Incarnation,
    said: Said,
    bytes: usize,
}

impl Place {
    fn datagram(&self, said: Said) -> Datagram {
        let payload = postcard::to_stdvec(&said).unwrap_or_default();
        let envelope = Envelope {
            reads: link::NEWEST,
            fleet: rooms::FLEET,
            from: self.own,
            incarnation: self.incarnation,
            location: Some(link::LocationByte::of(LocationId::default())),
            kind: KIND,
            payload: &payload,
        };
        let bytes = link::encode(link::NEWEST, &envelope).map_or(0, |bytes| bytes.len());
        Datagram { incarnation: self.incarnation, said, bytes }
    }

    /// Takes the answer of the log that was asked for in the round before.
    fn read(&mut self) {
        let Some((asked, count)) = self.asked.take() else { return };
        let log = self.log.clone();
        let written = log.written.borrow();
        match &mut self.role {
            Role::Carrier(carrier) => {
                let new = written[..count].iter().enumerate().skip(self.last as usize);
                new.for_each(|(place, (_, record))| {
                    carrier.read(ChangeNumber(place as u64 + 1), record.clone());
                });
                carrier.log_heard(asked);
            }
            Role::Follower(follower) => {
                (self.last + 1..=count as u64).for_each(|number| log.came(number));
                follower.read(ChangeNumber(count as u64), Some(asked));
            }
        }
        self.last = self.last.max(count as u64);
    }

    fn effect(&mut self, effect: Effect) -> Option<(MemberId, Datagram)> {
        match effect {
            Effect::Tell { to, said } => {
                let datagram = self.datagram(said);
                self.sent = self.sent + Amount { messages: 1.0, bytes: datagram.bytes as f64 };
                return Some((to, datagram));
            }
            Effect::Deliver { first, records } => {
                self.last = first.0 + records.len() as u64 - 1;
                (first.0..=self.last).for_each(|number| self.log.came(number));
            }
            Effect::ReadLog(reads) => self.reads_log = reads,
            Effect::KnownUpTo(at) => self.known = Some(at),
            Effect::Log(_) => {}
        }
        None
    }
}

impl Node for Place {
    type Said = Datagram;

    fn heard(&mut self, now: Time, from: MemberId, datagram: Datagram) {
        self.got = self.got + Amount { messages: 1.0, bytes: datagram.bytes as f64 };
        match &mut self.role {
            Role::Carrier(carrier) => carrier.heard(now, from, datagram.incarnation, datagram.said),
            Role::Follower(follower) => follower.heard(now, from, datagram.said),
        }
    }

    fn woken(&mut self, now: Time) {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.woken(now),
            Role::Follower(follower) => follower.woken(now),
        }
    }

    fn next(&mut self, _: Time) -> Option<(MemberId, Datagram)> {
        loop {
            let effect = match &mut self.role {
                Role::Carrier(carrier) => carrier.next_effect()?,
                Role::Follower(follower) => follower.next_effect()?,
            };
            if let Some(message) = self.effect(effect) {
                return Some(message);
            }
        }
    }
}

/// What a phase came to; amounts are a second.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PhasePlayed {
    pub name: String,
    pub seconds: f64,
    /// Bytes in and out of the mean and of the busiest follower, and its messages.
    pub follower_bytes: f64,
    pub follower_bytes_most: f64,
    pub follower_messages: f64,
    /// The mean carrier, and the busiest one's bytes out.
    pub carrier_bytes_out: f64,
    pub carrier_bytes_out_most: f64,
    pub carrier_messages: f64,
    /// Followers of the busiest carrier at the end.
    pub carried_most: usize,
    /// From the log to a follower: of changes that came in this phase.
    pub delay_p50_ms: u64,
    pub delay_p99_ms: u64,
    pub delay_max_ms: u64,
    /// Followers that were not sure to know all purges of 1.1 s before: the most at once, and how long any was so.
    pub unproven_most: usize,
    pub unproven_s: f64,
    /// The most that read the log themselves at once.
    pub reading_most: usize,
}

/// What one size came to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DeliveryPlayed {
    pub followers: usize,
    pub carriers: usize,
    pub phases: Vec<PhasePlayed>,
    /// Heap bytes of a follower at the start, and of all processes at the end for each follower; messages on their way
    /// are among them.
    pub follower_heap_bytes: f64,
    pub end_heap_bytes: f64,
    /// Microseconds of processor time for a second of one follower, the carriers' and the made network's among them.
    pub micros_each_s: f64,
}

/// Past this age of what is known a purge may have been missed (the operators' bound, milliseconds).
const PROOF: Span = Span::millis(1_100);

struct Play<'a> {
    play: &'a DeliveryPlay,
    network: Network<Place>,
    log: Rc<Log>,
    carriers: Vec<MemberId>,
    followers: Vec<MemberId>,
    /// Whether a phase holds the log, or the carriers, lost.
    log_lost: bool,
    owed: [f64; 2],
    round: u64,
    runs: u64,
}

/// Plays one size through its phases; `allocated` tells the bytes on the heap.
pub fn play(form: &DeliveryPlay, seed: u64, allocated: &dyn Fn() -> usize) -> DeliveryPlayed {
    let mut network = Network::new(seed, rooms::EVERY);
    network.link.lost = form.lost;
    network.link.delay = form.delay_ms.map(Span::millis);
    let delays = Histogram::new_with_bounds(1, DELAY_MOST_MS, 2).unwrap_or_else(|_| unreachable!());
    let log =
        Log { now: Cell::new(network.now), written: RefCell::new(Vec::new()), delays: RefCell::new(delays) };
    let named = |kind: &str, count: usize| (0..count).map(|n| MemberId::of(&format!("{kind}{n}"))).collect();
    let mut play = Play {
        play: form,
        network,
        log: Rc::new(log),
        carriers: named("c", form.carriers),
        followers: named("d", form.followers),
        log_lost: false,
        owed: [0.0; 2],
        round: 0,
        runs: 0,
    };
    play.carriers.clone().into_iter().for_each(|id| play.start(id));
    let before = allocated();
    play.followers.clone().into_iter().for_each(|id| play.start(id));
    let follower_heap = allocated().saturating_sub(before);
    let begun = Instant::now();
    let phases: Vec<PhasePlayed> = form.phases.iter().map(|phase| play.phase(phase)).collect();
    let seconds: f64 = phases.iter().map(|phase| phase.seconds).sum();
    let each = 1.0 / form.followers as f64;
    DeliveryPlayed {
        followers: form.followers,
        carriers: form.carriers,
        phases,
        follower_heap_bytes: follower_heap as f64 * each,
        end_heap_bytes: allocated().saturating_sub(before) as f64 * each,
        micros_each_s: begun.elapsed().as_secs_f64() * 1e6 * each / seconds,
    }
}

impl Play<'_> {
    fn start(&mut self, own: MemberId) {
        self.runs += 1;
        let incarnation = Incarnation(BEGUN + self.runs);
        let (log, carriers) = (self.log.clone(), &self.carriers);
        let last = log.written.borrow().len() as u64;
        let (rate, seed) = (self.network.chance.gen_range(0.995..1.005), self.network.chance.gen());
        let set = Set { followers: self.play.followers_a_carrier, ..Set::default() };
        self.network.start(own, rate, |now| {
            let known = ChangeNumber(last);
            let role = match carriers.contains(&own) {
                true => Role::Carrier(Box::new(Carrier::new(set, known))),
                false => Role::Follower(Box::new(Follower::new(set, own, carriers, known, seed, now))),
            };
            let (sent, got) = (Amount::default(), Amount::default());
            let (known, reads_log, asked) = (None, false, None);
            Place { role, own, incarnation, log, sent, got, known, reads_log, last, asked }
        });
    }

    fn phase(&mut self, phase: &DeliveryPhase) -> PhasePlayed {
        self.begin(phase);
        self.reset();
        let rounds = (phase.seconds / rooms::EVERY.as_seconds()) as u64;
        let (mut unproven_most, mut unproven_rounds, mut reading_most) = (0, 0, 0);
        for _ in 0..rounds {
            self.round();
            let unproven = self.count(|one, clock| one.known.is_none_or(|known| clock - known > PROOF));
            unproven_most = unproven_most.max(unproven);
            unproven_rounds += u64::from(unproven > 0);
            reading_most = reading_most.max(self.count(|one, _| one.reads_log));
        }
        let found = self.result(phase, (unproven_most, unproven_rounds, reading_most));
        self.end(phase);
        found
    }

    fn begin(&mut self, phase: &DeliveryPhase) {
        for id in first_part(&self.carriers, phase.carriers_lost) {
            self.network.kill(id);
        }
        let cut = first_part(&self.followers, phase.followers_cut);
        for (follower, carrier) in pairs(&cut, &self.carriers) {
            self.network.cut.extend([(follower, carrier), (carrier, follower)]);
        }
        for id in first_part(&self.followers, phase.restarted) {
            self.start(id);
        }
        self.log_lost = phase.log_lost;
    }

    fn end(&mut self, phase: &DeliveryPhase) {
        for id in first_part(&self.carriers, phase.carriers_lost) {
            self.start(id);
        }
        self.network.cut.clear();
        self.log_lost = false;
    }

    fn reset(&mut self) {
        for id in self.network.ids() {
            self.network.call(id, |one, _| (one.sent, one.got) = Default::default());
        }
        self.log.delays.borrow_mut().reset();
    }

    fn round(&mut self) {
        self.round += 1;
        self.write();
        self.ask_log();
        let log = self.log.clone();
        self.network.play(rooms::EVERY, |network| log.now.set(network.now));
    }

    /// What came into the log within a round.
    fn write(&mut self) {
        let round_s = rooms::EVERY.as_seconds();
        let rates = [self.play.purges_per_s, self.play.configurations_per_day / 86_400.0];
        for (kind, rate) in rates.into_iter().enumerate() {
            self.owed[kind] += rate * round_s;
            while self.owed[kind] >= 1.0 {
                self.owed[kind] -= 1.0;
                let record = self.record(kind == 0);
                self.log.written.borrow_mut().push((self.network.now, record));
            }
        }
    }

    fn record(&mut self, is_purge: bool) -> Record {
        let seq = self.log.written.borrow().len() + 1;
        let change = if is_purge {
            let object: u64 = self.network.chance.gen();
            let time = (BEGUN + self.network.now.0) / 1000;
            json!({ "seq": seq, "invalidate": { "object": format!("{object:016x}"), "time": time } })
        } else {
            json!({ "seq": seq, "configuration": "x".repeat(self.play.configuration_bytes) })
        };
        carried_changes::encode(&change).into()
    }

    fn ask_log(&mut self) {
        let (carriers, count) = (self.carriers.clone(), self.log.written.borrow().len());
        let (log_lost, round) = (self.log_lost, self.round);
        for (place, id) in carriers.iter().chain(&self.followers).enumerate() {
            let every = if place < carriers.len() { CARRIER_LOG_ROUNDS } else { LOG_ROUNDS };
            self.network.call(*id, |one, now| {
                one.read();
                let reads = one.reads_log || matches!(one.role, Role::Carrier(_));
                let due = (round + place as u64).is_multiple_of(every);
                one.asked = (reads && due && !log_lost).then_some((now, count));
            });
        }
    }

    fn count(&self, of: impl Fn(&Place, Time) -> bool) -> usize {
        let is = |id: &&MemberId| {
            self.network.node(**id).zip(self.network.clock(**id)).is_some_and(|(one, clock)| of(one, clock))
        };
        self.followers.iter().filter(is).count()
    }

    fn result(
        &self,
        phase: &DeliveryPhase,
        (unproven_most, rounds, reading_most): (usize, u64, usize),
    ) -> PhasePlayed {
        let a_second = 1.0 / phase.seconds;
        let followers: Vec<&Place> = self.followers.iter().filter_map(|id| self.network.node(*id)).collect();
        let carriers: Vec<&Place> = self.carriers.iter().filter_map(|id| self.network.node(*id)).collect();
        let both = |one: &&Place| (one.sent.bytes + one.got.bytes) * a_second;
        let messages = |one: &&Place| (one.sent.messages + one.got.messages) * a_second;
        let out = |one: &&Place| one.sent.bytes * a_second;
        let carried = |one: &&Place| match &one.role {
            Role::Carrier(carrier) => carrier.followers(),
            Role::Follower(_) => 0,
        };
        let delays = self.log.delays.borrow();
        PhasePlayed {
            name: phase.name.clone(),
            seconds: phase.seconds,
            follower_bytes: mean(followers.iter().map(both)),
            follower_bytes_most: followers.iter().map(both).fold(0.0, f64::max),
            follower_messages: mean(followers.iter().map(messages)),
            carrier_bytes_out: mean(carriers.iter().map(out)),
            carrier_bytes_out_most: carriers.iter().map(out).fold(0.0, f64::max),
            carrier_messages: mean(carriers.iter().map(messages)),
            carried_most: carriers.iter().map(carried).max().unwrap_or(0),
            delay_p50_ms: delays.value_at_quantile(0.5),
            delay_p99_ms: delays.value_at_quantile(0.99),
            delay_max_ms: delays.max(),
            unproven_most,
            unproven_s: rounds as f64 * rooms::EVERY.as_seconds(),
            reading_most,
        }
    }
}

fn first_part(all: &[MemberId], part: f64) -> Vec<MemberId> {
    all.iter().take((part * all.len() as f64).round() as usize).copied().collect()
}

fn pairs<'a>(
    some: &'a [MemberId],
    others: &'a [MemberId],
) -> impl Iterator<Item = (MemberId, MemberId)> + 'a {
    some.iter().flat_map(move |one| others.iter().map(move |other| (*one, *other)))
}

fn mean(all: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = all.fold((0_u32, 0.0), |(count, sum), one| (count + 1, sum + one));
    sum / f64::from(count.max(1))
}
