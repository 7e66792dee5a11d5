//! The state of the connection to the fleet.
use crate::carried_changes::Delivery;
use crate::clock;
use cherrypass::calls::LimitUsage;
use cherrypass::ids::HostId;
use cherrypass::settings::Settings;
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_operator::fleet::Fleet;
use cherrypass_operator::rules::Rules;
use cherrypass_peers::{Figures, FindingKind, LimitKey, Peers, ToFleet};
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// This member's share of a limit: the amount until the lease ends, and the one after that.
#[derive(Clone, Copy)]
pub(super) struct Share {
    pub(super) amount: f64,
    pub(super) until: Instant,
    pub(super) after: f64,
}

/// A bad host reported by other dispatchers.
pub(super) struct ReportedHost {
    pub(super) started: Option<UnixTime>,
    pub(super) until: Instant,
    /// Whether the fleet was notified that own hand-offs to it succeed.
    pub(super) is_refuted: bool,
}

/// Identifies a finding; a host may have one of each sort.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FindingKey {
    pub(super) host: HostId,
    pub(super) is_restart: bool,
}

/// What was reported to the fleet of a finding.
#[derive(PartialEq)]
pub(super) struct SentFinding {
    pub(super) kind: FindingKind,
    pub(super) evidence: u32,
    pub(super) started: Option<UnixTime>,
}

/// The start of a host's process.
pub(super) struct HostStart {
    /// The listed start, which identifies the process among members.
    pub(super) listed: Option<UnixTime>,
    /// The start in the module's time.
    pub(super) in_module: Option<Time>,
}

/// The router's connection to the fleet.
pub struct FleetConnection {
    pub(super) send: Box<dyn Fn(ToFleet)>,
    /// For the thread that follows the change log, which takes it once.
    pub(super) delivery: Option<Delivery>,
    /// With delivery: the time up to which all changes of the log are known.
    pub(super) known_up_to: Option<Instant>,
    pub(super) is_unproven: bool,
    /// Leaves the fleet when dropped.
    pub(super) _peers: Option<Peers>,
    pub(super) settings: Settings,
    pub(super) fleet: Fleet,
    pub(super) rules: Rules,
    /// The fraction of each limit that this member always has.
    pub(super) floor: f64,
    pub(super) shares: BTreeMap<LimitKey, Share>,
    /// Hosts that others report as bad.
    pub(super) reported_hosts: BTreeMap<HostId, ReportedHost>,
    /// Hosts that others report as restarted, with the listed start that the report refers to.
    pub(super) restarted_hosts: BTreeMap<HostId, Option<UnixTime>>,
    /// Own findings reported to the fleet.
    pub(super) sent_findings: BTreeMap<FindingKey, SentFinding>,
    pub(super) starts: BTreeMap<HostId, HostStart>,
    /// Hosts that the module has ejected, and whether only because of reports of others.
    pub(super) ejected: BTreeMap<HostId, bool>,
    pub(super) recent_demand: BTreeMap<LimitKey, VecDeque<LimitUsage>>,
    pub(super) next_exchange: Instant,
    pub(super) exchanges: usize,
    pub(super) counters: Figures,
}

impl FleetConnection {
    pub(super) fn with(fleet: &Fleet, settings: &Settings, send: Box<dyn Fn(ToFleet)>) -> FleetConnection {
        let floor = fleet.limits.as_ref().map_or(0.0, |limits| limits.floor);
        FleetConnection {
            send,
            delivery: None,
            known_up_to: fleet.delivery.is_some().then(Instant::now),
            is_unproven: false,
            _peers: None,
            settings: settings.clone(),
            fleet: fleet.clone(),
            rules: Rules::default(),
            floor: floor / fleet.members.len().max(1) as f64,
            shares: BTreeMap::new(),
            reported_hosts: BTreeMap::new(),
            restarted_hosts: BTreeMap::new(),
            sent_findings: BTreeMap::new(),
            starts: BTreeMap::new(),
            ejected: BTreeMap::new(),
            recent_demand: BTreeMap::new(),
            next_exchange: Instant::now(),
            exchanges: 0,
            counters: Figures::default(),
        }
    }
}

/// Converts a future instant to the module's time.
pub(super) fn module_time(instant: Instant) -> Time {
    clock::now() + Span(instant.saturating_duration_since(Instant::now()).as_micros() as u64)
}
