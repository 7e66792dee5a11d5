//! Rules in stages: schedules with faults from seeds, and every order of events of small cases.
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::made::{Link, Network, Node};
use cherrypass_fleet::rollout::*;
use rand::Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

type Listed = Vec<(MemberId, LocationId)>;

fn set() -> Set {
    Set {
        window: Span::millis(500),
        tell_within: Span::seconds(20.0),
        patience: Span::seconds(20.0),
        ..Set::default()
    }
}

fn version(number: u64, listed: &Listed, after_halt: AfterHalt) -> Version {
    let order: BTreeSet<LocationId> = listed.iter().map(|(_, location)| *location).collect();
    let (order, hold) = (order.into_iter().rev().collect(), Span::seconds(2.0));
    let plan = Plan { order, first: 500, hold, visits: 20, after_halt };
    Version { number, text: format!("{{\"n\":{number}}}"), plan }
}

/// What a store does.
#[derive(Default)]
struct Disk {
    records: Vec<Record>,
    /// Synced, as it said, but gone at a kill.
    lies: bool,
    unsynced: Vec<Record>,
    full: bool,
}

impl Disk {
    fn keep(&mut self, record: Record) -> bool {
        if !self.full {
            self.unsynced.push(record);
            if !self.lies {
                self.records.append(&mut self.unsynced);
            }
        }
        !self.full
    }
}

struct Member {
    rollout: Rollout,
    disk: Rc<RefCell<Disk>>,
    /// Out at the disk until the next wake.
    out: Option<(u64, Record)>,
    before: u64,
    in_force: Vec<u64>,
    logs: Vec<String>,
    said: VecDeque<(MemberId, Said)>,
    wakes: u32,
    figures: Figures,
    /// The number it can't take.
    refuses: u64,
}

impl Member {
    /// After each call, so that what is told is held against what was known then.
    fn drain(&mut self) {
        while let Some(effect) = self.rollout.next() {
            match effect {
                Effect::Tell { to, said } => self.said.push_back((to, said)),
                Effect::Keep { ticket, record } => assert!(self.out.replace((ticket, record)).is_none()),
                Effect::InForce { number, .. } => {
                    let status = self.rollout.status();
                    let halted = status.halt.is_some() && status.step.phase != Phase::Back;
                    let newly = number == status.step.version.number && self.before != number;
                    assert!(!(halted && newly), "newly taken under a halt: {status:?}");
                    self.before = number;
                    self.in_force.push(number);
                }
                Effect::Log(line) => self.logs.push(line),
            }
        }
    }
}

impl Node for Member {
    type Said = Said;
    fn heard(&mut self, now: Time, from: MemberId, said: Said) {
        self.rollout.heard(now, from, said);
        self.drain();
    }
    fn woken(&mut self, now: Time) {
        self.wakes += 1;
        if let Some((ticket, record)) = self.out.take() {
            let well = self.disk.borrow_mut().keep(record);
            self.rollout.kept(now, ticket, well);
            self.drain();
        }
        if self.wakes % 5 == 0 {
            self.rollout.counted(now, self.figures);
        }
        self.rollout.woken(now);
        self.drain();
        if self.refuses > 0 && self.in_force.last() == Some(&self.refuses) {
            self.rollout.refused(now, self.refuses, "key `x` is not known");
            self.in_force.pop();
        }
    }
    fn next(&mut self, _now: Time) -> Option<(MemberId, Said)> {
        self.drain();
        self.said.pop_front()
    }
}

fn fleet(members: u64, locations: u8) -> Listed {
    (0..members).map(|i| (MemberId(i + 1), LocationId((i % u64::from(locations)) as u8))).collect()
}

struct Play {
    net: Network<Member>,
    listed: Listed,
    disks: BTreeMap<MemberId, Rc<RefCell<Disk>>>,
    incarnation: u64,
    seed: u64,
    look: Look,
}

impl Play {
    fn new(seed: u64, listed: Listed) -> Play {
        let disks = listed.iter().map(|(id, _)| (*id, Rc::default())).collect();
        let net = Network::new(seed, Span::millis(100));
        let mut play = Play { net, listed, disks, incarnation: 1, seed, look: Look::default() };
        for (id, _) in play.listed.clone() {
            play.start(id);
        }
        play
    }

    fn start(&mut self, id: MemberId) {
        self.incarnation += 1;
        let (seed, incarnation) = (self.seed ^ self.incarnation << 20, Incarnation(self.incarnation));
        let location = self.listed.iter().find(|(listed, _)| *listed == id).unwrap().1;
        let disk = self.disks[&id].clone();
        let rate = self.net.chance.gen_range(0.995..1.005);
        let listed = self.listed.clone();
        self.net.start(id, rate, |now| {
            let kept = disk.borrow().records.clone();
            let rollout = Rollout::new(set(), id, location, incarnation, &listed, kept, seed, now);
            let before = rollout.state().in_force.number;
            let figures =
                Figures { visits: 50, in_time: 48, turned_back: 1, hand_offs: 60, ..Figures::default() };
            let (in_force, logs) = (Vec::new(), Vec::new());
            Member {
                rollout,
                disk,
                out: None,
                before,
                in_force,
                logs,
                said: VecDeque::new(),
                wakes: 0,
                figures,
                refuses: 0,
            }
        });
    }

    /// The process is gone; what was out at the disk may be there or not.
    fn kill(&mut self, id: MemberId) {
        let written = self.net.chance.gen_bool(0.5);
        let out = self.net.call(id, |member, _| member.out.take()).flatten();
        let mut disk = self.disks[&id].borrow_mut();
        disk.unsynced.clear();
        if let Some((_, record)) = out.filter(|_| written && !disk.full && !disk.lies) {
            disk.records.push(record);
        }
        let last = disk.records.iter().rev().find_map(|record| match record {
            Record::State(state) => Some(state.halt.clone()),
            Record::Document(_) => None,
        });
        let on_disk = last.flatten().map(|halt| (halt.number, halt.run));
        self.look.halts.retain(|(who, key), _| *who != id || Some(*key) == on_disk);
        drop(disk);
        self.net.kill(id);
    }

    fn order(&mut self, id: MemberId, order: Order) -> Result<(), Error> {
        self.net.call(id, |member, now| member.rollout.order(now, order)).unwrap_or(Ok(()))
    }

    fn play(&mut self, seconds: f64) {
        let (seed, look) = (self.seed, &mut self.look);
        self.net.play(Span::seconds(seconds), |net| look.all(net, seed));
    }

    fn member(&self, id: u64) -> &Member {
        self.net.node(MemberId(id)).unwrap()
    }
}

/// What must hold at every moment.
#[derive(Clone, Default, Debug)]
struct Look {
    /// Steps of a majority by their count.
    steps: BTreeMap<u64, Step>,
    /// Halts by member, and up to which step it had accepted then.
    halts: BTreeMap<(MemberId, (u64, u32)), u64>,
}

impl Look {
    fn at(&mut self, id: MemberId, state: &State) -> Result<(), String> {
        let step = state.chosen;
        if let Some(halt) = &state.halt {
            let accepted = state.accepted.map_or(0, |(_, step)| step.at).max(step.at);
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

    fn all(&mut self, net: &Network<Member>, seed: u64) {
        for id in net.ids() {
            let member = net.node(id).unwrap();
            self.at(id, member.rollout.state()).unwrap_or_else(|why| panic!("seed {seed}, {id:?}: {why}"));
        }
    }
}

#[test]
fn a_harmless_version_reaches_all_in_order() {
    let mut p = Play::new(1, fleet(7, 3));
    p.play(14.0);
    let first = version(5, &p.listed, AfterHalt::Stay);
    p.order(MemberId(4), Order::Start(first.clone())).unwrap();
    p.play(60.0);
    let stages: Vec<(u16, Phase)> = p.look.steps.values().map(|step| (step.stage, step.phase)).collect();
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

/// One schedule of faults and orders, then all is mended and it must come to an end.
fn schedule(seed: u64) -> Play {
    let (members, locations) = (3 + seed % 5, 1 + (seed / 5 % 3) as u8);
    let mut p = Play::new(seed, fleet(members, locations));
    p.play(14.0);
    let any = |p: &mut Play| MemberId(p.net.chance.gen_range(1..=members));
    let liar = any(&mut p);
    if seed % 2 == 0 {
        p.disks[&liar].borrow_mut().lies = true;
    }
    let slowest = Span::millis([5, 50, 800][(seed % 3) as usize]);
    p.net.link = Link { lost: 0.25 * (seed % 4) as f64 / 3.0, twice: 0.1, delay: [Span::millis(1), slowest] };
    let mut number = 1;
    let starter = any(&mut p);
    let _ = p.order(starter, Order::Start(version(number, &p.listed, AfterHalt::Stay)));
    let mut dead: Vec<MemberId> = Vec::new();
    for _ in 0..30 {
        let pause = p.net.chance.gen_range(0.05..2.5);
        p.play(pause);
        let (one, other) = (any(&mut p), any(&mut p));
        match p.net.chance.gen_range(0..22) {
            0..=2 if !dead.contains(&one) => {
                p.kill(one);
                dead.push(one);
            }
            3..=6 => dead.drain(..).for_each(|id| p.start(id)),
            7..=8 => {
                p.net.cut.insert((one, other));
            }
            9 => {
                let all: Vec<MemberId> = p.net.ids();
                p.net.cut.extend(all.iter().flat_map(|id| [(*id, one), (one, *id)]));
            }
            10..=12 => p.net.cut.clear(),
            13 => {
                let span = Span::seconds(p.net.chance.gen_range(0.1..12.0));
                p.net.stop(one, span);
            }
            14 => {
                let mut disk = p.disks[&one].borrow_mut();
                disk.full = !disk.full;
            }
            15 => {
                let _ = p.order(one, Order::Halt);
            }
            16..=18 => {
                let _ = p.order(one, Order::Resume);
            }
            19 => {
                number += 1;
                let after_halt = if number % 2 == 0 { AfterHalt::Back } else { AfterHalt::Stay };
                let _ = p.order(one, Order::Start(version(number, &p.listed, after_halt)));
            }
            20 if seed % 3 == 0 => {
                let _ = p.order(one, Order::Back);
            }
            _ => {}
        }
    }
    p.net.link = Link::default();
    p.net.cut.clear();
    for disk in p.disks.values() {
        disk.borrow_mut().full = false;
    }
    dead.drain(..).for_each(|id| p.start(id));
    p.play(150.0);
    p
}

#[test]
fn schedules_with_faults() {
    let seeds = std::env::var("ROLLOUT_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(300);
    let first: u64 = std::env::var("ROLLOUT_FIRST").ok().and_then(|first| first.parse().ok()).unwrap_or(0);
    let mut ends = BTreeMap::new();
    for seed in first..first + seeds {
        let p = schedule(seed);
        let last = p.look.steps.values().next_back().copied().unwrap_or_default();
        for (id, _) in &p.listed {
            let member = p.member(id.0);
            let status = member.rollout.status();
            assert_eq!(status.step, last, "seed {seed} {id:?}: {status:?}");
            if last.phase == Phase::Rolling {
                for (id, _) in &p.listed {
                    let member = p.member(id.0);
                    println!("{id:?} {:?} {:?}", member.rollout.status(), member.logs);
                }
                panic!("seed {seed}: has not ended");
            }
            let due = match last.phase {
                Phase::Full => Some(last.version.number),
                Phase::Back => Some(last.base.number),
                _ => None,
            };
            assert!(
                due.is_none_or(|due| due == status.in_force),
                "seed {seed}: {id:?} has not what is due: {status:?}"
            );
        }
        *ends.entry(last.phase).or_insert(0) += 1;
    }
    println!("ends: {ends:?}");
    assert!(ends.len() == 3 || seeds < 100, "{ends:?}");
}
