//! Request routing decisions of cherrypass, free of input and output.
//!
//! The caller feeds events and a clock to [`decision_engine::DecisionEngine`] and pulls decisions from it. This crate knows
//! nothing of the transport.
#![forbid(unsafe_code)]

pub mod calls;
pub mod containers;
pub mod decision_engine;
pub mod ids;
pub mod popularity;
pub mod purges;
pub mod settings;
pub mod shared;
pub mod state;
pub mod time;
