//! RESP codec for the messages between a dispatcher and hosts: arrays of bulk strings.
use crate::config::MAX_HOST_MESSAGE_BYTES;
use crate::connection::CloseReason;
use crate::ids::ProbeId;
use bytes::{Bytes, BytesMut};
use cherrypass::calls::{Note, Outcome, Report};
use cherrypass::time::UnixTime;
use std::fmt::Write;

const MAX_FIELDS_BYTES: usize = 4096;
const MAX_ID_BYTES: usize = 64;
const MAX_LENGTH_LINE_BYTES: usize = 16;

/// A host's answer, as slices of the bytes read.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub id: Bytes,
    pub outcome: Outcome,
    /// Whether the copy that the client has cached is current.
    pub client_copy_current: bool,
    pub note: Note,
    pub report: Report,
    /// The tag of the answer's copy; set only if the answer also tells when the copy was created.
    pub tag: Option<Bytes>,
    /// When the origin created the copy.
    pub created: Option<UnixTime>,
    pub body: Bytes,
}

/// What the start of a buffer holds.
#[derive(Debug, PartialEq)]
pub enum Parsed {
    Answer(Answer),
    /// An answer that is complete but invalid.
    Unusable,
    /// At least this many more bytes are needed.
    Incomplete(usize),
}

/// Takes the next answer off a buffer.
pub fn next(buffer: &mut BytesMut) -> Result<Parsed, CloseReason> {
    let mut at = 0;
    let Some(count) = read_length(buffer, &mut at, b'*')? else { return Ok(Parsed::Incomplete(1)) };
    if count != 4 {
        return Err(CloseReason::Unreadable);
    }
    let mut ends = [(0, 0); 4];
    let most =
        [MAX_ID_BYTES, MAX_ID_BYTES, MAX_FIELDS_BYTES, MAX_HOST_MESSAGE_BYTES - MAX_FIELDS_BYTES - 256];
    for (end, most) in ends.iter_mut().zip(most) {
        let Some(length) = read_length(buffer, &mut at, b'$')? else { return Ok(Parsed::Incomplete(1)) };
        if length > most {
            return Err(CloseReason::TooLong);
        }
        *end = (at, at + length);
        at += length + 2;
        if buffer.len() < at {
            return Ok(Parsed::Incomplete(at - buffer.len()));
        }
        if &buffer[at - 2..at] != b"\r\n" {
            return Err(CloseReason::Unreadable);
        }
    }
    let message = buffer.split_to(at).freeze();
    let [id, word, fields, body] = ends.map(|(from, to)| message.slice(from..to));
    Ok(decode_answer(&id, &word, &fields, body).map_or(Parsed::Unusable, Parsed::Answer))
}

/// Reads a RESP length line that starts with `mark`; none while it is incomplete.
fn read_length(buffer: &[u8], at: &mut usize, mark: u8) -> Result<Option<usize>, CloseReason> {
    let rest = &buffer[*at..];
    let Some(first) = rest.first() else { return Ok(None) };
    if *first != mark {
        return Err(CloseReason::Unreadable);
    }
    let Some(end) = rest.iter().take(MAX_LENGTH_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if rest.len() >= MAX_LENGTH_LINE_BYTES { Err(CloseReason::Unreadable) } else { Ok(None) };
    };
    let digits = rest[1..end].strip_suffix(b"\r").filter(|d| d.iter().all(u8::is_ascii_digit));
    let value =
        digits.and_then(|d| std::str::from_utf8(d).ok()?.parse().ok()).ok_or(CloseReason::Unreadable)?;
    *at += end + 1;
    Ok(Some(value))
}

fn decode_answer(id: &Bytes, word: &[u8], fields: &Bytes, body: Bytes) -> Option<Answer> {
    let client_copy_current = word == b"KEEP";
    let outcome = match word {
        b"DONE" | b"KEEP" => Outcome::Served,
        b"LACK" => Outcome::Miss,
        b"WAIT" => Outcome::Full,
        // Replies to probes don't tell anything about a visit.
        b"BROKE" | b"FIT" | b"UNFIT" => Outcome::Error,
        b"PAST" => Outcome::Expired,
        _ => return None,
    };
    if client_copy_current && !body.is_empty() {
        return None;
    }
    let mut answer = Answer {
        id: id.clone(),
        outcome,
        client_copy_current,
        note: Note::Unspecified,
        report: Report::default(),
        tag: None,
        created: None,
        body,
    };
    let text = std::str::from_utf8(fields).ok()?;
    let mut tag = None;
    for field in text.split(',').filter(|_| text != "-") {
        let (name, value) = field.split_once('=')?;
        match name {
            "ver" => tag = Some(fields.slice_ref(value.as_bytes())).filter(|tag| !tag.is_empty()),
            "born" => answer.created = value.parse().ok().map(UnixTime::millis),
            "note" => answer.note = decode_note(value)?,
            "load" => {
                for (name, value) in value.split(';').filter_map(|value| value.split_once(':')) {
                    match name {
                        cherrypass_settings::LINK_LOAD_COLUMN => answer.report.link_load = value.parse().ok(),
                        _ if cherrypass_settings::LOAD_COLUMNS.contains(&name) => {
                            answer.report.load = value.parse().ok()
                        }
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }
    answer.tag = tag.filter(|_| answer.created.is_some());
    Some(answer)
}

fn decode_note(word: &str) -> Option<Note> {
    Some(match word {
        "cached" => Note::Hit,
        "fetched" => Note::Filled,
        "fetched_root" => Note::FilledByOrigin,
        "merged" => Note::Joined,
        "past_fresh" => Note::Stale,
        "up_refused" => Note::SourceRefused,
        "up_lost" => Note::SourceUnreachable,
        "up_empty" => Note::SourceMiss,
        "fills_full" => Note::NoCapacity,
        "root_failed" => Note::OriginFailed,
        "" | "-" => Note::Unspecified,
        _ => return None,
    })
}

/// The id of a probe on the wire, which differs from the 16 hexadecimal digits of a visit.
pub fn probe_tag(probe: ProbeId) -> String {
    format!("probe-{}", probe.0)
}

/// A request for a host's load.
pub fn probe_request(probe: ProbeId) -> String {
    let tag = probe_tag(probe);
    format!("*2\r\n$4\r\nbusy\r\n${}\r\n{tag}\r\n", tag.len())
}

/// A request up to its body; the body and [`CRLF`] follow.
pub fn hand_off_head(id: &[u8], fields: &str, body: usize) -> Bytes {
    let mut head = String::with_capacity(96 + fields.len());
    let id = String::from_utf8_lossy(id);
    let _ = write!(
        head,
        "*4\r\n$4\r\nwant\r\n${}\r\n{id}\r\n${}\r\n{fields}\r\n${body}\r\n",
        id.len(),
        fields.len()
    );
    Bytes::from(head)
}

/// A request to cancel a hand-off.
pub fn cancel_request(id: &[u8]) -> Bytes {
    let id = String::from_utf8_lossy(id);
    Bytes::from(format!("*2\r\n$10\r\nnever_mind\r\n${}\r\n{id}\r\n", id.len()))
}

pub const CRLF: &[u8] = b"\r\n";
