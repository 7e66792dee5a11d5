//! Waiting for the next message of a mailbox. A channel's own recv yields the core some ten times before it
//! sleeps, which on one core with many threads costs more switches than the messages do; a select sleeps at
//! once.
use crossbeam_channel::{Receiver, RecvTimeoutError, Select, TryRecvError};
use std::time::Duration;

pub fn next<T>(mailbox: &Receiver<T>) -> Option<T> {
    match mailbox.try_recv() {
        Ok(message) => Some(message),
        Err(TryRecvError::Disconnected) => None,
        Err(TryRecvError::Empty) => {
            let mut select = Select::new();
            select.recv(mailbox);
            select.select().recv(mailbox).ok()
        }
    }
}

pub fn next_within<T>(mailbox: &Receiver<T>, wait: Duration) -> Result<T, RecvTimeoutError> {
    match mailbox.try_recv() {
        Ok(message) => Ok(message),
        Err(TryRecvError::Disconnected) => Err(RecvTimeoutError::Disconnected),
        Err(TryRecvError::Empty) => {
            let mut select = Select::new();
            select.recv(mailbox);
            let found = select.select_timeout(wait).map_err(|_| RecvTimeoutError::Timeout)?;
            found.recv(mailbox).map_err(|_| RecvTimeoutError::Disconnected)
        }
    }
}
