//! Random scenarios in which dispatchers are stopped while a drain or a purge is announced: one of them or both, for
//! 0.2 to 2.2 s, singly or in series with short times to run in between.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// Duration of the load, and when the last stop begins at the latest.
const DURATION_S: f64 = 36.0;
const LAST_STOP_S: f64 = 30.0;
/// Time between the first stops of two episodes.
const EPISODE_S: f64 = 3.6;
/// Visits per second at the first dispatcher.
const LOADS: [u32; 4] = [80, 300, 600, 1200];
const CACHE_COUNT: usize = 4;
const DRAIN_S: f64 = 3.0;

/// What is announced while a dispatcher is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Announcement {
    Drain,
    Purge,
}

/// The scenario of a seed, as text in the notation. Odd seeds purge, even ones drain.
pub fn scenario(seed: u64) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let announcement = if seed % 2 == 1 { Announcement::Purge } else { Announcement::Drain };
    let load = LOADS[rng.gen_range(0..LOADS.len())];
    let mut text = format!(
        "dispatchers d1 d2 at edge\ncaches c1 c2 c3 c4 at edge transfers 64\nparents p1 p2 transfers 160\n\
         origin o1 transfers 160\nload d1 {load}\nload d2 20\nobjects 200\nwork 10\nfor {DURATION_S}\nhold rules\n"
    );
    let mut at = 1.0;
    while at < LAST_STOP_S {
        push_episode(&mut text, &mut rng, announcement, at);
        at += EPISODE_S;
    }
    text
}

/// A stop or a series of stops, and an announcement soon after the first began.
fn push_episode(text: &mut String, rng: &mut Pcg64Mcg, announcement: Announcement, at: f64) {
    let at = at + rng.gen_range(0.0..0.04);
    let announced_at = at + rng.gen_range(0.03..0.2);
    let stops = if rng.gen_bool(0.4) { series(rng, at) } else { vec![(at, rng.gen_range(0.2..2.2))] };
    let stops_both = rng.gen_bool(0.3);
    for (start, lasts) in stops {
        let _ = writeln!(text, "at {start:.3} for {lasts:.3} stop d1");
        if stops_both {
            let _ = writeln!(text, "at {start:.3} for {lasts:.3} stop d2");
        }
    }
    let _ = match announcement {
        Announcement::Purge => writeln!(text, "at {announced_at:.3} purge"),
        Announcement::Drain => {
            let cache = rng.gen_range(1..=CACHE_COUNT);
            writeln!(text, "at {announced_at:.3} for {DRAIN_S:.3} drain c{cache}")
        }
    };
}

/// Start and duration of three to six stops, with 2 to 100 ms between two.
fn series(rng: &mut Pcg64Mcg, mut at: f64) -> Vec<(f64, f64)> {
    let count = rng.gen_range(3..=6);
    let mut stops = Vec::new();
    for _ in 0..count {
        let lasts = rng.gen_range(0.2..0.45);
        stops.push((at, lasts));
        at += lasts + rng.gen_range(0.002..0.1);
    }
    stops
}
