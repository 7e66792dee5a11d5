//! Faulty links: for each ordered pair of processes a stand-in that passes datagrams on, cuts, holds, loses, repeats,
//! delays (and so reorders) and throttles them.
use crate::notes::now;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    /// Held until this ends.
    pub stall: bool,
    pub lost: f64,
    pub twice: f64,
    /// Milliseconds, least and most.
    pub delay: [f64; 2],
    /// Datagrams a second; none: no bound.
    pub most: Option<f64>,
}

pub struct Link {
    pub address: SocketAddr,
    way: Arc<Mutex<Way>>,
    ended: Arc<AtomicBool>,
    pub passed: Arc<AtomicU64>,
}

const DATAGRAM: usize = 65_536;
const LOOK: Duration = Duration::from_millis(2);
/// More than this isn't held; what comes then is lost.
const HELD_MOST: usize = 20_000;

impl Link {
    pub fn start(to: SocketAddr, seed: u64) -> io::Result<Link> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(LOOK))?;
        let link = Link {
            address: socket.local_addr()?,
            way: Arc::default(),
            ended: Arc::default(),
            passed: Arc::default(),
        };
        let (way, ended, passed) = (link.way.clone(), link.ended.clone(), link.passed.clone());
        std::thread::spawn(move || run(&socket, to, seed, &way, &ended, &passed));
        Ok(link)
    }

    pub fn change(&self, change: impl FnOnce(&mut Way)) {
        change(&mut self.way.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.ended.store(true, SeqCst);
    }
}

fn run(
    socket: &UdpSocket,
    to: SocketAddr,
    seed: u64,
    way: &Mutex<Way>,
    ended: &AtomicBool,
    passed: &AtomicU64,
) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut held: BTreeMap<(u64, u64), Vec<u8>> = BTreeMap::new();
    let (mut number, mut free) = (0, 0);
    let mut bytes = vec![0; DATAGRAM];
    while !ended.load(SeqCst) {
        let found = socket.recv(&mut bytes).ok();
        let way = *way.lock().unwrap_or_else(PoisonError::into_inner);
        let at = now();
        if let Some(length) = found.filter(|_| !way.cut && held.len() < HELD_MOST) {
            let times = if chance.gen_bool(way.lost) { 0 } else { 1 + u32::from(chance.gen_bool(way.twice)) };
            for _ in 0..times {
                let [least, most] = way.delay;
                let wait = (chance.gen_range(least..=most.max(least)) * 1e3) as u64;
                let mut due = at + wait;
                if let Some(most) = way.most {
                    free = due.max(free) + (1e6 / most.max(0.1)) as u64;
                    due = free;
                }
                number += 1;
                held.insert((due, number), bytes[..length].to_vec());
            }
        }
        while let Some(first) = held.first_entry().filter(|first| !way.stall && first.key().0 <= at) {
            let datagram = first.remove();
            if !way.cut && socket.send_to(&datagram, to).is_ok() {
                passed.fetch_add(1, SeqCst);
            }
        }
    }
}
