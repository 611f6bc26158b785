//! The reducer: one record at a time, without clock, randomness or I/O.

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

/// Changes kept for the history and for telling a repeated append from a second change.
const HISTORY_LEN: usize = 512;
/// Departed incarnations whose successors are kept.
const SUCCESSORS_LEN: usize = 4_096;

/// Stopped requests kept: each has cost some upstreams.
const STOPS_LEN: usize = 256;

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeVerdict {
    /// In force from this revision on.
    Accepted {
        /// The object's new revision.
        revision: Offset,
    },
    /// Another change came first.
    Raced {
        /// The revision in force.
        current: Offset,
        /// Who made it.
        winner: Box<str>,
    },
    /// The value is not allowed.
    Invalid {
        /// Why.
        reason: Box<str>,
    },
}

/// One line of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The record's identity.
    pub id: RecordId,
    /// Where it stands in the log.
    pub offset: Offset,
    /// Who asked.
    pub operator: Box<str>,
    /// Which object.
    pub object: ObjectKey,
    /// How it ended.
    pub verdict: ChangeVerdict,
}

/// What folding one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The bytes are no record; all daemons skip them alike.
    Skipped {
        /// Why.
        reason: Box<str>,
    },
    /// The offset had been folded before.
    Repeated,
    /// A change was judged.
    Change {
        /// The record.
        id: RecordId,
        /// How it ended.
        verdict: ChangeVerdict,
    },
    /// Intents were judged.
    Intents(Vec<(RecordId, IntentVerdict)>),
    /// The roster, a lease, releases or a snapshot.
    Other {
        /// The record.
        id: RecordId,
    },
}

/// The shared state after all records before `next`.
///
/// Ordered maps, against the house's rule of fast hash maps: the state's text must be the same on
/// every daemon, because its digest is compared.
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
    /// Requests under which upstreams end, and how often each was stopped.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    stops: BTreeMap<RequestDigest, u32>,
}

impl FleetState {
    /// The first offset not folded yet.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Offset of the last snapshot record, or zero.
    pub fn snapshot_at(&self) -> Offset {
        self.snapshot_at
    }

    /// The daemons on the roster.
    pub fn members(&self) -> &BTreeMap<Incarnation, MemberEntry> {
        &self.members
    }

    /// Whether another incarnation has taken this one's name, for good.
    pub fn is_superseded(&self, incarnation: Incarnation) -> bool {
        self.superseded.contains(&incarnation)
    }

    /// The intents inside their windows.
    pub fn intents(&self) -> &IntentTable {
        &self.intents
    }

    /// Requests under which upstreams end, and how often each was stopped.
    pub fn stops(&self) -> &BTreeMap<RequestDigest, u32> {
        &self.stops
    }

    /// A lease.
    pub fn lease(&self, name: &str) -> Option<&LeaseEntry> {
        self.leases.get(name)
    }

    /// All leases by name.
    pub fn leases(&self) -> &BTreeMap<Box<str>, LeaseEntry> {
        &self.leases
    }

    /// Changes, oldest first.
    pub fn history(&self) -> &VecDeque<HistoryEntry> {
        &self.history
    }

    /// All objects ever set.
    pub fn objects(&self) -> &BTreeMap<ObjectKey, StoredObject> {
        &self.objects
    }

    /// An object and its revision; revision zero if it was never set.
    pub fn object(&self, key: &ObjectKey) -> StoredObject {
        let none = StoredObject { revision: Offset(0), object: None };
        self.objects.get(key).cloned().unwrap_or(none)
    }

    /// A customer.
    pub fn customer(&self, id: &CustomerId) -> Option<&CustomerSpec> {
        match self.objects.get(&ObjectKey::customer(id))?.object.as_ref()? {
            ConfigObject::Customer(spec) => Some(spec),
            _ => None,
        }
    }

    /// A model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        match self.objects.get(&ObjectKey::model(name))?.object.as_ref()? {
            ConfigObject::Model(spec) => Some(spec),
            _ => None,
        }
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        match self.objects.get(&ObjectKey::service(name))?.object.as_ref()? {
            ConfigObject::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// An upstream.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&UpstreamSpec> {
        match self.objects.get(&ObjectKey::upstream(id))?.object.as_ref()? {
            ConfigObject::Upstream(spec) => Some(spec),
            _ => None,
        }
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamId, &UpstreamSpec)> {
        self.objects.iter().filter_map(|(key, stored)| match stored.object.as_ref()? {
            ConfigObject::Upstream(spec) => Some((key.name.parse().ok()?, spec)),
            _ => None,
        })
    }

    /// Whether a data centre's upstreams get no new work.
    pub fn is_drained(&self, data_centre: &DataCentre) -> bool {
        let stored = self.objects.get(&ObjectKey::data_centre(data_centre));
        match stored.and_then(|stored| stored.object.as_ref()) {
            Some(ConfigObject::DataCentre(spec)) => spec.drained,
            _ => false,
        }
    }

    /// The weights of the measures.
    pub fn profile(&self) -> WeightProfile {
        let stored = self.objects.get(&ObjectKey::profile());
        match stored.and_then(|stored| stored.object.as_ref()) {
            Some(ConfigObject::Profile(profile)) => *profile,
            _ => WeightProfile::default(),
        }
    }

    /// The incarnation that now keeps the answers of another, following those that left in order.
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
    /// Offsets must come in order; one that was folded before changes nothing.
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
                let verdict = self.judge_change(offset, id, change);
                FoldOutcome::Change { id, verdict }
            }
            RecordBody::Intents(entries) => {
                let judge = |entry| (self.intents.take(entry, author), entry.id);
                let verdicts = entries.iter().map(judge).map(|(verdict, id)| (id, verdict));
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
                self.judge_lease(offset, author, request);
                FoldOutcome::Other { id }
            }
            RecordBody::Stop { request, times } => {
                self.note_stop(request, times);
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

    /// A daemon that starts takes the place of the one that had its name.
    ///
    /// Dead members would else count until they are evicted, and a few restarts within that time
    /// would leave the living without a majority: every change refused, every daemon cut from the
    /// log stale.
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
            if self.superseded.len() == SUCCESSORS_LEN {
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
        if self.successors.len() == SUCCESSORS_LEN {
            self.successors.pop_front();
        }
        self.successors.push_back((from, successor));
    }

    fn note_stop(&mut self, request: RequestDigest, times: u32) {
        if self.stops.len() >= STOPS_LEN && !self.stops.contains_key(&request) {
            self.stops.pop_first();
        }
        let known = self.stops.entry(request).or_default();
        *known = times.max(*known);
    }

    fn judge_change(
        &mut self,
        offset: Offset,
        id: RecordId,
        change: ChangeRequest,
    ) -> ChangeVerdict {
        // The append's answer can be lost after it took effect; the operator's daemon then appends
        // the same record again. Judged anew, the copy would lose against itself and the operator
        // would read "raced" for a change that is in force.
        if let Some(entry) = self.history.iter().find(|entry| entry.id == id) {
            return entry.verdict.clone();
        }
        let verdict = self.change_verdict(offset, &change);
        if let ChangeVerdict::Accepted { revision } = verdict {
            let stored = StoredObject { revision, object: change.value };
            self.objects.insert(change.object.clone(), stored);
        }
        if self.history.len() == HISTORY_LEN {
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

    fn judge_lease(&mut self, offset: Offset, author: Incarnation, request: LeaseRequest) {
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

    /// Moves log time to the second latest stamp of the members, so that one clock that runs ahead
    /// can't end the windows of all keys.
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
