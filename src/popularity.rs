//! Request counts by object, and the admitted set that decides which objects are popular.
//!
//! Every request counts, also one that is refused at once. The number of counted objects is bounded: beyond it a new
//! object takes the place of one that is not admitted and has been asked for least.
use crate::bounded_map::BoundedMap;
use crate::ids::ObjectId;
use crate::time::{Span, Time};

/// α: an object is popular if its count is above α·r_ave.
const POPULARITY_ALPHA: f64 = 1.0;
/// Largest share of all known bytes that the admitted set may have.
const ADMITTED_BYTES_SHARE: f64 = 0.05;

/// What is known of the demand for one object.
#[derive(Debug, Default)]
pub struct ObjectStats {
    /// Visits, halved at each decay.
    pub visits: f64,
    pub last_visit_at: Time,
    /// Bit set of the parts that were requested; parts from 63 on share the last bit.
    pub seen_parts: u64,
    /// Size of the parts that were requested.
    pub known_bytes: f64,
    pub is_admitted: bool,
    /// Shortest time in which a cache answered a request for a part that it held.
    pub best_time: Option<Span>,
}

impl ObjectStats {
    /// The order in which objects are forgotten at the limit: those that are not admitted first, then by demand.
    fn retention_rank(&self) -> (bool, u64, Time) {
        // The bits of floating-point numbers that are not negative are in the order of the numbers.
        (self.is_admitted, self.visits.to_bits(), self.last_visit_at)
    }
}

/// Demand by object, with the sums over all objects and over the admitted set.
#[derive(Debug)]
pub struct Popularity {
    objects: BoundedMap<ObjectId, ObjectStats>,
    pub admitted_objects: u32,
    pub admitted_bytes: f64,
    pub known_bytes: f64,
    admitted_visits: f64,
}

impl Popularity {
    /// Counts for this many objects at most.
    pub fn new(max_objects: usize) -> Popularity {
        Popularity {
            objects: BoundedMap::new(max_objects),
            admitted_objects: 0,
            admitted_bytes: 0.0,
            known_bytes: 0.0,
            admitted_visits: 0.0,
        }
    }

    /// Number of objects that are counted.
    pub fn object_count(&self) -> usize {
        self.objects.len()
    }

    /// What is known of an object.
    pub fn object(&self, object: ObjectId) -> Option<&ObjectStats> {
        self.objects.get(&object)
    }

    /// Counts one visit; `bytes` is the size of its part, added the first time the part is requested.
    pub fn record_visit(&mut self, now: Time, object: ObjectId, part: u32, bytes: f64) {
        self.make_room(object);
        let stats = self.objects.get_or_default(object);
        let part = 1u64 << part.min(63);
        let new_bytes = if stats.seen_parts & part == 0 { bytes } else { 0.0 };
        stats.visits += 1.0;
        stats.last_visit_at = now;
        stats.seen_parts |= part;
        stats.known_bytes += new_bytes;
        self.known_bytes += new_bytes;
        if stats.is_admitted {
            self.admitted_visits += 1.0;
            self.admitted_bytes += new_bytes;
        }
    }

    /// Forgets an object if there is no room for one more.
    fn make_room(&mut self, object: ObjectId) {
        let Some(forgotten) = self.objects.make_room(&object, |stats| Some(stats.retention_rank())) else {
            return;
        };
        self.known_bytes -= forgotten.known_bytes;
        if forgotten.is_admitted {
            self.admitted_objects -= 1;
            self.admitted_visits -= forgotten.visits;
            self.admitted_bytes -= forgotten.known_bytes;
        }
    }

    /// r_ave: mean visit count over the admitted set.
    fn mean_admitted_visits(&self) -> f64 {
        self.admitted_visits / f64::from(self.admitted_objects.max(1))
    }

    /// Returns whether an object is popular, and admits it if so: r_i > α·r_ave over the admitted set, or the
    /// set is empty. The set's bytes are limited to a share of all known bytes.
    pub fn admit_if_popular(&mut self, object: ObjectId) -> bool {
        let Some(stats) = self.objects.get(&object) else { return false };
        if self.admitted_objects > 0 && stats.visits <= POPULARITY_ALPHA * self.mean_admitted_visits() {
            return false;
        }
        let fits = self.admitted_bytes + stats.known_bytes <= ADMITTED_BYTES_SHARE * self.known_bytes;
        let is_admitted = stats.is_admitted || self.admitted_objects == 0 || fits;
        if is_admitted {
            self.admit(object);
        }
        is_admitted
    }

    fn admit(&mut self, object: ObjectId) {
        if let Some(stats) = self.objects.get_mut(&object).filter(|stats| !stats.is_admitted) {
            stats.is_admitted = true;
            self.admitted_objects += 1;
            self.admitted_visits += stats.visits;
            self.admitted_bytes += stats.known_bytes;
        }
    }

    /// Ratio of an answer time to the object's shortest one; `None` for the first answer.
    pub fn slowdown(&mut self, object: ObjectId, answer_time: Span) -> Option<f64> {
        let stats = self.objects.get_mut(&object)?;
        let before = stats.best_time;
        let shortest = before.map_or(answer_time, |s| s.min(answer_time));
        stats.best_time = Some(shortest);
        before.map(|_| answer_time.as_seconds() / shortest.as_seconds().max(0.001))
    }

    /// Halves all counts and drops objects that were not requested after `since`.
    pub fn decay(&mut self, since: Time) {
        self.objects.retain(|_, stats| stats.last_visit_at > since);
        (self.admitted_objects, self.admitted_visits, self.admitted_bytes, self.known_bytes) =
            (0, 0.0, 0.0, 0.0);
        for stats in self.objects.values_mut() {
            stats.visits /= 2.0;
            self.known_bytes += stats.known_bytes;
            if stats.is_admitted {
                self.admitted_objects += 1;
                self.admitted_visits += stats.visits;
                self.admitted_bytes += stats.known_bytes;
            }
        }
    }
}
