//! Estimates the clock of the change log's writer from the time stamps of its changes. Purges and starts of
//! hosts are dated by it. The origin's stamps on copies (`born`) count too, since by the protocol they come
//! from the same Unix clock.
//!
//! Guards rules 4 and 5 against a wall clock of this machine that is wrong or stepped: ages are never
//! overestimated. When a stamp is received, the writer's clock shows at least that time; this process's
//! monotonic clock extrapolates from there. The second latest such estimate is used, so that a single stamp
//! from a wrong clock has no effect. The estimate lags by the shortest recent delay of changes or copies, and
//! right after a start by the age of the second youngest known stamp. A lag errs towards needless fills and
//! slow starts.
use cherrypass::time::{Span, Time, UnixTime};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    stamp: UnixTime,
    received_at: Time,
}

impl Observation {
    /// Lower bound of the writer's clock.
    fn now(self, now: Time) -> UnixTime {
        self.stamp + (now - self.received_at)
    }
}

/// The two latest estimates of the writer's clock, from different stamps.
#[derive(Clone, Debug, Default)]
pub struct ChangeClock {
    latest: Option<Observation>,
    second_latest: Option<Observation>,
}

impl ChangeClock {
    /// Takes a stamp into account.
    pub fn observe(&mut self, now: Time, stamp: UnixTime) {
        let new = Observation { stamp, received_at: now };
        let observations = [self.latest, self.second_latest].into_iter().flatten();
        // A repeated stamp is no independent estimate.
        let is_known = observations.clone().any(|observation| observation.stamp == stamp);
        let is_later = |than: Option<Observation>| than.is_none_or(|than| new.now(now) > than.now(now));
        if is_known {
            return;
        }
        if is_later(self.latest) {
            (self.latest, self.second_latest) = (Some(new), self.latest);
        } else if is_later(self.second_latest) {
            self.second_latest = Some(new);
        }
    }

    /// Lower bound of the age of a stamp; zero without an estimate.
    pub fn min_age(&self, now: Time, stamp: UnixTime) -> Span {
        self.second_latest.map_or(Span::ZERO, |second| second.now(now) - stamp)
    }

    /// The time of a stamp on this process's clock, never earlier than it was. It is in the future only if
    /// both the other stamps and this machine's wall clock say so, as either alone may be behind.
    pub fn local_time(&self, now: Time, wall: UnixTime, stamp: UnixTime) -> Time {
        let ahead_of_wall = stamp - wall;
        let ahead =
            self.second_latest.map_or(ahead_of_wall, |second| ahead_of_wall.min(stamp - second.now(now)));
        if ahead > Span::ZERO {
            now + ahead
        } else {
            now - self.min_age(now, stamp)
        }
    }
}
