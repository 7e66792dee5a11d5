//! Shared verdicts on hosts. Each dispatcher publishes its findings with their evidence and age. They become
//! a verdict while several dispatchers report the same about the same run of a host, and only up to a maximum
//! age. The caller decides what follows from `Effect::Verdict` and `Effect::Withdraw`. docs/fleet-verdicts.md
//! explains the design.
use crate::common::{Incarnation, MemberId};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

mod types;
pub use types::*;

/// How much faster one member's clock may run than another's.
const MAX_CLOCK_RATIO: f64 = 1.01;
// Bounds on memory; what exceeds them is rejected. The third is two topics of 1,024 hosts, the most that may
// be cold or unhealthy at once; a correct reporter reaches the bound of its space in the feed before that.
const MAX_HOSTS: usize = 4_096;
const MAX_REPORTERS: usize = 1_024;
const MAX_FINDINGS: usize = 2_048;
const MAX_EVIDENCE: u32 = 1_000;
/// Fraction of the hold time after which a lasting finding is published again, and by which a verdict must be
/// extended before it is reported again.
const REPUBLISH_FRACTION: f64 = 0.25;
const MIN_EXTENSION_FRACTION: f64 = 0.125;
/// Pause after a withdrawal in which nothing is published about the host, as a fraction of the hold time.
const WITHDRAWAL_PAUSE_FRACTION: f64 = 0.1;
/// Delay of a finding about a host that is reached through caches, as a cache may be the cause; same unit.
const SHARED_HOST_DELAY_FRACTION: f64 = 0.05;
/// Largest weight of one report, and the number of hand-offs that gives half of it.
const MAX_REPORT_WEIGHT: f64 = 0.5;
const HALF_WEIGHT_EVIDENCE: f64 = 4.0;

/// A listed host.
#[derive(Debug)]
struct Host {
    since: Option<Incarnation>,
    used_by: UsedBy,
    /// Nothing is published about it before: set by an own withdrawal.
    publish_after: Time,
    /// Reports of others are ignored before: set when own hand-offs contradicted them.
    ignored_until: Time,
    /// A verdict took it out of use: until then a single report of a restart is enough.
    recently_out_until: Time,
    /// Another dispatcher reported its recovery: earlier findings do not count.
    recovered_at: Option<Time>,
    /// This dispatcher has published that it is unhealthy and has not withdrawn that.
    is_published: bool,
}

/// A finding of this dispatcher.
#[derive(Clone, Copy, Debug)]
struct OwnFinding {
    since: Option<Incarnation>,
    kind: FindingKind,
    evidence: u32,
    /// When the latest hand-off supported it.
    evidence_at: Time,
    /// When it is published next, and whether it was before.
    next_publish: Time,
    is_published: bool,
}

/// The latest report of a dispatcher on one topic of a host.
#[derive(Clone, Copy, Debug)]
struct Report {
    sequence: u64,
    /// `None`: withdrawn, and remembered so that an older message does not undo that.
    found: Option<(Option<Incarnation>, FindingKind, u32)>,
    until: Time,
}

/// Another dispatcher and its reports.
#[derive(Debug)]
struct Reporter {
    location: LocationId,
    incarnation: Incarnation,
    /// Dead, or shut down.
    is_gone: bool,
    reports: BTreeMap<(HostId, Topic), Report>,
    /// It reported too many hosts at once: its reports do not count before.
    discounted_until: Time,
}

/// A verdict that was reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Verdict {
    since: Option<Incarnation>,
    kind: FindingKind,
    weight: f64,
    until: Time,
    reporters: u8,
}

/// One dispatcher's state of shared verdicts.
pub struct Verdicts {
    settings: Settings,
    own: MemberId,
    location: LocationId,
    incarnation: Incarnation,
    rng: Pcg64Mcg,
    hosts: BTreeMap<HostId, Host>,
    /// Number of hosts by the group of their users.
    group_sizes: BTreeMap<UsedBy, usize>,
    own_findings: BTreeMap<(HostId, Topic), OwnFinding>,
    reporters: BTreeMap<MemberId, Reporter>,
    /// With the order in which they came into force, for `withdraw_above_half`.
    verdicts: BTreeMap<(HostId, Topic), (u64, Verdict)>,
    links_degraded: bool,
    /// Evidence from before this time is not published.
    links_degraded_until: Time,
    sequence: u64,
    last_order: u64,
    last_logged: Option<Time>,
    effects: VecDeque<Effect>,
}

impl Verdicts {
    pub fn new(
        settings: Settings,
        own: MemberId,
        own_location: LocationId,
        incarnation: Incarnation,
        seed: u64,
        now: Time,
    ) -> Verdicts {
        Verdicts {
            settings,
            own,
            location: own_location,
            incarnation,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            group_sizes: BTreeMap::new(),
            own_findings: BTreeMap::new(),
            reporters: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            links_degraded: false,
            links_degraded_until: now,
            sequence: 0,
            last_order: 0,
            last_logged: None,
            effects: VecDeque::new(),
        }
    }

    /// The list has a host that is ready. A new run invalidates findings about the previous one.
    pub fn update_host(&mut self, now: Time, host: HostId, since: Option<Incarnation>, used_by: UsedBy) {
        if !self.hosts.contains_key(&host) && self.hosts.len() >= MAX_HOSTS {
            self.log(
                now,
                format!(
                    "verdicts: more than {MAX_HOSTS} hosts listed; no verdicts are shared about the others"
                ),
            );
            return;
        }
        if self.hosts.get(&host).is_none_or(|known| (known.since, known.used_by) != (since, used_by)) {
            let fresh = Host {
                since,
                used_by,
                publish_after: now,
                ignored_until: now,
                recently_out_until: Time::default(),
                recovered_at: None,
                is_published: false,
            };
            self.hosts.insert(host, fresh);
            // Not withdrawn at other dispatchers: it still holds for the run in their lists.
            self.own_findings.retain(|key, finding| key.0 != host || finding.since == since);
            self.withdraw_above_half();
        }
        self.reevaluate(now, host);
    }

    /// A host is draining, or no longer listed.
    pub fn remove_host(&mut self, now: Time, host: HostId) {
        self.hosts.remove(&host);
        self.own_findings.retain(|key, _| key.0 != host);
        self.withdraw_above_half();
        self.reevaluate(now, host);
    }

    /// Reports an own finding; has to be repeated as long as it holds. It is published at once, and then
    /// about every quarter of the hold time.
    pub fn report_finding(&mut self, now: Time, finding: Finding) {
        let Finding { host, since, kind, evidence, age } = finding;
        let Some(known) = self.hosts.get(&host).filter(|h| h.used_by.includes(self.location)) else { return };
        let at = now - age;
        let is_stale =
            age >= self.settings.hold_time || self.links_degraded || at < self.links_degraded_until;
        if known.since != since || evidence == 0 || is_stale {
            return;
        }
        // A restart is published without delay, as it has to arrive before the withdrawal.
        let delay = if known.used_by == UsedBy::All {
            self.settings.hold_time.times(SHARED_HOST_DELAY_FRACTION)
        } else {
            Span::ZERO
        };
        let next_publish =
            if kind.topic() == Topic::Restarted { now } else { known.publish_after.max(now + delay) };
        let fresh = OwnFinding { since, kind, evidence, evidence_at: at, next_publish, is_published: false };
        let finding = self.own_findings.entry((host, kind.topic())).or_insert(fresh);
        if finding.kind != kind {
            let soon = now + self.settings.hold_time.times(WITHDRAWAL_PAUSE_FRACTION);
            *finding = OwnFinding {
                is_published: finding.is_published,
                next_publish: finding.next_publish.min(soon),
                ..fresh
            };
        }
        if kind != FindingKind::Restarted {
            finding.evidence_at = finding.evidence_at.max(at);
        }
        finding.evidence = finding.evidence.max(evidence);
        self.publish_due(now);
    }

    /// An own finding that the host is unhealthy no longer holds.
    pub fn report_recovery(&mut self, now: Time, host: HostId) {
        self.own_findings.remove(&(host, Topic::Unhealthy));
        if self.hosts.get(&host).is_some_and(|known| known.is_published) {
            self.withdraw(now, host, Statement::Recovered);
        }
        self.publish_due(now);
    }

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
        if let Some(known) = self.hosts.get_mut(&host) {
            known.ignored_until = now + self.settings.hold_time;
        }
        self.reevaluate(now, host);
    }

    /// The own links are degraded, or work again. Keeps a dispatcher from blaming the hosts for its own
    /// network: earlier findings are withdrawn, and afterwards only new evidence counts.
    pub fn set_links_degraded(&mut self, now: Time, degraded: bool) {
        if degraded && !self.links_degraded {
            self.suppress(now, |_| true);
            self.own_findings.clear();
        }
        if self.links_degraded && !degraded {
            self.links_degraded_until = now;
        }
        self.links_degraded = degraded;
    }

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
        if from == self.own || is_invalid {
            return;
        }
        let (hold_time, usable_age) = (self.settings.hold_time, self.settings.usable_age());
        let (host, topic) = (message.host, message.topic());
        let listed = self.hosts.get(&host).map(|h| (h.since, h.used_by));
        if listed.is_some_and(|(_, used_by)| !used_by.includes(from_location)) {
            return;
        }
        self.note_incarnation(now, from, message.incarnation);
        let Some(reporter) = self.reporter_mut(now, from, from_location) else { return };
        let known = reporter.reports.get(&(host, topic));
        let is_outdated = message.incarnation < reporter.incarnation
            || known.is_some_and(|k| k.sequence >= message.sequence);
        if is_outdated || reporter.is_gone {
            return;
        }
        if known.is_none() && reporter.reports.len() >= MAX_FINDINGS {
            reporter.discounted_until = now + hold_time;
            self.log(
                now,
                format!(
                    "verdicts: member {:x} reports more than {MAX_FINDINGS} hosts; ignoring its reports",
                    from.0
                ),
            );
            return self.reevaluate_reporter(now, from);
        }
        let counts = now >= reporter.discounted_until;
        let report = match message.statement {
            Statement::Withdrawn | Statement::Recovered => {
                Report { sequence: message.sequence, found: None, until: now + hold_time }
            }
            Statement::Found { since, kind, evidence, age: evidence_age } => {
                // The own clock may run faster than the sender's.
                let age = evidence_age.times(MAX_CLOCK_RATIO) + age;
                let until = if age < usable_age { now + usable_age - age } else { now };
                let is_invalid = until <= now || listed.is_some_and(|(listed, _)| since < listed);
                let found = Some((since, kind, evidence.min(MAX_EVIDENCE))).filter(|_| !is_invalid);
                Report {
                    sequence: message.sequence,
                    found,
                    until: if is_invalid { now + hold_time } else { until },
                }
            }
        };
        reporter.reports.insert((host, topic), report);
        if message.statement == Statement::Recovered && counts {
            // Once in the hold time, as a host that fails in part also succeeds at times.
            let known =
                self.hosts.get_mut(&host).filter(|h| h.recovered_at.is_none_or(|at| now >= at + hold_time));
            known.into_iter().for_each(|known| known.recovered_at = Some(now));
        }
        if self.discount_if_excessive(now, from) {
            self.reevaluate_reporter(now, from);
        }
        self.reevaluate(now, host);
    }

    /// Periodic work: expires findings, publishes own ones and updates verdicts.
    pub fn tick(&mut self, now: Time) {
        let hold_time = self.settings.hold_time;
        self.own_findings.retain(|_, finding| now < finding.evidence_at + hold_time);
        self.publish_due(now);
        let mut hosts: Vec<HostId> = self.verdicts.keys().map(|key| key.0).collect();
        let ids: Vec<MemberId> = self.reporters.keys().copied().collect();
        for id in ids {
            self.discount_if_excessive(now, id);
            let Some(reporter) = self.reporters.get_mut(&id) else { continue };
            hosts.extend(reporter.reports.keys().map(|key| key.0));
            reporter.reports.retain(|_, report| now < report.until);
        }
        hosts.sort();
        hosts.dedup();
        hosts.into_iter().for_each(|host| self.reevaluate(now, host));
    }

    /// The next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Number of hosts of a group with a verdict that they are unhealthy.
    pub fn unhealthy_count(&self, used_by: UsedBy) -> usize {
        let unhealthy = self.verdicts.keys().filter(|key| key.1 == Topic::Unhealthy);
        unhealthy.filter(|key| self.hosts.get(&key.0).is_some_and(|h| h.used_by == used_by)).count()
    }

    /// Publishes own findings that are due, unless they are too many to be the hosts' fault.
    fn publish_due(&mut self, now: Time) {
        let (caches, shared) =
            (self.group_size(UsedBy::Location(self.location)), self.group_size(UsedBy::All));
        let unhealthy = self
            .own_findings
            .keys()
            .filter(|key| key.1 == Topic::Unhealthy)
            .filter_map(|key| self.hosts.get(&key.0));
        let [unhealthy_caches, unhealthy_shared] = unhealthy.fold([0, 0], count_by_group);
        if is_excessive([unhealthy_caches, unhealthy_shared], [caches, shared]) {
            return self.suppress(now, |_| true);
        }
        // With an unhealthy cache, errors of the hosts behind it are attributed to the cache. The cost: if
        // both fail, each dispatcher has to find out about the parent alone.
        if unhealthy_caches > 0 || self.unhealthy_count(UsedBy::Location(self.location)) > 0 {
            self.suppress(now, |host| host.used_by == UsedBy::All);
        }
        let due: Vec<_> = self
            .own_findings
            .iter()
            .filter(|(_, m)| m.next_publish <= now)
            .map(|(key, m)| (*key, *m))
            .collect();
        for (key, finding) in due {
            let (since, kind, evidence) = (finding.since, finding.kind, finding.evidence.min(MAX_EVIDENCE));
            let age = now - finding.evidence_at;
            let pause = self.settings.hold_time.times(REPUBLISH_FRACTION * self.rng.gen_range(0.8..1.0));
            self.own_findings
                .insert(key, OwnFinding { is_published: true, next_publish: now + pause, ..finding });
            let left = Span(self.settings.hold_time.0.saturating_sub(age.0));
            let known = self.hosts.get_mut(&key.0).filter(|_| key.1 == Topic::Unhealthy);
            known.into_iter().for_each(|known| known.is_published = true);
            self.publish(key, Statement::Found { since, kind, evidence, age }, left);
        }
    }

    /// Withdraws what was published about some hosts, and publishes nothing more about them for a while.
    fn suppress(&mut self, now: Time, applies: impl Fn(&Host) -> bool) {
        let pause = self.settings.hold_time.times(WITHDRAWAL_PAUSE_FRACTION);
        let mut published = Vec::new();
        for (key, finding) in self.own_findings.iter_mut().filter(|(key, _)| key.1 == Topic::Unhealthy) {
            if self.hosts.get(&key.0).is_some_and(&applies) {
                published.extend(std::mem::take(&mut finding.is_published).then_some(key.0));
                finding.next_publish = finding.next_publish.max(now + pause);
            }
        }
        published.into_iter().for_each(|host| self.withdraw(now, host, Statement::Withdrawn));
    }

    fn withdraw(&mut self, now: Time, host: HostId, statement: Statement) {
        let pause = self.settings.hold_time.times(WITHDRAWAL_PAUSE_FRACTION);
        self.hosts
            .get_mut(&host)
            .into_iter()
            .for_each(|known| (known.publish_after, known.is_published) = (now + pause, false));
        self.publish((host, Topic::Unhealthy), statement, self.settings.hold_time);
    }

    fn publish(&mut self, (host, topic): (HostId, Topic), statement: Statement, ttl: Span) {
        self.sequence += 1;
        let key = [&[b'v', topic as u8][..], &host.0.to_be_bytes()].concat();
        let message = Message { incarnation: self.incarnation, sequence: self.sequence, host, statement };
        self.effects.push_back(Effect::Publish { key, message, ttl });
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
        let unhealthy =
            reporter.reports.iter().filter(|(key, report)| key.1 == Topic::Unhealthy && now < report.until);
        let unhealthy = unhealthy.filter_map(|(key, report)| Some((self.hosts.get(&key.0)?, report.found?)));
        let unhealthy = unhealthy
            .filter(|(host, found)| host.since == found.0)
            .map(|(host, _)| host)
            .fold([0, 0], count_by_group);
        let caches = UsedBy::Location(reporter.location);
        if !is_excessive(unhealthy, [self.group_size(caches), self.group_size(UsedBy::All)]) {
            return false;
        }
        let until = now + self.settings.hold_time;
        self.reporters.get_mut(&who).is_some_and(|t| std::mem::replace(&mut t.discounted_until, until) <= now)
    }

    fn reevaluate_reporter(&mut self, now: Time, who: MemberId) {
        let hosts =
            self.reporters.get(&who).map(|reporter| reporter.reports.keys().map(|key| key.0).collect());
        let hosts: Vec<HostId> = hosts.unwrap_or_default();
        hosts.into_iter().for_each(|host| self.reevaluate(now, host));
    }

    /// Reports changes of a host's verdicts to the caller. A restart goes first, as a host that is no longer
    /// unhealthy may be cold.
    fn reevaluate(&mut self, now: Time, host: HostId) {
        for topic in [Topic::Restarted, Topic::Unhealthy] {
            let (key, verdict) = ((host, topic), self.evaluate(now, host, topic));
            let known = self.verdicts.get(&key).copied();
            let changed = match (&known, &verdict) {
                (_, None) => false,
                (None, Some(_)) => topic == Topic::Restarted || self.has_room_for_verdict(host),
                (Some((_, old)), Some(new)) => {
                    let is_extended =
                        new.until > old.until + self.settings.hold_time.times(MIN_EXTENSION_FRACTION);
                    let is_different =
                        new.kind != old.kind || new.until < old.until || new.since != old.since;
                    topic == Topic::Unhealthy && (is_different || is_extended)
                }
            };
            if let Some(new) = verdict.filter(|_| changed) {
                self.last_order += u64::from(known.is_none());
                let order = known.map_or(self.last_order, |known| known.0);
                self.verdicts.insert(key, (order, new));
                let Verdict { since, kind, weight, until, reporters } = new;
                let age = self.settings.usable_age();
                let age = Span(age.0.saturating_sub((until - now).0));
                self.effects.push_back(Effect::Verdict { host, since, kind, weight, until, age, reporters });
                if let Some(known) = self
                    .hosts
                    .get_mut(&host)
                    .filter(|_| matches!(kind, FindingKind::Unreachable | FindingKind::Failing))
                {
                    known.recently_out_until = until;
                }
            } else if verdict.is_none() && known.is_some() {
                self.verdicts.remove(&key);
                self.effects.extend((topic == Topic::Unhealthy).then_some(Effect::Withdraw { host }));
            }
        }
    }

    /// The verdict that follows from the reports that count, if there are enough.
    fn evaluate(&self, now: Time, host: HostId, topic: Topic) -> Option<Verdict> {
        let known = self.hosts.get(&host).filter(|h| h.used_by.includes(self.location))?;
        if topic == Topic::Unhealthy && now < known.ignored_until {
            return None;
        }
        // A host behind an unhealthy cache: as in `publish_due`.
        let is_shared = known.used_by == UsedBy::All && topic == Topic::Unhealthy;
        if is_shared && self.unhealthy_count(UsedBy::Location(self.location)) > 0 {
            return None;
        }
        let is_cache = |host: &HostId| self.hosts.get(host).is_some_and(|h| h.used_by != UsedBy::All);
        let is_live = |report: &Report| report.found.is_some() && now < report.until;
        let blames_cache =
            |t: &Reporter| t.reports.iter().any(|(k, report)| is_cache(&k.0) && is_live(report));
        let counts =
            |t: &&Reporter| !t.is_gone && now >= t.discounted_until && known.used_by.includes(t.location);
        let counts = |t: &&Reporter| counts(t) && !(is_shared && blames_cache(t));
        let reports = self.reporters.values().filter(counts).filter_map(|reporter| {
            let report = reporter.reports.get(&(host, topic)).filter(|report| now < report.until)?;
            // Findings from before a reported recovery do not count. Dispatchers for which the host still
            // fails publish that again.
            let since = known.recovered_at.map_or(Time::default(), |at| at + self.settings.usable_age());
            if topic == Topic::Unhealthy && report.until <= since {
                return None;
            }
            let (since, kind, evidence) = report.found.filter(|found| found.0 == known.since)?;
            let is_local = reporter.location == self.location;
            (is_local || kind.holds_everywhere()).then_some((
                report.until,
                since,
                kind,
                evidence,
                reporter.location,
            ))
        });
        let mut reports: Vec<_> = reports.collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.0));
        let local_dispatchers =
            self.reporters.values().filter(|t| !t.is_gone && t.location == self.location).count() + 1;
        let few = usize::from(self.settings.reporters);
        let many = few.max((local_dispatchers as f64 * self.settings.location_fraction).ceil() as usize);
        let (kind, enough) = if topic == Topic::Restarted {
            // A host that returns after a verdict is cold, so one report is enough. Otherwise, without enough
            // reports from here, several locations must agree: a single one may have a network fault.
            let local_reports = reports.iter().filter(|report| report.4 == self.location).count();
            let is_one_location =
                reports.iter().all(|report| Some(report.4) == reports.first().map(|first| first.4));
            let was_recently_out = now < known.recently_out_until;
            if !was_recently_out && local_reports < few && is_one_location && few > 1 {
                return None;
            }
            (FindingKind::Restarted, if was_recently_out { 1 } else { few })
        } else {
            // Errors came over working links; silence may be due to the links of those who report it.
            let errors = reports.iter().filter(|report| report.2 == FindingKind::Failing).count();
            let worse_than_slow = reports.iter().filter(|report| report.2 != FindingKind::Slow).count();
            let few = if is_shared { many } else { few };
            if errors >= few {
                reports.retain(|report| report.2 == FindingKind::Failing);
                (FindingKind::Failing, few)
            } else if worse_than_slow >= many {
                reports.retain(|report| report.2 != FindingKind::Slow);
                (FindingKind::Unreachable, many)
            } else {
                (FindingKind::Slow, many)
            }
        };
        let until = reports.get(enough - 1)?.0;
        let doubts = reports.iter().map(|report| {
            let (freshness, evidence) =
                ((report.0 - now).as_seconds() / self.settings.hold_time.as_seconds(), f64::from(report.3));
            1.0 - MAX_REPORT_WEIGHT * freshness * evidence / (evidence + HALF_WEIGHT_EVIDENCE)
        });
        let weight = 1.0 - doubts.product::<f64>();
        let reporters = reports.len().min(usize::from(u8::MAX)) as u8;
        Some(Verdict { since: known.since, kind, weight, until, reporters })
    }

    /// Whether a further verdict keeps those of the host's group within half of its hosts.
    fn has_room_for_verdict(&self, host: HostId) -> bool {
        let Some(used_by) = self.hosts.get(&host).map(|h| h.used_by) else { return false };
        2 * (self.unhealthy_count(used_by) + 1) <= self.group_size(used_by)
    }

    /// Withdraws the latest verdicts where a change of the list brings them above half of a group.
    fn withdraw_above_half(&mut self) {
        self.group_sizes.clear();
        self.hosts.values().for_each(|host| *self.group_sizes.entry(host.used_by).or_default() += 1);
        for used_by in [UsedBy::Location(self.location), UsedBy::All] {
            while 2 * self.unhealthy_count(used_by) > self.group_size(used_by) {
                let unhealthy = self.verdicts.iter().filter(|(key, _)| key.1 == Topic::Unhealthy);
                let unhealthy =
                    unhealthy.filter(|(key, _)| self.hosts.get(&key.0).is_some_and(|h| h.used_by == used_by));
                let Some(host) = unhealthy.max_by_key(|(_, verdict)| verdict.0).map(|(key, _)| key.0) else {
                    break;
                };
                self.verdicts.remove(&(host, Topic::Unhealthy));
                self.effects.push_back(Effect::Withdraw { host });
            }
        }
    }

    fn group_size(&self, used_by: UsedBy) -> usize {
        self.group_sizes.get(&used_by).copied().unwrap_or(0)
    }

    fn log(&mut self, now: Time, line: String) {
        if self.last_logged.is_none_or(|at| now >= at + self.settings.hold_time) {
            self.last_logged = Some(now);
            self.effects.push_back(Effect::Log(line));
        }
    }
}

/// Counts caches, and hosts used by all locations.
fn count_by_group([caches, shared]: [usize; 2], host: &Host) -> [usize; 2] {
    match host.used_by {
        UsedBy::All => [caches, shared + 1],
        UsedBy::Location(_) => [caches + 1, shared],
    }
}

/// Whether so many unhealthy hosts at once point to the reporter's own network: more than a third of all
/// hosts, or at least half of the caches.
fn is_excessive(unhealthy: [usize; 2], used: [usize; 2]) -> bool {
    let all = unhealthy[0] + unhealthy[1];
    all > 1 && (3 * all > used[0] + used[1] || unhealthy[0] > 0 && 2 * unhealthy[0] >= used[0])
}
