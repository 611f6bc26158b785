//! What is known of upstreams: the list, their work and speed, their ends, and connections to them.

pub(crate) mod connection_pool;
pub(crate) mod crash_words;
pub(crate) mod drain_table;
pub(crate) mod end_notice;
pub(crate) mod end_watch;
pub(crate) mod engine_speeds;
pub(crate) mod http_call;
pub(crate) mod list_order;
pub(crate) mod prefill_rate;
pub(crate) mod stop_duty;
pub(crate) mod stop_record;
pub(crate) mod upstream_call;
pub(crate) mod upstream_ends;
pub(crate) mod upstream_table;
pub(crate) mod word_watch;
pub(crate) mod work_table;
