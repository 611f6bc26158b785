//! A request's way: from the choice of its service to its final answer.

use crate::events;
use crate::request::accepted_request::AcceptedRequest;
use crate::request::answer_body::AnswerBody;
use crate::request::answer_timeout::return_after_ms;
use crate::request::attempt::WholeAnswer;
use crate::request::event_relay::relay;
use crate::request::outcome::{RefusalReason, SendRecord, ServeOutcome};
use crate::request::request_plan::draw_service;
use crate::request::request_run::{RequestRun, SendResult};
use crate::request::send_gate::reopening;
use crate::serve_config::ServeConfig;
use crate::serve_context::ServeContext;
use guava_log::log_event;
use guava_types::{Deadline, Moment};
use http::Response;
use std::rc::Rc;

/// When a stopped request whose time is just over may come back at the earliest, in milliseconds:
/// its end is not known to the millisecond at all daemons.
const LEAST_STOP_MS: u64 = 1_000;

/// Serves a request: from the choice of an upstream to its answer.
pub async fn serve_request(
    context: &Rc<ServeContext>,
    config: &Rc<ServeConfig>,
    request: AcceptedRequest,
) -> ServeOutcome {
    let request = Rc::new(request);
    let Some(service) = draw_service(&request.route, rand::random()).cloned() else {
        return refused(context, &request, RefusalReason::NoUpstream);
    };
    context.retries.borrow_mut().earn(&service);
    let mut run = RequestRun {
        context: Rc::clone(context),
        config: Rc::clone(config),
        request: Rc::clone(&request),
        service,
        record: SendRecord::default(),
        is_paid: false,
        first_ms: None,
    };
    let leaving = CallerWatch::new(context, &request);
    let result = run.send(None).await;
    leaving.disarm();
    match result {
        SendResult::Whole(answer) => answered(context, &request, answer),
        SendResult::Stream(stream) => {
            let first_ms = Moment::now().millis_since(request.arrived);
            run.first_ms = Some(first_ms);
            context.metrics.time_first(first_ms);
            ServeOutcome::Answered(relay(run, *stream))
        }
        SendResult::GivenUp { is_over } => match run.record.refusal() {
            Some(RefusalReason::Stopped) => {
                stopped(context, &request, run.record.quarantined_until.unwrap_or_default())
            }
            Some(_) if is_over => refused(context, &request, RefusalReason::TooLate),
            Some(reason) => refuse_until_open(&run, reason),
            None => lost(context, &request, is_over, run.record.runs),
        },
    }
}

fn answered(
    context: &ServeContext,
    request: &AcceptedRequest,
    answer: WholeAnswer,
) -> ServeOutcome {
    let elapsed = Moment::now().millis_since(request.arrived);
    context.metrics.time_first(elapsed);
    context.metrics.time_whole(elapsed);
    context.metrics.count_request("answered");
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
fn stopped(context: &ServeContext, request: &AcceptedRequest, until: Deadline) -> ServeOutcome {
    let left_ms = until.millis_left(Moment::now()).max(LEAST_STOP_MS);
    refused_for(context, request, RefusalReason::Stopped, left_ms)
}

/// Refuses a request; where all upstreams may get nothing for a known time, for that time.
fn refuse_until_open(run: &RequestRun, reason: RefusalReason) -> ServeOutcome {
    let now = Moment::now();
    let rule = run.config.service(&run.service);
    let Some(opens) = rule.and_then(|rule| reopening(&run.context, rule, now)) else {
        return refused(&run.context, &run.request, reason);
    };
    let closed = RefusalReason::UpstreamsClosed;
    let spread_ms = return_after_ms(closed, rand::random());
    refused_for(&run.context, &run.request, closed, opens.millis_since(now) + spread_ms)
}

fn refused(
    context: &ServeContext,
    request: &AcceptedRequest,
    reason: RefusalReason,
) -> ServeOutcome {
    refused_for(context, request, reason, return_after_ms(reason, rand::random()))
}

fn refused_for(
    context: &ServeContext,
    request: &AcceptedRequest,
    reason: RefusalReason,
    return_after_ms: u64,
) -> ServeOutcome {
    context.metrics.count_request("refused");
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

fn lost(
    context: &ServeContext,
    request: &AcceptedRequest,
    is_over: bool,
    runs: u32,
) -> ServeOutcome {
    context.metrics.count_request(if is_over { "timed-out" } else { "lost" });
    log_event!(
        warn,
        events::REQUEST_FAILED,
        request = request.id,
        route = request.route.name,
        timed_out = is_over,
        runs = runs,
        elapsed_ms = Moment::now().millis_since(request.arrived)
    );
    if is_over { ServeOutcome::TimedOut } else { ServeOutcome::Lost }
}

/// Logs that a caller left while it waited: its request is dropped with all that it uses.
struct CallerWatch {
    context: Rc<ServeContext>,
    request: Rc<AcceptedRequest>,
    is_armed: bool,
}

impl CallerWatch {
    fn new(context: &Rc<ServeContext>, request: &Rc<AcceptedRequest>) -> Self {
        Self { context: Rc::clone(context), request: Rc::clone(request), is_armed: true }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if self.is_armed {
            self.context.metrics.count_request("caller-left");
            let elapsed = Moment::now().millis_since(self.request.arrived);
            log_event!(info, events::CALLER_LEFT, request = self.request.id, elapsed_ms = elapsed);
        }
    }
}
