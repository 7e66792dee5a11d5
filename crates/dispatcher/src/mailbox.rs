//! Waiting for the next message of a mailbox. A channel's own recv yields the core some ten times before it
//! sleeps, which on one core with many threads costs more switches than the messages do; a select sleeps at
//! once.
use crossbeam_channel::{Receiver, Select};
use std::time::Duration;

pub fn recv<T>(mailbox: &Receiver<T>) -> Option<T> {
    if let Ok(message) = mailbox.try_recv() {
        return Some(message);
    }
    let mut select = Select::new();
    select.recv(mailbox);
    select.select().recv(mailbox).ok()
}

/// The next message of the first of two mailboxes that has one, waited for no longer than told.
pub fn recv_timeout<T>(mailboxes: &[Receiver<T>; 2], wait: Duration) -> Option<T> {
    let found = mailboxes.iter().find_map(|mailbox| mailbox.try_recv().ok());
    if found.is_some() || wait.is_zero() {
        return found;
    }
    let mut select = Select::new();
    for mailbox in mailboxes {
        select.recv(mailbox);
    }
    let ready = select.select_timeout(wait).ok()?;
    let mailbox = &mailboxes[ready.index()];
    ready.recv(mailbox).ok()
}
