//! The connections to the change log: establishes, polls and reuses them.
use super::answer::read_answer;
use super::answer_stream::{ready, AnswerStream};
use super::changes::OnChange;
use super::time_limits::{CHECK_INTERVAL, CONNECT_TIMEOUT, REDIAL_AFTER, RESPONSE_DEADLINE};
use crate::change_decoding::ChangeLogError;
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::inbox::NewAddress;
use cherrypass::time::{Span, Time};
use crossbeam_channel::Receiver;
use nix::poll::PollFlags;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

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

/// The time limits of a poll.
#[derive(Clone, Copy)]
pub(super) struct PollLimits {
    /// The wait requested of the log.
    pub(super) wait: Span,
    /// Time after the requested wait until the answer has to begin.
    pub(super) response_timeout: Span,
}

/// A poll without a complete answer.
pub(super) struct PollFailure {
    pub(super) fault: ChangeLogError,
    /// When the log was asked, if a connection was established.
    pub(super) requested_at: Option<Time>,
}

/// The connections to the change log between polls.
pub(super) struct Connections {
    address: SocketAddr,
    new_addresses: Receiver<NewAddress>,
    idle: Option<TcpStream>,
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
        Connections { address, new_addresses, idle: None, dials: Vec::new(), max_change_bytes, lease }
    }

    /// Takes the new addresses of the change log, and closes the connections if there is one.
    pub(super) fn update_address(&mut self) -> Vec<NewAddress> {
        let new: Vec<NewAddress> = self.new_addresses.try_iter().collect();
        if let Some(NewAddress { address, .. }) = new.last() {
            (self.address, self.idle, self.dials) = (*address, None, Vec::new());
        }
        new
    }

    /// Waits, but no longer than until the address changes. Without a connection there is nothing to read, so the
    /// lease is renewed.
    pub(super) fn wait(&self, delay: Span) {
        let until = clock::now() + delay;
        let mut select = crossbeam_channel::Select::new();
        select.recv(&self.new_addresses);
        loop {
            let now = clock::now();
            self.lease.renew(now);
            if now >= until || select.ready_timeout(clock::to_std((until - now).min(CHECK_INTERVAL))).is_ok()
            {
                return;
            }
        }
    }

    /// Returns the first connection to be established.
    fn connect(&mut self) -> Result<TcpStream, ChangeLogError> {
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
            let ready = ready(&streams, PollFlags::POLLOUT, now + CHECK_INTERVAL)?;
            if let Some(index) = ready.iter().position(|is_ready| *is_ready) {
                let Dial { stream, .. } = self.dials.swap_remove(index);
                self.dials.clear();
                return match stream.take_error().map_err(ChangeLogError::Unreachable)? {
                    Some(error) => Err(ChangeLogError::Unreachable(error)),
                    None => Ok(stream),
                };
            }
            if self.dials.first().is_some_and(|dial| clock::now() - dial.since >= CONNECT_TIMEOUT) {
                self.dials.remove(0);
                return Err(ChangeLogError::Unreachable(ErrorKind::TimedOut.into()));
            }
        }
    }

    /// Requests the changes after a given one and passes each of them on; returns the number of the log's
    /// last change.
    pub(super) fn poll(
        &mut self,
        since: u64,
        limits: PollLimits,
        on_change: &mut OnChange,
    ) -> Result<Option<u64>, PollFailure> {
        let stream = self.take_connection().map_err(|fault| PollFailure { fault, requested_at: None })?;
        let requested_at = Some(clock::now());
        self.request(stream, since, limits, on_change).map_err(|fault| PollFailure { fault, requested_at })
    }

    /// Sends a request and reads the answer.
    fn request(
        &mut self,
        stream: TcpStream,
        since: u64,
        PollLimits { wait, response_timeout }: PollLimits,
        on_change: &mut OnChange,
    ) -> Result<Option<u64>, ChangeLogError> {
        let (wait_ms, address) = (wait.0 / 1000, self.address);
        let request = format!(
            "GET /changes?since={since}&timeout={wait_ms} HTTP/1.1\r\nHost: {address}\r\n\
             Accept: application/json\r\n\r\n"
        );
        (&stream).write_all(request.as_bytes())?;
        let now = clock::now();
        let answer_stream = AnswerStream {
            stream: &stream,
            new_addresses: &self.new_addresses,
            deadline: now + (wait + response_timeout).min(RESPONSE_DEADLINE),
            end_deadline: now + RESPONSE_DEADLINE,
            late_bytes_left: self.max_change_bytes,
            lease: &self.lease,
        };
        let answer = read_answer(answer_stream, since, self.max_change_bytes, on_change);
        if !self.new_addresses.is_empty() && !matches!(answer, Err(ChangeLogError::RouterStopped)) {
            return Err(ChangeLogError::AddressChanged);
        }
        let (seq, is_reusable) = answer?;
        self.idle = Some(stream).filter(|_| is_reusable);
        Ok(seq)
    }

    /// Takes the idle connection if it can be reused, or else a new one.
    fn take_connection(&mut self) -> Result<TcpStream, ChangeLogError> {
        // A connection that was closed in between, or has unexpected data, can't be reused.
        let mut unexpected = [0];
        let is_reusable = |stream: &TcpStream| {
            { stream }.read(&mut unexpected).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
        };
        match self.idle.take().filter(is_reusable) {
            Some(stream) => Ok(stream),
            None => self.connect(),
        }
    }
}
