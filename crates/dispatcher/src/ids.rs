//! Ids of the dispatcher's own; those of visits and hosts are the module's.
use cherrypass::ids::{HandOffNo, VisitId};

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// A host's actor; a host that is listed anew has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostActorId(pub u64);

/// A connection to a host, counted by host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A question of how busy a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandOffId(pub VisitId, pub HandOffNo);

/// A visit's id of its client's own, 16 hexadecimal digits on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Txn(u64);

impl Txn {
    /// What is no such id is none that was given out: it stands for itself as well as it can.
    pub fn parse(wire: &[u8]) -> Txn {
        let digits = std::str::from_utf8(wire).ok().filter(|text| text.len() == 16);
        Txn(digits.and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0))
    }
}
