//! Membership on a simulated network under random faults, and with faulty peers.
#[allow(dead_code)]
#[path = "members/node.rs"]
mod node;

use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::members::{Body, Claim, Effect, MemberState, Members, Message, Settings};
use node::Fleet;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use test_case::test_case;

/// Time within which all members agree once faults have ended.
const AGREEMENT_TIME: Span = Span::millis(15_000);

/// A third of the members are killed, restarted, paused or cut off; the others only see loss, delays,
/// duplicates and one-way cuts. Guards against healthy members being declared dead, and views that never
/// agree again.
#[test_case(6, 0..60; "6 members")]
#[test_case(30, 100..115; "30 members")]
#[test_case(300, 200..202; "300 members")]
fn members_agree_after_faults(n: usize, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut fleet = Fleet::new(seed, n);
        fleet.run(Span::millis(5_000));
        let ids = fleet.ids();
        let (faulty, healthy) = ids.split_at(n / 3);
        let mut left = BTreeSet::new();
        let mut single_cut = (ids[0], ids[0]);
        fleet.network.link.loss_rate = *[0.0, 0.1, 0.2].choose(&mut fleet.network.rng).unwrap();
        fleet.network.link.duplication_rate = 0.05;
        fleet.network.link.delay[1] = Span::millis(fleet.network.rng.gen_range(2..100));
        for _ in 0..n.min(40) {
            let who = *faulty.choose(&mut fleet.network.rng).unwrap();
            let runs = fleet.network.ids().contains(&who);
            match fleet.network.rng.gen_range(0..8) {
                0 => fleet.network.kill(who),
                1 if runs => {
                    fleet.network.cut.clear();
                    fleet.network.call(who, |node, now| node.members.leave(now));
                    fleet.run(Span::millis(400));
                    fleet.network.kill(who);
                    left.insert(who);
                }
                2 | 3 => {
                    fleet.start(who);
                    left.remove(&who);
                }
                4 if runs => {
                    let span = Span::millis(fleet.network.rng.gen_range(100..5_000));
                    fleet.network.pause(who, span);
                }
                5 => {
                    let way = fleet.network.rng.gen_range(0..3);
                    let others = ids.iter().filter(|id| **id != who);
                    let pairs = others.flat_map(|id| [(who, *id), (*id, who)].into_iter().enumerate());
                    let pairs = pairs.filter(|(at, _)| way == 2 || way == *at).map(|(_, pair)| pair);
                    fleet.network.cut.extend(pairs);
                }
                6 => fleet.network.cut.clear(),
                _ => {
                    fleet.network.cut.remove(&single_cut);
                    let mut random_member = || *ids.choose(&mut fleet.network.rng).unwrap();
                    single_cut = (random_member(), random_member());
                    fleet.network.cut.insert(single_cut);
                }
            }
            let span = Span::millis(fleet.network.rng.gen_range(50..1_500));
            fleet.run(span);
        }
        fleet.network.cut.clear();
        fleet.network.link = Default::default();
        fleet.run(Span::millis(5_000));
        let agreed = fleet.until(AGREEMENT_TIME, |fleet| fleet.disagreements(&left).is_empty());
        assert!(
            agreed.is_some(),
            "seed {seed}: {:?}",
            &fleet.disagreements(&left).iter().take(5).collect::<Vec<_>>()
        );
        fleet.run(Span::millis(10_000));
        assert!(fleet.disagreements(&left).is_empty(), "seed {seed}: agreed, and then no longer");
        for by in fleet.network.ids() {
            let node = fleet.network.node(by).unwrap();
            let is_false = |(_, of, state): &&(Time, MemberId, MemberState)| {
                *state == MemberState::Dead && healthy.contains(of)
            };
            let false_death = node.changes.iter().find(is_false);
            assert!(
                false_death.is_none(),
                "seed {seed}: {by:?} declared a healthy member dead, {false_death:?}"
            );
            assert!(!node.stepped_down && !node.members.are_links_degraded(), "seed {seed}: {by:?}");
        }
    }
}

#[test]
fn an_isolated_member_finds_its_links_degraded_and_declares_nobody_dead() {
    for (seed, way) in (0..30).map(|seed| (seed, seed % 3)) {
        let mut fleet = Fleet::new(seed, 3 + seed as usize % 20);
        fleet.run(Span::millis(10_000));
        let who = fleet.ids()[0];
        for id in fleet.ids().into_iter().skip(1) {
            fleet.network.cut.extend((way != 1).then_some((who, id)));
            fleet.network.cut.extend((way != 0).then_some((id, who)));
        }
        let noticed =
            fleet.until(Span::millis(2_500), |f| f.network.node(who).unwrap().members.are_links_degraded());
        assert!(noticed.is_some(), "seed {seed}: it did not find its own links degraded");
        fleet.run(Span::millis(30_000));
        let is_suspicion = |change: &&(Time, MemberId, MemberState)| change.2 > MemberState::Alive;
        let node = fleet.network.node(who).unwrap();
        assert_eq!(node.changes.iter().find(is_suspicion), None, "seed {seed}");
        fleet.network.cut.clear();
        let agreed = fleet.until(AGREEMENT_TIME, |fleet| fleet.disagreements(&BTreeSet::new()).is_empty());
        assert!(agreed.is_some(), "seed {seed}: {:?}", fleet.disagreements(&BTreeSet::new()));
        fleet.run(Span::millis(5_000));
        assert!(!fleet.network.node(who).unwrap().members.are_links_degraded(), "seed {seed}");
    }
}

#[test]
fn a_partition_heals() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, 12);
        let ids = fleet.ids();
        let (first_half, second_half) = ids.split_at(6);
        fleet.run(Span::millis(5_000));
        let pairs = first_half.iter().flat_map(|a| second_half.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        fleet.network.cut.extend(pairs);
        fleet.run(Span::millis(15_000));
        assert_eq!(
            fleet.disagreements(&BTreeSet::new()).len(),
            72,
            "seed {seed}: each half considers the other dead"
        );
        fleet.network.cut.clear();
        let agreed = fleet.until(AGREEMENT_TIME, |fleet| fleet.disagreements(&BTreeSet::new()).is_empty());
        assert!(agreed.is_some(), "seed {seed}: {:?}", fleet.disagreements(&BTreeSet::new()));
    }
}

/// Two members that consider each other dead and their own links degraded withhold the claims to refute, and
/// must not answer each other forever.
#[test]
fn two_members_with_degraded_links_do_not_answer_each_other_forever() {
    let mut fleet = Fleet::new(1, 4);
    let ids = fleet.ids();
    fleet.run(Span::millis(5_000));
    let pairs = |a: &[MemberId], b: &[MemberId]| -> Vec<_> {
        a.iter().flat_map(|a| b.iter().flat_map(move |b| [(*a, *b), (*b, *a)])).collect()
    };
    fleet.network.cut.extend(pairs(&ids[..2], &ids[2..]));
    fleet.run(Span::millis(10_000));
    fleet.network.cut.extend(pairs(&ids, &ids));
    fleet.run(Span::millis(10_000));
    assert!(ids.iter().all(|id| fleet.network.node(*id).unwrap().members.are_links_degraded()));
    pairs(&ids[..2], &ids[2..]).iter().for_each(|pair| assert!(fleet.network.cut.remove(pair)));
    fleet.network.sent_messages.clear();
    fleet.run(Span::millis(5_000));
    let most = fleet.network.sent_messages.values().max().copied().unwrap_or(0);
    assert!(most < 500, "{most} messages in 5 s");
}

const LISTED: [MemberId; 4] = [MemberId(10), MemberId(20), MemberId(30), MemberId(40)];

fn member(own: MemberId, incarnation: u64, ids: &[MemberId]) -> Members {
    let listed: Vec<_> = ids.iter().map(|id| (*id, LocationId(0))).collect();
    Members::new(Settings::default(), own, Incarnation(incarnation), &listed, 7, Time(5_000_000))
}

fn alive(incarnation: u64, refutations: u32) -> Claim {
    Claim { incarnation: Incarnation(incarnation), refutations, state: MemberState::Alive }
}

#[test]
fn settings_are_checked() {
    let base = Settings::default();
    assert_eq!(base.check(), Ok(()));
    let bad = [
        (Settings { interval: Span::ZERO, ..base.clone() }, "members-times"),
        (
            Settings { mean_response_bounds: [Span::millis(50), Span::millis(20)], ..base.clone() },
            "members-gap",
        ),
        (Settings { phi_thresholds: [2.0, 4.0, f64::NAN, 12.0], ..base.clone() }, "members-phi"),
        (Settings { suspicion_rounds: [f64::INFINITY, 0.0], ..base.clone() }, "members-wait"),
        (Settings { max_pause: Span::millis(50), ..base }, "members-still"),
    ];
    for (settings, code) in bad {
        assert_eq!(settings.check().map_err(|error| error.code()), Err(code));
    }
}

fn gossip(claim: Claim, claims: Vec<(MemberId, Claim)>) -> Message {
    Message { claim, body: Body::Gossip, claims }
}

fn effects(members: &mut Members) -> Vec<Effect> {
    std::iter::from_fn(|| members.next_effect()).collect()
}

/// Whether the refutation arrives before or after the suspicion.
#[test]
fn a_member_that_refutes_a_suspicion_is_not_declared_dead() {
    let [own, by, of, _] = LISTED;
    let claim_of_others = |state| Claim { state, ..alive(100, 3) };
    for early in [false, true] {
        let mut members = member(own, 50, &LISTED);
        let mut now = Time(5_000_000);
        let mut claims = vec![claim_of_others(MemberState::Suspect), alive(100, 4)];
        claims[usize::from(early)..].reverse();
        claims.rotate_left(usize::from(early));
        for claim in claims
            .into_iter()
            .chain([claim_of_others(MemberState::Suspect), claim_of_others(MemberState::Dead)])
        {
            members.receive(now, by, gossip(alive(60, 0), vec![(of, claim)]));
        }
        for _ in 0..600 {
            now = now + Span::millis(50);
            members.receive(now, by, gossip(alive(60, 0), vec![(of, claim_of_others(MemberState::Suspect))]));
            members.tick(now);
            let dead = |e: &Effect| matches!(e, Effect::Changed { state: MemberState::Dead, .. });
            assert!(!effects(&mut members).iter().any(dead));
        }
        assert_eq!(members.state(of), Some(MemberState::Alive));
    }
}

/// A suspicion does not expire while this process receives nothing, or was paused.
#[test]
fn silence_of_all_members_declares_nobody_dead() {
    let [own, by, of, _] = LISTED;
    for paused in [false, true] {
        let mut members = member(own, 50, &LISTED);
        let suspect = Claim { state: MemberState::Suspect, ..alive(100, 0) };
        members.tick(Time(5_000_000));
        members.receive(Time(5_000_000), by, gossip(alive(60, 0), vec![(of, suspect)]));
        if paused {
            // Messages that arrived during the pause are read before the next tick.
            members.receive(Time(24_990_000), by, gossip(alive(60, 0), vec![]));
        }
        for at in 1..if paused { 2 } else { 600 } {
            members.tick(Time(5_000_000) + Span::millis(if paused { 20_000 } else { at * 50 }));
        }
        assert_eq!(members.state(of), Some(MemberState::Suspect), "paused: {paused}");
        members.receive(Time(25_100_000), by, gossip(alive(60, 0), vec![(of, alive(100, 1))]));
        assert_eq!(members.state(of), Some(MemberState::Alive));
    }
}

#[test]
fn the_older_of_two_processes_under_one_name_steps_down() {
    let [own, by, ..] = LISTED;
    let now = Time(6_000_000);
    let (mut older, mut newer) = (member(own, 100, &LISTED), member(own, 200, &LISTED));
    let mut third = member(by, 60, &LISTED);
    assert!(third.accept(now, own, Incarnation(200)));
    for sequence in 0..100 {
        third.receive(
            now,
            LISTED[2],
            Message { claim: alive(80, 0), body: Body::Ping { sequence }, claims: vec![] },
        );
    }
    effects(&mut third);
    assert!(!third.accept(now, own, Incarnation(100)), "a message of the older process is ignored");
    third.receive(now, own, gossip(alive(100, 9), vec![(LISTED[3], alive(80, 0))]));
    assert_eq!(third.state(LISTED[3]), Some(MemberState::Unknown), "so are its claims");
    assert_eq!(third.incarnation(own), Some(Incarnation(200)));
    for effect in effects(&mut third) {
        if let Effect::Send { to, message } = effect {
            assert_eq!(to, own);
            older.receive(now, by, message.clone());
            newer.receive(now, by, message);
        }
    }
    older.tick(now + Span::millis(10_000));
    assert_eq!(effects(&mut older), [Effect::SteppedDown]);
    newer.tick(now + Span::millis(300));
    assert!(!effects(&mut newer).contains(&Effect::SteppedDown));
}

/// Arbitrary messages of faulty peers: no panic, bounded memory, no stepping down, no oversized message.
#[test]
fn invalid_messages_change_nothing() {
    let listed: Vec<MemberId> = (0..1000).map(|i| MemberId(u64::MAX - i * 3)).collect();
    let own = listed[0];
    for seed in 0..3 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut members = member(own, 1 << 50, &listed);
        let mut now = Time(5_000_000);
        let arbitrary = |rng: &mut Pcg64Mcg| {
            let shift = rng.gen_range(0..64);
            rng.gen::<u64>() >> shift
        };
        let false_claim = alive(u64::MAX, 0);
        for round in 0..100 {
            let mut claims = vec![(own, false_claim), (listed[5], false_claim)];
            for _ in 0..rng.gen_range(0..2_000) {
                let ranks = [
                    MemberState::Unknown,
                    MemberState::Alive,
                    MemberState::Suspect,
                    MemberState::Dead,
                    MemberState::Left,
                ];
                let state = ranks[rng.gen_range(0..5)];
                let incarnation = Incarnation(arbitrary(&mut rng) & ((1 << 50) - 1));
                let who = *listed.choose(&mut rng).unwrap_or(&own);
                claims.push((who, Claim { incarnation, refutations: arbitrary(&mut rng) as u32, state }));
            }
            let (sequence, target) = (arbitrary(&mut rng) as u32, *listed.choose(&mut rng).unwrap_or(&own));
            let (first, last) = (MemberId(arbitrary(&mut rng)), MemberId(u64::MAX));
            let body = match round % 7 {
                0 => Body::Ping { sequence },
                1 => Body::Ack { sequence },
                2 => Body::PingRequest { sequence, target },
                3 => Body::PingResult { sequence, target, is_reachable: rng.gen() },
                4 => Body::Digest { digest: arbitrary(&mut rng) },
                5 => Body::Chunk { first, last },
                _ => Body::Gossip,
            };
            let from = *listed[1..].choose(&mut rng).unwrap_or(&own);
            let own_claim = alive((1 << 50) + round, rng.gen());
            members.receive(now, from, Message { claim: own_claim, body, claims });
            for sequence in 0..if round == 50 { 10_000 } else { 0 } {
                let body = Body::Ping { sequence };
                members.receive(now, from, Message { claim: own_claim, body, claims: Vec::new() });
            }
            now = now + Span::millis(rng.gen_range(0..400));
            members.tick(now);
            let effects = effects(&mut members);
            assert!(effects.len() <= 8_192 + listed.len() + 64 + 1, "seed {seed}: {} effects", effects.len());
            assert!(!effects.contains(&Effect::SteppedDown), "seed {seed}");
            for effect in effects.iter().step_by(if effects.len() > 200 { 97 } else { 1 }) {
                if let Effect::Send { message, .. } = effect {
                    let bytes = postcard::to_allocvec(message).map_or(usize::MAX, |bytes| bytes.len());
                    assert!(bytes <= 8_192, "seed {seed}: {bytes} bytes");
                }
            }
        }
        assert!(members.listed().count() == 1000 && members.state(MemberId(7)).is_none());
        assert_ne!(members.incarnation(listed[5]), Some(Incarnation(u64::MAX)), "seed {seed}");
    }
}
