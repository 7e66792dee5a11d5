//! What an instance remembers of hosts, objects, bands, visits and hand-offs: plain fields only.
use crate::calls::{Listing, Visit};
use crate::containers::{Bucket, Mean};
use crate::ids::{BandId, HostId};
use crate::time::{Span, Time};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Breaker {
    Closed,
    Open { until: Time, rest: Span },
    Trial { passed: u32, out: bool, rest: Span },
}

#[derive(Debug)]
pub struct Host {
    pub entry: Listing,
    pub in_flight: u32,
    pub heard: Time,
    pub waiting_since: Time,
    pub gap: Mean,
    pub bad: Mean,
    pub breaker: Breaker,
    /// When it last began cold: as listed, or as seen when it came back from silence or closed ports.
    pub cold_since: Option<Time>,
    pub cold: Bucket,
    pub carried: Mean,
    pub settled_work: f64,
    pub limit: f64,
    pub slowness: Mean,
    pub slowness_best: f64,
}

#[derive(Debug, Default)]
pub struct Asked {
    pub count: f64,
    pub last: Time,
    pub parts: u64,
    pub bytes: f64,
    pub admitted: bool,
}

#[derive(Debug, Default)]
pub struct BandSeen {
    pub sending: Mean,
    pub kilobytes: Mean,
}

#[derive(Debug)]
pub struct Open {
    pub visit: Visit,
    pub hand_offs: u8,
    pub out: u32,
    pub popular: bool,
    /// The first hand-off that may have run: when it was sent and where to.
    pub may_have_run: Option<(Time, HostId)>,
    pub avoid: Vec<HostId>,
}

#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: Time,
    pub host: HostId,
    pub source: Option<HostId>,
    pub band: BandId,
    pub work: f64,
    pub trial: bool,
}
