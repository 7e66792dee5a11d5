//! Identifier types, one for each kind of entity.

/// Maximum length of a list of locations, host kinds or classes: their ids are 16-bit list indexes.
pub const MAX_LIST_LENGTH: usize = 1 << 16;

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VisitId(pub u32);

/// A cache, parent or origin: IPv4 address and port, packed. It is only compared and hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HostId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ObjectId(pub u64);

/// A group of objects that can be purged as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct GroupId(pub u32);

/// Index of a class of requests in the settings' list of services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u16);

/// Index of a location in the settings' list. Each wire format encodes it in its own way, so it has no serde
/// implementation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LocationId(pub u16);

/// Index of a host kind in the settings' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u16);

/// A group of hosts within which repeats of a request can be deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u16);

/// Number of a hand-off within its visit, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandOffNumber(pub u8);
