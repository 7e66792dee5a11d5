//! Waiting for the next message of a mailbox. A channel's own recv yields the core some ten times before it
//! sleeps, which on one core with many threads costs more switches than the messages do; a select sleeps at
//! once.
use crossbeam_channel::{Receiver, RecvTimeoutError, Select};
use std::time::Duration;

pub fn next<T>(mailbox: &Receiver<T>) -> Option<T> {
    if let Ok(message) = mailbox.try_recv() {
        return Some(message);
    }
    let mut select = Select::new();
    select.recv(mailbox);
    select.select().recv(mailbox).ok()
}

pub fn next_within<T>(mailbox: &Receiver<T>, wait: Duration) -> Result<T, RecvTimeoutError> {
    if let Ok(message) = mailbox.try_recv() {
        return Ok(message);
    }
    let mut select = Select::new();
    select.recv(mailbox);
    let found = select.select_timeout(wait).map_err(|_| RecvTimeoutError::Timeout)?;
    found.recv(mailbox).map_err(|_| RecvTimeoutError::Disconnected)
}
