//! What daemons tell each other for the order of their queues: customers' use, who waits, and refused
//! callers that are expected back.

use crate::request::accepted_request::AcceptedRequest;
use crate::serve_context::ServeContext;
use guava_policy::{
    ReturnNotice, ReturnPlace, UseReport, UseRow, apply_use_report, largest_uses, sweep_ledgers,
};
use guava_types::{Deadline, MemberName, Moment};

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
        waiting: context.queues.borrow().waiting_uses(now),
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

/// Notes that a request was refused and its caller told to return at `due`; peers are told too.
pub fn note_return(
    context: &ServeContext,
    request: &AcceptedRequest,
    first: Moment,
    due: Deadline,
    now: Moment,
) {
    let notice = ReturnNotice { request: request.digest(), first, due };
    if context.returns.borrow_mut().note(notice, now) {
        context.return_gossip.borrow_mut().note(notice);
        context.metrics.count_return("told");
    } else {
        context.metrics.count_return("not-kept");
    }
}

/// When the first attempt of the caller of a request arrived: that of an earlier request which was
/// refused, if the caller returns as it was told to, else that of this one.
pub fn first_attempt(context: &ServeContext, request: &AcceptedRequest, now: Moment) -> Moment {
    if context.returns.borrow().is_empty() {
        return request.arrived;
    }
    let place = context.returns.borrow_mut().claim(request.digest(), now);
    match place {
        ReturnPlace::New => {}
        ReturnPlace::Early => context.metrics.count_return("early"),
        ReturnPlace::Returned(_) => context.metrics.count_return("as-told"),
    }
    place.first_attempt(request.arrived)
}

/// Applies the notices of a peer.
pub(crate) fn note_peer_returns(context: &ServeContext, notices: &[ReturnNotice], now: Moment) {
    let mut returns = context.returns.borrow_mut();
    let ignored = notices.iter().filter(|notice| !returns.note(**notice, now)).count();
    context.metrics.count_ignored_reports("return", ignored);
}

/// Removes what is no longer needed of customers' use and of refused callers.
pub fn sweep_queue_state(context: &ServeContext, now: Moment) {
    sweep_ledgers(&mut context.customer_ledgers.borrow_mut(), now);
    context.returns.borrow_mut().sweep(now);
    context.return_gossip.borrow_mut().sweep(now);
}
