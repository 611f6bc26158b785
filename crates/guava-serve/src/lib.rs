//! The request path: from an accepted request to the answer's last byte, whoever speaks to us.
//!
//! What varies between deployments is passed in as plain parts and a [`Dialect`]; what decides is
//! plain functions over these parts, testable without a network.

mod accepted_request;
mod admit;
mod answer_body;
mod attempt;
mod cache_salt;
mod cold_sends;
mod config_intake;
mod connection_pool;
mod crash_words;
mod dialect;
mod dispatch;
mod drain_table;
mod end_notice;
mod end_watch;
mod engine_choice;
mod engine_input;
mod engine_speeds;
mod event_framer;
mod event_relay;
pub mod events;
mod http_call;
mod http_listener;
mod list_news;
mod member_table;
mod metrics;
mod order_duty;
mod outcome;
mod part_duty;
mod part_index;
mod part_key;
mod part_transfers;
mod patience;
mod peer_duty;
mod peer_exchange;
mod peer_message;
mod ports;
mod prefill_rate;
mod request_plan;
mod request_run;
mod retry_pause;
mod retry_shares;
mod rollout_state;
mod save_ledger;
mod send_gate;
mod sent_prompt;
mod serve_config;
mod serve_parts;
mod service_choice;
mod shared_words;
mod stop_duty;
mod stop_record;
mod store_links;
mod upstream_ends;
mod upstream_table;
mod version_rollout;
mod version_targets;
mod work_table;

pub use accepted_request::{AcceptedRequest, PromptPart, PromptShape, RequestHead};
pub use admit::{AdmitRefusal, AdmittedCaller, HeldBytes, admit};
pub use answer_body::{AnswerBody, BrokenStream};
pub use cache_salt::{cache_salt, salt_version};
pub use cold_sends::ColdSends;
pub use config_intake::take_config;
pub use connection_pool::{ConnectionPool, ExchangeError, UpstreamConnection};
pub use crash_words::CrashWords;
pub use dialect::{AnswerMarks, Dialect, EngineOrders, SendPlan};
pub use dispatch::serve_request;
pub use drain_table::{DrainNotice, DrainTable};
pub use end_notice::EndNotice;
pub use end_watch::EndWatch;
pub use engine_choice::{EngineChoice, choose_engine};
pub use engine_input::EngineInput;
pub use engine_speeds::{EngineSpeed, EngineSpeeds};
pub use event_framer::{EventBatch, EventFramer};
pub use http_call::{CallAnswer, CallError, call_request};
pub use http_listener::{ConnectionLimits, ListenerPhase, open_listener, serve_listener};
pub use list_news::ListNews;
pub use member_table::{MemberNote, MemberTable};
pub use metrics::{KindLabel, ServeMetrics};
pub use order_duty::OrderDuty;
pub use outcome::{RefusalReason, SendRecord, ServeOutcome};
pub use part_duty::follow_stores;
pub use part_index::{HeldPart, PartEvent, PartIndex, PartNews, StoreWord};
pub use part_key::PartKey;
pub use part_transfers::FetchPlan;
pub use patience::{first_answer_patience, return_after_ms};
pub use peer_duty::{OwnState, hear_peers, tell_notes, tell_peers, tell_words};
pub use peer_exchange::{
    OwnNews, compose_end_notes, compose_greeting, compose_message, compose_note, compose_words,
    take_change, take_drain, take_message, take_version,
};
pub use peer_message::{
    ListedChange, LoadedVersion, MAX_DATAGRAM_BYTES, PeerMessage, PublishedVersion,
};
pub use ports::{
    EnginePort, EngineReport, FreeOrder, LeaseNews, LeasePort, LoadOrder, PartList, PartPort,
    PartReport, PortError, PortFuture, StopPort,
};
pub use prefill_rate::PrefillRate;
pub use request_plan::draw_service;
pub use retry_pause::{RetryPause, is_read_urgent};
pub use retry_shares::{RetryLimit, RetryShares};
pub use rollout_state::{VersionRollout, useless_salt};
pub use save_ledger::{PartSave, SaveLedger};
pub use send_gate::{GateInput, GateState, closed_upstreams, gate_state, pass_gate};
pub use sent_prompt::SentPrompt;
pub use serve_config::{
    CallerIdentity, CallerLimits, ConfigKeeper, ConfigParts, ConfigVersion, CustomerRule,
    EngineTraits, RepeatRule, RouteRule, ServeConfig, ServiceRule, StoreTraits,
};
pub use serve_parts::{ServeBounds, ServeIdentity, ServeParts, UpstreamClock};
pub use service_choice::{ServiceInput, choose_instance};
pub use shared_words::{ReadPace, STANDBYS, SharedWord, SharedWords, WordKeeper, read_as_of};
pub use stop_duty::{is_read_due, keep_stops};
pub use stop_record::{StopRecord, StopSight};
pub use store_links::{FetchTicket, FetchWait, SlowLink, StoreLinks, StoreTransfer, transfer_ms};
pub use upstream_ends::{note_request_answered, note_upstream_end};
pub use upstream_table::{ListChange, UpstreamEntry, UpstreamTable, WeightVersion};
pub use version_rollout::{RolloutEngine, loads_at_once, next_orders};
pub use version_targets::{VersionLimits, VersionTarget, VersionTargets, VersionUse, age_at_start};
pub use work_table::{ExpectedLoad, WorkShare, WorkTable, WorkTicket};
