//! A host's start as listed and as detected: the latest known one counts.
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::{CellId, HostId, KindId, LocationId};
use cherrypass::state::Host;
use cherrypass::time::Time;
use test_case::test_case;

/// Seconds of work of an attempt.
const WORK: f64 = 0.3;

fn at(seconds: u64) -> Option<Time> {
    Some(Time(seconds * 1_000_000))
}

fn entry(started_at: Option<Time>) -> Listing {
    let (host, location, kind, cell) = (HostId(1), LocationId(0), KindId(0), CellId(0));
    Listing { host, location, kind, cell, weight: 6.0, started_at, phase: Phase::Ready }
}

/// A host whose restart was detected at 40 s, after three trials.
fn restarted_host(listed: Option<Time>) -> Host {
    let mut host = Host::new(entry(listed), Time(0));
    host.restart_cold_budget(at(40).unwrap(), 3, WORK);
    host
}

/// The trials count against the process's budget if the list then shows an earlier start; a later start is
/// that of another process.
#[test_case(39, 3.0 * WORK; "earlier than the detected start")]
#[test_case(42, 0.0; "later than the detected start")]
fn hand_offs_since_a_detected_restart_stay_charged(listed: u64, charged: f64) {
    let mut host = restarted_host(at(5));
    host.update_listing(at(45).unwrap(), entry(at(listed)));
    assert_eq!(host.entry.started_at, at(listed.max(40)));
    assert!((host.cold_bucket.level + charged).abs() < 1e-9, "{}", host.cold_bucket.level);
    host.update_listing(at(60).unwrap(), entry(at(59)));
    assert_eq!((host.entry.started_at, host.cold_bucket.level), (at(59), 0.0));
}

#[test_case(at(5); "same start")]
#[test_case(at(3); "earlier start")]
#[test_case(None; "no start")]
fn a_start_that_is_not_later_changes_nothing(listed: Option<Time>) {
    let mut host = restarted_host(at(5));
    host.record_result(at(41).unwrap(), true, 1.0);
    host.update_listing(at(45).unwrap(), entry(listed));
    assert_eq!(
        (host.entry.started_at, host.listed_start, host.failure_rate.sample_count),
        (at(40), at(5), 1)
    );
    assert!(host.cold_bucket.level < 0.0);
}

/// After a lost connection the budget began with that, whatever start the list then shows.
#[test_case(39; "before the connection loss")]
#[test_case(42; "after the connection loss")]
fn hand_offs_since_a_lost_connection_stay_charged(listed: u64) {
    let mut host = restarted_host(at(5));
    host.connection_lost_at = at(41);
    host.update_listing(at(45).unwrap(), entry(at(listed)));
    assert!((host.cold_bucket.level + 3.0 * WORK).abs() < 1e-9, "{}", host.cold_bucket.level);
    assert!(host.connection_lost_at.is_none());
}

/// The first answer after a lost connection shows that the host runs by then, not that it started before the
/// listed time.
#[test]
fn an_answer_after_a_lost_connection_does_not_set_the_start_back() {
    let mut host = Host::new(entry(at(90)), Time(0));
    host.connection_lost_at = at(40);
    host.record_answer(at(42).unwrap(), at(41).unwrap());
    assert_eq!(host.entry.started_at, at(90));
    host.restart_cold_budget(at(43).unwrap(), 0, 0.0);
    assert_eq!(host.entry.started_at, at(90));
}

/// Refunds for hand-offs charged to the previous process do not add to the budget of the new one.
#[test]
fn a_new_process_gets_no_refunds_of_the_previous_one() {
    let mut host = Host::new(entry(None), Time(0));
    host.update_listing(at(45).unwrap(), entry(at(44)));
    host.refund_cold_budget(at(44).unwrap(), WORK);
    assert_eq!(host.cold_bucket.level, 0.0);
    host.refund_cold_budget(at(45).unwrap(), WORK);
    assert_eq!(host.cold_bucket.level, WORK);
}
