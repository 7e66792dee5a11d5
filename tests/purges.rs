//! Purges stay in force for as long as the process runs, in bounded memory.
use cherrypass::ids::{GroupId, ObjectId};
use cherrypass::purges::{Purges, HASH_SLOTS, MAX_TRACKED};
use cherrypass::time::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const GROUPS: u32 = 32;

#[test]
fn recorded_purges_are_never_dropped() {
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let mut purges = Purges::default();
    let mut objects: BTreeMap<ObjectId, Time> = BTreeMap::new();
    let mut groups: BTreeMap<GroupId, Time> = BTreeMap::new();
    for second in 1..=3 * MAX_TRACKED as u64 {
        // Some purges arrive late, after more recent ones.
        let at = Time(second * 1_000_000 - rng.gen_range(0..9_000_000).min(second * 1_000_000));
        if rng.gen_bool(0.01) {
            let group = GroupId(rng.gen_range(0..GROUPS));
            purges.record(group, None, at);
            let known = groups.entry(group).or_insert(at);
            *known = at.max(*known);
        } else {
            let object = ObjectId(rng.gen_range(0..20_000));
            purges.record(GroupId(0), Some(object), at);
            let known = objects.entry(object).or_insert(at);
            *known = at.max(*known);
        }
        assert!(purges.tracked_count() <= MAX_TRACKED);
    }
    for (object, at) in &objects {
        let group = GroupId(object.0 as u32 % GROUPS);
        let expected = groups.get(&group).max(Some(at)).copied();
        assert!(purges.latest(group, *object) >= expected, "{object:?} was purged at {expected:?}");
    }
}

#[test]
fn unpurged_objects_are_affected_by_old_purges_only() {
    let mut purges = Purges::default();
    let unpurged = (0..1000).map(|number| ObjectId((1 << 40) | (number * 7919)));
    (0..MAX_TRACKED as u64)
        .for_each(|number| purges.record(GroupId(0), Some(ObjectId(number)), Time(number)));
    assert_eq!(unpurged.clone().filter_map(|object| purges.latest(GroupId(1), object)).count(), 0);
    let more = MAX_TRACKED as u64..(MAX_TRACKED + HASH_SLOTS) as u64;
    more.for_each(|number| purges.record(GroupId(0), Some(ObjectId(number)), Time(number)));
    let bound: Vec<Time> = unpurged.filter_map(|object| purges.latest(GroupId(1), object)).collect();
    assert!(
        bound.iter().all(|at| at.0 < HASH_SLOTS as u64),
        "affected by a purge that is tracked individually"
    );
    assert!(bound.len() < 900, "{} of 1000 are affected", bound.len());
}

#[test]
fn a_late_purge_does_not_replace_a_later_one() {
    let mut purges = Purges::default();
    purges.record(GroupId(3), Some(ObjectId(7)), Time(50));
    purges.record(GroupId(3), Some(ObjectId(7)), Time(20));
    purges.record(GroupId(3), None, Time(30));
    assert_eq!(purges.latest(GroupId(3), ObjectId(7)), Some(Time(50)));
    assert_eq!(purges.latest(GroupId(3), ObjectId(8)), Some(Time(30)));
    assert_eq!(purges.latest(GroupId(4), ObjectId(8)), None);
}
