//! What the duties beside requests need from outside; an adapter fills these in.
//!
//! Each port is a struct of closures that carry out one call and give its result in the product's
//! types. Which call is made when, and what follows from its result, is decided by the duties.

use crate::parts::part_index::{HeldPart, PartEvent};
use crate::upstreams::quarantine_record::QuarantineRecord;
use crate::upstreams::upstream_table::WeightVersion;
use futures_util::future::LocalBoxFuture;
use guava_state::LeaseEntry;
use guava_types::{FastMap, ModelName, RequestDigest, UpstreamId};
use snafu::Snafu;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a call gave nothing.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}"))]
pub struct PortError {
    /// In the adapter's words.
    pub reason: Box<str>,
}

impl PortError {
    /// An error as the adapter shows it.
    pub fn new(error: &impl fmt::Display) -> Self {
        Self { reason: error.to_string().into() }
    }
}

/// The result of a call.
pub type PortFuture<T> = LocalBoxFuture<'static, Result<T, PortError>>;

/// What a read of the lease's records brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseUpdate {
    /// The newest record, if there was a new one.
    pub newest: Option<LeaseEntry>,
    /// Offset of the next record.
    pub next: u64,
}

/// The lease for orders, where daemons agree on it.
pub struct LeasePort {
    /// Reads the records from an offset on; waits so many milliseconds for the first one.
    pub read: Rc<dyn Fn(u64, u64) -> PortFuture<LeaseUpdate>>,
    /// Writes a record if the next one still has this offset. Whether it was written shows only in
    /// what is read afterwards.
    pub request: Rc<dyn Fn(LeaseEntry, u64) -> PortFuture<()>>,
}

/// An engine's report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Weights that it has.
    pub versions: FastMap<ModelName, WeightVersion>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders accepted since its start; an order may be made conditional on it.
    pub orders: u64,
    /// When it started, in milliseconds of Unix time, if it tells.
    pub start_ms: Option<u64>,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOrder {
    /// Engine that must carry it out, and no other at its address.
    pub engine: UpstreamId,
    /// Where.
    pub address: SocketAddr,
    /// Which model.
    pub model: ModelName,
    /// Weights to load.
    pub version: WeightVersion,
    /// Who orders.
    pub holder: Box<str>,
    /// Fencing token.
    pub fence: u64,
    /// Orders that the engine must have accepted so far: an order that is carried out late finds
    /// another number and has no effect.
    pub orders_before: u64,
}

/// Engines, beside requests.
pub struct EnginePort {
    /// Asks an engine at an address for its report.
    pub report: Rc<dyn Fn(UpstreamId, SocketAddr) -> PortFuture<EngineReport>>,
    /// Orders an engine to load weights.
    pub order: Rc<dyn Fn(LoadOrder) -> PortFuture<()>>,
}

/// What a store of cached parts reports.
#[derive(Clone, Debug)]
pub struct PartReport {
    /// Changes with each restart.
    pub epoch: u64,
    /// From where the next report goes on.
    pub next: u64,
    /// Whether changes are missing.
    pub is_gapped: bool,
    /// Changes.
    pub events: Vec<PartEvent>,
    /// The upstreams' clock, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// All that a store of cached parts holds.
#[derive(Clone, Debug)]
pub struct PartList {
    /// Changes with each restart.
    pub epoch: u64,
    /// From where reports go on.
    pub next: u64,
    /// Its parts.
    pub held: Vec<HeldPart>,
}

/// An order to free parts.
#[derive(Clone, Debug)]
pub struct FreeOrder {
    /// Which store.
    pub store: SocketAddr,
    /// Its start, as known; after another one the order has no effect.
    pub epoch: u64,
    /// Which parts.
    pub parts: Vec<HeldPart>,
    /// On the upstreams' clock, in milliseconds: later the order has no effect.
    pub until_ms: Option<u64>,
}

/// Stores of cached parts, beside requests.
pub struct PartPort {
    /// Changes since a number; waits so many milliseconds for the first one.
    pub events: Rc<dyn Fn(SocketAddr, u64, u64) -> PortFuture<PartReport>>,
    /// Everything that a store holds.
    pub list: Rc<dyn Fn(SocketAddr) -> PortFuture<PartList>>,
    /// Frees parts.
    pub free: Rc<dyn Fn(FreeOrder) -> PortFuture<()>>,
}

/// Records of stopped requests, where they outlast the daemons.
pub struct QuarantinePort {
    /// Reads all.
    pub read: Rc<dyn Fn() -> PortFuture<Vec<QuarantineRecord>>>,
    /// Writes one.
    pub write: Rc<dyn Fn(QuarantineRecord) -> PortFuture<()>>,
    /// Drops one.
    pub remove: Rc<dyn Fn(RequestDigest) -> PortFuture<()>>,
}
