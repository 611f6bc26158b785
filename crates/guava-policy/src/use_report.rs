//! Reports of customers' use between daemons: what a report contains, and which rows are accepted.

use crate::customer_ledger::CustomerLedger;
use crate::yield_rule::WaitingUse;
use guava_types::{CustomerId, Deadline, FastMap, MemberName, Moment, ServiceName};

/// Most rows of a report, of all services together.
pub const MAX_USE_ROWS: usize = 32;

/// Largest use that a report may state, in units of cost: more than any daemon starts within the time
/// in which use decays.
const MAX_USE: f64 = 1e12;
/// How long a peer's word of who waits at it counts, in milliseconds: a little longer than the longest
/// usual interval between two summaries.
const WAITING_TTL_MS: u64 = 1_250;

/// Use of one service by one customer at one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct UseRow {
    /// The service that was used.
    pub service: ServiceName,
    /// The customer that used it.
    pub customer: CustomerId,
    /// Decayed use, in units of cost.
    pub amount: f64,
}

impl UseRow {
    /// Whether the amount is one that a daemon can have measured.
    fn is_plausible(&self) -> bool {
        is_use(self.amount)
    }
}

fn is_use(amount: f64) -> bool {
    amount.is_finite() && (0.0..=MAX_USE).contains(&amount)
}

/// A daemon's report of what its customers used.
#[derive(Clone, Debug, PartialEq)]
pub struct UseReport {
    /// Moment at which the amounts hold.
    pub as_of: Moment,
    /// Whether requests waited at the sender lately, so that it needs the reports of its peers.
    pub is_crowded: bool,
    /// The largest amounts.
    pub rows: Vec<UseRow>,
    /// Who waits at the sender for each service.
    pub waiting: Vec<(ServiceName, WaitingUse)>,
}

/// The largest uses at this daemon, at most `MAX_USE_ROWS` of all services together. Uses are compared
/// as parts of their service, since services count in different units.
pub fn largest_uses(ledgers: &FastMap<ServiceName, CustomerLedger>, now: Moment) -> Vec<UseRow> {
    let mut rows: Vec<(f64, UseRow)> = Vec::new();
    for (service, ledger) in ledgers {
        let uses = ledger.report(MAX_USE_ROWS, now);
        let total: f64 = uses.iter().map(|(_, amount)| amount).sum();
        rows.extend(uses.into_iter().map(|(customer, amount)| {
            (amount / total, UseRow { service: service.clone(), customer, amount })
        }));
    }
    rows.sort_by(|one, other| other.0.total_cmp(&one.0));
    rows.truncate(MAX_USE_ROWS);
    rows.into_iter().map(|(_, row)| row).collect()
}

/// Applies a peer's report to the ledgers of all services. It replaces the peer's earlier one and
/// counts until `silent_at`. Returns how many rows were ignored: those of which `is_known` is false,
/// and those with amounts that can't be.
pub fn apply_use_report(
    ledgers: &mut FastMap<ServiceName, CustomerLedger>,
    peer: &MemberName,
    report: UseReport,
    is_known: impl Fn(&UseRow) -> bool,
    silent_at: Deadline,
) -> usize {
    let received = report.rows.len();
    let mut accepted: FastMap<ServiceName, Vec<(CustomerId, f64)>> = FastMap::default();
    let rows = report.rows.into_iter().take(MAX_USE_ROWS);
    for row in rows.filter(|row| row.is_plausible() && is_known(row)) {
        accepted.entry(row.service).or_default().push((row.customer, row.amount));
    }
    let ignored = received - accepted.values().map(Vec::len).sum::<usize>();
    for service in accepted.keys() {
        ledgers.entry(service.clone()).or_default();
    }
    let waiting: FastMap<ServiceName, WaitingUse> =
        report.waiting.into_iter().filter(|(_, waiting)| is_use(waiting.lowest)).collect();
    let waiting_until = Deadline::after(report.as_of, WAITING_TTL_MS);
    for (service, ledger) in ledgers {
        let uses = accepted.remove(service).unwrap_or_default();
        ledger.note_peer(peer, uses, silent_at, report.as_of);
        ledger.note_peer_waiting(peer, waiting.get(service).copied(), waiting_until);
    }
    ignored
}

/// Sweeps the ledgers of all services, and removes those of services that nobody used lately.
pub fn sweep_ledgers(ledgers: &mut FastMap<ServiceName, CustomerLedger>, now: Moment) {
    ledgers.retain(|_, ledger| {
        ledger.sweep(now);
        !ledger.is_empty()
    });
}
