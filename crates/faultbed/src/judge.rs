//! Checks the observations of a play against the expectations of its scenario and reports violations.
use crate::notation::{Expectation, Scenario};
use crate::notes::{Absences, Event, Note, Outcome, TimedNotes};
use crate::play::PlayResult;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for time limits over sockets.
const TIME_LIMIT_SLACK_US: u64 = 50_000;
/// Time until an entry of the change log counts as known to the dispatchers; the grace period starts then.
const PROPAGATION_US: u64 = 300_000;
/// The same after a time in which the change log did not answer, and its maximum.
const PROPAGATION_AFTER_SILENCE_US: u64 = 2_000_000;
const MAX_PROPAGATION_US: u64 = 7_000_000;
/// How much longer than its client a dispatcher may announce to wait.
const ANNOUNCED_WAIT_SLACK_US: u64 = 150_000;
const GRACE_US: u64 = 1_000_000;
/// Tolerance for scheduling delays on a busy machine.
const SCHEDULING_DELAY_US: u64 = 150_000;
/// Maximum transit time of a request that crosses the close of its connection.
const CLOSE_CROSSING_US: u64 = 50_000;
/// Tolerance for rounding in sums of allowances.
const ROUNDING_ERROR: f64 = 1e-6;
/// Time from the last fault until members have to agree.
const AGREEMENT_US: u64 = 5_000_000;

/// Checks all expectations of a scenario; returns one line per violation.
pub fn judge(scenario: &Scenario, played: &PlayResult) -> Vec<String> {
    let mut violations = played.abnormal_exits.clone();
    for expectation in &scenario.expectations {
        violations.extend(match expectation {
            Expectation::Rules => check_rules_with_absences(&played.notes, &played.absences()),
            Expectation::Sum(key, most) => check_limit_sum(&played.events, &played.unavailable, key, *most),
            Expectation::Used(key, least) => check_limit_used(&played.events, key, *least, played.load_span),
            Expectation::Age(most) => check_verdict_ages(&played.events, *most),
            Expectation::Feed => check_feed(&played.events),
            Expectation::Agreed => check_agreement(scenario, played),
            Expectation::Versions => check_versions(&played.events),
            Expectation::Taken(count) => check_accepted_orders(&played.rollout_orders, *count),
            Expectation::End(number) => check_final_version(
                scenario,
                &played.unavailable,
                played.load_span.1,
                &played.rollout_statuses,
                *number,
            ),
            Expectation::Halted(number, location) => {
                check_halted(scenario, &played.events, &played.rollout_statuses, *number, location)
            }
            Expectation::Never(number) => check_never_in_force(&played.events, *number),
        });
    }
    violations
}

/// The outcome, and the creation time of the copy.
type Answer = (Outcome, Option<u64>);

#[derive(Default)]
struct Visit<'a> {
    sent_at: u64,
    /// When the client had written the whole request; `sent_at` until then.
    written_at: u64,
    dispatcher: &'a str,
    class: &'a str,
    limit: u64,
    object: u64,
    /// Times of the answers; None where the connection ended.
    outcomes: Vec<(u64, Option<Answer>)>,
    executions: Vec<u64>,
    /// Earliest arrival, host and announced wait of each hand-off.
    announced_waits: Vec<(u64, &'a str, u64)>,
}

/// Checks the five rules from the observations of clients and hosts. Rule 1 does not apply to visits at a
/// process that was killed or stopped meanwhile.
pub fn check_rules(notes: &TimedNotes, unavailable: &[(String, u64, u64)]) -> Vec<String> {
    check_rules_with_absences(notes, &Absences { unavailable, terminated: &[], log_silences: &[] })
}

/// When an entry added to the change log at `at` counts as known to the dispatchers.
fn propagated_at(absences: &Absences, at: u64) -> u64 {
    let silence = absences.log_silences.iter().find(|(from, to)| at + PROPAGATION_US >= *from && at < *to);
    silence.map_or(at + PROPAGATION_US, |(_, to)| {
        to.saturating_add(PROPAGATION_AFTER_SILENCE_US).min(at + MAX_PROPAGATION_US)
    })
}

/// Like `check_rules`, also considering processes that ended after SIGTERM and times without an answer of the
/// change log.
pub fn check_rules_with_absences(notes: &TimedNotes, absences: &Absences) -> Vec<String> {
    let Absences { unavailable, terminated, .. } = absences;
    let mut visits: BTreeMap<u64, Visit> = BTreeMap::new();
    let mut violations = Vec::new();
    let mut drained: BTreeMap<&str, u64> = BTreeMap::new();
    let mut purged: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (at, note) in notes {
        match note {
            Note::RequestSent { visit, dispatcher, class, object, limit } => {
                let sent = Visit {
                    sent_at: *at,
                    written_at: *at,
                    dispatcher,
                    class,
                    limit: *limit,
                    object: *object,
                    ..Visit::default()
                };
                visits.insert(*visit, sent);
            }
            Note::RequestWritten { visit } => {
                visits.entry(*visit).and_modify(|known| known.written_at = *at);
            }
            Note::Answered { visit, outcome, created_at } => match visits.get_mut(visit) {
                Some(known) => known.outcomes.push((*at, Some((*outcome, *created_at)))),
                None => violations.push("rule 1: an answer without an open visit".to_owned()),
            },
            Note::ConnectionLost { visit } => {
                visits.entry(*visit).and_modify(|known| known.outcomes.push((*at, None)));
            }
            Note::Executed { visit, .. } => {
                visits.entry(*visit).and_modify(|known| known.executions.push(*at));
            }
            Note::HandOffArrived { host, visit, wait, earliest, .. } => {
                if drained.get(&host[..]).is_some_and(|since| {
                    *at > propagated_at(absences, *since) + GRACE_US + TIME_LIMIT_SLACK_US
                }) {
                    violations.push(format!("rule 3: visit {visit} was handed to {host}, which is draining"));
                }
                if let Some((known, wait)) = visits.get_mut(visit).zip(*wait) {
                    known.announced_waits.push((*earliest, host, wait * 1000));
                }
            }
            Note::CrossedClose { visit } => drop(visits.remove(visit)),
            Note::HostListed { host, state } => {
                if *state == "in_service" {
                    drained.remove(&host[..]);
                } else {
                    drained.insert(host, *at);
                }
            }
            Note::HostOverloaded { host } => {
                violations.push(format!("rule 4: {host} was overloaded while cold"))
            }
            Note::Purged { object } => purged.entry(*object).or_default().push(*at),
            Note::NotSent { .. } | Note::HandOffEnded { .. } | Note::Fault { .. } => {}
        }
    }
    let is_excused = |visit: &Visit| {
        let until = visit.sent_at + visit.limit + TIME_LIMIT_SLACK_US + SCHEDULING_DELAY_US;
        let touches = |(who, from, to): &&(String, u64, u64)| {
            who == visit.dispatcher && *from <= until && visit.sent_at <= *to + SCHEDULING_DELAY_US
        };
        let overlaps_end = |(who, from, to): &&(String, u64, u64)| {
            who == visit.dispatcher
                && visit.sent_at + CLOSE_CROSSING_US >= *from
                && visit.sent_at <= *to + SCHEDULING_DELAY_US
        };
        unavailable.iter().any(|span| touches(&span)) || terminated.iter().any(|span| overlaps_end(&span))
    };
    for (number, visit) in &visits {
        let answers: Vec<_> = visit.outcomes.iter().filter_map(|(at, end)| Some((*at, (*end)?))).collect();
        let who = format!("visit {number} ({} at {})", visit.class, visit.dispatcher);
        match answers.len() {
            0 if !is_excused(visit) => violations.push(format!("rule 1: {who} had no answer")),
            0 | 1 => {}
            more => violations.push(format!("rule 1: {who} had {more} answers")),
        }
        if let Some((at, (outcome, created_at))) = answers.first() {
            let late =
                at.saturating_sub(visit.sent_at + visit.limit + TIME_LIMIT_SLACK_US + SCHEDULING_DELAY_US);
            if late > 0 && !is_excused(visit) {
                violations.push(format!("rule 1: {who} was answered {} ms late", late / 1000));
            }
            if *outcome == Outcome::InvalidAnswer {
                violations.push(format!("rule 1: {who} was answered with an invalid status"));
            }
            let before = |purge: &&u64| {
                propagated_at(absences, **purge) + GRACE_US + TIME_LIMIT_SLACK_US < visit.sent_at
            };
            let purge = purged.get(&visit.object).and_then(|all| all.iter().filter(before).max());
            if let (Outcome::Served, Some(created_at), Some(purge)) = (outcome, created_at, purge) {
                if visit.class == "read" && created_at < purge {
                    violations.push(format!(
                        "rule 5: {who} got a copy {} ms older than its purge",
                        (purge - created_at) / 1000
                    ));
                }
            }
        }
        let left = |at: u64| (visit.written_at + visit.limit).saturating_sub(at.max(visit.written_at));
        let too_long =
            visit.announced_waits.iter().filter(|(at, _, wait)| *wait > left(*at) + ANNOUNCED_WAIT_SLACK_US);
        // A process that was stopped can't know the arrival times of what it reads.
        for (at, host, wait) in too_long.filter(|_| !is_excused(visit)) {
            let (wait, left) = (wait / 1000, left(*at) / 1000);
            violations
                .push(format!("deadline: {host} was given {wait} ms for {who}, which had {left} ms left"));
        }
        if visit.executions.len() > 1 {
            violations.push(format!("rule 2: {who} ran {} times", visit.executions.len()));
        }
        if visit.executions.len() == 1 && visit.class == "once" {
            if let Some((_, (Outcome::Refused, _))) = answers.first() {
                violations.push(format!("rule 2: {who} ran and was refused"));
            }
        }
    }
    violations
}

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
        let mut parts: BTreeMap<&str, Allowance> = BTreeMap::new();
        let mut instants: BTreeSet<u64> = BTreeSet::new();
        let is_allowance = |event: &&Event| event.name == "part" && event.text("key") == Some(key);
        for event in events.iter().filter(is_allowance) {
            instants.insert(event.time);
            instants.insert(event.number("until").unwrap_or(0.0) as u64);
        }
        let mut next =
            events.iter().filter(|event| is_allowance(event) || ["start", "stop"].contains(&&event.name[..]));
        let mut coming = next.next();
        let mut worst: Option<(f64, u64)> = None;
        for t in instants {
            while let Some(event) = coming.filter(|event| event.time <= t) {
                match &event.name[..] {
                    "part" => drop(parts.insert(&event.process, Allowance::from_event(event))),
                    _ => drop(parts.remove(&event.process[..])),
                }
                coming = next.next();
            }
            let killed =
                |who: &str| unavailable.iter().any(|(own, from, to)| own == who && *from < t && t < *to);
            let live = parts.iter().filter(|(who, _)| !killed(who));
            let all: f64 = live.map(|(_, part)| part.amount_at(t)).sum();
            if worst.is_none_or(|(sum, _)| all > sum) {
                worst = Some((all, t));
            }
        }
        if let Some((all, t)) = worst.filter(|(all, _)| *all > most + ROUNDING_ERROR) {
            violations.push(format!("the sum of {key} was {all:.3} at {t}, exceeding {most}"));
        }
    }
    violations
}

/// Checks that in the last third of the load one process always has an allowance of at least `least`.
pub fn check_limit_used(events: &[Event], key: &str, least: f64, (from, to): (u64, u64)) -> Vec<String> {
    let start = to - (to - from) / 3;
    let is_allowance =
        |event: &&Event| event.name == "part" && event.text("key") == Some(key) && event.time < to;
    let mut last: BTreeMap<&str, Allowance> = BTreeMap::new();
    let mut lowest: BTreeMap<&str, f64> = BTreeMap::new();
    for event in events.iter().filter(is_allowance) {
        let part = Allowance::from_event(event);
        // An allowance that expired before the next one counts with its amount after expiry.
        let before = last.insert(&event.process, part);
        if event.time >= start {
            let was = before.map_or(part.amount, |before| before.amount_at(event.time.saturating_sub(1)));
            let known = lowest.entry(&event.process).or_insert(f64::MAX);
            *known = known.min(was).min(part.amount);
        }
    }
    for (who, part) in last {
        lowest.entry(who).and_modify(|known| *known = known.min(part.amount_at(to)));
    }
    let best = lowest.values().copied().fold(0.0, f64::max);
    if best < least {
        vec![format!("at most {best:.3} of {key} was in force at one process, expected at least {least}")]
    } else {
        Vec::new()
    }
}

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
    let last =
        played.notes.iter().filter(|(_, note)| matches!(note, Note::Fault { .. })).map(|(at, _)| *at).max();
    let end = played.load_span.1;
    let names: Vec<&String> = scenario.dispatchers.iter().map(|(name, _)| name).collect();
    let mut violations = Vec::new();
    if last.is_some_and(|last| last + AGREEMENT_US > end) {
        violations
            .push("the last fault is too close to the end to check agreement: use a longer play".to_owned());
    }
    let is_down = |name: &str| played.unavailable.iter().any(|(who, _, to)| who == name && *to >= end);
    let without_fleet = |name: &str| played.without_fleet.iter().any(|own| own == name);
    for me in names.iter().filter(|name| !is_down(name) && !without_fleet(name)) {
        for who in names.iter().filter(|who| *who != me) {
            let concerns = |event: &&Event| {
                event.name == "member"
                    && event.process == **me
                    && event.text("who") == Some(who)
                    && event.time <= end
            };
            let state = played.events.iter().rfind(concerns).and_then(|event| event.text("standing"));
            let expected = if is_down(who) { "dead" } else { "alive" };
            if without_fleet(who) {
                if state == Some("alive") {
                    violations.push(format!("{me} reports {who} as alive, which has no fleet support"));
                }
                continue;
            }
            if state != Some(expected) {
                violations.push(format!(
                    "{me} reports {who} as {}, expected {expected}",
                    state.unwrap_or("unheard")
                ));
            }
        }
    }
    violations
}

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
    let bad = names.filter_map(|name| {
        let found = statuses.get(name).and_then(|status| status["in_force"].as_u64());
        (found != Some(number)).then(|| format!("{name} ends with rules {found:?} in force, not {number}"))
    });
    bad.collect()
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

/// One line per version: how many processes had it, which share of all visits they received meanwhile, and
/// when it was halted, in seconds after it was first in force.
pub fn rollout_figures(played: &PlayResult) -> Vec<String> {
    let mut spans: BTreeMap<u64, Vec<(&str, u64, u64)>> = BTreeMap::new();
    let mut last: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let end = played.load_span.1;
    let mut close = |me, (number, since): (u64, u64), t: u64| {
        spans.entry(number).or_default().push((me, since, t));
    };
    for event in &played.events {
        let number =
            if event.name == "rules" { event.number("number").map(|number| number as u64) } else { None };
        if let (Some(before), true) =
            (last.get(&event.process[..]).copied(), number.is_some() || event.name == "stop")
        {
            last.remove(&event.process[..]);
            close(&event.process[..], before, event.time);
        }
        if let Some(number) = number {
            last.insert(&event.process, (number, event.time));
        }
    }
    last.into_iter().for_each(|(me, before)| close(me, before, end.max(before.1)));
    let asked: Vec<(u64, &str)> = played
        .notes
        .iter()
        .filter_map(|(at, note)| match note {
            Note::RequestSent { dispatcher, .. } => Some((*at, &dispatcher[..])),
            _ => None,
        })
        .collect();
    let line = |(number, spans): (&u64, &Vec<(&str, u64, u64)>)| {
        let saw =
            |(at, who): &&(u64, &str)| spans.iter().any(|(me, from, to)| me == who && from <= at && at < to);
        let saw = asked.iter().filter(saw).count();
        let first = spans.iter().map(|span| span.1).min().unwrap_or(0);
        let had: BTreeSet<&str> = spans.iter().map(|span| span.0).collect();
        let halt = played.logs.values().flat_map(|log| log.lines());
        let halt = halt.filter(|line| line.contains(&format!("rollout of rules {number} halted")));
        let at = halt.filter_map(|line| line.split(' ').next()?.parse::<f64>().ok()).reduce(f64::min);
        let halt = at.map_or(String::new(), |at| format!(", halted after {:.1} s", at - first as f64 / 1e6));
        format!(
            "rules {number}: at {} of {}, {saw} of {} visits ({:.2}%){halt}",
            had.len(),
            played.logs.len(),
            asked.len(),
            100.0 * saw as f64 / asked.len().max(1) as f64
        )
    };
    spans.iter().filter(|(number, _)| **number > 0).map(line).collect()
}

/// Figures of a play, one line each.
pub fn figures(played: &PlayResult) -> Vec<String> {
    let mut counts: BTreeMap<Option<Outcome>, usize> = BTreeMap::new();
    let (mut asked, mut not_sent) = (0, 0);
    let (mut arrived, mut failed): (BTreeMap<&str, usize>, BTreeMap<&str, usize>) = Default::default();
    for (_, note) in &played.notes {
        match note {
            Note::RequestSent { .. } => asked += 1,
            Note::NotSent { .. } => not_sent += 1,
            Note::Answered { outcome, .. } => *counts.entry(Some(*outcome)).or_default() += 1,
            Note::ConnectionLost { .. } => *counts.entry(None).or_default() += 1,
            Note::HandOffArrived { host, .. } => *arrived.entry(host).or_default() += 1,
            Note::HandOffEnded { host, is_success: false, .. } => *failed.entry(host).or_default() += 1,
            _ => {}
        }
    }
    let count = |outcome| counts.get(&outcome).copied().unwrap_or(0);
    let mut lines = vec![format!(
        "visits {asked}: served {}, refused {}, failed {}, connection lost {}; not sent {not_sent}; datagrams {}",
        count(Some(Outcome::Served)),
        count(Some(Outcome::Refused)),
        count(Some(Outcome::Failed)),
        count(None),
        played.datagrams
    )];
    for (host, arrived) in arrived {
        lines.push(format!("{host}: {arrived} hand-offs, {} failed", failed.get(host).unwrap_or(&0)));
    }
    lines.extend(played.rollout_orders.iter().map(|(output, _)| output.clone()));
    lines.extend(rollout_figures(played));
    lines.extend(last_ejections(played));
    lines.extend(ejections(played));
    lines
}

/// For each host, the number of processes that ejected it and the time of the last one, in seconds after the
/// first fault.
pub fn last_ejections(played: &PlayResult) -> Vec<String> {
    let mut first: BTreeMap<&str, BTreeMap<&str, f64>> = BTreeMap::new();
    for (at, who, text) in host_log_lines(played) {
        let host = text.strip_prefix("host ").and_then(|text| text.split_once(" ejected: "));
        if let Some((host, _)) = host {
            first.entry(host).or_default().entry(who).or_insert(at);
        }
    }
    let line = |(host, by): (&&str, &BTreeMap<&str, f64>)| {
        let last = by.values().copied().fold(f64::MIN, f64::max);
        format!("host {host}: ejected by {} of {}, the last at {last:+.3} s", by.len(), played.logs.len())
    };
    first.iter().map(line).collect()
}

/// The log lines of each process about hosts, with seconds after the first fault.
pub fn ejections(played: &PlayResult) -> Vec<String> {
    let line = |(at, who, text): (f64, &str, &str)| format!("{at:+.3} s {who}: {text}");
    host_log_lines(played).into_iter().map(line).collect()
}

/// Log lines about hosts: seconds after the first fault, process and text.
pub fn host_log_lines(played: &PlayResult) -> Vec<(f64, &str, &str)> {
    let fault = played.notes.iter().find(|(_, note)| matches!(note, Note::Fault { .. })).map(|(at, _)| *at);
    let Some(fault) = fault else { return Vec::new() };
    let mut found = Vec::new();
    for (name, log) in &played.logs {
        for line in log.lines().filter(|line| line.contains("module: host ")) {
            let at = line.split(' ').next().and_then(|at| at.parse::<f64>().ok()).unwrap_or(0.0);
            let text = line.split("module: ").nth(1).unwrap_or(line);
            found.push((at - fault as f64 / 1e6, &name[..], text));
        }
    }
    found
}
