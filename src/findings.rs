//! Conditions of hosts by this dispatcher's own evidence, for reports to other dispatchers.
use crate::calls::{EjectionCause, Finding, HostCondition};
use crate::circuit_breaker::TRIALS_TO_RECOVER;
use crate::host::{Host, OWN_SUCCESS_VALIDITY};
use crate::ids::HostId;
use crate::state::DecisionEngine;
use crate::time::{Span, Time};

/// A host counts as unreachable if it answered nothing for this long before the last evidence.
const UNREACHED_MIN: Span = OWN_SUCCESS_VALIDITY;

impl DecisionEngine {
    /// Hosts' conditions by this dispatcher's own evidence. Reports of others are left out, and so are hosts
    /// whose last trials succeeded.
    pub fn findings(&self, now: Time) -> impl Iterator<Item = Finding> + '_ {
        let listed = self.hosts.values().filter(|host| !host.is_gone());
        listed
            .filter_map(move |host| Self::ejection_finding(host).or_else(|| self.restart_finding(now, host)))
    }

    fn ejection_finding(host: &Host) -> Option<Finding> {
        let breaker = host.breaker.filter(|breaker| {
            breaker.cause != EjectionCause::Reported && breaker.trials_passed + 1 < TRIALS_TO_RECOVER
        })?;
        let is_unreachable =
            host.is_connection_broken || host.last_answer_at + UNREACHED_MIN < breaker.last_evidence_at;
        Some(Finding {
            host: host.entry.host,
            since: host.listed_start,
            condition: HostCondition::Ejected { cause: breaker.cause, is_unreachable },
            evidence_count: breaker.evidence_count.max(1),
            last_evidence_at: breaker.last_evidence_at,
        })
    }

    fn restart_finding(&self, now: Time, host: &Host) -> Option<Finding> {
        let detected_at = host.restart_detected_at.filter(|at| host.entry.started_at == Some(*at))?;
        self.cold_budget(now, host.entry.host)?;
        Some(Finding {
            host: host.entry.host,
            since: host.listed_start,
            condition: HostCondition::Restarted,
            evidence_count: TRIALS_TO_RECOVER,
            last_evidence_at: detected_at,
        })
    }

    /// Hosts reported as bad with which enough own hand-offs in a row have succeeded since.
    pub fn refuted_reports(&self, now: Time) -> impl Iterator<Item = HostId> + '_ {
        let refuted = move |host: &&Host| host.peer_report.is_some_and(|report| report.is_refuted(now));
        self.hosts.values().filter(refuted).map(|host| host.entry.host)
    }

    /// Hosts that are ejected, and why.
    pub fn ejected_hosts(&self) -> impl Iterator<Item = (HostId, EjectionCause)> + '_ {
        self.hosts.values().filter_map(|host| Some((host.entry.host, host.breaker?.cause)))
    }
}
