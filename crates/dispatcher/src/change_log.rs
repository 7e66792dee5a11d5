//! Follows the change log over HTTP/1.1, by long polls for the changes after the last known one. Each change
//! takes effect as soon as it has arrived, before the rest of the answer. After a failure the current list
//! stays in force and the log is polled again.
use crate::carried_changes::{Delivery, Source};
use crate::change_decoding::ChangeDecoder;
pub use crate::change_decoding::{decode, host_id, ChangeLogError, InvalidKey};
use crate::clock;
use crate::config::{Nesting, WireNames};
use crate::inbox::Input;
use cherrypass::time::{Span, Time};
use crossbeam_channel::{Receiver, Sender};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::cell::Cell;
use std::fmt;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::time::Instant;

/// The wait requested of a poll. The protocol allows 5 s, but a silent connection is noticed only after the
/// wait, while changes already count as announced. Each dispatcher polls once in this time even if nothing
/// changes.
const POLL_WAIT: Span = Span::millis(250);
/// Minimum time after the requested wait until an answer has to begin. It doubles with each failure, so that
/// a slower log is still followed, and decays with each success.
const MIN_RESPONSE_TIMEOUT: Span = Span::millis(150);
const RESPONSE_TIMEOUT_DECAY: f64 = 0.9;
/// The wait requested of the poll after a failure or a stall, so that missed changes arrive at once.
const CATCH_UP_WAIT: Span = Span::millis(1);
/// By the protocol, a change counts as announced this long after it was made, whether it arrived or not.
pub const MAX_ANNOUNCEMENT_DELAY: Span = Span::millis(7_000);
/// Changes in a broken answer count as announced this long after the break, and those in an answer that
/// stalls this long after the requested wait.
const ANNOUNCED_AFTER: Span = Span::millis(2_000);
/// Maximum time for a complete answer: the longest wait and time for the transfer.
const RESPONSE_DEADLINE: Span = Span::millis(1_100);
/// How often a wait checks whether the address has changed.
const CHECK_INTERVAL: Span = Span::millis(100);
/// A connection that is not established by then is tried again concurrently.
const REDIAL_AFTER: Span = Span::millis(1_000);
/// A connection that is not established by then is given up; connections may take up to 1.5 s.
const CONNECT_TIMEOUT: Span = Span::millis(2_000);
const MIN_RETRY_DELAY: Span = Span::millis(50);
const MAX_RETRY_DELAY: Span = Span::millis(500);
/// A poll that took longer met a slow log or a stall of this process; the next one requests no wait.
const STALL_THRESHOLD: Span = Span::millis(600);
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;

// After a stall or a break the log is polled again, if need be by a second connection, before its changes
// count as announced.
const _: () =
    assert!(RESPONSE_DEADLINE.0 + MIN_RETRY_DELAY.0 * 2 + REDIAL_AFTER.0 <= POLL_WAIT.0 + ANNOUNCED_AFTER.0);
const _: () = assert!(MAX_RETRY_DELAY.0 + REDIAL_AFTER.0 <= ANNOUNCED_AFTER.0);

/// Parameters of [`follow`].
pub struct FollowOptions {
    /// Address of the change log.
    pub address: SocketAddr,
    /// New addresses of the change log.
    pub new_addresses: Receiver<SocketAddr>,
    pub names: WireNames,
    /// Number of the last known change.
    pub last_change: u64,
    /// Maximum bytes of one change.
    pub max_change_bytes: usize,
    pub seed: u64,
    pub router: Sender<Input>,
    /// Set if carriers deliver changes, or if this process is a carrier.
    pub delivery: Option<Delivery>,
}

/// Follows the change log until the router has stopped.
pub fn follow(following: FollowOptions) {
    let FollowOptions {
        address,
        new_addresses,
        names,
        mut last_change,
        max_change_bytes,
        seed,
        router,
        delivery,
    } = following;
    let mut source = Source::new(delivery);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut connections =
        Connections { address, new_addresses, idle: None, dials: Vec::new(), max_change_bytes };
    let mut retry_delay = MIN_RETRY_DELAY;
    let (mut is_failing, mut is_behind, mut is_repeating) = (false, false, false);
    let mut has_stalled = false;
    let mut known_invalid = None;
    let mut response_timeout = MIN_RESPONSE_TIMEOUT;
    loop {
        if source.apply_delivered(&names, &mut last_change, &router).is_err() {
            return;
        }
        if let Some(new) = connections.new_addresses.try_iter().last() {
            connections = Connections { address: new, idle: None, dials: Vec::new(), ..connections };
            retry_delay = MIN_RETRY_DELAY;
        }
        let (polled_at, polled_instant) = (clock::now(), Instant::now());
        let since = last_change;
        let mut decoder = ChangeDecoder::new(&names, &mut last_change, known_invalid);
        let poll_wait = if is_failing || has_stalled { CATCH_UP_WAIT } else { POLL_WAIT };
        let found = connections.poll(since, [poll_wait, response_timeout], &mut |result| {
            let before = decoder.last();
            let change = decoder.decode(result)?;
            if decoder.last() > before {
                source.change_read(decoder.last(), result);
            }
            change.map_or(Ok(()), |change| {
                router.send(Input::Change(change)).map_err(|_| ChangeLogError::RouterStopped)
            })
        });
        has_stalled = clock::now() - polled_at > STALL_THRESHOLD;
        let repeated = decoder.first_repeated();
        source.answer_ended(last_change, found.is_ok().then_some(polled_instant));
        if found.is_ok() && router.send(Input::ChangeLogReadUpTo(polled_at)).is_err() {
            return;
        }
        if let Some(number) = repeated.filter(|_| !is_repeating) {
            tracing::warn!(
                change = last_change,
                "changelog tells change {number} again, after {last_change}: ignored"
            );
        }
        is_repeating = repeated.is_some();
        let fault = match found {
            Err(ChangeLogError::AddressChanged) => continue,
            Err(ChangeLogError::RouterStopped) => return,
            Err(fault) => Some(fault),
            Ok(seq) => {
                let was_behind = is_behind;
                is_behind = seq.is_some_and(|seq| seq < since);
                if is_behind && !was_behind {
                    let seq = seq.unwrap_or_default();
                    tracing::warn!(
                        change = since,
                        "changelog is at change {seq}, behind {since}: no changes until it catches up"
                    );
                }
                None
            }
        };
        if fault.is_none() {
            response_timeout = response_timeout.times(RESPONSE_TIMEOUT_DECAY).max(MIN_RESPONSE_TIMEOUT);
        } else {
            response_timeout = (response_timeout + response_timeout).min(RESPONSE_DEADLINE);
        }
        if let Some(ChangeLogError::InvalidChange(number, _)) = &fault {
            known_invalid = Some(*number);
        }
        if let Some(fault) = &fault {
            if !is_failing {
                tracing::warn!(
                    change = last_change,
                    "changelog fails: {fault}; the list as of change {last_change} stays in force"
                );
            }
        } else if is_failing {
            tracing::info!(change = last_change, "changelog back at change {last_change}");
        }
        is_failing = fault.is_some();
        // Prevents a busy loop, also if answers arrive at once and have no changes.
        retry_delay =
            if is_failing { (retry_delay + retry_delay).min(MAX_RETRY_DELAY) } else { MIN_RETRY_DELAY };
        // After a connect timeout the next connection is already being established.
        let has_waited =
            matches!(&fault, Some(ChangeLogError::Unreachable(error)) if error.kind() == ErrorKind::TimedOut);
        let since_poll = clock::now() - polled_at;
        let needs_delay = is_failing && !has_waited || since_poll < Span::millis(2);
        let delay = needs_delay.then(|| retry_delay.times(random.gen_range(0.5..1.0)));
        if let Some(delay) = delay.max(source.poll_delay(since_poll)) {
            // A new address ends the wait.
            let mut select = crossbeam_channel::Select::new();
            select.recv(&connections.new_addresses);
            let _ = select.ready_timeout(clock::to_std(delay));
        }
    }
}

/// Waits until a stream is ready, but no longer than `until` or the check interval; returns which streams are
/// ready.
fn ready(streams: &[&TcpStream], events: PollFlags, until: Time) -> io::Result<Vec<bool>> {
    let wait = (until - clock::now()).min(CHECK_INTERVAL).0 / 1000 + 1;
    let mut polled: Vec<PollFd> = streams.iter().map(|stream| PollFd::new(stream.as_fd(), events)).collect();
    match poll(&mut polled, PollTimeout::from(wait as u16)) {
        Ok(_) => Ok(polled.iter().map(|one| one.any().unwrap_or(true)).collect()),
        Err(nix::errno::Errno::EINTR) => Ok(vec![false; streams.len()]),
        Err(error) => Err(error.into()),
    }
}

/// Reads one answer. Ends an answer that stalls or trickles at one deadline for all of it, and stops waiting
/// when the change log's address changes. After the deadline, bytes that are already buffered are still read
/// up to a limit, so that a stall of this process loses no changes.
struct AnswerStream<'a> {
    stream: &'a TcpStream,
    new_addresses: &'a Receiver<SocketAddr>,
    /// The current deadline: first for the beginning of the answer, then for its end.
    deadline: Time,
    end_deadline: Time,
    /// Bytes that may still be read after the deadline.
    late_bytes_left: usize,
}

impl Read for AnswerStream<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        loop {
            let found = (&mut self.stream).read(into);
            let is_late = clock::now() >= self.deadline;
            match found {
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Ok(found) if is_late && found > self.late_bytes_left => {
                    return Err(ErrorKind::TimedOut.into())
                }
                Ok(found) => {
                    self.deadline = self.end_deadline;
                    self.late_bytes_left -= if is_late { found } else { 0 };
                    return Ok(found);
                }
                Err(error) => return Err(error),
            }
            if is_late || !self.new_addresses.is_empty() {
                return Err(ErrorKind::TimedOut.into());
            }
            ready(&[self.stream], PollFlags::POLLIN, self.deadline)?;
        }
    }
}

/// A connection that is being established, and since when.
struct Dial(TcpStream, Time);

fn dial(address: SocketAddr) -> io::Result<Dial> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(Dial(socket.into(), clock::now())),
    }
}

/// The connections to the change log between polls.
struct Connections {
    address: SocketAddr,
    new_addresses: Receiver<SocketAddr>,
    idle: Option<TcpStream>,
    dials: Vec<Dial>,
    max_change_bytes: usize,
}

impl Connections {
    /// Returns the first connection to be established.
    fn connect(&mut self) -> Result<TcpStream, ChangeLogError> {
        loop {
            if !self.new_addresses.is_empty() {
                return Err(ChangeLogError::AddressChanged);
            }
            let now = clock::now();
            if self.dials.last().is_none_or(|Dial(_, since)| now - *since >= REDIAL_AFTER) {
                self.dials.push(dial(self.address).map_err(ChangeLogError::Unreachable)?);
            }
            let all: Vec<&TcpStream> = self.dials.iter().map(|Dial(stream, _)| stream).collect();
            let ready = ready(&all, PollFlags::POLLOUT, now + CHECK_INTERVAL)?;
            if let Some(index) = ready.iter().position(|is_ready| *is_ready) {
                let Dial(stream, _) = self.dials.swap_remove(index);
                self.dials.clear();
                return match stream.take_error().map_err(ChangeLogError::Unreachable)? {
                    Some(error) => Err(ChangeLogError::Unreachable(error)),
                    None => Ok(stream),
                };
            }
            if self.dials.first().is_some_and(|Dial(_, since)| clock::now() - *since >= CONNECT_TIMEOUT) {
                self.dials.remove(0);
                return Err(ChangeLogError::Unreachable(ErrorKind::TimedOut.into()));
            }
        }
    }

    /// Requests the changes after a given one and passes each of them on; returns the number of the log's
    /// last change.
    fn poll(
        &mut self,
        since: u64,
        [poll_wait, response_timeout]: [Span; 2],
        on_change: &mut OnChange,
    ) -> Result<Option<u64>, ChangeLogError> {
        // A connection that was closed in between, or has unexpected data, can't be reused.
        let mut unexpected = [0];
        let is_reusable = |stream: &TcpStream| {
            { stream }.read(&mut unexpected).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
        };
        let stream = match self.idle.take().filter(is_reusable) {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let (wait, address) = (poll_wait.0 / 1000, self.address);
        let request = format!(
            "GET /changes?since={since}&timeout={wait} HTTP/1.1\r\nHost: {address}\r\n\
             Accept: application/json\r\n\r\n"
        );
        (&stream).write_all(request.as_bytes())?;
        let now = clock::now();
        let answer_stream = AnswerStream {
            stream: &stream,
            new_addresses: &self.new_addresses,
            deadline: now + (poll_wait + response_timeout).min(RESPONSE_DEADLINE),
            end_deadline: now + RESPONSE_DEADLINE,
            late_bytes_left: self.max_change_bytes,
        };
        let found = read_answer(answer_stream, since, self.max_change_bytes, on_change);
        if !self.new_addresses.is_empty() && !matches!(found, Err(ChangeLogError::RouterStopped)) {
            return Err(ChangeLogError::AddressChanged);
        }
        let (seq, is_reusable) = found?;
        self.idle = Some(stream).filter(|_| is_reusable);
        Ok(seq)
    }
}

/// Called with each change of an answer.
pub type OnChange<'a> = dyn FnMut(&Value) -> Result<(), ChangeLogError> + 'a;

/// Reads an answer and passes on each change as soon as it has arrived. Returns the number of the log's last
/// change, and whether the connection can be reused.
pub fn read_answer(
    stream: impl Read,
    since: u64,
    max_change_bytes: usize,
    on_change: &mut OnChange,
) -> Result<(Option<u64>, bool), ChangeLogError> {
    let mut stream = BufReader::new(stream);
    let mut head = Vec::new();
    let (length, is_chunked, keeps_alive) = loop {
        let piece = stream.fill_buf()?;
        if piece.is_empty() {
            return Err(ChangeLogError::Interrupted(ErrorKind::UnexpectedEof.into()));
        }
        let before = head.len();
        head.extend_from_slice(piece);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&head).map_err(|_| ChangeLogError::InvalidResponse("invalid head"))?;
        let httparse::Status::Complete(head_length) = parsed else {
            if head.len() > MAX_HEAD_BYTES {
                return Err(ChangeLogError::InvalidResponse("the head is too long"));
            }
            stream.consume(head.len() - before);
            continue;
        };
        stream.consume(head_length - before);
        if response.code != Some(200) {
            return Err(ChangeLogError::InvalidResponse("the status is not 200"));
        }
        let header = |name: &str| {
            let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
        };
        let length = header("content-length").map(|text| text.parse::<u64>());
        let length =
            length.transpose().map_err(|_| ChangeLogError::InvalidResponse("invalid Content-Length"))?;
        let is_chunked = header("transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked"));
        let closes = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        break (length, is_chunked, !closes && response.version == Some(1));
    };
    let number = Cell::new(since + 1);
    let read = Cell::new(0);
    let is_delimited = is_chunked || length.is_some();
    let mut body = Body { stream, is_delimited, read: &read, number: &number, max_change_bytes };
    let on_change = &mut |result: &Value| {
        read.set(0);
        number.set(number.get() + 1);
        on_change(result)
    };
    let seq = match length.filter(|_| !is_chunked) {
        Some(length) => read_changes((&mut body).take(length), on_change),
        None if is_chunked => read_changes(chunked_transfer::Decoder::new(&mut body), on_change),
        None => read_changes(&mut body, on_change),
    }?;
    Ok((seq, keeps_alive && is_delimited && body.stream.buffer().is_empty()))
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
        let found = self.stream.read(into)?;
        if found == 0 && self.is_delimited && !into.is_empty() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.read.set(self.read.get() + found);
        if self.read.get() > self.max_change_bytes {
            let fault = ChangeLogError::ChangeTooLong(self.number.get(), self.max_change_bytes);
            return Err(io::Error::other(fault));
        }
        Ok(found)
    }
}

/// Rejects JSON that is nested too deep for the stack of the thread that reads it.
struct DepthLimited<R>(R, Nesting);

impl<R: Read> Read for DepthLimited<R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let found = self.0.read(into)?;
        if self.1.is_too_deep(&into[..found]) {
            return Err(io::Error::other(ChangeLogError::TooDeep));
        }
        Ok(found)
    }
}

fn read_changes(body: impl Read, on_change: &mut OnChange) -> Result<Option<u64>, ChangeLogError> {
    let mut fault = None;
    let mut json = serde_json::Deserializer::from_reader(DepthLimited(body, Nesting::default()));
    let found = AnswerVisitor { on_change, fault: &mut fault }.deserialize(&mut json);
    match found.and_then(|seq| json.end().map(|()| seq)) {
        Ok(seq) => Ok(seq),
        Err(error) => Err(fault.unwrap_or_else(|| match error.is_io() {
            true => io::Error::from(error)
                .downcast::<ChangeLogError>()
                .unwrap_or_else(ChangeLogError::Interrupted),
            false => ChangeLogError::NotJson,
        })),
    }
}

/// Reads the JSON of an answer, `{"seq":LAST,"results":[...]}`, change by change.
struct AnswerVisitor<'a, 'b> {
    on_change: &'a mut OnChange<'b>,
    fault: &'a mut Option<ChangeLogError>,
}

impl<'de> DeserializeSeed<'de> for AnswerVisitor<'_, '_> {
    type Value = Option<u64>;
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Option<u64>, D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for AnswerVisitor<'_, '_> {
    type Value = Option<u64>;
    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("an answer of the change log")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Option<u64>, A::Error> {
        let (mut seq, mut has_results) = (None, false);
        while let Some(key) = map.next_key::<String>()? {
            match &key[..] {
                "seq" => seq = map.next_value::<Value>()?.as_u64(),
                "results" => {
                    has_results = true;
                    map.next_value_seed(ResultsVisitor {
                        on_change: &mut *self.on_change,
                        fault: &mut *self.fault,
                    })?;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        has_results.then_some(seq).ok_or_else(|| serde::de::Error::missing_field("results"))
    }
}

/// Reads the list of changes.
struct ResultsVisitor<'a, 'b> {
    on_change: &'a mut OnChange<'b>,
    fault: &'a mut Option<ChangeLogError>,
}

impl<'de> DeserializeSeed<'de> for ResultsVisitor<'_, '_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for ResultsVisitor<'_, '_> {
    type Value = ();
    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("a list of changes")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        while let Some(result) = list.next_element::<Value>()? {
            if let Err(fault) = (self.on_change)(&result) {
                *self.fault = Some(fault);
                return Err(serde::de::Error::custom("a change was rejected"));
            }
        }
        Ok(())
    }
}
