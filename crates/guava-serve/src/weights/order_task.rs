//! Brings engines to published weights, while this daemon holds the lease for orders.

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

/// What the daemons' turns at the lease depend on.
const LEASE_SUBJECT: &str = "orders.lease";
/// Pause between two rounds while engines lag behind, in milliseconds.
const ROUND_MS: u64 = 100;
/// Pause between two looks at whether engines lag behind, in milliseconds.
const IDLE_MS: u64 = 250;
/// Time in which the holder may order after it asked for the lease, in milliseconds: a few rounds,
/// so that one lost answer of the store does not end it.
const TERM_MS: u64 = 1_200;
/// The lease is asked for anew when less than this is left, in milliseconds. Each renewal is two calls
/// to the store, and one of each daemon that watches.
const RENEW_MS: u64 = 500;
/// Wait of one read by a daemon that watches the lease, in milliseconds. The read returns at each
/// renewal, so that the end of the lease is known to some milliseconds: looking every 0.7 s instead,
/// the next holder came half a second later, and weights published twice within four seconds were
/// rolled out late.
const WATCH_MS: u64 = 700;
/// Daemons that watch the lease, to take it over when its holder is gone: reads are dear, and its
/// holder and two more are rarely lost at once. If they are, others take their turns.
const STANDBYS: usize = 2;
/// Daemons ask for a free lease one after the other, so many milliseconds apart.
const TURN_MS: u64 = 120;

/// Time that an announcement takes to reach the other daemons, in milliseconds: one way between
/// data centres, and a wait for the processor.
const ANNOUNCE_PAUSE_MS: u64 = 10;
/// How long an announced engine counts as loading without a further sign, in milliseconds.
const ANNOUNCED_MS: u64 = 1_000;

/// This daemon's part in orders.
pub struct OrderTask {
    context: Rc<ServeContext>,
    lease_port: LeasePort,
    engine_port: EnginePort,
    me: Incarnation,
    /// Orders of two holders must lie so far apart, in milliseconds.
    apart_ms: u64,
    lease: LeaseWatch,
    entry: Option<LeaseEntry>,
    next: u64,
    is_read: bool,
    was_held: bool,
    rollout: Rc<RefCell<VersionRollout>>,
}

impl OrderTask {
    /// A duty that has done nothing yet.
    pub fn new(
        context: Rc<ServeContext>,
        ports: (LeasePort, EnginePort),
        apart_ms: u64,
        rollout: Rc<RefCell<VersionRollout>>,
    ) -> Self {
        let (lease_port, engine_port) = ports;
        Self {
            me: context.identity.lease_holder(),
            context,
            lease_port,
            engine_port,
            apart_ms,
            lease: LeaseWatch::default(),
            entry: None,
            next: 0,
            is_read: false,
            was_held: false,
            rollout,
        }
    }

    /// Does the duty for ever.
    pub async fn run(mut self) {
        let mut wanted_since: Option<Moment> = None;
        loop {
            let is_wanted = self.rollout.borrow_mut().refresh(&self.context, Moment::now());
            if !is_wanted {
                wanted_since = None;
                sleep(Duration::from_millis(IDLE_MS)).await;
                continue;
            }
            let since = *wanted_since.get_or_insert_with(Moment::now);
            if let Err(error) = self.keep_lease(since).await {
                log_event!(warn, events::LEASE_UNAVAILABLE, reason = error);
            }
            self.note_lease();
            if self.fence().is_some() {
                self.round().await;
            }
            sleep(Duration::from_millis(ROUND_MS)).await;
        }
    }

    /// The fencing token, while this daemon may order: the last stretch of the lease is the time
    /// by which orders of two holders must lie apart.
    fn fence(&self) -> Option<u64> {
        let end = Moment(Moment::now().0 + self.apart_ms);
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

    /// Renews the lease, takes it if it is free, or watches its holder.
    async fn keep_lease(&mut self, wanted_since: Moment) -> Result<(), PortError> {
        let now = Moment::now();
        let renew_at = Moment(now.0 + self.apart_ms + RENEW_MS);
        if self.lease.token(renew_at).is_some() {
            return Ok(());
        }
        let is_holder = self.fence().is_some();
        let turn =
            self.context.members.borrow().rank(&self.context.identity.name, LEASE_SUBJECT, now);
        if !is_holder && turn >= STANDBYS {
            sleep(Duration::from_millis(WATCH_MS)).await;
            return Ok(());
        }
        if !is_holder {
            // Only one daemon orders; the others learn of a renewal once it is written.
            let wait_ms = if self.is_read { WATCH_MS } else { 0 };
            self.read_lease(wait_ms).await?;
            self.is_read = true;
        }
        let now = Moment::now();
        let waited = now.millis_since(wanted_since);
        if self.lease.may_request(self.me, now).is_none() || waited < turn as u64 * TURN_MS {
            return Ok(());
        }
        self.request_lease(now).await
    }

    async fn request_lease(&mut self, now: Moment) -> Result<(), PortError> {
        let term_ms = TERM_MS + self.apart_ms;
        // The token stays the same while one holder renews.
        let held = self.entry.as_ref().filter(|entry| entry.holder == self.me);
        let token = held.map_or(Offset(self.next + 1), |entry| entry.token);
        let entry = LeaseEntry { holder: self.me, token, renewed: Offset(self.next + 1), term_ms };
        self.lease.request_sent(now, term_ms);
        (self.lease_port.request)(entry, self.next).await?;
        // Whether it was written or another's record came first, the log says what holds.
        self.read_lease(0).await
    }

    /// Takes in the newest record of the lease.
    async fn read_lease(&mut self, wait_ms: u64) -> Result<(), PortError> {
        let news = (self.lease_port.read)(self.next, wait_ms).await?;
        self.next = news.next;
        if let Some(entry) = news.newest {
            self.lease.observe(Some(&entry), self.me, Moment::now());
            self.entry = Some(entry);
        }
        Ok(())
    }

    /// One round: looks at engines under way, and orders the next ones.
    async fn round(&mut self) {
        let plans = self.rollout.borrow().lagging();
        for (model, version) in plans {
            self.look(&model, version).await;
            let engines: Vec<RolloutEngine> = self.rollout.borrow().engines(&model);
            let next = next_orders(&engines, Moment::now());
            self.announce(&next).await;
            for id in next {
                if self.fence().is_none() {
                    return;
                }
                self.order_one(&id, &model, version).await;
            }
        }
    }

    /// Tells all daemons which engines will load, before these refuse their requests.
    async fn announce(&self, engines: &[UpstreamId]) {
        if engines.is_empty() {
            return;
        }
        let until = Deadline::in_millis(ANNOUNCED_MS);
        for id in engines {
            self.context.upstreams.borrow_mut().note_loading(id, until);
        }
        self.context.just_loading.borrow_mut().extend_from_slice(engines);
        self.context.message_due.notify_one();
        sleep(Duration::from_millis(ANNOUNCE_PAUSE_MS)).await;
    }

    fn address(&self, id: &UpstreamId) -> Option<SocketAddr> {
        self.context.upstreams.borrow().entry(id).map(|entry| entry.address)
    }

    /// Asks the engines under way whether they are done.
    async fn look(&mut self, model: &ModelName, version: WeightVersion) {
        let due = self.rollout.borrow_mut().due_looks(model, Moment::now());
        for id in due {
            let Some(address) = self.address(&id) else { continue };
            let Ok(found) = self.ask(&id, address).await else { continue };
            let known = found.versions.get(model).copied().unwrap_or_default();
            if known >= version {
                self.note_loaded(&id, model, known);
            }
        }
    }

    /// Asks an engine for its report. One that started again under its name is another engine: what
    /// it had before, its count of orders too, says nothing of it.
    async fn ask(&self, id: &UpstreamId, address: SocketAddr) -> Result<EngineReport, PortError> {
        let found = (self.engine_port.report)(id.clone(), address).await?;
        let told = found.start_ms.map_or_else(|| id.clone(), |start_ms| id.started_at(start_ms));
        if told == *id {
            return Ok(found);
        }
        if self.context.upstreams.borrow_mut().note_start(&told) {
            self.context.pool.forget(address);
            log_event!(info, events::LIST_CHANGED, upstream = told, change = "restarted");
        }
        Err(PortError::new(&format_args!("{told} answers for it")))
    }

    fn note_loaded(&self, id: &UpstreamId, model: &ModelName, version: WeightVersion) {
        self.context.upstreams.borrow_mut().note_version(id, model, version);
        self.rollout.borrow_mut().note_done(model, id, Moment::now());
        log_event!(info, events::WEIGHTS_LOADED, upstream = id, version = version);
    }

    async fn order_one(&mut self, id: &UpstreamId, model: &ModelName, version: WeightVersion) {
        let Some(address) = self.address(id) else { return };
        let found = match self.ask(id, address).await {
            Ok(found) => found,
            Err(error) => {
                self.rollout.borrow_mut().note_failed(model, id, Moment::now());
                log_event!(warn, events::ORDER_FAILED, upstream = id, reason = error);
                return;
            }
        };
        // The report took time; the lease may have ended meanwhile.
        let Some(fence) = self.fence() else { return };
        let known = found.versions.get(model).copied().unwrap_or_default();
        if known >= version {
            self.note_loaded(id, model, known);
            return;
        }
        if found.is_busy {
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
            orders_before: found.orders,
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
