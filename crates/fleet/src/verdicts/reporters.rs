//! Other dispatchers and their reports: what is accepted from them, and when their reports do not count.
use super::groups::GroupCounts;
use super::settings::{MAX_CLOCK_RATIO, MAX_EVIDENCE};
use super::state::{Report, ReportedFinding, Reporter, Verdicts};
use super::types::{Message, Statement, Topic};
use crate::common::{Incarnation, MemberId};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use std::collections::BTreeMap;

/// Bound on memory: further dispatchers are ignored.
const MAX_REPORTERS: usize = 1_024;
/// Bound on memory: two topics of 1,024 hosts, the most that may be cold or unhealthy at once. A correct
/// reporter reaches the bound of its space in the feed before that.
const MAX_FINDINGS: usize = 2_048;

impl Verdicts {
    /// Whether another member is alive. Has to be called for all, also those without reports: they count
    /// among the dispatchers of their location.
    pub fn set_alive(&mut self, now: Time, who: MemberId, location: LocationId, alive: bool) {
        let Some(reporter) = self.reporter_mut(now, who, location) else { return };
        reporter.is_gone = !alive;
        self.discard_reports_if(now, who, |_| !alive);
    }

    /// A message of any kind came from a member: a new run invalidates the reports of the previous one.
    pub fn note_incarnation(&mut self, now: Time, from: MemberId, incarnation: Incarnation) {
        let Some(reporter) = self.reporters.get_mut(&from) else { return };
        let is_newer = incarnation > reporter.incarnation;
        reporter.incarnation = reporter.incarnation.max(incarnation);
        self.discard_reports_if(now, from, |_| is_newer);
    }

    /// Handles a message. `age`: upper bound of the time since it was sent, by the own clock.
    pub fn receive(
        &mut self,
        now: Time,
        from: MemberId,
        from_location: LocationId,
        age: Span,
        message: Message,
    ) {
        let is_invalid = matches!(message.statement, Statement::Found { evidence: 0, .. });
        let host = message.host;
        let is_unused = self.hosts.get(&host).is_some_and(|h| !h.used_by.includes(from_location));
        if from == self.own || is_invalid || is_unused {
            return;
        }
        self.note_incarnation(now, from, message.incarnation);
        let report = self.report_of(now, age, &message);
        let Some(reporter) = self.reporter_mut(now, from, from_location) else { return };
        if !reporter.accepts(&message) {
            return;
        }
        if reporter.lacks_space_for(&message) {
            return self.ignore_excess_reports(now, from);
        }
        let counts = now >= reporter.discounted_until;
        reporter.reports.insert((host, message.topic()), report);
        if message.statement == Statement::Recovered && counts {
            self.note_recovery(now, host);
        }
        if self.discount_if_excessive(now, from) {
            self.reevaluate_reporter(now, from);
        }
        self.reevaluate(now, host);
    }

    /// The report that a message makes, with the time until which it counts.
    fn report_of(&self, now: Time, age: Span, message: &Message) -> Report {
        let (hold_time, usable_age) = (self.settings.hold_time, self.settings.usable_age());
        let sequence = message.sequence;
        let Statement::Found { since, kind, evidence, age: evidence_age } = message.statement else {
            return Report { sequence, finding: None, until: now + hold_time };
        };
        // The own clock may run faster than the sender's.
        let age = evidence_age.times(MAX_CLOCK_RATIO) + age;
        let is_older_run = self.hosts.get(&message.host).is_some_and(|listed| since < listed.since);
        if age >= usable_age || is_older_run {
            return Report { sequence, finding: None, until: now + hold_time };
        }
        let finding = ReportedFinding { since, kind, evidence: evidence.min(MAX_EVIDENCE) };
        Report { sequence, finding: Some(finding), until: now + usable_age - age }
    }

    /// Ignores a reporter with more reports than are kept until one hold time later.
    fn ignore_excess_reports(&mut self, now: Time, from: MemberId) {
        if let Some(reporter) = self.reporters.get_mut(&from) {
            reporter.discounted_until = now + self.settings.hold_time;
        }
        self.log(
            now,
            format!(
                "verdicts: member {:x} reports more than {MAX_FINDINGS} hosts; ignoring its reports",
                from.0
            ),
        );
        self.reevaluate_reporter(now, from);
    }

    /// Another dispatcher's hand-offs to a host succeeded again. Counts once in the hold time, as a host that
    /// fails in part also succeeds at times.
    fn note_recovery(&mut self, now: Time, host: HostId) {
        let hold_time = self.settings.hold_time;
        if let Some(listed) =
            self.hosts.get_mut(&host).filter(|h| h.recovered_at.is_none_or(|at| now >= at + hold_time))
        {
            listed.recovered_at = Some(now);
        }
    }

    fn reporter_mut(&mut self, now: Time, who: MemberId, location: LocationId) -> Option<&mut Reporter> {
        if who == self.own || !self.reporters.contains_key(&who) && self.reporters.len() >= MAX_REPORTERS {
            return None;
        }
        let fresh = Reporter {
            location,
            incarnation: Incarnation::default(),
            is_gone: false,
            reports: BTreeMap::new(),
            discounted_until: now,
        };
        let reporter = self.reporters.entry(who).or_insert(fresh);
        reporter.location = location;
        Some(reporter)
    }

    /// Drops the reports of a member if they are no longer valid.
    fn discard_reports_if(&mut self, now: Time, who: MemberId, is_invalid: impl Fn(&Reporter) -> bool) {
        let Some(reporter) = self.reporters.get_mut(&who).filter(|reporter| is_invalid(reporter)) else {
            return;
        };
        let reports = std::mem::take(&mut reporter.reports);
        reports.into_keys().for_each(|key| self.reevaluate(now, key.0));
    }

    /// Ignores a dispatcher that reports a large part of its hosts as unhealthy at once until one hold time
    /// later: its own network is the likelier cause. The cost: if that many hosts do fail, each dispatcher
    /// has to find out alone. True if the reporter counted until now.
    fn discount_if_excessive(&mut self, now: Time, who: MemberId) -> bool {
        let Some(reporter) = self.reporters.get(&who).filter(|t| t.reports.len() > 1) else { return false };
        if !self.count_reported_unhealthy(now, reporter).is_excessive(self.count_used(reporter.location)) {
            return false;
        }
        let until = now + self.settings.hold_time;
        self.reporters.get_mut(&who).is_some_and(|t| std::mem::replace(&mut t.discounted_until, until) <= now)
    }

    /// The hosts that a reporter calls unhealthy, in their listed run.
    fn count_reported_unhealthy(&self, now: Time, reporter: &Reporter) -> GroupCounts {
        let unhealthy =
            reporter.reports.iter().filter(|(key, report)| key.1 == Topic::Unhealthy && now < report.until);
        let of_listed_run = unhealthy.filter_map(|(key, report)| {
            let (host, finding) = (self.hosts.get(&key.0)?, report.finding?);
            (host.since == finding.since).then_some(host)
        });
        GroupCounts::of(of_listed_run)
    }

    /// Drops reports that have expired. Returns the hosts of all reports from before.
    pub(super) fn expire_reports(&mut self, now: Time) -> Vec<HostId> {
        let mut hosts = Vec::new();
        let ids: Vec<MemberId> = self.reporters.keys().copied().collect();
        for id in ids {
            self.discount_if_excessive(now, id);
            let Some(reporter) = self.reporters.get_mut(&id) else { continue };
            hosts.extend(reporter.reports.keys().map(|key| key.0));
            reporter.reports.retain(|_, report| now < report.until);
        }
        hosts
    }

    fn reevaluate_reporter(&mut self, now: Time, who: MemberId) {
        let hosts =
            self.reporters.get(&who).map(|reporter| reporter.reports.keys().map(|key| key.0).collect());
        let hosts: Vec<HostId> = hosts.unwrap_or_default();
        hosts.into_iter().for_each(|host| self.reevaluate(now, host));
    }
}

impl Reporter {
    /// Whether a message is of the reporter's present run, and newer than the last one on its topic.
    fn accepts(&self, message: &Message) -> bool {
        let last = self.reports.get(&(message.host, message.topic()));
        let is_outdated = message.incarnation < self.incarnation
            || last.is_some_and(|last| last.sequence >= message.sequence);
        !is_outdated && !self.is_gone
    }

    fn lacks_space_for(&self, message: &Message) -> bool {
        !self.reports.contains_key(&(message.host, message.topic())) && self.reports.len() >= MAX_FINDINGS
    }
}
