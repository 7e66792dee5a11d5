//! Cancellation of requests. The thread that reads clients marks a request as cancelled at once, ahead of the
//! router's queue, so that no attempt starts after its client has left.
use crate::connection::Connection;
use crate::msgpack;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Weak};

/// Tells whether a request is still wanted by its client.
#[derive(Clone, Debug)]
pub struct CancelToken {
    connection: Arc<Connection>,
    /// The request's id on its connection.
    id: u32,
    cancelled: Arc<AtomicBool>,
}

/// Cancels a request; held by the thread that reads the client.
#[derive(Debug)]
pub struct CancelHandle(Weak<AtomicBool>);

impl CancelToken {
    pub fn new(connection: Arc<Connection>, id: u32) -> CancelToken {
        CancelToken { connection, id, cancelled: Arc::default() }
    }

    /// A handle that cancels the request.
    pub fn handle(&self) -> CancelHandle {
        CancelHandle(Arc::downgrade(&self.cancelled))
    }

    /// Whether the request is not known to be cancelled.
    pub fn is_live(&self) -> bool {
        !self.cancelled.load(Relaxed) && !self.connection.is_closed()
    }

    /// Like [`Self::is_live`], but also checks the socket for a close or a withdraw that has not been read
    /// yet. Called right before an attempt starts.
    pub fn check_live(&self) -> bool {
        let withdraws = |unread: &[u8]| msgpack::withdraws(unread, self.id);
        let _reads_locked = self.connection.lock_reads();
        let is_live = self.is_live() && !self.connection.check_closed(withdraws);
        self.cancelled.fetch_or(!is_live, Relaxed);
        is_live
    }
}

impl CancelHandle {
    pub fn cancel(&self) {
        if let Some(cancelled) = self.0.upgrade() {
            cancelled.store(true, Relaxed);
        }
    }

    /// Whether a token of the request still exists.
    pub fn is_open(&self) -> bool {
        self.0.strong_count() > 0
    }
}
