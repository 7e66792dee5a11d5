//! A disk that lies as it is told, over a real folder: for tests of whole processes, never in the released program.
//! The orders stand in a file, one a line, and hold for as long as they stand there:
//! `lose` (writes and syncs are acknowledged and stay in memory: at the kill they are gone), `error` (writes and
//! syncs fail), `full` (writes do), `flip` (one bit of the next write, once) and `stall MS` (the next sync, once).
use cherrypass_store::disk::{write_all, Disk, File, Folder};
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Names the file of orders.
pub const ORDERS: &str = "CHERRYPASS_DISK_ORDERS";

/// The folder as it is, or under orders where the environment names a file of them.
pub fn over(folder: Folder) -> Arc<dyn Disk> {
    match std::env::var_os(ORDERS) {
        Some(orders) => Arc::new(Lying::new(Arc::new(folder), orders.into())),
        None => Arc::new(folder),
    }
}

struct Orders {
    path: PathBuf,
    /// What is to happen once and has.
    done: Mutex<BTreeSet<String>>,
}

impl Orders {
    fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        let lines: Vec<String> = text.lines().map(|line| line.trim().to_owned()).collect();
        lock(&self.done).retain(|line| lines.contains(line));
        lines
    }

    fn holds(&self, order: &str) -> bool {
        self.lines().iter().any(|line| line == order)
    }

    fn once(&self, order: &str) -> Option<String> {
        let first = |line: &String| line.split(' ').next() == Some(order);
        let line = self.lines().into_iter().find(first)?;
        lock(&self.done).insert(line.clone()).then_some(line)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub struct Lying {
    under: Arc<dyn Disk>,
    orders: Arc<Orders>,
}

impl Lying {
    pub fn new(under: Arc<dyn Disk>, orders: PathBuf) -> Lying {
        Lying { under, orders: Arc::new(Orders { path: orders, done: Mutex::default() }) }
    }

    fn file(&self, under: Arc<dyn File>) -> Arc<dyn File> {
        Arc::new(LyingFile { under, orders: self.orders.clone(), held: Mutex::default() })
    }
}

impl Disk for Lying {
    fn names(&self) -> io::Result<Vec<String>> {
        self.under.names()
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn File>> {
        Ok(self.file(self.under.create(name)?))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn File>> {
        Ok(self.file(self.under.open(name)?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.under.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.under.remove(name)
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.under.sync_folder()
    }
}

struct LyingFile {
    under: Arc<dyn File>,
    orders: Arc<Orders>,
    /// The whole content while syncs are lost.
    held: Mutex<Option<Vec<u8>>>,
}

impl LyingFile {
    /// The content in memory where it is kept from the disk; once that is no longer ordered it goes there.
    fn held(&self) -> io::Result<MutexGuard<'_, Option<Vec<u8>>>> {
        let mut held = lock(&self.held);
        match (self.orders.holds("lose"), held.is_some()) {
            (true, false) => {
                let length = self.under.length()? as usize;
                *held = Some(cherrypass_store::disk::read_range(&*self.under, 0, length)?);
            }
            (false, true) => {
                let bytes = held.take().unwrap_or_default();
                self.under.cut(bytes.len() as u64)?;
                write_all(&*self.under, 0, &bytes)?;
            }
            _ => {}
        }
        Ok(held)
    }
}

impl File for LyingFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        if self.orders.holds("error") {
            return Err(io::Error::other("ordered to fail"));
        }
        if self.orders.holds("full") {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut bytes = bytes.to_vec();
        let middle = bytes.len() / 2;
        if let Some(byte) = bytes.get_mut(middle).filter(|_| self.orders.once("flip").is_some()) {
            *byte ^= 0x10;
        }
        match &mut *self.held()? {
            Some(held) => {
                let (from, to) = (offset as usize, offset as usize + bytes.len());
                held.resize(held.len().max(to), 0);
                held[from..to].copy_from_slice(&bytes);
                Ok(bytes.len())
            }
            None => self.under.write_at(offset, &bytes),
        }
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        match &*self.held()? {
            Some(held) => {
                let left = held.get(offset as usize..).unwrap_or_default();
                let most = left.len().min(into.len());
                into[..most].copy_from_slice(&left[..most]);
                Ok(most)
            }
            None => self.under.read_at(offset, into),
        }
    }

    fn length(&self) -> io::Result<u64> {
        match &*self.held()? {
            Some(held) => Ok(held.len() as u64),
            None => self.under.length(),
        }
    }

    fn cut(&self, length: u64) -> io::Result<()> {
        match &mut *self.held()? {
            Some(held) => {
                held.resize(length as usize, 0);
                Ok(())
            }
            None => self.under.cut(length),
        }
    }

    fn sync(&self) -> io::Result<()> {
        if self.orders.holds("error") {
            return Err(io::Error::other("ordered to fail"));
        }
        if let Some(ms) = self.orders.once("stall").and_then(|line| line.split(' ').nth(1)?.parse().ok()) {
            std::thread::sleep(Duration::from_millis(ms));
        }
        match &*self.held()? {
            Some(_) => Ok(()),
            None => self.under.sync(),
        }
    }
}
