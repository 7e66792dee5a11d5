//! Rules: what of the section `fleet` may change while dispatchers serve, rolled out in stages. A document in the
//! file's own form; what it leaves out is as the file says.
use crate::fleet::{whole, Fleet};
use serde::Deserialize;

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
}

impl Default for VerdictRules {
    fn default() -> VerdictRules {
        VerdictRules { heed: true }
    }
}

/// Reads a document's JSON and holds it against the file's section.
pub fn decode(text: &str, file: &Fleet) -> Result<Rules, Error> {
    let from = &mut serde_json::Deserializer::from_str(text);
    let rules: Rules = serde_path_to_error::deserialize(from).map_err(|error| {
        let (path, what) = (error.path().to_string(), error.into_inner().to_string());
        Error { path, what: what.replace('\n', " ") }
    })?;
    let told = file.limits.as_ref();
    let limits = [
        ("origin", rules.fleet.limits.origin, told.and_then(|limits| limits.origin)),
        ("further_per_s", rules.fleet.limits.further_per_s, told.and_then(|limits| limits.further_per_s)),
    ];
    match limits.into_iter().find(|(_, new, old)| new.is_some() && old.is_none()) {
        Some((key, ..)) => {
            let what = "the operators' file sets no such limit".to_owned();
            Err(Error { path: format!("fleet.limits.{key}"), what })
        }
        None => Ok(rules),
    }
}
