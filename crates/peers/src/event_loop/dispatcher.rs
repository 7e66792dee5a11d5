//! Handles the messages of the dispatcher.
use super::texts::{host_name, key_name};
use super::{EventLoop, Role};
use crate::delivery::LogRead;
use crate::ToFleet;
use cherrypass::time::{Time, UnixTime};
use cherrypass_fleet::common::Incarnation;
use cherrypass_fleet::verdicts::Finding;
use serde_json::json;

fn host_incarnation(since: Option<UnixTime>) -> Option<Incarnation> {
    since.map(|since| Incarnation(since.0))
}

impl EventLoop {
    fn handle_log_read(&mut self, read: LogRead) {
        let Some(delivery) = &mut self.delivery else { return };
        let requested_at = read.requested_at.map(|at| self.clock.time(at));
        if let Some(message) = delivery.handle_log_read(requested_at, read) {
            (self.notify_dispatcher)(message);
        }
    }

    pub fn handle_dispatcher_message(&mut self, now: Time, message: ToFleet) {
        if let ToFleet::LogRead(read) = message {
            return self.handle_log_read(read);
        }
        let Role::Member(fleet) = &mut self.role else { return };
        match message {
            ToFleet::Demand { key, amount } => fleet.set_demand(now, key, amount),
            ToFleet::AllowanceApplied { key, number } => {
                // A confirmation of an older allowance is ignored: it would let a lowered share be lent too
                // early.
                if self.allowances.get(&key).is_some_and(|(last, _)| *last == number) {
                    fleet.confirm_applied(now, key);
                }
            }
            ToFleet::Finding(crate::Finding { host, started_at: since, kind, evidence, age }) => {
                fleet.report_finding(
                    now,
                    Finding { host, since: host_incarnation(since), kind, evidence, age },
                );
            }
            ToFleet::Recovery(host) => fleet.report_recovery(now, host),
            ToFleet::VerdictThresholds { reporters, location_fraction } => {
                fleet.set_verdict_thresholds(now, reporters, location_fraction)
            }
            ToFleet::VerdictRefuted(host) => fleet.refute_verdict(now, host),
            ToFleet::HostListed { host, started_at: since, used_by } => {
                fleet.update_host(now, host, host_incarnation(since), used_by)
            }
            ToFleet::HostUnlisted(host) => fleet.remove_host(now, host),
            ToFleet::Figures(figures) => fleet.report_figures(now, figures),
            ToFleet::RulesRejected { number, reason: why } => fleet.reject_rules(now, number, &why),
            ToFleet::Order(order) => {
                if let Some(Err(error)) = fleet.order(now, order) {
                    (self.log)(&format!("rollout: order rejected ({}): {error}", error.code()));
                }
            }
            ToFleet::PeakUse { .. } | ToFleet::HostEjected { .. } | ToFleet::HostReadmitted { .. } => {
                self.log_dispatcher_event(now, &message);
            }
            ToFleet::Stop | ToFleet::LogRead(_) => {}
        }
    }
    /// Writes what the dispatcher reports about itself to the event log.
    fn log_dispatcher_event(&mut self, now: Time, message: &ToFleet) {
        match message {
            ToFleet::PeakUse { key, amount } => {
                self.events.write_event(now, "use", |_| json!({ "key": key_name(*key), "amount": amount }));
            }
            ToFleet::HostEjected { host, by_reports } => {
                let why = if *by_reports { "told" } else { "own" };
                self.events.write_event(now, "shut", |_| json!({ "host": host_name(*host), "why": why }));
            }
            ToFleet::HostReadmitted { host } => {
                self.events.write_event(now, "back", |_| json!({ "host": host_name(*host) }));
            }
            _ => {}
        }
    }
}
