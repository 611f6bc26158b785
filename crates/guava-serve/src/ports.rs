//! Interfaces through which the background tasks call external services; an adapter provides them.
//!
//! Each port is a struct of closures that make one call and return its result in this crate's types.
//! The tasks decide when a call is made and what follows from its result.

use crate::parts::part_index::{HeldPart, PartEvent};
use crate::parts::partial_saves::PartialPart;
use crate::parts::settled_start::SettledStart;
use crate::upstreams::quarantine_record::{QuarantineLog, QuarantineRecord};
use crate::upstreams::upstream_table::WeightVersion;
use crate::upstreams::version_record::{VersionLog, VersionRecord};
use futures_util::future::LocalBoxFuture;
use guava_state::LeaseEntry;
use guava_types::{FastMap, ModelName, RequestDigest, UpstreamId};
use snafu::Snafu;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// A call to an external service failed.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}"))]
pub struct PortError {
    /// The adapter's error as text, for logs.
    pub reason: Box<str>,
}

impl PortError {
    /// Keeps the displayed text of an adapter's error.
    pub fn new(error: &impl fmt::Display) -> Self {
        Self { reason: error.to_string().into() }
    }
}

/// The pending result of a call; not `Send`, since all tasks run on one thread.
pub type PortFuture<T> = LocalBoxFuture<'static, Result<T, PortError>>;

/// Result of a read of the lease records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseUpdate {
    /// The newest record; `None` if there is none from the requested offset on.
    pub newest: Option<LeaseEntry>,
    /// Offset at which the next read continues.
    pub next: u64,
}

/// Access to the log by which daemons agree on the holder of the lease for orders.
pub struct LeasePort {
    /// Reads the records from an offset on; waits up to the given milliseconds for the first one.
    pub read: Rc<dyn Fn(u64, u64) -> PortFuture<LeaseUpdate>>,
    /// Writes a record if the next free offset is still the given one. Success does not tell whether
    /// it was written; a later read does.
    pub request: Rc<dyn Fn(LeaseEntry, u64) -> PortFuture<()>>,
}

/// Answer of an engine to the report call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Loaded weights of each model.
    pub versions: FastMap<ModelName, WeightVersion>,
    /// Whether the engine is executing an order.
    pub is_busy: bool,
    /// Orders accepted since its start; see `LoadOrder::orders_before`.
    pub orders: u64,
    /// When it started, in milliseconds of Unix time, if reported.
    pub start_ms: Option<u64>,
}

/// An order to an engine to load weights.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOrder {
    /// The engine meant; another one at the same address must reject the order.
    pub engine: UpstreamId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Model whose weights are replaced.
    pub model: ModelName,
    /// Version to load.
    pub version: WeightVersion,
    /// Holder of the lease for orders, which sends this one.
    pub holder: Box<str>,
    /// Fencing token of the lease.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before this one; a delayed order finds
    /// another number and has no effect.
    pub orders_before: u64,
}

/// Calls to engines other than requests.
pub struct EnginePort {
    /// Requests the report of the engine at an address.
    pub report: Rc<dyn Fn(UpstreamId, SocketAddr) -> PortFuture<EngineReport>>,
    /// Sends an order to load weights.
    pub order: Rc<dyn Fn(LoadOrder) -> PortFuture<()>>,
}

/// Changes that a store of prompt parts reports.
#[derive(Clone, Debug)]
pub struct PartReport {
    /// Differs after each restart of the store.
    pub epoch: u64,
    /// Number from which the next report continues.
    pub next: u64,
    /// Whether changes are missing, so that the store must be listed again.
    pub is_gapped: bool,
    /// Changes since the requested number.
    pub events: Vec<PartEvent>,
    /// The upstreams' clock at the time of the report, in milliseconds, if reported.
    pub clock_ms: Option<u64>,
}

/// Complete contents of a store of prompt parts.
#[derive(Clone, Debug, Default)]
pub struct PartList {
    /// Differs after each restart of the store.
    pub epoch: u64,
    /// Number from which reports of changes continue.
    pub next: u64,
    /// All parts that it holds.
    pub held: Vec<HeldPart>,
    /// Parts of saves that are in progress or broke off.
    pub partial: Vec<PartialPart>,
}

/// An order to a store to free prompt parts.
#[derive(Clone, Debug)]
pub struct FreeOrder {
    /// Address of the store.
    pub store: SocketAddr,
    /// Last known epoch of the store; in another epoch the order has no effect.
    pub epoch: u64,
    /// Parts to free.
    pub parts: Vec<HeldPart>,
    /// Deadline on the upstreams' clock, in milliseconds, after which the order has no effect.
    pub until_ms: Option<u64>,
}

/// Calls to stores of prompt parts other than transfers for requests.
pub struct PartPort {
    /// Reads the changes from a number on; waits up to the given milliseconds for the first one.
    pub events: Rc<dyn Fn(SocketAddr, u64, u64) -> PortFuture<PartReport>>,
    /// Lists the complete contents of a store.
    pub list: Rc<dyn Fn(SocketAddr) -> PortFuture<PartList>>,
    /// Orders a store to free parts.
    pub free: Rc<dyn Fn(FreeOrder) -> PortFuture<()>>,
}

/// Storage of quarantine records, which survives the exit of all daemons.
pub struct QuarantinePort {
    /// Reads what follows an offset; all records without one.
    pub read: Rc<dyn Fn(Option<u64>) -> PortFuture<QuarantineLog>>,
    /// Writes one record, and returns its offset.
    pub write: Rc<dyn Fn(QuarantineRecord) -> PortFuture<u64>>,
    /// Removes the record of a request.
    pub remove: Rc<dyn Fn(RequestDigest) -> PortFuture<()>>,
}

/// Storage of the software versions at which streams may have begun; it survives the exit of all daemons.
pub struct VersionPort {
    /// Reads all records.
    pub read: Rc<dyn Fn() -> PortFuture<VersionLog>>,
    /// Writes one record; writing it again has no effect.
    pub write: Rc<dyn Fn(VersionRecord) -> PortFuture<()>>,
    /// Removes one record if the log still ends there. A call that is carried out late must not remove
    /// a record that was written since. Success does not tell whether it was removed.
    pub remove: Rc<dyn Fn(VersionRecord, u64) -> PortFuture<()>>,
}

/// Storage of which starts of part stores are settled; it survives the exit of all daemons.
pub struct StartPort {
    /// Reads all records.
    pub read: Rc<dyn Fn() -> PortFuture<Vec<SettledStart>>>,
    /// Writes the record of a store, which replaces the one before.
    pub write: Rc<dyn Fn(SettledStart) -> PortFuture<()>>,
    /// Removes the record of a store.
    pub remove: Rc<dyn Fn(SocketAddr) -> PortFuture<()>>,
}
