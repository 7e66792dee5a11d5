//! State of one limit at one member: what it retains and has lent, and the members it borrows from.
use super::messages::Allowance;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Demand that is not reported again within this time counts as zero.
const DEMAND_TTL: Span = Span::millis(10_000);

/// Smallest loan, as a fraction of a share.
pub(super) const MIN_LOAN_FRACTION: f64 = 1.0 / 64.0;
/// Factor over its present demand that a lender retains.
pub(super) const DEMAND_HEADROOM: f64 = 1.1;

/// An amount lent until a time.
#[derive(Clone, Debug)]
pub(super) struct LoanEntry {
    pub until: Time,
    pub amount: f64,
}

/// Amounts lent to one run of a member. The borrower may hold any one of them until that entry expires.
#[derive(Clone, Debug, Default)]
pub(super) struct Loan {
    pub entries: Vec<LoanEntry>,
}

impl Loan {
    pub fn max_amount(&self) -> f64 {
        self.entries.iter().fold(0.0, |most, entry| entry.amount.max(most))
    }

    pub fn add(&mut self, until: Time, amount: f64) {
        self.entries.retain(|entry| entry.until > until || entry.amount > amount);
        self.entries.push(LoanEntry { until, amount });
    }
}

/// The latest request received from a member.
#[derive(Clone, Debug)]
pub(super) struct Borrower {
    pub incarnation: Incarnation,
    pub serial: u64,
    pub amount: f64,
    pub received: Time,
}

/// A request for a loan. `at`: when the side that holds it sent or received it.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub serial: u64,
    pub at: Time,
    pub amount: f64,
}

/// A loan received from another member.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub amount: f64,
    pub until: Time,
    pub renew_at: Time,
}

/// Another member as a source of loans.
#[derive(Clone, Debug, Default)]
pub(super) struct Lender {
    /// The last few requests sent; late answers to any of them are accepted.
    pub requests: VecDeque<Request>,
    /// Amount of the outstanding request; zero when there is none.
    pub expected: f64,
    pub next_request: Time,
    /// Consecutive requests that brought nothing, which set the backoff.
    pub failures: u32,
    pub lease: Option<Lease>,
}

/// A reduction of the part that may still be in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reduction {
    pub level: f64,
    /// When it takes effect.
    pub at: Time,
}

/// The result of a draw: whether this member collects a whole hand-off or goes without, and until when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draw {
    pub collects: bool,
    pub until: Time,
}

/// One limit at one member.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// The fleet-wide limit.
    pub total: f64,
    pub demand: f64,
    pub demand_at: Time,
    /// Created by own demand rather than by another member's request.
    pub has_own_demand: bool,
    /// The part of the own share granted to the dispatcher, and the most of it that may still be in use.
    pub retained: f64,
    pub in_use_max: f64,
    /// The pending reduction of `in_use_max`.
    pub reduction: Option<Reduction>,
    pub allowance: Option<Allowance>,
    pub has_new_allowance: bool,
    /// Whether the dispatcher has put the latest allowance into force.
    pub is_applied: bool,
    pub loans: BTreeMap<(MemberId, Incarnation), Loan>,
    pub borrowers: BTreeMap<MemberId, Borrower>,
    pub lenders: BTreeMap<MemberId, Lender>,
    /// The last draw, where a share is less than one hand-off.
    pub draw: Option<Draw>,
    /// Estimated fraction of the other members that have unmet demand, from their answers.
    pub contention: f64,
    /// When it last held a whole hand-off, had no demand, or drew.
    pub satisfied_at: Time,
    /// New requests allowed per round, and the unused allowance of earlier rounds.
    pub request_rate: f64,
    pub request_credit: f64,
}

impl Limit {
    pub fn total_lent(&self) -> f64 {
        self.loans.values().map(Loan::max_amount).sum()
    }

    /// The retained part of the own share plus all leases.
    pub fn available(&self) -> f64 {
        let leases = self.lenders.values().filter_map(|lender| lender.lease.as_ref());
        self.retained + leases.map(|lease| lease.amount).sum::<f64>()
    }

    /// The demand after the draw, where there is one.
    pub fn effective_demand(&self, unit: f64) -> f64 {
        match self.draw {
            None => self.demand,
            Some(Draw { collects: true, .. }) => unit * 1.001,
            Some(Draw { collects: false, .. }) => 0.0,
        }
    }

    /// Drops expired loans, leases, requests and demand.
    pub fn expire(&mut self, now: Time, lease_span: Span) {
        self.loans.retain(|_, loan| {
            loan.entries.retain(|entry| now < entry.until);
            !loan.entries.is_empty()
        });
        self.borrowers.retain(|_, borrower| now < borrower.received + lease_span + lease_span);
        for lender in self.lenders.values_mut() {
            lender.lease = lender.lease.take().filter(|lease| now < lease.until);
            lender.requests.retain(|request| now < request.at + lease_span);
        }
        if now >= self.demand_at + DEMAND_TTL {
            self.demand = 0.0;
        }
    }

    /// Max-min fair share of `total` for one borrower among those that requested since `since`.
    pub fn fair_share(&self, total: f64, of: MemberId, since: Time) -> f64 {
        let recent = self.borrowers.iter().filter(|(_, borrower)| borrower.received >= since);
        let mut requests: Vec<(f64, MemberId)> =
            recent.map(|(id, borrower)| (borrower.amount, *id)).collect();
        requests.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut left = total;
        for (i, (amount, id)) in requests.iter().enumerate() {
            let given = amount.min(left / (requests.len() - i) as f64);
            if *id == of {
                return given;
            }
            left -= given;
        }
        0.0
    }
}
