//! Verdicts as items of the feed.
use super::state::FleetNode;
use crate::common::{Incarnation, MemberId};
use crate::verdicts;
use cherrypass::time::{Span, Time};

/// First byte of the feed keys of verdicts.
const VERDICT_KEY: u8 = b'v';

impl FleetNode {
    /// Passes an item of the feed on; items with an unknown key are ignored.
    pub(super) fn handle_feed_item(
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

    /// Publishes a verdict through the feed. Returns a log line if that fails.
    pub(super) fn publish(
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
}
