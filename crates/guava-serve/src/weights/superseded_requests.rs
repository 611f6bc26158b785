//! Log lines and metrics of requests on weights that newer ones have superseded.
//!
//! A request is judged when its engine is chosen, by an estimate of when it will begin. These lines
//! state what the daemon knew then, and when the request really began, so that one that began after
//! the time limit can be traced to its cause. They are at level `info`, which bounds their volume.

use crate::events;
use crate::request::attempt_plan::AttemptPlan;
use crate::serve_context::ServeContext;
use crate::upstreams::upstream_table::WeightVersion;
use crate::weights::version_targets::SupersededAge;
use guava_log::log_event;
use guava_types::{ModelName, Moment};

/// Records that a request is sent to an engine, if its weights are superseded.
pub fn note_superseded_send(
    context: &ServeContext,
    request: &str,
    plan: &AttemptPlan,
    model: &ModelName,
    now: Moment,
) {
    let Some((weights, age)) = superseded(context, plan, model, now) else { return };
    context.metrics.count_superseded("sent");
    log_event!(
        info,
        events::SUPERSEDED_SEND,
        request = request,
        upstream = plan.send.upstream,
        weights = weights,
        successor = age.successor,
        source = age.source,
        age_ms = age.age_ms,
        stretch_ms = age.stretch_ms,
        total_ms = age.total_ms,
        expected_ms = plan.load.answer_ms.round()
    );
}

/// Records that the first event of a request arrived, if the weights that it began on are superseded.
pub fn note_superseded_start(
    context: &ServeContext,
    request: &str,
    plan: &AttemptPlan,
    model: &ModelName,
    sent: Moment,
) {
    let now = Moment::now();
    let Some((weights, age)) = superseded(context, plan, model, now) else { return };
    let is_late = age.exceeds(context.bounds.version_limits);
    context.metrics.count_superseded(if is_late { "began-late" } else { "began" });
    log_event!(
        info,
        events::SUPERSEDED_START,
        request = request,
        upstream = plan.send.upstream,
        weights = weights,
        successor = age.successor,
        source = age.source,
        age_ms = age.age_ms,
        stretch_ms = age.stretch_ms,
        total_ms = age.total_ms,
        expected_ms = plan.load.answer_ms.round(),
        waited_ms = now.millis_since(sent),
        late = is_late
    );
}

fn superseded(
    context: &ServeContext,
    plan: &AttemptPlan,
    model: &ModelName,
    now: Moment,
) -> Option<(WeightVersion, SupersededAge)> {
    let weights = plan.send.engine.as_ref()?.version;
    let age = context.targets.borrow().superseded(model, weights, now)?;
    Some((weights, age))
}
