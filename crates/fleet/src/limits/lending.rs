//! Lending: requests of other members, and the loans they get.
use super::limit::{Borrower, Limit, Loan, Request, DEMAND_HEADROOM, MIN_LOAN_FRACTION};
use super::messages::{Effect, Message};
use super::settings::LimitKey;
use super::state::{sanitized, Guard, Limits};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};

/// Entries of a loan, beyond which nothing is lent until one expires.
const MAX_LOAN_ENTRIES: usize = 4;

/// The terms under which this member lends.
struct Terms {
    share: f64,
    floor: f64,
    min_loan: f64,
    /// The size of one hand-off.
    unit: f64,
    lease: Span,
    drain: Span,
    interval: Span,
    full_share_from: Time,
    forgets_earlier_loans: bool,
}

impl Limits {
    pub(super) fn handle_request(
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
        let Some(terms) = self.terms(key) else { return };
        let Some(limit) = self.limits.get_mut(&key) else { return };
        limit.expire(now, terms.lease);
        let serial = request.serial;
        if !limit.note_borrower(from, Borrower { incarnation, serial, amount, received: now }) {
            return;
        }
        let lendable = limit.lendable(&terms);
        // Splitting one hand-off among several borrowers helps none of them.
        let fair = if terms.share < terms.unit {
            amount.min(lendable)
        } else {
            limit.fair_share(lendable, from, now - terms.lease)
        };
        let given = limit.lend(now, &terms, (from, incarnation), fair, now + span + terms.drain);
        let wait = limit.request_delay(now, &terms, lendable, fair - given);
        let needs = limit.demand >= terms.share;
        let message = Message::Grant { incarnation, serial, key, amount: given, span, wait, needs };
        self.effects.push_back(Effect::Send { to: from, message });
    }

    fn terms(&self, key: LimitKey) -> Option<Terms> {
        let share = self.limits.get(&key)?.total * self.share_fraction;
        Some(Terms {
            share,
            floor: share * self.settings.floor_fraction,
            min_loan: share * MIN_LOAN_FRACTION,
            unit: self.settings.unit(key),
            lease: self.settings.lease,
            drain: self.drain(key),
            interval: self.settings.interval,
            full_share_from: self.full_share_from(key),
            forgets_earlier_loans: self.disabled_guard == Some(Guard::AllLoans),
        })
    }
}

impl Limit {
    /// Keeps a member's latest request. False if a later one was received before.
    fn note_borrower(&mut self, from: MemberId, borrower: Borrower) -> bool {
        let last = self.borrowers.get(&from).map(|last| (last.incarnation, last.serial));
        if last.is_some_and(|last| (borrower.incarnation, borrower.serial) <= last) {
            return false;
        }
        self.borrowers.insert(from, borrower);
        true
    }

    /// What the own demand and the floor leave of the share.
    fn lendable(&self, terms: &Terms) -> f64 {
        let retained = (self.effective_demand(terms.unit) * DEMAND_HEADROOM).max(terms.floor);
        (terms.share - retained).max(0.0)
    }

    /// Lends a run of a member up to `wanted`, in place of what it holds. Returns the amount, zero if nothing
    /// can be lent now.
    fn lend(
        &mut self,
        now: Time,
        terms: &Terms,
        borrower: (MemberId, Incarnation),
        wanted: f64,
        until: Time,
    ) -> f64 {
        let lent = self.total_lent();
        let lent_to_borrower = self.loans.get(&borrower).map_or(0.0, Loan::max_amount);
        let free = terms.share - self.in_use_max - (lent - lent_to_borrower);
        let given = wanted.min(free);
        let is_full = self.loans.get(&borrower).is_some_and(|loan| loan.entries.len() >= MAX_LOAN_ENTRIES);
        if given < terms.min_loan || now < terms.full_share_from || is_full {
            return 0.0;
        }
        let loan = self.loans.entry(borrower).or_default();
        if terms.forgets_earlier_loans {
            loan.entries.clear();
        }
        loan.add(until, given);
        given
    }

    /// When a borrower should request again; `None` where more is not to be expected. `unmet`: what it lacks
    /// of its fair share.
    fn request_delay(&self, now: Time, terms: &Terms, lendable: f64, unmet: f64) -> Option<Span> {
        if now < terms.full_share_from {
            return Some(terms.full_share_from - now);
        }
        if unmet < terms.min_loan {
            return None;
        }
        if lendable - self.total_lent() >= terms.min_loan {
            let reduced_in = self.reduction.map_or(terms.drain, |reduction| reduction.at - now);
            return Some(reduced_in + terms.interval);
        }
        // Lent to others; it is divided again as leases expire.
        let ends = self.loans.values().flat_map(|loan| &loan.entries).map(|entry| entry.until);
        ends.min().map(|end| (end - now) + terms.interval)
    }
}
