//! What is known about each listed member, and the updates that are still being gossiped.
use crate::common::{Incarnation, MemberId};
use cherrypass::containers::MovingAverage;
use cherrypass::ids::LocationId;
use cherrypass::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// State of a member. Of two claims with the same incarnation and count, the later state in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Listed, and not heard of yet.
    Unknown,
    Alive,
    Suspect,
    Dead,
    /// Shut down in an orderly way.
    Left,
}

/// A claim about a member; the greatest wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    pub incarnation: Incarnation,
    /// How often this incarnation has refuted a claim about itself; only raised by the member itself.
    pub refutations: u32,
    pub state: MemberState,
}

impl Claim {
    pub(super) const NONE: Claim =
        Claim { incarnation: Incarnation(0), refutations: 0, state: MemberState::Unknown };

    pub(super) fn with(self, state: MemberState) -> Claim {
        Claim { state, ..self }
    }
}

/// One listed member.
pub(super) struct Entry {
    pub id: MemberId,
    pub location: LocationId,
    pub claim: Claim,
    /// When the last message of this incarnation came, and its mean response time in seconds.
    pub last_heard: Time,
    pub response_times: MovingAverage,
    /// How often the newest claim was sent on; `None` once it is no longer gossiped.
    times_sent: Option<u32>,
    /// What was last reported to the caller.
    reported: (MemberState, Incarnation),
}

/// The listed members, ordered by id.
pub(super) struct Table {
    pub entries: Vec<Entry>,
    /// Claims still being gossiped, least sent first.
    gossip: BTreeSet<(u32, usize)>,
    changed: BTreeSet<usize>,
}

impl Table {
    pub fn new(listed: &[(MemberId, LocationId)], now: Time) -> Table {
        let mut entries: Vec<Entry> = Vec::with_capacity(listed.len());
        for &(id, location) in listed {
            let reported = (MemberState::Unknown, Incarnation(0));
            let response_times = MovingAverage::default();
            entries.push(Entry {
                id,
                location,
                claim: Claim::NONE,
                last_heard: now,
                response_times,
                times_sent: None,
                reported,
            });
        }
        entries.sort_by_key(|entry| entry.id);
        entries.dedup_by_key(|entry| entry.id);
        Table { entries, gossip: BTreeSet::new(), changed: BTreeSet::new() }
    }

    pub fn find(&self, id: MemberId) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id).ok()
    }

    pub fn claim(&self, i: usize) -> Claim {
        self.entries[i].claim
    }

    /// Merges a claim if it is newer. It is gossiped if `gossip` is set or the previous one still was.
    pub fn merge(&mut self, i: usize, claim: Claim, gossip: bool) -> bool {
        if claim <= self.entries[i].claim {
            return false;
        }
        self.entries[i].claim = claim;
        self.changed.insert(i);
        let times_sent = self.entries[i].times_sent.take();
        times_sent.map(|times_sent| self.gossip.remove(&(times_sent, i)));
        if gossip || times_sent.is_some() {
            self.entries[i].times_sent = Some(0);
            self.gossip.insert((0, i));
        }
        true
    }

    /// The claims sent least, counted as sent once more; after `times` they are no longer gossiped.
    pub fn next_updates(
        &mut self,
        max: usize,
        times: u32,
        fits: impl Fn(MemberState) -> bool,
    ) -> Vec<(MemberId, Claim)> {
        let fit = self.gossip.iter().filter(|(_, i)| fits(self.entries[*i].claim.state));
        let picked: Vec<(u32, usize)> = fit.take(max).copied().collect();
        for &(times_sent, i) in &picked {
            self.gossip.remove(&(times_sent, i));
            self.entries[i].times_sent = (times_sent + 1 < times).then_some(times_sent + 1);
            self.gossip.extend(self.entries[i].times_sent.map(|times_sent| (times_sent, i)));
        }
        picked.into_iter().map(|(_, i)| (self.entries[i].id, self.entries[i].claim)).collect()
    }

    /// The next member whose state or incarnation differs from what was reported to the caller.
    pub fn next_change(&mut self, own: usize) -> Option<(MemberId, MemberState, Incarnation)> {
        while let Some(i) = self.changed.pop_first() {
            let entry = &mut self.entries[i];
            let (state, incarnation) = (entry.claim.state, entry.claim.incarnation);
            if i != own && entry.reported != (state, incarnation) {
                entry.reported = (state, incarnation);
                return Some((entry.id, state, incarnation));
            }
        }
        None
    }

    /// Checksum of all claims, independent of the order in which they came.
    pub fn digest(&self) -> u64 {
        let claimed = self.entries.iter().filter(|entry| entry.claim != Claim::NONE);
        claimed.fold(0, |sum, entry| {
            let Claim { incarnation, refutations, state } = entry.claim;
            let values = [entry.id.0, incarnation.0, u64::from(refutations), state as u64];
            let mix =
                |hash: u64, value: u64| (hash ^ value).wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(29);
            sum.wrapping_add(values.into_iter().fold(0x9e37_79b9_7f4a_7c15, mix))
        })
    }

    /// All claims about members from one id to another, inclusive.
    pub fn claims_between(
        &self,
        first: MemberId,
        last: MemberId,
    ) -> impl Iterator<Item = (MemberId, Claim)> + '_ {
        let within = self.entries.iter().filter(move |entry| first <= entry.id && entry.id <= last);
        within.filter(|entry| entry.claim != Claim::NONE).map(|entry| (entry.id, entry.claim))
    }
}
