//! Which software versions the upstreams of each service have, and had lately.
//!
//! If all upstreams that can have begun a stream have one version, the stream began at that version. An
//! upstream that was listed and removed while this daemon did not follow the list is not known, so the
//! census tells nothing of the time before the list was last followed without a gap.

use guava_types::{Deadline, FastMap, Moment, ServiceName, SoftwareVersion};

/// Longest time without a confirmed list that is no gap, in milliseconds: an upstream serves for longer
/// than that between its registration and the removal of its entry.
const MAX_GAP_MS: u64 = 2_000;
/// For how long versions without upstreams are remembered, in milliseconds.
const RETENTION_MS: u64 = 120_000;

#[derive(Debug)]
struct VersionPresence {
    /// `None` for upstreams whose version is not stated.
    software: Option<SoftwareVersion>,
    upstreams: usize,
    /// When the last of them was noticed to be gone; `None` before that.
    gone: Option<Moment>,
}

/// Software versions by service.
#[derive(Debug, Default)]
pub struct SoftwareCensus {
    services: FastMap<ServiceName, Vec<VersionPresence>>,
    /// Since when the list has been followed without a gap; `None` during one.
    followed_since: Option<Moment>,
    checked: Moment,
}

impl SoftwareCensus {
    /// Counts an upstream.
    pub fn note_added(&mut self, service: &ServiceName, software: Option<&SoftwareVersion>) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Vec::new());
        }
        let Some(presences) = self.services.get_mut(service) else { return };
        match presences.iter_mut().find(|it| it.software.as_ref() == software) {
            Some(presence) => {
                presence.upstreams += 1;
                presence.gone = None;
            }
            None => presences.push(VersionPresence {
                software: software.cloned(),
                upstreams: 1,
                gone: None,
            }),
        }
    }

    /// Counts an upstream no longer. Its version counts as present until the next check.
    pub fn note_removed(&mut self, service: &ServiceName, software: Option<&SoftwareVersion>) {
        let presences = self.services.get_mut(service).into_iter().flatten();
        for presence in presences.filter(|it| it.software.as_ref() == software) {
            presence.upstreams = presence.upstreams.saturating_sub(1);
        }
    }

    /// Notes whether the list is followed: it was last confirmed `age_ms` ago, or `None` if never. To be
    /// called more often than a gap is long.
    pub fn check(&mut self, age_ms: Option<u64>, now: Moment) {
        let is_late = now.millis_since(self.checked) > MAX_GAP_MS;
        let is_followed = age_ms.is_some_and(|age_ms| age_ms <= MAX_GAP_MS);
        self.followed_since = match self.followed_since {
            Some(since) if is_followed && !is_late => Some(since),
            _ => is_followed.then_some(now),
        };
        self.checked = now;
        let kept_since = now.minus_millis(RETENTION_MS);
        for presences in self.services.values_mut() {
            for presence in presences.iter_mut().filter(|it| it.upstreams == 0) {
                presence.gone = presence.gone.or(Some(now));
            }
            presences.retain(|it| it.gone.is_none_or(|gone| gone > kept_since));
        }
        self.services.retain(|_, presences| !presences.is_empty());
    }

    /// The version of all upstreams that a service has had since a moment; `None` if they had several,
    /// or if that is not known.
    pub fn only_version(
        &self,
        service: &ServiceName,
        since: Moment,
        now: Moment,
    ) -> Option<&SoftwareVersion> {
        let is_checked = !Deadline::after(self.checked, MAX_GAP_MS).passed(now);
        if !is_checked || self.followed_since.is_none_or(|followed| followed > since) {
            return None;
        }
        let mut present = self.present(service, since);
        let only = present.next()?;
        present.next().is_none().then_some(only).flatten()
    }

    /// Since when the list has been followed without a gap; `None` during one.
    pub fn followed_since(&self) -> Option<Moment> {
        self.followed_since
    }

    /// Versions of a service that count since a moment; `None` for upstreams that don't state theirs.
    pub fn present(
        &self,
        service: &ServiceName,
        since: Moment,
    ) -> impl Iterator<Item = Option<&SoftwareVersion>> {
        let presences = self.services.get(service).into_iter().flatten();
        let counts = move |it: &&VersionPresence| it.gone.is_none_or(|gone| gone >= since);
        presences.filter(counts).map(|it| it.software.as_ref())
    }
}
