//! A feed of items from any member to all members and to followers, in which a slow follower does not delay
//! others. No input or output; time comes in as an argument.
//!
//! Items are numbered per source (one run of a member's process, starting at 1). A source pushes its new
//! items to all members every round; losses are detected by gaps or by the positions that members report to
//! each other, and are repaired from any member. Each member is the carrier of a group of followers and sends
//! to each of them what it lacks according to its acknowledged position in every source; nothing is queued
//! per follower. A follower that is too far behind receives the items that are still valid instead of all of
//! them. See docs/fleet-feed.md.
mod carrier;
mod follower;
mod log;
mod settings;

use crate::common::{Incarnation, MemberId};
use carrier::{Carrier, Logs, OtherCarriers};
use cherrypass::time::{Span, Time};
pub use follower::Follower;
pub use log::{Echo, Item, Segment, Stamp};
use log::{SegmentCheck, SourceLog};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
pub use settings::Settings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Why an item was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    #[error("an item's key has {key} bytes and its value {value}, more than the limit: publish it in parts")]
    TooLarge { key: usize, value: usize },
    #[error("too many unexpired items: use shorter hold times or fewer keys, or raise feed.state_*")]
    Full,
}

impl PublishError {
    /// The error code, for scripts.
    pub fn code(&self) -> &'static str {
        match self {
            PublishError::TooLarge { .. } => "feed-too-big",
            PublishError::Full => "feed-full",
        }
    }
}

/// All items of a source up to `number` have been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    pub source: MemberId,
    pub incarnation: Incarnation,
    pub number: u64,
}

/// The carrier of a follower. Of two fences the greater one is valid; a new run of the follower voids all
/// fences of its earlier runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// The follower's run.
    pub incarnation: Incarnation,
    pub number: u64,
    pub carrier: MemberId,
}

/// How a follower is classified; handed over with it when it moves to another carrier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerClass {
    pub is_slow: bool,
    /// How often it was slow recently; each time doubles the recovery time.
    pub relapses: u8,
}

/// A carrier's load as it reports it to the other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarrierLoad {
    /// Followers that are not slow.
    pub followers: u16,
    pub slow_followers: u16,
    /// Unused bytes of the budget of a round.
    pub spare_bytes: u32,
    /// Lower median of its followers' lags, plus its own lag.
    pub lag: Span,
}

/// A message of the feed. Encoded by position (postcard): the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    // Between members.
    /// The positions of the sender; only the sources it names are compared.
    Positions { stamp: Stamp, load: CarrierLoad, positions: Vec<Position> },
    /// Requests the items after these positions.
    Request { stamp: Stamp, positions: Vec<Position> },
    /// Items, pushed by their source or as the answer to a `Request` (`is_answer`).
    Segments { echo: Option<Echo>, is_answer: bool, segments: Vec<Segment> },
    /// Asks a member to take over a follower.
    OfferMove {
        follower: MemberId,
        fence: Fence,
        stamp: Option<Stamp>,
        positions: Vec<Position>,
        class: FollowerClass,
    },
    /// The sender carries the follower from now on.
    MoveAccepted { follower: MemberId, fence: Fence },
    /// The sender has no capacity for the follower.
    MoveRejected { follower: MemberId, fence: Fence },
    // From a follower to a member.
    /// Asks a member to become the carrier.
    Subscribe { fence: Fence, stamp: Stamp, class: FollowerClass, positions: Vec<Position> },
    /// Acknowledges the frames up to `frame`, with the positions in the sources that they contained.
    Ack { fence: Fence, frame: u64, stamp: Stamp, positions: Vec<Position> },
    /// Answer to a carrier whose fence is outdated; `fence` is the valid one.
    CarriedElsewhere { fence: Fence },
    // From a member to a follower.
    /// The next items for the follower; without segments a heartbeat.
    Frame { fence: Fence, frame: u64, echo: Option<Echo>, class: FollowerClass, segments: Vec<Segment> },
    /// Another member carries the follower now.
    Moved { fence: Fence },
    /// The member has no capacity for another follower.
    SubscribeRejected { fence: Fence },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: FeedMessage,
    },
    /// Deliver the next item of a source. `age` is an upper bound.
    Deliver {
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        key: Vec<u8>,
        value: Vec<u8>,
        age: Span,
    },
    /// Deliver the items up to a number that are still valid, in order: the missing ones were replaced by a
    /// later item of their key (in this list or still to come) or have expired.
    State {
        source: MemberId,
        incarnation: Incarnation,
        up_to: u64,
        items: Vec<Item>,
    },
    Log(String),
}

impl Effect {
    /// Queues items for delivery: one by one if no number is missing, else as a `State`.
    fn push_items(
        out: &mut VecDeque<Effect>,
        source: MemberId,
        incarnation: Incarnation,
        up_to: u64,
        items: Vec<Item>,
        is_complete: bool,
    ) {
        if !is_complete {
            out.push_back(Effect::State { source, incarnation, up_to, items });
            return;
        }
        for Item { number, key, value, age, .. } in items {
            out.push_back(Effect::Deliver { source, incarnation, number, key, value, age });
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Peer {
    is_dead: bool,
    /// Its latest stamp, and when it was received.
    stamp: Option<(Stamp, Time)>,
    /// Its latest load report, and when it was received.
    load: Option<(CarrierLoad, Time)>,
}

impl Peer {
    fn echo(&self, now: Time) -> Option<Echo> {
        self.stamp.map(|(stamp, at)| Echo { stamp, held: now - at })
    }
}

/// A number of a source that another member has reported and this one lacks.
#[derive(Clone, Debug)]
struct Missing {
    incarnation: Incarnation,
    number: u64,
    reported_by: MemberId,
    since: Time,
    /// When it was last reported, and whether by more than one member: a wrong number from a single member
    /// must not make this one count as lagging.
    last_reported: Time,
    is_confirmed: bool,
}

/// A member's side of the feed: source, receiver and carrier.
#[derive(Clone, Debug)]
pub struct Feed {
    settings: Settings,
    own: MemberId,
    incarnation: Incarnation,
    peers: BTreeMap<MemberId, Peer>,
    followers: BTreeSet<MemberId>,
    logs: Logs,
    carrier: Carrier,
    missing: BTreeMap<MemberId, Missing>,
    last_request: Option<Time>,
    request_attempts: u32,
    /// Bytes that may still be sent this round to members that lack items.
    repair_bytes_left: usize,
    /// The last own item that was pushed to all members.
    pushed_up_to: u64,
    /// Sources with new items since the last round.
    updated_sources: BTreeSet<MemberId>,
    /// The order in which the other members are sent reports, and the index of the next one.
    peer_order: Vec<MemberId>,
    next_peer: usize,
    last_full_report: Time,
    /// Reports that are due, so that each member receives a stamp within `Settings::stamp_interval`.
    stamp_credit: f64,
    last_expiry: Time,
    rng: Pcg64Mcg,
    out: VecDeque<Effect>,
}

impl Feed {
    /// `members`: all listed members (at most `Settings::max_sources`), with or without this one. `followers`:
    /// those that may subscribe.
    pub fn new(
        settings: Settings,
        own: MemberId,
        incarnation: Incarnation,
        members: &[MemberId],
        followers: &[MemberId],
        seed: u64,
        now: Time,
    ) -> Feed {
        let peers: BTreeMap<MemberId, Peer> = (members.iter().filter(|id| **id != own))
            .take(settings.max_sources - 1)
            .map(|id| (*id, Peer::default()))
            .collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut peer_order: Vec<MemberId> = peers.keys().copied().collect();
        peer_order.shuffle(&mut rng);
        Feed {
            own,
            incarnation,
            followers: followers.iter().copied().collect(),
            logs: BTreeMap::from([(own, SourceLog::new(incarnation))]),
            carrier: Carrier::new(own, now),
            missing: BTreeMap::new(),
            last_request: None,
            request_attempts: 0,
            repair_bytes_left: settings.repair_bytes,
            pushed_up_to: 0,
            updated_sources: BTreeSet::new(),
            next_peer: 0,
            last_full_report: Time(0),
            stamp_credit: peer_order.len() as f64,
            peer_order,
            peers,
            last_expiry: now,
            rng,
            out: VecDeque::new(),
            settings,
        }
    }

    #[allow(clippy::should_implement_trait)]
    /// The next effect. Call until there is none after each call and before the next one: ages in messages
    /// are relative to the time of the call.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.out.pop_front()
    }

    /// Publishes an item and returns its number. It is replaced by the next item of its key and expires after
    /// `hold`.
    pub fn publish(
        &mut self,
        now: Time,
        key: Vec<u8>,
        value: Vec<u8>,
        hold: Span,
    ) -> Result<u64, PublishError> {
        if !self.settings.accepts(&key, &value) {
            return Err(PublishError::TooLarge { key: key.len(), value: value.len() });
        }
        let Some(log) = self.logs.get_mut(&self.own) else { return Err(PublishError::Full) };
        let hold = hold.min(log::MAX_HOLD);
        let number = log.up_to + 1;
        let item = Item { number, key, value, hold, age: Span::ZERO };
        log.expire(now, &self.settings);
        if !log.fits(&self.settings, &item) {
            return Err(PublishError::Full);
        }
        log.append(now, vec![item], number, true, &self.settings);
        Ok(number)
    }

    /// Another member's status, from the failure detector.
    pub fn set_member_alive(&mut self, _now: Time, who: MemberId, alive: bool) {
        if let Some(peer) = self.peers.get_mut(&who) {
            peer.is_dead = !alive;
        }
    }

    /// Offers a follower to another member, as before a planned stop; it is carried here until that member
    /// has accepted it.
    pub fn start_move(&mut self, now: Time, follower: MemberId, to: MemberId) {
        if self.peers.contains_key(&to) {
            let offer = self.carrier.start_move(now, follower, to);
            self.out.extend(offer);
        }
    }

    /// The followers carried here, and whether each is classified as slow.
    pub fn carried_followers(&self) -> impl Iterator<Item = (MemberId, bool)> + '_ {
        self.carrier.carried()
    }

    /// This member's load as a carrier.
    pub fn load(&self) -> CarrierLoad {
        self.carrier.load(&self.settings)
    }

    /// Number of moves started here and accepted by another member.
    pub fn completed_moves(&self) -> u64 {
        self.carrier.moves
    }

    /// Items and bytes held of all sources; positions and frames in flight of all followers.
    pub fn size(&self) -> (usize, usize, usize, usize) {
        let (items, bytes) =
            self.logs.values().map(SourceLog::size).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let (positions, frames_in_flight) = self.carrier.size();
        (items, bytes, positions, frames_in_flight)
    }

    /// Handles a message; senders that are not listed are ignored.
    pub fn receive(&mut self, now: Time, from: MemberId, message: FeedMessage) {
        if self.peers.contains_key(&from) {
            self.handle_member(now, from, message);
        } else if self.followers.contains(&from) {
            self.carrier.handle_follower(now, from, message, &self.settings, &mut self.out);
        }
    }

    fn handle_member(&mut self, now: Time, from: MemberId, message: FeedMessage) {
        if let FeedMessage::Positions { stamp, .. } | FeedMessage::Request { stamp, .. } = &message {
            let Some(peer) = self.peers.get_mut(&from) else { return };
            // A delayed stamp must not replace a newer one: the echo of an older stamp gives a looser bound.
            if peer.stamp.is_none_or(|(known, _)| known < *stamp) {
                peer.stamp = Some((*stamp, now));
            }
        }
        match message {
            FeedMessage::Positions { load, positions, .. }
                if positions.len() <= self.settings.max_sources =>
            {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.load = Some((load, now));
                }
                let mut ahead = Vec::new();
                for position in positions {
                    let own = self.position_of(position.source);
                    let theirs = (position.incarnation, position.number);
                    match own.map(|own| (own.incarnation, own.number)) {
                        Some(ours) if ours > theirs => ahead.extend(own),
                        Some(ours) if ours == theirs => {}
                        _ => self.note_missing(now, from, position),
                    }
                }
                if !ahead.is_empty() {
                    self.send_positions(now, from, ahead);
                }
                self.request_missing(now, from, false);
            }
            FeedMessage::Request { positions, .. } if positions.len() <= self.settings.max_sources => {
                self.answer_request(now, from, &positions)
            }
            FeedMessage::Segments { echo, is_answer: answer, segments } => {
                let transit = echo.and_then(|echo| echo.transit(now, self.incarnation));
                for segment in segments.into_iter().take(self.settings.max_segments) {
                    self.apply_segment(now, from, segment, transit);
                }
                self.request_missing(now, from, answer);
            }
            FeedMessage::OfferMove { follower, .. } if !self.followers.contains(&follower) => {}
            message => self.carrier.handle_member(now, from, message, &self.settings, &mut self.out),
        }
    }

    fn stamp(&self, now: Time) -> Stamp {
        Stamp { run: self.incarnation, clock: now.0 }
    }

    fn position_of(&self, source: MemberId) -> Option<Position> {
        self.logs.get(&source).map(|log| Position { source, incarnation: log.incarnation, number: log.up_to })
    }

    /// Notes that another member has more items of a source.
    fn note_missing(&mut self, now: Time, reported_by: MemberId, position: Position) {
        if !self.peers.contains_key(&position.source) || position.number == 0 {
            return;
        }
        let Position { incarnation, number, .. } = position;
        let new =
            Missing { incarnation, number, reported_by, since: now, last_reported: now, is_confirmed: false };
        let known = self.missing.entry(position.source).or_insert(new);
        known.last_reported = now;
        known.is_confirmed |= known.reported_by != reported_by;
        if (known.incarnation, known.number) < (incarnation, number) {
            (known.incarnation, known.number, known.reported_by) = (incarnation, number, reported_by);
        }
    }

    fn apply_segment(&mut self, now: Time, from: MemberId, segment: Segment, transit: Option<Span>) {
        let (source, incarnation) = (segment.source, segment.incarnation);
        if !self.peers.contains_key(&source) {
            return;
        }
        let (up_to, head) = (segment.up_to, segment.head);
        let at = self.position_of(source);
        let check = segment.check_against(&self.settings, at, transit.unwrap_or(Span::ZERO));
        match check {
            SegmentCheck::Invalid | SegmentCheck::Known => return,
            SegmentCheck::New { items, is_complete } if transit.is_some() => {
                if at.is_none_or(|at| at.incarnation != incarnation) {
                    self.logs.insert(source, SourceLog::new(incarnation));
                }
                let Some(log) = self.logs.get_mut(&source) else { return };
                let delivered = log.delivered_up_to;
                log.delivered_up_to = delivered.max(up_to);
                let mut fresh = items.clone();
                log.append(now, items, up_to, is_complete, &self.settings);
                self.updated_sources.insert(source);
                if up_to > delivered {
                    fresh.retain(|item| item.number > delivered);
                    let is_complete = fresh.len() as u64 == up_to - delivered;
                    Effect::push_items(&mut self.out, source, incarnation, up_to, fresh, is_complete);
                }
            }
            // Without an echo the age of the items has no bound; the answer to a request has one.
            _ => {}
        }
        let reached = self.position_of(source).map(|position| (position.incarnation, position.number));
        if reached.is_none_or(|at| at < (incarnation, head)) {
            self.note_missing(now, from, Position { source, incarnation, number: head });
        }
    }

    /// Requests missing items. `has_answer`: the last request was answered, so the next one may be sent at
    /// once.
    fn request_missing(&mut self, now: Time, to: MemberId, has_answer: bool) {
        let logs = &self.logs;
        let lifetime = self.settings.report_lifetime;
        self.missing.retain(|source, missing| {
            let at = logs.get(source).map(|log| (log.incarnation, log.up_to));
            now - missing.last_reported <= lifetime
                && at.is_none_or(|at| at < (missing.incarnation, missing.number))
        });
        let is_request_pending =
            self.last_request.is_some_and(|at| now - at < Span(self.settings.interval.0 * 3));
        if self.missing.is_empty() {
            self.last_request = None;
            self.request_attempts = 0;
        } else if has_answer || !is_request_pending {
            self.last_request = Some(now);
            let positions = self.missing.iter().take(self.settings.max_segments).map(|(source, missing)| {
                self.position_of(*source).unwrap_or(Position {
                    source: *source,
                    incarnation: missing.incarnation,
                    number: 0,
                })
            });
            let message = FeedMessage::Request { stamp: self.stamp(now), positions: positions.collect() };
            self.out.push_back(Effect::Send { to, message });
        }
    }

    /// Answers a request within this round's repair budget.
    fn answer_request(&mut self, now: Time, to: MemberId, positions: &[Position]) {
        let (mut segments, mut bytes) = (Vec::new(), 0);
        let max_bytes = self.settings.frame_bytes.min(self.repair_bytes_left);
        for position in positions {
            if segments.len() >= self.settings.max_segments || bytes >= max_bytes {
                break;
            }
            let Some(log) =
                self.logs.get(&position.source).filter(|log| log.incarnation >= position.incarnation)
            else {
                continue;
            };
            let after = if log.incarnation == position.incarnation { position.number } else { 0 };
            let Some((segment, cost)) = log.segment(now, position.source, after, max_bytes - bytes) else {
                continue;
            };
            if bytes > 0 && bytes + cost > max_bytes {
                continue;
            }
            bytes += cost;
            segments.push(segment);
        }
        if segments.is_empty() {
            return;
        }
        self.repair_bytes_left = self.repair_bytes_left.saturating_sub(bytes);
        let echo = self.peers.get(&to).and_then(|peer| peer.echo(now));
        self.out.push_back(Effect::Send {
            to,
            message: FeedMessage::Segments { echo, is_answer: true, segments },
        });
    }

    fn send_positions(&mut self, now: Time, to: MemberId, positions: Vec<Position>) {
        let message = FeedMessage::Positions { stamp: self.stamp(now), load: self.load(), positions };
        self.out.push_back(Effect::Send { to, message });
    }

    /// The periodic timer, called every `Settings::interval`.
    pub fn tick(&mut self, now: Time) {
        self.repair_bytes_left = self.settings.repair_bytes;
        self.push_own_items(now);
        self.report_positions(now);
        if !self.missing.is_empty() {
            // Asks the member that reported it and a random one in turn: the former may have failed.
            let reporter = self.missing.values().next().map(|missing| missing.reported_by);
            let other = self.peer_order.choose(&mut self.rng).copied();
            let to = if self.request_attempts.is_multiple_of(2) { reporter } else { other };
            self.request_attempts = self.request_attempts.wrapping_add(1);
            if let Some(to) = to.or(other) {
                self.request_missing(now, to, false);
            }
        }
        if now - self.last_expiry >= Span::seconds(1.0) {
            self.last_expiry = now;
            for log in self.logs.values_mut() {
                log.expire(now, &self.settings);
            }
        }
        let loads: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_dead)
            .filter_map(|(id, peer)| peer.load.map(|(load, at)| (*id, load, at)))
            .filter(|(.., at)| now - *at <= self.settings.report_lifetime)
            .collect();
        // Numbers that no member has reported for a while no longer exist anywhere.
        let lately = Span(self.settings.heartbeat.0 * 6);
        let counts = |missing: &&Missing| missing.is_confirmed && now - missing.last_reported <= lately;
        let own_lag = self.missing.values().filter(counts).map(|missing| now - missing.since).max();
        let own_lag = own_lag.unwrap_or(Span::ZERO);
        let others = OtherCarriers { loads: &loads, own_lag };
        self.carrier.tick(now, &self.logs, &others, &self.settings, &mut self.out);
    }

    /// Sends own items published since the last round to all members.
    fn push_own_items(&mut self, now: Time) {
        let Some(log) = self.logs.get(&self.own) else { return };
        let Some((segment, _)) = log.segment(now, self.own, self.pushed_up_to, self.settings.frame_bytes)
        else {
            return;
        };
        self.pushed_up_to = segment.up_to;
        for (to, peer) in self.peers.iter().filter(|(_, peer)| !peer.is_dead) {
            let message = FeedMessage::Segments {
                echo: peer.echo(now),
                is_answer: false,
                segments: vec![segment.clone()],
            };
            self.out.push_back(Effect::Send { to: *to, message });
        }
    }

    /// Reports positions: changed ones to two random members, all of them to one member every
    /// `report_interval`, and a stamp to each member within `stamp_interval`.
    fn report_positions(&mut self, now: Time) {
        if self.peer_order.is_empty() {
            return;
        }
        let updated = std::mem::take(&mut self.updated_sources);
        let updated: Vec<Position> =
            updated.into_iter().filter_map(|source| self.position_of(source)).collect();
        if !updated.is_empty() {
            for _ in 0..self.peer_order.len().min(2) {
                let to = self.peer_order[self.rng.gen_range(0..self.peer_order.len())];
                self.send_positions(now, to, updated.clone());
            }
        }
        let is_full_report = now - self.last_full_report >= self.settings.report_interval;
        self.stamp_credit += self.peer_order.len() as f64 * self.settings.interval.as_seconds()
            / self.settings.stamp_interval.as_seconds();
        self.stamp_credit = self.stamp_credit.min(self.peer_order.len() as f64);
        let mut reports = (self.stamp_credit as usize).max(usize::from(is_full_report));
        let mut positions: Vec<Position> = Vec::new();
        if is_full_report {
            self.last_full_report = now;
            positions = self.logs.keys().filter_map(|source| self.position_of(*source)).collect();
        }
        while reports > 0 {
            reports -= 1;
            self.stamp_credit -= 1.0;
            let to = self.peer_order[self.next_peer % self.peer_order.len()];
            self.next_peer = (self.next_peer + 1) % self.peer_order.len();
            self.send_positions(now, to, std::mem::take(&mut positions));
        }
        self.stamp_credit = self.stamp_credit.max(0.0);
    }
}
