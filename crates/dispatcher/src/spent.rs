//! What the dispatcher itself takes: times from a visit's last byte in to its hand-off out, from an answer in
//! to the answer out, and how late timers fire, in buckets a quarter of a power of two wide.
use cherrypass::time::Span;

const STEPS: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct Spread {
    buckets: [u32; 128],
    seen: u32,
}

impl Default for Spread {
    fn default() -> Spread {
        Spread { buckets: [0; 128], seen: 0 }
    }
}

impl Spread {
    pub fn push(&mut self, span: Span) {
        let place = ((span.0.max(1) as f64).log2() * STEPS) as usize;
        self.buckets[place.min(127)] += 1;
        self.seen += 1;
    }

    /// The time that this part of all did not pass, in microseconds, to the bucket's upper end.
    fn part(&self, part: f64) -> f64 {
        let mut left = f64::from(self.seen) * part;
        let place = self.buckets.iter().position(|count| {
            left -= f64::from(*count);
            left <= 0.0
        });
        place.map_or(0.0, |place| ((place + 1) as f64 / STEPS).exp2())
    }

    pub fn line(&self) -> String {
        let (typical, worst) = (self.part(0.5) / 1000.0, self.part(0.99) / 1000.0);
        format!("{typical:.2}/{worst:.2} ms ({})", self.seen)
    }
}

#[derive(Debug, Default)]
pub struct Spent {
    pub inward: Spread,
    pub outward: Spread,
    pub timers: Spread,
    pub mailbox: Spread,
    pub unread_most: usize,
    pub open_most: usize,
}
