//! A follower's progress in the items of one source, as its carrier sees it.
use crate::common::Incarnation;
use std::collections::VecDeque;

/// Items in an unacknowledged frame.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemsInFlight {
    pub up_to: u64,
    /// The number of the frame.
    pub frame: u64,
}

/// A follower's progress in the items of one source.
#[derive(Clone, Debug, Default)]
pub(super) struct SourcePosition {
    pub incarnation: Incarnation,
    pub acked: u64,
    pub sent: u64,
    pub in_flight: VecDeque<ItemsInFlight>,
}

impl SourcePosition {
    pub fn new(incarnation: Incarnation, number: u64) -> SourcePosition {
        SourcePosition { incarnation, acked: number, sent: number, in_flight: VecDeque::new() }
    }

    pub fn acknowledge(&mut self, number: u64) {
        self.acked = self.acked.max(number);
        self.sent = self.sent.max(self.acked);
        while self.in_flight.front().is_some_and(|items| items.up_to <= self.acked) {
            self.in_flight.pop_front();
        }
    }

    /// Everything that is not acknowledged is sent again.
    pub fn rewind(&mut self) {
        self.sent = self.acked;
        self.in_flight.clear();
    }
}
