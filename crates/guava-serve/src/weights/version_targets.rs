//! Which weights each model should have, and since when that is known.

use crate::upstreams::upstream_table::WeightVersion;
use guava_types::{FastMap, ModelName, Moment};

/// From this long after a newer version was published, an answer on the older one has less worth,
/// in milliseconds.
const FRESH_MS: u64 = 1_500;
/// How long before the time limit for new weights no request is to start on old ones, in
/// milliseconds: reading the publication late and slow links must fit in.
const CUTOFF_MARGIN_MS: u64 = 1_500;

/// Published weights of one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionTarget {
    /// The newest version.
    pub version: WeightVersion,
    /// When this daemon learnt of it.
    pub learned: Moment,
}

/// Age of weights that nobody recorded when they were published, in milliseconds: whoever sees
/// them first records them at once, so all daemons must have stopped right after it. Starting again
/// takes about this long.
const UNRECORDED_AGE_MS: u64 = 2_500;
/// For how long old weights may still be used where the age is recorded but can't be read, in
/// milliseconds: only as long as a daemon that just started may be behind.
const UNREADABLE_LEFT_MS: u64 = 2_000;

/// How long ago weights were published that a daemon finds when it starts, in milliseconds.
///
/// `recorded` is the age by the record of who saw them first: none if there is no record, and none
/// within if it can't be compared yet.
pub fn age_at_start(recorded: Option<Option<u64>>, limit_ms: u64) -> u64 {
    match recorded {
        None => UNRECORDED_AGE_MS,
        Some(None) => limit_ms.saturating_sub(CUTOFF_MARGIN_MS + UNREADABLE_LEFT_MS),
        Some(Some(age_ms)) => age_ms,
    }
}

/// Whether a request may start on some weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionUse {
    /// The newest that is known.
    Newest,
    /// Old, and still as good.
    Older,
    /// Old, and worth less.
    Stale,
    /// Too old.
    Forbidden,
}

/// Time limits for new weights, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionLimits {
    /// In one stretch in which the store was in reach.
    pub stretch_ms: u64,
    /// In all such stretches.
    pub total_ms: u64,
}

/// A time in which no daemon reached the store.
#[derive(Clone, Copy, Debug)]
struct StoreOutage {
    from: Moment,
    until: Moment,
}

/// The targets of all models; a lower version never replaces a higher one.
///
/// Engines can't be ordered while the store is away, since nobody can hold the lease. If the time
/// limit ran on meanwhile, the old weights would be given up with few engines on the new ones, and
/// most requests refused for as long as the rollout then takes; it counts the time in reach only.
#[derive(Debug, Default)]
pub struct VersionTargets {
    outages: Vec<StoreOutage>,
    away_since: Option<Moment>,
    /// By model, newest last.
    past: FastMap<ModelName, Vec<VersionTarget>>,
}

/// Publications remembered for each model, newest last: a version is judged from the publication
/// of the one that follows it.
const REMEMBERED: usize = 16;

impl VersionTargets {
    /// Takes in that a version was published by some moment at the latest; whether it is news.
    ///
    /// A daemon that starts reads the newest version without its age; one that counted from its
    /// own start would go on using old weights long after the time limit. Peers know better, and
    /// the earliest moment counts.
    pub fn offer(&mut self, model: &ModelName, version: WeightVersion, learned: Moment) -> bool {
        let past = self.past.entry(model.clone()).or_default();
        if let Some(known) = past.iter_mut().find(|target| target.version == version) {
            known.learned = known.learned.min(learned);
            return false;
        }
        if past.last().is_some_and(|newest| newest.version > version) {
            return false;
        }
        past.push(VersionTarget { version, learned });
        if past.len() > REMEMBERED {
            past.remove(0);
        }
        true
    }

    /// Notes since when no daemon has reached the store, or that one has.
    pub fn note_store(&mut self, away_since: Option<Moment>, now: Moment) {
        let ended = self.away_since.filter(|_| away_since.is_none());
        if let Some(from) = ended {
            self.outages.push(StoreOutage { from, until: now });
            if self.outages.len() > REMEMBERED {
                self.outages.remove(0);
            }
        }
        self.away_since = away_since;
    }

    /// How much time counts since a moment: in the last stretch, and in all.
    fn counted(&self, since: Moment, now: Moment) -> (u64, u64) {
        let present = self.away_since.map(|from| StoreOutage { from, until: now });
        let outages = self.outages.iter().copied().chain(present);
        let mut stretch = now.millis_since(since);
        let mut total = stretch;
        for outage in outages.filter(|outage| outage.until > since) {
            stretch = stretch.min(now.millis_since(outage.until));
            total = total.saturating_sub(outage.until.millis_since(outage.from.max(since)));
        }
        (stretch, total)
    }

    /// The target of a model, if one was published.
    pub fn target(&self, model: &ModelName) -> Option<VersionTarget> {
        self.past.get(model)?.last().copied()
    }

    /// The published versions of a model, as far as they are remembered.
    pub fn published(&self, model: &ModelName) -> Vec<WeightVersion> {
        let past = self.past.get(model).map(Vec::as_slice).unwrap_or_default();
        past.iter().map(|target| target.version).collect()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, &VersionTarget)> {
        self.past.iter().filter_map(|(model, past)| Some((model, past.last()?)))
    }

    /// Whether a request may start on a version at a moment, where the newest must be in use
    /// everywhere within time limits.
    pub fn judge(
        &self,
        model: &ModelName,
        version: WeightVersion,
        limits: VersionLimits,
        start: Moment,
    ) -> VersionUse {
        let past = self.past.get(model).map(Vec::as_slice).unwrap_or_default();
        let Some(successor) = past.iter().find(|target| target.version > version) else {
            return VersionUse::Newest;
        };
        let (stretch, total) = self.counted(successor.learned, start);
        let is_over = |counted: u64, limit: u64| counted + CUTOFF_MARGIN_MS >= limit;
        if is_over(stretch, limits.stretch_ms) || is_over(total, limits.total_ms) {
            VersionUse::Forbidden
        } else if start.millis_since(successor.learned) >= FRESH_MS {
            VersionUse::Stale
        } else {
            VersionUse::Older
        }
    }
}
