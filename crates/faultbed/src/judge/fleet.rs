//! Checks the feed, the verdicts and the agreement of members.
use crate::notation::Scenario;
use crate::notes::{Event, Note};
use crate::play::PlayResult;
use std::collections::BTreeMap;

/// Time from the last fault until members have to agree.
const AGREEMENT_US: u64 = 5_000_000;

/// Checks that no verdict in use was older than `most` milliseconds.
pub fn check_verdict_ages(events: &[Event], most: f64) -> Vec<String> {
    let verdicts = events.iter().filter(|event| event.name == "hearsay");
    let old = verdicts.filter(|event| event.number("age_ms").is_none_or(|age| age > most));
    old.map(|event| {
        format!(
            "{} used a verdict with age {:?} ms, exceeding {most} ms",
            event.process,
            event.number("age_ms")
        )
    })
    .collect()
}

/// Checks that each process receives the items of each source in order without repeats, and that gaps are
/// covered by a state.
pub fn check_feed(events: &[Event]) -> Vec<String> {
    let mut last: BTreeMap<(&str, u64, String, u64), u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events {
        let (Some(source), Some(n)) = (event.fields.get("source"), event.number("n")) else { continue };
        let inc =
            event.fields.get("sinc").or(event.fields.get("inc")).and_then(|inc| inc.as_u64()).unwrap_or(0);
        let place = (&event.process[..], event.incarnation, source.to_string(), inc);
        let known = last.entry(place).or_default();
        let n = n as u64;
        match &event.name[..] {
            "deliver" if n != *known + 1 => {
                violations.push(format!("{} received {n} after {known} of source {source}", event.process));
            }
            "state" if n < *known => {
                violations.push(format!(
                    "{} received a state up to {n} after {known} of source {source}",
                    event.process
                ));
            }
            "deliver" | "state" => {}
            _ => continue,
        }
        *known = n;
    }
    violations
}

/// Checks that at the end all running processes consider each other alive. Processes of a build without fleet
/// support must not be considered alive.
pub fn check_agreement(scenario: &Scenario, played: &PlayResult) -> Vec<String> {
    let last_fault =
        played.notes.iter().filter(|(_, note)| matches!(note, Note::Fault { .. })).map(|(at, _)| *at).max();
    let end = played.load_span.1;
    let names: Vec<&String> = scenario.dispatchers.iter().map(|(name, _)| name).collect();
    let mut violations = Vec::new();
    if last_fault.is_some_and(|last| last + AGREEMENT_US > end) {
        violations
            .push("the last fault is too close to the end to check agreement: use a longer play".to_owned());
    }
    let is_down = |name: &str| played.unavailable.iter().any(|(who, _, to)| who == name && *to >= end);
    let is_without_fleet = |name: &str| played.without_fleet.iter().any(|own| own == name);
    for me in names.iter().filter(|name| !is_down(name) && !is_without_fleet(name)) {
        for who in names.iter().filter(|who| *who != me) {
            let state = last_reported_state(played, me, who);
            let expected = if is_down(who) { "dead" } else { "alive" };
            if is_without_fleet(who) {
                if state == Some("alive") {
                    violations.push(format!("{me} reports {who} as alive, which has no fleet support"));
                }
            } else if state != Some(expected) {
                violations.push(format!(
                    "{me} reports {who} as {}, expected {expected}",
                    state.unwrap_or("unheard")
                ));
            }
        }
    }
    violations
}

/// The state of a member that a process reported last before the end of the load.
fn last_reported_state<'a>(played: &'a PlayResult, reporter: &str, member: &str) -> Option<&'a str> {
    let concerns = |event: &&Event| {
        event.name == "member"
            && event.process == reporter
            && event.text("who") == Some(member)
            && event.time <= played.load_span.1
    };
    played.events.iter().rfind(concerns).and_then(|event| event.text("standing"))
}
