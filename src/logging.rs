//! Structured logs: each event is one line of key=value pairs.

use std::fmt::Write;
use std::num::NonZeroUsize;
use std::sync::{Mutex, MutexGuard};
use std::time::SystemTime;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::{Level, LevelFilter, Record, StringBuf};

use crate::prelude::*;
use crate::settings::LogLevel;

/// Maximum number of lines that are queued for a slow reader of standard output.
const MAX_QUEUED_LINES: usize = 512;
/// Number of lines that an [`EventLog`] writes per second, apart from the first ones of each event; limits the CPU time spent
/// on logging.
pub const MAX_LINES_PER_SECOND: u32 = 40;

/// Appends ` key=value`. The value is quoted if it is empty or contains a character that would break the line format.
pub fn write_pair<W>(out: &mut W, key: &str, value: &str) -> std::fmt::Result
where
    W: Write,
{
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    match !value.is_empty() && value.chars().all(plain) {
        true => write!(out, " {key}={value}"),
        // JSON escapes keep the value on one line.
        false => write!(out, " {key}={}", serde_json::Value::from(value)),
    }
}

/// Appends the first two pairs of a line, the UTC time and the level.
pub fn write_time_and_level<W>(out: &mut W, time: SystemTime, level: &str) -> std::fmt::Result
where
    W: Write,
{
    let utc = chrono::DateTime::<chrono::Utc>::from(time);
    let utc = utc.to_rfc3339_opts(chrono::SecondsFormat::Millis, true);
    write!(out, "time={utc} level={level}")
}

/// Formats a record as one line; its payload is `event=NAME`, followed by pairs if an [`EventLog`] wrote it.
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
            write_time_and_level(out, record.time(), record.level().as_str())?;
            match record.payload().split_once('=') {
                // An `EventLog` has already written its pairs into the payload.
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

/// Sends logs to standard error.
///
/// # Errors
///
/// A message that says which part of the logger could not be set up.
pub fn init_stderr(level: LogLevel) -> Result<(), String> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(PairFormatter)
        .build()
        .map_err(|e| e.to_string())?;
    set_logger(Arc::new(sink), level)
}

fn set_logger(sink: Arc<dyn Sink>, level: LogLevel) -> Result<(), String> {
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

/// Logger for dropshot that discards its lines, because this crate logs its own events.
pub fn dropshot_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Sends logs to standard output from a separate thread. Lines that exceed its queue are dropped, so that a blocked
/// reader of the output does not delay requests.
///
/// # Errors
///
/// A message that says which part of the logger could not be set up.
pub fn init_stdout(level: LogLevel) -> Result<(), String> {
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(PairFormatter)
        .build()
        .map_err(|e| e.to_string())?;
    let pool = spdlog::ThreadPool::builder()
        .capacity(NonZeroUsize::new(MAX_QUEUED_LINES).unwrap_or(NonZeroUsize::MIN))
        .build()
        .map_err(|e| e.to_string())?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(sink))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()
        .map_err(|e| e.to_string())?;
    set_logger(Arc::new(sink), level)
}

/// Event log with a limited rate. Lines above the limit are dropped, and the next line reports their number.
#[derive(Default)]
pub struct EventLog {
    rate: Mutex<LineRate>,
}

/// Limit on the rate of log lines: a number of lines a second, and beyond that the first line of each event in it, so that a
/// flood of one event does not hide the others. No I/O.
#[derive(Debug, Default)]
pub struct LineRate {
    /// Second to which `lines` and `events` belong, in Unix time.
    second: u64,
    /// Lines written in this second.
    lines: u32,
    /// Events that were written in this second.
    events: HashSet<SmolStr>,
    /// Dropped lines that have not been reported yet.
    unreported: u64,
    /// Dropped lines since the start.
    dropped: u64,
}

impl LineRate {
    /// Decides on a line about an event. Returns `None` if it has to be dropped, otherwise the number of dropped lines that
    /// it has to report.
    pub fn admit(&mut self, event: &str, second: u64) -> Option<u64> {
        if self.second != second {
            self.second = second;
            self.lines = 0;
            self.events.clear();
        }
        let first = !self.events.contains(event);
        if !first && self.lines >= MAX_LINES_PER_SECOND {
            self.unreported += 1;
            self.dropped += 1;
            return None;
        }
        if first {
            self.events.insert(event.into());
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.unreported))
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl EventLog {
    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.rate().dropped()
    }

    fn rate(&self) -> MutexGuard<'_, LineRate> {
        self.rate.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn admit(&self, event: &str) -> Option<u64> {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        self.rate().admit(event, now.unwrap_or_default().as_secs())
    }

    /// Writes an event with its pairs, unless the rate is exceeded.
    pub fn event(&self, name: &str, pairs: &[(&str, &str)]) {
        let Some(dropped) = self.admit(name) else {
            return;
        };
        let mut line = format!("event={name}");
        for (key, value) in pairs {
            // Writing to a `String` cannot fail.
            let _ = write_pair(&mut line, key, value);
        }
        if dropped > 0 {
            let _ = write_pair(&mut line, "dropped", &dropped.to_string());
        }
        spdlog::info!("{line}");
    }
}
