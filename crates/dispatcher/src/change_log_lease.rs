//! A lease on the knowledge of the change log: until it expires, what the process decides by is at most the lease's
//! duration behind what the log has told. Every attempt is checked against it right before its first byte, so a
//! process that was stopped, or whose threads did not run, sends nothing by an outdated list.
//!
//! The thread that follows the log renews the lease whenever it has passed on all that was received (a heartbeat),
//! provided that the router has applied all of it. An expired lease can't be renewed so: only an answer of the log to
//! a poll that began after it expired shows what was missed.
use crate::clock;
use cherrypass::time::{Span, Time};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;

/// The longest duration of a lease.
const MAX_DURATION: Span = Span::millis(500);
/// The shortest duration of a lease: heartbeats come every 100 ms at the latest.
const MIN_DURATION: Span = Span::millis(200);
/// The part of the shortest grace that a lease lasts; the remainder is for reading the log after it has expired.
const SHARE_OF_GRACE: f64 = 0.5;

/// The duration of a lease where drains and purges have to be obeyed within these times; zero if there is none.
pub fn duration(drain_grace: Span, purge_obey_time: Span) -> Span {
    let graces = [drain_grace, purge_obey_time].into_iter().filter(|grace| *grace > Span::ZERO);
    let shortest = graces.min().unwrap_or(MAX_DURATION + MAX_DURATION);
    shortest.times(SHARE_OF_GRACE).clamp(MIN_DURATION, MAX_DURATION)
}

/// The lease, shared by the threads that renew it and those that check it.
#[derive(Clone, Debug)]
pub struct ChangeLogLease(Arc<State>);

#[derive(Debug)]
struct State {
    duration: Span,
    /// The monotonic time at which the lease expires.
    expires_at: AtomicU64,
    /// Changes passed on to the router so far, and those that it has applied.
    sent: AtomicU64,
    applied: AtomicU64,
}

impl ChangeLogLease {
    /// A lease that is valid from now on.
    pub fn new(duration: Span) -> ChangeLogLease {
        let state = State {
            duration,
            expires_at: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            applied: AtomicU64::new(0),
        };
        let lease = ChangeLogLease(Arc::new(state));
        lease.grant(clock::now());
        lease
    }

    pub fn is_valid(&self, now: Time) -> bool {
        now.0 < self.0.expires_at.load(SeqCst)
    }

    /// A change is about to be passed on to the router.
    pub fn change_sent(&self) {
        self.0.sent.fetch_add(1, SeqCst);
    }

    /// The router has applied a change: hand-offs that it concerns are withdrawn if they have not been started.
    pub fn change_applied(&self) {
        self.0.applied.fetch_add(1, SeqCst);
    }

    /// Heartbeat of the thread that follows the log: at this time nothing was left to read. Does not renew a lease that
    /// has expired, or while the router has changes to apply.
    pub fn renew(&self, now: Time) {
        if self.is_valid(now) && self.0.applied.load(SeqCst) == self.0.sent.load(SeqCst) {
            self.extend(now);
        }
    }

    /// All changes that the log had at this time are applied.
    pub fn prove(&self, at: Time) {
        self.extend(at);
    }

    /// Makes the lease valid although the log can't be read: from here on it counts as silent.
    pub fn grant(&self, now: Time) {
        self.extend(now);
    }

    fn extend(&self, from: Time) {
        self.0.expires_at.fetch_max((from + self.0.duration).0, SeqCst);
    }
}
