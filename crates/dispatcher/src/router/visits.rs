//! Opens the visits that clients request, and closes them with or without an answer.
use super::answers::AnswerRead;
use super::request_checks;
use super::state::{OpenVisit, Router};
use crate::cancellation::CancelToken;
use crate::capacity::Reservation;
use crate::clock;
use crate::fleet_connection::FleetConnection;
use crate::ids::{ClientId, Txn};
use crate::msgpack::{self, Parts, VisitRequest};
use cherrypass::calls::Visit;
use cherrypass::ids::{ClassId, VisitId};
use cherrypass::time::{Span, Time};
use cherrypass_keep::visits::EarlierTry;
use std::sync::atomic::Ordering::Relaxed;

/// Memory of an open visit beside its body, here, in the module and at a host's actor, with room to spare.
const OPEN_VISIT_BYTES: usize = 4 * 1024;
/// Before the deduplication window of any class.
const LONG_AGO: Time = Time(0);

/// A request that a client's connection has read.
pub(super) struct ArrivedVisit {
    pub(super) client: ClientId,
    pub(super) request_id: u32,
    pub(super) request: Box<VisitRequest>,
    pub(super) received_at: Time,
    pub(super) in_use: Reservation,
    pub(super) cancel: CancelToken,
}

impl ArrivedVisit {
    fn open(self, class: ClassId) -> OpenVisit {
        OpenVisit {
            client: self.client,
            request_id: self.request_id,
            class,
            request: *self.request,
            received_at: self.received_at,
            last_event_at: self.received_at,
            hand_off_count: 0,
            in_use: self.in_use,
            cancel: self.cancel,
        }
    }
}

impl OpenVisit {
    /// The visit as the module takes it.
    fn call(&self, id: VisitId) -> Visit {
        Visit {
            id,
            class: self.class,
            object: self.request.object,
            group: self.request.group,
            part: self.request.block,
            kilobytes: None,
            deadline: self.deadline(),
        }
    }
}

impl VisitRequest {
    /// The memory that an open visit counts for.
    fn retained_bytes(&self) -> usize {
        OPEN_VISIT_BYTES + self.body.len()
    }
}

impl Router {
    /// Checks a request and passes it to the module as a visit.
    pub(super) fn open_visit(&mut self, arrived: ArrivedVisit) {
        let (client, request_id, request) = (arrived.client, arrived.request_id, &arrived.request);
        let Some(entry) = self.clients.get_mut(&client) else { return };
        let txn = Txn::parse(&request.txn);
        let txn_owner = self.txns.get(&txn).copied();
        // A client that violates the protocol loses its connection and all open visits.
        if let Some(reason) = request_checks::protocol_violation(entry, client, txn_owner) {
            entry.outlet.connection.shut_down_write(reason);
            return;
        }
        let is_txn_in_use = txn_owner.is_some() || self.departed_ids.contains(arrived.received_at, txn);
        let class = match request_checks::class_of(request, &self.config, is_txn_in_use) {
            Ok(class) => class,
            Err(field) => {
                self.send_to_client(client, msgpack::bad_request(request_id, field), None, None);
                return;
            }
        };
        if self.open_visit_bytes + request.retained_bytes() > self.config.max_visit_bytes {
            self.refuse(arrived);
            return;
        }
        self.open_visit_bytes += request.retained_bytes();
        let visit = VisitId(self.next_visit_id);
        self.next_visit_id = self.next_visit_id.wrapping_add(1);
        entry.open_visits.insert(request_id, visit);
        self.txns.insert(txn, client);
        self.start_visit(visit, arrived.open(class));
    }

    /// Refuses a request for lack of memory.
    fn refuse(&mut self, arrived: ArrivedVisit) {
        self.fleet_connection.iter_mut().for_each(FleetConnection::count_refused);
        let parts = msgpack::refused(arrived.request_id, Span::ZERO);
        self.send_to_client(arrived.client, parts, None, Some(arrived.in_use));
    }

    /// Passes an open visit to the module, with the host that an earlier run may have sent it to.
    fn start_visit(&mut self, visit: VisitId, open: OpenVisit) {
        let (received_at, call) = (open.received_at, open.call(visit));
        let earlier = self
            .recorder
            .as_ref()
            .and_then(|recorder| recorder.visits.earlier_try(clock::to_unix(received_at), open.key()));
        self.visits.insert(visit, open);
        self.latencies.max_open_visits.fetch_max(self.visits.len(), Relaxed);
        self.latencies.mailbox.record(clock::now() - received_at);
        self.engine.visit_arrived(received_at, call);
        if let Some(EarlierTry { sent_at, host }) = earlier {
            let sent_at = sent_at.map_or(LONG_AGO, clock::from_unix);
            self.engine.note_earlier_attempt(visit, sent_at, host);
        }
    }

    /// Closes a visit whose client has left.
    pub(super) fn abandon_visit(&mut self, visit: VisitId) {
        if let Some(open) = self.close_visit(visit, false).filter(|open| open.hand_off_count > 0) {
            self.departed_ids.insert(clock::now(), Txn::parse(&open.request.txn), open.deadline());
        }
        self.engine.close_visit(visit);
    }

    pub(super) fn close_visit(&mut self, visit: VisitId, is_served: bool) -> Option<OpenVisit> {
        let open = self.visits.remove(&visit)?;
        if let Some(recorder) = &mut self.recorder {
            recorder.close_visit(visit, is_served);
        }
        self.open_visit_bytes -= open.request.retained_bytes();
        self.txns.remove(&Txn::parse(&open.request.txn));
        Some(open)
    }

    /// Sends the final answer of a visit, unless its client has left.
    pub(super) fn finish_visit(
        &mut self,
        visit: VisitId,
        parts: impl FnOnce(u32) -> Parts,
        answer_read: Option<AnswerRead>,
    ) {
        let Some(open) = self.close_visit(visit, answer_read.is_some()) else { return };
        if let (Some(fleet_connection), Some(answer)) = (&mut self.fleet_connection, &answer_read) {
            fleet_connection.count_served(&self.engine, open.class, answer.at - open.received_at);
        }
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open_visits.remove(&open.request_id);
        }
        self.send_to_client(open.client, parts(open.request_id), answer_read, Some(open.in_use));
    }
}
