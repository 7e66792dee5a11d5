//! Persists the rollout's records in a space of the dispatcher's store. Each record is one value: the state
//! under a fixed key, each document under its own. Storing a state deletes documents older than all that the
//! state refers to.
use crate::events::Log;
use cherrypass_fleet::rollout::{Record, State, VersionId};
use cherrypass_store::engine::Batch;
use cherrypass_store::store::{Durability, Store};
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

pub const SPACE: &str = "rollout";
const STATE_KEY: &[u8] = b"state";
/// First byte of each value: the form of the rest.
const VALUE_FORM: u8 = 1;
/// Maximum number of records read: one state and the documents that may still be needed.
const MAX_RECORDS: usize = 64;

fn document_key(id: VersionId) -> Vec<u8> {
    let number = id.number.to_be_bytes();
    [b"document".as_slice(), &number, &id.digest.to_be_bytes()].concat()
}

/// Storage for rollout records. Without a store every write fails, and this process promotes no version.
pub struct RolloutStore {
    store: Option<Arc<Store>>,
    documents: BTreeSet<VersionId>,
    /// Treats every record as stored at once, without a disk.
    #[cfg(feature = "driven")]
    in_memory: bool,
}

impl RolloutStore {
    /// Opens the storage and returns the stored records. If they can't be read, logs that and continues
    /// without a store.
    pub fn open(store: Option<Arc<Store>>, log: &Log) -> (RolloutStore, Vec<Record>) {
        let none = RolloutStore::new(None, BTreeSet::new());
        let Some(store) = store else { return (none, Vec::new()) };
        let values = match store.scan(SPACE, Bound::Unbounded, MAX_RECORDS) {
            Ok(values) => values,
            Err(error) => {
                log(&format!(
                    "rollout: can't read the stored records, this dispatcher takes no part in rollouts: {error}; \
                     see `cherrypass store repair`"
                ));
                return (none, Vec::new());
            }
        };
        let mut records = Vec::new();
        for (key, value) in values {
            let known = value.split_first().filter(|(form, _)| **form == VALUE_FORM);
            match known.and_then(|(_, rest)| postcard::from_bytes::<Record>(rest).ok()) {
                Some(record) => records.push(record),
                None => log(&format!(
                    "rollout: skipped record {}, which has an unknown form; it is requested from other members",
                    String::from_utf8_lossy(&key).escape_default()
                )),
            }
        }
        let ids = records.iter().filter_map(|record| match record {
            Record::Document(version) => Some(version.id()),
            Record::State(_) => None,
        });
        (RolloutStore::new(Some(store), ids.collect()), records)
    }

    fn new(store: Option<Arc<Store>>, documents: BTreeSet<VersionId>) -> RolloutStore {
        RolloutStore {
            store,
            documents,
            #[cfg(feature = "driven")]
            in_memory: false,
        }
    }

    /// For members driven by tools: each record counts as stored at once.
    #[cfg(feature = "driven")]
    pub fn in_memory() -> RolloutStore {
        RolloutStore { in_memory: true, ..RolloutStore::new(None, BTreeSet::new()) }
    }

    /// Stores a record. `then` is called with whether it was stored durably.
    pub fn store_record(&mut self, record: &Record, then: impl FnOnce(bool) + Send + 'static) {
        #[cfg(feature = "driven")]
        if self.in_memory {
            return then(true);
        }
        let (Some(store), Ok(value)) = (&self.store, postcard::to_stdvec(record)) else { return then(false) };
        let value = [&[VALUE_FORM], &value[..]].concat();
        let batch = match record {
            Record::Document(version) => {
                self.documents.insert(version.id());
                Batch::new().put(SPACE, document_key(version.id()), value)
            }
            Record::State(state) => {
                let oldest = oldest_referenced(state);
                let obsolete: Vec<VersionId> =
                    self.documents.iter().copied().filter(|id| id.number < oldest).collect();
                self.documents.retain(|id| id.number >= oldest);
                let batch = Batch::new().put(SPACE, STATE_KEY, value);
                obsolete.into_iter().fold(batch, |batch, id| batch.delete(SPACE, document_key(id)))
            }
        };
        store.submit_with(Durability::Machine, batch, Box::new(move |result| then(result.is_ok())));
    }
}

fn oldest_referenced(state: &State) -> u64 {
    let accepted = state.accepted.iter().flat_map(|(_, step)| [step.version, step.base]);
    let referenced = accepted.chain([state.chosen.version, state.chosen.base, state.in_force]);
    referenced.map(|id| id.number).filter(|number| *number > 0).min().unwrap_or(0)
}
