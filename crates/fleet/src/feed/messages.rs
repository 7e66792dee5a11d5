//! Messages between members, and between members and followers.
use super::log::{Echo, Segment, Stamp};
use super::position::Position;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::Span;
use serde::{Deserialize, Serialize};

/// The carrier of a follower. Of two fences the greater one is valid; a new run of the follower voids all
/// fences of its earlier runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// The follower's run.
    pub incarnation: Incarnation,
    pub number: u64,
    pub carrier: MemberId,
}

/// How a follower is classified; handed over with it when it moves to another carrier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerClass {
    pub is_slow: bool,
    /// How often it was slow recently; each time doubles the recovery time.
    pub relapses: u8,
}

/// A carrier's load as it reports it to the other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarrierLoad {
    /// Followers that are not slow.
    pub followers: u16,
    pub slow_followers: u16,
    /// Unused bytes of the budget of a round.
    pub spare_bytes: u32,
    /// Lower median of its followers' lags, plus its own lag.
    pub lag: Span,
}

/// A message of the feed. Encoded by position (postcard): the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    // Between members.
    /// The positions of the sender; only the sources it names are compared.
    Positions { stamp: Stamp, load: CarrierLoad, positions: Vec<Position> },
    /// Requests the items after these positions.
    Request { stamp: Stamp, positions: Vec<Position> },
    /// Items, pushed by their source or as the answer to a `Request` (`is_answer`).
    Segments { echo: Option<Echo>, is_answer: bool, segments: Vec<Segment> },
    /// Asks a member to take over a follower.
    OfferMove {
        follower: MemberId,
        fence: Fence,
        stamp: Option<Stamp>,
        positions: Vec<Position>,
        class: FollowerClass,
    },
    /// The sender carries the follower from now on.
    MoveAccepted { follower: MemberId, fence: Fence },
    /// The sender has no capacity for the follower.
    MoveRejected { follower: MemberId, fence: Fence },
    // From a follower to a member.
    /// Asks a member to become the carrier.
    Subscribe { fence: Fence, stamp: Stamp, class: FollowerClass, positions: Vec<Position> },
    /// Acknowledges the frames up to `frame`, with the positions in the sources that they contained.
    Ack { fence: Fence, frame: u64, stamp: Stamp, positions: Vec<Position> },
    /// Answer to a carrier whose fence is outdated; `fence` is the valid one.
    CarriedElsewhere { fence: Fence },
    // From a member to a follower.
    /// The next items for the follower; without segments a heartbeat.
    Frame { fence: Fence, frame: u64, echo: Option<Echo>, class: FollowerClass, segments: Vec<Segment> },
    /// Another member carries the follower now.
    Moved { fence: Fence },
    /// The member has no capacity for another follower.
    SubscribeRejected { fence: Fence },
}
