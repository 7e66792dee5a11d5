//! Tells the fleet which hosts are listed.
use super::state::{FleetConnection, HostStart};
use cherrypass::calls::{Listing, Phase};
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::HostId;
use cherrypass::time::{Time, UnixTime};
use cherrypass_peers::{LimitKey, ToFleet, UsedBy};

impl FleetConnection {
    /// An entry of the host list was applied.
    pub fn host_listed(&mut self, engine: &mut DecisionEngine, entry: &Listing, started: Option<UnixTime>) {
        let start = HostStart { listed: started, in_module: entry.started_at };
        self.starts.insert(entry.host, start);
        if entry.phase != Phase::Ready {
            return self.host_unlisted(entry.host, entry.phase == Phase::Gone);
        }
        let kind = Some(entry.kind);
        let is_used_by_all = kind == self.settings.parent_kind || kind == self.settings.origin_kind;
        let used_by = if is_used_by_all { UsedBy::All } else { UsedBy::Location(entry.location) };
        (self.send)(ToFleet::HostListed { host: entry.host, started_at: started, used_by });
        if entry.started_at.is_some() {
            self.init_cold_share(engine, entry.host);
        }
    }

    /// A host's start was dated earlier than before.
    pub fn start_redated(&mut self, host: HostId, since: Time) {
        self.starts.get_mut(&host).into_iter().for_each(|start| start.in_module = Some(since));
    }

    /// A host left the list, or drains.
    pub fn host_unlisted(&mut self, host: HostId, is_gone: bool) {
        (self.send)(ToFleet::HostUnlisted(host));
        self.reported_hosts.remove(&host);
        if is_gone {
            self.starts.remove(&host);
            self.shares.remove(&LimitKey::ColdHost(host));
            self.restarted_hosts.remove(&host);
        }
    }
}
