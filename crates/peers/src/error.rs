//! What keeps a fleet from starting, and what its operator can do.
use cherrypass_fleet::{limits, verdicts};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("fleet: {name} is not among the members; add it, or set `me` to one of them")]
    NotListed { name: String },
    #[error("fleet: {name} is listed twice; each member and follower needs a name of its own")]
    Twice { name: String },
    #[error("fleet.{what}: {found} are listed, {most} are taken; make a fleet of its own of the others")]
    TooMany { what: &'static str, found: usize, most: usize },
    #[error("fleet: no name; give the fleet one of 1 to {most} bytes")]
    Name { most: usize },
    #[error("fleet: form {found} of messages is not known; this build writes {least} to {most}")]
    Form { found: u8, least: u8, most: u8 },
    #[error("fleet: {what} is {found}; {wanted}")]
    Value { what: &'static str, found: String, wanted: &'static str },
    #[error(
        "fleet: can't listen on {at}: {error}; is another process there, or the address not this machine's?"
    )]
    Listen { at: SocketAddr, error: io::Error },
    #[error(
        "fleet: control on {at} is refused; orders carry no sign-in, so it has to be a loopback address"
    )]
    NotLoopback { at: SocketAddr },
    #[error("fleet: can't listen for control on {at}: {error}; is another process there?")]
    Control { at: SocketAddr, error: String },
    #[error("fleet.limits: {0}")]
    Limits(#[from] limits::SettingsError),
    #[error("fleet.{0}")]
    Verdicts(#[from] verdicts::SettingsError),
    #[error("fleet: can't write events to {}: {error}; check the path and its rights, or leave `events` out", path.display())]
    Events { path: PathBuf, error: io::Error },
    #[error("fleet: can't start a thread: {0}; check the limits on processes and memory")]
    Thread(io::Error),
}

impl Error {
    /// Short and lasting, for alarms and searches.
    pub fn code(&self) -> &'static str {
        match self {
            Error::NotListed { .. } => "fleet-not-listed",
            Error::Twice { .. } => "fleet-twice",
            Error::TooMany { .. } => "fleet-too-many",
            Error::Name { .. } => "fleet-name",
            Error::Form { .. } => "fleet-form",
            Error::Value { .. } => "fleet-value",
            Error::Listen { .. } => "fleet-listen",
            Error::NotLoopback { .. } => "fleet-not-loopback",
            Error::Events { .. } => "fleet-events",
            Error::Control { .. } => "fleet-control",
            Error::Limits(error) => error.code(),
            Error::Verdicts(error) => error.code(),
            Error::Thread(_) => "fleet-thread",
        }
    }
}
