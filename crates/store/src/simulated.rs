//! An in-memory disk that simulates crashes, for tests. It tracks what has been synced; after a crash,
//! unsynced data may be lost, kept, torn at any byte or kept in some sectors only, with stale bytes in
//! others, and unsynced changes of names may be undone. Calls can be made to fail.
use crate::disk;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const SECTOR: usize = 512;

/// A call of the disk, as passed to the hook before it is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    Write { file: &'a str, offset: u64, bytes: &'a [u8] },
    Truncate { file: &'a str, length: u64 },
    Sync { file: &'a str },
    Create(&'a str),
    Rename(&'a str, &'a str),
    Remove(&'a str),
    SyncFolder,
    Read { file: &'a str },
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Success,
    /// Reports success without doing anything.
    Ignored,
    /// A write writes only this many bytes and reports that.
    ShortWrite(usize),
    /// A write writes this many bytes, then the disk is full.
    DiskFull(usize),
    /// The call fails. After a failed sync, later syncs do not cover the affected data, as with real page
    /// caches.
    Error,
}

/// Called before each call of the disk with the state of the disk; decides what happens to the call.
pub type CallHook = Box<dyn FnMut(&Image, Call) -> CallOutcome + Send>;

#[derive(Clone, Debug, Default)]
struct FileContent {
    name: String,
    current: Vec<u8>,
    /// The content that survives any crash.
    synced: Vec<u8>,
    /// Byte ranges written since the last sync.
    unsynced: Vec<(usize, usize)>,
    /// Byte ranges whose sync failed: no later sync covers them unless they are written again.
    sync_failed: Vec<(usize, usize)>,
    /// The content before a truncation that is not synced; a crash may restore it.
    before_truncate: Option<Vec<u8>>,
}

impl FileContent {
    fn sync(&mut self) {
        let mut result = self.current.clone();
        for (from, to) in &self.sync_failed {
            for at in *from..(*to).min(result.len()) {
                result[at] = self.synced.get(at).copied().unwrap_or(0);
            }
        }
        (self.synced, self.unsynced, self.before_truncate) = (result, Vec::new(), None);
    }

    fn mark_written(&mut self, from: usize, to: usize) {
        self.unsynced.push((from, to));
        let split = |(a, b): (usize, usize)| [(a, b.min(from)), (a.max(to), b)];
        let left = self.sync_failed.drain(..).flat_map(split).filter(|(a, b)| a < b).collect();
        self.sync_failed = left;
    }
}

#[derive(Clone, Debug)]
enum NameChange {
    Set(String, usize),
    Removed(String),
    Renamed(String, String, usize),
}

/// The state of a disk, synced or not.
#[derive(Clone, Debug, Default)]
pub struct Image {
    files: BTreeMap<usize, FileContent>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    next_id: usize,
    /// Bytes of removed files, which sectors that were never written may contain after a crash.
    removed_bytes: Vec<u8>,
}

/// What happens to unsynced data in a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Only the process crashes; nothing is lost.
    KeepAll,
    /// All unsynced data and name changes are lost.
    LoseAll,
    /// Files end at any byte of the unsynced data; a prefix of the unsynced name changes is kept.
    Torn,
    /// Any sectors and any name changes are kept; other sectors have their old content, zeros or stale bytes.
    Sectors,
}

impl Image {
    /// The current content of a file.
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        self.names.get(name).map(|id| &self.files[id].current[..])
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.keys().map(String::as_str)
    }

    /// A copy with the content of one file replaced, all of it synced.
    pub fn with_file(&self, name: &str, bytes: Vec<u8>) -> Image {
        let mut image = self.after_crash(Crash::KeepAll, 0);
        let id = image.names.get(name).copied().unwrap_or(image.next_id);
        let (synced, current) = (bytes.clone(), bytes);
        let content = FileContent { name: name.to_owned(), synced, current, ..FileContent::default() };
        image.files.insert(id, content);
        image.names.insert(name.to_owned(), id);
        image.synced_names = image.names.clone();
        image.next_id = image.next_id.max(id + 1);
        image
    }

    pub fn without_file(&self, name: &str) -> Image {
        let mut image = self.after_crash(Crash::KeepAll, 0);
        image.names.remove(name);
        image.synced_names.remove(name);
        image
    }

    /// The state of the disk after a crash, all of it synced.
    pub fn after_crash(&self, crash: Crash, seed: u64) -> Image {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut names = self.synced_names.clone();
        let kept_changes = match crash {
            Crash::KeepAll => self.unsynced_names.len(),
            Crash::LoseAll => 0,
            Crash::Torn | Crash::Sectors => rng.gen_range(0..=self.unsynced_names.len()),
        };
        for (index, change) in self.unsynced_names.iter().enumerate() {
            let take = if crash == Crash::Sectors { rng.gen() } else { index < kept_changes };
            match change {
                _ if !take => {}
                NameChange::Set(name, id) => drop(names.insert(name.clone(), *id)),
                NameChange::Removed(name) => drop(names.remove(name)),
                NameChange::Renamed(from, to, id) => {
                    names.remove(from);
                    names.insert(to.clone(), *id);
                }
            }
        }
        let files = self.files.iter().filter(|(id, _)| names.values().any(|named| named == *id));
        let files = files.map(|(id, content)| {
            let current = content.after_crash(crash, &self.removed_bytes, &mut rng);
            (
                *id,
                FileContent {
                    name: content.name.clone(),
                    synced: current.clone(),
                    current,
                    ..FileContent::default()
                },
            )
        });
        let files = files.collect();
        Image {
            files,
            synced_names: names.clone(),
            names,
            unsynced_names: Vec::new(),
            next_id: self.next_id,
            removed_bytes: self.removed_bytes.clone(),
        }
    }
}

impl FileContent {
    fn after_crash(&self, crash: Crash, removed_bytes: &[u8], rng: &mut Pcg64Mcg) -> Vec<u8> {
        let is_synced = self.unsynced.is_empty()
            && self.sync_failed.is_empty()
            && self.current.len() == self.synced.len();
        match (crash, &self.before_truncate) {
            (Crash::Torn | Crash::Sectors, Some(before_truncate)) if rng.gen() => {
                return before_truncate.clone()
            }
            _ => {}
        }
        match crash {
            Crash::KeepAll => self.current.clone(),
            _ if is_synced => self.synced.clone(),
            Crash::LoseAll => self.synced.clone(),
            Crash::Torn => {
                // The data appended is kept up to some byte.
                let mut result = self.synced.clone();
                let end = rng.gen_range(self.synced.len().min(self.current.len())..=self.current.len());
                result.truncate(end);
                result.extend_from_slice(&self.current[result.len()..end]);
                result
            }
            Crash::Sectors => {
                let (low, high) =
                    (self.current.len().min(self.synced.len()), self.current.len().max(self.synced.len()));
                let length = rng.gen_range(low..=high);
                let mut result = vec![0; length];
                for from in (0..length).step_by(SECTOR) {
                    let to = (from + SECTOR).min(length);
                    let is_unsynced = self.unsynced.iter().any(|(a, b)| *a < to && from < *b);
                    let source = if is_unsynced && rng.gen() { &self.current } else { &self.synced };
                    let stored = source.get(from..to.min(source.len())).unwrap_or(&[]);
                    result[from..from + stored.len()].copy_from_slice(stored);
                    // A part of the file that was allocated but never written.
                    let unwritten = &mut result[from + stored.len()..to];
                    if !unwritten.is_empty() && removed_bytes.len() > unwritten.len() && rng.gen() {
                        let at = rng.gen_range(0..removed_bytes.len() - unwritten.len());
                        unwritten.copy_from_slice(&removed_bytes[at..at + unwritten.len()]);
                    }
                }
                result
            }
        }
    }
}

struct State {
    image: Image,
    hook: Option<CallHook>,
}

/// The simulated disk; clones share its state.
#[derive(Clone)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    pub fn new(image: Image, hook: Option<CallHook>) -> Disk {
        Disk(Arc::new(Mutex::new(State { image, hook })))
    }

    pub fn image(&self) -> Image {
        self.state().image.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn outcome_of(&mut self, call: Call) -> CallOutcome {
        match &mut self.hook {
            Some(hook) => hook(&self.image, call),
            None => CallOutcome::Success,
        }
    }

    /// Carries out a call that either succeeds as a whole or fails.
    fn run_call(&mut self, call: Call, then: impl FnOnce(&mut Image) -> io::Result<()>) -> io::Result<()> {
        match self.outcome_of(call) {
            CallOutcome::Success | CallOutcome::ShortWrite(_) => then(&mut self.image),
            CallOutcome::Ignored => Ok(()),
            CallOutcome::DiskFull(_) => Err(io::ErrorKind::StorageFull.into()),
            CallOutcome::Error => Err(io::Error::other("injected failure")),
        }
    }
}

/// An open file of the simulated disk.
struct FileHandle {
    disk: Disk,
    id: usize,
}

impl FileHandle {
    fn name(&self, state: &State) -> String {
        state.image.files.get(&self.id).map(|content| content.name.clone()).unwrap_or_default()
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl disk::File for FileHandle {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.disk.state();
        let name = self.name(&state);
        let outcome = state.outcome_of(Call::Write { file: &name, offset, bytes });
        let written = match outcome {
            CallOutcome::Success => bytes.len(),
            CallOutcome::Ignored => return Ok(bytes.len()),
            CallOutcome::ShortWrite(limit) | CallOutcome::DiskFull(limit) => limit.min(bytes.len()),
            CallOutcome::Error => 0,
        };
        let content = state.image.files.get_mut(&self.id).ok_or_else(not_found)?;
        let (from, to) = (offset as usize, offset as usize + written);
        if written > 0 {
            let length = content.current.len().max(to);
            content.current.resize(length, 0);
            content.current[from..to].copy_from_slice(&bytes[..written]);
            content.mark_written(from, to);
        }
        match outcome {
            CallOutcome::DiskFull(_) => Err(io::ErrorKind::StorageFull.into()),
            CallOutcome::Error => Err(io::Error::other("injected failure")),
            _ => Ok(written),
        }
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let mut state = self.disk.state();
        let name = self.name(&state);
        if let CallOutcome::Error = state.outcome_of(Call::Read { file: &name }) {
            return Err(io::Error::other("injected failure"));
        }
        let content = state.image.files.get(&self.id).ok_or_else(not_found)?;
        let from = (offset as usize).min(content.current.len());
        let count = into.len().min(content.current.len() - from);
        into[..count].copy_from_slice(&content.current[from..from + count]);
        Ok(count)
    }

    fn length(&self) -> io::Result<u64> {
        Ok(self.disk.state().image.files.get(&self.id).ok_or_else(not_found)?.current.len() as u64)
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        let name = self.name(&state);
        let id = self.id;
        state.run_call(Call::Truncate { file: &name, length }, |image| {
            let content = image.files.get_mut(&id).ok_or_else(not_found)?;
            let before = content.current.clone();
            content.current.resize(length as usize, 0);
            content.before_truncate.get_or_insert(before);
            Ok(())
        })
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        let name = self.name(&state);
        let id = self.id;
        let synced = state.run_call(Call::Sync { file: &name }, |image| {
            let content = image.files.get_mut(&id).ok_or_else(not_found)?;
            content.sync();
            Ok(())
        });
        if synced.is_err() {
            // The data of a failed sync is lost, so that a retry only seems to succeed.
            if let Some(content) = state.image.files.get_mut(&id) {
                let unsynced = std::mem::take(&mut content.unsynced);
                content.sync_failed.extend(unsynced);
            }
        }
        synced
    }
}

impl disk::Disk for Disk {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.state().image.names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn disk::File>> {
        let mut state = self.state();
        if state.image.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let id = state.image.next_id;
        state.run_call(Call::Create(name), |image| {
            image.next_id += 1;
            image.files.insert(id, FileContent { name: name.to_owned(), ..FileContent::default() });
            image.names.insert(name.to_owned(), id);
            image.unsynced_names.push(NameChange::Set(name.to_owned(), id));
            Ok(())
        })?;
        Ok(Arc::new(FileHandle { disk: self.clone(), id }))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn disk::File>> {
        let id = *self.state().image.names.get(name).ok_or_else(not_found)?;
        Ok(Arc::new(FileHandle { disk: self.clone(), id }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.state().run_call(Call::Rename(from, to), |image| {
            let id = image.names.remove(from).ok_or_else(not_found)?;
            image.names.insert(to.to_owned(), id);
            image.unsynced_names.push(NameChange::Renamed(from.to_owned(), to.to_owned(), id));
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.state().run_call(Call::Remove(name), |image| {
            let id = image.names.remove(name).ok_or_else(not_found)?;
            let bytes = image.files.get(&id).map(|content| content.current.clone()).unwrap_or_default();
            image.removed_bytes.extend_from_slice(&bytes);
            let excess = image.removed_bytes.len().saturating_sub(8 * SECTOR);
            image.removed_bytes.drain(..excess);
            image.unsynced_names.push(NameChange::Removed(name.to_owned()));
            Ok(())
        })
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.state().run_call(Call::SyncFolder, |image| {
            image.synced_names = image.names.clone();
            image.unsynced_names.clear();
            Ok(())
        })
    }
}
