//! What connections share: places for connections to hosts, and room for the bytes of answers.
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// A count of bytes or answers that are held somewhere.
#[derive(Clone, Debug, Default)]
pub struct Gauge(Arc<AtomicUsize>);

/// A part of a gauge, given back when it is dropped.
#[derive(Debug)]
pub struct Reservation(Gauge, usize);

impl Gauge {
    pub fn reserve(&self, amount: usize) -> Reservation {
        self.0.fetch_add(amount, Relaxed);
        Reservation(self.clone(), amount)
    }

    pub fn amount(&self) -> usize {
        self.0.load(Relaxed)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(self.1, Relaxed);
    }
}

/// What all hosts share.
#[derive(Clone, Debug)]
pub struct HostCapacity {
    max_connections: usize,
    max_answer_bytes: usize,
    hosts: Gauge,
    open_connections: Gauge,
    answer_bytes: Gauge,
}

impl HostCapacity {
    pub fn new(connections: usize, most: usize) -> HostCapacity {
        HostCapacity {
            max_connections: connections,
            max_answer_bytes: most,
            hosts: Gauge::default(),
            open_connections: Gauge::default(),
            answer_bytes: Gauge::default(),
        }
    }

    /// One more host, for as long as what is returned is kept.
    pub fn add_host(&self) -> Reservation {
        self.hosts.reserve(1)
    }

    /// A place for one more connection, held as long as what is returned is kept.
    pub fn reserve_connection(&self) -> Option<Reservation> {
        (self.open_connections.amount() < self.max_connections).then(|| self.open_connections.reserve(1))
    }

    /// How many connections each host may have, so that none takes the last from another.
    pub fn connections_per_host(&self) -> usize {
        (self.max_connections / self.hosts.amount().max(1)).max(1)
    }

    /// An answer's bytes, from when they were read until they are written to the client or dropped.
    pub fn reserve_answer(&self, bytes: usize) -> Reservation {
        self.answer_bytes.reserve(bytes)
    }

    pub fn is_full(&self) -> bool {
        self.answer_bytes.amount() > self.max_answer_bytes
    }
}
