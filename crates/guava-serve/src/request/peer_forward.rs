//! Forwards a request to a peer daemon, which serves it as if its caller had come there.
//!
//! The peer admits the request itself, by the caller's credential and its own configuration, so it
//! need not trust who forwards. The mark of a forwarded request has one effect: the peer sends it to
//! upstreams or refuses it, and never forwards it again.

use crate::deadline_wait::until;
use crate::events;
use crate::request::accepted_request::AcceptedRequest;
use crate::request::answer_body::{AnswerBody, InterruptedStream};
use crate::request::dialect::AnswerMarks;
use crate::request::run_ledger::{NotRunProof, PermitGround, SendPermit};
use crate::serve_config::ServeConfig;
use crate::serve_context::ServeContext;
use crate::upstreams::answer_part::AnswerPart;
use crate::upstreams::connection_pool::{ConnectionUse, SendFailure, UpstreamConnection};
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use guava_log::log_event;
use guava_types::{Deadline, Moment};
use http::{HeaderName, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::net::SocketAddr;
use std::rc::Rc;

/// Marks a request that a peer daemon forwards; holds the version of its configuration.
pub const FORWARDED: HeaderName = HeaderName::from_static("guava-forwarded");
/// States how often the peer may run a forwarded request.
pub const RUN_LIMIT: HeaderName = HeaderName::from_static("guava-runs");
/// Marks the refusal of a forwarded request that another daemon may still serve.
pub const UNSERVED: HeaderName = HeaderName::from_static("guava-unserved");

/// How long connections to peers stay open without a request, in milliseconds; well below the time
/// that daemons keep callers' connections.
const IDLE_MS: u64 = 10_000;

/// Result of forwarding a request to one peer.
pub enum ForwardOutcome {
    /// The peer answers; its answer is relayed as it arrives.
    Answered(Response<AnswerBody>),
    /// The request has not run: no byte was sent, or the peer refused it for a reason of its own.
    NotRun(SendPermit),
    /// The request may have run, and no answer will come.
    Lost,
    /// The request's deadline passed without an answer. It may have run.
    TimedOut,
}

/// Whether a request is sent again if a peer's answer to it is lost.
pub fn is_sent_again(request: &AcceptedRequest) -> bool {
    request.route.repeat.may_repeat() && !request.begins_stream()
}

/// Forwards a request to a peer daemon, which may run it as often as the permit says, and waits for
/// the head of the answer.
pub async fn forward_request(
    context: &Rc<ServeContext>,
    config: &ServeConfig,
    request: &Rc<AcceptedRequest>,
    peer: SocketAddr,
    permit: SendPermit,
) -> ForwardOutcome {
    // A connection that the peer closes at this moment would cost a request that is not sent again.
    let opened = if is_sent_again(request) {
        context.pool.reuse_or_open(peer, ConnectionUse::Requests).await
    } else {
        context.pool.open(peer, ConnectionUse::Requests).await
    };
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            log_failure(request, peer, &error.to_string(), error.part(), false);
            return ForwardOutcome::NotRun(permit);
        }
    };
    let left_ms = request.deadline.millis_left(Moment::now());
    log_event!(
        info,
        events::FORWARDED,
        request = request.id,
        route = request.route.name,
        peer = peer,
        left_ms = left_ms,
        run = permit.first(),
        runs = permit.runs(),
        runs_permitted = permit.permitted(),
        permitted_by = permit.ground()
    );
    context.metrics.count_permit(permit.ground().name());
    let may_have_run = permit.ground() == PermitGround::Repeatable;
    let mut encoded = (context.dialect.forward)(request, left_ms);
    encoded.headers_mut().insert(FORWARDED, config.version.0.into());
    encoded.headers_mut().insert(RUN_LIMIT, permit.runs().into());
    let (answer, spent) = match until(request.deadline, connection.send(encoded, permit)).await {
        None => {
            log_failure(request, peer, "no answer in time", connection.answer_part(), true);
            return ForwardOutcome::TimedOut;
        }
        Some(Err(failure)) => return failed(request, peer, failure),
        Some(Ok(answered)) => answered,
    };
    let marks = (context.dialect.marks)(answer.status(), answer.headers());
    if marks.request.as_deref().is_some_and(|answered| answered != &*request.id) {
        let reason = "the answer belongs to another request";
        log_failure(request, peer, reason, AnswerPart::Body, true);
        return ForwardOutcome::Lost;
    }
    if answer.headers().contains_key(UNSERVED) {
        let refusal = AnswerMarks { is_not_run: true, ..marks };
        let proof = NotRunProof::of_refusal(&refusal, &request.id, connection.is_new());
        let reason = "the peer can't serve the request";
        log_failure(request, peer, reason, AnswerPart::Body, proof.is_none());
        return proof
            .map_or(ForwardOutcome::Lost, |proof| ForwardOutcome::NotRun(spent.restore(proof)));
    }
    // The peer can't know that another one may have run the request.
    if may_have_run && is_refusal(answer.status()) {
        log_failure(request, peer, "the peer refused the request", AnswerPart::Body, true);
        return ForwardOutcome::Lost;
    }
    ForwardOutcome::Answered(relay_answer(context, connection, answer, request.deadline))
}

/// Whether a status states that the request has not run.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn failed(request: &AcceptedRequest, peer: SocketAddr, failure: SendFailure) -> ForwardOutcome {
    let reason = failure.error.to_string();
    log_failure(request, peer, &reason, failure.error.part(), failure.unspent.is_none());
    failure.unspent.map_or(ForwardOutcome::Lost, ForwardOutcome::NotRun)
}

fn log_failure(
    request: &AcceptedRequest,
    peer: SocketAddr,
    reason: &str,
    part: AnswerPart,
    may_have_run: bool,
) {
    log_event!(
        warn,
        events::SEND_FAILED,
        request = request.id,
        digest = request.digest(),
        upstream = peer,
        part = part,
        reason = reason,
        may_have_run = may_have_run
    );
}

/// A peer's answer whose body is being relayed.
struct PeerAnswer {
    context: Rc<ServeContext>,
    connection: UpstreamConnection,
    body: Incoming,
    deadline: Deadline,
    /// Whether the end of the body can be told from that of the connection; daemons state it.
    has_end: bool,
    is_reusable: bool,
}

impl PeerAnswer {
    /// The next bytes of the body; `None` once it is complete.
    async fn next(&mut self) -> Option<Result<Bytes, InterruptedStream>> {
        let interrupted = |reason: &str| Some(Err(InterruptedStream { reason: reason.into() }));
        loop {
            let Some(frame) = until(self.deadline, self.body.frame()).await else {
                return interrupted("no more of the answer in time");
            };
            let Some(frame) = frame else {
                return if self.has_end { None } else { interrupted("nothing states its end") };
            };
            match frame {
                Ok(frame) => {
                    // Trailers are not passed on.
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Err(error) => return interrupted(&error.to_string()),
            }
        }
    }

    fn finish(self) {
        if self.is_reusable {
            self.context.pool.keep(self.connection, Some(IDLE_MS));
        }
    }
}

/// The response whose body relays a peer's answer. Its connection is reused after the complete body
/// only.
fn relay_answer(
    context: &Rc<ServeContext>,
    connection: UpstreamConnection,
    answer: Response<Incoming>,
    deadline: Deadline,
) -> Response<AnswerBody> {
    let marks = (context.dialect.marks)(answer.status(), answer.headers());
    let (mut head, body) = answer.into_parts();
    (context.dialect.strip)(&mut head.headers);
    let has_end = marks.is_framed || body.is_end_stream();
    let is_reusable = marks.is_framed && !marks.is_last;
    let context = Rc::clone(context);
    let answer = PeerAnswer { context, connection, body, deadline, has_end, is_reusable };
    let relayed = stream::unfold(Some(answer), |answer| async move {
        let mut answer = answer?;
        match answer.next().await {
            Some(Ok(bytes)) => Some((Ok(bytes), Some(answer))),
            Some(Err(interrupted)) => Some((Err(interrupted), None)),
            None => {
                answer.finish();
                None
            }
        }
    });
    Response::from_parts(head, AnswerBody::Relayed(relayed.boxed_local()))
}
