//! Keeps stopped requests where they outlast all daemons.
//!
//! Daemons tell each other which requests are stopped; but when all of them are lost at once, nobody
//! is left who knows, and the requests would end three upstreams more each. So each stopped request
//! has a record in the platform's store, written by those that read it for all, and read by whoever
//! starts and is told by nobody, or hears nobody any more.

use crate::events;
use crate::members::retry_pause::{RetryPause, is_read_urgent};
use crate::members::shared_reads::STANDBYS;
use crate::ports::{PortError, QuarantinePort};
use crate::serve_context::ServeContext;
use crate::upstreams::quarantine_record::{QuarantineRecord, QuarantineSync};
use guava_log::log_event;
use guava_types::{Deadline, FastMap, Moment, RequestDigest};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a daemon that starts waits for a peer that knows the records, in milliseconds, unless it
/// is one of those that read for all. A second later its time to know them is over by a third.
const TOLD_MS: u64 = 1_000;
/// Time without a peer's word after which the records are read again, in milliseconds: a daemon that
/// reaches the store and none of its peers must still learn of requests stopped meanwhile.
const ALONE_MS: u64 = 2_000;
/// Pause between two looks at whether something is due, in milliseconds.
const LOOK_MS: u64 = 250;

/// Whether the records are to be read: by those that read for all at their start, by the others if
/// nobody tells them; and again where nobody speaks any more.
pub fn is_read_due(
    sight: QuarantineSync,
    started: Moment,
    turn: usize,
    peers: usize,
    now: Moment,
) -> bool {
    if !sight.is_known {
        return turn <= STANDBYS || now.millis_since(started) >= TOLD_MS;
    }
    peers > 0 && now.millis_since(sight.told) >= ALONE_MS
}

/// Reads and writes the records of stopped requests, for ever.
pub async fn persist_quarantines(context: Rc<ServeContext>, port: QuarantinePort) {
    let started = Moment::now();
    let mut duty =
        QuarantineTask { context, port, started, written: FastMap::default(), read: None };
    let mut retry = RetryPause::default();
    loop {
        match duty.step().await {
            Ok(()) => {
                retry.reset();
                let pause = Duration::from_millis(LOOK_MS);
                // Whether it is time or there is news makes no difference.
                drop(timeout(pause, duty.context.quarantines_due.notified()).await);
            }
            Err(reason) => {
                log_event!(debug, events::QUARANTINES_UNAVAILABLE, reason = reason);
                let is_urgent = is_read_urgent(&duty.context);
                sleep(retry.after_failure(is_urgent, rand::random())).await;
            }
        }
    }
}

struct QuarantineTask {
    context: Rc<ServeContext>,
    port: QuarantinePort,
    started: Moment,
    /// Records that stand in the store, as far as this daemon wrote or read them.
    written: FastMap<RequestDigest, u32>,
    /// When the records were last read here.
    read: Option<Deadline>,
}

impl QuarantineTask {
    async fn step(&mut self) -> Result<(), PortError> {
        let now = Moment::now();
        let (turn, peers) = {
            let members = self.context.members.borrow();
            (members.reader_rank(&self.context.identity.name, now), members.count() - 1)
        };
        let sight = self.context.quarantine_sync.get();
        for request in self.context.ledger.borrow_mut().sweep(now) {
            log_event!(info, events::REQUEST_CLEARED, digest = request, reason = "over");
        }
        let may_read = self.read.is_none_or(|again| again.passed(now));
        if may_read && is_read_due(sight, self.started, turn, peers, now) {
            self.read_records().await?;
        }
        if turn <= STANDBYS {
            self.write_records(turn).await?;
        }
        Ok(())
    }

    async fn read_records(&mut self) -> Result<(), PortError> {
        let records = (self.port.read)().await?;
        let now = Moment::now();
        self.read = Some(Deadline::after(now, ALONE_MS));
        let sight = self.context.quarantine_sync.get();
        self.context.quarantine_sync.set(QuarantineSync { is_known: true, ..sight });
        for record in records {
            self.written.insert(record.request, record.times);
            let QuarantineRecord { request, times } = record;
            if self.context.ledger.borrow_mut().note_record(request, times, now) {
                log_event!(warn, events::REQUEST_QUARANTINED, digest = request, source = "store");
            }
        }
        Ok(())
    }

    /// Writes what is stopped and has no record, and drops the records of what is not any more. The
    /// first reader drops: a standby that was cut off may not know why a request is stopped.
    async fn write_records(&mut self, turn: usize) -> Result<(), PortError> {
        let known: Vec<QuarantineRecord> = {
            let ledger = self.context.ledger.borrow();
            let remembered = ledger.retained_quarantines();
            remembered.map(|(request, times)| QuarantineRecord { request, times }).collect()
        };
        for record in &known {
            if self.written.get(&record.request).is_none_or(|times| *times < record.times) {
                (self.port.write)(*record).await?;
                self.written.insert(record.request, record.times);
            }
        }
        let is_known = |request: &RequestDigest| known.iter().any(|one| one.request == *request);
        let over: Vec<RequestDigest> =
            self.written.keys().filter(|request| !is_known(request)).copied().collect();
        for request in over {
            if turn == 0 {
                (self.port.remove)(request).await?;
            }
            self.written.remove(&request);
        }
        Ok(())
    }
}
