//! Encoding of what daemons tell each other for the order of their queues: customers' use, and refused
//! callers that are expected back.

use guava_policy::{ReturnNotice, UseReport, UseRow, WaitingUse};
use guava_types::{Deadline, FastMap, Moment, RequestDigest, ServiceName};
use prost::Message;

/// Use of one service: customers and amounts in the same order.
#[derive(Clone, PartialEq, Message)]
struct WireServiceUse {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, repeated, tag = "2")]
    customers: Vec<String>,
    #[prost(float, repeated, tag = "3")]
    amounts: Vec<f32>,
    #[prost(message, optional, tag = "4")]
    waiting: Option<WireWaiting>,
}

/// A `WaitingUse` as it is sent.
#[derive(Clone, PartialEq, Message)]
struct WireWaiting {
    #[prost(uint32, tag = "1")]
    rank: u32,
    #[prost(float, tag = "2")]
    lowest: f32,
}

/// A `UseReport` as it is sent.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireUseReport {
    #[prost(uint64, tag = "1")]
    age_ms: u64,
    #[prost(bool, tag = "2")]
    is_crowded: bool,
    #[prost(message, repeated, tag = "3")]
    services: Vec<WireServiceUse>,
}

/// A `ReturnNotice` as it is sent.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireReturn {
    #[prost(bytes = "vec", tag = "1")]
    request: Vec<u8>,
    #[prost(uint64, tag = "2")]
    first_age_ms: u64,
    #[prost(uint64, tag = "3")]
    left_ms: u64,
}

fn service_use<'a, 'b>(
    services: &'a mut FastMap<&'b ServiceName, WireServiceUse>,
    service: &'b ServiceName,
) -> &'a mut WireServiceUse {
    services.entry(service).or_insert_with(|| WireServiceUse {
        service: service.to_string(),
        ..WireServiceUse::default()
    })
}

impl WireUseReport {
    /// The report as it is sent at `now`.
    pub(crate) fn of(report: &UseReport, now: Moment) -> Self {
        let mut services: FastMap<&ServiceName, WireServiceUse> = FastMap::default();
        for row in &report.rows {
            let used = service_use(&mut services, &row.service);
            used.customers.push(row.customer.to_string());
            used.amounts.push(row.amount as f32);
        }
        for (service, waiting) in &report.waiting {
            let (rank, lowest) = (waiting.rank.into(), waiting.lowest as f32);
            service_use(&mut services, service).waiting = Some(WireWaiting { rank, lowest });
        }
        let age_ms = now.millis_since(report.as_of);
        Self { age_ms, is_crowded: report.is_crowded, services: services.into_values().collect() }
    }

    /// The report, which arrived at `since` or later. Rows whose names can't be read are left out.
    pub(crate) fn decode(&self, since: Moment) -> UseReport {
        let rows = self.services.iter().flat_map(|used| {
            let amounts = used.customers.iter().zip(&used.amounts);
            amounts.filter_map(|(customer, amount)| {
                Some(UseRow {
                    service: used.service.parse().ok()?,
                    customer: customer.parse().ok()?,
                    amount: f64::from(*amount),
                })
            })
        });
        let waiting = self.services.iter().filter_map(|used| {
            let waiting = used.waiting.as_ref()?;
            let rank = u8::try_from(waiting.rank).ok()?;
            let lowest = f64::from(waiting.lowest);
            Some((used.service.parse().ok()?, WaitingUse { rank, lowest }))
        });
        UseReport {
            as_of: since.minus_millis(self.age_ms),
            is_crowded: self.is_crowded,
            rows: rows.collect(),
            waiting: waiting.collect(),
        }
    }
}

impl WireReturn {
    /// The notice as it is sent at `now`.
    pub(crate) fn of(notice: &ReturnNotice, now: Moment) -> Self {
        Self {
            request: notice.request.to_bytes(),
            first_age_ms: now.millis_since(notice.first),
            left_ms: notice.due.millis_left(now),
        }
    }

    /// The notice, which arrived between `since` and `now`; `None` if its digest can't be read.
    pub(crate) fn decode(&self, since: Moment, now: Moment) -> Option<ReturnNotice> {
        Some(ReturnNotice {
            request: RequestDigest::from_bytes(&self.request)?,
            first: since.minus_millis(self.first_age_ms),
            due: Deadline::after(now, self.left_ms),
        })
    }
}
