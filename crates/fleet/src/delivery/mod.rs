//! Delivery of the change log's numbered changes: carriers read the log and pass each change on to followers,
//! which then need not read the log themselves (docs/fleet-delivery.md). No input or output; time comes in as
//! an argument.
//!
//! A change is an opaque, encoded record with its number in the log. Numbers increase by one and are the same
//! for all readers of a log ([`LogId`]), so a follower may switch between carriers, or to the log itself,
//! without losing its place. It takes changes in order, without gaps or repeats.
mod carrier;
mod follower;
mod held;
mod messages;
mod settings;

pub use carrier::Carrier;
pub use follower::Follower;
pub use messages::{
    ChangeNumber, DeliveryMessage, Echo, Effect, LogId, Reason, Record, Stamp, MAX_RECORD_BYTES,
};
pub use settings::Settings;
