//! Borrowing: requests to other members, their answers, and renewal of leases.
use super::limit::{Lease, Lender, Limit, Request, MIN_LOAN_FRACTION};
use super::messages::{Effect, Message};
use super::settings::{LimitKey, CLOCK_DRIFT};
use super::state::{sanitized, Guard, Limits};
use crate::common::MemberId;
use cherrypass::time::{Span, Time};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Fraction of a lease's span, counted from the request, in which the borrower uses it. Covers the drift of
/// both clocks, and the delay from reading the clock to the hand-off.
const USABLE_LEASE_FRACTION: f64 = 1.0 - 3.0 * CLOCK_DRIFT;
/// Fraction of the usable span after which a lease is renewed.
const RENEWAL_FRACTION: f64 = 0.45;
/// A request not answered within this time counts as lost; a late answer is still accepted.
const ANSWER_TIMEOUT: Span = Span::millis(120);
/// Delay after a request that brought nothing; doubled each time, five times at most.
const INITIAL_BACKOFF: Span = Span::millis(100);
const MAX_WAIT: Span = Span::millis(4_000);
/// The last requests to one member to which late answers are accepted.
const MAX_REMEMBERED_REQUESTS: usize = 4;

/// An answer to a request.
pub(super) struct Grant {
    pub serial: u64,
    pub key: LimitKey,
    pub amount: f64,
    pub span: Span,
    pub wait: Option<Span>,
}

/// A lease that is due for renewal.
struct Renewal {
    until: Time,
    lender: MemberId,
    amount: f64,
}

/// The requests of one round for one key.
struct Requests {
    /// The demand that nothing covers yet.
    short: f64,
    /// Least and greatest amount of a request.
    min: f64,
    max: f64,
    max_count: usize,
    /// The lenders, and what each is asked for.
    amounts: Vec<(MemberId, f64)>,
}

impl Requests {
    /// Renews leases that are needed, and lets others expire.
    fn renew(&mut self, renewals: Vec<Renewal>) {
        for Renewal { lender, amount, .. } in renewals {
            if self.short + amount <= 0.0 {
                self.short += amount;
            } else if self.amounts.len() < self.max_count {
                let wanted = (amount + self.short).max(self.min).min(self.max);
                self.short -= wanted - amount;
                self.amounts.push((lender, wanted));
            }
        }
    }

    /// Asks another member for what is still short.
    pub(super) fn add(&mut self, lender: MemberId) {
        let wanted = self.short.min(self.max).max(self.min);
        self.short -= wanted;
        self.amounts.push((lender, wanted));
    }
}

impl Limits {
    /// Handles an answer. Each one counts once, and not after the answer to a later request.
    pub(super) fn handle_grant(&mut self, now: Time, from: MemberId, grant: Grant) {
        let jitter = self.rng.gen_range(1.0..1.25);
        let span = grant.span.min(self.settings.lease);
        let Some(limit) = self.limits.get_mut(&grant.key) else { return };
        let Some(lender) = limit.lenders.get_mut(&from) else { return };
        let Some(request) = lender.take_request(grant.serial) else { return };
        let amount = sanitized(grant.amount).min(request.amount);
        if amount > 0.0 {
            // Counted from the request: the lender starts later. A slow clock must not extend the lease.
            let lease_from =
                if self.disabled_guard == Some(Guard::LeaseFromRequest) { now } else { request.at };
            lender.begin_lease(now, lease_from, request.at, amount, span);
        }
        match grant.wait {
            _ if amount > 0.0 => limit.request_rate *= 2.0,
            Some(wait) => {
                limit.request_rate *= 2.0;
                lender.failures = 0;
                lender.next_request = now + wait.max(INITIAL_BACKOFF).min(MAX_WAIT).times(jitter);
            }
            None => {
                limit.request_rate *= 0.8;
                lender.failures = (lender.failures + 1).min(5);
                lender.back_off(now, jitter);
            }
        }
        limit.request_rate = limit.request_rate.clamp(0.2, f64::from(self.settings.max_requests_per_key));
    }

    /// Renews leases that are needed, lets others expire and requests further ones. Returns the number of
    /// requests.
    pub(super) fn request_leases(&mut self, now: Time, key: LimitKey) -> usize {
        let Some(mut requests) = self.uncovered_demand(now, key) else { return 0 };
        let Some(limit) = self.limits.get_mut(&key) else { return 0 };
        limit.give_up_lost_requests(now, &mut self.rng);
        let renewals = limit.due_renewals(now, &mut requests.short);
        requests.renew(renewals);
        self.ask_further_lenders(now, key, &mut requests);
        let count = requests.amounts.len();
        self.send_requests(now, key, requests.amounts);
        count
    }

    /// What the demand exceeds the own share and the leases by; `None` without demand. Adds the requests
    /// that this round allows.
    fn uncovered_demand(&mut self, now: Time, key: LimitKey) -> Option<Requests> {
        let share = self.limits.get(&key).map(|limit| limit.total * self.share_fraction)?;
        let usable = self.usable_share(now, key, share);
        let max_count = self.settings.max_requests_per_key;
        let limit = self.limits.get_mut(&key)?;
        let own = (share - limit.total_lent()).max(0.0).min(usable);
        let held = limit.available() - limit.retained;
        let wanted = limit.effective_demand(self.settings.unit(key));
        limit.request_credit = (limit.request_credit + limit.request_rate).min(f64::from(max_count));
        (wanted > 0.0).then(|| Requests {
            short: wanted - own - held,
            min: share * MIN_LOAN_FRACTION,
            max: share * (1.0 - self.settings.floor_fraction),
            max_count: max_count as usize,
            amounts: Vec::new(),
        })
    }

    /// Asks random members that lend nothing yet for what is still short.
    fn ask_further_lenders(&mut self, now: Time, key: LimitKey, requests: &mut Requests) {
        let Some(limit) = self.limits.get_mut(&key) else { return };
        let room = (requests.max_count - requests.amounts.len()).min(limit.request_credit as usize);
        if requests.short <= requests.min || room == 0 {
            return;
        }
        let is_open = |id: &&MemberId| {
            let is_due = |lender: &Lender| {
                lender.lease.is_none() && lender.expected <= 0.0 && lender.next_request <= now
            };
            !self.dead.contains(*id) && limit.lenders.get(id).is_none_or(is_due)
        };
        let mut open: Vec<MemberId> = self.others.iter().filter(is_open).copied().collect();
        for i in 0..room.min(open.len()) {
            if requests.short <= requests.min {
                break;
            }
            let other = self.rng.gen_range(i..open.len());
            open.swap(i, other);
            limit.request_credit -= 1.0;
            requests.add(open[i]);
        }
    }

    fn send_requests(&mut self, now: Time, key: LimitKey, amounts: Vec<(MemberId, f64)>) {
        let Some(limit) = self.limits.get_mut(&key) else { return };
        let (incarnation, span) = (self.incarnation, self.settings.lease);
        for (to, amount) in amounts {
            self.serial += 1;
            let serial = self.serial;
            limit.lenders.entry(to).or_default().note_request(Request { serial, at: now, amount });
            let message = Message::Request { incarnation, serial, key, amount, span };
            self.effects.push_back(Effect::Send { to, message });
        }
    }
}

impl Limit {
    /// Counts requests without an answer as lost.
    fn give_up_lost_requests(&mut self, now: Time, rng: &mut Pcg64Mcg) {
        for lender in self.lenders.values_mut() {
            if lender.expected <= 0.0 || now < lender.next_request {
                continue;
            }
            lender.expected = 0.0;
            if lender.lease.is_none() {
                // Lost, or this member is partitioned: slow down.
                self.request_rate = (self.request_rate * 0.9).max(0.2);
                lender.failures = lender.failures.max((lender.failures + 1).min(3));
                lender.back_off(now, rng.gen_range(1.0..1.25));
            }
        }
    }

    /// The leases to renew, in order of expiry: surplus ones are dropped there first. Subtracts from `short`
    /// what other requests are expected to bring.
    fn due_renewals(&self, now: Time, short: &mut f64) -> Vec<Renewal> {
        let mut due = Vec::new();
        for (id, lender) in &self.lenders {
            match &lender.lease {
                Some(lease)
                    if lender.expected <= 0.0 && lease.renew_at <= now && now >= lender.next_request =>
                {
                    due.push(Renewal { until: lease.until, lender: *id, amount: lease.amount });
                }
                Some(lease) => *short -= (lender.expected - lease.amount).max(0.0),
                None => *short -= lender.expected,
            }
        }
        due.sort_by_key(|renewal| (renewal.until, renewal.lender));
        due
    }
}

impl Lender {
    /// The request of this number; drops it and the earlier ones.
    fn take_request(&mut self, serial: u64) -> Option<Request> {
        let request = self.requests.iter().find(|request| request.serial == serial).cloned()?;
        self.requests.retain(|request| request.serial > serial);
        self.expected = 0.0;
        Some(request)
    }

    fn begin_lease(&mut self, now: Time, from: Time, requested: Time, amount: f64, span: Span) {
        let usable = span.times(USABLE_LEASE_FRACTION);
        let (until, renew_at) = (from + usable, requested + usable.times(RENEWAL_FRACTION));
        self.failures = 0;
        self.next_request = renew_at;
        if now < until {
            self.lease = Some(Lease { amount, until, renew_at });
        }
    }

    fn back_off(&mut self, now: Time, jitter: f64) {
        self.next_request = now + INITIAL_BACKOFF.times(f64::from(1 << self.failures) * jitter);
    }

    fn note_request(&mut self, request: Request) {
        self.expected = request.amount;
        self.next_request = request.at + ANSWER_TIMEOUT;
        if self.requests.len() >= MAX_REMEMBERED_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(request);
    }
}
