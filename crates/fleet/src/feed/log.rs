//! The items held of one source: its newest items without a gap, and of the older ones the latest item of
//! each key.
use super::position::Position;
use super::settings::Settings;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Clock rates may differ by up to 1%: a span measured on one clock is at most this many times as long on
/// another,
pub(super) const MAX_CLOCK_RATIO: f64 = 1.02;
/// and at least this fraction of it.
const MIN_CLOCK_RATIO: f64 = 0.98;
/// Bound on the numbers a segment may span, so that a wrong number can't invalidate a source's stream.
const MAX_SEGMENT_NUMBERS: u64 = 1 << 24;
/// When memory is short, an item may be dropped after this fraction of its hold time, since by the source's
/// clock it may have expired.
const EARLY_EXPIRY_FRACTION: f64 = 0.97;
/// Bytes an item takes in memory and in messages besides its key and value.
const ITEM_OVERHEAD_BYTES: usize = 128;
/// Limit of ages and hold times.
pub(super) const MAX_HOLD: Span = Span(7 * 24 * 3600 * 1_000_000);

/// The items held of each source.
pub(super) type Logs = BTreeMap<MemberId, SourceLog>;

/// One item as it is sent. `age` is an upper bound at the time of sending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub number: u64,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub hold: Span,
    pub age: Span,
}

impl Item {
    /// Bytes that it counts against the bounds; a key is stored twice.
    pub(super) fn cost(&self) -> usize {
        2 * self.key.len() + self.value.len() + ITEM_OVERHEAD_BYTES
    }
}

/// All still valid items of a source with the numbers `after + 1 ..= up_to`. Missing numbers were replaced by
/// later items of their key or have expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub source: MemberId,
    pub incarnation: Incarnation,
    pub after: u64,
    pub up_to: u64,
    /// The last number that the sender has.
    pub head: u64,
    pub items: Vec<Item>,
}

/// How a segment relates to a receiver's position.
pub(super) enum SegmentCheck {
    /// Contains nothing new.
    Known,
    /// Items before it are missing.
    Gap,
    /// New items; `is_complete`: without a missing number.
    New {
        items: Vec<Item>,
        is_complete: bool,
    },
    Invalid,
}

impl Segment {
    fn is_valid(&self, settings: &Settings) -> bool {
        let mut last = self.after;
        self.after < self.up_to
            && self.up_to <= self.head
            && self.up_to - self.after <= MAX_SEGMENT_NUMBERS
            && self.items.iter().all(|item| {
                let is_ascending = item.number > last && item.number <= self.up_to;
                last = item.number;
                is_ascending && settings.accepts(&item.key, &item.value) && item.hold <= MAX_HOLD
            })
    }

    /// `transit`: upper bound on the time that its message was on the way.
    pub(super) fn check_against(
        self,
        settings: &Settings,
        at: Option<Position>,
        transit: Span,
    ) -> SegmentCheck {
        if !self.is_valid(settings) {
            return SegmentCheck::Invalid;
        }
        let position = match at {
            Some(at) if at.incarnation > self.incarnation => return SegmentCheck::Known,
            Some(at) if at.incarnation == self.incarnation => at.number,
            _ => 0,
        };
        if position >= self.up_to {
            return SegmentCheck::Known;
        }
        if self.after > position {
            return SegmentCheck::Gap;
        }
        let mut items = self.items;
        items.retain(|item| item.number > position);
        for item in &mut items {
            item.age = Span(item.age.0.saturating_add(transit.0)).min(MAX_HOLD);
        }
        let is_complete = items.len() as u64 == self.up_to - position;
        SegmentCheck::New { items, is_complete }
    }
}

/// A sender's own clock value; the receiver returns it, and it is valid only within the same run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    pub run: Incarnation,
    pub clock: u64,
}

/// A returned stamp, and for how long it was held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub stamp: Stamp,
    pub held: Span,
}

/// The latest stamp of another process, and when it was received.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedStamp {
    pub stamp: Stamp,
    pub received: Time,
}

impl ReceivedStamp {
    /// Keeps a stamp that was received now. A delayed one must not replace a newer one: the echo of an older
    /// stamp gives a looser bound.
    pub fn update(latest: &mut Option<ReceivedStamp>, now: Time, stamp: Stamp) {
        if latest.is_none_or(|latest| latest.stamp < stamp) {
            *latest = Some(ReceivedStamp { stamp, received: now });
        }
    }

    pub fn echo(self, now: Time) -> Echo {
        Echo { stamp: self.stamp, held: now - self.received }
    }
}

impl Echo {
    /// Upper bound on the time that the message with this echo was on the way; none if the stamp is not of
    /// this run.
    pub(super) fn transit(self, now: Time, run: Incarnation) -> Option<Span> {
        let elapsed = now.0.checked_sub(self.stamp.clock).filter(|_| self.stamp.run == run)?;
        let min_held = self.held.times(MIN_CLOCK_RATIO);
        (min_held.0 <= elapsed).then(|| Span(elapsed - min_held.0).times(MAX_CLOCK_RATIO))
    }
}

/// An item and when it was received.
#[derive(Clone, Debug)]
struct StoredItem {
    item: Item,
    received: Time,
}

impl StoredItem {
    fn age(&self, now: Time) -> Span {
        (self.item.age + (now - self.received).times(MAX_CLOCK_RATIO)).min(MAX_HOLD)
    }

    fn is_expired(&self, now: Time) -> bool {
        self.age(now) >= self.item.hold
    }
}

/// The items of one run of a source.
#[derive(Clone, Debug)]
pub(super) struct SourceLog {
    pub incarnation: Incarnation,
    pub up_to: u64,
    /// The last number that was delivered here; greater than `up_to` while all items are being fetched again.
    pub delivered_up_to: u64,
    /// No number after it is missing.
    complete_after: u64,
    items: BTreeMap<u64, StoredItem>,
    latest: BTreeMap<Vec<u8>, u64>,
    /// Bytes of all items, and of those after `complete_after`.
    bytes: usize,
    complete_bytes: usize,
    last_received: Time,
}

impl SourceLog {
    pub fn new(incarnation: Incarnation) -> SourceLog {
        SourceLog {
            incarnation,
            up_to: 0,
            delivered_up_to: 0,
            complete_after: 0,
            items: BTreeMap::new(),
            latest: BTreeMap::new(),
            bytes: 0,
            complete_bytes: 0,
            last_received: Time(0),
        }
    }

    /// Number of items and their bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.items.len(), self.bytes)
    }

    /// Whether with this item the latest items of all keys fit into half the state bound; the other half is
    /// for replaced items that a member still holds until it receives their replacements.
    pub fn fits(&self, settings: &Settings, item: &Item) -> bool {
        let live = self.latest.iter().filter(|(key, _)| **key != item.key);
        let costs = live.filter_map(|(_, number)| self.items.get(number)).map(|kept| kept.item.cost());
        let (count, bytes) = costs.fold((1, item.cost()), |sum, cost| (sum.0 + 1, sum.1 + cost));
        2 * count <= settings.state_items && 2 * bytes <= settings.state_bytes
    }

    fn remove_item(&mut self, number: u64) {
        let Some(kept) = self.items.remove(&number) else { return };
        self.bytes -= kept.item.cost();
        if self.latest.get(&kept.item.key) == Some(&number) {
            self.latest.remove(&kept.item.key);
        }
    }

    /// Appends new items up to a number; `is_complete`: without a missing number.
    pub fn append(
        &mut self,
        now: Time,
        items: Vec<Item>,
        up_to: u64,
        is_complete: bool,
        settings: &Settings,
    ) {
        for item in items {
            let (number, cost) = (item.number, item.cost());
            self.bytes += cost;
            self.complete_bytes += cost;
            let replaced = self.latest.insert(item.key.clone(), number);
            self.items.insert(number, StoredItem { item, received: now });
            if let Some(old) = replaced.filter(|old| *old <= self.complete_after) {
                self.remove_item(old);
            }
            if is_complete {
                self.up_to = number;
                self.trim(now, settings);
            }
        }
        self.up_to = up_to;
        if !is_complete {
            self.complete_after = up_to;
            self.complete_bytes = 0;
            let replaced =
                self.items.iter().filter(|(number, kept)| self.latest.get(&kept.item.key) != Some(*number));
            for number in replaced.map(|(number, _)| *number).collect::<Vec<_>>() {
                self.remove_item(number);
            }
        }
        self.last_received = now;
        self.trim(now, settings);
    }

    /// Enforces the bounds.
    pub fn trim(&mut self, now: Time, settings: &Settings) {
        while let Some(first) = self.items.get(&(self.complete_after + 1)) {
            let is_expired = first.is_expired(now);
            let is_over_count = self.up_to - self.complete_after > settings.backlog_items as u64;
            if !(is_expired || is_over_count || self.complete_bytes > settings.backlog_bytes) {
                break;
            }
            self.complete_after += 1;
            self.complete_bytes -= first.item.cost();
            if is_expired || self.latest.get(&first.item.key) != Some(&self.complete_after) {
                self.remove_item(self.complete_after);
            }
        }
        while self.exceeds_state_bounds(settings) {
            let older = self.items.range(..=self.complete_after);
            let elapsed_fraction =
                |kept: &StoredItem| kept.age(now).as_seconds() / kept.item.hold.as_seconds().max(1e-6);
            let oldest = older
                .map(|(number, kept)| (elapsed_fraction(kept), *number))
                .max_by(|a, b| a.0.total_cmp(&b.0));
            match oldest {
                // It may have expired by the source's clock.
                Some((fraction, number)) if fraction >= EARLY_EXPIRY_FRACTION => self.remove_item(number),
                // Items whose replacements have not arrived yet may exceed the bounds. Dropping any other
                // item would make the state that is passed on incomplete, so all items are fetched again.
                _ => {
                    let (delivered_up_to, incarnation) = (self.delivered_up_to, self.incarnation);
                    *self = SourceLog { delivered_up_to, ..SourceLog::new(incarnation) };
                }
            }
        }
    }

    fn exceeds_state_bounds(&self, settings: &Settings) -> bool {
        let older = self.items.len() as u64 - (self.up_to - self.complete_after);
        older > settings.state_items as u64 || self.bytes - self.complete_bytes > settings.state_bytes
    }

    /// Drops expired items.
    pub fn expire(&mut self, now: Time, settings: &Settings) {
        let expired = self.items.range(..=self.complete_after).filter(|(_, kept)| kept.is_expired(now));
        for number in expired.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.remove_item(number);
        }
        self.trim(now, settings);
    }

    /// The items after a number, at least one and otherwise at most `max_bytes` bytes, with their cost.
    pub fn segment(
        &self,
        now: Time,
        source: MemberId,
        after: u64,
        max_bytes: usize,
    ) -> Option<(Segment, usize)> {
        if after >= self.up_to {
            return None;
        }
        let mut bytes = ITEM_OVERHEAD_BYTES;
        let (mut items, mut up_to) = (Vec::new(), self.up_to);
        for (number, kept) in self.items.range(after + 1..) {
            let cost = kept.item.cost();
            if !items.is_empty() && bytes + cost > max_bytes {
                up_to = number - 1;
                break;
            }
            bytes += cost;
            items.push(Item { age: kept.age(now), ..kept.item.clone() });
        }
        let head = self.up_to;
        Some((Segment { source, incarnation: self.incarnation, after, up_to, head, items }, bytes))
    }

    /// Since when the oldest item after a number has been held.
    pub fn pending_since(&self, after: u64) -> Option<Time> {
        (after < self.up_to).then(|| {
            self.items.range(after + 1..).next().map_or(self.last_received, |(_, kept)| kept.received)
        })
    }
}
