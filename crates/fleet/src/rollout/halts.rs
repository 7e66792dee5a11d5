//! Halts, of this member and of others.
use super::state::{Attempt, Rollout, MAX_REASON_CHARS};
use super::step::Halt;
use cherrypass::time::Time;

impl Rollout {
    /// Halts the rollout here. The halt applies in memory at once and is sent even if it can't be written.
    pub(super) fn halt(&mut self, now: Time, why: String) {
        let Some(step) = self.rolling_step().filter(|step| !self.is_halted(step)) else { return };
        let halt = Halt { number: step.version.number, run: step.run, by: self.own, why };
        self.log(format!("rollout of rules {} halted: {}", halt.number, halt.why));
        self.record_halt(halt);
        self.next_hello = now;
        self.send_hellos(now);
    }

    pub(super) fn handle_halt(&mut self, mut halt: Halt) {
        let steps = [Some(self.state.chosen), self.state.accepted.map(|(_, step)| step)];
        let is_valid = steps.iter().flatten().any(|step| step.key() == (halt.number, halt.run));
        let is_newer =
            self.state.halt.as_ref().is_none_or(|own| (own.number, own.run) < (halt.number, halt.run));
        // A halt of an unknown version would block later ones.
        if is_valid && is_newer && self.listed.contains_key(&halt.by) {
            halt.why = halt.why.chars().filter(|c| !c.is_control()).take(MAX_REASON_CHARS).collect();
            self.log(format!("rollout of rules {} halted by another dispatcher: {}", halt.number, halt.why));
            self.record_halt(halt);
        }
    }

    /// Keeps a halt and stops what it voids.
    fn record_halt(&mut self, halt: Halt) {
        self.state.halt = Some(halt);
        self.is_dirty = true;
        // Guards against a version that is put in force after the write, although a halt arrived meanwhile.
        let step = self.state.chosen;
        if step.promotes() && self.is_halted(&step) && self.active != self.state.in_force {
            self.state.in_force = self.active;
        }
        if self.attempt.as_ref().is_some_and(Attempt::is_promoting) {
            self.attempt = None;
        }
    }
}
