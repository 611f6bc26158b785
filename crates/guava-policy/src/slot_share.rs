//! How many requests one daemon may have in flight at a brittle upstream.
//!
//! An upstream that crashes if it has to turn away many requests must not be sent more than it has
//! room for. How many it lets wait is not announced and may shrink, so all daemons together use its
//! slots only. They don't ask each other before a send: each has an equal whole number of slots, or,
//! where there are fewer slots than daemons, some have one and the others none: those that come first in
//! an order that differs from upstream to upstream, or where not all daemons are known by name, those
//! that draw one.

/// Fraction of the slots that are given out where there are fewer than daemons: daemons that know
/// different others, or draw, may give out more.
const GIVEN_FRACTION: f64 = 0.7;

/// Requests that a daemon may have in flight at an upstream with so many slots. `draw` is a fraction
/// from 0 to 1 that the daemon always has for this upstream.
pub fn slot_share(slots: u32, daemons: usize, draw: f64) -> u32 {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    if slots >= daemons {
        return slots / daemons;
    }
    let fraction = f64::from(slots) * GIVEN_FRACTION / f64::from(daemons);
    u32::from(draw < fraction)
}

/// The same for a daemon that knows all others, by its rank among them for this upstream, 0 first.
pub fn ranked_slot_share(slots: u32, daemons: usize, rank: usize) -> u32 {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    if slots >= daemons {
        return slots / daemons;
    }
    let given = (f64::from(slots) * GIVEN_FRACTION) as usize;
    u32::from(rank < given.max(1))
}
