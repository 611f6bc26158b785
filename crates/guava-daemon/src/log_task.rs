//! The log duty: restores the state and follows the log; beside it run the committer of appends
//! and the snapshots.

use crate::append_commit::{AppendCommitter, commit_appends, own_record};
use crate::append_ring::{AppendCommand, AppendVerdict};
use crate::context::DaemonContext;
use crate::daemon_phase::DaemonPhase;
use crate::events;
use crate::lock::locked;
use crate::snapshot_turn::SnapshotTurn;
use guava_log::log_event;
use guava_outside::{HttpError, LogPage};
use guava_schema::peers::FetchRequest;
use guava_state::{FleetState, FoldOutcome, MemberEntry, RecordBody, restore, state_from_json};
use guava_types::{Deadline, Moment, Offset};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How long one read of the log waits for a record, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;
/// Deadline of a read beyond its wait: a silent connection is given up after this.
const READ_SLACK_MS: u64 = 1_500;
const RETRY_MS: u64 = 100;
/// How often the daemon looks whether a peer has newer state while the log is out of sight.
const FETCH_EVERY_MS: u64 = 250;
/// A log not read to its end for longer is out of sight.
const OUT_OF_SIGHT_MS: u64 = 2_000;
const FETCH_MS: u64 = 2_000;
const JOIN_TRY_MS: u64 = 10_000;
/// A log out of sight for longer than this gets a snapshot as soon as it is back.
const OUTAGE_MS: u64 = 5_000;

/// The log duty's own state.
pub struct LogTask {
    context: Arc<DaemonContext>,
    committer: Arc<AppendCommitter>,
    snapshots: SnapshotTurn,
}

impl LogTask {
    /// The duty of a daemon.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        let committer = Arc::new(AppendCommitter::new(Arc::clone(&context)));
        let snapshots = SnapshotTurn::new(Arc::clone(&context));
        Self { context, committer, snapshots }
    }

    /// Runs until the process ends.
    pub async fn run(self, commands: mpsc::Receiver<AppendCommand>) {
        tokio::spawn(commit_appends(Arc::clone(&self.committer), commands));
        self.restore_state().await;
        tokio::spawn(join_roster(Arc::clone(&self.context)));
        tokio::join!(self.follow(), self.follow_peers());
    }

    /// Takes the newest state that log or peers give; waits until there is one.
    async fn restore_state(&self) {
        loop {
            let from_log = self.restore_from_log().await;
            let from_peer = self.fetch_from_peers().await;
            if from_log || from_peer {
                log_event!(info, events::STATE_RESTORED, next = self.context.state.next());
                return;
            }
            log_event!(warn, events::STATE_UNAVAILABLE, name = self.context.settings.name);
            sleep(Duration::from_millis(FETCH_EVERY_MS)).await;
        }
    }

    async fn restore_from_log(&self) -> bool {
        let Ok(state) = self.read_whole_log().await else { return false };
        let Some(state) = state else { return false };
        let end = state.next();
        let newer = self.context.state.advance_to(state);
        newer || end == Offset(0)
    }

    async fn read_whole_log(&self) -> Result<Option<FleetState>, HttpError> {
        let mut records = Vec::new();
        let mut first = None;
        let mut from = Offset(0);
        loop {
            let seen = Moment::now();
            let deadline = Deadline::in_millis(READ_WAIT_MS + READ_SLACK_MS);
            let page = self.context.platform.log.read(from, 0, deadline).await?;
            let expired_meanwhile = first.is_some() && page.first > from;
            if first.is_none() || expired_meanwhile {
                records.clear();
                first = Some(page.first);
            }
            from = page.records.last().map_or(page.end, |record| record.offset.next());
            let bytes = |body: Box<str>| body.into_string().into_bytes().into_boxed_slice();
            records.extend(page.records.into_iter().map(|r| (r.offset, bytes(r.body))));
            if from >= page.end {
                self.context.state.note_sight(page.end, seen);
                break;
            }
        }
        Ok(restore(first.unwrap_or_default(), &records).ok())
    }

    /// Takes newer state from a peer, so that a daemon cut from the log still follows.
    async fn fetch_from_peers(&self) -> bool {
        let context = &self.context;
        let newest = locked(&context.peer_table).most_advanced();
        let mut addresses: Vec<_> = newest.into_iter().collect();
        if context.state.next() == Offset(0) {
            addresses.extend(context.settings.seeds.iter().copied());
        }
        for address in addresses {
            let request = FetchRequest { newer_than: context.state.next().0 };
            let Ok(reply) = context.links.fetch_state(address, request, FETCH_MS).await else {
                continue;
            };
            let Ok(state) = state_from_json(&reply.state, &reply.digest) else { continue };
            let next = state.next();
            if context.state.advance_to(state) {
                log_event!(info, events::STATE_FROM_PEER, peer = address, next = next);
                return true;
            }
        }
        false
    }

    async fn follow(&self) {
        let mut lost_since: Option<Moment> = None;
        loop {
            match self.read_next().await {
                Ok(()) => {
                    if let Some(since) = lost_since.take() {
                        let outage = Moment::now().millis_since(since);
                        log_event!(info, events::LOG_BACK, outage_ms = outage);
                        if outage > OUTAGE_MS {
                            self.snapshots.note_outage();
                        }
                    }
                    self.snapshots.write_if_due();
                }
                Err(error) => {
                    if lost_since.is_none() {
                        lost_since = Some(Moment::now());
                        log_event!(warn, events::LOG_LOST, error = error);
                    }
                    sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
        }
    }

    /// Follows through peers while the log is out of sight. Beside the reads of the log, not
    /// between them: on a frozen link each of those takes seconds to fail.
    async fn follow_peers(&self) {
        loop {
            sleep(Duration::from_millis(FETCH_EVERY_MS)).await;
            let seen = self.context.state.log_sight().map_or(Moment::default(), |s| s.seen);
            let is_out_of_sight = Moment::now().millis_since(seen) > OUT_OF_SIGHT_MS;
            let is_behind = locked(&self.context.peer_table).max_next() > self.context.state.next();
            if is_out_of_sight && is_behind {
                self.fetch_from_peers().await;
            }
        }
    }

    async fn read_next(&self) -> Result<(), HttpError> {
        let next = self.context.state.next();
        let seen = Moment::now();
        let deadline = Deadline::in_millis(READ_WAIT_MS + READ_SLACK_MS);
        let page = self.context.platform.log.read(next, READ_WAIT_MS, deadline).await?;
        if page.first > next {
            // Records expired before they were read here, after a long cut.
            self.read_whole_log().await?.map(|state| self.context.state.advance_to(state));
            return Ok(());
        }
        if page.end < next {
            log_event!(error, events::LOG_SHRANK, end = page.end, next = next);
            sleep(Duration::from_millis(RETRY_MS)).await;
            return Ok(());
        }
        self.fold_page(&page);
        if self.context.state.next() >= page.end {
            self.context.state.note_sight(page.end, seen);
        }
        Ok(())
    }

    fn fold_page(&self, page: &LogPage) {
        for record in &page.records {
            let outcome = self.context.state.fold(record.offset, record.body.as_bytes());
            self.settle(record.offset, outcome);
        }
    }

    fn settle(&self, offset: Offset, outcome: FoldOutcome) {
        match outcome {
            FoldOutcome::Skipped { reason } => {
                log_event!(warn, events::RECORD_SKIPPED, offset = offset, reason = reason);
            }
            FoldOutcome::Repeated => {}
            FoldOutcome::Change { id, verdict } => {
                let text = format!("{verdict:?}");
                log_event!(info, events::CHANGE_FOLDED, offset = offset, verdict = text);
                self.committer.answer(id, AppendVerdict::Change(verdict));
            }
            FoldOutcome::Intents(verdicts) => {
                for (id, verdict) in verdicts {
                    self.committer.answer(id, AppendVerdict::Intent(verdict));
                }
            }
            FoldOutcome::Other { id } => {
                self.committer.answer(id, AppendVerdict::Folded(offset.next()))
            }
        }
    }
}

/// Puts this daemon on the roster, so that the others count it.
async fn join_roster(context: Arc<DaemonContext>) {
    let member = MemberEntry {
        name: context.settings.name.clone(),
        data_centre: context.settings.data_centre.clone(),
        caller_address: context.settings.callers.advertise,
        peer_address: context.settings.peers.advertise,
    };
    while context.phase() != DaemonPhase::Draining {
        if context.state.read(|state| state.is_superseded(context.me)) {
            // A daemon that was paused while its VM was replaced: the new one has its name and
            // addresses. It finishes what it holds and takes nothing new.
            log_event!(warn, events::SUPERSEDED, name = context.settings.name);
            context.enter_phase(DaemonPhase::Draining);
            return;
        }
        if !context.state.read(|state| state.members().contains_key(&context.me)) {
            let body = own_record(&context, RecordBody::Join(member.clone()));
            drop(context.appends.append(body, Deadline::in_millis(JOIN_TRY_MS)).await);
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}
