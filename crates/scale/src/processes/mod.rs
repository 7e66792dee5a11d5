//! Runs the delivery of changes between processes with faults: real dispatchers carry changes from the change
//! log server to processes of followers. Processes are killed, stopped and restarted; links drop, delay and
//! stall datagrams. The followers' notes are checked at the end (`checker`).
pub mod checker;
pub mod clock;
pub mod followers;
pub mod link;
pub mod notes;
pub mod settings;

use crate::changelog::ChangeLog;
use crate::error::{io_error, Error};
use crate::real::{self, RealDispatcher};
use crate::settings::{Bounds, ChangeLoad};
use checker::{Findings, History, Incarnation};
use cherrypass::ids::LocationId;
use cherrypass_faultbed::processes::Process;
use cherrypass_peers::Member;
use clock::{Clock, Micros};
use followers::{Carrier, FollowersConfig};
use hdrhistogram::Histogram;
use link::{LinkEffect, LinkFault};
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use settings::{Delay, FaultKind, LinkSelector, Loss, ProcessesRun, TimedFault};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Name of the change log in carriers' and followers' settings.
const LOG_NAME: &str = "scale";
const HOST_COUNT: usize = 4;
/// All processes start with the first change, the list of hosts.
const INITIAL_CHANGE: u64 = 1;
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Changes published this long before the end must have reached all followers.
const COMPLETION_MARGIN_US: Micros = 2_000_000;
/// Limit for a process of followers to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Violations included in the result as text.
const MAX_REPORTED_VIOLATIONS: usize = 20;
const SECOND_US: f64 = 1e6;

/// Input of a run.
pub struct RunContext<'a> {
    /// The dispatcher's binary, and this tool's own.
    pub program: &'a Path,
    pub tool: &'a Path,
    pub settings: &'a ProcessesRun,
    /// Names of zones; all processes are in the first.
    pub zones: &'a [String],
    pub seed: u64,
    pub bounds: &'a Bounds,
    pub progress: &'a dyn Fn(&str),
}

/// Result of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProcessesResult {
    pub carriers: usize,
    pub processes: usize,
    pub followers: usize,
    pub seconds: f64,
    pub changes: usize,
    pub faults: usize,
    /// Violations as text: the first twenty, and how many there were.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    #[serde(rename = "broken_count")]
    pub violation_count: usize,
    /// Followers that ran to the end.
    #[serde(rename = "at_end")]
    pub followers_at_end: usize,
    pub delay_p50_ms: f64,
    pub delay_p99_ms: f64,
    pub delay_max_ms: f64,
    /// Catch-ups of followers after a start, and the longest.
    #[serde(rename = "caught_up")]
    pub catch_ups: usize,
    #[serde(rename = "caught_up_max_ms")]
    pub catch_up_max_ms: f64,
    /// How often a follower began to read the log itself.
    #[serde(rename = "reads")]
    pub log_read_starts: usize,
    pub unproven_max_ms: f64,
    /// Traffic of the mean follower per second, in both directions.
    pub bytes: f64,
    pub messages: f64,
    /// Cores used and resident memory of the busiest carrier since its last start.
    #[serde(rename = "carrier_core")]
    pub carrier_cores: f64,
    pub carrier_kb: u64,
    pub log_requests_per_s: f64,
}

/// A process of followers; it is killed when this is dropped.
struct Group {
    process: Option<Process>,
    config: FollowersConfig,
    /// The notes file of each incarnation, and whether it was killed.
    incarnations: Vec<(PathBuf, bool)>,
}

impl Group {
    fn start(&mut self, tool: &Path, folder: &Path) -> Result<(), Error> {
        let incarnation = self.incarnations.len();
        let path =
            |suffix: &str| folder.join(format!("followers-{}-{incarnation}.{suffix}", self.config.first));
        self.config.notes_file = path("notes");
        let text = serde_json::to_vec(&self.config)
            .map_err(|error| io_error("a configuration file for followers")(error.into()))?;
        std::fs::write(path("orders"), text).map_err(io_error("a configuration file for followers"))?;
        let stderr = std::fs::File::create(path("log")).map_err(io_error("a log file of a process"))?;
        let mut command = Command::new(tool);
        command.arg("--followers").arg(path("orders"));
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(stderr);
        let program = || tool.display().to_string();
        let process = Process::spawn(&mut command);
        self.process = Some(process.map_err(|error| Error::Program { program: program(), error })?);
        self.incarnations.push((self.config.notes_file.clone(), false));
        Ok(())
    }

    fn kill(&mut self) {
        if self.process.take().is_some() {
            self.incarnations.iter_mut().for_each(|(_, was_killed)| *was_killed = true);
        }
    }

    fn signal(&self, signal: Signal) {
        self.process.iter().for_each(|process| process.signal(signal));
    }

    /// Fails if the process has exited.
    fn check_running(&mut self) -> Result<(), Error> {
        let Some(status) = self.process.as_mut().and_then(Process::exit_status) else { return Ok(()) };
        let log = self.config.notes_file.with_extension("log");
        let log_text = std::fs::read_to_string(log).unwrap_or_default();
        let name = format!("followers from {}", self.config.first);
        Err(Error::ProcessExited {
            name,
            status,
            last_line: log_text.lines().last().unwrap_or("nothing").to_owned(),
        })
    }

    /// Closes its standard input and waits for a clean exit.
    fn stop(&mut self) -> Result<(), Error> {
        if self.process.take().is_none_or(|process| process.close_input(STOP_TIMEOUT)) {
            return Ok(());
        }
        let status = "it did not exit cleanly when asked to".to_owned();
        Err(Error::ProcessExited { name: "followers".into(), status, last_line: "nothing".into() })
    }
}

struct Run<'a> {
    context: &'a RunContext<'a>,
    folder: &'a Path,
    clock: Clock,
    change_log: ChangeLog,
    addresses: Vec<real::Addresses>,
    members: Vec<Member>,
    carriers: Vec<Option<RealDispatcher>>,
    groups: Vec<Group>,
}

fn load(run_settings: &ProcessesRun) -> ChangeLoad {
    ChangeLoad {
        purges_per_s: run_settings.purges_per_s,
        configurations_per_day: 0.0,
        configuration_bytes: 0,
        list_changes_per_day: 0.0,
        hosts: HOST_COUNT,
    }
}

impl<'a> Run<'a> {
    fn start(context: &'a RunContext<'a>, folder: &'a Path) -> Result<Run<'a>, Error> {
        let run_settings = context.settings;
        let change_log = ChangeLog::start(None, &load(run_settings), &context.zones[0], context.seed)?;
        let addresses = real::addresses(run_settings.carriers, None)?;
        let member = |(index, carrier): (usize, &real::Addresses)| Member {
            name: settings::carrier_name(index),
            address: carrier.fleet,
            location: LocationId(0),
        };
        let members = addresses.iter().enumerate().map(member).collect();
        let (clock, carriers, groups) = (Clock::start()?, Vec::new(), Vec::new());
        let mut run = Run { context, folder, clock, change_log, addresses, members, carriers, groups };
        for index in 0..run_settings.carriers {
            (context.progress)(&format!("starting carrier {index}"));
            let carrier = run.start_carrier(index)?;
            run.carriers.push(Some(carrier));
        }
        Ok(run)
    }

    fn start_carrier(&self, index: usize) -> Result<RealDispatcher, Error> {
        let run_settings = self.context.settings;
        let names: Vec<&str> = self.members.iter().map(|carrier| carrier.name.as_str()).collect();
        let delivery = json!({ "log": LOG_NAME, "carriers": names,
            "followers": run_settings.max_followers_per_carrier, "fallback_ms": run_settings.fallback_ms });
        let section: Value = json!({ "delivery": delivery });
        let spec = real::DispatcherSpec {
            name: names[index],
            addresses: self.addresses[index],
            zones: self.context.zones,
            zone: 0,
            members: &self.members,
            subsystems: &section,
            changelog: self.change_log.addresses[1],
            known_change: &self.change_log.known,
            seed: self.context.seed ^ index as u64,
        };
        RealDispatcher::start(self.context.program, self.folder, &spec)
    }

    /// Starts all followers; `start` is the time that faults are scheduled from.
    fn start_followers(&mut self, start: Micros) -> Result<(), Error> {
        let run_settings = self.context.settings;
        for index in 0..run_settings.processes {
            let (first, next) = (
                index * run_settings.followers / run_settings.processes,
                (index + 1) * run_settings.followers / run_settings.processes,
            );
            let carriers = self
                .members
                .iter()
                .map(|carrier| Carrier { name: carrier.name.clone(), address: carrier.address });
            let config = FollowersConfig {
                first,
                count: next - first,
                carriers: carriers.collect(),
                log_name: LOG_NAME.to_owned(),
                max_followers_per_carrier: run_settings.max_followers_per_carrier,
                fallback_ms: run_settings.fallback_ms,
                log_address: self.change_log.addresses[0],
                known_change: INITIAL_CHANGE,
                zones: self.context.zones.to_vec(),
                faults: self.link_faults(&settings::process_name(index), start),
                notes_file: PathBuf::new(),
                seed: self.context.seed,
            };
            let mut group = Group { process: None, config, incarnations: Vec::new() };
            group.start(self.context.tool, self.folder)?;
            self.groups.push(group);
        }
        Ok(())
    }

    fn link_faults(&self, process: &str, start: Micros) -> Vec<LinkFault> {
        let link_fault = |timed: &TimedFault| {
            let link = timed.fault.link().filter(|link| link.process == process)?;
            let effect = match &timed.fault {
                FaultKind::Lose(Loss { fraction, .. }) => LinkEffect::Lose(*fraction),
                FaultKind::Delay(Delay { min_ms, max_ms, .. }) => LinkEffect::Delay(*min_ms, *max_ms),
                _ => LinkEffect::Stall,
            };
            let LinkSelector { carrier, direction, .. } = link;
            let member = |name: &String| self.members.iter().find(|carrier| carrier.name == *name);
            let carrier = carrier.as_ref().and_then(member).map(|carrier| carrier.address);
            let at = |seconds: f64| start + (seconds * SECOND_US) as Micros;
            Some(LinkFault {
                from: at(timed.start_s),
                until: at(timed.start_s + timed.duration_s),
                direction: *direction,
                carrier,
                effect,
            })
        };
        self.context.settings.faults.iter().filter_map(link_fault).collect()
    }

    /// Starts or ends a fault of processes or of the log.
    fn apply_fault(&mut self, fault: &FaultKind, begins: bool) -> Result<(), Error> {
        match fault {
            FaultKind::LogLost => self.change_log.shared.is_down.store(begins, Relaxed),
            FaultKind::Kill(name) => match (self.target(name), begins) {
                (Some(Target::Carrier(index)), true) => self.carriers[index] = None,
                (Some(Target::Carrier(index)), false) => {
                    self.carriers[index] = Some(self.start_carrier(index)?)
                }
                (Some(Target::Group(index)), true) => self.groups[index].kill(),
                (Some(Target::Group(index)), false) => {
                    self.groups[index].start(self.context.tool, self.folder)?
                }
                (None, _) => {}
            },
            FaultKind::Stop(name) => {
                let signal = if begins { Signal::SIGSTOP } else { Signal::SIGCONT };
                match self.target(name) {
                    Some(Target::Carrier(index)) => {
                        self.carriers[index].iter().for_each(|carrier| carrier.signal(signal))
                    }
                    Some(Target::Group(index)) => self.groups[index].signal(signal),
                    None => {}
                }
            }
            FaultKind::Lose(_) | FaultKind::Delay(_) | FaultKind::Stall(_) => {}
        }
        Ok(())
    }

    fn target(&self, name: &str) -> Option<Target> {
        let carrier = (0..self.carriers.len()).find(|index| settings::carrier_name(*index) == name);
        let group = (0..self.groups.len()).find(|index| settings::process_name(*index) == name);
        carrier.map(Target::Carrier).or(group.map(Target::Group))
    }

    fn check_running(&mut self) -> Result<(), Error> {
        self.carriers.iter_mut().flatten().try_for_each(RealDispatcher::check_running)?;
        self.groups.iter_mut().try_for_each(Group::check_running)
    }

    /// Starts and ends all faults at their times.
    fn run_faults(&mut self, start: Micros) -> Result<(), Error> {
        let run_settings = self.context.settings;
        let at = |seconds: f64| start + (seconds * SECOND_US) as Micros;
        let begins = run_settings.faults.iter().map(|timed| (at(timed.start_s), &timed.fault, true));
        let ends = run_settings
            .faults
            .iter()
            .map(|timed| (at(timed.start_s + timed.duration_s), &timed.fault, false));
        let mut due: Vec<(Micros, &FaultKind, bool)> = begins.chain(ends).collect();
        due.sort_by_key(|(at, _, _)| std::cmp::Reverse(*at));
        let (mut next_progress, mut second) = (start, 0);
        while self.clock.now() < at(run_settings.seconds) {
            while let Some((_, fault, begins)) = due.pop_if(|(at, _, _)| *at <= self.clock.now()) {
                self.apply_fault(fault, begins)?;
            }
            if self.clock.now() >= next_progress {
                (self.context.progress)(&format!(
                    "followers on processes: {second} of {:.0} s",
                    run_settings.seconds
                ));
                next_progress += SECOND_US as Micros;
                second += 1;
                self.check_running()?;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    fn stop(mut self) -> Result<(Vec<Incarnation>, (f64, u64)), Error> {
        self.groups.iter_mut().try_for_each(Group::stop)?;
        let used = self.carriers.iter_mut().flatten().map(RealDispatcher::sample_usage);
        let used = used.map(|used| (used.cores.values().sum::<f64>(), used.resident_kb));
        let busiest =
            used.fold((0.0, 0), |(cores, kb), used| (f64::max(cores, used.0), u64::max(kb, used.1)));
        let files = self.groups.iter().flat_map(|group| &group.incarnations);
        let read = |(path, was_killed): &(PathBuf, bool)| {
            Ok(Incarnation { notes: notes::read(path)?, was_killed: *was_killed })
        };
        let incarnations = files.map(read).collect::<Result<Vec<_>, Error>>()?;
        for carrier in self.carriers.drain(..).flatten() {
            let name = carrier.name.clone();
            if !carrier.stop() {
                let status = "it did not exit cleanly when asked to".to_owned();
                return Err(Error::ProcessExited { name, status, last_line: "nothing".into() });
            }
        }
        Ok((incarnations, busiest))
    }
}

enum Target {
    Carrier(usize),
    Group(usize),
}

/// Fails if the run would exceed its bounds.
pub fn check_bounds(run_settings: &ProcessesRun, bounds: &Bounds) -> Result<(), Error> {
    let needed = (run_settings.carriers + run_settings.processes + 1) as u64;
    let limit = bounds.processes;
    match needed > limit {
        true => Err(Error::BoundExceeded {
            bound: "processes",
            value: needed,
            limit,
            remedy: "set fewer `processes`",
        }),
        false => Ok(()),
    }
}

/// Runs and checks one set of settings.
pub fn run(context: &RunContext) -> Result<ProcessesResult, Error> {
    check_bounds(context.settings, context.bounds)?;
    let folder = tempfile::tempdir().map_err(io_error("a folder for the run"))?;
    let mut run = Run::start(context, folder.path())?;
    run.change_log.shared.is_publishing.store(true, Relaxed);
    let start = run.clock.now();
    run.start_followers(start)?;
    run.run_faults(start)?;
    let complete_until = run.clock.now() - COMPLETION_MARGIN_US;
    let clock = run.clock;
    let log = run.change_log.shared.clone();
    let (incarnations, (carrier_cores, carrier_kb)) = run.stop()?;
    let published_at = log.propagation.published_at().into_iter().map(|at| clock.micros(at)).collect();
    let history = History { published_at, known_change: INITIAL_CHANGE, complete_until };
    let findings = checker::check_notes(&history, &incarnations);
    let requests: f64 = [crate::traffic::PeerKind::Simulated, crate::traffic::PeerKind::Real]
        .map(|peer| log.traffic(peer).requests.messages)
        .iter()
        .sum();
    let result = result_of(context.settings, &history, findings);
    Ok(ProcessesResult {
        carrier_cores,
        carrier_kb,
        log_requests_per_s: requests / context.settings.seconds,
        ..result
    })
}

fn result_of(run_settings: &ProcessesRun, history: &History, findings: Findings) -> ProcessesResult {
    let ms = |micros: Micros| micros as f64 / 1e3;
    let mut delays = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("constant bounds"));
    findings.delays.iter().for_each(|delay| delays.saturating_record((*delay).max(1)));
    let per_follower = 1.0 / (run_settings.followers as f64 * run_settings.seconds);
    ProcessesResult {
        carriers: run_settings.carriers,
        processes: run_settings.processes,
        followers: run_settings.followers,
        seconds: run_settings.seconds,
        changes: history.published_at.len(),
        faults: run_settings.faults.len(),
        violations: findings
            .violations
            .iter()
            .take(MAX_REPORTED_VIOLATIONS)
            .map(ToString::to_string)
            .collect(),
        violation_count: findings.violations.len(),
        followers_at_end: findings.followers_at_end,
        delay_p50_ms: ms(delays.value_at_quantile(0.5)),
        delay_p99_ms: ms(delays.value_at_quantile(0.99)),
        delay_max_ms: ms(delays.max()),
        catch_ups: findings.catch_up_times.len(),
        catch_up_max_ms: ms(findings.catch_up_times.into_iter().max().unwrap_or(0)),
        log_read_starts: findings.log_read_starts,
        unproven_max_ms: ms(findings.max_unproven),
        bytes: findings.bytes as f64 * per_follower,
        messages: findings.messages as f64 * per_follower,
        carrier_cores: 0.0,
        carrier_kb: 0,
        log_requests_per_s: 0.0,
    }
}
