//! The host list in force: how faulty entries are interpreted.
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::{CellId, KindId, LocationId};
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_dispatcher::change_clock::ChangeClock;
use cherrypass_dispatcher::change_log::host_id;
use cherrypass_dispatcher::host_list::{AppliedUpdate, Clocks, EntryFault, HostList};
use cherrypass_dispatcher::inbox::ListedHost;
use std::net::SocketAddr;
use test_case::test_case;

/// This process's clock and the change log's show the same time here.
const NOW: Time = Time(1_764_576_000_000_000);
const RAMP: Span = Span::millis(20_000);

fn ago(seconds: u64) -> Option<Time> {
    Some(NOW - Span::millis(1_000 * seconds))
}

fn ms(start: Option<Time>) -> u64 {
    start.unwrap().0 / 1000
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// A cache listed at a port.
fn host(name: &str, port: u16, since: Option<Time>) -> ListedHost {
    let (host, kind, cell) = (host_id(name), KindId(0), CellId(0));
    let (location, phase, started) = (LocationId(0), Phase::Ready, since.map(|since| UnixTime(since.0)));
    let listing = Listing { host, location, kind, cell, weight: 20.0, started_at: None, phase };
    ListedHost { listing, started, name: name.into(), address: Some(at(port)) }
}

trait ApplyAt {
    /// Applies an update at a time that two changes and the wall clock agree on.
    fn apply_at(&mut self, now: Time, hosts: Vec<ListedHost>, whole: bool) -> AppliedUpdate;
}

impl ApplyAt for HostList {
    fn apply_at(&mut self, now: Time, hosts: Vec<ListedHost>, whole: bool) -> AppliedUpdate {
        let mut change_clock = ChangeClock::default();
        [now.0, now.0 + 1].into_iter().for_each(|stamp| change_clock.observe(now, UnixTime(stamp)));
        self.apply(&Clocks { now, wall: UnixTime(now.0), change_clock: &change_clock }, hosts, whole)
    }
}

fn phase(phase: Phase, host: ListedHost) -> ListedHost {
    ListedHost { listing: Listing { phase, ..host.listing }, ..host }
}

fn weight(weight: f64, host: ListedHost) -> ListedHost {
    ListedHost { listing: Listing { weight, ..host.listing }, ..host }
}

fn list() -> HostList {
    HostList::new(RAMP, true)
}

/// Names of the hosts that lost their address, each with the name of its holder.
fn displaced(applied: &AppliedUpdate) -> Vec<(&str, &str)> {
    let found = applied.faults.iter().filter_map(|(name, fault)| match fault {
        EntryFault::AddressTaken { holder, .. } => Some((&name[..], &holder[..])),
        _ => None,
    });
    let found: Vec<(&str, &str)> = found.collect();
    assert_eq!(found.len(), applied.displaced.len());
    for (name, _) in &found {
        assert!(applied.displaced.iter().any(|host| host.host == host_id(name) && host.phase == Phase::Gone));
        assert!(applied.hosts.iter().all(|host| host.name != *name), "{name} is in force as well");
    }
    found
}

#[test_case(None, ago(1), "a"; "only the last one has a start")]
#[test_case(ago(2), ago(1), "a"; "the later start is listed last")]
#[test_case(ago(1), ago(2), "n"; "the later start is listed first")]
#[test_case(ago(1), None, "n"; "the last one has no start")]
#[test_case(None, None, "a"; "no starts, the last one wins")]
#[test_case(ago(1), ago(1), "a"; "the same start, the last one wins")]
fn an_address_has_one_holder(first: Option<Time>, second: Option<Time>, loser: &str) {
    let hosts = || vec![host("a", 1, first), host("n", 1, second), host("b", 2, None)];
    let holder = if loser == "a" { "n" } else { "a" };
    // In two updates, in one, and in a whole list that is repeated.
    let mut updated_twice = list();
    assert!(updated_twice.apply_at(NOW, hosts().drain(..1).collect(), false).faults.is_empty());
    assert_eq!(
        displaced(&updated_twice.apply_at(NOW, hosts().drain(1..).collect(), false)),
        [(loser, holder)]
    );
    let mut updated_whole = list();
    for _ in 0..2 {
        let applied = updated_whole.apply_at(NOW, hosts(), true);
        assert_eq!(displaced(&applied), [(loser, holder)]);
        assert_eq!(applied.hosts.len(), 2);
    }
}

#[test]
fn one_of_three_hosts_holds_an_address() {
    let applied =
        list().apply_at(NOW, vec![host("a", 1, ago(3)), host("b", 1, ago(1)), host("c", 1, ago(2))], false);
    let mut found = displaced(&applied);
    found.sort_unstable();
    assert_eq!(found, [("a", "b"), ("c", "b")]);
}

#[test]
fn a_host_returns_at_another_address() {
    let mut list = list();
    list.apply_at(NOW, vec![host("a", 1, None), host("n", 1, ago(1))], false);
    let applied = list.apply_at(NOW, vec![host("a", 2, None)], false);
    assert!(applied.displaced.is_empty() && applied.faults.is_empty());
    assert_eq!(applied.hosts[0].listing.phase, Phase::Ready);
}

/// The host that lost the address has no process there until an entry lists it again.
#[test]
fn after_the_holder_is_gone_only_a_later_entry_restores_the_other_host() {
    let mut list = list();
    list.apply_at(NOW, vec![host("a", 1, None), host("n", 1, ago(1))], false);
    let applied = list.apply_at(NOW, vec![phase(Phase::Gone, host("n", 1, ago(1)))], false);
    assert_eq!(applied.hosts.len(), 1);
    assert_eq!(list.apply_at(NOW, vec![host("a", 1, None)], false).hosts.len(), 1);
}

/// Covers the usual order of a replacement, and a drain that is listed late.
#[test]
fn a_draining_host_takes_no_address_from_a_ready_one() {
    let mut list = list();
    list.apply_at(NOW, vec![host("a", 1, None)], true);
    let applied = list.apply_at(NOW, vec![phase(Phase::Gone, host("a", 1, None)), host("n", 1, None)], false);
    assert!(displaced(&applied).is_empty() && applied.hosts.len() == 2);
    let applied = list.apply_at(NOW, vec![phase(Phase::Draining, host("a", 1, None))], false);
    assert_eq!(displaced(&applied), [("a", "n")]);
}

#[test]
fn entries_with_the_same_name_are_applied_in_order() {
    let entries = vec![phase(Phase::Gone, host("a", 1, None)), host("a", 1, None)];
    let applied = list().apply_at(NOW, entries, false);
    let phases: Vec<Phase> = applied.hosts.iter().map(|host| host.listing.phase).collect();
    assert_eq!(phases, [Phase::Gone, Phase::Ready]);
    assert!(applied.faults.is_empty());
}

#[test_case(ago(9); "an earlier start")]
#[test_case(None; "no start")]
fn the_latest_start_stays(listed: Option<Time>) {
    let mut list = list();
    list.apply_at(NOW, vec![host("a", 1, ago(5))], false);
    let earlier = [(
        "a".to_owned(),
        EntryFault::EarlierStart { listed: listed.map_or(0, |_| ms(listed)), known: ms(ago(5)) },
    )];
    let applied = list.apply_at(NOW, vec![host("a", 1, listed)], false);
    assert_eq!((applied.hosts[0].listing.started_at, &applied.faults[..]), (ago(5), &earlier[..]));
    // Also if the host was gone in between.
    list.apply_at(NOW, vec![phase(Phase::Gone, host("a", 1, listed))], false);
    let applied = list.apply_at(NOW, vec![host("a", 1, listed)], false);
    assert_eq!((applied.hosts[0].listing.started_at, &applied.faults[..]), (ago(5), &earlier[..]));
    // A drain or a removal takes effect whatever its start, and is no fault.
    let applied = list.apply_at(NOW, vec![phase(Phase::Draining, host("a", 1, listed))], false);
    assert!(applied.faults.is_empty() && applied.hosts[0].listing.phase == Phase::Draining);
}

/// The start of a host that is gone is kept only until the host would be warm.
#[test]
fn the_start_of_a_gone_host_is_dropped_after_the_ramp() {
    let mut list = list();
    list.apply_at(NOW, vec![phase(Phase::Gone, host("a", 1, ago(5)))], false);
    let applied = list.apply_at(NOW + RAMP, vec![host("b", 2, None)], false);
    assert!(applied.faults.is_empty());
    let applied = list.apply_at(NOW + RAMP, vec![host("a", 1, None)], false);
    assert!(applied.faults.is_empty() && applied.hosts[0].listing.started_at.is_none());
}

#[test]
fn a_start_in_the_future_is_kept() {
    let mut list = list();
    let then = Some(NOW + Span::millis(60_000));
    let applied = list.apply_at(NOW, vec![host("a", 1, then)], false);
    assert_eq!(applied.hosts[0].listing.started_at, then);
    assert_eq!(applied.faults, [("a".to_owned(), EntryFault::FutureStart(ms(then)))]);
    // Repeated, it is not reported again.
    assert!(list.apply_at(NOW, vec![host("a", 1, then)], false).faults.is_empty());
}

#[test_case(0.0; "zero")]
#[test_case(-20.0; "negative")]
#[test_case(f64::NAN; "not a number")]
#[test_case(f64::INFINITY; "infinite")]
fn an_unusable_weight_counts_as_no_more_than_a_listed_one(listed: f64) {
    let effective = |others: Vec<ListedHost>| {
        let applied = list().apply_at(NOW, [vec![weight(listed, host("a", 1, None))], others].concat(), true);
        assert_eq!(applied.faults.len(), 1);
        assert!(matches!(applied.faults[0].1, EntryFault::UnusableWeight { .. }));
        applied.hosts[0].listing.weight
    };
    assert_eq!(effective(vec![]), 1.0);
    assert_eq!(effective(vec![host("b", 2, None)]), 1.0);
    assert_eq!(effective(vec![host("b", 2, None), weight(0.25, host("c", 3, None))]), 0.25);
    let mut parent = weight(0.25, host("p", 3, None));
    parent.listing.kind = KindId(1);
    assert_eq!(effective(vec![host("b", 2, None), parent]), 1.0);
}

/// The weight is irrelevant if weights are not used or the host drains.
#[test]
fn an_irrelevant_weight_is_no_fault() {
    let mut unweighted = HostList::new(RAMP, false);
    let applied = unweighted.apply_at(NOW, vec![weight(0.0, host("a", 1, None))], true);
    assert!(applied.faults.is_empty() && applied.hosts[0].listing.weight == 1.0);
    let applied = list().apply_at(NOW, vec![phase(Phase::Draining, weight(0.0, host("a", 1, None)))], true);
    assert!(applied.faults.is_empty());
}

/// A start that is listed before two stamps are known counts as now, and is corrected once they are.
#[test]
fn a_start_is_redated_once_the_change_clock_is_known() {
    let (mut list, mut change_clock) = (list(), ChangeClock::default());
    let (now, wall) = (NOW, UnixTime(NOW.0));
    let clocks = Clocks { now, wall, change_clock: &change_clock };
    let applied = list.apply(&clocks, vec![host("a", 1, ago(3)), host("b", 2, None)], true);
    assert_eq!(applied.hosts[0].listing.started_at, Some(NOW));
    assert_eq!(list.redate(&clocks), []);
    let now = NOW + Span::millis(1_000);
    [now.0, now.0 + 1].into_iter().for_each(|stamp| change_clock.observe(now, UnixTime(stamp)));
    let clocks = Clocks { now, wall, change_clock: &change_clock };
    assert_eq!(list.redate(&clocks), [(host_id("a"), ago(3).unwrap())]);
    assert_eq!(list.redate(&clocks), []);
    let applied = list.apply(&clocks, vec![host("a", 1, ago(3))], false);
    assert_eq!(applied.hosts[0].listing.started_at, ago(3));
}
