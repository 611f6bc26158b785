//! The path of a request: it is accepted, planned, sent and relayed, and then answered or refused.

pub(crate) mod accepted_request;
pub(crate) mod admit;
pub(crate) mod answer_body;
pub(crate) mod answer_timeout;
pub(crate) mod attempt;
pub(crate) mod attempt_plan;
pub(crate) mod dialect;
pub(crate) mod dispatch;
pub(crate) mod engine_choice;
pub(crate) mod engine_input;
pub(crate) mod engine_subset;
pub(crate) mod event_framer;
pub(crate) mod event_relay;
pub(crate) mod freshness_wait;
pub(crate) mod http_listener;
pub(crate) mod outcome;
pub(crate) mod peer_forward;
pub(crate) mod queue_table;
pub(crate) mod queued_request;
pub(crate) mod refusal_reason;
pub(crate) mod request_plan;
pub(crate) mod request_run;
pub(crate) mod retry_shares;
pub(crate) mod send_gate;
pub(crate) mod service_choice;
pub(crate) mod stream_scope;
