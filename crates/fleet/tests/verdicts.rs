//! The room of verdicts on a made network: members find hosts bad, rightly or not, under loss, deaths, restarts of both
//! members and hosts, and lists that come late. A judge that knows the truth looks after each event.
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::made::{self, Link, Network};
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
    LocationId((id.0 % 2) as u8)
}

/// What the module is told, with the effects' own bounds checked.
#[derive(Default)]
struct Told {
    bad: BTreeMap<HostId, (Option<Incarnation>, Kind, Time)>,
    new: Vec<HostId>,
    lines: usize,
}

impl Told {
    fn take(&mut self, effect: Effect) -> Option<Said> {
        match effect {
            Effect::Publish { said, hold, .. } => {
                assert!(hold <= HOLD);
                return Some(said);
            }
            Effect::Hearsay { host, kind: Kind::JustStarted, .. } => self.new.push(host),
            Effect::Hearsay { host, since, kind, weight, until, age, tellers } => {
                assert!(
                    weight > 0.0 && weight < 1.0 && tellers > 0 && age <= HOLD,
                    "{weight} {tellers} {age:?}"
                );
                self.bad.insert(host, (since, kind, until));
            }
            Effect::Withdraw { host } => drop(self.bad.remove(&host)),
            Effect::Log(_) => self.lines += 1,
        }
        None
    }
}

struct Node {
    verdicts: Verdicts,
    /// True time and own clock at its start, and the clock's rate.
    start: (Time, Time, f64),
    told: Told,
    out: VecDeque<(MemberId, (Said, Time))>,
    others: Vec<MemberId>,
}

impl Node {
    fn truth(&self, clock: Time) -> Time {
        self.start.0 + (clock - self.start.1).times(1.0 / self.start.2)
    }
}

impl made::Node for Node {
    type Said = (Said, Time);

    fn heard(&mut self, now: Time, from: MemberId, (said, sent): (Said, Time)) {
        let age = (self.truth(now) - sent).times(self.start.2) + Span::millis(1);
        self.verdicts.heard(now, from, location(from), age, said);
    }

    fn woken(&mut self, now: Time) {
        self.verdicts.woken(now);
    }

    fn next(&mut self, now: Time) -> Option<(MemberId, (Said, Time))> {
        while let Some(effect) = self.verdicts.next() {
            let sent = self.truth(now);
            if let Some(said) = self.told.take(effect) {
                self.out.extend(self.others.iter().map(|to| (*to, (said, sent))));
            }
        }
        self.out.pop_front()
    }
}

/// The truth, and what each member has been told of it.
struct World {
    net: Network<Node>,
    chance: Pcg64Mcg,
    members: Vec<MemberId>,
    runs: BTreeMap<MemberId, Incarnation>,
    /// Which run of a host there is, and which each member's list names.
    since: BTreeMap<HostId, u64>,
    listed: BTreeMap<(MemberId, HostId), u64>,
    bad: BTreeMap<HostId, Kind>,
    /// When a member last found something, in true time, by the host's run.
    evidence: BTreeMap<(MemberId, HostId, u64), Time>,
    /// Who takes whom for dead.
    dead: BTreeSet<(MemberId, MemberId)>,
    judged: usize,
}

impl World {
    fn new(seed: u64) -> World {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let members: Vec<MemberId> = (0..chance.gen_range(8..13)).map(MemberId).collect();
        let mut world = World {
            net: Network::new(seed, Span::millis(50)),
            chance,
            members: members.clone(),
            runs: BTreeMap::new(),
            since: hosts().map(|host| (host, 1)).collect(),
            listed: BTreeMap::new(),
            bad: BTreeMap::new(),
            evidence: BTreeMap::new(),
            dead: BTreeSet::new(),
            judged: 0,
        };
        members.into_iter().for_each(|id| world.start(id, seed));
        world
    }

    fn start(&mut self, id: MemberId, seed: u64) {
        let run = self.runs.entry(id).or_default();
        run.0 += 1;
        let (run, rate, truth) = (*run, self.chance.gen_range(0.995..1.005), self.net.now);
        let others: Vec<MemberId> = self.members.iter().copied().filter(|other| *other != id).collect();
        let list: Vec<(HostId, u64)> = self.since.iter().map(|(host, since)| (*host, *since)).collect();
        self.net.start(id, rate, |now| {
            let mut verdicts = Verdicts::new(Set::default(), id, location(id), run, seed ^ id.0, now);
            for (host, since) in &list {
                verdicts.listed(now, *host, Some(Incarnation(*since)), used_by(*host));
            }
            others.iter().for_each(|who| verdicts.standing(now, *who, location(*who), true));
            Node { verdicts, start: (truth, now, rate), told: Told::default(), out: VecDeque::new(), others }
        });
        self.listed.extend(list.into_iter().map(|(host, since)| ((id, host), since)));
        self.dead.retain(|(by, _)| *by != id);
    }

    fn found(&mut self, id: MemberId, host: HostId, kind: Kind) {
        let (since, evidence) = (self.listed[&(id, host)], self.chance.gen_range(1..9));
        let age = Span::millis(self.chance.gen_range(0..3_000));
        let rate = self.net.node(id).map_or(1.0, |node| node.start.2);
        let finding = Finding { host, since: Some(Incarnation(since)), kind, evidence, age };
        if self.net.call(id, |node, now| node.verdicts.found(now, finding)).is_some() {
            let at = self.net.now - age.times(1.0 / rate);
            let last = self.evidence.entry((id, host, since)).or_default();
            *last = at.max(*last);
        }
    }

    fn list(&mut self, id: MemberId, host: HostId) {
        let since = self.since[&host];
        self.listed.insert((id, host), since);
        self.net.call(id, |n, now| n.verdicts.listed(now, host, Some(Incarnation(since)), used_by(host)));
    }

    fn clear(&mut self, id: MemberId, host: HostId) {
        self.net.call(id, |node, now| node.verdicts.cleared(now, host));
    }

    fn any<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.chance.gen_range(0..all.len())]
    }

    /// Half a second of the world; `fool` finds whatever it likes.
    fn step(&mut self, fool: MemberId, seed: u64) {
        let all: Vec<HostId> = hosts().collect();
        let members = self.members.clone();
        let (who, host) = (self.any(&members), self.any(&all));
        match self.chance.gen_range(0..12) {
            0 | 1 => {
                let kind = self.any(&[Kind::ShutOut, Kind::CutOff, Kind::Slow]);
                self.bad.insert(host, kind);
            }
            2 => drop(self.bad.remove(&host)),
            3 => {
                *self.since.get_mut(&host).unwrap() += 1;
                self.bad.remove(&host);
            }
            4 => {
                let (lost, most) = (self.chance.gen_range(0.0..0.3), self.chance.gen_range(2..3_000));
                self.net.link = Link { lost, twice: 0.1, delay: [Span::millis(1), Span::millis(most)] };
            }
            5 => self.net.kill(who),
            6 if self.net.node(who).is_none() => self.start(who, seed),
            7 => drop(self.net.call(who, |node, now| node.verdicts.own_trouble(now, now.0 % 2 == 0))),
            _ => {}
        }
        for id in members.iter().copied() {
            for host in all.iter().copied() {
                // Lists come when they come.
                if self.listed[&(id, host)] < self.since[&host] && self.chance.gen_bool(0.3) {
                    self.list(id, host);
                }
            }
            let used = all.iter().copied().filter(|host| {
                used_by(*host) == UsedBy::All || used_by(*host) == UsedBy::Location(location(id))
            });
            for host in used {
                let bad = self.bad.get(&host).copied();
                // A way that is broken is broken for one location.
                let bad = bad.filter(|kind| *kind == Kind::ShutOut || location(id) == HERE);
                let foolish = id == fool && self.chance.gen_bool(0.15);
                match bad {
                    Some(kind) if self.chance.gen_bool(0.5) => self.found(id, host, kind),
                    None if foolish => self.found(id, host, Kind::ShutOut),
                    None if id != fool && self.chance.gen_bool(0.7) => self.clear(id, host),
                    _ => {}
                }
            }
            for other in members.iter().copied().filter(|other| *other != id) {
                let alive = self.net.node(other).is_some();
                if alive == self.dead.contains(&(id, other)) && self.chance.gen_bool(0.5) {
                    self.net.call(id, |n, now| n.verdicts.standing(now, other, location(other), alive));
                    if alive {
                        self.dead.remove(&(id, other));
                    } else {
                        self.dead.insert((id, other));
                    }
                }
            }
        }
        self.play(Span::millis(500), seed);
    }

    fn play(&mut self, span: Span, seed: u64) {
        let end = self.net.now + span;
        while self.net.now < end {
            self.net.play(Span::millis(25), |_| {});
            self.judge(seed);
        }
    }

    fn judge(&mut self, seed: u64) {
        for id in self.net.ids() {
            let node = self.net.node(id).unwrap();
            let clock = self.net.clock(id).unwrap();
            let in_force: Vec<_> = node.told.bad.iter().filter(|(_, told)| clock < told.2).collect();
            for group in [UsedBy::Location(HERE), UsedBy::Location(THERE), UsedBy::All] {
                let bad = in_force.iter().filter(|(host, _)| used_by(**host) == group).count();
                let all = hosts().filter(|host| used_by(*host) == group).count();
                assert!(2 * bad <= all, "seed {seed}: {bad} of {all} stand as told at {id:?}");
            }
            for (host, (since, kind, _)) in in_force {
                let listed = self.listed[&(id, *host)];
                assert_eq!(
                    *since,
                    Some(Incarnation(listed)),
                    "seed {seed}: {host:?} by another run at {id:?}"
                );
                let tellers = self.members.iter().copied().filter(|from| {
                    let Some(at) = self.evidence.get(&(*from, *host, listed)) else { return false };
                    let age = (self.net.now - *at).times(1.005);
                    let far = kind == &Kind::ShutOut || location(*from) == location(id);
                    let live = *from != id && !self.dead.contains(&(id, *from));
                    live && far && age <= HOLD
                });
                let tellers = tellers.count();
                assert!(tellers >= 2, "seed {seed}: {host:?} {kind:?} stands at {id:?} by {tellers} alone");
                self.judged += 1;
            }
        }
    }
}

#[test]
fn nothing_told_outlives_its_evidence_its_run_or_its_tellers() {
    let mut judged = 0;
    for seed in 0..24 {
        let mut world = World::new(seed);
        let fool = MemberId(world.chance.gen_range(0..8));
        (0..40).for_each(|_| world.step(fool, seed));
        judged += world.judged;
        // All is well again: after the hold time nothing stands.
        world.net.link = Link::default();
        for (id, host) in world.members.clone().into_iter().flat_map(|id| hosts().map(move |host| (id, host)))
        {
            world.list(id, host);
            world.clear(id, host);
        }
        world.play(HOLD + Span::millis(200), seed);
        for id in world.net.ids() {
            let told = &world.net.node(id).unwrap().told;
            assert!(told.bad.is_empty(), "seed {seed}: {:?} still stands at {id:?}", told.bad);
        }
    }
    assert!(judged > 30_000, "only {judged} verdicts were in force");
}
