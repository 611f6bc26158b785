//! Decides which upstreams are open for a request now.
//!
//! A listed upstream is closed while its data centre is drained, while its own announcements exclude
//! it, or while this daemon's share of its rate limit or cold-start limit is used up. The gate is
//! checked twice: when an upstream is chosen, and right before the send. Connecting takes time in which
//! a data centre may be drained, a share used up, or another answer may carry a new announcement.

use crate::events;
use crate::members::member_table::MemberTable;
use crate::metrics::LimitLevel;
use crate::serve_config::ServiceRule;
use crate::serve_context::ServeContext;
use crate::upstreams::announcement_watch::note_send;
use crate::upstreams::drain_table::DrainTable;
use crate::upstreams::service_rings::RingPosition;
use crate::upstreams::upstream_table::UpstreamEntry;
use guava_log::log_event;
use guava_policy::{
    AnnouncementTable, CloseReason, ClosedUpstream, ColdRule, LimitNotice, SendLedger, SendShare,
    announcement_gate, cold_share, limit_share, ranked_slot_share, share_gate, slot_share,
};
use guava_types::{Deadline, LimitRate, MemberName, Moment, UpstreamId};

/// Window over which sends are reported as a rate, in milliseconds.
const RATE_WINDOW_MS: u64 = 4_000;

/// State on which the gate decides.
pub struct GateInput<'a> {
    /// Drained data centres.
    pub drains: &'a DrainTable,
    /// Send limit of the service's upstreams while they are cold; `None` if they have no cold phase.
    pub cold: Option<ColdRule>,
    /// Known announcements of upstreams.
    pub announcements: &'a AnnouncementTable,
    /// Recent sends of this daemon.
    pub sends: &'a SendLedger,
    /// The roster of daemons, among which limits are shared.
    pub members: &'a MemberTable,
    /// Name of this daemon.
    pub local_daemon: &'a MemberName,
}

/// Whether an upstream is open for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// The upstream may get the request; no cold-start limit applies.
    Open,
    /// The upstream is cold, and this daemon's share permits the request.
    Cold,
    /// The upstream may get no request now.
    Closed(ClosedUpstream),
}

impl GateState {
    /// Whether the upstream may get a request now, cold or not.
    pub fn is_open(self) -> bool {
        !matches!(self, Self::Closed(_))
    }
}

/// Decides whether an upstream may get a request from this daemon at a moment.
///
/// Records no send. Reasons are checked in this order: drained data centre, announcements, use of a
/// brittle upstream's slots, cold start.
pub fn gate_state(input: &GateInput<'_>, entry: &UpstreamEntry, now: Moment) -> GateState {
    if input.drains.is_drained(&entry.data_centre) {
        return GateState::Closed(ClosedUpstream { reason: CloseReason::Drained, until: None });
    }
    let share = |limit| local_limit_share(input.members, input.local_daemon, &entry.id, limit);
    if let Some(closed) = announcement_gate(input.announcements, input.sends, &entry.id, share, now)
    {
        return GateState::Closed(closed);
    }
    if input.announcements.is_brittle(&entry.id) {
        let share = local_slot_share(input, entry, now);
        if input.sends.in_flight(&entry.id) >= share {
            return GateState::Closed(ClosedUpstream { reason: CloseReason::Brittle, until: None });
        }
    }
    let Some(rule) = input.cold.filter(|rule| is_cold(input, *rule, entry, now)) else {
        return GateState::Open;
    };
    let rank = input.members.sender_rank(input.local_daemon, entry.id.name());
    // A daemon that does not know the other daemons can't compute its share, and sends no request.
    let share = rank.map(|rank| cold_share(rule.per_second, input.members.count(), rank));
    let share = share.unwrap_or_default();
    let closed = share_gate(input.sends, &entry.id, share, CloseReason::Cold, now);
    closed.map_or(GateState::Cold, GateState::Closed)
}

/// Requests that this daemon may have in flight at a brittle upstream; none if it does not know the
/// other daemons.
fn local_slot_share(input: &GateInput<'_>, entry: &UpstreamEntry, now: Moment) -> u32 {
    let (members, name) = (input.members, entry.id.name());
    let daemons = members.deployment_size(now);
    match members.sender_rank(input.local_daemon, name) {
        None => 0,
        Some(rank) if daemons <= members.count() => {
            ranked_slot_share(entry.slots, members.count(), rank)
        }
        // Attached daemons have no rank.
        Some(_) => {
            let draw = RingPosition::of(&format!("{} {name}", input.local_daemon));
            slot_share(entry.slots, daemons, draw.as_fraction())
        }
    }
}

/// This daemon's share of an upstream's limit; an empty share if it does not know the other daemons.
fn local_limit_share(
    members: &MemberTable,
    local_daemon: &MemberName,
    upstream: &UpstreamId,
    limit: LimitRate,
) -> SendShare {
    let rank = members.sender_rank(local_daemon, upstream.name());
    rank.map(|rank| limit_share(limit, members.count(), rank)).unwrap_or_default()
}

/// Limit, local share and recent send rate of each upstream that announced a limit, in requests per
/// second.
pub fn limit_levels(context: &ServeContext, now: Moment) -> Vec<LimitLevel> {
    let (announcements, sends, members) =
        (context.announcements.borrow(), context.sends.borrow(), context.members.borrow());
    let level = |notice: LimitNotice| {
        let limit = notice.rate?;
        let share = local_limit_share(&members, &context.identity.name, &notice.upstream, limit);
        let sent = sends.count(&notice.upstream, RATE_WINDOW_MS, now);
        Some(LimitLevel {
            limit: limit.as_per_second(),
            share: share.per_second(),
            sends: sent as f64 * 1_000.0 / RATE_WINDOW_MS as f64,
            upstream: notice.upstream,
        })
    };
    announcements.limit_notices(now).filter_map(level).collect()
}

/// Whether an upstream started recently, or its data centre was recently undrained.
fn is_cold(input: &GateInput<'_>, rule: ColdRule, entry: &UpstreamEntry, now: Moment) -> bool {
    let returned = input.drains.undrained_since(&entry.data_centre);
    let is_recent = |returned| !Deadline::after(returned, rule.lasts_ms).passed(now);
    !entry.cold_until.passed(now) || returned.is_some_and(is_recent)
}

/// Evaluates a decision on the present state of the gate.
pub fn with_gate_input<T>(
    context: &ServeContext,
    rule: &ServiceRule,
    evaluate: impl FnOnce(&GateInput<'_>) -> T,
) -> T {
    evaluate(&GateInput {
        drains: &context.drains.borrow(),
        cold: rule.cold,
        announcements: &context.announcements.borrow(),
        sends: &context.sends.borrow(),
        members: &context.members.borrow(),
        local_daemon: &context.identity.name,
    })
}

/// The moment at which the first closed upstream of a service opens again, of those that this daemon
/// uses.
///
/// `None` if any of them is open now, or if no closed one has a known end.
pub fn reopening(context: &ServeContext, rule: &ServiceRule, now: Moment) -> Option<Moment> {
    let upstreams = context.upstreams.borrow();
    let identity = &context.identity;
    let candidates = upstreams.candidates(&rule.name, &identity.name, &identity.data_centre, now);
    let first = |input: &GateInput<'_>| {
        candidates.into_iter().try_fold(None, |first: Option<Moment>, entry| {
            match gate_state(input, entry, now) {
                GateState::Open | GateState::Cold => Err(()),
                GateState::Closed(closed) => Ok(first.into_iter().chain(closed.until).min()),
            }
        })
    };
    with_gate_input(context, rule, first).ok().flatten()
}

/// Checks the gate right before a send, and records the send if the upstream is open.
///
/// An upstream that is leaving or no longer listed is closed with `CloseReason::Left`.
pub fn pass_gate(
    context: &ServeContext,
    rule: &ServiceRule,
    upstream: &UpstreamId,
    now: Moment,
) -> GateState {
    let state = {
        let upstreams = context.upstreams.borrow();
        let entry = upstreams.entry(upstream).filter(|entry| !entry.is_leaving);
        match entry {
            Some(entry) => with_gate_input(context, rule, |input| gate_state(input, entry, now)),
            None => GateState::Closed(ClosedUpstream { reason: CloseReason::Left, until: None }),
        }
    };
    if state.is_open() {
        note_send(context, upstream, now);
        log_share(context, upstream, state);
    }
    state
}

/// Logs by which roster and rank this daemon sends to an upstream that all daemons share.
fn log_share(context: &ServeContext, upstream: &UpstreamId, state: GateState) {
    let announcements = context.announcements.borrow();
    let limit = announcements.limit(upstream);
    let reason = match (limit, state) {
        (Some(_), _) => CloseReason::Limit,
        (None, GateState::Cold) => CloseReason::Cold,
        (None, _) if announcements.is_brittle(upstream) => CloseReason::Brittle,
        (None, _) => return,
    };
    let members = context.members.borrow();
    let rank = members.sender_rank(&context.identity.name, upstream.name());
    log_event!(
        info,
        events::SHARED_SEND,
        upstream = upstream,
        reason = reason,
        limit = limit.map(|limit| limit.to_string()).unwrap_or_default(),
        daemons = members.count(),
        rank = rank.map(|rank| rank.to_string()).unwrap_or_default(),
        in_flight = context.sends.borrow().in_flight(upstream)
    );
}
