//! Request routing decisions of cherrypass, free of input and output.
//!
//! The caller feeds events and a clock to [`decision_engine::DecisionEngine`] and pulls decisions from it.
//! This crate knows nothing of the transport.
#![forbid(unsafe_code)]

mod allowance;
pub mod bounded_map;
mod cached_copies;
pub mod calls;
mod circuit_breaker;
mod cold_start;
pub mod containers;
mod copy_age;
pub mod decision_engine;
mod estimates;
mod fill_limiter;
mod fill_limits;
mod findings;
mod gradient;
mod hand_off_stats;
mod host;
mod host_list;
pub mod ids;
mod in_flight;
mod load_report;
mod peer_reports;
pub mod popularity;
pub mod purges;
pub mod settings;
mod shared_limits;
pub mod state;
pub mod time;
mod unread_changes;
mod visits;
