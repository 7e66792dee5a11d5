//! Encoding and decoding of segments, frames and records, as specified in docs/store.md. All numbers are
//! little-endian. Checksums are CRC-32C; those of frames and records also cover the segment's salt and their
//! own offset, so that stale bytes from elsewhere never pass as valid.
use cherrypass::time::UnixTime;
use serde::{Deserialize, Serialize};

pub const VERSION: u32 = 1;
pub const SEGMENT_MAGIC: &[u8; 8] = b"cpstore\n";
pub const SEGMENT_HEADER_BYTES: usize = 64;
pub const FRAME_HEADER_BYTES: usize = 40;
pub const RECORD_HEADER_BYTES: usize = 8;
/// The longest body of a frame, and thus of a batch.
pub const MAX_BODY_BYTES: usize = 16 << 20;
pub const MAX_KEY_BYTES: usize = 64 << 10;
pub const MAX_SPACE_NAME_BYTES: usize = 255;
const FRAME_MAGIC: u32 = 0x5046_4843;

/// The sequence number of a batch, from 1 without gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seq(pub u64);

/// The number of a segment, from 1 without gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SegmentId(pub u32);

impl SegmentId {
    pub fn next(self) -> SegmentId {
        SegmentId(self.0 + 1)
    }

    pub fn file_name(self) -> String {
        format!("{:010}.log", self.0)
    }

    /// The number in the name of a segment file; `None` for other files.
    pub fn from_file_name(name: &str) -> Option<SegmentId> {
        let digits = name.strip_suffix(".log").filter(|digits| digits.len() == 10)?;
        digits.parse().ok().filter(|number| *number > 0).map(SegmentId)
    }
}

/// The header of a segment file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    pub id: SegmentId,
    pub salt: u64,
    /// The sequence number of the first batch in this segment.
    pub first_seq: Seq,
    /// The length of the valid data in the previous segment; nothing behind it was acknowledged.
    pub previous_end: u64,
    /// Segments with a lower number have been trimmed.
    pub trimmed_before: SegmentId,
}

/// Why a segment header can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    Truncated,
    /// The file is not a segment, or has the number of another one.
    BadMagic,
    Version(u32),
    BadChecksum,
}

impl HeaderError {
    /// The error in words, for damage reports.
    pub fn description(self) -> String {
        match self {
            HeaderError::Truncated => "truncated".into(),
            HeaderError::BadMagic => "not a segment of this number".into(),
            HeaderError::Version(version) => format!("unsupported format version {version}"),
            HeaderError::BadChecksum => "wrong checksum".into(),
        }
    }
}

impl SegmentHeader {
    pub fn encode(&self) -> [u8; SEGMENT_HEADER_BYTES] {
        let mut bytes = [0; SEGMENT_HEADER_BYTES];
        bytes[..8].copy_from_slice(SEGMENT_MAGIC);
        bytes[8..12].copy_from_slice(&VERSION.to_le_bytes());
        bytes[16..24].copy_from_slice(&u64::from(self.id.0).to_le_bytes());
        bytes[24..32].copy_from_slice(&self.salt.to_le_bytes());
        bytes[32..40].copy_from_slice(&self.first_seq.0.to_le_bytes());
        bytes[40..48].copy_from_slice(&self.previous_end.to_le_bytes());
        bytes[48..56].copy_from_slice(&u64::from(self.trimmed_before.0).to_le_bytes());
        let crc = crc32c::crc32c(&bytes[..60]);
        bytes[60..].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Result<SegmentHeader, HeaderError> {
        if bytes.len() < SEGMENT_HEADER_BYTES {
            return Err(HeaderError::Truncated);
        }
        if &bytes[..8] != SEGMENT_MAGIC {
            return Err(HeaderError::BadMagic);
        }
        if crc32c::crc32c(&bytes[..60]) != u32_at(bytes, 60) {
            return Err(HeaderError::BadChecksum);
        }
        match u32_at(bytes, 8) {
            VERSION => {}
            other => return Err(HeaderError::Version(other)),
        }
        Ok(SegmentHeader {
            id: SegmentId(u64_at(bytes, 16) as u32),
            salt: u64_at(bytes, 24),
            first_seq: Seq(u64_at(bytes, 32)),
            previous_end: u64_at(bytes, 40),
            trimmed_before: SegmentId(u64_at(bytes, 48) as u32),
        })
    }
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    pub seq: Seq,
    pub records: u32,
    /// The offset up to which the segment was synced when this frame was written.
    pub synced_end: u64,
    /// The time of the store, which never goes back.
    pub time: UnixTime,
}

/// Why a frame can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// There are no more bytes.
    End,
    Truncated,
    BadMagic,
    BadLength,
    BadChecksum,
}

impl FrameError {
    /// The error in words, for damage reports.
    pub fn description(self) -> &'static str {
        match self {
            FrameError::End => "the segment ends too early",
            FrameError::Truncated => "a batch is truncated",
            FrameError::BadMagic => "no batch starts here",
            FrameError::BadLength => "a batch has an invalid length",
            FrameError::BadChecksum => "a batch has a wrong checksum",
        }
    }
}

/// A decoded frame; its body holds the records of one batch.
pub struct Frame<'a> {
    pub header: FrameHeader,
    pub body: &'a [u8],
}

impl Frame<'_> {
    pub fn length(&self) -> usize {
        FRAME_HEADER_BYTES + self.body.len()
    }
}

/// The operation that a record stores.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Op<'a> {
    Put {
        space: &'a str,
        #[serde(with = "serde_bytes")]
        key: &'a [u8],
        #[serde(with = "serde_bytes")]
        value: &'a [u8],
        expires: Option<u64>,
    },
    Delete {
        space: &'a str,
        #[serde(with = "serde_bytes")]
        key: &'a [u8],
    },
    /// Segments with a lower number have been trimmed.
    Trim { trimmed_before: SegmentId },
}

/// Appends frames to a buffer that will be written at one offset of one segment.
pub struct Encoder<'a> {
    pub bytes: &'a mut Vec<u8>,
    salt: u64,
    /// The offset in the segment of the buffer's first byte.
    base_offset: u64,
    frame_start: usize,
}

impl<'a> Encoder<'a> {
    pub fn new(bytes: &'a mut Vec<u8>, salt: u64, base_offset: u64) -> Encoder<'a> {
        let frame_start = bytes.len();
        Encoder { bytes, salt, base_offset, frame_start }
    }

    /// Starts a new frame.
    pub fn begin_frame(&mut self) {
        self.frame_start = self.bytes.len();
        self.bytes.resize(self.frame_start + FRAME_HEADER_BYTES, 0);
    }

    /// Adds a record to the current frame; returns its offset in the segment and its length.
    pub fn push_record(&mut self, op: &Op) -> (u64, u32) {
        let start = self.bytes.len();
        self.bytes.resize(start + RECORD_HEADER_BYTES, 0);
        let offset = self.base_offset + start as u64;
        postcard::to_io(op, &mut *self.bytes)
            .expect("a record is plain data and a Vec<u8> accepts all bytes");
        let length = (self.bytes.len() - start - RECORD_HEADER_BYTES) as u32;
        self.bytes[start + 4..start + 8].copy_from_slice(&length.to_le_bytes());
        let crc = checksum(self.salt, offset, &self.bytes[start + 4..]);
        self.bytes[start..start + 4].copy_from_slice(&crc.to_le_bytes());
        (offset, RECORD_HEADER_BYTES as u32 + length)
    }

    /// Completes the current frame with its header and checksum.
    pub fn finish_frame(&mut self, header: FrameHeader) {
        let body = (self.bytes.len() - self.frame_start - FRAME_HEADER_BYTES) as u32;
        let offset = self.base_offset + self.frame_start as u64;
        let frame = &mut self.bytes[self.frame_start..];
        frame[4..8].copy_from_slice(&FRAME_MAGIC.to_le_bytes());
        frame[8..12].copy_from_slice(&body.to_le_bytes());
        frame[12..16].copy_from_slice(&header.records.to_le_bytes());
        frame[16..24].copy_from_slice(&header.seq.0.to_le_bytes());
        frame[24..32].copy_from_slice(&header.synced_end.to_le_bytes());
        frame[32..40].copy_from_slice(&header.time.0.to_le_bytes());
        write_frame_checksum(frame, self.salt, offset);
    }
}

/// Writes the checksum of a frame at the given offset.
pub fn write_frame_checksum(frame: &mut [u8], salt: u64, offset: u64) {
    let crc = checksum(salt, offset, &frame[4..]);
    frame[..4].copy_from_slice(&crc.to_le_bytes());
}

/// The length of the frame that starts here, without verifying its checksum.
pub fn frame_length(bytes: &[u8]) -> Result<usize, FrameError> {
    if bytes.is_empty() {
        return Err(FrameError::End);
    }
    if bytes.len() < FRAME_HEADER_BYTES {
        return Err(FrameError::Truncated);
    }
    if u32_at(bytes, 4) != FRAME_MAGIC {
        return Err(FrameError::BadMagic);
    }
    let body = u32_at(bytes, 8) as usize;
    if body > MAX_BODY_BYTES {
        return Err(FrameError::BadLength);
    }
    let length = FRAME_HEADER_BYTES + body;
    if bytes.len() < length {
        return Err(FrameError::Truncated);
    }
    Ok(length)
}

/// Decodes the frame at the start of `bytes`, which are located at `offset` in the segment.
pub fn decode_frame(bytes: &[u8], salt: u64, offset: u64) -> Result<Frame<'_>, FrameError> {
    let length = frame_length(bytes)?;
    if checksum(salt, offset, &bytes[4..length]) != u32_at(bytes, 0) {
        return Err(FrameError::BadChecksum);
    }
    let header = FrameHeader {
        seq: Seq(u64_at(bytes, 16)),
        records: u32_at(bytes, 12),
        synced_end: u64_at(bytes, 24),
        time: UnixTime(u64_at(bytes, 32)),
    };
    Ok(Frame { header, body: &bytes[FRAME_HEADER_BYTES..length] })
}

/// Decodes the record at the start of `bytes`, which are located at `offset`; returns it with its length.
pub fn decode_record(bytes: &[u8], salt: u64, offset: u64) -> Option<(Op<'_>, u32)> {
    let length = RECORD_HEADER_BYTES + u32_at(bytes.get(..RECORD_HEADER_BYTES)?, 4) as usize;
    let payload = bytes.get(..length)?;
    let is_valid = checksum(salt, offset, &payload[4..]) == u32_at(payload, 0);
    let op = is_valid.then(|| postcard::from_bytes(&payload[RECORD_HEADER_BYTES..]).ok()).flatten()?;
    Some((op, length as u32))
}

/// Iterates over the records of a valid frame whose body is located at `offset`.
pub struct Records<'a> {
    bytes: &'a [u8],
    salt: u64,
    offset: u64,
}

impl<'a> Records<'a> {
    pub fn new(bytes: &'a [u8], salt: u64, offset: u64) -> Records<'a> {
        Records { bytes, salt, offset }
    }
}

impl<'a> Iterator for Records<'a> {
    /// An operation with its offset and length, or the offset of a record that can't be decoded.
    type Item = Result<(Op<'a>, u64, u32), u64>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.bytes.is_empty() {
            return None;
        }
        let offset = self.offset;
        let Some((op, length)) = decode_record(self.bytes, self.salt, offset) else {
            self.bytes = &[];
            return Some(Err(offset));
        };
        self.bytes = &self.bytes[length as usize..];
        self.offset += u64::from(length);
        Some(Ok((op, offset, length)))
    }
}

fn checksum(salt: u64, offset: u64, bytes: &[u8]) -> u32 {
    let crc = crc32c::crc32c(&salt.to_le_bytes());
    let crc = crc32c::crc32c_append(crc, &offset.to_le_bytes());
    crc32c::crc32c_append(crc, bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from(u32_at(bytes, at)) | u64::from(u32_at(bytes, at + 4)) << 32
}
