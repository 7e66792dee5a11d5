//! One connection, shared by the threads that read and write it, and the reason of its end.
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::OnceLock;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// Why a connection ended; each leaves one log line with its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    ClosedByPeer,
    Reset,
    CutInMessage,
    Unreadable,
    TooLong,
    IdNotUp,
    IdOpen,
    TooManyOpen,
    HalfMessage,
    Mute,
    RoomNeeded,
    SlowReader,
    WriteFailed,
    TooManyClients,
    NoThread,
    Refused,
    ConnectSilent,
    NoDescriptor,
    Unreachable,
    Idle,
    HostGone,
    Stopped,
}

impl Code {
    pub fn word(self) -> &'static str {
        match self {
            Code::ClosedByPeer => "closed-by-peer",
            Code::Reset => "reset",
            Code::CutInMessage => "cut-in-message",
            Code::Unreadable => "unreadable",
            Code::TooLong => "too-long",
            Code::IdNotUp => "id-not-up",
            Code::IdOpen => "id-open",
            Code::TooManyOpen => "too-many-open",
            Code::HalfMessage => "half-message",
            Code::Mute => "mute",
            Code::RoomNeeded => "room-needed",
            Code::SlowReader => "slow-reader",
            Code::WriteFailed => "write-failed",
            Code::TooManyClients => "too-many-clients",
            Code::NoThread => "no-thread",
            Code::Refused => "refused",
            Code::ConnectSilent => "connect-silent",
            Code::NoDescriptor => "no-descriptor",
            Code::Unreachable => "unreachable",
            Code::Idle => "idle",
            Code::HostGone => "host-gone",
            Code::Stopped => "stopped",
        }
    }

    /// The code of a connect that failed.
    pub fn of_connect(error: &io::Error) -> Code {
        const EMFILE: i32 = 24;
        const ENFILE: i32 = 23;
        match error.kind() {
            ErrorKind::ConnectionRefused => Code::Refused,
            ErrorKind::TimedOut | ErrorKind::WouldBlock => Code::ConnectSilent,
            _ if matches!(error.raw_os_error(), Some(EMFILE | ENFILE)) => Code::NoDescriptor,
            _ => Code::Unreachable,
        }
    }
}

#[derive(Debug)]
pub struct Line {
    stream: TcpStream,
    end: OnceLock<Code>,
}

impl Line {
    pub fn new(stream: TcpStream) -> Line {
        Line { stream, end: OnceLock::new() }
    }

    /// Messages go out at once; with limits, a read or a write stands still no longer.
    pub fn set_up(&self, read: Option<Duration>, write: Option<Duration>) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.stream.set_read_timeout(read)?;
        self.stream.set_write_timeout(write)
    }

    /// Ends the connection for both threads; the first reason given is the one that is logged.
    pub fn end(&self, code: Code) {
        let _ = self.end.set(code);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn is_ended(&self) -> bool {
        self.end.get().is_some()
    }

    pub fn code(&self) -> Code {
        *self.end.get_or_init(|| Code::ClosedByPeer)
    }

    /// Reads what has come and tells whether anything did before the limit; an end of the stream or a failure
    /// ends the connection.
    pub fn read(&self, into: &mut bytes::BytesMut, room: usize) -> Result<bool, Code> {
        let held = into.len();
        into.resize(held + room, 0);
        let found = (&self.stream).read(&mut into[held..]);
        into.truncate(held + found.as_ref().map_or(0, |n| *n));
        match found {
            Ok(0) if held > 0 => Err(Code::CutInMessage),
            Ok(0) => Err(Code::ClosedByPeer),
            Ok(_) => Ok(true),
            Err(error) if is_wait(&error) => Ok(false),
            Err(_) => Err(Code::Reset),
        }
    }

    /// Writes all parts without joining them.
    pub fn write(&self, parts: &[&[u8]]) -> io::Result<()> {
        let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
        let mut left = &mut slices[..];
        IoSlice::advance_slices(&mut left, 0);
        while !left.is_empty() {
            match (&self.stream).write_vectored(left) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => IoSlice::advance_slices(&mut left, n),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Whether a read or a write came to no end in its time, or a signal broke it off: the machine does so to those
/// with a limit each time the process goes on after it was stopped.
pub fn is_wait(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// Stack of the threads of connections; what they don't touch costs no memory.
const STACK: usize = 128 * 1024;

pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.into()).stack_size(STACK).spawn(run)
}
