//! Write-ahead records of visits that must not run twice. A record is written before the first byte of a
//! hand-off and deleted once the visit was served or is known not to have run; a remaining record identifies
//! repeats of the visit.
use crate::boot_time::BootTime;
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
    /// When the first hand-off was sent, in microseconds of Unix time as this run counts it. Two runs may differ.
    pub sent_at: u64,
    pub host: u64,
    /// The host's name, for operators.
    pub host_name: String,
    /// How long, in microseconds, the hosts drop repeats of a deduplicated visit; None for an at-most-once
    /// visit.
    pub repeat_window: Option<u64>,
    /// When the first hand-off was sent, for a later run on this machine; None if its boot is not known.
    pub boot_time: Option<BootTime>,
}

/// A record as it was written before [`InDoubtVisit::boot_time`] was added.
#[derive(Deserialize)]
struct UndatedRecord {
    class_name: String,
    sent_at: u64,
    host: u64,
    host_name: String,
    repeat_window: Option<u64>,
}

fn decode_record(bytes: &[u8]) -> Option<InDoubtVisit> {
    decode(bytes).or_else(|| {
        let UndatedRecord { class_name, sent_at, host, host_name, repeat_window } = decode(bytes)?;
        Some(InDoubtVisit { class_name, sent_at, host, host_name, repeat_window, boot_time: None })
    })
}

/// An earlier try of a visit, which may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierTry {
    /// When its first hand-off was sent; None if that is not known, so that hosts may have forgotten it.
    pub sent_at: Option<UnixTime>,
    pub host: HostId,
}

/// The first hand-off of a visit as this run knows it.
#[derive(Clone, Debug)]
struct FirstHandOff {
    visit: InDoubtVisit,
    /// Whether `sent_at` is when it was sent, and not just when its record was restored.
    is_dated: bool,
}

impl FirstHandOff {
    /// Restores a record. Its age is that on the machine's boot clock, as the wall clocks of two runs may differ.
    fn restore(visit: InDoubtVisit, now: UnixTime, boot_now: Option<BootTime>) -> FirstHandOff {
        let age = boot_now.zip(visit.boot_time).and_then(|(now, sent)| now.since(sent));
        let sent_at = (now - age.unwrap_or_default()).0;
        FirstHandOff { visit: InDoubtVisit { sent_at, ..visit }, is_dated: age.is_some() }
    }

    fn as_earlier_try(&self) -> EarlierTry {
        let sent_at = self.is_dated.then_some(UnixTime(self.visit.sent_at));
        EarlierTry { sent_at, host: HostId(self.visit.host) }
    }

    /// Hosts drop repeats only within the deduplication window, so it has to be known at least as long.
    fn expires_at(&self, retention: Span) -> UnixTime {
        let window = self.visit.repeat_window.map_or(Span::ZERO, Span);
        UnixTime(self.visit.sent_at) + retention.max(window)
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
    first_hand_off: FirstHandOff,
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
    unresolved: BTreeMap<VisitKey, FirstHandOff>,
    retention: Span,
    /// Whether hand-offs are sent while the store refuses their records.
    sends_unrecorded: bool,
    refused_count: u64,
}

impl Visits {
    /// Restores the visits from the store's records. Those of which the age is not known count as sent too long ago for
    /// a repeat, and are remembered as long as those sent now.
    pub fn restore<'a>(
        now: UnixTime,
        boot_now: Option<BootTime>,
        records: impl Iterator<Item = (&'a [u8], &'a [u8])>,
        retention: Span,
        sends_unrecorded: bool,
    ) -> Visits {
        let stored = records.filter_map(|(key, value)| Some((key.to_vec(), decode_record(value)?)));
        let unresolved =
            stored.map(|(key, visit)| (key, FirstHandOff::restore(visit, now, boot_now))).collect();
        Visits { open: BTreeMap::new(), unresolved, retention, sends_unrecorded, refused_count: 0 }
    }

    /// The closed visits that may have run. At-most-once ones come first, since operators have to look into
    /// them.
    pub fn unresolved(&self) -> impl Iterator<Item = (&VisitKey, &InDoubtVisit)> {
        let visits = self.unresolved.iter().map(|(key, first)| (key, &first.visit));
        let (deduplicated, at_most_once): (Vec<_>, Vec<_>) =
            visits.partition(|(_, visit)| visit.repeat_window.is_some());
        at_most_once.into_iter().chain(deduplicated)
    }

    /// The first hand-off of an earlier try of an arriving visit, if that may have run.
    pub fn earlier_try(&self, now: UnixTime, key: &[u8]) -> Option<EarlierTry> {
        let first = self.unresolved.get(key).filter(|first| now < first.expires_at(self.retention));
        first
            .or_else(|| self.concurrent_try(key).map(|open| &open.first_hand_off))
            .map(FirstHandOff::as_earlier_try)
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
        let sent = FirstHandOff { visit: InDoubtVisit { repeat_window, ..sent }, is_dated: true };
        if let Some(open) = self.open.get_mut(&id) {
            // No earlier hand-off ran, so this is the first that counts.
            if !open.may_have_run() {
                (open.first_hand_off, open.is_recorded) = (sent, false);
            }
            open.pending_hand_offs += 1;
            if open.is_recorded {
                return WriteAhead::NotNeeded;
            }
            return WriteAhead::Required(record(&open.key, &open.first_hand_off.visit));
        }
        // The hand-off of an earlier try is the first, and its record stands, also while that try is open.
        let earlier = self.unresolved.remove(key).map(|first| (first, true));
        let earlier = earlier
            .or_else(|| self.concurrent_try(key).map(|open| (open.first_hand_off.clone(), open.is_recorded)));
        let has_run = earlier.is_some();
        let (first_hand_off, is_recorded) = earlier.unwrap_or((sent, false));
        let before = if is_recorded {
            WriteAhead::NotNeeded
        } else {
            WriteAhead::Required(record(key, &first_hand_off.visit))
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
            return Some(deletion(open.key));
        }
        self.unresolved.insert(open.key, open.first_hand_off);
        None
    }

    /// Drops closed visits that have expired; returns the deletions of their records.
    pub fn remove_expired(&mut self, now: UnixTime) -> Vec<Record> {
        let retention = self.retention;
        let expired = self.unresolved.extract_if(.., |_, first| first.expires_at(retention) <= now);
        expired.map(|(key, _)| deletion(key)).collect()
    }
}

/// The record of a visit. It has no expiry time, which the store would judge by the wall clock of a later run.
fn record(key: &[u8], visit: &InDoubtVisit) -> Record {
    Record { space: SPACE, key: key.to_vec(), value: Some(encode(visit)), expires_at: None }
}

fn deletion(key: VisitKey) -> Record {
    Record { space: SPACE, key, value: None, expires_at: None }
}
