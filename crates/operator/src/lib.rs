//! Loads the operators' file, such as `deploy/operator.jsonnet`: evaluates the Jsonnet and decodes it,
//! rejecting unknown keys. An absent section turns its feature off. Each error is one line with the key's
//! path and what was expected.
#![forbid(unsafe_code)]

pub mod fleet;
pub mod rules;

pub use fleet::Fleet;

use cherrypass::time::Span;
use jrsonnet_evaluator::error::ErrorKind;
use jrsonnet_evaluator::trace::PathResolver;
use jrsonnet_evaluator::{FileImportResolver, State};
use jrsonnet_stdlib::ContextInitializer;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("cannot read the operators' file {0}: {1}; name a file that exists and is readable, or none")]
    Unreadable(String, std::io::Error),
    #[error("cannot evaluate the operators' file {0}: {1}")]
    EvaluationFailed(String, String),
    #[error("the operators' file {file}: {path}: {what}")]
    Invalid { file: String, path: String, what: String },
}

/// The decoded operators' file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// Durable storage; absent: nothing is kept on disk.
    #[serde(default)]
    pub store: Option<Store>,
    /// Cooperation with other dispatchers; absent: this dispatcher works alone.
    #[serde(default)]
    pub fleet: Option<Fleet>,
}

/// The section `store`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// The store's folder, created if missing.
    pub dir: PathBuf,
    /// How a hand-off that must not run twice is recorded before its first byte is sent.
    #[serde(default)]
    pub hand_offs: HandOffDurability,
    /// Whether such a hand-off is sent while the store rejects records.
    #[serde(default)]
    pub without_record: WithoutRecord,
    /// How a start treats copies when the store can't tell which purges there were.
    #[serde(default)]
    pub unknown_purges: UnknownPurges,
    /// How long visits that may have run are remembered; must exceed the time in which clients retry.
    #[serde(
        rename = "remember_visits_s",
        deserialize_with = "visit_retention",
        default = "default_visit_retention"
    )]
    pub visit_retention: Span,
    /// How many configurations are kept.
    #[serde(
        rename = "configurations",
        deserialize_with = "max_configurations",
        default = "default_max_configurations"
    )]
    pub max_configurations: usize,
    /// Size of a log segment in kilobytes.
    #[serde(deserialize_with = "segment_kb", default = "default_segment_kb")]
    pub segment_kb: u64,
    #[serde(default)]
    pub background: Background,
}

impl Store {
    /// The defaults, with the given folder.
    pub fn in_folder(dir: PathBuf) -> Store {
        Store {
            dir,
            hand_offs: HandOffDurability::default(),
            without_record: WithoutRecord::default(),
            unknown_purges: UnknownPurges::default(),
            visit_retention: default_visit_retention(),
            max_configurations: default_max_configurations(),
            segment_kb: default_segment_kb(),
            background: Background::default(),
        }
    }
}

/// Durability of the records of hand-offs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandOffDurability {
    /// Nothing is recorded.
    Off,
    /// Records survive a crash of the process.
    #[default]
    Written,
    /// Records survive a crash of the machine.
    Synced,
}

/// Whether hand-offs are sent while the store rejects their records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WithoutRecord {
    /// They are not sent.
    #[default]
    HoldBack,
    /// They are sent without a record.
    #[serde(rename = "go-on")]
    Send,
}

/// How copies are treated at a start while the earlier purges are unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownPurges {
    /// Copies are served; the change log is relied on to repeat the purges.
    #[default]
    Trust,
    /// Every copy counts as purged at the start.
    Distrust,
}

/// Budgets of background work for the disk and the CPU.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Background {
    #[serde(deserialize_with = "bytes_per_s")]
    pub bytes_per_s: f64,
    #[serde(deserialize_with = "core_share")]
    pub core_share: f64,
}

impl Default for Background {
    fn default() -> Background {
        Background { bytes_per_s: 8e6, core_share: 0.05 }
    }
}

fn default_visit_retention() -> Span {
    Span::seconds(86_400.0)
}

fn default_max_configurations() -> usize {
    16
}

fn default_segment_kb() -> u64 {
    8192
}

/// Deserializes a number and checks its bounds.
fn within<'de, D: Deserializer<'de>>(from: D, min: f64, max: f64) -> Result<f64, D::Error> {
    let found = f64::deserialize(from)?;
    if (min..=max).contains(&found) {
        Ok(found)
    } else {
        Err(serde::de::Error::custom(format!("{found} is not within {min} and {max}")))
    }
}

fn visit_retention<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    within(from, 1.0, 31.0 * 86_400.0).map(Span::seconds)
}

fn max_configurations<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    within(from, 1.0, 1000.0).map(|found| found as usize)
}

fn segment_kb<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    within(from, 4.0, 1_048_576.0).map(|found| found as u64)
}

fn bytes_per_s<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 1e4, 1e10)
}

fn core_share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.001, 1.0)
}

/// Evaluates the file to a JSON value; imports are resolved relative to its folder.
pub fn evaluate(path: &Path) -> Result<Value, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Error::Unreadable(file.clone(), error))?;
    let mut builder = State::builder();
    let folder = path.parent().map(Path::to_path_buf).unwrap_or_default();
    builder.import_resolver(FileImportResolver::new(vec![folder]));
    builder.context_initializer(ContextInitializer::new(PathResolver::FileName));
    let state = builder.build();
    let _entered = state.enter();
    let failed = |error: jrsonnet_evaluator::Error| {
        let message = error.error().to_string().replace('\n', " ");
        let place = match error.error() {
            ErrorKind::ImportSyntaxError { error, .. } => Some(error.location.clone()),
            _ => error.trace().0.iter().find_map(|place| place.location.clone()),
        };
        let place = place.map(|at| at.0.map_source_locations(&[at.1])[0]);
        let message = place.map_or(message.clone(), |at| format!("line {}: {message}", at.line));
        Error::EvaluationFailed(file.clone(), message)
    };
    let value = state.evaluate_snippet(&file[..], &text[..]).map_err(failed)?;
    serde_json::to_value(&value)
        .map_err(|error| Error::EvaluationFailed(file.clone(), error.to_string().replace('\n', " ")))
}

/// Decodes an evaluated file and checks it; `file` is its name for error messages.
pub fn decode(file: &str, value: Value) -> Result<OperatorFile, Error> {
    let invalid = |(path, what)| Error::Invalid { file: file.to_owned(), path, what };
    let operator: OperatorFile = serde_path_to_error::deserialize(value)
        .map_err(|error| invalid((error.path().to_string(), error.into_inner().to_string())))?;
    operator.fleet.as_ref().map_or(Ok(()), Fleet::check).map_err(invalid)?;
    Ok(operator)
}

/// Evaluates, decodes and checks the operators' file.
pub fn load(path: &Path) -> Result<OperatorFile, Error> {
    decode(&path.display().to_string(), evaluate(path)?)
}
