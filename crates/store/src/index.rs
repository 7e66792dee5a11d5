//! The in-memory index: the location of each live record, by space and key in order, and the live bytes of
//! each segment.
use crate::disk::{read_range, File};
use crate::error::{Damage, Error};
use crate::format::{self, FrameError, Op, Records, SegmentId, FRAME_HEADER_BYTES};
use cherrypass::time::UnixTime;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// The location of a record and its expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub segment: SegmentId,
    pub offset: u32,
    pub length: u32,
    /// Unix time in microseconds; 0 if the record does not expire.
    pub expires: u64,
}

impl Entry {
    pub fn is_expired(&self, now: UnixTime) -> bool {
        self.expires != 0 && self.expires <= now.0
    }
}

/// The extent of one step of a walk over the batches of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalkResult {
    pub bytes: u64,
    pub batches: u64,
    /// Where the next step starts; `None` at the end.
    pub next_offset: Option<u64>,
}

/// A segment as readers use it; its file stays readable after it is removed.
pub struct Segment {
    pub id: SegmentId,
    pub salt: u64,
    pub file: Arc<dyn File>,
}

impl Segment {
    /// A description of damage at an offset of this segment.
    pub fn damage(&self, offset: u64, what: impl Into<String>) -> Damage {
        Damage::new(self.id.file_name(), offset, what)
    }

    /// Reads up to `max_bytes` from an offset.
    pub fn read(&self, offset: u64, max_bytes: usize) -> Result<Vec<u8>, Error> {
        read_range(&*self.file, offset, max_bytes)
            .map_err(Error::io(format!("reading {}", self.id.file_name())))
    }

    /// Reads whole batches from `start` on, up to about `max_bytes` but at least one batch, and passes each
    /// record with its offset and length to `on_record`.
    pub fn walk(
        &self,
        start: u64,
        end: u64,
        max_bytes: usize,
        mut on_record: impl FnMut(Op, u64, u32),
    ) -> Result<WalkResult, Error> {
        let remaining = (end - start) as usize;
        let mut buffer = self.read(start, max_bytes.max(FRAME_HEADER_BYTES).min(remaining))?;
        if let Err(FrameError::Truncated) = format::frame_length(&buffer) {
            buffer = self.read(start, remaining)?;
        }
        let mut result = WalkResult { bytes: 0, batches: 0, next_offset: None };
        loop {
            let at = result.bytes as usize;
            let frame_offset = start + result.bytes;
            let frame = match format::decode_frame(&buffer[at..], self.salt, frame_offset) {
                Ok(frame) => frame,
                Err(FrameError::End) if frame_offset == end => break,
                Err(FrameError::End | FrameError::Truncated) if at > 0 && buffer.len() < remaining => break,
                Err(error) => return Err(self.damage(frame_offset, error.description()).into()),
            };
            for record in Records::new(frame.body, self.salt, frame_offset + FRAME_HEADER_BYTES as u64) {
                let (op, offset, length) = record.map_err(|at| self.damage(at, "a record can't be read"))?;
                on_record(op, offset, length);
            }
            result.batches += 1;
            result.bytes += frame.length() as u64;
        }
        result.next_offset = Some(start + result.bytes).filter(|offset| *offset < end);
        Ok(result)
    }

    /// Reads the value of a record and verifies its checksum.
    pub fn read_value(&self, entry: &Entry) -> Result<Vec<u8>, Error> {
        let bytes = self.read(u64::from(entry.offset), entry.length as usize)?;
        match format::decode_record(&bytes, self.salt, u64::from(entry.offset)) {
            Some((Op::Put { value, .. }, _)) => Ok(value.to_vec()),
            _ => Err(self.damage(u64::from(entry.offset), "a record can't be read").into()),
        }
    }
}

/// A key; short ones are stored inline.
pub type Key = SmallVec<[u8; 16]>;
type Space = BTreeMap<Key, Entry>;

/// The location of every live record.
#[derive(Clone, Default)]
pub struct Index {
    spaces: BTreeMap<Box<str>, Space>,
    /// Bytes of live records by segment.
    live_bytes: BTreeMap<SegmentId, u64>,
    /// The number of records.
    records: usize,
    /// The number of those that have an expiry.
    expiring: usize,
}

/// The last record that an iteration over all records has visited; `None` at the start.
pub type Cursor = Option<(Box<str>, Key)>;

/// A space, a key and the location of its record.
pub type FoundRecord<'a> = (&'a str, &'a [u8], Entry);

impl Index {
    pub fn get(&self, space: &str, key: &[u8]) -> Option<Entry> {
        self.spaces.get(space)?.get(key).copied()
    }

    pub fn set(&mut self, space: &str, key: &[u8], entry: Entry) {
        if !self.spaces.contains_key(space) {
            self.spaces.insert(space.into(), Space::new());
        }
        let old = self.spaces.get_mut(space).and_then(|entries| match entries.get_mut(key) {
            Some(slot) => Some(std::mem::replace(slot, entry)),
            None => entries.insert(key.into(), entry),
        });
        match old {
            Some(old) => self.subtract_live(&old),
            None => self.records += 1,
        }
        self.add_live(&entry);
    }

    fn add_live(&mut self, entry: &Entry) {
        *self.live_bytes.entry(entry.segment).or_default() += u64::from(entry.length);
        self.expiring += usize::from(entry.expires != 0);
    }

    pub fn remove(&mut self, space: &str, key: &[u8]) {
        let Some(entries) = self.spaces.get_mut(space) else { return };
        let Some(old) = entries.remove(key) else { return };
        if entries.is_empty() {
            self.spaces.remove(space);
        }
        self.records -= 1;
        self.subtract_live(&old);
    }

    fn subtract_live(&mut self, old: &Entry) {
        self.expiring -= usize::from(old.expires != 0);
        if let Some(live) = self.live_bytes.get_mut(&old.segment) {
            *live = live.saturating_sub(u64::from(old.length));
            if *live == 0 {
                self.live_bytes.remove(&old.segment);
            }
        }
    }

    /// Adds all entries of a space, in order, from a checkpoint.
    pub fn load_space(&mut self, space: &str, entries: Vec<(Key, Entry)>) {
        self.records += entries.len();
        entries.iter().for_each(|(_, entry)| self.add_live(entry));
        self.spaces.insert(space.into(), entries.into_iter().collect());
    }

    /// Whether any record has an expiry.
    pub fn has_expiring(&self) -> bool {
        self.expiring > 0
    }

    pub fn records(&self) -> usize {
        self.records
    }

    pub fn live_bytes(&self) -> u64 {
        self.live_bytes.values().sum()
    }

    /// The bytes of live records in a segment.
    pub fn live_in(&self, segment: SegmentId) -> u64 {
        self.live_bytes.get(&segment).copied().unwrap_or(0)
    }

    /// The lowest segment that holds a live record.
    pub fn lowest_live_segment(&self) -> Option<SegmentId> {
        self.live_bytes.keys().next().copied()
    }

    /// The name of each space with its number of records.
    pub fn spaces(&self) -> impl Iterator<Item = (&str, usize)> {
        self.spaces.iter().map(|(name, entries)| (&**name, entries.len()))
    }

    /// The entries of a space in order of keys, from a bound on.
    pub fn scan<'a>(
        &'a self,
        space: &str,
        from: Bound<&[u8]>,
    ) -> impl Iterator<Item = (&'a [u8], Entry)> + 'a {
        let entries = self.spaces.get(space);
        let from = from.map(Key::from_slice);
        entries.into_iter().flat_map(move |entries| {
            let from = from.as_ref().map(Key::as_slice);
            entries.range::<[u8], _>((from, Bound::Unbounded)).map(|(key, entry)| (&**key, *entry))
        })
    }

    /// All records after the cursor, in order.
    pub fn records_after(&self, cursor: &Cursor) -> impl Iterator<Item = FoundRecord<'_>> {
        let (space, key) = cursor.clone().unzip();
        let from = space.clone().map_or(Bound::Unbounded, Bound::Included);
        self.spaces.range::<Box<str>, _>((from, Bound::Unbounded)).flat_map(move |(name, entries)| {
            let last_key = key.clone().filter(|_| space.as_ref() == Some(name));
            let from = last_key.as_ref().map_or(Bound::Unbounded, |key| Bound::Excluded(key.as_slice()));
            let found = entries.range::<[u8], _>((from, Bound::Unbounded));
            found.map(move |(key, entry)| (&**name, &**key, *entry))
        })
    }

    /// Removes expired records among the next `limit` after the cursor; returns how many, and the new cursor,
    /// which is `None` at the end.
    pub fn remove_expired(&mut self, now: UnixTime, cursor: &Cursor, limit: usize) -> (usize, Cursor) {
        let mut last = None;
        let mut expired = Vec::new();
        for (space, key, entry) in self.records_after(cursor).take(limit) {
            last = Some((Box::from(space), Key::from_slice(key)));
            if entry.is_expired(now) {
                expired.push((Box::<str>::from(space), Key::from_slice(key)));
            }
        }
        expired.iter().for_each(|(space, key)| self.remove(space, key));
        (expired.len(), last)
    }
}

/// The state that readers see: all durable batches.
#[derive(Clone, Default)]
pub struct View {
    pub index: Index,
    pub segments: BTreeMap<SegmentId, Arc<Segment>>,
    /// The store's time as of the last batch.
    pub time: UnixTime,
}

impl View {
    pub fn segment(&self, id: SegmentId) -> Result<Arc<Segment>, Error> {
        let found = self.segments.get(&id).cloned();
        found.ok_or_else(|| Damage::new(id.file_name(), 0, "the segment of a record is missing").into())
    }
}
