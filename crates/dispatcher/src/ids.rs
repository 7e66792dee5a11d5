//! Ids of the dispatcher's own; those of visits and hosts are the module's.
use cherrypass::ids::{HandOffNo, VisitId};

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// A connection to a host, counted by host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandOffId(pub VisitId, pub HandOffNo);
