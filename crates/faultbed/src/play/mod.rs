//! Plays a scenario: starts simulated hosts, links, clients and processes, applies the faults at their times,
//! and collects all observations.
mod config;
mod faults;
mod finish;
mod ports;
mod start;

use crate::changelog::ChangeLog;
use crate::clients::Load;
use crate::crowd::Crowd;
use crate::hosts::Hosts;
use crate::links::Link;
use crate::notation::{PlannedFault, Scenario};
use crate::notes::{unix_micros, Absences, Event, Note, Notes, TimedNotes};
use crate::processes::{supports_faults, Process, ProcessFiles};
use crate::stop_points::StopCounts;
use cherrypass_shim::control::Call;
use cherrypass_shim::Shim;
use serde_json::Value;
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}: {1}; check the file or folder")]
    Io(String, io::Error),
    #[error("{0} did not start: {1}; see its log")]
    NotStarted(String, String),
    #[error(
        "{0} does not support disk and clock faults: cargo build -p cherrypass-dispatcher --features faults"
    )]
    FaultsUnsupported(String),
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    let what = what.into();
    move |error| Error::Io(what, error)
}

/// The programs, the folder and the seed of a play.
pub struct Setup<'a> {
    pub program: &'a Path,
    /// The older build of a pair; without it, `program` restricted to form 1 takes its place.
    pub older_program: Option<&'a Path>,
    /// Folder for configurations, logs, stores and events.
    pub folder: &'a Path,
    pub seed: u64,
}

/// The observations of a play.
#[derive(Default)]
pub struct PlayResult {
    pub notes: TimedNotes,
    pub events: Vec<Event>,
    /// Log of each process.
    pub logs: BTreeMap<String, String>,
    /// Start and end of the load.
    pub load_span: (u64, u64),
    /// Processes that exited unexpectedly, or not cleanly on SIGTERM.
    pub abnormal_exits: Vec<String>,
    /// Times in which processes were killed or stopped, until they were available again.
    pub unavailable: Vec<(String, u64, u64)>,
    /// Times from the exit of a process after SIGTERM until it was available again.
    pub terminated: Vec<(String, u64, u64)>,
    /// Times in which the change log did not answer.
    pub log_silences: Vec<(u64, u64)>,
    /// Where the threads of stopped processes were.
    pub stop_counts: StopCounts,
    /// Number of calls and injected failures of each system call, over all processes.
    pub call_counts: Vec<(Call, [u64; 2])>,
    /// Processes that at the end run a build without fleet support.
    pub without_fleet: Vec<String>,
    /// Number of datagrams forwarded by the links.
    pub datagrams: u64,
    /// Rollout orders: output, and whether they were accepted.
    pub rollout_orders: Vec<(String, bool)>,
    /// Rollout status of each process that was running at the end.
    pub rollout_statuses: BTreeMap<String, Value>,
}

impl PlayResult {
    pub fn absences(&self) -> Absences<'_> {
        Absences {
            unavailable: &self.unavailable,
            terminated: &self.terminated,
            log_silences: &self.log_silences,
        }
    }
}

struct Dispatcher {
    files: ProcessFiles,
    shim: Option<Shim>,
    address: SocketAddr,
    process: Option<Process>,
    load: Load,
    crowd: Option<Crowd>,
    store_dir: PathBuf,
    /// Whether the older build is in use now.
    is_older_build: bool,
    /// The active disk orders and the file that holds them.
    disk_orders: (Vec<String>, PathBuf),
    unavailable_since: Option<u64>,
    rate: f64,
}

struct Play<'a> {
    setup: Setup<'a>,
    scenario: &'a Scenario,
    notes: Notes,
    change_log: ChangeLog,
    hosts: Hosts,
    zones: Vec<String>,
    dispatchers: BTreeMap<String, Dispatcher>,
    links: BTreeMap<(String, String), Link>,
    fleet_addresses: BTreeMap<String, SocketAddr>,
    /// Whether the older build supports the fleet; None until that was checked.
    older_build_joins_fleet: Option<bool>,
    unavailable: Vec<(String, u64, u64)>,
    terminated: Vec<(String, u64, u64)>,
    log_silences: Vec<(u64, u64)>,
    abnormal_exits: Vec<String>,
    stop_counts: StopCounts,
    rollout_orders: Vec<(String, bool)>,
    control_addresses: BTreeMap<String, SocketAddr>,
    /// The rollout runner that was killed by a fault.
    killed_runner: Option<String>,
}

const END_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `cherrypass rollout`. Returns whether the order was accepted, and the output.
fn run_rollout_command(program: &Path, arguments: &[&OsStr]) -> io::Result<(bool, String)> {
    let done = Command::new(program).arg("rollout").args(arguments).stdin(Stdio::null()).output()?;
    let output = if done.stdout.is_empty() { &done.stderr } else { &done.stdout };
    Ok((done.status.success(), String::from_utf8_lossy(output).into_owned()))
}

/// Plays a scenario.
pub fn play(scenario: &Scenario, setup: Setup) -> Result<PlayResult, Error> {
    let program = || setup.program.display().to_string();
    if scenario.needs_fault_build() && !supports_faults(setup.program).map_err(io_error(program()))? {
        return Err(Error::FaultsUnsupported(program()));
    }
    let notes = Notes::default();
    let log = ChangeLog::start(notes.clone()).map_err(io_error("the change log"))?;
    let mut play = Play {
        setup,
        scenario,
        notes,
        change_log: log,
        hosts: Hosts::default(),
        zones: zones(scenario),
        dispatchers: BTreeMap::new(),
        links: BTreeMap::new(),
        fleet_addresses: BTreeMap::new(),
        older_build_joins_fleet: None,
        unavailable: Vec::new(),
        terminated: Vec::new(),
        log_silences: Vec::new(),
        abnormal_exits: Vec::new(),
        stop_counts: StopCounts::new(),
        rollout_orders: Vec::new(),
        control_addresses: BTreeMap::new(),
        killed_runner: None,
    };
    play.start()?;
    let span = play.run()?;
    play.finish(span)
}

/// All locations of dispatchers and hosts; the first is that of parents and the origin.
fn zones(scenario: &Scenario) -> Vec<String> {
    let mut zones = vec!["hub".to_owned()];
    let own = scenario.dispatchers.iter().map(|(_, location)| location);
    for location in own.chain(scenario.hosts.iter().filter_map(|hosts| hosts.location.as_ref())) {
        if !zones.contains(location) {
            zones.push(location.clone());
        }
    }
    zones
}

impl Play<'_> {
    /// Applies the faults at their times; returns start and end of the load.
    fn run(&mut self) -> Result<(u64, u64), Error> {
        let mut due: Vec<(f64, bool, &PlannedFault)> = Vec::new();
        for planned in &self.scenario.faults {
            due.push((planned.at, true, planned));
            due.extend(planned.duration.map(|lasts| (planned.at + lasts, false, planned)));
        }
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Gives the members time to discover each other.
        std::thread::sleep(Duration::from_millis(if self.scenario.fleet.is_some() { 1_500 } else { 200 }));
        let (started, start_time) = (Instant::now(), unix_micros());
        self.dispatchers.values().for_each(|dispatcher| dispatcher.load.set_rate(dispatcher.rate));
        for (at, begins, planned) in due {
            let at = Duration::from_secs_f64(at);
            std::thread::sleep(at.saturating_sub(started.elapsed()));
            let what = format!("{} {:?}", if begins { "begins" } else { "ends" }, planned.fault);
            self.notes.record(Note::Fault { what });
            self.apply_fault(&planned.fault, begins)?;
        }
        std::thread::sleep(Duration::from_secs_f64(self.scenario.duration).saturating_sub(started.elapsed()));
        Ok((start_time, unix_micros()))
    }

    fn mark_unavailable(&mut self, name: &str) {
        if let Some(dispatcher) = self.dispatchers.get_mut(name) {
            dispatcher.unavailable_since.get_or_insert(unix_micros());
        }
    }

    fn mark_available(&mut self, name: &str) {
        if let Some(since) =
            self.dispatchers.get_mut(name).and_then(|dispatcher| dispatcher.unavailable_since.take())
        {
            self.unavailable.push((name.to_owned(), since, unix_micros()));
        }
    }

    /// Rollout status as reported by a process.
    fn rollout_status(&self, name: &str) -> Option<Value> {
        let control = self.control_addresses.get(name)?.to_string();
        let arguments = ["status", "--json", "--control", &control].map(OsStr::new);
        let (_, output) = run_rollout_command(self.setup.program, &arguments).ok()?;
        Some(serde_json::from_str::<Value>(&output).ok()?["rollout"].take())
    }
}
