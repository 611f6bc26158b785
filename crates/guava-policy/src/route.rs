//! Routing: chooses the upstream with the lowest weighted cost of waiting for the first token,
//! recomputing prompt tokens, and importing cached data over a link.

use guava_state::WeightProfile;
use guava_types::{ByteCount, LinkRate, TokenCount, TokenRate, UpstreamId};
use std::fmt;

/// Fraction of the lowest cost by which a candidate may be dearer and still count as equal. It
/// suits loads that are known through reports and gossip, some tenths of a second late.
pub const NEAR_BEST_FRACTION: f64 = 0.10;
/// Difference in cost that always counts as equal, in milliseconds of time to first token.
const COST_TIE_MS: f64 = 2.0;
/// Fixed time of an import, in addition to the transfer of its bytes, in milliseconds.
const IMPORT_SETUP_MS: f64 = 3.0;
/// Additional expected wait for each request beyond the free slots, in milliseconds.
const SLOT_WAIT_MS: f64 = 100.0;

/// A possible import of a sealed block over a link.
#[derive(Clone, Debug, PartialEq)]
pub struct ImportOffer {
    /// Prompt tokens that the block covers.
    pub tokens: TokenCount,
    /// Bytes to transfer.
    pub bytes: ByteCount,
    /// Throughput of the link.
    pub rate: LinkRate,
    /// Bytes queued for the link before these.
    pub queued: ByteCount,
}

/// What routing knows of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteCandidate {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Milliseconds before a new request's prefill starts.
    pub wait_ms: f64,
    /// Prefill throughput.
    pub prefill: TokenRate,
    /// Number of its requests in excess of its slots.
    pub over_slots: u32,
    /// Leading tokens of the prompt that it is believed to have cached.
    pub resident: TokenCount,
    /// The import that remains where the upstream is known to hold a fraction of the offered block:
    /// the same tokens, fewer bytes. `None` if the complete block would be imported.
    pub missing: Option<ImportOffer>,
    /// Factor by which it has been slower than expected; 1 is as expected.
    pub slowness: f64,
    /// Whether this daemon prefers it among candidates of equal cost.
    ///
    /// Daemons learn of each other's choices late. If they drew among all equal candidates, two of
    /// them would often send to the same idle upstream within that time, and one request would wait
    /// for the other. So each daemon prefers a different set of upstreams.
    pub is_preferred: bool,
}

/// Input of a routing decision.
#[derive(Clone, Debug)]
pub struct RouteInput<'a> {
    /// Length of the prompt.
    pub prompt: TokenCount,
    /// Upstreams that may serve the request: right model and version, not leaving.
    pub candidates: &'a [RouteCandidate],
    /// The longest sealed block that covers a prefix of the prompt, if any.
    pub import: Option<&'a ImportOffer>,
    /// Weights of the cost terms.
    pub profile: WeightProfile,
    /// Fraction of the lowest cost by which a candidate may be dearer and still count as equal.
    pub near_best_fraction: f64,
    /// Random number that chooses among candidates of equal cost.
    pub draw: u64,
}

/// The cost of one candidate.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateCost {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Weighted cost; only comparable within one decision.
    pub cost: f64,
    /// Expected time to first token, in milliseconds.
    pub first_token_ms: f64,
    /// Time to first token at normal speed if the prompt turns out not to be cached, in
    /// milliseconds.
    pub worst_ms: f64,
    /// How long an import may take before recomputing would be cheaper, in milliseconds.
    ///
    /// It depends on the weights: where recomputed tokens weigh much, a slow import is worth the
    /// wait.
    pub import_budget_ms: f64,
    /// Whether importing the block is cheaper than recomputing the tokens that are not cached.
    pub import: bool,
    /// Whether importing the block is cheaper than recomputing if the prompt turns out not to be
    /// cached.
    ///
    /// Cache events arrive late: an engine that is believed to have cached a prompt may have
    /// evicted it. If the request allows it to import what it lacks, a wrong belief costs a
    /// transfer instead of a recomputation.
    pub import_if_missing: bool,
    /// Prompt tokens that the upstream will compute.
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

/// The result of routing.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDecision {
    /// The chosen candidate.
    pub chosen: CandidateCost,
    /// All candidates, cheapest first.
    pub costs: Vec<CandidateCost>,
    /// The label of the reason, for logs.
    pub reason: &'static str,
}

fn weighted_cost(profile: WeightProfile, first_token_ms: f64, recompute: f64, bytes: f64) -> f64 {
    f64::from(profile.first_token) * first_token_ms
        + f64::from(profile.recompute) * recompute
        + f64::from(profile.link) * bytes / 1_024.0
}

/// Cost and duration of one way to obtain the first token: by recomputing, or by an import.
struct PrefillCost {
    cost: f64,
    ready_ms: f64,
    first_token_ms: f64,
    recompute: f64,
}

fn recompute_cost(
    input: &RouteInput<'_>,
    candidate: &RouteCandidate,
    resident: u64,
) -> PrefillCost {
    let rate = candidate.prefill.0.max(1) as f64 / 1_000.0;
    let missing = (input.prompt.0 - resident) as f64;
    let first_token_ms = (start_wait_ms(candidate) + missing / rate) * candidate.slowness;
    let cost = weighted_cost(input.profile, first_token_ms, missing, 0.0);
    PrefillCost { cost, ready_ms: 0.0, first_token_ms, recompute: missing }
}

fn import_cost(
    input: &RouteInput<'_>,
    candidate: &RouteCandidate,
    offer: &ImportOffer,
) -> PrefillCost {
    let rate = candidate.prefill.0.max(1) as f64 / 1_000.0;
    let link = offer.rate.0.max(1) as f64 / 1_000.0;
    let import_ms = IMPORT_SETUP_MS + (offer.bytes.0 + offer.queued.0) as f64 / link;
    let left = input.prompt.0.saturating_sub(offer.tokens.0) as f64;
    // The import for one request overlaps with the prefill of the requests before it.
    let ready_ms = start_wait_ms(candidate).max(import_ms);
    let first_token_ms = (ready_ms + left / rate) * candidate.slowness;
    let cost = weighted_cost(input.profile, first_token_ms, left, offer.bytes.0 as f64);
    PrefillCost { cost, ready_ms, first_token_ms, recompute: left }
}

fn start_wait_ms(candidate: &RouteCandidate) -> f64 {
    candidate.wait_ms + f64::from(candidate.over_slots) * SLOT_WAIT_MS
}

fn candidate_cost(input: &RouteInput<'_>, candidate: &RouteCandidate) -> CandidateCost {
    let resident = candidate.resident.0.min(input.prompt.0);
    let recomputed = recompute_cost(input, candidate, resident);
    let uncached = recompute_cost(input, candidate, 0);
    let offer = candidate.missing.as_ref().or(input.import);
    let imported = offer.map(|offer| import_cost(input, candidate, offer));
    let is_import = imported.as_ref().is_some_and(|option| option.cost < recomputed.cost);
    let import_if_missing = imported.as_ref().is_some_and(|option| option.cost < uncached.cost);
    let import_budget_ms = imported.as_ref().map_or(0.0, |option| {
        let saved = uncached.cost - option.cost;
        let weight = f64::from(input.profile.first_token.max(1)) * candidate.slowness;
        option.ready_ms + saved.max(0.0) / weight
    });
    let option = imported.filter(|_| is_import).unwrap_or(recomputed);
    CandidateCost {
        upstream: candidate.upstream.clone(),
        cost: option.cost,
        first_token_ms: option.first_token_ms,
        worst_ms: uncached.first_token_ms / candidate.slowness.max(1.0),
        import_budget_ms,
        import: is_import,
        import_if_missing,
        recompute: TokenCount(option.recompute as u64),
    }
}

fn decision_reason(decision: &CandidateCost, near: usize, prompt: TokenCount) -> &'static str {
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

/// Chooses an upstream; `None` if there is no candidate.
pub fn decide_route(input: &RouteInput<'_>) -> Option<RouteDecision> {
    let mut costs: Vec<CandidateCost> =
        input.candidates.iter().map(|candidate| candidate_cost(input, candidate)).collect();
    costs.sort_by(|left, right| left.cost.total_cmp(&right.cost));
    let best = costs.first()?.cost;
    let slack = COST_TIE_MS * f64::from(input.profile.first_token.max(1));
    let limit = best * (1.0 + input.near_best_fraction) + slack;
    let near: Vec<&CandidateCost> = costs.iter().take_while(|cost| cost.cost <= limit).collect();
    let is_preferred = |cost: &&&CandidateCost| {
        input.candidates.iter().any(|other| other.upstream == cost.upstream && other.is_preferred)
    };
    let preferred: Vec<&CandidateCost> = near.iter().filter(is_preferred).copied().collect();
    let drawn_from = if preferred.is_empty() { &near } else { &preferred };
    let index = usize::try_from(input.draw % drawn_from.len().max(1) as u64).unwrap_or(0);
    let chosen = (*drawn_from.get(index)?).clone();
    let reason = decision_reason(&chosen, near.len(), input.prompt);
    Some(RouteDecision { chosen, costs, reason })
}
