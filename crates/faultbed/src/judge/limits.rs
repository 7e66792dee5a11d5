//! Checks the fleet-wide limits from the allowances in the event logs.
use crate::notes::Event;
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for rounding in sums of allowances.
const ROUNDING_ERROR: f64 = 1e-6;

/// An allowance: `amount` until `until`, then `after`.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    amount: f64,
    until: u64,
    after: f64,
}

impl Allowance {
    fn from_event(event: &Event) -> Allowance {
        let number = |name| event.number(name).unwrap_or(0.0);
        Allowance { amount: number("amount"), until: number("until") as u64, after: number("after") }
    }

    fn amount_at(&self, t: u64) -> f64 {
        if t < self.until {
            self.amount
        } else {
            self.after
        }
    }
}

fn is_allowance(event: &Event, key: &str) -> bool {
    event.name == "part" && event.text("key") == Some(key)
}

/// Checks that the sum of a limit over all processes never exceeds `most`. A killed process uses nothing; a
/// stopped one counts with its last allowance.
pub fn check_limit_sum(
    events: &[Event],
    unavailable: &[(String, u64, u64)],
    key: &str,
    most: f64,
) -> Vec<String> {
    let mut keys: BTreeSet<&str> = BTreeSet::new();
    let fits = |found: &str| found == key || key == "cold" && found.starts_with("cold:");
    keys.extend(events.iter().filter_map(|event| event.text("key")).filter(|found| fits(found)));
    let mut violations = Vec::new();
    if keys.is_empty() {
        violations.push(format!("no allowance of {key} was ever issued"));
    }
    for key in keys {
        let highest = highest_sum(events, unavailable, key);
        if let Some((sum, t)) = highest.filter(|(sum, _)| *sum > most + ROUNDING_ERROR) {
            violations.push(format!("the sum of {key} was {sum:.3} at {t}, exceeding {most}"));
        }
    }
    violations
}

/// The highest sum of the allowances of a key over all processes, and its time.
fn highest_sum(events: &[Event], unavailable: &[(String, u64, u64)], key: &str) -> Option<(f64, u64)> {
    let mut allowances: BTreeMap<&str, Allowance> = BTreeMap::new();
    let mut remaining = events
        .iter()
        .filter(|event| is_allowance(event, key) || ["start", "stop"].contains(&&event.name[..]))
        .peekable();
    let mut highest: Option<(f64, u64)> = None;
    for t in allowance_changes(events, key) {
        while let Some(event) = remaining.next_if(|event| event.time <= t) {
            match &event.name[..] {
                "part" => drop(allowances.insert(&event.process, Allowance::from_event(event))),
                _ => drop(allowances.remove(&event.process[..])),
            }
        }
        let is_killed =
            |who: &str| unavailable.iter().any(|(own, from, to)| own == who && *from < t && t < *to);
        let live = allowances.iter().filter(|(who, _)| !is_killed(who));
        let sum: f64 = live.map(|(_, allowance)| allowance.amount_at(t)).sum();
        if highest.is_none_or(|(known, _)| sum > known) {
            highest = Some((sum, t));
        }
    }
    highest
}

/// The times at which allowances of a key are issued or expire.
fn allowance_changes(events: &[Event], key: &str) -> BTreeSet<u64> {
    let issued = events.iter().filter(|event| is_allowance(event, key));
    issued.flat_map(|event| [event.time, event.number("until").unwrap_or(0.0) as u64]).collect()
}

/// Checks that in the last third of the load one process always has an allowance of at least `least`.
pub fn check_limit_used(events: &[Event], key: &str, least: f64, (from, to): (u64, u64)) -> Vec<String> {
    let start = to - (to - from) / 3;
    let issued = events.iter().filter(|event| is_allowance(event, key) && event.time < to);
    let mut last: BTreeMap<&str, Allowance> = BTreeMap::new();
    let mut lowest: BTreeMap<&str, f64> = BTreeMap::new();
    for event in issued {
        let allowance = Allowance::from_event(event);
        // An allowance that expired before the next one counts with its amount after expiry.
        let before = last.insert(&event.process, allowance);
        if event.time >= start {
            let was =
                before.map_or(allowance.amount, |before| before.amount_at(event.time.saturating_sub(1)));
            let known = lowest.entry(&event.process).or_insert(f64::MAX);
            *known = known.min(was).min(allowance.amount);
        }
    }
    for (who, allowance) in last {
        lowest.entry(who).and_modify(|known| *known = known.min(allowance.amount_at(to)));
    }
    let best = lowest.values().copied().fold(0.0, f64::max);
    if best < least {
        vec![format!("at most {best:.3} of {key} was in force at one process, expected at least {least}")]
    } else {
        Vec::new()
    }
}
