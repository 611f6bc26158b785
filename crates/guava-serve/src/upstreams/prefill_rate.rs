//! The engines' prefill throughput, as learnt from answers.

use guava_types::{TokenCount, TokenRate};

/// Throughput until something was learnt, in tokens a second: a middling accelerator.
const FIRST_GUESS: f64 = 40_000.0;
/// Prompts shorter than this say little of the throughput, since fixed times outweigh their prefill,
/// and longer ones little of the fixed times; in tokens.
const LEAST_TOKENS: u64 = 2_000;
/// Time to the first token beside the prefill until something was learnt, in milliseconds: two hops
/// and some decoding steps.
const FIRST_FIXED_MS: f64 = 25.0;
/// Weights of a figure that is better than the one known, and of one that is worse. Waits behind
/// other work make an engine look slower than it is, never faster.
const BETTER: f64 = 0.3;
const WORSE: f64 = 0.03;

/// Estimate of the prefill throughput and of the fixed time to a first token.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    tokens_per_s: f64,
    fixed_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens_per_s: FIRST_GUESS, fixed_ms: FIRST_FIXED_MS }
    }
}

impl PrefillRate {
    /// Takes in that a prompt of so many uncached tokens had its first token after so long; the
    /// throughput that it shows, if it is long enough to show one.
    pub fn note(&mut self, tokens: u64, elapsed_ms: u64) -> Option<TokenRate> {
        if tokens < LEAST_TOKENS {
            let found = (elapsed_ms as f64 - self.read_ms(TokenCount(tokens), None)).max(1.0);
            let weight = if found < self.fixed_ms { BETTER } else { WORSE };
            self.fixed_ms += (found - self.fixed_ms) * weight;
            None
        } else {
            let found = tokens as f64 * 1_000.0 / (elapsed_ms as f64 - self.fixed_ms).max(1.0);
            let weight = if found > self.tokens_per_s { BETTER } else { WORSE };
            self.tokens_per_s += (found - self.tokens_per_s) * weight;
            Some(TokenRate(found as u64))
        }
    }

    /// Milliseconds in which an engine reads so many tokens, by its own throughput if that is known.
    pub fn read_ms(&self, tokens: TokenCount, own: Option<TokenRate>) -> f64 {
        let rate = own.map_or(self.tokens_per_s, |own| own.0 as f64);
        tokens.0 as f64 * 1_000.0 / rate.max(1.0)
    }

    /// Milliseconds to a first token beside the prefill.
    pub fn fixed_ms(&self) -> f64 {
        self.fixed_ms
    }

    /// The throughput.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.tokens_per_s as u64)
    }
}
