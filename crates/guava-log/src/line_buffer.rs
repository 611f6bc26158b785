//! The sink: lines gather in memory, and a thread of their own writes them out.
//!
//! A reader of standard output that stops reading blocks whoever writes. Requests must not wait
//! for it, so they only ever append to a bounded buffer; what does not fit, or exceeds the budget
//! of lines, is dropped and counted, and the count is written as a line of its own.

use crate::line_budget::LineBudget;
use crate::line_clip::clip_line;
use crate::{LINES_DROPPED, LogEvent};
use spdlog::formatter::{FormatterContext, JsonFormatter};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Level, LevelFilter, Record, StringBuf};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Bytes that may wait to be written: some seconds of the budgeted lines at about 400 bytes each.
const BUFFER_BYTES: usize = 512 * 1024;

/// How many lines were written and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LineCounts {
    /// Taken into the buffer.
    pub taken: u64,
    /// Over the budget, or the buffer was full.
    pub dropped: u64,
}

struct BufferState {
    bytes: Vec<u8>,
    budget: LineBudget,
}

/// Bounded buffer of log lines.
pub struct LineBuffer {
    prop: SinkProp,
    started: Instant,
    state: Mutex<BufferState>,
    taken: AtomicU64,
    dropped: AtomicU64,
    reported: AtomicU64,
}

impl LineBuffer {
    /// A buffer that takes so many lines a second; warnings and errors are taken beyond that.
    pub fn new(lines_per_second: u32) -> Self {
        let prop = SinkProp::default();
        prop.set_formatter(JsonFormatter::new());
        let budget = LineBudget::new(lines_per_second, 0);
        Self {
            prop,
            started: Instant::now(),
            state: Mutex::new(BufferState { bytes: Vec::new(), budget }),
            taken: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            reported: AtomicU64::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was taken and dropped so far.
    pub fn counts(&self) -> LineCounts {
        LineCounts {
            taken: self.taken.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }

    /// Writes out what waits, and how many lines were dropped since the last time.
    pub fn write_out(&self, target: &mut impl Write) -> std::io::Result<()> {
        let bytes = std::mem::take(&mut self.state().bytes);
        let dropped = self.counts().dropped;
        let before = self.reported.swap(dropped, Ordering::Relaxed);
        if !bytes.is_empty() {
            target.write_all(&bytes)?;
        }
        if dropped > before {
            let count = dropped - before;
            let LogEvent { code, text } = LINES_DROPPED;
            writeln!(
                target,
                r#"{{"level":"warn","payload":"{text}","kv":{{"event":"{code}","count":{count}}}}}"#
            )?;
        }
        target.flush()
    }
}

impl GetSinkProp for LineBuffer {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for LineBuffer {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let is_urgent = LevelFilter::MoreSevereEqual(Level::Warn).test(record.level());
        let mut state = self.state();
        let is_within = state.budget.take(now_ms) || is_urgent;
        if !is_within || state.bytes.len() > BUFFER_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        drop(state);
        let mut line = StringBuf::new();
        let mut context = FormatterContext::new();
        self.prop.formatter().format(record, &mut line, &mut context)?;
        match clip_line(&line) {
            None => self.state().bytes.extend_from_slice(line.as_bytes()),
            Some(clipped) => self.state().bytes.extend_from_slice(clipped.as_bytes()),
        }
        self.taken.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}
