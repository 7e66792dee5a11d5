//! The runner of a rollout: which member it is, and when it promotes or halts.
use super::state::{Change, KnownRunner, Peer, PendingChange, Rollout};
use super::step::{Halt, Phase, Step};
use super::version::Version;
use crate::common::MemberId;
use cherrypass::time::Time;
use rand::Rng;

impl Rollout {
    /// The runner, unless it has not been heard for too long.
    pub(super) fn present_runner(&self, now: Time) -> Option<KnownRunner> {
        self.runner.filter(|runner| now - runner.last_heard < self.settings.runner_timeout)
    }

    /// Resets what was counted for the stage, after a new step.
    pub(super) fn reset_stage(&mut self) {
        self.stage_first_window = self.next_window;
        (self.stage_visits, self.comparisons, self.next_comparison, self.has_passed) = (0, 0, 0, false);
    }

    pub(super) fn step_down(&mut self, now: Time) {
        self.running_since = None;
        self.take_over_at = now + self.settings.runner_timeout;
        if !self.is_order_pending() {
            (self.pending_change, self.attempt) = (None, None);
        }
    }

    fn is_majority_reachable(&self, now: Time) -> bool {
        let is_reachable =
            |peer: &Peer| peer.last_heard.is_some_and(|at| now - at <= self.settings.silence_limit);
        self.peers.values().filter(|peer| is_reachable(peer)).count() + 1 >= self.majority()
    }

    /// Runs the rollout, if this member is the runner or becomes it.
    pub(super) fn drive_rollout(&mut self, now: Time) {
        // Guards against halts by a runner that hears nobody because of its own link.
        if self.running_since.is_some() && !(self.is_able() && self.is_majority_reachable(now)) {
            return self.step_down(now);
        }
        if self.running_since.is_none() && !self.try_take_over(now) {
            return;
        }
        let (step, latest) = (self.state.chosen, self.latest());
        if let Some(halt) = self.state.halt.clone().filter(|_| latest.promotes() && self.is_halted(&latest)) {
            return self.settle_halt(now, halt);
        }
        if latest.at > step.at {
            // Finishes a change that another member began.
            if self.pending_change.is_none() && now >= self.next_attempt_at {
                self.begin_attempt(now, None);
            }
            return;
        }
        if step.phase == Phase::Rolling && self.pending_change.is_none() {
            self.evaluate_stage(now, step);
        }
    }

    /// Becomes the runner if there has been none for long enough.
    fn try_take_over(&mut self, now: Time) -> bool {
        if self.present_runner(now).is_some() || !self.is_able() || !self.is_majority_reachable(now) {
            self.take_over_at =
                self.take_over_at.max(now + self.settings.runner_timeout.times(self.rng.gen_range(0.1..0.5)));
            return false;
        }
        if now < self.take_over_at {
            return false;
        }
        self.running_since = Some(now);
        self.runner = None;
        for peer in self.peers.values_mut() {
            (peer.windows_seen, peer.restarts) = (0, 0);
            peer.windows.clear();
        }
        self.reset_stage();
        self.next_hello = now;
        true
    }

    /// Changes the step because of a known halt, also where the version is in force everywhere: the member
    /// that halted had not heard of that.
    fn settle_halt(&mut self, now: Time, halt: Halt) {
        let is_settling = self.attempt.as_ref().is_some_and(|attempt| !attempt.is_promoting());
        let has_pending_halt =
            matches!(self.pending_change, Some(PendingChange { change: Change::Halt(_), .. }));
        if !is_settling && !has_pending_halt && !self.is_order_pending() {
            self.attempt = None;
            self.set_pending_change(now, Change::Halt(halt));
        }
    }

    /// Halts the rollout, waits, or promotes it to the next stage.
    fn evaluate_stage(&mut self, now: Time, step: Step) {
        let Some(version) = self.documents.get(&step.version).cloned() else { return };
        let lacks_version = match self.check_dispatchers(now, &step, &version) {
            Ok(lacks_version) => lacks_version,
            Err(reason) => return self.halt(now, reason),
        };
        if self.halt_if_worse(now, step, &version, false) {
            return;
        }
        if now < self.step_learned + version.plan.hold {
            return;
        }
        let has_enough_visits = self.stage_visits >= version.plan.visits;
        let has_passed = self.has_passed || step.resumed == Some(step.stage);
        if lacks_version.is_none() && has_enough_visits && has_passed {
            if !self.halt_if_worse(now, step, &version, true) {
                self.set_pending_change(now, Change::Promote(step));
            }
            return;
        }
        self.halt_if_overdue(now, &step, &version, lacks_version);
    }

    /// Checks the dispatchers that should have the version. Returns one that lacks it, if any; the error is
    /// the reason of a halt.
    fn check_dispatchers(
        &self,
        now: Time,
        step: &Step,
        version: &Version,
    ) -> Result<Option<MemberId>, String> {
        let since = self.running_since.unwrap_or(now);
        let mut lacks_version = None;
        for id in version.included_dispatchers(&self.listed, step.stage) {
            let Some(peer) = self.peers.get(&id) else {
                if self.active != step.version {
                    lacks_version = Some(id);
                }
                continue;
            };
            let silent = now - peer.last_heard.unwrap_or(since).max(since);
            let fault = if peer.is_dead {
                Some("died")
            } else if silent > self.settings.silence_limit {
                Some("is unreachable")
            } else if peer.starts.max(peer.restarts) >= 2 {
                Some("was restarted twice")
            } else {
                None
            };
            if let Some(fault) = fault {
                return Err(format!("dispatcher {:016x}, which has the version, {fault}", id.0));
            }
            if peer.in_force != version.number {
                lacks_version = Some(id);
            }
        }
        if self.state.starts >= 2 {
            let own = self.own.0;
            return Err(format!("dispatcher {own:016x}, which has the version, was restarted twice"));
        }
        Ok(lacks_version)
    }

    /// Halts a stage that is not complete long after its hold.
    fn halt_if_overdue(
        &mut self,
        now: Time,
        step: &Step,
        version: &Version,
        lacks_version: Option<MemberId>,
    ) {
        // A new runner first has to receive the members' windows again.
        let since = self.step_learned.max(self.running_since.unwrap_or(now));
        if now - since <= version.plan.hold + self.settings.stage_overtime {
            return;
        }
        let why = match lacks_version {
            Some(id) => format!("dispatcher {:016x} has not put the version in force", id.0),
            None => format!("too few figures: {} of {} visits", self.stage_visits, version.plan.visits),
        };
        self.halt(now, format!("stage {}: {why}", step.stage));
    }
}
