//! A stand-in engine's runs as streams, with what goes wrong on them.

use crate::engine_faults::EngineFaults;
use crate::serve::Shared;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use guava_outside::{EngineEvent, RUN_HEADER, Usage};
use guava_types::VersionName;
use std::sync::Arc;
use tokio::sync::Notify;

/// What a run has generated so far.
#[derive(Default)]
pub(crate) struct RunBuffer {
    pub(crate) request: Box<str>,
    pub(crate) version: Box<str>,
    pub(crate) chunks: Vec<Box<str>>,
    pub(crate) usage: Option<Usage>,
    pub(crate) streams: u32,
    pub(crate) cancelled: bool,
}

/// A run, shared by its task and its streams.
pub(crate) struct Run {
    pub(crate) buffer: Shared<RunBuffer>,
    pub(crate) grown: Arc<Notify>,
}

impl Clone for Run {
    fn clone(&self) -> Self {
        Self { buffer: self.buffer.clone(), grown: Arc::clone(&self.grown) }
    }
}

fn event_line(run_id: &str, buffer: &RunBuffer, position: u64) -> Option<String> {
    let version: VersionName = buffer.version.parse().ok()?;
    let text = buffer.chunks.get(usize::try_from(position).ok()?).cloned();
    let usage = if text.is_none() { buffer.usage } else { None };
    if text.is_none() && usage.is_none() {
        return None;
    }
    let event = EngineEvent {
        request: buffer.request.clone(),
        run: run_id.into(),
        version,
        position,
        text,
        usage,
    };
    serde_json::to_string(&event).ok().map(|json| format!("data: {json}\n\n"))
}

/// Order in which a shuffled stream sends its chunks: pairs swapped, each first one twice.
fn shuffled(lines: Vec<String>) -> Vec<String> {
    lines
        .chunks(2)
        .flat_map(|pair| match pair {
            [first, second] => vec![second.clone(), first.clone(), second.clone()],
            rest => rest.to_vec(),
        })
        .collect()
}

struct StreamCursor {
    run_id: Box<str>,
    run: Run,
    next: u64,
    faults: EngineFaults,
    done: bool,
}

async fn next_lines(
    mut cursor: StreamCursor,
) -> Option<(Result<String, std::io::Error>, StreamCursor)> {
    if cursor.done {
        return None;
    }
    if cursor.faults.close_after > 0 && cursor.next >= cursor.faults.close_after {
        return None;
    }
    if cursor.faults.stall_after > 0 && cursor.next >= cursor.faults.stall_after {
        std::future::pending::<()>().await;
    }
    loop {
        let run = cursor.run.clone();
        let grown = run.grown.notified();
        let mut lines = Vec::new();
        {
            let buffer = cursor.run.buffer.lock();
            while let Some(line) = event_line(&cursor.run_id, &buffer, cursor.next) {
                lines.push(line);
                cursor.next += 1;
                if cursor.next > buffer.chunks.len() as u64 && buffer.usage.is_some() {
                    cursor.done = true;
                    break;
                }
                let fault_at = cursor.faults.stall_after.max(cursor.faults.close_after);
                if fault_at > 0 && cursor.next >= fault_at {
                    break;
                }
            }
        }
        // One line alone can't be out of order: a shuffled stream waits for the next.
        if cursor.faults.shuffle && !cursor.done && lines.len() == 1 {
            cursor.next -= 1;
            lines.clear();
        }
        if !lines.is_empty() {
            if cursor.faults.shuffle && !cursor.done {
                lines = shuffled(lines);
            }
            return Some((Ok(lines.concat()), cursor));
        }
        grown.await;
    }
}

/// Streams a run from a position; faults hold for the first stream of a run only.
pub(crate) fn stream_run(mut faults: EngineFaults, run_id: &str, run: Run, from: u64) -> Response {
    let mut buffer = run.buffer.lock();
    buffer.streams += 1;
    if buffer.streams > 1 {
        faults = EngineFaults::default();
    }
    drop(buffer);
    let cursor = StreamCursor { run_id: run_id.into(), run, next: from, faults, done: false };
    let stream = futures_util::stream::unfold(cursor, next_lines);
    let headers = [("content-type", "text/event-stream"), (RUN_HEADER, run_id)];
    (headers, Body::from_stream(stream)).into_response()
}
