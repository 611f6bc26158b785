//! Rows of the report from what was counted.

use crate::loss_counts::{CauseKey, CustomerKey, LossSum, SecondKey, UpstreamKey};
use crate::loss_report::{CauseRow, CustomerCauseRow, SecondRow, UpstreamRow};

/// Sums of worths without the noise of their last digits.
pub fn rounded(worth: f64) -> f64 {
    (worth * 1_000.0).round() / 1_000.0
}

/// Losses of one second, by the second of the first line.
pub fn second_row(key: &SecondKey, sum: LossSum, start: u64) -> SecondRow {
    SecondRow {
        second: key.second.saturating_sub(start),
        kind: key.kind.clone(),
        outcome: key.outcome.clone(),
        count: sum.count,
        lost_worth: rounded(sum.worth),
    }
}

/// Losses of one cause.
pub fn cause_row(key: &CauseKey, sum: LossSum) -> CauseRow {
    CauseRow {
        kind: key.kind.clone(),
        outcome: key.outcome.clone(),
        cause: key.cause.clone(),
        count: sum.count,
        lost_worth: rounded(sum.worth),
    }
}

/// Losses of one customer and cause.
pub fn customer_cause_row(key: &CustomerKey, sum: LossSum) -> CustomerCauseRow {
    CustomerCauseRow {
        customer: key.customer.clone(),
        kind: key.cause.kind.clone(),
        outcome: key.cause.outcome.clone(),
        cause: key.cause.cause.clone(),
        count: sum.count,
        lost_worth: rounded(sum.worth),
    }
}

/// Losses at one upstream.
pub fn upstream_row(key: &UpstreamKey, sum: LossSum) -> UpstreamRow {
    UpstreamRow { upstream: key.upstream.clone(), outcome: key.outcome.clone(), count: sum.count }
}
