//! Notes the load that upstreams report in their answers.

use crate::serve_context::ServeContext;
use crate::upstreams::announcement_watch::log_unreadable;
use guava_policy::{ReportedLoad, ReportedLoadError};
use guava_types::{Moment, UpstreamId};

/// Longest reason in the log: it quotes the upstream.
const MAX_REASON_CHARS: usize = 80;

/// Notes what an upstream's answer reports of its load. Of several unreadable reports in a row the
/// first one is logged.
pub fn note_report(
    context: &ServeContext,
    upstream: &UpstreamId,
    report: &Result<ReportedLoad, ReportedLoadError>,
) {
    match report {
        Ok(load) => {
            context.metrics.count_reported_load("read");
            context.reports.borrow_mut().note(upstream, *load, Moment::now());
        }
        Err(error) => {
            context.metrics.count_reported_load("unreadable");
            if context.reports.borrow_mut().note_unreadable(upstream) {
                let reason: String = error.to_string().chars().take(MAX_REASON_CHARS).collect();
                log_unreadable(context, upstream, &reason);
            }
        }
    }
}
