//! Published weights of each model, and whether a request may still start on older ones.
//!
//! Each version has a moment of publication, as far as this daemon knows. An older version may be
//! used until a time limit after the publication of its successor.

use crate::upstreams::upstream_table::WeightVersion;
use crate::weights::store_outages::StoreOutages;
use guava_types::{Deadline, FastMap, ModelName, Moment};
use std::fmt;

/// Time after the publication of a newer version from which an answer on the older one counts as
/// stale, in milliseconds.
const STALE_AFTER_MS: u64 = 1_500;
/// Margin before the time limit for new weights in which no request may start on old ones, in
/// milliseconds. It covers connecting, slow links, and a process that gets no processor for a while.
const CUTOFF_MARGIN_MS: u64 = 1_500;

/// How a daemon learnt when weights were published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublicationSource {
    /// It read the record of the publication.
    Store,
    /// A peer reported it, with its age.
    Peer,
    /// It found the weights at its start, with or without a record of when they were first seen.
    Start,
}

impl fmt::Display for PublicationSource {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Start => "start",
        })
    }
}

/// Margin before the time limit for new weights in which a request that has not begun on old ones is
/// withdrawn, in milliseconds. It covers a late timer and the way to the engine.
const WITHDRAWAL_MARGIN_MS: u64 = 400;

/// Published weights of one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionTarget {
    /// The newest published version.
    pub version: WeightVersion,
    /// Earliest moment at which the version may have been published, on this daemon's clock: the
    /// operator's records were last known to be without it then. Time limits count from here.
    pub published: Moment,
    /// When this daemon learnt of it.
    pub heard: Moment,
    /// How the moment of its publication is known.
    pub source: PublicationSource,
}

/// For how long a version has been superseded, as this daemon counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupersededAge {
    /// The version that superseded it.
    pub successor: WeightVersion,
    /// How the successor's publication is known.
    pub source: PublicationSource,
    /// Time since the successor's publication, in milliseconds.
    pub age_ms: u64,
    /// Of that, the time since the last outage of the store, in milliseconds.
    pub stretch_ms: u64,
    /// Of that, the time without all outages, in milliseconds.
    pub total_ms: u64,
}

impl SupersededAge {
    /// Whether a time limit for the successor has passed.
    pub fn exceeds(&self, limits: VersionLimits) -> bool {
        self.stretch_ms > limits.stretch_ms || self.total_ms > limits.total_ms
    }
}

/// Assumed age of weights without a record of their publication, in milliseconds.
///
/// The first daemon that reads a publication records it at once, so without a record all daemons
/// must have exited right after the publication. A restart takes about this long.
const UNRECORDED_AGE_MS: u64 = 2_500;
/// Time for which old weights may still be used if the age is recorded but can't be read, in
/// milliseconds. It is no longer than a daemon that has just started may lag behind.
const UNREADABLE_AGE_GRACE_MS: u64 = 2_000;

/// Age of the weights that a daemon finds at its start, in milliseconds since their publication.
///
/// `recorded` is the age by the record of the daemon that read them first: `None` without a record,
/// `Some(None)` if the recorded time can't be compared with this daemon's clock yet.
pub fn age_at_start(recorded: Option<Option<u64>>, limit_ms: u64) -> u64 {
    match recorded {
        None => UNRECORDED_AGE_MS,
        Some(None) => limit_ms.saturating_sub(CUTOFF_MARGIN_MS + UNREADABLE_AGE_GRACE_MS),
        Some(Some(age_ms)) => age_ms,
    }
}

/// Whether a request may start on some weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionUse {
    /// No newer version is known.
    Newest,
    /// Superseded so recently that it is as good as the newest.
    Older,
    /// Superseded for longer; usable, but the newest is preferred.
    Stale,
    /// The time limit for its successor is reached or about to be; no request may start on it.
    Forbidden,
}

/// Time limits until new weights must be in use everywhere, in milliseconds. Time in which the
/// store was unavailable doesn't count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionLimits {
    /// Limit for the time since the publication or the end of the last outage, whichever is later.
    pub stretch_ms: u64,
    /// Limit for the time since the publication without all outages.
    pub total_ms: u64,
}

/// Published versions of all models; a lower version never replaces a higher one.
///
/// Engines can't be ordered to load weights while the store is unavailable, since no daemon can
/// hold the lease. If the time limit included that time, the old weights would become unusable
/// while few engines have the new ones, and most requests would be refused until the rollout is
/// complete. The limit therefore counts only time in which the store is available.
#[derive(Debug, Default)]
pub struct VersionTargets {
    outages: StoreOutages,
    /// Publications by model, oldest first.
    publications: FastMap<ModelName, Vec<VersionTarget>>,
}

/// Age up to which publications are told to peers, in milliseconds. It exceeds the time limits, even
/// with outages between.
const TOLD_FOR_MS: u64 = 60_000;
/// Publications kept for each model, since a version is judged from the publication of its
/// successor.
const MAX_HISTORY_ENTRIES: usize = 16;

/// Drops the oldest publication. The next one takes over its moment, which bounds the versions before
/// both.
fn drop_oldest(publications: &mut Vec<VersionTarget>) {
    let oldest = publications.remove(0);
    if let Some(next) = publications.first_mut() {
        next.published = next.published.min(oldest.published);
    }
}

impl VersionTargets {
    /// Records a publication; returns whether the version was not known before.
    ///
    /// Of several moments for one version the earliest counts: a daemon that hears late must not use
    /// old weights past the time limit. Publications may be learnt in any order: one that is older
    /// than the newest still supersedes those before it.
    pub fn offer(&mut self, model: &ModelName, target: VersionTarget) -> bool {
        let publications = self.publications.entry(model.clone()).or_default();
        match publications.binary_search_by_key(&target.version, |known| known.version) {
            Ok(place) => {
                let known = &mut publications[place];
                if target.published < known.published {
                    (known.published, known.source) = (target.published, target.source);
                }
                false
            }
            Err(place) => {
                publications.insert(place, target);
                if publications.len() > MAX_HISTORY_ENTRIES {
                    drop_oldest(publications);
                }
                true
            }
        }
    }

    /// Outages of the store, which don't count towards the time limits.
    pub fn outages(&mut self) -> &mut StoreOutages {
        &mut self.outages
    }

    /// Newest publication of a model; `None` if no version of it is known.
    pub fn target(&self, model: &ModelName) -> Option<VersionTarget> {
        self.publications.get(model)?.last().copied()
    }

    /// Published versions of a model, oldest first; only the last `MAX_HISTORY_ENTRIES` are kept.
    pub fn published(&self, model: &ModelName) -> Vec<WeightVersion> {
        let publications = self.publications.get(model).map(Vec::as_slice).unwrap_or_default();
        publications.iter().map(|target| target.version).collect()
    }

    /// Publications that peers are told: the recent ones of each model, and the newest of those
    /// before them. A peer that knows only the newest one would count from that for all versions.
    pub fn told(&self, now: Moment) -> impl Iterator<Item = (&ModelName, &VersionTarget)> {
        let told = move |publications: &Vec<VersionTarget>| {
            let is_old = |target: &VersionTarget| now.millis_since(target.published) > TOLD_FOR_MS;
            publications.iter().rposition(is_old).unwrap_or(0)
        };
        self.publications.iter().flat_map(move |(model, publications)| {
            publications[told(publications)..].iter().map(move |target| (model, target))
        })
    }

    /// Newest publication of each model.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, &VersionTarget)> {
        self.publications
            .iter()
            .filter_map(|(model, publications)| Some((model, publications.last()?)))
    }

    /// The publication that superseded a version. No version is published after a newer one, so the
    /// earliest moment of all newer ones counts.
    fn successor(&self, model: &ModelName, version: WeightVersion) -> Option<VersionTarget> {
        let newer = self.publications.get(model)?.iter().filter(|target| target.version > version);
        newer.copied().reduce(|first, next| match next.published < first.published {
            true => VersionTarget { version: first.version, ..next },
            false => first,
        })
    }

    /// For how long a version has been superseded at a moment; `None` if no newer one is known.
    pub fn superseded(
        &self,
        model: &ModelName,
        version: WeightVersion,
        now: Moment,
    ) -> Option<SupersededAge> {
        let successor = self.successor(model, version)?;
        let (stretch_ms, total_ms) = self.outages.elapsed_ms(successor.published, now);
        Some(SupersededAge {
            successor: successor.version,
            source: successor.source,
            age_ms: now.millis_since(successor.published),
            stretch_ms,
            total_ms,
        })
    }

    /// When a request that has not begun on a version must be withdrawn, if no outage of the store
    /// comes between; `None` if no newer version is known.
    pub fn withdrawal(
        &self,
        model: &ModelName,
        version: WeightVersion,
        limits: VersionLimits,
        now: Moment,
    ) -> Option<Deadline> {
        let age = self.superseded(model, version, now)?;
        let stretch_left = limits.stretch_ms.saturating_sub(age.stretch_ms);
        let left_ms = stretch_left.min(limits.total_ms.saturating_sub(age.total_ms));
        Some(Deadline::after(now, left_ms.saturating_sub(WITHDRAWAL_MARGIN_MS)))
    }

    /// Whether a request may start on a version at the moment `start`, given the time limits until
    /// the newest version must be in use everywhere.
    pub fn judge(
        &self,
        model: &ModelName,
        version: WeightVersion,
        limits: VersionLimits,
        start: Moment,
    ) -> VersionUse {
        let Some(successor) = self.successor(model, version) else { return VersionUse::Newest };
        let (stretch, total) = self.outages.elapsed_ms(successor.published, start);
        let is_over = |elapsed_ms: u64, limit: u64| elapsed_ms + CUTOFF_MARGIN_MS >= limit;
        if is_over(stretch, limits.stretch_ms) || is_over(total, limits.total_ms) {
            VersionUse::Forbidden
        } else if start.millis_since(successor.published) >= STALE_AFTER_MS {
            VersionUse::Stale
        } else {
            VersionUse::Older
        }
    }
}
