//! One limit as a member knows it: what it kept and lent, and whom it asks.
use super::Part;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// A need that isn't told again for so long is over.
const NEED_HOLDS: Span = Span::millis(10_000);

/// Amounts lent to one run of a member: it may hold any one of these, each until its time is over.
#[derive(Clone, Debug, Default)]
pub(super) struct Loan {
    pub steps: Vec<(Time, f64)>,
}

impl Loan {
    pub fn most(&self) -> f64 {
        self.steps.iter().fold(0.0, |most, step| step.1.max(most))
    }

    pub fn add(&mut self, until: Time, amount: f64) {
        self.steps.retain(|step| step.0 > until || step.1 > amount);
        self.steps.push((until, amount));
    }
}

/// The last ask of a member.
#[derive(Clone, Debug)]
pub(super) struct Asker {
    pub incarnation: Incarnation,
    pub serial: u64,
    pub amount: f64,
    pub at: Time,
}

#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub serial: u64,
    pub at: Time,
    pub amount: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Held {
    pub amount: f64,
    pub until: Time,
    pub renew: Time,
}

/// Another member, as one to borrow from.
#[derive(Clone, Debug, Default)]
pub(super) struct Lender {
    /// Late answers to the last few asks count too.
    pub asked: VecDeque<Ask>,
    /// What the ask that is out may bring; zero when none is.
    pub hoped: f64,
    pub next: Time,
    pub fruitless: u32,
    pub held: Option<Held>,
}

#[derive(Clone, Debug)]
pub(super) struct Limit {
    pub whole: f64,
    pub need: f64,
    pub need_at: Time,
    /// Whether own need made it known, or others' asks.
    pub own: bool,
    /// What of the own share is told to the dispatcher for its own use, and the most that may still be in
    /// use.
    pub kept: f64,
    pub high: f64,
    /// `high` may fall to this, then.
    pub falls: Option<(f64, Time)>,
    pub told: Option<Part>,
    pub to_tell: bool,
    pub taken: bool,
    pub lent: BTreeMap<(MemberId, Incarnation), Loan>,
    pub askers: BTreeMap<MemberId, Asker>,
    pub lenders: BTreeMap<MemberId, Lender>,
    /// Where a share is less than one hand-off: by lot a member gathers one, or does without, until then.
    pub turn: Option<(bool, Time)>,
    /// The part of the others that want too, by their answers.
    pub rivals: f64,
    /// When it last had a whole one, or no need, or drew.
    pub had: Time,
    /// New asks a round, and what of them is left.
    pub eager: f64,
    pub credit: f64,
}

impl Limit {
    pub fn lent(&self) -> f64 {
        self.lent.values().map(Loan::most).sum()
    }

    pub fn has(&self) -> f64 {
        let held = self.lenders.values().filter_map(|lender| lender.held.as_ref());
        self.kept + held.map(|held| held.amount).sum::<f64>()
    }

    /// The need as the lot has it.
    pub fn wanted(&self, grain: f64) -> f64 {
        match self.turn {
            None => self.need,
            Some((true, _)) => grain * 1.001,
            Some((false, _)) => 0.0,
        }
    }

    pub fn forget(&mut self, now: Time, lease: Span) {
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
    pub fn fair(&self, total: f64, of: MemberId, since: Time) -> f64 {
        let recent = self.askers.iter().filter(|(_, asker)| asker.at >= since);
        let mut asks: Vec<(f64, MemberId)> = recent.map(|(id, asker)| (asker.amount, *id)).collect();
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
