//! Export: which prefixes are worth the link capacity that their transfer takes.

use guava_state::WeightProfile;
use guava_types::{ByteCount, LinkRate, Moment, TokenCount, TokenRate};

/// Prefixes shorter than this are recomputed, in tokens.
const MIN_TOKENS: u64 = 256;
/// Longest queue of a link to which an export is added, in milliseconds.
const MAX_LINK_WAIT_MS: f64 = 2_000.0;

/// What is known of a prefix, a link and the engines.
#[derive(Clone, Copy, Debug)]
pub struct ExportInput {
    /// Length of the prefix.
    pub tokens: TokenCount,
    /// Size of the prefix as transferred.
    pub bytes: ByteCount,
    /// Throughput of the link.
    pub rate: LinkRate,
    /// Bytes that wait for the link.
    pub queued: ByteCount,
    /// Prefill throughput of the engines.
    pub prefill: TokenRate,
    /// How often the prefix was used, this use included.
    pub use_count: u32,
    /// The previous use; `None` at the first.
    pub last_use: Option<Moment>,
    /// The current moment.
    pub now: Moment,
    /// Weights of first-token time, recomputation and link use.
    pub profile: WeightProfile,
}

/// Whether the expected saving of a reuse is worth the bytes transferred.
///
/// A prefix used once is half as likely to be reused as one that has been reused. A gap of more than
/// a second makes it likely that the engine will have evicted it by the next use.
pub fn should_export(input: &ExportInput) -> bool {
    if input.tokens.0 < MIN_TOKENS {
        return false;
    }
    let link_wait_ms = input.queued.0 as f64 * 1_000.0 / input.rate.0.max(1) as f64;
    if link_wait_ms > MAX_LINK_WAIT_MS {
        return false;
    }
    let was_reused = input.use_count > 1;
    let gap_ms = input.last_use.map_or(0, |before| input.now.millis_since(before));
    let reuse_likelihood = match (was_reused, gap_ms > 1_000) {
        (true, true) => 1.0,
        (true, false) => 0.7,
        (false, _) => 0.5,
    };
    let prefill_ms = input.tokens.0 as f64 * 1_000.0 / input.prefill.0.max(1) as f64;
    let transfer_ms = input.bytes.0 as f64 * 1_000.0 / input.rate.0.max(1) as f64;
    let weight = f64::from(input.profile.first_token);
    let saved = weight * (prefill_ms - transfer_ms)
        + f64::from(input.profile.recompute) * input.tokens.0 as f64;
    let spent = f64::from(input.profile.link) * input.bytes.0 as f64 / 1_024.0;
    // One write, then on average one read.
    saved * reuse_likelihood > 2.0 * spent * 0.5
}
