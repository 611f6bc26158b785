//! Withdraws requests that have not begun when the time limit for their engine's weights comes.
//!
//! An engine is chosen by an estimate of the wait there, which is at times wrong by seconds: other
//! daemons' prompts, slow fetches, preemption. So the estimate alone can't keep a request from
//! beginning too late. Only the engine knows when it begins, and it drops what waits when the
//! connection closes.

use crate::serve_context::ServeContext;
use crate::upstreams::upstream_table::WeightVersion;
use guava_types::{Deadline, ModelName, Moment};
use tokio::time::timeout;

/// Watches the time limit of the weights that a request was sent to.
#[derive(Clone, Copy)]
pub struct StartGuard<'a> {
    context: &'a ServeContext,
    /// The weights that the request expects; `None` if it expects none.
    weights: Option<(&'a ModelName, WeightVersion)>,
}

impl<'a> StartGuard<'a> {
    /// Guards a request that expects these weights.
    pub fn new(context: &'a ServeContext, weights: Option<(&'a ModelName, WeightVersion)>) -> Self {
        Self { context, weights }
    }

    /// When the request must be withdrawn, as far as is known now.
    pub fn deadline(&self, now: Moment) -> Option<Deadline> {
        let (model, version) = self.weights?;
        let limits = self.context.bounds.version_limits;
        self.context.targets.borrow().withdrawal(model, version, limits, now)
    }

    /// Whether the request must be withdrawn.
    pub fn has_expired(&self, now: Moment) -> bool {
        self.deadline(now).is_some_and(|deadline| deadline.passed(now))
    }

    /// Completes when the request must be withdrawn. Weights may be published, and outages end,
    /// while it waits.
    pub async fn expired(&self) {
        loop {
            let changed = self.context.weights_changed.notified();
            let now = Moment::now();
            match self.deadline(now) {
                Some(deadline) if deadline.passed(now) => return,
                // A time-out and a change have the same effect.
                Some(deadline) => drop(timeout(deadline.time_left(), changed).await),
                None => changed.await,
            }
        }
    }
}
