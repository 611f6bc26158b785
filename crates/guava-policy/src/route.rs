//! Routing: the upstream with the least weighted cost of waiting, recomputing and importing.

use guava_state::WeightProfile;
use guava_types::{ByteCount, LinkRate, TokenCount, TokenRate, UpstreamId};
use std::fmt;

/// Candidates this close to the best, as a share of its cost, are as good as the best where loads are
/// known by reports and gossip, some tenths of a second late.
pub const NEAR_BEST_FRACTION: f64 = 0.10;
/// Cost that is always as good as equal, in milliseconds of first token.
const NEAR_BEST_MS: f64 = 2.0;
/// Fixed time of an import beyond its bytes, in milliseconds.
const IMPORT_SETUP_MS: f64 = 3.0;
/// Extra wait for each request that finds no free slot, in milliseconds.
const SLOT_WAIT_MS: f64 = 100.0;

/// A sealed block that could be imported.
#[derive(Clone, Debug, PartialEq)]
pub struct ImportOffer {
    /// Tokens that it covers.
    pub tokens: TokenCount,
    /// Bytes over the link.
    pub bytes: ByteCount,
    /// Throughput of the link.
    pub rate: LinkRate,
    /// Bytes already waiting for the link.
    pub queued: ByteCount,
}

/// An upstream as the router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteCandidate {
    /// Which.
    pub upstream: UpstreamId,
    /// Milliseconds before a new request's prefill starts.
    pub wait_ms: f64,
    /// Prefill throughput.
    pub prefill: TokenRate,
    /// Requests beyond its slots.
    pub over_slots: u32,
    /// Tokens of the prompt that it is believed to have cached.
    pub resident: TokenCount,
    /// The import that is left of the block on offer, where it is known to hold a part: the same
    /// tokens, fewer bytes. Nothing where all would be imported.
    pub missing: Option<ImportOffer>,
    /// How many times slower than expected it has been.
    pub slowness: f64,
    /// Whether it is one of those that this daemon takes first among equals.
    ///
    /// What daemons know of each other's choices is late. Drawing among all equals, two of them
    /// often send to the same idle upstream within that time, and one request waits for the other;
    /// so the upstreams are divided among the daemons for that purpose.
    pub is_preferred: bool,
}

/// What a decision is made on.
#[derive(Clone, Debug)]
pub struct RouteInput<'a> {
    /// Length of the prompt.
    pub prompt: TokenCount,
    /// Upstreams that may take it: right model and version, not leaving.
    pub candidates: &'a [RouteCandidate],
    /// The longest sealed block, if any.
    pub import: Option<&'a ImportOffer>,
    /// Weights of the measures.
    pub profile: WeightProfile,
    /// Candidates this close to the best, as a share of its cost, are as good as the best.
    pub near_best_fraction: f64,
    /// A random number that spreads equal choices.
    pub draw: u64,
}

/// One candidate's cost, for the decision's log line.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateCost {
    /// Which.
    pub upstream: UpstreamId,
    /// Weighted cost; only comparable within one decision.
    pub cost: f64,
    /// Expected time to first token, in milliseconds.
    pub first_token_ms: f64,
    /// Time to first token if nothing is cached there after all, in milliseconds.
    pub worst_ms: f64,
    /// How long an import may take before recomputing would have been cheaper, in milliseconds.
    ///
    /// By the weights: where recomputed tokens weigh much, a slow import is worth waiting for.
    pub import_budget_ms: f64,
    /// Whether importing is cheaper than recomputing there.
    pub import: bool,
    /// Whether importing beats recomputing if nothing is cached there after all.
    ///
    /// Cache events come late: an engine that is believed to hold a prompt may have evicted it.
    /// With the order to import what it misses, a wrong belief costs a transfer, not a recompute.
    pub import_if_missing: bool,
    /// Tokens that will be recomputed there.
    pub recompute: TokenCount,
}

impl fmt::Display for CandidateCost {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let import = if self.import { "+import" } else { "" };
        write!(
            out,
            "{}={:.0}({:.0}ms,{}t{import})",
            self.upstream, self.cost, self.first_token_ms, self.recompute.0
        )
    }
}

/// The router's choice.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDecision {
    /// The chosen candidate.
    pub chosen: CandidateCost,
    /// All candidates, cheapest first.
    pub costs: Vec<CandidateCost>,
    /// Why, in a word.
    pub reason: &'static str,
}

fn weighted(profile: WeightProfile, first_token_ms: f64, recompute: f64, bytes: f64) -> f64 {
    f64::from(profile.first_token) * first_token_ms
        + f64::from(profile.recompute) * recompute
        + f64::from(profile.link) * bytes / 1_024.0
}

/// Weighted cost of a way to the first token, and its time.
struct WayCost {
    cost: f64,
    ready_ms: f64,
    first_token_ms: f64,
    recompute: f64,
}

fn recompute_way(input: &RouteInput<'_>, candidate: &RouteCandidate, resident: u64) -> WayCost {
    let rate = candidate.prefill.0.max(1) as f64 / 1_000.0;
    let missing = (input.prompt.0 - resident) as f64;
    let first_token_ms = (wait_of(candidate) + missing / rate) * candidate.slowness;
    let cost = weighted(input.profile, first_token_ms, missing, 0.0);
    WayCost { cost, ready_ms: 0.0, first_token_ms, recompute: missing }
}

fn import_way(input: &RouteInput<'_>, candidate: &RouteCandidate, offer: &ImportOffer) -> WayCost {
    let rate = candidate.prefill.0.max(1) as f64 / 1_000.0;
    let link = offer.rate.0.max(1) as f64 / 1_000.0;
    let import_ms = IMPORT_SETUP_MS + (offer.bytes.0 + offer.queued.0) as f64 / link;
    let left = input.prompt.0.saturating_sub(offer.tokens.0) as f64;
    // The import of one request overlaps with the prefill of those before it.
    let ready_ms = wait_of(candidate).max(import_ms);
    let first_token_ms = (ready_ms + left / rate) * candidate.slowness;
    let cost = weighted(input.profile, first_token_ms, left, offer.bytes.0 as f64);
    WayCost { cost, ready_ms, first_token_ms, recompute: left }
}

fn wait_of(candidate: &RouteCandidate) -> f64 {
    candidate.wait_ms + f64::from(candidate.over_slots) * SLOT_WAIT_MS
}

fn cost_of(input: &RouteInput<'_>, candidate: &RouteCandidate) -> CandidateCost {
    let resident = candidate.resident.0.min(input.prompt.0);
    let plain = recompute_way(input, candidate, resident);
    let from_nothing = recompute_way(input, candidate, 0);
    let offer = candidate.missing.as_ref().or(input.import);
    let imported = offer.map(|offer| import_way(input, candidate, offer));
    let is_import = imported.as_ref().is_some_and(|way| way.cost < plain.cost);
    let import_if_missing = imported.as_ref().is_some_and(|way| way.cost < from_nothing.cost);
    let import_budget_ms = imported.as_ref().map_or(0.0, |way| {
        let saved = from_nothing.cost - way.cost;
        let weight = f64::from(input.profile.first_token.max(1)) * candidate.slowness;
        way.ready_ms + saved.max(0.0) / weight
    });
    let way = imported.filter(|_| is_import).unwrap_or(plain);
    CandidateCost {
        upstream: candidate.upstream.clone(),
        cost: way.cost,
        first_token_ms: way.first_token_ms,
        worst_ms: from_nothing.first_token_ms / candidate.slowness.max(1.0),
        import_budget_ms,
        import: is_import,
        import_if_missing,
        recompute: TokenCount(way.recompute as u64),
    }
}

fn reason_for(decision: &CandidateCost, near: usize, prompt: TokenCount) -> &'static str {
    if decision.import {
        "import"
    } else if decision.recompute.0 * 2 < prompt.0 {
        "resident"
    } else if near > 1 {
        "spread"
    } else {
        "least-cost"
    }
}

/// Chooses an upstream; nothing if there is no candidate.
pub fn decide_route(input: &RouteInput<'_>) -> Option<RouteDecision> {
    let mut costs: Vec<CandidateCost> =
        input.candidates.iter().map(|candidate| cost_of(input, candidate)).collect();
    costs.sort_by(|left, right| left.cost.total_cmp(&right.cost));
    let best = costs.first()?.cost;
    let slack = NEAR_BEST_MS * f64::from(input.profile.first_token.max(1));
    let limit = best * (1.0 + input.near_best_fraction) + slack;
    let near: Vec<&CandidateCost> = costs.iter().take_while(|cost| cost.cost <= limit).collect();
    let is_own = |cost: &&&CandidateCost| {
        input.candidates.iter().any(|other| other.upstream == cost.upstream && other.is_preferred)
    };
    let own: Vec<&CandidateCost> = near.iter().filter(is_own).copied().collect();
    let drawn_from = if own.is_empty() { &near } else { &own };
    let index = usize::try_from(input.draw % drawn_from.len().max(1) as u64).unwrap_or(0);
    let chosen = (*drawn_from.get(index)?).clone();
    let reason = reason_for(&chosen, near.len(), input.prompt);
    Some(RouteDecision { chosen, costs, reason })
}
