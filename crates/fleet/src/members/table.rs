//! What is known of each listed member, and the news of it that still goes round.
use crate::common::{Incarnation, MemberId};
use cherrypass::containers::Mean;
use cherrypass::ids::LocationId;
use cherrypass::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How a member stands. Of two words on the same incarnation and count, the later in this order holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Listed, and nothing was heard of it yet.
    Unheard,
    Alive,
    Suspect,
    Dead,
    /// It left in order.
    Left,
}

/// A word on a member; the newest holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    pub incarnation: Incarnation,
    /// How often this incarnation has refuted a word on it; raised by itself alone.
    pub count: u32,
    pub standing: Standing,
}

impl Claim {
    pub(super) const NONE: Claim =
        Claim { incarnation: Incarnation(0), count: 0, standing: Standing::Unheard };

    pub(super) fn with(self, standing: Standing) -> Claim {
        Claim { standing, ..self }
    }
}

pub(super) struct Entry {
    pub id: MemberId,
    pub location: LocationId,
    pub claim: Claim,
    /// The last message of this incarnation, and how long its answers took, in seconds.
    pub heard: Time,
    pub answers: Mean,
    /// How often its newest word was retold; none where it goes round no more.
    told: Option<u32>,
    /// What the caller was told last.
    shown: (Standing, Incarnation),
}

/// Listed members in the order of their ids.
pub(super) struct Table {
    pub entries: Vec<Entry>,
    /// Words that still go round, those told least first.
    news: BTreeSet<(u32, usize)>,
    changed: BTreeSet<usize>,
}

impl Table {
    pub fn new(listed: &[(MemberId, LocationId)], now: Time) -> Table {
        let mut entries: Vec<Entry> = Vec::with_capacity(listed.len());
        for &(id, location) in listed {
            let shown = (Standing::Unheard, Incarnation(0));
            let answers = Mean::default();
            entries.push(Entry { id, location, claim: Claim::NONE, heard: now, answers, told: None, shown });
        }
        entries.sort_by_key(|entry| entry.id);
        entries.dedup_by_key(|entry| entry.id);
        Table { entries, news: BTreeSet::new(), changed: BTreeSet::new() }
    }

    pub fn find(&self, id: MemberId) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id).ok()
    }

    pub fn claim(&self, i: usize) -> Claim {
        self.entries[i].claim
    }

    /// Takes a word where it is newer; with `news`, or where the one before still goes round, so does it.
    pub fn take(&mut self, i: usize, claim: Claim, news: bool) -> bool {
        if claim <= self.entries[i].claim {
            return false;
        }
        self.entries[i].claim = claim;
        self.changed.insert(i);
        let told = self.entries[i].told.take();
        told.map(|told| self.news.remove(&(told, i)));
        if news || told.is_some() {
            self.entries[i].told = Some(0);
            self.news.insert((0, i));
        }
        true
    }

    /// The words told least, each once more; those told so many times go round no more.
    pub fn tell(
        &mut self,
        most: usize,
        times: u32,
        fits: impl Fn(Standing) -> bool,
    ) -> Vec<(MemberId, Claim)> {
        let fit = self.news.iter().filter(|(_, i)| fits(self.entries[*i].claim.standing));
        let picked: Vec<(u32, usize)> = fit.take(most).copied().collect();
        for &(told, i) in &picked {
            self.news.remove(&(told, i));
            self.entries[i].told = (told + 1 < times).then_some(told + 1);
            self.news.extend(self.entries[i].told.map(|told| (told, i)));
        }
        picked.into_iter().map(|(_, i)| (self.entries[i].id, self.entries[i].claim)).collect()
    }

    /// The next member whose standing or incarnation is another than the caller was told.
    pub fn changed(&mut self, own: usize) -> Option<(MemberId, Standing, Incarnation)> {
        while let Some(i) = self.changed.pop_first() {
            let entry = &mut self.entries[i];
            let (standing, incarnation) = (entry.claim.standing, entry.claim.incarnation);
            if i != own && entry.shown != (standing, incarnation) {
                entry.shown = (standing, incarnation);
                return Some((entry.id, standing, incarnation));
            }
        }
        None
    }

    /// The same for the same words on all, whatever the order they came in.
    pub fn digest(&self) -> u64 {
        let known = self.entries.iter().filter(|entry| entry.claim != Claim::NONE);
        known.fold(0, |sum, entry| {
            let Claim { incarnation, count, standing } = entry.claim;
            let words = [entry.id.0, incarnation.0, u64::from(count), standing as u64];
            let mix = |h: u64, w: u64| (h ^ w).wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(29);
            sum.wrapping_add(words.into_iter().fold(0x9e37_79b9_7f4a_7c15, mix))
        })
    }

    /// All that is known from one id to another.
    pub fn known(&self, low: MemberId, high: MemberId) -> impl Iterator<Item = (MemberId, Claim)> + '_ {
        let within = self.entries.iter().filter(move |entry| low <= entry.id && entry.id <= high);
        within.filter(|entry| entry.claim != Claim::NONE).map(|entry| (entry.id, entry.claim))
    }
}
