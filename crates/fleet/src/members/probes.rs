//! Probes of other members by this one, directly and through others.
use super::messages::Body;
use super::state::{LateProbe, Members, Probe, EXTRA_SYNCS};
use super::table::MemberState;
use crate::common::MemberId;
use cherrypass::time::{Span, Time};

/// Bound on timed-out probes whose late answer still counts.
const MAX_LATE_PROBES: usize = 64;

impl Members {
    /// Begins the probe of the next member.
    pub(super) fn start_probe(&mut self, now: Time) {
        let Some(target) = self.next_probe_target() else { return };
        let sequence = self.next_sequence();
        self.probes.push(Probe {
            target,
            sequence,
            sent: now,
            resend_at: now + self.settings.retry_interval,
            is_indirect: false,
            has_helper_answer: false,
            is_reported_silent: false,
        });
        self.send(self.table.entries[target].id, Body::Ping { sequence }, None);
    }

    /// Probes a member that is not alive: it may have returned.
    pub(super) fn probe_dead(&mut self) {
        let is_dead = |state| !matches!(state, MemberState::Alive | MemberState::Suspect);
        for i in self.pick_random(1, &[], is_dead) {
            let sequence = self.next_sequence();
            self.send(self.table.entries[i].id, Body::Ping { sequence }, None);
        }
    }

    /// Cycles through the members alive, in a new random order each time.
    fn next_probe_target(&mut self) -> Option<usize> {
        for _ in 0..2 {
            while let Some(i) = self.probe_queue.pop() {
                let is_probed = self.probes.iter().any(|probe| probe.target == i);
                if self.table.claim(i).state == MemberState::Alive && !is_probed {
                    return Some(i);
                }
            }
            self.probe_queue = self.pick_random(usize::MAX, &[], |state| state == MemberState::Alive);
        }
        None
    }

    pub(super) fn check_probes(&mut self, now: Time) {
        let mut probes = std::mem::take(&mut self.probes);
        probes.retain_mut(|probe| self.check_probe(now, probe));
        probes.append(&mut self.probes);
        self.probes = probes;
    }

    /// Sends a probe again, asks others to probe, suspects the target or abandons the probe. False when it
    /// has ended.
    fn check_probe(&mut self, now: Time, probe: &mut Probe) -> bool {
        let entry = &self.table.entries[probe.target];
        let silence = now - probe.sent.max(entry.last_heard);
        let [indirect_after, _, suspect_after, abandon_after] = self
            .settings
            .phi_thresholds
            .map(|phi| self.links.timeout(phi, Some(&entry.response_times), &self.settings));
        if silence > suspect_after && probe.is_reported_silent {
            self.record_outcome(true);
            self.suspect(now, probe.target);
            self.abandon(probe);
            return false;
        }
        if now - probe.sent > abandon_after {
            self.record_outcome(probe.has_helper_answer);
            self.abandon(probe);
            return false;
        }
        if now >= probe.resend_at {
            self.resend_probe(now, probe, indirect_after);
        }
        true
    }

    /// Sends a probe again, and asks others to probe after a silence of `indirect_after`.
    fn resend_probe(&mut self, now: Time, probe: &mut Probe, indirect_after: Span) {
        probe.resend_at = now + self.settings.retry_interval;
        self.send(self.table.entries[probe.target].id, Body::Ping { sequence: probe.sequence }, None);
        if now - probe.sent > indirect_after {
            let max = if probe.is_indirect { 1 } else { self.settings.indirect_probes };
            probe.is_indirect = true;
            self.probe_through_others(probe.sequence, probe.target, max);
        }
    }

    /// Records the outcome of a probe for the quality of the own links.
    fn record_outcome(&mut self, succeeded: bool) {
        self.links.record_outcome(succeeded);
        self.update_links_degraded();
    }

    fn record_response(&mut self, i: usize, took: Span) {
        self.links.record_response(took, &mut self.table.entries[i].response_times, &self.settings);
    }

    fn abandon(&mut self, probe: &Probe) {
        let Probe { sequence, target, sent, .. } = *probe;
        self.late_probes.push_back(LateProbe { sequence, target, sent });
        if self.late_probes.len() > MAX_LATE_PROBES {
            self.late_probes.pop_front();
        }
    }

    pub(super) fn probe_through_others(&mut self, sequence: u32, target_index: usize, max: usize) {
        let target = self.table.entries[target_index].id;
        for i in self.pick_random(max, &[target_index], |state| state == MemberState::Alive) {
            self.send(self.table.entries[i].id, Body::PingRequest { sequence, target }, Some(target_index));
        }
    }

    fn update_links_degraded(&mut self) {
        let Some(degraded) = self.links.are_degraded().filter(|degraded| *degraded != self.links_degraded)
        else {
            return;
        };
        self.links_degraded = degraded;
        if !degraded {
            // Refutations may have been lost meanwhile.
            self.restart_suspicions(self.last_tick);
            self.extra_syncs = EXTRA_SYNCS;
        }
    }

    /// Handles the answer to a probe, which may be one on behalf of another member.
    pub(super) fn handle_ack(&mut self, now: Time, i: usize, sequence: u32) {
        self.handle_own_ack(now, i, sequence);
        self.relay_ack(i, sequence);
    }

    fn handle_own_ack(&mut self, now: Time, i: usize, sequence: u32) {
        let is_probe = |probe: &Probe| probe.target == i && probe.sequence == sequence;
        if let Some(at) = self.probes.iter().position(is_probe) {
            let probe = self.probes.swap_remove(at);
            self.record_response(i, now - probe.sent);
            return self.record_outcome(true);
        }
        let is_late_probe = |late: &LateProbe| late.target == i && late.sequence == sequence;
        if let Some(at) = self.late_probes.iter().position(is_late_probe) {
            let sent = self.late_probes.remove(at).map_or(now, |late| late.sent);
            self.record_response(i, now - sent);
        }
    }

    /// Handles the result of a probe through another member.
    pub(super) fn handle_ping_result(
        &mut self,
        now: Time,
        sequence: u32,
        target: MemberId,
        is_reachable: bool,
    ) {
        let is_probe =
            |probe: &Probe| probe.sequence == sequence && self.table.entries[probe.target].id == target;
        let Some(at) = self.probes.iter().position(is_probe) else { return };
        if !is_reachable {
            (self.probes[at].has_helper_answer, self.probes[at].is_reported_silent) = (true, true);
            return;
        }
        let probe = self.probes.swap_remove(at);
        self.record_response(probe.target, now - probe.sent);
        self.record_outcome(true);
    }
}
