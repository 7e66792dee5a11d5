//! Stand-in caches, parents and the origin over RESP, by the published protocol: places, a cold ramp, copies with
//! births, effects, and what is broken about them as told.
use crate::notation::Sort;
use crate::notes::{now, Note, Notes};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

/// Rule 4 as the settings that the processes get name it: the cold share, the ramp, the factor and the window.
pub const COLD_FROM: f64 = 0.2;
pub const RAMP: f64 = 6.0;
pub const FACTOR: f64 = 2.0;
pub const WINDOW: f64 = 1.5;
/// Caches drop a purged copy by then, in seconds.
pub const PURGE_DROPPED: f64 = 3.0;
/// One that stood still drops them so much later than it went on.
const DROPPED_LATE: Duration = Duration::from_millis(1_000);
const STILL_LOOK: Duration = Duration::from_millis(2);
const BODY: usize = 2_000;
const CROWDED: f64 = 6.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Well,
    Fail(f64),
    Hang,
    /// All of it stands still, and goes on later with what it was about.
    Still,
    Slow(f64),
    /// Its port is closed.
    Gone,
}

#[derive(Clone, Copy)]
struct Copy {
    born: u64,
}

struct State {
    mode: Mode,
    started: Option<u64>,
    copies: BTreeMap<(u64, u32), Copy>,
    out: usize,
    came: VecDeque<u64>,
    fallen: u64,
    listener: Option<TcpListener>,
    streams: Vec<TcpStream>,
    ran: BTreeSet<String>,
    chance: Pcg64Mcg,
}

pub struct Host {
    pub name: String,
    pub sort: Sort,
    pub address: SocketAddr,
    pub transfers: f64,
    work: Duration,
    state: Mutex<State>,
    notes: Notes,
    all: Arc<RwLock<BTreeMap<String, Arc<Host>>>>,
}

/// All hosts by name, as they find each other.
pub type Hosts = Arc<RwLock<BTreeMap<String, Arc<Host>>>>;

struct Want {
    id: String,
    fields: BTreeMap<String, String>,
}

impl Want {
    fn get(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| value)
    }

    fn part(&self) -> (u64, u32) {
        (u64::from_str_radix(self.get("k"), 16).unwrap_or(0), self.get("p").parse().unwrap_or(0))
    }
}

/// An answer: its word, the birth of a copy, and a note.
type Said = (&'static str, Option<u64>, &'static str);

impl Host {
    pub fn start(
        (name, sort, transfers): (&str, Sort, f64),
        work: Duration,
        seed: u64,
        notes: Notes,
        all: Hosts,
    ) -> io::Result<Arc<Host>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            mode: Mode::Well,
            started: None,
            copies: BTreeMap::new(),
            out: 0,
            came: VecDeque::new(),
            fallen: 0,
            listener: None,
            streams: Vec::new(),
            ran: BTreeSet::new(),
            chance: Pcg64Mcg::seed_from_u64(seed),
        };
        let (name, state) = (name.to_owned(), Mutex::new(state));
        let host = Arc::new(Host { name, sort, address, transfers, work, state, notes, all: all.clone() });
        all.write().unwrap_or_else(PoisonError::into_inner).insert(host.name.clone(), host.clone());
        host.listen(listener);
        Ok(host)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listen(self: &Arc<Host>, listener: TcpListener) {
        self.state().listener = listener.try_clone().ok();
        let own = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if own.state().mode == Mode::Gone {
                    return;
                }
                let (host, other) = (own.clone(), stream.try_clone());
                own.state().streams.extend(other.ok());
                std::thread::spawn(move || host.read(stream));
            }
        });
    }

    pub fn set(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// The process ends: connections are reset, and its port is closed.
    pub fn end(&self) {
        let mut state = self.state();
        state.mode = Mode::Gone;
        state.listener = None;
        state.streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        state.out = 0;
        drop(state);
        // Wakes the thread that listens, so that the port is closed.
        drop(TcpStream::connect(self.address));
    }

    /// A new, cold process at the same address.
    pub fn begin_anew(self: &Arc<Host>) -> io::Result<()> {
        self.end();
        std::thread::sleep(Duration::from_millis(20));
        let listener = TcpListener::bind(self.address)?;
        let mut state = self.state();
        (state.mode, state.started) = (Mode::Well, Some(now()));
        state.copies.clear();
        state.came.clear();
        drop(state);
        self.listen(listener);
        Ok(())
    }

    pub fn started_ms(&self) -> u64 {
        self.state().started.map_or(0, |at| at / 1000)
    }

    fn is_still(&self) -> bool {
        self.state().mode == Mode::Still
    }

    fn wait_while_still(&self) {
        while self.is_still() {
            std::thread::sleep(STILL_LOOK);
        }
    }

    /// The same once it goes on, and a while later, where it stands still: it hears of the purge with all else then.
    pub fn drop_older_awake(&self, object: u64, before: u64) {
        if self.is_still() {
            self.wait_while_still();
            std::thread::sleep(DROPPED_LATE);
        }
        self.drop_older(object, before);
    }

    /// Copies born before are dropped.
    pub fn drop_older(&self, object: u64, before: u64) {
        self.state().copies.retain(|(own, _), copy| *own != object || copy.born >= before);
    }

    fn read(self: Arc<Host>, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else { return };
        let (writer, given_up) = (Arc::new(Mutex::new(writer)), Arc::new(Mutex::new(BTreeSet::new())));
        let mut reader = BufReader::new(stream);
        while let Some(words) = bulk(&mut reader) {
            match &words[..] {
                [word, id, ..] if word == "never_mind" => {
                    given_up.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
                }
                [word, id, fields, _] if word == "want" => {
                    let fields = fields.split(',').filter_map(|field| field.split_once('='));
                    let fields = fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
                    let want = Want { id: id.clone(), fields };
                    let (host, writer, given_up) = (self.clone(), writer.clone(), given_up.clone());
                    let run = move || {
                        let Some(said) = host.serve(&want) else { return };
                        if given_up.lock().unwrap_or_else(PoisonError::into_inner).remove(&want.id) {
                            return;
                        }
                        let text = answer(&want.id, said);
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

    /// How much of what it can do warm it can do now.
    fn share(state: &State) -> f64 {
        let age = state.started.map_or(RAMP, |at| now().saturating_sub(at) as f64 / 1e6);
        COLD_FROM + (1.0 - COLD_FROM) * (age / RAMP).min(1.0)
    }

    /// Takes a place for one visit or fill; how long it will take, or none where the host fell or has no place.
    fn enter(&self) -> Result<Duration, &'static str> {
        let mut state = self.state();
        let at = now();
        let share = Host::share(&state);
        if at < state.fallen {
            return Err("BROKE");
        }
        state.came.push_back(at);
        while state.came.front().is_some_and(|first| *first + (WINDOW * 1e6) as u64 <= at) {
            state.came.pop_front();
        }
        if share < 1.0 {
            let borne = FACTOR * share * self.transfers * WINDOW / self.work.as_secs_f64().max(0.001);
            if state.came.len() as f64 > borne + 3.0 * borne.sqrt() + 3.0 {
                state.fallen = at + 1_000_000;
                self.notes.note(Note::Fell { host: self.name.clone() });
                return Err("BROKE");
            }
        }
        let places = (self.transfers * share).max(1.0);
        if state.out as f64 >= CROWDED * places {
            return Err("WAIT");
        }
        state.out += 1;
        let slower = (state.out as f64 / places).max(1.0);
        let mode = if let Mode::Slow(times) = state.mode { times } else { 1.0 };
        Ok(self.work.mul_f64(slower * mode))
    }

    fn leave(&self) {
        let mut state = self.state();
        state.out = state.out.saturating_sub(1);
    }

    fn serve(&self, want: &Want) -> Option<Said> {
        let visit = u64::from_str_radix(&want.id, 16).unwrap_or(0);
        let (host, filled) = (self.name.clone(), !want.get("from").is_empty());
        let wait = want.get("w").parse().ok();
        self.notes.note(Note::Came { host: host.clone(), visit, filled, wait });
        self.wait_while_still();
        let mode = self.state().mode;
        let said = match mode {
            Mode::Gone => return None,
            Mode::Hang => {
                std::thread::sleep(Duration::from_millis(want.get("w").parse().unwrap_or(1_000)));
                None
            }
            Mode::Fail(share) if self.state().chance.gen_bool(share.min(1.0)) => {
                std::thread::sleep(Duration::from_millis(4));
                Some(("BROKE", None, ""))
            }
            _ => Some(match self.enter() {
                Ok(takes) => {
                    std::thread::sleep(takes);
                    let said = self.found(want, visit);
                    self.leave();
                    said
                }
                Err(word) => (word, None, ""),
            }),
        };
        let well = said.is_some_and(|(word, _, _)| word == "DONE");
        self.notes.note(Note::Left { host, visit, well });
        said
    }

    fn found(&self, want: &Want, visit: u64) -> Said {
        let band = want.get("c");
        if self.sort == Sort::Origin {
            let key = if want.get("i").is_empty() { want.id.clone() } else { want.get("i").to_owned() };
            if band != "read" && (band == "once" || self.state().ran.insert(key)) {
                self.notes.note(Note::Ran { host: self.name.clone(), visit, band: band.to_owned() });
            }
            return ("DONE", Some(now()), "cached");
        }
        let (part, oldest) = (want.part(), want.get("oldest").parse().unwrap_or(0u64) * 1000);
        let fits = |copy: &Copy| oldest == 0 || now().saturating_sub(copy.born) <= oldest;
        if let Some(copy) = self.state().copies.get(&part).copied().filter(fits) {
            return ("DONE", Some(copy.born), "cached");
        }
        let held = want.get("mode").split('+').any(|word| word == "only-if-cached");
        let source = self.source(want.get("from"));
        let Some(source) = source else { return ("LACK", None, "") };
        let (born, note) = match source.give(part, oldest, held) {
            Ok(found) => found,
            Err("LACK") => return ("LACK", None, "up_empty"),
            Err(_) => return ("BROKE", None, "up_refused"),
        };
        self.state().copies.insert(part, Copy { born });
        ("DONE", Some(born), note)
    }

    fn source(&self, name: &str) -> Option<Arc<Host>> {
        self.all.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// What it gives for another's fill.
    fn give(&self, part: (u64, u32), oldest: u64, held: bool) -> Result<(u64, &'static str), &'static str> {
        self.wait_while_still();
        match self.state().mode {
            Mode::Gone | Mode::Fail(_) => return Err("BROKE"),
            Mode::Hang => std::thread::sleep(Duration::from_secs(3)),
            _ => {}
        }
        let (host, visit, filled) = (self.name.clone(), 0, true);
        self.notes.note(Note::Came { host: host.clone(), visit, filled, wait: None });
        let takes = self.enter()?;
        std::thread::sleep(takes);
        let given = self.given(part, oldest, held);
        self.leave();
        self.notes.note(Note::Left { host, visit, well: given.is_ok() });
        given
    }

    fn given(&self, part: (u64, u32), oldest: u64, held: bool) -> Result<(u64, &'static str), &'static str> {
        if self.sort == Sort::Origin {
            return Ok((now(), "fetched_root"));
        }
        let fits = |copy: &Copy| oldest == 0 || now().saturating_sub(copy.born) <= oldest;
        if let Some(copy) = self.state().copies.get(&part).copied().filter(fits) {
            return Ok((copy.born, "fetched"));
        }
        if held {
            return Err("LACK");
        }
        let all = self.all.read().unwrap_or_else(PoisonError::into_inner);
        let origin = all.values().find(|host| host.sort == Sort::Origin).cloned();
        drop(all);
        let (born, _) = origin.ok_or("BROKE")?.give(part, oldest, false)?;
        self.state().copies.insert(part, Copy { born });
        Ok((born, "fetched_root"))
    }
}

fn answer(id: &str, (word, born, note): Said) -> Vec<u8> {
    let mut fields = Vec::new();
    if let Some(born) = born {
        fields.push(format!("ver={:016x}", born));
        fields.push(format!("born={}", born / 1000));
    }
    if !note.is_empty() {
        fields.push(format!("note={note}"));
    }
    let fields = if fields.is_empty() { "-".to_owned() } else { fields.join(",") };
    // The body tells the true birth, whatever the fields on its way say.
    let body = born.map_or(String::new(), |born| format!("{born:016x}{}", "x".repeat(BODY)));
    let parts = [id, word, &fields, &body].map(|part| format!("${}\r\n{part}\r\n", part.len()));
    format!("*4\r\n{}", parts.concat()).into_bytes()
}

/// A message of bulk strings; none once the connection has ended.
fn bulk(reader: &mut impl BufRead) -> Option<Vec<String>> {
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
