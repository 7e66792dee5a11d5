//! The change log over HTTP/1.1: a long poll with the number of the last change taken, and what an answer
//! holds. Whatever goes wrong, the last good list stays and the log is asked again.
use crate::clock;
use crate::config::Names;
use crate::inbox::{Change, Input, Listed};
use crate::line::is_wait;
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::*;
use cherrypass::time::{Span, Time};
use cherrypass_keep::purges::Purge;
use crossbeam_channel::{Receiver, Sender};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Short, since a change log that stops in the middle is found out only once the wait is over.
const POLL: Span = Span::millis(1_000);
/// A whole answer comes after the poll's time at the latest; the rest is left for the way.
const WHOLE: Span = Span::millis(1_700);
/// How often a read looks whether it is to go on.
const LOOK: Duration = Duration::from_millis(100);
const CONNECT: Duration = Duration::from_millis(1_000);
const WAIT_FIRST: Span = Span::millis(50);
const WAIT_MOST: Span = Span::millis(500);
const HEAD_MOST: usize = 8 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("no connection: {0}")]
    Unreachable(io::Error),
    #[error("silent or cut: {0}")]
    Cut(#[from] io::Error),
    #[error("it has moved")]
    Moved,
    #[error("not HTTP as expected: {0}")]
    NotHttp(&'static str),
    #[error("not JSON")]
    NotJson,
    #[error("change {0}: {1} can't be used")]
    Unusable(u64, &'static str),
    #[error("change {0} follows on {1}")]
    Gap(u64, u64),
}

/// The id of a host by its name in the list, which is the same for all dispatchers (FNV-1a).
pub fn host_id(name: &str) -> HostId {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    HostId(name.bytes().fold(0xcbf2_9ce4_8422_2325, mix))
}

/// The changes of an answer that come after the last one taken, and the fault that ended the reading. Of the one
/// that could not be used before only what can be is taken: guards against one that holds up all after it.
pub fn decode(
    answer: &Value,
    names: &Names,
    last: &mut u64,
    unusable: Option<u64>,
) -> (Vec<Change>, Option<Fault>) {
    let mut changes = Vec::new();
    let Some(results) = answer.get("results").and_then(Value::as_array) else {
        return (changes, Some(Fault::NotJson));
    };
    for result in results {
        let Some(number) = result.get("seq").and_then(Value::as_u64) else {
            return (changes, Some(Fault::Unusable(*last, "its number")));
        };
        // A repeat is no news, and nothing past a gap is taken before what is missing.
        if number <= *last {
            continue;
        }
        if number > *last + 1 {
            return (changes, Some(Fault::Gap(number, *last)));
        }
        let partly = unusable == Some(number);
        if partly {
            tracing::warn!(change = number, "change {number} is passed over in part");
        }
        match change(result, names, partly) {
            Ok(change) => changes.extend(change),
            Err(_) if partly => {}
            Err(what) => return (changes, Some(Fault::Unusable(number, what))),
        }
        *last = number;
    }
    (changes, None)
}

fn change(result: &Value, names: &Names, partly: bool) -> Result<Option<Change>, &'static str> {
    if let Some(fleet) = result.get("fleet") {
        let servers = fleet.get("servers").and_then(Value::as_array).ok_or("servers")?;
        let hosts = servers.iter().map(|entry| listed(entry, names)).filter(|host| !partly || host.is_ok());
        let hosts = hosts.collect::<Result<Vec<Listed>, _>>()?;
        // Whoever can't be read is not gone for that.
        let all = hosts.len() == servers.len();
        let whole = all && fleet.get("full").and_then(Value::as_bool).unwrap_or(false);
        return Ok(Some(Change::List { whole, hosts }));
    }
    let Some(purge) = result.get("invalidate") else { return Ok(None) };
    let at = purge.get("time").and_then(Value::as_u64).ok_or("time")?;
    let object = purge.get("object").map(|object| {
        object.as_str().and_then(|hex| u64::from_str_radix(hex, 16).ok()).map(ObjectId).ok_or("object")
    });
    let bucket = purge.get("bucket").and_then(Value::as_u64).map(|n| GroupId(n as u32));
    let (object, group) = (object.transpose()?, bucket.unwrap_or(GroupId(0)));
    if object.is_none() && bucket.is_none() {
        return Err("object or bucket");
    }
    let change = result.get("seq").and_then(Value::as_u64).unwrap_or(0);
    Ok(Some(Change::Purge(Purge { group, object, at: Time(at.saturating_mul(1000)), change })))
}

fn listed(entry: &Value, names: &Names) -> Result<Listed, &'static str> {
    let text = |key| entry.get(key).and_then(Value::as_str);
    let place = |list: &[String], name: &str| list.iter().position(|known| known == name);
    let name = text("id").ok_or("id")?;
    let phase = match text("state").ok_or("state")? {
        "in_service" => Phase::Ready,
        "terminating" => Phase::Draining,
        "terminated" => Phase::Gone,
        _ => return Err("state"),
    };
    let gone = phase == Phase::Gone;
    let address = text("addr").and_then(|addr| addr.parse().ok());
    let location = text("zone").and_then(|zone| place(&names.locations, zone));
    let kind = text("kind").and_then(|kind| place(&names.kinds, kind));
    let started = entry.get("started_ms").and_then(Value::as_u64).unwrap_or(0);
    Ok(Listed {
        listing: Listing {
            host: host_id(name),
            location: LocationId(location.or(gone.then_some(0)).ok_or("zone")? as u8),
            kind: KindId(kind.or(gone.then_some(0)).ok_or("kind")? as u8),
            cell: CellId(entry.get("cell").and_then(Value::as_u64).unwrap_or(0) as u16),
            weight: entry.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            since: Some(started).filter(|ms| *ms > 0).map(|ms| Time(ms.saturating_mul(1000))),
            phase,
        },
        name: name.to_owned(),
        address: Some(address).filter(|address| address.is_some() || gone).ok_or("addr")?,
    })
}

/// Follows the change log until the router is gone.
pub fn follow(
    mut at: SocketAddr,
    moved: Receiver<SocketAddr>,
    names: Names,
    mut last: u64,
    most: usize,
    seed: u64,
    router: Sender<Input>,
) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut wait = WAIT_FIRST;
    let mut line: Option<TcpStream> = None;
    let mut failing = false;
    let mut unusable = None;
    loop {
        if let Some(new) = moved.try_iter().last() {
            (at, line, wait) = (new, None, WAIT_FIRST);
        }
        let asked = clock::now();
        let (changes, fault) = match ask(&mut line, at, &moved, last, most) {
            Err(Fault::Moved) => continue,
            Ok(answer) => decode(&answer, &names, &mut last, unusable),
            Err(fault) => (Vec::new(), Some(fault)),
        };
        for change in changes {
            if router.send(Input::Changed(change)).is_err() {
                return;
            }
        }
        if let Some(Fault::Unusable(number, _)) = &fault {
            unusable = Some(*number);
        }
        if let Some(fault) = &fault {
            line = None;
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
        if failing || clock::now() - asked < Span::millis(2) {
            // A move ends the wait.
            let mut select = crossbeam_channel::Select::new();
            select.recv(&moved);
            let _ = select.ready_timeout(clock::duration(wait.times(chance.gen_range(0.5..1.0))));
        }
    }
}

/// One answer's reading. Guards against an answer that stops or drips, by one end for the whole of it, and
/// against waiting for one that won't come, as the change log has moved.
struct Reading<'a> {
    stream: &'a TcpStream,
    moved: &'a Receiver<SocketAddr>,
    until: Time,
}

impl Read for Reading<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        while self.moved.is_empty() && clock::now() < self.until {
            match (&mut self.stream).read(into) {
                Err(error) if is_wait(&error) => {}
                other => return other,
            }
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}

fn ask(
    line: &mut Option<TcpStream>,
    at: SocketAddr,
    moved: &Receiver<SocketAddr>,
    last: u64,
    most: usize,
) -> Result<Value, Fault> {
    let stream = match line.take() {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&at, CONNECT).map_err(Fault::Unreachable)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(LOOK))?;
            stream.set_write_timeout(Some(CONNECT))?;
            stream
        }
    };
    let poll = POLL.0 / 1000;
    let request = format!(
        "GET /changes?since={last}&timeout={poll} HTTP/1.1\r\nHost: {at}\r\nAccept: application/json\r\n\r\n"
    );
    (&stream).write_all(request.as_bytes())?;
    let reading = Reading { stream: &stream, moved, until: clock::now() + WHOLE };
    let found = answer(reading, most);
    if !moved.is_empty() {
        return Err(Fault::Moved);
    }
    let (body, keep) = found?;
    *line = Some(stream).filter(|_| keep);
    serde_json::from_slice(&body).map_err(|_| Fault::NotJson)
}

/// The body of an answer, no longer than that, and whether the connection stays open after it.
pub fn answer(mut stream: impl Read, most: usize) -> Result<(Vec<u8>, bool), Fault> {
    let mut held = Vec::new();
    let mut more = |held: &mut Vec<u8>| -> Result<bool, Fault> {
        let mut piece = [0; 8192];
        let found = stream.read(&mut piece)?;
        held.extend_from_slice(&piece[..found]);
        Ok(found > 0)
    };
    let cut = || Fault::Cut(io::ErrorKind::UnexpectedEof.into());
    let (head, length, chunked, keep) = loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&held).map_err(|_| Fault::NotHttp("its head"))? {
            httparse::Status::Complete(head) => {
                if response.code != Some(200) {
                    return Err(Fault::NotHttp("its status"));
                }
                let of = |name: &str| {
                    let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
                    found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
                };
                let length = of("content-length").map(|text| text.parse::<usize>());
                let length = length.transpose().map_err(|_| Fault::NotHttp("its length"))?;
                let chunked = of("transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked"));
                let keep = !of("connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
                break (head, length, chunked, keep && response.version == Some(1));
            }
            httparse::Status::Partial if held.len() > HEAD_MOST => return Err(Fault::NotHttp("its head")),
            httparse::Status::Partial => {
                if !more(&mut held)? {
                    return Err(cut());
                }
            }
        }
    };
    held.drain(..head);
    if length.is_some_and(|length| length > most) {
        return Err(Fault::NotHttp("its length"));
    }
    let mut body = Vec::new();
    loop {
        if chunked {
            match httparse::parse_chunk_size(&held).map_err(|_| Fault::NotHttp("a chunk"))? {
                httparse::Status::Complete((_, size)) if size > most as u64 => {
                    return Err(Fault::NotHttp("a chunk's length"));
                }
                httparse::Status::Complete((from, size)) if held.len() >= from + size as usize + 2 => {
                    let to = from + size as usize;
                    body.extend_from_slice(&held[from..to]);
                    held.drain(..to + 2);
                    if size == 0 {
                        return Ok((body, keep));
                    }
                    continue;
                }
                _ => {}
            }
        } else if let Some(length) = length.filter(|length| held.len() >= *length) {
            held.truncate(length);
            return Ok((held, keep));
        }
        if body.len() + held.len() > most + HEAD_MOST {
            return Err(Fault::NotHttp("its length"));
        }
        if !more(&mut held)? {
            return if chunked || length.is_some() { Err(cut()) } else { Ok((held, false)) };
        }
    }
}
