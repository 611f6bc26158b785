//! Persists quarantined requests, so that quarantines survive the loss of all daemons.
//!
//! Daemons gossip quarantines to each other. If all daemons are lost at once, that knowledge is
//! lost too, and each request would crash three more upstreams before it is quarantined again. So
//! each quarantined request has a record in the platform's store. The reader and its standbys write
//! the records. A daemon reads them if it starts and no peer reports them, or if its peers are
//! silent.
//!
//! While requests are quarantined, the reader follows the log of their records: an operator drops
//! a record there to release its request, at all daemons.

use crate::events;
use crate::members::retry_pause::{RetryPause, is_read_urgent};
use crate::members::shared_reads::STANDBYS;
use crate::ports::{PortError, QuarantinePort};
use crate::serve_context::ServeContext;
use crate::upstreams::quarantine_record::{QuarantineRecord, QuarantineSync};
use crate::upstreams::stored_quarantines::StoredQuarantines;
use crate::upstreams::upstream_crashes::note_record_dropped;
use guava_log::log_event;
use guava_types::{Deadline, Moment, RequestDigest};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a daemon that starts waits for a peer to report the records before it reads them
/// itself, in milliseconds; the reader and its standbys don't wait. This uses a third of the time
/// within which a daemon must know the records.
const FIRST_REPORT_TIMEOUT_MS: u64 = 1_000;
/// Time without a message from a peer after which the records are read again, in milliseconds: a
/// daemon that reaches the store but none of its peers must still learn of new quarantines. The reader
/// looks as often for records that were dropped.
const PEER_SILENCE_MS: u64 = 2_000;
/// Interval between two checks whether a read or write is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Whether the records are to be read now. The reader and its standbys read them at their start,
/// and the others if no peer reports them in time. A daemon reads them again if it has peers and
/// all of them are silent.
pub fn is_read_due(
    sync: QuarantineSync,
    started: Moment,
    rank: usize,
    peers: usize,
    now: Moment,
) -> bool {
    if !sync.is_known {
        return rank <= STANDBYS || now.millis_since(started) >= FIRST_REPORT_TIMEOUT_MS;
    }
    peers > 0 && now.millis_since(sync.last_confirmed) >= PEER_SILENCE_MS
}

/// Reads and writes the records of quarantined requests, in an endless loop.
pub async fn persist_quarantines(context: Rc<ServeContext>, port: QuarantinePort) {
    let started = Moment::now();
    let stored = StoredQuarantines::default();
    let mut task =
        QuarantineTask { context, port, started, stored, next_offset: None, next_read: None };
    let mut retry = RetryPause::default();
    loop {
        match task.step().await {
            Ok(()) => {
                retry.reset();
                let pause = Duration::from_millis(CHECK_INTERVAL_MS);
                // A notification and the end of the interval lead to the same step.
                drop(timeout(pause, task.context.quarantines_due.notified()).await);
            }
            Err(reason) => {
                log_event!(debug, events::QUARANTINES_UNAVAILABLE, reason = reason);
                let is_urgent = is_read_urgent(&task.context);
                sleep(retry.after_failure(is_urgent, rand::random())).await;
            }
        }
    }
}

struct QuarantineTask {
    context: Rc<ServeContext>,
    port: QuarantinePort,
    started: Moment,
    stored: StoredQuarantines,
    /// Offset from which this daemon has not read the log; `None` before the first read or write.
    next_offset: Option<u64>,
    /// Earliest moment of the next read; `None` until the first read.
    next_read: Option<Deadline>,
}

impl QuarantineTask {
    async fn step(&mut self) -> Result<(), PortError> {
        let now = Moment::now();
        let (rank, peers) = {
            let members = self.context.members.borrow();
            if !members.is_listed() {
                // No peer can report the records before this daemon knows any.
                self.started = now;
            }
            (members.reader_rank(&self.context.identity.name, now), members.count() - 1)
        };
        let sync = self.context.quarantine_sync.get();
        for request in self.context.ledger.borrow_mut().sweep(now) {
            log_event!(info, events::REQUEST_CLEARED, digest = request, reason = "over");
        }
        let may_read = self.next_read.is_none_or(|due| due.passed(now));
        let is_followed =
            rank == 0 && self.context.ledger.borrow().quarantines(now).next().is_some();
        if may_read && (is_followed || is_read_due(sync, self.started, rank, peers, now)) {
            self.read_records(sync).await?;
        }
        if rank <= STANDBYS {
            self.write_records(rank).await?;
        }
        Ok(())
    }

    async fn read_records(&mut self, sync: QuarantineSync) -> Result<(), PortError> {
        // All records at first, then what follows, which shows what was dropped.
        let from = self.next_offset.filter(|_| sync.is_known);
        let log = (self.port.read)(from).await?;
        let now = Moment::now();
        self.next_offset = log.next;
        self.next_read = Some(Deadline::after(now, PEER_SILENCE_MS));
        let sync = self.context.quarantine_sync.get();
        self.context.quarantine_sync.set(QuarantineSync { is_known: true, ..sync });
        let update = self.stored.apply(&log.changes);
        for QuarantineRecord { request, quarantine_count } in update.dropped {
            // One that has been quarantined again since is not what was dropped.
            let known = self.context.ledger.borrow().quarantine_count(request);
            if known.is_some_and(|known| known <= quarantine_count) {
                note_record_dropped(&self.context, request);
            }
        }
        for QuarantineRecord { request, quarantine_count } in update.added {
            if self.context.ledger.borrow_mut().note_record(request, quarantine_count, now) {
                log_event!(warn, events::REQUEST_QUARANTINED, digest = request, source = "store");
            }
        }
        Ok(())
    }

    /// Writes records that are missing or outdated, and removes those of requests that are no
    /// longer in the ledger. Only the reader removes: a standby that was cut off may not know of
    /// the evidence against a request.
    async fn write_records(&mut self, rank: usize) -> Result<(), PortError> {
        let known: Vec<QuarantineRecord> = {
            let ledger = self.context.ledger.borrow();
            let remembered = ledger.retained_quarantines();
            remembered
                .map(|(request, quarantine_count)| QuarantineRecord { request, quarantine_count })
                .collect()
        };
        for record in &known {
            if !self.stored.lacks(*record) {
                continue;
            }
            let offset = (self.port.write)(*record).await?;
            self.stored.note_written(*record, offset);
            self.next_offset.get_or_insert(offset);
        }
        let is_known = |request: &RequestDigest| known.iter().any(|kept| kept.request == *request);
        let obsolete: Vec<RequestDigest> =
            self.stored.requests().filter(|request| !is_known(request)).collect();
        for request in obsolete {
            if rank == 0 {
                (self.port.remove)(request).await?;
            }
            self.stored.forget(request);
        }
        Ok(())
    }
}
