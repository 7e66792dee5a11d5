//! What is known of the copies that caches hold.
use crate::calls::Visit;
use crate::ids::{HostId, ObjectId};
use crate::time::Time;

/// One part of an object at one cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CachedCopyId {
    pub object: ObjectId,
    pub part: u32,
    pub cache: HostId,
}

impl CachedCopyId {
    pub fn of(visit: &Visit, cache: HostId) -> CachedCopyId {
        CachedCopyId { object: visit.object, part: visit.part, cache }
    }
}

#[derive(Debug, Default)]
pub struct CachedCopy {
    /// When the cache last served the part.
    pub confirmed_at: Option<Time>,
    /// Hand-offs in flight that likely fill it.
    pub fills_in_flight: u32,
}
