//! Entry points: demand, messages, the periodic timer, and the order of effects.
use super::borrowing::Grant;
use super::limit::Request;
use super::messages::{Allowance, Effect, Message};
use super::settings::LimitKey;
use super::state::{sanitized, Limits};
use crate::common::MemberId;
use cherrypass::time::{Span, Time};

impl Limits {
    /// Sets what this dispatcher would use if it could. Has to be repeated at least every 10 s.
    pub fn set_demand(&mut self, now: Time, key: LimitKey, amount: f64) {
        if self.ensure_limit(now, key, true) {
            if let Some(limit) = self.limits.get_mut(&key) {
                limit.demand = sanitized(amount).min(limit.total);
                limit.demand_at = now;
                limit.has_own_demand |= limit.demand > 0.0;
            }
            self.update_allowance(now, key);
        }
    }

    /// Reports whether another member is alive; dead ones are not asked for loans.
    pub fn set_alive(&mut self, _now: Time, who: MemberId, alive: bool) {
        if alive {
            self.dead.remove(&who);
        } else if self.others.contains(&who) {
            self.dead.insert(who);
        }
    }

    /// A newer process runs under the same name: uses and lends nothing from now on.
    pub fn step_down(&mut self, now: Time) {
        self.stepped_down = true;
        let keys: Vec<LimitKey> = self.limits.keys().copied().collect();
        for key in keys {
            self.update_allowance(now, key);
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Time, from: MemberId, message: Message) {
        if self.stepped_down {
            return;
        }
        if !self.others.contains(&from) {
            return self.count_rejection(now);
        }
        match message {
            Message::Request { incarnation, serial, key, amount, span } => {
                self.handle_request(now, from, incarnation, Request { serial, at: now, amount }, key, span);
            }
            Message::Grant { incarnation, serial, key, amount, span, wait, needs } => {
                if incarnation != self.incarnation {
                    return;
                }
                if let Some(limit) = self.limits.get_mut(&key) {
                    limit.contention += (f64::from(u8::from(needs)) - limit.contention) * 0.1;
                }
                self.handle_grant(now, from, Grant { serial, key, amount, span, wait });
            }
        }
    }

    /// Periodic work: expires leases, updates allowances and sends requests.
    pub fn tick(&mut self, now: Time) {
        let mut requests = self.settings.max_requests as usize;
        for key in self.keys_in_turn() {
            if let Some(limit) = self.limits.get_mut(&key) {
                limit.expire(now, self.settings.lease);
            }
            self.draw_lot(now, key);
            self.update_allowance(now, key);
            if requests == 0 {
                self.next_key = self.next_key.or(Some(key));
            } else if !self.stepped_down {
                requests = requests.saturating_sub(self.request_leases(now, key));
            }
            if self.is_idle(now, key) {
                self.limits.remove(&key);
            }
        }
        self.log_rejections(now);
    }

    /// All keys, from the one at which the last round's requests ran out.
    fn keys_in_turn(&mut self) -> Vec<LimitKey> {
        let mut keys: Vec<LimitKey> = self.limits.keys().copied().collect();
        let first = self.next_key.take().and_then(|next| keys.iter().position(|key| *key >= next));
        keys.rotate_left(first.unwrap_or(0));
        keys
    }

    /// The next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        for (key, limit) in &mut self.limits {
            if let (true, Some(allowance)) = (limit.has_new_allowance, limit.allowance) {
                limit.has_new_allowance = false;
                let Allowance { amount, until, after } = allowance;
                return Some(Effect::Allowance { key: *key, amount, until, after });
            }
        }
        self.effects.pop_front()
    }

    pub(super) fn count_rejection(&mut self, now: Time) {
        self.rejections += 1;
        self.next_rejection_log = self.next_rejection_log.max(now);
    }

    fn log_rejections(&mut self, now: Time) {
        if self.rejections == 0 || now < self.next_rejection_log {
            return;
        }
        let line = format!(
            "limits: rejected {} messages (unlisted sender, value out of range, or too many cold hosts): \
             compare the lists and settings of the members",
            self.rejections
        );
        self.effects.push_back(Effect::Log(line));
        (self.rejections, self.next_rejection_log) = (0, now + Span::millis(60_000));
    }
}
