//! How long to wait for an upstream before another is tried, and when refused callers retry.

use crate::request::refusal_reason::RefusalReason;
use crate::serve_config::{RepeatRule, RouteRule};
use guava_policy::{FIRST_QUARANTINE_MS, MIN_RETURN_MS};

/// Fraction of a plain request's objective after which another upstream is tried. Answers usually
/// take only a fraction of the objective, and the remaining time must suffice for the retry.
const PLAIN_FRACTION: f64 = 0.6;
/// Fraction of a stream's objective after which another upstream is tried for the first event.
const STREAM_FRACTION: f64 = 0.5;
/// Multiple of the expected time to the first event before which no other upstream is tried.
const SLOW_FACTOR: f64 = 2.5;
/// Time without an event after which a stream is resumed at another upstream: callers abandon a
/// stream after two seconds without an event, and resuming it takes a few hundred milliseconds.
pub const EVENT_TIMEOUT_MS: u64 = 900;

/// Milliseconds to wait for an answer, or for a stream's first event, before another upstream is
/// tried. `None` if the request must not be repeated or has no attempts left.
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

/// Callers retry after this part of the time that they have left, whatever they are told.
const LATEST_RETURN_DIVISOR: u64 = 3;

/// Milliseconds after which a caller is told to retry that has `left_ms` left. One that is told to
/// return later than it will is taken for one that comes too early.
pub fn accepted_return_ms(return_after_ms: u64, left_ms: u64) -> u64 {
    return_after_ms.min(left_ms / LATEST_RETURN_DIVISOR).max(MIN_RETURN_MS)
}

/// Base delay, and its random spread, for callers that return once an upstream has reopened.
const CLOSED_SPREAD_MS: u64 = 150;

/// Milliseconds until a refused caller should retry: a base delay by reason, and up to as much
/// again by the random number `draw`, so that callers refused together do not return together.
pub fn return_after_ms(reason: RefusalReason, draw: u64) -> u64 {
    let base = match reason {
        // A queue of some ten requests drains in about this time.
        RefusalReason::UpstreamsFull | RefusalReason::Overloaded => 150,
        // The list of upstreams, or reports of other daemons, may be updated at any moment; another
        // daemon serves the caller of one that leaves.
        RefusalReason::Unreachable | RefusalReason::Leaving => 50,
        // Lists and configurations are read within about this time.
        RefusalReason::NoUpstream | RefusalReason::NotReady | RefusalReason::NoReach => 300,
        RefusalReason::TooLate => 200,
        // Used only if its queue gave it no moment.
        RefusalReason::Crowded => 1_000,
        // Used only if the end of the quarantine is not known.
        RefusalReason::Quarantined => FIRST_QUARANTINE_MS,
        RefusalReason::UpstreamsClosed => CLOSED_SPREAD_MS,
        // Another daemon may be told at any moment.
        RefusalReason::StreamUnconfirmed => 100,
        // Used only if the caller's time is over.
        RefusalReason::StreamUnknown | RefusalReason::VersionGone => 1_000,
    };
    base + draw % base
}
