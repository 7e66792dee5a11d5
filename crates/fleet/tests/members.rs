//! Who is there, on a made network under seeded faults, and against peers that lie.
#[allow(dead_code)]
#[path = "members/node.rs"]
mod node;

use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::members::{Body, Claim, Effect, Members, Said, Set, Standing};
use node::Fleet;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use test_case::test_case;

/// After quiet all agree within it.
const AGREE: Span = Span::millis(15_000);

/// Faults hit a third of the members; the rest are only lost to, late, twice told and cut one way from single
/// others.
#[test_case(6, 0..60)]
#[test_case(30, 100..115)]
#[test_case(300, 200..202)]
fn agree_after_faults(n: usize, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut fleet = Fleet::new(seed, n);
        fleet.run(Span::millis(5_000));
        let ids = fleet.ids();
        let (hit, clean) = ids.split_at(n / 3);
        let mut left = BTreeSet::new();
        let mut single = (ids[0], ids[0]);
        fleet.net.link.lost = *[0.0, 0.1, 0.2].choose(&mut fleet.net.chance).unwrap();
        fleet.net.link.twice = 0.05;
        fleet.net.link.delay[1] = Span::millis(fleet.net.chance.gen_range(2..100));
        for _ in 0..n.min(40) {
            let who = *hit.choose(&mut fleet.net.chance).unwrap();
            let runs = fleet.net.ids().contains(&who);
            match fleet.net.chance.gen_range(0..8) {
                0 => fleet.net.kill(who),
                1 if runs => {
                    fleet.net.cut.clear();
                    fleet.net.call(who, |one, now| one.members.leave(now));
                    fleet.run(Span::millis(400));
                    fleet.net.kill(who);
                    left.insert(who);
                }
                2 | 3 => {
                    fleet.start(who);
                    left.remove(&who);
                }
                4 if runs => {
                    let span = Span::millis(fleet.net.chance.gen_range(100..5_000));
                    fleet.net.stop(who, span);
                }
                5 => {
                    let way = fleet.net.chance.gen_range(0..3);
                    let others = ids.iter().filter(|id| **id != who);
                    let pairs = others.flat_map(|id| [(who, *id), (*id, who)].into_iter().enumerate());
                    let pairs = pairs.filter(|(at, _)| way == 2 || way == *at).map(|(_, pair)| pair);
                    fleet.net.cut.extend(pairs);
                }
                6 => fleet.net.cut.clear(),
                _ => {
                    fleet.net.cut.remove(&single);
                    let mut one = || *ids.choose(&mut fleet.net.chance).unwrap();
                    single = (one(), one());
                    fleet.net.cut.insert(single);
                }
            }
            let span = Span::millis(fleet.net.chance.gen_range(50..1_500));
            fleet.run(span);
        }
        fleet.net.cut.clear();
        fleet.net.link = Default::default();
        fleet.run(Span::millis(5_000));
        let agreed = fleet.until(AGREE, |fleet| fleet.errors(&left).is_empty());
        assert!(
            agreed.is_some(),
            "seed {seed}: {:?}",
            &fleet.errors(&left).iter().take(5).collect::<Vec<_>>()
        );
        fleet.run(Span::millis(10_000));
        assert!(fleet.errors(&left).is_empty(), "seed {seed}: agreed, and no more");
        for by in fleet.net.ids() {
            let one = fleet.net.node(by).unwrap();
            let of = one.changes.iter().find(|(_, of, is)| *is == Standing::Dead && clean.contains(of));
            assert!(of.is_none(), "seed {seed}: {by:?} held one dead that was always there, {of:?}");
            assert!(!one.stepped_down && !one.members.is_own_trouble(), "seed {seed}: {by:?}");
        }
    }
}

#[test]
fn one_cut_off_suspects_itself_and_declares_nobody() {
    for (seed, way) in (0..30).map(|seed| (seed, seed % 3)) {
        let mut fleet = Fleet::new(seed, 3 + seed as usize % 20);
        fleet.run(Span::millis(10_000));
        let who = fleet.ids()[0];
        for id in fleet.ids().into_iter().skip(1) {
            fleet.net.cut.extend((way != 1).then_some((who, id)));
            fleet.net.cut.extend((way != 0).then_some((id, who)));
        }
        let own = fleet.until(Span::millis(2_500), |f| f.net.node(who).unwrap().members.is_own_trouble());
        assert!(own.is_some(), "seed {seed}: it doesn't find its own links to be the trouble");
        fleet.run(Span::millis(30_000));
        let bad = |change: &&(Time, MemberId, Standing)| change.2 > Standing::Alive;
        let one = fleet.net.node(who).unwrap();
        assert_eq!(one.changes.iter().find(bad), None, "seed {seed}");
        fleet.net.cut.clear();
        let agreed = fleet.until(AGREE, |fleet| fleet.errors(&BTreeSet::new()).is_empty());
        assert!(agreed.is_some(), "seed {seed}: {:?}", fleet.errors(&BTreeSet::new()));
        fleet.run(Span::millis(5_000));
        assert!(!fleet.net.node(who).unwrap().members.is_own_trouble(), "seed {seed}");
    }
}

#[test]
fn a_split_heals() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, 12);
        let ids = fleet.ids();
        let (one, other) = ids.split_at(6);
        fleet.run(Span::millis(5_000));
        fleet.net.cut.extend(one.iter().flat_map(|a| other.iter().flat_map(|b| [(*a, *b), (*b, *a)])));
        fleet.run(Span::millis(15_000));
        assert_eq!(fleet.errors(&BTreeSet::new()).len(), 72, "seed {seed}: each half holds the other dead");
        fleet.net.cut.clear();
        let agreed = fleet.until(AGREE, |fleet| fleet.errors(&BTreeSet::new()).is_empty());
        assert!(agreed.is_some(), "seed {seed}: {:?}", fleet.errors(&BTreeSet::new()));
    }
}

/// Each holds the other dead and itself in trouble, so that neither is told what to refute.
#[test]
fn two_in_trouble_do_not_answer_each_other_without_end() {
    let mut fleet = Fleet::new(1, 4);
    let ids = fleet.ids();
    fleet.run(Span::millis(5_000));
    let pairs = |a: &[MemberId], b: &[MemberId]| -> Vec<_> {
        a.iter().flat_map(|a| b.iter().flat_map(move |b| [(*a, *b), (*b, *a)])).collect()
    };
    fleet.net.cut.extend(pairs(&ids[..2], &ids[2..]));
    fleet.run(Span::millis(10_000));
    fleet.net.cut.extend(pairs(&ids, &ids));
    fleet.run(Span::millis(10_000));
    assert!(ids.iter().all(|id| fleet.net.node(*id).unwrap().members.is_own_trouble()));
    pairs(&ids[..2], &ids[2..]).iter().for_each(|pair| assert!(fleet.net.cut.remove(pair)));
    fleet.net.sent.clear();
    fleet.run(Span::millis(5_000));
    let most = fleet.net.sent.values().max().copied().unwrap_or(0);
    assert!(most < 500, "{most} messages in 5 s");
}

const LISTED: [MemberId; 4] = [MemberId(10), MemberId(20), MemberId(30), MemberId(40)];

fn member(own: MemberId, incarnation: u64, ids: &[MemberId]) -> Members {
    let listed: Vec<_> = ids.iter().map(|id| (*id, LocationId(0))).collect();
    Members::new(Set::default(), own, Incarnation(incarnation), &listed, 7, Time(5_000_000))
}

fn alive(incarnation: u64, count: u32) -> Claim {
    Claim { incarnation: Incarnation(incarnation), count, standing: Standing::Alive }
}

#[test]
fn settings_are_checked() {
    let base = Set::default();
    assert_eq!(base.check(), Ok(()));
    let bad = [
        (Set { round: Span::ZERO, ..base.clone() }, "members-times"),
        (Set { gap: [Span::millis(50), Span::millis(20)], ..base.clone() }, "members-gap"),
        (Set { phi: [2.0, 4.0, f64::NAN, 12.0], ..base.clone() }, "members-phi"),
        (Set { wait: [f64::INFINITY, 0.0], ..base.clone() }, "members-wait"),
        (Set { still: Span::millis(50), ..base }, "members-still"),
    ];
    for (set, code) in bad {
        assert_eq!(set.check().map_err(|error| error.code()), Err(code));
    }
}

fn news(own: Claim, words: Vec<(MemberId, Claim)>) -> Said {
    Said { own, body: Body::News, words }
}

fn effects(members: &mut Members) -> Vec<Effect> {
    std::iter::from_fn(|| members.next()).collect()
}

/// Both ways round: the word that refutes comes before or after the suspicion it refutes.
#[test]
fn a_refuted_suspicion_never_turns_to_dead() {
    let [own, by, of, _] = LISTED;
    let bad = |standing| Claim { standing, ..alive(100, 3) };
    for early in [false, true] {
        let mut members = member(own, 50, &LISTED);
        let mut now = Time(5_000_000);
        let mut words = vec![bad(Standing::Suspect), alive(100, 4)];
        words[usize::from(early)..].reverse();
        words.rotate_left(usize::from(early));
        for word in words.into_iter().chain([bad(Standing::Suspect), bad(Standing::Dead)]) {
            members.heard(now, by, news(alive(60, 0), vec![(of, word)]));
        }
        for _ in 0..600 {
            now = now + Span::millis(50);
            members.heard(now, by, news(alive(60, 0), vec![(of, bad(Standing::Suspect))]));
            members.woken(now);
            let dead = |e: &Effect| matches!(e, Effect::Changed { standing: Standing::Dead, .. });
            assert!(!effects(&mut members).iter().any(dead));
        }
        assert_eq!(members.standing(of), Some(Standing::Alive));
    }
}

/// A suspicion's wait doesn't run out where this process hears nobody, or stood still.
#[test]
fn silence_of_all_is_no_verdict() {
    let [own, by, of, _] = LISTED;
    for still in [false, true] {
        let mut members = member(own, 50, &LISTED);
        let suspect = Claim { standing: Standing::Suspect, ..alive(100, 0) };
        members.woken(Time(5_000_000));
        members.heard(Time(5_000_000), by, news(alive(60, 0), vec![(of, suspect)]));
        if still {
            // What came meanwhile is read before the timer: it was heard, and long ago.
            members.heard(Time(24_990_000), by, news(alive(60, 0), vec![]));
        }
        for at in 1..if still { 2 } else { 600 } {
            members.woken(Time(5_000_000) + Span::millis(if still { 20_000 } else { at * 50 }));
        }
        assert_eq!(members.standing(of), Some(Standing::Suspect), "stood still: {still}");
        members.heard(Time(25_100_000), by, news(alive(60, 0), vec![(of, alive(100, 1))]));
        assert_eq!(members.standing(of), Some(Standing::Alive));
    }
}

#[test]
fn of_two_under_one_name_the_older_steps_down() {
    let [own, by, ..] = LISTED;
    let now = Time(6_000_000);
    let (mut older, mut newer) = (member(own, 100, &LISTED), member(own, 200, &LISTED));
    let mut third = member(by, 60, &LISTED);
    assert!(third.came(now, own, Incarnation(200)));
    for number in 0..100 {
        third.heard(now, LISTED[2], Said { own: alive(80, 0), body: Body::Ask { number }, words: vec![] });
    }
    effects(&mut third);
    assert!(!third.came(now, own, Incarnation(100)), "a message of the older is void");
    third.heard(now, own, news(alive(100, 9), vec![(LISTED[3], alive(80, 0))]));
    assert_eq!(third.standing(LISTED[3]), Some(Standing::Unheard), "so are its words");
    assert_eq!(third.incarnation(own), Some(Incarnation(200)));
    for effect in effects(&mut third) {
        if let Effect::Tell { to, said } = effect {
            assert_eq!(to, own);
            older.heard(now, by, said.clone());
            newer.heard(now, by, said);
        }
    }
    older.woken(now + Span::millis(10_000));
    assert_eq!(effects(&mut older), [Effect::SteppedDown]);
    newer.woken(now + Span::millis(300));
    assert!(!effects(&mut newer).contains(&Effect::SteppedDown));
}

/// Peers that say anything: no panic, no memory without bound, no step down, no message too long.
#[test]
fn nonsense_changes_nothing() {
    let listed: Vec<MemberId> = (0..1000).map(|i| MemberId(u64::MAX - i * 3)).collect();
    let own = listed[0];
    for seed in 0..3 {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut members = member(own, 1 << 50, &listed);
        let mut now = Time(5_000_000);
        let wild = |chance: &mut Pcg64Mcg| {
            let shift = chance.gen_range(0..64);
            chance.gen::<u64>() >> shift
        };
        let lies = alive(u64::MAX, 0);
        for round in 0..100 {
            let mut words = vec![(own, lies), (listed[5], lies)];
            for _ in 0..chance.gen_range(0..2_000) {
                let ranks =
                    [Standing::Unheard, Standing::Alive, Standing::Suspect, Standing::Dead, Standing::Left];
                let standing = ranks[chance.gen_range(0..5)];
                let incarnation = Incarnation(wild(&mut chance) & ((1 << 50) - 1));
                let who = *listed.choose(&mut chance).unwrap_or(&own);
                words.push((who, Claim { incarnation, count: wild(&mut chance) as u32, standing }));
            }
            let (number, whom) = (wild(&mut chance) as u32, *listed.choose(&mut chance).unwrap_or(&own));
            let (low, high) = (MemberId(wild(&mut chance)), MemberId(u64::MAX));
            let body = match round % 7 {
                0 => Body::Ask { number },
                1 => Body::Answer { number },
                2 => Body::Through { number, whom },
                3 => Body::Word { number, whom, heard: chance.gen() },
                4 => Body::Compare { digest: wild(&mut chance) },
                5 => Body::Piece { low, high },
                _ => Body::News,
            };
            let from = *listed[1..].choose(&mut chance).unwrap_or(&own);
            let own_word = alive((1 << 50) + round, chance.gen());
            members.heard(now, from, Said { own: own_word, body, words });
            for number in 0..if round == 50 { 10_000 } else { 0 } {
                let body = Body::Ask { number };
                members.heard(now, from, Said { own: own_word, body, words: Vec::new() });
            }
            now = now + Span::millis(chance.gen_range(0..400));
            members.woken(now);
            let said = effects(&mut members);
            assert!(said.len() <= 8_192 + listed.len() + 64 + 1, "seed {seed}: {} effects", said.len());
            assert!(!said.contains(&Effect::SteppedDown), "seed {seed}");
            for effect in said.iter().step_by(if said.len() > 200 { 97 } else { 1 }) {
                if let Effect::Tell { said, .. } = effect {
                    let bytes = postcard::to_allocvec(said).map_or(usize::MAX, |bytes| bytes.len());
                    assert!(bytes <= 8_192, "seed {seed}: {bytes} bytes");
                }
            }
        }
        assert!(members.listed().count() == 1000 && members.standing(MemberId(7)).is_none());
        assert_ne!(members.incarnation(listed[5]), Some(Incarnation(u64::MAX)), "seed {seed}");
    }
}
