//! Purges, and the maximum age of the copies that a cache may serve.
use crate::calls::Visit;
use crate::ids::{GroupId, ObjectId};
use crate::state::DecisionEngine;
use crate::time::{Span, Time};

impl DecisionEngine {
    /// Records a purge of an object, or of its whole group if no object is given, made `ago` before now.
    pub fn record_purge(&mut self, now: Time, group: GroupId, object: Option<ObjectId>, ago: Span) {
        self.purges.record(group, object, now - ago);
    }

    /// Sets whether purges may have been missed.
    pub fn set_purges_unverified(&mut self, is_unverified: bool) {
        self.unverified_max_age = is_unverified.then_some(self.settings.purge_obey_time.max(Span(1)));
    }

    /// All changes that the change log had at `at` are known. Later ones count as announced `max_delay` after they
    /// were made, at the latest.
    pub fn changes_read(&mut self, at: Time, max_delay: Span) {
        self.unread_changes.read(at, max_delay);
    }

    /// The change log failed at `noted_at` in a way by which all that it has at `announced_at` counts as announced
    /// from then on. Returns when purges among it have to be obeyed, unless they are read before.
    pub fn changes_announced(&mut self, noted_at: Time, announced_at: Time) -> Time {
        let grace = self.settings.purge_obey_time;
        self.unread_changes.announce(noted_at, announced_at, grace);
        announced_at + grace
    }

    /// Until when all purges have to be obeyed though some may not have been read; `None` if all are known.
    pub fn unread_purges_up_to(&self, now: Time) -> Option<Time> {
        self.unread_changes.obeyed_up_to(now, self.settings.purge_obey_time)
    }

    /// Maximum age of a copy, zero for any age. Once the object was purged it is the time since then, and
    /// never zero, since a stalled host may not have dropped older copies. It is the same for purges that have to
    /// be obeyed and may not have been read. While purges may have been missed it is at most the time in which
    /// a purge has to be obeyed. Guards rule 5.
    pub(crate) fn max_copy_age(&self, now: Time, visit: &Visit, is_filled: bool) -> Span {
        let Some(class) = self.class_settings(visit.class) else { return Span::ZERO };
        let max_age = if is_filled { class.fresh_for } else { class.fresh_for + class.stale_for };
        let max_age = Some(max_age).filter(|_| class.fresh_for > Span::ZERO);
        let purge = self.purges.latest(visit.group, visit.object);
        let purges = purge.into_iter().chain(self.unread_purges_up_to(now));
        let since_purge = purges.map(|at| (now - at).max(Span(1)));
        since_purge.chain(max_age).chain(self.unverified_max_age).min().unwrap_or(Span::ZERO)
    }
}
