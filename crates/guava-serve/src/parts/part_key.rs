//! The key of a prompt part.
//!
//! All daemons compute the same key from a salt and an id, so messages carry keys only.

use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// A hash of one part's salt and id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PartKey(pub u64);

impl PartKey {
    /// Hashes a salt and a part's id.
    pub fn new(salt: &str, id: &str) -> Self {
        let mut hasher = FxHasher::default();
        salt.hash(&mut hasher);
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}
