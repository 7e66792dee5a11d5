//! Reads from a connection within time limits.
use super::time_limits::CHECK_INTERVAL;
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::inbox::NewAddress;
use cherrypass::time::Time;
use crossbeam_channel::Receiver;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::os::fd::AsFd;

/// Waits until a stream is ready, but no longer than `until` or the check interval; returns which streams are
/// ready.
pub(super) fn ready(streams: &[&TcpStream], events: PollFlags, until: Time) -> io::Result<Vec<bool>> {
    let wait = (until - clock::now()).min(CHECK_INTERVAL).0.div_ceil(1000);
    let mut polled: Vec<PollFd> = streams.iter().map(|stream| PollFd::new(stream.as_fd(), events)).collect();
    match poll(&mut polled, PollTimeout::from(wait as u16)) {
        Ok(_) => Ok(polled.iter().map(|polled| polled.any().unwrap_or(true)).collect()),
        Err(nix::errno::Errno::EINTR) => Ok(vec![false; streams.len()]),
        Err(error) => Err(error.into()),
    }
}

/// Reads one answer that has begun. Ends an answer that stalls or trickles at one deadline for all of it, and stops waiting
/// when the change log's address changes. After the deadline, bytes that are already buffered are still read
/// up to a limit, so that a stall of this process loses no changes.
pub(super) struct AnswerStream<'a> {
    pub(super) stream: &'a TcpStream,
    pub(super) new_addresses: &'a Receiver<NewAddress>,
    pub(super) deadline: Time,
    /// Bytes that may still be read after the deadline.
    pub(super) late_bytes_left: usize,
    /// Renewed whenever nothing is left to read.
    pub(super) lease: &'a ChangeLogLease,
}

impl Read for AnswerStream<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        loop {
            let now = clock::now();
            let is_late = now >= self.deadline;
            match (&mut self.stream).read(into) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.lease.renew(now),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Ok(length) if is_late && length > self.late_bytes_left => {
                    return Err(ErrorKind::TimedOut.into())
                }
                Ok(length) => {
                    self.late_bytes_left -= if is_late { length } else { 0 };
                    return Ok(length);
                }
                Err(error) => return Err(error),
            }
            if is_late || !self.new_addresses.is_empty() {
                return Err(ErrorKind::TimedOut.into());
            }
            ready(&[self.stream], PollFlags::POLLIN, self.deadline)?;
        }
    }
}
