//! The section `fleet` of the operators' file: its members and the limits that hold for all of them in sum
//! (docs/fleet-file.md). Also checks the constraints between several keys.
use crate::within;
use cherrypass::time::Span;
use serde::{Deserialize, Deserializer};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of members, and of followers: the membership state has to fit in one datagram.
pub const MAX_ENTRIES: usize = 1024;
const MAX_NAME_CHARS: usize = 64;
/// Minimum length of a lease, in periods of the timer.
const MIN_LEASE_PERIODS: u64 = 10;

/// The section `fleet`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Messages of a fleet with another name are refused.
    pub name: String,
    /// Name of this process among the members.
    #[serde(rename = "me")]
    pub own_name: String,
    /// Local address for messages of other members, which may differ from the own `address` in their lists.
    pub listen: SocketAddr,
    pub members: Vec<Member>,
    /// Processes that receive the feed and take no part in decisions.
    #[serde(default)]
    pub followers: Vec<Follower>,
    /// File for events on the fleet's decisions, one JSON object per line; absent: none is written.
    #[serde(default)]
    pub events: Option<PathBuf>,
    /// Loopback address that takes the commands of `cherrypass rollout`; absent: none are taken.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Version of the message format to write; absent: the newest that all members are known to read.
    #[serde(rename = "form", default)]
    pub message_version: Option<u8>,
    /// Period of the fleet's timer.
    #[serde(
        rename = "every_ms",
        deserialize_with = "millis::<_, 10, 1_000>",
        default = "default_timer_period"
    )]
    pub timer_period: Span,
    /// How often each member probes another.
    #[serde(
        rename = "round_ms",
        deserialize_with = "millis::<_, 50, 10_000>",
        default = "default_probe_interval"
    )]
    pub probe_interval: Span,
    /// Absent: each dispatcher keeps to its own limits alone.
    #[serde(default)]
    pub limits: Option<Limits>,
    /// Absent: findings about hosts are neither sent to nor accepted from other members.
    #[serde(default)]
    pub verdicts: Option<Verdicts>,
    /// Absent: rules change only with this file.
    #[serde(default)]
    pub rollout: Option<Rollout>,
    /// Absent: each dispatcher reads the change log itself.
    #[serde(default)]
    pub delivery: Option<Delivery>,
}

/// A dispatcher of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub name: String,
    /// Address to which this process sends messages for the member.
    pub address: SocketAddr,
    /// Name of the location, one of the configuration's zones.
    pub location: String,
}

/// A process that only receives the feed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Follower {
    pub name: String,
    pub address: SocketAddr,
}

/// Limits on the sum over all members; every member must have the same values.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Concurrent hand-offs at the origin; absent: no limit in sum.
    #[serde(deserialize_with = "limit", default)]
    pub origin: Option<f64>,
    /// Repeated hand-offs per second; absent: no limit in sum.
    #[serde(rename = "further_per_s", deserialize_with = "limit", default)]
    pub retries_per_s: Option<f64>,
    /// Whether the load budgets of cold hosts are shared out by need.
    #[serde(rename = "cold", default)]
    pub shares_cold_budgets: bool,
    #[serde(rename = "lease_ms", deserialize_with = "millis::<_, 500, 600_000>", default = "default_lease")]
    pub lease: Span,
    /// Fraction of a member's equal share that is never lent to others.
    #[serde(deserialize_with = "fraction", default = "default_floor")]
    pub floor: f64,
}

/// How findings about hosts are exchanged between dispatchers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Verdicts {
    /// Findings older than this are not used.
    #[serde(
        rename = "hold_ms",
        deserialize_with = "millis::<_, 1_000, 60_000>",
        default = "default_max_finding_age"
    )]
    pub max_finding_age: Span,
    /// How many dispatchers must report the same finding.
    #[serde(rename = "tellers", deserialize_with = "count::<_, 1, 64>", default = "default_min_reporters")]
    pub min_reporters: u32,
    /// Which fraction of the own location's dispatchers must report it.
    #[serde(rename = "part", deserialize_with = "fraction", default = "default_min_reporting_fraction")]
    pub min_reporting_fraction: f64,
}

/// Defaults for the staged rollout of rules.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// All locations, in the order in which they get new rules.
    pub order: Vec<String>,
    /// Fraction of the first location's dispatchers that get the rules in the first stage.
    #[serde(rename = "first", deserialize_with = "fraction", default = "default_first_stage_fraction")]
    pub first_stage_fraction: f64,
    /// Minimum duration of a stage, in seconds.
    #[serde(
        rename = "hold_s",
        deserialize_with = "count::<_, 1, 86_400>",
        default = "default_min_stage_seconds"
    )]
    pub min_stage_seconds: u32,
    /// Minimum number of visits in a stage.
    #[serde(
        rename = "visits",
        deserialize_with = "count::<_, 10, 1_000_000_000>",
        default = "default_min_stage_visits"
    )]
    pub min_stage_visits: u32,
    #[serde(default)]
    pub after_halt: AfterHalt,
    /// Window over which visits are counted when dispatchers are compared; every member must have the same.
    #[serde(
        rename = "window_ms",
        deserialize_with = "millis::<_, 1_000, 60_000>",
        default = "default_comparison_window"
    )]
    pub comparison_window: Span,
}

/// Delivery of change log entries by carriers. All members that use the same log name must read a log with
/// the same sequence numbers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delivery {
    /// Name of the change log.
    pub log: String,
    /// Members that read the log and forward its changes.
    pub carriers: Vec<String>,
    /// Maximum number of followers per carrier.
    #[serde(
        rename = "followers",
        deserialize_with = "count::<_, 1, 65_536>",
        default = "default_followers_per_carrier"
    )]
    pub followers_per_carrier: u32,
    /// A dispatcher without a carrier for this long reads the log itself.
    #[serde(
        rename = "fallback_ms",
        deserialize_with = "millis::<_, 1_000, 3_600_000>",
        default = "default_fallback_after"
    )]
    pub fallback_after: Span,
    /// Once the last proof that all purges are known is older than this, `unproven` applies.
    #[serde(
        rename = "proof_ms",
        deserialize_with = "millis::<_, 500, 3_600_000>",
        default = "default_max_proof_age"
    )]
    pub max_proof_age: Span,
    #[serde(default)]
    pub unproven: UnprovenCopies,
}

/// How copies are used while a dispatcher can't prove that it knows all purges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnprovenCopies {
    /// Copies older than the time in which a purge has to take effect are not served.
    #[default]
    Strict,
    /// Copies are served as usual.
    #[serde(rename = "go-on")]
    Serve,
}

fn default_followers_per_carrier() -> u32 {
    1_024
}

fn default_fallback_after() -> Span {
    Span::millis(3_000)
}

fn default_max_proof_age() -> Span {
    Span::millis(1_100)
}

impl Default for Rollout {
    fn default() -> Rollout {
        let (order, after_halt) = (Vec::new(), AfterHalt::default());
        Rollout {
            order,
            first_stage_fraction: default_first_stage_fraction(),
            min_stage_seconds: default_min_stage_seconds(),
            min_stage_visits: default_min_stage_visits(),
            after_halt,
            comparison_window: default_comparison_window(),
        }
    }
}

/// What happens to halted rules where they are already in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AfterHalt {
    /// They stay in force.
    #[serde(rename = "stay")]
    Keep,
    /// The previous rules come into force again.
    #[default]
    #[serde(rename = "back")]
    Revert,
}

fn default_comparison_window() -> Span {
    Span::millis(5_000)
}

fn default_timer_period() -> Span {
    Span::millis(50)
}

fn default_probe_interval() -> Span {
    Span::millis(250)
}

fn default_lease() -> Span {
    Span::millis(2_000)
}

fn default_max_finding_age() -> Span {
    Span::millis(10_000)
}

fn default_floor() -> f64 {
    0.04
}

fn default_min_reporting_fraction() -> f64 {
    0.25
}

fn default_min_reporters() -> u32 {
    2
}

fn default_first_stage_fraction() -> f64 {
    0.25
}

fn default_min_stage_seconds() -> u32 {
    60
}

fn default_min_stage_visits() -> u32 {
    1_000
}

fn millis<'de, D: Deserializer<'de>, const MIN: u32, const MAX: u32>(from: D) -> Result<Span, D::Error> {
    count::<D, MIN, MAX>(from).map(|found| Span::millis(u64::from(found)))
}

pub(crate) fn count<'de, D: Deserializer<'de>, const MIN: u32, const MAX: u32>(
    from: D,
) -> Result<u32, D::Error> {
    let found = within(from, f64::from(MIN), f64::from(MAX))?;
    if found.fract() != 0.0 {
        return Err(serde::de::Error::custom(format!("{found} is not a whole number")));
    }
    Ok(found as u32)
}

fn fraction<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0, 1.0)
}

pub(crate) fn limit<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 1.0, 1e9).map(Some)
}

impl Fleet {
    /// Checks the constraints between keys. The error is the path of the offending key and what was expected.
    pub(crate) fn check(&self) -> Result<(), (String, String)> {
        let error = |path: &str, what: String| Err((format!("fleet{path}"), what));
        for (key, text) in [(".name", &self.name), (".me", &self.own_name)] {
            if !is_name(text) {
                return error(key, format!("'{text}' is not a name of 1 to {MAX_NAME_CHARS} characters"));
            }
        }
        for (key, found) in [("members", self.members.len()), ("followers", self.followers.len())] {
            if found > MAX_ENTRIES {
                return error(
                    &format!(".{key}"),
                    format!("{found} entries exceed the maximum of {MAX_ENTRIES}; split the fleet"),
                );
            }
        }
        let members = self.members.iter().map(|m| ("members", &m.name, m.address));
        let followers = self.followers.iter().map(|f| ("followers", &f.name, f.address));
        let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
        for (place, (key, name, address)) in members.enumerate().chain(followers.enumerate()) {
            let path = format!(".{key}[{place}]");
            if !is_name(name) {
                return error(
                    &format!("{path}.name"),
                    format!("'{name}' is not a name of 1 to {MAX_NAME_CHARS} characters"),
                );
            }
            if let Some(other) = names.insert(name, path.clone()) {
                return error(&format!("{path}.name"), format!("'{name}' is already used by fleet{other}"));
            }
            if let Some(other) = addresses.insert(address, path.clone()) {
                return error(
                    &format!("{path}.address"),
                    format!("{address} is already used by fleet{other}"),
                );
            }
        }
        if let Some(place) = self.members.iter().position(|m| !is_name(&m.location)) {
            return error(&format!(".members[{place}].location"), "expected the name of a location".into());
        }
        let is_member = |name: &String| self.members.iter().any(|member| member.name == *name);
        self.check_delivery(is_member).or_else(|(key, what)| error(&format!(".delivery.{key}"), what))?;
        // A dispatcher that only receives changes need not be listed as a member.
        let needs_membership = self.limits.is_some() || self.verdicts.is_some() || self.rollout.is_some();
        if !is_member(&self.own_name) && (needs_membership || self.delivery.is_none()) {
            let hint = match self.delivery {
                Some(_) => {
                    "; a dispatcher that is no member must leave out `limits`, `verdicts` and `rollout`"
                }
                None => "",
            };
            return error(".me", format!("'{}' is not one of the members{hint}", self.own_name));
        }
        if let Some(at) = self.control.filter(|at| !at.ip().is_loopback()) {
            return error(".control", format!("{at} is not a loopback address"));
        }
        let lease = self.limits.as_ref().map(|limits| limits.lease);
        if let Some(lease) = lease.filter(|lease| lease.0 < MIN_LEASE_PERIODS * self.timer_period.0) {
            let (lease, period) = (lease.0 / 1000, self.timer_period.0 / 1000);
            return error(
                ".limits.lease_ms",
                format!("{lease} is less than {MIN_LEASE_PERIODS} times every_ms, {period}"),
            );
        }
        self.check_order().or_else(|what| error(".rollout.order", what))
    }

    fn check_delivery(&self, is_member: impl Fn(&String) -> bool) -> Result<(), (String, String)> {
        let Some(delivery) = &self.delivery else { return Ok(()) };
        if !is_name(&delivery.log) {
            let what = format!("'{}' is not a name of 1 to {MAX_NAME_CHARS} characters", delivery.log);
            return Err(("log".into(), what));
        }
        if delivery.carriers.is_empty() {
            return Err(("carriers".into(), "expected at least one member".into()));
        }
        let mut listed = BTreeSet::new();
        for (place, name) in delivery.carriers.iter().enumerate() {
            if !is_member(name) {
                return Err((format!("carriers[{place}]"), format!("'{name}' is not one of the members")));
            }
            if !listed.insert(name) {
                return Err((format!("carriers[{place}]"), format!("'{name}' is listed twice")));
            }
        }
        Ok(())
    }

    /// Checks that the rollout order lists each location of the members exactly once.
    fn check_order(&self) -> Result<(), String> {
        let Some(rollout) = &self.rollout else { return Ok(()) };
        let known: BTreeSet<&String> = self.members.iter().map(|member| &member.location).collect();
        let mut listed = BTreeSet::new();
        for location in &rollout.order {
            if !known.contains(location) {
                return Err(format!("no member is in location '{location}'"));
            }
            if !listed.insert(location) {
                return Err(format!("'{location}' is listed twice"));
            }
        }
        known.difference(&listed).next().map_or(Ok(()), |missing| Err(format!("'{missing}' is missing")))
    }
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_CHARS).contains(&text.chars().count()) && !text.chars().any(char::is_control)
}
