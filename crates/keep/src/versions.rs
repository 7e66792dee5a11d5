//! Configurations that were in force, the newest last.
use crate::records::{bytes, read, Record};
use cherrypass::time::UnixTime;
use serde::{Deserialize, Serialize};

pub const SPACE: &str = "configurations";

/// One that was good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    pub number: u64,
    /// The file it came from.
    pub source: String,
    /// When it came into force, in microseconds of Unix time.
    pub since: u64,
    /// When another did.
    pub until: Option<u64>,
    pub text: Vec<u8>,
}

/// Those that are kept, as read; what can't be read is none.
pub fn known<'a>(values: impl Iterator<Item = &'a [u8]>) -> Vec<Version> {
    values.filter_map(read::<Version>).collect()
}

/// What changes as a text comes into force: the one before ends, and the oldest go past so many. Nothing where it is
/// the one in force.
pub fn in_force(known: &[Version], source: &str, text: &[u8], now: UnixTime, most: usize) -> Vec<Record> {
    let last = known.last();
    if last.is_some_and(|last| last.text == text && last.source == source) {
        return Vec::new();
    }
    let key = |number: u64| number.to_be_bytes().to_vec();
    let put = |version: &Version| Record {
        space: SPACE,
        key: key(version.number),
        value: Some(bytes(version)),
        until: None,
    };
    let ended = last.map(|last| put(&Version { until: Some(now.0), ..last.clone() }));
    let (number, source) = (last.map_or(1, |last| last.number + 1), source.to_owned());
    let new = put(&Version { number, source, since: now.0, until: None, text: text.to_vec() });
    let spare = (known.len() + 1).saturating_sub(most.max(1));
    let gone = known.iter().take(spare);
    let gone = gone.map(|old| Record { space: SPACE, key: key(old.number), value: None, until: None });
    ended.into_iter().chain([new]).chain(gone).collect()
}
