//! Gossip between daemons: small deltas to a random peer, never a full mesh.
//!
//! In a large fleet an entry's versions come less often, and most exchanges stay within the data
//! centre, so that the bytes a daemon spends stay within its budget whatever the fleet's size.

use crate::context::{DaemonContext, DaemonPhase, locked};
use crate::log_duty::own_record;
use crate::peer_book::{EVICT_AFTER_MS, PeerEntry, PeerIdentity, short_hash};
use guava_schema::peers::{
    CustomerLoad, Gossip, GossipEntry, LeavingUpstream, MemberInfo, UpstreamLoad,
};
use guava_state::{LogSight, RecordBody};
use guava_types::{Deadline, FastMap, Incarnation, Moment, Offset, TokenCount};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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
const MAX_ENTRIES: usize = 24;
const EVICT_TRY_MS: u64 = 5_000;
/// Entries of the busiest upstreams and customers.
const MAX_LOADS: usize = 16;

static VERSION: AtomicU64 = AtomicU64::new(1);

fn age_of(moment: Moment) -> u32 {
    u32::try_from(Moment::now().millis_since(moment)).unwrap_or(u32::MAX)
}

fn moment_of(age_ms: u32) -> Moment {
    Moment::now().minus_millis(u64::from(age_ms))
}

fn own_loads(context: &DaemonContext) -> Vec<UpstreamLoad> {
    let loads = locked(&context.loads);
    let mut busy: Vec<UpstreamLoad> = loads
        .iter()
        .map(|(upstream, load)| UpstreamLoad {
            upstream: short_hash(upstream.as_str()),
            tokens: u32::try_from(load.pending_tokens().0).unwrap_or(u32::MAX),
        })
        .filter(|load| load.tokens > 0)
        .collect();
    busy.sort_by_key(|load| std::cmp::Reverse(load.tokens));
    busy.truncate(MAX_LOADS);
    busy
}

fn own_customers(context: &DaemonContext) -> Vec<CustomerLoad> {
    let mut busy: Vec<CustomerLoad> = context
        .admission
        .running_by_customer()
        .into_iter()
        .map(|(customer, running)| CustomerLoad {
            customer: short_hash(customer.as_str()),
            running,
        })
        .collect();
    busy.sort_by_key(|load| std::cmp::Reverse(load.running));
    busy.truncate(MAX_LOADS);
    busy
}

fn own_member(context: &DaemonContext) -> Option<MemberInfo> {
    let is_member = context.state.read(|state| state.members().contains_key(&context.me));
    let settings = &context.settings;
    (!is_member).then(|| MemberInfo {
        name: settings.name.to_string(),
        data_centre: settings.data_centre.to_string(),
        caller_address: settings.callers.advertise.to_string(),
        peer_address: settings.peers.advertise.to_string(),
    })
}

fn own_entry(context: &DaemonContext) -> GossipEntry {
    let sight = context.state.log_sight();
    GossipEntry {
        incarnation: context.me.0.to_be_bytes().to_vec(),
        version: VERSION.load(Ordering::Relaxed),
        age_ms: 0,
        phase: u32::from(context.phase().code()),
        next_offset: context.state.next().0,
        log_end: sight.map(|sight| sight.end.0),
        log_age_ms: sight.map_or(0, |sight| age_of(sight.seen)),
        member: own_member(context),
        loads: own_loads(context),
        starting: context.admission.starting(),
        customers: own_customers(context),
        leaving: locked(&context.leaving)
            .own_notices()
            .map(|(upstream, instance)| LeavingUpstream {
                upstream: upstream.to_string(),
                instance: instance.to_string(),
            })
            .collect(),
    }
}

fn to_message(context: &DaemonContext, incarnation: Incarnation, entry: &PeerEntry) -> GossipEntry {
    let is_member = context.state.read(|state| state.members().contains_key(&incarnation));
    let identity = &entry.identity;
    GossipEntry {
        incarnation: incarnation.0.to_be_bytes().to_vec(),
        version: entry.version,
        age_ms: age_of(entry.made),
        phase: u32::from(entry.phase.code()),
        next_offset: entry.next.0,
        log_end: entry.log.map(|sight| sight.end.0),
        log_age_ms: entry.log.map_or(0, |sight| age_of(sight.seen)),
        member: (!is_member).then(|| MemberInfo {
            name: identity.name.to_string(),
            data_centre: identity.data_centre.to_string(),
            caller_address: identity.caller_address.to_string(),
            peer_address: identity.peer_address.to_string(),
        }),
        loads: entry
            .loads
            .iter()
            .map(|(upstream, tokens)| UpstreamLoad {
                upstream: *upstream,
                tokens: u32::try_from(tokens.0).unwrap_or(u32::MAX),
            })
            .collect(),
        starting: entry.starting,
        customers: entry
            .customers
            .iter()
            .map(|(customer, running)| CustomerLoad { customer: *customer, running: *running })
            .collect(),
        leaving: entry
            .leaving
            .iter()
            .map(|(upstream, instance)| LeavingUpstream {
                upstream: upstream.to_string(),
                instance: instance.to_string(),
            })
            .collect(),
    }
}

fn identity_of(
    context: &DaemonContext,
    incarnation: Incarnation,
    member: Option<&MemberInfo>,
) -> Option<PeerIdentity> {
    if let Some(info) = member {
        return Some(PeerIdentity {
            name: info.name.parse().ok()?,
            data_centre: info.data_centre.parse().ok()?,
            caller_address: info.caller_address.parse().ok()?,
            peer_address: info.peer_address.parse().ok()?,
        });
    }
    if let Some(entry) = locked(&context.book).get(incarnation) {
        return Some(entry.identity.clone());
    }
    context.state.read(|state| {
        state.members().get(&incarnation).map(|member| PeerIdentity {
            name: member.name.clone(),
            data_centre: member.data_centre.clone(),
            caller_address: member.caller_address,
            peer_address: member.peer_address,
        })
    })
}

fn incarnation_of(bytes: &[u8]) -> Option<Incarnation> {
    bytes.try_into().ok().map(|bytes| Incarnation(u128::from_be_bytes(bytes)))
}

fn learn(context: &DaemonContext, message: GossipEntry) {
    let Some(incarnation) = incarnation_of(&message.incarnation) else { return };
    if incarnation == context.me {
        return;
    }
    let Some(identity) = identity_of(context, incarnation, message.member.as_ref()) else {
        return;
    };
    let leaving = message
        .leaving
        .iter()
        .filter_map(|notice| Some((notice.upstream.parse().ok()?, Box::from(&*notice.instance))));
    let entry = PeerEntry {
        version: message.version,
        made: moment_of(message.age_ms),
        phase: DaemonPhase::from_code(message.phase),
        next: Offset(message.next_offset),
        log: message
            .log_end
            .map(|end| LogSight { end: Offset(end), seen: moment_of(message.log_age_ms) }),
        identity,
        loads: message
            .loads
            .iter()
            .map(|load| (load.upstream, TokenCount(u64::from(load.tokens))))
            .collect(),
        starting: message.starting,
        customers: message.customers.iter().map(|load| (load.customer, load.running)).collect(),
        leaving: leaving.collect(),
    };
    for (upstream, instance) in &entry.leaving {
        locked(&context.leaving).note_peer(upstream, instance);
    }
    locked(&context.book).learn(incarnation, entry);
}

fn max_sends(fleet: usize) -> u32 {
    fleet.max(2).ilog2() + 2
}

fn news(context: &DaemonContext) -> Gossip {
    let fleet = context.state.view().roster.len();
    let entries = locked(&context.book).take_news(MAX_ENTRIES, max_sends(fleet));
    let mut messages = vec![own_entry(context)];
    messages.extend(entries.iter().map(|(peer, entry)| to_message(context, *peer, entry)));
    Gossip { entries: messages }
}

/// Answers an exchange: takes the peer's news and gives this daemon's.
pub fn answer_exchange(context: &DaemonContext, message: Gossip) -> Gossip {
    message.entries.into_iter().for_each(|entry| learn(context, entry));
    news(context)
}

struct GossipTargets {
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    unheard: Vec<SocketAddr>,
}

fn targets(context: &DaemonContext) -> GossipTargets {
    let now = Moment::now();
    let book = locked(&context.book);
    let mut targets = GossipTargets { near: Vec::new(), far: Vec::new(), unheard: Vec::new() };
    for (_, entry) in book.alive(now) {
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

/// Ticks between two versions of a daemon's own entry: more in a larger fleet.
fn ticks_per_version(fleet: usize) -> u64 {
    (fleet as u64 / (2 * SMALL_FLEET as u64)).clamp(1, 6)
}

fn evict_silent(context: &DaemonContext, unheard_since: &mut FastMap<Incarnation, Moment>) {
    let now = Moment::now();
    let view = context.state.view();
    let silent: Vec<Incarnation> = {
        let book = locked(&context.book);
        let others = view.roster.iter().filter(|member| **member != context.me);
        others.filter(|member| !book.is_heard(**member, now)).copied().collect()
    };
    unheard_since.retain(|member, _| silent.contains(member));
    for member in silent {
        let since = *unheard_since.entry(member).or_insert(now);
        // Not all at once: each daemon waits a little longer than the ones before it in a random
        // order, and by then has usually read the first one's record.
        let turn = u64::from(rand::random::<u8>()) * 20;
        if now.millis_since(since) > EVICT_AFTER_MS + turn {
            log_event!(warn, MEMBER_EVICTED, member = member);
            let body = own_record(context, RecordBody::Evict { incarnation: member });
            context.appends.append_later(body, Deadline::in_millis(EVICT_TRY_MS));
            unheard_since.insert(member, now);
        }
    }
}

/// Runs the gossip until the process ends.
pub async fn run(context: Arc<DaemonContext>) {
    let mut tick: u64 = 0;
    let mut unheard_since = FastMap::default();
    let mut freshness = None;
    loop {
        tick += 1;
        let fleet = context.state.view().roster.len();
        if tick.is_multiple_of(ticks_per_version(fleet)) {
            VERSION.fetch_add(1, Ordering::Relaxed);
        }
        let target = choose(&targets(&context), tick);
        if let Some(address) = target {
            let context = Arc::clone(&context);
            tokio::spawn(async move {
                let message = news(&context);
                if let Ok(reply) = context.links.exchange(address, message, EXCHANGE_MS).await {
                    reply.entries.into_iter().for_each(|entry| learn(&context, entry));
                }
            });
        }
        evict_silent(&context, &mut unheard_since);
        locked(&context.book).forget_old(Moment::now());
        let current = context.freshness();
        if freshness.replace(current) != Some(current) {
            log_event!(info, FRESHNESS_CHANGED, verdict = format!("{current:?}"));
        }
        sleep(Duration::from_millis(TICK_MS)).await;
    }
}
