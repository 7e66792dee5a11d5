//! Cancellation of requests. The thread that reads clients marks a request as cancelled at once, ahead of the
//! router's queue, so that no attempt starts after its client has left.
use crate::client_input::{CancelMark, ClientInput, LookAhead};
use std::sync::Arc;

/// Tells whether a request is still wanted by its client.
#[derive(Clone, Debug)]
pub struct CancelToken {
    input: Arc<ClientInput>,
    cancelled: CancelMark,
}

/// Whether an attempt of a request may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    Live,
    /// The client has withdrawn the request or closed the connection.
    Cancelled,
    /// The client has written more than was looked at, in which it may have withdrawn the request.
    Unknown,
}

impl CancelToken {
    pub fn new(input: Arc<ClientInput>, cancelled: CancelMark) -> CancelToken {
        CancelToken { input, cancelled }
    }

    /// Whether the request is not known to be cancelled.
    pub fn is_live(&self) -> bool {
        !self.cancelled.is_set() && !self.input.connection().is_closed()
    }

    /// Like [`Self::is_live`], but also looks for a close or a withdrawal that has not been read yet. Called right
    /// before an attempt starts.
    pub fn check(&self) -> Liveness {
        let look_ahead = self.input.look_ahead();
        if look_ahead == LookAhead::Closed {
            self.cancelled.set();
        }
        match look_ahead {
            _ if self.cancelled.is_set() => Liveness::Cancelled,
            LookAhead::Backlog => Liveness::Unknown,
            LookAhead::Closed | LookAhead::Complete => Liveness::Live,
        }
    }
}
