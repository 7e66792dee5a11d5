//! Stand-ins for the cases of the second review: the change log, cache hosts, clients and the platform, by the pages
//! alone and with nothing but the standard library. All addresses are loopback addresses.
#![allow(dead_code)]
use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn sched_getaffinity(process: i32, size: usize, cores: *mut u64) -> i32;
    fn sched_setaffinity(process: i32, size: usize, cores: *const u64) -> i32;
    /// Sets how many connections may wait to be accepted.
    #[link_name = "listen"]
    fn set_backlog(socket: i32, backlog: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Unix milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

static RECORD: OnceLock<(Mutex<File>, u64)> = OnceLock::new();

/// A case that has not ended by itself by then could not run.
const LONGEST_RUN: Duration = Duration::from_secs(115);

/// Opens the record of what was sent, answered and run; times in it are milliseconds since now.
pub fn open_record(path: &Path) {
    let file = File::create(path).expect("the record can't be written");
    let _ = RECORD.set((Mutex::new(file), now_ms()));
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        verdict(2, "it takes too long")
    });
}

pub fn note(line: impl AsRef<str>) {
    if let Some((file, start)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>6} {}", now_ms().saturating_sub(*start), line.as_ref());
    }
}

/// Milliseconds since the record was opened.
pub fn on_record(at: u64) -> u64 {
    at.saturating_sub(RECORD.get().map_or(0, |record| record.1))
}

/// The processes that this program has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this program has started.
pub fn end_started() {
    for process in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(process as i32, SIGKILL) };
    }
}

/// Writes the verdict and ends: 0 the rule held, 1 it was broken, 2 the case couldn't run.
pub fn verdict(code: i32, text: &str) -> ! {
    end_started();
    note(format!("verdict {code}: {text}"));
    println!("{}: {text}", ["held", "broken", "couldn't run"][code as usize]);
    std::process::exit(code)
}

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

    pub fn chance(&mut self, share: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= share
    }
}

// ---- The platform ----

/// A folder of this run alone.
pub fn temp_folder() -> PathBuf {
    let base = std::env::var("CASE_TMP").expect("run.sh gives CASE_TMP");
    PathBuf::from(base)
}

pub fn free_address() -> SocketAddr {
    static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap();
        let mut taken = TAKEN.lock().unwrap();
        if !taken.contains(&address.port()) {
            taken.push(address.port());
            return address;
        }
    }
}

/// The command that the deploy file has under a key.
fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("run from the root of the repository");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} = "))).expect("no such command");
    line.split('"').nth(1).unwrap().to_owned()
}

/// A dispatcher, started by the deploy file's `run`.
pub struct Dispatcher {
    pub name: String,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub child: Child,
}

impl Dispatcher {
    pub fn start(name: &str, address: SocketAddr, config: &str, environment: &[(&str, String)]) -> Dispatcher {
        Dispatcher::start_with(name, address, config, environment, |_| ())
    }

    /// One that runs on the first of this program's cores alone, as each has one.
    pub fn start_on_one_core(name: &str, address: SocketAddr, config: &str) -> Dispatcher {
        Dispatcher::start_with(name, address, config, &[], |command| {
            let keep_to_one = || {
                let mut cores = [0_u64; 16];
                let size = std::mem::size_of_val(&cores);
                if unsafe { sched_getaffinity(0, size, cores.as_mut_ptr()) } > 0 {
                    let first = cores.iter().position(|word| *word != 0).unwrap_or(0);
                    let core = cores[first] & cores[first].wrapping_neg();
                    cores = [0; 16];
                    cores[first] = core;
                    unsafe { sched_setaffinity(0, size, cores.as_ptr()) };
                }
                Ok(())
            };
            unsafe { command.pre_exec(keep_to_one) };
        })
    }

    fn start_with(
        name: &str,
        address: SocketAddr,
        config: &str,
        environment: &[(&str, String)],
        prepare: impl FnOnce(&mut Command),
    ) -> Dispatcher {
        let folder = temp_folder();
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, config).unwrap();
        let private = folder.join(format!("{name}-{}", now_ms()));
        fs::create_dir_all(&private).unwrap();
        let log = File::create(folder.join(format!("{name}-{}.log", now_ms()))).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(deploy_command("run"));
        command.env("GW_NAME", name).env("GW_LISTEN", address.to_string()).env("GW_CONFIG", &path);
        command.env("TMPDIR", private).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        prepare(&mut command);
        let child = command.spawn().expect("the dispatcher can't be started");
        STARTED.lock().unwrap().push(child.id());
        note(format!("dispatcher {name} started"));
        Dispatcher { name: name.to_owned(), address, config: path, child }
    }

    pub fn signal(&self, signal: i32) {
        note(format!("dispatcher {} gets signal {signal}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether `status` was answered with true within this time.
    pub fn is_ready_within(&self, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            if ask_status(self.address) == Some(true) {
                note(format!("dispatcher {} is ready", self.name));
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// A figure of the process in kB, as the system has it in `/proc/PID/status`.
    pub fn figure_kb(&self, name: &str) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with(&format!("{name}:")))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn end(&mut self) {
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.end();
    }
}

fn ask_status(address: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(&[0x94, 0, 1, 0xa6, b's', b't', b'a', b't', b'u', b's', 0x91, 0x80]).ok()?;
    let mut answer = [0; 16];
    let length = stream.read(&mut answer).ok()?;
    answer[..length].iter().find(|byte| matches!(byte, 0xc2 | 0xc3)).map(|byte| *byte == 0xc3)
}

// ---- The change log ----

/// A host as the list has it.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: u32,
    pub weight: f64,
    pub started_ms: u64,
}

impl Listed {
    pub fn json(&self, state: &str) -> String {
        let Listed { name, address, zone, kind, cell, weight, started_ms } = self;
        format!(
            "{{\"id\":\"{name}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"kind\":\"{kind}\",\"cell\":{cell},\
             \"state\":\"{state}\",\"weight\":{weight},\"started_ms\":{started_ms}}}"
        )
    }
}

#[derive(Default)]
struct Log {
    events: Vec<String>,
}

/// The change log: numbered events over HTTP/1.1. It can be slow: an answer then comes that much later than it would.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    log: Arc<(Mutex<Log>, Condvar)>,
    pub late_ms: Arc<AtomicU64>,
    pub calls: Arc<AtomicU64>,
}

impl ChangeLog {
    pub fn start() -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let log = ChangeLog { address, log: Arc::default(), late_ms: Arc::default(), calls: Arc::default() };
        let own = log.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        log
    }

    pub fn append(&self, event: &str) -> usize {
        let (log, changed) = &*self.log;
        let mut log = log.lock().unwrap();
        let seq = log.events.len() + 1;
        log.events.push(format!("{{\"seq\":{seq},{event}}}"));
        note(format!("change log: event {seq}: {event}"));
        changed.notify_all();
        seq
    }

    pub fn append_hosts(&self, full: bool, hosts: &[(&Listed, &str)]) -> usize {
        let servers: Vec<String> = hosts.iter().map(|(host, state)| host.json(state)).collect();
        self.append(&format!("\"fleet\":{{\"version\":1,\"full\":{full},\"servers\":[{}]}}", servers.join(",")))
    }

    pub fn append_purge(&self, object: &str, at: u64) -> usize {
        self.append(&format!("\"invalidate\":{{\"object\":\"{object}\",\"time\":{at}}}"))
    }

    /// The answer to a call, which is also the form of `known`.
    pub fn results(&self, since: usize) -> String {
        let log = self.log.0.lock().unwrap();
        let results = log.events.get(since..).unwrap_or_default();
        format!("{{\"seq\":{},\"results\":[{}]}}", log.events.len(), results.join(","))
    }

    /// Asks as any reader may, with the longest wait that the protocol has, for the event after `since`; returns when
    /// the answer with it was there.
    pub fn read_patiently(&self, since: usize) -> Option<u64> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = format!("GET /changes?since={since}&timeout=5000 HTTP/1.1\r\nHost: log\r\n\r\n");
            (&stream).write_all(request.as_bytes()).ok()?;
            let mut length = 0;
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
                if let Some(value) = line.strip_prefix("Content-Length: ") {
                    length = value.trim().parse().ok()?;
                }
                if line == "\r\n" {
                    break;
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            if String::from_utf8_lossy(&body).contains(&format!("{{\"seq\":{},", since + 1)) {
                return Some(now_ms());
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let number = |key: &str| {
                line.split(key).nth(1).and_then(|rest| rest.split(['&', ' ']).next()?.parse::<usize>().ok())
            };
            let (since, wait) = (number("since=").unwrap_or(0), number("timeout=").unwrap_or(0).min(5_000));
            let mut header = String::new();
            while reader.read_line(&mut header).unwrap_or(0) > 2 {
                header.clear();
            }
            self.calls.fetch_add(1, SeqCst);
            let late = Duration::from_millis(self.late_ms.load(SeqCst));
            {
                let (log, changed) = &*self.log;
                let guard = log.lock().unwrap();
                let wait = Duration::from_millis(wait as u64);
                drop(changed.wait_timeout_while(guard, wait, |log| log.events.len() <= since).unwrap());
            }
            thread::sleep(late);
            let text = self.results(since);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if writer.write_all(format!("{head}{text}").as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ---- Cache hosts ----

/// A request as a host has it.
#[derive(Clone, Debug)]
pub struct Want {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When its first byte was read, and when it had come whole.
    pub first_ms: u64,
    pub whole_ms: u64,
    pub connection: u64,
}

impl Want {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| &value[..])
    }
}

/// An answer of a host; none where it says nothing.
#[derive(Clone, Debug)]
pub struct Reply {
    pub word: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
}

type Handler = dyn Fn(&Want) -> Option<Reply> + Send + Sync;

/// Something that happened at a host.
#[derive(Clone, Debug)]
pub enum Seen {
    Came(Want),
    Answered { id: String, word: &'static str, at: u64 },
    GivenUp { id: String, at: u64 },
    Closed { connection: u64, at: u64 },
}

/// A cache host, parent or origin: a listener that passes each request to a handler, on a thread of its own.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
    handler: Arc<Handler>,
    is_open: Arc<AtomicBool>,
    /// Bytes a second of one answer, and the size of the pieces in which it is written.
    pace: Option<(usize, usize)>,
    /// Whether nothing gets through to it or from it.
    is_cut_off: Arc<AtomicBool>,
    listener: Arc<TcpListener>,
}

impl Host {
    pub fn start(name: &str, handler: impl Fn(&Want) -> Option<Reply> + Send + Sync + 'static) -> Host {
        Host::start_at(name, "127.0.0.1:0".parse().unwrap(), None, handler)
    }

    pub fn start_paced(
        name: &str,
        bytes_per_s: usize,
        piece: usize,
        handler: impl Fn(&Want) -> Option<Reply> + Send + Sync + 'static,
    ) -> Host {
        Host::start_at(name, "127.0.0.1:0".parse().unwrap(), Some((bytes_per_s, piece)), handler)
    }

    pub fn start_at(
        name: &str,
        address: SocketAddr,
        pace: Option<(usize, usize)>,
        handler: impl Fn(&Want) -> Option<Reply> + Send + Sync + 'static,
    ) -> Host {
        let listener = Arc::new(TcpListener::bind(address).expect("a host's address is taken"));
        let address = listener.local_addr().unwrap();
        let host = Host {
            name: name.to_owned(),
            address,
            seen: Arc::default(),
            streams: Arc::default(),
            handler: Arc::new(handler),
            is_open: Arc::new(AtomicBool::new(true)),
            pace,
            is_cut_off: Arc::default(),
            listener: listener.clone(),
        };
        let own = host.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if own.is_cut_off.load(SeqCst) {
                    // It must not come up: it is dropped once the host is reached again.
                    own.wait_while_cut_off();
                    continue;
                }
                if !own.is_open.load(SeqCst) {
                    return;
                }
                let own = own.clone();
                thread::Builder::new().stack_size(256 << 10).spawn(move || own.serve(number as u64, stream)).unwrap();
            }
        });
        host
    }

    fn wait_while_cut_off(&self) {
        while self.is_cut_off.load(SeqCst) {
            sleep_ms(1);
        }
    }

    /// Cuts the host off for a while: its open connections stay open and silent, and new ones don't come up, as nobody
    /// accepts them and no more may wait than already do.
    pub fn cut_off(&self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        self.is_cut_off.store(true, SeqCst);
        note(format!("{}: cut off", self.name));
        unsafe { set_backlog(self.listener.as_raw_fd(), 0) };
        let fill = || TcpStream::connect_timeout(&self.address, Duration::from_millis(20)).ok();
        let waiting: Vec<Option<TcpStream>> = (0..4).map(|_| fill()).collect();
        thread::sleep(until.saturating_duration_since(Instant::now()));
        // What waits came up during the cut, so nothing that was written to it then gets through.
        let _ = self.listener.set_nonblocking(true);
        while self.listener.accept().is_ok() {}
        let _ = self.listener.set_nonblocking(false);
        unsafe { set_backlog(self.listener.as_raw_fd(), 128) };
        drop(waiting);
        self.is_cut_off.store(false, SeqCst);
        note(format!("{}: reached again", self.name));
    }

    /// Ends its process: resets connections and closes its address.
    pub fn stop(&self) {
        self.is_open.store(false, SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn see(&self, seen: Seen) {
        let name = &self.name;
        match &seen {
            Seen::Came(want) => {
                let mut fields: Vec<String> = want.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
                fields.sort();
                note(format!("{name}: want {} {} body {}", want.id, fields.join(","), want.body.len()))
            }
            Seen::Answered { id, word, .. } => note(format!("{name}: {id} {word}")),
            Seen::GivenUp { id, .. } => note(format!("{name}: never_mind {id}")),
            Seen::Closed { connection, .. } => note(format!("{name}: connection {connection} has ended")),
        }
        self.seen.lock().unwrap().push(seen);
    }

    fn serve(&self, connection: u64, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.streams.lock().unwrap().insert(connection, stream.try_clone().unwrap());
        let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
        let given_up: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut reader = BufReader::with_capacity(64 << 10, stream);
        while let Some((words, first_ms)) = read_words(&mut reader) {
            self.wait_while_cut_off();
            let text = |index: usize| String::from_utf8_lossy(&words[index]).into_owned();
            match (&text(0)[..], words.len()) {
                ("want", 4) => {
                    let fields = text(2);
                    let fields = fields.split(',').filter_map(|field| field.split_once('='));
                    let fields = fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
                    let (id, body, whole_ms) = (text(1), words[3].clone(), now_ms());
                    let want = Want { id, fields, body, first_ms, whole_ms, connection };
                    self.see(Seen::Came(want.clone()));
                    let (own, writer, given_up) = (self.clone(), writer.clone(), given_up.clone());
                    let answer = move || {
                        let Some(reply) = (own.handler)(&want) else { return };
                        own.wait_while_cut_off();
                        let is_given_up = {
                            let mut given_up = given_up.lock().unwrap();
                            let place = given_up.iter().position(|id| *id == want.id);
                            place.map(|place| given_up.remove(place)).is_some()
                        };
                        if is_given_up {
                            return;
                        }
                        let bytes = encode_reply(&want.id, &reply);
                        let mut writer = writer.lock().unwrap();
                        if write_paced(&mut writer, &bytes, own.pace).is_ok() {
                            own.see(Seen::Answered { id: want.id.clone(), word: reply.word, at: now_ms() });
                        }
                    };
                    thread::Builder::new().stack_size(256 << 10).spawn(answer).unwrap();
                }
                ("never_mind", 2) => {
                    given_up.lock().unwrap().push(text(1));
                    self.see(Seen::GivenUp { id: text(1), at: now_ms() });
                }
                ("there" | "busy", 2) => {
                    let reply = Reply { word: "FIT", fields: "-".to_owned(), body: Vec::new() };
                    let _ = writer.lock().unwrap().write_all(&encode_reply(&text(1), &reply));
                }
                _ => break,
            }
        }
        self.streams.lock().unwrap().remove(&connection);
        self.see(Seen::Closed { connection, at: now_ms() });
    }

    /// The requests that have come.
    pub fn wants(&self) -> Vec<Want> {
        let seen = self.seen.lock().unwrap();
        seen.iter().filter_map(|seen| if let Seen::Came(want) = seen { Some(want.clone()) } else { None }).collect()
    }
}

fn write_paced(stream: &mut TcpStream, bytes: &[u8], pace: Option<(usize, usize)>) -> std::io::Result<()> {
    let Some((bytes_per_s, piece)) = pace else { return stream.write_all(bytes) };
    for piece in bytes.chunks(piece) {
        stream.write_all(piece)?;
        thread::sleep(Duration::from_secs_f64(piece.len() as f64 / bytes_per_s as f64));
    }
    Ok(())
}

pub fn encode_reply(id: &str, reply: &Reply) -> Vec<u8> {
    let Reply { word, fields, body } = reply;
    let mut bytes = format!(
        "*4\r\n${}\r\n{id}\r\n${}\r\n{word}\r\n${}\r\n{fields}\r\n${}\r\n",
        id.len(),
        word.len(),
        fields.len(),
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Reads an array of bulk strings, with the time of its first byte.
fn read_words(reader: &mut impl BufRead) -> Option<(Vec<Vec<u8>>, u64)> {
    fn number(reader: &mut impl BufRead, mark: char) -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    }
    if reader.fill_buf().ok()?.is_empty() {
        return None;
    }
    let first_ms = now_ms();
    let count = number(reader, '*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length = number(reader, '$')?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        words.push(bytes);
    }
    Some((words, first_ms))
}

// ---- Clients ----

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Visit {
    pub class: String,
    pub txn: String,
    pub limit: u64,
    pub unique: Option<String>,
    pub item: String,
    pub block: u32,
    pub family: u32,
    pub cached: Option<String>,
    pub body: Vec<u8>,
}

pub fn put_text(bytes: &mut Vec<u8>, text: &str) {
    match text.len() {
        length @ 0..=31 => bytes.push(0xa0 | length as u8),
        length => bytes.extend([0xd9, length as u8]),
    }
    bytes.extend_from_slice(text.as_bytes());
}

impl Visit {
    pub fn encode(&self, id: u32) -> Vec<u8> {
        let mut fields = vec![
            ("txn", self.txn.clone()),
            ("limit", self.limit.to_string()),
            ("item", self.item.clone()),
            ("block", self.block.to_string()),
            ("family", self.family.to_string()),
        ];
        fields.extend(self.unique.clone().map(|unique| ("unique", unique)));
        fields.extend(self.cached.clone().map(|cached| ("cached", cached)));
        let mut bytes = vec![0x94, 0, 0xce];
        bytes.extend(id.to_be_bytes());
        put_text(&mut bytes, &self.class);
        bytes.extend([0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            put_text(&mut bytes, name);
            put_text(&mut bytes, &value);
        }
        bytes.push(0xc6);
        bytes.extend((self.body.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    Served { body: Vec<u8>, keep: bool },
    Refused,
    /// Any other error, with its name.
    Failed(String),
    /// The connection ended without an answer.
    Closed,
}

/// How a request ended, as its client has it.
#[derive(Clone, Debug)]
pub struct Ended {
    pub ending: Ending,
    pub at: u64,
}

#[derive(Clone, Debug)]
pub struct Asked {
    pub visit: Visit,
    pub sent_ms: u64,
    pub ended: Vec<Ended>,
    pub is_withdrawn: bool,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    next_id: u32,
    pub asked: Arc<Mutex<BTreeMap<u32, Asked>>>,
    pub is_closed: Arc<AtomicBool>,
    /// Whether each request and answer is on record.
    pub is_noted: Arc<AtomicBool>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        Client::connect_reading(address, None)
    }

    /// One that reads no more than so many bytes a second.
    pub fn connect_reading(address: SocketAddr, bytes_per_s: Option<usize>) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000)).ok()?;
        let _ = stream.set_nodelay(true);
        let asked: Arc<Mutex<BTreeMap<u32, Asked>>> = Arc::default();
        let (is_closed, is_noted) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(true)));
        let (mut reader, own, end) = (stream.try_clone().ok()?, asked.clone(), is_closed.clone());
        let notes = is_noted.clone();
        let read = move || {
            let (mut buffer, mut piece) = (Vec::new(), vec![0; 64 << 10]);
            loop {
                let length = reader.read(&mut piece).unwrap_or(0);
                if length == 0 {
                    break;
                }
                if let Some(bytes_per_s) = bytes_per_s {
                    thread::sleep(Duration::from_secs_f64(length as f64 / bytes_per_s as f64));
                }
                buffer.extend_from_slice(&piece[..length]);
                let at = now_ms();
                while let Some((id, ending, used)) = decode_answer(&buffer) {
                    buffer.drain(..used);
                    own.lock().unwrap().get_mut(&id).into_iter().for_each(|asked| {
                        let text = match &ending {
                            Ending::Served { body, keep } => format!("served {} bytes keep {keep}", body.len()),
                            ending => format!("{ending:?}"),
                        };
                        if notes.load(SeqCst) {
                            note(format!("client: {} {text}", asked.visit.txn));
                        }
                        asked.ended.push(Ended { ending: ending.clone(), at });
                    });
                }
            }
            end.store(true, SeqCst);
            let at = now_ms();
            for asked in own.lock().unwrap().values_mut().filter(|asked| asked.ended.is_empty()) {
                note(format!("client: {} its connection has ended", asked.visit.txn));
                asked.ended.push(Ended { ending: Ending::Closed, at });
            }
        };
        thread::Builder::new().stack_size(256 << 10).spawn(read).unwrap();
        Some(Client { stream, next_id: 0, asked, is_closed, is_noted })
    }

    /// Sends requests in one write.
    pub fn send_at_once(&mut self, visits: &[Visit]) {
        let (mut bytes, sent_ms) = (Vec::new(), now_ms());
        for visit in visits {
            self.next_id += 1;
            bytes.extend(visit.encode(self.next_id));
            if self.is_noted.load(SeqCst) {
                note(format!("client: {} {} item {} at once", visit.txn, visit.class, visit.item));
            }
            let asked = Asked { visit: visit.clone(), sent_ms, ended: Vec::new(), is_withdrawn: false };
            self.asked.lock().unwrap().insert(self.next_id, asked);
        }
        let _ = (&self.stream).write_all(&bytes);
    }

    /// Waits until nothing is open.
    pub fn wait_for_all(&self) {
        while self.open_count() > 0 && !self.is_closed.load(SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
    }

    /// Sends a request; its number on this connection.
    pub fn send(&mut self, visit: &Visit) -> u32 {
        self.next_id += 1;
        let (id, bytes) = (self.next_id, visit.encode(self.next_id));
        let asked = Asked { visit: visit.clone(), sent_ms: now_ms(), ended: Vec::new(), is_withdrawn: false };
        self.asked.lock().unwrap().insert(id, asked);
        let unique = visit.unique.as_deref().unwrap_or("-");
        note(format!(
            "client: {} {} item {} block {} unique {unique} body {}",
            visit.txn,
            visit.class,
            visit.item,
            visit.block,
            visit.body.len()
        ));
        let _ = (&self.stream).write_all(&bytes);
        if self.is_closed.load(SeqCst) {
            // Nobody reads any more.
            let ended = Ended { ending: Ending::Closed, at: now_ms() };
            self.asked.lock().unwrap().get_mut(&id).filter(|asked| asked.ended.is_empty()).into_iter().for_each(|asked| {
                asked.ended.push(ended.clone());
            });
        }
        id
    }

    pub fn withdraw(&mut self, id: u32) {
        if let Some(asked) = self.asked.lock().unwrap().get_mut(&id) {
            asked.is_withdrawn = true;
            note(format!("client: {} withdrawn", asked.visit.txn));
        }
        let mut bytes = vec![0x93, 2];
        put_text(&mut bytes, "withdraw");
        bytes.extend([0x91, 0xce]);
        bytes.extend(id.to_be_bytes());
        let _ = (&self.stream).write_all(&bytes);
    }

    pub fn open_count(&self) -> usize {
        let asked = self.asked.lock().unwrap();
        asked.values().filter(|asked| asked.ended.is_empty() && !asked.is_withdrawn).count()
    }

    pub fn ended(&self, id: u32) -> Option<Ended> {
        self.asked.lock().unwrap().get(&id)?.ended.first().cloned()
    }

    /// Waits until a request has ended.
    pub fn wait(&self, id: u32, ms: u64) -> Option<Ended> {
        let until = now_ms() + ms;
        while now_ms() < until {
            if let Some(ended) = self.ended(id) {
                return Some(ended);
            }
            sleep_ms(2);
        }
        None
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

struct Bytes<'a>(&'a [u8], usize);

impl Bytes<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let taken = self.0.get(self.1..self.1 + count)?;
        self.1 += count;
        Some(taken)
    }

    fn number(&mut self, count: usize) -> Option<u64> {
        Some(self.take(count)?.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }

    fn unsigned(&mut self) -> Option<u64> {
        match self.number(1)? {
            small @ 0..=0x7f => Some(small),
            0xcc => self.number(1),
            0xcd => self.number(2),
            0xce => self.number(4),
            _ => None,
        }
    }

    fn length(&mut self, kinds: [u64; 3]) -> Option<usize> {
        let mark = self.number(1)?;
        let place = kinds.iter().position(|kind| *kind == mark)?;
        self.number([1, 2, 4][place]).map(|length| length as usize)
    }

    fn text(&mut self) -> Option<String> {
        let mark = *self.0.get(self.1)?;
        let length = if mark & 0xe0 == 0xa0 {
            self.1 += 1;
            usize::from(mark & 0x1f)
        } else {
            self.length([0xd9, 0xda, 0xdb])?
        };
        Some(String::from_utf8_lossy(self.take(length)?).into_owned())
    }

    fn fields(&mut self) -> Option<Vec<(String, String)>> {
        let count = self.number(1)? & 0x0f;
        (0..count).map(|_| Some((self.text()?, self.text()?))).collect()
    }
}

/// Number, ending and length of the first answer in a buffer.
fn decode_answer(buffer: &[u8]) -> Option<(u32, Ending, usize)> {
    let mut bytes = Bytes(buffer, 0);
    if bytes.number(1)? != 0x94 || bytes.unsigned()? != 1 {
        return None;
    }
    let id = bytes.unsigned()? as u32;
    if *buffer.get(bytes.1)? == 0xc0 {
        bytes.1 += 1;
        bytes.number(1)?;
        let length = bytes.length([0xc4, 0xc5, 0xc6])?;
        let body = bytes.take(length)?.to_vec();
        let keep = bytes.fields()?.iter().any(|(name, value)| name == "keep" && value == "1");
        return Some((id, Ending::Served { body, keep }, bytes.1));
    }
    bytes.number(1)?;
    let name = bytes.text()?;
    let fields = bytes.fields()?;
    bytes.number(1)?;
    let ending = match &name[..] {
        "Rejected" => Ending::Refused,
        _ => Ending::Failed(format!("{name} {fields:?}")),
    };
    Some((id, ending, bytes.1))
}
