//! Decoding of the change log's changes: sequence numbers, contents and errors.
use crate::config::WireNames;
use crate::inbox::{Change, ListedHost};
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::*;
use cherrypass::time::UnixTime;
use cherrypass_keep::purges::Purge;
use serde_json::Value;
use std::io;

/// Why following the change log, or decoding a change, failed.
#[derive(Debug, thiserror::Error)]
pub enum ChangeLogError {
    #[error("no connection: {0}")]
    Unreachable(io::Error),
    #[error("connection timed out or closed: {0}")]
    Interrupted(#[from] io::Error),
    #[error("its address has changed")]
    AddressChanged,
    #[error("the router has stopped")]
    RouterStopped,
    #[error("unexpected HTTP response: {0}")]
    InvalidResponse(&'static str),
    #[error("not JSON")]
    NotJson,
    #[error("its JSON is nested too deep")]
    TooDeep,
    #[error("change {0} has over {1} bytes")]
    ChangeTooLong(u64, usize),
    #[error("change {0}: invalid {}{}", .1 .0, .1.entry())]
    InvalidChange(u64, InvalidKey),
    #[error("change {0} follows change {1}, changes between them are missing")]
    Gap(u64, u64),
}

/// An invalid key of a change, and the index of its entry in a list of hosts.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidKey(pub &'static str, pub Option<usize>);

impl InvalidKey {
    fn entry(&self) -> String {
        self.1.map(|index| format!(" (servers/{index})")).unwrap_or_default()
    }
}

impl From<&'static str> for InvalidKey {
    fn from(key: &'static str) -> InvalidKey {
        InvalidKey(key, None)
    }
}

/// The id of a host, a hash of its name (FNV-1a) that is the same in all dispatchers.
pub fn host_id(name: &str) -> HostId {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    HostId(name.bytes().fold(0xcbf2_9ce4_8422_2325, mix))
}

/// Decodes the changes of one answer in order, and only those after the last decoded one.
pub(crate) struct ChangeDecoder<'a> {
    names: &'a WireNames,
    last: &'a mut u64,
    /// The number of the preceding change in the answer.
    previous: u64,
    /// A change that failed to decode before. Its invalid entries are skipped, so that it can't block all
    /// later changes.
    known_invalid: Option<u64>,
    /// The first change in the answer that had been decoded before.
    first_repeated: Option<u64>,
}

impl<'a> ChangeDecoder<'a> {
    pub(crate) fn new(
        names: &'a WireNames,
        last: &'a mut u64,
        known_invalid: Option<u64>,
    ) -> ChangeDecoder<'a> {
        ChangeDecoder { names, previous: *last, last, known_invalid, first_repeated: None }
    }

    /// The number of the last decoded change.
    pub(crate) fn last(&self) -> u64 {
        *self.last
    }

    /// The number of the first change that had been decoded before.
    pub(crate) fn first_repeated(&self) -> Option<u64> {
        self.first_repeated
    }

    /// Decodes the next change; None if it is a repeat or of an unknown kind.
    pub(crate) fn decode(&mut self, result: &Value) -> Result<Option<Change>, ChangeLogError> {
        let seq = result.get("seq").and_then(Value::as_u64);
        // Numbers increase by one, so a missing one follows from the preceding change.
        let number = seq.unwrap_or(self.previous + 1);
        self.previous = number;
        if number <= *self.last {
            self.first_repeated.get_or_insert(number);
            return Ok(None);
        }
        if number > *self.last + 1 {
            return Err(ChangeLogError::Gap(number, *self.last));
        }
        let skips_invalid = self.known_invalid == Some(number);
        if skips_invalid {
            tracing::warn!(change = number, "change {number}: invalid entries are skipped");
        } else if seq.is_none() {
            return Err(ChangeLogError::InvalidChange(number, "sequence number".into()));
        }
        let change = match decode_change(result, self.names, number, skips_invalid) {
            Err(what) if !skips_invalid => return Err(ChangeLogError::InvalidChange(number, what)),
            change => change.unwrap_or(None),
        };
        *self.last = number;
        Ok(change)
    }
}

/// Decodes the changes of an answer after the `last` one; returns them with the error at which decoding
/// stopped.
pub fn decode(
    answer: &Value,
    names: &WireNames,
    last: &mut u64,
    known_invalid: Option<u64>,
) -> (Vec<Change>, Option<ChangeLogError>) {
    let mut changes = Vec::new();
    let Some(results) = answer.get("results").and_then(Value::as_array) else {
        return (changes, Some(ChangeLogError::NotJson));
    };
    let mut decoder = ChangeDecoder::new(names, last, known_invalid);
    for result in results {
        match decoder.decode(result) {
            Ok(change) => changes.extend(change),
            Err(fault) => return (changes, Some(fault)),
        }
    }
    if let Some(number) = decoder.first_repeated {
        tracing::warn!("known changes: change {number} is repeated and ignored");
    }
    (changes, None)
}

fn decode_change(
    result: &Value,
    names: &WireNames,
    number: u64,
    skips_invalid: bool,
) -> Result<Option<Change>, InvalidKey> {
    if let Some(fleet) = result.get("fleet") {
        let servers = fleet.get("servers").and_then(Value::as_array).ok_or("servers")?;
        let hosts = servers
            .iter()
            .enumerate()
            .map(|(index, entry)| decode_host(entry, names).map_err(|key| InvalidKey(key, Some(index))))
            .filter(|host| !skips_invalid || host.is_ok());
        let hosts = hosts.collect::<Result<Vec<ListedHost>, _>>()?;
        // A host whose entry was skipped must not count as gone.
        let is_complete = hosts.len() == servers.len();
        let is_full = is_complete && fleet.get("full").and_then(Value::as_bool).unwrap_or(false);
        return Ok(Some(Change::HostList { is_complete: is_full, hosts }));
    }
    let Some(purge) = result.get("invalidate") else { return Ok(None) };
    let at = purge.get("time").and_then(Value::as_u64).ok_or("time")?;
    let object = purge.get("object").map(|object| {
        object.as_str().and_then(|hex| u64::from_str_radix(hex, 16).ok()).map(ObjectId).ok_or("object")
    });
    let bucket = purge.get("bucket").and_then(Value::as_u64).map(u32::try_from);
    let bucket = bucket.transpose().map_err(|_| "bucket")?.map(GroupId);
    let (object, group) = (object.transpose()?, bucket.unwrap_or(GroupId(0)));
    if object.is_none() && bucket.is_none() {
        return Err("object or bucket".into());
    }
    Ok(Some(Change::Purge(Purge { group, object, issued_at: UnixTime::millis(at), change_number: number })))
}

fn decode_host(entry: &Value, names: &WireNames) -> Result<ListedHost, &'static str> {
    let text = |key| entry.get(key).and_then(Value::as_str);
    let index = |list: &[String], name: &str| list.iter().position(|listed| listed == name);
    let name = text("id").ok_or("id")?;
    let phase = match text("state").ok_or("state")? {
        "in_service" => Phase::Ready,
        "terminating" => Phase::Draining,
        "terminated" => Phase::Gone,
        _ => return Err("state"),
    };
    let is_gone = phase == Phase::Gone;
    let address = text("addr").and_then(|addr| addr.parse().ok());
    let location = text("zone").and_then(|zone| index(&names.locations, zone));
    let kind = text("kind").and_then(|kind| index(&names.kinds, kind));
    let started = entry.get("started_ms").filter(|value| !value.is_null());
    let started = started.map_or(Some(0), whole_ms).or(is_gone.then_some(0)).ok_or("started_ms")?;
    Ok(ListedHost {
        listing: Listing {
            host: host_id(name),
            location: LocationId(location.or(is_gone.then_some(0)).ok_or("zone")? as u16),
            kind: KindId(kind.or(is_gone.then_some(0)).ok_or("kind")? as u16),
            // A truncated number could merge two cells, and repeats would go to hosts that can't deduplicate
            // them.
            cell: CellId(
                entry.get("cell").and_then(Value::as_u64).unwrap_or(0).try_into().map_err(|_| "cell")?,
            ),
            weight: entry.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
            started_at: None,
            phase,
        },
        started: Some(started).filter(|ms| *ms > 0).map(UnixTime::millis),
        name: name.to_owned(),
        address: Some(address).filter(|address| address.is_some() || is_gone).ok_or("addr")?,
    })
}

/// Reads whole milliseconds, also when written as `1764576000123.0`.
fn whole_ms(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_f64().filter(|ms| *ms >= 0.0).map(|ms| ms as u64))
}
