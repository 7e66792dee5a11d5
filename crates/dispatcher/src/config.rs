//! What a dispatcher is told at its start: the configuration's JSON, decoded once by key.
use cherrypass::settings::Settings;
use cherrypass::time::Span;
use cherrypass_settings as settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("no configuration: name it with --config or in GW_CONFIG")]
    Unnamed,
    #[error("the configuration {0} can't be read: {1}")]
    Unread(String, std::io::Error),
    #[error("the configuration isn't JSON: {0}")]
    NotJson(serde_json::Error),
    #[error("the configuration lacks {0}")]
    Lacks(&'static str),
    #[error("the configuration's {0} can't be used: '{1}'")]
    Unusable(&'static str, String),
    #[error("{0}")]
    Settings(String),
    #[error("the configuration's {0}")]
    Refused(#[from] settings::Fault),
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
        let text = std::fs::read(path).map_err(|error| Error::Unread(path.display().to_string(), error))?;
        Ok((Config::decode(&text)?, text))
    }

    pub fn decode(text: &[u8]) -> Result<Config, Error> {
        let all: Value = serde_json::from_slice(text).map_err(Error::NotJson)?;
        let own = all.get("settings").ok_or(Error::Lacks("settings"))?;
        settings::check(own)?;
        let memory = number(&all, "/limits/memory_mb")?;
        let sockets = number(&all, "/limits/sockets")? as usize;
        let sixteenth = (memory * 1024.0 * 1024.0 / 16.0) as usize;
        let clients = sockets / 3;
        let seed = string(&all, "seed")?;
        let need = |path: &str| settings::need(own, path).map_err(Error::Settings);
        let services = settings::list(own, "/services");
        let limit = |band: &Value| {
            settings::number(band, "/deadline").ok_or(Error::Lacks("settings/services/deadline"))
        };
        let limits =
            services.iter().map(|band| Ok(Span(limit(band)? as u64))).collect::<Result<_, Error>>()?;
        Ok(Config {
            name: string(&all, "name")?.to_owned(),
            listen: address(&all, "listen")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| Error::Unusable("seed", seed.to_owned()))?,
            changelog: address(&all, "changelog")?,
            known: all.get("known").cloned().unwrap_or(Value::Null),
            settings: settings::read(own).map_err(Error::Settings)?,
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

fn number(all: &Value, path: &'static str) -> Result<f64, Error> {
    settings::number(all, path).ok_or(Error::Lacks(path.trim_start_matches('/')))
}

fn string<'a>(all: &'a Value, key: &'static str) -> Result<&'a str, Error> {
    all.get(key).and_then(Value::as_str).ok_or(Error::Lacks(key))
}

fn address(all: &Value, key: &'static str) -> Result<SocketAddr, Error> {
    let text = string(all, key)?;
    text.parse().map_err(|_| Error::Unusable(key, text.to_owned()))
}

fn names(own: &Value, path: &str) -> Vec<String> {
    settings::list(own, path).iter().map(|name| name.as_str().unwrap_or("").to_owned()).collect()
}
