//! Durable state of a dispatcher: which records are written ahead of which actions, which are replayed after
//! a restart, when they expire, and what happens while the store rejects writes. Performs no I/O and reads no
//! clock.
#![forbid(unsafe_code)]

pub mod boot_time;
pub mod purges;
pub mod records;
pub mod versions;
pub mod visits;
