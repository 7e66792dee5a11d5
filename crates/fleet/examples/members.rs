//! Prints what docs/fleet-members.md states of the room of who is there: virtual time, a made network.
//! `cargo run --release -p cherrypass-fleet --example members [deaths|loss|cuts|rates]`
#[allow(dead_code)]
#[path = "../tests/members/node.rs"]
mod node;

use cherrypass::time::Span;
use cherrypass_fleet::common::MemberId;
use cherrypass_fleet::members::Standing;
use node::Fleet;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;

const SIZES: [usize; 6] = [3, 9, 30, 100, 300, 1000];
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
    if wanted("loss") {
        loss();
    }
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
    for n in SIZES {
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
    println!("\nMessages a second a member (mean, most), and those a join costs all in its first 5 s");
    for n in SIZES {
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
    for n in [3, 9, 30, 100, 300] {
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

/// Ten minutes at 20% loss, nobody dies.
fn loss() {
    println!("\n20% lost, all running: suspicions held, held dead, own troubles, in sum over all members");
    for (n, minutes, seeds) in
        [(3, 10, 100), (9, 10, 50), (30, 10, 20), (100, 10, 10), (300, 10, 20), (1000, 2, 4)]
    {
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
