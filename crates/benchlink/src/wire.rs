//! Frames of the benchmark's wire format: reading events, and writing actions.
use std::io::{self, Read};

/// An input or output failure, or an invalid frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    #[error("batch {batch}: {reason}")]
    Frame { batch: u32, reason: String },
}

/// Event codes.
pub mod event {
    pub const START: u16 = 256;
    /// A list of hosts is in force for an instance, whole or as changes.
    pub const LIST: u16 = 257;
    pub const VISIT: u16 = 258;
    pub const HAND_OFF_ENDED: u16 = 260;
    pub const CLIENT_LEFT: u16 = 261;
    pub const WAKE: u16 = 262;
    pub const PROBE_ANSWERED: u16 = 263;
    pub const STOP: u16 = 265;
    pub const PURGE: u16 = 266;
    /// The entries of a list, to which `LIST` refers by number.
    pub const LIST_CONTENT: u16 = 267;
}

/// Action codes.
pub mod action {
    pub const PROBE: u16 = 259;
    pub const REFUSE: u16 = 260;
    pub const HAND_OFF: u16 = 261;
    pub const WAKE: u16 = 262;
    pub const CANCEL: u16 = 263;
    /// A hand-off to a cache, with the source that it fills from.
    pub const READ_THROUGH: u16 = 264;
    pub const LOG: u16 = 265;
    pub const FAIL: u16 = 266;
}

const HEADER_BYTES: usize = 20;
const REPLY_HEADER_BYTES: usize = 12;
const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 40;
pub const LIST_ENTRY_BYTES: usize = 23;

/// The bytes of a record, list entry or header, read by offset. Fields beyond the end read as 0.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(found) = self.0.get(at..at + N) {
            out.copy_from_slice(found);
        }
        out
    }

    pub fn u8(self, at: usize) -> u8 {
        self.bytes::<1>(at)[0]
    }

    pub fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }

    pub fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }

    pub fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }

    pub fn f32(self, at: usize) -> f32 {
        f32::from_le_bytes(self.bytes(at))
    }
}

/// A batch of events: fixed-size records, followed by a tail with variable-size data.
pub struct Frame {
    pub batch: u32,
    /// Time of the batch in microseconds.
    pub clock: u64,
    records: usize,
    body: Vec<u8>,
}

impl Frame {
    /// Reads the next frame; `None` if the input ended at a frame boundary.
    pub fn read(input: &mut impl Read) -> Result<Option<Frame>, Error> {
        let mut header = Vec::with_capacity(HEADER_BYTES);
        input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(None);
        }
        let head = Fields(&header);
        let (batch, clock) = (head.u32(0), head.u64(4));
        let error = |reason: String| Error::Frame { batch, reason };
        if header.len() < HEADER_BYTES {
            return Err(error(format!("the header ends after {} of {HEADER_BYTES} bytes", header.len())));
        }
        let (length, records) = (u64::from(head.u32(12)), u64::from(head.u32(16)));
        if records * EVENT_BYTES as u64 > length {
            return Err(error(format!("{records} records don't fit into {length} bytes")));
        }
        let mut body = Vec::new();
        input.by_ref().take(length).read_to_end(&mut body)?;
        if (body.len() as u64) < length {
            return Err(error(format!("the frame ends after {} of {length} bytes", body.len())));
        }
        Ok(Some(Frame { batch, clock, records: records as usize, body }))
    }

    pub fn records(&self) -> impl Iterator<Item = Fields<'_>> {
        self.body.chunks_exact(EVENT_BYTES).take(self.records).map(Fields)
    }

    /// An error about this frame.
    pub fn error(&self, reason: impl Into<String>) -> Error {
        Error::Frame { batch: self.batch, reason: reason.into() }
    }

    /// The part of the tail that the offset and the count at position `at` of a record refer to; `unit` is
    /// the size of one item.
    pub fn tail(&self, record: Fields, at: usize, unit: usize) -> Result<&[u8], Error> {
        let (offset, count) = (record.u32(at) as usize, record.u32(at + 4) as usize);
        let start = (self.records * EVENT_BYTES).checked_add(offset);
        let end = count.checked_mul(unit).and_then(|n| start?.checked_add(n));
        match (start, end) {
            (Some(start), Some(end)) => self.body.get(start..end),
            _ => None,
        }
        .ok_or_else(|| self.error(format!("offset {offset} and length {count} lie outside the tail")))
    }
}

/// A batch of actions that answers a frame.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Starts a record, whose other fields are written by offset.
    pub fn record(&mut self, code: u16, instance: u16) -> Record<'_> {
        let start = self.records.len();
        self.records.resize(start + ACTION_BYTES, 0);
        let mut record = Record { bytes: &mut self.records[start..], tail: &mut self.tail };
        record.put(0, &code.to_le_bytes());
        record.put(2, &instance.to_le_bytes());
        record
    }

    pub fn into_bytes(self, batch: u32) -> Vec<u8> {
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + length as usize);
        for number in [batch, count, length] {
            frame.extend(number.to_le_bytes());
        }
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}

/// An action record that is being written.
pub struct Record<'a> {
    bytes: &'a mut [u8],
    tail: &'a mut Vec<u8>,
}

impl Record<'_> {
    pub fn put(&mut self, at: usize, value: &[u8]) -> &mut Self {
        if let Some(place) = self.bytes.get_mut(at..at + value.len()) {
            place.copy_from_slice(value);
        }
        self
    }

    /// Appends a value to the tail, and writes its offset and length at position `at`.
    pub fn put_tail(&mut self, at: usize, value: &[u8]) {
        let offset = self.tail.len() as u32;
        self.tail.extend(value);
        self.put(at, &offset.to_le_bytes());
        self.put(at + 4, &(value.len() as u32).to_le_bytes());
    }
}
