//! Export of a consistent view to one file, and import. An export has the format of a single segment: placed
//! in an empty folder as 0000000001.log it is a store.
use crate::engine::{Batch, Change};
use crate::error::{Damage, Error};
use crate::format::{
    self, Encoder, FrameError, FrameHeader, Op, Records, SegmentHeader, SegmentId, Seq, FRAME_HEADER_BYTES,
    SEGMENT_HEADER_BYTES,
};
use crate::index::View;
use cherrypass::time::UnixTime;
use std::io::Write;

const FRAME_TARGET_BYTES: usize = 64 << 10;

/// Writes all records that are live at `now`; returns their number.
pub fn export(view: &View, now: UnixTime, salt: u64, to: &mut dyn Write) -> Result<u64, Error> {
    let write_error = || Error::io("writing the export");
    let id = SegmentId(1);
    to.write_all(
        &SegmentHeader { id, salt, first_seq: Seq(1), previous_end: 0, trimmed_before: id }.encode(),
    )
    .map_err(write_error())?;
    let (mut seq, mut offset, mut total) = (1, SEGMENT_HEADER_BYTES as u64, 0);
    let mut remaining =
        view.index.records_after(&None).filter(|(.., entry)| !entry.is_expired(now)).peekable();
    let mut is_complete = false;
    while !is_complete {
        let mut bytes = Vec::with_capacity(2 * FRAME_TARGET_BYTES);
        let mut frames = Encoder::new(&mut bytes, salt, offset);
        frames.begin_frame();
        let mut records = 0;
        while frames.bytes.len() < FRAME_TARGET_BYTES {
            let Some((space, key, entry)) = remaining.next() else { break };
            let value = view.segment(entry.segment)?.read_value(&entry)?;
            let expires = Some(entry.expires).filter(|at| *at != 0);
            frames.push_record(&Op::Put { space, key, value: &value, expires });
            records += 1;
        }
        // An empty frame at the end shows that the export is complete.
        is_complete = records == 0;
        total += u64::from(records);
        frames.finish_frame(FrameHeader {
            seq: Seq(seq),
            records,
            synced_end: offset,
            time: view.time.max(now),
        });
        to.write_all(&bytes).map_err(write_error())?;
        seq += 1;
        offset += bytes.len() as u64;
    }
    to.flush().map_err(write_error())?;
    Ok(total)
}

/// Decodes and verifies a complete export; returns the batches to write.
pub fn import(name: &str, bytes: &[u8]) -> Result<Vec<Batch>, Error> {
    let damage = |at: usize, what: &str| Error::from(Damage::new(name, at as u64, what));
    let header =
        SegmentHeader::decode(bytes).map_err(|_| damage(0, "not an export: the header can't be read"))?;
    let (mut batches, mut at, mut is_complete) = (Vec::new(), SEGMENT_HEADER_BYTES, false);
    loop {
        let frame = match format::decode_frame(&bytes[at..], header.salt, at as u64) {
            Ok(frame) => frame,
            Err(FrameError::End) if is_complete => return Ok(batches),
            Err(error) => return Err(damage(at, error.description())),
        };
        let mut batch = Batch::new();
        for record in Records::new(frame.body, header.salt, (at + FRAME_HEADER_BYTES) as u64) {
            let (op, ..) = record.map_err(|at| damage(at as usize, "a record can't be read"))?;
            batch = add_change(batch, op);
        }
        is_complete = frame.header.records == 0;
        if !batch.changes.is_empty() {
            batches.push(batch);
        }
        at += frame.length();
    }
}

/// Adds the change of a record to a batch.
pub fn add_change(batch: Batch, op: Op) -> Batch {
    match op {
        Op::Put { space, key, value, expires: None } => batch.put(space, key, value),
        Op::Put { space, key, value, expires: Some(at) } => batch.put_until(space, key, value, UnixTime(at)),
        Op::Delete { space, key } => batch.delete(space, key),
        Op::Trim { .. } => batch,
    }
}

/// The number of records that the batches put.
pub fn count_puts(batches: &[Batch]) -> usize {
    batches
        .iter()
        .map(|batch: &Batch| batch.changes.iter().filter(|c| matches!(c, Change::Put { .. })).count())
        .sum()
}
