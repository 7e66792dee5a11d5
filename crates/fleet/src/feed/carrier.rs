//! The followers that a member carries: their number and load, and what is sent to them in a round.
use super::carried_follower::CarriedFollower;
use super::effects::Effect;
use super::log::Logs;
use super::messages::{CarrierLoad, FeedMessage};
use super::settings::Settings;
use crate::common::MemberId;
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// What every call to the carrier needs.
pub(super) struct Context<'a> {
    pub now: Time,
    pub settings: &'a Settings,
    pub effects: &'a mut VecDeque<Effect>,
}

impl Context<'_> {
    pub fn send(&mut self, to: MemberId, message: FeedMessage) {
        self.effects.push_back(Effect::Send { to, message });
    }
}

/// A member's load report.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    pub member: MemberId,
    pub load: CarrierLoad,
    pub received: Time,
}

/// What a round needs to know of the other members.
pub(super) struct OtherCarriers<'a> {
    /// The latest load reports of live members.
    pub reports: &'a [LoadReport],
    /// How far this member itself lags behind the sources.
    pub own_lag: Span,
}

impl OtherCarriers<'_> {
    pub fn count_with_followers(&self) -> usize {
        self.reports.iter().filter(|report| report.load.followers > 0).count()
    }

    /// Lags of members with followers, reported at this time or later.
    pub fn reported_lags(&self, after: Time) -> ReportedLags {
        let fresh =
            self.reports.iter().filter(|report| report.load.followers > 0 && report.received >= after);
        let mut lags: Vec<Span> = fresh.map(|report| report.load.lag).collect();
        lags.sort();
        ReportedLags { count: lags.len(), median: lower_median(&lags) }
    }
}

/// Lags that other members reported for their followers.
pub(super) struct ReportedLags {
    pub count: usize,
    pub median: Option<Span>,
}

pub(super) fn lower_median(sorted: &[Span]) -> Option<Span> {
    sorted.get(sorted.len().saturating_sub(1) / 2).copied()
}

/// All followers of a member.
#[derive(Clone, Debug)]
pub(super) struct Carrier {
    pub(super) own: MemberId,
    pub(super) carried: BTreeMap<MemberId, CarriedFollower>,
    /// The first follower of the next round: of the regular ones and of the slow ones.
    pub(super) next_served: [MemberId; 2],
    /// Moving average of the bytes sent per round to followers that are not slow.
    pub(super) mean_round_bytes: f64,
    pub(super) followers_lag: Span,
    /// Since when these followers have been lagging compared with those of other members.
    pub(super) all_lagging_since: Option<Time>,
    pub(super) last_tick: Time,
    pub(super) lag_ignored_until: Time,
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
    pub(super) fn bytes_per_follower(&self) -> u32 {
        let count = self.carried.values().filter(|carried| !carried.class.is_slow).count();
        (self.mean_round_bytes / count.max(1) as f64) as u32 + 1
    }

    pub fn carried(&self) -> impl Iterator<Item = (MemberId, bool)> + '_ {
        self.carried.iter().map(|(id, carried)| (*id, carried.class.is_slow))
    }

    /// Number of positions and of frames in flight, over all followers.
    pub fn size(&self) -> (usize, usize) {
        let followers = || self.carried.values();
        let positions = followers().map(|carried| carried.positions.len()).sum();
        let frames_in_flight = followers().map(|carried| carried.frames_in_flight.len()).sum();
        (positions, frames_in_flight)
    }

    pub fn tick(&mut self, logs: &Logs, others: &OtherCarriers, context: &mut Context) {
        let Context { now, settings, .. } = *context;
        // After a pause of this process the lags are its own doing and not the followers'.
        if now - self.last_tick > Span(settings.interval.0 * 4) {
            self.lag_ignored_until = now + settings.slow_after;
        }
        self.last_tick = now;
        self.carried.retain(|_, carried| now - carried.last_heard <= settings.follower_timeout);
        if settings.regroup {
            self.classify(now, logs, others, settings);
            self.propose_moves(others, context);
        }
        self.send(logs, context);
    }

    /// Sends frames within the round's budget, to regular followers first.
    pub(super) fn send(&mut self, logs: &Logs, context: &mut Context) {
        let round_bytes = context.settings.round_bytes;
        let left = self.send_frames(false, round_bytes, logs, context);
        self.mean_round_bytes += ((round_bytes - left) as f64 - self.mean_round_bytes) / 20.0;
        self.send_frames(true, left, logs, context);
        self.send_heartbeats(context);
    }

    /// Sends frames to the slow or to the regular followers, in turn. Returns the bytes that are left.
    fn send_frames(&mut self, slow: bool, mut left: usize, logs: &Logs, context: &mut Context) -> usize {
        for id in self.followers_in_turn(slow) {
            let Some(carried) = self.carried.get_mut(&id) else { continue };
            while left > 0 {
                let frame = carried.next_frame(context.now, logs, context.settings);
                let Some((message, bytes)) = frame else { break };
                left = left.saturating_sub(bytes);
                context.send(id, message);
            }
            if left == 0 {
                self.next_served[usize::from(slow)] = id;
                break;
            }
        }
        left
    }

    /// The slow or the regular followers, from the one at which the last round's budget ran out.
    fn followers_in_turn(&self, slow: bool) -> Vec<MemberId> {
        let first = self.next_served[usize::from(slow)];
        self.carried
            .range(first..)
            .chain(self.carried.range(..first))
            .filter(|(_, carried)| carried.class.is_slow == slow)
            .map(|(id, _)| *id)
            .collect()
    }

    fn send_heartbeats(&mut self, context: &mut Context) {
        for (id, carried) in &mut self.carried {
            if context.now - carried.last_sent >= context.settings.heartbeat {
                context.send(*id, carried.build_frame(context.now, Vec::new()));
            }
        }
    }
}
