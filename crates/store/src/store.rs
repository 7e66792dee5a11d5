//! The store as programs use it: group commit of batches from any number of threads, reads of the durable
//! state, and background work within a budget.
use crate::checkpoint::Writer;
use crate::compaction::{self, LogUsage};
use crate::disk::{Disk, Folder};
use crate::engine::{self, Batch, CommitItem, Engine, MovedRecord, Options};
use crate::error::{Damage, Error};
use crate::export;
use crate::format::{SegmentId, Seq};
use crate::index::{Cursor, Entry, Segment, View};
use cherrypass::time::{Span, UnixTime};
use cherrypass_background::runner::{Requester, Runner, Step, Work};
use cherrypass_background::schedule::{Backlog, Kind, KindId, WorkBudget};
use std::collections::VecDeque;
use std::ops::Bound;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::thread::JoinHandle;
use std::time::Instant;

/// The time source of a store.
pub type Clock = Arc<dyn Fn() -> UnixTime + Send + Sync>;
/// Called on the committing thread once a batch is durable or has been rejected; other commits wait for it.
pub type CommitCallback = Box<dyn FnOnce(Result<Seq, Error>) + Send>;
pub type KeyValues = Vec<(Vec<u8>, Vec<u8>)>;

/// The crash that a batch must survive before its writer is notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// A crash of the process. The batch is still synced soon after.
    Process,
    /// A crash of the machine.
    Machine,
}

/// Batches are rejected while more than this many bytes wait for the disk.
const MAX_PENDING_BYTES: usize = 32 << 20;
/// A commit group that has reached this size takes no more items.
const MAX_GROUP_BYTES: usize = 4 << 20;
/// A checkpoint is due once this much was logged since the last one, or half of the log if that is more.
const MIN_CHECKPOINT_LOG_BYTES: u64 = 4 << 20;
/// The shortest time between two requests for expiry.
const EXPIRY_INTERVAL: Span = Span::millis(10);
const EXPIRY_STEP_RECORDS: usize = 4096;

const COMPACTION: KindId = KindId(0);
const CHECKPOINT: KindId = KindId(1);
const EXPIRY: KindId = KindId(2);
const VERIFICATION: KindId = KindId(3);

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

/// The default budget of background work.
pub const DEFAULT_WORK_BUDGET: WorkBudget = WorkBudget {
    bytes_per_second: 32e6,
    core_share: 0.2,
    max_step_time: Span::millis(2),
    max_step_bytes: 128 << 10,
};

enum QueuedItem {
    Batch(Batch),
    Moves(Vec<MovedRecord>),
}

impl QueuedItem {
    fn item(&self) -> CommitItem<'_> {
        match self {
            QueuedItem::Batch(batch) => CommitItem::Batch(batch),
            QueuedItem::Moves(moves) => CommitItem::Moves(moves),
        }
    }

    fn bytes(&self) -> usize {
        match self {
            QueuedItem::Batch(batch) => batch.bytes(),
            QueuedItem::Moves(moves) => moves.iter().map(|record| record.old_entry.length as usize).sum(),
        }
    }
}

/// The result of a commit group: the number of its first batch. Waiting threads are spread over several
/// locks, so that they don't contend for one as they wake.
#[derive(Default)]
struct GroupResult {
    result: OnceLock<Result<Seq, Error>>,
    wait_slots: [(Mutex<()>, Condvar); 8],
}

impl GroupResult {
    fn wait(&self, index: u64) -> Result<Seq, Error> {
        let (lock, condvar) = &self.wait_slots[index as usize % self.wait_slots.len()];
        let mut guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(result) = self.result.get() {
                return result.clone();
            }
            guard = condvar.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Sets the result and wakes all waiting threads.
    fn publish(&self, result: Result<Seq, Error>) {
        let _ = self.result.set(result);
        for (lock, condvar) in &self.wait_slots {
            drop(lock.lock());
            condvar.notify_all();
        }
    }
}

/// Items that are committed with one write and one sync.
#[derive(Default)]
struct CommitGroup {
    items: Vec<QueuedItem>,
    callbacks: Vec<(u64, Durability, CommitCallback)>,
    bytes: usize,
    result: Arc<GroupResult>,
}

/// The commit groups that wait for the disk.
#[derive(Default)]
struct Queue {
    groups: VecDeque<CommitGroup>,
    is_committing: bool,
    is_closed: bool,
}

#[derive(Default)]
struct Counters {
    pending_bytes: AtomicUsize,
    batches: AtomicU64,
    groups: AtomicU64,
    moved_records: AtomicU64,
    compacted_segments: AtomicU64,
    checkpoints: AtomicU64,
    expired: AtomicU64,
    verified_bytes: AtomicU64,
    /// Whether background work has found damage; compaction stops then.
    is_damaged: AtomicBool,
    /// Whether compaction or a checkpoint has been requested and has not started since.
    compaction_requested: AtomicBool,
    checkpoint_requested: AtomicBool,
    /// When expiry was last requested, in microseconds since the store was opened.
    expiry_requested_at: AtomicU64,
}

struct Shared {
    engine: Mutex<Engine>,
    queue: Mutex<Queue>,
    commit_ready: Condvar,
    background: OnceLock<Requester>,
    opened_at: Instant,
    view: Arc<RwLock<View>>,
    clock: Clock,
    options: Options,
    counters: Counters,
    damage: Mutex<Option<Damage>>,
}

/// The contents of a store, and counts of its work since it was opened.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Stats {
    pub records: usize,
    pub spaces: Vec<(String, usize)>,
    pub segments: usize,
    pub log_bytes: u64,
    pub live_bytes: u64,
    pub batches: u64,
    #[serde(rename = "rounds")]
    pub commit_groups: u64,
    #[serde(rename = "moved")]
    pub moved_records: u64,
    pub compacted_segments: u64,
    pub checkpoints: u64,
    pub expired: u64,
    pub verified_bytes: u64,
    #[serde(rename = "waiting_bytes")]
    pub pending_bytes: usize,
    pub next_batch: u64,
    pub read_only: Option<String>,
    pub damage: Option<String>,
    pub notes: Vec<String>,
}

/// An open store; it may be shared between threads.
pub struct Store {
    shared: Arc<Shared>,
    committer: Option<JoinHandle<()>>,
    background: Option<Runner>,
}

impl Shared {
    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current time, but not before that of the last batch, so that expired records don't reappear when
    /// the clock goes back.
    fn now(&self) -> UnixTime {
        (self.clock)().max(engine::read_view(&self.view).time)
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an item to the last group, or to a new one if that is full; returns the group's result and the
    /// item's index in the group.
    fn enqueue(
        &self,
        queue: &mut Queue,
        item: QueuedItem,
        done: Option<(Durability, CommitCallback)>,
    ) -> (Arc<GroupResult>, u64) {
        if queue.groups.back().is_none_or(|group| group.bytes >= MAX_GROUP_BYTES) {
            queue.groups.push_back(CommitGroup::default());
        }
        let last = queue.groups.len() - 1;
        let group = &mut queue.groups[last];
        let index = group.items.len() as u64;
        group.bytes += item.bytes();
        group.items.push(item);
        group.callbacks.extend(done.map(|(durability, done)| (index, durability, done)));
        (group.result.clone(), index)
    }

    /// Commits an item and waits until it is durable. If no commit is running, this thread commits it
    /// directly, which avoids two context switches.
    fn commit_item(&self, item: QueuedItem) -> Result<Seq, Error> {
        let (result, index, group) = {
            let mut queue = self.queue();
            if queue.is_closed {
                return Err(Error::Closed);
            }
            let (result, index) = self.enqueue(&mut queue, item, None);
            let is_leader = !queue.is_committing && queue.groups.len() == 1;
            queue.is_committing |= is_leader;
            (result, index, if is_leader { queue.groups.pop_front() } else { None })
        };
        if let Some(group) = group {
            self.commit(group);
        }
        result.wait(index).map(|first_seq| Seq(first_seq.0 + index))
    }

    /// Commits a group, notifies its writers and lets the next commit begin.
    fn commit(&self, mut group: CommitGroup) {
        let (after_write, after_sync): (Vec<_>, Vec<_>) =
            group.callbacks.drain(..).partition(|(_, durability, _)| *durability == Durability::Process);
        let mut after_write = Some(after_write);
        let items: Vec<CommitItem> = group.items.iter().map(QueuedItem::item).collect();
        let (result, due_work) = {
            let mut engine = self.engine();
            let on_written = |first_seq| {
                self.run_callbacks(&group.items, after_write.take().unwrap_or_default(), Ok(first_seq))
            };
            let result = engine.commit_with_callback((self.clock)(), &items, on_written);
            (result, DueWork::of(&engine, self))
        };
        let count = items.len() as u64;
        self.counters.groups.fetch_add(1, Relaxed);
        self.counters.batches.fetch_add(count, Relaxed);
        let first_seq = result.map(|last| Seq(last.0 + 1 - count));
        let callbacks = after_write.into_iter().flatten().chain(after_sync).collect();
        self.run_callbacks(&group.items, callbacks, first_seq.clone());
        group.result.publish(first_seq);
        let mut queue = self.queue();
        queue.is_committing = false;
        if !queue.groups.is_empty() || queue.is_closed {
            self.commit_ready.notify_one();
        }
        drop(queue);
        self.request_background_work(due_work);
    }

    fn run_callbacks(
        &self,
        items: &[QueuedItem],
        callbacks: Vec<(u64, Durability, CommitCallback)>,
        first_seq: Result<Seq, Error>,
    ) {
        for (index, _, done) in callbacks {
            self.counters.pending_bytes.fetch_sub(items[index as usize].bytes(), Relaxed);
            done(first_seq.clone().map(|first_seq| Seq(first_seq.0 + index)));
        }
    }

    fn request_background_work(&self, due_work: DueWork) {
        let Some(background) = self.background.get() else { return };
        if due_work.compaction && !self.counters.compaction_requested.swap(true, SeqCst) {
            background.request(COMPACTION);
        }
        if due_work.checkpoint && !self.counters.checkpoint_requested.swap(true, SeqCst) {
            background.request(CHECKPOINT);
        }
        let now = self.opened_at.elapsed().as_micros() as u64;
        let last = self.counters.expiry_requested_at.load(Relaxed);
        if now < last + EXPIRY_INTERVAL.0
            || self.counters.expiry_requested_at.compare_exchange(last, now, Relaxed, Relaxed).is_err()
        {
            return;
        }
        if engine::read_view(&self.view).index.has_expiring() {
            background.request(EXPIRY);
        }
    }

    fn record_damage(&self, error: &Error) {
        if let Error::Damaged(damage) = error {
            self.counters.is_damaged.store(true, Relaxed);
            self.damage.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(damage.clone());
        }
    }
}

impl Store {
    /// Opens the store in a folder and locks it against other processes. Background work runs if a budget is
    /// given.
    pub fn open(
        path: &Path,
        options: Options,
        clock: Clock,
        budget: Option<WorkBudget>,
    ) -> Result<Store, Error> {
        let disk: Arc<dyn Disk> = if options.read_only {
            Arc::new(Folder::open_read_only(path)?)
        } else {
            Arc::new(Folder::lock(path)?)
        };
        Store::open_on(disk, options, clock, budget)
    }

    /// Opens the store on a disk. Background work runs if a budget is given.
    pub fn open_on(
        disk: Arc<dyn Disk>,
        options: Options,
        clock: Clock,
        budget: Option<WorkBudget>,
    ) -> Result<Store, Error> {
        let engine = Engine::open(disk, options.clone())?;
        let shared = Arc::new(Shared {
            view: engine.view.clone(),
            engine: Mutex::new(engine),
            queue: Mutex::default(),
            commit_ready: Condvar::new(),
            background: OnceLock::new(),
            opened_at: Instant::now(),
            clock,
            options,
            counters: Counters::default(),
            damage: Mutex::default(),
        });
        let background = match budget.filter(|_| !shared.options.read_only) {
            Some(budget) => Some(start_background(&shared, budget).map_err(Error::io("starting a thread"))?),
            None => None,
        };
        if let Some(background) = &background {
            let _ = shared.background.set(background.requester());
        }
        let state = shared.clone();
        let thread = std::thread::Builder::new().name("store".into()).stack_size(256 << 10);
        let committer = thread.spawn(move || commit_all(&state));
        let committer = Some(committer.map_err(Error::io("starting a thread"))?);
        Ok(Store { shared, committer, background })
    }

    /// Writes a batch; it is durable once this returns.
    pub fn write(&self, batch: Batch) -> Result<Seq, Error> {
        batch.check()?;
        self.shared.commit_item(QueuedItem::Batch(batch))
    }

    /// Queues a batch and returns at once; `done` is called when the batch is durable or has been rejected.
    pub fn submit(&self, batch: Batch, done: CommitCallback) {
        self.submit_with(Durability::Machine, batch, done);
    }

    /// Like `submit`, with the crash that the batch must survive before `done` is called.
    pub fn submit_with(&self, durability: Durability, batch: Batch, done: CommitCallback) {
        if let Err(error) = batch.check() {
            done(Err(error));
            return;
        }
        let bytes = batch.bytes();
        let pending = self.shared.counters.pending_bytes.fetch_add(bytes, Relaxed);
        let mut queue = self.shared.queue();
        let rejection = match () {
            () if queue.is_closed => Error::Closed,
            () if pending > MAX_PENDING_BYTES => Error::QueueFull(pending),
            () => {
                self.shared.enqueue(&mut queue, QueuedItem::Batch(batch), Some((durability, done)));
                if !queue.is_committing {
                    self.shared.commit_ready.notify_one();
                }
                return;
            }
        };
        drop(queue);
        self.shared.counters.pending_bytes.fetch_sub(bytes, Relaxed);
        done(Err(rejection));
    }

    /// The value of a key, unless it is missing or expired.
    pub fn get(&self, space: &str, key: &[u8]) -> Result<Option<Vec<u8>>, Error> {
        let now = self.shared.now();
        let (entry, segment) = {
            let view = engine::read_view(&self.shared.view);
            let Some(entry) = view.index.get(space, key).filter(|entry| !entry.is_expired(now)) else {
                return Ok(None);
            };
            (entry, view.segment(entry.segment)?)
        };
        segment.read_value(&entry).map(Some)
    }

    /// Up to `limit` keys and values of a space in order, from a bound on.
    pub fn scan(&self, space: &str, from: Bound<&[u8]>, limit: usize) -> Result<KeyValues, Error> {
        let now = self.shared.now();
        let found: Vec<(Vec<u8>, Entry, Arc<Segment>)> = {
            let view = engine::read_view(&self.shared.view);
            let scan = view.index.scan(space, from).filter(|(_, entry)| !entry.is_expired(now)).take(limit);
            let found = scan.map(|(key, entry)| Ok((key.to_vec(), entry, view.segment(entry.segment)?)));
            found.collect::<Result<_, Error>>()?
        };
        found.into_iter().map(|(key, entry, segment)| Ok((key, segment.read_value(&entry)?))).collect()
    }

    /// A consistent view of all that is durable now; costs a copy of the index.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { view: engine::read_view(&self.shared.view).clone(), now: self.shared.now() }
    }

    pub fn stats(&self) -> Stats {
        let shared = &self.shared;
        let counters = &shared.counters;
        let engine = shared.engine();
        let view = engine::read_view(&shared.view);
        let damage = shared.damage.lock().unwrap_or_else(PoisonError::into_inner);
        Stats {
            records: view.index.records(),
            spaces: view.index.spaces().map(|(name, records)| (name.to_owned(), records)).collect(),
            segments: view.segments.len(),
            log_bytes: engine.log_bytes(),
            live_bytes: view.index.live_bytes(),
            batches: counters.batches.load(Relaxed),
            commit_groups: counters.groups.load(Relaxed),
            moved_records: counters.moved_records.load(Relaxed),
            compacted_segments: counters.compacted_segments.load(Relaxed),
            checkpoints: counters.checkpoints.load(Relaxed),
            expired: counters.expired.load(Relaxed),
            verified_bytes: counters.verified_bytes.load(Relaxed),
            pending_bytes: counters.pending_bytes.load(Relaxed),
            next_batch: engine.position().next_seq.0,
            read_only: engine.read_only_reason().map(str::to_owned),
            damage: damage.as_ref().map(Damage::to_string),
            notes: engine.notes.clone(),
        }
    }

    /// The pending and completed background work of each kind.
    pub fn backlogs(&self) -> Vec<(&'static str, Backlog)> {
        self.background.as_ref().map(Runner::backlogs).unwrap_or_default()
    }

    /// Requests a check of all valid data by the background thread.
    pub fn request_verification(&self) {
        if let Some(background) = &self.background {
            background.requester().request(VERIFICATION);
        }
    }

    /// Checks all valid data on this thread.
    pub fn verify(&self) -> Result<VerifyReport, Error> {
        let ranges = valid_ranges(&self.shared);
        let mut report = VerifyReport::default();
        for (segment, end) in ranges {
            let mut at = crate::format::SEGMENT_HEADER_BYTES as u64;
            while at < end {
                let walk = segment.walk(at, end, 1 << 20, |_, _, _| report.records += 1)?;
                report.bytes += walk.bytes;
                report.batches += walk.batches;
                at = walk.next_offset.unwrap_or(end);
            }
        }
        Ok(report)
    }

    /// Compacts all sealed segments on this thread, whether compaction is due or not.
    pub fn compact(&self) -> Result<(), Error> {
        let last = {
            let mut engine = self.shared.engine();
            let now = (self.shared.clock)();
            engine.seal(now)?;
            engine.position().segment
        };
        let mut compactor = Compactor { shared: self.shared.clone(), next_position: None };
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

    /// Commits all submitted batches, marks a clean end of the run and closes the store.
    pub fn close(mut self) -> Result<(), Error> {
        self.shut_down();
        self.write_end_mark()
    }

    /// Marks a clean end of the run without closing the store; later batches are appended after the mark.
    pub fn write_end_mark(&self) -> Result<(), Error> {
        let now = (self.shared.clock)();
        self.shared.engine().write_end_mark(now)
    }

    fn shut_down(&mut self) {
        self.background = None;
        self.shared.queue().is_closed = true;
        self.shared.commit_ready.notify_all();
        if let Some(committer) = self.committer.take() {
            let _ = committer.join();
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// What a check has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct VerifyReport {
    pub bytes: u64,
    pub batches: u64,
    pub records: u64,
}

/// An immutable view; it can still read segments that are removed meanwhile.
pub struct Snapshot {
    pub view: View,
    pub now: UnixTime,
}

impl Snapshot {
    /// Writes the view's records as an export; returns their number.
    pub fn export(&self, to: &mut dyn std::io::Write) -> Result<u64, Error> {
        export::export(&self.view, self.now, self.now.0 | 1, to)
    }
}

/// All segments, each with the end of its valid data.
fn valid_ranges(shared: &Shared) -> Vec<(Arc<Segment>, u64)> {
    let engine = shared.engine();
    let view = engine::read_view(&shared.view);
    let position = engine.position();
    let ranges = engine.sealed_segments().chain([(position.segment, position.offset)]);
    ranges.filter_map(|(id, end)| Some((view.segments.get(&id)?.clone(), end))).collect()
}

/// The committing thread: commits submitted batches, and groups that formed while another thread committed.
fn commit_all(shared: &Shared) {
    loop {
        let mut queue = shared.queue();
        let group = loop {
            if !queue.is_committing {
                if let Some(group) = queue.groups.pop_front() {
                    break group;
                }
                if queue.is_closed {
                    return;
                }
            }
            queue = shared.commit_ready.wait(queue).unwrap_or_else(PoisonError::into_inner);
        };
        queue.is_committing = true;
        drop(queue);
        shared.commit(group);
    }
}

/// The background work that is due after a commit.
struct DueWork {
    compaction: bool,
    checkpoint: bool,
}

fn log_usage(engine: &Engine, shared: &Shared) -> LogUsage {
    let view = engine::read_view(&shared.view);
    let position = engine.position();
    LogUsage {
        sealed_bytes: engine.log_bytes() - position.offset,
        live_bytes: view.index.live_bytes() - view.index.live_in(position.segment),
        segments: view.segments.len(),
    }
}

impl DueWork {
    fn of(engine: &Engine, shared: &Shared) -> DueWork {
        let is_compaction_due = log_usage(engine, shared).is_compaction_due(shared.options.segment_bytes);
        let bytes_logged = engine.bytes_since_checkpoint;
        let checkpoint = bytes_logged > MIN_CHECKPOINT_LOG_BYTES.max(engine.log_bytes() / 2)
            && shared.options.use_checkpoints;
        DueWork { compaction: is_compaction_due && !shared.counters.is_damaged.load(Relaxed), checkpoint }
    }
}

fn begin_checkpoint(shared: &Shared) -> Result<Writer, Error> {
    let (disk, start) = {
        let engine = shared.engine();
        (engine.disk.clone(), engine.position())
    };
    Writer::create(disk, start)
}

fn finish_checkpoint(shared: &Shared, writer: Writer) -> Result<(), Error> {
    let end = shared.engine().position();
    writer.finish(end)?;
    shared.engine().bytes_since_checkpoint = 0;
    shared.counters.checkpoints.fetch_add(1, Relaxed);
    Ok(())
}

/// Compacts the oldest segment in steps.
struct Compactor {
    shared: Arc<Shared>,
    /// Where the next step starts in the oldest segment.
    next_position: Option<(SegmentId, u64)>,
}

impl Compactor {
    fn oldest(&self) -> Option<(Arc<Segment>, u64)> {
        let (id, end) = self.shared.engine().sealed_segments().next()?;
        Some((engine::read_view(&self.shared.view).segments.get(&id)?.clone(), end))
    }

    fn step(&mut self, segment: Arc<Segment>, end: u64, max_bytes: usize) -> Result<u64, Error> {
        let first_offset = crate::format::SEGMENT_HEADER_BYTES as u64;
        let start =
            self.next_position.filter(|(id, _)| *id == segment.id).map_or(first_offset, |(_, offset)| offset);
        let now = self.shared.now();
        let (bytes_read, next_offset) =
            if start < end && engine::read_view(&self.shared.view).index.live_in(segment.id) > 0 {
                let (moves, walk) =
                    compaction::find_live_records(&segment, start, end, max_bytes, &self.shared.view, now)?;
                let moved_bytes: u64 = moves.iter().map(|record| u64::from(record.old_entry.length)).sum();
                if !moves.is_empty() {
                    self.shared.counters.moved_records.fetch_add(moves.len() as u64, Relaxed);
                    self.shared.commit_item(QueuedItem::Moves(moves))?;
                }
                (walk.bytes + moved_bytes, walk.next_offset)
            } else {
                (0, None)
            };
        self.next_position = next_offset.map(|offset| (segment.id, offset));
        if next_offset.is_none() {
            self.shared.engine().trim(now, segment.id)?;
            self.shared.counters.compacted_segments.fetch_add(1, Relaxed);
        }
        Ok(bytes_read)
    }

    fn run(&mut self, bytes: usize) -> Result<Step, Error> {
        // Cleared before the check, so that a request made during the check is not lost.
        self.shared.counters.compaction_requested.store(false, SeqCst);
        let (usage, is_read_only) = {
            let engine = self.shared.engine();
            (log_usage(&engine, &self.shared), engine.read_only_reason().is_some())
        };
        let segment_bytes = self.shared.options.segment_bytes;
        if is_read_only || !usage.is_compaction_due(segment_bytes) {
            return Ok(Step { bytes: 0, has_more: false });
        }
        let Some((segment, end)) = self.oldest() else { return Ok(Step { bytes: 0, has_more: false }) };
        let bytes_read = self.step(segment, end, bytes)?;
        Ok(Step { bytes: bytes_read, has_more: true })
    }
}

/// After an error the kind's work stops until it is requested again. Damage is recorded.
fn step_or_stop(shared: &Shared, result: Result<Step, Error>) -> Step {
    result.unwrap_or_else(|error| {
        shared.record_damage(&error);
        Step { bytes: 0, has_more: false }
    })
}

fn start_background(shared: &Arc<Shared>, budget: WorkBudget) -> std::io::Result<Runner> {
    let mut compactor = Compactor { shared: shared.clone(), next_position: None };
    let compact: Work = Box::new(move |bytes| {
        let result = compactor.run(bytes);
        step_or_stop(&compactor.shared, result)
    });
    let (state, mut writer) = (shared.clone(), None);
    let checkpoint: Work = Box::new(move |bytes| {
        let mut step = || {
            let mut current = match writer.take() {
                Some(writer) => writer,
                None => {
                    state.counters.checkpoint_requested.store(false, SeqCst);
                    begin_checkpoint(&state)?
                }
            };
            let (bytes, has_more) = current.step(&state.view, bytes)?;
            if has_more {
                writer = Some(current);
            } else {
                finish_checkpoint(&state, current)?;
            }
            Ok(Step { bytes, has_more })
        };
        let result = step();
        step_or_stop(&state, result)
    });
    let (state, mut cursor) = (shared.clone(), Cursor::None);
    let expire: Work = Box::new(move |_| {
        let now = state.now();
        let (expired, next) =
            engine::write_view(&state.view).index.remove_expired(now, &cursor, EXPIRY_STEP_RECORDS);
        state.counters.expired.fetch_add(expired as u64, Relaxed);
        cursor = next;
        Step { bytes: (EXPIRY_STEP_RECORDS * 32) as u64, has_more: cursor.is_some() }
    });
    let (state, mut remaining) = (shared.clone(), None::<Vec<(Arc<Segment>, u64, u64)>>);
    let verify: Work = Box::new(move |bytes| {
        let first_offset = crate::format::SEGMENT_HEADER_BYTES as u64;
        let ranges = remaining.get_or_insert_with(|| {
            valid_ranges(&state)
                .into_iter()
                .rev()
                .map(|(segment, end)| (segment, first_offset, end))
                .collect()
        });
        let mut step = || {
            let Some((segment, at, end)) = ranges.pop().filter(|(_, at, end)| at < end) else {
                return Ok(Step { bytes: 0, has_more: !ranges.is_empty() });
            };
            let walk = segment.walk(at, end, bytes, |_, _, _| {})?;
            state.counters.verified_bytes.fetch_add(walk.bytes, Relaxed);
            if let Some(next) = walk.next_offset {
                ranges.push((segment, next, end));
            }
            Ok(Step { bytes: walk.bytes, has_more: !ranges.is_empty() })
        };
        let result = step();
        let step = step_or_stop(&state, result);
        if !step.has_more {
            remaining = None;
        }
        step
    });
    let work = [compact, checkpoint, expire, verify];
    Runner::start(budget, kinds().into_iter().zip(work).collect())
}
