//! Probes of a third member on behalf of another.
use super::messages::Body;
use super::state::{Members, RelayedProbe};
use crate::common::MemberId;
use cherrypass::time::Time;

/// Bound on relayed probes.
const MAX_RELAYED_PROBES: usize = 256;

impl Members {
    /// Probes a third member on behalf of another.
    pub(super) fn handle_ping_request(
        &mut self,
        now: Time,
        requester: MemberId,
        requester_sequence: u32,
        target: MemberId,
    ) {
        let Some(i) = self.table.find(target).filter(|_| !self.is_inactive()) else { return };
        if i == self.own {
            return self.send(requester, Body::Ack { sequence: requester_sequence }, None);
        }
        let is_same = |probe: &RelayedProbe| {
            probe.requester == requester
                && probe.requester_sequence == requester_sequence
                && probe.target == i
        };
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || self.relayed_probes.iter().any(is_same) {
            return;
        }
        let sequence = self.next_sequence();
        self.relayed_probes.push(RelayedProbe {
            requester,
            requester_sequence,
            sequence,
            target: i,
            sent: now,
            resend_at: now + self.settings.retry_interval,
        });
        self.send(target, Body::Ping { sequence }, None);
    }

    /// Passes the answer to a relayed probe on to the member that requested it.
    pub(super) fn relay_ack(&mut self, i: usize, sequence: u32) {
        let is_probe = |probe: &RelayedProbe| probe.target == i && probe.sequence == sequence;
        let Some(at) = self.relayed_probes.iter().position(is_probe) else { return };
        let probe = self.relayed_probes.swap_remove(at);
        self.send_ping_result(&probe, true);
    }

    fn send_ping_result(&mut self, probe: &RelayedProbe, is_reachable: bool) {
        let target = self.table.entries[probe.target].id;
        let body = Body::PingResult { sequence: probe.requester_sequence, target, is_reachable };
        self.send(probe.requester, body, Some(probe.target));
    }

    pub(super) fn check_relayed_probes(&mut self, now: Time) {
        let mut probes = std::mem::take(&mut self.relayed_probes);
        probes.retain_mut(|probe| self.check_relayed_probe(now, probe));
        self.relayed_probes = probes;
    }

    /// Reports the result of a relayed probe, or sends it again. False when it has ended.
    fn check_relayed_probe(&mut self, now: Time, probe: &mut RelayedProbe) -> bool {
        let entry = &self.table.entries[probe.target];
        let (target, is_reachable) = (entry.id, entry.last_heard > probe.sent);
        let phi = self.settings.phi_thresholds[1];
        let timeout = self.links.timeout(phi, Some(&entry.response_times), &self.settings);
        if is_reachable || now - probe.sent > timeout {
            // With degraded links this member's own view of silence is worthless.
            if is_reachable || !self.links_degraded {
                self.send_ping_result(probe, is_reachable);
            }
            return false;
        }
        if now >= probe.resend_at {
            probe.resend_at = now + self.settings.retry_interval;
            self.send(target, Body::Ping { sequence: probe.sequence }, None);
        }
        true
    }
}
