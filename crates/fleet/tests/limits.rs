//! Fleet-wide limits: the sum of all allowances stays within the limit in random schedules on a simulated
//! network, and in all event orders of small cases.
use cherrypass::ids::HostId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::limits::{Allowance, Effect, Guard, LimitKey, Limits, Message, Settings};
use cherrypass_fleet::simulation::{Link, Network, Node};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::fmt::{Debug, Write};
use std::hash::Hasher;
use std::rc::Rc;

const TOTAL: f64 = 10.0;
const COLD: LimitKey = LimitKey::ColdHost(HostId(7));
const GUARDS: [Guard; 5] =
    [Guard::StartDelay, Guard::LeaseFromRequest, Guard::ReduceBeforeLending, Guard::Drain, Guard::AllLoans];

fn settings() -> Settings {
    Settings {
        origin: Some(TOTAL),
        retries_per_s: Some(TOTAL),
        limits_cold_hosts: true,
        lease: Span::millis(1000),
        drain: Span::millis(300),
        window: Span::millis(300),
        ..Settings::default()
    }
}

/// An allowance of one run, in true time.
#[derive(Clone, Copy, Debug)]
struct Allowed {
    from: Time,
    allowance: Allowance,
    end: Option<Time>,
}

/// What each run may have in use. An allowance counts for as long as hand-offs begun under it may be running.
#[derive(Clone, Debug, Default)]
struct Uses(BTreeMap<(MemberId, Incarnation, LimitKey), Vec<Allowed>>);

impl Uses {
    /// The end of the allowance is in true time.
    fn add(&mut self, who: (MemberId, Incarnation, LimitKey), from: Time, allowance: Allowance) {
        let allowed = self.0.entry(who).or_default();
        if let Some(last) = allowed.last_mut() {
            last.end = Some(from);
        }
        allowed.push(Allowed { from, allowance, end: None });
    }

    fn end_run(&mut self, who: MemberId, at: Time) {
        let runs = self.0.iter_mut().filter(|(key, _)| key.0 == who);
        let last_allowed = runs.filter_map(|(_, allowed)| allowed.last_mut());
        last_allowed.filter(|last| last.end.is_none()).for_each(|last| last.end = Some(at));
    }

    /// The most that may be in use now: for each run, its greatest allowance within the drain.
    fn sum(&mut self, now: Time, drain: Span, key: LimitKey) -> f64 {
        let since = now - drain;
        self.0.retain(|_, runs_allowed| {
            runs_allowed.retain(|allowed| allowed.end.is_none_or(|end| end > since));
            !runs_allowed.is_empty()
        });
        let greatest = |allowed: &Allowed| {
            let (first, last) = (allowed.from.max(since), allowed.end.unwrap_or(now));
            let Allowance { amount, until, after } = allowed.allowance;
            let before_end = if first < until { amount } else { 0.0 };
            before_end.max(if last >= until { after } else { 0.0 })
        };
        let runs_of_key = self.0.iter().filter(|(who, _)| who.2 == key);
        runs_of_key.map(|(_, allowed)| allowed.iter().map(greatest).fold(0.0, f64::max)).sum()
    }
}

type Applied = Rc<RefCell<Vec<(MemberId, Incarnation, LimitKey, Allowance, Time)>>>;

/// A member and its dispatcher, which applies an allowance at once or in the next round. May be two processes
/// under one name, as after an operator's mistake.
struct Member {
    runs: Vec<(Limits, Incarnation)>,
    id: MemberId,
    demands: BTreeMap<LimitKey, f64>,
    applies_late: bool,
    to_apply: Vec<(usize, LimitKey, Allowance)>,
    applied: Applied,
}

impl Member {
    fn apply(&mut self, now: Time) {
        for (run, key, allowance) in std::mem::take(&mut self.to_apply) {
            let (limits, incarnation) = &mut self.runs[run];
            self.applied.borrow_mut().push((self.id, *incarnation, key, allowance, now));
            limits.confirm_applied(now, key);
        }
    }
}

impl Node for Member {
    type Message = Message;
    fn receive(&mut self, now: Time, from: MemberId, message: Message) {
        self.runs.iter_mut().for_each(|run| run.0.receive(now, from, message.clone()));
    }
    fn tick(&mut self, now: Time) {
        self.apply(now);
        for (limits, _) in &mut self.runs {
            self.demands.iter().for_each(|(key, demand)| limits.set_demand(now, *key, *demand));
            limits.tick(now);
        }
    }
    fn next_message(&mut self, now: Time) -> Option<(MemberId, Message)> {
        while let Some((run, effect)) =
            self.runs.iter_mut().enumerate().find_map(|(i, run)| Some((i, run.0.next_effect()?)))
        {
            match effect {
                Effect::Send { to, message } => return Some((to, message)),
                Effect::Allowance { key, amount, until, after } => {
                    self.to_apply.push((run, key, Allowance { amount, until, after }));
                    if !self.applies_late {
                        self.apply(now);
                    }
                }
                Effect::Log(_) => {}
            }
        }
        None
    }
}

struct Simulation {
    network: Network<Member>,
    members: Vec<MemberId>,
    rates: BTreeMap<MemberId, f64>,
    uses: Uses,
    applied: Applied,
    guard: Option<Guard>,
    starts: u64,
    keys: Vec<LimitKey>,
    most: f64,
    applies_late: bool,
    /// The settings of processes started from now on.
    listed: Vec<MemberId>,
    total: f64,
    /// The initial limit; `most` is a fraction of it.
    unit: f64,
}

impl Simulation {
    /// One seed in four has shares below one hand-off, which are collected by draw.
    fn new(seed: u64, n: usize, keys: &[LimitKey], guard: Option<Guard>) -> Simulation {
        let total = if seed % 4 == 3 { 1.0 } else { TOTAL };
        let members: Vec<MemberId> = (0..n).map(|i| MemberId::of(&format!("d{i}"))).collect();
        let mut simulation = Simulation {
            network: Network::new(seed, settings().interval),
            rates: BTreeMap::new(),
            members: members.clone(),
            listed: members.clone(),
            total,
            unit: total,
            uses: Uses::default(),
            applied: Applied::default(),
            guard,
            starts: 0,
            keys: keys.to_vec(),
            most: 0.0,
            applies_late: seed % 2 == 1,
        };
        for id in members {
            let rates = [0.99, 1.01, simulation.network.rng.gen_range(0.99..=1.01)];
            let rate = rates[simulation.network.rng.gen_range(0..3)];
            simulation.rates.insert(id, rate);
            simulation.start(id);
        }
        simulation
    }

    fn start(&mut self, id: MemberId) {
        self.uses.end_run(id, self.network.now);
        let rate = *self.rates.entry(id).or_insert(1.0);
        let (new, applied, late) = (self.limits(id), self.applied.clone(), self.applies_late);
        self.network.start(id, rate, |now| Member {
            runs: vec![new(now)],
            id,
            demands: BTreeMap::new(),
            applies_late: late,
            to_apply: Vec::new(),
            applied,
        });
    }

    /// Starts a second process under the same name.
    fn start_second_process(&mut self, id: MemberId) {
        let new = self.limits(id);
        self.network.call(id, |member, now| member.runs.push(new(now)));
    }

    fn limits(&mut self, id: MemberId) -> impl FnOnce(Time) -> (Limits, Incarnation) {
        self.starts += 1;
        let (incarnation, seed) = (Incarnation(self.starts), self.network.rng.gen());
        let (listed, guard) = (self.listed.clone(), self.guard);
        let settings = Settings { origin: Some(self.total), retries_per_s: Some(self.total), ..settings() };
        move |now| {
            (Limits::new(settings, id, incarnation, &listed, seed, now).without_guard(guard), incarnation)
        }
    }

    fn set_demand(&mut self, id: MemberId, key: LimitKey, demand: f64) {
        self.network.call(id, |member, _| member.demands.insert(key, demand));
    }

    fn run(&mut self, span: Span) {
        let Simulation { network, uses, applied, rates, keys, most, unit, .. } = self;
        network.run(span, |network| {
            let changed = !applied.borrow().is_empty();
            for (id, incarnation, key, allowance, clock) in applied.borrow_mut().drain(..) {
                let until = network.now + (allowance.until - clock).times(1.0 / rates[&id]);
                uses.add((id, incarnation, key), network.now, Allowance { until, ..allowance });
            }
            if changed {
                for key in keys.iter() {
                    let unit = if *key == COLD { 1.0 } else { *unit };
                    *most = most.max(uses.sum(network.now, settings().drain, *key) / unit);
                }
            }
        });
    }
}

/// Loss, duplicates, reordering, delays of seconds, one-way cuts, pauses longer than a lease, immediate
/// restarts.
fn schedule(seed: u64, guard: Option<Guard>) -> f64 {
    let keys = [LimitKey::Origin, LimitKey::Retries, COLD];
    let mut simulation = Simulation::new(seed, 2 + seed as usize % 5, &keys[..1 + seed as usize % 3], guard);
    inject_faults(&mut simulation, seed, 25);
    simulation.most
}

fn inject_faults(simulation: &mut Simulation, seed: u64, steps: usize) {
    let n = simulation.members.len();
    let mut rng = Pcg64Mcg::seed_from_u64(!seed);
    for _ in 0..steps {
        let id = simulation.members[rng.gen_range(0..n)];
        let other = simulation.members[rng.gen_range(0..n)];
        match rng.gen_range(0..10) {
            0..=3 => {
                let key = simulation.keys[rng.gen_range(0..simulation.keys.len())];
                let demand = [0.0, 0.1, 1.0 / n as f64, 0.6, 1.0, 9.0][rng.gen_range(0..6)];
                let unit = if key == COLD { 1.0 } else { simulation.unit };
                simulation.set_demand(id, key, demand * unit);
            }
            4 => drop(simulation.network.cut.insert((id, other))),
            5 => simulation.network.cut.clear(),
            6 => simulation.network.pause(id, Span::millis(rng.gen_range(100..3000))),
            7 => simulation.start(id),
            _ => {
                let most = [5, 100, 3000][rng.gen_range(0..3)];
                let delay = [Span::millis(1), Span::millis(most)];
                let rate = rng.gen_range(0.0..0.3);
                simulation.network.link = Link { loss_rate: rate, duplication_rate: rate, delay };
            }
        }
        simulation.run(Span::millis(rng.gen_range(50..1000)));
    }
}

#[test]
fn seeded_schedules_keep_the_sum_within_the_limit() {
    let most = (0..2000).map(|seed| (schedule(seed, None), seed)).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap();
    assert!(most.0 <= 1.0 + 1e-9, "seed {}: {} in sum", most.1, most.0);
    assert!(most.0 > 0.95, "the limit is hardly used");
}

#[test]
fn schedules_exceed_the_limit_without_any_one_guard() {
    for guard in GUARDS {
        let violating_seed = (0..2000).find(|seed| schedule(*seed, Some(guard)) > 1.0 + 1e-6);
        println!("without {guard:?}: seed {violating_seed:?}");
        assert!(violating_seed.is_some(), "{guard:?}");
    }
}

/// The stated bounds in the cases where the limit can be exceeded: a second process under one name adds one
/// share, and with different lists or limits the sum stays within the formula of docs/fleet-limits.md.
#[test]
fn an_excess_stays_within_the_documented_bounds() {
    let mut highest = [0.0f64; 3];
    for seed in 0..600 {
        let n = 2 + seed as usize % 4;
        let mut simulation = Simulation::new(seed, n, &[LimitKey::Origin], None);
        let (id, new) = (simulation.members[0], MemberId::of("new"));
        let kind = seed as usize / 4 % 3;
        let bound = match kind {
            0 => {
                simulation.run(Span::millis(2000));
                simulation.start_second_process(id);
                1.0 + 1.0 / n as f64
            }
            1 => {
                // One more member is listed, and the others get the new list at different times.
                simulation.run(Span::millis(2000));
                simulation.listed.push(new);
                simulation.members.push(new);
                simulation.start(new);
                1.0 + 1.0 / (n as f64 + 1.0)
            }
            _ => {
                simulation.run(Span::millis(2000));
                simulation.total *= 2.0;
                2.0
            }
        };
        inject_faults(&mut simulation, seed, 20);
        assert!(simulation.most <= bound + 1e-9, "seed {seed}: {} above {bound}", simulation.most);
        highest[kind] = highest[kind].max(simulation.most / bound);
    }
    println!("highest against the bound: {highest:?}");
    assert!(highest.iter().all(|highest| *highest > 0.95));
}

/// One of eight members with all the demand gets 95% of the limit within 1 s, keeps it, and returns it when
/// the others have demand.
#[test]
fn one_member_borrows_unused_shares_and_returns_them() {
    for seed in (0..20).map(|i| i * 4 + i % 2) {
        let mut simulation = Simulation::new(seed, 8, &[LimitKey::Origin], None);
        let members = simulation.members.clone();
        let allowance = |simulation: &Simulation, id: &MemberId| {
            let clock = simulation.network.clock(*id).unwrap();
            simulation.network.node(*id).unwrap().runs[0].0.allowance(clock, LimitKey::Origin).at(clock)
        };
        simulation.run(Span::millis(2000));
        simulation.set_demand(members[3], LimitKey::Origin, 9.0 * TOTAL);
        simulation.run(Span::millis(1000));
        for _ in 0..100 {
            simulation.run(Span::millis(50));
            assert!(
                allowance(&simulation, &members[3]) > 0.95 * TOTAL,
                "seed {seed}: {}",
                allowance(&simulation, &members[3])
            );
        }
        members.iter().for_each(|id| simulation.set_demand(*id, LimitKey::Origin, 9.0 * TOTAL));
        simulation.run(Span::millis(3000));
        for id in &members {
            let allowance = allowance(&simulation, id);
            assert!((0.11..0.14).contains(&(allowance / TOTAL)), "seed {seed}: {allowance}");
        }
    }
}

/// Invalid messages of a faulty peer change no allowance, and memory stays bounded.
#[test]
fn invalid_messages_are_rejected() {
    let listed = [MemberId(1), MemberId(2)];
    let mut limits = Limits::new(settings(), listed[0], Incarnation(1), &listed, 1, Time(0));
    let now = Time(10_000_000);
    limits.tick(now);
    let before = limits.allowance(now, LimitKey::Origin);
    let amounts = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300];
    for i in 0..5_000 {
        let (amount, key) = (amounts[i as usize % 5], LimitKey::ColdHost(HostId(i)));
        let (incarnation, serial, span) = (Incarnation(i % 2), i, Span(u64::MAX >> (i % 64)));
        let messages = [
            Message::Request { incarnation, serial, key, amount, span },
            Message::Grant {
                incarnation,
                serial,
                key: LimitKey::Origin,
                amount,
                span,
                wait: Some(span),
                needs: true,
            },
        ];
        for message in messages {
            limits.receive(now, MemberId(2 + i % 3), message);
        }
    }
    limits.tick(now);
    let effects = std::iter::from_fn(|| limits.next_effect());
    let allowances: Vec<Effect> =
        effects.filter(|effect| matches!(effect, Effect::Allowance { .. })).collect();
    assert!(allowances.len() <= 2 + settings().max_cold_hosts, "{}", allowances.len());
    assert_eq!(before.at(now), limits.allowance(now, LimitKey::Origin).at(now));
    assert!(Settings { floor_fraction: f64::NAN, ..settings() }.check(listed[0], &listed).is_err());
    assert!(settings().check(MemberId(3), &listed).is_err());
}

/// All hosts of a fleet are cold at once: all are tracked, the requests of a round are bounded, and every
/// host gets some.
#[test]
fn a_thousand_cold_hosts_share_the_requests_of_a_round() {
    let listed: Vec<MemberId> = (1..=1_024).map(MemberId).collect();
    let (settings, hosts) = (settings(), 1_024);
    let most = (settings.max_requests + settings.max_requests_per_key) as usize;
    let mut limits = Limits::new(settings, listed[0], Incarnation(1), &listed, 1, Time(0));
    let (mut now, mut requested) = (Time(10_000_000), BTreeMap::new());
    for round in 0..40 {
        now = now + Span::millis(50);
        (0..hosts).for_each(|host| limits.set_demand(now, LimitKey::ColdHost(HostId(host)), 1.0));
        limits.tick(now);
        let before: usize = requested.values().sum();
        while let Some(effect) = limits.next_effect() {
            if let Effect::Send { message: Message::Request { key, .. }, .. } = effect {
                *requested.entry(key).or_insert(0) += 1;
            }
        }
        let requests = requested.values().sum::<usize>() - before;
        assert!(requests <= most, "round {round}: {requests} requests");
    }
    assert_eq!(requested.len(), hosts as usize);
    let (least, most) = (requested.values().min().unwrap(), requested.values().max().unwrap());
    assert!(most <= &(4 * least), "{least} requests for one host, {most} for another");
}

/// A member of a small case.
#[derive(Clone, Debug)]
struct CaseMember {
    limits: Limits,
    incarnation: Incarnation,
    is_paused: bool,
    demand: f64,
}

/// A small case of which all event orders are explored: ticks of about a third of a lease, late, duplicate
/// and lost messages, restarts, pauses, and a lender that needs its share again.
#[derive(Clone, Debug)]
struct Case {
    now: Time,
    members: Vec<CaseMember>,
    in_flight: Vec<(usize, usize, Message)>,
    uses: Uses,
    fingerprints: Vec<u64>,
    most: f64,
    guard: Option<Guard>,
    steps_left: StepCounts,
}

/// How often each kind of step may still occur.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StepCounts {
    ticks: u8,
    restarts: u8,
    pauses: u8,
    demand_changes: u8,
    duplicates: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    Deliver(usize),
    DeliverDuplicate(usize),
    Restart(usize),
    Pause(usize),
    ChangeDemand(usize),
}

const TICK: Span = Span::millis(400);
const DRAIN: Span = Span::millis(500);
const LEASE: Span = Span::millis(1100);
const RATES: [f64; 3] = [0.99, 1.01, 1.0];

impl Case {
    fn new(parameters: CaseParameters, guard: Option<Guard>) -> Case {
        let CaseParameters { members: n, others_can_lend, steps } = parameters;
        let now = Time(1_000_000);
        let members = (0..n).map(|i| CaseMember {
            limits: Case::limits(n, i, Incarnation(1), now, guard),
            incarnation: Incarnation(1),
            is_paused: false,
            demand: 0.0,
        });
        let members = members.collect();
        let mut case = Case {
            now,
            members,
            in_flight: Vec::new(),
            uses: Uses::default(),
            fingerprints: vec![0; n],
            most: 0.0,
            guard,
            steps_left: step_counts(40, 0, 0, 0, 0),
        };
        // After the start delay, with one request received, if `others_can_lend` long enough ago for that.
        (0..7).for_each(|_| case.step(Step::Tick));
        case.members[0].demand = TOTAL;
        case.step(Step::Tick);
        while !case.in_flight.is_empty() {
            case.step(Step::Deliver(0));
        }
        if others_can_lend {
            case.members[0].demand = 0.0;
            (0..4).for_each(|_| case.step(Step::Tick));
            case.members[0].demand = TOTAL;
        }
        case.steps_left = steps;
        case
    }

    fn limits(n: usize, i: usize, incarnation: Incarnation, now: Time, guard: Option<Guard>) -> Limits {
        let listed: Vec<MemberId> = (0..n as u64).map(MemberId).collect();
        let settings = Settings { interval: Span::millis(10), lease: LEASE, drain: DRAIN, ..settings() };
        let clock = Time(0) + Span(now.0).times(RATES[i]);
        Limits::new(settings, listed[i], incarnation, &listed, i as u64, clock).without_guard(guard)
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let n = self.members.len();
        for i in 0..self.in_flight.len().max(n) {
            if self.in_flight.get(i).is_some_and(|(_, to, ..)| !self.members[*to].is_paused) {
                steps.push(Step::Deliver(i));
                steps.extend((self.steps_left.duplicates > 0).then_some(Step::DeliverDuplicate(i)));
            }
            if i < n {
                steps.extend((self.steps_left.restarts > 0).then_some(Step::Restart(i)));
                steps.extend(
                    (self.steps_left.pauses > 0 || self.members[i].is_paused).then_some(Step::Pause(i)),
                );
                steps.extend((self.steps_left.demand_changes > 0 && i > 0).then_some(Step::ChangeDemand(i)));
            }
        }
        steps.extend((self.steps_left.ticks > 0).then_some(Step::Tick));
        steps
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick => {
                self.steps_left.ticks -= 1;
                self.now = self.now + TICK;
                for i in 0..self.members.len() {
                    let clock = self.clock(i);
                    let CaseMember { limits, is_paused, demand, .. } = &mut self.members[i];
                    if !*is_paused {
                        limits.set_demand(clock, LimitKey::Origin, *demand);
                        limits.tick(clock);
                        self.pull(i);
                    }
                }
            }
            Step::Deliver(at) | Step::DeliverDuplicate(at) => {
                let (from, to, message) = self.in_flight[at].clone();
                if step == Step::Deliver(at) {
                    self.in_flight.remove(at);
                } else {
                    self.steps_left.duplicates -= 1;
                }
                let clock = self.clock(to);
                self.members[to].limits.receive(clock, MemberId(from as u64), message);
                self.pull(to);
            }
            Step::Restart(i) => {
                self.steps_left.restarts -= 1;
                self.uses.end_run(MemberId(i as u64), self.now);
                let incarnation = Incarnation(self.members[i].incarnation.0 + 1);
                let limits = Case::limits(self.members.len(), i, incarnation, self.now, self.guard);
                let demand = self.members[i].demand;
                self.members[i] = CaseMember { limits, incarnation, is_paused: false, demand };
                self.pull(i);
            }
            Step::Pause(i) => {
                self.steps_left.pauses -= u8::from(!self.members[i].is_paused);
                self.members[i].is_paused ^= true;
            }
            Step::ChangeDemand(i) => {
                self.steps_left.demand_changes -= 1;
                self.members[i].demand = 0.2 * TOTAL - self.members[i].demand;
            }
        }
        self.most = self.most.max(self.uses.sum(self.now, DRAIN, LimitKey::Origin));
    }

    fn clock(&self, i: usize) -> Time {
        Time(0) + Span(self.now.0).times(RATES[i])
    }

    fn pull(&mut self, i: usize) {
        let clock = self.clock(i);
        let CaseMember { limits, incarnation, .. } = &mut self.members[i];
        while let Some(effect) = limits.next_effect() {
            match effect {
                Effect::Send { to, message } => self.in_flight.push((i, to.0 as usize, message)),
                Effect::Allowance { key, amount, until, after } => {
                    let until = self.now + (until - clock).times(1.0 / RATES[i]);
                    self.uses.add(
                        (MemberId(i as u64), *incarnation, key),
                        self.now,
                        Allowance { amount, until, after },
                    );
                    limits.confirm_applied(clock, key);
                }
                Effect::Log(_) => {}
            }
        }
        self.fingerprints[i] = fingerprint(&self.members[i].limits);
        // Older messages are lost.
        let over = self.in_flight.len().saturating_sub(self.members.len());
        self.in_flight.drain(..over);
    }

    fn fingerprint(&self) -> u64 {
        let state: Vec<_> = self.members.iter().map(|member| (&member.is_paused, &member.demand)).collect();
        fingerprint(&(&self.fingerprints, state, &self.in_flight, &self.uses, self.now, self.steps_left))
    }
}

fn fingerprint(of: &impl Debug) -> u64 {
    struct Hasher64(fnv::FnvHasher);
    impl Write for Hasher64 {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            self.0.write(text.as_bytes());
            Ok(())
        }
    }
    let mut hasher = Hasher64(fnv::FnvHasher::default());
    write!(hasher, "{of:?}").unwrap();
    hasher.0.finish()
}

/// Explores all event orders. Returns the number of states, or the steps to the first sum above the limit.
fn explore(case: Case) -> Result<usize, Vec<Step>> {
    let (mut seen, mut open) = (HashSet::new(), VecDeque::from([(case, Vec::new())]));
    while let Some((case, path)) = open.pop_front() {
        for step in case.steps() {
            let (mut case, mut path) = (case.clone(), path.clone());
            case.step(step);
            path.push(step);
            if case.most > TOTAL + 1e-9 {
                return Err(path);
            }
            if seen.insert(case.fingerprint()) {
                open.push_back((case, path));
            }
        }
    }
    Ok(seen.len())
}

#[derive(Clone, Copy, Debug)]
struct CaseParameters {
    members: usize,
    /// Whether the other members can lend from the start on.
    others_can_lend: bool,
    steps: StepCounts,
}

const fn step_counts(ticks: u8, restarts: u8, pauses: u8, demand_changes: u8, duplicates: u8) -> StepCounts {
    StepCounts { ticks, restarts, pauses, demand_changes, duplicates }
}

const CASES: [CaseParameters; 5] = [
    CaseParameters { members: 2, others_can_lend: true, steps: step_counts(6, 0, 0, 1, 0) },
    CaseParameters { members: 2, others_can_lend: true, steps: step_counts(5, 1, 0, 0, 1) },
    CaseParameters { members: 2, others_can_lend: true, steps: step_counts(6, 0, 1, 0, 1) },
    CaseParameters { members: 2, others_can_lend: false, steps: step_counts(5, 1, 0, 0, 0) },
    CaseParameters { members: 3, others_can_lend: true, steps: step_counts(4, 0, 0, 0, 0) },
];

#[test]
fn every_order_of_small_cases_keeps_the_sum_within_the_limit() {
    for parameters in CASES {
        let start = std::time::Instant::now();
        let states =
            explore(Case::new(parameters, None)).unwrap_or_else(|path| panic!("{parameters:?}: {path:?}"));
        println!("{parameters:?}: {states} states {:?}", start.elapsed());
    }
}

#[test]
fn small_cases_exceed_the_limit_without_any_one_guard() {
    for guard in GUARDS {
        let violation =
            CASES.iter().find_map(|parameters| explore(Case::new(*parameters, Some(guard))).err());
        println!("without {guard:?}: {violation:?}");
        assert!(violation.is_some(), "{guard:?}");
    }
}
