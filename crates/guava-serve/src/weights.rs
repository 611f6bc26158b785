//! Published weights: which versions requests may use, and the order in which engines load them.

pub(crate) mod order_task;
pub(crate) mod rollout_state;
pub(crate) mod start_guard;
pub(crate) mod store_outages;
pub(crate) mod superseded_requests;
pub(crate) mod version_rollout;
pub(crate) mod version_targets;
