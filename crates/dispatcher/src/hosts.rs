//! Host actors (caches, parents, origin). Each writes to a pool of connections; one thread runs all actors,
//! and another one ([`crate::host_connections`]) reads the connections.
mod answers;
mod closing;
mod hand_offs;
mod host;
mod outgoing;
mod pool;
mod writing;

use self::host::{Host, Shared};
use self::pool::HandOffKey;
pub use self::pool::MAX_USED_IDS;
use crate::capacity::HostCapacity;
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::config::HostConnectionLimits;
use crate::connection::{spawn, CloseReason};
use crate::host_connections::HostConnections;
use crate::host_messages::{HandOff, HostMailbox, HostThreadMessage, NewHost, ToHost};
use crate::ids::HostActorId;
use crate::inbox::{FromHost, Input};
use crate::mailbox;
use cherrypass::calls::Outcome;
use cherrypass::time::Time;
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Handle to the thread that runs all host actors.
pub struct Hosts {
    messages: Sender<HostThreadMessage>,
    next_id: u64,
    capacity: HostCapacity,
}

impl Hosts {
    /// Starts the threads of the host actors and of their connections.
    pub fn start(
        limits: HostConnectionLimits,
        capacity: HostCapacity,
        router: Sender<Input>,
        lease: ChangeLogLease,
    ) -> std::io::Result<Hosts> {
        let (messages, mailbox) = unbounded();
        let connections = HostConnections::start(capacity.clone(), limits.connect_timeout)?;
        let shared = Shared { limits, capacity: capacity.clone(), connections, router, lease };
        spawn("hosts", move || run(&mailbox, &shared))?;
        Ok(Hosts { messages, next_id: 0, capacity })
    }

    /// Adds a host and returns its mailbox.
    pub fn add(&mut self, name: &str, address: SocketAddr) -> HostMailbox {
        let id = HostActorId(self.next_id);
        self.next_id += 1;
        let mailbox = HostMailbox { id, messages: self.messages.clone() };
        let host = NewHost {
            name: name.to_owned(),
            address,
            mailbox: mailbox.clone(),
            registration: self.capacity.add_host(),
        };
        let _ = self.messages.send(HostThreadMessage::AddHost(Box::new(host)));
        mailbox
    }

    /// Has the connections checked for timeouts.
    pub fn sweep(&self, now: Time) {
        let _ = self.messages.send(HostThreadMessage::Sweep(now));
    }
}

/// Runs all host actors until their mailbox is closed.
fn run(mailbox: &Receiver<HostThreadMessage>, shared: &Shared) {
    let mut hosts: BTreeMap<HostActorId, Box<Host>> = BTreeMap::new();
    while let Some(message) = mailbox::recv(mailbox) {
        match message {
            HostThreadMessage::AddHost(host) => {
                hosts.insert(host.mailbox.id, Box::new(Host::new(*host, shared.clone())));
            }
            HostThreadMessage::ToHost(actor, message) => pass_on(&mut hosts, actor, message, shared),
            HostThreadMessage::Sweep(now) => {
                shared.connections.time_out_connects(now);
                hosts.values_mut().for_each(|host| {
                    host.sweep(now);
                    host.close_unused();
                });
            }
        }
    }
}

/// Passes a message to a host's actor.
fn pass_on(
    hosts: &mut BTreeMap<HostActorId, Box<Host>>,
    actor: HostActorId,
    message: ToHost,
    shared: &Shared,
) {
    if let ToHost::HandOff(hand_off) = &message {
        free_connection_for(hosts, actor, HandOffKey::from(hand_off));
    }
    match (hosts.get_mut(&actor), message) {
        (Some(host), message) => {
            host.handle(message);
            host.close_unused();
            if host.is_removed && host.pool.is_empty() {
                hosts.remove(&actor);
            }
        }
        (None, ToHost::HandOff(HandOff { id, .. })) => {
            let (outcome, at) = (Outcome::ConnectFailed, clock::now());
            let ended = FromHost::Ended { outcome, answer: None, at };
            let _ = shared.router.send(Input::HandOff(id, ended));
        }
        (None, _) => {}
    }
}

/// Closes the connection that has been idle longest if the host has none for the hand-off and all are in use, so that
/// connections follow the traffic when there are more hosts than connections. Visits that alternate between
/// more hosts than that open a connection each.
fn free_connection_for(hosts: &mut BTreeMap<HostActorId, Box<Host>>, actor: HostActorId, key: HandOffKey) {
    let Some(host) = hosts.get(&actor) else { return };
    let has_connection = host.pool.values().any(|pooled| pooled.is_usable_for(key));
    if has_connection || host.is_removed || host.shared.capacity.reserve_connection().is_some() {
        return;
    }
    let idle = hosts.values_mut().flat_map(|host| host.pool.values_mut()).filter(|pooled| pooled.is_idle());
    if let Some(longest) = idle.min_by_key(|pooled| pooled.last_used) {
        longest.close(CloseReason::Evicted);
    }
}
