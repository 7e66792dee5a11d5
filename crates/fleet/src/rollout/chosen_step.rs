//! Chosen steps: how this member learns of them, and which rules it puts in force because of them.
use super::calls::Effect;
use super::state::{Change, Rollout, MAX_NUMBER_JUMP, MAX_REASON_CHARS};
use super::step::{Phase, Step};
use super::version::{Version, VersionId};
use crate::common::MemberId;
use cherrypass::time::Time;

/// A step with a higher run is rejected as invalid.
const MAX_RUN: u32 = 1 << 20;

impl Rollout {
    /// Learns a chosen step that another member reported.
    pub(super) fn learn_step(&mut self, now: Time, from: MemberId, step: Step) {
        if step.at <= self.state.chosen.at
            || step.at > self.state.chosen.at + MAX_NUMBER_JUMP
            || step.run > MAX_RUN
        {
            return;
        }
        // The step is reported again; until then the old one stays.
        if self.request_missing_document(from, &step) {
            return;
        }
        let old = self.state.chosen;
        self.state.chosen = step;
        self.is_dirty = true;
        if old.key() != step.key() {
            self.state.starts = 0;
            self.rejected_version = None;
        }
        self.step_learned = now;
        self.reset_stage();
        self.pending_change = self.pending_change.take().filter(|pending| {
            pending.is_order || !matches!(pending.change, Change::Promote(_) | Change::Halt(_))
        });
        self.apply_chosen_step(now);
        self.prune_documents();
    }

    /// Puts in force what the chosen step requires.
    pub(super) fn apply_chosen_step(&mut self, now: Time) {
        let step = self.state.chosen;
        if step.at == 0 {
            return;
        }
        let due = self.due_version(&step);
        let is_in_force = due == self.state.in_force && due == self.active;
        let is_rejected = self.rejected_version == Some((due.number, step.run));
        let lacks_document = due.number > 0 && !self.documents.contains_key(&due);
        if is_in_force || is_rejected || lacks_document {
            return;
        }
        if due != self.state.in_force {
            self.state.in_force = due;
            self.state.starts = 0;
            self.is_dirty = true;
            self.step_learned = now;
        }
        if step.phase == Phase::Back {
            // Rolls back at once, without waiting for the disk.
            self.put_in_force(due);
        } else {
            self.apply_after_record(due);
        }
    }

    /// The version that a step requires here.
    fn due_version(&self, step: &Step) -> VersionId {
        let includes = |version: &Version| version.includes(&self.listed, step.stage, self.own);
        let is_included = self.documents.get(&step.version).is_some_and(includes);
        match step.phase {
            Phase::Full if self.active == step.version || !self.is_halted(step) => step.version,
            Phase::Back => step.base,
            // A version that still waits for the disk is not in force yet.
            Phase::Rolling | Phase::Halted if self.active == step.version => self.active,
            // Guards against spreading a version after a halt: a member that knows of the halt does not put
            // it in force.
            Phase::Rolling if is_included && !self.is_halted(step) => step.version,
            Phase::Full | Phase::Rolling | Phase::Halted => step.base,
        }
    }

    /// After a start: puts the stored version in force again, and counts the start while it is rolled out.
    pub(super) fn restore_rules_in_force(&mut self) {
        let in_force = self.state.in_force;
        if in_force.number == 0 {
            return;
        }
        if in_force == self.state.chosen.version && self.state.chosen.phase == Phase::Rolling {
            self.state.starts = self.state.starts.saturating_add(1);
            self.is_dirty = true;
        }
        self.put_in_force(in_force);
    }

    pub(super) fn put_in_force(&mut self, id: VersionId) {
        let text = self.documents.get(&id).map(|version| version.text.clone());
        if id.number == 0 || text.is_some() {
            let (number, text) = (id.number, text.unwrap_or_default());
            self.active = id;
            if self.open_window.window.number != Some(number) {
                self.open_window.window.number = None;
            }
            self.effects.push_back(Effect::ApplyRules { number, text });
        }
    }

    /// The version could not be put in force; the one before stays. Counts as a halt.
    pub fn version_rejected(&mut self, now: Time, number: u64, why: &str) {
        if self.active.number != number || number == 0 {
            return;
        }
        let step = self.state.chosen;
        self.rejected_version = Some((number, step.run));
        let fallback = if step.base.number == number { VersionId::default() } else { step.base };
        let why: String = why.chars().filter(|c| !c.is_control()).take(MAX_REASON_CHARS).collect();
        self.log(format!(
            "rules {number} could not be put in force, {} stay in force: {why}",
            fallback.number
        ));
        self.state.in_force = fallback;
        self.open_window.window.number = None;
        self.active = fallback;
        self.state.starts = 0;
        self.is_dirty = true;
        if step.version.number == number && step.phase == Phase::Rolling {
            self.halt(now, format!("could not be put in force: {why}"));
        }
        self.flush(now);
    }
}
