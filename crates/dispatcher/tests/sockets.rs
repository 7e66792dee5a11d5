//! Plays the scenarios in `tests/sockets/` over loopback: real dispatchers, stand-ins for hosts, change logs
//! and clients. Commands on lines or between `;`, `#` starts a comment:
//! `host NAME SORT [at OTHER]` (cache, parent, origin; or a new one at another's address), `memory MB`, `descriptors N`, `crowd N` (connections that only stand), `unknown` (an empty
//! list at the start, and a change log that is mute), `start [N]`, `restart` (killed, and started anew),
//! `many N NAME` (as many more hosts are listed at that one's address),
//! `each CLIENT FROM TO` (visits of as many objects one after another, each settled),
//! `list NAME STATE [unheard|odd]` (odd: with an entry that can't be used), `purge OBJECT|group`, `feed MODE` (well, refuse, mute, prose, gap, repeat, state, cut, stop, drip), `client NAME [N] [deaf]`,
//! `ask CLIENT ID BAND OBJECT [FIELD=VALUE|body=N]`, `withdraw CLIENT ID`, `raw CLIENT|HOST HEX`, `close CLIENT`,
//! `take HOST|any|it [FIELD=VALUE|FIELD<N|!FIELD|never_mind|busy]`, `answer HOST WORD [FIELDS|bare] [bytes=N] [id=ID]`
//! (bare: no fields at all, as what runs a write answers it),
//! `flood CLIENT HOST` (visits with large answers until the client's connection ends),
//! `expect CLIENT ID settled|turned-back|written-off|ready|not-ready|bad [FIELD=VALUE] [bytes=N]`, `nothing HOST|CLIENT`,
//! `shape` (the settings of the other shape of deployment), `came HOST` (something did by now),
//! `drain HOST` (what came is passed over), `cut HOST` (ends its connections), `down HOST`, `deaf HOST` (new connections never come up), `term`,
//! `store [SETTING …]` (what must last is kept in a folder of the test's own), `forget` (the change log knows the list alone),
//! `spoil` (a byte of the store's first segment changes), `config TEXT` (so it reads at the next start),
//! `move` (the change log goes on at another address, the old one is mute; SIGHUP), `reload TEXT` (so it reads then; SIGHUP),
//! `exit CODE`, `log WORDS`, `wait MS`, `holds N M` (no more threads and open files than that, before long).
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime};
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(5);
const QUIET: Duration = Duration::from_millis(150);
const SETTINGS: &str = r#"{"balancers": 2, "me": 0, "zone": 1, "zones": ["hub", "edge"], "weight_source": "rough",
 "models": ["small", "parent", "origin"],
 "services": [{"name": "video", "aim": 500000, "deadline": 6000000, "effect": "idempotent"},
  {"name": "order", "aim": 500000, "deadline": 1000000, "effect": "deduplicated", "group": "all", "memory_span": 5000000},
  {"name": "once", "aim": 500000, "deadline": 1000000, "effect": "at_most_once"},
  {"name": "paid", "aim": 500000, "deadline": 1000000, "effect": "deduplicated", "group": "zone", "memory_span": 4000000}],
 "bounds": {"cancel": true, "connect_timeout": 300000, "conn_idle": 15000000, "streams_per_conn": 32, "max_attempts": 6,
  "retry_after": true, "max_retry_after": 2000000},
 "rules": {"cold_from": 0.2, "cold": 1, "overload_factor": 2.0, "overload_for": 1500000},
 "domain": {"class_fresh": [0, 0, 0, 0], "goes_through": [false, true, true, false], "may_pass_by": true, "obey_after": 1000000,
  "pace_kb_per_s": 5000, "parent_kind": 1, "source_kind": 2, "purge_done": 6000000, "count_by_zone": [0, 2]}}"#;

/// The other shape of a deployment, as changes of the settings above.
const SHAPE: [(&str, &str); 4] = [
    ("\"weight_source\": \"rough\"", "\"weight_source\": \"none\""),
    ("\"cancel\": true", "\"cancel\": true, \"probing\": true"),
    ("\"may_pass_by\": true", "\"may_pass_by\": false, \"peers_fill\": \"none\", \"detail\": \"hit\""),
    ("\"rules\"", "\"stats\": {\"how\": \"answers\", \"columns\": [\"util\", \"x0\"]}, \"rules\""),
];

struct Seen {
    stream: TcpStream,
    words: Vec<String>,
}

/// A cache host, parent or origin: what comes to any of its addresses is noted, and answered on command.
struct Host {
    sort: &'static str,
    addresses: Vec<SocketAddr>,
    seen: Receiver<Seen>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    shut: Arc<AtomicBool>,
    last: Option<Seen>,
    held: Vec<TcpStream>,
}

fn bulk(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut number = |mark: char| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    };
    let count = number('*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let mut bytes = vec![0; line.trim_end().strip_prefix('$')?.parse::<usize>().ok()? + 2];
        reader.read_exact(&mut bytes).ok()?;
        words.push(String::from_utf8_lossy(&bytes[..bytes.len() - 2]).into_owned());
    }
    Some(words)
}

impl Host {
    fn start(sort: &'static str) -> Host {
        let (tell, seen) = channel();
        let (streams, shut) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let mut addresses = Vec::new();
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            addresses.push(listener.local_addr().unwrap());
            let (tell, streams, shut) = (tell.clone(), streams.clone(), shut.clone());
            spawn(move || accept(listener, tell, streams, shut));
        }
        Host { sort, addresses, seen, streams, shut, last: None, held: Vec::new() }
    }

    /// No more connections are taken; what waits to be taken stays so.
    fn stop(&self) {
        self.shut.store(true, Ordering::SeqCst);
        self.addresses.iter().for_each(|address| drop(TcpStream::connect(address)));
        sleep(Duration::from_millis(20));
    }

    fn cut(&self) {
        let streams = std::mem::take(&mut *self.streams.lock().unwrap());
        streams.iter().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
    }

    /// A backlog that is full: the machine drops what would connect.
    fn deafen(&mut self) {
        self.stop();
        for address in self.addresses.clone() {
            let listener = TcpListener::bind(address).unwrap();
            while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(40)) {
                self.held.push(stream);
            }
            std::mem::forget(listener);
        }
    }
}

fn accept(on: TcpListener, tell: Sender<Seen>, streams: Arc<Mutex<Vec<TcpStream>>>, shut: Arc<AtomicBool>) {
    for stream in on.incoming().map_while(Result::ok) {
        if shut.load(Ordering::SeqCst) {
            return;
        }
        streams.lock().unwrap().push(stream.try_clone().unwrap());
        let tell = tell.clone();
        spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while let Some(words) = bulk(&mut reader) {
                let _ = tell.send(Seen { stream: stream.try_clone().unwrap(), words });
            }
        });
    }
}

/// A change log that knows the list of one dispatcher.
#[derive(Clone)]
struct Feed {
    address: SocketAddr,
    changes: Arc<Mutex<Vec<String>>>,
    mode: Arc<Mutex<String>>,
}

impl Feed {
    fn start() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let feed = Feed {
            address: listener.local_addr().unwrap(),
            changes: Default::default(),
            mode: Arc::new(Mutex::new("well".into())),
        };
        let own = feed.clone();
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                spawn(move || own.serve(stream));
            }
        });
        feed
    }

    fn results(&self, since: usize) -> String {
        let changes = self.changes.lock().unwrap();
        let last = changes.len();
        let results: Vec<&str> = changes.iter().skip(since.min(last)).map(String::as_str).collect();
        format!(r#"{{"seq":{last},"results":[{}]}}"#, results.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            let mut line = String::new();
            while reader.read_line(&mut line).unwrap_or(0) > 2 {
                line.clear();
            }
            let since = first.split("since=").nth(1).unwrap().split('&').next().unwrap().parse().unwrap();
            let begun = Instant::now();
            let body = loop {
                match &self.mode.lock().unwrap()[..] {
                    "refuse" => return,
                    "mute" => {}
                    "prose" => break "not what was asked".to_owned(),
                    "gap" => {
                        break format!(
                            r#"{{"seq":99,"results":[{{"seq":{},"fleet":{{"full":true,"servers":[]}}}}]}}"#,
                            since + 2
                        )
                    }
                    "repeat" => {
                        break r#"{"seq":1,"results":[{"seq":1,"fleet":{"full":true,"servers":[]}}]}"#
                            .to_owned()
                    }
                    "cut" | "stop" | "drip" => break self.results(since),
                    "state" => {
                        break format!(
                            r#"{{"seq":99,"results":[{{"seq":{},"fleet":{{"full":true,"servers":[{{"id":"x","state":"odd"}}]}}}}]}}"#,
                            since + 1
                        )
                    }
                    _ if self.changes.lock().unwrap().len() > since || begun.elapsed() > QUIET => {
                        break self.results(since);
                    }
                    _ => {}
                }
                sleep(Duration::from_millis(5));
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let mode = self.mode.lock().unwrap().clone();
            match &mode[..] {
                "cut" | "stop" => drop(stream.write_all(&answer.as_bytes()[..answer.len() - 9])),
                "drip" => answer.bytes().for_each(|byte| {
                    let _ = stream.write_all(&[byte]);
                    sleep(QUIET);
                }),
                _ => drop(stream.write_all(answer.as_bytes())),
            }
            if mode == "cut" {
                return;
            }
        }
    }
}

struct Dispatcher {
    child: Child,
    config: ConfigFile,
    listen: String,
    lines: Receiver<String>,
    /// Lines from before it listened.
    early: Vec<String>,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A file that goes when it is dropped.
struct ConfigFile(std::path::PathBuf);

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Starts a dispatcher that may hold so many descriptors.
fn run(config: &str, descriptors: u32, more: &str) -> (Child, ConfigFile) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("cherrypass-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let serve = format!("ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\" {more}");
    let mut command = Command::new("/bin/sh");
    let command = command.arg("-c").arg(serve).arg(env!("CARGO_BIN_EXE_cherrypass")).arg(&path);
    let child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    (child, ConfigFile(path))
}

fn config(listen: &str, feed: &Feed, known: &str, memory: u32) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"00f1","limits":{{"cores":1.0,"memory_mb":{memory},"sockets":256}},
        "changelog":"{}","known":{known},"settings":{SETTINGS}}}"#,
        feed.address
    )
}

impl Dispatcher {
    fn start(config: &str, descriptors: u32, more: &str) -> Dispatcher {
        let (mut child, config) = run(config, descriptors, more);
        let (tell, lines) = channel();
        let errors = BufReader::new(child.stderr.take().unwrap());
        spawn(move || errors.lines().map_while(Result::ok).for_each(|line| drop(tell.send(line))));
        let (listen, early) = Default::default();
        let mut dispatcher = Dispatcher { child, config, listen, lines, early };
        let line = loop {
            let line = dispatcher.lines.recv_timeout(PATIENCE).expect("no start");
            if line.contains("start: n0 on ") {
                break line;
            }
            dispatcher.early.push(line);
        };
        dispatcher.listen = line.split("on ").nth(1).unwrap().split(',').next().unwrap().to_owned();
        dispatcher
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Replaces the configuration and has it read anew.
    fn reload(&self, text: &str) {
        std::fs::write(&self.config.0, text).unwrap();
        self.signal("-HUP");
    }

    fn log(&self, words: &str) -> String {
        if let Some(line) = self.early.iter().find(|line| line.contains(words)) {
            return line.clone();
        }
        let end = Instant::now() + PATIENCE;
        loop {
            let line = self.lines.recv_timeout(end.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|_| panic!("no log line with '{words}'"));
            if line.contains(words) {
                return line;
            }
        }
    }
}

#[derive(Debug)]
struct Got {
    id: u32,
    word: String,
    bytes: usize,
    fields: BTreeMap<String, String>,
}

struct Client {
    stream: TcpStream,
    answers: Receiver<Got>,
    early: VecDeque<Got>,
}

fn string(from: &mut impl Read) -> String {
    let mut bytes = vec![0; rmp::decode::read_str_len(from).unwrap() as usize];
    from.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}

fn map(from: &mut impl Read) -> BTreeMap<String, String> {
    let count = rmp::decode::read_map_len(from).unwrap();
    (0..count).map(|_| (string(from), string(from))).collect()
}

/// One answer; a stream that ends within one is a failure of the test.
fn got(from: &mut impl BufRead) -> Option<Got> {
    use rmp::decode::*;
    if from.fill_buf().map_or(true, <[u8]>::is_empty) {
        return None;
    }
    assert_eq!(read_array_len(from).ok()?, 4);
    assert_eq!(read_int::<u8, _>(from).unwrap(), 1);
    let id = read_int(from).unwrap();
    let marker = read_marker(from).unwrap();
    if marker == rmp::Marker::FixArray(2) {
        let (word, fields) = (string(from), map(from));
        read_nil(from).unwrap();
        return Some(Got { id, word, bytes: 0, fields });
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
    Some(Got { id, word: word.into(), bytes, fields: map(from) })
}

impl Client {
    fn start(listen: &str, deaf: bool) -> Client {
        let stream = TcpStream::connect(listen).unwrap();
        let (tell, answers) = channel();
        if !deaf {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            spawn(move || {
                while let Some(got) = got(&mut reader) {
                    let _ = tell.send(got);
                }
            });
        }
        Client { stream, answers, early: VecDeque::new() }
    }

    fn ask(&mut self, id: u32, band: &str, object: &str, given: &[&str]) {
        use rmp::encode::*;
        let mut fields: BTreeMap<&str, String> = BTreeMap::new();
        fields.insert("txn", format!("{:08x}{id:08x}", self.stream.local_addr().unwrap().port()));
        fields.insert("limit", "1000".into());
        fields.insert("item", format!("{object:0>16}"));
        fields.insert("block", "0".into());
        fields.insert("family", "7".into());
        let mut body = 0;
        for (name, value) in given.iter().map(|word| word.split_once('=').unwrap()) {
            match name {
                "body" => body = value.parse().unwrap(),
                _ if value.is_empty() => drop(fields.remove(name)),
                _ => drop(fields.insert(name, value.into())),
            }
        }
        let mut out = Vec::new();
        write_array_len(&mut out, 4).unwrap();
        write_uint(&mut out, 0).unwrap();
        write_uint(&mut out, u64::from(id)).unwrap();
        write_str(&mut out, band).unwrap();
        write_array_len(&mut out, 2).unwrap();
        write_map_len(&mut out, fields.len() as u32).unwrap();
        for (name, value) in fields {
            write_str(&mut out, name).unwrap();
            write_str(&mut out, &value).unwrap();
        }
        write_bin(&mut out, &vec![b'y'; body]).unwrap();
        let _ = self.stream.write_all(&out);
    }

    fn answer(&mut self, id: u32) -> Got {
        if let Some(place) = self.early.iter().position(|got| got.id == id) {
            return self.early.remove(place).unwrap();
        }
        loop {
            let got = self.answers.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no answer to {id}"));
            if got.id == id {
                return got;
            }
            self.early.push_back(got);
        }
    }
}

#[derive(Default)]
struct Play {
    hosts: BTreeMap<String, Host>,
    feeds: Vec<Feed>,
    dispatchers: Vec<Dispatcher>,
    clients: BTreeMap<String, Client>,
    it: String,
    memory: u32,
    unknown: bool,
    many: Vec<(usize, String)>,
    descriptors: u32,
    crowd: Vec<TcpStream>,
    store: Option<tempfile::TempDir>,
    config: Option<String>,
    shape: bool,
}

impl Play {
    fn run_all(&mut self) {
        let memory = if self.memory == 0 { 192 } else { self.memory };
        let known = |feed: &Feed| if self.unknown { "null".to_owned() } else { feed.results(0) };
        let descriptors = if self.descriptors == 0 { 256 } else { self.descriptors };
        let operator = |folder: &tempfile::TempDir| {
            format!("--last-good --operator {}", folder.path().join("operator.jsonnet").display())
        };
        let more = self.store.as_ref().map(operator).unwrap_or_default();
        let text = |feed| {
            let usual = || config("127.0.0.1:0", feed, &known(feed), memory);
            let text = self.config.clone().unwrap_or_else(usual);
            let changes = SHAPE.iter().filter(|_| self.shape);
            changes.fold(text, |text, (from, to)| text.replacen(from, to, 1))
        };
        let start = |feed| Dispatcher::start(&text(feed), descriptors, &more);
        self.dispatchers = self.feeds.iter().map(start).collect();
    }

    fn change(&self, what: impl Fn(usize) -> String) {
        for (number, feed) in self.feeds.iter().enumerate() {
            let mut changes = feed.changes.lock().unwrap();
            let seq = changes.len() + 1;
            changes.push(format!(r#"{{"seq":{seq},{}}}"#, what(number)));
        }
    }

    fn entry(&self, name: &str, state: &str, number: usize) -> String {
        let host = &self.hosts[name];
        let (zone, kind) = if host.sort == "cache" { ("edge", "small") } else { ("hub", host.sort) };
        let address = host.addresses[number];
        format!(
            r#"{{"id":"s-{name}","addr":"{address}","zone":"{zone}","kind":"{kind}","cell":0,"state":"{state}","weight":20,"started_ms":0}}"#
        )
    }

    fn list(&self, entries: &[(&str, &str)], whole: bool) {
        self.change(|number| {
            let mut entries: Vec<String> =
                entries.iter().map(|(name, state)| self.entry(name, state, number)).collect();
            for (count, name) in self.many.iter().filter(|_| whole) {
                let entry = self.entry(name, "in_service", number);
                entries.extend((0..*count).map(|k| entry.replace("s-", &format!("s-{k}-"))));
            }
            format!(r#""fleet":{{"version":1,"full":{whole},"servers":[{}]}}"#, entries.join(","))
        });
    }

    /// The next message at a host; what a message holds is compared with the words given.
    fn take(&mut self, name: &str, wanted: &[&str]) {
        let never_mind = wanted.contains(&"never_mind");
        let end = Instant::now() + PATIENCE;
        let (name, seen) = loop {
            let mut hosts = self.hosts.iter().filter(|(host, _)| name == "any" || *host == name);
            let found = hosts.find_map(|(host, known)| Some((host.clone(), known.seen.try_recv().ok()?)));
            if let Some(found) = found {
                break found;
            }
            assert!(Instant::now() < end, "nothing came to {name}");
            sleep(Duration::from_millis(1));
        };
        let host = self.hosts.get_mut(&name).unwrap();
        self.it = name;
        if never_mind {
            assert_eq!(seen.words[0], "never_mind");
            assert_eq!(seen.words[1], host.last.as_ref().unwrap().words[1]);
            return;
        }
        if wanted == ["busy"] {
            assert_eq!(seen.words[0], "busy");
            host.last = Some(seen);
            return;
        }
        assert_eq!(seen.words[0], "want", "{:?}", seen.words);
        let fields: BTreeMap<&str, &str> =
            seen.words[2].split(',').filter_map(|f| f.split_once('=')).collect();
        for word in wanted {
            let said = &seen.words[2];
            if let Some(name) = word.strip_prefix('!') {
                assert!(!fields.contains_key(name), "{name} in {said}");
            } else if let Some((name, most)) = word.split_once('<') {
                let value: u64 =
                    fields.get(name).unwrap_or_else(|| panic!("no {name} in {said}")).parse().unwrap();
                assert!((1..most.parse().unwrap()).contains(&value), "{word}, but {said}");
            } else if let Some(size) = word.strip_prefix("body=") {
                assert_eq!(seen.words[3], "y".repeat(size.parse().unwrap()));
            } else {
                let (name, value) = word.split_once('=').unwrap();
                assert_eq!(fields.get(name), Some(&value), "{word}, but {said}");
            }
        }
        host.last = Some(seen);
    }

    fn answer(&mut self, name: &str, word: &str, more: &[&str]) {
        let name = if name == "it" { self.it.clone() } else { name.to_owned() };
        let last = self.hosts[&name].last.as_ref().expect("nothing was taken");
        let (mut id, mut fields, mut bytes) = (last.words[1].clone(), "-".to_owned(), 0);
        let bare = more.contains(&"bare");
        for word in more.iter().filter(|word| **word != "bare") {
            if let Some(size) = word.strip_prefix("bytes=") {
                bytes = size.parse().unwrap();
            } else if let Some(other) = word.strip_prefix("id=") {
                id = other.into();
            } else {
                fields = (*word).into();
            }
        }
        if matches!(word, "DONE" | "KEEP") && !bare && !fields.contains("ver") {
            fields = format!(
                "ver=4be0c192,born=1764576000123{}",
                if fields == "-" { "".into() } else { format!(",{fields}") }
            );
        }
        let body = "x".repeat(bytes);
        let parts: Vec<String> = [&id[..], word, &fields, &body]
            .iter()
            .map(|part| format!("${}\r\n{part}\r\n", part.len()))
            .collect();
        (&last.stream).write_all(format!("*4\r\n{}", parts.concat()).as_bytes()).unwrap();
    }

    fn expect(&mut self, client: &str, id: u32, word: &str, more: &[&str]) {
        let got = self.clients.get_mut(client).unwrap().answer(id);
        let said = match &got.word[..] {
            "Rejected" => "turned-back",
            "Failed" => "written-off",
            "BadRequest" => "bad",
            other => other,
        };
        assert_eq!(said, word, "visit {id}: {got:?}");
        for (name, value) in more.iter().map(|word| word.split_once('=').unwrap()) {
            match name {
                "bytes" => assert_eq!(got.bytes.to_string(), value),
                _ => assert_eq!(got.fields.get(name).map(|v| &v[..]), Some(value), "{got:?}"),
            }
        }
    }

    fn command(&mut self, words: &[&str]) {
        let host = |name: &str| self.hosts.get(name).unwrap();
        match words {
            ["host", name, "at", other] => {
                let known = self.hosts.remove(*other).unwrap();
                self.hosts.insert((*name).into(), known);
            }
            ["host", name, sort] => {
                let sort = ["cache", "parent", "origin"].into_iter().find(|s| s == sort).unwrap();
                self.hosts.insert((*name).into(), Host::start(sort));
            }
            ["many", count, name] => self.many.push((count.parse().unwrap(), (*name).into())),
            ["unknown"] => self.unknown = true,
            ["descriptors", count] => self.descriptors = count.parse().unwrap(),
            ["each", client, from, to] => {
                for id in from.parse::<u32>().unwrap()..=to.parse().unwrap() {
                    self.clients.get_mut(*client).unwrap().ask(id, "video", &id.to_string(), &[]);
                    self.take("any", &[]);
                    self.answer("it", "DONE", &[]);
                    self.expect(client, id, "settled", &[]);
                }
            }
            ["crowd", count] => {
                let listen = &self.dispatchers[0].listen;
                let count: usize = count.parse().unwrap();
                self.crowd = (0..count).map(|_| TcpStream::connect(listen).unwrap()).collect();
            }
            ["memory", mb] => self.memory = mb.parse().unwrap(),
            ["start", count @ ..] => {
                let count = count.first().map_or(1, |n| n.parse().unwrap());
                self.feeds = (0..count).map(|_| Feed::start()).collect();
                let all: Vec<(&str, &str)> =
                    self.hosts.keys().map(|name| (&name[..], "in_service")).collect();
                self.list(&all, true);
                if self.unknown {
                    self.feeds.iter().for_each(|feed| *feed.mode.lock().unwrap() = "mute".into());
                }
                self.run_all();
            }
            ["restart"] => {
                self.dispatchers.clear();
                self.run_all();
            }
            ["list", name, state, more @ ..] => {
                let odd = more.contains(&"odd").then_some((*name, "odd"));
                self.list(&[Some((*name, *state)), odd].into_iter().flatten().collect::<Vec<_>>(), false);
                if more.is_empty() {
                    self.dispatchers.iter().for_each(|d| drop(d.log(&format!("is s-{name},"))));
                }
            }
            ["purge", what] => {
                let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis();
                let named = if *what == "group" {
                    r#""bucket":7"#.into()
                } else {
                    format!(r#""object":"{what:0>16}""#)
                };
                self.change(|_| format!(r#""invalidate":{{{named},"time":{now}}}"#));
                sleep(QUIET);
            }
            ["feed", mode] => self.feeds.iter().for_each(|feed| *feed.mode.lock().unwrap() = (*mode).into()),
            ["client", name, more @ ..] => {
                let number: usize = more.first().and_then(|n| n.parse().ok()).unwrap_or(1);
                let deaf = more.contains(&"deaf");
                let client = Client::start(&self.dispatchers[number - 1].listen, deaf);
                self.clients.insert((*name).into(), client);
            }
            ["ask", client, id, band, object, given @ ..] => {
                self.clients.get_mut(*client).unwrap().ask(id.parse().unwrap(), band, object, given);
            }
            ["flood", client, name] => {
                for id in 1..=200 {
                    self.clients.get_mut(*client).unwrap().ask(id, "video", "01", &[]);
                    let host = self.hosts.get_mut(*name).unwrap();
                    let seen = host.seen.recv_timeout(10 * QUIET);
                    let Some(seen) = seen.ok().filter(|seen| seen.words[0] == "want") else {
                        sleep(QUIET);
                        while host.seen.try_recv().is_ok() {}
                        return;
                    };
                    host.last = Some(seen);
                    self.answer(name, "DONE", &["bytes=239000"]);
                }
                panic!("the client may leave all unread");
            }
            ["withdraw", client, id] => {
                let mut out = vec![0x93, 2, 0xa8];
                out.extend(b"withdraw");
                out.extend([0x91, id.parse().unwrap()]);
                self.clients.get_mut(*client).unwrap().stream.write_all(&out).unwrap();
            }
            ["raw", name, hex] => {
                let bytes: Vec<u8> = (0..hex.len() / 2)
                    .map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).unwrap())
                    .collect();
                let stream = match self.clients.get(*name) {
                    Some(client) => &client.stream,
                    None => &host(name).last.as_ref().unwrap().stream,
                };
                let _ = { stream }.write_all(&bytes);
            }
            ["close", client] => {
                let client = self.clients.remove(*client).unwrap();
                client.stream.shutdown(std::net::Shutdown::Both).unwrap();
            }
            ["take", name, wanted @ ..] => {
                let name = if *name == "it" { self.it.clone() } else { (*name).into() };
                self.take(&name, wanted);
            }
            ["answer", name, word, more @ ..] => self.answer(name, word, more),
            ["expect", client, id, word, more @ ..] => self.expect(client, id.parse().unwrap(), word, more),
            ["nothing", name] => {
                sleep(QUIET);
                match self.clients.get(*name) {
                    Some(client) => assert!(client.answers.try_recv().is_err() && client.early.is_empty()),
                    None => assert!(host(name).seen.try_recv().is_err()),
                }
            }
            ["shape"] => self.shape = true,
            ["came", name] => assert!(host(name).seen.try_recv().is_ok(), "nothing came to {name}"),
            ["drain", name] => while host(name).seen.try_recv().is_ok() {},
            ["cut", name] => host(name).cut(),
            ["down", name] => {
                host(name).stop();
                host(name).cut();
            }
            ["deaf", name] => self.hosts.get_mut(*name).unwrap().deafen(),
            ["term"] => self.dispatchers[0].signal("-TERM"),
            ["store", settings @ ..] => {
                let folder = tempfile::tempdir().unwrap();
                let text = format!(
                    "{{ store: {{ dir: '{}/kept', {} }} }}",
                    folder.path().display(),
                    settings.concat()
                );
                std::fs::write(folder.path().join("operator.jsonnet"), text).unwrap();
                self.store = Some(folder);
            }
            ["forget"] => self.feeds.iter().for_each(|feed| {
                feed.changes.lock().unwrap().retain(|change| change.contains("fleet"));
                *feed.mode.lock().unwrap() = "mute".into();
            }),
            ["spoil"] => {
                let path = self.store.as_ref().unwrap().path().join("kept/0000000001.log");
                let mut bytes = std::fs::read(&path).unwrap();
                bytes[80] ^= 1;
                std::fs::write(path, bytes).unwrap();
            }
            ["config", words @ ..] => self.config = Some(words.join(" ")),
            ["move"] => {
                let old = std::mem::replace(&mut self.feeds[0], Feed::start());
                *old.mode.lock().unwrap() = "mute".into();
                let changes = old.changes.lock().unwrap().clone();
                *self.feeds[0].changes.lock().unwrap() = changes;
                self.dispatchers[0].reload(&config("127.0.0.1:0", &self.feeds[0], "null", 192));
            }
            ["reload", words @ ..] => self.dispatchers[0].reload(&words.join(" ")),
            ["exit", code] => {
                let status = self.dispatchers[0].child.wait().unwrap();
                assert_eq!(status.code(), Some(code.parse().unwrap()));
            }
            ["log", words @ ..] => drop(self.dispatchers[0].log(&words.join(" "))),
            ["holds", threads, files] => {
                let folder = |name: &str| format!("/proc/{}/{name}", self.dispatchers[0].child.id());
                let count = |name| std::fs::read_dir(folder(name)).unwrap().count();
                let end = Instant::now() + PATIENCE;
                let most: [usize; 2] = [threads.parse().unwrap(), files.parse().unwrap()];
                while count("task") > most[0] || count("fd") > most[1] {
                    assert!(Instant::now() < end, "{} threads, {} files", count("task"), count("fd"));
                    sleep(QUIET);
                }
            }
            ["wait", ms] => sleep(Duration::from_millis(ms.parse().unwrap())),
            other => panic!("no such command: {other:?}"),
        }
    }
}

#[test_case(include_str!("sockets/outcomes.txt"); "outcomes")]
#[test_case(include_str!("sockets/host_lost.txt"); "host_lost")]
#[test_case(include_str!("sockets/client_leaves.txt"); "client_leaves")]
#[test_case(include_str!("sockets/copies.txt"); "copies")]
#[test_case(include_str!("sockets/list.txt"); "list")]
#[test_case(include_str!("sockets/drained_late.txt"); "drained_late")]
#[test_case(include_str!("sockets/other_shape.txt"); "other_shape")]
#[test_case(include_str!("sockets/two.txt"); "two")]
#[test_case(include_str!("sockets/wide.txt"); "wide")]
#[test_case(include_str!("sockets/stop.txt"); "stop")]
#[test_case(include_str!("sockets/start.txt"); "start")]
#[test_case(include_str!("sockets/descriptors.txt"); "descriptors")]
#[test_case(include_str!("sockets/mute_feed.txt"); "mute_feed")]
#[test_case(include_str!("sockets/slow_reader.txt"); "slow_reader")]
#[test_case(include_str!("sockets/bad_client.txt"); "bad_client")]
#[test_case(include_str!("sockets/bad_host.txt"); "bad_host")]
#[test_case(include_str!("sockets/bad_feed.txt"); "bad_feed")]
#[test_case(include_str!("sockets/reload.txt"); "reload")]
#[test_case(include_str!("sockets/churn.txt"); "churn")]
#[test_case(include_str!("sockets/standing.txt"); "standing")]
#[test_case(include_str!("sockets/kept_purges.txt"); "kept_purges")]
#[test_case(include_str!("sockets/kept_visits.txt"); "kept_visits")]
#[test_case(include_str!("sockets/kept_configurations.txt"); "kept_configurations")]
#[test_case(include_str!("sockets/store_lost.txt"); "store_lost")]
fn plays(text: &str) {
    let mut play = Play::default();
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap();
        for command in line.split(';').map(str::trim).filter(|command| !command.is_empty()) {
            println!("line {}: {command}", number + 1);
            play.command(&command.split_whitespace().collect::<Vec<_>>());
        }
    }
}

#[test_case("\"limits\"", "\"limit\"", 2, "lacks limits/memory_mb"; "a key")]
#[test_case("\"settings\"", "\"set\"", 2, "lacks settings"; "the settings")]
#[test_case("\"zone\":", "\"zon\":", 2, "lack the number /zone"; "a key of the settings")]
#[test_case("\"cold_from\"", "\"cold\"", 2, "lack the number /rules/cold_from"; "a figure of the rules")]
#[test_case("\"may_pass_by\": true", "\"may_pass_by\": 1", 2, "settings/domain/may_pass_by has to be true"; "a wrong type")]
#[test_case("\"cold_from\": 0.2", "\"cold_from\": 2", 2, "settings/rules/cold_from is out of range"; "out of range")]
#[test_case("\"domain\": {", "\"domain\": {\"detail\": \"some\",", 2, "settings/domain/detail has to be one of"; "an unknown word")]
#[test_case("[0, 0, 0, 0]", "[0, 0]", 2, "settings/domain/class_fresh has 2 places, settings/services has 4"; "another's bands")]
#[test_case("[0, 2]", "[0, 2, 1]", 2, "settings/domain/count_by_zone has 3 places"; "another's locations")]
#[test_case("[0, 2]", "[0, 2], \"stale_for\": [0, 9, 0, 0]", 2, "settings/domain/stale_for/1 has no"; "a grace without a fresh time")]
#[test_case("\"pace_kb_per_s\": 5000", "\"zone_link_kb_per_s\": [0, 9]", 2, "settings/domain/pace_kb_per_s is wanted"; "links without a pace")]
#[test_case("\"parent_kind\": 1", "\"parent_kind\": 2", 2, "settings/domain/parent_kind is the same as"; "one kind for parents and origin")]
#[test_case("00f1", "seed", 2, "seed can't be used"; "a seed that is none")]
#[test_case("{\"name\"", "name", 2, "isn't JSON"; "not JSON")]
#[test_case("127.0.0.1:0", "TAKEN", 1, "can't serve on"; "an address in use")]
fn ends_at_start(part: &str, by: &str, code: i32, words: &str) {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let by = by.replace("TAKEN", &taken.local_addr().unwrap().to_string());
    let text = config("127.0.0.1:0", &Feed::start(), "null", 192).replacen(part, &by, 1);
    assert!(text.contains(&by), "nothing was replaced");
    let (child, _file) = run(&text, 256, "");
    let output = child.wait_with_output().unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{said}");
    let lines: Vec<&str> = said.lines().filter(|line| line.starts_with("cherrypass:")).collect();
    assert!(lines.len() == 1 && lines[0].contains(words), "{said}");
}
