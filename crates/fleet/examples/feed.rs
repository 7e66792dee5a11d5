//! Measures the feed on the simulated network: `cargo run --release -p cherrypass-fleet --example feed`.
//!
//! `drag [from] [to] [seconds]`: delay of healthy followers while a fifth of all are paused or throttled,
//! compared with none, with and without regrouping. `flap`: moves per hour of a follower that pauses
//! repeatedly. `size`: messages and bytes per member, from 3 to 300 members.
#[path = "../tests/feed_bed/mod.rs"]
mod feed_bed;

use cherrypass::time::Span;
use cherrypass_fleet::common::MemberId;
use cherrypass_fleet::feed::Settings;
use cherrypass_fleet::simulation::Link;
use feed_bed::{Bed, Fleet};
use rand::seq::SliceRandom;
use std::collections::BTreeSet;

const ROUND: Span = Span::millis(50);
/// Bytes per round: two items of each of five sources, to ten followers per member, with their overhead.
const LOAD: usize = 10 * (10 * (2 * 4 + 200 + 128) + 5 * 128);

#[derive(Clone, Copy, PartialEq)]
enum Faults {
    None,
    Stopped,
    Throttled,
    Both,
}

struct Run {
    delays: Vec<u32>,
    moves: u64,
    slow: usize,
    misclassified: usize,
    max_held_bytes: usize,
    max_age_excess: Span,
}

fn drag(seed: u64, faults: Faults, regroup: bool, spare: f64, seconds: u64) -> Run {
    let budget = (LOAD as f64 * spare) as usize;
    let mut fleet = Fleet::new(
        seed,
        Settings { round_bytes: budget, regroup, max_followers: 40, ..Settings::default() },
        5,
        50,
    );
    fleet.net.link =
        Link { loss_rate: 0.01, duplication_rate: 0.0, delay: [Span::millis(1), Span::millis(5)] };
    let mut shuffled = fleet.followers.clone();
    shuffled.shuffle(&mut fleet.net.rng);
    let count = if faults == Faults::None { 0 } else { 10 };
    let bad: BTreeSet<MemberId> = shuffled[..10].iter().copied().collect();
    for round in 0..seconds * 20 {
        let sources = fleet.members.clone();
        for (i, source) in sources.iter().enumerate() {
            for item in 0..2 {
                fleet.publish(
                    *source,
                    ((round * 2 + item + i as u64) % 100) as u32,
                    200,
                    Span::seconds(30.0),
                );
            }
        }
        if round == 15 * 20 {
            for id in fleet.net.ids() {
                let now = fleet.net.now;
                fleet.net.call(id, |bed, _| bed.measure_from = now);
            }
        }
        if round == 20 * 20 {
            for (i, id) in bad.iter().take(count).enumerate() {
                if faults == Faults::Stopped || faults == Faults::Both && i % 2 == 0 {
                    fleet.net.pause(*id, Span::seconds(1e5));
                    continue;
                }
                let slow = Link {
                    loss_rate: 0.7,
                    duplication_rate: 0.0,
                    delay: [Span::millis(100), Span::millis(400)],
                };
                for member in &fleet.members {
                    fleet.net.links.insert((*member, *id), slow);
                    fleet.net.links.insert((*id, *member), slow);
                }
            }
        }
        fleet.net.run(ROUND, |_| {});
    }
    let healthy: Vec<&Bed> =
        fleet.followers.iter().filter(|id| !bad.contains(id)).filter_map(|id| fleet.net.node(*id)).collect();
    let mut delays: Vec<u32> = healthy.iter().flat_map(|bed| bed.delays.iter().copied()).collect();
    delays.sort_unstable();
    let feeds = || fleet.members.iter().filter_map(|id| fleet.net.node(*id)).filter_map(|bed| bed.feed());
    let slow: Vec<MemberId> = feeds()
        .flat_map(|feed| feed.carried_followers())
        .filter(|(_, slow)| *slow)
        .map(|(id, _)| id)
        .collect();
    Run {
        delays,
        moves: feeds().map(|feed| feed.completed_moves()).sum(),
        slow: slow.len(),
        misclassified: slow.iter().filter(|id| !bad.contains(id)).count(),
        max_held_bytes: fleet
            .members
            .iter()
            .filter_map(|id| fleet.net.node(*id))
            .map(|bed| bed.max_held_bytes)
            .max()
            .unwrap_or(0),
        max_age_excess: healthy.iter().map(|bed| bed.max_age_excess).max().unwrap_or_default(),
    }
}

fn quantile(sorted: &[u32], part: f64) -> f64 {
    let index = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(f64::NAN, |value| f64::from(*value) / 1000.0)
}

fn print_drag(seeds: std::ops::Range<u64>, seconds: u64) {
    println!("delay of healthy followers, ms of virtual time; {seconds} s a run, faults from 20 s on");
    for spare in [1.1, 1.25] {
        for seed in seeds.clone() {
            let none = drag(seed, Faults::None, true, spare, seconds);
            for faults in [Faults::Stopped, Faults::Throttled, Faults::Both] {
                let name = match faults {
                    Faults::None => "none",
                    Faults::Stopped => "stopped",
                    Faults::Throttled => "throttled",
                    Faults::Both => "both",
                };
                let base = quantile(&none.delays, 0.99);
                print!(
                    "budget {spare} loads, {name}, seed {seed}: none p50 {:.0} p99 {base:.0}",
                    quantile(&none.delays, 0.5)
                );
                for regroup in [true, false] {
                    let run = drag(seed, faults, regroup, spare, seconds);
                    let p99 = quantile(&run.delays, 0.99);
                    print!(
                        "; {} p50 {:.0} p99 {p99:.0} ({:.2}) p99.9 {:.0} slow {} misclassified {} moves {}",
                        if regroup { "regrouped" } else { "not regrouped" },
                        quantile(&run.delays, 0.5),
                        p99 / base,
                        quantile(&run.delays, 0.999),
                        run.slow,
                        run.misclassified,
                        run.moves
                    );
                    if regroup {
                        print!(
                            " held {} B, ages exceed the true ones by {:.0} ms",
                            run.max_held_bytes,
                            run.max_age_excess.as_seconds() * 1e3
                        );
                    }
                }
                println!();
            }
        }
    }
}

/// One of ten followers alternates between a pause and running, for an hour.
fn print_flap() {
    for (still, goes) in
        [(0.5, 2.0), (1.5, 3.0), (3.0, 3.0), (3.0, 15.0), (3.0, 30.0), (3.0, 60.0), (3.0, 400.0)]
    {
        let mut fleet = Fleet::new(1, Settings::default(), 3, 10);
        let id = fleet.followers[0];
        let (mut changes, mut fence, mut slow_for, mut ticks) = (0, None, 0, 0);
        let (mut began, mut turns) = (fleet.net.now + Span::seconds(goes), 0);
        for tick in 0..3600 * 5 {
            if tick % 5 == 0 {
                for source in fleet.members.clone() {
                    fleet.publish(source, tick % 50, 100, Span::seconds(30.0));
                }
            }
            if fleet.net.now >= began {
                fleet.net.pause(id, Span::seconds(still));
                began = fleet.net.now + Span::seconds(still + goes);
                turns += 1;
            }
            fleet.net.run(Span::millis(200), |_| {});
            let feeds = fleet.members.iter().filter_map(|member| fleet.net.node(*member)?.feed());
            let carried =
                feeds.flat_map(|feed| feed.carried_followers().map(|follower| (follower, feed.load())));
            let slow = carried.filter(|((carried, slow), _)| *carried == id && *slow).count();
            slow_for += usize::from(slow > 0);
            ticks += 1;
            let now = fleet.net.node(id).and_then(Bed::follower).map(|follower| follower.fence().carrier);
            if now != fence {
                changes += usize::from(fence.is_some());
                fence = now;
            }
        }
        let part = slow_for as f64 / f64::from(ticks);
        println!(
            "pauses for {still} s, runs for {goes} s: {turns} pauses, {changes} moves per hour, \
             slow for {part:.2} of it"
        );
    }
}

fn print_size() {
    for (members, followers) in [(3, 30), (10, 100), (30, 300), (100, 300), (300, 300)] {
        for every in [0_u32, 20] {
            let mut fleet = Fleet::new(1, Settings::default(), members, followers);
            fleet.net.link.loss_rate = 0.01;
            fleet.net.run(Span::seconds(15.0), |_| {});
            fleet.net.sent_messages.clear();
            let sources = fleet.members.clone();
            for tick in 0..20_u32 {
                for (i, source) in sources.iter().enumerate() {
                    if every > 0 && (i as u32 + tick).is_multiple_of(every) {
                        fleet.publish(*source, tick, 200, Span::seconds(10.0));
                    }
                }
                fleet.net.run(Span::seconds(1.0), |_| {});
            }
            let by = |ids: &[MemberId]| -> u64 {
                ids.iter().filter_map(|id| fleet.net.sent_messages.get(id)).sum()
            };
            let per_second = by(&fleet.members) as f64 / members as f64 / 20.0;
            let of_followers = by(&fleet.followers) as f64 / followers as f64 / 20.0;
            let mut delays: Vec<u32> = fleet
                .net
                .ids()
                .iter()
                .filter_map(|id| fleet.net.node(*id))
                .flat_map(|bed| bed.delays.clone())
                .collect();
            delays.sort_unstable();
            println!(
                "{members} members, {followers} followers, each source {}: {per_second:.1} messages/s \
                 per member, {of_followers:.1} per follower; delay p50 {:.0} p99 {:.0} p99.9 {:.0} ms",
                if every > 0 { "one item in 20 s" } else { "silent" },
                quantile(&delays, 0.5),
                quantile(&delays, 0.99),
                quantile(&delays, 0.999),
            );
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number =
        |at: usize, otherwise| arguments.get(at).and_then(|text| text.parse().ok()).unwrap_or(otherwise);
    match arguments.first().map(String::as_str) {
        Some("drag") => print_drag(number(1, 0)..number(2, 2), number(3, 180)),
        Some("flap") => print_flap(),
        Some("size") => print_size(),
        _ => {
            print_drag(0..1, 180);
            print_flap();
            print_size();
        }
    }
}
