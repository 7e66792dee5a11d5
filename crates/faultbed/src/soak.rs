//! Scenarios drawn by a seed, from all kinds of faults that one process, its machine, its hosts and the change log can have.
//!
//! A drawn scenario is text in the notation, so that a red one is a file that replays it.
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// Seconds of load; the last fault ends `QUIET` before.
const LASTS: f64 = 16.0;
const QUIET: f64 = 3.0;
/// Requests a second of all dispatchers together.
const LOAD: f64 = 160.0;
const FAULTS: std::ops::RangeInclusive<usize> = 4..=8;
const CACHES: usize = 4;

/// The kinds of faults, by the word that begins them in the notation.
pub const KINDS: [&str; 16] = [
    "step", "calls", "freeze", "hang", "fail", "slow", "fresh", "vanish", "drain", "purge", "silence",
    "term", "hup", "kill", "stop", "folder",
];

/// Calls that may fail for a moment, how, and at most what part of them. Reads and writes that break a client's connection are
/// not among them: nobody could answer its requests.
const CALLS: [(&str, &str, f64); 11] = [
    ("accept", "ECONNABORTED", 0.5),
    ("accept", "ENFILE", 0.3),
    ("accept", "ENOBUFS", 0.3),
    ("socket", "ENFILE", 0.3),
    ("socket", "ENOBUFS", 0.3),
    ("connect", "EADDRNOTAVAIL", 0.3),
    ("connect", "ENETUNREACH", 0.3),
    ("wait", "EINTR", 0.3),
    ("short-read", "7", 0.3),
    ("short-write", "9", 0.3),
    ("connect", "ETIMEDOUT", 0.2),
];

/// The text of a seed's scenario.
pub fn scenario(seed: u64) -> String {
    let mut draw = Draw {
        chance: Pcg64Mcg::seed_from_u64(seed),
        text: String::new(),
        processes: Vec::new(),
        silent: None,
    };
    draw.setting();
    let mut kinds = KINDS.to_vec();
    kinds.shuffle(&mut draw.chance);
    let count = draw.chance.gen_range(FAULTS);
    // A host that stands still matters with a purge, and the purge with it.
    if kinds[..count].contains(&"freeze") && !kinds[..count].contains(&"purge") {
        draw.fault("purge");
    }
    kinds.into_iter().take(count).for_each(|kind| draw.fault(kind));
    draw.text
}

struct Draw {
    chance: Pcg64Mcg,
    text: String,
    processes: Vec<String>,
    /// From when to when the change log tells nothing.
    silent: Option<(f64, f64)>,
}

impl Draw {
    fn line(&mut self, line: String) {
        let _ = writeln!(self.text, "{line}");
    }

    fn setting(&mut self) {
        // A few now and then are many.
        let most = if self.chance.gen_bool(0.1) { 30 } else { 6 };
        let count = self.chance.gen_range(1..=most);
        self.processes = (1..=count).map(|number| format!("d{number}")).collect();
        let caches: Vec<String> = (1..=CACHES).map(|number| format!("c{number}")).collect();
        self.line(format!("dispatchers {} at edge", self.processes.join(" ")));
        self.line(format!("caches {} at edge transfers 16", caches.join(" ")));
        self.line("parents p1 p2 transfers 40".into());
        self.line("origin o1 transfers 40".into());
        self.line(format!("load all {:.1}", LOAD / count.max(3) as f64));
        self.line("writes 0.1\nobjects 200\nwork 10".into());
        if self.chance.gen_bool(0.3) {
            self.line("store".into());
        }
        self.line(format!("for {LASTS}\nhold rules"));
    }

    fn process(&mut self) -> String {
        let place = self.chance.gen_range(0..self.processes.len());
        self.processes[place].clone()
    }

    fn cache(&mut self) -> String {
        format!("c{}", self.chance.gen_range(1..=CACHES))
    }

    fn fault(&mut self, kind: &str) {
        let at = self.chance.gen_range(1.0..7.0);
        let lasts = self.chance.gen_range(1.0..LASTS - QUIET - at);
        let end = at + lasts;
        match kind {
            "step" => {
                let (who, back) = (self.process(), self.chance.gen_bool(0.5));
                let ms = [700, 3_000, 3_600_000][self.chance.gen_range(0..3)];
                let way = if back { "back" } else { "forward" };
                self.line(format!("at {at:.2} for {lasts:.2} step {who} {way} {ms}"));
            }
            "calls" => {
                let who = self.process();
                for _ in 0..2 {
                    let (call, how, most) = CALLS[self.chance.gen_range(0..CALLS.len())];
                    let part = self.chance.gen_range(0.05..most);
                    self.line(format!("at {at:.2} for {lasts:.2} calls {who} {call} {how} {part:.2}"));
                }
            }
            "folder" => {
                // Only where a folder lasts: its process is killed while it fails, and started anew with what it has.
                if self.text.contains("\nstore") {
                    let who = self.process();
                    for (call, error) in [("file-write", "ENOSPC"), ("file-sync", "EIO")] {
                        let part = self.chance.gen_range(0.1..0.9);
                        self.line(format!("at {at:.2} for {lasts:.2} calls {who} {call} {error} {part:.2}"));
                    }
                    self.line(format!("at {:.2} for 0.5 kill {who}", at + lasts / 2.0));
                }
            }
            "freeze" | "hang" => {
                let who = self.cache();
                self.line(format!("at {at:.2} for {lasts:.2} {kind} {who}"));
            }
            "fail" => {
                let who = ["c1", "c2", "p1"][self.chance.gen_range(0..3)];
                self.line(format!("at {at:.2} for {lasts:.2} fail {who} 0.6"));
            }
            "slow" => {
                let who = self.cache();
                self.line(format!("at {at:.2} for {lasts:.2} slow {who} 4"));
            }
            "fresh" => {
                let who = self.cache();
                self.line(format!("at {at:.2} fresh {who}"));
            }
            "vanish" => {
                let who = self.cache();
                self.line(format!("at {at:.2} for {lasts:.2} vanish {who}"));
            }
            // Drains in a log that is silent can't be heard, nor guarded (docs/design.md).
            "drain" if self.silent.is_none() => {
                let who = self.cache();
                self.line(format!("at {at:.2} for {lasts:.2} drain {who}"));
            }
            "silence" if !self.text.contains(" drain ") => {
                self.silent = Some((at, end));
                self.line(format!("at {at:.2} for {lasts:.2} silence"));
            }
            "drain" | "silence" => {}
            "purge" => {
                let count = self.chance.gen_range(2..=6);
                for _ in 0..count {
                    let at = self.chance.gen_range(0.5..LASTS - QUIET);
                    self.line(format!("at {at:.2} purge"));
                }
            }
            "term" => {
                let who = self.process();
                self.line(format!("at {at:.2} term {who}"));
            }
            "hup" => {
                let who = self.process();
                for place in 0..self.chance.gen_range(1..=4) {
                    self.line(format!("at {:.2} hup {who}", at + 0.05 * f64::from(place)));
                }
            }
            "kill" | "stop" => {
                let (who, lasts) = (self.process(), lasts.min(2.0));
                self.line(format!("at {at:.2} for {lasts:.2} {kind} {who}"));
            }
            other => unreachable!("{other} is none of the kinds"),
        }
    }
}

/// The same scenario without one of its faults; none where it has not so many.
pub fn without(text: &str, fault: usize) -> Option<String> {
    let (mut seen, mut found) = (0, false);
    let kept: Vec<&str> = text
        .lines()
        .filter(|line| {
            let is_fault = line.starts_with("at ");
            let goes = is_fault && seen == fault;
            seen += usize::from(is_fault);
            found |= goes;
            !goes
        })
        .collect();
    found.then(|| kept.join("\n") + "\n")
}
