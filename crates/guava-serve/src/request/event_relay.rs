//! Passes a stream's events on, and takes the stream up elsewhere when its upstream fails.

use crate::deadline_wait::until;
use crate::events;
use crate::request::answer_body::{AnswerBody, BrokenStream};
use crate::request::answer_timeout::EVENT_GAP_MS;
use crate::request::attempt::{OpenStream, StreamSource, StreamStep};
use crate::request::event_framer::EventBatch;
use crate::request::request_run::{RequestRun, SendResult};
use crate::serve_config::RepeatRule;
use crate::upstreams::upstream_crashes::{note_answer, note_interrupted};
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use guava_log::log_event;
use guava_types::{Deadline, Moment, UpstreamId};
use http::{Response, StatusCode};
use std::pin::pin;

/// How long a silent source is kept while the stream is sent elsewhere, in milliseconds: refusals
/// come within less, and two upstreams must not be at work on one stream for longer.
const KEPT_MS: u64 = 300;

/// A stream on its way to a caller.
struct EventRelay {
    run: RequestRun,
    source: Option<StreamSource>,
    first: Option<EventBatch>,
    last_id: Option<Box<str>>,
    passed: PassedOn,
    is_over: bool,
}

/// What the caller has of a stream, for logs.
struct PassedOn {
    bytes: usize,
    last: Moment,
    upstream: UpstreamId,
}

/// The answer whose body is a stream's events.
pub fn relay(run: RequestRun, opened: OpenStream) -> Response<AnswerBody> {
    let OpenStream { status, headers, first, source } = opened;
    let last_id = run.request.resume_after.clone();
    let passed = PassedOn { bytes: 0, last: Moment::now(), upstream: source.upstream.clone() };
    let relay = EventRelay {
        run,
        source: Some(source),
        first: Some(first),
        last_id,
        passed,
        is_over: false,
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
    async fn next(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        if self.is_over {
            return None;
        }
        if let Some(first) = self.first.take() {
            // A stream without any event ends with its first, empty batch.
            if !first.bytes.is_empty() {
                return Some(Ok(self.pass(first)));
            }
        }
        loop {
            match self.step().await {
                StreamStep::Events(batch) => return Some(Ok(self.pass(batch))),
                StreamStep::End => {
                    self.finish();
                    return None;
                }
                StreamStep::Broken(reason) => {
                    self.source = None;
                    match self.take_up(&reason).await {
                        Ok(Some(batch)) => return Some(Ok(self.pass(batch))),
                        Ok(None) => {}
                        Err(broken) => return Some(Err(self.break_off(broken))),
                    }
                }
            }
        }
    }

    fn pass(&mut self, batch: EventBatch) -> Bytes {
        self.passed.bytes += batch.bytes.len();
        self.passed.last = Moment::now();
        if batch.last_id.is_some() {
            self.last_id = batch.last_id;
        }
        batch.bytes
    }

    /// The next step of the source, within the request's time. After a long pause the source is
    /// given up if another upstream can go on; if none can, its silence is no reason to end the
    /// answer.
    async fn step(&mut self) -> StreamStep {
        let deadline = self.run.request.deadline;
        let is_resumable = self.run.request.route.repeat == RepeatRule::ResumableStream;
        loop {
            let Some(source) = &mut self.source else {
                return StreamStep::Broken("no source".into());
            };
            let limit = if is_resumable {
                deadline.earlier(Deadline::in_millis(EVENT_GAP_MS))
            } else {
                deadline
            };
            match until(limit, source.next()).await {
                Some(StreamStep::Broken(reason)) => {
                    note_interrupted(
                        &self.run.context,
                        &source.upstream,
                        self.run.request.digest(),
                    );
                    return StreamStep::Broken(reason);
                }
                Some(step) => return step,
                None if deadline.passed(Moment::now()) => {
                    return StreamStep::Broken("no event in time".into());
                }
                None if self.run.can_move() => match self.take_up("no event for long").await {
                    Ok(Some(batch)) => return StreamStep::Events(batch),
                    Ok(None) => {}
                    Err(broken) => return StreamStep::Broken(broken.reason),
                },
                None => {}
            }
        }
    }

    /// Goes on at another upstream after the last event that the caller got. A silent source is kept
    /// meanwhile: where no other takes the stream, it goes on itself.
    async fn take_up(&mut self, reason: &str) -> Result<Option<EventBatch>, BrokenStream> {
        let broken = |reason: &str| BrokenStream { reason: reason.into() };
        self.run.context.work.borrow_mut().note_failed_answer(&self.passed.upstream, Moment::now());
        if self.run.request.route.repeat != RepeatRule::ResumableStream {
            return Err(broken(reason));
        }
        let last_id = self.last_id.clone();
        let opened = match self.send_on(last_id.as_deref()).await {
            SendResult::Stream(opened) if opened.status == StatusCode::OK => opened,
            _ if self.source.is_some() => return Ok(None),
            SendResult::Stream(_) => return Err(broken("the stream can't be taken up")),
            SendResult::Whole(_) | SendResult::GivenUp { .. } => return Err(broken(reason)),
        };
        log_event!(
            info,
            events::RESUMED,
            request = self.run.request.id,
            upstream = opened.source.upstream,
            after = last_id.as_deref().unwrap_or("the beginning"),
            reason = reason
        );
        self.passed.upstream = opened.source.upstream.clone();
        self.source = Some(opened.source);
        Ok(Some(opened.first).filter(|first| !first.bytes.is_empty()))
    }

    /// Sends the rest of the stream elsewhere; a silent source is let go once that takes long.
    async fn send_on(&mut self, last_id: Option<&str>) -> SendResult {
        let mut sending = pin!(self.run.send(last_id));
        if let Some(result) = until(Deadline::in_millis(KEPT_MS), &mut sending).await {
            return result;
        }
        self.source = None;
        sending.await
    }

    fn finish(&mut self) {
        self.is_over = true;
        note_answer(&self.run.context, || self.run.request.digest());
        let elapsed = Moment::now().millis_since(self.run.request.arrived);
        self.run.context.metrics.time_whole(elapsed);
        self.run.context.metrics.count_request("answered");
        log_event!(
            info,
            events::ANSWERED,
            request = self.run.request.id,
            status = 200,
            first_ms = self.run.first_ms.unwrap_or(elapsed),
            elapsed_ms = elapsed,
            runs = self.run.record.runs
        );
        if let Some(source) = self.source.take() {
            source.finish(&self.run.context);
        }
    }

    fn break_off(&mut self, broken: BrokenStream) -> BrokenStream {
        self.is_over = true;
        self.source = None;
        self.run.context.metrics.count_request("broken");
        let now = Moment::now();
        log_event!(
            warn,
            events::STREAM_BROKEN,
            request = self.run.request.id,
            digest = self.run.request.digest(),
            upstream = self.passed.upstream,
            after = self.last_id.as_deref().unwrap_or("the beginning"),
            bytes = self.passed.bytes,
            silent_ms = now.millis_since(self.passed.last),
            left_ms = self.run.request.deadline.millis_left(now),
            runs = self.run.record.runs,
            elapsed_ms = now.millis_since(self.run.request.arrived),
            reason = broken.reason
        );
        broken
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.is_over {
            self.run.context.metrics.count_request("caller-left");
            log_event!(
                info,
                events::CALLER_LEFT,
                request = self.run.request.id,
                upstream = self.passed.upstream,
                bytes = self.passed.bytes,
                elapsed_ms = Moment::now().millis_since(self.run.request.arrived)
            );
        }
    }
}
