//! Chooses the engine for a prompt, and which cached prompt parts it fetches and saves.
//!
//! `guava_policy::decide_route` weighs waiting, recomputing and importing. This module computes its
//! inputs from what this daemon knows, and turns its decision into an `EngineChoice`.

use crate::parts::part_index::rendezvous_weight;
use crate::parts::part_transfers::{FetchPlan, SaltOffer, resident};
use crate::parts::store_links::StoreTransfer;
use crate::request::accepted_request::PromptShape;
use crate::request::engine_input::EngineInput;
use crate::request::engine_subset::EngineSubset;
use crate::serve_config::EngineTraits;
use crate::upstreams::upstream_table::{UpstreamEntry, WeightVersion};
use crate::weights::version_targets::VersionUse;
use guava_policy::{CandidateCost, RouteCandidate, RouteInput, decide_route, has_capacity};
use guava_state::WeightProfile;
use guava_types::{FastMap, MemberName, Moment, TokenCount, UpstreamId};
use std::net::SocketAddr;

/// Extra cost of an engine with stale weights, in milliseconds to the first token. An answer by stale
/// weights is worth a fifth less, about the loss that a response late by this time risks.
const STALE_PENALTY_MS: f64 = 60.0;
/// Extra cost of an engine that is about to load weights, in milliseconds: it refuses requests that
/// it can't start at once.
const LOADING_PENALTY_MS: f64 = 2_000.0;
/// Extra cost of an engine in another data centre, in milliseconds: a fixed one, and one for each
/// thousand tokens of the prompt. The round trip is longer, and traffic between data centres is
/// expensive.
const REMOTE_PENALTY_MS: f64 = 5.0;
const REMOTE_PENALTY_MS_PER_1K_TOKENS: f64 = 4.0;
/// Requests beyond its slots that are added to the count of an engine whose memory is full: it would
/// have to preempt another request.
const FULL_MEMORY_PENALTY_SLOTS: u32 = 4;
/// Factor from the expected time to a request's first token to the longest assumed.
const LONGEST_WAIT_FACTOR: f64 = 2.0;
/// Further wait assumed at an engine that has other work, in milliseconds: for memory, or behind more
/// urgent requests that arrive later.
const BUSY_ENGINE_MARGIN_MS: u64 = 2_000;
/// The same for a prompt that finds memory nearly always, or that is sent to another engine if it is
/// withdrawn from this one.
const SHORT_BUSY_MARGIN_MS: u64 = 500;
/// Weights of the time to the first token, of recomputed tokens and of transfers. Recomputing uses
/// engine time that other requests wait for, and costs callers more than the wait for a transfer.
const ROUTE_PROFILE: WeightProfile = WeightProfile { first_token: 100, recompute: 12, link: 0 };

/// Candidates whose cost exceeds the lowest by no more than this fraction count as equal to the best.
/// The fraction is small: long prompts are reported to peers at once, so that small differences in
/// cost are real.
const NEAR_BEST_FRACTION: f64 = 0.02;

/// A prompt is long if it takes at least one part in this many of an engine's memory.
const LONG_PROMPT_DIVISOR: u64 = 16;

/// The chosen engine, and the instructions for it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// The engine.
    pub upstream: UpstreamId,
    /// Version of the weights that it must serve.
    pub version: WeightVersion,
    /// Cache salt under which it stores and looks up prompt parts.
    pub salt: Box<str>,
    /// Prompt parts to fetch; `None` if it fetches none.
    pub fetch: Option<FetchPlan>,
    /// For each prompt part, the store to save it to.
    pub save: Vec<Option<SocketAddr>>,
    /// Transfers that the fetches and saves add to the stores' links.
    pub transfers: Vec<StoreTransfer>,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Tokens that it is expected to prefill.
    pub recompute: TokenCount,
    /// Reason of the decision, for logs and metrics.
    pub reason: &'static str,
    /// Number of engines that could have taken the request.
    pub candidates: usize,
    /// Whether the prompt is long: a few such prompts fill an engine's memory.
    pub is_long: bool,
    /// Whether the prompt is long, and even the engine of the lowest cost has no memory for it.
    pub is_crowded: bool,
    /// Whether the engine may hold parts of the prompt that it is not known to hold, so that its
    /// answer says nothing of its speed.
    pub is_guess: bool,
}

/// Latest moment at which the request is expected to begin at an engine, with its first token.
///
/// The time limit for old weights applies to that, not to the send: a request may wait in an engine's
/// queue past the limit, or be read past it.
fn expected_start(input: &EngineInput<'_>, engine: &UpstreamId) -> Moment {
    let prefill = input.prefill_of(engine).0.max(1);
    let read_ms = input.prompt.input.0 as f64 * 1_000.0 / prefill as f64;
    let first_token_ms = input.wait_ms(engine) + input.fixed_ms + read_ms;
    let is_busy = input.work.total(engine).running > 0;
    let margin_ms = if is_busy { busy_margin_ms(input) } else { 0 };
    Moment(input.now.0 + (first_token_ms * LONGEST_WAIT_FACTOR) as u64 + margin_ms)
}

/// Further wait of the prompt that is assumed at a busy engine, in milliseconds.
fn busy_margin_ms(input: &EngineInput<'_>) -> u64 {
    let route = &input.request.route;
    let is_sent_again = route.repeat.may_repeat() && route.max_attempts > 1;
    let is_long = is_long(input.prompt, input.traits);
    if is_sent_again || !is_long { SHORT_BUSY_MARGIN_MS } else { BUSY_ENGINE_MARGIN_MS }
}

/// Open engines not yet tried that serve the model in a permitted version, with that version.
fn usable_engines<'a>(
    input: &EngineInput<'a>,
    subset: &EngineSubset<'a>,
) -> Vec<(&'a UpstreamEntry, WeightVersion, VersionUse)> {
    let published = input.targets.published(&input.prompt.model);
    let engines = subset.entries.iter().copied().filter_map(|entry| {
        let model = &input.prompt.model;
        let version = input.upstreams.version(&entry.id, model, &published, input.now)?;
        let limit = input.version_limits;
        let start = expected_start(input, &entry.id);
        let version_use = input.targets.judge(&input.prompt.model, version, limit, start);
        let is_open = !input.tried.contains(&entry.id) && !(input.is_closed)(entry);
        let is_usable = version_use != VersionUse::Forbidden && is_open;
        is_usable.then_some((entry, version, version_use))
    });
    engines.collect()
}

/// Whether this daemon has the highest rendezvous weight for an engine among its data centre's.
fn is_local_owner(input: &EngineInput<'_>, upstream: &UpstreamId) -> bool {
    let weight = |member: &MemberName| rendezvous_weight(&(upstream, member), 1.0);
    let local_weight = weight(input.local_daemon);
    input.peers.iter().all(|peer| weight(peer) <= local_weight)
}

fn candidate(
    input: &EngineInput<'_>,
    entry: &UpstreamEntry,
    version_use: VersionUse,
    offer: &SaltOffer<'_>,
    subset: &EngineSubset<'_>,
) -> RouteCandidate {
    let load = input.work.load(&entry.id);
    let total = input.work.total(&entry.id);
    let is_full = is_full(input, &entry.id);
    let over_slots = (total.running + 1).saturating_sub(entry.slots.max(1));
    let stale = match version_use {
        VersionUse::Stale => STALE_PENALTY_MS,
        _ => 0.0,
    };
    let loading =
        if input.upstreams.is_loading(&entry.id, input.now) { LOADING_PENALTY_MS } else { 0.0 };
    let remote = remote_penalty_ms(input, entry);
    let resident = resident(input, &entry.id, &offer.salt);
    let missing = offer.import(input, &entry.data_centre, resident);
    let away = subset.away_ms(input, &entry.id, resident);
    RouteCandidate {
        upstream: entry.id.clone(),
        wait_ms: input.wait_ms(&entry.id) + input.fixed_ms + stale + loading + remote + away,
        prefill: input.prefill_of(&entry.id),
        over_slots: over_slots + if is_full { FULL_MEMORY_PENALTY_SLOTS } else { 0 },
        resident,
        missing,
        slowness: load.slowness(input.now),
        is_preferred: entry.data_centre == *input.data_centre && is_local_owner(input, &entry.id),
    }
}

/// Whether an engine has no memory for the prompt in addition to what runs or waits there.
fn is_full(input: &EngineInput<'_>, engine: &UpstreamId) -> bool {
    let total = input.work.total(engine);
    let memory = input.traits.memory;
    // An engine counts as full only if the configuration states its memory.
    let is_memory_known = memory.0 > 0;
    let has_capacity =
        has_capacity(memory, input.memory_fraction, total.memory, input.prompt.memory());
    is_memory_known && total.running > 0 && !has_capacity
}

/// Whether a prompt is long, so that a few like it fill an engine's memory.
pub fn is_long(prompt: &PromptShape, traits: &EngineTraits) -> bool {
    prompt.memory().0 * LONG_PROMPT_DIVISOR >= traits.memory.0
}

/// Extra cost of an engine for being in another data centre, in milliseconds; 0 in this one.
fn remote_penalty_ms(input: &EngineInput<'_>, entry: &UpstreamEntry) -> f64 {
    if entry.data_centre == *input.data_centre {
        return 0.0;
    }
    REMOTE_PENALTY_MS + REMOTE_PENALTY_MS_PER_1K_TOKENS * input.prompt.input.0 as f64 / 1_000.0
}

/// Chooses the engine of the lowest cost; `None` if no engine may take the request.
pub fn choose_engine(input: &EngineInput<'_>) -> Option<EngineChoice> {
    let subset = EngineSubset::new(input);
    let usable_engines = usable_engines(input, &subset);
    let mut offers: FastMap<WeightVersion, SaltOffer<'_>> = FastMap::default();
    let mut best: Option<(CandidateCost, WeightVersion, &'static str)> = None;
    let mut versions: Vec<WeightVersion> =
        usable_engines.iter().map(|(_, version, _)| *version).collect();
    versions.sort_unstable();
    versions.dedup();
    // Cached parts belong to one version of the weights, so each version is decided on separately.
    for version in versions {
        let offer = offers.entry(version).or_insert_with(|| SaltOffer::new(input, version));
        let of_version = usable_engines.iter().filter(|(_, served, _)| *served == version);
        let candidates: Vec<RouteCandidate> = of_version
            .map(|(entry, _, version_use)| candidate(input, entry, *version_use, offer, &subset))
            .collect();
        let route = RouteInput {
            prompt: input.prompt.input,
            candidates: &candidates,
            // Each candidate has its own import cost in `missing`.
            import: None,
            profile: ROUTE_PROFILE,
            near_best_fraction: NEAR_BEST_FRACTION,
            draw: input.draw,
        };
        let Some(decision) = decide_route(&route) else { continue };
        if best.as_ref().is_none_or(|(cost, ..)| decision.chosen.cost < cost.cost) {
            best = Some((decision.chosen, version, decision.reason));
        }
    }
    let (cost, version, reason) = best?;
    let offer = offers.remove(&version)?;
    let entry = input.upstreams.entry(&cost.upstream)?;
    let fetch = offer.fetch_plan(input, &cost, entry);
    let save = offer.save_plan(input);
    let transfers = offer.transfers(input, fetch.as_ref(), &save, entry);
    let is_long = is_long(input.prompt, input.traits);
    let is_crowded = is_long && is_full(input, &cost.upstream);
    let is_guess = subset.is_guess(&cost.upstream, resident(input, &cost.upstream, &offer.salt));
    Some(EngineChoice {
        is_long,
        is_crowded,
        is_guess,
        transfers,
        upstream: cost.upstream,
        version,
        salt: offer.salt,
        fetch,
        save,
        expected_ms: cost.first_token_ms,
        recompute: cost.recompute,
        reason,
        candidates: usable_engines.len(),
    })
}
