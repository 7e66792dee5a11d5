//! The followers that a member carries: what is sent to each and when, which of them are slow, and which are
//! moved to another member.
use super::log::SourceLog;
use super::{CarrierLoad, Echo, Effect, FeedMessage, Fence, FollowerClass, Position, Settings, Stamp};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

const MAX_FRAMES_IN_FLIGHT: usize = 64;

pub(super) type Logs = BTreeMap<MemberId, SourceLog>;

/// A follower's progress in the items of one source.
#[derive(Clone, Debug, Default)]
struct SourcePosition {
    incarnation: Incarnation,
    acked: u64,
    sent: u64,
    /// Unacknowledged items: the last number that a frame contained, and the frame's number.
    in_flight: VecDeque<(u64, u64)>,
}

impl SourcePosition {
    fn new(incarnation: Incarnation, number: u64) -> SourcePosition {
        SourcePosition { incarnation, acked: number, sent: number, in_flight: VecDeque::new() }
    }

    fn acknowledge(&mut self, number: u64) {
        self.acked = self.acked.max(number);
        self.sent = self.sent.max(self.acked);
        while self.in_flight.front().is_some_and(|(up_to, _)| *up_to <= self.acked) {
            self.in_flight.pop_front();
        }
    }

    /// Everything that is not acknowledged is sent again.
    fn rewind(&mut self) {
        self.sent = self.acked;
        self.in_flight.clear();
    }
}

/// A move that was offered to another member and has not been answered.
#[derive(Clone, Copy, Debug)]
struct Proposal {
    fence: Fence,
    started: Time,
    last_sent: Time,
}

/// The state of one follower.
#[derive(Clone, Debug)]
struct CarriedFollower {
    fence: Fence,
    /// The highest fence number that was sent to any member.
    highest_fence_number: u64,
    positions: BTreeMap<MemberId, SourcePosition>,
    /// Its latest stamp, and when it was received.
    stamp: Option<(Stamp, Time)>,
    last_frame: u64,
    /// Unacknowledged frames: number, bytes, time sent.
    frames_in_flight: VecDeque<(u64, usize, Time)>,
    round_trip: Option<Span>,
    last_heard: Time,
    last_sent: Time,
    /// Resend timeouts since its last message.
    consecutive_timeouts: u32,
    class: FollowerClass,
    /// Since when it has been lagging, or keeping up, without a break.
    lagging_since: Option<Time>,
    keeping_up_since: Option<Time>,
    proposal: Option<Proposal>,
    /// When it was moved here, and when a move to another member was last offered.
    arrived: Option<Time>,
    last_proposed: Option<Time>,
    /// It is no longer slow and may be moved to the member with the most spare bytes.
    needs_placement: bool,
}

impl CarriedFollower {
    fn new(now: Time, fence: Fence, positions: &[Position], class: FollowerClass) -> CarriedFollower {
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
    fn lag(&self, now: Time, logs: &Logs) -> Span {
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

    fn acknowledge(&mut self, now: Time, frame: u64, stamp: Stamp, positions: &[Position]) {
        self.last_heard = now;
        self.consecutive_timeouts = 0;
        // A delayed stamp must not replace a newer one: the echo of an older stamp gives a looser bound.
        if self.stamp.is_none_or(|(known, _)| known < stamp) {
            self.stamp = Some((stamp, now));
        }
        let frame = frame.min(self.last_frame);
        while let Some((number, _, at)) =
            self.frames_in_flight.front().copied().filter(|frame_in_flight| frame_in_flight.0 <= frame)
        {
            self.frames_in_flight.pop_front();
            if number == frame {
                let sample = now - at;
                self.round_trip =
                    Some(self.round_trip.map_or(sample, |usual| Span((usual.0 * 7 + sample.0) / 8)));
            }
        }
        for reported in positions {
            // Only sources that were in a frame have a position.
            let Some(position) = self.positions.get_mut(&reported.source) else { continue };
            if position.incarnation == reported.incarnation {
                position.acknowledge(reported.number);
            }
        }
        // Frames up to this one have been received or lost.
        for position in self.positions.values_mut() {
            if position.in_flight.front().is_some_and(|(_, frame_number)| *frame_number <= frame) {
                position.rewind();
            }
        }
    }

    /// Offers the follower to another member.
    fn start_move(&mut self, now: Time, own: MemberId, to: MemberId) -> Effect {
        self.highest_fence_number += 1;
        let fence = Fence { number: self.highest_fence_number, carrier: to, ..self.fence };
        self.proposal = Some(Proposal { fence, started: now, last_sent: now });
        self.last_proposed = Some(now);
        move_offer(own, self)
    }

    /// The next frame with items that it lacks, and the bytes of these.
    fn next_frame(&mut self, now: Time, logs: &Logs, settings: &Settings) -> Option<(FeedMessage, usize)> {
        if self.frames_in_flight.front().is_some_and(|(_, _, at)| now - *at > self.resend_timeout(settings)) {
            self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
            self.frames_in_flight.clear();
            self.positions.values_mut().for_each(SourcePosition::rewind);
        }
        let bytes_in_flight: usize = self.frames_in_flight.iter().map(|(_, bytes, _)| bytes).sum();
        let window = if self.class.is_slow { settings.slow_window_bytes } else { settings.window_bytes };
        // After a timeout a slow follower is probed with a single frame.
        let window = if self.class.is_slow && self.consecutive_timeouts > 0 { 1 } else { window };
        if bytes_in_flight >= window
            || self.frames_in_flight.len() >= MAX_FRAMES_IN_FLIGHT
            || self.stamp.is_none() && !self.frames_in_flight.is_empty()
        {
            return None;
        }
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
            let position = self.positions.entry(*source).or_default();
            if position.incarnation != log.incarnation {
                *position = SourcePosition::new(log.incarnation, 0);
            }
            position.sent = segment.up_to;
            position.in_flight.push_back((segment.up_to, self.last_frame + 1));
            bytes += cost;
            segments.push(segment);
        }
        if segments.is_empty() {
            return None;
        }
        let message = self.build_frame(now, segments);
        self.frames_in_flight.push_back((self.last_frame, bytes, now));
        Some((message, bytes))
    }

    /// A frame of the given segments; without any it is a heartbeat.
    fn build_frame(&mut self, now: Time, segments: Vec<super::Segment>) -> FeedMessage {
        self.last_frame += 1;
        self.last_sent = now;
        let echo = self.stamp.map(|(stamp, at)| Echo { stamp, held: now - at });
        FeedMessage::Frame { fence: self.fence, frame: self.last_frame, echo, class: self.class, segments }
    }
}

/// What a round needs to know of the other members.
pub(super) struct OtherCarriers<'a> {
    /// The latest load reports of live members, and when each was received.
    pub loads: &'a [(MemberId, CarrierLoad, Time)],
    /// How far this member itself lags behind the sources.
    pub own_lag: Span,
}

impl OtherCarriers<'_> {
    fn count_with_followers(&self) -> usize {
        self.loads.iter().filter(|(_, load, _)| load.followers > 0).count()
    }
}

/// All followers of a member.
#[derive(Clone, Debug)]
pub(super) struct Carrier {
    own: MemberId,
    carried: BTreeMap<MemberId, CarriedFollower>,
    /// The first follower of the next round: of the regular ones and of the slow ones.
    next_served: [MemberId; 2],
    /// Moving average of the bytes sent per round to followers that are not slow.
    mean_round_bytes: f64,
    followers_lag: Span,
    /// Since when these followers have been lagging compared with those of other members.
    all_lagging_since: Option<Time>,
    last_tick: Time,
    lag_ignored_until: Time,
    pub moves: u64,
}

impl Carrier {
    pub fn new(own: MemberId, now: Time) -> Carrier {
        Carrier {
            own,
            carried: BTreeMap::new(),
            next_served: [MemberId(0); 2],
            mean_round_bytes: 0.0,
            followers_lag: Span::ZERO,
            all_lagging_since: None,
            last_tick: now,
            lag_ignored_until: now,
            moves: 0,
        }
    }

    pub fn load(&self, settings: &Settings) -> CarrierLoad {
        let slow = self.carried.values().filter(|carried| carried.class.is_slow).count();
        let has_places = self.carried.len() < settings.max_followers;
        let spare = settings.round_bytes as f64
            - self.mean_round_bytes
            - slow as f64 * f64::from(self.bytes_per_follower());
        let spare_bytes = if has_places { spare.max(0.0) as u32 } else { 0 };
        CarrierLoad {
            followers: (self.carried.len() - slow) as u16,
            slow_followers: slow as u16,
            spare_bytes,
            lag: self.followers_lag,
        }
    }

    /// Mean bytes per round that one regular follower needs.
    fn bytes_per_follower(&self) -> u32 {
        let count = self.carried.values().filter(|carried| !carried.class.is_slow).count();
        (self.mean_round_bytes / count.max(1) as f64) as u32 + 1
    }

    pub fn carried(&self) -> impl Iterator<Item = (MemberId, bool)> + '_ {
        self.carried.iter().map(|(id, carried)| (*id, carried.class.is_slow))
    }

    /// Number of positions and of frames in flight, over all followers.
    pub fn size(&self) -> (usize, usize) {
        let sizes =
            self.carried.values().map(|carried| (carried.positions.len(), carried.frames_in_flight.len()));
        sizes.fold((0, 0), |sum, carried| (sum.0 + carried.0, sum.1 + carried.1))
    }

    /// Handles a message from a follower.
    pub fn handle_follower(
        &mut self,
        now: Time,
        from: MemberId,
        message: FeedMessage,
        settings: &Settings,
        out: &mut VecDeque<Effect>,
    ) {
        match message {
            FeedMessage::Subscribe { fence, stamp, class, positions } if fence.carrier == self.own => {
                if positions.len() > settings.max_sources {
                    return;
                }
                let known = self.carried.get(&from);
                if known.is_some_and(|known| known.fence >= fence) {
                    return;
                }
                if known.is_none() && self.carried.len() >= settings.max_followers {
                    out.push_back(Effect::Send {
                        to: from,
                        message: FeedMessage::SubscribeRejected { fence },
                    });
                    return;
                }
                let mut carried = CarriedFollower::new(now, fence, &positions, class);
                carried.stamp = Some((stamp, now));
                carried.arrived = class.is_slow.then_some(now);
                self.carried.insert(from, carried);
            }
            FeedMessage::Ack { fence, frame, stamp, positions } => {
                let Some(carried) = self.carried.get_mut(&from) else { return };
                if carried.fence == fence && positions.len() <= settings.max_sources {
                    carried.acknowledge(now, frame, stamp, &positions);
                }
            }
            // Another member carries it under a newer fence.
            FeedMessage::CarriedElsewhere { fence }
                if self.carried.get(&from).is_some_and(|known| known.fence < fence) =>
            {
                self.carried.remove(&from);
            }
            _ => {}
        }
    }

    /// Handles a member's message about a move.
    pub fn handle_member(
        &mut self,
        now: Time,
        from: MemberId,
        message: FeedMessage,
        settings: &Settings,
        out: &mut VecDeque<Effect>,
    ) {
        match message {
            FeedMessage::OfferMove { follower, fence, stamp, positions, class }
                if fence.carrier == self.own =>
            {
                if positions.len() > settings.max_sources {
                    return;
                }
                let known = self.carried.get(&follower).map(|known| known.fence);
                let has_places = self.carried.len() < settings.max_followers;
                let message = match known {
                    Some(known) if known >= fence => FeedMessage::MoveAccepted { follower, fence },
                    None if !has_places => FeedMessage::MoveRejected { follower, fence },
                    _ => {
                        let mut carried = CarriedFollower::new(now, fence, &positions, class);
                        // The time for which the other member held the stamp is left out; this only loosens
                        // the bound.
                        carried.stamp = stamp.map(|stamp| (stamp, now));
                        carried.arrived = Some(now);
                        self.carried.insert(follower, carried);
                        FeedMessage::MoveAccepted { follower, fence }
                    }
                };
                out.push_back(Effect::Send { to: from, message });
            }
            FeedMessage::MoveAccepted { follower, fence } if fence.carrier == from => {
                let proposed = self.carried.get(&follower).and_then(|carried| carried.proposal);
                if proposed.is_some_and(|proposal| proposal.fence == fence) {
                    self.carried.remove(&follower);
                    self.moves += 1;
                    out.push_back(Effect::Send { to: follower, message: FeedMessage::Moved { fence } });
                }
            }
            FeedMessage::MoveRejected { follower, fence } => {
                if let Some(carried) = self.carried.get_mut(&follower) {
                    if carried.proposal.is_some_and(|proposal| proposal.fence == fence) {
                        carried.proposal = None;
                    }
                }
            }
            _ => {}
        }
    }

    pub fn tick(
        &mut self,
        now: Time,
        logs: &Logs,
        others: &OtherCarriers,
        settings: &Settings,
        out: &mut VecDeque<Effect>,
    ) {
        // After a pause of this process the lags are its own doing and not the followers'.
        if now - self.last_tick > Span(settings.interval.0 * 4) {
            self.lag_ignored_until = now + settings.slow_after;
        }
        self.last_tick = now;
        self.carried.retain(|_, carried| now - carried.last_heard <= settings.follower_timeout);
        if settings.regroup {
            self.classify(now, logs, others, settings);
            self.propose_moves(now, others, settings, out);
        }
        self.send(now, logs, settings, out);
    }

    /// Sends frames within the round's budget, to regular followers first.
    fn send(&mut self, now: Time, logs: &Logs, settings: &Settings, out: &mut VecDeque<Effect>) {
        let mut left = settings.round_bytes;
        for slow in [false, true] {
            let first = self.next_served[usize::from(slow)];
            let ids: Vec<MemberId> = self
                .carried
                .range(first..)
                .chain(self.carried.range(..first))
                .filter(|(_, carried)| carried.class.is_slow == slow)
                .map(|(id, _)| *id)
                .collect();
            for id in ids {
                let Some(carried) = self.carried.get_mut(&id) else { continue };
                while left > 0 {
                    let Some((message, bytes)) = carried.next_frame(now, logs, settings) else { break };
                    left = left.saturating_sub(bytes);
                    out.push_back(Effect::Send { to: id, message });
                }
                if left == 0 {
                    self.next_served[usize::from(slow)] = id;
                    break;
                }
            }
            if !slow {
                self.mean_round_bytes +=
                    ((settings.round_bytes - left) as f64 - self.mean_round_bytes) / 20.0;
            }
        }
        for (id, carried) in
            self.carried.iter_mut().filter(|(_, carried)| now - carried.last_sent >= settings.heartbeat)
        {
            out.push_back(Effect::Send { to: *id, message: carried.build_frame(now, Vec::new()) });
        }
    }

    /// Offers a follower to another member.
    pub fn start_move(&mut self, now: Time, follower: MemberId, to: MemberId) -> Option<Effect> {
        self.carried.get_mut(&follower).map(|carried| carried.start_move(now, follower, to))
    }

    /// Classifies followers as slow or regular by their lag compared with the others'.
    fn classify(&mut self, now: Time, logs: &Logs, others: &OtherCarriers, settings: &Settings) {
        let lags: BTreeMap<MemberId, Span> =
            self.carried.iter().map(|(id, carried)| (*id, carried.lag(now, logs))).collect();
        let mut group: Vec<Span> = self
            .carried
            .iter()
            .filter(|(_, carried)| !carried.class.is_slow)
            .map(|(id, _)| lags[id])
            .collect();
        group.sort();
        let own = lower_median(&group);
        self.followers_lag = own.unwrap_or(Span::ZERO) + others.own_lag;
        let limit = |usual: Span| usual.times(settings.slow_factor) + settings.slow_margin;
        // Reports from before this member's followers began to lag say nothing about the present.
        let reported_lags = |after: Time| {
            let fresh = others.loads.iter().filter(|(_, load, at)| load.followers > 0 && *at >= after);
            let mut lags: Vec<Span> = fresh.map(|(_, load, _)| load.lag).collect();
            lags.sort();
            (lags.len(), lower_median(&lags))
        };
        let others_median = reported_lags(now - settings.report_lifetime).1;
        // The number of members whose newer reports are needed.
        let needed = others.count_with_followers().clamp(1, 3);
        let is_own_cause = others_median.is_some_and(|others_median| {
            let is_lagging = |lag: &&Span| **lag + others.own_lag > limit(others_median);
            group.len() >= 2 && group.iter().filter(is_lagging).count() * 5 >= group.len() * 4
        });
        match (is_own_cause, self.all_lagging_since) {
            (false, _) => self.all_lagging_since = None,
            (true, None) => self.all_lagging_since = Some(now),
            _ => {}
        }
        let median = if group.len() >= 3 { own } else { others_median };
        let mut baseline = median.or(others_median).unwrap_or(Span::ZERO);
        if is_own_cause {
            baseline = baseline.max(own.unwrap_or(Span::ZERO));
        }
        let mut has_new_slow = false;
        for (id, carried) in &mut self.carried {
            let lag = lags[id];
            if lag > limit(baseline) && now >= self.lag_ignored_until {
                carried.keeping_up_since = None;
                carried.lagging_since = carried.lagging_since.or(Some(now));
            } else {
                carried.lagging_since = None;
                if Span(lag.0 * 2) <= limit(baseline)
                    && now - carried.last_heard <= Span(settings.heartbeat.0 * 3)
                {
                    carried.keeping_up_since = carried.keeping_up_since.or(Some(now));
                } else {
                    carried.keeping_up_since = None;
                }
            }
            let lagging_for = carried.lagging_since.map_or(Span::ZERO, |since| now - since);
            let keeping_up_for = carried.keeping_up_since.map_or(Span::ZERO, |since| now - since);
            let recovery_time = Span(settings.recovery_time.0 << carried.class.relapses.min(16))
                .min(settings.max_recovery_time);
            // One or two followers are too few to compare; the other members' reports decide then.
            let is_confirmed = || {
                group.len() >= 3
                    || carried.lagging_since.is_some_and(|since| {
                        let (count, others_median) = reported_lags(since);
                        count >= needed
                            && others_median.is_some_and(|others_median| lag > limit(others_median))
                    })
            };
            if !carried.class.is_slow && !is_own_cause && lagging_for >= settings.slow_after && is_confirmed()
            {
                carried.class.is_slow = true;
                carried.proposal = None;
                has_new_slow = true;
            } else if carried.class.is_slow && keeping_up_for >= recovery_time {
                carried.class.is_slow = false;
                carried.needs_placement = true;
                carried.class.relapses = carried.class.relapses.saturating_add(1);
                carried.proposal = None;
                carried.keeping_up_since = None;
            } else if !carried.class.is_slow
                && carried.class.relapses > 0
                && keeping_up_for >= Span(settings.max_recovery_time.0 * 2)
            {
                carried.class.relapses -= 1;
                carried.keeping_up_since = None;
            }
        }
        if has_new_slow {
            // The regular followers may have lagged because of the slow ones.
            self.carried
                .values_mut()
                .filter(|carried| !carried.class.is_slow)
                .for_each(|carried| carried.lagging_since = None);
        }
        self.all_lagging_since = self.all_lagging_since.filter(|since| {
            let is_recent = now - *since < settings.carrier_lag_time;
            let (count, since_then) = reported_lags(*since);
            is_recent
                || count < needed
                || since_then.is_some_and(|others_median| self.followers_lag > limit(others_median))
        });
    }

    /// Offers followers to other members: slow ones to where most slow ones are, all of them if this member's
    /// own links are the cause of their lag, and recovered ones to the member with the most spare bytes.
    fn propose_moves(
        &mut self,
        now: Time,
        others: &OtherCarriers,
        settings: &Settings,
        out: &mut VecDeque<Effect>,
    ) {
        let fresh = || others.loads.iter().filter(|(_, _, at)| now - *at <= settings.report_lifetime);
        let since = self.all_lagging_since.filter(|since| now - *since >= settings.carrier_lag_time);
        let reports_since =
            |since: Time| others.loads.iter().filter(move |(_, load, at)| load.followers > 0 && *at >= since);
        let reports = since.map_or(0, |since| reports_since(since).count());
        let gives_all_away = reports > 0 && reports >= others.count_with_followers().min(3);
        let (mut own, need) = (self.load(settings), self.bytes_per_follower());
        let min_lag = fresh().map(|(_, load, _)| load.lag).min().unwrap_or(Span::ZERO);
        let keeps_up =
            |load: &CarrierLoad| load.lag <= min_lag.times(settings.slow_factor) + settings.slow_margin;
        let fits = || fresh().filter(|(_, load, _)| load.spare_bytes >= need && keeps_up(load));
        let most_spare = || fits().max_by_key(|(id, load, _)| (load.spare_bytes, *id));
        let mut started = 0;
        for (id, carried) in &mut self.carried {
            if let Some(proposal) = &mut carried.proposal {
                if now - proposal.started > settings.proposal_timeout {
                    carried.proposal = None;
                } else if now - proposal.last_sent >= settings.retry_interval {
                    proposal.last_sent = now;
                    out.push_back(move_offer(*id, carried));
                }
                continue;
            }
            // Spare capacity fluctuates, and a slow follower gains little by following it.
            let min_stay = Span(settings.min_stay.0 * if carried.class.is_slow { 10 } else { 1 });
            let is_resting = carried.arrived.is_some_and(|at| now - at < min_stay)
                || carried.last_proposed.is_some_and(|at| now - at < settings.proposal_timeout);
            // Limits the moves per round so that the other members' load reports keep up with them.
            if started >= settings.moves_per_round
                || is_resting && !(carried.needs_placement && carried.last_proposed.is_none())
            {
                continue;
            }
            let target = if carried.class.is_slow {
                // Slow followers are gathered at the member that has most of them, while it has capacity.
                let most_slow = fits()
                    .max_by_key(|(id, load, _)| (load.slow_followers, *id))
                    .filter(|(_, load, _)| load.slow_followers > 0);
                match most_slow {
                    Some((to, load, _))
                        if (load.slow_followers, *to) > (own.slow_followers, self.own)
                            || own.spare_bytes == 0 =>
                    {
                        most_slow
                    }
                    None if own.spare_bytes == 0 => most_spare(),
                    _ => None,
                }
            } else if gives_all_away {
                // Spreads the followers: all members see the same spare capacity.
                let mut to: Vec<_> = fits().collect();
                to.sort_by_key(|(id, _, _)| *id);
                let at = carried.fence.number as usize + started + id.0 as usize;
                to.get(at % to.len().max(1)).copied()
            } else if std::mem::take(&mut carried.needs_placement) {
                most_spare().filter(|(_, load, _)| load.spare_bytes > own.spare_bytes.saturating_add(need))
            } else {
                None
            };
            let Some((to, ..)) = target else { continue };
            out.push_back(carried.start_move(now, *id, *to));
            own.slow_followers = own.slow_followers.saturating_sub(u16::from(carried.class.is_slow));
            started += 1;
        }
    }
}

fn move_offer(follower: MemberId, carried: &CarriedFollower) -> Effect {
    let reached = |(source, position): (&MemberId, &SourcePosition)| Position {
        source: *source,
        incarnation: position.incarnation,
        number: position.acked,
    };
    let fence = carried.proposal.map_or(carried.fence, |proposal| proposal.fence);
    let message = FeedMessage::OfferMove {
        follower,
        fence,
        stamp: carried.stamp.map(|stamp| stamp.0),
        positions: carried.positions.iter().map(reached).collect(),
        class: carried.class,
    };
    Effect::Send { to: fence.carrier, message }
}

fn lower_median(sorted: &[Span]) -> Option<Span> {
    sorted.get(sorted.len().saturating_sub(1) / 2).copied()
}
