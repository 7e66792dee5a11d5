//! A follower's UDP socket with fault injection in both directions.
use super::clock::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// Direction in which a fault applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    #[default]
    Both,
    ToCarriers,
    FromCarriers,
}

/// The effect of a fault on datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum LinkEffect {
    /// This fraction is lost; 1 drops all.
    Lose(f64),
    /// Each is delayed by a random time between the two, in milliseconds.
    Delay(u64, u64),
    /// All are held back until the end of the fault.
    Stall,
}

/// A link fault and the time span in which it applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkFault {
    pub from: Micros,
    pub until: Micros,
    #[serde(rename = "way")]
    pub direction: Direction,
    /// The affected carrier; `None` affects all.
    pub carrier: Option<SocketAddr>,
    #[serde(rename = "harm")]
    pub effect: LinkEffect,
}

impl LinkFault {
    fn applies(&self, now: Micros, direction: Direction, carrier: SocketAddr) -> bool {
        let is_direction = self.direction == Direction::Both || self.direction == direction;
        let is_carrier = self.carrier.is_none_or(|affected| affected == carrier);
        is_direction && is_carrier && (self.from..self.until).contains(&now)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    due: Micros,
    to_carriers: bool,
    peer: SocketAddr,
    bytes: Vec<u8>,
}

/// A received datagram and its sender.
pub type ReceivedDatagram = (Vec<u8>, SocketAddr);

/// See the module's description.
pub struct Link {
    socket: Arc<UdpSocket>,
    faults: Arc<[LinkFault]>,
    delayed: BinaryHeap<Reverse<DelayedDatagram>>,
    received: VecDeque<ReceivedDatagram>,
    rng: Pcg64Mcg,
    pub messages: u64,
    pub bytes: u64,
}

impl Link {
    pub fn new(socket: Arc<UdpSocket>, faults: Arc<[LinkFault]>, seed: u64) -> Link {
        Link {
            socket,
            faults,
            delayed: BinaryHeap::new(),
            received: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            messages: 0,
            bytes: 0,
        }
    }

    /// Sends a datagram, subject to the faults.
    pub fn send(&mut self, now: Micros, to: SocketAddr, bytes: &[u8]) {
        self.count(bytes.len());
        self.apply_faults(now, Direction::ToCarriers, to, bytes.to_vec());
    }

    /// Reads all datagrams available on the socket.
    pub fn receive(&mut self, now: Micros, buffer: &mut [u8]) {
        while let Ok((length, from)) = self.socket.recv_from(buffer) {
            self.apply_faults(now, Direction::FromCarriers, from, buffer[..length].to_vec());
        }
    }

    /// The next received datagram that is due.
    pub fn next_received(&mut self, now: Micros) -> Option<ReceivedDatagram> {
        while self.delayed.peek().is_some_and(|Reverse(delayed)| delayed.due <= now) {
            let Some(Reverse(delayed)) = self.delayed.pop() else { break };
            self.deliver(delayed);
        }
        let received = self.received.pop_front()?;
        self.count(received.0.len());
        Some(received)
    }

    fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    fn apply_faults(&mut self, now: Micros, direction: Direction, peer: SocketAddr, bytes: Vec<u8>) {
        let mut due = now;
        for fault in self.faults.iter().filter(|fault| fault.applies(now, direction, peer)) {
            match fault.effect {
                LinkEffect::Lose(fraction) if self.rng.gen_bool(fraction.clamp(0.0, 1.0)) => return,
                LinkEffect::Lose(_) => {}
                LinkEffect::Delay(min_ms, max_ms) => {
                    due += 1_000 * self.rng.gen_range(min_ms..=max_ms.max(min_ms))
                }
                LinkEffect::Stall => due = due.max(fault.until),
            }
        }
        let delayed = DelayedDatagram { due, to_carriers: direction == Direction::ToCarriers, peer, bytes };
        match due > now {
            true => self.delayed.push(Reverse(delayed)),
            false => self.deliver(delayed),
        }
    }

    fn deliver(&mut self, delayed: DelayedDatagram) {
        match delayed.to_carriers {
            true => drop(self.socket.send_to(&delayed.bytes, delayed.peer)),
            false => self.received.push_back((delayed.bytes, delayed.peer)),
        }
    }
}
