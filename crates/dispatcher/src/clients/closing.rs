//! Closes connections that exceed a timeout, and during shutdown those not in use.
use super::client::Client;
use super::state::Clients;
use crate::connection::CloseReason;
use crate::inbox::{FromClient, Input};
use cherrypass::time::Time;
use nix::sys::epoll::{EpollEvent, EpollFlags};
use std::io;

impl Clients {
    /// Closes connections that exceed a timeout, and during shutdown those not in use.
    pub(super) fn sweep(&mut self, now: Time, is_closing: bool) -> io::Result<()> {
        self.end_expired_lingers(now);
        if is_closing {
            self.accept()?;
        }
        let to_close =
            |(key, client): (&u64, &Client)| Some((*key, client.reason_to_close(now, is_closing)?));
        let closing: Vec<_> = self.admitted.iter().filter_map(to_close).collect();
        for (key, reason) in closing {
            match self.admitted.get_mut(&key) {
                Some(client) if reason == CloseReason::MessageTimeout && client.is_in_use() => {
                    client.finish_open_visits(now, &self.router)
                }
                // Its open visits are being answered.
                Some(client) if reason == CloseReason::NoRoomForMessage && client.is_in_use() => {}
                _ => self.close_unused(key, reason),
            }
        }
        let open_count = self.admitted.len() + self.lingering.len() + self.queue.len();
        if is_closing {
            self.shutdown.set_all_closed(open_count == 0);
        }
        Ok(())
    }

    /// Closes an unused connection, unless a last read finds that a request has just arrived.
    pub(super) fn close_unused(&mut self, key: u64, reason: CloseReason) {
        let Some(client) = self.admitted.get(&key) else { return };
        let last_read_at = client.connection.last_read_at();
        if self.read(key)
            && self.admitted.get(&key).is_some_and(|client| client.connection.last_read_at() == last_read_at)
        {
            self.close(key, reason);
        }
    }

    pub(super) fn close(&mut self, key: u64, reason: CloseReason) {
        let Some(client) = self.admitted.remove(&key) else { return };
        client.close(reason);
        if client.has_sent {
            let _ = self.router.closed.send(Input::Client(client.id, FromClient::Closed));
        }
        let event = &mut EpollEvent::new(EpollFlags::EPOLLIN, key);
        if client.connection.is_peer_closed()
            || client.is_paused && self.epoll.modify(&*client.connection, event).is_err()
        {
            let _ = self.epoll.delete(&*client.connection);
        } else {
            self.linger(key, client.connection.clone());
        }
    }
}
