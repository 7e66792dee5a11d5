//! A consistent view as one file, and back. An export is a whole segment of a store: put into an empty folder as
//! 0000000001.log it is one.
use crate::engine::{Batch, Change};
use crate::error::{Damage, Error};
use crate::format::{
    self, Encoder, FrameFault, FrameHead, Op, Records, SegmentHead, SegmentId, Seq, FRAME_HEAD, SEGMENT_HEAD,
};
use crate::index::View;
use cherrypass::time::UnixTime;
use std::io::Write;

const FRAME_BYTES: usize = 64 << 10;

/// Writes all that counts at that time; returns how many records that is.
pub fn export(view: &View, now: UnixTime, salt: u64, to: &mut dyn Write) -> Result<u64, Error> {
    let writing = || Error::io("writing the export");
    let id = SegmentId(1);
    to.write_all(&SegmentHead { id, salt, first: Seq(1), before: 0, floor: id }.encode())
        .map_err(writing())?;
    let (mut seq, mut place, mut all) = (1, SEGMENT_HEAD as u64, 0);
    let mut left = view.index.after(&None).filter(|(.., entry)| !entry.is_over(now)).peekable();
    let mut ended = false;
    while !ended {
        let mut bytes = Vec::with_capacity(2 * FRAME_BYTES);
        let mut frames = Encoder::new(&mut bytes, salt, place);
        frames.begin();
        let mut records = 0;
        while frames.bytes.len() < FRAME_BYTES {
            let Some((space, key, entry)) = left.next() else { break };
            let value = view.segment(entry.segment)?.value(&entry)?;
            let expires = Some(entry.expires).filter(|at| *at != 0);
            frames.record(&Op::Put { space, key, value: &value, expires });
            records += 1;
        }
        // The last one is empty: what it follows on is whole.
        ended = records == 0;
        all += u64::from(records);
        frames.finish(FrameHead { seq: Seq(seq), records, synced: place, at: view.time.max(now) });
        to.write_all(&bytes).map_err(writing())?;
        seq += 1;
        place += bytes.len() as u64;
    }
    to.flush().map_err(writing())?;
    Ok(all)
}

/// Reads a whole export before anything is taken of it; the batches to write.
pub fn import(name: &str, bytes: &[u8]) -> Result<Vec<Batch>, Error> {
    let damage = |at: usize, what: &str| Error::from(Damage::new(name, at as u64, what));
    let head = SegmentHead::decode(bytes).map_err(|_| damage(0, "not an export: its head can't be read"))?;
    let (mut batches, mut at, mut ended) = (Vec::new(), SEGMENT_HEAD, false);
    loop {
        let frame = match format::frame(&bytes[at..], head.salt, at as u64) {
            Ok(frame) => frame,
            Err(FrameFault::End) if ended => return Ok(batches),
            Err(fault) => return Err(damage(at, fault.what())),
        };
        let mut batch = Batch::new();
        for record in Records::new(frame.body, head.salt, (at + FRAME_HEAD) as u64) {
            let (op, ..) = record.map_err(|at| damage(at as usize, "a record can't be read"))?;
            batch = taken(batch, op);
        }
        ended = frame.head.records == 0;
        if !batch.changes.is_empty() {
            batches.push(batch);
        }
        at += frame.length();
    }
}

/// A batch with one more record's change.
pub fn taken(batch: Batch, op: Op) -> Batch {
    match op {
        Op::Put { space, key, value, expires: None } => batch.put(space, key, value),
        Op::Put { space, key, value, expires: Some(at) } => batch.put_until(space, key, value, UnixTime(at)),
        Op::Delete { space, key } => batch.delete(space, key),
        Op::Trim { .. } => batch,
    }
}

/// How many changes these are.
pub fn count(batches: &[Batch]) -> usize {
    batches
        .iter()
        .map(|batch: &Batch| batch.changes.iter().filter(|c| matches!(c, Change::Put { .. })).count())
        .sum()
}
