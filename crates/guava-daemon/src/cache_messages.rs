//! Where a prompt is cached: asked of the owner of its family, and answered by it.

use crate::cache_index::{PrefixFound, ReadGrant, SealedEntry};
use crate::context::DaemonContext;
use crate::export_ring::PrefixNote;
use crate::lock::locked;
use guava_policy::PrefixHash;
use guava_schema::peers::{
    AdoptRequest, LookupReply, LookupRequest, NoteRequest, ResidentPrefix, SealedBlock,
};
use guava_types::{ByteCount, Deadline, Moment, TokenCount};

/// An owner that takes longer to answer is done without.
const LOOKUP_MS: u64 = 30;
const HASH_BYTES: usize = 16;

/// Hashes as passed between daemons.
pub fn pack_hashes(hashes: &[PrefixHash]) -> Vec<u8> {
    hashes.iter().flat_map(|hash| hash.0).collect()
}

/// Hashes as received.
pub fn unpack_hashes(bytes: &[u8]) -> Vec<PrefixHash> {
    let chunks = bytes.chunks_exact(HASH_BYTES);
    chunks.filter_map(|chunk| chunk.try_into().ok().map(PrefixHash)).collect()
}

/// Where a prompt is cached, and how much waits for the offered block's link.
#[derive(Clone, Debug, Default)]
pub struct CacheAnswer {
    /// Engines and sealed block.
    pub found: PrefixFound,
    /// Bytes waiting for the link.
    pub link_queued: ByteCount,
}

fn lookup_here(context: &DaemonContext, salt: &str, hashes: &[PrefixHash]) -> CacheAnswer {
    let found = locked(&context.index).lookup(salt, hashes, Moment::now());
    let stores = locked(&context.stores);
    let store = found.offer.as_ref().and_then(|grant| stores.get(&grant.block.store));
    let link_queued = store.map(|report| report.link_queued).unwrap_or_default();
    CacheAnswer { found, link_queued }
}

/// Asks the owner of a prompt's family where it is cached. An owner that does not answer at once
/// costs a recompute, not the request's time.
pub async fn lookup(context: &DaemonContext, salt: &str, hashes: &[PrefixHash]) -> CacheAnswer {
    let Some(first) = hashes.first() else { return CacheAnswer::default() };
    let address = {
        let peers = locked(&context.peer_table);
        let owner = peers.owner(context.me, *first, Moment::now());
        owner.and_then(|owner| peers.get(owner)).map(|entry| entry.identity.peer_address)
    };
    let Some(address) = address else { return lookup_here(context, salt, hashes) };
    let request = LookupRequest { salt: salt.into(), hashes: pack_hashes(hashes) };
    let asked = Moment::now();
    match context.links.lookup(address, request, LOOKUP_MS).await {
        Ok(reply) => answer_of(reply, asked),
        Err(_) => CacheAnswer::default(),
    }
}

fn sealed_entry(block: &SealedBlock, asked: Moment) -> Option<SealedEntry> {
    Some(SealedEntry {
        key: block.key.clone().into(),
        store: block.store.parse().ok()?,
        length: ByteCount(block.length),
        digest: block.digest.clone().into(),
        tokens: TokenCount(block.tokens),
        last_hash: unpack_hashes(&block.last_hash).first().copied()?,
        granted_until: Deadline::after(asked, u64::from(block.grant_left_ms)),
    })
}

fn sealed_block(block: &SealedEntry, until: Deadline) -> SealedBlock {
    let left = until.millis_left(Moment::now());
    SealedBlock {
        key: block.key.to_string(),
        store: block.store.to_string(),
        length: block.length.0,
        digest: block.digest.to_string(),
        tokens: block.tokens.0,
        grant_left_ms: u32::try_from(left).unwrap_or(u32::MAX),
        last_hash: block.last_hash.0.to_vec(),
    }
}

/// The grant is counted from before the question was sent: the reader's view of it ends first.
fn answer_of(reply: LookupReply, asked: Moment) -> CacheAnswer {
    let residents = reply.residents.iter().filter_map(|resident| {
        let blocks = usize::try_from(resident.blocks).ok()?;
        Some((resident.upstream.parse().ok()?, blocks))
    });
    let block = reply.offer.as_ref().and_then(|block| sealed_entry(block, asked));
    let offer = block.map(|block| ReadGrant { until: block.granted_until, block });
    CacheAnswer {
        found: PrefixFound { residents: residents.collect(), offer },
        link_queued: ByteCount(reply.link_queued),
    }
}

/// Answers a peer's lookup.
pub fn answer_lookup(context: &DaemonContext, request: &LookupRequest) -> LookupReply {
    let hashes = unpack_hashes(&request.hashes);
    let answer = lookup_here(context, &request.salt, &hashes);
    LookupReply {
        residents: answer
            .found
            .residents
            .iter()
            .map(|(upstream, blocks)| ResidentPrefix {
                upstream: upstream.to_string(),
                blocks: u32::try_from(*blocks).unwrap_or(u32::MAX),
            })
            .collect(),
        offer: answer.found.offer.map(|grant| sealed_block(&grant.block, grant.until)),
        link_queued: answer.link_queued.0,
    }
}

/// Tells the owner of a prompt's family that an engine has computed it.
pub async fn note_computed(context: &DaemonContext, note: PrefixNote) {
    const NOTE_MS: u64 = 1_000;
    let Some(first) = note.hashes.first() else { return };
    let address = {
        let peers = locked(&context.peer_table);
        let owner = peers.owner(context.me, *first, Moment::now());
        owner.and_then(|owner| peers.get(owner)).map(|entry| entry.identity.peer_address)
    };
    let Some(address) = address else { return context.exports.note(note) };
    let request = NoteRequest {
        salt: note.salt.into(),
        hashes: pack_hashes(&note.hashes),
        upstream: note.upstream.to_string(),
        model: note.model.to_string(),
        version: note.version.to_string(),
    };
    drop(context.links.note(address, request, NOTE_MS).await);
}

/// Takes a peer's note in.
pub fn answer_note(context: &DaemonContext, request: NoteRequest) {
    let names = (request.upstream.parse(), request.model.parse(), request.version.parse());
    if let (Ok(upstream), Ok(model), Ok(version)) = names {
        let hashes = unpack_hashes(&request.hashes);
        let salt = request.salt.into();
        context.exports.note(PrefixNote { salt, hashes, upstream, model, version });
    }
}

/// Takes index entries over from a daemon that leaves.
pub fn answer_adopt(context: &DaemonContext, request: AdoptRequest) {
    let now = Moment::now();
    for family in request.families {
        let sealed = family.blocks.iter().filter_map(|block| sealed_entry(block, now)).collect();
        let Some(first) = unpack_hashes(&family.seed).first().copied() else { continue };
        locked(&context.index).adopt(&family.salt, first, family.seen, sealed, now);
    }
}
