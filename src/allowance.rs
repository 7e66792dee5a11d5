//! This dispatcher's allowances of shared limits, and its use of them.
use crate::containers::TokenBucket;
use crate::time::Time;

/// This dispatcher's part of a shared limit: `amount` until `until`, then `amount_after`.
#[derive(Debug)]
pub struct Allowance {
    pub(crate) amount: f64,
    pub(crate) until: Time,
    pub(crate) amount_after: f64,
    /// Tokens of a limit by the second; for other limits, used only if the amount is below one.
    pub(crate) bucket: TokenBucket,
}

impl Allowance {
    pub(crate) fn amount_at(&self, now: Time) -> f64 {
        if now < self.until {
            self.amount
        } else {
            self.amount_after
        }
    }
}

/// Use of a shared limit, and what was refused because of it, since the last query.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub(crate) used: f64,
    pub refused: f64,
    pub(crate) measured_since: Time,
}
