//! Messages to the router from clients, hosts, the change log, signals, the store and the fleet. Their
//! senders depend on this module rather than on the router.
use crate::cancellation::CancelToken;
use crate::capacity::Reservation;
use crate::connection::Connection;
use crate::host_messages::HandOff;
use crate::ids::{ClientId, HandOffId, HostActorId, ProbeId};
use crate::msgpack::VisitRequest;
use crate::resp::Answer;
use cherrypass::calls::{Listing, Outcome, Report};
use cherrypass::time::{Time, UnixTime};
use cherrypass_keep::purges::Purge;
use cherrypass_keep::visits::WriteResult;
use cherrypass_peers::FromFleet;
use std::net::SocketAddr;
use std::sync::Arc;

/// A message to the router.
pub enum Input {
    Client(ClientId, FromClient),
    HandOff(HandOffId, FromHost),
    /// A host reported its load.
    ProbeEnded(ProbeId, Report),
    Change(Change),
    /// All changes that the change log had at this time have been sent.
    ChangeLogReadUpTo(Time),
    /// The change log has changes that may not have been read.
    ChangesAnnounced(AnnouncedChanges),
    /// A host reset its connections or refused one, so that its process may be new.
    HostReset(HostActorId),
    /// The store accepted or rejected the record of a hand-off.
    HandOffRecordStored(HandOffId, WriteResult),
    Fleet(FromFleet),
    Stop,
}

/// A message of a client connection.
pub enum FromClient {
    Opened {
        connection: Arc<Connection>,
    },
    Visit {
        id: u32,
        request: Box<VisitRequest>,
        /// When the last byte of the request was read.
        received_at: Time,
        /// Marks the connection as in use until the visit is answered.
        in_use: Reservation,
        cancel: CancelToken,
    },
    Malformed {
        id: u32,
        field: &'static str,
    },
    Status {
        id: u32,
    },
    Withdraw {
        ids: Vec<u32>,
    },
    /// The connection is about to be closed: its open visits must be answered now.
    Closing,
    Closed,
}

/// A message of a host about a hand-off.
pub enum FromHost {
    /// The hand-off was not started, as its client may have left: too much that it has written is unread.
    HeldBack(Box<HandOff>),
    /// The host was sent a cancel, or its connection has closed.
    CancelSent {
        at: Time,
    },
    Ended {
        outcome: Outcome,
        answer: Option<(Answer, Reservation)>,
        at: Time,
    },
}

/// A listed host with the address at which this dispatcher reaches it.
#[derive(Clone, Debug)]
pub struct ListedHost {
    /// Its `started_at` is derived from `started` when the entry is applied to the list.
    pub listing: Listing,
    /// The host's start time in the change log's clock; none if that was long ago.
    pub started: Option<UnixTime>,
    pub name: String,
    pub address: Option<SocketAddr>,
}

/// A new address of the change log.
#[derive(Clone, Copy, Debug)]
pub struct NewAddress {
    pub address: SocketAddr,
    /// When the process was told to reload its configuration.
    pub signalled_at: Time,
}

/// All changes that the change log has at `announced_at` count as announced from then on, whether or not they arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedChanges {
    /// When the reading of the log failed. An answer to a later poll has the changes.
    pub noted_at: Time,
    pub announced_at: Time,
}

/// A change read from the change log.
#[derive(Clone, Debug)]
pub enum Change {
    HostList { is_complete: bool, hosts: Vec<ListedHost> },
    Purge(Purge),
}
