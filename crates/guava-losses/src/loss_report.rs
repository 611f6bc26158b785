//! The account's result: rows for people and programs.

use serde::Serialize;
use std::cmp::Reverse;

/// What became of one kind of request; kinds are routes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
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
    /// What its requests are worth.
    pub worth: f64,
    /// What its losses cost of that.
    pub lost_worth: f64,
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

/// What became of one customer's requests of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerRow {
    /// Which.
    pub customer: Box<str>,
    /// Kind of request.
    pub kind: Box<str>,
    /// Requests that were sent to an upstream, or refused before.
    pub requests: u64,
    /// Answered with success, but after the time in which they should be.
    pub late: u64,
    /// Refused, or turned away before they had a route; they have not run.
    pub refused: u64,
    /// Without a whole answer, or answered with an error of their upstream's; they may have run.
    pub failed: u64,
    /// Median of the time to the answer or its first event, in milliseconds; zero if none was
    /// answered, or beyond the first thousand rows.
    pub first_p50_ms: u64,
    /// The time that 99 in 100 stay within, in milliseconds; zero likewise.
    pub first_p99_ms: u64,
    /// What they are worth.
    pub worth: f64,
    /// What the losses cost of that.
    pub lost_worth: f64,
}

/// Losses of one second.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SecondRow {
    /// Seconds since the first line.
    pub second: u64,
    /// Kind of request.
    pub kind: Box<str>,
    /// What became of them.
    pub outcome: Box<str>,
    /// How many.
    pub count: u64,
    /// What they cost.
    pub lost_worth: f64,
}

/// Losses of one cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CauseRow {
    /// Kind of request.
    pub kind: Box<str>,
    /// What became of them.
    pub outcome: Box<str>,
    /// Why.
    pub cause: Box<str>,
    /// How many.
    pub count: u64,
    /// What they cost.
    pub lost_worth: f64,
}

/// Losses of one customer, of one kind and cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CustomerCauseRow {
    /// Which customer.
    pub customer: Box<str>,
    /// Kind of request.
    pub kind: Box<str>,
    /// What became of them.
    pub outcome: Box<str>,
    /// Why.
    pub cause: Box<str>,
    /// How many.
    pub count: u64,
    /// What they cost.
    pub lost_worth: f64,
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
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LossReport {
    /// Lines read.
    pub lines: u64,
    /// Lines that are none of a daemon's.
    pub bad_lines: u64,
    /// Requests whose end no line tells: lines were dropped, or their daemon ended.
    pub untold: u64,
    /// By kind, those whose losses cost most first.
    pub kinds: Vec<KindRow>,
    /// By second.
    pub seconds: Vec<SecondRow>,
    /// By cause, the costliest first.
    pub causes: Vec<CauseRow>,
    /// By customer and kind, those whose losses cost most first.
    pub customers: Vec<CustomerRow>,
    /// By customer, kind and cause, the costliest first.
    pub customer_causes: Vec<CustomerCauseRow>,
    /// By upstream, most first.
    pub upstreams: Vec<UpstreamRow>,
}

impl LossReport {
    /// Puts the rows into their order.
    pub(crate) fn sort(&mut self) {
        let place = |row: &KindRow| (costliest(row.lost_worth), row.kind.clone());
        self.kinds.sort_by_cached_key(place);
        let place = |row: &SecondRow| (row.second, row.kind.clone(), row.outcome.clone());
        self.seconds.sort_by_cached_key(place);
        let place = |row: &CauseRow| {
            let key = (row.kind.clone(), row.outcome.clone(), row.cause.clone());
            (costliest(row.lost_worth), Reverse(row.count), key)
        };
        self.causes.sort_by_cached_key(place);
        let place =
            |row: &CustomerRow| (costliest(row.lost_worth), row.customer.clone(), row.kind.clone());
        self.customers.sort_by_cached_key(place);
        let place = |row: &CustomerCauseRow| {
            let key = (row.kind.clone(), row.outcome.clone(), row.cause.clone());
            (costliest(row.lost_worth), Reverse(row.count), row.customer.clone(), key)
        };
        self.customer_causes.sort_by_cached_key(place);
        let place =
            |row: &UpstreamRow| (Reverse(row.count), row.upstream.clone(), row.outcome.clone());
        self.upstreams.sort_by_cached_key(place);
    }
}

/// A key that puts the costliest first. Worths are never below zero, so their bits are in order.
fn costliest(worth: f64) -> Reverse<u64> {
    Reverse(worth.to_bits())
}
