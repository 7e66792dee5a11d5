//! Sending: gossiped claims are added to every message, and random receivers are picked.
use super::messages::{Body, Message};
use super::state::Members;
use super::table::{Claim, MemberState};
use crate::common::MemberId;
use rand::seq::SliceRandom;

/// Gossiped claims that a message carries.
const MAX_GOSSIPED_CLAIMS: usize = 24;
/// Bound on queued messages.
const MAX_QUEUED_MESSAGES: usize = 8192;

impl Members {
    /// Up to `max` random other members that fit.
    pub(super) fn pick_random(
        &mut self,
        max: usize,
        excluded: &[usize],
        fits: impl Fn(MemberState) -> bool,
    ) -> Vec<usize> {
        let entries = self.table.entries.iter().enumerate();
        let fit = entries.filter(|(i, e)| *i != self.own && !excluded.contains(i) && fits(e.claim.state));
        let mut indices: Vec<usize> = fit.map(|(i, _)| i).collect();
        let (picked, _) = indices.partial_shuffle(&mut self.rng, max);
        picked.to_vec()
    }

    /// Sends a message with gossiped claims, the claim about the receiver where that is not alive, and the
    /// claim about one more member.
    pub(super) fn send(&mut self, to: MemberId, body: Body, about: Option<usize>) {
        let times = (f64::from(self.settings.gossip_factor) * self.log2_members()).ceil() as u32;
        let links_degraded = self.links_degraded;
        let fits = |state| !links_degraded || !matches!(state, MemberState::Suspect | MemberState::Dead);
        let mut claims = self.table.next_updates(MAX_GOSSIPED_CLAIMS, times, fits);
        let receiver = self.table.find(to).filter(|i| self.table.claim(*i).state != MemberState::Alive);
        for i in receiver.into_iter().chain(about) {
            let claim = (self.table.entries[i].id, self.table.claim(i));
            if claim.1 != Claim::NONE && fits(claim.1.state) && !claims.contains(&claim) {
                claims.push(claim);
            }
        }
        self.enqueue(to, body, claims);
    }

    pub(super) fn enqueue(&mut self, to: MemberId, body: Body, claims: Vec<(MemberId, Claim)>) {
        if self.messages.len() < MAX_QUEUED_MESSAGES {
            let claim = self.table.claim(self.own);
            self.messages.push_back((to, Message { claim, body, claims }));
        }
    }
}
