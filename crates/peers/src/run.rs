//! The fleet's thread: it takes what the reader, the dispatcher, the store and the control listener bring, wakes the rooms,
//! and carries out what they decide.
use crate::clock::Clock;
use crate::control::{Answer, Ask};
use crate::delivery::{Delivered, Delivery, LogRead};
use crate::events::{Events, Log};
use crate::keep::Keeper;
use crate::link::{self, Envelope, LocationByte, Refused};
use crate::refusals::{Refusals, Sender as Who};
use crate::{FromFleet, ToFleet};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::{self, DeliveryMessage};
use cherrypass_fleet::feed::{self, Follower};
use cherrypass_fleet::limits::{Allowance, LimitKey};
use cherrypass_fleet::members::MemberState;
use cherrypass_fleet::node::{Effect, FleetNode, Message, Rejection};
use cherrypass_fleet::verdicts::{Finding, FindingKind};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// Kinds of messages on the link. A number is never given to another kind.
mod kind {
    pub const MEMBERS: u8 = 1;
    pub const LIMITS: u8 = 2;
    pub const FEED: u8 = 3;
    pub const ROLLOUT: u8 = 4;
    pub const DELIVERY: u8 = 5;
}

/// Parts of limits that are remembered for answers and for the status: of 1,024 cold hosts by own need and as many by
/// others' asks, and those of the limits in sum.
const PARTS: usize = 4_096;
/// Bytes of datagrams that may wait for the fleet's thread; more are let go, as a link may.
const WAITING: usize = 4 << 20;

pub enum Input {
    Datagram(Vec<u8>, SocketAddr),
    Told(ToFleet),
    Kept { ticket: u64, well: bool },
    Control(Ask, Sender<Answer>),
    Stop,
}

/// What waits for the fleet's thread.
#[derive(Default)]
pub struct Waiting {
    pub bytes: AtomicUsize,
    pub told: AtomicUsize,
    pub ended: AtomicBool,
}

pub struct Peer {
    pub name: String,
    pub address: SocketAddr,
    pub location: LocationId,
    pub incarnation: Incarnation,
    /// The newest form it has shown that it reads.
    pub reads: u8,
    /// What the operators were told of it last.
    is_there: bool,
}

impl Peer {
    pub fn new(name: &str, address: SocketAddr, location: LocationId) -> Peer {
        let (incarnation, reads) = (Incarnation::default(), link::OLDEST);
        Peer { name: name.to_owned(), address, location, incarnation, reads, is_there: false }
    }
}

/// A member has all rooms, a follower only takes the feed, and whoever is in no list has at most the delivery.
pub enum Role {
    Member(Box<FleetNode>),
    Follower(Box<Follower>),
    Unlisted,
}

/// Sends one datagram; what can't be sent at once is lost, as on the way.
pub type Out = Box<dyn Fn(&[u8], SocketAddr) + Send>;

pub struct Run {
    pub role: Role,
    pub delivery: Option<Delivery>,
    pub fleet: String,
    pub me: MemberId,
    pub incarnation: Incarnation,
    pub location: LocationId,
    /// The newest form to write, and to say that it is read.
    pub form: u8,
    /// How far another's start may be ahead of this one's clock.
    pub ahead: Span,
    pub peers: BTreeMap<MemberId, Peer>,
    pub out: Out,
    pub clock: Clock,
    pub events: Events,
    pub keeper: Keeper,
    pub log: Log,
    pub tell: Box<dyn Fn(FromFleet) + Send>,
    pub own: Sender<Input>,
    pub waiting: Arc<Waiting>,
    pub refusals: Refusals,
    /// The last part of each limit, and its number while the dispatcher has not answered it.
    pub parts: BTreeMap<LimitKey, (u64, Allowance)>,
    pub number: u64,
}

/// Reads the socket until the end; what is empty only wakes it up.
pub fn read(socket: &UdpSocket, to: &Sender<Input>, waiting: &Waiting) {
    let mut bytes = vec![0; link::DATAGRAM_MOST + 1];
    while !waiting.ended.load(Relaxed) {
        match socket.recv_from(&mut bytes) {
            Ok((0, _)) => {}
            Ok((length, from)) => {
                if waiting.bytes.fetch_add(length, Relaxed) > WAITING {
                    waiting.bytes.fetch_sub(length, Relaxed);
                } else if to.send(Input::Datagram(bytes[..length].to_vec(), from)).is_err() {
                    return;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            // Guards against a loop that takes a core while the socket has nothing but errors.
            Err(_) => std::thread::sleep(std::time::Duration::from_millis(10)),
        }
    }
}

fn of<S: DeserializeOwned>(
    message: impl Fn(S) -> Message,
    payload: &[u8],
) -> Result<Option<Message>, Refused> {
    let said = postcard::from_bytes(payload).map_err(|_| Refused::Content)?;
    Ok(Some(message(said)))
}

/// None for a kind that isn't known.
fn message(kind: u8, payload: &[u8]) -> Result<Option<Message>, Refused> {
    match kind {
        kind::MEMBERS => of(Message::Members, payload),
        kind::LIMITS => of(Message::Limits, payload),
        kind::FEED => of(Message::Feed, payload),
        kind::ROLLOUT => of(Message::Rollout, payload),
        _ => Ok(None),
    }
}

fn payload(message: &Message) -> Option<(u8, Vec<u8>)> {
    let (kind, bytes) = match message {
        Message::Members(said) => (kind::MEMBERS, postcard::to_stdvec(said)),
        Message::Limits(said) => (kind::LIMITS, postcard::to_stdvec(said)),
        Message::Feed(said) => (kind::FEED, postcard::to_stdvec(said)),
        Message::Rollout(said) => (kind::ROLLOUT, postcard::to_stdvec(said)),
    };
    Some((kind, bytes.ok()?))
}

pub fn key_name(key: LimitKey) -> String {
    match key {
        LimitKey::Origin => "origin".to_owned(),
        LimitKey::Retries => "further".to_owned(),
        LimitKey::ColdHost(host) => format!("cold:{}", host_name(host)),
    }
}

fn host_name(host: HostId) -> String {
    format!("{:x}", host.0)
}

fn gone(standing: MemberState) -> &'static str {
    if standing == MemberState::Left {
        "has left"
    } else {
        "does not answer anyone any more; look at its process and its network"
    }
}

/// The text of a member's state in events and in the status.
fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Unknown => "unheard",
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

/// The text of a finding's kind in events.
fn kind_text(kind: FindingKind) -> &'static str {
    match kind {
        FindingKind::Failing => "shutout",
        FindingKind::Slow => "slow",
        FindingKind::Unreachable => "cutoff",
        FindingKind::Restarted => "juststarted",
    }
}

fn run_of(since: Option<UnixTime>) -> Option<Incarnation> {
    since.map(|since| Incarnation(since.0))
}

impl Run {
    /// Carries out what the rooms decided at their start; when that was.
    pub fn begin(&mut self) -> Time {
        let now = self.clock.now();
        self.events.note(now, "start", |_| json!({ "form": self.form }));
        self.carry_out(now);
        now
    }

    pub fn run(mut self, inputs: &Receiver<Input>, every: Span) {
        let mut next = self.begin() + every;
        loop {
            // Before what waits: after standing still, rooms learn first that they did.
            let now = self.clock.now();
            if now >= next {
                self.woken(now);
                self.carry_out(now);
                next = now.max(next + every);
            }
            let input = inputs.recv_deadline(self.clock.instant(next));
            let now = self.clock.now();
            match input {
                Ok(Input::Stop | Input::Told(ToFleet::Stop)) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => self.take(now, input),
                Err(RecvTimeoutError::Timeout) => continue,
            }
            self.carry_out(now);
        }
        self.leave();
        self.waiting.ended.store(true, Relaxed);
    }

    /// Tells the others that this process leaves.
    pub fn leave(&mut self) {
        let now = self.clock.now();
        if let Role::Member(fleet) = &mut self.role {
            fleet.leave(now);
        }
        self.delivery.iter_mut().for_each(Delivery::leave);
        self.carry_out(now);
        self.events.note(now, "stop", |_| json!({}));
    }

    pub fn woken(&mut self, now: Time) {
        match &mut self.role {
            Role::Member(fleet) => fleet.tick(now),
            Role::Follower(follower) => follower.tick(now),
            Role::Unlisted => {}
        }
        self.delivery.iter_mut().for_each(|delivery| delivery.woken(now));
    }

    pub fn take(&mut self, now: Time, input: Input) {
        match input {
            Input::Datagram(bytes, from) => {
                self.waiting.bytes.fetch_sub(bytes.len(), Relaxed);
                self.datagram(now, &bytes, from);
            }
            Input::Told(told) => {
                self.waiting.told.fetch_sub(1, Relaxed);
                self.told(now, told);
            }
            Input::Kept { ticket, well } => {
                if let Role::Member(fleet) = &mut self.role {
                    fleet.confirm_stored(now, ticket, well);
                }
            }
            Input::Control(ask, back) => {
                let _ = back.try_send(self.asked(now, ask));
            }
            Input::Stop => {}
        }
    }

    fn refuse(&mut self, now: Time, why: Refused, sender: Who) {
        let Some(count) = self.refusals.came(now, why, sender) else { return };
        let from = match sender {
            Who::Listed(id) => self.name(id),
            Who::Address(address) => address.to_string(),
            Who::Others => "several".to_owned(),
        };
        (self.log)(&format!("fleet: {count} of {from} not taken ({}): {why}", why.code()));
    }

    pub fn datagram(&mut self, now: Time, bytes: &[u8], at: SocketAddr) {
        let by_address = Who::Address(at.ip());
        let envelope = match link::decode(bytes, &self.fleet) {
            Ok(envelope) => envelope,
            Err(why) => return self.refuse(now, why, by_address),
        };
        let (from, incarnation) = (envelope.from, envelope.incarnation);
        if from == self.me && incarnation == self.incarnation {
            // An own message that a link sent back.
            return;
        }
        if envelope.kind == kind::DELIVERY {
            return self.delivery_datagram(now, &envelope, at);
        }
        let Some(listed) =
            self.peers.get(&from).map(|peer| peer.location).or((from == self.me).then_some(self.location))
        else {
            return self.refuse(now, Refused::Unlisted, by_address);
        };
        let who = Who::Listed(from);
        if incarnation.0 > self.clock.unix(now).saturating_add(self.ahead.0) {
            return self.refuse(now, Refused::Future, who);
        }
        let message = match message(envelope.kind, envelope.payload) {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(why) => return self.refuse(now, why, who),
        };
        if envelope.location.is_some_and(|location| location != LocationByte::of(listed)) {
            self.refuse(now, Refused::Location, who);
        }
        let heard = match (&mut self.role, message) {
            (Role::Member(fleet), message) => fleet.receive(now, from, incarnation, message),
            (Role::Follower(follower), Message::Feed(said)) => {
                follower.receive(now, from, said);
                Ok(())
            }
            (Role::Follower(_) | Role::Unlisted, _) => Err(Rejection::ComponentOff),
        };
        match heard {
            _ if from == self.me => self.refuse(now, Refused::OwnName, who),
            Err(Rejection::InvalidRun) => self.refuse(now, Refused::Void, who),
            Err(Rejection::UnlistedSender) => self.refuse(now, Refused::Unlisted, who),
            Ok(()) | Err(Rejection::ComponentOff) => {
                if let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.incarnation <= incarnation) {
                    (peer.incarnation, peer.reads) = (incarnation, envelope.reads);
                }
            }
        }
    }

    /// Followers may be in no list; they are answered at the address they sent from.
    fn delivery_datagram(&mut self, now: Time, envelope: &Envelope, at: SocketAddr) {
        let (from, incarnation) = (envelope.from, envelope.incarnation);
        let Some(delivery) = &mut self.delivery else { return };
        if from == self.me {
            return self.refuse(now, Refused::OwnName, Who::Address(at.ip()));
        }
        if incarnation.0 > self.clock.unix(now).saturating_add(self.ahead.0) {
            return self.refuse(now, Refused::Future, Who::Address(at.ip()));
        }
        let Ok(said) = postcard::from_bytes::<DeliveryMessage>(envelope.payload) else {
            return self.refuse(now, Refused::Content, Who::Address(at.ip()));
        };
        match self.peers.get_mut(&from) {
            Some(peer) if peer.incarnation <= incarnation => {
                (peer.incarnation, peer.reads) = (incarnation, envelope.reads);
            }
            Some(_) => {}
            None if delivery.admits_guest(now, from, at, envelope.reads) => {}
            None => return self.refuse(now, Refused::Unlisted, Who::Address(at.ip())),
        }
        delivery.heard(now, from, incarnation, said);
    }

    fn log_read(&mut self, read: LogRead) {
        let Some(delivery) = &mut self.delivery else { return };
        let asked = read.asked.map(|asked| self.clock.time(asked));
        if let Some(told) = delivery.read(asked, read) {
            (self.tell)(told);
        }
    }

    pub fn told(&mut self, now: Time, told: ToFleet) {
        if let ToFleet::LogRead(read) = told {
            return self.log_read(read);
        }
        let Role::Member(fleet) = &mut self.role else { return };
        match told {
            ToFleet::Wants { key, amount } => fleet.set_demand(now, key, amount),
            ToFleet::Taken { key, number } => {
                // Guards against an answer to an older part: what was lowered since would be lent too early.
                if self.parts.get(&key).is_some_and(|(last, _)| *last == number) {
                    fleet.confirm_applied(now, key);
                }
            }
            ToFleet::Found(crate::Finding { host, since, kind, evidence, age }) => {
                fleet.report_finding(now, Finding { host, since: run_of(since), kind, evidence, age });
            }
            ToFleet::Cleared(host) => fleet.report_recovery(now, host),
            ToFleet::Weighed { tellers, part } => fleet.set_verdict_thresholds(now, tellers, part),
            ToFleet::Refuted(host) => fleet.refute_verdict(now, host),
            ToFleet::Listed { host, since, used_by } => fleet.update_host(now, host, run_of(since), used_by),
            ToFleet::Unlisted(host) => fleet.remove_host(now, host),
            ToFleet::Counted(figures) => fleet.report_figures(now, figures),
            ToFleet::NotTaken { number, why } => fleet.reject_rules(now, number, &why),
            ToFleet::Order(order) => {
                if let Some(Err(error)) = fleet.order(now, order) {
                    (self.log)(&format!("rollout: the order is not taken ({}): {error}", error.code()));
                }
            }
            ToFleet::Used { key, amount } => {
                self.events.note(now, "use", |_| json!({ "key": key_name(key), "amount": amount }));
            }
            ToFleet::Shut { host, told } => {
                let why = if told { "told" } else { "own" };
                self.events.note(now, "shut", |_| json!({ "host": host_name(host), "why": why }));
            }
            ToFleet::Back { host } => {
                self.events.note(now, "back", |_| json!({ "host": host_name(host) }));
            }
            ToFleet::Stop | ToFleet::LogRead(_) => {}
        }
    }

    fn name(&self, id: MemberId) -> String {
        let known = self.peers.get(&id).map(|peer| peer.name.clone());
        known.unwrap_or_else(|| if id == self.me { self.events.me.clone() } else { format!("{:x}", id.0) })
    }

    pub fn carry_out(&mut self, now: Time) {
        loop {
            match &mut self.role {
                Role::Member(fleet) => {
                    let Some(effect) = fleet.next_effect(now) else { break };
                    self.effect(now, effect);
                }
                Role::Follower(follower) => {
                    let Some(effect) = follower.next_effect() else { break };
                    self.of_follower(now, effect);
                }
                Role::Unlisted => break,
            }
        }
        while let Some(effect) = self.delivery.as_mut().and_then(Delivery::next_effect) {
            self.of_delivery(now, effect);
        }
    }

    fn of_delivery(&mut self, now: Time, effect: delivery::Effect) {
        let told = match effect {
            delivery::Effect::Send { to, message } => {
                let Ok(payload) = postcard::to_stdvec(&message) else { return };
                return self.send_payload(now, to, kind::DELIVERY, &payload);
            }
            delivery::Effect::Log(line) => return (self.log)(&format!("delivery: {line}")),
            delivery::Effect::Deliver { first, records } => Delivered::Changes { first, records },
            delivery::Effect::ReadLog(reads) => {
                self.events.note(now, "read-log", |_| json!({ "reads": reads }));
                (self.log)(if reads {
                    "delivery: no carrier proves that it has all changes; the change log is read directly"
                } else {
                    "delivery: changes come by a carrier"
                });
                Delivered::ReadLog(reads)
            }
            delivery::Effect::KnownUpTo(at) => Delivered::KnownUpTo(self.clock.instant(at)),
        };
        (self.tell)(FromFleet::Delivered(told));
    }

    fn effect(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(now, to, &message),
            Effect::Allowance { key, amount, until, after } => {
                self.part(now, key, Allowance { amount, until, after })
            }
            Effect::Verdict { host, since, kind, weight, until, age, reporters } => {
                self.events.note(now, "hearsay", |_| {
                    let (since, kind) = (since.map(|since| since.0), kind_text(kind));
                    json!({ "host": host_name(host), "since": since, "kind": kind, "tellers": reporters,
                            "age_ms": age.0 / 1000, "hold_ms": (until - now).0 / 1000 })
                });
                let (since, until) = (since.map(|since| UnixTime(since.0)), self.clock.instant(until));
                (self.tell)(FromFleet::Hearsay { host, since, kind, weight, until, age, tellers: reporters });
            }
            Effect::Withdraw { host } => {
                self.events.note(now, "withdraw", |_| json!({ "host": host_name(host) }));
                (self.tell)(FromFleet::Withdraw { host });
            }
            Effect::Store { ticket, record } => {
                let own = self.own.clone();
                self.keeper.keep(&record, move |well| {
                    let _ = own.send(Input::Kept { ticket, well });
                });
            }
            Effect::ApplyRules { number, text } => {
                (self.log)(&format!("rollout: rules {number} are in force"));
                let phase = match &self.role {
                    Role::Member(fleet) => fleet.rollout().map(|rollout| rollout.status().step.phase),
                    Role::Follower(_) | Role::Unlisted => None,
                };
                self.events.note(now, "rules", |_| {
                    let why = phase.map(|phase| format!("{phase:?}").to_lowercase());
                    json!({ "number": number, "why": why })
                });
                (self.tell)(FromFleet::Rules { number, text: text.into() });
            }
            Effect::MemberChanged { who, state, incarnation } => {
                let name = self.name(who);
                // A suspicion that was refuted is no line: with many members there is always one.
                let is_there = matches!(state, MemberState::Alive | MemberState::Suspect);
                let peer = self.peers.get_mut(&who);
                if peer.is_some_and(|peer| std::mem::replace(&mut peer.is_there, is_there) != is_there) {
                    (self.log)(&format!("fleet: {name} {}", if is_there { "is there" } else { gone(state) }));
                }
                let values = json!({ "who": name, "standing": state_text(state), "sinc": incarnation.0 });
                self.events.note(now, "member", |_| values);
            }
            Effect::LinksDegraded(trouble) => {
                (self.log)(if trouble {
                    "fleet: this dispatcher misses answers from most others: its own links are bad; look at its network"
                } else {
                    "fleet: this dispatcher's own links are well again"
                });
                self.events.note(now, "own-trouble", |_| json!({ "trouble": trouble }));
            }
            Effect::SteppedDown => {
                (self.log)(
                    "fleet: a newer process runs under this one's name; this one takes no part any more: end it, or \
                     give it a name of its own",
                );
                self.events.note(now, "stepped-down", |_| json!({}));
            }
            Effect::FeedDelivered { source, incarnation, number, is_state } => {
                self.delivered(now, source, incarnation, number, is_state);
            }
            Effect::Log(line) => (self.log)(&line),
        }
    }

    fn of_follower(&mut self, now: Time, effect: feed::Effect) {
        match effect {
            feed::Effect::Send { to, message } => self.send(now, to, &Message::Feed(message)),
            feed::Effect::Deliver { source, incarnation, number, .. } => {
                self.delivered(now, source, incarnation, number, false);
            }
            feed::Effect::State { source, incarnation, up_to, .. } => {
                self.delivered(now, source, incarnation, up_to, true);
            }
            feed::Effect::Log(line) => (self.log)(&line),
        }
    }

    fn delivered(&mut self, now: Time, source: MemberId, incarnation: Incarnation, number: u64, state: bool) {
        if self.events.is_on() {
            let values = json!({ "source": self.name(source), "sinc": incarnation.0, "n": number });
            self.events.note(now, if state { "state" } else { "deliver" }, |_| values);
        }
    }

    fn part(&mut self, now: Time, key: LimitKey, part: Allowance) {
        self.number += 1;
        let Allowance { amount, until, after } = part;
        if self.parts.len() >= PARTS && !self.parts.contains_key(&key) {
            // A cold host that is forgotten here is told anew with its next part.
            let over = self
                .parts
                .iter()
                .find(|(key, (_, part))| matches!(key, LimitKey::ColdHost(_)) && part.until <= now);
            if let Some(over) = over.map(|(key, _)| *key) {
                self.parts.remove(&over);
            }
        }
        if self.parts.len() < PARTS || self.parts.contains_key(&key) {
            self.parts.insert(key, (self.number, part));
        }
        self.events.note(now, "part", |clock| {
            let until = clock.unix(until);
            json!({ "key": key_name(key), "amount": amount, "until": until, "after": after })
        });
        let (number, until) = (self.number, self.clock.instant(until));
        (self.tell)(FromFleet::Part { key, number, amount, until, after });
    }

    fn send(&mut self, now: Time, to: MemberId, message: &Message) {
        if let Some((kind, payload)) = payload(message) {
            self.send_payload(now, to, kind, &payload);
        }
    }

    fn send_payload(&mut self, now: Time, to: MemberId, kind: u8, payload: &[u8]) {
        let guest = || self.delivery.as_ref().and_then(|delivery| delivery.guest(to));
        let Some(peer) = self.peers.get(&to).or_else(guest) else { return };
        let envelope = Envelope {
            reads: self.form,
            fleet: &self.fleet,
            from: self.me,
            incarnation: self.incarnation,
            location: Some(LocationByte::of(self.location)),
            kind,
            payload,
        };
        match link::encode(link::form_for(self.form, peer.reads), &envelope) {
            // What can't be sent is lost, as on the way; rooms tell it again.
            Some(bytes) => (self.out)(&bytes, peer.address),
            None => self.refuse(now, Refused::OwnTooLong, Who::Listed(self.me)),
        }
    }

    fn asked(&mut self, now: Time, ask: Ask) -> Answer {
        let order = match ask {
            Ask::Status => return (200, self.status(now).to_string() + "\n"),
            Ask::Order(order) => order,
        };
        let Role::Member(fleet) = &mut self.role else {
            return (404, "a follower takes no orders\n".to_owned());
        };
        match fleet.order(now, order) {
            None => (400, "the rollout is off here: add fleet.rollout to the settings\n".to_owned()),
            Some(Err(error)) => (400, format!("{}: {error}\n", error.code())),
            Some(Ok(())) => (200, self.status(now).to_string() + "\n"),
        }
    }

    fn status(&self, now: Time) -> Value {
        let delivery = self.delivery.as_ref().map(|delivery| delivery.status(|id| self.name(id)));
        let Role::Member(fleet) = &self.role else {
            return json!({ "fleet": self.fleet, "me": self.events.me, "inc": self.incarnation.0,
                "refused": self.refusals.count, "delivery": delivery });
        };
        let members: Vec<Value> = fleet
            .members()
            .listed()
            .map(|(id, location)| {
                let state = fleet.members().state(id).map(state_text);
                let inc = fleet.members().incarnation(id).map(|incarnation| incarnation.0);
                json!({ "name": self.name(id), "location": location.0, "standing": state, "inc": inc })
            })
            .collect();
        let parts = self.parts.iter().map(|(key, (_, part))| {
            let left_ms = (part.until - now).0 / 1000;
            json!({ "key": key_name(*key), "amount": part.at(now), "left_ms": left_ms, "after": part.after })
        });
        let feed = fleet.feed().map(|feed| {
            let (about, (items, bytes, ..)) = (feed.load(), feed.size());
            let carried = feed.carried_followers().map(|(id, slow)| json!({ "name": self.name(id), "slow": slow }));
            json!({ "lag_ms": about.lag.0 / 1000, "carried": carried.collect::<Vec<_>>(), "moves": feed.completed_moves(),
                    "items": items, "bytes": bytes })
        });
        let rollout = fleet.rollout().map(|rollout| {
            let status = rollout.status();
            let halt = status.halt.map(|halt| json!({ "by": self.name(halt.by), "why": halt.why }));
            let phase = format!("{:?}", status.step.phase).to_lowercase();
            json!({
                "number": status.step.version.number, "phase": phase, "stage": status.step.stage,
                "stages": status.stages, "in_force": status.in_force, "base": status.step.base.number,
                "may_come": status.unconfirmed_step.map(|step| step.version.number), "halt": halt,
                "runner": status.runner.map(|id| self.name(id)), "able": status.is_able, "waits": status.waiting_for,
            })
        });
        json!({
            "fleet": self.fleet, "me": self.events.me, "inc": self.incarnation.0,
            "own_trouble": fleet.members().are_links_degraded(), "stepped_down": fleet.has_stepped_down(),
            "refused": self.refusals.count, "members": members, "limits": parts.collect::<Vec<_>>(),
            "feed": feed, "rollout": rollout, "delivery": delivery,
        })
    }
}
