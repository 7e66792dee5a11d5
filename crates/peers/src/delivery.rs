//! Delivery of change log records in one process (docs/fleet-delivery.md): the carrier or follower role, and
//! the addresses of unlisted followers.
use crate::event_loop::Peer;
use crate::FromFleet;
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::{self, Carrier, ChangeNumber, DeliveryMessage, Effect, Follower, Record};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// How long the address of an unlisted sender without a carried connection is kept, so that it can be
/// answered.
const GUEST_TIMEOUT: Span = Span::millis(2_000);
/// Maximum number of unlisted senders per allowed follower; messages of further ones are rejected.
const GUESTS_PER_FOLLOWER: usize = 2;

/// Settings of the delivery.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Names of the members that are carriers.
    pub carriers: Vec<String>,
    /// The last change included in the configuration.
    pub last_change: ChangeNumber,
    pub protocol: delivery::Settings,
}

/// A change read from the log, encoded for delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogChange {
    pub number: ChangeNumber,
    pub record: Record,
}

/// The result of one request to the change log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRead {
    /// The changes in order; only set at a carrier.
    pub changes: Vec<LogChange>,
    /// The last change known to the process.
    pub last_change: ChangeNumber,
    /// Time of the request, if its answer was complete.
    pub requested_at: Option<Instant>,
}

/// A message from the delivery to the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryEvent {
    /// Consecutive changes in order, with the number of the first.
    Changes { first: ChangeNumber, records: Vec<Record> },
    /// Whether the dispatcher has to read the log directly from now on.
    ReadLogDirectly(bool),
    /// All changes that the log had at this time have been delivered.
    CompleteUpTo(Instant),
}

enum Role {
    Carrier(Box<Carrier>),
    Follower(Box<Follower>),
}

/// An unlisted sender.
struct Guest {
    peer: Peer,
    last_message: Time,
}

/// The role of this process in the delivery, with the addresses of unlisted senders.
pub struct Delivery {
    role: Role,
    guests: BTreeMap<MemberId, Guest>,
    max_guests: usize,
}

impl Delivery {
    pub fn start(settings: Settings, own: MemberId, seed: u64, now: Time) -> Delivery {
        let carriers: Vec<MemberId> = settings.carriers.iter().map(|name| MemberId::of(name)).collect();
        let max_guests = settings.protocol.max_followers.saturating_mul(GUESTS_PER_FOLLOWER);
        let role = if carriers.contains(&own) {
            Role::Carrier(Box::new(Carrier::new(settings.protocol, settings.last_change)))
        } else {
            Role::Follower(Box::new(Follower::new(
                settings.protocol,
                own,
                &carriers,
                settings.last_change,
                seed,
                now,
            )))
        };
        Delivery { role, guests: BTreeMap::new(), max_guests }
    }

    pub fn next_effect(&mut self) -> Option<Effect> {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.next_effect(),
            Role::Follower(follower) => follower.next_effect(),
        }
    }

    /// Whether messages of an unlisted sender are accepted. Remembers the address for answers.
    pub fn admits_guest(&mut self, now: Time, from: MemberId, at: SocketAddr, reads: u8) -> bool {
        let is_known = self.guests.contains_key(&from);
        if !matches!(self.role, Role::Carrier(_)) || !is_known && self.guests.len() >= self.max_guests {
            return false;
        }
        let guest = self.guests.entry(from).or_insert_with(|| Guest {
            peer: Peer::new(&format!("{:x}", from.0), at, LocationId::default()),
            last_message: now,
        });
        (guest.last_message, guest.peer.address, guest.peer.newest_form) = (now, at, reads);
        true
    }

    pub fn guest(&self, id: MemberId) -> Option<&Peer> {
        self.guests.get(&id).map(|guest| &guest.peer)
    }

    pub fn handle_message(
        &mut self,
        now: Time,
        from: MemberId,
        incarnation: Incarnation,
        message: DeliveryMessage,
    ) {
        match &mut self.role {
            Role::Carrier(carrier) => carrier.receive(now, from, incarnation, message),
            Role::Follower(follower) => follower.receive(now, from, message),
        }
    }

    pub fn tick(&mut self, now: Time) {
        match &mut self.role {
            Role::Carrier(carrier) => {
                carrier.tick(now);
                self.guests
                    .retain(|id, guest| carrier.carries(*id) || now - guest.last_message <= GUEST_TIMEOUT);
            }
            Role::Follower(follower) => follower.tick(now),
        }
    }

    /// Handles what the dispatcher read from the log; `asked` is the request time by the fleet's clock.
    /// Returns a message for the dispatcher, if any.
    pub fn handle_log_read(&mut self, asked: Option<Time>, read: LogRead) -> Option<FromFleet> {
        match &mut self.role {
            Role::Carrier(carrier) => {
                read.changes.into_iter().for_each(|change| carrier.add_change(change.number, change.record));
                asked.into_iter().for_each(|asked| carrier.note_log_answer(asked));
                read.requested_at.map(|asked| FromFleet::Delivery(DeliveryEvent::CompleteUpTo(asked)))
            }
            Role::Follower(follower) => {
                follower.note_log_read(read.last_change, asked);
                None
            }
        }
    }

    pub fn shut_down(&mut self) {
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
