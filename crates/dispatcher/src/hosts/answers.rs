//! Matches the answers of a host with its hand-offs and probes.
use super::host::Host;
use super::pool::PendingHandOff;
use crate::capacity::Reservation;
use crate::connection::CloseReason;
use crate::ids::{ConnectionId, Txn};
use crate::inbox::Input;
use crate::resp::{self, Answer};
use cherrypass::calls::Outcome;
use cherrypass::time::Time;

impl PendingHandOff {
    /// Whether the answer can't be passed on. An answer may confirm the client's copy only by naming the tag
    /// that the client sent, and a copy must name its tag.
    fn rejects(&self, answer: &Answer) -> bool {
        let is_served = answer.outcome == Outcome::Served;
        let is_other_copy =
            answer.client_copy_current && (self.client_tag.is_none() || self.client_tag != answer.tag);
        is_other_copy || is_served && self.expects_copy && answer.tag.is_none()
    }
}

impl Host {
    pub(super) fn handle_answer(
        &mut self,
        connection: ConnectionId,
        answer: Answer,
        reservation: Reservation,
        at: Time,
    ) {
        let Some(pooled) = self.pool.get_mut(&connection) else { return };
        pooled.last_used = at;
        if let Some(probe) = self.probe.take_if(|probe| resp::probe_tag(*probe).as_bytes() == &answer.id[..])
        {
            let _ = self.shared.router.send(Input::ProbeEnded(probe, answer.report));
            return;
        }
        let txn = Txn::parse(&answer.id);
        // The earlier hand-offs with this id on the connection, if any, were all answered by misses.
        let is_second_copy = answer.outcome == Outcome::Miss && pooled.used_ids.contains_key(&txn);
        let is_expected = pooled.in_flight.get(&txn).is_some_and(|pending| pending.txn == answer.id);
        let Some(pending) = (is_expected && !is_second_copy).then(|| pooled.in_flight.remove(&txn)).flatten()
        else {
            // An answer to a cancelled or unknown hand-off, or a second copy of one, is dropped.
            return;
        };
        if answer.outcome != Outcome::Served {
            pooled.mark_used(txn, &pending, answer.outcome);
        }
        // An unusable answer reaches no client, nor does anything after it on this connection.
        if pending.rejects(&answer) {
            pooled.close(CloseReason::UnusableAnswer);
            self.report_end(pending.id, Outcome::Error, None, at);
        } else {
            self.report_end(pending.id, answer.outcome, Some((answer, reservation)), at);
        }
    }
}
