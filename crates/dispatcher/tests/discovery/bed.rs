//! Test fixtures: dispatcher processes, a fake change log and fake hosts that answer when the test says so,
//! and clients.
#[path = "../support/stopped.rs"]
mod stopped;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Timeout for any step, generous enough for a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "zone": 0, "zones": ["edge"], "weight_source": "rough",
 "models": ["small", "parent", "origin"],
 "services": [{"name": "video", "aim": 500000, "deadline": 6000000, "effect": "idempotent"}],
 "bounds": {"cancel": true, "connect_timeout": 3000000, "conn_idle": 15000000, "streams_per_conn": 32,
  "max_attempts": 6},
 "rules": {"cold_from": 0.2, "cold": 1, "overload_factor": 2.0, "overload_for": 1500000,
  "drain_grace": 500000},
 "domain": {"may_pass_by": true, "source_kind": 2, "parent_kind": 1}}"#;

pub fn config(listen: &str, log: SocketAddr, known: &str, memory: u32) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"00f1",
        "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":256}},
        "changelog":"{log}","known":{known},"settings":{SETTINGS}}}"#
    )
}

/// A poll of the change log that waits for its answer.
pub struct Poll {
    pub since: u64,
    pub at: Instant,
    /// Index of the connection on which it arrived.
    pub connection: usize,
    stream: TcpStream,
}

impl Poll {
    pub fn write(&self, bytes: &[u8]) {
        (&self.stream).write_all(bytes).unwrap();
    }

    pub fn try_write(&self, bytes: &[u8]) -> std::io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    /// Writes each byte separately.
    pub fn write_singly(&self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| (&self.stream).write_all(&[*byte]).unwrap());
    }

    pub fn answer(&self, events: &[String]) {
        self.write(http(&body(events)).as_bytes());
    }

    pub fn cut(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn body(events: &[String]) -> String {
    format!(r#"{{"seq":99999,"results":[{}]}}"#, events.join(","))
}

pub fn http(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// An HTTP answer with each byte in a chunk of its own.
pub fn chunked(body: &str) -> String {
    let chunks: String = body.chars().map(|char| format!("1\r\n{char}\r\n")).collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

/// A change log that leaves all answers to the test.
pub struct FakeChangeLog {
    pub address: SocketAddr,
    polls: Receiver<Poll>,
    is_stopped: Arc<AtomicBool>,
}

impl FakeChangeLog {
    pub fn start() -> FakeChangeLog {
        FakeChangeLog::on_listener(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Serves connections of an existing listener.
    pub fn on_listener(listener: TcpListener) -> FakeChangeLog {
        let address = listener.local_addr().unwrap();
        let (sender, polls) = channel();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = is_stopped.clone();
        spawn(move || {
            for (connection, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                if stopped.load(SeqCst) {
                    return;
                }
                let sender = sender.clone();
                spawn(move || read_polls(stream, connection, &sender));
            }
        });
        FakeChangeLog { address, polls, is_stopped }
    }

    pub fn next_poll(&self) -> Poll {
        self.polls.recv_timeout(STEP_TIMEOUT).expect("the change log is not polled")
    }

    /// The next poll, if one has come.
    pub fn try_next_poll(&self) -> Option<Poll> {
        self.polls.try_recv().ok()
    }

    /// The next poll for the changes after a given one.
    pub fn next_since(&self, since: u64) -> Poll {
        let end = Instant::now() + STEP_TIMEOUT;
        loop {
            let poll = self.next_poll();
            assert!(Instant::now() < end, "only polled for the changes after {}", poll.since);
            if poll.since == since {
                return poll;
            }
        }
    }

    /// Answers polls for the changes after a given one until the dispatcher polls for later ones, as an answer to a
    /// poll that it has given up is lost. Returns the time of the last answer.
    pub fn announce(&self, since: u64, events: &[String]) -> Instant {
        let end = Instant::now() + STEP_TIMEOUT;
        let mut poll = self.next_since(since);
        loop {
            let _ = poll.try_write(http(&body(events)).as_bytes());
            let answered_at = Instant::now();
            poll = self.next_poll();
            if poll.since > since {
                return answered_at;
            }
            assert!(answered_at < end, "the changes after {since} are never taken");
        }
    }

    /// All later polls.
    pub fn into_polls(self) -> Receiver<Poll> {
        self.polls
    }

    pub fn is_polled(&self) -> bool {
        self.polls.try_recv().is_ok()
    }

    /// Refuses new connections; open ones stay.
    pub fn stop(self) -> RefusingAddress {
        self.is_stopped.store(true, SeqCst);
        drop(TcpStream::connect(self.address));
        let end = Instant::now() + STEP_TIMEOUT;
        while TcpStream::connect(self.address).is_ok() {
            assert!(Instant::now() < end, "still listening");
        }
        RefusingAddress::at(self.address)
    }
}

fn read_polls(stream: TcpStream, connection: usize, sender: &Sender<Poll>) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    loop {
        let mut request_line = String::new();
        if reader.read_line(&mut request_line).unwrap_or(0) == 0 {
            return;
        }
        let at = Instant::now();
        let mut header = String::new();
        while reader.read_line(&mut header).unwrap_or(0) > 2 {
            header.clear();
        }
        let since = request_line.split("since=").nth(1).and_then(|rest| rest.split('&').next()?.parse().ok());
        let (since, stream) = (since.unwrap(), stream.try_clone().unwrap());
        let _ = sender.send(Poll { since, at, connection, stream });
    }
}

/// A bound address without a listener: connections are refused, and no other process can take it.
pub struct RefusingAddress(socket2::Socket);

impl RefusingAddress {
    pub fn start() -> RefusingAddress {
        RefusingAddress::at("127.0.0.1:0".parse().unwrap())
    }

    fn at(address: SocketAddr) -> RefusingAddress {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.bind(&address.into()).unwrap();
        RefusingAddress(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap().as_socket().unwrap()
    }

    pub fn listen(self) -> FakeChangeLog {
        self.0.listen(128).unwrap();
        FakeChangeLog::on_listener(self.0.into())
    }
}

/// A listener with a full backlog: new connections are not established until it is drained.
pub struct FullBacklog {
    pub listener: TcpListener,
    filler: Vec<TcpStream>,
}

impl FullBacklog {
    pub fn start() -> FullBacklog {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        FullBacklog { filler: std::iter::from_fn(connect).collect(), listener }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// The client ports of connections that wait to be established.
    pub fn pending(&self) -> Vec<u16> {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let port = |word: &str| u16::from_str_radix(word.split(':').nth(1)?, 16).ok();
        let found = table.lines().skip(1).filter_map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let is_pending = words[3] == "02" && port(words[2]) == Some(self.address().port());
            port(words[1]).filter(|_| is_pending)
        });
        found.collect()
    }

    /// Drains the backlog so that waiting connections are established.
    pub fn drain(mut self) -> TcpListener {
        for _ in 0..self.filler.len() {
            drop(self.listener.accept().unwrap());
        }
        self.filler.clear();
        self.listener
    }
}

/// A message to a host that waits for its answer.
pub struct HostMessage {
    pub host: &'static str,
    pub at: Instant,
    pub words: Vec<String>,
    /// The dispatcher's address on the connection.
    pub from: SocketAddr,
    stream: TcpStream,
}

impl HostMessage {
    /// Closes the connection, as when the host's process dies.
    pub fn cut(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Answers the request with an object.
    pub fn answer(&self) {
        self.write(["DONE", "ver=4be0c192,born=1764576000123", "x"]);
    }

    pub fn write_bytes(&self, bytes: &[u8]) -> std::io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    /// Answers the request with this word and these fields.
    pub fn answer_with(&self, word: &str, fields: &str) {
        self.write([word, fields, ""]);
    }

    fn write(&self, [word, fields, body]: [&str; 3]) {
        let parts = [&self.words[1][..], word, fields, body];
        let parts: Vec<String> = parts.iter().map(|part| format!("${}\r\n{part}\r\n", part.len())).collect();
        let _ = (&self.stream).write_all(format!("*4\r\n{}", parts.concat()).as_bytes());
    }
}

/// Reads a RESP array of bulk strings.
fn read_array(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut number = || -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        line.trim_end().get(1..)?.parse().ok()
    };
    let count = number()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let mut bytes = vec![0; line.trim_end().get(1..)?.parse::<usize>().ok()? + 2];
        reader.read_exact(&mut bytes).ok()?;
        words.push(String::from_utf8_lossy(&bytes[..bytes.len() - 2]).into_owned());
    }
    Some(words)
}

/// Fake hosts whose incoming messages are collected in one channel.
pub struct FakeHosts {
    sender: Sender<HostMessage>,
    pub messages: Receiver<HostMessage>,
}

impl FakeHosts {
    pub fn new() -> FakeHosts {
        let (sender, messages) = channel();
        FakeHosts { sender, messages }
    }

    pub fn start(&self, host: &'static str) -> SocketAddr {
        self.on_listener(host, TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn on_listener(&self, host: &'static str, listener: TcpListener) -> SocketAddr {
        let address = listener.local_addr().unwrap();
        let sender = self.sender.clone();
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                stream.set_nodelay(true).unwrap();
                let Ok(from) = stream.peer_addr() else { continue };
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(words) = read_array(&mut reader) {
                        let stream = stream.try_clone().unwrap();
                        let _ = sender.send(HostMessage { host, at: Instant::now(), words, from, stream });
                    }
                });
            }
        });
        address
    }

    /// Answers all later requests at once; returns the host, the dispatcher's address and the time of each.
    pub fn answer_all(self) -> Receiver<(&'static str, SocketAddr, Instant)> {
        let (sender, answered) = channel();
        spawn(move || {
            for message in self.messages.iter().filter(|message| message.words[0] == "want") {
                // Reported before the answer, so that it is there once the client has the answer.
                let _ = sender.send((message.host, message.from, message.at));
                message.answer();
            }
        });
        answered
    }

    /// The next request at any host; skips cancellations.
    pub fn next_request(&self) -> HostMessage {
        loop {
            let message = self.messages.recv_timeout(STEP_TIMEOUT).expect("no request came to a host");
            if message.words[0] == "want" {
                return message;
            }
        }
    }
}

/// A change that lists hosts, each with its name, address and state.
pub fn list(seq: u64, is_full: bool, hosts: &[(&str, SocketAddr, &str)]) -> String {
    let entries: Vec<String> = hosts.iter().map(|(name, at, state)| entry(name, *at, state, 0)).collect();
    event(seq, is_full, &entries)
}

pub fn event(seq: u64, is_full: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"fleet":{{"version":1,"full":{is_full},"servers":[{}]}}}}"#, entries.join(","))
}

pub fn entry(name: &str, at: SocketAddr, state: &str, started: u64) -> String {
    let kind = if name == "o" { "origin" } else { "small" };
    format!(
        r#"{{"id":"s-{name}","addr":"{at}","zone":"edge","kind":"{kind}","cell":0,
            "state":"{state}","weight":20,"started_ms":{started}}}"#
    )
}

pub fn purge(seq: u64) -> String {
    format!(r#"{{"seq":{seq},"invalidate":{{"object":"{seq:016x}","time":1764576000123}}}}"#)
}

/// A temporary file, deleted when dropped.
pub struct File(pub std::path::PathBuf);

impl File {
    pub fn new(text: &str) -> File {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, SeqCst);
        let path = std::env::temp_dir().join(format!("discovery-{}-{number}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

pub struct Dispatcher {
    pub child: Child,
    pub config: File,
    pub listen: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Dispatcher {
    pub fn start(config: &str) -> Dispatcher {
        Dispatcher::start_by(Command::new(env!("CARGO_BIN_EXE_cherrypass")), config)
    }

    /// Starts it by a command that runs the program.
    pub fn start_by(mut command: Command, config: &str) -> Dispatcher {
        let config = File::new(config);
        command.arg("serve").arg("--config").arg(&config.0);
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        let mut errors = BufReader::new(child.stderr.take().unwrap());
        let mut first = String::new();
        while !first.contains("start: n0 on ") {
            first.clear();
            assert!(errors.read_line(&mut first).unwrap() > 0, "the dispatcher did not start");
        }
        let listen = first.split("on ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let received = lines.clone();
        spawn(move || {
            errors.lines().map_while(Result::ok).for_each(|line| received.lock().unwrap().push(line))
        });
        Dispatcher { child, config, listen, lines }
    }

    /// The number of log lines so far that contain `words`.
    pub fn count_log_lines(&self, words: &str) -> usize {
        self.lines.lock().unwrap().iter().filter(|line| line.contains(words)).count()
    }

    /// Waits for a log line that contains `words`.
    pub fn wait_for_log_line(&self, words: &str) {
        let end = Instant::now() + STEP_TIMEOUT;
        while self.count_log_lines(words) == 0 {
            assert!(Instant::now() < end, "no line with '{words}' in {:#?}", self.lines.lock().unwrap());
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits until all threads of the process are stopped.
    pub fn wait_until_stopped(&self) {
        stopped::wait_until_stopped(self.child.id(), STEP_TIMEOUT);
    }
}

/// A client connection; request ids increase by one.
pub struct Client {
    pub stream: TcpStream,
    last_id: u32,
}

#[derive(Debug, PartialEq)]
pub enum Answer {
    Served,
    Ready(bool),
    Error(String),
}

impl Client {
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(STEP_TIMEOUT))?;
        Ok(Client { stream, last_id: 0 })
    }

    /// Sends a request for an object; answers are read with [`Client::answer`].
    pub fn send_request(&mut self, object: u64) -> std::io::Result<()> {
        self.send_request_within(object, 5_000)
    }

    /// Requests an object, with this time for the answer.
    pub fn send_request_within(&mut self, object: u64, limit_ms: u32) -> std::io::Result<()> {
        let limit = limit_ms.to_string();
        use rmp::encode::*;
        self.last_id += 1;
        let txn = format!("{:08x}{:08x}", self.stream.local_addr()?.port(), self.last_id);
        let item = format!("{object:016x}");
        let fields =
            [("txn", &txn[..]), ("limit", &limit[..]), ("item", &item), ("block", "0"), ("family", "7")];
        let mut out = vec![0x94, 0];
        write_uint(&mut out, u64::from(self.last_id)).unwrap();
        write_str(&mut out, "video").unwrap();
        write_array_len(&mut out, 2).unwrap();
        write_map_len(&mut out, fields.len() as u32).unwrap();
        for (name, value) in fields {
            write_str(&mut out, name).unwrap();
            write_str(&mut out, value).unwrap();
        }
        write_bin(&mut out, &[]).unwrap();
        self.stream.write_all(&out)
    }

    pub fn send_status_request(&mut self) -> std::io::Result<()> {
        self.last_id += 1;
        let mut out = vec![0x94, 0];
        rmp::encode::write_uint(&mut out, u64::from(self.last_id)).unwrap();
        out.extend(b"\xa6status\xc0");
        self.stream.write_all(&out)
    }

    /// The next answer.
    pub fn answer(&mut self) -> std::io::Result<Answer> {
        use rmp::decode::*;
        let unexpected_end = |_| std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        let from = &mut self.stream;
        let string = |from: &mut TcpStream| -> std::io::Result<String> {
            let mut bytes = vec![0; read_str_len(from).unwrap() as usize];
            from.read_exact(&mut bytes)?;
            Ok(String::from_utf8(bytes).unwrap())
        };
        let map = |from: &mut TcpStream| -> std::io::Result<()> {
            for _ in 0..2 * read_map_len(from).unwrap() {
                string(from)?;
            }
            Ok(())
        };
        read_array_len(from).map_err(unexpected_end)?;
        read_int::<u8, _>(from).unwrap();
        read_int::<u32, _>(from).unwrap();
        if read_marker(from).unwrap() != rmp::Marker::Null {
            let word = string(from)?;
            map(from)?;
            read_nil(from).unwrap();
            return Ok(Answer::Error(word));
        }
        read_array_len(from).unwrap();
        let answer = match read_marker(from).unwrap() {
            rmp::Marker::True => Answer::Ready(true),
            rmp::Marker::False => Answer::Ready(false),
            marker @ (rmp::Marker::Bin8 | rmp::Marker::Bin32) => {
                let mut length = [0; 4];
                let unused = if marker == rmp::Marker::Bin8 { 3 } else { 0 };
                from.read_exact(&mut length[unused..])?;
                let length = u32::from_be_bytes(length) as usize;
                from.read_exact(&mut vec![0; length])?;
                Answer::Served
            }
            other => panic!("unexpected {other:?}"),
        };
        map(from)?;
        Ok(answer)
    }
}
