//! Errors that prevent a fleet from starting.
use cherrypass_fleet::{limits, verdicts};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a fleet could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("fleet: {name} is not listed as a member; add it to `members`, or set `me` to a listed name")]
    NotListed { name: String },
    #[error("fleet: {name} is listed twice; each member and follower needs a unique name")]
    DuplicateName { name: String },
    #[error(
        "fleet.{what}: {found} are listed, at most {most} are supported; split them into several fleets"
    )]
    TooManyListed { what: &'static str, found: usize, most: usize },
    #[error("fleet: the name has to be 1 to {most} bytes long")]
    InvalidName { most: usize },
    #[error("fleet: message form {found} is not supported; this build supports {least} to {most}")]
    UnsupportedForm { found: u8, least: u8, most: u8 },
    #[error("fleet: {what} is {found}; {wanted}")]
    InvalidValue { what: &'static str, found: String, wanted: &'static str },
    #[error("fleet: can't listen on {at}: {error}; check that the address is local and not in use")]
    Listen { at: SocketAddr, error: io::Error },
    #[error(
        "fleet: control address {at} is not allowed; orders are not authenticated, so use a loopback address"
    )]
    NotLoopback { at: SocketAddr },
    #[error("fleet: can't listen for control on {at}: {error}; check that the address is not in use")]
    Control { at: SocketAddr, error: String },
    #[error("fleet.limits: {0}")]
    Limits(#[from] limits::SettingsError),
    #[error("fleet.{0}")]
    Verdicts(#[from] verdicts::SettingsError),
    #[error("fleet: can't open event log {}: {error}; check the path and its permissions, or remove `events`", path.display())]
    EventLog { path: PathBuf, error: io::Error },
    #[error("fleet: can't start a thread: {0}; check the process and memory limits")]
    Thread(io::Error),
}

impl Error {
    /// A short, stable code for alerts and searches.
    pub fn code(&self) -> &'static str {
        match self {
            Error::NotListed { .. } => "fleet-not-listed",
            Error::DuplicateName { .. } => "fleet-twice",
            Error::TooManyListed { .. } => "fleet-too-many",
            Error::InvalidName { .. } => "fleet-name",
            Error::UnsupportedForm { .. } => "fleet-form",
            Error::InvalidValue { .. } => "fleet-value",
            Error::Listen { .. } => "fleet-listen",
            Error::NotLoopback { .. } => "fleet-not-loopback",
            Error::EventLog { .. } => "fleet-events",
            Error::Control { .. } => "fleet-control",
            Error::Limits(error) => error.code(),
            Error::Verdicts(error) => error.code(),
            Error::Thread(_) => "fleet-thread",
        }
    }
}
