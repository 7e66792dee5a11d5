//! What a soak came to: for each kind of fault in how many plays it was, and how many requests met it. A kind that met none
//! is told as not played.
use crate::notation::{Fault, Scenario};
use crate::notes::Note;
use crate::play::Played;
use crate::soak::KINDS;
use cherrypass_shim::control::{Call, CALLS};
use std::collections::BTreeMap;

/// A fault that does not last meets the requests of so many microseconds after it.
const AFTER: u64 = 2_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Met {
    pub faults: u64,
    pub requests: u64,
}

/// Sums over plays.
#[derive(Default)]
pub struct Report {
    kinds: BTreeMap<&'static str, Met>,
    /// How often each call was made, and how often it failed by order.
    calls: BTreeMap<&'static str, [u64; 2]>,
    requests: u64,
}

fn kind(fault: &Fault) -> Option<&'static str> {
    let word = match fault {
        Fault::Step(..) => "step",
        Fault::Calls(_, Call::FileWrite | Call::FileSync, ..) => "folder",
        Fault::Calls(..) => "calls",
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
    Some(word)
}

impl Report {
    pub fn add(&mut self, scenario: &Scenario, played: &Played) {
        let asked: Vec<u64> = played
            .noted
            .iter()
            .filter(|(_, note)| matches!(note, Note::Asked { .. }))
            .map(|(at, _)| *at)
            .collect();
        self.requests += asked.len() as u64;
        for planned in &scenario.faults {
            let Some(kind) = kind(&planned.fault) else { continue };
            let from = played.span.0 + (planned.at * 1e6) as u64;
            let to = from + planned.lasts.map_or(AFTER, |lasts| (lasts * 1e6) as u64);
            let met = self.kinds.entry(kind).or_default();
            met.faults += 1;
            met.requests += asked.iter().filter(|at| (from..to).contains(at)).count() as u64;
        }
        for (call, [made, delivered]) in &played.delivered {
            let sum = self.calls.entry(call.name()).or_default();
            *sum = [sum[0] + made, sum[1] + delivered];
        }
    }

    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!("requests {}", self.requests)];
        for kind in KINDS {
            let met = self.kinds.get(kind).copied().unwrap_or_default();
            let said = if met.requests == 0 {
                "not played".to_owned()
            } else {
                format!("{} requests met it", met.requests)
            };
            lines.push(format!("{kind}: {} times, {said}", met.faults));
        }
        for call in CALLS {
            let [made, delivered] = self.calls.get(call.name()).copied().unwrap_or_default();
            let said = if delivered == 0 {
                "not played".to_owned()
            } else {
                format!("{delivered} of {made} failed")
            };
            lines.push(format!("call {}: {said}", call.name()));
        }
        lines
    }
}
