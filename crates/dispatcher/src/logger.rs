//! A small logger for the log crate: lines go to standard error by a thread of their own, so that a log that
//! is not read holds up nothing. What doesn't fit into its mailbox is counted and dropped.
use crate::{clock, mailbox};
use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};
use log::{LevelFilter, Log, Metadata, Record};
use std::io::{stderr, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const MAILBOX: usize = 1024;

enum ToLog {
    Line(String),
    Flush(Sender<()>),
}

struct Logger {
    mailbox: Sender<ToLog>,
    dropped: Arc<AtomicU64>,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = clock::now().0;
        let level = record.level().as_str().to_ascii_lowercase();
        let line = format!("{}.{:06} {level} {}", now / 1_000_000, now % 1_000_000, record.args());
        if let Err(TrySendError::Full(_)) = self.mailbox.try_send(ToLog::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, wait) = bounded(1);
        if self.mailbox.send_timeout(ToLog::Flush(done), Duration::from_millis(100)).is_ok() {
            let _ = wait.recv_timeout(Duration::from_millis(100));
        }
    }
}

/// Starts the logger; a second start in one process leaves the first in place.
pub fn start(level: LevelFilter) {
    let (mailbox, lines) = bounded(MAILBOX);
    let dropped = Arc::new(AtomicU64::new(0));
    let logger = Logger { mailbox, dropped: dropped.clone() };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
        let _ = std::thread::Builder::new().name("log".into()).spawn(move || write(lines, &dropped));
    }
}

fn write(lines: Receiver<ToLog>, dropped: &AtomicU64) {
    while let Some(message) = mailbox::next(&lines) {
        match message {
            ToLog::Line(line) => {
                let _ = writeln!(stderr(), "{line}");
            }
            ToLog::Flush(done) => {
                let _ = done.send(());
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(stderr(), "log lines dropped: {lost}");
        }
    }
}
