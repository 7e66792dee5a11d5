//! A feed of items from any member to all members and to followers, in which a slow follower does not delay
//! others. No input or output; time comes in as an argument.
//!
//! Items are numbered per source (one run of a member's process, starting at 1). A source pushes its new
//! items to all members every round; losses are detected by gaps or by the positions that members report to
//! each other, and are repaired from any member. Each member is the carrier of a group of followers and sends
//! to each of them what it lacks according to its acknowledged position in every source; nothing is queued
//! per follower. A follower that is too far behind receives the items that are still valid instead of all of
//! them. See docs/fleet-feed.md.
mod carried_follower;
mod carrier;
mod carrier_messages;
mod classification;
mod driver;
mod effects;
mod follower;
mod log;
mod messages;
mod moves;
mod position;
mod publishing;
mod repair;
mod reports;
mod settings;
mod source_position;
mod state;

pub use effects::{Effect, PublishError};
pub use follower::Follower;
pub use log::{Echo, Item, Segment, Stamp};
pub use messages::{CarrierLoad, FeedMessage, Fence, FollowerClass};
pub use position::Position;
pub use settings::Settings;
pub use state::Feed;
