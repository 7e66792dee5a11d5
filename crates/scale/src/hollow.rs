//! A hollow dispatcher: a member with all rooms by the product's own code, on a socket of its own, that tells its fleet
//! what a dispatcher without clients tells. It has no clients, no connections to hosts, no module and no disk.
use crate::error::{doing, Error};
use crate::network::Network;
use crate::rooms::{FURTHER_EACH, ORIGIN_EACH};
use crate::traffic::{self, Tally, Way, With};
use cherrypass::ids::HostId;
use cherrypass::time::Span;
use cherrypass_peers::driven::Driven;
use cherrypass_peers::{Figures, Finding, FindingKind, FromFleet, LimitKey, Set, ToFleet, UsedBy};
use crossbeam_channel::{Receiver, Sender};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often a dispatcher tells its fleet all that holds, and at how many of those what it used and counted.
const TELLS: Duration = Duration::from_millis(250);
const A_SECOND: u64 = 4;
/// Datagrams read from one socket before others have their turn.
const DATAGRAMS_A_TURN: usize = 64;
/// Evidence of a made-up finding.
const EVIDENCE: u32 = 20;

/// What all hollow dispatchers of a run share.
pub struct Common {
    pub network: Network,
    /// What hollow dispatchers exchanged with each real one, seen from that one.
    pub real: Vec<Tally>,
    /// Thousandths of hollow dispatchers that want more than their shares.
    pub wanting: AtomicU64,
    pub ended: AtomicBool,
    pub hosts: usize,
    pub fleet: String,
}

/// A hollow dispatcher.
pub struct Hollow {
    driven: Driven,
    socket: Arc<UdpSocket>,
    common: Arc<Common>,
    pub tally: Arc<Tally>,
    told: Receiver<FromFleet>,
    region: usize,
    /// Its place among a thousand: it wants more where that is below `Common::wanting`.
    thousandth: u64,
    next: Instant,
    rounds: u64,
}

impl Common {
    /// Counts a message of a hollow dispatcher, and where it is exchanged with a real one, for that one too: the way it
    /// went is the other one's other way.
    fn count(&self, own: &Tally, real: Option<usize>, way: Way, bytes: &[u8]) {
        let Some(kind) = traffic::kind(bytes, &self.fleet) else { return };
        own.count(if real.is_some() { With::Real } else { With::Hollow }, way, kind, bytes.len());
        if let Some(real) = real.and_then(|real| self.real.get(real)) {
            real.count(With::Hollow, way.turned(), kind, bytes.len());
        }
    }
}

impl Hollow {
    /// `socket` is bound to the set's `listen`.
    pub fn start(
        set: Set,
        socket: UdpSocket,
        region: usize,
        place: usize,
        common: Arc<Common>,
    ) -> Result<Hollow, Error> {
        socket.set_nonblocking(true).map_err(doing("a hollow dispatcher's socket"))?;
        let (socket, tally) = (Arc::new(socket), Arc::new(Tally::default()));
        let (tell, told): (Sender<FromFleet>, _) = crossbeam_channel::unbounded();
        let (sends, counts, shared) = (socket.clone(), tally.clone(), common.clone());
        let out = move |bytes: &[u8], to| {
            let Some(behind) = shared.network.passes(region, to) else { return };
            shared.count(&counts, behind.real, Way::Out, bytes);
            let _ = sends.send_to(bytes, to);
        };
        let driven = Driven::start(set, out, move |what| drop(tell.send(what)), |_| {})?;
        let thousandth = (place as u64).wrapping_mul(617) % 1000;
        // Dispatchers don't all tell at the same time.
        let next = Instant::now() + TELLS.mul_f64(thousandth as f64 / 1000.0);
        let mut hollow = Hollow { driven, socket, common, tally, told, region, thousandth, next, rounds: 0 };
        for host in 0..hollow.common.hosts {
            let host = HostId(host as u64);
            hollow.driven.told(ToFleet::Listed { host, since: None, used_by: UsedBy::All });
        }
        Ok(hollow)
    }

    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    pub fn due(&self) -> Instant {
        self.driven.due().min(self.next)
    }

    /// Reads what came, up to a bound; what is left is told again by the poll.
    pub fn came(&mut self, bytes: &mut [u8]) {
        for _ in 0..DATAGRAMS_A_TURN {
            let Ok((length, from)) = self.socket.recv_from(bytes) else { return };
            let Some(behind) = self.common.network.passes(self.region, from) else { continue };
            self.common.count(&self.tally, behind.real, Way::In, &bytes[..length]);
            self.driven.datagram(&bytes[..length], from);
            self.answer();
        }
    }

    pub fn woken(&mut self) {
        self.driven.woken();
        let now = Instant::now();
        if now >= self.next {
            self.next = now.max(self.next + TELLS);
            self.tell();
        }
        self.answer();
    }

    /// What was told is in force at once.
    fn answer(&mut self) {
        while let Ok(what) = self.told.try_recv() {
            if let FromFleet::Part { key, number, .. } = what {
                self.driven.told(ToFleet::Taken { key, number });
            }
        }
    }

    /// What a dispatcher tells its fleet all the time.
    fn tell(&mut self) {
        self.rounds += 1;
        let wants = self.thousandth < self.common.wanting.load(Relaxed);
        for (key, share) in [(LimitKey::Origin, ORIGIN_EACH), (LimitKey::Retries, FURTHER_EACH)] {
            let amount = if wants { 2.0 * share } else { 0.0 };
            self.driven.told(ToFleet::Wants { key, amount });
        }
        if self.rounds.is_multiple_of(A_SECOND) {
            self.driven.told(ToFleet::Counted(Figures::default()));
        }
    }

    /// It finds a host bad, by made-up evidence.
    pub fn find(&mut self, host: u64) {
        let finding = Finding {
            host: HostId(host),
            since: None,
            kind: FindingKind::Failing,
            evidence: EVIDENCE,
            age: Span::ZERO,
        };
        self.driven.told(ToFleet::Found(finding));
    }
}
