//! Sets logging up for a process.

use crate::line_buffer::{LineBuffer, LineCounts};
use snafu::{ResultExt, Snafu};
use spdlog::{Level, LevelFilter, Logger};
use std::sync::Arc;
use std::time::Duration;

/// Lines wait at most so long before they are written, in milliseconds. Each writing wakes a
/// thread, and five a second cost nothing measurable.
const WRITE_EVERY_MS: u64 = 200;

/// Why logging can't be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The logger.
    #[snafu(display("cannot set up the logger: {source}"))]
    Logger {
        /// Why.
        source: spdlog::Error,
    },
    /// The thread that writes.
    #[snafu(display("cannot start the thread that writes log lines: {source}"))]
    Writer {
        /// Why.
        source: std::io::Error,
    },
}

/// The running log; writes the last lines when asked to.
pub struct LogHandle {
    buffer: Arc<LineBuffer>,
}

impl LogHandle {
    /// What was written and dropped so far.
    pub fn counts(&self) -> LineCounts {
        self.buffer.counts()
    }

    /// Writes out what waits; for the end of a process.
    pub fn finish(&self) {
        // Nobody is left to be told if standard output is gone.
        drop(self.buffer.write_out(&mut std::io::stdout().lock()));
    }
}

fn level_named(name: &str) -> Level {
    match name {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    }
}

/// Logs to standard output from now on, at a level and so many lines a second.
pub fn set_up_logging(level: &str, lines_per_second: u32) -> Result<LogHandle, LogError> {
    let buffer = Arc::new(LineBuffer::new(lines_per_second));
    let sink: Arc<dyn spdlog::sink::Sink> = buffer.clone();
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level_named(level)))
        .build_arc()
        .context(LoggerSnafu)?;
    spdlog::set_default_logger(logger);
    let written = Arc::clone(&buffer);
    let writer = move || {
        loop {
            std::thread::sleep(Duration::from_millis(WRITE_EVERY_MS));
            if written.write_out(&mut std::io::stdout().lock()).is_err() {
                // The reader is gone; lines are dropped once the buffer is full.
                return;
            }
        }
    };
    std::thread::Builder::new().name("log".into()).spawn(writer).context(WriterSnafu)?;
    Ok(LogHandle { buffer })
}
