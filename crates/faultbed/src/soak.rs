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

/// Kinds drawn in addition to those above, each by half of the seeds.
pub const FURTHER_KINDS: [&str; 2] = ["errors", "crowd"];

/// Errors of reads and writes, the thread, and the maximum failure rate. Errors that end a connection concern hosts
/// and the change log alone: no dispatcher could answer the requests of a client whose connection they end.
const CONNECTION_ERRORS: [(&str, &str, &str, f64); 12] = [
    ("read", "EINTR", "lines", 0.3),
    ("read", "EINTR", "listener", 0.3),
    ("read", "EAGAIN", "lines", 0.3),
    ("read", "EAGAIN", "listener", 0.3),
    ("write", "EINTR", "cherrypass", 0.3),
    ("write", "EAGAIN", "cherrypass", 0.3),
    ("write", "EAGAIN", "hosts", 0.1),
    ("read", "ECONNRESET", "lines", 0.02),
    ("read", "EHOSTUNREACH", "lines", 0.02),
    ("write", "EPIPE", "hosts", 0.02),
    ("read", "ECONNRESET", "changes", 0.1),
    ("write", "EPIPE", "changes", 0.1),
];
const CROWD_SIZE: std::ops::RangeInclusive<u32> = 20..=100;

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
    draw.push_further_faults();
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

    fn push_further_faults(&mut self) {
        if self.rng.gen_bool(0.5) {
            self.push_connection_errors();
        }
        if self.rng.gen_bool(0.5) {
            self.push_crowd();
        }
        if self.rng.gen_bool(0.5) {
            self.push_stop_series();
        }
        if self.rng.gen_bool(0.5) {
            self.push_signal_series();
        }
    }

    fn push_connection_errors(&mut self) {
        let who = self.random_process();
        for _ in 0..2 {
            let (call, error, thread, most) =
                CONNECTION_ERRORS[self.rng.gen_range(0..CONNECTION_ERRORS.len())];
            let rate = self.rng.gen_range(most / 4.0..most);
            let (at, lasts) = (self.rng.gen_range(1.0..6.0), self.rng.gen_range(1.0..6.0));
            self.push_line(format!(
                "at {at:.2} for {lasts:.2} calls {who} {call} {error} {rate:.3} of {thread}"
            ));
        }
    }

    fn push_crowd(&mut self) {
        let (who, count) = (self.random_process(), self.rng.gen_range(CROWD_SIZE));
        let (at, lasts) = (self.rng.gen_range(1.0..6.0), self.rng.gen_range(2.0..6.0));
        self.push_line(format!("at {at:.2} for {lasts:.2} crowd {who} {count}"));
    }

    /// Several stops of a process, with little time to run in between.
    fn push_stop_series(&mut self) {
        let Some(who) = self.undisturbed_process() else { return };
        let mut at = self.rng.gen_range(1.0..8.0);
        for _ in 0..self.rng.gen_range(2..=5) {
            let lasts = self.rng.gen_range(0.2..0.6);
            self.push_line(format!("at {at:.3} for {lasts:.3} stop {who}"));
            at += lasts + self.rng.gen_range(0.005..0.1);
        }
    }

    /// SIGHUP several times, right before SIGTERM too, which a shutdown has to bear.
    fn push_signal_series(&mut self) {
        let Some(who) = self.undisturbed_process() else { return };
        let at = self.rng.gen_range(2.0..8.0);
        for index in 0..self.rng.gen_range(1..=3) {
            self.push_line(format!("at {:.3} hup {who}", at + 0.03 * f64::from(index)));
        }
        self.push_line(format!("at {:.3} term {who}", at + 0.1));
    }

    /// A process that no other fault stops, kills or ends.
    fn undisturbed_process(&mut self) -> Option<String> {
        let who = self.random_process();
        let is_disturbed = ["stop", "kill", "term"].iter().any(|kind| {
            let fault = format!("{kind} {who}");
            self.text.lines().any(|line| line.ends_with(&fault))
        });
        (!is_disturbed).then_some(who)
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
