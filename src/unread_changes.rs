//! Changes that the change log may have announced and that have not been read, and when each has to be obeyed.
//!
//! Guards rule 5 while the change log can't be read: a purge counts as announced by a time that the protocol gives
//! for each kind of failure, whether or not it arrived.
use crate::time::{Span, Time};

/// The last complete reading of the change log.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// All changes that the log had at this time are known.
    at: Time,
    /// A later change counts as announced this long after it was made, at the latest.
    max_delay: Span,
}

/// All changes that the log had at `announced_at` count as announced from then on.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    /// A complete reading that began at this time or later has what is announced.
    noted_at: Time,
    announced_at: Time,
}

/// What is known of changes that have not been read.
#[derive(Debug, Default)]
pub(crate) struct UnreadChanges {
    last_reading: Option<Reading>,
    /// Those since the last reading.
    announcements: Vec<Announcement>,
}

impl UnreadChanges {
    /// All changes that the log had at this time are known. Later ones count as announced `max_delay` after they
    /// were made, at the latest.
    pub(crate) fn read(&mut self, at: Time, max_delay: Span) {
        let at = self.last_reading.map_or(at, |reading| reading.at.max(at));
        self.last_reading = Some(Reading { at, max_delay });
        self.announcements.retain(|announcement| announcement.noted_at > at);
    }

    /// The log failed in a way by which all that it has at `announced_at` counts as announced from then on.
    pub(crate) fn announce(&mut self, noted_at: Time, announced_at: Time, grace: Span) {
        let binding = self.binding_announcement(noted_at, grace);
        self.announcements.retain(|earlier| {
            earlier.announced_at + grace > noted_at || binding.is_some_and(|at| earlier.announced_at >= at)
        });
        self.announcements.push(Announcement { noted_at, announced_at });
    }

    /// All changes up to the returned time have to be obeyed, though some of them may not have been read; `None` if
    /// all that have to be obeyed are known. A change has to be obeyed `grace` after it was announced.
    pub(crate) fn obeyed_up_to(&self, now: Time, grace: Span) -> Option<Time> {
        let silence = self.last_reading.and_then(|reading| {
            let up_to = now - (reading.max_delay + grace);
            (now >= reading.at + reading.max_delay + grace).then_some(up_to)
        });
        silence.max(self.binding_announcement(now, grace))
    }

    /// The latest announcement that has to be obeyed.
    fn binding_announcement(&self, now: Time, grace: Span) -> Option<Time> {
        let announced = self.announcements.iter().map(|announcement| announcement.announced_at);
        announced.filter(|at| now >= *at + grace).max()
    }
}
