//! Checkpoints of the index, for a fast start. A checkpoint is written while batches are committed: it holds
//! the position from which the log is replayed over it, and the position that the log had reached at its end.
//! A torn or missing checkpoint only makes the start slower.
use crate::disk::{read_range, write_all, Disk, File};
use crate::engine::{read_view, Position};
use crate::error::Error;
use crate::index::{Cursor, Entry, Key, View};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::{Arc, RwLock};

pub const FINISHED_SUFFIX: &str = ".checkpoint";
pub const UNFINISHED_SUFFIX: &str = ".undone";
const MAGIC: &[u8; 8] = b"cpcheck\n";
const VERSION: u32 = 1;
const HEADER_BYTES: usize = 16;
const BLOCK_HEADER_BYTES: usize = 8;
const MAX_BLOCK_BYTES: usize = 64 << 20;

#[derive(Serialize, Deserialize)]
struct KeyEntry<'a> {
    #[serde(with = "serde_bytes")]
    key: &'a [u8],
    entry: Entry,
}

/// The blocks of a checkpoint in order: the start position, the records by space and key, and the end.
#[derive(Serialize, Deserialize)]
enum Block<'a> {
    Start(Position),
    Entries {
        space: &'a str,
        #[serde(borrow)]
        entries: Vec<KeyEntry<'a>>,
    },
    End {
        position: Position,
        records: u64,
    },
}

type Entries<K> = Vec<(K, Entry)>;

/// A checkpoint as read.
pub struct Checkpoint {
    /// From where the log is to be replayed.
    pub start: Position,
    /// The position that the log had reached when the checkpoint was finished; all data before it was synced.
    pub end: Position,
    pub spaces: Vec<(String, Entries<Key>)>,
}

/// Reads a checkpoint; the error says what is wrong with it.
pub fn load(disk: &dyn Disk, name: &str) -> Result<Checkpoint, String> {
    let file = disk.open(name).map_err(|error| error.to_string())?;
    let length = file.length().map_err(|error| error.to_string())?;
    let bytes = read_range(&*file, 0, length as usize).map_err(|error| error.to_string())?;
    if bytes.len() < HEADER_BYTES || &bytes[..8] != MAGIC || bytes[8..12] != VERSION.to_le_bytes() {
        return Err("the header can't be read".into());
    }
    let (mut start, mut spaces, mut records) = (None, Vec::<(String, Vec<_>)>::new(), 0);
    let mut rest = &bytes[HEADER_BYTES..];
    loop {
        let offset = bytes.len() - rest.len();
        let (block, length) =
            decode_block(rest).ok_or_else(|| format!("the block at byte {offset} can't be read"))?;
        rest = &rest[length..];
        match block {
            Block::Start(position) => start = Some(position),
            Block::Entries { space, entries } => {
                records += entries.len() as u64;
                let entries = entries.into_iter().map(|item| (Key::from_slice(item.key), item.entry));
                match spaces.last_mut().filter(|(name, _)| name == space) {
                    Some((_, stored)) => stored.extend(entries),
                    None => spaces.push((space.to_owned(), entries.collect())),
                }
            }
            Block::End { position, records: expected } if expected == records => {
                let start = start.ok_or("the start position is missing")?;
                return Ok(Checkpoint { start, end: position, spaces });
            }
            Block::End { .. } => return Err("the number of records doesn't match".into()),
        }
    }
}

fn decode_block(bytes: &[u8]) -> Option<(Block<'_>, usize)> {
    let number = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (crc, length) = (number(0)?, number(4)? as usize);
    let payload = bytes.get(4..BLOCK_HEADER_BYTES + length)?;
    let block =
        (crc32c::crc32c(payload) == crc).then(|| postcard::from_bytes(&payload[4..]).ok()).flatten()?;
    Some((block, BLOCK_HEADER_BYTES + length))
}

/// Writes a checkpoint in steps.
pub struct Writer {
    disk: Arc<dyn Disk>,
    file: Arc<dyn File>,
    name: String,
    offset: u64,
    cursor: Cursor,
    records: u64,
    is_complete: bool,
}

impl Writer {
    /// Starts a checkpoint at the given position of the log.
    pub fn create(disk: Arc<dyn Disk>, start: Position) -> Result<Writer, Error> {
        let name = format!("{:020}", start.next_seq.0);
        let unfinished = format!("{name}{UNFINISHED_SUFFIX}");
        let write_error = || Error::io(format!("writing {unfinished}"));
        let _ = disk.remove(&unfinished);
        let file = disk.create(&unfinished).map_err(write_error())?;
        let mut writer = Writer { disk, file, name, offset: 0, cursor: None, records: 0, is_complete: false };
        let mut header = [0; HEADER_BYTES];
        header[..8].copy_from_slice(MAGIC);
        header[8..12].copy_from_slice(&VERSION.to_le_bytes());
        writer
            .write(&header)
            .and_then(|()| writer.write_block(&Block::Start(start)))
            .map_err(write_error())?;
        Ok(writer)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write_all(&*self.file, self.offset, bytes)?;
        self.offset += bytes.len() as u64;
        Ok(())
    }

    fn write_block(&mut self, block: &Block) -> io::Result<()> {
        let mut bytes = vec![0; BLOCK_HEADER_BYTES];
        postcard::to_io(block, &mut bytes).map_err(io::Error::other)?;
        let length = (bytes.len() - BLOCK_HEADER_BYTES) as u32;
        bytes[4..8].copy_from_slice(&length.to_le_bytes());
        let crc = crc32c::crc32c(&bytes[4..]);
        bytes[..4].copy_from_slice(&crc.to_le_bytes());
        self.write(&bytes)
    }

    /// Writes records of about `bytes` bytes; returns the bytes written and whether records are left.
    pub fn step(&mut self, view: &RwLock<View>, bytes: usize) -> Result<(u64, bool), Error> {
        let before = self.offset;
        let mut blocks: Vec<(String, Entries<Vec<u8>>)> = Vec::new();
        let mut collected = 0;
        {
            let view = read_view(view);
            let mut remaining = view.index.records_after(&self.cursor).peekable();
            while collected < bytes.min(MAX_BLOCK_BYTES) {
                let Some((space, key, entry)) = remaining.next() else { break };
                collected += key.len() + 24;
                match blocks.last_mut().filter(|(name, _)| name == space) {
                    Some((_, entries)) => entries.push((key.to_vec(), entry)),
                    None => blocks.push((space.to_owned(), vec![(key.to_vec(), entry)])),
                }
            }
            self.is_complete = remaining.peek().is_none();
        }
        if let Some((space, entries)) = blocks.last() {
            self.cursor = entries.last().map(|(key, _)| (space.as_str().into(), Key::from_slice(key)));
        }
        for (space, entries) in &blocks {
            self.records += entries.len() as u64;
            let entries = entries.iter().map(|(key, entry)| KeyEntry { key, entry: *entry }).collect();
            let written = self.write_block(&Block::Entries { space, entries });
            written.map_err(Error::io(format!("writing {}{UNFINISHED_SUFFIX}", self.name)))?;
        }
        Ok((self.offset - before, !self.is_complete))
    }

    /// Puts the checkpoint in force; the log must have reached `end`.
    pub fn finish(mut self, end: Position) -> Result<(), Error> {
        let (unfinished, finished) =
            (format!("{}{UNFINISHED_SUFFIX}", self.name), format!("{}{FINISHED_SUFFIX}", self.name));
        let records = self.records;
        let result = self
            .write_block(&Block::End { position: end, records })
            .and_then(|()| self.file.sync())
            .and_then(|()| self.disk.rename(&unfinished, &finished))
            .and_then(|()| self.disk.sync_folder());
        result.map_err(Error::io(format!("writing {finished}")))?;
        let names = self.disk.names().map_err(Error::io("listing the files of the store"))?;
        for old in names.iter().filter(|name| name.ends_with(FINISHED_SUFFIX) && **name < finished) {
            let _ = self.disk.remove(old);
        }
        Ok(())
    }
}
