//! What is known of each upstream's load, late and in part.
//!
//! A report is old when it arrives. Work that this daemon, or a peer as gossiped, has sent since
//! is added to it, and what the upstream must have drained meanwhile is taken off. Without the
//! first, all daemons choose the one upstream that reported idle, until its next report.

use guava_types::{FastMap, Moment, TokenCount, TokenRate, UpstreamId};

/// Weight of a new observation in the slowness estimate, as one over this.
const SLOWNESS_SMOOTHING: f64 = 4.0;
/// Slowness fades by half in this time without an observation, so that a slow upstream is tried
/// again, in milliseconds.
const SLOWNESS_HALF_LIFE_MS: f64 = 5_000.0;
const MAX_SLOWNESS: f64 = 50.0;
/// Waits shorter than this say nothing about slowness, in milliseconds.
const MIN_EXPECTED_MS: f64 = 20.0;
/// Reports older than this are no knowledge, in milliseconds.
const REPORT_EXPIRY_MS: u64 = 5_000;

/// A report as received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the upstream measured it, on this daemon's clock.
    pub measured: Moment,
    /// Prompt tokens waiting for prefill.
    pub queued: TokenCount,
    /// Requests decoding.
    pub running: u32,
    /// Requests that it can run at one time.
    pub slots: u32,
}

/// Work of this daemon's that an upstream has not answered yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingWork {
    /// When it was sent.
    pub sent: Moment,
    /// Tokens to prefill.
    pub tokens: TokenCount,
    /// How long its first token was expected to take, in milliseconds.
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

/// One upstream's load.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    report: Option<LoadReport>,
    pending: FastMap<u64, PendingWork>,
    peer_tokens: TokenCount,
    peer_noted: Moment,
    slowness: f64,
    slowness_noted: Moment,
}

impl UpstreamLoad {
    /// Requests of this daemon's in flight.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Tokens of this daemon's that wait for prefill.
    pub fn pending_tokens(&self) -> TokenCount {
        let waiting = self.pending.values().filter(|work| !work.started);
        TokenCount(waiting.map(|work| work.tokens.0).sum())
    }

    /// How many times slower than expected it has been, at least one.
    ///
    /// Work that has not started yet counts by the time that it has waited so far: a server that
    /// turned slow would otherwise take more and more until its first late answer.
    pub fn slowness(&self, now: Moment) -> f64 {
        let waiting = self.pending.values().filter(|work| !work.started);
        waiting.map(|work| work.slowness(now)).fold(self.past_slowness(now), f64::max)
    }

    fn past_slowness(&self, now: Moment) -> f64 {
        let age = now.millis_since(self.slowness_noted) as f64;
        let excess = (self.slowness - 1.0).max(0.0);
        1.0 + excess * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE_MS)
    }

    /// Requests running or waiting there, as far as is known.
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

    /// Milliseconds that a new request waits there before its own prefill starts.
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

    /// Milliseconds of work that peers have waiting there.
    pub fn peers_wait_ms(&self, now: Moment, prefill: TokenRate) -> f64 {
        let rate = prefill.0.max(1) as f64 / 1_000.0;
        let age = now.millis_since(self.peer_noted) as f64;
        (self.peer_tokens.0 as f64 / rate - age).max(0.0)
    }
}

/// The loads of all upstreams that this daemon routes to.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: FastMap<UpstreamId, UpstreamLoad>,
    next_ticket: u64,
}

impl LoadTable {
    /// The load of an upstream; nothing known is no load.
    pub fn load(&self, upstream: &UpstreamId) -> UpstreamLoad {
        self.loads.get(upstream).cloned().unwrap_or_default()
    }

    /// The load of an upstream of which something is known.
    pub fn find(&self, upstream: &UpstreamId) -> Option<&UpstreamLoad> {
        self.loads.get(upstream)
    }

    /// Notes one lost or broken answer: twice as slow as before, and some.
    ///
    /// One loss in a hundred is no reason to leave an upstream; several in a row double its cost
    /// each time, until the others are cheaper.
    pub fn note_failed_answer(&mut self, upstream: &UpstreamId, now: Moment) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.slowness = (load.past_slowness(now) * 2.0 + 1.0).min(MAX_SLOWNESS);
        load.slowness_noted = now;
    }

    /// All loads.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamLoad)> {
        self.loads.iter()
    }

    /// Takes a report in.
    pub fn note_report(&mut self, upstream: &UpstreamId, report: LoadReport) {
        self.loads.entry(upstream.clone()).or_default().report = Some(report);
    }

    /// Takes in what peers say they have waiting there.
    pub fn note_peers(&mut self, upstream: &UpstreamId, tokens: TokenCount, now: Moment) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.peer_tokens = tokens;
        load.peer_noted = now;
    }

    /// Notes work sent; the ticket names it later.
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

    /// Notes the first token of a piece of work.
    pub fn started(&mut self, upstream: &UpstreamId, ticket: u64, now: Moment) {
        let Some(load) = self.loads.get_mut(upstream) else { return };
        let Some(work) = load.pending.get_mut(&ticket) else { return };
        work.started = true;
        let ratio = work.slowness(now);
        let current = load.past_slowness(now);
        load.slowness = current + (ratio - current) / SLOWNESS_SMOOTHING;
        load.slowness_noted = now;
    }

    /// Notes a failure: as slow as can be.
    pub fn failed(&mut self, upstream: &UpstreamId, now: Moment) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.slowness = MAX_SLOWNESS;
        load.slowness_noted = now;
    }

    /// Notes that a piece of work is over.
    pub fn finished(&mut self, upstream: &UpstreamId, ticket: u64) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.pending.remove(&ticket);
        }
    }

    /// Forgets upstreams that are no longer registered.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads.retain(|upstream, _| is_known(upstream));
    }
}
