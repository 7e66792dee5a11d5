//! Layout of the control file: 64-bit words with faults, written by tests, and counters, written by the
//! library.

/// Environment variable with the path of the control file.
pub const FILE_VARIABLE: &str = "CHERRYPASS_SHIM";
pub const LIBRARY_FILE: &str = "libcherrypass_shim_library.so";

pub const WORD_BYTES: usize = 8;
/// Word with the seed that determines which calls fail.
pub const SEED_WORD: usize = 0;
/// Word with the offset of the wall clock, in microseconds as a signed number.
pub const CLOCK_OFFSET_WORD: usize = 1;
/// Word with the call at which the process stops itself once, as its index plus one; 0 for none.
pub const STOP_CALL_WORD: usize = 2;
/// Word with the first 8 bytes of the name of the thread that has to make that call.
pub const STOP_THREAD_WORD: usize = 3;
const FIRST_CALL_WORD: usize = 8;
const WORDS_PER_CALL: usize = 5;
/// Word offsets within the words of a call: failures per million, outcome, number of calls, number of failures, and
/// the thread whose calls fail (as in [`STOP_THREAD_WORD`]; 0 for all).
pub const RATE_WORD: usize = 0;
pub const OUTCOME_WORD: usize = 1;
pub const CALL_COUNT_WORD: usize = 2;
pub const FAILURE_COUNT_WORD: usize = 3;
pub const THREAD_WORD: usize = 4;
pub const FILE_BYTES: usize = (FIRST_CALL_WORD + WORDS_PER_CALL * ALL_CALLS.len()) * WORD_BYTES;

/// The calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// Reads of the wall clock. Those changed by an offset count as failures.
    WallClock,
    Accept,
    Socket,
    Connect,
    /// `epoll_wait` and `poll`.
    Wait,
    /// Reads from sockets that return an error.
    Read,
    /// Reads from sockets that return only a few bytes.
    ShortRead,
    /// Writes to sockets that return an error.
    Write,
    /// Writes to sockets that write only a few bytes.
    ShortWrite,
    /// Writes to files.
    FileWrite,
    /// Syncs of files and folders.
    FileSync,
}

pub const ALL_CALLS: [Call; 11] = [
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
    /// Index of the first word of this call.
    pub fn first_word(self) -> usize {
        FIRST_CALL_WORD + WORDS_PER_CALL * self as usize
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

    /// The value of [`STOP_CALL_WORD`] for this call.
    pub fn stop_word(self) -> u64 {
        self as u64 + 1
    }

    pub fn from_name(name: &str) -> Option<Call> {
        ALL_CALLS.into_iter().find(|call| call.name() == name)
    }
}

/// The value of [`STOP_THREAD_WORD`] for a thread's name.
pub fn thread_word(name: &[u8]) -> u64 {
    let mut bytes = [0; WORD_BYTES];
    let length = name.len().min(WORD_BYTES);
    bytes[..length].copy_from_slice(&name[..length]);
    u64::from_le_bytes(bytes)
}
