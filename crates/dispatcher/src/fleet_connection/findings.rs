//! Sends own findings about hosts to the fleet, and which hosts the module has ejected.
use super::state::{FindingKey, FleetConnection, SentFinding};
use cherrypass::calls::{EjectionCause, HostCondition};
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::HostId;
use cherrypass::time::Time;
use cherrypass_peers::{Finding, FindingKind, ToFleet};
use std::collections::BTreeMap;

fn finding_kind(condition: HostCondition) -> FindingKind {
    match condition {
        HostCondition::Restarted => FindingKind::Restarted,
        HostCondition::Ejected { cause: EjectionCause::Silent, .. }
        | HostCondition::Ejected { is_unreachable: true, .. } => FindingKind::Unreachable,
        HostCondition::Ejected { .. } => FindingKind::Failing,
    }
}

impl FleetConnection {
    /// Sends findings about hosts that are new or have changed, and those that have ended.
    pub(super) fn send_findings(&mut self, engine: &DecisionEngine, now: Time) {
        let current = self.send_changed_findings(engine, now);
        let cleared = self.sent_findings.keys().filter(|key| !key.is_restart && !current.contains_key(key));
        cleared.for_each(|key| (self.send)(ToFleet::Recovery(key.host)));
        self.sent_findings = current;
        self.send_refuted_reports(engine, now);
    }

    /// Sends findings that are new or have changed; returns all findings.
    fn send_changed_findings(&self, engine: &DecisionEngine, now: Time) -> BTreeMap<FindingKey, SentFinding> {
        let mut current = BTreeMap::new();
        for finding in engine.findings(now) {
            let (host, kind, evidence) =
                (finding.host, finding_kind(finding.condition), finding.evidence_count);
            let key = FindingKey { host, is_restart: kind == FindingKind::Restarted };
            let started = self.starts.get(&host).and_then(|start| start.listed);
            let content = SentFinding { kind, evidence, started };
            if self.sent_findings.get(&key) != Some(&content) {
                let age = now - finding.last_evidence_at;
                (self.send)(ToFleet::Finding(Finding { host, started_at: started, kind, evidence, age }));
            }
            current.insert(key, content);
        }
        current
    }

    /// Tells the fleet, once per report, that own hand-offs to a reported host succeed.
    fn send_refuted_reports(&mut self, engine: &DecisionEngine, now: Time) {
        for host in engine.refuted_reports(now) {
            if let Some(report) = self.reported_hosts.get_mut(&host).filter(|report| !report.is_refuted) {
                report.is_refuted = true;
                (self.send)(ToFleet::VerdictRefuted(host));
            }
        }
    }

    /// Sends which hosts were ejected or returned.
    pub(super) fn send_ejections(&mut self, engine: &DecisionEngine) {
        let ejected: BTreeMap<HostId, bool> =
            engine.ejected_hosts().map(|(host, cause)| (host, cause == EjectionCause::Reported)).collect();
        for (host, by_report) in
            ejected.iter().filter(|(host, by_report)| self.ejected.get(host) != Some(by_report))
        {
            self.counters.ejected += u64::from(!self.ejected.contains_key(host));
            (self.send)(ToFleet::HostEjected { host: *host, by_reports: *by_report });
        }
        for host in self.ejected.keys().filter(|host| !ejected.contains_key(host)) {
            (self.send)(ToFleet::HostReadmitted { host: *host });
        }
        self.ejected = ejected;
    }
}
