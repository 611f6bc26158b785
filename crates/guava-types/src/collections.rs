//! Hash collections with a fast, non-cryptographic hasher.
//!
//! Keys from callers only ever reach these maps after authentication and with bounded counts, so a
//! hasher without flood protection is enough.

use rustc_hash::{FxHashMap, FxHashSet};

/// Hash map with the fast hasher.
pub type FastMap<K, V> = FxHashMap<K, V>;

/// Hash set with the fast hasher.
pub type FastSet<K> = FxHashSet<K>;
