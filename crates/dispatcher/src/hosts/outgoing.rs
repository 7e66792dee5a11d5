//! Messages to write to the connections of a host.
use crate::change_log_lease::ChangeLogLease;
use crate::host_messages::{HandOff, UnstartedHandOff};
use crate::ids::{HandOffId, ProbeId};
use crate::resp;
use bytes::Bytes;

/// A message to write to a connection.
pub(super) enum Outgoing {
    HandOff(HandOff),
    Cancel(HandOffId, Bytes),
    Probe(ProbeId),
}

impl Outgoing {
    /// Claims the message for sending, unless it is a hand-off that must not be sent.
    pub(super) fn start(self, lease: &ChangeLogLease) -> Result<Started, UnstartedHandOff> {
        match self {
            Outgoing::HandOff(hand_off) => hand_off.start_sending(lease),
            Outgoing::Cancel(_, ref message) => {
                let head = message.clone();
                Ok(Started { message: self, head })
            }
            Outgoing::Probe(probe) => Ok(Started { message: self, head: resp::probe_request(probe).into() }),
        }
    }
}

impl HandOff {
    fn start_sending(self, lease: &ChangeLogLease) -> Result<Started, UnstartedHandOff> {
        match self.start(lease) {
            Ok(started_at) => {
                let head = self.head(started_at);
                Ok(Started { message: Outgoing::HandOff(self), head })
            }
            Err(reason) => Err(UnstartedHandOff { hand_off: Box::new(self), reason }),
        }
    }
}

/// A message that is being sent.
pub(super) struct Started {
    pub(super) message: Outgoing,
    head: Bytes,
}

impl Started {
    /// Writes the parts of the message.
    pub(super) fn with_parts<T>(&self, write: impl FnOnce(&[&[u8]]) -> T) -> T {
        match &self.message {
            Outgoing::HandOff(hand_off) => write(&[&self.head, &hand_off.body, resp::CRLF]),
            Outgoing::Cancel(..) | Outgoing::Probe(_) => write(&[&self.head]),
        }
    }
}

/// A message for a connection's slow writer thread.
pub(super) enum QueuedWrite {
    Whole(Outgoing),
    /// The rest of a message that was partly written.
    Remainder(Outgoing, Vec<u8>),
}
