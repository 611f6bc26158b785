//! Keeps a record in the platform's store of the last start of each part store, once it is settled.
//!
//! Nothing is saved to a part store until all fetches by what it held before its start have ended.
//! Daemons tell each other by when a store was started; after the loss of all daemons nobody remembers.
//! The records then say which stores have run for long enough.

use crate::events;
use crate::members::retry_pause::RetryPause;
use crate::parts::part_eviction::free_rank;
use crate::parts::settled_start::SettledStart;
use crate::ports::{PortError, StartPort};
use crate::serve_context::ServeContext;
use guava_log::log_event;
use guava_types::{FastMap, Moment};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two checks whether a call is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Reads, writes and removes the records, in an endless loop.
pub async fn record_starts(context: Rc<ServeContext>, port: StartPort) {
    let mut task = StartTask { context, port, recorded: None };
    let mut retry = RetryPause::default();
    loop {
        match task.step().await {
            Ok(()) => {
                retry.reset();
                sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            }
            Err(reason) => {
                log_event!(debug, events::STARTS_UNAVAILABLE, reason = reason);
                sleep(retry.after_failure(false, rand::random())).await;
            }
        }
    }
}

struct StartTask {
    context: Rc<ServeContext>,
    port: StartPort,
    /// The epoch of each store's record; `None` until they were read.
    recorded: Option<FastMap<SocketAddr, u64>>,
}

impl StartTask {
    async fn step(&mut self) -> Result<(), PortError> {
        let now = Moment::now();
        let configured = self.configured();
        let unrecorded: Vec<SettledStart> =
            configured.iter().filter_map(|store| self.unrecorded(*store, now)).collect();
        let is_read_due =
            configured.iter().any(|store| self.is_unsettled(*store, now)) || !unrecorded.is_empty();
        if self.recorded.is_none() && is_read_due {
            return self.read().await;
        }
        self.apply(now);
        for start in unrecorded {
            (self.port.write)(start).await?;
            self.recorded.get_or_insert_default().insert(start.store, start.epoch);
        }
        self.remove_obsolete(&configured, now).await
    }

    fn configured(&self) -> Vec<SocketAddr> {
        let config = self.context.config.borrow();
        let stores = config.current().map(|config| &config.stores[..]).unwrap_or_default();
        stores.iter().map(|store| store.address).collect()
    }

    fn is_unsettled(&self, store: SocketAddr, now: Moment) -> bool {
        let index = self.context.part_index.borrow();
        index.start_epoch(store).is_some() && !index.is_settled(store, now)
    }

    /// The start of a store for which this daemon writes the record, if it lacks one.
    fn unrecorded(&self, store: SocketAddr, now: Moment) -> Option<SettledStart> {
        let index = self.context.part_index.borrow();
        let epoch = index.start_epoch(store).filter(|_| index.is_settled(store, now))?;
        let recorded = self.recorded.as_ref().and_then(|recorded| recorded.get(&store));
        let is_due = recorded != Some(&epoch) && free_rank(&self.context, store, now) == 0;
        is_due.then_some(SettledStart { store, epoch })
    }

    async fn read(&mut self) -> Result<(), PortError> {
        let records = (self.port.read)().await?;
        self.recorded = Some(records.iter().map(|start| (start.store, start.epoch)).collect());
        self.apply(Moment::now());
        Ok(())
    }

    fn apply(&self, now: Moment) {
        let mut index = self.context.part_index.borrow_mut();
        for (store, epoch) in self.recorded.iter().flatten() {
            index.note_settled(SettledStart { store: *store, epoch: *epoch }, now);
        }
    }

    /// Removes the records of stores that are configured no more, for which this daemon has rank 0.
    async fn remove_obsolete(
        &mut self,
        configured: &[SocketAddr],
        now: Moment,
    ) -> Result<(), PortError> {
        let Some(recorded) = &mut self.recorded else { return Ok(()) };
        if configured.is_empty() {
            return Ok(());
        }
        let obsolete = recorded.keys().find(|store| !configured.contains(store)).copied();
        if let Some(store) = obsolete {
            if free_rank(&self.context, store, now) == 0 {
                (self.port.remove)(store).await?;
            }
            recorded.remove(&store);
        }
        Ok(())
    }
}
