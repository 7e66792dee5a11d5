//! Access to the files of a store, which are kept in one flat folder. `Folder` uses the file system,
//! `simulated::Disk` is a simulation that can crash.
use crate::error::Error;
use std::fs::{self, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// An open file.
pub trait File: Send + Sync {
    /// Writes at an offset; may write fewer bytes than given.
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize>;
    /// Reads at an offset; returns 0 at the end of the file.
    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize>;
    fn length(&self) -> io::Result<u64>;
    /// Sets the length of the file.
    fn truncate(&self, length: u64) -> io::Result<()>;
    /// Makes earlier writes survive a crash of the machine. After an error the file's unsynced data must not
    /// be trusted, even if a later call succeeds.
    fn sync(&self) -> io::Result<()>;
}

/// The folder that holds the files of a store.
pub trait Disk: Send + Sync {
    /// The names of all files in the folder.
    fn names(&self) -> io::Result<Vec<String>>;
    /// Creates an empty file; fails if the name exists.
    fn create(&self, name: &str) -> io::Result<Arc<dyn File>>;
    fn open(&self, name: &str) -> io::Result<Arc<dyn File>>;
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes earlier creations, renames and removals survive a crash of the machine.
    fn sync_folder(&self) -> io::Result<()>;
}

/// Writes all bytes at an offset, retrying short and interrupted writes.
pub fn write_all(file: &dyn File, mut offset: u64, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write_at(offset, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => {
                bytes = &bytes[written..];
                offset += written as u64;
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads up to `max_bytes` from an offset; fewer at the end of the file.
pub fn read_range(file: &dyn File, offset: u64, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; max_bytes];
    let mut filled = 0;
    while filled < max_bytes {
        match file.read_at(offset + filled as u64, &mut bytes[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    bytes.truncate(filled);
    Ok(bytes)
}

/// A folder of the file system, locked until this is dropped.
pub struct Folder {
    path: PathBuf,
    directory: fs::File,
    _lock: Option<fs::File>,
}

const LOCK_FILE: &str = "lock";

impl Folder {
    /// Creates the folder if it is missing and locks it exclusively, so that two processes cannot append to
    /// one log.
    pub fn lock(path: &Path) -> Result<Folder, Error> {
        let context = |what: &str| Error::io(format!("{what} {}", path.display()));
        if !path.is_dir() {
            fs::create_dir_all(path).map_err(context("creating directory"))?;
            let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
            let parent = fs::File::open(parent.unwrap_or(Path::new(".")));
            parent
                .and_then(|parent| parent.sync_all())
                .map_err(context("syncing the parent of directory"))?;
        }
        let mut options = OpenOptions::new();
        let lock = options.create(true).truncate(false).write(true).open(path.join(LOCK_FILE));
        let lock = lock.map_err(context("locking directory"))?;
        match lock.try_lock() {
            Ok(()) => Folder::with_lock(path, Some(lock)),
            Err(TryLockError::WouldBlock) => Err(Error::Locked(path.display().to_string())),
            Err(TryLockError::Error(error)) => Err(context("locking directory")(error)),
        }
    }

    /// Opens an existing store for reading with a shared lock; creates and writes nothing.
    pub fn open_read_only(path: &Path) -> Result<Folder, Error> {
        let context = |what: &str| Error::io(format!("{what} {}", path.display()));
        let lock =
            fs::File::open(path.join(LOCK_FILE)).map_err(context("opening the lock file in directory"))?;
        match lock.try_lock_shared() {
            Ok(()) => Folder::with_lock(path, Some(lock)),
            Err(TryLockError::WouldBlock) => Err(Error::Locked(path.display().to_string())),
            Err(TryLockError::Error(error)) => Err(context("locking directory")(error)),
        }
    }

    fn with_lock(path: &Path, lock: Option<fs::File>) -> Result<Folder, Error> {
        let directory =
            fs::File::open(path).map_err(Error::io(format!("opening directory {}", path.display())))?;
        Ok(Folder { path: path.to_owned(), directory, _lock: lock })
    }
}

impl Disk for Folder {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn File>> {
        let file = OpenOptions::new().read(true).write(true).create_new(true).open(self.path.join(name))?;
        Ok(Arc::new(file))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn File>> {
        let path = self.path.join(name);
        let file = OpenOptions::new().read(true).write(true).open(&path);
        Ok(Arc::new(file.or_else(|_| fs::File::open(&path))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.directory.sync_all()
    }
}

impl File for fs::File {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        FileExt::write_at(self, bytes, offset)
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        FileExt::read_at(self, into, offset)
    }

    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
