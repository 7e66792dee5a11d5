//! Messages to a carrier: subscriptions and acknowledgements of followers, and moves offered by members.
use super::carried_follower::CarriedFollower;
use super::carrier::{Carrier, Context};
use super::log::{ReceivedStamp, Stamp};
use super::messages::{FeedMessage, Fence, FollowerClass};
use super::position::Position;
use crate::common::MemberId;

impl Carrier {
    /// Handles a message from a follower.
    pub fn handle_follower(&mut self, from: MemberId, message: FeedMessage, context: &mut Context) {
        match message {
            FeedMessage::Subscribe { fence, stamp, class, positions } if fence.carrier == self.own => {
                self.handle_subscription(from, fence, stamp, class, &positions, context);
            }
            FeedMessage::Ack { fence, frame, stamp, positions } => {
                let Some(carried) = self.carried.get_mut(&from) else { return };
                if carried.fence == fence && positions.len() <= context.settings.max_sources {
                    carried.acknowledge(context.now, frame, stamp, &positions);
                }
            }
            // Another member carries it under a newer fence.
            FeedMessage::CarriedElsewhere { fence }
                if self.carried.get(&from).is_some_and(|carried| carried.fence < fence) =>
            {
                self.carried.remove(&from);
            }
            _ => {}
        }
    }

    fn handle_subscription(
        &mut self,
        from: MemberId,
        fence: Fence,
        stamp: Stamp,
        class: FollowerClass,
        positions: &[Position],
        context: &mut Context,
    ) {
        if positions.len() > context.settings.max_sources {
            return;
        }
        let present_fence = self.carried.get(&from).map(|carried| carried.fence);
        if present_fence.is_some_and(|present| present >= fence) {
            return;
        }
        if present_fence.is_none() && !self.has_places(context) {
            return context.send(from, FeedMessage::SubscribeRejected { fence });
        }
        let mut carried = CarriedFollower::new(context.now, fence, positions, class);
        carried.stamp = Some(ReceivedStamp { stamp, received: context.now });
        carried.arrived = class.is_slow.then_some(context.now);
        self.carried.insert(from, carried);
    }

    fn has_places(&self, context: &Context) -> bool {
        self.carried.len() < context.settings.max_followers
    }

    /// Handles a member's message about a move.
    pub fn handle_member(&mut self, from: MemberId, message: FeedMessage, context: &mut Context) {
        match message {
            FeedMessage::OfferMove { follower, fence, stamp, positions, class }
                if fence.carrier == self.own && positions.len() <= context.settings.max_sources =>
            {
                let message = if self.accept_move(follower, fence, stamp, &positions, class, context) {
                    FeedMessage::MoveAccepted { follower, fence }
                } else {
                    FeedMessage::MoveRejected { follower, fence }
                };
                context.send(from, message);
            }
            FeedMessage::MoveAccepted { follower, fence }
                if fence.carrier == from && self.is_proposed(follower, fence) =>
            {
                self.carried.remove(&follower);
                self.moves += 1;
                context.send(follower, FeedMessage::Moved { fence });
            }
            FeedMessage::MoveRejected { follower, fence } if self.is_proposed(follower, fence) => {
                if let Some(carried) = self.carried.get_mut(&follower) {
                    carried.proposal = None;
                }
            }
            _ => {}
        }
    }

    /// Whether a move under this fence was offered and has not been answered.
    fn is_proposed(&self, follower: MemberId, fence: Fence) -> bool {
        let proposal = self.carried.get(&follower).and_then(|carried| carried.proposal);
        proposal.is_some_and(|proposal| proposal.fence == fence)
    }

    /// Takes over a follower, unless there is no capacity for another one. True if it is carried here.
    fn accept_move(
        &mut self,
        follower: MemberId,
        fence: Fence,
        stamp: Option<Stamp>,
        positions: &[Position],
        class: FollowerClass,
        context: &Context,
    ) -> bool {
        match self.carried.get(&follower).map(|carried| carried.fence) {
            Some(present) if present >= fence => return true,
            None if !self.has_places(context) => return false,
            _ => {}
        }
        let mut carried = CarriedFollower::new(context.now, fence, positions, class);
        // The time for which the other member held the stamp is left out; this only loosens the bound.
        carried.stamp = stamp.map(|stamp| ReceivedStamp { stamp, received: context.now });
        carried.arrived = Some(context.now);
        self.carried.insert(follower, carried);
        true
    }
}
