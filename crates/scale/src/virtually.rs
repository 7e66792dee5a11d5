//! The same rooms in virtual time: messages counted with the bytes that the link would carry, and what the rooms hold.
//! No sockets, threads, processes or change log.
use crate::rooms;
use crate::settings::Topology;
use crate::topology;
use crate::traffic::{each, scaled, Amount, ByKind};
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

/// The start of all members, in microseconds of Unix time.
const BEGUN: u64 = 1_700_000_000_000_000;
/// A dispatcher tells its fleet all that holds each so many wakes, and at each fourth of these what it counted.
const TELLS: u64 = 5;
const A_SECOND: u64 = 4;
/// Hosts that members know of.
const HOSTS: u64 = 40;

/// Which rooms are on beside the members'.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Rooms {
    Members,
    Limits,
    /// Verdicts and the feed that carries them.
    Verdicts,
    Rollout,
    All,
}

/// What is played: how many members, which rooms, and how many sources the feed takes where not its own bound.
#[derive(Clone, Copy, Debug)]
pub struct Form {
    pub size: usize,
    pub rooms: Rooms,
    pub feed_sources: Option<usize>,
    /// Seconds until all have met, and those that are counted after them.
    pub settle_s: f64,
    pub seconds: f64,
}

fn set(form: &Form) -> Settings {
    let (rooms, all) = (form.rooms, rooms::all(form.size));
    let feed = feed::Settings::default();
    let max_sources = form.feed_sources.unwrap_or(feed.max_sources);
    let is_on = |one: Rooms| rooms == one || rooms == Rooms::All;
    Settings {
        limits: all.limits.filter(|_| is_on(Rooms::Limits)),
        verdicts: all.verdicts.filter(|_| is_on(Rooms::Verdicts)),
        rollout: all.rollout.filter(|_| is_on(Rooms::Rollout)),
        feed: feed::Settings { max_sources, ..feed },
        ..Settings::default()
    }
}

/// A message with its kind and the bytes of its datagram.
#[derive(Clone)]
struct Said {
    incarnation: Incarnation,
    message: Arc<Message>,
    kind: usize,
    bytes: usize,
}

struct Place {
    fleet: FleetNode,
    own: MemberId,
    location: LocationId,
    incarnation: Incarnation,
    counted: ByKind,
    wakes: u64,
}

impl Place {
    fn said(&self, message: Message) -> Said {
        let (kind, payload) = match &message {
            Message::Members(said) => (0, postcard::to_stdvec(said)),
            Message::Limits(said) => (1, postcard::to_stdvec(said)),
            Message::Feed(said) => (2, postcard::to_stdvec(said)),
            Message::Rollout(said) => (3, postcard::to_stdvec(said)),
        };
        let envelope = Envelope {
            reads: link::NEWEST,
            fleet: rooms::FLEET,
            from: self.own,
            incarnation: self.incarnation,
            location: Some(link::LocationByte::of(self.location)),
            kind: kind as u8 + 1,
            payload: &payload.unwrap_or_default(),
        };
        let bytes = link::encode(link::NEWEST, &envelope).map_or(0, |bytes| bytes.len());
        Said { incarnation: self.incarnation, message: Arc::new(message), kind, bytes }
    }

    fn count(&mut self, way: usize, said: &Said) {
        let one = Amount { messages: 1.0, bytes: said.bytes as f64 };
        self.counted[way][said.kind] = self.counted[way][said.kind] + one;
    }
}

impl Node for Place {
    type Message = Said;

    fn receive(&mut self, now: Time, from: MemberId, said: Said) {
        self.count(1, &said);
        let message = Arc::unwrap_or_clone(said.message);
        let _ = self.fleet.receive(now, from, said.incarnation, message);
    }

    fn tick(&mut self, now: Time) {
        self.wakes += 1;
        if self.wakes.is_multiple_of(TELLS) {
            [LimitKey::Origin, LimitKey::Retries]
                .into_iter()
                .for_each(|key| self.fleet.set_demand(now, key, 0.0));
        }
        if self.wakes.is_multiple_of(TELLS * A_SECOND) {
            self.fleet.report_figures(now, Figures::default());
        }
        self.fleet.tick(now);
    }

    fn next_message(&mut self, now: Time) -> Option<(MemberId, Said)> {
        loop {
            match self.fleet.next_effect(now)? {
                Effect::Send { to, message } => {
                    let said = self.said(message);
                    self.count(0, &said);
                    return Some((to, said));
                }
                Effect::Allowance { key, .. } => self.fleet.confirm_applied(now, key),
                Effect::Store { ticket, .. } => self.fleet.confirm_stored(now, ticket, true),
                _ => {}
            }
        }
    }
}

/// What one size came to in virtual time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Played {
    pub size: usize,
    pub rooms: Rooms,
    /// A second, the mean member's.
    pub mean: ByKind,
    /// Bytes on the heap at its end, for each member; the network's own, messages on their way, are among them.
    pub held_bytes: f64,
}

/// Plays members that all start at once; `allocated` tells the bytes on the heap.
pub fn play(topology: &Topology, form: &Form, seed: u64, allocated: &dyn Fn() -> usize) -> Played {
    let Form { size, rooms, settle_s, seconds, .. } = *form;
    let before = allocated();
    let mut network: Network<Place> = Network::new(seed, rooms::EVERY);
    let places = topology::places(topology, size);
    let listed: Vec<(MemberId, LocationId)> = places
        .iter()
        .enumerate()
        .map(|(at, place)| (MemberId::of(&format!("d{at}")), place.location))
        .collect();
    for (own, location) in &listed {
        let (own, location) = (*own, *location);
        let incarnation = Incarnation(BEGUN + network.now.0);
        let (rate, seed) = (network.rng.gen_range(0.995..1.005), network.rng.gen());
        let set = set(form);
        network.start(own, rate, |now| {
            let mut fleet =
                FleetNode::new(set, own, incarnation, &listed, &[], Vec::new(), rooms::EVERY, seed, now);
            (0..HOSTS).for_each(|host| fleet.update_host(now, HostId(host), None, UsedBy::All));
            Place { fleet, own, location, incarnation, counted: ByKind::default(), wakes: 0 }
        });
    }
    network.run(Span::seconds(settle_s), |_| {});
    let first = sum(&network);
    network.run(Span::seconds(seconds), |_| {});
    let counted = each(&first, &sum(&network), |before, after| after - before);
    let held = allocated().saturating_sub(before);
    let mean = scaled(&counted, 1.0 / (seconds * size as f64));
    Played { size, rooms, mean, held_bytes: held as f64 / size as f64 }
}

fn sum(network: &Network<Place>) -> ByKind {
    let all = network.ids().into_iter().filter_map(|id| Some(network.node(id)?.counted));
    all.fold(ByKind::default(), |sum, one| each(&sum, &one, |a, b| a + b))
}
