//! Answers the requests of the control listener.
use super::texts::{key_name, member_state_text, phase_text};
use super::{EventLoop, Role};
use crate::control::{Answer, ControlRequest};
use cherrypass::time::Time;
use cherrypass_fleet::node::FleetNode;
use serde_json::{json, Value};

impl EventLoop {
    pub(super) fn answer_control(&mut self, now: Time, request: ControlRequest) -> Answer {
        let order = match request {
            ControlRequest::Status => return (200, self.status(now).to_string() + "\n"),
            ControlRequest::Order(order) => order,
        };
        let Role::Member(fleet) = &mut self.role else {
            return (404, "a follower takes no orders\n".to_owned());
        };
        match fleet.order(now, order) {
            None => (400, "rollouts are disabled here; add fleet.rollout to the settings\n".to_owned()),
            Some(Err(error)) => (400, format!("{}: {error}\n", error.code())),
            Some(Ok(())) => (200, self.status(now).to_string() + "\n"),
        }
    }

    fn status(&self, now: Time) -> Value {
        let delivery = self.delivery.as_ref().map(|delivery| delivery.status(|id| self.member_name(id)));
        let Role::Member(fleet) = &self.role else {
            return json!({ "fleet": self.fleet, "me": self.events.me, "inc": self.incarnation.0,
                "refused": self.rejections.total, "delivery": delivery });
        };
        json!({
            "fleet": self.fleet, "me": self.events.me, "inc": self.incarnation.0,
            "own_trouble": fleet.members().are_links_degraded(), "stepped_down": fleet.has_stepped_down(),
            "refused": self.rejections.total, "members": self.members_status(fleet),
            "limits": self.limits_status(now), "feed": self.feed_status(fleet),
            "rollout": self.rollout_status(fleet), "delivery": delivery,
        })
    }

    fn members_status(&self, fleet: &FleetNode) -> Vec<Value> {
        let members = fleet.members().listed().map(|(id, location)| {
            let state = fleet.members().state(id).map(member_state_text);
            let inc = fleet.members().incarnation(id).map(|incarnation| incarnation.0);
            json!({ "name": self.member_name(id), "location": location.0, "standing": state, "inc": inc })
        });
        members.collect()
    }

    fn limits_status(&self, now: Time) -> Vec<Value> {
        let allowances = self.allowances.iter().map(|(key, (_, allowance))| {
            let left_ms = (allowance.until - now).0 / 1000;
            json!({ "key": key_name(*key), "amount": allowance.at(now), "left_ms": left_ms, "after": allowance.after })
        });
        allowances.collect()
    }

    fn feed_status(&self, fleet: &FleetNode) -> Option<Value> {
        let feed = fleet.feed()?;
        let (load, (items, bytes, ..)) = (feed.load(), feed.size());
        let carried =
            feed.carried_followers().map(|(id, slow)| json!({ "name": self.member_name(id), "slow": slow }));
        Some(json!({
            "lag_ms": load.lag.0 / 1000, "carried": carried.collect::<Vec<_>>(),
            "moves": feed.completed_moves(), "items": items, "bytes": bytes,
        }))
    }

    fn rollout_status(&self, fleet: &FleetNode) -> Option<Value> {
        let status = fleet.rollout()?.status();
        let halt = status.halt.map(|halt| json!({ "by": self.member_name(halt.by), "why": halt.why }));
        let phase = phase_text(status.step.phase);
        Some(json!({
            "number": status.step.version.number, "phase": phase, "stage": status.step.stage,
            "stages": status.stages, "in_force": status.in_force, "base": status.step.base.number,
            "may_come": status.unconfirmed_step.map(|step| step.version.number), "halt": halt,
            "runner": status.runner.map(|id| self.member_name(id)), "able": status.is_able, "waits": status.waiting_for,
        }))
    }
}
