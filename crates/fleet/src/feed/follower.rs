//! A process that follows the feed without being a member: it subscribes to a carrier and acknowledges
//! frames.
use super::effects::Effect;
use super::log::{Echo, Segment, SegmentCheck, Stamp};
use super::messages::{FeedMessage, Fence, FollowerClass};
use super::position::Position;
use super::settings::Settings;
use crate::common::{rendezvous_order, Incarnation, MemberId};
use cherrypass::containers::MovingAverage;
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A fence further ahead is rejected: it would lock out every later carrier.
const MAX_FENCE_ADVANCE: u64 = 256;

/// A follower's side of the feed.
#[derive(Clone, Debug)]
pub struct Follower {
    settings: Settings,
    positions: BTreeMap<MemberId, Position>,
    members: BTreeSet<MemberId>,
    carrier_order: Vec<MemberId>,
    next_candidate: usize,
    fence: Fence,
    /// Whether the carrier of the fence has been heard under it, when last, and the mean time between its
    /// frames.
    is_carried: bool,
    last_heard: Time,
    mean_gap: MovingAverage,
    class: FollowerClass,
    last_frame: u64,
    last_asked: Time,
    last_acked: Time,
    last_tick: Time,
    /// Sources whose positions go into the next acknowledgement, and whether that is due.
    sources_to_ack: BTreeSet<MemberId>,
    is_ack_due: bool,
    effects: VecDeque<Effect>,
}

impl Follower {
    pub fn new(
        settings: Settings,
        own: MemberId,
        incarnation: Incarnation,
        members: &[MemberId],
        now: Time,
    ) -> Follower {
        let order = rendezvous_order(own, members.iter().copied());
        let first = order.first().copied().unwrap_or(own);
        Follower {
            settings,
            positions: BTreeMap::new(),
            members: order.iter().copied().collect(),
            carrier_order: order,
            next_candidate: 0,
            fence: Fence { incarnation, number: 0, carrier: first },
            is_carried: false,
            last_heard: now,
            mean_gap: MovingAverage::default(),
            class: FollowerClass::default(),
            last_frame: 0,
            last_asked: Time(0),
            last_acked: now,
            last_tick: now,
            sources_to_ack: BTreeSet::new(),
            is_ack_due: false,
            effects: VecDeque::new(),
        }
    }

    /// The next effect. Call until there is none after each call.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The fence of the present carrier, as far as known here.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    pub fn is_carried(&self) -> bool {
        self.is_carried
    }

    /// The periodic timer, called every `Settings::interval`.
    pub fn tick(&mut self, now: Time) {
        // After a pause of this process it is unknown whether the carrier was silent.
        if now - self.last_tick > self.settings.orphan_after {
            self.last_heard = self.last_heard.max(now);
        }
        self.last_tick = now;
        let silence_limit = Span::seconds(self.mean_gap.value * self.settings.orphan_gap_factor)
            .min(self.settings.max_orphan_time);
        let is_silent = now - self.last_heard > silence_limit.max(self.settings.orphan_after);
        if (!self.is_carried || is_silent) && now - self.last_asked >= self.settings.retry_interval {
            self.subscribe(now);
        }
        if self.is_carried && (self.is_ack_due || now - self.last_acked >= self.settings.heartbeat) {
            self.last_acked = now;
            self.is_ack_due = false;
            let sources = std::mem::take(&mut self.sources_to_ack);
            let positions = sources.iter().filter_map(|source| self.positions.get(source)).copied().collect();
            let message = FeedMessage::Ack {
                fence: self.fence,
                frame: self.last_frame,
                stamp: self.stamp(now),
                positions,
            };
            self.effects.push_back(Effect::Send { to: self.fence.carrier, message });
        }
    }

    /// Asks the next member in order to become the carrier.
    fn subscribe(&mut self, now: Time) {
        if self.carrier_order.is_empty() {
            return;
        }
        let mut carrier = self.carrier_order[self.next_candidate % self.carrier_order.len()];
        if self.is_carried && self.class.is_slow {
            // A slow follower stays with its carrier: its own link is the likely cause.
            carrier = self.fence.carrier;
        } else {
            self.next_candidate += 1;
        }
        self.adopt_fence(Fence { number: self.fence.number + 1, carrier, ..self.fence });
        self.last_asked = now;
        let positions = self.positions.values().copied().collect();
        self.effects.push_back(Effect::Send {
            to: carrier,
            message: FeedMessage::Subscribe {
                fence: self.fence,
                stamp: self.stamp(now),
                class: self.class,
                positions,
            },
        });
    }

    fn stamp(&self, now: Time) -> Stamp {
        Stamp { run: self.fence.incarnation, clock: now.0 }
    }

    fn adopt_fence(&mut self, fence: Fence) {
        self.fence = fence;
        self.is_carried = false;
        self.last_frame = 0;
    }

    /// Handles a message; senders that are no members are ignored.
    pub fn receive(&mut self, now: Time, from: MemberId, message: FeedMessage) {
        if !self.members.contains(&from) {
            return;
        }
        match message {
            FeedMessage::Frame { fence, frame, echo, class, segments } => {
                if fence.carrier != from || !self.accepts_fence(fence) {
                    let message = FeedMessage::CarriedElsewhere { fence: self.fence };
                    self.effects.push_back(Effect::Send { to: from, message });
                    return;
                }
                self.note_frame(now, fence, frame, class);
                self.apply_segments(now, echo, segments);
            }
            FeedMessage::Moved { fence } if self.accepts_fence(fence) && fence != self.fence => {
                self.adopt_fence(fence);
                // The new carrier has `orphan_after` to send its first frame.
                self.last_asked = now + self.settings.orphan_after;
            }
            FeedMessage::SubscribeRejected { fence }
                if fence == self.fence && fence.carrier == from && !self.is_carried =>
            {
                // Asks the next member at the next tick, or after a pause once all have refused.
                self.last_asked = Time(0);
                if self.next_candidate.is_multiple_of(self.carrier_order.len().max(1)) {
                    self.last_asked = now;
                }
            }
            _ => {}
        }
    }

    /// Notes a frame of the carrier.
    fn note_frame(&mut self, now: Time, fence: Fence, frame: u64, class: FollowerClass) {
        if fence != self.fence {
            self.adopt_fence(fence);
        }
        self.is_carried = true;
        self.next_candidate = 0;
        let max_gap = self.settings.max_orphan_time.as_seconds();
        self.mean_gap.push((now - self.last_heard).as_seconds().min(max_gap), 0.1);
        self.last_heard = now;
        self.class = class;
        self.last_frame = self.last_frame.max(frame);
    }

    fn apply_segments(&mut self, now: Time, echo: Option<Echo>, segments: Vec<Segment>) {
        self.is_ack_due |= !segments.is_empty();
        let Some(transit) = echo.and_then(|echo| echo.transit(now, self.fence.incarnation)) else {
            // Without an echo the age of the items has no bound; the acknowledgement delivers a stamp for
            // one.
            self.is_ack_due = true;
            return;
        };
        for segment in segments.into_iter().take(self.settings.max_segments) {
            self.apply_segment(segment, transit);
        }
    }

    fn accepts_fence(&self, fence: Fence) -> bool {
        fence.incarnation == self.fence.incarnation
            && fence >= self.fence
            && fence.number <= self.fence.number.saturating_add(MAX_FENCE_ADVANCE)
            && self.members.contains(&fence.carrier)
    }

    fn apply_segment(&mut self, segment: Segment, transit: Span) {
        let (source, incarnation, up_to) = (segment.source, segment.incarnation, segment.up_to);
        if !self.members.contains(&source) {
            return;
        }
        let at = self.positions.get(&source).copied();
        match segment.check_against(&self.settings, at, transit) {
            SegmentCheck::Invalid => return,
            SegmentCheck::Known | SegmentCheck::Gap => {}
            SegmentCheck::New { items, is_complete } => {
                self.positions.insert(source, Position { source, incarnation, number: up_to });
                Effect::push_items(&mut self.effects, source, incarnation, up_to, items, is_complete);
            }
        }
        self.sources_to_ack.insert(source);
    }
}
