//! What a daemon does with word of a retirement, its own or a peer's.

use crate::events;
use crate::parts::retirement::RetireNotice;
use crate::serve_context::ServeContext;
use guava_log::log_event;
use guava_types::Moment;
use std::net::SocketAddr;

/// Applies a notice of parts that are retired.
pub(crate) fn apply_retirement(context: &ServeContext, notice: RetireNotice, now: Moment) {
    let store = notice.store;
    let unreported = context.part_index.borrow_mut().note_retirement(notice, now);
    note_unreported(store, unreported);
}

/// Ends the retirements whose end this daemon did not hear of.
pub(crate) fn end_expired_retirements(context: &ServeContext, now: Moment) {
    let ended = context.part_index.borrow_mut().end_expired_retirements(now);
    ended.into_iter().for_each(|(store, unreported)| note_unreported(store, unreported));
}

fn note_unreported(store: SocketAddr, parts: usize) {
    if parts > 0 {
        log_event!(info, events::REMOVAL_UNREPORTED, store = store, parts = parts);
    }
}
