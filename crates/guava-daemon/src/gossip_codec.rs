//! Gossip entries as messages.

use crate::announcement_handler;
use crate::context::DaemonContext;
use crate::crash_watch;
use crate::daemon_phase::DaemonPhase;
use crate::lock::locked;
use crate::peer_table::{PeerEntry, PeerIdentity, short_hash};
use guava_schema::peers::{CustomerLoad, GossipEntry, LeavingUpstream, MemberInfo, UpstreamLoad};
use guava_state::LogObservation;
use guava_types::{Incarnation, Moment, Offset, TokenCount};

/// Entries of the busiest upstreams and customers.
const MAX_LOADS: usize = 16;

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

/// This daemon's own entry.
pub fn own_entry(context: &DaemonContext) -> GossipEntry {
    let sight = context.state.log_sight();
    let mut entry = GossipEntry {
        incarnation: context.me.0.to_be_bytes().to_vec(),
        version: context.entry_version(),
        age_ms: 0,
        phase: u32::from(context.told_phase().code()),
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
        ..GossipEntry::default()
    };
    crash_watch::fill_entry(context, &mut entry);
    announcement_handler::fill_entry(context, &mut entry);
    entry
}

/// Another daemon's entry, to be passed on.
pub fn to_message(
    context: &DaemonContext,
    incarnation: Incarnation,
    entry: &PeerEntry,
) -> GossipEntry {
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
        // What it knows of ends is told by whoever learnt it.
        ..GossipEntry::default()
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
    if let Some(entry) = locked(&context.peer_table).get(incarnation) {
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

/// Takes an entry in that a peer passed on.
pub fn learn(context: &DaemonContext, message: GossipEntry) {
    let Some(incarnation) = incarnation_of(&message.incarnation) else { return };
    if incarnation == context.me {
        return;
    }
    let Some(identity) = identity_of(context, incarnation, message.member.as_ref()) else {
        return;
    };
    crash_watch::learn(context, &message);
    announcement_handler::learn(context, &message);
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
            .map(|end| LogObservation { end: Offset(end), seen: moment_of(message.log_age_ms) }),
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
    locked(&context.peer_table).learn(incarnation, entry);
}
