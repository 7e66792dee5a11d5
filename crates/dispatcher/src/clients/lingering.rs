//! Discards the input of connections that this side has shut down, until the peer closes them too.
use super::client::READ_BYTES;
use super::state::{Clients, Lingering};
use crate::clock;
use crate::connection::Connection;
use crate::msgpack;
use cherrypass::time::{Span, Time};
use std::sync::Arc;

/// Limits on discarding the input of connections that this side has shut down: time, bytes and connections.
/// By the protocol a request that crosses the shutdown arrives within 50 ms.
const LINGER_TIMEOUT: Span = Span::millis(300);
const MAX_LINGER_BYTES: usize = 4 * msgpack::MAX_MESSAGE_BYTES;
const MAX_LINGERING: usize = 16;

impl Clients {
    pub(super) fn linger(&mut self, key: u64, connection: Arc<Connection>) {
        self.lingering.insert(key, Lingering { connection, until: clock::now() + LINGER_TIMEOUT, bytes: 0 });
        if self.lingering.len() > MAX_LINGERING {
            self.lingering.keys().next().copied().into_iter().for_each(|first| self.end_linger(first));
        }
        self.discard_input(key);
    }

    /// Stops discarding the input of connections whose time is over.
    pub(super) fn end_expired_lingers(&mut self, now: Time) {
        let is_expired = |(key, lingering): (&u64, &Lingering)| (now >= lingering.until).then_some(*key);
        let expired: Vec<u64> = self.lingering.iter().filter_map(is_expired).collect();
        expired.into_iter().for_each(|key| self.end_linger(key));
    }

    /// Stops discarding a connection's input.
    pub(super) fn end_linger(&mut self, key: u64) {
        if let Some(lingering) = self.lingering.remove(&key) {
            let _ = self.epoll.delete(&*lingering.connection);
        }
    }

    pub(super) fn discard_input(&mut self, key: u64) {
        let Some(lingering) = self.lingering.get_mut(&key) else { return };
        let discarded = lingering.connection.discard(&mut [0; READ_BYTES]);
        lingering.bytes += discarded.unwrap_or(0);
        if discarded.is_none() || lingering.bytes > MAX_LINGER_BYTES {
            self.end_linger(key);
        }
    }
}
