//! Starts the hosts, links, clients and processes of a play.
use super::ports::free_port;
use super::{io_error, Dispatcher, Error, Play};
use crate::changelog::HostEntry;
use crate::clients::{Load, Mix, VisitNumbers};
use crate::hosts::Host;
use crate::links::Link;
use crate::processes::{accepts_files, Process, ProcessFiles};
use cherrypass_shim::Shim;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Up to this number of processes each pair has a link; beyond it only pairs with a link fault, as each link
/// is a thread.
const MAX_FULLY_LINKED: usize = 12;
/// Visits per second of a dispatcher for which the scenario sets no load.
const DEFAULT_RATE: f64 = 10.0;

/// Environment variables of a process.
type Environment = Vec<(&'static str, String)>;

impl Play<'_> {
    /// Starts all participants and waits until every dispatcher accepts connections.
    pub(super) fn start(&mut self) -> Result<(), Error> {
        self.start_hosts()?;
        let names: Vec<String> = self.scenario.dispatchers.iter().map(|(name, _)| name.clone()).collect();
        self.reserve_addresses(&names)?;
        self.start_links(&names)?;
        let numbers = VisitNumbers::default();
        numbers.store(1, SeqCst);
        for (index, name) in names.iter().enumerate() {
            self.start_dispatcher(index, name, &numbers)?;
        }
        for name in names {
            self.wait_for(&name)?;
        }
        Ok(())
    }

    /// Starts the hosts and lists them in the change log.
    fn start_hosts(&mut self) -> Result<(), Error> {
        let (scenario, seed) = (self.scenario, self.setup.seed);
        let work = Duration::from_secs_f64(scenario.work_ms / 1e3);
        for hosts in &scenario.hosts {
            for name in &hosts.names {
                let host = (&format!("s-{name}")[..], hosts.kind, hosts.transfers);
                let seed = seed ^ self.hosts.read().map_or(0, |hosts| hosts.len() as u64 + 1);
                Host::start(host, work, seed, self.notes.clone(), self.hosts.clone())
                    .map_err(io_error(name))?;
            }
        }
        let names = scenario.hosts.iter().flat_map(|hosts| &hosts.names);
        let entries: Vec<HostEntry> = names.filter_map(|name| self.entry(name)).collect();
        self.change_log.append_hosts(&entries, "in_service", true);
        Ok(())
    }

    /// Chooses the ports for messages between members and for rollout orders.
    fn reserve_addresses(&mut self, names: &[String]) -> Result<(), Error> {
        for name in names.iter().filter(|_| self.scenario.fleet.is_some()) {
            self.fleet_addresses.insert(name.clone(), free_port(true).map_err(io_error("a port"))?);
        }
        for name in names.iter().filter(|_| self.scenario.has_rollout_orders()) {
            self.control_addresses.insert(name.clone(), free_port(false).map_err(io_error("a port"))?);
        }
        Ok(())
    }

    fn start_links(&mut self, names: &[String]) -> Result<(), Error> {
        let pairs = names.iter().flat_map(|from| names.iter().map(move |to| (from, to)));
        for (index, (from, to)) in pairs.enumerate() {
            let is_linked = names.len() <= MAX_FULLY_LINKED || self.scenario.has_link_fault(from, to);
            if let Some(address) = self.fleet_addresses.get(to).filter(|_| from != to && is_linked) {
                let seed = self.setup.seed.wrapping_mul(31) + index as u64;
                let link = Link::start(*address, seed).map_err(io_error("a link"))?;
                self.links.insert((from.clone(), to.clone()), link);
            }
        }
        Ok(())
    }

    /// Starts a dispatcher and its clients, which send nothing before the load starts.
    fn start_dispatcher(&mut self, index: usize, name: &str, numbers: &VisitNumbers) -> Result<(), Error> {
        let scenario = self.scenario;
        let address = free_port(false).map_err(io_error("a port"))?;
        let seed = self.setup.seed.wrapping_mul(1_000_003) + index as u64;
        let (environment, shim) = self.fault_environment(name, seed)?;
        let (config, log) = (self.file_of(name, ".json"), self.file_of(name, ".log"));
        let files = ProcessFiles { config, operator: None, log, environment };
        std::fs::write(&files.config, self.config(index, name, address))
            .map_err(io_error("a configuration"))?;
        let rate_of =
            |who: &str| scenario.load.iter().rev().find(|(name, _)| name == who).map(|(_, rate)| *rate);
        let mix = Mix { write_share: scenario.write_share, objects: scenario.objects };
        let client = (name.to_owned(), address);
        let dispatcher = Dispatcher {
            files,
            shim,
            address,
            process: None,
            load: Load::start(client, 0.0, mix, seed, self.notes.clone(), numbers.clone()),
            crowd: None,
            store_dir: self.file_of(name, "-kept"),
            is_older_build: scenario.older_builds.iter().any(|older| older == name),
            disk_orders: (Vec::new(), self.file_of(name, ".disk")),
            unavailable_since: None,
            rate: rate_of(name).or(rate_of("all")).unwrap_or(DEFAULT_RATE),
        };
        self.dispatchers.insert(name.to_owned(), dispatcher);
        self.start_process(name)
    }

    /// The environment variables that a process needs for its faults, and its shim.
    fn fault_environment(&self, name: &str, seed: u64) -> Result<(Environment, Option<Shim>), Error> {
        let scenario = self.scenario;
        let mut environment = Vec::new();
        if scenario.needs_fault_build() {
            let orders = self.file_of(name, ".disk").display().to_string();
            environment.push(("CHERRYPASS_DISK_ORDERS", orders));
            let rate = scenario.clock_rates.iter().find(|(who, _)| who == name).map(|(_, rate)| rate);
            environment.extend(rate.map(|rate| ("CHERRYPASS_CLOCK_RATE", rate.to_string())));
        }
        if !scenario.needs_shim() {
            return Ok((environment, None));
        }
        let shim = Shim::new(seed).map_err(io_error("a shim"))?;
        environment.extend(shim.environment().map_err(io_error("a shim"))?);
        Ok((environment, Some(shim)))
    }

    /// Path of a file or folder of a dispatcher.
    pub(super) fn file_of(&self, name: &str, suffix: &str) -> PathBuf {
        self.setup.folder.join(format!("{name}{suffix}"))
    }

    /// Writes the configuration anew with the changes up to now. By the protocol each start has them; here only one
    /// that can't read the change log, as the others have to do with an outdated configuration.
    fn update_known_changes(&self, name: &str) -> Result<(), Error> {
        let index = self.scenario.dispatchers.iter().position(|(own, _)| own == name);
        let Some((index, dispatcher)) = index.zip(self.dispatchers.get(name)) else { return Ok(()) };
        std::fs::write(&dispatcher.files.config, self.config(index, name, dispatcher.address))
            .map_err(io_error("a configuration"))
    }

    /// Starts the current build of a dispatcher with an operator file that this build accepts.
    pub(super) fn start_process(&mut self, name: &str) -> Result<(), Error> {
        if self.change_log.is_silent() {
            self.update_known_changes(name)?;
        }
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
        let path = self.file_of(name, ".jsonnet");
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

    /// Waits until a dispatcher accepts connections.
    pub(super) fn wait_for(&mut self, name: &str) -> Result<(), Error> {
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
}
