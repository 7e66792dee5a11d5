//! Fleet-wide limits, enforced without a coordinator. Each listed member owns an equal share of each limit,
//! always keeps a floor of it and lends the unused rest to other members through leases that expire. Nothing
//! is stored: after a start a member lends nothing until every lease of an earlier run has expired.
//!
//! The proof, the bounds in the cases where a limit can be exceeded, and measurements are in
//! docs/fleet-limits.md.
mod allowance;
mod borrowing;
mod draw;
mod driver;
mod lending;
mod limit;
mod messages;
mod settings;
mod state;

pub use messages::{Allowance, Effect, Message};
pub use settings::{LimitKey, Settings, SettingsError, CLOCK_DRIFT};
pub use state::{Guard, Limits};
