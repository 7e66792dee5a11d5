//! Makes system calls fail, and steps the wall clock, in processes that tests start.
//!
//! The crate has two sides. [`Shim`] is the tests': it makes a control file, hands out the environment that loads the
//! library into a process (`LD_PRELOAD`), sets faults while the process runs, and tells how often each was delivered.
//! `cherrypass-shim-library` is what runs inside that process. Both know the control file by [`control`]. No released program has any
//! of it.
pub mod control;
pub mod errors;

use control::{Call, CALLS};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a call fails, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Of a million calls so many.
    pub per_million: u64,
    /// The error that they return; for [`Call::ShortRead`] and [`Call::ShortWrite`] the most bytes that are moved.
    pub how: i32,
}

/// What a test holds of one process's shim.
pub struct Shim {
    control: File,
    folder: tempfile::TempDir,
}

impl Shim {
    /// A shim without faults; which calls a rate hits follows from the seed.
    pub fn new(seed: u64) -> io::Result<Shim> {
        let folder = tempfile::tempdir()?;
        let path = folder.path().join("control");
        let control = OpenOptions::new().read(true).write(true).create_new(true).open(path)?;
        control.set_len(control::BYTES as u64)?;
        let shim = Shim { control, folder };
        shim.write(control::SEED, seed)?;
        Ok(shim)
    }

    /// What a process's environment has to hold for it.
    pub fn environment(&self) -> io::Result<[(&'static str, String); 2]> {
        let control = self.folder.path().join("control");
        Ok([("LD_PRELOAD", library()?.display().to_string()), (control::FILE, control.display().to_string())])
    }

    /// From here on the process's wall clock is so far ahead of the machine's, or behind it.
    pub fn step_wall_clock(&self, ahead: Duration, behind: Duration) -> io::Result<()> {
        let micros = ahead.as_micros() as i64 - behind.as_micros() as i64;
        self.write(control::CLOCK_OFFSET, micros as u64)
    }

    /// From here on a call fails so; a rate of 0 ends that.
    pub fn set(&self, call: Call, fault: Fault) -> io::Result<()> {
        let at = call.place();
        self.write(at + control::HOW, fault.how as u64)?;
        self.write(at + control::RATE, fault.per_million)
    }

    /// No call fails any more, and the clock shows the machine's time.
    pub fn clear(&self) -> io::Result<()> {
        CALLS.iter().try_for_each(|call| self.set(*call, Fault { per_million: 0, how: 0 }))?;
        self.write(control::CLOCK_OFFSET, 0)
    }

    /// How often a call was made, and how often it failed by order.
    pub fn delivered(&self, call: Call) -> io::Result<[u64; 2]> {
        let at = call.place();
        Ok([self.read(at + control::MADE)?, self.read(at + control::DELIVERED)?])
    }

    fn write(&self, word: usize, value: u64) -> io::Result<()> {
        self.control.write_all_at(&value.to_le_bytes(), (word * control::WORD) as u64)
    }

    fn read(&self, word: usize) -> io::Result<u64> {
        let mut bytes = [0; control::WORD];
        self.control.read_exact_at(&mut bytes, (word * control::WORD) as u64)?;
        Ok(u64::from_le_bytes(bytes))
    }
}

/// The built library: beside the running test, or in the folder `deps` beside a built program.
fn library() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let places = [folder.join(control::LIBRARY), folder.join("deps").join(control::LIBRARY)];
    let found = places.into_iter().find(|path| path.exists());
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, format!("no {}: build the crate shim", control::LIBRARY))
    })
}
