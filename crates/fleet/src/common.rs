//! What all rooms share: who is who.
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;

/// A dispatcher of the fleet, or one that only follows its feed, by its name in the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    pub fn of(name: &str) -> MemberId {
        let mut hasher = FnvHasher::default();
        hasher.write(name.as_bytes());
        MemberId(hasher.finish())
    }
}

/// One run of a member's process: microseconds of Unix time at its start. A newer one voids the older.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);
