//! The bench's wire: frames of events in, frames of actions out. Decodes events into calls of the
//! decision module and encodes its decisions; decides nothing itself.
#![forbid(unsafe_code)]

mod link;
mod wire;

pub use link::serve;
pub use wire::Error;
