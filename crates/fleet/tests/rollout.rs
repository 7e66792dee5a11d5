//! Tests of the rollout: random schedules with faults, and every order of events in small cases.
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::rollout::*;
use cherrypass_fleet::simulation::{Link, Network, Node};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::rc::Rc;

type Listed = Vec<(MemberId, LocationId)>;

fn settings() -> Settings {
    Settings {
        window: Span::millis(500),
        stage_overtime: Span::seconds(20.0),
        order_timeout: Span::seconds(20.0),
        ..Settings::default()
    }
}

fn version(number: u64, listed: &Listed, after_halt: AfterHalt) -> Version {
    let order: BTreeSet<LocationId> = listed.iter().map(|(_, location)| *location).collect();
    let (order, hold) = (order.into_iter().rev().collect(), Span::seconds(2.0));
    let plan = Plan { order, first: 500, hold, visits: 20, after_halt };
    Version { number, text: format!("{{\"n\":{number}}}"), plan }
}

/// A simulated store.
#[derive(Default)]
struct Disk {
    records: Vec<Record>,
    /// Records that were reported as synced are lost at a kill.
    loses_synced: bool,
    unsynced: Vec<Record>,
    full: bool,
}

impl Disk {
    fn keep(&mut self, record: Record) -> bool {
        if !self.full {
            self.unsynced.push(record);
            if !self.loses_synced {
                self.records.append(&mut self.unsynced);
            }
        }
        !self.full
    }
}

struct Member {
    rollout: Rollout,
    disk: Rc<RefCell<Disk>>,
    /// The record being written, until the next tick.
    record_in_flight: Option<(u64, Record)>,
    before: u64,
    in_force: Vec<u64>,
    logs: Vec<String>,
    messages: VecDeque<(MemberId, RolloutMessage)>,
    ticks: u32,
    figures: Figures,
    acked: u64,
    /// The version that it can't put in force.
    rejected_version: u64,
}

impl Member {
    /// Handles effects after each call, so that messages are checked against the state at that time.
    fn drain(&mut self) {
        while let Some(effect) = self.rollout.next_effect() {
            match effect {
                Effect::Send { to, message } => {
                    if matches!(message, RolloutMessage::Accepted { .. }) {
                        self.acked = self.rollout.state().accepted.map_or(0, |(_, step)| step.at);
                    }
                    self.messages.push_back((to, message));
                }
                Effect::Store { ticket, record } => {
                    assert!(self.record_in_flight.replace((ticket, record)).is_none())
                }
                Effect::ApplyRules { number, .. } => {
                    let status = self.rollout.status();
                    let halted = status.halt.is_some() && status.step.phase != Phase::Back;
                    let newly = number == status.step.version.number && self.before != number;
                    assert!(!(halted && newly), "put in force after a halt: {status:?}");
                    self.before = number;
                    self.in_force.push(number);
                }
                Effect::Log(line) => self.logs.push(line),
            }
        }
    }
}

impl Node for Member {
    type Message = RolloutMessage;
    fn receive(&mut self, now: Time, from: MemberId, message: RolloutMessage) {
        self.rollout.receive(now, from, message);
        self.drain();
    }
    fn tick(&mut self, now: Time) {
        self.ticks += 1;
        if let Some((ticket, record)) = self.record_in_flight.take() {
            let is_written = self.disk.borrow_mut().keep(record);
            self.rollout.record_written(now, ticket, is_written);
            self.drain();
        }
        if self.ticks.is_multiple_of(5) {
            self.rollout.add_figures(now, self.figures);
        }
        self.rollout.tick(now);
        self.drain();
        if self.rejected_version > 0 && self.in_force.last() == Some(&self.rejected_version) {
            self.rollout.version_rejected(now, self.rejected_version, "key `x` is not known");
            self.in_force.pop();
        }
    }
    fn next_message(&mut self, _now: Time) -> Option<(MemberId, RolloutMessage)> {
        self.drain();
        self.messages.pop_front()
    }
}

fn fleet(members: u64, locations: u8) -> Listed {
    (0..members).map(|i| (MemberId(i + 1), LocationId((i % u64::from(locations)) as u16))).collect()
}

struct Simulation {
    net: Network<Member>,
    listed: Listed,
    disks: BTreeMap<MemberId, Rc<RefCell<Disk>>>,
    incarnation: u64,
    seed: u64,
    invariants: Invariants,
}

impl Simulation {
    fn new(seed: u64, listed: Listed) -> Simulation {
        let disks = listed.iter().map(|(id, _)| (*id, Rc::default())).collect();
        let net = Network::new(seed, Span::millis(100));
        let mut simulation =
            Simulation { net, listed, disks, incarnation: 1, seed, invariants: Invariants::default() };
        for (id, _) in simulation.listed.clone() {
            simulation.start(id);
        }
        simulation
    }

    fn start(&mut self, id: MemberId) {
        self.incarnation += 1;
        let (seed, incarnation) = (self.seed ^ self.incarnation << 20, Incarnation(self.incarnation));
        let location = self.listed.iter().find(|(listed, _)| *listed == id).unwrap().1;
        let disk = self.disks[&id].clone();
        let rate = self.net.rng.gen_range(0.995..1.005);
        let listed = self.listed.clone();
        self.net.start(id, rate, |now| {
            let records = disk.borrow().records.clone();
            let rollout = Rollout::new(settings(), id, location, incarnation, &listed, records, seed, now);
            let before = rollout.state().in_force.number;
            let figures =
                Figures { visits: 50, in_time: 48, refused: 1, hand_offs: 60, ..Figures::default() };
            let (in_force, logs) = (Vec::new(), Vec::new());
            Member {
                rollout,
                disk,
                record_in_flight: None,
                before,
                in_force,
                logs,
                messages: VecDeque::new(),
                ticks: 0,
                figures,
                rejected_version: 0,
                acked: 0,
            }
        });
    }

    /// Kills a process; the record being written may or may not be on disk.
    fn kill(&mut self, id: MemberId) {
        let written = self.net.rng.gen_bool(0.5);
        let in_flight = self.net.call(id, |member, _| member.record_in_flight.take()).flatten();
        let mut disk = self.disks[&id].borrow_mut();
        disk.unsynced.clear();
        if let Some((_, record)) = in_flight.filter(|_| written && !disk.full && !disk.loses_synced) {
            disk.records.push(record);
        }
        let last = disk.records.iter().rev().find_map(|record| match record {
            Record::State(state) => Some(state.halt.clone()),
            Record::Document(_) => None,
        });
        let on_disk = last.flatten().map(|halt| (halt.number, halt.run));
        self.invariants.halts.retain(|(who, key), _| *who != id || Some(*key) == on_disk);
        drop(disk);
        self.net.kill(id);
    }

    fn order(&mut self, id: MemberId, order: Order) -> Result<(), OrderError> {
        self.net.call(id, |member, now| member.rollout.order(now, order)).unwrap_or(Ok(()))
    }

    fn run(&mut self, seconds: f64) {
        let (seed, invariants) = (self.seed, &mut self.invariants);
        self.net.run(Span::seconds(seconds), |net| invariants.check_all(net, seed));
    }

    fn member(&self, id: u64) -> &Member {
        self.net.node(MemberId(id)).unwrap()
    }
}

/// Invariants that are checked after every event.
#[derive(Clone, Default, Debug)]
struct Invariants {
    /// Chosen steps by their count.
    steps: BTreeMap<u64, Step>,
    /// Halts by member, with the last step that the member had accepted before.
    halts: BTreeMap<(MemberId, (u64, u32)), u64>,
    acked: BTreeMap<MemberId, u64>,
    when: BTreeMap<u64, Time>,
}

impl Invariants {
    fn check_member(&mut self, id: MemberId, state: &State) -> Result<(), String> {
        let step = state.chosen;
        if let Some(halt) = &state.halt {
            let accepted = self.acked.get(&id).copied().unwrap_or(0).max(step.at);
            self.halts.entry((id, (halt.number, halt.run))).or_insert(accepted);
        }
        if step.at == 0 || self.steps.get(&step.at) == Some(&step) {
            return Ok(());
        }
        if let Some(other) = self.steps.insert(step.at, step) {
            return Err(format!("two steps {}: {other:?} and {step:?}", step.at));
        }
        let order = |step: &Step| (step.version.number, step.run, step.stage);
        let below =
            self.steps.range(..step.at).next_back().is_some_and(|(_, other)| order(other) > order(&step));
        let above =
            self.steps.range(step.at + 1..).next().is_some_and(|(_, other)| order(other) < order(&step));
        if below || above {
            return Err(format!("backwards: {:?}", self.steps));
        }
        if step.promotes() {
            let key = (step.version.number, step.run);
            if let Some(halt) = self.halts.iter().find(|((_, halted), at)| *halted == key && **at < step.at) {
                return Err(format!("promoted after a halt {halt:?}: {step:?}"));
            }
        }
        Ok(())
    }

    fn check_all(&mut self, net: &Network<Member>, seed: u64) {
        for id in net.ids() {
            let member = net.node(id).unwrap();
            let acked = self.acked.entry(id).or_default();
            *acked = (*acked).max(member.acked);
            self.check_member(id, member.rollout.state())
                .unwrap_or_else(|why| panic!("seed {seed}, {id:?}: {why}"));
            let at = member.rollout.state().chosen.at;
            if at > 0 && !self.when.contains_key(&at) {
                self.when.insert(at, net.now);
                if let (Some(before), Some(step)) = (self.steps.get(&(at - 1)), self.steps.get(&at)) {
                    let held = net.now - self.when.get(&(at - 1)).copied().unwrap_or_default();
                    let on = step.promotes() && before.phase == Phase::Rolling && before.run == step.run;
                    assert!(
                        !on || held >= Span::seconds(1.9),
                        "seed {seed}: held only for {held:?}: {step:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn a_harmless_version_reaches_all_in_order() {
    let mut p = Simulation::new(1, fleet(7, 3));
    p.run(14.0);
    let first = version(5, &p.listed, AfterHalt::Stay);
    p.order(MemberId(4), Order::Start(first.clone())).unwrap();
    p.run(60.0);
    let stages: Vec<(u16, Phase)> =
        p.invariants.steps.values().map(|step| (step.stage, step.phase)).collect();
    let rolling = |stage| (stage, Phase::Rolling);
    assert_eq!(
        stages,
        [rolling(0), rolling(1), rolling(2), rolling(3), (3, Phase::Full)],
        "{:?}",
        p.member(1).logs
    );
    for (id, _) in &p.listed {
        assert_eq!(p.member(id.0).in_force, [5], "{:?}", p.member(id.0).logs);
    }
    let wrong = |change: &dyn Fn(&mut Version)| {
        let mut wrong = version(6, &p.listed, AfterHalt::Stay);
        change(&mut wrong);
        Order::Start(wrong)
    };
    let orders = [
        (Order::Start(first), "rollout-older"),
        (wrong(&|v| v.plan.order.push(LocationId(0))), "rollout-twice"),
        (wrong(&|v| v.plan.order.push(LocationId(9))), "rollout-location"),
        (wrong(&|v| v.text = "x".repeat(16 * 1024 + 1)), "rollout-long"),
        (Order::Halt, "rollout-nothing"),
        (Order::Resume, "rollout-not-halted"),
    ];
    for (order, code) in orders {
        assert_eq!(p.order(MemberId(2), order).unwrap_err().code(), code);
    }
}

#[test]
fn each_fault_halts_in_the_first_stage() {
    type Fault = fn(&mut Simulation, MemberId);
    let faults: [(&str, Fault); 4] = [
        ("could not be put in force", |_, _| {}),
        ("is unreachable", |p, id| p.kill(id)),
        ("target latency", |p, id| {
            let bad = Figures { visits: 50, in_time: 38, refused: 11, hand_offs: 60, ..Figures::default() };
            p.net.call(id, |member, _| member.figures = bad).unwrap();
        }),
        ("too few figures", |p, _| {
            for (id, _) in p.listed.clone() {
                p.net.call(id, |member, _| member.figures = Figures::default()).unwrap();
            }
        }),
    ];
    for (why, fault) in faults {
        let mut p = Simulation::new(7, fleet(8, 2));
        p.run(20.0);
        for (id, _) in p.listed.clone().into_iter().filter(|_| why == "could not be put in force") {
            p.net.call(id, |member, _| member.rejected_version = 3).unwrap();
        }
        let mut start = version(3, &p.listed, AfterHalt::Stay);
        start.plan.hold = Span::seconds(5.0);
        let listed: BTreeMap<_, _> = p.listed.iter().copied().collect();
        let with: Vec<MemberId> =
            listed.keys().copied().filter(|id| start.includes(&listed, 0, *id)).collect();
        p.order(MemberId(1), Order::Start(start)).unwrap();
        p.run(if why == "is unreachable" { 2.0 } else { 0.4 });
        with.iter().for_each(|id| fault(&mut p, *id));
        p.run(60.0);
        let last = *p.invariants.steps.values().next_back().unwrap();
        assert_eq!((last.stage, last.phase), (0, Phase::Halted), "{why}");
        let left = p.net.ids()[0].0;
        let halt = p.member(left).rollout.status().halt.unwrap();
        assert!(halt.why.contains(why), "{why}: {}", halt.why);
        for id in p.net.ids().into_iter().filter(|id| !with.contains(id)) {
            assert!(!p.member(id.0).in_force.contains(&3), "{why}: {id:?} has it");
        }
        if why == "could not be put in force" {
            let member = p.member(halt.by.0);
            let lines =
                member.logs.iter().filter(|line| line.contains("could not be put in force, 0 stay")).count();
            assert_eq!((lines, member.rollout.status().in_force), (1, 0), "{:?}", member.logs);
        }
    }
}

/// A schedule of faults and orders; after all faults are repaired the rollout must end.
fn schedule(seed: u64) -> Simulation {
    let (members, locations) = (3 + seed % 5, 1 + (seed / 5 % 3) as u8);
    let mut simulation = Simulation::new(seed, fleet(members, locations));
    simulation.run(14.0);
    let any = |simulation: &mut Simulation| MemberId(simulation.net.rng.gen_range(1..=members));
    let faulty = any(&mut simulation);
    if seed.is_multiple_of(2) {
        simulation.disks[&faulty].borrow_mut().loses_synced = true;
    }
    let slowest = Span::millis([5, 50, 800][(seed % 3) as usize]);
    simulation.net.link = Link {
        loss_rate: 0.25 * (seed % 4) as f64 / 3.0,
        duplication_rate: 0.1,
        delay: [Span::millis(1), slowest],
    };
    let mut number = 1;
    let starter = any(&mut simulation);
    let _ = simulation.order(starter, Order::Start(version(number, &simulation.listed, AfterHalt::Stay)));
    let mut dead: Vec<MemberId> = Vec::new();
    for _ in 0..30 {
        let pause = simulation.net.rng.gen_range(0.05..2.5);
        simulation.run(pause);
        let (id, other) = (any(&mut simulation), any(&mut simulation));
        match simulation.net.rng.gen_range(0..22) {
            0..=2 if !dead.contains(&id) => {
                simulation.kill(id);
                dead.push(id);
            }
            3..=6 => dead.drain(..).for_each(|id| simulation.start(id)),
            7..=8 => {
                simulation.net.cut.insert((id, other));
            }
            9 => {
                let members: Vec<MemberId> = simulation.net.ids();
                simulation.net.cut.extend(members.iter().flat_map(|member| [(*member, id), (id, *member)]));
            }
            10..=12 => simulation.net.cut.clear(),
            13 => {
                let span = Span::seconds(simulation.net.rng.gen_range(0.1..12.0));
                simulation.net.pause(id, span);
            }
            14 => {
                let mut disk = simulation.disks[&id].borrow_mut();
                disk.full = !disk.full;
            }
            15 => {
                let _ = simulation.order(id, Order::Halt);
            }
            16..=18 => {
                let _ = simulation.order(id, Order::Resume);
            }
            19 => {
                number += 1;
                let after_halt = if number % 2 == 0 { AfterHalt::Back } else { AfterHalt::Stay };
                let _ = simulation.order(id, Order::Start(version(number, &simulation.listed, after_halt)));
            }
            20 if seed.is_multiple_of(3) => {
                let _ = simulation.order(id, Order::Back);
            }
            _ => {}
        }
    }
    simulation.net.link = Link::default();
    simulation.net.cut.clear();
    for disk in simulation.disks.values() {
        disk.borrow_mut().full = false;
    }
    dead.drain(..).for_each(|id| simulation.start(id));
    simulation.run(150.0);
    simulation
}

#[test]
fn schedules_with_faults_keep_the_invariants_and_end() {
    let seeds = std::env::var("ROLLOUT_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(300);
    let first: u64 = std::env::var("ROLLOUT_FIRST").ok().and_then(|first| first.parse().ok()).unwrap_or(0);
    let mut ends = BTreeMap::new();
    for seed in first..first + seeds {
        let p = schedule(seed);
        let last = p.invariants.steps.values().next_back().copied().unwrap_or_default();
        for (id, _) in &p.listed {
            let member = p.member(id.0);
            let status = member.rollout.status();
            assert_eq!(status.step, last, "seed {seed} {id:?}: {status:?}");
            if last.phase == Phase::Rolling {
                for (id, _) in &p.listed {
                    let member = p.member(id.0);
                    println!("{id:?} {:?} {:?}", member.rollout.status(), member.logs);
                }
                panic!("seed {seed}: rollout has not ended");
            }
            let due = match last.phase {
                Phase::Full => Some(last.version.number),
                Phase::Back => Some(last.base.number),
                _ => None,
            };
            assert!(
                due.is_none_or(|due| due == status.in_force),
                "seed {seed}: {id:?}: the due version is not in force: {status:?}"
            );
        }
        *ends.entry(last.phase).or_insert(0) += 1;
    }
    println!("ends: {ends:?}");
    assert!(ends.len() == 3 || seeds < 100, "{ends:?}");
}

/// Explores every order of events from the point at which one or two members begin to promote the second
/// stage: messages (any of which may be lost), writes, one halt and one kill at any member, with the last
/// record kept or lost.
#[derive(Clone)]
struct World {
    nodes: Vec<Rc<(Rollout, u64)>>,
    disks: Vec<Vec<Record>>,
    records_in_flight: Vec<Option<(u64, Record)>>,
    messages: Vec<(usize, usize, RolloutMessage, u64)>,
    invariants: Invariants,
    halts: u8,
    kills: u8,
    ticks: u8,
    now: Time,
    exploring: bool,
}

struct FnvWriter(fnv::FnvHasher);

impl std::fmt::Write for FnvWriter {
    fn write_str(&mut self, s: &str) -> std::fmt::Result {
        std::hash::Hasher::write(&mut self.0, s.as_bytes());
        Ok(())
    }
}

fn hash_debug(what: &dyn std::fmt::Debug) -> u64 {
    let mut hash = FnvWriter(fnv::FnvHasher::default());
    std::fmt::Write::write_fmt(&mut hash, format_args!("{what:?}")).unwrap();
    std::hash::Hasher::finish(&hash.0)
}

impl World {
    fn call(&mut self, i: usize, call: impl FnOnce(&mut Rollout)) -> Result<(), String> {
        let mut rollout = self.nodes[i].0.clone();
        call(&mut rollout);
        while let Some(effect) = rollout.next_effect() {
            match effect {
                // While exploring, no member learns of a halt by a status, which is the worst case.
                Effect::Send { message: RolloutMessage::Hello(_), .. } if self.exploring => {}
                Effect::Send { to, message } => {
                    if matches!(message, RolloutMessage::Accepted { .. }) {
                        let at = rollout.state().accepted.map_or(0, |(_, step)| step.at);
                        self.invariants.acked.insert(MemberId(i as u64 + 1), at);
                    }
                    let hash = hash_debug(&(i, to, &message));
                    if !self.messages.iter().any(|(.., other)| *other == hash) {
                        self.messages.push((i, to.0 as usize - 1, message, hash));
                    }
                }
                Effect::Store { ticket, record } => self.records_in_flight[i] = Some((ticket, record)),
                _ => {}
            }
        }
        self.invariants.check_member(MemberId(i as u64 + 1), rollout.state())?;
        let hash = hash_debug(&rollout);
        self.nodes[i] = Rc::new((rollout, hash));
        Ok(())
    }

    fn begin_exploration(&mut self) {
        self.exploring = true;
        self.messages.retain(|(.., message, _)| !matches!(message, RolloutMessage::Hello(_)));
    }

    fn fingerprint(&self) -> u64 {
        let mut hashes: Vec<u64> = self.messages.iter().map(|(.., hash)| *hash).collect();
        hashes.sort_unstable();
        let nodes: Vec<u64> = self.nodes.iter().map(|node| node.1).collect();
        hash_debug(&(
            nodes,
            hashes,
            self.records_in_flight.iter().map(|record| record.is_some()).collect::<Vec<_>>(),
            self.halts,
            self.kills,
        ))
    }

    fn write_record(&mut self, now: Time, i: usize) -> Result<(), String> {
        let Some((ticket, record)) = self.records_in_flight[i].take() else { return Ok(()) };
        self.disks[i].push(record);
        self.call(i, |rollout| rollout.record_written(now, ticket, true))
    }

    /// All events that may come next.
    fn next_events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = (0..self.messages.len()).map(Event::Deliver).collect();
        let nodes = 0..self.nodes.len();
        events.extend(nodes.clone().filter(|i| self.records_in_flight[*i].is_some()).map(Event::WriteRecord));
        events.extend(nodes.clone().filter(|_| self.halts > 0).map(Event::Halt));
        let kill = |i| [Event::Kill(i, true), Event::Kill(i, false)];
        events.extend(nodes.clone().filter(|_| self.kills > 0).flat_map(kill));
        events.extend(nodes.filter(|_| self.ticks > 0).map(Event::Tick));
        events
    }

    fn apply(&mut self, listed: &Listed, event: Event) -> Result<(), String> {
        let now = self.now;
        match event {
            Event::Deliver(n) => {
                let (from, to, message, _) = self.messages.swap_remove(n);
                self.call(to, |rollout| rollout.receive(now, MemberId(from as u64 + 1), message))
            }
            Event::WriteRecord(i) => self.write_record(now, i),
            Event::Tick(i) => {
                self.ticks -= 1;
                self.now = now + Span::millis(500);
                self.call(i, |rollout| rollout.tick(now + Span::millis(500)))
            }
            Event::Halt(i) => {
                self.halts -= 1;
                self.call(i, |rollout| drop(rollout.order(now, Order::Halt)))
            }
            Event::Kill(i, keeps) => {
                self.kills -= 1;
                if let Some((_, record)) = self.records_in_flight[i].take() {
                    if keeps {
                        self.disks[i].push(record);
                    }
                } else if !keeps {
                    // A store that lost its last synced record.
                    self.disks[i].pop();
                }
                let id = MemberId(i as u64 + 1);
                let last = self.disks[i].iter().rev().find_map(|record| match record {
                    Record::State(state) => Some(state.halt.is_some()),
                    Record::Document(_) => None,
                });
                if last != Some(true) {
                    self.invariants.halts.retain(|(who, _), _| *who != id);
                }
                let records = self.disks[i].clone();
                let rollout =
                    Rollout::new(settings(), id, listed[i].1, Incarnation(9), listed, records, 1, now);
                self.nodes[i] = Rc::new((rollout, 0));
                self.call(i, |rollout| rollout.tick(now))
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Deliver(usize),
    WriteRecord(usize),
    Halt(usize),
    Kill(usize, bool),
    Tick(usize),
}

/// Runs until the promotion begins; with two runners, the second one does not receive the first one's
/// statuses.
fn run_until_promotion(listed: &Listed, runners: usize) -> World {
    let mut now = Time(1_000_000);
    let nodes = listed.iter().enumerate().map(|(i, (id, location))| {
        let rollout = Rollout::new(settings(), *id, *location, Incarnation(1), listed, vec![], i as u64, now);
        Rc::new((rollout, 0))
    });
    let n = listed.len();
    let (disks, records_in_flight, invariants) = (vec![vec![]; n], vec![None; n], Invariants::default());
    let mut world = World {
        nodes: nodes.collect(),
        disks,
        records_in_flight,
        messages: vec![],
        invariants,
        halts: 1,
        kills: 0,
        ticks: 0,
        now,
        exploring: false,
    };
    let mut frozen: Vec<usize> = Vec::new();
    let mut started = false;
    for tick in 0..2000 {
        now = now + Span::millis(100);
        let step = world.nodes[0].0.state().chosen;
        let runner = world.nodes[0].0.status().runner;
        if tick > 150 && !started && (runners == 1 || runner == Some(MemberId(1))) {
            started = true;
            let order = Order::Start(version(1, listed, AfterHalt::Stay));
            world.call(0, |rollout| rollout.order(now, order).unwrap()).unwrap();
        }
        for i in (0..n).filter(|i| !frozen.contains(i)).collect::<Vec<_>>() {
            let figures = Figures { visits: 50, in_time: 48, ..Figures::default() };
            if tick % 5 == 0 {
                world.call(i, |rollout| rollout.add_figures(now, figures)).unwrap();
            }
            world.call(i, |rollout| rollout.tick(now)).unwrap();
            let prepares = |(from, _, message, _): &(usize, usize, RolloutMessage, u64)| {
                *from == i && matches!(message, RolloutMessage::Prepare(_))
            };
            if step.at == 1 && world.nodes[i].0.status().step.at == 1 && world.messages.iter().any(prepares) {
                frozen.push(i);
            }
        }
        if frozen.len() == runners {
            world.now = now;
            return world;
        }
        while let Some(n) =
            world.messages.iter().position(|(from, to, ..)| !frozen.contains(to) && !frozen.contains(from))
        {
            let (from, to, message, _) = world.messages.swap_remove(n);
            if !(runners == 2
                && started
                && step.at == 1
                && from == 0
                && to == 1
                && matches!(message, RolloutMessage::Hello(_)))
            {
                world.call(to, |rollout| rollout.receive(now, MemberId(from as u64 + 1), message)).unwrap();
            }
            for i in 0..world.nodes.len() {
                while world.records_in_flight[i].is_some() && !frozen.contains(&i) {
                    world.write_record(now, i).unwrap();
                }
            }
        }
        for i in (0..n).filter(|i| !frozen.contains(i)).collect::<Vec<_>>() {
            while world.records_in_flight[i].is_some() {
                world.write_record(now, i).unwrap();
            }
        }
    }
    panic!("no promotion began");
}

#[test]
fn every_order_of_a_promotion_and_a_halt_keeps_the_invariants() {
    let listed = fleet(3, 3);
    let mut first = run_until_promotion(&listed, 1);
    first.begin_exploration();
    let mut seen = HashSet::from([first.fingerprint()]);
    let (mut left, mut promoted) = (vec![first], false);
    while let Some(world) = left.pop() {
        promoted |= world.invariants.steps.values().any(|step| step.stage > 0 && step.promotes());
        for event in world.next_events() {
            let mut after = world.clone();
            after.apply(&listed, event).unwrap();
            if seen.insert(after.fingerprint()) {
                left.push(after);
            }
        }
    }
    println!("{} states", seen.len());
    assert!(promoted && seen.len() > 1000);
}

/// Random orders of cases that are too large to explore fully: two promotions, or a promotion against a
/// rollback, each with a kill.
#[test]
fn random_orders_of_concurrent_changes_keep_the_invariants() {
    let walks: u64 = std::env::var("ROLLOUT_WALKS").ok().and_then(|walks| walks.parse().ok()).unwrap_or(300);
    // One member promotes, or two do, or one promotes and another rolls back, or one halts and another rolls
    // back.
    for (members, runners, back, halt, kills) in [
        (3, 2, false, false, 0),
        (3, 2, false, false, 1),
        (3, 1, true, false, 1),
        (3, 1, true, true, 1),
        (5, 1, true, true, 1),
    ] {
        let listed = fleet(members, 3);
        let mut first = run_until_promotion(&listed, runners);
        let (now, runner) = (first.now, first.nodes[0].0.status().runner.unwrap().0 as usize - 1);
        if halt {
            first.call(runner, |rollout| rollout.order(now, Order::Halt).unwrap()).unwrap();
            first.call(runner, |rollout| rollout.tick(now)).unwrap();
            first.call(runner, |rollout| rollout.tick(now)).unwrap();
        }
        if back {
            let other = (runner + 1) % members as usize;
            first.call(other, |rollout| rollout.order(now, Order::Back).unwrap()).unwrap();
            first.call(other, |rollout| rollout.tick(now)).unwrap();
        }
        (first.kills, first.ticks, first.halts) = (kills, 8, u8::from(!halt));
        first.begin_exploration();
        let mut ends: BTreeSet<Vec<(u16, Phase)>> = BTreeSet::new();
        for seed in 0..walks {
            let (mut world, mut rng) = (first.clone(), Pcg64Mcg::seed_from_u64(seed));
            while let Some(event) = world.next_events().choose(&mut rng).copied() {
                let rare = matches!(event, Event::Halt(_) | Event::Kill(..) | Event::Tick(_));
                if rare && !(world.messages.is_empty() || rng.gen_bool(0.03)) {
                    continue;
                }
                world.apply(&listed, event).unwrap_or_else(|why| {
                    panic!(
                        "{members} members, {runners} runners, back {back}, halt {halt}, seed {seed}: {why}"
                    )
                });
            }
            let steps: Vec<(u16, Phase)> =
                world.invariants.steps.values().map(|step| (step.stage, step.phase)).collect();
            let promoting = world.invariants.steps.values().filter(|step| step.promotes()).count();
            assert!(promoting <= 2, "seed {seed}: promoted twice: {steps:?}");
            ends.insert(steps);
        }
        println!("{members} members, {runners} runners, back {back}, halt {halt}, {kills} kills: {ends:?}");
        assert!(ends.len() > 1);
    }
}

/// A member accepts a rollback with one other, loses the record in a kill, and then hears only the third,
/// which would halt.
#[test]
fn a_member_that_lost_its_record_abstains() {
    let listed = fleet(3, 3);
    let mut world = run_until_promotion(&listed, 1);
    world.begin_exploration();
    (world.kills, world.ticks) = (1, 100);
    let now = world.now;
    let third = world.nodes[0].0.status().runner.unwrap().0 as usize - 1;
    let (other, restarted) = ((third + 1) % 3, (third + 2) % 3);
    let run_among = |world: &mut World, among: [usize; 2]| {
        for _ in 0..4 {
            for i in among {
                world.apply(&listed, Event::Tick(i)).unwrap();
            }
            while let Some(n) =
                world.messages.iter().position(|(from, to, ..)| among.contains(from) && among.contains(to))
            {
                world.apply(&listed, Event::Deliver(n)).unwrap();
                among.into_iter().for_each(|i| world.write_record(now, i).unwrap());
            }
            among.into_iter().for_each(|i| world.write_record(now, i).unwrap());
        }
    };
    world.call(other, |rollout| rollout.order(now, Order::Back).unwrap()).unwrap();
    run_among(&mut world, [other, restarted]);
    assert_eq!(world.nodes[other].0.state().chosen.phase, Phase::Back);
    world.apply(&listed, Event::Kill(restarted, false)).unwrap();
    world.call(third, |rollout| rollout.order(now, Order::Halt).unwrap()).unwrap();
    run_among(&mut world, [third, restarted]);
    assert_eq!(world.nodes[third].0.state().chosen.phase, Phase::Rolling);
    run_among(&mut world, [other, restarted]);
    let node = &world.nodes[restarted].0;
    assert!(node.status().is_able && node.state().chosen.phase == Phase::Back);
}

/// A plan as older builds encode it, with locations below 256 only.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct PlanOfBytes {
    order: Vec<u8>,
    first: u16,
    hold: Span,
    visits: u64,
    after_halt: AfterHalt,
}

fn plan(places: &[u16]) -> Plan {
    let order = places.iter().copied().map(LocationId).collect();
    Plan { order, first: 250, hold: Span::seconds(2.0), visits: 20, after_halt: AfterHalt::Back }
}

fn of_bytes(order: &[u8]) -> PlanOfBytes {
    let Plan { first, hold, visits, after_halt, .. } = plan(&[]);
    PlanOfBytes { order: order.to_vec(), first, hold, visits, after_halt }
}

#[test]
fn a_plan_of_locations_below_256_keeps_its_encoding() {
    for places in [&[][..], &[0], &[1, 0], &[255, 128, 127, 3]] {
        let bytes: Vec<u8> = places.iter().map(|place| *place as u8).collect();
        let written = postcard::to_stdvec(&plan(places)).unwrap();
        assert_eq!(written, postcard::to_stdvec(&of_bytes(&bytes)).unwrap());
        assert_eq!(postcard::from_bytes::<Plan>(&written).unwrap(), plan(places));
    }
}

#[test]
fn a_plan_of_locations_above_255_is_rejected_by_older_builds() {
    for places in [&[256][..], &[255, 256], &[1_023, 0, 767, 255], &[0, 0], &[7, 7]] {
        let written = postcard::to_stdvec(&plan(places)).unwrap();
        assert_eq!(postcard::from_bytes::<Plan>(&written).unwrap(), plan(places));
        let older: PlanOfBytes = postcard::from_bytes(&written).unwrap();
        // Which name a location twice, so that no older build takes the order.
        assert_eq!(older.order[..2], [0, 0]);
    }
    let half = postcard::to_stdvec(&of_bytes(&[0, 0, 1, 1, 9])).unwrap();
    assert!(postcard::from_bytes::<Plan>(&half).is_err());
    // Digests differ even where the low bytes of the locations agree.
    let id = |places: &[u16]| Version { number: 3, text: "{}".to_owned(), plan: plan(places) }.id();
    assert_ne!(id(&[300]), id(&[44, 1]));
    assert_ne!(id(&[300]), id(&[44]));
}

/// `included_dispatchers` agrees with `includes` for each dispatcher.
#[test]
fn included_dispatchers_agrees_with_includes() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..200 {
        let (members, locations) = (rng.gen_range(1..60), rng.gen_range(1..6));
        let listed: BTreeMap<MemberId, LocationId> = (0..members)
            .map(|_| (MemberId(rng.gen()), LocationId(rng.gen_range(0..locations) * 200)))
            .collect();
        let mut version = version(rng.gen(), &listed.clone().into_iter().collect(), AfterHalt::Stay);
        version.plan.first = rng.gen_range(1..=1_000);
        for stage in 0..=version.stages() {
            let each = listed.keys().copied().filter(|id| version.includes(&listed, stage, *id));
            assert_eq!(
                each.collect::<BTreeSet<_>>(),
                version.included_dispatchers(&listed, stage),
                "stage {stage}"
            );
        }
    }
}
