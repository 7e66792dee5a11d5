//! A simulated dispatcher: a fleet member with its own socket that runs the product's control code with all
//! subsystems enabled. It has no clients, host connections, decision module or store.
use crate::error::{io_error, Error};
use crate::network::Network;
use crate::subsystems::{FURTHER_PER_DISPATCHER, ORIGIN_PER_DISPATCHER};
use crate::traffic::{self, Direction, PeerKind, TrafficCounters};
use cherrypass::ids::HostId;
use cherrypass::time::Span;
use cherrypass_peers::driven::DrivenMember;
use cherrypass_peers::{Figures, Finding, FindingKind, FromFleet, LimitKey, Settings, ToFleet, UsedBy};
use crossbeam_channel::{Receiver, Sender};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval of a dispatcher's periodic reports to its fleet code; every `REPORTS_PER_S`th one includes
/// counters.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const REPORTS_PER_S: u64 = 4;
/// Most datagrams read from one socket per turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Evidence count of a synthetic finding.
const FINDING_EVIDENCE: u32 = 20;

/// State shared by all simulated dispatchers of a run.
pub struct Shared {
    pub network: Network,
    /// Traffic of each real dispatcher with simulated ones, counted by the latter.
    pub real_counters: Vec<TrafficCounters>,
    /// How many simulated dispatchers in a thousand ask for more than their share of the limits.
    pub demanding_per_mille: AtomicU64,
    pub is_stopping: AtomicBool,
    pub host_count: usize,
    pub fleet_name: String,
}

/// See the module's description.
pub struct SimulatedDispatcher {
    driven: DrivenMember,
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
    pub counters: Arc<TrafficCounters>,
    from_fleet: Receiver<FromFleet>,
    region: usize,
    /// A number below 1,000; the dispatcher asks for more than its share while this is below
    /// `Shared::demanding_per_mille`.
    per_mille_index: u64,
    next_report: Instant,
    reports: u64,
}

impl Shared {
    /// Counts a message of a simulated dispatcher and, if the peer is a real one, counts it there too in the
    /// opposite direction.
    fn count(&self, own: &TrafficCounters, real_index: Option<usize>, direction: Direction, bytes: &[u8]) {
        let Some(kind) = traffic::message_kind(bytes, &self.fleet_name) else { return };
        own.count(
            if real_index.is_some() { PeerKind::Real } else { PeerKind::Simulated },
            direction,
            kind,
            bytes.len(),
        );
        if let Some(real) = real_index.and_then(|index| self.real_counters.get(index)) {
            real.count(PeerKind::Simulated, direction.reversed(), kind, bytes.len());
        }
    }
}

impl SimulatedDispatcher {
    /// `socket` must be bound to the settings' `listen` address.
    pub fn start(
        settings: Settings,
        socket: UdpSocket,
        region: usize,
        index: usize,
        shared: Arc<Shared>,
    ) -> Result<SimulatedDispatcher, Error> {
        socket.set_nonblocking(true).map_err(io_error("a simulated dispatcher's socket"))?;
        let (socket, counters) = (Arc::new(socket), Arc::new(TrafficCounters::default()));
        let (to_dispatcher, from_fleet): (Sender<FromFleet>, _) = crossbeam_channel::unbounded();
        let (send_socket, send_counters, shared_state) = (socket.clone(), counters.clone(), shared.clone());
        let out = move |bytes: &[u8], to| {
            let Some(endpoint) = shared_state.network.reachable_endpoint(region, to) else { return };
            shared_state.count(&send_counters, endpoint.real_index, Direction::Out, bytes);
            let _ = send_socket.send_to(bytes, to);
        };
        let driven =
            DrivenMember::start(settings, out, move |event| drop(to_dispatcher.send(event)), |_| {})?;
        let per_mille_index = (index as u64).wrapping_mul(617) % 1000;
        // Spread the reports of different dispatchers over the interval.
        let next_report = Instant::now() + REPORT_INTERVAL.mul_f64(per_mille_index as f64 / 1000.0);
        let mut simulated = SimulatedDispatcher {
            driven,
            socket,
            shared,
            counters,
            from_fleet,
            region,
            per_mille_index,
            next_report,
            reports: 0,
        };
        for host in 0..simulated.shared.host_count {
            let host = HostId(host as u64);
            simulated.driven.handle_dispatcher_message(ToFleet::HostListed {
                host,
                started_at: None,
                used_by: UsedBy::All,
            });
        }
        Ok(simulated)
    }

    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// When `run_timers` is due next.
    pub fn due(&self) -> Instant {
        self.driven.next_tick().min(self.next_report)
    }

    /// Reads up to `MAX_DATAGRAMS_PER_TURN` datagrams; `epoll` reports the socket again if more are left.
    pub fn receive(&mut self, bytes: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, from)) = self.socket.recv_from(bytes) else { return };
            let Some(endpoint) = self.shared.network.reachable_endpoint(self.region, from) else { continue };
            self.shared.count(&self.counters, endpoint.real_index, Direction::In, &bytes[..length]);
            self.driven.handle_datagram(&bytes[..length], from);
            self.confirm_shares();
        }
    }

    /// Runs the fleet timers and the periodic report that are due.
    pub fn run_timers(&mut self) {
        self.driven.tick();
        let now = Instant::now();
        if now >= self.next_report {
            self.next_report = now.max(self.next_report + REPORT_INTERVAL);
            self.report();
        }
        self.confirm_shares();
    }

    /// Confirms new shares of limits immediately.
    fn confirm_shares(&mut self) {
        while let Ok(event) = self.from_fleet.try_recv() {
            if let FromFleet::Allowance { key, number, .. } = event {
                self.driven.handle_dispatcher_message(ToFleet::AllowanceApplied { key, number });
            }
        }
    }

    /// Sends a dispatcher's periodic reports.
    fn report(&mut self) {
        self.reports += 1;
        let is_demanding = self.per_mille_index < self.shared.demanding_per_mille.load(Relaxed);
        for (key, share) in
            [(LimitKey::Origin, ORIGIN_PER_DISPATCHER), (LimitKey::Retries, FURTHER_PER_DISPATCHER)]
        {
            let amount = if is_demanding { 2.0 * share } else { 0.0 };
            self.driven.handle_dispatcher_message(ToFleet::Demand { key, amount });
        }
        if self.reports.is_multiple_of(REPORTS_PER_S) {
            self.driven.handle_dispatcher_message(ToFleet::Figures(Figures::default()));
        }
    }

    /// Reports a synthetic finding that a host is bad.
    pub fn report_finding(&mut self, host: u64) {
        let finding = Finding {
            host: HostId(host),
            started_at: None,
            kind: FindingKind::Failing,
            evidence: FINDING_EVIDENCE,
            age: Span::ZERO,
        };
        self.driven.handle_dispatcher_message(ToFleet::Finding(finding));
    }
}
