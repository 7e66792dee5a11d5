//! Messages between carriers and followers, and the effects that the caller carries out.
use crate::common::{name_hash, MemberId};
use cherrypass::time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

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

    pub(super) fn plus(self, count: usize) -> ChangeNumber {
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
