//! The values that pass between the room and its house, and the settings.
use crate::common::Incarnation;
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// What was found out about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// It answers, with errors: the process is bad, and that is the same from everywhere.
    ShutOut,
    /// Its answers take far longer than its peers'. Says nothing to other locations: it may be the way.
    Slow,
    /// It is silent, or connections to it fail. Says nothing to other locations: it may be the way.
    CutOff,
    /// Its process started anew and the list has not told so yet.
    JustStarted,
}

/// A host is bad, or new: the two stand beside each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Matter {
    Bad,
    New,
}

impl Kind {
    pub fn matter(self) -> Matter {
        if self == Kind::JustStarted {
            Matter::New
        } else {
            Matter::Bad
        }
    }

    /// Whether it says the same to all locations.
    pub(super) fn goes_far(self) -> bool {
        matches!(self, Kind::ShutOut | Kind::JustStarted)
    }
}

/// What this dispatcher's own module found out, by its own hand-offs alone: what it was told is never told on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    pub host: HostId,
    /// The host's run, as the list tells it (its `since` in microseconds).
    pub since: Option<Incarnation>,
    pub kind: Kind,
    /// Hand-offs that speak for it.
    pub evidence: u32,
    /// How long ago the last of them did; zero where it stands now and no more is known.
    pub age: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Found {
        since: Option<Incarnation>,
        kind: Kind,
        evidence: u32,
        /// Of the evidence, by the teller's clock, when this was said.
        age: Span,
    },
    /// The host is not held to be bad any more.
    Withdrawn,
    /// The teller's own trials went well: what was found of the host before counts no more.
    Cleared,
}

/// What goes between members.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Said {
    /// The teller's run, and the number of what it said in it: an older one does not undo a newer.
    pub incarnation: Incarnation,
    pub number: u64,
    pub host: HostId,
    pub word: Word,
}

/// Who sends visits to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UsedBy {
    /// A cache: the dispatchers of its location.
    Location(LocationId),
    /// A parent or the origin: all.
    All,
}

impl UsedBy {
    pub fn has(self, location: LocationId) -> bool {
        self == UsedBy::All || self == UsedBy::Location(location)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Set {
    /// No dispatcher uses a finding whose evidence is older, by any member's clock.
    pub hold: Span,
    /// How many tellers must say the same, and which part of the own location's dispatchers.
    pub tellers: u8,
    pub part: f64,
}

impl Default for Set {
    fn default() -> Set {
        Set { hold: Span::millis(10_000), tellers: 2, part: 0.34 }
    }
}

/// Why settings can't be used.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum SetError {
    #[error("verdicts.hold_ms is outside 1000 to 60000: shorter is gone before it is told anew, longer is no news")]
    Hold,
    #[error("verdicts.tellers is outside 1 to 64: give 2, or more where many dispatchers share a location")]
    Tellers,
    #[error(
        "verdicts.part is outside 0 to 1: give the part of a location's dispatchers that must say the same"
    )]
    Part,
}

impl SetError {
    pub fn code(self) -> &'static str {
        match self {
            SetError::Hold => "verdicts-hold",
            SetError::Tellers => "verdicts-tellers",
            SetError::Part => "verdicts-part",
        }
    }
}

impl Set {
    pub fn check(&self) -> Result<(), SetError> {
        if !(Span::millis(1_000)..=Span::millis(60_000)).contains(&self.hold) {
            return Err(SetError::Hold);
        }
        if !(1..=64).contains(&self.tellers) {
            return Err(SetError::Tellers);
        }
        (0.0..=1.0).contains(&self.part).then_some(()).ok_or(SetError::Part)
    }

    /// The age to which a finding is used, by the user's clock: by no member's clock it is then past `hold`.
    pub fn used_to(&self) -> Span {
        self.hold.times(1.0 / super::CLOCKS)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// For all members; what is published with the same key takes the place of the older. `hold`: how long it
    /// is worth keeping for those that come later.
    Publish {
        key: Vec<u8>,
        said: Said,
        hold: Span,
    },
    /// Several others found this; it counts for less than the own, and for nothing from `until` on. `age`: of the
    /// oldest evidence it rests on, an upper bound. `weight`: below 1, which is the own evidence's.
    /// A `JustStarted` is told once, and is not withdrawn.
    Hearsay {
        host: HostId,
        since: Option<Incarnation>,
        kind: Kind,
        weight: f64,
        until: Time,
        age: Span,
        tellers: u8,
    },
    /// What was told of this host's being bad counts no more.
    Withdraw {
        host: HostId,
    },
    Log(String),
}

impl Said {
    pub fn matter(&self) -> Matter {
        match self.word {
            Word::Found { kind, .. } => kind.matter(),
            Word::Withdrawn | Word::Cleared => Matter::Bad,
        }
    }
}
