//! Follows the change log over HTTP/1.1, by long polls for the changes after the last known one. Each change
//! takes effect as soon as it has arrived, before the rest of the answer. After a failure the current list
//! stays in force and the log is polled again.
mod answer;
mod answer_stream;
mod changes;
mod connections;
mod pending_poll;
mod poll_state;
mod time_limits;

pub use self::answer::read_answer;
pub use self::changes::OnChange;
use self::connections::Connections;
use self::pending_poll::{PendingPoll, PollStart};
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
use std::io::ErrorKind;
use std::net::SocketAddr;

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

/// An answer that has ended, complete or not.
struct EndedAnswer {
    started: PollStart,
    /// All changes that the log had at this time are known, if the answer is complete.
    complete_up_to: Time,
    end_of_wait: Time,
    /// The last known change when the poll was requested.
    since: u64,
    /// The first change that was told again.
    repeated: Option<u64>,
    /// The number of the log's last change.
    result: Result<Option<u64>, ChangeLogError>,
}

/// Follows the change log, one poll after another. One that is not answered in time goes on beside the next ones, so that
/// an answer that comes is read, however late.
struct Follower {
    names: WireNames,
    /// Number of the last known change.
    last_change: u64,
    router: Sender<Input>,
    lease: ChangeLogLease,
    source: Source,
    connections: Connections,
    state: PollState,
    /// When the next poll is due, unless one is waiting for its answer.
    next_poll_at: Time,
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
            next_poll_at: Time(0),
            random: Pcg64Mcg::seed_from_u64(options.seed),
        }
    }

    /// Applies what carriers have delivered and new addresses; then begins a poll, or waits for an answer.
    fn run_once(&mut self) -> Result<(), RouterStopped> {
        let delivered = self.source.apply_delivered(&self.names, &mut self.last_change, &self.router);
        delivered.map_err(|_| RouterStopped)?;
        for reload in self.connections.update_address() {
            self.state.address_changed();
            self.next_poll_at = clock::now();
            self.send(Input::ChangesAnnounced(announced_by_reload(reload)))?;
        }
        let (now, poll_due_at) = (clock::now(), self.poll_due_at());
        let overdue_at = self.unanswered_poll().map(PendingPoll::overdue_at);
        let until = poll_due_at.into_iter().chain(overdue_at).fold(now + CHECK_INTERVAL, Time::min);
        match self.connections.wait_for_answer(until) {
            Ok(Some(poll)) => self.read_answer(poll),
            Ok(None) if poll_due_at.is_some_and(|at| now >= at) => self.begin_poll(),
            Ok(None) => self.check_overdue(clock::now()),
            Err(error) => self.handle_failure(&error.into(), clock::now()),
        }
    }

    /// The last poll, if its answer is awaited and not late.
    fn unanswered_poll(&self) -> Option<&PendingPoll> {
        self.connections.newest_poll().filter(|poll| !poll.is_overdue)
    }

    /// When the next poll is due, if the answer to the last one is not awaited first.
    fn poll_due_at(&self) -> Option<Time> {
        let Some(poll) = self.unanswered_poll() else {
            return Some(self.next_poll_at.max(self.connections.room_for_poll_at()));
        };
        // What a process missed that was stopped is wanted at once.
        let is_catch_up = poll.limits.is_for_slow_log() && !self.lease.is_valid(clock::now());
        is_catch_up.then_some(self.next_poll_at)
    }

    fn begin_poll(&mut self) -> Result<(), RouterStopped> {
        let started = PollStart::now();
        let limits = self.state.limits(self.lease.is_valid(started.at));
        match self.connections.request(started, self.last_change, limits) {
            Ok(_) | Err(ChangeLogError::AddressChanged) => Ok(()),
            Err(fault) => self.handle_failure(&fault, started.at),
        }
    }

    /// Has another poll begin where the answer to the last one is late. What it would tell counts as announced, unless
    /// it is read before.
    fn check_overdue(&mut self, now: Time) -> Result<(), RouterStopped> {
        let overdue = self.unanswered_poll().filter(|poll| now >= poll.overdue_at());
        let Some(poll) = overdue else { return Ok(()) };
        let (noted_at, announced_at) = (poll.overdue_at(), poll.end_of_wait() + ANNOUNCED_AFTER);
        self.connections.set_newest_overdue();
        self.send(Input::ChangesAnnounced(AnnouncedChanges { noted_at, announced_at }))?;
        if self.state.note_overdue() {
            let fault = ChangeLogError::Interrupted(ErrorKind::TimedOut.into());
            self.state.note_result(Some(&fault), self.last_change);
        }
        self.next_poll_at = now;
        Ok(())
    }

    fn send(&self, input: Input) -> Result<(), RouterStopped> {
        self.router.send(input).map_err(|_| RouterStopped)
    }

    /// Reads an answer that has begun, and passes on each change as soon as it has arrived.
    fn read_answer(&mut self, poll: PendingPoll) -> Result<(), RouterStopped> {
        let PendingPoll { since, started, requested_at, limits, is_overdue, .. } = poll;
        let (began_at, end_of_wait) = (clock::now(), poll.end_of_wait());
        let mut has_changes = false;
        let mut decoder = ChangeDecoder::new(&self.names, &mut self.last_change, self.state.known_invalid());
        let result = self.connections.read(poll, &mut |result| {
            has_changes = true;
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
        // Later changes may have been told by another poll meanwhile.
        let repeated = decoder.first_repeated().filter(|number| *number <= since);
        if result.is_ok() {
            self.state.note_answer_time(began_at - requested_at, limits);
        }
        let complete_up_to = if is_overdue && !has_changes { end_of_wait.min(began_at) } else { started.at };
        self.state.note_duration(clock::now() - started.at);
        self.source.answer_ended(self.last_change, result.is_ok().then_some(started.instant));
        self.handle(EndedAnswer { started, complete_up_to, end_of_wait, since, repeated, result })
    }

    /// Tells the router what an ended answer means.
    fn handle(&mut self, ended: EndedAnswer) -> Result<(), RouterStopped> {
        self.state.note_repeated(ended.repeated, self.last_change);
        match ended.result {
            Ok(seq) => {
                self.send(Input::ChangeLogReadUpTo(ended.complete_up_to))?;
                self.state.note_sequence(seq, ended.since);
                self.state.note_result(None, self.last_change);
                self.postpone_poll(None, ended.started.at);
                Ok(())
            }
            Err(ChangeLogError::AddressChanged) => Ok(()),
            Err(ChangeLogError::RouterStopped) => Err(RouterStopped),
            Err(fault) => {
                let announced = announced_by_failure(ended.end_of_wait);
                self.send(Input::ChangesAnnounced(announced))?;
                self.handle_failure(&fault, ended.started.at)
            }
        }
    }

    /// A poll that began at this time has failed.
    fn handle_failure(&mut self, fault: &ChangeLogError, started_at: Time) -> Result<(), RouterStopped> {
        self.state.note_failure();
        self.state.note_result(Some(fault), self.last_change);
        self.postpone_poll(Some(fault), started_at);
        Ok(())
    }

    /// Sets when the next poll is due.
    fn postpone_poll(&mut self, fault: Option<&ChangeLogError>, started_at: Time) {
        let now = clock::now();
        let delay = self.state.retry_delay(fault, now - started_at, &mut self.random);
        let delay = delay.max(self.source.poll_delay(now - started_at));
        self.next_poll_at = now + delay.unwrap_or(Span::ZERO);
    }
}

/// What counts as announced after a poll without a complete answer: it broke off, stopped, was not answered in time, or
/// can't be used.
fn announced_by_failure(end_of_wait: Time) -> AnnouncedChanges {
    let noted_at = clock::now();
    AnnouncedChanges { noted_at, announced_at: noted_at.min(end_of_wait) + ANNOUNCED_AFTER }
}

/// What counts as announced after a reload, unless it is read at the new address before.
fn announced_by_reload(reload: NewAddress) -> AnnouncedChanges {
    let noted_at = reload.signalled_at;
    AnnouncedChanges { noted_at, announced_at: noted_at + ANNOUNCED_AFTER_RELOAD }
}
