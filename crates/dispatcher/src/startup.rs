//! Starts all actors of one dispatcher.
use crate::changes::{self, Following};
use crate::clients::{self, RouterSenders, Shutdown};
use crate::config::Config;
use crate::connection::spawn;
use crate::keeping::{Keeper, Kept};
use crate::router::Router;
use crate::sharing::Sharing;
use crate::signals::SignalTargets;
use cherrypass::time::Span;
use cherrypass_operator::Fleet;
use cherrypass_peers::{self as peers, ChangeNumber};
use crossbeam_channel::{bounded, unbounded};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;

/// A dispatcher that listens; `run` serves until it is told to stop.
pub struct Dispatcher {
    router: Router,
}

/// What of clients may wait for the router; who sends more waits. What hosts, the change log and signals tell
/// has a mailbox of its own: guards against a flood of clients that keeps answers and purges waiting.
const CLIENT_QUEUE_LEN: usize = 128;
const MIN_WRITE_TIMEOUT: Span = Span::millis(1_000);

impl Dispatcher {
    /// `fleet`: the section and what it comes to.
    pub fn start(
        mut config: Config,
        kept: Option<Kept>,
        fleet: Option<(Fleet, peers::Set)>,
    ) -> io::Result<(Dispatcher, SignalTargets)> {
        let listener = TcpListener::bind(config.listen)?;
        let (own, mailbox) = unbounded();
        let (clients_own, clients) = bounded(CLIENT_QUEUE_LEN);
        let (moves, moved) = unbounded();
        let mut last = 0;
        let events = config.known.take();
        let (known, fault) = changes::decode(&events, &config.names, &mut last, None);
        if let Some(fault) = fault.filter(|_| !events.is_null()) {
            tracing::warn!("known changes: {fault}; taken up to change {last}");
        }
        tracing::info!("start: {} on {}, change {last}", config.name, listener.local_addr()?);
        let front = Arc::new(Shutdown::default());
        let mut router = Router::new(config.clone(), own.clone(), [mailbox, clients], front.clone())?;
        let store = kept.as_ref().and_then(Kept::store);
        if let Some(kept) = kept {
            router.set_keeper(Keeper::start(kept, &config.settings, own.clone()));
        }
        let mut delivery = None;
        if let Some((fleet, mut set)) = fleet {
            set.delivery.iter_mut().for_each(|set| set.last = ChangeNumber(last));
            let sharing = Sharing::start(&fleet, set, &config.settings, store, own.clone());
            let mut sharing = sharing.map_err(io::Error::other)?;
            delivery = sharing.delivery();
            router.set_sharing(sharing);
        }
        router.apply_known_changes(known);
        let changes_own = own.clone();
        let tell = RouterSenders { requests: clients_own, closed: own.clone() };
        let patience = config.longest().max(MIN_WRITE_TIMEOUT);
        spawn("listener", move || {
            if let Err(error) = clients::listen(listener, config.clients, patience, tell, front) {
                tracing::error!("no clients are taken: {error}");
            }
        })?;
        spawn("changes", move || {
            changes::follow(Following {
                at: config.changelog,
                moved,
                names: config.names,
                last,
                most: config.changes,
                seed: config.seed,
                router: changes_own,
                delivery,
            });
        })?;
        Ok((Dispatcher { router }, SignalTargets { router: own, changelog: moves }))
    }

    pub fn run(mut self) {
        self.router.run();
    }
}
