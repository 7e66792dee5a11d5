//! Plays a scenario: starts simulated hosts, links, clients and processes, applies the faults at their times,
//! and collects all observations.
use crate::changelog::{ChangeLog, HostEntry};
use crate::clients::{Load, Mix, VisitNumbers, CLASSES};
use crate::hosts::{self, Host, Hosts, Mode};
use crate::links::{Link, LinkFaults};
use crate::notation::{Fault, HostKind, LinkSelection, PlannedFault, Scenario};
use crate::notes::{parse_events, unix_micros, Absences, Event, Note, Notes, TimedNotes};
use crate::processes::{accepts_files, supports_faults, Process, ProcessFiles};
use cherrypass_shim::control::{Call, ALL_CALLS};
use cherrypass_shim::Shim;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
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
    rollout_orders: Vec<(String, bool)>,
    control_addresses: BTreeMap<String, SocketAddr>,
    /// The rollout runner that was killed by a fault.
    killed_runner: Option<String>,
}

const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from SIGTERM to SIGKILL: the longest deadline and 0.7 s more.
const KILL_DELAY: Duration = Duration::from_millis(CLASSES[0].1 + 700);
/// Time from SIGTERM until clients open no new connections.
const AVOIDANCE_DELAY: Duration = Duration::from_millis(300);
const END_TIMEOUT: Duration = Duration::from_secs(5);
/// Up to this number of processes each pair has a link; beyond it only pairs with a link fault, as each link
/// is a thread.
const MAX_FULLY_LINKED: usize = 12;
/// Time from the restart of a host to its announcement in the change log.
const START_LISTING_DELAY: Duration = Duration::from_millis(500);

/// Runs `cherrypass rollout`. Returns whether the order was accepted, and the output.
fn run_rollout_command(program: &Path, arguments: &[&OsStr]) -> io::Result<(bool, String)> {
    let done = Command::new(program).arg("rollout").args(arguments).stdin(Stdio::null()).output()?;
    let output = if done.stdout.is_empty() { &done.stderr } else { &done.stdout };
    Ok((done.status.success(), String::from_utf8_lossy(output).into_owned()))
}

/// Ports below the ephemeral range.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Finds a free port, each at most once per run and outside the ephemeral range, so that concurrent plays do
/// not take the port before the process listens on it.
fn free_port(udp: bool) -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    // Concurrent runs start at different offsets.
    let begin = std::process::id().wrapping_mul(7_919);
    for _ in 0..count {
        let index = begin.wrapping_add(NEXT.fetch_add(1, SeqCst)) % count;
        let address = SocketAddr::from(([127, 0, 0, 1], PORT_RANGE.start + index as u16));
        let free = if udp { UdpSocket::bind(address).is_ok() } else { TcpListener::bind(address).is_ok() };
        if free {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}

/// Plays a scenario.
pub fn play(scenario: &Scenario, setup: Setup) -> Result<PlayResult, Error> {
    let program = || setup.program.display().to_string();
    if scenario.needs_fault_build() && !supports_faults(setup.program).map_err(io_error(program()))? {
        return Err(Error::FaultsUnsupported(program()));
    }
    let notes = Notes::default();
    let log = ChangeLog::start(notes.clone()).map_err(io_error("the change log"))?;
    let mut zones = vec!["hub".to_owned()];
    let own = scenario.dispatchers.iter().map(|(_, location)| location);
    for location in own.chain(scenario.hosts.iter().filter_map(|hosts| hosts.location.as_ref())) {
        if !zones.contains(location) {
            zones.push(location.clone());
        }
    }
    let mut play = Play {
        setup,
        scenario,
        notes,
        change_log: log,
        hosts: Hosts::default(),
        zones,
        dispatchers: BTreeMap::new(),
        links: BTreeMap::new(),
        fleet_addresses: BTreeMap::new(),
        older_build_joins_fleet: None,
        unavailable: Vec::new(),
        terminated: Vec::new(),
        log_silences: Vec::new(),
        abnormal_exits: Vec::new(),
        rollout_orders: Vec::new(),
        control_addresses: BTreeMap::new(),
        killed_runner: None,
    };
    play.start()?;
    let span = play.run()?;
    play.finish(span)
}

impl Play<'_> {
    fn start(&mut self) -> Result<(), Error> {
        let (scenario, seed) = (self.scenario, self.setup.seed);
        let work = Duration::from_secs_f64(scenario.work_ms / 1e3);
        for hosts in &scenario.hosts {
            for name in &hosts.names {
                let what = (&format!("s-{name}")[..], hosts.kind, hosts.transfers);
                let seed = seed ^ self.hosts.read().map_or(0, |hosts| hosts.len() as u64 + 1);
                Host::start(what, work, seed, self.notes.clone(), self.hosts.clone())
                    .map_err(io_error(name))?;
            }
        }
        let names: Vec<String> = scenario.hosts.iter().flat_map(|hosts| hosts.names.clone()).collect();
        let entries: Vec<HostEntry> = names.iter().filter_map(|name| self.entry(name)).collect();
        self.change_log.append_hosts(&entries, "in_service", true);
        let names: Vec<String> = scenario.dispatchers.iter().map(|(name, _)| name.clone()).collect();
        let mut fleet: BTreeMap<String, SocketAddr> = BTreeMap::new();
        for name in names.iter().filter(|_| scenario.fleet.is_some()) {
            fleet.insert(name.clone(), free_port(true).map_err(io_error("a port"))?);
        }
        for name in names.iter().filter(|_| scenario.has_rollout_orders()) {
            self.control_addresses.insert(name.clone(), free_port(false).map_err(io_error("a port"))?);
        }
        for (index, (from, to)) in
            names.iter().flat_map(|from| names.iter().map(move |to| (from, to))).enumerate()
        {
            let linked = names.len() <= MAX_FULLY_LINKED || scenario.has_link_fault(from, to);
            if let Some(address) = fleet.get(to).filter(|_| from != to && linked) {
                let link = Link::start(*address, seed.wrapping_mul(31) + index as u64)
                    .map_err(io_error("a link"))?;
                self.links.insert((from.clone(), to.clone()), link);
            }
        }
        self.fleet_addresses = fleet;
        let numbers = VisitNumbers::default();
        numbers.store(1, SeqCst);
        for (index, name) in names.iter().enumerate() {
            let address = free_port(false).map_err(io_error("a port"))?;
            let at = |what: &str| self.setup.folder.join(format!("{name}{what}"));
            let mut environment = Vec::new();
            if scenario.needs_fault_build() {
                environment.push(("CHERRYPASS_DISK_ORDERS", at(".disk").display().to_string()));
                let rate = scenario.clock_rates.iter().find(|(who, _)| who == name).map(|(_, rate)| rate);
                environment.extend(rate.map(|rate| ("CHERRYPASS_CLOCK_RATE", rate.to_string())));
            }
            let shim = if scenario.needs_shim() {
                let shim =
                    Shim::new(seed.wrapping_mul(1_000_003) + index as u64).map_err(io_error("a shim"))?;
                environment.extend(shim.environment().map_err(io_error("a shim"))?);
                Some(shim)
            } else {
                None
            };
            let files = ProcessFiles { config: at(".json"), operator: None, log: at(".log"), environment };
            std::fs::write(&files.config, self.config(index, name, address))
                .map_err(io_error("a configuration"))?;
            let of =
                |who: &str| scenario.load.iter().rev().find(|(name, _)| name == who).map(|(_, rate)| *rate);
            let rate = of(name).or(of("all")).unwrap_or(10.0);
            let mix = Mix { write_share: scenario.write_share, objects: scenario.objects };
            let seed = seed.wrapping_mul(1_000_003) + index as u64;
            let load =
                Load::start((name.clone(), address), 0.0, mix, seed, self.notes.clone(), numbers.clone());
            let (process, store_dir, unavailable_since) = (None, at("-kept"), None);
            let disk_orders = (Vec::new(), at(".disk"));
            let is_older_build = scenario.older_builds.contains(name);
            let dispatcher = Dispatcher {
                files,
                shim,
                address,
                process,
                load,
                store_dir,
                is_older_build,
                disk_orders,
                unavailable_since,
                rate,
            };
            self.dispatchers.insert(name.clone(), dispatcher);
            self.start_process(name)?;
        }
        for name in names {
            self.wait_for(&name)?;
        }
        Ok(())
    }

    /// Starts the current build of a dispatcher with an operator file that this build accepts.
    fn start_process(&mut self, name: &str) -> Result<(), Error> {
        let older = self.dispatchers.get(name).is_some_and(|dispatcher| dispatcher.is_older_build);
        let other = self.setup.older_program.filter(|_| older);
        let restricted_form = self.scenario.forms.iter().find(|(who, _)| who == name).map(|(_, form)| *form);
        let form = match other {
            Some(_) => None,
            None => restricted_form.or(Some(1).filter(|_| older)),
        };
        let program = other.unwrap_or(self.setup.program);
        let mut joins = other.is_none() || self.older_build_joins_fleet.unwrap_or(true);
        let Some(mut files) = self.dispatchers.get(name).map(|dispatcher| dispatcher.files.clone()) else {
            return Ok(());
        };
        let path = self.setup.folder.join(format!("{name}.jsonnet"));
        loop {
            let text = self.operator_file(name, joins, form);
            files.operator = text.is_some().then(|| path.clone());
            if let Some(text) = text {
                std::fs::write(&path, text).map_err(io_error("an operator file"))?;
            }
            if other.is_none() || self.older_build_joins_fleet.is_some() || self.scenario.fleet.is_none() {
                break;
            }
            joins = accepts_files(program, &files).map_err(io_error(program.display().to_string()))?;
            self.older_build_joins_fleet = Some(joins);
        }
        let Some(dispatcher) = self.dispatchers.get_mut(name) else { return Ok(()) };
        dispatcher.process =
            Some(Process::start(program, &files).map_err(io_error(program.display().to_string()))?);
        dispatcher.files = files;
        Ok(())
    }

    /// Stops a dispatcher in order and starts the other build of the pair with the same files.
    fn switch_build(&mut self, name: &str, older: bool) -> Result<(), Error> {
        self.mark_unavailable(name);
        let Some(dispatcher) = self.dispatchers.get_mut(name) else { return Ok(()) };
        dispatcher.is_older_build = older;
        if let Some(process) = dispatcher.process.take() {
            if !process.terminate(END_TIMEOUT) {
                self.abnormal_exits
                    .push(format!("{name} did not exit cleanly on SIGTERM before the build was switched"));
            }
        }
        self.restart(name, false)
    }

    /// Waits until a dispatcher accepts connections.
    fn wait_for(&mut self, name: &str) -> Result<(), Error> {
        let Some(dispatcher) = self.dispatchers.get_mut(name) else { return Ok(()) };
        let until = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(dispatcher.address).is_err() {
            let ended = dispatcher.process.as_mut().and_then(Process::exit_status);
            if ended.is_some() || Instant::now() > until {
                return Err(Error::NotStarted(
                    name.into(),
                    ended.unwrap_or("it accepts no connection".into()),
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        // Detects a process that exited because another play has taken its port and answers instead.
        std::thread::sleep(Duration::from_millis(20));
        match dispatcher.process.as_mut().and_then(Process::exit_status) {
            Some(ended) => Err(Error::NotStarted(name.into(), ended)),
            None => Ok(()),
        }
    }

    fn entry(&self, name: &str) -> Option<HostEntry> {
        let hosts = self.scenario.hosts.iter().find(|hosts| hosts.names.iter().any(|own| own == name))?;
        let host = self.host(name)?;
        let (zone, kind) = match hosts.kind {
            HostKind::Cache => (hosts.location.clone()?, "small"),
            HostKind::Parent => ("hub".to_owned(), "parent"),
            HostKind::Origin => ("hub".to_owned(), "origin"),
        };
        let (address, started) = (host.address, host.started_ms());
        Some(HostEntry {
            name: host.name.clone(),
            address,
            zone,
            kind,
            weight: hosts.transfers,
            started_ms: started,
        })
    }

    fn host(&self, name: &str) -> Option<std::sync::Arc<Host>> {
        self.hosts.read().ok()?.get(&format!("s-{name}")).cloned()
    }

    fn config(&self, index: usize, name: &str, listen: SocketAddr) -> String {
        let dispatchers = &self.scenario.dispatchers;
        let zone = |location: &String| self.zones.iter().position(|zone| zone == location).unwrap_or(0);
        let own = zone(&dispatchers[index].1);
        let count = |zone: &String| dispatchers.iter().filter(|(_, location)| location == zone).count();
        let counts: Vec<usize> = self.zones.iter().map(count).collect();
        let services: Vec<_> = CLASSES
            .iter()
            .map(|(name, limit)| {
                let effect = match *name {
                    "read" => json!({"effect": "idempotent"}),
                    "order" => json!({"effect": "deduplicated", "group": "all", "memory_span": 5_000_000}),
                    _ => json!({"effect": "at_most_once"}),
                };
                let mut class = json!({"name": name, "aim": 400_000, "deadline": limit * 1000});
                let effect = effect.as_object().cloned().unwrap_or_default();
                class.as_object_mut().into_iter().for_each(|fields| fields.extend(effect.clone()));
                class
            })
            .collect();
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        let settings = json!({
            "balancers": dispatchers.len(), "me": index, "zone": own, "zones": self.zones,
            "weight_source": "rough", "models": ["small", "parent", "origin"], "services": services,
            "bounds": {"cancel": true, "connect_timeout": 300_000, "conn_idle": 15_000_000, "streams_per_conn": 32,
                "max_attempts": 6, "retry_after": true, "max_retry_after": 2_000_000},
            "rules": {"cold_from": hosts::COLD_SHARE, "cold": micros(hosts::COLD_RAMP_S),
                "overload_factor": hosts::OVERLOAD_FACTOR, "overload_for": micros(hosts::OVERLOAD_WINDOW_S)},
            "domain": {"class_fresh": [0, 0, 0], "goes_through": [false, true, true], "may_pass_by": true,
                "obey_after": 1_000_000, "pace_kb_per_s": 0, "parent_kind": 1, "source_kind": 2,
                "purge_done": micros(hosts::PURGE_DELAY_S + 1.0), "count_by_zone": counts},
        });
        json!({"name": name, "listen": listen.to_string(), "seed": format!("{:x}", self.setup.seed ^ index as u64),
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "changelog": self.change_log.address.to_string(),
            "known": self.change_log.all_results(), "settings": settings})
        .to_string()
    }

    /// The operator file of a process; other members are addressed through the links.
    fn operator_file(&self, name: &str, joins: bool, form: Option<u8>) -> Option<String> {
        let fleet = &self.fleet_addresses;
        let at = |what: &str| self.setup.folder.join(format!("{name}{what}")).display().to_string();
        let mut text = String::from("{\n");
        if self.scenario.has_store {
            text += &format!("  store: {{ dir: '{}' }},\n", at("-kept"));
        }
        if let Some(keys) = self.scenario.fleet.as_ref().filter(|_| joins) {
            let members: Vec<String> = self
                .scenario
                .dispatchers
                .iter()
                .filter_map(|(other, location)| {
                    let link = self.links.get(&(name.to_owned(), other.clone()));
                    let address = link.map_or(fleet.get(other).copied(), |link| Some(link.address))?;
                    Some(format!("{{ name: '{other}', address: '{address}', location: '{location}' }}"))
                })
                .collect();
            let control =
                self.control_addresses.get(name).map_or(String::new(), |at| format!("control: '{at}', "));
            text += &format!(
                "  fleet: {{ name: 'bed', me: '{name}', listen: '{}', events: '{}', {control}members: [{}]{} }} + {keys},\n",
                fleet.get(name)?,
                at(".events"),
                members.join(", "),
                form.map_or(String::new(), |form| format!(", form: {form}"))
            );
        }
        (self.scenario.has_store || self.scenario.fleet.is_some()).then(|| text + "}\n")
    }

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

    fn each_link(&self, between: &LinkSelection, change: impl Fn(&mut LinkFaults)) {
        let links = self.links.iter().filter(|((from, to), _)| between.includes(from, to));
        links.for_each(|(_, link)| link.change_faults(&change));
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

    fn kill(&mut self, name: &str) {
        self.mark_unavailable(name);
        if let Some(process) = self.dispatchers.get_mut(name).and_then(|dispatcher| dispatcher.process.take())
        {
            drop(process);
        }
    }

    fn apply_fault(&mut self, fault: &Fault, begins: bool) -> Result<(), Error> {
        let or = |value: f64| if begins { value } else { 0.0 };
        match fault {
            Fault::Cut(between) => self.each_link(between, |link_faults| link_faults.is_cut = begins),
            Fault::Stall(between) => self.each_link(between, |link_faults| link_faults.is_stalled = begins),
            Fault::Lose(part, between) => {
                self.each_link(between, |link_faults| link_faults.loss_rate = or(part.min(1.0)))
            }
            Fault::Repeat(part, between) => {
                self.each_link(between, |link_faults| link_faults.duplication_rate = or(part.min(1.0)))
            }
            Fault::Delay(least, most, between) => {
                self.each_link(between, |link_faults| link_faults.delay_ms = [or(*least), or(*most)]);
            }
            Fault::Throttle(most, between) => {
                self.each_link(between, |link_faults| link_faults.max_per_s = Some(*most).filter(|_| begins));
            }
            Fault::Stop(name) => {
                let signal = if begins { Signal::SIGSTOP } else { Signal::SIGCONT };
                if begins {
                    self.mark_unavailable(name);
                }
                if let Some(process) =
                    self.dispatchers.get(name).and_then(|dispatcher| dispatcher.process.as_ref())
                {
                    process.signal(signal);
                }
                // A process that was killed meanwhile stays unavailable until it is restarted.
                let runs = self.dispatchers.get(name).is_some_and(|dispatcher| dispatcher.process.is_some());
                if !begins && runs {
                    self.mark_available(name);
                }
            }
            Fault::Kill(name) if name == "runner" && begins => {
                let reported_runner =
                    |name: &String| self.rollout_status(name)?["runner"].as_str().map(str::to_owned);
                self.killed_runner = self.dispatchers.keys().find_map(reported_runner);
                let Some(name) = self.killed_runner.clone() else { return Ok(()) };
                self.kill(&name);
                self.rollout_orders.push((format!("{name} was killed as the rollout runner"), false));
            }
            Fault::Kill(name) if begins => self.kill(name),
            Fault::Kill(name) => {
                let runner = if name == "runner" { self.killed_runner.take() } else { None };
                self.restart(&runner.unwrap_or(name.clone()), false)?;
            }
            Fault::Restart { who, new } if begins => {
                self.kill(who);
                self.restart(who, *new)?;
            }
            Fault::Restart { .. } => {}
            Fault::Upgrade(name) => self.switch_build(name, !begins)?,
            Fault::Downgrade(name) => self.switch_build(name, begins)?,
            Fault::Load(who, rate) => {
                for (name, dispatcher) in &self.dispatchers {
                    if who == "all" || who == name {
                        dispatcher.load.set_rate(if begins { *rate } else { dispatcher.rate });
                    }
                }
            }
            Fault::Purge => {
                for object in 0..self.scenario.objects.min(50) {
                    let before = unix_micros();
                    self.change_log.append_purge(object);
                    let hosts = self.hosts.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_secs_f64(hosts::PURGE_DELAY_S));
                        let all = hosts.read().map(|all| all.values().cloned().collect::<Vec<_>>());
                        for host in all.into_iter().flatten() {
                            std::thread::spawn(move || host.drop_copies_when_awake(object, before));
                        }
                    });
                }
            }
            Fault::Disk(name, order) => {
                let Some(dispatcher) = self.dispatchers.get_mut(name) else { return Ok(()) };
                let (orders, file) = &mut dispatcher.disk_orders;
                orders.retain(|dispatcher| dispatcher != order);
                orders.extend(Some(order.clone()).filter(|_| begins));
                std::fs::write(file, orders.join("\n")).map_err(io_error("the disk orders"))?;
            }
            Fault::Rollout(who, order, document) if begins => {
                let file = self.setup.folder.join("rules.jsonnet");
                if let Some(text) = document {
                    std::fs::write(&file, text).map_err(io_error("a document"))?;
                }
                let dispatcher =
                    self.dispatchers.get(who).and_then(|dispatcher| dispatcher.files.operator.as_ref());
                let Some(operator) = dispatcher else { return Ok(()) };
                let mut arguments = vec!["--operator".as_ref(), operator.as_os_str(), order.as_ref()];
                arguments.extend(document.as_ref().map(|_| file.as_os_str()));
                let (taken, output) = run_rollout_command(self.setup.program, &arguments)
                    .map_err(io_error("cherrypass rollout"))?;
                self.rollout_orders.push((format!("rollout {order} at {who}: {}", output.trim()), taken));
            }
            Fault::Rollout(..) => {}
            Fault::Silence => {
                self.change_log.set_silent(begins);
                let at = unix_micros();
                match self.log_silences.last_mut().filter(|_| !begins) {
                    Some(last) => last.1 = at,
                    None => self.log_silences.push((at, u64::MAX)),
                }
            }
            Fault::Term(name) if begins => self.terminate(name)?,
            Fault::Term(_) => {}
            Fault::Hup(name) => {
                let dispatcher =
                    self.dispatchers.get(name).and_then(|dispatcher| dispatcher.process.as_ref());
                dispatcher.into_iter().for_each(|process| process.signal(Signal::SIGHUP));
            }
            Fault::Step(name, ms) => {
                let span = Duration::from_secs_f64(or(ms.abs()) / 1e3);
                let (ahead, behind) = if *ms > 0.0 { (span, Duration::ZERO) } else { (Duration::ZERO, span) };
                if let Some(shim) = self.dispatchers.get(name).and_then(|dispatcher| dispatcher.shim.as_ref())
                {
                    shim.step_wall_clock(ahead, behind).map_err(io_error("a shim"))?;
                }
            }
            Fault::Calls(name, call, how, part) => {
                let fault = cherrypass_shim::Fault { per_million: (or(*part) * 1e6) as u64, outcome: *how };
                if let Some(shim) = self.dispatchers.get(name).and_then(|dispatcher| dispatcher.shim.as_ref())
                {
                    shim.set_fault(*call, fault).map_err(io_error("a shim"))?;
                }
            }
            Fault::Fail(name, _)
            | Fault::Hang(name)
            | Fault::Freeze(name)
            | Fault::Slow(name, _)
            | Fault::Vanish(name)
            | Fault::Fresh(name)
            | Fault::Drain(name) => self.apply_host_fault(name, fault, begins)?,
        }
        Ok(())
    }

    fn apply_host_fault(&mut self, name: &str, fault: &Fault, begins: bool) -> Result<(), Error> {
        let Some(host) = self.host(name) else { return Ok(()) };
        match fault {
            Fault::Fail(_, part) if begins => host.set_mode(Mode::Fail(*part)),
            Fault::Hang(_) if begins => host.set_mode(Mode::Hang),
            Fault::Freeze(_) if begins => host.set_mode(Mode::Frozen),
            Fault::Slow(_, times) if begins => host.set_mode(Mode::Slow(*times)),
            Fault::Vanish(_) if begins => host.shut_down(),
            Fault::Drain(_) => {
                let state = if begins { "terminating" } else { "in_service" };
                self.change_log.append_hosts(&self.entry(name).into_iter().collect::<Vec<_>>(), state, false);
            }
            Fault::Fresh(_) if !begins => {}
            Fault::Vanish(_) | Fault::Fresh(_) => {
                host.restart().map_err(io_error(name))?;
                let (entry, log) = (self.entry(name), self.change_log.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(START_LISTING_DELAY);
                    log.append_hosts(&entry.into_iter().collect::<Vec<_>>(), "in_service", false);
                });
            }
            _ => host.set_mode(Mode::Healthy),
        }
        Ok(())
    }

    /// Stops a dispatcher with SIGTERM, and SIGKILL after `KILL_DELAY`, then restarts it. Clients soon open
    /// no new connections but keep using open ones.
    fn terminate(&mut self, name: &str) -> Result<(), Error> {
        let Some(dispatcher) = self.dispatchers.get_mut(name) else { return Ok(()) };
        let Some(mut process) = dispatcher.process.take() else { return Ok(()) };
        process.signal(Signal::SIGTERM);
        let signalled = Instant::now();
        while process.exit_status().is_none() && signalled.elapsed() < KILL_DELAY {
            if signalled.elapsed() >= AVOIDANCE_DELAY {
                dispatcher.load.set_avoided(true);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        let from = unix_micros();
        if let Some(ended) = process.exit_status().filter(|ended| !ended.contains("exit status: 0")) {
            self.abnormal_exits.push(format!("{name} did not exit cleanly on SIGTERM: {ended}"));
        }
        drop(process);
        self.start_process(name)?;
        self.wait_for(name)?;
        self.terminated.push((name.to_owned(), from, unix_micros()));
        self.dispatchers.get(name).into_iter().for_each(|dispatcher| dispatcher.load.set_avoided(false));
        Ok(())
    }

    fn restart(&mut self, name: &str, new: bool) -> Result<(), Error> {
        let Some(dispatcher) = self.dispatchers.get_mut(name) else { return Ok(()) };
        if new {
            let _ = std::fs::remove_dir_all(&dispatcher.store_dir);
        }
        self.start_process(name)?;
        self.wait_for(name)?;
        self.mark_available(name);
        Ok(())
    }

    /// Rollout status as reported by a process.
    fn rollout_status(&self, name: &str) -> Option<Value> {
        let control = self.control_addresses.get(name)?.to_string();
        let arguments = ["status", "--json", "--control", &control].map(OsStr::new);
        let (_, output) = run_rollout_command(self.setup.program, &arguments).ok()?;
        Some(serde_json::from_str::<Value>(&output).ok()?["rollout"].take())
    }

    fn finish(mut self, span: (u64, u64)) -> Result<PlayResult, Error> {
        let running =
            self.dispatchers.iter().filter(|(_, dispatcher)| dispatcher.unavailable_since.is_none());
        let standings =
            running.filter_map(|(name, _)| Some((name.clone(), self.rollout_status(name)?))).collect();
        self.dispatchers.values().for_each(|dispatcher| dispatcher.load.stop());
        self.dispatchers.values_mut().for_each(|dispatcher| dispatcher.load.join());
        let names: Vec<String> = self.dispatchers.keys().cloned().collect();
        for name in &names {
            let stopped = self.dispatchers[name].unavailable_since.is_some();
            let Some(dispatcher) = self.dispatchers.get_mut(name) else { continue };
            if let Some(ended) = dispatcher.process.as_mut().and_then(Process::exit_status) {
                self.abnormal_exits.push(format!("{name} exited unexpectedly: {ended}"));
            } else if let Some(process) = dispatcher.process.as_ref().filter(|_| stopped) {
                process.signal(Signal::SIGCONT);
            }
            self.mark_available(name);
        }
        let processes: Vec<_> = self
            .dispatchers
            .iter_mut()
            .filter_map(|(name, dispatcher)| Some((name, dispatcher.process.take()?)))
            .collect();
        let ends: Vec<_> = processes
            .into_iter()
            .map(|(name, process)| (name.clone(), std::thread::spawn(move || process.terminate(END_TIMEOUT))))
            .collect();
        for (name, end) in ends {
            let already = self.abnormal_exits.iter().any(|line| line.starts_with(&format!("{name} ")));
            if !already && !end.join().unwrap_or(false) {
                self.abnormal_exits.push(format!("{name} did not exit cleanly on SIGTERM"));
            }
        }
        let (mut found, mut logs) = (Vec::new(), BTreeMap::new());
        for name in &names {
            let path = self.setup.folder.join(format!("{name}.events"));
            found.extend(std::fs::read_to_string(path).map(|text| parse_events(&text)).unwrap_or_default());
            let log = std::fs::read_to_string(&self.dispatchers[name].files.log).unwrap_or_default();
            logs.insert(name.clone(), log);
        }
        found.sort_by_key(|event: &Event| event.time);
        let datagrams = self.links.values().map(|link| link.forwarded.load(SeqCst)).sum();
        let without_fleet = |(name, dispatcher): (&String, &Dispatcher)| {
            (dispatcher.is_older_build
                && self.setup.older_program.is_some()
                && self.older_build_joins_fleet == Some(false))
            .then(|| name.clone())
        };
        let mut delivered = Vec::new();
        for call in ALL_CALLS {
            let shims = self.dispatchers.values().filter_map(|dispatcher| dispatcher.shim.as_ref());
            let counts = shims.map(|shim| shim.counts(call)).collect::<io::Result<Vec<_>>>();
            let counts = counts.map_err(io_error("a shim"))?;
            let sum = counts.iter().fold([0, 0], |sum, found| [sum[0] + found[0], sum[1] + found[1]]);
            delivered.push((call, sum));
        }
        let without_fleet = self.dispatchers.iter().filter_map(without_fleet).collect();
        let (noted, events, away, crashed) =
            (self.notes.take_sorted(), found, self.unavailable, self.abnormal_exits);
        let lines: String = noted.iter().map(|(at, note)| format!("{at} {note:?}\n")).collect();
        std::fs::write(self.setup.folder.join("notes"), lines).map_err(io_error("the notes"))?;
        let orders = self.rollout_orders;
        let (ended, silent) = (self.terminated, self.log_silences);
        Ok(PlayResult {
            notes: noted,
            events,
            logs,
            load_span: span,
            abnormal_exits: crashed,
            unavailable: away,
            terminated: ended,
            log_silences: silent,
            call_counts: delivered,
            without_fleet,
            datagrams,
            rollout_orders: orders,
            rollout_statuses: standings,
        })
    }
}
