//! Records on disk, and what is done once they are written.
use super::calls::Effect;
use super::messages::RolloutMessage;
use super::state::{Deferred, RecordInFlight, Rollout, MAX_MEMBERS};
use super::step::{Ballot, Record, Step};
use super::version::VersionId;
use crate::common::MemberId;
use cherrypass::time::Time;

/// Bound on what waits for the next record.
const MAX_AWAITING: usize = 4 * MAX_MEMBERS;

impl Rollout {
    /// The record is on disk (`is_written`), or could not be written.
    pub fn record_written(&mut self, now: Time, ticket: u64, is_written: bool) {
        let Some(RecordInFlight { document, .. }) =
            self.record_in_flight.take_if(|record| record.ticket == ticket)
        else {
            return;
        };
        if !is_written {
            return self.handle_failed_write(now, document);
        }
        if document.is_none() {
            self.handle_written_state();
        }
        self.flush(now);
    }

    /// Keeps what was to be written for the next try. Answers to other members are dropped: they ask again.
    fn handle_failed_write(&mut self, now: Time, document: Option<VersionId>) {
        if self.is_store_ok {
            self.log(
                "rollout: the store can't be written; this dispatcher takes no part until it can".to_owned(),
            );
        }
        self.is_store_ok = false;
        self.store_retry_at = now + self.settings.store_rest;
        let unwritten = std::mem::take(&mut self.awaiting_record);
        self.awaiting_next_record.extend(unwritten);
        self.awaiting_next_record.retain(|deferred| matches!(deferred, Deferred::ApplyRules(_)));
        match document {
            Some(id) => self.unsaved_documents.push(id),
            None => self.is_dirty = true,
        }
    }

    fn handle_written_state(&mut self) {
        if !self.is_store_ok {
            self.log("rollout: the store can be written again".to_owned());
        }
        self.is_store_ok = true;
        for deferred in std::mem::take(&mut self.awaiting_record) {
            self.complete(deferred);
        }
    }

    /// Sends an answer after the next record: a promise is on disk before it is given.
    pub(super) fn answer_after_record(&mut self, to: MemberId, message: RolloutMessage) {
        self.defer_answer(Deferred::Send(to, message));
    }

    /// Sends the answer to an `Accept` after the next record.
    pub(super) fn acknowledge_after_record(&mut self, to: MemberId, ballot: Ballot, step: Step) {
        self.defer_answer(Deferred::Ack { to, ballot, step });
    }

    fn defer_answer(&mut self, answer: Deferred) {
        if self.awaiting_next_record.len() < MAX_AWAITING {
            self.awaiting_next_record.push(answer);
        }
    }

    /// Puts a version in force after the next record.
    pub(super) fn apply_after_record(&mut self, id: VersionId) {
        let is_same = |deferred: &Deferred| matches!(deferred, Deferred::ApplyRules(other) if *other == id);
        if !self.awaiting_next_record.iter().any(is_same) {
            self.awaiting_next_record.push(Deferred::ApplyRules(id));
        }
    }

    /// At the end of each call: handles messages to itself, then writes the next record if there is one.
    pub(super) fn flush(&mut self, now: Time) {
        while let Some(message) = self.inbox.pop_front() {
            self.handle(now, self.own, message);
        }
        if self.record_in_flight.is_some() || (!self.is_store_ok && now < self.store_retry_at) {
            return;
        }
        let ticket = self.state.count + 1;
        if let Some(id) = self.unsaved_documents.pop() {
            // Every unsaved document is in `documents` (`prune_documents`).
            if let Some(version) = self.documents.get(&id) {
                let record = Record::Document(version.clone());
                self.state.count = ticket;
                self.write(RecordInFlight { ticket, document: Some(id) }, record);
            }
        } else if self.is_dirty || !self.is_store_ok || !self.awaiting_next_record.is_empty() {
            self.is_dirty = false;
            self.state.count = ticket;
            self.awaiting_record.append(&mut self.awaiting_next_record);
            let record = Record::State(Box::new(self.state.clone()));
            self.write(RecordInFlight { ticket, document: None }, record);
        }
    }

    fn write(&mut self, in_flight: RecordInFlight, record: Record) {
        self.record_in_flight = Some(in_flight);
        self.effects.push_back(Effect::Store { ticket: in_flight.ticket, record });
    }

    /// Completes what waited for the disk.
    fn complete(&mut self, deferred: Deferred) {
        match deferred {
            Deferred::Send(to, message) => self.send(to, message),
            Deferred::ApplyRules(id) => {
                if id == self.state.in_force {
                    self.put_in_force(id);
                }
            }
            Deferred::Ack { to, ballot, step } => {
                // Guards against a halt that arrived during the write: it must not be overtaken by a
                // promotion.
                let is_refused = ballot < self.state.promised || (step.promotes() && self.is_halted(&step));
                let message = if is_refused {
                    self.refusal(ballot)
                } else {
                    let incarnations = self.state.incarnations.clone();
                    RolloutMessage::Accepted { ballot, incarnation: self.incarnation, incarnations }
                };
                self.send(to, message);
            }
        }
    }
}
