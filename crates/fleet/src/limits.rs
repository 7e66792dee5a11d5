//! Limits that hold for all members in sum. Each listed member owns an equal share of each limit, keeps a floor of it
//! for good and lends what it does not need, by leases that run out. Nobody grants, so nothing fails over, and no
//! store is needed: a start lends nothing until all that an earlier run may have lent has run out.
//!
//! Why the sum holds, the formulas for what can't be held, and the measured times are in docs/fleet-limits.md.
use crate::common::{Incarnation, MemberId};
use cherrypass::ids::HostId;
use cherrypass::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Clocks of members run at most this much off true time.
pub const DRIFT: f64 = 0.01;
/// A lease may be used for this part of its span, from the ask on: two drifts, and one for the way from the look at
/// the clock to the hand-off.
const USABLE: f64 = 1.0 - 3.0 * DRIFT;
/// Fewer hand-offs, or less of a rate, than this part of a share aren't lent.
const LEAST: f64 = 1.0 / 64.0;
/// What a lender keeps over its present need.
const HEADROOM: f64 = 1.1;
/// A need that isn't told again for so long is over.
const NEED_HOLDS: Span = Span::millis(10_000);
const ANSWER_WITHIN: Span = Span::millis(400);
const BACKOFF: Span = Span::millis(200);
const WAIT_MOST: Span = Span::millis(4_000);
/// The longest lease and drain that settings may have, and that is taken from a peer.
const SPAN_MOST: Span = Span::millis(600_000);

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// Hand-offs out at the origin at once.
    Origin,
    /// Repeated hand-offs a second.
    Further,
    /// Part of what a cold host may be given; the whole is 1.
    Cold(HostId),
}

/// What holds for the whole fleet. All members must have the same.
#[derive(Clone, Debug)]
pub struct Set {
    /// Hand-offs out at the origin at once, in sum; none: not limited here.
    pub origin: Option<f64>,
    /// Repeated hand-offs a second, in sum; none: not limited here.
    pub further_per_s: Option<f64>,
    /// Whether what cold hosts may be given is shared.
    pub cold: bool,
    pub lease: Span,
    /// The part of a share that is never lent.
    pub floor: f64,
    /// The longest a hand-off may be out at the origin; what was begun under a lease may outlast it by this.
    pub drain: Span,
    /// For rates: as many seconds of a rate as a dispatcher may use up at once.
    pub window: Span,
    /// The caller's periodic timer.
    pub round: Span,
    /// Asks a round and key, at most.
    pub asks: u32,
    /// Cold hosts known at once by own need, and as many again by asks of others.
    pub cold_keys: usize,
}

impl Default for Set {
    fn default() -> Set {
        Set {
            origin: None,
            further_per_s: None,
            cold: false,
            lease: Span::millis(2_000),
            floor: 0.04,
            drain: Span::millis(1_000),
            window: Span::millis(1_000),
            round: Span::millis(50),
            asks: 32,
            cold_keys: 64,
        }
    }
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SetError {
    #[error("a whole of {0}: give a number above 0, or leave the limit out")]
    Whole(f64),
    #[error("a floor of {0}: give a part of a member's share, from 0 to 1")]
    Floor(f64),
    #[error("a lease of {0:?} at a round of {1:?}: give at least ten rounds, and at most ten minutes")]
    Lease(Span, Span),
    #[error("a drain or window of {0:?}: give at most ten minutes, the longest a hand-off may be out")]
    Drain(Span),
    #[error("this process isn't among the members listed: add it, or correct its name")]
    NotListed,
}

impl SetError {
    pub fn code(&self) -> &'static str {
        match self {
            SetError::Whole(_) => "limit-whole",
            SetError::Floor(_) => "limit-floor",
            SetError::Lease(..) => "limit-lease",
            SetError::Drain(_) => "limit-drain",
            SetError::NotListed => "limit-not-listed",
        }
    }
}

impl Set {
    /// What `Limits::new` relies on. With other values it is safe all the same, but gives little or nothing.
    pub fn check(&self, own: MemberId, listed: &[MemberId]) -> Result<(), SetError> {
        for whole in [self.origin, self.further_per_s].into_iter().flatten() {
            if !(whole > 0.0 && whole.is_finite()) {
                return Err(SetError::Whole(whole));
            }
        }
        if !(0.0..=1.0).contains(&self.floor) {
            return Err(SetError::Floor(self.floor));
        }
        if self.lease > SPAN_MOST || self.lease.0 < self.round.0.saturating_mul(10) {
            return Err(SetError::Lease(self.lease, self.round));
        }
        if let Some(long) = [self.drain, self.window].into_iter().find(|span| *span > SPAN_MOST) {
            return Err(SetError::Drain(long));
        }
        if !listed.contains(&own) {
            return Err(SetError::NotListed);
        }
        Ok(())
    }

    fn whole(&self, key: Key) -> Option<f64> {
        match key {
            Key::Origin => self.origin,
            Key::Further => self.further_per_s,
            Key::Cold(_) => self.cold.then_some(1.0),
        }
        .filter(|whole| whole.is_finite() && *whole > 0.0)
    }

    /// How long what was begun may be out, on a clock that may run fast.
    fn drain(&self, key: Key) -> Span {
        let drain = if key == Key::Origin { self.drain } else { self.window };
        drain.min(SPAN_MOST).times(1.0 + 2.0 * DRIFT)
    }
}

/// What goes between members. Spans are told, never points in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said {
    /// For so much, in place of what the asker holds of this member's already.
    Ask { incarnation: Incarnation, serial: u64, key: Key, amount: f64, span: Span },
    /// The answer: so much for the span from the ask on, maybe nothing. `incarnation` is the asker's. `wait`: when to
    /// ask again, if more may be had then.
    Lent { incarnation: Incarnation, serial: u64, key: Key, amount: f64, span: Span, wait: Option<Span> },
}

/// What the dispatcher may use: `amount` until `until` on its own clock, from then on `after`, with no further call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    pub amount: f64,
    pub until: Time,
    pub after: f64,
}

impl Part {
    pub fn at(&self, now: Time) -> f64 {
        if now < self.until {
            self.amount
        } else {
            self.after
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Tell {
        to: MemberId,
        said: Said,
    },
    /// Once it is in force with the dispatcher, `Limits::taken` says so.
    Part {
        key: Key,
        amount: f64,
        until: Time,
        after: f64,
    },
    Log(String),
}

/// For tests: which guard is out.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    Start,
    FromTheAsk,
    LowerFirst,
    Drain,
    EachStep,
}

/// Amounts lent to one run of a member: it may hold any one of these, each until its time is over.
#[derive(Clone, Debug, Default)]
struct Loan {
    steps: Vec<(Time, f64)>,
}

impl Loan {
    fn most(&self) -> f64 {
        self.steps.iter().fold(0.0, |most, step| step.1.max(most))
    }

    fn add(&mut self, until: Time, amount: f64) {
        self.steps.retain(|step| step.0 > until || step.1 > amount);
        self.steps.push((until, amount));
    }
}

/// The last ask of a member.
#[derive(Clone, Debug)]
struct Asker {
    incarnation: Incarnation,
    serial: u64,
    amount: f64,
    at: Time,
}

#[derive(Clone, Debug)]
struct Ask {
    serial: u64,
    at: Time,
    amount: f64,
}

#[derive(Clone, Debug)]
struct Held {
    amount: f64,
    until: Time,
    renew: Time,
}

/// Another member, as one to borrow from.
#[derive(Clone, Debug, Default)]
struct Lender {
    /// Late answers to the last few asks count too.
    asked: VecDeque<Ask>,
    /// What the ask that is out may bring; zero when none is.
    hoped: f64,
    next: Time,
    fruitless: u32,
    held: Option<Held>,
}

#[derive(Clone, Debug)]
struct Limit {
    whole: f64,
    need: f64,
    need_at: Time,
    /// Whether own need made it known, or others' asks.
    own: bool,
    /// What of the own share is told to the dispatcher for its own use, and the most that may still be in use.
    kept: f64,
    high: f64,
    /// `high` may fall to this, then.
    falls: Option<(f64, Time)>,
    told: Option<Part>,
    to_tell: bool,
    taken: bool,
    lent: BTreeMap<(MemberId, Incarnation), Loan>,
    askers: BTreeMap<MemberId, Asker>,
    lenders: BTreeMap<MemberId, Lender>,
    /// New asks a round, and what of them is left.
    eager: f64,
    credit: f64,
}

impl Limit {
    fn lent(&self) -> f64 {
        self.lent.values().map(Loan::most).sum()
    }

    fn forget(&mut self, now: Time, lease: Span) {
        self.lent.retain(|_, loan| {
            loan.steps.retain(|step| now < step.0);
            !loan.steps.is_empty()
        });
        self.askers.retain(|_, asker| now < asker.at + lease + lease);
        for lender in self.lenders.values_mut() {
            lender.held = lender.held.take().filter(|held| now < held.until);
            lender.asked.retain(|ask| now < ask.at + lease);
        }
        if now >= self.need_at + NEED_HOLDS {
            self.need = 0.0;
        }
    }

    /// What one asker gets of `total` when all are given alike, but none more than it asked for.
    fn fair(&self, total: f64, of: MemberId) -> f64 {
        let mut asks: Vec<(f64, MemberId)> =
            self.askers.iter().map(|(id, asker)| (asker.amount, *id)).collect();
        asks.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut left = total;
        for (i, (amount, id)) in asks.iter().enumerate() {
            let given = amount.min(left / (asks.len() - i) as f64);
            if *id == of {
                return given;
            }
            left -= given;
        }
        0.0
    }
}

/// The limits as one member sees them.
#[derive(Clone, Debug)]
pub struct Limits {
    set: Set,
    incarnation: Incarnation,
    others: BTreeSet<MemberId>,
    dead: BTreeSet<MemberId>,
    /// A member's part of each whole.
    part: f64,
    chance: Pcg64Mcg,
    start: Time,
    stepped_down: bool,
    serial: u64,
    limits: BTreeMap<Key, Limit>,
    out: VecDeque<Effect>,
    refused: (u64, Time),
    without: Option<Guard>,
}

impl Limits {
    /// `listed`: all members, this one among them; if it isn't, it may use nothing.
    pub fn new(
        set: Set,
        own: MemberId,
        incarnation: Incarnation,
        listed: &[MemberId],
        seed: u64,
        now: Time,
    ) -> Limits {
        let mut others: BTreeSet<MemberId> = listed.iter().copied().collect();
        let part = if others.remove(&own) { 1.0 / (others.len() + 1) as f64 } else { 0.0 };
        let set = Set {
            floor: sane(set.floor).min(1.0),
            lease: set.lease.min(SPAN_MOST),
            drain: set.drain.min(SPAN_MOST),
            window: set.window.min(SPAN_MOST),
            ..set
        };
        let mut limits = Limits {
            set,
            incarnation,
            others,
            dead: BTreeSet::new(),
            part,
            chance: Pcg64Mcg::seed_from_u64(seed),
            start: now,
            stepped_down: false,
            serial: 0,
            limits: BTreeMap::new(),
            out: VecDeque::new(),
            refused: (0, now),
            without: None,
        };
        for key in [Key::Origin, Key::Further] {
            if limits.known(now, key, true) {
                limits.refresh(now, key);
            }
        }
        limits
    }

    #[doc(hidden)]
    pub fn without(mut self, guard: Option<Guard>) -> Limits {
        self.without = guard;
        self
    }

    /// What this dispatcher would use if it could. To be told again at least every 10 s while it lasts.
    pub fn wants(&mut self, now: Time, key: Key, amount: f64) {
        if self.known(now, key, true) {
            if let Some(limit) = self.limits.get_mut(&key) {
                limit.need = sane(amount).min(limit.whole);
                limit.need_at = now;
                limit.own |= limit.need > 0.0;
            }
            self.refresh(now, key);
        }
    }

    /// The last part that was pulled for this key is in force with the dispatcher.
    pub fn taken(&mut self, _now: Time, key: Key) {
        if let Some(limit) = self.limits.get_mut(&key) {
            limit.taken |= !limit.to_tell;
        }
    }

    pub fn standing(&mut self, _now: Time, who: MemberId, alive: bool) {
        if alive {
            self.dead.remove(&who);
        } else if self.others.contains(&who) {
            self.dead.insert(who);
        }
    }

    /// A newer process runs under the same name: this one uses and lends nothing from now on.
    pub fn step_down(&mut self, now: Time) {
        self.stepped_down = true;
        let keys: Vec<Key> = self.limits.keys().copied().collect();
        for key in keys {
            self.refresh(now, key);
        }
    }

    /// What the dispatcher may use. For a key that isn't known: what it may use without being told.
    pub fn part(&self, now: Time, key: Key) -> Part {
        let unknown = || {
            let amount = self.set.whole(key).map_or(f64::MAX, |whole| self.cap(now, key, whole * self.part));
            Part { amount, until: now, after: amount }
        };
        self.limits.get(&key).and_then(|limit| limit.told).unwrap_or_else(unknown)
    }

    pub fn heard(&mut self, now: Time, from: MemberId, said: Said) {
        if self.stepped_down {
            return;
        }
        if !self.others.contains(&from) {
            return self.refuse(now);
        }
        match said {
            Said::Ask { incarnation, serial, key, amount, span } => {
                self.asked(now, from, incarnation, Ask { serial, at: now, amount }, key, span);
            }
            Said::Lent { incarnation, serial, key, amount, span, wait } => {
                if incarnation != self.incarnation {
                    return;
                }
                self.lent(now, from, serial, key, amount, span, wait);
            }
        }
    }

    pub fn woken(&mut self, now: Time) {
        let keys: Vec<Key> = self.limits.keys().copied().collect();
        let lease = self.set.lease;
        for key in keys {
            if let Some(limit) = self.limits.get_mut(&key) {
                limit.forget(now, lease);
            }
            self.refresh(now, key);
            if !self.stepped_down {
                self.borrow(now, key);
            }
            if self.is_idle(now, key) {
                self.limits.remove(&key);
            }
        }
        if self.refused.0 > 0 && now >= self.refused.1 {
            let log = format!(
                "limits: {} messages refused: from processes that aren't listed, with values out of range, or for \
                 too many cold hosts; compare the members' lists and settings",
                self.refused.0
            );
            self.out.push_back(Effect::Log(log));
            self.refused = (0, now + Span::millis(60_000));
        }
    }

    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Effect> {
        for (key, limit) in &mut self.limits {
            if let (true, Some(part)) = (limit.to_tell, limit.told) {
                limit.to_tell = false;
                let Part { amount, until, after } = part;
                return Some(Effect::Part { key: *key, amount, until, after });
            }
        }
        self.out.pop_front()
    }

    fn refuse(&mut self, now: Time) {
        self.refused.0 += 1;
        self.refused.1 = self.refused.1.max(now);
    }

    /// When the own share may be used and lent again: all that an earlier run may have lent has run out.
    fn whole_from(&self, key: Key) -> Time {
        match self.without {
            Some(Guard::Start) => self.start,
            _ => self.start + self.set.lease + self.set.drain(key),
        }
    }

    /// What may be used of the own share: nothing until what an earlier run began is over, for it may have
    /// used the whole share; then the floor, which it did not lend; then all.
    fn cap(&self, now: Time, key: Key, share: f64) -> f64 {
        if self.stepped_down {
            0.0
        } else if now >= self.whole_from(key) {
            share
        } else if now >= self.start + self.set.drain(key) {
            share * self.set.floor
        } else {
            0.0
        }
    }

    /// Makes a key known, if it is limited and there is room.
    fn known(&mut self, now: Time, key: Key, own: bool) -> bool {
        if self.limits.contains_key(&key) {
            return true;
        }
        let Some(whole) = self.set.whole(key) else { return false };
        let is_cold = |(key, limit): &(&Key, &Limit)| matches!(key, Key::Cold(_)) && limit.own == own;
        if self.limits.iter().filter(is_cold).count() >= self.set.cold_keys && matches!(key, Key::Cold(_)) {
            return false;
        }
        // A dispatcher that was told nothing of this key may use the share.
        let kept = self.cap(now, key, whole * self.part);
        let limit = Limit {
            whole,
            need: 0.0,
            need_at: now,
            own,
            kept,
            high: kept,
            falls: None,
            told: None,
            to_tell: false,
            taken: false,
            lent: BTreeMap::new(),
            askers: BTreeMap::new(),
            lenders: BTreeMap::new(),
            eager: 4.0,
            credit: 0.0,
        };
        self.limits.insert(key, limit);
        true
    }

    fn is_idle(&self, now: Time, key: Key) -> bool {
        let Some(limit) = self.limits.get(&key) else { return false };
        let share = limit.whole * self.part;
        let lends = !limit.lent.is_empty() || !limit.askers.is_empty();
        let borrows = limit.need > 0.0 || limit.lenders.values().any(|lender| lender.held.is_some());
        let is_whole = limit.kept >= share && !limit.to_tell && now >= self.whole_from(key);
        matches!(key, Key::Cold(_)) && !lends && !borrows && is_whole
    }

    /// What is kept of the own share, and the part that follows.
    fn refresh(&mut self, now: Time, key: Key) {
        let Some(share) = self.limits.get(&key).map(|limit| limit.whole * self.part) else { return };
        let cap = self.cap(now, key, share);
        let drain = if self.without == Some(Guard::Drain) { Span::ZERO } else { self.set.drain(key) };
        let soon = now + self.set.round.times(3.0);
        let Some(limit) = self.limits.get_mut(&key) else { return };
        if let Some((level, _)) = limit.falls.filter(|falls| now >= falls.1) {
            limit.high = level;
            limit.falls = None;
        }
        let lent = limit.lent();
        let need = if limit.askers.is_empty() { share } else { (limit.need * HEADROOM).min(share) };
        let goal = need.max(share * self.set.floor).min(cap).min((share - lent).max(0.0));
        if goal > limit.kept || goal < limit.kept - share * LEAST || cap == 0.0 {
            limit.kept = goal;
        }
        if limit.falls.is_some_and(|falls| falls.0 < limit.kept) {
            limit.falls = None;
        }
        limit.high = limit.high.max(limit.kept);
        let held = || limit.lenders.values().filter_map(|lender| lender.held.as_ref());
        let usable = || held().filter(|held| held.until > soon && !self.stepped_down);
        let after = limit.kept;
        let amount = after + usable().map(|held| held.amount).sum::<f64>();
        let until = usable().map(|held| held.until).min().unwrap_or(now);
        let part = Part { amount, until, after };
        let same = |told: &Part| {
            (told.amount, told.after) == (amount, after) && (amount == after || told.until == until)
        };
        if !limit.told.as_ref().is_some_and(same) {
            limit.taken &= limit.told.is_some_and(|told| told.after == after);
            limit.told = Some(part);
            limit.to_tell = true;
        }
        // What is out may be lowered first and lent then: only what the dispatcher has surely taken away from its own
        // use counts, and only when what it began before is over.
        if self.without == Some(Guard::LowerFirst) {
            limit.high = limit.kept;
        } else if limit.taken && limit.kept < limit.high && limit.falls.is_none() {
            limit.falls = Some((limit.kept, now + drain));
        }
    }

    fn asked(&mut self, now: Time, from: MemberId, incarnation: Incarnation, ask: Ask, key: Key, span: Span) {
        let amount = sane(ask.amount);
        let span = span.min(self.set.lease);
        if amount <= 0.0 || span == Span::ZERO || !self.known(now, key, false) {
            return self.refuse(now);
        }
        let whole_from = self.whole_from(key);
        let drain = if self.without == Some(Guard::Drain) { Span::ZERO } else { self.set.drain(key) };
        let lease = self.set.lease;
        let Some(limit) = self.limits.get_mut(&key) else { return };
        limit.forget(now, lease);
        let last = limit.askers.get(&from).map(|last| (last.incarnation, last.serial));
        if last.is_some_and(|last| (incarnation, ask.serial) <= last) {
            return;
        }
        limit.askers.insert(from, Asker { incarnation, serial: ask.serial, amount, at: now });
        let share = limit.whole * self.part;
        let kept = (limit.need * HEADROOM).max(share * self.set.floor);
        let total = (share - kept).max(0.0);
        let lent = limit.lent();
        let has = limit.lent.get(&(from, incarnation)).map_or(0.0, Loan::most);
        let free = share - limit.high - (lent - has);
        let mut given = amount.min(limit.fair(total, from)).min(free);
        let is_full = limit.lent.get(&(from, incarnation)).is_some_and(|loan| loan.steps.len() >= 4);
        if given < share * LEAST || now < whole_from || is_full {
            given = 0.0;
        } else {
            let loan = limit.lent.entry((from, incarnation)).or_default();
            if self.without == Some(Guard::EachStep) {
                loan.steps.clear();
            }
            loan.add(now + span + drain, given);
        }
        let more = limit.fair(total, from).min(amount) - given >= share * LEAST;
        let wait = if now < whole_from {
            Some(whole_from - now)
        } else if more && total - limit.lent() >= share * LEAST {
            Some(limit.falls.map_or(drain, |falls| falls.1 - now) + self.set.round)
        } else {
            None
        };
        let serial = ask.serial;
        let said = Said::Lent { incarnation, serial, key, amount: given, span, wait };
        self.out.push_back(Effect::Tell { to: from, said });
    }

    #[allow(clippy::too_many_arguments)]
    fn lent(
        &mut self,
        now: Time,
        from: MemberId,
        serial: u64,
        key: Key,
        amount: f64,
        span: Span,
        wait: Option<Span>,
    ) {
        let jitter = self.chance.gen_range(1.0..1.25);
        let lease = self.set.lease;
        let Some(limit) = self.limits.get_mut(&key) else { return };
        let Some(lender) = limit.lenders.get_mut(&from) else { return };
        let Some(ask) = lender.asked.iter().find(|ask| ask.serial == serial).cloned() else { return };
        // An answer counts once, and not after one to a later ask.
        lender.asked.retain(|ask| ask.serial > serial);
        lender.hoped = 0.0;
        let amount = sane(amount).min(ask.amount);
        if amount > 0.0 {
            // From the ask on: the lender counts from later. A clock that runs slow must not make it longer.
            let usable = span.min(lease).times(USABLE);
            let from = if self.without == Some(Guard::FromTheAsk) { now } else { ask.at };
            let until = from + usable;
            let renew = ask.at + usable.times(0.55);
            lender.fruitless = 0;
            lender.next = renew;
            if now < until {
                lender.held = Some(Held { amount, until, renew });
            }
        }
        match wait {
            _ if amount > 0.0 => limit.eager *= 2.0,
            Some(wait) => {
                limit.eager *= 2.0;
                lender.next = now + wait.max(BACKOFF).min(WAIT_MOST).times(jitter);
            }
            None => {
                limit.eager *= 0.8;
                lender.fruitless = (lender.fruitless + 1).min(5);
                lender.next = now + BACKOFF.times(f64::from(1 << lender.fruitless) * jitter);
            }
        }
        limit.eager = limit.eager.clamp(0.2, f64::from(self.set.asks));
    }

    /// Renews leases and asks for more, or lets them run out.
    fn borrow(&mut self, now: Time, key: Key) {
        let Some(share) = self.limits.get(&key).map(|limit| limit.whole * self.part) else { return };
        let cap = self.cap(now, key, share);
        let Some(limit) = self.limits.get_mut(&key) else { return };
        let (least, most) = (share * LEAST, share * (1.0 - self.set.floor));
        let own = (share - limit.lent()).max(0.0).min(cap);
        let held: f64 =
            limit.lenders.values().filter_map(|lender| lender.held.as_ref()).map(|h| h.amount).sum();
        let mut short = limit.need - own - held;
        limit.credit = (limit.credit + limit.eager).min(f64::from(self.set.asks));
        if limit.need <= 0.0 {
            return;
        }
        let mut asks: Vec<(MemberId, f64)> = Vec::new();
        // The ones that run out first come first: what isn't needed is let go there.
        let mut due: Vec<(Time, MemberId, f64)> = Vec::new();
        for (id, lender) in &mut limit.lenders {
            if lender.hoped > 0.0 && now >= lender.next {
                lender.hoped = 0.0;
                if lender.held.is_none() {
                    lender.fruitless = (lender.fruitless + 1).min(5);
                    let jitter = self.chance.gen_range(1.0..1.25);
                    lender.next = now + BACKOFF.times(f64::from(1 << lender.fruitless) * jitter);
                }
            }
            match &lender.held {
                Some(held) if lender.hoped <= 0.0 && held.renew <= now && now >= lender.next => {
                    due.push((held.until, *id, held.amount));
                }
                Some(held) => short -= (lender.hoped - held.amount).max(0.0),
                None => short -= lender.hoped,
            }
        }
        due.sort_by_key(|due| (due.0, due.1));
        for (_, id, amount) in due {
            if short + amount <= 0.0 {
                short += amount;
            } else if asks.len() < self.set.asks as usize {
                let wanted = (amount + short).max(least).min(most);
                short -= wanted - amount;
                asks.push((id, wanted));
            }
        }
        let room = (self.set.asks as usize - asks.len()).min(limit.credit as usize);
        if short > least && room > 0 {
            let is_open = |id: &&MemberId| {
                let is_due =
                    |lender: &Lender| lender.held.is_none() && lender.hoped <= 0.0 && lender.next <= now;
                !self.dead.contains(*id) && limit.lenders.get(id).is_none_or(is_due)
            };
            let mut open: Vec<MemberId> = self.others.iter().filter(is_open).copied().collect();
            for i in 0..room.min(open.len()) {
                if short <= least {
                    break;
                }
                let other = self.chance.gen_range(i..open.len());
                open.swap(i, other);
                let wanted = short.min(most).max(least);
                short -= wanted;
                limit.credit -= 1.0;
                asks.push((open[i], wanted));
            }
        }
        let span = self.set.lease;
        for (to, amount) in asks {
            self.serial += 1;
            let serial = self.serial;
            let lender = limit.lenders.entry(to).or_default();
            lender.hoped = amount;
            lender.next = now + ANSWER_WITHIN;
            if lender.asked.len() >= 4 {
                lender.asked.pop_front();
            }
            lender.asked.push_back(Ask { serial, at: now, amount });
            let said = Said::Ask { incarnation: self.incarnation, serial, key, amount, span };
            self.out.push_back(Effect::Tell { to, said });
        }
    }
}

/// What a peer says may be anything.
fn sane(amount: f64) -> f64 {
    if amount.is_finite() {
        amount.max(0.0)
    } else {
        0.0
    }
}
