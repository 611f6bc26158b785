//! Plans the fetches and saves of prompt parts.
//!
//! How long a fetch takes depends on the engine that fetches: on the parts that it already holds, and
//! on whether it is in the source's data centre. Sources are therefore looked up once per prompt, and
//! their costs computed for each engine.

use crate::parts::cache_salt::cache_salt;
use crate::parts::part_index::MAX_FETCH_MS;
use crate::parts::store_links::{FetchWait, REMOTE_FACTOR, StoreTransfer, transfer_ms};
use crate::request::accepted_request::{PromptPart, PromptShape};
use crate::request::engine_input::EngineInput;
use crate::upstreams::upstream_table::{UpstreamEntry, WeightVersion};
use guava_policy::{CandidateCost, ImportOffer};
use guava_types::{ByteCount, DataCentre, LinkRate, TokenCount, UpstreamId};
use std::net::SocketAddr;

/// Parts shorter than this are neither saved nor fetched for their own sake: an engine prefills them
/// while a transfer begins. A shorter part before a longer one is transferred with it, since engines
/// use a part only if they hold all parts before it.
const MIN_TRANSFER_TOKENS: TokenCount = TokenCount(128);
/// Time budget of a fetch, as a multiple of the import budget of the engine's cost, from which
/// prefilling instead would be cheaper: prefilling a part again takes engine time from all requests.
const FETCH_BUDGET_FACTOR: f64 = 2.0;
/// Lower bound of a fetch's time budget, in milliseconds: not all transfers that wait at a store's
/// link are known.
const MIN_FETCH_BUDGET_MS: f64 = 1_000.0;
/// Upper bound of a fetch's time budget, as a multiple of the time to prefill instead: behind long
/// parts on a busy link, a short prompt would be late for parts that an engine prefills in some
/// milliseconds.
const MAX_PREFILL_FACTOR: f64 = 12.0;
/// Time before the first byte from another engine, in milliseconds: a few hops.
const ENGINE_FIRST_BYTE_MS: f64 = 3.0;

/// The sources from which an engine fetches the parts of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchPlan {
    /// For each part of the prompt the address of its source; `None` if it is not fetched.
    pub sources: Vec<Option<SocketAddr>>,
    /// Longest time that the fetch may take, in milliseconds.
    pub budget_ms: u64,
    /// Tokens of all parts that have a source.
    pub tokens: TokenCount,
    /// The expected wait for the links of stores.
    pub wait: FetchWait,
}

/// A store or engine from which one part can be fetched.
struct PartSource<'a> {
    address: SocketAddr,
    data_centre: &'a DataCentre,
    tokens: TokenCount,
    /// Milliseconds before the first byte, including the wait for the link.
    begin_ms: f64,
    /// Milliseconds from the first byte to the last, for an engine in the source's data centre.
    transfer_ms: f64,
}

impl PartSource<'_> {
    /// Milliseconds until an engine in `centre` has received the part.
    fn ready_ms(&self, centre: &DataCentre) -> f64 {
        let factor = if self.data_centre == centre { 1.0 } else { REMOTE_FACTOR };
        self.begin_ms + factor * self.transfer_ms
    }
}

/// The sources of a prompt's parts under one salt.
pub(crate) struct SaltOffer<'a> {
    /// Salt of the prompt's model, weight version and caller.
    pub(crate) salt: Box<str>,
    /// Whether newer weights are published.
    is_superseded: bool,
    /// Sources of the leading parts: engines use a part only if they hold all parts before it.
    sources: Vec<PartSource<'a>>,
}

/// The parts that a prompt may share with others: all but its last.
pub(crate) fn shared_parts(prompt: &PromptShape) -> &[PromptPart] {
    let shared = prompt.parts.len().saturating_sub(1);
    &prompt.parts[..shared]
}

/// The leading shared parts that are worth a transfer, up to the last long one.
fn transferable_parts(prompt: &PromptShape) -> &[PromptPart] {
    let shared = shared_parts(prompt);
    let last_long = shared.iter().rposition(|part| part.tokens >= MIN_TRANSFER_TOKENS);
    &shared[..last_long.map_or(0, |index| index + 1)]
}

/// The store that holds a part, or else the engine that prefilled it last: the save of the part may
/// be in flight, or its store may have lost it. A fetch from an engine that has evicted the part costs
/// a millisecond.
fn source_for<'a>(
    input: &EngineInput<'a>,
    salt: &str,
    part: &PromptPart,
) -> Option<PartSource<'a>> {
    store_source(input, salt, part).or_else(|| engine_source(input, salt, part))
}

fn store_source<'a>(
    input: &EngineInput<'a>,
    salt: &str,
    part: &PromptPart,
) -> Option<PartSource<'a>> {
    let store = input.parts.holder(input.stores, salt, part, input.now)?;
    let local_ms = transfer_ms(store, part.tokens, input.traits.token_bytes, &store.data_centre);
    let slowness = input.links.slowness(store.address, input.now);
    Some(PartSource {
        address: store.address,
        data_centre: &store.data_centre,
        tokens: part.tokens,
        begin_ms: input.links.wait_ms(store.address, input.now) + store.first_byte_ms,
        transfer_ms: (local_ms - store.first_byte_ms) * slowness,
    })
}

fn engine_source<'a>(
    input: &EngineInput<'a>,
    salt: &str,
    part: &PromptPart,
) -> Option<PartSource<'a>> {
    let engine = input.parts.engine_with(input.traits.memory, salt, part, input.now)?;
    let entry = input.upstreams.entry(engine).filter(|entry| !entry.is_leaving)?;
    let is_loading = input.upstreams.is_loading(engine, input.now);
    let bytes = (part.tokens.0 * input.traits.token_bytes) as f64;
    let source = PartSource {
        address: entry.address,
        data_centre: &entry.data_centre,
        tokens: part.tokens,
        begin_ms: ENGINE_FIRST_BYTE_MS,
        transfer_ms: bytes * 1_000.0 / input.traits.bytes_per_s.max(1) as f64,
    };
    (!is_loading).then_some(source)
}

/// Estimated tokens of the prompt's leading shared parts that an engine holds.
pub(crate) fn resident(input: &EngineInput<'_>, engine: &UpstreamId, salt: &str) -> TokenCount {
    input.parts.resident(engine, input.traits.memory, salt, shared_parts(input.prompt))
}

impl<'a> SaltOffer<'a> {
    /// Looks up the sources of the prompt's parts for a weight version.
    pub(crate) fn new(input: &EngineInput<'a>, version: WeightVersion) -> Self {
        let salt = cache_salt(&input.prompt.model, version, &input.request.caller);
        let transferable = transferable_parts(input.prompt).iter();
        let sources = transferable.map_while(|part| source_for(input, &salt, part)).collect();
        let target = input.targets.target(&input.prompt.model);
        let is_superseded = target.is_some_and(|target| target.version > version);
        Self { salt, is_superseded, sources }
    }

    /// The sources of the parts after the first `resident` tokens, which an engine already holds.
    fn lacking(&self, resident: TokenCount) -> &[PartSource<'a>] {
        let mut end = 0;
        let is_held = |source: &&PartSource<'_>| {
            end += source.tokens.0;
            end <= resident.0
        };
        let held = self.sources.iter().take_while(is_held).count();
        &self.sources[held..]
    }

    /// The import by an engine in `centre` that already holds `resident` tokens; `None` if no part has
    /// a source.
    pub(crate) fn import(
        &self,
        input: &EngineInput<'_>,
        centre: &DataCentre,
        resident: TokenCount,
    ) -> Option<ImportOffer> {
        let tokens = self.tokens();
        let lacking = self.lacking(resident);
        let ready_ms: f64 = lacking.iter().map(|source| source.ready_ms(centre)).sum();
        let missing: u64 = lacking.iter().map(|source| source.tokens.0).sum();
        let bytes = missing * input.traits.token_bytes;
        (tokens.0 > 0).then(|| ImportOffer {
            tokens,
            bytes: ByteCount(bytes),
            rate: LinkRate((bytes as f64 * 1_000.0 / ready_ms.max(0.1)) as u64),
            queued: ByteCount(0),
        })
    }

    fn tokens(&self) -> TokenCount {
        TokenCount(self.sources.iter().map(|source| source.tokens.0).sum())
    }

    /// The fetch by the chosen engine; `None` if prefilling is cheaper than any import, or if no other
    /// address is a source.
    pub(crate) fn fetch_plan(
        &self,
        input: &EngineInput<'_>,
        cost: &CandidateCost,
        entry: &UpstreamEntry,
    ) -> Option<FetchPlan> {
        if !cost.import && !cost.import_if_missing {
            return None;
        }
        let budget_ms = (cost.import_budget_ms * FETCH_BUDGET_FACTOR).max(MIN_FETCH_BUDGET_MS);
        let budget_ms = budget_ms.min(self.prefill_ms(input, entry) * MAX_PREFILL_FACTOR) as u64;
        let budget_ms = budget_ms.min(MAX_FETCH_MS);
        // The chosen engine does not fetch from itself.
        let other_address = |source: &PartSource<'_>| {
            Some(source.address).filter(|address| *address != entry.address)
        };
        let mut sources: Vec<Option<SocketAddr>> = self.sources.iter().map(other_address).collect();
        sources.resize(input.prompt.parts.len(), None);
        let has_source = sources.iter().any(Option::is_some);
        let wait = self.fetch_wait(input, cost, entry);
        has_source.then_some(FetchPlan { sources, budget_ms, tokens: self.tokens(), wait })
    }

    /// Milliseconds in which an engine prefills those of these parts that it lacks.
    fn prefill_ms(&self, input: &EngineInput<'_>, entry: &UpstreamEntry) -> f64 {
        let held = resident(input, &entry.id, &self.salt);
        let lacking = self.tokens().0.saturating_sub(held.0);
        lacking as f64 * 1_000.0 / input.prefill_of(&entry.id).0.max(1) as f64
    }

    /// The expected wait for the parts that the prompt's engine lacks.
    fn fetch_wait(
        &self,
        input: &EngineInput<'_>,
        cost: &CandidateCost,
        entry: &UpstreamEntry,
    ) -> FetchWait {
        let lacking = self.lacking(resident(input, &entry.id, &self.salt));
        let is_store = |address: &SocketAddr| input.stores.iter().any(|it| it.address == *address);
        let stores = lacking.iter().map(|source| source.address).filter(is_store).collect();
        let ready_ms: f64 = lacking.iter().map(|it| it.ready_ms(&entry.data_centre)).sum();
        // A first token also waits for the prompts queued before it, which must not be taken for a
        // slow link.
        let expected_ms = ready_ms.max(input.wait_ms(&entry.id));
        let prefill_ms =
            cost.recompute.0 as f64 * 1_000.0 / input.prefill_of(&entry.id).0.max(1) as f64;
        FetchWait { stores, expected_ms, other_ms: prefill_ms + input.fixed_ms }
    }

    /// For each part of the prompt the store to save it to; `None` if it is not to be saved.
    ///
    /// Nothing is saved of superseded weights: their parts are freed without a word to all daemons, so
    /// some may take for whole what would be written anew.
    pub(crate) fn save_plan(&self, input: &EngineInput<'_>) -> Vec<Option<SocketAddr>> {
        let mut plan = vec![None; input.prompt.parts.len()];
        if self.is_superseded {
            return plan;
        }
        for (part, target) in transferable_parts(input.prompt).iter().zip(&mut plan) {
            let store = input.parts.store_for(input.stores, &self.salt, part, input.now);
            *target = store.map(|store| store.address);
        }
        plan
    }

    /// The transfers over stores' links that the prompt's fetches and saves cause.
    ///
    /// Parts that the engine holds are not fetched and must not be counted: when they
    /// were, the leading part that all prompts share made its store's link appear busy by itself, and
    /// half of the parts held in stores were prefilled again because of the wait expected there.
    pub(crate) fn transfers(
        &self,
        input: &EngineInput<'_>,
        fetch: Option<&FetchPlan>,
        save: &[Option<SocketAddr>],
        entry: &UpstreamEntry,
    ) -> Vec<StoreTransfer> {
        let lacking = self.lacking(resident(input, &entry.id, &self.salt)).len();
        let held = self.sources.len() - lacking;
        let fetched = fetch.map(|fetch| &fetch.sources[..]).unwrap_or_default();
        let mut transfers = Vec::new();
        for (targets, from) in [(fetched, held), (save, 0)] {
            for (part, target) in input.prompt.parts.iter().zip(targets).skip(from) {
                let store = input.stores.iter().find(|store| Some(store.address) == *target);
                let Some(store) = store else { continue };
                let token_bytes = input.traits.token_bytes;
                let alone_ms = transfer_ms(store, part.tokens, token_bytes, &entry.data_centre);
                let transfer_ms = alone_ms.ceil() as u32;
                transfers.push(StoreTransfer { store: store.address, transfer_ms });
            }
        }
        transfers
    }
}
