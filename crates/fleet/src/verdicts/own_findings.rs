//! This dispatcher's own findings: when they are published and withdrawn.
use super::groups::GroupCounts;
use super::settings::MAX_EVIDENCE;
use super::state::{Host, OwnFinding, Verdicts};
use super::types::{Effect, Finding, FindingKind, Message, Statement, Topic, UsedBy};
use cherrypass::ids::HostId;
use cherrypass::time::{Span, Time};
use rand::Rng;

/// Fraction of the hold time after which a lasting finding is published again.
const REPUBLISH_FRACTION: f64 = 0.25;
/// Pause after a withdrawal in which nothing is published about the host, as a fraction of the hold time.
const WITHDRAWAL_PAUSE_FRACTION: f64 = 0.1;
/// Delay of a finding about a host that is reached through caches, as a cache may be the cause; same unit.
const SHARED_HOST_DELAY_FRACTION: f64 = 0.05;

impl Verdicts {
    /// Reports an own finding; has to be repeated as long as it holds. It is published at once, and then
    /// about every quarter of the hold time.
    pub fn report_finding(&mut self, now: Time, finding: Finding) {
        let Some(fresh) = self.own_finding(now, finding) else { return };
        self.merge_own_finding(now, finding.host, fresh);
        self.publish_due(now);
    }

    /// What is kept of a finding; `None` if it is stale, or not about the listed run of a host in use here.
    fn own_finding(&self, now: Time, finding: Finding) -> Option<OwnFinding> {
        let Finding { host, since, kind, evidence, age } = finding;
        let listed = self.hosts.get(&host).filter(|h| h.used_by.includes(self.location))?;
        let evidence_at = now - age;
        let is_stale =
            age >= self.settings.hold_time || self.links_degraded || evidence_at < self.links_degraded_until;
        if listed.since != since || evidence == 0 || is_stale {
            return None;
        }
        let next_publish = self.first_publish(now, listed, kind);
        Some(OwnFinding { since, kind, evidence, evidence_at, next_publish, is_published: false })
    }

    /// When a new finding about a host is first published.
    fn first_publish(&self, now: Time, host: &Host, kind: FindingKind) -> Time {
        // A restart is published without delay, as it has to arrive before the withdrawal.
        if kind.topic() == Topic::Restarted {
            return now;
        }
        let delay = if host.used_by == UsedBy::All {
            self.settings.hold_time.times(SHARED_HOST_DELAY_FRACTION)
        } else {
            Span::ZERO
        };
        host.publish_after.max(now + delay)
    }

    /// Adds a finding to the one on the same topic, if there is one.
    fn merge_own_finding(&mut self, now: Time, host: HostId, fresh: OwnFinding) {
        let finding = self.own_findings.entry((host, fresh.kind.topic())).or_insert(fresh);
        if finding.kind != fresh.kind {
            let soon = now + self.settings.hold_time.times(WITHDRAWAL_PAUSE_FRACTION);
            *finding = OwnFinding {
                is_published: finding.is_published,
                next_publish: finding.next_publish.min(soon),
                ..fresh
            };
        }
        if fresh.kind != FindingKind::Restarted {
            finding.evidence_at = finding.evidence_at.max(fresh.evidence_at);
        }
        finding.evidence = finding.evidence.max(fresh.evidence);
    }

    /// An own finding that the host is unhealthy no longer holds.
    pub fn report_recovery(&mut self, now: Time, host: HostId) {
        self.own_findings.remove(&(host, Topic::Unhealthy));
        if self.hosts.get(&host).is_some_and(|listed| listed.is_published) {
            self.withdraw(now, host, Statement::Recovered);
        }
        self.publish_due(now);
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

    /// Drops own findings whose evidence is older than the hold time.
    pub(super) fn expire_own_findings(&mut self, now: Time) {
        let hold_time = self.settings.hold_time;
        self.own_findings.retain(|_, finding| now < finding.evidence_at + hold_time);
    }

    /// Publishes own findings that are due, unless they are too many to be the hosts' fault.
    pub(super) fn publish_due(&mut self, now: Time) {
        let unhealthy = self.count_own_unhealthy();
        if unhealthy.is_excessive(self.count_used(self.location)) {
            return self.suppress(now, |_| true);
        }
        // With an unhealthy cache, errors of the hosts behind it are attributed to the cache. The cost: if
        // both fail, each dispatcher has to find out about the parent alone.
        if unhealthy.caches > 0 || self.unhealthy_count(UsedBy::Location(self.location)) > 0 {
            self.suppress(now, |host| host.used_by == UsedBy::All);
        }
        let due: Vec<_> = self
            .own_findings
            .iter()
            .filter(|(_, finding)| finding.next_publish <= now)
            .map(|(key, finding)| (*key, *finding))
            .collect();
        for (key, finding) in due {
            self.publish_finding(now, key, finding);
        }
    }

    /// The hosts that own findings call unhealthy.
    fn count_own_unhealthy(&self) -> GroupCounts {
        let unhealthy = self.own_findings.keys().filter(|key| key.1 == Topic::Unhealthy);
        GroupCounts::of(unhealthy.filter_map(|key| self.hosts.get(&key.0)))
    }

    fn publish_finding(&mut self, now: Time, key: (HostId, Topic), finding: OwnFinding) {
        let (since, kind, evidence) = (finding.since, finding.kind, finding.evidence.min(MAX_EVIDENCE));
        let age = now - finding.evidence_at;
        let pause = self.settings.hold_time.times(REPUBLISH_FRACTION * self.rng.gen_range(0.8..1.0));
        self.own_findings
            .insert(key, OwnFinding { is_published: true, next_publish: now + pause, ..finding });
        let left = Span(self.settings.hold_time.0.saturating_sub(age.0));
        if let Some(host) = self.hosts.get_mut(&key.0).filter(|_| key.1 == Topic::Unhealthy) {
            host.is_published = true;
        }
        self.publish(key, Statement::Found { since, kind, evidence, age }, left);
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
        if let Some(listed) = self.hosts.get_mut(&host) {
            (listed.publish_after, listed.is_published) = (now + pause, false);
        }
        self.publish((host, Topic::Unhealthy), statement, self.settings.hold_time);
    }

    fn publish(&mut self, (host, topic): (HostId, Topic), statement: Statement, ttl: Span) {
        self.sequence += 1;
        let key = [&[b'v', topic as u8][..], &host.0.to_be_bytes()].concat();
        let message = Message { incarnation: self.incarnation, sequence: self.sequence, host, statement };
        self.effects.push_back(Effect::Publish { key, message, ttl });
    }
}
