//! A TCP connection shared by the threads that read and write it, and the reason why it was closed.
use crate::clock;
use crate::config::MAX_HOST_MESSAGE_BYTES;
use cherrypass::time::{Span, Time};
use nix::errno::Errno;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::socket::{recv, MsgFlags};
use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::OnceLock;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// Why a connection was closed. Each close is logged with the reason's code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    ClosedByPeer,
    Reset,
    ClosedInMessage,
    Unreadable,
    TooLong,
    IdNotIncreasing,
    IdInUse,
    IdsUsedUp,
    UnusableAnswer,
    TooManyOpen,
    NoRoomForMessage,
    MessageTimeout,
    Silent,
    Evicted,
    SlowReader,
    WriteFailed,
    TooManyClients,
    NoThread,
    Refused,
    ConnectTimeout,
    NoDescriptor,
    Unreachable,
    Idle,
    HostRemoved,
    ShuttingDown,
}

impl CloseReason {
    pub fn code(self) -> &'static str {
        match self {
            CloseReason::ClosedByPeer => "closed-by-peer",
            CloseReason::Reset => "reset",
            CloseReason::ClosedInMessage => "cut-in-message",
            CloseReason::Unreadable => "unreadable",
            CloseReason::TooLong => "too-long",
            CloseReason::IdNotIncreasing => "id-not-up",
            CloseReason::IdInUse => "id-open",
            CloseReason::IdsUsedUp => "ids-used-up",
            CloseReason::UnusableAnswer => "spoilt",
            CloseReason::TooManyOpen => "too-many-open",
            CloseReason::NoRoomForMessage => "no-room-for-message",
            CloseReason::MessageTimeout => "half-message",
            CloseReason::Silent => "mute",
            CloseReason::Evicted => "room-needed",
            CloseReason::SlowReader => "slow-reader",
            CloseReason::WriteFailed => "write-failed",
            CloseReason::TooManyClients => "too-many-clients",
            CloseReason::NoThread => "no-thread",
            CloseReason::Refused => "refused",
            CloseReason::ConnectTimeout => "connect-silent",
            CloseReason::NoDescriptor => "no-descriptor",
            CloseReason::Unreachable => "unreachable",
            CloseReason::Idle => "idle",
            CloseReason::HostRemoved => "host-gone",
            CloseReason::ShuttingDown => "stopped",
        }
    }

    /// Whether the host's process may have ended: one that dies resets its connections. A regular close
    /// doesn't count, as hosts close idle connections and cut answers short; neither does a connect timeout,
    /// as connections may come up late: where that counted, warm hosts were held to a cold host's budget.
    pub fn may_be_process_end(self) -> bool {
        matches!(self, CloseReason::Reset | CloseReason::WriteFailed | CloseReason::Refused)
    }

    /// The reason for a failed connect.
    pub fn from_connect_error(error: &io::Error) -> CloseReason {
        const EMFILE: i32 = 24;
        const ENFILE: i32 = 23;
        match error.kind() {
            ErrorKind::ConnectionRefused => CloseReason::Refused,
            ErrorKind::TimedOut | ErrorKind::WouldBlock => CloseReason::ConnectTimeout,
            _ if matches!(error.raw_os_error(), Some(EMFILE | ENFILE)) => CloseReason::NoDescriptor,
            _ => CloseReason::Unreachable,
        }
    }
}

/// What the kernel has received from a peer and nobody has read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadInput {
    None,
    Bytes,
    /// A close, also behind unread bytes.
    Closed,
}

/// A connection to a client or a host.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    close_reason: OnceLock<CloseReason>,
    /// Whether the peer has closed its side.
    peer_closed: AtomicBool,
    /// Time of the last read, and of the first byte of an incomplete message (0: none).
    last_read_at: AtomicU64,
    partial_since: AtomicU64,
    /// Bytes of the incomplete message.
    partial_bytes: AtomicUsize,
}

impl AsFd for Connection {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let (last_read_at, partial_since) = (AtomicU64::new(clock::now().0), AtomicU64::new(0));
        let (close_reason, peer_closed) = (OnceLock::new(), AtomicBool::new(false));
        let partial_bytes = AtomicUsize::new(0);
        Connection { stream, close_reason, peer_closed, last_read_at, partial_since, partial_bytes }
    }

    /// Sets the socket options. Reads get no timeout, since the kernel interrupts all that have one when a
    /// stopped process continues; sweeps close stalled connections instead.
    pub fn configure(&self, write_timeout: Option<Duration>) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        // Fits one whole answer, and no more piles up for a peer that doesn't read.
        socket2::SockRef::from(&self.stream).set_send_buffer_size(MAX_HOST_MESSAGE_BYTES)?;
        self.stream.set_write_timeout(write_timeout)
    }

    /// Shuts down both directions. The first reason given is the one that is logged.
    pub fn shut_down(&self, reason: CloseReason) {
        let _ = self.close_reason.set(reason);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Shuts down the writing direction, so that everything written still reaches the peer. The reader must
    /// discard further input before the socket is closed, or a reset could destroy the last answers.
    pub fn shut_down_write(&self, reason: CloseReason) {
        let _ = self.close_reason.set(reason);
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Whether this side has shut the connection down.
    pub fn is_shut_down(&self) -> bool {
        self.close_reason.get().is_some()
    }

    /// Records that the peer has closed its side.
    pub fn mark_peer_closed(&self) {
        self.peer_closed.store(true, Relaxed);
    }

    /// Whether the peer is known to have closed its side.
    pub fn is_peer_closed(&self) -> bool {
        self.peer_closed.load(Relaxed)
    }

    /// Whether either side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.is_peer_closed() || self.is_shut_down()
    }

    /// What the kernel has received from the peer and nobody has read yet.
    pub fn unread_input(&self) -> UnreadInput {
        let ends = PollFlags::from_bits_retain(libc::POLLRDHUP) | PollFlags::POLLHUP | PollFlags::POLLERR;
        let mut polled = [PollFd::new(self.as_fd(), ends | PollFlags::POLLIN)];
        let ready = loop {
            match poll(&mut polled, PollTimeout::ZERO) {
                Err(Errno::EINTR) => {}
                ready => break ready,
            }
        };
        if !ready.is_ok_and(|ready| ready > 0) {
            return UnreadInput::None;
        }
        // `nix` doesn't define POLLRDHUP, and returns no flags at all if an undefined one is set.
        if polled[0].revents().is_none_or(|events| events.intersects(ends)) {
            self.mark_peer_closed();
            return UnreadInput::Closed;
        }
        UnreadInput::Bytes
    }

    /// Appends unread bytes, which stay unread. Returns their number.
    pub fn peek(&self, into: &mut bytes::BytesMut, max_bytes: usize) -> usize {
        let old_length = into.len();
        into.resize(old_length + max_bytes, 0);
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        let length = recv(self.stream.as_raw_fd(), &mut into[old_length..], flags).unwrap_or(0);
        into.truncate(old_length + length);
        length
    }

    /// The reason given by whoever closed the connection first.
    pub fn close_reason(&self) -> CloseReason {
        *self.close_reason.get_or_init(|| CloseReason::ClosedByPeer)
    }

    /// When something was last read, or the connection was created.
    pub fn last_read_at(&self) -> Time {
        Time(self.last_read_at.load(Relaxed))
    }

    /// How long the first byte of an incomplete message has been waiting for the rest.
    pub fn partial_for(&self, now: Time) -> Option<Span> {
        Some(self.partial_since.load(Relaxed)).filter(|at| *at > 0).map(|at| now - Time(at))
    }

    /// Bytes of an incomplete message that have arrived.
    pub fn partial_bytes(&self) -> usize {
        self.partial_bytes.load(Relaxed)
    }

    /// Called by the reader after it has taken all complete messages: `buffer` is what remains, `has_taken`
    /// whether there was one.
    pub fn messages_taken(&self, buffer: &[u8], has_taken: bool) {
        self.partial_bytes.store(buffer.len(), Relaxed);
        if buffer.is_empty() {
            self.partial_since.store(0, Relaxed);
        } else if has_taken {
            self.partial_since.store(self.last_read_at.load(Relaxed), Relaxed);
        }
    }

    /// Reads available bytes without blocking. Returns the time of the read, or none if nothing is available,
    /// and the reason to close the connection if the stream has ended or failed.
    pub fn try_read(
        &self,
        into: &mut bytes::BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Time>, CloseReason> {
        let old_length = into.len();
        into.resize(old_length + max_bytes, 0);
        let result = recv(self.stream.as_raw_fd(), &mut into[old_length..], MsgFlags::MSG_DONTWAIT);
        into.truncate(old_length + result.unwrap_or(0));
        match result {
            Ok(0) => {
                self.mark_peer_closed();
                let is_in_message = self.partial_since.load(Relaxed) > 0;
                Err(if is_in_message { CloseReason::ClosedInMessage } else { CloseReason::ClosedByPeer })
            }
            Ok(_) => {
                let now = clock::now();
                self.last_read_at.store(now.0, Relaxed);
                let _ = self.partial_since.compare_exchange(0, now.0, Relaxed, Relaxed);
                Ok(Some(now))
            }
            Err(Errno::EAGAIN | Errno::EINTR) => Ok(None),
            Err(_) => {
                self.mark_peer_closed();
                Err(CloseReason::Reset)
            }
        }
    }

    /// Reads and drops available bytes. Returns their number, or none once the peer has closed its side.
    pub fn discard(&self, buffer: &mut [u8]) -> Option<usize> {
        match recv(self.stream.as_raw_fd(), buffer, MsgFlags::MSG_DONTWAIT) {
            Ok(0) => None,
            Ok(length) => Some(length),
            Err(Errno::EAGAIN | Errno::EINTR) => Some(0),
            Err(_) => None,
        }
    }

    /// Writes without blocking; returns the number of bytes written.
    pub fn try_write(&self, parts: &[&[u8]]) -> io::Result<usize> {
        let mut written = 0;
        let socket = socket2::SockRef::from(&self.stream);
        match write_all(parts, &mut written, |left| socket.send_vectored_with_flags(left, libc::MSG_DONTWAIT))
        {
            Err(error) if error.kind() != ErrorKind::WouldBlock => Err(error),
            _ => Ok(written),
        }
    }

    /// Writes the parts after the first `written` bytes, blocking as long as the write timeout allows.
    pub fn write(&self, parts: &[&[u8]], mut written: usize) -> io::Result<()> {
        write_all(parts, &mut written, |left| (&self.stream).write_vectored(left))
    }
}

/// Writes the parts after the first `written` bytes without joining them, until all are written or a write
/// fails.
fn write_all(
    parts: &[&[u8]],
    written: &mut usize,
    mut write: impl FnMut(&[IoSlice]) -> io::Result<usize>,
) -> io::Result<()> {
    let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut left = &mut slices[..];
    IoSlice::advance_slices(&mut left, *written);
    while !left.is_empty() {
        match write(left) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => {
                *written += n;
                IoSlice::advance_slices(&mut left, n);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Whether a call would block, timed out or was interrupted. The kernel interrupts calls with a timeout when
/// a stopped process continues.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// Stack size of the dispatcher's threads. Pages that a thread doesn't touch cost no memory.
const STACK_BYTES: usize = 128 * 1024;

/// Spawns a named thread with a small stack.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run)
}
