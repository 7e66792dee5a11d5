//! Which records are written ahead of hand-offs, which are replayed at a start, and when they expire.
use cherrypass::ids::{GroupId, HostId, ObjectId, VisitId};
use cherrypass::settings::{Effect, Group};
use cherrypass::time::{Span, UnixTime};
use cherrypass_keep::boot_time::BootTime;
use cherrypass_keep::purges::{self, Purge};
use cherrypass_keep::versions;
use cherrypass_keep::visits::{EarlierTry, InDoubtVisit, Visits, WriteAhead, WriteResult};
use std::collections::BTreeMap;
use test_case::test_case;

const ONE_DAY: Span = Span::millis(86_400_000);
const KEY: &[u8] = b"k1";

fn deduplicated() -> Effect {
    Effect::Deduplicated { group: Group::Location, retention: Span::millis(4_000) }
}

/// A machine's boot that all runs have in common.
const BOOT: u128 = 5;

fn booted(micros: u64) -> Option<BootTime> {
    Some(BootTime { boot: BOOT, micros })
}

fn sent(sent_at: u64) -> InDoubtVisit {
    let (class_name, host_name, repeat_window) = ("paid".into(), "s-a".into(), None);
    InDoubtVisit { class_name, sent_at, host: 7, host_name, repeat_window, boot_time: booted(sent_at) }
}

fn earlier_try(sent_at: u64, host: u64) -> Option<EarlierTry> {
    Some(EarlierTry { sent_at: Some(UnixTime(sent_at)), host: HostId(host) })
}

/// The store's contents.
type StoreContents = BTreeMap<Vec<u8>, Vec<u8>>;

fn apply(contents: &mut StoreContents, record: cherrypass_keep::records::Record) {
    match record.value {
        Some(value) => drop(contents.insert(record.key, value)),
        None => drop(contents.remove(&record.key)),
    }
}

/// Restores on the same boot, with a wall clock that was not stepped.
fn restore(now: UnixTime, contents: &StoreContents) -> Visits {
    restore_at(now, booted(now.0), contents)
}

fn restore_at(now: UnixTime, boot_now: Option<BootTime>, contents: &StoreContents) -> Visits {
    let records = contents.iter().map(|(key, value)| (&key[..], &value[..]));
    Visits::restore(now, boot_now, records, ONE_DAY, false)
}

fn hand_off(visits: &mut Visits, contents: &mut StoreContents, id: u32, at: u64) -> bool {
    match visits.register_hand_off(VisitId(id), KEY, deduplicated(), sent(at)) {
        WriteAhead::NotNeeded => false,
        WriteAhead::Required(record) => {
            apply(contents, record);
            visits.record_result(VisitId(id), WriteResult::Written)
        }
    }
}

#[test]
fn only_the_first_hand_off_writes_a_record() {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    assert_eq!(
        visits.register_hand_off(VisitId(9), b"x", Effect::Idempotent, sent(1)),
        WriteAhead::NotNeeded
    );
    assert!(hand_off(&mut visits, &mut contents, 1, 10) && contents.len() == 1);
    visits.hand_off_ended(VisitId(1), false);
    assert!(!hand_off(&mut visits, &mut contents, 1, 20));
    visits.hand_off_ended(VisitId(1), false);
    apply(&mut contents, visits.close(VisitId(1), true).unwrap());
    assert!(contents.is_empty() && visits.unresolved().count() == 0);
}

#[test_case(true, false, true; "served")]
#[test_case(false, true, true; "never ran")]
#[test_case(false, false, false; "may have run")]
fn the_record_is_deleted_only_if_a_repeat_can_do_no_harm(
    was_served: bool,
    is_not_executed: bool,
    is_deleted: bool,
) {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    hand_off(&mut visits, &mut contents, 1, 10);
    visits.hand_off_ended(VisitId(1), is_not_executed);
    assert_eq!(visits.close(VisitId(1), was_served).is_some(), is_deleted);
    assert_eq!(visits.earlier_try(UnixTime(11), KEY).is_none(), is_deleted);
}

#[test]
fn a_visit_whose_client_left_during_a_hand_off_may_have_run() {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    hand_off(&mut visits, &mut contents, 1, 10);
    assert_eq!(visits.close(VisitId(1), false), None);
    assert_eq!(visits.earlier_try(UnixTime(11), KEY), earlier_try(10, 7));
}

#[test]
fn a_concurrent_retry_keeps_the_first_trys_record() {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    assert!(hand_off(&mut visits, &mut contents, 1, 10));
    assert!(
        !hand_off(&mut visits, &mut contents, 2, 50),
        "the first try's record was overwritten with a later time"
    );
    assert_eq!(visits.earlier_try(UnixTime(60), KEY), earlier_try(10, 7));
    // The first is served while the second is pending: the record must survive a crash at this point.
    visits.hand_off_ended(VisitId(1), false);
    assert_eq!(visits.close(VisitId(1), true), None);
    assert_eq!(restore(UnixTime(70), &contents).earlier_try(UnixTime(70), KEY), earlier_try(10, 7));
    visits.hand_off_ended(VisitId(2), false);
    apply(&mut contents, visits.close(VisitId(2), true).unwrap());
    assert!(contents.is_empty());
}

#[test]
fn the_record_names_the_first_hand_off_that_may_have_run() {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    assert!(hand_off(&mut visits, &mut contents, 1, 10));
    visits.hand_off_ended(VisitId(1), true);
    let other = InDoubtVisit { host: 9, host_name: "s-b".into(), ..sent(50) };
    let WriteAhead::Required(record) = visits.register_hand_off(VisitId(1), KEY, deduplicated(), other)
    else {
        panic!("no record")
    };
    apply(&mut contents, record);
    assert_eq!(restore(UnixTime(70), &contents).earlier_try(UnixTime(70), KEY), earlier_try(50, 9));
}

#[test]
fn after_a_crash_the_first_hand_off_is_known_beyond_the_deduplication_window() {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    hand_off(&mut visits, &mut contents, 1, 10);
    let mut visits = restore(UnixTime(20), &contents);
    assert_eq!(visits.earlier_try(UnixTime(20), KEY), earlier_try(10, 7));
    // A try after the restart is covered by the record of the first one.
    assert!(!hand_off(&mut visits, &mut contents, 1, 30));
    visits.hand_off_ended(VisitId(1), true);
    assert_eq!(visits.close(VisitId(1), false), None);
    let visits = restore(UnixTime(40), &contents);
    assert_eq!(visits.earlier_try(UnixTime(9_000_000), KEY), earlier_try(10, 7));
    assert!(restore(UnixTime(10) + ONE_DAY, &contents).earlier_try(UnixTime(10) + ONE_DAY, KEY).is_none());
}

/// Guards against a repeat past the deduplication window, or a forgotten visit, after the wall clock was stepped between
/// two runs.
#[test_case(50, 10; "by ten days back")]
#[test_case(20 * ONE_DAY.0, 20 * ONE_DAY.0 - 40; "by ten days ahead")]
fn the_age_of_a_record_does_not_depend_on_the_wall_clock(now: u64, sent_at: u64) {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    let first = InDoubtVisit { boot_time: booted(100), ..sent(10 * ONE_DAY.0) };
    let WriteAhead::Required(record) = visits.register_hand_off(VisitId(1), KEY, deduplicated(), first)
    else {
        panic!("no record")
    };
    assert_eq!(record.expires_at, None, "the store would drop it by the wall clock");
    apply(&mut contents, record);
    let mut visits = restore_at(UnixTime(now), booted(140), &contents);
    assert_eq!(visits.earlier_try(UnixTime(now), KEY), earlier_try(sent_at, 7));
    assert!(visits.earlier_try(UnixTime(sent_at) + ONE_DAY, KEY).is_none());
    assert!(visits.remove_expired(UnixTime(now)).is_empty());
    let deletions = visits.remove_expired(UnixTime(sent_at) + ONE_DAY);
    deletions.into_iter().for_each(|record| apply(&mut contents, record));
    assert!(contents.is_empty());
}

/// Guards against a repeat past the deduplication window after a reboot, on another machine, or with a record of an
/// earlier version: of none of them the age is known.
#[test_case(Some(BootTime { boot: 6, micros: 500 }), booted(100); "after a reboot")]
#[test_case(None, booted(100); "where the boot is not known")]
#[test_case(booted(500), None; "where the boot was not known")]
#[test_case(booted(50), booted(100); "a boot clock that is behind")]
fn a_record_without_a_known_age_allows_no_repeat(boot_now: Option<BootTime>, boot_time: Option<BootTime>) {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    let first = InDoubtVisit { boot_time, ..sent(10) };
    let WriteAhead::Required(record) = visits.register_hand_off(VisitId(1), KEY, deduplicated(), first)
    else {
        panic!("no record")
    };
    apply(&mut contents, record);
    let now = UnixTime(10 * ONE_DAY.0);
    let visits = restore_at(now, boot_now, &contents);
    let unknown = Some(EarlierTry { sent_at: None, host: HostId(7) });
    assert_eq!(visits.earlier_try(now, KEY), unknown);
    assert_eq!(
        visits.earlier_try(UnixTime(now.0 + ONE_DAY.0 - 1), KEY),
        unknown,
        "remembered from the start on"
    );
    assert!(visits.earlier_try(now + ONE_DAY, KEY).is_none());
}

/// Guards against a forgotten visit after an upgrade: records of earlier versions end before the boot time.
#[test]
fn a_record_of_an_earlier_version_is_read() {
    let (mut visits, mut contents) = (restore(UnixTime(0), &StoreContents::new()), StoreContents::new());
    hand_off(&mut visits, &mut contents, 1, 10);
    let value = contents.get_mut(KEY).unwrap();
    let boot_time = postcard::to_stdvec(&booted(10)).unwrap();
    value.truncate(value.len() - boot_time.len());
    let unknown = Some(EarlierTry { sent_at: None, host: HostId(7) });
    assert_eq!(restore(UnixTime(20), &contents).earlier_try(UnixTime(20), KEY), unknown);
}

#[test_case(false, false; "is held back")]
#[test_case(true, true; "is sent without a record")]
fn a_hand_off_whose_record_is_refused(sends_unrecorded: bool, is_sent: bool) {
    let mut visits = Visits::restore(UnixTime(0), None, std::iter::empty(), ONE_DAY, sends_unrecorded);
    assert!(matches!(
        visits.register_hand_off(VisitId(1), KEY, deduplicated(), sent(1)),
        WriteAhead::Required(_)
    ));
    assert_eq!(visits.record_result(VisitId(1), WriteResult::Refused), is_sent);
    assert_eq!((visits.take_refused_count(), visits.take_refused_count()), (1, 0));
    // The next hand-off requires its record again.
    visits.hand_off_ended(VisitId(1), true);
    assert!(matches!(
        visits.register_hand_off(VisitId(1), KEY, deduplicated(), sent(2)),
        WriteAhead::Required(_)
    ));
}

#[test]
fn purges_are_kept_for_their_retention() {
    let retention = Span::millis(7_000);
    let purge = |object, at| Purge { group: GroupId(3), object, issued_at: UnixTime(at), change_number: 5 };
    let (single, all) = (purge(Some(ObjectId(8)), 1_000_000), purge(None, 2_000_000));
    let records = [single, all].map(|purge| purges::record(UnixTime(2_000_000), &purge, retention).unwrap());
    assert!(records[0].key != records[1].key && records[0].expires_at == Some(UnixTime(8_000_000)));
    let values = || records.iter().map(|record| record.value.as_deref().unwrap());
    assert_eq!(purges::replay(UnixTime(3_000_000), values(), retention), [single, all]);
    assert_eq!(purges::replay(UnixTime(8_500_000), values(), retention), [all]);
    assert_eq!(purges::record(UnixTime(8_000_000), &single, retention), None);
    // After this machine's clock was set back: purges keep the times of the change log.
    assert_eq!(purges::replay(UnixTime(5), values(), retention), [single, all]);
    assert_eq!(purges::replay(UnixTime(3_000_000), [&b"\xff\xff\xff"[..]].into_iter(), retention), []);
}

#[test]
fn configurations_are_numbered_and_the_oldest_are_deleted() {
    let mut contents = StoreContents::new();
    let mut put = |text: &[u8], at| {
        let known = versions::decode_all(contents.values().map(|value| &value[..]));
        let records = versions::activation_records(&known, "a.json", text, UnixTime(at), 2);
        let changed = records.len();
        records.into_iter().for_each(|record| apply(&mut contents, record));
        (changed, versions::decode_all(contents.values().map(|value| &value[..])))
    };
    assert_eq!(put(b"one", 1).0, 1);
    assert_eq!(put(b"one", 2).0, 0);
    put(b"two", 3);
    let (_, known) = put(b"three", 4);
    let seen: Vec<_> =
        known.iter().map(|v| (v.number, &v.text[..], v.in_force_since, v.in_force_until)).collect();
    assert_eq!(seen, [(2, &b"two"[..], 3, Some(4)), (3, &b"three"[..], 4, None)]);
}
