//! The bytes of segments, frames and records, and nothing else; docs/store.md lays them down. All numbers are
//! little-endian. Checksums are CRC-32C; those of frames and records begin with the segment's salt and their own
//! place, so that bytes left over from elsewhere never look whole.
use cherrypass::time::UnixTime;
use serde::{Deserialize, Serialize};

pub const VERSION: u32 = 1;
pub const SEGMENT_MAGIC: &[u8; 8] = b"cpstore\n";
pub const SEGMENT_HEAD: usize = 64;
pub const FRAME_HEAD: usize = 40;
pub const RECORD_HEAD: usize = 8;
/// The longest body of a frame, and so of a batch.
pub const BODY_MOST: usize = 16 << 20;
pub const KEY_MOST: usize = 64 << 10;
pub const SPACE_MOST: usize = 255;
const FRAME_MARK: u32 = 0x5046_4843;

/// The number of a batch, from 1, without gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seq(pub u64);

/// The number of a segment, from 1, without gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SegmentId(pub u32);

impl SegmentId {
    pub fn next(self) -> SegmentId {
        SegmentId(self.0 + 1)
    }

    pub fn file(self) -> String {
        format!("{:010}.log", self.0)
    }

    pub fn of_file(name: &str) -> Option<SegmentId> {
        let digits = name.strip_suffix(".log").filter(|digits| digits.len() == 10)?;
        digits.parse().ok().filter(|number| *number > 0).map(SegmentId)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHead {
    pub id: SegmentId,
    pub salt: u64,
    /// The first batch that may stand here.
    pub first: Seq,
    /// Up to where the segment before it counts, in bytes; whatever stands behind was never acknowledged.
    pub before: u64,
    /// Segments below this one no longer count.
    pub floor: SegmentId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    Short,
    Magic,
    Version(u32),
    Checksum,
}

impl SegmentHead {
    pub fn encode(&self) -> [u8; SEGMENT_HEAD] {
        let mut bytes = [0; SEGMENT_HEAD];
        bytes[..8].copy_from_slice(SEGMENT_MAGIC);
        bytes[8..12].copy_from_slice(&VERSION.to_le_bytes());
        bytes[16..24].copy_from_slice(&u64::from(self.id.0).to_le_bytes());
        bytes[24..32].copy_from_slice(&self.salt.to_le_bytes());
        bytes[32..40].copy_from_slice(&self.first.0.to_le_bytes());
        bytes[40..48].copy_from_slice(&self.before.to_le_bytes());
        bytes[48..56].copy_from_slice(&u64::from(self.floor.0).to_le_bytes());
        let crc = crc32c::crc32c(&bytes[..60]);
        bytes[60..].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Result<SegmentHead, HeadFault> {
        if bytes.len() < SEGMENT_HEAD {
            return Err(HeadFault::Short);
        }
        if &bytes[..8] != SEGMENT_MAGIC {
            return Err(HeadFault::Magic);
        }
        if crc32c::crc32c(&bytes[..60]) != u32_at(bytes, 60) {
            return Err(HeadFault::Checksum);
        }
        match u32_at(bytes, 8) {
            VERSION => {}
            other => return Err(HeadFault::Version(other)),
        }
        Ok(SegmentHead {
            id: SegmentId(u64_at(bytes, 16) as u32),
            salt: u64_at(bytes, 24),
            first: Seq(u64_at(bytes, 32)),
            before: u64_at(bytes, 40),
            floor: SegmentId(u64_at(bytes, 48) as u32),
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHead {
    pub seq: Seq,
    pub records: u32,
    /// Up to where the segment had been synced when this was written.
    pub synced: u64,
    /// The store's time, which never goes back.
    pub at: UnixTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameFault {
    /// No byte is left.
    End,
    Short,
    Mark,
    Length,
    Checksum,
}

impl FrameFault {
    pub fn what(self) -> &'static str {
        match self {
            FrameFault::End => "ends early",
            FrameFault::Short => "a batch is cut off",
            FrameFault::Mark => "no batch begins here",
            FrameFault::Length => "a batch has an impossible length",
            FrameFault::Checksum => "a batch's checksum doesn't match",
        }
    }
}

pub struct Frame<'a> {
    pub head: FrameHead,
    pub body: &'a [u8],
}

impl Frame<'_> {
    pub fn length(&self) -> usize {
        FRAME_HEAD + self.body.len()
    }
}

/// What a record does.
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
    /// Segments below this one no longer count.
    Trim { floor: SegmentId },
}

/// Appends frames to a buffer that goes to one place of one segment.
pub struct Encoder<'a> {
    pub bytes: &'a mut Vec<u8>,
    salt: u64,
    /// Where the buffer's first byte comes to stand.
    base: u64,
    begun: usize,
}

impl<'a> Encoder<'a> {
    pub fn new(bytes: &'a mut Vec<u8>, salt: u64, base: u64) -> Encoder<'a> {
        let begun = bytes.len();
        Encoder { bytes, salt, base, begun }
    }

    pub fn begin(&mut self) {
        self.begun = self.bytes.len();
        self.bytes.resize(self.begun + FRAME_HEAD, 0);
    }

    /// Adds a record to the frame that was begun; returns where it stands in the segment and how long it is.
    pub fn record(&mut self, op: &Op) -> (u64, u32) {
        let start = self.bytes.len();
        self.bytes.resize(start + RECORD_HEAD, 0);
        let place = self.base + start as u64;
        postcard::to_io(op, &mut *self.bytes).expect("a record is plain data, and the buffer grows");
        let length = (self.bytes.len() - start - RECORD_HEAD) as u32;
        self.bytes[start + 4..start + 8].copy_from_slice(&length.to_le_bytes());
        let crc = checksum(self.salt, place, &self.bytes[start + 4..]);
        self.bytes[start..start + 4].copy_from_slice(&crc.to_le_bytes());
        (place, RECORD_HEAD as u32 + length)
    }

    pub fn finish(&mut self, head: FrameHead) {
        let body = (self.bytes.len() - self.begun - FRAME_HEAD) as u32;
        let place = self.base + self.begun as u64;
        let frame = &mut self.bytes[self.begun..];
        frame[4..8].copy_from_slice(&FRAME_MARK.to_le_bytes());
        frame[8..12].copy_from_slice(&body.to_le_bytes());
        frame[12..16].copy_from_slice(&head.records.to_le_bytes());
        frame[16..24].copy_from_slice(&head.seq.0.to_le_bytes());
        frame[24..32].copy_from_slice(&head.synced.to_le_bytes());
        frame[32..40].copy_from_slice(&head.at.0.to_le_bytes());
        seal(frame, self.salt, place);
    }
}

/// Writes a frame's checksum for the place where it stands.
pub fn seal(frame: &mut [u8], salt: u64, place: u64) {
    let crc = checksum(salt, place, &frame[4..]);
    frame[..4].copy_from_slice(&crc.to_le_bytes());
}

/// The length of the frame that seems to begin here, whatever its checksum says.
pub fn framed(bytes: &[u8]) -> Result<usize, FrameFault> {
    if bytes.is_empty() {
        return Err(FrameFault::End);
    }
    if bytes.len() < FRAME_HEAD {
        return Err(FrameFault::Short);
    }
    if u32_at(bytes, 4) != FRAME_MARK {
        return Err(FrameFault::Mark);
    }
    let body = u32_at(bytes, 8) as usize;
    if body > BODY_MOST {
        return Err(FrameFault::Length);
    }
    let length = FRAME_HEAD + body;
    if bytes.len() < length {
        return Err(FrameFault::Short);
    }
    Ok(length)
}

/// The frame that begins with the first byte, which stands at that place.
pub fn frame(bytes: &[u8], salt: u64, place: u64) -> Result<Frame<'_>, FrameFault> {
    let length = framed(bytes)?;
    if checksum(salt, place, &bytes[4..length]) != u32_at(bytes, 0) {
        return Err(FrameFault::Checksum);
    }
    let head = FrameHead {
        seq: Seq(u64_at(bytes, 16)),
        records: u32_at(bytes, 12),
        synced: u64_at(bytes, 24),
        at: UnixTime(u64_at(bytes, 32)),
    };
    Ok(Frame { head, body: &bytes[FRAME_HEAD..length] })
}

/// A record at the start of these bytes, which stand at that place, and its length.
pub fn record(bytes: &[u8], salt: u64, place: u64) -> Option<(Op<'_>, u32)> {
    let length = RECORD_HEAD + u32_at(bytes.get(..RECORD_HEAD)?, 4) as usize;
    let whole = bytes.get(..length)?;
    let found = checksum(salt, place, &whole[4..]) == u32_at(whole, 0);
    let op = found.then(|| postcard::from_bytes(&whole[RECORD_HEAD..]).ok()).flatten()?;
    Some((op, length as u32))
}

/// The records of a whole frame whose body begins at that place; an end before the last is damage.
pub struct Records<'a> {
    bytes: &'a [u8],
    salt: u64,
    place: u64,
}

impl<'a> Records<'a> {
    pub fn new(bytes: &'a [u8], salt: u64, place: u64) -> Records<'a> {
        Records { bytes, salt, place }
    }
}

impl<'a> Iterator for Records<'a> {
    /// An operation, where it stands and how long it is; or the place that can't be read.
    type Item = Result<(Op<'a>, u64, u32), u64>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.bytes.is_empty() {
            return None;
        }
        let place = self.place;
        let Some((op, length)) = record(self.bytes, self.salt, place) else {
            self.bytes = &[];
            return Some(Err(place));
        };
        self.bytes = &self.bytes[length as usize..];
        self.place += u64::from(length);
        Some(Ok((op, place, length)))
    }
}

fn checksum(salt: u64, place: u64, bytes: &[u8]) -> u32 {
    let crc = crc32c::crc32c(&salt.to_le_bytes());
    let crc = crc32c::crc32c_append(crc, &place.to_le_bytes());
    crc32c::crc32c_append(crc, bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from(u32_at(bytes, at)) | u64::from(u32_at(bytes, at + 4)) << 32
}
