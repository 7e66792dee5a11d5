//! Faulty links: one UDP relay per ordered pair of processes that can cut, hold, lose, duplicate, delay (and
//! so reorder) and throttle datagrams.
use crate::notes::unix_micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The active faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    pub is_cut: bool,
    /// Datagrams are held until this ends.
    pub is_stalled: bool,
    pub loss_rate: f64,
    pub duplication_rate: f64,
    /// Minimum and maximum.
    pub delay_ms: [f64; 2],
    /// Maximum number of datagrams per second.
    pub max_per_s: Option<f64>,
}

/// A relay for datagrams to one process.
pub struct Link {
    pub address: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    is_stopped: Arc<AtomicBool>,
    pub forwarded: Arc<AtomicU64>,
}

const MAX_DATAGRAM_BYTES: usize = 65_536;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of held datagrams; further ones are dropped.
const MAX_HELD_DATAGRAMS: usize = 20_000;

impl Link {
    pub fn start(to: SocketAddr, seed: u64) -> io::Result<Link> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let link = Link {
            address: socket.local_addr()?,
            faults: Arc::default(),
            is_stopped: Arc::default(),
            forwarded: Arc::default(),
        };
        let (faults, is_stopped, forwarded) =
            (link.faults.clone(), link.is_stopped.clone(), link.forwarded.clone());
        std::thread::spawn(move || forward(&socket, to, seed, &faults, &is_stopped, &forwarded));
        Ok(link)
    }

    pub fn change_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.is_stopped.store(true, SeqCst);
    }
}

fn forward(
    socket: &UdpSocket,
    to: SocketAddr,
    seed: u64,
    faults: &Mutex<LinkFaults>,
    is_stopped: &AtomicBool,
    forwarded: &AtomicU64,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut held: BTreeMap<(u64, u64), Vec<u8>> = BTreeMap::new();
    let (mut number, mut free) = (0, 0);
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    while !is_stopped.load(SeqCst) {
        let found = socket.recv(&mut bytes).ok();
        let faults = *faults.lock().unwrap_or_else(PoisonError::into_inner);
        let at = unix_micros();
        if let Some(length) = found.filter(|_| !faults.is_cut && held.len() < MAX_HELD_DATAGRAMS) {
            let times = if rng.gen_bool(faults.loss_rate) {
                0
            } else {
                1 + u32::from(rng.gen_bool(faults.duplication_rate))
            };
            for _ in 0..times {
                let [least, most] = faults.delay_ms;
                let wait = (rng.gen_range(least..=most.max(least)) * 1e3) as u64;
                let mut due = at + wait;
                if let Some(most) = faults.max_per_s {
                    free = due.max(free) + (1e6 / most.max(0.1)) as u64;
                    due = free;
                }
                number += 1;
                held.insert((due, number), bytes[..length].to_vec());
            }
        }
        while let Some(first) = held.first_entry().filter(|first| !faults.is_stalled && first.key().0 <= at) {
            let datagram = first.remove();
            if !faults.is_cut && socket.send_to(&datagram, to).is_ok() {
                forwarded.fetch_add(1, SeqCst);
            }
        }
    }
}
