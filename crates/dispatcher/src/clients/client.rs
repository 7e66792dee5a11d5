//! The reading side of a client connection.
use crate::cancellation::CancelToken;
use crate::capacity::{Gauge, Reservation};
use crate::client_input::{ClientInput, InputState, ReceivedMessages};
use crate::clock;
use crate::connection::{CloseReason, Connection};
use crate::ids::ClientId;
use crate::inbox::{FromClient, Input};
use crate::msgpack::{Message, VisitRequest};
use cherrypass::time::{Span, Time};
use crossbeam_channel::Sender;
use nix::sys::epoll::{Epoll, EpollEvent, EpollFlags};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Size of one read. An open visit may keep the whole buffer alive.
pub const READ_BYTES: usize = 8 * 1024;
/// A connection that has sent no complete message by then is closed, so that it ends within 3 s.
const FIRST_MESSAGE_TIMEOUT: Span = Span::millis(2_000);
/// A connection whose message stays incomplete is closed after the first timeout if it has no open visits.
/// After the second its open visits are answered, so that it closes within 3 s.
const PARTIAL_MESSAGE_TIMEOUTS: [Span; 2] = [Span::millis(1_500), Span::millis(2_500)];
/// By the protocol clients close unused connections after 4 s.
const IDLE_TIMEOUT: Span = Span::millis(4_500);
/// A connection unused for less than this may be about to send a request and is not evicted.
pub(super) const MIN_EVICTION_AGE: Span = Span::millis(250);

/// The router's channels: a bounded one for requests, an unbounded one for closed connections.
pub struct RouterSenders {
    pub requests: Sender<Input>,
    pub closed: Sender<Input>,
}

/// The reading side of a client connection.
pub(super) struct Client {
    pub(super) id: ClientId,
    address: SocketAddr,
    pub(super) connection: Arc<Connection>,
    opened_at: Time,
    /// Counts open visits, and answers to them that are not written yet.
    in_use: Gauge,
    pub(super) has_sent: bool,
    input: Arc<ClientInput>,
    /// Messages read and not forwarded yet, and whether reading is paused for that.
    pub(super) unforwarded: VecDeque<FromClient>,
    pub(super) is_paused: bool,
    /// The id of the last message.
    last_id: u32,
    visit_count: u64,
    /// Whether the router was asked to finish the open visits.
    is_closing: bool,
    /// The memory of a message that has come in part.
    partial_message: Option<Reservation>,
    /// Whether that message was dropped for want of memory.
    is_abandoned: bool,
}

/// Readability, and a close by the peer even behind unread bytes.
pub(super) fn read_flags() -> EpollFlags {
    EpollFlags::EPOLLIN | EpollFlags::EPOLLRDHUP
}

impl Client {
    pub(super) fn new(id: ClientId, stream: TcpStream, address: SocketAddr) -> Client {
        let connection = Arc::new(Connection::new(stream));
        Client {
            id,
            address,
            input: Arc::new(ClientInput::new(connection.clone())),
            connection,
            opened_at: clock::now(),
            in_use: Gauge::default(),
            has_sent: false,
            unforwarded: VecDeque::new(),
            is_paused: false,
            last_id: 0,
            visit_count: 0,
            is_closing: false,
            partial_message: None,
            is_abandoned: false,
        }
    }

    /// Pauses or resumes reading; a close by the peer is noticed either way.
    pub(super) fn pause_reading(&mut self, pause: bool, epoll: &Epoll) {
        if std::mem::replace(&mut self.is_paused, pause) != pause {
            let flags = if pause { EpollFlags::EPOLLRDHUP } else { read_flags() };
            let _ = epoll.modify(&*self.connection, &mut EpollEvent::new(flags, self.id.0));
        }
    }

    /// Whether visits are open, or messages not forwarded.
    pub(super) fn is_in_use(&self) -> bool {
        self.in_use.amount() > 0 || !self.unforwarded.is_empty()
    }

    pub(super) fn unused_for(&self, now: Time) -> Option<Span> {
        (!self.is_in_use()).then(|| now - self.connection.last_read_at())
    }

    /// Why the connection should be closed, if it should.
    pub(super) fn reason_to_close(&self, now: Time, is_shutting_down: bool) -> Option<CloseReason> {
        if self.connection.is_shut_down() {
            return Some(self.connection.close_reason());
        }
        if self.is_abandoned {
            return Some(CloseReason::NoRoomForMessage);
        }
        let silent = (!self.has_sent).then(|| now - self.opened_at);
        let partial = self.connection.partial_for(now);
        let unused = self.unused_for(now).filter(|_| partial.is_none());
        let exceeds =
            |span: Option<Span>, limit: Span, reason| span.filter(|span| *span > limit).map(|_| reason);
        let may_close =
            is_shutting_down && unused.is_some() && silent.is_none_or(|span| span > MIN_EVICTION_AGE);
        exceeds(partial, PARTIAL_MESSAGE_TIMEOUTS[0], CloseReason::MessageTimeout)
            .or(exceeds(silent, FIRST_MESSAGE_TIMEOUT, CloseReason::Silent))
            .or(exceeds(unused, IDLE_TIMEOUT, CloseReason::Idle))
            .or(may_close.then_some(CloseReason::ShuttingDown))
    }

    /// Has the open visits answered once a message has been incomplete for too long.
    pub(super) fn finish_open_visits(&mut self, now: Time, router: &RouterSenders) {
        let is_overdue =
            self.connection.partial_for(now).is_some_and(|span| span > PARTIAL_MESSAGE_TIMEOUTS[1]);
        if is_overdue && !std::mem::replace(&mut self.is_closing, true) {
            let _ = router.closed.send(Input::Client(self.id, FromClient::Closing));
        }
    }

    /// Reserves the memory of a message that has come in part.
    pub(super) fn reserve_partial_message(&mut self, partial_messages: &Gauge) {
        let held_bytes = self.input.lock().held_bytes();
        self.partial_message = (held_bytes > 0).then(|| partial_messages.reserve(held_bytes));
    }

    /// The memory of a message that has come in part, and how long it has been incomplete.
    pub(super) fn partial_message(&self, now: Time) -> Option<(usize, Span)> {
        let held_bytes = self.partial_message.as_ref()?.amount();
        Some((held_bytes, self.connection.partial_for(now)?))
    }

    /// Drops a message that has come in part. The requests before it are answered, and then the connection is closed.
    pub(super) fn abandon_partial_message(&mut self) {
        self.input.lock().abandon();
        self.partial_message = None;
        self.is_abandoned = true;
        if !std::mem::replace(&mut self.is_closing, true) {
            self.unforwarded.push_back(FromClient::Closing);
        }
    }

    /// Shuts down the writing direction and logs the close.
    pub(super) fn close(&self, reason: CloseReason) {
        self.connection.shut_down_write(reason);
        let (client, code, visits) = (self.id.0, self.connection.close_reason().code(), self.visit_count);
        tracing::info!(
            client,
            code,
            visits,
            "client {client} {} closed: {code} after {visits} visits",
            self.address
        );
    }

    /// Reads once, so that a client that sends much waits its turn, and decodes all complete messages.
    pub(super) fn read(&mut self) -> Result<(), CloseReason> {
        let input = self.input.clone();
        let mut input = input.lock();
        let Some(ReceivedMessages { messages, received_at }) = input.read(READ_BYTES)? else {
            return Ok(());
        };
        if messages.is_empty() || self.connection.is_closed() {
            return Ok(());
        }
        self.check_ids(&messages)?;
        if !std::mem::replace(&mut self.has_sent, true) {
            self.unforwarded.push_back(FromClient::Opened { connection: self.connection.clone() });
        }
        messages.into_iter().for_each(|message| self.queue_message(&mut input, message, received_at));
        Ok(())
    }

    /// Checks that ids increase, so that no answer can be taken for that of another message. No message of a
    /// read is processed otherwise.
    fn check_ids(&mut self, messages: &[Message]) -> Result<(), CloseReason> {
        for message in messages {
            if let Message::Visit(id, _) | Message::Malformed(id, _) | Message::Status(id) = message {
                if *id <= self.last_id {
                    return Err(CloseReason::IdNotIncreasing);
                }
                self.last_id = *id;
            }
        }
        Ok(())
    }

    /// Queues a message for the router.
    fn queue_message(&mut self, input: &mut InputState, message: Message, received_at: Time) {
        match message {
            Message::Visit(id, request) => self.queue_visit(input, id, request, received_at),
            Message::Malformed(id, field) => self.unforwarded.push_back(FromClient::Malformed { id, field }),
            Message::Status(id) => self.unforwarded.push_back(FromClient::Status { id }),
            Message::Withdraw(ids) => {
                input.withdraw(&ids);
                self.unforwarded.push_back(FromClient::Withdraw { ids });
            }
            Message::Unknown => {}
        }
    }

    fn queue_visit(
        &mut self,
        input: &mut InputState,
        id: u32,
        request: Box<VisitRequest>,
        received_at: Time,
    ) {
        self.visit_count += 1;
        let in_use = self.in_use.reserve(1);
        let cancel = CancelToken::new(self.input.clone(), input.open_request(id));
        self.unforwarded.push_back(FromClient::Visit { id, request, received_at, in_use, cancel });
    }
}
