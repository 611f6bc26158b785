//! Published weights: which may be used, and who loads them when.

pub(crate) mod order_task;
pub(crate) mod rollout_state;
pub(crate) mod version_rollout;
pub(crate) mod version_targets;
