//! Time limits of polls of the change log.
use cherrypass::time::Span;

/// The wait requested of a poll. The protocol allows 5 s, but a silent connection is noticed only after the
/// wait, while changes already count as announced. Each dispatcher polls once in this time even if nothing
/// changes.
pub(super) const POLL_WAIT: Span = Span::millis(250);
/// Minimum time after the requested wait until an answer has to begin. It doubles with each failure, so that
/// a slower log is still followed, and decays with each success.
pub(super) const MIN_RESPONSE_TIMEOUT: Span = Span::millis(150);
pub(super) const RESPONSE_TIMEOUT_DECAY: f64 = 0.9;
/// The wait requested of the poll after a failure or a stall, so that missed changes arrive at once.
pub(super) const CATCH_UP_WAIT: Span = Span::millis(1);
/// By the protocol, a change counts as announced this long after it was made, whether it arrived or not.
pub const MAX_ANNOUNCEMENT_DELAY: Span = Span::millis(7_000);
/// Changes in a broken answer count as announced this long after the break, and those in an answer that
/// stalls this long after the requested wait.
pub(super) const ANNOUNCED_AFTER: Span = Span::millis(2_000);
/// Changes count as announced this long after SIGHUP has given the log's new address.
pub(super) const ANNOUNCED_AFTER_RELOAD: Span = Span::millis(4_000);
/// Maximum time for a complete answer: the longest wait and time for the transfer.
pub(super) const RESPONSE_DEADLINE: Span = Span::millis(1_100);
/// Time for the transfer of an answer that began late.
pub(super) const TRANSFER_TIMEOUT: Span = Span(RESPONSE_DEADLINE.0 - POLL_WAIT.0);
/// The wait requested of a slow log. The next poll begins at its end, beside those that are not answered yet, so that
/// one is always waiting for changes and each change is known one answer's time after it was made.
pub(super) const SLOW_POLL_WAIT: Span = Span::millis(1_500);
/// How long after the requested wait a poll that is not answered may be given up for another one.
pub(super) const MAX_ANSWER_DELAY: Span = Span::millis(2_000);
/// How many polls may be unanswered at once.
pub(super) const MAX_PENDING_POLLS: usize = 4;
/// How often a wait checks whether the address has changed, and renews the lease.
pub(crate) const CHECK_INTERVAL: Span = Span::millis(100);
/// A connection that is not established by then is tried again concurrently.
pub(super) const REDIAL_AFTER: Span = Span::millis(1_000);
/// A connection that is not established by then is given up; connections may take up to 1.5 s.
pub(super) const CONNECT_TIMEOUT: Span = Span::millis(2_000);
pub(super) const MIN_RETRY_DELAY: Span = Span::millis(50);
pub(super) const MAX_RETRY_DELAY: Span = Span::millis(500);
/// A poll that took longer met a slow log or a stall of this process; the next one requests no wait.
pub(super) const STALL_THRESHOLD: Span = Span::millis(600);

// On a slow log one is always waiting: the oldest can be given up before the newest one's wait ends.
const _: () = assert!(SLOW_POLL_WAIT.0 * MAX_PENDING_POLLS as u64 >= SLOW_POLL_WAIT.0 + MAX_ANSWER_DELAY.0);
// After a stall or a break the log is polled again, if need be by a second connection, before its changes
// count as announced.
const _: () =
    assert!(RESPONSE_DEADLINE.0 + MIN_RETRY_DELAY.0 * 2 + REDIAL_AFTER.0 <= POLL_WAIT.0 + ANNOUNCED_AFTER.0);
const _: () = assert!(MAX_RETRY_DELAY.0 + REDIAL_AFTER.0 <= ANNOUNCED_AFTER.0);
