//! Reports of customers' use between daemons, in their summaries.
//!
//! The reports order the queues of requests that wait for a service. While nobody waits, no daemon
//! needs them: a daemon reports while requests wait at it, which it says, and while they wait at one
//! of its peers.

use crate::serve_context::ServeContext;
use guava_policy::{UseReport, UseRow, apply_use_report, largest_uses};
use guava_types::{Deadline, MemberName, Moment};

/// How long use is reported after a request has waited, in milliseconds. Bursts of demand come and go
/// within seconds, and the reports are to be there when the next one comes.
const CROWDED_MS: u64 = 3_000;

/// Until when this daemon reports its customers' use.
#[derive(Clone, Copy, Debug, Default)]
pub struct UseGossip {
    own_crowd_until: Deadline,
    peer_crowd_until: Deadline,
}

impl UseGossip {
    /// Notes that a request waits at this daemon, or is refused for want of room.
    pub fn note_crowd(&mut self, now: Moment) {
        self.own_crowd_until = Deadline::after(now, CROWDED_MS);
    }

    /// Notes that requests wait at a peer.
    fn note_peer_crowd(&mut self, now: Moment) {
        self.peer_crowd_until = Deadline::after(now, CROWDED_MS);
    }

    /// Whether requests waited at this daemon lately.
    fn is_crowded(&self, now: Moment) -> bool {
        !self.own_crowd_until.passed(now)
    }

    /// Whether a report is to be sent.
    fn is_due(&self, now: Moment) -> bool {
        self.is_crowded(now) || !self.peer_crowd_until.passed(now)
    }
}

/// The report for the next summary; `None` if no daemon needs one.
pub(crate) fn compose_use_report(context: &ServeContext, now: Moment) -> Option<UseReport> {
    let gossip = context.use_gossip.borrow();
    if !gossip.is_due(now) {
        return None;
    }
    let rows = largest_uses(&context.customer_ledgers.borrow(), now);
    let is_crowded = gossip.is_crowded(now);
    (is_crowded || !rows.is_empty()).then_some(UseReport {
        as_of: now,
        is_crowded,
        rows,
        waiting: Vec::new(),
    })
}

/// Applies the report of a peer, which counts until `silent_at`. Rows on services or customers that
/// the configuration does not contain are ignored.
pub(crate) fn note_use_report(
    context: &ServeContext,
    peer: &MemberName,
    report: UseReport,
    silent_at: Deadline,
    now: Moment,
) {
    if report.is_crowded {
        context.use_gossip.borrow_mut().note_peer_crowd(now);
    }
    let config = context.config.borrow();
    let is_known = |row: &UseRow| {
        let config = config.current();
        config
            .is_some_and(|it| it.service(&row.service).is_some() && it.has_customer(&row.customer))
    };
    let mut ledgers = context.customer_ledgers.borrow_mut();
    let ignored = apply_use_report(&mut ledgers, peer, report, is_known, silent_at);
    context.metrics.count_ignored_reports("use", ignored);
}
