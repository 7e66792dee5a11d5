//! Shared capacity limits: the number of connections to hosts, and the bytes of answers held in memory.
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// A shared count of reserved units, such as bytes or answers.
#[derive(Clone, Debug, Default)]
pub struct Gauge(Arc<AtomicUsize>);

/// Units reserved from a [`Gauge`], released on drop.
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

impl Reservation {
    pub fn amount(&self) -> usize {
        self.1
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(self.1, Relaxed);
    }
}

/// The limits that all hosts share.
#[derive(Clone, Debug)]
pub struct HostCapacity {
    max_connections: usize,
    max_answer_bytes: usize,
    hosts: Gauge,
    open_connections: Gauge,
    answer_bytes: Gauge,
}

impl HostCapacity {
    pub fn new(max_connections: usize, max_answer_bytes: usize) -> HostCapacity {
        HostCapacity {
            max_connections,
            max_answer_bytes,
            hosts: Gauge::default(),
            open_connections: Gauge::default(),
            answer_bytes: Gauge::default(),
        }
    }

    /// Counts one more host until the reservation is dropped.
    pub fn add_host(&self) -> Reservation {
        self.hosts.reserve(1)
    }

    /// Reserves a connection, unless all are in use.
    pub fn reserve_connection(&self) -> Option<Reservation> {
        (self.open_connections.amount() < self.max_connections).then(|| self.open_connections.reserve(1))
    }

    /// The number of connections each host may have, so that none starves another.
    pub fn connections_per_host(&self) -> usize {
        (self.max_connections / self.hosts.amount().max(1)).max(1)
    }

    /// Reserves an answer's bytes, from when they are read until they are written to the client or dropped.
    pub fn reserve_answer(&self, bytes: usize) -> Reservation {
        self.answer_bytes.reserve(bytes)
    }

    /// Whether the answers held exceed the limit; reading from hosts pauses while they do.
    pub fn is_full(&self) -> bool {
        self.answer_bytes.amount() > self.max_answer_bytes
    }
}
