//! A graceful shutdown: no request is cut off, none refused falsely.
//!
//! Callers keep an address answer for a while. So the daemon first leaves the addresses handed
//! out, and goes on taking work for as long as an answer given before may be kept; only then it
//! refuses new work, finishes what runs, hands over what it keeps and leaves the roster.

use crate::append_commit::own_record;
use crate::cache_messages::pack_hashes;
use crate::context::DaemonContext;
use crate::daemon_phase::DaemonPhase;
use crate::events;
use crate::lock::locked;
use crate::peer_table::PeerEntry;
use guava_log::log_event;
use guava_schema::peers::{AdoptRequest, AdoptedFamily, HandOverRequest, KeptOutcome, SealedBlock};
use guava_state::RecordBody;
use guava_types::{Deadline, FastMap, Incarnation, Moment};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Gossip needs so long to tell everybody to hand this address out no more, in milliseconds.
const SPREAD_MS: u64 = 2_000;
const RECHECK_MS: u64 = 50;
const HAND_OVER_MS: u64 = 5_000;
const LEAVE_MS: u64 = 3_000;
/// Outcomes in one message.
const HAND_OVER_LEN: usize = 256;

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Takes the daemon out of service; returns when nothing runs any more.
pub async fn drain(context: &Arc<DaemonContext>) {
    context.enter_phase(DaemonPhase::Leaving);
    let limit = Deadline::in_millis(context.settings.drain_limit_ms);
    log_event!(
        info,
        events::DRAINING,
        name = context.settings.name,
        running = context.work.running()
    );
    let kept = Duration::from_millis(context.settings.address_keep_ms + SPREAD_MS);
    sleep(kept.min(limit.time_left())).await;
    context.enter_phase(DaemonPhase::Draining);
    while context.work.running() > 0 && !limit.passed(Moment::now()) {
        sleep(Duration::from_millis(RECHECK_MS)).await;
    }
    let successor = hand_over_outcomes(context).await;
    hand_over_index(context).await;
    let leave = own_record(context, RecordBody::Leave { successor });
    drop(context.appends.append(leave, Deadline::in_millis(LEAVE_MS)).await);
}

fn successors(context: &DaemonContext) -> Vec<(Incarnation, SocketAddr)> {
    let peers = locked(&context.peer_table);
    let serves = |entry: &PeerEntry| entry.phase == DaemonPhase::Serving;
    let alive = peers.alive(Moment::now()).filter(|(_, entry)| serves(entry));
    let mut peers: Vec<_> =
        alive.map(|(peer, entry)| (peer, entry.identity.peer_address)).collect();
    peers.sort_unstable();
    peers
}

/// Hands the kept outcomes to one peer, so that repeats of their keys still get them.
async fn hand_over_outcomes(context: &DaemonContext) -> Option<Incarnation> {
    let kept = context.calls.kept();
    for (successor, address) in successors(context) {
        let mut is_done = true;
        for part in kept.chunks(HAND_OVER_LEN) {
            let outcomes = part.iter().map(|(key, fingerprint, outcome)| KeptOutcome {
                key: key.to_string(),
                fingerprint: fingerprint.to_vec(),
                reply: Some(outcome.to_reply()),
            });
            let request = HandOverRequest {
                from: context.me.0.to_be_bytes().to_vec(),
                outcomes: outcomes.collect(),
            };
            let answer = context.links.hand_over(address, request, HAND_OVER_MS).await;
            is_done &= answer.is_ok();
        }
        if is_done {
            return Some(successor);
        }
    }
    None
}

/// Hands each family to its next owner. From here on this daemon grants no reads: the families are
/// taken out of its index first.
async fn hand_over_index(context: &DaemonContext) {
    let now = Moment::now();
    let mut by_owner: FastMap<SocketAddr, Vec<AdoptedFamily>> = FastMap::default();
    for (salt, seed, seen, sealed) in locked(&context.index).take_sealed() {
        let Some((_, address)) = locked(&context.peer_table).successor(seed, now) else { continue };
        let blocks = sealed.iter().map(|block| SealedBlock {
            key: block.key.to_string(),
            store: block.store.to_string(),
            length: block.length.0,
            digest: block.digest.to_string(),
            tokens: block.tokens.0,
            grant_left_ms: u32::try_from(block.granted_until.millis_left(now)).unwrap_or(u32::MAX),
            last_hash: block.last_hash.0.to_vec(),
        });
        let family = AdoptedFamily {
            salt: salt.into(),
            seed: pack_hashes(&[seed]),
            seen,
            blocks: blocks.collect(),
        };
        by_owner.entry(address).or_default().push(family);
    }
    for (address, families) in by_owner {
        drop(context.links.adopt(address, AdoptRequest { families }, HAND_OVER_MS).await);
    }
}
