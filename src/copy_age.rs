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

    /// The change log has been silent for so long that its purges count as known within `known_within`
    /// whether or not they arrived; `None` once it answers again.
    pub fn set_log_silent(&mut self, known_within: Option<Span>) {
        self.log_silence_max_age = known_within.map(|span| span + self.settings.purge_obey_time);
    }

    /// Maximum age of a copy, zero for any age. Once the object was purged it is the time since then, and
    /// never zero, since a stalled host may not have dropped older copies. While purges may have been missed
    /// it is at most the time in which a purge has to be obeyed. Guards rule 5.
    pub(crate) fn max_copy_age(&self, now: Time, visit: &Visit, is_filled: bool) -> Span {
        let Some(class) = self.class_settings(visit.class) else { return Span::ZERO };
        let max_age = if is_filled { class.fresh_for } else { class.fresh_for + class.stale_for };
        let max_age = Some(max_age).filter(|_| class.fresh_for > Span::ZERO);
        let purge = self.purges.latest(visit.group, visit.object);
        let since_purge = purge.map(|at| (now - at).max(Span(1)));
        let while_unverified = self.unverified_max_age.into_iter().chain(self.log_silence_max_age);
        since_purge.into_iter().chain(max_age).chain(while_unverified).min().unwrap_or(Span::ZERO)
    }
}
