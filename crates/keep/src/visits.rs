//! Write-ahead records of visits that must not run twice. A record is written before the first byte of a
//! hand-off and deleted once the visit was served or is known not to have run; a remaining record identifies
//! repeats of the visit.
use crate::records::{decode, encode, Record};
use cherrypass::ids::{HostId, VisitId};
use cherrypass::settings::Effect;
use cherrypass::time::{Span, UnixTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The store space that holds records of visits.
pub const SPACE: &str = "visits";

/// Identifies a visit across connections: the idempotency key that all its tries share, or else its own id.
pub type VisitKey = Vec<u8>;

/// A visit that may have run: when its first hand-off was sent, and to which host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtVisit {
    /// Name of the request class.
    pub class_name: String,
    /// When the first hand-off was sent, in microseconds of Unix time.
    pub sent_at: u64,
    pub host: u64,
    /// The host's name, for operators.
    pub host_name: String,
    /// How long, in microseconds, the hosts drop repeats of a deduplicated visit; None for an at-most-once
    /// visit.
    pub repeat_window: Option<u64>,
}

impl InDoubtVisit {
    /// Time and host of the first hand-off.
    pub fn first_hand_off(&self) -> (UnixTime, HostId) {
        (UnixTime(self.sent_at), HostId(self.host))
    }
}

/// What has to be done before a hand-off is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAhead {
    /// Nothing.
    NotNeeded,
    /// This record has to be written.
    Required(Record),
}

/// Whether the store accepted a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    Written,
    /// The store is full, stalled or broken.
    Refused,
}

#[derive(Debug)]
struct OpenVisit {
    key: VisitKey,
    first_hand_off: InDoubtVisit,
    is_recorded: bool,
    /// Hand-offs that were sent and have not ended.
    pending_hand_offs: u32,
    /// Whether a hand-off that has ended may have run.
    has_run: bool,
}

impl OpenVisit {
    fn may_have_run(&self) -> bool {
        self.has_run || self.pending_hand_offs > 0
    }
}

/// The visits that may have run: open ones, and closed ones whose record remains.
#[derive(Debug, Default)]
pub struct Visits {
    open: BTreeMap<VisitId, OpenVisit>,
    unresolved: BTreeMap<VisitKey, InDoubtVisit>,
    retention: Span,
    /// Whether hand-offs are sent while the store refuses their records.
    sends_unrecorded: bool,
    refused_count: u64,
}

impl Visits {
    /// Restores the visits from the store's records; drops expired ones. A time in the future counts as now.
    pub fn restore<'a>(
        now: UnixTime,
        records: impl Iterator<Item = (&'a [u8], &'a [u8])>,
        retention: Span,
        sends_unrecorded: bool,
    ) -> Visits {
        let stored = records.filter_map(|(key, value)| Some((key.to_vec(), decode::<InDoubtVisit>(value)?)));
        let stored =
            stored.map(|(key, visit)| (key, InDoubtVisit { sent_at: visit.sent_at.min(now.0), ..visit }));
        let unresolved = stored.filter(|(_, visit)| now < expires_at(visit, retention)).collect();
        Visits { open: BTreeMap::new(), unresolved, retention, sends_unrecorded, refused_count: 0 }
    }

    /// The closed visits that may have run. At-most-once ones come first, since operators have to look into
    /// them.
    pub fn unresolved(&self) -> impl Iterator<Item = (&VisitKey, &InDoubtVisit)> {
        let (deduplicated, at_most_once): (Vec<_>, Vec<_>) =
            self.unresolved.iter().partition(|(_, visit)| visit.repeat_window.is_some());
        at_most_once.into_iter().chain(deduplicated)
    }

    /// Time and host of the first hand-off of an earlier try of an arriving visit, if that may have run.
    pub fn earlier_try(&self, now: UnixTime, key: &[u8]) -> Option<(UnixTime, HostId)> {
        let visit = self.unresolved.get(key).filter(|visit| now < expires_at(visit, self.retention));
        visit
            .or_else(|| self.concurrent_try(key).map(|open| &open.first_hand_off))
            .map(InDoubtVisit::first_hand_off)
    }

    /// Another open try of the same visit that may have run.
    fn concurrent_try(&self, key: &[u8]) -> Option<&OpenVisit> {
        self.open.values().find(|open| open.key == key && open.may_have_run())
    }

    /// Registers a hand-off that is about to be sent. Only the first that may run needs a record: repeats are
    /// dropped at the host that it names.
    pub fn register_hand_off(
        &mut self,
        id: VisitId,
        key: &[u8],
        effect: Effect,
        sent: InDoubtVisit,
    ) -> WriteAhead {
        let repeat_window = match effect {
            Effect::Idempotent => return WriteAhead::NotNeeded,
            Effect::Deduplicated { retention: repeat_window, .. } => Some(repeat_window.0),
            Effect::AtMostOnce => None,
        };
        let sent = InDoubtVisit { repeat_window, ..sent };
        if let Some(open) = self.open.get_mut(&id) {
            // No earlier hand-off ran, so this is the first that counts.
            if !open.may_have_run() {
                (open.first_hand_off, open.is_recorded) = (sent, false);
            }
            open.pending_hand_offs += 1;
            if open.is_recorded {
                return WriteAhead::NotNeeded;
            }
            return WriteAhead::Required(record(&open.key, &open.first_hand_off, self.retention));
        }
        // The hand-off of an earlier try is the first, and its record stands, also while that try is open.
        let earlier = self.unresolved.remove(key).map(|visit| (visit, true));
        let earlier = earlier
            .or_else(|| self.concurrent_try(key).map(|open| (open.first_hand_off.clone(), open.is_recorded)));
        let has_run = earlier.is_some();
        let (first_hand_off, is_recorded) = earlier.unwrap_or((sent, false));
        let before = if is_recorded {
            WriteAhead::NotNeeded
        } else {
            WriteAhead::Required(record(key, &first_hand_off, self.retention))
        };
        let open =
            OpenVisit { key: key.to_vec(), first_hand_off, is_recorded, pending_hand_offs: 1, has_run };
        self.open.insert(id, open);
        before
    }

    /// Handles the store's result for a hand-off's record; returns whether the hand-off may be sent.
    pub fn record_result(&mut self, id: VisitId, taken: WriteResult) -> bool {
        if taken == WriteResult::Refused {
            self.refused_count += 1;
            return self.sends_unrecorded;
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.is_recorded = true;
        }
        true
    }

    /// Returns and resets the number of hand-offs whose records were refused.
    pub fn take_refused_count(&mut self) -> u64 {
        std::mem::take(&mut self.refused_count)
    }

    /// A hand-off of the visit has ended.
    pub fn hand_off_ended(&mut self, id: VisitId, is_not_executed: bool) {
        if let Some(open) = self.open.get_mut(&id) {
            open.pending_hand_offs = open.pending_hand_offs.saturating_sub(1);
            open.has_run |= !is_not_executed;
        }
    }

    /// Closes a visit that has its final answer or whose client has left. Returns the deletion of its record
    /// if it was served or never ran; otherwise the record remains until it expires.
    pub fn close(&mut self, id: VisitId, was_served: bool) -> Option<Record> {
        let open = self.open.remove(&id)?;
        // While another try of the visit is open, the record belongs to that one.
        if let Some(other) = self.open.values_mut().find(|other| other.key == open.key) {
            other.has_run |= open.may_have_run();
            return None;
        }
        if was_served || !open.may_have_run() {
            return Some(Record { space: SPACE, key: open.key, value: None, expires_at: None });
        }
        self.unresolved.insert(open.key, open.first_hand_off);
        None
    }

    /// Drops closed visits whose records have expired.
    pub fn remove_expired(&mut self, now: UnixTime) {
        let retention = self.retention;
        self.unresolved.retain(|_, visit| now < expires_at(visit, retention));
    }
}

/// Hosts drop repeats only within the deduplication window, so the record has to last at least as long.
fn expires_at(visit: &InDoubtVisit, retention: Span) -> UnixTime {
    UnixTime(visit.sent_at) + retention.max(visit.repeat_window.map_or(Span::ZERO, Span))
}

fn record(key: &[u8], visit: &InDoubtVisit, retention: Span) -> Record {
    Record {
        space: SPACE,
        key: key.to_vec(),
        value: Some(encode(visit)),
        expires_at: Some(expires_at(visit, retention)),
    }
}
