//! Budgets, priorities and maximum waits of the schedule, with a simulated clock.
use cherrypass::time::{Span, Time};
use cherrypass_background::schedule::{Kind, KindId, Next, Schedule, WorkBudget};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const BUDGET: WorkBudget = WorkBudget {
    bytes_per_second: 1e6,
    core_share: 0.2,
    max_step_time: Span::millis(5),
    max_step_bytes: 64 << 10,
};

fn kinds() -> Vec<Kind> {
    let kind = |name, priority, weight| Kind { name, priority, weight, max_wait: Span::millis(2_000) };
    vec![kind("first", 0, 0.5), kind("second", 1, 0.3), kind("third", 2, 0.2)]
}

/// One step as it ran: its start, kind, bytes and duration.
type FinishedStep = (Time, KindId, u64, Span);

/// Runs the schedule for `seconds` with the `busy` kinds always having work; `throughputs` gives the bytes
/// per second of each kind's steps.
fn run_schedule(seconds: u64, busy: &[usize], throughputs: [f64; 3]) -> Vec<FinishedStep> {
    let mut schedule = Schedule::new(BUDGET, kinds(), Time(0));
    let (mut now, mut ran) = (Time(0), Vec::new());
    while now < Time(seconds * 1_000_000) {
        busy.iter().for_each(|kind| schedule.request(now, KindId(*kind), false));
        match schedule.next(now) {
            Next::Run(kind, bytes) => {
                let duration = Span::seconds(bytes as f64 / throughputs[kind.0]);
                ran.push((now, kind, bytes as u64, duration));
                now = now + duration;
                schedule.record_step(now, kind, bytes as u64, duration, true);
            }
            Next::Wait(span) => now = now + span,
            Next::Idle => now = now + Span::millis(10),
        }
    }
    ran
}

fn bytes(ran: &[FinishedStep], kind: usize) -> f64 {
    ran.iter().filter(|(_, k, ..)| k.0 == kind).map(|(.., bytes, _)| *bytes as f64).sum()
}

#[test_case(&[0], [2e7; 3], [1.0, 0.0, 0.0]; "one busy kind uses the whole budget")]
#[test_case(&[2], [2e7; 3], [0.0, 0.0, 1.0]; "the lowest priority alone uses the whole budget")]
#[test_case(&[0, 1, 2], [2e7; 3], [0.5, 0.3, 0.2]; "each of three busy kinds gets its share")]
#[test_case(&[0, 2], [2e7; 3], [0.8, 0.0, 0.2]; "the first of two busy kinds uses the rest")]
fn each_kind_gets_its_share(busy: &[usize], throughputs: [f64; 3], shares: [f64; 3]) {
    let ran = run_schedule(20, busy, throughputs);
    for (kind, share) in shares.iter().enumerate() {
        let found = bytes(&ran, kind) / 20e6;
        assert!((found - share).abs() < 0.06, "kind {kind} got a share of {found}, expected {share}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]
    #[test]
    fn no_window_takes_more_than_the_budget(busy in prop::sample::subsequence(vec![0, 1, 2], 1..=3), throughput in 1e5..1e8f64) {
        let ran = run_schedule(8, &busy, [throughput, 3e7, throughput / 3.0]);
        for (index, (from, ..)) in ran.iter().enumerate() {
            let (mut bytes, mut time) = (0.0, 0.0);
            for (at, _, b, duration) in &ran[index..] {
                (bytes, time) = (bytes + *b as f64, time + duration.as_seconds());
                let window = (*at + *duration - *from).as_seconds();
                // The burst, and one step of each kind that exceeded its estimate.
                let excess = 0.5 + 0.07;
                prop_assert!(bytes <= 1e6 * (window + excess), "{bytes} bytes in {window} s");
                prop_assert!(time <= 0.2 * window + 0.1 + 3.0 * 0.06, "{time} s in {window} s");
            }
        }
    }

    #[test]
    fn no_kind_starves(throughput in 2e5..1e8f64) {
        let ran = run_schedule(30, &[0, 1, 2], [throughput; 3]);
        for kind in 0..3 {
            let mut last = Time(0);
            for (at, ..) in ran.iter().filter(|(_, k, ..)| k.0 == kind) {
                prop_assert!(*at - last <= Span::millis(3_000), "kind {kind} waited {:?}", *at - last);
                last = *at;
            }
        }
    }
}

#[test]
fn urgent_work_waits_for_one_step_at_most() {
    let mut schedule = Schedule::new(BUDGET, kinds(), Time(0));
    let mut now = Time(0);
    let mut longest = Span::ZERO;
    for round in 0..2_000u64 {
        schedule.request(now, KindId(2), false);
        let is_urgent = round % 50 == 49;
        if is_urgent {
            schedule.request(now, KindId(0), true);
        }
        let requested_at = now;
        loop {
            match schedule.next(now) {
                Next::Run(kind, bytes) => {
                    let duration = Span::seconds(bytes as f64 / 4e6);
                    if !is_urgent {
                        longest = longest.max(duration);
                    } else {
                        assert_eq!(kind, KindId(0), "another kind ran before the urgent one");
                        assert!(
                            now - requested_at <= BUDGET.max_step_time,
                            "the urgent kind waited {:?}",
                            now - requested_at
                        );
                    }
                    now = now + duration;
                    schedule.record_step(now, kind, bytes as u64, duration, kind == KindId(2));
                    break;
                }
                Next::Wait(span) => now = now + span,
                Next::Idle => unreachable!(),
            }
        }
    }
    // Steps are sized by the measured throughput, so they do not exceed the limit by much.
    assert!(longest <= BUDGET.max_step_time.times(3.5), "{longest:?}");
}

#[test]
fn backlog_age_is_reported_and_a_clock_going_back_adds_no_budget() {
    let mut schedule = Schedule::new(BUDGET, kinds(), Time(5_000_000));
    schedule.request(Time(5_000_000), KindId(1), false);
    let (name, backlog) = schedule.backlogs().nth(1).unwrap();
    assert_eq!((name, backlog.age(Time(7_000_000))), ("second", Span::millis(2_000)));
    let mut spent = 0;
    while let Next::Run(kind, bytes) = schedule.next(Time(5_000_000)) {
        schedule.record_step(Time(5_000_000), kind, bytes as u64, Span(1), true);
        spent += bytes;
    }
    assert!(matches!(schedule.next(Time(1_000_000)), Next::Wait(_)));
    assert!(matches!(schedule.next(Time(5_000_000)), Next::Wait(_)), "{spent}");
    schedule.record_step(Time(5_000_000), KindId(1), 0, Span::ZERO, false);
    assert_eq!(schedule.next(Time(5_000_000)), Next::Idle);
}
