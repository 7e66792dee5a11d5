//! A simulated change log: numbered events over HTTP/1.1 with long polling.
use crate::notes::{unix_micros, Note, Notes};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;
use tiny_http::{Request, Response, Server};

/// Maximum and default time of a long poll.
const MAX_POLL: Duration = Duration::from_millis(5_000);
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);
const DEFAULT_POLL: Duration = Duration::from_millis(1_000);

/// The state of hosts that take requests.
pub const IN_SERVICE: &str = "in_service";

/// The change log server.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<Value>>, Condvar)>,
    notes: Notes,
    is_silent: Arc<AtomicBool>,
}

/// A host as listed in the change log.
#[derive(Clone, Debug)]
pub struct HostEntry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: &'static str,
    pub weight: f64,
    /// Unix time of a restart; 0 if there was none.
    pub started_ms: u64,
}

impl ChangeLog {
    pub fn start(notes: Notes) -> io::Result<ChangeLog> {
        let server = Server::http("127.0.0.1:0").map_err(io::Error::other)?;
        let address = server.server_addr().to_ip().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let log = ChangeLog { address, events: Arc::default(), notes, is_silent: Arc::default() };
        let own = log.clone();
        std::thread::spawn(move || {
            for request in server.incoming_requests() {
                let own = own.clone();
                std::thread::spawn(move || own.answer(request));
            }
        });
        Ok(log)
    }

    /// Sets whether requests are left unanswered.
    pub fn set_silent(&self, silent: bool) {
        self.is_silent.store(silent, SeqCst);
    }

    pub fn is_silent(&self) -> bool {
        self.is_silent.load(SeqCst)
    }

    fn answer(&self, request: Request) {
        if self.is_silent() {
            while self.is_silent() {
                std::thread::sleep(SILENCE_POLL_INTERVAL);
            }
            return;
        }
        let parameter = |key: &str| -> Option<u64> {
            request.url().split(key).nth(1).and_then(|rest| rest.split('&').next()?.parse().ok())
        };
        let since = parameter("since=").and_then(|since| usize::try_from(since).ok()).unwrap_or(0);
        let wait = parameter("timeout=").map_or(DEFAULT_POLL, Duration::from_millis).min(MAX_POLL);
        let (events, changed) = &*self.events;
        let guard = events.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = changed.wait_timeout_while(guard, wait, |events| events.len() <= since);
        if self.is_silent() {
            return;
        }
        let text = results_json(&waited.unwrap_or_else(PoisonError::into_inner).0, since).to_string();
        let _ = request.respond(Response::from_string(text));
    }

    /// All events so far, in the format of a dispatcher's configuration.
    pub fn all_results(&self) -> Value {
        results_json(&self.events.0.lock().unwrap_or_else(PoisonError::into_inner), 0)
    }

    fn append(&self, key: &str, what: Value) {
        let (events, changed) = &*self.events;
        let mut events = events.lock().unwrap_or_else(PoisonError::into_inner);
        let seq = events.len() + 1;
        events.push(json!({"seq": seq, key: what}));
        changed.notify_all();
    }

    /// Appends a list of hosts, complete (`whole`) or not.
    pub fn append_hosts(&self, entries: &[HostEntry], state: &'static str, whole: bool) {
        let servers: Vec<Value> = entries
            .iter()
            .map(|entry| {
                json!({"id": entry.name, "addr": entry.address.to_string(), "zone": entry.zone, "kind": entry.kind,
                    "cell": 0, "state": state, "weight": entry.weight, "started_ms": entry.started_ms})
            })
            .collect();
        let note = || {
            entries.iter().for_each(|entry| {
                self.notes.record(Note::HostListed { host: entry.name.clone(), state });
            });
        };
        // Dispatchers may learn of an entry before this thread goes on: a return to service counts from before it was
        // appended, the end of one from after.
        let is_return = state == IN_SERVICE;
        if is_return {
            note();
        }
        self.append("fleet", json!({"version": 1, "full": whole, "servers": servers}));
        if !is_return {
            note();
        }
    }

    /// Appends a purge of an object.
    pub fn append_purge(&self, object: u64) {
        let at = unix_micros();
        self.notes.record(Note::Purged { object });
        self.append("invalidate", json!({"object": format!("{object:016x}"), "time": at / 1000}));
    }
}

fn results_json(events: &[Value], since: usize) -> Value {
    json!({"seq": events.len(), "results": events[since.min(events.len())..]})
}
