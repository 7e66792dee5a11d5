//! The operators' own file, `deploy/operator.jsonnet`: evaluated, then decoded by types that know every key. A
//! section that is absent is off. What can't be used is one line with the key's path and what was expected.
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
    #[error("the operators' file {0} can't be read: {1}; name one that is there and may be read, or none")]
    Unread(String, std::io::Error),
    #[error("the operators' file {0} can't be evaluated: {1}")]
    Unevaluated(String, String),
    #[error("the operators' file {file}: {path}: {what}")]
    Unusable { file: String, path: String, what: String },
}

/// All that operators set.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// What must last; absent: nothing is kept on disk.
    #[serde(default)]
    pub store: Option<Store>,
    /// Other dispatchers that this one knows of; absent: it is alone.
    #[serde(default)]
    pub fleet: Option<Fleet>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// The store's folder; made where it is missing.
    pub dir: PathBuf,
    /// What of a hand-off that may not run twice is on disk before its first byte.
    #[serde(default)]
    pub hand_offs: HandOffs,
    /// What becomes of such a hand-off while the store takes no record.
    #[serde(default)]
    pub without_record: WithoutRecord,
    /// What a start makes of copies while the store can't tell which purges there were.
    #[serde(default)]
    pub unknown_purges: UnknownPurges,
    /// For how long it is remembered that a visit may have run; longer than any client asks again for it.
    #[serde(rename = "remember_visits_s", deserialize_with = "seconds", default = "a_day")]
    pub remember_visits: Span,
    /// How many configurations are kept.
    #[serde(deserialize_with = "versions", default = "sixteen")]
    pub configurations: usize,
    #[serde(deserialize_with = "segment", default = "eight_mb")]
    pub segment_kb: u64,
    #[serde(default)]
    pub background: Background,
}

impl Store {
    /// All as it is where nothing but the folder is set.
    pub fn in_folder(dir: PathBuf) -> Store {
        Store {
            dir,
            hand_offs: HandOffs::default(),
            without_record: WithoutRecord::default(),
            unknown_purges: UnknownPurges::default(),
            remember_visits: a_day(),
            configurations: sixteen(),
            segment_kb: eight_mb(),
            background: Background::default(),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandOffs {
    /// Nothing is recorded.
    Off,
    /// Outlasts the process.
    #[default]
    Written,
    /// Outlasts the machine.
    Synced,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WithoutRecord {
    /// It doesn't go out.
    #[default]
    HoldBack,
    /// It goes out all the same.
    GoOn,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownPurges {
    /// The change log will tell.
    #[default]
    Trust,
    /// Everything counts as purged at the start.
    Distrust,
}

/// What background work may use of disk and core.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Background {
    #[serde(deserialize_with = "rate")]
    pub bytes_per_s: f64,
    #[serde(deserialize_with = "share")]
    pub core_share: f64,
}

impl Default for Background {
    fn default() -> Background {
        Background { bytes_per_s: 8e6, core_share: 0.05 }
    }
}

fn a_day() -> Span {
    Span::seconds(86_400.0)
}

fn sixteen() -> usize {
    16
}

fn eight_mb() -> u64 {
    8192
}

/// A number within bounds; else what was expected.
fn within<'de, D: Deserializer<'de>>(from: D, least: f64, most: f64) -> Result<f64, D::Error> {
    let found = f64::deserialize(from)?;
    let expected = || format!("{found} is not within {least} and {most}");
    if (least..=most).contains(&found) {
        Ok(found)
    } else {
        Err(serde::de::Error::custom(expected()))
    }
}

fn seconds<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    within(from, 1.0, 31.0 * 86_400.0).map(Span::seconds)
}

fn versions<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    within(from, 1.0, 1000.0).map(|found| found as usize)
}

fn segment<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    within(from, 4.0, 1_048_576.0).map(|found| found as u64)
}

fn rate<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 1e4, 1e10)
}

fn share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.001, 1.0)
}

/// What the file comes to once evaluated; imports are looked for beside it.
pub fn evaluate(path: &Path) -> Result<Value, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Error::Unread(file.clone(), error))?;
    let mut builder = State::builder();
    let beside = path.parent().map(Path::to_path_buf).unwrap_or_default();
    builder.import_resolver(FileImportResolver::new(vec![beside]));
    builder.context_initializer(ContextInitializer::new(PathResolver::FileName));
    let state = builder.build();
    let _entered = state.enter();
    let bad = |error: jrsonnet_evaluator::Error| {
        let said = error.error().to_string().replace('\n', " ");
        let place = match error.error() {
            ErrorKind::ImportSyntaxError { error, .. } => Some(error.location.clone()),
            _ => error.trace().0.iter().find_map(|place| place.location.clone()),
        };
        let place = place.map(|at| at.0.map_source_locations(&[at.1])[0]);
        let said = place.map_or(said.clone(), |at| format!("line {}: {said}", at.line));
        Error::Unevaluated(file.clone(), said)
    };
    let found = state.evaluate_snippet(&file[..], &text[..]).map_err(bad)?;
    serde_json::to_value(&found)
        .map_err(|error| Error::Unevaluated(file.clone(), error.to_string().replace('\n', " ")))
}

pub fn decode(file: &str, value: Value) -> Result<Operator, Error> {
    let bad = |(path, what)| Error::Unusable { file: file.to_owned(), path, what };
    let operator: Operator = serde_path_to_error::deserialize(value)
        .map_err(|error| bad((error.path().to_string(), error.into_inner().to_string())))?;
    operator.fleet.as_ref().map_or(Ok(()), Fleet::check).map_err(bad)?;
    Ok(operator)
}

pub fn load(path: &Path) -> Result<Operator, Error> {
    decode(&path.display().to_string(), evaluate(path)?)
}
