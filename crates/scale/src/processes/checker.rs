//! Checks followers' notes against the change log's history: no gap, no repeat, and no claim to know a change
//! that is missing. Does no I/O.
use super::clock::Micros;
use super::notes::{Event, Note};
use std::collections::BTreeMap;
use std::fmt;

/// The notes of one process of followers from its start to its end or kill.
#[derive(Clone, Debug, Default)]
pub struct Incarnation {
    pub notes: Vec<Note>,
    /// It was killed, or a later kill of the same process followed.
    pub was_killed: bool,
}

/// The change log's history.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Publication time of each change; the first has number 1.
    pub published_at: Vec<Micros>,
    /// The last change that a follower knows when it starts.
    pub known_change: u64,
    /// Changes published before this time must be received and proven by the end.
    pub complete_until: Micros,
}

/// A violation by a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    Gap {
        follower: usize,
        last: u64,
        received: u64,
    },
    Repeat {
        follower: usize,
        last: u64,
        received: u64,
    },
    /// It claimed to know all changes up to a time but lacked this one, published before.
    ClaimedButMissing {
        follower: usize,
        number: u64,
        up_to: Micros,
    },
    /// It received a change that was never published.
    Unknown {
        follower: usize,
        received: u64,
    },
    /// It ends without a change published before `complete_until`.
    Incomplete {
        follower: usize,
        last: u64,
    },
    /// It ends without proof that it has all changes published before `complete_until`.
    Unproven {
        follower: usize,
        proven_up_to: Micros,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Gap { follower, last, received } => {
                write!(out, "follower {follower}: received change {received} after {last}")
            }
            Violation::Repeat { follower, last, received } => {
                write!(out, "follower {follower}: received change {received} again after {last}")
            }
            Violation::ClaimedButMissing { follower, number, up_to } => {
                write!(
                    out,
                    "follower {follower}: claims to have all changes up to {up_to} us but lacks {number}"
                )
            }
            Violation::Unknown { follower, received } => {
                write!(out, "follower {follower}: received change {received}, which was never published")
            }
            Violation::Incomplete { follower, last } => {
                write!(out, "follower {follower}: ends at change {last}, later ones are missing")
            }
            Violation::Unproven { follower, proven_up_to } => {
                write!(out, "follower {follower}: its last proof is for {proven_up_to} us")
            }
        }
    }
}

/// Findings over all followers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    pub violations: Vec<Violation>,
    /// Delays of changes published after the follower's start.
    pub delays: Vec<Micros>,
    /// Time from each start of a follower until it had all changes published before that start.
    pub catch_up_times: Vec<Micros>,
    /// How often a follower began to read the log itself.
    pub log_read_starts: usize,
    /// Longest time of a follower without a newer proof.
    pub max_unproven: Micros,
    pub messages: u64,
    pub bytes: u64,
    /// Followers that ran to the end.
    pub followers_at_end: usize,
}

struct Follower<'a> {
    number: usize,
    history: &'a History,
    started_at: Micros,
    /// Number of changes published before it started.
    published_before: u64,
    last: u64,
    proven_up_to: Micros,
    proven_at: Micros,
    last_note_at: Micros,
}

impl Follower<'_> {
    fn new(number: usize, history: &History, started_at: Micros) -> Follower<'_> {
        let published_before =
            history.published_at.partition_point(|published| *published < started_at) as u64;
        let last = history.known_change;
        Follower {
            number,
            history,
            started_at,
            published_before,
            last,
            proven_up_to: 0,
            proven_at: started_at,
            last_note_at: started_at,
        }
    }

    fn handle_note(&mut self, note: &Note, findings: &mut Findings) {
        self.last_note_at = note.at_us;
        match note.event {
            // A follower that lacks nothing has caught up at once.
            Event::Started => {
                findings.catch_up_times.extend((self.published_before <= self.last).then_some(0))
            }
            Event::Took(number) => self.handle_received(number, note.at_us, findings),
            Event::KnownUpTo(up_to) => self.handle_claim(up_to, note.at_us, findings),
            Event::ReadsLog(reads) => findings.log_read_starts += usize::from(reads),
            Event::Traffic { messages, bytes } => {
                findings.messages += messages;
                findings.bytes += bytes;
            }
        }
    }

    fn handle_received(&mut self, number: u64, at: Micros, findings: &mut Findings) {
        let follower = self.number;
        if number <= self.last {
            return findings.violations.push(Violation::Repeat {
                follower,
                last: self.last,
                received: number,
            });
        }
        if number > self.last + 1 {
            findings.violations.push(Violation::Gap { follower, last: self.last, received: number });
        }
        let previous = std::mem::replace(&mut self.last, number);
        match self.history.published_at.get(number as usize - 1) {
            Some(published) if *published >= self.started_at => {
                findings.delays.push(at.saturating_sub(*published))
            }
            Some(_) => {}
            None => findings.violations.push(Violation::Unknown { follower, received: number }),
        }
        if previous < self.published_before && number >= self.published_before {
            findings.catch_up_times.push(at.saturating_sub(self.started_at));
        }
    }

    fn handle_claim(&mut self, up_to: Micros, at: Micros, findings: &mut Findings) {
        let published = self.history.published_at.partition_point(|published| *published < up_to) as u64;
        if published > self.last {
            let (follower, number) = (self.number, self.last + 1);
            findings.violations.push(Violation::ClaimedButMissing { follower, number, up_to });
        }
        if up_to > self.proven_up_to {
            self.proven_up_to = up_to;
            findings.max_unproven = findings.max_unproven.max(at - self.proven_at);
            self.proven_at = at;
        }
    }

    fn finish(&self, was_killed: bool, findings: &mut Findings) {
        findings.max_unproven = findings.max_unproven.max(self.last_note_at - self.proven_at);
        if was_killed {
            return;
        }
        findings.followers_at_end += 1;
        let (follower, complete_until) = (self.number, self.history.complete_until);
        let published =
            self.history.published_at.partition_point(|published| *published < complete_until) as u64;
        if self.last < published {
            findings.violations.push(Violation::Incomplete { follower, last: self.last });
        }
        if self.proven_up_to < complete_until {
            findings.violations.push(Violation::Unproven { follower, proven_up_to: self.proven_up_to });
        }
    }
}

/// Checks all followers of all incarnations.
pub fn check_notes(history: &History, incarnations: &[Incarnation]) -> Findings {
    let mut findings = Findings::default();
    for incarnation in incarnations {
        let mut followers: BTreeMap<usize, Follower> = BTreeMap::new();
        for note in &incarnation.notes {
            let new = || Follower::new(note.follower, history, note.at_us);
            followers.entry(note.follower).or_insert_with(new).handle_note(note, &mut findings);
        }
        followers.values().for_each(|follower| follower.finish(incarnation.was_killed, &mut findings));
    }
    findings
}
