//! Logging to standard error through a background thread, so that a blocked reader never blocks the
//! dispatcher; lines that don't fit the queue are dropped and counted. The text format writes only the
//! message; JSON adds codes and ids as fields.
use crate::clock;
use clap::ValueEnum;
use std::fmt;
use std::io::{self, Write};
use std::sync::{Arc, OnceLock};
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Dispatch, Event, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, Writer};
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Room for a line per host of a full list of 1,024 hosts and more.
const MAX_QUEUED_LINES: usize = 4_096;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Unix time in seconds, level, message
    #[default]
    Text,
    /// One JSON object per line, with codes and ids as fields
    Json,
}

/// Formats the wall clock time as Unix seconds with microseconds.
struct UnixSeconds;

impl FormatTime for UnixSeconds {
    fn format_time(&self, to: &mut Writer) -> fmt::Result {
        let now = clock::wall_now().0;
        write!(to, "{}.{:06}", now / 1_000_000, now % 1_000_000)
    }
}

struct TextFormat;

struct MessageVisitor<'a, 'w>(&'a mut Writer<'w>, fmt::Result);

impl Visit for MessageVisitor<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.1 = write!(self.0, "{value:?}");
        }
    }
}

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<S, N>, mut to: Writer, event: &Event) -> fmt::Result {
        UnixSeconds.format_time(&mut to)?;
        write!(to, " {} ", event.metadata().level().as_str().to_ascii_lowercase())?;
        let mut message = MessageVisitor(&mut to, Ok(()));
        event.record(&mut message);
        message.1?;
        writeln!(to)
    }
}

/// Writes lines, and reports after a line how many were dropped before it.
struct DropReporter<W> {
    writer: W,
    dropped: Arc<OnceLock<ErrorCounter>>,
    reported: usize,
}

impl<W: Write> Write for DropReporter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writer.write_all(bytes)?;
        let dropped = self.dropped.get().map_or(0, ErrorCounter::dropped_lines);
        if dropped > self.reported {
            writeln!(self.writer, "log lines dropped: {}", dropped - self.reported)?;
            self.reported = dropped;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}

/// Creates a log that writes to `place`. Dropping the guard flushes queued lines.
pub fn log_to(
    place: impl Write + Send + 'static,
    level: LevelFilter,
    format: Format,
) -> (Dispatch, WorkerGuard) {
    let dropped = Arc::new(OnceLock::new());
    let counted = DropReporter { writer: place, dropped: dropped.clone(), reported: 0 };
    let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).lossy(true);
    let (writer, guard) = builder.thread_name("log").finish(counted);
    let _ = dropped.set(writer.error_counter());
    let base = tracing_subscriber::fmt().with_max_level(level).with_writer(writer).with_ansi(false);
    let dispatch = match format {
        Format::Text => Dispatch::new(base.event_format(TextFormat).finish()),
        Format::Json => {
            let json = base.json().flatten_event(true).with_timer(UnixSeconds).with_target(false);
            Dispatch::new(json.with_current_span(false).with_span_list(false).finish())
        }
    };
    (dispatch, guard)
}

/// Installs the process's log on standard error; a second call leaves the first log in place.
pub fn start(level: LevelFilter, format: Format) -> WorkerGuard {
    let (dispatch, guard) = log_to(io::stderr(), level, format);
    let _ = tracing::dispatcher::set_global_default(dispatch);
    guard
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::{channel, Receiver, Sender};
    use std::time::{Duration, Instant};
    use test_case::test_case;

    /// Blocks the first write until released.
    struct BlockedWriter(Option<Receiver<()>>, Sender<String>);

    impl Write for BlockedWriter {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            if let Some(wait) = self.0.take() {
                let _ = wait.recv();
            }
            let _ = self.1.send(String::from_utf8_lossy(bytes).into_owned());
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    fn lines(format: Format, then: impl FnOnce()) -> Vec<String> {
        let ((release, wait), (sender, written)) = (channel(), channel());
        let (dispatch, guard) = log_to(BlockedWriter(Some(wait), sender), LevelFilter::INFO, format);
        tracing::dispatcher::with_default(&dispatch, then);
        drop(release);
        drop((dispatch, guard));
        written.iter().collect::<String>().lines().map(str::to_owned).collect()
    }

    #[test]
    fn a_blocked_log_never_blocks_the_caller_and_counts_dropped_lines() {
        let start = Instant::now();
        let found = lines(Format::Text, || {
            (0..3 * MAX_QUEUED_LINES).for_each(|number| tracing::info!("line {number}"));
            assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
        });
        let counts = found.iter().filter_map(|line| line.strip_prefix("log lines dropped: "));
        let dropped: usize = counts.map(|count| count.parse::<usize>().unwrap()).sum();
        let written = found.iter().filter(|line| line.contains(" info line ")).count();
        assert!(
            dropped > MAX_QUEUED_LINES && written >= MAX_QUEUED_LINES,
            "{dropped} dropped, {written} written"
        );
        assert_eq!(dropped + written, 3 * MAX_QUEUED_LINES);
    }

    #[test_case(Format::Text, " info host s-a closed"; "text")]
    #[test_case(Format::Json, r#""host":"s-a","line":3,"code":"mute""#; "json")]
    fn codes_and_ids_are_fields_in_json_only(format: Format, words: &str) {
        let found = lines(format, || {
            tracing::info!(host = "s-a", line = 3, code = "mute", "host s-a closed");
            tracing::debug!("below the level");
        });
        assert!(found.len() == 1 && found[0].contains(words), "{found:?}");
        assert_eq!(found[0].contains("code"), format == Format::Json);
    }
}
