//! The order in which the entries of the list of upstreams changed, for peers that ask for what
//! changed since a revision.
//!
//! Of each listed upstream the newest record counts. Removals are kept until there are too many; for
//! a time before the oldest of them, only the whole list tells what was removed.

use crate::upstreams::list_order::ListRevision;
use guava_types::UpstreamId;
use std::collections::BTreeMap;

/// Most removals kept. A release replaces up to half of some ten thousand upstreams.
const MAX_REMOVALS: usize = 8_192;

/// Revisions of the listed entries and of recent removals.
#[derive(Debug, Default)]
pub struct ListHistory {
    entries: BTreeMap<ListRevision, Vec<UpstreamId>>,
    removals: BTreeMap<ListRevision, UpstreamId>,
    /// All removals from this revision on are kept.
    complete_from: ListRevision,
}

impl ListHistory {
    /// Records an entry's revision.
    pub fn note_entry(&mut self, id: &UpstreamId, revision: ListRevision) {
        self.entries.entry(revision).or_default().push(id.clone());
    }

    /// Drops an entry of an earlier revision, or that is no longer listed.
    pub fn forget_entry(&mut self, id: &UpstreamId, revision: ListRevision) {
        let Some(ids) = self.entries.get_mut(&revision) else { return };
        ids.retain(|other| other != id);
        if ids.is_empty() {
            self.entries.remove(&revision);
        }
    }

    /// Records a removal.
    pub fn note_removal(&mut self, id: &UpstreamId, revision: ListRevision) {
        self.removals.insert(revision, id.clone());
        if self.removals.len() > MAX_REMOVALS
            && let Some((oldest, _)) = self.removals.pop_first()
        {
            self.complete_from = self.complete_from.max(ListRevision(oldest.0 + 1));
        }
    }

    /// Notes that removals before a revision are not all known.
    pub fn forget_removals(&mut self, before: ListRevision) {
        self.complete_from = self.complete_from.max(before);
    }

    /// Changes since a revision, oldest first, each with whether it is a removal: at most `count`, and
    /// those of the same revision as the last one. `None` if removals since then are no longer known.
    pub fn since(
        &self,
        since: ListRevision,
        count: usize,
    ) -> Option<Vec<(ListRevision, &UpstreamId, bool)>> {
        if since < self.complete_from {
            return None;
        }
        let removals = self.removals.range(since..).take(count);
        let mut changes = self.entries_since(since, count);
        changes.extend(removals.map(|(revision, id)| (*revision, id, true)));
        changes.sort_unstable_by_key(|(revision, ..)| *revision);
        if let Some((last, ..)) = changes.get(count.saturating_sub(1)).copied() {
            changes.retain(|(revision, ..)| *revision <= last);
        }
        Some(changes)
    }

    /// The same of listed entries only: read from the first revision on, they are the whole list.
    pub fn entries_since(
        &self,
        since: ListRevision,
        count: usize,
    ) -> Vec<(ListRevision, &UpstreamId, bool)> {
        let entries = self.entries.range(since..).take(count);
        entries.flat_map(|(revision, ids)| ids.iter().map(|id| (*revision, id, false))).collect()
    }
}
