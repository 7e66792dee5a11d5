//! What connections share: places for connections to hosts, and room for the bytes of answers.
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// A count of bytes or answers that are held somewhere.
#[derive(Clone, Debug, Default)]
pub struct Gauge(Arc<AtomicUsize>);

/// A part of a gauge, given back when it is dropped.
#[derive(Debug)]
pub struct Held(Gauge, usize);

impl Gauge {
    pub fn hold(&self, amount: usize) -> Held {
        self.0.fetch_add(amount, Relaxed);
        Held(self.clone(), amount)
    }

    pub fn amount(&self) -> usize {
        self.0.load(Relaxed)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(self.1, Relaxed);
    }
}

/// What all hosts share.
#[derive(Clone, Debug)]
pub struct Room {
    connections: usize,
    most: usize,
    hosts: Gauge,
    taken: Gauge,
    answers: Gauge,
}

impl Room {
    pub fn new(connections: usize, most: usize) -> Room {
        Room {
            connections,
            most,
            hosts: Gauge::default(),
            taken: Gauge::default(),
            answers: Gauge::default(),
        }
    }

    /// One more host, for as long as what is returned is kept.
    pub fn join(&self) -> Held {
        self.hosts.hold(1)
    }

    /// A place for one more connection, held as long as what is returned is kept.
    pub fn place(&self) -> Option<Held> {
        (self.taken.amount() < self.connections).then(|| self.taken.hold(1))
    }

    /// How many connections each host may have, so that none takes the last from another.
    pub fn share(&self) -> usize {
        (self.connections / self.hosts.amount().max(1)).max(1)
    }

    /// An answer's bytes, from when they were read until they are written to the client or dropped.
    pub fn hold(&self, bytes: usize) -> Held {
        self.answers.hold(bytes)
    }

    pub fn is_full(&self) -> bool {
        self.answers.amount() > self.most
    }
}
