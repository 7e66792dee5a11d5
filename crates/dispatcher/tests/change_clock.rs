//! Dating of change log stamps without this machine's wall clock: ages are never overestimated.
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_dispatcher::change_clock::ChangeClock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const START: Time = Time(1_000_000_000);
const UNIX: UnixTime = UnixTime::millis(1_764_576_000_000);

fn ms(ms: u64) -> Span {
    Span::millis(ms)
}

#[test]
fn ages_are_never_overestimated() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut clock = ChangeClock::default();
        let mut now = Span::ZERO;
        for _ in 0..100 {
            now = now + ms(rng.gen_range(0..2_000));
            let stamp = UNIX + now - ms(rng.gen_range(0..8_000));
            clock.observe(START + now, stamp);
            let queried = UNIX + now - ms(rng.gen_range(0..60_000));
            let age = clock.min_age(START + now, queried);
            assert!(age <= (UNIX + now) - queried, "seed {seed}: {age:?} is more than the true age");
        }
    }
}

#[test]
fn ages_are_accurate_after_two_prompt_changes() {
    let mut clock = ChangeClock::default();
    clock.observe(START, UNIX - ms(300));
    clock.observe(START + ms(1_000), UNIX + ms(800));
    clock.observe(START + ms(2_000), UNIX + ms(1_900));
    assert_eq!(clock.min_age(START + ms(5_000), UNIX), ms(4_800));
}

#[test]
fn ages_are_zero_until_two_stamps_are_known() {
    let mut clock = ChangeClock::default();
    assert_eq!(clock.local_time(START, UNIX, UNIX), START);
    clock.observe(START, UNIX);
    clock.observe(START + ms(50), UNIX);
    assert_eq!(clock.min_age(START + ms(100), UNIX - ms(4_000)), Span::ZERO, "a repeated stamp counts once");
}

#[test_case(3_600_000; "an hour ahead")]
#[test_case(1; "a millisecond ahead")]
fn a_single_stamp_from_a_wrong_clock_has_no_effect(ahead: u64) {
    let mut clock = ChangeClock::default();
    (0..20).for_each(|second| clock.observe(START + ms(second * 1_000), UNIX + ms(second * 1_000)));
    let now = START + ms(20_000);
    clock.observe(now, UNIX + ms(20_000 + ahead));
    assert!(clock.min_age(now, UNIX + ms(15_000)) <= ms(5_000));
}

#[test]
fn a_stamp_is_in_the_future_only_if_both_clocks_agree() {
    let mut clock = ChangeClock::default();
    (0..3).for_each(|second| clock.observe(START + ms(second * 1_000), UNIX + ms(second * 1_000)));
    let (now, stamp) = (START + ms(2_000), UNIX + ms(9_000));
    assert_eq!(clock.local_time(now, UNIX + ms(2_000), stamp), now + ms(7_000));
    assert_eq!(
        clock.local_time(now, UNIX + ms(8_000), stamp),
        now + ms(1_000),
        "the wall clock is ahead of the stamps"
    );
    assert_eq!(
        clock.local_time(now, UNIX + ms(60_000), stamp),
        now,
        "the stamps are old, as after a long time without changes"
    );
    assert_eq!(
        clock.local_time(now, UNIX - ms(3_600_000), UNIX),
        now - ms(2_000),
        "the wall clock is an hour behind"
    );
    assert_eq!(
        ChangeClock::default().local_time(now, UNIX, stamp),
        now + ms(9_000),
        "only the wall clock is known"
    );
}
