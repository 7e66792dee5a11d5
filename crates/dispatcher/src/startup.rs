//! Starts the threads of one dispatcher.
use crate::change_log::{self, FollowOptions};
use crate::clients::{self, ClientLimits, RouterSenders, Shutdown};
use crate::config::Config;
use crate::connection::spawn;
use crate::durable_state::{StateRecorder, StateStore};
use crate::fleet_connection::FleetConnection;
use crate::inbox::Change;
use crate::router::Router;
use crate::signals::SignalTargets;
use cherrypass::time::Span;
use cherrypass_operator::Fleet;
use cherrypass_peers::{self as peers, ChangeNumber};
use crossbeam_channel::{bounded, unbounded};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;

/// A dispatcher whose listener is bound; `run` serves until shutdown.
pub struct Dispatcher {
    router: Router,
}

/// Capacity of the router's queue of client messages. Messages of hosts, the change log and signals have a
/// queue of their own, so that a flood of requests cannot delay answers and purges.
const CLIENT_QUEUE_LEN: usize = 128;
const MIN_WRITE_TIMEOUT: Span = Span::millis(1_000);

impl Dispatcher {
    /// Binds the listener and starts the threads. `fleet` holds the operators' section and the settings
    /// derived from it.
    pub fn start(
        mut config: Config,
        kept: Option<StateStore>,
        fleet: Option<(Fleet, peers::Settings)>,
    ) -> io::Result<(Dispatcher, SignalTargets)> {
        let listener = TcpListener::bind(config.listen)?;
        let (router_sender, mailbox) = unbounded();
        let (client_sender, client_receiver) = bounded(CLIENT_QUEUE_LEN);
        let (changelog, new_addresses) = unbounded();
        let (known, last_change) = decode_known_changes(&mut config);
        tracing::info!("start: {} on {}, change {last_change}", config.name, listener.local_addr()?);
        let shutdown = Arc::new(Shutdown::default());
        let mut router =
            Router::new(config.clone(), router_sender.clone(), [mailbox, client_receiver], shutdown.clone())?;
        let store = kept.as_ref().and_then(StateStore::store);
        if let Some(kept) = kept {
            router.set_recorder(StateRecorder::restore(kept, &config.settings, router_sender.clone()));
        }
        let mut delivery = None;
        if let Some((fleet, mut peers_settings)) = fleet {
            peers_settings
                .delivery
                .iter_mut()
                .for_each(|delivery| delivery.last_change = ChangeNumber(last_change));
            let settings = &config.settings;
            let connection =
                FleetConnection::start(&fleet, peers_settings, settings, store, router_sender.clone());
            let mut connection = connection.map_err(io::Error::other)?;
            delivery = connection.take_delivery();
            router.set_fleet_connection(connection);
        }
        router.apply_known_changes(known);
        let router_senders = RouterSenders { requests: client_sender, closed: router_sender.clone() };
        spawn_listener(listener, &config, router_senders, shutdown)?;
        spawn_follower(FollowOptions {
            address: config.changelog,
            new_addresses,
            names: config.names,
            last_change,
            max_change_bytes: config.max_change_bytes,
            seed: config.seed,
            router: router_sender.clone(),
            lease: router.lease(),
            delivery,
        })?;
        Ok((Dispatcher { router }, SignalTargets { router: router_sender, changelog }))
    }

    /// Serves until shutdown.
    pub fn run(mut self) {
        self.router.run();
    }
}

/// Takes the changes known at the start out of the configuration; returns them and the number of the last one.
fn decode_known_changes(config: &mut Config) -> (Vec<Change>, u64) {
    let mut last_change = 0;
    let events = config.known_changes.take();
    let (known, fault) = change_log::decode(&events, &config.names, &mut last_change, None);
    if let Some(fault) = fault.filter(|_| !events.is_null()) {
        tracing::warn!("known changes: {fault}; applied up to change {last_change}");
    }
    (known, last_change)
}

/// Starts the thread that accepts and reads clients.
fn spawn_listener(
    listener: TcpListener,
    config: &Config,
    router: RouterSenders,
    shutdown: Arc<Shutdown>,
) -> io::Result<()> {
    let limits = ClientLimits {
        max_clients: config.max_clients,
        write_timeout: config.longest_deadline().max(MIN_WRITE_TIMEOUT),
        max_partial_bytes: config.max_partial_bytes,
    };
    spawn("listener", move || {
        if let Err(error) = clients::listen(listener, limits, router, shutdown) {
            tracing::error!("the client listener failed, no clients are served: {error}");
        }
    })?;
    Ok(())
}

/// Starts the thread that follows the change log.
fn spawn_follower(options: FollowOptions) -> io::Result<()> {
    spawn("changes", move || change_log::follow(options))?;
    Ok(())
}
