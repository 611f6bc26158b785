//! Keeps the list of upstreams as complete as the store and the peers allow.
//!
//! What was read from the store, or copied from a peer, is applied here and passed on to the daemons
//! that learn of it from this one.

use crate::deadline_wait::until;
use crate::events;
use crate::members::list_copy::{CopyRange, ListCopy, copy_list};
use crate::members::list_sync::{CopyState, SyncInput, start_timeout_ms};
use crate::members::member_table::MemberRole;
use crate::members::peer_exchange::{ListSource, apply_change, pass_to_attached};
use crate::members::peer_message::ListChange;
use crate::members::shared_reads::ReadPace;
use crate::serve_context::ServeContext;
use crate::upstreams::list_order::ListRevision;
use crate::upstreams::upstream_table::{ListChangeEffect, UpstreamEntry};
use guava_log::log_event;
use guava_types::{Deadline, Moment, UpstreamId};

/// Progress of a daemon in obtaining what it lacks of the list.
pub struct ListReader {
    /// Since when the list has been due without progress; `None` while it is known to be right.
    due_since: Option<Moment>,
    /// Position of the list at the last check.
    position: ListRevision,
    /// How long this daemon waits for a peer if it lacks much, in milliseconds.
    copy_timeout_ms: u64,
}

impl ListReader {
    /// Progress at the start; `draw` in 0..1 spreads the moments at which daemons give up waiting for a
    /// peer, so that the store is not asked by all at once.
    pub fn new(draw: f64) -> Self {
        let position = ListRevision::default();
        Self { due_since: None, position, copy_timeout_ms: start_timeout_ms(draw) }
    }

    /// State on which the next step depends.
    pub fn sync_input(&mut self, context: &ServeContext, pace: ReadPace, now: Moment) -> SyncInput {
        let rank = context.members.borrow().reader_rank(&context.identity.name, now);
        let reads = context.reads.borrow();
        let is_due = reads.list.is_due(rank, pace, now);
        let position = context.upstreams.borrow().list_position();
        let has_progress = std::mem::replace(&mut self.position, position) < position;
        let since = self.due_since.filter(|_| !has_progress);
        self.due_since = is_due.then(|| since.unwrap_or(now));
        let is_fresh = |received: Moment| !pace.is_expired(received, now);
        SyncInput {
            is_due,
            rank,
            daemons: context.members.borrow().count(),
            is_known: reads.list.own().is_some() && !context.upstreams.borrow().is_diverged(),
            has_fresh_mark: reads.list.received().is_some_and(is_fresh),
            is_attached: context.members.borrow().role() == MemberRole::Attached,
            gap: context.upstreams.borrow().list_gap(),
            waited_ms: self.due_since.map_or(0, |since| now.millis_since(since)),
            copy_timeout_ms: self.copy_timeout_ms,
            change_limit_ms: context.bounds.leave_limit_ms,
        }
    }
}

/// Copies from a peer what this daemon lacks of the list. Returns the position up to which it then has
/// all records; `None` if no peer gave them in time.
pub async fn copy_missing(context: &ServeContext, deadline: Deadline) -> Option<ListRevision> {
    let range = copy_range(context);
    let teller = context.list_teller.take();
    let sources = context.members.borrow().list_sources(rand::random(), Moment::now());
    let sources = teller.into_iter().chain(sources).collect();
    let copy = match until(deadline, copy_list(context, sources, range)).await? {
        Ok(copy) => copy,
        Err(error) => {
            log_event!(debug, events::LIST_UNAVAILABLE, reason = error);
            return None;
        }
    };
    log_event!(
        info,
        events::LIST_COPIED,
        changes = copy.changes.len(),
        whole = copy.is_whole,
        position = copy.position
    );
    apply_copy(context, copy);
    Some(context.upstreams.borrow().list_position())
}

/// What an attempt to copy led to.
pub fn copy_state(
    context: &ServeContext,
    is_copied: bool,
    pace: ReadPace,
    now: Moment,
) -> CopyState {
    let upstreams = context.upstreams.borrow();
    let list = &context.reads.borrow().list;
    CopyState {
        is_copied,
        is_confirmed: list.is_confirmed(),
        is_recent: list.confirmed().is_some_and(|confirmed| !pace.is_expired(confirmed, now)),
        gap: upstreams.list_gap(),
        has_diverged: upstreams.has_diverged(),
    }
}

/// The part of the list that this daemon lacks.
fn copy_range(context: &ServeContext) -> CopyRange {
    let upstreams = context.upstreams.borrow();
    let is_known = context.reads.borrow().list.own().is_some();
    if is_known && !upstreams.is_diverged() {
        CopyRange::Since(upstreams.list_position())
    } else {
        CopyRange::Whole
    }
}

/// Applies a copy. It counts as a read at the moment as of which the peer had it confirmed, unless it
/// contains changes only and these do not lead to the peer's list. With all records that peers have
/// reported, the list is right as of their last read.
pub fn apply_copy(context: &ServeContext, copy: ListCopy) {
    let now = Moment::now();
    context.upstreams.borrow_mut().note_copied();
    if copy.is_whole {
        let entry = |change| match change {
            ListChange::Entry(entry) => Some(entry),
            ListChange::Removed(..) => None,
        };
        let entries = copy.changes.into_iter().filter_map(entry).collect();
        apply_list(context, entries, copy.position);
    } else {
        for change in copy.changes {
            let effect = apply_change(context, change.clone(), ListSource::Copy, now);
            pass_to_attached(context, change, effect, now);
        }
        let mut upstreams = context.upstreams.borrow_mut();
        if copy.digest.is_some_and(|digest| upstreams.note_copy_digest(digest, copy.end)) {
            log_event!(
                info,
                events::LIST_DIVERGED,
                position = copy.position,
                upstreams = upstreams.count()
            );
            return;
        }
        upstreams.note_synced(copy.position);
    }
    let upstreams = context.upstreams.borrow();
    let digest = upstreams.digest();
    let mut reads = context.reads.borrow_mut();
    if copy.is_whole {
        reads.list.note_replaced(digest, copy.as_of);
    } else {
        reads.list.note_copied(digest, copy.as_of, upstreams.list_gap() == 0);
    }
}

/// Applies the whole list as of a position. The entries of the first one are not logged one by one.
pub fn apply_list(context: &ServeContext, entries: Vec<UpstreamEntry>, position: ListRevision) {
    let is_first = context.upstreams.borrow().count() == 0;
    let changes = context.upstreams.borrow_mut().note_list(entries, position, Moment::now());
    if !is_first {
        changes.iter().for_each(|(id, effect)| log_change(id, *effect, position));
    }
}

/// Records that this daemon read the list from the store; to be called before its entries are applied.
pub fn note_list_read(context: &ServeContext) {
    let now = Moment::now();
    let mut reads = context.reads.borrow_mut();
    reads.list.note_available(Some(now), context.bounds.renewal_ms);
    let was_unavailable = {
        let mut upstreams = context.upstreams.borrow_mut();
        reads.list.outage_end().iter().for_each(|ended| upstreams.note_outage_end(*ended, now));
        upstreams.note_read(now, reads.list.is_unbroken())
    };
    if was_unavailable {
        log_event!(info, events::LIST_AVAILABLE, upstreams = context.upstreams.borrow().count());
    }
}

/// Applies a change that was read from the store, and passes it on.
pub fn apply_read_change(context: &ServeContext, change: ListChange, now: Moment) {
    let effect = apply_change(context, change.clone(), ListSource::Store, now);
    if effect != ListChangeEffect::Same {
        context.list_change_gossip.borrow_mut().note(change.clone(), now);
    }
    pass_to_attached(context, change, effect, now);
}

/// Forgets upstreams that were removed from the list and were not listed again.
pub fn drop_lapsed(context: &ServeContext, now: Moment) {
    let mut upstreams = context.upstreams.borrow_mut();
    let lapsed = upstreams.drop_lapsed(now);
    let position = upstreams.list_position();
    lapsed.iter().for_each(|id| log_change(id, ListChangeEffect::Removed, position));
}

fn log_change(id: &UpstreamId, effect: ListChangeEffect, revision: ListRevision) {
    if effect != ListChangeEffect::Same {
        let effect = effect.name();
        log_event!(
            info,
            events::LIST_CHANGED,
            upstream = id,
            change = effect,
            revision = revision,
            source = ListSource::Store
        );
    }
}
