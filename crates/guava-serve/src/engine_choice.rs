//! Which engine gets a prompt, and which cached parts it fetches and saves.
//!
//! The router weighs waiting, recomputing and importing (`guava_policy::decide_route`); this module
//! works out its inputs from what is known here, and turns its choice into instructions.

use crate::accepted_request::{AcceptedRequest, PromptPart, PromptShape};
use crate::cache_salt::cache_salt;
use crate::part_index::{LONGEST_FETCH_MS, PartIndex, rendezvous_weight};
use crate::serve_config::{EngineTraits, StoreTraits};
use crate::store_links::{FetchWait, StoreLinks, StoreTransfer, transfer_ms};
use crate::upstream_table::{UpstreamEntry, UpstreamTable, WeightVersion};
use crate::version_targets::{VersionLimits, VersionTargets, VersionUse};
use crate::work_table::WorkTable;
use guava_policy::{CandidateCost, ImportOffer, RouteCandidate, RouteInput, decide_route};
use guava_state::WeightProfile;
use guava_types::{
    ByteCount, DataCentre, FastMap, LinkRate, MemberName, Moment, ServiceName, TokenCount,
    TokenRate, UpstreamId,
};
use std::net::SocketAddr;
use std::rc::Rc;

/// Parts shorter than this are neither saved nor fetched for their own sake: reading them takes an
/// engine some ten milliseconds, as long as a transfer takes to begin, and they would fill the stores.
///
/// A short part before a long one goes with it, since engines use a part only if all before it are
/// there. Where prompts begin with some 500 tokens that many share, before 8,600 of their own, that
/// halves what is read again (4.5 to 2.5 million tokens a day), and mean worth rises from 0.64 to 0.69.
const LEAST_TRANSFER: TokenCount = TokenCount(512);
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
/// Memory that is used for planning; the rest covers estimates that were too low.
const MEMORY_PART: f64 = 0.95;
/// A fetch may take so many times as long as reading instead would, since a part that is read again
/// takes an engine from everybody, and at least so many milliseconds: what waits at a store's link
/// is not known.
const FETCH_TIMES: f64 = 2.0;
const SHORTEST_FETCH_MS: f64 = 1_000.0;
/// Time before the first byte from another engine, in milliseconds: a few hops.
const ENGINE_FIRST_BYTE_MS: f64 = 3.0;
/// Share of an engine's link that a transfer gets on average, since some cross data centres, where
/// they take twice as long.
const LINK_PART: f64 = 0.6;
/// How many times longer than expected a request may wait for its start.
const LATEST_START: f64 = 2.0;
/// Further wait at an engine that has other work, in milliseconds: for memory, or behind requests
/// that are more urgent and come later. With a third of the engines lost one was seen to wait 1.9 s
/// where next to nothing was expected.
const UNFORESEEN_WAIT_MS: u64 = 2_000;
/// Weights of time and recomputed tokens: a token recomputed is time of an engine that others
/// wait for, and a part read again costs callers more than its transfer's wait. Of 3, 8 and 16
/// recomputed tokens for 100 ms, 8 served callers best on days with and without trouble.
const PROFILE: WeightProfile = WeightProfile { first_token: 100, recompute: 8, link: 0 };

/// Candidates this close to the best, as a share of its cost, are as good as the best. Long prompts
/// are told to peers at once, so small differences are real; with a tenth, some 80 ms for a long
/// prompt, four in five went to another data centre, where they met others unannounced.
const NEAR_BEST: f64 = 0.02;

/// A prompt that takes this part of an engine's memory, as one over it, is long.
const LONG_PART: u64 = 16;

/// What a choice is made on.
pub struct EngineInput<'a> {
    /// The request.
    pub request: &'a AcceptedRequest,
    /// Its prompt.
    pub prompt: &'a PromptShape,
    /// Service whose engines are asked.
    pub service: &'a ServiceName,
    /// What they have in common.
    pub traits: &'a EngineTraits,
    /// Stores of cached parts.
    pub stores: &'a [Rc<StoreTraits>],
    /// The upstreams.
    pub upstreams: &'a UpstreamTable,
    /// Their work.
    pub work: &'a WorkTable,
    /// Where parts lie.
    pub parts: &'a PartIndex,
    /// What the stores' links carry.
    pub links: &'a StoreLinks,
    /// Published weights.
    pub targets: &'a VersionTargets,
    /// Time limits for new weights.
    pub version_limits: VersionLimits,
    /// Prefill throughput, as learnt.
    pub prefill: TokenRate,
    /// Time to a first token beside the prefill, as learnt, in milliseconds.
    pub fixed_ms: f64,
    /// This daemon.
    pub me: &'a MemberName,
    /// The other living daemons of this data centre.
    pub peers: &'a [MemberName],
    /// Where this daemon stands.
    pub data_centre: &'a DataCentre,
    /// Engines that were tried for this request.
    pub tried: &'a [UpstreamId],
    /// The current moment.
    pub now: Moment,
    /// A random number that spreads equal choices.
    pub draw: u64,
}

/// Where an engine gets the parts of a prompt from.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchPlan {
    /// For each part the store to fetch it from.
    pub sources: Vec<Option<SocketAddr>>,
    /// How long it may take, in milliseconds.
    pub budget_ms: u64,
    /// Tokens that it brings.
    pub tokens: TokenCount,
    /// What it waits for at the links of stores.
    pub wait: FetchWait,
}

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
    /// Whether it is long, and no engine has memory for it that is not costlier than waiting.
    pub is_crowded: bool,
}

/// Parts of a prompt that stores or engines hold under one salt.
struct SaltOffer {
    salt: Box<str>,
    /// Where each of the leading parts can be fetched from.
    sources: Vec<PartSource>,
    offer: Option<ImportOffer>,
}

fn shared_parts(prompt: &PromptShape) -> &[PromptPart] {
    let shared = prompt.parts.len().saturating_sub(1);
    &prompt.parts[..shared]
}

/// The leading shared parts that are worth a transfer: up to the last long one.
fn moved_parts(prompt: &PromptShape) -> &[PromptPart] {
    let shared = shared_parts(prompt);
    let last_long = shared.iter().rposition(|part| part.tokens >= LEAST_TRANSFER);
    &shared[..last_long.map_or(0, |index| index + 1)]
}

/// Where a part can be fetched from.
struct PartSource {
    address: SocketAddr,
    tokens: TokenCount,
    /// Milliseconds until it is there.
    ready_ms: f64,
}

/// The store that holds a part, or else the engine that read it last: the part may be on its way to
/// a store, or its store may have lost it. An engine that has dropped it costs a millisecond.
fn source_for(input: &EngineInput<'_>, salt: &str, part: &PromptPart) -> Option<PartSource> {
    store_source(input, salt, part).or_else(|| engine_source(input, salt, part))
}

fn store_source(input: &EngineInput<'_>, salt: &str, part: &PromptPart) -> Option<PartSource> {
    let store = input.parts.holder(input.stores, salt, part, input.now)?;
    let wait_ms = input.links.wait_ms(store.address, input.now);
    let alone_ms = transfer_ms(store, part.tokens, input.traits.token_bytes, input.data_centre)
        * input.links.slowness(store.address, input.now);
    Some(PartSource { address: store.address, tokens: part.tokens, ready_ms: wait_ms + alone_ms })
}

fn engine_source(input: &EngineInput<'_>, salt: &str, part: &PromptPart) -> Option<PartSource> {
    let engine = input.parts.engine_with(input.traits.memory, salt, part, input.now)?;
    let entry = input.upstreams.entry(engine).filter(|entry| !entry.is_leaving)?;
    let is_loading = input.upstreams.is_loading(engine, input.now);
    let bytes = (part.tokens.0 * input.traits.token_bytes) as f64;
    let rate = input.traits.bytes_per_s.max(1) as f64 * LINK_PART;
    let ready_ms = ENGINE_FIRST_BYTE_MS + bytes * 1_000.0 / rate;
    let source = PartSource { address: entry.address, tokens: part.tokens, ready_ms };
    (!is_loading).then_some(source)
}

/// The leading parts that stores or engines hold; a part helps only if all before it are there.
fn offer_for(input: &EngineInput<'_>, version: WeightVersion) -> SaltOffer {
    let salt = cache_salt(&input.prompt.model, version, &input.request.caller);
    let found = moved_parts(input.prompt).iter().map_while(|part| source_for(input, &salt, part));
    let sources: Vec<PartSource> = found.collect();
    let offer = import_offer(input, &sources, TokenCount(0));
    SaltOffer { salt, sources, offer }
}

/// The import of parts by an engine that holds so many tokens of them: the rest is transferred.
fn import_offer(
    input: &EngineInput<'_>,
    sources: &[PartSource],
    resident: TokenCount,
) -> Option<ImportOffer> {
    let tokens: u64 = sources.iter().map(|source| source.tokens.0).sum();
    let lacking = lacking_sources(sources, resident);
    let ready_ms: f64 = lacking.iter().map(|source| source.ready_ms).sum();
    let bytes =
        lacking.iter().map(|source| source.tokens.0).sum::<u64>() * input.traits.token_bytes;
    (tokens > 0).then(|| ImportOffer {
        tokens: TokenCount(tokens),
        bytes: ByteCount(bytes),
        rate: LinkRate((bytes as f64 * 1_000.0 / ready_ms.max(0.1)) as u64),
        queued: ByteCount(0),
    })
}

/// The sources of parts beyond what an engine holds of a prompt's beginning.
fn lacking_sources(sources: &[PartSource], resident: TokenCount) -> &[PartSource] {
    let mut end = 0;
    let is_held = |source: &&PartSource| {
        end += source.tokens.0;
        end <= resident.0
    };
    let held = sources.iter().take_while(is_held).count();
    &sources[held..]
}

/// When a request would start there at the latest, as far as can be told.
///
/// What counts for weights is when a request starts, not when it is sent: one was seen to wait
/// 2.7 s in an engine's queue, past the time limit for its old weights.
fn expected_start(input: &EngineInput<'_>, engine: &UpstreamId) -> Moment {
    let wait_ms = wait_at(input, engine);
    let is_busy = input.work.total(engine).running > 0;
    let unforeseen_ms = if is_busy { UNFORESEEN_WAIT_MS } else { 0 };
    Moment(input.now.0 + (wait_ms * LATEST_START) as u64 + unforeseen_ms)
}

/// Milliseconds that the request waits at an engine until it is read: by what is known one by one,
/// or by what peers said in sum, whichever is more.
fn wait_at(input: &EngineInput<'_>, engine: &UpstreamId) -> f64 {
    let listed = input.work.wait_ms(engine, input.request.priority(), input.now);
    listed.max(input.work.peers_wait_ms(engine, input.prefill, input.now))
}

/// Engines that have the model in a version that may be used, with that version.
fn usable<'a>(input: &EngineInput<'a>) -> Vec<(&'a UpstreamEntry, WeightVersion, VersionUse)> {
    let published = input.targets.published(&input.prompt.model);
    let judged = input.upstreams.serving(input.service).filter_map(|entry| {
        let model = &input.prompt.model;
        let version = input.upstreams.version(&entry.id, model, &published, input.now)?;
        let limit = input.version_limits;
        let start = expected_start(input, &entry.id);
        let verdict = input.targets.judge(&input.prompt.model, version, limit, start);
        let is_usable = verdict != VersionUse::Forbidden && !input.tried.contains(&entry.id);
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
    offer: &SaltOffer,
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
    let missing = (resident.0 > 0).then(|| import_offer(input, &offer.sources, resident)).flatten();
    RouteCandidate {
        upstream: entry.id.clone(),
        wait_ms: wait_at(input, &entry.id) + input.fixed_ms + penalty + loading + remote,
        prefill: input.prefill,
        over_slots: over_slots + if is_full { FULL_MEMORY_SLOTS } else { 0 },
        resident,
        missing,
        slowness: load.slowness(input.now),
        is_own: entry.data_centre == *input.data_centre && is_own(input, &entry.id),
    }
}

/// Tokens at the prompt's beginning that an engine is believed to hold.
fn resident(input: &EngineInput<'_>, engine: &UpstreamId, salt: &str) -> TokenCount {
    input.parts.resident(engine, input.traits.memory, salt, shared_parts(input.prompt))
}

/// Whether an engine's memory would not hold the prompt beside what runs or waits there.
fn is_full(input: &EngineInput<'_>, engine: &UpstreamId) -> bool {
    let total = input.work.total(engine);
    let memory = (input.traits.memory.0 as f64 * MEMORY_PART) as u64;
    // A configuration that does not say how much memory engines have gives no reason to wait.
    memory > 0 && total.memory.0 + input.prompt.memory().0 > memory && total.running > 0
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

fn save_plan(input: &EngineInput<'_>, salt: &str) -> Vec<Option<SocketAddr>> {
    let mut plan = vec![None; input.prompt.parts.len()];
    for (part, target) in moved_parts(input.prompt).iter().zip(&mut plan) {
        let store = input.parts.store_for(input.stores, salt, part, input.now);
        *target = store.map(|store| store.address);
    }
    plan
}

fn fetch_plan(
    input: &EngineInput<'_>,
    cost: &CandidateCost,
    offer: &SaltOffer,
    held: usize,
) -> Option<FetchPlan> {
    let found = offer.offer.as_ref()?;
    if !cost.import && !cost.import_if_missing {
        return None;
    }
    let budget_ms = (cost.import_budget_ms * FETCH_TIMES).max(SHORTEST_FETCH_MS) as u64;
    let budget_ms = budget_ms.min(LONGEST_FETCH_MS);
    // What the chosen engine holds itself it need not fetch from itself.
    let own = input.upstreams.entry(&cost.upstream).map(|entry| entry.address);
    let foreign = |source: &PartSource| Some(source.address).filter(|it| Some(*it) != own);
    let mut sources: Vec<Option<SocketAddr>> = offer.sources.iter().map(foreign).collect();
    sources.resize(input.prompt.parts.len(), None);
    let has_source = sources.iter().any(Option::is_some);
    let wait = fetch_wait(input, cost, &offer.sources[held..]);
    has_source.then_some(FetchPlan { sources, budget_ms, tokens: found.tokens, wait })
}

/// What a prompt waits for, of the parts that its engine lacks.
fn fetch_wait(input: &EngineInput<'_>, cost: &CandidateCost, lacking: &[PartSource]) -> FetchWait {
    let is_store = |address: &SocketAddr| input.stores.iter().any(|it| it.address == *address);
    let stores = lacking.iter().map(|source| source.address).filter(is_store).collect();
    let ready_ms: f64 = lacking.iter().map(|source| source.ready_ms).sum();
    // A first token waits for the prompts before it as well, and would accuse the link of that.
    let expected_ms = ready_ms.max(wait_at(input, &cost.upstream));
    let read_ms = cost.recompute.0 as f64 * 1_000.0 / input.prefill.0.max(1) as f64;
    FetchWait { stores, expected_ms, other_ms: read_ms + input.fixed_ms }
}

/// What fetches and saves of a prompt put on the stores' links. Parts that the engine holds are not
/// fetched: counted as fetched, what all prompts begin with kept its store's link busy by itself, and
/// half of the parts that lay in stores were read again for the wait believed there.
fn transfers(
    input: &EngineInput<'_>,
    fetch: Option<&FetchPlan>,
    save: &[Option<SocketAddr>],
    held: usize,
    centre: &DataCentre,
) -> Vec<StoreTransfer> {
    let fetched = fetch.map(|fetch| &fetch.sources[..]).unwrap_or_default();
    let mut transfers = Vec::new();
    for (targets, from) in [(fetched, held), (save, 0)] {
        for (part, target) in input.prompt.parts.iter().zip(targets).skip(from) {
            let store = input.stores.iter().find(|store| Some(store.address) == *target);
            let Some(store) = store else { continue };
            let alone_ms = transfer_ms(store, part.tokens, input.traits.token_bytes, centre);
            let transfer_ms = alone_ms.ceil() as u32;
            transfers.push(StoreTransfer { store: store.address, transfer_ms });
        }
    }
    transfers
}

/// Chooses an engine; nothing if none may take the request.
pub fn choose_engine(input: &EngineInput<'_>) -> Option<EngineChoice> {
    let usable = usable(input);
    let mut offers: FastMap<WeightVersion, SaltOffer> = FastMap::default();
    let mut best: Option<(CandidateCost, WeightVersion, &'static str)> = None;
    let mut versions: Vec<WeightVersion> = usable.iter().map(|(_, version, _)| *version).collect();
    versions.sort_unstable();
    versions.dedup();
    // Stores hold different parts for each version, so each version is decided on by itself.
    for version in versions {
        let offer = offers.entry(version).or_insert_with(|| offer_for(input, version));
        let of_version = usable.iter().filter(|(_, own, _)| *own == version);
        let candidates: Vec<RouteCandidate> = of_version
            .map(|(entry, _, verdict)| candidate(input, entry, *verdict, offer))
            .collect();
        let route = RouteInput {
            prompt: input.prompt.input,
            candidates: &candidates,
            import: offer.offer.as_ref(),
            profile: PROFILE,
            near_best: NEAR_BEST,
            draw: input.draw,
        };
        let Some(decision) = decide_route(&route) else { continue };
        if best.as_ref().is_none_or(|(cost, ..)| decision.chosen.cost < cost.cost) {
            best = Some((decision.chosen, version, decision.reason));
        }
    }
    let (cost, version, reason) = best?;
    let offer = offers.remove(&version)?;
    let resident = resident(input, &cost.upstream, &offer.salt);
    let held = offer.sources.len() - lacking_sources(&offer.sources, resident).len();
    let fetch = fetch_plan(input, &cost, &offer, held);
    let save = save_plan(input, &offer.salt);
    let centre = input.upstreams.entry(&cost.upstream).map(|entry| &entry.data_centre);
    let centre = centre.unwrap_or(input.data_centre);
    let transfers = transfers(input, fetch.as_ref(), &save, held, centre);
    let is_crowded = is_long(input) && is_full(input, &cost.upstream);
    Some(EngineChoice {
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
