//! Applies the effects that the protocols return: messages to the dispatcher, events and log lines.
use super::messages::kind;
use super::texts::{host_name, key_name, kind_text, member_state_text, phase_text, unreachable_text};
use super::{EventLoop, Input, Role};
use crate::delivery::{Delivery, DeliveryEvent};
use crate::FromFleet;
use cherrypass::time::{Time, UnixTime};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::limits::{Allowance, LimitKey};
use cherrypass_fleet::members::MemberState;
use cherrypass_fleet::node::{Effect, Message};
use cherrypass_fleet::{delivery, feed};
use serde_json::json;

/// Maximum number of allowances kept for confirmations and status: 1,024 cold hosts by own demand, as many by
/// the demand of others, and those of the overall limits.
const MAX_ALLOWANCES: usize = 4_096;

impl EventLoop {
    /// Applies all effects that the protocols have returned.
    pub fn apply_effects(&mut self, now: Time) {
        loop {
            match &mut self.role {
                Role::Member(fleet) => {
                    let Some(effect) = fleet.next_effect(now) else { break };
                    self.apply_fleet_effect(now, effect);
                }
                Role::Follower(follower) => {
                    let Some(effect) = follower.next_effect() else { break };
                    self.apply_follower_effect(now, effect);
                }
                Role::Unlisted => break,
            }
        }
        while let Some(effect) = self.delivery.as_mut().and_then(Delivery::next_effect) {
            self.apply_delivery_effect(now, effect);
        }
    }

    fn apply_delivery_effect(&mut self, now: Time, effect: delivery::Effect) {
        let message = match effect {
            delivery::Effect::Send { to, message } => {
                let Ok(payload) = postcard::to_stdvec(&message) else { return };
                return self.send_payload(now, to, kind::DELIVERY, &payload);
            }
            delivery::Effect::Log(line) => return (self.log)(&format!("delivery: {line}")),
            delivery::Effect::Deliver { first, records } => DeliveryEvent::Changes { first, records },
            delivery::Effect::ReadLog(reads) => {
                self.events.write_event(now, "read-log", |_| json!({ "reads": reads }));
                (self.log)(if reads {
                    "delivery: no carrier confirms that it has all changes; reading the change log directly"
                } else {
                    "delivery: receiving changes from a carrier"
                });
                DeliveryEvent::ReadLogDirectly(reads)
            }
            delivery::Effect::KnownUpTo(at) => DeliveryEvent::CompleteUpTo(self.clock.instant(at)),
        };
        (self.notify_dispatcher)(FromFleet::Delivery(message));
    }

    fn apply_fleet_effect(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(now, to, &message),
            Effect::Allowance { key, amount, until, after } => {
                self.announce_allowance(now, key, Allowance { amount, until, after })
            }
            Effect::Verdict { .. } => self.announce_verdict(now, effect),
            Effect::Withdraw { host } => {
                self.events.write_event(now, "withdraw", |_| json!({ "host": host_name(host) }));
                (self.notify_dispatcher)(FromFleet::WithdrawVerdict { host });
            }
            Effect::Store { ticket, record } => {
                let own = self.own_inputs.clone();
                self.rollout_store.store_record(&record, move |is_stored| {
                    let _ = own.send(Input::RecordStored { ticket, is_stored });
                });
            }
            Effect::ApplyRules { number, text } => self.apply_rules(now, number, text),
            Effect::MemberChanged { who, state, incarnation } => {
                self.log_member_change(now, who, state, incarnation);
            }
            Effect::LinksDegraded(is_degraded) => self.log_link_state(now, is_degraded),
            Effect::SteppedDown => {
                (self.log)(
                    "fleet: a newer process uses this one's name; this one no longer takes part: stop it, or give it a \
                     unique name",
                );
                self.events.write_event(now, "stepped-down", |_| json!({}));
            }
            Effect::FeedDelivered { source, incarnation, number, is_state } => {
                self.log_feed_delivery(now, source, incarnation, number, is_state);
            }
            Effect::Log(line) => (self.log)(&line),
        }
    }

    fn apply_follower_effect(&mut self, now: Time, effect: feed::Effect) {
        match effect {
            feed::Effect::Send { to, message } => self.send(now, to, &Message::Feed(message)),
            feed::Effect::Deliver { source, incarnation, number, .. } => {
                self.log_feed_delivery(now, source, incarnation, number, false);
            }
            feed::Effect::State { source, incarnation, up_to, .. } => {
                self.log_feed_delivery(now, source, incarnation, up_to, true);
            }
            feed::Effect::Log(line) => (self.log)(&line),
        }
    }

    fn log_feed_delivery(
        &mut self,
        now: Time,
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        state: bool,
    ) {
        if self.events.is_on() {
            let values = json!({ "source": self.member_name(source), "sinc": incarnation.0, "n": number });
            self.events.write_event(now, if state { "state" } else { "deliver" }, |_| values);
        }
    }

    fn announce_allowance(&mut self, now: Time, key: LimitKey, allowance: Allowance) {
        self.last_allowance_number += 1;
        let Allowance { amount, until, after } = allowance;
        if self.allowances.len() >= MAX_ALLOWANCES && !self.allowances.contains_key(&key) {
            // Dropping a cold host with an expired allowance is safe: its next allowance is announced again.
            let expired = self
                .allowances
                .iter()
                .find(|(key, (_, kept))| matches!(key, LimitKey::ColdHost(_)) && kept.until <= now);
            if let Some(expired) = expired.map(|(key, _)| *key) {
                self.allowances.remove(&expired);
            }
        }
        if self.allowances.len() < MAX_ALLOWANCES || self.allowances.contains_key(&key) {
            self.allowances.insert(key, (self.last_allowance_number, allowance));
        }
        self.events.write_event(now, "part", |clock| {
            let until = clock.unix(until);
            json!({ "key": key_name(key), "amount": amount, "until": until, "after": after })
        });
        let (number, until) = (self.last_allowance_number, self.clock.instant(until));
        (self.notify_dispatcher)(FromFleet::Allowance { key, number, amount, until, after });
    }

    fn announce_verdict(&mut self, now: Time, effect: Effect) {
        let Effect::Verdict { host, since, kind, weight, until, age, reporters } = effect else { return };
        self.events.write_event(now, "hearsay", |_| {
            let (since, kind) = (since.map(|since| since.0), kind_text(kind));
            json!({ "host": host_name(host), "since": since, "kind": kind, "tellers": reporters,
                    "age_ms": age.0 / 1000, "hold_ms": (until - now).0 / 1000 })
        });
        let (since, until) = (since.map(|since| UnixTime(since.0)), self.clock.instant(until));
        (self.notify_dispatcher)(FromFleet::Verdict {
            host,
            started_at: since,
            kind,
            weight,
            until,
            age,
            reporters,
        });
    }

    fn apply_rules(&mut self, now: Time, number: u64, text: String) {
        (self.log)(&format!("rollout: rules {number} are in force"));
        let phase = match &self.role {
            Role::Member(fleet) => fleet.rollout().map(|rollout| rollout.status().step.phase),
            Role::Follower(_) | Role::Unlisted => None,
        };
        self.events.write_event(now, "rules", |_| {
            let why = phase.map(phase_text);
            json!({ "number": number, "why": why })
        });
        (self.notify_dispatcher)(FromFleet::Rules { number, text: text.into() });
    }

    fn log_member_change(&mut self, now: Time, who: MemberId, state: MemberState, incarnation: Incarnation) {
        let name = self.member_name(who);
        // Suspicions are not logged: most are refuted, and with many members there is always one.
        let is_reachable = matches!(state, MemberState::Alive | MemberState::Suspect);
        let peer = self.peers.get_mut(&who);
        if peer.is_some_and(|peer| std::mem::replace(&mut peer.is_reachable, is_reachable) != is_reachable) {
            (self.log)(&format!(
                "fleet: {name} {}",
                if is_reachable { "is reachable" } else { unreachable_text(state) }
            ));
        }
        let state = member_state_text(state);
        let values = json!({ "who": name, "standing": state, "sinc": incarnation.0 });
        self.events.write_event(now, "member", |_| values);
    }

    fn log_link_state(&mut self, now: Time, is_degraded: bool) {
        (self.log)(if is_degraded {
            "fleet: most members do not answer this dispatcher: its own links are degraded; check its network"
        } else {
            "fleet: this dispatcher's own links have recovered"
        });
        self.events.write_event(now, "own-trouble", |_| json!({ "trouble": is_degraded }));
    }
}
