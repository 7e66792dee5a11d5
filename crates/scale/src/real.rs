//! Real dispatchers: processes of the built program, with files made for the run.
use crate::error::{doing, Error};
use crate::process::{self, Used};
use cherrypass_dispatcher::config::WireNames;
use cherrypass_faultbed::processes::{Files, Process};
use cherrypass_peers::Member;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// How long a process may take until it takes clients in, and until it has ended.
const START_MOST: Duration = Duration::from_secs(20);
const END_MOST: Duration = Duration::from_secs(5);
/// Ports below those that systems give to connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// The place among them of the next that is tried.
static NEXT: AtomicUsize = AtomicUsize::new(0);
/// Bytes of a process's own words that an error tells.
const SAID_MOST: usize = 200;

/// Addresses that real dispatchers listen on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub clients: SocketAddr,
    pub fleet: SocketAddr,
}

/// Addresses for so many real dispatchers: from the first port on, or free ones. One that is in use is an error.
pub fn addresses(count: usize, first_port: Option<u16>) -> Result<Vec<Addresses>, Error> {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let free = |at: SocketAddr| TcpListener::bind(at).and_then(|_| UdpSocket::bind(at)).map(drop);
    let Some(first) = first_port else {
        // None comes twice from one process, and processes begin at places far from each other.
        let begin = std::process::id().wrapping_mul(7_919) as usize;
        let next =
            |_| at(PORTS.start + (begin.wrapping_add(NEXT.fetch_add(1, Relaxed)) % PORTS.len()) as u16);
        let all = (0..PORTS.len()).map(next);
        let found: Vec<SocketAddr> = all.filter(|at| free(*at).is_ok()).take(2 * count).collect();
        return Ok(found.chunks_exact(2).map(|two| Addresses { clients: two[0], fleet: two[1] }).collect());
    };
    let mut found = Vec::new();
    for place in 0..count as u16 {
        let [clients, fleet] = [0, 1].map(|step| at(first.saturating_add(2 * place + step)));
        for at in [clients, fleet] {
            free(at).map_err(|error| Error::InUse { what: "a real dispatcher", at, error })?;
        }
        found.push(Addresses { clients, fleet });
    }
    Ok(found)
}

/// What a real dispatcher's files are made from.
pub struct Told<'a> {
    pub name: &'a str,
    pub addresses: Addresses,
    /// Names of all zones, and the place of its own.
    pub zones: &'a [String],
    pub zone: usize,
    pub members: &'a [Member],
    /// The rooms, as keys of the section.
    pub rooms: &'a Value,
    pub changelog: SocketAddr,
    pub known: &'a Value,
    pub seed: u64,
}

/// Kinds of hosts that the configuration names.
const KINDS: [&str; 3] = ["small", "parent", "origin"];

/// The names by which changes of the log are read.
pub fn names(zones: &[String]) -> WireNames {
    WireNames { classes: Vec::new(), locations: zones.to_vec(), kinds: KINDS.map(str::to_owned).to_vec() }
}

fn configuration(told: &Told) -> Value {
    let by_zone = |zone: usize| told.members.iter().filter(|one| usize::from(one.location.0) == zone).count();
    let counts: Vec<usize> = (0..told.zones.len()).map(by_zone).collect();
    let settings = json!({
        "balancers": told.members.len(), "me": 0, "zone": told.zone, "zones": told.zones,
        "weight_source": "rough", "models": KINDS,
        "services": [{ "name": "read", "aim": 400_000, "deadline": crate::rooms::LONGEST.0, "effect": "idempotent" }],
        "bounds": { "cancel": true, "connect_timeout": 300_000, "conn_idle": 15_000_000, "streams_per_conn": 32,
            "max_attempts": 6, "retry_after": true, "max_retry_after": 2_000_000 },
        "rules": { "cold_from": 0.2, "cold": 15_000_000, "overload_factor": 2.0, "overload_for": 2_000_000 },
        "domain": { "class_fresh": [0], "goes_through": [false], "may_pass_by": true,
            "obey_after": 1_000_000, "pace_kb_per_s": 0, "parent_kind": 1, "source_kind": 2,
            "purge_done": 1_000_000, "count_by_zone": counts },
    });
    json!({ "name": told.name, "listen": told.addresses.clients.to_string(), "seed": format!("{:x}", told.seed),
        "limits": { "cores": 1.0, "memory_mb": 128, "sockets": 512 }, "changelog": told.changelog.to_string(),
        "known": told.known, "settings": settings })
}

fn operator(told: &Told, folder: &Path) -> Value {
    let members: Vec<Value> = told
        .members
        .iter()
        .map(|one| {
            let location = &told.zones[usize::from(one.location.0)];
            json!({ "name": one.name, "address": one.address.to_string(), "location": location })
        })
        .collect();
    let mut fleet = json!({ "name": crate::rooms::FLEET, "me": told.name,
        "listen": told.addresses.fleet.to_string(), "members": members });
    if let (Some(fleet), Some(rooms)) = (fleet.as_object_mut(), told.rooms.as_object()) {
        fleet.extend(rooms.clone());
    }
    json!({ "store": { "dir": folder.join(format!("{}-kept", told.name)) }, "fleet": fleet })
}

/// A real dispatcher at work; it is killed when this is dropped.
pub struct Real {
    pub name: String,
    pub fleet: SocketAddr,
    process: Process,
    files: Files,
    looked: (Instant, BTreeMap<String, f64>),
}

impl Real {
    /// Writes its files into the folder and starts the program.
    pub fn start(program: &Path, folder: &Path, told: &Told) -> Result<Real, Error> {
        let at = |what: &str| folder.join(format!("{}{what}", told.name));
        let operator_file = at(".jsonnet");
        let files = Files {
            config: at(".json"),
            operator: Some(operator_file.clone()),
            log: at(".log"),
            environment: Vec::new(),
        };
        std::fs::write(&files.config, configuration(told).to_string()).map_err(doing("a configuration"))?;
        std::fs::write(operator_file, operator(told, folder).to_string())
            .map_err(doing("an operators' file"))?;
        let process = Process::start(program, &files)
            .map_err(|error| Error::Program { program: program.display().to_string(), error })?;
        let looked = (Instant::now(), BTreeMap::new());
        let (name, fleet) = (told.name.to_owned(), told.addresses.fleet);
        let mut real = Real { name, fleet, process, files, looked };
        let until = Instant::now() + START_MOST;
        while std::net::TcpStream::connect(told.addresses.clients).is_err() {
            real.is_well()?;
            if Instant::now() > until {
                return Err(real.ended("it takes no client".into()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(real)
    }

    fn ended(&self, status: String) -> Error {
        let said = std::fs::read_to_string(&self.files.log).unwrap_or_default();
        let last = said.lines().last().unwrap_or("nothing");
        Error::Ended { name: self.name.clone(), status, said: last.chars().take(SAID_MOST).collect() }
    }

    /// An error where it has ended by itself.
    pub fn is_well(&mut self) -> Result<(), Error> {
        match self.process.ended() {
            Some(status) => Err(self.ended(status)),
            None => Ok(()),
        }
    }

    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    fn id(&self) -> String {
        self.process.id().to_string()
    }

    /// What it used since the last look.
    pub fn look(&mut self) -> Used {
        let (now, threads) = (Instant::now(), process::threads(&self.id()));
        let core = process::parts(&self.looked.1, &threads, (now - self.looked.0).as_secs_f64());
        self.looked = (now, threads);
        Used { core, resident_kb: process::resident_kb(&self.id()) }
    }

    /// SIGTERM, and SIGKILL where that does not do; whether it ended well.
    pub fn end(self) -> bool {
        self.process.end(END_MOST)
    }
}
