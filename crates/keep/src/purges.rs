//! Purge records, retained for as long as a copy older than the purge can still be served.
use crate::records::{decode, encode, Record};
use cherrypass::ids::{GroupId, ObjectId};
use cherrypass::time::{Span, UnixTime};
use serde::{Deserialize, Serialize};

/// The store space that holds purge records.
pub const SPACE: &str = "purges";

/// Lower bound of the retention of purge records. It covers hosts that were suspended and still hold copies
/// which they should have dropped, and a wall clock that is ahead at the next start.
pub const MIN_RETENTION: Span = Span::millis(3_600_000);

/// A purge of one object, or of its whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    pub group: GroupId,
    /// None purges the whole group.
    pub object: Option<ObjectId>,
    /// When the purge was issued, by the change log's clock.
    pub issued_at: UnixTime,
    /// Sequence number of the change that carried the purge.
    pub change_number: u64,
}

#[derive(Serialize, Deserialize)]
struct StoredPurge {
    group: u32,
    object: Option<u64>,
    at: u64,
    change: u64,
}

/// The record of a purge, which expires `retention` after the purge; None if that time has passed.
pub fn record(now: UnixTime, purge: &Purge, retention: Span) -> Option<Record> {
    let expires_at = purge.issued_at + retention;
    let object = purge.object.map(|object| object.0);
    let stored =
        StoredPurge { group: purge.group.0, object, at: purge.issued_at.0, change: purge.change_number };
    let key = match purge.object {
        Some(object) => [&b"o"[..], &object.0.to_be_bytes()].concat(),
        None => [&b"g"[..], &purge.group.0.to_be_bytes()].concat(),
    };
    (now < expires_at).then(|| Record {
        space: SPACE,
        key,
        value: Some(encode(&stored)),
        expires_at: Some(expires_at),
    })
}

/// The purges to replay at a start, with the times of the change log. A time in the future, as after this
/// machine's clock was set back, is kept: the age of a purge is measured by the change log's clock.
pub fn replay<'a>(now: UnixTime, values: impl Iterator<Item = &'a [u8]>, retention: Span) -> Vec<Purge> {
    let purges = values.filter_map(decode::<StoredPurge>).map(|stored| Purge {
        group: GroupId(stored.group),
        object: stored.object.map(ObjectId),
        issued_at: UnixTime(stored.at),
        change_number: stored.change,
    });
    purges.filter(|purge| now < purge.issued_at + retention).collect()
}
