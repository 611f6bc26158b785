//! The index: grants, frees and what a lookup may find.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_daemon::{CacheIndex, GRANT_MS, SealedEntry};
use guava_policy::{PrefixChain, prefix_chain};
use guava_types::{ByteCount, Deadline, Moment, TokenCount, UpstreamId};

const NOW: Moment = Moment(1_000_000);

fn chain(customer: &str, version: &str, prompt: &str) -> PrefixChain {
    let (customer, model) = (customer.parse().unwrap(), "hints".parse().unwrap());
    prefix_chain(&customer, &model, &version.parse().unwrap(), prompt)
}

fn prompt() -> String {
    "a long packet of text, again and again. ".repeat(100)
}

fn store() -> UpstreamId {
    "store-0".parse().unwrap()
}

fn sealed(chain: &PrefixChain, blocks: usize, key: &str) -> SealedEntry {
    SealedEntry {
        key: key.into(),
        store: store(),
        length: ByteCount(1_000),
        digest: "d".into(),
        tokens: TokenCount(blocks as u64 * 64),
        last_hash: chain.hashes[blocks - 1],
        granted_until: Deadline::default(),
    }
}

fn index_with(chain: &PrefixChain) -> CacheIndex {
    let mut index = CacheIndex::default();
    let engine = "engine-0".parse().unwrap();
    index.note(&chain.salt, &chain.hashes, &engine, NOW);
    index.seal(&chain.hashes[0], sealed(chain, 10, "long"));
    index
}

#[test]
fn lookup_finds_the_longest_block_that_covers_the_prompt() {
    let chain = chain("acme", "v1", &prompt());
    let mut index = index_with(&chain);
    index.seal(&chain.hashes[0], sealed(&chain, 5, "short"));
    let other =
        self::chain("acme", "v1", &(prompt()[..256 * 7].to_owned() + "and then another end"));

    let whole = index.lookup(&chain.salt, &chain.hashes, NOW);
    let part = index.lookup(&other.salt, &other.hashes, NOW);

    assert_eq!(&*whole.offer.unwrap().block.key, "long");
    assert_eq!(&*part.offer.unwrap().block.key, "short");
}

#[test]
fn customers_and_versions_find_nothing_of_each_other() {
    let own = chain("acme", "v1", &prompt());
    let mut index = index_with(&own);

    for other in [chain("bolt", "v1", &prompt()), chain("acme", "v2", &prompt())] {
        let by_hash = index.lookup(&other.salt, &other.hashes, NOW);
        let by_salt = index.lookup(&other.salt, &own.hashes, NOW);

        assert!(by_hash.offer.is_none() && by_hash.residents.is_empty());
        assert!(by_salt.offer.is_none() && by_salt.residents.is_empty());
    }
}

#[test]
fn granted_block_is_not_freed_before_the_grant_ends() {
    // Symptom: a reader finds a hole, or another block's bytes.
    // Sequence: a read is granted; the store runs full; the owner looks for a block to free.
    // Cause: the free does not wait for readers.
    let chain = chain("acme", "v1", &prompt());
    let mut index = index_with(&chain);
    index.lookup(&chain.salt, &chain.hashes, NOW);

    let early = index.take_freeable(Some(&store()), Moment(NOW.0 + GRANT_MS));
    let late = index.take_freeable(Some(&store()), Moment(NOW.0 + GRANT_MS + 2_000));

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
    assert!(
        index.lookup(&chain.salt, &chain.hashes, NOW).offer.is_none(),
        "no grant after the free"
    );
}

#[test]
fn covered_block_is_freed_without_need() {
    let chain = chain("acme", "v1", &prompt());
    let mut index = index_with(&chain);
    index.seal(&chain.hashes[0], sealed(&chain, 5, "short"));

    let freed = index.take_freeable(None, NOW);

    assert_eq!(freed.iter().map(|block| &*block.key).collect::<Vec<_>>(), ["short"]);
}

#[test]
fn keys_are_never_used_again() {
    let chain = chain("acme", "v1", &prompt());
    let mut index = CacheIndex::default();
    let owner = guava_types::Incarnation(1);

    let keys = [(); 3].map(|()| index.fresh_key(owner, &chain.hashes[0]));

    assert!(keys[0] != keys[1] && keys[1] != keys[2] && keys[0] != keys[2]);
}
