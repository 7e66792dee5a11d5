//! Ends hand-offs: with an answer, by a cancel, or unsent.
use super::answers::AnswerRead;
use super::state::{PendingHandOff, Router};
use crate::attempt_log::EndedAttempt;
use crate::capacity::Reservation;
use crate::clock;
use crate::host_messages::ToHost;
use crate::ids::HandOffId;
use crate::msgpack;
use crate::resp::Answer;
use cherrypass::calls::{HandOffEnd, Note, Outcome};
use cherrypass::ids::VisitId;
use cherrypass::time::Time;

impl Router {
    /// Ends a hand-off: logs it, answers the client if the visit was served, and tells the module.
    pub(super) fn end_hand_off(
        &mut self,
        id: HandOffId,
        outcome: Outcome,
        answer: Option<(Answer, Reservation)>,
        at: Time,
    ) {
        let Some(pending) = self.remove_hand_off(id) else { return };
        self.log_attempt(id, &pending, outcome, at);
        if let Some(recorder) = &mut self.recorder {
            recorder.visits.hand_off_ended(id.0, outcome.is_not_executed());
        }
        let end = self.end_report(id, &pending, outcome, answer.as_ref().map(|(answer, _)| answer), at);
        if let Some((answer, room)) = answer.filter(|_| outcome == Outcome::Served) {
            self.serve(id.0, answer, AnswerRead { at, room });
        }
        self.engine.hand_off_ended(at, end);
    }

    fn log_attempt(&mut self, id: HandOffId, pending: &PendingHandOff, outcome: Outcome, at: Time) {
        if let Some(written_at) = pending.send_state.written_at() {
            self.latencies.inbound.record(written_at - pending.triggered_at);
        }
        let open = self.visits.get(&id.0);
        self.attempt_log.log(&EndedAttempt {
            id,
            request: open.map(|open| &open.request.txn[..]),
            host: self.hosts.get(&pending.host).map_or("a removed host", |host| &host.name),
            request_time: open.map(|open| (open.received_at, open.request.time_limit)),
            decided_at: pending.decided_at,
            written_at: pending.send_state.written_at(),
            ended_at: at,
            outcome,
            fill: pending.fill,
        });
    }

    /// The end of a hand-off as the module takes it.
    fn end_report(
        &self,
        HandOffId(visit, number): HandOffId,
        pending: &PendingHandOff,
        outcome: Outcome,
        answer: Option<&Answer>,
        at: Time,
    ) -> HandOffEnd {
        HandOffEnd {
            visit,
            number,
            outcome,
            note: answer.map_or(Note::Unspecified, |answer| answer.note),
            duration: at - pending.sent_at,
            report: answer.map(|answer| answer.report).unwrap_or_default(),
            is_final: outcome == Outcome::Served || !self.visits.contains_key(&visit),
        }
    }

    /// Answers a visit with a host's answer.
    fn serve(&mut self, visit: VisitId, answer: Answer, answer_read: AnswerRead) {
        answer.created.into_iter().for_each(|created| self.observe_copy_time(answer_read.at, created));
        self.finish_visit(
            visit,
            |id| msgpack::served(id, answer.body, answer.client_copy_current),
            Some(answer_read),
        );
    }

    /// Ends a hand-off that was cancelled.
    pub(super) fn end_cancelled(&mut self, id: HandOffId, at: Time) {
        if let Some(outcome) = self.hand_offs.get(&id).and_then(|pending| pending.cancelled_as) {
            self.end_hand_off(id, outcome, None, at);
        }
    }

    /// The host has not answered in time.
    pub(super) fn time_out_answer(&mut self, id: HandOffId, now: Time) {
        // The visit's time is over, so no further hand-off can overtake the cancel.
        self.cancel_hand_off(id, Outcome::TimedOut);
        self.end_cancelled(id, now);
    }

    /// Cancels a hand-off; a later answer to it is dropped. For the module it ends only once the cancel has
    /// been sent, so that the next hand-off cannot overtake the cancel and run a second time.
    pub(super) fn cancel_hand_off(&mut self, id: HandOffId, outcome: Outcome) {
        let Some(pending) = self.hand_offs.get_mut(&id).filter(|pending| pending.cancelled_as.is_none())
        else {
            return;
        };
        let is_revoked = pending.send_state.revoke();
        let _ = pending.mailbox.send(ToHost::Cancel(id));
        if is_revoked {
            let reported_outcome = if outcome == Outcome::TimedOut { Outcome::Expired } else { outcome };
            self.end_hand_off(id, reported_outcome, None, clock::now());
        } else {
            pending.cancelled_as = Some(outcome);
        }
    }

    /// Ends a hand-off that has not been started by its latest start, without blaming the host. Attempts that
    /// wait for a connection don't all arrive late once it is up.
    pub(super) fn expire_unsent(&mut self, id: HandOffId) {
        if let Some(pending) = self.hand_offs.get(&id).filter(|pending| pending.send_state.revoke()) {
            let _ = pending.mailbox.send(ToHost::Cancel(id));
            self.end_hand_off(id, Outcome::Expired, None, clock::now());
        }
    }

    /// Ends those of these hand-offs that have not been started, so that they are decided again. They were
    /// decided before a purge or a change of their source.
    pub(super) fn redecide_unsent(&mut self, stale: Vec<HandOffId>) {
        for id in stale {
            let Some(pending) = self.hand_offs.get(&id).filter(|pending| pending.send_state.revoke()) else {
                continue;
            };
            let _ = pending.mailbox.send(ToHost::Cancel(id));
            self.end_hand_off(id, Outcome::NotSent, None, clock::now());
        }
    }
}
