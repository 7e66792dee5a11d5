//! What the caller carries out, and why an item is not published.
use super::log::Item;
use super::messages::FeedMessage;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::Span;
use std::collections::VecDeque;

/// Why an item was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    #[error("an item's key has {key} bytes and its value {value}, more than the limit: publish it in parts")]
    TooLarge { key: usize, value: usize },
    #[error("too many unexpired items: use shorter hold times or fewer keys, or raise feed.state_*")]
    Full,
}

impl PublishError {
    /// The error code, for scripts.
    pub fn code(&self) -> &'static str {
        match self {
            PublishError::TooLarge { .. } => "feed-too-big",
            PublishError::Full => "feed-full",
        }
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: FeedMessage,
    },
    /// Deliver the next item of a source. `age` is an upper bound.
    Deliver {
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        key: Vec<u8>,
        value: Vec<u8>,
        age: Span,
    },
    /// Deliver the items up to a number that are still valid, in order: the missing ones were replaced by a
    /// later item of their key (in this list or still to come) or have expired.
    State {
        source: MemberId,
        incarnation: Incarnation,
        up_to: u64,
        items: Vec<Item>,
    },
    Log(String),
}

impl Effect {
    /// Queues items for delivery: one by one if no number is missing, else as a `State`.
    pub(super) fn push_items(
        effects: &mut VecDeque<Effect>,
        source: MemberId,
        incarnation: Incarnation,
        up_to: u64,
        items: Vec<Item>,
        is_complete: bool,
    ) {
        if !is_complete {
            effects.push_back(Effect::State { source, incarnation, up_to, items });
            return;
        }
        for Item { number, key, value, age, .. } in items {
            effects.push_back(Effect::Deliver { source, incarnation, number, key, value, age });
        }
    }
}
