//! Decisions as pure functions: routing, admission, retries, reply order, export and placement.
//!
//! Every function takes what is known, however late or partial, and the current moment; none does
//! I/O or reads a clock. The adapters at the edges carry the decisions out.

mod admission;
mod answer_words;
mod backlog;
mod cold_start;
mod crash_ledger;
mod export;
mod link;
mod link_queue;
mod link_watch;
mod load;
mod memory_trust;
mod placement;
mod prefix;
mod reply;
mod retry;
mod route;
mod send_ledger;
mod send_share;
mod waiting_line;
mod word_gate;
mod word_table;

pub use admission::{
    AdmitDecision, AdmitOptions, AdmitTurn, CustomerUse, FairAdmission, ReturnAfter, WaitingRequest,
};
pub use answer_words::{AnswerWords, LimitWord, spread_rest};
pub use backlog::EngineBacklog;
pub use cold_start::{ColdRule, cold_share};
pub use crash_ledger::{
    ClearNotice, CrashLedger, ENDS_TO_STOP, FIRST_STOP_MS, LedgerNews, StopNotice,
};
pub use export::{ExportInput, should_export};
pub use link::LinkTable;
pub use link_queue::LinkQueue;
pub use link_watch::{AwaitedFetch, LinkWatch};
pub use load::{LoadReport, LoadTable, PendingWork, UpstreamLoad};
pub use memory_trust::{MemoryTrust, has_room};
pub use placement::{PlacementInput, PlacementMove, plan_afresh, plan_moves};
pub use prefix::{BLOCK_TOKENS, PrefixChain, PrefixHash, prefix_chain, tokens_in};
pub use reply::{ReplyChunk, ReplyOrder, ReplyStep};
pub use retry::RetryBudget;
pub use route::{
    CandidateCost, ImportOffer, NEAR_BEST, RouteCandidate, RouteDecision, RouteInput, decide_route,
};
pub use send_ledger::SendLedger;
pub use send_share::{SendShare, SendWindow, limit_share};
pub use waiting_line::WaitingLine;
pub use word_gate::{CloseReason, ClosedUpstream, full_share, word_gate};
pub use word_table::{LimitNotice, WordNews, WordTable};
