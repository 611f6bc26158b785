//! The lease rule, from both sides.
//!
//! The holder counts its term from before it sent the renewal; everybody else counts from when
//! they read it, plus a margin. The holder's view therefore ends first, however long the append or
//! the reading took, as long as two clocks drift apart by less than the margin within one term.

use guava_types::{Deadline, Incarnation, Moment, Offset};
use serde::{Deserialize, Serialize};

/// Part of a term by which two clocks may drift apart within it, as one over this. Real clocks
/// drift by far less; the rest covers late timers.
const DRIFT_PART: u64 = 10;

/// Margin for clock drift within one term, both in milliseconds.
pub fn clock_margin_ms(term_ms: u64) -> u64 {
    term_ms / DRIFT_PART
}

/// A lease as the log has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// Who holds it.
    pub holder: Incarnation,
    /// Fencing token: offset after the record that gave the holder the lease.
    pub token: Offset,
    /// Offset after the last renewal; what the next request must be made against.
    pub renewed: Offset,
    /// Term of the last renewal, in milliseconds.
    pub term_ms: u64,
}

/// One incarnation's view of a lease.
#[derive(Clone, Debug, Default)]
pub struct LeaseWatch {
    seen: Option<LeaseEntry>,
    free_at: Deadline,
    sent: Option<(Moment, u64)>,
    mine_until: Option<Deadline>,
}

impl LeaseWatch {
    /// Notes that a request for a term goes out at this moment.
    ///
    /// While an earlier request may still take effect its moment is kept: the log can apply an
    /// append long after its answer timed out, and counting that one from a later request would
    /// let the holder believe in its lease after others may have taken it.
    pub fn request_sent(&mut self, now: Moment, term_ms: u64) {
        self.sent.get_or_insert((now, term_ms));
    }

    /// Takes in the log's entry as read at this moment.
    pub fn observe(&mut self, entry: Option<&LeaseEntry>, me: Incarnation, now: Moment) {
        if self.seen.as_ref() == entry {
            return;
        }
        self.seen = entry.cloned();
        let Some(entry) = entry else { return };
        self.free_at = Deadline::after(now, entry.term_ms + clock_margin_ms(entry.term_ms));
        if entry.holder != me {
            self.mine_until = None;
            return;
        }
        if let Some((sent, term_ms)) = self.sent.take() {
            self.mine_until = Some(Deadline::after(sent, term_ms));
        }
    }

    /// The fencing token, while this incarnation holds the lease at this moment.
    pub fn token(&self, now: Moment) -> Option<Offset> {
        let until = self.mine_until?;
        let token = self.seen.as_ref()?.token;
        (!until.passed(now)).then_some(token)
    }

    /// Whether this incarnation may ask for the lease, and against which offset.
    pub fn may_request(&self, me: Incarnation, now: Moment) -> Option<Offset> {
        match &self.seen {
            None => Some(Offset(0)),
            Some(entry) if entry.holder == me => Some(entry.renewed),
            Some(entry) => self.free_at.passed(now).then_some(entry.renewed),
        }
    }
}
