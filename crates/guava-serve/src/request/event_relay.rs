//! Relays a stream's events to the caller, and resumes it at another upstream if its own fails.

use crate::deadline_wait::until;
use crate::events;
use crate::request::answer_body::{AnswerBody, InterruptedStream};
use crate::request::answer_timeout::EVENT_TIMEOUT_MS;
use crate::request::attempt::{OpenStream, StreamSource, StreamStep};
use crate::request::event_framer::EventBatch;
use crate::request::freshness_wait::is_list_stale;
use crate::request::request_run::{RequestRun, SendResult};
use crate::request::send_bar::bar_text;
use crate::serve_config::RepeatRule;
use crate::upstreams::upstream_crashes::{note_answer, note_interrupted};
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use guava_log::log_event;
use guava_types::{Deadline, Moment, SoftwareVersion, UpstreamId};
use http::{Response, StatusCode};
use std::pin::pin;

/// How long a silent source is kept while another upstream is asked to resume the stream: refusals
/// arrive sooner, and two upstreams must not work on one stream for longer. The close timer keeps to
/// it, whenever the thread that serves requests gets its next turn.
const SILENT_SOURCE_RETENTION_MS: u64 = 300;

/// Bytes of events that are relayed after the request's deadline: many times what a stream's upstream
/// sends while a daemon does not run, so that what arrived before the deadline is delivered.
const MAX_LATE_BYTES: usize = 256 << 10;

/// A stream that is being relayed to a caller.
struct EventRelay {
    run: RequestRun,
    source: Option<StreamSource>,
    first: Option<EventBatch>,
    last_id: Option<Box<str>>,
    progress: RelayProgress,
    is_finished: bool,
}

/// How much of a stream was relayed, and from which upstream, for logs.
struct RelayProgress {
    bytes: usize,
    /// Of these, bytes relayed after the request's deadline.
    late_bytes: usize,
    last_event_at: Moment,
    upstream: UpstreamId,
}

/// Creates the response whose body relays a stream's events. Attempts to resume the stream are made
/// while the body is polled.
pub fn relay_response(run: RequestRun, opened: OpenStream) -> Response<AnswerBody> {
    let OpenStream { status, headers, first, source } = opened;
    let last_id = run.request.resume_after.clone();
    let progress = RelayProgress {
        bytes: 0,
        late_bytes: 0,
        last_event_at: Moment::now(),
        upstream: source.upstream.clone(),
    };
    let relay = EventRelay {
        run,
        source: Some(source),
        first: Some(first),
        last_id,
        progress,
        is_finished: false,
    };
    let events = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next, relay))
    });
    let mut response = Response::new(AnswerBody::Relayed(events.boxed_local()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl EventRelay {
    async fn next(&mut self) -> Option<Result<Bytes, InterruptedStream>> {
        if self.is_finished {
            return None;
        }
        if let Some(first) = self.first.take() {
            // The first batch is empty if the stream has no events.
            if !first.bytes.is_empty() {
                return Some(Ok(self.note_relayed(first)));
            }
        }
        loop {
            match self.step().await {
                StreamStep::Events(batch) => return Some(Ok(self.note_relayed(batch))),
                StreamStep::End => {
                    self.finish();
                    return None;
                }
                StreamStep::Interrupted(reason) => {
                    self.source = None;
                    match self.resume(&reason).await {
                        Ok(Some(batch)) => return Some(Ok(self.note_relayed(batch))),
                        Ok(None) => {}
                        Err(interrupted) => return Some(Err(self.fail(interrupted))),
                    }
                }
            }
        }
    }

    fn note_relayed(&mut self, batch: EventBatch) -> Bytes {
        self.progress.bytes += batch.bytes.len();
        let now = Moment::now();
        self.progress.last_event_at = now;
        if self.run.request.deadline.passed(now) {
            self.progress.late_bytes += batch.bytes.len();
        }
        if batch.last_id.is_some() {
            self.last_id = batch.last_id;
        }
        batch.bytes
    }

    /// Reads from the source until the request's deadline. If no event arrives within the event
    /// timeout, the stream is resumed at another upstream; if none can take it, the source is read
    /// further, since its silence alone is no reason to end the answer.
    async fn step(&mut self) -> StreamStep {
        let deadline = self.run.request.deadline;
        let is_resumable = self.run.request.route.repeat == RepeatRule::ResumableStream;
        loop {
            let Some(source) = &mut self.source else {
                return StreamStep::Interrupted("no source".into());
            };
            if self.progress.late_bytes > MAX_LATE_BYTES {
                return StreamStep::Interrupted("the stream goes on after its deadline".into());
            }
            let limit = if is_resumable {
                deadline.earlier(Deadline::in_millis(EVENT_TIMEOUT_MS))
            } else {
                deadline
            };
            match until(limit, source.next_step()).await {
                Some(StreamStep::Interrupted(reason)) => {
                    note_interrupted(&self.run.context, &source.upstream, &self.run.request);
                    return StreamStep::Interrupted(reason);
                }
                Some(step) => return step,
                None if deadline.passed(Moment::now()) => {
                    return StreamStep::Interrupted("no event in time".into());
                }
                // The wait for a fresh list would outlast the time for which a silent source is kept.
                None if is_list_stale(&self.run.context) => {}
                None if self.run.reserve_retry() => match self.resume("source is silent").await {
                    Ok(Some(batch)) => return StreamStep::Events(batch),
                    Ok(None) => {}
                    Err(interrupted) => return StreamStep::Interrupted(interrupted.reason),
                },
                None => {}
            }
        }
    }

    /// Resumes the stream at another upstream, after the last event that was relayed. A silent
    /// source is kept meanwhile, and `None` returned, if no other upstream takes the stream.
    async fn resume(&mut self, reason: &str) -> Result<Option<EventBatch>, InterruptedStream> {
        let failure = |reason: &str| InterruptedStream { reason: reason.into() };
        self.run
            .context
            .work
            .borrow_mut()
            .note_failed_answer(&self.progress.upstream, Moment::now());
        if self.run.request.route.repeat != RepeatRule::ResumableStream {
            return Err(failure(reason));
        }
        let last_id = self.last_id.clone();
        let opened = match self.send_remainder(last_id.as_deref()).await {
            SendResult::Stream(opened) if opened.status == StatusCode::OK => opened,
            _ if self.source.is_some() => return Ok(None),
            SendResult::Stream(_) => return Err(failure("the stream can't be resumed")),
            // What a stream resumes with is not forwarded.
            SendResult::Complete(_) | SendResult::Forwarded(_) | SendResult::NoAnswer { .. } => {
                return Err(failure(reason));
            }
        };
        let software = opened.source.software.clone();
        let began_at = self.run.record.scope.software();
        self.run.context.metrics.count_resumption(match (began_at, &software) {
            (Some(first), Some(next)) if first == next => "same-version",
            (Some(_), Some(_)) => "other-version",
            _ => "unknown-version",
        });
        log_event!(
            info,
            events::RESUMED,
            request = self.run.request.id,
            upstream = opened.source.upstream,
            software = software.as_ref().map_or("unknown", SoftwareVersion::as_str),
            began_at = began_at.map_or("unknown", SoftwareVersion::as_str),
            after = last_id.as_deref().unwrap_or("the beginning"),
            reason = reason
        );
        if self.source.take().is_some() {
            self.log_given_up(Moment::now());
        }
        self.progress.upstream = opened.source.upstream.clone();
        self.source = Some(opened.source);
        Ok(Some(opened.first).filter(|first| !first.bytes.is_empty()))
    }

    /// Requests the remaining events from another upstream. A silent source is dropped if that
    /// takes longer than its retention.
    async fn send_remainder(&mut self, last_id: Option<&str>) -> SendResult {
        let Some(source) = self.source.take() else { return self.run.send(last_id).await };
        self.run.record.sent_since.set(None);
        let deadline = Deadline::in_millis(SILENT_SOURCE_RETENTION_MS);
        // Without a timer, two upstreams might work on the stream for as long as this thread gets no
        // turn.
        let Some(closing) = source.close_at(&self.run.context, deadline) else {
            drop(source);
            return self.run.send(last_id).await;
        };
        let (result, given_up) = {
            let mut sending = pin!(self.run.send(last_id));
            let in_time = until(deadline, &mut sending).await;
            match (in_time, closing.withdraw()) {
                (Some(result), None) => {
                    self.source = Some(source);
                    return result;
                }
                // What is left in a closed source is not read: its end would look like the stream's.
                (Some(result), Some(closed)) => (result, closed),
                (None, closed) => {
                    drop(source);
                    let given_up = closed.unwrap_or_else(Moment::now);
                    (sending.await, given_up)
                }
            }
        };
        self.log_given_up(given_up);
        result
    }

    /// Logs that the silent source was given up, and for how long it and another upstream both had the
    /// stream.
    fn log_given_up(&self, given_up: Moment) {
        let record = &self.run.record;
        let overlap_ms = record.sent_since.get().map_or(0, |sent| given_up.millis_since(sent));
        log_event!(
            info,
            events::SOURCE_GIVEN_UP,
            request = self.run.request.id,
            upstream = self.progress.upstream,
            sent_to = record.tried.last().map_or("none", UpstreamId::name),
            overlap_ms = overlap_ms,
            silent_ms = given_up.millis_since(self.progress.last_event_at)
        );
    }

    fn finish(&mut self) {
        self.is_finished = true;
        if self.source.as_ref().is_some_and(StreamSource::is_framed) {
            note_answer(&self.run.context, &self.run.request);
        }
        let elapsed = Moment::now().millis_since(self.run.request.arrived);
        self.run.context.metrics.time_whole(elapsed);
        self.run.context.metrics.count_request("answered");
        log_event!(
            info,
            events::ANSWERED,
            request = self.run.request.id,
            customer = self.run.request.customer(),
            status = 200,
            first_ms = self.run.first_ms.unwrap_or(elapsed),
            elapsed_ms = elapsed,
            runs = self.run.record.ledger.runs()
        );
        if let Some(source) = self.source.take() {
            source.finish(&self.run.context);
        }
    }

    fn fail(&mut self, interrupted: InterruptedStream) -> InterruptedStream {
        self.is_finished = true;
        self.source = None;
        self.run.context.metrics.count_request("broken");
        let now = Moment::now();
        log_event!(
            warn,
            events::STREAM_BROKEN,
            request = self.run.request.id,
            customer = self.run.request.customer(),
            digest = self.run.request.digest(),
            upstream = self.progress.upstream,
            after = self.last_id.as_deref().unwrap_or("the beginning"),
            bytes = self.progress.bytes,
            silent_ms = now.millis_since(self.progress.last_event_at),
            left_ms = self.run.request.deadline.millis_left(now),
            runs = self.run.record.ledger.runs(),
            barred_by = bar_text(self.run.record.ended_by),
            elapsed_ms = now.millis_since(self.run.request.arrived),
            reason = interrupted.reason
        );
        interrupted
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.is_finished {
            self.run.context.metrics.count_request("caller-left");
            log_event!(
                info,
                events::CALLER_LEFT,
                request = self.run.request.id,
                route = self.run.request.route.name,
                customer = self.run.request.customer(),
                upstream = self.progress.upstream,
                bytes = self.progress.bytes,
                elapsed_ms = Moment::now().millis_since(self.run.request.arrived)
            );
        }
    }
}
