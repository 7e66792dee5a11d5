//! `cherrypass store …`: a store's folder from the command line. Keys and values go in and out as they are.
use crate::clock;
use crate::keeping::options;
use cherrypass_store::disk::{Disk, Folder};
use cherrypass_store::engine::{Batch, Options};
use cherrypass_store::error::{Damage, Error};
use cherrypass_store::store::{Store, BUDGET};
use cherrypass_store::{export, repair};
use clap::{Args, Subcommand};
use crossbeam_channel::bounded;
use std::io::{self, BufRead, Write};
use std::ops::Bound;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

#[derive(Subcommand)]
pub enum Command {
    /// Write one value, or with --lines many; each is durable before it is told
    Put(Put),
    /// Print the value of a key
    Get { dir: PathBuf, space: String, key: String },
    /// Print a space's keys and values in order
    List { dir: PathBuf, space: String },
    /// Say what a store holds
    Stats {
        dir: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Check every byte that counts
    Verify {
        dir: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Write what counts anew and drop the rest
    Compact { dir: PathBuf },
    /// Write all that counts into one new file
    Export { dir: PathBuf, file: PathBuf },
    /// Take an export's records in; what has the same key is replaced
    Import { dir: PathBuf, file: PathBuf },
    /// Write what is whole of a damaged store into a new folder; the old one stays as it is
    Repair { dir: PathBuf, into: PathBuf },
}

#[derive(Args)]
pub struct Put {
    dir: PathBuf,
    /// Space, key and value
    #[arg(num_args = 3, value_names = ["SPACE", "KEY", "VALUE"], required_unless_present = "lines")]
    what: Vec<String>,
    /// Read SPACE<TAB>KEY<TAB>VALUE lines, and print each line's number once it is durable
    #[arg(long, conflicts_with = "what")]
    lines: bool,
    /// Kilobytes after which a segment is followed by a new one
    #[arg(long, default_value_t = 8192, value_parser = clap::value_parser!(u64).range(4..=1_048_576))]
    segment_kb: u64,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Store(#[from] Error),
    #[error("line {0}: {1}")]
    Line(u64, String),
    #[error("{0}: {1}")]
    File(String, io::Error),
    #[error("no such key")]
    Missing,
    /// Nobody reads what is printed.
    #[error("output: {0}")]
    Output(#[from] io::Error),
    #[error("{0} places can't be read; all else is in {1}")]
    Partly(usize, String),
}

impl Failure {
    /// 2: bad input; 3: damage; 4: no such key; 1: all else.
    fn code(&self) -> u8 {
        match self {
            Failure::Line(..) | Failure::Store(Error::TooLarge { .. }) => 2,
            Failure::Store(Error::Damaged(_)) | Failure::Partly(..) => 3,
            Failure::Missing => 4,
            _ => 1,
        }
    }
}

/// In-flight lines at most.
const AHEAD: usize = 4096;

pub fn run(command: Command) -> ExitCode {
    match carry_out(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("cherrypass store: {failure}");
            ExitCode::from(failure.code())
        }
    }
}

fn open(dir: &Path, segment_kb: u64) -> Result<Store, Error> {
    Store::open(dir, options(segment_kb), Arc::new(clock::unix), Some(BUDGET))
}

fn look(dir: &Path) -> Result<Store, Error> {
    Store::open(dir, Options { read_only: true, ..Options::default() }, Arc::new(clock::unix), None)
}

fn carry_out(command: Command) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    match command {
        Command::Put(put) => {
            let store = open(&put.dir, put.segment_kb)?;
            let done = match &put.what[..] {
                [space, key, value] => store.write(Batch::new().put(space, &key[..], &value[..])).map(drop),
                _ => {
                    drop(out);
                    lines(&store)?;
                    Ok(())
                }
            };
            done?;
            store.close()?;
        }
        Command::Get { dir, space, key } => {
            let value = look(&dir)?.get(&space, key.as_bytes())?.ok_or(Failure::Missing)?;
            out.write_all(&value)?;
            out.write_all(b"\n")?;
        }
        Command::List { dir, space } => {
            let store = look(&dir)?;
            let mut from: Option<Vec<u8>> = None;
            loop {
                let bound = from.as_deref().map_or(Bound::Unbounded, Bound::Excluded);
                let part = store.scan(&space, bound, 1000)?;
                for (key, value) in &part {
                    out.write_all(&[key, &b"\t"[..], value, b"\n"].concat())?;
                }
                match part.into_iter().last() {
                    Some((key, _)) => from = Some(key),
                    None => break,
                }
            }
        }
        Command::Stats { dir, json } => {
            let stats = look(&dir)?.stats();
            if json {
                writeln!(out, "{}", serde_json::to_string(&stats).map_err(io::Error::from)?)?;
            } else {
                writeln!(
                    out,
                    "{} records in {} spaces; {} kB of log in {} segments, {} kB of them live; next batch {}",
                    stats.records,
                    stats.spaces.len(),
                    stats.log_bytes / 1024,
                    stats.segments,
                    stats.live_bytes / 1024,
                    stats.next_batch
                )?;
                for (space, records) in &stats.spaces {
                    writeln!(out, "  {space}: {records}")?;
                }
                stats.notes.iter().try_for_each(|note| writeln!(out, "  note: {note}"))?;
            }
        }
        Command::Verify { dir, json } => {
            let found = look(&dir).and_then(|store| store.verify());
            if json {
                let value = match &found {
                    Ok(checked) => serde_json::json!({"whole": true, "checked": checked}),
                    Err(Error::Damaged(Damage { file, offset, what })) => {
                        serde_json::json!({"whole": false, "file": file, "offset": offset, "what": what})
                    }
                    Err(error) => serde_json::json!({"whole": null, "error": error.to_string()}),
                };
                writeln!(out, "{value}")?;
            }
            let checked = found?;
            if !json {
                let (batches, records) = (checked.batches, checked.records);
                writeln!(out, "whole: {} kB, {batches} batches, {records} records", checked.bytes / 1024)?;
            }
        }
        Command::Compact { dir } => {
            let store = open(&dir, 8192)?;
            let before = store.stats().log_bytes;
            store.compact()?;
            store.checkpoint()?;
            writeln!(out, "{} kB, {} kB before", store.stats().log_bytes / 1024, before / 1024)?;
            store.close()?;
        }
        Command::Export { dir, file } => {
            let name = file.display().to_string();
            let failed = |error| Failure::File(name.clone(), error);
            let snapshot = look(&dir)?.snapshot();
            let to = std::fs::File::create_new(&file).map_err(failed)?;
            let mut to = io::BufWriter::new(to);
            let records = snapshot.export(&mut to)?;
            to.into_inner().map_err(|error| failed(error.into_error()))?.sync_all().map_err(failed)?;
            writeln!(out, "{records} records")?;
        }
        Command::Import { dir, file } => {
            let name = file.display().to_string();
            let bytes = std::fs::read(&file).map_err(|error| Failure::File(name.clone(), error))?;
            let batches = export::import(&name, &bytes)?;
            let records = export::count(&batches);
            let store = open(&dir, 8192)?;
            batches.into_iter().try_for_each(|batch| store.write(batch).map(drop))?;
            store.close()?;
            writeln!(out, "{records} records")?;
        }
        Command::Repair { dir, into } => {
            let old = Folder::look(&dir)?;
            if into.exists() {
                let taken = io::ErrorKind::AlreadyExists.into();
                return Err(Failure::File(into.display().to_string(), taken));
            }
            let new = open(&into, 8192)?;
            let found = repair::salvage(&old as &dyn Disk, |batch| new.write(batch).map(drop))?;
            new.close()?;
            found.lost.iter().try_for_each(|damage| writeln!(out, "lost: {damage}"))?;
            writeln!(out, "{} batches with {} records are whole", found.batches, found.records)?;
            if !found.lost.is_empty() {
                return Err(Failure::Partly(found.lost.len(), into.display().to_string()));
            }
        }
    }
    Ok(())
}

/// Writes lines as they come, many at once; what was told is durable whatever comes after.
fn lines(store: &Store) -> Result<(), Failure> {
    let (tell, told) = bounded::<(u64, Result<_, Error>)>(AHEAD);
    std::thread::scope(|scope| {
        let printer = scope.spawn(move || {
            let mut out = io::stdout().lock();
            for (number, result) in told {
                result?;
                writeln!(out, "{number}")?;
                out.flush()?;
            }
            Ok::<(), Failure>(())
        });
        let read = io::stdin().lock().split(b'\n').zip(1..).try_for_each(|(line, number)| {
            let line = line.map_err(|error| Failure::Line(number, error.to_string()))?;
            let batch = parse(&line).and_then(|batch| {
                batch.check().map_err(|error| error.to_string())?;
                Ok(batch)
            });
            let batch = batch.map_err(|what| Failure::Line(number, what))?;
            let tell = tell.clone();
            // Its writer waits while nobody takes what is told, and so this does.
            store.submit(batch, Box::new(move |result| tell.send((number, result)).unwrap_or_default()));
            Ok::<(), Failure>(())
        });
        drop(tell);
        let printed = printer.join().unwrap_or(Ok(()));
        printed.and(read)
    })
}

fn parse(line: &[u8]) -> Result<Batch, String> {
    let mut parts = line.splitn(3, |byte| *byte == b'\t');
    let (Some(space), Some(key), Some(value)) = (parts.next(), parts.next(), parts.next()) else {
        return Err("SPACE<TAB>KEY<TAB>VALUE was expected".into());
    };
    let space = std::str::from_utf8(space).map_err(|_| "the space's name is not UTF-8".to_owned())?;
    if space.is_empty() {
        return Err("the space has no name".into());
    }
    Ok(Batch::new().put(space, key, value))
}
