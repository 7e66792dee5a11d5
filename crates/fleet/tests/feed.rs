//! Tests of the feed on the simulated network: order and completeness under faults, fences, bounds, and slow
//! followers.
mod feed_bed;

use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::feed::{
    Echo, Effect, Feed, FeedMessage, Fence, Follower, FollowerClass, Item, Position, Segment, Settings, Stamp,
};
use cherrypass_fleet::simulation::Link;
use feed_bed::Fleet;
use rand::Rng;
use std::collections::HashSet;
use test_case::test_case;

/// Runs a schedule for each seed; a failure prints its seed.
fn each_seed(seeds: std::ops::Range<u64>, run: impl Fn(u64) + std::panic::RefUnwindSafe) {
    for seed in seeds {
        if let Err(cause) = std::panic::catch_unwind(|| run(seed)) {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(cause);
        }
    }
}

fn from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn small() -> Settings {
    Settings {
        backlog_items: 12,
        backlog_bytes: 4 << 10,
        state_items: 48,
        state_bytes: 16 << 10,
        frame_bytes: 1 << 10,
        window_bytes: 2 << 10,
        max_value_bytes: 600,
        slow_after: Span::millis(600),
        recovery_time: Span::seconds(2.0),
        min_stay: Span::seconds(3.0),
        follower_timeout: Span::seconds(8.0),
        ..Settings::default()
    }
}

/// Loss, duplication, reordering, cuts, pauses, crashes and restarts for eight seconds, then an undisturbed
/// phase.
fn schedule(seed: u64) {
    let (members, followers) = (2 + (seed % 3) as usize, 2 + (seed / 3 % 4) as usize);
    let mut fleet = Fleet::new(seed, small(), members, followers);
    let (members, followers) = (fleet.members.clone(), fleet.followers.clone());
    let everyone: Vec<_> = members.iter().chain(&followers).copied().collect();
    fleet.net.link =
        Link { loss_rate: 0.15, duplication_rate: 0.1, delay: [Span::millis(1), Span::millis(120)] };
    let mut down = Vec::new();
    for _ in 0..40 {
        let rng = &mut fleet.net.rng;
        let (id, other) =
            (everyone[rng.gen_range(0..everyone.len())], everyone[rng.gen_range(0..everyone.len())]);
        let (source, fault) = (members[rng.gen_range(0..members.len())], rng.gen_range(0..18));
        let (items, key, bytes) = (rng.gen_range(0..12), rng.gen_range(0..20), rng.gen_range(0..600));
        let hold = Span::seconds(if rng.gen_bool(0.3) { 2.0 } else { 1000.0 });
        let span = Span::millis(rng.gen_range(100..4000));
        for item in 0..items {
            fleet.publish(source, (key + item) % 20, bytes, hold);
        }
        match fault {
            0 => {
                fleet.net.kill(id);
                down.push(id);
            }
            1 | 2 => {
                if let Some(id) = down.pop() {
                    fleet.start(id);
                }
            }
            3 => fleet.start(id),
            4 | 5 => fleet.net.pause(id, span),
            6 | 7 => {
                fleet.net.cut.insert((id, other));
            }
            8..=10 => fleet.net.cut.clear(),
            11 => {
                let slow = Link {
                    loss_rate: 0.7,
                    duplication_rate: 0.1,
                    delay: [Span::millis(300), Span::millis(2000)],
                };
                fleet.net.links.insert((id, other), slow);
            }
            _ => {}
        }
        fleet.net.run(Span::millis(200), |_| {});
    }
    fleet.net.cut.clear();
    fleet.net.links.clear();
    fleet.net.link.loss_rate = 0.05;
    for id in down {
        fleet.start(id);
    }
    fleet.net.run(Span::seconds(14.0), |_| {});
    fleet.net.link.loss_rate = 0.0;
    fleet.net.run(Span::seconds(2.0), |_| {});
    fleet.assert_complete();
    fleet.assert_carried_once();
    let limit = fleet.settings.max_bytes(members.len());
    for bed in everyone.iter().filter_map(|id| fleet.net.node(*id)) {
        assert!(bed.max_held_bytes <= limit, "{} bytes held, the limit is {limit}", bed.max_held_bytes);
    }
}

/// `FEED_SEEDS` sets the number of seeds.
#[test_case(0; "first quarter of the seeds")]
#[test_case(1; "second quarter of the seeds")]
#[test_case(2; "third quarter of the seeds")]
#[test_case(3; "last quarter of the seeds")]
fn followers_get_all_items_in_order_under_faults(quarter: u64) {
    let seeds = from_env("FEED_SEEDS").unwrap_or(1200) / 4;
    each_seed(quarter * seeds..(quarter + 1) * seeds, schedule);
}

const A: MemberId = MemberId(1);
const B: MemberId = MemberId(2);
const F: MemberId = MemberId(3);

/// Two members and a follower, with all messages in transit.
#[derive(Clone)]
struct World {
    now: Time,
    feeds: [Option<Feed>; 2],
    follower: Option<Follower>,
    in_transit: Vec<(MemberId, MemberId, FeedMessage)>,
    /// The follower's position in A's items, which all have different keys.
    position: u64,
    published: u64,
    has_lost: bool,
    has_crashed: bool,
}

impl World {
    /// The carrier has just offered the follower to the other member; A has published an item before and
    /// after the follower subscribed.
    fn new() -> World {
        let settings = Settings { backlog_items: 2, ..Settings::default() };
        let now = Time(1_000_000);
        let feed = |own| Some(Feed::new(settings.clone(), own, Incarnation(1), &[A, B], &[F], own.0, now));
        let follower = Follower::new(settings.clone(), F, Incarnation(1), &[A, B], now);
        let mut world = World {
            now,
            feeds: [feed(A), feed(B)],
            follower: Some(follower),
            in_transit: Vec::new(),
            position: 0,
            published: 0,
            has_lost: false,
            has_crashed: false,
        };
        world.publish();
        world.settle(60);
        world.publish();
        let first = world.follower.as_ref().map(|follower| follower.fence().carrier);
        let (now, other) = (world.now, if first == Some(A) { B } else { A });
        for feed in world.feeds.iter_mut().flatten() {
            feed.start_move(now, F, other);
        }
        world.collect_effects();
        world
    }

    fn publish(&mut self) {
        let key = self.published.to_le_bytes().to_vec();
        if let Some(feed) = &mut self.feeds[0] {
            self.published = feed.publish(self.now, key, vec![1], Span::seconds(600.0)).unwrap();
        }
    }

    fn collect_effects(&mut self) {
        for (own, feed) in [A, B].into_iter().zip(&mut self.feeds) {
            while let Some(effect) = feed.as_mut().and_then(Feed::next_effect) {
                if let Effect::Send { to, message } = effect {
                    self.in_transit.push((own, to, message));
                }
            }
        }
        while let Some(effect) = self.follower.as_mut().and_then(Follower::next_effect) {
            match effect {
                Effect::Send { to, message } => self.in_transit.push((F, to, message)),
                Effect::Deliver { number, .. } => {
                    assert_eq!(number, self.position + 1, "a gap or a repeat");
                    self.position = number;
                }
                Effect::State { up_to, items, .. } => {
                    let numbers: Vec<u64> = items.iter().map(|item| item.number).collect();
                    assert!(numbers.into_iter().eq(self.position + 1..=up_to), "an incomplete state");
                    self.position = up_to;
                }
                Effect::Log(_) => {}
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let (from, to, message) = self.in_transit.remove(index);
        match (to, &mut self.feeds, &mut self.follower) {
            (A, [Some(feed), _], _) | (B, [_, Some(feed)], _) => feed.receive(self.now, from, message),
            (F, _, Some(follower)) => follower.receive(self.now, from, message),
            _ => {}
        }
        self.collect_effects();
    }

    fn tick(&mut self, who: MemberId) {
        self.now = self.now + Span::millis(50);
        match (who, &mut self.feeds, &mut self.follower) {
            (A, [Some(feed), _], _) | (B, [_, Some(feed)], _) => feed.tick(self.now),
            (F, _, Some(follower)) => follower.tick(self.now),
            _ => {}
        }
        self.collect_effects();
    }

    fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for who in [A, B, F] {
                self.tick(who);
                for _ in 0..self.in_transit.len() {
                    self.deliver(0);
                }
            }
        }
    }

    /// All successors by one step.
    fn steps(&self) -> Vec<World> {
        let mut steps = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            steps.push(world);
        };
        for index in 0..self.in_transit.len() {
            step(&|world| world.deliver(index));
            if !self.has_lost {
                step(&|world| {
                    world.in_transit.remove(index);
                    world.has_lost = true;
                });
            }
        }
        for who in [A, B, F] {
            step(&|world| world.tick(who));
        }
        if !self.has_crashed {
            step(&|world| (world.feeds[0], world.has_crashed) = (None, true));
            step(&|world| (world.feeds[1], world.has_crashed) = (None, true));
            step(&|world| {
                let settings = Settings { backlog_items: 2, ..Settings::default() };
                world.follower = Some(Follower::new(settings, F, Incarnation(2), &[A, B], world.now));
                (world.position, world.has_crashed) = (0, true);
            });
        }
        steps
    }

    fn fingerprint(&self) -> u64 {
        use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
        let text = format!(
            "{:?}{:?}{:?}{:?}{}",
            self.feeds, self.follower, self.in_transit, self.now, self.position
        );
        BuildHasherDefault::<DefaultHasher>::default().hash_one((text, self.has_lost, self.has_crashed))
    }

    fn assert_complete(&self) {
        let carriers = [A, B].into_iter().zip(&self.feeds).filter(|(_, feed)| {
            feed.as_ref().is_some_and(|feed| feed.carried_followers().any(|(carried, _)| carried == F))
        });
        let carriers: Vec<MemberId> = carriers.map(|(own, _)| own).collect();
        assert_eq!(carriers, [self.follower.as_ref().unwrap().fence().carrier]);
        let held = |feed: &Feed| feed.size().0 as u64;
        match &self.feeds {
            [Some(_), _] => assert_eq!(self.position, self.published),
            [_, other] => {
                assert!(self.position >= other.as_ref().map_or(0, held), "B has more items than it delivered")
            }
        }
    }
}

/// Every order of deliveries and timers with one loss and one crash, from an offered move on, for
/// `FEED_DEPTH` steps.
#[test]
fn a_move_with_a_loss_and_a_crash_delivers_each_item_once() {
    let mut worlds = vec![World::new()];
    let mut seen = HashSet::new();
    let mut count = 0;
    for _ in 0..from_env("FEED_DEPTH").unwrap_or(4) {
        let mut next = Vec::new();
        for world in worlds.iter().flat_map(World::steps) {
            if seen.insert(world.fingerprint()) {
                next.push(world);
            }
        }
        worlds = next;
        count += worlds.len();
        for world in &worlds {
            let mut world = world.clone();
            world.settle(70);
            world.assert_complete();
        }
    }
    assert!(count > 2000, "{count} worlds");
}

/// Runs for some seconds with every source publishing in each round.
fn run_busy(fleet: &mut Fleet, seconds: u64) {
    for round in 0..seconds * 20 {
        for source in fleet.members.clone() {
            fleet.publish(source, (round % 50) as u32, 100, Span::seconds(30.0));
        }
        fleet.net.run(Span::millis(50), |_| {});
    }
}

/// All followers classified as slow, and the number of moves that members started.
fn slow_followers(fleet: &Fleet) -> (Vec<MemberId>, u64) {
    let feeds = || fleet.members.iter().filter_map(|id| fleet.net.node(*id)?.feed());
    let slow = feeds().flat_map(Feed::carried_followers).filter(|(_, slow)| *slow).map(|(id, _)| id);
    (slow.collect(), feeds().map(Feed::completed_moves).sum())
}

fn slow_down(fleet: &mut Fleet, pairs: impl IntoIterator<Item = (MemberId, MemberId)>) {
    let link =
        Link { loss_rate: 0.3, duplication_rate: 0.0, delay: [Span::millis(1200), Span::millis(1500)] };
    for (from, to) in pairs {
        fleet.net.links.insert((from, to), link);
        fleet.net.links.insert((to, from), link);
    }
}

#[test]
fn a_slow_follower_is_reclassified_once_it_keeps_up() {
    each_seed(0..4, |seed| {
        let mut fleet = Fleet::new(seed, Settings::default(), 3, 12);
        run_busy(&mut fleet, 4);
        let (id, members) = (fleet.followers[seed as usize], fleet.members.clone());
        slow_down(&mut fleet, members.into_iter().map(|member| (member, id)));
        run_busy(&mut fleet, 8);
        assert_eq!(slow_followers(&fleet).0, [id]);
        fleet.net.links.clear();
        run_busy(&mut fleet, 8);
        assert_eq!(slow_followers(&fleet).0, [id], "back too soon");
        run_busy(&mut fleet, 8);
        assert_eq!(slow_followers(&fleet).0, []);
        // A follower that pauses repeatedly is not moved back and forth.
        for _ in 0..10 {
            fleet.net.pause(id, Span::seconds(3.0));
            run_busy(&mut fleet, 6);
        }
        let (slow, moves) = slow_followers(&fleet);
        assert!(slow == [id] && moves <= 4, "{slow:?} {moves} moves");
        fleet.net.run(Span::seconds(5.0), |_| {});
        fleet.assert_complete();
        fleet.assert_carried_once();
    });
}

#[test]
fn a_member_whose_followers_all_lag_moves_them() {
    each_seed(0..4, |seed| {
        let mut fleet = Fleet::new(seed, Settings::default(), 4, 16);
        run_busy(&mut fleet, 4);
        let (member, followers) = (fleet.members[seed as usize], fleet.followers.clone());
        slow_down(&mut fleet, followers.into_iter().map(|id| (member, id)));
        run_busy(&mut fleet, 14);
        let carried = fleet.net.node(member).unwrap().feed().unwrap().carried_followers().count();
        assert_eq!((slow_followers(&fleet).0, carried), (vec![], 0));
    });
}

#[test]
fn no_follower_moves_while_all_lag() {
    each_seed(0..4, |seed| {
        let mut fleet = Fleet::new(seed, Settings::default(), 4, 16);
        run_busy(&mut fleet, 4);
        let pairs = |fleet: &Fleet| -> Vec<(MemberId, MemberId)> {
            let followers = &fleet.followers;
            fleet.members.iter().flat_map(|member| followers.iter().map(|id| (*member, *id))).collect()
        };
        let pairs = pairs(&fleet);
        slow_down(&mut fleet, pairs);
        run_busy(&mut fleet, 20);
        assert_eq!(slow_followers(&fleet), (vec![], 0));
    });
}

/// Invalid messages change no state.
#[test]
fn invalid_messages_are_ignored() {
    let now = Time(5_000_000);
    let mut feed = Feed::new(Settings::default(), A, Incarnation(9), &[A, B], &[F], 1, now);
    let max = u64::MAX;
    let fence = |number, carrier| Fence { incarnation: Incarnation(9), number, carrier };
    let item = |number, age| Item { number, key: vec![1], value: vec![1], hold: Span::seconds(9.0), age };
    let segment = |after, up_to, items| Segment {
        source: B,
        incarnation: Incarnation(1),
        after,
        up_to,
        head: up_to,
        items,
    };
    let echo = Some(Echo { stamp: Stamp { run: Incarnation(9), clock: now.0 - 1000 }, held: Span::ZERO });
    let segments = vec![
        segment(max, 1, vec![]),
        segment(0, max, vec![]),
        segment(0, 2, vec![item(2, Span::ZERO), item(1, Span::ZERO)]),
        segment(0, 1, vec![item(7, Span::ZERO)]),
        segment(0, 1, vec![Item { key: vec![0; 1 << 20], ..item(1, Span::ZERO) }]),
        segment(0, 1, vec![Item { hold: Span(max), ..item(1, Span::ZERO) }]),
        Segment { source: F, ..segment(0, 1, vec![item(1, Span::ZERO)]) },
    ];
    let stamp = Stamp { run: Incarnation(max), clock: max };
    let have = vec![Position { source: F, incarnation: Incarnation(max), number: max }; 4000];
    let (class, follower) = (FollowerClass::default(), MemberId(77));
    let invalid = [
        FeedMessage::Segments { echo, is_answer: true, segments: segments.clone() },
        // Valid, but without a bound on its age.
        FeedMessage::Segments {
            echo: None,
            is_answer: true,
            segments: vec![segment(0, 1, vec![item(1, Span(max))])],
        },
        FeedMessage::Segments {
            echo: Some(Echo { stamp, held: Span(max) }),
            is_answer: false,
            segments: vec![segment(0, 1, vec![item(1, Span(max))])],
        },
        FeedMessage::Positions { stamp, load: Default::default(), positions: have.clone() },
        FeedMessage::Request { stamp, positions: have.clone() },
        FeedMessage::OfferMove { follower, fence: fence(1, A), stamp: None, positions: vec![], class },
        FeedMessage::OfferMove { follower: F, fence: fence(1, B), stamp: None, positions: vec![], class },
        FeedMessage::OfferMove { follower: F, fence: fence(1, A), stamp: None, positions: have, class },
        FeedMessage::MoveAccepted { follower: F, fence: fence(max, B) },
        FeedMessage::MoveRejected { follower: F, fence: fence(max, B) },
    ];
    for message in invalid {
        for from in [B, F, MemberId(77)] {
            feed.receive(now, from, message.clone());
        }
    }
    assert_eq!((feed.size(), feed.carried_followers().count()), ((0, 0, 0, 0), 0));
    let mut follower = Follower::new(Settings::default(), F, Incarnation(9), &[A, B], now);
    let before = follower.fence();
    for fence in [fence(max, A), fence(1, F), Fence { incarnation: Incarnation(max), ..fence(1, A) }] {
        let message = FeedMessage::Frame { fence, frame: max, echo, class, segments: segments.clone() };
        follower.receive(now, fence.carrier, message);
        follower.receive(now, A, FeedMessage::Moved { fence });
        follower.receive(now, A, FeedMessage::SubscribeRejected { fence });
    }
    let message = FeedMessage::Frame { fence: fence(1, A), frame: 1, echo, class, segments };
    follower.receive(now, A, message);
    assert_eq!((before.number, follower.fence()), (0, fence(1, A)));
    while let Some(effect) = follower.next_effect() {
        assert!(matches!(effect, Effect::Send { .. }), "{effect:?}");
    }
}
