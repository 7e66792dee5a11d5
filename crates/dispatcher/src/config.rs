//! What a dispatcher is told at its start: the configuration's JSON, decoded once by key.
use cherrypass::settings::Settings;
use cherrypass::time::Span;
use cherrypass_settings as settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Each is one line with the place, a file, key or line, and what to do there.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("no configuration: name it with --config or in GW_CONFIG")]
    Unnamed,
    #[error("the configuration {0} can't be read: {1}; name a file that is there and may be read")]
    Unread(String, std::io::Error),
    #[error("the configuration isn't JSON: {0}; {}", mending(.0))]
    NotJson(serde_json::Error),
    #[error("the configuration goes over {0} levels deep; write it as the page of the configuration does")]
    TooDeep(usize),
    #[error("the configuration lacks {0}: add it")]
    Lacks(String),
    #[error("the configuration's {0} can't be used: {1}; it has to be {2}")]
    Unusable(&'static str, String, String),
    #[error("{0}: add it")]
    Missing(#[from] settings::Missing),
    #[error("the configuration's {0}")]
    Refused(#[from] settings::Fault),
    #[error("the configuration's known: {0}; look at who writes it")]
    Known(crate::changes::Fault),
    #[error("{1} (in {0})")]
    In(String, Box<Error>),
}

fn mending(error: &serde_json::Error) -> &'static str {
    if error.is_eof() {
        "it is empty or cut short, write it whole"
    } else {
        "mend it there"
    }
}

/// The names that messages use, each at the place of its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub bands: Vec<String>,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
}

/// What connections to hosts may do and hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reach {
    pub connect_limit: Span,
    pub idle: Span,
    pub streams: usize,
    pub connections: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub changelog: SocketAddr,
    pub known: Value,
    pub settings: Settings,
    pub names: Names,
    pub reach: Reach,
    /// The longest that a visit of each band may take.
    pub limits: Vec<Span>,
    pub clients: usize,
    /// Bytes of answers that may wait for clients to read them, and those of all answers on their way.
    pub unread: usize,
    pub held: usize,
    /// Bytes that open visits may keep.
    pub kept: usize,
    /// A change of the change log; read, it takes several times as much.
    pub changes: usize,
}

/// The largest message of a host: an object of 240,000 bytes and room for its fields.
pub const HOST_MESSAGE: usize = 256 * 1024;
/// Descriptors for all but clients and hosts: standard streams, listener, change log, signals, what is being
/// accepted or is just closing.
const OTHER_DESCRIPTORS: usize = 48;
/// With fewer there is none for a client and a host beside those that a process that serves no one holds (standard
/// streams, listener, two that wait, change log twice, signals twice).
const SOCKETS_LEAST: f64 = 16.0;
/// So much of what can't be used is told.
const TOLD: usize = 60;

/// How deep JSON goes, read piece by piece.
#[derive(Default)]
pub struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    /// Deeper than any configuration or change, whose lists of hosts are on the fifth level and settings'
    /// keys on the fourth. Guards the small stacks of the threads that read them: JSON is read by recursion.
    const MOST: usize = 16;

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
            self.depth > Nesting::MOST
        })
    }
}

impl Config {
    pub fn load(path: &Path) -> Result<Config, Error> {
        Config::load_text(path).map(|(config, _)| config)
    }

    /// With the text that it was read from.
    pub fn load_text(path: &Path) -> Result<(Config, Vec<u8>), Error> {
        let file = path.display().to_string();
        let text = std::fs::read(path).map_err(|error| Error::Unread(file.clone(), error))?;
        let config = Config::decode(&text).map_err(|error| Error::In(file, Box::new(error)))?;
        Ok((config, text))
    }

    pub fn decode(text: &[u8]) -> Result<Config, Error> {
        if Nesting::default().is_too_deep(text) {
            return Err(Error::TooDeep(Nesting::MOST));
        }
        let all: Value = serde_json::from_slice(text).map_err(Error::NotJson)?;
        let own = all.get("settings").ok_or_else(|| Error::Lacks("settings".to_owned()))?;
        settings::check(own)?;
        let memory = number(&all, "limits/memory_mb", 1.0)?;
        let sockets = number(&all, "limits/sockets", SOCKETS_LEAST)? as usize;
        let sixteenth = (memory * 1024.0 * 1024.0 / 16.0) as usize;
        let clients = sockets / 3;
        let seed = string(&all, "seed")?;
        let need = |path: &str| settings::need(own, path);
        let services = settings::list(own, "/services");
        let limit = |(place, band): (usize, &Value)| {
            let lacks = |key| Error::Lacks(format!("settings/services/{place}/{key}"));
            band.get("name").and_then(Value::as_str).ok_or_else(|| lacks("name"))?;
            let limit = settings::number(band, "/deadline").ok_or_else(|| lacks("deadline"))?;
            Ok(Span(limit as u64))
        };
        let limits = services.iter().enumerate().map(limit).collect::<Result<_, Error>>()?;
        Ok(Config {
            name: string(&all, "name")?.to_owned(),
            listen: address(&all, "listen")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| unusable("seed", &all["seed"], "a text of up to 16 hex digits"))?,
            changelog: address(&all, "changelog")?,
            known: all.get("known").cloned().unwrap_or(Value::Null),
            settings: settings::read(own)?,
            names: Names {
                bands: services.iter().map(|band| settings::text(band, "/name").to_owned()).collect(),
                locations: names(own, "/zones"),
                kinds: names(own, "/models"),
            },
            reach: Reach {
                connect_limit: Span(need("/bounds/connect_timeout")? as u64),
                idle: Span(need("/bounds/conn_idle")? as u64),
                streams: (need("/bounds/streams_per_conn")? as usize).max(1),
                connections: sockets
                    .saturating_sub(clients + OTHER_DESCRIPTORS)
                    .min(4 * sixteenth / HOST_MESSAGE)
                    .max(1),
            },
            limits,
            clients,
            unread: 2 * sixteenth,
            held: 3 * sixteenth,
            kept: sixteenth,
            changes: sixteenth / 4,
        })
    }

    /// Whether the changes that are known from the start can all be used.
    pub fn check_known(&self) -> Result<(), Error> {
        let (_, fault) = crate::changes::decode(&self.known, &self.names, &mut 0, None);
        fault.filter(|_| !self.known.is_null()).map_or(Ok(()), |fault| Err(Error::Known(fault)))
    }

    /// The longest that a visit of any band may take.
    pub fn longest(&self) -> Span {
        self.limits.iter().copied().max().unwrap_or(Span::ZERO)
    }

    /// Whether another configuration differs in more than what is taken while this one is in force.
    pub fn is_new_beyond_changelog(&self, other: &Config) -> bool {
        let same = Config { changelog: self.changelog, known: self.known.clone(), ..other.clone() };
        Config { seed: self.seed, ..same } != *self
    }
}

fn unusable(key: &'static str, found: &Value, wanted: impl Into<String>) -> Error {
    let found: String = found.to_string().chars().take(TOLD).collect();
    Error::Unusable(key, found, wanted.into())
}

fn found<'a>(all: &'a Value, key: &'static str) -> Result<&'a Value, Error> {
    let value = all.pointer(&format!("/{key}")).filter(|value| !value.is_null());
    value.ok_or_else(|| Error::Lacks(key.to_owned()))
}

fn number(all: &Value, key: &'static str, least: f64) -> Result<f64, Error> {
    let value = found(all, key)?;
    let number = value.as_f64().filter(|number| *number >= least);
    number.ok_or_else(|| unusable(key, value, format!("a number, {least} at least")))
}

fn string<'a>(all: &'a Value, key: &'static str) -> Result<&'a str, Error> {
    let value = found(all, key)?;
    value.as_str().ok_or_else(|| unusable(key, value, "a text"))
}

fn address(all: &Value, key: &'static str) -> Result<SocketAddr, Error> {
    let wanted = "an address and a port, as in 127.0.0.1:8443";
    string(all, key)?.parse().map_err(|_| unusable(key, &all[key], wanted))
}

fn names(own: &Value, path: &str) -> Vec<String> {
    settings::list(own, path).iter().map(|name| name.as_str().unwrap_or("").to_owned()).collect()
}
