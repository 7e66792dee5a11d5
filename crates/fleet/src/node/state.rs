//! A node's settings and components.
use super::messages::Effect;
use crate::common::{Incarnation, MemberId};
use crate::feed::{self, Feed};
use crate::limits::{self, Limits};
use crate::members::{self, Members};
use crate::rollout::{self, Rollout};
use crate::verdicts::{self, Verdicts};
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Settings of all components; one that is `None` is off.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub members: members::Settings,
    pub limits: Option<limits::Settings>,
    pub verdicts: Option<verdicts::Settings>,
    /// Only used with verdicts or followers.
    pub feed: feed::Settings,
    pub rollout: Option<rollout::Settings>,
}

/// One dispatcher as a member of the fleet.
pub struct FleetNode {
    pub(super) own: MemberId,
    pub(super) locations: BTreeMap<MemberId, LocationId>,
    pub(super) followers: Vec<MemberId>,
    pub(super) members: Members,
    pub(super) limits: Option<Limits>,
    pub(super) verdicts: Option<Verdicts>,
    pub(super) feed: Option<Feed>,
    pub(super) rollout: Option<Rollout>,
    pub(super) stepped_down: bool,
    pub(super) effects: VecDeque<Effect>,
}

impl FleetNode {
    /// `listed`: all members, including this one. `every`: interval of the periodic timer. `stored`: the
    /// records stored by earlier runs.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        settings: Settings,
        own: MemberId,
        incarnation: Incarnation,
        listed: &[(MemberId, LocationId)],
        followers: &[MemberId],
        stored: Vec<rollout::Record>,
        every: Span,
        seed: u64,
        now: Time,
    ) -> FleetNode {
        let ids: Vec<MemberId> = listed.iter().map(|(id, _)| *id).collect();
        let locations: BTreeMap<MemberId, LocationId> = listed.iter().copied().collect();
        let location = locations.get(&own).copied().unwrap_or_default();
        let limits = settings.limits.map(|settings| {
            let settings = limits::Settings { interval: every, ..settings };
            Limits::new(settings, own, incarnation, &ids, seed ^ 1, now)
        });
        let needs_feed = settings.verdicts.is_some() || !followers.is_empty();
        let feed = needs_feed.then(|| {
            let settings = feed::Settings { interval: every, ..settings.feed };
            Feed::new(settings, own, incarnation, &ids, followers, seed ^ 2, now)
        });
        let verdicts = settings
            .verdicts
            .map(|settings| Verdicts::new(settings, own, location, incarnation, seed ^ 3, now));
        let rollout = settings.rollout.map(|settings| {
            Rollout::new(settings, own, location, incarnation, listed, stored, seed ^ 4, now)
        });
        FleetNode {
            own,
            locations,
            followers: followers.to_vec(),
            members: Members::new(settings.members, own, incarnation, listed, seed, now),
            limits,
            verdicts,
            feed,
            rollout,
            stepped_down: false,
            effects: VecDeque::new(),
        }
    }

    pub fn has_stepped_down(&self) -> bool {
        self.stepped_down
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn limits(&self) -> Option<&Limits> {
        self.limits.as_ref()
    }

    pub fn feed(&self) -> Option<&Feed> {
        self.feed.as_ref()
    }

    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }
}
