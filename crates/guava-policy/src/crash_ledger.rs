//! Finds requests, and parts of prompts, that crash the upstreams that run them, and quarantines
//! them.
//!
//! **The failure.** A request may crash every upstream that begins to run it, and its caller
//! repeats it, at any daemon, under another id. In one day a single such request caused 67 crashes
//! of 18 engines, each with all that ran there. What stays the same over the repeats is the
//! request's digest: caller, path and body. Or a part of prompts crashes every engine that begins to
//! answer it: then no two requests are alike, but all of them have that part.
//!
//! **Evidence** is the crash of an upstream together with the suspects: the requests that were in
//! flight there, of all daemons, and the parts that their prompts share with others. It says which
//! of them *may* have caused the crash: one of some twenty requests did.
//!
//! **Attribution** uses what else happened to each suspect. A request that completed successfully
//! has caused no crash, and neither have its parts: their evidence is dropped. A suspect that was in
//! flight at three crashes ([`CRASHES_TO_QUARANTINE`]) is quarantined, unless another one that was in
//! flight at one of these was at as many or more: what is merely concurrent is at some of the
//! crashes, seldom at all of them. Of suspects at equally many, the most specific is taken: a request
//! before parts, and a part before those that precede it in prompts and that more requests share; if
//! that was wrong, a further crash without it shows it. Suspects that can't be told apart in this way
//! are not quarantined until one is at a further crash, or they are at [`TIED_CRASHES_TO_QUARANTINE`]
//! together. A crash at which a quarantined suspect was in flight is explained by it and is evidence
//! against no other; a quarantined suspect whose crashes turn out to be explained is released. A crash
//! with an unrelated cause counts against each suspect there as one of three; it must meet three of
//! them, with no successful answer in between, to be quarantined by mistake.
//!
//! **Simultaneous crashes** have a common cause, such as a rack without power or a fault of their
//! host. A request that is retried at one upstream after another, or that its caller repeats at
//! once, meets several of them. One attempt runs at up to two upstreams, so three crashes or more
//! within [`SIMULTANEOUS_MS`] count as one. Daemons send crashes with their ages, since those that
//! arrive in one message would otherwise look simultaneous.
//!
//! **Duration.** Evidence counts for [`EVIDENCE_RETENTION_MS`]. A suspect is quarantined for
//! [`FIRST_QUARANTINE_MS`], then may be retried, since its upstreams may have been repaired: a
//! successful answer clears it, one more crash quarantines it for twice as long, up to
//! [`MAX_QUARANTINE_MS`].
//!
//! **Memory** is bounded by [`MAX_CRASHES`] crashes with [`MAX_SUSPECTS_PER_CRASH`] suspects each,
//! whose oldest crash is removed first, and by [`MAX_QUARANTINES`] quarantines, of which the one
//! that is over first is removed first.

use guava_types::{Deadline, FastMap, FastSet, Moment, RequestDigest, UpstreamId};

/// Crashes at which a request was in flight for it to be quarantined. At two, a request would be
/// quarantined whose retry went to the same upstream as that of the crash-inducing one; each above
/// three costs one more upstream with all that runs there.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Crashes at which requests that can't be told apart are all quarantined.
const TIED_CRASHES_TO_QUARANTINE: usize = 5;
/// Span within which crashes are simultaneous, in milliseconds: processes that exit at once are
/// noticed within it.
const SIMULTANEOUS_MS: u64 = 50;
/// Crashes within that span that are taken for one: more than a single attempt can cause.
const SIMULTANEOUS_CRASHES: usize = 3;
/// How long a crash counts as evidence, in milliseconds. Callers repeat a request within seconds,
/// or for another reason.
const EVIDENCE_RETENTION_MS: u64 = 600_000;
/// Duration of a request's first quarantine, in milliseconds.
pub const FIRST_QUARANTINE_MS: u64 = 600_000;
/// Longest quarantine, in milliseconds. By the next day the upstreams may have been repaired.
const MAX_QUARANTINE_MS: u64 = 6 * 3_600_000;
/// How long a request is retained after its quarantine, in milliseconds, so that one more crash
/// quarantines it again.
const QUARANTINE_RETENTION_MS: u64 = 3_600_000;
/// How long older reports of peers can't quarantine a cleared request, in milliseconds. Daemons
/// repeat reports of crashes for ten seconds at most.
const CLEARED_RETENTION_MS: u64 = 12_000;
/// Crashes retained: some minutes at the highest rate seen, four crashes a second.
const MAX_CRASHES: usize = 512;
/// Suspects retained for each crash: more than an upstream runs at a time, its queue included.
const MAX_SUSPECTS_PER_CRASH: usize = 320;
/// Specificity of a request; that of a part is the number of parts before it.
const REQUEST_SPECIFICITY: u16 = u16::MAX;
/// Quarantines retained. Each has cost three upstreams.
const MAX_QUARANTINES: usize = 128;

/// A part of the prompt of a request that was in flight at a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectPart {
    /// Digest of the part.
    pub digest: RequestDigest,
    /// Number of parts before it in its prompt.
    pub depth: u8,
}

/// A quarantined request, as daemons report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineNotice {
    /// Digest of the request.
    pub request: RequestDigest,
    /// Time left, in milliseconds. A duration, because daemons' clocks are never compared.
    pub left_ms: u64,
    /// How often it has been quarantined, this time included.
    pub times: u32,
}

/// A request whose evidence up to a moment is dropped, as daemons report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClearNotice {
    /// Digest of the request.
    pub request: RequestDigest,
    /// When it was cleared, on this daemon's clock; daemons send it as an age.
    pub at: Moment,
}

/// Effect of new evidence on the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerChange {
    /// Whether the crash, or one of its requests, was unknown before.
    pub is_change: bool,
    /// Requests that are quarantined from now on.
    pub quarantined: Vec<RequestDigest>,
    /// Requests whose quarantine is lifted early, because their crashes are explained by others.
    pub released: Vec<RequestDigest>,
}

#[derive(Clone, Debug)]
struct UpstreamCrash {
    /// The earliest moment reported for it.
    at: Moment,
    suspects: FastSet<RequestDigest>,
}

/// What is known of a suspect.
#[derive(Clone, Copy, Debug, Default)]
struct SuspectRecord {
    /// Number of crashes at which it was in flight.
    crashes: usize,
    /// The more specific of two suspects is in fewer requests.
    specificity: u16,
}

#[derive(Clone, Copy, Debug)]
struct RequestQuarantine {
    until: Deadline,
    times: u32,
    /// Whether local evidence led to it, not a peer's report or a record.
    is_found_locally: bool,
}

/// Crashes of upstreams, the suspects that were in flight there, and the quarantines that follow.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    crashes: FastMap<UpstreamId, UpstreamCrash>,
    /// All suspects at the retained crashes.
    suspects: FastMap<RequestDigest, SuspectRecord>,
    quarantines: FastMap<RequestDigest, RequestQuarantine>,
    cleared: FastMap<RequestDigest, ClearedRequest>,
}

/// A request whose evidence was dropped.
#[derive(Clone, Copy, Debug)]
struct ClearedRequest {
    at: Moment,
    until: Deadline,
    /// Whether this daemon cleared it and therefore reports it to peers. If every receiver repeated
    /// the report, it would circulate without end.
    is_own: bool,
}

fn quarantine_ms(times: u32) -> u64 {
    let doubled = times.saturating_sub(1).min(16);
    (FIRST_QUARANTINE_MS << doubled).min(MAX_QUARANTINE_MS)
}

impl CrashLedger {
    /// Whether no request has evidence or a quarantine, so that callers need not compute a digest.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.quarantines.is_empty()
    }

    /// The end of a request's quarantine; `None` if it isn't quarantined at `now`.
    pub fn quarantined_until(&self, request: RequestDigest, now: Moment) -> Option<Deadline> {
        self.quarantines
            .get(&request)
            .map(|quarantine| quarantine.until)
            .filter(|until| !until.passed(now))
    }

    /// Records that an upstream crashed at a moment while these requests were in flight there, as
    /// observed by this daemon or reported by a peer.
    ///
    /// The same crash may be recorded repeatedly: the earliest moment counts, and each request
    /// once.
    pub fn note_crash(
        &mut self,
        upstream: &UpstreamId,
        requests: &[RequestDigest],
        at: Moment,
        now: Moment,
    ) -> LedgerChange {
        self.note_crash_with_parts(upstream, requests, &[], at, now)
    }

    /// The same with the parts that their prompts share with others.
    pub fn note_crash_with_parts(
        &mut self,
        upstream: &UpstreamId,
        requests: &[RequestDigest],
        parts: &[SuspectPart],
        at: Moment,
        now: Moment,
    ) -> LedgerChange {
        if !self.crashes.contains_key(upstream) && self.crashes.len() >= MAX_CRASHES {
            self.remove_oldest_crash();
        }
        let mut change = LedgerChange::default();
        let crash = self.crashes.entry(upstream.clone()).or_insert_with(|| {
            change.is_change = true;
            UpstreamCrash { at, suspects: FastSet::default() }
        });
        // The earliest observation is the closest to the crash.
        crash.at = crash.at.min(at);
        let mut is_at_limit = false;
        let parts = parts.iter().map(|part| (part.digest, u16::from(part.depth)));
        let requests = requests.iter().map(|request| (*request, REQUEST_SPECIFICITY));
        for (suspect, specificity) in parts.chain(requests) {
            // Peers repeat their reports, so a crash from before a suspect was cleared is not new
            // evidence. Otherwise a request that meets a crash now and then would be quarantined,
            // although it was answered each time.
            if self.cleared.get(&suspect).is_some_and(|cleared| crash.at <= cleared.at) {
                continue;
            }
            if crash.suspects.len() >= MAX_SUSPECTS_PER_CRASH || !crash.suspects.insert(suspect) {
                continue;
            }
            change.is_change = true;
            let record = self.suspects.entry(suspect).or_default();
            record.crashes += 1;
            record.specificity = record.specificity.max(specificity);
            let is_quarantine_over = self
                .quarantines
                .get(&suspect)
                .is_some_and(|quarantine| quarantine.until.passed(now));
            is_at_limit |= record.crashes >= CRASHES_TO_QUARANTINE || is_quarantine_over;
        }
        if is_at_limit {
            self.update_quarantines(now, &mut change);
        }
        change
    }

    /// Clears a request that completed successfully. Returns whether it had evidence or a
    /// quarantine.
    pub fn note_answer(&mut self, request: RequestDigest, now: Moment) -> bool {
        let was_known =
            self.suspects.contains_key(&request) || self.quarantines.contains_key(&request);
        if was_known {
            self.clear(ClearNotice { request, at: now }, now, true);
        }
        was_known
    }

    /// Applies a peer's report that a request is cleared up to a moment. Peers repeat the report
    /// for seconds, in which the request may have met further crashes: these stay.
    pub fn note_cleared(&mut self, notice: ClearNotice, now: Moment) {
        let known = self.cleared.get(&notice.request);
        if known.is_none_or(|known| known.at < notice.at) {
            self.clear(notice, now, false);
        }
    }

    /// Applies a peer's report that a request is quarantined. Returns whether that changed
    /// anything.
    pub fn note_from_peer(&mut self, reported: QuarantineNotice, now: Moment) -> bool {
        if self.cleared.contains_key(&reported.request) {
            return false;
        }
        // A repeated report changes nothing. Each one is late by its transit time, and a request
        // whose quarantine is over here would lose its retry to a daemon whose quarantine is over
        // later.
        if self
            .quarantines
            .get(&reported.request)
            .is_some_and(|known| known.times >= reported.times)
        {
            return false;
        }
        let until = Deadline::after(now, reported.left_ms.min(MAX_QUARANTINE_MS));
        let quarantine =
            RequestQuarantine { until, times: reported.times, is_found_locally: false };
        self.insert_quarantine(reported.request, quarantine);
        true
    }

    /// Applies the stored record of a quarantine. The record has no time, so the full duration
    /// begins anew. Returns whether that changed anything.
    pub fn note_record(&mut self, request: RequestDigest, times: u32, now: Moment) -> bool {
        self.note_from_peer(QuarantineNotice { request, left_ms: quarantine_ms(times), times }, now)
    }

    /// Quarantines in force at `now`.
    pub fn quarantines(&self, now: Moment) -> impl Iterator<Item = QuarantineNotice> {
        let quarantined =
            self.quarantines.iter().filter(move |(_, quarantine)| !quarantine.until.passed(now));
        quarantined.map(move |(request, quarantine)| QuarantineNotice {
            request: *request,
            left_ms: quarantine.until.millis_left(now),
            times: quarantine.times,
        })
    }

    /// Crashes since a moment, each with its own moment and the suspects that were in flight there.
    pub fn crashes_since(
        &self,
        moment: Moment,
    ) -> impl Iterator<Item = (&UpstreamId, Moment, impl Iterator<Item = &RequestDigest>)> {
        let recent = self.crashes.iter().filter(move |(_, crash)| crash.at >= moment);
        recent.map(|(upstream, crash)| (upstream, crash.at, crash.suspects.iter()))
    }

    /// All retained quarantines, those that are over included, with how often each request was
    /// quarantined.
    pub fn retained_quarantines(&self) -> impl Iterator<Item = (RequestDigest, u32)> {
        self.quarantines.iter().map(|(request, quarantine)| (*request, quarantine.times))
    }

    /// How often a request has been quarantined; `None` if no quarantine of it is retained.
    pub fn quarantine_count(&self, request: RequestDigest) -> Option<u32> {
        self.quarantines.get(&request).map(|quarantine| quarantine.times)
    }

    /// Number of retained crashes.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Requests that this daemon itself cleared recently, to be reported to peers.
    pub fn cleared(&self) -> impl Iterator<Item = ClearNotice> {
        let own = self.cleared.iter().filter(|(_, cleared)| cleared.is_own);
        own.map(|(request, cleared)| ClearNotice { request: *request, at: cleared.at })
    }

    /// Removes what is past its retention. Returns the requests whose quarantine was removed.
    pub fn sweep(&mut self, now: Moment) -> Vec<RequestDigest> {
        self.cleared.retain(|_, cleared| !cleared.until.passed(now));
        let is_expired = |crash: &UpstreamCrash| now.millis_since(crash.at) > EVIDENCE_RETENTION_MS;
        let expired = self.crashes.iter().filter(|(_, crash)| is_expired(crash));
        let expired: Vec<UpstreamId> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.remove_crash(id));
        let is_past_retention = |quarantine: &RequestQuarantine| {
            Deadline::after(quarantine.until.0, QUARANTINE_RETENTION_MS).passed(now)
        };
        let past_retention =
            self.quarantines.iter().filter(|(_, quarantine)| is_past_retention(quarantine));
        let past_retention: Vec<RequestDigest> =
            past_retention.map(|(request, _)| *request).collect();
        for request in &past_retention {
            self.quarantines.remove(request);
        }
        past_retention
    }

    fn clear(&mut self, notice: ClearNotice, now: Moment, is_own: bool) {
        let request = notice.request;
        let mut later_crashes = 0;
        for crash in self.crashes.values_mut().filter(|crash| crash.suspects.contains(&request)) {
            if crash.at <= notice.at {
                crash.suspects.remove(&request);
            } else {
                later_crashes += 1;
            }
        }
        if later_crashes == 0 {
            self.suspects.remove(&request);
        } else if let Some(record) = self.suspects.get_mut(&request) {
            record.crashes = later_crashes;
        }
        if later_crashes < CRASHES_TO_QUARANTINE {
            self.quarantines.remove(&request);
        }
        self.note_clear(notice, now, is_own);
    }

    fn note_clear(&mut self, notice: ClearNotice, now: Moment, is_own: bool) {
        let is_known = self.cleared.contains_key(&notice.request);
        if is_known || self.cleared.len() < MAX_QUARANTINES {
            let until = Deadline::after(now, CLEARED_RETENTION_MS);
            let cleared = ClearedRequest { at: notice.at, until, is_own };
            self.cleared.insert(notice.request, cleared);
        }
    }

    fn insert_quarantine(&mut self, request: RequestDigest, quarantine: RequestQuarantine) {
        if !self.quarantines.contains_key(&request) && self.quarantines.len() >= MAX_QUARANTINES {
            let first = self.quarantines.iter().min_by_key(|(_, quarantine)| quarantine.until);
            if let Some(first) = first.map(|(request, _)| *request) {
                self.quarantines.remove(&first);
            }
        }
        self.quarantines.insert(request, quarantine);
    }

    fn remove_oldest_crash(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.remove_crash(&id);
        }
    }

    fn remove_crash(&mut self, upstream: &UpstreamId) {
        let Some(crash) = self.crashes.remove(upstream) else { return };
        for suspect in &crash.suspects {
            if let Some(record) = self.suspects.get_mut(suspect) {
                record.crashes -= 1;
                if record.crashes == 0 {
                    self.suspects.remove(suspect);
                }
            }
        }
    }

    /// Quarantines and releases requests by the current evidence.
    fn update_quarantines(&mut self, now: Moment, change: &mut LedgerChange) {
        let crash_inducing = self.crash_inducing(now);
        let quarantined: Vec<RequestDigest> = self.quarantines.keys().copied().collect();
        let parts: Vec<RequestDigest> =
            crash_inducing.iter().copied().filter(|suspect| self.is_part(suspect)).collect();
        for request in quarantined {
            if !crash_inducing.contains(&request) && self.is_explained(request, &crash_inducing) {
                self.quarantines.remove(&request);
                // A part explains the crashes of a request with it as well as that does. Without its
                // evidence, each further request would hide it again.
                if !self.is_part(&request) || self.is_explained(request, &parts) {
                    self.note_clear(ClearNotice { request, at: now }, now, true);
                }
                change.released.push(request);
            }
        }
        for request in crash_inducing {
            if self.quarantined_until(request, now).is_some() {
                continue;
            }
            let times = self.quarantines.get(&request).map_or(0, |quarantine| quarantine.times) + 1;
            let until = Deadline::after(now, quarantine_ms(times));
            self.cleared.remove(&request);
            self.insert_quarantine(
                request,
                RequestQuarantine { until, times, is_found_locally: true },
            );
            change.quarantined.push(request);
        }
    }

    fn is_part(&self, suspect: &RequestDigest) -> bool {
        self.suspects.get(suspect).is_some_and(|record| record.specificity != REQUEST_SPECIFICITY)
    }

    /// Whether a request was quarantined for crashes that others caused. A quarantine reported by a
    /// peer, on evidence that isn't all known here, is not explained.
    fn is_explained(&self, request: RequestDigest, crash_inducing: &[RequestDigest]) -> bool {
        let own = self.crashes.values().filter(|crash| crash.suspects.contains(&request));
        let is_unexplained =
            |crash: &&UpstreamCrash| !crash_inducing.iter().any(|by| crash.suspects.contains(by));
        let (unexplained, explained): (Vec<_>, Vec<_>) = own.partition(is_unexplained);
        let count = unexplained.len() + explained.len();
        // Crashes reported later may show that some were simultaneous.
        let is_found_locally =
            self.quarantines.get(&request).is_some_and(|quarantine| quarantine.is_found_locally);
        let unexplained_count = if is_found_locally {
            let is_present = |incident: &FastSet<RequestDigest>| {
                let is_unexplained = !crash_inducing.iter().any(|by| incident.contains(by));
                is_unexplained && incident.contains(&request)
            };
            self.incidents().iter().filter(|incident| is_present(incident)).count()
        } else {
            unexplained.len()
        };
        count >= CRASHES_TO_QUARANTINE && unexplained_count < CRASHES_TO_QUARANTINE
    }

    /// The suspects in flight at each incident: one crash, or several simultaneous ones.
    fn incidents(&self) -> Vec<FastSet<RequestDigest>> {
        let mut crashes: Vec<&UpstreamCrash> = self.crashes.values().collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut incidents = Vec::new();
        let mut rest = crashes.as_slice();
        while let Some(first) = rest.first() {
            // The span is counted from the first crash: a chain of immediate repeats must not count
            // as a single incident without end.
            let until = Deadline::after(first.at, SIMULTANEOUS_MS);
            let (simultaneous, later) =
                rest.split_at(rest.partition_point(|crash| !until.passed(crash.at)));
            rest = later;
            if simultaneous.len() >= SIMULTANEOUS_CRASHES {
                let all = simultaneous.iter().flat_map(|crash| crash.suspects.iter().copied());
                incidents.push(all.collect());
            } else {
                incidents.extend(simultaneous.iter().map(|crash| crash.suspects.clone()));
            }
        }
        incidents
    }

    /// The crash-inducing requests by the current evidence. Those at the most crashes are found
    /// first, and the crashes that they explain are evidence against no other.
    fn crash_inducing(&self, now: Moment) -> Vec<RequestDigest> {
        let incidents = self.incidents();
        let mut unexplained: Vec<&FastSet<RequestDigest>> = incidents.iter().collect();
        // Quarantines that peers found by evidence that isn't all known here.
        let is_reported = |request: &RequestDigest, quarantine: &RequestQuarantine| {
            let count = self.suspects.get(request).map_or(0, |record| record.crashes);
            count < CRASHES_TO_QUARANTINE && !quarantine.until.passed(now)
        };
        let reported = self
            .quarantines
            .iter()
            .filter(|(request, quarantine)| is_reported(request, quarantine));
        let mut crash_inducing: Vec<RequestDigest> =
            reported.map(|(request, _)| *request).collect();
        unexplained.retain(|crash| !crash_inducing.iter().any(|request| crash.contains(request)));
        let is_quarantine_over = |request: &RequestDigest| {
            self.quarantines.get(request).is_some_and(|s| s.until.passed(now))
        };
        let specificity = |suspect: &RequestDigest| {
            self.suspects.get(suspect).map_or(REQUEST_SPECIFICITY, |record| record.specificity)
        };
        loop {
            let found = select_crash_inducing(&unexplained, specificity, is_quarantine_over);
            if found.is_empty() {
                return crash_inducing;
            }
            unexplained.retain(|crash| !found.iter().any(|request| crash.contains(request)));
            crash_inducing.extend(found);
        }
    }
}

/// The suspect that was in flight at the most of these crashes, the most specific of several, if it
/// can be distinguished from the others there; or all suspects that can't, once they are at too many.
fn select_crash_inducing(
    unexplained: &[&FastSet<RequestDigest>],
    specificity: impl Fn(&RequestDigest) -> u16,
    is_quarantine_over: impl Fn(&RequestDigest) -> bool,
) -> Vec<RequestDigest> {
    let mut counts: FastMap<RequestDigest, usize> = FastMap::default();
    let all = unexplained.iter().flat_map(|crash| crash.iter());
    all.for_each(|suspect| *counts.entry(*suspect).or_default() += 1);
    let mut suspects: Vec<(usize, u16, RequestDigest)> = counts
        .iter()
        .filter(|(suspect, count)| **count >= CRASHES_TO_QUARANTINE || is_quarantine_over(suspect))
        .map(|(suspect, count)| (*count, specificity(suspect), *suspect))
        .collect();
    suspects.sort_unstable_by(|one, other| other.cmp(one));
    for (count, _, suspect) in suspects {
        if is_quarantine_over(&suspect) {
            return vec![suspect];
        }
        let weight = |suspect: &RequestDigest| {
            (counts.get(suspect).copied().unwrap_or(0), specificity(suspect))
        };
        let mut tied = tied_with(unexplained, weight, suspect);
        if tied.is_empty() || count >= TIED_CRASHES_TO_QUARANTINE {
            tied.push(suspect);
            return tied;
        }
    }
    Vec::new()
}

/// Other suspects of as much weight as this one or more, that were in flight at one of its crashes.
fn tied_with<W: Ord>(
    unexplained: &[&FastSet<RequestDigest>],
    weight: impl Fn(&RequestDigest) -> W,
    suspect: RequestDigest,
) -> Vec<RequestDigest> {
    let shared = unexplained.iter().filter(|crash| crash.contains(&suspect));
    let others = shared.flat_map(|crash| crash.iter()).filter(|other| **other != suspect);
    let own = weight(&suspect);
    let mut tied: Vec<RequestDigest> =
        others.filter(|other| weight(other) >= own).copied().collect();
    tied.sort_unstable();
    tied.dedup();
    tied
}
