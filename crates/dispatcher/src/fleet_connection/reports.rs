//! Passes other dispatchers' reports on hosts to the module.
use super::state::{module_time, FleetConnection, ReportedHost};
use crate::clock;
use cherrypass::calls::ReportedCondition;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::HostId;
use cherrypass::time::{Time, UnixTime};
use std::time::Instant;

impl FleetConnection {
    /// Others report that a host has restarted.
    pub(super) fn host_restarted(
        &mut self,
        engine: &mut DecisionEngine,
        host: HostId,
        started: Option<UnixTime>,
        until: Instant,
    ) {
        // Only once per start: a later start in the list takes precedence over repeated reports.
        if self.restarted_hosts.insert(host, started) != Some(started) {
            let start = self.start_of(host, started);
            let condition = ReportedCondition::Restarted;
            engine.apply_peer_report(clock::now(), host, start, condition, module_time(until));
        }
    }

    /// Others report that a host is bad.
    pub(super) fn host_reported(
        &mut self,
        engine: &mut DecisionEngine,
        host: HostId,
        started: Option<UnixTime>,
        until: Instant,
    ) {
        let earlier = self.reported_hosts.get(&host);
        let is_refuted = earlier.is_some_and(|report| report.is_refuted && report.started == started);
        self.reported_hosts.insert(host, ReportedHost { started, until, is_refuted });
        let start = self.start_of(host, started);
        engine.apply_peer_report(clock::now(), host, start, ReportedCondition::Bad, module_time(until));
    }

    /// Passes the reports in force to the module, with the time that they have left.
    pub(super) fn renew_reports(&mut self, engine: &mut DecisionEngine, now: Time, instant: Instant) {
        self.reported_hosts.retain(|_, report| instant < report.until);
        for (host, report) in &self.reported_hosts {
            let start = self.start_of(*host, report.started);
            engine.apply_peer_report(now, *host, start, ReportedCondition::Bad, module_time(report.until));
        }
    }

    /// Withdraws other dispatchers' report on a host from the module.
    pub(super) fn withdraw_report(&mut self, engine: &mut DecisionEngine, host: HostId) {
        if let Some(report) = self.reported_hosts.remove(&host) {
            let now = clock::now();
            let start = self.start_of(host, report.started);
            engine.apply_peer_report(now, host, start, ReportedCondition::Bad, now);
        }
    }

    /// The start in the module's time of the process that members identify by its listed start. If that is
    /// not the start listed here, a value that matches no host.
    fn start_of(&self, host: HostId, started: Option<UnixTime>) -> Option<Time> {
        let start = self.starts.get(&host).filter(|start| start.listed == started);
        start.map_or(Some(Time::default()), |start| start.in_module)
    }
}
