//! The replicated register: acceptor, proposer, and how a member catches up after its start.
use super::*;

/// An attempt to have a step accepted under one ballot.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    ballot: Ballot,
    change: Option<Change>,
    started: Time,
    last_sent: Time,
    /// Who has answered, with the run of its process.
    promises: BTreeMap<MemberId, Incarnation>,
    highest_accepted: Option<(Ballot, Step)>,
    incarnations: BTreeMap<MemberId, Incarnation>,
    /// The proposed step, once a majority has promised.
    value: Option<Step>,
    acceptances: BTreeMap<MemberId, Incarnation>,
}

impl Attempt {
    /// The versions that the proposed step names.
    pub(super) fn named_versions(&self) -> Vec<VersionId> {
        self.value.iter().flat_map(|step| [step.version, step.base]).collect()
    }

    /// Whether a halt voids the attempt.
    pub(super) fn is_promoting(&self) -> bool {
        match self.value {
            Some(step) => step.promotes(),
            None => matches!(self.change, Some(Change::Promote(_)) | None),
        }
    }

    /// The valid ones of these answers: those of processes that have been restarted since are void. Guards
    /// against a member that promised, lost the promise in a crash and answered another ballot, while this
    /// one still counts on it.
    fn valid_answers(&self, answers: &BTreeMap<MemberId, Incarnation>) -> BTreeSet<MemberId> {
        let current =
            |id: &MemberId, inc: &Incarnation| self.incarnations.get(id).is_none_or(|known| known <= inc);
        answers.iter().filter(|(id, inc)| current(id, inc)).map(|(id, _)| *id).collect()
    }
}

/// Adds later runs of listed members to `all`.
fn merge_incarnations(
    all: &mut BTreeMap<MemberId, Incarnation>,
    listed: &BTreeMap<MemberId, LocationId>,
    more: &BTreeMap<MemberId, Incarnation>,
) {
    for (id, incarnation) in newer_incarnations(all, more) {
        if listed.contains_key(&id) {
            all.insert(id, incarnation);
        }
    }
}

/// The entries of `more` that `all` lacks or has of an earlier run, in one pass over both: in a large fleet
/// nearly all of them are known.
fn newer_incarnations(
    all: &BTreeMap<MemberId, Incarnation>,
    more: &BTreeMap<MemberId, Incarnation>,
) -> Vec<(MemberId, Incarnation)> {
    let mut known = all.iter().peekable();
    let is_newer = |(id, incarnation): &(&MemberId, &Incarnation)| {
        while known.next_if(|(before, _)| before < id).is_some() {}
        known.peek().is_none_or(|(same, run)| same != id || run < incarnation)
    };
    more.iter().filter(is_newer).map(|(id, incarnation)| (*id, *incarnation)).collect()
}

impl Rollout {
    /// Handles a message of a member, or of this one to itself.
    pub(super) fn handle(&mut self, now: Time, from: MemberId, message: RolloutMessage) {
        match message {
            RolloutMessage::Hello(hello) => self.handle_hello(now, from, *hello),
            RolloutMessage::RequestDocument(id) => {
                if let Some(version) = self.documents.get(&id) {
                    let message = RolloutMessage::Document(version.clone());
                    self.send(from, message);
                }
            }
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
        }
    }

    // Acceptor.

    pub(super) fn refusal(&self, ballot: Ballot) -> RolloutMessage {
        RolloutMessage::Refuse { ballot, higher: self.state.promised, halt: self.state.halt.clone() }
    }

    /// Whether the ballot's round is too far ahead to be valid.
    fn is_implausible(&self, ballot: Ballot) -> bool {
        ballot.round > self.highest_round.max(self.state.promised.round).saturating_add(MAX_NUMBER_JUMP)
    }

    fn handle_prepare(&mut self, from: MemberId, ballot: Ballot) {
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

    /// Sends an answer after the next record: a promise is on disk before it is given.
    fn answer_after_record(&mut self, to: MemberId, message: RolloutMessage) {
        if self.awaiting_next_record.len() < 4 * MAX_MEMBERS {
            self.awaiting_next_record.push(Deferred::Send(to, message));
        }
    }

    fn handle_accept(&mut self, from: MemberId, ballot: Ballot, step: Step) {
        if !self.is_able() || self.is_implausible(ballot) || ballot.proposer != from {
            return;
        }
        // A halt takes precedence over promotion. Guards against a promotion after a halt that the proposer
        // has not heard of.
        if ballot < self.state.promised || (step.promotes() && self.is_halted(&step)) {
            let message = self.refusal(ballot);
            return self.send(from, message);
        }
        for id in [step.version, step.base] {
            if id.number > 0 && !self.documents.contains_key(&id) {
                return self.request_document(from, id);
            }
        }
        self.highest_round = self.highest_round.max(ballot.round);
        self.state.promised = ballot;
        self.state.accepted = Some((ballot, step));
        self.is_dirty = true;
        if self.awaiting_next_record.len() < 4 * MAX_MEMBERS {
            self.awaiting_next_record.push(Deferred::Ack { to: from, ballot, step });
        }
        self.prune_documents();
    }

    fn request_document(&mut self, from: MemberId, id: VersionId) {
        if self.requested_documents.len() >= 8 {
            self.requested_documents.clear();
        }
        self.requested_documents.insert(id);
        self.send(from, RolloutMessage::RequestDocument(id));
    }

    fn handle_document(&mut self, now: Time, version: Version) {
        let id = version.id();
        if !self.requested_documents.contains(&id)
            || version.check(&self.listed).is_err()
            || self.documents.contains_key(&id)
        {
            return;
        }
        self.requested_documents.remove(&id);
        if self.documents.len() >= 8 {
            self.prune_documents();
        }
        self.documents.insert(id, version);
        self.unsaved_documents.push(id);
        self.apply_chosen_step(now);
    }

    // Catching up.

    fn handle_catch_up(&mut self, from: MemberId, incarnation: Incarnation) {
        let known = self.state.incarnations.entry(from).or_default();
        if *known < incarnation {
            *known = incarnation;
            self.is_dirty = true;
        }
        if *known != incarnation {
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

    fn handle_catch_up_answer(&mut self, now: Time, from: MemberId, has_caught_up: bool, state: State) {
        if self.catch_up_answers.is_none() {
            return;
        }
        if state.promised.round <= self.highest_round.saturating_add(MAX_NUMBER_JUMP) {
            self.highest_round = self.highest_round.max(state.promised.round);
            self.state.promised = self.state.promised.max(state.promised);
        }
        if state.accepted.map(|(ballot, _)| ballot) > self.state.accepted.map(|(ballot, _)| ballot) {
            self.state.accepted = state.accepted;
        }
        merge_incarnations(&mut self.state.incarnations, &self.listed, &state.incarnations);
        self.is_dirty = true;
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
            for id in [step.version, step.base] {
                if id.number > 0 && !self.documents.contains_key(&id) {
                    self.request_document(from, id);
                }
            }
        }
        self.try_finish_catch_up(now);
    }

    /// Finishes catching up once every majority that may have answered something includes a member heard now:
    /// by number alone if these have caught up themselves, else by as many more as may have lost records at
    /// the same time.
    pub(super) fn try_finish_catch_up(&mut self, now: Time) {
        let Some(answers) = &self.catch_up_answers else { return };
        let all = self.listed.len();
        let enough = all - self.majority() + 1;
        let caught_up = answers.values().filter(|has_caught_up| **has_caught_up).count();
        if caught_up >= enough || answers.len() + 1 >= all.min(enough + self.settings.max_faulty_stores) {
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
        for id in left.iter().cycle().skip(first).take(left.len().min(32)) {
            self.send(*id, RolloutMessage::CatchUp(self.incarnation));
        }
    }

    // Chosen steps.

    /// Learns a chosen step that another member reported.
    pub(super) fn learn_step(&mut self, now: Time, from: MemberId, step: Step) {
        if step.at <= self.state.chosen.at
            || step.at > self.state.chosen.at + MAX_NUMBER_JUMP
            || step.run > 1 << 20
        {
            return;
        }
        for id in [step.version, step.base] {
            if id.number > 0 && !self.documents.contains_key(&id) {
                // The step is reported again; until then the old one stays.
                return self.request_document(from, id);
            }
        }
        let old = self.state.chosen;
        self.state.chosen = step;
        self.is_dirty = true;
        if old.key() != step.key() {
            self.state.starts = 0;
            self.rejected_version = None;
        }
        self.step_learned = now;
        self.reset_stage();
        if matches!(self.pending_change, Some((Change::Promote(_) | Change::Halt(_), _)))
            && !self.is_order_pending
        {
            self.pending_change = None;
        }
        self.apply_chosen_step(now);
        self.prune_documents();
    }

    /// Puts in force what the chosen step requires.
    pub(super) fn apply_chosen_step(&mut self, now: Time) {
        let step = self.state.chosen;
        if step.at == 0 {
            return;
        }
        let old = self.state.in_force;
        let includes = |version: &Version| version.includes(&self.listed, step.stage, self.own);
        let is_included = self.documents.get(&step.version).is_some_and(includes);
        let due = match step.phase {
            Phase::Full if self.active == step.version || !self.is_halted(&step) => step.version,
            Phase::Back => step.base,
            // A version that still waits for the disk is not in force yet.
            Phase::Rolling | Phase::Halted if self.active == step.version => self.active,
            // Guards against spreading a version after a halt: a member that knows of the halt does not put
            // it in force.
            Phase::Rolling if is_included && !self.is_halted(&step) => step.version,
            Phase::Full | Phase::Rolling | Phase::Halted => step.base,
        };
        if due == old && due == self.active {
            return;
        }
        if self.rejected_version == Some((due.number, step.run))
            || (due.number > 0 && !self.documents.contains_key(&due))
        {
            return;
        }
        if due != old {
            self.state.in_force = due;
            self.state.starts = 0;
            self.is_dirty = true;
            self.step_learned = now;
        }
        if step.phase == Phase::Back {
            // Rolls back at once, without waiting for the disk.
            self.put_in_force(due);
        } else if !self
            .awaiting_next_record
            .iter()
            .any(|deferred| matches!(deferred, Deferred::ApplyRules(id) if *id == due))
        {
            self.awaiting_next_record.push(Deferred::ApplyRules(due));
        }
    }

    // Halts.

    /// Halts the rollout here. The halt applies in memory at once and is sent even if it can't be written.
    pub(super) fn halt(&mut self, now: Time, why: String) {
        let Some(step) = self.rolling_step().filter(|step| !self.is_halted(step)) else { return };
        let halt = Halt { number: step.version.number, run: step.run, by: self.own, why };
        self.log(format!("rollout of rules {} halted: {}", halt.number, halt.why));
        self.record_halt(halt);
        self.next_hello = now;
        self.send_hellos(now);
    }

    pub(super) fn handle_halt(&mut self, mut halt: Halt) {
        let known = [Some(self.state.chosen), self.state.accepted.map(|(_, step)| step)];
        let is_valid = known.iter().flatten().any(|step| step.key() == (halt.number, halt.run));
        let is_newer =
            self.state.halt.as_ref().is_none_or(|own| (own.number, own.run) < (halt.number, halt.run));
        // A halt of an unknown version would block later ones.
        if is_valid && is_newer && self.listed.contains_key(&halt.by) {
            halt.why = halt.why.chars().filter(|c| !c.is_control()).take(MAX_REASON_CHARS).collect();
            self.log(format!("rollout of rules {} halted by another dispatcher: {}", halt.number, halt.why));
            self.record_halt(halt);
        }
    }

    /// Keeps a halt and stops what it voids.
    fn record_halt(&mut self, halt: Halt) {
        self.state.halt = Some(halt);
        self.is_dirty = true;
        // Guards against a version that is put in force after the write, although a halt arrived meanwhile.
        let step = self.state.chosen;
        if step.promotes() && self.is_halted(&step) && self.active != self.state.in_force {
            self.state.in_force = self.active;
        }
        if self.attempt.as_ref().is_some_and(Attempt::is_promoting) {
            self.attempt = None;
        }
    }

    // Proposer.

    /// Postpones the next attempt by a random time, so that two proposers do not keep blocking each other.
    fn back_off(&mut self, now: Time) {
        self.next_attempt_at = now + Span::seconds(self.rng.gen_range(0.3..1.5));
    }

    /// Begins attempts, resends their messages, and gives them up.
    pub(super) fn drive_attempt(&mut self, now: Time) {
        if !self.is_able() {
            self.attempt = None;
            return;
        }
        if self.pending_change.as_ref().is_some_and(|(_, since)| now - *since > self.settings.order_timeout) {
            if self.is_order_pending {
                let waiting_for = self.waiting_for.clone().unwrap_or_default();
                self.log(format!("rollout: an order timed out: {waiting_for}"));
            }
            (self.pending_change, self.is_order_pending, self.attempt) = (None, false, None);
        }
        let (started, last_sent) = match &self.attempt {
            Some(attempt) => (attempt.started, attempt.last_sent),
            None => {
                if now >= self.next_attempt_at {
                    if let Some((change, _)) = self.pending_change.clone() {
                        self.begin_attempt(now, Some(change));
                    }
                }
                return;
            }
        };
        if now - started > self.settings.attempt_timeout {
            self.waiting_for = self.describe_unanswered();
            self.attempt = None;
            self.back_off(now);
        } else if now - last_sent >= self.settings.resend_interval {
            self.send_attempt(now);
        }
    }

    /// Begins an attempt; without a change it finishes what another member left unfinished.
    pub(super) fn begin_attempt(&mut self, now: Time, change: Option<Change>) {
        if !self.is_able() || self.attempt.is_some() {
            return;
        }
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, proposer: self.own, incarnation: self.incarnation };
        let empty = BTreeMap::new;
        let (highest_accepted, value) = (None, None);
        let (promises, incarnations, acceptances) = (empty(), empty(), empty());
        self.attempt = Some(Attempt {
            ballot,
            change,
            started: now,
            last_sent: now,
            promises,
            highest_accepted,
            incarnations,
            value,
            acceptances,
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

    /// The step after a change; none if the change does not fit the step.
    fn apply_change(&self, change: &Change, step: Step) -> Option<Step> {
        let at = step.at + 1;
        match change {
            Change::Start(id) => {
                let base = match step.phase {
                    Phase::Full => step.version,
                    Phase::Back => step.base,
                    Phase::Rolling | Phase::Halted => return None,
                };
                let next =
                    Step { at, version: *id, base, run: 0, stage: 0, resumed: None, phase: Phase::Rolling };
                (id.number > step.version.number).then_some(next)
            }
            Change::Promote(from) => {
                let version = self.documents.get(&step.version).filter(|_| *from == step)?;
                if step.phase != Phase::Rolling || self.is_halted(&step) {
                    return None;
                }
                if step.stage + 1 >= version.stages() {
                    return Some(Step { at, phase: Phase::Full, ..step });
                }
                // Skips stages that add no dispatcher, such as after a first part that is the whole location.
                let have_now = version.included_dispatchers(&self.listed, step.stage);
                let adds_dispatchers =
                    |stage: &u16| !version.included_dispatchers(&self.listed, *stage).is_subset(&have_now);
                let stage = (step.stage + 1..version.stages()).find(adds_dispatchers);
                Some(match stage {
                    Some(stage) => Step { at, stage, ..step },
                    None => Step { at, phase: Phase::Full, ..step },
                })
            }
            Change::Halt(halt) => {
                let back = |version: &Version| version.plan.after_halt == AfterHalt::Back;
                let back = self.documents.get(&step.version).is_some_and(back);
                let phase = if back { Phase::Back } else { Phase::Halted };
                // The last step can be halted too while not all know of it: it may not have been chosen.
                let is_valid = step.promotes() && step.key() == (halt.number, halt.run);
                is_valid.then_some(Step { at, phase, ..step })
            }
            Change::Resume(number) => {
                let is_valid = step.phase == Phase::Halted && step.version.number == *number;
                is_valid.then_some(Step {
                    at,
                    run: step.run + 1,
                    resumed: Some(step.stage),
                    phase: Phase::Rolling,
                    ..step
                })
            }
            Change::RollBack(number) => {
                let is_valid = step.phase != Phase::Back && step.version.number == *number;
                is_valid.then_some(Step { at, phase: Phase::Back, ..step })
            }
        }
    }

    fn handle_promise(
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
        if attempt.valid_answers(&attempt.promises).len() < majority {
            return;
        }
        let (change, latest) =
            (attempt.change.clone(), attempt.highest_accepted.map(|(_, step)| step).unwrap_or_default());
        for id in [latest.version, latest.base] {
            if id.number > 0 && !self.documents.contains_key(&id) {
                return self.request_document(from, id);
            }
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
        if self.is_order_pending {
            self.log(
                "rollout: an order no longer fits the state of the rollout: see `rollout status`".to_owned(),
            );
        }
        (self.pending_change, self.is_order_pending) = (None, false);
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
            .take(8)
            .map(|id| format!("{:016x}", id.0))
            .collect();
        let count = self.listed.len() - valid.len();
        Some(format!("{count} of {} dispatchers have not answered: {}", self.listed.len(), names.join(" ")))
    }

    fn handle_accepted(
        &mut self,
        now: Time,
        from: MemberId,
        ballot: Ballot,
        incarnation: Incarnation,
        incarnations: BTreeMap<MemberId, Incarnation>,
    ) {
        let own = self.own;
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.ballot == ballot) else { return };
        let Some(step) = attempt.value else { return };
        merge_incarnations(&mut attempt.incarnations, &self.listed, &incarnations);
        attempt.acceptances.insert(from, incarnation);
        let valid = attempt.valid_answers(&attempt.acceptances);
        let promises = attempt.valid_answers(&attempt.promises).len();
        if from == own {
            self.send_attempt(now);
        }
        if promises < self.majority()
            || valid.len() < self.majority()
            || !self.required_acceptors(&step).is_subset(&valid)
        {
            return;
        }
        if step.promotes() && self.is_halted(&step) {
            return;
        }
        let change = self.attempt.take().and_then(|attempt| attempt.change);
        if self.pending_change.as_ref().map(|(wanted, _)| wanted) == change.as_ref()
            && step.at > self.state.chosen.at
        {
            let is_applied = match &change {
                Some(Change::Start(id)) => step.version == *id,
                Some(Change::Promote(from)) => step.at > from.at,
                Some(Change::Halt(_)) => step.phase != Phase::Rolling,
                Some(Change::Resume(_)) => step.phase == Phase::Rolling,
                Some(Change::RollBack(_)) => step.phase == Phase::Back,
                None => false,
            };
            if is_applied {
                (self.pending_change, self.is_order_pending) = (None, false);
            }
        }
        self.waiting_for = None;
        self.learn_step(now, own, step);
        self.next_hello = now;
        self.hello_to_all = true;
        self.send_hellos(now);
    }
}
