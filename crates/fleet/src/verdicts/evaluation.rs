//! The verdicts that follow from the reports, and their changes.
use super::state::{ActiveVerdict, Host, Report, Reporter, Verdict, Verdicts};
use super::types::{Effect, FindingKind, Topic, UsedBy};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};

/// Fraction of the hold time by which a verdict must be extended before it is reported again.
const MIN_EXTENSION_FRACTION: f64 = 0.125;
/// Largest weight of one report, and the number of hand-offs that gives half of it.
const MAX_REPORT_WEIGHT: f64 = 0.5;
const HALF_WEIGHT_EVIDENCE: f64 = 4.0;

/// A report that counts towards a verdict.
struct CountedReport {
    until: Time,
    kind: FindingKind,
    evidence: u32,
    location: LocationId,
}

impl Verdicts {
    /// Changes how many dispatchers must report the same, and which fraction of the own location's.
    pub fn set_thresholds(&mut self, now: Time, reporters: u8, location_fraction: f64) {
        if reporters == 0 || !(0.0..=1.0).contains(&location_fraction) {
            return;
        }
        (self.settings.reporters, self.settings.location_fraction) = (reporters, location_fraction);
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        hosts.into_iter().for_each(|host| self.reevaluate(now, host));
    }

    /// Own hand-offs to a host succeeded despite a verdict: reports about it are ignored for the hold time.
    pub fn refute(&mut self, now: Time, host: HostId) {
        if let Some(listed) = self.hosts.get_mut(&host) {
            listed.ignored_until = now + self.settings.hold_time;
        }
        self.reevaluate(now, host);
    }

    /// Periodic work: expires findings, publishes own ones and updates verdicts.
    pub fn tick(&mut self, now: Time) {
        self.expire_own_findings(now);
        self.publish_due(now);
        let mut hosts: Vec<HostId> = self.verdicts.keys().map(|key| key.0).collect();
        hosts.extend(self.expire_reports(now));
        hosts.sort();
        hosts.dedup();
        hosts.into_iter().for_each(|host| self.reevaluate(now, host));
    }

    /// Reports changes of a host's verdicts to the caller. A restart goes first, as a host that is no longer
    /// unhealthy may be cold.
    pub(super) fn reevaluate(&mut self, now: Time, host: HostId) {
        for topic in [Topic::Restarted, Topic::Unhealthy] {
            let key = (host, topic);
            let active = self.verdicts.get(&key).copied();
            match self.evaluate(now, host, topic) {
                Some(verdict) if self.is_reportable(key, active, &verdict) => {
                    self.put_verdict_in_force(now, key, active, verdict);
                }
                None if active.is_some() => {
                    self.verdicts.remove(&key);
                    self.effects.extend((topic == Topic::Unhealthy).then_some(Effect::Withdraw { host }));
                }
                _ => {}
            }
        }
    }

    /// Whether a verdict is new, or differs enough from the one in force to be reported.
    fn is_reportable(
        &self,
        (host, topic): (HostId, Topic),
        active: Option<ActiveVerdict>,
        new: &Verdict,
    ) -> bool {
        let Some(ActiveVerdict { verdict: old, .. }) = active else {
            return topic == Topic::Restarted || self.has_room_for_verdict(host);
        };
        let is_extended = new.until > old.until + self.settings.hold_time.times(MIN_EXTENSION_FRACTION);
        let is_different = new.kind != old.kind || new.until < old.until || new.since != old.since;
        topic == Topic::Unhealthy && (is_different || is_extended)
    }

    fn put_verdict_in_force(
        &mut self,
        now: Time,
        key: (HostId, Topic),
        active: Option<ActiveVerdict>,
        verdict: Verdict,
    ) {
        self.last_order += u64::from(active.is_none());
        let order = active.map_or(self.last_order, |active| active.order);
        self.verdicts.insert(key, ActiveVerdict { order, verdict });
        let Verdict { since, kind, weight, until, reporters } = verdict;
        let (host, usable_age) = (key.0, self.settings.usable_age());
        let age = Span(usable_age.0.saturating_sub((until - now).0));
        self.effects.push_back(Effect::Verdict { host, since, kind, weight, until, age, reporters });
        let takes_out = matches!(kind, FindingKind::Unreachable | FindingKind::Failing);
        if let Some(listed) = self.hosts.get_mut(&host).filter(|_| takes_out) {
            listed.recently_out_until = until;
        }
    }

    /// The verdict that follows from the reports that count, if there are enough.
    fn evaluate(&self, now: Time, host: HostId, topic: Topic) -> Option<Verdict> {
        let listed = self.hosts.get(&host).filter(|h| h.used_by.includes(self.location))?;
        if topic == Topic::Unhealthy && now < listed.ignored_until {
            return None;
        }
        // A host behind an unhealthy cache: as in `publish_due`.
        let is_shared = listed.used_by == UsedBy::All && topic == Topic::Unhealthy;
        if is_shared && self.unhealthy_count(UsedBy::Location(self.location)) > 0 {
            return None;
        }
        let mut reports = self.counted_reports(now, host, listed, topic);
        reports.sort_by_key(|report| std::cmp::Reverse(report.until));
        let (kind, required) = match topic {
            Topic::Restarted => (FindingKind::Restarted, self.required_for_restart(now, listed, &reports)?),
            Topic::Unhealthy => self.select_unhealthy_kind(is_shared, &mut reports),
        };
        let until = reports.get(required - 1)?.until;
        let weight = self.weight(now, &reports);
        let reporters = reports.len().min(usize::from(u8::MAX)) as u8;
        Some(Verdict { since: listed.since, kind, weight, until, reporters })
    }

    /// The reports on one topic of a host that count here, by reporter.
    fn counted_reports(&self, now: Time, host: HostId, listed: &Host, topic: Topic) -> Vec<CountedReport> {
        let is_shared = listed.used_by == UsedBy::All && topic == Topic::Unhealthy;
        let counts = |reporter: &&Reporter| {
            !reporter.is_gone
                && now >= reporter.discounted_until
                && listed.used_by.includes(reporter.location)
                && !(is_shared && self.blames_cache(now, reporter))
        };
        // Findings from before a reported recovery do not count. Dispatchers for which the host still fails
        // publish that again.
        let after = listed.recovered_at.map_or(Time::default(), |at| at + self.settings.usable_age());
        let counted = |reporter: &Reporter| {
            let report = reporter.reports.get(&(host, topic)).filter(|report| now < report.until)?;
            if topic == Topic::Unhealthy && report.until <= after {
                return None;
            }
            let finding = report.finding.filter(|finding| finding.since == listed.since)?;
            let is_local = reporter.location == self.location;
            (is_local || finding.kind.holds_everywhere()).then_some(CountedReport {
                until: report.until,
                kind: finding.kind,
                evidence: finding.evidence,
                location: reporter.location,
            })
        };
        self.reporters.values().filter(counts).filter_map(counted).collect()
    }

    /// Whether a reporter also has a finding about a cache.
    fn blames_cache(&self, now: Time, reporter: &Reporter) -> bool {
        let is_cache = |host: &HostId| self.hosts.get(host).is_some_and(|h| h.used_by != UsedBy::All);
        let is_live = |report: &Report| report.finding.is_some() && now < report.until;
        reporter.reports.iter().any(|(key, report)| is_cache(&key.0) && is_live(report))
    }

    /// How many reports of a restart are enough; `None` if reports of other locations are not.
    fn required_for_restart(&self, now: Time, listed: &Host, reports: &[CountedReport]) -> Option<usize> {
        // A host that returns after a verdict is cold, so one report is enough. Otherwise, without enough
        // reports from here, several locations must agree: a single one may have a network fault.
        if now < listed.recently_out_until {
            return Some(1);
        }
        let required = usize::from(self.settings.reporters);
        let local_reports = reports.iter().filter(|report| report.location == self.location).count();
        let is_one_location =
            reports.iter().all(|report| Some(report.location) == reports.first().map(|first| first.location));
        (local_reports >= required || !is_one_location || required <= 1).then_some(required)
    }

    /// The kind that the reports agree on, and how many reports are enough for it. Keeps only the reports of
    /// this kind or a worse one.
    fn select_unhealthy_kind(
        &self,
        is_shared: bool,
        reports: &mut Vec<CountedReport>,
    ) -> (FindingKind, usize) {
        let min_reporters = usize::from(self.settings.reporters);
        let required = min_reporters.max(self.location_quorum());
        // Errors came over working links; silence may be due to the links of those who report it.
        let required_errors = if is_shared { required } else { min_reporters };
        let errors = reports.iter().filter(|report| report.kind == FindingKind::Failing).count();
        let worse_than_slow = reports.iter().filter(|report| report.kind != FindingKind::Slow).count();
        if errors >= required_errors {
            reports.retain(|report| report.kind == FindingKind::Failing);
            (FindingKind::Failing, required_errors)
        } else if worse_than_slow >= required {
            reports.retain(|report| report.kind != FindingKind::Slow);
            (FindingKind::Unreachable, required)
        } else {
            (FindingKind::Slow, required)
        }
    }

    /// The number of dispatchers of the own location that have to agree.
    fn location_quorum(&self) -> usize {
        let is_local = |reporter: &&Reporter| !reporter.is_gone && reporter.location == self.location;
        let dispatchers = self.reporters.values().filter(is_local).count() + 1;
        (dispatchers as f64 * self.settings.location_fraction).ceil() as usize
    }

    /// The weight of reports together, from their freshness and evidence.
    fn weight(&self, now: Time, reports: &[CountedReport]) -> f64 {
        let doubts = reports.iter().map(|report| {
            let freshness = (report.until - now).as_seconds() / self.settings.hold_time.as_seconds();
            let evidence = f64::from(report.evidence);
            1.0 - MAX_REPORT_WEIGHT * freshness * evidence / (evidence + HALF_WEIGHT_EVIDENCE)
        });
        1.0 - doubts.product::<f64>()
    }

    /// Whether a further verdict keeps those of the host's group within half of its hosts.
    fn has_room_for_verdict(&self, host: HostId) -> bool {
        let Some(used_by) = self.hosts.get(&host).map(|h| h.used_by) else { return false };
        2 * (self.unhealthy_count(used_by) + 1) <= self.group_size(used_by)
    }
}
