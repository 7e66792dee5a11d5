//! This member's own items.
use super::effects::{Effect, PublishError};
use super::log::{Item, MAX_HOLD};
use super::messages::FeedMessage;
use super::state::Feed;
use cherrypass::time::{Span, Time};

impl Feed {
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
        let hold = hold.min(MAX_HOLD);
        let number = log.up_to + 1;
        let item = Item { number, key, value, hold, age: Span::ZERO };
        log.expire(now, &self.settings);
        if !log.fits(&self.settings, &item) {
            return Err(PublishError::Full);
        }
        log.append(now, vec![item], number, true, &self.settings);
        Ok(number)
    }

    /// Sends own items published since the last round to all members.
    pub(super) fn push_own_items(&mut self, now: Time) {
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
            self.effects.push_back(Effect::Send { to: *to, message });
        }
    }
}
