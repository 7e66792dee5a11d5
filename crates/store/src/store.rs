//! The store as programs use it: many writers, one thread that commits what has come together, readers that see
//! what is durable, and background work within its budget.
use crate::checkpoint::Writer;
use crate::compaction::{self, Space};
use crate::disk::{Disk, Folder};
use crate::engine::{self, Batch, Engine, Item, Moved, Options};
use crate::error::{Damage, Error};
use crate::export;
use crate::format::{SegmentId, Seq};
use crate::index::{Entry, Place, Segment, View};
use cherrypass::time::{Span, UnixTime};
use cherrypass_background::runner::{Requester, Runner, Step, Work};
use cherrypass_background::schedule::{Backlog, Kind, KindId, Whole};
use std::collections::VecDeque;
use std::ops::Bound;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::thread::JoinHandle;
use std::time::Instant;

pub type Clock = Arc<dyn Fn() -> UnixTime + Send + Sync>;
/// Called on the committing thread once a batch is durable or refused; all others wait while it does.
pub type Done = Box<dyn FnOnce(Result<Seq, Error>) + Send>;
pub type Pairs = Vec<(Vec<u8>, Vec<u8>)>;

/// What a batch must outlast before its writer goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlasts {
    /// The process. It is synced soon after all the same.
    Process,
    /// The machine.
    Machine,
}

/// What waits for the disk is refused past this, in bytes.
const WAITING_MOST: usize = 32 << 20;
/// One round takes no more, in bytes.
const ROUND_MOST: usize = 4 << 20;
/// A checkpoint is due once so much was logged since the last, or a half of the log where that is more.
const CHECKPOINT_LEAST: u64 = 4 << 20;
/// What has ended is looked for no more often than this.
const EXPIRE_EVERY: Span = Span::millis(10);
const EXPIRE_AT_ONCE: usize = 4096;

const COMPACT: KindId = KindId(0);
const CHECKPOINT: KindId = KindId(1);
const EXPIRE: KindId = KindId(2);
const VERIFY: KindId = KindId(3);

fn kinds() -> [Kind; 4] {
    let kind = |name, priority, weight, max_wait_ms| Kind {
        name,
        priority,
        weight,
        max_wait: Span::millis(max_wait_ms),
    };
    [
        kind("compaction", 0, 0.5, 2_000),
        kind("checkpoint", 1, 0.25, 5_000),
        kind("expiry", 2, 0.1, 5_000),
        kind("verify", 3, 0.15, 10_000),
    ]
}

/// What background work may use.
pub const BUDGET: Whole = Whole {
    bytes_a_second: 32e6,
    time_share: 0.2,
    max_step_time: Span::millis(2),
    max_step_bytes: 128 << 10,
};

enum Owned {
    Batch(Batch),
    Moves(Vec<Moved>),
}

impl Owned {
    fn item(&self) -> Item<'_> {
        match self {
            Owned::Batch(batch) => Item::Batch(batch),
            Owned::Moves(moves) => Item::Moves(moves),
        }
    }

    fn bytes(&self) -> usize {
        match self {
            Owned::Batch(batch) => batch.bytes(),
            Owned::Moves(moves) => moves.iter().map(|moved| moved.was.length as usize).sum(),
        }
    }
}

/// What whoever waits for a round is told: its first batch's number. Those who wait do so in several places, so
/// that they don't queue for one lock as they wake.
#[derive(Default)]
struct Told {
    result: OnceLock<Result<Seq, Error>>,
    places: [(Mutex<()>, Condvar); 8],
}

impl Told {
    fn wait(&self, place: u64) -> Result<Seq, Error> {
        let (lock, there) = &self.places[place as usize % self.places.len()];
        let mut held = lock.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(result) = self.result.get() {
                return result.clone();
            }
            held = there.wait(held).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn tell(&self, result: Result<Seq, Error>) {
        let _ = self.result.set(result);
        for (lock, there) in &self.places {
            drop(lock.lock());
            there.notify_all();
        }
    }
}

/// What is committed together.
#[derive(Default)]
struct Round {
    items: Vec<Owned>,
    dones: Vec<(u64, Outlasts, Done)>,
    bytes: usize,
    told: Arc<Told>,
}

/// What waits for the disk.
#[derive(Default)]
struct Queue {
    rounds: VecDeque<Round>,
    committing: bool,
    ended: bool,
}

#[derive(Default)]
struct Counts {
    waiting: AtomicUsize,
    batches: AtomicU64,
    rounds: AtomicU64,
    moved: AtomicU64,
    compacted: AtomicU64,
    checkpoints: AtomicU64,
    expired: AtomicU64,
    verified: AtomicU64,
    /// The damage that background work met first.
    damaged: AtomicBool,
    /// Whether compaction and a checkpoint were asked for and have not looked since.
    compact: AtomicBool,
    checkpoint: AtomicBool,
    /// When expiry was last asked for, in microseconds since the start.
    told: AtomicU64,
}

struct Shared {
    engine: Mutex<Engine>,
    queue: Mutex<Queue>,
    work: Condvar,
    background: OnceLock<Requester>,
    begun: Instant,
    view: Arc<RwLock<View>>,
    clock: Clock,
    options: Options,
    counts: Counts,
    damage: Mutex<Option<Damage>>,
}

/// What a store holds and has done.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Stats {
    pub records: usize,
    pub spaces: Vec<(String, usize)>,
    pub segments: usize,
    pub log_bytes: u64,
    pub live_bytes: u64,
    pub batches: u64,
    pub rounds: u64,
    pub moved: u64,
    pub compacted_segments: u64,
    pub checkpoints: u64,
    pub expired: u64,
    pub verified_bytes: u64,
    pub waiting_bytes: usize,
    pub next_batch: u64,
    pub read_only: Option<String>,
    pub damage: Option<String>,
    pub notes: Vec<String>,
}

pub struct Store {
    shared: Arc<Shared>,
    committer: Option<JoinHandle<()>>,
    background: Option<Runner>,
}

impl Shared {
    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The clock, but never before the last batch's time: guards against a clock that goes back and brings
    /// back what had ended.
    fn now(&self) -> UnixTime {
        (self.clock)().max(engine::read(&self.view).time)
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts something into the last round that has room; its round, and its place there.
    fn put(&self, queue: &mut Queue, item: Owned, done: Option<(Outlasts, Done)>) -> (Arc<Told>, u64) {
        if queue.rounds.back().is_none_or(|round| round.bytes >= ROUND_MOST) {
            queue.rounds.push_back(Round::default());
        }
        let last = queue.rounds.len() - 1;
        let round = &mut queue.rounds[last];
        let place = round.items.len() as u64;
        round.bytes += item.bytes();
        round.items.push(item);
        round.dones.extend(done.map(|(outlasts, done)| (place, outlasts, done)));
        (round.told.clone(), place)
    }

    /// Durable once this returns. Where nobody commits, this thread does so itself: that spares two switches.
    fn write(&self, item: Owned) -> Result<Seq, Error> {
        let (told, place, own) = {
            let mut queue = self.queue();
            if queue.ended {
                return Err(Error::Closed);
            }
            let (told, place) = self.put(&mut queue, item, None);
            let leads = !queue.committing && queue.rounds.len() == 1;
            queue.committing |= leads;
            (told, place, if leads { queue.rounds.pop_front() } else { None })
        };
        if let Some(round) = own {
            self.commit(round);
        }
        told.wait(place).map(|first| Seq(first.0 + place))
    }

    /// Commits a round, tells all who wait for it, and lets the next one begin.
    fn commit(&self, mut round: Round) {
        let (early, late): (Vec<_>, Vec<_>) =
            round.dones.drain(..).partition(|(_, outlasts, _)| *outlasts == Outlasts::Process);
        let mut early = Some(early);
        let items: Vec<Item> = round.items.iter().map(Owned::item).collect();
        let (result, due) = {
            let mut engine = self.engine();
            let written = |first| self.tell(&round.items, early.take().unwrap_or_default(), Ok(first));
            let result = engine.commit_telling((self.clock)(), &items, written);
            (result, Dues::of(&engine, self))
        };
        let count = items.len() as u64;
        self.counts.rounds.fetch_add(1, Relaxed);
        self.counts.batches.fetch_add(count, Relaxed);
        let first = result.map(|last| Seq(last.0 + 1 - count));
        let dones = early.into_iter().flatten().chain(late).collect();
        self.tell(&round.items, dones, first.clone());
        round.told.tell(first);
        let mut queue = self.queue();
        queue.committing = false;
        if !queue.rounds.is_empty() || queue.ended {
            self.work.notify_one();
        }
        drop(queue);
        self.tell_background(due);
    }

    fn tell(&self, items: &[Owned], dones: Vec<(u64, Outlasts, Done)>, first: Result<Seq, Error>) {
        for (place, _, done) in dones {
            self.counts.waiting.fetch_sub(items[place as usize].bytes(), Relaxed);
            done(first.clone().map(|first| Seq(first.0 + place)));
        }
    }

    fn tell_background(&self, due: Dues) {
        let Some(background) = self.background.get() else { return };
        if due.compact && !self.counts.compact.swap(true, SeqCst) {
            background.request(COMPACT);
        }
        if due.checkpoint && !self.counts.checkpoint.swap(true, SeqCst) {
            background.request(CHECKPOINT);
        }
        let now = self.begun.elapsed().as_micros() as u64;
        let last = self.counts.told.load(Relaxed);
        if now < last + EXPIRE_EVERY.0
            || self.counts.told.compare_exchange(last, now, Relaxed, Relaxed).is_err()
        {
            return;
        }
        if engine::read(&self.view).index.has_ending() {
            background.request(EXPIRE);
        }
    }

    fn found_damage(&self, error: &Error) {
        if let Error::Damaged(damage) = error {
            self.counts.damaged.store(true, Relaxed);
            self.damage.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(damage.clone());
        }
    }
}

impl Store {
    /// A store in a folder, locked against other processes; with a budget background work runs by itself.
    pub fn open(path: &Path, options: Options, clock: Clock, budget: Option<Whole>) -> Result<Store, Error> {
        let disk: Arc<dyn Disk> =
            if options.read_only { Arc::new(Folder::look(path)?) } else { Arc::new(Folder::lock(path)?) };
        Store::on(disk, options, clock, budget)
    }

    pub fn on(
        disk: Arc<dyn Disk>,
        options: Options,
        clock: Clock,
        budget: Option<Whole>,
    ) -> Result<Store, Error> {
        let engine = Engine::open(disk, options.clone())?;
        let shared = Arc::new(Shared {
            view: engine.view.clone(),
            engine: Mutex::new(engine),
            queue: Mutex::default(),
            work: Condvar::new(),
            background: OnceLock::new(),
            begun: Instant::now(),
            clock,
            options,
            counts: Counts::default(),
            damage: Mutex::default(),
        });
        let background = match budget.filter(|_| !shared.options.read_only) {
            Some(whole) => Some(background(&shared, whole).map_err(Error::io("starting a thread"))?),
            None => None,
        };
        if let Some(background) = &background {
            let _ = shared.background.set(background.requester());
        }
        let own = shared.clone();
        let thread = std::thread::Builder::new().name("store".into()).stack_size(256 << 10);
        let committer = thread.spawn(move || commit_all(&own));
        let committer = Some(committer.map_err(Error::io("starting a thread"))?);
        Ok(Store { shared, committer, background })
    }

    /// Durable once this returns.
    pub fn write(&self, batch: Batch) -> Result<Seq, Error> {
        batch.check()?;
        self.shared.write(Owned::Batch(batch))
    }

    /// Returns at once; `done` is called when the batch is durable or was refused.
    pub fn submit(&self, batch: Batch, done: Done) {
        self.submit_for(Outlasts::Machine, batch, done);
    }

    /// The same, with what the batch must outlast by then.
    pub fn submit_for(&self, outlasts: Outlasts, batch: Batch, done: Done) {
        if let Err(error) = batch.check() {
            done(Err(error));
            return;
        }
        let bytes = batch.bytes();
        let waiting = self.shared.counts.waiting.fetch_add(bytes, Relaxed);
        let mut queue = self.shared.queue();
        let refused = match () {
            () if queue.ended => Error::Closed,
            () if waiting > WAITING_MOST => Error::Busy(waiting),
            () => {
                self.shared.put(&mut queue, Owned::Batch(batch), Some((outlasts, done)));
                if !queue.committing {
                    self.shared.work.notify_one();
                }
                return;
            }
        };
        drop(queue);
        self.shared.counts.waiting.fetch_sub(bytes, Relaxed);
        done(Err(refused));
    }

    pub fn get(&self, space: &str, key: &[u8]) -> Result<Option<Vec<u8>>, Error> {
        let now = self.shared.now();
        let (entry, segment) = {
            let view = engine::read(&self.shared.view);
            let Some(entry) = view.index.get(space, key).filter(|entry| !entry.is_over(now)) else {
                return Ok(None);
            };
            (entry, view.segment(entry.segment)?)
        };
        segment.value(&entry).map(Some)
    }

    /// Keys and values of a space in order, from a key on, at most so many.
    pub fn scan(&self, space: &str, from: Bound<&[u8]>, most: usize) -> Result<Pairs, Error> {
        let now = self.shared.now();
        let found: Vec<(Vec<u8>, Entry, Arc<Segment>)> = {
            let view = engine::read(&self.shared.view);
            let scan = view.index.scan(space, from).filter(|(_, entry)| !entry.is_over(now)).take(most);
            let found = scan.map(|(key, entry)| Ok((key.to_vec(), entry, view.segment(entry.segment)?)));
            found.collect::<Result<_, Error>>()?
        };
        found.into_iter().map(|(key, entry, segment)| Ok((key, segment.value(&entry)?))).collect()
    }

    /// All that is durable now, and stays so while this is kept; costs a copy of the index.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { view: engine::read(&self.shared.view).clone(), now: self.shared.now() }
    }

    pub fn stats(&self) -> Stats {
        let shared = &self.shared;
        let counts = &shared.counts;
        let engine = shared.engine();
        let view = engine::read(&shared.view);
        let damage = shared.damage.lock().unwrap_or_else(PoisonError::into_inner);
        Stats {
            records: view.index.records(),
            spaces: view.index.spaces().map(|(name, records)| (name.to_owned(), records)).collect(),
            segments: view.segments.len(),
            log_bytes: engine.log_bytes(),
            live_bytes: view.index.live_bytes(),
            batches: counts.batches.load(Relaxed),
            rounds: counts.rounds.load(Relaxed),
            moved: counts.moved.load(Relaxed),
            compacted_segments: counts.compacted.load(Relaxed),
            checkpoints: counts.checkpoints.load(Relaxed),
            expired: counts.expired.load(Relaxed),
            verified_bytes: counts.verified.load(Relaxed),
            waiting_bytes: counts.waiting.load(Relaxed),
            next_batch: engine.position().next.0,
            read_only: engine.stopped().map(str::to_owned),
            damage: damage.as_ref().map(Damage::to_string),
            notes: engine.notes.clone(),
        }
    }

    /// What background work has done, and since when it has work left.
    pub fn backlogs(&self) -> Vec<(&'static str, Backlog)> {
        self.background.as_ref().map(Runner::backlogs).unwrap_or_default()
    }

    /// Has background work check all sealed segments.
    pub fn verify_soon(&self) {
        if let Some(background) = &self.background {
            background.requester().request(VERIFY);
        }
    }

    /// Checks all that counts, on this thread.
    pub fn verify(&self) -> Result<Checked, Error> {
        let parts = segments(&self.shared);
        let mut checked = Checked::default();
        for (segment, end) in parts {
            let mut at = crate::format::SEGMENT_HEAD as u64;
            while at < end {
                let walked = segment.walk(at, end, 1 << 20, |_, _, _| checked.records += 1)?;
                checked.bytes += walked.bytes;
                checked.batches += walked.batches;
                at = walked.next.unwrap_or(end);
            }
        }
        Ok(checked)
    }

    /// Compacts on this thread until nothing more is to be gained, whatever the log's length.
    pub fn compact(&self) -> Result<(), Error> {
        let last = {
            let mut engine = self.shared.engine();
            let now = (self.shared.clock)();
            engine.seal(now)?;
            engine.position().segment
        };
        let mut compactor = Compactor { shared: self.shared.clone(), at: None };
        while let Some((segment, end)) = compactor.oldest().filter(|(segment, _)| segment.id < last) {
            compactor.step(segment, end, 1 << 20)?;
        }
        Ok(())
    }

    /// Writes a checkpoint on this thread.
    pub fn checkpoint(&self) -> Result<(), Error> {
        let mut writer = begin_checkpoint(&self.shared)?;
        while writer.step(&self.shared.view, 1 << 20)?.1 {}
        finish_checkpoint(&self.shared, writer)
    }

    /// Ends well: all that was submitted is committed, and the run's end is marked.
    pub fn close(mut self) -> Result<(), Error> {
        self.end();
        self.mark()
    }

    /// Marks the end of a run for those that can't give the store up; whatever is written later goes on behind it.
    pub fn mark(&self) -> Result<(), Error> {
        let now = (self.shared.clock)();
        self.shared.engine().close(now)
    }

    fn end(&mut self) {
        self.background = None;
        self.shared.queue().ended = true;
        self.shared.work.notify_all();
        if let Some(committer) = self.committer.take() {
            let _ = committer.join();
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.end();
    }
}

/// What a check has gone through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Checked {
    pub bytes: u64,
    pub batches: u64,
    pub records: u64,
}

/// A view that doesn't change; segments that go meanwhile stay readable through it.
pub struct Snapshot {
    pub view: View,
    pub now: UnixTime,
}

impl Snapshot {
    pub fn export(&self, to: &mut dyn std::io::Write) -> Result<u64, Error> {
        export::export(&self.view, self.now, self.now.0 | 1, to)
    }
}

fn segments(shared: &Shared) -> Vec<(Arc<Segment>, u64)> {
    let engine = shared.engine();
    let view = engine::read(&shared.view);
    let position = engine.position();
    let parts = engine.sealed().chain([(position.segment, position.offset)]);
    parts.filter_map(|(id, end)| Some((view.segments.get(&id)?.clone(), end))).collect()
}

/// Commits what was submitted, and what came together while another thread committed.
fn commit_all(shared: &Shared) {
    loop {
        let mut queue = shared.queue();
        let round = loop {
            if !queue.committing {
                if let Some(round) = queue.rounds.pop_front() {
                    break round;
                }
                if queue.ended {
                    return;
                }
            }
            queue = shared.work.wait(queue).unwrap_or_else(PoisonError::into_inner);
        };
        queue.committing = true;
        drop(queue);
        shared.commit(round);
    }
}

/// What background work a round leaves to do.
struct Dues {
    compact: bool,
    checkpoint: bool,
}

fn space(engine: &Engine, shared: &Shared) -> Space {
    let view = engine::read(&shared.view);
    let position = engine.position();
    Space {
        sealed: engine.log_bytes() - position.offset,
        live: view.index.live_bytes() - view.index.live_in(position.segment),
        segments: view.segments.len(),
    }
}

impl Dues {
    fn of(engine: &Engine, shared: &Shared) -> Dues {
        let compact = space(engine, shared).is_due(shared.options.segment_bytes);
        let since = engine.since_checkpoint;
        let checkpoint = since > CHECKPOINT_LEAST.max(engine.log_bytes() / 2) && shared.options.checkpoints;
        Dues { compact: compact && !shared.counts.damaged.load(Relaxed), checkpoint }
    }
}

fn begin_checkpoint(shared: &Shared) -> Result<Writer, Error> {
    let (disk, from) = {
        let engine = shared.engine();
        (engine.disk.clone(), engine.position())
    };
    Writer::begin(disk, from)
}

fn finish_checkpoint(shared: &Shared, writer: Writer) -> Result<(), Error> {
    let to = shared.engine().position();
    writer.finish(to)?;
    shared.engine().since_checkpoint = 0;
    shared.counts.checkpoints.fetch_add(1, Relaxed);
    Ok(())
}

struct Compactor {
    shared: Arc<Shared>,
    /// Where the next step begins in the oldest segment.
    at: Option<(SegmentId, u64)>,
}

impl Compactor {
    fn oldest(&self) -> Option<(Arc<Segment>, u64)> {
        let (id, end) = self.shared.engine().sealed().next()?;
        Some((engine::read(&self.shared.view).segments.get(&id)?.clone(), end))
    }

    fn step(&mut self, segment: Arc<Segment>, end: u64, bytes: usize) -> Result<u64, Error> {
        let head = crate::format::SEGMENT_HEAD as u64;
        let start = self.at.filter(|(id, _)| *id == segment.id).map_or(head, |(_, at)| at);
        let now = self.shared.now();
        let (read, next) = if start < end && engine::read(&self.shared.view).index.live_in(segment.id) > 0 {
            let (moves, walked) = compaction::look(&segment, start, end, bytes, &self.shared.view, now)?;
            let moved: u64 = moves.iter().map(|moved| u64::from(moved.was.length)).sum();
            if !moves.is_empty() {
                self.shared.counts.moved.fetch_add(moves.len() as u64, Relaxed);
                self.shared.write(Owned::Moves(moves))?;
            }
            (walked.bytes + moved, walked.next)
        } else {
            (0, None)
        };
        self.at = next.map(|next| (segment.id, next));
        if next.is_none() {
            self.shared.engine().trim(now, segment.id)?;
            self.shared.counts.compacted.fetch_add(1, Relaxed);
        }
        Ok(read)
    }

    fn run(&mut self, bytes: usize) -> Result<Step, Error> {
        // Before it looks: what comes due after that asks anew. Guards against a notice lost between the two.
        self.shared.counts.compact.store(false, SeqCst);
        let (space, done) = {
            let engine = self.shared.engine();
            (space(&engine, &self.shared), engine.stopped().is_some())
        };
        let segment_bytes = self.shared.options.segment_bytes;
        if done || !space.is_due(segment_bytes) {
            return Ok(Step { bytes: 0, has_more: false });
        }
        let Some((segment, end)) = self.oldest() else { return Ok(Step { bytes: 0, has_more: false }) };
        let read = self.step(segment, end, bytes)?;
        Ok(Step { bytes: read, has_more: true })
    }
}

/// A step that failed ends its kind's work until it is wanted again; damage is kept for whoever asks.
fn told(shared: &Shared, result: Result<Step, Error>) -> Step {
    result.unwrap_or_else(|error| {
        shared.found_damage(&error);
        Step { bytes: 0, has_more: false }
    })
}

fn background(shared: &Arc<Shared>, whole: Whole) -> std::io::Result<Runner> {
    let mut compactor = Compactor { shared: shared.clone(), at: None };
    let compact: Work = Box::new(move |bytes| {
        let result = compactor.run(bytes);
        told(&compactor.shared, result)
    });
    let (own, mut writer) = (shared.clone(), None);
    let checkpoint: Work = Box::new(move |bytes| {
        let mut step = || {
            let mut now = match writer.take() {
                Some(writer) => writer,
                None => {
                    own.counts.checkpoint.store(false, SeqCst);
                    begin_checkpoint(&own)?
                }
            };
            let (bytes, has_more) = now.step(&own.view, bytes)?;
            if has_more {
                writer = Some(now);
            } else {
                finish_checkpoint(&own, now)?;
            }
            Ok(Step { bytes, has_more })
        };
        let result = step();
        told(&own, result)
    });
    let (own, mut place) = (shared.clone(), Place::None);
    let expire: Work = Box::new(move |_| {
        let now = own.now();
        let (over, next) = engine::write(&own.view).index.expire(now, &place, EXPIRE_AT_ONCE);
        own.counts.expired.fetch_add(over as u64, Relaxed);
        place = next;
        Step { bytes: (EXPIRE_AT_ONCE * 32) as u64, has_more: place.is_some() }
    });
    let (own, mut left) = (shared.clone(), None::<Vec<(Arc<Segment>, u64, u64)>>);
    let verify: Work = Box::new(move |bytes| {
        let head = crate::format::SEGMENT_HEAD as u64;
        let parts = left.get_or_insert_with(|| {
            segments(&own).into_iter().rev().map(|(segment, end)| (segment, head, end)).collect()
        });
        let mut step = || {
            let Some((segment, at, end)) = parts.pop().filter(|(_, at, end)| at < end) else {
                return Ok(Step { bytes: 0, has_more: !parts.is_empty() });
            };
            let walked = segment.walk(at, end, bytes, |_, _, _| {})?;
            own.counts.verified.fetch_add(walked.bytes, Relaxed);
            if let Some(next) = walked.next {
                parts.push((segment, next, end));
            }
            Ok(Step { bytes: walked.bytes, has_more: !parts.is_empty() })
        };
        let result = step();
        let step = told(&own, result);
        if !step.has_more {
            left = None;
        }
        step
    });
    let works = [compact, checkpoint, expire, verify];
    Runner::start(whole, kinds().into_iter().zip(works).collect())
}
