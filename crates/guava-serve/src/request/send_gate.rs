//! Which upstreams may get a request at this moment, beside what their entries say.
//!
//! Asked twice: when an upstream is chosen, and right before the send, since connecting takes time in
//! which a data centre may have been drained, a share been used up, or the upstream have said something
//! of itself in another answer.

use crate::members::member_table::MemberTable;
use crate::metrics::LimitLevel;
use crate::serve_config::ServiceRule;
use crate::serve_context::ServeContext;
use crate::upstreams::announcement_watch::note_send;
use crate::upstreams::drain_table::DrainTable;
use crate::upstreams::upstream_table::UpstreamEntry;
use guava_policy::{
    AnnouncementTable, CloseReason, ClosedUpstream, ColdRule, LimitNotice, SendLedger, SendShare,
    announcement_gate, cold_share, full_share, limit_share,
};
use guava_types::{Deadline, LimitRate, MemberName, Moment, UpstreamId};

/// Span over which sends are told as a rate, in milliseconds.
const LEVEL_MS: u64 = 4_000;

/// What decides on an upstream.
pub struct GateInput<'a> {
    /// Drained data centres.
    pub drains: &'a DrainTable,
    /// What its service's upstreams bear while they are cold; nothing if they are never.
    pub cold: Option<ColdRule>,
    /// What upstreams have said of themselves.
    pub announcements: &'a AnnouncementTable,
    /// This daemon's sends.
    pub sends: &'a SendLedger,
    /// The daemons.
    pub members: &'a MemberTable,
    /// This one.
    pub me: &'a MemberName,
}

/// An upstream's state at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// It may get any request.
    Open,
    /// It is cold, and may get this one.
    Cold,
    /// It may get none now.
    Closed(ClosedUpstream),
}

impl GateState {
    /// Whether an upstream may get a request now.
    pub fn is_open(self) -> bool {
        !matches!(self, Self::Closed(_))
    }
}

/// Judges an upstream.
pub fn gate_state(input: &GateInput<'_>, entry: &UpstreamEntry, now: Moment) -> GateState {
    if input.drains.is_drained(&entry.data_centre) {
        return GateState::Closed(ClosedUpstream { reason: CloseReason::Drained, until: None });
    }
    let share = |limit| limit_part(input.members, input.me, &entry.id, limit);
    if let Some(closed) = announcement_gate(input.announcements, input.sends, &entry.id, share, now)
    {
        return GateState::Closed(closed);
    }
    let Some(rule) = input.cold.filter(|rule| is_cold(input, *rule, entry, now)) else {
        return GateState::Open;
    };
    let place = input.members.sender_rank(input.me, entry.id.name());
    // Who does not know the others can't tell its share.
    let share = place.map(|place| cold_share(rule.per_second, input.members.count(), place));
    let share = share.unwrap_or_default();
    let closed = full_share(input.sends, &entry.id, share, CloseReason::Cold, now);
    closed.map_or(GateState::Cold, GateState::Closed)
}

/// A daemon's share of an upstream's limit; none for one that does not know the others.
fn limit_part(
    members: &MemberTable,
    me: &MemberName,
    upstream: &UpstreamId,
    limit: LimitRate,
) -> SendShare {
    let place = members.sender_rank(me, upstream.name());
    place.map(|place| limit_share(limit, members.count(), place)).unwrap_or_default()
}

/// The upstreams that have a limit, with this daemon's share of it and its use.
pub fn limit_levels(context: &ServeContext, now: Moment) -> Vec<LimitLevel> {
    let (announcements, sends, members) =
        (context.announcements.borrow(), context.sends.borrow(), context.members.borrow());
    let level = |notice: LimitNotice| {
        let limit = notice.rate?;
        let share = limit_part(&members, &context.identity.name, &notice.upstream, limit);
        let sent = sends.count(&notice.upstream, LEVEL_MS, now);
        Some(LimitLevel {
            limit: limit.as_per_second(),
            share: share.per_second(),
            sends: sent as f64 * 1_000.0 / LEVEL_MS as f64,
            upstream: notice.upstream,
        })
    };
    announcements.limit_notices(now).filter_map(level).collect()
}

fn is_cold(input: &GateInput<'_>, rule: ColdRule, entry: &UpstreamEntry, now: Moment) -> bool {
    let returned = input.drains.undrained_since(&entry.data_centre);
    let has_rested = |returned| !Deadline::after(returned, rule.lasts_ms).passed(now);
    !entry.cold_until.passed(now) || returned.is_some_and(has_rested)
}

fn with_gate<T>(
    context: &ServeContext,
    rule: &ServiceRule,
    ask: impl FnOnce(&GateInput<'_>) -> T,
) -> T {
    ask(&GateInput {
        drains: &context.drains.borrow(),
        cold: rule.cold,
        announcements: &context.announcements.borrow(),
        sends: &context.sends.borrow(),
        members: &context.members.borrow(),
        me: &context.identity.name,
    })
}

/// The upstreams of a service that may get nothing now.
pub fn closed_upstreams(
    context: &ServeContext,
    rule: &ServiceRule,
    now: Moment,
) -> Vec<UpstreamId> {
    let upstreams = context.upstreams.borrow();
    let serving = upstreams.serving(&rule.name, now);
    with_gate(context, rule, |input| {
        let is_closed = |entry: &&UpstreamEntry| !gate_state(input, entry, now).is_open();
        serving.filter(is_closed).map(|entry| entry.id.clone()).collect()
    })
}

/// When the first upstream of a service may get a request again, if none may now and that is known.
pub fn reopening(context: &ServeContext, rule: &ServiceRule, now: Moment) -> Option<Moment> {
    let upstreams = context.upstreams.borrow();
    let mut serving = upstreams.serving(&rule.name, now);
    with_gate(context, rule, |input| {
        serving.try_fold(None, |first: Option<Moment>, entry| match gate_state(input, entry, now) {
            GateState::Open | GateState::Cold => Err(()),
            GateState::Closed(closed) => Ok(first.into_iter().chain(closed.until).min()),
        })
    })
    .ok()
    .flatten()
}

/// Whether a request may be sent to an upstream right now; notes it as sent.
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
            Some(entry) => with_gate(context, rule, |input| gate_state(input, entry, now)),
            None => GateState::Closed(ClosedUpstream { reason: CloseReason::Left, until: None }),
        }
    };
    if state.is_open() {
        note_send(context, upstream, now);
    }
    state
}
