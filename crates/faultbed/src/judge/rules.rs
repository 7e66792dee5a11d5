//! Checks the five rules and the announced waits from the observations of clients and hosts.
use crate::changelog::IN_SERVICE;
use crate::notes::{Absences, Note, Outcome, TimedNotes};
use std::collections::BTreeMap;

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

/// Like `check_rules`, also considering processes that ended after SIGTERM and times without an answer of the
/// change log.
pub fn check_rules_with_absences(notes: &TimedNotes, absences: &Absences) -> Vec<String> {
    let mut observations = Observations::default();
    for (at, note) in notes {
        observations.record(*at, note, absences);
    }
    let Observations { visits, purged, mut violations, .. } = observations;
    for (number, visit) in &visits {
        let check = VisitCheck::new(*number, visit, absences);
        violations.extend(check.answer_count());
        violations.extend(check.first_answer(&purged));
        violations.extend(check.announced_waits());
        violations.extend(check.executions());
    }
    violations
}

/// When an entry added to the change log at `at` counts as known to the dispatchers.
fn propagated_at(absences: &Absences, at: u64) -> u64 {
    let silence = absences.log_silences.iter().find(|(from, to)| at + PROPAGATION_US >= *from && at < *to);
    silence.map_or(at + PROPAGATION_US, |(_, to)| {
        to.saturating_add(PROPAGATION_AFTER_SILENCE_US).min(at + MAX_PROPAGATION_US)
    })
}

/// The notes of a play by visit and object, and the violations found in single notes.
#[derive(Default)]
struct Observations<'a> {
    visits: BTreeMap<u64, Visit<'a>>,
    /// Hosts that are draining, with the time of the announcement.
    drained: BTreeMap<&'a str, u64>,
    /// Times of the purges of each object.
    purged: BTreeMap<u64, Vec<u64>>,
    violations: Vec<String>,
}

impl<'a> Observations<'a> {
    fn record(&mut self, at: u64, note: &'a Note, absences: &Absences) {
        match note {
            Note::RequestSent { visit, dispatcher, class, object, limit } => {
                let sent = Visit {
                    sent_at: at,
                    written_at: at,
                    dispatcher,
                    class,
                    limit: *limit,
                    object: *object,
                    ..Visit::default()
                };
                self.visits.insert(*visit, sent);
            }
            Note::RequestWritten { visit } => self.update(*visit, |known| known.written_at = at),
            Note::Answered { visit, outcome, created_at } => match self.visits.get_mut(visit) {
                Some(known) => known.outcomes.push((at, Some((*outcome, *created_at)))),
                None => self.violations.push("rule 1: an answer without an open visit".to_owned()),
            },
            Note::ConnectionLost { visit } => self.update(*visit, |known| known.outcomes.push((at, None))),
            Note::Executed { visit, .. } => self.update(*visit, |known| known.executions.push(at)),
            Note::HandOffArrived { host, visit, wait, earliest, .. } => {
                self.check_drained(at, host, *visit, absences);
                if let Some((known, wait)) = self.visits.get_mut(visit).zip(*wait) {
                    known.announced_waits.push((*earliest, host, wait * 1000));
                }
            }
            Note::CrossedClose { visit } => drop(self.visits.remove(visit)),
            Note::HostListed { host, state } => {
                if *state == IN_SERVICE {
                    self.drained.remove(&host[..]);
                } else {
                    self.drained.insert(host, at);
                }
            }
            Note::HostOverloaded { host } => {
                self.violations.push(format!("rule 4: {host} was overloaded while cold"))
            }
            Note::Purged { object } => self.purged.entry(*object).or_default().push(at),
            Note::NotSent { .. } | Note::HandOffEnded { .. } | Note::Fault { .. } => {}
        }
    }

    fn update(&mut self, visit: u64, change: impl FnOnce(&mut Visit<'a>)) {
        self.visits.entry(visit).and_modify(change);
    }

    /// Rule 3: a draining host gets no hand-offs after the grace period.
    fn check_drained(&mut self, at: u64, host: &str, visit: u64, absences: &Absences) {
        let is_too_late = |since: &u64| at > propagated_at(absences, *since) + GRACE_US + TIME_LIMIT_SLACK_US;
        if self.drained.get(host).is_some_and(is_too_late) {
            self.violations.push(format!("rule 3: visit {visit} was handed to {host}, which is draining"));
        }
    }
}

/// The checks of one visit.
struct VisitCheck<'a> {
    visit: &'a Visit<'a>,
    /// Number, class and dispatcher of the visit.
    label: String,
    answers: Vec<(u64, Answer)>,
    absences: &'a Absences<'a>,
}

impl<'a> VisitCheck<'a> {
    fn new(number: u64, visit: &'a Visit<'a>, absences: &'a Absences<'a>) -> VisitCheck<'a> {
        let answers = visit.outcomes.iter().filter_map(|(at, end)| Some((*at, (*end)?))).collect();
        let label = format!("visit {number} ({} at {})", visit.class, visit.dispatcher);
        VisitCheck { visit, label, answers, absences }
    }

    /// Whether the dispatcher was unavailable during the visit, or ended before it received the request.
    fn is_excused(&self) -> bool {
        let Absences { unavailable, terminated, .. } = self.absences;
        let visit = self.visit;
        let until = visit.sent_at + visit.limit + TIME_LIMIT_SLACK_US + SCHEDULING_DELAY_US;
        let touches = |(who, from, to): &(String, u64, u64)| {
            who == visit.dispatcher && *from <= until && visit.sent_at <= *to + SCHEDULING_DELAY_US
        };
        let overlaps_end = |(who, from, to): &(String, u64, u64)| {
            who == visit.dispatcher
                && visit.sent_at + CLOSE_CROSSING_US >= *from
                && visit.sent_at <= *to + SCHEDULING_DELAY_US
        };
        unavailable.iter().any(touches) || terminated.iter().any(overlaps_end)
    }

    /// Rule 1: a visit gets exactly one answer.
    fn answer_count(&self) -> Option<String> {
        match self.answers.len() {
            0 if !self.is_excused() => Some(format!("rule 1: {} had no answer", self.label)),
            0 | 1 => None,
            more => Some(format!("rule 1: {} had {more} answers", self.label)),
        }
    }

    /// Rules 1 and 5: the answer is in time and valid, and a copy is not older than a known purge.
    fn first_answer(&self, purged: &BTreeMap<u64, Vec<u64>>) -> Vec<String> {
        let Some((at, (outcome, created_at))) = self.answers.first() else { return Vec::new() };
        let (visit, label) = (self.visit, &self.label);
        let mut violations = Vec::new();
        let late = at.saturating_sub(visit.sent_at + visit.limit + TIME_LIMIT_SLACK_US + SCHEDULING_DELAY_US);
        if late > 0 && !self.is_excused() {
            violations.push(format!("rule 1: {label} was answered {} ms late", late / 1000));
        }
        if *outcome == Outcome::InvalidAnswer {
            violations.push(format!("rule 1: {label} was answered with an invalid status"));
        }
        let is_known = |purge: &&u64| {
            propagated_at(self.absences, **purge) + GRACE_US + TIME_LIMIT_SLACK_US < visit.sent_at
        };
        let purge = purged.get(&visit.object).and_then(|all| all.iter().filter(is_known).max());
        if let (Outcome::Served, Some(created_at), Some(purge)) = (outcome, created_at, purge) {
            if visit.class == "read" && created_at < purge {
                let age_ms = (purge - created_at) / 1000;
                violations.push(format!("rule 5: {label} got a copy {age_ms} ms older than its purge"));
            }
        }
        violations
    }

    /// A hand-off announces at most the time that its client has left.
    fn announced_waits(&self) -> Vec<String> {
        let visit = self.visit;
        let left = |at: u64| (visit.written_at + visit.limit).saturating_sub(at.max(visit.written_at));
        let too_long =
            visit.announced_waits.iter().filter(|(at, _, wait)| *wait > left(*at) + ANNOUNCED_WAIT_SLACK_US);
        // A process that was stopped can't know the arrival times of what it reads.
        let violations = too_long.filter(|_| !self.is_excused()).map(|(at, host, wait)| {
            let (wait, left) = (wait / 1000, left(*at) / 1000);
            format!("deadline: {host} was given {wait} ms for {}, which had {left} ms left", self.label)
        });
        violations.collect()
    }

    /// Rule 2: a write runs at most once, and is not refused after it ran if it must not be repeated.
    fn executions(&self) -> Option<String> {
        match self.visit.executions.len() {
            0 => None,
            1 => {
                let is_refused = matches!(self.answers.first(), Some((_, (Outcome::Refused, _))));
                (self.visit.class == "once" && is_refused)
                    .then(|| format!("rule 2: {} ran and was refused", self.label))
            }
            count => Some(format!("rule 2: {} ran {count} times", self.label)),
        }
    }
}
