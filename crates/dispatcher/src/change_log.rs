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
use self::connections::{Connections, PollFailure, PollLimits};
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
    let mut follower = Follower::new(options);
    while follower.run_once().is_ok() {}
}

/// The router has stopped.
struct RouterStopped;

/// A poll that has ended, with or without a complete answer.
struct EndedPoll {
    started_at: Time,
    limits: PollLimits,
    /// The last known change at its start.
    since: u64,
    /// The first change that was told again.
    repeated: Option<u64>,
    /// The number of the log's last change.
    answer: Result<Option<u64>, PollFailure>,
}

/// Follows the change log, one poll after another.
struct Follower {
    names: WireNames,
    /// Number of the last known change.
    last_change: u64,
    router: Sender<Input>,
    lease: ChangeLogLease,
    source: Source,
    connections: Connections,
    state: PollState,
    random: Pcg64Mcg,
}

impl Follower {
    fn new(options: FollowOptions) -> Follower {
        let FollowOptions { address, new_addresses, max_change_bytes, lease, .. } = options;
        Follower {
            names: options.names,
            last_change: options.last_change,
            router: options.router,
            source: Source::new(options.delivery, lease.clone()),
            connections: Connections::new(address, new_addresses, max_change_bytes, lease.clone()),
            lease,
            state: PollState::default(),
            random: Pcg64Mcg::seed_from_u64(options.seed),
        }
    }

    /// Applies what carriers have delivered and new addresses, and polls once.
    fn run_once(&mut self) -> Result<(), RouterStopped> {
        let delivered = self.source.apply_delivered(&self.names, &mut self.last_change, &self.router);
        delivered.map_err(|_| RouterStopped)?;
        for reload in self.connections.update_address() {
            self.state.reset_retry_delay();
            self.send(Input::ChangesAnnounced(announced_by_reload(reload)))?;
        }
        let poll = self.poll();
        self.handle(poll)
    }

    fn send(&self, input: Input) -> Result<(), RouterStopped> {
        self.router.send(input).map_err(|_| RouterStopped)
    }

    /// Polls the log, and passes on each change as soon as it has arrived.
    fn poll(&mut self) -> EndedPoll {
        let (started_at, start_instant) = (clock::now(), Instant::now());
        let since = self.last_change;
        let limits = self.state.limits(self.lease.is_valid(started_at));
        let mut decoder = ChangeDecoder::new(&self.names, &mut self.last_change, self.state.known_invalid());
        let answer = self.connections.poll(since, limits, &mut |result| {
            let before = decoder.last();
            let change = decoder.decode(result)?;
            if decoder.last() > before {
                self.source.change_read(decoder.last(), result);
            }
            change.map_or(Ok(()), |change| {
                self.lease.change_sent();
                self.router.send(Input::Change(change)).map_err(|_| ChangeLogError::RouterStopped)
            })
        });
        let repeated = decoder.first_repeated();
        self.state.note_duration(clock::now() - started_at);
        self.source.answer_ended(self.last_change, answer.is_ok().then_some(start_instant));
        EndedPoll { started_at, limits, since, repeated, answer }
    }

    /// Tells the router what an ended poll means, and waits until the next one is due.
    fn handle(&mut self, poll: EndedPoll) -> Result<(), RouterStopped> {
        self.state.note_repeated(poll.repeated, self.last_change);
        let fault = match poll.answer {
            Ok(seq) => {
                self.send(Input::ChangeLogReadUpTo(poll.started_at))?;
                self.state.note_sequence(seq, poll.since);
                None
            }
            Err(PollFailure { fault: ChangeLogError::AddressChanged, .. }) => return Ok(()),
            Err(PollFailure { fault: ChangeLogError::RouterStopped, .. }) => return Err(RouterStopped),
            Err(PollFailure { fault, requested_at }) => {
                if let Some(requested_at) = requested_at {
                    let announced = announced_by_failure(requested_at, poll.limits.wait);
                    self.send(Input::ChangesAnnounced(announced))?;
                }
                Some(fault)
            }
        };
        self.state.note_result(fault.as_ref(), self.last_change);
        self.wait(fault.as_ref(), clock::now() - poll.started_at);
        Ok(())
    }

    fn wait(&mut self, fault: Option<&ChangeLogError>, since_poll: Span) {
        let delay = self.state.retry_delay(fault, since_poll, &mut self.random);
        if let Some(delay) = delay.max(self.source.poll_delay(since_poll)) {
            self.connections.wait(delay);
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
