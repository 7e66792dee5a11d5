//! Entry points: messages, the periodic timer, shutdown, and what follows from a pause of this process.
use super::messages::{Body, Message};
use super::state::{Members, EXTRA_SYNCS};
use super::synchronization::MAX_CLAIMS_READ;
use super::table::{Claim, MemberState};
use crate::common::MemberId;
use cherrypass::time::Time;

impl Members {
    /// Handles a membership message.
    pub fn receive(&mut self, now: Time, from: MemberId, message: Message) {
        let Some(i) = self.table.find(from).filter(|_| !self.stepped_down) else { return };
        if !self.accept(now, from, message.claim.incarnation) {
            // Tells an older process under the same name about the newer one.
            if i != self.own && message.claim.incarnation < self.table.claim(i).incarnation {
                self.send(from, Body::Gossip, Some(i));
            }
            return;
        }
        self.merge_claims(now, i, &message);
        if self.stepped_down {
            return;
        }
        // Prevents two members from answering each other forever, as when both find their links degraded.
        let has_answered = matches!(message.body, Body::Gossip | Body::Ping { .. });
        self.handle_body(now, i, message);
        // The sender is not considered alive here: lets it refute that.
        if !has_answered && !matches!(self.table.claim(i).state, MemberState::Alive | MemberState::Left) {
            self.send(from, Body::Gossip, None);
        }
    }

    /// Merges the sender's claim about itself, and those it passes on.
    fn merge_claims(&mut self, now: Time, i: usize, message: &Message) {
        self.merge_if_plausible(now, i, message.claim, true);
        let gossip = !matches!(message.body, Body::Chunk { .. });
        for &(who, claim) in message.claims.iter().take(MAX_CLAIMS_READ) {
            if let Some(j) = self.table.find(who) {
                self.merge_if_plausible(now, j, claim, gossip);
            }
        }
    }

    fn handle_body(&mut self, now: Time, i: usize, message: Message) {
        let from = self.table.entries[i].id;
        match message.body {
            Body::Ping { sequence } => self.send(from, Body::Ack { sequence }, None),
            Body::PingRequest { sequence, target } => self.handle_ping_request(now, from, sequence, target),
            Body::Ack { sequence } => self.handle_ack(now, i, sequence),
            Body::PingResult { sequence, target, is_reachable } => {
                self.handle_ping_result(now, sequence, target, is_reachable);
            }
            Body::Digest { digest } => self.handle_digest(from, digest),
            Body::DigestMatches => self.is_synced = true,
            Body::Chunk { first, last } => {
                self.is_synced = true;
                self.send_newer(from, first, last, &message.claims);
            }
            Body::Gossip => {}
        }
    }

    /// Periodic work: probes, timeouts and suspicions.
    pub fn tick(&mut self, now: Time) {
        if now - self.last_tick > self.settings.max_pause {
            self.handle_pause(now);
        }
        self.last_tick = now;
        if self.is_inactive() {
            return;
        }
        if now >= self.next_round {
            self.next_round = now.max(self.next_round + self.settings.interval);
            self.start_round(now);
        }
        self.check_probes(now);
        self.check_relayed_probes(now);
        self.check_suspicions(now);
    }

    fn start_round(&mut self, now: Time) {
        self.rounds += 1;
        self.synchronize();
        if self.rounds.is_multiple_of(self.settings.dead_probe_rounds.max(1)) {
            self.probe_dead();
        }
        self.start_probe(now);
    }

    /// This process was paused: silence during the pause says nothing about other members.
    fn handle_pause(&mut self, now: Time) {
        let span = (now - self.last_tick).as_seconds();
        self.log(format!(
            "members: this process was paused for {span:.1} s; silence of other members is measured from now on"
        ));
        self.probes.clear();
        self.late_probes.clear();
        self.relayed_probes.clear();
        self.links.clear_outcomes();
        self.restart_suspicions(now);
        self.last_heard = now;
        self.extra_syncs = EXTRA_SYNCS;
    }

    /// Begins an orderly shutdown: notifies some members, stops probing, and keeps answering.
    pub fn leave(&mut self, now: Time) {
        if self.is_inactive() {
            return;
        }
        let own = self.table.claim(self.own);
        self.table.merge(
            self.own,
            Claim { refutations: own.refutations + 1, state: MemberState::Left, ..own },
            true,
        );
        (self.probes, self.relayed_probes) = (Vec::new(), Vec::new());
        self.suspicions.clear();
        self.last_tick = now;
        for i in self.pick_random(8, &[], |state| state == MemberState::Alive) {
            self.send(self.table.entries[i].id, Body::Gossip, Some(self.own));
        }
    }
}
