//! The feed on the made network: order and completeness under faults, fences, bounds, who is slow.
mod feed_bed;

use cherrypass::time::Span;
use cherrypass_fleet::feed::Set;
use cherrypass_fleet::made::Link;
use feed_bed::Fleet;
use rand::Rng;
use test_case::test_case;

/// Runs a seeded schedule; a failure names its seed.
fn each_seed(seeds: std::ops::Range<u64>, play: impl Fn(u64) + std::panic::RefUnwindSafe) {
    for seed in seeds {
        if let Err(cause) = std::panic::catch_unwind(|| play(seed)) {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(cause);
        }
    }
}

fn small() -> Set {
    Set {
        backlog_items: 12,
        backlog_bytes: 4 << 10,
        state_items: 48,
        state_bytes: 16 << 10,
        frame_bytes: 1 << 10,
        window: 2 << 10,
        most_value: 600,
        slow_after: Span::millis(600),
        back_after: Span::seconds(2.0),
        stay: Span::seconds(3.0),
        gone_after: Span::seconds(8.0),
        ..Set::default()
    }
}

/// Losses, repeats, changes of order, cuts, stops, deaths and restarts for eight seconds, then quiet.
fn schedule(seed: u64) {
    let (members, followers) = (2 + (seed % 3) as usize, 2 + (seed / 3 % 4) as usize);
    let mut fleet = Fleet::new(seed, small(), members, followers);
    let (members, followers) = (fleet.members.clone(), fleet.followers.clone());
    let everyone: Vec<_> = members.iter().chain(&followers).copied().collect();
    fleet.net.link = Link { lost: 0.15, twice: 0.1, delay: [Span::millis(1), Span::millis(120)] };
    let mut down = Vec::new();
    for _ in 0..40 {
        let chance = &mut fleet.net.chance;
        let (id, other) =
            (everyone[chance.gen_range(0..everyone.len())], everyone[chance.gen_range(0..everyone.len())]);
        let (source, fault) = (members[chance.gen_range(0..members.len())], chance.gen_range(0..18));
        let (items, key, bytes) =
            (chance.gen_range(0..12), chance.gen_range(0..20), chance.gen_range(0..600));
        let hold = Span::seconds(if chance.gen_bool(0.3) { 2.0 } else { 1000.0 });
        let span = Span::millis(chance.gen_range(100..4000));
        for item in 0..items {
            fleet.publish(source, (key + item) % 20, bytes, hold);
        }
        match fault {
            0 => {
                fleet.net.kill(id);
                down.push(id);
            }
            1 | 2 => {
                if let Some(id) = down.pop() {
                    fleet.start(id);
                }
            }
            3 => fleet.start(id),
            4 | 5 => fleet.net.stop(id, span),
            6 | 7 => {
                fleet.net.cut.insert((id, other));
            }
            8..=10 => fleet.net.cut.clear(),
            11 => {
                let slow = Link { lost: 0.7, twice: 0.1, delay: [Span::millis(300), Span::millis(2000)] };
                fleet.net.links.insert((id, other), slow);
            }
            _ => {}
        }
        fleet.net.play(Span::millis(200), |_| {});
    }
    fleet.net.cut.clear();
    fleet.net.links.clear();
    fleet.net.link.lost = 0.05;
    for id in down {
        fleet.start(id);
    }
    fleet.net.play(Span::seconds(14.0), |_| {});
    fleet.net.link.lost = 0.0;
    fleet.net.play(Span::seconds(2.0), |_| {});
    fleet.assert_complete();
    fleet.assert_carried_once();
    let most = fleet.set.most_bytes(members.len());
    for bed in everyone.iter().filter_map(|id| fleet.net.node(*id)) {
        assert!(bed.largest <= most, "{} bytes held, {most} stated", bed.largest);
    }
}

/// `FEED_SEEDS` asks for more of them.
#[test_case(0; "first quarter")]
#[test_case(1; "second quarter")]
#[test_case(2; "third quarter")]
#[test_case(3; "last quarter")]
fn whatever_fails_every_follower_gets_all_in_order(quarter: u64) {
    let seeds = std::env::var("FEED_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(1200) / 4;
    each_seed(quarter * seeds..(quarter + 1) * seeds, schedule);
}
