//! Decisions without I/O: routing, admission, retries, reply reassembly, export and placement.
//!
//! Every function gets the current moment and the state known so far, which may be stale or
//! incomplete. None does I/O or reads a clock, except that a date in a `Retry-After` is compared
//! with the system time. The crates that use them carry the decisions out.

mod admission;
mod announcement_gate;
mod announcement_table;
mod backlog;
mod cold_start;
mod crash_ledger;
mod customer_ledger;
mod drain_rate;
mod export;
mod link;
mod link_queue;
mod link_watch;
mod load;
mod memory_budget;
mod origin_homes;
mod origin_query;
mod origin_table;
mod part_uses;
mod part_value;
mod placement;
mod prefix;
mod reach_watch;
mod reply;
mod report_table;
mod reported_load;
mod retry;
mod return_ledger;
mod return_schedule;
mod route;
mod send_ledger;
mod send_share;
mod service_queue;
mod slot_share;
mod stream_origin;
mod upstream_announcements;
mod use_report;
mod yield_rule;

pub use admission::{
    AdmitDecision, AdmitOptions, CustomerUse, FairAdmission, QueueAction, RetryAfter,
    WaitingRequest,
};
pub use announcement_gate::{CloseReason, ClosedUpstream, announcement_gate, share_gate};
pub use announcement_table::{AnnouncementChange, AnnouncementTable, BrittleNotice, LimitNotice};
pub use backlog::EngineBacklog;
pub use cold_start::{ColdRule, cold_share};
pub use crash_ledger::{
    CRASHES_TO_QUARANTINE, ClearNotice, CrashLedger, FIRST_QUARANTINE_MS, LedgerChange,
    QuarantineNotice, SuspectPart,
};
pub use customer_ledger::CustomerLedger;
pub use export::{ExportInput, should_export};
pub use link::LinkTable;
pub use link_queue::LinkQueue;
pub use link_watch::{AwaitedFetch, LinkWatch};
pub use load::{LoadReport, LoadTable, PendingWork, UpstreamLoad};
pub use memory_budget::{MemoryBudget, has_capacity};
pub use origin_homes::{ASKED_HOMES, ORIGIN_COPIES, first_homes};
pub use origin_query::{OriginQuery, QueryState};
pub use origin_table::{MAX_ORIGINS, OriginNotice, OriginRecord, OriginTable};
pub use part_uses::PartUses;
pub use part_value::{
    RankedPart, StoreRoom, admission_floor, is_worth_room, part_value, parts_to_retire,
};
pub use placement::{PlacementInput, PlacementMove, plan_in_order, plan_moves};
pub use prefix::{BLOCK_TOKENS, PrefixChain, PrefixHash, prefix_chain};
pub use reach_watch::{ReachChange, ReachWatch};
pub use reply::{ReplyAssembler, ReplyChunk, ReplyStep};
pub use report_table::{KnownRequests, LoadEstimate, LoadNotice, ReportTable, request_bound};
pub use reported_load::{LoadObservation, PacePercent, ReportedLoad, ReportedLoadError};
pub use retry::RetryBudget;
pub use return_ledger::{MAX_RETURNS, ReturnLedger, ReturnNotice, ReturnPlace};
pub use return_schedule::{MAX_RETURN_MS, MIN_RETURN_MS};
pub use route::{
    CandidateCost, ImportOffer, NEAR_BEST_FRACTION, RouteCandidate, RouteDecision, RouteInput,
    decide_route,
};
pub use send_ledger::SendLedger;
pub use send_share::{SendShare, SendWindow, call_share, limit_share};
pub use service_queue::{
    MAX_ASKED, MAX_HOLD_MS, MAX_PASSES, MAX_QUEUED, QueueEntry, QueuePlace, QueueTicket,
    QueueVerdict, ROUND_MS, ServiceQueue,
};
pub use slot_share::{ranked_slot_share, slot_share};
pub use stream_origin::StreamOrigin;
pub use upstream_announcements::{AnnouncedLimit, UpstreamAnnouncements, jitter_backoff};
pub use use_report::{
    MAX_USE_ROWS, UseReport, UseRow, apply_use_report, largest_uses, sweep_ledgers,
};
pub use yield_rule::{TurnStep, WaitingUse, YieldTimer};
