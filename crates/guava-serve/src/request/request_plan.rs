//! Plans one send of a request: its service, its upstream, and the instructions for an engine.

use crate::events;
use crate::members::member_descriptor::MemberDescriptor;
use crate::parts::part_key::PartKey;
use crate::parts::save_ledger::PartSave;
use crate::parts::sent_prompt::SentPrompt;
use crate::request::accepted_request::{AcceptedRequest, PromptShape};
use crate::request::answer_timeout::first_answer_timeout_ms;
use crate::request::attempt_plan::AttemptPlan;
use crate::request::dialect::{EngineInstructions, SendPlan};
use crate::request::engine_choice::{EngineChoice, choose_engine, is_long};
use crate::request::engine_input::EngineInput;
use crate::request::outcome::SendRecord;
use crate::request::run_ledger::SendPermit;
use crate::request::send_gate::{gate_state, with_gate_input};
use crate::request::service_choice::{InstanceChoice, ServiceInput, choose_instance};
use crate::request::stream_scope::StreamScope;
use crate::request::version_hold::held_versions;
use crate::serve_config::{EngineTraits, RouteRule, ServeConfig};
use crate::serve_context::ServeContext;
use crate::upstreams::upstream_table::UpstreamEntry;
use crate::upstreams::work_table::ExpectedLoad;
use crate::weights::start_guard::StartGuard;
use guava_log::log_event;
use guava_policy::{QueueEntry, ReportTable};
use guava_types::{
    Deadline, MemberName, ModelName, Moment, ServiceName, SoftwareVersion, TokenCount, UpstreamId,
};
use std::rc::Rc;

/// Prompts with at least this many tokens to prefill are reported to peers in an immediate message:
/// their prefill keeps an engine busy for so long that the interval between summaries matters.
const MIN_IMMEDIATE_PROMPT: TokenCount = TokenCount(1_000);
/// Most shorter prompts kept for the next summary to peers.
const MAX_SUMMARY_PROMPTS: usize = 64;
/// Longest wait for a link, in milliseconds, after which a transfer is not begun, by the upstreams'
/// contract.
const LONGEST_LINK_WAIT_MS: u64 = 2_000;

/// Selects one of a route's services by a random number, in proportion to their weights.
///
/// `None` if the route has no services.
pub fn draw_service(route: &RouteRule, draw: u64) -> Option<&ServiceName> {
    let total: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut remainder = draw % total.max(1);
    for (service, weight) in &route.services {
        if remainder < u64::from(*weight) {
            return Some(service);
        }
        remainder -= u64::from(*weight);
    }
    route.services.first().map(|(service, _)| service)
}

/// Inputs of the plan of one send.
#[derive(Clone, Copy)]
pub struct PlanInput<'a> {
    /// Shared state of the request path.
    pub context: &'a ServeContext,
    /// The configuration under which the request was accepted.
    pub config: &'a ServeConfig,
    /// The request to send.
    pub request: &'a AcceptedRequest,
    /// The service drawn for the request.
    pub service: &'a ServiceName,
    /// Sends of the request so far.
    pub record: &'a SendRecord,
}

/// The next step for a request.
pub enum PlanStep {
    /// Send the request by this plan.
    Send(Box<AttemptPlan>),
    /// Queue the request: its prompt is long, and no engine has memory for it; or the instances of a
    /// plain service report their load, and all have as many requests as they may get.
    Crowded,
    /// No upstream may take the request now.
    NoOpenUpstream,
}

/// Plans a send to the service.
///
/// `PlanStep::Crowded` is returned only if `may_hold`; without it the request is sent to an upstream
/// that is full. `resume_after` takes precedence over the request's own resume position.
pub fn plan_attempt(input: PlanInput<'_>, resume_after: Option<&str>, may_hold: bool) -> PlanStep {
    let engine = engine_prompt(input);
    let mut step = match engine {
        Some((traits, prompt)) => plan_engine(input, traits, prompt, may_hold),
        None => plan_plain(input, may_hold),
    };
    if let PlanStep::Send(plan) = &mut step {
        let own = || input.request.resume_after.clone();
        plan.send.resume_after = resume_after.map(Into::into).or_else(own);
    }
    step
}

/// Engine properties and prompt of a request; `None` if the service has no engines, or the request no
/// prompt.
fn engine_prompt<'a>(input: PlanInput<'a>) -> Option<(&'a EngineTraits, &'a PromptShape)> {
    let traits = input.config.service(input.service)?.engine.as_ref()?;
    Some((traits, input.request.prompt.as_ref()?))
}

/// Whether the request goes to a plain service, or has no prompt.
pub fn is_plain(input: PlanInput<'_>) -> bool {
    engine_prompt(input).is_none()
}

/// Whether the request's prompt is long and no engine has memory for it now, or all instances of its
/// plain service are full.
pub fn is_crowded(input: PlanInput<'_>) -> bool {
    match engine_prompt(input) {
        Some((traits, prompt)) => {
            choose_for(input, traits, prompt).is_some_and(|choice| choice.is_crowded)
        }
        None => choose_plain(input, Moment::now()).is_some_and(|choice| choice.is_crowded),
    }
}

/// Whether the request may have to wait for room: it is a call to a plain service, or its prompt is
/// long. What a request without a prompt uses of an engine is not known, so it does not wait.
pub fn needs_room(input: PlanInput<'_>) -> bool {
    let service = input.config.service(input.service);
    let traits = service.and_then(|service| service.engine.as_ref());
    match (traits, &input.request.prompt) {
        (Some(traits), Some(prompt)) => is_long(prompt, traits),
        (Some(_), None) => false,
        (None, _) => true,
    }
}

/// What the request uses of its service: tokens of memory for a prompt, milliseconds for a call.
pub fn request_cost(input: PlanInput<'_>) -> f64 {
    engine_prompt(input)
        .map_or(ReportTable::INITIAL_SERVICE_MS, |(_, prompt)| prompt.memory().0 as f64)
}

/// Entry of the request in the queue of its service. A call must start early enough to be answered
/// in its objective.
pub fn queue_entry(input: PlanInput<'_>) -> QueueEntry {
    let request = input.request;
    let service_ms =
        if engine_prompt(input).is_some() { 0 } else { ReportTable::INITIAL_SERVICE_MS as u64 };
    let answer_by = Deadline::after(request.arrived, request.route.objective_ms);
    let answer_by = answer_by.earlier(request.deadline);
    QueueEntry {
        customer: request.customer_id().cloned(),
        rank: request.priority(),
        first_arrived: request.arrived,
        start_by: Deadline(answer_by.0.minus_millis(service_ms)),
        cost: request_cost(input),
    }
}

/// Whether any upstream to which the request was not yet sent may take it now, and is not known to
/// be full.
pub fn has_available_upstream(input: PlanInput<'_>) -> bool {
    match engine_prompt(input) {
        Some((traits, prompt)) => choose_for(input, traits, prompt).is_some(),
        None => choose_plain(input, Moment::now()).is_some_and(|choice| !choice.is_crowded),
    }
}

/// Logs a send with the values on which it was decided.
pub fn log_send(input: &PlanInput<'_>, plan: &AttemptPlan, permit: &SendPermit) {
    let PlanInput { request, config, record, .. } = input;
    let now = Moment::now();
    let left_ms = request.deadline.millis_left(now);
    let list_age_ms = input.context.list_age_ms(now).unwrap_or_default();
    let revision = input.context.upstreams.borrow().revision(&plan.send.upstream);
    let revision = revision.map(|revision| revision.to_string()).unwrap_or_default();
    let load = plan.report.map(|report| report.load.to_string()).unwrap_or_default();
    let load_age_ms = plan.report.map_or(0, |report| now.millis_since(report.received));
    let software = plan.software.as_ref().map_or("unknown", SoftwareVersion::as_str);
    let resumes = request.resumes.as_deref().unwrap_or_default();
    let use_kind = if plan.report.is_some() { "used" } else { "none" };
    input.context.metrics.count_reported_load(use_kind);
    input.context.metrics.count_permit(permit.ground().name());
    match &plan.send.engine {
        None => log_event!(
            info,
            events::SENT,
            request = request.id,
            route = request.route.name,
            customer = request.customer(),
            config = config.version,
            service = plan.service.name,
            upstream = plan.send.upstream,
            software = software,
            resumes = resumes,
            left_ms = left_ms,
            list_age_ms = list_age_ms,
            revision = revision,
            objective_ms = request.route.objective_ms,
            load = load,
            load_age_ms = load_age_ms,
            tries = record.tried.len(),
            run = permit.first(),
            runs_permitted = permit.permitted(),
            permitted_by = permit.ground()
        ),
        Some(instructions) => log_event!(
            info,
            events::PROMPT_SENT,
            request = request.id,
            route = request.route.name,
            customer = request.customer(),
            config = config.version,
            service = plan.service.name,
            upstream = plan.send.upstream,
            software = software,
            resumes = resumes,
            weights = instructions.version,
            expected_ms = plan.load.answer_ms.round(),
            reads = plan.load.prompt.0,
            fetches = instructions.fetch.iter().flatten().count(),
            saves = instructions.save.iter().flatten().count(),
            left_ms = left_ms,
            list_age_ms = list_age_ms,
            revision = revision,
            objective_ms = request.route.objective_ms,
            load = load,
            load_age_ms = load_age_ms,
            tries = record.tried.len(),
            run = permit.first(),
            runs_permitted = permit.permitted(),
            permitted_by = permit.ground()
        ),
    }
}

fn attempt_plan(
    input: PlanInput<'_>,
    upstream: UpstreamId,
    load: ExpectedLoad,
) -> Option<AttemptPlan> {
    let request = input.request;
    let service = input.config.service(input.service)?;
    let (address, software) = {
        let upstreams = input.context.upstreams.borrow();
        let entry = upstreams.entry(&upstream)?;
        (entry.address, entry.software.clone())
    };
    let now = Moment::now();
    let reports = input.context.reports.borrow();
    let runs = input.record.ledger.runs();
    let answer_timeout = first_answer_timeout_ms(&request.route, runs, load.answer_ms);
    let send = SendPlan {
        upstream: upstream.clone(),
        address,
        left_ms: request.deadline.millis_left(now),
        priority: load.priority,
        engine: None,
        resume_after: None,
    };
    Some(AttemptPlan {
        send,
        service: Rc::clone(service),
        software,
        load,
        wait: None,
        is_long: false,
        is_guess: false,
        report: reports.report(&upstream, now),
        pace: reports.pace(&upstream, now),
        answer_timeout: answer_timeout.map(|millis| Deadline::after(now, millis)),
        deadline: request.deadline,
    })
}

/// Makes a choice that may ask of each candidate whether it is closed now; `None` if the configuration
/// has no such service.
fn choose_open<T>(
    input: PlanInput<'_>,
    now: Moment,
    choose: impl FnOnce(&dyn Fn(&UpstreamEntry) -> bool) -> Option<T>,
) -> Option<T> {
    if matches!(input.record.scope, StreamScope::Nowhere(_)) {
        return None;
    }
    let rule = input.config.service(input.service)?;
    let held = held_versions(input.context, input.request, &input.record.scope, input.service, now);
    with_gate_input(input.context, rule, |gate| {
        choose(&|entry: &UpstreamEntry| {
            held.contains(&entry.software) || !gate_state(gate, entry, now).is_open()
        })
    })
}

/// Chooses an instance of a plain service by the current state; `None` if none may take the request.
fn choose_plain(input: PlanInput<'_>, now: Moment) -> Option<InstanceChoice> {
    let choose = |is_closed: &dyn Fn(&UpstreamEntry) -> bool| {
        choose_instance(&ServiceInput {
            service: input.service,
            upstreams: &input.context.upstreams.borrow(),
            work: &input.context.work.borrow(),
            reports: &input.context.reports.borrow(),
            daemons: &|| input.context.members.borrow().deployment_size(now),
            local_daemon: &input.context.identity.name,
            data_centre: &input.context.identity.data_centre,
            software: input.record.scope.software(),
            tried: &input.record.tried,
            is_closed,
            now,
            draw: rand::random(),
        })
    };
    choose_open(input, now, choose)
}

fn plan_plain(input: PlanInput<'_>, may_hold: bool) -> PlanStep {
    let Some(choice) = choose_plain(input, Moment::now()) else { return PlanStep::NoOpenUpstream };
    if choice.is_crowded && may_hold {
        return PlanStep::Crowded;
    }
    let answer_ms = choice.estimate.map(|estimate| estimate.answer_ms());
    let load = ExpectedLoad {
        answer_ms: answer_ms.unwrap_or(ReportTable::INITIAL_SERVICE_MS),
        priority: input.request.priority(),
        ..ExpectedLoad::default()
    };
    attempt_plan(input, choice.upstream, load)
        .map_or(PlanStep::NoOpenUpstream, |plan| PlanStep::Send(Box::new(plan)))
}

fn plan_engine(
    input: PlanInput<'_>,
    traits: &EngineTraits,
    prompt: &PromptShape,
    may_hold: bool,
) -> PlanStep {
    let context = input.context;
    let Some(choice) = choose_for(input, traits, prompt) else { return PlanStep::NoOpenUpstream };
    if choice.is_crowded && may_hold {
        return PlanStep::Crowded;
    }
    let now = Moment::now();
    let load = ExpectedLoad {
        prompt: choice.recompute,
        memory: prompt.memory(),
        answer_ms: choice.expected_ms,
        service_ms: context.read_ms(&choice.upstream, choice.recompute),
        priority: input.request.priority(),
    };
    let begins_by = Deadline::after(input.request.deadline.0, LONGEST_LINK_WAIT_MS);
    note_choice(context, prompt, &choice, (load.priority, begins_by), now);
    match attempt_plan(input, choice.upstream.clone(), load) {
        None => PlanStep::NoOpenUpstream,
        Some(mut plan) => {
            plan.is_long = choice.is_long;
            plan.is_guess = choice.is_guess;
            plan.wait = choice.fetch.as_ref().map(|fetch| fetch.wait.clone());
            plan.send.engine = Some(engine_instructions(context, &prompt.model, choice, now));
            PlanStep::Send(Box::new(plan))
        }
    }
}

/// Chooses an engine for a prompt by the current state; `None` if no engine may take it.
fn choose_for(
    input: PlanInput<'_>,
    traits: &EngineTraits,
    prompt: &PromptShape,
) -> Option<EngineChoice> {
    let context = input.context;
    let now = Moment::now();
    let members = context.members.borrow();
    let is_local = |member: &&MemberDescriptor| member.data_centre == context.identity.data_centre;
    let peers: Vec<MemberName> =
        members.reachable(now).filter(is_local).map(|member| member.name.clone()).collect();
    drop(members);
    let memory_fraction = context.memory_budget.borrow_mut().fraction(now);
    let choose = |is_closed: &dyn Fn(&UpstreamEntry) -> bool| {
        choose_engine(&EngineInput {
            request: input.request,
            prompt,
            service: input.service,
            traits,
            stores: &input.config.stores,
            upstreams: &context.upstreams.borrow(),
            work: &context.work.borrow(),
            parts: &context.part_index.borrow(),
            links: &context.links.borrow(),
            targets: &context.targets.borrow(),
            version_limits: context.bounds.version_limits,
            prefill: context.prefill.borrow().rate(),
            speeds: &context.speeds.borrow(),
            reports: &context.reports.borrow(),
            fixed_ms: context.prefill.borrow().fixed_ms(),
            memory_fraction,
            local_daemon: &context.identity.name,
            peers: &peers,
            data_centre: &context.identity.data_centre,
            software: input.record.scope.software(),
            tried: &input.record.tried,
            is_closed,
            now,
            draw: rand::random(),
        })
    };
    choose_open(input, now, choose)
}

fn engine_instructions(
    context: &ServeContext,
    model: &ModelName,
    choice: EngineChoice,
    now: Moment,
) -> EngineInstructions {
    // A request that has not begun by the time limit of its weights is withdrawn: what would arrive
    // later need not be fetched.
    let withdrawal = StartGuard::new(context, Some((model, choice.version))).deadline(now);
    let longest_ms = withdrawal.map_or(u64::MAX, |deadline| deadline.millis_left(now));
    // A fetch is bounded by the upstreams' clock. It is left out while that clock is not known.
    let fetch = choice.fetch.and_then(|fetch| {
        let until = context.upstream_clock_in(fetch.budget_ms.min(longest_ms), now)?;
        Some((fetch.sources, until))
    });
    let (fetch, fetch_until_ms) = match fetch {
        Some((sources, until)) => (sources, Some(until)),
        None => (Vec::new(), None),
    };
    EngineInstructions {
        version: choice.version,
        salt: choice.salt,
        fetch,
        fetch_until_ms,
        save: choice.save,
    }
}

/// Records the engine and stores that get a prompt's parts, and queues that for peers.
///
/// Long prefills and transfers go into an immediate message, other prompts into the next summary. The
/// prompt's last part is not recorded as shared: it belongs to one request or session.
fn note_choice(
    context: &ServeContext,
    prompt: &PromptShape,
    choice: &EngineChoice,
    (priority, begins_by): (u8, Deadline),
    now: Moment,
) {
    let keys: Vec<PartKey> =
        prompt.parts.iter().map(|part| PartKey::new(&choice.salt, &part.id)).collect();
    let mut index = context.part_index.borrow_mut();
    let shared = keys.len().saturating_sub(1);
    index.note_sent(&choice.upstream, &keys[..shared], prompt.memory(), now);
    let parts_saved = keys.iter().zip(&prompt.parts).zip(&choice.save);
    let saves: Vec<PartSave> = parts_saved
        .filter_map(|((key, part), store)| {
            store.map(|store| PartSave { key: *key, store, tokens: part.tokens, begins_by })
        })
        .collect();
    saves.iter().for_each(|save| index.note_saving(*save, now));
    let sent = SentPrompt {
        engine: choice.upstream.clone(),
        parts: keys.into_iter().take(shared).collect(),
        tokens: prompt.memory(),
        waiting: choice.recompute,
        priority,
        // Daemons of each data centre send long prompts to engines of all data centres. If they knew of
        // each other's only by summaries, once a second, they would choose the same engines, which then
        // preempt requests.
        is_for_all: !saves.is_empty() || choice.is_long,
        saves,
        transfers: choice.transfers.clone(),
    };
    let (sampling_factor, is_sparse) = {
        let members = context.members.borrow();
        (members.sampling_factor(), members.is_sparse())
    };
    for transfer in &choice.transfers {
        context.links.borrow_mut().note(*transfer, sampling_factor, now);
    }
    if is_sparse {
        // Few others use this engine, and shared parts have homes that all know.
        return;
    }
    if sent.waiting >= MIN_IMMEDIATE_PROMPT || !sent.transfers.is_empty() {
        context.just_sent.borrow_mut().push(sent);
        context.message_due.notify_one();
        return;
    }
    let mut summary_prompts = context.sent_prompts.borrow_mut();
    if summary_prompts.len() < MAX_SUMMARY_PROMPTS {
        summary_prompts.push(sent);
    }
}
