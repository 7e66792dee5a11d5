//! Unit tests of a carrier and a follower: the effects of single messages.
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::{
    Carrier, ChangeNumber, DeliveryMessage, Echo, Effect, Follower, LogId, Reason, Record, Settings, Stamp,
};

const NOW: Time = Time(10_000_000);
const FOLLOWER: MemberId = MemberId(7);

fn record(number: u64) -> Record {
    number.to_le_bytes().to_vec().into()
}

/// A carrier with some changes that has just had an answer of the log.
fn carrier(changes: u64) -> Carrier {
    let mut carrier = Carrier::new(Settings::default(), ChangeNumber(0));
    (1..=changes).for_each(|number| carrier.add_change(ChangeNumber(number), record(number)));
    carrier.note_log_answer(NOW);
    carrier
}

fn follow(last: u64, stamp: u64) -> DeliveryMessage {
    DeliveryMessage::Follow {
        log: LogId::default(),
        last: ChangeNumber(last),
        stamp: Stamp(stamp),
        echo: None,
    }
}

fn sent(carrier: &mut Carrier) -> Vec<DeliveryMessage> {
    let message_of = |effect| match effect {
        Effect::Send { message, .. } => message,
        other => panic!("{other:?}"),
    };
    std::iter::from_fn(|| carrier.next_effect()).map(message_of).collect()
}

/// For each message with changes, the number before them and their count.
fn batches(messages: &[DeliveryMessage]) -> Vec<(u64, usize)> {
    let of = |message: &DeliveryMessage| match message {
        DeliveryMessage::Changes { after, records, .. } => Some((after.0, records.len())),
        _ => None,
    };
    messages.iter().filter_map(of).collect()
}

#[test]
fn a_carrier_without_an_answer_of_the_log_refuses_followers() {
    let mut carrier = Carrier::new(Settings::default(), ChangeNumber(0));
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(0, 1));
    let answers = sent(&mut carrier);
    assert!(
        matches!(answers[..], [DeliveryMessage::NotCarried { reason: Reason::Stale, .. }]),
        "{answers:?}"
    );
}

#[test]
fn a_carrier_with_an_old_answer_of_the_log_refuses_followers() {
    let mut carrier = carrier(3);
    let later = NOW + Settings::default().max_log_age + Span(1);
    carrier.receive(later, FOLLOWER, Incarnation(1), follow(0, 1));
    let answers = sent(&mut carrier);
    assert!(
        matches!(answers[..], [DeliveryMessage::NotCarried { reason: Reason::Stale, .. }]),
        "{answers:?}"
    );
}

#[test]
fn another_log_is_refused() {
    let mut carrier = carrier(3);
    let (log, last, stamp) = (LogId::of("other"), ChangeNumber(0), Stamp(1));
    carrier.receive(NOW, FOLLOWER, Incarnation(1), DeliveryMessage::Follow { log, last, stamp, echo: None });
    let answers = sent(&mut carrier);
    assert!(
        matches!(answers[..], [DeliveryMessage::NotCarried { reason: Reason::OtherLog, .. }]),
        "{answers:?}"
    );
}

#[test]
fn a_restarted_follower_begins_at_its_own_position() {
    let mut carrier = carrier(3);
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(3, 50));
    assert_eq!(batches(&sent(&mut carrier)), [(3, 0)]);
    // Its clock was set back; stamps of the earlier run don't matter.
    carrier.receive(NOW, FOLLOWER, Incarnation(2), follow(1, 2));
    assert_eq!(batches(&sent(&mut carrier)), [(1, 2)]);
    // Messages of the earlier run are ignored.
    carrier.receive(NOW, FOLLOWER, Incarnation(2), follow(3, 3));
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(0, 60));
    carrier.note_log_answer(NOW + Span::millis(5_000));
    carrier.tick(NOW + Span::millis(5_000));
    assert_eq!(batches(&sent(&mut carrier)), [(3, 0)]);
}

#[test]
fn a_reordered_acknowledgement_causes_no_resend() {
    let mut carrier = carrier(3);
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(0, 10));
    assert_eq!(batches(&sent(&mut carrier)), [(0, 3)]);
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(3, 30));
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(0, 20));
    // Well beyond the resend timeout.
    carrier.note_log_answer(NOW + Span::millis(5_000));
    carrier.tick(NOW + Span::millis(5_000));
    assert_eq!(batches(&sent(&mut carrier)), [(3, 0)]);
}

/// Unacknowledged changes are resent at increasing intervals.
#[test]
fn unacknowledged_changes_are_resent() {
    let mut carrier = carrier(3);
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(0, 1));
    assert_eq!(batches(&sent(&mut carrier)), [(0, 3)]);
    let mut again = Vec::new();
    for round in 1..=100 {
        let now = NOW + Span::millis(50 * round);
        carrier.note_log_answer(now);
        carrier.receive(now, FOLLOWER, Incarnation(1), follow(0, 1 + round));
        carrier.tick(now);
        again.extend(batches(&sent(&mut carrier)).contains(&(0, 3)).then_some(50 * round));
    }
    assert_eq!(again, [750, 2_250]);
}

/// The bytes of a tick are bounded, and followers that had to wait are first in the next one.
#[test]
fn bytes_of_a_tick_go_to_followers_in_turn() {
    let settings = Settings { message_bytes: 100, round_bytes: 250, ..Settings::default() };
    let mut carrier = Carrier::new(settings, ChangeNumber(0));
    carrier.note_log_answer(NOW);
    let followers: Vec<MemberId> = (1..=5).map(MemberId).collect();
    followers.iter().for_each(|follower| carrier.receive(NOW, *follower, Incarnation(1), follow(0, 1)));
    let _ = sent(&mut carrier);
    (1..=9).for_each(|number| carrier.add_change(ChangeNumber(number), record(number)));
    let mut round = |after_ms: u64| -> Vec<MemberId> {
        let now = NOW + Span::millis(after_ms);
        carrier.note_log_answer(now);
        carrier.tick(now);
        let to = |effect| match effect {
            Effect::Send { to, .. } => to,
            other => panic!("{other:?}"),
        };
        std::iter::from_fn(|| carrier.next_effect()).map(to).collect()
    };
    assert_eq!(round(300), followers[..3]);
    assert_eq!(round(350), followers[3..]);
}

/// The changes held are bounded, and a follower that lacks dropped ones is refused.
#[test]
fn a_follower_that_lacks_dropped_changes_is_refused() {
    let mut carrier =
        Carrier::new(Settings { max_held_bytes: 1_000, ..Settings::default() }, ChangeNumber(0));
    carrier.note_log_answer(NOW);
    (1..=100).for_each(|number| carrier.add_change(ChangeNumber(number), record(number)));
    assert!(carrier.held_bytes() <= 1_000);
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(5, 1));
    let answers = sent(&mut carrier);
    assert!(
        matches!(answers[..], [DeliveryMessage::NotCarried { reason: Reason::NotHeld, .. }]),
        "{answers:?}"
    );
    assert_eq!(carrier.followers(), 0);
}

/// A gap in the log voids the changes held before it, so that no follower gets a sequence with a gap.
#[test]
fn only_changes_after_a_gap_of_the_log_are_carried() {
    let mut carrier = carrier(3);
    carrier.add_change(ChangeNumber(9), record(9));
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(3, 1));
    let refused = sent(&mut carrier);
    assert!(
        matches!(refused[..], [DeliveryMessage::NotCarried { reason: Reason::NotHeld, .. }]),
        "{refused:?}"
    );
    carrier.receive(NOW, FOLLOWER, Incarnation(1), follow(8, 2));
    assert_eq!(batches(&sent(&mut carrier)), [(8, 1)]);
}

/// The messages a follower has sent since the last call, with their receivers.
fn sent_by_follower(follower: &mut Follower) -> Vec<(MemberId, DeliveryMessage)> {
    let to = |effect| match effect {
        Effect::Send { to, message } => Some((to, message)),
        _ => None,
    };
    std::iter::from_fn(|| follower.next_effect()).filter_map(to).collect()
}

fn changes(after: u64, count: u64, stamp: u64, echo: Stamp) -> DeliveryMessage {
    DeliveryMessage::Changes {
        log: LogId::default(),
        after: ChangeNumber(after),
        records: (after + 1..=after + count).map(record).collect(),
        newest: ChangeNumber(after + count),
        age: Span::ZERO,
        stamp: Stamp(stamp),
        echo: Echo { stamp: echo, held: Span::ZERO },
    }
}

fn stamp_of(message: &DeliveryMessage) -> Stamp {
    match message {
        DeliveryMessage::Follow { stamp, .. } => *stamp,
        other => panic!("{other:?}"),
    }
}

/// Of two carriers that send, one is asked to stop, and its changes are applied nevertheless; while the first
/// one works it is kept.
#[test]
fn a_second_carrier_is_told_to_stop() {
    let both = [MemberId(1), MemberId(2)];
    let mut follower = Follower::new(Settings::default(), FOLLOWER, &both, ChangeNumber(0), 1, NOW);
    let (first, asked) = sent_by_follower(&mut follower).remove(0);
    let second = both.into_iter().find(|carrier| *carrier != first).unwrap();
    follower.receive(NOW, first, changes(0, 2, 1, stamp_of(&asked)));
    assert_eq!(follower.carrier(), Some(first));
    let _ = sent_by_follower(&mut follower);
    follower.receive(NOW, second, changes(2, 1, 1, Stamp(0)));
    assert_eq!((follower.carrier(), follower.last()), (Some(first), ChangeNumber(3)));
    assert_eq!(sent_by_follower(&mut follower), [(second, DeliveryMessage::Unfollow)]);
}

/// A carrier that proves nothing is replaced by another one that was probed and answers, and not before that.
#[test]
fn a_stalled_carrier_is_replaced_by_one_that_answers() {
    let settings = Settings::default();
    let both = [MemberId(1), MemberId(2)];
    let mut follower = Follower::new(settings.clone(), FOLLOWER, &both, ChangeNumber(0), 1, NOW);
    let (first, asked) = sent_by_follower(&mut follower).remove(0);
    let second = both.into_iter().find(|carrier| *carrier != first).unwrap();
    follower.receive(NOW, first, changes(0, 2, 1, stamp_of(&asked)));
    let _ = sent_by_follower(&mut follower);
    // It goes on sending, but proves nothing newer.
    let mut now = NOW;
    let mut probed = None;
    while probed.is_none() && now < NOW + Span::millis(5_000) {
        now = now + Span::millis(200);
        follower.receive(now, first, changes(2, 0, 2, Stamp(0)));
        follower.tick(now);
        probed = sent_by_follower(&mut follower).into_iter().find(|(to, _)| *to == second);
    }
    assert!(now - NOW > settings.max_log_age + settings.max_log_age, "asked after {:?}", now - NOW);
    assert_eq!(follower.carrier(), Some(first));
    follower.receive(now, second, changes(2, 1, 1, stamp_of(&probed.unwrap().1)));
    assert_eq!(follower.carrier(), Some(second));
    assert!(sent_by_follower(&mut follower).contains(&(first, DeliveryMessage::Unfollow)));
}

/// No time in the future is reported as known, even if an echo implies it.
#[test]
fn the_known_time_is_never_ahead_of_the_clock() {
    let carrier = MemberId(1);
    let mut follower = Follower::new(Settings::default(), FOLLOWER, &[carrier], ChangeNumber(0), 1, NOW);
    let asked = std::iter::from_fn(|| follower.next_effect()).find_map(|effect| match effect {
        Effect::Send { message: DeliveryMessage::Follow { stamp, .. }, .. } => Some(stamp),
        _ => None,
    });
    let echo = Echo { stamp: asked.unwrap(), held: Span::millis(60_000) };
    let (log, stamp, age) = (LogId::default(), Stamp(1), Span::ZERO);
    let (after, newest, records) = (ChangeNumber(0), ChangeNumber(0), Vec::new());
    let now = NOW + Span::millis(5);
    follower.receive(
        now,
        carrier,
        DeliveryMessage::Changes { log, after, records, newest, age, stamp, echo },
    );
    let known_up_to = std::iter::from_fn(|| follower.next_effect()).find_map(|effect| match effect {
        Effect::KnownUpTo(at) => Some(at),
        _ => None,
    });
    assert!(known_up_to.unwrap() <= now, "{known_up_to:?}");
}

/// Guards against a drain that is known too late: with no carrier left, each follower reads the log itself before what
/// it tells counts as announced, 7 s after it was made, with time left for its polls.
#[test]
fn without_carriers_the_log_is_read_before_changes_count_as_announced() {
    let counted_as_announced = NOW + Span::millis(7_000);
    let left_for_polls = Span::millis(500);
    for seed in 0..200 {
        let settings = Settings::default();
        let mut follower = Follower::new(settings, FOLLOWER, &[MemberId(1)], ChangeNumber(0), seed, NOW);
        let mut now = NOW;
        while !follower.reads_log() {
            now = now + Span::millis(50);
            follower.tick(now);
            let _ = sent_by_follower(&mut follower);
            assert!(
                now + left_for_polls < counted_as_announced,
                "seed {seed}: not read after {:?}",
                now - NOW
            );
        }
    }
}
