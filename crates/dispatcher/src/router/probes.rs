//! Probes hosts for their load.
use super::state::{Router, Timer};
use crate::clock;
use crate::host_messages::ToHost;
use crate::ids::ProbeId;
use cherrypass::calls::Report;
use cherrypass::ids::HostId;
use cherrypass::time::Time;

impl Router {
    pub(super) fn send_probe(&mut self, now: Time, host: HostId) {
        let Some(entry) = self.hosts.get(&host) else { return };
        self.last_probe_id += 1;
        let probe = ProbeId(self.last_probe_id);
        let _ = entry.mailbox.send(ToHost::Probe(probe));
        self.probes.insert(probe, host);
        self.timers.push(now + self.config.host_connections.connect_timeout, Timer::ProbeTimeout(probe));
    }

    /// Passes on a host's load, or nothing if it did not answer within the connect limit.
    pub(super) fn end_probe(&mut self, probe: ProbeId, report: Report) {
        if let Some(host) = self.probes.remove(&probe) {
            self.engine.probe_answered(clock::now(), host, report);
        }
    }
}
