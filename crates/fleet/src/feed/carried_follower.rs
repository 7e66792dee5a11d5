//! One carried follower: what it has acknowledged, and the next frame for it.
use super::log::{Logs, ReceivedStamp, Segment, SourceLog, Stamp};
use super::messages::{FeedMessage, Fence, FollowerClass};
use super::position::Position;
use super::settings::Settings;
use super::source_position::{ItemsInFlight, SourcePosition};
use crate::common::MemberId;
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

const MAX_FRAMES_IN_FLIGHT: usize = 64;

/// A move that was offered to another member and has not been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Proposal {
    pub fence: Fence,
    pub started: Time,
    pub last_sent: Time,
}

/// An unacknowledged frame.
#[derive(Clone, Copy, Debug)]
pub(super) struct FrameInFlight {
    pub number: u64,
    pub bytes: usize,
    pub sent: Time,
}

/// The state of one follower.
#[derive(Clone, Debug)]
pub(super) struct CarriedFollower {
    pub fence: Fence,
    /// The highest fence number that was sent to any member.
    pub highest_fence_number: u64,
    pub positions: BTreeMap<MemberId, SourcePosition>,
    /// Its latest stamp.
    pub stamp: Option<ReceivedStamp>,
    pub last_frame: u64,
    pub frames_in_flight: VecDeque<FrameInFlight>,
    pub round_trip: Option<Span>,
    pub last_heard: Time,
    pub last_sent: Time,
    /// Resend timeouts since its last message.
    pub consecutive_timeouts: u32,
    pub class: FollowerClass,
    /// Since when it has been lagging, or keeping up, without a break.
    pub lagging_since: Option<Time>,
    pub keeping_up_since: Option<Time>,
    pub proposal: Option<Proposal>,
    /// When it was moved here, and when a move to another member was last offered.
    pub arrived: Option<Time>,
    pub last_proposed: Option<Time>,
    /// It is no longer slow and may be moved to the member with the most spare bytes.
    pub needs_placement: bool,
}

impl CarriedFollower {
    pub fn new(now: Time, fence: Fence, positions: &[Position], class: FollowerClass) -> CarriedFollower {
        let position =
            |reached: &Position| (reached.source, SourcePosition::new(reached.incarnation, reached.number));
        CarriedFollower {
            fence,
            highest_fence_number: fence.number,
            positions: positions.iter().map(position).collect(),
            stamp: None,
            last_frame: 0,
            frames_in_flight: VecDeque::new(),
            round_trip: None,
            last_heard: now,
            last_sent: Time(0),
            consecutive_timeouts: 0,
            class,
            lagging_since: None,
            keeping_up_since: None,
            proposal: None,
            arrived: None,
            last_proposed: None,
            needs_placement: false,
        }
    }

    /// The last numbers of a source that were sent to it and that it acknowledged; none if it knows a newer
    /// run of the source.
    fn sent_and_acked(&self, source: MemberId, log: &SourceLog) -> Option<(u64, u64)> {
        match self.positions.get(&source) {
            Some(position) if position.incarnation > log.incarnation => None,
            Some(position) if position.incarnation == log.incarnation => {
                Some((position.sent, position.acked))
            }
            _ => Some((0, 0)),
        }
    }

    /// How long the oldest unacknowledged item has been held here.
    pub fn lag(&self, now: Time, logs: &Logs) -> Span {
        let pending =
            |(source, log): (&MemberId, &SourceLog)| log.pending_since(self.sent_and_acked(*source, log)?.1);
        logs.iter().filter_map(pending).min().map_or(Span::ZERO, |since| now - since)
    }

    /// The time after which an unacknowledged frame counts as lost.
    fn resend_timeout(&self, settings: &Settings) -> Span {
        let timeout =
            settings.min_resend_timeout.max(self.round_trip.map_or(Span::ZERO, |span| span.times(2.0)));
        let factor = if self.class.is_slow { 1 << self.consecutive_timeouts.min(3) } else { 1 };
        Span(timeout.0 * factor)
    }

    pub fn acknowledge(&mut self, now: Time, frame: u64, stamp: Stamp, positions: &[Position]) {
        self.last_heard = now;
        self.consecutive_timeouts = 0;
        ReceivedStamp::update(&mut self.stamp, now, stamp);
        let frame = frame.min(self.last_frame);
        self.acknowledge_frames(now, frame);
        for reported in positions {
            // Only sources that were in a frame have a position.
            let Some(position) = self.positions.get_mut(&reported.source) else { continue };
            if position.incarnation == reported.incarnation {
                position.acknowledge(reported.number);
            }
        }
        // Frames up to this one have been received or lost.
        for position in self.positions.values_mut() {
            if position.in_flight.front().is_some_and(|items| items.frame <= frame) {
                position.rewind();
            }
        }
    }

    /// Drops frames up to this one, and measures the round trip by it.
    fn acknowledge_frames(&mut self, now: Time, frame: u64) {
        while let Some(first) =
            self.frames_in_flight.front().copied().filter(|in_flight| in_flight.number <= frame)
        {
            self.frames_in_flight.pop_front();
            if first.number == frame {
                let sample = now - first.sent;
                let mean = |usual: Span| Span((usual.0 * 7 + sample.0) / 8);
                self.round_trip = Some(self.round_trip.map_or(sample, mean));
            }
        }
    }

    /// Proposes a move of the follower to another member.
    pub fn propose_move(&mut self, now: Time, to: MemberId) {
        self.highest_fence_number += 1;
        let fence = Fence { number: self.highest_fence_number, carrier: to, ..self.fence };
        self.proposal = Some(Proposal { fence, started: now, last_sent: now });
        self.last_proposed = Some(now);
    }

    /// The next frame with items that it lacks, and the bytes of these.
    pub fn next_frame(
        &mut self,
        now: Time,
        logs: &Logs,
        settings: &Settings,
    ) -> Option<(FeedMessage, usize)> {
        self.check_resend_timeout(now, settings);
        if self.is_window_full(settings) {
            return None;
        }
        let (segments, bytes) = self.next_segments(now, logs, settings);
        if segments.is_empty() {
            return None;
        }
        let message = self.build_frame(now, segments);
        self.frames_in_flight.push_back(FrameInFlight { number: self.last_frame, bytes, sent: now });
        Some((message, bytes))
    }

    /// After the timeout all that is not acknowledged is sent again.
    fn check_resend_timeout(&mut self, now: Time, settings: &Settings) {
        let timeout = self.resend_timeout(settings);
        if self.frames_in_flight.front().is_some_and(|first| now - first.sent > timeout) {
            self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
            self.frames_in_flight.clear();
            self.positions.values_mut().for_each(SourcePosition::rewind);
        }
    }

    /// Whether nothing more may be sent before an acknowledgement.
    fn is_window_full(&self, settings: &Settings) -> bool {
        let bytes_in_flight: usize = self.frames_in_flight.iter().map(|frame| frame.bytes).sum();
        let window = match self.class.is_slow {
            // After a timeout a slow follower is probed with a single frame.
            true if self.consecutive_timeouts > 0 => 1,
            true => settings.slow_window_bytes,
            false => settings.window_bytes,
        };
        bytes_in_flight >= window
            || self.frames_in_flight.len() >= MAX_FRAMES_IN_FLIGHT
            || self.stamp.is_none() && !self.frames_in_flight.is_empty()
    }

    /// The segments of the next frame, and their bytes.
    fn next_segments(&mut self, now: Time, logs: &Logs, settings: &Settings) -> (Vec<Segment>, usize) {
        let (mut bytes, mut segments) = (0, Vec::new());
        for (source, log) in logs {
            if segments.len() >= settings.max_segments || bytes >= settings.frame_bytes {
                break;
            }
            let Some((sent, _)) = self.sent_and_acked(*source, log) else { continue };
            let bytes_left = settings.frame_bytes - bytes;
            let Some((segment, cost)) = log.segment(now, *source, sent, bytes_left) else { continue };
            // The first item of a frame may exceed the bound; a further one may not.
            if bytes > 0 && cost > bytes_left {
                continue;
            }
            self.note_sent(*source, log, segment.up_to);
            bytes += cost;
            segments.push(segment);
        }
        (segments, bytes)
    }

    /// Notes that the next frame contains the items of a source up to a number.
    fn note_sent(&mut self, source: MemberId, log: &SourceLog, up_to: u64) {
        let position = self.positions.entry(source).or_default();
        if position.incarnation != log.incarnation {
            *position = SourcePosition::new(log.incarnation, 0);
        }
        position.sent = up_to;
        position.in_flight.push_back(ItemsInFlight { up_to, frame: self.last_frame + 1 });
    }

    /// A frame of the given segments; without any it is a heartbeat.
    pub fn build_frame(&mut self, now: Time, segments: Vec<Segment>) -> FeedMessage {
        self.last_frame += 1;
        self.last_sent = now;
        let echo = self.stamp.map(|stamp| stamp.echo(now));
        FeedMessage::Frame { fence: self.fence, frame: self.last_frame, echo, class: self.class, segments }
    }
}
