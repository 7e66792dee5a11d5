//! Recovery at the start: finds the live segments, the usable checkpoint and the end of the log. It appends
//! no batches, but syncs what it has read before anything relies on it.
use crate::checkpoint::{self, Checkpoint};
use crate::disk::{read_range, write_all, Disk};
use crate::engine::Options;
use crate::error::{Damage, Error};
use crate::format::{
    self, FrameError, HeaderError, Op, Records, SegmentHeader, SegmentId, Seq, FRAME_HEADER_BYTES,
    SEGMENT_HEADER_BYTES, VERSION,
};
use crate::index::{Entry, Segment, View};
use cherrypass::time::UnixTime;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The end of the log in its last segment.
pub struct Tail {
    pub segment: Arc<Segment>,
    pub end: u64,
    pub is_torn: bool,
}

/// The state of the store after recovery.
pub struct Recovered {
    pub view: View,
    pub tail: Option<Tail>,
    pub sealed_segments: BTreeMap<SegmentId, u64>,
    pub trimmed_before: SegmentId,
    pub next_seq: Seq,
    pub time: UnixTime,
    pub bytes_since_checkpoint: u64,
    pub notes: Vec<String>,
    /// Files that are no longer needed.
    pub obsolete_files: Vec<String>,
}

struct FoundSegment {
    segment: Arc<Segment>,
    header: SegmentHeader,
    length: u64,
}

/// Recovers the state of a store from its files.
pub fn recover(disk: &dyn Disk, options: &Options) -> Result<Recovered, Error> {
    let names = disk.names().map_err(Error::io("listing the files of the store"))?;
    let mut obsolete_files: Vec<String> =
        names.iter().filter(|n| n.ends_with(checkpoint::UNFINISHED_SUFFIX)).cloned().collect();
    let mut notes = Vec::new();
    let mut ids: Vec<SegmentId> = names.iter().filter_map(|name| SegmentId::from_file_name(name)).collect();
    ids.sort();
    let mut found = BTreeMap::new();
    for (index, id) in ids.iter().enumerate() {
        match open_segment(disk, *id)? {
            Ok(segment) => drop(found.insert(*id, segment)),
            // Only the last segment can have an incomplete header after a crash: a header is synced before
            // any batch.
            Err((_, length)) if index + 1 == ids.len() && length <= SEGMENT_HEADER_BYTES as u64 => {
                obsolete_files.push(id.file_name());
            }
            Err((HeaderError::Version(found), _)) => {
                return Err(Error::Version { file: id.file_name(), found, supported: VERSION });
            }
            Err((error, _)) => {
                return Err(Damage::new(
                    id.file_name(),
                    0,
                    format!("the header can't be read: {}", error.description()),
                )
                .into());
            }
        }
    }
    let missing_segment =
        |id: SegmentId| Error::from(Damage::new(id.file_name(), 0, "the segment is missing"));
    let Some(last_id) = found.keys().next_back().copied() else {
        let checkpoint = newest_checkpoint(disk, &names, &mut notes, &mut obsolete_files)
            .filter(|c| c.start.segment.0 > 0);
        return match checkpoint {
            Some(checkpoint) => Err(missing_segment(checkpoint.start.segment)),
            None => Ok(Recovered {
                view: View::default(),
                tail: None,
                sealed_segments: BTreeMap::new(),
                trimmed_before: SegmentId(1),
                next_seq: Seq(1),
                time: UnixTime::default(),
                bytes_since_checkpoint: 0,
                notes,
                obsolete_files,
            }),
        };
    };
    // The contiguous segments up to the last; whether they begin low enough is checked at the end.
    let first_id = (1..=last_id.0)
        .rev()
        .map(SegmentId)
        .take_while(|id| found.contains_key(id))
        .last()
        .unwrap_or(last_id);
    let ends: BTreeMap<SegmentId, u64> = found
        .iter()
        .filter_map(|(id, s)| Some((SegmentId(id.0.checked_sub(1)?), s.header.previous_end)))
        .collect();
    for id in (first_id.0..last_id.0).map(SegmentId) {
        let (length, end) = (found[&id].length, ends[&id]);
        if length < end {
            let description = format!("ends at byte {length} instead of {end}");
            return Err(Damage::new(id.file_name(), length, description).into());
        }
    }
    let checkpoint = newest_checkpoint(disk, &names, &mut notes, &mut obsolete_files);
    if let Some(checkpoint) = &checkpoint {
        // All that a checkpoint covers was synced, so a log that ends before it has lost data.
        let log_end = found
            .get(&checkpoint.end.segment)
            .map(|s| ends.get(&checkpoint.end.segment).unwrap_or(&s.length));
        match log_end {
            Some(log_end) if *log_end < checkpoint.end.offset => {
                let description = format!(
                    "ends at byte {log_end}, but a checkpoint covers it up to byte {}",
                    checkpoint.end.offset
                );
                return Err(Damage::new(checkpoint.end.segment.file_name(), *log_end, description).into());
            }
            None if checkpoint.end.segment > last_id => return Err(missing_segment(checkpoint.end.segment)),
            _ => {}
        }
    }
    let checkpoint_end =
        checkpoint.as_ref().map(|checkpoint| (checkpoint.end.segment, checkpoint.end.offset));
    let usable_checkpoint =
        checkpoint.filter(|checkpoint| options.use_checkpoints && checkpoint.start.segment >= first_id);
    let mut trimmed_before = found.values().map(|s| s.header.trimmed_before).max().unwrap_or(SegmentId(1));
    let mut view = View::default();
    let (mut next_seq, mut replay_start) =
        (found[&first_id].header.first_seq, (first_id, SEGMENT_HEADER_BYTES as u64));
    if let Some(checkpoint) = usable_checkpoint {
        (next_seq, replay_start) =
            (checkpoint.start.next_seq, (checkpoint.start.segment, checkpoint.start.offset));
        trimmed_before = trimmed_before.max(checkpoint.end.trimmed_before);
        view.time = checkpoint.end.time;
        checkpoint.spaces.into_iter().for_each(|(space, entries)| view.index.load_space(&space, entries));
    }
    let (mut end, mut is_torn, mut replayed, mut synced_end) = (0, false, 0, 0);
    for id in (replay_start.0 .0..=last_id.0).map(SegmentId) {
        let start = if id == replay_start.0 { replay_start.1 } else { SEGMENT_HEADER_BYTES as u64 };
        let FoundSegment { segment, header, length } = &found[&id];
        if id > replay_start.0 && header.first_seq != next_seq {
            let description =
                format!("begins with batch {} instead of batch {}", header.first_seq.0, next_seq.0);
            return Err(segment.damage(0, description).into());
        }
        let sealed_end = ends.get(&id).copied();
        synced_end = if start > SEGMENT_HEADER_BYTES as u64 { start } else { 0 };
        let mut replay = Replay {
            segment,
            view: &mut view,
            next_seq: &mut next_seq,
            trimmed_before: &mut trimmed_before,
            synced_end: &mut synced_end,
        };
        let bytes = segment.read(start, (sealed_end.unwrap_or(*length).max(start) - start) as usize)?;
        end = replay.run(&bytes, start, sealed_end)?;
        replayed += end - start;
        is_torn = end < *length;
    }
    if let Some((_, offset)) = checkpoint_end.filter(|(segment, offset)| *segment == last_id && *offset > end)
    {
        let description = format!("no valid batch, but a checkpoint covers the log up to byte {offset}");
        return Err(Damage::new(last_id.file_name(), end, description).into());
    }
    if first_id > trimmed_before {
        return Err(missing_segment(SegmentId(first_id.0 - 1)));
    }
    obsolete_files.extend(found.keys().filter(|id| **id < trimmed_before).map(|id| id.file_name()));
    found.retain(|id, _| *id >= trimmed_before);
    drop_trimmed(&mut view, trimmed_before)?;
    if !options.read_only {
        // Data that no later frame shows to be synced may exist only in the page cache, after a crash of the
        // process alone or a failed sync. It is written again, so that this sync covers it.
        let segment = &found[&last_id].segment;
        let tail = segment.read(synced_end, (end - synced_end) as usize)?;
        let synced = write_all(&*segment.file, synced_end, &tail).and_then(|()| segment.file.sync());
        synced.and_then(|()| disk.sync_folder()).map_err(Error::io("syncing the recovered log"))?;
    }
    if is_torn {
        notes.push(format!("{} has a torn tail at byte {end}", last_id.file_name()));
    }
    view.segments = found.iter().map(|(id, s)| (*id, s.segment.clone())).collect();
    let sealed_segments = (trimmed_before.0..last_id.0).map(SegmentId).map(|id| (id, ends[&id])).collect();
    let tail = Some(Tail { segment: found[&last_id].segment.clone(), end, is_torn });
    let time = view.time;
    Ok(Recovered {
        view,
        tail,
        sealed_segments,
        trimmed_before,
        next_seq,
        time,
        bytes_since_checkpoint: replayed,
        notes,
        obsolete_files,
    })
}

type InvalidHeader = (HeaderError, u64);

fn open_segment(disk: &dyn Disk, id: SegmentId) -> Result<Result<FoundSegment, InvalidHeader>, Error> {
    let read_error = || Error::io(format!("reading {}", id.file_name()));
    let file = disk.open(&id.file_name()).map_err(read_error())?;
    let length = file.length().map_err(read_error())?;
    let header = read_range(&*file, 0, SEGMENT_HEADER_BYTES).map_err(read_error())?;
    Ok(match SegmentHeader::decode(&header) {
        Ok(header) if header.id == id => {
            Ok(FoundSegment { segment: Arc::new(Segment { id, salt: header.salt, file }), header, length })
        }
        Ok(_) => Err((HeaderError::BadMagic, length)),
        Err(error) => Err((error, length)),
    })
}

/// Loads the newest readable checkpoint; the others are obsolete.
fn newest_checkpoint(
    disk: &dyn Disk,
    names: &[String],
    notes: &mut Vec<String>,
    obsolete_files: &mut Vec<String>,
) -> Option<Checkpoint> {
    let mut checkpoint_names: Vec<&String> =
        names.iter().filter(|name| name.ends_with(checkpoint::FINISHED_SUFFIX)).collect();
    checkpoint_names.sort_by(|a, b| b.cmp(a));
    let mut found = None;
    for name in checkpoint_names {
        if found.is_some() {
            obsolete_files.push(name.clone());
            continue;
        }
        match checkpoint::load(disk, name) {
            Ok(checkpoint) => found = Some(checkpoint),
            Err(error) => {
                notes.push(format!("{name} is ignored: {error}"));
                obsolete_files.push(name.clone());
            }
        }
    }
    found
}

/// Drops index entries in trimmed segments. They must have expired; a live one means that data is lost.
pub fn drop_trimmed(view: &mut View, trimmed_before: SegmentId) -> Result<(), Error> {
    if view.index.lowest_live_segment().is_none_or(|lowest| lowest >= trimmed_before) {
        return Ok(());
    }
    let now = view.time;
    let below = view.index.records_after(&None).filter(|(.., entry)| entry.segment < trimmed_before);
    let below: Vec<(String, Vec<u8>, Entry)> =
        below.map(|(space, key, entry)| (space.to_owned(), key.to_vec(), entry)).collect();
    for (space, key, entry) in below {
        if !entry.is_expired(now) {
            let description = "a live record is in a trimmed segment";
            return Err(Damage::new(entry.segment.file_name(), u64::from(entry.offset), description).into());
        }
        view.index.remove(&space, &key);
    }
    Ok(())
}

struct Replay<'a> {
    segment: &'a Segment,
    view: &'a mut View,
    next_seq: &'a mut Seq,
    trimmed_before: &'a mut SegmentId,
    /// The offset up to which the segment is known to be synced.
    synced_end: &'a mut u64,
}

impl Replay<'_> {
    /// Replays frames from `start` up to the end of a sealed segment, or up to a torn tail; returns that
    /// offset.
    fn run(&mut self, bytes: &[u8], start: u64, sealed_end: Option<u64>) -> Result<u64, Error> {
        let mut at = 0;
        loop {
            let frame_offset = start + at as u64;
            match format::decode_frame(&bytes[at..], self.segment.salt, frame_offset) {
                Ok(frame) => {
                    if frame.header.seq != *self.next_seq {
                        let description =
                            format!("batch {} follows batch {}", frame.header.seq.0, self.next_seq.0 - 1);
                        return Err(self.segment.damage(frame_offset, description).into());
                    }
                    self.apply(frame.body, frame_offset + FRAME_HEADER_BYTES as u64)?;
                    self.view.time = self.view.time.max(frame.header.time);
                    *self.next_seq = Seq(self.next_seq.0 + 1);
                    *self.synced_end = frame.header.synced_end;
                    at += frame.length();
                }
                Err(FrameError::End) if sealed_end.is_none_or(|sealed_end| sealed_end == frame_offset) => {
                    return Ok(frame_offset)
                }
                Err(error) if sealed_end.is_some() => {
                    return Err(self.segment.damage(frame_offset, error.description()).into())
                }
                Err(error) => {
                    self.torn_or_damaged(&bytes[at..], frame_offset, error)?;
                    return Ok(frame_offset);
                }
            }
        }
    }

    /// Distinguishes damage from a torn tail: if a later frame records a sync past the bad one, that was once
    /// complete. Treating such damage as a torn tail would drop acknowledged batches.
    fn torn_or_damaged(&self, bytes: &[u8], frame_offset: u64, error: FrameError) -> Result<(), Error> {
        for at in 1..bytes.len() {
            if format::frame_length(&bytes[at..]).is_err() {
                continue;
            }
            let later = format::decode_frame(&bytes[at..], self.segment.salt, frame_offset + at as u64);
            if later.is_ok_and(|later| later.header.synced_end > frame_offset) {
                return Err(self.segment.damage(frame_offset, error.description()).into());
            }
        }
        Ok(())
    }

    fn apply(&mut self, body: &[u8], body_offset: u64) -> Result<(), Error> {
        for record in Records::new(body, self.segment.salt, body_offset) {
            let unreadable = |offset| self.segment.damage(offset, "a record can't be read");
            let (op, offset, length) = record.map_err(unreadable)?;
            match op {
                Op::Put { space, key, expires, .. } => {
                    let (segment, offset) = (self.segment.id, offset as u32);
                    let expires = expires.map_or(0, |at| at.max(1));
                    self.view.index.set(space, key, Entry { segment, offset, length, expires });
                }
                Op::Delete { space, key } => self.view.index.remove(space, key),
                Op::Trim { trimmed_before } => {
                    *self.trimmed_before = (*self.trimmed_before).max(trimmed_before)
                }
            }
        }
        Ok(())
    }
}
