//! One dispatcher's node of the fleet: combines membership, limits, verdicts, feed and rollout. Dispatches
//! messages to them, passes changes of membership and feed items between them, and returns the effects of
//! all of them.
use crate::common::{Incarnation, MemberId};
use crate::feed::{self, Feed};
use crate::limits::{self, LimitKey, Limits};
use crate::members::{self, MemberState, Members};
use crate::rollout::{self, Rollout};
use crate::verdicts::{self, Finding, FindingKind, UsedBy, Verdicts};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// First byte of the feed keys of verdicts.
const VERDICT_KEY: u8 = b'v';

/// Settings of all components; one that is `None` is off.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub members: members::Settings,
    pub limits: Option<limits::Settings>,
    pub verdicts: Option<verdicts::Settings>,
    /// Only used with verdicts or followers.
    pub feed: feed::Settings,
    pub rollout: Option<rollout::Settings>,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Members(members::Message),
    Limits(limits::Message),
    Feed(feed::FeedMessage),
    Rollout(rollout::RolloutMessage),
}

/// Why a message was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The sender is not listed, or is a follower and sent a message that only members send.
    UnlistedSender,
    /// The sender's run is outdated, or its start is too far in the future.
    InvalidRun,
    /// The component it is for is off here.
    ComponentOff,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: Message,
    },
    /// The dispatcher's allowance of a limit; the caller confirms it once it is in force.
    Allowance {
        key: LimitKey,
        amount: f64,
        until: Time,
        after: f64,
    },
    /// A verdict on a host from findings of other dispatchers.
    Verdict {
        host: HostId,
        since: Option<Incarnation>,
        kind: FindingKind,
        weight: f64,
        until: Time,
        age: Span,
        reporters: u8,
    },
    /// Withdraws a verdict.
    Withdraw {
        host: HostId,
    },
    /// A record to store durably; the caller then reports whether it was stored.
    Store {
        ticket: u64,
        record: rollout::Record,
    },
    /// Rules to put into force; the caller reports if it can't use them.
    ApplyRules {
        number: u64,
        text: String,
    },
    /// The state or incarnation of a member changed.
    MemberChanged {
        who: MemberId,
        state: MemberState,
        incarnation: Incarnation,
    },
    /// Whether this dispatcher's own links are degraded.
    LinksDegraded(bool),
    /// A newer process runs under the same name; this one sends nothing more.
    SteppedDown,
    /// An item of the feed was delivered, or a state that replaces all items up to `number`.
    FeedDelivered {
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        is_state: bool,
    },
    Log(String),
}

/// One dispatcher as a member of the fleet.
pub struct FleetNode {
    own: MemberId,
    locations: BTreeMap<MemberId, LocationId>,
    followers: Vec<MemberId>,
    members: Members,
    limits: Option<Limits>,
    verdicts: Option<Verdicts>,
    feed: Option<Feed>,
    rollout: Option<Rollout>,
    stepped_down: bool,
    effects: VecDeque<Effect>,
}

impl FleetNode {
    /// `listed`: all members, including this one. `every`: interval of the periodic timer. `stored`: the
    /// records stored by earlier runs.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        settings: Settings,
        own: MemberId,
        incarnation: Incarnation,
        listed: &[(MemberId, LocationId)],
        followers: &[MemberId],
        stored: Vec<rollout::Record>,
        every: Span,
        seed: u64,
        now: Time,
    ) -> FleetNode {
        let ids: Vec<MemberId> = listed.iter().map(|(id, _)| *id).collect();
        let locations: BTreeMap<MemberId, LocationId> = listed.iter().copied().collect();
        let location = locations.get(&own).copied().unwrap_or_default();
        let limits = settings.limits.map(|settings| {
            let settings = limits::Settings { interval: every, ..settings };
            Limits::new(settings, own, incarnation, &ids, seed ^ 1, now)
        });
        let needs_feed = settings.verdicts.is_some() || !followers.is_empty();
        let feed = needs_feed.then(|| {
            let settings = feed::Settings { interval: every, ..settings.feed };
            Feed::new(settings, own, incarnation, &ids, followers, seed ^ 2, now)
        });
        let verdicts = settings
            .verdicts
            .map(|settings| Verdicts::new(settings, own, location, incarnation, seed ^ 3, now));
        let rollout = settings.rollout.map(|settings| {
            Rollout::new(settings, own, location, incarnation, listed, stored, seed ^ 4, now)
        });
        FleetNode {
            own,
            locations,
            followers: followers.to_vec(),
            members: Members::new(settings.members, own, incarnation, listed, seed, now),
            limits,
            verdicts,
            feed,
            rollout,
            stepped_down: false,
            effects: VecDeque::new(),
        }
    }

    pub fn has_stepped_down(&self) -> bool {
        self.stepped_down
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn limits(&self) -> Option<&Limits> {
        self.limits.as_ref()
    }

    pub fn feed(&self) -> Option<&Feed> {
        self.feed.as_ref()
    }

    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// Handles a message. An ignored one changes nothing.
    pub fn receive(
        &mut self,
        now: Time,
        from: MemberId,
        incarnation: Incarnation,
        message: Message,
    ) -> Result<(), Rejection> {
        if self.stepped_down {
            return Ok(());
        }
        if !self.locations.contains_key(&from) {
            return match (message, &mut self.feed) {
                (Message::Feed(message), Some(feed)) if self.followers.contains(&from) => {
                    feed.receive(now, from, message);
                    Ok(())
                }
                _ => Err(Rejection::UnlistedSender),
            };
        }
        let is_current = self.members.accept(now, from, incarnation);
        if let Message::Members(message) = message {
            // Also from an outdated run, which thus learns of the newer one.
            self.members.receive(now, from, message);
            return if is_current { Ok(()) } else { Err(Rejection::InvalidRun) };
        }
        if !is_current {
            return Err(Rejection::InvalidRun);
        }
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.note_incarnation(now, from, incarnation);
        }
        match (message, &mut self.limits, &mut self.feed, &mut self.rollout) {
            (Message::Limits(message), Some(limits), ..) => limits.receive(now, from, message),
            (Message::Feed(message), _, Some(feed), _) => feed.receive(now, from, message),
            (Message::Rollout(message), .., Some(rollout)) => rollout.receive(now, from, message),
            _ => return Err(Rejection::ComponentOff),
        }
        Ok(())
    }

    /// Periodic work of all components.
    pub fn tick(&mut self, now: Time) {
        if let Some(limits) = &mut self.limits {
            limits.tick(now);
        }
        if self.stepped_down {
            return;
        }
        self.members.tick(now);
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.tick(now);
        }
        // Lets the feed send in this tick what verdicts publish in it.
        while let Some(effect) = self.next_verdicts_effect(now) {
            self.effects.push_back(effect);
        }
        if let Some(feed) = &mut self.feed {
            feed.tick(now);
        }
        if let Some(rollout) = &mut self.rollout {
            rollout.tick(now);
        }
    }

    /// Begins an orderly shutdown.
    pub fn leave(&mut self, now: Time) {
        self.members.leave(now);
    }

    /// Sets what the dispatcher would use of a limit if it could; has to be repeated at least every 10 s.
    pub fn set_demand(&mut self, now: Time, key: LimitKey, amount: f64) {
        if let Some(limits) = &mut self.limits {
            limits.set_demand(now, key, amount);
        }
    }

    /// Confirms that the last allowance returned for this key is in force.
    pub fn confirm_applied(&mut self, now: Time, key: LimitKey) {
        if let Some(limits) = &mut self.limits {
            limits.confirm_applied(now, key);
        }
    }

    /// See `Verdicts::report_finding`.
    pub fn report_finding(&mut self, now: Time, finding: Finding) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.report_finding(now, finding);
        }
    }

    /// See `Verdicts::report_recovery`.
    pub fn report_recovery(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.report_recovery(now, host);
        }
    }

    /// See `Verdicts::set_thresholds`.
    pub fn set_verdict_thresholds(&mut self, now: Time, reporters: u8, location_fraction: f64) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.set_thresholds(now, reporters, location_fraction);
        }
    }

    /// See `Verdicts::refute`.
    pub fn refute_verdict(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.refute(now, host);
        }
    }

    /// See `Verdicts::update_host`.
    pub fn update_host(&mut self, now: Time, host: HostId, since: Option<Incarnation>, used_by: UsedBy) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.update_host(now, host, since, used_by);
        }
    }

    /// See `Verdicts::remove_host`.
    pub fn remove_host(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.remove_host(now, host);
        }
    }

    /// Passes the dispatcher's figures of a period to the rollout.
    pub fn report_figures(&mut self, now: Time, figures: rollout::Figures) {
        if let Some(rollout) = &mut self.rollout {
            rollout.add_figures(now, figures);
        }
    }

    /// Carries out an operator's order; `None` if the rollout is off.
    pub fn order(&mut self, now: Time, order: rollout::Order) -> Option<Result<(), rollout::OrderError>> {
        Some(self.rollout.as_mut()?.order(now, order))
    }

    /// Reports that the rules of this number can't be used.
    pub fn reject_rules(&mut self, now: Time, number: u64, why: &str) {
        if let Some(rollout) = &mut self.rollout {
            rollout.version_rejected(now, number, why);
        }
    }

    /// Reports that a record was stored, or could not be.
    pub fn confirm_stored(&mut self, now: Time, ticket: u64, is_stored: bool) {
        if let Some(rollout) = &mut self.rollout {
            rollout.record_written(now, ticket, is_stored);
        }
    }

    /// The next effect to carry out. `now`: that of the preceding call, as messages contain ages at that
    /// time.
    pub fn next_effect(&mut self, now: Time) -> Option<Effect> {
        loop {
            let effect = self.effects.pop_front().or_else(|| self.next_members_effect(now));
            let effect = effect.or_else(|| self.next_limits_effect());
            let effect = effect.or_else(|| self.next_feed_effect(now));
            let effect = effect.or_else(|| self.next_verdicts_effect(now));
            let effect = effect.or_else(|| self.next_rollout_effect())?;
            // After stepping down nothing is sent, so that two processes under one name never both lend and
            // vote.
            if !(self.stepped_down && matches!(effect, Effect::Send { .. } | Effect::ApplyRules { .. })) {
                return Some(effect);
            }
        }
    }

    fn next_members_effect(&mut self, now: Time) -> Option<Effect> {
        Some(match self.members.next_effect()? {
            members::Effect::Send { to, message } => Effect::Send { to, message: Message::Members(message) },
            members::Effect::Changed { who, state, incarnation } => {
                self.set_alive(now, who, !matches!(state, MemberState::Dead | MemberState::Left));
                Effect::MemberChanged { who, state, incarnation }
            }
            members::Effect::LinksDegraded(degraded) => {
                if let Some(verdicts) = &mut self.verdicts {
                    verdicts.set_links_degraded(now, degraded);
                }
                Effect::LinksDegraded(degraded)
            }
            members::Effect::SteppedDown => {
                self.stepped_down = true;
                if let Some(limits) = &mut self.limits {
                    limits.step_down(now);
                }
                Effect::SteppedDown
            }
            members::Effect::Log(line) => Effect::Log(line),
        })
    }

    fn set_alive(&mut self, now: Time, who: MemberId, alive: bool) {
        if let Some(limits) = &mut self.limits {
            limits.set_alive(now, who, alive);
        }
        if let Some(feed) = &mut self.feed {
            feed.set_member_alive(now, who, alive);
        }
        if let (Some(verdicts), Some(location)) = (&mut self.verdicts, self.locations.get(&who)) {
            verdicts.set_alive(now, who, *location, alive);
        }
        if let Some(rollout) = &mut self.rollout {
            rollout.set_member_alive(now, who, alive);
        }
    }

    fn next_limits_effect(&mut self) -> Option<Effect> {
        Some(match self.limits.as_mut()?.next_effect()? {
            limits::Effect::Send { to, message } => Effect::Send { to, message: Message::Limits(message) },
            limits::Effect::Allowance { key, amount, until, after } => {
                Effect::Allowance { key, amount, until, after }
            }
            limits::Effect::Log(line) => Effect::Log(line),
        })
    }

    fn next_feed_effect(&mut self, now: Time) -> Option<Effect> {
        Some(match self.feed.as_mut()?.next_effect()? {
            feed::Effect::Send { to, message } => Effect::Send { to, message: Message::Feed(message) },
            feed::Effect::Deliver { source, incarnation, number, key, value, age } => {
                self.handle_feed_item(now, source, incarnation, &key, &value, age);
                Effect::FeedDelivered { source, incarnation, number, is_state: false }
            }
            feed::Effect::State { source, incarnation, up_to, items } => {
                for item in items {
                    self.handle_feed_item(now, source, incarnation, &item.key, &item.value, item.age);
                }
                Effect::FeedDelivered { source, incarnation, number: up_to, is_state: true }
            }
            feed::Effect::Log(line) => Effect::Log(line),
        })
    }

    /// Passes an item of the feed on; items with an unknown key are ignored.
    fn handle_feed_item(
        &mut self,
        now: Time,
        source: MemberId,
        incarnation: Incarnation,
        key: &[u8],
        value: &[u8],
        age: Span,
    ) {
        let location = self.locations.get(&source).copied();
        let (Some(verdicts), Some(location)) = (&mut self.verdicts, location) else { return };
        if key.first() != Some(&VERDICT_KEY) || source == self.own {
            return;
        }
        let message = postcard::from_bytes::<verdicts::Message>(value).ok();
        if let Some(message) = message.filter(|message| message.incarnation == incarnation) {
            verdicts.receive(now, source, location, age, message);
        }
    }

    fn next_verdicts_effect(&mut self, now: Time) -> Option<Effect> {
        loop {
            return Some(match self.verdicts.as_mut()?.next_effect()? {
                verdicts::Effect::Publish { key, message, ttl } => {
                    match self.publish(now, key, &message, ttl) {
                        Some(line) => Effect::Log(line),
                        None => continue,
                    }
                }
                verdicts::Effect::Verdict { host, since, kind, weight, until, age, reporters } => {
                    Effect::Verdict { host, since, kind, weight, until, age, reporters }
                }
                verdicts::Effect::Withdraw { host } => Effect::Withdraw { host },
                verdicts::Effect::Log(line) => Effect::Log(line),
            });
        }
    }

    /// Publishes a verdict through the feed. Returns a log line if that fails.
    fn publish(
        &mut self,
        now: Time,
        mut key: Vec<u8>,
        message: &verdicts::Message,
        ttl: Span,
    ) -> Option<String> {
        key.insert(0, VERDICT_KEY);
        let value = postcard::to_stdvec(message).ok()?;
        let error = self.feed.as_mut()?.publish(now, key, value, ttl).err()?;
        Some(format!("verdicts: not published ({}): {error}", error.code()))
    }

    fn next_rollout_effect(&mut self) -> Option<Effect> {
        Some(match self.rollout.as_mut()?.next_effect()? {
            rollout::Effect::Send { to, message } => Effect::Send { to, message: Message::Rollout(message) },
            rollout::Effect::Store { ticket, record } => Effect::Store { ticket, record },
            rollout::Effect::ApplyRules { number, text } => Effect::ApplyRules { number, text },
            rollout::Effect::Log(line) => Effect::Log(line),
        })
    }
}
