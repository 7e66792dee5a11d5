//! The commands `cherrypass store …` for a store's folder. Keys and values are read and printed as raw bytes.
use crate::clock;
use crate::console;
use crate::durable_state::options;
use cherrypass_store::disk::{Disk, Folder};
use cherrypass_store::engine::{Batch, Options};
use cherrypass_store::error::{Damage, Error};
use cherrypass_store::store::{Store, DEFAULT_WORK_BUDGET};
use cherrypass_store::{export, repair};
use clap::{Args, Subcommand};
use crossbeam_channel::bounded;
use std::io::{self, BufRead, Write};
use std::ops::Bound;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Subcommands of `cherrypass store`.
#[derive(Subcommand)]
pub enum Command {
    /// Write one value, or many with --lines; each is durable before it is confirmed
    Put(Put),
    /// Print the value of a key
    Get { dir: PathBuf, space: String, key: String },
    /// Print a space's keys and values in order
    List { dir: PathBuf, space: String },
    /// Print a store's statistics
    Stats {
        dir: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Verify the checksums of all live data
    Verify {
        dir: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Rewrite the live records and drop the rest
    Compact { dir: PathBuf },
    /// Write all live records to a new file
    Export { dir: PathBuf, file: PathBuf },
    /// Write the records of an export; values of existing keys are replaced
    Import { dir: PathBuf, file: PathBuf },
    /// Write the undamaged part of a store to a new folder; the old one stays unchanged
    Repair { dir: PathBuf, into: PathBuf },
}

/// Arguments of `cherrypass store put`.
#[derive(Args)]
pub struct Put {
    dir: PathBuf,
    /// Space, key and value
    #[arg(num_args = 3, value_names = ["SPACE", "KEY", "VALUE"], required_unless_present = "lines")]
    space_key_value: Vec<String>,
    /// Read SPACE<TAB>KEY<TAB>VALUE lines, and print each line's number once it is durable
    #[arg(long, conflicts_with = "space_key_value")]
    lines: bool,
    /// Size in kilobytes at which a new segment is started
    #[arg(long, default_value_t = 8192, value_parser = clap::value_parser!(u64).range(4..=1_048_576))]
    segment_kb: u64,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Store(#[from] Error),
    #[error("line {0}: {1}")]
    InvalidLine(u64, String),
    #[error("{0}: {1}")]
    File(String, io::Error),
    #[error("no such key")]
    NoSuchKey,
    /// The output can't be written.
    #[error("output: {0}")]
    Output(#[from] io::Error),
    #[error("{0} damaged places were skipped; all other records are in {1}")]
    PartlyRepaired(usize, String),
}

impl Failure {
    /// Exit code: 2 for bad input, 3 for damage, 4 for a missing key, 1 for anything else.
    fn exit_code(&self) -> u8 {
        match self {
            Failure::InvalidLine(..) | Failure::Store(Error::TooLarge { .. }) => 2,
            Failure::Store(Error::Damaged(_)) | Failure::PartlyRepaired(..) => 3,
            Failure::NoSuchKey => 4,
            _ => 1,
        }
    }
}

/// Maximum number of lines that wait for confirmation.
const MAX_IN_FLIGHT: usize = 4096;

pub fn run(command: Command) -> ExitCode {
    match execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            console::print_error(format_args!("cherrypass store: {failure}"));
            ExitCode::from(failure.exit_code())
        }
    }
}

fn open(dir: &Path, segment_kb: u64) -> Result<Store, Error> {
    Store::open(dir, options(segment_kb), Arc::new(clock::unix_now), Some(DEFAULT_WORK_BUDGET))
}

fn open_read_only(dir: &Path) -> Result<Store, Error> {
    Store::open(dir, Options { read_only: true, ..Options::default() }, Arc::new(clock::unix_now), None)
}

fn execute(command: Command) -> Result<(), Failure> {
    let mut stdout = io::stdout().lock();
    match command {
        Command::Put(put) => {
            let store = open(&put.dir, put.segment_kb)?;
            let done = match &put.space_key_value[..] {
                [space, key, value] => store.write(Batch::new().put(space, &key[..], &value[..])).map(drop),
                _ => {
                    drop(stdout);
                    put_lines(&store)?;
                    Ok(())
                }
            };
            done?;
            store.close()?;
        }
        Command::Get { dir, space, key } => {
            let value = open_read_only(&dir)?.get(&space, key.as_bytes())?.ok_or(Failure::NoSuchKey)?;
            stdout.write_all(&value)?;
            stdout.write_all(b"\n")?;
        }
        Command::List { dir, space } => {
            let store = open_read_only(&dir)?;
            let mut from: Option<Vec<u8>> = None;
            loop {
                let bound = from.as_deref().map_or(Bound::Unbounded, Bound::Excluded);
                let page = store.scan(&space, bound, 1000)?;
                for (key, value) in &page {
                    stdout.write_all(&[key, &b"\t"[..], value, b"\n"].concat())?;
                }
                match page.into_iter().last() {
                    Some((key, _)) => from = Some(key),
                    None => break,
                }
            }
        }
        Command::Stats { dir, json } => {
            let stats = open_read_only(&dir)?.stats();
            if json {
                writeln!(stdout, "{}", serde_json::to_string(&stats).map_err(io::Error::from)?)?;
            } else {
                writeln!(
                    stdout,
                    "{} records in {} spaces; {} kB of log in {} segments, {} kB of them live; next batch {}",
                    stats.records,
                    stats.spaces.len(),
                    stats.log_bytes / 1024,
                    stats.segments,
                    stats.live_bytes / 1024,
                    stats.next_batch
                )?;
                for (space, records) in &stats.spaces {
                    writeln!(stdout, "  {space}: {records}")?;
                }
                stats.notes.iter().try_for_each(|note| writeln!(stdout, "  note: {note}"))?;
            }
        }
        Command::Verify { dir, json } => {
            let report = open_read_only(&dir).and_then(|store| store.verify());
            if json {
                let value = match &report {
                    Ok(checked) => serde_json::json!({"whole": true, "checked": checked}),
                    Err(Error::Damaged(Damage { file, offset, description: what })) => {
                        serde_json::json!({"whole": false, "file": file, "offset": offset, "what": what})
                    }
                    Err(error) => serde_json::json!({"whole": null, "error": error.to_string()}),
                };
                writeln!(stdout, "{value}")?;
            }
            let checked = report?;
            if !json {
                let (batches, records) = (checked.batches, checked.records);
                writeln!(
                    stdout,
                    "undamaged: {} kB, {batches} batches, {records} records",
                    checked.bytes / 1024
                )?;
            }
        }
        Command::Compact { dir } => {
            let store = open(&dir, 8192)?;
            let before = store.stats().log_bytes;
            store.compact()?;
            store.checkpoint()?;
            writeln!(stdout, "{} kB, {} kB before", store.stats().log_bytes / 1024, before / 1024)?;
            store.close()?;
        }
        Command::Export { dir, file } => {
            let name = file.display().to_string();
            let failed = |error| Failure::File(name.clone(), error);
            let snapshot = open_read_only(&dir)?.snapshot();
            let to = std::fs::File::create_new(&file).map_err(failed)?;
            let mut to = io::BufWriter::new(to);
            let records = snapshot.export(&mut to)?;
            to.into_inner().map_err(|error| failed(error.into_error()))?.sync_all().map_err(failed)?;
            writeln!(stdout, "{records} records")?;
        }
        Command::Import { dir, file } => {
            let name = file.display().to_string();
            let bytes = std::fs::read(&file).map_err(|error| Failure::File(name.clone(), error))?;
            let batches = export::import(&name, &bytes)?;
            let records = export::count_puts(&batches);
            let store = open(&dir, 8192)?;
            batches.into_iter().try_for_each(|batch| store.write(batch).map(drop))?;
            store.close()?;
            writeln!(stdout, "{records} records")?;
        }
        Command::Repair { dir, into } => {
            let old = Folder::open_read_only(&dir)?;
            if into.exists() {
                let exists = io::ErrorKind::AlreadyExists.into();
                return Err(Failure::File(into.display().to_string(), exists));
            }
            let new = open(&into, 8192)?;
            let salvaged = repair::salvage(&old as &dyn Disk, |batch| new.write(batch).map(drop))?;
            new.close()?;
            salvaged.lost.iter().try_for_each(|damage| writeln!(stdout, "lost: {damage}"))?;
            writeln!(stdout, "{} batches with {} records recovered", salvaged.batches, salvaged.records)?;
            if !salvaged.lost.is_empty() {
                return Err(Failure::PartlyRepaired(salvaged.lost.len(), into.display().to_string()));
            }
        }
    }
    Ok(())
}

/// Writes lines as they arrive, many concurrently, and prints the number of each once it is durable.
fn put_lines(store: &Store) -> Result<(), Failure> {
    let (sender, results) = bounded::<(u64, Result<_, Error>)>(MAX_IN_FLIGHT);
    std::thread::scope(|scope| {
        let printer = scope.spawn(move || {
            let mut stdout = io::stdout().lock();
            for (number, result) in results {
                result?;
                writeln!(stdout, "{number}")?;
                stdout.flush()?;
            }
            Ok::<(), Failure>(())
        });
        let read = io::stdin().lock().split(b'\n').zip(1..).try_for_each(|(line, number)| {
            let line = line.map_err(|error| Failure::InvalidLine(number, error.to_string()))?;
            let batch = parse_line(&line).and_then(|batch| {
                batch.check().map_err(|error| error.to_string())?;
                Ok(batch)
            });
            let batch = batch.map_err(|what| Failure::InvalidLine(number, what))?;
            let sender = sender.clone();
            // Blocks the store's writer, and thereby this loop, while the printer is behind.
            store.submit(batch, Box::new(move |result| sender.send((number, result)).unwrap_or_default()));
            Ok::<(), Failure>(())
        });
        drop(sender);
        let printed = printer.join().unwrap_or(Ok(()));
        printed.and(read)
    })
}

fn parse_line(line: &[u8]) -> Result<Batch, String> {
    let mut parts = line.splitn(3, |byte| *byte == b'\t');
    let (Some(space), Some(key), Some(value)) = (parts.next(), parts.next(), parts.next()) else {
        return Err("expected SPACE<TAB>KEY<TAB>VALUE".into());
    };
    let space = std::str::from_utf8(space).map_err(|_| "the space's name is not UTF-8".to_owned())?;
    if space.is_empty() {
        return Err("the space has no name".into());
    }
    Ok(Batch::new().put(space, key, value))
}
