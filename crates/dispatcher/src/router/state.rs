//! The router's state: clients, open visits, hand-offs in flight, hosts and timers.
use super::departed_ids::DepartedIds;
use crate::attempt_log::AttemptLog;
use crate::cancellation::CancelToken;
use crate::capacity::{Gauge, HostCapacity, Reservation};
use crate::change_clock::ChangeClock;
use crate::change_log_lease::ChangeLogLease;
use crate::clients::{Outlet, Shutdown};
use crate::clock;
use crate::config::Config;
use crate::durable_state::StateRecorder;
use crate::fleet_connection::FleetConnection;
use crate::host_list::HostList;
use crate::host_messages::{HandOff, HostMailbox, SendState};
use crate::hosts::Hosts;
use crate::ids::{ClientId, HandOffId, ProbeId, Txn};
use crate::inbox::Input;
use crate::latency::Latencies;
use crate::msgpack::VisitRequest;
use cherrypass::calls::{Fill, Outcome};
use cherrypass::containers::{TimerKey, TimerQueue};
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::{ClassId, HostId, VisitId};
use cherrypass::time::{Span, Time};
use crossbeam_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How often the router runs its periodic checks.
pub(super) const SWEEP_INTERVAL: Span = Span::millis(250);

/// What a timer triggers.
pub(super) enum Timer {
    /// The decision module asked to be called.
    Wake,
    AnswerTimeout(HandOffId),
    ConnectTimeout(HandOffId),
    /// The hand-off, which was held back for unread input of its client, is sent again.
    SendHeldBack(HandOffId),
    /// Purges that may not have been read have to be obeyed.
    ChangesAnnounced,
    /// The hand-off must not be sent any more if it has not been started.
    LatestStart(HandOffId),
    ProbeTimeout(ProbeId),
    Sweep,
    CloseConnections,
}

/// A client connection.
pub(super) struct Client {
    pub(super) outlet: Outlet,
    /// Open visits by request id.
    pub(super) open_visits: BTreeMap<u32, VisitId>,
    /// Bytes of answers that are not written yet.
    pub(super) unread_bytes: Gauge,
}

/// A visit that has no final answer yet.
pub(super) struct OpenVisit {
    pub(super) client: ClientId,
    pub(super) request_id: u32,
    pub(super) class: ClassId,
    pub(super) request: VisitRequest,
    pub(super) received_at: Time,
    /// When the event was read that the next hand-off follows on.
    pub(super) last_event_at: Time,
    pub(super) hand_off_count: u8,
    pub(super) in_use: Reservation,
    pub(super) cancel: CancelToken,
}

impl OpenVisit {
    /// What identifies the visit across retries.
    pub(super) fn key(&self) -> &[u8] {
        self.request.dedup_key.as_ref().unwrap_or(&self.request.txn)
    }

    /// When the client stops waiting.
    pub(super) fn deadline(&self) -> Time {
        self.received_at + self.request.time_limit
    }
}

/// A hand-off that has not ended.
pub(super) struct PendingHandOff {
    pub(super) host: HostId,
    pub(super) mailbox: HostMailbox,
    pub(super) decided_at: Time,
    pub(super) sent_at: Time,
    /// When the event was read that led to the hand-off.
    pub(super) triggered_at: Time,
    pub(super) send_state: SendState,
    pub(super) fill: Option<Fill>,
    /// The outcome with which the hand-off ends once its cancel has been sent.
    pub(super) cancelled_as: Option<Outcome>,
    /// The hand-off to send once its record is stored, or its client's input was read.
    pub(super) held_back: Option<Box<HandOff>>,
    /// Timers of the hand-off, which are of no use once it has ended.
    pub(super) timers: HandOffTimers,
}

/// The timers that a hand-off has while it is pending.
#[derive(Default)]
pub(super) struct HandOffTimers {
    pub(super) answer_timeout: Option<TimerKey>,
    pub(super) latest_start: Option<TimerKey>,
    pub(super) connect_timeout: Option<TimerKey>,
}

impl HandOffTimers {
    fn cancel(self, queue: &mut TimerQueue<Timer>) {
        let timers = [self.answer_timeout, self.latest_start, self.connect_timeout];
        timers.into_iter().flatten().for_each(|timer| queue.cancel(timer));
    }
}

/// A listed host.
pub(super) struct HostEntry {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) started: Option<Time>,
    pub(super) mailbox: HostMailbox,
}

/// The actor that connects clients and hosts to the decision module.
pub struct Router {
    pub(super) config: Config,
    pub(super) engine: DecisionEngine,
    /// From hosts, the change log and signals; and from clients.
    pub(super) mailboxes: [Receiver<Input>; 2],
    pub(super) host_actors: Hosts,
    /// Memory held by open visits, and by answers that are not written yet.
    pub(super) open_visit_bytes: usize,
    pub(super) unread_bytes: Gauge,
    pub(super) timers: TimerQueue<Timer>,
    pub(super) clients: BTreeMap<ClientId, Client>,
    pub(super) visits: BTreeMap<VisitId, OpenVisit>,
    /// Transaction ids of open visits.
    pub(super) txns: BTreeMap<Txn, ClientId>,
    pub(super) departed_ids: DepartedIds,
    pub(super) hand_offs: BTreeMap<HandOffId, PendingHandOff>,
    pub(super) hosts: BTreeMap<HostId, HostEntry>,
    pub(super) list: HostList,
    /// Load probes without an answer.
    pub(super) probes: BTreeMap<ProbeId, HostId>,
    pub(super) last_probe_id: u64,
    pub(super) next_visit_id: u32,
    /// When shutdown began.
    pub(super) stopping_since: Option<Time>,
    pub(super) shutdown: Arc<Shutdown>,
    pub latencies: Arc<Latencies>,
    pub(super) sweep_count: u32,
    pub(super) is_done: bool,
    pub(super) recorder: Option<StateRecorder>,
    /// The connection to other dispatchers, if any are configured.
    pub(super) fleet_connection: Option<FleetConnection>,
    pub(super) attempt_log: AttemptLog,
    pub(super) change_clock: ChangeClock,
    /// Valid while the list and the purges are recent enough to decide by.
    pub(super) lease: ChangeLogLease,
    /// Whether the age of copies is limited by purges that may not have been read.
    pub(super) is_copy_age_limited: bool,
}

impl Router {
    /// Takes a hand-off that has ended out of the pending ones.
    pub(super) fn remove_hand_off(&mut self, id: HandOffId) -> Option<PendingHandOff> {
        let mut pending = self.hand_offs.remove(&id)?;
        std::mem::take(&mut pending.timers).cancel(&mut self.timers);
        Some(pending)
    }

    /// Creates the router and starts the host actors, which answer through `sender`.
    pub fn new(
        config: Config,
        sender: Sender<Input>,
        mailboxes: [Receiver<Input>; 2],
        shutdown: Arc<Shutdown>,
    ) -> std::io::Result<Router> {
        let now = clock::now();
        let capacity = HostCapacity::new(config.host_connections.max_connections, config.max_answer_bytes);
        let engine = DecisionEngine::new(config.settings.clone(), config.seed, now);
        let mut timers = TimerQueue::default();
        timers.push(now + SWEEP_INTERVAL, Timer::Sweep);
        let lease = ChangeLogLease::new(config.change_log_lease);
        let host_actors = Hosts::start(config.host_connections, capacity, sender, lease.clone())?;
        let departed_ids = DepartedIds::new(config.max_departed_ids);
        let settings = &config.settings;
        let list =
            HostList::new(settings.cold_cache.ramp.max(settings.cold_parent.ramp), settings.has_weights);
        Ok(Router {
            config,
            engine,
            mailboxes,
            host_actors,
            open_visit_bytes: 0,
            unread_bytes: Gauge::default(),
            timers,
            clients: BTreeMap::new(),
            visits: BTreeMap::new(),
            txns: BTreeMap::new(),
            departed_ids,
            hand_offs: BTreeMap::new(),
            hosts: BTreeMap::new(),
            list,
            probes: BTreeMap::new(),
            last_probe_id: 0,
            next_visit_id: 0,
            stopping_since: None,
            shutdown,
            latencies: Arc::default(),
            sweep_count: 0,
            is_done: false,
            recorder: None,
            fleet_connection: None,
            attempt_log: AttemptLog::default(),
            change_clock: ChangeClock::default(),
            lease,
            is_copy_age_limited: false,
        })
    }
}
