//! Ids of visits whose clients have left or withdrawn them while an attempt may have been running.
//!
//! A client gives each request a new id. One that comes again all the same, on whichever connection, must not run a
//! second time beside the first, which its host may not have given up yet.
use crate::ids::Txn;
use cherrypass::time::Time;
use std::collections::{BTreeMap, VecDeque};

/// The ids, each until its visit's time is over. Past the limit the oldest one is forgotten.
pub(super) struct DepartedIds {
    limit: usize,
    by_id: BTreeMap<Txn, Time>,
    in_order: VecDeque<(Txn, Time)>,
}

impl DepartedIds {
    pub(super) fn new(limit: usize) -> DepartedIds {
        DepartedIds { limit, by_id: BTreeMap::new(), in_order: VecDeque::new() }
    }

    /// Keeps an id until this time.
    pub(super) fn insert(&mut self, now: Time, id: Txn, until: Time) {
        while self.in_order.len() >= self.limit || self.in_order.front().is_some_and(|(_, at)| *at <= now) {
            let Some(oldest) = self.in_order.pop_front() else { return };
            self.forget(oldest);
        }
        self.by_id.insert(id, until);
        self.in_order.push_back((id, until));
    }

    pub(super) fn contains(&self, now: Time, id: Txn) -> bool {
        self.by_id.get(&id).is_some_and(|until| now < *until)
    }

    /// Forgets an id, unless it was kept anew since.
    fn forget(&mut self, (id, until): (Txn, Time)) {
        if self.by_id.get(&id) == Some(&until) {
            self.by_id.remove(&id);
        }
    }
}
