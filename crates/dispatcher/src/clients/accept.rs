//! Accepts connections, and pauses accepting when descriptors or memory run out.
use super::client::Client;
use super::state::{AcceptFailures, Clients, EVENTS_PER_WAIT, LISTENER, SWEEP_INTERVAL};
use crate::clock;
use crate::connection::is_timeout;
use crate::ids::ClientId;
use cherrypass::time::{Span, Time};
use nix::sys::epoll::{EpollEvent, EpollFlags};
use std::io;

/// First pause of accepting after a system shortage; and how long one may last before it is treated like a
/// lack of descriptors.
const MIN_ACCEPT_PAUSE: Span = Span::millis(5);
const MAX_SHORTAGE: Span = Span::millis(1_000);
/// Descriptors left to the change log and hosts when fewer are available than the limits promise.
const SPARE_DESCRIPTORS: usize = 8;

/// Why an accept failed.
enum AcceptError {
    /// The process is out of descriptors.
    NoDescriptor,
    /// The system is out of descriptors or memory.
    SystemShortage,
    /// The connection was lost before it was accepted; others are not affected.
    ConnectionLost,
}

impl AcceptError {
    fn from_io(error: &io::Error) -> AcceptError {
        match error.raw_os_error() {
            Some(libc::EMFILE) => AcceptError::NoDescriptor,
            Some(libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => AcceptError::SystemShortage,
            _ => AcceptError::ConnectionLost,
        }
    }
}

impl Clients {
    /// Accepts pending connections, a limited number so that others are read in between. Connections left in
    /// the backlog would use the system's sockets all the same, and clients with requests would wait behind
    /// idle ones.
    pub(super) fn accept(&mut self) -> io::Result<()> {
        let mut has_accepted = false;
        for _ in 0..EVENTS_PER_WAIT {
            if self.accept_paused_until.is_some() {
                return Ok(());
            }
            match self.listener.accept() {
                Ok((stream, address)) => {
                    let client = Client::new(ClientId(self.next_id), stream, address);
                    self.next_id += 1;
                    self.admit_or_queue(client);
                }
                Err(error) if is_timeout(&error) => return Ok(()),
                Err(error) => match AcceptError::from_io(&error) {
                    // Goes on with the next pending connection.
                    AcceptError::ConnectionLost => continue,
                    AcceptError::NoDescriptor => return self.pause_without_descriptors(&error),
                    AcceptError::SystemShortage => return self.pause_for_shortage(&error),
                },
            }
            self.accept_failures = None;
            has_accepted = true;
        }
        // Avoids a busy loop while every accept fails.
        if has_accepted {
            Ok(())
        } else {
            self.pause_accepting(MIN_ACCEPT_PAUSE)
        }
    }

    pub(super) fn resume_accepting(&mut self, now: Time) -> io::Result<()> {
        match self.accept_paused_until.take_if(|until| now >= *until) {
            Some(_) => self.poll_listener(true),
            None => Ok(()),
        }
    }

    /// Turns the listener's events on or off.
    fn poll_listener(&self, is_on: bool) -> io::Result<()> {
        let flags = if is_on { EpollFlags::EPOLLIN } else { EpollFlags::empty() };
        Ok(self.epoll.modify(&self.listener, &mut EpollEvent::new(flags, LISTENER))?)
    }

    /// Pauses accepting after a system shortage, with a growing delay. A lasting shortage is treated like a
    /// lack of descriptors.
    fn pause_for_shortage(&mut self, error: &io::Error) -> io::Result<()> {
        let now = clock::now();
        let failures = self.accept_failures(now, MIN_ACCEPT_PAUSE);
        if now - failures.since > MAX_SHORTAGE {
            return self.pause_without_descriptors(error);
        }
        let pause = failures.next_pause;
        failures.next_pause = (pause + pause).min(SWEEP_INTERVAL);
        self.pause_accepting(pause)
    }

    /// The current series of failures, or a new one.
    fn accept_failures(&mut self, now: Time, next_pause: Span) -> &mut AcceptFailures {
        self.accept_failures.get_or_insert(AcceptFailures { since: now, next_pause, is_logged: false })
    }

    fn pause_accepting(&mut self, pause: Span) -> io::Result<()> {
        self.accept_paused_until = Some(clock::now() + pause);
        self.poll_listener(false)
    }

    /// Pauses accepting when the process is out of descriptors. The first time the number of clients is
    /// reduced, so that idle clients don't hold the descriptors that the change log and hosts need.
    fn pause_without_descriptors(&mut self, error: &io::Error) -> io::Result<()> {
        let now = clock::now();
        let failures = self.accept_failures(now, SWEEP_INTERVAL);
        if !std::mem::replace(&mut failures.is_logged, true) {
            tracing::warn!("accept fails: {error}; fewer clients are admitted");
            self.max_clients =
                self.max_clients.min(self.admitted.len().saturating_sub(SPARE_DESCRIPTORS)).max(1);
        }
        while let Some(queued) = self.queue.pop_front() {
            self.refuse(queued.client);
        }
        while let Some(key) = self.lingering.keys().next().copied() {
            self.end_linger(key);
        }
        self.pause_accepting(SWEEP_INTERVAL)
    }
}
