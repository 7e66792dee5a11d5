//! Applies updates of the host list, and follows restarts of hosts.
use super::state::{HostEntry, PendingHandOff, Router};
use crate::clock;
use crate::host_list::{AppliedUpdate, Clocks};
use crate::host_messages::ToHost;
use crate::ids::HostActorId;
use crate::inbox::ListedHost;
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::HostId;
use cherrypass::time::{Time, UnixTime};
use std::collections::{BTreeMap, BTreeSet};

impl Router {
    /// Applies an update of the host list: a complete list, or entries that have changed.
    pub(super) fn apply_list(&mut self, now: Time, listed: Vec<ListedHost>, is_complete: bool) {
        let clocks = Clocks { now, wall: clock::wall_now(), change_clock: &self.change_clock };
        let AppliedUpdate { hosts, displaced, faults } = self.list.apply(&clocks, listed, is_complete);
        for (name, fault) in faults {
            tracing::warn!(host = &name[..], "list: host {name}: {fault}");
        }
        let started: BTreeMap<HostId, Option<UnixTime>> =
            hosts.iter().map(|host| (host.listing.host, host.started)).collect();
        let entries: Vec<Listing> =
            hosts.iter().map(|host| host.listing).chain(displaced.iter().copied()).collect();
        let gone = self.gone_hosts(&hosts, &displaced, is_complete);
        let changed = self.changed_hosts(&entries, &gone);
        gone.into_iter().for_each(|id| self.remove_host(id));
        hosts.into_iter().for_each(|host| self.update_host(host));
        self.engine.update_hosts(now, &entries, is_complete);
        self.redecide_hand_offs_to(&changed);
        self.report_to_fleet(&entries, &started);
    }

    /// The hosts that a complete list lacks, and those displaced by others.
    fn gone_hosts(&self, hosts: &[ListedHost], displaced: &[Listing], is_complete: bool) -> Vec<HostId> {
        let kept: BTreeSet<HostId> = hosts.iter().map(|host| host.listing.host).collect();
        let missing = self.hosts.keys().filter(|id| is_complete && !kept.contains(id)).copied();
        missing.chain(displaced.iter().map(|displaced| displaced.host)).collect()
    }

    /// Decides hand-offs to these hosts, or filled from them, again if they have not been sent.
    fn redecide_hand_offs_to(&mut self, changed: &BTreeSet<HostId>) {
        let is_concerned = |pending: &PendingHandOff| {
            changed.contains(&pending.host) || pending.fill.is_some_and(|fill| changed.contains(&fill.source))
        };
        let stale = self.hand_offs.iter().filter(|(_, pending)| is_concerned(pending));
        self.redecide_unsent(stale.map(|(id, _)| *id).collect());
    }

    fn report_to_fleet(&mut self, entries: &[Listing], started: &BTreeMap<HostId, Option<UnixTime>>) {
        let Some(fleet_connection) = &mut self.fleet_connection else { return };
        for entry in entries {
            let started = started.get(&entry.host).copied().flatten();
            fleet_connection.host_listed(&mut self.engine, entry, started);
        }
    }

    /// The hosts that were decided on as they are no longer: they are draining or gone, or their process is new.
    fn changed_hosts(&self, entries: &[Listing], gone: &[HostId]) -> BTreeSet<HostId> {
        let is_new =
            |entry: &Listing| self.hosts.get(&entry.host).is_some_and(|host| host.started < entry.started_at);
        let changed = entries.iter().filter(|entry| entry.phase != Phase::Ready || is_new(entry));
        changed.map(|entry| entry.host).chain(gone.iter().copied()).collect()
    }

    /// Removes a host; its actor ends by itself once no hand-off is in flight.
    fn remove_host(&mut self, id: HostId) {
        if let Some(host) = self.hosts.remove(&id) {
            self.fleet_connection
                .iter_mut()
                .for_each(|fleet_connection| fleet_connection.host_unlisted(id, true));
            let _ = host.mailbox.send(ToHost::Remove);
        }
    }

    fn update_host(&mut self, host: ListedHost) {
        let ListedHost { listing, name, address, .. } = host;
        let (id, since) = (listing.host, listing.started_at);
        tracing::info!(host = &name[..], phase = ?listing.phase, "list: host {:x} is {name}, {:?}, weight {:.1}", id.0, listing.phase, listing.weight);
        let current = self.hosts.get(&id);
        let (Some(address), false) = (address, listing.phase == Phase::Gone) else {
            self.remove_host(id);
            return;
        };
        // A restarted process gets a new actor, whether or not its address has changed.
        if let Some(current) =
            current.filter(|current| current.address == address && current.started >= since)
        {
            let _ = current.mailbox.send(ToHost::SetDraining(listing.phase == Phase::Draining));
            return;
        }
        self.remove_host(id);
        let mailbox = self.host_actors.add(&name, address);
        self.hosts.insert(id, HostEntry { name, address, started: since, mailbox });
    }

    pub(super) fn update_start_times(&mut self, now: Time) {
        let clocks = Clocks { now, wall: clock::wall_now(), change_clock: &self.change_clock };
        for (id, since) in self.list.redate(&clocks) {
            self.engine.correct_start(id, since);
            self.hosts.get_mut(&id).into_iter().for_each(|host| host.started = Some(since));
            self.fleet_connection
                .iter_mut()
                .for_each(|fleet_connection| fleet_connection.start_redated(id, since));
        }
    }

    /// A host's process may have ended. A host that was listed again meanwhile has a new actor id.
    pub(super) fn host_reset(&mut self, actor: HostActorId) {
        let host = self.hosts.iter().find(|(_, host)| host.mailbox.id == actor);
        let Some((&id, host)) = host else { return };
        let name = &host.name[..];
        tracing::info!(
            host = name,
            "host {:x} is {name}: its connections were reset, its process may be new",
            id.0
        );
        self.engine.connection_lost(clock::now(), id);
    }
}
