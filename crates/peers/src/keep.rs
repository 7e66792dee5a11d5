//! What the rollout keeps, in a space of the dispatcher's store. Every record is one value: the state under one key, each
//! document under its own; a document older than all that the state names is dropped with the state's next record.
use crate::events::Log;
use cherrypass_fleet::rollout::{Record, State, VersionId};
use cherrypass_store::engine::Batch;
use cherrypass_store::store::{Outlasts, Store};
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

pub const SPACE: &str = "rollout";
const STATE: &[u8] = b"state";
/// The first byte of each value: the form of what follows.
const FORM: u8 = 1;
/// More records than these are never read: a state, and documents that may come to be in force.
const MOST: usize = 64;

fn key(id: VersionId) -> Vec<u8> {
    let number = id.number.to_be_bytes();
    [b"document".as_slice(), &number, &id.digest.to_be_bytes()].concat()
}

/// None is a store that takes nothing: then nothing is promoted here.
pub struct Keeper {
    store: Option<Arc<Store>>,
    documents: BTreeSet<VersionId>,
    /// There is no disk: all counts as kept.
    #[cfg(feature = "driven")]
    in_memory: bool,
}

impl Keeper {
    /// What is kept. Where that can't be read a line says so, and the rollout takes no part here.
    pub fn open(store: Option<Arc<Store>>, log: &Log) -> (Keeper, Vec<Record>) {
        let none = Keeper::with(None, BTreeSet::new());
        let Some(store) = store else { return (none, Vec::new()) };
        let values = match store.scan(SPACE, Bound::Unbounded, MOST) {
            Ok(values) => values,
            Err(error) => {
                log(&format!(
                    "rollout: what was kept can't be read, this dispatcher takes no part: {error}; \
                     see `cherrypass store repair`"
                ));
                return (none, Vec::new());
            }
        };
        let mut records = Vec::new();
        for (key, value) in values {
            let known = value.split_first().filter(|(form, _)| **form == FORM);
            match known.and_then(|(_, rest)| postcard::from_bytes::<Record>(rest).ok()) {
                Some(record) => records.push(record),
                None => log(&format!(
                    "rollout: the record {} is of another form and passed over; others are asked for it",
                    String::from_utf8_lossy(&key).escape_default()
                )),
            }
        }
        let ids = records.iter().filter_map(|record| match record {
            Record::Document(version) => Some(version.id()),
            Record::State(_) => None,
        });
        (Keeper::with(Some(store), ids.collect()), records)
    }

    fn with(store: Option<Arc<Store>>, documents: BTreeSet<VersionId>) -> Keeper {
        Keeper {
            store,
            documents,
            #[cfg(feature = "driven")]
            in_memory: false,
        }
    }

    /// For members that tools drive: without a disk, and as if each record were on one at once.
    #[cfg(feature = "driven")]
    pub fn in_memory() -> Keeper {
        Keeper { in_memory: true, ..Keeper::with(None, BTreeSet::new()) }
    }

    /// `then` is told once the record outlasts the machine, or that it doesn't.
    pub fn keep(&mut self, record: &Record, then: impl FnOnce(bool) + Send + 'static) {
        #[cfg(feature = "driven")]
        if self.in_memory {
            return then(true);
        }
        let (Some(store), Ok(value)) = (&self.store, postcard::to_stdvec(record)) else { return then(false) };
        let value = [&[FORM], &value[..]].concat();
        let batch = match record {
            Record::Document(version) => {
                self.documents.insert(version.id());
                Batch::new().put(SPACE, key(version.id()), value)
            }
            Record::State(state) => {
                let least = oldest_named(state);
                let over: Vec<VersionId> =
                    self.documents.iter().copied().filter(|id| id.number < least).collect();
                self.documents.retain(|id| id.number >= least);
                let batch = Batch::new().put(SPACE, STATE, value);
                over.into_iter().fold(batch, |batch, id| batch.delete(SPACE, key(id)))
            }
        };
        store.submit_for(Outlasts::Machine, batch, Box::new(move |result| then(result.is_ok())));
    }
}

fn oldest_named(state: &State) -> u64 {
    let accepted = state.accepted.iter().flat_map(|(_, step)| [step.version, step.base]);
    let named = accepted.chain([state.chosen.version, state.chosen.base, state.in_force]);
    named.map(|id| id.number).filter(|number| *number > 0).min().unwrap_or(0)
}
