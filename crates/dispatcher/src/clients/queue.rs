//! Admits clients, queues those for which there is no place, and refuses those that waited too long.
use super::client::{read_flags, Client, MIN_EVICTION_AGE};
use super::state::{Clients, QueuedClient};
use crate::clock;
use crate::connection::CloseReason;
use crate::inbox::FromClient;
use crate::msgpack;
use cherrypass::time::{Span, Time};
use nix::sys::epoll::EpollEvent;

/// How long a client is queued for a place before it is refused.
const QUEUE_TIMEOUT: Span = Span::millis(400);
/// Limits of the queue: an absolute one, and a queued client per so many allowed clients. Queued clients use
/// descriptors beyond those reserved for clients and hosts.
const MAX_QUEUED: usize = 16;
const CLIENTS_PER_QUEUED: usize = 8;

impl Clients {
    /// Admits a new client or queues it. If the queue is too long, the oldest client that has sent nothing is
    /// refused, or else the oldest.
    pub(super) fn admit_or_queue(&mut self, client: Client) {
        let key = client.id.0;
        let configured = client.connection.configure(Some(clock::to_std(self.write_timeout)));
        if configured.is_err()
            || self.epoll.add(&*client.connection, EpollEvent::new(read_flags(), key)).is_err()
        {
            client.close(CloseReason::Reset);
            return;
        }
        if self.admitted.len() < self.max_clients && self.queue.is_empty() {
            self.admitted.insert(key, client);
            return;
        }
        self.queue.push_back(QueuedClient { client, queued_at: clock::now(), has_sent: false });
        if self.queue.len() > (self.max_clients / CLIENTS_PER_QUEUED).clamp(1, MAX_QUEUED) {
            let silent = self.queue.iter().position(|queued| !queued.has_sent);
            let first = self.queue.remove(silent.unwrap_or(0));
            first.into_iter().for_each(|queued| self.refuse(queued.client));
        }
    }

    /// The position of a client in the queue.
    fn queue_position(&self, key: u64) -> Option<usize> {
        self.queue.iter().position(|queued| queued.client.id.0 == key)
    }

    /// A queued client has sent something; it is not read before it is admitted.
    pub(super) fn queued_client_sent(&mut self, key: u64) {
        let Some(queued) = self.queue_position(key).map(|place| &mut self.queue[place]) else { return };
        queued.has_sent = true;
        queued.client.pause_reading(true, &self.epoll);
    }

    pub(super) fn queued_client_closed(&mut self, key: u64) {
        let Some(queued) = self.queue_position(key).and_then(|place| self.queue.remove(place)) else {
            return;
        };
        queued.client.connection.mark_peer_closed();
        queued.client.close(CloseReason::ClosedByPeer);
    }

    /// Admits queued clients, those that have sent something first, and refuses those that have waited too
    /// long.
    pub(super) fn admit_queued(&mut self) {
        let now = clock::now();
        while self.admitted.len() + self.queue.len() > self.max_clients && self.evict(now) {}
        while self.admitted.len() < self.max_clients {
            let with_request = self.queue.iter().position(|queued| queued.has_sent);
            let Some(QueuedClient { mut client, .. }) = self.queue.remove(with_request.unwrap_or(0)) else {
                return;
            };
            client.pause_reading(false, &self.epoll);
            self.admitted.insert(client.id.0, client);
        }
        while self.queue.front().is_some_and(|queued| now > queued.queued_at + QUEUE_TIMEOUT) {
            let first = self.queue.pop_front();
            first.into_iter().for_each(|queued| self.refuse(queued.client));
        }
    }

    /// Closes the connection that has been unused longest, preferring those that never sent a message.
    /// Returns whether one was closed.
    fn evict(&mut self, now: Time) -> bool {
        let unused = self.admitted.values().filter_map(|client| Some((client.unused_for(now)?, client)));
        let unused = unused.filter(|(span, _)| *span > MIN_EVICTION_AGE);
        let longest = unused.max_by_key(|(span, client)| (!client.has_sent, *span));
        let Some(key) = longest.map(|(_, client)| client.id.0) else { return false };
        self.close_unused(key, CloseReason::Evicted);
        !self.admitted.contains_key(&key)
    }

    /// Refuses the requests of a client that got no place, and closes its connection.
    pub(super) fn refuse(&mut self, mut client: Client) {
        if client.read().is_ok() {
            for message in std::mem::take(&mut client.unforwarded) {
                if let FromClient::Visit { id, .. } = message {
                    let parts = msgpack::refused(id, Span::ZERO);
                    let _ = client.connection.try_write(&parts.each_ref().map(|part| &part[..]));
                }
            }
        }
        let key = client.id.0;
        client.close(CloseReason::TooManyClients);
        client.pause_reading(false, &self.epoll);
        if !client.connection.is_peer_closed() {
            self.linger(key, client.connection.clone());
        }
    }
}
