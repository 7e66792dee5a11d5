//! Shared verdicts on a simulated network: right and wrong findings under loss, deaths, restarts of members
//! and hosts, and late lists, checked against the true state as time advances; and single cases at one
//! dispatcher.
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::simulation::{self, Link, Network};
use cherrypass_fleet::verdicts::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const HOLD: Span = Span::millis(10_000);
const HERE: LocationId = LocationId(0);
const THERE: LocationId = LocationId(1);

fn used_by(host: HostId) -> UsedBy {
    match host.0 {
        0..=7 => UsedBy::Location(HERE),
        8..=15 => UsedBy::Location(THERE),
        _ => UsedBy::All,
    }
}

fn hosts() -> impl Iterator<Item = HostId> {
    (0..20).map(HostId)
}

fn location(id: MemberId) -> LocationId {
    LocationId((id.0 % 2) as u16)
}

/// What the effects reported to the caller; their bounds are checked.
#[derive(Default)]
struct CallerView {
    unhealthy: BTreeMap<HostId, (Option<Incarnation>, FindingKind, Time)>,
    restarted: Vec<HostId>,
    log_lines: usize,
}

impl CallerView {
    fn take(&mut self, effect: Effect) -> Option<Message> {
        match effect {
            Effect::Publish { message, ttl, .. } => {
                assert!(ttl <= HOLD);
                return Some(message);
            }
            Effect::Verdict { host, kind: FindingKind::Restarted, .. } => self.restarted.push(host),
            Effect::Verdict { host, since, kind, weight, until, age, reporters } => {
                assert!(
                    weight > 0.0 && weight < 1.0 && reporters > 0 && age <= HOLD,
                    "{weight} {reporters} {age:?}"
                );
                self.unhealthy.insert(host, (since, kind, until));
            }
            Effect::Withdraw { host } => drop(self.unhealthy.remove(&host)),
            Effect::Log(_) => self.log_lines += 1,
        }
        None
    }
}

struct Node {
    verdicts: Verdicts,
    /// True time and own clock at the start, and the rate of the clock.
    start: (Time, Time, f64),
    view: CallerView,
    outbox: VecDeque<(MemberId, (Message, Time))>,
    others: Vec<MemberId>,
}

impl Node {
    fn true_time(&self, clock: Time) -> Time {
        self.start.0 + (clock - self.start.1).times(1.0 / self.start.2)
    }
}

impl simulation::Node for Node {
    type Message = (Message, Time);

    fn receive(&mut self, now: Time, from: MemberId, (message, sent): (Message, Time)) {
        let age = (self.true_time(now) - sent).times(self.start.2) + Span::millis(1);
        self.verdicts.receive(now, from, location(from), age, message);
    }

    fn tick(&mut self, now: Time) {
        self.verdicts.tick(now);
    }

    fn next_message(&mut self, now: Time) -> Option<(MemberId, (Message, Time))> {
        while let Some(effect) = self.verdicts.next_effect() {
            let sent = self.true_time(now);
            if let Some(message) = self.view.take(effect) {
                self.outbox.extend(self.others.iter().map(|to| (*to, (message, sent))));
            }
        }
        self.outbox.pop_front()
    }
}

/// The true state, and what each member knows of it.
struct World {
    network: Network<Node>,
    rng: Pcg64Mcg,
    members: Vec<MemberId>,
    runs: BTreeMap<MemberId, Incarnation>,
    /// The current run of each host, and the run in each member's list.
    since: BTreeMap<HostId, u64>,
    listed: BTreeMap<(MemberId, HostId), u64>,
    bad: BTreeMap<HostId, FindingKind>,
    /// When a member last had evidence, in true time, by run of the host.
    evidence: BTreeMap<(MemberId, HostId, u64), Time>,
    /// Which member considers which other dead.
    dead: BTreeSet<(MemberId, MemberId)>,
    checked_verdicts: usize,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let members: Vec<MemberId> = (0..rng.gen_range(8..13)).map(MemberId).collect();
        let mut world = World {
            network: Network::new(seed, Span::millis(50)),
            rng,
            members: members.clone(),
            runs: BTreeMap::new(),
            since: hosts().map(|host| (host, 1)).collect(),
            listed: BTreeMap::new(),
            bad: BTreeMap::new(),
            evidence: BTreeMap::new(),
            dead: BTreeSet::new(),
            checked_verdicts: 0,
        };
        members.into_iter().for_each(|id| world.start(id, seed));
        world
    }

    fn start(&mut self, id: MemberId, seed: u64) {
        let run = self.runs.entry(id).or_default();
        run.0 += 1;
        let (run, rate, truth) = (*run, self.rng.gen_range(0.995..1.005), self.network.now);
        let others: Vec<MemberId> = self.members.iter().copied().filter(|other| *other != id).collect();
        let list: Vec<(HostId, u64)> = self.since.iter().map(|(host, since)| (*host, *since)).collect();
        self.network.start(id, rate, |now| {
            let mut verdicts = Verdicts::new(Settings::default(), id, location(id), run, seed ^ id.0, now);
            for (host, since) in &list {
                verdicts.update_host(now, *host, Some(Incarnation(*since)), used_by(*host));
            }
            others.iter().for_each(|who| verdicts.set_alive(now, *who, location(*who), true));
            Node {
                verdicts,
                start: (truth, now, rate),
                view: CallerView::default(),
                outbox: VecDeque::new(),
                others,
            }
        });
        self.listed.extend(list.into_iter().map(|(host, since)| ((id, host), since)));
        self.dead.retain(|(by, _)| *by != id);
    }

    fn report_finding(&mut self, id: MemberId, host: HostId, kind: FindingKind) {
        let (since, evidence) = (self.listed[&(id, host)], self.rng.gen_range(1..9));
        let age = Span::millis(self.rng.gen_range(0..3_000));
        let rate = self.network.node(id).map_or(1.0, |node| node.start.2);
        let finding = Finding { host, since: Some(Incarnation(since)), kind, evidence, age };
        if self.network.call(id, |node, now| node.verdicts.report_finding(now, finding)).is_some() {
            let at = self.network.now - age.times(1.0 / rate);
            let last = self.evidence.entry((id, host, since)).or_default();
            *last = at.max(*last);
        }
    }

    fn update_list(&mut self, id: MemberId, host: HostId) {
        let since = self.since[&host];
        self.listed.insert((id, host), since);
        self.network
            .call(id, |n, now| n.verdicts.update_host(now, host, Some(Incarnation(since)), used_by(host)));
    }

    fn report_recovery(&mut self, id: MemberId, host: HostId) {
        self.network.call(id, |node, now| node.verdicts.report_recovery(now, host));
    }

    fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.rng.gen_range(0..choices.len())]
    }

    /// Plays half a second with a random change; `faulty_member` reports arbitrary findings.
    fn step(&mut self, faulty_member: MemberId, seed: u64) {
        let every_host: Vec<HostId> = hosts().collect();
        let members = self.members.clone();
        let (who, host) = (self.choose(&members), self.choose(&every_host));
        match self.rng.gen_range(0..12) {
            0 | 1 => {
                let kind = self.choose(&[FindingKind::Failing, FindingKind::Unreachable, FindingKind::Slow]);
                self.bad.insert(host, kind);
            }
            2 => drop(self.bad.remove(&host)),
            3 => {
                *self.since.get_mut(&host).unwrap() += 1;
                self.bad.remove(&host);
            }
            4 => {
                let (loss_rate, most) = (self.rng.gen_range(0.0..0.3), self.rng.gen_range(2..3_000));
                self.network.link =
                    Link { loss_rate, duplication_rate: 0.1, delay: [Span::millis(1), Span::millis(most)] };
            }
            5 => self.network.kill(who),
            6 if self.network.node(who).is_none() => self.start(who, seed),
            7 => drop(
                self.network.call(who, |node, now| node.verdicts.set_links_degraded(now, now.0 % 2 == 0)),
            ),
            _ => {}
        }
        for id in members.iter().copied() {
            for host in every_host.iter().copied() {
                // Lists arrive late.
                if self.listed[&(id, host)] < self.since[&host] && self.rng.gen_bool(0.3) {
                    self.update_list(id, host);
                }
            }
            let used = every_host.iter().copied().filter(|host| {
                used_by(*host) == UsedBy::All || used_by(*host) == UsedBy::Location(location(id))
            });
            for host in used {
                let bad = self.bad.get(&host).copied();
                // Network faults affect one location only.
                let bad = bad.filter(|kind| *kind == FindingKind::Failing || location(id) == HERE);
                let is_wrong = id == faulty_member && self.rng.gen_bool(0.15);
                match bad {
                    Some(kind) if self.rng.gen_bool(0.5) => self.report_finding(id, host, kind),
                    None if is_wrong => self.report_finding(id, host, FindingKind::Failing),
                    None if id != faulty_member && self.rng.gen_bool(0.7) => self.report_recovery(id, host),
                    _ => {}
                }
            }
            for other in members.iter().copied().filter(|other| *other != id) {
                let alive = self.network.node(other).is_some();
                if alive == self.dead.contains(&(id, other)) && self.rng.gen_bool(0.5) {
                    self.network.call(id, |n, now| n.verdicts.set_alive(now, other, location(other), alive));
                    if alive {
                        self.dead.remove(&(id, other));
                    } else {
                        self.dead.insert((id, other));
                    }
                }
            }
        }
        self.run(Span::millis(500), seed);
    }

    fn run(&mut self, span: Span, seed: u64) {
        let end = self.network.now + span;
        while self.network.now < end {
            self.network.run(Span::millis(25), |_| {});
            self.check(seed);
        }
    }

    fn check(&mut self, seed: u64) {
        for id in self.network.ids() {
            let node = self.network.node(id).unwrap();
            let clock = self.network.clock(id).unwrap();
            let in_force: Vec<_> = node.view.unhealthy.iter().filter(|(_, view)| clock < view.2).collect();
            for group in [UsedBy::Location(HERE), UsedBy::Location(THERE), UsedBy::All] {
                let bad = in_force.iter().filter(|(host, _)| used_by(**host) == group).count();
                let group_size = hosts().filter(|host| used_by(*host) == group).count();
                assert!(
                    2 * bad <= group_size,
                    "seed {seed}: {id:?} has verdicts on {bad} of {group_size} hosts"
                );
            }
            for (host, (since, kind, _)) in in_force {
                let listed = self.listed[&(id, *host)];
                assert_eq!(
                    *since,
                    Some(Incarnation(listed)),
                    "seed {seed}: {id:?} has a verdict on another run of {host:?}"
                );
                let reporters = self.members.iter().copied().filter(|from| {
                    let Some(at) = self.evidence.get(&(*from, *host, listed)) else { return false };
                    let age = (self.network.now - *at).times(1.005);
                    let applies = kind == &FindingKind::Failing || location(*from) == location(id);
                    let is_alive = *from != id && !self.dead.contains(&(id, *from));
                    is_alive && applies && age <= HOLD
                });
                let reporters = reporters.count();
                assert!(
                    reporters >= 2,
                    "seed {seed}: {id:?} has a verdict {kind:?} on {host:?} from only {reporters} reporters"
                );
                self.checked_verdicts += 1;
            }
        }
    }
}

#[test]
fn no_verdict_outlives_its_evidence_its_run_or_its_reporters() {
    let mut checked_verdicts = 0;
    for seed in 0..60 {
        let mut world = World::new(seed);
        let faulty_member = MemberId(world.rng.gen_range(0..8));
        (0..40).for_each(|_| world.step(faulty_member, seed));
        checked_verdicts += world.checked_verdicts;
        // All hosts work again: after the hold time there are no verdicts.
        world.network.link = Link::default();
        for (id, host) in world.members.clone().into_iter().flat_map(|id| hosts().map(move |host| (id, host)))
        {
            world.update_list(id, host);
            world.report_recovery(id, host);
        }
        world.run(HOLD + Span::millis(200), seed);
        for id in world.network.ids() {
            let view = &world.network.node(id).unwrap().view;
            assert!(view.unhealthy.is_empty(), "seed {seed}: {id:?} still has verdicts {:?}", view.unhealthy);
        }
    }
    assert!(checked_verdicts > 80_000, "only {checked_verdicts} verdicts were in force");
}

/// Time that each message takes.
const DELAY: Span = Span::millis(5);

/// One dispatcher with thirteen others, eight caches here, eight in the other location and four shared hosts.
struct SingleDispatcher {
    verdicts: Verdicts,
    now: Time,
    view: CallerView,
    sequence: u64,
}

impl SingleDispatcher {
    fn new() -> SingleDispatcher {
        let now = Time(1_000_000);
        let mut verdicts = Verdicts::new(Settings::default(), MemberId(0), HERE, Incarnation(1), 1, now);
        hosts().for_each(|host| verdicts.update_host(now, host, Some(Incarnation(1)), used_by(host)));
        (1..14).for_each(|id| verdicts.set_alive(now, MemberId(id), location(MemberId(id)), true));
        SingleDispatcher { verdicts, now, view: CallerView::default(), sequence: 0 }
    }

    fn receive(&mut self, from: u64, host: u64, run: (u64, u64), kind: Option<FindingKind>) {
        let (since, age) = (Some(Incarnation(run.1)), Span::ZERO);
        let statement =
            kind.map_or(Statement::Withdrawn, |kind| Statement::Found { since, kind, evidence: 4, age });
        self.sequence += 1;
        let message = Message {
            incarnation: Incarnation(run.0),
            sequence: self.sequence,
            host: HostId(host),
            statement,
        };
        self.verdicts.receive(self.now, MemberId(from), location(MemberId(from)), DELAY, message);
        self.take_messages();
    }

    /// Three of the seven dispatchers of this location report it, enough for a verdict.
    fn receive_from_three(&mut self, host: u64, kind: FindingKind) {
        [2, 4, 6].into_iter().for_each(|from| self.receive(from, host, (1, 1), Some(kind)));
    }

    fn take_messages(&mut self) -> Vec<Message> {
        std::iter::from_fn(|| self.verdicts.next_effect())
            .filter_map(|effect| self.view.take(effect))
            .collect()
    }

    fn unhealthy_hosts(&mut self) -> Vec<u64> {
        self.verdicts.tick(self.now);
        self.take_messages();
        self.view.unhealthy.keys().map(|host| host.0).collect()
    }
}

#[test]
fn a_verdict_lasts_until_reporters_withdraw_die_or_restart() {
    for end in 0..5 {
        let mut dispatcher = SingleDispatcher::new();
        dispatcher.receive(2, 3, (1, 1), Some(FindingKind::Unreachable));
        dispatcher.receive(4, 3, (1, 1), Some(FindingKind::Unreachable));
        assert_eq!(dispatcher.unhealthy_hosts(), [0; 0], "two of seven are less than a third");
        dispatcher.receive(6, 3, (1, 1), Some(FindingKind::Unreachable));
        assert_eq!(dispatcher.unhealthy_hosts(), [3]);
        match end {
            0 => dispatcher.receive(4, 3, (1, 1), None),
            1 => dispatcher.verdicts.set_alive(dispatcher.now, MemberId(4), HERE, false),
            2 => dispatcher.verdicts.note_incarnation(dispatcher.now, MemberId(4), Incarnation(2)),
            3 => dispatcher.verdicts.update_host(
                dispatcher.now,
                HostId(3),
                Some(Incarnation(2)),
                used_by(HostId(3)),
            ),
            _ => dispatcher.verdicts.refute(dispatcher.now, HostId(3)),
        }
        assert_eq!(dispatcher.unhealthy_hosts(), [0; 0], "end {end}");
        // Messages of the previous run and outdated messages have no effect.
        if end == 2 {
            dispatcher.receive(4, 3, (1, 1), Some(FindingKind::Unreachable));
        }
        dispatcher.sequence = 0;
        dispatcher.receive(4, 3, (1, 1), Some(FindingKind::Unreachable));
        assert_eq!(dispatcher.unhealthy_hosts(), [0; 0], "end {end}, an outdated message");
    }
}

#[test]
fn errors_need_two_reports_from_anywhere_and_silence_counts_in_its_location() {
    let mut dispatcher = SingleDispatcher::new();
    [2, 4].into_iter().for_each(|from| dispatcher.receive(from, 3, (1, 1), Some(FindingKind::Failing)));
    assert_eq!(dispatcher.unhealthy_hosts(), [3]);
    let mut dispatcher = SingleDispatcher::new();
    [1, 3, 5, 7, 9]
        .into_iter()
        .for_each(|from| dispatcher.receive(from, 17, (1, 1), Some(FindingKind::Unreachable)));
    assert_eq!(dispatcher.unhealthy_hosts(), [0; 0], "a network fault of another location");
    [1, 3, 5].into_iter().for_each(|from| dispatcher.receive(from, 17, (1, 1), Some(FindingKind::Failing)));
    assert_eq!(dispatcher.unhealthy_hosts(), [17], "errors count from everywhere");
    // Reporters with an unhealthy cache of their own do not count.
    [1, 3].into_iter().for_each(|from| dispatcher.receive(from, 9, (1, 1), Some(FindingKind::Failing)));
    assert_eq!(dispatcher.unhealthy_hosts(), [0; 0]);
    [1, 3].into_iter().for_each(|from| dispatcher.receive(from, 9, (1, 1), None));
    assert_eq!(dispatcher.unhealthy_hosts(), [17]);
    // An unhealthy cache here may be the cause of errors of the hosts behind it.
    dispatcher.receive_from_three(1, FindingKind::Failing);
    assert_eq!(dispatcher.unhealthy_hosts(), [1]);
}

#[test]
fn thresholds_can_change() {
    let mut dispatcher = SingleDispatcher::new();
    dispatcher.receive(2, 3, (1, 1), Some(FindingKind::Failing));
    for (reporters, location_fraction, bad) in
        [(1, 0.0, &[3][..]), (0, 0.0, &[3]), (1, f64::NAN, &[3]), (2, 0.25, &[])]
    {
        dispatcher.verdicts.set_thresholds(dispatcher.now, reporters, location_fraction);
        assert_eq!(dispatcher.unhealthy_hosts(), bad, "{reporters} {location_fraction}");
    }
}

#[test]
fn reports_on_an_unlisted_run_wait_for_the_list() {
    let mut dispatcher = SingleDispatcher::new();
    [2, 4].into_iter().for_each(|from| dispatcher.receive(from, 3, (1, 2), Some(FindingKind::Failing)));
    assert_eq!(dispatcher.unhealthy_hosts(), [0; 0]);
    dispatcher.verdicts.update_host(dispatcher.now, HostId(3), Some(Incarnation(2)), used_by(HostId(3)));
    assert_eq!(dispatcher.unhealthy_hosts(), [3]);
    dispatcher.now = dispatcher.now + HOLD;
    assert_eq!(dispatcher.unhealthy_hosts(), [0; 0]);
}

#[test]
fn one_report_of_a_restart_is_enough_after_a_verdict() {
    let mut dispatcher = SingleDispatcher::new();
    dispatcher.receive(2, 5, (1, 1), Some(FindingKind::Restarted));
    assert_eq!(dispatcher.view.restarted, []);
    dispatcher.receive_from_three(3, FindingKind::Unreachable);
    dispatcher.receive(2, 3, (1, 1), Some(FindingKind::Restarted));
    assert_eq!((&dispatcher.view.restarted[..], dispatcher.view.unhealthy.len()), (&[HostId(3)][..], 1));
    dispatcher.receive(2, 3, (1, 1), None);
    assert_eq!(dispatcher.unhealthy_hosts(), [0; 0]);
}

#[test]
fn reporters_with_too_many_or_invalid_findings_change_nothing() {
    let mut dispatcher = SingleDispatcher::new();
    dispatcher.receive_from_three(3, FindingKind::Failing);
    // One member reports 10,000 findings: memory is bounded, one line is logged, and the reports of others
    // still count.
    for host in 0..10_000 {
        dispatcher.receive(8, host, (1, 1), Some(FindingKind::Failing));
    }
    assert_eq!((dispatcher.unhealthy_hosts(), dispatcher.view.log_lines), (vec![3], 1));
    let message = Message {
        incarnation: Incarnation(1),
        sequence: u64::MAX,
        host: HostId(4),
        statement: Statement::Found {
            since: None,
            kind: FindingKind::Failing,
            evidence: u32::MAX,
            age: Span(u64::MAX),
        },
    };
    for from in 2..12 {
        dispatcher.verdicts.receive(
            dispatcher.now,
            MemberId(from),
            location(MemberId(from)),
            Span(u64::MAX),
            message,
        );
    }
    assert_eq!(dispatcher.unhealthy_hosts(), [3]);
    // Three members with bad links report four caches each: too many, so none of it counts.
    let mut dispatcher = SingleDispatcher::new();
    (0..4).for_each(|host| dispatcher.receive_from_three(host, FindingKind::Unreachable));
    assert_eq!(dispatcher.unhealthy_hosts(), [0; 0]);
}

/// All hosts of a full list may have restarted at once: reports about all of them still count.
#[test]
fn one_member_may_report_1024_hosts() {
    let mut dispatcher = SingleDispatcher::new();
    for host in (0..1_024).filter(|host| *host != 3) {
        dispatcher.receive(8, host, (1, 1), Some(FindingKind::Restarted));
    }
    assert_eq!(dispatcher.view.log_lines, 0);
    [2, 8].into_iter().for_each(|from| dispatcher.receive(from, 3, (1, 1), Some(FindingKind::Failing)));
    assert_eq!(dispatcher.unhealthy_hosts(), [3]);
}

#[test]
fn a_reported_recovery_ends_a_verdict_until_new_findings() {
    let mut dispatcher = SingleDispatcher::new();
    let receive_from_all = |dispatcher: &mut SingleDispatcher| {
        [2, 4, 6, 8].map(|from| dispatcher.receive(from, 3, (1, 1), Some(FindingKind::Unreachable)))
    };
    receive_from_all(&mut dispatcher);
    dispatcher.receive(8, 3, (1, 1), None);
    assert_eq!(dispatcher.unhealthy_hosts(), [3], "three still report it");
    dispatcher.now = dispatcher.now + Span::millis(500);
    let message = Message {
        incarnation: Incarnation(1),
        sequence: 99,
        host: HostId(3),
        statement: Statement::Recovered,
    };
    dispatcher.verdicts.receive(dispatcher.now, MemberId(8), HERE, DELAY, message);
    assert_eq!(dispatcher.unhealthy_hosts(), [0; 0]);
    dispatcher.now = dispatcher.now + Span::millis(500);
    dispatcher.sequence = 99;
    receive_from_all(&mut dispatcher);
    assert_eq!(dispatcher.unhealthy_hosts(), [3]);
}

#[test]
fn own_findings_are_published_repeated_and_withdrawn_but_not_with_degraded_links() {
    let mut dispatcher = SingleDispatcher::new();
    let finding = |host| {
        let (since, kind) = (Some(Incarnation(1)), FindingKind::Unreachable);
        Finding { host: HostId(host), since, kind, evidence: 2, age: Span::ZERO }
    };
    let is_withdrawal = |message: &Message| message.statement == Statement::Withdrawn;
    dispatcher.verdicts.report_finding(dispatcher.now, finding(3));
    assert_eq!(dispatcher.take_messages().len(), 1);
    let mut count = 0;
    for _ in 0..200 {
        dispatcher.now = dispatcher.now + Span::millis(50);
        dispatcher.verdicts.report_finding(dispatcher.now, finding(3));
        dispatcher.verdicts.tick(dispatcher.now);
        count += dispatcher.take_messages().len();
    }
    assert!((4..=5).contains(&count), "published {count} times in the hold time");
    dispatcher.verdicts.report_recovery(dispatcher.now, HostId(3));
    assert_eq!(
        dispatcher.take_messages().iter().map(|message| message.statement).collect::<Vec<_>>(),
        [Statement::Recovered]
    );
    dispatcher.now = dispatcher.now + HOLD;
    // The fourth of eight caches is one too many: all findings are withdrawn.
    (0..3).for_each(|host| dispatcher.verdicts.report_finding(dispatcher.now, finding(host)));
    assert_eq!(dispatcher.take_messages().len(), 3);
    dispatcher.verdicts.report_finding(dispatcher.now, finding(3));
    let messages = dispatcher.take_messages();
    assert!(messages.len() == 3 && messages.iter().all(is_withdrawal), "{messages:?}");
    (0..4).for_each(|host| dispatcher.verdicts.report_recovery(dispatcher.now, HostId(host)));
    dispatcher.now = dispatcher.now + HOLD;
    dispatcher.verdicts.report_finding(dispatcher.now, finding(5));
    assert_eq!(dispatcher.take_messages().len(), 1);
    dispatcher.verdicts.set_links_degraded(dispatcher.now, true);
    assert!(dispatcher.take_messages().iter().all(is_withdrawal));
    dispatcher.verdicts.report_finding(dispatcher.now, finding(6));
    dispatcher.now = dispatcher.now + HOLD;
    dispatcher.verdicts.set_links_degraded(dispatcher.now, false);
    let earlier = Finding { age: Span::millis(10), ..finding(6) };
    dispatcher.verdicts.report_finding(dispatcher.now, earlier);
    assert_eq!(dispatcher.take_messages(), []);
}
