//! Visits of bands that may not run twice: on record before a hand-off's first byte, gone once it is known that they
//! ended well or never ran, and told to the module when the same visit comes again.
use crate::records::{bytes, read, Record};
use cherrypass::ids::{HostId, VisitId};
use cherrypass::settings::Effect;
use cherrypass::time::{Span, UnixTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const SPACE: &str = "visits";

/// What names a visit beyond its connection: the key that all its tries share, or where there is none its own id.
pub type Name = Vec<u8>;

/// One that may have run: when its first hand-off went out, and where to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MayHaveRun {
    pub band: String,
    pub at: u64,
    pub host: u64,
    /// The host's name, for whoever looks into it.
    pub host_name: String,
    /// For how long a deduplicated visit's repeat is dropped; none for an at-most-once one.
    pub memory: Option<u64>,
}

impl MayHaveRun {
    pub fn first(&self) -> (UnixTime, HostId) {
        (UnixTime(self.at), HostId(self.host))
    }
}

/// What is to happen before a hand-off goes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Before {
    /// Nothing.
    Go,
    /// This is to be on disk.
    Record(Record),
}

/// How the store took a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Kept,
    /// It is full, stalled or broken.
    Refused,
}

#[derive(Debug)]
struct Open {
    name: Name,
    told: MayHaveRun,
    kept: bool,
    out: u32,
    ran: bool,
}

impl Open {
    fn may_have_run(&self) -> bool {
        self.ran || self.out > 0
    }
}

/// What is known of such visits: open ones, and those that may have run and are over.
#[derive(Debug, Default)]
pub struct Visits {
    open: BTreeMap<VisitId, Open>,
    over: BTreeMap<Name, MayHaveRun>,
    remember: Span,
    go_on: bool,
    refused: u64,
}

impl Visits {
    /// What the store told at the start; what is over is dropped. A time still to come counts as now.
    pub fn start<'a>(
        now: UnixTime,
        records: impl Iterator<Item = (&'a [u8], &'a [u8])>,
        remember: Span,
        go_on: bool,
    ) -> Visits {
        let known = records.filter_map(|(key, value)| Some((key.to_vec(), read::<MayHaveRun>(value)?)));
        let known = known.map(|(name, told)| (name, MayHaveRun { at: told.at.min(now.0), ..told }));
        let over = known.filter(|(_, told)| now < end(told, remember)).collect();
        Visits { open: BTreeMap::new(), over, remember, go_on, refused: 0 }
    }

    /// Those that may have run and are over, at-most-once ones first: operators look into these.
    pub fn over(&self) -> impl Iterator<Item = (&Name, &MayHaveRun)> {
        let (deduplicated, at_most_once): (Vec<_>, Vec<_>) =
            self.over.iter().partition(|(_, told)| told.memory.is_some());
        at_most_once.into_iter().chain(deduplicated)
    }

    /// What the module is to be told as a visit comes: an earlier try of it that may have run.
    pub fn arrived(&self, now: UnixTime, name: &[u8]) -> Option<(UnixTime, HostId)> {
        let told = self.over.get(name).filter(|told| now < end(told, self.remember));
        told.or_else(|| self.beside(name).map(|open| &open.told)).map(MayHaveRun::first)
    }

    /// Another try of the same that is open and may have run.
    fn beside(&self, name: &[u8]) -> Option<&Open> {
        self.open.values().find(|open| open.name == name && open.may_have_run())
    }

    /// A hand-off is about to go out. Only the first that may run needs a record: where that went, repeats are dropped.
    pub fn hand_off(&mut self, id: VisitId, name: &[u8], effect: Effect, told: MayHaveRun) -> Before {
        let memory = match effect {
            Effect::Idempotent => return Before::Go,
            Effect::Deduplicated { memory, .. } => Some(memory.0),
            Effect::AtMostOnce => None,
        };
        let told = MayHaveRun { memory, ..told };
        if let Some(open) = self.open.get_mut(&id) {
            // What went out before never ran: from here on it counts.
            if !open.may_have_run() {
                (open.told, open.kept) = (told, false);
            }
            open.out += 1;
            if open.kept {
                return Before::Go;
            }
            return Before::Record(record(&open.name, &open.told, self.remember));
        }
        // An earlier try's hand-off is the first, and its record stands, also while that try is open.
        let earlier = self.over.remove(name).map(|told| (told, true));
        let earlier = earlier.or_else(|| self.beside(name).map(|open| (open.told.clone(), open.kept)));
        let ran = earlier.is_some();
        let (told, kept) = earlier.unwrap_or((told, false));
        let before = if kept { Before::Go } else { Before::Record(record(name, &told, self.remember)) };
        let open = Open { name: name.to_vec(), told, kept, out: 1, ran };
        self.open.insert(id, open);
        before
    }

    /// What the store made of a hand-off's record; whether the hand-off may go out.
    pub fn taken(&mut self, id: VisitId, taken: Taken) -> bool {
        if taken == Taken::Refused {
            self.refused += 1;
            return self.go_on;
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.kept = true;
        }
        true
    }

    /// Hand-offs that were refused a record since this was asked last.
    pub fn refused(&mut self) -> u64 {
        std::mem::take(&mut self.refused)
    }

    pub fn ended(&mut self, id: VisitId, never_ran: bool) {
        if let Some(open) = self.open.get_mut(&id) {
            open.out = open.out.saturating_sub(1);
            open.ran |= !never_ran;
        }
    }

    /// A visit has its final answer or its client has left. Its record goes where it ended well or never ran; else it
    /// stays for as long as a repeat could do harm.
    pub fn closed(&mut self, id: VisitId, settled: bool) -> Option<Record> {
        let open = self.open.remove(&id)?;
        // While another try is open the record is that one's.
        if let Some(other) = self.open.values_mut().find(|other| other.name == open.name) {
            other.ran |= open.may_have_run();
            return None;
        }
        if settled || !open.may_have_run() {
            return Some(Record { space: SPACE, key: open.name, value: None, until: None });
        }
        self.over.insert(open.name, open.told);
        None
    }

    /// Drops what is over for good.
    pub fn forget(&mut self, now: UnixTime) {
        let remember = self.remember;
        self.over.retain(|_, told| now < end(told, remember));
    }
}

/// Past its group's memory a repeat would run again, so the record has to outlast that.
fn end(told: &MayHaveRun, remember: Span) -> UnixTime {
    UnixTime(told.at) + remember.max(told.memory.map_or(Span::ZERO, Span))
}

fn record(name: &[u8], told: &MayHaveRun, remember: Span) -> Record {
    Record { space: SPACE, key: name.to_vec(), value: Some(bytes(told)), until: Some(end(told, remember)) }
}
