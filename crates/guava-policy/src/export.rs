//! Export: which prompts are worth their bytes on a link.

use guava_state::WeightProfile;
use guava_types::{ByteCount, LinkRate, Moment, TokenCount, TokenRate};

/// Prompts shorter than this are recomputed, in tokens.
const MIN_TOKENS: u64 = 256;
/// Longest queue of a link into which an export may be put, in milliseconds.
const MAX_LINK_WAIT_MS: f64 = 2_000.0;

/// What the decision is made on.
#[derive(Clone, Copy, Debug)]
pub struct ExportInput {
    /// Tokens of the prefix.
    pub tokens: TokenCount,
    /// Its size over the link.
    pub bytes: ByteCount,
    /// Throughput of the link.
    pub rate: LinkRate,
    /// Bytes already waiting for the link.
    pub queued: ByteCount,
    /// Prefill throughput of the engines.
    pub prefill: TokenRate,
    /// Times the prefix was seen, this one included.
    pub use_count: u32,
    /// When it was seen before, if ever.
    pub last_use: Option<Moment>,
    /// The current moment.
    pub now: Moment,
    /// Weights of the measures.
    pub profile: WeightProfile,
}

/// Whether the expected saving of a return is worth the bytes.
///
/// A prefix seen once is expected back half as surely as one that has come back; a gap of more than
/// a second makes it likely that the engine will have evicted it by the next return.
pub fn should_export(input: &ExportInput) -> bool {
    if input.tokens.0 < MIN_TOKENS {
        return false;
    }
    let link_wait_ms = input.queued.0 as f64 * 1_000.0 / input.rate.0.max(1) as f64;
    if link_wait_ms > MAX_LINK_WAIT_MS {
        return false;
    }
    let returned = input.use_count > 1;
    let gap_ms = input.last_use.map_or(0, |before| input.now.millis_since(before));
    let reuse = match (returned, gap_ms > 1_000) {
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
    saved * reuse > 2.0 * spent * 0.5
}
