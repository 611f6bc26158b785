//! Readiness: whether this daemon may take new work at all.

use crate::context::DaemonContext;
use crate::daemon_phase::DaemonPhase;
use crate::outcome::{Refusal, RefusalKind};

const COME_BACK_MS: u64 = 500;

/// Why new work is refused now, whatever it is; nothing if it may be taken.
pub fn readiness_refusal(context: &DaemonContext) -> Option<Refusal> {
    match context.phase() {
        DaemonPhase::Draining => {
            return Some(Refusal::later(RefusalKind::LEAVING, "this daemon is leaving", 1));
        }
        DaemonPhase::Starting => {
            let reason = "this daemon is starting";
            return Some(Refusal::later(RefusalKind::STALE, reason, COME_BACK_MS));
        }
        DaemonPhase::Serving | DaemonPhase::Leaving => {}
    }
    // A daemon cut off from log and peers may run by configuration that was replaced: a deleted
    // customer, a drained upstream. Its callers would not notice; so it refuses.
    let reason = "this daemon can't know the configuration in force";
    let stale = || Refusal::later(RefusalKind::STALE, reason, COME_BACK_MS);
    (!context.freshness().is_fresh()).then(stale)
}
