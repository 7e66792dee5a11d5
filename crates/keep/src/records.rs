//! Store records: a space, a key, a value and an expiry time. Values that can't be decoded are treated as
//! absent.
use cherrypass::time::UnixTime;
use serde::{de::DeserializeOwned, Serialize};

/// A write to one key of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub space: &'static str,
    pub key: Vec<u8>,
    /// None deletes the key.
    pub value: Option<Vec<u8>>,
    /// None never expires.
    pub expires_at: Option<UnixTime>,
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
