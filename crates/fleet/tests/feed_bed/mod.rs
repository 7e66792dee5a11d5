//! Members and followers of a feed on the simulated network; everything that one of them delivers is checked.
#![allow(dead_code)]
use cherrypass::containers::rendezvous;
use cherrypass::ids::HostId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::feed::{Effect, Feed, FeedMessage, Follower, Settings};
use cherrypass_fleet::simulation::{Network, Node};
use rand::Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// All items published, by run of a source: key, hold, and true time.
pub type Ledger = Rc<RefCell<BTreeMap<(MemberId, Incarnation), Vec<(Vec<u8>, Span, Time)>>>>;

/// A member or a follower.
pub enum Role {
    Member(Feed),
    Follower(Follower),
}

/// A process on the network with its checks.
pub struct Bed {
    pub id: MemberId,
    pub role: Role,
    pub ledger: Ledger,
    /// True time and own clock at the start, and the clock's rate.
    start: (Time, Time),
    rate: f64,
    /// By source: the position, and the latest number of each key.
    pub at: BTreeMap<MemberId, (Incarnation, u64)>,
    pub latest: BTreeMap<(MemberId, Vec<u8>), u64>,
    pub states: u64,
    pub delivered: u64,
    /// True delays of items published from this time on.
    pub measure_from: Time,
    pub delays: Vec<u32>,
    /// The greatest amount by which a reported age exceeded the true one.
    pub max_age_excess: Span,
    pub max_held_bytes: usize,
}

impl Bed {
    pub fn feed(&self) -> Option<&Feed> {
        match &self.role {
            Role::Member(feed) => Some(feed),
            Role::Follower(_) => None,
        }
    }

    pub fn follower(&self) -> Option<&Follower> {
        match &self.role {
            Role::Member(_) => None,
            Role::Follower(follower) => Some(follower),
        }
    }

    pub fn publish(&mut self, now: Time, key: Vec<u8>, bytes: usize, hold: Span) {
        let at = self.true_time(now);
        let Role::Member(feed) = &mut self.role else { return };
        let Ok(number) = feed.publish(now, key.clone(), vec![0; bytes], hold) else { return };
        let incarnation = self.at[&self.id].0;
        let mut ledger = self.ledger.borrow_mut();
        let run = ledger.entry((self.id, incarnation)).or_default();
        run.push((key, hold, at));
        assert_eq!(run.len() as u64, number);
    }

    fn true_time(&self, now: Time) -> Time {
        self.start.0 + (now - self.start.1).times(1.0 / self.rate)
    }

    fn check_item(
        &mut self,
        now: Time,
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        key: &[u8],
        age: Span,
    ) {
        let at = self.true_time(now);
        let ledger = self.ledger.borrow();
        let (published, _, when) = &ledger[&(source, incarnation)][number as usize - 1];
        assert_eq!(published, key);
        let true_age = at - *when;
        assert!(age + Span(50) >= true_age, "reported age {age:?} is below the true age {true_age:?}");
        self.max_age_excess = self.max_age_excess.max(Span(age.0.saturating_sub(true_age.0)));
        if *when >= self.measure_from {
            self.delays.push(true_age.0 as u32);
        }
        self.latest.insert((source, key.to_vec()), number);
    }

    fn check_effect(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Deliver { source, incarnation, number, key, age, .. } => {
                let at = self.at.get(&source).copied().unwrap_or_default();
                let before = if at.0 == incarnation { at.1 } else { 0 };
                assert!(incarnation >= at.0, "an item of an older run arrived after one of a newer run");
                assert_eq!(number, before + 1, "a gap or a repeat from {source:?}");
                self.at.insert(source, (incarnation, number));
                self.delivered += 1;
                self.check_item(now, source, incarnation, number, &key, age);
            }
            Effect::State { source, incarnation, up_to, items } => {
                let at = self.at.get(&source).copied().unwrap_or_default();
                let before = if at.0 == incarnation { at.1 } else { 0 };
                assert!(incarnation >= at.0 && up_to > before, "a state that goes backwards");
                let mut last = before;
                for item in &items {
                    assert!(item.number > last && item.number <= up_to, "a state out of order");
                    last = item.number;
                }
                {
                    let ledger = self.ledger.borrow();
                    let run = &ledger[&(source, incarnation)];
                    for number in before + 1..=up_to {
                        let (key, hold, _) = &run[number as usize - 1];
                        let there = items.iter().any(|item| item.number == number);
                        let replaced = run[number as usize..].iter().any(|(later, ..)| later == key);
                        let short = *hold < Span::seconds(60.0);
                        assert!(there || replaced || short, "a state lacks number {number} of {source:?}");
                    }
                }
                self.at.insert(source, (incarnation, up_to));
                self.states += 1;
                for item in items {
                    self.check_item(now, source, incarnation, item.number, &item.key, item.age);
                }
            }
            Effect::Log(_) | Effect::Send { .. } => {}
        }
    }
}

impl Node for Bed {
    type Message = FeedMessage;

    fn receive(&mut self, now: Time, from: MemberId, message: FeedMessage) {
        match &mut self.role {
            Role::Member(feed) => feed.receive(now, from, message),
            Role::Follower(follower) => follower.receive(now, from, message),
        }
    }

    fn tick(&mut self, now: Time) {
        match &mut self.role {
            Role::Member(feed) => feed.tick(now),
            Role::Follower(follower) => follower.tick(now),
        }
        if let Some(feed) = self.feed() {
            self.max_held_bytes = self.max_held_bytes.max(feed.size().1);
        }
    }

    fn next_message(&mut self, now: Time) -> Option<(MemberId, FeedMessage)> {
        loop {
            let effect = match &mut self.role {
                Role::Member(feed) => feed.next_effect(),
                Role::Follower(follower) => follower.next_effect(),
            }?;
            match effect {
                Effect::Send { to, message } => return Some((to, message)),
                other => self.check_effect(now, other),
            }
        }
    }
}

pub struct Fleet {
    pub net: Network<Bed>,
    pub settings: Settings,
    pub members: Vec<MemberId>,
    pub followers: Vec<MemberId>,
    pub ledger: Ledger,
    runs: u64,
    pub measure_from: Time,
}

impl Fleet {
    pub fn new(seed: u64, settings: Settings, members: usize, followers: usize) -> Fleet {
        let net = Network::new(seed, settings.interval);
        let name = |kind: &str, count: usize| -> Vec<MemberId> {
            (0..count).map(|i| MemberId::of(&format!("{kind}{i}"))).collect()
        };
        let members = name("member", members);
        // Names are chosen so that small fleets begin with even groups.
        let home = |id: MemberId| {
            let value = |member: &MemberId| rendezvous(id.0, HostId(member.0), 1.0);
            members.iter().copied().max_by(|a, b| value(a).total_cmp(&value(b)))
        };
        let even = |i: usize| {
            let names = (0..).map(|k| MemberId::of(&format!("follower{i}-{k}")));
            names.take(100).find(|id| members.len() > 10 || home(*id) == Some(members[i % members.len()]))
        };
        let followers = (0..followers).filter_map(even).collect();
        let mut fleet = Fleet {
            net,
            settings,
            members,
            followers,
            ledger: Ledger::default(),
            runs: 0,
            measure_from: Time(0),
        };
        for id in fleet.members.clone().into_iter().chain(fleet.followers.clone()) {
            fleet.start(id);
        }
        fleet
    }

    /// Starts or restarts a member or a follower.
    pub fn start(&mut self, id: MemberId) {
        self.runs += 1;
        let incarnation = Incarnation(self.net.now.0 + self.runs);
        let rate = self.net.rng.gen_range(0.995..1.005);
        let seed = self.net.rng.gen();
        let (settings, ledger, true_start) = (self.settings.clone(), self.ledger.clone(), self.net.now);
        let (members, followers, measure_from) = (&self.members, &self.followers, self.measure_from);
        self.net.start(id, rate, |now| {
            let role = if members.contains(&id) {
                Role::Member(Feed::new(settings, id, incarnation, members, followers, seed, now))
            } else {
                Role::Follower(Follower::new(settings, id, incarnation, members, now))
            };
            Bed {
                id,
                role,
                ledger,
                start: (true_start, now),
                rate,
                at: BTreeMap::from([(id, (incarnation, 0))]),
                latest: BTreeMap::new(),
                states: 0,
                delivered: 0,
                measure_from,
                delays: Vec::new(),
                max_age_excess: Span::ZERO,
                max_held_bytes: 0,
            }
        });
    }

    pub fn publish(&mut self, id: MemberId, key: u32, bytes: usize, hold: Span) {
        self.net.call(id, |bed, now| bed.publish(now, key.to_le_bytes().to_vec(), bytes, hold));
    }

    /// Asserts that every running process has all items of every running source, and the latest unexpired
    /// item of each key.
    pub fn assert_complete(&self) {
        let ledger = self.ledger.borrow();
        for source in &self.members {
            let Some(run) = self.net.node(*source).map(|bed| bed.at[source].0) else { continue };
            let Some(items) = ledger.get(&(*source, run)) else { continue };
            for bed in self.net.ids().iter().filter(|id| *id != source).filter_map(|id| self.net.node(*id)) {
                let at = bed.at.get(source).copied().unwrap_or_default();
                assert_eq!(at, (run, items.len() as u64), "{:?} lacks items of {source:?}", bed.id);
                for (number, (key, hold, _)) in items.iter().enumerate() {
                    let replaced = items[number + 1..].iter().any(|(later, ..)| later == key);
                    if !replaced && *hold >= Span::seconds(60.0) {
                        assert_eq!(bed.latest.get(&(*source, key.clone())), Some(&(number as u64 + 1)));
                    }
                }
            }
        }
    }

    /// Asserts that every follower has one carrier, and no other member carries it.
    pub fn assert_carried_once(&self) {
        for id in &self.followers {
            let Some(follower) = self.net.node(*id).and_then(Bed::follower) else { continue };
            let carriers: Vec<MemberId> = (self.members.iter())
                .filter_map(|member| self.net.node(*member))
                .filter(|bed| {
                    bed.feed().is_some_and(|feed| feed.carried_followers().any(|(carried, _)| carried == *id))
                })
                .map(|bed| bed.id)
                .collect();
            assert_eq!(carriers, [follower.fence().carrier], "carriers of {id:?}");
        }
    }
}
