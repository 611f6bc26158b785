//! Which engine gets a prompt, and which cached parts it fetches and saves.
//!
//! The router weighs waiting, recomputing and importing (`guava_policy::decide_route`); this module
//! works out its inputs from what is known here, and turns its choice into instructions.

use crate::parts::part_index::rendezvous_weight;
use crate::parts::part_transfers::{FetchPlan, SaltOffer, resident};
use crate::parts::store_links::StoreTransfer;
use crate::request::engine_input::EngineInput;
use crate::upstreams::upstream_table::{UpstreamEntry, WeightVersion};
use crate::weights::version_targets::VersionUse;
use guava_policy::{CandidateCost, RouteCandidate, RouteInput, decide_route, has_capacity};
use guava_state::WeightProfile;
use guava_types::{FastMap, MemberName, Moment, TokenCount, UpstreamId};
use std::net::SocketAddr;

/// Extra cost of an engine with stale weights, in milliseconds to the first token. Its answer is
/// worth a fifth less, about as much as a response late by this time risks.
const STALE_MS: f64 = 60.0;
/// Extra cost of an engine that is about to load weights: it refuses what it can't start at once.
const LOADING_MS: f64 = 2_000.0;
/// Extra cost of an engine in another data centre, in milliseconds, and more for each thousand
/// tokens of the prompt: the round trip is longer, and traffic between data centres is dear.
const REMOTE_MS: f64 = 5.0;
const REMOTE_MS_PER_K: f64 = 4.0;
/// Requests beyond its slots that an engine counts as having while its memory is full: it would
/// preempt somebody's run.
const FULL_MEMORY_SLOTS: u32 = 4;
/// How many times longer than expected a request may wait for its start.
const LATEST_START: f64 = 2.0;
/// Further wait at an engine that has other work, in milliseconds: for memory, or behind requests
/// that are more urgent and come later.
const UNFORESEEN_WAIT_MS: u64 = 2_000;
/// Weights of time and recomputed tokens: a token recomputed is time of an engine that others wait
/// for, and a part read again costs callers more than its transfer's wait.
const PROFILE: WeightProfile = WeightProfile { first_token: 100, recompute: 12, link: 0 };

/// Candidates this close to the best, as a share of its cost, are as good as the best. Long prompts
/// are told to peers at once, so small differences are real.
const NEAR_BEST_FRACTION: f64 = 0.02;

/// A prompt that takes this part of an engine's memory, as one over it, is long.
const LONG_PART: u64 = 16;

/// The engine chosen, and what it is told.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// Which.
    pub upstream: UpstreamId,
    /// Weights that it must have.
    pub version: WeightVersion,
    /// Text under which it keeps and looks up parts.
    pub salt: Box<str>,
    /// What to fetch.
    pub fetch: Option<FetchPlan>,
    /// For each part the store to save it to.
    pub save: Vec<Option<SocketAddr>>,
    /// What fetches and saves put on the stores' links.
    pub transfers: Vec<StoreTransfer>,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Tokens that it is expected to read.
    pub recompute: TokenCount,
    /// Why, in a word.
    pub reason: &'static str,
    /// How many engines could have taken it.
    pub candidates: usize,
    /// Whether the prompt is long: a few such fill an engine's memory.
    pub is_long: bool,
    /// Whether it is long, and no engine has memory for it that is not costlier than waiting.
    pub is_crowded: bool,
}

/// When a request would start there at the latest, as far as can be told.
///
/// What counts for weights is when a request starts, not when it is sent: in an engine's queue it may
/// wait past the time limit for its old weights.
fn expected_start(input: &EngineInput<'_>, engine: &UpstreamId) -> Moment {
    let wait_ms = input.wait_ms(engine);
    let is_busy = input.work.total(engine).running > 0;
    let unforeseen_ms = if is_busy { UNFORESEEN_WAIT_MS } else { 0 };
    Moment(input.now.0 + (wait_ms * LATEST_START) as u64 + unforeseen_ms)
}

/// Engines that have the model in a version that may be used, with that version.
fn usable<'a>(input: &EngineInput<'a>) -> Vec<(&'a UpstreamEntry, WeightVersion, VersionUse)> {
    let published = input.targets.published(&input.prompt.model);
    let judged = input.upstreams.serving(input.service, input.now).filter_map(|entry| {
        let model = &input.prompt.model;
        let version = input.upstreams.version(&entry.id, model, &published, input.now)?;
        let limit = input.version_limits;
        let start = expected_start(input, &entry.id);
        let verdict = input.targets.judge(&input.prompt.model, version, limit, start);
        let is_open = !input.tried.contains(&entry.id) && !input.closed.contains(&entry.id);
        let is_usable = verdict != VersionUse::Forbidden && is_open;
        is_usable.then_some((entry, version, verdict))
    });
    judged.collect()
}

fn is_own(input: &EngineInput<'_>, upstream: &UpstreamId) -> bool {
    let weight = |member: &MemberName| rendezvous_weight(&(upstream, member), 1.0);
    let own = weight(input.me);
    input.peers.iter().all(|peer| weight(peer) <= own)
}

fn candidate(
    input: &EngineInput<'_>,
    entry: &UpstreamEntry,
    verdict: VersionUse,
    offer: &SaltOffer<'_>,
) -> RouteCandidate {
    let load = input.work.load(&entry.id);
    let total = input.work.total(&entry.id);
    let is_full = is_full(input, &entry.id);
    let over_slots = (total.running + 1).saturating_sub(entry.slots.max(1));
    let penalty = match verdict {
        VersionUse::Stale => STALE_MS,
        _ => 0.0,
    };
    let loading = if input.upstreams.is_loading(&entry.id, input.now) { LOADING_MS } else { 0.0 };
    let remote = remote_ms(input, entry);
    let resident = resident(input, &entry.id, &offer.salt);
    let missing = offer.import(input, &entry.data_centre, resident);
    RouteCandidate {
        upstream: entry.id.clone(),
        wait_ms: input.wait_ms(&entry.id) + input.fixed_ms + penalty + loading + remote,
        prefill: input.prefill_of(&entry.id),
        over_slots: over_slots + if is_full { FULL_MEMORY_SLOTS } else { 0 },
        resident,
        missing,
        slowness: load.slowness(input.now),
        is_preferred: entry.data_centre == *input.data_centre && is_own(input, &entry.id),
    }
}

/// Whether an engine's memory would not hold the prompt beside what runs or waits there.
fn is_full(input: &EngineInput<'_>, engine: &UpstreamId) -> bool {
    let total = input.work.total(engine);
    let memory = input.traits.memory;
    // A configuration that does not say how much memory engines have gives no reason to wait.
    let is_told = memory.0 > 0;
    let has_capacity = has_capacity(memory, input.memory_part, total.memory, input.prompt.memory());
    is_told && total.running > 0 && !has_capacity
}

/// Whether a prompt is long: a few of them fill an engine's memory.
fn is_long(input: &EngineInput<'_>) -> bool {
    input.prompt.memory().0 * LONG_PART >= input.traits.memory.0
}

fn remote_ms(input: &EngineInput<'_>, entry: &UpstreamEntry) -> f64 {
    if entry.data_centre == *input.data_centre {
        return 0.0;
    }
    REMOTE_MS + REMOTE_MS_PER_K * input.prompt.input.0 as f64 / 1_000.0
}

/// Chooses an engine; nothing if none may take the request.
pub fn choose_engine(input: &EngineInput<'_>) -> Option<EngineChoice> {
    let usable = usable(input);
    let mut offers: FastMap<WeightVersion, SaltOffer<'_>> = FastMap::default();
    let mut best: Option<(CandidateCost, WeightVersion, &'static str)> = None;
    let mut versions: Vec<WeightVersion> = usable.iter().map(|(_, version, _)| *version).collect();
    versions.sort_unstable();
    versions.dedup();
    // Stores hold different parts for each version, so each version is decided on by itself.
    for version in versions {
        let offer = offers.entry(version).or_insert_with(|| SaltOffer::new(input, version));
        let of_version = usable.iter().filter(|(_, own, _)| *own == version);
        let candidates: Vec<RouteCandidate> = of_version
            .map(|(entry, _, verdict)| candidate(input, entry, *verdict, offer))
            .collect();
        let route = RouteInput {
            prompt: input.prompt.input,
            candidates: &candidates,
            // Reckoned for each engine.
            import: None,
            profile: PROFILE,
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
    let is_long = is_long(input);
    let is_crowded = is_long && is_full(input, &cost.upstream);
    Some(EngineChoice {
        is_long,
        is_crowded,
        transfers,
        upstream: cost.upstream,
        version,
        salt: offer.salt,
        fetch,
        save,
        expected_ms: cost.first_token_ms,
        recompute: cost.recompute,
        reason,
        candidates: usable.len(),
    })
}
