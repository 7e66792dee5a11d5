//! Waiting for the next message of a mailbox. A channel's own recv yields the core some ten times before it
//! sleeps, which on one core with many threads costs more switches than the messages do; a select sleeps at
//! once.
use crossbeam_channel::{Receiver, Select};
use std::time::Duration;

pub fn next<T>(mailbox: &Receiver<T>) -> Option<T> {
    if let Ok(message) = mailbox.try_recv() {
        return Some(message);
    }
    let mut select = Select::new();
    select.recv(mailbox);
    select.select().recv(mailbox).ok()
}

/// Waits until one of several has a message, whose senders may be gone, but no longer than told.
pub fn wait_for<T>(mailboxes: &[Receiver<T>], wait: Duration) {
    if mailboxes.iter().all(Receiver::is_empty) {
        let mut select = Select::new();
        for mailbox in mailboxes {
            select.recv(mailbox);
        }
        let _ = select.ready_timeout(wait);
    }
}
