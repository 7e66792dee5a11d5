//! Maps ports to dispatchers and tracks which region is partitioned from the others. Simulated dispatchers
//! check it when they send and when they receive, so no proxy is needed between processes.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

const NO_REGION: usize = usize::MAX;

/// The dispatcher that listens on a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    pub region: usize,
    /// Index among the real dispatchers; `None` for a simulated one.
    pub real_index: Option<usize>,
}

/// All dispatchers of a run by port.
pub struct Network {
    endpoints: BTreeMap<u16, Endpoint>,
    partitioned_region: AtomicUsize,
}

impl Network {
    pub fn new(endpoints: BTreeMap<u16, Endpoint>) -> Network {
        Network { endpoints, partitioned_region: AtomicUsize::new(NO_REGION) }
    }

    /// Partitions one region from all others; `None` heals the partition.
    pub fn partition(&self, region: Option<usize>) {
        self.partitioned_region.store(region.unwrap_or(NO_REGION), Relaxed);
    }

    /// The dispatcher at `other`, if messages between it and `region` pass.
    pub fn reachable_endpoint(&self, region: usize, other: SocketAddr) -> Option<Endpoint> {
        let endpoint = self.endpoints.get(&other.port()).copied()?;
        let partitioned_region = self.partitioned_region.load(Relaxed);
        ((region == partitioned_region) == (endpoint.region == partitioned_region)).then_some(endpoint)
    }
}
