//! Messages to write to the connections of a host.
use crate::clock;
use crate::host_messages::HandOff;
use crate::ids::{HandOffId, ProbeId};
use crate::resp;
use bytes::Bytes;
use cherrypass::time::Time;

/// A message to write to a connection.
pub(super) enum Outgoing {
    HandOff(HandOff),
    Cancel(HandOffId, Bytes),
    Probe(ProbeId),
}

impl Outgoing {
    /// Claims the message for sending. Returns the hand-off that must not be sent any more.
    pub(super) fn start(&self, now: Time) -> Option<HandOffId> {
        match self {
            Outgoing::HandOff(hand_off) if !hand_off.start(now) => Some(hand_off.id),
            _ => None,
        }
    }

    pub(super) fn with_parts<T>(&self, write: impl FnOnce(&[&[u8]]) -> T) -> T {
        match self {
            Outgoing::HandOff(hand_off) => write(&[&hand_off.head(clock::now()), &hand_off.body, resp::CRLF]),
            Outgoing::Cancel(_, message) => write(&[message]),
            Outgoing::Probe(probe) => write(&[resp::probe_request(*probe).as_bytes()]),
        }
    }
}

/// A message for a connection's slow writer thread.
pub(super) enum QueuedWrite {
    Whole(Outgoing),
    /// The rest of a message that was partly written.
    Remainder(Outgoing, Vec<u8>),
}
