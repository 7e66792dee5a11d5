//! A host's actor: its state, and the handling of its messages.
use super::outgoing::Outgoing;
use super::pool::PooledConnection;
use crate::capacity::{HostCapacity, Reservation};
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::config::HostConnectionLimits;
use crate::connection::{CloseReason, Connection};
use crate::host_connections::HostConnections;
use crate::host_messages::{HostMailbox, NewHost, ToHost};
use crate::ids::{ConnectionId, HandOffId, ProbeId};
use crate::inbox::{FromHost, Input};
use crate::resp::Answer;
use cherrypass::calls::Outcome;
use cherrypass::time::Time;
use crossbeam_channel::Sender;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// State shared by all host actors.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) limits: HostConnectionLimits,
    pub(super) capacity: HostCapacity,
    pub(super) connections: Arc<HostConnections>,
    pub(super) router: Sender<Input>,
    pub(super) lease: ChangeLogLease,
}

/// A host's actor.
pub(super) struct Host {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) shared: Shared,
    pub(super) mailbox: HostMailbox,
    pub(super) pool: BTreeMap<ConnectionId, PooledConnection>,
    pub(super) next_id: u64,
    /// The last probe, until it is answered.
    pub(super) probe: Option<ProbeId>,
    pub(super) is_draining: bool,
    pub(super) is_removed: bool,
    /// Whether a connection to the host was ever established.
    pub(super) was_up: bool,
    _registration: Reservation,
}

impl Host {
    pub(super) fn new(NewHost { name, address, mailbox, registration }: NewHost, shared: Shared) -> Host {
        Host {
            name,
            address,
            shared,
            mailbox,
            pool: BTreeMap::new(),
            next_id: 0,
            probe: None,
            is_draining: false,
            is_removed: false,
            was_up: false,
            _registration: registration,
        }
    }

    pub(super) fn handle(&mut self, message: ToHost) {
        match message {
            ToHost::HandOff(hand_off) => self.hand_off(hand_off),
            ToHost::Cancel(id) => self.cancel(id),
            ToHost::Probe(probe) => self.send_probe(probe),
            ToHost::ConnectTimeout(id) => self.time_out_connect(id),
            ToHost::SetDraining(is_draining) => {
                self.is_draining = is_draining;
                self.revoke_unsent();
            }
            ToHost::Remove => {
                self.is_removed = true;
                self.revoke_unsent();
            }
            ToHost::Connected(id, connection) => self.connected(id, connection),
            ToHost::CancelSent(connection, id, at) => self.cancel_sent(connection, id, at),
            ToHost::NotStarted(connection, unstarted) => self.not_started(connection, unstarted),
            ToHost::Answer(connection, answer, reservation, at) => {
                self.handle_answer(connection, answer, reservation, at)
            }
            ToHost::Closed(id, reason, at) => self.connection_closed(id, reason, at),
        }
    }

    /// Sends a probe on a connection that is up, or once one is.
    fn send_probe(&mut self, probe: ProbeId) {
        self.probe = Some(probe);
        let is_up = |pooled: &PooledConnection| pooled.is_usable() && pooled.connection.is_some();
        match self.pool.iter().find(|(_, pooled)| is_up(pooled)).map(|(id, _)| *id) {
            Some(id) => self.write(id, Outgoing::Probe(probe)),
            None if self.pool.values().any(PooledConnection::is_usable) => {}
            None => drop(self.open_connection(None)),
        }
    }

    /// Sends what waits for a connection that is now established.
    fn connected(&mut self, id: ConnectionId, connection: Arc<Connection>) {
        let Some(pooled) = self.pool.get_mut(&id) else { return };
        if pooled.is_closing {
            connection.shut_down(CloseReason::HostRemoved);
        }
        pooled.connection = Some(connection);
        pooled.up_since = Some(clock::now());
        self.was_up = true;
        for hand_off in std::mem::take(&mut pooled.waiting) {
            self.write(id, Outgoing::HandOff(hand_off));
        }
        if let Some(probe) = self.probe {
            self.write(id, Outgoing::Probe(probe));
        }
    }

    pub(super) fn report_end(
        &self,
        id: HandOffId,
        outcome: Outcome,
        answer: Option<(Answer, Reservation)>,
        at: Time,
    ) {
        let _ = self.shared.router.send(Input::HandOff(id, FromHost::Ended { outcome, answer, at }));
    }
}
