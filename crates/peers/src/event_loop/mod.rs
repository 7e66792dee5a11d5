//! The fleet's event loop: handles inputs from the socket reader, the dispatcher, the store and the control
//! listener, runs the periodic timer, and applies the effects that the protocols return.
mod datagrams;
mod dispatcher;
mod effects;
mod messages;
mod status;
mod texts;

pub use datagrams::receive_datagrams;

use crate::clock::Clock;
use crate::control::{Answer, ControlRequest};
use crate::delivery::Delivery;
use crate::events::{Events, Log};
use crate::link;
use crate::rejection_log::RejectionLog;
use crate::rollout_store::RolloutStore;
use crate::{FromFleet, ToFleet};
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::feed::Follower;
use cherrypass_fleet::limits::{Allowance, LimitKey};
use cherrypass_fleet::node::FleetNode;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

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

    fn member_name(&self, id: MemberId) -> String {
        let known = self.peers.get(&id).map(|peer| peer.name.clone());
        known.unwrap_or_else(|| if id == self.me { self.events.me.clone() } else { format!("{:x}", id.0) })
    }
}
