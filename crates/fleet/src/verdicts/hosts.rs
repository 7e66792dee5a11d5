//! The list of hosts: additions, removals, and the bound on verdicts that follows from it.
use super::state::{Host, Verdicts};
use super::types::{Effect, Topic, UsedBy};
use crate::common::Incarnation;
use cherrypass::ids::HostId;
use cherrypass::time::Time;

/// Bound on memory: further hosts are ignored.
const MAX_HOSTS: usize = 4_096;

impl Verdicts {
    /// The list has a host that is ready. A new run invalidates findings about the previous one.
    pub fn update_host(&mut self, now: Time, host: HostId, since: Option<Incarnation>, used_by: UsedBy) {
        if !self.hosts.contains_key(&host) && self.hosts.len() >= MAX_HOSTS {
            let line = format!(
                "verdicts: more than {MAX_HOSTS} hosts listed; no verdicts are shared about the others"
            );
            return self.log(now, line);
        }
        if self.hosts.get(&host).is_none_or(|listed| (listed.since, listed.used_by) != (since, used_by)) {
            self.hosts.insert(host, new_host(now, since, used_by));
            // Not withdrawn at other dispatchers: it still holds for the run in their lists.
            self.own_findings.retain(|key, finding| key.0 != host || finding.since == since);
            self.withdraw_above_half();
        }
        self.reevaluate(now, host);
    }

    /// A host is draining, or no longer listed.
    pub fn remove_host(&mut self, now: Time, host: HostId) {
        self.hosts.remove(&host);
        self.own_findings.retain(|key, _| key.0 != host);
        self.withdraw_above_half();
        self.reevaluate(now, host);
    }

    /// Withdraws the latest verdicts where a change of the list brings them above half of a group.
    fn withdraw_above_half(&mut self) {
        self.recount_groups();
        for used_by in [UsedBy::Location(self.location), UsedBy::All] {
            while 2 * self.unhealthy_count(used_by) > self.group_size(used_by) {
                let Some(host) = self.latest_unhealthy(used_by) else { break };
                self.verdicts.remove(&(host, Topic::Unhealthy));
                self.effects.push_back(Effect::Withdraw { host });
            }
        }
    }

    /// The host of a group whose verdict that it is unhealthy came into force last.
    fn latest_unhealthy(&self, used_by: UsedBy) -> Option<HostId> {
        self.verdicts
            .iter()
            .filter(|(key, _)| key.1 == Topic::Unhealthy)
            .filter(|(key, _)| self.hosts.get(&key.0).is_some_and(|h| h.used_by == used_by))
            .max_by_key(|(_, active)| active.order)
            .map(|(key, _)| key.0)
    }
}

fn new_host(now: Time, since: Option<Incarnation>, used_by: UsedBy) -> Host {
    Host {
        since,
        used_by,
        publish_after: now,
        ignored_until: now,
        recently_out_until: Time::default(),
        recovered_at: None,
        is_published: false,
    }
}
