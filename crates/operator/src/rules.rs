//! Rules: what of the section `fleet` may change while dispatchers serve, rolled out in stages. A document in the
//! file's own form; what it leaves out is as the file says.
use crate::fleet::{count, whole, AfterHalt, Fleet, Rollout};
use crate::within;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// Why a document can't be taken: the key's path, and what was expected.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {what}; correct the document and start it under a new number")]
pub struct Error {
    pub path: String,
    pub what: String,
}

impl Error {
    pub fn code(&self) -> &'static str {
        "rules-unusable"
    }
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub fleet: FleetRules,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetRules {
    pub limits: LimitRules,
    pub verdicts: VerdictRules,
}

/// Wholes in place of the file's. Each dispatcher's part changes in proportion, so that with some under old and
/// some under new rules the sum holds to the greater.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitRules {
    #[serde(deserialize_with = "whole")]
    pub origin: Option<f64>,
    #[serde(deserialize_with = "whole")]
    pub further_per_s: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VerdictRules {
    /// Whether what others found out about hosts reaches the module.
    pub heed: bool,
    /// How many must say the same, and which part of the own location's dispatchers; one and none trust blindly.
    #[serde(deserialize_with = "tellers")]
    pub tellers: Option<u32>,
    #[serde(deserialize_with = "part")]
    pub part: Option<f64>,
}

fn tellers<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u32>, D::Error> {
    count::<D, 1, 64>(from).map(Some)
}

fn part<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 0.0, 1.0).map(Some)
}

impl Default for VerdictRules {
    fn default() -> VerdictRules {
        VerdictRules { heed: true, tellers: None, part: None }
    }
}

/// What `cherrypass rollout start` reads: rules under a number that none had before, and the plan of their way.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub number: u64,
    pub rules: Value,
    /// What it leaves out is as the file's section `rollout` says.
    #[serde(default)]
    pub plan: Plan,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    pub order: Option<Vec<String>>,
    #[serde(deserialize_with = "first")]
    pub first: Option<f64>,
    #[serde(rename = "hold_s", deserialize_with = "hold")]
    pub hold: Option<f64>,
    #[serde(deserialize_with = "visits")]
    pub visits: Option<u32>,
    pub back_after_halt: Option<bool>,
}

fn first<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 0.001, 1.0).map(Some)
}

fn hold<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 1.0, 7.0 * 86_400.0).map(Some)
}

fn visits<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u32>, D::Error> {
    count::<D, 1, 1_000_000_000>(from).map(Some)
}

impl Plan {
    /// With what the file says of all rollouts where this one's plan says nothing.
    pub fn over(self, file: Option<&Rollout>) -> Result<Rollout, Error> {
        let usual = file.cloned().unwrap_or_default();
        let after_halt = match self.back_after_halt {
            Some(true) => AfterHalt::Back,
            Some(false) => AfterHalt::Stay,
            None => usual.after_halt,
        };
        let order = self.order.unwrap_or(usual.order);
        if order.is_empty() {
            let what = "the locations in their order are expected".to_owned();
            return Err(Error { path: "plan.order".to_owned(), what });
        }
        let (first, visits) = (self.first.unwrap_or(usual.first), self.visits.unwrap_or(usual.visits));
        let hold = self.hold.map_or(usual.hold, |hold| hold.ceil() as u32);
        Ok(Rollout { order, first, hold, visits, after_halt, ..usual })
    }
}

fn read<'de, T: Deserialize<'de>, D: Deserializer<'de>>(from: D) -> Result<T, Error>
where
    D::Error: std::fmt::Display,
{
    serde_path_to_error::deserialize(from).map_err(|error| {
        let (path, what) = (error.path().to_string(), error.into_inner().to_string());
        Error { path, what: what.replace('\n', " ") }
    })
}

/// The document as it came out of its evaluation, and its rules held against the file's section where that is known.
pub fn document(value: Value, file: Option<&Fleet>) -> Result<Document, Error> {
    let document: Document = read(value)?;
    let rules = read(&document.rules).and_then(|rules| file.map_or(Ok(()), |file| against(&rules, file)));
    match rules {
        Ok(()) => Ok(document),
        Err(error) => Err(Error { path: format!("rules.{}", error.path), ..error }),
    }
}

/// Reads a document's JSON and holds it against the file's section.
pub fn decode(text: &str, file: &Fleet) -> Result<Rules, Error> {
    let rules: Rules = read(&mut serde_json::Deserializer::from_str(text))?;
    against(&rules, file).map(|()| rules)
}

fn against(rules: &Rules, file: &Fleet) -> Result<(), Error> {
    let told = file.limits.as_ref();
    let limits = [
        ("origin", rules.fleet.limits.origin, told.and_then(|limits| limits.origin)),
        ("further_per_s", rules.fleet.limits.further_per_s, told.and_then(|limits| limits.further_per_s)),
    ];
    let verdicts = &rules.fleet.verdicts;
    if file.verdicts.is_none() && *verdicts != VerdictRules::default() {
        let what = "the operators' file has verdicts off".to_owned();
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
