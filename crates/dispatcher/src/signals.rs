//! Signals: SIGTERM tells the router, which serves on what comes and finishes what is open; SIGHUP reads the
//! configuration anew. What can't be used leaves the one in force as it is.
use crate::config::Config;
use crate::connection::spawn;
use crate::inbox::Input;
use crate::keeping::Kept;
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::PathBuf;

pub struct SignalTargets {
    pub router: Sender<Input>,
    /// The change log's thread, which is told of new addresses.
    pub changelog: Sender<SocketAddr>,
}

/// From here on signals wait until they are followed. Guards against one that comes as the start is told of, and ends
/// the process.
pub fn register() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// A thread of their own follows them.
pub fn handle_in_thread(
    mut signals: Signals,
    path: PathBuf,
    config: Config,
    kept: Option<Kept>,
    tell: SignalTargets,
) -> std::io::Result<()> {
    spawn("signals", move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload(&path, &config, kept.as_ref(), &tell.changelog);
            } else if tell.router.send(Input::Stop).is_err() {
                return;
            }
        }
    })?;
    Ok(())
}

fn reload(path: &std::path::Path, config: &Config, kept: Option<&Kept>, changes: &Sender<SocketAddr>) {
    let (new, text) = match Config::load_text(path) {
        Ok(new) => new,
        Err(error) => {
            tracing::warn!("reload: {error}; the configuration in force stays");
            return;
        }
    };
    tracing::info!("reload: change log at {}", new.changelog);
    if config.is_new_beyond_changelog(&new) {
        tracing::warn!("reload: more than the change log's address is new; that is taken at the next start");
    }
    if let Some(kept) = kept {
        kept.in_force(path, &text);
    }
    let _ = changes.send(new.changelog);
}
