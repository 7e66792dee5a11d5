//! The change log's changes as values: their numbers, what they say, and what can't be used of them.
use crate::config::Names;
use crate::inbox::{Change, Listed};
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::*;
use cherrypass::time::UnixTime;
use cherrypass_keep::purges::Purge;
use serde_json::Value;
use std::io;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("no connection: {0}")]
    Unreachable(io::Error),
    #[error("silent or cut: {0}")]
    Cut(#[from] io::Error),
    #[error("it has moved")]
    Moved,
    #[error("nobody listens any more")]
    Over,
    #[error("not HTTP as expected: {0}")]
    NotHttp(&'static str),
    #[error("not JSON")]
    NotJson,
    #[error("its JSON goes too deep")]
    TooDeep,
    #[error("change {0} has over {1} bytes")]
    TooLong(u64, usize),
    #[error("change {0}: {} can't be used{}", .1 .0, .1.entry())]
    Unusable(u64, Unfit),
    #[error("change {0} follows on {1}")]
    Gap(u64, u64),
}

/// The key that can't be used, and the place of its entry in a list.
#[derive(Debug, PartialEq, Eq)]
pub struct Unfit(pub &'static str, pub Option<usize>);

impl Unfit {
    fn entry(&self) -> String {
        self.1.map(|place| format!(" (servers/{place})")).unwrap_or_default()
    }
}

impl From<&'static str> for Unfit {
    fn from(key: &'static str) -> Unfit {
        Unfit(key, None)
    }
}

/// The id of a host by its name in the list, which is the same for all dispatchers (FNV-1a).
pub fn host_id(name: &str) -> HostId {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    HostId(name.bytes().fold(0xcbf2_9ce4_8422_2325, mix))
}

/// Takes the changes of one answer in their order, those alone that come after the last one taken.
pub(crate) struct Taking<'a> {
    names: &'a Names,
    last: &'a mut u64,
    /// The number of the change before.
    place: u64,
    /// The one that could not be used before: of it only what can be is taken. Guards against one that holds
    /// up all after it.
    unusable: Option<u64>,
    /// The first that had been taken before.
    repeated: Option<u64>,
}

impl<'a> Taking<'a> {
    pub(crate) fn new(names: &'a Names, last: &'a mut u64, unusable: Option<u64>) -> Taking<'a> {
        Taking { names, place: *last, last, unusable, repeated: None }
    }

    /// The last change that was taken.
    pub(crate) fn last(&self) -> u64 {
        *self.last
    }

    /// The first that came though it had been taken before.
    pub(crate) fn repeated(&self) -> Option<u64> {
        self.repeated
    }

    pub(crate) fn take(&mut self, result: &Value) -> Result<Option<Change>, Fault> {
        let told = result.get("seq").and_then(Value::as_u64);
        // Numbers go up by one, so a change without one has that of its place.
        let number = told.unwrap_or(self.place + 1);
        self.place = number;
        // A repeat is no news, and nothing past a gap is taken before what is missing.
        if number <= *self.last {
            self.repeated.get_or_insert(number);
            return Ok(None);
        }
        if number > *self.last + 1 {
            return Err(Fault::Gap(number, *self.last));
        }
        let partly = self.unusable == Some(number);
        if partly {
            tracing::warn!(change = number, "change {number} is passed over in part");
        } else if told.is_none() {
            return Err(Fault::Unusable(number, "its number".into()));
        }
        let found = match change(result, self.names, number, partly) {
            Err(what) if !partly => return Err(Fault::Unusable(number, what)),
            found => found.unwrap_or(None),
        };
        *self.last = number;
        Ok(found)
    }
}

/// The changes of an answer that come after the last one taken, and the fault that ended the reading.
pub fn decode(
    answer: &Value,
    names: &Names,
    last: &mut u64,
    unusable: Option<u64>,
) -> (Vec<Change>, Option<Fault>) {
    let mut changes = Vec::new();
    let Some(results) = answer.get("results").and_then(Value::as_array) else {
        return (changes, Some(Fault::NotJson));
    };
    let mut taking = Taking::new(names, last, unusable);
    for result in results {
        match taking.take(result) {
            Ok(change) => changes.extend(change),
            Err(fault) => return (changes, Some(fault)),
        }
    }
    if let Some(number) = taking.repeated {
        tracing::warn!("known changes: change {number} comes again, and is passed over");
    }
    (changes, None)
}

fn change(result: &Value, names: &Names, number: u64, partly: bool) -> Result<Option<Change>, Unfit> {
    if let Some(fleet) = result.get("fleet") {
        let servers = fleet.get("servers").and_then(Value::as_array).ok_or("servers")?;
        let hosts = servers
            .iter()
            .enumerate()
            .map(|(place, entry)| listed(entry, names).map_err(|key| Unfit(key, Some(place))))
            .filter(|host| !partly || host.is_ok());
        let hosts = hosts.collect::<Result<Vec<Listed>, _>>()?;
        // Whoever can't be read is not gone for that.
        let all = hosts.len() == servers.len();
        let whole = all && fleet.get("full").and_then(Value::as_bool).unwrap_or(false);
        return Ok(Some(Change::List { whole, hosts }));
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
    Ok(Some(Change::Purge(Purge { group, object, at: UnixTime::millis(at), change: number })))
}

fn listed(entry: &Value, names: &Names) -> Result<Listed, &'static str> {
    let text = |key| entry.get(key).and_then(Value::as_str);
    let place = |list: &[String], name: &str| list.iter().position(|known| known == name);
    let name = text("id").ok_or("id")?;
    let phase = match text("state").ok_or("state")? {
        "in_service" => Phase::Ready,
        "terminating" => Phase::Draining,
        "terminated" => Phase::Gone,
        _ => return Err("state"),
    };
    let gone = phase == Phase::Gone;
    let address = text("addr").and_then(|addr| addr.parse().ok());
    let location = text("zone").and_then(|zone| place(&names.locations, zone));
    let kind = text("kind").and_then(|kind| place(&names.kinds, kind));
    let started = entry.get("started_ms").filter(|value| !value.is_null());
    let started = started.map_or(Some(0), whole_ms).or(gone.then_some(0)).ok_or("started_ms")?;
    Ok(Listed {
        listing: Listing {
            host: host_id(name),
            location: LocationId(location.or(gone.then_some(0)).ok_or("zone")? as u16),
            kind: KindId(kind.or(gone.then_some(0)).ok_or("kind")? as u16),
            // Guards against two cells that are taken for one: repeats would go to hosts that don't know of them.
            cell: CellId(
                entry.get("cell").and_then(Value::as_u64).unwrap_or(0).try_into().map_err(|_| "cell")?,
            ),
            weight: entry.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
            since: None,
            phase,
        },
        started: Some(started).filter(|ms| *ms > 0).map(UnixTime::millis),
        name: name.to_owned(),
        address: Some(address).filter(|address| address.is_some() || gone).ok_or("addr")?,
    })
}

/// Also where it is written as `1764576000123.0`.
fn whole_ms(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_f64().filter(|ms| *ms >= 0.0).map(|ms| ms as u64))
}
