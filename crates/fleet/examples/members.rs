//! Prints what docs/fleet-members.md states of the room of who is there: virtual time, a made network.
//! `cargo run --release -p cherrypass-fleet --example members [deaths|rates|cuts|masses|loss] [size]`
#[allow(dead_code)]
#[path = "../tests/members/node.rs"]
mod node;

use cherrypass::time::Span;
use cherrypass_fleet::common::MemberId;
use cherrypass_fleet::made::Link;
use cherrypass_fleet::members::Standing;
use node::Fleet;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;

const SIZES: [usize; 6] = [3, 9, 30, 100, 300, 1000];
/// Members, minutes and seeds of the plays with loss.
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

/// The second argument takes one size alone.
fn of_size(n: usize) -> bool {
    std::env::args().nth(2).is_none_or(|size| size == n.to_string())
}

fn seeds(n: usize, work: usize) -> u64 {
    (work / n).clamp(4, 200) as u64
}

fn line(spans: &mut [Span]) -> String {
    spans.sort();
    let at = |part: f64| spans[((spans.len() - 1) as f64 * part).round() as usize].as_seconds();
    match spans.len() {
        0 => "-".to_owned(),
        len => format!("{:.2} / {:.2} / {:.2} ({len})", at(0.5), at(0.99), at(1.0)),
    }
}

fn any(fleet: &mut Fleet) -> MemberId {
    let ids = fleet.net.ids();
    *ids.choose(&mut fleet.net.chance).expect("members run")
}

fn deaths(lost: f64) {
    println!(
        "\nA death, {:.0}% lost: seconds p50 / p99 / worst (deaths) until one and until all hold it dead",
        lost * 100.0
    );
    for n in SIZES.into_iter().filter(|n| of_size(*n)) {
        let (mut first, mut all, mut unknown) = (Vec::new(), Vec::new(), 0);
        for seed in 0..seeds(n, 6000) {
            let mut fleet = Fleet::new(seed, n);
            fleet.net.link.lost = lost;
            fleet.run(SETTLE);
            for _ in 0..if n < 9 { 1 } else { 3 } {
                let who = any(&mut fleet);
                fleet.net.kill(who);
                let one = fleet.until(LONG, |fleet| fleet.holding(who, Standing::Dead) > 0);
                let rest =
                    fleet.until(LONG, |fleet| fleet.holding(who, Standing::Dead) == fleet.net.ids().len());
                match (one, rest) {
                    (Some(one), Some(rest)) => (first.push(one), all.push(one + rest)).1,
                    _ => unknown += 1,
                }
            }
        }
        println!("{n:5}  one {}  all {}  not within 60 s: {unknown}", line(&mut first), line(&mut all));
    }
}

fn rates() {
    println!("\nMessages a second a member: mean, most");
    for n in SIZES.into_iter().filter(|n| of_size(*n)) {
        let mut said = String::new();
        for lost in [0.0, 0.2] {
            let mut fleet = Fleet::new(1, n);
            fleet.net.link.lost = lost;
            fleet.run(SETTLE);
            fleet.net.sent.clear();
            fleet.run(Span::millis(30_000));
            let sent: Vec<u64> = fleet.net.sent.values().copied().collect();
            let mean = sent.iter().sum::<u64>() as f64 / n as f64 / 30.0;
            let most = sent.iter().max().copied().unwrap_or(0) as f64 / 30.0;
            said += &format!("  {:.0}% lost: {mean:.1}, {most:.1}", lost * 100.0);
        }
        println!("{n:5}{said}");
    }
}

/// One member cut off in one or both ways, and one that stands still.
fn cuts() {
    println!("\nOne member cut off for 20 s, and one that stands still for 3 s, 10 s after the start");
    for n in [3, 9, 30, 100, 300].into_iter().filter(|n| of_size(*n)) {
        for (name, out, back) in [("both ways", true, true), ("unheard", true, false), ("deaf", false, true)]
        {
            let (mut itself, mut held, mut healed) = (Vec::new(), Vec::new(), Vec::new());
            let (mut never, mut declared, mut before, mut others) = (0, 0, 0, 0);
            for seed in 0..seeds(n, 2000) {
                let mut fleet = Fleet::new(seed, n);
                fleet.run(Span::millis(10_000));
                let who = any(&mut fleet);
                for id in fleet.ids().into_iter().filter(|id| *id != who) {
                    fleet.net.cut.extend(out.then_some((who, id)));
                    fleet.net.cut.extend(back.then_some((id, who)));
                }
                let start = fleet.net.now;
                let is =
                    |fleet: &Fleet| fleet.net.node(who).is_some_and(|node| node.members.is_own_trouble());
                let (mut own, mut dead) = (None, None);
                while fleet.net.now - start < SETTLE {
                    fleet.run(Span::millis(25));
                    own = own.or_else(|| is(&fleet).then_some(fleet.net.now - start));
                    let all = fleet.holding(who, Standing::Dead) == n - 1;
                    dead = dead.or_else(|| all.then_some(fleet.net.now - start));
                    let node = fleet.net.node(who).expect("runs");
                    before += usize::from(own.is_none() && node.held(Standing::Suspect) > 0);
                }
                itself.extend(own);
                never += usize::from(own.is_none());
                held.extend(dead);
                declared += fleet.net.node(who).map_or(0, |node| node.held(Standing::Dead));
                fleet.net.cut.clear();
                healed.extend(fleet.until(LONG, |fleet| fleet.errors(&BTreeSet::new()).is_empty()));
                others += fleet
                    .net
                    .ids()
                    .iter()
                    .filter(|id| **id != who)
                    .filter(|id| {
                        let node = fleet.net.node(**id).expect("runs");
                        node.changes.iter().any(|&(_, of, standing)| of != who && standing == Standing::Dead)
                    })
                    .count();
            }
            println!(
                "{n:5} {name}: itself {} never {never}, suspected another before in {before} looks, declared \
                 {declared}; all hold it dead {}; all agree again {}; others declared another {others}",
                line(&mut itself), line(&mut held), line(&mut healed)
            );
        }
        let (mut healed, mut dead, mut declared) = (Vec::new(), 0, 0);
        for seed in 0..seeds(n, 2000) {
            let mut fleet = Fleet::new(seed, n);
            fleet.run(Span::millis(10_000));
            let who = any(&mut fleet);
            fleet.net.stop(who, Span::millis(3_000));
            fleet.run(Span::millis(3_000));
            healed.extend(fleet.until(LONG, |fleet| fleet.errors(&BTreeSet::new()).is_empty()));
            fleet.run(Span::millis(10_000));
            for id in fleet.net.ids() {
                let node = fleet.net.node(id).expect("runs");
                let said = node.changes.iter().filter(|c| c.2 == Standing::Dead).count();
                if id == who {
                    declared += said
                } else {
                    dead += usize::from(said > 0)
                }
            }
        }
        println!(
            "{n:5} stands still: held dead by {dead} in sum, declared {declared}; all agree after {}",
            line(&mut healed)
        );
    }
    println!("\nOne direction between two of the fleet cut for 60 s: suspicions, held dead");
    for n in [3, 9, 300] {
        let (mut suspected, mut dead) = (0, 0);
        for seed in 0..seeds(n, 1500) {
            let mut fleet = Fleet::new(seed, n);
            fleet.run(Span::millis(10_000));
            let ids = fleet.ids();
            fleet.net.cut.insert((ids[0], ids[1]));
            fleet.run(LONG);
            for id in &ids {
                let node = fleet.net.node(*id).expect("runs");
                (suspected, dead) =
                    (suspected + node.held(Standing::Suspect), dead + node.held(Standing::Dead));
            }
        }
        println!("{n:5} over {} seeds: suspected {suspected}, dead {dead}", seeds(n, 1500));
    }
}

/// Many at once: a part dies, the fleet is split and heals, all start, one has slow links.
fn masses() {
    let none = BTreeSet::new();
    println!("\nMany at once: seconds p50 / p99 / worst until all agree with the truth");
    for n in [9, 30, 300].into_iter().filter(|n| of_size(*n)) {
        let (mut starts, mut slow, mut late) = (Vec::new(), [0, 0, 0], Vec::new());
        for seed in 0..seeds(n, 1500) {
            let mut fleet = Fleet::new(seed, n);
            starts.extend(fleet.until(LONG, |fleet| fleet.errors(&none).is_empty()));
            let ids = fleet.ids();
            let who = ids[0];
            let link = Link { delay: [Span::millis(900), Span::millis(1_100)], ..Link::default() };
            for id in &ids[1..] {
                fleet.net.links.extend([((who, *id), link), ((*id, who), link)]);
            }
            fleet.run(LONG);
            for id in &ids {
                let node = fleet.net.node(*id).expect("runs");
                slow[0] += node.held(Standing::Suspect);
                slow[1] += node.held(Standing::Dead);
                slow[2] += node.trouble.len();
            }
            fleet.net.links.clear();
            late.extend(fleet.until(LONG, |fleet| fleet.errors(&none).is_empty()));
        }
        println!("{n:5} all start: {}", line(&mut starts));
        println!(
            "{n:5} one whose links take 1 s more each way, for 60 s: suspected {}, dead {}, own trouble told {}; agree {}",
            slow[0], slow[1], slow[2], line(&mut late)
        );
        for part in [3, 2, 1] {
            let (mut gone, mut wrong) = (Vec::new(), 0);
            for seed in 0..seeds(n, 1500) {
                let mut fleet = Fleet::new(seed, n);
                fleet.run(Span::millis(10_000));
                let ids = fleet.ids();
                ids[..n * (4 - part) / 4].iter().for_each(|id| fleet.net.kill(*id));
                let agree = fleet.until(LONG, |fleet| fleet.errors(&none).is_empty());
                wrong += usize::from(agree.is_none());
                gone.extend(agree);
            }
            println!("{n:5} {} of 4 die at once: {}; not within 60 s: {wrong}", 4 - part, line(&mut gone));
        }
        let (mut split, mut healed, mut wrong) = (Vec::new(), Vec::new(), 0);
        for seed in 0..seeds(n, 1500) {
            let mut fleet = Fleet::new(seed, n);
            fleet.run(Span::millis(10_000));
            let ids = fleet.ids();
            let (one, other) = ids.split_at(n / 2);
            let pairs = one.iter().flat_map(|a| other.iter().flat_map(move |b| [(*a, *b), (*b, *a)]));
            fleet.net.cut.extend(pairs);
            let dead = |fleet: &Fleet| {
                one.iter().all(|id| fleet.holding(*id, Standing::Dead) == other.len())
                    && other.iter().all(|id| fleet.holding(*id, Standing::Dead) == one.len())
            };
            split.extend(fleet.until(LONG, dead));
            fleet.net.cut.clear();
            let agree = fleet.until(LONG, |fleet| fleet.errors(&none).is_empty());
            wrong += usize::from(agree.is_none());
            healed.extend(agree);
        }
        println!(
            "{n:5} split in half: each holds the other dead {}; healed {}; not within 60 s: {wrong}",
            line(&mut split),
            line(&mut healed)
        );
    }
}

/// Ten minutes at 20% loss, nobody dies.
fn loss() {
    println!("\n20% lost, all running: suspicions held, held dead, own troubles, in sum over all members");
    for (n, minutes, seeds) in LOSSES.into_iter().filter(|play| of_size(play.0)) {
        let (mut suspected, mut dead, mut troubles) = (0, 0, 0);
        for seed in 0..seeds {
            let mut fleet = Fleet::new(seed, n);
            fleet.net.link.lost = 0.2;
            fleet.run(Span::millis(minutes * 60_000));
            for id in fleet.ids() {
                let node = fleet.net.node(id).expect("runs");
                (suspected, dead) =
                    (suspected + node.held(Standing::Suspect), dead + node.held(Standing::Dead));
                troubles += node.trouble.iter().filter(|(_, is)| *is).count();
            }
        }
        let of = format!("{n:5} for {minutes} min, {seeds} seeds");
        println!("{of}: suspected {suspected}, dead {dead}, own trouble {troubles}");
    }
}
