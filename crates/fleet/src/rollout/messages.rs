//! Messages between members.
use super::figures::WindowFigures;
use super::step::{Ballot, Halt, State, Step};
use super::version::{Version, VersionId};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub(super) incarnation: Incarnation,
    /// Whether it takes part, and whether it runs the rollout.
    pub(super) is_able: bool,
    pub(super) is_runner: bool,
    pub(super) step: Step,
    pub(super) halt: Option<Halt>,
    pub(super) in_force: u64,
    pub(super) starts: u8,
    /// The run of the receiver's process, and the number of its last window that was received.
    pub(super) windows_seen: (Incarnation, u64),
    /// Windows with their numbers and the time since each was closed.
    pub(super) windows: Vec<(u64, Span, WindowFigures)>,
}

/// A message between members. Encoded by position (postcard): the order of variants and fields must not
/// change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    Hello(Box<Hello>),
    /// Requests a document.
    RequestDocument(VersionId),
    Document(Version),
    /// Asks for the receiver's state, after a start.
    CatchUp(Incarnation),
    /// The answer to `CatchUp`.
    CatchUpAnswer {
        to: Incarnation,
        /// Whether the sender has caught up itself.
        has_caught_up: bool,
        state: Box<State>,
    },
    /// Asks for a promise not to accept lower ballots.
    Prepare(Ballot),
    Promise {
        ballot: Ballot,
        incarnation: Incarnation,
        accepted: Option<(Ballot, Step)>,
        incarnations: BTreeMap<MemberId, Incarnation>,
    },
    /// Asks to accept a step.
    Accept(Ballot, Step),
    Accepted {
        ballot: Ballot,
        incarnation: Incarnation,
        incarnations: BTreeMap<MemberId, Incarnation>,
    },
    /// Rejects a ballot because of a higher one or of a halt.
    Refuse {
        ballot: Ballot,
        higher: Ballot,
        halt: Option<Halt>,
    },
}
