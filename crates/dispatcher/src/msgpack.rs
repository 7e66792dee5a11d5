//! MessagePack-RPC codec for the messages between clients and a dispatcher.
use crate::connection::CloseReason;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use cherrypass::ids::{GroupId, ObjectId};
use cherrypass::time::Span;
use rmp::{decode, encode, Marker};
use std::io::{Cursor, ErrorKind};

pub const MAX_BODY_BYTES: usize = 48_000;
/// Longest message that a client may send.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
const MAX_DEPTH: u32 = 8;
const HEX_ID_DIGITS: usize = 16;
const MAX_TOKEN_BYTES: usize = 64;

/// A client's request for a block of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct VisitRequest {
    pub txn: Bytes,
    /// The name of the request's class.
    pub class: Bytes,
    /// The object's id as sent, in hexadecimal digits.
    pub item: Bytes,
    pub object: ObjectId,
    pub block: u32,
    pub group: GroupId,
    pub time_limit: Span,
    /// Identifies the visit across retries, for classes whose visits are deduplicated.
    pub dedup_key: Option<Bytes>,
    /// The tag of the copy that the client has cached.
    pub cached_tag: Option<Bytes>,
    pub body: Bytes,
}

/// A client's message, with its id where it has one.
#[derive(Debug, PartialEq)]
pub enum Message {
    Visit(u32, Box<VisitRequest>),
    /// A request with the name of the field that is invalid.
    Malformed(u32, &'static str),
    Status(u32),
    Withdraw(Vec<u32>),
    /// A notification with an unknown method.
    Unknown,
}

type Reader<'a> = Cursor<&'a [u8]>;

/// Takes the next message off a buffer; none while it is incomplete.
pub fn next(buffer: &mut BytesMut) -> Result<Option<Message>, CloseReason> {
    let mut reader = Cursor::new(&buffer[..]);
    match skip_value(&mut reader, 0) {
        Ok(()) => {}
        Err(SkipError::Incomplete) if buffer.len() >= MAX_MESSAGE_BYTES => return Err(CloseReason::TooLong),
        Err(SkipError::Incomplete) => return Ok(None),
        Err(SkipError::Invalid(code)) => return Err(code),
    }
    let length = reader.position() as usize;
    let message = buffer.split_to(length).freeze();
    decode_message(&message).map(Some)
}

/// Why a value can't be skipped.
enum SkipError {
    Incomplete,
    Invalid(CloseReason),
}

fn skip_error(kind: Option<ErrorKind>) -> SkipError {
    if kind == Some(ErrorKind::UnexpectedEof) {
        SkipError::Incomplete
    } else {
        SkipError::Invalid(CloseReason::Unreadable)
    }
}

/// Skips one value of any type without allocating.
fn skip_value(reader: &mut Reader, depth: u32) -> Result<(), SkipError> {
    use Marker::*;
    if depth > MAX_DEPTH {
        return Err(SkipError::Invalid(CloseReason::Unreadable));
    }
    let marker = decode::read_marker(reader).map_err(|error| skip_error(Some(error.0.kind())))?;
    let read_len = |bytes: usize, reader: &mut Reader| -> Result<usize, SkipError> {
        if reader.remaining() < bytes {
            return Err(SkipError::Incomplete);
        }
        let value = reader.get_uint(bytes);
        if value > MAX_MESSAGE_BYTES as u64 {
            return Err(SkipError::Invalid(CloseReason::TooLong));
        }
        Ok(value as usize)
    };
    let (bytes, values) = match marker {
        FixPos(_) | FixNeg(_) | Null | True | False => (0, 0),
        U8 | I8 => (1, 0),
        U16 | I16 => (2, 0),
        U32 | I32 | F32 => (4, 0),
        U64 | I64 | F64 => (8, 0),
        FixStr(n) => (usize::from(n), 0),
        Str8 | Bin8 => (read_len(1, reader)?, 0),
        Str16 | Bin16 => (read_len(2, reader)?, 0),
        Str32 | Bin32 => (read_len(4, reader)?, 0),
        FixArray(n) => (0, usize::from(n)),
        Array16 => (0, read_len(2, reader)?),
        Array32 => (0, read_len(4, reader)?),
        FixMap(n) => (0, 2 * usize::from(n)),
        Map16 => (0, 2 * read_len(2, reader)?),
        Map32 => (0, 2 * read_len(4, reader)?),
        _ => return Err(SkipError::Invalid(CloseReason::Unreadable)),
    };
    let end = reader.position() as usize + bytes;
    if end + values > MAX_MESSAGE_BYTES {
        return Err(SkipError::Invalid(CloseReason::TooLong));
    }
    if reader.get_ref().len() < end {
        return Err(SkipError::Incomplete);
    }
    reader.set_position(end as u64);
    (0..values).try_for_each(|_| skip_value(reader, depth + 1))
}

/// Decodes one complete message. The connection is closed if it is none.
fn decode_message(message: &Bytes) -> Result<Message, CloseReason> {
    let mut reader = Cursor::new(&message[..]);
    let reader = &mut reader;
    let unreadable = || CloseReason::Unreadable;
    let parts = decode::read_array_len(reader).map_err(|_| unreadable())?;
    let kind: u8 = decode::read_int(reader).map_err(|_| unreadable())?;
    match (kind, parts) {
        (0, 4) => {
            let id: u32 = decode::read_int(reader).map_err(|_| unreadable())?;
            let Some(method) = read_str(message, reader) else { return Ok(Message::Malformed(id, "method")) };
            if &method[..] == b"status" {
                return Ok(Message::Status(id));
            }
            Ok(match decode_visit(message, reader, method) {
                Ok(asked) => Message::Visit(id, Box::new(asked)),
                Err(field) => Message::Malformed(id, field),
            })
        }
        (2, 3) => {
            let method = read_str(message, reader).ok_or_else(unreadable)?;
            if &method[..] != b"withdraw" {
                return Ok(Message::Unknown);
            }
            let count = decode::read_array_len(reader).map_err(|_| unreadable())?;
            let ids = (0..count).map(|_| decode::read_int(reader).map_err(|_| unreadable()));
            ids.collect::<Result<Vec<u32>, CloseReason>>().map(Message::Withdraw)
        }
        _ => Err(CloseReason::Unreadable),
    }
}

/// Reads a string or binary as a slice of its message; a value of another type is skipped.
fn read_slice(message: &Bytes, reader: &mut Reader, is_binary: bool) -> Option<Bytes> {
    let start = reader.position();
    let length = if is_binary {
        decode::read_bin_len(reader).ok().map(|n| n as usize)
    } else {
        decode::read_str_len(reader).ok().map(|n| n as usize)
    };
    let from = reader.position() as usize;
    match length.filter(|n| from + n <= message.len()) {
        Some(length) => {
            reader.set_position((from + length) as u64);
            Some(message.slice(from..from + length))
        }
        None => {
            reader.set_position(start);
            let _ = skip_value(reader, 0);
            None
        }
    }
}

fn read_str(message: &Bytes, reader: &mut Reader) -> Option<Bytes> {
    read_slice(message, reader, false)
}

fn decode_visit(message: &Bytes, reader: &mut Reader, class: Bytes) -> Result<VisitRequest, &'static str> {
    if !matches!(decode::read_array_len(reader), Ok(2)) {
        return Err("params");
    }
    let pairs = decode::read_map_len(reader).map_err(|_| "fields")?;
    let (mut txn, mut time_limit, mut dedup_key, mut item, mut block, mut family, mut cached_tag) =
        (None, None, None, None, None, None, None);
    for _ in 0..pairs {
        let name = read_str(message, reader);
        let value = read_str(message, reader);
        match name.as_deref() {
            Some(b"txn") => txn = value,
            Some(b"limit") => time_limit = value,
            Some(b"unique") => dedup_key = Some(value),
            Some(b"item") => item = value,
            Some(b"block") => block = value,
            Some(b"family") => family = value,
            Some(b"cached") => cached_tag = Some(value),
            _ => {}
        }
    }
    let body = read_slice(message, reader, true).ok_or("body")?;
    if body.len() > MAX_BODY_BYTES {
        return Err("body");
    }
    let item = item.filter(is_hex_id).ok_or("item")?;
    let object = std::str::from_utf8(&item).ok().and_then(|item| u64::from_str_radix(item, 16).ok());
    Ok(VisitRequest {
        txn: txn.filter(is_hex_id).ok_or("txn")?,
        object: object.map(ObjectId).ok_or("item")?,
        time_limit: parse_decimal(time_limit)
            .filter(|ms| *ms > 0)
            .map(|ms| Span::millis(u64::from(ms)))
            .ok_or("limit")?,
        block: parse_decimal(block).ok_or("block")?,
        group: parse_decimal(family).filter(|n| *n < 256).map(GroupId).ok_or("family")?,
        dedup_key: dedup_key.map(|value| value.filter(is_token).ok_or("unique")).transpose()?,
        cached_tag: cached_tag.map(|value| value.filter(is_token).ok_or("cached")).transpose()?,
        class,
        item,
        body,
    })
}

fn is_hex_id(value: &Bytes) -> bool {
    value.len() == HEX_ID_DIGITS && value.iter().all(u8::is_ascii_hexdigit)
}

/// Whether a value is safe to embed in the comma-separated fields of the host protocol.
fn is_token(value: &Bytes) -> bool {
    (1..=MAX_TOKEN_BYTES).contains(&value.len())
        && value.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(b))
}

fn parse_decimal(value: Option<Bytes>) -> Option<u32> {
    let value = value.filter(|v| !v.is_empty() && v.iter().all(u8::is_ascii_digit))?;
    std::str::from_utf8(&value).ok()?.parse().ok()
}

/// An encoded response in parts; the middle one is the body as received.
pub type Parts = [Bytes; 3];

fn response_head(id: u32) -> bytes::buf::Writer<BytesMut> {
    let mut head = BytesMut::with_capacity(64).writer();
    let _ = encode::write_array_len(&mut head, 4);
    let _ = encode::write_uint(&mut head, 1);
    let _ = encode::write_uint(&mut head, u64::from(id));
    head
}

fn write_fields(out: &mut bytes::buf::Writer<BytesMut>, fields: &[(&str, &str)]) {
    let _ = encode::write_map_len(out, fields.len() as u32);
    for (name, value) in fields {
        let _ = encode::write_str(out, name);
        let _ = encode::write_str(out, value);
    }
}

/// The response to a served visit; `keep` tells the client to keep its own copy.
pub fn served(id: u32, body: Bytes, keep: bool) -> Parts {
    let mut head = response_head(id);
    let _ = encode::write_nil(&mut head);
    let _ = encode::write_array_len(&mut head, 2);
    let _ = encode::write_bin_len(&mut head, body.len() as u32);
    let mut tail = BytesMut::with_capacity(16).writer();
    write_fields(&mut tail, if keep { &[("keep", "1")] } else { &[] });
    [head.into_inner().freeze(), body, tail.into_inner().freeze()]
}

fn error_response(id: u32, name: &str, fields: &[(&str, &str)]) -> Parts {
    let mut head = response_head(id);
    let _ = encode::write_array_len(&mut head, 2);
    let _ = encode::write_str(&mut head, name);
    write_fields(&mut head, fields);
    let _ = encode::write_nil(&mut head);
    [head.into_inner().freeze(), Bytes::new(), Bytes::new()]
}

/// The response to a refused visit, which did not run and may be retried.
pub fn refused(id: u32, retry_after: Span) -> Parts {
    let retry_after_ms = (retry_after.0 / 1000).to_string();
    let fields = [("later", &retry_after_ms[..])];
    error_response(id, "Rejected", if retry_after == Span::ZERO { &[] } else { &fields })
}

/// The response to a failed visit, which may have run.
pub fn failed(id: u32) -> Parts {
    error_response(id, "Failed", &[])
}

/// The response to a malformed request.
pub fn bad_request(id: u32, field: &str) -> Parts {
    error_response(id, "BadRequest", &[("field", field)])
}

/// The response to a status request.
pub fn status(id: u32, ready: bool) -> Parts {
    let mut head = response_head(id);
    let _ = encode::write_nil(&mut head);
    let _ = encode::write_array_len(&mut head, 2);
    let _ = encode::write_bool(&mut head, ready);
    write_fields(&mut head, &[]);
    [head.into_inner().freeze(), Bytes::new(), Bytes::new()]
}
