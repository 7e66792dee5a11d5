//! Settings of the rollout.
use cherrypass::time::Span;

/// Settings of the rollout.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How often members send their status.
    pub hello_interval: Span,
    /// A member with the version that has not been heard for this long causes a halt.
    pub silence_limit: Span,
    /// The time without a runner after which another member takes over.
    pub runner_timeout: Span,
    /// The timeout of an attempt to change the step, and the interval of its messages.
    pub attempt_timeout: Span,
    pub resend_interval: Span,
    /// How long an order waits for the acceptances that it needs.
    pub order_timeout: Span,
    /// How long after a stage's hold its figures may still be too few, or a dispatcher may still be without
    /// the version.
    pub stage_overtime: Span,
    /// The length of the windows, and how many are kept from before a stage and since.
    pub window: Span,
    pub max_windows: [usize; 2],
    /// The probability that a harmless version is halted for its figures, over the whole rollout.
    pub false_halt_rate: f64,
    /// How many members may have lost the latest records of their store at the same time.
    pub max_faulty_stores: usize,
    /// Promotion needs all listed members; otherwise those that have the version or would get it, and a
    /// majority of all.
    pub promotion_needs_all: bool,
    /// How long to wait before a failed store is tried again.
    pub store_rest: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            hello_interval: Span::seconds(1.0),
            silence_limit: Span::seconds(10.0),
            runner_timeout: Span::seconds(5.0),
            attempt_timeout: Span::seconds(4.0),
            resend_interval: Span::millis(250),
            order_timeout: Span::seconds(60.0),
            stage_overtime: Span::seconds(120.0),
            window: Span::seconds(5.0),
            max_windows: [36, 48],
            false_halt_rate: 0.005,
            max_faulty_stores: 1,
            promotion_needs_all: true,
            store_rest: Span::seconds(5.0),
        }
    }
}
