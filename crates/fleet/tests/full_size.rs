//! A rollout with 1,024 members, in virtual time. Settings and lists of this size are tested in the
//! dispatcher's `full_size`.
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::rollout::{
    AfterHalt, Effect, Figures, Order, Phase, Plan, Record, Rollout, RolloutMessage, Settings, State,
    Version, MAX_MEMBERS,
};
use cherrypass_fleet::simulation::{Network, Node};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

// The rollout must allow at least this many members.
const _: () = assert!(MAX_MEMBERS >= 1_024);
/// Incarnation of every member.
const INCARNATION: Incarnation = Incarnation(1_764_576_000_000_000);
/// Largest payload of one datagram of the link.
const MAX_PAYLOAD: usize = 32 << 10;
/// Locations below and above 255, two of them with the same low byte.
const LOCATIONS: [u16; 4] = [1_000, 255, 256, 744];

/// One dispatcher's rollout; its records are stored by the next tick.
struct Member {
    rollout: Rollout,
    others: Rc<[MemberId]>,
    caught_up: bool,
    pending_ticket: Option<u64>,
    outbox: VecDeque<(MemberId, RolloutMessage)>,
    in_force: u64,
    ticks: u32,
    message_count: u32,
    longest_message: usize,
}

impl Member {
    fn carry_out_effects(&mut self, now: Time) {
        while let Some(effect) = self.rollout.next_effect() {
            match effect {
                Effect::Send { message: RolloutMessage::CatchUp(run), .. } => self.catch_up(now, run),
                Effect::Send { to, message } => {
                    let message = self.through_wire(message);
                    self.outbox.push_back((to, message));
                }
                Effect::Store { ticket, record } => {
                    if let Record::Document(version) = &record {
                        let bytes = postcard::to_stdvec(&record).unwrap();
                        let read: Record = postcard::from_bytes(&bytes).unwrap();
                        assert_eq!(read, Record::Document(version.clone()));
                    }
                    self.pending_ticket = Some(ticket);
                }
                Effect::ApplyRules { number, .. } => self.in_force = number,
                Effect::Log(_) => {}
            }
        }
    }

    /// Answers a starting member at once for all others, instead of half a million messages. One answer
    /// contains the incarnations of all members.
    fn catch_up(&mut self, now: Time, run: Incarnation) {
        if std::mem::replace(&mut self.caught_up, true) {
            return;
        }
        let others = self.others.clone();
        let mut incarnations: BTreeMap<MemberId, Incarnation> =
            others.iter().map(|id| (*id, INCARNATION)).collect();
        for from in others.iter() {
            let state =
                Box::new(State { incarnations: std::mem::take(&mut incarnations), ..State::default() });
            self.rollout.receive(
                now,
                *from,
                RolloutMessage::CatchUpAnswer { to: run, has_caught_up: true, state },
            );
        }
    }

    /// Encodes and decodes every document, and a sample of the other messages.
    fn through_wire(&mut self, message: RolloutMessage) -> RolloutMessage {
        self.message_count += 1;
        if !self.message_count.is_multiple_of(WIRE_SAMPLE) && !matches!(message, RolloutMessage::Document(_))
        {
            return message;
        }
        let bytes = postcard::to_stdvec(&message).unwrap();
        self.longest_message = self.longest_message.max(bytes.len());
        postcard::from_bytes(&bytes).unwrap()
    }
}

/// One message of this many is encoded and decoded.
const WIRE_SAMPLE: u32 = 101;

impl Node for Member {
    type Message = RolloutMessage;

    fn receive(&mut self, now: Time, from: MemberId, message: RolloutMessage) {
        self.rollout.receive(now, from, message);
        self.carry_out_effects(now);
    }

    fn tick(&mut self, now: Time) {
        if let Some(ticket) = self.pending_ticket.take() {
            self.rollout.record_written(now, ticket, true);
            self.carry_out_effects(now);
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(5) {
            let figures = Figures { visits: 50, in_time: 48, hand_offs: 60, ..Figures::default() };
            self.rollout.add_figures(now, figures);
        }
        self.rollout.tick(now);
        self.carry_out_effects(now);
    }

    fn next_message(&mut self, _now: Time) -> Option<(MemberId, RolloutMessage)> {
        self.outbox.pop_front()
    }
}

fn rollout(listed: &[(MemberId, LocationId)]) -> Network<Member> {
    let mut network = Network::new(7, Span::millis(200));
    let others: Rc<[MemberId]> = listed.iter().map(|(id, _)| *id).collect();
    for (place, (id, location)) in listed.iter().enumerate() {
        let settings = Settings { window: Span::seconds(1.0), ..Settings::default() };
        network.start(*id, 1.0, |now| Member {
            rollout: Rollout::new(
                settings,
                *id,
                *location,
                INCARNATION,
                listed,
                Vec::new(),
                place as u64,
                now,
            ),
            others: others.clone(),
            caught_up: false,
            pending_ticket: None,
            outbox: VecDeque::new(),
            in_force: 0,
            ticks: 0,
            message_count: 0,
            longest_message: 0,
        });
    }
    network
}

#[test]
fn a_rollout_reaches_1024_members_location_by_location() {
    let listed: Vec<(MemberId, LocationId)> = (0..MAX_MEMBERS)
        .map(|place| (MemberId::of(&format!("d{place}")), LocationId(LOCATIONS[place % LOCATIONS.len()])))
        .collect();
    let order: Vec<LocationId> = LOCATIONS.iter().copied().map(LocationId).collect();
    let mut network = rollout(&listed);
    let first = listed[0].0;
    let is_ready = |network: &Network<Member>, id| network.node(id).unwrap().rollout.status().is_able;
    for _ in 0..60 {
        network.run(Span::seconds(1.0), |_| {});
        if listed.iter().all(|(id, _)| is_ready(&network, *id)) {
            break;
        }
    }
    // Collects figures before the first stage, with which its figures are compared.
    network.run(Span::seconds(12.0), |_| {});
    let (hold, after_halt) = (Span::seconds(1.0), AfterHalt::Back);
    let plan = Plan { order: order.clone(), first: 250, hold, visits: 100, after_halt };
    let version = Version { number: 5, text: "{}".to_owned(), plan };
    network.call(first, |member, now| member.rollout.order(now, Order::Start(version))).unwrap().unwrap();
    let mut stages = BTreeSet::new();
    for _ in 0..120 {
        network.run(Span::seconds(1.0), |_| {});
        stages.insert(listed.iter().filter(|(id, _)| network.node(*id).unwrap().in_force == 5).count());
        let step = network.node(first).unwrap().rollout.status().step;
        if (step.version.number, step.phase) == (5, Phase::Full) {
            break;
        }
    }
    network.run(Span::seconds(3.0), |_| {});
    let status = network.node(first).unwrap().rollout.status();
    assert_eq!((status.step.version.number, status.step.phase), (5, Phase::Full), "{status:?}");
    assert!(listed.iter().all(|(id, _)| network.node(*id).unwrap().in_force == 5));
    let quarter = MAX_MEMBERS / LOCATIONS.len();
    let expected = [quarter / 4, quarter, 2 * quarter, 3 * quarter];
    assert!(expected.iter().all(|count| stages.contains(count)), "{stages:?}");
    let longest = listed.iter().map(|(id, _)| network.node(*id).unwrap().longest_message).max().unwrap();
    println!("longest encoded message of the rollout: {longest} bytes");
    assert!(longest > 16 * MAX_MEMBERS && longest <= MAX_PAYLOAD, "{longest}");
}
