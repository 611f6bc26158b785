//! Which upstreams may get a request at this moment, beside what their entries say.
//!
//! Asked twice: when an upstream is chosen, and right before the send, since connecting takes time in
//! which a data centre may have been drained or a cold upstream's share been used up.

use crate::members::member_table::MemberTable;
use crate::serve_config::ServiceRule;
use crate::serve_parts::ServeParts;
use crate::upstreams::cold_sends::ColdSends;
use crate::upstreams::drain_table::DrainTable;
use crate::upstreams::upstream_table::UpstreamEntry;
use guava_policy::{ColdRule, cold_share};
use guava_types::{Deadline, MemberName, Moment, UpstreamId};

/// What decides on an upstream.
pub struct GateInput<'a> {
    /// Drained data centres.
    pub drains: &'a DrainTable,
    /// What its service's upstreams bear while they are cold; nothing if they are never.
    pub cold: Option<ColdRule>,
    /// Sends of this daemon to cold upstreams.
    pub sends: &'a ColdSends,
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
    Closed,
}

/// Judges an upstream.
pub fn gate_state(input: &GateInput<'_>, entry: &UpstreamEntry, now: Moment) -> GateState {
    if input.drains.is_drained(&entry.data_centre) {
        return GateState::Closed;
    }
    let Some(rule) = input.cold.filter(|rule| is_cold(input, *rule, entry, now)) else {
        return GateState::Open;
    };
    // Who does not know the others can't tell its share.
    let place = input.members.cold_place(input.me, entry.id.name());
    let share = place.map_or(0, |place| cold_share(rule.per_second, input.members.count(), place));
    if input.sends.has_room(&entry.id, share, now) { GateState::Cold } else { GateState::Closed }
}

fn is_cold(input: &GateInput<'_>, rule: ColdRule, entry: &UpstreamEntry, now: Moment) -> bool {
    let returned = input.drains.returned(&entry.data_centre);
    let has_rested = |returned| !Deadline::after(returned, rule.lasts_ms).passed(now);
    !entry.cold_until.passed(now) || returned.is_some_and(has_rested)
}

fn with_gate<T>(
    parts: &ServeParts,
    rule: &ServiceRule,
    ask: impl FnOnce(&GateInput<'_>) -> T,
) -> T {
    ask(&GateInput {
        drains: &parts.drains.borrow(),
        cold: rule.cold,
        sends: &parts.cold_sends.borrow(),
        members: &parts.members.borrow(),
        me: &parts.identity.name,
    })
}

/// The upstreams of a service that may get nothing now.
pub fn closed_upstreams(parts: &ServeParts, rule: &ServiceRule, now: Moment) -> Vec<UpstreamId> {
    let upstreams = parts.upstreams.borrow();
    let serving = upstreams.serving(&rule.name, now);
    with_gate(parts, rule, |input| {
        let is_closed = |entry: &&UpstreamEntry| gate_state(input, entry, now) == GateState::Closed;
        serving.filter(is_closed).map(|entry| entry.id.clone()).collect()
    })
}

/// Whether a request may be sent to an upstream right now; notes it as sent.
pub fn pass_gate(
    parts: &ServeParts,
    rule: &ServiceRule,
    upstream: &UpstreamId,
    now: Moment,
) -> bool {
    let state = {
        let upstreams = parts.upstreams.borrow();
        let Some(entry) = upstreams.entry(upstream).filter(|entry| !entry.is_leaving) else {
            return false;
        };
        with_gate(parts, rule, |input| gate_state(input, entry, now))
    };
    if state == GateState::Cold {
        parts.cold_sends.borrow_mut().note(upstream, now);
    }
    state != GateState::Closed
}
