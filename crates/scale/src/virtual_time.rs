//! Runs a fleet in virtual time, without sockets, threads, processes or change log: counts messages with the
//! bytes that the link would carry, and the heap that members use.
use crate::settings::Topology;
use crate::subsystems;
use crate::topology;
use crate::traffic::{scaled, zip_with, Amount, TrafficByKind};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::feed;
use cherrypass_fleet::limits::LimitKey;
use cherrypass_fleet::node::{Effect, FleetNode, Message, Settings};
use cherrypass_fleet::rollout::Figures;
use cherrypass_fleet::simulation::{Network, Node};
use cherrypass_fleet::verdicts::UsedBy;
use cherrypass_peers::link::{self, Envelope};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Start time of all members, in microseconds of Unix time.
const START_TIME_US: u64 = 1_700_000_000_000_000;
/// Timer ticks between a dispatcher's periodic reports; every `REPORTS_PER_S`th report includes counters.
const TICKS_PER_REPORT: u64 = 5;
const REPORTS_PER_S: u64 = 4;
const HOST_COUNT: u64 = 40;

/// Which subsystems are enabled in addition to membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Subsystems {
    Members,
    Limits,
    /// Verdicts and the feed that distributes them.
    Verdicts,
    Rollout,
    All,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct VirtualRunParameters {
    pub size: usize,
    pub subsystems: Subsystems,
    pub feed_sources: Option<usize>,
    /// Seconds before counting starts, and seconds counted.
    pub settle_s: f64,
    pub seconds: f64,
}

fn fleet_settings(parameters: &VirtualRunParameters) -> Settings {
    let (subsystems, all) = (parameters.subsystems, subsystems::all_enabled(parameters.size));
    let feed = feed::Settings::default();
    let most_sources = parameters.feed_sources.unwrap_or(feed.max_sources);
    let is_on = |subsystem: Subsystems| subsystems == subsystem || subsystems == Subsystems::All;
    Settings {
        limits: all.limits.filter(|_| is_on(Subsystems::Limits)),
        verdicts: all.verdicts.filter(|_| is_on(Subsystems::Verdicts)),
        rollout: all.rollout.filter(|_| is_on(Subsystems::Rollout)),
        feed: feed::Settings { max_sources: most_sources, ..feed },
        ..Settings::default()
    }
}

/// A message with its kind and encoded size.
#[derive(Clone)]
struct SentMessage {
    incarnation: Incarnation,
    message: Arc<Message>,
    kind: usize,
    bytes: usize,
}

struct Member {
    fleet: FleetNode,
    own: MemberId,
    location: LocationId,
    incarnation: Incarnation,
    traffic: TrafficByKind,
    ticks: u64,
}

impl Member {
    fn encode(&self, message: Message) -> SentMessage {
        let (kind, payload) = match &message {
            Message::Members(content) => (0, postcard::to_stdvec(content)),
            Message::Limits(content) => (1, postcard::to_stdvec(content)),
            Message::Feed(content) => (2, postcard::to_stdvec(content)),
            Message::Rollout(content) => (3, postcard::to_stdvec(content)),
        };
        let envelope = Envelope {
            newest_form: link::NEWEST_FORM,
            fleet: subsystems::FLEET_NAME,
            sender: self.own,
            incarnation: self.incarnation,
            location: Some(link::LocationByte::of(self.location)),
            kind: kind as u8 + 1,
            payload: &payload.unwrap_or_default(),
        };
        let bytes = link::encode(link::NEWEST_FORM, &envelope).map_or(0, |bytes| bytes.len());
        SentMessage { incarnation: self.incarnation, message: Arc::new(message), kind, bytes }
    }

    fn count(&mut self, direction: usize, sent: &SentMessage) {
        let amount = Amount { messages: 1.0, bytes: sent.bytes as f64 };
        self.traffic[direction][sent.kind] = self.traffic[direction][sent.kind] + amount;
    }
}

impl Node for Member {
    type Message = SentMessage;

    fn receive(&mut self, now: Time, from: MemberId, sent: SentMessage) {
        self.count(1, &sent);
        let message = Arc::unwrap_or_clone(sent.message);
        let _ = self.fleet.receive(now, from, sent.incarnation, message);
    }

    fn tick(&mut self, now: Time) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_REPORT) {
            [LimitKey::Origin, LimitKey::Retries]
                .into_iter()
                .for_each(|key| self.fleet.set_demand(now, key, 0.0));
        }
        if self.ticks.is_multiple_of(TICKS_PER_REPORT * REPORTS_PER_S) {
            self.fleet.report_figures(now, Figures::default());
        }
        self.fleet.tick(now);
    }

    fn next_message(&mut self, now: Time) -> Option<(MemberId, SentMessage)> {
        loop {
            match self.fleet.next_effect(now)? {
                Effect::Send { to, message } => {
                    let sent = self.encode(message);
                    self.count(0, &sent);
                    return Some((to, sent));
                }
                Effect::Allowance { key, .. } => self.fleet.confirm_applied(now, key),
                Effect::Store { ticket, .. } => self.fleet.confirm_stored(now, ticket, true),
                _ => {}
            }
        }
    }
}

/// Result for one fleet size.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VirtualResult {
    pub size: usize,
    #[serde(rename = "rooms")]
    pub subsystems: Subsystems,
    /// Traffic per second of the mean member.
    #[serde(rename = "mean")]
    pub mean_traffic: TrafficByKind,
    /// Heap bytes per member at the end, including messages in flight.
    #[serde(rename = "held_bytes")]
    pub heap_bytes: f64,
}

/// Runs a fleet whose members all start at once; `allocated` returns the bytes on the heap.
pub fn run(
    topology: &Topology,
    parameters: &VirtualRunParameters,
    seed: u64,
    allocated: &dyn Fn() -> usize,
) -> VirtualResult {
    let VirtualRunParameters { size, subsystems, settle_s, seconds, .. } = *parameters;
    let before = allocated();
    let mut network: Network<Member> = Network::new(seed, subsystems::TIMER_INTERVAL);
    let placements = topology::placements(topology, size);
    let listed: Vec<(MemberId, LocationId)> = placements
        .iter()
        .enumerate()
        .map(|(index, placement)| (MemberId::of(&format!("d{index}")), placement.location))
        .collect();
    for (own, location) in &listed {
        let (own, location) = (*own, *location);
        let incarnation = Incarnation(START_TIME_US + network.now.0);
        let (rate, seed) = (network.rng.gen_range(0.995..1.005), network.rng.gen());
        let settings = fleet_settings(parameters);
        network.start(own, rate, |now| {
            let mut fleet = FleetNode::new(
                settings,
                own,
                incarnation,
                &listed,
                &[],
                Vec::new(),
                subsystems::TIMER_INTERVAL,
                seed,
                now,
            );
            (0..HOST_COUNT).for_each(|host| fleet.update_host(now, HostId(host), None, UsedBy::All));
            Member { fleet, own, location, incarnation, traffic: TrafficByKind::default(), ticks: 0 }
        });
    }
    network.run(Span::seconds(settle_s), |_| {});
    let first = sum(&network);
    network.run(Span::seconds(seconds), |_| {});
    let traffic = zip_with(&first, &sum(&network), |before, after| after - before);
    let grown = allocated().saturating_sub(before);
    let mean_traffic = scaled(&traffic, 1.0 / (seconds * size as f64));
    VirtualResult { size, subsystems, mean_traffic, heap_bytes: grown as f64 / size as f64 }
}

fn sum(network: &Network<Member>) -> TrafficByKind {
    let all = network.ids().into_iter().filter_map(|id| Some(network.node(id)?.traffic));
    all.fold(TrafficByKind::default(), |sum, traffic| zip_with(&sum, &traffic, |a, b| a + b))
}
