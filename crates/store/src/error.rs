//! The errors of the store, distinguished by what the caller can do about them.
use std::fmt;
use std::io;
use std::sync::Arc;

/// Synced data that can't be read back as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: String,
    /// In bytes from the start of the file.
    pub offset: u64,
    /// What is wrong there.
    pub description: String,
}

impl Damage {
    pub fn new(file: impl Into<String>, offset: u64, what: impl Into<String>) -> Damage {
        Damage { file: file.into(), offset, description: what.into() }
    }
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} at byte {}: {}", self.file, self.offset, self.description)
    }
}

/// Why an operation on the store failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    #[error("damaged store file {0}")]
    Damaged(Damage),
    #[error("{file} has format version {found}; this program supports version {supported} only")]
    Version { file: String, found: u32, supported: u32 },
    #[error("the store in {0} is open in another process")]
    Locked(String),
    /// A write that failed this way may or may not be present after the next start.
    #[error("the store is read-only: {0}")]
    ReadOnly(String),
    /// Nothing of the batch was kept; it may be retried.
    #[error("the disk is full: {0}")]
    DiskFull(String),
    /// Nothing of the batch was kept: too many bytes are already waiting for the disk.
    #[error("too many pending writes: {0} bytes are waiting for the disk")]
    QueueFull(usize),
    #[error("{subject} of {size} bytes exceeds the limit of {limit} bytes")]
    TooLarge { subject: &'static str, size: usize, limit: usize },
    #[error("{0}: {1}")]
    Io(String, Arc<io::Error>),
    #[error("closed")]
    Closed,
}

impl From<Damage> for Error {
    fn from(damage: Damage) -> Error {
        Error::Damaged(damage)
    }
}

impl Error {
    /// Wraps an I/O error with what was being done, such as "reading FILE".
    pub fn io(context: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let context = context.into();
        move |error| Error::Io(context, Arc::new(error))
    }
}
