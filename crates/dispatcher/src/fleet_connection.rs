//! Connects the decision module with the fleet. Shares of limits and findings of other dispatchers go into
//! the module; its own findings, demand and usage go to the fleet. No decisions are made here. Values from
//! the fleet are valid until an `Instant`, and the remaining time is passed to the module again and again, so
//! that a step of the system clock can't keep an expired share in force.
use crate::carried_changes::Delivery;
use crate::clock;
use crate::config::Config;
use crate::inbox::Input;
use cherrypass::calls::{
    EjectionCause, HostCondition, LimitUsage, Listing, Phase, ReportedCondition, SharedLimit,
};
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::{ClassId, HostId, LocationId};
use cherrypass::settings::Settings;
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_fleet::{limits, members, node, rollout, verdicts};
use cherrypass_operator::fleet::{self as operator, Fleet, UnprovenCopies};
use cherrypass_operator::rules::{self, Rules};
use cherrypass_peers as peers;
use cherrypass_peers::delivery::{self, DeliveryEvent};
use cherrypass_peers::{
    ChangeNumber, Figures, Finding, FindingKind, FromFleet, LimitKey, LogId, Peers, ToFleet, UsedBy,
};
use cherrypass_store::store::Store;
use crossbeam_channel::{unbounded, Sender};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval of the exchanges between module and fleet.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Demand is averaged over this many exchanges, which take a second.
const DEMAND_WINDOW: usize = 4;
/// Maximum drain time of a limit.
const MAX_DRAIN: Span = Span::millis(600_000);

/// Why the fleet can't be joined.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(
        "the operators' file: fleet.members[{0}].location: '{1}' is not one of the configuration's zones {2:?}"
    )]
    Location(usize, String, Vec<String>),
    #[error(transparent)]
    Peers(#[from] peers::Error),
}

impl Error {
    /// Stable identifier of the error for operators' tools.
    pub fn code(&self) -> &'static str {
        match self {
            Error::Location(..) => "fleet-location",
            Error::Peers(error) => error.code(),
        }
    }
}

/// Converts the section `fleet` of the operators' file to the settings of the fleet's crates.
pub fn fleet_settings(fleet: &Fleet, config: &Config) -> Result<peers::Settings, Error> {
    let zones = &config.names.locations;
    let location_id =
        |name: &String| zones.iter().position(|zone| zone == name).map(|index| LocationId(index as u16));
    let mut settings = peers::Settings::new(&fleet.name, &fleet.own_name, fleet.listen);
    for (index, operator::Member { name, address, location }) in fleet.members.iter().enumerate() {
        let id = location_id(location);
        let location = id.ok_or_else(|| Error::Location(index, location.clone(), zones.clone()))?;
        settings.members.push(peers::Member { name: name.clone(), address: *address, location });
    }
    let follower =
        |one: &operator::Follower| peers::Follower { name: one.name.clone(), address: one.address };
    settings.followers = fleet.followers.iter().map(follower).collect();
    settings.locations = zones.iter().filter_map(|zone| Some((zone.clone(), location_id(zone)?))).collect();
    (settings.events, settings.control, settings.newest_form) =
        (fleet.events.clone(), fleet.control, fleet.message_version);
    (settings.timer_interval, settings.seed) = (fleet.timer_period, config.seed);
    let drain = config.longest_deadline().min(MAX_DRAIN);
    settings.protocols = node::Settings {
        members: members::Settings { interval: fleet.probe_interval, ..members::Settings::default() },
        limits: fleet.limits.as_ref().map(|limits| limits::Settings {
            origin: limits.origin,
            retries_per_s: limits.retries_per_s,
            limits_cold_hosts: limits.shares_cold_budgets,
            lease: limits.lease,
            floor_fraction: limits.floor,
            drain,
            ..limits::Settings::default()
        }),
        verdicts: fleet.verdicts.as_ref().map(|verdicts| verdicts::Settings {
            hold_time: verdicts.max_finding_age,
            reporters: verdicts.min_reporters as u8,
            location_fraction: verdicts.min_reporting_fraction,
        }),
        rollout: fleet.rollout.as_ref().map(|rollout| rollout::Settings {
            window: rollout.comparison_window,
            ..rollout::Settings::default()
        }),
        ..node::Settings::default()
    };
    settings.delivery = fleet.delivery.as_ref().map(|delivery| delivery::Settings {
        carriers: delivery.carriers.clone(),
        last_change: ChangeNumber::default(),
        protocol: cherrypass_fleet::delivery::Settings {
            log: LogId::of(&delivery.log),
            max_followers: delivery.followers_per_carrier as usize,
            fallback_delay: delivery.fallback_after,
            ..cherrypass_fleet::delivery::Settings::default()
        },
    });
    settings.check()?;
    Ok(settings)
}

/// This member's share of a limit: the amount until the lease ends, and the one after that.
#[derive(Clone, Copy)]
struct Share {
    amount: f64,
    until: Instant,
    after: f64,
}

/// A bad host reported by other dispatchers.
struct ReportedHost {
    started: Option<UnixTime>,
    until: Instant,
    /// Whether the fleet was notified that own hand-offs to it succeed.
    is_refuted: bool,
}

/// The router's connection to the fleet.
pub struct FleetConnection {
    send: Box<dyn Fn(ToFleet)>,
    /// For the thread that follows the change log, which takes it once.
    delivery: Option<Delivery>,
    /// With delivery: the time up to which all changes of the log are known.
    known_up_to: Option<Instant>,
    is_unproven: bool,
    /// Leaves the fleet when dropped.
    _peers: Option<Peers>,
    settings: Settings,
    fleet: Fleet,
    rules: Rules,
    /// The fraction of each limit that this member always has.
    floor: f64,
    shares: BTreeMap<LimitKey, Share>,
    /// Hosts that others report as bad.
    reported_hosts: BTreeMap<HostId, ReportedHost>,
    /// Hosts that others report as restarted, with the listed start that the report refers to.
    restarted_hosts: BTreeMap<HostId, Option<UnixTime>>,
    /// Own findings reported to the fleet, by host and whether the finding is a restart.
    sent_findings: BTreeMap<(HostId, bool), (FindingKind, u32, Option<UnixTime>)>,
    /// The listed start of each host, which identifies its process among members, and the start in the
    /// module's time.
    starts: BTreeMap<HostId, (Option<UnixTime>, Option<Time>)>,
    /// Hosts that the module has ejected, and whether only because of reports of others.
    ejected: BTreeMap<HostId, bool>,
    recent_demand: BTreeMap<LimitKey, VecDeque<LimitUsage>>,
    next_exchange: Instant,
    exchanges: usize,
    counters: Figures,
}

fn shared_limit(key: LimitKey) -> SharedLimit {
    match key {
        LimitKey::Origin => SharedLimit::Origin,
        LimitKey::Retries => SharedLimit::Retries,
        LimitKey::ColdHost(host) => SharedLimit::ColdStart(host),
    }
}

/// Converts a future instant to the module's time.
fn module_time(instant: Instant) -> Time {
    clock::now() + Span(instant.saturating_duration_since(Instant::now()).as_micros() as u64)
}

impl FleetConnection {
    /// Joins the fleet, whose messages go to the router's mailbox.
    pub fn start(
        fleet: &Fleet,
        peers_settings: peers::Settings,
        settings: &Settings,
        store: Option<Arc<Store>>,
        router: Sender<Input>,
    ) -> Result<FleetConnection, Error> {
        let (to_log_thread, from_fleet) = unbounded();
        let receive = move |from| {
            let _ = match from {
                // That thread forwards how much is known, in order with the changes that it has applied.
                FromFleet::Delivery(delivered) => to_log_thread.send(delivered).is_ok(),
                from => router.send(Input::Fleet(from)).is_ok(),
            };
        };
        let peers = Peers::start(peers_settings, store, receive, |line| tracing::info!("{line}"))?;
        let sender = peers.sender();
        let delivery = fleet.delivery.as_ref().map(|delivery| Delivery {
            from_fleet,
            to_fleet: Box::new({
                let sender = sender.clone();
                move |message| sender.send(message)
            }),
            is_carrier: delivery.carriers.contains(&fleet.own_name),
        });
        let send = Box::new(move |message| sender.send(message));
        Ok(FleetConnection { _peers: Some(peers), delivery, ..FleetConnection::with(fleet, settings, send) })
    }

    /// Takes the channels for the thread that follows the change log.
    pub fn take_delivery(&mut self) -> Option<Delivery> {
        self.delivery.take()
    }

    fn with(fleet: &Fleet, settings: &Settings, send: Box<dyn Fn(ToFleet)>) -> FleetConnection {
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

    /// How long until the next exchange ([`FleetConnection::exchange`]) is due.
    pub fn until_next_exchange(&self) -> Duration {
        self.next_exchange.saturating_duration_since(Instant::now())
    }

    /// Before anything is served: sets the shares of all limits to zero until the fleet allots more. An
    /// earlier run of this process may have lent its share to others, or its hand-offs may still be using it.
    pub fn set_initial_shares(&mut self, engine: &mut DecisionEngine) {
        let Some(limits) = &self.fleet.limits else { return };
        let totals = [(LimitKey::Origin, limits.origin), (LimitKey::Retries, limits.retries_per_s)];
        let limited = totals.into_iter().filter(|(_, total)| total.is_some());
        limited.for_each(|(key, _)| self.set_initial_share(engine, key, 0.0));
    }

    /// Sets the share that applies until the fleet allots one.
    fn set_initial_share(&mut self, engine: &mut DecisionEngine, key: LimitKey, amount: f64) {
        self.shares.entry(key).or_insert(Share { amount, until: Instant::now(), after: amount });
        self.apply_share(engine, key);
    }

    /// Passes a share to the module.
    fn apply_share(&self, engine: &mut DecisionEngine, key: LimitKey) {
        if let Some(Share { amount, until, after }) = self.shares.get(&key) {
            let scale = self.scale(key);
            engine.set_allotment(shared_limit(key), scale * amount, module_time(*until), scale * after);
        }
    }

    /// The ratio of a limit by the rules in force to that of the file, by which the fleet allots shares.
    fn scale(&self, key: LimitKey) -> f64 {
        let (Some(file), rules) = (&self.fleet.limits, &self.rules.fleet.limits) else { return 1.0 };
        let (new, old) = match key {
            LimitKey::Origin => (rules.origin, file.origin),
            LimitKey::Retries => (rules.retries_per_s, file.retries_per_s),
            LimitKey::ColdHost(_) => (None, None),
        };
        new.zip(old).map_or(1.0, |(new, old)| new / old)
    }

    /// Puts rules in force.
    fn apply_rules(&mut self, engine: &mut DecisionEngine, rules: Rules) {
        self.rules = rules;
        self.shares
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|key| self.apply_share(engine, key));
        if let Some(file) = &self.fleet.verdicts {
            let rules = &self.rules.fleet.verdicts;
            let reporters = rules.min_reporters.unwrap_or(file.min_reporters) as u8;
            (self.send)(ToFleet::VerdictThresholds {
                reporters,
                location_fraction: rules.min_reporting_fraction.unwrap_or(file.min_reporting_fraction),
            });
        }
        if !self.rules.fleet.verdicts.uses_findings {
            let hosts: Vec<HostId> = self.reported_hosts.keys().copied().collect();
            hosts.into_iter().for_each(|host| self.withdraw_report(engine, host));
        }
    }

    /// The start in the module's time of the process that members identify by its listed start. If that is
    /// not the start listed here, a value that matches no host.
    fn start_of(&self, host: HostId, started: Option<UnixTime>) -> Option<Time> {
        let known = self.starts.get(&host).filter(|known| known.0 == started);
        known.map_or(Some(Time::default()), |known| known.1)
    }

    /// Withdraws other dispatchers' report on a host from the module.
    fn withdraw_report(&mut self, engine: &mut DecisionEngine, host: HostId) {
        if let Some(report) = self.reported_hosts.remove(&host) {
            let now = clock::now();
            engine.apply_peer_report(
                now,
                host,
                self.start_of(host, report.started),
                ReportedCondition::Bad,
                now,
            );
        }
    }

    /// Handles a message of the fleet.
    pub fn handle(&mut self, engine: &mut DecisionEngine, message: FromFleet) {
        match message {
            FromFleet::Allowance { key, number, amount, until, after } => {
                // Nothing is kept for hosts that are gone.
                if matches!(key, LimitKey::ColdHost(host) if !engine.is_listed(host)) {
                    return;
                }
                self.shares.insert(key, Share { amount, until, after });
                self.apply_share(engine, key);
                (self.send)(ToFleet::AllowanceApplied { key, number });
            }
            FromFleet::Verdict { kind: FindingKind::Slow, .. } => {}
            FromFleet::Verdict { .. } if !self.rules.fleet.verdicts.uses_findings => {}
            FromFleet::Verdict { host, started_at: since, kind: FindingKind::Restarted, until, .. } => {
                // Only once per start: a later start in the list takes precedence over repeated reports.
                if self.restarted_hosts.insert(host, since) != Some(since) {
                    let start = self.start_of(host, since);
                    engine.apply_peer_report(
                        clock::now(),
                        host,
                        start,
                        ReportedCondition::Restarted,
                        module_time(until),
                    );
                }
            }
            FromFleet::Verdict { host, started_at: since, until, .. } => {
                let is_refuted = self
                    .reported_hosts
                    .get(&host)
                    .is_some_and(|report| report.is_refuted && report.started == since);
                self.reported_hosts.insert(host, ReportedHost { started: since, until, is_refuted });
                engine.apply_peer_report(
                    clock::now(),
                    host,
                    self.start_of(host, since),
                    ReportedCondition::Bad,
                    module_time(until),
                );
            }
            FromFleet::WithdrawVerdict { host } => self.withdraw_report(engine, host),
            FromFleet::Delivery(DeliveryEvent::CompleteUpTo(at)) => {
                self.known_up_to = self.known_up_to.max(Some(at));
                self.update_proof(engine);
            }
            FromFleet::Delivery(DeliveryEvent::Changes { .. } | DeliveryEvent::ReadLogDirectly(_)) => {}
            FromFleet::Rules { number: 0, .. } => self.apply_rules(engine, Rules::default()),
            FromFleet::Rules { number, text } => match rules::decode(&text, &self.fleet) {
                Ok(rules) => self.apply_rules(engine, rules),
                Err(error) => {
                    tracing::warn!("rules {number} are rejected ({}): {error}", error.code());
                    (self.send)(ToFleet::RulesRejected { number, reason: error.to_string() });
                }
            },
        }
    }

    /// Tells the module whether there may be purges that are not known here.
    fn update_proof(&mut self, engine: &mut DecisionEngine) {
        let (Some(delivery), Some(known)) = (&self.fleet.delivery, self.known_up_to) else { return };
        let is_unproven = known.elapsed() > clock::to_std(delivery.max_proof_age);
        engine.set_purges_unverified(is_unproven && delivery.unproven == UnprovenCopies::Strict);
        if std::mem::replace(&mut self.is_unproven, is_unproven) != is_unproven {
            let age_ms = known.elapsed().as_millis();
            match is_unproven {
                true => tracing::warn!("delivery: purges of the last {age_ms} ms may be unknown"),
                false => tracing::info!("delivery: all purges are known up to {age_ms} ms ago"),
            }
        }
    }

    /// Whether carriers deliver changes and so prove which purges are known.
    pub fn has_carriers(&self) -> bool {
        self.fleet.delivery.is_some()
    }

    /// An entry of the host list was applied.
    pub fn host_listed(&mut self, engine: &mut DecisionEngine, entry: &Listing, started: Option<UnixTime>) {
        self.starts.insert(entry.host, (started, entry.started_at));
        if entry.phase != Phase::Ready {
            return self.host_unlisted(entry.host, entry.phase == Phase::Gone);
        }
        let kind = Some(entry.kind);
        let is_used_by_all = kind == self.settings.parent_kind || kind == self.settings.origin_kind;
        let used_by = if is_used_by_all { UsedBy::All } else { UsedBy::Location(entry.location) };
        (self.send)(ToFleet::HostListed { host: entry.host, started_at: started, used_by });
        if entry.started_at.is_some() {
            self.init_cold_share(engine, entry.host);
        }
    }

    /// A host's start was dated earlier than before.
    pub fn start_redated(&mut self, host: HostId, since: Time) {
        self.starts.get_mut(&host).into_iter().for_each(|known| known.1 = Some(since));
    }

    /// A host left the list, or drains.
    pub fn host_unlisted(&mut self, host: HostId, is_gone: bool) {
        (self.send)(ToFleet::HostUnlisted(host));
        self.reported_hosts.remove(&host);
        if is_gone {
            self.starts.remove(&host);
            self.shares.remove(&LimitKey::ColdHost(host));
            self.restarted_hosts.remove(&host);
        }
    }

    /// Sets the share of a cold host for which the fleet has not allotted one to the floor, which no other
    /// member can have. The fleet may know too many hosts to allot shares for this one.
    fn init_cold_share(&mut self, engine: &mut DecisionEngine, host: HostId) {
        let key = LimitKey::ColdHost(host);
        let shares_cold_budgets = self.fleet.limits.as_ref().is_some_and(|limits| limits.shares_cold_budgets);
        if shares_cold_budgets && !self.shares.contains_key(&key) {
            self.set_initial_share(engine, key, self.floor);
        }
    }

    /// Exchanges the current state between module and fleet, in both directions.
    pub fn exchange(&mut self, engine: &mut DecisionEngine) {
        let (now, instant) = (clock::now(), Instant::now());
        self.next_exchange = instant + EXCHANGE_INTERVAL;
        self.exchanges += 1;
        self.update_proof(engine);
        self.shares
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|key| self.apply_share(engine, key));
        self.reported_hosts.retain(|_, report| instant < report.until);
        for (host, report) in &self.reported_hosts {
            let start = self.start_of(*host, report.started);
            engine.apply_peer_report(now, *host, start, ReportedCondition::Bad, module_time(report.until));
        }
        if self.fleet.verdicts.is_some() {
            self.send_findings(engine, now);
        }
        self.send_ejections(engine);
        self.send_demand(engine, now);
        if self.exchanges.is_multiple_of(DEMAND_WINDOW) {
            (self.send)(ToFleet::Figures(std::mem::take(&mut self.counters)));
        }
    }

    /// Sends findings about hosts that are new or have changed.
    fn send_findings(&mut self, engine: &DecisionEngine, now: Time) {
        let mut current = BTreeMap::new();
        for finding in engine.findings(now) {
            let kind = match finding.condition {
                HostCondition::Restarted => FindingKind::Restarted,
                HostCondition::Ejected { cause: EjectionCause::Silent, .. }
                | HostCondition::Ejected { is_unreachable: true, .. } => FindingKind::Unreachable,
                HostCondition::Ejected { .. } => FindingKind::Failing,
            };
            let key = (finding.host, kind == FindingKind::Restarted);
            let since = self.starts.get(&finding.host).and_then(|known| known.0);
            let content = (kind, finding.evidence_count, since);
            if self.sent_findings.get(&key) != Some(&content) {
                let (host, evidence, age) =
                    (finding.host, finding.evidence_count, now - finding.last_evidence_at);
                (self.send)(ToFleet::Finding(Finding { host, started_at: since, kind, evidence, age }));
            }
            current.insert(key, content);
        }
        let cleared = self.sent_findings.keys().filter(|key| !key.1 && !current.contains_key(key));
        cleared.for_each(|key| (self.send)(ToFleet::Recovery(key.0)));
        self.sent_findings = current;
        for host in engine.refuted_reports(now) {
            if let Some(report) = self.reported_hosts.get_mut(&host).filter(|report| !report.is_refuted) {
                report.is_refuted = true;
                (self.send)(ToFleet::VerdictRefuted(host));
            }
        }
    }

    /// Sends which hosts were ejected or returned.
    fn send_ejections(&mut self, engine: &DecisionEngine) {
        let ejected: BTreeMap<HostId, bool> =
            engine.ejected_hosts().map(|(host, why)| (host, why == EjectionCause::Reported)).collect();
        for (host, by_report) in
            ejected.iter().filter(|(host, by_report)| self.ejected.get(host) != Some(by_report))
        {
            self.counters.ejected += u64::from(!self.ejected.contains_key(host));
            (self.send)(ToFleet::HostEjected { host: *host, by_reports: *by_report });
        }
        for host in self.ejected.keys().filter(|host| !ejected.contains_key(host)) {
            (self.send)(ToFleet::HostReadmitted { host: *host });
        }
        self.ejected = ejected;
    }

    /// Sends the demand for each limit, and once a second its usage.
    fn send_demand(&mut self, engine: &mut DecisionEngine, now: Time) {
        let Some(limits) = &self.fleet.limits else { return };
        let totals = [(LimitKey::Origin, limits.origin), (LimitKey::Retries, limits.retries_per_s)];
        let mut keys: BTreeSet<LimitKey> =
            totals.into_iter().filter(|(_, total)| total.is_some()).map(|(key, _)| key).collect();
        if limits.shares_cold_budgets {
            let cold: Vec<HostId> = engine.cold_hosts(now).collect();
            cold.iter().for_each(|host| self.init_cold_share(engine, *host));
            keys.extend(cold.into_iter().map(LimitKey::ColdHost));
        }
        self.recent_demand.retain(|key, _| keys.contains(key));
        let sends_usage = self.exchanges.is_multiple_of(DEMAND_WINDOW);
        for key in keys {
            let recent = self.recent_demand.entry(key).or_default();
            recent.push_back(engine.take_limit_usage(now, shared_limit(key)));
            if recent.len() > DEMAND_WINDOW {
                recent.pop_front();
            }
            let aggregate = |of: fn(&LimitUsage) -> f64| match key {
                LimitKey::Origin => recent.iter().map(of).fold(0.0, f64::max),
                _ => recent.iter().map(of).sum::<f64>() / recent.len() as f64,
            };
            let max = if matches!(key, LimitKey::ColdHost(_)) { 1.0 } else { f64::MAX };
            (self.send)(ToFleet::Demand { key, amount: aggregate(|one| one.demanded).min(max) });
            if sends_usage {
                (self.send)(ToFleet::PeakUse { key, amount: aggregate(|one| one.used) });
            }
        }
    }

    /// Counts a hand-off.
    pub fn count_hand_off(&mut self) {
        self.counters.hand_offs += 1;
    }

    /// Counts a visit that was served.
    pub fn count_served(&mut self, engine: &DecisionEngine, class: ClassId, duration: Span) {
        self.counters.visits += 1;
        self.counters.in_time += u64::from(duration.as_seconds() <= engine.target_seconds(class));
    }

    /// Counts a visit that was refused.
    pub fn count_refused(&mut self) {
        self.counters.visits += 1;
        self.counters.refused += 1;
    }

    /// Counts a visit that failed.
    pub fn count_failed(&mut self) {
        self.counters.visits += 1;
        self.counters.failed += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cherrypass::calls::{Decision, HandOffEnd, Note, Outcome, Report, Visit};
    use cherrypass::ids::{CellId, GroupId, HandOffNumber, KindId, ObjectId, VisitId};
    use cherrypass::settings::{ClassSettings, ColdStart, Effect};
    use crossbeam_channel::{unbounded, Receiver};

    const CACHE_COUNT: u64 = 4;
    const ORIGIN: HostId = HostId(9);

    fn class(is_write: bool) -> ClassSettings {
        let (target_latency, zero) = (Span::millis(500), Span::ZERO);
        ClassSettings {
            effect: Effect::Idempotent,
            target_latency,
            target_stretch: 2.0,
            fresh_for: zero,
            stale_for: zero,
            is_write,
        }
    }

    /// A decision module with four caches, the first of them cold, and an origin; and its connection to a
    /// fleet of two. Messages to the fleet arrive at the receiver.
    fn start() -> (DecisionEngine, FleetConnection, Receiver<ToFleet>) {
        let text = r#"{"fleet": {"name": "shop", "me": "d1", "listen": "127.0.0.1:0", "verdicts": {},
            "limits": {"origin": 40, "further_per_s": 20, "cold": true, "floor": 0.1},
            "members": [{"name": "d1", "address": "127.0.0.1:1", "location": "edge"},
                        {"name": "d2", "address": "127.0.0.1:2", "location": "edge"}]}}"#;
        let fleet = cherrypass_operator::decode("test", serde_json::from_str(text).unwrap()).unwrap();
        let (initial_share, ramp, overload_factor, overload_window) =
            (0.2, Span::seconds(60.0), 2.0, Span::seconds(2.0));
        let settings = Settings {
            dispatchers: 2,
            location_dispatchers: 2,
            classes: vec![class(false), class(true)],
            origin_kind: Some(KindId(2)),
            has_weights: true,
            has_stable_weights: true,
            may_bypass_caches: true,
            can_cancel: true,
            max_hand_offs: 6,
            cold_cache: ColdStart { initial_share, ramp, overload_factor, overload_window },
            ..Settings::default()
        };
        let mut engine = DecisionEngine::new(settings.clone(), 7, clock::now());
        let (sender, sent) = unbounded();
        let mut connection = FleetConnection::with(
            &fleet.fleet.unwrap(),
            &settings,
            Box::new(move |message| drop(sender.send(message))),
        );
        connection.set_initial_shares(&mut engine);
        let entries: Vec<Listing> = (1..=CACHE_COUNT).map(HostId).chain([ORIGIN]).map(entry).collect();
        engine.update_hosts(clock::now(), &entries, true);
        entries.iter().for_each(|entry| {
            connection.host_listed(&mut engine, entry, entry.started_at.map(clock::to_unix))
        });
        (engine, connection, sent)
    }

    fn entry(host: HostId) -> Listing {
        let (location, cell) = (LocationId(0), CellId(0));
        let kind = KindId(if host == ORIGIN { 2 } else { 0 });
        let since = Some(clock::now()).filter(|_| host == HostId(1));
        Listing { host, location, kind, cell, weight: 20.0, started_at: since, phase: Phase::Ready }
    }

    /// Starts visits of a request class; returns the host of each, with no entry for refused ones.
    fn visits(engine: &mut DecisionEngine, first: u32, count: u32, class: u16) -> BTreeMap<u32, HostId> {
        let (now, mut sent_to) = (clock::now(), BTreeMap::new());
        for id in first..first + count {
            let (object, deadline) = (ObjectId(u64::from(id)), now + Span::seconds(6.0));
            let (class, group, visit) = (ClassId(class), GroupId(0), VisitId(id));
            engine.visit_arrived(
                now,
                Visit { id: visit, class, object, group, part: 0, kilobytes: None, deadline },
            );
            while let Some(decision) = engine.next_decision(now) {
                if let Decision::HandOff { visit, host, .. } = decision {
                    sent_to.insert(visit.0, host);
                }
            }
        }
        sent_to
    }

    fn end(engine: &mut DecisionEngine, sent_to: &BTreeMap<u32, HostId>, fails: impl Fn(HostId) -> bool) {
        for (id, host) in sent_to {
            let outcome = if fails(*host) { Outcome::TimedOut } else { Outcome::Served };
            let (visit, number, note) = (VisitId(*id), HandOffNumber(0), Note::Unspecified);
            let (took, report) = (Span::millis(100), Report::default());
            engine.hand_off_ended(
                clock::now(),
                HandOffEnd { visit, number, outcome, note, duration: took, report, is_final: true },
            );
        }
        while engine.next_decision(clock::now()).is_some() {}
    }

    #[test]
    fn shares_expire_by_themselves_and_demand_is_sent() {
        let (mut engine, mut connection, sent) = start();
        assert_eq!(visits(&mut engine, 0, 5, 1).len(), 0, "no share is allotted yet");
        let until = Instant::now() + Duration::from_millis(60);
        let share = |key, number, amount, after| FromFleet::Allowance { key, number, amount, until, after };
        connection.handle(&mut engine, share(LimitKey::Origin, 3, 6.0, 0.0));
        connection.handle(&mut engine, share(LimitKey::ColdHost(HostId(77)), 4, 1.0, 1.0));
        assert_eq!(visits(&mut engine, 10, 9, 1).len(), 6);
        connection.exchange(&mut engine);
        let all: Vec<ToFleet> = sent.try_iter().collect();
        assert!(all.contains(&ToFleet::AllowanceApplied { key: LimitKey::Origin, number: 3 }));
        assert!(
            !all.iter().any(|message| matches!(
                message,
                ToFleet::AllowanceApplied { key: LimitKey::ColdHost(_), .. }
            )),
            "the host is not listed"
        );
        let demand = |wanted: LimitKey| {
            let find = |message: &ToFleet| match message {
                ToFleet::Demand { key, amount } if *key == wanted => Some(*amount),
                _ => None,
            };
            all.iter().find_map(find)
        };
        assert!(demand(LimitKey::Origin).unwrap() > 6.0, "demand exceeds the share");
        assert!(
            demand(LimitKey::ColdHost(HostId(1))).is_some()
                && demand(LimitKey::ColdHost(HostId(2))).is_none()
        );
        std::thread::sleep(Duration::from_millis(80));
        end(&mut engine, &(0..30).map(|id| (id, ORIGIN)).collect(), |_| false);
        assert_eq!(visits(&mut engine, 30, 4, 1).len(), 0, "the share has expired without a further call");
    }

    #[test]
    fn rules_change_limits_and_invalid_rules_change_nothing() {
        let (mut engine, mut connection, sent) = start();
        let until = Instant::now() + Duration::from_secs(9);
        let key = LimitKey::Origin;
        connection
            .handle(&mut engine, FromFleet::Allowance { key, number: 1, amount: 8.0, until, after: 0.0 });
        let mut rules = |number: u64, text: &str| {
            connection.handle(&mut engine, FromFleet::Rules { number, text: text.into() });
            let before = engine.take_limit_usage(clock::now(), SharedLimit::Origin).used as u32;
            visits(&mut engine, 100 * number as u32, 9, 1).len() as u32 + before
        };
        assert_eq!(rules(1, r#"{"fleet": {"limits": {"origin": 20}}}"#), 4);
        assert_eq!(rules(2, r#"{"fleet": {"limits": {"origin": 0}}}"#), 4);
        assert!(sent.try_iter().any(|message| matches!(message, ToFleet::RulesRejected { number: 2, .. })));
        assert_eq!(rules(0, ""), 8);
    }

    #[test]
    fn own_findings_are_sent_and_those_of_others_are_not_repeated() {
        let (mut engine, mut connection, sent) = start();
        let bad = HostId(3);
        for first in [100, 200, 300, 400] {
            let sent_to = visits(&mut engine, first, 60, 0);
            end(&mut engine, &sent_to, |host| host == bad);
        }
        connection.exchange(&mut engine);
        connection.exchange(&mut engine);
        let all: Vec<ToFleet> = sent.try_iter().collect();
        let found =
            |message: &&ToFleet| matches!(message, ToFleet::Finding(f) if f.host == bad && f.evidence > 0);
        assert_eq!(all.iter().filter(found).count(), 1, "an unchanged finding was sent again");
        assert!(all.contains(&ToFleet::HostEjected { host: bad, by_reports: false }));
        // Host 2 is ejected only because of others' reports, and returns when they are withdrawn. Own
        // successes take precedence for 2 s.
        let (host, until) = (HostId(2), Instant::now() + Duration::from_secs(9));
        let (kind, weight, age, reporters) = (FindingKind::Failing, 0.5, Span::ZERO, 2);
        std::thread::sleep(Duration::from_millis(2_050));
        connection.handle(
            &mut engine,
            FromFleet::Verdict { host, started_at: None, kind, weight, until, age, reporters },
        );
        connection.exchange(&mut engine);
        let all: Vec<ToFleet> = sent.try_iter().collect();
        assert!(all.contains(&ToFleet::HostEjected { host, by_reports: true }));
        assert!(
            !all.iter().any(|message| matches!(message, ToFleet::Finding(f) if f.host == host)),
            "a report of others was repeated"
        );
        connection.handle(&mut engine, FromFleet::WithdrawVerdict { host });
        engine.tick(clock::now());
        connection.exchange(&mut engine);
        assert!(sent.try_iter().any(|message| message == ToFleet::HostReadmitted { host }));
    }
}
