//! The delivery of the change log's changes in one process (docs/fleet-delivery.md): a carrier, or a follower, and the
//! addresses of followers that no list names.
use crate::run::Peer;
use crate::FromFleet;
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::{self, Carrier, ChangeNumber, DeliveryMessage, Effect, Follower, Record};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// An unlisted sender that is not carried is remembered for so long: its refusal goes to its address.
const GUEST_HOLDS: Span = Span::millis(2_000);
/// Unlisted senders that are remembered, against the followers that are carried at most. Past it new ones are not heard.
const GUESTS_OVER_FOLLOWERS: usize = 2;

/// What the delivery is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Set {
    /// Names of members.
    pub carriers: Vec<String>,
    /// The last change that the configuration tells.
    pub last: ChangeNumber,
    pub room: delivery::Settings,
}

/// A change of the log as it was read, in its carried form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogChange {
    pub number: ChangeNumber,
    pub record: Record,
}

/// What a process read of the change log in one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRead {
    /// At a carrier, in order.
    pub changes: Vec<LogChange>,
    /// The last change that the process has now.
    pub last: ChangeNumber,
    /// When the request went out, if its answer came whole.
    pub asked: Option<Instant>,
}

/// What the delivery tells the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivered {
    /// Changes to be taken in this order, the first one's number and those that follow on it.
    Changes { first: ChangeNumber, records: Vec<Record> },
    /// Whether the log is to be read directly from now on.
    ReadLog(bool),
    /// All changes that the log had then were told.
    KnownUpTo(Instant),
}

enum Role {
    Carrier(Box<Carrier>),
    Follower(Box<Follower>),
}

struct Guest {
    peer: Peer,
    heard: Time,
}

/// The room with its addresses.
pub struct Delivery {
    role: Role,
    guests: BTreeMap<MemberId, Guest>,
    guests_most: usize,
}

impl Delivery {
    pub fn start(set: Set, own: MemberId, seed: u64, now: Time) -> Delivery {
        let carriers: Vec<MemberId> = set.carriers.iter().map(|name| MemberId::of(name)).collect();
        let guests_most = set.room.max_followers.saturating_mul(GUESTS_OVER_FOLLOWERS);
        let role = if carriers.contains(&own) {
            Role::Carrier(Box::new(Carrier::new(set.room, set.last)))
        } else {
            Role::Follower(Box::new(Follower::new(set.room, own, &carriers, set.last, seed, now)))
        };
        Delivery { role, guests: BTreeMap::new(), guests_most }
    }

    pub fn next_effect(&mut self) -> Option<Effect> {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.next_effect(),
            Role::Follower(follower) => follower.next_effect(),
        }
    }

    /// Whether one that no list names may be heard, and where it is answered from now on.
    pub fn admits_guest(&mut self, now: Time, from: MemberId, at: SocketAddr, reads: u8) -> bool {
        let is_known = self.guests.contains_key(&from);
        if !matches!(self.role, Role::Carrier(_)) || !is_known && self.guests.len() >= self.guests_most {
            return false;
        }
        let guest = self.guests.entry(from).or_insert_with(|| Guest {
            peer: Peer::new(&format!("{:x}", from.0), at, LocationId::default()),
            heard: now,
        });
        (guest.heard, guest.peer.address, guest.peer.reads) = (now, at, reads);
        true
    }

    pub fn guest(&self, id: MemberId) -> Option<&Peer> {
        self.guests.get(&id).map(|guest| &guest.peer)
    }

    pub fn heard(&mut self, now: Time, from: MemberId, incarnation: Incarnation, said: DeliveryMessage) {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.receive(now, from, incarnation, said),
            Role::Follower(follower) => follower.receive(now, from, said),
        }
    }

    pub fn woken(&mut self, now: Time) {
        match &mut self.role {
            Role::Carrier(carrier) => {
                carrier.tick(now);
                self.guests.retain(|id, guest| carrier.carries(*id) || now - guest.heard <= GUEST_HOLDS);
            }
            Role::Follower(follower) => follower.tick(now),
        }
    }

    /// `asked`: by the fleet's clock. What the dispatcher is to be told at once.
    pub fn read(&mut self, asked: Option<Time>, read: LogRead) -> Option<FromFleet> {
        match &mut self.role {
            Role::Carrier(carrier) => {
                read.changes.into_iter().for_each(|change| carrier.add_change(change.number, change.record));
                asked.into_iter().for_each(|asked| carrier.note_log_answer(asked));
                read.asked.map(|asked| FromFleet::Delivered(Delivered::KnownUpTo(asked)))
            }
            Role::Follower(follower) => {
                follower.note_log_read(read.last, asked);
                None
            }
        }
    }

    pub fn leave(&mut self) {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.shut_down(),
            Role::Follower(follower) => follower.shut_down(),
        }
    }

    pub fn status(&self, name: impl Fn(MemberId) -> String) -> Value {
        match &self.role {
            Role::Carrier(carrier) => json!({ "role": "carrier", "followers": carrier.followers(),
                "newest": carrier.newest().0, "held_bytes": carrier.held_bytes() }),
            Role::Follower(follower) => json!({ "role": "follower", "carrier": follower.carrier().map(name),
                "last": follower.last().0, "reads_log": follower.reads_log() }),
        }
    }
}
