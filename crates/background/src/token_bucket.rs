//! A token bucket: refilled at a fixed rate, with unspent tokens kept up to a burst size.
use cherrypass::time::{Span, Time};

/// A refill rate and a burst size, in tokens. Over any span no more is spent than `per_second` times the
/// span, plus the burst and the overrun of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    pub per_second: f64,
    pub burst: f64,
}

/// A bucket of tokens, full at first.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: Rate,
    level: f64,
    refilled_at: Time,
}

impl TokenBucket {
    pub fn new(rate: Rate, now: Time) -> TokenBucket {
        TokenBucket { rate, level: rate.burst, refilled_at: now }
    }

    /// Adds the tokens due since the last refill; returns those that exceeded the burst size. A clock that
    /// goes back adds none.
    pub fn refill(&mut self, now: Time) -> f64 {
        let due = (now - self.refilled_at).as_seconds() * self.rate.per_second;
        self.refilled_at = self.refilled_at.max(now);
        let level = self.level + due;
        self.level = level.min(self.rate.burst);
        level - self.level
    }

    /// Adds tokens; returns those that exceeded the burst size.
    pub fn add(&mut self, amount: f64) -> f64 {
        let level = self.level + amount;
        self.level = level.min(self.rate.burst);
        level - self.level
    }

    /// The level may become negative when a step exceeds its estimate; later refills pay the debt first.
    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// The tokens available now.
    pub fn level(&self) -> f64 {
        self.level
    }

    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// The time until `amount` tokens, or the burst size if that is smaller, are available.
    pub fn time_until(&self, amount: f64) -> Span {
        Span::seconds((amount.min(self.rate.burst) - self.level).max(0.0) / self.rate.per_second.max(1e-9))
    }
}
