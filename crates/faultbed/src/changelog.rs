//! The change log of all dispatchers: numbered events over HTTP/1.1, asked for by long polls.
use crate::notes::{now, Note, Notes};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;
use tiny_http::{Request, Response, Server};

/// The longest wait that may be asked for, and the one where none is.
const POLL_MOST: Duration = Duration::from_millis(5_000);
const SILENT_LOOK: Duration = Duration::from_millis(20);
const POLL_USUAL: Duration = Duration::from_millis(1_000);

#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<Value>>, Condvar)>,
    notes: Notes,
    silent: Arc<AtomicBool>,
}

/// A host as the list names it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: &'static str,
    pub weight: f64,
    /// Unix milliseconds of a late start.
    pub started: u64,
}

impl ChangeLog {
    pub fn start(notes: Notes) -> io::Result<ChangeLog> {
        let server = Server::http("127.0.0.1:0").map_err(io::Error::other)?;
        let address = server.server_addr().to_ip().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let log = ChangeLog { address, events: Arc::default(), notes, silent: Arc::default() };
        let own = log.clone();
        std::thread::spawn(move || {
            for request in server.incoming_requests() {
                let own = own.clone();
                std::thread::spawn(move || own.answer(request));
            }
        });
        Ok(log)
    }

    /// From now on nothing is answered, until it is set otherwise.
    pub fn silence(&self, silent: bool) {
        self.silent.store(silent, SeqCst);
    }

    fn answer(&self, request: Request) {
        if self.silent.load(SeqCst) {
            while self.silent.load(SeqCst) {
                std::thread::sleep(SILENT_LOOK);
            }
            return;
        }
        let asked = |key: &str| -> Option<u64> {
            request.url().split(key).nth(1).and_then(|rest| rest.split('&').next()?.parse().ok())
        };
        let since = asked("since=").and_then(|since| usize::try_from(since).ok()).unwrap_or(0);
        let wait = asked("timeout=").map_or(POLL_USUAL, Duration::from_millis).min(POLL_MOST);
        let (events, told) = &*self.events;
        let held = events.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = told.wait_timeout_while(held, wait, |events| events.len() <= since);
        if self.silent.load(SeqCst) {
            return;
        }
        let text = results(&waited.unwrap_or_else(PoisonError::into_inner).0, since).to_string();
        let _ = request.respond(Response::from_string(text));
    }

    /// All events up to now, as a dispatcher's configuration holds them.
    pub fn known(&self) -> Value {
        results(&self.events.0.lock().unwrap_or_else(PoisonError::into_inner), 0)
    }

    fn put(&self, key: &str, what: Value) {
        let (events, told) = &*self.events;
        let mut events = events.lock().unwrap_or_else(PoisonError::into_inner);
        let seq = events.len() + 1;
        events.push(json!({"seq": seq, key: what}));
        told.notify_all();
    }

    pub fn list(&self, entries: &[Entry], state: &'static str, whole: bool) {
        let servers: Vec<Value> = entries
            .iter()
            .map(|entry| {
                json!({"id": entry.name, "addr": entry.address.to_string(), "zone": entry.zone, "kind": entry.kind,
                    "cell": 0, "state": state, "weight": entry.weight, "started_ms": entry.started})
            })
            .collect();
        self.put("fleet", json!({"version": 1, "full": whole, "servers": servers}));
        for entry in entries {
            self.notes.note(Note::Listed { host: entry.name.clone(), state });
        }
    }

    pub fn purge(&self, object: u64) {
        let at = now();
        self.notes.note(Note::Purged { object });
        self.put("invalidate", json!({"object": format!("{object:016x}"), "time": at / 1000}));
    }
}

fn results(events: &[Value], since: usize) -> Value {
    json!({"seq": events.len(), "results": events[since.min(events.len())..]})
}
