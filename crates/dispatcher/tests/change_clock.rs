//! Stamps of the change log are dated without this machine's wall clock, never as older than they are.
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
fn nothing_is_dated_before_it_was() {
    for seed in 0..200 {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut clock = ChangeClock::default();
        let mut now = Span::ZERO;
        for _ in 0..100 {
            now = now + ms(chance.gen_range(0..2_000));
            let stamp = UNIX + now - ms(chance.gen_range(0..8_000));
            clock.heard(START + now, stamp);
            let asked = UNIX + now - ms(chance.gen_range(0..60_000));
            let age = clock.age(START + now, asked);
            assert!(age <= (UNIX + now) - asked, "seed {seed}: {age:?} is more than it is");
        }
    }
}

#[test]
fn ages_are_close_once_two_changes_were_heard_soon() {
    let mut clock = ChangeClock::default();
    clock.heard(START, UNIX - ms(300));
    clock.heard(START + ms(1_000), UNIX + ms(800));
    clock.heard(START + ms(2_000), UNIX + ms(1_900));
    assert_eq!(clock.age(START + ms(5_000), UNIX), ms(4_800));
}

#[test]
fn nothing_is_known_before_two_stamps_are() {
    let mut clock = ChangeClock::default();
    assert_eq!(clock.time(START, UNIX, UNIX), START);
    clock.heard(START, UNIX);
    clock.heard(START + ms(50), UNIX);
    assert_eq!(
        clock.age(START + ms(100), UNIX - ms(4_000)),
        Span::ZERO,
        "one stamp that came twice is one witness"
    );
}

#[test_case(3_600_000; "an hour ahead")]
#[test_case(1; "a millisecond ahead")]
fn a_single_stamp_of_a_wrong_clock_leads_nobody(ahead: u64) {
    let mut clock = ChangeClock::default();
    (0..20).for_each(|second| clock.heard(START + ms(second * 1_000), UNIX + ms(second * 1_000)));
    let now = START + ms(20_000);
    clock.heard(now, UNIX + ms(20_000 + ahead));
    assert!(clock.age(now, UNIX + ms(15_000)) <= ms(5_000));
}

#[test]
fn a_start_is_to_come_where_both_clocks_say_so() {
    let mut clock = ChangeClock::default();
    (0..3).for_each(|second| clock.heard(START + ms(second * 1_000), UNIX + ms(second * 1_000)));
    let (now, stamp) = (START + ms(2_000), UNIX + ms(9_000));
    assert_eq!(clock.time(now, UNIX + ms(2_000), stamp), now + ms(7_000));
    assert_eq!(
        clock.time(now, UNIX + ms(8_000), stamp),
        now + ms(1_000),
        "the wall clock is ahead of the stamps"
    );
    assert_eq!(
        clock.time(now, UNIX + ms(60_000), stamp),
        now,
        "the stamps are old, as after a long quiet time"
    );
    assert_eq!(
        clock.time(now, UNIX - ms(3_600_000), UNIX),
        now - ms(2_000),
        "the wall clock is an hour behind"
    );
    assert_eq!(
        ChangeClock::default().time(now, UNIX, stamp),
        now + ms(9_000),
        "nothing but the wall clock tells"
    );
}
