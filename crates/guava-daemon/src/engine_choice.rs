//! Chooses an engine for a prompt: which version, which candidates, at what cost.

use crate::announcement_handler::{closed, reopens_in_ms};
use crate::cache_index::ReadGrant;
use crate::cache_messages::{CacheAnswer, lookup};
use crate::context::DaemonContext;
use crate::events;
use crate::lock::locked;
use guava_log::log_event;
use guava_outside::{EngineClient, ImportOrder};
use guava_policy::{
    BLOCK_TOKENS, CandidateCost, ImportOffer, NEAR_BEST_FRACTION, PrefixChain, PrefixHash,
    RouteCandidate, RouteDecision, RouteInput, decide_route, prefix_chain,
};
use guava_state::{ModelSpec, UpstreamKind, UpstreamSpec};
use guava_types::{CustomerId, ModelName, Moment, TokenCount, UpstreamId, VersionName};

/// What is to be routed.
pub struct PromptWork<'a> {
    /// The request's id.
    pub request: &'a str,
    /// Whose.
    pub customer: &'a CustomerId,
    /// The model.
    pub model: &'a ModelName,
    /// The prompt.
    pub prompt: &'a str,
    /// Engines that failed it already.
    pub tried: &'a [UpstreamId],
}

/// A chosen engine.
pub struct EngineChoice {
    /// Its client.
    pub client: EngineClient,
    /// The version that is to run.
    pub version: VersionName,
    /// The prompt's chain under that version.
    pub chain: PrefixChain,
    /// What to import first.
    pub import: Option<ImportOrder>,
    /// The store that it is imported from.
    pub import_store: Option<UpstreamId>,
    /// Its cost.
    pub cost: CandidateCost,
    /// How many others could have been chosen.
    pub others: usize,
}

/// Engines of a model that may get work now, with the version each has loaded.
fn open_engines(
    context: &DaemonContext,
    model: &ModelName,
) -> Vec<(UpstreamId, UpstreamSpec, VersionName)> {
    let mut engines = engines(context, model);
    engines.retain(|(id, ..)| closed(context, id).is_none());
    engines
}

/// Milliseconds until the first engine of a model may get work again, if none may now.
pub fn engines_reopen_in_ms(context: &DaemonContext, model: &ModelName) -> Option<u64> {
    reopens_in_ms(context, engines(context, model).iter().map(|(id, ..)| id))
}

/// Engines of a model that take new work, with the version each has loaded.
fn engines(
    context: &DaemonContext,
    model: &ModelName,
) -> Vec<(UpstreamId, UpstreamSpec, VersionName)> {
    let view = context.state.view();
    let leaving = locked(&context.leaving);
    let reports = locked(&context.reports);
    view.upstreams
        .iter()
        .filter(|(_, spec)| spec.kind == UpstreamKind::Engine && !spec.draining)
        .filter(|(id, spec)| spec.model.as_ref() == Some(model) && !leaving.is_leaving(id))
        .filter_map(|(id, spec)| {
            let version = reports.loaded(id, model)?;
            Some((id.clone(), spec.clone(), version))
        })
        .collect()
}

/// Engines of a model that take new work.
pub fn engine_count(context: &DaemonContext, model: &ModelName) -> u32 {
    u32::try_from(engines(context, model).len()).unwrap_or(u32::MAX)
}

/// The version for a new request. While a roll out is under way the previous version serves until
/// half of the engines have the current one: a single engine would else get all the load.
fn pick_version(
    model: &ModelSpec,
    engines: &[(UpstreamId, UpstreamSpec, VersionName)],
) -> VersionName {
    let count =
        |version: &VersionName| engines.iter().filter(|(_, _, loaded)| loaded == version).count();
    let current = count(&model.current);
    match &model.previous {
        Some(previous) if current * 2 < engines.len() && count(previous) > 0 => previous.clone(),
        _ => model.current.clone(),
    }
}

/// What decides which daemon takes an upstream first among equals.
fn upstream_seed(id: &UpstreamId) -> PrefixHash {
    let mut seed = [0; 16];
    seed.copy_from_slice(&blake3::hash(id.as_str().as_bytes()).as_bytes()[..16]);
    PrefixHash(seed)
}

fn candidates(
    context: &DaemonContext,
    engines: &[(UpstreamId, UpstreamSpec, VersionName)],
    version: &VersionName,
    tried: &[UpstreamId],
    answer: &CacheAnswer,
) -> Vec<RouteCandidate> {
    let now = Moment::now();
    let loads = locked(&context.loads);
    let peers = locked(&context.peer_table);
    let resident = |id: &UpstreamId| {
        let known = answer.found.residents.iter().find(|(other, _)| other == id);
        TokenCount(known.map_or(0, |(_, blocks)| *blocks as u64 * BLOCK_TOKENS))
    };
    engines
        .iter()
        .filter(|(id, _, loaded)| loaded == version && !tried.contains(id))
        .map(|(id, spec, _)| {
            let load = loads.load(id);
            RouteCandidate {
                upstream: id.clone(),
                wait_ms: load.wait_ms(now, spec.prefill),
                prefill: spec.prefill,
                over_slots: (load.running(now) + 1).saturating_sub(spec.slots),
                resident: resident(id),
                missing: None,
                slowness: load.slowness(now),
                is_preferred: peers.owner(context.me, upstream_seed(id), now).is_none(),
            }
        })
        .collect()
}

fn import_offer(context: &DaemonContext, answer: &CacheAnswer) -> Option<(ReadGrant, ImportOffer)> {
    let grant = answer.found.offer.clone()?;
    let view = context.state.view();
    let store = view.upstream(&grant.block.store)?;
    if store.draining || locked(&context.leaving).is_leaving(&grant.block.store) {
        return None;
    }
    let offer = ImportOffer {
        tokens: grant.block.tokens,
        bytes: grant.block.length,
        rate: locked(&context.link_rates).rate(&grant.block.store, store.link, Moment::now()),
        queued: answer.link_queued,
    };
    Some((grant, offer))
}

/// The order to import a block. It is given up once recomputing would have been cheaper: a link
/// that has just become slow must not cost more than that.
fn import_order(context: &DaemonContext, grant: &ReadGrant, budget_ms: f64) -> Option<ImportOrder> {
    const LEAST_MS: u64 = 50;
    let store = context.state.view().upstream(&grant.block.store)?.address;
    let left = grant.until.millis_left(Moment::now());
    let grant_left_ms = left.min((budget_ms as u64).max(LEAST_MS));
    (grant_left_ms > 0).then(|| ImportOrder {
        store,
        key: grant.block.key.clone(),
        length: grant.block.length.0,
        digest: grant.block.digest.clone(),
        tokens: grant.block.tokens,
        grant_left_ms,
    })
}

fn log_decision(
    context: &DaemonContext,
    work: &PromptWork<'_>,
    version: &VersionName,
    decision: &RouteDecision,
) {
    const SHOWN: usize = 8;
    let costs: Vec<String> = decision.costs.iter().take(SHOWN).map(ToString::to_string).collect();
    let costs = costs.join(" ");
    let chosen = &decision.chosen.upstream;
    let reason = decision.reason;
    log_event!(
        info,
        events::ROUTED,
        request = work.request,
        customer = work.customer,
        model = work.model,
        version = version,
        choice = chosen,
        reason = reason,
        costs = costs,
    );
    let line = format!("chose {chosen} at {version}: {reason}; candidates: {costs}");
    context.decisions.note(work.request, line);
}

/// Chooses an engine; nothing if none takes work.
pub async fn choose_engine(
    context: &DaemonContext,
    model: &ModelSpec,
    work: &PromptWork<'_>,
) -> Option<EngineChoice> {
    let engines = open_engines(context, work.model);
    let version = pick_version(model, &engines);
    let chain = prefix_chain(work.customer, work.model, &version, work.prompt);
    let answer = lookup(context, &chain.salt, &chain.hashes).await;
    let candidates = candidates(context, &engines, &version, work.tried, &answer);
    let offer = import_offer(context, &answer);
    let input = RouteInput {
        prompt: chain.tokens,
        candidates: &candidates,
        import: offer.as_ref().map(|(_, offer)| offer),
        profile: context.state.view().profile,
        near_best_fraction: NEAR_BEST_FRACTION,
        draw: rand::random(),
    };
    let decision = decide_route(&input)?;
    log_decision(context, work, &version, &decision);
    let others = decision.costs.len().saturating_sub(1);
    let cost = decision.chosen;
    let import = offer.filter(|_| cost.import || cost.import_if_missing).and_then(|(grant, _)| {
        let order = import_order(context, &grant, cost.import_budget_ms)?;
        Some((order, grant.block.store))
    });
    let (import, import_store) = import.unzip();
    let spec = engines.iter().find(|(id, _, _)| *id == cost.upstream)?;
    let client = EngineClient { upstream: cost.upstream.clone(), address: spec.1.address };
    Some(EngineChoice { client, version, chain, import, import_store, cost, others })
}
