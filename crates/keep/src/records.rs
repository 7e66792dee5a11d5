//! Records as they stand in the store: a space, a key, a value and an end. What can't be read is none.
use cherrypass::time::UnixTime;
use serde::{de::DeserializeOwned, Serialize};

/// One change to what is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub space: &'static str,
    pub key: Vec<u8>,
    /// None: it goes.
    pub value: Option<Vec<u8>>,
    pub until: Option<UnixTime>,
}

pub(crate) fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

pub(crate) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
