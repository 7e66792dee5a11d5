//! The event log: one JSON object a line, for whoever judges a run. Its writer has a thread of its own, so that a
//! slow disk holds up no decision; without a path there is neither thread nor cost.
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

pub type Log = Arc<dyn Fn(&str) + Send + Sync>;

/// Lines that may wait for the disk; more are let go.
const LINES: usize = 16 << 10;

/// Writes until that fails once: one line says so, and then it is off.
struct Lasting {
    file: Option<BufWriter<File>>,
    path: PathBuf,
    log: Log,
}

impl Lasting {
    fn with(&mut self, call: impl FnOnce(&mut BufWriter<File>) -> io::Result<()>) {
        let Some(Err(error)) = self.file.as_mut().map(call) else { return };
        // What is in its buffer is not to be tried again as it is dropped.
        if let Some(file) = self.file.take() {
            drop(file.into_parts());
        }
        let path = self.path.display();
        (self.log)(&format!(
            "fleet: events are off: {path} can't be written: {error}; make room and start anew"
        ));
    }
}

impl Write for Lasting {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.with(|file| file.write_all(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.with(|file| file.flush());
        Ok(())
    }
}

pub struct Events {
    to: Option<(NonBlocking, WorkerGuard)>,
    pub me: String,
    incarnation: u64,
    clock: Clock,
    log: Log,
    told: bool,
}

impl Events {
    pub fn open(path: Option<&Path>, me: &str, clock: Clock, log: Log) -> Result<Events, Error> {
        let open = |path: &Path| -> Result<_, Error> {
            let file = OpenOptions::new().append(true).create(true).open(path);
            let file = file.map_err(|error| Error::Events { path: path.to_owned(), error })?;
            let lasting =
                Lasting { file: Some(BufWriter::new(file)), path: path.to_owned(), log: log.clone() };
            let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES);
            Ok(builder.thread_name("fleet-events").finish(lasting))
        };
        let to = path.map(open).transpose()?;
        Ok(Events { to, me: me.to_owned(), incarnation: clock.unix, clock, log, told: false })
    }

    pub fn is_on(&self) -> bool {
        self.to.is_some()
    }

    /// `values` is only called where events are on.
    pub fn note<V: Serialize>(&mut self, now: Time, e: &str, values: impl FnOnce(&Clock) -> V) {
        let Some((to, _)) = &mut self.to else { return };
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
        if lost > 0 && !self.told {
            self.told = true;
            (self.log)("fleet: events were let go, their disk is too slow; a run can't be judged by them");
        }
    }
}
