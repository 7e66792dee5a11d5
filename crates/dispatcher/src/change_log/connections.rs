//! The connections to the change log: establishes and reuses them, and has the polls on them that are not answered.
use super::answer::read_answer;
use super::answer_stream::{ready, AnswerStream};
use super::changes::OnChange;
use super::pending_poll::{PendingPoll, PollLimits, PollStart};
use super::time_limits::{CHECK_INTERVAL, CONNECT_TIMEOUT, MAX_PENDING_POLLS, REDIAL_AFTER};
use crate::change_decoding::ChangeLogError;
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::inbox::NewAddress;
use cherrypass::time::{Span, Time};
use crossbeam_channel::Receiver;
use nix::poll::PollFlags;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// How often polls that are not answered are looked at while another connection is being established.
const PENDING_CHECK_INTERVAL: Span = Span::millis(10);

/// A connection that is being established.
struct Dial {
    stream: TcpStream,
    since: Time,
}

fn dial(address: SocketAddr) -> io::Result<Dial> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(Dial { stream: socket.into(), since: clock::now() }),
    }
}

/// The connections to the change log, with the polls on them.
pub(super) struct Connections {
    address: SocketAddr,
    new_addresses: Receiver<NewAddress>,
    idle: Option<TcpStream>,
    /// In the order of their requests.
    pending: VecDeque<PendingPoll>,
    dials: Vec<Dial>,
    max_change_bytes: usize,
    lease: ChangeLogLease,
}

impl Connections {
    pub(super) fn new(
        address: SocketAddr,
        new_addresses: Receiver<NewAddress>,
        max_change_bytes: usize,
        lease: ChangeLogLease,
    ) -> Connections {
        let (idle, pending, dials) = Default::default();
        Connections { address, new_addresses, idle, pending, dials, max_change_bytes, lease }
    }

    /// Takes the new addresses of the change log, and closes the connections if there is one.
    pub(super) fn update_address(&mut self) -> Vec<NewAddress> {
        let new: Vec<NewAddress> = self.new_addresses.try_iter().collect();
        if let Some(NewAddress { address, .. }) = new.last() {
            (self.address, self.idle, self.dials) = (*address, None, Vec::new());
            self.pending.clear();
        }
        new
    }

    /// The poll that was requested last, if it is not answered.
    pub(super) fn newest_poll(&self) -> Option<&PendingPoll> {
        self.pending.back()
    }

    /// When another poll may begin: while as many as allowed are pending, once the oldest one can be given up.
    pub(super) fn room_for_poll_at(&self) -> Time {
        let oldest = self.pending.front().filter(|_| self.pending.len() >= MAX_PENDING_POLLS);
        oldest.map_or(Time(0), PendingPoll::may_be_given_up_at)
    }

    /// Marks the poll that was requested last as overdue.
    pub(super) fn set_newest_overdue(&mut self) {
        self.pending.back_mut().into_iter().for_each(|poll| poll.is_overdue = true);
    }

    /// Waits for the beginning of an answer, or the end of its connection, until a time or until the address changes.
    /// While there is nothing to read the lease is renewed.
    pub(super) fn wait_for_answer(&mut self, until: Time) -> io::Result<Option<PendingPoll>> {
        loop {
            let now = clock::now();
            if let Some(index) = self.answered_poll(now)? {
                return Ok(self.pending.remove(index));
            }
            self.lease.renew(now);
            if now >= until || !self.new_addresses.is_empty() {
                return Ok(None);
            }
            let streams: Vec<&TcpStream> = self.pending.iter().map(|poll| &poll.stream).collect();
            ready(&streams, PollFlags::POLLIN, until)?;
        }
    }

    /// The first poll of which the answer has begun.
    fn answered_poll(&self, now: Time) -> io::Result<Option<usize>> {
        if self.pending.is_empty() {
            return Ok(None);
        }
        let streams: Vec<&TcpStream> = self.pending.iter().map(|poll| &poll.stream).collect();
        Ok(ready(&streams, PollFlags::POLLIN, now)?.iter().position(|is_ready| *is_ready))
    }

    /// Returns the first connection to be established, or none once an earlier poll is answered: establishing goes on
    /// with the next call.
    fn connect(&mut self) -> Result<Option<TcpStream>, ChangeLogError> {
        loop {
            if !self.new_addresses.is_empty() {
                return Err(ChangeLogError::AddressChanged);
            }
            let now = clock::now();
            self.lease.renew(now);
            if self.dials.last().is_none_or(|dial| now - dial.since >= REDIAL_AFTER) {
                self.dials.push(dial(self.address).map_err(ChangeLogError::Unreachable)?);
            }
            let streams: Vec<&TcpStream> = self.dials.iter().map(|dial| &dial.stream).collect();
            let wait = if self.pending.is_empty() { CHECK_INTERVAL } else { PENDING_CHECK_INTERVAL };
            let ready = ready(&streams, PollFlags::POLLOUT, now + wait)?;
            if let Some(index) = ready.iter().position(|is_ready| *is_ready) {
                let Dial { stream, .. } = self.dials.swap_remove(index);
                self.dials.clear();
                return match stream.take_error().map_err(ChangeLogError::Unreachable)? {
                    Some(error) => Err(ChangeLogError::Unreachable(error)),
                    None => Ok(Some(stream)),
                };
            }
            if self.answered_poll(now)?.is_some() {
                return Ok(None);
            }
            if self.dials.first().is_some_and(|dial| clock::now() - dial.since >= CONNECT_TIMEOUT) {
                self.dials.remove(0);
                return Err(ChangeLogError::Unreachable(ErrorKind::TimedOut.into()));
            }
        }
    }

    /// Requests the changes after a given one. Returns whether it was sent: not if an earlier poll was answered while
    /// the connection was being established.
    pub(super) fn request(
        &mut self,
        started: PollStart,
        since: u64,
        limits: PollLimits,
    ) -> Result<bool, ChangeLogError> {
        let Some(stream) = self.take_connection()? else { return Ok(false) };
        let (wait_ms, address) = (limits.wait.0 / 1000, self.address);
        let request = format!(
            "GET /changes?since={since}&timeout={wait_ms} HTTP/1.1\r\nHost: {address}\r\n\
             Accept: application/json\r\n\r\n"
        );
        let requested_at = clock::now();
        // Where the connection has ended meanwhile, that is read as the answer.
        let _ = (&stream).write_all(request.as_bytes());
        if self.pending.len() >= MAX_PENDING_POLLS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingPoll {
            stream,
            since,
            started,
            requested_at,
            limits,
            is_overdue: false,
        });
        Ok(true)
    }

    /// Reads an answer that has begun, and passes on each change; returns the number of the log's last change.
    pub(super) fn read(
        &mut self,
        poll: PendingPoll,
        on_change: &mut OnChange,
    ) -> Result<Option<u64>, ChangeLogError> {
        let answer_stream = AnswerStream {
            stream: &poll.stream,
            new_addresses: &self.new_addresses,
            deadline: poll.end_deadline(clock::now()),
            late_bytes_left: self.max_change_bytes,
            lease: &self.lease,
        };
        let answer = read_answer(answer_stream, poll.since, self.max_change_bytes, on_change);
        if !self.new_addresses.is_empty() && !matches!(answer, Err(ChangeLogError::RouterStopped)) {
            return Err(ChangeLogError::AddressChanged);
        }
        let (seq, is_reusable) = answer?;
        self.idle = Some(poll.stream).filter(|_| is_reusable);
        Ok(seq)
    }

    /// Takes the idle connection if it can be reused, or else a new one.
    fn take_connection(&mut self) -> Result<Option<TcpStream>, ChangeLogError> {
        // A connection that was closed in between, or has unexpected data, can't be reused.
        let mut unexpected = [0];
        let is_reusable = |stream: &TcpStream| {
            { stream }.read(&mut unexpected).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
        };
        match self.idle.take().filter(is_reusable) {
            Some(stream) => Ok(Some(stream)),
            None => self.connect(),
        }
    }
}
