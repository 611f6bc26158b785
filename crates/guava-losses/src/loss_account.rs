//! The account: lines in, counts out.

use crate::log_line::{LogLine, LostEnd, RequestFact, parse_line};
use crate::loss_counts::{CauseKey, CustomerKey, LossCounts, MOST_KEYS, SecondKey, UpstreamKey};
use crate::loss_report::{CustomerRow, KindRow, LossReport};
use crate::loss_worth::WorthTable;
use crate::report_rows::{cause_row, customer_cause_row, rounded, second_row, upstream_row};
use guava_types::FastMap;
use hdrhistogram::Histogram;
use std::io::{BufRead, Error};

/// Requests under way that are remembered at most; beyond that the oldest end untold. A daemon has a
/// few thousand at a time.
const MOST_OPEN: usize = 200_000;
/// Longest line that is read, in bytes: daemons' lines stay under two thousand.
const LONGEST_LINE: usize = 64 << 10;
/// Longest time told apart from longer ones, in milliseconds.
const LONGEST_MS: u64 = 600_000;
/// Customers and kinds at most whose times are kept: each takes some kilobytes.
const MOST_TIMED: usize = 1_000;
const OTHERS: &str = "(others)";
const UNKNOWN: &str = "(unknown)";

#[derive(Clone, Debug, Default)]
struct OpenRequest {
    route: Box<str>,
    customer: Box<str>,
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

#[derive(Debug)]
struct CustomerCount {
    row: CustomerRow,
    /// `None` beyond the bound.
    first: Option<Histogram<u64>>,
}

/// What happened to requests, by log lines.
#[derive(Debug, Default)]
pub struct LossAccount {
    open: FastMap<Box<str>, OpenRequest>,
    opened: u64,
    worth: WorthTable,
    kinds: FastMap<Box<str>, KindCount>,
    /// Rows by customer, then by kind; the names beyond the bound are `(others)`.
    customers: FastMap<(Box<str>, Box<str>), CustomerCount>,
    seconds: LossCounts<SecondKey>,
    causes: LossCounts<CauseKey>,
    customer_causes: LossCounts<CustomerKey>,
    upstreams: LossCounts<UpstreamKey>,
    lines: u64,
    bad_lines: u64,
    first_second: Option<u64>,
}

/// A loss as it is counted.
struct Loss<'a> {
    second: u64,
    open: &'a OpenRequest,
    outcome: &'a str,
    cause: &'a str,
    worth: f64,
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

/// What is told, or that nothing is.
fn known(text: &str) -> &str {
    if text.is_empty() { UNKNOWN } else { text }
}

impl LossAccount {
    /// An empty account that weighs losses by these worths.
    pub fn new(worth: WorthTable) -> Self {
        Self { worth, ..Self::default() }
    }

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
            RequestFact::Sent { request, route, customer, upstream, expected_ms, objective_ms } => {
                let sent = self.open(request, |open| {
                    open.route = route;
                    open.customer = customer;
                    open.upstream = upstream;
                    open.sends += 1;
                    open.expected_ms = open.expected_ms.or(expected_ms);
                    open.objective_ms = objective_ms.or(open.objective_ms);
                    (open.route.clone(), open.customer.clone(), open.sends)
                });
                self.note_send(&sent.0, &sent.1, sent.2);
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
            RequestFact::Lost { request, route, customer, end, reason } => {
                if !route.is_empty() {
                    self.open(request.clone(), |open| open.route = route);
                }
                if !customer.is_empty() {
                    self.open(request.clone(), |open| open.customer = customer);
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

    fn customer(&mut self, customer: &str, kind: &str) -> &mut CustomerCount {
        let mut key = (known(customer).into(), known(kind).into());
        if self.customers.len() >= MOST_KEYS && !self.customers.contains_key(&key) {
            key = (OTHERS.into(), OTHERS.into());
        }
        let is_timed = self.customers.len() < MOST_TIMED;
        self.customers.entry(key).or_insert_with_key(|(customer, kind)| CustomerCount {
            row: CustomerRow {
                customer: customer.clone(),
                kind: kind.clone(),
                ..CustomerRow::default()
            },
            first: if is_timed { histogram() } else { None },
        })
    }

    fn note_send(&mut self, route: &str, customer: &str, sends: u32) {
        match sends {
            1 => self.note_request(route, customer),
            2 => self.kind(route).row.sent_twice += 1,
            _ => {}
        }
    }

    fn note_request(&mut self, route: &str, customer: &str) {
        let worth = self.worth.request(route);
        let row = &mut self.kind(route).row;
        row.requests += 1;
        row.worth += worth;
        let row = &mut self.customer(customer, route).row;
        row.requests += 1;
        row.worth += worth;
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
        kind.row.late += u64::from(is_late);
        kind.row.errors += u64::from(!is_success);
        let customer = self.customer(&open.customer, &open.route);
        if let Some(first) = &mut customer.first {
            first.saturating_record(first_ms);
        }
        customer.row.late += u64::from(is_late && is_success);
        customer.row.failed += u64::from(!is_success);
        let outcome = match (is_success, is_late) {
            (false, _) => "error",
            (true, true) => "late",
            (true, false) => return,
        };
        let cause = late_cause(&open, first_ms);
        let cause = if is_success { cause } else { "the upstream's own answer" };
        let worth = self.worth.loss(&open.route, is_success);
        self.note_loss(&Loss { second, open: &open, outcome, cause, worth });
    }

    fn note_lost(&mut self, request: &str, end: LostEnd, reason: Option<&str>, second: u64) {
        let open = self.open.remove(request).unwrap_or_default();
        let row = &mut self.kind(&open.route).row;
        match end {
            LostEnd::Refused => row.refused += 1,
            LostEnd::Failed => row.failed += 1,
            LostEnd::Broken => row.broken += 1,
            LostEnd::CallerLeft => row.callers_left += 1,
            LostEnd::TurnedAway => row.turned_away += 1,
        }
        if open.sends == 0 && end != LostEnd::TurnedAway {
            self.note_request(&open.route, &open.customer);
        }
        let row = &mut self.customer(&open.customer, &open.route).row;
        match end {
            LostEnd::Refused | LostEnd::TurnedAway => row.refused += 1,
            LostEnd::Failed | LostEnd::Broken => row.failed += 1,
            LostEnd::CallerLeft => {}
        }
        let cause = reason.or(open.trouble.as_deref()).unwrap_or("not told");
        // What a caller no longer wanted is not lost to it.
        let is_loss = end != LostEnd::CallerLeft;
        let worth = if is_loss { self.worth.loss(&open.route, false) } else { 0.0 };
        self.note_loss(&Loss { second, open: &open, outcome: outcome_of(end), cause, worth });
    }

    fn note_loss(&mut self, loss: &Loss<'_>) {
        let Loss { second, open, outcome, cause, worth } = *loss;
        let kind = known(&open.route);
        self.kind(kind).row.lost_worth += worth;
        self.customer(&open.customer, kind).row.lost_worth += worth;
        let key = |second, kind: &str, outcome: &str| SecondKey {
            second,
            kind: kind.into(),
            outcome: outcome.into(),
        };
        self.seconds.add(key(second, kind, outcome), worth, || key(0, OTHERS, OTHERS));
        let key = |kind: &str, outcome: &str, cause: &str| CauseKey {
            kind: kind.into(),
            outcome: outcome.into(),
            cause: cause.into(),
        };
        let others = || key(OTHERS, OTHERS, OTHERS);
        self.causes.add(key(kind, outcome, cause), worth, others);
        let own = CustomerKey {
            customer: known(&open.customer).into(),
            cause: key(kind, outcome, cause),
        };
        let others = || CustomerKey { customer: OTHERS.into(), cause: others() };
        self.customer_causes.add(own, worth, others);
        if !open.upstream.is_empty() {
            self.note_upstream(&open.upstream, outcome);
        }
    }

    fn note_upstream(&mut self, upstream: &str, outcome: &str) {
        let key = |upstream: &str, outcome: &str| UpstreamKey {
            upstream: upstream.into(),
            outcome: outcome.into(),
        };
        self.upstreams.add(key(upstream, outcome), 0.0, || key(OTHERS, OTHERS));
    }

    /// The counts so far.
    pub fn report(&self) -> LossReport {
        let start = self.first_second.unwrap_or(0);
        let mut report = LossReport {
            lines: self.lines,
            bad_lines: self.bad_lines,
            untold: self.open.len() as u64,
            kinds: self.kinds.values().map(kind_row).collect(),
            seconds: self.seconds.rows(|key, sum| second_row(key, sum, start)),
            causes: self.causes.rows(cause_row),
            customers: self.customers.values().map(customer_row).collect(),
            customer_causes: self.customer_causes.rows(customer_cause_row),
            upstreams: self.upstreams.rows(upstream_row),
        };
        report.sort();
        report
    }
}

fn quantile(histogram: Option<&Histogram<u64>>, quantile: f64) -> u64 {
    histogram.map_or(0, |histogram| histogram.value_at_quantile(quantile))
}

fn customer_row(count: &CustomerCount) -> CustomerRow {
    CustomerRow {
        first_p50_ms: quantile(count.first.as_ref(), 0.5),
        first_p99_ms: quantile(count.first.as_ref(), 0.99),
        worth: rounded(count.row.worth),
        lost_worth: rounded(count.row.lost_worth),
        ..count.row.clone()
    }
}

fn kind_row(count: &KindCount) -> KindRow {
    KindRow {
        worth: rounded(count.row.worth),
        lost_worth: rounded(count.row.lost_worth),
        expected_p50_ms: quantile(count.expected.as_ref(), 0.5),
        first_p50_ms: quantile(count.first.as_ref(), 0.5),
        expected_p99_ms: quantile(count.expected.as_ref(), 0.99),
        first_p99_ms: quantile(count.first.as_ref(), 0.99),
        ..count.row.clone()
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
