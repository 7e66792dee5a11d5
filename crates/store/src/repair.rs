//! Copies the readable batches of a damaged store to a new one; the damaged store stays as it is.
use crate::disk::Disk;
use crate::engine::Batch;
use crate::error::{Damage, Error};
use crate::export::add_change;
use crate::format::{
    self, FrameError, Records, SegmentHeader, SegmentId, FRAME_HEADER_BYTES, SEGMENT_HEADER_BYTES,
};
use crate::index::Segment;

/// The result of a repair.
#[derive(Debug, Default)]
pub struct RepairReport {
    pub batches: u64,
    pub records: u64,
    /// Ranges that can't be read; their records and deletions are lost.
    pub lost: Vec<Damage>,
}

/// Reads all segments in order and passes every readable batch to `on_batch`.
pub fn salvage(
    disk: &dyn Disk,
    mut on_batch: impl FnMut(Batch) -> Result<(), Error>,
) -> Result<RepairReport, Error> {
    let names = disk.names().map_err(Error::io("listing the files of the store"))?;
    let mut report = RepairReport::default();
    let mut previous: Option<SegmentId> = None;
    for id in names.iter().filter_map(|name| SegmentId::from_file_name(name)) {
        if let Some(missing) = previous.map(SegmentId::next).filter(|next| *next < id) {
            report.lost.push(Damage::new(missing.file_name(), 0, "the segment is missing"));
        }
        previous = Some(id);
        let read_error = || Error::io(format!("reading {}", id.file_name()));
        let file = disk.open(&id.file_name()).map_err(read_error())?;
        let length = file.length().map_err(read_error())? as usize;
        let bytes = crate::disk::read_range(&*file, 0, length).map_err(read_error())?;
        let Ok(header) = SegmentHeader::decode(&bytes) else {
            report.lost.push(Damage::new(
                id.file_name(),
                0,
                "the header can't be read, so the segment's records are lost",
            ));
            continue;
        };
        let segment = Segment { id, salt: header.salt, file };
        let mut at = SEGMENT_HEADER_BYTES;
        let mut gap_start = None;
        while at < bytes.len() {
            match format::decode_frame(&bytes[at..], header.salt, at as u64) {
                Ok(frame) => {
                    if let Some((from, error)) = gap_start.take() {
                        report.lost.push(gap_damage(&segment, from, at, error));
                    }
                    let mut batch = Batch::new();
                    for record in Records::new(frame.body, header.salt, (at + FRAME_HEADER_BYTES) as u64) {
                        let Ok((op, ..)) = record else { break };
                        report.records += 1;
                        batch = add_change(batch, op);
                    }
                    report.batches += 1;
                    if !batch.changes.is_empty() {
                        on_batch(batch)?;
                    }
                    at += frame.length();
                }
                Err(error) => {
                    gap_start.get_or_insert((at, error));
                    at += 1;
                }
            }
        }
        report.lost.extend(gap_start.map(|(from, error)| gap_damage(&segment, from, bytes.len(), error)));
    }
    Ok(report)
}

fn gap_damage(segment: &Segment, from: usize, to: usize, error: FrameError) -> Damage {
    segment.damage(from as u64, format!("{}; {} bytes were skipped", error.description(), to - from))
}
