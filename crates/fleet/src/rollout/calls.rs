//! What passes between a member and its caller: effects, orders and the status.
use super::messages::RolloutMessage;
use super::step::{Halt, Record, Step};
use super::version::Version;
use crate::common::MemberId;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: RolloutMessage,
    },
    /// Write and sync a record, then call `record_written` with the ticket. There is one at a time.
    Store {
        ticket: u64,
        record: Record,
    },
    /// Put these rules in force (number 0 without a text: those of the operators' file alone), or call
    /// `version_rejected`.
    ApplyRules {
        number: u64,
        text: String,
    },
    Log(String),
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Starts the rollout of a version.
    Start(Version),
    Halt,
    /// Continues a halted rollout.
    Resume,
    /// Rolls the latest version back.
    Back,
}

/// A member's view of the rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub step: Step,
    /// The step this member accepted and does not know to be chosen: it may still be, halted or not.
    pub unconfirmed_step: Option<Step>,
    pub stages: u16,
    pub halt: Option<Halt>,
    pub in_force: u64,
    /// The member that runs the rollout, as far as known here.
    pub runner: Option<MemberId>,
    /// Whether this member takes part: it has caught up and its store can be written.
    pub is_able: bool,
    /// What an order or the next stage waits for, in one line; at most 8 members are named.
    pub waiting_for: Option<String>,
}
