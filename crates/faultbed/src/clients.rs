//! Client load: an open-loop load on one dispatcher over MessagePack-RPC, with seeded Poisson arrivals.
use crate::arrival::{enable_timestamps, last_arrival, TimestampedStream};
use crate::notes::{Note, Notes, Outcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rmpv::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The request classes in the settings of the processes, and their deadlines in milliseconds.
pub const CLASSES: [(&str, u64); 3] = [("read", 2_000), ("order", 1_000), ("once", 1_000)];
const MAX_CONNECTIONS: usize = 4;
const MAX_OPEN_REQUESTS: usize = 30;
/// If all connections have this many open requests, another one is opened.
const BUSY_OPEN_REQUESTS: usize = 8;
/// Maximum transit time of a request that crosses the close of its connection.
const CLOSE_CROSSING_TIME: Duration = Duration::from_millis(50);
/// How long open requests may take at the end of the load.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The mix of requests.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub write_share: f64,
    pub objects: u64,
}

/// The load on one dispatcher.
pub struct Load {
    /// Visits per 1,000 s.
    rate: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    /// Whether no new connections are opened, as service discovery knows that the dispatcher is ending.
    is_avoided: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Visit number and start time of open requests, by message id.
type OpenRequests = Arc<Mutex<BTreeMap<u64, (u64, Instant)>>>;

struct Connection {
    stream: TcpStream,
    next_id: u64,
    open: OpenRequests,
    is_closed: Arc<AtomicBool>,
}

/// The next visit number; unique over all dispatchers and restarts.
pub type VisitNumbers = Arc<AtomicU64>;

impl Load {
    pub fn start(
        (name, address): (String, SocketAddr),
        rate: f64,
        mix: Mix,
        seed: u64,
        notes: Notes,
        numbers: VisitNumbers,
    ) -> Load {
        let rate = Arc::new(AtomicU64::new((rate * 1e3) as u64));
        let mut load = Load { rate, is_stopped: Arc::default(), is_avoided: Arc::default(), thread: None };
        let is_avoided = load.is_avoided.clone();
        let (rate, is_stopped) = (load.rate.clone(), load.is_stopped.clone());
        let run = move || {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut connections: Vec<Connection> = Vec::new();
            let mut due = Instant::now();
            while !is_stopped.load(SeqCst) {
                let rate = rate.load(SeqCst) as f64 / 1e3;
                if rate <= 0.0 {
                    std::thread::sleep(Duration::from_millis(10));
                    due = Instant::now();
                    continue;
                }
                due += Duration::from_secs_f64(-(1.0 - rng.gen::<f64>()).ln() / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                connections.retain(|connection| !connection.is_closed.load(SeqCst));
                // Connections are opened on demand: an unused one would be closed as mute.
                let full =
                    connections.iter().all(|connection| connection.open_requests() >= BUSY_OPEN_REQUESTS);
                let opens = !is_avoided.load(SeqCst);
                if opens && full && connections.len() < MAX_CONNECTIONS {
                    connections.extend(Connection::open(address, &notes));
                }
                let visit = numbers.fetch_add(1, SeqCst);
                let class = match rng.gen_bool(mix.write_share) {
                    true => 1 + usize::from(rng.gen_bool(0.5)),
                    false => 0,
                };
                // Skewed popularity: few objects get most requests.
                let object = (mix.objects as f64 * rng.gen::<f64>().powi(3)) as u64;
                let is_full = connections.len() == MAX_CONNECTIONS;
                let free = connections.iter_mut().min_by_key(|connection| connection.open_requests());
                match free.filter(|connection| connection.open_requests() < MAX_OPEN_REQUESTS) {
                    Some(connection) => connection.send_request(&name, visit, class, object, &notes),
                    None if is_full => drop(notes.record(Note::NotSent { visit })),
                    None if !opens => {}
                    None => {
                        let (class, limit) = CLASSES[class];
                        let (dispatcher, class) = (name.clone(), class.to_owned());
                        let limit = limit * 1000;
                        notes.record(Note::RequestSent { visit, dispatcher, class, object, limit });
                        notes.record(Note::ConnectionLost { visit });
                    }
                }
            }
            let until = Instant::now() + FINAL_ANSWER_TIMEOUT;
            while connections.iter().any(|connection| connection.open_requests() > 0)
                && Instant::now() < until
            {
                std::thread::sleep(Duration::from_millis(10));
            }
            connections.iter().for_each(|connection| drop(connection.stream.shutdown(Shutdown::Both)));
        };
        load.thread = Some(std::thread::spawn(run));
        load
    }

    pub fn set_rate(&self, rate: f64) {
        self.rate.store((rate * 1e3) as u64, SeqCst);
    }

    /// Sets whether clients avoid this dispatcher, that is, open no new connections.
    pub fn set_avoided(&self, away: bool) {
        self.is_avoided.store(away, SeqCst);
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, SeqCst);
    }

    /// Waits until open requests were answered or have timed out.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Connection {
    fn open(address: SocketAddr, notes: &Notes) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
        stream.set_nodelay(true).ok()?;
        enable_timestamps(&stream).ok()?;
        let open = OpenRequests::default();
        let is_closed: Arc<AtomicBool> = Arc::default();
        let (own, end, notes) = (open.clone(), is_closed.clone(), notes.clone());
        let mut reader = BufReader::new(TimestampedStream::new(stream.try_clone().ok()?));
        std::thread::spawn(move || {
            let mut in_order = false;
            loop {
                match reader.fill_buf() {
                    Ok([]) => {
                        in_order = true;
                        break;
                    }
                    Ok(_) => {}
                    Err(_) => break,
                }
                let Ok(message) = rmpv::decode::read_value(&mut reader) else { break };
                let Some((id, outcome, created_at)) = parse_answer(&message) else { break };
                let arrived_at = last_arrival(&reader).latest;
                let open = own.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
                let visit = open.map(|(visit, _)| visit);
                // An answer without an open request is a duplicate; it is recorded without a valid visit.
                let visit = visit.unwrap_or(u64::MAX);
                notes.record_at(arrived_at, Note::Answered { visit, outcome, created_at });
            }
            end.store(true, SeqCst);
            let left = std::mem::take(&mut *own.lock().unwrap_or_else(PoisonError::into_inner));
            for (visit, asked) in left.into_values() {
                let crossed = in_order && asked.elapsed() <= CLOSE_CROSSING_TIME;
                notes.record(if crossed {
                    Note::CrossedClose { visit }
                } else {
                    Note::ConnectionLost { visit }
                });
            }
        });
        Some(Connection { stream, next_id: 1, open, is_closed })
    }

    fn open_requests(&self) -> usize {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn send_request(&mut self, dispatcher: &str, visit: u64, class: usize, object: u64, notes: &Notes) {
        let (class, limit) = CLASSES[class];
        let id = self.next_id;
        self.next_id += 1;
        let mut fields = vec![
            ("txn", format!("{visit:016x}")),
            ("limit", limit.to_string()),
            ("item", format!("{object:016x}")),
            ("block", "0".into()),
            ("family", (object % 256).to_string()),
        ];
        if class == "order" {
            fields.push(("unique", format!("{visit:032x}")));
        }
        let body = if class == "read" { Vec::new() } else { vec![b'y'; 100] };
        let fields = fields.into_iter().map(|(name, value)| (name.into(), value.into())).collect();
        let params = Value::Array(vec![Value::Map(fields), Value::Binary(body)]);
        let message = Value::Array(vec![0.into(), id.into(), class.into(), params]);
        let mut bytes = Vec::new();
        let _ = rmpv::encode::write_value(&mut bytes, &message);
        self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(id, (visit, Instant::now()));
        let (dispatcher, class) = (dispatcher.to_owned(), class.to_owned());
        notes.record(Note::RequestSent { visit, dispatcher, class, object, limit: limit * 1000 });
        match self.stream.write_all(&bytes) {
            Ok(()) => drop(notes.record(Note::RequestWritten { visit })),
            Err(_) => self.is_closed.store(true, SeqCst),
        }
    }
}

/// Message id, outcome and creation time of the copy in an answer.
fn parse_answer(message: &Value) -> Option<(u64, Outcome, Option<u64>)> {
    let [kind, id, error, result] = &message.as_array()?[..] else { return None };
    if kind.as_u64()? != 1 {
        return None;
    }
    let outcome = match error.as_array().and_then(|error| error.first()?.as_str()) {
        None => Outcome::Served,
        Some("Rejected") => Outcome::Refused,
        Some("Failed") => Outcome::Failed,
        Some(_) => Outcome::InvalidAnswer,
    };
    // A body starts with the true creation time of the copy.
    let body = result.as_array().and_then(|parts| parts.first()?.as_slice());
    let digits = body.and_then(|body| std::str::from_utf8(body.get(..16)?).ok());
    Some((id.as_u64()?, outcome, digits.and_then(|digits| u64::from_str_radix(digits, 16).ok())))
}
