//! The proposer: attempts to have a changed step accepted.
use super::incarnations::merge_incarnations;
use super::messages::RolloutMessage;
use super::state::{Attempt, Change, PendingChange, Rollout};
use super::step::{Ballot, Phase, Step};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Members that a status names.
const MAX_NAMED_MEMBERS: usize = 8;

impl Rollout {
    /// Postpones the next attempt by a random time, so that two proposers do not keep blocking each other.
    pub(super) fn back_off(&mut self, now: Time) {
        self.next_attempt_at = now + Span::seconds(self.rng.gen_range(0.3..1.5));
    }

    /// Begins attempts, resends their messages, and gives them up.
    pub(super) fn drive_attempt(&mut self, now: Time) {
        if !self.is_able() {
            self.attempt = None;
            return;
        }
        self.expire_pending_change(now);
        let Some(attempt) = &self.attempt else { return self.begin_pending_change(now) };
        if now - attempt.started > self.settings.attempt_timeout {
            self.waiting_for = self.describe_unanswered();
            self.attempt = None;
            self.back_off(now);
        } else if now - attempt.last_sent >= self.settings.resend_interval {
            self.send_attempt(now);
        }
    }

    /// Gives up a change that has waited too long for acceptances.
    fn expire_pending_change(&mut self, now: Time) {
        let timeout = self.settings.order_timeout;
        let Some(expired) = self.pending_change.take_if(|pending| now - pending.since > timeout) else {
            return;
        };
        if expired.is_order {
            let waiting_for = self.waiting_for.clone().unwrap_or_default();
            self.log(format!("rollout: an order timed out: {waiting_for}"));
        }
        self.attempt = None;
    }

    fn begin_pending_change(&mut self, now: Time) {
        if now < self.next_attempt_at {
            return;
        }
        if let Some(PendingChange { change, .. }) = self.pending_change.clone() {
            self.begin_attempt(now, Some(change));
        }
    }

    /// Begins an attempt; without a change it finishes what another member left unfinished.
    pub(super) fn begin_attempt(&mut self, now: Time, change: Option<Change>) {
        if !self.is_able() || self.attempt.is_some() {
            return;
        }
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, proposer: self.own, incarnation: self.incarnation };
        self.attempt = Some(Attempt {
            ballot,
            change,
            started: now,
            last_sent: now,
            promises: BTreeMap::new(),
            highest_accepted: None,
            incarnations: BTreeMap::new(),
            value: None,
            acceptances: BTreeMap::new(),
        });
        self.send_attempt(now);
    }

    fn send_attempt(&mut self, now: Time) {
        let Some(attempt) = &mut self.attempt else { return };
        attempt.last_sent = now;
        let ballot = attempt.ballot;
        let (answered, message) = match attempt.value {
            None => (&attempt.promises, RolloutMessage::Prepare(ballot)),
            Some(step) => (&attempt.acceptances, RolloutMessage::Accept(ballot, step)),
        };
        // A step is on the proposer's own disk before it is sent to others.
        let may_send_to_others = attempt.value.is_none() || answered.contains_key(&self.own);
        let to: Vec<MemberId> = self
            .listed
            .keys()
            .filter(|id| !answered.contains_key(id) && (may_send_to_others || **id == self.own))
            .copied()
            .collect();
        for id in to {
            self.send(id, message.clone());
        }
    }

    pub(super) fn handle_promise(
        &mut self,
        now: Time,
        from: MemberId,
        ballot: Ballot,
        incarnation: Incarnation,
        accepted: Option<(Ballot, Step)>,
        incarnations: BTreeMap<MemberId, Incarnation>,
    ) {
        let majority = self.majority();
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.ballot == ballot) else { return };
        if attempt.value.is_some() {
            return;
        }
        merge_incarnations(&mut attempt.incarnations, &self.listed, &incarnations);
        attempt.promises.insert(from, incarnation);
        if accepted.map(|(ballot, _)| ballot) > attempt.highest_accepted.map(|(ballot, _)| ballot) {
            attempt.highest_accepted = accepted;
        }
        if attempt.valid_answers(&attempt.promises).len() >= majority {
            self.propose(now, from);
        }
    }

    /// Proposes the change of the highest accepted step, or this step itself if there is no change or it does
    /// not fit. `from` is asked for documents that the step names.
    fn propose(&mut self, now: Time, from: MemberId) {
        let Some(attempt) = &self.attempt else { return };
        let change = attempt.change.clone();
        let latest = attempt.highest_accepted.map(|(_, step)| step).unwrap_or_default();
        if self.request_missing_document(from, &latest) {
            return;
        }
        let new_step = change.as_ref().and_then(|change| self.apply_change(change, latest));
        if new_step.is_none() && change.is_some() {
            self.drop_pending_change();
        }
        if new_step.is_none() && latest.at <= self.state.chosen.at {
            self.attempt = None;
            return;
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.value = Some(new_step.unwrap_or(latest));
        }
        self.send_attempt(now);
    }

    /// Gives up the pending change, which no longer fits the latest step.
    fn drop_pending_change(&mut self) {
        if self.is_order_pending() {
            self.log(
                "rollout: an order no longer fits the state of the rollout: see `rollout status`".to_owned(),
            );
        }
        self.pending_change = None;
    }

    /// Who must have accepted a step besides a majority.
    fn required_acceptors(&self, step: &Step) -> BTreeSet<MemberId> {
        if !step.promotes() {
            return BTreeSet::new();
        }
        if self.settings.promotion_needs_all || step.phase == Phase::Full {
            return self.listed.keys().copied().collect();
        }
        let version = self.documents.get(&step.version);
        version.map(|version| version.included_dispatchers(&self.listed, step.stage)).unwrap_or_default()
    }

    /// Names the members that an attempt waits for, in one line.
    fn describe_unanswered(&self) -> Option<String> {
        let attempt = self.attempt.as_ref()?;
        let answered = if attempt.value.is_some() { &attempt.acceptances } else { &attempt.promises };
        let valid = attempt.valid_answers(answered);
        let names: Vec<String> = self
            .listed
            .keys()
            .filter(|id| !valid.contains(id))
            .take(MAX_NAMED_MEMBERS)
            .map(|id| format!("{:016x}", id.0))
            .collect();
        let count = self.listed.len() - valid.len();
        Some(format!("{count} of {} dispatchers have not answered: {}", self.listed.len(), names.join(" ")))
    }

    pub(super) fn handle_accepted(
        &mut self,
        now: Time,
        from: MemberId,
        ballot: Ballot,
        incarnation: Incarnation,
        incarnations: BTreeMap<MemberId, Incarnation>,
    ) {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.ballot == ballot) else { return };
        let Some(step) = attempt.value else { return };
        merge_incarnations(&mut attempt.incarnations, &self.listed, &incarnations);
        attempt.acceptances.insert(from, incarnation);
        if from == self.own {
            self.send_attempt(now);
        }
        if self.is_accepted(&step) {
            self.finish_attempt(now, step);
        }
    }

    /// Whether the members that a step needs have promised and accepted it.
    fn is_accepted(&self, step: &Step) -> bool {
        let Some(attempt) = &self.attempt else { return false };
        let promises = attempt.valid_answers(&attempt.promises);
        let acceptances = attempt.valid_answers(&attempt.acceptances);
        let has_majority = promises.len() >= self.majority() && acceptances.len() >= self.majority();
        has_majority
            && self.required_acceptors(step).is_subset(&acceptances)
            && !(step.promotes() && self.is_halted(step))
    }

    /// The step is chosen: learns it and reports it to all.
    fn finish_attempt(&mut self, now: Time, step: Step) {
        let change = self.attempt.take().and_then(|attempt| attempt.change);
        self.settle_pending_change(change.as_ref(), &step);
        self.waiting_for = None;
        self.learn_step(now, self.own, step);
        self.next_hello = now;
        self.hello_to_all = true;
        self.send_hellos(now);
    }

    /// Drops the pending change if it is the one that was attempted and the new step contains it.
    fn settle_pending_change(&mut self, attempted: Option<&Change>, step: &Step) {
        let is_new = step.at > self.state.chosen.at;
        let is_settled = |pending: &mut PendingChange| {
            is_new && attempted == Some(&pending.change) && pending.change.is_applied(step)
        };
        self.pending_change.take_if(is_settled);
    }
}
