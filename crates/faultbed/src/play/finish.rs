//! Ends a play and collects its observations.
use super::{io_error, Error, Play, PlayResult, END_TIMEOUT};
use crate::notes::{parse_events, Event};
use crate::processes::Process;
use cherrypass_shim::control::{Call, ALL_CALLS};
use nix::sys::signal::Signal;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::Ordering::SeqCst;

impl Play<'_> {
    /// Stops the load and all processes; returns all observations.
    pub(super) fn finish(mut self, load_span: (u64, u64)) -> Result<PlayResult, Error> {
        let rollout_statuses = self.rollout_statuses();
        self.dispatchers.values().for_each(|dispatcher| dispatcher.load.stop());
        self.dispatchers.values_mut().for_each(|dispatcher| dispatcher.load.join());
        self.end_absences();
        self.terminate_all();
        let (events, logs) = self.read_events_and_logs();
        let datagrams = self.links.values().map(|link| link.forwarded.load(SeqCst)).sum();
        let call_counts = self.call_counts()?;
        let without_fleet = self.without_fleet();
        let notes = self.notes.take_sorted();
        let lines: String = notes.iter().map(|(at, note)| format!("{at} {note:?}\n")).collect();
        std::fs::write(self.setup.folder.join("notes"), lines).map_err(io_error("the notes"))?;
        Ok(PlayResult {
            notes,
            events,
            logs,
            load_span,
            abnormal_exits: self.abnormal_exits,
            unavailable: self.unavailable,
            terminated: self.terminated,
            log_silences: self.log_silences,
            stop_counts: self.stop_counts,
            call_counts,
            without_fleet,
            datagrams,
            rollout_orders: self.rollout_orders,
            rollout_statuses,
        })
    }

    /// The rollout status of each process that is running.
    fn rollout_statuses(&self) -> BTreeMap<String, Value> {
        let running =
            self.dispatchers.iter().filter(|(_, dispatcher)| dispatcher.unavailable_since.is_none());
        running.filter_map(|(name, _)| Some((name.clone(), self.rollout_status(name)?))).collect()
    }

    /// Reports processes that have exited, and continues those that are stopped.
    fn end_absences(&mut self) {
        let names: Vec<String> = self.dispatchers.keys().cloned().collect();
        for name in &names {
            let Some(dispatcher) = self.dispatchers.get_mut(name) else { continue };
            let is_unavailable = dispatcher.unavailable_since.is_some();
            if let Some(ended) = dispatcher.process.as_mut().and_then(Process::exit_status) {
                self.abnormal_exits.push(format!("{name} exited unexpectedly: {ended}"));
            } else if let Some(process) = dispatcher.process.as_ref().filter(|_| is_unavailable) {
                process.signal(Signal::SIGCONT);
            }
            self.mark_available(name);
        }
    }

    /// Stops all processes with SIGTERM at the same time.
    fn terminate_all(&mut self) {
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
    }

    /// The events of all processes in order of time, and the log of each.
    fn read_events_and_logs(&self) -> (Vec<Event>, BTreeMap<String, String>) {
        let (mut events, mut logs) = (Vec::new(), BTreeMap::new());
        for (name, dispatcher) in &self.dispatchers {
            let text = std::fs::read_to_string(self.file_of(name, ".events"));
            events.extend(text.map(|text| parse_events(&text)).unwrap_or_default());
            let log = std::fs::read_to_string(&dispatcher.files.log).unwrap_or_default();
            logs.insert(name.clone(), log);
        }
        events.sort_by_key(|event: &Event| event.time);
        (events, logs)
    }

    /// Number of calls and injected failures of each system call, over all processes.
    fn call_counts(&self) -> Result<Vec<(Call, [u64; 2])>, Error> {
        let mut call_counts = Vec::new();
        for call in ALL_CALLS {
            let shims = self.dispatchers.values().filter_map(|dispatcher| dispatcher.shim.as_ref());
            let counts = shims.map(|shim| shim.counts(call)).collect::<io::Result<Vec<_>>>();
            let counts = counts.map_err(io_error("a shim"))?;
            let sum = counts.iter().fold([0, 0], |sum, found| [sum[0] + found[0], sum[1] + found[1]]);
            call_counts.push((call, sum));
        }
        Ok(call_counts)
    }

    /// Processes that run a build without fleet support.
    fn without_fleet(&self) -> Vec<String> {
        let is_unsupported =
            self.setup.older_program.is_some() && self.older_build_joins_fleet == Some(false);
        let older = self.dispatchers.iter().filter(|(_, dispatcher)| dispatcher.is_older_build);
        older.filter(|_| is_unsupported).map(|(name, _)| name.clone()).collect()
    }
}
