//! Messages to write to the connections of a host.
use crate::change_log_lease::ChangeLogLease;
use crate::host_messages::{HandOff, NotStarted};
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
    /// Claims the message for sending and returns its beginning, or else the hand-off that must not be sent.
    pub(super) fn start(&self, lease: &ChangeLogLease) -> Result<Bytes, (HandOffId, NotStarted)> {
        match self {
            Outgoing::HandOff(hand_off) => {
                let started_at = hand_off.start(lease).map_err(|reason| (hand_off.id, reason))?;
                Ok(hand_off.head(started_at))
            }
            Outgoing::Cancel(_, message) => Ok(message.clone()),
            Outgoing::Probe(probe) => Ok(resp::probe_request(*probe).into()),
        }
    }

    /// Writes the parts of a message that was started.
    pub(super) fn with_parts<T>(&self, head: &[u8], write: impl FnOnce(&[&[u8]]) -> T) -> T {
        match self {
            Outgoing::HandOff(hand_off) => write(&[head, &hand_off.body, resp::CRLF]),
            Outgoing::Cancel(..) | Outgoing::Probe(_) => write(&[head]),
        }
    }
}

/// A message for a connection's slow writer thread.
pub(super) enum QueuedWrite {
    Whole(Outgoing),
    /// The rest of a message that was partly written.
    Remainder(Outgoing, Vec<u8>),
}
