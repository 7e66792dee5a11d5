//! Checks the rollout of rules, and reports its figures.
use crate::notation::Scenario;
use crate::notes::{Event, Note};
use crate::play::PlayResult;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Checks that no process returns to an older version unless ordered to.
pub fn check_versions(events: &[Event]) -> Vec<String> {
    let mut known: BTreeMap<&str, f64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events.iter().filter(|event| event.name == "rules") {
        let Some(number) = event.number("number") else { continue };
        let before = known.insert(&event.process, number).unwrap_or(0.0);
        if number < before && event.text("why") != Some("back") {
            violations.push(format!("{} went from version {before} to {number}", event.process));
        }
    }
    violations
}

/// Checks the number of accepted rollout orders.
pub fn check_accepted_orders(orders: &[(String, bool)], count: u64) -> Vec<String> {
    let found = orders.iter().filter(|(_, taken)| *taken).count() as u64;
    let output = || orders.iter().map(|(output, _)| &output[..]).collect::<Vec<_>>().join("; ");
    (found != count)
        .then(|| format!("{found} orders were accepted, expected {count}: {}", output()))
        .into_iter()
        .collect()
}

/// The processes that had rules of a number in force at any time.
fn processes_with_rules(events: &[Event], number: u64) -> BTreeSet<&str> {
    let has_rules = |event: &&Event| event.name == "rules" && event.number("number") == Some(number as f64);
    events.iter().filter(has_rules).map(|event| &event.process[..]).collect()
}

/// Checks that no process ever had rules of this number in force.
pub fn check_never_in_force(events: &[Event], number: u64) -> Vec<String> {
    processes_with_rules(events, number)
        .into_iter()
        .map(|me| format!("{me} had rules {number} in force"))
        .collect()
}

/// Checks that at the end all running processes have rules of this number in force.
pub fn check_final_version(
    scenario: &Scenario,
    unavailable: &[(String, u64, u64)],
    end: u64,
    statuses: &BTreeMap<String, Value>,
    number: u64,
) -> Vec<String> {
    let runs = |name: &str| !unavailable.iter().any(|(who, _, to)| who == name && *to >= end);
    let names = scenario.dispatchers.iter().map(|(name, _)| name).filter(|name| runs(name));
    let violations = names.filter_map(|name| {
        let found = statuses.get(name).and_then(|status| status["in_force"].as_u64());
        (found != Some(number)).then(|| format!("{name} ends with rules {found:?} in force, not {number}"))
    });
    violations.collect()
}

/// Checks that rules were in force in a location and never outside it, and that all processes report them as
/// halted or rolled back.
pub fn check_halted(
    scenario: &Scenario,
    events: &[Event],
    statuses: &BTreeMap<String, Value>,
    number: u64,
    location: &str,
) -> Vec<String> {
    let mut violations = Vec::new();
    let had = processes_with_rules(events, number);
    if had.is_empty() {
        violations.push(format!("no process ever had rules {number} in force, so there was nothing to halt"));
    }
    let outside = |me: &&str| !scenario.dispatchers.iter().any(|(name, at)| name == me && at == location);
    violations.extend(
        had.into_iter()
            .filter(outside)
            .map(|me| format!("{me} is not in {location} and had rules {number} in force")),
    );
    let is_halted = |status: &Value| {
        status["number"] == number && matches!(status["phase"].as_str(), Some("halted" | "back"))
    };
    if statuses.is_empty() {
        violations.push("no process reported its rollout status".to_owned());
    }
    let others = statuses.iter().filter(|(_, status)| !is_halted(status));
    violations.extend(others.map(|(name, status)| {
        format!(
            "{name} reports rules {} as {}, expected {number} as halted",
            status["number"], status["phase"]
        )
    }));
    violations
}

/// A process, and the time from and to which it had a version in force.
type VersionSpan<'a> = (&'a str, u64, u64);

/// One line per version: how many processes had it, which share of all visits they received meanwhile, and
/// when it was halted, in seconds after it was first in force.
pub fn rollout_figures(played: &PlayResult) -> Vec<String> {
    let requests: Vec<(u64, &str)> = played
        .notes
        .iter()
        .filter_map(|(at, note)| match note {
            Note::RequestSent { dispatcher, .. } => Some((*at, &dispatcher[..])),
            _ => None,
        })
        .collect();
    let spans = version_spans(played);
    let versions = spans.iter().filter(|(number, _)| **number > 0);
    versions.map(|(number, spans)| version_figures(played, &requests, *number, spans)).collect()
}

/// The times in which each version was in force at each process.
fn version_spans(played: &PlayResult) -> BTreeMap<u64, Vec<VersionSpan<'_>>> {
    let mut spans: BTreeMap<u64, Vec<VersionSpan>> = BTreeMap::new();
    let mut last: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let end = played.load_span.1;
    let mut close = |me, (number, since): (u64, u64), t: u64| {
        spans.entry(number).or_default().push((me, since, t));
    };
    for event in &played.events {
        let number =
            if event.name == "rules" { event.number("number").map(|number| number as u64) } else { None };
        if number.is_some() || event.name == "stop" {
            if let Some(before) = last.remove(&event.process[..]) {
                close(&event.process[..], before, event.time);
            }
        }
        if let Some(number) = number {
            last.insert(&event.process, (number, event.time));
        }
    }
    last.into_iter().for_each(|(me, before)| close(me, before, end.max(before.1)));
    spans
}

fn version_figures(
    played: &PlayResult,
    requests: &[(u64, &str)],
    number: u64,
    spans: &[VersionSpan],
) -> String {
    let had_version =
        |(at, who): &&(u64, &str)| spans.iter().any(|(me, from, to)| me == who && from <= at && at < to);
    let received = requests.iter().filter(had_version).count();
    let first = spans.iter().map(|span| span.1).min().unwrap_or(0);
    let processes: BTreeSet<&str> = spans.iter().map(|span| span.0).collect();
    let halt = played.logs.values().flat_map(|log| log.lines());
    let halt = halt.filter(|line| line.contains(&format!("rollout of rules {number} halted")));
    let at = halt.filter_map(|line| line.split(' ').next()?.parse::<f64>().ok()).reduce(f64::min);
    let halt = at.map_or(String::new(), |at| format!(", halted after {:.1} s", at - first as f64 / 1e6));
    format!(
        "rules {number}: at {} of {}, {received} of {} visits ({:.2}%){halt}",
        processes.len(),
        played.logs.len(),
        requests.len(),
        100.0 * received as f64 / requests.len().max(1) as f64
    )
}
