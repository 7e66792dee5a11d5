//! What connections share: places for connections to hosts, and room for the bytes of hosts' answers.
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

#[derive(Debug)]
struct Shared {
    places: AtomicUsize,
    held: AtomicUsize,
    most: usize,
}

#[derive(Clone, Debug)]
pub struct Room(Arc<Shared>);

/// A place for one connection, given back when it is dropped.
#[derive(Debug)]
pub struct Place(Room);

/// An answer's bytes, held from when they were read until they are written to the client or dropped.
#[derive(Debug)]
pub struct Held(Room, usize);

impl Room {
    pub fn new(places: usize, most: usize) -> Room {
        Room(Arc::new(Shared { places: AtomicUsize::new(places), held: AtomicUsize::new(0), most }))
    }

    pub fn place(&self) -> Option<Place> {
        let taken = self.0.places.fetch_update(Relaxed, Relaxed, |free| free.checked_sub(1));
        taken.ok().map(|_| Place(self.clone()))
    }

    pub fn hold(&self, bytes: usize) -> Held {
        self.0.held.fetch_add(bytes, Relaxed);
        Held(self.clone(), bytes)
    }

    pub fn is_full(&self) -> bool {
        self.0.held.load(Relaxed) > self.0.most
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0 .0.places.fetch_add(1, Relaxed);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0 .0.held.fetch_sub(self.1, Relaxed);
    }
}
