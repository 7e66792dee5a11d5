//! The clock of whoever writes the change log, as far as time stamps tell it: purges and starts of hosts are dated by it. The
//! origin's stamps on copies (`born`) tell it too: by the protocol page they are of the same Unix clock.
//!
//! Guards rules 4 and 5 against a wall clock of this machine that is wrong or is stepped: an age is never told larger than it
//! is. A stamp was in the past when it was heard, so the writer's clock showed at least that; from then on this process's
//! monotonic clock goes on from there. What is told is the second latest such estimate, so that a single stamp of a wrong
//! clock doesn't lead it. It lags by the shortest delay with which changes or copies came lately, and right after a start by the age of
//! the second youngest stamp that is known: on that side it errs, towards fills and slow starts that were not needed.
use cherrypass::time::{Span, Time, UnixTime};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Heard {
    stamp: UnixTime,
    at: Time,
}

impl Heard {
    /// What the writer's clock shows at least.
    fn now(self, now: Time) -> UnixTime {
        self.stamp + (now - self.at)
    }
}

/// The two latest estimates, by different stamps; the latest first.
#[derive(Clone, Debug, Default)]
pub struct ChangeClock {
    latest: Option<Heard>,
    second: Option<Heard>,
}

impl ChangeClock {
    /// A stamp is heard of.
    pub fn heard(&mut self, now: Time, stamp: UnixTime) {
        let new = Heard { stamp, at: now };
        let known = [self.latest, self.second].into_iter().flatten();
        // A stamp that comes again is the same witness.
        let is_known = known.clone().any(|known| known.stamp == stamp);
        let later = |than: Option<Heard>| than.is_none_or(|than| new.now(now) > than.now(now));
        if is_known {
            return;
        }
        if later(self.latest) {
            (self.latest, self.second) = (Some(new), self.latest);
        } else if later(self.second) {
            self.second = Some(new);
        }
    }

    /// How long ago a stamp was, at least; zero where nothing tells.
    pub fn age(&self, now: Time, stamp: UnixTime) -> Span {
        self.second.map_or(Span::ZERO, |second| second.now(now) - stamp)
    }

    /// When a stamp was, by this process's clock: never before it was. It is to come still where it is in the future by the
    /// other stamps and by this machine's wall clock alike: either alone may be behind.
    pub fn time(&self, now: Time, wall: UnixTime, stamp: UnixTime) -> Time {
        let ahead_of_wall = stamp - wall;
        let ahead = self.second.map_or(ahead_of_wall, |second| ahead_of_wall.min(stamp - second.now(now)));
        if ahead > Span::ZERO {
            now + ahead
        } else {
            now - self.age(now, stamp)
        }
    }
}
