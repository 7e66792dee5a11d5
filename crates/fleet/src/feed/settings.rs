//! Intervals and bounds of the feed.
use cherrypass::time::Span;

/// Settings of the feed; the same for all members and followers of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The interval of the periodic timer. A source's new items are sent once a round, and so are a carrier's
    /// frames.
    pub interval: Span,
    /// Per source: bounds of the newest items, which are held without a gap,
    pub backlog_items: usize,
    pub backlog_bytes: usize,
    /// and bounds of the older ones that are the latest of their key and have not expired; a source may use
    /// half of these.
    pub state_items: usize,
    pub state_bytes: usize,
    pub max_key_bytes: usize,
    pub max_value_bytes: usize,
    /// Bounds of a frame in bytes and segments; a single item may exceed them.
    pub frame_bytes: usize,
    pub max_segments: usize,
    /// Number of members, including this one. A message names each with its run and number, and must fit into
    /// one datagram.
    pub max_sources: usize,
    /// Bytes a member sends to all followers in a round.
    pub round_bytes: usize,
    /// Bytes a member sends in a round to members that lack items.
    pub repair_bytes: usize,
    /// Unacknowledged bytes to one follower, and to a slow one.
    pub window_bytes: usize,
    pub slow_window_bytes: usize,
    /// Followers of one member; enough for one member to carry all if the others fail.
    pub max_followers: usize,
    /// The least time after which an unacknowledged frame counts as lost.
    pub min_resend_timeout: Span,
    /// The longest time between two frames of a carrier or two acknowledgements of a follower.
    pub heartbeat: Span,
    /// How often a member reports all its positions to some other member, and the time within which it sends
    /// each member a stamp.
    pub report_interval: Span,
    pub stamp_interval: Span,
    /// How long a load report is valid.
    pub report_lifetime: Span,
    /// A follower is slow if its lag exceeds `slow_factor` times the group's lower median plus `slow_margin`
    /// for `slow_after` without a break.
    pub slow_factor: f64,
    pub slow_margin: Span,
    pub slow_after: Span,
    /// It is regular again after at most half that lag for `recovery_time`, doubled with each relapse up to
    /// `max_recovery_time`.
    pub recovery_time: Span,
    pub max_recovery_time: Span,
    /// A member whose followers have all been lagging compared with those of others for this long gives them
    /// away.
    pub carrier_lag_time: Span,
    /// A move is offered repeatedly until answered or until this timeout; after a move a follower stays for
    /// at least `min_stay`, a slow one for ten times that.
    pub proposal_timeout: Span,
    pub min_stay: Span,
    pub moves_per_round: usize,
    /// A follower that has not heard its carrier for `orphan_after` subscribes to another one, at most once
    /// every `retry_interval`; where frames are rare, after `orphan_gap_factor` times their mean distance, at
    /// most `max_orphan_time`.
    pub orphan_after: Span,
    pub orphan_gap_factor: f64,
    pub max_orphan_time: Span,
    pub retry_interval: Span,
    /// A follower that has not been heard for this long is dropped.
    pub follower_timeout: Span,
    /// Whether slow followers are classified and followers are moved.
    pub regroup: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Span::millis(50),
            backlog_items: 256,
            backlog_bytes: 32 << 10,
            state_items: 512,
            state_bytes: 64 << 10,
            max_key_bytes: 256,
            max_value_bytes: 16 << 10,
            frame_bytes: 8 << 10,
            max_segments: 64,
            max_sources: 1_024,
            round_bytes: 256 << 10,
            repair_bytes: 64 << 10,
            window_bytes: 32 << 10,
            slow_window_bytes: 8 << 10,
            max_followers: 1_024,
            min_resend_timeout: Span::millis(250),
            heartbeat: Span::millis(500),
            report_interval: Span::millis(500),
            stamp_interval: Span::seconds(10.0),
            report_lifetime: Span::seconds(15.0),
            slow_factor: 3.0,
            slow_margin: Span::millis(300),
            slow_after: Span::seconds(1.0),
            recovery_time: Span::seconds(10.0),
            max_recovery_time: Span::seconds(300.0),
            carrier_lag_time: Span::seconds(2.0),
            proposal_timeout: Span::seconds(3.0),
            min_stay: Span::seconds(30.0),
            moves_per_round: 4,
            orphan_after: Span::seconds(2.0),
            orphan_gap_factor: 6.0,
            max_orphan_time: Span::seconds(15.0),
            retry_interval: Span::millis(500),
            follower_timeout: Span::seconds(30.0),
            regroup: true,
        }
    }
}

impl Settings {
    /// Whether an item's key and value are within the bounds.
    pub(super) fn accepts(&self, key: &[u8], value: &[u8]) -> bool {
        key.len() <= self.max_key_bytes && value.len() <= self.max_value_bytes
    }

    /// Upper bound of the bytes that a member holds for this many sources: items with their keys and
    /// overhead, without the allocator's rounding.
    pub fn max_bytes(&self, sources: usize) -> usize {
        let item = 2 * self.max_key_bytes + self.max_value_bytes + 128;
        sources.min(self.max_sources) * (self.backlog_bytes + self.state_bytes + item)
    }
}
