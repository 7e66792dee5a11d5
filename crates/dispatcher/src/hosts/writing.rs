//! Writes messages to a host without blocking, or by a thread per slow connection.
use super::host::Host;
use super::outgoing::{Outgoing, QueuedWrite};
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::connection::{spawn, CloseReason, Connection};
use crate::host_messages::{HostMailbox, ToHost};
use crate::ids::ConnectionId;
use crate::mailbox;
use crossbeam_channel::{unbounded, Receiver};
use std::sync::Arc;

impl Host {
    /// Writes a message without blocking. If it doesn't fit the socket buffer, a slow writer thread takes
    /// over for the rest and all later messages.
    pub(super) fn write(&mut self, id: ConnectionId, message: Outgoing) {
        let Some(pooled) = self.pool.get_mut(&id) else { return };
        let Some(connection) = pooled.connection.clone() else { return };
        pooled.hand_off_count += u64::from(matches!(message, Outgoing::HandOff(_)));
        if let Some(slow_writer) = &pooled.slow_writer {
            let _ = slow_writer.send(QueuedWrite::Whole(message));
            return;
        }
        let started = match message.start(&self.shared.lease) {
            Ok(started) => started,
            Err(unstarted) => return self.not_started(id, unstarted),
        };
        match (started.with_parts(|parts| write_available(&connection, parts)), &started.message) {
            (Ok(rest), Outgoing::HandOff(hand_off)) if rest.is_empty() => hand_off.send_state.mark_written(),
            (Ok(rest), Outgoing::Cancel(hand_off, _)) if rest.is_empty() => {
                self.cancel_sent(id, *hand_off, clock::now());
            }
            (Ok(rest), Outgoing::Probe(_)) if rest.is_empty() => {}
            (Ok(rest), _) => {
                self.start_slow_writer(id, connection, QueuedWrite::Remainder(started.message, rest))
            }
            (Err(_), _) => connection.shut_down(CloseReason::WriteFailed),
        }
    }

    /// Starts a slow writer thread, which begins with the rest of a message.
    fn start_slow_writer(&mut self, id: ConnectionId, connection: Arc<Connection>, rest: QueuedWrite) {
        let Some(pooled) = self.pool.get_mut(&id) else { return };
        let (mailbox, messages) = unbounded();
        let _ = mailbox.send(rest);
        pooled.slow_writer = Some(mailbox);
        let (host, own, lease) = (self.mailbox.clone(), connection.clone(), self.shared.lease.clone());
        if spawn("slow", move || write_slowly(id, &own, &host, &lease, messages)).is_err() {
            connection.shut_down(CloseReason::NoThread);
        }
    }
}

/// Writes what the socket takes; returns the rest.
fn write_available(connection: &Connection, parts: &[&[u8]]) -> std::io::Result<Vec<u8>> {
    let written = connection.try_write(parts)?;
    let is_complete = written == parts.iter().map(|part| part.len()).sum::<usize>();
    Ok(if is_complete { Vec::new() } else { parts.concat().split_off(written) })
}

/// Writes queued messages as fast as the host reads them.
fn write_slowly(
    id: ConnectionId,
    connection: &Connection,
    host: &HostMailbox,
    lease: &ChangeLogLease,
    messages: Receiver<QueuedWrite>,
) {
    while let Some(queued) = mailbox::recv(&messages) {
        let (message, written) = match queued {
            QueuedWrite::Remainder(message, rest) => (message, connection.write(&[&rest], 0)),
            QueuedWrite::Whole(message) => {
                let started = match message.start(lease) {
                    Ok(started) => started,
                    Err(unstarted) => {
                        let _ = host.send(ToHost::NotStarted(id, unstarted));
                        continue;
                    }
                };
                let written = started.with_parts(|parts| connection.write(parts, 0));
                (started.message, written)
            }
        };
        if written.is_err() {
            connection.shut_down(CloseReason::WriteFailed);
            return;
        }
        match message {
            Outgoing::HandOff(hand_off) => hand_off.send_state.mark_written(),
            Outgoing::Probe(_) => {}
            Outgoing::Cancel(hand_off, _) => {
                let _ = host.send(ToHost::CancelSent(id, hand_off, clock::now()));
            }
        }
    }
}
