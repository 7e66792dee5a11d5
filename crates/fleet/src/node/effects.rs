//! The effects of all components, in one order; changes of membership are passed between them on the way.
use super::messages::{Effect, Message};
use super::state::FleetNode;
use crate::common::MemberId;
use crate::members::MemberState;
use crate::{feed, limits, members, rollout, verdicts};
use cherrypass::time::Time;

impl FleetNode {
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

    pub(super) fn next_verdicts_effect(&mut self, now: Time) -> Option<Effect> {
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

    fn next_rollout_effect(&mut self) -> Option<Effect> {
        Some(match self.rollout.as_mut()?.next_effect()? {
            rollout::Effect::Send { to, message } => Effect::Send { to, message: Message::Rollout(message) },
            rollout::Effect::Store { ticket, record } => Effect::Store { ticket, record },
            rollout::Effect::ApplyRules { number, text } => Effect::ApplyRules { number, text },
            rollout::Effect::Log(line) => Effect::Log(line),
        })
    }
}
