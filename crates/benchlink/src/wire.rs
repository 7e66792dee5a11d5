//! Reading and writing of frames and fields.
use std::io::{self, Read};

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    #[error("batch {batch}: {what}")]
    Frame { batch: u32, what: String },
}

pub const EVENT: usize = 48;
pub const ACTION: usize = 40;
pub const ENTRY: usize = 23;

/// A record, an entry or a header, read by position.
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

pub struct Frame {
    pub batch: u32,
    pub clock: u64,
    records: usize,
    body: Vec<u8>,
}

impl Frame {
    /// The next frame, or none where the input has ended between two frames.
    pub fn read(input: &mut impl Read) -> Result<Option<Frame>, Error> {
        let mut header = Vec::with_capacity(20);
        input.by_ref().take(20).read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(None);
        }
        let head = Fields(&header);
        let (batch, clock) = (head.u32(0), head.u64(4));
        let fault = |what: String| Error::Frame { batch, what };
        if header.len() < 20 {
            return Err(fault(format!("the header ends after {} of 20 bytes", header.len())));
        }
        let (length, records) = (u64::from(head.u32(12)), u64::from(head.u32(16)));
        if records * EVENT as u64 > length {
            return Err(fault(format!("{records} records don't fit into {length} bytes")));
        }
        let mut body = Vec::new();
        input.by_ref().take(length).read_to_end(&mut body)?;
        if (body.len() as u64) < length {
            return Err(fault(format!("the frame ends after {} of {length} bytes", body.len())));
        }
        Ok(Some(Frame { batch, clock, records: records as usize, body }))
    }

    pub fn records(&self) -> impl Iterator<Item = Fields<'_>> {
        self.body.chunks_exact(EVENT).take(self.records).map(Fields)
    }

    pub fn fault(&self, what: impl Into<String>) -> Error {
        Error::Frame { batch: self.batch, what: what.into() }
    }

    /// The part of the tail that the two numbers at a record's position point to.
    pub fn tail(&self, record: Fields, at: usize, unit: usize) -> Result<&[u8], Error> {
        let (offset, count) = (record.u32(at) as usize, record.u32(at + 4) as usize);
        let start = (self.records * EVENT).checked_add(offset);
        let end = count.checked_mul(unit).and_then(|n| start?.checked_add(n));
        match (start, end) {
            (Some(start), Some(end)) => self.body.get(start..end),
            _ => None,
        }
        .ok_or_else(|| self.fault(format!("offset {offset} and length {count} lie outside the tail")))
    }
}

#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Starts a record; its fields are written by position.
    pub fn record(&mut self, code: u16, instance: u16) -> Record<'_> {
        let start = self.records.len();
        self.records.resize(start + ACTION, 0);
        let mut record = Record { bytes: &mut self.records[start..], tail: &mut self.tail };
        record.put(0, &code.to_le_bytes());
        record.put(2, &instance.to_le_bytes());
        record
    }

    pub fn into_bytes(self, batch: u32) -> Vec<u8> {
        let count = (self.records.len() / ACTION) as u32;
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut frame = Vec::with_capacity(12 + length as usize);
        for number in [batch, count, length] {
            frame.extend(number.to_le_bytes());
        }
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}

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

    pub fn put_tail(&mut self, at: usize, value: &[u8]) {
        let offset = self.tail.len() as u32;
        self.tail.extend(value);
        self.put(at, &offset.to_le_bytes());
        self.put(at + 4, &(value.len() as u32).to_le_bytes());
    }
}
