//! Runs real dispatchers as processes of the built program, with generated configuration files.
use crate::error::{io_error, Error};
use crate::process::{self, ResourceUsage};
use cherrypass_dispatcher::config::WireNames;
use cherrypass_faultbed::processes::{Process, ProcessFiles};
use cherrypass_peers::Member;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Limit for a process to accept client connections.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Candidate ports, below the usual ephemeral range.
const CANDIDATE_PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Offset in `CANDIDATE_PORTS` of the next candidate.
static NEXT_PORT_OFFSET: AtomicUsize = AtomicUsize::new(0);
/// Characters of a process's last log line that an error message quotes.
const MAX_QUOTED_CHARS: usize = 200;

/// Addresses that a real dispatcher listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub clients: SocketAddr,
    pub fleet: SocketAddr,
}

/// Addresses for `count` real dispatchers: consecutive ports from `first_port` on, which must be free, or any
/// free ones.
pub fn addresses(count: usize, first_port: Option<u16>) -> Result<Vec<Addresses>, Error> {
    let address_of = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let probe =
        |address: SocketAddr| TcpListener::bind(address).and_then(|_| UdpSocket::bind(address)).map(drop);
    let Some(first) = first_port else {
        // Never hands out a port twice in a process, and processes start their search far apart.
        let first_offset = std::process::id().wrapping_mul(7_919) as usize;
        let next = |_| {
            address_of(
                CANDIDATE_PORTS.start
                    + (first_offset.wrapping_add(NEXT_PORT_OFFSET.fetch_add(1, Relaxed))
                        % CANDIDATE_PORTS.len()) as u16,
            )
        };
        let all = (0..CANDIDATE_PORTS.len()).map(next);
        let free: Vec<SocketAddr> = all.filter(|address| probe(*address).is_ok()).take(2 * count).collect();
        return Ok(free.chunks_exact(2).map(|two| Addresses { clients: two[0], fleet: two[1] }).collect());
    };
    let mut addresses = Vec::new();
    for index in 0..count as u16 {
        let [clients, fleet] = [0, 1].map(|step| address_of(first.saturating_add(2 * index + step)));
        for address in [clients, fleet] {
            probe(address).map_err(|error| Error::AddressInUse {
                listener: "a real dispatcher",
                address,
                error,
            })?;
        }
        addresses.push(Addresses { clients, fleet });
    }
    Ok(addresses)
}

/// Input for a real dispatcher's configuration files.
pub struct DispatcherSpec<'a> {
    pub name: &'a str,
    pub addresses: Addresses,
    /// Names of all zones, and the index of its own one.
    pub zones: &'a [String],
    pub zone: usize,
    pub members: &'a [Member],
    /// Subsystem settings: keys of the `fleet` section.
    pub subsystems: &'a Value,
    pub changelog: SocketAddr,
    pub known_change: &'a Value,
    pub seed: u64,
}

/// Host kinds in the configuration.
const HOST_KINDS: [&str; 3] = ["small", "parent", "origin"];

/// Names for decoding the log's changes.
pub fn change_names(zones: &[String]) -> WireNames {
    WireNames {
        classes: Vec::new(),
        locations: zones.to_vec(),
        kinds: HOST_KINDS.map(str::to_owned).to_vec(),
    }
}

fn configuration(spec: &DispatcherSpec) -> Value {
    let by_zone =
        |zone: usize| spec.members.iter().filter(|member| usize::from(member.location.0) == zone).count();
    let counts: Vec<usize> = (0..spec.zones.len()).map(by_zone).collect();
    let settings = json!({
        "balancers": spec.members.len(), "me": 0, "zone": spec.zone, "zones": spec.zones,
        "weight_source": "rough", "models": HOST_KINDS,
        "services": [{ "name": "read", "aim": 400_000, "deadline": crate::subsystems::LONGEST_DEADLINE.0,
            "effect": "idempotent" }],
        "bounds": { "cancel": true, "connect_timeout": 300_000, "conn_idle": 15_000_000, "streams_per_conn": 32,
            "max_attempts": 6, "retry_after": true, "max_retry_after": 2_000_000 },
        "rules": { "cold_from": 0.2, "cold": 15_000_000, "overload_factor": 2.0, "overload_for": 2_000_000 },
        "domain": { "class_fresh": [0], "goes_through": [false], "may_pass_by": true,
            "obey_after": 1_000_000, "pace_kb_per_s": 0, "parent_kind": 1, "source_kind": 2,
            "purge_done": 1_000_000, "count_by_zone": counts },
    });
    json!({ "name": spec.name, "listen": spec.addresses.clients.to_string(), "seed": format!("{:x}", spec.seed),
        "limits": { "cores": 1.0, "memory_mb": 128, "sockets": 512 }, "changelog": spec.changelog.to_string(),
        "known": spec.known_change, "settings": settings })
}

fn operator_file(spec: &DispatcherSpec, folder: &Path) -> Value {
    let members: Vec<Value> = spec
        .members
        .iter()
        .map(|member| {
            let location = &spec.zones[usize::from(member.location.0)];
            json!({ "name": member.name, "address": member.address.to_string(), "location": location })
        })
        .collect();
    let mut fleet = json!({ "name": crate::subsystems::FLEET_NAME, "me": spec.name,
        "listen": spec.addresses.fleet.to_string(), "members": members });
    if let (Some(fleet), Some(subsystems)) = (fleet.as_object_mut(), spec.subsystems.as_object()) {
        fleet.extend(subsystems.clone());
    }
    json!({ "store": { "dir": folder.join(format!("{}-kept", spec.name)) }, "fleet": fleet })
}

/// A running real dispatcher; it is killed when this is dropped.
pub struct RealDispatcher {
    pub name: String,
    pub fleet_address: SocketAddr,
    process: Process,
    files: ProcessFiles,
    last_sample: (Instant, BTreeMap<String, f64>),
}

impl RealDispatcher {
    /// Writes its files into `folder`, starts the program and waits until it accepts connections.
    pub fn start(program: &Path, folder: &Path, spec: &DispatcherSpec) -> Result<RealDispatcher, Error> {
        let at = |suffix: &str| folder.join(format!("{}{suffix}", spec.name));
        let operator_path = at(".jsonnet");
        let files = ProcessFiles {
            config: at(".json"),
            operator: Some(operator_path.clone()),
            log: at(".log"),
            environment: Vec::new(),
        };
        std::fs::write(&files.config, configuration(spec).to_string())
            .map_err(io_error("a configuration"))?;
        std::fs::write(operator_path, operator_file(spec, folder).to_string())
            .map_err(io_error("an operator file"))?;
        let process = Process::start(program, &files)
            .map_err(|error| Error::Program { program: program.display().to_string(), error })?;
        let last_sample = (Instant::now(), BTreeMap::new());
        let (name, fleet_address) = (spec.name.to_owned(), spec.addresses.fleet);
        let mut real = RealDispatcher { name, fleet_address, process, files, last_sample };
        let until = Instant::now() + START_TIMEOUT;
        while std::net::TcpStream::connect(spec.addresses.clients).is_err() {
            real.check_running()?;
            if Instant::now() > until {
                return Err(real.exit_error("it accepts no client connection".into()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(real)
    }

    fn exit_error(&self, status: String) -> Error {
        let log_text = std::fs::read_to_string(&self.files.log).unwrap_or_default();
        let last = log_text.lines().last().unwrap_or("nothing");
        Error::ProcessExited {
            name: self.name.clone(),
            status,
            last_line: last.chars().take(MAX_QUOTED_CHARS).collect(),
        }
    }

    /// Fails if the process has exited.
    pub fn check_running(&mut self) -> Result<(), Error> {
        match self.process.exit_status() {
            Some(status) => Err(self.exit_error(status)),
            None => Ok(()),
        }
    }

    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    fn id(&self) -> String {
        self.process.id().to_string()
    }

    /// Resource usage since the previous call.
    pub fn sample_usage(&mut self) -> ResourceUsage {
        let (now, thread_seconds) = (Instant::now(), process::thread_seconds(&self.id()));
        let cores = process::cores_used(
            &self.last_sample.1,
            &thread_seconds,
            (now - self.last_sample.0).as_secs_f64(),
        );
        self.last_sample = (now, thread_seconds);
        ResourceUsage { cores, resident_kb: process::resident_kb(&self.id()) }
    }

    /// Sends SIGTERM, then SIGKILL after a timeout; returns whether it exited cleanly.
    pub fn stop(self) -> bool {
        self.process.terminate(STOP_TIMEOUT)
    }
}
