//! The start: which segments count, from which checkpoint, and where the log ends. It writes nothing new; what it
//! read is synced before anybody may rely on it.
use crate::checkpoint::{self, Checkpoint};
use crate::disk::{read_range, write_all, Disk};
use crate::engine::Options;
use crate::error::{Damage, Error};
use crate::format::{
    self, FrameFault, HeadFault, Op, Records, SegmentHead, SegmentId, Seq, FRAME_HEAD, SEGMENT_HEAD, VERSION,
};
use crate::index::{Entry, Segment, View};
use cherrypass::time::UnixTime;
use std::collections::BTreeMap;
use std::sync::Arc;

pub struct Tail {
    pub segment: Arc<Segment>,
    pub end: u64,
    pub torn: bool,
}

pub struct Recovered {
    pub view: View,
    pub tail: Option<Tail>,
    pub sealed: BTreeMap<SegmentId, u64>,
    pub floor: SegmentId,
    pub next: Seq,
    pub time: UnixTime,
    pub since_checkpoint: u64,
    pub notes: Vec<String>,
    /// Files that no longer count.
    pub leftovers: Vec<String>,
}

struct Found {
    segment: Arc<Segment>,
    head: SegmentHead,
    length: u64,
}

pub fn recover(disk: &dyn Disk, options: &Options) -> Result<Recovered, Error> {
    let names = disk.names().map_err(Error::io("listing the folder"))?;
    let mut leftovers: Vec<String> =
        names.iter().filter(|n| n.ends_with(checkpoint::UNDONE)).cloned().collect();
    let mut notes = Vec::new();
    let mut ids: Vec<SegmentId> = names.iter().filter_map(|name| SegmentId::of_file(name)).collect();
    ids.sort();
    let mut found = BTreeMap::new();
    for (place, id) in ids.iter().enumerate() {
        match segment(disk, *id)? {
            Ok(segment) => drop(found.insert(*id, segment)),
            // Only the last can be a beginning that a crash cut short: a head is synced before anything follows.
            Err((_, length)) if place + 1 == ids.len() && length <= SEGMENT_HEAD as u64 => {
                leftovers.push(id.file());
            }
            Err((HeadFault::Version(found), _)) => {
                return Err(Error::Version { file: id.file(), found, known: VERSION });
            }
            Err((fault, _)) => {
                return Err(Damage::new(id.file(), 0, format!("the head can't be read: {fault:?}")).into());
            }
        }
    }
    let lost = |id: SegmentId| Error::from(Damage::new(id.file(), 0, "the segment is missing"));
    let Some(last) = found.keys().next_back().copied() else {
        let checkpoint = newest(disk, &names, &mut notes, &mut leftovers).filter(|c| c.from.segment.0 > 0);
        return match checkpoint {
            Some(checkpoint) => Err(lost(checkpoint.from.segment)),
            None => Ok(Recovered {
                view: View::default(),
                tail: None,
                sealed: BTreeMap::new(),
                floor: SegmentId(1),
                next: Seq(1),
                time: UnixTime::default(),
                since_checkpoint: 0,
                notes,
                leftovers,
            }),
        };
    };
    // The unbroken row of segments that ends with the last; whether it begins low enough shows at the end.
    let first =
        (1..=last.0).rev().map(SegmentId).take_while(|id| found.contains_key(id)).last().unwrap_or(last);
    let ends: BTreeMap<SegmentId, u64> =
        found.iter().filter_map(|(id, s)| Some((SegmentId(id.0.checked_sub(1)?), s.head.before))).collect();
    for id in (first.0..last.0).map(SegmentId) {
        let (length, end) = (found[&id].length, ends[&id]);
        if length < end {
            let what = format!("ends at byte {length} of {end}");
            return Err(Damage::new(id.file(), length, what).into());
        }
    }
    let checkpoint = newest(disk, &names, &mut notes, &mut leftovers);
    if let Some(known) = &checkpoint {
        // What a checkpoint covers was synced: a log that ends before it has lost something.
        let reached = found.get(&known.to.segment).map(|s| ends.get(&known.to.segment).unwrap_or(&s.length));
        match reached {
            Some(reached) if *reached < known.to.offset => {
                let what = format!("ends at byte {reached}, a checkpoint has seen {}", known.to.offset);
                return Err(Damage::new(known.to.segment.file(), *reached, what).into());
            }
            None if known.to.segment > last => return Err(lost(known.to.segment)),
            _ => {}
        }
    }
    let seen = checkpoint.as_ref().map(|known| (known.to.segment, known.to.offset));
    let usable = checkpoint.filter(|known| options.checkpoints && known.from.segment >= first);
    let mut floor = found.values().map(|s| s.head.floor).max().unwrap_or(SegmentId(1));
    let mut view = View::default();
    let (mut next, mut from) = (found[&first].head.first, (first, SEGMENT_HEAD as u64));
    if let Some(known) = usable {
        (next, from) = (known.from.next, (known.from.segment, known.from.offset));
        floor = floor.max(known.to.floor);
        view.time = known.to.time;
        known.spaces.into_iter().for_each(|(space, entries)| view.index.fill(&space, entries));
    }
    let (mut end, mut torn, mut read, mut known) = (0, false, 0, 0);
    for id in (from.0 .0..=last.0).map(SegmentId) {
        let start = if id == from.0 { from.1 } else { SEGMENT_HEAD as u64 };
        let Found { segment, head, length } = &found[&id];
        if id > from.0 && head.first != next {
            let what = format!("begins with batch {}, batch {} was to follow", head.first.0, next.0);
            return Err(segment.damage(0, what).into());
        }
        let until = ends.get(&id).copied();
        known = if start > SEGMENT_HEAD as u64 { start } else { 0 };
        let mut replay =
            Replay { segment, view: &mut view, next: &mut next, floor: &mut floor, known: &mut known };
        let bytes = segment.read(start, (until.unwrap_or(*length).max(start) - start) as usize)?;
        end = replay.run(&bytes, start, until)?;
        read += end - start;
        torn = end < *length;
    }
    if let Some((_, offset)) = seen.filter(|(segment, offset)| *segment == last && *offset > end) {
        let what = format!("no whole batch, a checkpoint has seen byte {offset}");
        return Err(Damage::new(last.file(), end, what).into());
    }
    if first > floor {
        return Err(lost(SegmentId(first.0 - 1)));
    }
    leftovers.extend(found.keys().filter(|id| **id < floor).map(|id| id.file()));
    found.retain(|id, _| *id >= floor);
    drop_trimmed(&mut view, floor)?;
    if !options.read_only {
        // Guards against trusting what only the machine's memory holds yet, as after the process alone died, or
        // after a sync that failed: what no batch knows to be synced is written once more, so that this one counts.
        let segment = &found[&last].segment;
        let tail = segment.read(known, (end - known) as usize)?;
        let kept = write_all(&*segment.file, known, &tail).and_then(|()| segment.file.sync());
        kept.and_then(|()| disk.sync_folder()).map_err(Error::io("syncing what was recovered"))?;
    }
    if torn {
        notes.push(format!("{} ends torn at byte {end}", last.file()));
    }
    view.segments = found.iter().map(|(id, s)| (*id, s.segment.clone())).collect();
    let sealed = (floor.0..last.0).map(SegmentId).map(|id| (id, ends[&id])).collect();
    let tail = Some(Tail { segment: found[&last].segment.clone(), end, torn });
    let time = view.time;
    Ok(Recovered { view, tail, sealed, floor, next, time, since_checkpoint: read, notes, leftovers })
}

type Headless = (HeadFault, u64);

fn segment(disk: &dyn Disk, id: SegmentId) -> Result<Result<Found, Headless>, Error> {
    let reading = || Error::io(format!("reading {}", id.file()));
    let file = disk.open(&id.file()).map_err(reading())?;
    let length = file.length().map_err(reading())?;
    let head = read_range(&*file, 0, SEGMENT_HEAD).map_err(reading())?;
    Ok(match SegmentHead::decode(&head) {
        Ok(head) if head.id == id => {
            Ok(Found { segment: Arc::new(Segment { id, salt: head.salt, file }), head, length })
        }
        Ok(_) => Err((HeadFault::Magic, length)),
        Err(fault) => Err((fault, length)),
    })
}

/// The newest checkpoint that can be read; the others and the torn ones are left over.
fn newest(
    disk: &dyn Disk,
    names: &[String],
    notes: &mut Vec<String>,
    leftovers: &mut Vec<String>,
) -> Option<Checkpoint> {
    let mut known: Vec<&String> = names.iter().filter(|name| name.ends_with(checkpoint::DONE)).collect();
    known.sort_by(|a, b| b.cmp(a));
    let mut found = None;
    for name in known {
        if found.is_some() {
            leftovers.push(name.clone());
            continue;
        }
        match checkpoint::load(disk, name) {
            Ok(checkpoint) => found = Some(checkpoint),
            Err(error) => {
                notes.push(format!("{name} is passed over: {error}"));
                leftovers.push(name.clone());
            }
        }
    }
    found
}

/// Records below the floor were moved or had ended; one that still counts would be lost.
pub fn drop_trimmed(view: &mut View, floor: SegmentId) -> Result<(), Error> {
    if view.index.lowest().is_none_or(|lowest| lowest >= floor) {
        return Ok(());
    }
    let now = view.time;
    let below = view.index.after(&None).filter(|(.., entry)| entry.segment < floor);
    let below: Vec<(String, Vec<u8>, Entry)> =
        below.map(|(space, key, entry)| (space.to_owned(), key.to_vec(), entry)).collect();
    for (space, key, entry) in below {
        if !entry.is_over(now) {
            let what = "a record that counts is in a segment that no longer does";
            return Err(Damage::new(entry.segment.file(), u64::from(entry.offset), what).into());
        }
        view.index.remove(&space, &key);
    }
    Ok(())
}

struct Replay<'a> {
    segment: &'a Segment,
    view: &'a mut View,
    next: &'a mut Seq,
    floor: &'a mut SegmentId,
    /// Up to where the last batch knew the segment to be synced.
    known: &'a mut u64,
}

impl Replay<'_> {
    /// Takes frames from a place on, up to where a sealed segment ends or as far as a torn one goes; where
    /// that is.
    fn run(&mut self, bytes: &[u8], start: u64, until: Option<u64>) -> Result<u64, Error> {
        let mut at = 0;
        loop {
            let place = start + at as u64;
            match format::frame(&bytes[at..], self.segment.salt, place) {
                Ok(frame) => {
                    if frame.head.seq != *self.next {
                        let what = format!("batch {} follows on batch {}", frame.head.seq.0, self.next.0 - 1);
                        return Err(self.segment.damage(place, what).into());
                    }
                    self.apply(frame.body, place + FRAME_HEAD as u64)?;
                    self.view.time = self.view.time.max(frame.head.at);
                    *self.next = Seq(self.next.0 + 1);
                    *self.known = frame.head.synced;
                    at += frame.length();
                }
                Err(FrameFault::End) if until.is_none_or(|until| until == place) => return Ok(place),
                Err(fault) if until.is_some() => return Err(self.segment.damage(place, fault.what()).into()),
                Err(fault) => {
                    self.torn_or_damaged(&bytes[at..], place, fault)?;
                    return Ok(place);
                }
            }
        }
    }

    /// What follows on a bad frame tells what it is: where a later one knows of a sync past it, it was whole
    /// once. Guards against damage that is passed over as a torn tail, and all acknowledged after it with it.
    fn torn_or_damaged(&self, bytes: &[u8], place: u64, fault: FrameFault) -> Result<(), Error> {
        for at in 1..bytes.len() {
            if format::framed(&bytes[at..]).is_err() {
                continue;
            }
            let later = format::frame(&bytes[at..], self.segment.salt, place + at as u64);
            if later.is_ok_and(|later| later.head.synced > place) {
                return Err(self.segment.damage(place, fault.what()).into());
            }
        }
        Ok(())
    }

    fn apply(&mut self, body: &[u8], place: u64) -> Result<(), Error> {
        for record in Records::new(body, self.segment.salt, place) {
            let unreadable = |place| self.segment.damage(place, "a record can't be read");
            let (op, offset, length) = record.map_err(unreadable)?;
            match op {
                Op::Put { space, key, expires, .. } => {
                    let (segment, offset) = (self.segment.id, offset as u32);
                    let expires = expires.map_or(0, |at| at.max(1));
                    self.view.index.set(space, key, Entry { segment, offset, length, expires });
                }
                Op::Delete { space, key } => self.view.index.remove(space, key),
                Op::Trim { floor } => *self.floor = (*self.floor).max(floor),
            }
        }
        Ok(())
    }
}
