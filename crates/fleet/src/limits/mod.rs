//! Fleet-wide limits, enforced without a coordinator. Each listed member owns an equal share of each limit,
//! always keeps a floor of it and lends the unused rest to other members through leases that expire. Nothing
//! is stored: after a start a member lends nothing until every lease of an earlier run has expired.
//!
//! The proof, the bounds in the cases where a limit can be exceeded, and measurements are in
//! docs/fleet-limits.md.
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod limit;
mod settings;
use limit::{Borrower, Lease, Lender, Limit, Loan, Request};
use settings::MAX_SPAN;
pub use settings::{LimitKey, Settings, SettingsError, CLOCK_DRIFT};

/// Fraction of a lease's span, counted from the request, in which the borrower uses it. Covers the drift of
/// both clocks, and the delay from reading the clock to the hand-off.
const USABLE_LEASE_FRACTION: f64 = 1.0 - 3.0 * CLOCK_DRIFT;
/// Smallest loan, as a fraction of a share.
const MIN_LOAN_FRACTION: f64 = 1.0 / 64.0;
/// Factor over its present demand that a lender retains.
const DEMAND_HEADROOM: f64 = 1.1;
/// A request not answered within this time counts as lost; a late answer is still accepted.
const ANSWER_TIMEOUT: Span = Span::millis(120);
/// Delay after a request that brought nothing; doubled each time, five times at most.
const INITIAL_BACKOFF: Span = Span::millis(100);
const MAX_WAIT: Span = Span::millis(4_000);

/// A message between members. Times are sent as durations, as clocks are not synchronized.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests `amount`, which replaces what the sender already holds from the receiver.
    Request { incarnation: Incarnation, serial: u64, key: LimitKey, amount: f64, span: Span },
    /// The answer: `amount` (may be zero) for `span` from the request on. `incarnation` is the requester's.
    /// `wait`: when to request again, where more may be available then. `needs`: the sender uses its own
    /// share up.
    Grant {
        incarnation: Incarnation,
        serial: u64,
        key: LimitKey,
        amount: f64,
        span: Span,
        wait: Option<Span>,
        needs: bool,
    },
}

/// What the dispatcher may use: `amount` until `until` on its own clock, and `after` from then on, without a
/// further call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    pub amount: f64,
    pub until: Time,
    pub after: f64,
}

impl Allowance {
    pub fn at(&self, now: Time) -> f64 {
        if now < self.until {
            self.amount
        } else {
            self.after
        }
    }
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: MemberId,
        message: Message,
    },
    /// A new allowance; the caller confirms with `Limits::confirm_applied` once it is in force.
    Allowance {
        key: LimitKey,
        amount: f64,
        until: Time,
        after: f64,
    },
    Log(String),
}

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
    settings: Settings,
    incarnation: Incarnation,
    others: BTreeSet<MemberId>,
    dead: BTreeSet<MemberId>,
    /// Each member's share, as a fraction of the total.
    share_fraction: f64,
    rng: Pcg64Mcg,
    started: Time,
    stepped_down: bool,
    serial: u64,
    limits: BTreeMap<LimitKey, Limit>,
    /// The key to continue with, where the last round's requests ran out.
    next_key: Option<LimitKey>,
    effects: VecDeque<Effect>,
    /// Rejected messages since the last log line, and the earliest time of the next.
    rejections: (u64, Time),
    disabled_guard: Option<Guard>,
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
        let settings = Settings {
            floor_fraction: sanitized(settings.floor_fraction).min(1.0),
            lease: settings.lease.min(MAX_SPAN),
            drain: settings.drain.min(MAX_SPAN),
            window: settings.window.min(MAX_SPAN),
            ..settings
        };
        let mut limits = Limits {
            settings,
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
            rejections: (0, now),
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

    /// Sets what this dispatcher would use if it could. Has to be repeated at least every 10 s.
    pub fn set_demand(&mut self, now: Time, key: LimitKey, amount: f64) {
        if self.ensure_limit(now, key, true) {
            if let Some(limit) = self.limits.get_mut(&key) {
                limit.demand = sanitized(amount).min(limit.total);
                limit.demand_at = now;
                limit.has_own_demand |= limit.demand > 0.0;
            }
            self.update_allowance(now, key);
        }
    }

    /// Confirms that the last allowance returned for this key is in force at the dispatcher.
    pub fn confirm_applied(&mut self, _now: Time, key: LimitKey) {
        if let Some(limit) = self.limits.get_mut(&key) {
            limit.is_applied |= !limit.has_new_allowance;
        }
    }

    /// Reports whether another member is alive; dead ones are not asked for loans.
    pub fn set_alive(&mut self, _now: Time, who: MemberId, alive: bool) {
        if alive {
            self.dead.remove(&who);
        } else if self.others.contains(&who) {
            self.dead.insert(who);
        }
    }

    /// A newer process runs under the same name: uses and lends nothing from now on.
    pub fn step_down(&mut self, now: Time) {
        self.stepped_down = true;
        let keys: Vec<LimitKey> = self.limits.keys().copied().collect();
        for key in keys {
            self.update_allowance(now, key);
        }
    }

    /// What the dispatcher may use. For a key without state, the default.
    pub fn allowance(&self, now: Time, key: LimitKey) -> Allowance {
        let unknown = || {
            let amount = self
                .settings
                .total(key)
                .map_or(f64::MAX, |total| self.usable_share(now, key, total * self.share_fraction));
            Allowance { amount, until: now, after: amount }
        };
        self.limits.get(&key).and_then(|limit| limit.allowance).unwrap_or_else(unknown)
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Time, from: MemberId, message: Message) {
        if self.stepped_down {
            return;
        }
        if !self.others.contains(&from) {
            return self.count_rejection(now);
        }
        match message {
            Message::Request { incarnation, serial, key, amount, span } => {
                self.handle_request(now, from, incarnation, Request { serial, at: now, amount }, key, span);
            }
            Message::Grant { incarnation, serial, key, amount, span, wait, needs } => {
                if incarnation != self.incarnation {
                    return;
                }
                if let Some(limit) = self.limits.get_mut(&key) {
                    limit.contention += (f64::from(u8::from(needs)) - limit.contention) * 0.1;
                }
                self.handle_grant(now, from, serial, key, amount, span, wait);
            }
        }
    }

    /// Periodic work: expires leases, updates allowances and sends requests.
    pub fn tick(&mut self, now: Time) {
        let mut keys: Vec<LimitKey> = self.limits.keys().copied().collect();
        let first = self.next_key.take().and_then(|next| keys.iter().position(|key| *key >= next));
        keys.rotate_left(first.unwrap_or(0));
        let lease = self.settings.lease;
        let mut requests = self.settings.max_requests as usize;
        for key in keys {
            if let Some(limit) = self.limits.get_mut(&key) {
                limit.expire(now, lease);
            }
            self.draw_lot(now, key);
            self.update_allowance(now, key);
            if requests == 0 {
                self.next_key = self.next_key.or(Some(key));
            } else if !self.stepped_down {
                requests = requests.saturating_sub(self.request_leases(now, key));
            }
            if self.is_idle(now, key) {
                self.limits.remove(&key);
            }
        }
        if self.rejections.0 > 0 && now >= self.rejections.1 {
            let log = format!(
                "limits: rejected {} messages (unlisted sender, value out of range, or too many cold hosts): \
                 compare the lists and settings of the members",
                self.rejections.0
            );
            self.effects.push_back(Effect::Log(log));
            self.rejections = (0, now + Span::millis(60_000));
        }
    }

    /// The next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        for (key, limit) in &mut self.limits {
            if let (true, Some(allowance)) = (limit.has_new_allowance, limit.allowance) {
                limit.has_new_allowance = false;
                let Allowance { amount, until, after } = allowance;
                return Some(Effect::Allowance { key: *key, amount, until, after });
            }
        }
        self.effects.pop_front()
    }

    fn count_rejection(&mut self, now: Time) {
        self.rejections.0 += 1;
        self.rejections.1 = self.rejections.1.max(now);
    }

    /// When the whole share may be used and lent: every lease of an earlier run has expired by then.
    fn full_share_from(&self, key: LimitKey) -> Time {
        match self.disabled_guard {
            Some(Guard::StartDelay) => self.started,
            _ => self.started + self.settings.lease + self.settings.drain(key),
        }
    }

    /// The usable part of the own share: nothing while hand-offs of an earlier run may still be running, then
    /// the floor, which that run cannot have lent, then all.
    fn usable_share(&self, now: Time, key: LimitKey, share: f64) -> f64 {
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

    /// Creates the state of a key; false where it is not limited or there are too many cold hosts.
    fn ensure_limit(&mut self, now: Time, key: LimitKey, is_own_demand: bool) -> bool {
        if self.limits.contains_key(&key) {
            return true;
        }
        let Some(total) = self.settings.total(key) else { return false };
        let is_cold = |(key, limit): &(&LimitKey, &Limit)| {
            matches!(key, LimitKey::ColdHost(_)) && limit.has_own_demand == is_own_demand
        };
        if self.limits.iter().filter(is_cold).count() >= self.settings.max_cold_hosts
            && matches!(key, LimitKey::ColdHost(_))
        {
            return false;
        }
        // The default of `allowance`: the dispatcher may already be using it.
        let retained = self.usable_share(now, key, total * self.share_fraction);
        let limit = Limit {
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
        };
        self.limits.insert(key, limit);
        true
    }

    /// Whether the state of a key can be dropped: a host that is cold no more, with nothing lent or borrowed.
    fn is_idle(&self, now: Time, key: LimitKey) -> bool {
        let Some(limit) = self.limits.get(&key) else { return false };
        let share = limit.total * self.share_fraction;
        let lends = !limit.loans.is_empty() || !limit.borrowers.is_empty();
        let borrows = limit.demand > 0.0 || limit.lenders.values().any(|lender| lender.lease.is_some());
        let is_unrestricted =
            limit.retained >= share && !limit.has_new_allowance && now >= self.full_share_from(key);
        matches!(key, LimitKey::ColdHost(_)) && !lends && !borrows && is_unrestricted
    }

    /// Where shares are less than one hand-off and all members have demand, none could make any. A member
    /// that had none for two lease spans draws whether to collect a whole one or to lend its share, so that
    /// about as many collect as there are hand-offs in the total.
    fn draw_lot(&mut self, now: Time, key: LimitKey) {
        let unit = self.settings.unit(key);
        let (draw, jitter) = (self.rng.gen_range(0.0..1.0), self.rng.gen_range(0.75..1.25));
        let lease = self.settings.lease;
        let Some(limit) = self.limits.get_mut(&key) else { return };
        let share = limit.total * self.share_fraction;
        if share >= unit || limit.total < unit || limit.demand <= 0.0 {
            limit.draw = None;
            limit.satisfied_at = now;
            return;
        }
        let is_enough = limit.available() >= unit;
        if is_enough {
            limit.satisfied_at = now;
        }
        let is_deprived = now >= limit.satisfied_at + lease + lease;
        match limit.draw {
            None if !is_deprived => return,
            Some((collects, until)) if now < until && !(collects && is_deprived) => return,
            _ => {}
        }
        let probability = 0.9 * limit.total / unit / (1.0 + limit.contention * self.others.len() as f64);
        limit.satisfied_at = now;
        let is_alone = is_enough && limit.borrowers.is_empty();
        limit.draw = (!is_alone).then(|| (draw < probability, now + lease.times(6.0 * jitter)));
    }

    /// Updates the retained part of the own share, and the allowance that follows from it.
    fn update_allowance(&mut self, now: Time, key: LimitKey) {
        let Some(share) = self.limits.get(&key).map(|limit| limit.total * self.share_fraction) else {
            return;
        };
        let usable = self.usable_share(now, key, share);
        let drain =
            if self.disabled_guard == Some(Guard::Drain) { Span::ZERO } else { self.settings.drain(key) };
        let soon = now + self.settings.interval.times(3.0);
        let unit = self.settings.unit(key);
        let Some(limit) = self.limits.get_mut(&key) else { return };
        if let Some((level, _)) = limit.reduction.filter(|reduction| now >= reduction.1) {
            limit.in_use_max = level;
            limit.reduction = None;
        }
        let lent = limit.total_lent();
        let demand = if limit.borrowers.is_empty() {
            share
        } else {
            (limit.effective_demand(unit) * DEMAND_HEADROOM).min(share)
        };
        let goal = demand.max(share * self.settings.floor_fraction).min(usable).min((share - lent).max(0.0));
        if goal > limit.retained || goal < limit.retained - share * MIN_LOAN_FRACTION || usable == 0.0 {
            limit.retained = goal;
        }
        if limit.reduction.is_some_and(|reduction| reduction.0 < limit.retained) {
            limit.reduction = None;
        }
        limit.in_use_max = limit.in_use_max.max(limit.retained);
        let held = || limit.lenders.values().filter_map(|lender| lender.lease.as_ref());
        let usable = || held().filter(|lease| lease.until > soon && !self.stepped_down);
        let after = limit.retained;
        let amount = after + usable().map(|lease| lease.amount).sum::<f64>();
        let until = usable().map(|lease| lease.until).min().unwrap_or(now);
        let allowance = Allowance { amount, until, after };
        let is_same = |last: &Allowance| {
            (last.amount, last.after) == (amount, after) && (amount == after || last.until == until)
        };
        if !limit.allowance.as_ref().is_some_and(is_same) {
            limit.is_applied &= limit.allowance.is_some_and(|last| last.after == after);
            limit.allowance = Some(allowance);
            limit.has_new_allowance = true;
        }
        // Reduce first, lend afterwards: a reduction counts only after the dispatcher has confirmed it and
        // the hand-offs begun before have ended.
        if self.disabled_guard == Some(Guard::ReduceBeforeLending) {
            limit.in_use_max = limit.retained;
        } else if limit.is_applied && limit.retained < limit.in_use_max && limit.reduction.is_none() {
            limit.reduction = Some((limit.retained, now + drain));
        }
    }

    fn handle_request(
        &mut self,
        now: Time,
        from: MemberId,
        incarnation: Incarnation,
        request: Request,
        key: LimitKey,
        span: Span,
    ) {
        let amount = sanitized(request.amount);
        let span = span.min(self.settings.lease);
        if amount <= 0.0 || span == Span::ZERO || !self.ensure_limit(now, key, false) {
            return self.count_rejection(now);
        }
        let full_share_from = self.full_share_from(key);
        let drain =
            if self.disabled_guard == Some(Guard::Drain) { Span::ZERO } else { self.settings.drain(key) };
        let lease = self.settings.lease;
        let Some(limit) = self.limits.get_mut(&key) else { return };
        limit.expire(now, lease);
        let last = limit.borrowers.get(&from).map(|last| (last.incarnation, last.serial));
        if last.is_some_and(|last| (incarnation, request.serial) <= last) {
            return;
        }
        limit.borrowers.insert(from, Borrower { incarnation, serial: request.serial, amount, received: now });
        let share = limit.total * self.share_fraction;
        let unit = self.settings.unit(key);
        let retained =
            (limit.effective_demand(unit) * DEMAND_HEADROOM).max(share * self.settings.floor_fraction);
        let total = (share - retained).max(0.0);
        let lent = limit.total_lent();
        let lent_to_it = limit.loans.get(&(from, incarnation)).map_or(0.0, Loan::max_amount);
        let free = share - limit.in_use_max - (lent - lent_to_it);
        // Splitting one hand-off among several borrowers helps none of them.
        let fair = if share < unit { amount.min(total) } else { limit.fair_share(total, from, now - lease) };
        let mut given = fair.min(free);
        let is_full = limit.loans.get(&(from, incarnation)).is_some_and(|loan| loan.entries.len() >= 4);
        if given < share * MIN_LOAN_FRACTION || now < full_share_from || is_full {
            given = 0.0;
        } else {
            let loan = limit.loans.entry((from, incarnation)).or_default();
            if self.disabled_guard == Some(Guard::AllLoans) {
                loan.entries.clear();
            }
            loan.add(now + span + drain, given);
        }
        let wait = if now < full_share_from {
            Some(full_share_from - now)
        } else if fair - given < share * MIN_LOAN_FRACTION {
            None
        } else if total - limit.total_lent() >= share * MIN_LOAN_FRACTION {
            Some(limit.reduction.map_or(drain, |reduction| reduction.1 - now) + self.settings.interval)
        } else {
            // Lent to others; it is divided again as leases expire.
            let ends = limit.loans.values().flat_map(|loan| &loan.entries).map(|entry| entry.0);
            ends.min().map(|end| (end - now) + self.settings.interval)
        };
        let serial = request.serial;
        let needs = limit.demand >= share;
        let message = Message::Grant { incarnation, serial, key, amount: given, span, wait, needs };
        self.effects.push_back(Effect::Send { to: from, message });
    }

    #[allow(clippy::too_many_arguments)]
    fn handle_grant(
        &mut self,
        now: Time,
        from: MemberId,
        serial: u64,
        key: LimitKey,
        amount: f64,
        span: Span,
        wait: Option<Span>,
    ) {
        let jitter = self.rng.gen_range(1.0..1.25);
        let lease = self.settings.lease;
        let Some(limit) = self.limits.get_mut(&key) else { return };
        let Some(lender) = limit.lenders.get_mut(&from) else { return };
        let Some(request) = lender.requests.iter().find(|request| request.serial == serial).cloned() else {
            return;
        };
        // Each answer counts once, and not after the answer to a later request.
        lender.requests.retain(|request| request.serial > serial);
        lender.expected = 0.0;
        let amount = sanitized(amount).min(request.amount);
        if amount > 0.0 {
            // Counted from the request: the lender starts later. A slow clock must not extend the lease.
            let usable = span.min(lease).times(USABLE_LEASE_FRACTION);
            let from = if self.disabled_guard == Some(Guard::LeaseFromRequest) { now } else { request.at };
            let until = from + usable;
            let renew_at = request.at + usable.times(0.45);
            lender.failures = 0;
            lender.next_request = renew_at;
            if now < until {
                lender.lease = Some(Lease { amount, until, renew_at });
            }
        }
        match wait {
            _ if amount > 0.0 => limit.request_rate *= 2.0,
            Some(wait) => {
                limit.request_rate *= 2.0;
                lender.failures = 0;
                lender.next_request = now + wait.max(INITIAL_BACKOFF).min(MAX_WAIT).times(jitter);
            }
            None => {
                limit.request_rate *= 0.8;
                lender.failures = (lender.failures + 1).min(5);
                lender.next_request = now + INITIAL_BACKOFF.times(f64::from(1 << lender.failures) * jitter);
            }
        }
        limit.request_rate = limit.request_rate.clamp(0.2, f64::from(self.settings.max_requests_per_key));
    }

    /// Renews leases that are needed, lets others expire and requests further ones. Returns the number of
    /// requests.
    fn request_leases(&mut self, now: Time, key: LimitKey) -> usize {
        let Some(share) = self.limits.get(&key).map(|limit| limit.total * self.share_fraction) else {
            return 0;
        };
        let usable = self.usable_share(now, key, share);
        let Some(limit) = self.limits.get_mut(&key) else { return 0 };
        let (least, most) = (share * MIN_LOAN_FRACTION, share * (1.0 - self.settings.floor_fraction));
        let own = (share - limit.total_lent()).max(0.0).min(usable);
        let held = limit.available() - limit.retained;
        let wanted = limit.effective_demand(self.settings.unit(key));
        let mut short = wanted - own - held;
        limit.request_credit =
            (limit.request_credit + limit.request_rate).min(f64::from(self.settings.max_requests_per_key));
        if wanted <= 0.0 {
            return 0;
        }
        let mut requests: Vec<(MemberId, f64)> = Vec::new();
        // In order of expiry: surplus leases are dropped there first.
        let mut due: Vec<(Time, MemberId, f64)> = Vec::new();
        for (id, lender) in &mut limit.lenders {
            if lender.expected > 0.0 && now >= lender.next_request {
                lender.expected = 0.0;
                if lender.lease.is_none() {
                    // Lost, or this member is partitioned: slow down.
                    limit.request_rate = (limit.request_rate * 0.9).max(0.2);
                    lender.failures = lender.failures.max((lender.failures + 1).min(3));
                    let jitter = self.rng.gen_range(1.0..1.25);
                    lender.next_request =
                        now + INITIAL_BACKOFF.times(f64::from(1 << lender.failures) * jitter);
                }
            }
            match &lender.lease {
                Some(lease)
                    if lender.expected <= 0.0 && lease.renew_at <= now && now >= lender.next_request =>
                {
                    due.push((lease.until, *id, lease.amount));
                }
                Some(lease) => short -= (lender.expected - lease.amount).max(0.0),
                None => short -= lender.expected,
            }
        }
        due.sort_by_key(|due| (due.0, due.1));
        for (_, id, amount) in due {
            if short + amount <= 0.0 {
                short += amount;
            } else if requests.len() < self.settings.max_requests_per_key as usize {
                let wanted = (amount + short).max(least).min(most);
                short -= wanted - amount;
                requests.push((id, wanted));
            }
        }
        let room =
            (self.settings.max_requests_per_key as usize - requests.len()).min(limit.request_credit as usize);
        if short > least && room > 0 {
            let is_open = |id: &&MemberId| {
                let is_due = |lender: &Lender| {
                    lender.lease.is_none() && lender.expected <= 0.0 && lender.next_request <= now
                };
                !self.dead.contains(*id) && limit.lenders.get(id).is_none_or(is_due)
            };
            let mut open: Vec<MemberId> = self.others.iter().filter(is_open).copied().collect();
            for i in 0..room.min(open.len()) {
                if short <= least {
                    break;
                }
                let other = self.rng.gen_range(i..open.len());
                open.swap(i, other);
                let wanted = short.min(most).max(least);
                short -= wanted;
                limit.request_credit -= 1.0;
                requests.push((open[i], wanted));
            }
        }
        let (span, count) = (self.settings.lease, requests.len());
        for (to, amount) in requests {
            self.serial += 1;
            let serial = self.serial;
            let lender = limit.lenders.entry(to).or_default();
            lender.expected = amount;
            lender.next_request = now + ANSWER_TIMEOUT;
            if lender.requests.len() >= 4 {
                lender.requests.pop_front();
            }
            lender.requests.push_back(Request { serial, at: now, amount });
            let message = Message::Request { incarnation: self.incarnation, serial, key, amount, span };
            self.effects.push_back(Effect::Send { to, message });
        }
        count
    }
}

/// Maps values of peers that are not finite or negative to zero.
fn sanitized(amount: f64) -> f64 {
    if amount.is_finite() {
        amount.max(0.0)
    } else {
        0.0
    }
}
