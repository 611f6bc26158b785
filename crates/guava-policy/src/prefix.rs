//! Hash chains over a prompt's blocks, rooted in customer, model and weight version.
//!
//! The root makes equal prompts of two customers, or under two versions, share no hash: an index
//! entry can't be found from the wrong side even if every other check were missing.

use guava_types::{CustomerId, ModelName, TokenCount, VersionName};
use std::fmt;

/// Tokens in one block of the chain.
pub const BLOCK_TOKENS: u64 = 64;
/// Bytes counted as one token where no tokenizer is at hand.
const TOKEN_BYTES: usize = 4;
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * TOKEN_BYTES;

/// Hash of a prompt's first blocks, together with its root.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixHash(pub [u8; 16]);

impl fmt::Display for PrefixHash {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

impl fmt::Debug for PrefixHash {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}

/// A prompt's chain: one hash for each whole block, each covering all blocks before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixChain {
    /// The engines' cache salt for this customer, model and version.
    pub salt: Box<str>,
    /// Hashes, first block first.
    pub hashes: Vec<PrefixHash>,
    /// The prompt's whole length.
    pub tokens: TokenCount,
}

impl PrefixChain {
    /// What decides which daemon owns the prompt's entries: its first block, or the salt alone for
    /// a prompt shorter than a block.
    pub fn owner_seed(&self) -> PrefixHash {
        let short = || {
            let mut bytes = [0; 16];
            bytes.copy_from_slice(&blake3::hash(self.salt.as_bytes()).as_bytes()[..16]);
            PrefixHash(bytes)
        };
        self.hashes.first().copied().unwrap_or_else(short)
    }

    /// Tokens that whole blocks cover.
    pub fn covered(&self) -> TokenCount {
        TokenCount(self.hashes.len() as u64 * BLOCK_TOKENS)
    }
}

/// A prompt's length where no tokenizer is at hand.
pub fn tokens_in(prompt: &str) -> TokenCount {
    TokenCount(prompt.len().div_ceil(TOKEN_BYTES) as u64)
}

/// The chain of a prompt.
pub fn prefix_chain(
    customer: &CustomerId,
    model: &ModelName,
    version: &VersionName,
    prompt: &str,
) -> PrefixChain {
    let root = blake3::hash(format!("{customer}\n{model}\n{version}").as_bytes());
    let mut hasher = blake3::Hasher::new_keyed(root.as_bytes());
    let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        hasher.update(block);
        let mut hash = [0; 16];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        hashes.push(PrefixHash(hash));
    }
    PrefixChain { salt: root.to_hex().as_str().into(), hashes, tokens: tokens_in(prompt) }
}
