//! A request's way: sends it until it has an answer, may not be sent again, or is over.

use crate::accepted_request::AcceptedRequest;
use crate::answer_body::AnswerBody;
use crate::attempt::{AttemptEnd, OpenStream, WholeAnswer, attempt};
use crate::event_relay::relay;
use crate::events;
use crate::outcome::{RefusalReason, SendRecord, ServeOutcome};
use crate::patience::return_after_ms;
use crate::request_plan::{PlanInput, PlanStep, draw_service, is_crowded, log_send, plan_attempt};
use crate::serve_config::ServeConfig;
use crate::serve_parts::ServeParts;
use crate::upstream_ends::stopped_until;
use guava_log::log_event;
use guava_types::{Deadline, Moment, ServiceName};
use http::Response;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Upstreams that are tried for one request at most, refusals and failed connections included.
const MOST_TRIES: u32 = 4;
/// Pause between two looks at whether an engine has memory for a prompt in line, in milliseconds: a
/// tenth of the time that the shortest long prompt takes.
const HOLD_TICK_MS: u64 = 20;

/// When a stopped request whose time is just over may come back at the earliest, in milliseconds:
/// its end is not known to the millisecond at all daemons.
const LEAST_STOP_MS: u64 = 1_000;

/// A request that was accepted, on its way.
pub struct RequestRun {
    /// The parts it uses.
    pub parts: Rc<ServeParts>,
    /// The configuration that it was accepted under.
    pub config: Rc<ServeConfig>,
    /// The request.
    pub request: Rc<AcceptedRequest>,
    /// Its service.
    pub service: ServiceName,
    /// Its sends so far.
    pub record: SendRecord,
    /// Whether the next try is paid for already.
    pub is_paid: bool,
    /// How long the first event took, in milliseconds.
    pub first_ms: Option<u64>,
}

/// What a round of sends gave.
pub enum SendResult {
    /// A whole answer.
    Whole(WholeAnswer),
    /// A stream.
    Stream(Box<OpenStream>),
    /// Nothing more may be tried.
    GivenUp {
        /// Whether its time is over.
        is_over: bool,
    },
}

impl RequestRun {
    /// Sends until there is an answer or nothing more may be tried.
    pub async fn send(&mut self, resume_after: Option<&str>) -> SendResult {
        let mut fallback: Option<WholeAnswer> = None;
        loop {
            let now = Moment::now();
            if self.request.deadline.passed(now) {
                return given_up(fallback, true);
            }
            if !self.may_try() {
                return given_up(fallback, false);
            }
            // Looked up before each send: what other daemons saw meanwhile counts.
            self.record.stopped_until = stopped_until(&self.parts, || self.request.digest());
            if self.record.stopped_until.is_some() {
                return given_up(fallback, false);
            }
            let plan = match self.plan(resume_after) {
                PlanStep::Send(plan) => plan,
                PlanStep::Nowhere => return given_up(fallback, false),
                PlanStep::Crowded => {
                    self.record.was_held = !self.hold().await;
                    if self.record.was_held {
                        return given_up(fallback, false);
                    }
                    continue;
                }
            };
            if !self.pay() {
                return given_up(fallback, false);
            }
            log_send(&self.request, &self.config, &plan, &self.record);
            self.record.tried.push(plan.send.upstream.clone());
            match attempt(&self.parts, &self.request, &plan).await {
                AttemptEnd::Whole(answer) => {
                    self.note_run();
                    if !self.is_worth_retry(&answer) {
                        return SendResult::Whole(answer);
                    }
                    self.parts.work.borrow_mut().stumbled(&plan.send.upstream, Moment::now());
                    fallback = Some(answer);
                }
                AttemptEnd::Stream(stream) => {
                    self.note_run();
                    return SendResult::Stream(stream);
                }
                AttemptEnd::NotSent => self.record.unreached += 1,
                AttemptEnd::Refused => self.note_refusal(),
                AttemptEnd::OtherWeights => {
                    self.note_refusal();
                    // It can be asked again, for the weights that it has.
                    self.record.tried.pop();
                }
                AttemptEnd::Abandoned => {
                    self.note_run();
                    self.is_paid = true;
                }
                AttemptEnd::Lost => self.note_run(),
                AttemptEnd::TimedOut => {
                    self.note_run();
                    return given_up(fallback, true);
                }
            }
        }
    }

    fn plan_input(&self) -> PlanInput<'_> {
        PlanInput {
            parts: &self.parts,
            config: &self.config,
            request: &self.request,
            service: &self.service,
            record: &self.record,
        }
    }

    fn plan(&self, resume_after: Option<&str>) -> PlanStep {
        // What is under way already must not wait here as well.
        let may_hold = resume_after.is_none() && self.record.arrivals == 0;
        plan_attempt(self.plan_input(), resume_after, may_hold)
    }

    /// Waits in line until an engine may have memory for a long prompt; false if it can't be in
    /// time, as the line drains or by now.
    async fn hold(&self) -> bool {
        let request = &self.request;
        let until = Deadline::after(request.arrived, request.route.objective_ms);
        let until = until.earlier(request.deadline);
        let now = Moment::now();
        let wait = self.parts.line.borrow().expected_wait_ms(request.priority(), now);
        if wait.is_some_and(|wait_ms| Deadline::after(now, wait_ms) > until) {
            // It would be refused after that time anyway; told at once, its caller can go elsewhere.
            return false;
        }
        let place = LinePlace::join(&self.parts, request);
        log_event!(info, events::HELD, request = request.id, ahead = place.ahead());
        loop {
            sleep(Duration::from_millis(HOLD_TICK_MS)).await;
            if until.passed(Moment::now()) {
                return false;
            }
            if place.is_first() && !is_crowded(self.plan_input()) {
                self.parts.line.borrow_mut().note_start(Moment::now());
                return true;
            }
        }
    }

    fn note_refusal(&mut self) {
        self.record.arrivals += 1;
        self.record.refusals += 1;
    }

    fn note_run(&mut self) {
        self.record.arrivals += 1;
        self.record.runs += 1;
    }

    /// Whether another upstream may get the request.
    fn may_try(&self) -> bool {
        let route = &self.request.route;
        let may_run = self.record.runs == 0
            || (route.repeat.may_repeat() && self.record.runs < route.max_attempts.max(1));
        let tries = self.record.arrivals + self.record.unreached;
        may_run && tries < MOST_TRIES
    }

    /// Pays for a send; the first that reaches an upstream is free.
    fn pay(&mut self) -> bool {
        if self.record.arrivals == 0 || std::mem::take(&mut self.is_paid) {
            return true;
        }
        self.parts.retries.borrow_mut().spend(&self.service)
    }

    /// An upstream's own error may not be another's.
    fn is_worth_retry(&self, answer: &WholeAnswer) -> bool {
        answer.status.is_server_error() && self.may_try()
    }
}

fn given_up(fallback: Option<WholeAnswer>, is_over: bool) -> SendResult {
    match fallback {
        Some(answer) => SendResult::Whole(answer),
        None => SendResult::GivenUp { is_over },
    }
}

/// Serves a request: from the choice of an upstream to its answer.
pub async fn serve_request(
    parts: &Rc<ServeParts>,
    config: &Rc<ServeConfig>,
    request: AcceptedRequest,
) -> ServeOutcome {
    let request = Rc::new(request);
    let Some(service) = draw_service(&request.route, rand::random()).cloned() else {
        return refused(parts, &request, RefusalReason::NoUpstream);
    };
    parts.retries.borrow_mut().earn(&service);
    let mut run = RequestRun {
        parts: Rc::clone(parts),
        config: Rc::clone(config),
        request: Rc::clone(&request),
        service,
        record: SendRecord::default(),
        is_paid: false,
        first_ms: None,
    };
    let leaving = CallerWatch::new(parts, &request);
    let result = run.send(None).await;
    leaving.disarm();
    match result {
        SendResult::Whole(answer) => answered(parts, &request, answer),
        SendResult::Stream(stream) => {
            let first_ms = Moment::now().millis_since(request.arrived);
            run.first_ms = Some(first_ms);
            parts.metrics.time_first(first_ms);
            ServeOutcome::Answered(relay(run, *stream))
        }
        SendResult::GivenUp { is_over } => match run.record.refusal() {
            Some(RefusalReason::Stopped) => {
                stopped(parts, &request, run.record.stopped_until.unwrap_or_default())
            }
            Some(_) if is_over => refused(parts, &request, RefusalReason::TooLate),
            Some(reason) => refused(parts, &request, reason),
            None => lost(parts, &request, is_over, run.record.runs),
        },
    }
}

fn answered(parts: &ServeParts, request: &AcceptedRequest, answer: WholeAnswer) -> ServeOutcome {
    let elapsed = Moment::now().millis_since(request.arrived);
    parts.metrics.time_first(elapsed);
    parts.metrics.time_whole(elapsed);
    parts.metrics.count_request("answered");
    log_event!(
        info,
        events::ANSWERED,
        request = request.id,
        status = answer.status.as_u16(),
        elapsed_ms = elapsed,
        bytes = answer.body.len()
    );
    let mut response = Response::new(AnswerBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    ServeOutcome::Answered(response)
}

/// Refuses a request that is stopped until some moment, and can't be served before.
fn stopped(parts: &ServeParts, request: &AcceptedRequest, until: Deadline) -> ServeOutcome {
    let left_ms = until.millis_left(Moment::now()).max(LEAST_STOP_MS);
    refused_for(parts, request, RefusalReason::Stopped, left_ms)
}

fn refused(parts: &ServeParts, request: &AcceptedRequest, reason: RefusalReason) -> ServeOutcome {
    refused_for(parts, request, reason, return_after_ms(reason, rand::random()))
}

fn refused_for(
    parts: &ServeParts,
    request: &AcceptedRequest,
    reason: RefusalReason,
    return_after_ms: u64,
) -> ServeOutcome {
    parts.metrics.count_request("refused");
    log_event!(
        info,
        events::REFUSED,
        request = request.id,
        route = request.route.name,
        reason = reason,
        elapsed_ms = Moment::now().millis_since(request.arrived),
        return_after_ms = return_after_ms
    );
    ServeOutcome::NotRun { reason, return_after_ms }
}

fn lost(parts: &ServeParts, request: &AcceptedRequest, is_over: bool, runs: u32) -> ServeOutcome {
    parts.metrics.count_request(if is_over { "timed-out" } else { "lost" });
    log_event!(
        warn,
        events::LOST,
        request = request.id,
        route = request.route.name,
        timed_out = is_over,
        runs = runs,
        elapsed_ms = Moment::now().millis_since(request.arrived)
    );
    if is_over { ServeOutcome::TimedOut } else { ServeOutcome::Lost }
}

/// A place in the line for memory at engines; given up when this is dropped.
struct LinePlace {
    parts: Rc<ServeParts>,
    ticket: u64,
}

impl LinePlace {
    fn join(parts: &Rc<ServeParts>, request: &AcceptedRequest) -> Self {
        let ticket = parts.line.borrow_mut().join(request.priority(), request.arrived);
        Self { parts: Rc::clone(parts), ticket }
    }

    fn is_first(&self) -> bool {
        self.parts.line.borrow().is_first(self.ticket)
    }

    fn ahead(&self) -> usize {
        self.parts.line.borrow().ahead_of(self.ticket)
    }
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        self.parts.line.borrow_mut().leave(self.ticket);
    }
}

/// Logs that a caller left while it waited: its request is dropped with all that it uses.
struct CallerWatch {
    parts: Rc<ServeParts>,
    request: Rc<AcceptedRequest>,
    is_armed: bool,
}

impl CallerWatch {
    fn new(parts: &Rc<ServeParts>, request: &Rc<AcceptedRequest>) -> Self {
        Self { parts: Rc::clone(parts), request: Rc::clone(request), is_armed: true }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if self.is_armed {
            self.parts.metrics.count_request("caller-left");
            let elapsed = Moment::now().millis_since(self.request.arrived);
            log_event!(info, events::CALLER_LEFT, request = self.request.id, elapsed_ms = elapsed);
        }
    }
}
