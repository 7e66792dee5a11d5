//! The fleet's event loop: handles inputs from the socket reader, the dispatcher, the store and the control
//! listener, runs the periodic timer, and applies the effects that the protocols return.
use crate::clock::Clock;
use crate::control::{Answer, ControlRequest};
use crate::delivery::{Delivery, DeliveryEvent, LogRead};
use crate::events::{Events, Log};
use crate::link::{self, Envelope, LinkError, LocationByte};
use crate::rejection_log::{RejectionLog, Source};
use crate::rollout_store::RolloutStore;
use crate::{FromFleet, ToFleet};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::{self, DeliveryMessage};
use cherrypass_fleet::feed::{self, Follower};
use cherrypass_fleet::limits::{Allowance, LimitKey};
use cherrypass_fleet::members::MemberState;
use cherrypass_fleet::node::{Effect, FleetNode, Message, Rejection};
use cherrypass_fleet::rollout::Phase;
use cherrypass_fleet::verdicts::{Finding, FindingKind};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// Message kinds on the wire. Numbers are never reused.
mod kind {
    pub const MEMBERS: u8 = 1;
    pub const LIMITS: u8 = 2;
    pub const FEED: u8 = 3;
    pub const ROLLOUT: u8 = 4;
    pub const DELIVERY: u8 = 5;
}

/// Maximum number of allowances kept for confirmations and status: 1,024 cold hosts by own demand, as many by
/// the demand of others, and those of the overall limits.
const MAX_ALLOWANCES: usize = 4_096;
/// Maximum total size of datagrams waiting for the event loop; further ones are dropped.
const MAX_WAITING_DATAGRAM_BYTES: usize = 4 << 20;

/// An input of the event loop.
pub enum Input {
    Datagram(Vec<u8>, SocketAddr),
    FromDispatcher(ToFleet),
    RecordStored { ticket: u64, is_stored: bool },
    Control(ControlRequest, Sender<Answer>),
    Stop,
}

/// The size of the queue of inputs, shared with the threads that fill it.
#[derive(Default)]
pub struct Backlog {
    /// Total size of the waiting datagrams.
    pub datagram_bytes: AtomicUsize,
    /// Number of waiting dispatcher messages.
    pub dispatcher_messages: AtomicUsize,
    pub has_ended: AtomicBool,
}

/// Another member, a follower, or an unlisted sender.
pub struct Peer {
    pub name: String,
    pub address: SocketAddr,
    pub location: LocationId,
    pub incarnation: Incarnation,
    /// The newest message form that it has announced.
    pub newest_form: u8,
    /// The reachability that was logged last.
    is_reachable: bool,
}

impl Peer {
    pub fn new(name: &str, address: SocketAddr, location: LocationId) -> Peer {
        let (incarnation, reads) = (Incarnation::default(), link::OLDEST_FORM);
        Peer {
            name: name.to_owned(),
            address,
            location,
            incarnation,
            newest_form: reads,
            is_reachable: false,
        }
    }
}

/// A member runs all protocols, a follower only receives the feed, and an unlisted process has at most the
/// delivery.
pub enum Role {
    Member(Box<FleetNode>),
    Follower(Box<Follower>),
    Unlisted,
}

/// Sends one datagram, or drops it if it can't be sent at once.
pub type SendDatagram = Box<dyn Fn(&[u8], SocketAddr) + Send>;

/// The state of one process in the fleet.
pub struct EventLoop {
    pub role: Role,
    pub delivery: Option<Delivery>,
    pub fleet: String,
    pub me: MemberId,
    pub incarnation: Incarnation,
    pub location: LocationId,
    /// The newest message form to write, announced to others as supported.
    pub form: u8,
    /// How far the start time of a sender may be ahead of this process's clock.
    pub max_incarnation_lead: Span,
    pub peers: BTreeMap<MemberId, Peer>,
    pub send_datagram: SendDatagram,
    pub clock: Clock,
    pub events: Events,
    pub rollout_store: RolloutStore,
    pub log: Log,
    pub notify_dispatcher: Box<dyn Fn(FromFleet) + Send>,
    pub own_inputs: Sender<Input>,
    pub backlog: Arc<Backlog>,
    pub rejections: RejectionLog,
    /// The last allowance of each limit with its number, which the dispatcher confirms.
    pub allowances: BTreeMap<LimitKey, (u64, Allowance)>,
    pub last_allowance_number: u64,
}

/// Receives datagrams until the event loop has ended. Empty datagrams only wake the thread.
pub fn receive_datagrams(socket: &UdpSocket, inputs: &Sender<Input>, backlog: &Backlog) {
    let mut bytes = vec![0; link::MAX_DATAGRAM_BYTES + 1];
    while !backlog.has_ended.load(Relaxed) {
        match socket.recv_from(&mut bytes) {
            Ok((0, _)) => {}
            Ok((length, from)) => {
                if backlog.datagram_bytes.fetch_add(length, Relaxed) > MAX_WAITING_DATAGRAM_BYTES {
                    backlog.datagram_bytes.fetch_sub(length, Relaxed);
                } else if inputs.send(Input::Datagram(bytes[..length].to_vec(), from)).is_err() {
                    return;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            // Avoids a busy loop while the socket only returns errors.
            Err(_) => std::thread::sleep(std::time::Duration::from_millis(10)),
        }
    }
}

fn decode_as<S: DeserializeOwned>(
    wrap: impl Fn(S) -> Message,
    payload: &[u8],
) -> Result<Option<Message>, LinkError> {
    let message = postcard::from_bytes(payload).map_err(|_| LinkError::MalformedPayload)?;
    Ok(Some(wrap(message)))
}

/// Decodes a payload by its kind; None for an unknown kind.
fn decode_message(kind: u8, payload: &[u8]) -> Result<Option<Message>, LinkError> {
    match kind {
        kind::MEMBERS => decode_as(Message::Members, payload),
        kind::LIMITS => decode_as(Message::Limits, payload),
        kind::FEED => decode_as(Message::Feed, payload),
        kind::ROLLOUT => decode_as(Message::Rollout, payload),
        _ => Ok(None),
    }
}

fn encode_message(message: &Message) -> Option<(u8, Vec<u8>)> {
    let (kind, bytes) = match message {
        Message::Members(message) => (kind::MEMBERS, postcard::to_stdvec(message)),
        Message::Limits(message) => (kind::LIMITS, postcard::to_stdvec(message)),
        Message::Feed(message) => (kind::FEED, postcard::to_stdvec(message)),
        Message::Rollout(message) => (kind::ROLLOUT, postcard::to_stdvec(message)),
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

fn unreachable_text(state: MemberState) -> &'static str {
    if state == MemberState::Left {
        "has left"
    } else {
        "does not answer any member; check its process and its network"
    }
}

fn host_incarnation(since: Option<UnixTime>) -> Option<Incarnation> {
    since.map(|since| Incarnation(since.0))
}

/// The text of a kind in the event log.
fn kind_text(kind: FindingKind) -> &'static str {
    match kind {
        FindingKind::Failing => "shutout",
        FindingKind::Slow => "slow",
        FindingKind::Unreachable => "cutoff",
        FindingKind::Restarted => "juststarted",
    }
}

/// The text of a member's state in the event log and the status.
fn member_state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Unknown => "unheard",
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

/// The text of a rollout's phase in the event log and the status.
fn phase_text(phase: Phase) -> &'static str {
    match phase {
        Phase::Full => "full",
        Phase::Rolling => "rolling",
        Phase::Halted => "halted",
        Phase::Back => "back",
    }
}

impl EventLoop {
    /// Applies the initial effects; returns the time of the start.
    pub fn start(&mut self) -> Time {
        let now = self.clock.now();
        self.events.write_event(now, "start", |_| json!({ "form": self.form }));
        self.apply_effects(now);
        now
    }

    /// Handles inputs until it is stopped.
    pub fn run(mut self, inputs: &Receiver<Input>, every: Span) {
        let mut next = self.start() + every;
        loop {
            // The timer runs before waiting inputs, so that after a pause of the process the protocols notice
            // it first.
            let now = self.clock.now();
            if now >= next {
                self.tick(now);
                self.apply_effects(now);
                next = now.max(next + every);
            }
            let input = inputs.recv_deadline(self.clock.instant(next));
            let now = self.clock.now();
            match input {
                Ok(Input::Stop | Input::FromDispatcher(ToFleet::Stop))
                | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => self.handle_input(now, input),
                Err(RecvTimeoutError::Timeout) => continue,
            }
            self.apply_effects(now);
        }
        self.leave();
        self.backlog.has_ended.store(true, Relaxed);
    }

    /// Announces to the others that this process leaves.
    pub fn leave(&mut self) {
        let now = self.clock.now();
        if let Role::Member(fleet) = &mut self.role {
            fleet.leave(now);
        }
        self.delivery.iter_mut().for_each(Delivery::shut_down);
        self.apply_effects(now);
        self.events.write_event(now, "stop", |_| json!({}));
    }

    /// Runs the periodic timer of all protocols.
    pub fn tick(&mut self, now: Time) {
        match &mut self.role {
            Role::Member(fleet) => fleet.tick(now),
            Role::Follower(follower) => follower.tick(now),
            Role::Unlisted => {}
        }
        self.delivery.iter_mut().for_each(|delivery| delivery.tick(now));
    }

    pub fn handle_input(&mut self, now: Time, input: Input) {
        match input {
            Input::Datagram(bytes, from) => {
                self.backlog.datagram_bytes.fetch_sub(bytes.len(), Relaxed);
                self.handle_datagram(now, &bytes, from);
            }
            Input::FromDispatcher(message) => {
                self.backlog.dispatcher_messages.fetch_sub(1, Relaxed);
                self.handle_dispatcher_message(now, message);
            }
            Input::RecordStored { ticket, is_stored } => {
                if let Role::Member(fleet) = &mut self.role {
                    fleet.confirm_stored(now, ticket, is_stored);
                }
            }
            Input::Control(request, answers) => {
                let _ = answers.try_send(self.answer_control(now, request));
            }
            Input::Stop => {}
        }
    }

    fn reject(&mut self, now: Time, why: LinkError, sender: Source) {
        let Some(count) = self.rejections.count_rejection(now, why, sender) else { return };
        let from = match sender {
            Source::Listed(id) => self.member_name(id),
            Source::Address(address) => address.to_string(),
            Source::Others => "several senders".to_owned(),
        };
        (self.log)(&format!("fleet: {count} datagrams from {from} rejected ({}): {why}", why.code()));
    }

    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8], at: SocketAddr) {
        let by_address = Source::Address(at.ip());
        let envelope = match link::decode(bytes, &self.fleet) {
            Ok(envelope) => envelope,
            Err(why) => return self.reject(now, why, by_address),
        };
        let (from, incarnation) = (envelope.sender, envelope.incarnation);
        if from == self.me && incarnation == self.incarnation {
            // An own message that was sent back.
            return;
        }
        if envelope.kind == kind::DELIVERY {
            return self.handle_delivery_datagram(now, &envelope, at);
        }
        let Some(listed) =
            self.peers.get(&from).map(|peer| peer.location).or((from == self.me).then_some(self.location))
        else {
            return self.reject(now, LinkError::UnlistedSender, by_address);
        };
        let who = Source::Listed(from);
        if incarnation.0 > self.clock.unix(now).saturating_add(self.max_incarnation_lead.0) {
            return self.reject(now, LinkError::FutureStart, who);
        }
        let message = match decode_message(envelope.kind, envelope.payload) {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(why) => return self.reject(now, why, who),
        };
        if envelope.location.is_some_and(|location| location != LocationByte::of(listed)) {
            self.reject(now, LinkError::LocationMismatch, who);
        }
        let result = match (&mut self.role, message) {
            (Role::Member(fleet), message) => fleet.receive(now, from, incarnation, message),
            (Role::Follower(follower), Message::Feed(message)) => {
                follower.receive(now, from, message);
                Ok(())
            }
            (Role::Follower(_) | Role::Unlisted, _) => Err(Rejection::ComponentOff),
        };
        match result {
            _ if from == self.me => self.reject(now, LinkError::OwnName, who),
            Err(Rejection::InvalidRun) => self.reject(now, LinkError::OutdatedRun, who),
            Err(Rejection::UnlistedSender) => self.reject(now, LinkError::UnlistedSender, who),
            Ok(()) | Err(Rejection::ComponentOff) => {
                if let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.incarnation <= incarnation) {
                    (peer.incarnation, peer.newest_form) = (incarnation, envelope.newest_form);
                }
            }
        }
    }

    /// Handles a delivery message. Its sender may be unlisted; it is then answered at its source address.
    fn handle_delivery_datagram(&mut self, now: Time, envelope: &Envelope, at: SocketAddr) {
        let (from, incarnation) = (envelope.sender, envelope.incarnation);
        let Some(delivery) = &mut self.delivery else { return };
        if from == self.me {
            return self.reject(now, LinkError::OwnName, Source::Address(at.ip()));
        }
        if incarnation.0 > self.clock.unix(now).saturating_add(self.max_incarnation_lead.0) {
            return self.reject(now, LinkError::FutureStart, Source::Address(at.ip()));
        }
        let Ok(message) = postcard::from_bytes::<DeliveryMessage>(envelope.payload) else {
            return self.reject(now, LinkError::MalformedPayload, Source::Address(at.ip()));
        };
        match self.peers.get_mut(&from) {
            Some(peer) if peer.incarnation <= incarnation => {
                (peer.incarnation, peer.newest_form) = (incarnation, envelope.newest_form);
            }
            Some(_) => {}
            None if delivery.admits_guest(now, from, at, envelope.newest_form) => {}
            None => return self.reject(now, LinkError::UnlistedSender, Source::Address(at.ip())),
        }
        delivery.handle_message(now, from, incarnation, message);
    }

    fn handle_log_read(&mut self, read: LogRead) {
        let Some(delivery) = &mut self.delivery else { return };
        let asked = read.requested_at.map(|asked| self.clock.time(asked));
        if let Some(message) = delivery.handle_log_read(asked, read) {
            (self.notify_dispatcher)(message);
        }
    }

    pub fn handle_dispatcher_message(&mut self, now: Time, message: ToFleet) {
        if let ToFleet::LogRead(read) = message {
            return self.handle_log_read(read);
        }
        let Role::Member(fleet) = &mut self.role else { return };
        match message {
            ToFleet::Demand { key, amount } => fleet.set_demand(now, key, amount),
            ToFleet::AllowanceApplied { key, number } => {
                // A confirmation of an older allowance is ignored: it would let a lowered share be lent too
                // early.
                if self.allowances.get(&key).is_some_and(|(last, _)| *last == number) {
                    fleet.confirm_applied(now, key);
                }
            }
            ToFleet::Finding(crate::Finding { host, started_at: since, kind, evidence, age }) => {
                fleet.report_finding(
                    now,
                    Finding { host, since: host_incarnation(since), kind, evidence, age },
                );
            }
            ToFleet::Recovery(host) => fleet.report_recovery(now, host),
            ToFleet::VerdictThresholds { reporters, location_fraction } => {
                fleet.set_verdict_thresholds(now, reporters, location_fraction)
            }
            ToFleet::VerdictRefuted(host) => fleet.refute_verdict(now, host),
            ToFleet::HostListed { host, started_at: since, used_by } => {
                fleet.update_host(now, host, host_incarnation(since), used_by)
            }
            ToFleet::HostUnlisted(host) => fleet.remove_host(now, host),
            ToFleet::Figures(figures) => fleet.report_figures(now, figures),
            ToFleet::RulesRejected { number, reason: why } => fleet.reject_rules(now, number, &why),
            ToFleet::Order(order) => {
                if let Some(Err(error)) = fleet.order(now, order) {
                    (self.log)(&format!("rollout: order rejected ({}): {error}", error.code()));
                }
            }
            ToFleet::PeakUse { key, amount } => {
                self.events.write_event(now, "use", |_| json!({ "key": key_name(key), "amount": amount }));
            }
            ToFleet::HostEjected { host, by_reports } => {
                let why = if by_reports { "told" } else { "own" };
                self.events.write_event(now, "shut", |_| json!({ "host": host_name(host), "why": why }));
            }
            ToFleet::HostReadmitted { host } => {
                self.events.write_event(now, "back", |_| json!({ "host": host_name(host) }));
            }
            ToFleet::Stop | ToFleet::LogRead(_) => {}
        }
    }

    fn member_name(&self, id: MemberId) -> String {
        let known = self.peers.get(&id).map(|peer| peer.name.clone());
        known.unwrap_or_else(|| if id == self.me { self.events.me.clone() } else { format!("{:x}", id.0) })
    }

    /// Applies all effects that the protocols have returned.
    pub fn apply_effects(&mut self, now: Time) {
        loop {
            match &mut self.role {
                Role::Member(fleet) => {
                    let Some(effect) = fleet.next_effect(now) else { break };
                    self.apply_fleet_effect(now, effect);
                }
                Role::Follower(follower) => {
                    let Some(effect) = follower.next_effect() else { break };
                    self.apply_follower_effect(now, effect);
                }
                Role::Unlisted => break,
            }
        }
        while let Some(effect) = self.delivery.as_mut().and_then(Delivery::next_effect) {
            self.apply_delivery_effect(now, effect);
        }
    }

    fn apply_delivery_effect(&mut self, now: Time, effect: delivery::Effect) {
        let message = match effect {
            delivery::Effect::Send { to, message } => {
                let Ok(payload) = postcard::to_stdvec(&message) else { return };
                return self.send_payload(now, to, kind::DELIVERY, &payload);
            }
            delivery::Effect::Log(line) => return (self.log)(&format!("delivery: {line}")),
            delivery::Effect::Deliver { first, records } => DeliveryEvent::Changes { first, records },
            delivery::Effect::ReadLog(reads) => {
                self.events.write_event(now, "read-log", |_| json!({ "reads": reads }));
                (self.log)(if reads {
                    "delivery: no carrier confirms that it has all changes; reading the change log directly"
                } else {
                    "delivery: receiving changes from a carrier"
                });
                DeliveryEvent::ReadLogDirectly(reads)
            }
            delivery::Effect::KnownUpTo(at) => DeliveryEvent::CompleteUpTo(self.clock.instant(at)),
        };
        (self.notify_dispatcher)(FromFleet::Delivery(message));
    }

    fn apply_fleet_effect(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(now, to, &message),
            Effect::Allowance { key, amount, until, after } => {
                self.announce_allowance(now, key, Allowance { amount, until, after })
            }
            Effect::Verdict { host, since, kind, weight, until, age, reporters } => {
                self.events.write_event(now, "hearsay", |_| {
                    let (since, kind) = (since.map(|since| since.0), kind_text(kind));
                    json!({ "host": host_name(host), "since": since, "kind": kind, "tellers": reporters,
                            "age_ms": age.0 / 1000, "hold_ms": (until - now).0 / 1000 })
                });
                let (since, until) = (since.map(|since| UnixTime(since.0)), self.clock.instant(until));
                (self.notify_dispatcher)(FromFleet::Verdict {
                    host,
                    started_at: since,
                    kind,
                    weight,
                    until,
                    age,
                    reporters,
                });
            }
            Effect::Withdraw { host } => {
                self.events.write_event(now, "withdraw", |_| json!({ "host": host_name(host) }));
                (self.notify_dispatcher)(FromFleet::WithdrawVerdict { host });
            }
            Effect::Store { ticket, record } => {
                let own = self.own_inputs.clone();
                self.rollout_store.store_record(&record, move |is_stored| {
                    let _ = own.send(Input::RecordStored { ticket, is_stored });
                });
            }
            Effect::ApplyRules { number, text } => {
                (self.log)(&format!("rollout: rules {number} are in force"));
                let phase = match &self.role {
                    Role::Member(fleet) => fleet.rollout().map(|rollout| rollout.status().step.phase),
                    Role::Follower(_) | Role::Unlisted => None,
                };
                self.events.write_event(now, "rules", |_| {
                    let why = phase.map(phase_text);
                    json!({ "number": number, "why": why })
                });
                (self.notify_dispatcher)(FromFleet::Rules { number, text: text.into() });
            }
            Effect::MemberChanged { who, state, incarnation } => {
                let name = self.member_name(who);
                // Suspicions are not logged: most are refuted, and with many members there is always one.
                let is_reachable = matches!(state, MemberState::Alive | MemberState::Suspect);
                let peer = self.peers.get_mut(&who);
                if peer.is_some_and(|peer| {
                    std::mem::replace(&mut peer.is_reachable, is_reachable) != is_reachable
                }) {
                    (self.log)(&format!(
                        "fleet: {name} {}",
                        if is_reachable { "is reachable" } else { unreachable_text(state) }
                    ));
                }
                let state = member_state_text(state);
                let values = json!({ "who": name, "standing": state, "sinc": incarnation.0 });
                self.events.write_event(now, "member", |_| values);
            }
            Effect::LinksDegraded(is_degraded) => {
                (self.log)(if is_degraded {
                    "fleet: most members do not answer this dispatcher: its own links are degraded; check its network"
                } else {
                    "fleet: this dispatcher's own links have recovered"
                });
                self.events.write_event(now, "own-trouble", |_| json!({ "trouble": is_degraded }));
            }
            Effect::SteppedDown => {
                (self.log)(
                    "fleet: a newer process uses this one's name; this one no longer takes part: stop it, or give it a \
                     unique name",
                );
                self.events.write_event(now, "stepped-down", |_| json!({}));
            }
            Effect::FeedDelivered { source, incarnation, number, is_state } => {
                self.log_feed_delivery(now, source, incarnation, number, is_state);
            }
            Effect::Log(line) => (self.log)(&line),
        }
    }

    fn apply_follower_effect(&mut self, now: Time, effect: feed::Effect) {
        match effect {
            feed::Effect::Send { to, message } => self.send(now, to, &Message::Feed(message)),
            feed::Effect::Deliver { source, incarnation, number, .. } => {
                self.log_feed_delivery(now, source, incarnation, number, false);
            }
            feed::Effect::State { source, incarnation, up_to, .. } => {
                self.log_feed_delivery(now, source, incarnation, up_to, true);
            }
            feed::Effect::Log(line) => (self.log)(&line),
        }
    }

    fn log_feed_delivery(
        &mut self,
        now: Time,
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        state: bool,
    ) {
        if self.events.is_on() {
            let values = json!({ "source": self.member_name(source), "sinc": incarnation.0, "n": number });
            self.events.write_event(now, if state { "state" } else { "deliver" }, |_| values);
        }
    }

    fn announce_allowance(&mut self, now: Time, key: LimitKey, part: Allowance) {
        self.last_allowance_number += 1;
        let Allowance { amount, until, after } = part;
        if self.allowances.len() >= MAX_ALLOWANCES && !self.allowances.contains_key(&key) {
            // Dropping a cold host with an expired allowance is safe: its next allowance is announced again.
            let expired = self
                .allowances
                .iter()
                .find(|(key, (_, part))| matches!(key, LimitKey::ColdHost(_)) && part.until <= now);
            if let Some(expired) = expired.map(|(key, _)| *key) {
                self.allowances.remove(&expired);
            }
        }
        if self.allowances.len() < MAX_ALLOWANCES || self.allowances.contains_key(&key) {
            self.allowances.insert(key, (self.last_allowance_number, part));
        }
        self.events.write_event(now, "part", |clock| {
            let until = clock.unix(until);
            json!({ "key": key_name(key), "amount": amount, "until": until, "after": after })
        });
        let (number, until) = (self.last_allowance_number, self.clock.instant(until));
        (self.notify_dispatcher)(FromFleet::Allowance { key, number, amount, until, after });
    }

    fn send(&mut self, now: Time, to: MemberId, message: &Message) {
        if let Some((kind, payload)) = encode_message(message) {
            self.send_payload(now, to, kind, &payload);
        }
    }

    fn send_payload(&mut self, now: Time, to: MemberId, kind: u8, payload: &[u8]) {
        let guest = || self.delivery.as_ref().and_then(|delivery| delivery.guest(to));
        let Some(peer) = self.peers.get(&to).or_else(guest) else { return };
        let envelope = Envelope {
            newest_form: self.form,
            fleet: &self.fleet,
            sender: self.me,
            incarnation: self.incarnation,
            location: Some(LocationByte::of(self.location)),
            kind,
            payload,
        };
        match link::encode(link::form_for(self.form, peer.newest_form), &envelope) {
            // Losses are tolerated: the protocols repeat their messages.
            Some(bytes) => (self.send_datagram)(&bytes, peer.address),
            None => self.reject(now, LinkError::OutgoingTooLong, Source::Listed(self.me)),
        }
    }

    fn answer_control(&mut self, now: Time, request: ControlRequest) -> Answer {
        let order = match request {
            ControlRequest::Status => return (200, self.status(now).to_string() + "\n"),
            ControlRequest::Order(order) => order,
        };
        let Role::Member(fleet) = &mut self.role else {
            return (404, "a follower takes no orders\n".to_owned());
        };
        match fleet.order(now, order) {
            None => (400, "rollouts are disabled here; add fleet.rollout to the settings\n".to_owned()),
            Some(Err(error)) => (400, format!("{}: {error}\n", error.code())),
            Some(Ok(())) => (200, self.status(now).to_string() + "\n"),
        }
    }

    fn status(&self, now: Time) -> Value {
        let delivery = self.delivery.as_ref().map(|delivery| delivery.status(|id| self.member_name(id)));
        let Role::Member(fleet) = &self.role else {
            return json!({ "fleet": self.fleet, "me": self.events.me, "inc": self.incarnation.0,
                "refused": self.rejections.total, "delivery": delivery });
        };
        let members: Vec<Value> = fleet
            .members()
            .listed()
            .map(|(id, location)| {
                let state = fleet.members().state(id).map(member_state_text);
                let inc = fleet.members().incarnation(id).map(|incarnation| incarnation.0);
                json!({ "name": self.member_name(id), "location": location.0, "standing": state, "inc": inc })
            })
            .collect();
        let parts = self.allowances.iter().map(|(key, (_, part))| {
            let left_ms = (part.until - now).0 / 1000;
            json!({ "key": key_name(*key), "amount": part.at(now), "left_ms": left_ms, "after": part.after })
        });
        let feed = fleet.feed().map(|feed| {
            let (about, (items, bytes, ..)) = (feed.load(), feed.size());
            let carried = feed.carried_followers().map(|(id, slow)| json!({ "name": self.member_name(id), "slow": slow }));
            json!({ "lag_ms": about.lag.0 / 1000, "carried": carried.collect::<Vec<_>>(), "moves": feed.completed_moves(),
                    "items": items, "bytes": bytes })
        });
        let rollout = fleet.rollout().map(|rollout| {
            let status = rollout.status();
            let halt = status.halt.map(|halt| json!({ "by": self.member_name(halt.by), "why": halt.why }));
            let phase = phase_text(status.step.phase);
            json!({
                "number": status.step.version.number, "phase": phase, "stage": status.step.stage,
                "stages": status.stages, "in_force": status.in_force, "base": status.step.base.number,
                "may_come": status.unconfirmed_step.map(|step| step.version.number), "halt": halt,
                "runner": status.runner.map(|id| self.member_name(id)), "able": status.is_able, "waits": status.waiting_for,
            })
        });
        json!({
            "fleet": self.fleet, "me": self.events.me, "inc": self.incarnation.0,
            "own_trouble": fleet.members().are_links_degraded(), "stepped_down": fleet.has_stepped_down(),
            "refused": self.rejections.total, "members": members, "limits": parts.collect::<Vec<_>>(),
            "feed": feed, "rollout": rollout, "delivery": delivery,
        })
    }
}
