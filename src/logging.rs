//! Structured logs: one line of key=value pairs for each event.

use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::sink::{Sink, StdStreamSink};

use crate::prelude::*;

/// Sends logs to standard error, one line an event.
///
/// # Errors
///
/// A text that says which part of the logger could not be set up.
pub fn init(level: spdlog::LevelFilter) -> Result<(), String> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} {payload} {kv}{eol}"
    ));
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(formatter)
        .build()
        .map_err(|e| e.to_string())?;
    let sink: Arc<dyn Sink> = Arc::new(sink);
    let logger = spdlog::Logger::builder()
        .sink(sink)
        .level_filter(level)
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()
        .map_err(|e| e.to_string())?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Log handle for dropshot, whose own lines are dropped: this crate logs its events itself.
pub fn dropshot_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
