//! Comparison of whole tables between two members.
use super::messages::Body;
use super::state::Members;
use super::table::{Claim, MemberState};
use crate::common::MemberId;
use std::collections::BTreeMap;

/// Claims in a chunk of the table, and claims read from one message.
const CHUNK_CLAIMS: usize = 256;
pub(super) const MAX_CLAIMS_READ: usize = 512;

impl Members {
    /// Compares tables with other members if that is due.
    pub(super) fn synchronize(&mut self) {
        if !self.is_synced {
            for i in self.pick_random(self.settings.indirect_probes, &[], |_| true) {
                self.send_digest(i);
            }
        } else if self.is_sync_due() {
            for i in self.pick_random(1, &[], |state| state == MemberState::Alive) {
                self.send_digest(i);
            }
        }
    }

    /// Frequently after a start, a pause, degraded links or the return of a dead member, otherwise rarely.
    fn is_sync_due(&mut self) -> bool {
        let is_extra = self.extra_syncs > 0 && self.rounds.is_multiple_of(2);
        self.extra_syncs -= u32::from(is_extra);
        is_extra || self.rounds.is_multiple_of(self.settings.sync_rounds.max(1))
    }

    fn send_digest(&mut self, i: usize) {
        let digest = self.table.digest();
        self.send(self.table.entries[i].id, Body::Digest { digest }, None);
    }

    pub(super) fn handle_digest(&mut self, from: MemberId, digest: u64) {
        if digest == self.table.digest() {
            return self.send(from, Body::DigestMatches, None);
        }
        let claims: Vec<_> = self.table.claims_between(MemberId(0), MemberId(u64::MAX)).collect();
        let chunks = claims.chunks(CHUNK_CLAIMS);
        let last_chunk = chunks.len().saturating_sub(1);
        let mut first = MemberId(0);
        for (k, chunk) in chunks.enumerate() {
            let end = chunk.last().map_or(first, |(id, _)| *id);
            let last = if k == last_chunk { MemberId(u64::MAX) } else { end };
            self.enqueue(from, Body::Chunk { first, last }, chunk.to_vec());
            first = MemberId(last.0.saturating_add(1));
        }
    }

    /// Sends the claims that are newer here than in another member's chunk.
    pub(super) fn send_newer(
        &mut self,
        to: MemberId,
        first: MemberId,
        last: MemberId,
        theirs: &[(MemberId, Claim)],
    ) {
        let theirs: BTreeMap<MemberId, Claim> = theirs.iter().take(MAX_CLAIMS_READ).copied().collect();
        let claims = self.table.claims_between(first, last);
        let newer = claims.filter(|(id, claim)| theirs.get(id).is_none_or(|theirs| theirs < claim));
        let newer: Vec<_> = newer.take(CHUNK_CLAIMS).collect();
        if !newer.is_empty() {
            self.enqueue(to, Body::Gossip, newer);
        }
    }
}
