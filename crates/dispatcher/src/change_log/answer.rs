//! Reads answers of the change log over HTTP/1.1.
use super::changes::{read_changes, OnChange};
use crate::change_decoding::ChangeLogError;
use serde_json::Value;
use std::cell::Cell;
use std::io::{self, BufRead, BufReader, ErrorKind, Read};

const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;

/// Reads an answer and passes on each change as soon as it has arrived. Returns the number of the log's last
/// change, and whether the connection can be reused.
pub fn read_answer(
    stream: impl Read,
    since: u64,
    max_change_bytes: usize,
    on_change: &mut OnChange,
) -> Result<(Option<u64>, bool), ChangeLogError> {
    let mut stream = BufReader::new(stream);
    let head = read_head(&mut stream)?;
    let number = Cell::new(since + 1);
    let read = Cell::new(0);
    let is_delimited = head.is_chunked || head.length.is_some();
    let mut body = Body { stream, is_delimited, read: &read, number: &number, max_change_bytes };
    let on_change = &mut |result: &Value| {
        read.set(0);
        number.set(number.get() + 1);
        on_change(result)
    };
    let seq = match head.length.filter(|_| !head.is_chunked) {
        Some(length) => read_changes((&mut body).take(length), on_change),
        None if head.is_chunked => read_changes(chunked_transfer::Decoder::new(&mut body), on_change),
        None => read_changes(&mut body, on_change),
    }?;
    Ok((seq, head.keeps_alive && is_delimited && body.stream.buffer().is_empty()))
}

/// The head of an answer.
struct Head {
    length: Option<u64>,
    is_chunked: bool,
    keeps_alive: bool,
}

fn read_head(stream: &mut BufReader<impl Read>) -> Result<Head, ChangeLogError> {
    let mut bytes = Vec::new();
    loop {
        let piece = stream.fill_buf()?;
        if piece.is_empty() {
            return Err(ChangeLogError::Interrupted(ErrorKind::UnexpectedEof.into()));
        }
        let before = bytes.len();
        bytes.extend_from_slice(piece);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let status = response.parse(&bytes).map_err(|_| ChangeLogError::InvalidResponse("invalid head"))?;
        if let httparse::Status::Complete(head_length) = status {
            stream.consume(head_length - before);
            return parse_head(&response);
        }
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(ChangeLogError::InvalidResponse("the head is too long"));
        }
        stream.consume(bytes.len() - before);
    }
}

fn parse_head(response: &httparse::Response) -> Result<Head, ChangeLogError> {
    if response.code != Some(200) {
        return Err(ChangeLogError::InvalidResponse("the status is not 200"));
    }
    let header = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    let length = header("content-length").map(|text| text.parse::<u64>());
    let length = length.transpose().map_err(|_| ChangeLogError::InvalidResponse("invalid Content-Length"))?;
    let is_chunked = header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let closes = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Ok(Head { length, is_chunked, keeps_alive: !closes && response.version == Some(1) })
}

/// The body of an answer. Limits the length of each change, and reports an end of the stream before that of
/// the body.
struct Body<'a, R> {
    stream: BufReader<R>,
    /// Whether the body has a length or chunks; otherwise it ends with the stream.
    is_delimited: bool,
    /// Bytes read since the last change.
    read: &'a Cell<usize>,
    /// Number of the next change.
    number: &'a Cell<u64>,
    max_change_bytes: usize,
}

impl<R: Read> Read for Body<'_, R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let length = self.stream.read(into)?;
        if length == 0 && self.is_delimited && !into.is_empty() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.read.set(self.read.get() + length);
        if self.read.get() > self.max_change_bytes {
            let fault = ChangeLogError::ChangeTooLong(self.number.get(), self.max_change_bytes);
            return Err(io::Error::other(fault));
        }
        Ok(length)
    }
}
