//! Identities shared by all protocols.
use cherrypass::containers::rendezvous;
use cherrypass::ids::HostId;
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;

/// A dispatcher, or a follower of the fleet's feed; the hash of its name in the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of the member with this name.
    pub fn of(name: &str) -> MemberId {
        MemberId(name_hash(name))
    }
}

/// Hash of a name, equal in all processes and builds (FNV-1a).
pub(crate) fn name_hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// One run of a member's process: the Unix time of its start in microseconds. A newer run replaces older
/// ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The other members in the order in which `own` prefers them (rendezvous hashing). The order differs between
/// members, which spreads load evenly, and removing a member does not reorder the rest.
pub fn rendezvous_order(own: MemberId, others: impl IntoIterator<Item = MemberId>) -> Vec<MemberId> {
    let mut order: Vec<MemberId> = others.into_iter().filter(|id| *id != own).collect();
    let value = |id: &MemberId| rendezvous(own.0, HostId(id.0), 1.0);
    order.sort_by(|a, b| value(b).total_cmp(&value(a)).then(a.cmp(b)));
    order
}
