//! The engines' prefill throughput, as learnt from answers.

use guava_types::TokenRate;

/// Throughput until something was learnt, in tokens a second: a middling accelerator.
const FIRST_GUESS: f64 = 40_000.0;
/// Prompts shorter than this say little: fixed times outweigh their prefill, in tokens.
const LEAST_TOKENS: u64 = 2_000;
/// Time to the first token beside the prefill, in milliseconds: two hops and some decoding steps.
const FIXED_MS: f64 = 15.0;
/// Weights of a new figure. Waits behind other work make an engine look slower than it is, never
/// faster, so the estimate rises fast and falls slowly.
const RISE: f64 = 0.3;
const FALL: f64 = 0.03;

/// Estimate of the prefill throughput.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    tokens_per_s: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens_per_s: FIRST_GUESS }
    }
}

impl PrefillRate {
    /// Takes in that a prompt of so many uncached tokens had its first token after so long.
    pub fn note(&mut self, tokens: u64, elapsed_ms: u64) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let found = tokens as f64 * 1_000.0 / (elapsed_ms as f64 - FIXED_MS).max(1.0);
        let weight = if found > self.tokens_per_s { RISE } else { FALL };
        self.tokens_per_s += (found - self.tokens_per_s) * weight;
    }

    /// The estimate.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.tokens_per_s as u64)
    }
}
