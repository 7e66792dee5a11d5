//! The input of a client's connection: bytes that were read and are not decoded yet, and the requests that are open.
//!
//! One thread reads it. Before an attempt starts, whichever thread sends it looks ahead at what has arrived and was
//! not read, as the client may have withdrawn the request in it. Messages are told by their framing alone: the look
//! ahead continues where the reader stopped, in the middle of a message too, and decodes as the reader does.
use crate::clock;
use crate::connection::{CloseReason, Connection, UnreadInput};
use crate::msgpack::{self, Framing, Message};
use bytes::BytesMut;
use cherrypass::time::{Span, Time};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

/// An attempt may start this long after its client's input was last looked at to its end. By the protocol none may
/// start later than 100 ms after a withdrawal; the rest is for the start itself.
const MAX_LOOK_AHEAD_AGE: Span = Span::millis(50);
/// How many unread bytes are looked at. With more unread, the receive window may be closed, so that not all that the
/// client has written has arrived.
const LOOK_AHEAD_BYTES: usize = 16 * 1024;
/// A client in the middle of a message is still writing until it has sent nothing for this long, even if all that has
/// arrived was read: what it has written arrives bit by bit as its connection's window opens.
const WRITE_PAUSE: Span = Span::millis(10);
/// The buffer of a message that comes in parts grows by this.
const BUFFER_STEP_BYTES: usize = 4 * 1024;
/// With this many open requests, finished ones are removed.
const PRUNE_OPEN_AT: usize = 64;

/// Marks a request as cancelled.
#[derive(Clone, Debug, Default)]
pub struct CancelMark(Arc<AtomicBool>);

impl CancelMark {
    pub fn set(&self) {
        self.0.store(true, Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Relaxed)
    }
}

/// What a look at the unread input has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookAhead {
    /// The connection is closed.
    Closed,
    /// All withdrawals that have arrived are marked.
    Complete,
    /// Much is unread, or a part of a message: withdrawals may be behind it.
    Backlog,
}

/// The input of a client's connection, shared by its reader and the threads that start attempts.
#[derive(Debug)]
pub struct ClientInput {
    connection: Arc<Connection>,
    state: Mutex<InputState>,
}

impl ClientInput {
    pub fn new(connection: Arc<Connection>) -> ClientInput {
        let (buffer, framing, open_requests) = Default::default();
        let looked_at = Time(0);
        let state = InputState {
            connection: connection.clone(),
            buffer,
            framing,
            looked_at,
            is_abandoned: false,
            open_requests,
        };
        ClientInput { connection, state: Mutex::new(state) }
    }

    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Locks the input. The reader holds the lock from a read until it has processed the messages, so that a
    /// withdrawal is either not read yet or marked.
    pub fn lock(&self) -> MutexGuard<'_, InputState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the requests that messages withdraw which have arrived and were not read.
    pub fn look_ahead(&self) -> LookAhead {
        let mut state = self.lock();
        if self.connection.is_closed() {
            return LookAhead::Closed;
        }
        let now = clock::now();
        match self.connection.unread_input() {
            UnreadInput::Closed => return LookAhead::Closed,
            _ if state.is_abandoned => return LookAhead::Backlog,
            UnreadInput::None => state.note_nothing_unread(now),
            UnreadInput::Bytes if !state.is_recent(now) => state.look_at_unread(now),
            UnreadInput::Bytes => {}
        }
        if state.is_recent(now) {
            LookAhead::Complete
        } else {
            LookAhead::Backlog
        }
    }
}

/// What one read has brought.
#[derive(Debug)]
pub struct ReceivedMessages {
    pub messages: Vec<Message>,
    pub received_at: Time,
}

/// The state of a client's input.
#[derive(Debug)]
pub struct InputState {
    connection: Arc<Connection>,
    /// The beginning of a message of which the rest was not read yet, and how far its end was looked for.
    buffer: BytesMut,
    framing: Framing,
    /// All that the client had written by this time was read or looked at.
    looked_at: Time,
    /// Whether the message that has come in part was dropped, so that nothing after it can be decoded.
    is_abandoned: bool,
    /// Requests that may be open, by id.
    open_requests: BTreeMap<u32, Weak<AtomicBool>>,
}

impl InputState {
    /// Reads once, at most this many bytes, and takes all complete messages; none if nothing has arrived.
    pub fn read(&mut self, max_bytes: usize) -> Result<Option<ReceivedMessages>, CloseReason> {
        if self.is_abandoned {
            let discarded = self.connection.discard(&mut vec![0; max_bytes]);
            return discarded.map(|_| None).ok_or(CloseReason::ClosedByPeer);
        }
        let mut bytes = BytesMut::new();
        let Some(received_at) = self.connection.try_read(&mut bytes, max_bytes)? else {
            return Ok(None);
        };
        let is_all = bytes.len() < max_bytes;
        self.append(bytes);
        let messages = self.take_messages()?;
        if is_all {
            self.note_nothing_unread(received_at);
        }
        Ok(Some(ReceivedMessages { messages, received_at }))
    }

    /// The memory that a message takes which has come in part.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Drops what has come of a message. Nothing that comes later is decoded.
    pub fn abandon(&mut self) {
        self.buffer = BytesMut::new();
        self.is_abandoned = true;
    }

    /// Adds bytes that were read, in a buffer that is little longer than its content.
    fn append(&mut self, bytes: BytesMut) {
        if self.buffer.is_empty() {
            self.buffer = bytes;
            return;
        }
        let length = self.buffer.len() + bytes.len();
        if length > self.buffer.capacity() {
            let mut longer = BytesMut::with_capacity(length.next_multiple_of(BUFFER_STEP_BYTES));
            longer.extend_from_slice(&self.buffer);
            self.buffer = longer;
        }
        self.buffer.extend_from_slice(&bytes);
    }

    /// Takes all complete messages that were read.
    fn take_messages(&mut self) -> Result<Vec<Message>, CloseReason> {
        let mut messages = Vec::new();
        while let Some(message) = msgpack::next_framed(&mut self.buffer, &mut self.framing)? {
            messages.push(message);
        }
        self.connection.messages_taken(&self.buffer, !messages.is_empty());
        if !messages.is_empty() || self.buffer.capacity() > self.buffer.len() + BUFFER_STEP_BYTES {
            // Releases the memory of the messages that were taken, and what the read did not fill.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        Ok(messages)
    }

    /// All that has arrived was read at this time.
    fn note_nothing_unread(&mut self, at: Time) {
        if self.buffer.is_empty() || at - self.connection.last_read_at() >= WRITE_PAUSE {
            self.looked_at = at;
        }
    }

    /// Whether all that the client had written was looked at recently enough for an attempt to start.
    fn is_recent(&self, now: Time) -> bool {
        now - self.looked_at <= MAX_LOOK_AHEAD_AGE
    }

    /// Opens a request; the mark is set once the client withdraws it.
    pub fn open_request(&mut self, id: u32) -> CancelMark {
        if self.open_requests.len() >= PRUNE_OPEN_AT {
            self.open_requests.retain(|_, mark| mark.strong_count() > 0);
        }
        let mark = CancelMark::default();
        self.open_requests.insert(id, Arc::downgrade(&mark.0));
        mark
    }

    /// Marks those of these requests that are open.
    pub fn withdraw(&self, ids: &[u32]) {
        let open = ids.iter().filter_map(|id| self.open_requests.get(id)?.upgrade());
        open.for_each(|mark| CancelMark(mark).set());
    }

    /// Marks the requests that unread messages withdraw.
    fn look_at_unread(&mut self, now: Time) {
        let mut bytes = BytesMut::with_capacity(self.buffer.len() + LOOK_AHEAD_BYTES);
        bytes.extend_from_slice(&self.buffer);
        let unread = self.connection.peek(&mut bytes, LOOK_AHEAD_BYTES);
        let mut framing = self.framing.clone();
        // The reader ends the connection on a message that can't be decoded; nothing after that counts.
        while let Ok(Some(message)) = msgpack::next_framed(&mut bytes, &mut framing) {
            if let Message::Withdraw(ids) = message {
                self.withdraw(&ids);
            }
        }
        if unread < LOOK_AHEAD_BYTES && bytes.is_empty() {
            self.looked_at = now;
        }
    }
}
