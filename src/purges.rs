//! Which copies are too old to be served because their object, or its whole group, was purged.
//!
//! Guards rule 5. Hosts drop older copies by themselves, but one that stands still does not, and a fill under way may bring an
//! old copy back: so a purge binds for as long as this process runs, not for as long as hosts are given to drop copies.
//! Memory stays bounded: past [`HELD`] purges the oldest ones are folded into [`SLOTS`] slots by hash, each of which binds
//! all objects and groups of that hash. That is never too young a bound; it costs a fill for those among them that were not
//! purged and whose copy is older than a purge that many others have followed.
use crate::ids::{GroupId, ObjectId};
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Purges that are held one by one: over an hour's at one a second, in about 300 kB.
pub const HELD: usize = 4096;
/// Slots that the oldest ones are folded into.
pub const SLOTS: usize = 1024;

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    Object(ObjectId),
    Group(GroupId),
}

impl Scope {
    fn slot(self) -> usize {
        // Fibonacci hashing: the upper bits of the product depend on all bits.
        const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
        let number = match self {
            Scope::Object(object) => object.0,
            Scope::Group(group) => u64::from(group.0) ^ u64::MAX,
        };
        (number.wrapping_mul(GOLDEN) >> (u64::BITS - SLOTS.ilog2())) as usize
    }
}

/// When objects and whole groups were last purged.
#[derive(Debug, Default)]
pub struct Purges {
    held: BTreeMap<Scope, Time>,
    by_time: BTreeSet<(Time, Scope)>,
    folded: BTreeMap<usize, Time>,
}

impl Purges {
    /// Notes a purge of an object, or without one of the whole group, made at that time.
    pub fn note(&mut self, group: GroupId, object: Option<ObjectId>, at: Time) {
        let scope = object.map_or(Scope::Group(group), Scope::Object);
        if let Some(known) = self.held.get(&scope).copied() {
            if known >= at {
                return;
            }
            self.by_time.remove(&(known, scope));
        }
        self.held.insert(scope, at);
        self.by_time.insert((at, scope));
        if self.held.len() > HELD {
            self.fold_oldest();
        }
    }

    /// The last purge that an object has to obey.
    pub fn last(&self, group: GroupId, object: ObjectId) -> Option<Time> {
        let scopes = [Scope::Object(object), Scope::Group(group)];
        let held = scopes.iter().filter_map(|scope| self.held.get(scope));
        let folded = scopes.iter().filter_map(|scope| self.folded.get(&scope.slot()));
        held.chain(folded).max().copied()
    }

    /// How many purges are held one by one.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn fold_oldest(&mut self) {
        let Some((at, scope)) = self.by_time.pop_first() else { return };
        self.held.remove(&scope);
        let slot = self.folded.entry(scope.slot()).or_insert(at);
        *slot = (*slot).max(at);
    }
}
