//! State of upstreams: the list, their load and speed, announcements, drains and crashes, and the
//! connections to them.

pub(crate) mod announcement_watch;
pub(crate) mod answer_part;
pub(crate) mod answered_parts;
pub(crate) mod bounded_body;
pub(crate) mod broken_send_table;
pub(crate) mod close_timer;
pub(crate) mod connection_pool;
pub(crate) mod crash_gossip;
pub(crate) mod crash_notice;
pub(crate) mod drain_table;
pub(crate) mod engine_speeds;
pub(crate) mod head_limit;
pub(crate) mod http_call;
pub(crate) mod list_history;
pub(crate) mod list_order;
pub(crate) mod prefill_rate;
pub(crate) mod quarantine_record;
pub(crate) mod quarantine_task;
pub(crate) mod reach_task;
pub(crate) mod report_watch;
pub(crate) mod service_rings;
pub(crate) mod socket_handle;
pub(crate) mod software_census;
pub(crate) mod stored_quarantines;
pub(crate) mod upstream_call;
pub(crate) mod upstream_crashes;
pub(crate) mod upstream_table;
pub(crate) mod version_record;
pub(crate) mod version_record_task;
pub(crate) mod work_table;
