//! The request path: from an accepted request to the last byte of its answer.
//!
//! What differs between deployments is passed in as plain data and a [`Dialect`]. Decisions are made
//! by functions of plain data, which can be tested without a network.

mod config_update;
mod deadline_wait;
pub mod events;
mod members;
mod metrics;
mod parts;
mod ports;
mod request;
mod serve_config;
mod serve_context;
mod upstreams;
mod weights;

pub use config_update::apply_config;
pub use deadline_wait::{until, with_last_wait};
pub use members::config_copy::{CONFIG_PATH, ConfigCopy, compose_config, copy_config};
pub use members::core_group::{
    CoreRecord, MAX_LOCAL_CORE, SPARSE_LOCAL_CORE, core_records, registration_pause,
};
pub use members::list_change_gossip::ListChangeGossip;
pub use members::list_copy::{
    CopyRange, LIST_PATH, ListCopy, PageRefusal, changes_since, compose_page, copy_list,
    entries_since,
};
pub use members::list_reader::{
    ListReader, apply_copy, apply_list, apply_read_change, copy_missing, copy_state, drop_lapsed,
    note_list_read,
};
pub use members::list_sync::{
    CopyState, OperatorInput, ReadCause, SyncInput, SyncStep, is_copy_sufficient, operator_copy_ms,
    operator_read_cause, read_cause, start_timeout_ms, sync_step,
};
pub use members::lost_messages::{LostMessages, MessageLoss};
pub use members::member_descriptor::MemberDescriptor;
pub use members::member_table::{MemberRole, MemberTable, PeerRole};
pub use members::message_split::datagrams;
pub use members::origin_exchange::OriginExchange;
pub use members::origin_message::OriginMessage;
pub use members::origin_search::{OriginSearch, apply_origin_message, find_origin, note_origin};
pub use members::peer_copy::CopyError;
pub use members::peer_exchange::{
    ListSource, OwnSummary, apply_change, apply_drain, apply_message, apply_target, apply_version,
    compose_announcements, compose_attached_reads, compose_crash_notices, compose_immediate,
    compose_initial_sync, compose_message, compose_reads, note_deployment_size, note_outage_change,
    pass_to_attached,
};
pub use members::peer_key::PeerKey;
pub use members::peer_message::{
    ListChange, LoadedVersion, MAX_DATAGRAM_BYTES, PeerMessage, PublishedVersion,
};
pub use members::peer_task::{
    OwnState, receive_messages, send_immediate, send_origins, send_read_marks, send_summaries,
};
pub use members::queue_exchange::{first_attempt, note_return, sweep_queue_state};
pub use members::retry_pause::{CopyPause, RetryPause, is_read_urgent};
pub use members::return_gossip::{MAX_TOLD_RETURNS, MessageAudience, ReturnGossip};
pub use members::shared_reads::{
    ReadMark, ReadPace, ReadTracker, STANDBYS, SharedReads, read_as_of,
};
pub use members::transfer_budget::TransferBudget;
pub use members::use_gossip::UseGossip;
pub use metrics::{
    KindLabel, LimitLevel, ServeMetrics, ServiceLabel, StoreLabel, StoreLevel, UpstreamLabel,
};
pub use parts::cache_salt::{cache_salt, salt_version};
pub use parts::part_eviction::eviction_orders;
pub use parts::part_index::{HeldPart, PartChange, PartEvent, PartIndex, StoreUpdate};
pub use parts::part_key::PartKey;
pub use parts::part_task::{follow_stores, unreferenced_parts};
pub use parts::part_transfers::FetchPlan;
pub use parts::partial_saves::{PartialPart, PartialTable};
pub use parts::retirement::{
    MAX_RETIRED_PARTS, RetireNotice, RetirePhase, RetirementId, RetirementTable,
};
pub use parts::retirement_ledger::{RetireInput, RetireStep, RetirementLedger, WithdrawReason};
pub use parts::save_ledger::{PartSave, SaveLedger};
pub use parts::sent_prompt::SentPrompt;
pub use parts::settled_start::SettledStart;
pub use parts::store_links::{
    FetchTicket, FetchWait, SlowLink, StoreLinks, StoreTransfer, transfer_ms,
};
pub use parts::store_starts::record_starts;
pub use ports::{
    EnginePort, EngineReport, FreeOrder, LeasePort, LeaseUpdate, LoadOrder, PartList, PartPort,
    PartReport, PortError, PortFuture, QuarantinePort, StartPort, VersionPort,
};
pub use request::accepted_request::{
    AcceptedRequest, MAX_PROMPT_PARTS, PromptPart, PromptShape, RequestHead,
};
pub use request::admit::{AdmitRefusal, AdmittedCaller, admit};
pub use request::answer_body::{AnswerBody, InterruptedStream};
pub use request::answer_timeout::{first_answer_timeout_ms, return_after_ms};
pub use request::dialect::{AnswerMarks, Dialect, EngineInstructions, SendPlan};
pub use request::dispatch::serve_request;
pub use request::engine_choice::{EngineChoice, choose_engine};
pub use request::engine_input::EngineInput;
pub use request::event_framer::{EventBatch, EventFramer};
pub use request::freshness_wait::{await_fresh_config, is_stale};
pub use request::http_listener::{
    ConnectionLimits, ListenerBudget, ListenerPhase, open_listener, serve_listener,
};
pub use request::outcome::{QueueRefusal, SendRecord, ServeOutcome};
pub use request::peer_forward::{FORWARDED, RUN_LIMIT, UNSERVED};
pub use request::queue_table::{QueueLevel, QueueTable};
pub use request::refusal_reason::RefusalReason;
pub use request::request_plan::draw_service;
pub use request::retry_shares::{RetryLimit, RetryShares};
pub use request::run_ledger::{NotRunProof, PermitGround, RunLedger, SendPermit, SpentPermit};
pub use request::send_bar::SendBar;
pub use request::send_gate::{
    GateInput, GateState, gate_state, limit_levels, pass_gate, reopening, with_gate_input,
};
pub use request::service_choice::{InstanceChoice, ServiceInput, choose_instance};
pub use serve_config::{
    CallerIdentity, CallerLimits, ConfigParts, ConfigVersion, CurrentConfig, CustomerRule,
    EngineTraits, RepeatRule, RouteRule, ServeConfig, ServiceRule, StoreTraits,
};
pub use serve_context::{LeaveTimes, ServeBounds, ServeContext, ServeIdentity, UpstreamClock};
pub use upstreams::announcement_watch::note_announcements;
pub use upstreams::answer_part::AnswerPart;
pub use upstreams::answered_parts::AnsweredParts;
pub use upstreams::bounded_body::first_capacity;
pub use upstreams::broken_send_table::BrokenSendTable;
pub use upstreams::connection_pool::{
    ConnectionPool, ConnectionUse, ExchangeError, UpstreamConnection,
};
pub use upstreams::crash_gossip::CrashGossip;
pub use upstreams::crash_notice::CrashNotice;
pub use upstreams::drain_table::{DrainNotice, DrainTable};
pub use upstreams::engine_speeds::{EngineSpeed, EngineSpeeds};
pub use upstreams::http_call::{CallAnswer, CallError, call_request};
pub use upstreams::list_order::{ListOrder, ListRevision};
pub use upstreams::prefill_rate::PrefillRate;
pub use upstreams::quarantine_record::{
    QuarantineChange, QuarantineLog, QuarantineRecord, QuarantineSync,
};
pub use upstreams::quarantine_task::{is_read_due, persist_quarantines};
pub use upstreams::reach_task::watch_reach;
pub use upstreams::service_rings::RingPosition;
pub use upstreams::software_census::{LONGEST_TAKE_UP_MS, MAX_HOLD_MS, SoftwareCensus};
pub use upstreams::stored_quarantines::{StoredQuarantines, StoredUpdate};
pub use upstreams::upstream_call::{call_store, call_upstream};
pub use upstreams::upstream_crashes::{note_request_answered, note_upstream_crash};
pub use upstreams::upstream_table::{
    ListChangeEffect, MAX_CANDIDATES, UpstreamEntry, UpstreamTable, WeightVersion,
};
pub use upstreams::version_record::{VersionLog, VersionRecord};
pub use upstreams::version_record_task::persist_versions;
pub use upstreams::work_table::{ExpectedLoad, WorkShare, WorkTable, WorkTicket};
pub use weights::order_task::OrderTask;
pub use weights::rollout_state::{VersionRollout, is_salt_unreferenced};
pub use weights::store_outages::{OutageChange, StoreOutages};
pub use weights::version_rollout::{RolloutEngine, max_concurrent_loads, next_orders};
pub use weights::version_targets::{
    OfferEffect, PublicationSource, SupersededAge, VersionLimits, VersionTarget, VersionTargets,
    VersionUse, assumed_targets,
};
