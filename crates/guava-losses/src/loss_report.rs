//! The account's result: rows for people and programs.

use serde::Serialize;

/// What became of one kind of request; kinds are routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct KindRow {
    /// Which.
    pub kind: Box<str>,
    /// Requests that were sent to an upstream, or refused before.
    pub requests: u64,
    /// Answered.
    pub answered: u64,
    /// Answered after the time in which they should be.
    pub late: u64,
    /// Answered with an error of their upstream's.
    pub errors: u64,
    /// Refused; they have not run.
    pub refused: u64,
    /// Without an answer; they may have run.
    pub failed: u64,
    /// Streams that broke off.
    pub broken: u64,
    /// Whose callers left.
    pub callers_left: u64,
    /// Turned away before they had a route.
    pub turned_away: u64,
    /// Sent to more than one upstream, or more than once.
    pub sent_twice: u64,
    /// Median of the expected time to the first event, in milliseconds; zero if none is expected.
    pub expected_p50_ms: u64,
    /// Median of the time to the answer or its first event, in milliseconds.
    pub first_p50_ms: u64,
    /// The expected time that 99 in 100 stay within, in milliseconds.
    pub expected_p99_ms: u64,
    /// The time that 99 in 100 stay within, in milliseconds.
    pub first_p99_ms: u64,
}

impl KindRow {
    /// All that callers did not get in time.
    pub fn losses(&self) -> u64 {
        let ended = self.refused + self.failed + self.broken + self.turned_away;
        ended + self.late + self.errors
    }
}

/// Losses of one second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SecondRow {
    /// Seconds since the first line.
    pub second: u64,
    /// Kind of request.
    pub kind: Box<str>,
    /// What became of them.
    pub outcome: Box<str>,
    /// How many.
    pub count: u64,
}

/// Losses of one cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CauseRow {
    /// Kind of request.
    pub kind: Box<str>,
    /// What became of them.
    pub outcome: Box<str>,
    /// Why.
    pub cause: Box<str>,
    /// How many.
    pub count: u64,
}

/// Losses at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UpstreamRow {
    /// Which.
    pub upstream: Box<str>,
    /// What became of requests there.
    pub outcome: Box<str>,
    /// How many.
    pub count: u64,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LossReport {
    /// Lines read.
    pub lines: u64,
    /// Lines that are none of a daemon's.
    pub bad_lines: u64,
    /// Requests whose end no line tells: lines were dropped, or their daemon ended.
    pub untold: u64,
    /// By kind, those that lose most first.
    pub kinds: Vec<KindRow>,
    /// By second.
    pub seconds: Vec<SecondRow>,
    /// By cause, most first.
    pub causes: Vec<CauseRow>,
    /// By upstream, most first.
    pub upstreams: Vec<UpstreamRow>,
}

impl LossReport {
    /// Puts the rows into their order.
    pub(crate) fn sort(&mut self) {
        self.kinds.sort_by(|one, other| {
            other.losses().cmp(&one.losses()).then_with(|| one.kind.cmp(&other.kind))
        });
        let place = |row: &SecondRow| (row.second, row.kind.clone(), row.outcome.clone());
        self.seconds.sort_by_cached_key(place);
        let place = |row: &CauseRow| {
            let count = std::cmp::Reverse(row.count);
            (count, row.kind.clone(), row.outcome.clone(), row.cause.clone())
        };
        self.causes.sort_by_cached_key(place);
        let place = |row: &UpstreamRow| {
            (std::cmp::Reverse(row.count), row.upstream.clone(), row.outcome.clone())
        };
        self.upstreams.sort_by_cached_key(place);
    }
}
