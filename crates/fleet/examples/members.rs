//! Prints the measurements of docs/fleet-members.md from a simulation in virtual time:
//! `cargo run --release -p cherrypass-fleet --example members [deaths|rates|cuts|masses|loss] [size]`
#[allow(dead_code)]
#[path = "../tests/members/node.rs"]
mod node;

use cherrypass::time::Span;
use cherrypass_fleet::common::MemberId;
use cherrypass_fleet::members::MemberState;
use cherrypass_fleet::simulation::Link;
use node::Fleet;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;

const SIZES: [usize; 6] = [3, 9, 30, 100, 300, 1000];
/// Members, minutes and seeds of the runs with loss.
const LOSSES: [(usize, u64, u64); 6] =
    [(3, 10, 100), (9, 10, 50), (30, 10, 20), (100, 10, 8), (300, 10, 4), (1000, 2, 2)];
const SETTLE: Span = Span::millis(20_000);
const LONG: Span = Span::millis(60_000);

fn main() {
    let only = std::env::args().nth(1);
    let wanted = |name: &str| only.as_deref().is_none_or(|only| only == name);
    if wanted("deaths") {
        deaths(0.0);
        deaths(0.2);
    }
    if wanted("rates") {
        rates();
    }
    if wanted("cuts") {
        cuts();
    }
    if wanted("masses") {
        masses();
    }
    if wanted("loss") {
        loss();
    }
}

/// Whether the second argument, if any, selects this size.
fn is_selected_size(n: usize) -> bool {
    std::env::args().nth(2).is_none_or(|size| size == n.to_string())
}

fn seeds(n: usize, work: usize) -> u64 {
    (work / n).clamp(4, 200) as u64
}

fn percentiles(spans: &mut [Span]) -> String {
    spans.sort();
    let at = |part: f64| spans[((spans.len() - 1) as f64 * part).round() as usize].as_seconds();
    match spans.len() {
        0 => "-".to_owned(),
        len => format!("{:.2} / {:.2} / {:.2} ({len})", at(0.5), at(0.99), at(1.0)),
    }
}

fn random_member(fleet: &mut Fleet) -> MemberId {
    let ids = fleet.network.ids();
    *ids.choose(&mut fleet.network.rng).expect("members run")
}

fn deaths(loss_rate: f64) {
    println!(
        "\nA death, {:.0}% lost: seconds p50 / p99 / worst (deaths) until the first and until all members declare it dead",
        loss_rate * 100.0
    );
    for n in SIZES.into_iter().filter(|n| is_selected_size(*n)) {
        let (mut first, mut last, mut unknown) = (Vec::new(), Vec::new(), 0);
        for seed in 0..seeds(n, 6000) {
            let mut fleet = Fleet::new(seed, n);
            fleet.network.link.loss_rate = loss_rate;
            fleet.run(SETTLE);
            for _ in 0..if n < 9 { 1 } else { 3 } {
                let who = random_member(&mut fleet);
                fleet.network.kill(who);
                let until_first = fleet.until(LONG, |fleet| fleet.count_holding(who, MemberState::Dead) > 0);
                let until_last = fleet.until(LONG, |fleet| {
                    fleet.count_holding(who, MemberState::Dead) == fleet.network.ids().len()
                });
                match (until_first, until_last) {
                    (Some(until_first), Some(until_last)) => {
                        first.push(until_first);
                        last.push(until_first + until_last);
                    }
                    _ => unknown += 1,
                }
            }
        }
        println!(
            "{n:5}  first {}  all {}  not within 60 s: {unknown}",
            percentiles(&mut first),
            percentiles(&mut last)
        );
    }
}

fn rates() {
    println!("\nMessages per second and member: mean, most");
    for n in SIZES.into_iter().filter(|n| is_selected_size(*n)) {
        let mut line = String::new();
        for loss_rate in [0.0, 0.2] {
            let mut fleet = Fleet::new(1, n);
            fleet.network.link.loss_rate = loss_rate;
            fleet.run(SETTLE);
            fleet.network.sent_messages.clear();
            fleet.run(Span::millis(30_000));
            let sent: Vec<u64> = fleet.network.sent_messages.values().copied().collect();
            let mean = sent.iter().sum::<u64>() as f64 / n as f64 / 30.0;
            let most = sent.iter().max().copied().unwrap_or(0) as f64 / 30.0;
            line += &format!("  {:.0}% lost: {mean:.1}, {most:.1}", loss_rate * 100.0);
        }
        println!("{n:5}{line}");
    }
}

/// One member cut off in one or both directions, and one that is paused.
fn cuts() {
    println!("\nOne member cut off for 20 s, and one paused for 3 s, 10 s after the start");
    for n in [3, 9, 30, 100, 300].into_iter().filter(|n| is_selected_size(*n)) {
        for (name, cuts_outgoing, cuts_incoming) in
            [("both directions", true, true), ("outgoing", true, false), ("incoming", false, true)]
        {
            let (mut noticed, mut declared_dead, mut healed) = (Vec::new(), Vec::new(), Vec::new());
            let (mut never, mut declared, mut before, mut others) = (0, 0, 0, 0);
            for seed in 0..seeds(n, 2000) {
                let mut fleet = Fleet::new(seed, n);
                fleet.run(Span::millis(10_000));
                let who = random_member(&mut fleet);
                for id in fleet.ids().into_iter().filter(|id| *id != who) {
                    fleet.network.cut.extend(cuts_outgoing.then_some((who, id)));
                    fleet.network.cut.extend(cuts_incoming.then_some((id, who)));
                }
                let start = fleet.network.now;
                let is_degraded = |fleet: &Fleet| {
                    fleet.network.node(who).is_some_and(|node| node.members.are_links_degraded())
                };
                let (mut own, mut dead) = (None, None);
                while fleet.network.now - start < SETTLE {
                    fleet.run(Span::millis(25));
                    own = own.or_else(|| is_degraded(&fleet).then_some(fleet.network.now - start));
                    let is_agreed = fleet.count_holding(who, MemberState::Dead) == n - 1;
                    dead = dead.or_else(|| is_agreed.then_some(fleet.network.now - start));
                    let node = fleet.network.node(who).expect("runs");
                    before += usize::from(own.is_none() && node.changes_to(MemberState::Suspect) > 0);
                }
                noticed.extend(own);
                never += usize::from(own.is_none());
                declared_dead.extend(dead);
                declared += fleet.network.node(who).map_or(0, |node| node.changes_to(MemberState::Dead));
                fleet.network.cut.clear();
                healed.extend(fleet.until(LONG, |fleet| fleet.disagreements(&BTreeSet::new()).is_empty()));
                others += fleet
                    .network
                    .ids()
                    .iter()
                    .filter(|id| **id != who)
                    .filter(|id| {
                        let node = fleet.network.node(**id).expect("runs");
                        node.changes.iter().any(|&(_, of, state)| of != who && state == MemberState::Dead)
                    })
                    .count();
            }
            println!(
                "{n:5} {name}: noticed by itself {} never {never}, suspected another before in {before} samples, declared \
                 dead {declared}; declared dead by all {}; all agree again {}; others declared another dead {others}",
                percentiles(&mut noticed), percentiles(&mut declared_dead), percentiles(&mut healed)
            );
        }
        let (mut healed, mut dead, mut declared) = (Vec::new(), 0, 0);
        for seed in 0..seeds(n, 2000) {
            let mut fleet = Fleet::new(seed, n);
            fleet.run(Span::millis(10_000));
            let who = random_member(&mut fleet);
            fleet.network.pause(who, Span::millis(3_000));
            fleet.run(Span::millis(3_000));
            healed.extend(fleet.until(LONG, |fleet| fleet.disagreements(&BTreeSet::new()).is_empty()));
            fleet.run(Span::millis(10_000));
            for id in fleet.network.ids() {
                let node = fleet.network.node(id).expect("runs");
                let count = node.changes.iter().filter(|c| c.2 == MemberState::Dead).count();
                if id == who {
                    declared += count
                } else {
                    dead += usize::from(count > 0)
                }
            }
        }
        println!(
            "{n:5} paused: declared dead by {dead} in sum, declared others dead {declared}; all agree after {}",
            percentiles(&mut healed)
        );
    }
    println!("\nOne direction between two members cut for 60 s: suspicions, declared dead");
    for n in [3, 9, 300] {
        let (mut suspected, mut dead) = (0, 0);
        for seed in 0..seeds(n, 1500) {
            let mut fleet = Fleet::new(seed, n);
            fleet.run(Span::millis(10_000));
            let ids = fleet.ids();
            fleet.network.cut.insert((ids[0], ids[1]));
            fleet.run(LONG);
            for id in &ids {
                let node = fleet.network.node(*id).expect("runs");
                (suspected, dead) = (
                    suspected + node.changes_to(MemberState::Suspect),
                    dead + node.changes_to(MemberState::Dead),
                );
            }
        }
        println!("{n:5} over {} seeds: suspected {suspected}, dead {dead}", seeds(n, 1500));
    }
}

/// Many members at once: all start, some die, a partition heals; and one member with slow links.
fn masses() {
    let none = BTreeSet::new();
    println!("\nMany at once: seconds p50 / p99 / worst until all agree on the true state");
    for n in [9, 30, 300].into_iter().filter(|n| is_selected_size(*n)) {
        let (mut starts, mut slow, mut late) = (Vec::new(), [0, 0, 0], Vec::new());
        for seed in 0..seeds(n, 1500) {
            let mut fleet = Fleet::new(seed, n);
            starts.extend(fleet.until(LONG, |fleet| fleet.disagreements(&none).is_empty()));
            let ids = fleet.ids();
            let who = ids[0];
            let link = Link { delay: [Span::millis(900), Span::millis(1_100)], ..Link::default() };
            for id in &ids[1..] {
                fleet.network.links.extend([((who, *id), link), ((*id, who), link)]);
            }
            fleet.run(LONG);
            for id in &ids {
                let node = fleet.network.node(*id).expect("runs");
                slow[0] += node.changes_to(MemberState::Suspect);
                slow[1] += node.changes_to(MemberState::Dead);
                slow[2] += node.links_degraded.len();
            }
            fleet.network.links.clear();
            late.extend(fleet.until(LONG, |fleet| fleet.disagreements(&none).is_empty()));
        }
        println!("{n:5} all start: {}", percentiles(&mut starts));
        println!(
            "{n:5} one with 1 s more latency each way, for 60 s: suspected {}, dead {}, links degraded {}; agree {}",
            slow[0], slow[1], slow[2], percentiles(&mut late)
        );
        for part in [3, 2, 1] {
            let (mut gone, mut wrong) = (Vec::new(), 0);
            for seed in 0..seeds(n, 1500) {
                let mut fleet = Fleet::new(seed, n);
                fleet.run(Span::millis(10_000));
                let ids = fleet.ids();
                ids[..n * (4 - part) / 4].iter().for_each(|id| fleet.network.kill(*id));
                let agree = fleet.until(LONG, |fleet| fleet.disagreements(&none).is_empty());
                wrong += usize::from(agree.is_none());
                gone.extend(agree);
            }
            println!(
                "{n:5} {} of 4 die at once: {}; not within 60 s: {wrong}",
                4 - part,
                percentiles(&mut gone)
            );
        }
        let (mut split, mut healed, mut wrong) = (Vec::new(), Vec::new(), 0);
        for seed in 0..seeds(n, 1500) {
            let mut fleet = Fleet::new(seed, n);
            fleet.run(Span::millis(10_000));
            let ids = fleet.ids();
            let (first_half, second_half) = ids.split_at(n / 2);
            let pairs =
                first_half.iter().flat_map(|a| second_half.iter().flat_map(move |b| [(*a, *b), (*b, *a)]));
            fleet.network.cut.extend(pairs);
            let dead = |fleet: &Fleet| {
                let is_dead_for = |id: &MemberId, count| fleet.count_holding(*id, MemberState::Dead) == count;
                first_half.iter().all(|id| is_dead_for(id, second_half.len()))
                    && second_half.iter().all(|id| is_dead_for(id, first_half.len()))
            };
            split.extend(fleet.until(LONG, dead));
            fleet.network.cut.clear();
            let agree = fleet.until(LONG, |fleet| fleet.disagreements(&none).is_empty());
            wrong += usize::from(agree.is_none());
            healed.extend(agree);
        }
        println!(
            "{n:5} partition in halves: each declares the other dead {}; healed {}; not within 60 s: {wrong}",
            percentiles(&mut split),
            percentiles(&mut healed)
        );
    }
}

/// Twenty percent loss, and nobody dies.
fn loss() {
    println!("\n20% lost, all running: suspicions, declared dead, links degraded, in sum over all members");
    for (n, minutes, seeds) in LOSSES.into_iter().filter(|case| is_selected_size(case.0)) {
        let (mut suspected, mut dead, mut degraded) = (0, 0, 0);
        for seed in 0..seeds {
            let mut fleet = Fleet::new(seed, n);
            fleet.network.link.loss_rate = 0.2;
            fleet.run(Span::millis(minutes * 60_000));
            for id in fleet.ids() {
                let node = fleet.network.node(id).expect("runs");
                (suspected, dead) = (
                    suspected + node.changes_to(MemberState::Suspect),
                    dead + node.changes_to(MemberState::Dead),
                );
                degraded += node.links_degraded.iter().filter(|(_, is)| *is).count();
            }
        }
        let of = format!("{n:5} for {minutes} min, {seeds} seeds");
        println!("{of}: suspected {suspected}, dead {dead}, links degraded {degraded}");
    }
}
