//! The configuration of a dispatcher, decoded from its JSON file.
use crate::change_log_lease;
use cherrypass::settings::{Settings, StateLimits};
use cherrypass::time::Span;
use cherrypass_settings as settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Why a configuration is invalid. Each message is one line with the invalid file, key or line and the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("no configuration: name it with --config or in GW_CONFIG")]
    NoConfigurationFile,
    #[error("cannot read the configuration {0}: {1}; name a file that exists and is readable")]
    Unreadable(String, std::io::Error),
    #[error("the configuration is not valid JSON: {0}; {}", json_remedy(.0))]
    NotJson(serde_json::Error),
    #[error("the configuration is nested more than {0} levels deep; use the documented keys only")]
    TooDeep(usize),
    #[error("the configuration is missing {0}; add this key")]
    MissingKey(String),
    #[error("the configuration has an invalid {0}: {1}; it must be {2}")]
    InvalidValue(&'static str, String, String),
    #[error("{0}; add it")]
    MissingSetting(#[from] settings::MissingSetting),
    #[error("invalid configuration: {0}")]
    InvalidSetting(#[from] settings::InvalidSetting),
    #[error("the configuration has invalid known changes: {0}; check the program that writes them")]
    KnownChanges(crate::change_log::ChangeLogError),
    #[error("{1} (in {0})")]
    InFile(String, Box<Error>),
}

fn json_remedy(error: &serde_json::Error) -> &'static str {
    if error.is_eof() {
        "the file is empty or truncated"
    } else {
        "correct the syntax there"
    }
}

/// The names used in messages, each at the index of its id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WireNames {
    pub classes: Vec<String>,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
}

/// Limits of the connections to hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostConnectionLimits {
    pub connect_timeout: Span,
    /// How long an unused connection stays open.
    pub idle_timeout: Span,
    /// Concurrent hand-offs per connection.
    pub streams_per_connection: usize,
    /// Connections to all hosts.
    pub max_connections: usize,
    /// Bytes a second of an answer that takes longer than `connect_timeout` to arrive: with fewer the largest one would
    /// not be complete within any deadline.
    pub min_answer_pace: f64,
}

/// The decoded configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub changelog: SocketAddr,
    /// Changes that are known at the start, in the form of the change log.
    pub known_changes: Value,
    pub settings: Settings,
    pub names: WireNames,
    pub host_connections: HostConnectionLimits,
    /// How long the process may decide by what it last read of the change log.
    pub change_log_lease: Span,
    /// The deadline of each request class.
    pub class_deadlines: Vec<Span>,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Maximum bytes of answers that wait for clients to read them.
    pub max_unread_bytes: usize,
    /// Maximum bytes of all answers in progress.
    pub max_answer_bytes: usize,
    /// Maximum bytes that open visits may hold.
    pub max_visit_bytes: usize,
    /// Ids that are remembered of requests whose clients left them.
    pub max_departed_ids: usize,
    /// Maximum bytes of clients' messages that have come in part.
    pub max_partial_bytes: usize,
    /// Maximum bytes of one change of the change log; decoded, it takes several times as much memory.
    pub max_change_bytes: usize,
}

/// Maximum bytes of a host's message: an object of 240,000 bytes and room for its fields.
pub const MAX_HOST_MESSAGE_BYTES: usize = 256 * 1024;
/// File descriptors for everything but clients and hosts: standard streams, listener, change log, signals,
/// and connections that are being accepted or closed.
const RESERVED_DESCRIPTORS: usize = 48;
/// Minimum of limits/sockets. An idle process holds standard streams, listener, two pollers, two for the
/// change log and two for signals; with fewer there is none left for a client and a host.
const MIN_SOCKETS: f64 = 16.0;
/// Memory of an entry of the decision module's maps, with what the map itself takes for it.
const STATE_ENTRY_BYTES: usize = 128;
/// Deadlines below this count as this where the pace of answers is derived from them.
const MIN_DEADLINE: Span = Span::millis(100);
/// Maximum length of an invalid value in a message.
const MAX_SHOWN_CHARS: usize = 60;

/// Tracks the nesting depth of JSON that is read piece by piece.
#[derive(Default)]
pub struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    /// Deeper than any valid configuration or change. The JSON parser recurses, and the threads that run it
    /// have small stacks.
    const MAX_DEPTH: usize = 16;

    /// Adds a piece of JSON; returns whether the depth exceeds the maximum.
    pub fn is_too_deep(&mut self, piece: &[u8]) -> bool {
        piece.iter().any(|byte| {
            let escaped = std::mem::take(&mut self.escaped);
            match byte {
                b'\\' => self.escaped = self.in_string && !escaped,
                b'"' if !escaped => self.in_string = !self.in_string,
                b'[' | b'{' if !self.in_string => self.depth += 1,
                b']' | b'}' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            self.depth > Nesting::MAX_DEPTH
        })
    }
}

impl Config {
    pub fn load(path: &Path) -> Result<Config, Error> {
        Config::load_text(path).map(|(config, _)| config)
    }

    /// Loads the configuration along with the text that it was decoded from.
    pub fn load_text(path: &Path) -> Result<(Config, Vec<u8>), Error> {
        let file = path.display().to_string();
        let text = std::fs::read(path).map_err(|error| Error::Unreadable(file.clone(), error))?;
        let config = Config::decode(&text).map_err(|error| Error::InFile(file, Box::new(error)))?;
        Ok((config, text))
    }

    pub fn decode(text: &[u8]) -> Result<Config, Error> {
        if Nesting::default().is_too_deep(text) {
            return Err(Error::TooDeep(Nesting::MAX_DEPTH));
        }
        let document: Value = serde_json::from_slice(text).map_err(Error::NotJson)?;
        let settings_json =
            document.get("settings").ok_or_else(|| Error::MissingKey("settings".to_owned()))?;
        settings::check(settings_json)?;
        let memory = number(&document, "limits/memory_mb", 1.0)?;
        let sockets = number(&document, "limits/sockets", MIN_SOCKETS)? as usize;
        let sixteenth = (memory * 1024.0 * 1024.0 / 16.0) as usize;
        let max_clients = sockets / 3;
        let seed = string(&document, "seed")?;
        let required = |path: &str| settings::required_number(settings_json, path);
        let services = settings::list(settings_json, "/services");
        let deadline = |(index, class): (usize, &Value)| {
            let missing = |key| Error::MissingKey(format!("settings/services/{index}/{key}"));
            class.get("name").and_then(Value::as_str).ok_or_else(|| missing("name"))?;
            let deadline = settings::number(class, "/deadline").ok_or_else(|| missing("deadline"))?;
            Ok(Span(deadline as u64))
        };
        let class_deadlines =
            services.iter().enumerate().map(deadline).collect::<Result<Vec<Span>, Error>>()?;
        let longest_deadline = class_deadlines.iter().copied().max().unwrap_or(Span::ZERO).max(MIN_DEADLINE);
        let drain_grace = settings::number(settings_json, "/rules/drain_grace").unwrap_or_default();
        let state_limits = state_limits(sixteenth);
        let settings = Settings { state_limits, ..settings::read(settings_json)? };
        Ok(Config {
            name: string(&document, "name")?.to_owned(),
            listen: address(&document, "listen")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| invalid("seed", &document["seed"], "a string of up to 16 hex digits"))?,
            changelog: address(&document, "changelog")?,
            known_changes: document.get("known").cloned().unwrap_or(Value::Null),
            change_log_lease: change_log_lease::duration(Span(drain_grace as u64), settings.purge_obey_time),
            settings,
            names: WireNames {
                classes: services.iter().map(|class| settings::text(class, "/name").to_owned()).collect(),
                locations: names(settings_json, "/zones"),
                kinds: names(settings_json, "/models"),
            },
            host_connections: HostConnectionLimits {
                connect_timeout: Span(required("/bounds/connect_timeout")? as u64),
                idle_timeout: Span(required("/bounds/conn_idle")? as u64),
                streams_per_connection: (required("/bounds/streams_per_conn")? as usize).max(1),
                max_connections: sockets
                    .saturating_sub(max_clients + RESERVED_DESCRIPTORS)
                    .min(4 * sixteenth / MAX_HOST_MESSAGE_BYTES)
                    .max(1),
                min_answer_pace: MAX_HOST_MESSAGE_BYTES as f64 / longest_deadline.as_seconds(),
            },
            class_deadlines,
            max_clients,
            max_unread_bytes: 2 * sixteenth,
            max_answer_bytes: 3 * sixteenth,
            max_visit_bytes: sixteenth,
            max_departed_ids: (sixteenth / 4 / STATE_ENTRY_BYTES).max(1),
            max_partial_bytes: 2 * sixteenth,
            max_change_bytes: sixteenth / 4,
        })
    }

    /// Checks that all changes known at the start are valid.
    pub fn check_known(&self) -> Result<(), Error> {
        let (_, fault) = crate::change_log::decode(&self.known_changes, &self.names, &mut 0, None);
        fault
            .filter(|_| !self.known_changes.is_null())
            .map_or(Ok(()), |fault| Err(Error::KnownChanges(fault)))
    }

    /// The longest deadline of any request class.
    pub fn longest_deadline(&self) -> Span {
        self.class_deadlines.iter().copied().max().unwrap_or(Span::ZERO)
    }

    /// Whether another configuration differs in anything but the change log's address, the known changes and
    /// the seed.
    pub fn needs_restart_for(&self, other: &Config) -> bool {
        let same =
            Config { changelog: self.changelog, known_changes: self.known_changes.clone(), ..other.clone() };
        Config { seed: self.seed, ..same } != *self
    }
}

/// What the decision module may remember, with a sixteenth of the memory for each kind.
fn state_limits(sixteenth: usize) -> StateLimits {
    let entries = sixteenth / STATE_ENTRY_BYTES;
    let StateLimits { objects, copies } = StateLimits::MAX;
    StateLimits { objects: entries.min(objects), copies: entries.min(copies) }
}

fn invalid(key: &'static str, value: &Value, expected: impl Into<String>) -> Error {
    let shown: String = value.to_string().chars().take(MAX_SHOWN_CHARS).collect();
    Error::InvalidValue(key, shown, expected.into())
}

fn required<'a>(document: &'a Value, key: &'static str) -> Result<&'a Value, Error> {
    let value = document.pointer(&format!("/{key}")).filter(|value| !value.is_null());
    value.ok_or_else(|| Error::MissingKey(key.to_owned()))
}

fn number(document: &Value, key: &'static str, min: f64) -> Result<f64, Error> {
    let value = required(document, key)?;
    let number = value.as_f64().filter(|number| *number >= min);
    number.ok_or_else(|| invalid(key, value, format!("a number, {min} at least")))
}

fn string<'a>(document: &'a Value, key: &'static str) -> Result<&'a str, Error> {
    let value = required(document, key)?;
    value.as_str().ok_or_else(|| invalid(key, value, "a string"))
}

fn address(document: &Value, key: &'static str) -> Result<SocketAddr, Error> {
    let expected = "an address and a port, as in 127.0.0.1:8443";
    string(document, key)?.parse().map_err(|_| invalid(key, &document[key], expected))
}

fn names(settings_json: &Value, path: &str) -> Vec<String> {
    settings::list(settings_json, path).iter().map(|name| name.as_str().unwrap_or("").to_owned()).collect()
}
