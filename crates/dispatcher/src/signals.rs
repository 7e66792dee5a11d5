//! Signal handling: SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the configuration. A
//! configuration that is invalid leaves the current one in force.
use crate::clock;
use crate::config::Config;
use crate::connection::spawn;
use crate::durable_state::StateStore;
use crate::inbox::{Input, NewAddress};
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;

/// The channels through which signals take effect.
pub struct SignalTargets {
    pub router: Sender<Input>,
    /// Passes a new change log address to the thread that follows it.
    pub changelog: Sender<NewAddress>,
}

/// Registers the signals, which are then queued until they are handled, so that one that arrives during
/// startup does not kill the process.
pub fn register() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Handles the signals on a thread of their own.
pub fn handle_in_thread(
    mut signals: Signals,
    path: PathBuf,
    config: Config,
    kept: Option<StateStore>,
    targets: SignalTargets,
) -> std::io::Result<()> {
    spawn("signals", move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload(&path, &config, kept.as_ref(), &targets.changelog);
            } else if targets.router.send(Input::Stop).is_err() {
                return;
            }
        }
    })?;
    Ok(())
}

fn reload(
    path: &std::path::Path,
    config: &Config,
    kept: Option<&StateStore>,
    changelog: &Sender<NewAddress>,
) {
    let signalled_at = clock::now();
    let (new, text) = match Config::load_text(path) {
        Ok(new) => new,
        Err(error) => {
            tracing::warn!("reload: {error}; the current configuration stays in force");
            return;
        }
    };
    tracing::info!("reload: change log at {}", new.changelog);
    if config.needs_restart_for(&new) {
        tracing::warn!("reload: only the change log's address is reloaded; the other changes take effect at the next start");
    }
    if let Some(kept) = kept {
        kept.record_configuration(path, &text);
    }
    let _ = changelog.send(NewAddress { address: new.changelog, signalled_at });
}
