//! Encoding and decoding of the messages between members by their kind.
use crate::link::LinkError;
use cherrypass_fleet::node::Message;
use serde::de::DeserializeOwned;

/// Message kinds on the wire. Numbers are never reused.
pub mod kind {
    pub const MEMBERS: u8 = 1;
    pub const LIMITS: u8 = 2;
    pub const FEED: u8 = 3;
    pub const ROLLOUT: u8 = 4;
    pub const DELIVERY: u8 = 5;
}

fn decode_as<S: DeserializeOwned>(
    wrap: impl Fn(S) -> Message,
    payload: &[u8],
) -> Result<Option<Message>, LinkError> {
    let message = postcard::from_bytes(payload).map_err(|_| LinkError::MalformedPayload)?;
    Ok(Some(wrap(message)))
}

/// Decodes a payload by its kind; None for an unknown kind.
pub fn decode_message(kind: u8, payload: &[u8]) -> Result<Option<Message>, LinkError> {
    match kind {
        kind::MEMBERS => decode_as(Message::Members, payload),
        kind::LIMITS => decode_as(Message::Limits, payload),
        kind::FEED => decode_as(Message::Feed, payload),
        kind::ROLLOUT => decode_as(Message::Rollout, payload),
        _ => Ok(None),
    }
}

pub fn encode_message(message: &Message) -> Option<(u8, Vec<u8>)> {
    let (kind, bytes) = match message {
        Message::Members(message) => (kind::MEMBERS, postcard::to_stdvec(message)),
        Message::Limits(message) => (kind::LIMITS, postcard::to_stdvec(message)),
        Message::Feed(message) => (kind::FEED, postcard::to_stdvec(message)),
        Message::Rollout(message) => (kind::ROLLOUT, postcard::to_stdvec(message)),
    };
    Some((kind, bytes.ok()?))
}
