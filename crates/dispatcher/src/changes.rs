//! The change log over HTTP/1.1: a long poll with the number of the last change taken. Each change of an
//! answer is taken as soon as it is here whole. Whatever goes wrong, the last good list stays and the log is
//! asked again.
use crate::carried::{Delivery, Source};
use crate::clock;
use crate::config::{Names, Nesting};
use crate::inbox::Input;
use crate::log_changes::Taking;
pub use crate::log_changes::{decode, host_id, Fault, Unfit};
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

/// The wait asked for. The protocol page allows 5 s; but a watch that falls silent is found out only after it, while
/// what the log has counts as told; and each dispatcher asks once in it, also when nothing changes.
const POLL: Span = Span::millis(250);
/// An answer that has not begun so long after the wait asked for makes the watch silent. It is twice as long after
/// each time: guards against a log that is slower than that, and would never be heard out.
const SILENT: Span = Span::millis(150);
const PATIENCE_FADES: f64 = 0.9;
/// The wait asked for by a watch that was silent: what it missed is known at once.
const POLL_AGAIN: Span = Span::millis(1);
/// What the change log has to tell counts as told so much later at the latest, whether it arrived or not (the protocol page).
pub const TOLD_AT_LATEST: Span = Span::millis(7_000);
/// What a broken answer would have told counts as told so much later, and what one would have told that
/// stopped, so much after the end of the wait asked for (the page for service).
const TOLD: Span = Span::millis(2_000);
/// A whole answer comes after the poll's time at the latest; the rest is left for the way.
const WHOLE: Span = Span::millis(1_100);
/// How often a wait looks whether it is to go on.
const LOOK: Span = Span::millis(100);
/// A connection that is not up by then gets another one beside it. Guards against one that never comes up.
const AGAIN: Span = Span::millis(1_000);
/// And is given up then: connections come up to 1.5 s late (the standing test's page).
const LATE: Span = Span::millis(2_000);
const WAIT_FIRST: Span = Span::millis(50);
const WAIT_MOST: Span = Span::millis(500);
/// A poll that took longer met a slow log, or a process that stood still: what was told since is asked for at once.
const STOOD_STILL: Span = Span::millis(600);
const HEAD_MOST: usize = 8 * 1024;
const HEADERS: usize = 64;

// After a stop and after a break the log has been asked again, by a second connection if need be, before it
// counts.
const _: () = assert!(WHOLE.0 + WAIT_FIRST.0 * 2 + AGAIN.0 <= POLL.0 + TOLD.0);
const _: () = assert!(WAIT_MOST.0 + AGAIN.0 <= TOLD.0);

/// What the change log is followed with.
pub struct Following {
    pub at: SocketAddr,
    /// Where it is from then on.
    pub moved: Receiver<SocketAddr>,
    pub names: Names,
    /// The last change that is known.
    pub last: u64,
    /// Bytes of one change at most.
    pub most: usize,
    pub seed: u64,
    pub router: Sender<Input>,
    /// Changes come by a carrier, or are passed on by this process.
    pub delivery: Option<Delivery>,
}

/// Follows the change log until the router is gone.
pub fn follow(following: Following) {
    let Following { at, moved, names, mut last, most, seed, router, delivery } = following;
    let mut source = Source::new(delivery);
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut watch = Watch { at, moved, line: None, dials: Vec::new(), most };
    let mut wait = WAIT_FIRST;
    let (mut failing, mut behind, mut repeating) = (false, false, false);
    // What was told meanwhile is to be known at once.
    let mut stood_still = false;
    let mut unusable = None;
    let mut patience = SILENT;
    loop {
        if source.take(&names, &mut last, &router).is_err() {
            return;
        }
        if let Some(new) = watch.moved.try_iter().last() {
            watch = Watch { at: new, line: None, dials: Vec::new(), ..watch };
            wait = WAIT_FIRST;
        }
        let (asked, asked_at) = (clock::now(), Instant::now());
        let since = last;
        let mut taking = Taking::new(&names, &mut last, unusable);
        let poll = if failing || stood_still { POLL_AGAIN } else { POLL };
        let found = watch.ask(since, [poll, patience], &mut |result| {
            let before = taking.last();
            let change = taking.take(result)?;
            if taking.last() > before {
                source.was_read(taking.last(), result);
            }
            change.map_or(Ok(()), |change| router.send(Input::Changed(change)).map_err(|_| Fault::Over))
        });
        stood_still = clock::now() - asked > STOOD_STILL;
        let repeated = taking.repeated();
        source.answered(last, found.is_ok().then_some(asked_at));
        if found.is_ok() && router.send(Input::LogKnown(asked)).is_err() {
            return;
        }
        if let Some(number) = repeated.filter(|_| !repeating) {
            tracing::warn!(change = last, "changelog tells change {number} again, after {last}: passed over");
        }
        repeating = repeated.is_some();
        let fault = match found {
            Err(Fault::Moved) => continue,
            Err(Fault::Over) => return,
            Err(fault) => Some(fault),
            Ok(seq) => {
                let is = seq.is_some_and(|seq| seq < since);
                if is && !behind {
                    let seq = seq.unwrap_or_default();
                    tracing::warn!(
                        change = since,
                        "changelog is at change {seq}, behind {since}: nothing comes"
                    );
                }
                behind = is;
                None
            }
        };
        if fault.is_none() {
            patience = patience.times(PATIENCE_FADES).max(SILENT);
        } else {
            patience = (patience + patience).min(WHOLE);
        }
        if let Some(Fault::Unusable(number, _)) = &fault {
            unusable = Some(*number);
        }
        if let Some(fault) = &fault {
            if !failing {
                tracing::warn!(
                    change = last,
                    "changelog fails: {fault}; the last good list stays, change {last}"
                );
            }
        } else if failing {
            tracing::info!(change = last, "changelog back at change {last}");
        }
        failing = fault.is_some();
        // Guards against asking in a tight loop, also where answers come at once and bring nothing.
        wait = if failing { (wait + wait).min(WAIT_MOST) } else { WAIT_FIRST };
        // One that does not come up was waited for, and the next is on its way.
        let waited = matches!(&fault, Some(Fault::Unreachable(error)) if error.kind() == ErrorKind::TimedOut);
        let since_asked = clock::now() - asked;
        let is_tight = failing && !waited || since_asked < Span::millis(2);
        let rest = is_tight.then(|| wait.times(chance.gen_range(0.5..1.0)));
        if let Some(rest) = rest.max(source.rest(since_asked)) {
            // A move ends the wait.
            let mut select = crossbeam_channel::Select::new();
            select.recv(&watch.moved);
            let _ = select.ready_timeout(clock::duration(rest));
        }
    }
}

/// Waits until one of them is ready, until the end or for a while; which of them are.
fn ready(all: &[&TcpStream], what: PollFlags, until: Time) -> io::Result<Vec<bool>> {
    let wait = (until - clock::now()).min(LOOK).0 / 1000 + 1;
    let mut all: Vec<PollFd> = all.iter().map(|stream| PollFd::new(stream.as_fd(), what)).collect();
    match poll(&mut all, PollTimeout::from(wait as u16)) {
        Ok(_) => Ok(all.iter().map(|one| one.any().unwrap_or(true)).collect()),
        Err(nix::errno::Errno::EINTR) => Ok(vec![false; all.len()]),
        Err(error) => Err(error.into()),
    }
}

/// One answer's reading. Guards against an answer that stops or drips, by one end for the whole of it, and
/// against waiting for one that won't come, as the change log has moved. What is here already is read all the
/// same, so that nothing is lost where the process itself stood still; so much of it that it comes to an end.
struct Reading<'a> {
    stream: &'a TcpStream,
    moved: &'a Receiver<SocketAddr>,
    /// By when it has to begin; from then on, by when it has to be whole.
    until: Time,
    whole: Time,
    left: usize,
}

impl Read for Reading<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        loop {
            let found = (&mut self.stream).read(into);
            let is_late = clock::now() >= self.until;
            match found {
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Ok(found) if is_late && found > self.left => return Err(ErrorKind::TimedOut.into()),
                Ok(found) => {
                    self.until = self.whole;
                    self.left -= if is_late { found } else { 0 };
                    return Ok(found);
                }
                Err(error) => return Err(error),
            }
            if is_late || !self.moved.is_empty() {
                return Err(ErrorKind::TimedOut.into());
            }
            ready(&[self.stream], PollFlags::POLLIN, self.until)?;
        }
    }
}

/// A connection on its way up, and since when.
struct Dial(TcpStream, Time);

fn dial(at: SocketAddr) -> io::Result<Dial> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&at.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(Dial(socket.into(), clock::now())),
    }
}

/// What is held of the change log's connections between two answers.
struct Watch {
    at: SocketAddr,
    moved: Receiver<SocketAddr>,
    line: Option<TcpStream>,
    dials: Vec<Dial>,
    most: usize,
}

impl Watch {
    /// The first connection to come up.
    fn connect(&mut self) -> Result<TcpStream, Fault> {
        loop {
            if !self.moved.is_empty() {
                return Err(Fault::Moved);
            }
            let now = clock::now();
            if self.dials.last().is_none_or(|Dial(_, since)| now - *since >= AGAIN) {
                self.dials.push(dial(self.at).map_err(Fault::Unreachable)?);
            }
            let all: Vec<&TcpStream> = self.dials.iter().map(|Dial(stream, _)| stream).collect();
            let up = ready(&all, PollFlags::POLLOUT, now + LOOK)?;
            if let Some(place) = up.iter().position(|is| *is) {
                let Dial(stream, _) = self.dials.swap_remove(place);
                self.dials.clear();
                return match stream.take_error().map_err(Fault::Unreachable)? {
                    Some(error) => Err(Fault::Unreachable(error)),
                    None => Ok(stream),
                };
            }
            if self.dials.first().is_some_and(|Dial(_, since)| clock::now() - *since >= LATE) {
                self.dials.remove(0);
                return Err(Fault::Unreachable(ErrorKind::TimedOut.into()));
            }
        }
    }

    /// Asks for what comes after a change, and passes on each change that comes; what the last one's number
    /// is.
    fn ask(
        &mut self,
        since: u64,
        [poll, patience]: [Span; 2],
        each: &mut Each,
    ) -> Result<Option<u64>, Fault> {
        // One that was ended meanwhile, or brought what nobody asked for, is of no use.
        let mut stray = [0];
        let unused = |line: &TcpStream| {
            { line }.read(&mut stray).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
        };
        let stream = match self.line.take().filter(unused) {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let (wait, at) = (poll.0 / 1000, self.at);
        let request = format!(
            "GET /changes?since={since}&timeout={wait} HTTP/1.1\r\nHost: {at}\r\n\
             Accept: application/json\r\n\r\n"
        );
        (&stream).write_all(request.as_bytes())?;
        let now = clock::now();
        let (begun, whole) = (now + (poll + patience).min(WHOLE), now + WHOLE);
        let reading = Reading { stream: &stream, moved: &self.moved, until: begun, whole, left: self.most };
        let found = answer(reading, since, self.most, each);
        if !self.moved.is_empty() && !matches!(found, Err(Fault::Over)) {
            return Err(Fault::Moved);
        }
        let (seq, keep) = found?;
        self.line = Some(stream).filter(|_| keep);
        Ok(seq)
    }
}

/// What becomes of a change.
pub type Each<'a> = dyn FnMut(&Value) -> Result<(), Fault> + 'a;

/// Reads an answer and passes on each of its changes once it is here whole, none of which is longer than
/// that. Its own number, and whether the connection stays open after it.
pub fn answer(
    stream: impl Read,
    since: u64,
    most: usize,
    each: &mut Each,
) -> Result<(Option<u64>, bool), Fault> {
    let mut stream = BufReader::new(stream);
    let mut held = Vec::new();
    let (length, chunked, keep) = loop {
        let piece = stream.fill_buf()?;
        if piece.is_empty() {
            return Err(Fault::Cut(ErrorKind::UnexpectedEof.into()));
        }
        let before = held.len();
        held.extend_from_slice(piece);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&held).map_err(|_| Fault::NotHttp("its head"))?;
        let httparse::Status::Complete(head) = parsed else {
            if held.len() > HEAD_MOST {
                return Err(Fault::NotHttp("its head"));
            }
            stream.consume(held.len() - before);
            continue;
        };
        stream.consume(head - before);
        if response.code != Some(200) {
            return Err(Fault::NotHttp("its status"));
        }
        let of = |name: &str| {
            let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
        };
        let length = of("content-length").map(|text| text.parse::<u64>());
        let length = length.transpose().map_err(|_| Fault::NotHttp("its length"))?;
        let chunked = of("transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked"));
        let close = of("connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
        break (length, chunked, !close && response.version == Some(1));
    };
    let number = Cell::new(since + 1);
    let read = Cell::new(0);
    let must = chunked || length.is_some();
    let mut body = Body { stream, must, read: &read, number: &number, most };
    let each = &mut |result: &Value| {
        read.set(0);
        number.set(number.get() + 1);
        each(result)
    };
    let seq = match length.filter(|_| !chunked) {
        Some(length) => changes((&mut body).take(length), each),
        None if chunked => changes(chunked_transfer::Decoder::new(&mut body), each),
        None => changes(&mut body, each),
    }?;
    Ok((seq, keep && must && body.stream.buffer().is_empty()))
}

/// Guards against a change without an end, and tells an end that is none.
struct Body<'a, R> {
    stream: BufReader<R>,
    /// Whether the stream's end is not the answer's.
    must: bool,
    /// Bytes since the last change, and the number of the one that comes.
    read: &'a Cell<usize>,
    number: &'a Cell<u64>,
    most: usize,
}

impl<R: Read> Read for Body<'_, R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let found = self.stream.read(into)?;
        if found == 0 && self.must && !into.is_empty() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.read.set(self.read.get() + found);
        if self.read.get() > self.most {
            return Err(io::Error::other(Fault::TooLong(self.number.get(), self.most)));
        }
        Ok(found)
    }
}

/// Guards against JSON that goes deeper than the stack of the thread that reads it.
struct Shallow<R>(R, Nesting);

impl<R: Read> Read for Shallow<R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let found = self.0.read(into)?;
        if self.1.is_too_deep(&into[..found]) {
            return Err(io::Error::other(Fault::TooDeep));
        }
        Ok(found)
    }
}

fn changes(body: impl Read, each: &mut Each) -> Result<Option<u64>, Fault> {
    let mut fault = None;
    let mut json = serde_json::Deserializer::from_reader(Shallow(body, Nesting::default()));
    let found = Answered { each, fault: &mut fault }.deserialize(&mut json);
    match found.and_then(|seq| json.end().map(|()| seq)) {
        Ok(seq) => Ok(seq),
        Err(error) => Err(fault.unwrap_or_else(|| match error.is_io() {
            true => io::Error::from(error).downcast::<Fault>().unwrap_or_else(Fault::Cut),
            false => Fault::NotJson,
        })),
    }
}

/// An answer's JSON, `{"seq":LAST,"results":[...]}`, read change by change.
struct Answered<'a, 'b> {
    each: &'a mut Each<'b>,
    fault: &'a mut Option<Fault>,
}

impl<'de> DeserializeSeed<'de> for Answered<'_, '_> {
    type Value = Option<u64>;
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Option<u64>, D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Answered<'_, '_> {
    type Value = Option<u64>;
    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("an answer of the change log")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Option<u64>, A::Error> {
        let (mut seq, mut any) = (None, false);
        while let Some(key) = map.next_key::<String>()? {
            match &key[..] {
                "seq" => seq = map.next_value::<Value>()?.as_u64(),
                "results" => {
                    any = true;
                    map.next_value_seed(Results { each: &mut *self.each, fault: &mut *self.fault })?;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        any.then_some(seq).ok_or_else(|| serde::de::Error::missing_field("results"))
    }
}

struct Results<'a, 'b> {
    each: &'a mut Each<'b>,
    fault: &'a mut Option<Fault>,
}

impl<'de> DeserializeSeed<'de> for Results<'_, '_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Results<'_, '_> {
    type Value = ();
    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("a list of changes")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        while let Some(result) = list.next_element::<Value>()? {
            if let Err(fault) = (self.each)(&result) {
                *self.fault = Some(fault);
                return Err(serde::de::Error::custom("a change that is not taken"));
            }
        }
        Ok(())
    }
}
