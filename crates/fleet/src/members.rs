//! Membership and failure detection. The operators' file lists the members; each member probes the others in
//! turn, gossips what it learns, and suspects a silent member, which may refute that before it is declared
//! dead.
//!
//! Follows SWIM (Das, Gupta, Motivala 2002) with timeouts from phi accrual (Hayashibara et al. 2004) and the
//! local health of Lifeguard (Dadgar, Phillips, Currey 2018). Design, bounds and measurements:
//! docs/fleet-members.md.
mod claims;
mod driver;
mod gossip;
mod links;
mod messages;
mod probes;
mod relayed_probes;
mod settings;
mod state;
mod suspicions;
mod synchronization;
mod table;

pub use messages::{Body, Effect, Message};
pub use settings::{Settings, SettingsError};
pub use state::{Members, MAX_MEMBERS};
pub use table::{Claim, MemberState};
