//! Moves of followers to other members.
use super::carried_follower::CarriedFollower;
use super::carrier::{Carrier, Context, LoadReport, OtherCarriers};
use super::classification::lag_limit;
use super::effects::Effect;
use super::messages::{CarrierLoad, FeedMessage};
use super::position::Position;
use super::settings::Settings;
use super::source_position::SourcePosition;
use crate::common::MemberId;
use cherrypass::time::{Span, Time};

/// Where followers may be moved to in a round.
struct Targets<'a> {
    own: MemberId,
    own_load: CarrierLoad,
    /// Mean bytes per round that one regular follower needs.
    bytes_per_follower: u32,
    /// Members with capacity for one more follower that keep up, by id.
    open: Vec<&'a LoadReport>,
    gives_all_away: bool,
    /// Moves that were offered in this round.
    started: usize,
}

impl Targets<'_> {
    /// The member to move a follower to, if there is one.
    fn select(&self, id: MemberId, carried: &mut CarriedFollower) -> Option<MemberId> {
        let target = if carried.class.is_slow {
            self.for_slow()
        } else if self.gives_all_away {
            // Spreads the followers: all members see the same spare capacity.
            let at = carried.fence.number as usize + self.started + id.0 as usize;
            self.open.get(at % self.open.len().max(1)).copied()
        } else if std::mem::take(&mut carried.needs_placement) {
            let min_bytes = self.own_load.spare_bytes.saturating_add(self.bytes_per_follower);
            self.with_most_spare_bytes().filter(|report| report.load.spare_bytes > min_bytes)
        } else {
            None
        };
        target.map(|report| report.member)
    }

    /// Slow followers are gathered at the member that has most of them, while it has capacity.
    fn for_slow(&self) -> Option<&LoadReport> {
        let most_slow = self
            .open
            .iter()
            .copied()
            .max_by_key(|report| (report.load.slow_followers, report.member))
            .filter(|report| report.load.slow_followers > 0);
        let is_full = self.own_load.spare_bytes == 0;
        match most_slow {
            Some(report) => {
                let has_more =
                    (report.load.slow_followers, report.member) > (self.own_load.slow_followers, self.own);
                (has_more || is_full).then_some(report)
            }
            None if is_full => self.with_most_spare_bytes(),
            None => None,
        }
    }

    fn with_most_spare_bytes(&self) -> Option<&LoadReport> {
        self.open.iter().copied().max_by_key(|report| (report.load.spare_bytes, report.member))
    }

    fn note_move(&mut self, carried: &CarriedFollower) {
        let slow = u16::from(carried.class.is_slow);
        self.own_load.slow_followers = self.own_load.slow_followers.saturating_sub(slow);
        self.started += 1;
    }
}

impl Carrier {
    /// Offers a follower to another member.
    pub fn start_move(&mut self, now: Time, follower: MemberId, to: MemberId) -> Option<Effect> {
        let carried = self.carried.get_mut(&follower)?;
        carried.propose_move(now, to);
        Some(move_offer(follower, carried))
    }

    /// Offers followers to other members: slow ones to where most slow ones are, all of them if this member's
    /// own links are the cause of their lag, and recovered ones to the member with the most spare bytes.
    pub(super) fn propose_moves(&mut self, others: &OtherCarriers, context: &mut Context) {
        let Context { now, settings, .. } = *context;
        let mut targets = self.targets(now, others, settings);
        for (id, carried) in &mut self.carried {
            if carried.proposal.is_some() {
                context.effects.extend(resend_proposal(now, *id, carried, settings));
                continue;
            }
            // Limits the moves per round so that the other members' load reports keep up with them.
            if targets.started >= settings.moves_per_round || !may_move(now, carried, settings) {
                continue;
            }
            let Some(to) = targets.select(*id, carried) else { continue };
            carried.propose_move(now, to);
            context.effects.push_back(move_offer(*id, carried));
            targets.note_move(carried);
        }
    }

    fn targets<'a>(&self, now: Time, others: &OtherCarriers<'a>, settings: &Settings) -> Targets<'a> {
        let (own_load, bytes_per_follower) = (self.load(settings), self.bytes_per_follower());
        let fresh =
            || others.reports.iter().filter(|report| now - report.received <= settings.report_lifetime);
        let min_lag = fresh().map(|report| report.load.lag).min().unwrap_or(Span::ZERO);
        let max_lag = lag_limit(settings, min_lag);
        let is_open = |load: &CarrierLoad| load.spare_bytes >= bytes_per_follower && load.lag <= max_lag;
        let mut open: Vec<&LoadReport> = fresh().filter(|report| is_open(&report.load)).collect();
        open.sort_by_key(|report| report.member);
        let gives_all_away = self.gives_all_away(now, others, settings);
        Targets { own: self.own, own_load, bytes_per_follower, open, gives_all_away, started: 0 }
    }

    /// Whether this member's own links are the cause of its followers' lag: they have all lagged for long,
    /// and enough others have reported since.
    fn gives_all_away(&self, now: Time, others: &OtherCarriers, settings: &Settings) -> bool {
        let Some(since) = self.all_lagging_since.filter(|since| now - *since >= settings.carrier_lag_time)
        else {
            return false;
        };
        let reports = others.reported_lags(since).count;
        reports > 0 && reports >= others.count_with_followers().min(3)
    }
}

/// Gives up a proposal that was not answered in time, or offers the move again.
fn resend_proposal(
    now: Time,
    id: MemberId,
    carried: &mut CarriedFollower,
    settings: &Settings,
) -> Option<Effect> {
    let proposal = carried.proposal.as_mut()?;
    if now - proposal.started > settings.proposal_timeout {
        carried.proposal = None;
        return None;
    }
    if now - proposal.last_sent < settings.retry_interval {
        return None;
    }
    proposal.last_sent = now;
    Some(move_offer(id, carried))
}

/// Whether a follower has stayed long enough, or was classified as regular again and not offered since.
fn may_move(now: Time, carried: &CarriedFollower, settings: &Settings) -> bool {
    // Spare capacity fluctuates, and a slow follower gains little by following it.
    let min_stay = Span(settings.min_stay.0 * if carried.class.is_slow { 10 } else { 1 });
    let is_resting = carried.arrived.is_some_and(|at| now - at < min_stay)
        || carried.last_proposed.is_some_and(|at| now - at < settings.proposal_timeout);
    !is_resting || carried.needs_placement && carried.last_proposed.is_none()
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
        stamp: carried.stamp.map(|latest| latest.stamp),
        positions: carried.positions.iter().map(reached).collect(),
        class: carried.class,
    };
    Effect::Send { to: fence.carrier, message }
}
