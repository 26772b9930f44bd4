//! Structured logs: one line of key=value pairs for each event.

use std::fmt::Write;
use std::num::NonZeroUsize;
use std::sync::{Mutex, MutexGuard};
use std::time::SystemTime;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::{Level, LevelFilter, Record, StringBuf};

use crate::prelude::*;
use crate::settings::LogLevel;

/// Lines that wait for a slow reader of standard output.
const QUEUED_LINES: usize = 512;
/// Lines of an [`EventLog`] in a second; a line costs processor time like any other work.
const LINES_PER_SECOND: u32 = 40;

/// Appends ` key=value`, with the value in quotes when it would not read as one word.
pub fn write_pair<W>(out: &mut W, key: &str, value: &str) -> std::fmt::Result
where
    W: Write,
{
    let word = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    match !value.is_empty() && value.chars().all(word) {
        true => write!(out, " {key}={value}"),
        // The escapes of JSON strings keep a value on one line.
        false => write!(out, " {key}={}", serde_json::Value::from(value)),
    }
}

/// Appends the time in UTC and the level, the first pairs of each line.
pub fn write_head<W>(out: &mut W, time: SystemTime, level: &str) -> std::fmt::Result
where
    W: Write,
{
    let utc = chrono::DateTime::<chrono::Utc>::from(time);
    let utc = utc.to_rfc3339_opts(chrono::SecondsFormat::Millis, true);
    write!(out, "time={utc} level={level}")
}

/// Formats an event whose payload is `event=NAME`.
#[derive(Clone)]
struct PairFormatter;

impl Formatter for PairFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        out: &mut StringBuf,
        _ctx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let mut write = || {
            write_head(out, record.time(), record.level().as_str())?;
            match record.payload().split_once('=') {
                // The pairs of an event log are already written.
                Some(("event", rest)) if rest.contains(' ') => {
                    write!(out, " event={rest}")?;
                }
                Some((key, value)) => write_pair(out, key, value)?,
                None => write_pair(out, "event", record.payload())?,
            }
            for (key, value) in record.key_values() {
                write_pair(out, key.as_str(), &value.to_string())?;
            }
            out.write_char('\n')
        };
        write().map_err(spdlog::Error::FormatRecord)
    }
}

/// Sends logs to standard error, one line an event.
///
/// # Errors
///
/// A text that says which part of the logger could not be set up.
pub fn init(level: LogLevel) -> Result<(), String> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(PairFormatter)
        .build()
        .map_err(|e| e.to_string())?;
    let sink: Arc<dyn Sink> = Arc::new(sink);
    let logger = spdlog::Logger::builder()
        .sink(sink)
        .level_filter(filter(level))
        .flush_level_filter(LevelFilter::All)
        .build()
        .map_err(|e| e.to_string())?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
    }
}

/// Log handle for dropshot, whose own lines are dropped: this crate logs its events itself.
pub fn dropshot_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Sends logs to standard output from a thread of their own, one line an event. Lines that it cannot keep up with are
/// dropped, so that a blocked reader never slows a request.
///
/// # Errors
///
/// A text that says which part of the logger could not be set up.
pub fn init_stdout(level: LogLevel) -> Result<(), String> {
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(PairFormatter)
        .build()
        .map_err(|e| e.to_string())?;
    let pool = spdlog::ThreadPool::builder()
        .capacity(NonZeroUsize::new(QUEUED_LINES).unwrap_or(NonZeroUsize::MIN))
        .build()
        .map_err(|e| e.to_string())?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(sink))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()
        .map_err(|e| e.to_string())?;
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(level))
        .flush_level_filter(LevelFilter::All)
        .build()
        .map_err(|e| e.to_string())?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Log of events with a bounded rate: what exceeds it is counted and reported with the next line.
#[derive(Default)]
pub struct EventLog {
    state: Mutex<Rate>,
}

#[derive(Default)]
struct Rate {
    second: u64,
    lines: u32,
    /// Dropped lines that no line has reported yet.
    unreported: u64,
    /// Dropped lines since the start.
    dropped: u64,
}

impl EventLog {
    /// Lines above the rate since the start.
    pub fn dropped(&self) -> u64 {
        self.rate().dropped
    }

    fn rate(&self) -> MutexGuard<'_, Rate> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether a line may be written now, and how many were dropped before it.
    fn admit(&self) -> Option<u64> {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let second = now.unwrap_or_default().as_secs();
        let mut s = self.rate();
        if s.second != second {
            s.second = second;
            s.lines = 0;
        }
        if s.lines >= LINES_PER_SECOND {
            s.unreported += 1;
            s.dropped += 1;
            return None;
        }
        s.lines += 1;
        Some(std::mem::take(&mut s.unreported))
    }

    /// Writes an event with its pairs.
    pub fn event(&self, name: &str, pairs: &[(&str, &str)]) {
        let Some(dropped) = self.admit() else { return };
        let mut line = format!("event={name}");
        for (key, value) in pairs {
            // Writing into a string cannot fail.
            let _ = write_pair(&mut line, key, value);
        }
        if dropped > 0 {
            let _ = write_pair(&mut line, "dropped", &dropped.to_string());
        }
        spdlog::info!("{line}");
    }
}
