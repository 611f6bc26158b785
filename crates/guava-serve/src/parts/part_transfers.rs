//! Which cached parts of a prompt are fetched from where, and saved where.
//!
//! How long a fetch takes depends on the engine that is to have the parts: on what it holds already,
//! and on whether it stands in the source's data centre. So sources are looked up once a prompt, and
//! reckoned for each engine.

use crate::parts::cache_salt::cache_salt;
use crate::parts::part_index::LONGEST_FETCH_MS;
use crate::parts::store_links::{FetchWait, REMOTE_TIMES, StoreTransfer, transfer_ms};
use crate::request::accepted_request::{PromptPart, PromptShape};
use crate::request::engine_input::EngineInput;
use crate::upstreams::upstream_table::{UpstreamEntry, WeightVersion};
use guava_policy::{CandidateCost, ImportOffer};
use guava_types::{ByteCount, DataCentre, LinkRate, TokenCount, UpstreamId};
use std::net::SocketAddr;

/// Parts shorter than this are neither saved nor fetched for their own sake: an engine reads them
/// while a transfer begins. A shorter part before a longer one goes with it, since engines use a part
/// only if all before it are there.
const LEAST_TRANSFER: TokenCount = TokenCount(128);
/// A fetch may take so many times as long as reading instead would, by the weights of the choice: a
/// part that is read again takes an engine from everybody.
const FETCH_TIMES: f64 = 2.0;
/// Least time for a fetch, in milliseconds: what waits at a store's link is not all known.
const SHORTEST_FETCH_MS: f64 = 1_000.0;
/// Most time for a fetch, in times of reading instead: behind long parts on a busy link a short
/// prompt would be late for what an engine reads in some milliseconds.
const MOST_READ_TIMES: f64 = 12.0;
/// Time before the first byte from another engine, in milliseconds: a few hops.
const ENGINE_FIRST_BYTE_MS: f64 = 3.0;

/// Where an engine gets the parts of a prompt from.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchPlan {
    /// For each part where to fetch it from.
    pub sources: Vec<Option<SocketAddr>>,
    /// How long it may take, in milliseconds.
    pub budget_ms: u64,
    /// Tokens that it brings.
    pub tokens: TokenCount,
    /// What it waits for at the links of stores.
    pub wait: FetchWait,
}

/// Where one part can be fetched from.
struct PartSource<'a> {
    address: SocketAddr,
    data_centre: &'a DataCentre,
    tokens: TokenCount,
    /// Milliseconds before its first byte, the wait for its link included.
    begin_ms: f64,
    /// Milliseconds from then on, to an engine in its data centre.
    transfer_ms: f64,
}

impl PartSource<'_> {
    /// Milliseconds until an engine in a data centre has it.
    fn ready_ms(&self, centre: &DataCentre) -> f64 {
        let times = if self.data_centre == centre { 1.0 } else { REMOTE_TIMES };
        self.begin_ms + times * self.transfer_ms
    }
}

/// What stores and engines hold of a prompt under one salt.
pub(crate) struct SaltOffer<'a> {
    /// The salt.
    pub(crate) salt: Box<str>,
    /// Sources of the leading parts; a part helps only if all before it are there.
    sources: Vec<PartSource<'a>>,
}

/// The shared parts of a prompt; the last part is its own.
pub(crate) fn shared_parts(prompt: &PromptShape) -> &[PromptPart] {
    let shared = prompt.parts.len().saturating_sub(1);
    &prompt.parts[..shared]
}

/// The leading shared parts that are worth a transfer: up to the last long one.
fn moved_parts(prompt: &PromptShape) -> &[PromptPart] {
    let shared = shared_parts(prompt);
    let last_long = shared.iter().rposition(|part| part.tokens >= LEAST_TRANSFER);
    &shared[..last_long.map_or(0, |index| index + 1)]
}

/// The store that holds a part, or else the engine that read it last: the part may be on its way to
/// a store, or its store may have lost it. An engine that has dropped it costs a millisecond.
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
    let near_ms = transfer_ms(store, part.tokens, input.traits.token_bytes, &store.data_centre);
    let slowness = input.links.slowness(store.address, input.now);
    Some(PartSource {
        address: store.address,
        data_centre: &store.data_centre,
        tokens: part.tokens,
        begin_ms: input.links.wait_ms(store.address, input.now) + store.first_byte_ms,
        transfer_ms: (near_ms - store.first_byte_ms) * slowness,
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

/// Tokens at the prompt's beginning that an engine is believed to hold.
pub(crate) fn resident(input: &EngineInput<'_>, engine: &UpstreamId, salt: &str) -> TokenCount {
    input.parts.resident(engine, input.traits.memory, salt, shared_parts(input.prompt))
}

impl<'a> SaltOffer<'a> {
    /// What is held under the salt of some weights.
    pub(crate) fn new(input: &EngineInput<'a>, version: WeightVersion) -> Self {
        let salt = cache_salt(&input.prompt.model, version, &input.request.caller);
        let moved = moved_parts(input.prompt).iter();
        let sources = moved.map_while(|part| source_for(input, &salt, part)).collect();
        Self { salt, sources }
    }

    /// The sources of parts beyond what an engine holds of the prompt's beginning.
    fn lacking(&self, resident: TokenCount) -> &[PartSource<'a>] {
        let mut end = 0;
        let is_held = |source: &&PartSource<'_>| {
            end += source.tokens.0;
            end <= resident.0
        };
        let held = self.sources.iter().take_while(is_held).count();
        &self.sources[held..]
    }

    /// The import by an engine in a data centre that holds so many tokens already.
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

    /// What the chosen engine fetches, if that pays.
    pub(crate) fn fetch_plan(
        &self,
        input: &EngineInput<'_>,
        cost: &CandidateCost,
        entry: &UpstreamEntry,
    ) -> Option<FetchPlan> {
        if !cost.import && !cost.import_if_missing {
            return None;
        }
        let budget_ms = (cost.import_budget_ms * FETCH_TIMES).max(SHORTEST_FETCH_MS);
        let budget_ms = budget_ms.min(self.read_ms(input, entry) * MOST_READ_TIMES) as u64;
        let budget_ms = budget_ms.min(LONGEST_FETCH_MS);
        // What the chosen engine holds itself it need not fetch from itself.
        let foreign = |source: &PartSource<'_>| {
            Some(source.address).filter(|address| *address != entry.address)
        };
        let mut sources: Vec<Option<SocketAddr>> = self.sources.iter().map(foreign).collect();
        sources.resize(input.prompt.parts.len(), None);
        let has_source = sources.iter().any(Option::is_some);
        let wait = self.fetch_wait(input, cost, entry);
        has_source.then_some(FetchPlan { sources, budget_ms, tokens: self.tokens(), wait })
    }

    /// Milliseconds in which an engine reads what it lacks of these parts.
    fn read_ms(&self, input: &EngineInput<'_>, entry: &UpstreamEntry) -> f64 {
        let held = resident(input, &entry.id, &self.salt);
        let lacking = self.tokens().0.saturating_sub(held.0);
        lacking as f64 * 1_000.0 / input.prefill_of(&entry.id).0.max(1) as f64
    }

    /// What a prompt waits for, of the parts that its engine lacks.
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
        // A first token waits for the prompts before it as well, and would accuse the link of that.
        let expected_ms = ready_ms.max(input.wait_ms(&entry.id));
        let read_ms =
            cost.recompute.0 as f64 * 1_000.0 / input.prefill_of(&entry.id).0.max(1) as f64;
        FetchWait { stores, expected_ms, other_ms: read_ms + input.fixed_ms }
    }

    /// For each part the store to save it to, if none has it.
    pub(crate) fn save_plan(&self, input: &EngineInput<'_>) -> Vec<Option<SocketAddr>> {
        let mut plan = vec![None; input.prompt.parts.len()];
        for (part, target) in moved_parts(input.prompt).iter().zip(&mut plan) {
            let store = input.parts.store_for(input.stores, &self.salt, part, input.now);
            *target = store.map(|store| store.address);
        }
        plan
    }

    /// What fetches and saves of the prompt put on the stores' links. Parts that the engine holds are
    /// not fetched: counted as fetched, what all prompts begin with kept its store's link busy by
    /// itself, and half of the parts that lay in stores were read again for the wait believed there.
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
