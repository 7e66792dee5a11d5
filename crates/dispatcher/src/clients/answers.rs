//! Writes answers to clients: directly, or by a thread per slow reader.
use super::client::READ_BYTES;
use crate::capacity::{Gauge, Reservation};
use crate::clock;
use crate::connection::{is_timeout, spawn, CloseReason, Connection};
use crate::latency::Latencies;
use crate::mailbox;
use crate::msgpack::Parts;
use bytes::Bytes;
use cherrypass::time::Time;
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::sync::Arc;

/// An answer to write to a client.
pub struct ToClient {
    pub parts: Parts,
    /// When the host's answer was read, if this passes one on.
    pub answered_at: Option<Time>,
    /// The memory taken by the host's answer until it is written.
    pub answer_room: Option<Reservation>,
    /// The unread bytes counted for the client and in total until the answer is written.
    pub unread_bytes: Option<[Reservation; 2]>,
    /// Keeps the connection in use until the answer is written.
    pub in_use: Option<Reservation>,
}

impl ToClient {
    /// The bytes counted while the answer is unread; a body may keep the whole buffer alive that it was read
    /// into.
    pub fn weight(&self) -> usize {
        self.length().max(if self.answer_room.is_some() { READ_BYTES } else { 0 })
    }

    fn length(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    fn bytes(&self) -> [&[u8]; 3] {
        self.parts.each_ref().map(|part| &part[..])
    }

    fn record_latency(&self, latencies: &Latencies) {
        if let Some(answered_at) = self.answered_at {
            latencies.outbound.record(clock::now() - answered_at);
        }
    }
}

/// The writing side of a client connection.
pub struct Outlet {
    pub connection: Arc<Connection>,
    /// The thread that writes once an answer could not be written without blocking, and the answers queued
    /// for it.
    slow_writer: Option<Sender<QueuedAnswer>>,
    queued: Gauge,
}

/// An answer of which the first `written` bytes have been written.
struct QueuedAnswer {
    answer: ToClient,
    written: usize,
    _queued: Reservation,
}

impl Outlet {
    /// The number of answers not written yet.
    pub fn queued(&self) -> usize {
        self.queued.amount()
    }

    pub fn new(connection: Arc<Connection>) -> Outlet {
        Outlet { connection, slow_writer: None, queued: Gauge::default() }
    }

    /// Writes an answer without blocking, so that a slow reader doesn't delay other clients: what the socket
    /// doesn't take, and answers after it, go to a slow writer thread.
    pub fn send(&mut self, answer: ToClient, latencies: &Arc<Latencies>) {
        let mut written = 0;
        if self.queued() == 0 {
            match self.connection.try_write(&answer.bytes()) {
                Ok(n) if n == answer.length() => return answer.record_latency(latencies),
                Ok(n) => written = n,
                Err(_) => return self.connection.shut_down_write(CloseReason::WriteFailed),
            }
        }
        self.queue_for_slow_writer(answer, written, latencies);
    }

    /// Has a thread write the rest of an answer; starts the thread if there is none.
    fn queue_for_slow_writer(&mut self, answer: ToClient, written: usize, latencies: &Arc<Latencies>) {
        if self.slow_writer.is_none() {
            let (sender, queued) = unbounded();
            let (connection, latencies) = (self.connection.clone(), latencies.clone());
            if spawn("slow", move || write_slowly(&connection, queued, &latencies)).is_err() {
                return self.connection.shut_down_write(CloseReason::NoThread);
            }
            self.slow_writer = Some(sender);
        }
        if let Some(slow_writer) = &self.slow_writer {
            let _ = slow_writer.send(QueuedAnswer { answer, written, _queued: self.queued.reserve(1) });
        }
    }
}

/// Writes queued answers as fast as the client reads them.
fn write_slowly(connection: &Connection, queued: Receiver<QueuedAnswer>, latencies: &Latencies) {
    while let Some(QueuedAnswer { answer, written, _queued }) = mailbox::recv(&queued) {
        if let Err(error) = connection.write(&answer.bytes(), written) {
            connection.shut_down_write(if is_timeout(&error) {
                CloseReason::SlowReader
            } else {
                CloseReason::WriteFailed
            });
            return;
        }
        answer.record_latency(latencies);
    }
}
