//! Errors that prevent a run from starting or abort it. Each message is one line that names the place and the
//! remedy.
use std::io;
use std::net::SocketAddr;

/// An error of a run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read or evaluated.
    #[error("{0}")]
    File(#[from] cherrypass_operator::Error),
    /// A key of the settings is invalid.
    #[error("{file}: {path}: {problem}")]
    Settings { file: String, path: String, problem: String },
    /// Another process listens on the address.
    #[error(
        "{listener}: cannot listen on {address}: {error}; end what listens there, or set another `first_port`"
    )]
    AddressInUse { listener: &'static str, address: SocketAddr, error: io::Error },
    /// The run would exceed, or has exceeded, one of its bounds.
    #[error("bounds.{bound}: the run needs {value}, the limit is {limit}; {remedy}")]
    BoundExceeded { bound: &'static str, value: u64, limit: u64, remedy: &'static str },
    /// The program could not be started.
    #[error("{program}: {error}; build it (cargo build --release) or name it with --program")]
    Program { program: String, error: io::Error },
    /// A process of the run exited unexpectedly.
    #[error("{name} exited unexpectedly ({status}); its last log line: {last_line}")]
    ProcessExited { name: String, status: String, last_line: String },
    /// The peers library rejected a member's settings.
    #[error("{0}")]
    Peers(#[from] cherrypass_peers::Error),
    /// A socket, file or thread of the run failed.
    #[error("{0}: {1}; check the machine's limits (ulimit -n, /proc/meminfo) and free disk space")]
    Io(&'static str, io::Error),
}

/// Wraps an I/O error with the name of what failed.
pub fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> Error {
    move |error| Error::Io(what, error)
}
