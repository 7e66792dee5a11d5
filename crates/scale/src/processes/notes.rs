//! Notes of a process of followers: one JSON object per line. A last line truncated by a kill is ignored.
use super::clock::Micros;
use crate::error::{io_error, Error};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

/// An event of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The follower started.
    Started,
    /// It received the change of this number.
    Took(u64),
    /// It has all changes that the log had at this time.
    KnownUpTo(Micros),
    /// It began or stopped reading the log itself.
    ReadsLog(bool),
    /// Datagrams in both directions since the previous note of this kind.
    Traffic { messages: u64, bytes: u64 },
}

/// An event with its follower and time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    pub follower: usize,
    #[serde(rename = "at")]
    pub at_us: Micros,
    pub event: Event,
}

/// Writes notes to a file.
pub struct Notes(BufWriter<File>);

impl Notes {
    pub fn create(path: &Path) -> Result<Notes, Error> {
        File::create(path).map(|file| Notes(BufWriter::new(file))).map_err(io_error("a file of notes"))
    }

    pub fn add(&mut self, note: &Note) -> Result<(), Error> {
        let mut line = serde_json::to_vec(note).map_err(|error| io_error("a note")(error.into()))?;
        line.push(b'\n');
        self.0.write_all(&line).map_err(io_error("a file of notes"))
    }

    /// Writes buffered notes to the file, where they survive a kill of this process.
    pub fn flush(&mut self) -> Result<(), Error> {
        self.0.flush().map_err(io_error("a file of notes"))
    }
}

/// Reads all complete notes of a file.
pub fn read(path: &Path) -> Result<Vec<Note>, Error> {
    let bytes = std::fs::read(path).map_err(io_error("a file of notes"))?;
    let text = String::from_utf8_lossy(&bytes);
    let complete_lines = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
    let notes = complete_lines
        .map(|line| serde_json::from_str(line).map_err(|error| io_error("a note")(error.into())));
    notes.collect()
}
