//! Follows a change log without a router.
use cherrypass::time::Span;
use cherrypass_dispatcher::carried_changes::Delivery;
use cherrypass_dispatcher::change_log::{follow, FollowOptions};
use cherrypass_dispatcher::change_log_lease::ChangeLogLease;
use cherrypass_dispatcher::config::WireNames;
use cherrypass_dispatcher::inbox::{Input, NewAddress};
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::net::SocketAddr;
use std::thread::spawn;

/// The follower's channels.
pub struct Following {
    /// Takes new addresses of the log.
    pub addresses: Sender<NewAddress>,
    /// What the router would get.
    pub inputs: Receiver<Input>,
}

/// Follows a log from its first change on.
pub fn start_following(address: SocketAddr, lease: Span, delivery: Option<Delivery>) -> Following {
    let (router, inputs) = unbounded();
    let (addresses, new_addresses) = unbounded();
    let names = WireNames { classes: Vec::new(), locations: Vec::new(), kinds: Vec::new() };
    spawn(move || {
        follow(FollowOptions {
            address,
            new_addresses,
            names,
            last_change: 0,
            max_change_bytes: 1 << 20,
            seed: 1,
            router,
            lease: ChangeLogLease::new(lease),
            delivery,
        })
    });
    Following { addresses, inputs }
}
