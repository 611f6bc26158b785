//! The account: lines in, counts out.

use crate::log_line::{LogLine, LostEnd, RequestFact, parse_line};
use crate::loss_report::{CauseRow, KindRow, LossReport, SecondRow, UpstreamRow};
use guava_types::FastMap;
use hdrhistogram::Histogram;
use std::hash::Hash;
use std::io::{BufRead, Error};

/// Requests under way that are remembered at most; beyond that the oldest end untold. A daemon has a
/// few thousand at a time.
const MOST_OPEN: usize = 200_000;
/// Different seconds, causes and upstreams that are told apart at most; what comes later is counted
/// as `(others)`.
const MOST_KEYS: usize = 20_000;
/// Longest line that is read, in bytes: daemons' lines stay under two thousand.
const LONGEST_LINE: usize = 64 << 10;
/// Longest time told apart from longer ones, in milliseconds.
const LONGEST_MS: u64 = 600_000;
const OTHERS: &str = "(others)";
const UNKNOWN: &str = "(unknown)";

#[derive(Clone, Debug, Default)]
struct OpenRequest {
    route: Box<str>,
    upstream: Box<str>,
    sends: u32,
    was_held: bool,
    expected_ms: Option<u64>,
    objective_ms: Option<u64>,
    trouble: Option<Box<str>>,
    order: u64,
}

#[derive(Debug)]
struct KindCount {
    row: KindRow,
    expected: Option<Histogram<u64>>,
    first: Option<Histogram<u64>>,
}

/// Counts by what they are about, with a bound on how many.
#[derive(Debug)]
struct BoundedCounts<K: Hash + Eq> {
    counts: FastMap<K, u64>,
}

impl<K: Hash + Eq> Default for BoundedCounts<K> {
    fn default() -> Self {
        Self { counts: FastMap::default() }
    }
}

impl<K: Hash + Eq> BoundedCounts<K> {
    fn add(&mut self, key: K, others: impl FnOnce() -> K) {
        let is_new = !self.counts.contains_key(&key);
        let key = if is_new && self.counts.len() >= MOST_KEYS { others() } else { key };
        *self.counts.entry(key).or_default() += 1;
    }
}

/// What happened to requests, by log lines.
#[derive(Debug, Default)]
pub struct LossAccount {
    open: FastMap<Box<str>, OpenRequest>,
    opened: u64,
    kinds: FastMap<Box<str>, KindCount>,
    seconds: BoundedCounts<SecondKey>,
    causes: BoundedCounts<CauseKey>,
    upstreams: BoundedCounts<UpstreamKey>,
    lines: u64,
    bad_lines: u64,
    first_second: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SecondKey {
    second: u64,
    kind: Box<str>,
    outcome: Box<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CauseKey {
    kind: Box<str>,
    outcome: Box<str>,
    cause: Box<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UpstreamKey {
    upstream: Box<str>,
    outcome: Box<str>,
}

/// A loss as it is counted.
struct Loss<'a> {
    second: u64,
    route: &'a str,
    outcome: &'a str,
    cause: &'a str,
    upstream: &'a str,
}

fn outcome_of(end: LostEnd) -> &'static str {
    match end {
        LostEnd::Refused => "refused",
        LostEnd::Failed => "failed",
        LostEnd::Broken => "broken off",
        LostEnd::CallerLeft => "caller left",
        LostEnd::TurnedAway => "turned away",
    }
}

fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_max(LONGEST_MS, 2).ok()
}

impl LossAccount {
    /// Takes in all lines of a log. A line that can't be read is counted, and the next one is read.
    pub fn read(&mut self, mut log: impl BufRead) -> Result<(), Error> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if !read_bounded(&mut log, &mut bytes)? {
                return Ok(());
            }
            self.take(&String::from_utf8_lossy(&bytes));
        }
    }

    /// Takes in one line.
    pub fn take(&mut self, line: &str) {
        if line.trim().is_empty() {
            return;
        }
        self.lines += 1;
        match parse_line(line) {
            Some(line) => self.note(line),
            None => self.bad_lines += 1,
        }
    }

    fn note(&mut self, line: LogLine) {
        let second = line.at_ms / 1_000;
        let first = self.first_second.get_or_insert(second);
        *first = second.min(*first);
        match line.fact {
            RequestFact::Sent { request, route, upstream, expected_ms, objective_ms } => {
                let sends = self.open(request, |open| {
                    open.route = route;
                    open.upstream = upstream;
                    open.sends += 1;
                    open.expected_ms = open.expected_ms.or(expected_ms);
                    open.objective_ms = objective_ms.or(open.objective_ms);
                    (open.route.clone(), open.sends)
                });
                self.note_send(sends);
            }
            RequestFact::Held { request } => self.open(request, |open| open.was_held = true),
            RequestFact::SendFailed { request, upstream, reason } => {
                self.open(request, |open| open.trouble = Some(reason));
                self.note_upstream(&upstream, "no answer");
            }
            RequestFact::UpstreamRefused { request, upstream } => {
                self.open(request, |open| open.trouble = Some("refused by its upstream".into()));
                self.note_upstream(&upstream, "refused");
            }
            RequestFact::Answered { request, first_ms, is_success } => {
                self.note_answer(&request, first_ms, is_success, second);
            }
            RequestFact::Lost { request, route, end, reason } => {
                if !route.is_empty() {
                    self.open(request.clone(), |open| open.route = route);
                }
                self.note_lost(&request, end, reason.as_deref(), second);
            }
            RequestFact::Other => {}
        }
    }

    /// Changes what is known of a request under way.
    fn open<T>(&mut self, request: Box<str>, change: impl FnOnce(&mut OpenRequest) -> T) -> T {
        if self.open.len() >= MOST_OPEN && !self.open.contains_key(&request) {
            // The older half ended in lines that were lost, or with their daemon.
            let half = self.opened.saturating_sub(MOST_OPEN as u64 / 2);
            self.open.retain(|_, open| open.order >= half);
        }
        self.opened += 1;
        let order = self.opened;
        let fresh = || OpenRequest { order, ..OpenRequest::default() };
        change(self.open.entry(request).or_insert_with(fresh))
    }

    fn kind(&mut self, route: &str) -> &mut KindCount {
        let has_room = self.kinds.len() < MOST_KEYS || self.kinds.contains_key(route);
        let route = match route {
            "" => UNKNOWN,
            _ if has_room => route,
            _ => OTHERS,
        };
        self.kinds.entry(route.into()).or_insert_with(|| KindCount {
            row: KindRow { kind: route.into(), ..KindRow::default() },
            expected: histogram(),
            first: histogram(),
        })
    }

    fn note_send(&mut self, (route, sends): (Box<str>, u32)) {
        let row = &mut self.kind(&route).row;
        match sends {
            1 => row.requests += 1,
            2 => row.sent_twice += 1,
            _ => {}
        }
    }

    fn note_answer(&mut self, request: &str, first_ms: u64, is_success: bool, second: u64) {
        let Some(open) = self.open.remove(request) else { return };
        let kind = self.kind(&open.route);
        kind.row.answered += 1;
        if let Some(first) = &mut kind.first {
            first.saturating_record(first_ms);
        }
        if let (Some(expected), Some(histogram)) = (open.expected_ms, &mut kind.expected) {
            histogram.saturating_record(expected);
        }
        let is_late = open.objective_ms.is_some_and(|objective| first_ms > objective);
        if is_late {
            kind.row.late += 1;
        }
        if !is_success {
            kind.row.errors += 1;
        }
        let outcome = match (is_success, is_late) {
            (false, _) => "error",
            (true, true) => "late",
            (true, false) => return,
        };
        let cause = late_cause(&open, first_ms);
        let cause = if is_success { cause } else { "the upstream's own answer" };
        let (route, upstream) = (&*open.route, &*open.upstream);
        self.note_loss(Loss { second, route, outcome, cause, upstream });
    }

    fn note_lost(&mut self, request: &str, end: LostEnd, reason: Option<&str>, second: u64) {
        let open = self.open.remove(request).unwrap_or_default();
        let route = if open.route.is_empty() { UNKNOWN } else { &*open.route };
        let row = &mut self.kind(route).row;
        match end {
            LostEnd::Refused => row.refused += 1,
            LostEnd::Failed => row.failed += 1,
            LostEnd::Broken => row.broken += 1,
            LostEnd::CallerLeft => row.callers_left += 1,
            LostEnd::TurnedAway => row.turned_away += 1,
        }
        if open.sends == 0 && end != LostEnd::TurnedAway {
            row.requests += 1;
        }
        let cause = reason.or(open.trouble.as_deref()).unwrap_or("not told");
        let outcome = outcome_of(end);
        self.note_loss(Loss { second, route, outcome, cause, upstream: &open.upstream });
    }

    fn note_loss(&mut self, loss: Loss<'_>) {
        let Loss { second, route: kind, outcome, cause, upstream } = loss;
        let key = |second, kind: &str, outcome: &str| SecondKey {
            second,
            kind: kind.into(),
            outcome: outcome.into(),
        };
        self.seconds.add(key(second, kind, outcome), || key(0, OTHERS, OTHERS));
        let key = |kind: &str, outcome: &str, cause: &str| CauseKey {
            kind: kind.into(),
            outcome: outcome.into(),
            cause: cause.into(),
        };
        self.causes.add(key(kind, outcome, cause), || key(OTHERS, OTHERS, OTHERS));
        if !upstream.is_empty() {
            self.note_upstream(upstream, outcome);
        }
    }

    fn note_upstream(&mut self, upstream: &str, outcome: &str) {
        let key = |upstream: &str, outcome: &str| UpstreamKey {
            upstream: upstream.into(),
            outcome: outcome.into(),
        };
        self.upstreams.add(key(upstream, outcome), || key(OTHERS, OTHERS));
    }

    /// The counts so far.
    pub fn report(&self) -> LossReport {
        let quantile = |histogram: &Option<Histogram<u64>>, quantile| {
            histogram.as_ref().map_or(0, |histogram| histogram.value_at_quantile(quantile))
        };
        let kind = |count: &KindCount| KindRow {
            expected_p50_ms: quantile(&count.expected, 0.5),
            first_p50_ms: quantile(&count.first, 0.5),
            expected_p99_ms: quantile(&count.expected, 0.99),
            first_p99_ms: quantile(&count.first, 0.99),
            ..count.row.clone()
        };
        let start = self.first_second.unwrap_or(0);
        let second = |(key, count): (&SecondKey, &u64)| SecondRow {
            second: key.second.saturating_sub(start),
            kind: key.kind.clone(),
            outcome: key.outcome.clone(),
            count: *count,
        };
        let cause = |(key, count): (&CauseKey, &u64)| CauseRow {
            kind: key.kind.clone(),
            outcome: key.outcome.clone(),
            cause: key.cause.clone(),
            count: *count,
        };
        let upstream = |(key, count): (&UpstreamKey, &u64)| UpstreamRow {
            upstream: key.upstream.clone(),
            outcome: key.outcome.clone(),
            count: *count,
        };
        let mut report = LossReport {
            lines: self.lines,
            bad_lines: self.bad_lines,
            untold: self.open.len() as u64,
            kinds: self.kinds.values().map(kind).collect(),
            seconds: self.seconds.counts.iter().map(second).collect(),
            causes: self.causes.counts.iter().map(cause).collect(),
            upstreams: self.upstreams.counts.iter().map(upstream).collect(),
        };
        report.sort();
        report
    }
}

/// Why an answer was late: what is known first to have cost time.
fn late_cause(open: &OpenRequest, first_ms: u64) -> &'static str {
    if open.sends > 1 {
        return "sent again";
    }
    if open.was_held {
        return "waited for memory at engines";
    }
    match open.expected_ms {
        Some(expected) if open.objective_ms.is_some_and(|objective| expected > objective) => {
            "expected to be late"
        }
        Some(expected) if first_ms > 2 * expected => "the engine took longer than expected",
        _ => "slow answer",
    }
}

/// Reads up to a line's end, and keeps its beginning; false at the log's end.
fn read_bounded(log: &mut impl BufRead, line: &mut Vec<u8>) -> Result<bool, Error> {
    let mut has_read = false;
    loop {
        let chunk = log.fill_buf()?;
        if chunk.is_empty() {
            return Ok(has_read);
        }
        has_read = true;
        let end = chunk.iter().position(|byte| *byte == b'\n');
        let taken = end.unwrap_or(chunk.len());
        let room = LONGEST_LINE.saturating_sub(line.len());
        line.extend_from_slice(&chunk[..taken.min(room)]);
        log.consume(end.map_or(taken, |end| end + 1));
        if end.is_some() {
            return Ok(true);
        }
    }
}
