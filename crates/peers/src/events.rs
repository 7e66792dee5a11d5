//! The event log: one JSON object per line, used by test tools to check a run. A separate thread writes it,
//! so that a slow disk delays no decision. Without a path nothing is collected and no thread is started.
use crate::clock::Clock;
use crate::error::Error;
use cherrypass::time::Time;
use serde::Serialize;
use serde_json::{Map, Value};
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Receives log lines for the operator.
pub type Log = Arc<dyn Fn(&str) + Send + Sync>;

/// Maximum number of lines waiting for the disk; further ones are dropped.
const MAX_WAITING_LINES: usize = 16 << 10;

/// The event log file. After the first failed write it logs one line and discards everything else.
struct EventFile {
    file: Option<BufWriter<File>>,
    path: PathBuf,
    log: Log,
}

impl EventFile {
    fn try_io(&mut self, call: impl FnOnce(&mut BufWriter<File>) -> io::Result<()>) {
        let Some(Err(error)) = self.file.as_mut().map(call) else { return };
        // Discards the buffer, which would otherwise be written again on drop.
        if let Some(file) = self.file.take() {
            drop(file.into_parts());
        }
        let path = self.path.display();
        (self.log)(&format!(
            "fleet: event log stopped: can't write {path}: {error}; free disk space and restart"
        ));
    }
}

impl Write for EventFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.try_io(|file| file.write_all(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.try_io(|file| file.flush());
        Ok(())
    }
}

/// The event log of one process.
pub struct Events {
    writer: Option<(NonBlocking, WorkerGuard)>,
    pub me: String,
    incarnation: u64,
    clock: Clock,
    log: Log,
    reported_loss: bool,
}

impl Events {
    pub fn open(path: Option<&Path>, me: &str, clock: Clock, log: Log) -> Result<Events, Error> {
        let open = |path: &Path| -> Result<_, Error> {
            let file = OpenOptions::new().append(true).create(true).open(path);
            let file = file.map_err(|error| Error::EventLog { path: path.to_owned(), error })?;
            let file =
                EventFile { file: Some(BufWriter::new(file)), path: path.to_owned(), log: log.clone() };
            let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
            Ok(builder.thread_name("fleet-events").finish(file))
        };
        let to = path.map(open).transpose()?;
        Ok(Events {
            writer: to,
            me: me.to_owned(),
            incarnation: clock.start_unix,
            clock,
            log,
            reported_loss: false,
        })
    }

    pub fn is_on(&self) -> bool {
        self.writer.is_some()
    }

    /// Writes an event named `e`. `values` is only called if the event log is on.
    pub fn write_event<V: Serialize>(&mut self, now: Time, e: &str, values: impl FnOnce(&Clock) -> V) {
        let Some((to, _)) = &mut self.writer else { return };
        let mut line = Map::new();
        line.insert("t".into(), self.clock.unix(now).into());
        line.insert("me".into(), self.me.as_str().into());
        line.insert("inc".into(), self.incarnation.into());
        line.insert("e".into(), e.into());
        if let Ok(Value::Object(values)) = serde_json::to_value(values(&self.clock)) {
            line.extend(values);
        }
        let mut bytes = Value::Object(line).to_string().into_bytes();
        bytes.push(b'\n');
        let _ = to.write(&bytes);
        let lost = to.error_counter().dropped_lines();
        if lost > 0 && !self.reported_loss {
            self.reported_loss = true;
            (self.log)("fleet: event log is incomplete: events were dropped because the disk is too slow");
        }
    }
}
