//! What must last, between the router and the store: records go out as the decisions of `cherrypass_keep` say, and
//! what the store makes of them comes back as messages. It never waits for the disk.
use crate::clock;
use crate::inbox::Input;
use cherrypass::ids::VisitId;
use cherrypass::settings::Settings;
use cherrypass::time::Span;
use cherrypass_background::schedule::Whole;
use cherrypass_keep::purges::{self, Purge};
use cherrypass_keep::records::Record;
use cherrypass_keep::versions::{self, Version};
use cherrypass_keep::visits::{self, Taken, Visits};
use cherrypass_operator as operator;
use cherrypass_store::engine::{Batch, Options};
use cherrypass_store::error::Error;
use cherrypass_store::store::{Outlasts, Store, BUDGET};
use crossbeam_channel::Sender;
use std::ops::Bound;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

/// Groups of objects, by the protocol.
const GROUPS: u32 = 256;
const ALL: usize = usize::MAX;

/// The store as the dispatcher's threads share it; a store that can't be opened is none.
#[derive(Clone)]
pub struct Kept {
    store: Option<Arc<Store>>,
    pub set: operator::Store,
    /// Whether the log has told that the store takes nothing.
    failing: Arc<AtomicBool>,
}

/// A store that is written to, its salts not those of any run before.
pub fn options(segment_kb: u64) -> Options {
    let seed = clock::unix().0 ^ u64::from(std::process::id()) << 40;
    Options { segment_bytes: segment_kb * 1024, seed, ..Options::default() }
}

#[cfg(not(feature = "faults"))]
fn open(dir: &Path, options: Options, budget: Whole) -> Result<Store, Error> {
    Store::open(dir, options, Arc::new(clock::unix), Some(budget))
}

/// Over a disk that lies where the environment orders it.
#[cfg(feature = "faults")]
fn open(dir: &Path, options: Options, budget: Whole) -> Result<Store, Error> {
    let disk = cherrypass_peers::disk::over(cherrypass_store::disk::Folder::lock(dir)?);
    Store::on(disk, options, Arc::new(clock::unix), Some(budget))
}

impl Kept {
    /// Opens the store; where that fails a line says why, and what goes without it is for the settings to say.
    pub fn open(set: operator::Store) -> Kept {
        let (bytes_a_second, time_share) = (set.background.bytes_per_s, set.background.core_share);
        let budget = Whole { bytes_a_second, time_share, ..BUDGET };
        let store = match open(&set.dir, options(set.segment_kb), budget) {
            Ok(store) => {
                let stats = store.stats();
                let (records, bytes) = (stats.records, stats.log_bytes / 1024);
                tracing::info!("store: {} with {records} records, {bytes} kB of log", set.dir.display());
                stats.notes.iter().for_each(|note| tracing::info!("store: {note}"));
                store.verify_soon();
                Some(Arc::new(store))
            }
            Err(error) => {
                tracing::error!("store: {} can't be used: {error}; serving without it", set.dir.display());
                None
            }
        };
        Kept::with(store, set)
    }

    pub fn with(store: Option<Arc<Store>>, set: operator::Store) -> Kept {
        Kept { store, set, failing: Arc::default() }
    }

    pub fn store(&self) -> Option<Arc<Store>> {
        self.store.clone()
    }

    /// A planned end.
    pub fn end(&self) {
        match self.store.as_ref().map(|store| store.mark()) {
            Some(Err(error)) => tracing::warn!("store: its end can't be marked: {error}"),
            Some(Ok(())) => tracing::info!("store: closed"),
            None => {}
        }
    }

    fn values(&self, space: &str) -> Option<Vec<(Vec<u8>, Vec<u8>)>> {
        let store = self.store.as_ref()?;
        match store.scan(space, Bound::Unbounded, ALL) {
            Ok(values) => Some(values),
            Err(error) => {
                tracing::error!("store: {space} can't be read: {error}");
                None
            }
        }
    }

    fn submit(&self, outlasts: Outlasts, records: Vec<Record>, then: impl FnOnce(bool) + Send + 'static) {
        let Some(store) = &self.store else { return then(false) };
        let batch =
            records.into_iter().fold(Batch::new(), |batch, record| match (record.value, record.expires_at) {
                (Some(value), Some(until)) => batch.put_until(record.space, record.key, value, until),
                (Some(value), None) => batch.put(record.space, record.key, value),
                (None, _) => batch.delete(record.space, record.key),
            });
        let failing = self.failing.clone();
        let done = move |result: Result<_, Error>| {
            match &result {
                Ok(_) if failing.swap(false, Relaxed) => tracing::info!("store: takes records again"),
                Err(error) if !failing.swap(true, Relaxed) => {
                    tracing::warn!("store: takes no records: {error}")
                }
                _ => {}
            }
            then(result.is_ok());
        };
        store.submit_for(outlasts, batch, Box::new(done));
    }

    /// A configuration is in force from now on.
    pub fn in_force(&self, source: &Path, text: &[u8]) {
        let Some(values) = self.values(versions::SPACE) else { return };
        let known = versions::decode_all(values.iter().map(|(_, value)| &value[..]));
        let source = source.display().to_string();
        let records =
            versions::activation_records(&known, &source, text, clock::unix(), self.set.max_configurations);
        if !records.is_empty() {
            self.submit(Outlasts::Machine, records, |_| {});
        }
    }

    /// The last configuration that was good.
    pub fn last_good(&self) -> Option<Version> {
        let values = self.values(versions::SPACE)?;
        versions::decode_all(values.iter().map(|(_, value)| &value[..])).pop()
    }
}

/// What a start knows of the purges before it.
pub enum Replayed {
    Purges(Vec<Purge>),
    /// There may have been any; each of so many groups counts as purged now.
    Unknown {
        groups: u32,
    },
}

impl Replayed {
    fn count(&self) -> usize {
        match self {
            Replayed::Purges(purges) => purges.len(),
            Replayed::Unknown { groups } => *groups as usize,
        }
    }
}

/// The router's part of it.
pub struct Keeper {
    kept: Kept,
    pub visits: Visits,
    memory: Span,
    own: Sender<Input>,
}

impl Keeper {
    /// What is known from before, and the purges that the module is to be told.
    pub fn start(kept: Kept, settings: &Settings, own: Sender<Input>) -> (Keeper, Replayed) {
        let (now, memory) = (clock::unix(), settings.purge_memory().max(purges::MIN_RETENTION));
        let known = kept.values(purges::SPACE);
        let purges = match &known {
            Some(values) => {
                Replayed::Purges(purges::replay(now, values.iter().map(|(_, value)| &value[..]), memory))
            }
            None if kept.set.unknown_purges == operator::UnknownPurges::Distrust => {
                tracing::warn!(
                    "store: the purges before this start are unknown; every copy counts as purged"
                );
                Replayed::Unknown { groups: GROUPS }
            }
            None => Replayed::Purges(Vec::new()),
        };
        let records = kept.values(visits::SPACE).unwrap_or_default();
        let records = records.iter().map(|(key, value)| (&key[..], &value[..]));
        let go_on = kept.set.without_record == operator::WithoutRecord::Send;
        let visits = Visits::restore(now, records, kept.set.visit_retention, go_on);
        let may_have_run = visits.unresolved().count();
        tracing::info!("store: {} purges told anew, {may_have_run} visits may have run", purges.count());
        for (name, told) in visits.unresolved().filter(|(_, told)| told.memory.is_none()) {
            let name = String::from_utf8_lossy(name);
            tracing::warn!(
                "store: visit {name} of {} may have run at {}, sent {}",
                told.band,
                told.host_name,
                told.at
            );
        }
        (Keeper { kept, visits, memory, own }, purges)
    }

    pub fn records_hand_offs(&self) -> bool {
        self.kept.set.hand_offs != operator::HandOffs::Off
    }

    pub fn purged(&self, purge: &Purge) {
        if let Some(record) = purges::record(clock::unix(), purge, self.memory) {
            self.kept.submit(Outlasts::Machine, vec![record], |_| {});
        }
    }

    /// Has a hand-off's record written; the router hears what came of it.
    pub fn record(&self, id: crate::ids::HandOffId, record: Record) {
        let outlasts = match self.kept.set.hand_offs {
            operator::HandOffs::Synced => Outlasts::Machine,
            _ => Outlasts::Process,
        };
        let own = self.own.clone();
        self.kept.submit(outlasts, vec![record], move |kept| {
            let taken = if kept { Taken::Kept } else { Taken::Refused };
            let _ = own.send(Input::Recorded(id, taken));
        });
    }

    pub fn closed(&mut self, id: VisitId, settled: bool) {
        if let Some(record) = self.visits.close(id, settled) {
            self.kept.submit(Outlasts::Process, vec![record], |_| {});
        }
    }

    pub fn sweep(&mut self) {
        self.visits.remove_expired(clock::unix());
        let refused = self.visits.take_refused_count();
        if refused > 0 {
            tracing::warn!("store: {refused} hand-offs had no record");
        }
    }
}
