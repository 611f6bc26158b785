//! The upstreams as the platform's list has them, late and with outages.
//!
//! An id names one start of one upstream and is never used again. Leaving is final for an id. An
//! upstream that starts again under its name replaces its earlier start at once; what comes late of
//! that one changes nothing.

use crate::upstreams::list_order::{ListOrder, ListRevision};
use guava_types::{
    DataCentre, Deadline, FastMap, FastSet, ModelName, Moment, ServiceName, UpstreamId,
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

/// How long after the list's return an entry that lapsed meanwhile may still come back, in
/// milliseconds. The list's contract: about two seconds.
const LAPSE_GRACE_MS: u64 = 2_000;

/// How much later than known a cold upstream must turn warm for that to be news, in milliseconds:
/// each entry that is read tells what was left when it was written, some tenths of a second before.
const COLD_NEWS_MS: u64 = 1_000;

/// Names whose newest start is remembered, beyond the upstreams that are listed: late messages come
/// within seconds, and within these no deployment replaces so many.
const REMEMBERED_NAMES: usize = 4_096;

/// For how long versions that an engine has refused are ruled out, in milliseconds: its heartbeat and
/// the list's readers tell its weights within about that time.
const RULED_OUT_MS: u64 = 2_000;

/// Versions that an engine does not have, by its refusals, while nobody tells which it has.
#[derive(Clone, Debug)]
struct VersionDoubt {
    model: ModelName,
    ruled_out: Vec<WeightVersion>,
    until: Deadline,
}

/// An upstream as the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// This start of it.
    pub id: UpstreamId,
    /// Which record of the list this is.
    pub revision: ListRevision,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Until when it is cold.
    pub cold_until: Deadline,
    /// Weights that it serves, by model.
    pub versions: FastMap<ModelName, WeightVersion>,
}

#[derive(Clone, Debug)]
struct ListedUpstream {
    entry: UpstreamEntry,
    /// Set while the entry is missing from the list and may still come back.
    dropped_at: Option<Deadline>,
    /// Set while new weights are being loaded, as far as is known.
    loading_until: Deadline,
    /// Set while nobody listens at its address.
    ended_until: Deadline,
    doubt: Option<VersionDoubt>,
}

/// What a change of the list did, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListChangeEffect {
    /// Nothing new.
    Same,
    /// A new upstream.
    Added,
    /// It started again under its name; nothing that was learnt of the one before holds.
    Restarted,
    /// It has newer weights.
    Weights,
    /// It is cold, for longer than was known.
    Cold,
    /// It takes no new work from now on.
    Leaving,
    /// Its entry is gone, but may come back: it lapsed while the list was away.
    Lapsed,
    /// It is gone.
    Removed,
}

impl ListChangeEffect {
    /// In a word, for logs.
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

/// The upstreams.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    listed: FastMap<UpstreamId, ListedUpstream>,
    by_service: FastMap<ServiceName, Vec<UpstreamId>>,
    /// The newest start known of each name, kept for a while after it is gone.
    newest: FastMap<Box<str>, UpstreamId>,
    /// Services that the configuration names, once there is one.
    services: Option<FastSet<ServiceName>>,
    is_known: bool,
    is_unavailable: bool,
    returned: Moment,
    order: ListOrder,
}

impl UpstreamTable {
    /// The order of the list's records.
    pub fn order(&mut self) -> &mut ListOrder {
        &mut self.order
    }

    /// Whether the list was ever read.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Notes that the list can't be read; what is known stays in use. Whether that is news.
    pub fn note_unavailable(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unavailable, true)
    }

    /// Whether the list could not be read the last time.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Notes that the list was read, before what it says is taken in. Whether it was away.
    pub fn note_read(&mut self, now: Moment) -> bool {
        self.is_known = true;
        let was_away = std::mem::replace(&mut self.is_unavailable, false);
        if was_away {
            self.returned = now;
        }
        was_away
    }

    /// Notes which services the configuration names: an entry of another is nobody's engine.
    pub fn note_services(&mut self, services: FastSet<ServiceName>) {
        self.services = Some(services);
    }

    /// The newest start known of an upstream.
    pub fn newest_start(&self, name: &str) -> Option<&UpstreamId> {
        self.newest.get(name)
    }

    /// Takes in that somebody speaks of a start of an upstream; whether an earlier one was listed,
    /// which is dropped with all that was learnt of it.
    pub fn note_start(&mut self, id: &UpstreamId) -> bool {
        let before = self.newest.get(id.name());
        if before.is_some_and(|before| !before.is_before(id)) {
            return false;
        }
        let before = before.cloned();
        if self.newest.len() >= self.listed.len() + REMEMBERED_NAMES {
            let listed = &self.listed;
            self.newest.retain(|_, id| listed.contains_key(id));
        }
        self.newest.insert(id.name().into(), id.clone());
        let was_listed = before.as_ref().is_some_and(|before| self.listed.contains_key(before));
        before.iter().for_each(|before| self.drop_entry(before));
        was_listed
    }

    /// Takes an entry in; one of an earlier start than the newest known changes nothing.
    pub fn note_entry(&mut self, entry: UpstreamEntry) -> ListChangeEffect {
        let is_restart = self.note_start(&entry.id);
        let newest = self.newest.get(entry.id.name());
        if newest.is_some_and(|newest| entry.id.is_before(newest)) {
            return ListChangeEffect::Same;
        }
        match self.listed.get_mut(&entry.id) {
            None => {
                self.by_service.entry(entry.service.clone()).or_default().push(entry.id.clone());
                let id = entry.id.clone();
                let listed = ListedUpstream {
                    entry,
                    dropped_at: None,
                    loading_until: Deadline::default(),
                    ended_until: Deadline::default(),
                    doubt: None,
                };
                self.listed.insert(id, listed);
                if is_restart { ListChangeEffect::Restarted } else { ListChangeEffect::Added }
            }
            Some(listed) => {
                listed.dropped_at = None;
                let was_leaving = listed.entry.is_leaving;
                let versions = newest_versions(&listed.entry.versions, &entry.versions);
                let has_news = listed.entry.versions != entry.versions;
                let cold_until = listed.entry.cold_until;
                let is_colder = Deadline::after(cold_until.0, COLD_NEWS_MS) < entry.cold_until;
                listed.entry = entry;
                // An entry that comes late must not end it sooner.
                listed.entry.cold_until = listed.entry.cold_until.max(cold_until);
                listed.entry.versions = versions;
                let is_change = listed.entry.is_leaving && !was_leaving;
                // Leaving is final: an older copy of the entry must not bring new work back.
                listed.entry.is_leaving |= was_leaving;
                match (is_change, has_news, is_colder) {
                    (true, ..) => ListChangeEffect::Leaving,
                    (false, true, _) => ListChangeEffect::Weights,
                    (false, false, true) => ListChangeEffect::Cold,
                    (false, false, false) => ListChangeEffect::Same,
                }
            }
        }
    }

    /// Notes that an entry was removed from the list.
    ///
    /// Entries lapse while the list is away, since upstreams can't renew them. Dropping all of
    /// them at once would refuse every request though all upstreams serve; so after an outage an
    /// entry counts for the time in which living upstreams register again.
    pub fn note_removed(&mut self, id: &UpstreamId, now: Moment) -> ListChangeEffect {
        let Some(listed) = self.listed.get_mut(id) else { return ListChangeEffect::Same };
        let grace = Deadline::after(self.returned, LAPSE_GRACE_MS);
        let may_return = !listed.entry.is_leaving && self.is_known && !grace.passed(now);
        if may_return && self.returned != Moment::default() {
            listed.dropped_at = Some(grace);
            return ListChangeEffect::Lapsed;
        }
        self.drop_entry(id);
        ListChangeEffect::Removed
    }

    /// Takes in the whole list as of a revision: entries that are not in it are removed, unless a
    /// peer told a later record of theirs.
    pub fn note_list(
        &mut self,
        entries: Vec<UpstreamEntry>,
        end: ListRevision,
        now: Moment,
    ) -> Vec<(UpstreamId, ListChangeEffect)> {
        self.order.note_position(end);
        // An entry of another start of it: that one replaces it, or is older.
        let is_named = |id: &UpstreamId| entries.iter().any(|entry| entry.id.name() == id.name());
        let missing: Vec<UpstreamId> = self
            .listed
            .iter()
            .filter(|(id, listed)| listed.dropped_at.is_none() && !is_named(id))
            .filter(|(id, _)| !self.order.is_told(id.name()))
            .map(|(id, _)| id.clone())
            .collect();
        let removed = missing.into_iter().map(|id| {
            let change = self.note_removed(&id, now);
            (id, change)
        });
        let mut changes: Vec<(UpstreamId, ListChangeEffect)> = removed.collect();
        for entry in entries {
            let id = entry.id.clone();
            // The list is read in parts: an entry may be newer than its beginning.
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

    /// Drops the entries whose time to come back is over; which they were.
    pub fn drop_lapsed(&mut self, now: Moment) -> Vec<UpstreamId> {
        let is_over = |listed: &ListedUpstream| listed.dropped_at.is_some_and(|at| at.passed(now));
        let over: Vec<UpstreamId> = self
            .listed
            .iter()
            .filter(|(_, listed)| is_over(listed))
            .map(|(id, _)| id.clone())
            .collect();
        over.iter().for_each(|id| self.drop_entry(id));
        over
    }

    /// Notes that the upstream at an address is not the one with this id any more.
    pub fn note_replaced(&mut self, id: &UpstreamId) {
        self.drop_entry(id);
    }

    /// Notes which weights an upstream serves, by its own report.
    pub fn note_version(&mut self, id: &UpstreamId, model: &ModelName, version: WeightVersion) {
        let Some(listed) = self.listed.get_mut(id) else { return };
        let known = listed.entry.versions.entry(model.clone()).or_default();
        *known = version.max(*known);
        if listed.doubt.as_ref().is_some_and(|doubt| doubt.model == *model) {
            listed.doubt = None;
        }
    }

    /// Notes that an engine refused a request since it does not have a version.
    pub fn rule_out(
        &mut self,
        id: &UpstreamId,
        model: &ModelName,
        version: WeightVersion,
        now: Moment,
    ) {
        let Some(listed) = self.listed.get_mut(id) else { return };
        let until = Deadline::after(now, RULED_OUT_MS);
        let before = listed.doubt.take().filter(|doubt| !doubt.until.passed(now));
        let mut ruled_out = before.filter(|doubt| doubt.model == *model);
        let doubt = ruled_out.get_or_insert_with(|| VersionDoubt {
            model: model.clone(),
            ruled_out: Vec::new(),
            until,
        });
        doubt.ruled_out.push(version);
        listed.doubt = ruled_out;
    }

    /// The version that an engine has of a model, as far as can be told: the one known, or while it
    /// refuses that, the newest published one that it has not refused.
    ///
    /// A guess is never taken for knowledge: an engine two publications behind would be believed to
    /// have the newest weights for good, refuse what it is sent, and never be ordered to load them.
    pub fn version(
        &self,
        id: &UpstreamId,
        model: &ModelName,
        published: &[WeightVersion],
        now: Moment,
    ) -> Option<WeightVersion> {
        let listed = self.listed.get(id)?;
        let known = *listed.entry.versions.get(model)?;
        let is_doubted = |doubt: &&VersionDoubt| doubt.model == *model && !doubt.until.passed(now);
        let Some(doubt) = listed.doubt.as_ref().filter(is_doubted) else { return Some(known) };
        let possible =
            |version: &&WeightVersion| **version >= known && !doubt.ruled_out.contains(version);
        published.iter().filter(possible).max().copied()
    }

    /// Notes that an upstream loads new weights until about a deadline.
    pub fn note_loading(&mut self, id: &UpstreamId, until: Deadline) {
        if let Some(listed) = self.listed.get_mut(id) {
            listed.loading_until = until;
        }
    }

    /// Whether an upstream loads new weights, as far as is known.
    pub fn is_loading(&self, id: &UpstreamId, now: Moment) -> bool {
        self.listed.get(id).is_some_and(|listed| !listed.loading_until.passed(now))
    }

    /// Notes that nobody listens at an upstream's address: it gets no work from this daemon until a
    /// deadline. Its entry lapses only seconds after it ended, and until then each request that went
    /// there took one of its few tries.
    pub fn note_crashed(&mut self, id: &UpstreamId, until: Deadline) {
        if let Some(listed) = self.listed.get_mut(id) {
            listed.ended_until = until;
        }
    }

    /// Whether an upstream has ended, as far as is known.
    pub fn has_crashed(&self, id: &UpstreamId, now: Moment) -> bool {
        self.listed.get(id).is_some_and(|listed| !listed.ended_until.passed(now))
    }

    /// Whether new work may go to an upstream; asked right before each send, since choosing one
    /// and connecting to it take time in which it may have left.
    pub fn may_send(&self, id: &UpstreamId) -> bool {
        self.listed.get(id).is_some_and(|listed| !listed.entry.is_leaving)
    }

    /// An upstream by its id.
    pub fn entry(&self, id: &UpstreamId) -> Option<&UpstreamEntry> {
        self.listed.get(id).map(|listed| &listed.entry)
    }

    /// The upstreams of a service that may get new work: those that have not ended, or all if nobody
    /// of them listens. Then this daemon may be the one that is cut off, and has to see when it is
    /// not any more; a refused connection costs nothing.
    pub fn serving(
        &self,
        service: &ServiceName,
        now: Moment,
    ) -> impl Iterator<Item = &UpstreamEntry> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let is_there = move |listed: &&ListedUpstream| {
            listed.ended_until.passed(now) && !listed.entry.is_leaving
        };
        let listed = || ids.iter().filter_map(|id| self.listed.get(id));
        let is_any_there = listed().any(|listed| is_there(&listed));
        listed()
            .filter(move |listed| !is_any_there || is_there(listed))
            .map(|listed| &listed.entry)
            .filter(|entry| !entry.is_leaving)
    }

    /// A number that is the same for all daemons that know the same upstreams as serving or
    /// leaving, whatever order they learnt it in.
    pub fn digest(&self) -> u64 {
        let digest = |listed: &ListedUpstream| {
            let mut hasher = FxHasher::default();
            (&listed.entry.id, listed.entry.is_leaving).hash(&mut hasher);
            hasher.finish()
        };
        self.listed.values().map(digest).fold(0, u64::wrapping_add)
    }

    /// How many upstreams are known.
    pub fn count(&self) -> usize {
        self.listed.len()
    }

    /// All upstreams of services that the configuration names.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let is_named = |entry: &&UpstreamEntry| {
            self.services.as_ref().is_none_or(|services| services.contains(&entry.service))
        };
        self.listed.values().map(|listed| &listed.entry).filter(is_named)
    }

    fn drop_entry(&mut self, id: &UpstreamId) {
        let Some(listed) = self.listed.remove(id) else { return };
        if let Some(ids) = self.by_service.get_mut(&listed.entry.service) {
            ids.retain(|other| other != id);
        }
    }
}

/// The list lags behind what upstreams say themselves, and versions only grow.
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
