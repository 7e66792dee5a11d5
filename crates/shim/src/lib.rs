//! Fault injection for processes started by tests: failing system calls and wall clock steps.
//!
//! Tests use [`Shim`], which creates a control file, provides the environment that loads the library into a
//! process (`LD_PRELOAD`), sets faults while the process runs and reads counters. `cherrypass-shim-library`
//! runs inside that process. Both share the layout of the control file in [`control`]. Release builds contain
//! none of it.
pub mod control;
pub mod errors;

use control::{Call, ALL_CALLS};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a call fails, and with which outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Failures per million calls.
    pub per_million: u64,
    /// The error number; for [`Call::ShortRead`] and [`Call::ShortWrite`] the maximum number of bytes.
    pub outcome: i32,
}

/// The test side of the shim of one process.
pub struct Shim {
    control: File,
    folder: tempfile::TempDir,
}

impl Shim {
    /// Creates a shim without faults. The seed determines which calls fail.
    pub fn new(seed: u64) -> io::Result<Shim> {
        let folder = tempfile::tempdir()?;
        let path = folder.path().join("control");
        let control = OpenOptions::new().read(true).write(true).create_new(true).open(path)?;
        control.set_len(control::FILE_BYTES as u64)?;
        let shim = Shim { control, folder };
        shim.write(control::SEED_WORD, seed)?;
        Ok(shim)
    }

    /// The environment variables that load the shim into a process.
    pub fn environment(&self) -> io::Result<[(&'static str, String); 2]> {
        let control = self.folder.path().join("control");
        Ok([
            ("LD_PRELOAD", library()?.display().to_string()),
            (control::FILE_VARIABLE, control.display().to_string()),
        ])
    }

    /// Sets how far the wall clock of the process is ahead of or behind the system clock.
    pub fn step_wall_clock(&self, ahead: Duration, behind: Duration) -> io::Result<()> {
        let micros = ahead.as_micros() as i64 - behind.as_micros() as i64;
        self.write(control::CLOCK_OFFSET_WORD, micros as u64)
    }

    /// Sets the fault of a call in all threads; a rate of 0 disables it.
    pub fn set_fault(&self, call: Call, fault: Fault) -> io::Result<()> {
        self.set_thread_fault(call, "", fault)
    }

    /// Sets the fault of a call in the threads of this name; an empty name stands for all.
    pub fn set_thread_fault(&self, call: Call, thread: &str, fault: Fault) -> io::Result<()> {
        let first = call.first_word();
        self.write(first + control::THREAD_WORD, control::thread_word(thread.as_bytes()))?;
        self.write(first + control::OUTCOME_WORD, fault.outcome as u64)?;
        self.write(first + control::RATE_WORD, fault.per_million)
    }

    /// Has the process stop itself (SIGSTOP) right before the next such call of a thread, once. The main thread has
    /// the name of the program.
    pub fn stop_at(&self, call: Call, thread: &str) -> io::Result<()> {
        self.write(control::STOP_THREAD_WORD, control::thread_word(thread.as_bytes()))?;
        self.write(control::STOP_CALL_WORD, call.stop_word())
    }

    /// Removes all faults and the clock offset.
    pub fn clear(&self) -> io::Result<()> {
        ALL_CALLS.iter().try_for_each(|call| self.set_fault(*call, Fault { per_million: 0, outcome: 0 }))?;
        self.write(control::CLOCK_OFFSET_WORD, 0)
    }

    /// Number of calls, and of injected failures among them.
    pub fn counts(&self, call: Call) -> io::Result<[u64; 2]> {
        let first = call.first_word();
        Ok([self.read(first + control::CALL_COUNT_WORD)?, self.read(first + control::FAILURE_COUNT_WORD)?])
    }

    fn write(&self, word: usize, value: u64) -> io::Result<()> {
        self.control.write_all_at(&value.to_le_bytes(), (word * control::WORD_BYTES) as u64)
    }

    fn read(&self, word: usize) -> io::Result<u64> {
        let mut bytes = [0; control::WORD_BYTES];
        self.control.read_exact_at(&mut bytes, (word * control::WORD_BYTES) as u64)?;
        Ok(u64::from_le_bytes(bytes))
    }
}

/// Path of the library: in the folder of the running test, or in the folder `deps` beside a built program.
fn library() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let places = [folder.join(control::LIBRARY_FILE), folder.join("deps").join(control::LIBRARY_FILE)];
    let found = places.into_iter().find(|path| path.exists());
    found.ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!("{} not found: build the crate cherrypass-shim", control::LIBRARY_FILE),
        )
    })
}
