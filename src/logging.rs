//! Structured logs: one line of key=value pairs for each event.

use std::fmt::Write;
use std::time::SystemTime;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, StdStreamSink};
use spdlog::{Level, LevelFilter, Record, StringBuf};

use crate::prelude::*;
use crate::settings::LogLevel;

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
