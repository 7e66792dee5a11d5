//! Which events keep the lease on the change log valid, and which renew an expired one.
use cherrypass::time::{Span, Time};
use cherrypass_dispatcher::change_log_lease::{duration, ChangeLogLease};
use cherrypass_dispatcher::clock;
use test_case::test_case;

const DURATION: Span = Span::millis(500);
const HEARTBEAT: Span = Span::millis(100);

/// A lease and the time at which it was granted.
fn lease() -> (ChangeLogLease, Time) {
    let lease = ChangeLogLease::new(DURATION);
    let now = clock::now();
    lease.grant(now);
    (lease, now)
}

#[test_case(500, 1_000, 250; "half of the drain grace")]
#[test_case(1_000, 600, 300; "half of the time to obey a purge")]
#[test_case(1_000, 0, 500; "no time to obey a purge")]
#[test_case(0, 0, 500; "neither")]
#[test_case(3_000, 3_000, 500; "at most")]
#[test_case(100, 3_000, 200; "at least two heartbeats")]
fn the_duration_follows_from_the_settings(drain_grace: u64, purge_obey_time: u64, expected: u64) {
    assert_eq!(duration(Span::millis(drain_grace), Span::millis(purge_obey_time)), Span::millis(expected));
}

#[test]
fn heartbeats_keep_it_valid() {
    let (lease, start) = lease();
    let mut now = start;
    for _ in 0..50 {
        now = now + HEARTBEAT;
        lease.renew(now);
    }
    assert!(lease.is_valid(now + DURATION - HEARTBEAT));
    assert!(!lease.is_valid(now + DURATION));
}

/// Guards against a process that was stopped and sends by an old list once it continues.
#[test]
fn a_heartbeat_does_not_renew_an_expired_lease() {
    let (lease, start) = lease();
    let resumed_at = start + DURATION;
    lease.renew(resumed_at);
    assert!(!lease.is_valid(resumed_at));
}

/// Guards against a heartbeat that overtakes a change which the router has not applied.
#[test]
fn a_heartbeat_does_not_count_while_a_change_is_not_applied() {
    let (lease, start) = lease();
    lease.change_sent();
    lease.renew(start + HEARTBEAT);
    assert!(!lease.is_valid(start + DURATION));
    let (lease, start) = self::lease();
    lease.change_sent();
    lease.change_applied();
    lease.renew(start + HEARTBEAT);
    assert!(lease.is_valid(start + DURATION));
}

/// Guards against an answer to a poll from before a stop.
#[test]
fn an_answer_proves_what_the_log_had_when_it_was_polled() {
    let (lease, start) = lease();
    let resumed_at = start + Span::millis(2_000);
    lease.prove(start + HEARTBEAT);
    assert!(!lease.is_valid(resumed_at));
    lease.prove(resumed_at);
    assert!(lease.is_valid(resumed_at));
    lease.prove(start);
    assert!(lease.is_valid(resumed_at), "an older proof takes nothing back");
}
