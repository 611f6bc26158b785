//! Commits appends: intents and releases in groups, each record until it is known to be in the log;
//! and tells those who wait what the reducer made of theirs.

use crate::append_ring::{AppendBody, AppendCommand, AppendVerdict};
use crate::context::DaemonContext;
use crate::events;
use crate::lock::locked;
use bytes::Bytes;
use guava_log::log_event;
use guava_state::{IntentEntry, IntentVerdict, LogRecord, RecordBody};
use guava_types::{Deadline, FastMap, Moment, RecordId, WallTime};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::sleep;

/// How long one attempt of an append may take, in milliseconds.
const APPEND_TRY_MS: u64 = 2_000;
const RETRY_MS: u64 = 100;
/// Appends of this daemon under way at one time.
const APPENDS_IN_FLIGHT: usize = 4;
/// Intents in one record.
const GROUP_LEN: usize = 256;
/// How long an append that nobody waits for any more is remembered.
const WAITING_KEPT_MS: u64 = 3_600_000;
const RELEASE_TRY_MS: u64 = 10_000;

struct WaitingVerdict {
    sender: oneshot::Sender<AppendVerdict>,
    intent: Option<IntentEntry>,
    forget_at: Deadline,
}

/// What is under way to the log, and who waits for it.
pub struct AppendCommitter {
    context: Arc<DaemonContext>,
    waiting: Mutex<FastMap<RecordId, WaitingVerdict>>,
}

fn record(context: &DaemonContext, body: RecordBody) -> LogRecord {
    LogRecord { id: RecordId::random(), author: context.me, wall: WallTime::now(), body }
}

/// Makes a record of this daemon's.
pub fn own_record(context: &DaemonContext, body: RecordBody) -> AppendBody {
    AppendBody::Record(Box::new(record(context, body)))
}

/// Takes commands off the ring, groups intents and releases, and appends.
pub async fn commit_appends(
    committer: Arc<AppendCommitter>,
    mut commands: mpsc::Receiver<AppendCommand>,
) {
    let in_flight = Arc::new(Semaphore::new(APPENDS_IN_FLIGHT));
    while let Some(first) = commands.recv().await {
        // While all appends are under way, commands gather here and go out as one record.
        let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else { return };
        let mut group = vec![first];
        while group.len() < GROUP_LEN
            && let Ok(command) = commands.try_recv()
        {
            group.push(command);
        }
        let records = committer.group_records(group);
        let committer = Arc::clone(&committer);
        tokio::spawn(async move {
            for (record, deadline) in records {
                committer.append_until(record, deadline).await;
            }
            drop(permit);
        });
    }
}

impl AppendCommitter {
    /// Nothing under way.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context, waiting: Mutex::default() }
    }

    /// Tells whoever waits for a record or an intent what became of it.
    pub fn answer(&self, id: RecordId, verdict: AppendVerdict) {
        let Some(waiting) = locked(&self.waiting).remove(&id) else { return };
        let is_held = verdict == AppendVerdict::Intent(IntentVerdict::Held);
        if waiting.sender.send(verdict).is_ok() || !is_held {
            return;
        }
        // The append took effect after this daemon had given the call up and said so. Left alone,
        // the key would be held until its window ends by an incarnation that never dispatches it,
        // and every repeat would be answered "unknown" although nothing runs.
        if let Some(entry) = waiting.intent {
            let deadline = Deadline::in_millis(RELEASE_TRY_MS);
            self.context.appends.append_later(AppendBody::Release(entry), deadline);
        }
    }

    fn wait_for(&self, id: RecordId, sender: oneshot::Sender<AppendVerdict>) {
        self.wait_for_intent(id, sender, None);
    }

    fn wait_for_intent(
        &self,
        id: RecordId,
        sender: oneshot::Sender<AppendVerdict>,
        intent: Option<IntentEntry>,
    ) {
        let forget_at = Deadline::in_millis(WAITING_KEPT_MS);
        locked(&self.waiting).insert(id, WaitingVerdict { sender, intent, forget_at });
    }

    fn group_records(&self, group: Vec<AppendCommand>) -> Vec<(LogRecord, Deadline)> {
        let now = Moment::now();
        locked(&self.waiting).retain(|_, waiting| !waiting.forget_at.passed(now));
        let mut intents: Vec<IntentEntry> = Vec::new();
        let mut releases: Vec<IntentEntry> = Vec::new();
        let mut records = Vec::new();
        let mut latest = Deadline::default();
        for command in group {
            match command.body {
                // Nobody waits for it any more, and nothing has been sent.
                AppendBody::Intent(_) if command.verdict.is_closed() => {}
                AppendBody::Intent(entry) => {
                    self.wait_for_intent(entry.id, command.verdict, Some(entry.clone()));
                    latest = latest.max(command.deadline);
                    intents.push(entry);
                }
                AppendBody::Release(entry) => {
                    latest = latest.max(command.deadline);
                    releases.push(entry);
                }
                AppendBody::Record(record) => {
                    self.wait_for(record.id, command.verdict);
                    records.push((*record, command.deadline));
                }
            }
        }
        if !intents.is_empty() {
            records.push((record(&self.context, RecordBody::Intents(intents)), latest));
        }
        if !releases.is_empty() {
            records.push((record(&self.context, RecordBody::Releases(releases)), latest));
        }
        records
    }

    /// Appends until one answer says that it worked. The record keeps its id, so that a second
    /// copy, when only the answer was lost, is seen as the first.
    async fn append_until(&self, record: LogRecord, deadline: Deadline) {
        let bytes = match record.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log_event!(error, events::RECORD_REFUSED, error = error);
                return;
            }
        };
        let bytes = Bytes::from(bytes);
        while !deadline.passed(Moment::now()) {
            let attempt = Deadline::in_millis(APPEND_TRY_MS).earlier(deadline);
            if self.context.platform.log.append(bytes.clone(), attempt).await.is_ok() {
                return;
            }
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}
