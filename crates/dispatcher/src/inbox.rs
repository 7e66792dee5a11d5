//! The router's mailbox: what clients, hosts, the change log, signals, the store and the fleet tell it. It lies below all of
//! them and knows none, so that none of them knows the router.
use crate::cancellation::CancelToken;
use crate::capacity::Reservation;
use crate::connection::Connection;
use crate::ids::{ClientId, HandOffId, HostActorId, ProbeId};
use crate::msgpack::VisitRequest;
use crate::resp::Answer;
use cherrypass::calls::{Listing, Outcome, Report};
use cherrypass::time::{Time, UnixTime};
use cherrypass_keep::purges::Purge;
use cherrypass_keep::visits::Taken;
use cherrypass_peers::FromFleet;
use std::net::SocketAddr;
use std::sync::Arc;

pub enum Input {
    Client(ClientId, FromClient),
    HandOff(HandOffId, FromHost),
    ProbeEnded(ProbeId, Report),
    Changed(Change),
    /// All that the change log had at that time is known here.
    LogKnown(Time),
    /// A host reset its connections or refused one.
    HostReset(HostActorId),
    /// What the store made of a hand-off's record.
    Recorded(HandOffId, Taken),
    Fleet(FromFleet),
    Stop,
}

/// What clients tell the router; a visit with the time of its last byte.
pub enum FromClient {
    Opened {
        connection: Arc<Connection>,
    },
    Visit {
        id: u32,
        request: Box<VisitRequest>,
        received_at: Time,
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
    /// The connection is about to be ended: what is open on it gets its final answer now.
    Closing,
    Closed,
}

/// What hosts tell the router of a hand-off.
pub enum FromHost {
    /// The host was told that no answer is wanted any more, or its connection has ended.
    CancelSent {
        at: Time,
    },
    Ended {
        outcome: Outcome,
        answer: Option<(Answer, Reservation)>,
        at: Time,
    },
}

/// A host of the list, with the address at which this dispatcher reaches it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its `since` follows from `started` as the entry is taken into the list.
    pub listing: Listing,
    /// When its process started, as the change log tells it; none where that was long ago.
    pub started: Option<UnixTime>,
    pub name: String,
    pub address: Option<SocketAddr>,
}

#[derive(Clone, Debug)]
pub enum Change {
    List { whole: bool, hosts: Vec<Listed> },
    Purge(Purge),
}
