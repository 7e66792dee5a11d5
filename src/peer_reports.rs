//! Bookkeeping of other dispatchers' reports on hosts. Without reports a dispatcher decides on its own.
use crate::calls::ReportedCondition;
use crate::host::PeerReport;
use crate::ids::HostId;
use crate::state::{DecisionEngine, Timer};
use crate::time::Time;

/// A report as it arrives from other dispatchers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncomingReport {
    pub host: HostId,
    /// Start of the process that it is about.
    pub since: Option<Time>,
    pub condition: ReportedCondition,
    pub expires_at: Time,
}

/// What an incoming report changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportEffect {
    Ignored,
    /// It ends an earlier report before its time.
    Retracted,
    InForce,
}

impl DecisionEngine {
    /// Records a report on a listed host. Reports on another process than the present one are ignored, and so
    /// are bad reports on a host without peers.
    pub(crate) fn record_peer_report(&mut self, now: Time, incoming: IncomingReport) -> ReportEffect {
        let listed = self
            .hosts
            .get(&incoming.host)
            .filter(|h| !h.is_gone() && (self.is_cache(h) || self.is_parent(h)))
            .filter(|h| h.listed_start == incoming.since);
        let Some(host) = listed else { return ReportEffect::Ignored };
        let is_present_process = host.entry.started_at == incoming.since;
        if now >= incoming.expires_at {
            // The report is retracted, also if the process is known to be new by now.
            return self.end_peer_report(now, incoming);
        }
        let is_bad = incoming.condition == ReportedCondition::Bad;
        if !is_present_process || is_bad && self.peers(incoming.host).next().is_none() {
            return ReportEffect::Ignored;
        }
        if is_bad {
            self.start_peer_report(now, incoming);
        }
        ReportEffect::InForce
    }

    fn end_peer_report(&mut self, now: Time, incoming: IncomingReport) -> ReportEffect {
        let host = self.hosts.get_mut(&incoming.host);
        let Some(report) = host.and_then(|host| host.peer_report.as_mut()) else {
            return ReportEffect::Ignored;
        };
        let is_early = report.is_in_force(now);
        (report.expires_at, report.timer_at) = (incoming.expires_at, incoming.expires_at);
        self.timers.push(incoming.expires_at, Timer::PeerReport(incoming.host));
        if is_early {
            ReportEffect::Retracted
        } else {
            ReportEffect::Ignored
        }
    }

    /// Replaces the report on a host. Own successes since an earlier one that is still in force count on.
    fn start_peer_report(&mut self, now: Time, incoming: IncomingReport) {
        let Some(host) = self.hosts.get_mut(&incoming.host) else { return };
        let expires_at = incoming.expires_at;
        let current = host.peer_report.filter(|report| report.is_in_force(now));
        let pending_timer_at =
            host.peer_report.map(|report| report.timer_at).filter(|timer_at| *timer_at <= expires_at);
        if pending_timer_at.is_none() {
            self.timers.push(expires_at, Timer::PeerReport(incoming.host));
        }
        host.peer_report = Some(PeerReport {
            expires_at,
            timer_at: pending_timer_at.unwrap_or(expires_at),
            own_successes: current.map_or(0, |report| report.own_successes),
        });
    }

    /// Removes the report on a host if it has expired, and returns whether it did.
    pub(crate) fn remove_expired_report(&mut self, now: Time, id: HostId) -> bool {
        let Some(host) = self.hosts.get_mut(&id) else { return false };
        let Some(report) = host.peer_report.as_mut().filter(|report| report.timer_at <= now) else {
            return false;
        };
        if report.is_in_force(now) {
            report.timer_at = report.expires_at;
            self.timers.push(report.expires_at, Timer::PeerReport(id));
            return false;
        }
        host.peer_report = None;
        true
    }
}
