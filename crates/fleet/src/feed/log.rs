//! What is kept of one source: its newest items whole, and of the older ones the latest of each key.
use super::{Have, Set};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Clocks run up to 1% apart: a span measured on one is at most this much longer on another.
pub(super) const LONGER: f64 = 1.02;
/// And at least this part of it.
const SHORTER: f64 = 0.98;
/// No source numbers more between two segments: a wrong number must not void a source's stream.
const MOST_LEAP: u64 = 1 << 24;
/// Where memory is short, an item may go after this part of its hold: clocks differ.
const NEAR_END: f64 = 0.97;
/// What an item takes in memory and on the way beside its key and value, bytes.
const BESIDE: usize = 128;
/// No age or hold is longer.
pub(super) const LONGEST: Span = Span(7 * 24 * 3600 * 1_000_000);

/// One item as it is told. `age` is an upper bound at the time of the telling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub number: u64,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub hold: Span,
    pub age: Span,
}

impl Item {
    /// What it counts against bounds, bytes; a key is kept twice.
    pub(super) fn cost(&self) -> usize {
        2 * self.key.len() + self.value.len() + BESIDE
    }
}

/// Of one source all that still matters of the numbers `after + 1 ..= up_to`. Where items are missing, they
/// were replaced by later ones of their key, or have run out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub source: MemberId,
    pub incarnation: Incarnation,
    pub after: u64,
    pub up_to: u64,
    /// The last number the sender has.
    pub head: u64,
    pub items: Vec<Item>,
}

/// What a segment is to one who stands somewhere in its source's numbers.
pub(super) enum Found {
    /// Nothing new in it.
    Known,
    /// Something before it is missing.
    Gap,
    /// New items; `whole`: every number is there.
    New {
        items: Vec<Item>,
        whole: bool,
    },
    Wrong,
}

impl Segment {
    fn is_sound(&self, set: &Set) -> bool {
        let mut last = self.after;
        self.after < self.up_to
            && self.up_to <= self.head
            && self.up_to - self.after <= MOST_LEAP
            && self.items.iter().all(|item| {
                let rises = item.number > last && item.number <= self.up_to;
                last = item.number;
                rises && set.takes(&item.key, &item.value) && item.hold <= LONGEST
            })
    }

    /// `transit`: upper bound on its time on the way.
    pub(super) fn against(self, set: &Set, at: Option<Have>, transit: Span) -> Found {
        if !self.is_sound(set) {
            return Found::Wrong;
        }
        let position = match at {
            Some(at) if at.incarnation > self.incarnation => return Found::Known,
            Some(at) if at.incarnation == self.incarnation => at.number,
            _ => 0,
        };
        if position >= self.up_to {
            return Found::Known;
        }
        if self.after > position {
            return Found::Gap;
        }
        let mut items = self.items;
        items.retain(|item| item.number > position);
        for item in &mut items {
            item.age = Span(item.age.0.saturating_add(transit.0)).min(LONGEST);
        }
        let whole = items.len() as u64 == self.up_to - position;
        Found::New { items, whole }
    }
}

/// A clock value that means something to its teller alone, who gets it back, and only in the same run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    pub run: Incarnation,
    pub clock: u64,
}

/// A stamp given back, and how long it had been held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub stamp: Stamp,
    pub held: Span,
}

impl Echo {
    /// Upper bound on the way of the message that carried it.
    pub(super) fn transit(self, now: Time, run: Incarnation) -> Option<Span> {
        let gone = now.0.checked_sub(self.stamp.clock).filter(|_| self.stamp.run == run)?;
        let least = self.held.times(SHORTER);
        (least.0 <= gone).then(|| Span(gone - least.0).times(LONGER))
    }
}

#[derive(Clone, Debug)]
struct Kept {
    item: Item,
    at: Time,
}

impl Kept {
    fn age(&self, now: Time) -> Span {
        (self.item.age + (now - self.at).times(LONGER)).min(LONGEST)
    }

    fn is_over(&self, now: Time) -> bool {
        self.age(now) >= self.item.hold
    }
}

#[derive(Clone, Debug)]
pub(super) struct Log {
    pub incarnation: Incarnation,
    pub up_to: u64,
    /// Up to which number it was handed over here; more than `up_to` while all is taken anew.
    pub handed: u64,
    /// All numbers after it are there.
    whole_after: u64,
    items: BTreeMap<u64, Kept>,
    latest: BTreeMap<Vec<u8>, u64>,
    /// Of all items, and of those after `whole_after`.
    bytes: usize,
    whole_bytes: usize,
    last_at: Time,
}

impl Log {
    pub fn new(incarnation: Incarnation) -> Log {
        Log {
            incarnation,
            up_to: 0,
            handed: 0,
            whole_after: 0,
            items: BTreeMap::new(),
            latest: BTreeMap::new(),
            bytes: 0,
            whole_bytes: 0,
            last_at: Time(0),
        }
    }

    /// Items and bytes held.
    pub fn size(&self) -> (usize, usize) {
        (self.items.len(), self.bytes)
    }

    /// Whether the latest items of all keys fit into half the state with this one; the other half is for
    /// those that a member still holds which has yet to get their replacements.
    pub fn fits(&self, set: &Set, item: &Item) -> bool {
        let live = self.latest.iter().filter(|(key, _)| **key != item.key);
        let costs = live.filter_map(|(_, number)| self.items.get(number)).map(|kept| kept.item.cost());
        let (count, bytes) = costs.fold((1, item.cost()), |sum, cost| (sum.0 + 1, sum.1 + cost));
        2 * count <= set.state_items && 2 * bytes <= set.state_bytes
    }

    fn drop_item(&mut self, number: u64) {
        let Some(kept) = self.items.remove(&number) else { return };
        self.bytes -= kept.item.cost();
        if self.latest.get(&kept.item.key) == Some(&number) {
            self.latest.remove(&kept.item.key);
        }
    }

    /// Takes what is new up to a number; `whole`: with no number missing.
    pub fn take(&mut self, now: Time, items: Vec<Item>, up_to: u64, whole: bool, set: &Set) {
        for item in items {
            let (number, cost) = (item.number, item.cost());
            self.bytes += cost;
            self.whole_bytes += cost;
            let replaced = self.latest.insert(item.key.clone(), number);
            self.items.insert(number, Kept { item, at: now });
            if let Some(old) = replaced.filter(|old| *old <= self.whole_after) {
                self.drop_item(old);
            }
            if whole {
                self.up_to = number;
                self.trim(now, set);
            }
        }
        self.up_to = up_to;
        if !whole {
            self.whole_after = up_to;
            self.whole_bytes = 0;
            let gone =
                self.items.iter().filter(|(number, kept)| self.latest.get(&kept.item.key) != Some(*number));
            for number in gone.map(|(number, _)| *number).collect::<Vec<_>>() {
                self.drop_item(number);
            }
        }
        self.last_at = now;
        self.trim(now, set);
    }

    /// Holds the bounds.
    pub fn trim(&mut self, now: Time, set: &Set) {
        while let Some(first) = self.items.get(&(self.whole_after + 1)) {
            let over = first.is_over(now);
            let many = self.up_to - self.whole_after > set.backlog_items as u64;
            if !(over || many || self.whole_bytes > set.backlog_bytes) {
                break;
            }
            self.whole_after += 1;
            self.whole_bytes -= first.item.cost();
            if over || self.latest.get(&first.item.key) != Some(&self.whole_after) {
                self.drop_item(self.whole_after);
            }
        }
        while self.passes(set) {
            let older = self.items.range(..=self.whole_after);
            let part = |kept: &Kept| kept.age(now).as_seconds() / kept.item.hold.as_seconds().max(1e-6);
            let most = older.map(|(number, kept)| (part(kept), *number)).max_by(|a, b| a.0.total_cmp(&b.0));
            match most {
                // By the source's clock it has run out.
                Some((part, number)) if part >= NEAR_END => self.drop_item(number),
                // Items replaced by ones that are still to come here can be too many. One that dropped any
                // other would pass on a state that isn't whole: it takes all anew instead.
                _ => {
                    let (handed, incarnation) = (self.handed, self.incarnation);
                    *self = Log { handed, ..Log::new(incarnation) };
                }
            }
        }
    }

    fn passes(&self, set: &Set) -> bool {
        let older = self.items.len() as u64 - (self.up_to - self.whole_after);
        older > set.state_items as u64 || self.bytes - self.whole_bytes > set.state_bytes
    }

    /// Forgets what has run out.
    pub fn expire(&mut self, now: Time, set: &Set) {
        let over = self.items.range(..=self.whole_after).filter(|(_, kept)| kept.is_over(now));
        for number in over.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.drop_item(number);
        }
        self.trim(now, set);
    }

    /// What follows a number, at least one item, else at most so many bytes.
    pub fn segment(&self, now: Time, source: MemberId, after: u64, room: usize) -> Option<(Segment, usize)> {
        if after >= self.up_to {
            return None;
        }
        let mut bytes = BESIDE;
        let (mut items, mut up_to) = (Vec::new(), self.up_to);
        for (number, kept) in self.items.range(after + 1..) {
            let cost = kept.item.cost();
            if !items.is_empty() && bytes + cost > room {
                up_to = number - 1;
                break;
            }
            bytes += cost;
            items.push(Item { age: kept.age(now), ..kept.item.clone() });
        }
        let head = self.up_to;
        Some((Segment { source, incarnation: self.incarnation, after, up_to, head, items }, bytes))
    }

    /// Since when something after a number has waited.
    pub fn waits_since(&self, after: u64) -> Option<Time> {
        (after < self.up_to)
            .then(|| self.items.range(after + 1..).next().map_or(self.last_at, |(_, kept)| kept.at))
    }
}
