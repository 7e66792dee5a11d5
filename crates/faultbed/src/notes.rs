//! What stand-ins and clients noted, on the system's Unix clock in microseconds.
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// How a visit ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Word {
    Settled,
    TurnedBack,
    WrittenOff,
    Bad,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A client asked; `limit` in microseconds.
    Asked {
        visit: u64,
        dispatcher: String,
        band: String,
        object: u64,
        limit: u64,
    },
    Answered {
        visit: u64,
        word: Word,
        born: Option<u64>,
    },
    /// The dispatcher ended the connection in order, and the request crossed that on its way: it counts as never sent.
    Crossed {
        visit: u64,
    },
    /// The connection ended before the answer.
    Broken {
        visit: u64,
    },
    /// A hand-off has come whole to a host, and when it began to come is not told: the later time counts.
    Came {
        host: String,
        visit: u64,
        filled: bool,
        /// How long the dispatcher says it will wait, in milliseconds.
        wait: Option<u64>,
    },
    /// It had its effect there.
    Ran {
        host: String,
        visit: u64,
        band: String,
    },
    /// It ended there, `well` or not.
    Left {
        host: String,
        visit: u64,
        well: bool,
    },
    /// A cold host got more than it bears.
    Fell {
        host: String,
    },
    /// The list was told so.
    Listed {
        host: String,
        state: &'static str,
    },
    Purged {
        object: u64,
    },
    Fault {
        what: String,
    },
}

pub type Noted = Vec<(u64, Note)>;

/// When who was not there, each from and to.
pub struct Absences<'a> {
    /// Killed out of the blue, or stopped: what was open then is lost by no fault of the process.
    pub away: &'a [(String, u64, u64)],
    /// Ended after SIGTERM: only what came past the end is.
    pub ended: &'a [(String, u64, u64)],
    /// The change log told nothing.
    pub silent: &'a [(u64, u64)],
}

#[derive(Clone, Default)]
pub struct Notes(Arc<Mutex<Noted>>);

impl Notes {
    pub fn note(&self, note: Note) -> u64 {
        let mut noted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = now();
        noted.push((at, note));
        at
    }

    /// All that was noted, in order.
    pub fn take(&self) -> Noted {
        let mut noted = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        noted.sort_by_key(|(at, _)| *at);
        noted
    }
}

/// One line of a process's event log.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
pub struct Event {
    pub t: u64,
    pub me: String,
    #[serde(default)]
    pub inc: u64,
    pub e: String,
    #[serde(flatten)]
    pub more: BTreeMap<String, serde_json::Value>,
}

impl Event {
    pub fn number(&self, key: &str) -> Option<f64> {
        self.more.get(key)?.as_f64()
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        self.more.get(key)?.as_str()
    }
}

/// The whole lines of a log; a last one that a kill cut off is none.
pub fn events(text: &str) -> Vec<Event> {
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}
