//! The cache duty: decides on exports of the prefixes that this daemon owns, carries them out,
//! frees blocks; and answers where a prompt is cached.

use crate::announcement_handler::is_backing_off;
use crate::cache_index::{SealedEntry, SeenBefore};
use crate::context::DaemonContext;
use crate::events;
use crate::export_ring::PrefixNote;
use crate::lock::locked;
use guava_log::log_event;
use guava_outside::{EngineClient, ExportOrder, StoreClient, StoreReport};
use guava_policy::{BLOCK_TOKENS, ExportInput, PrefixHash, should_export};
use guava_state::{UpstreamKind, UpstreamSpec};
use guava_types::{ByteCount, Deadline, Incarnation, Moment, TokenCount, UpstreamId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

/// Exports under way from one daemon.
const EXPORTS_IN_FLIGHT: usize = 4;
const EXPORT_MS: u64 = 30_000;
const STORE_MS: u64 = 1_000;
const STORE_EVERY_MS: u64 = 300;
/// Failed questions in a row after which a store's blocks are forgotten.
const STORE_LOST_AFTER: u32 = 5;
/// A departed daemon's blocks are freed this long after its departure was read, in milliseconds:
/// longer than any grant that it can have given.
const ORPHAN_MS: u64 = 30_000;

/// Runs until the process ends.
pub async fn run(context: Arc<DaemonContext>, mut notes: mpsc::Receiver<PrefixNote>) {
    tokio::spawn(watch_stores(Arc::clone(&context)));
    tokio::spawn(free_orphans(Arc::clone(&context)));
    let in_flight = Arc::new(Semaphore::new(EXPORTS_IN_FLIGHT));
    while let Some(note) = notes.recv().await {
        let now = Moment::now();
        let seen = locked(&context.index).note(&note.salt, &note.hashes, &note.upstream, now);
        let Some(seen) = seen else { continue };
        let Some(task) = decide_export(&context, &note, seen) else { continue };
        let Ok(permit) = Arc::clone(&in_flight).try_acquire_owned() else { continue };
        let Some(first) = note.hashes.first().copied() else { continue };
        locked(&context.index).set_exporting(&first, true);
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            export(&context, &task).await;
            locked(&context.index).set_exporting(&first, false);
            drop(permit);
        });
    }
}

struct ExportTask {
    note: PrefixNote,
    first: PrefixHash,
    last: PrefixHash,
    tokens: TokenCount,
    store: UpstreamId,
    spec: UpstreamSpec,
}

/// Blocks worth exporting: what the prompt shares with the one before it. Of a prompt seen once,
/// all but its last block, which usually holds the question of the day.
fn export_blocks(seen: &SeenBefore, blocks: usize) -> usize {
    if seen.seen > 1 { seen.shared_blocks.min(blocks) } else { blocks.saturating_sub(1) }
}

fn pick_store(
    context: &DaemonContext,
    last: &PrefixHash,
) -> Option<(UpstreamId, UpstreamSpec, StoreReport)> {
    let view = context.state.view();
    let leaving = locked(&context.leaving);
    let stores = locked(&context.stores);
    view.upstreams
        .iter()
        .filter(|(id, spec)| {
            spec.kind == UpstreamKind::Store && !spec.draining && !leaving.is_leaving(id)
        })
        .filter_map(|(id, spec)| Some((id.clone(), spec.clone(), *stores.get(id)?)))
        .min_by_key(|(id, _, report)| {
            let spread = blake3::hash(format!("{id}{last}").as_bytes()).as_bytes()[0];
            (report.link_queued.0 / (1 << 20), spread)
        })
}

fn decide_export(
    context: &DaemonContext,
    note: &PrefixNote,
    seen: SeenBefore,
) -> Option<ExportTask> {
    let blocks = export_blocks(&seen, note.hashes.len());
    let first = *note.hashes.first()?;
    let last = *note.hashes.get(blocks.checked_sub(1)?)?;
    // A little more than what is sealed already is not worth a second write.
    if seen.exporting || blocks * 9 <= seen.sealed_blocks * 10 {
        return None;
    }
    let (store, spec, report) = pick_store(context, &last)?;
    let tokens = TokenCount(blocks as u64 * BLOCK_TOKENS);
    let view = context.state.view();
    let input = ExportInput {
        tokens,
        bytes: ByteCount(tokens.0 * locked(&context.index).kv_bytes()),
        rate: locked(&context.link_rates).rate(&store, spec.link, Moment::now()),
        queued: report.link_queued,
        prefill: view.upstream(&note.upstream)?.prefill,
        use_count: seen.seen,
        last_use: seen.last_seen,
        now: Moment::now(),
        profile: view.profile,
    };
    if !should_export(&input) {
        log_event!(
            info,
            events::EXPORT_DECLINED,
            prefix = last,
            store = store,
            bytes = input.bytes
        );
        return None;
    }
    Some(ExportTask { note: note.clone(), first, last, tokens, store, spec })
}

async fn export(context: &Arc<DaemonContext>, task: &ExportTask) {
    make_room(context, &task.store).await;
    let Some(engine) = context.state.view().upstream(&task.note.upstream).cloned() else { return };
    let is_leaving = locked(&context.leaving).is_leaving(&task.note.upstream);
    if engine.draining || is_leaving || is_backing_off(context, &task.note.upstream) {
        return;
    }
    let client = EngineClient { upstream: task.note.upstream.clone(), address: engine.address };
    let key = locked(&context.index).fresh_key(context.me, &task.last);
    let order = ExportOrder {
        cache_salt: task.note.salt.clone(),
        last_hash: task.last.to_string().into(),
        tokens: task.tokens,
        key: key.clone(),
        store: task.spec.address,
    };
    let store = StoreClient { address: task.spec.address };
    let receipt = client.export(&order, Deadline::in_millis(EXPORT_MS)).await;
    let state = store.block(&key, Deadline::in_millis(STORE_MS)).await;
    // Entered only when writer and store agree: a half write that the store takes for whole has
    // another digest, and an entry for it would send readers to a block that can't be used.
    let agreed = match (&receipt, &state) {
        (Ok(receipt), Ok(state)) => {
            state.sealed && state.length == receipt.length && state.digest == receipt.digest
        }
        _ => false,
    };
    if !agreed {
        log_event!(warn, events::EXPORT_FAILED, key = key, store = task.store);
        drop(store.free(&key, Deadline::in_millis(STORE_MS)).await);
        return;
    }
    if let Ok(receipt) = receipt {
        log_event!(
            info,
            events::EXPORTED,
            key = key,
            store = task.store,
            bytes = receipt.length,
            engine = task.note.upstream,
            reason = "expected reuse",
        );
        let block = SealedEntry {
            key,
            store: task.store.clone(),
            length: ByteCount(receipt.length),
            digest: receipt.digest,
            tokens: task.tokens,
            last_hash: task.last,
            granted_until: Deadline::default(),
        };
        locked(&context.index).seal(&task.first, block);
    }
}

/// Frees covered blocks, and one more if the store is nearly full.
async fn make_room(context: &DaemonContext, store: &UpstreamId) {
    let report = locked(&context.stores).get(store).copied();
    let is_full = report.is_some_and(|report| report.used.0 * 10 > report.capacity.0 * 9);
    let need = is_full.then_some(store);
    let freed = locked(&context.index).take_freeable(need, Moment::now());
    for block in freed {
        let Some(spec) = context.state.view().upstream(&block.store).cloned() else { continue };
        log_event!(info, events::BLOCK_FREED, key = block.key, store = block.store);
        let client = StoreClient { address: spec.address };
        drop(client.free(&block.key, Deadline::in_millis(STORE_MS)).await);
    }
}

async fn watch_stores(context: Arc<DaemonContext>) {
    let mut failures: guava_types::FastMap<UpstreamId, u32> = guava_types::FastMap::default();
    loop {
        let view = context.state.view();
        let stores = view.upstreams.iter().filter(|(_, spec)| spec.kind == UpstreamKind::Store);
        for (id, spec) in stores {
            let client = StoreClient { address: spec.address };
            match client.report(Deadline::in_millis(STORE_MS)).await {
                Ok(report) => {
                    failures.remove(id);
                    locked(&context.stores).insert(id.clone(), report);
                }
                Err(_) => {
                    let count = failures.entry(id.clone()).or_default();
                    *count += 1;
                    locked(&context.stores).remove(id);
                    if *count == STORE_LOST_AFTER {
                        locked(&context.index).drop_store(id);
                    }
                }
            }
        }
        sleep(Duration::from_millis(STORE_EVERY_MS)).await;
    }
}

/// Frees blocks of incarnations that are gone: their keys begin with the incarnation, and nobody
/// else enters or frees them. The daemon with the smallest incarnation does it.
async fn free_orphans(context: Arc<DaemonContext>) {
    let mut roster: Vec<Incarnation> = Vec::new();
    loop {
        let view = context.state.view();
        let gone: Vec<Incarnation> =
            roster.iter().filter(|member| !view.roster.contains(member)).copied().collect();
        roster = view.roster.clone();
        let is_first = view.roster.iter().min() == Some(&context.me);
        for incarnation in gone {
            // A daemon that left in order has handed its blocks to others, who still use them.
            let has_successor =
                context.state.read(|state| state.successor_of(incarnation)) != incarnation;
            if is_first && !has_successor {
                tokio::spawn(free_blocks_of(Arc::clone(&context), incarnation));
            }
        }
        sleep(Duration::from_millis(STORE_EVERY_MS)).await;
    }
}

async fn free_blocks_of(context: Arc<DaemonContext>, incarnation: Incarnation) {
    sleep(Duration::from_millis(ORPHAN_MS)).await;
    let view = context.state.view();
    let stores = view.upstreams.iter().filter(|(_, spec)| spec.kind == UpstreamKind::Store);
    for (_, spec) in stores {
        let client = StoreClient { address: spec.address };
        let prefix = format!("{incarnation}-");
        drop(client.free_all(&prefix, Deadline::in_millis(STORE_MS)).await);
    }
}
