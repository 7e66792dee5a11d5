//! Catching up: a member takes part only once it knows what enough others know.
use super::incarnations::merge_incarnations;
use super::messages::RolloutMessage;
use super::state::{Rollout, MAX_NUMBER_JUMP};
use super::step::State;
use super::version::VersionId;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::Time;
use rand::Rng;

/// Members that are asked for their state at a time.
const MAX_ASKED: usize = 32;

impl Rollout {
    pub(super) fn handle_catch_up(&mut self, from: MemberId, incarnation: Incarnation) {
        let latest = self.state.incarnations.entry(from).or_default();
        if *latest < incarnation {
            *latest = incarnation;
            self.is_dirty = true;
        }
        if *latest != incarnation {
            return;
        }
        let has_caught_up = self.is_able();
        let mut state = self.state.clone();
        // The version in force belongs to this member alone.
        state.in_force = VersionId::default();
        self.answer_after_record(
            from,
            RolloutMessage::CatchUpAnswer { to: incarnation, has_caught_up, state: Box::new(state) },
        );
    }

    pub(super) fn handle_catch_up_answer(
        &mut self,
        now: Time,
        from: MemberId,
        has_caught_up: bool,
        state: State,
    ) {
        if self.catch_up_answers.is_none() {
            return;
        }
        self.merge_register(&state);
        if let Some(answers) = &mut self.catch_up_answers {
            answers.insert(from, has_caught_up);
        }
        if state.chosen.at > self.state.chosen.at {
            self.learn_step(now, from, state.chosen);
        }
        if let Some(halt) = state.halt {
            self.handle_halt(halt);
        }
        if let Some((_, step)) = self.state.accepted {
            for id in self.missing_documents(&step) {
                self.request_document(from, id);
            }
        }
        self.try_finish_catch_up(now);
    }

    /// Takes over what another member has promised and accepted, and the runs it knows of.
    fn merge_register(&mut self, other: &State) {
        if other.promised.round <= self.highest_round.saturating_add(MAX_NUMBER_JUMP) {
            self.highest_round = self.highest_round.max(other.promised.round);
            self.state.promised = self.state.promised.max(other.promised);
        }
        if other.accepted.map(|(ballot, _)| ballot) > self.state.accepted.map(|(ballot, _)| ballot) {
            self.state.accepted = other.accepted;
        }
        merge_incarnations(&mut self.state.incarnations, &self.listed, &other.incarnations);
        self.is_dirty = true;
    }

    /// Finishes catching up once every majority that may have answered something includes a member heard now:
    /// by number alone if these have caught up themselves, else by as many more as may have lost records at
    /// the same time.
    pub(super) fn try_finish_catch_up(&mut self, now: Time) {
        let Some(answers) = &self.catch_up_answers else { return };
        let members = self.listed.len();
        let required = members - self.majority() + 1;
        let caught_up = answers.values().filter(|has_caught_up| **has_caught_up).count();
        if caught_up >= required
            || answers.len() + 1 >= members.min(required + self.settings.max_faulty_stores)
        {
            self.catch_up_answers = None;
            self.is_dirty = true;
            self.apply_chosen_step(now);
        }
    }

    /// Asks members that have not answered yet for their state.
    pub(super) fn catch_up(&mut self, now: Time) {
        let Some(answers) = &self.catch_up_answers else { return };
        if now < self.next_catch_up {
            return;
        }
        self.next_catch_up = now + self.settings.hello_interval;
        let left: Vec<MemberId> = self.peers.keys().filter(|id| !answers.contains_key(id)).copied().collect();
        let first = self.rng.gen_range(0..left.len().max(1));
        for id in left.iter().cycle().skip(first).take(left.len().min(MAX_ASKED)) {
            self.send(*id, RolloutMessage::CatchUp(self.incarnation));
        }
    }
}
