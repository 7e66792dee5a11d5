//! What is known of the copies that caches hold, of a bounded number of them.
use crate::bounded_map::BoundedMap;
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

impl CachedCopy {
    /// Whether anything is known of the copy.
    fn is_known(&self) -> bool {
        self.fills_in_flight > 0 || self.confirmed_at.is_some()
    }
}

/// The copies of which something is known. At the limit the one confirmed longest ago of those compared is forgotten;
/// those with fills in flight, which the open visits bound, are not.
#[derive(Debug)]
pub struct CachedCopies(BoundedMap<CachedCopyId, CachedCopy>);

impl CachedCopies {
    pub fn new(max_copies: usize) -> CachedCopies {
        CachedCopies(BoundedMap::new(max_copies))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn get(&self, id: &CachedCopyId) -> Option<&CachedCopy> {
        self.0.get(id)
    }

    /// The cache has served the part.
    pub fn confirm(&mut self, now: Time, id: CachedCopyId) {
        self.entry(id).confirmed_at = Some(now);
    }

    /// Adds (1) or removes (-1) a fill in flight.
    pub fn count_fill(&mut self, id: CachedCopyId, change: i32) {
        let copy = self.entry(id);
        copy.fills_in_flight = copy.fills_in_flight.saturating_add_signed(change);
        if !copy.is_known() {
            self.0.remove(&id);
        }
    }

    /// Forgets copies that were confirmed no later than `since`.
    pub fn forget(&mut self, since: Time) {
        self.0.retain(|_, copy| copy.fills_in_flight > 0 || copy.confirmed_at.is_some_and(|at| at > since));
    }

    fn entry(&mut self, id: CachedCopyId) -> &mut CachedCopy {
        self.0.make_room(&id, |copy| (copy.fills_in_flight == 0).then_some(copy.confirmed_at));
        self.0.get_or_default(id)
    }
}
