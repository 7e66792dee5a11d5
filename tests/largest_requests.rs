//! The largest requests of a class are served like the others, in virtual time.
//!
//! Of the tenth with the largest objects, and of the next fifth, at least two thirds of the class's served
//! share are served without faults, and half of it with them. Work grows with size, and the deadline is
//! the same for all; sizes are announced or not.
// The parts for restarts and starts are used in cold_in_sum.rs only.
#[allow(dead_code)]
mod simulation;
use cherrypass::ids::*;
use cherrypass::settings::*;
use cherrypass::time::Span;
use simulation::{listing, Class, Simulation, START, STEP};
use test_case::test_case;

const DURATION: u64 = 24_000_000;
/// When the fault begins, in microseconds.
const FAULT_START: u64 = 4_000_000;
const KB_PER_SECOND: f64 = 5_000.0;
const WEIGHT: f64 = 12.0;
const CACHES: u64 = 9;
/// Mean work in seconds, share of the requests, deadline in microseconds.
const CLASSES: [(f64, f64, u64); 2] = [(0.3, 0.55, 6_000_000), (0.055, 0.45, 2_500_000)];
const SIZE_SPREAD: f64 = 0.9;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Quiet,
    /// Load of 1.2 times what all caches can serve.
    Overload,
    /// A third of the caches take five times as long.
    Slow,
    /// A third of the caches stop answering.
    Lost,
    /// The parents take four times as long, so that fills are congested.
    SlowParents,
}

fn settings(dispatchers: u32) -> Settings {
    let class = |target_latency| ClassSettings {
        effect: Effect::Idempotent,
        target_latency: Span::millis(target_latency),
        target_stretch: 2.0,
        fresh_for: Span::ZERO,
        stale_for: Span::ZERO,
        is_write: false,
    };
    Settings {
        dispatchers,
        location_dispatchers: dispatchers,
        classes: vec![class(500), class(250)],
        parent_kind: Some(KindId(1)),
        origin_kind: Some(KindId(2)),
        has_weights: true,
        has_stable_weights: true,
        may_bypass_caches: true,
        reports_fill_source: true,
        can_cancel: true,
        max_hand_offs: 6,
        max_retry_after: Span::millis(2000),
        ..Settings::default()
    }
}

fn run_scenario(scenario: Scenario, dispatchers: u32, announced: bool, seed: u64) -> Simulation {
    let caches = (1..=CACHES).map(|id| listing(id, 0, WEIGHT, None));
    let others = (11..=14).map(|id| listing(id, 1, WEIGHT, None)).chain([listing(21, 2, 4.0 * WEIGHT, None)]);
    let classes = CLASSES.iter().map(|(work, share, deadline)| Class {
        mean_work: *work,
        traffic_share: *share,
        size_spread: SIZE_SPREAD,
        deadline: *deadline,
        announced_kb_per_s: Some(KB_PER_SECOND).filter(|_| announced),
    });
    let entries = caches.chain(others).collect();
    let mut simulation = Simulation::new(settings(dispatchers), entries, 1.0, classes.collect(), seed);
    simulation.miss_rates = [0.25, 0.3];
    let mean = CLASSES.iter().map(|(work, share, _)| work * share).sum::<f64>();
    let load = if scenario == Scenario::Overload { 1.2 } else { 0.45 };
    let requests = load * CACHES as f64 * WEIGHT / mean;
    let last_deadline = CLASSES.iter().map(|class| class.2).max().unwrap();
    for now in (START..START + DURATION + last_deadline).step_by(STEP as usize) {
        if now == START + FAULT_START {
            for id in 1..=CACHES / 3 {
                let host = simulation.hosts.get_mut(&HostId(id)).unwrap();
                host.slowdown = if scenario == Scenario::Slow { 5.0 } else { 1.0 };
                host.is_unreachable = scenario == Scenario::Lost;
            }
            let slowdown = if scenario == Scenario::SlowParents { 4.0 } else { 1.0 };
            (11..=14).for_each(|id| simulation.hosts.get_mut(&HostId(id)).unwrap().slowdown = slowdown);
        }
        simulation.step(now, if now < START + DURATION { requests } else { 0.0 });
    }
    simulation
}

/// Served shares of a class, of its tenth with the largest objects, and of the next fifth.
fn served_shares(simulation: &Simulation, class: usize) -> [f64; 3] {
    let mut all: Vec<_> = simulation.requests.iter().filter(|request| request.class == class).collect();
    all.sort_by(|a, b| b.relative_size.total_cmp(&a.relative_size));
    assert!(all.len() >= 400, "{} requests are too few to judge a tenth of them", all.len());
    let share = |of: &[&simulation::ClientRequest]| {
        of.iter().filter(|a| a.is_served).count() as f64 / of.len() as f64
    };
    let (tenth, three_tenths) = (all.len() / 10, all.len() * 3 / 10);
    [share(&all), share(&all[..tenth]), share(&all[tenth..three_tenths])]
}

#[test_case(Scenario::Quiet, true; "quiet_with_sizes")]
#[test_case(Scenario::Quiet, false; "quiet_without_sizes")]
#[test_case(Scenario::Overload, true; "overload_with_sizes")]
#[test_case(Scenario::Overload, false; "overload_without_sizes")]
#[test_case(Scenario::Slow, true; "slow_with_sizes")]
#[test_case(Scenario::Slow, false; "slow_without_sizes")]
#[test_case(Scenario::Lost, true; "lost_with_sizes")]
#[test_case(Scenario::Lost, false; "lost_without_sizes")]
#[test_case(Scenario::SlowParents, true; "slow_parents_with_sizes")]
#[test_case(Scenario::SlowParents, false; "slow_parents_without_sizes")]
fn the_largest_requests_are_served_like_the_others(scenario: Scenario, announced: bool) {
    let min_ratio = if scenario == Scenario::Quiet { 2.0 / 3.0 } else { 0.5 };
    for dispatchers in [4, 30, 100] {
        let simulation = run_scenario(scenario, dispatchers, announced, u64::from(dispatchers));
        for class in 0..CLASSES.len() {
            let [all, largest, next] = served_shares(&simulation, class);
            println!(
                "{scenario:?}, announced {announced}, {dispatchers} dispatchers, class {class}: {all:.2}, \
                 the largest {largest:.2}, the next {next:.2}"
            );
            let good = all >= 0.5 && largest >= min_ratio * all && next >= min_ratio * all;
            assert!(good, "{scenario:?}, {dispatchers} dispatchers, class {class}: {all} {largest} {next}");
        }
    }
}
