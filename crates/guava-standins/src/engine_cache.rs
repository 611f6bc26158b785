//! The prefix cache of a stand-in engine: whole sequences, least recently used out first.

use guava_outside::CacheEvent;

/// A cached sequence.
#[derive(Clone, Debug)]
struct CachedSequence {
    salt: Box<str>,
    hashes: Vec<Box<str>>,
    used: u64,
}

/// The cache; lengths in blocks.
#[derive(Debug, Default)]
pub struct EngineCache {
    sequences: Vec<CachedSequence>,
    capacity: usize,
    clock: u64,
    evictions: Vec<CacheEvent>,
    evicted: u64,
}

fn common(left: &[Box<str>], right: &[Box<str>]) -> usize {
    left.iter().zip(right).take_while(|(left, right)| left == right).count()
}

impl EngineCache {
    /// An empty cache of so many blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Blocks of a sequence that are cached.
    pub fn find(&mut self, salt: &str, hashes: &[Box<str>]) -> usize {
        self.clock += 1;
        let clock = self.clock;
        let same_salt = self.sequences.iter_mut().filter(|sequence| &*sequence.salt == salt);
        let best = same_salt.max_by_key(|sequence| common(&sequence.hashes, hashes));
        let Some(best) = best else { return 0 };
        best.used = clock;
        common(&best.hashes, hashes)
    }

    /// Whether a prefix that ends with this hash is cached.
    pub fn holds(&self, salt: &str, last_hash: &str) -> bool {
        self.sequences
            .iter()
            .filter(|sequence| &*sequence.salt == salt)
            .any(|sequence| sequence.hashes.iter().any(|hash| &**hash == last_hash))
    }

    /// Caches a sequence and evicts what no longer fits.
    pub fn insert(&mut self, salt: &str, hashes: &[Box<str>]) {
        if hashes.is_empty() || hashes.len() > self.capacity {
            return;
        }
        self.clock += 1;
        let covers = |sequence: &CachedSequence| {
            &*sequence.salt == salt && common(&sequence.hashes, hashes) == sequence.hashes.len()
        };
        self.sequences.retain(|sequence| !covers(sequence));
        let used = self.clock;
        self.sequences.push(CachedSequence { salt: salt.into(), hashes: hashes.to_vec(), used });
        while self.blocks() > self.capacity {
            self.evict_oldest();
        }
    }

    fn blocks(&self) -> usize {
        self.sequences.iter().map(|sequence| sequence.hashes.len()).sum()
    }

    fn evict_oldest(&mut self) {
        let oldest = self.sequences.iter().enumerate().min_by_key(|(_, sequence)| sequence.used);
        let Some((index, _)) = oldest else { return };
        let sequence = self.sequences.swap_remove(index);
        let first_hash = sequence.hashes.into_iter().next().unwrap_or_default();
        self.evictions.push(CacheEvent { sequence: self.evicted, salt: sequence.salt, first_hash });
        self.evicted += 1;
    }

    /// Evicts everything.
    pub fn clear(&mut self) {
        while !self.sequences.is_empty() {
            self.evict_oldest();
        }
    }

    /// Evictions from a sequence number on, and the number after the last.
    pub fn evictions_from(&self, from: u64) -> (u64, Vec<CacheEvent>) {
        let events = self.evictions.iter().filter(|event| event.sequence >= from);
        (self.evicted, events.cloned().collect())
    }
}
