//! Entry points: messages, figures and the periodic timer.
use super::figures::Figures;
use super::messages::RolloutMessage;
use super::state::{Rollout, MAX_NUMBER_JUMP};
use super::step::{Ballot, Halt};
use crate::common::MemberId;
use cherrypass::time::Time;

impl Rollout {
    /// Handles a message of another member.
    pub fn receive(&mut self, now: Time, from: MemberId, message: RolloutMessage) {
        if from != self.own && self.listed.contains_key(&from) {
            self.handle(now, from, message);
            self.flush(now);
        }
    }

    /// Handles a message of a member, or of this one to itself.
    pub(super) fn handle(&mut self, now: Time, from: MemberId, message: RolloutMessage) {
        match message {
            RolloutMessage::Hello(hello) => self.handle_hello(now, from, *hello),
            RolloutMessage::RequestDocument(id) => self.handle_document_request(from, id),
            RolloutMessage::Document(version) => self.handle_document(now, version),
            RolloutMessage::CatchUp(incarnation) => self.handle_catch_up(from, incarnation),
            RolloutMessage::CatchUpAnswer { to, has_caught_up, state } => {
                if to == self.incarnation {
                    self.handle_catch_up_answer(now, from, has_caught_up, *state);
                }
            }
            RolloutMessage::Prepare(ballot) => self.handle_prepare(from, ballot),
            RolloutMessage::Accept(ballot, step) => self.handle_accept(from, ballot, step),
            RolloutMessage::Promise { ballot, incarnation, accepted, incarnations } => {
                self.handle_promise(now, from, ballot, incarnation, accepted, incarnations);
            }
            RolloutMessage::Accepted { ballot, incarnation, incarnations } => {
                self.handle_accepted(now, from, ballot, incarnation, incarnations)
            }
            RolloutMessage::Refuse { ballot, higher, halt } => {
                self.handle_refusal(now, ballot, higher, halt);
            }
        }
    }

    fn handle_refusal(&mut self, now: Time, ballot: Ballot, higher: Ballot, halt: Option<Halt>) {
        if let Some(halt) = halt {
            self.handle_halt(halt);
        }
        if higher.round <= self.highest_round.saturating_add(MAX_NUMBER_JUMP) {
            self.highest_round = self.highest_round.max(higher.round);
        }
        if higher > ballot && self.attempt.as_ref().is_some_and(|attempt| attempt.ballot == ballot) {
            self.attempt = None;
            self.back_off(now);
        }
    }

    /// Adds this dispatcher's counts of the last second.
    pub fn add_figures(&mut self, now: Time, figures: Figures) {
        self.open_window.window.figures.add(figures.clamped());
        self.close_window(now);
    }

    /// The periodic timer.
    pub fn tick(&mut self, now: Time) {
        self.close_window(now);
        self.catch_up(now);
        self.drive_attempt(now);
        self.drive_rollout(now);
        self.send_hellos(now);
        self.flush(now);
    }
}
