//! Client connections. One thread accepts and reads all of them, so that idle connections don't cost threads;
//! answers are written by the router, or by a thread per slow reader.
mod accept;
mod answers;
mod client;
mod closing;
mod lingering;
mod queue;
mod reading;
mod shutdown;
mod state;

pub use self::answers::{Outlet, ToClient};
pub use self::client::{RouterSenders, READ_BYTES};
pub use self::shutdown::{Shutdown, Stage};
use self::state::{Clients, EVENTS_PER_WAIT, LISTENER, SWEEP_INTERVAL};
use crate::capacity::Gauge;
use crate::clock;
use cherrypass::time::{Span, Time};
use nix::errno::Errno;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;

/// How often connections are checked during shutdown.
const STOPPING_SWEEP_INTERVAL: Span = Span::millis(20);
/// How often the queue and messages that are not forwarded yet are checked.
const QUEUE_POLL_INTERVAL: Span = Span::millis(2);

/// Limits of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    pub max_clients: usize,
    pub write_timeout: Span,
    /// Maximum bytes of messages that have come in part.
    pub max_partial_bytes: usize,
}

/// Accepts and reads client connections until the process ends.
pub fn listen(
    listener: TcpListener,
    limits: ClientLimits,
    router: RouterSenders,
    shutdown: Arc<Shutdown>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
    epoll.add(&listener, EpollEvent::new(EpollFlags::EPOLLIN, LISTENER))?;
    let (admitted, lingering, queue, next_id, unforwarded) = Default::default();
    let (accept_paused_until, accept_failures) = (None, None);
    let ClientLimits { max_clients, write_timeout, max_partial_bytes } = limits;
    let mut clients = Clients {
        listener,
        epoll,
        max_clients,
        write_timeout,
        partial_messages: Gauge::default(),
        max_partial_bytes,
        router,
        shutdown,
        admitted,
        lingering,
        queue,
        next_id,
        unforwarded,
        accept_paused_until,
        accept_failures,
    };
    clients.run()
}

impl Clients {
    fn run(&mut self) -> io::Result<()> {
        let mut events = [EpollEvent::empty(); EVENTS_PER_WAIT];
        let mut sweep_at = clock::now() + SWEEP_INTERVAL;
        loop {
            let event_count = self.wait(&mut events, sweep_at)?;
            self.mark_closed(&events[..event_count]);
            self.handle_events(&events[..event_count])?;
            if self.forward_messages().is_err() {
                return Ok(());
            }
            self.admit_queued();
            let now = clock::now();
            self.resume_accepting(now)?;
            if now >= sweep_at {
                let is_closing = self.shutdown.has_reached(Stage::Closing);
                sweep_at = now + self.sweep_interval();
                self.sweep(now, is_closing)?;
            }
        }
    }

    /// Waits for events until the next check is due; returns their number.
    fn wait(&self, events: &mut [EpollEvent], sweep_at: Time) -> io::Result<usize> {
        let is_polling = !self.queue.is_empty() || !self.unforwarded.is_empty();
        let wait = if is_polling { QUEUE_POLL_INTERVAL } else { sweep_at - clock::now() };
        let wait = self.accept_paused_until.map_or(wait, |resume_at| wait.min(resume_at - clock::now()));
        match self.epoll.wait(events, EpollTimeout::from((wait.0 / 1000 + 1) as u16)) {
            Err(Errno::EINTR) => Ok(0),
            result => Ok(result?),
        }
    }

    /// Notes which peers have closed their connections, before any input is read.
    fn mark_closed(&mut self, events: &[EpollEvent]) {
        let closed = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
        for event in events.iter().filter(|event| event.events().intersects(closed)) {
            if let Some(client) = self.admitted.get_mut(&event.data()) {
                client.connection.mark_peer_closed();
                client.unforwarded.clear();
            }
            self.queued_client_closed(event.data());
        }
    }

    fn handle_events(&mut self, events: &[EpollEvent]) -> io::Result<()> {
        for event in events {
            match event.data() {
                LISTENER => self.accept()?,
                key if self.lingering.contains_key(&key) => self.discard_input(key),
                key if self.admitted.contains_key(&key) => drop(self.read(key)),
                key => self.queued_client_sent(key),
            }
        }
        Ok(())
    }

    fn sweep_interval(&self) -> Span {
        if self.shutdown.has_reached(Stage::Stopping) {
            STOPPING_SWEEP_INTERVAL
        } else {
            SWEEP_INTERVAL
        }
    }
}
