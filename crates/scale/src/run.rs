//! Runs a fleet on sockets through all phases: mostly simulated dispatchers, some real ones, and a change log
//! server.
use crate::changelog::{self, ChangeLog, LogTraffic};
use crate::error::{io_error, Error};
use crate::follower::Follower;
use crate::network::{Endpoint, Network};
use crate::pool::{self, Worker};
use crate::process::{self, ResourceUsage};
use crate::propagation::{ChangeKind, Delays};
use crate::real::{self, RealDispatcher};
use crate::settings::{Bounds, Phase, Settings, SocketRuns};
use crate::simulated::{Shared, SimulatedDispatcher};
use crate::subsystems;
use crate::topology::{self, Placement};
use crate::traffic::{
    scaled, zip_with, Amount, PeerKind, TrafficByKind, TrafficCounters, CHANGE_LOG_KIND, KIND_NAMES,
};
use cherrypass_peers::{Member, Settings as FleetSettings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval of the checks of processes and bounds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Estimated memory of a member per listed member; a run whose estimate exceeds its bound does not start.
const BYTES_PER_LISTED_MEMBER: u64 = 1_024;
/// Estimated memory of a member itself, with its socket.
const MEMBER_BYTES: u64 = 512 << 10;
/// Estimated memory of a real dispatcher.
const REAL_DISPATCHER_BYTES: u64 = 32 << 20;

/// Result of a phase; amounts are per second and dispatcher.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PhaseResult {
    pub name: String,
    #[serde(rename = "settling")]
    pub is_settling: bool,
    pub seconds: f64,
    /// Means over all dispatchers; change log entries are means over its followers.
    #[serde(rename = "hollow")]
    pub simulated_mean: TrafficByKind,
    #[serde(rename = "real")]
    pub real_mean: TrafficByKind,
    /// The median simulated dispatcher, from traffic among simulated ones; compared with the real ones.
    #[serde(rename = "hollow_median")]
    pub simulated_median: TrafficByKind,
    /// The median real dispatcher. A mean would be distorted if a real one happens to run the rollout and so
    /// sends to all others.
    #[serde(default)]
    pub real_median: TrafficByKind,
    /// The maximum over simulated dispatchers, entry by entry.
    #[serde(rename = "hollow_most")]
    pub simulated_max: TrafficByKind,
    /// Resource usage of the real dispatchers' processes.
    #[serde(rename = "real_used")]
    pub real_usage: Vec<ResourceUsage>,
    /// Cores used by all simulated dispatchers (counting included), and by the change log server.
    #[serde(rename = "hollow_core")]
    pub simulated_cores: f64,
    #[serde(rename = "log_core")]
    pub change_log_cores: f64,
    /// Traffic of the change log per second, with all dispatchers.
    #[serde(rename = "log")]
    pub change_log: LogTraffic,
    #[serde(rename = "log_connections")]
    pub change_log_connections: u64,
    pub purges: Delays,
    pub configurations: Delays,
}

/// Result for one fleet size.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SizeResult {
    pub size: usize,
    #[serde(rename = "real")]
    pub real_dispatchers: usize,
    pub followers: usize,
    /// Resident memory of this process per simulated dispatcher, after the first phase.
    #[serde(rename = "hollow_kb")]
    pub simulated_kb: f64,
    pub phases: Vec<PhaseResult>,
    /// Whether all real dispatchers exited cleanly.
    #[serde(rename = "ended_well")]
    pub exited_cleanly: bool,
}

/// Input of a run.
pub struct RunContext<'a> {
    pub program: &'a Path,
    pub settings: &'a Settings,
    pub sockets: &'a SocketRuns,
    pub size: usize,
    /// Receives progress lines.
    pub progress: &'a dyn Fn(&str),
}

/// Membership gossip: sends of a news item per doubling of the fleet, items per message, and messages per
/// second of a member (docs/fleet-members.md).
const SENDS_PER_DOUBLING: f64 = 4.0;
const ITEMS_PER_MESSAGE: f64 = 24.0;
const MESSAGES_PER_S: f64 = 8.2;
/// Margin over the mean.
const NEWS_MARGIN: f64 = 1.33;

/// Estimated seconds until news of `size` simultaneous starts has spread.
pub fn news_spread_s(size: usize) -> f64 {
    let size = size as f64;
    size * SENDS_PER_DOUBLING * (size + 1.0).log2() / ITEMS_PER_MESSAGE / MESSAGES_PER_S
}

/// Duration of a phase in a fleet of `size`, in seconds.
fn duration_s(phase: &Phase, size: usize) -> f64 {
    match phase.is_settling {
        true => phase.seconds.max(NEWS_MARGIN * news_spread_s(size)),
        false => phase.seconds,
    }
}

/// Fails if a run would exceed its bounds.
pub fn check_bounds(size: usize, real: usize, bounds: &Bounds) -> Result<(), Error> {
    let (size, real) = (size as u64, real as u64);
    if real + 1 > bounds.processes {
        let (value, limit) = (real + 1, bounds.processes);
        let remedy = "set fewer `real` ones";
        return Err(Error::BoundExceeded { bound: "processes", value, limit, remedy });
    }
    let needed =
        (size * (MEMBER_BYTES + size * BYTES_PER_LISTED_MEMBER) + real * REAL_DISPATCHER_BYTES) >> 20;
    if needed > bounds.memory_mb {
        let remedy = "set smaller `sizes`";
        return Err(Error::BoundExceeded {
            bound: "memory_mb",
            value: needed,
            limit: bounds.memory_mb,
            remedy,
        });
    }
    Ok(())
}

/// Runs one fleet size through all phases.
pub fn run(context: &RunContext) -> Result<SizeResult, Error> {
    check_bounds(context.size, context.sockets.real_dispatchers, &context.settings.bounds)?;
    let folder = tempfile::tempdir().map_err(io_error("a folder for the run"))?;
    let mut run = Run::start(context, folder.path())?;
    let mut phases = Vec::new();
    let mut simulated_kb = 0.0;
    for (index, phase) in context.sockets.phases.iter().enumerate() {
        phases.push(run.run_phase(phase)?);
        if index == 0 {
            simulated_kb = run.simulated_kb();
        }
    }
    let (real_dispatchers, followers) = (run.real.len(), run.followers);
    let exited_cleanly = run.stop();
    Ok(SizeResult { size: context.size, real_dispatchers, followers, simulated_kb, phases, exited_cleanly })
}

struct Run<'a> {
    context: &'a RunContext<'a>,
    change_log: ChangeLog,
    shared: Arc<Shared>,
    workers: Vec<Worker>,
    counters: Vec<Arc<TrafficCounters>>,
    real: Vec<RealDispatcher>,
    followers: usize,
    rng: Pcg64Mcg,
    /// Resident kilobytes of this process before any dispatcher started.
    base_resident_kb: u64,
}

impl Drop for Run<'_> {
    /// Stops and joins all threads, however the run ends.
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Relaxed);
        self.workers.drain(..).for_each(Worker::join);
    }
}

/// Whether a member is a real dispatcher; real ones are spread over all sites.
fn is_real(member: usize, size: usize, real: usize) -> bool {
    (0..real).any(|index| index * size / real.max(1) == member)
}

fn bind_all(count: usize) -> Result<Vec<UdpSocket>, Error> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let bind = |_| {
        UdpSocket::bind(address).map_err(|error| Error::AddressInUse {
            listener: "a simulated dispatcher",
            address,
            error,
        })
    };
    (0..count).map(bind).collect()
}

impl<'a> Run<'a> {
    fn start(context: &'a RunContext<'a>, folder: &Path) -> Result<Run<'a>, Error> {
        let (settings, sockets, size) = (context.settings, context.sockets, context.size);
        let base_resident_kb = process::resident_kb("self");
        let placements = topology::placements(&settings.topology, size);
        let zones: Vec<String> = settings.topology.zones.iter().map(|zone| zone.name.clone()).collect();
        let change_log = ChangeLog::start(sockets.first_port, &sockets.load, &zones[0], settings.seed)?;
        let first_real = sockets.first_port.map(|first| first.saturating_add(2));
        let mut addresses = real::addresses(sockets.real_dispatchers, first_real)?.into_iter();
        let mut simulated = bind_all(size - addresses.len())?.into_iter();
        let (mut members, mut endpoints, mut bound) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut started_real = 0;
        for (member, placement) in placements.iter().enumerate() {
            let real = is_real(member, size, sockets.real_dispatchers).then(|| addresses.next()).flatten();
            let real_index = real.as_ref().map(|_| started_real);
            started_real += usize::from(real.is_some());
            let socket = if real.is_none() { simulated.next() } else { None };
            let own = socket.as_ref().map(UdpSocket::local_addr).transpose();
            let own = own.map_err(io_error("a socket's address"))?;
            let Some(address) = real.map(|real| real.fleet).or(own) else { continue };
            endpoints.insert(address.port(), Endpoint { region: placement.region, real_index });
            members.push(Member { name: format!("d{member}"), address, location: placement.location });
            bound.push((member, *placement, real, socket));
        }
        let shared = Arc::new(Shared {
            network: Network::new(endpoints),
            real_counters: (0..sockets.real_dispatchers).map(|_| TrafficCounters::default()).collect(),
            demanding_per_mille: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
            host_count: sockets.load.hosts,
            fleet_name: subsystems::FLEET_NAME.to_owned(),
        });
        let mut run = Run {
            context,
            change_log,
            shared,
            workers: Vec::new(),
            counters: Vec::new(),
            real: Vec::new(),
            followers: 0,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            base_resident_kb,
        };
        let mut simulated = Vec::new();
        for (member, placement, real, socket) in bound {
            match (real, socket) {
                (Some(real), _) => run.start_real(folder, &members, &zones, (member, placement, real))?,
                (None, Some(socket)) => {
                    simulated.push(run.start_simulated(&members, (member, placement, socket))?)
                }
                (None, None) => {}
            }
        }
        run.start_workers(simulated, &zones)?;
        Ok(run)
    }

    fn start_real(
        &mut self,
        folder: &Path,
        members: &[Member],
        zones: &[String],
        (member, placement, addresses): (usize, Placement, real::Addresses),
    ) -> Result<(), Error> {
        let mut order: Vec<u16> = members.iter().map(|member| member.location.0).collect();
        order.sort_unstable();
        order.dedup();
        let order: Vec<String> = order.into_iter().map(|zone| zones[usize::from(zone)].clone()).collect();
        let section = subsystems::fleet_section(members.len(), &order);
        let spec = real::DispatcherSpec {
            name: &members[member].name,
            addresses,
            zones,
            zone: usize::from(placement.location.0),
            members,
            subsystems: &section,
            changelog: self.change_log.addresses[PeerKind::Real as usize],
            known_change: &self.change_log.known,
            seed: self.context.settings.seed ^ member as u64,
        };
        (self.context.progress)(&format!(
            "{} dispatchers: starting real dispatcher {}",
            self.context.size, spec.name
        ));
        self.real.push(RealDispatcher::start(self.context.program, folder, &spec)?);
        Ok(())
    }

    fn start_simulated(
        &mut self,
        members: &[Member],
        (member, placement, socket): (usize, Placement, UdpSocket),
    ) -> Result<SimulatedDispatcher, Error> {
        let mut settings =
            FleetSettings::new(subsystems::FLEET_NAME, &members[member].name, members[member].address);
        settings.members = members.to_vec();
        (settings.timer_interval, settings.seed) =
            (subsystems::TIMER_INTERVAL, self.context.settings.seed ^ member as u64);
        settings.protocols = subsystems::all_enabled(members.len());
        let simulated =
            SimulatedDispatcher::start(settings, socket, placement.region, member, self.shared.clone())?;
        self.counters.push(simulated.counters.clone());
        Ok(simulated)
    }

    /// Distributes simulated dispatchers and followers among the threads.
    fn start_workers(&mut self, simulated: Vec<SimulatedDispatcher>, zones: &[String]) -> Result<(), Error> {
        let sockets = self.context.sockets;
        self.followers = (sockets.follower_fraction * simulated.len() as f64) as usize;
        let names = real::change_names(zones);
        let mut members: Vec<Vec<SimulatedDispatcher>> = (0..sockets.threads).map(|_| Vec::new()).collect();
        let mut followers: Vec<Vec<Follower>> = (0..sockets.threads).map(|_| Vec::new()).collect();
        for (index, member) in simulated.into_iter().enumerate() {
            let thread = index % sockets.threads;
            if index < self.followers {
                let (address, shared) =
                    (self.change_log.addresses[PeerKind::Simulated as usize], self.change_log.shared.clone());
                let seed = self.context.settings.seed ^ index as u64;
                let follower =
                    Follower::new(address, names.clone(), 1, shared, member.counters.clone(), seed);
                followers[thread].push(follower);
            }
            members[thread].push(member);
        }
        for (number, (members, followers)) in members.into_iter().zip(followers).enumerate() {
            self.workers.push(Worker::start(number, members, followers, self.shared.clone())?);
        }
        Ok(())
    }

    fn simulated_kb(&self) -> f64 {
        let grown = process::resident_kb("self").saturating_sub(self.base_resident_kb);
        grown as f64 / self.counters.len().max(1) as f64
    }

    fn amounts(&self, peer: PeerKind) -> Vec<TrafficByKind> {
        self.counters.iter().map(|counters| counters.amounts(peer)).collect()
    }

    fn change_log_traffic(&self) -> [LogTraffic; 2] {
        [PeerKind::Simulated, PeerKind::Real].map(|peer| self.change_log.shared.traffic(peer))
    }

    fn run_phase(&mut self, phase: &Phase) -> Result<PhaseResult, Error> {
        let region = |name: &String| topology::region_index(&self.context.settings.topology, name);
        self.shared.network.partition(phase.partitioned_region.as_ref().map(region));
        self.shared.demanding_per_mille.store((phase.demanding_fraction * 1000.0) as u64, Relaxed);
        self.change_log.shared.is_down.store(phase.is_log_down, Relaxed);
        self.change_log.shared.is_publishing.store(true, Relaxed);
        let shared = self.change_log.shared.clone();
        let (from, connections) = (shared.propagation.change_count(), shared.connection_count());
        for kind in [ChangeKind::Purge, ChangeKind::Configuration] {
            // Discards deliveries of the previous phase.
            let _ = shared.propagation.delays(kind, from, 0);
        }
        let before = Counts::read(self);
        let (log_before, threads) = (self.change_log_traffic(), process::thread_seconds("self"));
        self.real.iter_mut().for_each(|real| drop(real.sample_usage()));
        let start = Instant::now();
        self.wait_and_inject(phase, start)?;
        let seconds = start.elapsed().as_secs_f64();
        let after = Counts::read(self);
        let cores = process::cores_used(&threads, &process::thread_seconds("self"), seconds);
        let cores_of =
            |name: &str| cores.iter().filter(|(key, _)| key.starts_with(name)).map(|(_, used)| used).sum();
        let log_after = self.change_log_traffic();
        let rates = Rates::new(before, after, log_before, log_after, seconds);
        let followers = self.followers as u32;
        let (simulated, real) = (self.counters.len(), self.real.len());
        Ok(PhaseResult {
            name: phase.name.clone(),
            is_settling: phase.is_settling,
            seconds,
            simulated_mean: rates.simulated_mean(self.followers),
            real_mean: rates.real_mean(simulated, real),
            simulated_median: rates.simulated_median(self.followers, simulated, real),
            real_median: rates.real_median(simulated, real),
            simulated_max: rates.simulated_max(),
            real_usage: self.real.iter_mut().map(RealDispatcher::sample_usage).collect(),
            simulated_cores: cores_of(pool::THREAD_PREFIX),
            change_log_cores: cores_of(changelog::THREAD_NAME),
            change_log: rates.log_sum(),
            change_log_connections: shared.connection_count() - connections,
            purges: shared.propagation.delays(ChangeKind::Purge, from, followers),
            configurations: shared.propagation.delays(ChangeKind::Configuration, from, followers),
        })
    }

    /// Waits until the phase is over and injects synthetic findings at its rate.
    fn wait_and_inject(&mut self, phase: &Phase, start: Instant) -> Result<(), Error> {
        let duration = duration_s(phase, self.context.size);
        let timeout = Duration::from_secs_f64(duration);
        let (mut injected, mut next_progress) = (0u64, Duration::ZERO);
        while start.elapsed() < timeout {
            std::thread::sleep(CHECK_INTERVAL.min(timeout.saturating_sub(start.elapsed())));
            while (injected as f64) < phase.findings_per_s * start.elapsed().as_secs_f64() {
                injected += 1;
                self.inject_finding();
            }
            if start.elapsed() >= next_progress {
                next_progress += Duration::from_secs(1);
                let (size, elapsed) = (self.context.size, start.elapsed().as_secs());
                (self.context.progress)(&format!(
                    "{size} dispatchers: {}, {elapsed} of {duration:.0} s",
                    phase.name
                ));
                self.check_limits()?;
            }
        }
        Ok(())
    }

    fn inject_finding(&mut self) {
        let worker = self.rng.gen_range(0..self.workers.len());
        let Worker { findings, member_count, .. } = &self.workers[worker];
        if *member_count > 0 {
            let member = self.rng.gen_range(0..*member_count);
            let host = self.rng.gen_range(0..self.shared.host_count.max(1)) as u64;
            let _ = findings.send((member, host));
        }
    }

    fn check_limits(&mut self) -> Result<(), Error> {
        self.real.iter_mut().try_for_each(RealDispatcher::check_running)?;
        let limit = self.context.settings.bounds.memory_mb;
        let resident = process::resident_kb("self") >> 10;
        if resident > limit {
            return Err(Error::BoundExceeded {
                bound: "memory_mb",
                value: resident,
                limit,
                remedy: "set smaller `sizes`",
            });
        }
        Ok(())
    }

    fn stop(mut self) -> bool {
        self.shared.is_stopping.store(true, Relaxed);
        let clean_exits: Vec<bool> = self.real.drain(..).map(RealDispatcher::stop).collect();
        clean_exits.into_iter().all(|is_clean| is_clean)
    }
}

/// Traffic counted so far.
struct Counts {
    /// Per simulated dispatcher: with simulated and with real ones.
    with: [Vec<TrafficByKind>; 2],
    /// Per real dispatcher, with simulated ones.
    real: Vec<TrafficByKind>,
}

impl Counts {
    fn read(run: &Run) -> Counts {
        let with = [PeerKind::Simulated, PeerKind::Real].map(|peer| run.amounts(peer));
        Counts {
            with,
            real: run
                .shared
                .real_counters
                .iter()
                .map(|counters| counters.amounts(PeerKind::Simulated))
                .collect(),
        }
    }
}

/// Traffic per second in a phase.
struct Rates {
    /// Per simulated dispatcher: with simulated and with real ones.
    with: [Vec<TrafficByKind>; 2],
    /// Per real dispatcher, with simulated ones.
    real: Vec<TrafficByKind>,
    /// Traffic of the change log with simulated and with real dispatchers.
    log: [LogTraffic; 2],
}

fn rate(before: Amount, after: Amount, seconds: f64) -> Amount {
    (after - before).scaled_by(1.0 / seconds)
}

fn sum(all: &[TrafficByKind]) -> TrafficByKind {
    all.iter().fold(TrafficByKind::default(), |sum, traffic| zip_with(&sum, traffic, |a, b| a + b))
}

/// Median entry by entry.
fn median(all: &[TrafficByKind]) -> TrafficByKind {
    let median_of = |metric: &dyn Fn(&TrafficByKind) -> f64| {
        let mut all: Vec<f64> = all.iter().map(metric).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(0.0)
    };
    let entry = |direction: usize, kind: usize| Amount {
        messages: median_of(&|traffic| traffic[direction][kind].messages),
        bytes: median_of(&|traffic| traffic[direction][kind].bytes),
    };
    [0, 1].map(|direction| std::array::from_fn(|kind| entry(direction, kind)))
}

/// Factor from a real dispatcher's traffic with simulated ones to its traffic with all.
fn all_peers_factor(simulated: usize, real: usize) -> f64 {
    (simulated + real).saturating_sub(1) as f64 / simulated.max(1) as f64
}

impl Rates {
    fn new(
        before: Counts,
        after: Counts,
        log_before: [LogTraffic; 2],
        log_after: [LogTraffic; 2],
        seconds: f64,
    ) -> Rates {
        let rates = |before: &[TrafficByKind], after: &[TrafficByKind]| {
            let pairs = before.iter().zip(after);
            pairs.map(|(before, after)| zip_with(before, after, |a, b| rate(a, b, seconds))).collect()
        };
        let log = |index: usize| LogTraffic {
            requests: rate(log_before[index].requests, log_after[index].requests, seconds),
            answers: rate(log_before[index].answers, log_after[index].answers, seconds),
        };
        let with = [0, 1].map(|index| rates(&before.with[index], &after.with[index]));
        Rates { with, real: rates(&before.real, &after.real), log: [log(0), log(1)] }
    }

    /// Fills in the change log's entries as the mean over `followers`.
    fn with_log(&self, mut all: TrafficByKind, with: PeerKind, followers: usize) -> TrafficByKind {
        let per_follower = 1.0 / followers.max(1) as f64;
        let log = &self.log[with as usize];
        (all[0][CHANGE_LOG_KIND], all[1][CHANGE_LOG_KIND]) =
            (log.requests.scaled_by(per_follower), log.answers.scaled_by(per_follower));
        all
    }

    fn simulated_mean(&self, followers: usize) -> TrafficByKind {
        let both = zip_with(&sum(&self.with[0]), &sum(&self.with[1]), |a, b| a + b);
        self.with_log(scaled(&both, 1.0 / self.with[0].len().max(1) as f64), PeerKind::Simulated, followers)
    }

    /// Extrapolated from traffic with simulated dispatchers, since traffic among real ones isn't counted.
    fn real_mean(&self, simulated: usize, real: usize) -> TrafficByKind {
        let with_simulated = scaled(&sum(&self.real), 1.0 / real.max(1) as f64);
        self.with_log(scaled(&with_simulated, all_peers_factor(simulated, real)), PeerKind::Real, real)
    }

    fn real_median(&self, simulated: usize, real: usize) -> TrafficByKind {
        self.with_log(scaled(&median(&self.real), all_peers_factor(simulated, real)), PeerKind::Real, real)
    }

    fn simulated_median(&self, followers: usize, simulated: usize, real: usize) -> TrafficByKind {
        let among_simulated = median(&self.with[0]);
        let factor = (simulated + real).saturating_sub(1) as f64 / simulated.saturating_sub(1).max(1) as f64;
        self.with_log(scaled(&among_simulated, factor), PeerKind::Simulated, followers)
    }

    fn simulated_max(&self) -> TrafficByKind {
        let all = self.with[0].iter().zip(&self.with[1]).map(|(a, b)| zip_with(a, b, |a, b| a + b));
        let max = |a: Amount, b: Amount| Amount {
            messages: a.messages.max(b.messages),
            bytes: a.bytes.max(b.bytes),
        };
        all.fold(TrafficByKind::default(), |highest, traffic| zip_with(&highest, &traffic, max))
    }

    fn log_sum(&self) -> LogTraffic {
        let [simulated, real] = self.log;
        LogTraffic { requests: simulated.requests + real.requests, answers: simulated.answers + real.answers }
    }
}

/// Relative difference of the median real dispatcher from the median simulated one, over both directions of
/// all link messages.
pub fn difference(phase: &PhaseResult) -> Amount {
    let sum = |all: &TrafficByKind| {
        let link = all.iter().flat_map(|direction| direction[..CHANGE_LOG_KIND].iter());
        link.fold(Amount::default(), |sum, amount| sum + *amount)
    };
    let (simulated, real) = (sum(&phase.simulated_median), sum(&phase.real_median));
    Amount {
        messages: real.messages / simulated.messages.max(f64::EPSILON) - 1.0,
        bytes: real.bytes / simulated.bytes.max(f64::EPSILON) - 1.0,
    }
}

const _: () = assert!(CHANGE_LOG_KIND + 1 == KIND_NAMES.len());
