//! Records of what simulated hosts and clients observed, with Unix timestamps in microseconds, and the event
//! logs of processes.
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

pub fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// How a visit ended for its client.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
    InvalidAnswer,
}

/// The names in the file `notes` of a play.
impl fmt::Debug for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Outcome::Served => "Settled",
            Outcome::Refused => "TurnedBack",
            Outcome::Failed => "WrittenOff",
            Outcome::InvalidAnswer => "Bad",
        })
    }
}

/// An observation of a simulated host, a client or the play itself.
#[derive(Clone, PartialEq)]
pub enum Note {
    /// A client sent a request; `limit` in microseconds.
    RequestSent {
        visit: u64,
        dispatcher: String,
        class: String,
        object: u64,
        limit: u64,
    },
    Answered {
        visit: u64,
        outcome: Outcome,
        created_at: Option<u64>,
    },
    /// The request was written completely.
    RequestWritten {
        visit: u64,
    },
    /// The request was sent while the dispatcher closed the connection in order; it counts as never sent.
    CrossedClose {
        visit: u64,
    },
    /// The request was not sent, as all connections of the client had the most open requests that it allows.
    NotSent {
        visit: u64,
    },
    /// The connection ended before an answer.
    ConnectionLost {
        visit: u64,
    },
    /// A host received a complete hand-off, at the time of the note at the latest.
    HandOffArrived {
        host: String,
        visit: u64,
        is_fill: bool,
        /// How long the dispatcher announced that it will wait, in milliseconds.
        wait: Option<u64>,
        /// When it can have arrived at the earliest.
        earliest: u64,
    },
    /// A write took effect at the origin.
    Executed {
        host: String,
        visit: u64,
        class: String,
    },
    /// A hand-off ended at a host.
    HandOffEnded {
        host: String,
        visit: u64,
        is_success: bool,
    },
    /// A cold host received more than it can serve.
    HostOverloaded {
        host: String,
    },
    /// The change log announced this state of a host.
    HostListed {
        host: String,
        state: &'static str,
    },
    Purged {
        object: u64,
    },
    /// A fault began or ended.
    Fault {
        what: String,
    },
}

/// The text in the file `notes` of a play.
impl fmt::Debug for Note {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Note::RequestSent { visit, dispatcher, class, object, limit } => f
                .debug_struct("Asked")
                .field("visit", visit)
                .field("dispatcher", dispatcher)
                .field("band", class)
                .field("object", object)
                .field("limit", limit)
                .finish(),
            Note::Answered { visit, outcome, created_at } => f
                .debug_struct("Answered")
                .field("visit", visit)
                .field("word", outcome)
                .field("born", created_at)
                .finish(),
            Note::RequestWritten { visit } => f.debug_struct("Written").field("visit", visit).finish(),
            Note::CrossedClose { visit } => f.debug_struct("Crossed").field("visit", visit).finish(),
            Note::NotSent { visit } => f.debug_struct("NotSent").field("visit", visit).finish(),
            Note::ConnectionLost { visit } => f.debug_struct("Broken").field("visit", visit).finish(),
            Note::HandOffArrived { host, visit, is_fill, wait, earliest } => f
                .debug_struct("Came")
                .field("host", host)
                .field("visit", visit)
                .field("filled", is_fill)
                .field("wait", wait)
                .field("earliest", earliest)
                .finish(),
            Note::Executed { host, visit, class } => {
                f.debug_struct("Ran").field("host", host).field("visit", visit).field("band", class).finish()
            }
            Note::HandOffEnded { host, visit, is_success } => f
                .debug_struct("Left")
                .field("host", host)
                .field("visit", visit)
                .field("well", is_success)
                .finish(),
            Note::HostOverloaded { host } => f.debug_struct("Fell").field("host", host).finish(),
            Note::HostListed { host, state } => {
                f.debug_struct("Listed").field("host", host).field("state", state).finish()
            }
            Note::Purged { object } => f.debug_struct("Purged").field("object", object).finish(),
            Note::Fault { what } => f.debug_struct("Fault").field("what", what).finish(),
        }
    }
}

/// Notes with their times.
pub type TimedNotes = Vec<(u64, Note)>;

/// Times, from and to, in which processes or the change log were unavailable.
pub struct Absences<'a> {
    /// Processes that were killed or stopped; requests open at that time may be lost.
    pub unavailable: &'a [(String, u64, u64)],
    /// Processes that ended after SIGTERM; only requests sent after the end may be lost.
    pub terminated: &'a [(String, u64, u64)],
    /// The change log did not answer.
    pub log_silences: &'a [(u64, u64)],
}

/// A shared collection of notes.
#[derive(Clone, Default)]
pub struct Notes(Arc<Mutex<TimedNotes>>);

impl Notes {
    /// Adds a note with the current time, which it returns.
    pub fn record(&self, note: Note) -> u64 {
        let mut noted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = unix_micros();
        noted.push((at, note));
        at
    }

    /// Adds a note with a time of its own.
    pub fn record_at(&self, at: u64, note: Note) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push((at, note));
    }

    /// Removes and returns all notes in order of time.
    pub fn take_sorted(&self) -> TimedNotes {
        let mut noted = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        noted.sort_by_key(|(at, _)| *at);
        noted
    }
}

/// One line of the event log of a process.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
pub struct Event {
    #[serde(rename = "t")]
    pub time: u64,
    #[serde(rename = "me")]
    pub process: String,
    #[serde(rename = "inc", default)]
    pub incarnation: u64,
    #[serde(rename = "e")]
    pub name: String,
    #[serde(flatten)]
    pub fields: BTreeMap<String, serde_json::Value>,
}

impl Event {
    pub fn number(&self, key: &str) -> Option<f64> {
        self.fields.get(key)?.as_f64()
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }
}

/// Parses the complete lines of an event log; a last line truncated by a kill is skipped.
pub fn parse_events(text: &str) -> Vec<Event> {
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}
