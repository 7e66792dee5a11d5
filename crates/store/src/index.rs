//! Where each live record stands: spaces, their keys in order, and what of each segment is still live.
use crate::disk::{read_range, File};
use crate::error::{Damage, Error};
use crate::format::{self, FrameFault, Op, Records, SegmentId, FRAME_HEAD};
use cherrypass::time::UnixTime;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// Where a record stands and until when it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub segment: SegmentId,
    pub offset: u32,
    pub length: u32,
    /// In microseconds of Unix time; zero for ever.
    pub expires: u64,
}

impl Entry {
    pub fn is_over(&self, now: UnixTime) -> bool {
        self.expires != 0 && self.expires <= now.0
    }
}

/// How far a walk through a segment's batches has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Walked {
    pub bytes: u64,
    pub batches: u64,
    /// Where the next begins; none at the end.
    pub next: Option<u64>,
}

/// A segment as readers hold it; its file stays readable after it is removed.
pub struct Segment {
    pub id: SegmentId,
    pub salt: u64,
    pub file: Arc<dyn File>,
}

impl Segment {
    pub fn damage(&self, offset: u64, what: impl Into<String>) -> Damage {
        Damage::new(self.id.file(), offset, what)
    }

    pub fn read(&self, offset: u64, most: usize) -> Result<Vec<u8>, Error> {
        read_range(&*self.file, offset, most).map_err(Error::io(format!("reading {}", self.id.file())))
    }

    /// Takes whole batches from a place on, about so many bytes of them, and tells each record, where it stands
    /// and how long it is. A batch longer than that is taken whole all the same.
    pub fn walk(
        &self,
        start: u64,
        end: u64,
        bytes: usize,
        mut each: impl FnMut(Op, u64, u32),
    ) -> Result<Walked, Error> {
        let left = (end - start) as usize;
        let mut text = self.read(start, bytes.max(FRAME_HEAD).min(left))?;
        if let Err(FrameFault::Short) = format::framed(&text) {
            text = self.read(start, left)?;
        }
        let mut walked = Walked { bytes: 0, batches: 0, next: None };
        loop {
            let at = walked.bytes as usize;
            let place = start + walked.bytes;
            let frame = match format::frame(&text[at..], self.salt, place) {
                Ok(frame) => frame,
                Err(FrameFault::End) if place == end => break,
                Err(FrameFault::End | FrameFault::Short) if at > 0 && text.len() < left => break,
                Err(fault) => return Err(self.damage(place, fault.what()).into()),
            };
            for record in Records::new(frame.body, self.salt, place + FRAME_HEAD as u64) {
                let (op, offset, length) = record.map_err(|at| self.damage(at, "a record can't be read"))?;
                each(op, offset, length);
            }
            walked.batches += 1;
            walked.bytes += frame.length() as u64;
        }
        walked.next = Some(start + walked.bytes).filter(|next| *next < end);
        Ok(walked)
    }

    /// The value of a record, checked on the way.
    pub fn value(&self, entry: &Entry) -> Result<Vec<u8>, Error> {
        let bytes = self.read(u64::from(entry.offset), entry.length as usize)?;
        match format::record(&bytes, self.salt, u64::from(entry.offset)) {
            Some((Op::Put { value, .. }, _)) => Ok(value.to_vec()),
            _ => Err(self.damage(u64::from(entry.offset), "a record can't be read").into()),
        }
    }
}

/// Short keys stand in the map itself.
pub type Key = SmallVec<[u8; 16]>;
type Space = BTreeMap<Key, Entry>;

#[derive(Clone, Default)]
pub struct Index {
    spaces: BTreeMap<Box<str>, Space>,
    /// Bytes of live records by segment.
    live: BTreeMap<SegmentId, u64>,
    records: usize,
    /// Those that end at some time.
    ending: usize,
}

/// One step of a walk through all records: where it stands.
pub type Place = Option<(Box<str>, Key)>;

/// A space, a key and where its record stands.
pub type Found<'a> = (&'a str, &'a [u8], Entry);

impl Index {
    pub fn get(&self, space: &str, key: &[u8]) -> Option<Entry> {
        self.spaces.get(space)?.get(key).copied()
    }

    pub fn set(&mut self, space: &str, key: &[u8], entry: Entry) {
        if !self.spaces.contains_key(space) {
            self.spaces.insert(space.into(), Space::new());
        }
        let old = self.spaces.get_mut(space).and_then(|known| match known.get_mut(key) {
            Some(place) => Some(std::mem::replace(place, entry)),
            None => known.insert(key.into(), entry),
        });
        match old {
            Some(old) => self.dead(&old),
            None => self.records += 1,
        }
        self.born(&entry);
    }

    fn born(&mut self, entry: &Entry) {
        *self.live.entry(entry.segment).or_default() += u64::from(entry.length);
        self.ending += usize::from(entry.expires != 0);
    }

    pub fn remove(&mut self, space: &str, key: &[u8]) {
        let Some(known) = self.spaces.get_mut(space) else { return };
        let Some(old) = known.remove(key) else { return };
        if known.is_empty() {
            self.spaces.remove(space);
        }
        self.records -= 1;
        self.dead(&old);
    }

    fn dead(&mut self, old: &Entry) {
        self.ending -= usize::from(old.expires != 0);
        if let Some(live) = self.live.get_mut(&old.segment) {
            *live = live.saturating_sub(u64::from(old.length));
            if *live == 0 {
                self.live.remove(&old.segment);
            }
        }
    }

    /// Takes a whole space of a checkpoint, which is in order.
    pub fn fill(&mut self, space: &str, entries: Vec<(Key, Entry)>) {
        self.records += entries.len();
        entries.iter().for_each(|(_, entry)| self.born(entry));
        self.spaces.insert(space.into(), entries.into_iter().collect());
    }

    /// Whether any record ends at some time.
    pub fn has_ending(&self) -> bool {
        self.ending > 0
    }

    pub fn records(&self) -> usize {
        self.records
    }

    pub fn live_bytes(&self) -> u64 {
        self.live.values().sum()
    }

    pub fn live_in(&self, segment: SegmentId) -> u64 {
        self.live.get(&segment).copied().unwrap_or(0)
    }

    /// The lowest segment that holds a live record.
    pub fn lowest(&self) -> Option<SegmentId> {
        self.live.keys().next().copied()
    }

    pub fn spaces(&self) -> impl Iterator<Item = (&str, usize)> {
        self.spaces.iter().map(|(name, known)| (&**name, known.len()))
    }

    pub fn scan<'a>(
        &'a self,
        space: &str,
        from: Bound<&[u8]>,
    ) -> impl Iterator<Item = (&'a [u8], Entry)> + 'a {
        let known = self.spaces.get(space);
        let from = from.map(Key::from_slice);
        known.into_iter().flat_map(move |known| {
            let from = from.as_ref().map(Key::as_slice);
            known.range::<[u8], _>((from, Bound::Unbounded)).map(|(key, entry)| (&**key, *entry))
        })
    }

    /// All records after a place, in order.
    pub fn after(&self, place: &Place) -> impl Iterator<Item = Found<'_>> {
        let (space, key) = place.clone().unzip();
        let from = space.clone().map_or(Bound::Unbounded, Bound::Included);
        self.spaces.range::<Box<str>, _>((from, Bound::Unbounded)).flat_map(move |(name, known)| {
            let here = key.clone().filter(|_| space.as_ref() == Some(name));
            let from = here.as_ref().map_or(Bound::Unbounded, |key| Bound::Excluded(key.as_slice()));
            let found = known.range::<[u8], _>((from, Bound::Unbounded));
            found.map(move |(key, entry)| (&**name, &**key, *entry))
        })
    }

    /// Drops records whose time is over, looking at so many from a place on; where to go on, or none at the end.
    pub fn expire(&mut self, now: UnixTime, place: &Place, most: usize) -> (usize, Place) {
        let mut last = None;
        let mut over = Vec::new();
        for (space, key, entry) in self.after(place).take(most) {
            last = Some((Box::from(space), Key::from_slice(key)));
            if entry.is_over(now) {
                over.push((Box::<str>::from(space), Key::from_slice(key)));
            }
        }
        over.iter().for_each(|(space, key)| self.remove(space, key));
        (over.len(), last)
    }
}

/// What readers see: all that is durable.
#[derive(Clone, Default)]
pub struct View {
    pub index: Index,
    pub segments: BTreeMap<SegmentId, Arc<Segment>>,
    /// The store's time at the last batch.
    pub time: UnixTime,
}

impl View {
    pub fn segment(&self, id: SegmentId) -> Result<Arc<Segment>, Error> {
        let found = self.segments.get(&id).cloned();
        found.ok_or_else(|| Damage::new(id.file(), 0, "the segment of a record is missing").into())
    }
}
