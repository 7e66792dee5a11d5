//! Rules: the part of the section `fleet` that can change at run time, rolled out in stages. A rules document
//! has the structure of the operators' file; what it leaves out is taken from that file.
use crate::fleet::{count, limit, AfterHalt, Fleet, Rollout};
use crate::within;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// Why a document is rejected: the key's path, and what was expected.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {what}; correct the document and start it with a new number")]
pub struct Error {
    pub path: String,
    pub what: String,
}

impl Error {
    /// Stable identifier of the error for operators' tools.
    pub fn code(&self) -> &'static str {
        "rules-unusable"
    }
}

/// The decoded rules.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub fleet: FleetRules,
}

/// Rules for the section `fleet`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetRules {
    pub limits: LimitRules,
    pub verdicts: VerdictRules,
}

/// Fleet-wide limits that replace those of the file. Each dispatcher's share scales in proportion, so while
/// only some dispatchers have the new rules the sum stays within the greater of the old and new limits.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitRules {
    #[serde(deserialize_with = "limit")]
    pub origin: Option<f64>,
    #[serde(rename = "further_per_s", deserialize_with = "limit")]
    pub retries_per_s: Option<f64>,
}

/// Rules on the use of other dispatchers' findings about hosts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VerdictRules {
    /// Whether findings of other dispatchers are passed to the decision module.
    #[serde(rename = "heed")]
    pub uses_findings: bool,
    /// How many dispatchers must report the same finding. With 1 here and 0 in `part` a single report
    /// suffices.
    #[serde(rename = "tellers", deserialize_with = "min_reporters")]
    pub min_reporters: Option<u32>,
    /// Which fraction of the own location's dispatchers must report it.
    #[serde(rename = "part", deserialize_with = "min_reporting_fraction")]
    pub min_reporting_fraction: Option<f64>,
}

fn min_reporters<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u32>, D::Error> {
    count::<D, 1, 64>(from).map(Some)
}

fn min_reporting_fraction<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 0.0, 1.0).map(Some)
}

impl Default for VerdictRules {
    fn default() -> VerdictRules {
        VerdictRules { uses_findings: true, min_reporters: None, min_reporting_fraction: None }
    }
}

/// The document that `cherrypass rollout start` reads: rules with a new number, and the plan of their
/// rollout.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub number: u64,
    pub rules: Value,
    /// Keys that it leaves out are taken from the file's section `rollout`.
    #[serde(default)]
    pub plan: Plan,
}

/// The plan of one rollout; see [`Rollout`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    pub order: Option<Vec<String>>,
    #[serde(rename = "first", deserialize_with = "first_stage_fraction")]
    pub first_stage_fraction: Option<f64>,
    #[serde(rename = "hold_s", deserialize_with = "min_stage_seconds")]
    pub min_stage_seconds: Option<f64>,
    #[serde(rename = "visits", deserialize_with = "min_stage_visits")]
    pub min_stage_visits: Option<u32>,
    #[serde(rename = "back_after_halt")]
    pub reverts_after_halt: Option<bool>,
}

fn first_stage_fraction<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 0.001, 1.0).map(Some)
}

fn min_stage_seconds<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 1.0, 7.0 * 86_400.0).map(Some)
}

fn min_stage_visits<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u32>, D::Error> {
    count::<D, 1, 1_000_000_000>(from).map(Some)
}

impl Plan {
    /// Completes the plan with the file's section `rollout`.
    pub fn with_defaults(self, file: Option<&Rollout>) -> Result<Rollout, Error> {
        let defaults = file.cloned().unwrap_or_default();
        let after_halt = match self.reverts_after_halt {
            Some(true) => AfterHalt::Revert,
            Some(false) => AfterHalt::Keep,
            None => defaults.after_halt,
        };
        let order = self.order.unwrap_or(defaults.order);
        if order.is_empty() {
            let what = "expected the locations in the order of the rollout".to_owned();
            return Err(Error { path: "plan.order".to_owned(), what });
        }
        let first_stage_fraction = self.first_stage_fraction.unwrap_or(defaults.first_stage_fraction);
        let min_stage_visits = self.min_stage_visits.unwrap_or(defaults.min_stage_visits);
        let min_stage_seconds =
            self.min_stage_seconds.map_or(defaults.min_stage_seconds, |seconds| seconds.ceil() as u32);
        Ok(Rollout {
            order,
            first_stage_fraction,
            min_stage_seconds,
            min_stage_visits,
            after_halt,
            ..defaults
        })
    }
}

fn deserialize<'de, T: Deserialize<'de>, D: Deserializer<'de>>(from: D) -> Result<T, Error>
where
    D::Error: std::fmt::Display,
{
    serde_path_to_error::deserialize(from).map_err(|error| {
        let (path, what) = (error.path().to_string(), error.into_inner().to_string());
        Error { path, what: what.replace('\n', " ") }
    })
}

/// Decodes an evaluated document and checks its rules against the file's section `fleet` if that is known.
pub fn decode_document(value: Value, file: Option<&Fleet>) -> Result<Document, Error> {
    let document: Document = deserialize(value)?;
    let rules = deserialize(&document.rules)
        .and_then(|rules| file.map_or(Ok(()), |file| check_against(&rules, file)));
    match rules {
        Ok(()) => Ok(document),
        Err(error) => Err(Error { path: format!("rules.{}", error.path), ..error }),
    }
}

/// Decodes the JSON of rules and checks them against the file's section `fleet`.
pub fn decode(text: &str, file: &Fleet) -> Result<Rules, Error> {
    let rules: Rules = deserialize(&mut serde_json::Deserializer::from_str(text))?;
    check_against(&rules, file).map(|()| rules)
}

fn check_against(rules: &Rules, file: &Fleet) -> Result<(), Error> {
    let configured = file.limits.as_ref();
    let limits = [
        ("origin", rules.fleet.limits.origin, configured.and_then(|limits| limits.origin)),
        (
            "further_per_s",
            rules.fleet.limits.retries_per_s,
            configured.and_then(|limits| limits.retries_per_s),
        ),
    ];
    let verdicts = &rules.fleet.verdicts;
    if file.verdicts.is_none() && *verdicts != VerdictRules::default() {
        let what = "the operators' file does not enable verdicts".to_owned();
        return Err(Error { path: "fleet.verdicts".to_owned(), what });
    }
    match limits.into_iter().find(|(_, new, old)| new.is_some() && old.is_none()) {
        Some((key, ..)) => {
            let what = "the operators' file sets no such limit".to_owned();
            Err(Error { path: format!("fleet.limits.{key}"), what })
        }
        None => Ok(()),
    }
}
