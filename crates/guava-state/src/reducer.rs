//! The reducer: applies log records to the shared state one at a time, without clock, randomness or
//! I/O.

use crate::{
    ChangeRequest, ConfigObject, CustomerSpec, IntentTable, IntentVerdict, LeaseEntry,
    LeaseRequest, LogRecord, MemberEntry, ModelSpec, ObjectKey, RecordBody, ServiceSpec,
    StoredObject, UpstreamSpec, WeightProfile,
};
use guava_types::{
    CustomerId, DataCentre, Incarnation, ModelName, Offset, RecordId, RequestDigest, ServiceName,
    UpstreamId, WallTime,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Changes kept for the history and to distinguish a repeated append from a new change.
const MAX_HISTORY_ENTRIES: usize = 512;
/// Incarnations that left whose successors are kept; superseded incarnations have the same limit.
const MAX_SUCCESSORS: usize = 4_096;

/// Quarantined requests kept. Each of them was in flight at several crashes, so they are few.
const MAX_QUARANTINES: usize = 256;

/// Decision on a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeVerdict {
    /// The change is in force.
    Accepted {
        /// The object's new revision.
        revision: Offset,
    },
    /// The object's revision is not the one that the change was made against.
    Raced {
        /// The revision in force.
        current: Offset,
        /// Operator of the change in force; `unknown` if the history no longer has it.
        winner: Box<str>,
    },
    /// The value is not allowed.
    Invalid {
        /// The field and the rule that it breaks.
        reason: Box<str>,
    },
}

/// One decided change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Identity of the change's record.
    pub id: RecordId,
    /// Offset of the record in the log.
    pub offset: Offset,
    /// Operator that requested the change.
    pub operator: Box<str>,
    /// The changed object.
    pub object: ObjectKey,
    /// Decision on the change.
    pub verdict: ChangeVerdict,
}

/// Effect of folding one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The bytes are not a valid record; every daemon skips them.
    Skipped {
        /// The decoder's error.
        reason: Box<str>,
    },
    /// The offset was folded before; the state is unchanged.
    Repeated,
    /// A change was accepted or refused.
    Change {
        /// The record's identity.
        id: RecordId,
        /// Decision on the change.
        verdict: ChangeVerdict,
    },
    /// Decision on each intent of the record, in their order.
    Intents(Vec<(RecordId, IntentVerdict)>),
    /// Any other record: the roster, a lease, releases, a quarantine or a snapshot.
    Other {
        /// The record's identity.
        id: RecordId,
    },
}

/// The shared state after all records before `next`.
///
/// Ordered maps instead of the fast hash maps used elsewhere: daemons compare the digest of the
/// state's text, so the text must be the same on every daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    next: Offset,
    objects: BTreeMap<ObjectKey, StoredObject>,
    members: BTreeMap<Incarnation, MemberEntry>,
    successors: VecDeque<(Incarnation, Incarnation)>,
    stamps: BTreeMap<Incarnation, WallTime>,
    log_time: WallTime,
    intents: IntentTable,
    leases: BTreeMap<Box<str>, LeaseEntry>,
    history: VecDeque<HistoryEntry>,
    snapshot_at: Offset,
    superseded: VecDeque<Incarnation>,
    /// Quarantined requests, and how often each was quarantined.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    stops: BTreeMap<RequestDigest, u32>,
}

impl FleetState {
    /// The first offset that has not been folded.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Offset of the last snapshot record, or zero.
    pub fn snapshot_at(&self) -> Offset {
        self.snapshot_at
    }

    /// The daemons on the roster, by incarnation.
    pub fn members(&self) -> &BTreeMap<Incarnation, MemberEntry> {
        &self.members
    }

    /// Whether a later incarnation of the same name has replaced this one; it can't join again.
    pub fn is_superseded(&self, incarnation: Incarnation) -> bool {
        self.superseded.contains(&incarnation)
    }

    /// The intents whose keys have not expired.
    pub fn intents(&self) -> &IntentTable {
        &self.intents
    }

    /// Crash-inducing requests in quarantine, and how often each was quarantined.
    pub fn stops(&self) -> &BTreeMap<RequestDigest, u32> {
        &self.stops
    }

    /// The lease of this name, or `None` if it was never taken.
    pub fn lease(&self, name: &str) -> Option<&LeaseEntry> {
        self.leases.get(name)
    }

    /// All leases by name.
    pub fn leases(&self) -> &BTreeMap<Box<str>, LeaseEntry> {
        &self.leases
    }

    /// Decided changes, accepted and refused, oldest first; older ones are dropped.
    pub fn history(&self) -> &VecDeque<HistoryEntry> {
        &self.history
    }

    /// All objects that were ever set, deleted ones included.
    pub fn objects(&self) -> &BTreeMap<ObjectKey, StoredObject> {
        &self.objects
    }

    /// An object and its revision; revision zero if it was never set.
    pub fn object(&self, key: &ObjectKey) -> StoredObject {
        let none = StoredObject { revision: Offset(0), object: None };
        self.objects.get(key).cloned().unwrap_or(none)
    }

    /// A customer's settings, or `None` if it is not configured.
    pub fn customer(&self, id: &CustomerId) -> Option<&CustomerSpec> {
        match self.objects.get(&ObjectKey::customer(id))?.object.as_ref()? {
            ConfigObject::Customer(spec) => Some(spec),
            _ => None,
        }
    }

    /// A model's settings, or `None` if it is not configured.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        match self.objects.get(&ObjectKey::model(name))?.object.as_ref()? {
            ConfigObject::Model(spec) => Some(spec),
            _ => None,
        }
    }

    /// A service's settings, or `None` if it is not configured.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        match self.objects.get(&ObjectKey::service(name))?.object.as_ref()? {
            ConfigObject::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// An upstream's settings, or `None` if it is not configured.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&UpstreamSpec> {
        match self.objects.get(&ObjectKey::upstream(id))?.object.as_ref()? {
            ConfigObject::Upstream(spec) => Some(spec),
            _ => None,
        }
    }

    /// All configured upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamId, &UpstreamSpec)> {
        self.objects.iter().filter_map(|(key, stored)| match stored.object.as_ref()? {
            ConfigObject::Upstream(spec) => Some((key.name.parse().ok()?, spec)),
            _ => None,
        })
    }

    /// Whether a data centre is drained: its upstreams get no new work.
    pub fn is_drained(&self, data_centre: &DataCentre) -> bool {
        let stored = self.objects.get(&ObjectKey::data_centre(data_centre));
        match stored.and_then(|stored| stored.object.as_ref()) {
            Some(ConfigObject::DataCentre(spec)) => spec.drained,
            _ => false,
        }
    }

    /// The weights of the routing measures; the default if none are configured.
    pub fn profile(&self) -> WeightProfile {
        let stored = self.objects.get(&ObjectKey::profile());
        match stored.and_then(|stored| stored.object.as_ref()) {
            Some(ConfigObject::Profile(profile)) => *profile,
            _ => WeightProfile::default(),
        }
    }

    /// The incarnation that now holds the answers of another: follows the successors named by those
    /// that left.
    pub fn successor_of(&self, incarnation: Incarnation) -> Incarnation {
        let mut current = incarnation;
        for _ in 0..self.successors.len() {
            match self.successors.iter().find(|(from, _)| *from == current) {
                Some((_, to)) => current = *to,
                None => break,
            }
        }
        current
    }

    /// Folds the bytes found at an offset.
    ///
    /// Offsets must ascend; folding one that was folded before changes nothing.
    pub fn fold(&mut self, offset: Offset, bytes: &[u8]) -> FoldOutcome {
        if offset < self.next {
            return FoldOutcome::Repeated;
        }
        self.next = offset.next();
        match LogRecord::decode(bytes) {
            Ok(record) => self.apply(offset, record),
            Err(error) => FoldOutcome::Skipped { reason: error.to_string().into() },
        }
    }

    fn apply(&mut self, offset: Offset, record: LogRecord) -> FoldOutcome {
        let id = record.id;
        let author = record.author;
        let outcome = match record.body {
            RecordBody::Change(change) => {
                let verdict = self.decide_change(offset, id, change);
                FoldOutcome::Change { id, verdict }
            }
            RecordBody::Intents(entries) => {
                let decide = |entry| (self.intents.note_intent(entry, author), entry.id);
                let verdicts = entries.iter().map(decide).map(|(verdict, id)| (id, verdict));
                FoldOutcome::Intents(verdicts.collect())
            }
            RecordBody::Releases(entries) => {
                entries.iter().for_each(|entry| self.intents.release(entry, author));
                FoldOutcome::Other { id }
            }
            RecordBody::Join(member) => {
                self.join(author, member);
                FoldOutcome::Other { id }
            }
            RecordBody::Leave { successor } => {
                self.remove_member(author);
                self.note_successor(author, successor);
                FoldOutcome::Other { id }
            }
            RecordBody::Evict { incarnation } => {
                self.remove_member(incarnation);
                FoldOutcome::Other { id }
            }
            RecordBody::Lease(request) => {
                self.decide_lease(offset, author, request);
                FoldOutcome::Other { id }
            }
            RecordBody::Stop { request, times } => {
                self.note_quarantine(request, times);
                FoldOutcome::Other { id }
            }
            RecordBody::Unstop { request } => {
                self.stops.remove(&request);
                FoldOutcome::Other { id }
            }
            RecordBody::Snapshot(part) => {
                if part.part + 1 == part.parts {
                    self.snapshot_at = offset;
                }
                FoldOutcome::Other { id }
            }
        };
        self.advance_log_time(author, record.wall);
        outcome
    }

    /// Adds a starting daemon to the roster and removes earlier incarnations of the same name.
    ///
    /// Otherwise incarnations that exited would count until their eviction, and a few restarts
    /// within that time would leave the running daemons without a majority: every change would be
    /// refused, and every daemon that can't read the log would be stale.
    fn join(&mut self, author: Incarnation, member: MemberEntry) {
        if self.superseded.contains(&author) {
            return;
        }
        let same_name = |(id, other): (&Incarnation, &MemberEntry)| {
            (other.name == member.name && *id != author).then_some(*id)
        };
        let replaced: Vec<Incarnation> = self.members.iter().filter_map(same_name).collect();
        for incarnation in replaced {
            self.remove_member(incarnation);
            if self.superseded.len() == MAX_SUCCESSORS {
                self.superseded.pop_front();
            }
            self.superseded.push_back(incarnation);
        }
        self.members.insert(author, member);
    }

    fn remove_member(&mut self, incarnation: Incarnation) {
        self.members.remove(&incarnation);
        self.stamps.remove(&incarnation);
    }

    fn note_successor(&mut self, from: Incarnation, successor: Option<Incarnation>) {
        let Some(successor) = successor else { return };
        if self.successors.len() == MAX_SUCCESSORS {
            self.successors.pop_front();
        }
        self.successors.push_back((from, successor));
    }

    fn note_quarantine(&mut self, request: RequestDigest, times: u32) {
        if self.stops.len() >= MAX_QUARANTINES && !self.stops.contains_key(&request) {
            self.stops.pop_first();
        }
        let known = self.stops.entry(request).or_default();
        *known = times.max(*known);
    }

    fn decide_change(
        &mut self,
        offset: Offset,
        id: RecordId,
        change: ChangeRequest,
    ) -> ChangeVerdict {
        // The answer to an append can be lost after the append took effect; the operator's daemon
        // then appends the same record again. Without this check the copy would be compared with
        // the revision that the first one set, and the operator would get "raced" for a change that
        // is in force.
        if let Some(entry) = self.history.iter().find(|entry| entry.id == id) {
            return entry.verdict.clone();
        }
        let verdict = self.change_verdict(offset, &change);
        if let ChangeVerdict::Accepted { revision } = verdict {
            let stored = StoredObject { revision, object: change.value };
            self.objects.insert(change.object.clone(), stored);
        }
        if self.history.len() == MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
        self.history.push_back(HistoryEntry {
            id,
            offset,
            operator: change.operator,
            object: change.object,
            verdict: verdict.clone(),
        });
        verdict
    }

    fn change_verdict(&self, offset: Offset, change: &ChangeRequest) -> ChangeVerdict {
        let current = self.object(&change.object).revision;
        if current != change.against {
            let winner = self.winner(&change.object);
            return ChangeVerdict::Raced { current, winner };
        }
        let Some(value) = &change.value else {
            return ChangeVerdict::Accepted { revision: offset.next() };
        };
        if value.kind() != change.object.kind {
            return ChangeVerdict::Invalid { reason: "value: of another kind than the key".into() };
        }
        match value.check() {
            Ok(()) => ChangeVerdict::Accepted { revision: offset.next() },
            Err(error) => ChangeVerdict::Invalid { reason: error.to_string().into() },
        }
    }

    fn winner(&self, object: &ObjectKey) -> Box<str> {
        let accepted = |entry: &&HistoryEntry| {
            entry.object == *object && matches!(entry.verdict, ChangeVerdict::Accepted { .. })
        };
        self.history
            .iter()
            .rev()
            .find(accepted)
            .map_or("unknown".into(), |entry| entry.operator.clone())
    }

    fn decide_lease(&mut self, offset: Offset, author: Incarnation, request: LeaseRequest) {
        let current = self.leases.get(&request.name);
        let renewed = current.map_or(Offset(0), |entry| entry.renewed);
        if renewed != request.against {
            return;
        }
        let token = match current {
            Some(entry) if entry.holder == author => entry.token,
            _ => offset.next(),
        };
        let entry =
            LeaseEntry { holder: author, token, renewed: offset.next(), term_ms: request.term_ms };
        self.leases.insert(request.name, entry);
    }

    /// Advances log time to the second latest wall-clock stamp of the members, so that one clock
    /// that runs ahead can't expire all keys.
    fn advance_log_time(&mut self, author: Incarnation, wall: WallTime) {
        if self.members.contains_key(&author) {
            let stamp = self.stamps.entry(author).or_default();
            *stamp = wall.max(*stamp);
        }
        let mut stamps: Vec<WallTime> = self.stamps.values().copied().collect();
        stamps.sort_unstable();
        let agreed = if stamps.len() < 2 { stamps.last() } else { stamps.get(stamps.len() - 2) };
        self.log_time = agreed.copied().unwrap_or_default().max(self.log_time);
        self.intents.prune(self.log_time);
    }
}
