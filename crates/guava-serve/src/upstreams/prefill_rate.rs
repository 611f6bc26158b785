//! Prefill throughput of the engines, estimated from answers.

use guava_types::{TokenCount, TokenRate};

/// Initial throughput, in tokens per second: that of an average accelerator.
const INITIAL_TOKENS_PER_S: f64 = 40_000.0;
/// Shortest prompt that measures the throughput, in tokens. The fixed time outweighs the prefill of
/// shorter prompts, which measure the fixed time instead; longer ones say little about it.
const MIN_PREFILL_TOKENS: u64 = 2_000;
/// Initial estimate of the time to the first token without the prefill, in milliseconds: two
/// network hops and some decoding steps.
const INITIAL_FIXED_MS: f64 = 25.0;
/// Weights of a measurement that is better than the estimate, and of one that is worse. Waiting
/// behind other work makes an engine appear slower than it is, never faster.
const FASTER_WEIGHT: f64 = 0.3;
const SLOWER_WEIGHT: f64 = 0.03;

/// Estimate of the prefill throughput, and of the fixed time to a first token.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    tokens_per_s: f64,
    fixed_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens_per_s: INITIAL_TOKENS_PER_S, fixed_ms: INITIAL_FIXED_MS }
    }
}

impl PrefillRate {
    /// Adds a measurement: a prompt with `tokens` uncached tokens had its first token after
    /// `elapsed_ms`. Returns the throughput measured, if the prompt is long enough.
    pub fn note(&mut self, tokens: u64, elapsed_ms: u64) -> Option<TokenRate> {
        if tokens < MIN_PREFILL_TOKENS {
            let measured = (elapsed_ms as f64 - self.read_ms(TokenCount(tokens), None)).max(1.0);
            let weight = if measured < self.fixed_ms { FASTER_WEIGHT } else { SLOWER_WEIGHT };
            self.fixed_ms += (measured - self.fixed_ms) * weight;
            None
        } else {
            let measured = tokens as f64 * 1_000.0 / (elapsed_ms as f64 - self.fixed_ms).max(1.0);
            let weight = if measured > self.tokens_per_s { FASTER_WEIGHT } else { SLOWER_WEIGHT };
            self.tokens_per_s += (measured - self.tokens_per_s) * weight;
            Some(TokenRate(measured as u64))
        }
    }

    /// Milliseconds in which an engine reads so many tokens, at its `own` throughput if that is
    /// known.
    pub fn read_ms(&self, tokens: TokenCount, own: Option<TokenRate>) -> f64 {
        let rate = own.map_or(self.tokens_per_s, |own| own.0 as f64);
        tokens.0 as f64 * 1_000.0 / rate.max(1.0)
    }

    /// Milliseconds to a first token without the prefill.
    pub fn fixed_ms(&self) -> f64 {
        self.fixed_ms
    }

    /// Estimated throughput.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.tokens_per_s as u64)
    }
}
