//! A host's start as it is listed and as it is found, by plain calls: the latest one known holds.
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

fn entry(since: Option<Time>) -> Listing {
    let (host, location, kind, cell) = (HostId(1), LocationId(0), KindId(0), CellId(0));
    Listing { host, location, kind, cell, weight: 6.0, since, phase: Phase::Ready }
}

/// It is found anew at 40 s, after three trials.
fn found_anew(listed: Option<Time>) -> Host {
    let mut host = Host::new(entry(listed), Time(0));
    host.restart_cold_budget(at(40).unwrap(), 3, WORK);
    host
}

/// The trials are of the process's budget where the list tells an earlier start of it; a later one is another process's.
#[test_case(39, 3.0 * WORK; "the one that was found")]
#[test_case(42, 0.0; "another one")]
fn what_it_was_sent_since_it_was_found_stays_counted(told: u64, owed: f64) {
    let mut host = found_anew(at(5));
    host.update_listing(at(45).unwrap(), entry(at(told)));
    assert_eq!(host.entry.since, at(told.max(40)));
    assert!((host.cold_bucket.level + owed).abs() < 1e-9, "{}", host.cold_bucket.level);
    host.update_listing(at(60).unwrap(), entry(at(59)));
    assert_eq!((host.entry.since, host.cold_bucket.level), (at(59), 0.0));
}

#[test_case(at(5); "the same")]
#[test_case(at(3); "an earlier one")]
#[test_case(None; "none")]
fn no_news_leaves_all_that_is_known(told: Option<Time>) {
    let mut host = found_anew(at(5));
    host.record_result(at(41).unwrap(), true, 1.0);
    host.update_listing(at(45).unwrap(), entry(told));
    assert_eq!((host.entry.since, host.listed_start, host.failure_rate.seen), (at(40), at(5), 1));
    assert!(host.cold_bucket.level < 0.0);
}

/// After a cut its budget began with that, whenever the list then tells the start.
#[test_case(39; "before the cut was seen")]
#[test_case(42; "after it")]
fn what_it_was_sent_since_a_cut_stays_counted(told: u64) {
    let mut host = found_anew(at(5));
    host.connection_lost_at = at(41);
    host.update_listing(at(45).unwrap(), entry(at(told)));
    assert!((host.cold_bucket.level + 3.0 * WORK).abs() < 1e-9, "{}", host.cold_bucket.level);
    assert!(host.connection_lost_at.is_none());
}

/// Its first answer after a cut says that it runs by now, not that it runs for longer than the list has it.
#[test]
fn an_answer_after_a_cut_sets_no_start_back() {
    let mut host = Host::new(entry(at(90)), Time(0));
    host.connection_lost_at = at(40);
    host.record_answer(at(42).unwrap(), at(41).unwrap());
    assert_eq!(host.entry.since, at(90));
    host.restart_cold_budget(at(43).unwrap(), 0, 0.0);
    assert_eq!(host.entry.since, at(90));
}

/// What was counted for the process before and never went out is no budget of the new one.
#[test]
fn a_new_process_is_given_back_nothing_of_the_one_before() {
    let mut host = Host::new(entry(None), Time(0));
    host.update_listing(at(45).unwrap(), entry(at(44)));
    host.refund_cold_budget(at(44).unwrap(), WORK);
    assert_eq!(host.cold_bucket.level, 0.0);
    host.refund_cold_budget(at(45).unwrap(), WORK);
    assert_eq!(host.cold_bucket.level, WORK);
}
