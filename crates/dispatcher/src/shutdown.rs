//! SIGTERM: tells the router, which serves on what comes and finishes what is open.
use crate::line::spawn;
use crate::router::Input;
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

pub fn watch(router: Sender<Input>) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    spawn("signals", move || {
        for _ in signals.forever() {
            if router.send(Input::Stop).is_err() {
                return;
            }
        }
    })?;
    Ok(())
}
