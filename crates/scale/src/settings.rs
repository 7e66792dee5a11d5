//! Settings of a run: a Jsonnet file, decoded strictly (unknown keys are errors) and validated.
use crate::error::Error;
use crate::processes::settings::{self as processes, FaultKind, ProcessesRun, TimedFault};
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;

/// Most dispatchers of a run on sockets; the limit of the link's member list.
pub const MAX_SOCKET_DISPATCHERS: usize = cherrypass_peers::MAX_MEMBERS;
/// Most dispatchers of a run in virtual time.
pub const MAX_VIRTUAL_DISPATCHERS: usize = 4_096;
/// Most followers of a delivery run in virtual time.
const MAX_VIRTUAL_FOLLOWERS: f64 = 65_536.0;
/// Most followers on sockets; each takes a file descriptor of this process.
const MAX_SOCKET_FOLLOWERS: f64 = 3_500.0;
/// Time after the last fault by which all followers must be complete and proven, in seconds.
const RECOVERY_S: f64 = 5.0;
const MAX_HOSTS: usize = 4_096;
/// Longest phase and longest run, in seconds.
const MAX_PHASE_S: f64 = 600.0;
const MAX_RUN_S: f64 = 3_600.0;
/// Most zones; a location is one byte on the link.
pub const MAX_ZONES: usize = 256;
/// Highest rate of changes per second that the change log server sustains.
const MAX_CHANGES_PER_S: f64 = 10_000.0;

/// All settings of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[serde(default)]
    pub seed: u64,
    /// Where dispatchers are placed.
    pub topology: Topology,
    /// Runs on sockets; `None` skips them.
    #[serde(default)]
    pub sockets: Option<SocketRuns>,
    /// Fleet runs in virtual time.
    #[serde(default, rename = "virtual")]
    pub virtual_runs: Vec<VirtualRun>,
    /// Runs of the delivery of changes in virtual time.
    #[serde(default)]
    pub delivery: Vec<DeliveryRun>,
    /// Runs of the delivery of changes between processes, with faults.
    #[serde(default)]
    pub processes: Vec<ProcessesRun>,
    /// Fleet sizes at which heap usage is measured.
    #[serde(default)]
    pub state: Vec<usize>,
    /// Measurement of decisions; `None` skips it.
    #[serde(default)]
    pub decisions: Option<DecisionRuns>,
    #[serde(default)]
    pub bounds: Bounds,
}

/// Regions, their zones, and the sites in these.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    pub regions: Vec<String>,
    pub zones: Vec<Zone>,
    pub sites: Vec<Site>,
}

/// A zone and its region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: String,
    pub region: String,
}

/// A site and its zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    pub name: String,
    pub zone: String,
}

/// Runs on sockets, one per fleet size.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SocketRuns {
    /// Fleet sizes, simulated and real dispatchers together; one run each.
    pub sizes: Vec<usize>,
    /// Lines are fitted to sizes up to this one; larger ones check the fit.
    pub fit_to: usize,
    /// Real dispatchers in each run.
    #[serde(rename = "real")]
    pub real_dispatchers: usize,
    /// Threads shared by all simulated dispatchers.
    pub threads: usize,
    /// Fraction of the simulated dispatchers that follow the change log.
    #[serde(rename = "followers")]
    pub follower_fraction: f64,
    /// First of the consecutive ports for the change log and real dispatchers; `None` takes free ones.
    #[serde(default)]
    pub first_port: Option<u16>,
    pub load: ChangeLoad,
    pub phases: Vec<Phase>,
}

/// Rates and sizes of the changes that the change log server publishes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeLoad {
    pub purges_per_s: f64,
    pub configurations_per_day: f64,
    /// Text bytes of one configuration.
    pub configuration_bytes: usize,
    pub list_changes_per_day: f64,
    /// Number of listed hosts.
    pub hosts: usize,
}

/// A phase of a run, counted separately.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    pub name: String,
    pub seconds: f64,
    /// Extends the phase until membership news of all starts has spread; its figures aren't those of a quiet
    /// fleet.
    #[serde(default)]
    #[serde(rename = "settling")]
    pub is_settling: bool,
    /// Findings about hosts per second, over all simulated dispatchers.
    #[serde(default)]
    pub findings_per_s: f64,
    /// Fraction of the simulated dispatchers that ask for more than their share of the limits.
    #[serde(default)]
    #[serde(rename = "wanting")]
    pub demanding_fraction: f64,
    /// A region to partition from the others.
    #[serde(default)]
    #[serde(rename = "cut")]
    pub partitioned_region: Option<String>,
    /// The change log is down.
    #[serde(default)]
    #[serde(rename = "log_lost")]
    pub is_log_down: bool,
}

/// A fleet run in virtual time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VirtualRun {
    pub size: usize,
    /// Overrides the feed's limit of sources; `None` keeps the program's own.
    #[serde(default)]
    pub feed_sources: Option<usize>,
    pub settle_s: f64,
    pub seconds: f64,
}

/// A run with carriers and followers of one change log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeliveryRun {
    pub carriers: usize,
    pub followers: usize,
    #[serde(rename = "followers_a_carrier")]
    pub max_followers_per_carrier: usize,
    pub purges_per_s: f64,
    pub configurations_per_day: f64,
    pub configuration_bytes: usize,
    /// Fraction of messages lost, and the least and greatest delay of the others.
    #[serde(rename = "lost")]
    pub loss_rate: f64,
    pub delay_ms: [u64; 2],
    pub phases: Vec<DeliveryPhase>,
    /// Seconds to count on sockets as well, without simulated loss or delay; `None`: virtual time only.
    #[serde(default)]
    #[serde(rename = "on_sockets_s")]
    pub socket_seconds: Option<f64>,
}

/// Faults of a delivery phase, undone at its end; numbers are fractions of all carriers or followers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeliveryPhase {
    pub name: String,
    pub seconds: f64,
    /// Carriers that are down.
    #[serde(default)]
    #[serde(rename = "carriers_lost")]
    pub carriers_down: f64,
    /// Followers that can reach no carrier.
    #[serde(default)]
    #[serde(rename = "followers_cut")]
    pub followers_partitioned: f64,
    /// Followers that restart at its beginning.
    #[serde(default)]
    #[serde(rename = "restarted")]
    pub followers_restarted: f64,
    /// The change log is unreachable.
    #[serde(default)]
    #[serde(rename = "log_lost")]
    pub is_log_down: bool,
}

/// Measurements of decisions, for all combinations of hosts and locations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionRuns {
    /// Host counts.
    pub hosts: Vec<usize>,
    /// Numbers of locations that the hosts are spread over, the dispatcher's own included.
    pub locations: Vec<usize>,
    pub visits: u32,
}

/// Resource bounds; a run that would exceed them does not start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    pub memory_mb: u64,
    pub processes: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { memory_mb: 12_000, processes: 300 }
    }
}

/// Reads and validates a settings file.
pub fn load(path: &Path) -> Result<Settings, Error> {
    decode(&path.display().to_string(), cherrypass_operator::evaluate(path)?)
}

/// Decodes and validates evaluated settings; `file` is the name used in errors.
pub fn decode(file: &str, value: Value) -> Result<Settings, Error> {
    let invalid = |path: String, problem: String| Error::Settings { file: file.to_owned(), path, problem };
    let settings: Settings = serde_path_to_error::deserialize(value)
        .map_err(|error| invalid(error.path().to_string(), error.into_inner().to_string()))?;
    settings.validate().map_err(|(path, problem)| invalid(path, problem))?;
    Ok(settings)
}

type Validation = Result<(), (String, String)>;

fn check_range(path: String, value: f64, min: f64, max: f64) -> Validation {
    match (min..=max).contains(&value) {
        true => Ok(()),
        false => Err((path, format!("{value} is not between {min} and {max}"))),
    }
}

impl Settings {
    fn validate(&self) -> Validation {
        self.topology.validate()?;
        if let Some(sockets) = &self.sockets {
            sockets.validate(&self.topology)?;
        }
        for (index, run) in self.virtual_runs.iter().enumerate() {
            let max = MAX_VIRTUAL_DISPATCHERS as f64;
            check_range(format!("virtual[{index}].size"), run.size as f64, 3.0, max)?;
            if let Some(sources) = run.feed_sources {
                check_range(format!("virtual[{index}].feed_sources"), sources as f64, 3.0, max)?;
            }
            check_range(format!("virtual[{index}].settle_s"), run.settle_s, 0.0, MAX_PHASE_S)?;
            check_range(format!("virtual[{index}].seconds"), run.seconds, 1.0, MAX_PHASE_S)?;
        }
        for (index, run) in self.delivery.iter().enumerate() {
            run.validate(&format!("delivery[{index}]"))?;
        }
        for (index, run) in self.processes.iter().enumerate() {
            run.validate(&format!("processes[{index}]"))?;
        }
        for (index, size) in self.state.iter().enumerate() {
            check_range(format!("state[{index}]"), *size as f64, 3.0, MAX_VIRTUAL_DISPATCHERS as f64)?;
        }
        if let Some(decisions) = &self.decisions {
            for (index, hosts) in decisions.hosts.iter().enumerate() {
                check_range(format!("decisions.hosts[{index}]"), *hosts as f64, 1.0, MAX_HOSTS as f64)?;
            }
            for (index, locations) in decisions.locations.iter().enumerate() {
                check_range(
                    format!("decisions.locations[{index}]"),
                    *locations as f64,
                    1.0,
                    MAX_ZONES as f64,
                )?;
            }
            check_range("decisions.visits".into(), f64::from(decisions.visits), 100.0, 1e7)?;
        }
        Ok(())
    }
}

impl DeliveryRun {
    fn validate(&self, path: &str) -> Validation {
        check_range(format!("{path}.carriers"), self.carriers as f64, 1.0, MAX_SOCKET_DISPATCHERS as f64)?;
        check_range(format!("{path}.followers"), self.followers as f64, 1.0, MAX_VIRTUAL_FOLLOWERS)?;
        check_range(format!("{path}.purges_per_s"), self.purges_per_s, 0.0, MAX_CHANGES_PER_S)?;
        check_range(
            format!("{path}.configurations_per_day"),
            self.configurations_per_day,
            0.0,
            MAX_CHANGES_PER_S * 86_400.0,
        )?;
        check_range(format!("{path}.configuration_bytes"), self.configuration_bytes as f64, 0.0, 65_536.0)?;
        check_range(format!("{path}.lost"), self.loss_rate, 0.0, 1.0)?;
        check_range(
            format!("{path}.delay_ms[1]"),
            self.delay_ms[1] as f64,
            self.delay_ms[0] as f64,
            60_000.0,
        )?;
        if let Some(seconds) = self.socket_seconds {
            check_range(format!("{path}.on_sockets_s"), seconds, 1.0, MAX_PHASE_S)?;
            check_range(format!("{path}.followers"), self.followers as f64, 1.0, MAX_SOCKET_FOLLOWERS)?;
        }
        for (index, phase) in self.phases.iter().enumerate() {
            let path = format!("{path}.phases[{index}]");
            check_range(format!("{path}.seconds"), phase.seconds, 1.0, MAX_PHASE_S)?;
            check_range(format!("{path}.carriers_lost"), phase.carriers_down, 0.0, 1.0)?;
            check_range(format!("{path}.followers_cut"), phase.followers_partitioned, 0.0, 1.0)?;
            check_range(format!("{path}.restarted"), phase.followers_restarted, 0.0, 1.0)?;
        }
        Ok(())
    }
}

impl ProcessesRun {
    fn validate(&self, path: &str) -> Validation {
        check_range(format!("{path}.carriers"), self.carriers as f64, 1.0, MAX_SOCKET_DISPATCHERS as f64)?;
        check_range(format!("{path}.followers"), self.followers as f64, 1.0, MAX_SOCKET_FOLLOWERS)?;
        check_range(format!("{path}.processes"), self.processes as f64, 1.0, self.followers as f64)?;
        check_range(
            format!("{path}.followers_a_carrier"),
            self.max_followers_per_carrier as f64,
            1.0,
            MAX_VIRTUAL_FOLLOWERS,
        )?;
        check_range(format!("{path}.fallback_ms"), self.fallback_ms as f64, 1_000.0, 3_600_000.0)?;
        check_range(format!("{path}.purges_per_s"), self.purges_per_s, 0.0, MAX_CHANGES_PER_S)?;
        check_range(format!("{path}.seconds"), self.seconds, 1.0, MAX_PHASE_S)?;
        for (index, timed) in self.faults.iter().enumerate() {
            self.validate_fault(&format!("{path}.faults[{index}]"), timed)?;
        }
        Ok(())
    }

    fn validate_fault(&self, path: &str, timed: &TimedFault) -> Validation {
        check_range(format!("{path}.at_s"), timed.start_s, 0.0, self.seconds)?;
        let last = self.seconds - RECOVERY_S;
        check_range(format!("{path}.for_s"), timed.duration_s, 0.0, last - timed.start_s)?;
        if let FaultKind::Lose(loss) = &timed.fault {
            check_range(format!("{path}.what.lose.part"), loss.fraction, 0.0, 1.0)?;
        }
        if let FaultKind::Delay(delay) = &timed.fault {
            let (min, max) = (delay.min_ms as f64, delay.max_ms as f64);
            check_range(format!("{path}.what.delay.most_ms"), max, min, 60_000.0)?;
        }
        let is_process = |name: &str| (0..self.processes).any(|index| processes::process_name(index) == name);
        let is_carrier = |name: &str| (0..self.carriers).any(|index| processes::carrier_name(index) == name);
        let link = timed.fault.link();
        let names = [
            timed.fault.target_process().filter(|name| !is_process(name) && !is_carrier(name)),
            link.map(|link| link.process.as_str()).filter(|name| !is_process(name)),
            link.and_then(|link| link.carrier.as_deref()).filter(|name| !is_carrier(name)),
        ];
        match names.into_iter().flatten().next() {
            Some(name) => {
                let (carriers, processes) = (self.carriers, self.processes);
                let problem = format!(
                    "'{name}' is not valid here; carriers are c0 to c{}, processes of followers p0 to p{}",
                    carriers - 1,
                    processes - 1
                );
                Err((format!("{path}.what"), problem))
            }
            None => Ok(()),
        }
    }
}

impl Topology {
    fn validate(&self) -> Validation {
        check_range("topology.zones".into(), self.zones.len() as f64, 1.0, MAX_ZONES as f64)?;
        check_range("topology.sites".into(), self.sites.len() as f64, 1.0, 65_536.0)?;
        for (index, zone) in self.zones.iter().enumerate() {
            if !self.regions.contains(&zone.region) {
                let problem = format!("there is no region '{}'; add it to topology.regions", zone.region);
                return Err((format!("topology.zones[{index}].region"), problem));
            }
        }
        for (index, site) in self.sites.iter().enumerate() {
            if !self.zones.iter().any(|zone| zone.name == site.zone) {
                let problem = format!("there is no zone '{}'; add it to topology.zones", site.zone);
                return Err((format!("topology.sites[{index}].zone"), problem));
            }
        }
        Ok(())
    }
}

impl SocketRuns {
    fn validate(&self, topology: &Topology) -> Validation {
        for (index, size) in self.sizes.iter().enumerate() {
            let min = self.real_dispatchers as f64 + 2.0;
            check_range(format!("sockets.sizes[{index}]"), *size as f64, min, MAX_SOCKET_DISPATCHERS as f64)?;
        }
        check_range("sockets.followers".into(), self.follower_fraction, 0.0, 1.0)?;
        check_range("sockets.threads".into(), self.threads as f64, 1.0, 64.0)?;
        let load = &self.load;
        for (key, value, max) in [
            ("purges_per_s", load.purges_per_s, MAX_CHANGES_PER_S),
            ("configurations_per_day", load.configurations_per_day, MAX_CHANGES_PER_S * 86_400.0),
            ("list_changes_per_day", load.list_changes_per_day, MAX_CHANGES_PER_S * 86_400.0),
            ("configuration_bytes", load.configuration_bytes as f64, 65_536.0),
            ("hosts", load.hosts as f64, MAX_HOSTS as f64),
        ] {
            check_range(format!("sockets.load.{key}"), value, 0.0, max)?;
        }
        for (index, phase) in self.phases.iter().enumerate() {
            phase.validate(&format!("sockets.phases[{index}]"), topology)?;
        }
        let seconds: f64 = self.phases.iter().map(|phase| phase.seconds).sum();
        check_range("sockets.phases".into(), seconds, 1.0, MAX_RUN_S)
    }
}

impl Phase {
    fn validate(&self, path: &str, topology: &Topology) -> Validation {
        check_range(format!("{path}.seconds"), self.seconds, 1.0, MAX_PHASE_S)?;
        check_range(format!("{path}.findings_per_s"), self.findings_per_s, 0.0, MAX_CHANGES_PER_S)?;
        check_range(format!("{path}.wanting"), self.demanding_fraction, 0.0, 1.0)?;
        match self.partitioned_region.as_ref().filter(|region| !topology.regions.contains(region)) {
            Some(region) => {
                let problem = format!("there is no region '{region}'; name one of topology.regions");
                Err((format!("{path}.cut"), problem))
            }
            None => Ok(()),
        }
    }
}
