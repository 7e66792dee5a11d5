//! Clients and the encoding of their messages.
use super::{NARROW_BUFFER, QUIET, TIMEOUT};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// A client's answer.
#[derive(Debug)]
pub struct ClientAnswer {
    pub id: u32,
    pub word: String,
    pub bytes: usize,
    pub fields: BTreeMap<String, String>,
    pub at: Instant,
}

pub enum Received {
    Answer(ClientAnswer),
    /// The end of the stream: when, and whether it was clean.
    End(Instant, bool),
}

pub struct Client {
    pub stream: TcpStream,
    pub answers: Receiver<Received>,
    pub sender: Option<Sender<Received>>,
    pub reader: Option<JoinHandle<()>>,
    pub received: VecDeque<ClientAnswer>,
    pub sent_at: BTreeMap<u32, Instant>,
    pub stream_end: Option<(Instant, bool)>,
}

fn read_string(from: &mut impl Read) -> String {
    let mut bytes = vec![0; rmp::decode::read_str_len(from).unwrap() as usize];
    from.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}

fn read_map(from: &mut impl Read) -> BTreeMap<String, String> {
    let count = rmp::decode::read_map_len(from).unwrap();
    (0..count).map(|_| (read_string(from), read_string(from))).collect()
}

/// Reads one answer, or the end of the stream; an end within an answer fails the test.
fn read_answer(from: &mut impl BufRead) -> Received {
    use rmp::decode::*;
    match from.fill_buf() {
        Ok([]) => return Received::End(Instant::now(), true),
        Ok(_) => {}
        Err(_) => return Received::End(Instant::now(), false),
    }
    let at = Instant::now();
    assert_eq!(read_array_len(from).unwrap(), 4);
    assert_eq!(read_int::<u8, _>(from).unwrap(), 1);
    let id = read_int(from).unwrap();
    let marker = read_marker(from).unwrap();
    if marker == rmp::Marker::FixArray(2) {
        let (word, fields) = (read_string(from), read_map(from));
        read_nil(from).unwrap();
        return Received::Answer(ClientAnswer { id, word, bytes: 0, fields, at });
    }
    assert_eq!(marker, rmp::Marker::Null);
    assert_eq!(read_array_len(from).unwrap(), 2);
    let (word, bytes) = match read_marker(from).unwrap() {
        rmp::Marker::True => ("ready", 0),
        rmp::Marker::False => ("not-ready", 0),
        rmp::Marker::Bin8 => ("settled", usize::from(from.read_u8().unwrap())),
        rmp::Marker::Bin16 => ("settled", usize::from(from.read_data_u16().unwrap())),
        rmp::Marker::Bin32 => ("settled", from.read_data_u32().unwrap() as usize),
        other => panic!("unexpected {other:?}"),
    };
    let mut body = vec![0; bytes];
    from.read_exact(&mut body).unwrap();
    assert!(body.iter().all(|byte| *byte == b'x'), "the body came changed");
    Received::Answer(ClientAnswer {
        id,
        word: word.into(),
        bytes,
        fields: read_map(from),
        at: Instant::now(),
    })
}

pub fn encode_request(port: u16, id: u32, class: &str, object: &str, given: &[&str]) -> Vec<u8> {
    let body_bytes = given.iter().find_map(|word| word.strip_prefix("body="));
    let body = vec![b'y'; body_bytes.map_or(0, |bytes| bytes.parse().unwrap())];
    encode_request_with_body(port, id, class, object, given, &body)
}

pub fn encode_request_with_body(
    port: u16,
    id: u32,
    class: &str,
    object: &str,
    given: &[&str],
    body: &[u8],
) -> Vec<u8> {
    use rmp::encode::*;
    let mut fields: BTreeMap<&str, String> = BTreeMap::new();
    fields.insert("txn", format!("{port:08x}{id:08x}"));
    fields.insert("limit", "1000".into());
    fields.insert("item", format!("{object:0>16}"));
    fields.insert("block", "0".into());
    fields.insert("family", "7".into());
    for (name, value) in given.iter().map(|word| word.split_once('=').unwrap()) {
        match name {
            "body" => {}
            _ if value.is_empty() => drop(fields.remove(name)),
            _ => drop(fields.insert(name, value.into())),
        }
    }
    let mut out = Vec::new();
    write_array_len(&mut out, 4).unwrap();
    write_uint(&mut out, 0).unwrap();
    write_uint(&mut out, u64::from(id)).unwrap();
    write_str(&mut out, class).unwrap();
    write_array_len(&mut out, 2).unwrap();
    write_map_len(&mut out, fields.len() as u32).unwrap();
    for (name, value) in fields {
        write_str(&mut out, name).unwrap();
        write_str(&mut out, &value).unwrap();
    }
    write_bin(&mut out, body).unwrap();
    out
}

/// A message that withdraws a request with an id below 128.
pub fn encode_withdraw(id: u32) -> Vec<u8> {
    [&[0x93, 2, 0xa8][..], b"withdraw", &[0x91, id as u8]].concat()
}

pub fn encode_status_requests(ids: std::ops::RangeInclusive<u8>) -> Vec<u8> {
    ids.flat_map(|id| [&[0x94, 0, id, 0xa6][..], b"status", &[0xc0]].concat()).collect()
}

impl Client {
    pub fn start(listen: &str, deaf: bool, narrow: bool) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        if narrow {
            socket.set_recv_buffer_size(NARROW_BUFFER).unwrap();
        }
        socket.connect(&listen.parse::<SocketAddr>().unwrap().into()).unwrap();
        let (sender, answers) = channel();
        let (reader, received, sent_at, stream_end) = Default::default();
        let mut client = Client {
            stream: socket.into(),
            answers,
            sender: Some(sender),
            reader,
            received,
            sent_at,
            stream_end,
        };
        if !deaf {
            client.start_reading();
        }
        client
    }

    pub fn start_reading(&mut self) {
        let (mut reader, sender) =
            (BufReader::new(self.stream.try_clone().unwrap()), self.sender.take().unwrap());
        self.reader = Some(spawn(move || loop {
            let received = read_answer(&mut reader);
            let is_end = matches!(received, Received::End(..));
            if sender.send(received).is_err() || is_end {
                return;
            }
        }));
    }

    pub fn send_request(&mut self, id: u32, class: &str, object: &str, given: &[&str]) {
        self.sent_at.insert(id, Instant::now());
        let port = self.stream.local_addr().unwrap().port();
        let _ = self.stream.write_all(&encode_request(port, id, class, object, given));
    }

    /// Receives the next answer or the end of the stream; false after the end, or if nothing arrives in time.
    pub fn next(&mut self, within: Duration) -> bool {
        if self.stream_end.is_some() {
            return false;
        }
        match self.answers.recv_timeout(within) {
            Ok(Received::Answer(answer)) => self.received.push_back(answer),
            Ok(Received::End(at, clean)) => self.stream_end = Some((at, clean)),
            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => return false,
            // The reading thread has panicked.
            Err(_) => self.stream_end = Some((Instant::now(), false)),
        }
        true
    }

    /// Waits for the answer to a request; `None` if the stream ends without it.
    pub fn wait_for_answer(&mut self, id: u32) -> Option<ClientAnswer> {
        loop {
            if let Some(place) = self.received.iter().position(|answer| answer.id == id) {
                return self.received.remove(place);
            }
            if !self.next(TIMEOUT) {
                return None;
            }
        }
    }

    pub fn expect_answer(&mut self, id: u32) -> ClientAnswer {
        let answer = self.wait_for_answer(id);
        answer.unwrap_or_else(|| panic!("no answer to {id}, end {:?}", self.stream_end))
    }

    /// Expects a clean end of the stream, also after the last message that was sent.
    pub fn expect_end(&mut self) {
        while self.next(TIMEOUT) {}
        let (at, clean) = self.stream_end.expect("no end");
        assert!(clean, "the connection did not end cleanly");
        assert!(self.received.is_empty(), "unexpected answers: {:?}", self.received);
        let last = self.sent_at.values().copied().max().map_or(at, |sent| sent.max(at));
        sleep(QUIET.saturating_sub(last.elapsed()));
        let error = self.stream.take_error().unwrap();
        assert!(error.is_none(), "{error:?} after the end");
    }

    pub fn reset(mut self) {
        let _ = self.stream.shutdown(Shutdown::Read);
        self.reader.take().into_iter().for_each(|reader| drop(reader.join()));
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}
