//! Protocols between dispatchers, without I/O: membership, fleet-wide limits, shared verdicts on hosts, a
//! feed to many followers, delivery of the change log, and staged rollout of rules.
//!
//! All protocols work alike. Calls (a message of another member, a tick of the periodic timer, reports of the
//! dispatcher) only update the state; the caller then takes effects from `next_effect` until there is none. Time is
//! the caller's own monotonic clock, which also advances while the process is paused. Clocks of members are
//! never compared: messages contain ages and durations. Randomness comes from a seed.
#![forbid(unsafe_code)]

pub mod common;
pub mod delivery;
pub mod feed;
pub mod limits;
pub mod members;
pub mod node;
pub mod rollout;
pub mod simulation;
pub mod verdicts;
