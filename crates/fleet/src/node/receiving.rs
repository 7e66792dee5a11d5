//! Messages from other nodes and followers, passed on to the component that they are for.
use super::messages::{Message, Rejection};
use super::state::FleetNode;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::Time;

impl FleetNode {
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
            return self.receive_from_follower(now, from, message);
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
        self.pass_to_component(now, from, message)
    }

    fn receive_from_follower(
        &mut self,
        now: Time,
        from: MemberId,
        message: Message,
    ) -> Result<(), Rejection> {
        match (message, &mut self.feed) {
            (Message::Feed(message), Some(feed)) if self.followers.contains(&from) => {
                feed.receive(now, from, message);
                Ok(())
            }
            _ => Err(Rejection::UnlistedSender),
        }
    }

    fn pass_to_component(&mut self, now: Time, from: MemberId, message: Message) -> Result<(), Rejection> {
        match (message, &mut self.limits, &mut self.feed, &mut self.rollout) {
            (Message::Limits(message), Some(limits), ..) => limits.receive(now, from, message),
            (Message::Feed(message), _, Some(feed), _) => feed.receive(now, from, message),
            (Message::Rollout(message), .., Some(rollout)) => rollout.receive(now, from, message),
            _ => return Err(Rejection::ComponentOff),
        }
        Ok(())
    }
}
