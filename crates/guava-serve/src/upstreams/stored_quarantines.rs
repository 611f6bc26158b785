//! What the store holds of quarantined requests, as far as this daemon wrote or read it, and which
//! records were dropped there.
//!
//! An operator releases a request by dropping its record. That counts only if the log shows it, after
//! the record that this daemon knew before. A record that is merely absent was perhaps never written,
//! or lost with its store; a drop before the record is about an earlier quarantine; and a record that
//! came and went since the last read tells nothing of the quarantine that is known here.

use crate::upstreams::quarantine_record::{QuarantineChange, QuarantineRecord};
use guava_types::{FastMap, RequestDigest};

/// A record that stands in the store.
#[derive(Clone, Copy, Debug)]
struct StoredRecord {
    quarantine_count: u32,
    offset: u64,
}

/// What a read of the log tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredUpdate {
    /// Records known before that were dropped.
    pub dropped: Vec<QuarantineRecord>,
    /// Records that were not known before, or are newer, and stand now.
    pub added: Vec<QuarantineRecord>,
}

/// Records of quarantined requests that this daemon wrote to the store or read from it.
#[derive(Clone, Debug, Default)]
pub struct StoredQuarantines {
    records: FastMap<RequestDigest, StoredRecord>,
}

impl StoredQuarantines {
    /// Notes that this daemon wrote a record, which stands at an offset.
    pub fn note_written(&mut self, record: QuarantineRecord, offset: u64) {
        let QuarantineRecord { request, quarantine_count } = record;
        self.records.insert(request, StoredRecord { quarantine_count, offset });
    }

    /// Applies what was read of the log, in its order.
    pub fn apply(&mut self, changes: &[QuarantineChange]) -> StoredUpdate {
        let mut update = StoredUpdate::default();
        let mut added: FastMap<RequestDigest, StoredRecord> = FastMap::default();
        for QuarantineChange { request, quarantine_count, offset } in changes.iter().copied() {
            let known = self.records.get(&request);
            if known.is_some_and(|known| known.offset >= offset) {
                continue;
            }
            if let Some(quarantine_count) = quarantine_count {
                added.insert(request, StoredRecord { quarantine_count, offset });
                continue;
            }
            added.remove(&request);
            if let Some(StoredRecord { quarantine_count, .. }) = self.records.remove(&request) {
                update.dropped.push(QuarantineRecord { request, quarantine_count });
            }
        }
        for (request, record) in added {
            let quarantine_count = record.quarantine_count;
            update.added.push(QuarantineRecord { request, quarantine_count });
            self.records.insert(request, record);
        }
        update
    }

    /// Whether a record is missing in the store, or outdated there.
    pub fn lacks(&self, record: QuarantineRecord) -> bool {
        let stored = self.records.get(&record.request);
        stored.is_none_or(|stored| stored.quarantine_count < record.quarantine_count)
    }

    /// Requests with a record.
    pub fn requests(&self) -> impl Iterator<Item = RequestDigest> {
        self.records.keys().copied()
    }

    /// Forgets a request whose record is obsolete.
    pub fn forget(&mut self, request: RequestDigest) {
        self.records.remove(&request);
    }
}
