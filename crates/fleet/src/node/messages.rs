//! Messages between nodes, and the effects that the caller carries out.
use crate::common::{Incarnation, MemberId};
use crate::limits::LimitKey;
use crate::members::MemberState;
use crate::verdicts::FindingKind;
use crate::{feed, limits, members, rollout};
use cherrypass::ids::HostId;
use cherrypass::time::{Span, Time};

/// A message between members.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Members(members::Message),
    Limits(limits::Message),
    Feed(feed::FeedMessage),
    Rollout(rollout::RolloutMessage),
}

/// Why a message was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The sender is not listed, or is a follower and sent a message that only members send.
    UnlistedSender,
    /// The sender's run is outdated, or its start is too far in the future.
    InvalidRun,
    /// The component it is for is off here.
    ComponentOff,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: Message,
    },
    /// The dispatcher's allowance of a limit; the caller confirms it once it is in force.
    Allowance {
        key: LimitKey,
        amount: f64,
        until: Time,
        after: f64,
    },
    /// A verdict on a host from findings of other dispatchers.
    Verdict {
        host: HostId,
        since: Option<Incarnation>,
        kind: FindingKind,
        weight: f64,
        until: Time,
        age: Span,
        reporters: u8,
    },
    /// Withdraws a verdict.
    Withdraw {
        host: HostId,
    },
    /// A record to store durably; the caller then reports whether it was stored.
    Store {
        ticket: u64,
        record: rollout::Record,
    },
    /// Rules to put into force; the caller reports if it can't use them.
    ApplyRules {
        number: u64,
        text: String,
    },
    /// The state or incarnation of a member changed.
    MemberChanged {
        who: MemberId,
        state: MemberState,
        incarnation: Incarnation,
    },
    /// Whether this dispatcher's own links are degraded.
    LinksDegraded(bool),
    /// A newer process runs under the same name; this one sends nothing more.
    SteppedDown,
    /// An item of the feed was delivered, or a state that replaces all items up to `number`.
    FeedDelivered {
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        is_state: bool,
    },
    Log(String),
}
