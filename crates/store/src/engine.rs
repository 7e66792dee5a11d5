//! The writer of the log. One commit writes a group of batches with one write and one sync, and only then
//! makes them visible to readers. It runs on the caller's thread; `store::Store` adds the threads.
use crate::disk::{self, Disk};
use crate::error::Error;
use crate::format::{
    Encoder, FrameHeader, Op, SegmentHeader, SegmentId, Seq, FRAME_HEADER_BYTES, MAX_BODY_BYTES,
    MAX_KEY_BYTES, MAX_SPACE_NAME_BYTES, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES,
};
use crate::index::{Entry, Segment, View};
use crate::recovery::{self, Recovered};
use cherrypass::time::UnixTime;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Options of a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// A new segment is started once the active one has reached this length.
    pub segment_bytes: u64,
    /// The seed of the segments' salts.
    pub seed: u64,
    /// Whether the files must not be written, renamed or removed.
    pub read_only: bool,
    /// Whether checkpoints are used at the start, and written by background work.
    pub use_checkpoints: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options { segment_bytes: 8 << 20, seed: 0, read_only: false, use_checkpoints: true }
    }
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Put { space: String, key: Vec<u8>, value: Vec<u8>, expires: Option<UnixTime> },
    Delete { space: String, key: Vec<u8> },
}

impl Change {
    fn op(&self) -> Op<'_> {
        match self {
            Change::Put { space, key, value, expires } => {
                Op::Put { space, key, value, expires: expires.map(|at| at.0) }
            }
            Change::Delete { space, key } => Op::Delete { space, key },
        }
    }
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    pub changes: Vec<Change>,
    bytes: usize,
}

impl Batch {
    pub fn new() -> Batch {
        Batch::default()
    }

    pub fn put(self, space: &str, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>) -> Batch {
        self.push(Change::Put { space: space.into(), key: key.into(), value: value.into(), expires: None })
    }

    /// Like `put`, with an expiry.
    pub fn put_until(
        self,
        space: &str,
        key: impl Into<Vec<u8>>,
        value: impl Into<Vec<u8>>,
        end: UnixTime,
    ) -> Batch {
        let (key, value, expires) = (key.into(), value.into(), Some(end));
        self.push(Change::Put { space: space.into(), key, value, expires })
    }

    pub fn delete(self, space: &str, key: impl Into<Vec<u8>>) -> Batch {
        self.push(Change::Delete { space: space.into(), key: key.into() })
    }

    fn push(mut self, change: Change) -> Batch {
        // In addition to its strings a record takes a header and a few bytes for their lengths and the
        // expiry.
        self.bytes += RECORD_HEADER_BYTES
            + 32
            + match &change {
                Change::Put { space, key, value, .. } => space.len() + key.len() + value.len(),
                Change::Delete { space, key } => space.len() + key.len(),
            };
        self.changes.push(change);
        self
    }

    /// An upper bound of the batch's size in the log.
    pub fn bytes(&self) -> usize {
        FRAME_HEADER_BYTES + self.bytes
    }

    /// Checks the size limits of the batch and its keys.
    pub fn check(&self) -> Result<(), Error> {
        let check_size = |subject, size, limit| {
            if size > limit {
                Err(Error::TooLarge { subject, size, limit })
            } else {
                Ok(())
            }
        };
        for change in &self.changes {
            let (Change::Put { space, key, .. } | Change::Delete { space, key }) = change;
            check_size("a space name", space.len(), MAX_SPACE_NAME_BYTES)?;
            check_size("a key", key.len(), MAX_KEY_BYTES)?;
        }
        check_size("a batch", self.bytes, MAX_BODY_BYTES)
    }
}

/// A live record found by compaction, with its location at that time.
#[derive(Clone, Debug)]
pub struct MovedRecord {
    pub space: String,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub old_entry: Entry,
}

/// An item of a commit.
pub enum CommitItem<'a> {
    Batch(&'a Batch),
    /// Records to rewrite, unless their keys have changed since they were found.
    Moves(&'a [MovedRecord]),
    /// Marks the segments with a lower number as trimmed.
    Trim(SegmentId),
    /// A clean end of a run. Damage before this mark is never taken for a torn tail.
    EndMark,
}

struct ActiveSegment {
    segment: Arc<Segment>,
    /// Where the next frame is written; everything before it is synced.
    end: u64,
    /// Data behind the end may look like acknowledged batches, so the next commit starts a new segment.
    needs_rotation: bool,
}

/// The log and the view of a store, without threads.
pub struct Engine {
    pub disk: Arc<dyn Disk>,
    pub options: Options,
    pub view: Arc<RwLock<View>>,
    active: Option<ActiveSegment>,
    trimmed_before: SegmentId,
    next_seq: Seq,
    time: UnixTime,
    /// Why the store has become read-only.
    read_only_reason: Option<String>,
    rng: Pcg64Mcg,
    buffer: Vec<u8>,
    /// The sealed segments, with the length of their valid data.
    sealed_segments: BTreeMap<SegmentId, u64>,
    /// Bytes logged since the last checkpoint.
    pub bytes_since_checkpoint: u64,
    /// Whether anything was committed since the last end mark written by `write_end_mark`.
    has_unmarked_batches: bool,
    /// Observations for the log, such as an obsolete file that can't be removed.
    pub notes: Vec<String>,
}

/// A position in the log; everything before it is synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Position {
    pub segment: SegmentId,
    pub offset: u64,
    pub next_seq: Seq,
    pub trimmed_before: SegmentId,
    #[serde(with = "micros")]
    pub time: UnixTime,
}

mod micros {
    use cherrypass::time::UnixTime;
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(time: &UnixTime, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(time.0)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<UnixTime, D::Error> {
        u64::deserialize(deserializer).map(UnixTime)
    }
}

pub fn read_view(view: &RwLock<View>) -> RwLockReadGuard<'_, View> {
    view.read().unwrap_or_else(PoisonError::into_inner)
}

pub fn write_view(view: &RwLock<View>) -> RwLockWriteGuard<'_, View> {
    view.write().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    /// Opens the store on a disk and recovers its state.
    pub fn open(disk: Arc<dyn Disk>, options: Options) -> Result<Engine, Error> {
        let Recovered {
            view,
            tail,
            sealed_segments,
            trimmed_before,
            next_seq,
            time,
            bytes_since_checkpoint,
            notes,
            obsolete_files,
        } = recovery::recover(&*disk, &options)?;
        let active = tail.map(|tail| ActiveSegment {
            segment: tail.segment,
            end: tail.end,
            needs_rotation: tail.is_torn,
        });
        let read_only_reason = options.read_only.then(|| "opened read-only".to_owned());
        let mut engine = Engine {
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            disk,
            options,
            view: Arc::new(RwLock::new(view)),
            active,
            trimmed_before,
            next_seq,
            time,
            read_only_reason,
            buffer: Vec::new(),
            sealed_segments,
            bytes_since_checkpoint,
            has_unmarked_batches: false,
            notes,
        };
        if engine.read_only_reason.is_none() {
            obsolete_files.iter().for_each(|name| engine.remove_obsolete_file(name));
        }
        Ok(engine)
    }

    /// Removes a file that is no longer needed. One that can't be removed now is found again at the next
    /// start.
    fn remove_obsolete_file(&mut self, name: &str) {
        if let Err(error) = self.disk.remove(name) {
            self.notes.push(format!("{name} is obsolete but can't be removed: {error}"));
        }
    }

    pub fn read_only_reason(&self) -> Option<&str> {
        self.read_only_reason.as_deref()
    }

    pub fn position(&self) -> Position {
        let (segment, offset) = self.active.as_ref().map_or((SegmentId(0), 0), |a| (a.segment.id, a.end));
        Position {
            segment,
            offset,
            next_seq: self.next_seq,
            trimmed_before: self.trimmed_before,
            time: self.time,
        }
    }

    /// The length of the log in bytes, whether its records are live or not.
    pub fn log_bytes(&self) -> u64 {
        self.sealed_segments.values().sum::<u64>() + self.active.as_ref().map_or(0, |active| active.end)
    }

    /// The sealed segments in order, with the length of their valid data.
    pub fn sealed_segments(&self) -> impl Iterator<Item = (SegmentId, u64)> + '_ {
        self.sealed_segments.iter().map(|(id, length)| (*id, *length))
    }

    /// Writes and syncs all items in order, or keeps none of them. After an error with an uncertain outcome
    /// the store is read-only.
    pub fn commit(&mut self, now: UnixTime, items: &[CommitItem]) -> Result<Seq, Error> {
        self.commit_with_callback(now, items, |_| {})
    }

    /// Like `commit`. Calls `on_written` with the number of the first batch once all is written, before the
    /// sync; from then on only a crash of the machine can lose it.
    pub fn commit_with_callback(
        &mut self,
        now: UnixTime,
        items: &[CommitItem],
        on_written: impl FnOnce(Seq),
    ) -> Result<Seq, Error> {
        if let Some(reason) = &self.read_only_reason {
            return Err(Error::ReadOnly(reason.clone()));
        }
        self.time = self.time.max(now);
        let must_rotate =
            self.active.as_ref().is_none_or(|a| a.needs_rotation || a.end >= self.options.segment_bytes);
        if must_rotate {
            self.rotate()?;
        }
        let Some(active) = &self.active else { return Err(Error::Closed) };
        let (segment, end) = (active.segment.clone(), active.end);
        let mut bytes = std::mem::take(&mut self.buffer);
        bytes.clear();
        let (edits, next_seq, trimmed_before) = self.encode(&mut bytes, items, &segment, end);
        let written = disk::write_all(&*segment.file, end, &bytes);
        let length = bytes.len() as u64;
        self.buffer = bytes;
        self.buffer.shrink_to(1 << 20);
        if let Err(error) = written {
            return Err(self.undo_write(&segment, end, error));
        }
        on_written(self.next_seq);
        if let Err(error) = segment.file.sync() {
            return Err(self.become_read_only(format!("syncing {} failed: {error}", segment.id.file_name())));
        }
        if let Some(active) = &mut self.active {
            active.end = end + length;
        }
        (self.next_seq, self.trimmed_before, self.has_unmarked_batches) = (next_seq, trimmed_before, true);
        self.bytes_since_checkpoint += length;
        let mut view = write_view(&self.view);
        view.time = self.time;
        for edit in edits {
            match edit {
                Edit::Set(space, key, entry) => view.index.set(space, key, entry),
                Edit::Remove(space, key) => view.index.remove(space, key),
            }
        }
        Ok(Seq(next_seq.0 - 1))
    }

    fn encode<'a>(
        &self,
        bytes: &mut Vec<u8>,
        items: &'a [CommitItem],
        segment: &Segment,
        end: u64,
    ) -> (Vec<Edit<'a>>, Seq, SegmentId) {
        let mut frames = Encoder::new(bytes, segment.salt, end);
        let (mut next_seq, mut trimmed_before) = (self.next_seq, self.trimmed_before);
        let mut edits = Vec::new();
        let has_moves = items.iter().any(|item| matches!(item, CommitItem::Moves(_)));
        let mut changed_keys: HashSet<(&str, &[u8])> = HashSet::new();
        for item in items {
            frames.begin_frame();
            let mut records = 0;
            let mut push_record = |frames: &mut Encoder, op: Op| {
                records += 1;
                frames.push_record(&op)
            };
            match item {
                CommitItem::Batch(batch) => {
                    for change in &batch.changes {
                        let (offset, length) = push_record(&mut frames, change.op());
                        edits.push(match change {
                            Change::Put { space, key, expires, .. } => {
                                let expires = expires.map_or(0, |at| at.0.max(1));
                                let (segment, offset) = (segment.id, offset as u32);
                                Edit::Set(space, key, Entry { segment, offset, length, expires })
                            }
                            Change::Delete { space, key } => Edit::Remove(space, key),
                        });
                        let (Change::Put { space, key, .. } | Change::Delete { space, key }) = change;
                        if has_moves {
                            changed_keys.insert((space, key));
                        }
                    }
                }
                CommitItem::Moves(records) => {
                    let view = read_view(&self.view);
                    for MovedRecord { space, key, value, old_entry } in *records {
                        // The key may have been changed since, also by an earlier item of this commit.
                        let is_unchanged = view.index.get(space, key) == Some(*old_entry);
                        if !is_unchanged || changed_keys.contains(&(&space[..], &key[..])) {
                            continue;
                        }
                        let expires = Some(old_entry.expires).filter(|at| *at != 0);
                        let (offset, length) =
                            push_record(&mut frames, Op::Put { space, key, value, expires });
                        let entry =
                            Entry { segment: segment.id, offset: offset as u32, length, ..*old_entry };
                        edits.push(Edit::Set(space, key, entry));
                    }
                }
                CommitItem::Trim(trimmed_to) => {
                    trimmed_before = trimmed_before.max(*trimmed_to);
                    push_record(&mut frames, Op::Trim { trimmed_before });
                }
                CommitItem::EndMark => {}
            }
            frames.finish_frame(FrameHeader { seq: next_seq, records, synced_end: end, time: self.time });
            next_seq = Seq(next_seq.0 + 1);
        }
        (edits, next_seq, trimmed_before)
    }

    /// Truncates the file after a failed write, so that a rejected batch can't reappear after a crash.
    fn undo_write(&mut self, segment: &Segment, end: u64, error: io::Error) -> Error {
        let file = segment.id.file_name();
        if error.kind() != io::ErrorKind::StorageFull {
            return self.become_read_only(format!("writing {file} failed: {error}"));
        }
        match segment.file.truncate(end).and_then(|()| segment.file.sync()) {
            Ok(()) => Error::DiskFull(error.to_string()),
            Err(truncate_error) => self.become_read_only(format!(
                "truncating {file} after a failed write ({error}) failed: {truncate_error}"
            )),
        }
    }

    fn become_read_only(&mut self, reason: String) -> Error {
        self.read_only_reason = Some(reason.clone());
        Error::ReadOnly(reason)
    }

    /// Starts a new segment. Its header and file name are synced before any batch is written to it.
    fn rotate(&mut self) -> Result<(), Error> {
        let previous_end = self.active.as_ref().map_or(0, |active| active.end);
        let id = self.active.as_ref().map_or(self.trimmed_before.max(SegmentId(1)), |a| a.segment.id.next());
        let header = SegmentHeader {
            id,
            salt: self.rng.next_u64(),
            first_seq: self.next_seq,
            previous_end,
            trimmed_before: self.trimmed_before,
        };
        let name = id.file_name();
        let file = match self.disk.create(&name) {
            // An incomplete segment that was never used.
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                self.disk.remove(&name).and_then(|()| self.disk.create(&name))
            }
            other => other,
        };
        let written = file.and_then(|file| disk::write_all(&*file, 0, &header.encode()).map(|()| file));
        let file = match written {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::StorageFull => {
                let _ = self.disk.remove(&name);
                return Err(Error::DiskFull(error.to_string()));
            }
            Err(error) => return Err(self.become_read_only(format!("creating {name} failed: {error}"))),
        };
        if let Err(error) = file.sync().and_then(|()| self.disk.sync_folder()) {
            return Err(self.become_read_only(format!("syncing {name} and its directory failed: {error}")));
        }
        let segment = Arc::new(Segment { id, salt: header.salt, file });
        if let Some(old) = self.active.take() {
            self.sealed_segments.insert(old.segment.id, old.end);
        }
        write_view(&self.view).segments.insert(id, segment.clone());
        self.active =
            Some(ActiveSegment { segment, end: SEGMENT_HEADER_BYTES as u64, needs_rotation: false });
        Ok(())
    }

    /// Seals the active segment, so that it can be compacted.
    pub fn seal(&mut self, now: UnixTime) -> Result<(), Error> {
        if let Some(active) = self.active.as_mut().filter(|active| active.end > SEGMENT_HEADER_BYTES as u64) {
            active.needs_rotation = true;
        }
        self.commit(now, &[CommitItem::EndMark]).map(|_| ())
    }

    /// Removes the oldest segment after its compaction, once the trim is logged.
    pub fn trim(&mut self, now: UnixTime, segment: SegmentId) -> Result<(), Error> {
        self.commit(now, &[CommitItem::Trim(segment.next())])?;
        self.sealed_segments.remove(&segment);
        {
            let mut view = write_view(&self.view);
            recovery::drop_trimmed(&mut view, self.trimmed_before)?;
            view.segments.remove(&segment);
        }
        self.remove_obsolete_file(&segment.file_name());
        Ok(())
    }

    /// Marks a clean end of the run. From then on a damaged last batch is not taken for a torn one.
    pub fn write_end_mark(&mut self, now: UnixTime) -> Result<(), Error> {
        if self.has_unmarked_batches && self.read_only_reason.is_none() {
            self.commit(now, &[CommitItem::EndMark])?;
            self.has_unmarked_batches = false;
        }
        Ok(())
    }
}

/// A change of the index, applied once the commit is synced.
enum Edit<'a> {
    Set(&'a str, &'a [u8], Entry),
    Remove(&'a str, &'a [u8]),
}
