//! The upstreams in the platform's list, which arrives with a delay and has outages.
//!
//! An id identifies one start of one upstream and is never reused. Leaving is final for an id. When
//! an upstream restarts under its name, the new start replaces the earlier one at once, and late
//! data about the earlier start is ignored.
//!
//! What the list contains is one thing, what this daemon may use another. A removed entry leaves the
//! list at once: it is in no digest, history or copy. Entries also lapse during an outage of the list,
//! because upstreams can't renew them, and the record of a lapse is no different from that of an
//! upstream that left. So for the time in which running upstreams register again after an outage,
//! removed entries stay in use if they outnumber the listed ones: leaving upstreams are never that many.

use crate::upstreams::list_history::ListHistory;
use crate::upstreams::list_order::{ListOrder, ListRevision};
use crate::upstreams::service_rings::{RingPosition, ServiceRings};
use crate::upstreams::software_census::SoftwareCensus;
use guava_types::{
    DataCentre, Deadline, FastMap, FastSet, MemberName, ModelName, Moment, ServiceName,
    SoftwareVersion, UpstreamId,
};
use rustc_hash::FxHasher;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Version of a model's weights; versions begin at 1 and grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightVersion(pub u64);

impl fmt::Display for WeightVersion {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

/// Time after an outage of the list within which an entry that lapsed during the outage may be
/// registered again, in milliseconds. The list's contract states about two seconds.
const LAPSE_GRACE_MS: u64 = 2_000;

/// Smallest extension of a cold period that counts as a change, in milliseconds. Each entry states
/// the time left when it was written, some tenths of a second before it is read, so the end that is
/// computed from it varies by as much.
const MIN_COLD_EXTENSION_MS: u64 = 1_000;

/// Largest service of which all upstreams are candidates for a request; above it, the size of the
/// subset that a daemon uses.
pub const MAX_CANDIDATES: usize = 192;

/// Copies of changes after which this daemon's list still differed from the peer's before it obtains
/// the whole list. One may differ because the peer's list changed between two pages.
const MAX_DIVERGED_COPIES: u32 = 2;

/// For how long the weights of upstreams that were removed from the list are kept, in milliseconds:
/// they may serve on, and other daemons may send to them until they hear of the removal.
const DEPARTED_RETENTION_MS: u64 = 10_000;

/// Names whose newest start is kept beyond the number of listed upstreams. Late messages arrive
/// within seconds, in which no deployment replaces this many upstreams.
const MAX_UNLISTED_NAMES: usize = 4_096;

/// For how long versions that an engine refused stay ruled out, in milliseconds. Its heartbeat and
/// the list's readers report its actual version within about that time.
const RULED_OUT_RETENTION_MS: u64 = 2_000;

/// Versions of a model that an engine refused, kept until its actual version is reported.
#[derive(Clone, Debug)]
struct RefusedVersions {
    model: ModelName,
    ruled_out: Vec<WeightVersion>,
    until: Deadline,
}

/// An upstream's entry in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Identifies this start of the upstream.
    pub id: UpstreamId,
    /// Position of the record in the list's history.
    pub revision: ListRevision,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Version of its software; `None` from a daemon of an earlier build, which doesn't state it.
    pub software: Option<SoftwareVersion>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes no new work and will exit; final for this id.
    pub is_leaving: bool,
    /// When its cold period ends.
    pub cold_until: Deadline,
    /// Version of the weights that it serves, by model.
    pub versions: FastMap<ModelName, WeightVersion>,
}

/// Removal of an entry that may be registered again.
#[derive(Clone, Copy, Debug)]
struct EntryRemoval {
    /// When the upstream is forgotten.
    due: Deadline,
    /// Whether the entry was removed right after an outage.
    is_lapse: bool,
}

#[derive(Clone, Debug)]
struct ListedUpstream {
    entry: UpstreamEntry,
    /// Set while the entry is removed from the list and the upstream is not forgotten.
    removal: Option<EntryRemoval>,
    /// When it is expected to have loaded new weights; in the past if it loads none.
    loading_until: Deadline,
    /// Until when it counts as crashed; in the past if it does not.
    crashed_until: Deadline,
    refused: Option<RefusedVersions>,
}

impl ListedUpstream {
    /// Whether it may get new work: it is not leaving and does not count as crashed.
    fn is_usable(&self, now: Moment) -> bool {
        self.crashed_until.passed(now) && !self.entry.is_leaving
    }
}

/// Effect of a list change on this daemon's table, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListChangeEffect {
    /// The entry changed nothing.
    Same,
    /// An upstream that was not known was added.
    Added,
    /// The upstream restarted under its name; all state of the earlier start was dropped.
    Restarted,
    /// It serves other weights.
    Weights,
    /// Its cold period is longer than was known.
    Cold,
    /// It is leaving and takes no new work.
    Leaving,
    /// Its entry was removed right after an outage of the list, and may be registered again.
    Lapsed,
    /// It was removed.
    Removed,
}

impl ListChangeEffect {
    /// Value of the log's `change` key.
    pub fn name(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Added => "added",
            Self::Restarted => "restarted",
            Self::Weights => "weights",
            Self::Cold => "cold",
            Self::Leaving => "leaving",
            Self::Lapsed => "lapsed",
            Self::Removed => "gone",
        }
    }
}

/// Listed upstreams, by id and by service, with what was learnt of each since it was listed.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    listed: FastMap<UpstreamId, ListedUpstream>,
    by_service: FastMap<ServiceName, ServiceRings>,
    /// Sum of the digests of all listed entries.
    digest: u64,
    /// Upstreams whose entries were removed; some may have been listed again since.
    removed: Vec<UpstreamId>,
    /// Number of upstreams whose entries are removed.
    removed_count: usize,
    /// Until when entries that lapsed in an outage may be registered again; `None` without an outage.
    lapse_grace: Option<Deadline>,
    /// Newest known start of each name, kept for a while after it is removed.
    newest: FastMap<Box<str>, UpstreamId>,
    /// Services that the configuration names; `None` until a configuration is applied.
    services: Option<FastSet<ServiceName>>,
    /// In what order the entries changed.
    history: ListHistory,
    synced: ListRevision,
    newest_position: ListRevision,
    is_known: bool,
    /// Whether this daemon's last read of the list failed.
    has_failed_read: bool,
    /// Whether the list has neither been read nor copied since a read of it failed.
    is_unavailable: bool,
    order: ListOrder,
    /// Copies of changes in a row that did not lead to the peer's list.
    diverged_copies: u32,
    census: SoftwareCensus,
    /// Weights of upstreams that were removed from the list, and when.
    departed: Vec<(Moment, FastMap<ModelName, WeightVersion>)>,
}

impl UpstreamTable {
    /// Decides which records of the list are still to be applied.
    pub fn order(&mut self) -> &mut ListOrder {
        &mut self.order
    }

    /// Software versions that upstreams have and had.
    pub fn census(&self) -> &SoftwareCensus {
        &self.census
    }

    /// The same, to note what is recorded in the store.
    pub fn census_mut(&mut self) -> &mut SoftwareCensus {
        &mut self.census
    }

    /// Notes that the list was last confirmed `age_ms` ago, or `None` if never.
    pub fn check_census(&mut self, age_ms: Option<u64>, now: Moment) {
        self.census.check(age_ms, now);
    }

    /// Position in the list up to which all records are contained in the entries, by this daemon's
    /// own reads or since its digest was that of a peer at this position.
    pub fn list_position(&self) -> ListRevision {
        self.order.position().max(self.synced)
    }

    /// Position after the newest record that the entries contain; records before it may be lacking.
    pub fn list_end(&self) -> ListRevision {
        self.order.end().max(self.synced)
    }

    /// Notes that the entries contain all records before a position.
    pub fn note_synced(&mut self, position: ListRevision) {
        self.synced = self.synced.max(position);
    }

    /// Applies the digest and position that a peer reported of its list.
    pub fn note_peer_position(&mut self, digest: u64, position: ListRevision) {
        if self.digest == digest {
            self.synced = self.synced.max(position);
        }
        self.newest_position = self.newest_position.max(position);
    }

    /// Number of records by which the newest known position is ahead of this daemon's list.
    pub fn list_gap(&self) -> u64 {
        self.newest_position.0.saturating_sub(self.list_position().0)
    }

    /// Whether the list has been read since this daemon started.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Notes that the list can't be read; known entries stay in use. Returns whether it was
    /// readable before.
    pub fn note_unavailable(&mut self) -> bool {
        self.is_unavailable = true;
        !std::mem::replace(&mut self.has_failed_read, true)
    }

    /// Whether the list has neither been read nor copied since a read of it failed.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Notes that the list was read; to be called before its entries are applied. Returns whether
    /// it was unavailable before.
    ///
    /// Entries that lapsed in an outage stay valid for a while. A daemon that reads the list for the
    /// first time knows of no outage, and what failed was no outage if other daemons read the store
    /// meanwhile, so that `was_available`.
    pub fn note_read(&mut self, now: Moment, was_available: bool) -> bool {
        let was_known = std::mem::replace(&mut self.is_known, true);
        let was_unavailable = std::mem::replace(&mut self.has_failed_read, false);
        self.is_unavailable = false;
        if was_unavailable && was_known && !was_available {
            self.lapse_grace = Some(Deadline::after(now, LAPSE_GRACE_MS));
        }
        was_unavailable
    }

    /// Notes that no daemon read the list for so long before this moment that entries may have lapsed.
    /// A daemon that did not know the list before has none that could have.
    pub fn note_outage_end(&mut self, ended: Moment, now: Moment) {
        let grace = Deadline::after(ended, LAPSE_GRACE_MS);
        if self.is_known && !grace.passed(now) {
            self.lapse_grace = self.lapse_grace.max(Some(grace));
        }
    }

    /// Whether upstreams that were removed from the list are still used.
    fn are_removed_used(&self) -> bool {
        self.lapse_grace.is_some() && self.removed_count > self.count()
    }

    fn is_in_use(&self, listed: &ListedUpstream) -> bool {
        listed.removal.is_none() || self.are_removed_used()
    }

    /// Compares this daemon's list, with the changes that a peer gave, to the peer's, whose newest
    /// record is before `end`; returns whether they have diverged. Lists are compared only where the
    /// peer's may contain all records of this one: while the list changes, either daemon may know
    /// records that the other lacks.
    pub fn note_copy_digest(&mut self, digest: u64, end: Option<ListRevision>) -> bool {
        let is_same = digest == self.digest;
        let has_diverged = !is_same && end.is_none_or(|end| end >= self.list_end());
        if is_same {
            self.diverged_copies = 0;
        }
        self.diverged_copies += u32::from(has_diverged);
        has_diverged
    }

    /// Whether a copy of changes did not lead to the peer's list, and none has since.
    pub fn has_diverged(&self) -> bool {
        self.diverged_copies > 0
    }

    /// Whether this daemon lacks a record that copies of later changes do not bring, so that the whole
    /// list is to be obtained.
    pub fn is_diverged(&self) -> bool {
        self.diverged_copies >= MAX_DIVERGED_COPIES
    }

    /// Notes that the list was copied from a peer. It does not end an outage: the peer may have seen
    /// none, and what it removed has not lapsed.
    pub fn note_copied(&mut self) {
        self.is_known = true;
        self.is_unavailable = false;
    }

    /// Notes which services the configuration names; `entries` omits upstreams of other services.
    pub fn note_services(&mut self, services: FastSet<ServiceName>) {
        self.services = Some(services);
    }

    /// Id of the newest known start of the upstream with this name.
    pub fn newest_start(&self, name: &str) -> Option<&UpstreamId> {
        self.newest.get(name)
    }

    /// Notes a start of an upstream that any source mentioned. If it is newer than the known one,
    /// the earlier start's entry and state are dropped; returns whether such an entry was listed.
    pub fn note_start(&mut self, id: &UpstreamId) -> bool {
        let before = self.newest.get(id.name());
        if before.is_some_and(|before| !before.is_before(id)) {
            return false;
        }
        let before = before.cloned();
        if self.newest.len() >= self.listed.len() + MAX_UNLISTED_NAMES {
            let listed = &self.listed;
            self.newest.retain(|_, id| listed.contains_key(id));
        }
        self.newest.insert(id.name().into(), id.clone());
        let was_listed = before.as_ref().is_some_and(|before| self.listed.contains_key(before));
        before.iter().for_each(|before| self.drop_entry(before));
        was_listed
    }

    /// Applies an entry; an entry of an earlier start than the newest known one is ignored.
    pub fn note_entry(&mut self, entry: UpstreamEntry) -> ListChangeEffect {
        let is_restart = self.note_start(&entry.id);
        let newest = self.newest.get(entry.id.name());
        if newest.is_some_and(|newest| entry.id.is_before(newest)) {
            return ListChangeEffect::Same;
        }
        match self.listed.get_mut(&entry.id) {
            None => {
                let id = entry.id.clone();
                let rings = self.by_service.entry(entry.service.clone()).or_default();
                rings.insert(&id, &entry.data_centre);
                self.history.note_entry(&id, entry.revision);
                self.digest = self.digest.wrapping_add(entry_digest(&entry));
                self.census.note_added(&entry.service, entry.software.as_ref());
                let listed = ListedUpstream {
                    entry,
                    removal: None,
                    loading_until: Deadline::default(),
                    crashed_until: Deadline::default(),
                    refused: None,
                };
                self.listed.insert(id, listed);
                if is_restart { ListChangeEffect::Restarted } else { ListChangeEffect::Added }
            }
            Some(listed) => {
                let was_removed = listed.removal.take().is_some();
                if was_removed {
                    self.removed_count -= 1;
                } else {
                    self.digest = self.digest.wrapping_sub(entry_digest(&listed.entry));
                    self.history.forget_entry(&entry.id, listed.entry.revision);
                }
                let was_leaving = listed.entry.is_leaving;
                self.history.note_entry(&entry.id, entry.revision);
                let versions = newest_versions(&listed.entry.versions, &entry.versions);
                let has_new_versions = listed.entry.versions != entry.versions;
                let cold_until = listed.entry.cold_until;
                let software = listed.entry.software.take();
                let is_colder =
                    Deadline::after(cold_until.0, MIN_COLD_EXTENSION_MS) < entry.cold_until;
                listed.entry = entry;
                // A late entry must not shorten the cold period.
                listed.entry.cold_until = listed.entry.cold_until.max(cold_until);
                listed.entry.versions = versions;
                // One start has one version, whichever daemon stated it.
                if software.is_none() && listed.entry.software.is_some() {
                    self.census.note_removed(&listed.entry.service, None);
                    let stated = listed.entry.software.as_ref();
                    self.census.note_added(&listed.entry.service, stated);
                }
                listed.entry.software = software.or(listed.entry.software.take());
                let is_change = listed.entry.is_leaving && !was_leaving;
                // Leaving is final: an older copy of the entry must not make it eligible again.
                listed.entry.is_leaving |= was_leaving;
                self.digest = self.digest.wrapping_add(entry_digest(&listed.entry));
                match (was_removed, is_change, has_new_versions, is_colder) {
                    (true, ..) => ListChangeEffect::Added,
                    (false, true, ..) => ListChangeEffect::Leaving,
                    (false, false, true, _) => ListChangeEffect::Weights,
                    (false, false, false, true) => ListChangeEffect::Cold,
                    (false, false, false, false) => ListChangeEffect::Same,
                }
            }
        }
    }

    /// Applies the removal of an entry from the list. Unless it was leaving, the upstream is kept for
    /// the time in which it may register again.
    pub fn note_removed(&mut self, id: &UpstreamId, now: Moment) -> ListChangeEffect {
        let Some(listed) = self.listed.get_mut(id) else { return ListChangeEffect::Same };
        if listed.removal.is_some() {
            return ListChangeEffect::Same;
        }
        if !listed.entry.versions.is_empty() {
            let is_kept = |removed: Moment| now.millis_since(removed) < DEPARTED_RETENTION_MS;
            self.departed.retain(|(removed, _)| is_kept(*removed));
            self.departed.push((now, listed.entry.versions.clone()));
        }
        if listed.entry.is_leaving || !self.is_known {
            self.drop_entry(id);
            return ListChangeEffect::Removed;
        }
        let grace = self.lapse_grace.filter(|grace| !grace.passed(now));
        let due = grace.unwrap_or(Deadline::after(now, LAPSE_GRACE_MS));
        listed.removal = Some(EntryRemoval { due, is_lapse: grace.is_some() });
        self.digest = self.digest.wrapping_sub(entry_digest(&listed.entry));
        self.history.forget_entry(id, listed.entry.revision);
        self.removed_count += 1;
        self.removed.push(id.clone());
        if grace.is_some() { ListChangeEffect::Lapsed } else { ListChangeEffect::Removed }
    }

    /// Applies the complete list as of a revision. Entries missing from it are removed, unless a
    /// peer reported a later record of the same upstream.
    pub fn note_list(
        &mut self,
        entries: Vec<UpstreamEntry>,
        end: ListRevision,
        now: Moment,
    ) -> Vec<(UpstreamId, ListChangeEffect)> {
        self.order.note_position(end);
        self.diverged_copies = 0;
        // What is missing was removed by records that this daemon does not know.
        self.history.forget_removals(end);
        // By name, not by id: an entry of another start either replaces this one or is older.
        let names: FastSet<&str> = entries.iter().map(|entry| entry.id.name()).collect();
        let is_named = |id: &UpstreamId| names.contains(id.name());
        let missing: Vec<UpstreamId> = self
            .listed
            .iter()
            .filter(|(id, listed)| listed.removal.is_none() && !is_named(id))
            .filter(|(id, _)| !self.order.has_peer_record(id.name()))
            .map(|(id, _)| id.clone())
            .collect();
        let removed = missing.into_iter().map(|id| {
            let change = self.note_removed(&id, now);
            (id, change)
        });
        let mut changes: Vec<(UpstreamId, ListChangeEffect)> = removed.collect();
        for entry in entries {
            let id = entry.id.clone();
            // The list is read page by page, so an entry may be newer than that revision.
            let is_change = if entry.revision < end {
                self.order.admit_read(id.name(), entry.revision)
            } else {
                self.order.admit_from_peer(id.name(), entry.revision)
            };
            if is_change {
                changes.push((id, self.note_entry(entry)));
            }
        }
        changes.retain(|(_, change)| *change != ListChangeEffect::Same);
        changes
    }

    /// Forgets removed upstreams that were not registered again in time. Returns those whose entries
    /// were removed right after an outage.
    pub fn drop_lapsed(&mut self, now: Moment) -> Vec<UpstreamId> {
        self.lapse_grace = self.lapse_grace.filter(|grace| !grace.passed(now));
        let listed = &self.listed;
        let removal = |id: &UpstreamId| listed.get(id).and_then(|listed| listed.removal);
        self.removed.retain(|id| removal(id).is_some());
        let is_overdue = |id: &&UpstreamId| removal(id).is_some_and(|it| it.due.passed(now));
        let mut overdue: Vec<UpstreamId> =
            self.removed.iter().filter(is_overdue).cloned().collect();
        let lapsed: FastSet<UpstreamId> = overdue
            .iter()
            .filter(|id| removal(id).is_some_and(|it| it.is_lapse))
            .cloned()
            .collect();
        overdue.iter().for_each(|id| self.drop_entry(id));
        overdue.retain(|id| lapsed.contains(id));
        overdue
    }

    /// Removes an upstream whose address another upstream uses now.
    pub fn note_replaced(&mut self, id: &UpstreamId) {
        self.drop_entry(id);
    }

    /// Notes the version that an upstream itself reported; an older version than the known one is
    /// ignored.
    pub fn note_version(&mut self, id: &UpstreamId, model: &ModelName, version: WeightVersion) {
        let Some(listed) = self.listed.get_mut(id) else { return };
        let known = listed.entry.versions.entry(model.clone()).or_default();
        *known = version.max(*known);
        if listed.refused.as_ref().is_some_and(|refused| refused.model == *model) {
            listed.refused = None;
        }
    }

    /// Notes that an engine refused a request because it does not have this version.
    pub fn rule_out(
        &mut self,
        id: &UpstreamId,
        model: &ModelName,
        version: WeightVersion,
        now: Moment,
    ) {
        let Some(listed) = self.listed.get_mut(id) else { return };
        let until = Deadline::after(now, RULED_OUT_RETENTION_MS);
        let before = listed.refused.take().filter(|refused| !refused.until.passed(now));
        let mut ruled_out = before.filter(|refused| refused.model == *model);
        let refused = ruled_out.get_or_insert_with(|| RefusedVersions {
            model: model.clone(),
            ruled_out: Vec::new(),
            until,
        });
        refused.ruled_out.push(version);
        listed.refused = ruled_out;
    }

    /// Version of a model that an engine is assumed to have: the known one, or while it refuses
    /// that one, the newest published version that it has not refused.
    ///
    /// The assumption is never stored as known. Otherwise an engine two publications behind would
    /// count as having the newest weights permanently: it would refuse the requests sent to it and
    /// never be ordered to load them.
    pub fn version(
        &self,
        id: &UpstreamId,
        model: &ModelName,
        published: &[WeightVersion],
        now: Moment,
    ) -> Option<WeightVersion> {
        let listed = self.listed.get(id)?;
        let known = *listed.entry.versions.get(model)?;
        let is_current =
            |refused: &&RefusedVersions| refused.model == *model && !refused.until.passed(now);
        let Some(refused) = listed.refused.as_ref().filter(is_current) else { return Some(known) };
        let possible =
            |version: &&WeightVersion| **version >= known && !refused.ruled_out.contains(version);
        published.iter().filter(possible).max().copied()
    }

    /// Versions of a model's weights on upstreams that were removed from the list after a moment.
    pub fn departed_versions(
        &self,
        model: &ModelName,
        since: Moment,
    ) -> impl Iterator<Item = WeightVersion> {
        let departed = self.departed.iter().filter(move |(removed, _)| *removed > since);
        departed.filter_map(|(_, versions)| versions.get(model).copied())
    }

    /// Notes that an upstream is loading new weights and is expected to finish by a deadline.
    pub fn note_loading(&mut self, id: &UpstreamId, until: Deadline) {
        if let Some(listed) = self.listed.get_mut(id) {
            listed.loading_until = until;
        }
    }

    /// Whether an upstream is believed to be loading new weights.
    pub fn is_loading(&self, id: &UpstreamId, now: Moment) -> bool {
        self.listed.get(id).is_some_and(|listed| !listed.loading_until.passed(now))
    }

    /// Notes that an upstream's address refuses connections: this daemon sends it no work until a
    /// deadline. Its entry lapses only seconds after the crash, and until then each request that
    /// was sent there would use up one of its few attempts.
    pub fn note_crashed(&mut self, id: &UpstreamId, until: Deadline) {
        if let Some(listed) = self.listed.get_mut(id) {
            listed.crashed_until = until;
        }
    }

    /// Forgets which upstreams count as crashed.
    pub fn forget_crashes(&mut self) {
        self.listed.values_mut().for_each(|listed| listed.crashed_until = Deadline::default());
    }

    /// Whether an upstream currently counts as crashed.
    pub fn has_crashed(&self, id: &UpstreamId, now: Moment) -> bool {
        self.listed.get(id).is_some_and(|listed| !listed.crashed_until.passed(now))
    }

    /// Whether an upstream is in use and not leaving. To be checked right before each send, since
    /// it may have started to leave while it was chosen and connected to.
    pub fn may_send(&self, id: &UpstreamId) -> bool {
        self.entry(id).is_some_and(|entry| !entry.is_leaving)
    }

    /// Position of the record by which an upstream is listed; `None` if it is not.
    pub fn revision(&self, id: &UpstreamId) -> Option<ListRevision> {
        let listed = self.listed.get(id).filter(|listed| listed.removal.is_none());
        listed.map(|listed| listed.entry.revision)
    }

    /// Entry of an upstream; `None` if it is not in use.
    pub fn entry(&self, id: &UpstreamId) -> Option<&UpstreamEntry> {
        let listed = self.listed.get(id).filter(|listed| self.is_in_use(listed));
        listed.map(|listed| &listed.entry)
    }

    /// Upstreams of a service that may get new work: those that don't count as crashed, or all that
    /// aren't leaving if every one counts as crashed. In the latter case this daemon may itself be
    /// cut off, and must notice when it no longer is; a refused connection costs nothing.
    pub fn serving(
        &self,
        service: &ServiceName,
        now: Moment,
    ) -> impl Iterator<Item = &UpstreamEntry> {
        let listed = || {
            let ids = self.by_service.get(service).into_iter().flat_map(ServiceRings::all);
            let listed = ids.filter_map(|id| self.listed.get(id));
            listed.filter(|listed| self.is_in_use(listed))
        };
        let is_any_usable = listed().any(|listed| listed.is_usable(now));
        listed()
            .filter(move |listed| !is_any_usable || listed.is_usable(now))
            .map(|listed| &listed.entry)
            .filter(|entry| !entry.is_leaving)
    }

    /// Upstreams of a service that may get new work, from a ring position on, once around.
    pub fn serving_from(
        &self,
        service: &ServiceName,
        start: RingPosition,
        now: Moment,
    ) -> impl Iterator<Item = &UpstreamEntry> {
        let rings = self.by_service.get(service).into_iter();
        self.usable(rings.flat_map(move |rings| rings.from(start)), now)
    }

    /// Upstreams that are not leaving, at most so many of each service that the configuration names,
    /// from a ring position on.
    pub fn sample(&self, start: RingPosition, size: usize) -> impl Iterator<Item = &UpstreamEntry> {
        let is_named = |service: &ServiceName| {
            self.services.as_ref().is_none_or(|services| services.contains(service))
        };
        let rings = self.by_service.iter().filter(move |(service, _)| is_named(service));
        let ids = rings.flat_map(move |(_, rings)| rings.from(start).take(size));
        ids.filter_map(|id| self.entry(id)).filter(|entry| !entry.is_leaving)
    }

    fn usable<'a>(
        &'a self,
        ids: impl Iterator<Item = &'a UpstreamId>,
        now: Moment,
    ) -> impl Iterator<Item = &'a UpstreamEntry> {
        let listed = ids.filter_map(|id| self.listed.get(id));
        listed
            .filter(move |listed| self.is_in_use(listed) && listed.is_usable(now))
            .map(|listed| &listed.entry)
    }

    /// The upstreams of a service that a daemon uses: all that may get new work, but of a large service
    /// those of its data centre from its own place on the ring on, and if there are too few, those
    /// that follow it in any data centre.
    pub fn candidates(
        &self,
        service: &ServiceName,
        daemon: &MemberName,
        data_centre: &DataCentre,
        now: Moment,
    ) -> Vec<&UpstreamEntry> {
        if self.service_count(service) <= MAX_CANDIDATES {
            return self.serving(service, now).collect();
        }
        let Some(rings) = self.by_service.get(service) else { return Vec::new() };
        let place = RingPosition::of(daemon.as_str());
        let local = self.usable(rings.local_from(data_centre, place), now);
        let mut subset: Vec<&UpstreamEntry> = local.take(MAX_CANDIDATES).collect();
        let lacking = MAX_CANDIDATES - subset.len();
        let others = self.usable(rings.from(place), now);
        let others = others.filter(|entry| entry.data_centre != *data_centre);
        subset.extend(others.take(lacking));
        subset
    }

    /// The upstreams of a service with a software version that a daemon uses: all that may get new work,
    /// but at most so many as of a large service, from the daemon's own place on the ring on. They are
    /// sought among all upstreams, since few may have the version. If every upstream of the service counts
    /// as crashed, those with the version are returned.
    pub fn candidates_of(
        &self,
        service: &ServiceName,
        software: &SoftwareVersion,
        daemon: &MemberName,
        now: Moment,
    ) -> Vec<&UpstreamEntry> {
        let place = RingPosition::of(daemon.as_str());
        let has_version = |entry: &&UpstreamEntry| entry.software.as_ref() == Some(software);
        let usable = self.serving_from(service, place, now).filter(has_version);
        let candidates: Vec<&UpstreamEntry> = usable.take(MAX_CANDIDATES).collect();
        if !candidates.is_empty() {
            return candidates;
        }
        self.serving(service, now).filter(has_version).take(MAX_CANDIDATES).collect()
    }

    /// Whether any configured service has so many upstreams that daemons use subsets of them.
    pub fn has_large_service(&self) -> bool {
        let is_named = |service: &ServiceName| {
            self.services.as_ref().is_none_or(|services| services.contains(service))
        };
        let large = |(service, rings): (&ServiceName, &ServiceRings)| {
            is_named(service) && rings.count() > MAX_CANDIDATES
        };
        self.by_service.iter().any(large)
    }

    /// Number of upstreams of a service, those that were removed and are not forgotten included.
    pub fn service_count(&self, service: &ServiceName) -> usize {
        self.by_service.get(service).map_or(0, ServiceRings::count)
    }

    /// In what order the entries changed.
    pub fn history(&self) -> &ListHistory {
        &self.history
    }

    /// Notes which record removed an upstream.
    pub fn note_removal(&mut self, id: &UpstreamId, revision: ListRevision) {
        self.history.note_removal(id, revision);
    }

    /// Digest of the listed ids and whether each is leaving; equal on all daemons with the same
    /// entries, in whatever order these were applied, and whatever removed upstreams they still use.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of listed upstreams, including those of services not configured.
    pub fn count(&self) -> usize {
        self.listed.len() - self.removed_count
    }

    /// Upstreams of the services that the configuration names; all until one is applied.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let is_named = |entry: &&UpstreamEntry| {
            self.services.as_ref().is_none_or(|services| services.contains(&entry.service))
        };
        let used = self.listed.values().filter(|listed| self.is_in_use(listed));
        used.map(|listed| &listed.entry).filter(is_named)
    }

    fn drop_entry(&mut self, id: &UpstreamId) {
        let Some(listed) = self.listed.remove(id) else { return };
        self.census.note_removed(&listed.entry.service, listed.entry.software.as_ref());
        if listed.removal.is_some() {
            self.removed_count -= 1;
        } else {
            self.digest = self.digest.wrapping_sub(entry_digest(&listed.entry));
            self.history.forget_entry(id, listed.entry.revision);
        }
        if let Some(rings) = self.by_service.get_mut(&listed.entry.service) {
            rings.remove(id, &listed.entry.data_centre);
        }
    }
}

fn entry_digest(entry: &UpstreamEntry) -> u64 {
    let mut hasher = FxHasher::default();
    (&entry.id, entry.is_leaving).hash(&mut hasher);
    hasher.finish()
}

/// The higher version of each listed model. The list lags behind what upstreams report themselves,
/// and versions only grow.
fn newest_versions(
    known: &FastMap<ModelName, WeightVersion>,
    listed: &FastMap<ModelName, WeightVersion>,
) -> FastMap<ModelName, WeightVersion> {
    let newest = |(model, version): (&ModelName, &WeightVersion)| {
        let before = known.get(model).copied().unwrap_or_default();
        (model.clone(), before.max(*version))
    };
    listed.iter().map(newest).collect()
}
