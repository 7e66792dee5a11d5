//! Follows the change log over HTTP/1.1, by long polls for the changes after the last known one. Each change
//! takes effect as soon as it has arrived, before the rest of the answer. After a failure the current list
//! stays in force and the log is polled again.
mod answer;
mod answer_stream;
mod changes;
mod connections;
mod poll_state;
mod time_limits;

pub use self::answer::read_answer;
pub use self::changes::OnChange;
use self::connections::{Connections, PollFailure};
use self::poll_state::PollState;
pub(crate) use self::time_limits::CHECK_INTERVAL;
pub use self::time_limits::MAX_ANNOUNCEMENT_DELAY;
use self::time_limits::{ANNOUNCED_AFTER, ANNOUNCED_AFTER_RELOAD};
use crate::carried_changes::{Delivery, Source};
use crate::change_decoding::ChangeDecoder;
pub use crate::change_decoding::{decode, host_id, ChangeLogError, InvalidKey};
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::config::WireNames;
use crate::inbox::{AnnouncedChanges, Input, NewAddress};
use cherrypass::time::{Span, Time};
use crossbeam_channel::{Receiver, Sender};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Instant;

/// Parameters of [`follow`].
pub struct FollowOptions {
    /// Address of the change log.
    pub address: SocketAddr,
    /// New addresses of the change log.
    pub new_addresses: Receiver<NewAddress>,
    pub names: WireNames,
    /// Number of the last known change.
    pub last_change: u64,
    /// Maximum bytes of one change.
    pub max_change_bytes: usize,
    pub seed: u64,
    pub router: Sender<Input>,
    /// Renewed while the log is followed.
    pub lease: ChangeLogLease,
    /// Set if carriers deliver changes, or if this process is a carrier.
    pub delivery: Option<Delivery>,
}

/// Follows the change log until the router has stopped.
pub fn follow(options: FollowOptions) {
    let FollowOptions {
        address,
        new_addresses,
        names,
        mut last_change,
        max_change_bytes,
        seed,
        router,
        lease,
        delivery,
    } = options;
    let mut source = Source::new(delivery, lease.clone());
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut connections = Connections::new(address, new_addresses, max_change_bytes, lease.clone());
    let mut state = PollState::default();
    loop {
        if source.apply_delivered(&names, &mut last_change, &router).is_err() {
            return;
        }
        for reload in connections.update_address() {
            state.reset_retry_delay();
            if router.send(Input::ChangesAnnounced(announced_by_reload(reload))).is_err() {
                return;
            }
        }
        let (polled_at, polled_instant) = (clock::now(), Instant::now());
        let since = last_change;
        let mut decoder = ChangeDecoder::new(&names, &mut last_change, state.known_invalid());
        let limits = state.limits(lease.is_valid(polled_at));
        let answer = connections.poll(since, limits, &mut |result| {
            let before = decoder.last();
            let change = decoder.decode(result)?;
            if decoder.last() > before {
                source.change_read(decoder.last(), result);
            }
            change.map_or(Ok(()), |change| {
                lease.change_sent();
                router.send(Input::Change(change)).map_err(|_| ChangeLogError::RouterStopped)
            })
        });
        state.note_duration(clock::now() - polled_at);
        let repeated = decoder.first_repeated();
        source.answer_ended(last_change, answer.is_ok().then_some(polled_instant));
        if answer.is_ok() && router.send(Input::ChangeLogReadUpTo(polled_at)).is_err() {
            return;
        }
        state.note_repeated(repeated, last_change);
        let fault = match answer {
            Err(PollFailure { fault: ChangeLogError::AddressChanged, .. }) => continue,
            Err(PollFailure { fault: ChangeLogError::RouterStopped, .. }) => return,
            Err(PollFailure { fault, requested_at }) => {
                let announced = requested_at.map(|at| announced_by_failure(at, limits.wait));
                if announced.is_some_and(|changes| router.send(Input::ChangesAnnounced(changes)).is_err()) {
                    return;
                }
                Some(fault)
            }
            Ok(seq) => {
                state.note_sequence(seq, since);
                None
            }
        };
        state.note_result(fault.as_ref(), last_change);
        let since_poll = clock::now() - polled_at;
        let delay = state.retry_delay(fault.as_ref(), since_poll, &mut random);
        if let Some(delay) = delay.max(source.poll_delay(since_poll)) {
            connections.wait(delay);
        }
    }
}

/// What counts as announced after a poll without a complete answer: it broke off, stopped, was not answered in time, or
/// can't be used.
fn announced_by_failure(requested_at: Time, wait: Span) -> AnnouncedChanges {
    let noted_at = clock::now();
    AnnouncedChanges { noted_at, announced_at: noted_at.min(requested_at + wait) + ANNOUNCED_AFTER }
}

/// What counts as announced after a reload, unless it is read at the new address before.
fn announced_by_reload(reload: NewAddress) -> AnnouncedChanges {
    let noted_at = reload.signalled_at;
    AnnouncedChanges { noted_at, announced_at: noted_at + ANNOUNCED_AFTER_RELOAD }
}
