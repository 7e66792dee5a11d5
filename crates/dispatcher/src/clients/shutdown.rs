//! The stage of the process's shutdown, shared by the router and the client thread.
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};

/// The stage of the process's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Serving,
    /// Shutdown has begun; requests are still served.
    Stopping,
    /// Each connection is closed once it is not in use.
    Closing,
}

/// Shutdown state shared by the router and the client thread.
#[derive(Debug, Default)]
pub struct Shutdown {
    stage: AtomicU8,
    all_closed: AtomicBool,
}

impl Shutdown {
    /// Advances to a stage; never goes back.
    pub fn advance_to(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Relaxed);
    }

    pub(super) fn has_reached(&self, stage: Stage) -> bool {
        self.stage.load(Relaxed) >= stage as u8
    }

    pub(super) fn set_all_closed(&self, is_all_closed: bool) {
        self.all_closed.store(is_all_closed, Relaxed);
    }

    /// Whether all connections were closed at the last check since `Closing`.
    pub fn is_all_closed(&self) -> bool {
        self.all_closed.load(Relaxed)
    }
}
