//! Reads from admitted clients and forwards their messages to the router.
use super::state::Clients;
use crate::clock;
use crate::connection::CloseReason;
use crate::inbox::Input;
use crossbeam_channel::TrySendError;

impl Clients {
    /// Reads once from a client. Returns whether the connection is still open.
    pub(super) fn read(&mut self, key: u64) -> bool {
        let Some(client) = self.admitted.get_mut(&key) else { return false };
        if client.connection.is_shut_down() {
            let reason = client.connection.close_reason();
            self.close(key, reason);
            return false;
        }
        if !client.unforwarded.is_empty() {
            return true;
        }
        if let Err(reason) = client.read() {
            self.close(key, reason);
            return false;
        }
        if !client.unforwarded.is_empty() {
            self.unforwarded.push_back(key);
        }
        client.reserve_partial_message(&self.partial_messages);
        while self.partial_messages.amount() > self.max_partial_bytes && self.abandon_longest_partial() {}
        true
    }

    /// Drops the message that has been incomplete for longest, of those that take more than an equal part of the memory
    /// for them. Returns whether there was one.
    fn abandon_longest_partial(&mut self) -> bool {
        let now = clock::now();
        let equal_part = self.max_partial_bytes / self.max_clients.max(1);
        let partial = self.admitted.iter().filter_map(|(key, client)| {
            let (bytes, incomplete_for) = client.partial_message(now)?;
            (bytes > equal_part).then_some((incomplete_for, *key))
        });
        let Some((_, key)) = partial.max() else { return false };
        let Some(client) = self.admitted.get_mut(&key) else { return false };
        let was_forwarded = client.unforwarded.is_empty();
        client.abandon_partial_message();
        if was_forwarded && !client.unforwarded.is_empty() {
            self.unforwarded.push_back(key);
        }
        true
    }

    /// Forwards messages to the router, one of each client in turn, until its queue is full. Clients with
    /// messages left are not read from meanwhile.
    pub(super) fn forward_messages(&mut self) -> Result<(), CloseReason> {
        while let Some(key) = self.unforwarded.pop_front() {
            let Some(client) = self.admitted.get_mut(&key) else { continue };
            if client.connection.is_closed() {
                client.unforwarded.clear();
            }
            if let Some(message) = client.unforwarded.pop_front() {
                match self.router.requests.try_send(Input::Client(client.id, message)) {
                    Ok(()) => {}
                    Err(TrySendError::Full(Input::Client(_, message))) => {
                        client.unforwarded.push_front(message);
                        self.unforwarded.push_front(key);
                        break;
                    }
                    Err(_) => return Err(CloseReason::ShuttingDown),
                }
            }
            if client.unforwarded.is_empty() {
                client.pause_reading(false, &self.epoll);
            } else {
                self.unforwarded.push_back(key);
            }
        }
        for key in &self.unforwarded {
            self.admitted.get_mut(key).into_iter().for_each(|client| client.pause_reading(true, &self.epoll));
        }
        Ok(())
    }
}
