//! Hash chains over the blocks of a prompt, keyed by customer, model and weight version.
//!
//! Because of the key, equal prompts of two customers, or for two versions, share no hash: an index
//! entry can't be found by the wrong customer or version even if every other check were missing.

use guava_types::{CustomerId, ModelName, TokenCount, VersionName};
use std::fmt;

/// Number of tokens in one block of the chain.
pub const BLOCK_TOKENS: u64 = 64;
/// Bytes that count as one token, since prompts are not tokenised here.
const TOKEN_BYTES: usize = 4;
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * TOKEN_BYTES;

/// Hash of all blocks of a prompt up to one of them, keyed by customer, model and version.
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

/// A prompt's chain: one hash for each complete block, which covers that block and all before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixChain {
    /// The cache salt that engines get for this customer, model and version.
    pub salt: Box<str>,
    /// Hashes, first block first.
    pub hashes: Vec<PrefixHash>,
    /// Estimated length of the complete prompt.
    pub tokens: TokenCount,
}

impl PrefixChain {
    /// The hash by which the daemon is chosen that owns the prompt's index entries: that of its
    /// first block, or of the salt for a prompt shorter than one block.
    pub fn owner_seed(&self) -> PrefixHash {
        let salt_hash = || {
            let mut bytes = [0; 16];
            bytes.copy_from_slice(&blake3::hash(self.salt.as_bytes()).as_bytes()[..16]);
            PrefixHash(bytes)
        };
        self.hashes.first().copied().unwrap_or_else(salt_hash)
    }

    /// Number of tokens in the complete blocks, rounded down from the length of the prompt.
    pub fn covered(&self) -> TokenCount {
        TokenCount(self.hashes.len() as u64 * BLOCK_TOKENS)
    }
}

/// Estimates a prompt's length from its bytes, rounded up.
fn estimated_tokens(prompt: &str) -> TokenCount {
    TokenCount(prompt.len().div_ceil(TOKEN_BYTES) as u64)
}

/// Computes the chain of a prompt. A last block that is incomplete gets no hash.
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
    PrefixChain { salt: root.to_hex().as_str().into(), hashes, tokens: estimated_tokens(prompt) }
}
