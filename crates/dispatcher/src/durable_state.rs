//! Durable state: writes the records that `cherrypass_keep` decides on to the store, and reports the results
//! to the router as messages. Never waits for the disk.
use crate::clock;
use crate::inbox::Input;
use cherrypass::ids::VisitId;
use cherrypass::settings::Settings;
use cherrypass::time::Span;
use cherrypass_background::schedule::WorkBudget;
use cherrypass_keep::purges::{self, Purge};
use cherrypass_keep::records::Record;
use cherrypass_keep::versions::{self, Version};
use cherrypass_keep::visits::{self, Visits, WriteResult};
use cherrypass_operator as operator;
use cherrypass_store::engine::{Batch, Options};
use cherrypass_store::error::Error;
use cherrypass_store::store::{Durability, Store, DEFAULT_WORK_BUDGET};
use crossbeam_channel::Sender;
use std::ops::Bound;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

/// Number of object groups in the protocol.
const GROUP_COUNT: u32 = 256;
const NO_LIMIT: usize = usize::MAX;

/// The store, shared by the dispatcher's threads. Without effect if the store could not be opened.
#[derive(Clone)]
pub struct StateStore {
    store: Option<Arc<Store>>,
    settings: operator::Store,
    /// Whether writes fail, which is logged once.
    is_failing: Arc<AtomicBool>,
}

/// Options for a store that is written to, with a seed that differs between runs.
pub fn options(segment_kb: u64) -> Options {
    let seed = clock::unix_now().0 ^ u64::from(std::process::id()) << 40;
    Options { segment_bytes: segment_kb * 1024, seed, ..Options::default() }
}

#[cfg(not(feature = "faults"))]
fn open(dir: &Path, options: Options, budget: WorkBudget) -> Result<Store, Error> {
    Store::open(dir, options, Arc::new(clock::unix_now), Some(budget))
}

/// Opens the store on a disk with the faults that the environment orders.
#[cfg(feature = "faults")]
fn open(dir: &Path, options: Options, budget: WorkBudget) -> Result<Store, Error> {
    let disk = cherrypass_peers::disk::with_faults(cherrypass_store::disk::Folder::lock(dir)?);
    Store::open_on(disk, options, Arc::new(clock::unix_now), Some(budget))
}

impl StateStore {
    /// Opens the store. A failure is logged, and the settings say what works without a store.
    pub fn open(settings: operator::Store) -> StateStore {
        let (bytes_a_second, time_share) = (settings.background.bytes_per_s, settings.background.core_share);
        let budget =
            WorkBudget { bytes_per_second: bytes_a_second, core_share: time_share, ..DEFAULT_WORK_BUDGET };
        let store = match open(&settings.dir, options(settings.segment_kb), budget) {
            Ok(store) => {
                let stats = store.stats();
                let (records, bytes) = (stats.records, stats.log_bytes / 1024);
                tracing::info!("store: {} with {records} records, {bytes} kB of log", settings.dir.display());
                stats.notes.iter().for_each(|note| tracing::info!("store: {note}"));
                store.request_verification();
                Some(Arc::new(store))
            }
            Err(error) => {
                tracing::error!("store: cannot open {}: {error}; serving without it", settings.dir.display());
                None
            }
        };
        StateStore::with_store(store, settings)
    }

    /// Uses a store that is already open; None for none.
    pub fn with_store(store: Option<Arc<Store>>, settings: operator::Store) -> StateStore {
        StateStore { store, settings, is_failing: Arc::default() }
    }

    pub fn store(&self) -> Option<Arc<Store>> {
        self.store.clone()
    }

    /// Marks the store as cleanly closed at the end of the process.
    pub fn close(&self) {
        match self.store.as_ref().map(|store| store.write_end_mark()) {
            Some(Err(error)) => tracing::warn!("store: cannot mark it as cleanly closed: {error}"),
            Some(Ok(())) => tracing::info!("store: closed"),
            None => {}
        }
    }

    fn values(&self, space: &str) -> Option<Vec<(Vec<u8>, Vec<u8>)>> {
        let store = self.store.as_ref()?;
        match store.scan(space, Bound::Unbounded, NO_LIMIT) {
            Ok(values) => Some(values),
            Err(error) => {
                tracing::error!("store: cannot read {space}: {error}");
                None
            }
        }
    }

    /// Writes records in the background; calls `on_done` with whether they were written.
    fn submit(
        &self,
        outlasts: Durability,
        records: Vec<Record>,
        on_done: impl FnOnce(bool) + Send + 'static,
    ) {
        let Some(store) = &self.store else { return on_done(false) };
        let batch =
            records.into_iter().fold(Batch::new(), |batch, record| match (record.value, record.expires_at) {
                (Some(value), Some(until)) => batch.put_until(record.space, record.key, value, until),
                (Some(value), None) => batch.put(record.space, record.key, value),
                (None, _) => batch.delete(record.space, record.key),
            });
        let is_failing = self.is_failing.clone();
        let done = move |result: Result<_, Error>| {
            match &result {
                Ok(_) if is_failing.swap(false, Relaxed) => tracing::info!("store: writes succeed again"),
                Err(error) if !is_failing.swap(true, Relaxed) => {
                    tracing::warn!("store: writes fail: {error}")
                }
                _ => {}
            }
            on_done(result.is_ok());
        };
        store.submit_with(outlasts, batch, Box::new(done));
    }

    /// Records a configuration that has come into force.
    pub fn record_configuration(&self, source: &Path, text: &[u8]) {
        let Some(values) = self.values(versions::SPACE) else { return };
        let stored = versions::decode_all(values.iter().map(|(_, value)| &value[..]));
        let source = source.display().to_string();
        let records = versions::activation_records(
            &stored,
            &source,
            text,
            clock::unix_now(),
            self.settings.max_configurations,
        );
        if !records.is_empty() {
            self.submit(Durability::Machine, records, |_| {});
        }
    }

    /// The last valid configuration.
    pub fn last_good(&self) -> Option<Version> {
        let values = self.values(versions::SPACE)?;
        versions::decode_all(values.iter().map(|(_, value)| &value[..])).pop()
    }
}

/// The purges from before a start.
pub enum RestoredPurges {
    Purges(Vec<Purge>),
    /// They cannot be read; all groups are treated as purged now.
    Unknown {
        groups: u32,
    },
}

impl RestoredPurges {
    fn count(&self) -> usize {
        match self {
            RestoredPurges::Purges(purges) => purges.len(),
            RestoredPurges::Unknown { groups } => *groups as usize,
        }
    }
}

/// The router's access to durable state.
pub struct StateRecorder {
    kept: StateStore,
    pub visits: Visits,
    purge_retention: Span,
    router: Sender<Input>,
}

impl StateRecorder {
    /// Restores the visits that may have run, and the purges to pass to the decision module.
    pub fn restore(
        kept: StateStore,
        settings: &Settings,
        router: Sender<Input>,
    ) -> (StateRecorder, RestoredPurges) {
        let (now, purge_retention) =
            (clock::unix_now(), settings.purge_retention().max(purges::MIN_RETENTION));
        let stored_purges = kept.values(purges::SPACE);
        let purges = match &stored_purges {
            Some(values) => RestoredPurges::Purges(purges::replay(
                now,
                values.iter().map(|(_, value)| &value[..]),
                purge_retention,
            )),
            None if kept.settings.unknown_purges == operator::UnknownPurges::Distrust => {
                tracing::warn!(
                    "store: the purges before this start are unknown; all copies are treated as purged"
                );
                RestoredPurges::Unknown { groups: GROUP_COUNT }
            }
            None => RestoredPurges::Purges(Vec::new()),
        };
        let records = kept.values(visits::SPACE).unwrap_or_default();
        let records = records.iter().map(|(key, value)| (&key[..], &value[..]));
        let sends_unrecorded = kept.settings.without_record == operator::WithoutRecord::Send;
        let retention = kept.settings.visit_retention;
        let visits = Visits::restore(now, clock::boot_now(), records, retention, sends_unrecorded);
        let may_have_run = visits.unresolved().count();
        tracing::info!("store: {} purges restored, {may_have_run} visits may have run", purges.count());
        for (key, visit) in visits.unresolved().filter(|(_, visit)| visit.repeat_window.is_none()) {
            let key = String::from_utf8_lossy(key);
            tracing::warn!(
                "store: visit {key} of {} may have run at {}, sent {}",
                visit.class_name,
                visit.host_name,
                visit.sent_at
            );
        }
        (StateRecorder { kept, visits, purge_retention, router }, purges)
    }

    /// Whether hand-offs that must not run twice need a record.
    pub fn records_hand_offs(&self) -> bool {
        self.kept.settings.hand_offs != operator::HandOffDurability::Off
    }

    /// Records a purge.
    pub fn record_purge(&self, purge: &Purge) {
        if let Some(record) = purges::record(clock::unix_now(), purge, self.purge_retention) {
            self.kept.submit(Durability::Machine, vec![record], |_| {});
        }
    }

    /// Writes a hand-off's record and sends the result to the router.
    pub fn write_hand_off_record(&self, id: crate::ids::HandOffId, record: Record) {
        let outlasts = match self.kept.settings.hand_offs {
            operator::HandOffDurability::Synced => Durability::Machine,
            _ => Durability::Process,
        };
        let router = self.router.clone();
        self.kept.submit(outlasts, vec![record], move |was_written| {
            let result = if was_written { WriteResult::Written } else { WriteResult::Refused };
            let _ = router.send(Input::HandOffRecordStored(id, result));
        });
    }

    /// Closes a visit and deletes its record if that is no longer needed.
    pub fn close_visit(&mut self, id: VisitId, was_served: bool) {
        if let Some(record) = self.visits.close(id, was_served) {
            self.kept.submit(Durability::Process, vec![record], |_| {});
        }
    }

    /// Drops expired visits and logs hand-offs without a record; called periodically.
    pub fn remove_expired(&mut self) {
        let expired = self.visits.remove_expired(clock::unix_now());
        if !expired.is_empty() {
            self.kept.submit(Durability::Process, expired, |_| {});
        }
        let refused = self.visits.take_refused_count();
        if refused > 0 {
            tracing::warn!("store: records of {refused} hand-offs were refused");
        }
    }
}
