//! Stand-ins for clients, hosts and the change log, and what starts a dispatcher. They follow the operators' pages:
//! MessagePack-RPC with clients, RESP with hosts, HTTP/1.1 with the change log. Standard library only.
use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------------- time and record

/// Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

pub fn unix_ms() -> u64 {
    unix_us() / 1000
}

pub fn pause_ms(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// Sleeps until a Unix time in microseconds.
pub fn sleep_until(at_us: u64) {
    sleep(Duration::from_micros(at_us.saturating_sub(unix_us())));
}

struct Record {
    file: File,
    zero_us: u64,
}

static RECORD: OnceLock<Mutex<Record>> = OnceLock::new();

/// Opens the record; times in it are milliseconds since now.
pub fn open_record(path: &Path) {
    let record = Record { file: File::create(path).expect("record.txt"), zero_us: unix_us() };
    let _ = RECORD.set(Mutex::new(record));
}

/// Writes a line about something that happened at a time.
pub fn note_at(at_us: u64, line: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        let mut record = record.lock().unwrap();
        let ms = (at_us as f64 - record.zero_us as f64) / 1000.0;
        let _ = writeln!(record.file, "{ms:10.2} {}", line.as_ref());
    }
}

pub fn note(line: impl AsRef<str>) {
    note_at(unix_us(), line);
}

/// Writes a line to the record and to standard output.
pub fn say(line: impl AsRef<str>) {
    println!("{}", line.as_ref());
    note(line);
}

/// Ends the test with 2: the case could not run.
pub fn could_not_run(why: &str) -> ! {
    say(format!("could not run: {why}"));
    std::process::exit(2)
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------- later work

struct Job {
    at: Instant,
    run: Box<dyn FnOnce() + Send>,
}

#[derive(Default)]
struct Jobs {
    list: Mutex<Vec<Job>>,
    changed: Condvar,
}

fn jobs() -> &'static Arc<Jobs> {
    static JOBS: OnceLock<Arc<Jobs>> = OnceLock::new();
    JOBS.get_or_init(|| {
        let jobs = Arc::new(Jobs::default());
        let own = jobs.clone();
        spawn(move || run_jobs(&own));
        jobs
    })
}

fn run_jobs(jobs: &Jobs) {
    let mut list = jobs.list.lock().unwrap();
    loop {
        let now = Instant::now();
        let first = (0..list.len()).min_by_key(|index| list[*index].at);
        list = match first {
            Some(index) if list[index].at <= now => {
                let job = list.swap_remove(index);
                drop(list);
                (job.run)();
                jobs.list.lock().unwrap()
            }
            Some(index) => {
                let wait = list[index].at - now;
                jobs.changed.wait_timeout(list, wait).unwrap().0
            }
            None => jobs.changed.wait(list).unwrap(),
        };
    }
}

/// Runs something after a time, on one thread for all.
pub fn later(ms: f64, run: impl FnOnce() + Send + 'static) {
    let at = Instant::now() + Duration::from_micros((ms * 1000.0) as u64);
    jobs().list.lock().unwrap().push(Job { at, run: Box::new(run) });
    jobs().changed.notify_all();
}

// ---------------------------------------------------------------------------------------------- hosts

/// An attempt as it came to a host.
#[derive(Clone, Debug)]
pub struct Want {
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its first and its last byte were read.
    pub first_byte_at: u64,
    pub whole_at: u64,
    /// Increases with each connection to the host.
    pub connection: u64,
}

impl Want {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| &value[..])
    }

    /// Object and part.
    pub fn copy_id(&self) -> (String, String) {
        (self.field("k").to_owned(), self.field("p").to_owned())
    }
}

/// The side of a connection on which a host answers.
#[derive(Clone)]
pub struct HostWriter {
    stream: Arc<Mutex<TcpStream>>,
    pub connection: u64,
    pub host: Arc<str>,
}

fn bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

impl HostWriter {
    pub fn answer(&self, id: &str, word: &str, fields: &str, body: &[u8]) {
        let mut out = Vec::with_capacity(body.len() + 200);
        out.extend_from_slice(b"*4\r\n");
        for part in [id.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
            bulk(&mut out, part);
        }
        let _ = self.stream.lock().unwrap().write_all(&out);
    }

    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

/// What a host does with what comes to it.
pub trait HostLogic: Send + Sync {
    fn want(&self, writer: &HostWriter, want: Want);
    fn never_mind(&self, _writer: &HostWriter, _id: &str) {}
    fn connection_ended(&self, _connection: u64) {}
}

/// A cache, parent or origin that listens on a free port.
pub struct HostServer {
    pub name: String,
    pub address: SocketAddr,
}

impl HostServer {
    pub fn start(name: &str, logic: Arc<dyn HostLogic>) -> HostServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let host: Arc<str> = name.into();
        spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { continue };
                let writer = HostWriter {
                    stream: Arc::new(Mutex::new(stream)),
                    connection: number as u64,
                    host: host.clone(),
                };
                let logic = logic.clone();
                spawn(move || {
                    serve_host(reading, &writer, &*logic);
                    writer.close();
                    logic.connection_ended(writer.connection);
                });
            }
        });
        HostServer { name: name.to_owned(), address }
    }
}

/// Reads bytes and knows when each of them was read.
struct TimedReader {
    stream: TcpStream,
    bytes: Vec<u8>,
    at: usize,
    /// Positions in `bytes` from which on they were read at a time.
    times: Vec<(usize, u64)>,
}

impl TimedReader {
    fn more(&mut self) -> bool {
        let mut chunk = vec![0; 64 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(length) if length > 0 => {
                self.times.push((self.bytes.len(), unix_us()));
                self.bytes.extend_from_slice(&chunk[..length]);
                true
            }
            _ => false,
        }
    }

    fn time_of(&self, position: usize) -> u64 {
        self.times.iter().rev().find(|(from, _)| *from <= position).map_or(0, |(_, at)| *at)
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.bytes[self.at..].windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.bytes[self.at..self.at + end]).into_owned();
                self.at += end + 2;
                return Some(line);
            }
            if !self.more() {
                return None;
            }
        }
    }

    fn bulk(&mut self) -> Option<Vec<u8>> {
        let length: usize = self.line()?.strip_prefix('$')?.parse().ok()?;
        while self.bytes.len() < self.at + length + 2 {
            if !self.more() {
                return None;
            }
        }
        let bytes = self.bytes[self.at..self.at + length].to_vec();
        self.at += length + 2;
        Some(bytes)
    }

    /// The words of the next message, and when its first and last bytes were read.
    fn message(&mut self) -> Option<(Vec<Vec<u8>>, u64, u64)> {
        self.bytes.drain(..self.at);
        let last = self.times.last().copied();
        self.times.clear();
        if !self.bytes.is_empty() {
            self.times.extend(last.map(|(_, at)| (0, at)));
        }
        self.at = 0;
        let count: usize = self.line()?.strip_prefix('*')?.parse().ok()?;
        let words = (0..count).map(|_| self.bulk()).collect::<Option<Vec<_>>>()?;
        Some((words, self.time_of(0), self.time_of(self.at - 1)))
    }
}

fn serve_host(stream: TcpStream, writer: &HostWriter, logic: &dyn HostLogic) {
    let mut reader = TimedReader { stream, bytes: Vec::new(), at: 0, times: Vec::new() };
    while let Some((words, first_byte_at, whole_at)) = reader.message() {
        let text = |index: usize| String::from_utf8_lossy(&words[index]).into_owned();
        match &words[0][..] {
            b"want" if words.len() == 4 => {
                let fields = text(2);
                let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
                let fields = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
                let (id, body, connection) = (text(1), words[3].clone(), writer.connection);
                logic.want(writer, Want { id, fields, body, first_byte_at, whole_at, connection });
            }
            b"never_mind" if words.len() == 2 => logic.never_mind(writer, &text(1)),
            b"there" | b"busy" if words.len() == 2 => writer.answer(&text(1), "FIT", "-", b""),
            _ => return,
        }
    }
}

// ---------------------------------------------------------------------------------------------- change log

/// How the change log answers.
#[derive(Default)]
struct LogState {
    /// Events as JSON without their number, and from when on they are told.
    events: Vec<(String, u64)>,
    /// The answer that would tell this event breaks off in the middle of it, and the log goes down.
    breaks_at: Option<u64>,
    broke_at: Option<u64>,
    /// When each event was first told whole.
    told_at: BTreeMap<u64, u64>,
    is_down: bool,
    streams: Vec<TcpStream>,
}

pub struct ChangeLog {
    pub address: SocketAddr,
    state: Mutex<LogState>,
    changed: Condvar,
}

impl ChangeLog {
    pub fn start() -> Arc<ChangeLog> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let log = Arc::new(ChangeLog { address, state: Mutex::default(), changed: Condvar::new() });
        let own = log.clone();
        spawn(move || own.listen(listener));
        log
    }

    fn listen(self: Arc<ChangeLog>, mut listener: TcpListener) {
        loop {
            listener.set_nonblocking(true).unwrap();
            while !self.state.lock().unwrap().is_down {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let own = self.clone();
                        spawn(move || own.serve(stream));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => pause_ms(1),
                    Err(_) => pause_ms(1),
                }
            }
            drop(listener);
            while self.state.lock().unwrap().is_down {
                pause_ms(1);
            }
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => pause_ms(1),
                }
            };
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let Ok(own) = stream.try_clone() {
            self.state.lock().unwrap().streams.push(own);
        }
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let target = line.split(' ').nth(1).unwrap_or("").to_owned();
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let parameter = |name: &str| -> u64 {
                let found = target.split(['?', '&']).find_map(|pair| pair.strip_prefix(name));
                found.and_then(|value| value.parse().ok()).unwrap_or(0)
            };
            if !self.answer(&stream, parameter("since="), parameter("timeout=").min(5_000)) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Waits for later events, and answers. Returns whether the connection goes on.
    fn answer(&self, mut stream: &TcpStream, since: u64, timeout_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(timeout_ms);
        let mut state = self.state.lock().unwrap();
        let told = loop {
            if state.is_down {
                return false;
            }
            let now = unix_us();
            let told = state.events.iter().take_while(|(_, at)| *at <= now).count() as u64;
            if told > since || Instant::now() >= until {
                break told;
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(2)).unwrap().0;
        };
        let entry = |number: u64, json: &str| format!("{{\"seq\":{number},{json}}}");
        let results: Vec<String> =
            (since + 1..=told).map(|number| entry(number, &state.events[number as usize - 1].0)).collect();
        let body = format!("{{\"seq\":{told},\"results\":[{}]}}", results.join(","));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let breaks_at = state.breaks_at.filter(|number| (since + 1..=told).contains(number));
        if let Some(number) = breaks_at {
            // In the middle of the event, which is the last of the answer.
            let cut = body.len() - 2 - results.last().map_or(0, |last| last.len() / 2);
            let _ = stream.write_all(&[head.as_bytes(), &body.as_bytes()[..cut]].concat());
            state.breaks_at = None;
            state.broke_at = Some(unix_us());
            state.is_down = true;
            state.streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
            note(format!("change log: breaks off in the middle of event {number}, and is down"));
            return false;
        }
        for number in since + 1..=told {
            state.told_at.entry(number).or_insert_with(unix_us);
        }
        drop(state);
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_ok()
    }

    /// When an event was told whole, if it was.
    pub fn told_at(&self, number: u64) -> Option<u64> {
        self.state.lock().unwrap().told_at.get(&number).copied()
    }

    /// Adds an event that is told from a time on; returns its number.
    pub fn add(&self, json: String, told_from_us: u64) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.events.push((json, told_from_us));
        let number = state.events.len() as u64;
        drop(state);
        self.changed.notify_all();
        number
    }

    pub fn break_at(&self, number: u64) {
        self.state.lock().unwrap().breaks_at = Some(number);
    }

    pub fn broke_at(&self) -> Option<u64> {
        self.state.lock().unwrap().broke_at
    }

    /// Takes the log down, or lets it come back at its address.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.lock().unwrap();
        state.is_down = is_down;
        if is_down {
            state.streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
        drop(state);
        note(if is_down { "change log: down" } else { "change log: up again" });
        self.changed.notify_all();
    }

    /// All events up to now, as the configuration holds them.
    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        let results: Vec<String> = state
            .events
            .iter()
            .enumerate()
            .map(|(index, (json, _))| format!("{{\"seq\":{},{json}}}", index + 1))
            .collect();
        format!("{{\"seq\":{},\"results\":[{}]}}", results.len(), results.join(","))
    }
}

/// A listed host.
pub struct Listed<'a> {
    pub server: &'a HostServer,
    pub zone: &'a str,
    pub kind: &'a str,
    pub weight: f64,
}

/// The event with the whole list.
pub fn full_list(hosts: &[Listed]) -> String {
    let entry = |host: &Listed| {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":0,"state":"in_service","weight":{},"started_ms":0}}"#,
            host.server.name, host.server.address, host.zone, host.kind, host.weight
        )
    };
    let servers: Vec<String> = hosts.iter().map(entry).collect();
    format!(r#""fleet":{{"version":1,"full":true,"servers":[{}]}}"#, servers.join(","))
}

// ---------------------------------------------------------------------------------------------- deployment

/// What differs between the settings of the tests' deployments.
pub struct Deployment {
    /// The effect of the class `product-photo`.
    pub photo_effect: &'static str,
    /// The link for fills of the dispatcher's location.
    pub link_kb_per_s: f64,
}

/// The settings of a small deployment: one depot with one dispatcher, and two hubs.
pub fn settings(deployment: &Deployment) -> String {
    let Deployment { photo_effect, link_kb_per_s } = deployment;
    format!(
        r#"{{"balancers":1,"me":0,"zone":2,"zones":["north","south","edge-1","edge-2"],"models":["small-box","parent","origin"],
"family":"edge","discovery":"push","layers":["depot-cache"],"tier":0,"weight_source":"rough","worth_by":"request","tenants":[],
"bounds":{{"cancel":true,"conn_idle":15000000,"connect_timeout":400000,"max_attempts":6,"max_retry_after":2000000,"peers":false,
 "probing":true,"retry_after":true,"second_copies":false,"streams_per_conn":32}},
"domain":{{"class_fresh":[0,0,0],"stale_for":[0,0,0],"class_parts":[true,false,false],"count_by_zone":[0,0,1,0],"detail":"all",
 "goes_through":[false,false,true],"joins":false,"may_pass_by":true,"obey_after":1000000,"purge_done":6000000,
 "pace_kb_per_s":6800.0,"parent_kind":1,"source_kind":2,"parent_limit_factor":2.0,"parent_ramp":20000000,
 "parent_starts_at":0.071,"peers_fill":"any","zone_hub":[0,1,0,1],"zone_link_kb_per_s":[0.0,0.0,{link_kb_per_s:.1},0.0]}},
"rules":{{"answer_slack":8000,"cold":15000000,"cold_from":0.2,"drain_grace":500000,"overload_factor":2.0,"overload_for":1500000}},
"services":[
 {{"name":"recipe-video","aim":500000,"aim_stretch":2.0,"deadline":6000000,"effect":"idempotent","group":"all",
  "memory_span":5000000,"late_worth":0.15,"stream":false,"worth":2.0}},
 {{"name":"product-photo","aim":250000,"aim_stretch":2.0,"deadline":2500000,"effect":"{photo_effect}","group":"all",
  "memory_span":5000000,"late_worth":0.2,"stream":false,"worth":1.0}},
 {{"name":"checkout","aim":800000,"deadline":3000000,"effect":"deduplicated","group":"all",
  "memory_span":6000000,"late_worth":0.0,"stream":false,"worth":3.0}}],
"stats":{{"columns":["concurrent","x0"],"how":"answers"}}}}"#
    )
}

/// The hosts of the deployment: three caches, a parent at each hub and the origin.
pub struct Hosts {
    servers: Vec<HostServer>,
}

impl Hosts {
    pub fn start(logic: Arc<dyn HostLogic>) -> Hosts {
        let names = ["c1", "c2", "c3", "p1", "p2", "o1"];
        Hosts { servers: names.iter().map(|name| HostServer::start(name, logic.clone())).collect() }
    }

    /// The event with the whole list.
    pub fn list(&self) -> String {
        let listed = self.servers.iter().map(|server| {
            let (zone, kind, weight) = match &server.name[..] {
                "p1" => ("north", "parent", 12.0),
                "p2" => ("south", "parent", 12.0),
                "o1" => ("north", "origin", 20.0),
                _ => ("edge-1", "small-box", 5.0),
            };
            Listed { server, zone, kind, weight }
        });
        full_list(&listed.collect::<Vec<_>>())
    }
}

// ---------------------------------------------------------------------------------------------- clients

/// A MessagePack value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Str(String),
    Bin(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn exact<const N: usize>(input: &mut impl Read) -> std::io::Result<[u8; N]> {
    let mut bytes = [0; N];
    input.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn length(input: &mut impl Read, bytes: usize) -> std::io::Result<usize> {
    let mut value = 0;
    for _ in 0..bytes {
        value = value << 8 | usize::from(exact::<1>(input)?[0]);
    }
    Ok(value)
}

fn taken(input: &mut impl Read, length: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    input.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Reads one MessagePack value.
pub fn read_value(input: &mut impl Read) -> std::io::Result<Value> {
    let text = |bytes: Vec<u8>| Value::Str(String::from_utf8_lossy(&bytes).into_owned());
    let array = |input: &mut dyn Read, count: usize| -> std::io::Result<Value> {
        let mut input = input;
        (0..count).map(|_| read_value(&mut input)).collect::<Result<_, _>>().map(Value::Array)
    };
    let map = |input: &mut dyn Read, count: usize| -> std::io::Result<Value> {
        let mut input = input;
        let pairs = (0..count).map(|_| Ok((read_value(&mut input)?, read_value(&mut input)?)));
        pairs.collect::<std::io::Result<_>>().map(Value::Map)
    };
    let mark = exact::<1>(input)?[0];
    Ok(match mark {
        0x00..=0x7f => Value::Int(i64::from(mark)),
        0xe0..=0xff => Value::Int(i64::from(mark as i8)),
        0x80..=0x8f => map(input, usize::from(mark & 15))?,
        0x90..=0x9f => array(input, usize::from(mark & 15))?,
        0xa0..=0xbf => text(taken(input, usize::from(mark & 31))?),
        0xc0 => Value::Nil,
        0xc2 => Value::Bool(false),
        0xc3 => Value::Bool(true),
        0xc4..=0xc6 => {
            let length = length(input, 1 << (mark - 0xc4))?;
            Value::Bin(taken(input, length)?)
        }
        0xcc..=0xcf => Value::Int(length(input, 1 << (mark - 0xcc))? as i64),
        0xd9..=0xdb => {
            let length = length(input, 1 << (mark - 0xd9))?;
            text(taken(input, length)?)
        }
        0xdc | 0xdd => {
            let count = length(input, 2 << (mark - 0xdc))?;
            array(input, count)?
        }
        0xde | 0xdf => {
            let count = length(input, 2 << (mark - 0xde))?;
            map(input, count)?
        }
        _ => return Err(std::io::Error::other("unexpected MessagePack type")),
    })
}

fn write_str(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        length @ 0..=31 => out.push(0xa0 | length as u8),
        length => out.extend_from_slice(&[0xd9, length as u8]),
    }
    out.extend_from_slice(text.as_bytes());
}

fn write_uint(out: &mut Vec<u8>, value: u32) {
    match value {
        0..=0x7f => out.push(value as u8),
        _ => {
            out.push(0xce);
            out.extend_from_slice(&value.to_be_bytes());
        }
    }
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: String,
    pub txn: String,
    pub limit_ms: u64,
    pub item: String,
    pub block: u32,
    pub family: u32,
    pub unique: Option<String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn encode(&self, id: u32) -> Vec<u8> {
        let mut fields = vec![
            ("txn", self.txn.clone()),
            ("limit", self.limit_ms.to_string()),
            ("item", self.item.clone()),
            ("block", self.block.to_string()),
            ("family", self.family.to_string()),
        ];
        fields.extend(self.unique.clone().map(|key| ("unique", key)));
        let mut out = vec![0x94, 0];
        write_uint(&mut out, id);
        write_str(&mut out, &self.class);
        out.extend_from_slice(&[0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            write_str(&mut out, name);
            write_str(&mut out, &value);
        }
        out.push(0xc5);
        out.extend_from_slice(&(self.body.len() as u16).to_be_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
}

impl Answer {
    pub fn word(&self) -> String {
        match self {
            Answer::Served(body) => format!("served, {} bytes", body.len()),
            Answer::Refused => "refused".into(),
            Answer::Failed(error) => format!("failed ({error})"),
        }
    }
}

fn decode_answer(value: Value) -> Option<(u32, Answer)> {
    let Value::Array(parts) = value else { return None };
    let [Value::Int(1), Value::Int(id), error, result] = &parts[..] else { return None };
    let answer = match (error, result) {
        (Value::Nil, Value::Array(served)) => match served.first()? {
            Value::Bin(body) => Answer::Served(body.clone()),
            Value::Bool(ready) => Answer::Served(vec![u8::from(*ready)]),
            _ => return None,
        },
        (Value::Array(error), _) => match error.first()? {
            Value::Str(name) if name == "Rejected" => Answer::Refused,
            Value::Str(name) => Answer::Failed(name.clone()),
            _ => return None,
        },
        _ => return None,
    };
    Some((*id as u32, answer))
}

/// A client's connection. Answers are passed to a function, with when they were read whole.
pub struct Client {
    stream: Mutex<TcpStream>,
    next_id: AtomicU64,
    pub has_ended: Arc<AtomicBool>,
}

pub type OnAnswer = Box<dyn Fn(u32, Answer, u64) + Send>;

impl Client {
    pub fn connect(address: SocketAddr, on_answer: OnAnswer) -> std::io::Result<Client> {
        Client::over(TcpStream::connect(address)?, on_answer)
    }

    pub fn over(stream: TcpStream, on_answer: OnAnswer) -> std::io::Result<Client> {
        stream.set_nodelay(true)?;
        let reading = stream.try_clone()?;
        let has_ended = Arc::new(AtomicBool::new(false));
        let ended = has_ended.clone();
        spawn(move || {
            let mut reader = BufReader::with_capacity(256 * 1024, reading);
            while let Some((id, answer)) = read_value(&mut reader).ok().and_then(decode_answer) {
                on_answer(id, answer, unix_us());
            }
            ended.store(true, SeqCst);
        });
        Ok(Client { stream: Mutex::new(stream), next_id: AtomicU64::new(1), has_ended })
    }

    /// The id of the next request.
    pub fn take_id(&self) -> u32 {
        self.next_id.fetch_add(1, SeqCst) as u32
    }

    pub fn write(&self, bytes: &[u8]) -> bool {
        self.stream.lock().unwrap().write_all(bytes).is_ok()
    }

    /// Tells the dispatcher that no answer is wanted any more.
    pub fn withdraw(&self, id: u32) -> bool {
        let mut out = vec![0x93, 2];
        write_str(&mut out, "withdraw");
        out.push(0x91);
        write_uint(&mut out, id);
        self.write(&out)
    }

    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

/// Asks a dispatcher whether it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        let mut out = vec![0x94, 0, 1];
        write_str(&mut out, "status");
        out.extend_from_slice(&[0x91, 0x80]);
        stream.write_all(&out)?;
        let answer = read_value(&mut stream)?;
        Ok(decode_answer(answer) == Some((1, Answer::Served(vec![1]))))
    };
    ask().unwrap_or(false)
}

// ---------------------------------------------------------------------------------------------- dispatcher

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A process that the test has started. It is killed when this is dropped.
pub struct Dispatcher {
    pub address: SocketAddr,
    pub folder: PathBuf,
    child: Child,
}

/// The command of a key of the deploy file.
pub fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find(|line| line.split('=').next().is_some_and(|name| name.trim() == key));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.map(str::to_owned).unwrap_or_else(|| could_not_run("deploy/balancer.toml has no such command"))
}

/// The folder of the case and the temporary one, as run.sh names them; opens the record.
pub fn folders() -> PathBuf {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, temporary] = &arguments[..] else { could_not_run("usage: case FOLDER TEMPORARY_FOLDER") };
    open_record(&Path::new(case).join("record.txt"));
    note(if has_trouble() { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    PathBuf::from(temporary)
}

/// Ends the test: 0 the rule held, 1 it was broken.
pub fn verdict(dispatcher: Dispatcher, is_broken: bool) -> ! {
    drop(dispatcher);
    say(if is_broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(is_broken))
}

/// A free port on the loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The configuration of a dispatcher.
pub struct Config<'a> {
    pub memory_mb: u32,
    pub sockets: u32,
    pub log: &'a ChangeLog,
    pub settings: String,
}

impl Dispatcher {
    /// Starts a dispatcher with the deploy file's command and waits until it is ready.
    pub fn start(folder: &Path, config: &Config) -> Dispatcher {
        let address = free_address();
        let json = format!(
            r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"changelog":"{}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{},"settings":{}}}"#,
            config.memory_mb,
            config.sockets,
            config.log.address,
            config.log.known(),
            config.settings
        );
        let path = folder.join("config.json");
        fs::write(&path, json).expect("config.json");
        let log = File::create(folder.join("dispatcher.log")).expect("dispatcher.log");
        let mut command = Command::new("/bin/sh");
        // It ends with the test, whatever ends that.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .args(["-c", &deploy_command("run")])
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", address.to_string())
            .env("GW_CONFIG", &path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { could_not_run("the dispatcher could not be started") };
        let mut dispatcher = Dispatcher { address, folder: folder.to_owned(), child };
        let until = Instant::now() + Duration::from_secs(20);
        while !is_ready(address) {
            if Instant::now() > until || dispatcher.has_exited() {
                note(dispatcher.log());
                drop(dispatcher);
                could_not_run("the dispatcher is not ready");
            }
            pause_ms(20);
        }
        note(format!("dispatcher: ready at {address}"));
        dispatcher
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// What the dispatcher has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("dispatcher.log")).unwrap_or_default()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------- random numbers

/// SplitMix64.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn hex16(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

pub type Shared<T> = Arc<Mutex<T>>;

pub fn shared<T>(value: T) -> Shared<T> {
    Arc::new(Mutex::new(value))
}

pub type Table<K, V> = HashMap<K, V>;
