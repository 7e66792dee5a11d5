//! Updates by the list of hosts.
use crate::calls::{Listing, Phase};
use crate::host::Host;
use crate::ids::HostId;
use crate::state::DecisionEngine;
use crate::time::Time;

impl DecisionEngine {
    /// Applies a list of hosts. If it `is_complete`, hosts missing from it are gone; else it holds changes
    /// only.
    pub fn update_hosts(&mut self, now: Time, entries: &[Listing], is_complete: bool) {
        self.hosts.values_mut().filter(|_| is_complete).for_each(|host| host.entry.phase = Phase::Gone);
        for entry in entries {
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host::new(*entry, now));
            host.update_listing(now, *entry);
        }
        let gone = self.hosts.values().filter(|h| h.is_gone() && h.in_flight > 0);
        let gone: Vec<HostId> = gone.map(|h| h.entry.host).collect();
        for host in gone {
            self.cancel_in_flight(host);
        }
    }

    /// Corrects the listed start of a host's process to an earlier time. A later restart that was detected
    /// stays.
    pub fn correct_start(&mut self, id: HostId, since: Time) {
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.listed_start > Some(since)) else {
            return;
        };
        if host.entry.started_at == host.listed_start {
            host.entry.started_at = Some(since);
        }
        host.listed_start = Some(since);
    }
}
