//! Clients at work: an open-loop load on one dispatcher over MessagePack-RPC, arrivals by Poisson from a seed.
use crate::notes::{Note, Notes, Word};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rmpv::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The bands of the settings that the processes get, and their deadlines in milliseconds.
pub const BANDS: [(&str, u64); 3] = [("read", 2_000), ("order", 1_000), ("once", 1_000)];
const CONNECTIONS: usize = 4;
const OPEN_MOST: usize = 30;
/// Past so many open another connection is opened.
const BUSY: usize = 8;
/// What is open at the end has its time, and a busy machine's.
/// A request that crosses the end of its connection is on its way for so long, by the protocol page.
const CROSSING: Duration = Duration::from_millis(50);
const LAST_ANSWERS: Duration = Duration::from_millis(4_000);

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub writes: f64,
    pub objects: u64,
}

/// The load on one dispatcher, until it is dropped or ended.
pub struct Load {
    /// Visits in 1,000 s.
    rate: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
    /// No connection is opened, as those who lead clients here know that it ends.
    leads_away: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Open visits by message id, and when each was asked.
type Open = Arc<Mutex<BTreeMap<u64, (u64, Instant)>>>;

struct Connection {
    stream: TcpStream,
    next: u64,
    open: Open,
    closed: Arc<AtomicBool>,
}

/// Ids of visits are never the same, also over restarts and dispatchers.
pub type Numbers = Arc<AtomicU64>;

impl Load {
    pub fn start(
        (name, address): (String, SocketAddr),
        rate: f64,
        mix: Mix,
        seed: u64,
        notes: Notes,
        numbers: Numbers,
    ) -> Load {
        let rate = Arc::new(AtomicU64::new((rate * 1e3) as u64));
        let mut load = Load { rate, ended: Arc::default(), leads_away: Arc::default(), thread: None };
        let leads_away = load.leads_away.clone();
        let (rate, ended) = (load.rate.clone(), load.ended.clone());
        let run = move || {
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            let mut connections: Vec<Connection> = Vec::new();
            let mut due = Instant::now();
            while !ended.load(SeqCst) {
                let rate = rate.load(SeqCst) as f64 / 1e3;
                if rate <= 0.0 {
                    std::thread::sleep(Duration::from_millis(10));
                    due = Instant::now();
                    continue;
                }
                due += Duration::from_secs_f64(-(1.0 - chance.gen::<f64>()).ln() / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                connections.retain(|connection| !connection.closed.load(SeqCst));
                // One that is opened and not used would be taken for mute.
                let full = connections.iter().all(|connection| connection.waiting() >= BUSY);
                let opens = !leads_away.load(SeqCst);
                if opens && full && connections.len() < CONNECTIONS {
                    connections.extend(Connection::open(address, &notes));
                }
                let visit = numbers.fetch_add(1, SeqCst);
                let band = match chance.gen_bool(mix.writes) {
                    true => 1 + usize::from(chance.gen_bool(0.5)),
                    false => 0,
                };
                // Few objects are asked for often.
                let object = (mix.objects as f64 * chance.gen::<f64>().powi(3)) as u64;
                let free = connections.iter_mut().min_by_key(|connection| connection.waiting());
                match free.filter(|connection| connection.waiting() < OPEN_MOST) {
                    Some(connection) => connection.ask(&name, visit, band, object, &notes),
                    None if !opens => {}
                    None => {
                        let (band, limit) = BANDS[band];
                        let (dispatcher, band) = (name.clone(), band.to_owned());
                        let limit = limit * 1000;
                        notes.note(Note::Asked { visit, dispatcher, band, object, limit });
                        notes.note(Note::Broken { visit });
                    }
                }
            }
            let until = Instant::now() + LAST_ANSWERS;
            while connections.iter().any(|connection| connection.waiting() > 0) && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(10));
            }
            connections.iter().for_each(|connection| drop(connection.stream.shutdown(Shutdown::Both)));
        };
        load.thread = Some(std::thread::spawn(run));
        load
    }

    pub fn set(&self, rate: f64) {
        self.rate.store((rate * 1e3) as u64, SeqCst);
    }

    /// Whether new connections are opened.
    pub fn lead_away(&self, away: bool) {
        self.leads_away.store(away, SeqCst);
    }

    pub fn end(&self) {
        self.ended.store(true, SeqCst);
    }

    /// Until what was open has had its answers, or its time is over.
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
        let open = Open::default();
        let closed: Arc<AtomicBool> = Arc::default();
        let (own, end, notes) = (open.clone(), closed.clone(), notes.clone());
        let mut reader = BufReader::new(stream.try_clone().ok()?);
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
                let Some((id, word, born)) = answer(&message) else { break };
                let open = own.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
                let visit = open.map(|(visit, _)| visit);
                // An answer to nothing that is open is a second one: it is noted under no visit of its own.
                notes.note(Note::Answered { visit: visit.unwrap_or(u64::MAX), word, born });
            }
            end.store(true, SeqCst);
            let left = std::mem::take(&mut *own.lock().unwrap_or_else(PoisonError::into_inner));
            for (visit, asked) in left.into_values() {
                let crossed = in_order && asked.elapsed() <= CROSSING;
                notes.note(if crossed { Note::Crossed { visit } } else { Note::Broken { visit } });
            }
        });
        Some(Connection { stream, next: 1, open, closed })
    }

    fn waiting(&self) -> usize {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn ask(&mut self, dispatcher: &str, visit: u64, band: usize, object: u64, notes: &Notes) {
        let (band, limit) = BANDS[band];
        let id = self.next;
        self.next += 1;
        let mut fields = vec![
            ("txn", format!("{visit:016x}")),
            ("limit", limit.to_string()),
            ("item", format!("{object:016x}")),
            ("block", "0".into()),
            ("family", (object % 256).to_string()),
        ];
        if band == "order" {
            fields.push(("unique", format!("{visit:032x}")));
        }
        let body = if band == "read" { Vec::new() } else { vec![b'y'; 100] };
        let fields = fields.into_iter().map(|(name, value)| (name.into(), value.into())).collect();
        let params = Value::Array(vec![Value::Map(fields), Value::Binary(body)]);
        let message = Value::Array(vec![0.into(), id.into(), band.into(), params]);
        let mut bytes = Vec::new();
        let _ = rmpv::encode::write_value(&mut bytes, &message);
        self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(id, (visit, Instant::now()));
        let (dispatcher, band) = (dispatcher.to_owned(), band.to_owned());
        notes.note(Note::Asked { visit, dispatcher, band, object, limit: limit * 1000 });
        if self.stream.write_all(&bytes).is_err() {
            self.closed.store(true, SeqCst);
        }
    }
}

/// The id, the word and the birth that an answer tells.
fn answer(message: &Value) -> Option<(u64, Word, Option<u64>)> {
    let [kind, id, error, result] = &message.as_array()?[..] else { return None };
    if kind.as_u64()? != 1 {
        return None;
    }
    let word = match error.as_array().and_then(|error| error.first()?.as_str()) {
        None => Word::Settled,
        Some("Rejected") => Word::TurnedBack,
        Some("Failed") => Word::WrittenOff,
        Some(_) => Word::Bad,
    };
    // A body begins with the copy's true birth.
    let body = result.as_array().and_then(|parts| parts.first()?.as_slice());
    let digits = body.and_then(|body| std::str::from_utf8(body.get(..16)?).ok());
    Some((id.as_u64()?, word, digits.and_then(|digits| u64::from_str_radix(digits, 16).ok())))
}
