//! Heap usage of a member by subsystem, measured in virtual time by enabling one subsystem per run.
use crate::settings::Topology;
use crate::virtual_time::{run, Subsystems, VirtualRunParameters};
use serde::{Deserialize, Serialize};

/// Time for all members to discover each other and estimate clock offsets.
const SETTLE_S: f64 = 15.0;
const COUNTED_S: f64 = 1.0;

/// Heap bytes per member for one fleet size.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct MemberHeap {
    pub size: usize,
    pub members: f64,
    pub limits: f64,
    /// Verdicts and the feed that distributes them.
    pub verdicts: f64,
    pub rollout: f64,
    /// All subsystems in one run; should be near the sum of the others.
    pub all: f64,
}

/// Measures heap usage per member at one fleet size; `allocated` returns the bytes on the heap.
pub fn measure(topology: &Topology, size: usize, seed: u64, allocated: &dyn Fn() -> usize) -> MemberHeap {
    let heap_bytes = |subsystems| {
        let parameters = VirtualRunParameters {
            size,
            subsystems,
            feed_sources: None,
            settle_s: SETTLE_S,
            seconds: COUNTED_S,
        };
        run(topology, &parameters, seed, allocated).heap_bytes
    };
    let members = heap_bytes(Subsystems::Members);
    MemberHeap {
        size,
        members,
        limits: heap_bytes(Subsystems::Limits) - members,
        verdicts: heap_bytes(Subsystems::Verdicts) - members,
        rollout: heap_bytes(Subsystems::Rollout) - members,
        all: heap_bytes(Subsystems::All),
    }
}
