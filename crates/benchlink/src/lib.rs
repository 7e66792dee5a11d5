//! Adapter between the benchmark's wire format and the decision module: decodes frames of events into calls,
//! and encodes decisions as frames of actions.
#![forbid(unsafe_code)]

mod link;
mod wire;

pub use link::serve;
pub use wire::Error;
