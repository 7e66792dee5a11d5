//! The control file: 64-bit words that tests write and the library reads, and counts that go the other way.

/// The environment variable that names the control file.
pub const FILE: &str = "CHERRYPASS_SHIM";
pub const LIBRARY: &str = "libcherrypass_shim_library.so";

pub const WORD: usize = 8;
/// Places of words. Chance's seed; microseconds that the wall clock is ahead (as a signed number).
pub const SEED: usize = 0;
pub const CLOCK_OFFSET: usize = 1;
const FIRST_CALL: usize = 8;
const WORDS_A_CALL: usize = 4;
/// Places within a call's words.
pub const RATE: usize = 0;
pub const HOW: usize = 1;
pub const MADE: usize = 2;
pub const DELIVERED: usize = 3;
pub const BYTES: usize = (FIRST_CALL + WORDS_A_CALL * CALLS.len()) * WORD;

/// The calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// Reads of the wall clock; delivered are those that an offset changed.
    WallClock,
    Accept,
    Socket,
    Connect,
    /// `epoll_wait` and `poll`.
    Wait,
    /// Reads of sockets that bring an error.
    Read,
    /// Reads of sockets that bring a few bytes alone.
    ShortRead,
    /// Writes to sockets that bring an error.
    Write,
    /// Writes to sockets that take a few bytes alone.
    ShortWrite,
    /// Writes to files.
    FileWrite,
    /// Syncs of files and folders.
    FileSync,
}

pub const CALLS: [Call; 11] = [
    Call::WallClock,
    Call::Accept,
    Call::Socket,
    Call::Connect,
    Call::Wait,
    Call::Read,
    Call::ShortRead,
    Call::Write,
    Call::ShortWrite,
    Call::FileWrite,
    Call::FileSync,
];

impl Call {
    /// Its first word.
    pub fn place(self) -> usize {
        FIRST_CALL + WORDS_A_CALL * self as usize
    }

    pub fn name(self) -> &'static str {
        match self {
            Call::WallClock => "wall-clock",
            Call::Accept => "accept",
            Call::Socket => "socket",
            Call::Connect => "connect",
            Call::Wait => "wait",
            Call::Read => "read",
            Call::ShortRead => "short-read",
            Call::Write => "write",
            Call::ShortWrite => "short-write",
            Call::FileWrite => "file-write",
            Call::FileSync => "file-sync",
        }
    }

    pub fn named(name: &str) -> Option<Call> {
        CALLS.into_iter().find(|call| call.name() == name)
    }
}
