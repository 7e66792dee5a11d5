//! Latest purge of each object and group: copies older than it must not be served.
//!
//! Guards rule 5. A purge stays in force for as long as the process runs, not only while hosts drop older
//! copies: a stalled host does not drop them, and a fill in flight may bring an old copy back.
//!
//! Memory is bounded: beyond [`MAX_TRACKED`] purges the oldest are merged into [`HASH_SLOTS`] slots by hash,
//! each of which applies to all objects and groups with that hash. A purge is thus never lost; the cost is an
//! extra fill for unpurged objects that share a slot and whose copies are older than a purge merged into it.
use crate::ids::{GroupId, ObjectId};
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Purges that are tracked individually: more than an hour of them at one a second, in about 300 kB.
pub const MAX_TRACKED: usize = 4096;
/// Slots that the oldest purges are merged into.
pub const HASH_SLOTS: usize = 1024;

/// Target of a purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    Object(ObjectId),
    Group(GroupId),
}

impl Scope {
    fn slot(self) -> usize {
        // Fibonacci hashing: the upper bits of the product depend on all bits.
        const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
        let key = match self {
            Scope::Object(object) => object.0,
            Scope::Group(group) => u64::from(group.0) ^ u64::MAX,
        };
        (key.wrapping_mul(GOLDEN) >> (u64::BITS - HASH_SLOTS.ilog2())) as usize
    }
}

/// Latest purge times of objects and groups.
#[derive(Debug, Default)]
pub struct Purges {
    tracked: BTreeMap<Scope, Time>,
    by_time: BTreeSet<(Time, Scope)>,
    slots: BTreeMap<usize, Time>,
}

impl Purges {
    /// Records a purge made at `at`: of the object, or of the whole group if no object is given.
    pub fn record(&mut self, group: GroupId, object: Option<ObjectId>, at: Time) {
        let scope = object.map_or(Scope::Group(group), Scope::Object);
        if let Some(previous) = self.tracked.get(&scope).copied() {
            if previous >= at {
                return;
            }
            self.by_time.remove(&(previous, scope));
        }
        self.tracked.insert(scope, at);
        self.by_time.insert((at, scope));
        if self.tracked.len() > MAX_TRACKED {
            self.merge_oldest();
        }
    }

    /// The latest purge that applies to an object.
    pub fn latest(&self, group: GroupId, object: ObjectId) -> Option<Time> {
        let scopes = [Scope::Object(object), Scope::Group(group)];
        let tracked = scopes.iter().filter_map(|scope| self.tracked.get(scope));
        let merged = scopes.iter().filter_map(|scope| self.slots.get(&scope.slot()));
        tracked.chain(merged).max().copied()
    }

    /// Number of purges that are tracked individually.
    pub fn tracked_count(&self) -> usize {
        self.tracked.len()
    }

    fn merge_oldest(&mut self) {
        let Some((at, scope)) = self.by_time.pop_first() else { return };
        self.tracked.remove(&scope);
        let slot = self.slots.entry(scope.slot()).or_insert(at);
        *slot = (*slot).max(at);
    }
}
