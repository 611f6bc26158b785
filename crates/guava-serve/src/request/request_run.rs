//! A request's sends: to one upstream after the other, until there is an answer or none may follow.

use crate::events;
use crate::request::accepted_request::AcceptedRequest;
use crate::request::attempt::{AttemptEnd, OpenStream, WholeAnswer, attempt};
use crate::request::freshness_wait::await_fresh_list;
use crate::request::outcome::SendRecord;
use crate::request::request_plan::{
    PlanInput, PlanStep, has_available_upstream, is_crowded, log_send, plan_attempt,
};
use crate::serve_config::ServeConfig;
use crate::serve_context::ServeContext;
use crate::upstreams::upstream_crashes::quarantined_until;
use guava_log::log_event;
use guava_types::{Deadline, Moment, ServiceName};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Upstreams that are tried for one request at most, refusals and failed connections included.
const MOST_TRIES: u32 = 4;
/// Pause between two looks at whether an engine has memory for a prompt in line, in milliseconds: a
/// tenth of the time that the shortest long prompt takes.
const HOLD_TICK_MS: u64 = 20;

/// A request that was accepted, on its way.
pub struct RequestRun {
    /// The parts it uses.
    pub context: Rc<ServeContext>,
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
            await_fresh_list(&self.context).await;
            let now = Moment::now();
            if self.request.deadline.passed(now) {
                return given_up(fallback, true);
            }
            if !self.may_try() {
                return given_up(fallback, false);
            }
            // Looked up before each send: what other daemons saw meanwhile counts.
            self.record.quarantined_until =
                quarantined_until(&self.context, || self.request.digest());
            if self.record.quarantined_until.is_some() {
                return given_up(fallback, false);
            }
            let plan = match self.plan(resume_after) {
                PlanStep::Send(plan) => plan,
                PlanStep::NoOpenUpstream => return given_up(fallback, false),
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
            log_send(&self.plan_input(), &plan);
            self.record.tried.push(plan.send.upstream.clone());
            match attempt(&self.context, self.plan_input(), &plan).await {
                AttemptEnd::Whole(answer) => {
                    self.note_run();
                    if !self.is_worth_retry(&answer) {
                        return SendResult::Whole(answer);
                    }
                    self.context
                        .work
                        .borrow_mut()
                        .note_failed_answer(&plan.send.upstream, Moment::now());
                    fallback = Some(answer);
                }
                AttemptEnd::Stream(stream) => {
                    self.note_run();
                    return SendResult::Stream(stream);
                }
                AttemptEnd::NotSent => self.record.unreached += 1,
                // Each is asked once, so that this ends with the upstreams.
                AttemptEnd::Closed => {}
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
            context: &self.context,
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
        let wait = self.context.memory_queue.borrow().expected_wait_ms(request.priority(), now);
        if wait.is_some_and(|wait_ms| Deadline::after(now, wait_ms) > until) {
            // It would be refused after that time anyway; told at once, its caller can go elsewhere.
            return false;
        }
        let place = QueuedPrompt::join(&self.context, request);
        log_event!(info, events::PROMPT_QUEUED, request = request.id, ahead = place.ahead());
        loop {
            sleep(Duration::from_millis(HOLD_TICK_MS)).await;
            if until.passed(Moment::now()) {
                return false;
            }
            if place.is_first() && !is_crowded(self.plan_input()) {
                self.context.memory_queue.borrow_mut().note_start(Moment::now());
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

    /// Whether a stream that has begun can go on at another upstream, whose try is then paid for.
    pub fn can_move(&mut self) -> bool {
        let is_over = self.request.deadline.passed(Moment::now());
        let is_stopped = quarantined_until(&self.context, || self.request.digest()).is_some();
        let may_move = !is_over && !is_stopped && self.may_try();
        let can_move = may_move && has_available_upstream(self.plan_input()) && self.pay();
        self.is_paid |= can_move;
        can_move
    }

    /// Pays for a send; the first that reaches an upstream is free.
    fn pay(&mut self) -> bool {
        if self.record.arrivals == 0 || std::mem::take(&mut self.is_paid) {
            return true;
        }
        self.context.retries.borrow_mut().spend(&self.service)
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

/// A place in the line for memory at engines; given up when this is dropped.
struct QueuedPrompt {
    context: Rc<ServeContext>,
    ticket: u64,
}

impl QueuedPrompt {
    fn join(context: &Rc<ServeContext>, request: &AcceptedRequest) -> Self {
        let ticket = context.memory_queue.borrow_mut().join(request.priority(), request.arrived);
        Self { context: Rc::clone(context), ticket }
    }

    fn is_first(&self) -> bool {
        self.context.memory_queue.borrow().is_first(self.ticket)
    }

    fn ahead(&self) -> usize {
        self.context.memory_queue.borrow().ahead_of(self.ticket)
    }
}

impl Drop for QueuedPrompt {
    fn drop(&mut self) {
        self.context.memory_queue.borrow_mut().leave(self.ticket);
    }
}
