//! Work in flight at each upstream: this daemon's own, and that reported by its peers.
//!
//! Own work is counted from the send to its end. A peer's work counts as last reported, until the
//! peer has been silent for too long.

use crate::parts::sent_prompt::SentPrompt;
use guava_policy::{EngineBacklog, KnownRequests, LoadTable, UpstreamLoad};
use guava_types::{Deadline, FastMap, MemberName, Moment, TokenCount, TokenRate, UpstreamId};

/// How much later than expected the first token of a healthy engine may come, in milliseconds: the
/// prompt may wait behind prompts that this daemon has no report of, or while a batch decodes.
///
/// Without this allowance local engines appeared two to seven times too slow: a short prompt is
/// expected in 30 ms but takes 250 ms while a long one is being read. As a result long prompts went
/// to remote engines, of which nothing was known, and queued there behind other prompts that this
/// daemon had no report of.
const ENGINE_SLACK_MS: f64 = 150.0;

/// Load that a request is expected to cause at its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedLoad {
    /// Prompt tokens to be read.
    pub prompt: TokenCount,
    /// Memory that the run will use.
    pub memory: TokenCount,
    /// Time to the answer, or to its first event, in milliseconds.
    pub answer_ms: f64,
    /// Portion of `answer_ms` in which the prompt is read, in milliseconds; 0 if there is no
    /// prompt.
    pub service_ms: f64,
    /// Priority at the upstream; 0 is served first.
    pub priority: u8,
}

/// One daemon's work at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkShare {
    /// Prompt tokens sent and not yet read.
    pub waiting: TokenCount,
    /// Memory used until the runs finish.
    pub memory: TokenCount,
    /// Requests in flight.
    pub running: u32,
}

impl WorkShare {
    fn add(&mut self, other: &WorkShare) {
        self.waiting.0 += other.waiting.0;
        self.memory.0 += other.memory.0;
        self.running += other.running;
    }

    fn subtract(&mut self, other: &WorkShare) {
        self.waiting.0 = self.waiting.0.saturating_sub(other.waiting.0);
        self.memory.0 = self.memory.0.saturating_sub(other.memory.0);
        self.running = self.running.saturating_sub(other.running);
    }
}

/// Identifies a request in flight in the `WorkTable`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkTicket {
    upstream: UpstreamId,
    number: u64,
    memory: TokenCount,
}

impl WorkTicket {
    /// Number of this request, unique within the daemon.
    pub fn number(&self) -> u64 {
        self.number
    }
}

#[derive(Debug, Default)]
struct PeerWork {
    shares: FastMap<UpstreamId, WorkShare>,
    silent_at: Deadline,
}

/// Requests in flight at all upstreams, and the load estimates that follow from them.
#[derive(Debug, Default)]
pub struct WorkTable {
    loads: LoadTable,
    backlogs: FastMap<UpstreamId, EngineBacklog>,
    own: FastMap<UpstreamId, WorkShare>,
    peers: FastMap<MemberName, PeerWork>,
    peers_total: FastMap<UpstreamId, WorkShare>,
    idle_load: UpstreamLoad,
}

impl WorkTable {
    /// Notes that a request was sent to an upstream; the returned ticket is to be passed to
    /// `note_finished`.
    pub fn begin(&mut self, upstream: &UpstreamId, load: &ExpectedLoad, now: Moment) -> WorkTicket {
        let slack_ms = if load.service_ms > 0.0 { ENGINE_SLACK_MS } else { 0.0 };
        let number = self.loads.sent(upstream, load.prompt, load.answer_ms + slack_ms, now);
        let share = self.own.entry(upstream.clone()).or_default();
        share.memory.0 += load.memory.0;
        share.running += 1;
        if load.service_ms > 0.0 {
            let backlog = self.backlogs.entry(upstream.clone()).or_default();
            backlog.push_own(number, load.priority, load.service_ms, now);
        }
        WorkTicket { upstream: upstream.clone(), number, memory: load.memory }
    }

    /// Notes that the first bytes of the answer arrived.
    pub fn started(&mut self, ticket: &WorkTicket, now: Moment) {
        self.loads.started(&ticket.upstream, ticket.number, now);
        if let Some(backlog) = self.backlogs.get_mut(&ticket.upstream) {
            backlog.started(ticket.number, now);
        }
    }

    /// Notes that a request finished, successfully or not.
    pub fn note_finished(&mut self, ticket: &WorkTicket, now: Moment) {
        self.loads.finished(&ticket.upstream, ticket.number);
        if let Some(backlog) = self.backlogs.get_mut(&ticket.upstream) {
            backlog.remove(ticket.number, now);
        }
        if let Some(share) = self.own.get_mut(&ticket.upstream) {
            share.memory.0 = share.memory.0.saturating_sub(ticket.memory.0);
            share.running = share.running.saturating_sub(1);
        }
    }

    /// Milliseconds that a prompt of this priority would wait at an engine before it is read.
    pub fn wait_ms(&self, upstream: &UpstreamId, priority: u8, now: Moment) -> f64 {
        self.backlogs.get(upstream).map_or(0.0, |backlog| backlog.wait_ms(priority, now))
    }

    /// Milliseconds an engine needs to read all prompts that peers report as waiting there.
    pub fn peers_wait_ms(&self, upstream: &UpstreamId, prefill: TokenRate, now: Moment) -> f64 {
        self.load(upstream).peers_wait_ms(now, prefill)
    }

    /// Whether no prompt is known to be read or to wait at an engine.
    pub fn is_idle(&self, upstream: &UpstreamId, now: Moment) -> bool {
        self.backlogs.get(upstream).is_none_or(|backlog| backlog.is_idle(now))
    }

    /// Notes a failed answer of an upstream: none, an interrupted one, or an error.
    pub fn note_failed_answer(&mut self, upstream: &UpstreamId, now: Moment) {
        self.loads.note_failed_answer(upstream, now);
    }

    /// Load estimate of an upstream; an idle one if nothing is known.
    pub fn load(&self, upstream: &UpstreamId) -> &UpstreamLoad {
        self.loads.find(upstream).unwrap_or(&self.idle_load)
    }

    /// Memory used and requests in flight at an upstream, of this daemon and all reachable peers.
    pub fn total(&self, upstream: &UpstreamId) -> WorkShare {
        let mut total = self.own.get(upstream).copied().unwrap_or_default();
        total.add(&self.peers_total.get(upstream).copied().unwrap_or_default());
        total
    }

    /// Requests in flight at an upstream whose last report was received at `reported`, as far as they
    /// are known here.
    pub fn known_requests(&self, upstream: &UpstreamId, reported: Moment) -> KnownRequests {
        KnownRequests {
            own: self.own.get(upstream).map_or(0, |share| share.running),
            own_since: self.load(upstream).sent_since(reported),
            total: self.total(upstream).running,
        }
    }

    /// This daemon's work at each upstream where it has requests in flight, for its peers.
    pub fn own_shares(&self) -> impl Iterator<Item = (&UpstreamId, WorkShare)> {
        let busy = self.own.iter().filter(|(_, share)| share.running > 0);
        busy.map(|(id, share)| {
            let waiting = self.load(id).pending_tokens();
            (id, WorkShare { waiting, ..*share })
        })
    }

    /// Applies a peer's report of all its work, which replaces its earlier one and counts until
    /// `silent_at`.
    pub fn note_peer(
        &mut self,
        peer: &MemberName,
        shares: FastMap<UpstreamId, WorkShare>,
        silent_at: Deadline,
        now: Moment,
    ) {
        self.drop_peer(peer, now);
        for (id, share) in &shares {
            self.peers_total.entry(id.clone()).or_default().add(share);
            self.refresh_load(id, now);
        }
        self.peers.insert(peer.clone(), PeerWork { shares, silent_at });
    }

    /// Adds a prompt that a peer has just sent and that takes `service_ms` to read; it is counted
    /// until the peer's next full report replaces it.
    pub fn note_peer_sent(
        &mut self,
        peer: &MemberName,
        sent: &SentPrompt,
        service_ms: f64,
        now: Moment,
    ) {
        let backlog = self.backlogs.entry(sent.engine.clone()).or_default();
        backlog.push_peer(sent.priority, service_ms, now);
        let Some(work) = self.peers.get_mut(peer) else { return };
        let added = WorkShare { waiting: sent.waiting, memory: sent.tokens, running: 1 };
        work.shares.entry(sent.engine.clone()).or_default().add(&added);
        self.peers_total.entry(sent.engine.clone()).or_default().add(&added);
        self.refresh_load(&sent.engine, now);
    }

    /// Drops the work of silent peers and the state of upstreams that are no longer known.
    pub fn sweep(&mut self, now: Moment, is_known: impl Fn(&UpstreamId) -> bool) {
        let is_silent = |work: &PeerWork| work.silent_at.passed(now);
        let silent: Vec<MemberName> = self
            .peers
            .iter()
            .filter(|(_, work)| is_silent(work))
            .map(|(peer, _)| peer.clone())
            .collect();
        silent.iter().for_each(|peer| self.drop_peer(peer, now));
        self.loads.retain(&is_known);
        self.backlogs.retain(|id, _| is_known(id));
        self.own.retain(|id, share| share.running > 0 || is_known(id));
        self.peers_total.retain(|id, _| is_known(id));
    }

    fn drop_peer(&mut self, peer: &MemberName, now: Moment) {
        let Some(work) = self.peers.remove(peer) else { return };
        for (id, share) in &work.shares {
            if let Some(total) = self.peers_total.get_mut(id) {
                total.subtract(share);
            }
            self.refresh_load(id, now);
        }
    }

    fn refresh_load(&mut self, upstream: &UpstreamId, now: Moment) {
        let waiting = self.peers_total.get(upstream).map_or(TokenCount(0), |total| total.waiting);
        self.loads.note_peers(upstream, waiting, now);
    }
}
