//! Complete fleet nodes on a simulated network, in virtual time, under faults.
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::limits::{Allowance, LimitKey};
use cherrypass_fleet::members::{Body, Claim, MemberState};
use cherrypass_fleet::node::{Effect, FleetNode, Message, Settings};
use cherrypass_fleet::rollout::{AfterHalt, Figures, Order, Plan, Record, Version};
use cherrypass_fleet::simulation::{Network, Node};
use cherrypass_fleet::verdicts::{Finding, FindingKind, UsedBy};
use cherrypass_fleet::{limits, members, rollout, verdicts};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

const TICK_INTERVAL: Span = Span::millis(50);
const ORIGIN_LIMIT: f64 = 40.0;

/// A node with its dispatcher's view, and counters for the checks.
struct SimulatedNode {
    fleet_node: FleetNode,
    incarnation: Incarnation,
    allowances: BTreeMap<LimitKey, Allowance>,
    verdicts: BTreeSet<HostId>,
    rules: u64,
    records: Vec<Record>,
    ticks: u64,
    demand: f64,
    max_allowance: f64,
    longest_message: usize,
    stepped_down: bool,
}

fn encoded_len(message: &Message) -> usize {
    let bytes = match message {
        Message::Members(message) => postcard::to_stdvec(message),
        Message::Limits(message) => postcard::to_stdvec(message),
        Message::Feed(message) => postcard::to_stdvec(message),
        Message::Rollout(message) => postcard::to_stdvec(message),
    };
    bytes.unwrap().len()
}

impl Node for SimulatedNode {
    type Message = (Incarnation, Message);

    fn receive(&mut self, now: Time, from: MemberId, (incarnation, message): Self::Message) {
        let _ = self.fleet_node.receive(now, from, incarnation, message);
    }

    fn tick(&mut self, now: Time) {
        if self.ticks.is_multiple_of(20) {
            let figures = Figures { visits: 100, in_time: 99, hand_offs: 110, ..Figures::default() };
            self.fleet_node.report_figures(now, figures);
            self.fleet_node.set_demand(now, LimitKey::Origin, self.demand);
        }
        self.ticks += 1;
        self.fleet_node.tick(now);
    }

    fn next_message(&mut self, now: Time) -> Option<(MemberId, Self::Message)> {
        loop {
            match self.fleet_node.next_effect(now)? {
                Effect::Send { to, message } => {
                    self.longest_message = self.longest_message.max(encoded_len(&message));
                    return Some((to, (self.incarnation, message)));
                }
                Effect::Allowance { key, amount, until, after } => {
                    self.max_allowance = self.max_allowance.max(amount);
                    self.allowances.insert(key, Allowance { amount, until, after });
                    self.fleet_node.confirm_applied(now, key);
                }
                Effect::Verdict { host, .. } => {
                    self.verdicts.insert(host);
                }
                Effect::Store { ticket, record } => {
                    self.records.push(record);
                    self.fleet_node.confirm_stored(now, ticket, true);
                }
                Effect::ApplyRules { number, .. } => self.rules = number,
                Effect::SteppedDown => self.stepped_down = true,
                _ => {}
            }
        }
    }
}

fn listed(most: usize) -> Vec<(MemberId, LocationId)> {
    (0..most).map(|i| (MemberId::of(&format!("d{i}")), LocationId(i as u16 % 3))).collect()
}

fn start(
    network: &mut Network<SimulatedNode>,
    members: &[(MemberId, LocationId)],
    i: usize,
    records: Vec<Record>,
) {
    let (own, incarnation) = (members[i].0, Incarnation(1_700_000_000_000_000 + network.now.0));
    let settings = Settings {
        limits: Some(limits::Settings { origin: Some(ORIGIN_LIMIT), ..limits::Settings::default() }),
        verdicts: Some(verdicts::Settings::default()),
        rollout: Some(rollout::Settings::default()),
        ..Settings::default()
    };
    let (rate, seed) = (network.rng.gen_range(0.995..1.005), network.rng.gen());
    let demand = if i == 0 { ORIGIN_LIMIT } else { 0.1 };
    network.start(own, rate, |now| {
        let mut fleet_node = FleetNode::new(
            settings,
            own,
            incarnation,
            members,
            &[],
            records.clone(),
            TICK_INTERVAL,
            seed,
            now,
        );
        for host in 0..8 {
            fleet_node.update_host(now, HostId(host), Some(Incarnation(5)), UsedBy::All);
        }
        let (allowances, verdicts, longest_message, max_allowance) = Default::default();
        let (rules, ticks, stepped_down) = (0, 0, false);
        SimulatedNode {
            fleet_node,
            incarnation,
            allowances,
            verdicts,
            rules,
            records,
            ticks,
            demand,
            max_allowance,
            longest_message,
            stepped_down,
        }
    });
}

fn run(network: &mut Network<SimulatedNode>, seed: u64, seconds: f64) {
    network.run(Span::seconds(seconds), |network| {
        let allowance = |id: &MemberId| {
            Some(network.node(*id)?.allowances.get(&LimitKey::Origin)?.at(network.clock(*id)?))
        };
        let sum: f64 = network.ids().iter().filter_map(allowance).sum();
        assert!(sum <= ORIGIN_LIMIT * (1.0 + 1e-9), "seed {seed}: {sum} at {:?}", network.now);
    });
}

fn report_finding(network: &mut Network<SimulatedNode>, who: MemberId, host: HostId) {
    let (since, kind) = (Some(Incarnation(5)), FindingKind::Failing);
    let finding = Finding { host, since, kind, evidence: 20, age: Span::ZERO };
    network.call(who, |node, now| node.fleet_node.report_finding(now, finding));
}

#[test]
fn all_protocols_hold_under_faults() {
    for seed in 0..16 {
        let mut network = Network::new(seed, TICK_INTERVAL);
        (network.link.loss_rate, network.link.duplication_rate) = (0.1, 0.02);
        network.link.delay = [Span::millis(1), Span::millis(30)];
        let members = listed(9);
        (0..9).for_each(|i| start(&mut network, &members, i, Vec::new()));
        run(&mut network, seed, 12.0);
        let most = network.node(members[0].0).unwrap().max_allowance;
        assert!(most > 0.85 * ORIGIN_LIMIT, "seed {seed}: the member with the demand has {most}");
        let plan = Plan {
            order: vec![LocationId(0), LocationId(1), LocationId(2)],
            first: 1000,
            hold: Span::seconds(60.0),
            visits: 10,
            after_halt: AfterHalt::Stay,
        };
        let order = Order::Start(Version { number: 3, text: "{}".to_owned(), plan });
        network.call(members[1].0, |node, now| node.fleet_node.order(now, order)).unwrap().unwrap().unwrap();
        [3, 4, 5].iter().for_each(|i| report_finding(&mut network, members[*i].0, HostId(1)));
        run(&mut network, seed, 6.0);
        for (id, location) in &members {
            let node = network.node(*id).unwrap();
            assert_eq!(node.rules, if location.0 == 0 { 3 } else { 0 }, "seed {seed}: rules");
            assert!(
                node.verdicts.contains(&HostId(1)) || members[3..6].iter().any(|reporter| reporter.0 == *id),
                "seed {seed}: no verdict"
            );
        }
        // At the same time the member with the largest allowance is killed, another is cut off and a third is
        // paused.
        let records = network.node(members[0].0).unwrap().records.clone();
        network.kill(members[0].0);
        network.pause(members[7].0, Span::seconds(5.0));
        for (id, _) in &members {
            network.cut.insert((members[8].0, *id));
            network.cut.insert((*id, members[8].0));
        }
        run(&mut network, seed, 8.0);
        network.cut.clear();
        start(&mut network, &members, 0, records);
        run(&mut network, seed, 12.0);
        for (id, _) in &members {
            let node = network.node(*id).unwrap();
            let alive = |who: &MemberId| node.fleet_node.members().state(*who) == Some(MemberState::Alive);
            assert!(members.iter().all(|(who, _)| alive(who)), "seed {seed}: not all are considered alive");
        }
        assert_eq!(
            network.node(members[0].0).unwrap().rules,
            3,
            "seed {seed}: rules of the restarted member"
        );
        // A claim that a newer process runs under its name: it sends and uses nothing more.
        let (newer, sender) = (Incarnation(1_700_000_000_000_000 + network.now.0), members[4].0);
        let claim = Claim {
            incarnation: network.node(sender).unwrap().incarnation,
            refutations: 0,
            state: MemberState::Alive,
        };
        let claims = vec![(members[2].0, Claim { incarnation: newer, ..claim })];
        let message = Message::Members(members::Message { claim, body: Body::Gossip, claims });
        network.call(members[2].0, |node, now| node.receive(now, sender, (claim.incarnation, message)));
        let sent = network.sent_messages[&members[2].0];
        run(&mut network, seed, 3.0);
        let (node, clock) = (network.node(members[2].0).unwrap(), network.clock(members[2].0).unwrap());
        let allowance = node.allowances[&LimitKey::Origin].at(clock);
        assert!(
            node.stepped_down && allowance == 0.0 && network.sent_messages[&members[2].0] == sent,
            "seed {seed}: {allowance}"
        );
    }
}

/// Messages stay within the size of a datagram in a large fleet with many findings at once.
#[test]
fn messages_fit_into_a_datagram() {
    let mut network = Network::new(5, TICK_INTERVAL);
    let members = listed(60);
    (0..60).for_each(|i| start(&mut network, &members, i, Vec::new()));
    network.run(Span::seconds(2.0), |_| {});
    (0..60).for_each(|i| (0..3).for_each(|host| report_finding(&mut network, members[i].0, HostId(host))));
    network.run(Span::seconds(2.0), |_| {});
    let longest = network.ids().iter().map(|id| network.node(*id).unwrap().longest_message).max();
    println!("longest message with 60 members: {longest:?} bytes");
    assert!(longest <= Some(32 << 10), "{longest:?}");
}
