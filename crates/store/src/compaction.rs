//! Compaction of the oldest segment: its live records are rewritten at the end of the log, then the segment
//! is removed. Because the oldest segment always goes first, a deletion found there hides nothing older and
//! can be dropped, and the remaining segments are always contiguous.
use crate::engine::{read_view, MovedRecord};
use crate::error::Error;
use crate::format::Op;
use crate::index::{Entry, Segment, View, WalkResult};
use cherrypass::time::UnixTime;
use std::sync::RwLock;

/// The figures that decide whether compaction is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogUsage {
    /// Bytes of the sealed segments and of their live records. The active segment can't be compacted.
    pub sealed_bytes: u64,
    pub live_bytes: u64,
    pub segments: usize,
}

/// The highest ratio of sealed bytes to live bytes without compaction.
pub const MAX_SEALED_TO_LIVE_RATIO: f64 = 1.3;
/// More segments than this are compacted if they are small, as frequent restarts leave them.
const MAX_SEGMENTS: usize = 64;

impl LogUsage {
    pub fn is_compaction_due(&self, segment_bytes: u64) -> bool {
        let is_small = self.sealed_bytes <= segment_bytes / 4;
        let max_sealed_bytes = (self.live_bytes as f64 * MAX_SEALED_TO_LIVE_RATIO) as u64;
        let has_many_small_segments =
            self.segments > MAX_SEGMENTS && self.sealed_bytes / (self.segments as u64) < segment_bytes / 8;
        !is_small && self.sealed_bytes > max_sealed_bytes || has_many_small_segments
    }
}

/// Walks over the batches of a sealed segment and collects the records that are still live.
pub fn find_live_records(
    segment: &Segment,
    start: u64,
    end: u64,
    max_bytes: usize,
    view: &RwLock<View>,
    now: UnixTime,
) -> Result<(Vec<MovedRecord>, WalkResult), Error> {
    let mut moves = Vec::new();
    let result = segment.walk(start, end, max_bytes, |op, offset, length| {
        let Op::Put { space, key, value, expires } = op else { return };
        let expires = expires.map_or(0, |at| at.max(1));
        let old_entry = Entry { segment: segment.id, offset: offset as u32, length, expires };
        if !old_entry.is_expired(now) && read_view(view).index.get(space, key) == Some(old_entry) {
            let (space, key, value) = (space.to_owned(), key.to_vec(), value.to_vec());
            moves.push(MovedRecord { space, key, value, old_entry });
        }
    })?;
    Ok((moves, result))
}
