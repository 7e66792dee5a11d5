//! A member's side of the feed: its data, and what the caller reads of it.
use super::carrier::Carrier;
use super::effects::Effect;
use super::log::{Echo, Logs, ReceivedStamp, SourceLog, Stamp};
use super::messages::CarrierLoad;
use super::position::Position;
use super::settings::Settings;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::Time;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What is known of another member.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub is_dead: bool,
    /// Its latest stamp.
    pub stamp: Option<ReceivedStamp>,
    /// Its latest load report, and when it was received.
    pub load: Option<(CarrierLoad, Time)>,
}

impl Peer {
    pub fn echo(&self, now: Time) -> Option<Echo> {
        self.stamp.map(|stamp| stamp.echo(now))
    }
}

/// A number of a source that another member has reported and this one lacks.
#[derive(Clone, Debug)]
pub(super) struct Missing {
    pub incarnation: Incarnation,
    pub number: u64,
    pub reported_by: MemberId,
    pub since: Time,
    /// When it was last reported, and whether by more than one member: a wrong number from a single member
    /// must not make this one count as lagging.
    pub last_reported: Time,
    pub is_confirmed: bool,
}

/// A member's side of the feed: source, receiver and carrier.
#[derive(Clone, Debug)]
pub struct Feed {
    pub(super) settings: Settings,
    pub(super) own: MemberId,
    pub(super) incarnation: Incarnation,
    pub(super) peers: BTreeMap<MemberId, Peer>,
    pub(super) followers: BTreeSet<MemberId>,
    pub(super) logs: Logs,
    pub(super) carrier: Carrier,
    pub(super) missing: BTreeMap<MemberId, Missing>,
    pub(super) last_request: Option<Time>,
    pub(super) request_attempts: u32,
    /// Bytes that may still be sent this round to members that lack items.
    pub(super) repair_bytes_left: usize,
    /// The last own item that was pushed to all members.
    pub(super) pushed_up_to: u64,
    /// Sources with new items since the last round.
    pub(super) updated_sources: BTreeSet<MemberId>,
    /// The order in which the other members are sent reports, and the index of the next one.
    pub(super) peer_order: Vec<MemberId>,
    pub(super) next_peer: usize,
    pub(super) last_full_report: Time,
    /// Reports that are due, so that each member receives a stamp within `Settings::stamp_interval`.
    pub(super) stamp_credit: f64,
    pub(super) last_expiry: Time,
    pub(super) rng: Pcg64Mcg,
    pub(super) effects: VecDeque<Effect>,
}

impl Feed {
    /// `members`: all listed members (at most `Settings::max_sources`), with or without this one. `followers`:
    /// those that may subscribe.
    pub fn new(
        settings: Settings,
        own: MemberId,
        incarnation: Incarnation,
        members: &[MemberId],
        followers: &[MemberId],
        seed: u64,
        now: Time,
    ) -> Feed {
        let peers: BTreeMap<MemberId, Peer> = (members.iter().filter(|id| **id != own))
            .take(settings.max_sources - 1)
            .map(|id| (*id, Peer::default()))
            .collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut peer_order: Vec<MemberId> = peers.keys().copied().collect();
        peer_order.shuffle(&mut rng);
        Feed {
            own,
            incarnation,
            followers: followers.iter().copied().collect(),
            logs: BTreeMap::from([(own, SourceLog::new(incarnation))]),
            carrier: Carrier::new(own, now),
            missing: BTreeMap::new(),
            last_request: None,
            request_attempts: 0,
            repair_bytes_left: settings.repair_bytes,
            pushed_up_to: 0,
            updated_sources: BTreeSet::new(),
            next_peer: 0,
            last_full_report: Time(0),
            stamp_credit: peer_order.len() as f64,
            peer_order,
            peers,
            last_expiry: now,
            rng,
            effects: VecDeque::new(),
            settings,
        }
    }

    #[allow(clippy::should_implement_trait)]
    /// The next effect. Call until there is none after each call and before the next one: ages in messages
    /// are relative to the time of the call.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Another member's status, from the failure detector.
    pub fn set_member_alive(&mut self, _now: Time, who: MemberId, alive: bool) {
        if let Some(peer) = self.peers.get_mut(&who) {
            peer.is_dead = !alive;
        }
    }

    /// Offers a follower to another member, as before a planned stop; it is carried here until that member
    /// has accepted it.
    pub fn start_move(&mut self, now: Time, follower: MemberId, to: MemberId) {
        if self.peers.contains_key(&to) {
            let offer = self.carrier.start_move(now, follower, to);
            self.effects.extend(offer);
        }
    }

    /// The followers carried here, and whether each is classified as slow.
    pub fn carried_followers(&self) -> impl Iterator<Item = (MemberId, bool)> + '_ {
        self.carrier.carried()
    }

    /// This member's load as a carrier.
    pub fn load(&self) -> CarrierLoad {
        self.carrier.load(&self.settings)
    }

    /// Number of moves started here and accepted by another member.
    pub fn completed_moves(&self) -> u64 {
        self.carrier.moves
    }

    /// Items and bytes held of all sources; positions and frames in flight of all followers.
    pub fn size(&self) -> (usize, usize, usize, usize) {
        let (mut items, mut bytes) = (0, 0);
        for (log_items, log_bytes) in self.logs.values().map(SourceLog::size) {
            (items, bytes) = (items + log_items, bytes + log_bytes);
        }
        let (positions, frames_in_flight) = self.carrier.size();
        (items, bytes, positions, frames_in_flight)
    }

    pub(super) fn stamp(&self, now: Time) -> Stamp {
        Stamp { run: self.incarnation, clock: now.0 }
    }

    pub(super) fn position_of(&self, source: MemberId) -> Option<Position> {
        self.logs.get(&source).map(|log| Position { source, incarnation: log.incarnation, number: log.up_to })
    }
}
