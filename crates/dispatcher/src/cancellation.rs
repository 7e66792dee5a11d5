//! Whether a request's answer is still wanted. The thread that reads its client says so at once, past all that waits
//! for the router: guards against attempts that begin long after the client left.
use crate::connection::Connection;
use crate::msgpack;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Weak};

#[derive(Clone, Debug)]
pub struct CancelToken {
    line: Arc<Connection>,
    /// The request's number on its connection.
    id: u32,
    cancelled: Arc<AtomicBool>,
}

/// What its client's side keeps of it.
#[derive(Debug)]
pub struct CancelHandle(Weak<AtomicBool>);

impl CancelToken {
    pub fn new(line: Arc<Connection>, id: u32) -> CancelToken {
        CancelToken { line, id, cancelled: Arc::default() }
    }

    pub fn handle(&self) -> CancelHandle {
        CancelHandle(Arc::downgrade(&self.cancelled))
    }

    /// As far as is known here.
    pub fn is_live(&self) -> bool {
        !self.cancelled.load(Relaxed) && !self.line.is_closed()
    }

    /// And as the machine knows, of what is not read yet: asked in the moment in which an attempt is to begin.
    pub fn check_live(&self) -> bool {
        let withdrawn = |waiting: &[u8]| msgpack::withdraws(waiting, self.id);
        let _unread_or_marked = self.line.lock_reads();
        let wanted = self.is_live() && !self.line.check_closed(withdrawn);
        self.cancelled.fetch_or(!wanted, Relaxed);
        wanted
    }
}

impl CancelHandle {
    pub fn cancel(&self) {
        if let Some(withdrawn) = self.0.upgrade() {
            withdrawn.store(true, Relaxed);
        }
    }

    /// Whether its request is still open somewhere.
    pub fn is_open(&self) -> bool {
        self.0.strong_count() > 0
    }
}
