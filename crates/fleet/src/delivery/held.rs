//! The newest changes of the log, as a carrier holds them for its followers.
use super::messages::{ChangeNumber, Record, MAX_RECORD_BYTES};
use std::collections::VecDeque;

/// Bytes a record takes besides its own in memory, and at most in a message.
const RECORD_MEMORY_OVERHEAD_BYTES: usize = 40;
const RECORD_MESSAGE_OVERHEAD_BYTES: usize = 3;

/// A sequence of changes without a gap, bounded in bytes: the oldest are dropped first.
pub(super) struct HeldChanges {
    /// The number before the first change held.
    before: ChangeNumber,
    records: VecDeque<Record>,
    bytes: usize,
    max_bytes: usize,
}

/// Bytes of memory that a record takes.
fn cost(record: &Record) -> usize {
    record.len() + RECORD_MEMORY_OVERHEAD_BYTES
}

impl HeldChanges {
    pub(super) fn new(before: ChangeNumber, max_bytes: usize) -> HeldChanges {
        HeldChanges { before, records: VecDeque::new(), bytes: 0, max_bytes }
    }

    pub(super) fn newest(&self) -> ChangeNumber {
        self.before.plus(self.records.len())
    }

    /// Adds one change. A repeat is ignored. After a gap, or a record too long to be carried, all earlier
    /// changes are dropped: they are of no use to a follower that lacks the missing one.
    pub(super) fn push(&mut self, number: ChangeNumber, record: Record) {
        if number <= self.newest() {
            return;
        }
        let too_long = record.len() > MAX_RECORD_BYTES;
        if number > self.newest().next() || too_long {
            let before = if too_long { number } else { ChangeNumber(number.0 - 1) };
            *self = HeldChanges::new(before, self.max_bytes);
        }
        if too_long {
            return;
        }
        self.bytes += cost(&record);
        self.records.push_back(record);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.records.pop_front() else { return };
            self.bytes -= cost(&oldest);
            self.before = self.before.next();
        }
    }

    /// The changes after a number, at most `max_bytes` of them but at least one; `None` if they are not held.
    pub(super) fn after(&self, number: ChangeNumber, max_bytes: usize) -> Option<Vec<Record>> {
        let skipped = usize::try_from(number.0.checked_sub(self.before.0)?).ok()?;
        let wanted = (skipped <= self.records.len()).then(|| self.records.range(skipped..))?;
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let is_first = bytes == 0;
            bytes += record.len() + RECORD_MESSAGE_OVERHEAD_BYTES;
            is_first || bytes <= max_bytes
        };
        Some(wanted.take_while(fits).cloned().collect())
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}
