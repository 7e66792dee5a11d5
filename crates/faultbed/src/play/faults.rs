//! Applies faults to links, processes, hosts and the change log.
use super::{io_error, run_rollout_command, Dispatcher, Error, Play, END_TIMEOUT};
use crate::clients::CLASSES;
use crate::crowd::Crowd;
use crate::hosts::{self, Mode};
use crate::links::LinkFaults;
use crate::notation::{Fault, LinkSelection};
use crate::notes::unix_micros;
use crate::processes::Process;
use crate::stop_points::count_threads;
use cherrypass_shim::Shim;
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

/// Time from SIGTERM to SIGKILL: the longest deadline and 0.7 s more.
const KILL_DELAY: Duration = Duration::from_millis(CLASSES[0].1 + 700);
/// Time from SIGTERM until clients open no new connections.
const AVOIDANCE_DELAY: Duration = Duration::from_millis(300);
/// Time from the restart of a host to its announcement in the change log.
const START_LISTING_DELAY: Duration = Duration::from_millis(500);
/// Time from SIGSTOP until the threads of the process have stopped.
const STOP_DELAY: Duration = Duration::from_millis(2);
/// Maximum number of objects that one fault purges.
const MAX_PURGED_OBJECTS: u64 = 50;

impl Play<'_> {
    /// Applies the begin or the end of a fault.
    pub(super) fn apply_fault(&mut self, fault: &Fault, begins: bool) -> Result<(), Error> {
        match fault {
            Fault::Cut(_)
            | Fault::Stall(_)
            | Fault::Lose(..)
            | Fault::Repeat(..)
            | Fault::Delay(..)
            | Fault::Throttle(..) => self.apply_link_fault(fault, begins),
            Fault::Stop(name) => self.stop_or_continue(name, begins),
            Fault::Kill(name) if begins => self.apply_kill(name),
            Fault::Kill(name) => {
                let runner = if name == "runner" { self.killed_runner.take() } else { None };
                self.restart(&runner.unwrap_or(name.clone()), false)?;
            }
            Fault::Restart { who, new } if begins => {
                self.kill(who);
                self.restart(who, *new)?;
            }
            Fault::Upgrade(name) => self.switch_build(name, !begins)?,
            Fault::Downgrade(name) => self.switch_build(name, begins)?,
            Fault::Load(who, rate) => self.change_load(who, *rate, begins),
            Fault::Purge => self.purge_objects(),
            Fault::Disk(name, order) => self.change_disk_order(name, order, begins)?,
            Fault::Rollout(who, order, document) if begins => {
                self.order_rollout(who, order, document.as_deref())?;
            }
            Fault::Restart { .. } | Fault::Rollout(..) => {}
            Fault::Silence => self.silence_change_log(begins),
            Fault::Term(name) if begins => self.terminate(name)?,
            Fault::Term(_) => {}
            Fault::Hup(name) => {
                self.process(name).into_iter().for_each(|process| process.signal(Signal::SIGHUP));
            }
            Fault::Step(..) | Fault::Calls { .. } => self.apply_shim_fault(fault, begins)?,
            Fault::Crowd(name, count) => self.change_crowd(name, if begins { *count as usize } else { 0 }),
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

    fn process(&self, name: &str) -> Option<&Process> {
        self.dispatchers.get(name)?.process.as_ref()
    }

    fn shim(&self, name: &str) -> Option<&Shim> {
        self.dispatchers.get(name)?.shim.as_ref()
    }

    fn apply_link_fault(&self, fault: &Fault, begins: bool) {
        let or_zero = |value: f64| if begins { value } else { 0.0 };
        match fault {
            Fault::Cut(between) => self.each_link(between, |link_faults| link_faults.is_cut = begins),
            Fault::Stall(between) => self.each_link(between, |link_faults| link_faults.is_stalled = begins),
            Fault::Lose(rate, between) => {
                self.each_link(between, |link_faults| link_faults.loss_rate = or_zero(rate.min(1.0)))
            }
            Fault::Repeat(rate, between) => {
                self.each_link(between, |link_faults| link_faults.duplication_rate = or_zero(rate.min(1.0)))
            }
            Fault::Delay(min, max, between) => {
                self.each_link(between, |link_faults| link_faults.delay_ms = [or_zero(*min), or_zero(*max)]);
            }
            Fault::Throttle(max, between) => {
                self.each_link(between, |link_faults| link_faults.max_per_s = Some(*max).filter(|_| begins));
            }
            _ => {}
        }
    }

    fn each_link(&self, between: &LinkSelection, change: impl Fn(&mut LinkFaults)) {
        let links = self.links.iter().filter(|((from, to), _)| between.includes(from, to));
        links.for_each(|(_, link)| link.change_faults(&change));
    }

    fn stop_or_continue(&mut self, name: &str, begins: bool) {
        let signal = if begins { Signal::SIGSTOP } else { Signal::SIGCONT };
        if begins {
            self.mark_unavailable(name);
        }
        let stopped = self.process(name).map(|process| {
            process.signal(signal);
            process.id()
        });
        if let Some(id) = stopped.filter(|_| begins) {
            // Threads stop within microseconds; one that has not is counted where it is.
            std::thread::sleep(STOP_DELAY);
            let _ = count_threads(id, &mut self.stop_counts);
        }
        // A process that was killed meanwhile stays unavailable until it is restarted.
        if !begins && self.process(name).is_some() {
            self.mark_available(name);
        }
    }

    /// Kills a dispatcher, or the rollout runner.
    fn apply_kill(&mut self, name: &str) {
        if name != "runner" {
            return self.kill(name);
        }
        let reported_runner =
            |name: &String| self.rollout_status(name)?["runner"].as_str().map(str::to_owned);
        self.killed_runner = self.dispatchers.keys().find_map(reported_runner);
        let Some(name) = self.killed_runner.clone() else { return };
        self.kill(&name);
        self.rollout_orders.push((format!("{name} was killed as the rollout runner"), false));
    }

    fn kill(&mut self, name: &str) {
        self.mark_unavailable(name);
        if let Some(process) = self.dispatchers.get_mut(name).and_then(|dispatcher| dispatcher.process.take())
        {
            drop(process);
        }
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

    fn change_load(&self, who: &str, rate: f64, begins: bool) {
        for (name, dispatcher) in &self.dispatchers {
            if who == "all" || who == name {
                dispatcher.load.set_rate(if begins { rate } else { dispatcher.rate });
            }
        }
    }

    /// Replaces the idle clients of a dispatcher.
    fn change_crowd(&mut self, name: &str, count: usize) {
        if let Some(dispatcher) = self.dispatchers.get_mut(name) {
            dispatcher.crowd = (count > 0).then(|| Crowd::start(dispatcher.address, count));
        }
    }

    /// Purges objects in the change log; the hosts drop their copies some time later.
    fn purge_objects(&self) {
        for object in 0..self.scenario.objects.min(MAX_PURGED_OBJECTS) {
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

    fn change_disk_order(&mut self, name: &str, order: &str, begins: bool) -> Result<(), Error> {
        let Some(Dispatcher { disk_orders: (orders, file), .. }) = self.dispatchers.get_mut(name) else {
            return Ok(());
        };
        orders.retain(|active| active != order);
        orders.extend(begins.then(|| order.to_owned()));
        std::fs::write(file, orders.join("\n")).map_err(io_error("the disk orders"))
    }

    /// Gives a rollout order to a dispatcher and records the output.
    fn order_rollout(&mut self, who: &str, order: &str, document: Option<&str>) -> Result<(), Error> {
        let file = self.setup.folder.join("rules.jsonnet");
        if let Some(text) = document {
            std::fs::write(&file, text).map_err(io_error("a document"))?;
        }
        let dispatcher = self.dispatchers.get(who);
        let Some(operator) = dispatcher.and_then(|dispatcher| dispatcher.files.operator.as_ref()) else {
            return Ok(());
        };
        let mut arguments = vec!["--operator".as_ref(), operator.as_os_str(), order.as_ref()];
        arguments.extend(document.map(|_| file.as_os_str()));
        let (is_accepted, output) =
            run_rollout_command(self.setup.program, &arguments).map_err(io_error("cherrypass rollout"))?;
        self.rollout_orders.push((format!("rollout {order} at {who}: {}", output.trim()), is_accepted));
        Ok(())
    }

    fn silence_change_log(&mut self, begins: bool) {
        self.change_log.set_silent(begins);
        let at = unix_micros();
        match self.log_silences.last_mut().filter(|_| !begins) {
            Some(last) => last.1 = at,
            None => self.log_silences.push((at, u64::MAX)),
        }
    }

    fn apply_shim_fault(&self, fault: &Fault, begins: bool) -> Result<(), Error> {
        let or_zero = |value: f64| if begins { value } else { 0.0 };
        match fault {
            Fault::Step(name, ms) => {
                let span = Duration::from_secs_f64(or_zero(ms.abs()) / 1e3);
                let (ahead, behind) = if *ms > 0.0 { (span, Duration::ZERO) } else { (Duration::ZERO, span) };
                if let Some(shim) = self.shim(name) {
                    shim.step_wall_clock(ahead, behind).map_err(io_error("a shim"))?;
                }
            }
            Fault::Calls { who, call, outcome, rate, thread } => {
                let per_million = (or_zero(*rate) * 1e6) as u64;
                if let Some(shim) = self.shim(who) {
                    let fault = cherrypass_shim::Fault { per_million, outcome: *outcome };
                    let thread = thread.as_deref().unwrap_or_default();
                    shim.set_thread_fault(*call, thread, fault).map_err(io_error("a shim"))?;
                }
            }
            _ => {}
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
}
