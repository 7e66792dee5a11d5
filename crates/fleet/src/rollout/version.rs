//! What is rolled out: numbered versions of the rules with a plan of their stages, and the errors of orders.
use crate::common::MemberId;
use cherrypass::containers::rendezvous;
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::Span;
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Limit of a version's text.
pub const MAX_TEXT_BYTES: usize = 16 * 1024;

/// Encoding of a plan's order in messages and records.
mod order {
    use super::LocationId;
    use serde::{de::Error, Deserialize, Deserializer, Serialize, Serializer};

    /// The prefix of the wide form, in which each location takes two bytes. No order in the narrow form
    /// begins with two equal bytes, since it names each location once.
    const WIDE_PREFIX: [u8; 2] = [0, 0];

    /// One byte per location where all are below 256, as older builds read it; these reject the wide form as
    /// an order that names a location twice.
    pub fn bytes(order: &[LocationId]) -> Vec<u8> {
        let narrow: Option<Vec<u8>> = order.iter().map(|location| u8::try_from(location.0).ok()).collect();
        narrow.filter(|bytes| !is_wide(bytes)).unwrap_or_else(|| {
            let locations = order.iter().flat_map(|location| location.0.to_le_bytes());
            WIDE_PREFIX.into_iter().chain(locations).collect()
        })
    }

    fn is_wide(bytes: &[u8]) -> bool {
        matches!(bytes, [first, second, ..] if first == second)
    }

    pub fn serialize<S: Serializer>(order: &[LocationId], to: S) -> Result<S::Ok, S::Error> {
        bytes(order).serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<LocationId>, D::Error> {
        let bytes = Vec::<u8>::deserialize(from)?;
        if !is_wide(&bytes) {
            return Ok(bytes.into_iter().map(|location| LocationId(location.into())).collect());
        }
        let locations = bytes[WIDE_PREFIX.len()..].chunks(2).map(|location| match location {
            [low, high] => Ok(LocationId(u16::from_le_bytes([*low, *high]))),
            _ => Err(D::Error::custom("odd number of bytes in the wide form of an order")),
        });
        locations.collect()
    }
}

/// Identifies a version. Numbers start at 1; 0 stands for the rules of the operators' file alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId {
    pub number: u64,
    /// Hash of the whole document, which distinguishes two documents with the same number.
    pub digest: u64,
}

/// What happens after a halt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AfterHalt {
    /// Dispatchers that have the version keep it until an order.
    #[default]
    Stay,
    /// All return to the last version that was in force everywhere.
    Back,
}

/// The stages of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The locations in the order in which they get the version.
    #[serde(with = "order")]
    pub order: Vec<LocationId>,
    /// The part of the first location that gets it in the first stage, in thousandths; at least one
    /// dispatcher.
    pub first: u16,
    /// The least duration of a stage.
    pub hold: Span,
    /// Visits that dispatchers with the version must have had in a stage.
    pub visits: u64,
    pub after_halt: AfterHalt,
}

/// A version of the rules with its plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    pub number: u64,
    /// The operators' document as JSON; checked by the dispatchers that put it in force.
    pub text: String,
    pub plan: Plan,
}

impl Version {
    /// The version's number and digest.
    pub fn id(&self) -> VersionId {
        let mut hasher = FnvHasher::default();
        hasher.write_u64(self.number);
        hasher.write_usize(self.text.len());
        hasher.write(self.text.as_bytes());
        order::bytes(&self.plan.order).into_iter().for_each(|byte| hasher.write_u8(byte));
        hasher.write_u16(self.plan.first);
        hasher.write_u64(self.plan.hold.0);
        hasher.write_u64(self.plan.visits);
        hasher.write_u8(u8::from(self.plan.after_halt == AfterHalt::Back));
        VersionId { number: self.number, digest: hasher.finish() }
    }

    /// The number of stages: a part of the first location, then location by location.
    pub fn stages(&self) -> u16 {
        self.plan.order.len() as u16 + 1
    }

    /// Whether a dispatcher has the version in a stage. All dispatchers agree on the first part.
    pub fn includes(&self, listed: &BTreeMap<MemberId, LocationId>, stage: u16, who: MemberId) -> bool {
        let Some(location) = listed.get(&who) else { return false };
        let Some(index) = self.plan.order.iter().position(|named| named == location) else { return false };
        if stage > 0 {
            return index < usize::from(stage);
        }
        index == 0 && self.rank(who) >= self.min_first_part_rank(listed, *location)
    }

    /// All dispatchers that have the version in a stage, in one pass over the list instead of one per
    /// dispatcher.
    pub fn included_dispatchers(
        &self,
        listed: &BTreeMap<MemberId, LocationId>,
        stage: u16,
    ) -> BTreeSet<MemberId> {
        let parts = usize::from(stage.max(1)).min(self.plan.order.len());
        let locations: BTreeSet<LocationId> = self.plan.order[..parts].iter().copied().collect();
        let there = listed.iter().filter(|(_, location)| locations.contains(location)).map(|(id, _)| *id);
        match self.plan.order.first().filter(|_| stage == 0) {
            Some(first) => {
                let min_rank = self.min_first_part_rank(listed, *first);
                there.filter(|id| self.rank(*id) >= min_rank).collect()
            }
            None => there.collect(),
        }
    }

    /// The rank by which the first part is chosen.
    fn rank(&self, id: MemberId) -> f64 {
        rendezvous(self.number, HostId(id.0), 1.0)
    }

    /// The least rank of the first part of the first location.
    fn min_first_part_rank(&self, listed: &BTreeMap<MemberId, LocationId>, first: LocationId) -> f64 {
        let there = listed.iter().filter(|(_, location)| **location == first);
        let mut ranks: Vec<f64> = there.map(|(id, _)| self.rank(*id)).collect();
        ranks.sort_by(|a, b| b.total_cmp(a));
        let count = (ranks.len() * usize::from(self.plan.first)).div_ceil(1000).max(1);
        ranks.get(count - 1).copied().unwrap_or(f64::NEG_INFINITY)
    }

    /// Checks a version against the listed dispatchers.
    pub fn check(&self, listed: &BTreeMap<MemberId, LocationId>) -> Result<(), OrderError> {
        let plan = &self.plan;
        if self.number == 0 || self.number == u64::MAX {
            return Err(OrderError::Number(self.number));
        }
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(OrderError::TextTooLong { bytes: self.text.len() });
        }
        if !(1..=1000).contains(&plan.first) {
            return Err(OrderError::FirstPart(plan.first));
        }
        if !(Span::seconds(1.0)..=Span::seconds(7.0 * 86_400.0)).contains(&plan.hold) {
            return Err(OrderError::Hold(plan.hold.as_seconds()));
        }
        let there: BTreeSet<LocationId> = listed.values().copied().collect();
        let mut named = BTreeSet::new();
        for location in &plan.order {
            if !there.contains(location) {
                return Err(OrderError::UnknownLocation(location.0));
            }
            if !named.insert(*location) {
                return Err(OrderError::LocationTwice(location.0));
            }
        }
        match there.difference(&named).next() {
            Some(location) => Err(OrderError::LocationMissing(location.0)),
            None => Ok(()),
        }
    }
}

/// Why an order was rejected; nothing in force has changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OrderError {
    #[error("number {0} can't be used: number versions from 1")]
    Number(u64),
    #[error("number {given} is not above {last}, the last version rolled out: give it a higher number")]
    Older { given: u64, last: u64 },
    #[error("the text has {bytes} bytes, the limit is {MAX_TEXT_BYTES}: shorten the document")]
    TextTooLong { bytes: usize },
    #[error("the first part is {0} thousandths: must be 1 to 1000")]
    FirstPart(u16),
    #[error("a stage holds for {0} s: must be 1 s to 7 days")]
    Hold(f64),
    #[error("no listed dispatcher is in location {0}: remove it from the plan or list its dispatchers")]
    UnknownLocation(u16),
    #[error("the plan names location {0} twice: name each once")]
    LocationTwice(u16),
    #[error("the plan leaves out location {0}: name each location of the fleet once")]
    LocationMissing(u16),
    #[error("version {0} is being rolled out or halted: let it finish or roll it back first")]
    VersionUnderWay(u64),
    #[error("no version is being rolled out: see `rollout status`")]
    NothingUnderWay,
    #[error("version {0} is not halted: there is nothing to resume")]
    NotHalted(u64),
    #[error("no version to roll back: see `rollout status`")]
    NoWayBack,
    #[error("this dispatcher's store can't be written: check its disk, or use another dispatcher")]
    StoreUnavailable,
    #[error(
        "this dispatcher has not heard from enough others since its start: wait, or use another dispatcher"
    )]
    NotCaughtUp,
}

impl OrderError {
    /// The error code, for scripts.
    pub fn code(&self) -> &'static str {
        match self {
            OrderError::Number(_) => "rollout-number",
            OrderError::Older { .. } => "rollout-older",
            OrderError::TextTooLong { .. } => "rollout-long",
            OrderError::FirstPart(_) => "rollout-first",
            OrderError::Hold(_) => "rollout-hold",
            OrderError::UnknownLocation(_) => "rollout-location",
            OrderError::LocationTwice(_) => "rollout-twice",
            OrderError::LocationMissing(_) => "rollout-missing",
            OrderError::VersionUnderWay(_) => "rollout-busy",
            OrderError::NothingUnderWay => "rollout-nothing",
            OrderError::NotHalted(_) => "rollout-not-halted",
            OrderError::NoWayBack => "rollout-no-way-back",
            OrderError::StoreUnavailable => "rollout-store",
            OrderError::NotCaughtUp => "rollout-catching",
        }
    }
}
