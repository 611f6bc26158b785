//! One attempt: sends a request to one upstream and waits for the complete answer or, for a stream,
//! for the first event.

use crate::deadline_wait::until;
use crate::events;
use crate::parts::store_links::FetchTicket;
use crate::request::accepted_request::AcceptedRequest;
use crate::request::attempt_plan::AttemptPlan;
use crate::request::dialect::AnswerMarks;
use crate::request::event_framer::{EventBatch, EventFramer};
use crate::request::freshness_wait::await_fresh_list;
use crate::request::queued_request::note_room;
use crate::request::request_plan::{PlanInput, has_available_upstream};
use crate::request::run_ledger::{NotRunProof, SendPermit};
use crate::request::send_gate::{GateState, pass_gate};
use crate::serve_config::ServiceRule;
use crate::serve_context::ServeContext;
use crate::upstreams::announcement_watch::note_announcements;
use crate::upstreams::answer_part::AnswerPart;
use crate::upstreams::bounded_body::{BodyError, HeldAnswer, read_body};
use crate::upstreams::close_timer::PendingClose;
use crate::upstreams::connection_pool::{
    ConnectionUse, ExchangeError, SendFailure, UpstreamConnection,
};
use crate::upstreams::engine_speeds::EngineSpeed;
use crate::upstreams::reach_task::{note_connect_failure, note_contact};
use crate::upstreams::report_watch::note_report;
use crate::upstreams::upstream_crashes::{
    note_answer, note_interrupted, note_refused, quarantined_until,
};
use crate::upstreams::upstream_table::WeightVersion;
use crate::upstreams::work_table::WorkTicket;
use crate::weights::start_guard::StartGuard;
use crate::weights::superseded_requests::{note_superseded_send, note_superseded_start};
use bytes::Bytes;
use guava_log::log_event;
use guava_policy::CloseReason;
use guava_types::{Deadline, ModelName, Moment, SoftwareVersion, UpstreamId};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::time::timeout;

/// Maximum size of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Why a success is not whole whose end only the end of its connection tells.
const UNWRITTEN: &str = "the connection ended before the request was written";
/// Range of stated paces at which an engine's speed is learnt, as factors of the usual time.
const MIN_USUAL_PACE: f64 = 0.8;
const MAX_USUAL_PACE: f64 = 1.25;
/// Largest body of a refusal, in bytes, and the timeout for reading it; without it the connection can't
/// be reused.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
const REFUSAL_BODY_TIMEOUT_MS: u64 = 20;

/// Registers a request as in flight at an upstream, until the guard is dropped.
pub struct WorkGuard {
    context: Rc<ServeContext>,
    ticket: WorkTicket,
    service: Rc<ServiceRule>,
    fetch: Option<FetchTicket>,
    is_long: bool,
    /// The upstream, once the request was sent there.
    sent_to: Option<UpstreamId>,
}

impl WorkGuard {
    /// Registers the attempt in the work table. Also registers its fetch of prompt parts from
    /// stores, if there is one, and a long prompt with the memory budget.
    pub fn begin(context: &Rc<ServeContext>, plan: &AttemptPlan) -> Self {
        let now = Moment::now();
        let ticket = context.work.borrow_mut().begin(&plan.send.upstream, &plan.load, now);
        let wait = plan.wait.as_ref().filter(|wait| !wait.stores.is_empty());
        let fetch = wait.map(|wait| context.links.borrow_mut().begin(wait, now));
        if plan.is_long {
            context.memory_budget.borrow_mut().begin(ticket.number(), plan.load.answer_ms, now);
        }
        Self {
            context: Rc::clone(context),
            ticket,
            service: Rc::clone(&plan.service),
            fetch,
            is_long: plan.is_long,
            sent_to: None,
        }
    }

    fn note_sent(&mut self, upstream: &UpstreamId) {
        self.context.sends.borrow_mut().begin(upstream);
        self.sent_to = Some(upstream.clone());
    }

    fn note_started(&mut self) {
        let now = Moment::now();
        self.context.work.borrow_mut().started(&self.ticket, now);
        if std::mem::take(&mut self.is_long) {
            self.context.memory_budget.borrow_mut().started(self.ticket.number(), now);
        }
        if let Some(fetch) = self.fetch.take() {
            self.context.links.borrow_mut().arrived(&fetch, now);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let now = Moment::now();
        self.context.work.borrow_mut().note_finished(&self.ticket, now);
        self.sent_to.iter().for_each(|upstream| self.context.sends.borrow_mut().finish(upstream));
        if self.is_long {
            self.context.memory_budget.borrow_mut().dropped(self.ticket.number(), now);
        }
        if let Some(fetch) = &self.fetch {
            self.context.links.borrow_mut().dropped(fetch, now);
        }
        note_room(&self.context, &self.service.name);
    }
}

/// An answer that was received completely.
pub struct CompleteAnswer {
    /// Status as the upstream sent it.
    pub status: StatusCode,
    /// Headers, without those that concern only the upstream's connection.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// What it takes of the memory for clients.
    pub held: HeldAnswer,
}

/// A stream whose first event has been received.
pub struct OpenStream {
    /// Status as the upstream sent it.
    pub status: StatusCode,
    /// Headers, without those that concern only the upstream's connection.
    pub headers: HeaderMap,
    /// The first events; empty if the stream ended without any.
    pub first: EventBatch,
    /// Source of the remaining events.
    pub source: StreamSource,
}

/// The upstream connection that a stream's events are read from.
pub struct StreamSource {
    /// The upstream that sends the stream.
    pub upstream: UpstreamId,
    /// Version of its software; `None` if it is not known.
    pub software: Option<SoftwareVersion>,
    body: Incoming,
    framer: EventFramer,
    held: HeldAnswer,
    connection: UpstreamConnection,
    marks: AnswerMarks,
    work: WorkGuard,
}

/// Result of reading from a stream.
pub enum StreamStep {
    /// One or more complete events.
    Events(EventBatch),
    /// The stream ended at an event boundary.
    End,
    /// The stream was interrupted, for the reason given.
    Interrupted(Box<str>),
}

/// Result of an attempt. One in which the request did not run has its permit.
pub enum AttemptOutcome {
    /// The upstream answered completely.
    Complete(CompleteAnswer),
    /// The upstream opened a stream.
    Stream(Box<OpenStream>),
    /// Not sent: no byte was written to the upstream.
    NotSent(SendPermit),
    /// Not sent: the upstream was closed after it had been chosen.
    Closed(SendPermit),
    /// The upstream states that it did not run the request.
    Refused(SendPermit),
    /// The same, of an instance that reports its load: it may be asked again when it has room.
    TurnedAway(SendPermit),
    /// The engine did not run the request because its weights differ from the expected ones.
    /// Another version can now be requested from it.
    OtherWeights(SendPermit),
    /// The engine did not run the request because its weights differ from the expected ones, and no
    /// other published version is known here yet.
    UnknownWeights(SendPermit),
    /// Abandoned in favour of another upstream, with a retry already taken from the budget. The
    /// request may have run.
    Abandoned,
    /// The request may have run, and no answer will come.
    Lost,
    /// The request's deadline passed without an answer. It may have run.
    TimedOut,
    /// Withdrawn from an engine before it began, as the time limit of the engine's weights came. It
    /// may have run.
    Withdrawn,
}

/// Result of a wait that is bounded by the answer timeout and the deadline.
enum WaitOutcome<T> {
    Done(T),
    Abandoned,
    TimedOut,
    Withdrawn,
}

/// Waits for part of an answer, until the deadline at most. After the answer timeout the attempt is
/// abandoned only if another upstream can take the request and the budget allows a retry: otherwise
/// a slow answer would become no answer.
async fn wait_for_answer<T>(
    input: PlanInput<'_>,
    plan: &AttemptPlan,
    future: impl Future<Output = T>,
) -> WaitOutcome<T> {
    let mut future = std::pin::pin!(future);
    if let Some(answer_timeout) = plan.answer_timeout {
        let first = answer_timeout.earlier(plan.deadline);
        if let Some(done) = until(first, &mut future).await {
            return WaitOutcome::Done(done);
        }
        let is_timed_out = plan.deadline.passed(Moment::now());
        if !is_timed_out
            && input.record.bar_after_this().is_none()
            && has_available_upstream(input)
            && input.context.retries.borrow_mut().spend(&plan.service.name)
        {
            return WaitOutcome::Abandoned;
        }
    }
    match until(plan.deadline, &mut future).await {
        Some(done) => WaitOutcome::Done(done),
        None => WaitOutcome::TimedOut,
    }
}

/// When a request was sent, and whether its engine was idle then.
#[derive(Clone, Copy)]
struct SendTime {
    sent: Moment,
    was_idle: bool,
}

/// The same for the part of an answer with which the request begins, until its weights' time limit.
async fn wait_for_start<T>(
    input: PlanInput<'_>,
    plan: &AttemptPlan,
    guard: StartGuard<'_>,
    future: impl Future<Output = T>,
) -> WaitOutcome<T> {
    let mut wait = pin!(wait_for_answer(input, plan, future));
    let mut expired = pin!(guard.expired());
    let is_expired = poll_fn(|task| match wait.as_mut().poll(task) {
        Poll::Ready(outcome) => Poll::Ready(Some(outcome)),
        Poll::Pending => expired.as_mut().poll(task).map(|()| None),
    });
    match is_expired.await {
        Some(outcome) => outcome,
        // What lies in the socket has begun in time.
        None => until(Moment::now().into(), wait).await.unwrap_or(WaitOutcome::Withdrawn),
    }
}

/// Data that the steps of one attempt share.
struct Attempt<'a> {
    context: &'a Rc<ServeContext>,
    request: &'a AcceptedRequest,
    plan: &'a AttemptPlan,
    input: PlanInput<'a>,
}

/// Sends a request once, according to the plan and under a permit, and counts the outcome in the
/// metrics.
pub async fn attempt(
    context: &Rc<ServeContext>,
    input: PlanInput<'_>,
    plan: &AttemptPlan,
    permit: SendPermit,
) -> AttemptOutcome {
    let attempt = Attempt { context, request: input.request, plan, input };
    let outcome = attempt.run(permit).await;
    context.metrics.count_send(match &outcome {
        AttemptOutcome::Complete(_) | AttemptOutcome::Stream(_) => "answered",
        AttemptOutcome::NotSent(_) => "not-sent",
        AttemptOutcome::Closed(_) => "closed",
        AttemptOutcome::Refused(_) | AttemptOutcome::TurnedAway(_) => "refused",
        AttemptOutcome::OtherWeights(_) => "other-weights",
        AttemptOutcome::UnknownWeights(_) => "unknown-weights",
        AttemptOutcome::Abandoned => "abandoned",
        AttemptOutcome::Lost => "lost",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::Withdrawn => "withdrawn",
    });
    outcome
}

impl Attempt<'_> {
    async fn run(&self, permit: SendPermit) -> AttemptOutcome {
        let send = &self.plan.send;
        let was_idle = self.context.work.borrow().is_idle(&send.upstream, Moment::now());
        // Registered before connecting, so that concurrent choices of an upstream count it.
        let mut work = WorkGuard::begin(self.context, self.plan);
        let Some(mut connection) = self.connect().await else {
            return AttemptOutcome::NotSent(permit);
        };
        // The upstream may have been removed from the list while the connection was opened.
        if !await_fresh_list(self.context).await {
            self.note_closed(connection, CloseReason::Unconfirmed);
            return AttemptOutcome::Closed(permit);
        }
        let gate = pass_gate(self.context, &self.plan.service, &send.upstream, Moment::now());
        if let GateState::Closed(closed) = gate {
            self.note_closed(connection, closed.reason);
            return AttemptOutcome::Closed(permit);
        }
        work.note_sent(&send.upstream);
        // Crashes may have been reported while the connection was opened.
        if quarantined_until(self.context, self.request).is_some() {
            self.context.pool.keep(connection, None);
            return AttemptOutcome::Closed(permit);
        }
        let guard = StartGuard::new(self.context, self.expected_weights());
        if guard.has_expired(Moment::now()) {
            self.note_closed(connection, CloseReason::Superseded);
            return AttemptOutcome::Closed(permit);
        }
        let mut current_send = send.clone();
        current_send.left_ms = self.plan.deadline.millis_left(Moment::now());
        if current_send.left_ms == 0 {
            return AttemptOutcome::NotSent(permit);
        }
        let sent = Moment::now();
        let sent_since = &self.input.record.sent_since;
        sent_since.set(sent_since.get().or(Some(sent)));
        if let Some((model, _)) = self.expected_weights() {
            note_superseded_send(self.context, &self.request.id, self.plan, model, sent);
        }
        let encoded = (self.context.dialect.encode)(self.request, &current_send);
        let sending = connection.send(encoded, permit);
        let (answer, spent) = match wait_for_start(self.input, self.plan, guard, sending).await {
            WaitOutcome::Done(Ok(answered)) => answered,
            WaitOutcome::Done(Err(failure)) => {
                if connection.is_new() {
                    note_connect_failure(self.context, &send.upstream);
                }
                return self.failed(failure);
            }
            WaitOutcome::Abandoned => {
                return self.unanswered(AttemptOutcome::Abandoned, connection.answer_part());
            }
            WaitOutcome::TimedOut => {
                return self.unanswered(AttemptOutcome::TimedOut, connection.answer_part());
            }
            WaitOutcome::Withdrawn => return self.withdrawn(connection.answer_part()),
        };
        if connection.is_new() {
            note_contact(self.context);
        }
        let marks = (self.context.dialect.marks)(answer.status(), answer.headers());
        self.note_announcements(&marks, sent);
        self.note_report(&marks);
        // The upstream answered an earlier request on this connection, or answered one twice.
        if marks.request.as_deref().is_some_and(|answered| answered != &*self.request.id) {
            return self.lost("the answer belongs to another request");
        }
        if marks.is_unnamed {
            return self.lost("the answer names no request");
        }
        if marks.is_not_run {
            let is_first = connection.is_new();
            let Some(proof) = NotRunProof::of_refusal(&marks, &self.request.id, is_first) else {
                return self.lost("the refusal names no request");
            };
            let outcome = self.note_refusal(&marks, answer.status(), spent.restore(proof));
            self.recycle_connection(connection, answer, &marks).await;
            return outcome;
        }
        let is_stream = self.request.route.repeat.is_stream();
        if is_stream && answer.status() == StatusCode::OK {
            self.open_stream(connection, answer, marks, work, SendTime { sent, was_idle }).await
        } else {
            self.read_complete(connection, answer, marks, work, sent).await
        }
    }

    fn note_closed(&self, connection: UpstreamConnection, reason: CloseReason) {
        self.context.pool.keep(connection, None);
        log_event!(
            info,
            events::SEND_BLOCKED,
            request = self.request.id,
            upstream = self.plan.send.upstream,
            reason = reason
        );
    }

    async fn connect(&self) -> Option<UpstreamConnection> {
        let address = self.plan.send.address;
        let (pool, carries) = (&self.context.pool, ConnectionUse::Requests);
        let opened = if self.request.route.repeat.may_repeat() {
            pool.reuse_or_open(address, carries).await
        } else {
            pool.open(address, carries).await
        };
        match opened {
            Ok(connection) => Some(connection),
            Err(error) => {
                note_connect_failure(self.context, &self.plan.send.upstream);
                self.note_unsent(&error);
                None
            }
        }
    }

    fn failed(&self, failure: SendFailure) -> AttemptOutcome {
        match failure.unspent {
            Some(permit) => {
                self.note_unsent(&failure.error);
                AttemptOutcome::NotSent(permit)
            }
            None => {
                note_interrupted(self.context, &self.plan.send.upstream, self.request);
                self.note_failure(&failure.error.to_string(), failure.error.part(), true);
                AttemptOutcome::Lost
            }
        }
    }

    /// Records that no byte of the request was written to the upstream.
    fn note_unsent(&self, error: &ExchangeError) {
        self.note_failure(&error.to_string(), error.part(), false);
        if matches!(error, ExchangeError::NotSent { is_refused: true, .. }) {
            note_refused(self.context, &self.plan.send.upstream);
        }
    }

    /// Records a connection that broke before the answer was complete.
    fn interrupted(&self, reason: &str) -> AttemptOutcome {
        note_interrupted(self.context, &self.plan.send.upstream, self.request);
        self.lost(reason)
    }

    /// Records an answer whose head came, and that can't be passed on.
    fn lost(&self, reason: &str) -> AttemptOutcome {
        self.note_failure(reason, AnswerPart::Body, true);
        AttemptOutcome::Lost
    }

    fn unanswered(&self, outcome: AttemptOutcome, part: AnswerPart) -> AttemptOutcome {
        self.note_failure("no answer in time", part, true);
        outcome
    }

    fn withdrawn(&self, part: AnswerPart) -> AttemptOutcome {
        // No failure of the engine: its answers are no slower than those of others.
        self.context.metrics.count_superseded("withdrawn");
        self.log_failure("withdrawn, the time limit of its weights has come", part, true);
        AttemptOutcome::Withdrawn
    }

    fn note_failure(&self, reason: &str, part: AnswerPart, may_have_run: bool) {
        let upstream = &self.plan.send.upstream;
        self.context.work.borrow_mut().note_failed_answer(upstream, Moment::now());
        self.log_failure(reason, part, may_have_run);
    }

    fn log_failure(&self, reason: &str, part: AnswerPart, may_have_run: bool) {
        log_event!(
            warn,
            events::SEND_FAILED,
            request = self.request.id,
            digest = self.request.digest(),
            upstream = self.plan.send.upstream,
            part = part,
            reason = reason,
            may_have_run = may_have_run
        );
    }

    /// Records the upstream's announcements, unless another upstream answered at its address.
    fn note_announcements(&self, marks: &AnswerMarks, sent: Moment) {
        if !self.is_from_other(marks) {
            note_announcements(self.context, &self.plan.send.upstream, &marks.announcements, sent);
        }
    }

    /// Records the load that the upstream reports, unless another upstream answered at its address.
    fn note_report(&self, marks: &AnswerMarks) {
        if let Some(report) = marks.load.as_ref().filter(|_| !self.is_from_other(marks)) {
            note_report(self.context, &self.plan.send.upstream, report);
        }
    }

    /// Whether the upstream is an instance of a plain service.
    fn is_plain(&self) -> bool {
        self.plan.send.engine.is_none()
    }

    /// Whether the answer names another upstream than the one that the request was sent to.
    fn is_from_other(&self, marks: &AnswerMarks) -> bool {
        let name = self.plan.send.upstream.name();
        marks.instance.as_deref().is_some_and(|other| other != name)
    }

    fn note_refusal(
        &self,
        marks: &AnswerMarks,
        status: StatusCode,
        permit: SendPermit,
    ) -> AttemptOutcome {
        let upstream = &self.plan.send.upstream;
        let is_other = self.is_from_other(marks);
        log_event!(
            info,
            events::UPSTREAM_REFUSED,
            request = self.request.id,
            upstream = upstream,
            status = status.as_u16(),
            other = is_other
        );
        if marks.is_unexpected && is_other {
            self.context.upstreams.borrow_mut().note_replaced(upstream);
            AttemptOutcome::Refused(permit)
        } else if marks.is_unexpected {
            self.note_other_weights(marks, permit)
        } else {
            // It is full or loading weights, so other upstreams are preferred for a short time.
            let until = Deadline::in_millis(LOADING_ESTIMATE_MS);
            self.context.upstreams.borrow_mut().note_loading(upstream, until);
            let is_reporting = self.is_plain()
                && self.context.reports.borrow_mut().note_refused(upstream, Moment::now());
            if is_reporting {
                AttemptOutcome::TurnedAway(permit)
            } else {
                AttemptOutcome::Refused(permit)
            }
        }
    }

    /// Records that an engine has other weights than expected: the version that it names or, if it
    /// names none, one of the published versions that it has not refused. Otherwise requests would
    /// keep asking for the old version and be refused until the list is updated, a second later.
    /// Returns whether another version can be requested from it now.
    fn note_other_weights(&self, marks: &AnswerMarks, permit: SendPermit) -> AttemptOutcome {
        let Some((model, expected)) = self.expected_weights() else {
            return AttemptOutcome::Refused(permit);
        };
        let upstream = &self.plan.send.upstream;
        let mut upstreams = self.context.upstreams.borrow_mut();
        if let Some(named) = marks.weights.filter(|version| *version > expected) {
            upstreams.note_version(upstream, model, named);
            return AttemptOutcome::OtherWeights(permit);
        }
        let now = Moment::now();
        upstreams.rule_out(upstream, model, expected, now);
        let published = self.context.targets.borrow().published(model);
        match upstreams.version(upstream, model, &published, now) {
            Some(_) => AttemptOutcome::OtherWeights(permit),
            None => AttemptOutcome::UnknownWeights(permit),
        }
    }

    fn expected_weights(&self) -> Option<(&ModelName, WeightVersion)> {
        let model = &self.request.prompt.as_ref()?.model;
        Some((model, self.plan.send.engine.as_ref()?.version))
    }

    /// Records that an engine which runs the request has the version that was asked for.
    fn confirm_weights(&self) {
        if let Some((model, version)) = self.expected_weights() {
            let mut upstreams = self.context.upstreams.borrow_mut();
            upstreams.note_version(&self.plan.send.upstream, model, version);
        }
    }

    /// Reads a refusal's short body and returns a reusable connection to the pool.
    async fn recycle_connection(
        &self,
        connection: UpstreamConnection,
        answer: Response<Incoming>,
        marks: &AnswerMarks,
    ) {
        let limit = std::time::Duration::from_millis(REFUSAL_BODY_TIMEOUT_MS);
        let read = timeout(limit, read_body(answer.into_body(), MAX_REFUSAL_BYTES, None)).await;
        if matches!(read, Ok(Ok(_))) && !marks.is_last && marks.is_framed {
            self.context.pool.keep(connection, marks.idle_limit_ms);
        }
    }

    async fn read_complete(
        &self,
        connection: UpstreamConnection,
        answer: Response<Incoming>,
        marks: AnswerMarks,
        mut work: WorkGuard,
        sent: Moment,
    ) -> AttemptOutcome {
        let (head, body) = answer.into_parts();
        let mut held = HeldAnswer::new(self.context);
        let reading = read_body(body, MAX_ANSWER_BYTES, Some(&mut held));
        let body = match wait_for_answer(self.input, self.plan, reading).await {
            WaitOutcome::Done(Ok(body)) => body,
            WaitOutcome::Done(Err(error @ BodyError::Interrupted { .. })) => {
                return self.interrupted(&error.to_string());
            }
            WaitOutcome::Done(Err(error)) => return self.lost(&error.to_string()),
            WaitOutcome::Abandoned => {
                return self.unanswered(AttemptOutcome::Abandoned, AnswerPart::Body);
            }
            WaitOutcome::TimedOut => {
                return self.unanswered(AttemptOutcome::TimedOut, AnswerPart::Body);
            }
            WaitOutcome::Withdrawn => return self.withdrawn(AnswerPart::Body),
        };
        let is_early = !marks.is_framed && !connection.is_request_written();
        if is_early && head.status.is_success() {
            return self.interrupted(UNWRITTEN);
        }
        work.note_started();
        if self.is_plain() && head.status.is_success() {
            let now = Moment::now();
            let upstream = &self.plan.send.upstream;
            self.context.reports.borrow_mut().note_answer(upstream, now.millis_since(sent), now);
        }
        // Without a length or chunks, the end of the body may be that of the upstream.
        if marks.is_framed {
            note_answer(self.context, self.request);
        }
        if !marks.is_last && marks.is_framed {
            self.context.pool.keep(connection, marks.idle_limit_ms);
        }
        let mut headers = head.headers;
        (self.context.dialect.strip)(&mut headers);
        AttemptOutcome::Complete(CompleteAnswer { status: head.status, headers, body, held })
    }

    async fn open_stream(
        &self,
        connection: UpstreamConnection,
        answer: Response<Incoming>,
        marks: AnswerMarks,
        work: WorkGuard,
        time: SendTime,
    ) -> AttemptOutcome {
        let (head, body) = answer.into_parts();
        let upstream = self.plan.send.upstream.clone();
        let framer = EventFramer::default();
        let held = HeldAnswer::new(self.context);
        let software = self.plan.software.clone();
        let mut source =
            StreamSource { upstream, software, body, framer, held, connection, marks, work };
        // The headers are withheld until the first event: until then another upstream may answer.
        let guard = StartGuard::new(self.context, self.expected_weights());
        let step = source.next_step();
        let first = match wait_for_start(self.input, self.plan, guard, step).await {
            WaitOutcome::Done(StreamStep::Events(batch)) => batch,
            WaitOutcome::Done(StreamStep::End) if source.is_framed() => {
                EventBatch { bytes: Bytes::new(), last_id: None }
            }
            WaitOutcome::Done(StreamStep::End) => {
                return self.interrupted("the connection ended before the first event");
            }
            WaitOutcome::Done(StreamStep::Interrupted(reason)) => return self.interrupted(&reason),
            WaitOutcome::Abandoned => {
                return self.unanswered(AttemptOutcome::Abandoned, AnswerPart::Body);
            }
            WaitOutcome::TimedOut => {
                return self.unanswered(AttemptOutcome::TimedOut, AnswerPart::Body);
            }
            WaitOutcome::Withdrawn => return self.withdrawn(AnswerPart::Body),
        };
        source.work.note_started();
        self.context.reports.borrow_mut().note_served(&self.plan.send.upstream, Moment::now());
        if let Some((model, _)) = self.expected_weights() {
            note_superseded_start(self.context, &self.request.id, self.plan, model, time.sent);
        }
        self.confirm_weights();
        self.note_prefill_time(time.sent, time.was_idle);
        let mut headers = head.headers;
        (self.context.dialect.strip)(&mut headers);
        AttemptOutcome::Stream(Box::new(OpenStream { status: head.status, headers, first, source }))
    }

    /// Updates the engines' prefill rate from a prompt that was sent to an idle engine and fetches
    /// no parts, so that its time to the first event was spent on reading the prompt. Nothing is
    /// learnt while the engine states another pace than the usual one: that is no property of it.
    fn note_prefill_time(&self, sent: Moment, was_idle: bool) {
        let has_no_fetch =
            self.plan.send.engine.as_ref().is_some_and(|orders| orders.fetch_until_ms.is_none());
        if !has_no_fetch || self.plan.is_guess {
            return;
        }
        let now = Moment::now();
        let AttemptPlan { send, load, pace, .. } = self.plan;
        let elapsed = now.millis_since(sent);
        let mut reports = self.context.reports.borrow_mut();
        let is_plausible = reports.note_read(&send.upstream, elapsed, load.service_ms, now);
        let is_usual = |pace: f64| (MIN_USUAL_PACE..=MAX_USUAL_PACE).contains(&pace);
        let is_usual = is_usual(*pace) && is_usual(reports.pace(&send.upstream, now));
        if !was_idle || !is_plausible || !is_usual {
            return;
        }
        let measured_rate = self.context.prefill.borrow_mut().note(load.prompt.0, elapsed);
        if let Some(rate) = measured_rate {
            let speed = EngineSpeed { engine: send.upstream.clone(), rate };
            self.context.speeds.borrow_mut().note_own(speed, now);
        }
    }
}

/// Time for which an upstream that refused a request counts as loading, and others are preferred.
const LOADING_ESTIMATE_MS: u64 = 500;

impl StreamSource {
    /// Whether the end of the stream can be distinguished from that of its upstream.
    pub fn is_framed(&self) -> bool {
        self.marks.is_framed
    }

    /// Closes the connection at a deadline, though this thread may get no turn then; `None` if that
    /// can't be had.
    pub fn close_at(&self, context: &ServeContext, deadline: Deadline) -> Option<PendingClose> {
        let socket = self.connection.socket().duplicate()?;
        context.close_timer.close_at(socket, deadline)
    }

    /// Reads until at least one more event is complete, or the stream ends or is interrupted.
    pub async fn next_step(&mut self) -> StreamStep {
        loop {
            if let Some(batch) = self.framer.take_complete() {
                return StreamStep::Events(batch);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.data_ref().map(|data| &data[..]).unwrap_or_default();
                    if !self.framer.push(data) || !self.held.note_length(self.framer.buffer_bytes())
                    {
                        return StreamStep::Interrupted("an event exceeds the size limit".into());
                    }
                }
                Some(Err(error)) => return StreamStep::Interrupted(error.to_string().into()),
                None => return self.step_at_end(),
            }
        }
    }

    fn step_at_end(&mut self) -> StreamStep {
        if !self.marks.is_framed && !self.connection.is_request_written() {
            return StreamStep::Interrupted(UNWRITTEN.into());
        }
        if self.framer.is_empty() {
            return StreamStep::End;
        }
        if self.marks.is_framed || self.framer.is_at_boundary() {
            let bytes = self.framer.take_remainder();
            return StreamStep::Events(EventBatch { bytes, last_id: None });
        }
        StreamStep::Interrupted("the connection ended within an event".into())
    }

    /// Returns the connection to the pool after the stream's end, if it can be reused.
    pub fn finish(self, context: &ServeContext) {
        if !self.marks.is_last && self.marks.is_framed {
            context.pool.keep(self.connection, self.marks.idle_limit_ms);
        }
    }
}
