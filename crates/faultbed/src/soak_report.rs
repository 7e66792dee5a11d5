//! Summary of a soak: for each kind of fault its number and how many requests were sent during it. Kinds
//! without any request are reported as not played.
use crate::notation::{Fault, Scenario};
use crate::notes::Note;
use crate::play::PlayResult;
use crate::soak::{FAULT_KINDS, FURTHER_KINDS};
use crate::stop_points::{StopCount, StopCounts};
use cherrypass_shim::control::{Call, ALL_CALLS};
use std::collections::{BTreeMap, BTreeSet};

/// Time after a momentary fault in which requests count as affected.
const EFFECT_US: u64 = 2_000_000;

/// Number of faults of a kind, of seeds that have it, and of requests sent during them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindCount {
    pub faults: u64,
    pub seeds: u64,
    pub requests: u64,
}

/// Totals over all plays.
#[derive(Default)]
pub struct Report {
    kinds: BTreeMap<&'static str, KindCount>,
    /// Number of calls and of injected failures of each system call.
    calls: BTreeMap<&'static str, [u64; 2]>,
    requests: u64,
    stops: StopCounts,
}

fn kind(fault: &Fault) -> Option<&'static str> {
    let name = match fault {
        Fault::Step(..) => "step",
        Fault::Calls { call: Call::FileWrite | Call::FileSync, .. } => "folder",
        Fault::Calls { thread: Some(_), .. } => "errors",
        Fault::Calls { .. } => "calls",
        Fault::Crowd(..) => "crowd",
        Fault::Freeze(_) => "freeze",
        Fault::Hang(_) => "hang",
        Fault::Fail(..) => "fail",
        Fault::Slow(..) => "slow",
        Fault::Fresh(_) => "fresh",
        Fault::Vanish(_) => "vanish",
        Fault::Drain(_) => "drain",
        Fault::Purge => "purge",
        Fault::Silence => "silence",
        Fault::Term(_) => "term",
        Fault::Hup(_) => "hup",
        Fault::Kill(_) => "kill",
        Fault::Stop(_) => "stop",
        _ => return None,
    };
    Some(name)
}

impl Report {
    pub fn add(&mut self, scenario: &Scenario, played: &PlayResult) {
        let sent: Vec<u64> = played
            .notes
            .iter()
            .filter(|(_, note)| matches!(note, Note::RequestSent { .. }))
            .map(|(at, _)| *at)
            .collect();
        self.requests += sent.len() as u64;
        let drawn: BTreeSet<&str> =
            scenario.faults.iter().filter_map(|planned| kind(&planned.fault)).collect();
        for planned in &scenario.faults {
            let Some(kind) = kind(&planned.fault) else { continue };
            let from = played.load_span.0 + (planned.at * 1e6) as u64;
            let to = from + planned.duration.map_or(EFFECT_US, |lasts| (lasts * 1e6) as u64);
            let count = self.kinds.entry(kind).or_default();
            count.faults += 1;
            count.requests += sent.iter().filter(|at| (from..to).contains(at)).count() as u64;
        }
        self.kinds
            .iter_mut()
            .filter(|(kind, _)| drawn.contains(*kind))
            .for_each(|(_, count)| count.seeds += 1);
        for (thread, count) in &played.stop_counts {
            let sum = self.stops.entry(thread.clone()).or_default();
            sum.stops += count.stops;
            sum.outside_wait += count.outside_wait;
        }
        for (call, [made, delivered]) in &played.call_counts {
            let sum = self.calls.entry(call.name()).or_default();
            *sum = [sum[0] + made, sum[1] + delivered];
        }
    }

    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!("requests {}", self.requests)];
        for kind in FAULT_KINDS.into_iter().chain(FURTHER_KINDS) {
            let count = self.kinds.get(kind).copied().unwrap_or_default();
            let result = if count.requests == 0 {
                "not played".to_owned()
            } else {
                format!("{} requests during it", count.requests)
            };
            lines.push(format!("{kind}: {} times in {} seeds, {result}", count.faults, count.seeds));
        }
        for call in ALL_CALLS {
            let [made, delivered] = self.calls.get(call.name()).copied().unwrap_or_default();
            let result = if delivered == 0 {
                "not played".to_owned()
            } else {
                format!("{delivered} of {made} failed")
            };
            lines.push(format!("call {}: {result}", call.name()));
        }
        for (thread, StopCount { stops, outside_wait }) in &self.stops {
            let result = if *outside_wait == 0 { "not played".to_owned() } else { format!("{outside_wait}") };
            lines.push(format!("thread {thread}: stopped {stops} times, outside its wait {result}"));
        }
        lines
    }
}
