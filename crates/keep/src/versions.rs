//! History of the configurations that were in force, oldest first.
use crate::records::{decode, encode, Record};
use cherrypass::time::UnixTime;
use serde::{Deserialize, Serialize};

/// The store space that holds configurations.
pub const SPACE: &str = "configurations";

/// A valid configuration and the period in which it was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    pub number: u64,
    /// Path of the file that it was read from.
    pub source: String,
    /// When it came into force, in microseconds of Unix time.
    pub in_force_since: u64,
    /// When another configuration replaced it, in microseconds of Unix time.
    pub in_force_until: Option<u64>,
    pub text: Vec<u8>,
}

/// Decodes the stored versions; skips values that can't be decoded.
pub fn decode_all<'a>(values: impl Iterator<Item = &'a [u8]>) -> Vec<Version> {
    values.filter_map(decode::<Version>).collect()
}

/// The records to write when a configuration comes into force: ends the previous version, adds the new one
/// and deletes the oldest beyond `max_versions`. Empty if the newest stored version has the same text and
/// source.
pub fn activation_records(
    versions: &[Version],
    source: &str,
    text: &[u8],
    now: UnixTime,
    max_versions: usize,
) -> Vec<Record> {
    let last = versions.last();
    if last.is_some_and(|last| last.text == text && last.source == source) {
        return Vec::new();
    }
    let key = |number: u64| number.to_be_bytes().to_vec();
    let put = |version: &Version| Record {
        space: SPACE,
        key: key(version.number),
        value: Some(encode(version)),
        expires_at: None,
    };
    let ended = last.map(|last| put(&Version { in_force_until: Some(now.0), ..last.clone() }));
    let (number, source) = (last.map_or(1, |last| last.number + 1), source.to_owned());
    let new =
        put(&Version { number, source, in_force_since: now.0, in_force_until: None, text: text.to_vec() });
    let excess = (versions.len() + 1).saturating_sub(max_versions.max(1));
    let oldest = versions.iter().take(excess);
    let deleted =
        oldest.map(|old| Record { space: SPACE, key: key(old.number), value: None, expires_at: None });
    ended.into_iter().chain([new]).chain(deleted).collect()
}
