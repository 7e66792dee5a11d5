//! Compaction takes the oldest segment first: what still counts there is written anew at the log's end, and then
//! the segment goes. So a deletion that it meets has nothing older left to hide, and the segments that count are
//! always an unbroken row.
use crate::engine::{read, Moved};
use crate::error::Error;
use crate::format::Op;
use crate::index::{Entry, Segment, View, Walked};
use cherrypass::time::UnixTime;
use std::sync::RwLock;

/// What decides whether compaction is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Space {
    /// Bytes of sealed segments, and how many of them are live records. The active one can't be taken yet.
    pub sealed: u64,
    pub live: u64,
    pub segments: usize,
}

/// By how much sealed segments may be longer than what lives in them.
pub const SPARE: f64 = 1.3;
/// Many short segments, as frequent starts leave them, are taken together as well.
const SEGMENTS_MOST: usize = 64;

impl Space {
    pub fn is_due(&self, segment_bytes: u64) -> bool {
        let small = self.sealed <= segment_bytes / 4;
        let bound = (self.live as f64 * SPARE) as u64;
        let crowded =
            self.segments > SEGMENTS_MOST && self.sealed / (self.segments as u64) < segment_bytes / 8;
        !small && self.sealed > bound || crowded
    }
}

/// Walks through a sealed segment's batches and picks the records that still count.
pub fn look(
    segment: &Segment,
    start: u64,
    end: u64,
    bytes: usize,
    view: &RwLock<View>,
    now: UnixTime,
) -> Result<(Vec<Moved>, Walked), Error> {
    let mut moves = Vec::new();
    let walked = segment.walk(start, end, bytes, |op, offset, length| {
        let Op::Put { space, key, value, expires } = op else { return };
        let expires = expires.map_or(0, |at| at.max(1));
        let was = Entry { segment: segment.id, offset: offset as u32, length, expires };
        if !was.is_over(now) && read(view).index.get(space, key) == Some(was) {
            let (space, key, value) = (space.to_owned(), key.to_vec(), value.to_vec());
            moves.push(Moved { space, key, value, was });
        }
    })?;
    Ok((moves, walked))
}
