//! Keeps a record in the store of each software version at which streams may have begun.
//!
//! After the loss of all daemons nobody remembers where streams began. The records tell the daemons that
//! come back which versions had upstreams, also of those that left meanwhile. So a version's record is
//! written before its upstreams begin streams, and removed once none of these can be taken up.
//!
//! The reader writes and removes. Its standbys write after a while if there is still no record, and
//! then any daemon: the first ones may be of a build that writes none. Each daemon reads all records
//! once it follows the list, and after it has listed a version that it does not know as recorded.

use crate::events;
use crate::members::retry_pause::{RetryPause, is_read_urgent};
use crate::members::shared_reads::STANDBYS;
use crate::ports::{PortError, VersionPort};
use crate::serve_context::ServeContext;
use crate::upstreams::software_census::{MAX_HOLD_MS, SoftwareCensus};
use crate::upstreams::version_record::VersionRecord;
use guava_log::log_event;
use guava_types::{Deadline, FastMap, Moment, SoftwareVersion};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two checks whether a call is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 120;
/// Time per rank after which a standby writes a record that is still missing, in milliseconds. All
/// daemons have had their turn before upstreams are used without a record.
const STAGGER_MS: u64 = 600;
/// Longest further wait of daemons that are neither reader nor standby, in milliseconds.
const LAST_SPREAD_MS: f64 = 600.0;
/// Shortest and longest pause before a read for a record that another daemon writes, in milliseconds.
/// The longest is for a store that takes no writes, and for many daemons.
const MIN_READ_PAUSE_MS: u64 = 150;
const MAX_READ_PAUSE_MS: u64 = 20_000;
/// By how much reads are spread for each daemon, in milliseconds: all list a new version, or follow the
/// list again after an outage, at the same time.
const SPREAD_MS_PER_DAEMON: f64 = 3.0;

/// Reads, writes and removes records of software versions, in an endless loop.
pub async fn persist_versions(context: Rc<ServeContext>, port: VersionPort) {
    context.upstreams.borrow_mut().census_mut().note_has_records();
    let mut task = VersionTask {
        context,
        port,
        missing: FastMap::default(),
        next_read: None,
        pause_ms: 0,
        next_late_write: Deadline::default(),
    };
    let mut retry = RetryPause::default();
    loop {
        let result = task.step().await;
        task.warn_of_unrecorded(Moment::now());
        match result {
            Ok(()) => {
                retry.reset();
                sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            }
            Err(reason) => {
                log_event!(debug, events::VERSIONS_UNAVAILABLE, reason = reason);
                let is_urgent = is_read_urgent(&task.context);
                sleep(retry.after_failure(is_urgent, rand::random())).await;
            }
        }
    }
}

/// A version that is known to lack a record.
#[derive(Clone, Copy)]
struct MissingRecord {
    since: Moment,
    is_warned: bool,
}

struct VersionTask {
    context: Rc<ServeContext>,
    port: VersionPort,
    missing: FastMap<VersionRecord, MissingRecord>,
    /// Earliest moment of the next read; `None` while none is due.
    next_read: Option<Deadline>,
    /// Pause before the read after that.
    pause_ms: u64,
    /// Earliest moment of the next write out of turn.
    next_late_write: Deadline,
}

impl VersionTask {
    async fn step(&mut self) -> Result<(), PortError> {
        self.note_missing(Moment::now());
        if self.is_read_due(Moment::now()) {
            self.read_records().await?;
        }
        if self.with_census(SoftwareCensus::is_read) {
            let rank = self.rank();
            self.write_missing(rank).await?;
            if rank == 0 {
                self.remove_obsolete().await?;
            }
        }
        Ok(())
    }

    fn with_census<T>(&self, ask: impl FnOnce(&SoftwareCensus) -> T) -> T {
        ask(self.context.upstreams.borrow().census())
    }

    fn rank(&self) -> usize {
        let members = self.context.members.borrow();
        members.reader_rank(&self.context.identity.name, Moment::now())
    }

    /// Notes since when each version lacks a record whose streams can be taken up.
    fn note_missing(&mut self, now: Moment) {
        let config = self.context.config.borrow().current().cloned();
        let is_resumed = |record: &VersionRecord| {
            config.as_ref().is_some_and(|config| config.has_resumable_streams(&record.service))
        };
        let unrecorded: Vec<VersionRecord> =
            self.with_census(|census| census.unrecorded().filter(is_resumed).collect());
        self.missing.retain(|record, _| unrecorded.contains(record));
        for record in unrecorded {
            self.missing.entry(record).or_insert(MissingRecord { since: now, is_warned: false });
        }
    }

    /// Whether the records are to be read now. The pause before a read begins when it becomes necessary.
    fn is_read_due(&mut self, now: Moment) -> bool {
        let (is_followed, is_read) =
            self.with_census(|census| (census.followed_since().is_some(), census.is_read()));
        if !is_followed || (is_read && self.missing.is_empty()) {
            self.next_read = None;
            self.pause_ms = 0;
            return false;
        }
        let is_reader = self.rank() == 0;
        if is_read && is_reader {
            // It writes what is missing.
            return false;
        }
        let pause_ms = if is_read { self.pause_ms.max(MIN_READ_PAUSE_MS) } else { 0 };
        let spread_ms = if is_reader { 0 } else { self.spread_ms() };
        let due = *self.next_read.get_or_insert(Deadline::after(now, pause_ms + spread_ms));
        due.passed(now)
    }

    fn spread_ms(&self) -> u64 {
        let daemons = self.context.members.borrow().count() as f64;
        (daemons * SPREAD_MS_PER_DAEMON * rand::random::<f64>()) as u64
    }

    /// Reads all records; returns where the log ended before that.
    async fn read_records(&mut self) -> Result<u64, PortError> {
        let asked = Moment::now();
        let log = (self.port.read)().await?;
        self.context.upstreams.borrow_mut().census_mut().note_records(&log, asked);
        self.note_missing(Moment::now());
        self.pause_ms = (2 * self.pause_ms).clamp(MIN_READ_PAUSE_MS, MAX_READ_PAUSE_MS);
        self.next_read = None;
        Ok(log.end)
    }

    async fn write_missing(&mut self, rank: usize) -> Result<(), PortError> {
        let is_late = rank > STANDBYS;
        let turn_ms = rank.min(STANDBYS + 1) as u64 * STAGGER_MS;
        let spread_ms = if is_late { (LAST_SPREAD_MS * rand::random::<f64>()) as u64 } else { 0 };
        let is_due = |missing: &MissingRecord| {
            Deadline::after(missing.since, turn_ms + spread_ms).passed(Moment::now())
        };
        if is_late && self.missing.values().any(is_due) {
            if !self.next_late_write.passed(Moment::now()) {
                return Ok(());
            }
            // Others that are as late may have written it.
            self.read_records().await?;
            self.next_late_write = Deadline::in_millis(self.pause_ms);
        }
        let due = self.missing.iter().filter(|(_, missing)| is_due(missing));
        let due: Vec<VersionRecord> = due.map(|(record, _)| record.clone()).collect();
        for record in due {
            (self.port.write)(record.clone()).await?;
            self.context.upstreams.borrow_mut().census_mut().note_written(&record);
            log_version(&record, "written");
        }
        Ok(())
    }

    /// Removes one record that tells nothing any more.
    async fn remove_obsolete(&mut self) -> Result<(), PortError> {
        let is_obsolete = |census: &SoftwareCensus| census.obsolete(Moment::now()).next();
        if self.with_census(is_obsolete).is_none() {
            return Ok(());
        }
        let end = self.read_records().await?;
        let Some(record) = self.with_census(is_obsolete) else { return Ok(()) };
        (self.port.remove)(record.clone(), end).await?;
        // If it is still there, the next read tells so.
        self.context.upstreams.borrow_mut().census_mut().note_dropped(&record);
        log_version(&record, "removed");
        Ok(())
    }

    /// Logs once of each version that its streams begin without a record.
    fn warn_of_unrecorded(&mut self, now: Moment) {
        for (record, missing) in &mut self.missing {
            let is_overdue = Deadline::after(missing.since, MAX_HOLD_MS).passed(now);
            if is_overdue && !std::mem::replace(&mut missing.is_warned, true) {
                log_event!(
                    warn,
                    events::VERSION_UNRECORDED,
                    service = record.service,
                    software = software_text(record),
                    waited_ms = now.millis_since(missing.since)
                );
            }
        }
    }
}

fn log_version(record: &VersionRecord, change: &'static str) {
    let service = &record.service;
    let software = software_text(record);
    log_event!(
        info,
        events::VERSION_RECORD,
        service = service,
        software = software,
        change = change
    );
}

fn software_text(record: &VersionRecord) -> &str {
    record.software.as_ref().map_or("unknown", SoftwareVersion::as_str)
}
