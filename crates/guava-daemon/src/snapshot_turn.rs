//! Snapshots: when one is due, and whose turn it is to write it.

use crate::append_commit::own_record;
use crate::context::DaemonContext;
use crate::events;
use crate::lock::locked;
use guava_log::log_event;
use guava_state::{FleetState, PART_BYTES, RecordBody, snapshot_parts, state_text};
use guava_types::{Deadline, Incarnation, Moment, Offset};
use std::sync::{Arc, Mutex};

const SNAPSHOT_TRY_MS: u64 = 30_000;
/// How much longer the second in line waits before it writes a snapshot that is due, and so on.
const TURN_MS: u64 = 5_000;

#[derive(Default)]
struct SnapshotClock {
    last: Offset,
    last_moment: Moment,
    due_since: Option<Moment>,
    after_outage: bool,
}

/// One daemon's view of when a snapshot is due.
pub struct SnapshotTurn {
    context: Arc<DaemonContext>,
    clock: Mutex<SnapshotClock>,
}

impl SnapshotTurn {
    /// Nothing known yet.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context, clock: Mutex::default() }
    }

    /// The log is back after an outage: a snapshot is due at once, since the old one may expire
    /// before the next regular one.
    pub fn note_outage(&self) {
        locked(&self.clock).after_outage = true;
    }

    /// This daemon's place among those alive, in an order that changes with each snapshot.
    fn rank(&self, last: Offset) -> u64 {
        let weight =
            |member: &Incarnation| *blake3::hash(format!("{member}{last}").as_bytes()).as_bytes();
        let own = weight(&self.context.me);
        let view = self.context.state.view();
        let peers = locked(&self.context.peer_table);
        let now = Moment::now();
        let alive = view.roster.iter().filter(|member| peers.is_reachable(**member, now));
        alive.filter(|member| weight(member) < own).count() as u64
    }

    /// Whether a snapshot is due and it is this daemon's turn; notes that it is taken.
    fn take_turn(&self) -> bool {
        let now = Moment::now();
        let settings = &self.context.settings;
        let next = self.context.state.next();
        let last = self.context.state.read(FleetState::snapshot_at);
        let mut clock = locked(&self.clock);
        if clock.last != last || clock.last_moment == Moment::default() {
            let after_outage = clock.after_outage && clock.last == last;
            *clock = SnapshotClock { last, last_moment: now, due_since: None, after_outage };
        }
        let by_records = next.0.saturating_sub(last.0) >= settings.snapshot_every_records;
        let by_time = now.millis_since(clock.last_moment) >= settings.snapshot_every_ms;
        if !(by_records || by_time || clock.after_outage) {
            return false;
        }
        let since = *clock.due_since.get_or_insert(now);
        if now.millis_since(since) < self.rank(last) * TURN_MS {
            return false;
        }
        *clock = SnapshotClock { last, last_moment: now, ..SnapshotClock::default() };
        true
    }

    /// Writes a snapshot if one is due and it is this daemon's turn.
    pub fn write_if_due(&self) {
        if !self.take_turn() {
            return;
        }
        let context = &self.context;
        let Ok(text) = context.state.read(state_text) else { return };
        log_event!(info, events::SNAPSHOT_WRITTEN, next = text.next, bytes = text.text.len());
        for part in snapshot_parts(&text, PART_BYTES) {
            let append = own_record(context, RecordBody::Snapshot(part));
            context.appends.append_later(append, Deadline::in_millis(SNAPSHOT_TRY_MS));
        }
    }
}
