//! Messages between members, and the effects that the caller carries out.
use super::table::{Claim, MemberState};
use crate::common::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's claim about itself.
    pub claim: Claim,
    pub body: Body,
    pub claims: Vec<(MemberId, Claim)>,
}

/// Content of a message, beside the gossiped claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Ping {
        sequence: u32,
    },
    Ack {
        sequence: u32,
    },
    /// Asks the receiver to probe `target`.
    PingRequest {
        sequence: u32,
        target: MemberId,
    },
    /// Result of a `PingRequest`.
    PingResult {
        sequence: u32,
        target: MemberId,
        is_reachable: bool,
    },
    /// Checksum of the sender's table.
    Digest {
        digest: u64,
    },
    /// The answer where the tables are equal.
    DigestMatches,
    /// The answer where they differ: the sender's claims about all members from one id to another.
    Chunk {
        first: MemberId,
        last: MemberId,
    },
    /// Only the gossiped claims.
    Gossip,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: Message,
    },
    Changed {
        who: MemberId,
        state: MemberState,
        incarnation: Incarnation,
    },
    /// Whether this member's own links are degraded: most of its probes have no answer.
    LinksDegraded(bool),
    /// A newer process runs under the same name; this one sends nothing more.
    SteppedDown,
    Log(String),
}
