//! Messages between members, and the effects that the caller carries out.
use super::settings::LimitKey;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use serde::{Deserialize, Serialize};

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
