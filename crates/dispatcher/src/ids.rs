//! Ids used by the network layer; those of visits and hosts belong to the decision module.
use cherrypass::ids::{HandOffNumber, VisitId};

/// Id of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// Id of a host's actor. A host that is listed again gets a new actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostActorId(pub u64);

/// Id of a connection to a host, unique within that host's actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Id of a load probe sent to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

/// Id of one attempt of a visit at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandOffId(pub VisitId, pub HandOffNumber);

/// The id that the client gave a visit, 16 hexadecimal digits on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Txn(u64);

impl Txn {
    /// Parses a transaction id; malformed ids, which no visit has, become 0.
    pub fn parse(bytes: &[u8]) -> Txn {
        let digits = std::str::from_utf8(bytes).ok().filter(|text| text.len() == 16);
        Txn(digits.and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0))
    }
}
