//! Points in time that stay comparable between two runs on one machine, whatever happens to its wall clock.
use cherrypass::time::Span;
use serde::{Deserialize, Serialize};

/// A time on the clock that a machine starts at its boot and never steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootTime {
    /// Identifies the machine's boot.
    pub boot: u128,
    /// Microseconds since that boot.
    pub micros: u64,
}

impl BootTime {
    /// The time since an earlier one; None if that is of another boot, or not earlier.
    pub fn since(self, earlier: BootTime) -> Option<Span> {
        (self.boot == earlier.boot).then(|| self.micros.checked_sub(earlier.micros)).flatten().map(Span)
    }
}
