//! Serves accepted requests: from the choice of a service to the final answer.

use crate::events;
use crate::members::queue_exchange::note_return;
use crate::request::accepted_request::AcceptedRequest;
use crate::request::answer_body::AnswerBody;
use crate::request::answer_timeout::return_after_ms;
use crate::request::attempt::CompleteAnswer;
use crate::request::event_relay::relay_response;
use crate::request::outcome::{QueueRefusal, SendRecord, ServeOutcome, expected_text};
use crate::request::refusal_reason::RefusalReason;
use crate::request::request_plan::draw_service;
use crate::request::request_run::{RequestRun, SendResult};
use crate::request::send_bar::{SendBar, bar_text};
use crate::request::send_gate::reopening;
use crate::serve_config::ServeConfig;
use crate::serve_context::ServeContext;
use guava_log::log_event;
use guava_policy::MIN_RETURN_MS;
use guava_types::{Deadline, Moment};
use http::Response;
use std::rc::Rc;

/// Minimum retry delay for a quarantined request: daemons do not agree to the millisecond on when a
/// quarantine ends.
const MIN_QUARANTINE_RETRY_MS: u64 = 1_000;

/// Serves a request until it is answered, refused, lost or timed out. Dropping the future abandons
/// the request at its upstream; a stream's body continues to be served after the return.
pub async fn serve_request(
    context: &Rc<ServeContext>,
    config: &Rc<ServeConfig>,
    request: AcceptedRequest,
) -> ServeOutcome {
    let request = Rc::new(request);
    let leaving = context.leaving.get();
    if leaving.is_some_and(|times| times.may_cut(request.deadline, Moment::now())) {
        return refused(context, &request, RefusalReason::Leaving, None);
    }
    let Some(service) = draw_service(&request.route, rand::random()).cloned() else {
        let reason = RefusalReason::NoUpstream;
        return refused(context, &request, reason, Some(SendBar::NoUpstream));
    };
    // Retries are earned where they are spent.
    if request.is_forwarded || !context.reach.borrow().is_lost() {
        context.retries.borrow_mut().earn(&service);
    }
    let mut run = RequestRun {
        context: Rc::clone(context),
        config: Rc::clone(config),
        request: Rc::clone(&request),
        service,
        record: SendRecord::new(&request),
        is_retry_reserved: false,
        is_turned_away: false,
        has_turn: false,
        is_charged: false,
        first_attempt: None,
        was_forwarded: false,
        first_ms: None,
    };
    let watch = CallerWatch::new(context, &request);
    let result = run.send(None).await;
    watch.disarm();
    match result {
        SendResult::Complete(answer) => answered(&run, answer),
        SendResult::Stream(stream) => {
            let first_ms = Moment::now().millis_since(request.arrived);
            run.first_ms = Some(first_ms);
            run.note_begun(&stream.source);
            context.metrics.time_first(first_ms);
            ServeOutcome::Answered(relay_response(run, *stream))
        }
        SendResult::Forwarded(response) => {
            context.metrics.count_request("forwarded");
            ServeOutcome::Answered(response)
        }
        SendResult::NoAnswer { is_timed_out } => match run.record.refusal() {
            Some(RefusalReason::Quarantined) => {
                quarantined(&run, run.record.quarantined_until.unwrap_or_default())
            }
            Some(_) if is_timed_out => {
                refused(context, &request, RefusalReason::TooLate, run.record.ended_by)
            }
            Some(reason) if reason.is_final() => refused_for_good(&run, reason),
            Some(reason) => expect_return(&run, refuse_until_open(&run, reason)),
            None => failed(&run, is_timed_out),
        },
    }
}

fn answered(run: &RequestRun, answer: CompleteAnswer) -> ServeOutcome {
    let RequestRun { context, request, .. } = run;
    let elapsed = Moment::now().millis_since(request.arrived);
    context.metrics.time_first(elapsed);
    context.metrics.time_whole(elapsed);
    context.metrics.count_request("answered");
    log_event!(
        info,
        events::ANSWERED,
        request = request.id,
        customer = request.customer(),
        status = answer.status.as_u16(),
        elapsed_ms = elapsed,
        bytes = answer.body.len(),
        runs = run.record.ledger.runs()
    );
    let mut response = Response::new(AnswerBody::held(answer.body, answer.held));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    ServeOutcome::Answered(response)
}

/// Refuses a quarantined request until its quarantine ends.
fn quarantined(run: &RequestRun, until: Deadline) -> ServeOutcome {
    let left_ms = until.millis_left(Moment::now()).max(MIN_QUARANTINE_RETRY_MS);
    let RequestRun { context, request, record, .. } = run;
    refused_for(context, request, RefusalReason::Quarantined, record.ended_by, left_ms)
}

/// Refuses a request that can't be served later either: its caller is told the end of its own time.
fn refused_for_good(run: &RequestRun, reason: RefusalReason) -> ServeOutcome {
    let RequestRun { context, request, record, .. } = run;
    let left_ms = request.caller_deadline.millis_left(Moment::now());
    refused_for(context, request, reason, record.ended_by, left_ms.max(MIN_RETURN_MS))
}

/// Notes that the caller of a request that was refused for want of room is to return.
fn expect_return(run: &RequestRun, outcome: ServeOutcome) -> ServeOutcome {
    if let ServeOutcome::NotRun { reason, return_after_ms } = &outcome
        && reason.is_for_room()
    {
        let now = Moment::now();
        let due = Deadline::after(now, *return_after_ms);
        note_return(&run.context, &run.request, run.first_attempt(), due, now);
    }
    outcome
}

/// Refuses a request. If all upstreams are closed and it is known when the first one reopens, the
/// caller is told to return after that moment.
fn refuse_until_open(run: &RequestRun, reason: RefusalReason) -> ServeOutcome {
    let now = Moment::now();
    let rule = run.config.service(&run.service);
    let Some(reopens_at) = rule.and_then(|rule| reopening(&run.context, rule, now)) else {
        return match run.record.shed {
            Some(shed) => refused_from_queue(run, shed),
            None => refused(&run.context, &run.request, reason, run.record.ended_by),
        };
    };
    let closed = RefusalReason::UpstreamsClosed;
    let spread_ms = return_after_ms(closed, rand::random());
    let return_after_ms = reopens_at.millis_since(now) + spread_ms;
    refused_for(&run.context, &run.request, closed, run.record.ended_by, return_after_ms)
}

fn refused(
    context: &ServeContext,
    request: &AcceptedRequest,
    reason: RefusalReason,
    bar: Option<SendBar>,
) -> ServeOutcome {
    refused_for(context, request, reason, bar, return_after_ms(reason, rand::random()))
}

fn refused_from_queue(run: &RequestRun, refusal: QueueRefusal) -> ServeOutcome {
    let RequestRun { context, request, record, .. } = run;
    let reason = RefusalReason::Crowded;
    context.metrics.count_refusal(reason.name());
    log_event!(
        info,
        events::REFUSED,
        request = request.id,
        route = request.route.name,
        customer = request.customer(),
        reason = reason,
        barred_by = bar_text(record.ended_by),
        ahead = refusal.place.ahead,
        expected_ms = expected_text(refusal.place),
        elapsed_ms = Moment::now().millis_since(request.arrived),
        return_after_ms = refusal.return_after_ms
    );
    ServeOutcome::NotRun { reason, return_after_ms: refusal.return_after_ms }
}

fn refused_for(
    context: &ServeContext,
    request: &AcceptedRequest,
    reason: RefusalReason,
    bar: Option<SendBar>,
    return_after_ms: u64,
) -> ServeOutcome {
    context.metrics.count_refusal(reason.name());
    log_event!(
        info,
        events::REFUSED,
        request = request.id,
        route = request.route.name,
        customer = request.customer(),
        reason = reason,
        barred_by = bar_text(bar),
        elapsed_ms = Moment::now().millis_since(request.arrived),
        return_after_ms = return_after_ms
    );
    ServeOutcome::NotRun { reason, return_after_ms }
}

fn failed(run: &RequestRun, is_timed_out: bool) -> ServeOutcome {
    let RequestRun { context, request, record, .. } = run;
    context.metrics.count_request(if is_timed_out { "timed-out" } else { "lost" });
    log_event!(
        warn,
        events::REQUEST_FAILED,
        request = request.id,
        route = request.route.name,
        customer = request.customer(),
        timed_out = is_timed_out,
        runs = record.ledger.runs(),
        barred_by = bar_text(record.ended_by),
        elapsed_ms = Moment::now().millis_since(request.arrived)
    );
    if is_timed_out { ServeOutcome::TimedOut } else { ServeOutcome::Lost }
}

/// Logs that the caller left before the answer: the request's future, and this guard with it, is
/// dropped then.
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
            log_event!(
                info,
                events::CALLER_LEFT,
                request = self.request.id,
                route = self.request.route.name,
                customer = self.request.customer(),
                elapsed_ms = elapsed
            );
        }
    }
}
