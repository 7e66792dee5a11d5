//! The crash explorer: a seeded run of rounds, compaction, checkpoints and restarts on a simulated disk, with a
//! crash before every call of the disk, also in recovery, and what is found afterwards held against a plain model.
use cherrypass::time::{Span, UnixTime};
use cherrypass_store::checkpoint::Writer;
use cherrypass_store::compaction;
use cherrypass_store::disk;
use cherrypass_store::engine::{self, Batch, Change, Engine, Item, Options};
use cherrypass_store::error::Error;
use cherrypass_store::format;
use cherrypass_store::simulated::{Call, Crash, Disk, Fate, Image};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use test_case::test_case;

type Model = BTreeMap<(String, Vec<u8>), Vec<u8>>;

/// A defence left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    LogSync,
    HeadSync,
    SegmentFolderSync,
    RecoverySync,
    RecoveryRewrite,
    RecoveryFolderSync,
    CutSync,
    CheckpointSync,
    CheckpointFolderSync,
    Checksums,
}

/// What the run has come to, as the watch of the disk's calls sees it.
#[derive(Default)]
struct Progress {
    states: Vec<Arc<Model>>,
    acknowledged: usize,
    submitted: usize,
    checkpointed: bool,
    recovering: bool,
    before: String,
}

struct Explorer {
    progress: Mutex<Progress>,
    without: Without,
    points: AtomicUsize,
    failure: Mutex<Option<String>>,
}

fn options(seed: u64) -> Options {
    Options { segment_bytes: 700, seed, ..Options::default() }
}

fn found(engine: &Engine, now: UnixTime) -> Result<Model, Error> {
    let view = engine::read(&engine.view);
    let mut model = Model::new();
    for (space, key, entry) in view.index.after(&None).filter(|(.., entry)| !entry.is_over(now)) {
        model.insert((space.to_owned(), key.to_vec()), view.segment(entry.segment)?.value(&entry)?);
    }
    Ok(model)
}

/// Reads as if every checksum were right.
struct Credulous(Disk);
struct CredulousFile(Arc<dyn disk::File>, bool);

impl disk::Disk for Credulous {
    fn names(&self) -> io::Result<Vec<String>> {
        self.0.names()
    }
    fn create(&self, name: &str) -> io::Result<Arc<dyn disk::File>> {
        self.0.create(name)
    }
    fn open(&self, name: &str) -> io::Result<Arc<dyn disk::File>> {
        Ok(Arc::new(CredulousFile(self.0.open(name)?, name.ends_with(".log"))))
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

impl disk::File for CredulousFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.0.write_at(offset, bytes)
    }
    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let mut all = disk::read_range(&*self.0, 0, self.0.length()? as usize)?;
        let head = format::SegmentHead::decode(&all).ok().filter(|_| self.1);
        let mut at = format::SEGMENT_HEAD;
        while let Some(head) = head.filter(|_| at < all.len()) {
            let Ok(length) = format::framed(&all[at..]) else { break };
            format::seal(&mut all[at..at + length], head.salt, at as u64);
            at += length;
        }
        let from = (offset as usize).min(all.len());
        let found = into.len().min(all.len() - from);
        into[..found].copy_from_slice(&all[from..from + found]);
        Ok(found)
    }
    fn length(&self) -> io::Result<u64> {
        self.0.length()
    }
    fn cut(&self, length: u64) -> io::Result<()> {
        self.0.cut(length)
    }
    fn sync(&self) -> io::Result<()> {
        self.0.sync()
    }
}

impl Explorer {
    fn skips(&self, image: &Image, call: Call, progress: &Progress) -> bool {
        let before = &progress.before[..];
        let log = |file: &str| file.ends_with(".log");
        let headed = |file: &str| image.bytes(file).is_some_and(|bytes| bytes.len() <= format::SEGMENT_HEAD);
        match (self.without, call) {
            (Without::LogSync, Call::Sync { file }) => log(file) && !headed(file) && !progress.recovering,
            (Without::HeadSync, Call::Sync { file }) => log(file) && headed(file) && !progress.recovering,
            (Without::SegmentFolderSync, Call::SyncFolder) => before == "sync" && !progress.recovering,
            (Without::RecoverySync, Call::Sync { .. }) => progress.recovering,
            (Without::RecoveryRewrite, Call::Write { .. }) => progress.recovering,
            (Without::RecoveryFolderSync, Call::SyncFolder) => progress.recovering,
            (Without::CutSync, Call::Sync { .. }) => before == "cut",
            (Without::CheckpointSync, Call::Sync { file }) => file.ends_with(".undone"),
            (Without::CheckpointFolderSync, Call::SyncFolder) => before == "rename",
            _ => false,
        }
    }

    fn open(&self, disk: Disk, seed: u64) -> Result<Engine, Error> {
        match self.without {
            Without::Checksums => Engine::open(Arc::new(Credulous(disk)), options(seed)),
            _ => Engine::open(Arc::new(disk), options(seed)),
        }
    }

    fn fail(&self, what: String) {
        self.failure.lock().unwrap().get_or_insert(what);
    }

    fn failed(&self) -> bool {
        self.failure.lock().unwrap().is_some()
    }

    /// Crashes here in several ways, starts anew each time, and once more in the midst of that.
    fn crash(&self, image: &Image, progress: &Progress, seed: u64, depth: usize) {
        let ways = [Crash::KeepAll, Crash::LoseAll, Crash::Torn, Crash::Sectors, Crash::Torn, Crash::Sectors];
        for (way, crash) in ways.into_iter().enumerate().skip(depth).take(6 - depth) {
            if self.failed() {
                return;
            }
            self.points.fetch_add(1, Relaxed);
            let seed = seed.wrapping_mul(31).wrapping_add(way as u64);
            // Where the process alone died, what was not synced may still go later.
            let alone = crash == Crash::KeepAll;
            let after = if alone { image.clone() } else { image.crashed(crash, seed) };
            let told = |what: String| {
                let calls =
                    format!("{crash:?}, {} of {} acknowledged", progress.acknowledged, progress.submitted);
                self.fail(format!(
                    "{what} ({calls}, before {}, seed {seed}, depth {depth})",
                    progress.before
                ));
            };
            if progress.checkpointed && !after.names().any(|name| name.ends_with(".checkpoint")) {
                told("a finished checkpoint is gone".into());
            }
            // Crashes in recovery and in the first round after it.
            let nested = Mutex::new(Vec::new());
            let share = Arc::new(nested);
            let own = share.clone();
            let deeper = depth < 2 && seed.is_multiple_of(if alone { 2 } else { 8 });
            let mut earlier = String::new();
            let watch = move |image: &Image, call: Call| {
                if deeper && !matches!(call, Call::Read { .. }) {
                    own.lock().unwrap().push((image.clone(), earlier.clone()));
                }
                earlier = word(&call).into();
                Fate::Well
            };
            let mut engine = match self.open(Disk::new(after, Some(Box::new(watch))), seed) {
                Ok(engine) => engine,
                Err(error) => return told(format!("no start: {error}")),
            };
            let in_recovery = share.lock().unwrap().len();
            if progress.checkpointed && engine.notes.iter().any(|note| note.contains("passed over")) {
                told(engine.notes.join("; "));
            }
            let now = engine.position().time;
            let model = match found(&engine, now) {
                Ok(model) => model,
                Err(error) => return told(format!("unreadable: {error}")),
            };
            let range = progress.acknowledged..=progress.submitted;
            let Some(place) = range.clone().find(|place| over(&progress.states[*place], now) == model) else {
                return told(format!(
                    "{model:?} is none of the states that may be; first {:?}",
                    over(&progress.states[progress.acknowledged], now)
                ));
            };
            if deeper {
                let batch = Batch::new().put("z", [depth as u8], [1]);
                let mut next = Model::clone(&progress.states[place]);
                apply(&mut next, &batch);
                if let Err(error) = engine.commit(now, &[Item::Batch(&batch)]) {
                    told(format!("no round after recovery: {error}"));
                }
                let inner = Progress {
                    states: vec![progress.states[place].clone(), Arc::new(next)],
                    acknowledged: 0,
                    submitted: 1,
                    ..Progress::default()
                };
                let images = std::mem::take(&mut *share.lock().unwrap());
                for (number, (image, before)) in images.into_iter().enumerate() {
                    // Until recovery is over, what was not acknowledged before it may still go.
                    let of = if number < in_recovery { progress } else { &inner };
                    let (acknowledged, submitted) = (0, of.submitted - of.acknowledged);
                    let states = of.states[of.acknowledged..=of.submitted].to_vec();
                    let (checkpointed, recovering) = (of.checkpointed, false);
                    let inner =
                        Progress { states, acknowledged, submitted, checkpointed, recovering, before };
                    self.crash(&image, &inner, seed.wrapping_add(number as u64 * 7919), depth + 1);
                }
            }
        }
    }
}

fn word(call: &Call) -> &'static str {
    match call {
        Call::Write { .. } => "write",
        Call::Cut { .. } => "cut",
        Call::Sync { .. } => "sync",
        Call::Create(_) => "create",
        Call::Rename(..) => "rename",
        Call::Remove(_) => "remove",
        Call::SyncFolder => "sync folder",
        Call::Read { .. } => "read",
    }
}

/// Values that end carry their end in front.
fn over(model: &Model, now: UnixTime) -> Model {
    let lasts = |value: &[u8]| match value.first_chunk::<9>() {
        Some([0xee, end @ ..]) => u64::from_le_bytes(*end) > now.0,
        _ => true,
    };
    model.iter().filter(|(_, value)| lasts(value)).map(|(key, value)| (key.clone(), value.clone())).collect()
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

fn batch(chance: &mut Pcg64Mcg, now: UnixTime) -> Batch {
    let mut batch = Batch::new();
    for _ in 0..chance.gen_range(1..4) {
        let space = ["a", "b"][chance.gen_range(0..2)];
        let key = vec![chance.gen_range(0..12u8)];
        let mut value = vec![0; chance.gen_range(0..90)];
        chance.fill(&mut value[..]);
        batch = match chance.gen_range(0..10) {
            0..=2 => batch.delete(space, key),
            3 => {
                let end = now + Span(chance.gen_range(1..40));
                value.splice(0..0, [&[0xee][..], &end.0.to_le_bytes()].concat());
                batch.put_until(space, key, value, end)
            }
            _ => batch.put(space, key, value),
        };
    }
    batch
}

/// One seeded run; returns what it found wrong.
fn explore(seed: u64, without: Without, faults: bool, rounds: usize) -> (usize, Option<String>) {
    let explorer = Arc::new(Explorer {
        progress: Mutex::new(Progress { states: vec![Arc::default()], ..Progress::default() }),
        without,
        points: AtomicUsize::new(0),
        failure: Mutex::default(),
    });
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut of_calls = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let own = explorer.clone();
    let watch = move |image: &Image, call: Call| {
        let mut progress = own.progress.lock().unwrap();
        let read = matches!(call, Call::Read { .. });
        if !read {
            own.crash(image, &progress, of_calls.gen(), 0);
        }
        let skipped = own.skips(image, call, &progress);
        if !read {
            progress.before = word(&call).into();
        }
        let often = if matches!(call, Call::Write { .. }) { 0.15 } else { 0.03 };
        let fault = faults && !progress.recovering && of_calls.gen_bool(often);
        match call {
            _ if skipped => Fate::Skipped,
            Call::Write { bytes, .. } if fault => {
                let taken = of_calls.gen_range(0..=bytes.len());
                [Fate::Short(taken.max(1)), Fate::Full(taken), Fate::Fails][of_calls.gen_range(0..3)]
            }
            Call::Sync { .. } | Call::SyncFolder | Call::Create(_) if fault => Fate::Fails,
            _ => Fate::Well,
        }
    };
    let disk = Disk::new(Image::default(), Some(Box::new(watch)));
    let mut now = UnixTime(1_000);
    let mut engine = explorer.open(disk.clone(), seed).unwrap();
    let mut restart = false;
    for round in 0..rounds {
        if explorer.failed() {
            break;
        }
        // The clock goes back now and then.
        now = if chance.gen_bool(0.1) { now - Span(3) } else { now + Span(chance.gen_range(0..4)) };
        match chance.gen_range(0..12) {
            0 => checkpoint(&explorer, &engine),
            1..=3 => {
                let at = now.max(engine.position().time);
                compact(&explorer, &mut engine, at, &mut chance);
            }
            4 => restart = true,
            _ => {
                let batches: Vec<Batch> =
                    (0..chance.gen_range(1..4)).map(|_| batch(&mut chance, now)).collect();
                let items: Vec<Item> = batches.iter().map(Item::Batch).collect();
                let _ = commit(&explorer, &mut engine, now, &items);
            }
        }
        if std::mem::take(&mut restart) || engine.stopped().is_some() {
            drop(engine);
            explorer.progress.lock().unwrap().recovering = true;
            engine = match explorer.open(disk.clone(), seed + round as u64) {
                Ok(engine) => engine,
                Err(error) => {
                    explorer.fail(format!("no start in round {round}: {error}"));
                    break;
                }
            };
            let at = engine.position().time;
            let model = found(&engine, at).unwrap_or_default();
            let mut progress = explorer.progress.lock().unwrap();
            progress.recovering = false;
            let range = progress.acknowledged..=progress.submitted;
            let Some(place) = range.clone().find(|place| over(&progress.states[*place], at) == model) else {
                drop(progress);
                explorer.fail(format!("round {round}: none of the states that may be"));
                break;
            };
            progress.states.truncate(place + 1);
            (progress.acknowledged, progress.submitted) = (place, place);
        }
    }
    let failure = explorer.failure.lock().unwrap().take();
    (explorer.points.load(Relaxed), failure)
}

fn checkpoint(explorer: &Explorer, engine: &Engine) {
    let written = Writer::begin(engine.disk.clone(), engine.position()).and_then(|mut writer| {
        while writer.step(&engine.view, 40)?.1 {}
        writer.finish(engine.position())
    });
    if written.is_ok() {
        explorer.progress.lock().unwrap().checkpointed = true;
    }
}

/// Commits a round and keeps the model in step with what came of it.
fn commit(explorer: &Explorer, engine: &mut Engine, now: UnixTime, items: &[Item]) -> Result<(), Error> {
    {
        let mut progress = explorer.progress.lock().unwrap();
        for item in items {
            let mut next = Model::clone(progress.states.last().unwrap());
            if let Item::Batch(batch) = item {
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
        // Refused: nothing of it may turn up later.
        Err(Error::Full(_)) => {
            let kept = progress.acknowledged;
            progress.states.truncate(kept + 1);
            progress.submitted = kept;
        }
        Err(_) => {}
    }
    result.map(|_| ())
}

fn compact(explorer: &Explorer, engine: &mut Engine, now: UnixTime, chance: &mut Pcg64Mcg) {
    let Some((id, end)) = engine.sealed().next() else { return };
    let segment = engine::read(&engine.view).segments[&id].clone();
    let mut at = format::SEGMENT_HEAD as u64;
    while at < end {
        let (moves, walked) =
            compaction::look(&segment, at, end, chance.gen_range(1..300), &engine.view, now).unwrap();
        // Keys are rewritten and deleted between the look and the move, and in the move's own round.
        let (before, beside) = (batch(chance, now), batch(chance, now));
        if chance.gen_bool(0.3) && commit(explorer, engine, now, &[Item::Batch(&before)]).is_err() {
            return;
        }
        let round = [Item::Batch(&beside), Item::Moves(&moves)];
        let round = if chance.gen_bool(0.3) { &round[..] } else { &round[1..] };
        if !moves.is_empty() && commit(explorer, engine, now, round).is_err() {
            return;
        }
        at = walked.next.unwrap_or(end);
    }
    let _ = engine.trim(now, id);
}

/// Plays so many seeds on several threads; the crash points done, and what the lowest seed found wrong.
fn run(without: Without, runs: usize, faults: bool) -> (usize, Option<String>) {
    let (next, done, first) = (AtomicUsize::new(0), AtomicUsize::new(0), Mutex::new(None::<(usize, String)>));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= runs || first.lock().unwrap().is_some() {
                    return;
                }
                let (found, failure) = explore(seed as u64, without, faults, 60);
                done.fetch_add(found, Relaxed);
                if let Some(what) = failure {
                    let mut first = first.lock().unwrap();
                    if first.as_ref().is_none_or(|(known, _)| seed < *known) {
                        *first = Some((seed, what));
                    }
                }
            });
        }
    });
    let failure = first.into_inner().unwrap().map(|(seed, what)| format!("run {seed}: {what}"));
    (done.into_inner(), failure)
}

#[test_case(false; "a disk that only crashes")]
#[test_case(true; "one that also fails")]
fn nothing_acknowledged_is_lost(faults: bool) {
    let (done, failure) = run(Without::Nothing, 6, faults);
    assert_eq!(failure, None);
    println!("{done} crash points");
    assert!(done >= 100_000, "{done} crash points");
}

#[test_case(Without::LogSync, false)]
#[test_case(Without::HeadSync, false)]
#[test_case(Without::SegmentFolderSync, false)]
#[test_case(Without::RecoverySync, true)]
#[test_case(Without::RecoveryRewrite, true)]
#[test_case(Without::RecoveryFolderSync, true)]
#[test_case(Without::CutSync, true)]
#[test_case(Without::CheckpointSync, false)]
#[test_case(Without::CheckpointFolderSync, false)]
#[test_case(Without::Checksums, false)]
fn a_defence_left_out_is_found(without: Without, faults: bool) {
    let (done, failure) = run(without, 40, faults);
    let failure = failure.unwrap_or_else(|| panic!("{without:?}: nothing found wrong at {done} points"));
    println!("{without:?} found after {done} points: {failure}");
}
