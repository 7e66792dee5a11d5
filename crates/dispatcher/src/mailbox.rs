//! Receiving from channels without spinning. `Receiver::recv` yields several times before it sleeps, which is
//! expensive with many threads on one core; a `Select` sleeps at once.
use crossbeam_channel::{Receiver, Select};
use std::time::Duration;

/// Receives the next message; none once the channel is disconnected.
pub fn recv<T>(mailbox: &Receiver<T>) -> Option<T> {
    if let Ok(message) = mailbox.try_recv() {
        return Some(message);
    }
    let mut select = Select::new();
    select.recv(mailbox);
    select.select().recv(mailbox).ok()
}

/// Receives from the first of two channels that has a message, waiting no longer than `wait`.
pub fn recv_timeout<T>(mailboxes: &[Receiver<T>; 2], wait: Duration) -> Option<T> {
    let message = mailboxes.iter().find_map(|mailbox| mailbox.try_recv().ok());
    if message.is_some() || wait.is_zero() {
        return message;
    }
    let mut select = Select::new();
    for mailbox in mailboxes {
        select.recv(mailbox);
    }
    let ready = select.select_timeout(wait).ok()?;
    let mailbox = &mailboxes[ready.index()];
    ready.recv(mailbox).ok()
}
