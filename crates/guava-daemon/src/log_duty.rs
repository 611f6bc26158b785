//! The log duty: restores the state, follows the log, commits appends in groups, takes snapshots.

use crate::append_ring::{AppendBody, AppendCommand, AppendVerdict};
use crate::context::{DaemonContext, DaemonPhase, locked};
use bytes::Bytes;
use guava_outside::{HttpError, LogPage};
use guava_schema::peers::FetchRequest;
use guava_state::{
    FleetState, FoldOutcome, IntentEntry, IntentVerdict, LogRecord, MemberEntry, PART_BYTES,
    RecordBody, restore, snapshot_parts, state_from_json, state_text,
};
use guava_types::{Deadline, FastMap, Incarnation, Moment, Offset, RecordId, WallTime};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::sleep;

/// How long one read of the log waits for a record, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;
/// Deadline of a read beyond its wait: a silent connection is given up after this.
const READ_SLACK_MS: u64 = 1_500;
const APPEND_TRY_MS: u64 = 2_000;
const RETRY_MS: u64 = 100;
/// Appends of this daemon under way at one time.
const APPENDS_IN_FLIGHT: usize = 4;
/// Intents in one record.
const GROUP_LEN: usize = 256;
/// How often the daemon looks whether a peer has newer state while the log is out of sight.
const FETCH_EVERY_MS: u64 = 500;
const FETCH_MS: u64 = 2_000;
const JOIN_TRY_MS: u64 = 10_000;
const SNAPSHOT_TRY_MS: u64 = 30_000;
/// A log out of sight for longer than this gets a snapshot as soon as it is back.
const OUTAGE_MS: u64 = 5_000;

/// How much longer the second in line waits before it writes a snapshot that is due, and so on.
const SNAPSHOT_TURN_MS: u64 = 5_000;
/// How long an append that nobody waits for any more is remembered.
const WAITING_KEPT_MS: u64 = 3_600_000;
const RELEASE_TRY_MS: u64 = 10_000;

struct WaitingVerdict {
    sender: oneshot::Sender<AppendVerdict>,
    intent: Option<IntentEntry>,
    forget_at: Deadline,
}

type WaitingVerdicts = Mutex<FastMap<RecordId, WaitingVerdict>>;

/// The log duty's own state.
pub struct LogDuty {
    context: Arc<DaemonContext>,
    waiting: Arc<WaitingVerdicts>,
    snapshots: Mutex<SnapshotClock>,
}

#[derive(Default)]
struct SnapshotClock {
    last: Offset,
    last_moment: Moment,
    due_since: Option<Moment>,
    after_outage: bool,
}

fn record(context: &DaemonContext, body: RecordBody) -> LogRecord {
    LogRecord { id: RecordId::random(), author: context.me, wall: WallTime::now(), body }
}

/// Makes a record of this daemon's.
pub fn own_record(context: &DaemonContext, body: RecordBody) -> AppendBody {
    AppendBody::Record(Box::new(record(context, body)))
}

impl LogDuty {
    /// The duty of a daemon.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context, waiting: Arc::default(), snapshots: Mutex::default() }
    }

    /// Runs until the process ends.
    pub async fn run(self, commands: mpsc::Receiver<AppendCommand>) {
        let duty = Arc::new(self);
        tokio::spawn(commit_appends(Arc::clone(&duty), commands));
        duty.restore_state().await;
        tokio::spawn(join_roster(Arc::clone(&duty.context)));
        duty.follow().await;
    }

    /// Takes the newest state that log or peers give; waits until there is one.
    async fn restore_state(&self) {
        loop {
            let from_log = self.restore_from_log().await;
            let from_peer = self.fetch_from_peers().await;
            if from_log || from_peer {
                log_event!(info, STATE_RESTORED, next = self.context.state.next());
                return;
            }
            log_event!(warn, STATE_UNAVAILABLE, name = self.context.settings.name);
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
        let newest = locked(&context.book).most_advanced();
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
                log_event!(info, STATE_FROM_PEER, peer = address, next = next);
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
                        log_event!(info, LOG_BACK, outage_ms = outage);
                        locked(&self.snapshots).after_outage |= outage > OUTAGE_MS;
                    }
                    self.snapshot_if_due();
                }
                Err(error) => {
                    if lost_since.is_none() {
                        lost_since = Some(Moment::now());
                        log_event!(warn, LOG_LOST, error = error);
                    }
                    self.fetch_from_peers().await;
                    sleep(Duration::from_millis(FETCH_EVERY_MS)).await;
                }
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
            log_event!(error, LOG_SHRANK, end = page.end, next = next);
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
                log_event!(warn, RECORD_SKIPPED, offset = offset, reason = reason);
            }
            FoldOutcome::Repeated => {}
            FoldOutcome::Change { id, verdict } => {
                let text = format!("{verdict:?}");
                log_event!(info, CHANGE_FOLDED, offset = offset, verdict = text);
                self.answer(id, AppendVerdict::Change(verdict));
            }
            FoldOutcome::Intents(verdicts) => {
                for (id, verdict) in verdicts {
                    self.answer(id, AppendVerdict::Intent(verdict));
                }
            }
            FoldOutcome::Other { id } => self.answer(id, AppendVerdict::Folded(offset.next())),
        }
    }

    fn answer(&self, id: RecordId, verdict: AppendVerdict) {
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

    /// This daemon's place among those alive, in an order that changes with each snapshot.
    fn snapshot_rank(&self, last: Offset) -> u64 {
        let rank =
            |member: &Incarnation| *blake3::hash(format!("{member}{last}").as_bytes()).as_bytes();
        let own = rank(&self.context.me);
        let view = self.context.state.view();
        let book = locked(&self.context.book);
        let now = Moment::now();
        let alive = view.roster.iter().filter(|member| book.is_heard(**member, now));
        alive.filter(|member| rank(member) < own).count() as u64
    }

    fn snapshot_if_due(&self) {
        let context = &self.context;
        let now = Moment::now();
        let next = context.state.next();
        let last = context.state.read(FleetState::snapshot_at);
        let mut clock = locked(&self.snapshots);
        if clock.last != last || clock.last_moment == Moment::default() {
            *clock = SnapshotClock { last, last_moment: now, ..SnapshotClock::default() };
        }
        let settings = &context.settings;
        let by_records = next.0.saturating_sub(last.0) >= settings.snapshot_every_records;
        let by_time = now.millis_since(clock.last_moment) >= settings.snapshot_every_ms;
        if !(by_records || by_time || clock.after_outage) {
            return;
        }
        let since = *clock.due_since.get_or_insert(now);
        if now.millis_since(since) < self.snapshot_rank(last) * SNAPSHOT_TURN_MS {
            return;
        }
        *clock = SnapshotClock { last, last_moment: now, ..SnapshotClock::default() };
        drop(clock);
        let Ok(text) = context.state.read(state_text) else { return };
        log_event!(info, SNAPSHOT_WRITTEN, next = next, bytes = text.text.len());
        for part in snapshot_parts(&text, PART_BYTES) {
            let append = own_record(context, RecordBody::Snapshot(part));
            context.appends.append_later(append, Deadline::in_millis(SNAPSHOT_TRY_MS));
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
            log_event!(warn, SUPERSEDED, name = context.settings.name);
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

/// Takes commands off the ring, groups intents and releases, and appends.
async fn commit_appends(duty: Arc<LogDuty>, mut commands: mpsc::Receiver<AppendCommand>) {
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
        let records = duty.group_records(group);
        let duty = Arc::clone(&duty);
        tokio::spawn(async move {
            for (record, deadline) in records {
                duty.append_until(record, deadline).await;
            }
            drop(permit);
        });
    }
}

impl LogDuty {
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
                log_event!(error, RECORD_REFUSED, error = error);
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
