//! The index of cached prefixes that this daemon owns: which engines hold them, which sealed
//! blocks the stores keep.
//!
//! The owner of a prefix family, all prompts that share their first block, is the daemon with the
//! largest rendezvous weight. It alone exports, grants reads and frees. A block's key belongs to
//! one write of one incarnation and is never used again.

use guava_outside::CacheEvent;
use guava_policy::{BLOCK_TOKENS, PrefixHash};
use guava_types::{ByteCount, Deadline, FastMap, Incarnation, Moment, TokenCount, UpstreamId};

/// How long a grant to read a block lasts, in milliseconds.
pub const GRANT_MS: u64 = 10_000;
/// How long after the last grant's end a block is freed at the earliest, in milliseconds.
const FREE_MARGIN_MS: u64 = 2_000;
/// Bytes of KV cache taken for a token before the first block was sealed.
const FIRST_KV_BYTES: u64 = 256;
/// Families kept.
const MAX_FAMILIES: usize = 20_000;

/// A block that the store has sealed and confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedEntry {
    /// Its key.
    pub key: Box<str>,
    /// The store.
    pub store: UpstreamId,
    /// Bytes.
    pub length: ByteCount,
    /// BLAKE3 digest, in hexadecimal.
    pub digest: Box<str>,
    /// Tokens.
    pub tokens: TokenCount,
    /// Hash of the last block that it covers.
    pub last_hash: PrefixHash,
    /// When the last grant given ends.
    pub granted_until: Deadline,
}

impl SealedEntry {
    fn blocks(&self) -> usize {
        usize::try_from(self.tokens.0 / BLOCK_TOKENS).unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
struct PrefixFamily {
    salt: Box<str>,
    residents: FastMap<UpstreamId, Vec<PrefixHash>>,
    sealed: Vec<SealedEntry>,
    exporting: bool,
    seen: u32,
    last_seen: Moment,
    last_hashes: Vec<PrefixHash>,
}

impl PrefixFamily {
    fn new(salt: &str, now: Moment) -> Self {
        Self {
            salt: salt.into(),
            residents: FastMap::default(),
            sealed: Vec::new(),
            exporting: false,
            seen: 0,
            last_seen: now,
            last_hashes: Vec::new(),
        }
    }
}

/// A grant to read a sealed block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadGrant {
    /// The block.
    pub block: SealedEntry,
    /// When the grant ends.
    pub until: Deadline,
}

/// What is known of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixFound {
    /// Engines that are believed to hold it, with the number of its blocks.
    pub residents: Vec<(UpstreamId, usize)>,
    /// The longest sealed block.
    pub offer: Option<ReadGrant>,
}

/// What was known of a prompt when an engine computed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenBefore {
    /// Times seen, this one included.
    pub seen: u32,
    /// When it was seen before.
    pub last_seen: Option<Moment>,
    /// Blocks that it shares with the prompt seen before it; none if there was none.
    pub shared_blocks: usize,
    /// Blocks that the longest sealed block covers.
    pub sealed_blocks: usize,
    /// Whether an export of its family is under way.
    pub exporting: bool,
}

/// The index.
#[derive(Debug, Default)]
pub struct CacheIndex {
    families: FastMap<PrefixHash, PrefixFamily>,
    writes: u64,
    kv_bytes: Option<u64>,
}

fn common(left: &[PrefixHash], right: &[PrefixHash]) -> usize {
    left.iter().zip(right).take_while(|(left, right)| left == right).count()
}

fn hex_hash(text: &str) -> Option<PrefixHash> {
    u128::from_str_radix(text, 16).ok().map(|number| PrefixHash(number.to_be_bytes()))
}

impl CacheIndex {
    /// Looks a prompt up and grants the read of its longest sealed block.
    pub fn lookup(&mut self, salt: &str, hashes: &[PrefixHash], now: Moment) -> PrefixFound {
        let family = hashes.first().and_then(|first| self.families.get_mut(first));
        // The salt is in the hashes already; compared once more, since a hit across customers or
        // versions would be a leak.
        let Some(family) = family.filter(|family| *family.salt == *salt) else {
            return PrefixFound::default();
        };
        let residents = family
            .residents
            .iter()
            .map(|(upstream, cached)| (upstream.clone(), common(cached, hashes)))
            .collect();
        let covers = |block: &&mut SealedEntry| {
            let last = block.blocks().checked_sub(1).and_then(|last| hashes.get(last));
            last == Some(&block.last_hash)
        };
        let best = family.sealed.iter_mut().filter(covers).max_by_key(|block| block.tokens);
        let offer = best.map(|block| {
            let until = Deadline::after(now, GRANT_MS);
            block.granted_until = block.granted_until.max(until);
            ReadGrant { block: block.clone(), until }
        });
        PrefixFound { residents, offer }
    }

    /// Notes that an engine has computed a prompt.
    pub fn note(
        &mut self,
        salt: &str,
        hashes: &[PrefixHash],
        upstream: &UpstreamId,
        now: Moment,
    ) -> Option<SeenBefore> {
        let first = *hashes.first()?;
        if self.families.len() >= MAX_FAMILIES && !self.families.contains_key(&first) {
            self.forget_oldest();
        }
        let family = self.families.entry(first).or_insert_with(|| PrefixFamily::new(salt, now));
        let last_seen = (family.seen > 0).then_some(family.last_seen);
        family.seen += 1;
        family.last_seen = now;
        family.residents.insert(upstream.clone(), hashes.to_vec());
        let shared_blocks = common(&family.last_hashes, hashes);
        family.last_hashes = hashes.to_vec();
        let sealed = family.sealed.iter().filter(|block| {
            block.blocks().checked_sub(1).and_then(|last| hashes.get(last))
                == Some(&block.last_hash)
        });
        let sealed_blocks = sealed.map(SealedEntry::blocks).max().unwrap_or(0);
        let exporting = family.exporting;
        Some(SeenBefore { seen: family.seen, last_seen, shared_blocks, sealed_blocks, exporting })
    }

    fn forget_oldest(&mut self) {
        // Blocks of a forgotten family stay in their store until its owner is gone, so only
        // families without any are forgotten.
        let oldest = self
            .families
            .iter()
            .filter(|(_, family)| family.sealed.is_empty())
            .min_by_key(|(_, family)| family.last_seen)
            .map(|(first, _)| *first);
        if let Some(first) = oldest {
            self.families.remove(&first);
        }
    }

    /// A key that was never used and never will be again.
    pub fn fresh_key(&mut self, owner: Incarnation, last: &PrefixHash) -> Box<str> {
        self.writes += 1;
        format!("{owner}-{last}-{}", self.writes).into()
    }

    /// Marks a family's export as under way or over.
    pub fn set_exporting(&mut self, first: &PrefixHash, exporting: bool) {
        if let Some(family) = self.families.get_mut(first) {
            family.exporting = exporting;
        }
    }

    /// Bytes of KV cache for each token, as learnt from the last sealed block.
    pub fn kv_bytes(&self) -> u64 {
        self.kv_bytes.unwrap_or(FIRST_KV_BYTES)
    }

    /// Enters a block that its store has sealed.
    pub fn seal(&mut self, first: &PrefixHash, block: SealedEntry) {
        self.kv_bytes = block.length.0.checked_div(block.tokens.0);
        if let Some(family) = self.families.get_mut(first) {
            family.sealed.push(block);
        }
    }

    /// Takes out blocks that may be freed: those covered by a longer one, and then the least
    /// lately used of one store, if `need` asks for room there.
    ///
    /// A block whose grant may still be in use stays: its reader would find a hole or, in a store
    /// that reuses slots, another block's bytes.
    pub fn take_freeable(&mut self, need: Option<&UpstreamId>, now: Moment) -> Vec<SealedEntry> {
        let is_free = |block: &SealedEntry| {
            Deadline::after(block.granted_until.0, FREE_MARGIN_MS).passed(now)
        };
        let mut freed = Vec::new();
        for family in self.families.values_mut() {
            let longest = family.sealed.iter().map(|block| block.tokens).max();
            family.sealed.retain(|block| {
                let is_covered = Some(block.tokens) < longest && is_free(block);
                if is_covered {
                    freed.push(block.clone());
                }
                !is_covered
            });
        }
        if let (Some(store), true) = (need, freed.is_empty()) {
            let oldest = self
                .families
                .values_mut()
                .filter(|family| {
                    family.sealed.iter().any(|block| block.store == *store && is_free(block))
                })
                .min_by_key(|family| family.last_seen);
            if let Some(family) = oldest {
                let place = family.sealed.iter().position(|b| b.store == *store && is_free(b));
                freed.extend(place.map(|place| family.sealed.swap_remove(place)));
            }
        }
        freed
    }

    /// Takes a block out that turned out to be unreadable.
    pub fn drop_store(&mut self, store: &UpstreamId) {
        for family in self.families.values_mut() {
            family.sealed.retain(|block| block.store != *store);
        }
    }

    /// An engine says that it evicted a family's prefix.
    pub fn note_eviction(&mut self, upstream: &UpstreamId, event: &CacheEvent) {
        let family = hex_hash(&event.first_hash).and_then(|first| self.families.get_mut(&first));
        if let Some(family) = family.filter(|family| family.salt == event.salt) {
            family.residents.remove(upstream);
        }
    }

    /// Forgets what an engine holds.
    pub fn forget_upstream(&mut self, upstream: &UpstreamId) {
        self.families.values_mut().for_each(|family| {
            family.residents.remove(upstream);
        });
    }

    /// All families with sealed blocks, taken out to be handed over: salt, first hash, times seen,
    /// blocks.
    pub fn take_sealed(&mut self) -> Vec<(Box<str>, PrefixHash, u32, Vec<SealedEntry>)> {
        let families = self.families.iter_mut().filter(|(_, family)| !family.sealed.is_empty());
        families
            .map(|(first, family)| {
                let sealed = std::mem::take(&mut family.sealed);
                (family.salt.clone(), *first, family.seen, sealed)
            })
            .collect()
    }

    /// Takes over a family from an owner that leaves.
    pub fn adopt(
        &mut self,
        salt: &str,
        first: PrefixHash,
        seen: u32,
        sealed: Vec<SealedEntry>,
        now: Moment,
    ) {
        let family = self.families.entry(first).or_insert_with(|| PrefixFamily::new(salt, now));
        family.seen += seen;
        family.sealed.extend(sealed);
    }

    /// Families and sealed blocks.
    pub fn sizes(&self) -> (usize, usize) {
        let sealed = self.families.values().map(|family| family.sealed.len()).sum();
        (self.families.len(), sealed)
    }
}
