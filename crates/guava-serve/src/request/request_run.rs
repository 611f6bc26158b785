//! Sends a request to one upstream after another, until one answers or no attempt is left.

use crate::events;
use crate::members::origin_search::note_origin;
use crate::members::queue_exchange::first_attempt;
use crate::request::accepted_request::AcceptedRequest;
use crate::request::answer_body::AnswerBody;
use crate::request::attempt::{AttemptOutcome, CompleteAnswer, OpenStream, StreamSource, attempt};
use crate::request::freshness_wait::await_fresh_list;
use crate::request::outcome::{SendRecord, expected_text};
use crate::request::peer_forward::{ForwardOutcome, forward_request, is_sent_again};
use crate::request::queued_request::QueuedRequest;
use crate::request::refusal_reason::RefusalReason;
use crate::request::request_plan::{
    PlanInput, PlanStep, has_available_upstream, is_crowded, is_plain, log_send, needs_room,
    plan_attempt, queue_entry, request_cost,
};
use crate::request::run_ledger::SendPermit;
use crate::request::send_bar::SendBar;
use crate::request::stream_scope::StreamScope;
use crate::request::stream_search::find_scope;
use crate::request::version_hold::await_recorded;
use crate::serve_config::{RepeatRule, ServeConfig};
use crate::serve_context::ServeContext;
use crate::upstreams::upstream_crashes::quarantined_until;
use guava_log::log_event;
use guava_policy::{
    CustomerLedger, OriginNotice, QueueEntry, QueuePlace, QueueVerdict, StreamOrigin, TurnStep,
};
use guava_types::{Deadline, Moment, ServiceName};
use http::Response;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Upstreams that a request fails to reach before it is forwarded to a peer daemon, though this one
/// is not known to have lost its links.
const UNREACHED_BEFORE_FORWARD: u32 = 2;
/// Peer daemons to which a request is forwarded, one after the other.
const MAX_FORWARDS: usize = 2;
/// Interval between checks of a request that waits for weights or for a retry, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
/// For how long after its caller's time where a stream began is remembered, in milliseconds: what a
/// caller measures begins before its request arrives.
const TAKE_UP_SLACK_MS: u64 = 1_000;
/// How long a request waits for the publication of weights that engines have already, in
/// milliseconds: longer than the interval between two messages of the peer that reads publications.
const WEIGHTS_WAIT_MS: u64 = 700;

/// An accepted request that is being served, and the state of its attempts.
pub struct RequestRun {
    /// Shared state of the request path.
    pub context: Rc<ServeContext>,
    /// The configuration that was in force when the request was accepted.
    pub config: Rc<ServeConfig>,
    /// The request to serve.
    pub request: Rc<AcceptedRequest>,
    /// The service that was drawn for it.
    pub service: ServiceName,
    /// Outcomes of its attempts so far.
    pub record: SendRecord,
    /// Whether the next attempt has already been taken from the retry budget.
    pub is_retry_reserved: bool,
    /// Whether an instance that reports its load has turned it away.
    pub is_turned_away: bool,
    /// Whether it was chosen from the queue for the next attempt.
    pub has_turn: bool,
    /// Whether its customer was charged for it.
    pub is_charged: bool,
    /// When its caller's first attempt arrived; `None` until it waits in a queue.
    pub first_attempt: Option<Moment>,
    /// Whether it was already forwarded to peer daemons.
    pub was_forwarded: bool,
    /// Milliseconds from the request's arrival to a stream's first event.
    pub first_ms: Option<u64>,
}

/// Result of sending a request until it is answered.
pub enum SendResult {
    /// A complete answer.
    Complete(CompleteAnswer),
    /// A stream with its first events.
    Stream(Box<OpenStream>),
    /// The answer of a peer daemon, relayed as it arrives.
    Forwarded(Response<AnswerBody>),
    /// No answer, and no further attempt is permitted.
    NoAnswer {
        /// Whether the deadline has passed.
        is_timed_out: bool,
    },
}

impl RequestRun {
    /// Sends until there is an answer or no further attempt is permitted. A stream is resumed after
    /// the event `resume_after`, if given. If every attempt failed, an earlier complete answer with
    /// a server error is returned.
    pub async fn send(&mut self, resume_after: Option<&str>) -> SendResult {
        let mut fallback: Option<CompleteAnswer> = None;
        loop {
            self.record.is_list_stale = !await_fresh_list(&self.context).await;
            let now = Moment::now();
            if self.request.deadline.passed(now) {
                return self.end(fallback, SendBar::Deadline);
            }
            if self.record.is_list_stale {
                return self.end(fallback, SendBar::StaleList);
            }
            if let Some(bar) = self.record.bar() {
                return self.end(fallback, bar);
            }
            // Looked up before each attempt, as other daemons may have reported crashes meanwhile.
            self.record.quarantined_until = quarantined_until(&self.context, &self.request);
            if self.record.quarantined_until.is_some() {
                return self.end(fallback, SendBar::Quarantined);
            }
            if let Some(result) = self.forward(resume_after, &mut fallback).await {
                return result;
            }
            // A peer may have used what was permitted.
            if let Some(bar) = self.record.bar() {
                return self.end(fallback, bar);
            }
            if !self.bind_to_origin().await {
                return self.end(fallback, SendBar::StreamScope);
            }
            if !self.reserve_turned_away_retry().await {
                return self.end(fallback, SendBar::Budget);
            }
            await_recorded(&self.context, &self.request, &self.record.scope, &self.service).await;
            let plan = match self.plan(resume_after) {
                PlanStep::Send(plan) => plan,
                PlanStep::NoOpenUpstream => {
                    if !self.wait_for_weights().await {
                        return self.end(fallback, SendBar::NoUpstream);
                    }
                    continue;
                }
                PlanStep::Crowded => {
                    if !self.wait_in_queue().await {
                        return self.end(fallback, SendBar::Crowded);
                    }
                    continue;
                }
            };
            if !self.spend_retry() {
                return self.end(fallback, SendBar::Budget);
            }
            let permit = match self.record.permit(resume_after.is_some()) {
                Ok(permit) => permit,
                Err(bar) => return self.end(fallback, bar),
            };
            self.charge_customer();
            log_send(&self.plan_input(), &plan, &permit);
            self.record.tried.push(plan.send.upstream.clone());
            match attempt(&self.context, self.plan_input(), &plan, permit).await {
                AttemptOutcome::Complete(answer) => {
                    self.record.reached += 1;
                    if !self.is_worth_retry(&answer) {
                        return SendResult::Complete(answer);
                    }
                    self.context
                        .work
                        .borrow_mut()
                        .note_failed_answer(&plan.send.upstream, Moment::now());
                    fallback = Some(answer);
                }
                AttemptOutcome::Stream(stream) => {
                    self.record.reached += 1;
                    return SendResult::Stream(stream);
                }
                AttemptOutcome::NotSent(permit) => self.note_unreached(permit),
                // Each upstream is asked only once, so the loop ends when none is left.
                AttemptOutcome::Closed(permit) => self.record.ledger.give_back(permit),
                AttemptOutcome::Refused(permit) => self.note_refusal(permit),
                AttemptOutcome::TurnedAway(permit) => {
                    self.note_refusal(permit);
                    self.is_turned_away = true;
                    if self.record.ledger.runs() == 0 {
                        // It can be asked again once it has room.
                        self.record.tried.pop();
                    }
                }
                AttemptOutcome::OtherWeights(permit) => {
                    self.note_refusal(permit);
                    // It can be asked again, for the version that it has.
                    self.record.tried.pop();
                }
                AttemptOutcome::UnknownWeights(permit) => {
                    self.note_refusal(permit);
                    self.record.lacks_weights = true;
                    // It can be asked again once its version is known.
                    self.record.tried.pop();
                }
                AttemptOutcome::Abandoned => {
                    self.record.reached += 1;
                    self.is_retry_reserved = true;
                }
                AttemptOutcome::Lost | AttemptOutcome::Withdrawn => self.record.reached += 1,
                AttemptOutcome::TimedOut => {
                    self.record.reached += 1;
                    return self.end(fallback, SendBar::Deadline);
                }
            }
        }
    }

    /// Restricts a request that goes on with a stream to upstreams of the software version that began
    /// it. Returns false if there is none that may take it.
    async fn bind_to_origin(&mut self) -> bool {
        if self.record.scope == StreamScope::Any && self.request.takes_up() {
            self.record.scope = find_scope(&self.context, &self.request).await;
        }
        if let StreamScope::Only(origin) = &self.record.scope {
            self.service = origin.service.clone();
        }
        let upstreams = self.context.upstreams.borrow();
        self.record.is_version_gone = self.record.scope.is_version_gone(&upstreams, Moment::now());
        !self.record.is_version_gone && !matches!(self.record.scope, StreamScope::Nowhere(_))
    }

    /// Notes which upstream the first event of the answer is from, before the caller gets it: the rest
    /// of the stream may come only from others of its software version, also if it is taken up.
    pub fn note_begun(&mut self, source: &StreamSource) {
        if self.request.route.repeat != RepeatRule::ResumableStream {
            return;
        }
        if let StreamScope::Only(origin) = &self.record.scope {
            self.renew_origin(origin.clone());
        }
        if self.record.scope != StreamScope::Any {
            return;
        }
        let Some(software) = source.software.clone() else {
            self.record.scope = StreamScope::Nowhere(RefusalReason::StreamUnknown);
            return;
        };
        let origin = StreamOrigin { service: self.service.clone(), software };
        self.record.scope = StreamScope::Only(origin.clone());
        let homes = self.tell_origin(&self.request.id, origin.clone());
        log_event!(
            info,
            events::STREAM_BEGUN,
            request = self.request.id,
            service = origin.service,
            upstream = source.upstream,
            software = origin.software,
            told = address_list(&homes)
        );
    }

    /// Has where a stream that is taken up began remembered for the time of this attempt too: its caller
    /// may give each of its attempts its full time.
    fn renew_origin(&self, origin: StreamOrigin) {
        if let Some(attempt) = &self.request.resumes {
            self.tell_origin(attempt, origin);
        }
    }

    /// Tells other daemons where the stream that an attempt began comes from; returns which.
    fn tell_origin(&self, attempt: &str, origin: StreamOrigin) -> Vec<SocketAddr> {
        let until = Deadline::after(self.request.caller_deadline.0, TAKE_UP_SLACK_MS);
        let stream = self.request.stream_key(attempt);
        note_origin(&self.context, OriginNotice { stream, origin, until }, Moment::now())
    }

    /// Forwards the request to a peer daemon, if this one does not reach upstreams; `None` if it is
    /// to be sent from here.
    async fn forward(
        &mut self,
        resume_after: Option<&str>,
        fallback: &mut Option<CompleteAnswer>,
    ) -> Option<SendResult> {
        let is_lost = self.context.reach.borrow().is_lost();
        let is_unreached =
            self.record.unreached >= UNREACHED_BEFORE_FORWARD && self.record.reached == 0;
        if !is_lost && !is_unreached {
            return None;
        }
        let may_forward = !self.request.is_forwarded && resume_after.is_none();
        let targets = if may_forward && !self.was_forwarded {
            self.context.members.borrow().forward_targets(Moment::now())
        } else {
            Vec::new()
        };
        self.was_forwarded = true;
        let mut bar = SendBar::NoReach;
        for peer in targets.into_iter().take(MAX_FORWARDS) {
            if let Some(reason) = self.record.bar() {
                bar = reason;
                break;
            }
            if !self.spend_retry() {
                bar = SendBar::Budget;
                break;
            }
            let permit = match self.record.permit_forward(is_sent_again(&self.request)) {
                Ok(permit) => permit,
                Err(reason) => {
                    bar = reason;
                    break;
                }
            };
            let (context, config) = (&self.context, &self.config);
            match forward_request(context, config, &self.request, peer, permit).await {
                ForwardOutcome::Answered(response) => return Some(SendResult::Forwarded(response)),
                ForwardOutcome::NotRun(permit) => self.note_unreached(permit),
                ForwardOutcome::Lost => {
                    self.record.reached += 1;
                    // The peer may know the stream as one that it began: with a second beginning, it
                    // would take the caller's stream for its own.
                    if self.request.begins_stream() {
                        return Some(self.end(fallback.take(), SendBar::PeerMayHaveBegun));
                    }
                }
                ForwardOutcome::TimedOut => {
                    self.record.reached += 1;
                    return Some(self.end(fallback.take(), SendBar::Deadline));
                }
            }
        }
        self.record.is_out_of_reach = is_lost;
        is_lost.then(|| self.end(fallback.take(), bar))
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

    fn plan(&mut self, resume_after: Option<&str>) -> PlanStep {
        // A request that may run at an upstream must not be queued as well. One that an engine refused
        // has waited there.
        let is_unused = if is_plain(self.plan_input()) {
            self.record.ledger.runs() == 0
        } else {
            self.record.reached == 0
        };
        let may_queue = resume_after.is_none() && is_unused && needs_room(self.plan_input());
        let has_turn = std::mem::take(&mut self.has_turn);
        if may_queue && !has_turn && (self.is_behind_others() || self.must_yield()) {
            return PlanStep::Crowded;
        }
        plan_attempt(self.plan_input(), resume_after, may_queue)
    }

    /// Whether others wait for the room that the request needs.
    fn is_behind_others(&self) -> bool {
        !self.context.queues.borrow().is_empty(&self.service)
    }

    /// Whether the request leaves the room to others that wait at other daemons.
    fn must_yield(&self) -> bool {
        let ledgers = self.context.customer_ledgers.borrow();
        let (request, now) = (&self.request, Moment::now());
        let must_yield = |ledger: &CustomerLedger| {
            ledger.must_yield(request.customer_id(), request.priority(), now)
        };
        ledgers.get(&self.service).is_some_and(must_yield)
    }

    /// When the first attempt of the request's caller arrived.
    pub fn first_attempt(&self) -> Moment {
        self.first_attempt.unwrap_or(self.request.arrived)
    }

    /// Until when the request may wait in this daemon.
    fn wait_limit(&self) -> Deadline {
        let request = &self.request;
        Deadline::after(request.arrived, request.route.objective_ms).earlier(request.deadline)
    }

    /// Takes the next attempt of a request that instances turned away, and that has not run, from the
    /// retry budget before it waits for room; waits for the budget if it is exhausted. Returns false if
    /// it may not be sent again in time.
    async fn reserve_turned_away_retry(&mut self) -> bool {
        if !self.is_turned_away || self.record.ledger.runs() > 0 || self.is_retry_reserved {
            return true;
        }
        while !self.spend_retry() {
            if self.wait_limit().passed(Moment::now()) {
                return false;
            }
            sleep(poll_interval()).await;
        }
        self.is_retry_reserved = true;
        true
    }

    /// Queues the request until an upstream has room for it. Returns false if it is refused: it has
    /// not started in time or, at the rate at which the queue drains, would not.
    async fn wait_in_queue(&mut self) -> bool {
        if self.first_attempt.is_none() {
            let first = first_attempt(&self.context, &self.request, Moment::now());
            self.first_attempt = Some(first);
        }
        let first_arrived = self.first_attempt();
        let entry = QueueEntry { first_arrived, ..queue_entry(self.plan_input()) };
        let queued = QueuedRequest::join(&self.context, &self.service, entry);
        let mut is_logged = false;
        loop {
            match queued.verdict() {
                QueueVerdict::Ask => match self.take_turn(&queued) {
                    TurnStep::Start => {
                        queued.start();
                        self.has_turn = true;
                        return true;
                    }
                    TurnStep::Yield => queued.note_yield(),
                    TurnStep::NoRoom => queued.note_misfit(),
                },
                QueueVerdict::Refuse => {
                    self.context.use_gossip.borrow_mut().note_crowd(Moment::now());
                    self.record.shed = Some(queued.refuse(self.request.deadline));
                    return false;
                }
                QueueVerdict::Wait => {
                    self.context.use_gossip.borrow_mut().note_crowd(Moment::now());
                    if !std::mem::replace(&mut is_logged, true) {
                        self.log_queued(queued.place());
                    }
                    queued.wait().await;
                }
            }
        }
    }

    /// Waits once until an upstream may take a request that engines refused for weights whose
    /// publication is not known here yet. Returns false if none may in time.
    async fn wait_for_weights(&mut self) -> bool {
        if !std::mem::take(&mut self.record.lacks_weights) {
            return false;
        }
        let until = Deadline::in_millis(WEIGHTS_WAIT_MS).earlier(self.request.deadline);
        while !until.passed(Moment::now()) {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            if has_available_upstream(self.plan_input()) {
                return true;
            }
        }
        false
    }

    fn take_turn(&self, queued: &QueuedRequest) -> TurnStep {
        let step = queued.judge(self.must_yield(), !is_crowded(self.plan_input()));
        self.context.metrics.count_turn(step.name());
        step
    }

    fn log_queued(&self, place: QueuePlace) {
        log_event!(
            info,
            events::QUEUED,
            request = self.request.id,
            customer = self.request.customer(),
            service = self.service,
            first_ms = Moment::now().millis_since(self.first_attempt()),
            ahead = place.ahead,
            expected_ms = expected_text(place)
        );
    }

    /// Charges the customer for the request, once.
    fn charge_customer(&mut self) {
        if std::mem::replace(&mut self.is_charged, true) {
            return;
        }
        let cost = request_cost(self.plan_input());
        let mut ledgers = self.context.customer_ledgers.borrow_mut();
        if !ledgers.contains_key(&self.service) {
            ledgers.insert(self.service.clone(), CustomerLedger::default());
        }
        if let Some(ledger) = ledgers.get_mut(&self.service) {
            ledger.charge(self.request.customer_id(), cost, Moment::now());
        }
    }

    fn note_refusal(&mut self, permit: SendPermit) {
        self.record.sent_since.set(None);
        self.record.ledger.give_back(permit);
        self.record.reached += 1;
        self.record.refusals += 1;
    }

    fn note_unreached(&mut self, permit: SendPermit) {
        self.record.ledger.give_back(permit);
        self.record.unreached += 1;
    }

    /// The result of a request for which no further send is made.
    fn end(&mut self, fallback: Option<CompleteAnswer>, bar: SendBar) -> SendResult {
        self.context.metrics.count_bar(bar.name());
        self.record.ended_by = Some(bar);
        match fallback {
            Some(answer) => SendResult::Complete(answer),
            None => SendResult::NoAnswer { is_timed_out: bar == SendBar::Deadline },
        }
    }

    /// Reserves a retry if a stream that has begun can be resumed at another upstream. Returns
    /// whether one was reserved.
    pub fn reserve_retry(&mut self) -> bool {
        let is_timed_out = self.request.deadline.passed(Moment::now());
        let is_quarantined = quarantined_until(&self.context, &self.request).is_some();
        let may_retry = !is_timed_out && !is_quarantined && self.record.bar().is_none();
        let is_reserved =
            may_retry && has_available_upstream(self.plan_input()) && self.spend_retry();
        self.is_retry_reserved |= is_reserved;
        is_reserved
    }

    /// Takes an attempt from the retry budget, unless one is reserved or no attempt has reached an
    /// upstream yet. Returns false if the budget is exhausted.
    fn spend_retry(&mut self) -> bool {
        if self.record.reached == 0 || std::mem::take(&mut self.is_retry_reserved) {
            return true;
        }
        self.context.retries.borrow_mut().spend(&self.service)
    }

    /// Whether to try another upstream after this answer: a server error may be this upstream's
    /// alone.
    fn is_worth_retry(&self, answer: &CompleteAnswer) -> bool {
        answer.status.is_server_error() && self.record.bar().is_none()
    }
}

/// Interval between two checks, at random: daemons that wait for the same instances must not find
/// them free at the same moment.
fn poll_interval() -> Duration {
    let spread = POLL_INTERVAL_MS / 2;
    Duration::from_millis(spread + rand::random::<u64>() % POLL_INTERVAL_MS)
}

/// Addresses as a log value.
fn address_list(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    texts.join(" ")
}
