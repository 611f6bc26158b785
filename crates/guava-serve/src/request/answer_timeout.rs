//! How long one upstream is waited for before another is tried, and when refused callers return.

use crate::request::outcome::RefusalReason;
use crate::serve_config::{RepeatRule, RouteRule};
use guava_policy::FIRST_QUARANTINE_MS;

/// Part of a plain request's objective after which another upstream is tried. Answers take a
/// fraction of it, and what is left must suffice for the second try.
const PLAIN_FRACTION: f64 = 0.6;
/// Part of a stream's objective after which another upstream is tried for its first event.
const STREAM_FRACTION: f64 = 0.5;
/// How many times longer than expected the first event may take before that.
const SLOW_FACTOR: f64 = 2.5;
/// A pause between events after which a stream is taken up elsewhere, in milliseconds: callers
/// give a stream up after two seconds, and taking it up takes some hundred milliseconds.
pub const EVENT_TIMEOUT_MS: u64 = 900;

/// Milliseconds to wait for an answer, or for a stream's first event, before another upstream is
/// tried; nothing if no other may be.
pub fn first_answer_timeout_ms(
    route: &RouteRule,
    runs_before: u32,
    expected_ms: f64,
) -> Option<u64> {
    if !route.repeat.may_repeat() || runs_before + 1 >= route.max_attempts {
        return None;
    }
    let objective = route.objective_ms as f64;
    let answer_timeout = match route.repeat {
        RepeatRule::ResumableStream => (objective * STREAM_FRACTION).max(expected_ms * SLOW_FACTOR),
        _ => objective * PLAIN_FRACTION,
    };
    Some(answer_timeout as u64)
}

/// Spread of the callers that return when an upstream may get requests again, in milliseconds.
const CLOSED_SPREAD_MS: u64 = 150;

/// Milliseconds until a refused caller should come back. Spread by a random number, so that
/// callers that were refused together don't return together.
pub fn return_after_ms(reason: RefusalReason, draw: u64) -> u64 {
    let base = match reason {
        // A queue of some ten requests drains in about this time.
        RefusalReason::UpstreamsFull | RefusalReason::Overloaded => 150,
        // The list and the connections of other daemons may know more at once.
        RefusalReason::Unreachable => 50,
        // Lists and configurations are read within about this time.
        RefusalReason::NoUpstream | RefusalReason::NotReady => 300,
        RefusalReason::TooLate => 200,
        // A burst that fills all engines lasts for seconds; their runs end within two.
        RefusalReason::MemoryFull => 1_000,
        // Where it is known for how long, that is said instead.
        RefusalReason::Quarantined => FIRST_QUARANTINE_MS,
        RefusalReason::UpstreamsClosed => CLOSED_SPREAD_MS,
    };
    base + draw % base
}
