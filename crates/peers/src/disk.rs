//! Disk fault injection for tests of whole processes; not part of release builds. Wraps a folder and reads
//! orders from a file, one per line, each active while its line is in the file:
//! `lose` (writes and syncs succeed but stay in memory and are lost when the process is killed), `error`
//! (writes and syncs fail), `full` (writes fail), `flip` (flips one bit of the next write, once) and `stall
//! MS` (delays the next sync, once).
use cherrypass_store::disk::{write_all, Disk, File, Folder};
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Environment variable with the path of the orders file.
pub const ORDERS_VARIABLE: &str = "CHERRYPASS_DISK_ORDERS";

/// The folder itself, or wrapped in a [`FaultyDisk`] if the environment names an orders file.
pub fn with_faults(folder: Folder) -> Arc<dyn Disk> {
    match std::env::var_os(ORDERS_VARIABLE) {
        Some(orders) => Arc::new(FaultyDisk::new(Arc::new(folder), orders.into())),
        None => Arc::new(folder),
    }
}

struct Orders {
    path: PathBuf,
    /// One-time orders that were already carried out.
    completed: Mutex<BTreeSet<String>>,
}

impl Orders {
    fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        let lines: Vec<String> = text.lines().map(|line| line.trim().to_owned()).collect();
        lock(&self.completed).retain(|line| lines.contains(line));
        lines
    }

    fn is_active(&self, order: &str) -> bool {
        self.lines().iter().any(|line| line == order)
    }

    fn take_once(&self, order: &str) -> Option<String> {
        let first = |line: &String| line.split(' ').next() == Some(order);
        let line = self.lines().into_iter().find(first)?;
        lock(&self.completed).insert(line.clone()).then_some(line)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A disk that injects the faults named in an orders file.
pub struct FaultyDisk {
    inner: Arc<dyn Disk>,
    orders: Arc<Orders>,
}

impl FaultyDisk {
    pub fn new(inner: Arc<dyn Disk>, orders: PathBuf) -> FaultyDisk {
        FaultyDisk { inner, orders: Arc::new(Orders { path: orders, completed: Mutex::default() }) }
    }

    fn wrap_file(&self, inner: Arc<dyn File>) -> Arc<dyn File> {
        Arc::new(FaultyFile { inner, orders: self.orders.clone(), unsynced_content: Mutex::default() })
    }
}

impl Disk for FaultyDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        self.inner.names()
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn File>> {
        Ok(self.wrap_file(self.inner.create(name)?))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn File>> {
        Ok(self.wrap_file(self.inner.open(name)?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.inner.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.inner.sync_folder()
    }
}

struct FaultyFile {
    inner: Arc<dyn File>,
    orders: Arc<Orders>,
    /// The whole file content while `lose` is active.
    unsynced_content: Mutex<Option<Vec<u8>>>,
}

impl FaultyFile {
    /// The in-memory content while `lose` is active; writes it to the disk once the order is withdrawn.
    fn content_in_memory(&self) -> io::Result<MutexGuard<'_, Option<Vec<u8>>>> {
        let mut held = lock(&self.unsynced_content);
        match (self.orders.is_active("lose"), held.is_some()) {
            (true, false) => {
                let length = self.inner.length()? as usize;
                *held = Some(cherrypass_store::disk::read_range(&*self.inner, 0, length)?);
            }
            (false, true) => {
                let bytes = held.take().unwrap_or_default();
                self.inner.truncate(bytes.len() as u64)?;
                write_all(&*self.inner, 0, &bytes)?;
            }
            _ => {}
        }
        Ok(held)
    }
}

impl File for FaultyFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        if self.orders.is_active("error") {
            return Err(io::Error::other("injected disk error"));
        }
        if self.orders.is_active("full") {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut bytes = bytes.to_vec();
        let middle = bytes.len() / 2;
        if let Some(byte) = bytes.get_mut(middle).filter(|_| self.orders.take_once("flip").is_some()) {
            *byte ^= 0x10;
        }
        match &mut *self.content_in_memory()? {
            Some(held) => {
                let (from, to) = (offset as usize, offset as usize + bytes.len());
                held.resize(held.len().max(to), 0);
                held[from..to].copy_from_slice(&bytes);
                Ok(bytes.len())
            }
            None => self.inner.write_at(offset, &bytes),
        }
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        match &*self.content_in_memory()? {
            Some(held) => {
                let left = held.get(offset as usize..).unwrap_or_default();
                let most = left.len().min(into.len());
                into[..most].copy_from_slice(&left[..most]);
                Ok(most)
            }
            None => self.inner.read_at(offset, into),
        }
    }

    fn length(&self) -> io::Result<u64> {
        match &*self.content_in_memory()? {
            Some(held) => Ok(held.len() as u64),
            None => self.inner.length(),
        }
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        match &mut *self.content_in_memory()? {
            Some(held) => {
                held.resize(length as usize, 0);
                Ok(())
            }
            None => self.inner.truncate(length),
        }
    }

    fn sync(&self) -> io::Result<()> {
        if self.orders.is_active("error") {
            return Err(io::Error::other("injected disk error"));
        }
        if let Some(ms) = self.orders.take_once("stall").and_then(|line| line.split(' ').nth(1)?.parse().ok())
        {
            std::thread::sleep(Duration::from_millis(ms));
        }
        match &*self.content_in_memory()? {
            Some(_) => Ok(()),
            None => self.inner.sync(),
        }
    }
}
