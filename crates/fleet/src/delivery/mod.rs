//! Delivery of the change log's numbered changes: carriers read the log and pass each change on to followers,
//! which then need not read the log themselves (docs/fleet-delivery.md). No input or output; time comes in as
//! an argument.
//!
//! A change is an opaque, encoded record with its number in the log. Numbers increase by one and are the same
//! for all readers of a log ([`LogId`]), so a follower may switch between carriers, or to the log itself,
//! without losing its place. It takes changes in order, without gaps or repeats.
mod carrier;
mod follower;
mod held;

pub use carrier::Carrier;
pub use follower::Follower;

use crate::common::{name_hash, MemberId};
use cherrypass::time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Clock rates may differ by up to 1%: a span measured on one clock is at most this many times as long on
/// another,
const MAX_CLOCK_RATIO: f64 = 1.02;
/// and at least this fraction of it.
const MIN_CLOCK_RATIO: f64 = 0.98;
/// The longest record that is carried, in bytes; followers read a longer one from the log.
pub const MAX_RECORD_BYTES: usize = 16 << 10;

/// A change's position in the change log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeNumber(pub u64);

impl ChangeNumber {
    /// The number of the change that follows.
    pub fn next(self) -> ChangeNumber {
        ChangeNumber(self.0.saturating_add(1))
    }

    fn plus(self, count: usize) -> ChangeNumber {
        ChangeNumber(self.0.saturating_add(count as u64))
    }
}

/// Identifies a change log by the hash of its name in the operators' file; its numbers mean the same to all
/// who name it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogId(pub u64);

impl LogId {
    pub fn of(name: &str) -> LogId {
        LogId(name_hash(name))
    }
}

/// An encoded change; its content is opaque here.
pub type Record = Arc<[u8]>;

/// A point in the sender's own time, in microseconds; the receiver only returns it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp(pub u64);

/// The receiver's latest stamp, returned, and for how long the sender held it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub stamp: Stamp,
    pub held: Span,
}

/// A message of the delivery. Encoded by position (postcard): the order of variants and fields must not
/// change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeliveryMessage {
    /// A follower asks to be carried, or acknowledges all changes up to `last`.
    Follow { log: LogId, last: ChangeNumber, stamp: Stamp, echo: Option<Echo> },
    /// The changes after `after`, in order; none where there is nothing new. `newest` is the last one that
    /// the carrier knows of, `age` an upper bound on the time since the log had nothing newer.
    Changes {
        log: LogId,
        after: ChangeNumber,
        records: Vec<Record>,
        newest: ChangeNumber,
        age: Span,
        stamp: Stamp,
        echo: Echo,
    },
    /// The carrier does not carry the follower.
    NotCarried { log: LogId, reason: Reason, retry_after: Span },
    /// The carrier shuts down: the follower asks another one at once.
    Leaving,
    /// The follower shuts down or is carried by another carrier.
    Unfollow,
}

/// Why a carrier does not carry a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It carries the maximum number of followers.
    Full,
    /// It does not hold the changes after the follower's last one, or can't carry them: the follower reads
    /// the log itself first.
    NotHeld,
    /// It has had no answer of the log for too long.
    Stale,
    /// The two read different logs.
    OtherLog,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: DeliveryMessage,
    },
    /// At a follower: apply the changes from `first` on, in order.
    Deliver {
        first: ChangeNumber,
        records: Vec<Record>,
    },
    /// At a follower: start or stop reading the log directly.
    ReadLog(bool),
    /// At a follower: all changes that the log had at that time, by this process's own clock, have been
    /// delivered.
    KnownUpTo(Time),
    Log(String),
}

/// Settings of the delivery; the same for all carriers and followers of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub log: LogId,
    /// The least time between two messages with changes to one follower.
    pub batch_interval: Span,
    /// The longest time between two messages to a follower, or from one, also where nothing is new.
    pub heartbeat: Span,
    /// A carrier that has not been heard for this long is replaced.
    pub carrier_timeout: Span,
    /// A follower without proof from a carrier for this long reads the log itself; up to as long again at
    /// random, so that followers that lose their carriers do not all read the log at once.
    pub fallback_delay: Span,
    /// A carrier without an answer of the log for this long accepts no new follower. A follower whose carrier
    /// proves nothing looks for another one after twice as long: by then, if the log itself is lost, all
    /// carriers refuse it.
    pub max_log_age: Span,
    /// A follower that has not been heard for this long is dropped.
    pub follower_timeout: Span,
    /// Bytes of changes in a message to one follower, and in one tick to all. A longer record is sent alone.
    /// With `batch_interval` this bounds the rate at which a follower catches up; the default fits in one
    /// Ethernet frame.
    pub message_bytes: usize,
    pub round_bytes: usize,
    /// Bytes of changes that a carrier holds.
    pub max_held_bytes: usize,
    /// The maximum number of followers of one carrier.
    pub max_followers: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            log: LogId::default(),
            batch_interval: Span::millis(250),
            heartbeat: Span::millis(250),
            carrier_timeout: Span::millis(800),
            fallback_delay: Span::millis(5_000),
            max_log_age: Span::millis(1_000),
            follower_timeout: Span::millis(10_000),
            message_bytes: 1_400,
            round_bytes: 256 << 10,
            max_held_bytes: 8 << 20,
            max_followers: 1_024,
        }
    }
}
