//! Message and byte counts by kind, direction and kind of peer.
use cherrypass_peers::link;
use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Names of the kinds of control messages: the link's in order of their numbers, which begin at 1, then the
/// change log.
pub const KIND_NAMES: [&str; 5] = ["members", "limits", "feed", "rollout", "change log"];
pub const FEED_KIND: usize = 2;
pub const CHANGE_LOG_KIND: usize = 4;

/// Index in `KIND_NAMES` of a datagram's kind; `None` if it is not a message of this fleet.
pub fn message_kind(bytes: &[u8], fleet: &str) -> Option<usize> {
    let kind = usize::from(link::decode(bytes, fleet).ok()?.kind);
    (1..=CHANGE_LOG_KIND).contains(&kind).then(|| kind - 1)
}

/// The kind of peer a message was exchanged with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    Simulated = 0,
    Real = 1,
}

/// Direction of a message, seen from the dispatcher that counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Out = 0,
    In = 1,
}

impl Direction {
    /// The direction seen from the other end.
    pub fn reversed(self) -> Direction {
        match self {
            Direction::Out => Direction::In,
            Direction::In => Direction::Out,
        }
    }
}

/// Message count and payload bytes, without the headers of UDP, TCP and IP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Amount {
    pub messages: f64,
    pub bytes: f64,
}

impl Amount {
    pub fn scaled_by(self, factor: f64) -> Amount {
        Amount { messages: self.messages * factor, bytes: self.bytes * factor }
    }
}

impl Add for Amount {
    type Output = Amount;
    fn add(self, other: Amount) -> Amount {
        Amount { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }
}

impl Sub for Amount {
    type Output = Amount;
    fn sub(self, other: Amount) -> Amount {
        Amount { messages: self.messages - other.messages, bytes: self.bytes - other.bytes }
    }
}

/// Amounts by direction and kind.
pub type TrafficByKind = [[Amount; KIND_NAMES.len()]; 2];

/// Counters of one dispatcher, written by its thread and read by another.
#[derive(Default)]
pub struct TrafficCounters {
    counts: [[[[AtomicU64; 2]; KIND_NAMES.len()]; 2]; 2],
}

impl TrafficCounters {
    pub fn count(&self, peer: PeerKind, direction: Direction, kind: usize, bytes: usize) {
        let [messages, byte_count] = &self.counts[peer as usize][direction as usize][kind];
        messages.fetch_add(1, Relaxed);
        byte_count.fetch_add(bytes as u64, Relaxed);
    }

    /// Amounts so far with one kind of peer.
    pub fn amounts(&self, peer: PeerKind) -> TrafficByKind {
        let of = |direction: usize, kind: usize| {
            let [messages, bytes] = &self.counts[peer as usize][direction][kind];
            Amount { messages: messages.load(Relaxed) as f64, bytes: bytes.load(Relaxed) as f64 }
        };
        [0, 1].map(|direction| std::array::from_fn(|kind| of(direction, kind)))
    }
}

/// Combines two tables entry by entry.
pub fn zip_with(
    first: &TrafficByKind,
    second: &TrafficByKind,
    combine: impl Fn(Amount, Amount) -> Amount,
) -> TrafficByKind {
    [0, 1]
        .map(|direction| std::array::from_fn(|kind| combine(first[direction][kind], second[direction][kind])))
}

/// Multiplies every entry by a factor.
pub fn scaled(all: &TrafficByKind, factor: f64) -> TrafficByKind {
    zip_with(all, all, |amount, _| amount.scaled_by(factor))
}

/// Sum over all kinds in one direction.
pub fn total(all: &TrafficByKind, direction: Direction) -> Amount {
    all[direction as usize].iter().fold(Amount::default(), |sum, amount| sum + *amount)
}
