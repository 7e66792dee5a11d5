//! The crash explorer: seeded runs of commits, compaction, checkpoints and restarts on a simulated disk. It
//! crashes before every call of the disk, also during recovery, and compares the recovered state with a
//! model.
use cherrypass::time::{Span, UnixTime};
use cherrypass_store::checkpoint::Writer;
use cherrypass_store::compaction;
use cherrypass_store::disk;
use cherrypass_store::engine::{self, Batch, Change, CommitItem, Engine, Options};
use cherrypass_store::error::Error;
use cherrypass_store::format;
use cherrypass_store::simulated::{Call, CallOutcome, Crash, Disk, Image};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use test_case::test_case;

type Model = BTreeMap<(String, Vec<u8>), Vec<u8>>;

/// The safeguard of the store that a run disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledSafeguard {
    Nothing,
    LogSync,
    HeaderSync,
    SegmentFolderSync,
    RecoverySync,
    RecoveryRewrite,
    RecoveryFolderSync,
    TruncateSync,
    CheckpointSync,
    CheckpointFolderSync,
    Checksums,
}

/// The progress of a run, as the hook of the disk's calls sees it.
#[derive(Default)]
struct Progress {
    states: Vec<Arc<Model>>,
    acknowledged: usize,
    submitted: usize,
    has_checkpoint: bool,
    is_recovering: bool,
    last_call: String,
}

struct Explorer {
    progress: Mutex<Progress>,
    disabled: DisabledSafeguard,
    crash_points: AtomicUsize,
    failure: Mutex<Option<String>>,
}

fn options(seed: u64) -> Options {
    Options { segment_bytes: 700, seed, ..Options::default() }
}

fn read_model(engine: &Engine, now: UnixTime) -> Result<Model, Error> {
    let view = engine::read_view(&engine.view);
    let mut model = Model::new();
    for (space, key, entry) in view.index.records_after(&None).filter(|(.., entry)| !entry.is_expired(now)) {
        model.insert((space.to_owned(), key.to_vec()), view.segment(entry.segment)?.read_value(&entry)?);
    }
    Ok(model)
}

/// A disk that corrects the frame checksums of whatever it reads, as if the store did not verify them.
struct ChecksumFixingDisk(Disk);
/// A file of that disk; the flag says whether it is a segment.
struct ChecksumFixingFile(Arc<dyn disk::File>, bool);

impl disk::Disk for ChecksumFixingDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        self.0.names()
    }
    fn create(&self, name: &str) -> io::Result<Arc<dyn disk::File>> {
        self.0.create(name)
    }
    fn open(&self, name: &str) -> io::Result<Arc<dyn disk::File>> {
        Ok(Arc::new(ChecksumFixingFile(self.0.open(name)?, name.ends_with(".log"))))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_folder(&self) -> io::Result<()> {
        self.0.sync_folder()
    }
}

impl disk::File for ChecksumFixingFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.0.write_at(offset, bytes)
    }
    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let mut all = disk::read_range(&*self.0, 0, self.0.length()? as usize)?;
        let header = format::SegmentHeader::decode(&all).ok().filter(|_| self.1);
        let mut at = format::SEGMENT_HEADER_BYTES;
        while let Some(header) = header.filter(|_| at < all.len()) {
            let Ok(length) = format::frame_length(&all[at..]) else { break };
            format::write_frame_checksum(&mut all[at..at + length], header.salt, at as u64);
            at += length;
        }
        let from = (offset as usize).min(all.len());
        let count = into.len().min(all.len() - from);
        into[..count].copy_from_slice(&all[from..from + count]);
        Ok(count)
    }
    fn length(&self) -> io::Result<u64> {
        self.0.length()
    }
    fn truncate(&self, length: u64) -> io::Result<()> {
        self.0.truncate(length)
    }
    fn sync(&self) -> io::Result<()> {
        self.0.sync()
    }
}

impl Explorer {
    /// Whether the call belongs to the disabled safeguard.
    fn is_skipped(&self, image: &Image, call: Call, progress: &Progress) -> bool {
        let last_call = &progress.last_call[..];
        let is_segment = |file: &str| file.ends_with(".log");
        let has_header_only =
            |file: &str| image.bytes(file).is_some_and(|bytes| bytes.len() <= format::SEGMENT_HEADER_BYTES);
        match (self.disabled, call) {
            (DisabledSafeguard::LogSync, Call::Sync { file }) => {
                is_segment(file) && !has_header_only(file) && !progress.is_recovering
            }
            (DisabledSafeguard::HeaderSync, Call::Sync { file }) => {
                is_segment(file) && has_header_only(file) && !progress.is_recovering
            }
            (DisabledSafeguard::SegmentFolderSync, Call::SyncFolder) => {
                last_call == "sync" && !progress.is_recovering
            }
            (DisabledSafeguard::RecoverySync, Call::Sync { .. }) => progress.is_recovering,
            (DisabledSafeguard::RecoveryRewrite, Call::Write { .. }) => progress.is_recovering,
            (DisabledSafeguard::RecoveryFolderSync, Call::SyncFolder) => progress.is_recovering,
            (DisabledSafeguard::TruncateSync, Call::Sync { .. }) => last_call == "truncate",
            (DisabledSafeguard::CheckpointSync, Call::Sync { file }) => file.ends_with(".undone"),
            (DisabledSafeguard::CheckpointFolderSync, Call::SyncFolder) => last_call == "rename",
            _ => false,
        }
    }

    fn open(&self, disk: Disk, seed: u64) -> Result<Engine, Error> {
        match self.disabled {
            DisabledSafeguard::Checksums => Engine::open(Arc::new(ChecksumFixingDisk(disk)), options(seed)),
            _ => Engine::open(Arc::new(disk), options(seed)),
        }
    }

    fn fail(&self, description: String) {
        self.failure.lock().unwrap().get_or_insert(description);
    }

    fn failed(&self) -> bool {
        self.failure.lock().unwrap().is_some()
    }

    /// Crashes at this call in several ways, restarts after each, and again during that recovery.
    fn crash(&self, image: &Image, progress: &Progress, seed: u64, depth: usize) {
        let crashes =
            [Crash::KeepAll, Crash::LoseAll, Crash::Torn, Crash::Sectors, Crash::Torn, Crash::Sectors];
        for (index, crash) in crashes.into_iter().enumerate().skip(depth).take(6 - depth) {
            if self.failed() {
                return;
            }
            self.crash_points.fetch_add(1, Relaxed);
            let seed = seed.wrapping_mul(31).wrapping_add(index as u64);
            // After a crash of the process alone, unsynced data may still be lost later.
            let is_process_crash = crash == Crash::KeepAll;
            let after = if is_process_crash { image.clone() } else { image.after_crash(crash, seed) };
            let fail_here = |description: String| {
                let calls =
                    format!("{crash:?}, {} of {} acknowledged", progress.acknowledged, progress.submitted);
                self.fail(format!(
                    "{description} ({calls}, last call {}, seed {seed}, depth {depth})",
                    progress.last_call
                ));
            };
            if progress.has_checkpoint && !after.names().any(|name| name.ends_with(".checkpoint")) {
                fail_here("a finished checkpoint is missing".into());
            }
            // Crashes during recovery and in the first commit after it.
            let snapshots = Arc::new(Mutex::new(Vec::new()));
            let snapshots_of_hook = snapshots.clone();
            let goes_deeper = depth < 2 && seed.is_multiple_of(if is_process_crash { 2 } else { 8 });
            let mut previous_call = String::new();
            let hook = move |image: &Image, call: Call| {
                if goes_deeper && !matches!(call, Call::Read { .. }) {
                    snapshots_of_hook.lock().unwrap().push((image.clone(), previous_call.clone()));
                }
                previous_call = call_name(&call).into();
                CallOutcome::Success
            };
            let mut engine = match self.open(Disk::new(after, Some(Box::new(hook))), seed) {
                Ok(engine) => engine,
                Err(error) => return fail_here(format!("recovery failed: {error}")),
            };
            let recovery_snapshots = snapshots.lock().unwrap().len();
            if progress.has_checkpoint && engine.notes.iter().any(|note| note.contains("is ignored")) {
                fail_here(engine.notes.join("; "));
            }
            let now = engine.position().time;
            let model = match read_model(&engine, now) {
                Ok(model) => model,
                Err(error) => return fail_here(format!("unreadable: {error}")),
            };
            let range = progress.acknowledged..=progress.submitted;
            let Some(index) =
                range.clone().find(|index| without_expired(&progress.states[*index], now) == model)
            else {
                return fail_here(format!(
                    "{model:?} is none of the allowed states; the first of them is {:?}",
                    without_expired(&progress.states[progress.acknowledged], now)
                ));
            };
            if goes_deeper {
                let batch = Batch::new().put("z", [depth as u8], [1]);
                let mut next = Model::clone(&progress.states[index]);
                apply(&mut next, &batch);
                if let Err(error) = engine.commit(now, &[CommitItem::Batch(&batch)]) {
                    fail_here(format!("no commit after recovery: {error}"));
                }
                let inner = Progress {
                    states: vec![progress.states[index].clone(), Arc::new(next)],
                    acknowledged: 0,
                    submitted: 1,
                    ..Progress::default()
                };
                let images = std::mem::take(&mut *snapshots.lock().unwrap());
                for (number, (image, last_call)) in images.into_iter().enumerate() {
                    // Until recovery is complete, description was not acknowledged before it may still be lost.
                    let outer = if number < recovery_snapshots { progress } else { &inner };
                    let (acknowledged, submitted) = (0, outer.submitted - outer.acknowledged);
                    let states = outer.states[outer.acknowledged..=outer.submitted].to_vec();
                    let (has_checkpoint, is_recovering) = (outer.has_checkpoint, false);
                    let inner = Progress {
                        states,
                        acknowledged,
                        submitted,
                        has_checkpoint,
                        is_recovering,
                        last_call,
                    };
                    self.crash(&image, &inner, seed.wrapping_add(number as u64 * 7919), depth + 1);
                }
            }
        }
    }
}

fn call_name(call: &Call) -> &'static str {
    match call {
        Call::Write { .. } => "write",
        Call::Truncate { .. } => "truncate",
        Call::Sync { .. } => "sync",
        Call::Create(_) => "create",
        Call::Rename(..) => "rename",
        Call::Remove(_) => "remove",
        Call::SyncFolder => "sync folder",
        Call::Read { .. } => "read",
    }
}

/// The model without its expired values, which carry their expiry in front.
fn without_expired(model: &Model, now: UnixTime) -> Model {
    let is_live = |value: &[u8]| match value.first_chunk::<9>() {
        Some([0xee, end @ ..]) => u64::from_le_bytes(*end) > now.0,
        _ => true,
    };
    model
        .iter()
        .filter(|(_, value)| is_live(value))
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}

fn apply(model: &mut Model, batch: &Batch) {
    for change in &batch.changes {
        match change {
            Change::Put { space, key, value, .. } => {
                model.insert((space.clone(), key.clone()), value.clone());
            }
            Change::Delete { space, key } => {
                model.remove(&(space.clone(), key.clone()));
            }
        }
    }
}

fn batch(rng: &mut Pcg64Mcg, now: UnixTime) -> Batch {
    let mut batch = Batch::new();
    for _ in 0..rng.gen_range(1..4) {
        let space = ["a", "b"][rng.gen_range(0..2)];
        let key = vec![rng.gen_range(0..12u8)];
        let mut value = vec![0; rng.gen_range(0..90)];
        rng.fill(&mut value[..]);
        batch = match rng.gen_range(0..10) {
            0..=2 => batch.delete(space, key),
            3 => {
                let end = now + Span(rng.gen_range(1..40));
                value.splice(0..0, [&[0xee][..], &end.0.to_le_bytes()].concat());
                batch.put_until(space, key, value, end)
            }
            _ => batch.put(space, key, value),
        };
    }
    batch
}

/// One seeded run; returns the number of crash points and the first failure.
fn explore(
    seed: u64,
    disabled: DisabledSafeguard,
    with_faults: bool,
    rounds: usize,
) -> (usize, Option<String>) {
    let explorer = Arc::new(Explorer {
        progress: Mutex::new(Progress { states: vec![Arc::default()], ..Progress::default() }),
        disabled,
        crash_points: AtomicUsize::new(0),
        failure: Mutex::default(),
    });
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut call_rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let explorer_of_hook = explorer.clone();
    let hook = move |image: &Image, call: Call| {
        let mut progress = explorer_of_hook.progress.lock().unwrap();
        let is_read = matches!(call, Call::Read { .. });
        if !is_read {
            explorer_of_hook.crash(image, &progress, call_rng.gen(), 0);
        }
        let is_skipped = explorer_of_hook.is_skipped(image, call, &progress);
        if !is_read {
            progress.last_call = call_name(&call).into();
        }
        let fault_probability = if matches!(call, Call::Write { .. }) { 0.15 } else { 0.03 };
        let is_fault = with_faults && !progress.is_recovering && call_rng.gen_bool(fault_probability);
        match call {
            _ if is_skipped => CallOutcome::Ignored,
            Call::Write { bytes, .. } if is_fault => {
                let written = call_rng.gen_range(0..=bytes.len());
                [CallOutcome::ShortWrite(written.max(1)), CallOutcome::DiskFull(written), CallOutcome::Error]
                    [call_rng.gen_range(0..3)]
            }
            Call::Sync { .. } | Call::SyncFolder | Call::Create(_) if is_fault => CallOutcome::Error,
            _ => CallOutcome::Success,
        }
    };
    let disk = Disk::new(Image::default(), Some(Box::new(hook)));
    let mut now = UnixTime(1_000);
    let mut engine = explorer.open(disk.clone(), seed).unwrap();
    let mut restart = false;
    for round in 0..rounds {
        if explorer.failed() {
            break;
        }
        // The clock goes back sometimes.
        now = if rng.gen_bool(0.1) { now - Span(3) } else { now + Span(rng.gen_range(0..4)) };
        match rng.gen_range(0..12) {
            0 => checkpoint(&explorer, &engine),
            1..=3 => {
                let at = now.max(engine.position().time);
                compact(&explorer, &mut engine, at, &mut rng);
            }
            4 => restart = true,
            _ => {
                let batches: Vec<Batch> = (0..rng.gen_range(1..4)).map(|_| batch(&mut rng, now)).collect();
                let items: Vec<CommitItem> = batches.iter().map(CommitItem::Batch).collect();
                let _ = commit(&explorer, &mut engine, now, &items);
            }
        }
        if std::mem::take(&mut restart) || engine.read_only_reason().is_some() {
            drop(engine);
            explorer.progress.lock().unwrap().is_recovering = true;
            engine = match explorer.open(disk.clone(), seed + round as u64) {
                Ok(engine) => engine,
                Err(error) => {
                    explorer.fail(format!("recovery failed in round {round}: {error}"));
                    break;
                }
            };
            let at = engine.position().time;
            let model = read_model(&engine, at).unwrap_or_default();
            let mut progress = explorer.progress.lock().unwrap();
            progress.is_recovering = false;
            let range = progress.acknowledged..=progress.submitted;
            let Some(index) =
                range.clone().find(|index| without_expired(&progress.states[*index], at) == model)
            else {
                drop(progress);
                explorer.fail(format!("round {round}: the recovered state is none of the allowed ones"));
                break;
            };
            progress.states.truncate(index + 1);
            (progress.acknowledged, progress.submitted) = (index, index);
        }
    }
    let failure = explorer.failure.lock().unwrap().take();
    (explorer.crash_points.load(Relaxed), failure)
}

fn checkpoint(explorer: &Explorer, engine: &Engine) {
    let written = Writer::create(engine.disk.clone(), engine.position()).and_then(|mut writer| {
        while writer.step(&engine.view, 40)?.1 {}
        writer.finish(engine.position())
    });
    if written.is_ok() {
        explorer.progress.lock().unwrap().has_checkpoint = true;
    }
}

/// Commits items and updates the model according to the outcome.
fn commit(
    explorer: &Explorer,
    engine: &mut Engine,
    now: UnixTime,
    items: &[CommitItem],
) -> Result<(), Error> {
    {
        let mut progress = explorer.progress.lock().unwrap();
        for item in items {
            let mut next = Model::clone(progress.states.last().unwrap());
            if let CommitItem::Batch(batch) = item {
                apply(&mut next, batch);
            }
            progress.states.push(Arc::new(next));
        }
        progress.submitted = progress.states.len() - 1;
    }
    let result = engine.commit(now, items);
    let mut progress = explorer.progress.lock().unwrap();
    match &result {
        Ok(_) => progress.acknowledged = progress.submitted,
        // Rejected: nothing of it may reappear later.
        Err(Error::DiskFull(_)) => {
            let kept = progress.acknowledged;
            progress.states.truncate(kept + 1);
            progress.submitted = kept;
        }
        Err(_) => {}
    }
    result.map(|_| ())
}

fn compact(explorer: &Explorer, engine: &mut Engine, now: UnixTime, rng: &mut Pcg64Mcg) {
    let Some((id, end)) = engine.sealed_segments().next() else { return };
    let segment = engine::read_view(&engine.view).segments[&id].clone();
    let mut at = format::SEGMENT_HEADER_BYTES as u64;
    while at < end {
        let (moves, walked) =
            compaction::find_live_records(&segment, at, end, rng.gen_range(1..300), &engine.view, now)
                .unwrap();
        // Change keys between the search for live records and their move, and in the same commit as the move.
        let (earlier_batch, same_commit_batch) = (batch(rng, now), batch(rng, now));
        if rng.gen_bool(0.3) && commit(explorer, engine, now, &[CommitItem::Batch(&earlier_batch)]).is_err() {
            return;
        }
        let items = [CommitItem::Batch(&same_commit_batch), CommitItem::Moves(&moves)];
        let items = if rng.gen_bool(0.3) { &items[..] } else { &items[1..] };
        if !moves.is_empty() && commit(explorer, engine, now, items).is_err() {
            return;
        }
        at = walked.next_offset.unwrap_or(end);
    }
    let _ = engine.trim(now, id);
}

/// Runs seeds on several threads; returns the number of crash points and the failure of the lowest failed
/// seed.
fn run(disabled: DisabledSafeguard, runs: usize, with_faults: bool) -> (usize, Option<String>) {
    let (next, crash_points, first) =
        (AtomicUsize::new(0), AtomicUsize::new(0), Mutex::new(None::<(usize, String)>));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= runs || first.lock().unwrap().is_some() {
                    return;
                }
                let (points, failure) = explore(seed as u64, disabled, with_faults, 60);
                crash_points.fetch_add(points, Relaxed);
                if let Some(description) = failure {
                    let mut first = first.lock().unwrap();
                    if first.as_ref().is_none_or(|(known, _)| seed < *known) {
                        *first = Some((seed, description));
                    }
                }
            });
        }
    });
    let failure = first.into_inner().unwrap().map(|(seed, description)| format!("run {seed}: {description}"));
    (crash_points.into_inner(), failure)
}

#[test_case(false; "a disk that only crashes")]
#[test_case(true; "a disk that also fails")]
fn nothing_acknowledged_is_lost(with_faults: bool) {
    let (crash_points, failure) = run(DisabledSafeguard::Nothing, 6, with_faults);
    assert_eq!(failure, None);
    println!("{crash_points} crash points");
    assert!(crash_points >= 100_000, "{crash_points} crash points");
}

#[test_case(DisabledSafeguard::LogSync, false)]
#[test_case(DisabledSafeguard::HeaderSync, false)]
#[test_case(DisabledSafeguard::SegmentFolderSync, false)]
#[test_case(DisabledSafeguard::RecoverySync, true)]
#[test_case(DisabledSafeguard::RecoveryRewrite, true)]
#[test_case(DisabledSafeguard::RecoveryFolderSync, true)]
#[test_case(DisabledSafeguard::TruncateSync, true)]
#[test_case(DisabledSafeguard::CheckpointSync, false)]
#[test_case(DisabledSafeguard::CheckpointFolderSync, false)]
#[test_case(DisabledSafeguard::Checksums, false)]
fn a_disabled_safeguard_is_detected(disabled: DisabledSafeguard, with_faults: bool) {
    let (crash_points, failure) = run(disabled, 40, with_faults);
    let failure =
        failure.unwrap_or_else(|| panic!("{disabled:?}: no failure at {crash_points} crash points"));
    println!("{disabled:?} detected after {crash_points} crash points: {failure}");
}
