//! Orders engines to load published weights, while this daemon holds the lease for orders.
//!
//! One daemon at a time holds the lease, a record in the store's log. Others watch it as standbys
//! and request it when it expires. Orders carry the lease's fencing token.

use crate::events;
use crate::ports::{EnginePort, EngineReport, LeasePort, LoadOrder, PortError};
use crate::serve_context::ServeContext;
use crate::upstreams::upstream_table::WeightVersion;
use crate::weights::rollout_state::VersionRollout;
use crate::weights::version_rollout::{RolloutEngine, next_orders};
use guava_log::log_event;
use guava_state::{LeaseEntry, LeaseWatch};
use guava_types::{Deadline, Incarnation, ModelName, Moment, Offset, UpstreamId};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Subject by which daemons are ranked for the lease.
const LEASE_SUBJECT: &str = "orders.lease";
/// Interval between two rounds while any engine lacks published weights, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 100;
/// Interval between two checks for engines that lack published weights, in milliseconds.
const IDLE_INTERVAL_MS: u64 = 250;
/// Time in which the holder may send orders after it requested the lease, in milliseconds. It is
/// several rounds long, so that one lost answer of the store does not end the lease.
const TERM_MS: u64 = 1_200;
/// Remaining time below which the lease is renewed, in milliseconds. Each renewal costs two calls
/// to the store, and one by each standby.
const RENEWAL_MARGIN_MS: u64 = 500;
/// Longest wait of one read by a standby, in milliseconds.
///
/// The read returns at each renewal, so that a standby knows the end of the lease to within some
/// milliseconds. With polls every 0.7 s instead, the next holder took over half a second later, and
/// weights published twice within four seconds were rolled out late.
const WATCH_TIMEOUT_MS: u64 = 700;
/// Number of daemons, first in rank, that watch the lease to take it over when its holder fails.
/// Reads are expensive, and the holder and two more daemons rarely fail at once; if they do, others
/// move up in rank.
const STANDBYS: usize = 2;
/// Stagger per rank of the requests for a free lease, in milliseconds.
const RANK_STAGGER_MS: u64 = 120;

/// Time that an immediate message takes to reach the other daemons, in milliseconds: the latency of
/// one way between data centres, and scheduling delay.
const MESSAGE_DELAY_MS: u64 = 10;
/// Time for which an engine that was reported as loading counts as such without a further report,
/// in milliseconds.
const LOADING_NOTICE_MS: u64 = 1_000;

/// Task that competes for the lease, and sends orders to engines while this daemon holds it.
pub struct OrderTask {
    context: Rc<ServeContext>,
    lease_port: LeasePort,
    engine_port: EnginePort,
    local_incarnation: Incarnation,
    /// Minimum time between the orders of two lease holders, in milliseconds.
    holder_gap_ms: u64,
    lease: LeaseWatch,
    entry: Option<LeaseEntry>,
    next: u64,
    was_read: bool,
    was_held: bool,
    rollout: Rc<RefCell<VersionRollout>>,
}

impl OrderTask {
    /// A task that doesn't hold the lease. `holder_gap_ms` is the minimum time between the orders
    /// of two lease holders.
    pub fn new(
        context: Rc<ServeContext>,
        ports: (LeasePort, EnginePort),
        holder_gap_ms: u64,
        rollout: Rc<RefCell<VersionRollout>>,
    ) -> Self {
        let (lease_port, engine_port) = ports;
        Self {
            local_incarnation: context.identity.lease_holder(),
            context,
            lease_port,
            engine_port,
            holder_gap_ms,
            lease: LeaseWatch::default(),
            entry: None,
            next: 0,
            was_read: false,
            was_held: false,
            rollout,
        }
    }

    /// Runs the task; never returns. A failed call to the store is logged and repeated in the next
    /// round.
    pub async fn run(mut self) {
        let mut wanted_since: Option<Moment> = None;
        loop {
            let is_wanted = self.rollout.borrow_mut().refresh(&self.context, Moment::now());
            // Without links to engines, the lease is left to expire.
            if !is_wanted || self.context.reach.borrow().is_lost() {
                wanted_since = None;
                sleep(Duration::from_millis(IDLE_INTERVAL_MS)).await;
                continue;
            }
            let since = *wanted_since.get_or_insert_with(Moment::now);
            if let Err(error) = self.keep_lease(since).await {
                log_event!(warn, events::LEASE_UNAVAILABLE, reason = error);
            }
            self.note_lease();
            if self.fence().is_some() {
                self.run_round().await;
            }
            sleep(Duration::from_millis(ROUND_INTERVAL_MS)).await;
        }
    }

    /// Fencing token while this daemon may send orders, otherwise `None`. No orders are sent in the
    /// last `holder_gap_ms` of the lease, which separates them from those of the next holder.
    fn fence(&self) -> Option<u64> {
        let end = Moment(Moment::now().0 + self.holder_gap_ms);
        self.lease.token(end).map(|token| token.0)
    }

    fn note_lease(&mut self) {
        let fence = self.fence();
        if fence.is_some() != self.was_held {
            self.was_held = fence.is_some();
            match fence {
                Some(fence) => log_event!(info, events::LEASE_TAKEN, fence = fence),
                None => log_event!(info, events::LEASE_LOST, next = self.next),
            }
        }
    }

    /// Renews the lease, requests it if it is free, or watches it as a standby.
    async fn keep_lease(&mut self, wanted_since: Moment) -> Result<(), PortError> {
        let now = Moment::now();
        let renew_at = Moment(now.0 + self.holder_gap_ms + RENEWAL_MARGIN_MS);
        if self.lease.token(renew_at).is_some() {
            return Ok(());
        }
        let is_holder = self.fence().is_some();
        let local_rank =
            self.context.members.borrow().rank(&self.context.identity.name, LEASE_SUBJECT, now);
        if !is_holder && local_rank >= STANDBYS {
            sleep(Duration::from_millis(WATCH_TIMEOUT_MS)).await;
            return Ok(());
        }
        if !is_holder {
            // Only one daemon sends orders; the standbys' reads return once a renewal is written.
            let wait_ms = if self.was_read { WATCH_TIMEOUT_MS } else { 0 };
            self.read_lease(wait_ms).await?;
            self.was_read = true;
        }
        let now = Moment::now();
        let waited_ms = now.millis_since(wanted_since);
        if self.lease.may_request(self.local_incarnation, now).is_none()
            || waited_ms < local_rank as u64 * RANK_STAGGER_MS
        {
            return Ok(());
        }
        self.request_lease(now).await
    }

    async fn request_lease(&mut self, now: Moment) -> Result<(), PortError> {
        let term_ms = TERM_MS + self.holder_gap_ms;
        // The token stays the same while one holder renews.
        let held = self.entry.as_ref().filter(|entry| entry.holder == self.local_incarnation);
        let token = held.map_or(Offset(self.next + 1), |entry| entry.token);
        let entry = LeaseEntry {
            holder: self.local_incarnation,
            token,
            renewed: Offset(self.next + 1),
            term_ms,
        };
        self.lease.request_sent(now, term_ms);
        (self.lease_port.request)(entry, self.next).await?;
        // The request may have been written or have lost against another daemon's record; the log
        // shows which lease is in force.
        self.read_lease(0).await
    }

    /// Reads and applies the newest record of the lease; waits up to `wait_ms` for a new one.
    async fn read_lease(&mut self, wait_ms: u64) -> Result<(), PortError> {
        let update = (self.lease_port.read)(self.next, wait_ms).await?;
        self.next = update.next;
        if let Some(entry) = update.newest {
            self.lease.observe(Some(&entry), self.local_incarnation, Moment::now());
            self.entry = Some(entry);
        }
        Ok(())
    }

    /// One round: polls the engines that load, and sends orders to the next ones.
    async fn run_round(&mut self) {
        let plans = self.rollout.borrow().lagging();
        for (model, version) in plans {
            self.poll_engines(&model, version).await;
            let engines: Vec<RolloutEngine> = self.rollout.borrow().engines(&model);
            let next = next_orders(&engines, Moment::now());
            self.report_loading(&next).await;
            for id in next {
                if self.fence().is_none() {
                    return;
                }
                self.order_engine(&id, &model, version).await;
            }
        }
    }

    /// Reports to all daemons which engines will load, before these refuse requests.
    async fn report_loading(&self, engines: &[UpstreamId]) {
        if engines.is_empty() {
            return;
        }
        let until = Deadline::in_millis(LOADING_NOTICE_MS);
        for id in engines {
            self.context.upstreams.borrow_mut().note_loading(id, until);
        }
        self.context.just_loading.borrow_mut().extend_from_slice(engines);
        self.context.message_due.notify_one();
        sleep(Duration::from_millis(MESSAGE_DELAY_MS)).await;
    }

    fn address(&self, id: &UpstreamId) -> Option<SocketAddr> {
        self.context.upstreams.borrow().entry(id).map(|entry| entry.address)
    }

    /// Polls the ordered engines for the versions that they have loaded.
    async fn poll_engines(&mut self, model: &ModelName, version: WeightVersion) {
        let due = self.rollout.borrow_mut().due_polls(model, Moment::now());
        for id in due {
            // The few calls to an engine with a limit are for orders; its entry tells its weights.
            if self.context.announcements.borrow().limit(&id).is_some() {
                continue;
            }
            let Some(address) = self.address(&id) else { continue };
            let Ok(engine_report) = self.fetch_report(&id, address).await else { continue };
            let known = engine_report.versions.get(model).copied().unwrap_or_default();
            if known >= version {
                self.note_loaded(&id, model, known);
            }
        }
    }

    /// Requests an engine's report.
    ///
    /// An engine that was restarted under its name is another engine: its former weights and count
    /// of orders don't apply. The restart is recorded, and the call fails.
    async fn fetch_report(
        &self,
        id: &UpstreamId,
        address: SocketAddr,
    ) -> Result<EngineReport, PortError> {
        let engine_report = (self.engine_port.report)(id.clone(), address).await?;
        let reported =
            engine_report.start_ms.map_or_else(|| id.clone(), |start_ms| id.started_at(start_ms));
        if reported == *id {
            return Ok(engine_report);
        }
        if self.context.upstreams.borrow_mut().note_start(&reported) {
            self.context.pool.close_idle(address);
            log_event!(info, events::LIST_CHANGED, upstream = reported, change = "restarted");
        }
        Err(PortError::new(&format_args!("the report came from {reported}")))
    }

    fn note_loaded(&self, id: &UpstreamId, model: &ModelName, version: WeightVersion) {
        self.context.upstreams.borrow_mut().note_version(id, model, version);
        self.rollout.borrow_mut().note_version_loaded(model, id, Moment::now());
        log_event!(info, events::WEIGHTS_LOADED, upstream = id, version = version);
    }

    async fn order_engine(&mut self, id: &UpstreamId, model: &ModelName, version: WeightVersion) {
        let Some(address) = self.address(id) else { return };
        let engine_report = match self.fetch_report(id, address).await {
            Ok(engine_report) => engine_report,
            Err(error) => {
                self.rollout.borrow_mut().note_failed(model, id, Moment::now());
                log_event!(warn, events::ORDER_FAILED, upstream = id, reason = error);
                return;
            }
        };
        // The lease may have ended while the report was awaited.
        let Some(fence) = self.fence() else { return };
        let known = engine_report.versions.get(model).copied().unwrap_or_default();
        if known >= version {
            self.note_loaded(id, model, known);
            return;
        }
        if engine_report.is_busy {
            self.rollout.borrow_mut().note_busy(model, id, Moment::now());
            return;
        }
        let load = LoadOrder {
            engine: id.clone(),
            address,
            model: model.clone(),
            version,
            holder: self.context.identity.name.as_str().into(),
            fence,
            orders_before: engine_report.orders,
        };
        self.rollout.borrow_mut().note_ordered(model, id, Moment::now());
        match (self.engine_port.order)(load).await {
            Ok(()) => log_event!(
                info,
                events::ORDERED,
                upstream = id,
                model = model,
                version = version,
                fence = fence
            ),
            Err(error) => {
                log_event!(warn, events::ORDER_FAILED, upstream = id, reason = error);
            }
        }
    }
}
