//! What is written before what, what is replayed, and what is too old.
use cherrypass::ids::{GroupId, HostId, ObjectId, VisitId};
use cherrypass::settings::{Effect, Group};
use cherrypass::time::{Span, UnixTime};
use cherrypass_keep::purges::{self, Purge};
use cherrypass_keep::versions;
use cherrypass_keep::visits::{Before, MayHaveRun, Taken, Visits};
use std::collections::BTreeMap;
use test_case::test_case;

const DAY: Span = Span::millis(86_400_000);
const NAME: &[u8] = b"k1";

fn keyed() -> Effect {
    Effect::Deduplicated { group: Group::Location, memory: Span::millis(4_000) }
}

fn told(at: u64) -> MayHaveRun {
    MayHaveRun { band: "paid".into(), at, host: 7, host_name: "s-a".into(), memory: None }
}

/// What the store would hold.
type Disk = BTreeMap<Vec<u8>, Vec<u8>>;

fn apply(disk: &mut Disk, record: cherrypass_keep::records::Record) {
    match record.value {
        Some(value) => drop(disk.insert(record.key, value)),
        None => drop(disk.remove(&record.key)),
    }
}

fn start(now: UnixTime, disk: &Disk) -> Visits {
    Visits::start(now, disk.iter().map(|(key, value)| (&key[..], &value[..])), DAY, false)
}

fn hand_off(visits: &mut Visits, disk: &mut Disk, id: u32, at: u64) -> bool {
    match visits.hand_off(VisitId(id), NAME, keyed(), told(at)) {
        Before::Go => false,
        Before::Record(record) => {
            apply(disk, record);
            visits.taken(VisitId(id), Taken::Kept)
        }
    }
}

#[test]
fn a_record_before_the_first_hand_off_and_none_before_the_next() {
    let (mut visits, mut disk) = (start(UnixTime(0), &Disk::new()), Disk::new());
    assert_eq!(visits.hand_off(VisitId(9), b"x", Effect::Idempotent, told(1)), Before::Go);
    assert!(hand_off(&mut visits, &mut disk, 1, 10) && disk.len() == 1);
    visits.ended(VisitId(1), false);
    assert!(!hand_off(&mut visits, &mut disk, 1, 20));
    visits.ended(VisitId(1), false);
    apply(&mut disk, visits.closed(VisitId(1), true).unwrap());
    assert!(disk.is_empty() && visits.over().count() == 0);
}

#[test_case(true, false, true; "settled")]
#[test_case(false, true, true; "never ran")]
#[test_case(false, false, false; "may have run")]
fn a_record_goes_only_where_no_repeat_can_do_harm(settled: bool, never_ran: bool, goes: bool) {
    let (mut visits, mut disk) = (start(UnixTime(0), &Disk::new()), Disk::new());
    hand_off(&mut visits, &mut disk, 1, 10);
    visits.ended(VisitId(1), never_ran);
    assert_eq!(visits.closed(VisitId(1), settled).is_some(), goes);
    assert_eq!(visits.arrived(UnixTime(11), NAME).is_none(), goes);
}

#[test]
fn one_whose_client_left_while_it_was_out_may_have_run() {
    let (mut visits, mut disk) = (start(UnixTime(0), &Disk::new()), Disk::new());
    hand_off(&mut visits, &mut disk, 1, 10);
    assert_eq!(visits.closed(VisitId(1), false), None);
    assert_eq!(visits.arrived(UnixTime(11), NAME), Some((UnixTime(10), HostId(7))));
}

#[test]
fn a_retry_beside_the_first_try_counts_from_the_first_and_keeps_its_record() {
    let (mut visits, mut disk) = (start(UnixTime(0), &Disk::new()), Disk::new());
    assert!(hand_off(&mut visits, &mut disk, 1, 10));
    assert!(!hand_off(&mut visits, &mut disk, 2, 50), "a later time written over the first one's");
    assert_eq!(visits.arrived(UnixTime(60), NAME), Some((UnixTime(10), HostId(7))));
    // The first settles while the second is out: a crash now must still tell of it.
    visits.ended(VisitId(1), false);
    assert_eq!(visits.closed(VisitId(1), true), None);
    assert_eq!(start(UnixTime(70), &disk).arrived(UnixTime(70), NAME), Some((UnixTime(10), HostId(7))));
    visits.ended(VisitId(2), false);
    apply(&mut disk, visits.closed(VisitId(2), true).unwrap());
    assert!(disk.is_empty());
}

#[test]
fn a_record_is_of_the_first_that_may_have_run() {
    let (mut visits, mut disk) = (start(UnixTime(0), &Disk::new()), Disk::new());
    assert!(hand_off(&mut visits, &mut disk, 1, 10));
    visits.ended(VisitId(1), true);
    let other = MayHaveRun { host: 9, host_name: "s-b".into(), ..told(50) };
    let Before::Record(record) = visits.hand_off(VisitId(1), NAME, keyed(), other) else {
        panic!("no record")
    };
    apply(&mut disk, record);
    assert_eq!(start(UnixTime(70), &disk).arrived(UnixTime(70), NAME), Some((UnixTime(50), HostId(9))));
}

#[test]
fn after_a_crash_the_first_hand_off_stands_also_past_the_groups_memory() {
    let (mut visits, mut disk) = (start(UnixTime(0), &Disk::new()), Disk::new());
    hand_off(&mut visits, &mut disk, 1, 10);
    let mut visits = start(UnixTime(20), &disk);
    assert_eq!(visits.arrived(UnixTime(20), NAME), Some((UnixTime(10), HostId(7))));
    // A try through the new dispatcher goes out under the first one's record.
    assert!(!hand_off(&mut visits, &mut disk, 1, 30));
    visits.ended(VisitId(1), true);
    assert_eq!(visits.closed(VisitId(1), false), None);
    let visits = start(UnixTime(40), &disk);
    assert_eq!(visits.arrived(UnixTime(9_000_000), NAME), Some((UnixTime(10), HostId(7))));
    assert!(start(UnixTime(10) + DAY, &disk).arrived(UnixTime(10) + DAY, NAME).is_none());
}

#[test]
fn a_clock_set_back_lets_no_record_last_for_ever() {
    let (mut visits, mut disk) = (start(UnixTime(0), &Disk::new()), Disk::new());
    hand_off(&mut visits, &mut disk, 1, 10 * DAY.0);
    let visits = start(UnixTime(50), &disk);
    assert_eq!(visits.arrived(UnixTime(60), NAME), Some((UnixTime(50), HostId(7))));
    assert!(visits.arrived(UnixTime(50) + DAY, NAME).is_none());
}

#[test_case(false, false; "held back")]
#[test_case(true, true; "goes on")]
fn a_record_that_is_refused(go_on: bool, goes: bool) {
    let mut visits = Visits::start(UnixTime(0), std::iter::empty(), DAY, go_on);
    assert!(matches!(visits.hand_off(VisitId(1), NAME, keyed(), told(1)), Before::Record(_)));
    assert_eq!(visits.taken(VisitId(1), Taken::Refused), goes);
    assert_eq!((visits.refused(), visits.refused()), (1, 0));
    // The next try asks for its record again.
    visits.ended(VisitId(1), true);
    assert!(matches!(visits.hand_off(VisitId(1), NAME, keyed(), told(2)), Before::Record(_)));
}

#[test]
fn purges_hold_as_long_as_an_older_copy_can_turn_up() {
    let memory = Span::millis(7_000);
    let purge = |object, at| Purge { group: GroupId(3), object, at: UnixTime(at), change: 5 };
    let (one, all) = (purge(Some(ObjectId(8)), 1_000_000), purge(None, 2_000_000));
    let records = [one, all].map(|purge| purges::record(UnixTime(2_000_000), &purge, memory).unwrap());
    assert!(records[0].key != records[1].key && records[0].until == Some(UnixTime(8_000_000)));
    let values = || records.iter().map(|record| record.value.as_deref().unwrap());
    assert_eq!(purges::replay(UnixTime(3_000_000), values(), memory), [one, all]);
    assert_eq!(purges::replay(UnixTime(8_500_000), values(), memory), [all]);
    assert_eq!(purges::record(UnixTime(8_000_000), &one, memory), None);
    // The clock was set back: what is to come counts from now on, once.
    // Of a clock that was set back since: dated as it was told.
    assert_eq!(purges::replay(UnixTime(5), values(), memory), [one, all]);
    assert_eq!(purges::replay(UnixTime(3_000_000), [&b"\xff\xff\xff"[..]].into_iter(), memory), []);
}

#[test]
fn configurations_are_numbered_and_the_oldest_go() {
    let mut disk = Disk::new();
    let mut put = |text: &[u8], at| {
        let known = versions::known(disk.values().map(|value| &value[..]));
        let records = versions::in_force(&known, "a.json", text, UnixTime(at), 2);
        let changed = records.len();
        records.into_iter().for_each(|record| apply(&mut disk, record));
        (changed, versions::known(disk.values().map(|value| &value[..])))
    };
    assert_eq!(put(b"one", 1).0, 1);
    assert_eq!(put(b"one", 2).0, 0);
    put(b"two", 3);
    let (_, known) = put(b"three", 4);
    let seen: Vec<_> = known.iter().map(|v| (v.number, &v.text[..], v.since, v.until)).collect();
    assert_eq!(seen, [(2, &b"two"[..], 3, Some(4)), (3, &b"three"[..], 4, None)]);
}
