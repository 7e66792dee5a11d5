//! RESP framing of what passes between a dispatcher and hosts: arrays of bulk strings.
use crate::config::HOST_MESSAGE;
use crate::ids::ProbeNo;
use crate::line::Code;
use bytes::{Bytes, BytesMut};
use cherrypass::calls::{Note, Outcome, Report};
use cherrypass::time::UnixTime;
use std::fmt::Write;

/// Fields of an answer hold no more than this.
const FIELDS_MOST: usize = 4096;
const ID_MOST: usize = 64;
const HEAD_MOST: usize = 16;

/// An answer of a host, as slices of what was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub id: Bytes,
    pub outcome: Outcome,
    /// The copy that the client holds is the one.
    pub keep: bool,
    pub note: Note,
    pub report: Report,
    /// The tag of the copy that it is of, where it says that and how old the copy is.
    pub tag: Option<Bytes>,
    /// When the origin gave that copy out.
    pub born: Option<UnixTime>,
    pub body: Bytes,
}

/// What a buffer begins with.
#[derive(Debug, PartialEq)]
pub enum Begun {
    Answer(Answer),
    /// An answer that is whole but can't be used.
    Spoilt,
    /// So many bytes more are wanted, at the least.
    Short(usize),
}

/// Takes the next answer off a buffer.
pub fn next(buffer: &mut BytesMut) -> Result<Begun, Code> {
    let mut at = 0;
    let Some(count) = number(buffer, &mut at, b'*')? else { return Ok(Begun::Short(1)) };
    if count != 4 {
        return Err(Code::Unreadable);
    }
    let mut ends = [(0, 0); 4];
    let most = [ID_MOST, ID_MOST, FIELDS_MOST, HOST_MESSAGE - FIELDS_MOST - 256];
    for (end, most) in ends.iter_mut().zip(most) {
        let Some(length) = number(buffer, &mut at, b'$')? else { return Ok(Begun::Short(1)) };
        if length > most {
            return Err(Code::TooLong);
        }
        *end = (at, at + length);
        at += length + 2;
        if buffer.len() < at {
            return Ok(Begun::Short(at - buffer.len()));
        }
        if &buffer[at - 2..at] != b"\r\n" {
            return Err(Code::Unreadable);
        }
    }
    let message = buffer.split_to(at).freeze();
    let [id, word, fields, body] = ends.map(|(from, to)| message.slice(from..to));
    Ok(read(&id, &word, &fields, body).map_or(Begun::Spoilt, Begun::Answer))
}

fn number(buffer: &[u8], at: &mut usize, mark: u8) -> Result<Option<usize>, Code> {
    let rest = &buffer[*at..];
    let Some(first) = rest.first() else { return Ok(None) };
    if *first != mark {
        return Err(Code::Unreadable);
    }
    let Some(end) = rest.iter().take(HEAD_MOST).position(|byte| *byte == b'\n') else {
        return if rest.len() >= HEAD_MOST { Err(Code::Unreadable) } else { Ok(None) };
    };
    let digits = rest[1..end].strip_suffix(b"\r").filter(|d| d.iter().all(u8::is_ascii_digit));
    let value = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse().ok()).ok_or(Code::Unreadable)?;
    *at += end + 1;
    Ok(Some(value))
}

fn read(id: &Bytes, word: &[u8], fields: &Bytes, body: Bytes) -> Option<Answer> {
    let keep = word == b"KEEP";
    let outcome = match word {
        b"DONE" | b"KEEP" => Outcome::Settled,
        b"LACK" => Outcome::Miss,
        b"WAIT" => Outcome::Full,
        // What answers a probe would, under a visit's id, prove nothing of it.
        b"BROKE" | b"FIT" | b"UNFIT" => Outcome::Error,
        b"PAST" => Outcome::Moot,
        _ => return None,
    };
    if keep && !body.is_empty() {
        return None;
    }
    let mut answer = Answer {
        id: id.clone(),
        outcome,
        keep,
        note: Note::Untold,
        report: Report::default(),
        tag: None,
        born: None,
        body,
    };
    let text = std::str::from_utf8(fields).ok()?;
    let mut tag = None;
    for field in text.split(',').filter(|_| text != "-") {
        let (name, value) = field.split_once('=')?;
        match name {
            "ver" => tag = Some(fields.slice_ref(value.as_bytes())).filter(|tag| !tag.is_empty()),
            "born" => answer.born = value.parse().ok().map(UnixTime::millis),
            "note" => answer.note = note(value)?,
            "load" => {
                for (name, value) in value.split(';').filter_map(|value| value.split_once(':')) {
                    match name {
                        cherrypass_settings::LINK_FULL => answer.report.link_full = value.parse().ok(),
                        _ if cherrypass_settings::BUSY.contains(&name) => {
                            answer.report.busy = value.parse().ok()
                        }
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }
    answer.tag = tag.filter(|_| answer.born.is_some());
    Some(answer)
}

fn note(word: &str) -> Option<Note> {
    Some(match word {
        "cached" => Note::Hit,
        "fetched" => Note::Filled,
        "fetched_root" => Note::FilledByOrigin,
        "merged" => Note::Joined,
        "past_fresh" => Note::Aged,
        "up_refused" => Note::SourceRefused,
        "up_lost" => Note::SourceUnreached,
        "up_empty" => Note::SourceLacks,
        "fills_full" => Note::NoPlace,
        "root_failed" => Note::OriginFailed,
        "" | "-" => Note::Untold,
        _ => return None,
    })
}

/// Under what a probe is asked and answered; visits go by 16 hexadecimal digits.
pub fn tag(number: ProbeNo) -> String {
    format!("probe-{}", number.0)
}

/// Asks how busy a host is.
pub fn busy(number: ProbeNo) -> String {
    let tag = tag(number);
    format!("*2\r\n$4\r\nbusy\r\n${}\r\n{tag}\r\n", tag.len())
}

/// All of a request but its body and the two bytes after that.
pub fn want(id: &[u8], fields: &str, body: usize) -> Bytes {
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

pub fn never_mind(id: &[u8]) -> Bytes {
    let id = String::from_utf8_lossy(id);
    Bytes::from(format!("*2\r\n$10\r\nnever_mind\r\n${}\r\n{id}\r\n", id.len()))
}

pub const END: &[u8] = b"\r\n";
