//! Which software versions the upstreams of each service have, and had lately.
//!
//! If all upstreams that can have begun a stream have one version, the stream began at that version.
//! A version counts from when it is first listed until its streams can't be taken up any more. This
//! daemon knows of those that it has seen on the list since it has followed that without a gap, and of
//! those that were recorded before: no stream begins at a version that has no record. So the census is
//! complete if the records were read since the list is followed, or if the list has been followed for
//! as long as streams are taken up. What a caller tells of its time has no part in it.

use crate::upstreams::version_record::{VersionLog, VersionRecord};
use guava_types::{Deadline, FastMap, Moment, ServiceName, SoftwareVersion};

/// For how long after a stream began its caller may take it up, in milliseconds: no caller of an
/// interactive answer waits for longer, whatever time it gives each of its attempts.
pub const LONGEST_TAKE_UP_MS: u64 = 60_000;
/// Longest time without a confirmed list that is no gap, in milliseconds, where changes must be in force
/// sooner: an upstream serves for longer than that between its registration and the removal of its entry.
const MIN_GAP_MS: u64 = 2_000;
/// For how long versions without upstreams are remembered, and their records kept, in milliseconds. It
/// is longer than streams are taken up, by more than what daemons differ in their lists.
const RETENTION_MS: u64 = 2 * LONGEST_TAKE_UP_MS;
/// For how long upstreams of a version without a record begin no streams, in milliseconds: a store that
/// takes no writes must not stop a service.
pub const MAX_HOLD_MS: u64 = 3_000;

#[derive(Debug)]
struct VersionPresence {
    /// `None` for upstreams whose version is not stated.
    software: Option<SoftwareVersion>,
    upstreams: usize,
    /// When the last of them was noticed to be gone; `None` before that.
    gone: Option<Moment>,
    /// Whether the store is known to hold its record.
    is_recorded: bool,
    /// End of the time in which its upstreams begin no streams for want of a record; `None` until the
    /// next check.
    held_until: Option<Deadline>,
}

impl VersionPresence {
    fn new(software: Option<&SoftwareVersion>) -> Self {
        Self {
            software: software.cloned(),
            upstreams: 0,
            gone: None,
            is_recorded: false,
            held_until: None,
        }
    }

    fn is_held(&self, now: Moment) -> bool {
        let is_unrecorded = self.upstreams > 0 && !self.is_recorded;
        is_unrecorded && self.held_until.is_none_or(|until| !until.passed(now))
    }

    /// Whether an upstream of this version can have begun a stream that is taken up now.
    fn counts(&self, now: Moment) -> bool {
        self.gone.is_none_or(|gone| !Deadline::after(gone, LONGEST_TAKE_UP_MS).passed(now))
    }

    fn note_unrecorded(&mut self) {
        self.is_recorded = false;
        self.held_until = None;
    }
}

/// A read of all records.
#[derive(Clone, Copy, Debug)]
struct RecordRead {
    as_of: Moment,
    /// Whether every record could be read.
    is_complete: bool,
}

/// Software versions by service.
#[derive(Debug, Default)]
pub struct SoftwareCensus {
    services: FastMap<ServiceName, Vec<VersionPresence>>,
    /// Since when the list has been followed without a gap; `None` during one.
    followed_since: Option<Moment>,
    /// When it was last followed; `None` before that.
    last_followed: Option<Moment>,
    checked: Moment,
    /// Time within which a change of the list must be in force, in milliseconds; 0 if not stated.
    change_limit_ms: u64,
    /// Whether versions are recorded in the store.
    has_records: bool,
    read: Option<RecordRead>,
}

impl SoftwareCensus {
    /// Notes that versions are recorded in the store, so that no stream begins before that.
    pub fn note_has_records(&mut self) {
        self.has_records = true;
    }

    /// Notes within which time a change of the list must be in force, in milliseconds. Upstreams stay
    /// listed for as long, and the list may be confirmed as rarely.
    pub fn note_change_limit(&mut self, limit_ms: u64) {
        self.change_limit_ms = limit_ms;
    }

    /// Longest time without a confirmed list that is no gap, in milliseconds.
    fn gap_ms(&self) -> u64 {
        self.change_limit_ms.max(MIN_GAP_MS)
    }

    /// Counts an upstream.
    pub fn note_added(&mut self, service: &ServiceName, software: Option<&SoftwareVersion>) {
        let checked = self.checked;
        let presence = self.presence(service, software);
        presence.upstreams += 1;
        // Its record may be about to be removed.
        if presence.gone.is_some() && !presence.counts(checked) {
            presence.note_unrecorded();
        }
        presence.gone = None;
    }

    /// Counts an upstream no longer. Its version counts as present until the next check.
    pub fn note_removed(&mut self, service: &ServiceName, software: Option<&SoftwareVersion>) {
        let presences = self.services.get_mut(service).into_iter().flatten();
        for presence in presences.filter(|it| it.software.as_ref() == software) {
            presence.upstreams = presence.upstreams.saturating_sub(1);
        }
    }

    fn presence(
        &mut self,
        service: &ServiceName,
        software: Option<&SoftwareVersion>,
    ) -> &mut VersionPresence {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Vec::new());
        }
        let presences = self.services.entry(service.clone()).or_default();
        let known = presences.iter().position(|it| it.software.as_ref() == software);
        let place = known.unwrap_or(presences.len());
        if known.is_none() {
            presences.push(VersionPresence::new(software));
        }
        &mut presences[place]
    }

    /// Notes whether the list is followed: it was last confirmed `age_ms` ago, or `None` if never. To be
    /// called more often than a gap is long.
    pub fn check(&mut self, age_ms: Option<u64>, now: Moment) {
        let is_late = now.millis_since(self.checked) > self.gap_ms();
        let is_followed = age_ms.is_some_and(|age_ms| age_ms <= self.gap_ms());
        self.followed_since = match self.followed_since {
            Some(since) if is_followed && !is_late => Some(since),
            _ => is_followed.then_some(now),
        };
        self.checked = now;
        // Records may have been removed while this daemon took their versions for listed.
        let is_long_gap = |last: Moment| Deadline::after(last, LONGEST_TAKE_UP_MS).passed(now);
        let are_records_old = is_followed && self.last_followed.is_some_and(is_long_gap);
        self.last_followed = if is_followed { Some(now) } else { self.last_followed };
        for presences in self.services.values_mut() {
            for presence in presences.iter_mut() {
                if are_records_old {
                    presence.note_unrecorded();
                }
                if presence.upstreams == 0 {
                    presence.gone = presence.gone.or(Some(now));
                } else if !presence.is_recorded {
                    presence.held_until.get_or_insert(Deadline::after(now, MAX_HOLD_MS));
                }
            }
            presences.retain(|it| {
                // Its record is removed first, or by another daemon.
                let kept_ms = if it.is_recorded { 2 * RETENTION_MS } else { RETENTION_MS };
                it.gone.is_none_or(|gone| !Deadline::after(gone, kept_ms).passed(now))
            });
        }
        self.services.retain(|_, presences| !presences.is_empty());
    }

    /// Applies all records of the store, read at a moment.
    pub fn note_records(&mut self, log: &VersionLog, as_of: Moment) {
        for (service, presences) in &mut self.services {
            for presence in presences.iter_mut().filter(|it| it.is_recorded) {
                let is_kept =
                    |it: &VersionRecord| it.service == *service && it.software == presence.software;
                if !log.records.iter().any(is_kept) {
                    presence.note_unrecorded();
                }
            }
        }
        // Until then upstreams of a recorded version may have come and gone unseen.
        let unseen = self.followed_since.unwrap_or(as_of);
        for VersionRecord { service, software } in &log.records {
            let presence = self.presence(service, software.as_ref());
            presence.is_recorded = true;
            if presence.upstreams == 0 {
                presence.gone = Some(presence.gone.map_or(unseen, |gone| gone.max(unseen)));
            }
        }
        self.read = Some(RecordRead { as_of, is_complete: log.unreadable == 0 });
    }

    /// Notes that a version's record was written.
    pub fn note_written(&mut self, record: &VersionRecord) {
        self.presence(&record.service, record.software.as_ref()).is_recorded = true;
    }

    /// Notes that a version's record was removed.
    pub fn note_dropped(&mut self, record: &VersionRecord) {
        self.presence(&record.service, record.software.as_ref()).note_unrecorded();
    }

    /// Versions with upstreams and without a record, as far as is known.
    pub fn unrecorded(&self) -> impl Iterator<Item = VersionRecord> {
        self.records_of(|it| it.upstreams > 0 && !it.is_recorded)
    }

    /// Versions whose records tell nothing any more: their upstreams left so long ago.
    pub fn obsolete(&self, now: Moment) -> impl Iterator<Item = VersionRecord> {
        let is_known = self.is_read();
        let is_over =
            move |gone: Moment| is_known && Deadline::after(gone, RETENTION_MS).passed(now);
        self.records_of(move |it| it.is_recorded && it.gone.is_some_and(is_over))
    }

    fn records_of(
        &self,
        is_meant: impl Fn(&VersionPresence) -> bool,
    ) -> impl Iterator<Item = VersionRecord> {
        let all = self.services.iter().flat_map(|(service, presences)| {
            presences.iter().map(move |presence| (service, presence))
        });
        let meant = all.filter(move |(_, presence)| is_meant(presence));
        meant.map(|(service, presence)| VersionRecord {
            service: service.clone(),
            software: presence.software.clone(),
        })
    }

    /// Versions of a service whose upstreams begin no streams now, for want of a record.
    pub fn held(&self, service: &ServiceName, now: Moment) -> Vec<Option<SoftwareVersion>> {
        if !self.has_records {
            return Vec::new();
        }
        let presences = self.services.get(service).into_iter().flatten();
        presences.filter(|it| it.is_held(now)).map(|it| it.software.clone()).collect()
    }

    /// Since when the list has been followed without a gap; `None` during one.
    pub fn followed_since(&self) -> Option<Moment> {
        self.followed_since
    }

    /// When the records were last read; `None` before that.
    pub fn records_read(&self) -> Option<Moment> {
        self.read.map(|read| read.as_of)
    }

    /// Whether the records were read since the list is followed.
    pub fn is_read(&self) -> bool {
        let followed = self.followed_since;
        followed.is_some_and(|followed| self.read.is_some_and(|read| read.as_of >= followed))
    }

    /// Whether the records are about to be read.
    pub fn awaits_records(&self) -> bool {
        self.has_records && self.followed_since.is_some() && !self.is_read()
    }

    /// Whether all versions are known that can have begun a stream.
    fn is_complete(&self, now: Moment) -> bool {
        let is_checked = !Deadline::after(self.checked, self.gap_ms()).passed(now);
        let Some(followed) = self.followed_since.filter(|_| is_checked) else { return false };
        let are_records_known = self.is_read() && self.read.is_some_and(|read| read.is_complete);
        are_records_known || Deadline::after(followed, LONGEST_TAKE_UP_MS).passed(now)
    }

    /// The version of all upstreams of a service that can have begun a stream; `None` if they had
    /// several, or if that is not known.
    pub fn only_version(&self, service: &ServiceName, now: Moment) -> Option<&SoftwareVersion> {
        if !self.is_complete(now) {
            return None;
        }
        let mut present = self.present(service, now);
        let only = present.next()?;
        present.next().is_none().then_some(only).flatten()
    }

    /// Versions of a service that can have begun a stream, as far as is known; `None` for upstreams
    /// that don't state theirs.
    pub fn present(
        &self,
        service: &ServiceName,
        now: Moment,
    ) -> impl Iterator<Item = Option<&SoftwareVersion>> {
        let presences = self.services.get(service).into_iter().flatten();
        presences.filter(move |it| it.counts(now)).map(|it| it.software.as_ref())
    }
}
