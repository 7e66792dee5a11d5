//! Claims about members: which are accepted, what follows from a new one, and refutation of those about this
//! member.
use super::messages::Body;
use super::state::{Members, Suspicion, EXTRA_SYNCS};
use super::table::{Claim, MemberState};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};

/// Claims with a greater count are rejected, as their subject could not refute them any more.
const MAX_REFUTATIONS: u32 = 1 << 30;

impl Members {
    /// Notes a message of any kind. False if it has to be ignored: its sender is not listed, its incarnation
    /// is outdated or too far in the future, or this process has stepped down.
    pub fn accept(&mut self, now: Time, from: MemberId, incarnation: Incarnation) -> bool {
        let Some(i) = self.table.find(from).filter(|_| !self.stepped_down) else { return false };
        let claim = Claim { incarnation, refutations: 0, state: MemberState::Alive };
        if !self.is_plausible(now, i, claim) || incarnation < self.table.claim(i).incarnation {
            return false;
        }
        if i == self.own {
            self.handle_own_claim(now, claim);
            return false;
        }
        self.merge(now, i, claim, true);
        self.table.entries[i].last_heard = now;
        self.last_heard = now;
        true
    }

    /// Rejects claims that no newer one could ever replace, as sent by a faulty peer or one with a wrong
    /// clock.
    fn is_plausible(&mut self, now: Time, i: usize, claim: Claim) -> bool {
        let clock = self.table.claim(self.own).incarnation.0.saturating_add((now - self.started).0);
        let newest = clock.saturating_add(self.settings.max_incarnation_lead.0);
        if claim.incarnation.0 <= newest
            && claim.refutations <= MAX_REFUTATIONS
            && claim.state != MemberState::Unknown
        {
            return true;
        }
        if self.last_rejection_logged.is_none_or(|at| now - at > Span::millis(10_000)) {
            self.last_rejection_logged = Some(now);
            let (id, ahead) = (self.table.entries[i].id.0, self.settings.max_incarnation_lead.as_seconds());
            self.log(format!(
                "members: ignored a claim about {id:x} with incarnation {} (at most {ahead} s ahead of this clock is \
                 allowed) and {} refutations; compare the clocks of the machines",
                claim.incarnation.0, claim.refutations
            ));
        }
        false
    }

    pub(super) fn merge_if_plausible(&mut self, now: Time, i: usize, claim: Claim, gossip: bool) {
        if self.is_plausible(now, i, claim) {
            self.merge(now, i, claim, gossip);
        }
    }

    pub(super) fn merge(&mut self, now: Time, i: usize, claim: Claim, gossip: bool) {
        if i == self.own {
            return self.handle_own_claim(now, claim);
        }
        let before = self.table.claim(i).state;
        if !self.table.merge(i, claim, gossip) {
            return;
        }
        if before == MemberState::Dead && claim.state == MemberState::Alive {
            // Possibly one of many, as after a network partition.
            self.extra_syncs = EXTRA_SYNCS;
        }
        if claim.state == MemberState::Suspect {
            let next_check = now + self.refutation_time().times(0.5);
            self.suspicions.insert(i, Suspicion { since: now, is_own: false, next_check });
            return;
        }
        self.suspicions.remove(&i);
        if claim.state >= MemberState::Dead {
            self.probes.retain(|probe| probe.target != i);
            self.relayed_probes.retain(|probe| probe.target != i);
        }
    }

    /// Handles a claim about this process: of a newer process under the same name, or one to refute.
    fn handle_own_claim(&mut self, now: Time, claim: Claim) {
        let own = self.table.claim(self.own);
        if claim.incarnation > own.incarnation {
            self.stepped_down = true;
        } else if claim.incarnation == own.incarnation && claim > own && claim.state != MemberState::Alive {
            self.table.merge(self.own, Claim { refutations: claim.refutations + 1, ..own }, true);
            // Sent to some members at once, as the time to refute is limited.
            for i in self.pick_random(self.settings.indirect_probes, &[], |state| state == MemberState::Alive)
            {
                self.send(self.table.entries[i].id, Body::Gossip, None);
            }
            self.last_heard = now;
        }
    }
}
