//! One dispatcher's node of the fleet: combines membership, limits, verdicts, feed and rollout. Dispatches
//! messages to them, passes changes of membership and feed items between them, and returns the effects of
//! all of them.
mod calls;
mod effects;
mod feed_items;
mod messages;
mod receiving;
mod state;

pub use messages::{Effect, Message, Rejection};
pub use state::{FleetNode, Settings};
