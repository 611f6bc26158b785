//! The key of a cached part of a prompt.

use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// One part under one salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PartKey(pub u64);

impl PartKey {
    /// The key of a part.
    pub fn new(salt: &str, id: &str) -> Self {
        let mut hasher = FxHasher::default();
        salt.hash(&mut hasher);
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}
