//! The lease rule, for the holder and for all other daemons.
//!
//! The holder counts its term from the moment before it sent the request; every other daemon counts
//! from the moment it read the record, plus a margin. The holder therefore considers the lease
//! expired first, however long the append or the read took, as long as two clocks drift apart by
//! less than the margin within one term.

use guava_types::{Deadline, Incarnation, Moment, Offset};
use serde::{Deserialize, Serialize};

/// Divisor of the term that gives the margin for clock drift. Real clocks drift by far less than a
/// tenth; the remainder covers late timers.
const DRIFT_MARGIN_DIVISOR: u64 = 10;

/// Time by which two clocks may drift apart within one term; both in milliseconds.
pub fn clock_margin_ms(term_ms: u64) -> u64 {
    term_ms / DRIFT_MARGIN_DIVISOR
}

/// A lease as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// The holder.
    pub holder: Incarnation,
    /// Fencing token: offset after the record that granted the lease to this holder.
    pub token: Offset,
    /// Offset after the last renewal; the next request must name it to be accepted.
    pub renewed: Offset,
    /// Term of the last renewal, in milliseconds.
    pub term_ms: u64,
}

/// What one incarnation knows of a lease, and whether it holds the lease itself.
#[derive(Clone, Debug, Default)]
pub struct LeaseWatch {
    last_entry: Option<LeaseEntry>,
    requestable_at: Deadline,
    sent: Option<(Moment, u64)>,
    held_until: Option<Deadline>,
}

impl LeaseWatch {
    /// Notes that a request for a term is sent at this moment; call it before sending.
    ///
    /// While an earlier request may still take effect, its moment is kept: the log can apply an
    /// append long after its answer timed out. Counting the term of that append from a later
    /// request would let the holder use its lease after another daemon may have acquired it.
    pub fn request_sent(&mut self, now: Moment, term_ms: u64) {
        self.sent.get_or_insert((now, term_ms));
    }

    /// Applies the lease's entry as read from the log at this moment; without effect if unchanged.
    pub fn observe(&mut self, entry: Option<&LeaseEntry>, me: Incarnation, now: Moment) {
        if self.last_entry.as_ref() == entry {
            return;
        }
        self.last_entry = entry.cloned();
        let Some(entry) = entry else { return };
        self.requestable_at = Deadline::after(now, entry.term_ms + clock_margin_ms(entry.term_ms));
        if entry.holder != me {
            self.held_until = None;
            return;
        }
        if let Some((sent, term_ms)) = self.sent.take() {
            self.held_until = Some(Deadline::after(sent, term_ms));
        }
    }

    /// The fencing token, or `None` if this incarnation doesn't hold the lease at this moment.
    pub fn token(&self, now: Moment) -> Option<Offset> {
        let until = self.held_until?;
        let token = self.last_entry.as_ref()?.token;
        (!until.passed(now)).then_some(token)
    }

    /// The offset against which this incarnation may request the lease, or `None` if it may not.
    pub fn may_request(&self, me: Incarnation, now: Moment) -> Option<Offset> {
        match &self.last_entry {
            None => Some(Offset(0)),
            Some(entry) if entry.holder == me => Some(entry.renewed),
            Some(entry) => self.requestable_at.passed(now).then_some(entry.renewed),
        }
    }
}
