//! Which requests end the upstreams that run them, and are stopped for it.
//!
//! **The load.** A request may crash each upstream that begins to run it, and its caller comes again,
//! at any daemon, under another id. With one such request 67 engines of 18 ended in a day, each with
//! all that ran on it. What stays the same is its digest: caller, path and body.
//!
//! **Evidence** is an upstream's end with the requests that were under way there, of all daemons
//! together. It says which requests *may* have done it: of some twenty, one has.
//!
//! **Told apart** they are by what else happened to them. A request that was answered whole has ended
//! nothing: its evidence is dropped. One that was at three ends ([`CRASHES_TO_QUARANTINE`]) is stopped, unless
//! another request that was at one of these was at as many or more: whoever merely ran beside it was
//! at some of its ends, seldom at all. Of requests that can't be told from each other so, none is
//! stopped until one is at a further end, or they are at [`TIED_ENDS`] together. An end at which a
//! stopped request was is explained by it and speaks against nobody else; a request that was stopped
//! and turns out to be explained is let go. An upstream that died of something else counts against
//! what ran there as one end of three; a request must meet three such deaths, with no answer in
//! between, to be taken for their cause.
//!
//! **Ends that come together** have a cause of their own: a rack without power, a fault of their
//! host. A request that is tried at one upstream after the other, or whose caller repeats it at once,
//! meets several of them. One attempt runs at two upstreams, so three ends or more within
//! [`TOGETHER_MS`] count as one. They are told with their ages, since those told in one message would
//! else look together.
//!
//! **For how long.** Evidence counts for [`EVIDENCE_MS`]. A request is stopped for [`FIRST_QUARANTINE_MS`],
//! then has one more chance, since its upstreams may have been mended: an answer clears it, one more
//! end stops it for twice as long, up to [`MAX_QUARANTINE_MS`].
//!
//! **Memory** is bounded by [`MOST_ENDS`] ends with [`MOST_REQUESTS`] requests each and by
//! [`MOST_STOPS`] stopped requests: the oldest go first.

use guava_types::{Deadline, FastMap, FastSet, Moment, RequestDigest, UpstreamId};

/// Ends of upstreams at which a request was, to be stopped. At two, a request would be stopped whose
/// second try went where the guilty one's second try went as well; each more than three costs one
/// more upstream with all that runs there.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Ends at which requests that can't be told from each other are all stopped.
const TIED_ENDS: usize = 5;
/// Span within which ends come together, in milliseconds: processes that end at once are noticed
/// within it.
const TOGETHER_MS: u64 = 50;
/// Ends within that span that have a cause of their own: more than one attempt can bring about.
const TOGETHER_ENDS: usize = 3;
/// For how long an end counts, in milliseconds: callers come again within seconds, or not for it.
const EVIDENCE_MS: u64 = 600_000;
/// For how long a request is stopped at first, in milliseconds.
pub const FIRST_QUARANTINE_MS: u64 = 600_000;
/// For how long it is stopped at most: the next day somebody may have mended the upstreams.
const MAX_QUARANTINE_MS: u64 = 6 * 3_600_000;
/// How long a request is remembered after it was stopped, in milliseconds, so that one more end
/// stops it again.
const REMEMBERED_MS: u64 = 3_600_000;
/// For how long a request that was cleared can't be stopped by others' older word, in milliseconds:
/// daemons repeat their words on ends for ten seconds at most.
const CLEARED_MS: u64 = 12_000;
/// Ends remembered at most: some minutes of the worst wave seen, four ends a second.
const MOST_ENDS: usize = 512;
/// Requests remembered of one end: more than an upstream runs at a time with its queue.
const MOST_REQUESTS: usize = 320;
/// Stopped requests remembered at most: each has cost three upstreams.
const MOST_STOPS: usize = 128;

/// A stopped request, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineNotice {
    /// Which.
    pub request: RequestDigest,
    /// For how much longer, in milliseconds; clocks are never compared.
    pub left_ms: u64,
    /// How often it has been stopped.
    pub times: u32,
}

/// A request against which nothing is held up to a moment, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClearNotice {
    /// Which.
    pub request: RequestDigest,
    /// When it was found to do no harm; as an age between daemons.
    pub at: Moment,
}

/// What a change of the evidence led to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerChange {
    /// Whether anything was not known before.
    pub is_change: bool,
    /// Requests that are stopped from now on.
    pub quarantined: Vec<RequestDigest>,
    /// Requests that are let go: they are explained by another.
    pub released: Vec<RequestDigest>,
}

#[derive(Clone, Debug)]
struct UpstreamCrash {
    /// When it ended, by the earliest that is known.
    at: Moment,
    requests: FastSet<RequestDigest>,
}

#[derive(Clone, Copy, Debug)]
struct RequestQuarantine {
    until: Deadline,
    times: u32,
    /// Whether the evidence here led to it, not a peer's word or a record.
    is_found_here: bool,
}

/// What is known of upstreams' ends and the requests under way there.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    ends: FastMap<UpstreamId, UpstreamCrash>,
    /// At how many ends each request was.
    counts: FastMap<RequestDigest, usize>,
    stops: FastMap<RequestDigest, RequestQuarantine>,
    cleared: FastMap<RequestDigest, ClearedRequest>,
}

/// A request against which nothing is held any more.
#[derive(Clone, Copy, Debug)]
struct ClearedRequest {
    at: Moment,
    until: Deadline,
    /// Whether this daemon found it, and tells the others. If all passed it on, it would never end.
    is_own: bool,
}

fn stop_ms(times: u32) -> u64 {
    let doubled = times.saturating_sub(1).min(16);
    (FIRST_QUARANTINE_MS << doubled).min(MAX_QUARANTINE_MS)
}

impl CrashLedger {
    /// Whether nothing is known: then no request need be looked up, which takes its digest.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.stops.is_empty()
    }

    /// Until when a request is stopped, if it is.
    pub fn quarantined_until(&self, request: RequestDigest, now: Moment) -> Option<Deadline> {
        self.stops.get(&request).map(|stop| stop.until).filter(|until| !until.passed(now))
    }

    /// Takes in that an upstream ended at some moment while these requests were under way there, as
    /// this daemon or another saw it.
    pub fn note_crash(
        &mut self,
        upstream: &UpstreamId,
        requests: &[RequestDigest],
        at: Moment,
        now: Moment,
    ) -> LedgerChange {
        if !self.ends.contains_key(upstream) && self.ends.len() >= MOST_ENDS {
            self.forget_oldest_end();
        }
        let mut news = LedgerChange::default();
        let end = self.ends.entry(upstream.clone()).or_insert_with(|| {
            news.is_change = true;
            UpstreamCrash { at, requests: FastSet::default() }
        });
        // Whoever noticed it first knows best.
        end.at = end.at.min(at);
        let mut is_at_limit = false;
        for request in requests {
            // Daemons repeat their words: an end from before a request was cleared is no new one.
            // Taken for new, a request that met one end now and then would be stopped, though it
            // was answered each time.
            if self.cleared.get(request).is_some_and(|cleared| end.at <= cleared.at) {
                continue;
            }
            if end.requests.len() >= MOST_REQUESTS || !end.requests.insert(*request) {
                continue;
            }
            news.is_change = true;
            let count = self.counts.entry(*request).or_default();
            *count += 1;
            let had_its_chance = self.stops.get(request).is_some_and(|stop| stop.until.passed(now));
            is_at_limit |= *count >= CRASHES_TO_QUARANTINE || had_its_chance;
        }
        if is_at_limit {
            self.judge(now, &mut news);
        }
        news
    }

    /// Takes in that a request was answered whole: it does not end what runs it. Whether anything
    /// was known against it.
    pub fn note_answer(&mut self, request: RequestDigest, now: Moment) -> bool {
        let was_known = self.counts.contains_key(&request) || self.stops.contains_key(&request);
        if was_known {
            self.clear(ClearNotice { request, at: now }, now, true);
        }
        was_known
    }

    /// Takes in that another daemon has nothing against a request up to some moment. Daemons repeat
    /// that for seconds, in which the request may have met further ends.
    pub fn note_cleared(&mut self, notice: ClearNotice, now: Moment) {
        let known = self.cleared.get(&notice.request);
        if known.is_none_or(|known| known.at < notice.at) {
            self.clear(notice, now, false);
        }
    }

    /// Takes in that another daemon has stopped a request; whether that is news.
    pub fn note_from_peer(&mut self, told: QuarantineNotice, now: Moment) -> bool {
        if self.cleared.contains_key(&told.request) {
            return false;
        }
        // Told the same again, what is known stays: each word is a message's way longer than true,
        // and a request that has its chance here would lose it to a daemon whose time ends later.
        if self.stops.get(&told.request).is_some_and(|known| known.times >= told.times) {
            return false;
        }
        let until = Deadline::after(now, told.left_ms.min(MAX_QUARANTINE_MS));
        let stop = RequestQuarantine { until, times: told.times, is_found_here: false };
        self.insert_stop(told.request, stop);
        true
    }

    /// Takes in the record of a stopped request: how long ago it was stopped nobody tells, so the
    /// whole time begins anew. Whether that is news.
    pub fn note_record(&mut self, request: RequestDigest, times: u32, now: Moment) -> bool {
        self.note_from_peer(QuarantineNotice { request, left_ms: stop_ms(times), times }, now)
    }

    /// The stopped requests.
    pub fn quarantines(&self, now: Moment) -> impl Iterator<Item = QuarantineNotice> {
        let stopped = self.stops.iter().filter(move |(_, stop)| !stop.until.passed(now));
        stopped.map(move |(request, stop)| QuarantineNotice {
            request: *request,
            left_ms: stop.until.millis_left(now),
            times: stop.times,
        })
    }

    /// Ends since a moment, each with its own and the requests that were under way there.
    pub fn crashes_since(
        &self,
        moment: Moment,
    ) -> impl Iterator<Item = (&UpstreamId, Moment, impl Iterator<Item = &RequestDigest>)> {
        let recent = self.ends.iter().filter(move |(_, end)| end.at >= moment);
        recent.map(|(upstream, end)| (upstream, end.at, end.requests.iter()))
    }

    /// All requests that were stopped and are remembered, and how often each was.
    pub fn retained_quarantines(&self) -> impl Iterator<Item = (RequestDigest, u32)> {
        self.stops.iter().map(|(request, stop)| (*request, stop.times))
    }

    /// How often a request has been stopped, if it is remembered.
    pub fn quarantine_count(&self, request: RequestDigest) -> Option<u32> {
        self.stops.get(&request).map(|stop| stop.times)
    }

    /// How many ends are remembered.
    pub fn crash_count(&self) -> usize {
        self.ends.len()
    }

    /// Requests that this daemon cleared a moment ago.
    pub fn cleared(&self) -> impl Iterator<Item = ClearNotice> {
        let own = self.cleared.iter().filter(|(_, cleared)| cleared.is_own);
        own.map(|(request, cleared)| ClearNotice { request: *request, at: cleared.at })
    }

    /// Forgets what is over; the stopped requests that are forgotten.
    pub fn sweep(&mut self, now: Moment) -> Vec<RequestDigest> {
        self.cleared.retain(|_, cleared| !cleared.until.passed(now));
        let is_old = |end: &UpstreamCrash| now.millis_since(end.at) > EVIDENCE_MS;
        let old = self.ends.iter().filter(|(_, end)| is_old(end));
        let old: Vec<UpstreamId> = old.map(|(id, _)| id.clone()).collect();
        old.iter().for_each(|id| self.forget_end(id));
        let is_over =
            |stop: &RequestQuarantine| Deadline::after(stop.until.0, REMEMBERED_MS).passed(now);
        let over = self.stops.iter().filter(|(_, stop)| is_over(stop));
        let over: Vec<RequestDigest> = over.map(|(request, _)| *request).collect();
        for request in &over {
            self.stops.remove(request);
        }
        over
    }

    fn clear(&mut self, notice: ClearNotice, now: Moment, is_own: bool) {
        let request = notice.request;
        let mut later_ends = 0;
        for end in self.ends.values_mut().filter(|end| end.requests.contains(&request)) {
            if end.at <= notice.at {
                end.requests.remove(&request);
            } else {
                later_ends += 1;
            }
        }
        if later_ends == 0 {
            self.counts.remove(&request);
        } else {
            self.counts.insert(request, later_ends);
        }
        if later_ends < CRASHES_TO_QUARANTINE {
            self.stops.remove(&request);
        }
        self.note_clear(notice, now, is_own);
    }

    fn note_clear(&mut self, notice: ClearNotice, now: Moment, is_own: bool) {
        let is_known = self.cleared.contains_key(&notice.request);
        if is_known || self.cleared.len() < MOST_STOPS {
            let until = Deadline::after(now, CLEARED_MS);
            let cleared = ClearedRequest { at: notice.at, until, is_own };
            self.cleared.insert(notice.request, cleared);
        }
    }

    fn insert_stop(&mut self, request: RequestDigest, stop: RequestQuarantine) {
        if !self.stops.contains_key(&request) && self.stops.len() >= MOST_STOPS {
            let first = self.stops.iter().min_by_key(|(_, stop)| stop.until);
            if let Some(first) = first.map(|(request, _)| *request) {
                self.stops.remove(&first);
            }
        }
        self.stops.insert(request, stop);
    }

    fn forget_oldest_end(&mut self) {
        let oldest = self.ends.iter().min_by_key(|(_, end)| end.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.forget_end(&id);
        }
    }

    fn forget_end(&mut self, upstream: &UpstreamId) {
        let Some(end) = self.ends.remove(upstream) else { return };
        for request in &end.requests {
            if let Some(count) = self.counts.get_mut(request) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(request);
                }
            }
        }
    }

    /// Judges all requests by the evidence as it is now.
    fn judge(&mut self, now: Moment, news: &mut LedgerChange) {
        let blamed = self.blamed(now);
        let stopped: Vec<RequestDigest> = self.stops.keys().copied().collect();
        for request in stopped {
            if !blamed.contains(&request) && self.is_explained(request, &blamed) {
                self.stops.remove(&request);
                self.note_clear(ClearNotice { request, at: now }, now, true);
                news.released.push(request);
            }
        }
        for request in blamed {
            if self.quarantined_until(request, now).is_some() {
                continue;
            }
            let times = self.stops.get(&request).map_or(0, |stop| stop.times) + 1;
            let until = Deadline::after(now, stop_ms(times));
            self.cleared.remove(&request);
            self.insert_stop(request, RequestQuarantine { until, times, is_found_here: true });
            news.quarantined.push(request);
        }
    }

    /// Whether a request was stopped for ends that others have brought about. What a peer stopped by
    /// evidence that is not all known here is not.
    fn is_explained(&self, request: RequestDigest, blamed: &[RequestDigest]) -> bool {
        let own = self.ends.values().filter(|end| end.requests.contains(&request));
        let is_open = |end: &&UpstreamCrash| !blamed.iter().any(|by| end.requests.contains(by));
        let (open, explained): (Vec<_>, Vec<_>) = own.partition(is_open);
        let count = open.len() + explained.len();
        // Ends that were learnt of later may show that some came together.
        let is_found_here = self.stops.get(&request).is_some_and(|stop| stop.is_found_here);
        let open_count = if is_found_here {
            let is_at = |occasion: &FastSet<RequestDigest>| {
                let is_open = !blamed.iter().any(|by| occasion.contains(by));
                is_open && occasion.contains(&request)
            };
            self.occasions().iter().filter(|occasion| is_at(occasion)).count()
        } else {
            open.len()
        };
        count >= CRASHES_TO_QUARANTINE && open_count < CRASHES_TO_QUARANTINE
    }

    /// The requests under way at each occasion on which upstreams ended: one end, or several that
    /// came together.
    fn occasions(&self) -> Vec<FastSet<RequestDigest>> {
        let mut ends: Vec<&UpstreamCrash> = self.ends.values().collect();
        ends.sort_unstable_by_key(|end| end.at);
        let mut occasions = Vec::new();
        let mut rest = ends.as_slice();
        while let Some(first) = rest.first() {
            // Bounded from the first on: a chain of repeats at once must not count as one for ever.
            let until = Deadline::after(first.at, TOGETHER_MS);
            let (together, later) =
                rest.split_at(rest.partition_point(|end| !until.passed(end.at)));
            rest = later;
            if together.len() >= TOGETHER_ENDS {
                let all = together.iter().flat_map(|end| end.requests.iter().copied());
                occasions.push(all.collect());
            } else {
                occasions.extend(together.iter().map(|end| end.requests.clone()));
            }
        }
        occasions
    }

    /// The requests that have ended upstreams, by the evidence: those at most ends first, and what
    /// they explain speaks against no other.
    fn blamed(&self, now: Moment) -> Vec<RequestDigest> {
        let occasions = self.occasions();
        let mut open: Vec<&FastSet<RequestDigest>> = occasions.iter().collect();
        // What peers found by evidence that is not all known here.
        let is_told = |request: &RequestDigest, stop: &RequestQuarantine| {
            let count = self.counts.get(request).copied().unwrap_or(0);
            count < CRASHES_TO_QUARANTINE && !stop.until.passed(now)
        };
        let told = self.stops.iter().filter(|(request, stop)| is_told(request, stop));
        let mut blamed: Vec<RequestDigest> = told.map(|(request, _)| *request).collect();
        open.retain(|end| !blamed.iter().any(|request| end.contains(request)));
        let had_its_chance =
            |request: &RequestDigest| self.stops.get(request).is_some_and(|s| s.until.passed(now));
        loop {
            let found = guilty(&open, had_its_chance);
            if found.is_empty() {
                return blamed;
            }
            open.retain(|end| !found.iter().any(|request| end.contains(request)));
            blamed.extend(found);
        }
    }
}

/// The request that was at most of these ends, if it can be told from the others there; or all that
/// were at as many, once that is too many.
fn guilty(
    open: &[&FastSet<RequestDigest>],
    had_its_chance: impl Fn(&RequestDigest) -> bool,
) -> Vec<RequestDigest> {
    let mut counts: FastMap<RequestDigest, usize> = FastMap::default();
    let all = open.iter().flat_map(|end| end.iter());
    all.for_each(|request| *counts.entry(*request).or_default() += 1);
    let mut suspects: Vec<(usize, RequestDigest)> = counts
        .iter()
        .filter(|(request, count)| **count >= CRASHES_TO_QUARANTINE || had_its_chance(request))
        .map(|(request, count)| (*count, *request))
        .collect();
    suspects.sort_unstable_by(|one, other| other.cmp(one));
    for (count, request) in suspects {
        if had_its_chance(&request) {
            return vec![request];
        }
        let mut tied = tied_with(open, &counts, request);
        if tied.is_empty() || count >= TIED_ENDS {
            tied.push(request);
            return tied;
        }
    }
    Vec::new()
}

/// Other requests that were at as many ends or more, one of them this one's.
fn tied_with(
    open: &[&FastSet<RequestDigest>],
    counts: &FastMap<RequestDigest, usize>,
    request: RequestDigest,
) -> Vec<RequestDigest> {
    let count = |request: &RequestDigest| counts.get(request).copied().unwrap_or(0);
    let shared = open.iter().filter(|end| end.contains(&request));
    let others = shared.flat_map(|end| end.iter()).filter(|other| **other != request);
    let mut tied: Vec<RequestDigest> =
        others.filter(|other| count(other) >= count(&request)).copied().collect();
    tied.sort_unstable();
    tied.dedup();
    tied
}
