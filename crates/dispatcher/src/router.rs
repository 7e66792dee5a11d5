//! The router: owns the decision module, the open visits and the hand-offs in flight. It turns messages into
//! calls of the module and carries out the module's decisions.
mod answers;

mod changes;
mod client_messages;
mod decisions;
mod departed_ids;
mod hand_off_ends;
mod hand_off_fields;
mod hand_offs;
mod host_updates;
mod probes;
mod request_checks;
mod shutdown;
mod startup;
mod state;
mod timers;
mod unread_changes;
mod visits;

pub use self::state::Router;
use self::state::SWEEP_INTERVAL;
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::inbox::{FromHost, Input};
use crate::mailbox;
use cherrypass::time::Time;
use cherrypass_peers::delivery::DeliveryEvent;
use cherrypass_peers::FromFleet;
use std::time::Duration;

/// How many client messages are handled before other sources are checked.
const CLIENT_MESSAGES_PER_TURN: usize = 16;

impl Router {
    /// Runs until shutdown is complete.
    pub fn run(&mut self) {
        let now = clock::now();
        self.lease.grant(now);
        self.note_changes_read(now);
        self.carry_out_decisions();
        while !self.is_done {
            let input = self.receive();
            self.handle_and_decide(input);
            self.handle_queued();
            self.run_timers();
            self.exchange_with_fleet();
            self.carry_out_decisions();
        }
    }

    /// Waits for the next message, or until a timer or the exchange with the fleet is due.
    fn receive(&mut self) -> Option<Input> {
        let wait = self.time_to_next_task(clock::now());
        mailbox::recv_timeout(&self.mailboxes, wait)
    }

    /// The lease on the change log, for the thread that follows it.
    pub fn lease(&self) -> ChangeLogLease {
        self.lease.clone()
    }

    fn time_to_next_task(&self, now: Time) -> Duration {
        let wait = clock::to_std(self.timers.next_due().map_or(SWEEP_INTERVAL, |at| at - now));
        self.fleet_connection
            .as_ref()
            .map_or(wait, |fleet_connection| wait.min(fleet_connection.until_next_exchange()))
    }

    fn handle_and_decide(&mut self, input: Option<Input>) {
        if let Some(input) = input {
            self.handle(input);
            self.carry_out_decisions();
        }
    }

    /// Handles the messages that have queued up, only some of the clients', so that a full mailbox delays
    /// neither timers nor hosts.
    fn handle_queued(&mut self) {
        for (index, max_messages) in [(0, usize::MAX), (1, CLIENT_MESSAGES_PER_TURN)] {
            let queued = self.mailboxes[index].len().min(max_messages);
            for _ in 0..queued {
                let Ok(input) = self.mailboxes[index].try_recv() else { break };
                self.handle(input);
                self.carry_out_decisions();
            }
        }
    }

    fn exchange_with_fleet(&mut self) {
        if let Some(fleet_connection) = self
            .fleet_connection
            .as_mut()
            .filter(|fleet_connection| fleet_connection.until_next_exchange().is_zero())
        {
            fleet_connection.exchange(&mut self.engine);
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Client(id, message) => self.handle_client(id, message),
            Input::HandOff(id, FromHost::CancelSent { at }) => self.end_cancelled(id, at),
            Input::HandOff(id, FromHost::HeldBack(hand_off)) => self.hold_back(id, hand_off),
            Input::HandOff(id, FromHost::Ended { outcome, answer, at }) => {
                self.end_hand_off(id, outcome, answer, at)
            }
            Input::ProbeEnded(probe, report) => self.end_probe(probe, report),
            Input::Change(change) => {
                self.apply_change(change);
                self.lease.change_applied();
            }
            Input::ChangeLogReadUpTo(at) => self.changelog_read(at),
            Input::ChangesAnnounced(changes) => self.changes_announced(changes),
            Input::HostReset(actor) => self.host_reset(actor),
            Input::HandOffRecordStored(id, result) => self.record_stored(id, result),
            Input::Fleet(message) => {
                if let FromFleet::Delivery(DeliveryEvent::CompleteUpTo(at)) = message {
                    self.lease.prove(clock::from_instant(at));
                }
                if let Some(fleet_connection) = &mut self.fleet_connection {
                    fleet_connection.handle(&mut self.engine, message);
                }
            }
            Input::Stop => self.stop(),
        }
    }
}

#[cfg(test)]
mod tests;
