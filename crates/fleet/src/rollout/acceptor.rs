//! The acceptor: promises and acceptances of this member.
use super::messages::RolloutMessage;
use super::state::{Rollout, MAX_NUMBER_JUMP};
use super::step::{Ballot, Step};
use crate::common::MemberId;

impl Rollout {
    pub(super) fn refusal(&self, ballot: Ballot) -> RolloutMessage {
        RolloutMessage::Refuse { ballot, higher: self.state.promised, halt: self.state.halt.clone() }
    }

    /// Whether the ballot's round is too far ahead to be valid.
    fn is_implausible(&self, ballot: Ballot) -> bool {
        ballot.round > self.highest_round.max(self.state.promised.round).saturating_add(MAX_NUMBER_JUMP)
    }

    pub(super) fn handle_prepare(&mut self, from: MemberId, ballot: Ballot) {
        // Guards against answers of a member that may have lost earlier ones.
        if !self.is_able() || self.is_implausible(ballot) || ballot.proposer != from {
            return;
        }
        if ballot < self.state.promised {
            let message = self.refusal(ballot);
            return self.send(from, message);
        }
        self.highest_round = self.highest_round.max(ballot.round);
        self.state.promised = ballot;
        self.is_dirty = true;
        let (accepted, incarnations) = (self.state.accepted, self.state.incarnations.clone());
        self.answer_after_record(
            from,
            RolloutMessage::Promise { ballot, incarnation: self.incarnation, accepted, incarnations },
        );
    }

    pub(super) fn handle_accept(&mut self, from: MemberId, ballot: Ballot, step: Step) {
        if !self.is_able() || self.is_implausible(ballot) || ballot.proposer != from {
            return;
        }
        // A halt takes precedence over promotion. Guards against a promotion after a halt that the proposer
        // has not heard of.
        if ballot < self.state.promised || (step.promotes() && self.is_halted(&step)) {
            let message = self.refusal(ballot);
            return self.send(from, message);
        }
        if self.request_missing_document(from, &step) {
            return;
        }
        self.highest_round = self.highest_round.max(ballot.round);
        self.state.promised = ballot;
        self.state.accepted = Some((ballot, step));
        self.is_dirty = true;
        self.acknowledge_after_record(from, ballot, step);
        self.prune_documents();
    }
}
