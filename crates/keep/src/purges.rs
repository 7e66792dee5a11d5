//! Purges, for as long as an older copy can turn up.
use crate::records::{bytes, read, Record};
use cherrypass::ids::{GroupId, ObjectId};
use cherrypass::time::{Span, UnixTime};
use serde::{Deserialize, Serialize};

pub const SPACE: &str = "purges";

/// A purge is kept so long at the least: a host that stood still has an older copy after hosts had to have dropped it, and a
/// wall clock that is ahead at the next start must not end it.
pub const KEPT_LEAST: Span = Span::millis(3_600_000);

/// A purge of one object, or of its whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    pub group: GroupId,
    pub object: Option<ObjectId>,
    pub at: UnixTime,
    /// The number of the change that brought it.
    pub change: u64,
}

#[derive(Serialize, Deserialize)]
struct Stored {
    group: u32,
    object: Option<u64>,
    at: u64,
    change: u64,
}

/// Its record, for as long after it as an older copy may turn up; none once that is over.
pub fn record(now: UnixTime, purge: &Purge, memory: Span) -> Option<Record> {
    let until = purge.at + memory;
    let object = purge.object.map(|object| object.0);
    let stored = Stored { group: purge.group.0, object, at: purge.at.0, change: purge.change };
    let key = match purge.object {
        Some(object) => [&b"o"[..], &object.0.to_be_bytes()].concat(),
        None => [&b"g"[..], &purge.group.0.to_be_bytes()].concat(),
    };
    (now < until).then(|| Record { space: SPACE, key, value: Some(bytes(&stored)), until: Some(until) })
}

/// What a start is to tell the module, dated as the change log did. A time still to come is that of a clock set back since,
/// and stays: its age is told by the change log's clock, not by this machine's.
pub fn replay<'a>(now: UnixTime, values: impl Iterator<Item = &'a [u8]>, memory: Span) -> Vec<Purge> {
    let known = values.filter_map(read::<Stored>).map(|stored| Purge {
        group: GroupId(stored.group),
        object: stored.object.map(ObjectId),
        at: UnixTime(stored.at),
        change: stored.change,
    });
    known.filter(|purge| now < purge.at + memory).collect()
}
