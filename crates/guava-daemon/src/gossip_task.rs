//! Gossip between daemons: small deltas to a random peer, never a full mesh.
//!
//! In a large fleet an entry's versions come less often, and most exchanges stay within the data
//! centre, so that the bytes a daemon spends stay within its budget whatever the fleet's size.

use crate::append_commit::own_record;
use crate::context::DaemonContext;
use crate::crash_watch;
use crate::events;
use crate::gossip_codec::{learn, own_entry, to_message};
use crate::lock::locked;
use crate::peer_table::version_every_ms;
use guava_log::log_event;
use guava_schema::peers::Gossip;
use guava_state::{EvictionWatch, RecordBody};
use guava_types::{Deadline, Incarnation, Moment};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const TICK_MS: u64 = 500;
const EXCHANGE_MS: u64 = 1_500;
/// Fleets up to this size gossip as one; larger ones prefer their data centre.
const SMALL_FLEET: usize = 16;
/// In a large fleet one exchange in so many goes to another data centre.
const FAR_EVERY: u64 = 4;
/// Every so many ticks a seed or a silent member is tried.
const SEED_EVERY: u64 = 6;
/// Entries in one message.
const MAX_ENTRIES: usize = 48;
const EVICT_TRY_MS: u64 = 5_000;
/// Daemons evict one after the other, up to 255 such steps apart.
const TURN_STEP_MS: u64 = 20;

/// How often an entry is passed on. In a small fleet often enough to reach everybody soon; in a
/// large one the pull half of each exchange spreads it as well, and more would fill the messages
/// with repeats.
fn max_sends(fleet: usize) -> u32 {
    const LARGE_FLEET_SENDS: u32 = 3;
    if fleet > SMALL_FLEET { LARGE_FLEET_SENDS } else { fleet.max(2).ilog2() + 2 }
}

fn updates(context: &DaemonContext) -> Gossip {
    let fleet = context.state.view().roster.len();
    let entries = locked(&context.peer_table).take_updates(MAX_ENTRIES, max_sends(fleet));
    let mut messages = vec![own_entry(context)];
    messages.extend(entries.iter().map(|(peer, entry)| to_message(context, *peer, entry)));
    Gossip { entries: messages }
}

/// Answers an exchange: takes the peer's news and gives this daemon's.
pub fn answer_exchange(context: &DaemonContext, message: Gossip) -> Gossip {
    message.entries.into_iter().for_each(|entry| learn(context, entry));
    updates(context)
}

struct GossipTargets {
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    unheard: Vec<SocketAddr>,
}

fn targets(context: &DaemonContext) -> GossipTargets {
    let now = Moment::now();
    let peers = locked(&context.peer_table);
    let mut targets = GossipTargets { near: Vec::new(), far: Vec::new(), unheard: Vec::new() };
    for (_, entry) in peers.alive(now) {
        let is_near = entry.identity.data_centre == context.settings.data_centre;
        let side = if is_near { &mut targets.near } else { &mut targets.far };
        side.push(entry.identity.peer_address);
    }
    let is_known =
        |address: &SocketAddr| targets.near.contains(address) || targets.far.contains(address);
    let own = context.settings.peers.advertise;
    let seeds = context.settings.seeds.iter().copied();
    let members: Vec<SocketAddr> = context
        .state
        .read(|state| state.members().values().map(|member| member.peer_address).collect());
    let mut unheard: Vec<SocketAddr> =
        seeds.chain(members).filter(|address| *address != own && !is_known(address)).collect();
    unheard.sort_unstable();
    unheard.dedup();
    targets.unheard = unheard;
    targets
}

fn pick(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let index = usize::try_from(rand::random::<u32>()).unwrap_or(0);
    addresses.get(index % addresses.len().max(1)).copied()
}

fn choose(targets: &GossipTargets, tick: u64) -> Option<SocketAddr> {
    let known = targets.near.len() + targets.far.len();
    let seeds_due = known == 0 || tick.is_multiple_of(SEED_EVERY);
    if let (true, Some(address)) = (seeds_due, pick(&targets.unheard)) {
        return Some(address);
    }
    if known < SMALL_FLEET {
        let all: Vec<SocketAddr> = targets.near.iter().chain(&targets.far).copied().collect();
        return pick(&all);
    }
    let is_far = tick.is_multiple_of(FAR_EVERY) || targets.near.is_empty();
    if is_far { pick(&targets.far).or_else(|| pick(&targets.near)) } else { pick(&targets.near) }
}

/// Ticks between two versions of a daemon's own entry.
fn ticks_per_version(fleet: usize) -> u64 {
    (version_every_ms(fleet) / TICK_MS).max(1)
}

fn evict_silent(context: &DaemonContext, watch: &mut EvictionWatch) {
    let now = Moment::now();
    let view = context.state.view();
    let silent: Vec<Incarnation> = {
        let peers = locked(&context.peer_table);
        let others = view.roster.iter().filter(|member| **member != context.me);
        others.filter(|member| !peers.is_reachable(**member, now)).copied().collect()
    };
    let stagger_ms = u64::from(rand::random::<u8>()) * TURN_STEP_MS;
    for member in watch.due(&silent, context.reaches_majority(), stagger_ms, now) {
        log_event!(warn, events::MEMBER_EVICTED, member = member);
        let body = own_record(context, RecordBody::Evict { incarnation: member });
        context.appends.append_later(body, Deadline::in_millis(EVICT_TRY_MS));
    }
}

/// Runs the gossip until the process ends.
pub async fn run(context: Arc<DaemonContext>) {
    let mut tick: u64 = 0;
    let mut evictions = EvictionWatch::default();
    let mut freshness = None;
    loop {
        tick += 1;
        let fleet = context.state.view().roster.len();
        if tick.is_multiple_of(ticks_per_version(fleet)) {
            context.next_entry_version();
        }
        let target = choose(&targets(&context), tick);
        if let Some(address) = target {
            let context = Arc::clone(&context);
            tokio::spawn(async move {
                let message = updates(&context);
                if let Ok(reply) = context.links.exchange(address, message, EXCHANGE_MS).await {
                    reply.entries.into_iter().for_each(|entry| learn(&context, entry));
                }
            });
        }
        evict_silent(&context, &mut evictions);
        crash_watch::reconcile_ledger(&context, fleet);
        locked(&context.peer_table).forget_old(Moment::now());
        let current = context.freshness();
        if freshness.replace(current) != Some(current) {
            log_event!(info, events::FRESHNESS_CHANGED, verdict = format!("{current:?}"));
        }
        sleep(Duration::from_millis(TICK_MS)).await;
    }
}
