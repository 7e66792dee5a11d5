//! Positions in the items of a source.
use crate::common::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};

/// All items of a source up to `number` have been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    pub source: MemberId,
    pub incarnation: Incarnation,
    pub number: u64,
}
