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
    /// It found the weights at its start, with a record that bounds the moment.
    Start,
    /// It found the weights at its start, and the moment is not known. Not passed on to peers.
    Assumed,
}

impl fmt::Display for PublicationSource {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Start => "start",
            Self::Assumed => "assumed",
        })
    }
}

/// Margin before the time limit for new weights in which a request that has not begun on old ones is
/// withdrawn, in milliseconds. It covers a late timer and the way to the engine.
const WITHDRAWAL_MARGIN_MS: u64 = 400;

/// Smallest correction of a publication's moment that is reported, in milliseconds. Messages differ by
/// less in the time that they took.
const MIN_CORRECTION_MS: u64 = 100;

/// Published weights of one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionTarget {
    /// The newest published version.
    pub version: WeightVersion,
    /// Latest moment at which the version is known not to have been published yet, on this daemon's
    /// clock. Time limits count from here, so that a daemon that hears late does not count late.
    pub published: Moment,
    /// When this daemon learnt of it.
    pub heard: Moment,
    /// How the moment of its publication is known.
    pub source: PublicationSource,
    /// Whether the store is known to hold a record of that moment.
    pub is_recorded: bool,
}

impl VersionTarget {
    /// Whether its moment is more than a guess.
    fn is_known(&self) -> bool {
        self.source != PublicationSource::Assumed
    }

    /// Adopts what another report of the same publication adds: a known moment instead of a guess, or
    /// the later of two. Each is a moment at which the version was not published yet, and the latest
    /// is closest to the publication; it can't be later than this daemon's first report.
    fn merge(&mut self, other: &Self) -> OfferEffect {
        self.is_recorded |= other.is_recorded;
        let published = other.published.min(self.heard);
        let replaces_guess = !self.is_known() && other.is_known();
        let is_later = self.is_known() == other.is_known() && published > self.published;
        if !replaces_guess && !is_later {
            return OfferEffect::Known;
        }
        let correction_ms = published.millis_since(self.published);
        (self.published, self.source) = (published, other.source);
        if replaces_guess || correction_ms >= MIN_CORRECTION_MS {
            OfferEffect::Corrected
        } else {
            OfferEffect::Known
        }
    }
}

/// What the report of a publication added to what was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferEffect {
    /// The version was not known.
    New,
    /// The version was published markedly later than was known, or its moment had been a guess.
    Corrected,
    /// Nothing that matters.
    Known,
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
    /// Of that, the longest time without an outage of the store, in milliseconds.
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

/// Time for which old weights may still be used if it is not known when newer ones were published, in
/// milliseconds. It is no longer than a daemon that has just started may lag behind.
const UNKNOWN_AGE_GRACE_MS: u64 = 2_000;

/// Publications to assume of the newest weights that a daemon finds at its start.
///
/// The daemons may have been away for any time, so old weights must not be used for long. The version
/// before the newest one is assumed too: once it is known when the newest was published, that says
/// nothing of when the weights before were superseded.
pub fn assumed_targets(newest: WeightVersion, limit_ms: u64, now: Moment) -> [VersionTarget; 2] {
    let age_ms = limit_ms.saturating_sub(CUTOFF_MARGIN_MS + UNKNOWN_AGE_GRACE_MS);
    [newest.0.saturating_sub(1), newest.0].map(|version| VersionTarget {
        version: WeightVersion(version),
        published: now.minus_millis(age_ms),
        heard: now,
        source: PublicationSource::Assumed,
        is_recorded: false,
    })
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
    /// Limit for any time without an outage since the publication.
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
    /// Records a publication.
    ///
    /// Publications may be learnt in any order: one that is older than the newest still supersedes
    /// those before it.
    pub fn offer(&mut self, model: &ModelName, target: VersionTarget) -> OfferEffect {
        let publications = self.publications.entry(model.clone()).or_default();
        match publications.binary_search_by_key(&target.version, |known| known.version) {
            Ok(place) => publications[place].merge(&target),
            Err(place) => {
                publications.insert(place, target);
                if publications.len() > MAX_HISTORY_ENTRIES {
                    drop_oldest(publications);
                }
                OfferEffect::New
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
        let first_told = move |publications: &[VersionTarget]| {
            let is_old = |target: &VersionTarget| now.millis_since(target.published) > TOLD_FOR_MS;
            publications.iter().rposition(is_old).unwrap_or(0)
        };
        self.publications.iter().flat_map(move |(model, publications)| {
            let told = publications[first_told(publications)..].iter();
            told.filter(|target| target.is_known()).map(move |target| (model, target))
        })
    }

    /// Models whose newest publication the store is not known to hold a record of, with when this
    /// daemon learnt of it.
    pub fn unrecorded(&self) -> impl Iterator<Item = (&ModelName, Moment)> {
        let newest = self.iter().filter(|(_, target)| target.is_known() && !target.is_recorded);
        newest.map(|(model, target)| (model, target.heard))
    }

    /// Records that the store holds a record of a model's publications up to a version.
    pub fn note_recorded(&mut self, model: &ModelName, version: WeightVersion) {
        let publications = self.publications.get_mut(model).into_iter().flatten();
        let recorded = publications.filter(|target| target.version <= version);
        recorded.for_each(|target| target.is_recorded = true);
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
        let available = self.outages.elapsed(successor.published, now);
        Some(SupersededAge {
            successor: successor.version,
            source: successor.source,
            age_ms: now.millis_since(successor.published),
            stretch_ms: available.longest_ms,
            total_ms: available.total_ms,
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
        let successor = self.successor(model, version)?;
        let available = self.outages.elapsed(successor.published, now);
        // A limit that was reached before an outage stays reached.
        let stretch_ms = match available.longest_ms >= limits.stretch_ms {
            true => available.longest_ms,
            false => available.current_ms,
        };
        let left_ms = limits.stretch_ms.saturating_sub(stretch_ms);
        let left_ms = left_ms.min(limits.total_ms.saturating_sub(available.total_ms));
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
        let available = self.outages.elapsed(successor.published, start);
        let is_over = |elapsed_ms: u64, limit: u64| elapsed_ms + CUTOFF_MARGIN_MS >= limit;
        if is_over(available.longest_ms, limits.stretch_ms)
            || is_over(available.total_ms, limits.total_ms)
        {
            VersionUse::Forbidden
        } else if start.millis_since(successor.published) >= STALE_AFTER_MS {
            VersionUse::Stale
        } else {
            VersionUse::Older
        }
    }
}
