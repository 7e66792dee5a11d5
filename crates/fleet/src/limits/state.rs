//! One member's state of all limits: its data, and the part of each limit that it owns.
use super::limit::Limit;
use super::messages::Effect;
use super::settings::{LimitKey, Settings, MAX_SPAN};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A safeguard that a test can disable.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    StartDelay,
    LeaseFromRequest,
    ReduceBeforeLending,
    Drain,
    AllLoans,
}

/// One member's state of all limits.
#[derive(Clone, Debug)]
pub struct Limits {
    pub(super) settings: Settings,
    pub(super) incarnation: Incarnation,
    pub(super) others: BTreeSet<MemberId>,
    pub(super) dead: BTreeSet<MemberId>,
    /// Each member's share, as a fraction of the total.
    pub(super) share_fraction: f64,
    pub(super) rng: Pcg64Mcg,
    pub(super) started: Time,
    pub(super) stepped_down: bool,
    pub(super) serial: u64,
    pub(super) limits: BTreeMap<LimitKey, Limit>,
    /// The key to continue with, where the last round's requests ran out.
    pub(super) next_key: Option<LimitKey>,
    pub(super) effects: VecDeque<Effect>,
    /// Rejected messages since the last log line, and the earliest time of the next.
    pub(super) rejections: u64,
    pub(super) next_rejection_log: Time,
    pub(super) disabled_guard: Option<Guard>,
}

impl Limits {
    /// `listed`: all members, including this one; a member that is not listed may use nothing.
    pub fn new(
        settings: Settings,
        own: MemberId,
        incarnation: Incarnation,
        listed: &[MemberId],
        seed: u64,
        now: Time,
    ) -> Limits {
        let mut others: BTreeSet<MemberId> = listed.iter().copied().collect();
        let share_fraction = if others.remove(&own) { 1.0 / (others.len() + 1) as f64 } else { 0.0 };
        let mut limits = Limits {
            settings: bounded(settings),
            incarnation,
            others,
            dead: BTreeSet::new(),
            share_fraction,
            rng: Pcg64Mcg::seed_from_u64(seed),
            started: now,
            stepped_down: false,
            serial: 0,
            limits: BTreeMap::new(),
            next_key: None,
            effects: VecDeque::new(),
            rejections: 0,
            next_rejection_log: now,
            disabled_guard: None,
        };
        for key in [LimitKey::Origin, LimitKey::Retries] {
            if limits.ensure_limit(now, key, true) {
                limits.update_allowance(now, key);
            }
        }
        limits
    }

    #[doc(hidden)]
    pub fn without_guard(mut self, guard: Option<Guard>) -> Limits {
        self.disabled_guard = guard;
        self
    }

    /// When the whole share may be used and lent: every lease of an earlier run has expired by then.
    pub(super) fn full_share_from(&self, key: LimitKey) -> Time {
        match self.disabled_guard {
            Some(Guard::StartDelay) => self.started,
            _ => self.started + self.settings.lease + self.settings.drain(key),
        }
    }

    /// The usable part of the own share: nothing while hand-offs of an earlier run may still be running, then
    /// the floor, which that run cannot have lent, then all.
    pub(super) fn usable_share(&self, now: Time, key: LimitKey, share: f64) -> f64 {
        if self.stepped_down {
            0.0
        } else if now >= self.full_share_from(key) {
            share
        } else if now >= self.started + self.settings.drain(key) {
            share * self.settings.floor_fraction
        } else {
            0.0
        }
    }

    /// How long hand-offs that were begun may still run.
    pub(super) fn drain(&self, key: LimitKey) -> Span {
        match self.disabled_guard {
            Some(Guard::Drain) => Span::ZERO,
            _ => self.settings.drain(key),
        }
    }

    /// Creates the state of a key; false where it is not limited or there are too many cold hosts.
    pub(super) fn ensure_limit(&mut self, now: Time, key: LimitKey, is_own_demand: bool) -> bool {
        if self.limits.contains_key(&key) {
            return true;
        }
        let Some(total) = self.settings.total(key) else { return false };
        let is_cold = |(key, limit): &(&LimitKey, &Limit)| {
            matches!(key, LimitKey::ColdHost(_)) && limit.has_own_demand == is_own_demand
        };
        let is_full = self.limits.iter().filter(is_cold).count() >= self.settings.max_cold_hosts;
        if is_full && matches!(key, LimitKey::ColdHost(_)) {
            return false;
        }
        // The default of `allowance`: the dispatcher may already be using it.
        let retained = self.usable_share(now, key, total * self.share_fraction);
        self.limits.insert(key, new_limit(now, total, retained, is_own_demand));
        true
    }

    /// Whether the state of a key can be dropped: a host that is cold no more, with nothing lent or borrowed.
    pub(super) fn is_idle(&self, now: Time, key: LimitKey) -> bool {
        let Some(limit) = self.limits.get(&key) else { return false };
        let share = limit.total * self.share_fraction;
        let lends = !limit.loans.is_empty() || !limit.borrowers.is_empty();
        let borrows = limit.demand > 0.0 || limit.lenders.values().any(|lender| lender.lease.is_some());
        let is_unrestricted =
            limit.retained >= share && !limit.has_new_allowance && now >= self.full_share_from(key);
        matches!(key, LimitKey::ColdHost(_)) && !lends && !borrows && is_unrestricted
    }
}

/// Settings within the bounds for which the arithmetic is safe.
fn bounded(settings: Settings) -> Settings {
    Settings {
        floor_fraction: sanitized(settings.floor_fraction).min(1.0),
        lease: settings.lease.min(MAX_SPAN),
        drain: settings.drain.min(MAX_SPAN),
        window: settings.window.min(MAX_SPAN),
        ..settings
    }
}

fn new_limit(now: Time, total: f64, retained: f64, is_own_demand: bool) -> Limit {
    Limit {
        total,
        demand: 0.0,
        demand_at: now,
        has_own_demand: is_own_demand,
        retained,
        in_use_max: retained,
        reduction: None,
        allowance: None,
        has_new_allowance: false,
        is_applied: false,
        loans: BTreeMap::new(),
        borrowers: BTreeMap::new(),
        lenders: BTreeMap::new(),
        draw: None,
        contention: 0.0,
        satisfied_at: now,
        request_rate: 4.0,
        request_credit: 0.0,
    }
}

/// Maps values of peers that are not finite or negative to zero.
pub(super) fn sanitized(amount: f64) -> f64 {
    if amount.is_finite() {
        amount.max(0.0)
    } else {
        0.0
    }
}
