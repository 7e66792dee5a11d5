//! Random scenarios from a seed, with all kinds of faults of a process, its machine, its hosts and the change
//! log. A scenario is text in the notation, so that a failing one can be saved and replayed.
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// Duration of the load; the last fault ends `QUIET_S` before its end.
const DURATION_S: f64 = 16.0;
const QUIET_S: f64 = 3.0;
/// Load of all dispatchers together.
const TOTAL_LOAD_PER_S: f64 = 160.0;
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 4..=8;
const CACHE_COUNT: usize = 4;

/// The kinds of faults, by their keyword in the notation.
pub const FAULT_KINDS: [&str; 16] = [
    "step", "calls", "freeze", "hang", "fail", "slow", "fresh", "vanish", "drain", "purge", "silence",
    "term", "hup", "kill", "stop", "folder",
];

/// System calls that may fail, the error, and the maximum failure rate. Errors that break a client's
/// connection are left out, as no dispatcher could answer its requests.
const CALL_FAULTS: [(&str, &str, f64); 11] = [
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

/// The scenario of a seed, as text in the notation.
pub fn scenario(seed: u64) -> String {
    let mut draw = ScenarioDraw {
        rng: Pcg64Mcg::seed_from_u64(seed),
        text: String::new(),
        processes: Vec::new(),
        silent: None,
    };
    draw.push_setup();
    let mut kinds = FAULT_KINDS.to_vec();
    kinds.shuffle(&mut draw.rng);
    let count = draw.rng.gen_range(FAULT_COUNT);
    // A frozen host is only relevant together with purges.
    if kinds[..count].contains(&"freeze") && !kinds[..count].contains(&"purge") {
        draw.push_fault("purge");
    }
    kinds.into_iter().take(count).for_each(|kind| draw.push_fault(kind));
    draw.text
}

struct ScenarioDraw {
    rng: Pcg64Mcg,
    text: String,
    processes: Vec<String>,
    /// Start and end of the time in which the change log does not answer.
    silent: Option<(f64, f64)>,
}

impl ScenarioDraw {
    fn push_line(&mut self, line: String) {
        let _ = writeln!(self.text, "{line}");
    }

    fn push_setup(&mut self) {
        // One scenario in ten has many processes.
        let most = if self.rng.gen_bool(0.1) { 30 } else { 6 };
        let count = self.rng.gen_range(1..=most);
        self.processes = (1..=count).map(|number| format!("d{number}")).collect();
        let caches: Vec<String> = (1..=CACHE_COUNT).map(|number| format!("c{number}")).collect();
        self.push_line(format!("dispatchers {} at edge", self.processes.join(" ")));
        self.push_line(format!("caches {} at edge transfers 16", caches.join(" ")));
        self.push_line("parents p1 p2 transfers 40".into());
        self.push_line("origin o1 transfers 40".into());
        self.push_line(format!("load all {:.1}", TOTAL_LOAD_PER_S / count.max(3) as f64));
        self.push_line("writes 0.1\nobjects 200\nwork 10".into());
        if self.rng.gen_bool(0.3) {
            self.push_line("store".into());
        }
        self.push_line(format!("for {DURATION_S}\nhold rules"));
    }

    fn random_process(&mut self) -> String {
        let index = self.rng.gen_range(0..self.processes.len());
        self.processes[index].clone()
    }

    fn random_cache(&mut self) -> String {
        format!("c{}", self.rng.gen_range(1..=CACHE_COUNT))
    }

    fn push_fault(&mut self, kind: &str) {
        let at = self.rng.gen_range(1.0..7.0);
        let lasts = self.rng.gen_range(1.0..DURATION_S - QUIET_S - at);
        let end = at + lasts;
        match kind {
            "step" => {
                let (who, back) = (self.random_process(), self.rng.gen_bool(0.5));
                let ms = [700, 3_000, 3_600_000][self.rng.gen_range(0..3)];
                let way = if back { "back" } else { "forward" };
                self.push_line(format!("at {at:.2} for {lasts:.2} step {who} {way} {ms}"));
            }
            "calls" => {
                let who = self.random_process();
                for _ in 0..2 {
                    let (call, how, most) = CALL_FAULTS[self.rng.gen_range(0..CALL_FAULTS.len())];
                    let part = self.rng.gen_range(0.05..most);
                    self.push_line(format!("at {at:.2} for {lasts:.2} calls {who} {call} {how} {part:.2}"));
                }
            }
            "folder" => {
                // Needs a store: the process is killed during the failures and restarted with the same
                // folder.
                if self.text.contains("\nstore") {
                    let who = self.random_process();
                    for (call, error) in [("file-write", "ENOSPC"), ("file-sync", "EIO")] {
                        let part = self.rng.gen_range(0.1..0.9);
                        self.push_line(format!(
                            "at {at:.2} for {lasts:.2} calls {who} {call} {error} {part:.2}"
                        ));
                    }
                    self.push_line(format!("at {:.2} for 0.5 kill {who}", at + lasts / 2.0));
                }
            }
            "freeze" | "hang" => {
                let who = self.random_cache();
                self.push_line(format!("at {at:.2} for {lasts:.2} {kind} {who}"));
            }
            "fail" => {
                let who = ["c1", "c2", "p1"][self.rng.gen_range(0..3)];
                self.push_line(format!("at {at:.2} for {lasts:.2} fail {who} 0.6"));
            }
            "slow" => {
                let who = self.random_cache();
                self.push_line(format!("at {at:.2} for {lasts:.2} slow {who} 4"));
            }
            "fresh" => {
                let who = self.random_cache();
                self.push_line(format!("at {at:.2} fresh {who}"));
            }
            "vanish" => {
                let who = self.random_cache();
                self.push_line(format!("at {at:.2} for {lasts:.2} vanish {who}"));
            }
            // Drains are unknown to the dispatchers while the change log does not answer (docs/design.md).
            "drain" if self.silent.is_none() => {
                let who = self.random_cache();
                self.push_line(format!("at {at:.2} for {lasts:.2} drain {who}"));
            }
            "silence" if !self.text.contains(" drain ") => {
                self.silent = Some((at, end));
                self.push_line(format!("at {at:.2} for {lasts:.2} silence"));
            }
            "drain" | "silence" => {}
            "purge" => {
                let count = self.rng.gen_range(2..=6);
                for _ in 0..count {
                    let at = self.rng.gen_range(0.5..DURATION_S - QUIET_S);
                    self.push_line(format!("at {at:.2} purge"));
                }
            }
            "term" => {
                let who = self.random_process();
                self.push_line(format!("at {at:.2} term {who}"));
            }
            "hup" => {
                let who = self.random_process();
                for index in 0..self.rng.gen_range(1..=4) {
                    self.push_line(format!("at {:.2} hup {who}", at + 0.05 * f64::from(index)));
                }
            }
            "kill" | "stop" => {
                let (who, lasts) = (self.random_process(), lasts.min(2.0));
                self.push_line(format!("at {at:.2} for {lasts:.2} {kind} {who}"));
            }
            other => unreachable!("unknown kind of fault: {other}"),
        }
    }
}

/// The scenario without the fault of this index; None if there is no such fault.
pub fn without_fault(text: &str, fault: usize) -> Option<String> {
    let (mut seen, mut found) = (0, false);
    let kept: Vec<&str> = text
        .lines()
        .filter(|line| {
            let is_fault = line.starts_with("at ");
            let is_removed = is_fault && seen == fault;
            seen += usize::from(is_fault);
            found |= is_removed;
            !is_removed
        })
        .collect();
    found.then(|| kept.join("\n") + "\n")
}
