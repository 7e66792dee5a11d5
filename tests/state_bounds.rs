//! What requests leave behind in the decision module is bounded, whatever is asked for, and the bound changes no
//! decision before it is reached.
use cherrypass::calls::{Decision, HandOffEnd, Listing, Note, Outcome, Phase, Report, Visit};
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::{
    CellId, ClassId, GroupId, HandOffNumber, HostId, KindId, LocationId, ObjectId, VisitId,
};
use cherrypass::popularity::Popularity;
use cherrypass::settings::{ClassSettings, Effect, Settings, StateLimits};
use cherrypass::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use test_case::test_case;

/// The module's own times.
const HALF_LIFE: Span = Span::millis(10_000);
const RETENTION: Span = Span::millis(30_000);
const ADMITTED_BYTES_SHARE: f64 = 0.05;
const OBJECT_BYTES: f64 = 2_000.0;
const PARENT_KIND: KindId = KindId(1);

/// The count without a bound that the paper describes, written down once more. All objects have the same size.
#[derive(Default)]
struct PlainCount {
    objects: BTreeMap<ObjectId, PlainObject>,
    admitted: u32,
    admitted_visits: f64,
}

#[derive(Default)]
struct PlainObject {
    visits: f64,
    last_visit_at: Time,
    is_admitted: bool,
}

impl PlainCount {
    fn visit(&mut self, now: Time, object: ObjectId) -> bool {
        let stats = self.objects.entry(object).or_default();
        stats.visits += 1.0;
        stats.last_visit_at = now;
        let (visits, was_admitted) = (stats.visits, stats.is_admitted);
        self.admitted_visits += if was_admitted { 1.0 } else { 0.0 };
        let count = f64::from(self.admitted);
        if count > 0.0 && visits <= self.admitted_visits / count {
            return false;
        }
        let fits = count + 1.0 <= ADMITTED_BYTES_SHARE * self.objects.len() as f64;
        if !was_admitted && (count == 0.0 || fits) {
            self.objects.get_mut(&object).unwrap().is_admitted = true;
            self.admitted += 1;
            self.admitted_visits += visits;
        }
        was_admitted || count == 0.0 || fits
    }

    fn decay(&mut self, since: Time) {
        self.objects.retain(|_, stats| stats.last_visit_at > since);
        self.objects.values_mut().for_each(|stats| stats.visits /= 2.0);
        let admitted = || self.objects.values().filter(|stats| stats.is_admitted);
        self.admitted_visits = admitted().map(|stats| stats.visits).sum();
        self.admitted = admitted().count() as u32;
    }
}

/// Object ids by a Zipf law, as the paper assumes.
struct Zipf {
    cumulated: Vec<f64>,
}

impl Zipf {
    fn new(objects: usize) -> Zipf {
        let weights = (1..=objects).map(|rank| 1.0 / rank as f64);
        let cumulated = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        Zipf { cumulated: cumulated.collect() }
    }

    fn draw(&self, random: &mut Pcg64Mcg) -> ObjectId {
        let at = random.gen_range(0.0..*self.cumulated.last().unwrap());
        ObjectId(self.cumulated.partition_point(|sum| *sum < at) as u64)
    }
}

/// Visits of one run, and how many of them counted as popular.
#[derive(Default)]
struct Verdicts {
    popular_by_plain_count: u32,
    popular_by_both: u32,
    different: u32,
    most_objects: usize,
}

/// Plays the same visits to both counts: `usual_per_s` by a Zipf law, and beside each `one_time_ids` objects that are
/// asked for once.
fn compare(max_objects: usize, objects: usize, one_time_ids: u32, seed: u64) -> Verdicts {
    let (usual_per_s, seconds) = (100, 90);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let zipf = Zipf::new(objects);
    let (mut plain, mut bounded) = (PlainCount::default(), Popularity::new(max_objects));
    let mut verdicts = Verdicts::default();
    let mut decay_at = Time(0) + HALF_LIFE;
    for number in 0..usual_per_s * seconds {
        let now = Time(number * 1_000_000 / usual_per_s);
        if now >= decay_at {
            decay_at = decay_at + HALF_LIFE;
            plain.decay(now - RETENTION);
            bounded.decay(now - RETENTION);
        }
        let flood = (0..one_time_ids).map(|_| ObjectId(random.gen::<u64>() | 1 << 50)).collect::<Vec<_>>();
        for object in flood {
            plain.visit(now, object);
            bounded.record_visit(now, object, 0, OBJECT_BYTES);
            bounded.admit_if_popular(object);
        }
        let object = zipf.draw(&mut random);
        let is_popular = plain.visit(now, object);
        bounded.record_visit(now, object, 0, OBJECT_BYTES);
        let is_popular_when_bounded = bounded.admit_if_popular(object);
        verdicts.popular_by_plain_count += u32::from(is_popular);
        verdicts.popular_by_both += u32::from(is_popular && is_popular_when_bounded);
        verdicts.different += u32::from(is_popular != is_popular_when_bounded);
        verdicts.most_objects = verdicts.most_objects.max(bounded.object_count());
    }
    verdicts
}

/// Guards against a bound that changes decisions of those who stay below it.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn below_the_bound_the_count_is_the_plain_one(seed: u64) {
    let verdicts = compare(3_000, 2_500, 0, seed);
    assert!(verdicts.popular_by_plain_count > 1_000, "{}", verdicts.popular_by_plain_count);
    assert_eq!(verdicts.different, 0);
}

/// Guards against clients that ask for ever new objects: the objects that are popular stay so.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_flood_of_new_objects_does_not_push_out_the_popular_ones(seed: u64) {
    let max_objects = 2_000;
    let verdicts = compare(max_objects, 2_500, 10, seed);
    assert_eq!(verdicts.most_objects, max_objects);
    let share = f64::from(verdicts.popular_by_both) / f64::from(verdicts.popular_by_plain_count);
    assert!(share >= 0.95, "{share} of {} visits", verdicts.popular_by_plain_count);
}

fn engine_settings(state_limits: StateLimits) -> Settings {
    let class = ClassSettings {
        effect: Effect::Idempotent,
        target_latency: Span::millis(250),
        target_stretch: 0.0,
        fresh_for: Span::ZERO,
        stale_for: Span::ZERO,
        is_write: false,
    };
    Settings {
        dispatchers: 1,
        location_dispatchers: 1,
        classes: vec![class],
        parent_kind: Some(PARENT_KIND),
        can_cancel: true,
        max_hand_offs: 6,
        state_limits,
        ..Settings::default()
    }
}

fn visit(number: u32, object: u64, deadline: Time) -> Visit {
    Visit {
        id: VisitId(number),
        class: ClassId(0),
        object: ObjectId(object),
        group: GroupId(9),
        part: 0,
        kilobytes: None,
        deadline,
    }
}

/// Guards against timers that outlast their visits: memory that grows with the time that clients give.
#[test]
fn timers_end_with_their_visits() {
    let mut engine = DecisionEngine::new(engine_settings(StateLimits::MAX), 1, Time(0));
    let before = engine.state_size().timers;
    for number in 0..20_000_u32 {
        let now = Time(u64::from(number) * 30);
        engine.visit_arrived(now, visit(number, 7, now + Span::millis(60_000)));
        if number % 2 == 0 {
            engine.close_visit(VisitId(number));
        }
        std::iter::from_fn(|| engine.next_decision(now)).for_each(drop);
        assert_eq!(engine.state_size().timers, before, "after {number} visits");
    }
}

/// Guards against memory that grows with each object that is asked for, however its request ends (`review/7`).
#[test]
fn objects_of_refused_visits_are_bounded() {
    let state_limits = StateLimits { objects: 1_000, copies: 1_000 };
    let mut engine = DecisionEngine::new(engine_settings(state_limits), 1, Time(0));
    for number in 0..20_000_u32 {
        let now = Time(u64::from(number) * 30);
        engine.visit_arrived(now, visit(number, u64::from(number) << 20, now + Span::millis(1)));
        let mut decisions = std::iter::from_fn(|| engine.next_decision(now));
        assert!(decisions.any(|decision| matches!(decision, Decision::Refuse { .. })));
        decisions.for_each(drop);
        assert!(engine.state_size().objects <= state_limits.objects, "{:?}", engine.state_size());
    }
}

fn listing(host: HostId, kind: KindId) -> Listing {
    Listing {
        host,
        location: LocationId(0),
        kind,
        cell: CellId(0),
        weight: 1.0,
        started_at: None,
        phase: Phase::Ready,
    }
}

fn ended(visit: VisitId, outcome: Outcome) -> HandOffEnd {
    HandOffEnd {
        visit,
        number: HandOffNumber(0),
        outcome,
        note: Note::Unspecified,
        duration: Span::millis(1),
        report: Report::default(),
        is_final: true,
    }
}

/// Sends visits for ever new objects to a cache that ends each with this outcome; returns the most copies and the
/// last number of copies that the module had entries for.
fn copies_after_hand_offs(outcome: Outcome, state_limits: StateLimits) -> (usize, usize) {
    let mut engine = DecisionEngine::new(engine_settings(state_limits), 1, Time(0));
    let (cache, parent) = (listing(HostId(1), KindId(0)), listing(HostId(2), PARENT_KIND));
    engine.update_hosts(Time(0), &[cache, parent], true);
    let mut most = 0;
    for number in 0..5_000_u32 {
        let now = Time(u64::from(number) * 1_000);
        engine.visit_arrived(now, visit(number, u64::from(number) << 20, now + Span::millis(2_500)));
        while let Some(decision) = engine.next_decision(now) {
            let Decision::HandOff { visit, .. } = decision else { continue };
            engine.hand_off_ended(now, ended(visit, outcome));
        }
        most = most.max(engine.state_size().copies);
    }
    (most, engine.state_size().copies)
}

/// Guards against memory that grows with each object that a cache was asked for: at the limit for objects that are
/// there, and not at all for those that are not.
#[test_case(Outcome::Served, 1_000; "served")]
#[test_case(Outcome::Error, 1; "failed")]
#[test_case(Outcome::Miss, 1; "not there")]
fn known_copies_are_bounded(outcome: Outcome, max_copies: usize) {
    let state_limits = StateLimits { objects: 1_000, copies: 1_000 };
    let (most, _) = copies_after_hand_offs(outcome, state_limits);
    assert!(most <= max_copies, "{most}");
}

/// Guards the test above: below the limit each copy that was served is known.
#[test]
fn served_copies_are_known() {
    assert_eq!(copies_after_hand_offs(Outcome::Served, StateLimits::MAX), (5_000, 5_000));
}

/// Guards against a new process that is taken for the one before at its address: an answer that the old one gave, and
/// that comes after the list has told the new one's start, does not show a copy at the new one.
#[test_case(None, 1; "the same process")]
#[test_case(Some(Time(500)), 1; "started before the hand-off")]
#[test_case(Some(Time(2_000)), 0; "started after the hand-off")]
fn a_late_answer_tells_nothing_of_a_new_process(started_at: Option<Time>, copies: usize) {
    let mut engine = DecisionEngine::new(engine_settings(StateLimits::MAX), 1, Time(0));
    let cache = listing(HostId(1), KindId(0));
    engine.update_hosts(Time(0), &[cache], true);
    let sent_at = Time(1_000);
    engine.visit_arrived(sent_at, visit(1, 7, sent_at + Span::millis(2_500)));
    let mut decisions = std::iter::from_fn(|| engine.next_decision(sent_at));
    assert!(decisions.any(|decision| matches!(decision, Decision::HandOff { .. })));
    engine.update_hosts(Time(3_000), &[Listing { started_at, ..cache }], true);
    engine.hand_off_ended(Time(4_000), ended(VisitId(1), Outcome::Served));
    assert_eq!(engine.state_size().copies, copies);
}
