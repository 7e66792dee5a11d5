//! MessagePack-RPC codec for the messages between clients and a dispatcher.
use crate::connection::CloseReason;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use cherrypass::ids::{GroupId, ObjectId};
use cherrypass::time::Span;
use rmp::{decode, encode, Marker};
use std::io::Cursor;

pub const MAX_BODY_BYTES: usize = 48_000;
/// Longest message that a client may send.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
const MAX_DEPTH: usize = 8;
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

/// How far the message at the start of a buffer was looked through for its end, so that no byte is looked at again when
/// more arrive.
#[derive(Clone, Debug, Default)]
pub struct Framing {
    /// Bytes of whole values and headers.
    scanned: usize,
    /// The number of values that are missing in each list or map that is open, outermost first.
    missing: Vec<usize>,
}

/// The start of a value.
struct ValueHeader {
    length: usize,
    /// Bytes of the value after its header.
    payload: usize,
    /// Values that it contains.
    values: usize,
}

impl Framing {
    /// Looks on for the end of the message; none while it is incomplete.
    fn find_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, CloseReason> {
        loop {
            if self.missing.len() > MAX_DEPTH {
                return Err(CloseReason::Unreadable);
            }
            let Some(header) = read_header(&bytes[self.scanned..])? else { return Ok(None) };
            let end = self.scanned + header.length + header.payload;
            if end + header.values > MAX_MESSAGE_BYTES {
                return Err(CloseReason::TooLong);
            }
            if bytes.len() < end {
                return Ok(None);
            }
            self.scanned = end;
            if header.values > 0 {
                self.missing.push(header.values);
            } else if self.end_value() {
                return Ok(Some(end));
            }
        }
    }

    /// Counts a value that has ended, and those that end with it; returns whether the message does.
    fn end_value(&mut self) -> bool {
        while let Some(missing) = self.missing.last_mut() {
            *missing -= 1;
            if *missing > 0 {
                return false;
            }
            self.missing.pop();
        }
        true
    }
}

/// Takes the next message off a buffer; none while it is incomplete.
pub fn next(buffer: &mut BytesMut) -> Result<Option<Message>, CloseReason> {
    next_framed(buffer, &mut Framing::default())
}

/// Like [`next`], but goes on where an earlier call found the message incomplete.
pub fn next_framed(buffer: &mut BytesMut, framing: &mut Framing) -> Result<Option<Message>, CloseReason> {
    match framing.find_end(buffer)? {
        None if buffer.len() >= MAX_MESSAGE_BYTES => Err(CloseReason::TooLong),
        None => Ok(None),
        Some(end) => {
            *framing = Framing::default();
            decode_message(&buffer.split_to(end).freeze()).map(Some)
        }
    }
}

/// Reads the header of a value of any type; none while it is incomplete.
fn read_header(bytes: &[u8]) -> Result<Option<ValueHeader>, CloseReason> {
    use Marker::*;
    let Some(first) = bytes.first() else { return Ok(None) };
    let read_length = |size: usize| -> Result<Option<usize>, CloseReason> {
        let Some(mut field) = bytes.get(1..=size) else { return Ok(None) };
        let value = field.get_uint(size);
        if value > MAX_MESSAGE_BYTES as u64 {
            return Err(CloseReason::TooLong);
        }
        Ok(Some(value as usize))
    };
    let fixed = |payload, values| Ok(Some(ValueHeader { length: 1, payload, values }));
    let sized = |size: usize, per_value: usize| -> Result<Option<ValueHeader>, CloseReason> {
        let header = |count: usize| {
            let payload = if per_value == 0 { count } else { 0 };
            ValueHeader { length: 1 + size, payload, values: per_value * count }
        };
        Ok(read_length(size)?.map(header))
    };
    match Marker::from_u8(*first) {
        FixPos(_) | FixNeg(_) | Null | True | False => fixed(0, 0),
        U8 | I8 => fixed(1, 0),
        U16 | I16 => fixed(2, 0),
        U32 | I32 | F32 => fixed(4, 0),
        U64 | I64 | F64 => fixed(8, 0),
        FixStr(n) => fixed(usize::from(n), 0),
        FixArray(n) => fixed(0, usize::from(n)),
        FixMap(n) => fixed(0, 2 * usize::from(n)),
        Str8 | Bin8 => sized(1, 0),
        Str16 | Bin16 => sized(2, 0),
        Str32 | Bin32 => sized(4, 0),
        Array16 => sized(2, 1),
        Array32 => sized(4, 1),
        Map16 => sized(2, 2),
        Map32 => sized(4, 2),
        _ => Err(CloseReason::Unreadable),
    }
}

/// Decodes one complete message. The connection is closed if it is none.
fn decode_message(message: &[u8]) -> Result<Message, CloseReason> {
    let mut reader = Cursor::new(message);
    let reader = &mut reader;
    let unreadable = || CloseReason::Unreadable;
    let parts = decode::read_array_len(reader).map_err(|_| unreadable())?;
    let kind: u8 = decode::read_int(reader).map_err(|_| unreadable())?;
    match (kind, parts) {
        (0, 4) => {
            let id: u32 = decode::read_int(reader).map_err(|_| unreadable())?;
            let Some(method) = read_str(reader) else { return Ok(Message::Malformed(id, "method")) };
            if method == b"status" {
                return Ok(Message::Status(id));
            }
            Ok(match decode_visit(reader, method) {
                Ok(asked) => Message::Visit(id, Box::new(asked)),
                Err(field) => Message::Malformed(id, field),
            })
        }
        (2, 3) => {
            let method = read_str(reader).ok_or_else(unreadable)?;
            if method != b"withdraw" {
                return Ok(Message::Unknown);
            }
            let count = decode::read_array_len(reader).map_err(|_| unreadable())?;
            let ids = (0..count).map(|_| decode::read_int(reader).map_err(|_| unreadable()));
            ids.collect::<Result<Vec<u32>, CloseReason>>().map(Message::Withdraw)
        }
        _ => Err(CloseReason::Unreadable),
    }
}

/// Reads a string or binary; a value of another type is skipped.
fn read_slice<'a>(reader: &mut Reader<'a>, is_binary: bool) -> Option<&'a [u8]> {
    let start = reader.position();
    let length =
        if is_binary { decode::read_bin_len(reader).ok() } else { decode::read_str_len(reader).ok() };
    let from = reader.position() as usize;
    let value = length.and_then(|length| reader.get_ref().get(from..from + length as usize));
    match value {
        Some(value) => reader.set_position((from + value.len()) as u64),
        None => {
            let skipped = Framing::default().find_end(&reader.get_ref()[start as usize..]);
            let skipped = skipped.ok().flatten().unwrap_or(0);
            reader.set_position(start + skipped as u64);
        }
    }
    value
}

fn read_str<'a>(reader: &mut Reader<'a>) -> Option<&'a [u8]> {
    read_slice(reader, false)
}

/// The fields of a request that have a meaning; the last one of a name counts.
#[derive(Default)]
struct VisitFields<'a> {
    txn: Option<&'a [u8]>,
    time_limit: Option<&'a [u8]>,
    dedup_key: Option<Option<&'a [u8]>>,
    item: Option<&'a [u8]>,
    block: Option<&'a [u8]>,
    family: Option<&'a [u8]>,
    cached_tag: Option<Option<&'a [u8]>>,
}

impl<'a> VisitFields<'a> {
    fn read(reader: &mut Reader<'a>) -> Result<VisitFields<'a>, &'static str> {
        let pairs = decode::read_map_len(reader).map_err(|_| "fields")?;
        let mut fields = VisitFields::default();
        for _ in 0..pairs {
            let name = read_str(reader);
            let value = read_str(reader);
            match name {
                Some(b"txn") => fields.txn = value,
                Some(b"limit") => fields.time_limit = value,
                Some(b"unique") => fields.dedup_key = Some(value),
                Some(b"item") => fields.item = value,
                Some(b"block") => fields.block = value,
                Some(b"family") => fields.family = value,
                Some(b"cached") => fields.cached_tag = Some(value),
                _ => {}
            }
        }
        Ok(fields)
    }
}

/// Decodes a request. What it keeps is copied, so that it holds no memory but its own, whatever stood beside it.
fn decode_visit(reader: &mut Reader, class: &[u8]) -> Result<VisitRequest, &'static str> {
    if !matches!(decode::read_array_len(reader), Ok(2)) {
        return Err("params");
    }
    let fields = VisitFields::read(reader)?;
    let body = read_slice(reader, true).ok_or("body")?;
    if body.len() > MAX_BODY_BYTES {
        return Err("body");
    }
    let item = fields.item.filter(|item| is_hex_id(item)).ok_or("item")?;
    let object = std::str::from_utf8(item).ok().and_then(|item| u64::from_str_radix(item, 16).ok());
    let optional_token = |value: Option<Option<&[u8]>>, name| match value {
        Some(value) => {
            value.filter(|value| is_token(value)).map(Bytes::copy_from_slice).map(Some).ok_or(name)
        }
        None => Ok(None),
    };
    Ok(VisitRequest {
        txn: Bytes::copy_from_slice(fields.txn.filter(|txn| is_hex_id(txn)).ok_or("txn")?),
        object: object.map(ObjectId).ok_or("item")?,
        time_limit: parse_decimal(fields.time_limit)
            .filter(|ms| *ms > 0)
            .map(|ms| Span::millis(u64::from(ms)))
            .ok_or("limit")?,
        block: parse_decimal(fields.block).ok_or("block")?,
        group: parse_decimal(fields.family).filter(|n| *n < 256).map(GroupId).ok_or("family")?,
        dedup_key: optional_token(fields.dedup_key, "unique")?,
        cached_tag: optional_token(fields.cached_tag, "cached")?,
        class: Bytes::copy_from_slice(class),
        item: Bytes::copy_from_slice(item),
        body: Bytes::copy_from_slice(body),
    })
}

fn is_hex_id(value: &[u8]) -> bool {
    value.len() == HEX_ID_DIGITS && value.iter().all(u8::is_ascii_hexdigit)
}

/// Whether a value is safe to embed in the comma-separated fields of the host protocol.
fn is_token(value: &[u8]) -> bool {
    (1..=MAX_TOKEN_BYTES).contains(&value.len())
        && value.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(b))
}

fn parse_decimal(value: Option<&[u8]>) -> Option<u32> {
    let value = value.filter(|v| !v.is_empty() && v.iter().all(u8::is_ascii_digit))?;
    std::str::from_utf8(value).ok()?.parse().ok()
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
