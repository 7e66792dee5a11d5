//! Groups of hosts with the same users: how many there are, and whether unhealthy ones are too many.
use super::state::{Host, Verdicts};
use super::types::{Topic, UsedBy};
use cherrypass::ids::LocationId;

/// Numbers of caches and of hosts used by all locations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GroupCounts {
    pub caches: usize,
    pub shared: usize,
}

impl GroupCounts {
    pub fn of<'a>(hosts: impl Iterator<Item = &'a Host>) -> GroupCounts {
        let mut counts = GroupCounts::default();
        for host in hosts {
            match host.used_by {
                UsedBy::All => counts.shared += 1,
                UsedBy::Location(_) => counts.caches += 1,
            }
        }
        counts
    }

    /// Whether so many unhealthy hosts at once point to the reporter's own network: more than a third of all
    /// hosts in use, or at least half of the caches.
    pub fn is_excessive(self, used: GroupCounts) -> bool {
        let unhealthy = self.caches + self.shared;
        let exceeds_third = 3 * unhealthy > used.caches + used.shared;
        let reaches_half_of_caches = self.caches > 0 && 2 * self.caches >= used.caches;
        unhealthy > 1 && (exceeds_third || reaches_half_of_caches)
    }
}

impl Verdicts {
    /// Number of hosts of a group with a verdict that they are unhealthy.
    pub fn unhealthy_count(&self, used_by: UsedBy) -> usize {
        let unhealthy = self.verdicts.keys().filter(|key| key.1 == Topic::Unhealthy);
        unhealthy.filter(|key| self.hosts.get(&key.0).is_some_and(|h| h.used_by == used_by)).count()
    }

    pub(super) fn group_size(&self, used_by: UsedBy) -> usize {
        self.group_sizes.get(&used_by).copied().unwrap_or(0)
    }

    /// The hosts that dispatchers of a location use.
    pub(super) fn count_used(&self, location: LocationId) -> GroupCounts {
        GroupCounts {
            caches: self.group_size(UsedBy::Location(location)),
            shared: self.group_size(UsedBy::All),
        }
    }

    pub(super) fn recount_groups(&mut self) {
        self.group_sizes.clear();
        self.hosts.values().for_each(|host| *self.group_sizes.entry(host.used_by).or_default() += 1);
    }
}
