//! The writer of the log: one round of batches is one write and one sync, and what readers see changes only
//! after it. Works on the caller's thread alone; `store::Store` puts one thread round it.
use crate::disk::{self, Disk};
use crate::error::Error;
use crate::format::{
    Encoder, FrameHead, Op, SegmentHead, SegmentId, Seq, BODY_MOST, FRAME_HEAD, KEY_MOST, RECORD_HEAD,
    SEGMENT_HEAD, SPACE_MOST,
};
use crate::index::{Entry, Segment, View};
use crate::recovery::{self, Recovered};
use cherrypass::time::UnixTime;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// How a store is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// A segment past this length is followed by a new one.
    pub segment_bytes: u64,
    /// For the salts of segments.
    pub seed: u64,
    /// Nothing is written, renamed or removed.
    pub read_only: bool,
    /// Whether a checkpoint may be used at the start.
    pub checkpoints: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options { segment_bytes: 8 << 20, seed: 0, read_only: false, checkpoints: true }
    }
}

/// What a batch does to one key.
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
        self.with(Change::Put { space: space.into(), key: key.into(), value: value.into(), expires: None })
    }

    /// As `put`, and gone from that point in time on.
    pub fn put_until(
        self,
        space: &str,
        key: impl Into<Vec<u8>>,
        value: impl Into<Vec<u8>>,
        end: UnixTime,
    ) -> Batch {
        let (key, value, expires) = (key.into(), value.into(), Some(end));
        self.with(Change::Put { space: space.into(), key, value, expires })
    }

    pub fn delete(self, space: &str, key: impl Into<Vec<u8>>) -> Batch {
        self.with(Change::Delete { space: space.into(), key: key.into() })
    }

    fn with(mut self, change: Change) -> Batch {
        // Besides its texts a record takes its head and a few bytes for their lengths and the expiry.
        self.bytes += RECORD_HEAD
            + 32
            + match &change {
                Change::Put { space, key, value, .. } => space.len() + key.len() + value.len(),
                Change::Delete { space, key } => space.len() + key.len(),
            };
        self.changes.push(change);
        self
    }

    /// The most bytes that it takes in the log.
    pub fn bytes(&self) -> usize {
        FRAME_HEAD + self.bytes
    }

    pub fn check(&self) -> Result<(), Error> {
        let bound = |what, found, most| {
            if found > most {
                Err(Error::TooLarge { what, found, most })
            } else {
                Ok(())
            }
        };
        for change in &self.changes {
            let (Change::Put { space, key, .. } | Change::Delete { space, key }) = change;
            bound("a space's name", space.len(), SPACE_MOST)?;
            bound("a key", key.len(), KEY_MOST)?;
        }
        bound("a batch", self.bytes, BODY_MOST)
    }
}

/// A live record that compaction found and where it stood then.
#[derive(Clone, Debug)]
pub struct Moved {
    pub space: String,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub was: Entry,
}

/// What a round may hold.
pub enum Item<'a> {
    Batch(&'a Batch),
    /// Written anew where it still stands at the same place.
    Moves(&'a [Moved]),
    Trim(SegmentId),
    /// The end of a run: damage before it is never taken for a torn tail.
    Mark,
}

struct Active {
    segment: Arc<Segment>,
    /// Where the next frame comes; all before it is synced.
    end: u64,
    /// What stands behind the end can't be told from what was acknowledged, so nothing is appended here.
    torn: bool,
}

pub struct Engine {
    pub disk: Arc<dyn Disk>,
    pub options: Options,
    pub view: Arc<RwLock<View>>,
    active: Option<Active>,
    floor: SegmentId,
    next: Seq,
    time: UnixTime,
    /// Why nothing may be written any more.
    stopped: Option<String>,
    chance: Pcg64Mcg,
    buffer: Vec<u8>,
    /// Bytes of segments before the active one, by what counts of each.
    sealed: BTreeMap<SegmentId, u64>,
    /// Bytes logged since the checkpoint that the start used or that was written last.
    pub since_checkpoint: u64,
    dirty: bool,
    pub notes: Vec<String>,
}

/// Where the log stands: everything before it is synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Position {
    pub segment: SegmentId,
    pub offset: u64,
    pub next: Seq,
    pub floor: SegmentId,
    #[serde(with = "micros")]
    pub time: UnixTime,
}

mod micros {
    use cherrypass::time::UnixTime;
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(time: &UnixTime, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(time.0)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<UnixTime, D::Error> {
        u64::deserialize(from).map(UnixTime)
    }
}

pub fn read(view: &RwLock<View>) -> RwLockReadGuard<'_, View> {
    view.read().unwrap_or_else(PoisonError::into_inner)
}

pub fn write(view: &RwLock<View>) -> RwLockWriteGuard<'_, View> {
    view.write().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    pub fn open(disk: Arc<dyn Disk>, options: Options) -> Result<Engine, Error> {
        let Recovered { view, tail, sealed, floor, next, time, since_checkpoint, notes, leftovers } =
            recovery::recover(&*disk, &options)?;
        let active = tail.map(|tail| Active { segment: tail.segment, end: tail.end, torn: tail.torn });
        let stopped = options.read_only.then(|| "it was opened for reading".to_owned());
        let mut engine = Engine {
            chance: Pcg64Mcg::seed_from_u64(options.seed),
            disk,
            options,
            view: Arc::new(RwLock::new(view)),
            active,
            floor,
            next,
            time,
            stopped,
            buffer: Vec::new(),
            sealed,
            since_checkpoint,
            dirty: false,
            notes,
        };
        if engine.stopped.is_none() {
            leftovers.iter().for_each(|name| engine.discard(name));
        }
        Ok(engine)
    }

    /// A file that no longer counts; one that can't be removed now is found again at the next start.
    fn discard(&mut self, name: &str) {
        if let Err(error) = self.disk.remove(name) {
            self.notes.push(format!("{name} no longer counts and can't be removed: {error}"));
        }
    }

    pub fn stopped(&self) -> Option<&str> {
        self.stopped.as_deref()
    }

    pub fn position(&self) -> Position {
        let (segment, offset) = self.active.as_ref().map_or((SegmentId(0), 0), |a| (a.segment.id, a.end));
        Position { segment, offset, next: self.next, floor: self.floor, time: self.time }
    }

    /// Bytes of the log that count as its segments' lengths, live or not.
    pub fn log_bytes(&self) -> u64 {
        self.sealed.values().sum::<u64>() + self.active.as_ref().map_or(0, |active| active.end)
    }

    pub fn sealed(&self) -> impl Iterator<Item = (SegmentId, u64)> + '_ {
        self.sealed.iter().map(|(id, length)| (*id, *length))
    }

    /// Writes and syncs all items in order, or keeps none of them; after a doubtful end it only reads.
    pub fn commit(&mut self, now: UnixTime, items: &[Item]) -> Result<Seq, Error> {
        self.commit_telling(now, items, |_| {})
    }

    /// The same; tells the first batch's number once all is written and only the machine's end could undo it.
    pub fn commit_telling(
        &mut self,
        now: UnixTime,
        items: &[Item],
        is_written: impl FnOnce(Seq),
    ) -> Result<Seq, Error> {
        if let Some(why) = &self.stopped {
            return Err(Error::ReadOnly(why.clone()));
        }
        self.time = self.time.max(now);
        let full = self.active.as_ref().is_none_or(|a| a.torn || a.end >= self.options.segment_bytes);
        if full {
            self.rotate()?;
        }
        let Some(active) = &self.active else { return Err(Error::Closed) };
        let (segment, end) = (active.segment.clone(), active.end);
        let mut bytes = std::mem::take(&mut self.buffer);
        bytes.clear();
        let (edits, next, floor) = self.encode(&mut bytes, items, &segment, end);
        let written = disk::write_all(&*segment.file, end, &bytes);
        let length = bytes.len() as u64;
        self.buffer = bytes;
        self.buffer.shrink_to(1 << 20);
        if let Err(error) = written {
            return Err(self.take_back(&segment, end, error));
        }
        is_written(self.next);
        if let Err(error) = segment.file.sync() {
            return Err(self.stop(format!("syncing {} failed: {error}", segment.id.file())));
        }
        if let Some(active) = &mut self.active {
            active.end = end + length;
        }
        (self.next, self.floor, self.dirty) = (next, floor, true);
        self.since_checkpoint += length;
        let mut view = write(&self.view);
        view.time = self.time;
        for edit in edits {
            match edit {
                Edit::Set(space, key, entry) => view.index.set(space, key, entry),
                Edit::Remove(space, key) => view.index.remove(space, key),
            }
        }
        Ok(Seq(next.0 - 1))
    }

    fn encode<'a>(
        &self,
        bytes: &mut Vec<u8>,
        items: &'a [Item],
        segment: &Segment,
        end: u64,
    ) -> (Vec<Edit<'a>>, Seq, SegmentId) {
        let mut frames = Encoder::new(bytes, segment.salt, end);
        let (mut next, mut floor) = (self.next, self.floor);
        let mut edits = Vec::new();
        let moves = items.iter().any(|item| matches!(item, Item::Moves(_)));
        let mut touched: HashSet<(&str, &[u8])> = HashSet::new();
        for item in items {
            frames.begin();
            let mut records = 0;
            let mut add = |frames: &mut Encoder, op: Op| {
                records += 1;
                frames.record(&op)
            };
            match item {
                Item::Batch(batch) => {
                    for change in &batch.changes {
                        let (offset, length) = add(&mut frames, change.op());
                        edits.push(match change {
                            Change::Put { space, key, expires, .. } => {
                                let expires = expires.map_or(0, |at| at.0.max(1));
                                let (segment, offset) = (segment.id, offset as u32);
                                Edit::Set(space, key, Entry { segment, offset, length, expires })
                            }
                            Change::Delete { space, key } => Edit::Remove(space, key),
                        });
                        let (Change::Put { space, key, .. } | Change::Delete { space, key }) = change;
                        if moves {
                            touched.insert((space, key));
                        }
                    }
                }
                Item::Moves(moved) => {
                    let view = read(&self.view);
                    for Moved { space, key, value, was } in *moved {
                        // Guards against a move that brings back what was written anew meanwhile.
                        let stands = view.index.get(space, key) == Some(*was);
                        if !stands || touched.contains(&(&space[..], &key[..])) {
                            continue;
                        }
                        let expires = Some(was.expires).filter(|at| *at != 0);
                        let (offset, length) = add(&mut frames, Op::Put { space, key, value, expires });
                        let entry = Entry { segment: segment.id, offset: offset as u32, length, ..*was };
                        edits.push(Edit::Set(space, key, entry));
                    }
                }
                Item::Trim(to) => {
                    floor = floor.max(*to);
                    add(&mut frames, Op::Trim { floor });
                }
                Item::Mark => {}
            }
            frames.finish(FrameHead { seq: next, records, synced: end, at: self.time });
            next = Seq(next.0 + 1);
        }
        (edits, next, floor)
    }

    /// Takes a failed write's bytes off the file again, so that a refused batch can't turn up after a crash.
    fn take_back(&mut self, segment: &Segment, end: u64, error: io::Error) -> Error {
        let file = segment.id.file();
        if error.kind() != io::ErrorKind::StorageFull {
            return self.stop(format!("writing {file} failed: {error}"));
        }
        match segment.file.cut(end).and_then(|()| segment.file.sync()) {
            Ok(()) => Error::Full(error.to_string()),
            Err(second) => self.stop(format!("{file} can't be cut back after {error}: {second}")),
        }
    }

    fn stop(&mut self, why: String) -> Error {
        self.stopped = Some(why.clone());
        Error::ReadOnly(why)
    }

    /// Begins a new segment. Nothing is acknowledged in it before its head and its name are synced.
    fn rotate(&mut self) -> Result<(), Error> {
        let before = self.active.as_ref().map_or(0, |active| active.end);
        let last = self.active.as_ref().map_or(self.floor.max(SegmentId(1)), |a| a.segment.id.next());
        let head = SegmentHead {
            id: last,
            salt: self.chance.next_u64(),
            first: self.next,
            before,
            floor: self.floor,
        };
        let name = last.file();
        let file = match self.disk.create(&name) {
            // The torn beginning of one that was never used.
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                self.disk.remove(&name).and_then(|()| self.disk.create(&name))
            }
            other => other,
        };
        let written = file.and_then(|file| disk::write_all(&*file, 0, &head.encode()).map(|()| file));
        let file = match written {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::StorageFull => {
                let _ = self.disk.remove(&name);
                return Err(Error::Full(error.to_string()));
            }
            Err(error) => return Err(self.stop(format!("beginning {name} failed: {error}"))),
        };
        if let Err(error) = file.sync().and_then(|()| self.disk.sync_folder()) {
            return Err(self.stop(format!("syncing {name} and its folder failed: {error}")));
        }
        let segment = Arc::new(Segment { id: last, salt: head.salt, file });
        if let Some(old) = self.active.take() {
            self.sealed.insert(old.segment.id, old.end);
        }
        write(&self.view).segments.insert(last, segment.clone());
        self.active = Some(Active { segment, end: SEGMENT_HEAD as u64, torn: false });
        Ok(())
    }

    /// Seals the active segment, so that compaction may take it.
    pub fn seal(&mut self, now: UnixTime) -> Result<(), Error> {
        if let Some(active) = self.active.as_mut().filter(|active| active.end > SEGMENT_HEAD as u64) {
            active.torn = true;
        }
        self.commit(now, &[Item::Mark]).map(|_| ())
    }

    /// Compaction is done with the oldest segment: it no longer counts, and then its file goes.
    pub fn trim(&mut self, now: UnixTime, segment: SegmentId) -> Result<(), Error> {
        self.commit(now, &[Item::Trim(segment.next())])?;
        self.sealed.remove(&segment);
        {
            let mut view = write(&self.view);
            recovery::drop_trimmed(&mut view, self.floor)?;
            view.segments.remove(&segment);
        }
        self.discard(&segment.file());
        Ok(())
    }

    /// Ends a run; from then on a damaged last batch is told from a torn one.
    pub fn close(&mut self, now: UnixTime) -> Result<(), Error> {
        if self.dirty && self.stopped.is_none() {
            self.commit(now, &[Item::Mark])?;
            self.dirty = false;
        }
        Ok(())
    }
}

enum Edit<'a> {
    Set(&'a str, &'a [u8], Entry),
    Remove(&'a str, &'a [u8]),
}
