//! Settings of the delivery.
use super::messages::LogId;
use cherrypass::time::Span;

/// Clock rates may differ by up to 1%: a span measured on one clock is at most this many times as long on
/// another,
pub(super) const MAX_CLOCK_RATIO: f64 = 1.02;
/// and at least this fraction of it.
pub(super) const MIN_CLOCK_RATIO: f64 = 0.98;

/// Settings of the delivery; the same for all carriers and followers of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub log: LogId,
    /// The least time between two messages with changes to one follower.
    pub batch_interval: Span,
    /// The longest time between two messages to a follower, or from one, also where nothing is new.
    pub heartbeat: Span,
    /// A carrier that has not been heard for this long is replaced.
    pub carrier_timeout: Span,
    /// A follower without proof from a carrier for this long reads the log itself; up to as long again at
    /// random, so that followers that lose their carriers do not all read the log at once. With that it has to stay
    /// under the time after which a change counts as announced.
    pub fallback_delay: Span,
    /// A carrier without an answer of the log for this long accepts no new follower. A follower whose carrier
    /// proves nothing looks for another one after twice as long: by then, if the log itself is lost, all
    /// carriers refuse it.
    pub max_log_age: Span,
    /// A follower that has not been heard for this long is dropped.
    pub follower_timeout: Span,
    /// Bytes of changes in a message to one follower, and in one tick to all. A longer record is sent alone.
    /// With `batch_interval` this bounds the rate at which a follower catches up; the default fits in one
    /// Ethernet frame.
    pub message_bytes: usize,
    pub round_bytes: usize,
    /// Bytes of changes that a carrier holds.
    pub max_held_bytes: usize,
    /// The maximum number of followers of one carrier.
    pub max_followers: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            log: LogId::default(),
            batch_interval: Span::millis(250),
            heartbeat: Span::millis(250),
            carrier_timeout: Span::millis(800),
            fallback_delay: Span::millis(3_000),
            max_log_age: Span::millis(1_000),
            follower_timeout: Span::millis(10_000),
            message_bytes: 1_400,
            round_bytes: 256 << 10,
            max_held_bytes: 8 << 20,
            max_followers: 1_024,
        }
    }
}
