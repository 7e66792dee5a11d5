//! Types of the calls, messages and effects of shared verdicts.
use crate::common::Incarnation;
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Kind of a finding about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FindingKind {
    /// Answers with errors: the process is faulty, as seen from every location.
    Failing,
    /// Answers much more slowly than its peers. Not used in other locations: the network may be the cause.
    Slow,
    /// Does not answer, or connections to it fail. Not used in other locations: the network may be the cause.
    Unreachable,
    /// Its process has restarted, and the list does not say so yet.
    Restarted,
}

/// What a finding is about. A host may have one finding on each topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    Unhealthy,
    Restarted,
}

impl FindingKind {
    /// The topic of this kind of finding.
    pub fn topic(self) -> Topic {
        if self == FindingKind::Restarted {
            Topic::Restarted
        } else {
            Topic::Unhealthy
        }
    }

    /// Whether a finding of this kind holds for all locations.
    pub(super) fn holds_everywhere(self) -> bool {
        matches!(self, FindingKind::Failing | FindingKind::Restarted)
    }
}

/// A finding of this dispatcher, from its own hand-offs alone: findings of others are never passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    pub host: HostId,
    /// The run of the host according to the list (its `since` in microseconds).
    pub since: Option<Incarnation>,
    pub kind: FindingKind,
    /// Number of hand-offs that support it.
    pub evidence: u32,
    /// Age of the latest of them; zero if the finding holds now and the time is not known.
    pub age: Span,
}

/// Content of a message about a host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Statement {
    Found {
        since: Option<Incarnation>,
        kind: FindingKind,
        evidence: u32,
        /// Age of the evidence when this was sent, by the sender's clock.
        age: Span,
    },
    /// The sender no longer considers the host unhealthy.
    Withdrawn,
    /// The sender's own hand-offs to the host succeeded again: earlier findings about it no longer count.
    Recovered,
}

/// A message between members.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's run and a sequence number within it; an older message never overrides a newer one.
    pub incarnation: Incarnation,
    pub sequence: u64,
    pub host: HostId,
    pub statement: Statement,
}

impl Message {
    pub fn topic(&self) -> Topic {
        match self.statement {
            Statement::Found { kind, .. } => kind.topic(),
            Statement::Withdrawn | Statement::Recovered => Topic::Unhealthy,
        }
    }
}

/// The dispatchers that send visits to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UsedBy {
    /// For a cache: those of its location.
    Location(LocationId),
    /// For a parent or the origin: all.
    All,
}

impl UsedBy {
    /// Whether dispatchers of this location use the host.
    pub fn includes(self, location: LocationId) -> bool {
        self == UsedBy::All || self == UsedBy::Location(location)
    }
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Publishes to all members; replaces what was published with the same key. `ttl`: how long it is kept
    /// for members that start later.
    Publish {
        key: Vec<u8>,
        message: Message,
        ttl: Span,
    },
    /// A verdict on a host from findings of other dispatchers, valid until `until`. `age`: upper bound of the
    /// age of its oldest evidence. `weight`: below 1, the weight of own evidence. One on a restart is given
    /// once, and not withdrawn.
    Verdict {
        host: HostId,
        since: Option<Incarnation>,
        kind: FindingKind,
        weight: f64,
        until: Time,
        age: Span,
        reporters: u8,
    },
    /// Withdraws the verdict that the host is unhealthy.
    Withdraw {
        host: HostId,
    },
    Log(String),
}
