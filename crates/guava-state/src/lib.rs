//! The state that all daemons share, folded from the platform's log by one pure reducer.
//!
//! Nothing in this crate reads a clock or does I/O: all daemons that have folded the same offsets
//! hold the same state, in any data centre and whenever they started.

mod eviction;
mod freshness;
mod intents;
mod lease;
mod objects;
mod record;
mod reducer;
mod snapshot;

pub use eviction::{EVICT_AFTER_MS, EvictionWatch};
pub use freshness::{
    FRESHNESS_LIMIT_MS, FreshnessInput, FreshnessVerdict, LogObservation, PeerObservation,
};
pub use intents::{HeldIntent, IntentTable, IntentVerdict};
pub use lease::{LeaseEntry, LeaseWatch, clock_margin_ms};
pub use objects::{
    ConfigObject, CustomerSpec, DataCentreSpec, MethodRule, ModelSpec, ObjectError, ObjectKey,
    ObjectKind, ServiceSpec, StoredObject, UpstreamKind, UpstreamSpec, WeightProfile,
};
pub use record::{
    ChangeRequest, IntentEntry, LeaseRequest, LogRecord, MAX_RECORD_BYTES, MemberEntry, RecordBody,
    RecordError, SnapshotPart,
};
pub use reducer::{ChangeVerdict, FleetState, FoldOutcome, HistoryEntry};
pub use snapshot::{
    PART_BYTES, SnapshotError, StateText, restore, snapshot_parts, state_digest, state_from_json,
    state_text,
};
