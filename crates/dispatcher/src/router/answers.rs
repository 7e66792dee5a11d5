//! Sends answers to clients, and disconnects clients that don't read them.
use super::request_checks::MAX_OPEN_VISITS_PER_CLIENT;
use super::state::Router;
use crate::capacity::Reservation;
use crate::clients::ToClient;
use crate::connection::CloseReason;
use crate::ids::ClientId;
use crate::msgpack::Parts;
use cherrypass::time::Time;
use std::sync::atomic::Ordering::Relaxed;

/// Answers that a client may leave unread.
const MAX_UNREAD_ANSWERS_PER_CLIENT: usize = 4 * MAX_OPEN_VISITS_PER_CLIENT;

/// A host's answer that is passed on to a client.
pub(super) struct AnswerRead {
    /// When the answer was read.
    pub(super) at: Time,
    /// The memory taken by the answer until it is written.
    pub(super) room: Reservation,
}

impl Router {
    pub(super) fn send_to_client(
        &mut self,
        client: ClientId,
        parts: Parts,
        answer_read: Option<AnswerRead>,
        in_use: Option<Reservation>,
    ) {
        let Some(entry) = self.clients.get_mut(&client) else { return };
        let (answered_at, answer_room) = answer_read.map(|answer| (answer.at, answer.room)).unzip();
        let mut answer = ToClient { parts, answered_at, answer_room, unread_bytes: None, in_use };
        let weight = answer.weight();
        answer.unread_bytes = Some([entry.unread_bytes.reserve(weight), self.unread_bytes.reserve(weight)]);
        let total_unread = self.unread_bytes.amount();
        self.latencies.max_unread_bytes.fetch_max(total_unread, Relaxed);
        entry.outlet.send(answer, &self.latencies);
        if entry.outlet.queued() > MAX_UNREAD_ANSWERS_PER_CLIENT {
            entry.outlet.connection.shut_down_write(CloseReason::SlowReader);
        }
        if total_unread > self.config.max_unread_bytes {
            self.disconnect_slowest_reader();
        }
    }

    /// Disconnects the client with the most unread bytes.
    fn disconnect_slowest_reader(&self) {
        if let Some(slowest) = self.clients.values().max_by_key(|client| client.unread_bytes.amount()) {
            slowest.outlet.connection.shut_down_write(CloseReason::SlowReader);
        }
    }
}
