//! The replicated register: its steps and ballots, halts, and what a member keeps of them on disk.
use super::version::{Version, VersionId};
use crate::common::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The phase of a rollout. Its lower-case name is written to the status and the events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The version is in force everywhere.
    #[default]
    Full,
    /// The version is being rolled out.
    Rolling,
    /// Halted: dispatchers that have the version keep it.
    Halted,
    /// Rolled back: the base is in force everywhere again.
    Back,
}

/// The state of the rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Counts the changes of the step.
    pub at: u64,
    pub version: VersionId,
    /// The version that was in force everywhere before.
    pub base: VersionId,
    /// Counts resumes; a halt applies to one run.
    pub run: u32,
    /// 0: a part of the first location; k: the first k locations.
    pub stage: u16,
    /// The stage in which an operator resumed the rollout; it has no windows before the version to compare
    /// with.
    pub resumed: Option<u16>,
    pub phase: Phase,
}

impl Step {
    /// Whether more dispatchers may get the version by this step.
    pub fn promotes(&self) -> bool {
        matches!(self.phase, Phase::Rolling | Phase::Full) && self.at > 0
    }

    /// The version number and run, to which a halt applies.
    pub(super) fn key(&self) -> (u64, u32) {
        (self.version.number, self.run)
    }
}

/// A halt of one version and run; the first one is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    pub number: u64,
    pub run: u32,
    pub by: MemberId,
    pub why: String,
}

/// A ballot of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: MemberId,
    /// Ensures that a process that lost its ballots can't use one again.
    pub incarnation: Incarnation,
}

impl Default for Ballot {
    fn default() -> Ballot {
        Ballot { round: 0, proposer: MemberId(0), incarnation: Incarnation(0) }
    }
}

/// All that a member keeps on disk besides the documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Of several states the one with the highest count is the latest.
    pub count: u64,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Step)>,
    /// The latest step known to be accepted by a majority.
    pub chosen: Step,
    pub halt: Option<Halt>,
    /// The latest runs of members that caught up after a start: answers of earlier runs are void.
    pub incarnations: BTreeMap<MemberId, Incarnation>,
    pub in_force: VersionId,
    /// Restarts of the process since it put the version in force.
    pub starts: u8,
}

/// A record on disk. Only the latest state and the documents that it names are needed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    State(Box<State>),
    Document(Version),
}
