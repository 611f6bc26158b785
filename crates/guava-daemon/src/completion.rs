//! Completions: admitted, routed, started on an engine, and read until the first chunk is there.

use crate::admit::{AdmitGuard, admit};
use crate::announcement_handler::{note_announcements, pass};
use crate::cache_messages::note_computed;
use crate::context::DaemonContext;
use crate::crash_watch::{note_interrupted, stop_refusal};
use crate::engine_choice::{
    EngineChoice, PromptWork, choose_engine, engine_count, engines_reopen_in_ms,
};
use crate::events;
use crate::export_ring::PrefixNote;
use crate::lock::locked;
use crate::outcome::{CallOutcome, Refusal, RefusalKind};
use crate::readiness::readiness_refusal;
use crate::run_feed::{FeedError, FeedStep, RunFeed};
use crate::work_gauge::WorkGuard;
use guava_log::log_event;
use guava_outside::{AttemptLedger, CompletionOrder, HttpError, SendError, SendPermit, Usage};
use guava_policy::{AdmitDecision, ReplyChunk, RetryAfter};
use guava_state::ModelSpec;
use guava_types::{
    ByteCount, CustomerId, Deadline, ModelName, Moment, RequestDigest, TokenCount, UpstreamId,
    VersionName,
};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

const MAX_TOKENS: u32 = 8_192;
const DEFAULT_TOKENS: u32 = 16;
const MAX_ATTEMPTS: usize = 4;
const COME_BACK_MS: u64 = 500;
/// How long the head of an engine's answer may take.
const HEAD_MS: u64 = 1_500;
/// A first token later than so many times the worst expectation, and this much, is sought
/// elsewhere. The worst, since what is believed to be cached may have been evicted.
const PATIENCE_FACTOR: f64 = 2.0;
const PATIENCE_MS: f64 = 300.0;

/// Fields of an engine's order that are not the caller's to set.
const RESERVED: [&str; 4] = ["request", "version", "cache_salt", "import"];

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

/// A completion as callers ask for it.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Box<str>,
    /// Tokens to generate at most.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer as events.
    #[serde(default)]
    pub stream: bool,
    /// Smaller runs first at the engine.
    #[serde(default)]
    pub priority: u32,
    /// Bytes at the prompt's start that will come back; a hint for what to keep.
    #[serde(default)]
    pub cache_prefix_bytes: Option<usize>,
    /// Everything else, for the engine.
    #[serde(flatten)]
    pub parameters: serde_json::Map<String, serde_json::Value>,
}

impl CompletionRequest {
    /// Reads and checks a body.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let request: Self =
            serde_json::from_slice(body).map_err(|error| format!("body: {error}"))?;
        // The engine reads these beside the caller's own parameters: a caller that could set its
        // cache salt would be served from another customer's cache.
        let reserved = RESERVED.iter().find(|name| request.parameters.contains_key(**name));
        if let Some(name) = reserved {
            return Err(format!("{name}: is set by the system, not by callers"));
        }
        if request.prompt.is_empty() {
            return Err("prompt: must not be empty".into());
        }
        if request.max_tokens == 0 || request.max_tokens > MAX_TOKENS {
            return Err(format!(
                "max_tokens: found {}, allowed: 1 to {MAX_TOKENS}",
                request.max_tokens
            ));
        }
        Ok(request)
    }
}

/// Who asks, and until when.
#[derive(Clone, Debug)]
pub struct CallerInfo {
    /// The request's id.
    pub request: Box<str>,
    /// The customer.
    pub customer: CustomerId,
    /// Which attempt this is.
    pub attempt: Option<u32>,
    /// When the caller stops waiting.
    pub deadline: Deadline,
    /// What is asked for, whichever attempt; nothing if that is not known yet.
    pub digest: Option<RequestDigest>,
}

/// A run whose first chunk is there.
pub struct StartedRun {
    /// The run.
    pub feed: RunFeed,
    /// Its first chunks; none if the answer is empty.
    pub first: FeedStep,
    /// The engine.
    pub upstream: UpstreamId,
    /// The version.
    pub version: VersionName,
    /// What it was ordered to import.
    pub import: Option<OrderedImport>,
    /// Held until the run is over.
    #[expect(dead_code, reason = "its drop gives everything back")]
    pub holds: RunHolds,
}

/// An import that a run was ordered to make.
pub struct OrderedImport {
    /// From which store.
    pub store: UpstreamId,
    /// Its size.
    pub bytes: ByteCount,
}

/// Learns from a finished run what the link of its import carried.
pub fn note_import(context: &DaemonContext, import: Option<&OrderedImport>, usage: &Usage) {
    let Some(import) = import.filter(|_| usage.import_ms > 0) else { return };
    let Some(spec) = context.state.view().upstream(&import.store).cloned() else { return };
    let mut rates = locked(&context.link_rates);
    rates.note(&import.store, import.bytes, usage.import_ms, spec.link, Moment::now());
}

/// What a run holds while it is in progress.
pub struct RunHolds {
    _admitted: Option<AdmitGuard>,
    _work: WorkGuard,
    _load: Option<LoadHold>,
}

impl RunHolds {
    /// What a run holds that is only read on here.
    pub fn reading(work: WorkGuard) -> Self {
        Self { _admitted: None, _work: work, _load: None }
    }
}

/// Work counted at an engine until it is dropped.
struct LoadHold {
    context: Arc<DaemonContext>,
    upstream: UpstreamId,
    ticket: u64,
}

impl LoadHold {
    fn new(context: &Arc<DaemonContext>, choice: &EngineChoice) -> Self {
        let upstream = choice.client.upstream.clone();
        let TokenCount(tokens) = choice.cost.recompute;
        let ticket = locked(&context.loads).sent(
            &upstream,
            TokenCount(tokens),
            choice.cost.first_token_ms,
            Moment::now(),
        );
        Self { context: Arc::clone(context), upstream, ticket }
    }

    fn started(&self) {
        locked(&self.context.loads).started(&self.upstream, self.ticket, Moment::now());
    }
}

impl Drop for LoadHold {
    fn drop(&mut self) {
        locked(&self.context.loads).finished(&self.upstream, self.ticket);
    }
}

fn refused(caller: &CallerInfo, kind: RefusalKind, reason: &str, after_ms: u64) -> CallOutcome {
    CallOutcome::refused(caller.attempt, Refusal::later(kind, reason, after_ms))
}

fn admission_refusal(caller: &CallerInfo, decision: AdmitDecision) -> CallOutcome {
    match decision {
        AdmitDecision::OverLimit(RetryAfter(after_ms)) => {
            refused(caller, RefusalKind::OVER_LIMIT, "over the customer's limits", after_ms)
        }
        AdmitDecision::TooLate(RetryAfter(after_ms)) => {
            refused(caller, RefusalKind::OVERLOADED, "would not start in time", after_ms)
        }
        AdmitDecision::Admit | AdmitDecision::Queue => {
            refused(caller, RefusalKind::OVERLOADED, "no place", COME_BACK_MS)
        }
    }
}

/// Refuses new work that this daemon must not take.
pub fn check_readiness(context: &DaemonContext, caller: &CallerInfo) -> Result<(), CallOutcome> {
    match readiness_refusal(context) {
        Some(refusal) => Err(CallOutcome::refused(caller.attempt, refusal)),
        None => Ok(()),
    }
}

/// Refuses a request under which upstreams end; asked before each try, since other daemons may have
/// seen more ends meanwhile.
fn check_stopped(context: &DaemonContext, caller: &CallerInfo) -> Result<(), CallOutcome> {
    match caller.digest.and_then(|digest| stop_refusal(context, digest)) {
        Some(refusal) => Err(CallOutcome::refused(caller.attempt, refusal)),
        None => Ok(()),
    }
}

/// One try at one engine, as far as the first chunk.
enum TryEnd {
    Started(Box<StartedTry>),
    /// Nothing ran there.
    Refused(SendPermit, String),
    /// Nothing ran there: it has another version than was believed, which is known now.
    OtherVersion(SendPermit, String),
    /// It may have run there.
    Lost(String),
}

struct StartedTry {
    feed: RunFeed,
    first: FeedStep,
    hold: LoadHold,
}

fn order_of(
    caller: &CallerInfo,
    request: &CompletionRequest,
    choice: &EngineChoice,
) -> CompletionOrder {
    CompletionOrder {
        request: caller.request.clone(),
        model: request.model.clone(),
        version: choice.version.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        priority: request.priority,
        cache_salt: choice.chain.salt.clone(),
        import: choice.import.clone(),
        parameters: request.parameters.clone(),
    }
}

async fn try_engine(
    context: &Arc<DaemonContext>,
    caller: &CallerInfo,
    request: &CompletionRequest,
    choice: &EngineChoice,
    permit: SendPermit,
    may_move_on: bool,
) -> TryEnd {
    let upstream = &choice.client.upstream;
    // Looked up again just before the send: a word may have come since the choice.
    if !pass(context, upstream) {
        return TryEnd::Refused(permit, "engine may get nothing any more".into());
    }
    let sent = Moment::now();
    let hold = LoadHold::new(context, choice);
    let head = Deadline::in_millis(HEAD_MS).earlier(caller.deadline);
    let order = order_of(caller, request, choice);
    log_event!(
        info,
        events::COMPLETION_SENT,
        request = caller.request,
        daemon = context.me,
        upstream = upstream,
        permit = "repeatable",
        run = permit.run()
    );
    let stream = match choice.client.complete(permit, &order, head).await {
        Ok(stream) => stream,
        Err(failed) => return not_started(context, caller, request, choice, sent, failed),
    };
    note_announcements(context, upstream, &stream.announcements, sent);
    let client = choice.client.clone();
    let version = choice.version.clone();
    let mut feed = RunFeed::started(client, caller.request.clone(), version, stream);
    let answer_timeout = choice.cost.worst_ms * PATIENCE_FACTOR + PATIENCE_MS;
    let left = caller.deadline.time_left();
    let wait =
        if may_move_on { left.min(Duration::from_millis(answer_timeout as u64)) } else { left };
    match timeout(wait, feed.next()).await {
        Ok(Ok(first)) => {
            hold.started();
            TryEnd::Started(Box::new(StartedTry { feed, first, hold }))
        }
        Ok(Err(error)) => {
            locked(&context.loads).failed(upstream, Moment::now());
            if let Some(digest) = caller.digest {
                note_interrupted(context, upstream, digest);
            }
            TryEnd::Lost(error.to_string())
        }
        Err(_) => {
            tokio::spawn(async move { feed.cancel().await });
            TryEnd::Lost("no first token in time".into())
        }
    }
}

/// What a try that brought no stream says of the engine, and whether a run may have started.
fn not_started(
    context: &Arc<DaemonContext>,
    caller: &CallerInfo,
    request: &CompletionRequest,
    choice: &EngineChoice,
    sent: Moment,
    failed: SendError,
) -> TryEnd {
    let upstream = &choice.client.upstream;
    let SendError { error, unused } = failed;
    let reason = error.to_string();
    let has_other_version = match error {
        HttpError::Refused { announcements, loaded, .. } => {
            note_announcements(context, upstream, &announcements, sent);
            let mut reports = locked(&context.reports);
            let has_other_version = loaded.is_some();
            match loaded {
                Some(loaded) => reports.note_loaded(upstream, &request.model, loaded),
                None => reports.forget_loaded(upstream),
            }
            has_other_version
        }
        error => {
            locked(&context.loads).failed(upstream, Moment::now());
            if let (HttpError::Broken { .. }, Some(digest)) = (&error, caller.digest) {
                note_interrupted(context, upstream, digest);
            }
            false
        }
    };
    match unused {
        Some(permit) if has_other_version => TryEnd::OtherVersion(permit, reason),
        Some(permit) => TryEnd::Refused(permit, reason),
        None => TryEnd::Lost(reason),
    }
}

/// Starts a completion: the error is its final outcome.
pub async fn start_completion(
    context: &Arc<DaemonContext>,
    caller: &CallerInfo,
    request: &CompletionRequest,
) -> Result<StartedRun, CallOutcome> {
    let work = context.work.enter();
    check_readiness(context, caller)?;
    check_stopped(context, caller)?;
    let found = context.state.read(|state| {
        (state.model(&request.model).cloned(), state.customer(&caller.customer).cloned())
    });
    let (Some(model), Some(customer)) = found else {
        let refusal = Refusal::final_one(
            RefusalKind::NO_SUCH,
            format!("model: no model {} is configured", request.model),
        );
        return Err(CallOutcome::refused(caller.attempt, refusal));
    };
    let engines = engine_count(context, &request.model);
    let admitted = admit(context, &caller.customer, &customer, engines, caller.deadline).await;
    let mut admitted = admitted.map_err(|decision| admission_refusal(caller, decision))?;
    locked(&context.retries).earn();
    let (choice, started) = run_attempts(context, caller, request, &model).await?;
    admitted.first_token();
    let note = PrefixNote {
        salt: choice.chain.salt.clone(),
        hashes: kept_hashes(request, &choice),
        upstream: choice.client.upstream.clone(),
        model: request.model.clone(),
        version: choice.version.clone(),
    };
    let noting = Arc::clone(context);
    tokio::spawn(async move { note_computed(&noting, note).await });
    let import = choice.import.as_ref().zip(choice.import_store);
    let import =
        import.map(|(order, store)| OrderedImport { store, bytes: ByteCount(order.length) });
    Ok(StartedRun {
        import,
        feed: started.feed,
        first: started.first,
        upstream: choice.client.upstream,
        version: choice.version,
        holds: RunHolds { _admitted: Some(admitted), _work: work, _load: Some(started.hold) },
    })
}

/// Hashes of what is worth keeping: by the caller's hint, else all.
fn kept_hashes(
    request: &CompletionRequest,
    choice: &EngineChoice,
) -> Vec<guava_policy::PrefixHash> {
    const BLOCK_BYTES: usize = 256;
    let all = &choice.chain.hashes;
    let kept = request.cache_prefix_bytes.map_or(all.len(), |bytes| bytes / BLOCK_BYTES + 1);
    all.iter().take(kept).copied().collect()
}

async fn run_attempts(
    context: &Arc<DaemonContext>,
    caller: &CallerInfo,
    request: &CompletionRequest,
    model: &ModelSpec,
) -> Result<(EngineChoice, Box<StartedTry>), CallOutcome> {
    let mut tried: Vec<UpstreamId> = Vec::new();
    let mut ledger = AttemptLedger::new(MAX_ATTEMPTS);
    let mut last = String::from("no engine has the model loaded");
    let mut others = 0;
    while tried.len() < MAX_ATTEMPTS {
        if let Err(refusal) = check_stopped(context, caller) {
            return Err(if ledger.may_have_run() { CallOutcome::failed(last) } else { refusal });
        }
        let work = PromptWork {
            request: &caller.request,
            customer: &caller.customer,
            model: &request.model,
            prompt: &request.prompt,
            tried: &tried,
        };
        let Some(choice) = choose_engine(context, model, &work).await else { break };
        let Some(permit) = ledger.permit() else { break };
        let may_move_on = choice.others > 0 && tried.len() + 1 < MAX_ATTEMPTS;
        let end = try_engine(context, caller, request, &choice, permit, may_move_on).await;
        let reason = match end {
            TryEnd::Started(started) => return Ok((choice, started)),
            TryEnd::Refused(permit, reason) => {
                ledger.take_back(permit);
                reason
            }
            // It can be asked again, for the version that it has.
            TryEnd::OtherVersion(permit, reason) if others < MAX_ATTEMPTS => {
                ledger.take_back(permit);
                others += 1;
                last = reason;
                continue;
            }
            TryEnd::OtherVersion(permit, reason) => {
                ledger.take_back(permit);
                reason
            }
            TryEnd::Lost(reason) => reason,
        };
        let upstream = choice.client.upstream;
        log_event!(
            info,
            events::REROUTED,
            request = caller.request,
            from = upstream,
            reason = reason
        );
        tried.push(upstream);
        last = reason;
        if caller.deadline.passed(Moment::now()) || !locked(&context.retries).spend() {
            break;
        }
    }
    if ledger.may_have_run() {
        return Err(CallOutcome::failed(last));
    }
    let after_ms = engines_reopen_in_ms(context, &request.model).unwrap_or(COME_BACK_MS);
    Err(refused(caller, RefusalKind::NO_UPSTREAM, &last, after_ms))
}

/// Reads the rest of a run; the texts of all its chunks.
pub async fn collect_run(run: &mut StartedRun) -> Result<(Vec<ReplyChunk>, Usage), FeedError> {
    let mut chunks = Vec::new();
    let mut step = std::mem::replace(&mut run.first, FeedStep::Chunks(Vec::new()));
    loop {
        match step {
            FeedStep::Chunks(more) => chunks.extend(more),
            FeedStep::End(usage) => return Ok((chunks, usage)),
        }
        step = run.feed.next().await?;
    }
}
