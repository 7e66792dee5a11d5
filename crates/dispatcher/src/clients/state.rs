//! The state of the client thread: admitted clients, the queue and connections that are being closed.
use super::client::{Client, RouterSenders};
use super::shutdown::Shutdown;
use crate::capacity::Gauge;
use crate::connection::Connection;
use cherrypass::time::{Span, Time};
use nix::sys::epoll::Epoll;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::Arc;

/// How often connections are checked.
pub(super) const SWEEP_INTERVAL: Span = Span::millis(250);
/// How many events one wait returns at most, and the listener's epoll key.
pub(super) const EVENTS_PER_WAIT: usize = 64;
pub(super) const LISTENER: u64 = u64::MAX;

pub(super) struct Clients {
    pub(super) listener: TcpListener,
    pub(super) epoll: Epoll,
    pub(super) max_clients: usize,
    pub(super) write_timeout: Span,
    /// Memory of messages that have come in part, and its bound.
    pub(super) partial_messages: Gauge,
    pub(super) max_partial_bytes: usize,
    pub(super) router: RouterSenders,
    pub(super) shutdown: Arc<Shutdown>,
    pub(super) admitted: BTreeMap<u64, Client>,
    pub(super) lingering: BTreeMap<u64, Lingering>,
    /// In order of arrival.
    pub(super) queue: VecDeque<QueuedClient>,
    pub(super) next_id: u64,
    /// Clients with messages that the router's queue could not take yet, served in turn. Only these are not
    /// read from while the router is busy, so that a client that sends much delays neither others nor the
    /// news that they left.
    pub(super) unforwarded: VecDeque<u64>,
    /// Until when accepting is paused for lack of resources.
    pub(super) accept_paused_until: Option<Time>,
    pub(super) accept_failures: Option<AcceptFailures>,
}

/// A client that waits for a place and is not read from.
pub(super) struct QueuedClient {
    pub(super) client: Client,
    pub(super) queued_at: Time,
    /// Whether the client has sent something.
    pub(super) has_sent: bool,
}

/// A connection that this side has shut down, until the peer closes it too.
pub(super) struct Lingering {
    pub(super) connection: Arc<Connection>,
    pub(super) until: Time,
    pub(super) bytes: usize,
}

/// A series of failed accepts.
pub(super) struct AcceptFailures {
    pub(super) since: Time,
    /// The next pause for a shortage.
    pub(super) next_pause: Span,
    pub(super) is_logged: bool,
}
