//! A simulated network for tests and measurements: members, links with faults, and clocks, in virtual time
//! and from one seed.
use crate::common::MemberId;
use cherrypass::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// A member as the network drives it. Times are of the member's own clock.
pub trait Node {
    type Message: Clone;
    /// Receives a message.
    fn receive(&mut self, now: Time, from: MemberId, message: Self::Message);
    /// The periodic timer.
    fn tick(&mut self, now: Time);
    /// The next message to send; the node handles other effects itself.
    fn next_message(&mut self, now: Time) -> Option<(MemberId, Self::Message)>;
}

/// The faults of a link.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// The fractions of messages that are lost and that arrive twice.
    pub loss_rate: f64,
    pub duplication_rate: f64,
    /// Least and greatest transit time; a range also reorders messages.
    pub delay: [Span; 2],
}

impl Default for Link {
    fn default() -> Link {
        Link { loss_rate: 0.0, duplication_rate: 0.0, delay: [Span::millis(1), Span::millis(5)] }
    }
}

enum Event<S> {
    Timer(MemberId, u64),
    Arrival { from: MemberId, to: MemberId, message: S },
}

struct Member<N> {
    node: N,
    /// Number of restarts; timers of earlier runs are ignored.
    starts: u64,
    /// The rate of its clock, and a pair of true time and the clock's time then.
    clock_rate: f64,
    clock_origin: (Time, Time),
    /// Until when it is paused, in true time.
    paused_until: Option<Time>,
}

impl<N> Member<N> {
    fn clock(&self, now: Time) -> Time {
        self.clock_origin.1 + (now - self.clock_origin.0).times(self.clock_rate)
    }
}

/// Members and links. The network's own time is the true time.
pub struct Network<N: Node> {
    pub now: Time,
    pub rng: Pcg64Mcg,
    /// The default link, and links of single directions (from, to).
    pub link: Link,
    pub links: BTreeMap<(MemberId, MemberId), Link>,
    /// Directions in which all messages are lost.
    pub cut: BTreeSet<(MemberId, MemberId)>,
    /// Number of messages sent, by sender.
    pub sent_messages: BTreeMap<MemberId, u64>,
    timer_interval: Span,
    members: BTreeMap<MemberId, Member<N>>,
    events: BTreeMap<(Time, u64), Event<N::Message>>,
    next_event: u64,
}

impl<N: Node> Network<N> {
    /// `timer_interval`: the interval of the members' periodic timer.
    pub fn new(seed: u64, timer_interval: Span) -> Network<N> {
        Network {
            now: Time(1_000_000),
            rng: Pcg64Mcg::seed_from_u64(seed),
            link: Link::default(),
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            sent_messages: BTreeMap::new(),
            timer_interval,
            members: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
        }
    }

    /// Starts or restarts a member; `clock_rate` 1.0 is true time.
    pub fn start(&mut self, id: MemberId, clock_rate: f64, node: impl FnOnce(Time) -> N) {
        let starts = self.members.get(&id).map_or(0, |member| member.starts + 1);
        let clock_origin = (self.now, Time(self.now.0 ^ id.0 >> 24));
        let member =
            Member { node: node(clock_origin.1), starts, clock_rate, clock_origin, paused_until: None };
        self.members.insert(id, member);
        let first_timer = self.timer_interval.times(self.rng.gen_range(0.0..1.0));
        self.schedule(self.now + first_timer, Event::Timer(id, starts));
        self.send_pending(id);
    }

    /// Removes a member without notice.
    pub fn kill(&mut self, id: MemberId) {
        self.members.remove(&id);
    }

    /// Pauses a member; messages to it wait.
    pub fn pause(&mut self, id: MemberId, span: Span) {
        if let Some(member) = self.members.get_mut(&id) {
            member.paused_until = Some(self.now + span);
        }
    }

    /// All running members.
    pub fn ids(&self) -> Vec<MemberId> {
        self.members.keys().copied().collect()
    }

    /// Whether a member is paused now.
    pub fn is_paused(&self, id: MemberId) -> bool {
        self.members.get(&id).and_then(|member| member.paused_until).is_some_and(|until| self.now < until)
    }

    /// A running member's node.
    pub fn node(&self, id: MemberId) -> Option<&N> {
        self.members.get(&id).map(|member| &member.node)
    }

    /// The present time of a member's clock.
    pub fn clock(&self, id: MemberId) -> Option<Time> {
        self.members.get(&id).map(|member| member.clock(self.now))
    }

    /// Calls a member and sends the messages that result.
    pub fn call<T>(&mut self, id: MemberId, call: impl FnOnce(&mut N, Time) -> T) -> Option<T> {
        let member = self.members.get_mut(&id)?;
        let clock = member.clock(self.now);
        let result = call(&mut member.node, clock);
        self.send_pending(id);
        Some(result)
    }

    /// Runs for a span of true time; `look` is called after each event.
    pub fn run(&mut self, span: Span, mut look: impl FnMut(&mut Network<N>)) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            let event = entry.remove();
            let to = match &event {
                Event::Timer(id, _) => *id,
                Event::Arrival { to, .. } => *to,
            };
            match self.members.get(&to).map(|member| member.paused_until) {
                None => continue,
                Some(Some(until)) if self.now < until => {
                    self.schedule(until, event);
                    continue;
                }
                Some(_) => {}
            }
            match event {
                Event::Timer(id, starts) => {
                    if self.members.get(&id).is_none_or(|member| member.starts != starts) {
                        continue;
                    }
                    self.schedule(self.now + self.timer_interval, Event::Timer(id, starts));
                    self.call(id, |node, now| node.tick(now));
                }
                Event::Arrival { from, to, message } => {
                    self.call(to, |node, now| node.receive(now, from, message));
                }
            }
            look(self);
        }
        self.now = end;
    }

    /// Sends a member's pending messages.
    fn send_pending(&mut self, id: MemberId) {
        loop {
            let Some(member) = self.members.get_mut(&id) else { return };
            let clock = member.clock(self.now);
            let Some((to, message)) = member.node.next_message(clock) else { return };
            *self.sent_messages.entry(id).or_default() += 1;
            self.send(id, to, message);
        }
    }

    fn send(&mut self, from: MemberId, to: MemberId, message: N::Message) {
        let link = self.links.get(&(from, to)).copied().unwrap_or(self.link);
        if self.cut.contains(&(from, to)) || self.rng.gen_bool(link.loss_rate) {
            return;
        }
        if self.rng.gen_bool(link.duplication_rate) {
            self.schedule_arrival(link, from, to, message.clone());
        }
        self.schedule_arrival(link, from, to, message);
    }

    fn schedule_arrival(&mut self, link: Link, from: MemberId, to: MemberId, message: N::Message) {
        let delay = Span(self.rng.gen_range(link.delay[0].0..=link.delay[1].0));
        self.schedule(self.now + delay, Event::Arrival { from, to, message });
    }

    fn schedule(&mut self, at: Time, event: Event<N::Message>) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }
}
