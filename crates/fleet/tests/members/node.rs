//! A fleet of members on a simulated network, with checks of their views against the true state.
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::members::{Effect, MemberState, Members, Message, Settings};
use cherrypass_fleet::simulation::{Network, Node};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// One member, and the effects it reported.
pub struct Member {
    pub members: Members,
    /// Reported state changes of other members, by its own clock.
    pub changes: Vec<(Time, MemberId, MemberState)>,
    /// When it found its own links degraded, and when working again.
    pub links_degraded: Vec<(Time, bool)>,
    pub stepped_down: bool,
}

impl Member {
    /// How often it reported a change to this state.
    pub fn changes_to(&self, state: MemberState) -> usize {
        self.changes.iter().filter(|change| change.2 == state).count()
    }
}

impl Node for Member {
    type Message = Message;
    fn receive(&mut self, now: Time, from: MemberId, message: Message) {
        self.members.receive(now, from, message);
    }
    fn tick(&mut self, now: Time) {
        self.members.tick(now);
    }
    fn next_message(&mut self, now: Time) -> Option<(MemberId, Message)> {
        loop {
            match self.members.next_effect()? {
                Effect::Send { to, message } => return Some((to, message)),
                Effect::Changed { who, state, .. } => self.changes.push((now, who, state)),
                Effect::LinksDegraded(degraded) => self.links_degraded.push((now, degraded)),
                Effect::SteppedDown => self.stepped_down = true,
                Effect::Log(_) => {}
            }
        }
    }
}

/// All listed members on one network.
pub struct Fleet {
    pub network: Network<Member>,
    pub listed: Vec<(MemberId, LocationId)>,
}

impl Fleet {
    pub fn new(seed: u64, n: usize) -> Fleet {
        let listed = (0..n).map(|i| (MemberId::of(&format!("d{i}")), LocationId((i % 20) as u16))).collect();
        let mut fleet = Fleet { network: Network::new(seed, Span::millis(50)), listed };
        fleet.ids().into_iter().for_each(|id| fleet.start(id));
        fleet
    }

    pub fn ids(&self) -> Vec<MemberId> {
        self.listed.iter().map(|(id, _)| *id).collect()
    }

    pub fn start(&mut self, id: MemberId) {
        let (seed, rate) = (self.network.rng.gen(), self.network.rng.gen_range(0.99..1.01));
        let (incarnation, listed) = (Incarnation(self.network.now.0), self.listed.clone());
        self.network.start(id, rate, |now| {
            let members = Members::new(Settings::default(), id, incarnation, &listed, seed, now);
            Member { members, changes: Vec::new(), links_degraded: Vec::new(), stepped_down: false }
        });
    }

    pub fn run(&mut self, span: Span) {
        self.network.run(span, |_| {});
    }

    /// Runs until the condition holds, and returns how long that took; `None` if it does not within `limit`.
    pub fn until(&mut self, limit: Span, mut holds: impl FnMut(&Fleet) -> bool) -> Option<Span> {
        let start = self.network.now;
        while !holds(self) {
            if self.network.now - start > limit {
                return None;
            }
            self.run(Span::millis(25));
        }
        Some(self.network.now - start)
    }

    /// How many running members consider `who` to be in this state.
    pub fn count_holding(&self, who: MemberId, state: MemberState) -> usize {
        let others = self.network.ids().into_iter().filter(|id| *id != who);
        let nodes = others.filter_map(|id| self.network.node(id));
        nodes.filter(|node| node.members.state(who) == Some(state)).count()
    }

    /// Views of running members that differ from the truth: running members are alive, those in `left` have
    /// shut down, the rest are dead.
    pub fn disagreements(&self, left: &BTreeSet<MemberId>) -> Vec<(MemberId, MemberId, MemberState)> {
        let running: BTreeSet<MemberId> = self.network.ids().into_iter().collect();
        let mut truth = BTreeMap::new();
        for id in self.ids() {
            let gone = if left.contains(&id) { MemberState::Left } else { MemberState::Dead };
            truth.insert(id, if running.contains(&id) { MemberState::Alive } else { gone });
        }
        let mut disagreements = Vec::new();
        for &by in &running {
            let Some(node) = self.network.node(by) else { continue };
            for (&of, &is) in &truth {
                let held = node.members.state(of).unwrap_or(MemberState::Unknown);
                if held != is && by != of {
                    disagreements.push((by, of, held));
                }
            }
        }
        disagreements
    }
}
