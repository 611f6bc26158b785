//! The caller's side of a streamed answer: server-sent events with signed ids.

use crate::completion::{StartedRun, note_import};
use crate::context::DaemonContext;
use crate::crash_watch::{note_answer, note_interrupted};
use crate::events;
use crate::outcome::{CallOutcome, OUTCOME_HEADER, refusal_json};
use crate::run_feed::{FeedError, FeedStep};
use crate::stream_id::StreamPlace;
use axum::body::Body;
use axum::http::Response;
use axum::response::IntoResponse;
use bytes::Bytes;
use futures_util::stream;
use guava_log::log_event;
use guava_outside::Usage;
use guava_policy::ReplyChunk;
use guava_types::{CustomerId, ModelName, RequestDigest, UpstreamId};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Events that wait for a slow caller.
const RING_LEN: usize = 64;
/// A caller that takes nothing for so long is given up; it can resume.
const CALLER_STALL_MS: u64 = 30_000;
/// A comment is sent after so much silence, so that a caller can tell a quiet run from a
/// connection that was forgotten on the way.
const KEEPALIVE_MS: u64 = 1_000;

/// Whose answer it is.
#[derive(Clone, Debug)]
pub struct StreamOwner {
    /// The request's id.
    pub request: Box<str>,
    /// The customer.
    pub customer: CustomerId,
    /// The model.
    pub model: ModelName,
    /// What was asked for, whichever attempt; nothing where a run is only read on.
    pub digest: Option<RequestDigest>,
}

impl StreamOwner {
    /// Takes in that the answer was whole.
    pub fn note_answer(&self, context: &DaemonContext) {
        self.digest.iter().for_each(|digest| note_answer(context, *digest));
    }

    /// Takes in that the run broke off.
    pub fn note_interrupted(&self, context: &Arc<DaemonContext>, upstream: &UpstreamId) {
        self.digest.iter().for_each(|digest| note_interrupted(context, upstream, *digest));
    }
}

fn chunk_event(
    context: &DaemonContext,
    owner: &StreamOwner,
    place: &StreamPlace,
    chunk: &ReplyChunk,
) -> Bytes {
    let place = StreamPlace { position: chunk.position, ..place.clone() };
    let id = context.secret.event_id(&owner.customer, &place);
    let data = serde_json::json!({
        "id": owner.request, "object": "text_completion", "model": owner.model,
        "version": place.version,
        "choices": [{ "index": 0, "text": chunk.text, "finish_reason": null }],
    });
    format!("id: {id}\ndata: {data}\n\n").into()
}

fn end_event(owner: &StreamOwner, usage: &Usage) -> Bytes {
    let data = serde_json::json!({
        "id": owner.request, "object": "text_completion", "model": owner.model,
        "choices": [{ "index": 0, "text": "", "finish_reason": "stop" }],
        "usage": usage_json(usage),
    });
    format!("data: {data}\n\ndata: [DONE]\n\n").into()
}

/// Token counts in the form that model clients know.
pub fn usage_json(usage: &Usage) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {
            "cached_tokens": usage.cached_tokens, "imported_tokens": usage.imported_tokens,
        },
    })
}

fn error_event(outcome: &CallOutcome) -> Bytes {
    format!("event: error\ndata: {}\n\n", refusal_json(outcome)).into()
}

/// Sends to the caller; false if the caller is gone or takes nothing.
async fn pass_on(sender: &mpsc::Sender<Bytes>, bytes: Bytes) -> bool {
    let sending = timeout(Duration::from_millis(CALLER_STALL_MS), sender.send(bytes)).await;
    matches!(sending, Ok(Ok(())))
}

async fn next_step(
    run: &mut StartedRun,
    sender: &mpsc::Sender<Bytes>,
) -> Option<Result<FeedStep, FeedError>> {
    const COMMENT: Bytes = Bytes::from_static(b": waiting\n\n");
    let mut next = std::pin::pin!(run.feed.next());
    loop {
        match timeout(Duration::from_millis(KEEPALIVE_MS), &mut next).await {
            Ok(step) => return Some(step),
            Err(_) if pass_on(sender, COMMENT).await => {}
            Err(_) => return None,
        }
    }
}

/// Passes a run on until it ends or the caller goes. A caller that goes leaves the run to the
/// engine: it may read on at another daemon.
async fn pump(
    context: Arc<DaemonContext>,
    owner: StreamOwner,
    mut run: StartedRun,
    sender: mpsc::Sender<Bytes>,
) {
    let place = StreamPlace {
        upstream: run.upstream.clone(),
        run: run.feed.run().unwrap_or("").into(),
        model: owner.model.clone(),
        version: run.version.clone(),
        position: 0,
    };
    let mut step = Ok(std::mem::replace(&mut run.first, FeedStep::Chunks(Vec::new())));
    loop {
        match step {
            Ok(FeedStep::Chunks(chunks)) => {
                for chunk in &chunks {
                    let event = chunk_event(&context, &owner, &place, chunk);
                    if !pass_on(&sender, event).await {
                        return;
                    }
                }
            }
            Ok(FeedStep::End(usage)) => {
                note_import(&context, run.import.as_ref(), &usage);
                owner.note_answer(&context);
                log_event!(
                    info,
                    events::COMPLETED,
                    request = owner.request,
                    upstream = run.upstream,
                    prompt_tokens = usage.prompt_tokens,
                    cached_tokens = usage.cached_tokens,
                    imported_tokens = usage.imported_tokens,
                    resumes = run.feed.resumes(),
                );
                pass_on(&sender, end_event(&owner, &usage)).await;
                return;
            }
            Err(error) => {
                owner.note_interrupted(&context, &run.upstream);
                log_event!(warn, events::INCOMPLETE, request = owner.request, error = error);
                let outcome = CallOutcome::failed(format!("incomplete answer: {error}"));
                pass_on(&sender, error_event(&outcome)).await;
                return;
            }
        }
        match next_step(&mut run, &sender).await {
            Some(next) => step = next,
            None => return,
        }
    }
}

/// The streamed answer to a caller.
pub fn stream_response(
    context: &Arc<DaemonContext>,
    owner: StreamOwner,
    run: StartedRun,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(RING_LEN);
    tokio::spawn(pump(Arc::clone(context), owner, run, sender));
    let events = stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok::<Bytes, Infallible>(bytes), receiver))
    });
    let headers = [
        ("content-type", "text/event-stream"),
        ("cache-control", "no-store"),
        (OUTCOME_HEADER, "streaming"),
    ];
    (headers, Body::from_stream(events)).into_response()
}
