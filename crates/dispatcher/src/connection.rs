//! One connection, shared by the threads that read and write it, and the reason of its end.
use crate::clock;
use crate::config::HOST_MESSAGE;
use cherrypass::time::{Span, Time};
use nix::errno::Errno;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::socket::{recv, MsgFlags};
use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// Why a connection ended; each leaves one log line with its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    ClosedByPeer,
    Reset,
    ClosedInMessage,
    Unreadable,
    TooLong,
    IdNotIncreasing,
    IdInUse,
    UnusableAnswer,
    TooManyOpen,
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
            CloseReason::UnusableAnswer => "spoilt",
            CloseReason::TooManyOpen => "too-many-open",
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

    /// Whether a connection to a host ended in a way in which that host's process may have ended: one that dies resets
    /// its connections. An end of the stream is no sign, as hosts close what is idle and cut answers short; nor is
    /// silence, as connections come up late: where it counted, warm hosts were held to a cold one's part.
    pub fn may_be_process_end(self) -> bool {
        matches!(self, CloseReason::Reset | CloseReason::WriteFailed | CloseReason::Refused)
    }

    /// The code of a connect that failed.
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

/// Of what waits to be read so much is looked at.
const PEEK_BYTES: usize = 4096;

#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    close_reason: OnceLock<CloseReason>,
    /// The peer has ended its side.
    peer_closed: AtomicBool,
    /// When something last came, and since when a message is here in part (0: none is).
    last_read_at: AtomicU64,
    partial_since: AtomicU64,
    /// Held from a read until what it brought is marked.
    read_lock: Mutex<()>,
}

impl AsFd for Connection {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let (heard, half) = (AtomicU64::new(clock::now().0), AtomicU64::new(0));
        let (end, left, reading) = (OnceLock::new(), AtomicBool::new(false), Mutex::new(()));
        Connection {
            stream,
            close_reason: end,
            peer_closed: left,
            last_read_at: heard,
            partial_since: half,
            read_lock: reading,
        }
    }

    /// Messages go out at once; with a limit, a write stands still no longer. Reads have none, as each time the
    /// process goes on after it was stopped the machine breaks off all that have: who looks after half messages
    /// and connections that stand ends them.
    pub fn configure(&self, write: Option<Duration>) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        // A whole answer is taken at once by one who reads, and more than that piles up for none.
        socket2::SockRef::from(&self.stream).set_send_buffer_size(HOST_MESSAGE)?;
        self.stream.set_write_timeout(write)
    }

    /// Ends the connection for both threads; the first reason given is the one that is logged.
    pub fn shut_down(&self, code: CloseReason) {
        let _ = self.close_reason.set(code);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Ends this side alone: what was written still goes out, and the peer sees a whole stream. Guards against a
    /// reset that takes the last answers with it: who reads has to take in, unused, what still comes, and to close then.
    pub fn shut_down_write(&self, code: CloseReason) {
        let _ = self.close_reason.set(code);
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Whether this side has ended it.
    pub fn is_shut_down(&self) -> bool {
        self.close_reason.get().is_some()
    }

    pub fn mark_peer_closed(&self) {
        self.peer_closed.store(true, Relaxed);
    }

    /// Whether the peer has ended its side, as far as was read.
    pub fn is_peer_closed(&self) -> bool {
        self.peer_closed.load(Relaxed)
    }

    /// Whether nobody is there any more.
    pub fn is_closed(&self) -> bool {
        self.is_peer_closed() || self.is_shut_down()
    }

    /// For as long as this is held, what has come is either unread or marked as what it is. The reader holds it from
    /// its read until it has marked what came, a look for as long as it takes: guards against a look at a cancel that
    /// is read and not marked yet, which would see it in neither place.
    pub fn lock_reads(&self) -> MutexGuard<'_, ()> {
        self.read_lock.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The same as the machine knows it, or that what waits to be read says so: guards against an end, or a word, that
    /// stands behind bytes which are not read yet.
    pub fn check_closed(&self, says: impl Fn(&[u8]) -> bool) -> bool {
        if self.is_closed() {
            return true;
        }
        let ends = PollFlags::from_bits_retain(libc::POLLRDHUP) | PollFlags::POLLHUP | PollFlags::POLLERR;
        let mut polled = [PollFd::new(self.as_fd(), ends | PollFlags::POLLIN)];
        if !poll(&mut polled, PollTimeout::ZERO).is_ok_and(|found| found > 0) {
            return false;
        }
        // `nix` has no name for POLLRDHUP, and tells of no flags at all where one without a name is set.
        if polled[0].revents().is_none_or(|found| found.intersects(ends)) {
            self.mark_peer_closed();
            return true;
        }
        let mut waiting = [0; PEEK_BYTES];
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        recv(self.stream.as_raw_fd(), &mut waiting, flags).is_ok_and(|length| says(&waiting[..length]))
    }

    pub fn close_reason(&self) -> CloseReason {
        *self.close_reason.get_or_init(|| CloseReason::ClosedByPeer)
    }

    pub fn last_read_at(&self) -> Time {
        Time(self.last_read_at.load(Relaxed))
    }

    /// For how long a message has been here in part.
    pub fn partial_for(&self, now: Time) -> Option<Span> {
        Some(self.partial_since.load(Relaxed)).filter(|at| *at > 0).map(|at| now - Time(at))
    }

    /// Told by the reader once it has taken all whole messages, and whether there were any.
    pub fn messages_taken(&self, buffer: &[u8], any: bool) {
        if buffer.is_empty() {
            self.partial_since.store(0, Relaxed);
        } else if any {
            self.partial_since.store(self.last_read_at.load(Relaxed), Relaxed);
        }
    }

    /// Reads what has come, none where that is nothing yet; an end of the stream or a failure ends the connection.
    pub fn try_read(&self, into: &mut bytes::BytesMut, room: usize) -> Result<Option<Time>, CloseReason> {
        let held = into.len();
        into.resize(held + room, 0);
        let found = recv(self.stream.as_raw_fd(), &mut into[held..], MsgFlags::MSG_DONTWAIT);
        into.truncate(held + found.unwrap_or(0));
        match found {
            Ok(0) => {
                self.mark_peer_closed();
                Err(if held > 0 { CloseReason::ClosedInMessage } else { CloseReason::ClosedByPeer })
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

    /// Takes in what has come, and drops it; how much that was, none once the peer has ended its side.
    pub fn discard(&self, piece: &mut [u8]) -> Option<usize> {
        match recv(self.stream.as_raw_fd(), piece, MsgFlags::MSG_DONTWAIT) {
            Ok(0) => None,
            Ok(found) => Some(found),
            Err(Errno::EAGAIN | Errno::EINTR) => Some(0),
            Err(_) => None,
        }
    }

    /// Writes what the machine takes at once; returns how much that was.
    pub fn try_write(&self, parts: &[&[u8]]) -> io::Result<usize> {
        let mut written = 0;
        let socket = socket2::SockRef::from(&self.stream);
        match write_all(parts, &mut written, |left| socket.send_vectored_with_flags(left, libc::MSG_DONTWAIT))
        {
            Err(error) if error.kind() != ErrorKind::WouldBlock => Err(error),
            _ => Ok(written),
        }
    }

    /// Writes all of the parts past the first bytes, however long the other side takes for it.
    pub fn write(&self, parts: &[&[u8]], mut written: usize) -> io::Result<()> {
        write_all(parts, &mut written, |left| (&self.stream).write_vectored(left))
    }
}

/// Writes the parts past what is written already, without joining them, until all is out or a write fails.
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

/// Whether a read or a write came to no end in its time, or a signal broke it off: the machine does so to those
/// with a limit each time the process goes on after it was stopped.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// Stack of the threads of connections; what they don't touch costs no memory.
const STACK_BYTES: usize = 128 * 1024;

pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run)
}
