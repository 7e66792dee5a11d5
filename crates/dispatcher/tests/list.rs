//! The list of hosts in force, by plain calls: what an entry that can't stand as it is told counts as.
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::{CellId, KindId, LocationId};
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_dispatcher::change_clock::ChangeClock;
use cherrypass_dispatcher::changes::host_id;
use cherrypass_dispatcher::inbox::Listed;
use cherrypass_dispatcher::list::{Applied, Clocks, Fault, List};
use std::net::SocketAddr;
use test_case::test_case;

/// The process's clock and the change log's show the same here.
const NOW: Time = Time(1_764_576_000_000_000);
const RAMP: Span = Span::millis(20_000);

/// That many seconds ago.
fn ago(seconds: u64) -> Option<Time> {
    Some(NOW - Span::millis(1_000 * seconds))
}

fn ms(start: Option<Time>) -> u64 {
    start.unwrap().0 / 1000
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// A cache at that port.
fn host(name: &str, port: u16, since: Option<Time>) -> Listed {
    let (host, kind, cell) = (host_id(name), KindId(0), CellId(0));
    let (location, phase, started) = (LocationId(0), Phase::Ready, since.map(|since| UnixTime(since.0)));
    let listing = Listing { host, location, kind, cell, weight: 20.0, since: None, phase };
    Listed { listing, started, name: name.into(), address: Some(at(port)) }
}

trait ApplyAt {
    /// At that time, which two changes and the wall clock tell.
    fn apply_at(&mut self, now: Time, hosts: Vec<Listed>, whole: bool) -> Applied;
}

impl ApplyAt for List {
    fn apply_at(&mut self, now: Time, hosts: Vec<Listed>, whole: bool) -> Applied {
        let mut change_clock = ChangeClock::default();
        [now.0, now.0 + 1].into_iter().for_each(|stamp| change_clock.heard(now, UnixTime(stamp)));
        self.apply(&Clocks { now, wall: UnixTime(now.0), change_clock: &change_clock }, hosts, whole)
    }
}

fn phase(phase: Phase, host: Listed) -> Listed {
    Listed { listing: Listing { phase, ..host.listing }, ..host }
}

fn weight(weight: f64, host: Listed) -> Listed {
    Listed { listing: Listing { weight, ..host.listing }, ..host }
}

fn list() -> List {
    List::new(RAMP, true)
}

/// What was lost, by names, and whom the address is told to be of.
fn lost(applied: &Applied) -> Vec<(&str, &str)> {
    let taken = applied.faults.iter().filter_map(|(name, fault)| match fault {
        Fault::AddressTaken { holder, .. } => Some((&name[..], &holder[..])),
        _ => None,
    });
    let taken: Vec<(&str, &str)> = taken.collect();
    assert_eq!(taken.len(), applied.lost.len());
    for (name, _) in &taken {
        assert!(applied.lost.iter().any(|lost| lost.host == host_id(name) && lost.phase == Phase::Gone));
        assert!(applied.hosts.iter().all(|host| host.name != *name), "{name} is in force as well");
    }
    taken
}

#[test_case(None, ago(1), "a"; "a start, and none before")]
#[test_case(ago(2), ago(1), "a"; "the later start is told last")]
#[test_case(ago(1), ago(2), "n"; "the later start is told first")]
#[test_case(ago(1), None, "n"; "no start is told last")]
#[test_case(None, None, "a"; "no starts, the one told last")]
#[test_case(ago(1), ago(1), "a"; "the same start, the one told last")]
fn an_address_is_of_one_process(first: Option<Time>, second: Option<Time>, loser: &str) {
    let hosts = || vec![host("a", 1, first), host("n", 1, second), host("b", 2, None)];
    let holder = if loser == "a" { "n" } else { "a" };
    // In two events, in one, and in a whole list that comes again.
    let mut two = list();
    assert!(two.apply_at(NOW, hosts().drain(..1).collect(), false).faults.is_empty());
    assert_eq!(lost(&two.apply_at(NOW, hosts().drain(1..).collect(), false)), [(loser, holder)]);
    let mut one = list();
    for _ in 0..2 {
        let applied = one.apply_at(NOW, hosts(), true);
        assert_eq!(lost(&applied), [(loser, holder)]);
        assert_eq!(applied.hosts.len(), 2);
    }
}

#[test]
fn of_three_at_an_address_one_has_it() {
    let applied =
        list().apply_at(NOW, vec![host("a", 1, ago(3)), host("b", 1, ago(1)), host("c", 1, ago(2))], false);
    let mut found = lost(&applied);
    found.sort_unstable();
    assert_eq!(found, [("a", "b"), ("c", "b")]);
}

#[test]
fn another_address_brings_it_back() {
    let mut list = list();
    list.apply_at(NOW, vec![host("a", 1, None), host("n", 1, ago(1))], false);
    let applied = list.apply_at(NOW, vec![host("a", 2, None)], false);
    assert!(applied.lost.is_empty() && applied.faults.is_empty());
    assert_eq!(applied.hosts[0].listing.phase, Phase::Ready);
}

/// Nor does the holder's end alone: who had lost the address has no process there.
#[test]
fn the_holders_end_brings_nobody_back_but_a_later_entry_does() {
    let mut list = list();
    list.apply_at(NOW, vec![host("a", 1, None), host("n", 1, ago(1))], false);
    let applied = list.apply_at(NOW, vec![phase(Phase::Gone, host("n", 1, ago(1)))], false);
    assert_eq!(applied.hosts.len(), 1);
    assert_eq!(list.apply_at(NOW, vec![host("a", 1, None)], false).hosts.len(), 1);
}

/// The usual order, and a drain that is told late.
#[test]
fn one_that_drains_takes_no_address_of_one_that_is_ready() {
    let mut list = list();
    list.apply_at(NOW, vec![host("a", 1, None)], true);
    let applied = list.apply_at(NOW, vec![phase(Phase::Gone, host("a", 1, None)), host("n", 1, None)], false);
    assert!(lost(&applied).is_empty() && applied.hosts.len() == 2);
    let applied = list.apply_at(NOW, vec![phase(Phase::Draining, host("a", 1, None))], false);
    assert_eq!(lost(&applied), [("a", "n")]);
}

/// Gone and back in one event is as the event has it.
#[test]
fn the_same_name_twice_in_an_event_is_taken_in_its_order() {
    let entries = vec![phase(Phase::Gone, host("a", 1, None)), host("a", 1, None)];
    let applied = list().apply_at(NOW, entries, false);
    let phases: Vec<Phase> = applied.hosts.iter().map(|host| host.listing.phase).collect();
    assert_eq!(phases, [Phase::Gone, Phase::Ready]);
    assert!(applied.faults.is_empty());
}

#[test_case(ago(9); "an earlier one")]
#[test_case(None; "none")]
fn the_latest_start_stays(told: Option<Time>) {
    let mut list = list();
    list.apply_at(NOW, vec![host("a", 1, ago(5))], false);
    let earlier =
        [("a".to_owned(), Fault::EarlierStart { told: told.map_or(0, |_| ms(told)), known: ms(ago(5)) })];
    let applied = list.apply_at(NOW, vec![host("a", 1, told)], false);
    assert_eq!((applied.hosts[0].listing.since, &applied.faults[..]), (ago(5), &earlier[..]));
    // Also of one that was gone meanwhile, and past an own address of another one.
    list.apply_at(NOW, vec![phase(Phase::Gone, host("a", 1, told))], false);
    let applied = list.apply_at(NOW, vec![host("a", 1, told)], false);
    assert_eq!((applied.hosts[0].listing.since, &applied.faults[..]), (ago(5), &earlier[..]));
    // A drain or an end counts, whatever start it tells, and needs no line.
    let applied = list.apply_at(NOW, vec![phase(Phase::Draining, host("a", 1, told))], false);
    assert!(applied.faults.is_empty() && applied.hosts[0].listing.phase == Phase::Draining);
}

/// Of one that has gone its start is known for as long as it says something.
#[test]
fn a_start_is_forgotten_once_it_would_be_warm() {
    let mut list = list();
    list.apply_at(NOW, vec![phase(Phase::Gone, host("a", 1, ago(5)))], false);
    let applied = list.apply_at(NOW + RAMP, vec![host("b", 2, None)], false);
    assert!(applied.faults.is_empty());
    let applied = list.apply_at(NOW + RAMP, vec![host("a", 1, None)], false);
    assert!(applied.faults.is_empty() && applied.hosts[0].listing.since.is_none());
}

#[test]
fn a_start_in_the_future_counts_from_then() {
    let mut list = list();
    let then = Some(NOW + Span::millis(60_000));
    let applied = list.apply_at(NOW, vec![host("a", 1, then)], false);
    assert_eq!(applied.hosts[0].listing.since, then);
    assert_eq!(applied.faults, [("a".to_owned(), Fault::FutureStart(ms(then)))]);
    // Told again it is no news.
    assert!(list.apply_at(NOW, vec![host("a", 1, then)], false).faults.is_empty());
}

#[test_case(0.0; "zero")]
#[test_case(-20.0; "negative")]
#[test_case(f64::NAN; "not a number")]
#[test_case(f64::INFINITY; "infinite")]
fn a_weight_that_can_t_be_used_is_never_more_than_a_listed_one(told: f64) {
    let taken = |others: Vec<Listed>| {
        let applied = list().apply_at(NOW, [vec![weight(told, host("a", 1, None))], others].concat(), true);
        assert_eq!(applied.faults.len(), 1);
        assert!(matches!(applied.faults[0].1, Fault::Weight { .. }));
        applied.hosts[0].listing.weight
    };
    assert_eq!(taken(vec![]), 1.0);
    assert_eq!(taken(vec![host("b", 2, None)]), 1.0);
    assert_eq!(taken(vec![host("b", 2, None), weight(0.25, host("c", 3, None))]), 0.25);
    let mut parent = weight(0.25, host("p", 3, None));
    parent.listing.kind = KindId(1);
    assert_eq!(taken(vec![host("b", 2, None), parent]), 1.0);
}

/// Where weights are not told there is none to be used, and where nothing is sent it says nothing.
#[test]
fn a_weight_that_is_not_wanted_is_no_fault() {
    let mut untold = List::new(RAMP, false);
    let applied = untold.apply_at(NOW, vec![weight(0.0, host("a", 1, None))], true);
    assert!(applied.faults.is_empty() && applied.hosts[0].listing.weight == 1.0);
    let applied = list().apply_at(NOW, vec![phase(Phase::Draining, weight(0.0, host("a", 1, None)))], true);
    assert!(applied.faults.is_empty());
}

/// Told before two changes told the time, it is dated as of then; what is heard since dates it as it was.
#[test]
fn a_start_is_dated_anew_once_more_is_known() {
    let (mut list, mut change_clock) = (list(), ChangeClock::default());
    let (now, wall) = (NOW, UnixTime(NOW.0));
    let clocks = Clocks { now, wall, change_clock: &change_clock };
    let applied = list.apply(&clocks, vec![host("a", 1, ago(3)), host("b", 2, None)], true);
    assert_eq!(applied.hosts[0].listing.since, Some(NOW));
    assert_eq!(list.redate(&clocks), []);
    let now = NOW + Span::millis(1_000);
    [now.0, now.0 + 1].into_iter().for_each(|stamp| change_clock.heard(now, UnixTime(stamp)));
    let clocks = Clocks { now, wall, change_clock: &change_clock };
    assert_eq!(list.redate(&clocks), [(host_id("a"), ago(3).unwrap())]);
    assert_eq!(list.redate(&clocks), []);
    let applied = list.apply(&clocks, vec![host("a", 1, ago(3))], false);
    assert_eq!(applied.hosts[0].listing.since, ago(3));
}
