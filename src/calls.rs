//! The values that pass between the decision module and its host.
use crate::ids::*;
use crate::time::{Span, Time};

#[derive(Clone, Copy, Debug)]
pub struct Visit {
    pub id: VisitId,
    pub band: BandId,
    pub object: ObjectId,
    pub group: GroupId,
    pub part: u32,
    pub kilobytes: Option<f64>,
    pub hard_limit: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub host: HostId,
    pub location: LocationId,
    pub kind: KindId,
    pub cell: CellId,
    pub weight: f64,
    pub since: Option<Time>,
    pub phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Settled,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    Miss,
}

impl Outcome {
    /// Whether the outcome proves that the hand-off had no effect.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Full | ConnectFailed | Moot | Miss)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    Untold,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Aged,
    SourceRefused,
    SourceUnreached,
    SourceLacks,
    NoPlace,
    OriginFailed,
}

/// What the asked host tells of itself, where it does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// How full its link for fills is: transfers over those that fit.
    pub link_full: Option<f64>,
    /// How much of what it can do is in use, by all that ask it.
    pub busy: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub visit: VisitId,
    pub number: HandOffNo,
    pub outcome: Outcome,
    pub note: Note,
    pub took: Span,
    pub report: Report,
    pub last: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fill {
    pub source: HostId,
    pub rank: u8,
    pub oldest: Span,
    pub join: bool,
    pub renew: bool,
    /// The source gives only what it holds.
    pub held: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Without a fill it is a plain look.
    HandOff {
        visit: VisitId,
        host: HostId,
        until: Time,
        fill: Option<Fill>,
    },
    Cancel {
        visit: VisitId,
        number: HandOffNo,
    },
    /// Ask a host how busy it is.
    Probe {
        host: HostId,
    },
    TurnBack {
        visit: VisitId,
        come_back: Span,
    },
    WriteOff {
        visit: VisitId,
    },
    Wake {
        after: Span,
    },
    Log(String),
}
