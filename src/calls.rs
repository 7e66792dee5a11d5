//! Values passed between the decision module and its caller.
use crate::ids::*;
use crate::time::{Span, Time};

/// Failures within this time are the host's own or the visit's; later ones may be the source's.
pub(crate) const FAST_FAILURE_MAX: Span = Span::millis(60);

/// Copy priority where nothing is to be kept.
pub(crate) const UNCACHED_FILL_RANK: u8 = 0;

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Visit {
    pub id: VisitId,
    pub class: ClassId,
    pub object: ObjectId,
    pub group: GroupId,
    /// Which part of the object is requested.
    pub part: u32,
    /// Size of the answer, if known in advance.
    pub kilobytes: Option<f64>,
    pub deadline: Time,
}

/// State of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    /// Finishes what it has and takes no new requests.
    Draining,
    Gone,
}

/// An entry of the list of hosts.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub host: HostId,
    pub location: LocationId,
    pub kind: KindId,
    pub cell: CellId,
    /// Capacity in transfers at full speed, where the settings say that weights are given.
    pub weight: f64,
    /// Start of the host's process; `None` if it started long ago.
    pub started_at: Option<Time>,
    pub phase: Phase,
}

/// How a hand-off ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The host served the request.
    Served,
    Error,
    /// The host had no capacity and refused.
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// The deadline had passed before the host started.
    Expired,
    /// The host was asked for a cached copy only and has none.
    Miss,
    /// It was not sent, for a reason other than the host: newer information requires another decision.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the request was not executed.
    pub fn is_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::Expired | Outcome::Miss | Outcome::NotSent
        )
    }
}

/// What the host says about how it handled a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The answer has no note.
    Unspecified,
    Hit,
    /// Filled from the source named in the hand-off.
    Filled,
    /// Filled by a source that fetched from the origin.
    FilledByOrigin,
    /// Waited for a fill that was already in flight.
    Joined,
    /// Served a stale copy, which is refreshed in the background.
    Stale,
    SourceRefused,
    SourceUnreachable,
    /// The source was asked for a cached copy only and has none.
    SourceMiss,
    /// The host had no capacity for another fill.
    NoCapacity,
    OriginFailed,
}

/// Load figures that a host reports with its answers or to a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Load of its link for fills: transfers in progress over those that fit.
    pub link_load: Option<f64>,
    /// Share of its capacity in use by all dispatchers.
    pub load: Option<f64>,
}

/// A limit on the total of several dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SharedLimit {
    /// Concurrent hand-offs at the origin; fills count by their probability of reaching it.
    Origin,
    /// Retries a second.
    Retries,
    /// Share of a cold host's budget; all dispatchers together have 1.
    ColdStart(HostId),
}

/// Use of a shared limit since the last query, and the use there would have been without the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitUsage {
    pub used: f64,
    pub demanded: f64,
}

/// Why a host is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// It fails far more often than its peers.
    Failing,
    /// It does not answer.
    Silent,
    /// Other dispatchers report it as bad; this one has no evidence of its own.
    Reported,
}

/// A host's condition as this dispatcher observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    pub host: HostId,
    /// Start of the host's process as listed.
    pub since: Option<Time>,
    pub condition: HostCondition,
    /// Number of own hand-offs that support it, and the time of the last of them.
    pub evidence_count: u32,
    pub last_evidence_at: Time,
}

/// An observed condition of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostCondition {
    /// Ejected; `is_unreachable` if connections to it have only broken or been refused since.
    Ejected { cause: EjectionCause, is_unreachable: bool },
    /// It recovered after its connections broke, most likely as a new process.
    Restarted,
}

/// What other dispatchers report about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedCondition {
    Bad,
    /// Its process is new and cold, and the list does not show that yet.
    Restarted,
}

/// The end of a hand-off.
#[derive(Clone, Copy, Debug)]
pub struct HandOffEnd {
    pub visit: VisitId,
    pub number: HandOffNumber,
    pub outcome: Outcome,
    pub note: Note,
    pub duration: Span,
    pub report: Report,
    /// Whether the visit has its final answer.
    pub is_final: bool,
}

impl HandOffEnd {
    /// Whether it ended with a fast error, for which the visit itself may be at fault.
    pub(crate) fn is_fast_error(&self) -> bool {
        self.outcome == Outcome::Error && self.duration <= FAST_FAILURE_MAX && !self.is_source_at_fault()
    }

    /// Whether the source is at fault, not the host: by the note, or by the time that a refusal took.
    pub(crate) fn is_source_at_fault(&self) -> bool {
        let is_slow_refusal = self.outcome == Outcome::Full
            && self.note == Note::Unspecified
            && self.duration > FAST_FAILURE_MAX;
        is_slow_refusal
            || matches!(self.note, Note::SourceRefused | Note::SourceUnreachable | Note::OriginFailed)
    }
}

/// How a cache may answer and where it fills from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fill {
    /// Host to fill from; the cache itself if it may answer from its own copies only.
    pub source: HostId,
    /// Priority with which the cache keeps the copy.
    pub rank: u8,
    /// Maximum age of a copy; zero for any age.
    pub max_age: Span,
    /// Whether the request may wait for a fill that is already in flight.
    pub may_join: bool,
    /// Whether a stale copy may be served while it is refreshed in the background.
    pub refresh_stale: bool,
    /// The source answers from its cached copies only.
    pub cached_only: bool,
}

impl Fill {
    /// A fill whose copy is not to be kept.
    pub(crate) fn uncached(source: HostId, max_age: Span, may_join: bool) -> Fill {
        let (refresh_stale, cached_only) = (false, false);
        Fill { source, rank: UNCACHED_FILL_RANK, max_age, may_join, refresh_stale, cached_only }
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send a visit to a host. Without `fill` the host runs it by itself.
    HandOff {
        visit: VisitId,
        host: HostId,
        /// When the attempt times out.
        times_out_at: Time,
        /// It must not be sent after this, wherever it waits: a repeat might no longer be recognized as one.
        send_before: Time,
        fill: Option<Fill>,
    },
    Cancel {
        visit: VisitId,
        number: HandOffNumber,
    },
    /// Ask a host for its load.
    Probe {
        host: HostId,
    },
    /// Refuse the visit: the client may try again after `retry_after`.
    Refuse {
        visit: VisitId,
        retry_after: Span,
    },
    /// Fail the visit: it may have been executed, so the client must not simply try again.
    Fail {
        visit: VisitId,
    },
    /// Call `DecisionEngine::tick` again after this time.
    Wake {
        after: Span,
    },
    Log(String),
}
