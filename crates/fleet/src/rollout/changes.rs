//! Changes of the step.
use super::state::{Change, Rollout};
use super::step::{Halt, Phase, Step};
use super::version::{AfterHalt, Version, VersionId};

impl Rollout {
    /// The step after a change; none if the change does not fit the step.
    pub(super) fn apply_change(&self, change: &Change, step: Step) -> Option<Step> {
        match change {
            Change::Start(id) => start(*id, step),
            Change::Promote(from) => self.promote(from, step),
            Change::Halt(halt) => self.apply_halt(halt, step),
            Change::Resume(number) => resume(*number, step),
            Change::RollBack(number) => roll_back(*number, step),
        }
    }

    fn promote(&self, from: &Step, step: Step) -> Option<Step> {
        let at = step.at + 1;
        let version = self.documents.get(&step.version).filter(|_| *from == step)?;
        if step.phase != Phase::Rolling || self.is_halted(&step) {
            return None;
        }
        // Skips stages that add no dispatcher, such as after a first part that is the whole location.
        let have_now = version.included_dispatchers(&self.listed, step.stage);
        let adds_dispatchers =
            |stage: &u16| !version.included_dispatchers(&self.listed, *stage).is_subset(&have_now);
        let stage = (step.stage + 1..version.stages()).find(adds_dispatchers);
        Some(match stage {
            Some(stage) => Step { at, stage, ..step },
            None => Step { at, phase: Phase::Full, ..step },
        })
    }

    fn apply_halt(&self, halt: &Halt, step: Step) -> Option<Step> {
        // The last step can be halted too while not all know of it: it may not have been chosen.
        if !step.promotes() || step.key() != (halt.number, halt.run) {
            return None;
        }
        let rolls_back = |version: &Version| version.plan.after_halt == AfterHalt::Back;
        let rolls_back = self.documents.get(&step.version).is_some_and(rolls_back);
        let phase = if rolls_back { Phase::Back } else { Phase::Halted };
        Some(Step { at: step.at + 1, phase, ..step })
    }
}

fn start(id: VersionId, step: Step) -> Option<Step> {
    let base = match step.phase {
        Phase::Full => step.version,
        Phase::Back => step.base,
        Phase::Rolling | Phase::Halted => return None,
    };
    (id.number > step.version.number).then_some(Step {
        at: step.at + 1,
        version: id,
        base,
        run: 0,
        stage: 0,
        resumed: None,
        phase: Phase::Rolling,
    })
}

fn resume(number: u64, step: Step) -> Option<Step> {
    (step.phase == Phase::Halted && step.version.number == number).then_some(Step {
        at: step.at + 1,
        run: step.run + 1,
        resumed: Some(step.stage),
        phase: Phase::Rolling,
        ..step
    })
}

fn roll_back(number: u64, step: Step) -> Option<Step> {
    (step.phase != Phase::Back && step.version.number == number).then_some(Step {
        at: step.at + 1,
        phase: Phase::Back,
        ..step
    })
}

impl Change {
    /// Whether a chosen step shows that the change was made.
    pub(super) fn is_applied(&self, step: &Step) -> bool {
        match self {
            Change::Start(id) => step.version == *id,
            Change::Promote(from) => step.at > from.at,
            Change::Halt(_) => step.phase != Phase::Rolling,
            Change::Resume(_) => step.phase == Phase::Rolling,
            Change::RollBack(_) => step.phase == Phase::Back,
        }
    }
}
