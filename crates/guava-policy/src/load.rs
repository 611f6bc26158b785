//! Estimated load of each upstream, from reports that are late and incomplete.
//!
//! A report is old when it arrives. The work that this daemon, or a peer as gossiped, has sent
//! since is added to it, and what the upstream must have processed meanwhile is subtracted. Without
//! the work sent since, all daemons would choose the one upstream that reported itself idle, until
//! its next report.

use guava_types::{FastMap, Moment, TokenCount, TokenRate, UpstreamId};

/// Inverse weight of a new observation in the slowness estimate.
const SLOWNESS_SMOOTHING: f64 = 4.0;
/// Half-life of slowness without an observation, in milliseconds, so that a slow upstream is used
/// again.
const SLOWNESS_HALF_LIFE_MS: f64 = 5_000.0;
const MAX_SLOWNESS: f64 = 50.0;
/// Expected times are taken as at least this, in milliseconds: shorter ones are no measure of
/// slowness.
const MIN_EXPECTED_MS: f64 = 20.0;
/// Age from which reports are ignored, in milliseconds.
const REPORT_EXPIRY_MS: u64 = 5_000;

/// An upstream's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the upstream measured it, on this daemon's clock.
    pub measured: Moment,
    /// Prompt tokens that wait for prefill.
    pub queued: TokenCount,
    /// Requests that are decoding.
    pub running: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
}

/// Work that this daemon sent to an upstream and that is not finished.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingWork {
    /// When it was sent.
    pub sent: Moment,
    /// Tokens to prefill.
    pub tokens: TokenCount,
    /// Expected time to its first token, in milliseconds.
    pub expected_ms: f64,
    /// Whether its first token has come.
    pub started: bool,
}

impl PendingWork {
    fn slowness(&self, now: Moment) -> f64 {
        let elapsed = now.millis_since(self.sent) as f64;
        (elapsed / self.expected_ms.max(MIN_EXPECTED_MS)).clamp(1.0, MAX_SLOWNESS)
    }
}

/// What is known of one upstream's load.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    report: Option<LoadReport>,
    pending: FastMap<u64, PendingWork>,
    peer_tokens: TokenCount,
    peer_updated: Moment,
    slowness: f64,
    slowness_updated: Moment,
}

impl UpstreamLoad {
    /// Number of requests that this daemon has in flight there.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Number of requests in flight there that this daemon sent after a moment.
    pub fn sent_since(&self, moment: Moment) -> u32 {
        let count = self.pending.values().filter(|work| work.sent > moment).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Tokens that this daemon sent and that wait for prefill.
    pub fn pending_tokens(&self) -> TokenCount {
        let waiting = self.pending.values().filter(|work| !work.started);
        TokenCount(waiting.map(|work| work.tokens.0).sum())
    }

    /// How many times slower than expected the upstream is, at least one.
    ///
    /// Work that has not started counts by the time it has waited so far. Otherwise an upstream
    /// that turned slow would be sent more and more work until its first late answer.
    pub fn slowness(&self, now: Moment) -> f64 {
        let waiting = self.pending.values().filter(|work| !work.started);
        waiting.map(|work| work.slowness(now)).fold(self.past_slowness(now), f64::max)
    }

    fn past_slowness(&self, now: Moment) -> f64 {
        let age = now.millis_since(self.slowness_updated) as f64;
        let excess = (self.slowness - 1.0).max(0.0);
        1.0 + excess * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE_MS)
    }

    /// Requests that run or wait there: the last fresh report and what this daemon sent since, or
    /// at least what this daemon has in flight.
    pub fn running(&self, now: Moment) -> u32 {
        let own = u32::try_from(self.pending.len()).unwrap_or(u32::MAX);
        let Some(report) = self.recent_report(now) else { return own };
        let since = self.pending.values().filter(|work| work.sent > report.measured).count();
        report.running.saturating_add(u32::try_from(since).unwrap_or(u32::MAX)).max(own)
    }

    fn recent_report(&self, now: Moment) -> Option<&LoadReport> {
        let is_recent = |report: &&LoadReport| now.millis_since(report.measured) < REPORT_EXPIRY_MS;
        self.report.as_ref().filter(is_recent)
    }

    /// Expected wait of a new request there until its own prefill starts, in milliseconds.
    pub fn wait_ms(&self, now: Moment, prefill: TokenRate) -> f64 {
        let rate = prefill.0.max(1) as f64 / 1_000.0;
        let own = self.pending_tokens().0 as f64;
        let (reported, since) = match self.recent_report(now) {
            Some(report) => {
                let drained = now.millis_since(report.measured) as f64 * rate;
                let sent_since = self
                    .pending
                    .values()
                    .filter(|work| work.sent > report.measured && !work.started)
                    .map(|work| work.tokens.0 as f64)
                    .sum::<f64>();
                ((report.queued.0 as f64 - drained).max(0.0), sent_since)
            }
            None => (0.0, own),
        };
        let peers = self.peers_wait_ms(now, prefill) * rate;
        let backlog = (reported + since).max(own + peers);
        backlog / rate
    }

    /// Expected time for the work that peers have waiting there, in milliseconds.
    pub fn peers_wait_ms(&self, now: Moment, prefill: TokenRate) -> f64 {
        let rate = prefill.0.max(1) as f64 / 1_000.0;
        let age = now.millis_since(self.peer_updated) as f64;
        (self.peer_tokens.0 as f64 / rate - age).max(0.0)
    }
}

/// Loads of all upstreams that this daemon routes to.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: FastMap<UpstreamId, UpstreamLoad>,
    next_ticket: u64,
}

impl LoadTable {
    /// The load of an upstream; no load if nothing is known of it.
    pub fn load(&self, upstream: &UpstreamId) -> UpstreamLoad {
        self.loads.get(upstream).cloned().unwrap_or_default()
    }

    /// The load of an upstream; `None` if nothing is known of it.
    pub fn find(&self, upstream: &UpstreamId) -> Option<&UpstreamLoad> {
        self.loads.get(upstream)
    }

    /// Records one lost or broken answer: somewhat more than doubles the slowness.
    ///
    /// One lost answer in a hundred is no reason to avoid an upstream. Several in a row double its
    /// cost each time, until the other upstreams cost less.
    pub fn note_failed_answer(&mut self, upstream: &UpstreamId, now: Moment) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.slowness = (load.past_slowness(now) * 2.0 + 1.0).min(MAX_SLOWNESS);
        load.slowness_updated = now;
    }

    /// All upstreams of which something is known, with their loads.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamLoad)> {
        self.loads.iter()
    }

    /// Records a report, which replaces the previous one.
    pub fn note_report(&mut self, upstream: &UpstreamId, report: LoadReport) {
        self.loads.entry(upstream.clone()).or_default().report = Some(report);
    }

    /// Records how many tokens peers have waiting there at `now`; replaces the previous number.
    pub fn note_peers(&mut self, upstream: &UpstreamId, tokens: TokenCount, now: Moment) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.peer_tokens = tokens;
        load.peer_updated = now;
    }

    /// Records work that was sent. Returns its ticket, by which [`Self::started`] and
    /// [`Self::finished`] identify it.
    pub fn sent(
        &mut self,
        upstream: &UpstreamId,
        tokens: TokenCount,
        expected_ms: f64,
        now: Moment,
    ) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let work = PendingWork { sent: now, tokens, expected_ms, started: false };
        self.loads.entry(upstream.clone()).or_default().pending.insert(ticket, work);
        ticket
    }

    /// Records the first token of a piece of work, by which the slowness is updated.
    pub fn started(&mut self, upstream: &UpstreamId, ticket: u64, now: Moment) {
        let Some(load) = self.loads.get_mut(upstream) else { return };
        let Some(work) = load.pending.get_mut(&ticket) else { return };
        work.started = true;
        let ratio = work.slowness(now);
        let current = load.past_slowness(now);
        load.slowness = current + (ratio - current) / SLOWNESS_SMOOTHING;
        load.slowness_updated = now;
    }

    /// Records a failure: sets the slowness to its maximum.
    pub fn failed(&mut self, upstream: &UpstreamId, now: Moment) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.slowness = MAX_SLOWNESS;
        load.slowness_updated = now;
    }

    /// Removes a piece of work that is over, with or without a first token.
    pub fn finished(&mut self, upstream: &UpstreamId, ticket: u64) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.pending.remove(&ticket);
        }
    }

    /// Removes upstreams that are no longer registered.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads.retain(|upstream, _| is_known(upstream));
    }
}
