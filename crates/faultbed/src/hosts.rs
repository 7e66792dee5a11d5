//! Simulated caches, parents and origins that speak RESP. They model limited transfers, reduced capacity
//! after a cold start, copies with creation times, effects of writes, and injected faults.
use crate::arrival::{enable_timestamps, last_arrival, Arrival, TimestampedStream};
use crate::notation::HostKind;
use crate::notes::{unix_micros, Note, Notes};
use crate::reserved_port::ReservedPort;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Parameters of rule 4, also used in the settings of the processes.
pub const COLD_SHARE: f64 = 0.2;
pub const COLD_RAMP_S: f64 = 6.0;
pub const OVERLOAD_FACTOR: f64 = 2.0;
pub const OVERLOAD_WINDOW_S: f64 = 1.5;
/// Time until caches drop a purged copy.
pub const PURGE_DELAY_S: f64 = 3.0;
/// Delay of purges at a cache after it was frozen.
const FROZEN_PURGE_DELAY: Duration = Duration::from_millis(1_000);
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long closing a port may take, and how often it is checked.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
const BODY_BYTES: usize = 2_000;
const MAX_TRANSFER_FACTOR: f64 = 6.0;

/// The fault that is active at a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Healthy,
    /// Fails this share of hand-offs.
    Fail(f64),
    /// Does not answer.
    Hang,
    /// Processes nothing, and continues later where it was.
    Frozen,
    /// Takes this many times as long.
    Slow(f64),
    /// Its port is closed.
    Down,
}

#[derive(Clone, Copy)]
struct CachedCopy {
    created_at: u64,
}

struct State {
    mode: Mode,
    started: Option<u64>,
    copies: BTreeMap<(u64, u32), CachedCopy>,
    active_transfers: usize,
    arrivals: VecDeque<u64>,
    overloaded_until: u64,
    accept_thread: Option<JoinHandle<()>>,
    streams: Vec<TcpStream>,
    executed: BTreeSet<String>,
    rng: Pcg64Mcg,
}

/// A simulated host.
pub struct Host {
    pub name: String,
    pub kind: HostKind,
    pub address: SocketAddr,
    _reserved_port: ReservedPort,
    pub transfers: f64,
    work_time: Duration,
    state: Mutex<State>,
    notes: Notes,
    hosts: Arc<RwLock<BTreeMap<String, Arc<Host>>>>,
}

/// All hosts by name, shared so that hosts can fill from each other.
pub type Hosts = Arc<RwLock<BTreeMap<String, Arc<Host>>>>;

struct HandOff {
    id: String,
    arrival: Arrival,
    fields: BTreeMap<String, String>,
}

impl HandOff {
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| value)
    }

    fn block(&self) -> (u64, u32) {
        (u64::from_str_radix(self.field("k"), 16).unwrap_or(0), self.field("p").parse().unwrap_or(0))
    }
}

/// An answer: status word, creation time of the copy, and note.
type HostAnswer = (&'static str, Option<u64>, &'static str);

impl Host {
    pub fn start(
        (name, kind, transfers): (&str, HostKind, f64),
        work_time: Duration,
        seed: u64,
        notes: Notes,
        hosts: Hosts,
    ) -> io::Result<Arc<Host>> {
        let reserved_port = ReservedPort::new()?;
        let address = reserved_port.address;
        let listener = TcpListener::bind(address)?;
        let state = State {
            mode: Mode::Healthy,
            started: None,
            copies: BTreeMap::new(),
            active_transfers: 0,
            arrivals: VecDeque::new(),
            overloaded_until: 0,
            accept_thread: None,
            streams: Vec::new(),
            executed: BTreeSet::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        let (name, state) = (name.to_owned(), Mutex::new(state));
        let host = Arc::new(Host {
            name,
            kind,
            address,
            _reserved_port: reserved_port,
            transfers,
            work_time,
            state,
            notes,
            hosts: hosts.clone(),
        });
        hosts.write().unwrap_or_else(PoisonError::into_inner).insert(host.name.clone(), host.clone());
        host.listen(listener);
        Ok(host)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listen(self: &Arc<Host>, listener: TcpListener) {
        let _ = enable_timestamps(&listener);
        let own = self.clone();
        let accept_connections = move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let mut state = own.state();
                if state.mode == Mode::Down {
                    return;
                }
                state.streams.extend(stream.try_clone());
                drop(state);
                let host = own.clone();
                std::thread::spawn(move || host.serve_connection(stream));
            }
        };
        self.state().accept_thread = Some(std::thread::spawn(accept_connections));
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Ends the host: closes its connections and its port.
    pub fn shut_down(&self) {
        let mut state = self.state();
        state.mode = Mode::Down;
        let accept_thread = state.accept_thread.take();
        state.streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        state.active_transfers = 0;
        drop(state);
        // The accepting thread ends at the next connection. A process that is being spawned may hold the listener
        // until it executes its program.
        let until = Instant::now() + CLOSE_TIMEOUT;
        while TcpStream::connect(self.address).is_ok() && Instant::now() < until {
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
        if let Some(accept_thread) = accept_thread {
            let _ = accept_thread.join();
        }
    }

    /// Replaces the host by a new, cold process at the same address.
    pub fn restart(self: &Arc<Host>) -> io::Result<()> {
        self.shut_down();
        let listener = TcpListener::bind(self.address)?;
        let mut state = self.state();
        (state.mode, state.started) = (Mode::Healthy, Some(unix_micros()));
        state.copies.clear();
        state.arrivals.clear();
        drop(state);
        self.listen(listener);
        Ok(())
    }

    pub fn started_ms(&self) -> u64 {
        self.state().started.map_or(0, |at| at / 1000)
    }

    fn is_frozen(&self) -> bool {
        self.state().mode == Mode::Frozen
    }

    fn wait_while_frozen(&self) {
        while self.is_frozen() {
            std::thread::sleep(FROZEN_POLL_INTERVAL);
        }
    }

    /// Like `drop_copies_before`, but a frozen host does so only some time after it continues.
    pub fn drop_copies_when_awake(&self, object: u64, before: u64) {
        if self.is_frozen() {
            self.wait_while_frozen();
            std::thread::sleep(FROZEN_PURGE_DELAY);
        }
        self.drop_copies_before(object, before);
    }

    /// Drops copies of an object created before a time.
    pub fn drop_copies_before(&self, object: u64, before: u64) {
        self.state().copies.retain(|(own, _), copy| *own != object || copy.created_at >= before);
    }

    fn serve_connection(self: Arc<Host>, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else { return };
        let (writer, given_up) = (Arc::new(Mutex::new(writer)), Arc::new(Mutex::new(BTreeSet::new())));
        let mut reader = BufReader::new(TimestampedStream::new(stream));
        while let Some(words) = read_message(&mut reader) {
            match &words[..] {
                [word, id, ..] if word == "never_mind" => {
                    given_up.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
                }
                [word, id, fields, _] if word == "want" => {
                    let fields = fields.split(',').filter_map(|field| field.split_once('='));
                    let fields = fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
                    let hand_off = HandOff { id: id.clone(), arrival: last_arrival(&reader), fields };
                    let (host, writer, given_up) = (self.clone(), writer.clone(), given_up.clone());
                    let run = move || {
                        let Some(answer) = host.handle_request(&hand_off) else { return };
                        if given_up.lock().unwrap_or_else(PoisonError::into_inner).remove(&hand_off.id) {
                            return;
                        }
                        let text = encode_answer(&hand_off.id, answer);
                        let _ = writer.lock().unwrap_or_else(PoisonError::into_inner).write_all(&text);
                    };
                    let _ = std::thread::Builder::new().stack_size(128 << 10).spawn(run);
                }
                [_, id, ..] => {
                    let text = format!("*4\r\n${}\r\n{id}\r\n$3\r\nFIT\r\n$1\r\n-\r\n$0\r\n\r\n", id.len());
                    let _ = writer.lock().unwrap_or_else(PoisonError::into_inner).write_all(text.as_bytes());
                }
                _ => return,
            }
        }
    }

    /// The current capacity as a share of that of a warm host.
    fn capacity_share(state: &State) -> f64 {
        let age = state.started.map_or(COLD_RAMP_S, |at| unix_micros().saturating_sub(at) as f64 / 1e6);
        COLD_SHARE + (1.0 - COLD_SHARE) * (age / COLD_RAMP_S).min(1.0)
    }

    /// Starts a transfer and returns its duration, or the status word if the host is overloaded.
    fn start_transfer(&self) -> Result<Duration, &'static str> {
        let mut state = self.state();
        let at = unix_micros();
        let share = Host::capacity_share(&state);
        if at < state.overloaded_until {
            return Err("BROKE");
        }
        state.arrivals.push_back(at);
        while state.arrivals.front().is_some_and(|first| *first + (OVERLOAD_WINDOW_S * 1e6) as u64 <= at) {
            state.arrivals.pop_front();
        }
        if share < 1.0 {
            let borne = OVERLOAD_FACTOR * share * self.transfers * OVERLOAD_WINDOW_S
                / self.work_time.as_secs_f64().max(0.001);
            if state.arrivals.len() as f64 > borne + 3.0 * borne.sqrt() + 3.0 {
                state.overloaded_until = at + 1_000_000;
                self.notes.record(Note::HostOverloaded { host: self.name.clone() });
                return Err("BROKE");
            }
        }
        let places = (self.transfers * share).max(1.0);
        if state.active_transfers as f64 >= MAX_TRANSFER_FACTOR * places {
            return Err("WAIT");
        }
        state.active_transfers += 1;
        let slower = (state.active_transfers as f64 / places).max(1.0);
        let mode = if let Mode::Slow(times) = state.mode { times } else { 1.0 };
        Ok(self.work_time.mul_f64(slower * mode))
    }

    fn end_transfer(&self) {
        let mut state = self.state();
        state.active_transfers = state.active_transfers.saturating_sub(1);
    }

    fn handle_request(&self, hand_off: &HandOff) -> Option<HostAnswer> {
        let visit = u64::from_str_radix(&hand_off.id, 16).unwrap_or(0);
        let (host, is_fill) = (self.name.clone(), !hand_off.field("from").is_empty());
        let wait = hand_off.field("w").parse().ok();
        let Arrival { earliest, latest } = hand_off.arrival;
        let arrived = Note::HandOffArrived { host: host.clone(), visit, is_fill, wait, earliest };
        self.notes.record_at(latest, arrived);
        self.wait_while_frozen();
        let mode = self.state().mode;
        let answer = match mode {
            Mode::Down => return None,
            Mode::Hang => {
                std::thread::sleep(Duration::from_millis(hand_off.field("w").parse().unwrap_or(1_000)));
                None
            }
            Mode::Fail(share) if self.state().rng.gen_bool(share.min(1.0)) => {
                std::thread::sleep(Duration::from_millis(4));
                Some(("BROKE", None, ""))
            }
            _ => Some(match self.start_transfer() {
                Ok(takes) => {
                    std::thread::sleep(takes);
                    let answer = self.answer_request(hand_off, visit);
                    self.end_transfer();
                    answer
                }
                Err(word) => (word, None, ""),
            }),
        };
        let is_success = answer.is_some_and(|(word, _, _)| word == "DONE");
        self.notes.record(Note::HandOffEnded { host, visit, is_success });
        answer
    }

    fn answer_request(&self, hand_off: &HandOff, visit: u64) -> HostAnswer {
        let class = hand_off.field("c");
        if self.kind == HostKind::Origin {
            let key = if hand_off.field("i").is_empty() {
                hand_off.id.clone()
            } else {
                hand_off.field("i").to_owned()
            };
            if class != "read" && (class == "once" || self.state().executed.insert(key)) {
                self.notes.record(Note::Executed { host: self.name.clone(), visit, class: class.to_owned() });
            }
            return ("DONE", Some(unix_micros()), "cached");
        }
        let (block, oldest) = (hand_off.block(), hand_off.field("oldest").parse().unwrap_or(0u64) * 1000);
        let fits = |copy: &CachedCopy| oldest == 0 || unix_micros().saturating_sub(copy.created_at) <= oldest;
        if let Some(copy) = self.state().copies.get(&block).copied().filter(fits) {
            return ("DONE", Some(copy.created_at), "cached");
        }
        let only_cached = hand_off.field("mode").split('+').any(|word| word == "only-if-cached");
        let source = self.source(hand_off.field("from"));
        let Some(source) = source else { return ("LACK", None, "") };
        let (created_at, note) = match source.fill(block, oldest, only_cached) {
            Ok(found) => found,
            Err("LACK") => return ("LACK", None, "up_empty"),
            Err(_) => return ("BROKE", None, "up_refused"),
        };
        self.state().copies.insert(block, CachedCopy { created_at });
        ("DONE", Some(created_at), note)
    }

    fn source(&self, name: &str) -> Option<Arc<Host>> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// Serves a fill of another host.
    fn fill(
        &self,
        block: (u64, u32),
        oldest: u64,
        only_cached: bool,
    ) -> Result<(u64, &'static str), &'static str> {
        self.wait_while_frozen();
        match self.state().mode {
            Mode::Down | Mode::Fail(_) => return Err("BROKE"),
            Mode::Hang => std::thread::sleep(Duration::from_secs(3)),
            _ => {}
        }
        let (host, visit, is_fill) = (self.name.clone(), 0, true);
        let earliest = unix_micros();
        self.notes.record_at(
            earliest,
            Note::HandOffArrived { host: host.clone(), visit, is_fill, wait: None, earliest },
        );
        let takes = self.start_transfer()?;
        std::thread::sleep(takes);
        let given = self.fill_copy(block, oldest, only_cached);
        self.end_transfer();
        self.notes.record(Note::HandOffEnded { host, visit, is_success: given.is_ok() });
        given
    }

    fn fill_copy(
        &self,
        block: (u64, u32),
        oldest: u64,
        only_cached: bool,
    ) -> Result<(u64, &'static str), &'static str> {
        if self.kind == HostKind::Origin {
            return Ok((unix_micros(), "fetched_root"));
        }
        let fits = |copy: &CachedCopy| oldest == 0 || unix_micros().saturating_sub(copy.created_at) <= oldest;
        if let Some(copy) = self.state().copies.get(&block).copied().filter(fits) {
            return Ok((copy.created_at, "fetched"));
        }
        if only_cached {
            return Err("LACK");
        }
        let all = self.hosts.read().unwrap_or_else(PoisonError::into_inner);
        let origin = all.values().find(|host| host.kind == HostKind::Origin).cloned();
        drop(all);
        let (created_at, _) = origin.ok_or("BROKE")?.fill(block, oldest, false)?;
        self.state().copies.insert(block, CachedCopy { created_at });
        Ok((created_at, "fetched_root"))
    }
}

fn encode_answer(id: &str, (word, created_at, note): HostAnswer) -> Vec<u8> {
    let mut fields = Vec::new();
    if let Some(created_at) = created_at {
        fields.push(format!("ver={:016x}", created_at));
        fields.push(format!("born={}", created_at / 1000));
    }
    if !note.is_empty() {
        fields.push(format!("note={note}"));
    }
    let fields = if fields.is_empty() { "-".to_owned() } else { fields.join(",") };
    // The body starts with the true creation time, whatever the header fields say.
    let body =
        created_at.map_or(String::new(), |created_at| format!("{created_at:016x}{}", "x".repeat(BODY_BYTES)));
    let parts = [id, word, &fields, &body].map(|part| format!("${}\r\n{part}\r\n", part.len()));
    format!("*4\r\n{}", parts.concat()).into_bytes()
}

/// Reads an array of bulk strings. None at the end of the connection.
fn read_message(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let number = |reader: &mut dyn BufRead, mark: char| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    };
    let count = number(reader, '*')?;
    (0..count)
        .map(|_| {
            let mut bytes = vec![0; number(reader, '$')? + 2];
            reader.read_exact(&mut bytes).ok()?;
            bytes.truncate(bytes.len() - 2);
            Some(String::from_utf8_lossy(&bytes).into_owned())
        })
        .collect()
}
