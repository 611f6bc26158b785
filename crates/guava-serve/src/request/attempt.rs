//! One send of a request to one upstream, up to its answer or its stream's first event.

use crate::deadline_wait::until;
use crate::events;
use crate::parts::store_links::FetchTicket;
use crate::request::accepted_request::AcceptedRequest;
use crate::request::attempt_plan::AttemptPlan;
use crate::request::dialect::AnswerMarks;
use crate::request::event_framer::{EventBatch, EventFramer};
use crate::request::freshness_wait::await_fresh_list;
use crate::request::request_plan::{PlanInput, has_available_upstream};
use crate::request::send_gate::{GateState, pass_gate};
use crate::serve_context::ServeContext;
use crate::upstreams::announcement_watch::note_announcements;
use crate::upstreams::connection_pool::{ExchangeError, UpstreamConnection};
use crate::upstreams::engine_speeds::EngineSpeed;
use crate::upstreams::upstream_crashes::{note_answer, note_interrupted, note_refused};
use crate::upstreams::upstream_table::WeightVersion;
use crate::upstreams::work_table::WorkTicket;
use bytes::{Bytes, BytesMut};
use guava_log::log_event;
use guava_policy::CloseReason;
use guava_types::{Deadline, ModelName, Moment, UpstreamId};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::time::timeout;

/// Largest answer that is not a stream, in bytes.
const LARGEST_ANSWER: usize = 8 << 20;
/// Longest wait for the rest of a refusal, so that its connection can be kept, in milliseconds.
const REFUSAL_BODY_MS: u64 = 20;

/// Work at an upstream; over when this is dropped.
pub struct WorkGuard {
    context: Rc<ServeContext>,
    ticket: WorkTicket,
    fetch: Option<FetchTicket>,
    is_long: bool,
}

impl WorkGuard {
    /// Notes work from now on.
    pub fn begin(context: &Rc<ServeContext>, plan: &AttemptPlan) -> Self {
        let now = Moment::now();
        let ticket = context.work.borrow_mut().begin(&plan.send.upstream, &plan.load, now);
        let wait = plan.wait.as_ref().filter(|wait| !wait.stores.is_empty());
        let fetch = wait.map(|wait| context.links.borrow_mut().begin(wait, now));
        if plan.is_long {
            context.memory_budget.borrow_mut().begin(ticket.number(), plan.load.answer_ms, now);
        }
        Self { context: Rc::clone(context), ticket, fetch, is_long: plan.is_long }
    }

    fn started(&mut self) {
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
        self.context.work.borrow_mut().end(&self.ticket, now);
        if self.is_long {
            self.context.memory_budget.borrow_mut().dropped(self.ticket.number(), now);
        }
        if let Some(fetch) = &self.fetch {
            self.context.links.borrow_mut().dropped(fetch, now);
        }
    }
}

/// An answer that came whole.
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Head.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A stream whose first event is in.
pub struct OpenStream {
    /// Status.
    pub status: StatusCode,
    /// Head.
    pub headers: HeaderMap,
    /// The first events.
    pub first: EventBatch,
    /// Where the rest comes from.
    pub source: StreamSource,
}

/// Where a stream's events come from.
pub struct StreamSource {
    /// Which upstream.
    pub upstream: UpstreamId,
    body: Incoming,
    framer: EventFramer,
    connection: UpstreamConnection,
    marks: AnswerMarks,
    work: WorkGuard,
}

/// What a stream brings next.
pub enum StreamStep {
    /// Whole events.
    Events(EventBatch),
    /// Its end.
    End,
    /// It broke off.
    Broken(Box<str>),
}

/// How a send ended.
pub enum AttemptEnd {
    /// With a whole answer.
    Whole(WholeAnswer),
    /// With a stream.
    Stream(Box<OpenStream>),
    /// No byte was written.
    NotSent,
    /// No byte was written: it may get nothing any more since it was chosen.
    Closed,
    /// The upstream says that it did not run it.
    Refused,
    /// It did not run it since it has other weights than expected, which are known now.
    OtherWeights,
    /// Given up for another upstream, whose try is paid for; it may have run.
    Abandoned,
    /// It may have run, and there is no answer.
    Lost,
    /// Nobody waits any more, and it may have run.
    TimedOut,
}

/// Result of a wait that is bounded by patience and deadline.
enum Waited<T> {
    Done(T),
    Abandoned,
    TimedOut,
}

/// Waits within the plan's patience. Another try is placed and paid for before this one is given
/// up: without that, a slow answer would turn into none.
async fn wait_for<T>(
    input: PlanInput<'_>,
    plan: &AttemptPlan,
    future: impl Future<Output = T>,
) -> Waited<T> {
    let mut future = std::pin::pin!(future);
    if let Some(answer_timeout) = plan.answer_timeout {
        let first = answer_timeout.earlier(plan.deadline);
        if let Some(done) = until(first, &mut future).await {
            return Waited::Done(done);
        }
        let is_over = plan.deadline.passed(Moment::now());
        if !is_over
            && has_available_upstream(input)
            && input.context.retries.borrow_mut().spend(&plan.service.name)
        {
            return Waited::Abandoned;
        }
    }
    match until(plan.deadline, &mut future).await {
        Some(done) => Waited::Done(done),
        None => Waited::TimedOut,
    }
}

/// A request and its plan, as the steps of one send see them.
struct Attempt<'a> {
    context: &'a Rc<ServeContext>,
    request: &'a AcceptedRequest,
    plan: &'a AttemptPlan,
    input: PlanInput<'a>,
}

/// Sends a request once.
pub async fn attempt(
    context: &Rc<ServeContext>,
    input: PlanInput<'_>,
    plan: &AttemptPlan,
) -> AttemptEnd {
    let attempt = Attempt { context, request: input.request, plan, input };
    let end = attempt.run().await;
    context.metrics.count_send(match end {
        AttemptEnd::Whole(_) | AttemptEnd::Stream(_) => "answered",
        AttemptEnd::NotSent => "not-sent",
        AttemptEnd::Closed => "closed",
        AttemptEnd::Refused => "refused",
        AttemptEnd::OtherWeights => "other-weights",
        AttemptEnd::Abandoned => "abandoned",
        AttemptEnd::Lost => "lost",
        AttemptEnd::TimedOut => "timed-out",
    });
    end
}

impl Attempt<'_> {
    async fn run(&self) -> AttemptEnd {
        let send = &self.plan.send;
        let was_idle = self.context.work.borrow().is_idle(&send.upstream, Moment::now());
        // Listed from the choice on, so that choices made meanwhile see it.
        let work = WorkGuard::begin(self.context, self.plan);
        let Some(mut connection) = self.connect().await else { return AttemptEnd::NotSent };
        // The upstream may have left while the connection was opened.
        await_fresh_list(self.context).await;
        let gate = pass_gate(self.context, &self.plan.service, &send.upstream, Moment::now());
        if let GateState::Closed(closed) = gate {
            self.note_closed(connection, closed.reason);
            return AttemptEnd::Closed;
        }
        let mut fresh = send.clone();
        fresh.left_ms = self.plan.deadline.millis_left(Moment::now());
        if fresh.left_ms == 0 {
            return AttemptEnd::NotSent;
        }
        let sent = Moment::now();
        let encoded = (self.context.dialect.encode)(self.request, &fresh);
        let answer = match wait_for(self.input, self.plan, connection.exchange(encoded)).await {
            Waited::Done(Ok(answer)) => answer,
            Waited::Done(Err(error)) => return self.failed(&error),
            Waited::Abandoned => return self.given_up(AttemptEnd::Abandoned),
            Waited::TimedOut => return self.given_up(AttemptEnd::TimedOut),
        };
        let marks = (self.context.dialect.marks)(answer.status(), answer.headers());
        self.note_announcements(&marks, sent);
        // An answer to an earlier request on this connection, or a second one.
        if marks.request.as_deref().is_some_and(|answered| answered != &*self.request.id) {
            return self.lost("the answer belongs to another request");
        }
        if marks.is_not_run {
            let end = self.note_refusal(&marks, answer.status());
            self.keep_after(connection, answer, &marks).await;
            return end;
        }
        let is_stream = self.request.route.repeat.is_stream();
        if is_stream && answer.status() == StatusCode::OK {
            self.open_stream(connection, answer, marks, work, was_idle.then_some(sent)).await
        } else {
            self.read_whole(connection, answer, marks, work).await
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
        let opened = if self.request.route.repeat.may_repeat() {
            self.context.pool.reuse_or_open(address).await
        } else {
            self.context.pool.open(address).await
        };
        match opened {
            Ok(connection) => Some(connection),
            Err(error) => {
                self.failed(&error);
                None
            }
        }
    }

    fn failed(&self, error: &ExchangeError) -> AttemptEnd {
        let upstream = &self.plan.send.upstream;
        self.note_failure(&error.to_string());
        match error {
            ExchangeError::NotSent { is_refused, .. } => {
                if *is_refused {
                    note_refused(self.context, upstream);
                }
                AttemptEnd::NotSent
            }
            ExchangeError::NoAnswer { .. } => {
                note_interrupted(self.context, upstream, self.request.digest());
                AttemptEnd::Lost
            }
        }
    }

    /// The connection ended before the answer was whole.
    fn broken(&self, reason: &str) -> AttemptEnd {
        note_interrupted(self.context, &self.plan.send.upstream, self.request.digest());
        self.lost(reason)
    }

    fn lost(&self, reason: &str) -> AttemptEnd {
        self.note_failure(reason);
        AttemptEnd::Lost
    }

    fn given_up(&self, end: AttemptEnd) -> AttemptEnd {
        self.note_failure("no answer in time");
        end
    }

    fn note_failure(&self, reason: &str) {
        let upstream = &self.plan.send.upstream;
        self.context.work.borrow_mut().note_failed_answer(upstream, Moment::now());
        log_event!(
            warn,
            events::SEND_FAILED,
            request = self.request.id,
            digest = self.request.digest(),
            upstream = upstream,
            reason = reason
        );
    }

    /// Takes in what the upstream says of itself; what another one at its address says is not its word.
    fn note_announcements(&self, marks: &AnswerMarks, sent: Moment) {
        if !self.is_others(marks) {
            note_announcements(self.context, &self.plan.send.upstream, &marks.announcements, sent);
        }
    }

    /// Whether another upstream answered.
    fn is_others(&self, marks: &AnswerMarks) -> bool {
        let name = self.plan.send.upstream.name();
        marks.instance.as_deref().is_some_and(|other| other != name)
    }

    fn note_refusal(&self, marks: &AnswerMarks, status: StatusCode) -> AttemptEnd {
        let mut end = AttemptEnd::Refused;
        let upstream = &self.plan.send.upstream;
        let is_other = self.is_others(marks);
        if marks.is_unexpected && is_other {
            self.context.upstreams.borrow_mut().note_replaced(upstream);
        } else if marks.is_unexpected {
            if self.note_weights(marks) {
                end = AttemptEnd::OtherWeights;
            }
        } else {
            // Full, or loading weights: others are cheaper for a moment.
            let until = Deadline::in_millis(LOADING_GUESS_MS);
            self.context.upstreams.borrow_mut().note_loading(upstream, until);
        }
        log_event!(
            info,
            events::UPSTREAM_REFUSED,
            request = self.request.id,
            upstream = upstream,
            status = status.as_u16(),
            other = is_other
        );
        end
    }

    /// Takes note that an engine has other weights than expected: those that it names, or one of the
    /// published that it has not refused. Without that it would be asked for the old ones, and
    /// refuse, until the list says so a second later. Whether another version may be asked for.
    fn note_weights(&self, marks: &AnswerMarks) -> bool {
        let Some((model, expected)) = self.expected_weights() else { return false };
        let upstream = &self.plan.send.upstream;
        let mut upstreams = self.context.upstreams.borrow_mut();
        if let Some(named) = marks.weights.filter(|version| *version > expected) {
            upstreams.note_version(upstream, model, named);
            return true;
        }
        let now = Moment::now();
        upstreams.rule_out(upstream, model, expected, now);
        let published = self.context.targets.borrow().published(model);
        upstreams.version(upstream, model, &published, now).is_some()
    }

    fn expected_weights(&self) -> Option<(&ModelName, WeightVersion)> {
        let model = &self.request.prompt.as_ref()?.model;
        Some((model, self.plan.send.engine.as_ref()?.version))
    }

    /// An engine that runs a request has the weights that were asked for.
    fn confirm_weights(&self) {
        if let Some((model, version)) = self.expected_weights() {
            let mut upstreams = self.context.upstreams.borrow_mut();
            upstreams.note_version(&self.plan.send.upstream, model, version);
        }
    }

    /// Reads a refusal's short body, so that the connection can be used again.
    async fn keep_after(
        &self,
        connection: UpstreamConnection,
        answer: Response<Incoming>,
        marks: &AnswerMarks,
    ) {
        let limit = std::time::Duration::from_millis(REFUSAL_BODY_MS);
        let read = timeout(limit, answer.into_body().collect()).await;
        if matches!(read, Ok(Ok(_))) && !marks.is_last && marks.is_framed {
            self.context.pool.keep(connection, marks.idle_limit_ms);
        }
    }

    async fn read_whole(
        &self,
        connection: UpstreamConnection,
        answer: Response<Incoming>,
        marks: AnswerMarks,
        mut work: WorkGuard,
    ) -> AttemptEnd {
        let (head, body) = answer.into_parts();
        let body = match wait_for(self.input, self.plan, collect(body)).await {
            Waited::Done(Some(body)) => body,
            Waited::Done(None) => return self.broken("the answer broke off"),
            Waited::Abandoned => return self.given_up(AttemptEnd::Abandoned),
            Waited::TimedOut => return self.given_up(AttemptEnd::TimedOut),
        };
        work.started();
        note_answer(self.context, || self.request.digest());
        if !marks.is_last && marks.is_framed {
            self.context.pool.keep(connection, marks.idle_limit_ms);
        }
        let mut headers = head.headers;
        (self.context.dialect.strip)(&mut headers);
        AttemptEnd::Whole(WholeAnswer { status: head.status, headers, body })
    }

    async fn open_stream(
        &self,
        connection: UpstreamConnection,
        answer: Response<Incoming>,
        marks: AnswerMarks,
        work: WorkGuard,
        sent_to_idle: Option<Moment>,
    ) -> AttemptEnd {
        let (head, body) = answer.into_parts();
        let upstream = self.plan.send.upstream.clone();
        let framer = EventFramer::default();
        let mut source = StreamSource { upstream, body, framer, connection, marks, work };
        // The head is held back until an event is there: until then another upstream may answer.
        let first = match wait_for(self.input, self.plan, source.next()).await {
            Waited::Done(StreamStep::Events(batch)) => batch,
            Waited::Done(StreamStep::End) => EventBatch { bytes: Bytes::new(), last_id: None },
            Waited::Done(StreamStep::Broken(reason)) => return self.broken(&reason),
            Waited::Abandoned => return self.given_up(AttemptEnd::Abandoned),
            Waited::TimedOut => return self.given_up(AttemptEnd::TimedOut),
        };
        source.work.started();
        self.confirm_weights();
        self.learn(sent_to_idle);
        let mut headers = head.headers;
        (self.context.dialect.strip)(&mut headers);
        AttemptEnd::Stream(Box::new(OpenStream { status: head.status, headers, first, source }))
    }

    /// Learns how fast engines read from a prompt that had nothing before it.
    fn learn(&self, sent_to_idle: Option<Moment>) {
        let is_plain = self.plan.send.engine.as_ref().is_some_and(|o| o.fetch_until_ms.is_none());
        if let Some(sent) = sent_to_idle.filter(|_| is_plain) {
            let elapsed = Moment::now().millis_since(sent);
            let shown = self.context.prefill.borrow_mut().note(self.plan.load.prompt.0, elapsed);
            if let Some(rate) = shown {
                let speed = EngineSpeed { engine: self.plan.send.upstream.clone(), rate };
                self.context.speeds.borrow_mut().note_own(speed, Moment::now());
            }
        }
    }
}

/// How long an upstream that refused for want of room or weights is avoided, in milliseconds.
const LOADING_GUESS_MS: u64 = 500;

async fn collect(mut body: Incoming) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.ok()?.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > LARGEST_ANSWER {
            return None;
        }
    }
    Some(bytes.freeze())
}

impl StreamSource {
    /// The next whole events.
    pub async fn next(&mut self) -> StreamStep {
        loop {
            if let Some(batch) = self.framer.take_whole() {
                return StreamStep::Events(batch);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.data_ref().map(|data| &data[..]).unwrap_or_default();
                    if !self.framer.push(data) {
                        return StreamStep::Broken("an event is too large".into());
                    }
                }
                Some(Err(error)) => return StreamStep::Broken(error.to_string().into()),
                None => return self.end(),
            }
        }
    }

    fn end(&mut self) -> StreamStep {
        if self.framer.is_clean() {
            return StreamStep::End;
        }
        if self.marks.is_framed {
            let bytes = self.framer.take_rest();
            return StreamStep::Events(EventBatch { bytes, last_id: None });
        }
        StreamStep::Broken("the connection ended in the middle of an event".into())
    }

    /// Gives the connection back after the stream's end.
    pub fn finish(self, context: &ServeContext) {
        if !self.marks.is_last && self.marks.is_framed {
            context.pool.keep(self.connection, self.marks.idle_limit_ms);
        }
    }
}
