//! Measures how soon harmful versions are halted, and how often harmless ones are, on the simulated network:
//! `cargo run --release --example rollout [runs] [seed]`. Figures are generated: uneven load with daily
//! swings and common bursts, correlated visits within a second, and host failures that affect a whole
//! location.
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::rollout::*;
use cherrypass_fleet::simulation::{Network, Node};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// The effect of a version on its dispatchers' visits.
#[derive(Clone, Copy, Debug, Default)]
struct Harm {
    late: f64,
    refused: f64,
    failed: f64,
    hand_offs: f64,
    /// Per second and dispatcher.
    ejected: f64,
}

const HARMS: [(&str, Harm); 9] = [
    ("harmless", Harm { late: 0.0, refused: 0.0, failed: 0.0, hand_offs: 0.0, ejected: 0.0 }),
    ("limit at a tenth", Harm { late: 0.02, refused: 0.25, failed: 0.0, hand_offs: 0.0, ejected: 0.0 }),
    ("verdicts trusted", Harm { late: 0.03, refused: 0.02, failed: 0.0, hand_offs: 0.1, ejected: 0.1 }),
    ("first error", Harm { late: 0.02, refused: 0.08, failed: 0.01, hand_offs: 0.0, ejected: 0.2 }),
    ("refused +5%", Harm { late: 0.0, refused: 0.05, failed: 0.0, hand_offs: 0.0, ejected: 0.0 }),
    ("refused +3%", Harm { late: 0.0, refused: 0.03, failed: 0.0, hand_offs: 0.0, ejected: 0.0 }),
    ("late +5%", Harm { late: 0.05, refused: 0.0, failed: 0.0, hand_offs: 0.0, ejected: 0.0 }),
    ("hand-offs +0.2", Harm { late: 0.0, refused: 0.0, failed: 0.0, hand_offs: 0.2, ejected: 0.0 }),
    ("late +1% (tolerated)", Harm { late: 0.01, refused: 0.0, failed: 0.0, hand_offs: 0.0, ejected: 0.0 }),
];

/// A mean-reverting random walk about 0 with standard deviation 1.
#[derive(Clone, Copy, Default)]
struct RandomWalk(f64);

impl RandomWalk {
    fn step(&mut self, rng: &mut Pcg64Mcg, seconds: f64) -> f64 {
        let keep = (-1.0 / seconds).exp();
        self.0 = self.0 * keep + normal(rng) * (1.0 - keep * keep).sqrt();
        self.0
    }
}

fn normal(rng: &mut Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (rng.gen_range(1e-12..1.0), rng.gen_range(0.0..1.0));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

fn draw(rng: &mut Pcg64Mcg, mean: f64) -> u64 {
    if mean > 30.0 {
        return (mean + mean.sqrt() * normal(rng)).max(0.0).round() as u64;
    }
    let (mut left, mut n) = ((-mean).exp(), 0);
    let mut u: f64 = rng.gen_range(0.0..1.0);
    while u > left && n < 200 {
        u -= left;
        n += 1;
        left *= mean / n as f64;
    }
    n
}

struct World {
    rng: Pcg64Mcg,
    second: f64,
    common: [RandomWalk; 2],
    locations: BTreeMap<LocationId, (RandomWalk, RandomWalk, f64)>,
    members: BTreeMap<MemberId, (f64, f64, RandomWalk)>,
    fails: f64,
}

impl World {
    fn new(seed: u64, listed: &[(MemberId, LocationId)], fails: f64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let members = listed
            .iter()
            .map(|(id, _)| {
                let rate = 40.0 * (0.6 * normal(&mut rng)).exp();
                (*id, (rate, (0.3 * normal(&mut rng)).exp(), RandomWalk::default()))
            })
            .collect();
        let second = rng.gen_range(0.0..3600.0);
        World { rng, second, common: Default::default(), locations: BTreeMap::new(), members, fails }
    }

    /// The figures of one second of all dispatchers; `has` is the version's effect where it is in force.
    fn second(
        &mut self,
        listed: &[(MemberId, LocationId)],
        has: impl Fn(MemberId) -> Harm,
    ) -> Vec<(MemberId, Figures)> {
        self.second += 1.0;
        let rng = &mut self.rng;
        // The daily swing, compressed into an hour.
        let swing = 1.0 + 0.4 * (self.second * std::f64::consts::TAU / 3600.0).sin();
        let burst = (0.25 * self.common[0].step(rng, 30.0) + 0.15 * self.common[1].step(rng, 5.0)).exp();
        for (_, location) in listed {
            self.locations.entry(*location).or_default();
        }
        for (slow, quick, failed) in self.locations.values_mut() {
            slow.step(rng, 60.0);
            quick.step(rng, 8.0);
            *failed = (*failed - 1.0).max(0.0);
            if rng.gen_bool(self.fails) {
                *failed = 20.0;
            }
        }
        let mut figures = Vec::new();
        for (id, location) in listed {
            let (slow, quick, outage) = self.locations[location];
            let Some((rate, worse, own)) = self.members.get_mut(id) else { continue };
            let load = swing * burst * (0.08 * slow.0 + 0.05 * quick.0 + 0.1 * own.step(rng, 15.0)).exp();
            let visits = draw(rng, *rate * load);
            let harm = has(*id);
            let fails = if outage > 0.0 { 1.0 } else { 0.0 };
            let mut share = |base: f64, power: f64, more: f64| {
                // Visits within a second are correlated.
                let p = base * *worse * load.powf(power) * (0.6 * normal(rng) - 0.18).exp() + more;
                draw(rng, visits as f64 * p.min(1.0)).min(visits)
            };
            let refused = share(0.01, 2.0, harm.refused);
            let failed = share(0.003, 1.0, harm.failed);
            let late = share(0.02, 1.5, harm.late + 0.02 * fails);
            let again = share(0.08, 1.0, harm.hand_offs + 0.1 * fails);
            let bad = (refused + failed + late).min(visits);
            // Each dispatcher ejects a failed host within the first seconds.
            let ejections = if outage > 15.0 { 0.2 } else { 0.0 };
            let ejected = draw(rng, 0.004 + ejections + harm.ejected);
            let (in_time, hand_offs) = (visits - bad, visits - refused + again);
            figures.push((*id, Figures { visits, in_time, refused, failed, hand_offs, ejected }));
        }
        figures
    }
}

struct Member {
    rollout: Rollout,
    in_force: u64,
    logs: Vec<String>,
}

impl Node for Member {
    type Message = RolloutMessage;
    fn receive(&mut self, now: Time, from: MemberId, message: RolloutMessage) {
        self.rollout.receive(now, from, message);
    }
    fn tick(&mut self, now: Time) {
        self.rollout.tick(now);
    }
    fn next_message(&mut self, now: Time) -> Option<(MemberId, RolloutMessage)> {
        loop {
            match self.rollout.next_effect()? {
                Effect::Send { to, message } => return Some((to, message)),
                Effect::Store { ticket, .. } => self.rollout.record_written(now, ticket, true),
                Effect::ApplyRules { number, .. } => self.in_force = number,
                Effect::Log(line) => self.logs.push(line),
            }
        }
    }
}

#[derive(Default)]
struct Outcome {
    stage: u16,
    full: bool,
    seconds: u64,
    /// The share of visits since the start that were subject to the version.
    share: f64,
    why: String,
    /// Messages sent by all members.
    messages: u64,
}

fn run(seed: u64, members: u64, locations: u64, harm: Harm, fails: f64, hold: f64) -> Outcome {
    let listed: Vec<(MemberId, LocationId)> =
        (0..members).map(|i| (MemberId(i + 1), LocationId((i % locations) as u16))).collect();
    let mut net: Network<Member> = Network::new(seed, Span::millis(250));
    for (id, location) in listed.clone() {
        let rate = net.rng.gen_range(0.995..1.005);
        let (seed, listed) = (seed ^ id.0 << 32, listed.clone());
        net.start(id, rate, |now| {
            let rollout =
                Rollout::new(Settings::default(), id, location, Incarnation(1), &listed, vec![], seed, now);
            Member { rollout, in_force: 0, logs: Vec::new() }
        });
    }
    let mut world = World::new(seed ^ 0x5eed, &listed, fails);
    let (mut visits_with_version, mut visits, mut outcome) = (0, 0, Outcome::default());
    for second in 0..7200_u64 {
        if second == 240 {
            let order = (0..locations).map(|l| LocationId(l as u16)).collect();
            let hold = Span::seconds(hold);
            let plan = Plan { order, first: 250, hold, visits: 1000, after_halt: AfterHalt::Back };
            let version = Version { number: 1, text: "{}".to_owned(), plan };
            let started = net.call(MemberId(1), |m, now| m.rollout.order(now, Order::Start(version)));
            assert!(matches!(started, Some(Ok(()))), "{started:?}");
        }
        net.run(Span::seconds(1.0), |_| {});
        let with: BTreeSet<MemberId> =
            net.ids().into_iter().filter(|id| net.node(*id).is_some_and(|m| m.in_force == 1)).collect();
        let has = |id: MemberId| with.contains(&id);
        let figures = world.second(&listed, |id| if has(id) { harm } else { Harm::default() });
        for (id, figures) in figures {
            if second >= 240 {
                visits += figures.visits;
                visits_with_version += if has(id) { figures.visits } else { 0 };
            }
            net.call(id, |member, now| member.rollout.add_figures(now, figures));
        }
        let status = net.node(MemberId(1)).map(|m| m.rollout.status());
        let Some(status) = status.filter(|status| status.step.at > 0) else { continue };
        outcome.stage = status.step.stage;
        outcome.seconds = second - 240;
        if status.step.phase != Phase::Rolling {
            outcome.full = status.step.phase == Phase::Full;
            break;
        }
    }
    outcome.share = visits_with_version as f64 / visits as f64;
    outcome.messages = net.sent_messages.values().sum::<u64>();
    let halts = |id: &MemberId| net.node(*id)?.logs.iter().find(|line| line.contains("halted:")).cloned();
    outcome.why = net.ids().iter().find_map(halts).unwrap_or_default();
    outcome
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse::<u64>().ok());
    let (runs, first) = (args.next().unwrap_or(200), args.next().unwrap_or(1));
    for (members, locations) in [(24, 4), (9, 3), (3, 3)] {
        for (day, fails) in
            [("hosts don't fail", 0.0), ("a host failure per location every 20 min", 1.0 / 1200.0)]
        {
            println!("{members} dispatchers in {locations} locations; {day}; holds of 120 s");
            for (name, harm) in HARMS {
                let is_harmless = name == "harmless";
                let runs = if is_harmless { runs } else { (runs / 5).max(1) };
                let next = std::sync::atomic::AtomicU64::new(first);
                let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
                    let work = || {
                        let mut outcomes = Vec::new();
                        loop {
                            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                            if seed >= first + runs {
                                return outcomes;
                            }
                            outcomes.push(run(seed, members, locations, harm, fails, 120.0));
                        }
                    };
                    let threads: Vec<_> = (0..4).map(|_| scope.spawn(work)).collect();
                    threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
                });
                let halted: Vec<&Outcome> = outcomes.iter().filter(|o| !o.full).collect();
                let early = halted.iter().filter(|o| o.stage <= 1).count();
                let first_stage = halted.iter().filter(|o| o.stage == 0).count();
                let mut seconds: Vec<u64> = halted.iter().map(|o| o.seconds).collect();
                let mut shares: Vec<f64> = halted.iter().map(|o| o.share).collect();
                seconds.sort_unstable();
                shares.sort_by(f64::total_cmp);
                let n = halted.len();
                print!("  {name:18} halted {n:3} of {runs}, in the first location {early}");
                print!(", its first part {first_stage}");
                if let (Some(most), Some(share)) = (seconds.last(), shares.last()) {
                    let (middle, half) = (seconds[seconds.len() / 2], shares[shares.len() / 2]);
                    print!("; seconds to the halt {middle} (most {most})");
                    print!("; share with the version {half:.4} (most {share:.4})");
                }
                println!();
                if is_harmless {
                    halted.iter().for_each(|o| println!("    stage {}: {}", o.stage, o.why));
                }
            }
        }
    }
}
